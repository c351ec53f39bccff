#include "vp-cell-private.h"
#include "vp-log.h"
#include "vp-metrics.h"
#include "vp-place.h"
#include "vp-stepqueue.h"

#include <string.h>

/* No tasks are placed for this long on a worker that rejected a start. */
#define VP_CELL_REFUSED_MS 500
/* Delay of the next start of a task after the worker couldn't parse the command; an immediate retry
 * would be rejected again. */
#define VP_CELL_INVALID_MS 2000
/* Delay before a gang that didn't fit is tried again. */
#define VP_CELL_GANG_RETRY_MS 50
/* Number of workers for which the interval between placements, and between scans, grows by 1 ms.
 * Both look at all workers, and without the interval one would follow each of some hundred answers
 * a second. */
#define VP_CELL_INTERVAL_WORKERS_PER_MS 60
/* Weight of each answer in the moving average of the time until a start is answered. */
#define VP_CELL_START_ANSWER_WEIGHT 0.05
/* Added to the run number of a task that an earlier scheduler may have started. That scheduler has
 * sent starts for fewer runs of one task than this without storing them, as it commits several
 * times a second. */
#define VP_CELL_RUN_SKIP 8

VpCell *
vp_cell_setup (const VpCellDesc *desc, int64_t now_ms)
{
  VpCell *cell = g_new0 (VpCell, 1);

  cell->desc = *desc;
  if (cell->desc.hold_policy == NULL)
    cell->desc.hold_policy = &vp_holdpolicy_default;
  cell->worker_list = vp_workerlist_setup (desc->hold_max_ms, now_ms);
  cell->jobs = vp_joblist_setup ();
  cell->forecast = vp_forecast_setup (desc->forecast_policy);
  vp_reconcile_setup (&cell->reconcile, cell->worker_list, cell->jobs, cell->forecast, desc->fence);
  /* Makes the serials of advice requests unique within the process, so that a late result for an
   * earlier scheduler isn't taken for one of this scheduler's. */
  cell->advise = vp_advise_setup (desc->fence << 24);
  cell->admission = vp_admission_setup ();
  cell->started_ms = now_ms;
  cell->commands_until_ms = INT64_MAX;
  return cell;
}

void
vp_cell_shutdown (VpCell *cell)
{
  if (cell == NULL)
    return;
  vp_joblist_shutdown (cell->jobs);
  vp_workerlist_shutdown (cell->worker_list);
  vp_reconcile_shutdown (&cell->reconcile);
  vp_forecast_shutdown (cell->forecast);
  vp_advise_shutdown (cell->advise);
  vp_admission_shutdown (cell->admission);
  vp_jobconfig_clear (&cell->job_config);
  g_free (cell);
}

/* Notes that the configuration of jobs has changed. */
static void
_vp_cell_update_config (VpCell *cell)
{
  cell->config = cell->reconcile.config = cell->job_config.config;
  cell->has_unchecked_failures = true;
}

void
vp_cell_set_config (VpCell *cell, VpCellConfig *config)
{
  vp_jobconfig_set (&cell->job_config, config, cell->jobs);
  _vp_cell_update_config (cell);
}

bool
vp_cell_has_config (const VpCell *cell)
{
  return cell->config != NULL;
}

uint32_t
vp_cell_kept_queue_count (const VpCell *cell)
{
  return cell->job_config.kept_count;
}

VpJobList *
vp_cell_jobs (VpCell *cell)
{
  return cell->jobs;
}

const VpWorkerList *
vp_cell_workers (const VpCell *cell)
{
  return cell->worker_list;
}

bool
vp_cell_is_fenced (const VpCell *cell)
{
  return cell->is_fenced;
}

bool
vp_cell_has_complete_state (const VpCell *cell)
{
  return cell->is_recovered || cell->desc.is_clean;
}

void
vp_cell_limit_commands (VpCell *cell, int64_t until_ms)
{
  cell->commands_until_ms = until_ms;
}

void
vp_cell_pause (VpCell *cell)
{
  cell->is_paused = true;
}

void
vp_cell_effect_clear (VpCellEffect *effect)
{
  if (effect->kind == VP_CELL_COMMAND)
    vp_command_clear (&effect->command);
  else
    g_clear_pointer (&effect->advice_request.workers, g_ptr_array_unref);
}

