/* Placement, orders and workers of one scheduler. */
#include "cell-fixture.h"

/* A repeated start that had no effect does not tell that the first one had none. */
static void
test_repeated_start (void)
{
  Fixture fixture;
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  _decide (&fixture);
  _answer (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_UNCERTAIN);
  fixture.now_ms += 10;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  g_assert_cmpuint (_find (&fixture, VP_COMMAND_START)->run, ==, 1);
  _answer (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_NO_ROOM);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  fixture.now_ms += 10;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  g_assert_nonnull (_find (&fixture, VP_COMMAND_STOP));
  /* The worker has stopped the run for good and lists nothing: the next run may start. */
  _answer (&fixture, _find (&fixture, VP_COMMAND_STOP), VP_COMMAND_OK);
  fixture.now_ms += 10;
  _sync (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 0);
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_cmpuint (_find (&fixture, VP_COMMAND_START)->run, ==, 2);
  _teardown (&fixture);
}

/* The transport may send a start twice by itself. */
static void
test_resent_start (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  _decide (&fixture);
  result = _result (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_BAD_TICKET);
  result.is_repeated = true;
  _take (&fixture, &result);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  _teardown (&fixture);
}

/* Room of what is being stopped stays taken. */
static void
test_stopping_takes_room (void)
{
  Fixture fixture;
  VpJob *first;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  first = _run_one (&fixture, 3000);
  _submit (&fixture, 1, 3000);
  vp_cell_cancel (fixture.cell, first->spec->id, fixture.now_ms);
  fixture.now_ms += 10;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_STOP));
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  _answer (&fixture, _find (&fixture, VP_COMMAND_STOP), VP_COMMAND_OK);
  fixture.now_ms += 10;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  _sync (&fixture);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  _teardown (&fixture);
}

/* 20,000 thousandths of a processor are the team's limit. */
static void
test_team_cap (void)
{
  Fixture fixture;

  _setup (&fixture, 8, false);
  _sync (&fixture);
  _submit (&fixture, 30, 1000);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 20);
  _teardown (&fixture);
}

/* Waiting work asks for advice only as far as calls can be answered. */
static void
test_ask_bound (void)
{
  Fixture fixture;
  uint32_t asks = 0;

  _setup (&fixture, 8, true);
  _sync (&fixture);
  vp_cell_set_advice_client_count (fixture.cell, 2);
  for (int i = 0; i < 20; i++)
    _submit (&fixture, 2, 500);
  _decide (&fixture);
  for (guint i = 0; i < fixture.effects->len; i++)
    asks += g_array_index (fixture.effects, VpCellEffect, i).kind == VP_CELL_ADVICE_REQUEST ? 1 : 0;
  g_assert_cmpuint (asks, ==, 4);
  _teardown (&fixture);
}

/* A worker that was never heard and leaves the platform's list may still run what an earlier
 * scheduler started: waiting work of that time stays until its lease is over. */
static void
test_unlisted_unheard (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpJob *job;

  _setup (&fixture, 2, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  result = _list (&fixture, "w0");
  _take (&fixture, &result);
  for (int i = 0; i < 7; i++) {
    if (i == 4)
      vp_cell_worker_unlisted (fixture.cell, "w1", fixture.now_ms);
    fixture.now_ms += 1000;
    result = _list (&fixture, "w0");
    _take (&fixture, &result);
    result = _list (&fixture, "w1");
    result.outcome = VP_COMMAND_UNCERTAIN;
    _take (&fixture, &result);
    _decide (&fixture);
    g_assert_null (_find (&fixture, VP_COMMAND_START));
  }
  fixture.now_ms += 2000;
  result = _list (&fixture, "w0");
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  _teardown (&fixture);
}

/* A worker that drained has left the list; its last list, with an end, is still under way. */
static void
test_last_list (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_DONE };
  VpWorkerEntry entry = _entry (0);
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  ended.task.job = job->spec->id;
  entry.is_draining = true;
  g_strlcpy (entry.id, job->runs[0].steps[0].tasks[0].worker->entry.id, sizeof entry.id);
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  fixture.now_ms += 400;
  vp_cell_worker_unlisted (fixture.cell, entry.id, fixture.now_ms);
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  result = _list (&fixture, entry.id);
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  g_assert_cmpint (job->state, ==, VP_JOB_COMPLETED);
  _teardown (&fixture);
}

/* The same without a last list. It may be cut off, so the tasks are started again only when its
 * lease is over, on a clock that is 2 % slow. */
