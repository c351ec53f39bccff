#include "vp-cell.h"
#include "vp-counters.h"
#include "vp-durations.h"
#include "vp-log.h"
#include "vp-pace.h"
#include "vp-place.h"

#include <string.h>

/* A worker answers a HOLD at the next end, or after this long. */
#define VP_CELL_HOLD_WAIT_MS 2000
/* Least time between the answer to a HOLD that brought ends and the next one, which then brings
 * several: each costs a call, and a step more than this hardly shows in a job's time. */
#define VP_CELL_HOLD_GAP_MS 100
/* Next HOLD when ends wait to be durable, or after one that failed. */
#define VP_CELL_HOLD_RETRY_MS 400
#define VP_CELL_HOLD_LOST_MS  150
/* A start that has no answer after this is repeated: workers answer within some milliseconds, and
 * the transport gives up only after a second. */
#define VP_CELL_START_HEDGE_MS 120
/* Its worker gets no other work for this long: it may be cut off. */
#define VP_CELL_SLOW_ANSWER_MS 300
/* Times that a start without an answer is repeated for the same run before the run is stopped. */
#define VP_CELL_START_TRIES 3
/* A stop without an answer is repeated after this. */
#define VP_CELL_STOP_RETRY_MS 300
/* A worker that turned a start away gets no work for this long. */
#define VP_CELL_REFUSED_MS 500
/* Wait after an order that the worker can't read; it would only be refused again. */
#define VP_CELL_INVALID_MS 2000
/* Interval of looks at all running tasks for those to be stopped. */
#define VP_CELL_SCAN_MS 50
/* A gang that did not fit is not tried again before. */
#define VP_CELL_GANG_RETRY_MS 50
/* After a failed advice call. */
#define VP_CELL_ASK_RETRY_MS 200
/* An answer to an advice call that is this late is taken as lost. */
#define VP_CELL_ASK_GRACE_MS 2500
/* Assumed part of workers that advice allows, until answers tell; and the weight of each answer. */
#define VP_CELL_GOOD_SHARE  0.5
#define VP_CELL_GOOD_WEIGHT 0.1
/* Runs of an earlier scheduler that were not kept are fewer than this for one task: it commits
 * several times a second. */
#define VP_CELL_RUN_GAP 8
/* Work that is this many times over its objective earns nothing and yields. */
#define VP_CELL_HOPELESS_FACTOR 3
/* A list with this many ends is cut; the rest follows (platform). */
#define VP_CELL_ENDS_MAX 500

/* Advice calls under way for each process that can make them: one is served, one waits. More would
 * be answered after the state that they were asked for. */
#define VP_CELL_ASKS_EACH 2

typedef struct {
  VpTaskName step;
  int64_t expires_ms;
  GPtrArray *workers; /* ids asked about; a reference */
} VpCellAsk;

static void
_vp_cell_ask_free (gpointer data)
{
  VpCellAsk *ask = data;

  g_ptr_array_unref (ask->workers);
  g_free (ask);
}

struct _VpCell {
  VpCellDesc desc;
  VpCellConf *conf;
  VpRoster *roster;
  VpJobList *jobs;
  VpDurations *durations;
  GHashTable *asks;        /* serial -> VpCellAsk */
  GHashTable *good_shares; /* queue -> double */
  GArray *strays;          /* VpOrder: stops of runs that no task accounts for */
  uint64_t last_serial;
  int64_t started_ms;
  int64_t scan_next_ms;
  uint32_t asker_count;
  bool is_fenced;
  bool is_paused;
  bool has_list; /* the platform's list of workers was read */
  bool is_settled;
  bool has_unstaged_ends;
};

VpCell *
vp_cell_setup (const VpCellDesc *desc, int64_t now_ms)
{
  VpCell *cell = g_new0 (VpCell, 1);

  cell->desc = *desc;
  cell->roster = vp_roster_setup (desc->hold_max_ms);
  cell->jobs = vp_joblist_setup ();
  cell->durations = vp_durations_setup ();
  cell->asks = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, _vp_cell_ask_free);
  cell->strays = g_array_new (FALSE, FALSE, sizeof (VpOrder));
  cell->good_shares = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cell->started_ms = now_ms;
  cell->asker_count = 1;
  /* Answers to an earlier scheduler of this process must not be taken for this one's. */
  cell->last_serial = desc->fence << 24;
  return cell;
}

void
vp_cell_shutdown (VpCell *cell)
{
  if (cell == NULL)
    return;
  vp_joblist_shutdown (cell->jobs);
  vp_roster_shutdown (cell->roster);
  vp_durations_shutdown (cell->durations);
  g_hash_table_unref (cell->asks);
  g_array_unref (cell->strays);
  g_hash_table_unref (cell->good_shares);
  g_clear_pointer (&cell->conf, vp_cellconf_unref);
  g_free (cell);
}

