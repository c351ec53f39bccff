/* The scheduler alone: results of orders come by hand. */
#include "vp-cell.h"

#include <string.h>

typedef struct {
  VpCell *cell;
  GArray *effects; /* VpCellEffect of the last decision */
  int64_t now_ms;
  uint64_t last_job;
} Fixture;

static void
_clear_effects (Fixture *fixture)
{
  for (guint i = 0; i < fixture->effects->len; i++)
    vp_cell_effect_clear (&g_array_index (fixture->effects, VpCellEffect, i));
  g_array_set_size (fixture->effects, 0);
}

static void
_decide (Fixture *fixture)
{
  _clear_effects (fixture);
  vp_cell_decide (fixture->cell, fixture->now_ms, fixture->effects);
  vp_cell_check (fixture->cell);
}

static VpWorkerEntry
_entry (uint32_t number)
{
  VpWorkerEntry entry = {
    .service = "service", .address = "127.0.0.1:1", .dc = "dc", .kind = "a", .remaining_ms = -1
  };

  g_snprintf (entry.id, sizeof entry.id, "w%u", number);
  g_snprintf (entry.rack, sizeof entry.rack, "r%u", number / 2);
  entry.capacity = (VpSize){ .cpu_milli = 4000, .mem_mib = 8192 };
  return entry;
}

/* An answer of a worker to a HOLD that was sent just now. */
static VpOrderResult
_list (const Fixture *fixture, const char *worker)
{
  VpOrderResult result = { .kind = VP_ORDER_HOLD,
                           .fence = 7,
                           .clock_ms = fixture->now_ms - 500000,
                           .born_ms = 1,
                           .sent_ms = fixture->now_ms,
                           .received_ms = fixture->now_ms };

  g_strlcpy (result.worker, worker, sizeof result.worker);
  result.running = g_array_new (FALSE, TRUE, sizeof (VpRunningEntry));
  result.ended = g_array_new (FALSE, TRUE, sizeof (VpEndedEntry));
  return result;
}

static void
_take (Fixture *fixture, VpOrderResult *result)
{
  vp_cell_order_result (fixture->cell, result, fixture->now_ms);
  vp_order_result_clear (result);
  vp_cell_check (fixture->cell);
}

static void
_setup_cell (Fixture *fixture, const VpCellDesc *desc, uint32_t worker_count, bool has_advice)
{
  VpQueueConf queue = { .name = "q",
                        .service = "service",
                        .attempts_max = 2,
                        .stretch = 2,
                        .latency_target_ms = 500,
                        .has_advice = has_advice,
                        .advice_decide_ms = 20,
                        .advice_worker_ms = 1,
                        .advice_valid_ms = 2000 };
  VpTeamConf team = { .name = "team", .cap = { .cpu_milli = 20000 } };
  VpCellConf *conf = vp_cellconf_new (1);

  *fixture = (Fixture){ .now_ms = 1000000 };
  fixture->effects = g_array_new (FALSE, FALSE, sizeof (VpCellEffect));
  fixture->cell = vp_cell_setup (desc, fixture->now_ms);
  g_array_append_val (conf->queues, queue);
  g_array_append_val (conf->teams, team);
  vp_cellconf_seal (conf);
  vp_cell_set_conf (fixture->cell, conf);
  vp_cellconf_unref (conf);
  for (uint32_t i = 0; i < worker_count; i++) {
    VpWorkerEntry entry = _entry (i);
    vp_cell_worker (fixture->cell, &entry, fixture->now_ms);
  }
  vp_cell_list_complete (fixture->cell);
  _decide (fixture);
}

static void
_setup_relisting (Fixture *fixture, int64_t relist_ms, uint32_t worker_count, bool has_advice)
{
  _setup_cell (
      fixture,
      &(VpCellDesc){ .fence = 7, .hold_max_ms = 6000, .gone_ms = 4500, .relist_ms = relist_ms },
      worker_count, has_advice);
}

static void
_setup (Fixture *fixture, uint32_t worker_count, bool has_advice)
{
  _setup_relisting (fixture, 0, worker_count, has_advice);
}

