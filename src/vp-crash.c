#include "vp-crash.h"
#include "vp-log.h"
#include "vp-metrics.h"

/* A crash this soon after a start is attributed to it. Tasks that crash workers do so within 10 ms,
 * but a busy scheduler sends starts late. A longer time blames more tasks for other crashes. */
#define VP_CRASH_START_MS 300
/* If no start was that recent, tasks that had run for up to this long are blamed. */
#define VP_CRASH_RUN_MS 5000
/* Points for a crash that was observed right after the start of a run that the worker had
 * confirmed.
 */
#define VP_CRASH_POINTS_OBSERVED 2
/* Points if the crash or the start of the run isn't certain, or if the start wasn't recent. */
#define VP_CRASH_POINTS_POSSIBLE 1
/* A task is given up with this many points if its last start was isolated. Users accept that a task
 * is given up after two crashes. */
#define VP_CRASH_POINTS_ISOLATED_MAX (2 * VP_CRASH_POINTS_OBSERVED)
/* A task is given up with this many points in any case. Even if it was the certain cause of none,
 * five workers have then crashed under it: users accept two starts after the third crash. */
#define VP_CRASH_POINTS_MAX 5
/* A worker that answers and has run for less than this may have crashed with the tasks of an
 * earlier scheduler: workers are down for some seconds, and a takeover takes some more. */
#define VP_CRASH_UPTIME_MS 10000

typedef enum {
  VP_CRASH_RANK_START, /* started shortly before the crash */
  VP_CRASH_RANK_RUN,   /* had run for some time */
  VP_CRASH_RANK_NONE,
} VpCrashRank;

static VpCrashRank
_vp_crash_rank (const VpJobTask *task, const VpCellWorker *worker, VpCrashEvidence evidence)
{
  int64_t alive_ms = worker->is_restart_unlisted ? worker->earlier_alive_ms : worker->alive_ms;
  int64_t age_ms = alive_ms - MAX (task->started_ms, task->start_sent_ms);

  if (age_ms <= VP_CRASH_START_MS)
    return VP_CRASH_RANK_START;
  if (age_ms <= VP_CRASH_RUN_MS && evidence == VP_CRASH_OBSERVED
      && !task->step->spec->is_long_running)
    return VP_CRASH_RANK_RUN;
  return VP_CRASH_RANK_NONE;
}

/* Adds points to the task. @is_isolated tells whether only tasks of its job can be the cause. */
static void
_vp_crash_add_points (VpJobList *jobs,
                      VpJobTask *task,
                      const VpCellWorker *worker,
                      uint32_t points,
                      bool is_isolated,
                      int64_t now_ms)
{
  uint32_t points_max = is_isolated ? VP_CRASH_POINTS_ISOLATED_MAX : VP_CRASH_POINTS_MAX;
  char name[VP_TASK_NAME_MAX];
  VpTaskName task_name;

  if (!vp_jobtask_count_crash (jobs, task, points, points_max, now_ms))
    return;
  vp_jobtask_name (task, &task_name);
  vp_task_name_format (&task_name, name);
  vp_metrics_add (VP_COUNTER_TASKS_GIVEN_UP, 1);
  vp_log (now_ms, "task-given-up", "task=%s run=%u worker=%s points=%u added=%u isolated=%d", name,
          task->run, worker->entry.id, task->crash_points, points, is_isolated);
}

void
vp_crash_blame (VpJobList *jobs,
                const VpCellWorker *worker,
                VpJobTask *const *tasks,
                guint count,
                VpCrashEvidence evidence,
                int64_t now_ms)
{
  VpCrashRank best = VP_CRASH_RANK_NONE;
  const VpJob *cause = NULL;
  bool is_isolated = evidence == VP_CRASH_OBSERVED;

  if (worker->entry.is_draining)
    return;
  for (guint i = 0; i < count; i++) {
    const VpJob *job = tasks[i]->step->occurrence->job;
    VpCrashRank rank = _vp_crash_rank (tasks[i], worker, evidence);
    best = MIN (best, rank);
    if (rank != VP_CRASH_RANK_START)
      continue;
    is_isolated = is_isolated && (cause == NULL || cause == job);
    cause = job;
  }
  for (guint i = 0; i < count && best != VP_CRASH_RANK_NONE; i++) {
    bool is_certain = evidence == VP_CRASH_OBSERVED && best == VP_CRASH_RANK_START
                      && tasks[i]->phase == VP_PHASE_RUNNING;
    if (_vp_crash_rank (tasks[i], worker, evidence) != best
        || vp_job_is_ended (tasks[i]->step->occurrence->job))
      continue;
    /* A partition, or a leader that gets answers late, looks like a crash. That makes a suspect,
     * but no more, as nothing else may have happened. */
    if (evidence == VP_CRASH_POSSIBLE && tasks[i]->crash_points > 0)
      continue;
    _vp_crash_add_points (jobs, tasks[i], worker,
                          is_certain ? VP_CRASH_POINTS_OBSERVED : VP_CRASH_POINTS_POSSIBLE,
                          is_isolated && is_certain, now_ms);
  }
}

void
vp_crash_blame_inherited (VpJobList *jobs,
                          VpJobTask *task,
                          const VpCellWorker *worker,
                          int64_t now_ms)
{
  bool has_restarted
      = worker->is_synced && vp_workerlist_clock_ms (worker, now_ms) < VP_CRASH_UPTIME_MS;

  if (worker->entry.is_draining || (!worker->is_replaced && !has_restarted))
    return;
  /* The worker may have drained, or have been started for the first time, and the start of the run
   * may have been lost. */
  _vp_crash_add_points (jobs, task, worker, VP_CRASH_POINTS_POSSIBLE, false, now_ms);
}

void
vp_crash_clear (VpJobList *jobs, VpJobTask *task, int64_t now_ms)
{
  if (task->crash_points == 0 || !task->step->spec->is_long_running
      || task->phase != VP_PHASE_RUNNING || now_ms - task->started_ms <= VP_CRASH_RUN_MS)
    return;
  task->crash_points = 0;
  vp_joblist_mark_dirty (jobs, task->step->occurrence->job);
}

bool
vp_crash_is_suspect (const VpJobTask *task)
{
  return task->crash_points > 0;
}

bool
vp_crash_needs_isolation (const VpJobTask *task)
{
  return task->crash_points >= VP_CRASH_POINTS_ISOLATED_MAX;
}

bool
vp_crash_is_quiet (const VpCellWorker *worker, const VpJobTask *task, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    const VpJobTask *other = key;
    if (other->step->occurrence->job != task->step->occurrence->job
        && now_ms - MAX (other->started_ms, other->start_sent_ms) <= VP_CRASH_START_MS)
      return false;
  }
  return true;
}

void
vp_crash_isolate (VpCellWorker *worker, const VpJobTask *task, int64_t now_ms)
{
  worker->isolated_job = task->step->occurrence->job->spec->id;
  /* One start may have to wait for the other starts before it. */
  worker->isolated_until_ms = now_ms + 2 * VP_CRASH_START_MS;
}
