#include "sim.h"
#include "vp-safeguard.h"

#include <stdlib.h>
#include <string.h>

#define FAULTS_MAX 6
/* The sanitizers slow a run down ten times and more. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define HOLDS_SEEDS  1
#define RANDOM_SEEDS 2
#else
#define HOLDS_SEEDS  3
#define RANDOM_SEEDS 8
#endif

/* A fault that comes @at_ms after the start; the target is drawn from the seed. */
typedef struct {
  SimFault fault;
  int64_t at_ms;
} Step;

typedef struct {
  const char *name;
  VpSafeguard safeguard; /* whose absence must be seen */
  char property;         /* first character of the violation then */
  uint32_t known_seed;   /* a seed that shows it; tried first */
  Step steps[FAULTS_MAX];
} Case;

/* One row a property that always holds; a row's faults are those its mechanism is for. */
static const Case cases[] = {
  { "1-capacity",
    VP_SAFEGUARD_CAPACITY,
    '1',
    1,
    { { SIM_FAULT_KILL, 3000 }, { SIM_FAULT_WORKER_RESTART, 6000 } } },
  { "2-one-place",
    VP_SAFEGUARD_RECOVERY,
    '2',
    36,
    { { SIM_FAULT_WORKER_CUT, 2900 }, { SIM_FAULT_KILL, 3000 }, { SIM_FAULT_PAUSE, 9000 } } },
  { "2-paused-owner",
    VP_SAFEGUARD_LEASE,
    '2',
    7,
    { { SIM_FAULT_PAUSE, 2000 }, { SIM_FAULT_PAUSE, 2100 }, { SIM_FAULT_CUT_STORE, 12000 } } },
  { "3-withdrawn-key",
    VP_SAFEGUARD_KEYS,
    '3',
    2,
    { { SIM_FAULT_CUT_DC, 2000 }, { SIM_FAULT_WITHDRAW_KEY, 2500 } } },
  { "4-limit",
    VP_SAFEGUARD_GRANTS,
    '4',
    1,
    { { SIM_FAULT_CUT_DC, 3000 }, { SIM_FAULT_KILL, 6000 } } },
  { "5-own-answer",
    VP_SAFEGUARD_ANSWER_MATCHING,
    '5',
    2,
    { { SIM_FAULT_KILL, 2000 }, { SIM_FAULT_KILL, 5000 } } },
  { "6-not-run",
    VP_SAFEGUARD_UNREPORTED_TASKS,
    '6',
    4,
    { { SIM_FAULT_WORKER_CUT, 2000 }, { SIM_FAULT_KILL, 2100 }, { SIM_FAULT_KILL, 2200 } } },
  { "7-at-most-once",
    VP_SAFEGUARD_INTENT,
    '7',
    13,
    { { SIM_FAULT_KILL, 2000 }, { SIM_FAULT_STORE_LOSES, 4000 }, { SIM_FAULT_KILL, 6000 } } },
  { "8-leaving",
    VP_SAFEGUARD_LEAVING,
    '8',
    1,
    { { SIM_FAULT_LEAVING, 2000 }, { SIM_FAULT_KILL, 5000 } } },
  { "9-shutdown",
    VP_SAFEGUARD_DRAIN,
    '9',
    1,
    { { SIM_FAULT_SHUTDOWN, 2000 }, { SIM_FAULT_SHUTDOWN, 9000 } } },
  { "10-revision",
    VP_SAFEGUARD_REVISION,
    '1',
    1,
    { { SIM_FAULT_RACING_OPERATORS, 2000 },
      { SIM_FAULT_STORE_STALE, 2500 },
      { SIM_FAULT_CUT_PEERS, 3000 },
      { SIM_FAULT_STORE_LOSES, 9500 },
      { SIM_FAULT_RACING_OPERATORS, 10000 } } },
};

/* Runs one row with @seed; the violation, or NULL. Free with g_free(). */
static char *
run_case (const Case *test, uint32_t seed)
{
  SimWorld *world = sim_new (&(SimDesc){ .seed = seed, .requests_per_s = 60, .dc_count = 3 });
  int64_t now_ms = 0;
  char *violation;

  for (int i = 0; i < FAULTS_MAX && test->steps[i].at_ms != 0; i++) {
    sim_run (world, test->steps[i].at_ms - now_ms);
    now_ms = test->steps[i].at_ms;
    sim_fault (world, test->steps[i].fault, sim_random (world, 1000));
  }
  sim_run (world, 15000);
  sim_finish (world);
  sim_print (world);
  violation = g_strdup (sim_violation (world));
  if (violation == NULL)
    g_assert_cmpuint (sim_answered (world), >, sim_sent (world) / 4);
  sim_free (world);
  return violation;
}

