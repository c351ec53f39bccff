/* Attribution of crashes of workers to tasks: a task may crash each worker that starts it.
 *
 *   vp_crash_blame (jobs, worker, tasks, count, VP_CRASH_OBSERVED, now_ms);   // before they end
 *   if (vp_crash_is_suspect (task) && vp_crash_is_quiet (worker, task, now_ms))
 *     ... a start of the task there is isolated: another crash has one possible cause ...
 *   vp_crash_isolate (worker, task, now_ms);
 *
 * No I/O. Several tasks run on a worker that crashes, and most crashes have other causes. Blamed
 * are the tasks that were started there shortly before, and each gets points. A task with points is
 * a suspect. While a suspect starts, no tasks of other jobs are started on its worker. A task with
 * too many points is given up, and its job fails.
 */
#pragma once

#include "vp-joblist.h"

/* What is known of a crash. */
typedef enum {
  VP_CRASH_OBSERVED, /* another process answers in place of the worker's */
  VP_CRASH_POSSIBLE, /* the leases have expired without an answer, maybe through a partition */
} VpCrashEvidence;

/* Blames those of @tasks, which were lost with the worker, that are the likely cause of its crash,
 * and gives up those with too many points. A worker that drains may leave, so nothing is blamed for
 * that. */
void vp_crash_blame (VpJobList *jobs,
                     const VpCellWorker *worker,
                     VpJobTask *const *tasks,
                     guint count,
                     VpCrashEvidence evidence,
                     int64_t now_ms);
/* Blames a task that an earlier scheduler had on the worker, which doesn't list its run, if the
 * worker has crashed meanwhile. */
void vp_crash_blame_inherited (VpJobList *jobs,
                               VpJobTask *task,
                               const VpCellWorker *worker,
                               int64_t now_ms);
/* Clears a lasting task that has run for so long that it isn't the cause of crashes. */
void vp_crash_clear (VpJobList *jobs, VpJobTask *task, int64_t now_ms);
bool vp_crash_is_suspect (const VpJobTask *task);
/* Returns true if the suspect must not start beside other starts. Other suspects are isolated only
 * if that takes no time. */
bool vp_crash_needs_isolation (const VpJobTask *task);
/* Returns true if no task of another job has been started on the worker a short time ago. */
bool vp_crash_is_quiet (const VpCellWorker *worker, const VpJobTask *task, int64_t now_ms);
/* Keeps tasks of other jobs from being started on the worker while the suspect starts there or
 * waits for that. */
void vp_crash_isolate (VpCellWorker *worker, const VpJobTask *task, int64_t now_ms);
/* Returns true if the worker is kept for the start of a suspect of another job. */
static inline bool
vp_crash_is_kept (const VpCellWorker *worker, const VpJobTask *task, int64_t now_ms)
{
  return now_ms < worker->isolated_until_ms
         && worker->isolated_job != task->step->occurrence->job->spec->id;
}