/* All workers answer that they run nothing. */
static void
_sync (Fixture *fixture)
{
  const VpRoster *roster = vp_cell_roster (fixture->cell);

  for (guint i = 0; i < roster->workers->len; i++) {
    VpOrderResult result = _list (fixture, ((VpRosterWorker *)roster->workers->pdata[i])->entry.id);
    _take (fixture, &result);
  }
}

static void
_teardown (Fixture *fixture)
{
  _clear_effects (fixture);
  g_array_unref (fixture->effects);
  vp_cell_shutdown (fixture->cell);
}

static VpJob *
_submit (Fixture *fixture, uint32_t width, int64_t cpu_milli)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
  VpJob *job;

  spec->id = ++fixture->last_job;
  spec->text = g_strdup ("text");
  g_strlcpy (spec->queue, "q", sizeof spec->queue);
  g_strlcpy (spec->team, "team", sizeof spec->team);
  spec->steps[0] = (VpStepSpec){ .task_count = width,
                                 .size = { .cpu_milli = cpu_milli, .mem_mib = 100 },
                                 .estimate_ms = 1000 };
  job = vp_joblist_add (vp_cell_jobs (fixture->cell), spec, fixture->now_ms, fixture->now_ms);
  job->is_durable = true;
  return job;
}

static const VpOrder *
_find (const Fixture *fixture, VpOrderKind kind)
{
  for (guint i = 0; i < fixture->effects->len; i++) {
    const VpCellEffect *effect = &g_array_index (fixture->effects, VpCellEffect, i);
    if (effect->kind == VP_CELL_ORDER && effect->order.kind == kind)
      return &effect->order;
  }
  return NULL;
}

static uint32_t
_count (const Fixture *fixture, VpOrderKind kind)
{
  uint32_t count = 0;

  for (guint i = 0; i < fixture->effects->len; i++) {
    const VpCellEffect *effect = &g_array_index (fixture->effects, VpCellEffect, i);
    count += effect->kind == VP_CELL_ORDER && effect->order.kind == kind ? 1 : 0;
  }
  return count;
}

static VpOrderResult
_result (const Fixture *fixture, const VpOrder *order, VpOrderOutcome outcome)
{
  VpOrderResult result = { .kind = order->kind,
                           .task = order->task,
                           .run = order->run,
                           .fence = order->fence,
                           .outcome = outcome,
                           .clock_ms = fixture->now_ms - 500000,
                           .sent_ms = fixture->now_ms,
                           .received_ms = fixture->now_ms };

  g_strlcpy (result.worker, order->worker, sizeof result.worker);
  return result;
}

static void
_answer (Fixture *fixture, const VpOrder *order, VpOrderOutcome outcome)
{
  VpOrderResult result = _result (fixture, order, outcome);

  _take (fixture, &result);
}

/* A job of one task that runs, as its worker has confirmed. */
static VpJob *
_run_one (Fixture *fixture, int64_t cpu_milli)
{
  VpJob *job = _submit (fixture, 1, cpu_milli);

  _decide (fixture);
  _answer (fixture, _find (fixture, VP_ORDER_START), VP_ORDER_OK);
  return job;
}

/* Tasks that an earlier scheduler started have its lease, although this one ordered none. */
static void
test_first_lease (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpRunningEntry entry = { .is_task = true, .run = 1, .percent = 100 };
  VpJob *job;

  _setup (&fixture, 1, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  entry.task.job = job->spec->id;
  result = _list (&fixture, "w0");
  g_array_append_val (result.running, entry);
  _take (&fixture, &result);
  g_assert_cmpuint (job->out_count, ==, 1);
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_cmpuint (job->out_count, ==, 1);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  /* Without an answer all is over once the lease is that the last HOLD may have renewed, on a clock
   * that is 2 % slow. */
  fixture.now_ms += 6000;
  _decide (&fixture);
  g_assert_cmpuint (job->out_count, ==, 1);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  fixture.now_ms += 400;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_ORDER_START));
  _teardown (&fixture);
}

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
  _answer (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_UNCERTAIN);
  fixture.now_ms += 10;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_ORDER_START));
  g_assert_cmpuint (_find (&fixture, VP_ORDER_START)->run, ==, 1);
  _answer (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_NO_ROOM);
  g_assert_cmpuint (job->out_count, ==, 1);
  fixture.now_ms += 10;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  g_assert_nonnull (_find (&fixture, VP_ORDER_STOP));
  /* The worker has stopped the run for good and lists nothing: the next run may start. */
  _answer (&fixture, _find (&fixture, VP_ORDER_STOP), VP_ORDER_OK);
  fixture.now_ms += 10;
  _sync (&fixture);
  g_assert_cmpuint (job->out_count, ==, 0);
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_cmpuint (_find (&fixture, VP_ORDER_START)->run, ==, 2);
  _teardown (&fixture);
}

