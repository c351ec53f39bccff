/* Evacuation of a DC in the simulated cell, which checks on its own that no node starts a task
 * there 5 s after the request. Without a disturbance it takes effect much sooner. */
#include "log-capture.h"
#include "simcell-fixture.h"
#include "vp-metrics.h"

#include <string.h>

/* Round trip to the store and the way of a command that was sent before. */
#define TAKES_EFFECT_MS 10

/* Three nodes and six workers in three DCs, with a leader. */
static SimCell *
_simcell_new (uint32_t seed)
{
  SimCell *sim = simcell_new (&(SimCellDesc){
      .seed = seed, .node_count = 3, .worker_count = 6, .dc_count = 3, .has_evacuations = true });

  simcell_run (sim, 2000);
  g_assert_true (simcell_has_leader (sim));
  return sim;
}

/* Submits a job each 100 ms, for @span_ms. */
static void
_run_load (SimCell *sim, int64_t span_ms)
{
  static const SimJobDesc desc = { .steps = 1, .width = 6, .work_ms = 300, .cpu_milli = 3500 };

  for (int64_t end_ms = simcell_now_ms (sim) + span_ms; simcell_now_ms (sim) < end_ms;) {
    simcell_submit (sim, (uint32_t)g_rand_int_range (simcell_rand (sim), 0, 3), &desc);
    simcell_run (sim, 100);
  }
}

/* Guards against starts from the request on, and against workers that stay unused after its
 * withdrawal. */
static void
test_request (void)
{
  SimCell *sim = _simcell_new (1);
  uint32_t count;

  _run_load (sim, 2000);
  g_assert_cmpuint (simcell_dc_start_count (sim, 1), >, 0);
  simcell_evacuate_dc (sim, 1, true);
  simcell_run (sim, TAKES_EFFECT_MS);
  count = simcell_dc_start_count (sim, 1);
  _run_load (sim, 10000);
  g_assert_cmpuint (simcell_dc_start_count (sim, 1), ==, count);
  simcell_evacuate_dc (sim, 1, false);
  simcell_run (sim, TAKES_EFFECT_MS);
  _run_load (sim, 1000);
  g_assert_cmpuint (simcell_dc_start_count (sim, 1), >, count);
  simcell_free (sim);
}

/* Guards against runs that end with their lease in a DC under evacuation, and against a
 * long-running task that starts there again after its worker has crashed. */
static void
test_running_work (void)
{
  static const SimJobDesc lasting
      = { .steps = 1, .width = 12, .cpu_milli = 4000, .is_long_running = true };
  SimCell *sim = _simcell_new (2);
  uint64_t job = simcell_submit (sim, 0, &lasting);
  uint32_t count, running;

  simcell_run (sim, 1000);
  g_assert_cmpuint (simcell_running_count (sim, job), ==, 12);
  count = simcell_dc_start_count (sim, 1);
  running = simcell_dc_running_count (sim, 1);
  g_assert_cmpuint (running, >, 0);
  simcell_evacuate_dc (sim, 1, true);
  /* Several times the longest lease. */
  simcell_run (sim, 20000);
  g_assert_cmpuint (simcell_dc_running_count (sim, 1), ==, running);
  g_assert_cmpuint (simcell_start_count (sim), ==, 12);
  simcell_crash_worker (sim, 1, 1000);
  simcell_crash_worker (sim, 4, 1000);
  simcell_run (sim, 15000);
  g_assert_cmpuint (simcell_dc_start_count (sim, 1), ==, count);
  g_assert_cmpuint (simcell_dc_running_count (sim, 1), ==, 0);
  g_assert_cmpuint (simcell_running_count (sim, job), ==, 12);
  simcell_free (sim);
}

/* Guards against a new leader that starts tasks in a DC whose evacuation an earlier one knew. The
 * new leader has watched the store as a follower, or has just started. */
static void
test_change_of_leader (void)
{
  SimCell *sim = _simcell_new (3);
  uint32_t count;

  simcell_evacuate_dc (sim, 1, true);
  simcell_run (sim, TAKES_EFFECT_MS);
  count = simcell_dc_start_count (sim, 1);
  for (int i = 0; i < 4; i++) {
    _run_load (sim, 2000);
    simcell_kill_node (sim, simcell_leader (sim), 500);
  }
  for (uint32_t i = 0; i < 3; i++)
    simcell_kill_node (sim, i, 300);
  _run_load (sim, 6000);
  g_assert_true (simcell_has_leader (sim));
  g_assert_cmpuint (simcell_dc_start_count (sim, 1), ==, count);
  simcell_free (sim);
}

