/* Reconciles the runs that workers list with the jobs: handles ends of runs, adopts unknown runs of
 * waiting tasks, stops other unknown runs and detects runs that no longer exist.
 *
 *   VpReconcile reconcile;
 *   vp_reconcile_setup (&reconcile, worker_list, jobs, forecast, fence);
 *   reconcile.config = config;
 *   vp_reconcile_handle_list (&reconcile, worker, &result, now_ms);
 *   ... send the commands in reconcile.orphan_stops ...
 *   vp_reconcile_shutdown (&reconcile);
 *
 * No I/O. A list shows all runs of its worker at some time after the request was sent. A run that
 * was confirmed before that and isn't in the list has therefore ended.
 */
#pragma once

#include "vp-cellconfig.h"
#include "vp-crash.h"
#include "vp-runlog.h"
#include "vp-slowness.h"

typedef struct {
  VpWorkerList *worker_list;  /* borrowed */
  VpJobList *jobs;            /* borrowed */
  const VpCellConfig *config; /* borrowed; NULL: none yet */
  VpSlowness *slowness;
  VpForecast *forecast; /* borrowed; ended runs are recorded there */
  uint64_t fence;
  GArray *orphan_stops;   /* VpCommand: stops to send for listed runs that belong to no task; the
                             caller takes what they own */
  bool has_unstaged_ends; /* ends were processed since the caller last cleared this flag */
  VpRunlog log;           /* log lines of runs; the caller flushes it after each decision */
  VpRunlog done_log;      /* log lines of successful runs, which are the most; the caller flushes it
                             after      each decision */
} VpReconcile;

void vp_reconcile_setup (VpReconcile *reconcile,
                         VpWorkerList *worker_list,
                         VpJobList *jobs,
                         VpForecast *forecast,
                         uint64_t fence);
void vp_reconcile_shutdown (VpReconcile *reconcile);
/* Handles the list of runs and ends in the answer to a HOLD. Returns true if nothing that the
 * worker reported needs another HOLD soon. */
bool vp_reconcile_handle_list (VpReconcile *reconcile,
                               VpCellWorker *worker,
                               const VpCommandResult *result,
                               int64_t now_ms);
/* Handles a restart of the worker under its identity. Starts that were answered may have been
 * answered by the present life, so its first list decides which of the assigned tasks have ended.
 * Tasks with an unanswered start are stopped, as the present life may still carry that out. If the
 * worker doesn't answer again, all end once their leases have expired. */
void vp_reconcile_worker_restarted (VpReconcile *reconcile,
                                    VpCellWorker *worker,
                                    int64_t booted_ms,
                                    int64_t now_ms);
/* Ends all runs of a worker on which none of them can exist any more, and blames tasks for that if
 * the worker has crashed. @why, a static string, is logged as the reason. */
void vp_reconcile_worker_lost (VpReconcile *reconcile,
                               VpCellWorker *worker,
                               VpCrashEvidence evidence,
                               const char *why,
                               int64_t now_ms);