void
vp_cell_set_conf (VpCell *cell, VpCellConf *conf)
{
  vp_cellconf_ref (conf);
  g_clear_pointer (&cell->conf, vp_cellconf_unref);
  cell->conf = conf;
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

static const VpQueueConf *
_vp_cell_queue (const VpCell *cell, const VpJob *job)
{
  return cell->conf == NULL ? NULL : vp_cellconf_queue (cell->conf, job->spec->queue);
}

static uint32_t
_vp_cell_attempts_max (const VpCell *cell, const VpJob *job)
{
  const VpQueueConf *queue = _vp_cell_queue (cell, job);

  return queue == NULL || queue->attempts_max == 0 ? 1 : queue->attempts_max;
}

/* Orders. */

static VpOrder *
_vp_cell_order (VpCell *cell, VpRosterWorker *worker, VpOrderKind kind, GArray *effects)
{
  VpCellEffect *effect;

  g_array_set_size (effects, effects->len + 1);
  effect = &g_array_index (effects, VpCellEffect, effects->len - 1);
  memset (effect, 0, sizeof *effect);
  effect->kind = VP_CELL_ORDER;
  effect->order.kind = kind;
  effect->order.fence = cell->desc.fence;
  g_strlcpy (effect->order.worker, worker->entry.id, VP_NAME_MAX);
  g_strlcpy (effect->order.address, worker->entry.address, VP_ADDRESS_MAX);
  return &effect->order;
}

static void
_vp_cell_order_start (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  VpRosterWorker *worker = task->worker;
  VpOrder *order = _vp_cell_order (cell, worker, VP_ORDER_START, effects);
  const char *ticket = vp_place_ticket (task->step, worker, now_ms);

  vp_jobtask_name (task, &order->task);
  order->run = task->run;
  order->text = g_strdup (task->step->run->job->spec->text);
  order->lease_end_ms = vp_roster_lease (cell->roster, worker, now_ms);
  g_strlcpy (order->checkpoint, task->checkpoint, sizeof order->checkpoint);
  if (ticket != NULL)
    g_strlcpy (order->ticket, ticket, sizeof order->ticket);
  task->start_tries++;
  task->ordered_ms = now_ms;
  vp_counters_add (VP_COUNT_STARTS, 1);
}

static void
_vp_cell_order_stop (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  VpOrder *order = _vp_cell_order (cell, task->worker, VP_ORDER_STOP, effects);

  task->phase = VP_PHASE_STOPPING;
  task->stop_sent_ms = now_ms;
  task->confirmed_ms = 0;
  vp_jobtask_name (task, &order->task);
  order->run = task->run;
}

static void
_vp_cell_log_task (const VpJobTask *task, const char *event, const char *why, int64_t now_ms)
{
  char name[VP_TASK_NAME_MAX];
  VpTaskName parts;

  vp_jobtask_name (task, &parts);
  vp_task_name_format (&parts, name);
  vp_log (now_ms, event, "task=%s run=%u worker=%s why=%s failures=%u", name, task->run,
          task->worker == NULL ? "-" : task->worker->entry.id, why, task->failures);
}

/* Workers. */

static VpJobTask **
_vp_cell_tasks_of (const VpRosterWorker *worker, guint *count)
{
  return (VpJobTask **)g_hash_table_get_keys_as_array (worker->tasks, count);
}

/* Nothing that was ordered there can be running any more. */
static void
_vp_cell_lost (VpCell *cell, VpRosterWorker *worker, const char *why, int64_t now_ms)
{
  guint count;
  g_autofree VpJobTask **tasks = _vp_cell_tasks_of (worker, &count);

  vp_log (now_ms, "worker-lost", "worker=%s why=%s tasks=%u heard_ms_ago=%" G_GINT64_FORMAT,
          worker->entry.id, why, count, now_ms - worker->heard_ms);
  for (guint i = 0; i < count; i++)
    vp_jobtask_end (cell->jobs, tasks[i], VP_RUN_LAPSED, 1, now_ms);
  worker->foreign_count = 0;
}

void
vp_cell_worker (VpCell *cell, const VpWorkerEntry *entry, int64_t now_ms)
{
  VpRosterWorker *known = vp_roster_find (cell->roster, entry->id);
  bool was_draining = known != NULL && known->entry.is_draining;

  if (known == NULL)
    vp_log (now_ms, "worker-listed", "worker=%s address=%s service=%s", entry->id, entry->address,
            entry->service);
  known = vp_roster_put (cell->roster, entry, now_ms);
  /* Its entry tells of a restart before its lists do. */
  if (entry->born_ms != 0 && known->born_ms != 0 && entry->born_ms > known->born_ms) {
    _vp_cell_lost (cell, known, "born-again", now_ms);
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
  /* A silent worker leaves the list only after several heartbeats; one that drained and was heard
   * since then has left by itself. Its last list may still be under way, so a call tells. */
  if (worker->entry.is_draining && worker->clock_at_ms != 0
      && now_ms - worker->heard_ms < cell->desc.gone_ms) {
    worker->has_left = true;
    worker->hold_next_ms = MIN (worker->hold_next_ms, now_ms);
  }
}

static bool
_vp_cell_is_settled_worker (const VpRosterWorker *worker, int64_t now_ms)
{
  return worker->is_synced || vp_roster_is_lapsed (worker, now_ms);
}

/* Whether every worker that an earlier scheduler may have used has told what it runs. */
static void
_vp_cell_settle (VpCell *cell, int64_t now_ms)
{
  if (cell->is_settled || !cell->has_list)
    return;
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    if (!_vp_cell_is_settled_worker (cell->roster->workers->pdata[i], now_ms))
      return;
  }
  cell->is_settled = true;
  vp_log (now_ms, "settled", "after_ms=%" G_GINT64_FORMAT " workers=%u", now_ms - cell->started_ms,
          cell->roster->workers->len);
}

void
vp_cell_set_askers (VpCell *cell, uint32_t count)
{
  cell->asker_count = MAX (count, 1);
}

void
vp_cell_list_complete (VpCell *cell)
{
  cell->has_list = true;
}

/* Ends and lists that workers report. */

static void
_vp_cell_note_end (VpCell *cell,
                   VpRosterWorker *worker,
                   VpJobTask *task,
                   VpRunEnd end,
                   int64_t now_ms)
{
  const VpJob *job = task->step->run->job;

  vp_counters_add (VP_COUNT_ENDED, 1);
  if (end == VP_RUN_DONE) {
    vp_roster_note_done (worker);
    if (!task->step->spec->is_filling && task->checkpoint[0] == '\0') {
      vp_durations_note (cell->durations, job->spec->queue, now_ms - task->started_ms);
      vp_roster_note_time (worker, now_ms - task->started_ms,
                           vp_jobstep_note_time (task->step, now_ms - task->started_ms));
    }
  } else if (end == VP_RUN_FAILED && vp_roster_note_failed (worker, job->spec->id, now_ms)) {
    vp_log (now_ms, "worker-aside", "worker=%s failed_jobs=%u until_ms=%" G_GINT64_FORMAT,
            worker->entry.id, worker->failed_jobs, worker->avoid_until_ms);
  }
}

/* An end of a run that isn't assigned there: of an earlier scheduler, or one given up as lost. */
static void
_vp_cell_stray_end (VpCell *cell, VpJobTask *task, const VpEndedEntry *entry, int64_t now_ms)
{
  uint32_t attempts_max = _vp_cell_attempts_max (cell, task->step->run->job);
  bool is_waiting = task->phase == VP_PHASE_WAITING;

  if (entry->end == VP_RUN_FAILED)
    vp_jobtask_note_failed (cell->jobs, task, entry->run, attempts_max, now_ms);
  if (!is_waiting || (entry->run < task->kept_run && entry->end != VP_RUN_DONE))
    return;
  task->run = MAX (task->run, entry->run);
  if (entry->run >= task->kept_run)
    vp_jobtask_set_last_worker (cell->jobs, task, "");
  if (entry->checkpoint[0] != '\0')
    g_strlcpy (task->checkpoint, entry->checkpoint, sizeof task->checkpoint);
  if (entry->end == VP_RUN_DONE)
    vp_jobtask_end (cell->jobs, task, entry->end, attempts_max, now_ms);
}

static void
_vp_cell_take_end (VpCell *cell, VpRosterWorker *worker, const VpEndedEntry *entry, int64_t now_ms)
{
  VpJobTask *task = entry->is_task ? vp_joblist_task (cell->jobs, &entry->task) : NULL;
  VpJob *job;

  if (task == NULL || task->phase == VP_PHASE_DONE)
    return;
  job = task->step->run->job;
  if (task->worker != worker || task->run != entry->run) {
    _vp_cell_stray_end (cell, task, entry, now_ms);
    return;
  }
  _vp_cell_log_task (task, "end", vp_run_end_token (entry->end), now_ms);
  _vp_cell_note_end (cell, worker, task, entry->end, now_ms);
  if (entry->checkpoint[0] != '\0')
    g_strlcpy (task->checkpoint, entry->checkpoint, sizeof task->checkpoint);
  vp_jobtask_end (cell->jobs, task, entry->end, _vp_cell_attempts_max (cell, job), now_ms);
}

static void
_vp_cell_take_ends (VpCell *cell, VpRosterWorker *worker, const GArray *ended, int64_t now_ms)
{
  for (guint i = 0; ended != NULL && i < ended->len; i++) {
    const VpEndedEntry *entry = &g_array_index (ended, VpEndedEntry, i);
    if (entry->number <= worker->seen)
      continue;
    worker->seen = entry->number;
    cell->has_unstaged_ends = true;
    _vp_cell_take_end (cell, worker, entry, now_ms);
  }
}

static bool
_vp_cell_may_adopt (const VpJobTask *task, const VpRunningEntry *entry)
{
  return task != NULL && task->phase == VP_PHASE_WAITING && !vp_job_is_ended (task->step->run->job)
         && entry->run >= task->run;
}

/* A listed run that this scheduler did not start there: taken on if its task waits, else stopped.
 */
static void
_vp_cell_take_stray (VpCell *cell,
                     VpRosterWorker *worker,
                     VpJobTask *task,
                     const VpRunningEntry *entry,
                     int64_t now_ms)
{
  if (task == NULL || !_vp_cell_may_adopt (task, entry)) {
    VpOrder stop = {
      .kind = VP_ORDER_STOP, .task = entry->task, .run = entry->run, .fence = cell->desc.fence
    };
    g_strlcpy (stop.worker, worker->entry.id, sizeof stop.worker);
    g_strlcpy (stop.address, worker->entry.address, sizeof stop.address);
    worker->foreign_count++;
    if (entry->is_task)
      g_array_append_val (cell->strays, stop);
    return;
  }
  vp_jobtask_assign (cell->jobs, task, worker, entry->run, now_ms);
  task->phase = VP_PHASE_RUNNING;
  task->confirmed_ms = now_ms;
  _vp_cell_log_task (task, "adopt", "listed", now_ms);
}

static void
_vp_cell_take_running (VpCell *cell,
                       VpRosterWorker *worker,
                       const VpOrderResult *result,
                       GHashTable *listed,
                       int64_t now_ms)
{
  worker->foreign_count = 0;
  for (guint i = 0; result->running != NULL && i < result->running->len; i++) {
    const VpRunningEntry *entry = &g_array_index (result->running, VpRunningEntry, i);
    VpJobTask *task = entry->is_task ? vp_joblist_task (cell->jobs, &entry->task) : NULL;
    if (task == NULL || task->worker != worker || task->run != entry->run)
      _vp_cell_take_stray (cell, worker, task, entry, now_ms);
    if (task == NULL || task->worker != worker)
      continue;
    g_hash_table_add (listed, task);
    if (task->phase == VP_PHASE_STARTING) {
      task->phase = VP_PHASE_RUNNING;
      task->confirmed_ms = now_ms;
    }
    if (entry->checkpoint[0] != '\0')
      g_strlcpy (task->checkpoint, entry->checkpoint, sizeof task->checkpoint);
    task->percent = entry->percent;
    task->gauge = entry->gauge;
  }
}

/* Runs that were confirmed before the list was asked for and that it doesn't show are over. */
static void
_vp_cell_drop_vanished (VpCell *cell,
                        VpRosterWorker *worker,
                        const VpOrderResult *result,
                        GHashTable *listed,
                        int64_t now_ms)
{
  guint count;
  g_autofree VpJobTask **tasks = _vp_cell_tasks_of (worker, &count);

  for (guint i = 0; i < count; i++) {
    VpJobTask *task = tasks[i];
    if (task->confirmed_ms == 0 || task->confirmed_ms >= result->sent_ms
        || g_hash_table_contains (listed, task) || task->worker != worker)
      continue;
    _vp_cell_log_task (task, "end", "not-listed", now_ms);
    vp_jobtask_end (cell->jobs, task, VP_RUN_LAPSED, 1, now_ms);
  }
}

static void
_vp_cell_take_list (VpCell *cell,
                    VpRosterWorker *worker,
                    const VpOrderResult *result,
                    int64_t now_ms)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (NULL, NULL);
  uint64_t seen_before;

  if (worker->born_ms != 0 && result->born_ms != 0 && worker->born_ms != result->born_ms) {
    /* A late answer of the life before. */
    if (result->born_ms < worker->born_ms)
      return;
    _vp_cell_lost (cell, worker, "born-again", now_ms);
    vp_roster_reborn (worker, result->born_ms);
  }
  if (worker->born_ms == 0)
    worker->born_ms = result->born_ms;
  vp_roster_heard (cell->roster, worker, result->clock_ms, result->received_ms);
  seen_before = worker->seen;
  _vp_cell_take_ends (cell, worker, result->ended, now_ms);
  _vp_cell_take_running (cell, worker, result, listed, now_ms);
  if (result->ended == NULL || result->ended->len < VP_CELL_ENDS_MAX)
    _vp_cell_drop_vanished (cell, worker, result, listed, now_ms);
  if (!worker->is_synced)
    vp_log (now_ms, "worker-synced", "worker=%s running=%u foreign=%u", worker->entry.id,
            g_hash_table_size (worker->tasks), worker->foreign_count);
  worker->is_synced = true;
  worker->hold_next_ms = worker->seen > worker->seen_durable || worker->seen > seen_before
                                 || worker->foreign_count > 0
                             ? now_ms + VP_CELL_HOLD_RETRY_MS
                             : now_ms;
}

