/* Statistics of the measured durations of a queue's tasks, used to detect stalled tasks.
 *
 *   VpDurations *durations = vp_durations_setup ();
 *   vp_durations_record (durations, "queue", duration_ms);
 *   if (duration_ms > vp_durations_limit_ms (durations, "queue"))
 *     ... the task is most likely stalled ...
 *   vp_durations_shutdown (durations);
 *
 * Estimates by callers can be wrong by a factor, so only measured durations are used. No I/O.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _VpDurations VpDurations;

VpDurations *vp_durations_setup (void);
void vp_durations_shutdown (VpDurations *durations);
void vp_durations_record (VpDurations *durations, const char *queue, int64_t duration_ms);
/* Returns a duration that nearly no task of the queue exceeds, or INT64_MAX while too few have
 * ended. */
int64_t vp_durations_limit_ms (const VpDurations *durations, const char *queue);
