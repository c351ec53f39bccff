/* What the durations of ended steps show of the slowness of workers.
 *
 *   VpSlowness *slowness = vp_slowness_setup ();
 *   vp_jobstep_record_duration (step, worker, duration_ms);    // each successful run
 *   vp_slowness_learn (slowness, worker_list, step);           // as the last task ends
 *   vp_slowness_shutdown (slowness);
 *
 * Two comparisons are made for each worker of a step: with the tasks of the step on other workers,
 * and with the caller's estimate. The estimate is wrong by a factor of about 2.5, so it counts by
 * the inverse of the variance that the queue's estimates have shown; it is all there is of a step
 * that ran on one worker. The mean error of a queue's estimates is learned and doesn't matter.
 *
 * No I/O.
 */
#pragma once

#include "vp-joblist.h"

typedef struct _VpSlowness VpSlowness;

VpSlowness *vp_slowness_setup (void);
void vp_slowness_shutdown (VpSlowness *slowness);
/* Learns from all recorded durations of the step, and forgets them. It must not be called before
 * its last task has ended: until then the durations are those of the fastest workers and the
 * shortest tasks. */
void vp_slowness_learn (VpSlowness *slowness, const VpWorkerList *worker_list, VpJobStep *step);