static void
_vp_cell_hold_result (VpCell *cell,
                      VpRosterWorker *worker,
                      const VpOrderResult *result,
                      int64_t now_ms)
{
  worker->is_hold_out = false;
  switch (result->outcome) {
  case VP_ORDER_OK:
    _vp_cell_take_list (cell, worker, result, now_ms);
    break;
  case VP_ORDER_OTHER_LIFE:
    _vp_cell_lost (cell, worker, "other-life", now_ms);
    vp_roster_over (worker);
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
    if (worker->has_left)
      _vp_cell_lost (cell, worker, "left", now_ms);
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
  _vp_cell_log_task (task, "not-started", vp_order_outcome_token (result->outcome), now_ms);
  vp_counters_add (VP_COUNT_START_REFUSED, 1);
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
  if (result->outcome == VP_ORDER_OTHER_LIFE) {
    _vp_cell_lost (cell, worker, "other-life", now_ms);
    vp_roster_over (worker);
  }
}

/* What a commit covers. */

bool
vp_cell_has_unstaged_ends (const VpCell *cell)
{
  return cell->has_unstaged_ends;
}

void
vp_cell_stage_ends (VpCell *cell)
{
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    VpRosterWorker *worker = cell->roster->workers->pdata[i];
    worker->seen_staged = worker->seen;
  }
  cell->has_unstaged_ends = false;
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

bool
vp_cell_cancel (VpCell *cell, uint64_t id, int64_t now_ms)
{
  VpJob *job = vp_joblist_find (cell->jobs, id);

  if (job == NULL || !vp_joblist_cancel (cell->jobs, job, now_ms))
    return false;
  cell->scan_next_ms = 0;
  return true;
}

/* Advice. */

static double *
_vp_cell_good_share (VpCell *cell, const char *queue)
{
  double *share = g_hash_table_lookup (cell->good_shares, queue);

  if (share == NULL) {
    share = g_new (double, 1);
    *share = VP_CELL_GOOD_SHARE;
    g_hash_table_insert (cell->good_shares, g_strdup (queue), share);
  }
  return share;
}

static void
_vp_cell_ask (VpCell *cell,
              VpJobStep *step,
              const VpQueueConf *queue,
              int64_t now_ms,
              GArray *effects)
{
  g_autoptr (GPtrArray) workers = g_ptr_array_new ();
  VpCellEffect effect = { .kind = VP_CELL_ADVISE };
  VpCellAsk *ask;

  if (step->ask_serial != 0 || now_ms < step->ask_next_ms
      || g_hash_table_size (cell->asks) >= VP_CELL_ASKS_EACH * cell->asker_count)
    return;
  vp_place_candidates (cell->roster, step, queue, *_vp_cell_good_share (cell, queue->name), now_ms,
                       workers);
  if (workers->len == 0)
    return;
  vp_jobtask_name (&step->tasks[0], &effect.ask.step);
  effect.ask.serial = step->ask_serial = ++cell->last_serial;
  effect.ask.expected_ms
      = (int64_t)(queue->advice_decide_ms + queue->advice_worker_ms * workers->len) + 1;
  effect.ask.workers = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < workers->len; i++)
    g_ptr_array_add (effect.ask.workers,
                     g_strdup (((VpRosterWorker *)workers->pdata[i])->entry.id));
  g_array_append_val (effects, effect);
  ask = g_new (VpCellAsk, 1);
  *ask = (VpCellAsk){ .step = effect.ask.step,
                      .expires_ms = now_ms + effect.ask.expected_ms + VP_CELL_ASK_GRACE_MS,
                      .workers = g_ptr_array_ref (effect.ask.workers) };
  g_hash_table_insert (cell->asks, g_memdup2 (&step->ask_serial, sizeof (uint64_t)), ask);
  /* Those not named in the answer are ruled out. */
  if (step->advice == NULL)
    step->advice = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  vp_log (now_ms, "ask",
          "job=%016" G_GINT64_MODIFIER "x step=%u serial=%" G_GUINT64_FORMAT
          " workers=%u waiting=%u",
          effect.ask.step.job, effect.ask.step.step, effect.ask.serial, workers->len,
          step->waiting_count);
}

