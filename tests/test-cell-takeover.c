/* What a new scheduler may conclude of what an earlier one, or an earlier life of a worker, left.
 */
#include "cell-fixture.h"

/* Tasks that an earlier scheduler started have its lease, although this one ordered none. */
static void
test_first_lease (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpRunningEntry entry = { .is_task = true, .run = 1, .percent = 100 };
  VpJob *job;

  _setup (&fixture, 1, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  entry.task.job = job->spec->id;
  result = _list (&fixture, "w0");
  g_array_append_val (result.running, entry);
  _take (&fixture, &result);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  /* Without an answer all is over once the lease is that the last HOLD may have renewed, on a clock
   * that is 2 % slow. */
  fixture.now_ms += 6000;
  _decide (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  fixture.now_ms += 400;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
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
    vp_jobtask_set_inherited_worker (vp_cell_jobs (fixture.cell), &job->runs[0].steps[0].tasks[i],
                                     "w9");
  _sync (&fixture);
  _submit (&fixture, 5, 1000);
  _decide (&fixture);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 2);
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
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 2);
  fixture.now_ms += 2600;
  _decide (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 18);
  g_assert_cmpint (vp_joblist_team (vp_cell_jobs (fixture.cell), "team")->used.cpu_milli, ==,
                   20000);
  _teardown (&fixture);
}

/* Another worker answers at the address of one that an earlier scheduler used: its life is over,
 * and waiting work of that time need not wait for its leases. */
static void
test_other_life (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpJob *job;

  _setup (&fixture, 2, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  result = _list (&fixture, "w0");
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  result = _list (&fixture, "w1");
  result.outcome = VP_COMMAND_WORKER_REPLACED;
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  _teardown (&fixture);
}

/* A run that was given up as lost had ended as done: the one that replaced it is stopped, and its
 * end, whatever it is, leaves the task done. */
static void
test_done_before (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_DONE };
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  ended.task.job = job->spec->id;
  result = _list (&fixture, "w0");
  result.outcome = VP_COMMAND_WORKER_REPLACED;
  _take (&fixture, &result);
  fixture.now_ms += 500;
  _decide (&fixture);
  g_assert_cmpuint (_find (&fixture, VP_COMMAND_START)->run, ==, 2);
  _answer (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_OK);
  result = _list (&fixture, "w0");
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  fixture.now_ms += 100;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_STOP));
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
  VpCommandResult result;
  VpJob *job, *other;

  _setup_relisting (&fixture, 2500, 1, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  other = _submit (&fixture, 1, 1000);
  job->is_inherited = other->is_inherited = true;
  running.task.job = job->spec->id;
  fixture.now_ms += 1000;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  result = _list (&fixture, "w1");
  g_array_append_val (result.running, running);
  _take (&fixture, &result);
  fixture.now_ms += 1400;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  fixture.now_ms += 200;
  _decide (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 1);
  g_assert_cmpuint (_find (&fixture, VP_COMMAND_START)->task.job, ==, other->spec->id);
  _teardown (&fixture);
}

/* What a scheduler that keeps its list of workers finds: "w0" and "w1" were kept. */
static void
_setup_kept_as (Fixture *fixture, uint32_t worker_count, bool is_open)
{
  GVariantBuilder rows;
  g_autoptr (GVariant) kept = NULL;

  _setup_cell (
      fixture,
      &(VpCellDesc){ .fence = 7, .hold_max_ms = 6000, .relist_ms = 2500, .stores_workers = true },
      worker_count, false);
  g_variant_builder_init (&rows, G_VARIANT_TYPE (VP_CELL_WORKERS_TYPE));
  g_variant_builder_add (&rows, "(sssb)", "w0", "127.0.0.1:1", "dc", TRUE);
  g_variant_builder_add (&rows, "(sssb)", "w1", "127.0.0.1:2", "dc", (gboolean)is_open);
  kept = g_variant_ref_sink (g_variant_builder_end (&rows));
  for (uint32_t i = 0; i < worker_count; i++) {
    g_autofree char *id = g_strdup_printf ("w%u", i);
    VpCommandResult result = _list (fixture, id);
    _take (fixture, &result);
  }
  vp_cell_load_workers (fixture->cell, kept);
  fixture->now_ms += 100;
  _submit (fixture, 1, 1000)->is_inherited = true;
  _decide (fixture);
}

static void
_setup_kept (Fixture *fixture, uint32_t worker_count)
{
  _setup_kept_as (fixture, worker_count, true);
}

