#include "vp-reconcile.h"
#include "vp-log.h"
#include "vp-metrics.h"

#include <string.h>

/* Maximum number of ends in one answer of a worker, a limit of the platform (PROTOCOL.md, "Running
 * tasks": "500 at a time"). The remaining ends follow in later answers, once these are
 * acknowledged. */
#define VP_RECONCILE_ENDS_MAX 500
/* Time for which successful ends are collected into common log lines. Some hundred runs end in a
 * second, and most of the ends are reported one by one. */
#define VP_RECONCILE_DONE_LOG_MS 100
/* Ends count in the forecasts only if a HOLD has waited for them all the time, but for a gap of
 * this length. After an answer the next HOLD is sent within 400 ms; one without an answer leaves a
 * gap of 3 s, after which runs of 0.4 s would count as runs of up to 3 s. */
#define VP_RECONCILE_GAP_MAX_MS 1000

void
vp_reconcile_setup (VpReconcile *reconcile,
                    VpWorkerList *worker_list,
                    VpJobList *jobs,
                    VpForecast *forecast,
                    uint64_t fence)
{
  memset (reconcile, 0, sizeof *reconcile);
  reconcile->worker_list = worker_list;
  reconcile->jobs = jobs;
  reconcile->fence = fence;
  reconcile->slowness = vp_slowness_setup ();
  reconcile->forecast = forecast;
  reconcile->orphan_stops = g_array_new (FALSE, FALSE, sizeof (VpCommand));
  vp_runlog_setup (&reconcile->log, &(VpRunlogDesc){ 0 });
  vp_runlog_setup (&reconcile->done_log, &(VpRunlogDesc){ .wait_ms = VP_RECONCILE_DONE_LOG_MS });
}

void
vp_reconcile_shutdown (VpReconcile *reconcile)
{
  vp_runlog_shutdown (&reconcile->done_log);
  vp_runlog_shutdown (&reconcile->log);
  for (guint i = 0; i < reconcile->orphan_stops->len; i++)
    vp_command_clear (&g_array_index (reconcile->orphan_stops, VpCommand, i));
  g_array_unref (reconcile->orphan_stops);
  vp_slowness_shutdown (reconcile->slowness);
}

void
vp_reconcile_worker_lost (VpReconcile *reconcile,
                          VpCellWorker *worker,
                          VpCrashEvidence evidence,
                          const char *why,
                          int64_t now_ms)
{
  guint count;
  g_autofree VpJobTask **tasks
      = (VpJobTask **)g_hash_table_get_keys_as_array (worker->tasks, &count);

  vp_log (now_ms, "worker-lost", "worker=%s why=%s tasks=%u silent_ms=%" G_GINT64_FORMAT,
          worker->entry.id, why, count, now_ms - worker->last_answer_ms);
  for (guint i = 0; i < count; i++)
    vp_runlog_add (&reconcile->log, "end", why, tasks[i], now_ms);
  vp_crash_blame (reconcile->jobs, worker, tasks, count, evidence, now_ms);
  for (guint i = 0; i < count; i++)
    vp_jobtask_end (reconcile->jobs, tasks[i], VP_RUN_LAPSED, 1, now_ms);
  worker->unknown_run_count = 0;
  /* The runs in lists that were requested before have ended. */
  worker->list_sent_ms = MAX (worker->list_sent_ms, now_ms);
}

/* Returns true if a start of the task's run may still reach the worker. Of a run that an earlier
 * scheduler has started, this scheduler doesn't know. */
static bool
_vp_reconcile_may_start_again (const VpJobTask *task)
{
  return task->start_tries == 0 || task->start_answers < task->start_tries;
}

