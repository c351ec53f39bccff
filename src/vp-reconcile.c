#include "vp-reconcile.h"
#include "vp-log.h"
#include "vp-metrics.h"

#include <string.h>

/* A list with this many ends is cut; the rest follows (platform). */
#define VP_RECONCILE_ENDS_MAX 500
/* Workers list ends one by one, some hundred a second; those of this time share lines of the log.
 */
#define VP_RECONCILE_DONE_LOG_MS 100

void
vp_reconcile_setup (VpReconcile *reconcile, VpRoster *roster, VpJobList *jobs, uint64_t fence)
{
  memset (reconcile, 0, sizeof *reconcile);
  reconcile->roster = roster;
  reconcile->jobs = jobs;
  reconcile->fence = fence;
  reconcile->durations = vp_durations_setup ();
  reconcile->strays = g_array_new (FALSE, FALSE, sizeof (VpOrder));
  vp_runlog_setup (&reconcile->log, &(VpRunlogDesc){ 0 });
  vp_runlog_setup (&reconcile->done_log, &(VpRunlogDesc){ .wait_ms = VP_RECONCILE_DONE_LOG_MS });
}

void
vp_reconcile_shutdown (VpReconcile *reconcile)
{
  vp_runlog_shutdown (&reconcile->done_log);
  vp_runlog_shutdown (&reconcile->log);
  g_array_unref (reconcile->strays);
  vp_durations_shutdown (reconcile->durations);
}

/* Nothing that was ordered there can be running any more. */
void
vp_reconcile_lost (VpReconcile *reconcile, VpRosterWorker *worker, const char *why, int64_t now_ms)
{
  guint count;
  g_autofree VpJobTask **tasks
      = (VpJobTask **)g_hash_table_get_keys_as_array (worker->tasks, &count);

  vp_log (now_ms, "worker-lost", "worker=%s why=%s tasks=%u heard_ms_ago=%" G_GINT64_FORMAT,
          worker->entry.id, why, count, now_ms - worker->heard_ms);
  for (guint i = 0; i < count; i++) {
    vp_runlog_add (&reconcile->log, "end", why, tasks[i], now_ms);
    vp_jobtask_end (reconcile->jobs, tasks[i], VP_RUN_LAPSED, 1, now_ms);
  }
  worker->foreign_count = 0;
}

