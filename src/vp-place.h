/* Choice of workers for the tasks of a step. No I/O.
 *
 *   VpPlacePool *pool = vp_place_pool_new (roster, "service", now_ms);      // for one decision
 *   VpPlaceSlot *slot = vp_place_pick (pool, task, queue, now_ms);          // NULL: none fits now
 *   ... commit the task to slot->worker ...
 *   vp_place_slot_update (slot);
 *   if (vp_place_gang (pool, step, queue, now_ms, slots))                   // one for each task
 *     ...
 *   vp_place_candidates (pool, step, share, claims, now_ms, candidates);    // to ask advice about
 *   vp_place_pool_free (pool);
 */
#pragma once

#include "vp-cellconf.h"
#include "vp-joblist.h"

/* A worker that may get tasks, and its room that is not committed. */
typedef struct {
  VpRosterWorker *worker;
  VpResources free;
} VpPlaceSlot;

/* The usable workers of one service at the time of one decision. Small and contiguous, as each
 * waiting step looks at all of it. */
typedef struct {
  const VpRoster *roster;
  char service[VP_NAME_MAX];
  GArray *slots; /* VpPlaceSlot */
} VpPlacePool;

typedef struct {
  const VpRosterWorker *worker;
  uint32_t capacity; /* tasks of the step that it has room for */
} VpPlaceCandidate;

VpPlacePool *vp_place_pool_new (const VpRoster *roster, const char *service, int64_t now_ms);
void vp_place_pool_free (VpPlacePool *pool);
/* Takes over what is committed to the slot's worker now. */
void vp_place_slot_update (VpPlaceSlot *slot);

/* Best worker for a task that waits: room, label, spread and advice allow it, and its last run did
 * not fail there just now. */
VpPlaceSlot *vp_place_pick (const VpPlacePool *pool,
                            const VpJobTask *task,
                            const VpQueueConf *queue,
                            int64_t now_ms);
/* A worker for every task of the step at the same time, in @out; false if they don't all fit. */
bool vp_place_gang (const VpPlacePool *pool,
                    const VpJobStep *step,
                    const VpQueueConf *queue,
                    int64_t now_ms,
                    VpPlaceSlot **out);
/* Appends the workers (VpPlaceCandidate) worth an advice call for the tasks that wait: those with
 * room that have no valid ticket and aren't known to be ruled out, best first, no more than the
 * tasks are likely to need if @good_share of the unknown ones are allowed. @claims: worker id ->
 * VpResources, room that other calls under way are meant for; workers without other room come last. */
void vp_place_candidates (const VpPlacePool *pool,
                          const VpJobStep *step,
                          double good_share,
                          GHashTable *claims,
                          int64_t now_ms,
                          GArray *out);
/* The valid ticket of the step for the worker; NULL: none. */
const char *vp_place_ticket (const VpJobStep *step, const VpRosterWorker *worker, int64_t now_ms);
