/* Index of workers by free capacity.
 *
 *   VpFit *fit = vp_fit_new ();
 *   uint32_t worker = vp_fit_add (fit, &size, slot_count, rack);
 *   vp_fit_set_open (fit, worker, true);
 *   uint32_t picked = vp_fit_pick (fit, &(VpFitQuery){ .need = need });
 *   if (picked != VP_FIT_NONE)
 *     vp_fit_take (fit, picked, &need);
 *   vp_fit_free (fit);
 *
 * Open workers with a free slot stand in two search trees for each number of free accelerators:
 * one ordered by free processors and one by free memory, each node with the maximum of the other
 * dimension below it. A worker that fits is therefore found in logarithmic time if there is one,
 * and the best of a bounded number of candidates is picked.
 */
#pragma once

#include "vp-types.h"

#define VP_FIT_NONE UINT32_MAX

typedef struct _VpFit VpFit;

typedef struct {
  VpResources need;
  const uint32_t *avoid; /* workers to avoid if others fit */
  uint32_t avoid_count;
  const uint32_t *racks; /* racks in use by the same job, with repetitions; only with is_spread */
  uint32_t rack_count;
  bool is_without_accels; /* only workers without free accelerators */
  bool is_spread;         /* prefer the racks that are used least by the same job */
  bool is_first_fit;      /* baseline: the first worker that fits, in order of addition; linear */
} VpFitQuery;

VpFit *vp_fit_new (void);
void vp_fit_free (VpFit *fit);

/* Adds an empty, closed worker. The number may be one of a removed worker. */
uint32_t vp_fit_add (VpFit *fit, const VpResources *size, uint32_t slot_count, uint32_t rack);
void vp_fit_remove (VpFit *fit, uint32_t worker);
/* Changes the size of a worker; what is taken stays taken, so room may become negative. */
void vp_fit_resize (VpFit *fit,
                    uint32_t worker,
                    const VpResources *size,
                    uint32_t slot_count,
                    uint32_t rack);
/* Only open workers are picked. */
void vp_fit_set_open (VpFit *fit, uint32_t worker, bool is_open);
bool vp_fit_is_open (const VpFit *fit, uint32_t worker);

/* Takes a slot and @need from a worker, open or not, and gives it back. */
void vp_fit_take (VpFit *fit, uint32_t worker, const VpResources *need);
void vp_fit_give (VpFit *fit, uint32_t worker, const VpResources *need);

/* Room that is left on a worker, open or not; negative if it was resized below what is taken. */
VpResources vp_fit_room (const VpFit *fit, uint32_t worker);
int64_t vp_fit_slots (const VpFit *fit, uint32_t worker);
/* True if @need and a slot are free on the worker, open or not. */
bool vp_fit_has_room (const VpFit *fit, uint32_t worker, const VpResources *need);

/* Number of an open worker on which the need fits, or VP_FIT_NONE if there is none. */
uint32_t vp_fit_pick (VpFit *fit, const VpFitQuery *query);

/* Checks the order and the maxima of all trees. For tests. */
bool vp_fit_check (const VpFit *fit);
