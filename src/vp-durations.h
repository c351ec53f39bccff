/* What the tasks of a queue really take, learnt from their ends.
 *
 *   VpDurations *durations = vp_durations_setup ();
 *   vp_durations_record (durations, "queue", ran_ms);
 *   if (ran_ms > vp_durations_limit_ms (durations, "queue"))
 *     ... it most likely stands still ...
 *   vp_durations_shutdown (durations);
 *
 * Callers' estimates are off by a factor, so only measured times count. No I/O.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _VpDurations VpDurations;

VpDurations *vp_durations_setup (void);
void vp_durations_shutdown (VpDurations *durations);
void vp_durations_record (VpDurations *durations, const char *queue, int64_t ran_ms);
/* Longer than nearly all tasks of the queue ran; INT64_MAX while too few have ended. */
int64_t vp_durations_limit_ms (const VpDurations *durations, const char *queue);
