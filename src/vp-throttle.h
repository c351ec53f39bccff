/* Throttling of best-effort tasks on workers that also run tasks with a latency target. No I/O.
 *
 *   uint32_t percent;
 *   if (vp_throttle_update (worker, now_ms, &percent))
 *     ... send that limit for each of the worker's best-effort tasks ...
 *
 * The limit decreases multiplicatively when the tail latency of a task comes near its target, and
 * increases additively when all tasks are well below their targets.
 */
#pragma once

#include "vp-joblist.h"

/* Sets the worker's @throttle_percent, the share of the CPU that its best-effort tasks may use,
 * from the tail latencies that its tasks last reported. Returns true if it has changed. */
bool vp_throttle_update (VpCellWorker *worker, int64_t now_ms, uint32_t *percent);