/* Events about workers. */

static void
_vp_cell_log_listed (const VpWorkerEntry *entry, int64_t now_ms)
{
  g_autofree char *keys = g_strdup_printf ("service=%s workers=", vp_text (entry->service));
  g_autofree char *item = g_strdup_printf ("%s@%s", entry->id, entry->address);

  vp_log_item (now_ms, "worker-listed", keys, item);
}

static void
_vp_cell_log_resized (const VpCellWorker *worker, const VpWorkerEntry *entry, int64_t now_ms)
{
  const VpResources *from = &worker->entry.capacity;
  const VpResources *to = &entry->capacity;

  vp_log (now_ms, "worker-resized",
          "worker=%s cpu_milli=%" G_GINT64_FORMAT " from=%" G_GINT64_FORMAT
          " mem_mib=%" G_GINT64_FORMAT " from_mem_mib=%" G_GINT64_FORMAT
          " used_cpu_milli=%" G_GINT64_FORMAT,
          entry->id, to->cpu_milli, from->cpu_milli, to->mem_mib, from->mem_mib,
          worker->used.cpu_milli);
}

void
vp_cell_worker_listed (VpCell *cell, const VpWorkerEntry *entry, int64_t now_ms)
{
  VpCellWorker *known = vp_workerlist_find (cell->worker_list, entry->id);
  bool was_draining = known != NULL && known->entry.is_draining;
  bool is_new = known == NULL;

  if (is_new || !known->is_listed)
    _vp_cell_log_listed (entry, now_ms);
  if (!is_new && strcmp (known->entry.address, entry->address) != 0) {
    vp_log (now_ms, "worker-address-changed", "worker=%s from=%s to=%s", entry->id,
            known->entry.address, entry->address);
    known->address_changed_ms = now_ms;
    cell->worker_list->is_changed = true;
  }
  if (!is_new && known->was_listed
      && memcmp (&known->entry.capacity, &entry->capacity, sizeof entry->capacity) != 0)
    _vp_cell_log_resized (known, entry, now_ms);
  known = vp_workerlist_update (cell->worker_list, entry);
  if (is_new)
    known->is_placement_blocked = cell->desc.stores_workers;
  /* The platform's entry shows a restart before the worker's own answers do. */
  if (entry->booted_ms != 0 && known->booted_ms != 0 && entry->booted_ms > known->booted_ms) {
    vp_reconcile_worker_restarted (&cell->reconcile, known, entry->booted_ms, now_ms);
    known->is_synced = false;
    known->hold_next_ms = 0;
  }
  if (entry->is_draining && !was_draining) {
    vp_log (now_ms, "worker-draining", "worker=%s remaining_ms=%" G_GINT64_FORMAT, entry->id,
            entry->remaining_ms);
    cell->scan_next_ms = 0;
  }
}

void
vp_cell_worker_unlisted (VpCell *cell, const char *id, int64_t now_ms)
{
  VpCellWorker *worker = vp_workerlist_find (cell->worker_list, id);

  if (worker == NULL || !worker->is_listed)
    return;
  worker->is_listed = false;
  vp_log (now_ms, "worker-unlisted", "worker=%s draining=%d silent_ms=%" G_GINT64_FORMAT, id,
          worker->entry.is_draining, now_ms - worker->last_answer_ms);
}

void
vp_cell_set_advice_client_count (VpCell *cell, uint32_t count)
{
  vp_advise_set_client_count (cell->advise, count);
}

void
vp_cell_advice_result (VpCell *cell, uint64_t serial, const GArray *rows, int64_t now_ms)
{
  vp_advise_handle_result (cell->advise, cell->worker_list, cell->jobs, serial, rows, now_ms);
}

void
vp_cell_worker_list_complete (VpCell *cell)
{
  cell->has_platform_list = true;
}

/* Results of starts and stops. */

/* Handles a start after which certainly no run was started: the task waits again. */
static void
_vp_cell_handle_not_started (VpCell *cell,
                             VpJobTask *task,
                             const VpCommandResult *result,
                             int64_t now_ms)
{
  vp_runlog_add (&cell->reconcile.log, "not-started", vp_command_outcome_token (result->outcome),
                 task, now_ms);
  vp_metrics_add (VP_COUNTER_START_REFUSED, 1);
  vp_jobtask_release (cell->jobs, task);
}