/* Guards against a new leader that starts tasks before it has read which DCs are under evacuation.
 * It leads long before. */
static void
test_set_read_late (void)
{
  static const SimJobDesc desc = { .steps = 1, .width = 12, .work_ms = 300, .cpu_milli = 8000 };
  SimCell *sim = simcell_new (&(SimCellDesc){ .seed = 6,
                                              .node_count = 3,
                                              .worker_count = 6,
                                              .dc_count = 3,
                                              .has_evacuations = true,
                                              .evacuations_delay_ms = 4000 });
  uint64_t job;

  simcell_evacuate_dc (sim, 1, true);
  simcell_run (sim, 2000);
  g_assert_true (simcell_has_leader (sim));
  job = simcell_submit (sim, 0, &desc);
  simcell_run (sim, 1900);
  g_assert_true (simcell_is_job_accepted (sim, job));
  g_assert_cmpuint (simcell_start_count (sim), ==, 0);
  _assert_job_completes (sim, job, 1500);
  g_assert_cmpuint (simcell_dc_start_count (sim, 1), ==, 0);
  simcell_free (sim);
}

/* Guards against a node that forgets the request while the store is away. */
static void
test_store_outage (void)
{
  SimCell *sim = _simcell_new (4);
  static const SimJobDesc many = { .steps = 8, .width = 12, .work_ms = 1000 };
  uint64_t job = simcell_submit (sim, 0, &many);
  uint32_t count;

  simcell_run (sim, 500);
  simcell_evacuate_dc (sim, 1, true);
  simcell_run (sim, TAKES_EFFECT_MS);
  count = simcell_dc_start_count (sim, 1);
  for (int i = 0; i < 2; i++) {
    simcell_disconnect_store (sim, -1, i == 0, 3000);
    simcell_run (sim, 3000);
    _run_load (sim, 1000);
  }
  _assert_job_completes (sim, job, 10000);
  g_assert_cmpuint (simcell_dc_start_count (sim, 1), ==, count);
  simcell_free (sim);
}

/* Guards against a leader that serves none of the accepted work again after the DC of all workers
 * was evacuated. */
static void
test_all_dcs (void)
{
  SimCell *sim = _simcell_new (5);
  static const SimJobDesc desc = { .steps = 2, .width = 4, .work_ms = 300 };
  uint32_t count;
  uint64_t job;

  for (uint32_t dc = 0; dc < 3; dc++)
    simcell_evacuate_dc (sim, dc, true);
  simcell_run (sim, TAKES_EFFECT_MS);
  count = simcell_start_count (sim);
  job = simcell_submit (sim, 0, &desc);
  simcell_run (sim, 3000);
  g_assert_true (simcell_is_job_accepted (sim, job));
  g_assert_cmpuint (simcell_start_count (sim), ==, count);
  for (uint32_t dc = 0; dc < 3; dc++)
    simcell_evacuate_dc (sim, dc, false);
  _assert_job_completes (sim, job, 2000);
  simcell_free (sim);
}

/* Guards against a request that leaves no trace: each node logs it and its withdrawal once, and the
 * gauge shows it. One for a DC without workers is kept, as they may be added. */
static void
test_log (void)
{
  LogCapture capture;
  SimCell *sim;
  g_autofree char *text = NULL;
  g_autoptr (GString) metrics = NULL;
  uint32_t count = 0;

  log_capture_setup (&capture);
  sim = _simcell_new (7);
  simcell_evacuate_dc (sim, 1, true);
  simcell_evacuate_dc (sim, 9, true);
  simcell_run (sim, 1000);
  metrics = vp_metrics_expose ();
  simcell_evacuate_dc (sim, 1, false);
  simcell_run (sim, 1000);
  text = log_capture_read (&capture);
  log_capture_teardown (&capture);
  simcell_free (sim);
  for (const char *at = text; (at = strstr (at, "event=evacuation ")) != NULL; at++)
    count++;
  g_assert_cmpuint (count, ==, 3 * 3);
  g_assert_nonnull (strstr (text, "event=evacuation dc=dc-1 is_on=1 leading=1 workers=2\n"));
  g_assert_nonnull (strstr (text, "event=evacuation dc=dc-9 is_on=1 leading=1 workers=0\n"));
  g_assert_nonnull (strstr (text, "event=evacuation dc=dc-1 is_on=0 leading=1 workers=2\n"));
  g_assert_nonnull (strstr (metrics->str, "verbenapulley_evacuated_dcs 2\n"));
}

