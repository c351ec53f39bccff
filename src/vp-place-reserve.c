#include "vp-place-private.h"

/* Maximum number of wide tasks for which busy workers are reserved in one decision, as the search
 * for each one looks at all tasks on the workers that it may use. */
#define VP_PLACE_BUSY_RESERVATIONS_MAX 16

/* Reserves the slot's free capacity for up to @count tasks of the step. Returns their number, and
 * takes their size off @pool->spare. */
static uint32_t
_vp_place_reserve_slot (VpPlacePool *pool,
                        const VpJobStep *step,
                        VpPlaceSlot *slot,
                        uint32_t count,
                        int64_t now_ms)
{
  VpResources size = _vp_place_demand (step);
  VpResources left = vp_reservation_left (&slot->reservation, &slot->free);
  uint32_t capacity;

  if (!vp_resources_fits (&size, &left) || !_vp_place_is_eligible (step, slot->worker))
    return 0;
  capacity = MIN (_vp_place_capacity (step, slot->worker, &left), count);
  if (capacity == 0)
    return 0;
  vp_resources_scale (&size, capacity);
  vp_reservation_add (&slot->reservation, &size, now_ms);
  vp_resources_sub (&pool->spare, &size);
  return capacity;
}

/* Reserves capacity for one wide task on the allowed worker that is expected to have it first.
 * Returns false if there is none. */
static bool
_vp_place_reserve_busy (VpPlacePool *pool, const VpJobStep *step, int64_t now_ms)
{
  VpResources demand = _vp_place_demand (step);
  VpPlaceSlot *best = NULL;
  int64_t best_ms = INT64_MAX;
  VpResources left;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, step->advice);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpAdviceRow *row = value;
    VpPlaceSlot *slot = vp_text_is_empty (row->ticket) ? NULL : _vp_place_find_slot (pool, row);
    int64_t available_ms;
    if (slot == NULL || !_vp_place_is_eligible (step, slot->worker)
        || !_vp_place_is_below_spread_max (step, slot->worker, 0))
      continue;
    available_ms = _vp_place_available_ms (pool, step, slot, now_ms);
    if (available_ms < best_ms || (available_ms == best_ms && best != NULL && slot < best)) {
      best = slot;
      best_ms = available_ms;
    }
  }
  if (best == NULL)
    return false;
  left = vp_reservation_left (&best->reservation, &best->free);
  left = vp_resources_min (&left, &demand);
  vp_resources_sub (&pool->spare, &left);
  vp_reservation_add (&best->reservation, &demand, best_ms);
  return true;
}

/* Reserves free capacity for up to @count tasks on workers whose permission isn't known, since any
 * of them may turn out to be allowed. Returns the number of tasks. */
static uint32_t
_vp_place_reserve_unknown (VpPlacePool *pool, const VpJobStep *step, uint32_t count, int64_t now_ms)
{
  VpResources demand = _vp_place_demand (step);
  VpResources largest = { 0 };
  uint32_t reserved = 0;

  for (guint i = 0; i < pool->slots->len && reserved < count; i++) {
    VpPlaceSlot *slot = &g_array_index (pool->slots, VpPlaceSlot, i);
    VpResources left = vp_reservation_left (&slot->reservation, &slot->free);
    largest = vp_resources_max (&largest, &left);
    if (vp_resources_fits (&demand, &left)
        && _vp_place_permission (step, slot->worker) == VP_PERMISSION_UNKNOWN)
      reserved += _vp_place_reserve_slot (pool, step, slot, count - reserved, now_ms);
  }
  /* After a search through all workers the bound is exact, and later steps can skip theirs. */
  if (reserved < count)
    pool->largest = vp_resources_min (&pool->largest, &largest);
  return reserved;
}

/* Reserves capacity for the waiting tasks of a step of wide tasks. */
static void
_vp_place_reserve_wide (VpPlacePool *pool, const VpJobStep *step, int64_t now_ms)
{
  VpResources demand = _vp_place_demand (step);
  uint32_t count = step->waiting_count;
  bool may_fit = vp_resources_fits (&demand, &pool->largest);
  GHashTableIter iter;
  gpointer value;

  if (may_fit && step->advice != NULL) {
    g_hash_table_iter_init (&iter, step->advice);
    while (count > 0 && g_hash_table_iter_next (&iter, NULL, &value)) {
      const VpAdviceRow *row = value;
      VpPlaceSlot *slot = vp_text_is_empty (row->ticket) ? NULL : _vp_place_find_slot (pool, row);
      if (slot != NULL)
        count -= _vp_place_reserve_slot (pool, step, slot, count, now_ms);
    }
  }
  if (may_fit && count > 0)
    count -= _vp_place_reserve_unknown (pool, step, count, now_ms);
  while (step->advice != NULL && count > 0
         && pool->busy_reservation_count < VP_PLACE_BUSY_RESERVATIONS_MAX
         && _vp_place_reserve_busy (pool, step, now_ms)) {
    pool->busy_reservation_count++;
    count--;
  }
}

void
vp_place_reserve (VpPlacePool *pool,
                  const VpJobStep *step,
                  const VpQueueConfig *queue,
                  int64_t now_ms)
{
  VpResources size = _vp_place_demand (step);

  if (!queue->has_advice || !vp_place_has_spare (pool, step))
    return;
  if (vp_reservation_is_wide (&size, &pool->capacity_max)) {
    _vp_place_reserve_wide (pool, step, now_ms);
    return;
  }
  vp_resources_scale (&size, step->waiting_count);
  vp_resources_sub (&pool->spare, &size);
}
