/* Private helpers of the choice of workers. They are in vp-place.c; vp-place-reserve.c has the
 * reservations of steps that can't start now. */
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
