/* Index of workers by free capacity, for best-fit placement.
 *
 *   VpCapacityIndex *index = vp_capacity_index_new ();
 *   uint32_t worker = vp_capacity_index_add (index, &capacity, slot_count, rack);
 *   vp_capacity_index_set_open (index, worker, true);
 *   uint32_t picked = vp_capacity_index_pick (index, &(VpCapacityQuery){ .need = need });
 *   if (picked != VP_CAPACITY_INDEX_NONE)
 *     vp_capacity_index_allocate (index, picked, &need);
 *   vp_capacity_index_free (index);
 *
 * Open workers with a free slot are kept in two treaps for each number of free accelerators: one
 * ordered by free processors and one by free memory. Each node stores the maximum of the other
 * dimension in its subtree. A worker that fits is therefore found in logarithmic time, and the best
 * of a bounded number of candidates is picked.
 */
#pragma once

#include "vp-types.h"

#define VP_CAPACITY_INDEX_NONE UINT32_MAX

typedef struct _VpCapacityIndex VpCapacityIndex;

typedef struct {
  VpResources need;
  const uint32_t *avoid; /* workers to avoid if others fit */
  uint32_t avoid_count;
  const uint32_t *racks; /* one entry for each placed member of the job; only with is_spread */
  uint32_t rack_count;
  bool is_without_accels; /* only workers without free accelerators */
  bool is_spread;         /* prefers the racks that the job uses least */
  bool is_first_fit;      /* benchmark baseline: the first worker that fits, by linear search */
} VpCapacityQuery;

VpCapacityIndex *vp_capacity_index_new (void);
void vp_capacity_index_free (VpCapacityIndex *index);

/* Adds an empty, closed worker and returns its ID, which may be that of a removed worker. */
uint32_t vp_capacity_index_add (VpCapacityIndex *index,
                                const VpResources *capacity,
                                uint32_t slot_count,
                                uint32_t rack);
void vp_capacity_index_remove (VpCapacityIndex *index, uint32_t worker);
/* Changes the capacity of a worker. Allocations stay, so its free resources may become negative. */
void vp_capacity_index_resize (VpCapacityIndex *index,
                               uint32_t worker,
                               const VpResources *capacity,
                               uint32_t slot_count,
                               uint32_t rack);
/* Only open workers are picked. */
void vp_capacity_index_set_open (VpCapacityIndex *index, uint32_t worker, bool is_open);
bool vp_capacity_index_is_open (const VpCapacityIndex *index, uint32_t worker);

/* Allocates a slot and @need on a worker, open or not, or releases them. */
void vp_capacity_index_allocate (VpCapacityIndex *index, uint32_t worker, const VpResources *need);
void vp_capacity_index_release (VpCapacityIndex *index, uint32_t worker, const VpResources *need);

/* Free resources of a worker, open or not; negative if it was resized below what is allocated. */
VpResources vp_capacity_index_free_resources (const VpCapacityIndex *index, uint32_t worker);
int64_t vp_capacity_index_free_slots (const VpCapacityIndex *index, uint32_t worker);
/* True if @need and a slot are free on the worker, open or not. */
bool
vp_capacity_index_fits (const VpCapacityIndex *index, uint32_t worker, const VpResources *need);

/* ID of an open worker on which the need fits, or VP_CAPACITY_INDEX_NONE if there is none. */
uint32_t vp_capacity_index_pick (VpCapacityIndex *index, const VpCapacityQuery *query);

/* Checks the order and the stored maxima of all trees. For tests. */
bool vp_capacity_index_check (const VpCapacityIndex *index);
