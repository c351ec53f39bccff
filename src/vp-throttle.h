/* Pace of tasks that use what others leave, on a worker that also serves. No I/O.
 *
 *   uint32_t percent;
 *   if (vp_throttle_update (worker, now_ms, &percent))
 *     ... order that pace for each of the worker's filling tasks ...
 *
 * Multiplicative decrease when a serving task nears its target, additive increase when all are well
 * below it.
 */
#pragma once

#include "vp-joblist.h"

/* Sets the worker's pace from what its serving tasks last showed; true if it has changed. */
bool vp_throttle_update (VpCellWorker *worker, int64_t now_ms, uint32_t *percent);