/* Returns true if the outcome of a start means that no run was started. */
static bool
_vp_cell_is_not_started (VpCommandOutcome outcome)
{
  return outcome != VP_COMMAND_OK && outcome != VP_COMMAND_SUPERSEDED
         && outcome != VP_COMMAND_FENCED && outcome != VP_COMMAND_UNCERTAIN
         && outcome != VP_COMMAND_WORKER_REPLACED;
}

/* Returns true if a late result of a start says nothing new. It may have been repeated, and the
 * results of the later commands decide then. */
static bool
_vp_cell_is_start_undecided (const VpJobTask *task, const VpCommandResult *result)
{
  return result->is_late
         && (result->outcome == VP_COMMAND_UNCERTAIN
             || result->outcome == VP_COMMAND_WORKER_REPLACED
             || (task->start_tries > 1 && _vp_cell_is_not_started (result->outcome)));
}

static void
_vp_cell_handle_start_result (VpCell *cell,
                              VpCellWorker *worker,
                              VpJobTask *task,
                              const VpCommandResult *result,
                              int64_t now_ms)
{
  if (task->phase != VP_PHASE_STARTING || _vp_cell_is_start_undecided (task, result))
    return;
  /* Although the repeated command had no effect, the first one may have started the run. */
  if ((task->start_tries > 1 || result->is_repeated) && _vp_cell_is_not_started (result->outcome)) {
    task->is_unanswered = true;
    task->start_tries = VP_CELL_START_TRIES;
    cell->scan_next_ms = 0;
    return;
  }
  switch (result->outcome) {
  case VP_COMMAND_OK:
  /* The run may have been started and have ended before the repeated command arrived; the worker's
   * next list shows that. */
  case VP_COMMAND_SUPERSEDED:
    task->phase = VP_PHASE_RUNNING;
    task->confirmed_ms = result->received_ms;
    cell->start_answer_ms
        += VP_CELL_START_ANSWER_WEIGHT
           * ((double)(result->received_ms - task->started_ms) - cell->start_answer_ms);
    if (task->start_tries == 1)
      vp_holdloss_record (&cell->hold_loss, false, now_ms);
    break;
  case VP_COMMAND_UNCERTAIN:
    /* The next scan repeats the start or stops the run. */
    task->is_unanswered = true;
    cell->scan_next_ms = 0;
    break;
  case VP_COMMAND_FENCED:
    break;
  case VP_COMMAND_BAD_TICKET:
    if (task->step->advice != NULL)
      g_hash_table_remove (task->step->advice, worker->entry.id);
    _vp_cell_handle_not_started (cell, task, result, now_ms);
    break;
  case VP_COMMAND_INVALID:
    task->not_before_ms = now_ms + VP_CELL_INVALID_MS;
    _vp_cell_handle_not_started (cell, task, result, now_ms);
    break;
  case VP_COMMAND_REFUSED:
  case VP_COMMAND_NO_CAPACITY:
    worker->avoid_until_ms = MAX (worker->avoid_until_ms, now_ms + VP_CELL_REFUSED_MS);
    _vp_cell_handle_not_started (cell, task, result, now_ms);
    break;
  case VP_COMMAND_UNREACHABLE:
    worker->is_reachable = false;
    _vp_cell_handle_not_started (cell, task, result, now_ms);
    break;
  case VP_COMMAND_LATE:
  case VP_COMMAND_WORKER_REPLACED:
  case VP_COMMAND_EXPIRED:
    _vp_cell_handle_not_started (cell, task, result, now_ms);
    break;
  }
}

static void
_vp_cell_handle_stop_result (VpCell *cell, VpJobTask *task, const VpCommandResult *result)
{
  if (task->phase != VP_PHASE_STOPPING || result->sent_ms < task->worker->restart_noted_ms)
    return;
  if (result->outcome == VP_COMMAND_OK)
    task->confirmed_ms = result->received_ms;
  else
    cell->scan_next_ms = 0;
}

static void
_vp_cell_flush_log (VpCell *cell, int64_t now_ms)
{
  vp_runlog_flush (&cell->reconcile.done_log, now_ms);
  vp_runlog_flush (&cell->reconcile.log, now_ms);
}

