/* Limits of failed runs that come or change after the runs have failed. */
#include "cell-fixture.h"

/* Puts a configuration in force that has the queue "q" with @attempts_max, or only another one if
 * that is 0. */
static void
_set_attempts_max (Fixture *fixture, uint64_t version, uint32_t attempts_max)
{
  VpCellConfig *config = vp_cellconfig_new (version);
  VpQueueConfig queue = { .name = attempts_max == 0 ? "other" : "q",
                          .service = "service",
                          .attempts_max = attempts_max,
                          .stretch = 2,
                          .latency_target_ms = 500 };

  g_array_append_val (config->queues, queue);
  vp_cellconfig_seal (config);
  vp_cell_set_config (fixture->cell, config);
  vp_cellconfig_unref (config);
}

/* Returns a job whose task has failed twice, as a new scheduler reads it from the store. */
static VpJob *
_load_failed_job (Fixture *fixture)
{
  VpJob *job = _submit (fixture, 1, 1000);

  job->is_inherited = true;
  job->occurrences[0].steps[0].tasks[0].failures = 2;
  return job;
}

/* Sets up a scheduler that takes over with a worker while the queue is missing. */
static void
_take_over_without_queue (Fixture *fixture)
{
  VpWorkerEntry entry = _worker_entry (0);

  _setup (fixture, 1, false);
  vp_cell_shutdown (fixture->cell);
  fixture->cell = vp_cell_setup (&(VpCellDesc){ .fence = 7, .hold_max_ms = 6000 }, fixture->now_ms);
  _set_attempts_max (fixture, 2, 0);
  vp_cell_worker_listed (fixture->cell, &entry, fixture->now_ms);
  vp_cell_worker_list_complete (fixture->cell);
}

static void
_decide_later (Fixture *fixture)
{
  fixture->now_ms += 1000;
  _sync (fixture);
  _decide (fixture);
}

/* Guards against a job that fails since its queue is missing from the configuration for a while
 * when a scheduler takes over. */
static void
test_queue_missing (void)
{
  Fixture fixture;
  VpJob *job;

  _take_over_without_queue (&fixture);
  job = _load_failed_job (&fixture);
  for (int i = 0; i < 5; i++)
    _decide_later (&fixture);
  g_assert_false (vp_job_is_ended (job));
  _set_attempts_max (&fixture, 3, 3);
  _decide_later (&fixture);
  g_assert_nonnull (_find_command (&fixture, VP_COMMAND_START));
  _teardown (&fixture);
}

/* Guards against a job that is never started again and never shown as failed, as its limit is lower
 * now, or was when its queue came back. */
static void
test_limit_lowered (void)
{
  for (int is_missing = 0; is_missing <= 1; is_missing++) {
    Fixture fixture;
    VpJob *job;
    _setup (&fixture, 1, false);
    _set_attempts_max (&fixture, 2, is_missing ? 0 : 3);
    job = _load_failed_job (&fixture);
    _decide (&fixture);
    g_assert_false (vp_job_is_ended (job));
    _set_attempts_max (&fixture, 3, 2);
    _decide_later (&fixture);
    g_assert_cmpint (job->state, ==, VP_JOB_FAILED);
    g_assert_null (_find_command (&fixture, VP_COMMAND_START));
    _teardown (&fixture);
  }
}

/* Lets the worker "w0" report that the run of task @index of the job has ended. */
static void
_end_run (Fixture *fixture, const VpJob *job, uint32_t index, uint32_t run, VpRunEnd end)
{
  VpCommandResult result = _hold_result (fixture, "w0");
  VpEndedEntry entry = { .number = ++fixture->last_end, .is_task = true, .run = run, .end = end };

  entry.task = (VpTaskName){ .job = job->spec->id, .index = index };
  g_array_append_val (result.ended, entry);
  fixture->now_ms++;
  _apply (fixture, &result);
}

/* Lets the queue come back with @attempts_max after the tasks of the job have failed at most
 * @failures times, and asserts that the job goes on or fails as that says. */