/* A missing worker that was kept as closed runs nothing that isn't known. */
static void
test_kept_closed (void)
{
  Fixture fixture;

  _setup_kept_as (&fixture, 1, false);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  _teardown (&fixture);
}

/* All workers that were kept are listed and heard: nothing else can run, so there is no wait. */
static void
test_kept_roster (void)
{
  Fixture fixture;

  _setup_kept (&fixture, 2);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  _teardown (&fixture);
}

/* One of them is missing from the platform's list: it may be cut off and run what the last
 * scheduler started until its lease is over, on a clock that is 2 % slow. */
static void
test_kept_worker_missing (void)
{
  Fixture fixture;

  _setup_kept (&fixture, 1);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  g_assert_cmpuint (vp_cell_unverified_count (fixture.cell, fixture.now_ms), ==, 1);
  fixture.now_ms += (6000 + VP_WORKERLIST_UNCONFIRMED_MS) * 100 / 98;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  fixture.now_ms += VP_WORKERLIST_EXPIRY_MARGIN_MS;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  g_assert_cmpuint (vp_cell_unverified_count (fixture.cell, fixture.now_ms), ==, 0);
  _teardown (&fixture);
}

static bool
_is_kept_open (GVariant *kept, const char *worker)
{
  GVariantIter iter;
  const char *id, *address, *dc;
  gboolean is_open;

  g_variant_iter_init (&iter, kept);
  while (g_variant_iter_next (&iter, "(&s&s&sb)", &id, &address, &dc, &is_open)) {
    if (strcmp (id, worker) == 0)
      return is_open;
  }
  g_assert_not_reached ();
}

/* What the next commit keeps of @worker. */
static bool
_keep_roster (Fixture *fixture, bool is_complete, const char *worker)
{
  g_autoptr (GVariant) kept
      = g_variant_ref_sink (vp_cell_stage_workers (fixture->cell, is_complete, fixture->now_ms));

  vp_cell_workers_durable (fixture->cell, fixture->now_ms);
  return _is_kept_open (kept, worker);
}

/* A draining worker gets no starts; once a commit keeps all that was started there it is closed. */
static void
test_closed_worker (void)
{
  Fixture fixture;
  VpWorkerEntry entry = _entry (1);
  VpCommandResult result;

  _setup_kept (&fixture, 2);
  g_assert_true (_keep_roster (&fixture, true, "w1"));
  entry.is_draining = true;
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  _decide (&fixture);
  g_assert_true (vp_cell_has_unstaged_workers (fixture.cell));
  g_assert_true (_keep_roster (&fixture, false, "w1"));
  g_assert_true (vp_cell_has_unstaged_workers (fixture.cell));
  g_assert_false (_keep_roster (&fixture, true, "w1"));
  g_assert_false (vp_cell_has_unstaged_workers (fixture.cell));
  /* It is back in use only after a commit that opens it. */
  entry.is_draining = false;
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  for (int i = 0; i < 8; i++)
    _submit (&fixture, 1, 2000);
  fixture.now_ms += 100;
  _decide (&fixture);
  for (guint i = 0; i < fixture.effects->len; i++) {
    const VpCommand *command = &g_array_index (fixture.effects, VpCellEffect, i).order;
    g_assert_true (command->kind != VP_COMMAND_START || strcmp (command->worker, "w1") != 0);
  }
  g_assert_true (_keep_roster (&fixture, true, "w1"));
  result = _list (&fixture, "w1");
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_cmpstr (_find (&fixture, VP_COMMAND_START)->worker, ==, "w1");
  _teardown (&fixture);
}

/* A scheduler that is not sure itself what runs on a silent worker leaves it open for the next one;
 * once all leases are over the worker is closed. */
static void
test_unknown_worker_stays_open (void)
{
  Fixture fixture;

  _setup_kept (&fixture, 1);
  fixture.now_ms += 3000;
  _decide (&fixture);
  g_assert_true (_keep_roster (&fixture, true, "w1"));
  fixture.now_ms += 5300;
  vp_cell_decide (fixture.cell, fixture.now_ms, fixture.effects);
  g_assert_true (vp_cell_has_unstaged_workers (fixture.cell));
  g_assert_false (_keep_roster (&fixture, true, "w1"));
  _teardown (&fixture);
}

/* It is asked at the address that was kept: nothing else can run, so there is no wait. Its work
 * goes on, and it gets new work once it is listed. */
