/* Workers that restart under their identity: what belongs to the earlier life, what to the present
 * one. */
#include "cell-fixture.h"

/* The runs of a worker end when it restarts under the same identity. */
static void
test_restarted_worker (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  fixture.now_ms += 100;
  result = _hold_result (&fixture, "w0");
  result.booted_ms = fixture.now_ms - 10;
  result.clock_ms = 10;
  _apply (&fixture, &result);
  g_assert_cmpuint (job->assigned_count, ==, 0);
  _decide (&fixture);
  g_assert_cmpuint (_find_command (&fixture, VP_COMMAND_START)->run, ==, 2);
  _teardown (&fixture);
}

/* Guards against a task that runs twice after its worker has restarted under the same identity: a
 * start without an answer may still be on its way to the worker. The task is placed again only when
 * the worker can't carry out that start any more, as it has confirmed a stop of the run. */
static void
test_restarted_worker_with_start_on_the_way (void)
{
  Fixture fixture;
  VpCommandResult start, stop, result;
  const VpCellWorker *worker;
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  _decide (&fixture);
  start = _command_result (&fixture, _find_command (&fixture, VP_COMMAND_START), VP_COMMAND_OK);
  start.clock_ms = 500000;
  fixture.now_ms += 100;
  result = _hold_result (&fixture, start.worker);
  result.booted_ms = fixture.now_ms - 10;
  result.clock_ms = 10;
  _apply (&fixture, &result);
  _decide (&fixture);
  g_assert_null (_find_command (&fixture, VP_COMMAND_START));
  g_assert_cmpuint (_find_command (&fixture, VP_COMMAND_STOP)->run, ==, 1);
  /* The answer to the start is from before the restart, like the clock that it shows. */
  _apply (&fixture, &start);
  worker = vp_workerlist_find (vp_cell_workers (fixture.cell), result.worker);
  g_assert_cmpint (vp_workerlist_clock_ms (worker, fixture.now_ms), <, 1000);
  stop = _command_result (&fixture, _find_command (&fixture, VP_COMMAND_STOP), VP_COMMAND_OK);
  stop.clock_ms = 10;
  _apply (&fixture, &stop);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  fixture.now_ms += 100;
  result = _hold_result (&fixture, result.worker);
  result.booted_ms = fixture.now_ms - 110;
  result.clock_ms = 110;
  _apply (&fixture, &result);
  _decide (&fixture);
  g_assert_cmpuint (_find_command (&fixture, VP_COMMAND_START)->run, ==, 2);
  _teardown (&fixture);
}

/* The platform lists the worker with a later boot time. */
static void
_list_restarted (Fixture *fixture, const char *id)
{
  const VpCellWorker *worker = vp_workerlist_find (vp_cell_workers (fixture->cell), id);
  VpWorkerEntry entry = worker->entry;

  entry.booted_ms = worker->booted_ms + 1000;
  vp_cell_worker_listed (fixture->cell, &entry, fixture->now_ms);
}

/* Guards against a task that runs twice: its start reached the worker after a restart and was
 * answered before the platform's list showed the restart, and the run was taken for one of before.
 * The first list of the worker's new life decides. */
