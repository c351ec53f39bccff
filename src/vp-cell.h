/* Scheduler of a cell: runs the tasks of accepted jobs on its workers.
 *
 *   VpCell *cell = vp_cell_setup (&(VpCellDesc){ .fence = 7, .hold_max_ms = 6000 }, now_ms);
 *   vp_cell_set_conf (cell, conf);
 *   vp_cell_worker_listed (cell, &entry, now_ms);
 *   VpJob *job = vp_joblist_add (vp_cell_jobs (cell), spec, now_ms, now_ms);
 *   job->is_durable = true;
 *   vp_cell_decide (cell, now_ms, effects);       // GArray of VpCellEffect
 *   vp_cell_command_result (cell, &result, now_ms);
 *   vp_cell_shutdown (cell);
 *
 * A reducer without I/O: calls bring in what happened, vp_cell_decide() appends what is to be done.
 * Every order carries the fence of this term; a worker that has seen it carries out nothing of an
 * earlier scheduler. A task is started again only when its last run can't be running any more: the
 * worker lists its end or doesn't list it, has started anew, or its lease is over.
 */
#pragma once

#include "vp-advise.h"

typedef struct _VpCell VpCell;

typedef struct {
  uint64_t fence;
  int64_t hold_max_ms; /* longest lease that workers grant */
  /* Until this long after the setup the platform's list of workers may lack some that are alive;
   * 0 or less: it is whole. Counts where the last scheduler kept no list of its own. */
  int64_t relist_ms;
  bool stores_workers; /* workers get work only once they are kept for a later scheduler */
  bool is_clean;       /* what is known of the jobs is complete: the last scheduler handed over */
} VpCellDesc;

typedef enum { VP_CELL_COMMAND, VP_CELL_ADVICE_REQUEST } VpCellEffectKind;

typedef struct {
  VpCellEffectKind kind;
  union {
    VpCommand order;
    VpAdviceRequest ask;
  };
} VpCellEffect;

VpCell *vp_cell_setup (const VpCellDesc *desc, int64_t now_ms);
void vp_cell_shutdown (VpCell *cell);
void vp_cell_set_conf (VpCell *cell, VpCellConf *conf);
VpJobList *vp_cell_jobs (VpCell *cell);
const VpWorkerList *vp_cell_workers (const VpCell *cell);

/* The platform lists the worker. */
void vp_cell_worker_listed (VpCell *cell, const VpWorkerEntry *entry, int64_t now_ms);
/* The platform doesn't list it any more. */
void vp_cell_worker_unlisted (VpCell *cell, const char *id, int64_t now_ms);
/* How many processes can make advice calls; 1 until it is told. */
void vp_cell_set_advice_client_count (VpCell *cell, uint32_t count);
/* All workers that the platform lists have been told since the scheduler started. */
void vp_cell_list_complete (VpCell *cell);
void vp_cell_command_result (VpCell *cell, const VpCommandResult *result, int64_t now_ms);
/* @rows: VpAdviceRow, for the allowed workers only; NULL: the call failed. */
void vp_cell_advice (VpCell *cell, uint64_t serial, const GArray *rows, int64_t now_ms);
/* True if a worker has turned an order away for a higher fence. */
bool vp_cell_is_fenced (const VpCell *cell);
/* True if what is known of the jobs is complete: no task may run that is not known to. */
bool vp_cell_has_complete_state (const VpCell *cell);
/* Workers that the last scheduler may have used and that have not told what they run. */
uint32_t vp_cell_unverified_count (const VpCell *cell, int64_t now_ms);
/* Takes a new job in. */
VpJob *vp_cell_submit (VpCell *cell, VpJobSpec *spec, int64_t now_ms);
/* Cancels; false if the job has ended. */
bool vp_cell_cancel (VpCell *cell, uint64_t id, int64_t now_ms);
/* The commit that is built now covers all ends noted so far; once it is durable they may be
 * forgotten by their workers. */
void vp_cell_stage_ends (VpCell *cell);
void vp_cell_ends_durable (VpCell *cell, int64_t now_ms);
bool vp_cell_has_unstaged_ends (const VpCell *cell);
/* Identity, address and DC of all workers that tasks may run on, for a later scheduler, and whether
 * starts there may be missing from what is kept of the jobs. Once the later one has heard all those
 * workers it knows all that runs, also of workers that the platform's list lacks. One that is
 * silent may be cut off together with the last scheduler, so it counts as gone only when all leases
 * are over. Workers that are out of use get no starts, and the next complete commit closes them. */
#define VP_CELL_WORKERS_TYPE "a(sssb)"
bool vp_cell_has_unstaged_workers (const VpCell *cell);
/* Floating; the commit that is built now keeps it. @is_complete: with it all is kept that was
 * ordered so far. */
GVariant *vp_cell_stage_workers (VpCell *cell, bool is_complete, int64_t now_ms);
void vp_cell_workers_durable (VpCell *cell, int64_t now_ms);
/* The commit had no effect. */
void vp_cell_unstage_workers (VpCell *cell);
/* What the last scheduler kept; NULL: it can't be read. */
void vp_cell_load_workers (VpCell *cell, GVariant *kept);
/* Starts, stops, leases, advice: appends VpCellEffect. */
void vp_cell_decide (VpCell *cell, int64_t now_ms, GArray *effects);
/* When vp_cell_decide() has something to do without news. */
int64_t vp_cell_next_ms (const VpCell *cell, int64_t now_ms);
/* No lease is renewed and no task started after @until_ms: this scheduler may have been replaced by
 * then. Without limit until it is told. */
void vp_cell_limit_commands (VpCell *cell, int64_t until_ms);
/* Stops placing; leases are still held. Before a hand-over. */
void vp_cell_pause (VpCell *cell);
void vp_cell_effect_clear (VpCellEffect *effect);
/* Fails an assertion if sums disagree; for tests. */
void vp_cell_check (const VpCell *cell);
