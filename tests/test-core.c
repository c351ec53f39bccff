#include "sim.h"
#include "vp-safeguard.h"

#include <stdlib.h>
#include <string.h>

#define FAULTS_MAX 6
/* Sanitizers make a run at least ten times slower, so that they get fewer seeds. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define PROPERTY_SEED_COUNT 1
#define RANDOM_SEED_COUNT   2
#else
#define PROPERTY_SEED_COUNT 3
#define RANDOM_SEED_COUNT   8
#endif

/* A fault that is injected @at_ms after the start, on a random target. */
typedef struct {
  SimFault fault;
  int64_t at_ms;
} FaultStep;

typedef struct {
  const char *name;
  VpSafeguard safeguard; /* a test must fail without it */
  char property;         /* first character of the violation without the safeguard */
  uint32_t known_seed;   /* a seed with that violation; tried first */
  FaultStep steps[FAULTS_MAX];
} Case;

/* One row for each property that must always hold. Its faults are those that its safeguard is for.
 * CMakeLists.txt reads the names from these rows. */
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
    { { SIM_FAULT_PARTITION_WORKER, 2900 }, { SIM_FAULT_KILL, 3000 }, { SIM_FAULT_PAUSE, 9000 } } },
  { "2-paused-owner",
    VP_SAFEGUARD_LEASE,
    '2',
    7,
    { { SIM_FAULT_PAUSE, 2000 },
      { SIM_FAULT_PAUSE, 2100 },
      { SIM_FAULT_PARTITION_STORE, 12000 } } },
  { "3-withdrawn-key",
    VP_SAFEGUARD_KEYS,
    '3',
    2,
    { { SIM_FAULT_PARTITION_DC, 2000 }, { SIM_FAULT_WITHDRAW_KEY, 2500 } } },
  { "4-limit",
    VP_SAFEGUARD_GRANTS,
    '4',
    1,
    { { SIM_FAULT_PARTITION_DC, 3000 }, { SIM_FAULT_KILL, 6000 } } },
  { "5-own-answer",
    VP_SAFEGUARD_ANSWER_MATCHING,
    '5',
    2,
    { { SIM_FAULT_KILL, 2000 }, { SIM_FAULT_KILL, 5000 } } },
  { "6-not-run",
    VP_SAFEGUARD_UNREPORTED_TASKS,
    '6',
    4,
    { { SIM_FAULT_PARTITION_WORKER, 2000 }, { SIM_FAULT_KILL, 2100 }, { SIM_FAULT_KILL, 2200 } } },
  { "7-at-most-once",
    VP_SAFEGUARD_INTENT,
    '7',
    13,
    { { SIM_FAULT_KILL, 2000 },
      { SIM_FAULT_STORE_LOSES_ANSWERS, 4000 },
      { SIM_FAULT_KILL, 6000 } } },
  { "8-leaving",
    VP_SAFEGUARD_LEAVING,
    '8',
    1,
    { { SIM_FAULT_WORKER_LEAVING, 2000 }, { SIM_FAULT_KILL, 5000 } } },
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
      { SIM_FAULT_PARTITION_PEERS, 3000 },
      { SIM_FAULT_STORE_LOSES_ANSWERS, 9500 },
      { SIM_FAULT_RACING_OPERATORS, 10000 } } },
};

/* Runs one row with @seed. Returns the violation, or NULL; free with g_free(). */
static char *
run_case (const Case *test, uint32_t seed)
{
  SimDeployment *sim = sim_new (&(SimDesc){ .seed = seed, .requests_per_s = 60, .dc_count = 3 });
  int64_t now_ms = 0;
  char *violation;

  for (int i = 0; i < FAULTS_MAX && test->steps[i].at_ms != 0; i++) {
    sim_run (sim, test->steps[i].at_ms - now_ms);
    now_ms = test->steps[i].at_ms;
    sim_inject_fault (sim, test->steps[i].fault, sim_random (sim, 1000));
  }
  sim_run (sim, 15000);
  sim_finish (sim);
  sim_print_summary (sim);
  violation = g_strdup (sim_violation (sim));
  if (violation == NULL)
    g_assert_cmpuint (sim_done_count (sim), >, sim_sent_count (sim) / 4);
  sim_free (sim);
  return violation;
}

