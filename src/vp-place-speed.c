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

  return vp_occurrence_began_ms (occurrence) + occurrence->job->objective_ms - now_ms;
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

/* A search for a busy fast worker. */
typedef struct {
  VpPlaceSlot *slot;    /* the one on which a task ends first; NULL: there is none */
  int64_t start_ms;     /* time at which it can start there */
  int64_t end_ms;       /* time at which it ends there */
  uint32_t place_count; /* tasks of the step for which such workers have room altogether */
} VpPlaceFastSearch;

/* Adds the slot if a task of the step, which takes @expected_ms on a worker of speed 1, is expected
 * to end there before @end_ms and its job to be in time. */
static void
_vp_place_evaluate_fast (const VpPlacePool *pool,
                         const VpJobStep *step,
                         VpPlaceSlot *slot,
                         int64_t expected_ms,
                         int64_t end_ms,
                         int64_t now_ms,
                         VpPlaceFastSearch *search)
{
  int64_t available_ms = _vp_place_available_ms (pool, step, slot, now_ms);
  double slowness = slot->worker->slowness;
  int64_t fast_end_ms;

  /* One with capacity would have been chosen, unless something else speaks against it. */
  if (available_ms <= now_ms || available_ms >= end_ms
      || (double)(available_ms - now_ms) + (double)_vp_place_chain_ms (step) * slowness
             > (double)_vp_place_left_ms (step, now_ms))
    return;
  fast_end_ms = available_ms + (int64_t)((double)expected_ms * slowness);
  if (fast_end_ms >= end_ms)
    return;
  search->place_count += _vp_place_capacity (step, slot->worker, &slot->worker->entry.capacity);
  if (search->slot != NULL
      && (fast_end_ms > search->end_ms || (fast_end_ms == search->end_ms && slot > search->slot)))
    return;
  search->slot = slot;
  search->start_ms = available_ms;
  search->end_ms = fast_end_ms;
}

/* Looks for fast workers on which a task of the step is expected to end before @end_ms. */
static void
_vp_place_find_fast (const VpPlacePool *pool,
                     const VpJobStep *step,
                     int64_t expected_ms,
                     int64_t end_ms,
                     int64_t now_ms,
                     VpPlaceFastSearch *search)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, step->advice);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpAdviceRow *row = value;
    VpPlaceSlot *slot
        = _vp_place_is_ticket_valid (row, now_ms) ? _vp_place_find_slot (pool, row) : NULL;
    if (slot != NULL && _vp_place_is_fast (slot->worker)
        && _vp_place_is_eligible (step, slot->worker)
        && _vp_place_is_below_spread_max (step, slot->worker, 0))
      _vp_place_evaluate_fast (pool, step, slot, expected_ms, end_ms, now_ms, search);
  }
}

/* Returns true if a task of the step is assigned to a slow worker. */
static bool
_vp_place_has_slow_task (const VpJobStep *step)
{
  for (uint32_t i = 0; i < step->spec->task_count; i++) {
    if (step->tasks[i].worker != NULL && vp_place_is_slow (step->tasks[i].worker))
      return true;
  }
  return false;
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
  VpPlaceFastSearch search = { 0 };

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
  _vp_place_find_fast (pool, step, expected_ms, now_ms + (int64_t)((double)expected_ms * slowness),
                       now_ms, &search);
  /* A job is late if one of the step's tasks runs on a slow worker, so all of them wait or none. */
  if (search.slot == NULL || search.place_count < step->waiting_count
      || _vp_place_has_slow_task (step))
    return false;
  pool->fast_wait_count++;
  vp_reservation_add (&search.slot->reservation, &demand, search.start_ms);
  return true;
}
