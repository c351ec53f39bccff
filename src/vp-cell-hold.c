#include "vp-cell-private.h"
#include "vp-log.h"
#include "vp-metrics.h"

/* HOLD commands: their times, a second one when an answer is overdue, and their results. */

/* Time that a worker may delay its answer to a HOLD while it lists runs that belong to no task.
 * Their stops are repeated only with the next list, so that a lost stop would otherwise let such a
 * run go on for seconds. */
#define VP_CELL_HOLD_WAIT_UNASSIGNED_MS 400
/* Minimum time between an answer to a HOLD that reported ends and the next HOLD. Each HOLD costs a
 * call, so several ends are collected in one; a longer delay between the steps of a job would be
 * noticeable in its duration. */
#define VP_CELL_HOLD_INTERVAL_MIN_MS 100
/* Delay of the next HOLD when reported ends aren't durable yet or the worker rejected the last one.
 */
#define VP_CELL_HOLD_RETRY_MS 400
/* Delay of the next HOLD after one that got no answer. */
#define VP_CELL_HOLD_UNREACHABLE_MS 150
/* A HOLD that fails sooner has probably not reached the worker. */
#define VP_CELL_HOLD_REFUSED_MS 20
/* A HOLD that fails later has probably timed out, and doesn't show when the worker crashed. */
#define VP_CELL_HOLD_SILENT_MS 2900
/* The same for one that was sent while an earlier one was open, whose connection has a shorter
 * time-out. */
#define VP_CELL_HOLD_EXTRA_SILENT_MS 900
/* An answer isn't overdue before this many times the usual time until a start is answered, so that
 * slow answers on a full link don't cause second HOLDs. */
#define VP_CELL_HOLD_GRACE_FACTOR 4
/* Maximum share of the workers that have two open HOLDs, so that a partition doesn't double the
 * calls, and the number that is allowed in small cells. */
#define VP_CELL_HOLD_OVERDUE_SHARE 0.5
#define VP_CELL_HOLD_OVERDUE_MIN   8
/* A scheduler that hasn't looked at its HOLDs for this long was stopped or very busy. It has their
 * answers still to receive, so none is overdue until a grace time has passed from then on. */
#define VP_CELL_HOLD_STALLED_MS 300

static void
_vp_cell_update_loss (VpCell *cell, int64_t now_ms)
{
  bool was_lossy = cell->hold_loss.is_lossy;
  bool is_lossy = vp_holdloss_is_lossy (&cell->hold_loss, cell->desc.hold_policy, now_ms);

  if (is_lossy != was_lossy)
    vp_log (now_ms, "commands-unanswered", "is_on=%d share_permille=%u", is_lossy,
            vp_holdloss_permille (&cell->hold_loss));
}

/* Returns the time by which an answer may be later than its HOLD's wait. */
static int64_t
_vp_cell_hold_grace_ms (const VpCell *cell)
{
  const VpHoldPolicy *policy = cell->desc.hold_policy;
  int64_t grace_ms = cell->hold_loss.is_lossy ? policy->lossy_grace_ms : policy->grace_ms;

  return MAX (grace_ms, (int64_t)(cell->start_answer_ms * VP_CELL_HOLD_GRACE_FACTOR));
}

void
_vp_cell_handle_worker_replaced (VpCell *cell,
                                 VpCellWorker *worker,
                                 const VpCommandResult *result,
                                 int64_t now_ms)
{
  if (result->sent_ms < worker->address_changed_ms)
    return;
  vp_reconcile_worker_lost (&cell->reconcile, worker, VP_CRASH_OBSERVED, "worker-replaced", now_ms);
  vp_workerlist_set_replaced (worker);
}

/* Notes when the connection of a HOLD that waited at the worker broke off: the process lived until
 * then. */
static void
_vp_cell_handle_broken_hold (VpCellWorker *worker,
                             const VpPendingHold *hold,
                             const VpCommandResult *result)
{
  int64_t waited_ms = result->received_ms - result->sent_ms;
  int64_t silent_ms = hold->is_extra ? VP_CELL_HOLD_EXTRA_SILENT_MS : VP_CELL_HOLD_SILENT_MS;

  if (waited_ms > VP_CELL_HOLD_REFUSED_MS && waited_ms < silent_ms)
    worker->alive_ms = MAX (worker->alive_ms, result->received_ms);
}

/* Counts the HOLD as answered or unanswered, once. */
static void
_vp_cell_count_hold (VpCell *cell, VpPendingHold *hold, bool is_unanswered, int64_t now_ms)
{
  if (hold->is_counted)
    return;
  hold->is_counted = true;
  vp_holdloss_record (&cell->hold_loss, is_unanswered, now_ms);
  if (is_unanswered)
    vp_metrics_add (VP_COUNTER_HOLDS_UNANSWERED, 1);
}

/* Takes the HOLD of the result out of the worker's pending ones. */
static VpPendingHold
_vp_cell_take_hold (VpCell *cell, VpCellWorker *worker, const VpCommandResult *result)
{
  VpPendingHold hold = worker->overdue_hold;

  if (hold.number != 0 && hold.number == result->hold) {
    worker->overdue_hold = (VpPendingHold){ 0 };
    cell->overdue_hold_count--;
    return hold;
  }
  worker->is_hold_pending = false;
  return worker->last_hold;
}