void
vp_cell_command_result (VpCell *cell, const VpCommandResult *result, int64_t now_ms)
{
  VpCellWorker *worker = vp_workerlist_find (cell->worker_list, result->worker);
  VpJobTask *task;
  int64_t clock_ms = 0;

  if (worker == NULL || result->fence != cell->desc.fence)
    return;
  if (result->outcome == VP_COMMAND_FENCED)
    cell->is_fenced = true;
  if (result->kind == VP_COMMAND_HOLD) {
    _vp_cell_handle_hold_result (cell, worker, result, now_ms);
    _vp_cell_flush_log (cell, now_ms);
    return;
  }
  /* The clock begins anew with a restart, so an answer may show the clock of before. */
  if (result->sent_ms >= worker->restart_noted_ms)
    clock_ms = result->clock_ms;
  if (result->is_late)
    vp_workerlist_note_clock (cell->worker_list, worker, clock_ms, result->received_ms);
  else if (result->clock_ms > 0)
    vp_workerlist_note_answer (cell->worker_list, worker, clock_ms, result->received_ms);
  task = vp_joblist_task (cell->jobs, &result->task);
  if (task == NULL || task->worker != worker || task->run != result->run)
    return;
  if (result->kind == VP_COMMAND_START && result->outcome != VP_COMMAND_UNCERTAIN
      && !result->is_repeated)
    task->start_answers++;
  if (result->kind == VP_COMMAND_START)
    _vp_cell_handle_start_result (cell, worker, task, result, now_ms);
  else if (result->kind == VP_COMMAND_STOP)
    _vp_cell_handle_stop_result (cell, task, result);
  if (result->outcome == VP_COMMAND_WORKER_REPLACED && !result->is_late)
    _vp_cell_handle_worker_replaced (cell, worker, result, now_ms);
  _vp_cell_flush_log (cell, now_ms);
}

/* Commits, and changes by callers. */

bool
vp_cell_has_unstaged_ends (const VpCell *cell)
{
  return cell->reconcile.has_unstaged_ends;
}

void
vp_cell_stage_ends (VpCell *cell)
{
  for (guint i = 0; i < cell->worker_list->workers->len; i++) {
    VpCellWorker *worker = cell->worker_list->workers->pdata[i];
    worker->last_end_staged = worker->last_end_seen;
  }
  cell->reconcile.has_unstaged_ends = false;
}

void
vp_cell_ends_durable (VpCell *cell, int64_t now_ms)
{
  for (guint i = 0; i < cell->worker_list->workers->len; i++) {
    VpCellWorker *worker = cell->worker_list->workers->pdata[i];
    if (worker->last_end_durable == worker->last_end_staged)
      continue;
    worker->last_end_durable = worker->last_end_staged;
    _vp_cell_schedule_acknowledgement (worker, now_ms);
  }
}

bool
vp_cell_has_unstaged_config (const VpCell *cell)
{
  return cell->job_config.is_unstaged;
}

GVariant *
vp_cell_stage_config (VpCell *cell)
{
  return vp_jobconfig_stage (&cell->job_config, cell->jobs);
}

void
vp_cell_unstage_config (VpCell *cell)
{
  cell->job_config.is_unstaged = true;
}

void
vp_cell_load_config (VpCell *cell, GVariant *stored)
{
  vp_jobconfig_load (&cell->job_config, stored, cell->jobs);
  _vp_cell_update_config (cell);
}

VpJob *
vp_cell_submit (VpCell *cell, VpJobSpec *spec, int64_t now_ms)
{
  const VpTeamConfig *team
      = cell->config == NULL ? NULL : vp_cellconfig_team (cell->config, spec->team);
  VpJob *job = vp_joblist_add (cell->jobs, spec, now_ms, now_ms);

  vp_joblist_mark_dirty (cell->jobs, job);
  vp_jobconfig_note_job (&cell->job_config, spec);
  if (team != NULL)
    job->is_over_rate = !vp_teamusage_take_job_token (vp_joblist_team (cell->jobs, spec->team),
                                                      team->weight, now_ms);
  return job;
}

