#include "vp-cell-private.h"
#include "vp-log.h"
#include "vp-metrics.h"
#include "vp-place.h"
#include "vp-turns.h"

#include <string.h>

/* A worker answers a HOLD at the next end, or after this long. */
#define VP_CELL_HOLD_WAIT_MS 2000
/* Least time between the answer to a HOLD that brought ends and the next one, which then brings
 * several: each costs a call, and a step more than this hardly shows in a job's time. */
#define VP_CELL_HOLD_GAP_MS 100
/* Next HOLD when ends wait to be durable, or after one that failed. */
#define VP_CELL_HOLD_RETRY_MS 400
#define VP_CELL_HOLD_LOST_MS  150
/* A worker that turned a start away gets no work for this long. */
#define VP_CELL_REFUSED_MS 500
/* Wait after an order that the worker can't read; it would only be refused again. */
#define VP_CELL_INVALID_MS 2000
/* A gang that did not fit is not tried again before. */
#define VP_CELL_GANG_RETRY_MS 50
/* Runs of an earlier scheduler that were not kept are fewer than this for one task: it commits
 * several times a second. */
#define VP_CELL_RUN_GAP 8

VpCell *
vp_cell_setup (const VpCellDesc *desc, int64_t now_ms)
{
  VpCell *cell = g_new0 (VpCell, 1);

  cell->desc = *desc;
  cell->roster = vp_roster_setup (desc->hold_max_ms, now_ms);
  cell->jobs = vp_joblist_setup ();
  vp_reconcile_setup (&cell->reconcile, cell->roster, cell->jobs, desc->fence);
  /* Answers to an earlier scheduler of this process must not be taken for this one's. */
  cell->advise = vp_advise_setup (desc->fence << 24);
  cell->started_ms = now_ms;
  cell->orders_until_ms = INT64_MAX;
  return cell;
}

void
vp_cell_shutdown (VpCell *cell)
{
  if (cell == NULL)
    return;
  vp_joblist_shutdown (cell->jobs);
  vp_roster_shutdown (cell->roster);
  vp_reconcile_shutdown (&cell->reconcile);
  vp_advise_shutdown (cell->advise);
  g_clear_pointer (&cell->conf, vp_cellconf_unref);
  g_free (cell);
}

void
vp_cell_set_conf (VpCell *cell, VpCellConf *conf)
{
  vp_cellconf_ref (conf);
  g_clear_pointer (&cell->conf, vp_cellconf_unref);
  cell->conf = conf;
  cell->reconcile.conf = conf;
}

VpJobList *
vp_cell_jobs (VpCell *cell)
{
  return cell->jobs;
}

const VpRoster *
vp_cell_roster (const VpCell *cell)
{
  return cell->roster;
}

bool
vp_cell_is_fenced (const VpCell *cell)
{
  return cell->is_fenced;
}

bool
vp_cell_is_exact (const VpCell *cell)
{
  return cell->is_settled || cell->desc.is_clean;
}

void
vp_cell_limit_orders (VpCell *cell, int64_t until_ms)
{
  cell->orders_until_ms = until_ms;
}

void
vp_cell_pause (VpCell *cell)
{
  cell->is_paused = true;
}

void
vp_cell_effect_clear (VpCellEffect *effect)
{
  if (effect->kind == VP_CELL_ORDER)
    g_clear_pointer (&effect->order.text, g_free);
  else
    g_clear_pointer (&effect->ask.workers, g_ptr_array_unref);
}

/* Workers. */

static void
_vp_cell_log_listed (const VpWorkerEntry *entry, int64_t now_ms)
{
  char keys[VP_NAME_MAX + 32];
  char item[VP_NAME_MAX + VP_ADDRESS_MAX];

  g_snprintf (keys, sizeof keys, "service=%s workers=", entry->service);
  g_snprintf (item, sizeof item, "%s@%s", entry->id, entry->address);
  vp_log_item (now_ms, "worker-listed", keys, item);
}

