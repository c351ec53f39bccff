/* Nodes of a cell that have no configuration, or one without a queue, in simulated time. The
 * simulation checks on its own that no task runs twice at a time. */
#include "simcell-fixture.h"

#define NODES 3

static SimCell *
_setup (uint32_t attempts_max)
{
  SimCell *sim = simcell_new (&(SimCellDesc){
      .seed = 1, .node_count = NODES, .worker_count = 4, .attempts_max = attempts_max });

  simcell_run (sim, 2000);
  g_assert_true (simcell_has_leader (sim));
  return sim;
}

/* Ends all processes, and starts them without a configuration. */
static void
_restart_without_config (SimCell *sim)
{
  simcell_hide_config (sim, true);
  for (uint32_t i = 0; i < NODES; i++)
    simcell_kill_node (sim, i, 1000);
}

/* Guards against a cell that nobody leads since no process can read the configuration: the jobs
 * that were accepted were unknown, and their runs ended with their leases. */
static void
test_leads_without_config (void)
{
  SimCell *sim = _setup (0);
  uint64_t job = simcell_submit (sim, 0, &(SimJobDesc){ .steps = 2, .width = 6, .work_ms = 15000 });
  uint32_t start_count;

  simcell_run (sim, 2000);
  g_assert_cmpuint (simcell_running_count (sim, job), ==, 6);
  start_count = simcell_start_count (sim);
  _restart_without_config (sim);
  simcell_run (sim, 11000);
  g_assert_true (simcell_has_leader (sim));
  g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_RUNNING);
  g_assert_cmpuint (simcell_running_count (sim, job), ==, 6);
  simcell_run (sim, 6000);
  /* The first step has ended, and the second one can't be started. */
  g_assert_cmpuint (simcell_running_count (sim, job), ==, 0);
  g_assert_cmpuint (simcell_start_count (sim), ==, start_count);
  for (uint32_t i = 0; i < NODES; i++)
    g_assert_false (simcell_is_node_ready (sim, i));
  simcell_hide_config (sim, false);
  _assert_job_completes (sim, job, 20000);
  g_assert_cmpuint (simcell_start_count (sim), ==, 2 * start_count);
  simcell_free (sim);
}

/* Lets all tasks of a job fail once while no process has a configuration. Then the job may have
 * @attempts_max failed runs of each task. */
static void
_failures_without_config (uint32_t attempts_max)
{
  SimCell *sim = _setup (attempts_max);
  uint64_t job = simcell_submit (
      sim, 0, &(SimJobDesc){ .steps = 1, .width = 4, .work_ms = 9000, .failing_share = 1 });

  simcell_run (sim, 1000);
  g_assert_cmpuint (simcell_running_count (sim, job), ==, 4);
  _restart_without_config (sim);
  simcell_run (sim, 12000);
  g_assert_cmpuint (simcell_running_count (sim, job), ==, 0);
  g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_RUNNING);
  simcell_hide_config (sim, false);
  simcell_run (sim, 14000);
  g_assert_cmpuint (simcell_start_count (sim), ==, 4 * attempts_max);
  g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_FAILED);
  simcell_free (sim);
}

/* Guards against a job that fails too early, or is never shown as failed, as its runs failed while
 * the number that it may have wasn't known. */
static void
test_failures_without_config (void)
{
  _failures_without_config (1);
  _failures_without_config (2);
}

/* Guards against a leader without a configuration where another process has one. */
static void
test_yields_to_config (void)
{
  SimCell *sim = _setup (0);
  uint32_t other;
  uint64_t job;

  _restart_without_config (sim);
  simcell_run (sim, 9000);
  g_assert_true (simcell_has_leader (sim));
  other = (simcell_leader (sim) + 1) % NODES;
  simcell_give_config (sim, other);
  simcell_run (sim, 9000);
  g_assert_cmpuint (simcell_leader (sim), ==, other);
  job = simcell_submit (sim, other, &(SimJobDesc){ .steps = 1, .width = 4, .work_ms = 500 });
  _assert_job_completes (sim, job, 4000);
  simcell_free (sim);
}

/* Guards against accepted jobs that stand still when their queue is dropped for good, also after
 * changes of leader, by which all that the processes remember of it is lost. */
static void
test_queue_dropped (void)
{
  SimCell *sim = _setup (0);
  uint64_t jobs[2];

  jobs[0] = simcell_submit (sim, 0, &(SimJobDesc){ .steps = 4, .width = 6, .work_ms = 2000 });
  simcell_run (sim, 500);
  /* The second one is accepted by the node that leads when it is dropped, and hasn't started. */
  jobs[1] = simcell_submit (sim, 1, &(SimJobDesc){ .steps = 1, .width = 9, .work_ms = 1000 });
  simcell_run (sim, 100);
  g_assert_true (simcell_is_job_accepted (sim, jobs[1]));
  simcell_set_queue (sim, 0);
  simcell_run (sim, 1000);
  simcell_kill_node (sim, simcell_leader (sim), 500);
  simcell_run (sim, 3000);
  for (uint32_t i = 0; i < NODES; i++)
    simcell_kill_node (sim, i, 1000);
  for (int i = 0; i < 2; i++)
    _assert_job_completes (sim, jobs[i], 30000);
  simcell_free (sim);
}

/* Lets all tasks of a job fail once while its queue is missing and the leader changes. Then the
 * queue comes back with @attempts_max, or never with 0. */
static void
_failures_while_dropped (uint32_t attempts_max)
{
  SimCell *sim = _setup (2);
  uint64_t job = simcell_submit (
      sim, 0, &(SimJobDesc){ .steps = 1, .width = 4, .work_ms = 3000, .failing_share = 1 });

  simcell_run (sim, 1000);
  g_assert_cmpuint (simcell_running_count (sim, job), ==, 4);
  simcell_set_queue (sim, 0);
  simcell_run (sim, 1000);
  simcell_kill_node (sim, simcell_leader (sim), 500);
  simcell_run (sim, 20000);
  g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_RUNNING);
  g_assert_cmpuint (simcell_start_count (sim), ==, 4);
  if (attempts_max > 0) {
    simcell_set_queue (sim, attempts_max);
    simcell_run (sim, 14000);
    g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_FAILED);
    g_assert_cmpuint (simcell_start_count (sim), ==, 4 * attempts_max);
  }
  simcell_free (sim);
}

/* Guards against a job that fails after fewer failed runs than its queue allows when it is back,
 * and against a run too many. */
static void
test_failures_while_dropped (void)
{
  for (uint32_t attempts_max = 0; attempts_max <= 3; attempts_max++)
    _failures_while_dropped (attempts_max);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-config/leads-without", test_leads_without_config);
  g_test_add_func ("/node-config/failures-without", test_failures_without_config);
  g_test_add_func ("/node-config/yields", test_yields_to_config);
  g_test_add_func ("/node-config/queue-dropped", test_queue_dropped);
  g_test_add_func ("/node-config/failures-while-dropped", test_failures_while_dropped);
  return g_test_run ();
}