void
vp_reconcile_worker_restarted (VpReconcile *reconcile,
                               VpCellWorker *worker,
                               int64_t booted_ms,
                               int64_t now_ms)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    VpJobTask *task = key;
    if (!_vp_reconcile_may_start_again (task))
      continue;
    /* The next scan sends the stop. */
    vp_runlog_add (&reconcile->log, "stop", "restarted", task, now_ms);
    task->phase = VP_PHASE_STOPPING;
    task->stop_sent_ms = task->confirmed_ms = 0;
  }
  vp_log (now_ms, "worker-restarted",
          "worker=%s booted_ms=%" G_GINT64_FORMAT " from_ms=%" G_GINT64_FORMAT
          " tasks=%u silent_ms=%" G_GINT64_FORMAT,
          worker->entry.id, booted_ms, worker->booted_ms, g_hash_table_size (worker->tasks),
          now_ms - worker->last_answer_ms);
  worker->unknown_run_count = 0;
  vp_workerlist_note_restart (reconcile->worker_list, worker, booted_ms, now_ms);
}

/* Returns true if the end of the run that @result reports may have been some time ago. */
static bool
_vp_reconcile_is_end_delayed (const VpCellWorker *worker,
                              const VpJobTask *task,
                              const VpCommandResult *result)
{
  int64_t seen_ms = MAX (worker->list_received_ms, task->started_ms);

  return worker->is_end_time_unknown || result->sent_ms - seen_ms > VP_RECONCILE_GAP_MAX_MS;
}

/* Returns true if the successful run tells how long the task takes: this scheduler has seen its
 * start, it didn't begin from a checkpoint or far from its data, and its end wasn't reported late.
 */
static bool
_vp_reconcile_is_measured (const VpCellWorker *worker,
                           const VpJobTask *task,
                           const VpCommandResult *result)
{
  const VpStepSpec *spec = task->step->spec;

  return task->start_tries > 0 && !task->is_resumed
         && (vp_text_is_empty (spec->rack) || strcmp (spec->rack, worker->entry.rack) == 0)
         && !_vp_reconcile_is_end_delayed (worker, task, result);
}

/* Records the duration of the successful run. One that doesn't tell how long the task takes counts
 * only for the detection of stalled tasks. */
static void
_vp_reconcile_record_duration (VpReconcile *reconcile,
                               const VpCellWorker *worker,
                               VpJobTask *task,
                               const VpCommandResult *result,
                               int64_t now_ms)
{
  const VpStepSpec *spec = task->step->spec;
  int64_t duration_ms = now_ms - task->started_ms;
  VpForecastKey key;

  if (spec->is_best_effort || spec->is_long_running)
    return;
  if (!_vp_reconcile_is_measured (worker, task, result)) {
    vp_forecast_record_limit (reconcile->forecast, task->step->occurrence->job->spec->queue,
                              duration_ms, now_ms);
    return;
  }
  if (task->forecast_p50_ms > 0) {
    vp_metrics_add (VP_COUNTER_FORECASTS_ENDED, 1);
    vp_metrics_add (VP_COUNTER_FORECASTS_IN_P50, duration_ms <= task->forecast_p50_ms ? 1 : 0);
    vp_metrics_add (VP_COUNTER_FORECASTS_IN_P90, duration_ms <= task->forecast_p90_ms ? 1 : 0);
  }
  vp_jobstep_forecast_key (task->step, &key);
  vp_forecast_record (reconcile->forecast, &key, duration_ms, worker->slowness, now_ms);
  vp_jobstep_record_duration (task->step, worker, duration_ms);
}

static void
_vp_reconcile_record_end (VpReconcile *reconcile,
                          VpCellWorker *worker,
                          VpJobTask *task,
                          VpRunEnd end,
                          const VpCommandResult *result,
                          int64_t now_ms)
{
  const VpJob *job = task->step->occurrence->job;

  vp_metrics_add (VP_COUNTER_ENDED, 1);
  if (end == VP_RUN_DONE) {
    vp_workerlist_record_success (worker);
    _vp_reconcile_record_duration (reconcile, worker, task, result, now_ms);
  } else if (end == VP_RUN_FAILED && vp_workerlist_record_failure (worker, job->spec->id, now_ms)) {
    vp_log (now_ms, "worker-quarantined", "worker=%s failed_jobs=%u until_ms=%" G_GINT64_FORMAT,
            worker->entry.id, worker->failed_jobs, worker->avoid_until_ms);
  }
}