static void
test_kept_worker_off_the_list (void)
{
  Fixture fixture;
  VpRunningEntry running = { .is_task = true, .run = 1, .percent = 100, .task.job = 1 };
  VpCommandResult result;
  bool is_asked = false;

  _setup_kept (&fixture, 1);
  for (guint i = 0; i < fixture.effects->len; i++) {
    const VpCommand *command = &g_array_index (fixture.effects, VpCellEffect, i).order;
    is_asked = is_asked
               || (strcmp (command->worker, "w1") == 0 && strcmp (command->address, "127.0.0.1:2") == 0
                   && command->kind == VP_COMMAND_HOLD);
  }
  g_assert_true (is_asked);
  result = _list (&fixture, "w1");
  g_array_append_val (result.running, running);
  _take (&fixture, &result);
  _submit (&fixture, 5, 1000);
  _decide (&fixture);
  g_assert_cmpuint (vp_cell_unverified_count (fixture.cell, fixture.now_ms), ==, 0);
  g_assert_cmpuint (vp_joblist_find (vp_cell_jobs (fixture.cell), 1)->assigned_count, ==, 1);
  g_assert_cmpuint (_count (&fixture, VP_COMMAND_START), ==, 4);
  /* It is not forgotten before it had time to come back on the list. */
  result = _list (&fixture, "w1");
  result.sent_ms++;
  _take (&fixture, &result);
  fixture.now_ms += 2000;
  _decide (&fixture);
  g_assert_cmpuint (vp_cell_workers (fixture.cell)->workers->len, ==, 2);
  _teardown (&fixture);
}

/* What the last scheduler kept of its workers can't be read: any worker may be missing. */
static void
test_kept_list_unreadable (void)
{
  Fixture fixture;

  _setup (&fixture, 1, false);
  vp_cell_load_workers (fixture.cell, NULL);
  _submit (&fixture, 1, 1000)->is_inherited = true;
  _sync (&fixture);
  fixture.now_ms
      += (6000 + VP_WORKERLIST_UNCONFIRMED_MS) * 100 / 98 + VP_WORKERLIST_EXPIRY_MARGIN_MS;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  fixture.now_ms++;
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  _teardown (&fixture);
}

/* It comes back with the run that was not kept: that run goes on. */
static void
test_kept_worker_returns (void)
{
  Fixture fixture;
  VpRunningEntry running = { .is_task = true, .run = 1, .percent = 100, .task.job = 1 };
  VpWorkerEntry entry = _entry (1);
  VpCommandResult result;

  _setup_kept (&fixture, 1);
  fixture.now_ms += 5000;
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  result = _list (&fixture, "w1");
  g_array_append_val (result.running, running);
  _take (&fixture, &result);
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  g_assert_cmpuint (vp_joblist_find (vp_cell_jobs (fixture.cell), 1)->assigned_count, ==, 1);
  _teardown (&fixture);
}

/* After the limit neither leases are renewed nor tasks started, but workers are still listened to.
 */
static void
test_limited_orders (void)
{
  Fixture fixture;
  VpCommandResult result;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  _run_one (&fixture, 1000);
  _submit (&fixture, 1, 1000);
  vp_cell_limit_commands (fixture.cell, fixture.now_ms - 1);
  result = _list (&fixture, "w0");
  result.running->len = 0;
  _take (&fixture, &result);
  fixture.now_ms += 500;
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  g_assert_nonnull (_find (&fixture, VP_COMMAND_HOLD));
  g_assert_cmpint (_find (&fixture, VP_COMMAND_HOLD)->lease_end_ms, ==, 0);
  vp_cell_limit_commands (fixture.cell, fixture.now_ms);
  _decide (&fixture);
  g_assert_nonnull (_find (&fixture, VP_COMMAND_START));
  result = _list (&fixture, "w0");
  _take (&fixture, &result);
  fixture.now_ms += 500;
  vp_cell_limit_commands (fixture.cell, fixture.now_ms);
  _decide (&fixture);
  g_assert_cmpint (_find (&fixture, VP_COMMAND_HOLD)->lease_end_ms, >, 0);
  _teardown (&fixture);
}

/* A worker that a later scheduler would not know of gets no work; a commit without effect does not
 * change that. The list names workers that are still missing, too. */