static void
_vp_cell_note_advice (const VpCell *cell, VpJobStep *step, const VpAdviceRow *from)
{
  VpAdviceRow *row = g_memdup2 (from, sizeof (VpAdviceRow));
  const VpRosterWorker *worker = vp_roster_find (cell->roster, row->worker);

  row->born_ms = worker == NULL ? 0 : worker->born_ms;
  g_hash_table_replace (step->advice, row->worker, row);
}

/* Workers that were asked about and aren't named in the answer are ruled out. */
static void
_vp_cell_take_advice (VpCell *cell, VpJobStep *step, const VpCellAsk *ask, const GArray *rows)
{
  double *share = _vp_cell_good_share (cell, step->run->job->spec->queue);
  double allowed = (double)rows->len / MAX (ask->workers->len, 1);

  for (guint i = 0; i < ask->workers->len; i++) {
    VpAdviceRow row = { 0 };
    g_strlcpy (row.worker, ask->workers->pdata[i], sizeof row.worker);
    _vp_cell_note_advice (cell, step, &row);
  }
  for (guint i = 0; i < rows->len; i++)
    _vp_cell_note_advice (cell, step, &g_array_index (rows, VpAdviceRow, i));
  *share = CLAMP (*share + VP_CELL_GOOD_WEIGHT * (allowed - *share), 0.05, 1.0);
}

