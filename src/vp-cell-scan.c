#include "vp-cell-private.h"
#include "vp-log.h"
#include "vp-metrics.h"
#include "vp-pace.h"

/* A start that has no answer after this is repeated: workers answer within some milliseconds, and
 * the transport gives up only after a second. */
#define VP_CELL_START_HEDGE_MS 120
/* Its worker gets no other work for this long: it may be cut off. */
#define VP_CELL_SLOW_ANSWER_MS 300
/* A stop without an answer is repeated after this. */
#define VP_CELL_STOP_RETRY_MS 300
/* Each stop of a task as standing still doubles how long its next run may take, so many times. */
#define VP_CELL_STILL_DOUBLINGS 10

/* A task that only takes longer than others of its queue ends in one of its later runs. */
static int64_t
_vp_cell_still_limit_ms (const VpCell *cell, const VpJobTask *task)
{
  int64_t limit_ms
      = vp_durations_limit_ms (cell->reconcile.durations, task->step->run->job->spec->queue);
  uint32_t doublings = MIN (task->still_count, VP_CELL_STILL_DOUBLINGS);

  return limit_ms > INT64_MAX >> doublings ? INT64_MAX : limit_ms << doublings;
}

/* Why a task must not go on running. */
typedef enum {
  VP_STOP_NONE, /* it may */
  VP_STOP_JOB_ENDED,
  VP_STOP_DONE_BEFORE,
  VP_STOP_GANG_INCOMPLETE,
  VP_STOP_WORKER_LEAVES,
  VP_STOP_STANDS_STILL,
} VpStopReason;

static const char *const _vp_stop_tokens[]
    = { "none", "job-ended", "done-before", "gang-incomplete", "worker-leaves", "stands-still" };

static VpStopReason
_vp_cell_stop_reason (const VpCell *cell, const VpJobTask *task, int64_t now_ms)
{
  const VpJobStep *step = task->step;
  const VpJob *job = step->run->job;

  if (vp_job_is_ended (job))
    return VP_STOP_JOB_ENDED;
  if (task->is_done_before && !step->spec->is_lasting)
    return VP_STOP_DONE_BEFORE;
  if (step->spec->is_gang && step->waiting_count > 0)
    return VP_STOP_GANG_INCOMPLETE;
  if (step->spec->is_lasting)
    return task->worker->entry.is_draining ? VP_STOP_WORKER_LEAVES : VP_STOP_NONE;
  if (step->spec->is_filling || step->spec->is_gang)
    return VP_STOP_NONE;
  return now_ms - task->started_ms > _vp_cell_still_limit_ms (cell, task) ? VP_STOP_STANDS_STILL
                                                                          : VP_STOP_NONE;
}

static void
_vp_cell_scan_task (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  VpStopReason reason;

  if (task->phase == VP_PHASE_STOPPING) {
    if (task->confirmed_ms == 0 && task->worker->is_reachable
        && now_ms - task->stop_sent_ms > VP_CELL_STOP_RETRY_MS)
      _vp_cell_order_stop (cell, task, now_ms, effects);
    return;
  }
  reason = _vp_cell_stop_reason (cell, task, now_ms);
  if (reason != VP_STOP_NONE) {
    if (reason == VP_STOP_STANDS_STILL) {
      task->still_count++;
      vp_roster_note_failed (task->worker, task->step->run->job->spec->id, now_ms);
    }
    vp_runlog_add (&cell->reconcile.log, "stop", _vp_stop_tokens[reason], task, now_ms);
    _vp_cell_order_stop (cell, task, now_ms, effects);
    return;
  }
  if (task->phase != VP_PHASE_STARTING || !task->worker->is_reachable
      || now_ms > cell->orders_until_ms)
    return;
  if (!task->is_unanswered) {
    if (task->start_tries < VP_CELL_START_TRIES
        && now_ms - task->ordered_ms > VP_CELL_START_HEDGE_MS * task->start_tries) {
      bool is_dc_silent = vp_roster_dc_heard_ms (cell->roster, task->worker) < task->started_ms;
      vp_runlog_add (&cell->reconcile.log, "start-again",
                     is_dc_silent ? "silent-dc" : "slow-answer", task, now_ms);
      /* Its other workers would not answer either, and what is ordered there stays uncertain until
       * their leases are over. */
      if (is_dc_silent)
        vp_roster_set_dc_silent (cell->roster, task->worker, true);
      task->worker->avoid_until_ms
          = MAX (task->worker->avoid_until_ms, now_ms + VP_CELL_SLOW_ANSWER_MS);
      _vp_cell_order_start (cell, task, now_ms, effects);
    }
    return;
  }
  task->is_unanswered = false;
  if (task->start_tries < VP_CELL_START_TRIES) {
    _vp_cell_order_start (cell, task, now_ms, effects);
  } else {
    vp_runlog_add (&cell->reconcile.log, "stop", "start-unanswered", task, now_ms);
    _vp_cell_order_stop (cell, task, now_ms, effects);
  }
}