static void
test_withheld_worker (void)
{
  Fixture fixture;
  VpWorkerEntry entry = _entry (2);
  VpCommandResult result;
  g_autoptr (GVariant) ids = NULL;

  _setup_kept (&fixture, 1);
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  result = _list (&fixture, "w2");
  _take (&fixture, &result);
  for (int i = 0; i < 8; i++)
    _submit (&fixture, 1, 2000);
  _decide (&fixture);
  for (guint i = 0; i < fixture.effects->len; i++) {
    const VpCommand *command = &g_array_index (fixture.effects, VpCellEffect, i).order;
    g_assert_true (command->kind != VP_COMMAND_START || strcmp (command->worker, "w2") != 0);
  }
  g_assert_true (vp_cell_has_unstaged_workers (fixture.cell));
  g_variant_unref (g_variant_ref_sink (vp_cell_stage_workers (fixture.cell, true, fixture.now_ms)));
  vp_cell_unstage_workers (fixture.cell);
  g_assert_true (vp_cell_has_unstaged_workers (fixture.cell));
  ids = g_variant_ref_sink (vp_cell_stage_workers (fixture.cell, true, fixture.now_ms));
  g_assert_cmpuint (g_variant_n_children (ids), ==, 3);
  _decide (&fixture);
  g_assert_null (_find (&fixture, VP_COMMAND_START));
  vp_cell_workers_durable (fixture.cell, fixture.now_ms);
  g_assert_false (vp_cell_has_unstaged_workers (fixture.cell));
  _decide (&fixture);
  g_assert_cmpstr (_find (&fixture, VP_COMMAND_START)->worker, ==, "w2");
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
  _answer (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_FENCED);
  g_assert_true (vp_cell_is_fenced (fixture.cell));
  _teardown (&fixture);
}

/* Two runs of a task failed while no commit went through; the later one's end comes first. Both
 * count, and its two attempts are used up. */