void
vp_cell_advice (VpCell *cell, uint64_t serial, const GArray *rows, int64_t now_ms)
{
  VpCellAsk *ask = g_hash_table_lookup (cell->asks, &serial);
  VpJobTask *task = ask == NULL ? NULL : vp_joblist_task (cell->jobs, &ask->step);
  VpJobStep *step = task == NULL ? NULL : task->step;

  if (step == NULL || step->ask_serial != serial) {
    g_hash_table_remove (cell->asks, &serial);
    return;
  }
  step->ask_serial = 0;
  if (rows == NULL) {
    step->ask_next_ms = now_ms + VP_CELL_ASK_RETRY_MS;
  } else {
    _vp_cell_take_advice (cell, step, ask, rows);
  }
  g_hash_table_remove (cell->asks, &serial);
}

static void
_vp_cell_expire_asks (VpCell *cell, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cell->asks);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpCellAsk *ask = value;
    VpJobTask *task;
    if (now_ms < ask->expires_ms)
      continue;
    task = vp_joblist_task (cell->jobs, &ask->step);
    if (task != NULL)
      task->step->ask_serial = 0;
    g_hash_table_iter_remove (&iter);
  }
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
    return cell->is_settled || cell->desc.is_clean;
  worker = vp_roster_find (cell->roster, task->last_worker);
  if (worker == NULL ? now_ms <= cell->started_ms + 2 * cell->desc.hold_max_ms
                     : !cell->is_settled || !_vp_cell_is_settled_worker (worker, now_ms))
    return false;
  vp_jobtask_set_last_worker (cell->jobs, task, "");
  return true;
}

