#include "vp-cell-private.h"
#include "vp-log.h"
#include "vp-metrics.h"
#include "vp-throttle.h"

#include <string.h>

/* Delay before a start without an answer is repeated. Workers answer within some milliseconds,
 * while the transport gives up only after a second. */
#define VP_CELL_START_HEDGE_MS 120
/* The delay is at least this many times the usual time until a start is answered, so that slow
 * answers on a full link don't cause repeated starts. */
#define VP_CELL_START_HEDGE_FACTOR 4
/* No other tasks are placed for this long on a worker that is slow to answer a start, as it may be
 * partitioned. */
#define VP_CELL_SLOW_ANSWER_MS 300
/* Delay before a stop without an answer is repeated. */
#define VP_CELL_STOP_RETRY_MS 300
/* Maximum number of times that the time limit of a task is doubled. It is doubled each time that
 * the task is stopped as stalled. */
#define VP_CELL_STALL_DOUBLINGS 10

/* Returns the time after which the task's run counts as stalled. The limit grows each time that the
 * task is stopped as stalled, so that a task that merely takes longer than others of its queue
 * completes in one of its later runs. */
static int64_t
_vp_cell_stall_limit_ms (const VpCell *cell, const VpJobTask *task)
{
  int64_t limit_ms
      = vp_forecast_limit_ms (cell->forecast, task->step->occurrence->job->spec->queue);
  uint32_t doublings = MIN (task->stall_count, VP_CELL_STALL_DOUBLINGS);

  return limit_ms > INT64_MAX >> doublings ? INT64_MAX : limit_ms << doublings;
}

/* Reason why a running task must be stopped. */
typedef enum {
  VP_STOP_NONE, /* the task needn't be stopped */
  VP_STOP_JOB_ENDED,
  VP_STOP_ALREADY_DONE,
  VP_STOP_GANG_INCOMPLETE,
  VP_STOP_WORKER_DRAINING,
  VP_STOP_STALLED,
} VpStopReason;

static const char *const _vp_stop_tokens[]
    = { "none", "job-ended", "already-done", "gang-incomplete", "worker-draining", "stalled" };

static VpStopReason
_vp_cell_stop_reason (const VpCell *cell, const VpJobTask *task, int64_t now_ms)
{
  const VpJobStep *step = task->step;
  const VpJob *job = step->occurrence->job;

  if (vp_job_is_ended (job))
    return VP_STOP_JOB_ENDED;
  if (task->is_already_done && !step->spec->is_long_running)
    return VP_STOP_ALREADY_DONE;
  if (step->spec->is_gang && step->waiting_count > 0)
    return VP_STOP_GANG_INCOMPLETE;
  if (step->spec->is_long_running)
    return task->worker->entry.is_draining ? VP_STOP_WORKER_DRAINING : VP_STOP_NONE;
  if (step->spec->is_best_effort || step->spec->is_gang)
    return VP_STOP_NONE;
  return now_ms - task->started_ms > _vp_cell_stall_limit_ms (cell, task) ? VP_STOP_STALLED
                                                                          : VP_STOP_NONE;
}

static int64_t
_vp_cell_start_hedge_ms (const VpCell *cell)
{
  return MAX (VP_CELL_START_HEDGE_MS,
              (int64_t)(cell->start_answer_ms * VP_CELL_START_HEDGE_FACTOR));
}

static void
_vp_cell_scan_task (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  VpStopReason reason;

  vp_crash_clear (cell->jobs, task, now_ms);
  if (task->phase == VP_PHASE_STOPPING) {
    if (task->confirmed_ms == 0 && task->worker->is_reachable
        && now_ms - task->stop_sent_ms > VP_CELL_STOP_RETRY_MS)
      _vp_cell_send_stop (cell, task, now_ms, effects);
    return;
  }
  reason = _vp_cell_stop_reason (cell, task, now_ms);
  if (reason != VP_STOP_NONE) {
    if (reason == VP_STOP_STALLED) {
      task->stall_count++;
      vp_workerlist_record_failure (task->worker, task->step->occurrence->job->spec->id, now_ms);
    }
    vp_runlog_add (&cell->reconcile.log, "stop", _vp_stop_tokens[reason], task, now_ms);
    _vp_cell_send_stop (cell, task, now_ms, effects);
    return;
  }
  if (task->phase != VP_PHASE_STARTING || !task->worker->is_reachable
      || now_ms > cell->commands_until_ms)
    return;
  if (!task->is_unanswered) {
    if (!task->worker->is_evacuated && task->start_tries < VP_CELL_START_TRIES
        && now_ms - task->start_sent_ms > _vp_cell_start_hedge_ms (cell) * task->start_tries) {
      bool is_dc_unreachable
          = vp_workerlist_dc_answer_ms (cell->worker_list, task->worker) < task->started_ms;
      vp_runlog_add (&cell->reconcile.log, "start-retry",
                     is_dc_unreachable ? "dc-unreachable" : "slow-answer", task, now_ms);
      /* The other workers of the DC most likely wouldn't answer either, and the outcome of starts
       * there would stay uncertain until their leases have expired. */
      if (is_dc_unreachable)
        vp_workerlist_set_dc_unreachable (cell->worker_list, task->worker, true);
      task->worker->avoid_until_ms
          = MAX (task->worker->avoid_until_ms, now_ms + VP_CELL_SLOW_ANSWER_MS);
      /* Of a DC that is cut off, no other command is worth sending either. */
      if (task->start_tries == 1 && !is_dc_unreachable)
        vp_holdloss_record (&cell->hold_loss, true, now_ms);
      _vp_cell_send_start (cell, task, now_ms, effects);
    }
    return;
  }
  task->is_unanswered = false;
  if (!task->worker->is_evacuated && task->start_tries < VP_CELL_START_TRIES) {
    _vp_cell_send_start (cell, task, now_ms, effects);
  } else {
    vp_runlog_add (&cell->reconcile.log, "stop",
                   task->worker->is_evacuated ? "dc-evacuated" : "start-unanswered", task, now_ms);
    _vp_cell_send_stop (cell, task, now_ms, effects);
  }
}