bool
vp_cell_cancel (VpCell *cell, uint64_t id, int64_t now_ms)
{
  VpJob *job = vp_joblist_find (cell->jobs, id);

  if (job == NULL || !vp_joblist_cancel (cell->jobs, job, now_ms))
    return false;
  cell->scan_next_ms = 0;
  return true;
}

/* Placement. */

/* Returns true unless the task has failed as often as its queue allows, or has failed and that
 * number isn't known, as the queue is missing from the configuration. A job with the first normally
 * fails before, but _vp_cell_check_failures() passes over steps that become ready later. */
static bool
_vp_cell_may_run_again (const VpCell *cell, const VpJobTask *task)
{
  const VpQueueConfig *queue;

  if (task->failures == 0 || task->step->spec->is_long_running)
    return true;
  queue = vp_cellconfig_queue (cell->config, task->step->occurrence->job->spec->queue);
  return queue != NULL && !queue->is_kept && task->failures < MAX (queue->attempts_max, 1);
}

/* Returns false while a run of the waiting task that an earlier scheduler started may exist on a
 * worker that hasn't listed its runs, or if the job has ended or the task may not run again. The
 * task is given up, and its job fails, if it has crashed too many workers. */
static bool
_vp_cell_may_start (VpCell *cell, VpJobTask *task, int64_t now_ms)
{
  const VpCellWorker *worker;

  if (vp_job_is_ended (task->step->occurrence->job) || !_vp_cell_may_run_again (cell, task)
      || _vp_cell_may_run_unlisted (cell, task, now_ms))
    return false;
  if (vp_text_is_empty (task->inherited_worker))
    return true;
  worker = vp_workerlist_find (cell->worker_list, task->inherited_worker);
  if (worker != NULL)
    vp_crash_blame_inherited (cell->jobs, task, worker, now_ms);
  vp_jobtask_set_inherited_worker (cell->jobs, task, "");
  return !vp_job_is_ended (task->step->occurrence->job);
}

/* Returns the number for the next run of the waiting task. */
static uint32_t
_vp_cell_next_run (const VpCell *cell, const VpJobTask *task)
{
  bool is_last_run_known
      = cell->desc.is_clean || !task->step->occurrence->job->is_inherited || task->is_own_run;

  return task->run + (is_last_run_known ? 1 : VP_CELL_RUN_SKIP);
}

/* Sums for each team the demand of the waiting tasks that the previous scheduler may have started
 * without storing that. */
static void
_vp_cell_count_possibly_running (VpCell *cell, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer usage;

  g_hash_table_iter_init (&iter, cell->jobs->teams);
  while (g_hash_table_iter_next (&iter, NULL, &usage))
    memset (&((VpTeamUsage *)usage)->possibly_running, 0, sizeof (VpResources));
  for (guint i = 0; !vp_cell_has_complete_state (cell) && i < cell->jobs->ready_steps->len; i++) {
    const VpJobStep *step = cell->jobs->ready_steps->pdata[i];
    VpResources size = step->spec->size;

    if (!step->occurrence->job->is_inherited)
      continue;
    vp_resources_scale (&size, step->waiting_count);
    vp_resources_add (
        &vp_joblist_team (cell->jobs, step->occurrence->job->spec->team)->possibly_running, &size);
  }
  _vp_cell_count_ended_inherited (cell, now_ms);
}

/* Returns true if @count more tasks of the step are within the team's cap. */
static bool
_vp_cell_is_below_cap (VpCell *cell, const VpJobStep *step, uint32_t count)
{
  const VpJob *job = step->occurrence->job;
  const VpTeamConfig *team = vp_cellconfig_team (cell->config, job->spec->team);
  const VpTeamUsage *usage = vp_joblist_team (cell->jobs, job->spec->team);
  VpResources used = usage->used;
  VpResources more = step->spec->size;

  if (team == NULL)
    return true;
  vp_resources_scale (&more, count);
  vp_resources_add (&used, &more);
  vp_resources_add (&used, &usage->unobserved);
  vp_resources_add (&used, &usage->possibly_running);
  return (team->cap.cpu_milli == 0 || used.cpu_milli <= team->cap.cpu_milli)
         && (team->cap.mem_mib == 0 || used.mem_mib <= team->cap.mem_mib)
         && (team->cap.accel_count == 0 || used.accel_count <= team->cap.accel_count);
}