/* The transport may send a start twice by itself. */
static void
test_resent_start (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  _decide (&fixture);
  result = _result (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_BAD_TICKET);
  result.is_repeated = true;
  _take (&fixture, &result);
  g_assert_cmpuint (job->out_count, ==, 1);
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
  g_assert_nonnull (_find (&fixture, VP_ORDER_STOP));
  g_assert_null (_find (&fixture, VP_ORDER_START));
  _answer (&fixture, _find (&fixture, VP_ORDER_STOP), VP_ORDER_OK);
  fixture.now_ms += 10;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  _sync (&fixture);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_ORDER_START));
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
  g_assert_cmpuint (_count (&fixture, VP_ORDER_START), ==, 20);
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
  vp_cell_set_askers (fixture.cell, 2);
  for (int i = 0; i < 20; i++)
    _submit (&fixture, 2, 500);
  _decide (&fixture);
  for (guint i = 0; i < fixture.effects->len; i++)
    asks += g_array_index (fixture.effects, VpCellEffect, i).kind == VP_CELL_ADVISE ? 1 : 0;
  g_assert_cmpuint (asks, ==, 4);
  _teardown (&fixture);
}

/* A worker that was never heard and leaves the platform's list may still run what an earlier
 * scheduler started: waiting work of that time stays until its lease is over. */
static void
test_unlisted_unheard (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpJob *job;

  _setup (&fixture, 2, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  result = _list (&fixture, "w0");
  _take (&fixture, &result);
  for (int i = 0; i < 7; i++) {
    if (i == 4)
      vp_cell_worker_gone (fixture.cell, "w1", fixture.now_ms);
    fixture.now_ms += 1000;
    result = _list (&fixture, "w0");
    _take (&fixture, &result);
    result = _list (&fixture, "w1");
    result.outcome = VP_ORDER_UNCERTAIN;
    _take (&fixture, &result);
    _decide (&fixture);
    g_assert_null (_find (&fixture, VP_ORDER_START));
  }
  fixture.now_ms += 2000;
  result = _list (&fixture, "w0");
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_ORDER_START));
  _teardown (&fixture);
}

/* A worker that drained has left the list; its last list, with an end, is still under way. */
static void
test_last_list (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_DONE };
  VpWorkerEntry entry = _entry (0);
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  ended.task.job = job->spec->id;
  entry.is_draining = true;
  g_strlcpy (entry.id, job->runs[0].steps[0].tasks[0].worker->entry.id, sizeof entry.id);
  vp_cell_worker (fixture.cell, &entry, fixture.now_ms);
  fixture.now_ms += 400;
  vp_cell_worker_gone (fixture.cell, entry.id, fixture.now_ms);
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  result = _list (&fixture, entry.id);
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  g_assert_cmpint (job->state, ==, VP_JOB_COMPLETED);
  _teardown (&fixture);
}

/* The same without a last list: the tasks are started again once a call fails. */
static void
test_left (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpWorkerEntry entry = _entry (0);
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  entry.is_draining = true;
  g_strlcpy (entry.id, job->runs[0].steps[0].tasks[0].worker->entry.id, sizeof entry.id);
  vp_cell_worker (fixture.cell, &entry, fixture.now_ms);
  vp_cell_worker_gone (fixture.cell, entry.id, fixture.now_ms + 400);
  result = _list (&fixture, entry.id);
  result.outcome = VP_ORDER_UNREACHABLE;
  _take (&fixture, &result);
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_cmpuint (_find (&fixture, VP_ORDER_START)->run, ==, 2);
  _teardown (&fixture);
}

