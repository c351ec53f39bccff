/* Capacity of a worker that is kept for waiting steps which come first in the step queue.
 *
 *   VpReservation reservation = { 0 };
 *   int64_t from_ms = vp_reservation_available_ms (worker, forecast, &free, &demand, now_ms);
 *   vp_reservation_add (&reservation, &demand, from_ms);
 *   if (vp_reservation_admits (&reservation, &free, &demand, duration_ms, now_ms))
 *     ... a task of a later step may start ...
 *
 * Load pattern: wide tasks, which need a large part of a worker, wait beside narrow tasks that keep
 * arriving. Without reservations the narrow tasks use each piece of capacity as it becomes free, so
 * the wide tasks never start. If instead the sum of all free capacity is kept for the wide tasks,
 * the narrow ones don't start either, although the wide ones can't use the pieces. A reservation
 * therefore names the worker, and later tasks may use all other capacity. They may also use the
 * reserved capacity if they end before it is needed.
 */
#pragma once

#include "vp-joblist.h"

/* The reservations of all steps on one worker. They last for one decision. */
typedef struct {
  VpResources size;
  int64_t from_ms; /* time at which the capacity is needed first; unused if @size is zero */
} VpReservation;

/* Adds a reservation of @size that is needed from @from_ms on. */
void vp_reservation_add (VpReservation *reservation, const VpResources *size, int64_t from_ms);
/* Returns the part of @free that isn't reserved; no amount is negative. */
VpResources vp_reservation_left (const VpReservation *reservation, const VpResources *free);
/* Returns true if a task of another step that takes @duration_ms may use @demand of the worker's
 * unassigned capacity @free. */
bool vp_reservation_admits (const VpReservation *reservation,
                            const VpResources *free,
                            const VpResources *demand,
                            int64_t duration_ms,
                            int64_t now_ms);
/* Returns true if the demand is so large a part of a worker's capacity that tasks of that size may
 * not find a worker although the sum of the free capacity would suffice. */
bool vp_reservation_is_wide (const VpResources *demand, const VpResources *capacity);
/* Returns the time at which the worker is expected to have @demand unassigned, from the expected
 * durations of its tasks. @free is its unassigned capacity now. INT64_MAX: not before tasks that
 * don't end by themselves are stopped. @forecast NULL: callers' estimates are taken as durations.
 */
int64_t vp_reservation_available_ms (const VpCellWorker *worker,
                                     const VpForecast *forecast,
                                     const VpResources *free,
                                     const VpResources *demand,
                                     int64_t now_ms);