static bool
_vp_cell_is_urgent (const VpCell *cell, const VpJob *job)
{
  const VpQueueConfig *queue = vp_cellconfig_queue (cell->config, job->spec->queue);

  return queue != NULL && queue->priority == 0;
}

/* Notes how long the run of the task that was just assigned is expected to take. */
static void
_vp_cell_note_forecast (const VpCell *cell, VpJobTask *task)
{
  VpForecastKey key;
  VpForecastRange range;

  if (task->step->spec->is_long_running)
    return;
  vp_jobstep_forecast_key (task->step, &key);
  vp_forecast_task (cell->forecast, &key, &range);
  task->forecast_p50_ms = (int64_t)((double)range.p50_ms * task->worker->slowness);
  task->forecast_p90_ms = (int64_t)((double)range.p90_ms * task->worker->slowness);
  task->expected_end_ms = task->started_ms + task->forecast_p50_ms;
  vp_metrics_add (VP_COUNTER_FORECASTS, 1);
}

/* Assigns the task to the worker of the slot and sends the start. */
static void
_vp_cell_start_task (VpCell *cell,
                     VpPlacePool *pool,
                     VpJobTask *task,
                     VpPlaceSlot *slot,
                     uint32_t run,
                     int64_t now_ms,
                     GArray *effects)
{
  const VpJob *job = task->step->occurrence->job;
  VpCellWorker *worker = slot->worker;
  /* An earlier scheduler may have started the task without storing that. */
  bool may_be_running = job->is_inherited && !cell->desc.is_clean;

  if (!job->is_started)
    vp_metrics_observe (VP_HIST_WAIT_MS, now_ms - job->arrived_ms);
  vp_metrics_add (VP_COUNTER_INHERITED_STARTS, may_be_running ? 1 : 0);
  if (_vp_cell_is_urgent (cell, job)) {
    vp_metrics_add (VP_COUNTER_URGENT_STARTS, 1);
    if (vp_place_is_slow (worker))
      vp_metrics_add (VP_COUNTER_URGENT_STARTS_SLOW, 1);
  }
  vp_jobtask_assign (cell->jobs, task, worker, run, now_ms);
  task->is_own_run = true;
  _vp_cell_note_forecast (cell, task);
  vp_place_slot_update (pool, slot);
  if (vp_crash_is_suspect (task) && vp_crash_is_quiet (worker, task, now_ms))
    vp_crash_isolate (worker, task, now_ms);
  if (task->step->spec->is_one_rack && task->step->rack < 0)
    task->step->rack = (int32_t)worker->rack_index;
  vp_runlog_add (&cell->reconcile.log, "start", may_be_running ? "inherited" : "fits", task,
                 now_ms);
  _vp_cell_send_start (cell, task, now_ms, effects);
}

/* Starts all tasks of a gang or none. Returns false if the gang only waits for suitable workers. */
static bool
_vp_cell_place_gang (VpCell *cell,
                     VpPlacePool *pool,
                     VpJobStep *step,
                     const VpQueueConfig *queue,
                     int64_t now_ms,
                     GArray *effects)
{
  g_autofree VpPlaceSlot **slots = NULL;
  uint32_t count = step->spec->task_count;
  uint32_t run = 0;

  /* Tasks of the gang that still run must end first, as all of them start together. */
  if (step->waiting_count < count || !_vp_cell_is_below_cap (cell, step, count))
    return true;
  if (now_ms < step->gang_retry_ms)
    return false;
  for (uint32_t i = 0; i < count; i++) {
    if (now_ms < step->tasks[i].not_before_ms
        || !_vp_cell_may_start (cell, &step->tasks[i], now_ms))
      return true;
    run = MAX (run, _vp_cell_next_run (cell, &step->tasks[i]));
  }
  slots = g_new0 (VpPlaceSlot *, count);
  if (!vp_place_gang (pool, step, queue, now_ms, slots)) {
    step->gang_retry_ms = now_ms + VP_CELL_GANG_RETRY_MS;
    return false;
  }
  for (uint32_t i = 0; i < count; i++)
    _vp_cell_start_task (cell, pool, &step->tasks[i], slots[i], run, now_ms, effects);
  return true;
}