/* What an earlier scheduler had running counts against the team's cap before it is seen. */
static void
test_unseen_counts (void)
{
  Fixture fixture;
  VpJob *job;

  _setup (&fixture, 8, false);
  job = _submit (&fixture, 18, 1000);
  job->is_inherited = true;
  for (uint32_t i = 0; i < 18; i++)
    vp_jobtask_set_last_worker (vp_cell_jobs (fixture.cell), &job->runs[0].steps[0].tasks[i], "w9");
  _sync (&fixture);
  _submit (&fixture, 5, 1000);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_START), ==, 2);
  _teardown (&fixture);
}

/* So do tasks that the last scheduler may have started on workers that aren't on the list again. */
static void
test_unsure_counts (void)
{
  Fixture fixture;
  VpJob *job;

  _setup_relisting (&fixture, 2500, 8, false);
  job = _submit (&fixture, 18, 1000);
  job->is_inherited = true;
  _sync (&fixture);
  _submit (&fixture, 5, 1000);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_START), ==, 2);
  fixture.now_ms += 2600;
  _decide (&fixture);
  g_assert_cmpuint (job->out_count, ==, 18);
  g_assert_cmpint (vp_joblist_team (vp_cell_jobs (fixture.cell), "team")->used.cpu_milli, ==,
                   20000);
  _teardown (&fixture);
}

/* Pattern: steps of equal tasks on workers of different speed. Urgent work goes to the fast ones
 * once ends have told which they are. */
static void
test_fast_workers (void)
{
  Fixture fixture;
  const VpRoster *roster;

  _setup (&fixture, 3, false);
  _sync (&fixture);
  roster = vp_cell_roster (fixture.cell);
  for (int i = 0; i < 20; i++) {
    vp_roster_note_time (roster->workers->pdata[0], 1250, 1000);
    vp_roster_note_time (roster->workers->pdata[1], 1000, 1000);
    vp_roster_note_time (roster->workers->pdata[2], 800, 1000);
  }
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  g_assert_cmpstr (_find (&fixture, VP_ORDER_START)->worker, ==, "w2");
  _teardown (&fixture);
}

/* Pattern: a worker whose tasks end one after the other. One call brings several ends. */
static void
test_hold_gap (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_DONE };

  _setup (&fixture, 1, false);
  _sync (&fixture);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_HOLD), ==, 1);
  result = _list (&fixture, "w0");
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  fixture.now_ms += 20;
  vp_cell_stage_ends (fixture.cell);
  vp_cell_ends_durable (fixture.cell, fixture.now_ms);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_HOLD), ==, 0);
  fixture.now_ms += 80;
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_HOLD), ==, 1);
  g_assert_cmpuint (_find (&fixture, VP_ORDER_HOLD)->seen, ==, 1);
  _teardown (&fixture);
}

/* Pattern: one order in twenty gets no answer. It is repeated for the same run long before the
 * transport gives up, and its worker gets no other work meanwhile. */
static void
test_start_again (void)
{
  Fixture fixture;
  const VpOrder *order;
  char worker[VP_NAME_MAX];

  _setup (&fixture, 2, false);
  _sync (&fixture);
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  g_strlcpy (worker, _find (&fixture, VP_ORDER_START)->worker, sizeof worker);
  fixture.now_ms += 130;
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  order = _find (&fixture, VP_ORDER_START);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_START), ==, 2);
  g_assert_cmpuint (order->run, ==, 1);
  g_assert_cmpstr (order->worker, ==, worker);
  order = &g_array_index (fixture.effects, VpCellEffect, fixture.effects->len - 1).order;
  g_assert_cmpstr (order->worker, !=, worker);
  _teardown (&fixture);
}

/* Pattern: a worker that fails all it is given at once, and so is always free. A task's second
 * attempt goes elsewhere, and after failures of two jobs the worker is put aside. */