static void
_vp_cell_throttle_worker (VpCell *cell, VpCellWorker *worker, int64_t now_ms, GArray *effects)
{
  GHashTableIter iter;
  gpointer key;
  uint32_t percent;

  vp_throttle_update (worker, now_ms, &percent);
  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    VpJobTask *task = key;
    VpCommand *command;
    if (!task->step->spec->is_best_effort || task->phase != VP_PHASE_RUNNING
        || task->percent_sent == worker->throttle_percent || !worker->is_reachable)
      continue;
    task->percent_sent = worker->throttle_percent;
    command = _vp_cell_add_command (cell, worker, VP_COMMAND_THROTTLE, effects);
    vp_jobtask_name (task, &command->task);
    command->run = task->run;
    command->percent = worker->throttle_percent;
  }
}

static void
_vp_cell_scan_worker (VpCell *cell, VpCellWorker *worker, int64_t now_ms, GArray *effects)
{
  guint count;
  g_autofree VpJobTask **tasks = NULL;

  if (g_hash_table_size (worker->tasks) > 0 && vp_workerlist_is_lost (worker, now_ms))
    vp_reconcile_worker_lost (&cell->reconcile, worker, VP_CRASH_POSSIBLE, "lease-expired", now_ms);
  tasks = (VpJobTask **)g_hash_table_get_keys_as_array (worker->tasks, &count);
  for (guint i = 0; i < count; i++)
    _vp_cell_scan_task (cell, tasks[i], now_ms, effects);
  _vp_cell_throttle_worker (cell, worker, now_ms, effects);
}

/* Returns true if the worker isn't in the platform's list and neither this scheduler nor an earlier
 * one can have a run there. A worker that this scheduler never saw in the list is removed only when
 * all leases of earlier schedulers have expired, as it may come back. */
static bool
_vp_cell_may_remove (const VpCell *cell, const VpCellWorker *worker, int64_t now_ms)
{
  if (worker->is_listed || worker->is_hold_pending || worker->overdue_hold.number != 0
      || g_hash_table_size (worker->tasks) > 0)
    return false;
  if (worker->is_synced && worker->unknown_run_count == 0)
    return worker->was_listed || now_ms > cell->worker_list->inherited_until_ms;
  return !vp_workerlist_is_listing_ends (worker) && vp_workerlist_is_lease_expired (worker, now_ms);
}

/* Releases the tasks that earlier schedulers had on a worker that is about to be removed, since
 * none of their runs can exist any more. */
static void
_vp_cell_release_inherited (VpCell *cell, const VpCellWorker *worker, int64_t now_ms)
{
  g_autoptr (GPtrArray) tasks = g_ptr_array_new ();

  for (guint i = 0; i < cell->jobs->ready_steps->len; i++) {
    const VpJobStep *step = cell->jobs->ready_steps->pdata[i];
    for (uint32_t t = 0; step->occurrence->job->is_inherited && t < step->spec->task_count; t++) {
      if (vp_text_equal (step->tasks[t].inherited_worker, worker->entry.id))
        g_ptr_array_add (tasks, &step->tasks[t]);
    }
  }
  for (guint i = 0; i < tasks->len; i++) {
    VpJobTask *task = tasks->pdata[i];
    if (!vp_job_is_ended (task->step->occurrence->job))
      vp_crash_blame_inherited (cell->jobs, task, worker, now_ms);
    vp_jobtask_set_inherited_worker (cell->jobs, task, "");
  }
}

static void
_vp_cell_remove_worker (VpCell *cell, VpCellWorker *worker, int64_t now_ms)
{
  if (worker->clock_at_ms == 0 && !worker->is_replaced) {
    vp_metrics_add (VP_COUNTER_WORKERS_GIVEN_UP, 1);
    vp_log (now_ms, "worker-given-up", "worker=%s why=leases-expired waited_ms=%" G_GINT64_FORMAT,
            worker->entry.id, now_ms - cell->started_ms);
  }
  _vp_cell_release_inherited (cell, worker, now_ms);
  vp_workerlist_remove (cell->worker_list, worker);
}

void
_vp_cell_scan (VpCell *cell, int64_t now_ms, GArray *effects)
{
  if (now_ms < MAX (cell->scan_next_ms, cell->scan_earliest_ms))
    return;
  cell->scan_next_ms = now_ms + VP_CELL_SCAN_MS;
  cell->scan_earliest_ms = now_ms + _vp_cell_interval_ms (cell);
  vp_advise_expire (cell->advise, cell->jobs, now_ms);
  vp_workerlist_centre_speeds (cell->worker_list, now_ms);
  for (guint i = 0; i < cell->worker_list->workers->len;) {
    VpCellWorker *worker = cell->worker_list->workers->pdata[i];
    _vp_cell_scan_worker (cell, worker, now_ms, effects);
    _vp_cell_update_active (cell, worker, now_ms);
    if (_vp_cell_may_remove (cell, worker, now_ms))
      _vp_cell_remove_worker (cell, worker, now_ms);
    else
      i++;
  }
}