/* Handles the end of a run that isn't assigned to the worker: a run of an earlier scheduler, or one
 * that counted as lost. */
static void
_vp_reconcile_unassigned_end (VpReconcile *reconcile,
                              VpJobTask *task,
                              const VpEndedEntry *entry,
                              int64_t now_ms)
{
  uint32_t attempts_max
      = vp_cellconfig_attempts_max (reconcile->config, task->step->occurrence->job->spec->queue);
  bool is_waiting = task->phase == VP_PHASE_WAITING;

  if (entry->end == VP_RUN_FAILED)
    vp_jobtask_count_failure (reconcile->jobs, task, entry->run, attempts_max, now_ms);
  /* The current run of the task isn't needed any more. */
  if (entry->end == VP_RUN_DONE && !is_waiting && !task->step->spec->is_gang)
    task->is_already_done = true;
  if (!is_waiting || (entry->run < task->stored_run && entry->end != VP_RUN_DONE))
    return;
  task->run = MAX (task->run, entry->run);
  if (entry->run >= task->stored_run)
    vp_jobtask_set_inherited_worker (reconcile->jobs, task, "");
  if (!vp_text_is_empty (entry->checkpoint))
    vp_text_set (&task->checkpoint, entry->checkpoint);
  if (entry->end == VP_RUN_DONE)
    vp_jobtask_end (reconcile->jobs, task, entry->end, attempts_max, now_ms);
}

static void
_vp_reconcile_handle_end (VpReconcile *reconcile,
                          VpCellWorker *worker,
                          const VpEndedEntry *entry,
                          const VpCommandResult *result,
                          int64_t now_ms)
{
  VpJobTask *task = entry->is_task ? vp_joblist_task (reconcile->jobs, &entry->task) : NULL;
  VpJob *job;

  if (task == NULL || task->phase == VP_PHASE_DONE)
    return;
  job = task->step->occurrence->job;
  if (task->worker != worker || task->run != entry->run) {
    _vp_reconcile_unassigned_end (reconcile, task, entry, now_ms);
    return;
  }
  vp_runlog_add (entry->end == VP_RUN_DONE ? &reconcile->done_log : &reconcile->log, "end",
                 vp_run_end_token (entry->end), task, now_ms);
  _vp_reconcile_record_end (reconcile, worker, task, entry->end, result, now_ms);
  if (entry->end == VP_RUN_DONE && task->step->done_count + 1 >= task->step->spec->task_count)
    vp_slowness_learn (reconcile->slowness, reconcile->worker_list, task->step);
  if (!vp_text_is_empty (entry->checkpoint))
    vp_text_set (&task->checkpoint, entry->checkpoint);
  vp_jobtask_end (reconcile->jobs, task, entry->end,
                  vp_cellconfig_attempts_max (reconcile->config, job->spec->queue), now_ms);
}

static void
_vp_reconcile_handle_ends (VpReconcile *reconcile,
                           VpCellWorker *worker,
                           const VpCommandResult *result,
                           int64_t now_ms)
{
  for (guint i = 0; result->ended != NULL && i < result->ended->len; i++) {
    const VpEndedEntry *entry = &g_array_index (result->ended, VpEndedEntry, i);
    if (entry->number <= worker->last_end_seen)
      continue;
    worker->last_end_seen = entry->number;
    reconcile->has_unstaged_ends = true;
    _vp_reconcile_handle_end (reconcile, worker, entry, result, now_ms);
  }
}

static bool
_vp_reconcile_may_adopt (const VpJobTask *task, const VpRunningEntry *entry)
{
  return task != NULL && task->phase == VP_PHASE_WAITING && entry->run >= task->run;
}

