#include "vp-place-private.h"

/* Cost of a worker that takes twice the time, for tasks of queues of priority 0. A cost of 1 equals
 * that of free capacity of the size of a whole worker. */
#define VP_PLACE_SLOWNESS_WEIGHT_URGENT 2.0
/* Cost of a worker that takes twice the time, for tasks of other queues. */
#define VP_PLACE_SLOWNESS_WEIGHT_NORMAL 0.3
/* A worker of less slowness than this is fast, and one of more slowness than that is slow. The
 * figures learned of workers that are alike differ by less. */
#define VP_PLACE_FAST_SLOWNESS 0.85
#define VP_PLACE_SLOW_SLOWNESS 1.2
/* Cost, for a task that leaves fast workers to urgent tasks, of one that takes half the time of
 * VP_PLACE_FAST_SLOWNESS. It outweighs most differences in free capacity. */
#define VP_PLACE_FAST_WEIGHT 4.0
/* A step that can wait for less than this many times the rest of its job doesn't leave fast workers
 * to others: that long it may take on slow ones. */
#define VP_PLACE_YIELD_SLACK 2.0
/* Maximum number of tasks that wait for a busy fast worker in one decision, as the search for each
 * one looks at all tasks on the workers that it may use. */
#define VP_PLACE_FAST_WAITS_MAX 16

/* Returns the time left until the objective of the step's job. */
static int64_t
_vp_place_left_ms (const VpJobStep *step, int64_t now_ms)
{
  const VpJobOccurrence *occurrence = step->occurrence;
  int64_t began_ms = occurrence->due_ms != 0 ? occurrence->due_ms : occurrence->job->arrived_ms;

  return began_ms + occurrence->job->objective_ms - now_ms;
}

/* Returns the expected time of the longest chain of steps from the step on. */
static int64_t
_vp_place_chain_ms (const VpJobStep *step)
{
  return step->chain.is_made ? step->chain.p50_ms : step->critical_path_ms;
}

bool
_vp_place_is_fast (const VpCellWorker *worker)
{
  return worker->slowness < VP_PLACE_FAST_SLOWNESS;
}

bool
vp_place_is_slow (const VpCellWorker *worker)
{
  return worker->slowness > VP_PLACE_SLOW_SLOWNESS;
}

bool
_vp_place_is_yielding (const VpJobStep *step, const VpQueueConfig *queue, int64_t now_ms)
{
  int64_t left_ms = _vp_place_left_ms (step, now_ms);

  if (!queue->yields_fast_workers || queue->ignores_speed)
    return false;
  return step->occurrence->job->objective_ms == 0 || left_ms < 0
         || (double)left_ms >= VP_PLACE_YIELD_SLACK * (double)_vp_place_chain_ms (step);
}

double
_vp_place_slowness_cost (const VpJobStep *step,
                         const VpQueueConfig *queue,
                         const VpCellWorker *worker,
                         int64_t now_ms)
{
  if (queue->priority == 0)
    return VP_PLACE_SLOWNESS_WEIGHT_URGENT * (worker->slowness - 1);
  if (!_vp_place_is_yielding (step, queue, now_ms))
    return VP_PLACE_SLOWNESS_WEIGHT_NORMAL * (worker->slowness - 1);
  return VP_PLACE_SLOWNESS_WEIGHT_NORMAL * (MAX (worker->slowness, 1) - 1)
         + VP_PLACE_FAST_WEIGHT * MAX (VP_PLACE_FAST_SLOWNESS - worker->slowness, 0);
}

uint64_t
_vp_place_speed_class (const VpQueueConfig *queue, const VpCellWorker *worker)
{
  if (queue->priority != 0 || queue->ignores_speed)
    return 0;
  return _vp_place_is_fast (worker) ? 0 : vp_place_is_slow (worker) ? 2 : 1;
}

/* Returns the slot of a fast worker on which a task of the step, which takes @expected_ms on a
 * worker of speed 1, is expected to end before @end_ms, first of all, and the time at which it can
 * start there; NULL: there is none. */
static VpPlaceSlot *
_vp_place_find_fast (const VpPlacePool *pool,
                     const VpJobStep *step,
                     int64_t expected_ms,
                     int64_t end_ms,
                     int64_t now_ms,
                     int64_t *start_ms)
{
  int64_t left_ms = _vp_place_left_ms (step, now_ms);
  VpPlaceSlot *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, step->advice);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpAdviceRow *row = value;
    VpPlaceSlot *slot
        = _vp_place_is_ticket_valid (row, now_ms) ? _vp_place_find_slot (pool, row) : NULL;
    int64_t available_ms, fast_end_ms;
    if (slot == NULL || !_vp_place_is_fast (slot->worker)
        || !_vp_place_is_eligible (step, slot->worker)
        || !_vp_place_is_below_spread_max (step, slot->worker, 0))
      continue;
    available_ms = _vp_place_available_ms (pool, step, slot, now_ms);
    /* One with capacity would have been chosen, unless something else speaks against it. */
    if (available_ms <= now_ms || available_ms >= end_ms
        || (double)(available_ms - now_ms)
                   + (double)_vp_place_chain_ms (step) * slot->worker->slowness
               > (double)left_ms)
      continue;
    fast_end_ms = available_ms + (int64_t)((double)expected_ms * slot->worker->slowness);
    if (fast_end_ms > end_ms || (fast_end_ms == end_ms && (best == NULL || slot > best)))
      continue;
    best = slot;
    end_ms = fast_end_ms;
    *start_ms = available_ms;
  }
  return best;
}

bool
vp_place_waits_for_fast (VpPlacePool *pool,
                         const VpJobTask *task,
                         const VpQueueConfig *queue,
                         const VpPlaceSlot *slow,
                         int64_t now_ms)
{
  const VpJobStep *step = task->step;
  VpResources demand = _vp_place_demand (step);
  double slowness = slow->worker->slowness;
  int64_t expected_ms;
  VpPlaceSlot *fast;
  int64_t start_ms;

  if (queue->priority != 0 || queue->ignores_speed || !vp_place_is_slow (slow->worker)
      || step->advice == NULL || pool->fast_wait_count >= VP_PLACE_FAST_WAITS_MAX
      || vp_reservation_is_wide (&demand, &pool->capacity_max)
      || _vp_place_left_ms (step, now_ms)
             >= (int64_t)((double)_vp_place_chain_ms (step) * slowness))
    return false;
  expected_ms = _vp_place_expected_ms (pool, step);
  /* Expected durations may be wrong, so the wait is limited to what it can gain. */
  if ((double)(now_ms - step->ready_ms) > (double)expected_ms * (slowness - VP_PLACE_FAST_SLOWNESS))
    return false;
  fast
      = _vp_place_find_fast (pool, step, expected_ms,
                             now_ms + (int64_t)((double)expected_ms * slowness), now_ms, &start_ms);
  if (fast == NULL)
    return false;
  pool->fast_wait_count++;
  vp_reservation_add (&fast->reservation, &demand, start_ms);
  return true;
}
