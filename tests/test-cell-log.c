/* Log lines of the scheduler about runs. */
#include "cell-fixture.h"
#include "log-capture.h"

/* Size of the log text that earlier calls of _assert_new_lines() have checked. */
static size_t _checked_bytes;

/* Fails unless exactly @count new lines were logged since the last call and one of them holds
 * @part. */
static void
_assert_new_lines (LogCapture *capture, uint32_t count, const char *part)
{
  g_autofree char *text = log_capture_read (capture);
  uint32_t lines = 0;

  for (const char *at = text + _checked_bytes; *at != '\0'; at++)
    lines += *at == '\n' ? 1 : 0;
  if (lines != count || (part != NULL && strstr (text + _checked_bytes, part) == NULL))
    g_error ("not %u lines with \"%s\": %s", count, part == NULL ? "" : part,
             text + _checked_bytes);
  _checked_bytes = strlen (text);
}

/* Sets up a scheduler with one worker and starts a job of @width tasks there. */
static void
_start_job (LogCapture *capture, Fixture *fixture, uint32_t width)
{
  log_capture_setup (capture);
  _checked_bytes = 0;
  _setup (fixture, 1, false);
  _sync (fixture);
  _decide (fixture);
  _assert_new_lines (capture, 3, "event=worker-listed service=service workers=w0@127.0.0.1:1\n");
  _submit (fixture, width, 100);
  _decide (fixture);
}

/* Lets the worker report the end of the task @index, while the tasks with higher indexes still run.
 */
static void
_end_run (Fixture *fixture, uint32_t number, uint32_t index, VpRunEnd end)
{
  VpCommandResult result = _hold_result (fixture, "w0");
  VpEndedEntry ended = { .number = number, .is_task = true, .run = 1, .end = end };

  ended.task = (VpTaskName){ .job = 1, .index = index };
  g_array_append_val (result.ended, ended);
  for (uint32_t i = index + 1; i < 4; i++) {
    VpRunningEntry running = { .task = { .job = 1, .index = i }, .is_task = true, .run = 1 };
    g_array_append_val (result.running, running);
  }
  _apply (fixture, &result);
}

/* Guards against starts, ends and stops that are logged late or with one line for each run. */
static void
test_runs (void)
{
  LogCapture capture;
  Fixture fixture;

  _start_job (&capture, &fixture, 4);
  _assert_new_lines (&capture, 1, "event=start why=fits run=1 tasks=0000000000000001.0.0:w0:0-3\n");
  _end_run (&fixture, 1, 0, VP_RUN_FAILED);
  _assert_new_lines (&capture, 1, "event=end why=failed run=1 tasks=0000000000000001.0.0:w0:0\n");
  g_assert_true (vp_cell_cancel (fixture.cell, 1, fixture.now_ms));
  _decide (&fixture);
  _assert_new_lines (&capture, 1,
                     "event=stop why=job-ended run=1 tasks=0000000000000001.0.0:w0:1-3\n");
  _teardown (&fixture);
  log_capture_teardown (&capture);
}

/* Guards against ends that are held back longer than allowed, or that are lost when the scheduler
 * shuts down. */
static void
test_done (void)
{
  LogCapture capture;
  Fixture fixture;

  _start_job (&capture, &fixture, 4);
  _assert_new_lines (&capture, 1, NULL);
  _end_run (&fixture, 1, 0, VP_RUN_DONE);
  _assert_new_lines (&capture, 1, "event=end why=done run=1 tasks=0000000000000001.0.0:w0:0\n");
  fixture.now_ms += 10;
  _end_run (&fixture, 2, 1, VP_RUN_DONE);
  _assert_new_lines (&capture, 0, NULL);
  fixture.now_ms += 90;
  _decide (&fixture);
  _assert_new_lines (&capture, 1,
                     "event=end why=done run=1 within_ms=90 tasks=0000000000000001.0.0:w0:1\n");
  _end_run (&fixture, 3, 2, VP_RUN_DONE);
  _assert_new_lines (&capture, 0, NULL);
  _teardown (&fixture);
  _assert_new_lines (&capture, 1, "event=end why=done run=1 tasks=0000000000000001.0.0:w0:2\n");
  log_capture_teardown (&capture);
}

/* Guards against runs that end with a restart of their worker and are missing from the log. They
 * end with the first list of the worker's new life. */
static void
test_lost (void)
{
  LogCapture capture;
  Fixture fixture;
  VpWorkerEntry entry = _worker_entry (0);
  VpCommandResult result;

  _start_job (&capture, &fixture, 3);
  _assert_new_lines (&capture, 1, NULL);
  for (guint i = 0, answered = 0; answered < 2; i++) {
    const VpCellEffect *effect = &g_array_index (fixture.effects, VpCellEffect, i);
    if (effect->kind != VP_CELL_COMMAND || effect->command.kind != VP_COMMAND_START
        || effect->command.task.index > 1)
      continue;
    _answer (&fixture, &effect->command, VP_COMMAND_OK);
    answered++;
  }
  entry.booted_ms = 2;
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  vp_cell_pause (fixture.cell);
  _decide (&fixture);
  _assert_new_lines (&capture, 2,
                     "event=stop why=restarted run=1 tasks=0000000000000001.0.0:w0:2\n");
  fixture.now_ms += 10;
  result = _hold_result (&fixture, "w0");
  result.booted_ms = 2;
  _apply (&fixture, &result);
  _assert_new_lines (&capture, 2,
                     "event=end why=restarted run=1 tasks=0000000000000001.0.0:w0:0-1\n");
  _teardown (&fixture);
  log_capture_teardown (&capture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-log/runs", test_runs);
  g_test_add_func ("/cell-log/done", test_done);
  g_test_add_func ("/cell-log/lost", test_lost);
  return g_test_run ();
}