static uint32_t
_vp_cell_next_run (const VpCell *cell, const VpJobTask *task)
{
  bool is_exact = cell->desc.is_clean || !task->step->run->job->is_inherited;

  return task->run + (is_exact ? 1 : VP_CELL_RUN_GAP);
}

static bool
_vp_cell_is_below_cap (VpCell *cell, const VpJobStep *step, uint32_t count)
{
  const VpJob *job = step->run->job;
  const VpTeamConf *team = vp_cellconf_team (cell->conf, job->spec->team);
  const VpTeamUse *use = vp_joblist_team (cell->jobs, job->spec->team);
  VpSize used = use->used;
  VpSize more = step->spec->size;

  if (team == NULL)
    return true;
  vp_size_scale (&more, count);
  vp_size_add (&used, &more);
  vp_size_add (&used, &use->unseen);
  return (team->cap.cpu_milli == 0 || used.cpu_milli <= team->cap.cpu_milli)
         && (team->cap.mem_mib == 0 || used.mem_mib <= team->cap.mem_mib)
         && (team->cap.accel_count == 0 || used.accel_count <= team->cap.accel_count);
}

static void
_vp_cell_start (VpCell *cell,
                VpJobTask *task,
                VpRosterWorker *worker,
                uint32_t run,
                int64_t now_ms,
                GArray *effects)
{
  const VpJob *job = task->step->run->job;

  if (!job->is_started)
    vp_counters_observe (VP_HIST_WAIT_MS, now_ms - job->arrived_ms);
  vp_jobtask_assign (cell->jobs, task, worker, run, now_ms);
  if (task->step->spec->is_one_rack && task->step->rack < 0)
    task->step->rack = (int32_t)worker->rack_index;
  _vp_cell_log_task (task, "start", "fits", now_ms);
  _vp_cell_order_start (cell, task, now_ms, effects);
}

/* True if all tasks of the gang were started. */
static bool
_vp_cell_place_gang (VpCell *cell,
                     VpJobStep *step,
                     const VpQueueConf *queue,
                     int64_t now_ms,
                     GArray *effects)
{
  g_autofree VpRosterWorker **workers = NULL;
  uint32_t count = step->spec->task_count;
  uint32_t run = 0;

  if (step->waiting_count < count || now_ms < step->fit_next_ms
      || !_vp_cell_is_below_cap (cell, step, count))
    return step->waiting_count < count;
  for (uint32_t i = 0; i < count; i++) {
    if (now_ms < step->tasks[i].not_before_ms || !_vp_cell_is_free (cell, &step->tasks[i], now_ms))
      return true;
    run = MAX (run, _vp_cell_next_run (cell, &step->tasks[i]));
  }
  workers = g_new0 (VpRosterWorker *, count);
  if (!vp_place_gang (cell->roster, step, queue, now_ms, workers)) {
    step->fit_next_ms = now_ms + VP_CELL_GANG_RETRY_MS;
    return false;
  }
  for (uint32_t i = 0; i < count; i++)
    _vp_cell_start (cell, &step->tasks[i], workers[i], run, now_ms, effects);
  return true;
}

/* True if no task is left that only lacks a worker. */
static bool
_vp_cell_place_tasks (VpCell *cell,
                      VpJobStep *step,
                      const VpQueueConf *queue,
                      int64_t now_ms,
                      GArray *effects)
{
  uint32_t attempts_max = _vp_cell_attempts_max (cell, step->run->job);

  for (uint32_t i = 0; i < step->spec->task_count && step->waiting_count > 0; i++) {
    VpJobTask *task = &step->tasks[i];
    VpRosterWorker *worker;
    if (task->phase != VP_PHASE_WAITING || now_ms < task->not_before_ms
        || !_vp_cell_is_free (cell, task, now_ms)
        || (task->failures >= attempts_max && !step->spec->is_lasting))
      continue;
    if (!_vp_cell_is_below_cap (cell, step, 1))
      return true;
    worker = vp_place_pick (cell->roster, task, queue, now_ms);
    if (worker == NULL)
      return false;
    _vp_cell_start (cell, task, worker, _vp_cell_next_run (cell, task), now_ms, effects);
  }
  return true;
}

/* Room of the workers of one service that no step in order before has a claim to. */
typedef struct {
  const char *service;
  VpSize spare;
} VpCellSpare;