/* Handles a listed run that isn't assigned to the worker. The run is adopted if its task waits,
 * otherwise it is stopped. Runs of ended jobs are adopted too, so that they count as used by their
 * team until they have ended; the next scan stops them. */
static void
_vp_reconcile_unassigned_run (VpReconcile *reconcile,
                              VpCellWorker *worker,
                              VpJobTask *task,
                              const VpRunningEntry *entry,
                              int64_t now_ms)
{
  if (task == NULL || !_vp_reconcile_may_adopt (task, entry)) {
    VpCommand stop = {
      .kind = VP_COMMAND_STOP, .task = entry->task, .run = entry->run, .fence = reconcile->fence
    };
    worker->unknown_run_count++;
    if (!entry->is_task)
      return;
    vp_text_set (&stop.worker, worker->entry.id);
    g_strlcpy (stop.address, worker->entry.address, sizeof stop.address);
    g_array_append_val (reconcile->orphan_stops, stop);
    return;
  }
  vp_jobtask_assign (reconcile->jobs, task, worker, entry->run, now_ms);
  task->phase = VP_PHASE_RUNNING;
  task->confirmed_ms = now_ms;
  vp_runlog_add (&reconcile->log, "adopt", "listed", task, now_ms);
}

static void
_vp_reconcile_handle_running (VpReconcile *reconcile,
                              VpCellWorker *worker,
                              const VpCommandResult *result,
                              GHashTable *listed,
                              int64_t now_ms)
{
  worker->unknown_run_count = 0;
  for (guint i = 0; result->running != NULL && i < result->running->len; i++) {
    const VpRunningEntry *entry = &g_array_index (result->running, VpRunningEntry, i);
    VpJobTask *task = entry->is_task ? vp_joblist_task (reconcile->jobs, &entry->task) : NULL;
    if (task == NULL || task->worker != worker || task->run != entry->run)
      _vp_reconcile_unassigned_run (reconcile, worker, task, entry, now_ms);
    if (task == NULL || task->worker != worker)
      continue;
    g_hash_table_add (listed, task);
    if (task->phase == VP_PHASE_STARTING) {
      task->phase = VP_PHASE_RUNNING;
      task->confirmed_ms = now_ms;
    }
    if (!vp_text_is_empty (entry->checkpoint))
      vp_text_set (&task->checkpoint, entry->checkpoint);
    task->percent = entry->percent;
    task->gauge = entry->gauge;
  }
}

/* Returns the tasks of the worker that aren't in @listed, to be freed by the caller. Those that
 * were confirmed after the list was requested may run. */
static VpJobTask **
_vp_reconcile_missing_tasks (const VpCellWorker *worker,
                             const VpCommandResult *result,
                             GHashTable *listed,
                             guint *count)
{
  VpJobTask **tasks = (VpJobTask **)g_hash_table_get_keys_as_array (worker->tasks, count);
  guint kept = 0;

  for (guint i = 0; i < *count; i++) {
    if (!g_hash_table_contains (listed, tasks[i]) && tasks[i]->confirmed_ms < result->sent_ms)
      tasks[kept++] = tasks[i];
  }
  *count = kept;
  return tasks;
}

/* Ends runs that were confirmed before the list was requested and aren't in it. */
static void
_vp_reconcile_end_missing_runs (VpReconcile *reconcile,
                                VpCellWorker *worker,
                                const VpCommandResult *result,
                                GHashTable *listed,
                                int64_t now_ms)
{
  guint count;
  g_autofree VpJobTask **tasks = _vp_reconcile_missing_tasks (worker, result, listed, &count);

  for (guint i = 0; i < count; i++) {
    if (tasks[i]->confirmed_ms != 0)
      vp_runlog_add (&reconcile->log, "end",
                     worker->is_restart_unlisted ? "restarted" : "not-listed", tasks[i], now_ms);
  }
  /* Those that are missing from the first list of a worker's life ended with the earlier one. */
  if (worker->is_restart_unlisted)
    vp_crash_blame (reconcile->jobs, worker, tasks, count, VP_CRASH_OBSERVED, now_ms);
  for (guint i = 0; i < count; i++) {
    if (tasks[i]->worker == worker && tasks[i]->confirmed_ms != 0)
      vp_jobtask_end (reconcile->jobs, tasks[i], VP_RUN_LAPSED, 1, now_ms);
  }
  worker->is_restart_unlisted = false;
}