static void
test_failing_worker (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpEndedEntry ended = { .is_task = true, .run = 1, .end = VP_RUN_FAILED };
  char worker[VP_NAME_MAX];

  _setup (&fixture, 2, false);
  _sync (&fixture);
  for (uint64_t i = 1; i <= 2; i++) {
    VpJob *job = _submit (&fixture, 1, 1000);
    _decide (&fixture);
    g_strlcpy (worker, _find (&fixture, VP_ORDER_START)->worker, sizeof worker);
    g_assert_cmpstr (worker, ==, "w0");
    _answer (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_OK);
    fixture.now_ms += 200;
    ended.number = i;
    ended.task.job = job->spec->id;
    result = _list (&fixture, "w0");
    g_array_append_val (result.ended, ended);
    _take (&fixture, &result);
    fixture.now_ms += 100;
    _decide (&fixture);
    g_assert_cmpstr (_find (&fixture, VP_ORDER_START)->worker, ==, "w1");
    _answer (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_OK);
    vp_cell_cancel (fixture.cell, job->spec->id, fixture.now_ms);
    fixture.now_ms += 100;
    _decide (&fixture);
    _answer (&fixture, _find (&fixture, VP_ORDER_STOP), VP_ORDER_OK);
    fixture.now_ms += 10;
    _sync (&fixture);
  }
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  g_assert_cmpstr (_find (&fixture, VP_ORDER_START)->worker, ==, "w1");
  _teardown (&fixture);
}

/* A worker that is back from a cut just before its leases are over gets them renewed at once. */
static void
test_back_in_time (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpRunningEntry running = { .is_task = true, .run = 1, .percent = 100 };
  VpEndedEntry ended = { .number = 1, .run = 1, .end = VP_RUN_DONE };
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  running.task.job = job->spec->id;
  _decide (&fixture);
  _answer (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_OK);
  for (int i = 0; i < 29; i++) {
    result = _list (&fixture, "w0");
    result.outcome = VP_ORDER_UNCERTAIN;
    _take (&fixture, &result);
    fixture.now_ms += 200;
    _decide (&fixture);
  }
  result = _list (&fixture, "w0");
  g_array_append_val (result.running, running);
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_ORDER_HOLD));
  g_assert_cmpint (_find (&fixture, VP_ORDER_HOLD)->lease_end_ms, >, 0);
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_cmpuint (job->out_count, ==, 1);
  _teardown (&fixture);
}

/* A worker that crashed for good: calls to it must not keep its leases from being over. */
static void
test_silent_worker (void)
{
  Fixture fixture;
  VpOrderResult result;
  int64_t silent_ms;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  _run_one (&fixture, 1000);
  g_assert_cmpstr (_find (&fixture, VP_ORDER_START)->worker, ==, "w0");
  _decide (&fixture);
  silent_ms = fixture.now_ms;
  for (;;) {
    g_assert_cmpint (fixture.now_ms - silent_ms, <, 6500);
    fixture.now_ms += 200;
    _decide (&fixture);
    if (_find (&fixture, VP_ORDER_START) != NULL)
      break;
    result = _list (&fixture, "w0");
    result.outcome = VP_ORDER_UNCERTAIN;
    _take (&fixture, &result);
    result = _list (&fixture, "w1");
    _take (&fixture, &result);
  }
  g_assert_cmpint (fixture.now_ms - silent_ms, >=, 6000);
  g_assert_cmpstr (_find (&fixture, VP_ORDER_START)->worker, ==, "w1");
  _teardown (&fixture);
}

/* Another worker answers at the address of one that an earlier scheduler used: its life is over,
 * and waiting work of that time need not wait for its leases. */
static void
test_other_life (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpJob *job;

  _setup (&fixture, 2, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  result = _list (&fixture, "w0");
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  result = _list (&fixture, "w1");
  result.outcome = VP_ORDER_OTHER_LIFE;
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_ORDER_START));
  _teardown (&fixture);
}

/* A run that was given up as lost had ended as done: the one that replaced it is stopped, and its
 * end, whatever it is, leaves the task done. */