static void
_vp_reconcile_note_end (VpReconcile *reconcile,
                        VpRosterWorker *worker,
                        VpJobTask *task,
                        VpRunEnd end,
                        int64_t now_ms)
{
  const VpJob *job = task->step->run->job;

  vp_metrics_add (VP_COUNTER_ENDED, 1);
  if (end == VP_RUN_DONE) {
    vp_roster_note_done (worker);
    if (!task->step->spec->is_filling && task->checkpoint[0] == '\0') {
      vp_durations_note (reconcile->durations, job->spec->queue, now_ms - task->started_ms);
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
_vp_reconcile_stray_end (VpReconcile *reconcile,
                         VpJobTask *task,
                         const VpEndedEntry *entry,
                         int64_t now_ms)
{
  uint32_t attempts_max
      = vp_cellconf_attempts_max (reconcile->conf, task->step->run->job->spec->queue);
  bool is_waiting = task->phase == VP_PHASE_WAITING;

  if (entry->end == VP_RUN_FAILED)
    vp_jobtask_note_failed (reconcile->jobs, task, entry->run, attempts_max, now_ms);
  /* The present run is not needed any more. */
  if (entry->end == VP_RUN_DONE && !is_waiting && !task->step->spec->is_gang)
    task->is_done_before = true;
  if (!is_waiting || (entry->run < task->kept_run && entry->end != VP_RUN_DONE))
    return;
  task->run = MAX (task->run, entry->run);
  if (entry->run >= task->kept_run)
    vp_jobtask_set_last_worker (reconcile->jobs, task, "");
  if (entry->checkpoint[0] != '\0')
    g_strlcpy (task->checkpoint, entry->checkpoint, sizeof task->checkpoint);
  if (entry->end == VP_RUN_DONE)
    vp_jobtask_end (reconcile->jobs, task, entry->end, attempts_max, now_ms);
}

static void
_vp_reconcile_take_end (VpReconcile *reconcile,
                        VpRosterWorker *worker,
                        const VpEndedEntry *entry,
                        int64_t now_ms)
{
  VpJobTask *task = entry->is_task ? vp_joblist_task (reconcile->jobs, &entry->task) : NULL;
  VpJob *job;

  if (task == NULL || task->phase == VP_PHASE_DONE)
    return;
  job = task->step->run->job;
  if (task->worker != worker || task->run != entry->run) {
    _vp_reconcile_stray_end (reconcile, task, entry, now_ms);
    return;
  }
  vp_runlog_add (entry->end == VP_RUN_DONE ? &reconcile->done_log : &reconcile->log, "end",
                 vp_run_end_token (entry->end), task, now_ms);
  _vp_reconcile_note_end (reconcile, worker, task, entry->end, now_ms);
  if (entry->checkpoint[0] != '\0')
    g_strlcpy (task->checkpoint, entry->checkpoint, sizeof task->checkpoint);
  vp_jobtask_end (reconcile->jobs, task, entry->end,
                  vp_cellconf_attempts_max (reconcile->conf, job->spec->queue), now_ms);
}

static void
_vp_reconcile_take_ends (VpReconcile *reconcile,
                         VpRosterWorker *worker,
                         const GArray *ended,
                         int64_t now_ms)
{
  for (guint i = 0; ended != NULL && i < ended->len; i++) {
    const VpEndedEntry *entry = &g_array_index (ended, VpEndedEntry, i);
    if (entry->number <= worker->seen)
      continue;
    worker->seen = entry->number;
    reconcile->has_new_ends = true;
    _vp_reconcile_take_end (reconcile, worker, entry, now_ms);
  }
}

static bool
_vp_reconcile_may_adopt (const VpJobTask *task, const VpRunningEntry *entry)
{
  return task != NULL && task->phase == VP_PHASE_WAITING && !vp_job_is_ended (task->step->run->job)
         && entry->run >= task->run;
}

/* A listed run that this scheduler did not start there: taken on if its task waits, else stopped.
 */
static void
_vp_reconcile_take_stray (VpReconcile *reconcile,
                          VpRosterWorker *worker,
                          VpJobTask *task,
                          const VpRunningEntry *entry,
                          int64_t now_ms)
{
  if (task == NULL || !_vp_reconcile_may_adopt (task, entry)) {
    VpOrder stop = {
      .kind = VP_ORDER_STOP, .task = entry->task, .run = entry->run, .fence = reconcile->fence
    };
    g_strlcpy (stop.worker, worker->entry.id, sizeof stop.worker);
    g_strlcpy (stop.address, worker->entry.address, sizeof stop.address);
    worker->foreign_count++;
    if (entry->is_task)
      g_array_append_val (reconcile->strays, stop);
    return;
  }
  vp_jobtask_assign (reconcile->jobs, task, worker, entry->run, now_ms);
  task->phase = VP_PHASE_RUNNING;
  task->confirmed_ms = now_ms;
  vp_runlog_add (&reconcile->log, "adopt", "listed", task, now_ms);
}

static void
_vp_reconcile_take_running (VpReconcile *reconcile,
                            VpRosterWorker *worker,
                            const VpOrderResult *result,
                            GHashTable *listed,
                            int64_t now_ms)
{
  worker->foreign_count = 0;
  for (guint i = 0; result->running != NULL && i < result->running->len; i++) {
    const VpRunningEntry *entry = &g_array_index (result->running, VpRunningEntry, i);
    VpJobTask *task = entry->is_task ? vp_joblist_task (reconcile->jobs, &entry->task) : NULL;
    if (task == NULL || task->worker != worker || task->run != entry->run)
      _vp_reconcile_take_stray (reconcile, worker, task, entry, now_ms);
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
_vp_reconcile_drop_vanished (VpReconcile *reconcile,
                             VpRosterWorker *worker,
                             const VpOrderResult *result,
                             GHashTable *listed,
                             int64_t now_ms)
{
  guint count;
  g_autofree VpJobTask **tasks
      = (VpJobTask **)g_hash_table_get_keys_as_array (worker->tasks, &count);

  for (guint i = 0; i < count; i++) {
    VpJobTask *task = tasks[i];
    if (task->confirmed_ms == 0 || task->confirmed_ms >= result->sent_ms
        || g_hash_table_contains (listed, task) || task->worker != worker)
      continue;
    vp_runlog_add (&reconcile->log, "end", "not-listed", task, now_ms);
    vp_jobtask_end (reconcile->jobs, task, VP_RUN_LAPSED, 1, now_ms);
  }
}

bool
vp_reconcile_list (VpReconcile *reconcile,
                   VpRosterWorker *worker,
                   const VpOrderResult *result,
                   int64_t now_ms)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (NULL, NULL);
  uint64_t seen_before;

  if (worker->born_ms != 0 && result->born_ms != 0 && worker->born_ms != result->born_ms) {
    /* A late answer of the life before. */
    if (result->born_ms < worker->born_ms)
      return true;
    vp_reconcile_lost (reconcile, worker, "born-again", now_ms);
    vp_roster_reborn (worker, result->born_ms);
  }
  if (worker->born_ms == 0)
    worker->born_ms = result->born_ms;
  vp_roster_heard (reconcile->roster, worker, result->clock_ms, result->received_ms);
  seen_before = worker->seen;
  _vp_reconcile_take_ends (reconcile, worker, result->ended, now_ms);
  _vp_reconcile_take_running (reconcile, worker, result, listed, now_ms);
  if (result->ended == NULL || result->ended->len < VP_RECONCILE_ENDS_MAX)
    _vp_reconcile_drop_vanished (reconcile, worker, result, listed, now_ms);
  if (!worker->is_synced)
    vp_log (now_ms, "worker-synced", "worker=%s running=%u foreign=%u", worker->entry.id,
            g_hash_table_size (worker->tasks), worker->foreign_count);
  worker->is_synced = true;
  return worker->seen == worker->seen_durable && worker->seen == seen_before
         && worker->foreign_count == 0;
}