/* Starts tasks of the step. Returns false if at least one task only waits for a suitable worker. */
static bool
_vp_cell_place_tasks (VpCell *cell,
                      VpPlacePool *pool,
                      VpJobStep *step,
                      const VpQueueConfig *queue,
                      int64_t now_ms,
                      GArray *effects)
{
  bool is_placed = true;

  for (uint32_t i = 0; i < step->spec->task_count && step->waiting_count > 0; i++) {
    VpJobTask *task = &step->tasks[i];
    VpPlaceSlot *slot;
    if (task->phase != VP_PHASE_WAITING || now_ms < task->not_before_ms
        || !_vp_cell_may_start (cell, task, now_ms))
      continue;
    if (!_vp_cell_is_below_cap (cell, step, 1))
      return true;
    slot = vp_place_pick (pool, task, queue, now_ms);
    if (slot != NULL && vp_place_waits_for_fast (pool, task, queue, slot, now_ms)) {
      vp_metrics_add (VP_COUNTER_FAST_WAITS, 1);
      return false;
    }
    if (slot != NULL) {
      _vp_cell_start_task (cell, pool, task, slot, _vp_cell_next_run (cell, task), now_ms, effects);
      continue;
    }
    /* Only a suspect waits for an isolated start; the other tasks of the step don't. */
    if (!vp_crash_is_suspect (task))
      return false;
    is_placed = false;
  }
  return is_placed;
}

static void
_vp_cell_request_advice (VpCell *cell,
                         const VpPlacePool *pool,
                         const VpStepQueueItem *item,
                         int64_t now_ms,
                         GArray *effects)
{
  VpCellEffect effect = { .kind = VP_CELL_ADVICE_REQUEST };

  if (vp_advise_request (cell->advise, pool, item->step, item->queue, now_ms,
                         &effect.advice_request))
    g_array_append_val (effects, effect);
}

/* Starts the waiting tasks of an item, and requests advice if they lack workers. Returns false if
 * at least one task only waits for a suitable worker. */
static bool
_vp_cell_place_item (VpCell *cell,
                     VpStepQueue *step_queue,
                     const VpStepQueueItem *item,
                     int64_t now_ms,
                     GArray *effects)
{
  VpPlacePool *pool = vp_stepqueue_pool (step_queue, item);
  VpJobStep *step = item->step;
  bool is_placed;

  /* A task of another step of the job may have been given up in this decision. */
  if (vp_job_is_ended (step->occurrence->job))
    return true;
  if (!step->occurrence->job->is_durable)
    is_placed = !item->queue->has_advice;
  else if (step->spec->is_gang)
    is_placed = _vp_cell_place_gang (cell, pool, step, item->queue, now_ms, effects);
  else
    is_placed = _vp_cell_place_tasks (cell, pool, step, item->queue, now_ms, effects);
  if (is_placed)
    return true;
  if (item->queue->has_advice && vp_place_has_spare (pool, step))
    _vp_cell_request_advice (cell, pool, item, now_ms, effects);
  vp_place_reserve (pool, step, item->queue, now_ms);
  return false;
}

static void
_vp_cell_place_steps (VpCell *cell, int64_t now_ms, GArray *effects)
{
  VpStepQueueDesc desc = { .worker_list = cell->worker_list,
                           .jobs = cell->jobs,
                           .config = cell->config,
                           .forecast = cell->forecast };
  VpStepQueue step_queue;
  uint32_t step_count = 0, task_count = 0;

  _vp_cell_count_possibly_running (cell, now_ms);
  vp_stepqueue_setup (&step_queue, &desc, now_ms);
  for (guint i = 0; i < step_queue.items->len; i++) {
    const VpStepQueueItem *item = &g_array_index (step_queue.items, VpStepQueueItem, i);
    if (_vp_cell_place_item (cell, &step_queue, item, now_ms, effects)
        || vp_stepqueue_pool (&step_queue, item)->evacuated_count == 0)
      continue;
    step_count++;
    task_count += item->step->waiting_count;
  }
  _vp_cell_update_admission (cell, &step_queue, now_ms);
  vp_stepqueue_shutdown (&step_queue);
  _vp_cell_log_waiting (cell, step_count, task_count, now_ms);
}