static void
test_done_before (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_DONE };
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  ended.task.job = job->spec->id;
  result = _list (&fixture, "w0");
  result.outcome = VP_ORDER_OTHER_LIFE;
  _take (&fixture, &result);
  fixture.now_ms += 500;
  _decide (&fixture);
  g_assert_cmpuint (_find (&fixture, VP_ORDER_START)->run, ==, 2);
  _answer (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_OK);
  result = _list (&fixture, "w0");
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  fixture.now_ms += 100;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_ORDER_STOP));
  result = _list (&fixture, "w1");
  ended.run = 2;
  ended.end = VP_RUN_FAILED;
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  g_assert_cmpint (job->state, ==, VP_JOB_COMPLETED);
  _teardown (&fixture);
}

/* A worker that comes back on the list after the store's return may run what was started last. */
static void
test_relisted (void)
{
  Fixture fixture;
  VpRunningEntry running = { .is_task = true, .run = 1, .percent = 100 };
  VpWorkerEntry entry = _entry (1);
  VpOrderResult result;
  VpJob *job, *other;

  _setup_relisting (&fixture, 2500, 1, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  other = _submit (&fixture, 1, 1000);
  job->is_inherited = other->is_inherited = true;
  running.task.job = job->spec->id;
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  vp_cell_worker (fixture.cell, &entry, fixture.now_ms);
  result = _list (&fixture, "w1");
  g_array_append_val (result.running, running);
  _take (&fixture, &result);
  fixture.now_ms += 1400;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  fixture.now_ms += 200;
  _decide (&fixture);
  g_assert_cmpuint (job->out_count, ==, 1);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_START), ==, 1);
  g_assert_cmpuint (_find (&fixture, VP_ORDER_START)->task.job, ==, other->spec->id);
  _teardown (&fixture);
}

/* What a scheduler that keeps its list of workers finds: "w0" and "w1" were kept. */
static void
_setup_kept (Fixture *fixture, uint32_t worker_count)
{
  GVariantBuilder ids;
  g_autoptr (GVariant) kept = NULL;

  _setup_cell (fixture,
               &(VpCellDesc){ .fence = 7,
                              .hold_max_ms = 6000,
                              .gone_ms = 4500,
                              .relist_ms = 2500,
                              .keeps_roster = true },
               worker_count, false);
  g_variant_builder_init (&ids, G_VARIANT_TYPE (VP_CELL_ROSTER_TYPE));
  g_variant_builder_add (&ids, "s", "w0");
  g_variant_builder_add (&ids, "s", "w1");
  kept = g_variant_ref_sink (g_variant_builder_end (&ids));
  vp_cell_expect_roster (fixture->cell, kept);
  _sync (fixture);
  fixture->now_ms += 100;
  _submit (fixture, 1, 1000)->is_inherited = true;
  _decide (fixture);
}

/* All workers that were kept are listed and heard: nothing else can run, so there is no wait. */
static void
test_kept_roster (void)
{
  Fixture fixture;

  _setup_kept (&fixture, 2);
  g_assert_nonnull (_find (&fixture, VP_ORDER_START));
  _teardown (&fixture);
}

/* One of them is missing from the platform's list: it may be back within the time for that. */
static void
test_kept_worker_missing (void)
{
  Fixture fixture;

  _setup_kept (&fixture, 1);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  fixture.now_ms += 2300;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  fixture.now_ms += 200;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_ORDER_START));
  _teardown (&fixture);
}

/* A worker that a later scheduler would not know of gets no work; a commit without effect does not
 * change that. The list names workers that are still missing, too. */