/* Handles a HOLD without an answer. One that timed out although the worker has answered another
 * command since it was due was left unanswered by a worker that lives. A probe without an answer
 * leaves the decision to the time-out of the HOLD that it was sent for. */
static void
_vp_cell_handle_unanswered_hold (VpCellWorker *worker,
                                 const VpPendingHold *hold,
                                 const VpCommandResult *result,
                                 int64_t now_ms)
{
  /* Also the end of an overdue HOLD's connection shows how long the process lived. */
  if (worker->is_reachable)
    _vp_cell_handle_broken_hold (worker, hold, result);
  if (result->outcome == VP_COMMAND_UNCERTAIN && now_ms > hold->due_ms
      && (worker->last_answer_ms > hold->due_ms
          || (hold->is_probe && worker->overdue_hold.number != 0)))
    return;
  worker->is_relay_silent = result->is_given_up;
  if (worker->is_reachable)
    vp_log (now_ms, "worker-unreachable",
            "worker=%s outcome=%s waited_ms=%" G_GINT64_FORMAT " silent_ms=%" G_GINT64_FORMAT,
            worker->entry.id, vp_command_outcome_token (result->outcome),
            result->received_ms - result->sent_ms, now_ms - worker->last_answer_ms);
  worker->is_reachable = false;
}

void
_vp_cell_handle_hold_result (VpCell *cell,
                             VpCellWorker *worker,
                             const VpCommandResult *result,
                             int64_t now_ms)
{
  bool was_reachable = worker->is_reachable;
  VpPendingHold hold;
  int64_t next_ms = now_ms + VP_CELL_HOLD_RETRY_MS;
  bool is_last;

  /* The time of the next HOLD depends on the answer to the one that was sent since. */
  if (result->is_late) {
    worker->is_end_time_unknown = true;
    if (result->outcome == VP_COMMAND_OK)
      vp_reconcile_handle_list (&cell->reconcile, worker, result, now_ms);
    return;
  }
  hold = _vp_cell_take_hold (cell, worker, result);
  is_last = hold.number == worker->last_hold.number;
  worker->is_end_time_unknown = hold.is_probe || now_ms > hold.due_ms;
  _vp_cell_count_hold (cell, &hold, now_ms > hold.due_ms || result->outcome == VP_COMMAND_UNCERTAIN,
                       now_ms);
  switch (result->outcome) {
  case VP_COMMAND_OK:
    worker->is_relay_silent = false;
    if (vp_reconcile_handle_list (&cell->reconcile, worker, result, now_ms))
      next_ms = now_ms;
    /* While the worker was unreachable HOLDs didn't renew the leases, which may expire soon. */
    if (!was_reachable)
      next_ms = now_ms;
    break;
  case VP_COMMAND_WORKER_REPLACED:
    worker->is_relay_silent = false;
    _vp_cell_handle_worker_replaced (cell, worker, result, now_ms);
    break;
  case VP_COMMAND_UNREACHABLE:
  case VP_COMMAND_UNCERTAIN:
    _vp_cell_handle_unanswered_hold (worker, &hold, result, now_ms);
    next_ms = now_ms + VP_CELL_HOLD_UNREACHABLE_MS;
    break;
  default:
    worker->is_relay_silent = result->is_given_up;
    break;
  }
  if (is_last)
    worker->hold_next_ms = next_ms;
}

void
_vp_cell_schedule_acknowledgement (VpCellWorker *worker, int64_t now_ms)
{
  worker->hold_next_ms = MIN (worker->hold_next_ms,
                              MAX (now_ms, worker->last_answer_ms + VP_CELL_HOLD_INTERVAL_MIN_MS));
}

/* Returns the time that the worker may delay its answer to a HOLD. */
static int64_t
_vp_cell_hold_wait_ms (const VpCell *cell, const VpCellWorker *worker)
{
  const VpHoldPolicy *policy = cell->desc.hold_policy;
  int64_t wait_ms = policy->wait_ms;

  if (!worker->is_synced || !worker->is_reachable
      || worker->last_end_seen != worker->last_end_durable)
    return 0;
  /* Without tasks nothing ends there that the scheduler could learn too late. */
  if ((cell->hold_loss.is_lossy && g_hash_table_size (worker->tasks) > 0)
      || worker->overdue_hold.number != 0)
    wait_ms = policy->lossy_wait_ms;
  return worker->unknown_run_count > 0 ? MIN (wait_ms, VP_CELL_HOLD_WAIT_UNASSIGNED_MS) : wait_ms;
}

/* Returns true if no answer of the worker has arrived since its open HOLD was overdue. */
static bool
_vp_cell_is_probed (const VpCellWorker *worker)
{
  return worker->overdue_hold.number != 0
         && worker->last_answer_ms <= worker->overdue_hold.probed_ms;
}