/* Handles a list after which no more ends follow: a run that is neither in it nor among the ends of
 * the lists before doesn't exist. */
static void
_vp_reconcile_handle_last_page (VpReconcile *reconcile,
                                VpCellWorker *worker,
                                const VpCommandResult *result,
                                GHashTable *listed,
                                int64_t now_ms)
{
  _vp_reconcile_end_missing_runs (reconcile, worker, result, listed, now_ms);
  if (!worker->is_synced)
    vp_log (now_ms, "worker-synced", "worker=%s running=%u unknown_runs=%u", worker->entry.id,
            g_hash_table_size (worker->tasks), worker->unknown_run_count);
  worker->is_synced = true;
}

/* Returns true if a later list of the worker has been handled. Of two HOLDs that were open at the
 * same time, the one that was sent first may be answered last, as it waits for an end, and its
 * answer be received first. The worker's clock tells the order of their answers. */
static bool
_vp_reconcile_is_overtaken (const VpCellWorker *worker, const VpCommandResult *result)
{
  return result->sent_ms < worker->list_sent_ms
         || (result->sent_ms <= worker->list_received_ms && result->clock_ms > 0
             && result->clock_ms < worker->list_clock_ms);
}

bool
vp_reconcile_handle_list (VpReconcile *reconcile,
                          VpCellWorker *worker,
                          const VpCommandResult *result,
                          int64_t now_ms)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (NULL, NULL);
  uint64_t seen_before;

  if (worker->booted_ms != 0 && result->booted_ms != 0 && worker->booted_ms != result->booted_ms) {
    /* The answer is from before the worker's restart and has arrived late. */
    if (result->booted_ms < worker->booted_ms)
      return true;
    vp_reconcile_worker_restarted (reconcile, worker, result->booted_ms, now_ms);
  }
  if (worker->booted_ms == 0)
    worker->booted_ms = result->booted_ms;
  if (result->is_late)
    vp_workerlist_note_clock (reconcile->worker_list, worker, result->clock_ms,
                              result->received_ms);
  else
    vp_workerlist_note_answer (reconcile->worker_list, worker, result->clock_ms,
                               result->received_ms);
  seen_before = worker->last_end_seen;
  _vp_reconcile_handle_ends (reconcile, worker, result, now_ms);
  /* Of a list that was overtaken by a later one, only the ends, which are numbered, are new. */
  if (_vp_reconcile_is_overtaken (worker, result))
    return false;
  worker->list_sent_ms = result->sent_ms;
  worker->list_clock_ms = result->clock_ms;
  worker->list_received_ms = result->received_ms;
  _vp_reconcile_handle_running (reconcile, worker, result, listed, now_ms);
  worker->has_more_ends = result->ended != NULL && result->ended->len >= VP_RECONCILE_ENDS_MAX;
  if (!worker->has_more_ends)
    _vp_reconcile_handle_last_page (reconcile, worker, result, listed, now_ms);
  else if (!worker->is_synced)
    vp_log (now_ms, "worker-has-more-ends", "worker=%s last_end=%" G_GUINT64_FORMAT,
            worker->entry.id, worker->last_end_seen);
  return worker->last_end_seen == worker->last_end_durable && worker->last_end_seen == seen_before
         && worker->unknown_run_count == 0;
}
