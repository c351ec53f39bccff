/* Choice of workers for the tasks of a step. No state, no I/O.
 *
 *   VpRosterWorker *worker = vp_place_pick (roster, task, queue, now_ms);   // NULL: none fits now
 *   if (vp_place_gang (roster, step, queue, now_ms, workers))               // one for each task
 *     ...
 *   vp_place_candidates (roster, step, queue, now_ms, ids);                 // to ask advice about
 */
#pragma once

#include "vp-cellconf.h"
#include "vp-joblist.h"

/* Best worker for a task that waits: room, label, spread and advice allow it, and its last run did
 * not fail there just now. */
VpRosterWorker *vp_place_pick (const VpRoster *roster,
                               const VpJobTask *task,
                               const VpQueueConf *queue,
                               int64_t now_ms);
/* A worker for every task of the step at the same time, in @out; false if they don't all fit. */
bool vp_place_gang (const VpRoster *roster,
                    const VpJobStep *step,
                    const VpQueueConf *queue,
                    int64_t now_ms,
                    VpRosterWorker **out);
/* Appends the workers (VpRosterWorker) worth an advice call for the tasks that wait: those with
 * room that have no valid ticket and aren't known to be ruled out, best first, no more than the
 * tasks are likely to need if @good_share of the unknown ones are allowed. */
void vp_place_candidates (const VpRoster *roster,
                          const VpJobStep *step,
                          const VpQueueConf *queue,
                          double good_share,
                          int64_t now_ms,
                          GPtrArray *out);
/* The valid ticket of the step for the worker; NULL: none. */
const char *vp_place_ticket (const VpJobStep *step, const VpRosterWorker *worker, int64_t now_ms);