static VpSize *
_vp_cell_spare (const VpCell *cell, GArray *spares, const char *service, int64_t now_ms)
{
  VpCellSpare spare = { .service = service };

  for (guint i = 0; i < spares->len; i++) {
    if (strcmp (g_array_index (spares, VpCellSpare, i).service, service) == 0)
      return &g_array_index (spares, VpCellSpare, i).spare;
  }
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    const VpRosterWorker *worker = cell->roster->workers->pdata[i];
    VpSize free = vp_roster_free (worker);
    if (vp_roster_is_usable (worker, now_ms) && strcmp (worker->entry.service, service) == 0)
      vp_size_add (&spare.spare, &free);
  }
  g_array_append_val (spares, spare);
  return &g_array_index (spares, VpCellSpare, spares->len - 1).spare;
}

/* Takes what the step's waiting tasks need off the room that steps behind it may ask about; false
 * if nothing was left of it. */
static bool
_vp_cell_claim_spare (VpSize *spare, const VpJobStep *step)
{
  VpSize need = vp_jobtask_room (&step->tasks[0]);

  if (!vp_size_fits (&need, spare))
    return false;
  vp_size_scale (&need, step->waiting_count);
  vp_size_sub (spare, &need);
  return true;
}

static void
_vp_cell_place_step (VpCell *cell,
                     VpJobStep *step,
                     const VpQueueConf *queue,
                     GArray *spares,
                     int64_t now_ms,
                     GArray *effects)
{
  VpJob *job = step->run->job;
  bool is_placed;

  if (step->waiting_count == 0)
    return;
  if (!job->is_durable)
    is_placed = !queue->has_advice;
  else if (step->spec->is_gang)
    is_placed = _vp_cell_place_gang (cell, step, queue, now_ms, effects);
  else
    is_placed = _vp_cell_place_tasks (cell, step, queue, now_ms, effects);
  if (!is_placed && queue->has_advice
      && _vp_cell_claim_spare (_vp_cell_spare (cell, spares, queue->service, now_ms), step))
    _vp_cell_ask (cell, step, queue, now_ms, effects);
}

typedef struct {
  VpJobStep *step;
  const VpQueueConf *queue;
  bool is_hopeless;
  int64_t objective_ms;
} VpCellTurn;

static gint
_vp_cell_compare_turns (gconstpointer a, gconstpointer b)
{
  const VpCellTurn *one = a;
  const VpCellTurn *two = b;

  if (one->is_hopeless != two->is_hopeless)
    return one->is_hopeless ? 1 : -1;
  if (one->queue->priority != two->queue->priority)
    return one->queue->priority < two->queue->priority ? -1 : 1;
  return one->objective_ms == two->objective_ms  ? 0
         : one->objective_ms < two->objective_ms ? -1
                                                 : 1;
}

/* Longest chain of estimates through the steps of a job. */
static int64_t
_vp_cell_chain_ms (const VpJobSpec *spec)
{
  int64_t chain_ms[VP_JOBSPEC_STEPS_MAX];
  int64_t longest_ms = 0;

  for (uint32_t s = 0; s < spec->step_count; s++) {
    const VpStepSpec *step = &spec->steps[s];
    chain_ms[s] = 0;
    for (guint i = 0; step->after != NULL && i < step->after->len; i++)
      chain_ms[s] = MAX (chain_ms[s], chain_ms[g_array_index (step->after, uint32_t, i)]);
    chain_ms[s] += step->estimate_ms;
    longest_ms = MAX (longest_ms, chain_ms[s]);
  }
  return longest_ms;
}

static int64_t
_vp_cell_objective_ms (VpJob *job, const VpQueueConf *queue)
{
  if (job->objective_ms == INT64_MAX)
    job->objective_ms = job->arrived_ms + queue->latency_target_ms
                        + (int64_t)(queue->stretch * (double)_vp_cell_chain_ms (job->spec));
  return job->objective_ms;
}

static void
_vp_cell_place (VpCell *cell, int64_t now_ms, GArray *effects)
{
  g_autoptr (GArray) turns = g_array_new (FALSE, FALSE, sizeof (VpCellTurn));
  g_autoptr (GArray) spares = g_array_new (FALSE, FALSE, sizeof (VpCellSpare));

  for (guint i = 0; i < cell->jobs->open_steps->len; i++) {
    VpCellTurn turn = { .step = cell->jobs->open_steps->pdata[i] };
    VpJob *job = turn.step->run->job;
    turn.queue = _vp_cell_queue (cell, job);
    if (turn.queue == NULL || turn.step->waiting_count == 0)
      continue;
    turn.objective_ms = _vp_cell_objective_ms (job, turn.queue);
    turn.is_hopeless = now_ms - job->arrived_ms
                       > VP_CELL_HOPELESS_FACTOR * (turn.objective_ms - job->arrived_ms);
    turn.is_hopeless = turn.is_hopeless && !turn.step->spec->is_lasting;
    g_array_append_val (turns, turn);
  }
  g_array_sort (turns, _vp_cell_compare_turns);
  for (guint i = 0; i < turns->len; i++) {
    const VpCellTurn *turn = &g_array_index (turns, VpCellTurn, i);
    _vp_cell_place_step (cell, turn->step, turn->queue, spares, now_ms, effects);
  }
}

