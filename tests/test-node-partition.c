/* Network partitions that cut off a DC together with the leader, in simulated time. */
#include "simcell-fixture.h"
#include "vp-log.h"

/* Guards against a new leader that reruns tasks which have already ended. The store is down while
 * the leader runs steps on workers of its own DC. The DC is then cut off for @cut_ms, until after
 * the store's return. */
static void
_leader_cut_off (uint32_t seed, int64_t cut_ms)
{
  SimCell *sim = _simcell_new_with_dcs (seed);
  uint64_t job = simcell_submit (sim, 0, &(SimJobDesc){ .steps = 3, .width = 12, .work_ms = 500 });
  uint32_t leader = simcell_leader (sim);

  simcell_run (sim, 300);
  simcell_disconnect_store (sim, -1, true, 4000);
  simcell_run (sim, 1500);
  simcell_partition_dc (sim, simcell_node_dc (sim, leader), cut_ms);
  simcell_run (sim, 6000);
  g_assert_cmpuint (simcell_leader (sim), !=, leader);
  simcell_run (sim, cut_ms);
  _assert_job_completes (sim, job, 10000);
  simcell_free (sim);
}

static void
test_leader_cut_off_with_workers (void)
{
  _leader_cut_off (40, 9000);
}

/* The partition lasts longer than all leases that the earlier leader may have renewed. */
static void
test_leader_cut_off_for_long (void)
{
  _leader_cut_off (41, 30000);
}

/* Guards against a leader that grants leases although it is cut off together with some workers.
 * With a large @cpu_milli tasks also run in the DC that is cut off, and are started again
 * elsewhere. With a small one they run only outside, where the next leader takes them over. */
static void
_long_running_tasks_over_partition (uint32_t seed,
                                    uint32_t width,
                                    int64_t cpu_milli,
                                    bool is_inside)
{
  SimCell *sim = _simcell_new_with_dcs (seed);
  uint64_t job = simcell_submit (
      sim, 0,
      &(SimJobDesc){ .steps = 1, .width = width, .cpu_milli = cpu_milli, .is_long_running = true });

  simcell_run (sim, 1000);
  g_assert_cmpuint (simcell_start_count (sim), ==, width);
  simcell_partition_dc (sim, simcell_node_dc (sim, simcell_leader (sim)), 30000);
  simcell_run (sim, 20000);
  g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_RUNNING);
  if (is_inside)
    g_assert_cmpuint (simcell_start_count (sim), >, width);
  else
    g_assert_cmpuint (simcell_start_count (sim), ==, width);
  simcell_run (sim, 15000);
  simcell_free (sim);
}

static void
test_leases_of_cut_off_leader (void)
{
  _long_running_tasks_over_partition (42, 12, 5000, true);
}

static void
test_starts_of_cut_off_leader (void)
{
  _long_running_tasks_over_partition (42, 18, 1000, false);
}

/* After an outage of the store, workers can be missing from the platform's list for up to 2 s. A
 * leader that takes over in that time must ask the workers of its predecessor directly instead of
 * restarting their tasks. */
static void
test_takeover_after_outage (void)
{
  SimCell *sim = _simcell_new_with_dcs (43);
  uint64_t job = simcell_submit (sim, 0, &(SimJobDesc){ .steps = 3, .width = 12, .work_ms = 500 });

  simcell_run (sim, 300);
  simcell_disconnect_store (sim, -1, true, 7000);
  simcell_run (sim, 6900);
  simcell_kill_node (sim, simcell_leader (sim), 20000);
  while (!simcell_has_leader (sim))
    simcell_run (sim, 10);
  _assert_job_completes (sim, job, 300);
  g_assert_cmpuint (simcell_start_count (sim), ==, 36);
  simcell_free (sim);
}

/* Guards against tasks that wait for the leases of a worker which has left. A worker drains and
 * leaves just before the leader hands over, then all processes lose power. No unrecorded task can
 * run on that worker, so the next leader doesn't need to wait for it. */
static void
test_takeover_after_drain (void)
{
  SimCell *sim = _simcell_new_with_dcs (44);
  uint64_t job;

  simcell_drain_worker (sim, 0, 1000);
  simcell_run (sim, 1010);
  simcell_stop_node (sim, simcell_leader (sim), 0);
  simcell_run (sim, 3000);
  job = simcell_submit (sim, 1, &(SimJobDesc){ .steps = 3, .width = 12, .work_ms = 300 });
  simcell_run (sim, 200);
  for (uint32_t i = 0; i < 6; i++)
    simcell_kill_node (sim, i, 500);
  while (!simcell_has_leader (sim))
    simcell_run (sim, 10);
  _assert_job_completes (sim, job, 1500);
  simcell_free (sim);
}

/* Guards against a handover while a leader waits for the workers of a DC that is cut off. If a
 * stronger VM came back and took over meanwhile, the wait would begin anew. */
static void
test_no_yield_while_waiting (void)
{
  SimCell *sim = simcell_new (&(SimCellDesc){
      .seed = 45, .node_count = 6, .worker_count = 6, .dc_count = 3, .high_cpu_count = 1 });
  uint64_t job;

  simcell_run (sim, 2500);
  g_assert_cmpuint (simcell_leader (sim), ==, 0);
  job = simcell_submit (sim, 2, &(SimJobDesc){ .steps = 2, .width = 12, .work_ms = 400 });
  simcell_run (sim, 200);
  simcell_partition_dc (sim, 1, 30000);
  simcell_kill_node (sim, 0, 1000);
  while (!simcell_has_leader (sim))
    simcell_run (sim, 10);
  _assert_job_completes (sim, job, 9500);
  simcell_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Prints the decision log. */
  if (g_getenv ("VP_LOG") != NULL)
    vp_log_setup ("world");
  g_test_add_func ("/node-partition/leader-cut-off-with-workers", test_leader_cut_off_with_workers);
  g_test_add_func ("/node-partition/leader-cut-off-for-long", test_leader_cut_off_for_long);
  g_test_add_func ("/node-partition/leases-of-cut-off-leader", test_leases_of_cut_off_leader);
  g_test_add_func ("/node-partition/starts-of-cut-off-leader", test_starts_of_cut_off_leader);
  g_test_add_func ("/node-partition/takeover-after-outage", test_takeover_after_outage);
  g_test_add_func ("/node-partition/takeover-after-drain", test_takeover_after_drain);
  g_test_add_func ("/node-partition/no-yield-while-waiting", test_no_yield_while_waiting);
  return g_test_run ();
}