static void
test_withheld_worker (void)
{
  Fixture fixture;
  VpWorkerEntry entry = _entry (2);
  VpOrderResult result;
  g_autoptr (GVariant) ids = NULL;

  _setup_kept (&fixture, 1);
  vp_cell_worker (fixture.cell, &entry, fixture.now_ms);
  result = _list (&fixture, "w2");
  _take (&fixture, &result);
  for (int i = 0; i < 8; i++)
    _submit (&fixture, 1, 2000);
  _decide (&fixture);
  for (guint i = 0; i < fixture.effects->len; i++) {
    const VpOrder *order = &g_array_index (fixture.effects, VpCellEffect, i).order;
    g_assert_true (order->kind != VP_ORDER_START || strcmp (order->worker, "w2") != 0);
  }
  g_assert_true (vp_cell_has_unstaged_roster (fixture.cell));
  g_variant_unref (g_variant_ref_sink (vp_cell_stage_roster (fixture.cell)));
  vp_cell_unstage_roster (fixture.cell);
  g_assert_true (vp_cell_has_unstaged_roster (fixture.cell));
  ids = g_variant_ref_sink (vp_cell_stage_roster (fixture.cell));
  g_assert_cmpuint (g_variant_n_children (ids), ==, 3);
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  vp_cell_roster_durable (fixture.cell);
  g_assert_false (vp_cell_has_unstaged_roster (fixture.cell));
  _decide (&fixture);
  g_assert_cmpstr (_find (&fixture, VP_ORDER_START)->worker, ==, "w2");
  _teardown (&fixture);
}

/* A worker that has heard a later scheduler says so. */
static void
test_fenced (void)
{
  Fixture fixture;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  _submit (&fixture, 1, 1000);
  _decide (&fixture);
  g_assert_false (vp_cell_is_fenced (fixture.cell));
  _answer (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_FENCED);
  g_assert_true (vp_cell_is_fenced (fixture.cell));
  _teardown (&fixture);
}

/* Two runs of a task failed while no commit went through; the later one's end comes first. Both
 * count, and its two attempts are used up. */
static void
test_unkept_failures (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .end = VP_RUN_FAILED };
  VpJob *job;

  _setup (&fixture, 2, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  ended.task.job = job->spec->id;
  result = _list (&fixture, "w0");
  ended.run = 2;
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  result = _list (&fixture, "w1");
  ended.run = 1;
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  g_assert_cmpint (job->state, ==, VP_JOB_FAILED);
  _teardown (&fixture);
}

/* A worker is forgotten behind a cut and comes back with an end that was counted before. */
static void
test_end_listed_twice (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_FAILED };
  VpWorkerEntry entry = _entry (0);
  VpJobTask *task;
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  task = &job->runs[0].steps[0].tasks[0];
  _decide (&fixture);
  _answer (&fixture, _find (&fixture, VP_ORDER_START), VP_ORDER_OK);
  ended.task.job = job->spec->id;
  for (int i = 0; i < 2; i++) {
    result = _list (&fixture, "w0");
    g_array_append_val (result.ended, ended);
    _take (&fixture, &result);
    g_assert_cmpuint (task->failures, ==, 1);
    vp_cell_worker_gone (fixture.cell, "w0", fixture.now_ms);
    fixture.now_ms += 60;
    vp_cell_decide (fixture.cell, fixture.now_ms, fixture.effects);
    result = _list (&fixture, "w0");
    result.outcome = VP_ORDER_UNCERTAIN;
    _take (&fixture, &result);
    fixture.now_ms += 60;
    _decide (&fixture);
    g_assert_cmpuint (vp_cell_roster (fixture.cell)->workers->len, ==, 0);
    vp_cell_worker (fixture.cell, &entry, fixture.now_ms);
  }
  _teardown (&fixture);
}

/* An end that an earlier scheduler has kept is listed again, as its acknowledgement was lost. */
static void
test_kept_failure (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_FAILED };
  VpJobTask *task;
  VpJob *job;

  _setup (&fixture, 1, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  task = &job->runs[0].steps[0].tasks[0];
  task->run = task->kept_run = 1;
  task->failures = 1;
  ended.task.job = job->spec->id;
  result = _list (&fixture, "w0");
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  g_assert_cmpuint (task->failures, ==, 1);
  g_assert_cmpint (job->state, ==, VP_JOB_QUEUED);
  _teardown (&fixture);
}