int64_t
_vp_cell_interval_ms (const VpCell *cell)
{
  return cell->worker_list->workers->len / VP_CELL_INTERVAL_WORKERS_PER_MS;
}

/* Places waiting tasks, unless the last time was too short ago for the size of the cell. */
static void
_vp_cell_place (VpCell *cell, int64_t now_ms, GArray *effects)
{
  cell->is_place_due = now_ms < cell->place_next_ms;
  if (cell->is_place_due)
    return;
  cell->place_next_ms = now_ms + _vp_cell_interval_ms (cell);
  vp_joblist_start_due (cell->jobs, now_ms);
  _vp_cell_place_steps (cell, now_ms, effects);
}

/* Sends the stops for listed runs that belong to no task. */
static void
_vp_cell_stop_orphans (VpCell *cell, int64_t now_ms, GArray *effects)
{
  for (guint i = 0; i < cell->reconcile.orphan_stops->len; i++) {
    VpCellEffect effect = { .kind = VP_CELL_COMMAND,
                            .command = g_array_index (cell->reconcile.orphan_stops, VpCommand, i) };
    const VpJob *job = vp_joblist_find (cell->jobs, effect.command.task.job);
    char name[VP_TASK_NAME_MAX];
    vp_task_name_format (&effect.command.task, name);
    vp_log (now_ms, "stop-unassigned", "task=%s run=%u worker=%s job_state=%s", name,
            effect.command.run, effect.command.worker,
            job == NULL ? "unknown" : vp_job_state_token (job->state));
    g_array_append_val (effects, effect);
  }
  g_array_set_size (cell->reconcile.orphan_stops, 0);
}

void
vp_cell_decide (VpCell *cell, int64_t now_ms, GArray *effects)
{
  _vp_cell_check_failures (cell, now_ms);
  _vp_cell_stop_orphans (cell, now_ms, effects);
  _vp_cell_send_holds (cell, now_ms, effects);
  _vp_cell_check_recovered (cell, now_ms);
  _vp_cell_scan (cell, now_ms, effects);
  if (cell->is_paused || cell->config == NULL || now_ms > cell->commands_until_ms) {
    cell->is_place_due = false;
  } else if (!_vp_cell_knows_evacuations (cell)) {
    cell->is_place_due = false;
    _vp_cell_log_waiting (cell, cell->jobs->ready_steps->len, 0, now_ms);
  } else {
    _vp_cell_place (cell, now_ms, effects);
  }
  _vp_cell_flush_log (cell, now_ms);
}

int64_t
vp_cell_next_ms (const VpCell *cell, int64_t now_ms)
{
  int64_t next_ms = MIN (MAX (MAX (cell->scan_next_ms, cell->scan_earliest_ms), now_ms),
                         now_ms + VP_CELL_SCAN_MS);

  for (guint i = 0; i < cell->worker_list->workers->len; i++)
    next_ms
        = MIN (next_ms, _vp_cell_hold_next_ms (cell, cell->worker_list->workers->pdata[i], now_ms));
  if (cell->is_place_due)
    next_ms = MIN (next_ms, cell->place_next_ms);
  return MIN (next_ms, MAX (vp_joblist_next_due_ms (cell->jobs), cell->place_next_ms));
}

static void
_vp_cell_check_worker (const VpCellWorker *worker)
{
  GHashTableIter iter;
  gpointer key;
  VpResources sum = { 0 };

  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    const VpJobTask *task = key;
    VpResources demand = vp_jobtask_demand (task);
    g_assert (task->worker == worker && task->phase != VP_PHASE_WAITING);
    vp_resources_add (&sum, &demand);
  }
  g_assert (sum.cpu_milli == worker->used.cpu_milli && sum.mem_mib == worker->used.mem_mib
            && sum.accel_count == worker->used.accel_count);
}

void
vp_cell_check (const VpCell *cell)
{
  for (guint i = 0; i < cell->worker_list->workers->len; i++)
    _vp_cell_check_worker (cell->worker_list->workers->pdata[i]);
  for (guint i = 0; i < cell->jobs->ready_steps->len; i++) {
    const VpJobStep *step = cell->jobs->ready_steps->pdata[i];
    g_assert (step->waiting_count + step->assigned_count + step->done_count
              == step->spec->task_count);
  }
}