/* Guards against a violation of a property by its faults, with several seeds. */
static void
test_property_holds (gconstpointer data)
{
  uint32_t first = g_getenv ("SIM_SEED") != NULL ? (uint32_t)atoi (g_getenv ("SIM_SEED")) : 1;

  for (uint32_t seed = first; seed < first + PROPERTY_SEED_COUNT; seed++) {
    g_autofree char *violation = run_case (data, seed);
    if (violation != NULL)
      g_error ("seed %u: %s", seed, violation);
  }
}

/* Guards against a test that can't fail: without the safeguard some seed violates the property. */
static void
test_fails_without_safeguard (gconstpointer data)
{
  const Case *test = data;
  bool is_violated = false;

  vp_safeguard_disable (test->safeguard);
  for (uint32_t i = 0; i <= 40 && !is_violated; i++) {
    uint32_t seed = i == 0 ? test->known_seed : i;
    g_autofree char *violation = run_case (test, seed);
    const char *colon = violation != NULL ? strstr (violation, "ms: ") : NULL;
    is_violated = colon != NULL && colon[4] == test->property;
    if (violation != NULL)
      g_test_message ("seed %u: %s", seed, violation);
  }
  vp_safeguard_disable (VP_SAFEGUARD_COUNT);
  g_assert_true (is_violated);
}

/* Injects random faults, some of them shortly after each other, without those in @skip_mask.
 * Appends them to @list. Returns the violation, or NULL; free with g_free(). */
static char *
run_random (uint32_t seed, uint32_t skip_mask, GString *list)
{
  SimDeployment *sim = sim_new (&(SimDesc){ .seed = seed, .dc_count = 2 + seed % 2 });
  char *violation;

  for (uint32_t i = 0; i < 16; i++) {
    SimFault fault = (SimFault)sim_random (sim, SIM_FAULT_COUNT);
    uint32_t target = sim_random (sim, 1000);
    sim_run (sim, sim_random (sim, 3) == 0 ? 10 : 2500);
    if ((skip_mask >> i & 1) != 0)
      continue;
    g_string_append_printf (list, " %u@%u", (guint)fault, target);
    sim_inject_fault (sim, fault, target);
  }
  sim_finish (sim);
  violation = g_strdup (sim_violation (sim));
  sim_free (sim);
  return violation;
}

/* Removes faults as long as a violation remains, and fails with the shortened list. */
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

/* Seeds that found these faults: a stale read of the ledger's index led to the same epoch twice; a
 * task was started on a worker that had begun to leave; a start was in flight while its worker
 * restarted; all processes of a DC shut down; gangs in several DCs each waited for grants that the
 * others held. */
static const uint32_t regression_seeds[] = { 1202000030, 1202000054, 1201000042, 1201000065, 104,
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
  uint32_t to = from + (count != NULL ? (uint32_t)atoi (count) : RANDOM_SEED_COUNT);

  for (uint32_t seed = from; seed < to; seed++)
    check_random (seed);
  for (guint i = 0; first == NULL && i < G_N_ELEMENTS (regression_seeds); i++)
    check_random (regression_seeds[i]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *holds = g_strdup_printf ("/core/%s/holds", cases[i].name);
    g_autofree char *fails = g_strdup_printf ("/core/%s/fails-without", cases[i].name);
    g_test_add_data_func (holds, &cases[i], test_property_holds);
    g_test_add_data_func (fails, &cases[i], test_fails_without_safeguard);
  }
  g_test_add_func ("/core/random", test_random);
  return g_test_run ();
}