/* A worker that starts anew under its identity runs nothing of before. */
static void
test_reborn (void)
{
  Fixture fixture;
  VpOrderResult result;
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  fixture.now_ms += 100;
  result = _list (&fixture, "w0");
  result.born_ms = fixture.now_ms - 10;
  result.clock_ms = 10;
  _take (&fixture, &result);
  g_assert_cmpuint (job->out_count, ==, 0);
  _decide (&fixture);
  g_assert_cmpuint (_find (&fixture, VP_ORDER_START)->run, ==, 2);
  _teardown (&fixture);
}

/* A DC is cut off: nothing was heard of it since a start there was left without an answer. Its
 * other workers get nothing either until one of them is heard. */
static void
test_silent_dc (void)
{
  Fixture fixture;
  VpOrder first;
  VpOrderResult result;

  _setup (&fixture, 4, false);
  for (uint32_t i = 0; i < 4; i++) {
    VpWorkerEntry entry = _entry (i);
    g_strlcpy (entry.dc, i < 2 ? "cut" : "dc", sizeof entry.dc);
    vp_cell_worker (fixture.cell, &entry, fixture.now_ms);
  }
  _sync (&fixture);
  fixture.now_ms += 10;
  /* Fills one worker of the DC that is cut off. */
  _submit (&fixture, 1, 4000);
  _decide (&fixture);
  first = *_find (&fixture, VP_ORDER_START);
  first.text = NULL;
  g_assert_true (strcmp (first.worker, "w0") == 0 || strcmp (first.worker, "w1") == 0);
  fixture.now_ms += 150;
  result = _list (&fixture, "w2");
  _take (&fixture, &result);
  _decide (&fixture);
  _submit (&fixture, 2, 4000);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_START), ==, 2);
  for (guint i = 0; i < fixture.effects->len; i++) {
    const VpOrder *order = &g_array_index (fixture.effects, VpCellEffect, i).order;
    if (order->kind == VP_ORDER_START)
      g_assert_true (strcmp (order->worker, "w2") == 0 || strcmp (order->worker, "w3") == 0);
  }
  _submit (&fixture, 1, 4000);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_START), ==, 0);
  result = _result (&fixture, &first, VP_ORDER_OK);
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_ORDER_START), ==, 1);
  _teardown (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/first-lease", test_first_lease);
  g_test_add_func ("/cell/repeated-start", test_repeated_start);
  g_test_add_func ("/cell/resent-start", test_resent_start);
  g_test_add_func ("/cell/stopping-takes-room", test_stopping_takes_room);
  g_test_add_func ("/cell/team-cap", test_team_cap);
  g_test_add_func ("/cell/ask-bound", test_ask_bound);
  g_test_add_func ("/cell/unlisted-unheard", test_unlisted_unheard);
  g_test_add_func ("/cell/last-list", test_last_list);
  g_test_add_func ("/cell/left", test_left);
  g_test_add_func ("/cell/unseen-counts", test_unseen_counts);
  g_test_add_func ("/cell/unsure-counts", test_unsure_counts);
  g_test_add_func ("/cell/fast-workers", test_fast_workers);
  g_test_add_func ("/cell/hold-gap", test_hold_gap);
  g_test_add_func ("/cell/start-again", test_start_again);
  g_test_add_func ("/cell/failing-worker", test_failing_worker);
  g_test_add_func ("/cell/back-in-time", test_back_in_time);
  g_test_add_func ("/cell/silent-worker", test_silent_worker);
  g_test_add_func ("/cell/other-life", test_other_life);
  g_test_add_func ("/cell/done-before", test_done_before);
  g_test_add_func ("/cell/relisted", test_relisted);
  g_test_add_func ("/cell/silent-dc", test_silent_dc);
  g_test_add_func ("/cell/kept-roster", test_kept_roster);
  g_test_add_func ("/cell/kept-worker-missing", test_kept_worker_missing);
  g_test_add_func ("/cell/withheld-worker", test_withheld_worker);
  g_test_add_func ("/cell/fenced", test_fenced);
  g_test_add_func ("/cell/unkept-failures", test_unkept_failures);
  g_test_add_func ("/cell/end-listed-twice", test_end_listed_twice);
  g_test_add_func ("/cell/kept-failure", test_kept_failure);
  g_test_add_func ("/cell/reborn", test_reborn);
  return g_test_run ();
}