static void
_return_queue (Fixture *fixture, const VpJob *job, uint32_t failures, uint32_t attempts_max)
{
  for (int i = 0; i < 20; i++)
    _decide_later (fixture);
  g_assert_false (vp_job_is_ended (job));
  _set_attempts_max (fixture, 3, attempts_max);
  _decide_later (fixture);
  g_assert_cmpint (job->state == VP_JOB_FAILED, ==, failures >= attempts_max);
  g_assert_cmpint (_find_command (fixture, VP_COMMAND_START) != NULL, ==, failures < attempts_max);
}

/* Guards against a job that is shown as failed after one failed run, since its queue is missing
 * from the configuration when the run ends, and against a run too many when the queue comes back
 * with a lower limit. */
static void
test_failure_while_missing (void)
{
  for (uint32_t attempts_max = 1; attempts_max <= 3; attempts_max++) {
    Fixture fixture;
    VpJob *job;
    _setup (&fixture, 1, false);
    _sync (&fixture);
    job = _run_one (&fixture, 1000);
    _set_attempts_max (&fixture, 2, 0);
    _end_run (&fixture, job, 0, 1, VP_RUN_FAILED);
    _return_queue (&fixture, job, 1, attempts_max);
    _teardown (&fixture);
  }
}

/* Guards against the same for a gang, of which one member fails and the other one is ended. */
static void
test_gang_failure_while_missing (void)
{
  for (uint32_t attempts_max = 1; attempts_max <= 2; attempts_max++) {
    Fixture fixture;
    VpJob *job;
    VpCommand starts[2] = { 0 };
    _setup (&fixture, 1, false);
    _sync (&fixture);
    job = _submit (&fixture, 2, 1000);
    job->spec->steps[0].is_gang = true;
    _decide (&fixture);
    g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, 2);
    for (guint i = 0, count = 0; i < fixture.effects->len; i++) {
      const VpCellEffect *effect = &g_array_index (fixture.effects, VpCellEffect, i);
      if (effect->kind == VP_CELL_COMMAND && effect->command.kind == VP_COMMAND_START)
        starts[count++] = _keep_command (&effect->command);
    }
    for (guint i = 0; i < G_N_ELEMENTS (starts); i++)
      _answer (&fixture, &starts[i], VP_COMMAND_OK);
    _set_attempts_max (&fixture, 2, 0);
    _end_run (&fixture, job, 1, 1, VP_RUN_FAILED);
    _end_run (&fixture, job, 0, 1, VP_RUN_BROKEN);
    _return_queue (&fixture, job, 1, attempts_max);
    g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, attempts_max == 1 ? 0 : 2);
    _teardown (&fixture);
  }
}

/* Guards against the same at a scheduler that takes over while the queue is missing. Two runs that
 * an earlier scheduler has started are reported as failed, one of them twice. */
static void
test_failures_at_takeover (void)
{
  for (uint32_t attempts_max = 1; attempts_max <= 3; attempts_max++) {
    Fixture fixture;
    VpJob *job;
    _take_over_without_queue (&fixture);
    job = _submit (&fixture, 1, 1000);
    job->is_inherited = true;
    _end_run (&fixture, job, 0, 1, VP_RUN_FAILED);
    _end_run (&fixture, job, 0, 2, VP_RUN_FAILED);
    _end_run (&fixture, job, 0, 1, VP_RUN_FAILED);
    _return_queue (&fixture, job, 2, attempts_max);
    _teardown (&fixture);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-config/queue-missing", test_queue_missing);
  g_test_add_func ("/cell-config/limit-lowered", test_limit_lowered);
  g_test_add_func ("/cell-config/failure-while-missing", test_failure_while_missing);
  g_test_add_func ("/cell-config/gang-failure-while-missing", test_gang_failure_while_missing);
  g_test_add_func ("/cell-config/failures-at-takeover", test_failures_at_takeover);
  return g_test_run ();
}