static void
test_left (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpWorkerEntry entry = _entry (0);
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  entry.is_draining = true;
  g_strlcpy (entry.id, job->runs[0].steps[0].tasks[0].worker->entry.id, sizeof entry.id);
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  vp_cell_worker_unlisted (fixture.cell, entry.id, fixture.now_ms + 400);
  result = _list (&fixture, entry.id);
  result.outcome = VP_COMMAND_UNREACHABLE;
  _take (&fixture, &result);
  fixture.now_ms += 6000 * 100 / 98;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  fixture.now_ms += 2 * VP_WORKERLIST_EXPIRY_MARGIN_MS;
  _decide (&fixture);
  g_assert_cmpuint (_find (&fixture, VP_COMMAND_START)->run, ==, 2);
  _teardown (&fixture);
}

/* Pattern: steps of equal tasks on workers of different speed. Urgent work goes to the fast ones
 * once ends have told which they are. */
static void
test_fast_workers (void)
{
  Fixture fixture;
  const VpWorkerList *worker_list;

  _setup (&fixture, 3, false);
  _sync (&fixture);
  worker_list = vp_cell_workers (fixture.cell);
  for (int i = 0; i < 20; i++) {
    vp_workerlist_record_duration (worker_list->workers->pdata[0], 1250, 1000);
    vp_workerlist_record_duration (worker_list->workers->pdata[1], 1000, 1000);
    vp_workerlist_record_duration (worker_list->workers->pdata[2], 800, 1000);
  }
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  g_assert_cmpstr (_find (&fixture, VP_COMMAND_START)->worker, ==, "w2");
  _teardown (&fixture);
}

/* Pattern: a worker whose tasks end one after the other. One call brings several ends. */
static void
test_hold_gap (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_DONE };

  _setup (&fixture, 1, false);
  _sync (&fixture);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_HOLD), ==, 1);
  result = _list (&fixture, "w0");
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  fixture.now_ms += 20;
  vp_cell_stage_ends (fixture.cell);
  vp_cell_ends_durable (fixture.cell, fixture.now_ms);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_HOLD), ==, 0);
  fixture.now_ms += 80;
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_HOLD), ==, 1);
  g_assert_cmpuint (_find (&fixture, VP_COMMAND_HOLD)->seen, ==, 1);
  _teardown (&fixture);
}

/* Pattern: one order in twenty gets no answer. It is repeated for the same run long before the
 * transport gives up, and its worker gets no other work meanwhile. */
static void
test_start_again (void)
{
  Fixture fixture;
  const VpCommand *command;
  char worker[VP_NAME_MAX];

  _setup (&fixture, 2, false);
  _sync (&fixture);
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  g_strlcpy (worker, _find (&fixture, VP_COMMAND_START)->worker, sizeof worker);
  fixture.now_ms += 130;
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  command = _find (&fixture, VP_COMMAND_START);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 2);
  g_assert_cmpuint (command->run, ==, 1);
  g_assert_cmpstr (command->worker, ==, worker);
  command = &g_array_index (fixture.effects, VpCellEffect, fixture.effects->len - 1).order;
  g_assert_cmpstr (command->worker, !=, worker);
  _teardown (&fixture);
}

/* Pattern: a worker that fails all it is given at once, and so is always free. A task's second
 * attempt goes elsewhere, and after failures of two jobs the worker is put aside. */
static void
test_failing_worker (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpEndedEntry ended = { .is_task = true, .run = 1, .end = VP_RUN_FAILED };
  char worker[VP_NAME_MAX];

  _setup (&fixture, 2, false);
  _sync (&fixture);
  for (uint64_t i = 1; i <= 2; i++) {
    VpJob *job = _submit (&fixture, 1, 1000);
    _decide (&fixture);
    g_strlcpy (worker, _find (&fixture, VP_COMMAND_START)->worker, sizeof worker);
    g_assert_cmpstr (worker, ==, "w0");
    _answer (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_OK);
    fixture.now_ms += 200;
    ended.number = i;
    ended.task.job = job->spec->id;
    result = _list (&fixture, "w0");
    g_array_append_val (result.ended, ended);
    _take (&fixture, &result);
    fixture.now_ms += 100;
    _decide (&fixture);
    g_assert_cmpstr (_find (&fixture, VP_COMMAND_START)->worker, ==, "w1");
    _answer (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_OK);
    vp_cell_cancel (fixture.cell, job->spec->id, fixture.now_ms);
    fixture.now_ms += 100;
    _decide (&fixture);
    _answer (&fixture, _find (&fixture, VP_COMMAND_STOP), VP_COMMAND_OK);
    fixture.now_ms += 10;
    _sync (&fixture);
  }
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  g_assert_cmpstr (_find (&fixture, VP_COMMAND_START)->worker, ==, "w1");
  _teardown (&fixture);
}