static void
test_unkept_failures (void)
{
  Fixture fixture;
  VpCommandResult result;
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

/* Workers turn a start of an inherited task away many times, then its runs fail. All failures
 * count, and the job fails with the second of its two attempts. */
static void
test_failures_after_many_runs (void)
{
  Fixture fixture;
  VpEndedEntry ended = { .is_task = true, .end = VP_RUN_FAILED };
  VpCommandResult result;
  const VpCommand *start;
  uint32_t run = 0;
  VpJob *job;

  _setup (&fixture, 1, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  ended.task.job = job->spec->id;
  _sync (&fixture);
  for (int i = 0; i < 70; i++) {
    fixture.now_ms += 600;
    _sync (&fixture);
    _decide (&fixture);
    start = _find (&fixture, VP_COMMAND_START);
    g_assert_cmpuint (start->run, >, run);
    run = start->run;
    _answer (&fixture, start, VP_COMMAND_NO_ROOM);
  }
  /* The gap to runs that an earlier scheduler may have ordered is needed once. */
  g_assert_cmpuint (run, <=, 8 + 70);
  for (int i = 0; i < 2; i++) {
    g_assert_cmpint (job->state, !=, VP_JOB_FAILED);
    fixture.now_ms += 3000;
    _sync (&fixture);
    _decide (&fixture);
    start = _find (&fixture, VP_COMMAND_START);
    ended.number = (uint64_t)i + 1;
    ended.run = start->run;
    _answer (&fixture, start, VP_COMMAND_OK);
    for (int k = 0; k < 2; k++) {
      result = _list (&fixture, "w0");
      g_array_append_val (result.ended, ended);
      _take (&fixture, &result);
    }
  }
  g_assert_cmpint (job->state, ==, VP_JOB_FAILED);
  _teardown (&fixture);
}

/* An earlier scheduler counted the failure of run 1 and gave run 2 up without an end; both are
 * listed now. Run 1 does not count again, run 2 does. */
static void
test_late_failure_of_lost_run (void)
{
  Fixture fixture;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_FAILED };
  g_autoptr (GVariant) progress = NULL;
  VpCommandResult result;
  VpJobTask *task;
  VpJob *job;

  _setup (&fixture, 1, false);
  job = _submit (&fixture, 1, 1000);
  task = &job->runs[0].steps[0].tasks[0];
  vp_jobtask_count_failure (vp_cell_jobs (fixture.cell), task, 1, 2, fixture.now_ms);
  task->run = 2;
  progress = g_variant_ref_sink (vp_job_encode_progress (job));
  _teardown (&fixture);

  _setup (&fixture, 1, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  g_assert_true (
      vp_joblist_decode_progress (vp_cell_jobs (fixture.cell), progress, fixture.now_ms));
  task = &job->runs[0].steps[0].tasks[0];
  g_assert_cmpuint (task->run, ==, 2);
  ended.task.job = job->spec->id;
  result = _list (&fixture, "w0");
  g_array_append_val (result.ended, ended);
  _take (&fixture, &result);
  g_assert_cmpuint (task->failures, ==, 1);
  ended.number = ended.run = 2;
  result = _list (&fixture, "w0");
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
  VpCommandResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_FAILED };
  VpWorkerEntry entry = _entry (0);
  VpJobTask *task;
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _submit (&fixture, 1, 1000);
  task = &job->runs[0].steps[0].tasks[0];
  _decide (&fixture);
  _answer (&fixture, _find (&fixture, VP_COMMAND_START), VP_COMMAND_OK);
  ended.task.job = job->spec->id;
  for (int i = 0; i < 2; i++) {
    result = _list (&fixture, "w0");
    g_array_append_val (result.ended, ended);
    _take (&fixture, &result);
    g_assert_cmpuint (task->failures, ==, 1);
    vp_cell_worker_unlisted (fixture.cell, "w0", fixture.now_ms);
    fixture.now_ms += 60;
    vp_cell_decide (fixture.cell, fixture.now_ms, fixture.effects);
    result = _list (&fixture, "w0");
    result.outcome = VP_COMMAND_UNCERTAIN;
    _take (&fixture, &result);
    fixture.now_ms += 60;
    _decide (&fixture);
    g_assert_cmpuint (vp_cell_workers (fixture.cell)->workers->len, ==, 0);
    vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  }
  _teardown (&fixture);
}

/* An end that an earlier scheduler has kept is listed again, as its acknowledgement was lost. */
static void
test_kept_failure (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpEndedEntry ended = { .number = 1, .is_task = true, .run = 1, .end = VP_RUN_FAILED };
  VpJobTask *task;
  VpJob *job;

  _setup (&fixture, 1, false);
  job = _submit (&fixture, 1, 1000);
  job->is_inherited = true;
  task = &job->runs[0].steps[0].tasks[0];
  task->run = task->stored_run = 1;
  task->failures = 1;
  task->failed_runs = 1;
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
  VpCommandResult result;
  VpJob *job;

  _setup (&fixture, 1, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  fixture.now_ms += 100;
  result = _list (&fixture, "w0");
  result.booted_ms = fixture.now_ms - 10;
  result.clock_ms = 10;
  _take (&fixture, &result);
  g_assert_cmpuint (job->assigned_count, ==, 0);
  _decide (&fixture);
  g_assert_cmpuint (_find (&fixture, VP_COMMAND_START)->run, ==, 2);
  _teardown (&fixture);
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/first-lease", test_first_lease);
  g_test_add_func ("/cell/unseen-counts", test_unseen_counts);
  g_test_add_func ("/cell/unsure-counts", test_unsure_counts);
  g_test_add_func ("/cell/other-life", test_other_life);
  g_test_add_func ("/cell/done-before", test_done_before);
  g_test_add_func ("/cell/relisted", test_relisted);
  g_test_add_func ("/cell/kept-roster", test_kept_roster);
  g_test_add_func ("/cell/kept-worker-missing", test_kept_worker_missing);
  g_test_add_func ("/cell/kept-closed", test_kept_closed);
  g_test_add_func ("/cell/closed-worker", test_closed_worker);
  g_test_add_func ("/cell/unknown-worker-stays-open", test_unknown_worker_stays_open);
  g_test_add_func ("/cell/kept-worker-off-the-list", test_kept_worker_off_the_list);
  g_test_add_func ("/cell/kept-list-unreadable", test_kept_list_unreadable);
  g_test_add_func ("/cell/kept-worker-returns", test_kept_worker_returns);
  g_test_add_func ("/cell/limited-orders", test_limited_orders);
  g_test_add_func ("/cell/withheld-worker", test_withheld_worker);
  g_test_add_func ("/cell/fenced", test_fenced);
  g_test_add_func ("/cell/unkept-failures", test_unkept_failures);
  g_test_add_func ("/cell/failures-after-many-runs", test_failures_after_many_runs);
  g_test_add_func ("/cell/late-failure-of-lost-run", test_late_failure_of_lost_run);
  g_test_add_func ("/cell/end-listed-twice", test_end_listed_twice);
  g_test_add_func ("/cell/kept-failure", test_kept_failure);
  g_test_add_func ("/cell/reborn", test_reborn);
  return g_test_run ();
}