/* One random fault. */
static void
_inject_fault (SimCell *sim)
{
  GRand *rand = simcell_rand (sim);
  uint32_t node = (uint32_t)g_rand_int_range (rand, 0, 3);
  uint32_t worker = (uint32_t)g_rand_int_range (rand, 0, 6);
  int64_t for_ms = g_rand_int_range (rand, 100, 4000);

  switch (g_rand_int_range (rand, 0, 8)) {
  case 0:
    simcell_kill_node (sim, node, for_ms);
    break;
  case 1:
    simcell_pause_node (sim, node, for_ms);
    break;
  case 2:
    simcell_disconnect_store (sim, g_rand_boolean (rand) ? (int32_t)node : -1,
                              g_rand_boolean (rand), for_ms);
    break;
  case 3:
    simcell_partition_node (sim, node, for_ms);
    break;
  case 4:
    simcell_partition_dc (sim, node, for_ms);
    break;
  case 5:
    simcell_crash_worker (sim, worker, for_ms);
    break;
  case 6:
    simcell_partition_worker (sim, worker, for_ms);
    break;
  default:
    simcell_delay_commands (sim, 0.3, for_ms);
    break;
  }
}

/* Guards against violations of the rule, and of the checks of each start, under random faults
 * beside requests and withdrawals. With @cpu_milli the leader is so weak that relays carry its
 * commands; 0: it isn't. */
static void
_run_random (uint32_t first_seed, uint32_t cpu_milli)
{
  for (uint32_t seed = first_seed; seed < first_seed + 40; seed++) {
    SimCell *sim = simcell_new (&(SimCellDesc){ .seed = seed,
                                                .node_count = 3,
                                                .worker_count = 6,
                                                .dc_count = 3,
                                                .cpu_milli = cpu_milli,
                                                .has_evacuations = true });
    simcell_run (sim, 2000);
    for (int i = 0; i < 40; i++) {
      if (g_rand_int_range (simcell_rand (sim), 0, 6) == 0)
        simcell_evacuate_dc (sim, (uint32_t)g_rand_int_range (simcell_rand (sim), 0, 3),
                             g_rand_boolean (simcell_rand (sim)));
      if (i < 30 && g_rand_int_range (simcell_rand (sim), 0, 3) == 0)
        _inject_fault (sim);
      _run_load (sim, 1000);
    }
    simcell_free (sim);
  }
}

static void
test_random (void)
{
  _run_random (1, 0);
}

static void
test_random_relays (void)
{
  _run_random (101, 8);
}

/* Runs 40 s of load with an evacuation of DC 1 from 10 s to 30 s, and returns the number of starts
 * there later than the bound of the rule. Nodes that aren't told of evacuations are the earlier
 * policy. */
static uint32_t
_replay (bool has_evacuations, uint32_t seed)
{
  SimCell *sim = simcell_new (&(SimCellDesc){ .seed = seed,
                                              .node_count = 3,
                                              .worker_count = 6,
                                              .dc_count = 3,
                                              .has_evacuations = has_evacuations });
  uint32_t count;

  simcell_run (sim, 2000);
  _run_load (sim, 8000);
  simcell_evacuate_dc (sim, 1, true);
  _run_load (sim, 5000);
  count = simcell_dc_start_count (sim, 1);
  _run_load (sim, 15000);
  count = simcell_dc_start_count (sim, 1) - count;
  simcell_evacuate_dc (sim, 1, false);
  _run_load (sim, 10000);
  simcell_free (sim);
  return count;
}

/* Load: an operator evacuates one of three DCs for 20 s while 10 jobs of 6 tasks arrive a second.
 */
static void
test_replay (void)
{
  uint32_t before = 0, after = 0;

  for (uint32_t seed = 1; seed <= 3; seed++) {
    before += _replay (false, seed);
    after += _replay (true, seed);
  }
  g_test_message ("starts later than the bound: %u without evacuations, %u with", before, after);
  g_assert_cmpuint (before, >, 0);
  g_assert_cmpuint (after, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node/evacuation/request", test_request);
  g_test_add_func ("/node/evacuation/running-work", test_running_work);
  g_test_add_func ("/node/evacuation/change-of-leader", test_change_of_leader);
  g_test_add_func ("/node/evacuation/set-read-late", test_set_read_late);
  g_test_add_func ("/node/evacuation/store-outage", test_store_outage);
  g_test_add_func ("/node/evacuation/all-dcs", test_all_dcs);
  g_test_add_func ("/node/evacuation/random", test_random);
  g_test_add_func ("/node/evacuation/random-relays", test_random_relays);
  g_test_add_func ("/node/evacuation/log", test_log);
  g_test_add_func ("/node/evacuation/replay", test_replay);
  return g_test_run ();
}
