/* Brings what workers list into agreement with the jobs: ends, runs to take on, runs that are gone.
 *
 *   VpReconcile reconcile;
 *   vp_reconcile_setup (&reconcile, roster, jobs, fence);
 *   reconcile.conf = conf;
 *   vp_reconcile_list (&reconcile, worker, &result, now_ms);
 *   ... send reconcile.strays, stops of runs that no task accounts for ...
 *   vp_reconcile_shutdown (&reconcile);
 *
 * No I/O. A list is complete for its worker at some time after it was asked for, so a run that was
 * confirmed before that and isn't in it is over.
 */
#pragma once

#include "vp-cellconf.h"
#include "vp-durations.h"
#include "vp-runlog.h"

typedef struct {
  VpWorkerList *worker_list; /* borrowed, as the next two */
  VpJobList *jobs;
  const VpCellConf *conf; /* NULL: none yet */
  VpDurations *durations;
  uint64_t fence;
  GArray *orphan_stops;   /* VpCommand: stops that are to be sent */
  bool has_unstaged_ends; /* since it was last cleared */
  VpRunlog log;           /* flushed by the caller after each decision, as the next */
  VpRunlog done_log;      /* runs that ended as done: most of all lines */
} VpReconcile;

void vp_reconcile_setup (VpReconcile *reconcile,
                         VpWorkerList *worker_list,
                         VpJobList *jobs,
                         uint64_t fence);
void vp_reconcile_shutdown (VpReconcile *reconcile);
/* Takes the answer to a HOLD. True if nothing is left to be done about the worker soon. */
bool vp_reconcile_list (VpReconcile *reconcile,
                        VpCellWorker *worker,
                        const VpCommandResult *result,
                        int64_t now_ms);
/* Nothing that was ordered there can be running any more; @why, static, is for the log. */
void vp_reconcile_worker_lost (VpReconcile *reconcile,
                               VpCellWorker *worker,
                               const char *why,
                               int64_t now_ms);