static void
_vp_cell_send_hold (VpCell *cell, VpCellWorker *worker, int64_t now_ms, GArray *effects)
{
  VpCommand *command = _vp_cell_add_command (cell, worker, VP_COMMAND_HOLD, effects);
  bool is_probe = _vp_cell_is_probed (worker);

  worker->is_hold_pending = true;
  /* A HOLD for an unreachable worker doesn't renew its leases: if it did, it might arrive, and the
   * time until the leases are known to have expired would grow. */
  if (worker->is_reachable && !is_probe && now_ms <= cell->commands_until_ms)
    command->lease_end_ms = vp_workerlist_extend_lease (cell->worker_list, worker, now_ms);
  command->acked_end = worker->last_end_durable;
  command->booted_ms = worker->booted_ms;
  command->wait_ms = is_probe ? 0 : _vp_cell_hold_wait_ms (cell, worker);
  command->hold = worker->last_hold.number + 1;
  worker->last_hold = (VpPendingHold){ .number = command->hold,
                                       .sent_ms = now_ms,
                                       .due_ms = INT64_MAX,
                                       .is_extra = worker->overdue_hold.number != 0,
                                       .is_probe = is_probe,
                                       .is_counted = !worker->is_reachable };
  /* Most unreachable workers are, so a second HOLD to one of them is worth its call only while
   * many commands of others are lost, too. */
  if ((worker->is_reachable || cell->hold_loss.is_lossy)
      && _vp_cell_hold_grace_ms (cell) < INT64_MAX)
    worker->last_hold.due_ms = now_ms + command->wait_ms + _vp_cell_hold_grace_ms (cell);
  vp_metrics_add (VP_COUNTER_HOLDS, 1);
  if (worker->last_hold.is_extra)
    vp_metrics_add (VP_COUNTER_HOLDS_EXTRA, 1);
}

/* Returns the time from which another HOLD is sent although the last one isn't answered. While
 * commands are lost, a HOLD that was allowed to wait long isn't relied on for that long, as tasks
 * may have been started since. */
static int64_t
_vp_cell_hold_probe_ms (const VpCell *cell, const VpCellWorker *worker)
{
  const VpPendingHold *hold = &worker->last_hold;

  if (hold->due_ms == INT64_MAX || worker->overdue_hold.number != 0)
    return INT64_MAX;
  if (!cell->hold_loss.is_lossy || g_hash_table_size (worker->tasks) == 0)
    return hold->due_ms;
  return MIN (hold->due_ms, hold->sent_ms + cell->desc.hold_policy->lossy_wait_ms
                                + _vp_cell_hold_grace_ms (cell));
}

/* Sends another HOLD to a worker whose last one isn't answered, if that is due. */
static void
_vp_cell_send_probe (VpCell *cell, VpCellWorker *worker, int64_t now_ms, GArray *effects)
{
  uint32_t overdue_max
      = MAX ((uint32_t)((double)cell->worker_list->workers->len * VP_CELL_HOLD_OVERDUE_SHARE),
             VP_CELL_HOLD_OVERDUE_MIN);

  if (now_ms <= _vp_cell_hold_probe_ms (cell, worker)
      || now_ms - cell->holds_resumed_ms <= _vp_cell_hold_grace_ms (cell)
      || cell->overdue_hold_count >= overdue_max)
    return;
  if (now_ms > worker->last_hold.due_ms)
    _vp_cell_count_hold (cell, &worker->last_hold, true, now_ms);
  worker->overdue_hold = worker->last_hold;
  worker->overdue_hold.probed_ms = now_ms;
  cell->overdue_hold_count++;
  _vp_cell_send_hold (cell, worker, now_ms, effects);
}

void
_vp_cell_send_holds (VpCell *cell, int64_t now_ms, GArray *effects)
{
  _vp_cell_update_loss (cell, now_ms);
  if (now_ms - cell->holds_checked_ms > VP_CELL_HOLD_STALLED_MS)
    cell->holds_resumed_ms = now_ms;
  cell->holds_checked_ms = now_ms;
  for (guint i = 0; i < cell->worker_list->workers->len; i++) {
    VpCellWorker *worker = cell->worker_list->workers->pdata[i];
    if (!worker->is_hold_pending && now_ms >= worker->hold_next_ms)
      _vp_cell_send_hold (cell, worker, now_ms, effects);
    else if (worker->is_hold_pending
             && (cell->hold_loss.is_lossy || now_ms > worker->last_hold.due_ms))
      _vp_cell_send_probe (cell, worker, now_ms, effects);
  }
}

int64_t
_vp_cell_hold_next_ms (const VpCell *cell, const VpCellWorker *worker, int64_t now_ms)
{
  int64_t probe_ms;

  if (!worker->is_hold_pending)
    return worker->hold_next_ms;
  probe_ms = _vp_cell_hold_probe_ms (cell, worker);
  /* A probe that waits because of its number isn't tried more often than the scans. */
  return probe_ms == INT64_MAX
             ? INT64_MAX
             : MAX (probe_ms + 1, probe_ms < now_ms ? now_ms + VP_CELL_SCAN_MS : 0);
}