/* A worker that is back from a cut just before its leases are over gets them renewed at once. */
static void
test_back_in_time (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpRunningEntry running = { .is_task = true, .run = 1, .percent = 100 };
  VpEndedEntry ended = { .number = 1, .run = 1, .end = VP_RUN_DONE };
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  running.task.job = job->spec->id;
  _decide (&fixture);
  _answer (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_OK);
  for (int i = 0; i < 29; i++) {
    result = _list (&fixture, "w0");
    result.outcome = VP_COMMAND_UNCERTAIN;
    _take (&fixture, &result);
    fixture.now_ms += 200;
    _decide (&fixture);
  }
  result = _list (&fixture, "w0");
  g_array_append_val (result.running, running);
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_HOLD));
  g_assert_cmpint (_find (&fixture, VP_COMMAND_HOLD)->lease_end_ms, >, 0);
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  _teardown (&fixture);
}

/* A worker that crashed for good: calls to it must not keep its leases from being over. */
static void
test_silent_worker (void)
{
  Fixture fixture;
  VpCommandResult result;
  int64_t silent_ms;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  _run_one (&fixture, 1000);
  g_assert_cmpstr (_find (&fixture, VP_COMMAND_START)->worker, ==, "w0");
  _decide (&fixture);
  silent_ms = fixture.now_ms;
  for (;;) {
    g_assert_cmpint (fixture.now_ms - silent_ms, <, 6500);
    fixture.now_ms += 200;
    _decide (&fixture);
    if (_find (&fixture, VP_COMMAND_START) != NULL)
      break;
    result = _list (&fixture, "w0");
    result.outcome = VP_COMMAND_UNCERTAIN;
    _take (&fixture, &result);
    result = _list (&fixture, "w1");
    _take (&fixture, &result);
  }
  g_assert_cmpint (fixture.now_ms - silent_ms, >=, 6000);
  g_assert_cmpstr (_find (&fixture, VP_COMMAND_START)->worker, ==, "w1");
  _teardown (&fixture);
}

/* A DC is cut off: nothing was heard of it since a start there was left without an answer. Its
 * other workers get nothing either until one of them is heard. */
static void
test_silent_dc (void)
{
  Fixture fixture;
  VpCommand first;
  VpCommandResult result;

  _setup (&fixture, 4, false);
  for (uint32_t i = 0; i < 4; i++) {
    VpWorkerEntry entry = _entry (i);
    g_strlcpy (entry.dc, i < 2 ? "cut" : "dc", sizeof entry.dc);
    vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  }
  _sync (&fixture);
  fixture.now_ms += 10;
  /* Fills one worker of the DC that is cut off. */
  _submit (&fixture, 1, 4000);
  _decide (&fixture);
  first = *_find (&fixture, VP_COMMAND_START);
  first.text = NULL;
  g_assert_true (strcmp (first.worker, "w0") == 0 || strcmp (first.worker, "w1") == 0);
  fixture.now_ms += 150;
  result = _list (&fixture, "w2");
  _take (&fixture, &result);
  _decide (&fixture);
  _submit (&fixture, 2, 4000);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 2);
  for (guint i = 0; i < fixture.effects->len; i++) {
    const VpCommand *command = &g_array_index (fixture.effects, VpCellEffect, i).order;
    if (command->kind == VP_COMMAND_START)
      g_assert_true (strcmp (command->worker, "w2") == 0 || strcmp (command->worker, "w3") == 0);
  }
  _submit (&fixture, 1, 4000);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 0);
  result = _result (&fixture, &first, VP_COMMAND_OK);
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 1);
  _teardown (&fixture);
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/repeated-start", test_repeated_start);
  g_test_add_func ("/cell/resent-start", test_resent_start);
  g_test_add_func ("/cell/stopping-takes-room", test_stopping_takes_room);
  g_test_add_func ("/cell/team-cap", test_team_cap);
  g_test_add_func ("/cell/ask-bound", test_ask_bound);
  g_test_add_func ("/cell/unlisted-unheard", test_unlisted_unheard);
  g_test_add_func ("/cell/last-list", test_last_list);
  g_test_add_func ("/cell/left", test_left);
  g_test_add_func ("/cell/fast-workers", test_fast_workers);
  g_test_add_func ("/cell/hold-gap", test_hold_gap);
  g_test_add_func ("/cell/start-again", test_start_again);
  g_test_add_func ("/cell/failing-worker", test_failing_worker);
  g_test_add_func ("/cell/back-in-time", test_back_in_time);
  g_test_add_func ("/cell/silent-worker", test_silent_worker);
  g_test_add_func ("/cell/silent-dc", test_silent_dc);
  return g_test_run ();
}