/* Guards each property against its faults: no violation with any of the seeds. */
static void
test_holds (gconstpointer data)
{
  uint32_t first = g_getenv ("SIM_SEED") != NULL ? (uint32_t)atoi (g_getenv ("SIM_SEED")) : 1;

  for (uint32_t seed = first; seed < first + HOLDS_SEEDS; seed++) {
    g_autofree char *violation = run_case (data, seed);
    if (violation != NULL)
      g_error ("seed %u: %s", seed, violation);
  }
}

/* Guards the test itself: without the mechanism some seed violates the property. */
static void
test_fails_without (gconstpointer data)
{
  const Case *test = data;
  bool is_seen = false;

  vp_safeguard_disable (test->safeguard);
  for (uint32_t i = 0; i <= 40 && !is_seen; i++) {
    uint32_t seed = i == 0 ? test->known_seed : i;
    g_autofree char *violation = run_case (test, seed);
    const char *colon = violation != NULL ? strstr (violation, "ms: ") : NULL;
    is_seen = colon != NULL && colon[4] == test->property;
    if (violation != NULL)
      g_test_message ("seed %u: %s", seed, violation);
  }
  vp_safeguard_disable (VP_SAFEGUARD_COUNT);
  g_assert_true (is_seen);
}

/* Random faults, singly and in pairs. On a violation the fault list is shortened. */
static char *
run_random (uint32_t seed, uint32_t skip_mask, GString *list)
{
  SimWorld *world = sim_new (&(SimDesc){ .seed = seed, .dc_count = 2 + seed % 2 });
  char *violation;

  for (uint32_t i = 0; i < 16; i++) {
    SimFault fault = (SimFault)sim_random (world, SIM_FAULT_COUNT);
    uint32_t target = sim_random (world, 1000);
    sim_run (world, sim_random (world, 3) == 0 ? 10 : 2500);
    if ((skip_mask >> i & 1) != 0)
      continue;
    g_string_append_printf (list, " %u@%u", (guint)fault, target);
    sim_fault (world, fault, target);
  }
  sim_finish (world);
  violation = g_strdup (sim_violation (world));
  sim_free (world);
  return violation;
}

static void
report_random (uint32_t seed, const char *violation)
{
  uint32_t mask = 0;

  for (uint32_t i = 0; i < 16; i++) {
    g_autoptr (GString) list = g_string_new (NULL);
    g_autofree char *shorter = run_random (seed, mask | 1u << i, list);
    if (shorter != NULL)
      mask |= 1u << i;
  }
  {
    g_autoptr (GString) list = g_string_new (NULL);
    g_autofree char *last = run_random (seed, mask, list);
    g_error ("seed %u: %s; shortest fault list (fault@target):%s -> %s", seed, violation, list->str,
             last != NULL ? last : "not reproduced");
  }
}

/* Seeds that found a fault: a stale read of the ledger's index that led to the same epoch twice; a
 * start that left after its worker had begun to leave; a start in flight across a worker's restart;
 * a whole DC that shut down; gangs in several DCs that each waited for the others' grants. */
static const uint32_t found_seeds[] = { 1202000030, 1202000054, 1201000042, 1201000065, 104,
                                        1211000041, 1211000059, 1302000004, 1304000001 };

static void
check_random (uint32_t seed)
{
  g_autoptr (GString) list = g_string_new (NULL);
  g_autofree char *violation = run_random (seed, 0, list);

  if (violation != NULL)
    report_random (seed, violation);
}

static void
test_random (void)
{
  const char *first = g_getenv ("SOAK_FIRST");
  const char *count = g_getenv ("SOAK_COUNT");
  uint32_t from = first != NULL ? (uint32_t)atoi (first) : 100;
  uint32_t to = from + (count != NULL ? (uint32_t)atoi (count) : RANDOM_SEEDS);

  for (uint32_t seed = from; seed < to; seed++)
    check_random (seed);
  for (guint i = 0; first == NULL && i < G_N_ELEMENTS (found_seeds); i++)
    check_random (found_seeds[i]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *holds = g_strdup_printf ("/core/%s/holds", cases[i].name);
    g_autofree char *fails = g_strdup_printf ("/core/%s/fails-without", cases[i].name);
    g_test_add_data_func (holds, &cases[i], test_holds);
    g_test_add_data_func (fails, &cases[i], test_fails_without);
  }
  g_test_add_func ("/core/random", test_random);
  return g_test_run ();
}