void
vp_cell_worker (VpCell *cell, const VpWorkerEntry *entry, int64_t now_ms)
{
  VpRosterWorker *known = vp_roster_find (cell->roster, entry->id);
  bool was_draining = known != NULL && known->entry.is_draining;
  bool is_new = known == NULL;

  if (is_new || !known->is_listed)
    _vp_cell_log_listed (entry, now_ms);
  if (!is_new && strcmp (known->entry.address, entry->address) != 0) {
    vp_log (now_ms, "worker-moved", "worker=%s from=%s to=%s", entry->id, known->entry.address,
            entry->address);
    known->moved_ms = now_ms;
    cell->roster->is_changed = true;
  }
  known = vp_roster_put (cell->roster, entry);
  if (is_new)
    known->is_withheld = cell->desc.keeps_roster;
  /* Its entry tells of a restart before its lists do. */
  if (entry->born_ms != 0 && known->born_ms != 0 && entry->born_ms > known->born_ms) {
    vp_reconcile_lost (&cell->reconcile, known, "born-again", now_ms);
    vp_roster_reborn (known, entry->born_ms);
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
vp_cell_worker_gone (VpCell *cell, const char *id, int64_t now_ms)
{
  VpRosterWorker *worker = vp_roster_find (cell->roster, id);

  if (worker == NULL || !worker->is_listed)
    return;
  worker->is_listed = false;
  vp_log (now_ms, "worker-unlisted", "worker=%s draining=%d heard_ms_ago=%" G_GINT64_FORMAT, id,
          worker->entry.is_draining, now_ms - worker->heard_ms);
}

void
vp_cell_set_askers (VpCell *cell, uint32_t count)
{
  vp_advise_set_askers (cell->advise, count);
}

void
vp_cell_advice (VpCell *cell, uint64_t serial, const GArray *rows, int64_t now_ms)
{
  vp_advise_answer (cell->advise, cell->roster, cell->jobs, serial, rows, now_ms);
}

void
vp_cell_list_complete (VpCell *cell)
{
  cell->has_list = true;
}

/* Another worker answers at the address that the order went to. */
static void
_vp_cell_other_life (VpCell *cell,
                     VpRosterWorker *worker,
                     const VpOrderResult *result,
                     int64_t now_ms)
{
  if (result->sent_ms < worker->moved_ms)
    return;
  vp_reconcile_lost (&cell->reconcile, worker, "other-life", now_ms);
  vp_roster_over (worker);
}

static void
_vp_cell_hold_result (VpCell *cell,
                      VpRosterWorker *worker,
                      const VpOrderResult *result,
                      int64_t now_ms)
{
  bool was_reachable = worker->is_reachable;

  worker->is_hold_out = false;
  switch (result->outcome) {
  case VP_ORDER_OK:
    worker->hold_next_ms = vp_reconcile_list (&cell->reconcile, worker, result, now_ms)
                               ? now_ms
                               : now_ms + VP_CELL_HOLD_RETRY_MS;
    /* It was asked without renewing its leases, which may be nearly over. */
    if (!was_reachable)
      worker->hold_next_ms = now_ms;
    break;
  case VP_ORDER_OTHER_LIFE:
    _vp_cell_other_life (cell, worker, result, now_ms);
    worker->hold_next_ms = now_ms + VP_CELL_HOLD_RETRY_MS;
    break;
  case VP_ORDER_UNREACHABLE:
  case VP_ORDER_UNCERTAIN:
    if (worker->is_reachable)
      vp_log (now_ms, "worker-silent",
              "worker=%s outcome=%s waited_ms=%" G_GINT64_FORMAT " heard_ms_ago=%" G_GINT64_FORMAT,
              worker->entry.id, vp_order_outcome_token (result->outcome),
              result->received_ms - result->sent_ms, now_ms - worker->heard_ms);
    worker->is_reachable = false;
    worker->hold_next_ms = now_ms + VP_CELL_HOLD_LOST_MS;
    break;
  default:
    worker->hold_next_ms = now_ms + VP_CELL_HOLD_RETRY_MS;
    break;
  }
}

/* Results of starts and stops. */

static void
_vp_cell_not_started (VpCell *cell, VpJobTask *task, const VpOrderResult *result, int64_t now_ms)
{
  vp_runlog_add (&cell->reconcile.log, "not-started", vp_order_outcome_token (result->outcome),
                 task, now_ms);
  vp_metrics_add (VP_COUNTER_START_REFUSED, 1);
  vp_jobtask_release (cell->jobs, task);
}

static bool
_vp_cell_is_not_started (VpOrderOutcome outcome)
{
  return outcome != VP_ORDER_OK && outcome != VP_ORDER_SUPERSEDED && outcome != VP_ORDER_FENCED
         && outcome != VP_ORDER_UNCERTAIN && outcome != VP_ORDER_OTHER_LIFE;
}

static void
_vp_cell_start_result (VpCell *cell,
                       VpRosterWorker *worker,
                       VpJobTask *task,
                       const VpOrderResult *result,
                       int64_t now_ms)
{
  if (task->phase != VP_PHASE_STARTING)
    return;
  /* That a repeated order had no effect says nothing about the one before it. */
  if ((task->start_tries > 1 || result->is_repeated) && _vp_cell_is_not_started (result->outcome)) {
    task->is_unanswered = true;
    task->start_tries = VP_CELL_START_TRIES;
    cell->scan_next_ms = 0;
    return;
  }
  switch (result->outcome) {
  case VP_ORDER_OK:
  /* The run itself may have been carried out and have ended before the repeated order came, so the
   * next list tells. */
  case VP_ORDER_SUPERSEDED:
    task->phase = VP_PHASE_RUNNING;
    task->confirmed_ms = result->received_ms;
    break;
  case VP_ORDER_UNCERTAIN:
    /* The scan repeats or stops it. */
    task->is_unanswered = true;
    cell->scan_next_ms = 0;
    break;
  case VP_ORDER_FENCED:
    break;
  case VP_ORDER_BAD_TICKET:
    if (task->step->advice != NULL)
      g_hash_table_remove (task->step->advice, worker->entry.id);
    _vp_cell_not_started (cell, task, result, now_ms);
    break;
  case VP_ORDER_INVALID:
    task->not_before_ms = now_ms + VP_CELL_INVALID_MS;
    _vp_cell_not_started (cell, task, result, now_ms);
    break;
  case VP_ORDER_REFUSED:
  case VP_ORDER_NO_ROOM:
    worker->avoid_until_ms = MAX (worker->avoid_until_ms, now_ms + VP_CELL_REFUSED_MS);
    _vp_cell_not_started (cell, task, result, now_ms);
    break;
  case VP_ORDER_UNREACHABLE:
    worker->is_reachable = false;
    _vp_cell_not_started (cell, task, result, now_ms);
    break;
  case VP_ORDER_LATE:
  case VP_ORDER_OTHER_LIFE:
    _vp_cell_not_started (cell, task, result, now_ms);
    break;
  }
}

static void
_vp_cell_stop_result (VpCell *cell, VpJobTask *task, const VpOrderResult *result)
{
  if (task->phase != VP_PHASE_STOPPING)
    return;
  if (result->outcome == VP_ORDER_OK)
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
vp_cell_order_result (VpCell *cell, const VpOrderResult *result, int64_t now_ms)
{
  VpRosterWorker *worker = vp_roster_find (cell->roster, result->worker);
  VpJobTask *task;

  if (worker == NULL || result->fence != cell->desc.fence)
    return;
  if (result->outcome == VP_ORDER_FENCED)
    cell->is_fenced = true;
  if (result->kind == VP_ORDER_HOLD) {
    _vp_cell_hold_result (cell, worker, result, now_ms);
    _vp_cell_flush_log (cell, now_ms);
    return;
  }
  if (result->clock_ms > 0)
    vp_roster_heard (cell->roster, worker, result->clock_ms, result->received_ms);
  task = vp_joblist_task (cell->jobs, &result->task);
  if (task == NULL || task->worker != worker || task->run != result->run)
    return;
  if (result->kind == VP_ORDER_START)
    _vp_cell_start_result (cell, worker, task, result, now_ms);
  else if (result->kind == VP_ORDER_STOP)
    _vp_cell_stop_result (cell, task, result);
  if (result->outcome == VP_ORDER_OTHER_LIFE)
    _vp_cell_other_life (cell, worker, result, now_ms);
  _vp_cell_flush_log (cell, now_ms);
}

/* What a commit covers. */

bool
vp_cell_has_unstaged_ends (const VpCell *cell)
{
  return cell->reconcile.has_new_ends;
}

void
vp_cell_stage_ends (VpCell *cell)
{
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    VpRosterWorker *worker = cell->roster->workers->pdata[i];
    worker->seen_staged = worker->seen;
  }
  cell->reconcile.has_new_ends = false;
}

void
vp_cell_ends_durable (VpCell *cell, int64_t now_ms)
{
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    VpRosterWorker *worker = cell->roster->workers->pdata[i];
    if (worker->seen_durable == worker->seen_staged)
      continue;
    worker->seen_durable = worker->seen_staged;
    worker->hold_next_ms
        = MIN (worker->hold_next_ms, MAX (now_ms, worker->heard_ms + VP_CELL_HOLD_GAP_MS));
  }
}

VpJob *
vp_cell_submit (VpCell *cell, VpJobSpec *spec, int64_t now_ms)
{
  const VpTeamConf *team = cell->conf == NULL ? NULL : vp_cellconf_team (cell->conf, spec->team);
  VpJob *job = vp_joblist_add (cell->jobs, spec, now_ms, now_ms);

  vp_joblist_touch (cell->jobs, job);
  if (team != NULL)
    job->is_over_share
        = !vp_teamuse_take_share (vp_joblist_team (cell->jobs, spec->team), team->weight, now_ms);
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

/* A waiting task of an earlier scheduler may still run where it can't be seen yet. */
static bool
_vp_cell_is_free (VpCell *cell, VpJobTask *task, int64_t now_ms)
{
  const VpRosterWorker *worker;

  if (!task->step->run->job->is_inherited)
    return true;
  if (task->last_worker[0] == '\0')
    return vp_cell_is_exact (cell);
  worker = vp_roster_find (cell->roster, task->last_worker);
  if (worker == NULL
          ? now_ms <= cell->roster->inherited_until_ms
          : !vp_cell_is_exact (cell) || !_vp_cell_is_settled_worker (cell, worker, now_ms))
    return false;
  vp_jobtask_set_last_worker (cell->jobs, task, "");
  return true;
}

static uint32_t
_vp_cell_next_run (const VpCell *cell, const VpJobTask *task)
{
  bool is_exact = cell->desc.is_clean || !task->step->run->job->is_inherited || task->is_own_run;

  return task->run + (is_exact ? 1 : VP_CELL_RUN_GAP);
}

/* Counts for each team the most that its tasks take which the last scheduler may have started
 * without keeping that. */
static void
_vp_cell_count_unsure (VpCell *cell)
{
  GHashTableIter iter;
  gpointer use;

  g_hash_table_iter_init (&iter, cell->jobs->teams);
  while (g_hash_table_iter_next (&iter, NULL, &use))
    memset (&((VpTeamUse *)use)->unsure, 0, sizeof (VpResources));
  for (guint i = 0; !vp_cell_is_exact (cell) && i < cell->jobs->open_steps->len; i++) {
    const VpJobStep *step = cell->jobs->open_steps->pdata[i];
    VpResources size = step->spec->size;

    if (!step->run->job->is_inherited)
      continue;
    vp_resources_scale (&size, step->waiting_count);
    vp_resources_add (&vp_joblist_team (cell->jobs, step->run->job->spec->team)->unsure, &size);
  }
}

static bool
_vp_cell_is_below_cap (VpCell *cell, const VpJobStep *step, uint32_t count)
{
  const VpJob *job = step->run->job;
  const VpTeamConf *team = vp_cellconf_team (cell->conf, job->spec->team);
  const VpTeamUse *use = vp_joblist_team (cell->jobs, job->spec->team);
  VpResources used = use->used;
  VpResources more = step->spec->size;

  if (team == NULL)
    return true;
  vp_resources_scale (&more, count);
  vp_resources_add (&used, &more);
  vp_resources_add (&used, &use->unseen);
  vp_resources_add (&used, &use->unsure);
  return (team->cap.cpu_milli == 0 || used.cpu_milli <= team->cap.cpu_milli)
         && (team->cap.mem_mib == 0 || used.mem_mib <= team->cap.mem_mib)
         && (team->cap.accel_count == 0 || used.accel_count <= team->cap.accel_count);
}

static void
_vp_cell_start (VpCell *cell,
                VpJobTask *task,
                VpPlaceSlot *slot,
                uint32_t run,
                int64_t now_ms,
                GArray *effects)
{
  const VpJob *job = task->step->run->job;
  VpRosterWorker *worker = slot->worker;
  /* An earlier scheduler may have started it without keeping that. */
  bool is_unsure = job->is_inherited && !cell->desc.is_clean;

  if (!job->is_started)
    vp_metrics_observe (VP_HIST_WAIT_MS, now_ms - job->arrived_ms);
  vp_metrics_add (VP_COUNTER_INHERITED_STARTS, is_unsure ? 1 : 0);
  vp_jobtask_assign (cell->jobs, task, worker, run, now_ms);
  task->is_own_run = true;
  vp_place_slot_update (slot);
  if (task->step->spec->is_one_rack && task->step->rack < 0)
    task->step->rack = (int32_t)worker->rack_index;
  vp_runlog_add (&cell->reconcile.log, "start", is_unsure ? "inherited" : "fits", task, now_ms);
  _vp_cell_order_start (cell, task, now_ms, effects);
}

/* Starts all tasks of a gang or none. True if no task is left that only lacks a worker. */
static bool
_vp_cell_place_gang (VpCell *cell,
                     const VpPlacePool *pool,
                     VpJobStep *step,
                     const VpQueueConf *queue,
                     int64_t now_ms,
                     GArray *effects)
{
  g_autofree VpPlaceSlot **slots = NULL;
  uint32_t count = step->spec->task_count;
  uint32_t run = 0;

  /* Members that are still out end first, then all start together. */
  if (step->waiting_count < count || !_vp_cell_is_below_cap (cell, step, count))
    return true;
  if (now_ms < step->fit_next_ms)
    return false;
  for (uint32_t i = 0; i < count; i++) {
    if (now_ms < step->tasks[i].not_before_ms || !_vp_cell_is_free (cell, &step->tasks[i], now_ms))
      return true;
    run = MAX (run, _vp_cell_next_run (cell, &step->tasks[i]));
  }
  slots = g_new0 (VpPlaceSlot *, count);
  if (!vp_place_gang (pool, step, queue, now_ms, slots)) {
    step->fit_next_ms = now_ms + VP_CELL_GANG_RETRY_MS;
    return false;
  }
  for (uint32_t i = 0; i < count; i++)
    _vp_cell_start (cell, &step->tasks[i], slots[i], run, now_ms, effects);
  return true;
}

/* True if no task is left that only lacks a worker. */
static bool
_vp_cell_place_tasks (VpCell *cell,
                      const VpPlacePool *pool,
                      VpJobStep *step,
                      const VpQueueConf *queue,
                      int64_t now_ms,
                      GArray *effects)
{
  uint32_t attempts_max = vp_cellconf_attempts_max (cell->conf, step->run->job->spec->queue);

  for (uint32_t i = 0; i < step->spec->task_count && step->waiting_count > 0; i++) {
    VpJobTask *task = &step->tasks[i];
    VpPlaceSlot *slot;
    if (task->phase != VP_PHASE_WAITING || now_ms < task->not_before_ms
        || !_vp_cell_is_free (cell, task, now_ms)
        || (task->failures >= attempts_max && !step->spec->is_lasting))
      continue;
    if (!_vp_cell_is_below_cap (cell, step, 1))
      return true;
    slot = vp_place_pick (pool, task, queue, now_ms);
    if (slot == NULL)
      return false;
    _vp_cell_start (cell, task, slot, _vp_cell_next_run (cell, task), now_ms, effects);
  }
  return true;
}

static void
_vp_cell_ask (VpCell *cell,
              const VpPlacePool *pool,
              const VpTurn *turn,
              int64_t now_ms,
              GArray *effects)
{
  VpCellEffect effect = { .kind = VP_CELL_ADVISE };

  if (vp_advise_ask (cell->advise, pool, turn->step, turn->queue, now_ms, &effect.ask))
    g_array_append_val (effects, effect);
}

static void
_vp_cell_place_turn (VpCell *cell,
                     VpTurns *turns,
                     const VpTurn *turn,
                     int64_t now_ms,
                     GArray *effects)
{
  const VpPlacePool *pool = vp_turns_pool (turns, turn);
  VpJobStep *step = turn->step;
  bool is_placed;

  if (!step->run->job->is_durable)
    is_placed = !turn->queue->has_advice;
  else if (step->spec->is_gang)
    is_placed = _vp_cell_place_gang (cell, pool, step, turn->queue, now_ms, effects);
  else
    is_placed = _vp_cell_place_tasks (cell, pool, step, turn->queue, now_ms, effects);
  if (!is_placed && turn->queue->has_advice && vp_turns_claim (turns, turn))
    _vp_cell_ask (cell, pool, turn, now_ms, effects);
}

static void
_vp_cell_place (VpCell *cell, int64_t now_ms, GArray *effects)
{
  VpTurns turns;

  _vp_cell_count_unsure (cell);
  vp_turns_setup (&turns, cell->roster, cell->jobs, cell->conf, now_ms);
  for (guint i = 0; i < turns.items->len; i++)
    _vp_cell_place_turn (cell, &turns, &g_array_index (turns.items, VpTurn, i), now_ms, effects);
  vp_turns_shutdown (&turns);
}

static void
_vp_cell_hold (VpCell *cell, VpRosterWorker *worker, int64_t now_ms, GArray *effects)
{
  VpOrder *order;

  if (worker->is_hold_out || now_ms < worker->hold_next_ms)
    return;
  worker->is_hold_out = true;
  order = _vp_cell_order (cell, worker, VP_ORDER_HOLD, effects);
  /* A worker that does not answer is only asked for its list: an order that may arrive would keep
   * its tasks from being over. */
  if (worker->is_reachable && now_ms <= cell->orders_until_ms)
    order->lease_end_ms = vp_roster_lease (cell->roster, worker, now_ms);
  order->seen = worker->seen_durable;
  order->wait_ms = worker->is_synced && worker->is_reachable && worker->seen == worker->seen_durable
                       ? VP_CELL_HOLD_WAIT_MS
                       : 0;
}

static void
_vp_cell_stop_strays (VpCell *cell, GArray *effects)
{
  for (guint i = 0; i < cell->reconcile.strays->len; i++) {
    VpCellEffect effect
        = { .kind = VP_CELL_ORDER, .order = g_array_index (cell->reconcile.strays, VpOrder, i) };
    g_array_append_val (effects, effect);
  }
  g_array_set_size (cell->reconcile.strays, 0);
}

void
vp_cell_decide (VpCell *cell, int64_t now_ms, GArray *effects)
{
  _vp_cell_stop_strays (cell, effects);
  for (guint i = 0; i < cell->roster->workers->len; i++)
    _vp_cell_hold (cell, cell->roster->workers->pdata[i], now_ms, effects);
  _vp_cell_settle (cell, now_ms);
  _vp_cell_scan (cell, now_ms, effects);
  if (!cell->is_paused && cell->conf != NULL && now_ms <= cell->orders_until_ms) {
    vp_joblist_open_due (cell->jobs, now_ms);
    _vp_cell_place (cell, now_ms, effects);
  }
  _vp_cell_flush_log (cell, now_ms);
}

int64_t
vp_cell_next_ms (const VpCell *cell, int64_t now_ms)
{
  int64_t next_ms = MIN (MAX (cell->scan_next_ms, now_ms), now_ms + VP_CELL_SCAN_MS);

  for (guint i = 0; i < cell->roster->workers->len; i++) {
    const VpRosterWorker *worker = cell->roster->workers->pdata[i];
    if (!worker->is_hold_out)
      next_ms = MIN (next_ms, worker->hold_next_ms);
  }
  return MIN (next_ms, vp_joblist_next_due_ms (cell->jobs));
}

static void
_vp_cell_check_worker (const VpRosterWorker *worker)
{
  GHashTableIter iter;
  gpointer key;
  VpResources sum = { 0 };

  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    const VpJobTask *task = key;
    VpResources room = vp_jobtask_room (task);
    g_assert (task->worker == worker && task->phase != VP_PHASE_WAITING);
    vp_resources_add (&sum, &room);
  }
  g_assert (sum.cpu_milli == worker->used.cpu_milli && sum.mem_mib == worker->used.mem_mib
            && sum.accel_count == worker->used.accel_count);
}

void
vp_cell_check (const VpCell *cell)
{
  for (guint i = 0; i < cell->roster->workers->len; i++)
    _vp_cell_check_worker (cell->roster->workers->pdata[i]);
  for (guint i = 0; i < cell->jobs->open_steps->len; i++) {
    const VpJobStep *step = cell->jobs->open_steps->pdata[i];
    g_assert (step->waiting_count + step->out_count + step->done_count == step->spec->task_count);
  }
}