static void
test_start_answered_after_restart (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpRunningEntry running = { .is_task = true, .run = 1, .percent = 100 };
  g_autofree char *id = NULL;
  VpJob *jobs[2];
  VpJobTask *task, *other;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  jobs[0] = _run_one (&fixture, 1000);
  task = &jobs[0]->occurrences[0].steps[0].tasks[0];
  id = g_strdup (task->worker->entry.id);
  jobs[1] = _submit (&fixture, 1, 1000);
  /* The restart comes between the starts of the two tasks, both on the same worker. */
  fixture.now_ms += 100;
  other = &jobs[1]->occurrences[0].steps[0].tasks[0];
  vp_jobtask_assign (vp_cell_jobs (fixture.cell), other, task->worker, 1, fixture.now_ms);
  other->phase = VP_PHASE_RUNNING;
  other->start_tries = other->start_answers = 1;
  other->confirmed_ms = fixture.now_ms;
  fixture.now_ms += 100;
  _list_restarted (&fixture, id);
  _decide (&fixture);
  g_assert_null (_find_command (&fixture, VP_COMMAND_START));
  g_assert_null (_find_command (&fixture, VP_COMMAND_STOP));
  fixture.now_ms += 10;
  result = _hold_result (&fixture, id);
  result.booted_ms = task->worker->booted_ms;
  result.clock_ms = 120;
  running.task.job = jobs[1]->spec->id;
  g_array_append_val (result.running, running);
  _apply (&fixture, &result);
  g_assert_cmpuint (jobs[0]->assigned_count, ==, 0);
  g_assert_cmpuint (jobs[1]->assigned_count, ==, 1);
  _decide (&fixture);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, 1);
  g_assert_cmpuint (_find_command (&fixture, VP_COMMAND_START)->task.job, ==, jobs[0]->spec->id);
  g_assert_null (_find_command (&fixture, VP_COMMAND_STOP));
  _teardown (&fixture);
}

/* Guards against tasks that are never started again: their worker restarted, and was lost before it
 * answered in its new life. They count as ended once every lease there has expired. */
static void
test_restarted_worker_never_answers (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpRunningEntry running = { .is_task = true, .run = 3, .percent = 100 };
  int64_t expired_ms;
  int64_t restart_ms;
  VpJob *jobs[2];

  _setup (&fixture, 2, false);
  jobs[0] = _submit (&fixture, 1, 1000);
  jobs[1] = _submit (&fixture, 1, 1000);
  /* One task is adopted from an earlier scheduler, the other has an unanswered start. */
  running.task.job = jobs[0]->spec->id;
  result = _hold_result (&fixture, "w0");
  g_array_append_val (result.running, running);
  _apply (&fixture, &result);
  _decide (&fixture);
  g_assert_cmpstr (_find_command (&fixture, VP_COMMAND_START)->worker, ==, "w0");
  fixture.now_ms += 100;
  _list_restarted (&fixture, "w0");
  fixture.now_ms += 15;
  vp_cell_worker_unlisted (fixture.cell, "w0", fixture.now_ms);
  result = _hold_result (&fixture, "w0");
  result.outcome = VP_COMMAND_UNREACHABLE;
  _apply (&fixture, &result);
  result = _hold_result (&fixture, "w1");
  _apply (&fixture, &result);
  /* The longest lease, of a command that is carried out 2 s late, on a clock that is 2 % slow. */
  expired_ms = fixture.now_ms - 15 + (6000 + 2000) * 1000 / 980;
  restart_ms = fixture.now_ms + 1000;
  while (fixture.now_ms < expired_ms) {
    /* The worker's process starts again and again. */
    if (fixture.now_ms >= restart_ms) {
      _list_restarted (&fixture, "w0");
      restart_ms += 1000;
    }
    _decide (&fixture);
    g_assert_null (_find_command (&fixture, VP_COMMAND_START));
    fixture.now_ms += 50;
  }
  /* The task whose start may have crashed the worker is started by itself. */
  for (int i = 0; i < 20; i++) {
    const VpCommand *start;
    fixture.now_ms += 50;
    _decide (&fixture);
    start = _find_command (&fixture, VP_COMMAND_START);
    if (start != NULL)
      _answer (&fixture, start, VP_COMMAND_OK);
  }
  for (guint i = 0; i < G_N_ELEMENTS (jobs); i++) {
    const VpJobTask *task = &jobs[i]->occurrences[0].steps[0].tasks[0];
    g_assert_nonnull (task->worker);
    g_assert_cmpstr (task->worker->entry.id, ==, "w1");
  }
  _teardown (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/restarted-worker", test_restarted_worker);
  g_test_add_func ("/cell/restarted-worker-with-start-on-the-way",
                   test_restarted_worker_with_start_on_the_way);
  g_test_add_func ("/cell/start-answered-after-restart", test_start_answered_after_restart);
  g_test_add_func ("/cell/restarted-worker-never-answers", test_restarted_worker_never_answers);
  return g_test_run ();
}
