/* Tasks that crash each worker that starts them, in a cell whose leader and workers fail as well.
 */
#include "simcell-fixture.h"
#include "vp-log.h"

#define TASK_COUNT 6

/* Asserts that the job ends in the state within @within_ms of simulated time. */
static void
_assert_job_ends (SimCell *sim, uint64_t job, VpJobState state, int64_t within_ms)
{
  int64_t end_ms = simcell_now_ms (sim) + within_ms;

  while (simcell_now_ms (sim) < end_ms && simcell_job_state (sim, job) != state)
    simcell_run (sim, 50);
  g_assert_cmpint (simcell_job_state (sim, job), ==, state);
}

static SimCell *
_simcell_new_with_leader (uint32_t seed)
{
  SimCell *sim = simcell_new (&(SimCellDesc){ .seed = seed, .node_count = 3, .worker_count = 12 });

  simcell_run (sim, 2000);
  g_assert_true (simcell_has_leader (sim));
  return sim;
}

/* Submits a job of which a task crashes workers, and other jobs before and after it. */
static uint64_t
_submit_mix (SimCell *sim, GArray *others)
{
  SimJobDesc other = { .steps = 2, .width = TASK_COUNT, .work_ms = 700 };
  SimJobDesc deadly = { .steps = 1, .width = TASK_COUNT, .work_ms = 700, .crashes_workers = true };
  uint64_t job = 0;

  for (uint32_t i = 0; i < 4; i++) {
    uint64_t id = simcell_submit (sim, i % 3, &other);
    g_array_append_val (others, id);
    if (i == 1)
      job = simcell_submit (sim, 0, &deadly);
    simcell_run (sim, 150);
  }
  return job;
}

/* Guards against a task that crashes one worker after the other until none is left. Its job fails,
 * and the jobs that ran beside it complete. */
static void
test_given_up (void)
{
  for (uint32_t seed = 300; seed < 310; seed++) {
    SimCell *sim = _simcell_new_with_leader (seed);
    g_autoptr (GArray) others = g_array_new (FALSE, FALSE, sizeof (uint64_t));
    uint64_t deadly = _submit_mix (sim, others);

    _assert_job_ends (sim, deadly, VP_JOB_FAILED, 20000);
    for (guint i = 0; i < others->len; i++)
      _assert_job_ends (sim, g_array_index (others, uint64_t, i), VP_JOB_COMPLETED, 20000);
    simcell_free (sim);
  }
}

/* Guards against crashes that a new leader doesn't know of: the leader is killed again and again,
 * and each new one learns of some crashes only from the restarted workers. */
static void
test_leader_killed (void)
{
  for (uint32_t seed = 320; seed < 340; seed++) {
    SimCell *sim = _simcell_new_with_leader (seed);
    g_autoptr (GArray) others = g_array_new (FALSE, FALSE, sizeof (uint64_t));
    uint64_t deadly = _submit_mix (sim, others);

    for (uint32_t i = 0; i < 4; i++) {
      if (simcell_has_leader (sim))
        simcell_kill_node (sim, simcell_leader (sim), 500);
      simcell_run (sim, 2000 + (seed - 320) * 130);
    }
    _assert_job_ends (sim, deadly, VP_JOB_FAILED, 30000);
    for (guint i = 0; i < others->len; i++)
      _assert_job_ends (sim, g_array_index (others, uint64_t, i), VP_JOB_COMPLETED, 20000);
    simcell_free (sim);
  }
}

/* Guards against giving up tasks that are not the cause: each worker crashes about twice a minute,
 * and all jobs complete. */
static void
test_other_crashes (void)
{
  for (uint32_t seed = 350; seed < 360; seed++) {
    SimCell *sim = _simcell_new_with_leader (seed);
    SimJobDesc desc = { .steps = 3, .width = TASK_COUNT, .work_ms = 900 };
    SimJobDesc lasting = { .steps = 1, .width = TASK_COUNT, .is_long_running = true };
    g_autoptr (GArray) jobs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
    uint64_t lasting_job = simcell_submit (sim, 0, &lasting);
    GRand *rand = simcell_rand (sim);

    for (uint32_t i = 0; i < 20; i++) {
      uint64_t id = simcell_submit (sim, i % 3, &desc);
      g_array_append_val (jobs, id);
      simcell_run (sim, g_rand_int_range (rand, 1500, 3500));
      simcell_crash_worker (sim, (uint32_t)g_rand_int_range (rand, 0, 12),
                            g_rand_int_range (rand, 1000, 5000));
    }
    for (guint i = 0; i < jobs->len; i++)
      _assert_job_ends (sim, g_array_index (jobs, uint64_t, i), VP_JOB_COMPLETED, 30000);
    g_assert_cmpint (simcell_job_state (sim, lasting_job), ==, VP_JOB_RUNNING);
    simcell_free (sim);
  }
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  if (g_getenv ("VP_LOG") != NULL)
    vp_log_setup ("world");
  g_test_add_func ("/node-crash/given-up", test_given_up);
  g_test_add_func ("/node-crash/leader-killed", test_leader_killed);
  g_test_add_func ("/node-crash/other-crashes", test_other_crashes);
  return g_test_run ();
}