static void
_vp_cell_pace_worker (VpCell *cell, VpRosterWorker *worker, int64_t now_ms, GArray *effects)
{
  GHashTableIter iter;
  gpointer key;
  uint32_t percent;

  vp_pace_update (worker, now_ms, &percent);
  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    VpJobTask *task = key;
    VpOrder *order;
    if (!task->step->spec->is_filling || task->phase != VP_PHASE_RUNNING
        || task->percent_sent == worker->pace_percent || !worker->is_reachable)
      continue;
    task->percent_sent = worker->pace_percent;
    order = _vp_cell_order (cell, worker, VP_ORDER_PACE, effects);
    vp_jobtask_name (task, &order->task);
    order->run = task->run;
    order->percent = worker->pace_percent;
  }
}

static void
_vp_cell_scan_worker (VpCell *cell, VpRosterWorker *worker, int64_t now_ms, GArray *effects)
{
  guint count;
  g_autofree VpJobTask **tasks = NULL;

  if (g_hash_table_size (worker->tasks) > 0 && worker->clock_at_ms != 0
      && vp_roster_is_lapsed (cell->roster, worker, now_ms))
    vp_reconcile_lost (&cell->reconcile, worker, "lease-over", now_ms);
  tasks = (VpJobTask **)g_hash_table_get_keys_as_array (worker->tasks, &count);
  for (guint i = 0; i < count; i++)
    _vp_cell_scan_task (cell, tasks[i], now_ms, effects);
  _vp_cell_pace_worker (cell, worker, now_ms, effects);
}

/* A worker off the list without tasks of ours: nothing of an earlier scheduler runs there either.
 * One that was never on this scheduler's list has time to come back. */
static bool
_vp_cell_may_forget (const VpCell *cell, const VpRosterWorker *worker, int64_t now_ms)
{
  if (worker->is_listed || worker->is_hold_out || g_hash_table_size (worker->tasks) > 0)
    return false;
  if (worker->is_synced && worker->foreign_count == 0)
    return worker->was_listed || now_ms > cell->roster->inherited_until_ms;
  return vp_roster_is_lapsed (cell->roster, worker, now_ms);
}

static void
_vp_cell_forget (VpCell *cell, VpRosterWorker *worker, int64_t now_ms)
{
  if (worker->clock_at_ms == 0 && !worker->is_over) {
    vp_metrics_add (VP_COUNTER_WORKERS_GIVEN_UP, 1);
    vp_log (now_ms, "worker-given-up", "worker=%s why=leases-over waited_ms=%" G_GINT64_FORMAT,
            worker->entry.id, now_ms - cell->started_ms);
  }
  vp_roster_remove (cell->roster, worker);
}

void
_vp_cell_scan (VpCell *cell, int64_t now_ms, GArray *effects)
{
  if (now_ms < cell->scan_next_ms)
    return;
  cell->scan_next_ms = now_ms + VP_CELL_SCAN_MS;
  vp_advise_expire (cell->advise, cell->jobs, now_ms);
  for (guint i = 0; i < cell->roster->workers->len;) {
    VpRosterWorker *worker = cell->roster->workers->pdata[i];
    _vp_cell_scan_worker (cell, worker, now_ms, effects);
    _vp_cell_review_worker (cell, worker, now_ms);
    if (_vp_cell_may_forget (cell, worker, now_ms))
      _vp_cell_forget (cell, worker, now_ms);
    else
      i++;
  }
}