/* Looks at running tasks and workers. */

/* Why the task must not go on running; NULL: it may. */
static const char *
_vp_cell_stop_reason (const VpCell *cell, const VpJobTask *task, int64_t now_ms)
{
  const VpJobStep *step = task->step;
  const VpJob *job = step->run->job;

  if (vp_job_is_ended (job))
    return "job-ended";
  if (step->spec->is_gang && step->waiting_count > 0)
    return "gang-incomplete";
  if (step->spec->is_lasting)
    return task->worker->entry.is_draining ? "worker-leaves" : NULL;
  if (step->spec->is_filling || step->spec->is_gang)
    return NULL;
  return now_ms - task->started_ms > vp_durations_limit_ms (cell->durations, job->spec->queue)
             ? "stands-still"
             : NULL;
}

static void
_vp_cell_scan_task (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  const char *reason;

  if (task->phase == VP_PHASE_STOPPING) {
    if (task->confirmed_ms == 0 && task->worker->is_reachable
        && now_ms - task->stop_sent_ms > VP_CELL_STOP_RETRY_MS)
      _vp_cell_order_stop (cell, task, now_ms, effects);
    return;
  }
  reason = _vp_cell_stop_reason (cell, task, now_ms);
  if (reason != NULL) {
    if (strcmp (reason, "stands-still") == 0)
      vp_roster_note_failed (task->worker, task->step->run->job->spec->id, now_ms);
    _vp_cell_log_task (task, "stop", reason, now_ms);
    _vp_cell_order_stop (cell, task, now_ms, effects);
    return;
  }
  if (task->phase != VP_PHASE_STARTING || !task->worker->is_reachable)
    return;
  if (!task->is_unanswered) {
    if (task->start_tries < VP_CELL_START_TRIES
        && now_ms - task->ordered_ms > VP_CELL_START_HEDGE_MS * task->start_tries) {
      _vp_cell_log_task (task, "start-again", "slow-answer", now_ms);
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
    _vp_cell_log_task (task, "stop", "start-unanswered", now_ms);
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
      && vp_roster_is_lapsed (worker, now_ms))
    _vp_cell_lost (cell, worker, "lease-over", now_ms);
  tasks = _vp_cell_tasks_of (worker, &count);
  for (guint i = 0; i < count; i++)
    _vp_cell_scan_task (cell, tasks[i], now_ms, effects);
  _vp_cell_pace_worker (cell, worker, now_ms, effects);
}

/* A worker without tasks of ours: nothing of an earlier scheduler runs there either. */
static bool
_vp_cell_is_idle_for_certain (const VpRosterWorker *worker, int64_t now_ms)
{
  return (worker->is_synced && worker->foreign_count == 0) || vp_roster_is_lapsed (worker, now_ms);
}

static void
_vp_cell_scan (VpCell *cell, int64_t now_ms, GArray *effects)
{
  if (now_ms < cell->scan_next_ms)
    return;
  cell->scan_next_ms = now_ms + VP_CELL_SCAN_MS;
  _vp_cell_expire_asks (cell, now_ms);
  for (guint i = 0; i < cell->roster->workers->len;) {
    VpRosterWorker *worker = cell->roster->workers->pdata[i];
    _vp_cell_scan_worker (cell, worker, now_ms, effects);
    if (!worker->is_listed && !worker->is_hold_out && g_hash_table_size (worker->tasks) == 0
        && _vp_cell_is_idle_for_certain (worker, now_ms))
      vp_roster_remove (cell->roster, worker);
    else
      i++;
  }
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
  if (worker->is_reachable)
    order->lease_end_ms = vp_roster_lease (cell->roster, worker, now_ms);
  order->seen = worker->seen_durable;
  order->wait_ms = worker->is_synced && worker->is_reachable && worker->seen == worker->seen_durable
                       ? VP_CELL_HOLD_WAIT_MS
                       : 0;
}

static void
_vp_cell_stop_strays (VpCell *cell, GArray *effects)
{
  for (guint i = 0; i < cell->strays->len; i++) {
    VpCellEffect effect
        = { .kind = VP_CELL_ORDER, .order = g_array_index (cell->strays, VpOrder, i) };
    g_array_append_val (effects, effect);
  }
  g_array_set_size (cell->strays, 0);
}

void
vp_cell_decide (VpCell *cell, int64_t now_ms, GArray *effects)
{
  _vp_cell_stop_strays (cell, effects);
  for (guint i = 0; i < cell->roster->workers->len; i++)
    _vp_cell_hold (cell, cell->roster->workers->pdata[i], now_ms, effects);
  _vp_cell_settle (cell, now_ms);
  _vp_cell_scan (cell, now_ms, effects);
  if (cell->is_paused || cell->conf == NULL)
    return;
  vp_joblist_open_due (cell->jobs, now_ms);
  _vp_cell_place (cell, now_ms, effects);
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
  VpSize sum = { 0 };

  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    const VpJobTask *task = key;
    VpSize room = vp_jobtask_room (task);
    g_assert (task->worker == worker && task->phase != VP_PHASE_WAITING);
    vp_size_add (&sum, &room);
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
