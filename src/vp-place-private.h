/* Private helpers of the choice of workers. They are in vp-place.c; vp-place-reserve.c has the
 * reservations of steps that can't start now, and vp-place-speed.c what depends on the speed of
 * workers. */
#pragma once

#include "vp-place.h"

/* Whether the advice service allows the worker to run the step. */
typedef enum {
  VP_PERMISSION_UNKNOWN,
  VP_PERMISSION_ALLOWED, /* the ticket may have expired */
  VP_PERMISSION_EXCLUDED,
} VpPlacePermission;

/* Returns the size that each task of the step occupies on its worker. */
VpResources _vp_place_demand (const VpJobStep *step);
/* Returns true if the worker satisfies the step's label and rack. Free capacity and advice are
 * checked elsewhere. */
bool _vp_place_is_eligible (const VpJobStep *step, const VpCellWorker *worker);
/* Returns the number of tasks of the step that the worker can take into the capacity @free. */
uint32_t
_vp_place_capacity (const VpJobStep *step, const VpCellWorker *worker, const VpResources *free);
VpPlacePermission _vp_place_permission (const VpJobStep *step, const VpCellWorker *worker);
/* Returns the slot of the worker in the advice row, or NULL if the worker has none or has
 * restarted. */
VpPlaceSlot *_vp_place_find_slot (const VpPlacePool *pool, const VpAdviceRow *row);
/* Returns the expected duration of a task of the step on a worker of speed 1. */
int64_t _vp_place_expected_ms (const VpPlacePool *pool, const VpJobStep *step);
/* Returns the time at which a task of the step is expected to find capacity on the worker, or
 * INT64_MAX if earlier steps wait for the worker. */
int64_t _vp_place_available_ms (const VpPlacePool *pool,
                                const VpJobStep *step,
                                const VpPlaceSlot *slot,
                                int64_t now_ms);
/* Returns true if the worker can get another task under the step's limit per worker. @taken_count
 * tasks have been chosen for the worker already, but aren't assigned yet. */
bool _vp_place_is_below_spread_max (const VpJobStep *step,
                                    const VpCellWorker *worker,
                                    uint32_t taken_count);
/* Returns true if the row has a ticket that will still be valid when a start arrives at the worker.
 */
bool _vp_place_is_ticket_valid (const VpAdviceRow *row, int64_t now_ms);
/* Returns true if the worker takes clearly less time than others of its service. */
bool _vp_place_is_fast (const VpCellWorker *worker);
/* Returns true if the step leaves fast workers to urgent ones. One whose job would end after its
 * objective on slow workers doesn't, unless the objective has passed. */
bool _vp_place_is_yielding (const VpJobStep *step, const VpQueueConfig *queue, int64_t now_ms);
/* Returns the cost of the worker's slowness for a task of the step. A cost of 1 equals that of free
 * capacity of the size of a whole worker. */
double _vp_place_slowness_cost (const VpJobStep *step,
                                const VpQueueConfig *queue,
                                const VpCellWorker *worker,
                                int64_t now_ms);
/* Returns how fast the worker is for an urgent step: 0 to 2, best first. Tasks on free workers
 * start at the same time, so one ends the sooner the faster its worker is. */
uint64_t _vp_place_speed_class (const VpQueueConfig *queue, const VpCellWorker *worker);
