#include "vp-crash.h"
#include "vp-place-private.h"

#include <string.h>

/* Remaining validity that a ticket must have when a task is placed, as the start takes some network
 * hops and may wait for a connection. */
#define VP_PLACE_TICKET_MARGIN_MS 100
/* A step whose data is on one rack uses other racks after waiting for this share of its estimated
 * run time. */
#define VP_PLACE_REMOTE_WAIT_SHARE 0.5
/* A gang that prefers one rack is spread over racks after waiting this long. */
#define VP_PLACE_RACK_WAIT_MS 2000
/* Best-effort tasks use a worker with little idle CPU after waiting this long. */
#define VP_PLACE_BEST_EFFORT_WAIT_MS 2000
/* Value of free capacity on a fast worker, relative to that on others, for an advice request of a
 * step that leaves fast workers to urgent ones. */
#define VP_PLACE_FAST_CAPACITY_SHARE 0.4
/* A failed task isn't placed on the same worker for this long after it may start again. */
#define VP_PLACE_AVOID_FAILED_MS 500
/* Maximum number of workers in one advice request, a limit of the platform. */
#define VP_PLACE_CANDIDATES_MAX 100
/* An advice request names at least this many workers if there are as many, since each call has a
 * fixed cost. */
#define VP_PLACE_CANDIDATES_MIN 8
/* Number of tasks for which an advice request looks for capacity, relative to the number of waiting
 * tasks of the step. */
#define VP_PLACE_CANDIDATES_FACTOR 1.5
/* Workers that only add to what is known of permissions prolong an advice call by at most this
 * share of its fixed time. */
#define VP_PLACE_LEARNING_SHARE 0.25
/* At most this share of the workers is kept for isolated starts at a time, as other tasks have to
 * start, too. */
#define VP_PLACE_ISOLATED_SHARE 0.25

VpPlacePool *
vp_place_pool_new (const VpWorkerList *worker_list,
                   const VpForecast *forecast,
                   const char *service,
                   int64_t now_ms)
{
  VpPlacePool *pool = g_new0 (VpPlacePool, 1);

  pool->worker_list = worker_list;
  pool->forecast = forecast;
  pool->service = service;
  pool->slots = g_array_sized_new (FALSE, FALSE, sizeof (VpPlaceSlot), worker_list->workers->len);
  for (guint i = 0; i < worker_list->workers->len; i++) {
    VpPlaceSlot slot = { .worker = worker_list->workers->pdata[i] };
    if (strcmp (slot.worker->entry.service, service) != 0)
      continue;
    pool->evacuated_count += slot.worker->is_evacuated ? 1 : 0;
    if (!vp_workerlist_is_usable (slot.worker, now_ms))
      continue;
    slot.free = vp_workerlist_free_capacity (slot.worker);
    slot.worker->slot_index = pool->slots->len;
    pool->largest = vp_resources_max (&pool->largest, &slot.free);
    pool->capacity_max = vp_resources_max (&pool->capacity_max, &slot.worker->entry.capacity);
    vp_resources_add (&pool->free, &slot.free);
    g_array_append_val (pool->slots, slot);
  }
  return pool;
}

void
vp_place_pool_free (VpPlacePool *pool)
{
  g_array_unref (pool->slots);
  g_free (pool);
}

void
vp_place_slot_update (VpPlacePool *pool, VpPlaceSlot *slot)
{
  vp_resources_sub (&pool->free, &slot->free);
  slot->free = vp_workerlist_free_capacity (slot->worker);
  vp_resources_add (&pool->free, &slot->free);
}

bool
_vp_place_is_ticket_valid (const VpAdviceRow *row, int64_t now_ms)
{
  return !vp_text_is_empty (row->ticket)
         && now_ms + VP_PLACE_TICKET_MARGIN_MS <= row->valid_until_ms;
}

const char *
vp_place_find_ticket (const VpJobStep *step, const VpCellWorker *worker, int64_t now_ms)
{
  const VpAdviceRow *row
      = step->advice == NULL ? NULL : g_hash_table_lookup (step->advice, worker->entry.id);

  if (row == NULL || row->booted_ms != worker->booted_ms
      || !_vp_place_is_ticket_valid (row, now_ms))
    return NULL;
  return row->ticket;
}

VpPlacePermission
_vp_place_permission (const VpJobStep *step, const VpCellWorker *worker)
{
  const VpAdviceRow *row
      = step->advice == NULL ? NULL : g_hash_table_lookup (step->advice, worker->entry.id);

  if (row == NULL || row->booted_ms != worker->booted_ms)
    return VP_PERMISSION_UNKNOWN;
  return vp_text_is_empty (row->ticket) ? VP_PERMISSION_EXCLUDED : VP_PERMISSION_ALLOWED;
}

/* Returns the number of tasks of the step that are assigned to the worker. */
static uint32_t
_vp_place_count_on (const VpJobStep *step, const VpCellWorker *worker)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < step->spec->task_count; i++)
    count += step->tasks[i].worker == worker ? 1 : 0;
  return count;
}

bool
_vp_place_is_eligible (const VpJobStep *step, const VpCellWorker *worker)
{
  const VpStepSpec *spec = step->spec;

  if (!vp_text_is_empty (spec->label) && strcmp (spec->label, worker->entry.kind) != 0
      && strcmp (spec->label, worker->entry.rack) != 0)
    return false;
  return !spec->is_one_rack || step->rack < 0 || (uint32_t)step->rack == worker->rack_index;
}

VpResources
_vp_place_demand (const VpJobStep *step)
{
  return vp_jobtask_demand (&step->tasks[0]);
}

/* Returns true if the step's data is on another rack than the worker. */
static bool
_vp_place_is_remote (const VpStepSpec *spec, const VpCellWorker *worker)
{
  return !vp_text_is_empty (spec->rack) && strcmp (spec->rack, worker->entry.rack) != 0;
}

/* Returns the cost of placing a task of the step on the worker. The worker with the lowest cost is
 * chosen. */
static double
_vp_place_cost (const VpJobStep *step,
                const VpQueueConfig *queue,
                const VpCellWorker *worker,
                const VpResources *free,
                int64_t now_ms)
{
  const VpStepSpec *spec = step->spec;
  VpResources left = *free;
  VpResources demand = _vp_place_demand (step);
  double cost = 0;

  if (spec->is_best_effort) {
    int64_t idle_cpu_milli = free->cpu_milli - worker->best_effort_cpu_milli;
    return (double)worker->latency_target_count
           - (double)idle_cpu_milli / (double)MAX (worker->entry.capacity.cpu_milli, 1);
  }
  if (spec->tail_latency_target_ms > 0)
    cost += worker->best_effort_count;
  if (_vp_place_is_remote (spec, worker))
    cost += 100;
  vp_resources_sub (&left, &demand);
  /* Best fit keeps large free capacity for large tasks. Workers with free accelerators are left to
   * tasks that need them. */
  cost += vp_resources_dominant_share (&left, &worker->entry.capacity);
  if (spec->size.accel_count == 0 && free->accel_count > 0)
    cost += 1;
  /* Urgent tasks use the fast workers and leave the slow ones to other tasks, and the other way
   * round. */
  return cost + _vp_place_slowness_cost (step, queue, worker, now_ms);
}

int64_t
_vp_place_expected_ms (const VpPlacePool *pool, const VpJobStep *step)
{
  VpForecastKey key;
  VpForecastRange range;

  if (pool->forecast == NULL)
    return step->spec->estimate_ms;
  vp_jobstep_forecast_key (step, &key);
  vp_forecast_task (pool->forecast, &key, &range);
  return MAX (range.p50_ms, 1);
}

/* A search for the best worker for a task. */
typedef struct {
  const VpJobTask *task;
  const VpQueueConfig *queue;
  const VpPlacePool *pool;
  bool is_isolated;    /* see vp-crash.h */
  int64_t expected_ms; /* duration of the task on a worker of speed 1; 0: not computed yet, as few
                          searches need it */
  int64_t now_ms;
} VpPlaceSearch;

static int64_t
_vp_place_search_expected_ms (VpPlaceSearch *search)
{
  if (search->expected_ms == 0)
    search->expected_ms = _vp_place_expected_ms (search->pool, search->task->step);
  return search->expected_ms;
}

/* Returns true if a task of the step should rather wait a little for another worker: one near its
 * data, or one with more idle CPU for a best-effort task. */
static bool
_vp_place_should_wait (VpPlaceSearch *search, const VpPlaceSlot *slot)
{
  const VpJobStep *step = search->task->step;
  const VpStepSpec *spec = step->spec;
  const VpCellWorker *worker = slot->worker;
  const VpResources *free = &slot->free;
  int64_t waited_ms = search->now_ms - step->ready_ms;

  if (_vp_place_is_remote (spec, worker)
      && waited_ms < (int64_t)((double)_vp_place_search_expected_ms (search)
                               * VP_PLACE_REMOTE_WAIT_SHARE))
    return true;
  return spec->is_best_effort && waited_ms < VP_PLACE_BEST_EFFORT_WAIT_MS
         && free->cpu_milli - worker->best_effort_cpu_milli < spec->size.cpu_milli / 2;
}

bool
_vp_place_is_below_spread_max (const VpJobStep *step,
                               const VpCellWorker *worker,
                               uint32_t taken_count)
{
  return step->spec->spread_max == 0
         || _vp_place_count_on (step, worker) + taken_count < step->spec->spread_max;
}

/* Returns true if advice and the step's limit per worker allow another task on the worker. */
static bool
_vp_place_is_allowed (const VpJobStep *step,
                      const VpQueueConfig *queue,
                      const VpCellWorker *worker,
                      uint32_t taken_count,
                      int64_t now_ms)
{
  if (queue->has_advice && vp_place_find_ticket (step, worker, now_ms) == NULL)
    return false;
  return _vp_place_is_below_spread_max (step, worker, taken_count);
}

/* Returns true if advice is needed but all tickets of the step have expired. */
static bool
_vp_place_lacks_tickets (const VpJobStep *step, const VpQueueConfig *queue, int64_t now_ms)
{
  return queue->has_advice && now_ms + VP_PLACE_TICKET_MARGIN_MS > step->tickets_expire_ms;
}

/* Returns true if the task failed on the worker a short time ago. The worker may be faulty, so the
 * task rather waits a little than runs there again. */
static bool
_vp_place_has_failed_on (const VpJobTask *task, const VpCellWorker *worker, int64_t now_ms)
{
  return vp_text_equal (task->failed_on, worker->entry.id)
         && now_ms < task->not_before_ms + VP_PLACE_AVOID_FAILED_MS;
}

/* Returns true if the worker has capacity for a task of the step that no earlier step needs. */
static bool
_vp_place_has_capacity (VpPlaceSearch *search, const VpPlaceSlot *slot)
{
  const VpJobStep *step = search->task->step;
  VpResources demand = _vp_place_demand (step);
  int64_t duration_ms = INT64_MAX - search->now_ms;

  if (!vp_resources_is_zero (&slot->reservation.size) && !step->spec->is_long_running)
    duration_ms = (int64_t)((double)_vp_place_search_expected_ms (search) * slot->worker->slowness);
  return vp_reservation_admits (&slot->reservation, &slot->free, &demand, duration_ms,
                                search->now_ms);
}

typedef struct {
  VpPlaceSlot *slot;
  double cost;
} VpPlaceChoice;

/* Replaces @best by @slot if the task can run there at a lower cost; the first of equal slots wins.
 * An isolated start needs a worker without other recent starts, and takes the one with the least
 * work that a crash would destroy. */
static void
_vp_place_evaluate (VpPlaceSearch *search, VpPlaceSlot *slot, VpPlaceChoice *best)
{
  const VpJobTask *task = search->task;
  const VpJobStep *step = task->step;
  int64_t now_ms = search->now_ms;
  double cost;

  /* In a full cell most workers lack the capacity, so that is checked first. */
  if (!_vp_place_has_capacity (search, slot) || !_vp_place_is_eligible (step, slot->worker)
      || !_vp_place_is_below_spread_max (step, slot->worker, 0)
      || _vp_place_has_failed_on (task, slot->worker, now_ms)
      || _vp_place_should_wait (search, slot) || vp_crash_is_kept (slot->worker, task, now_ms)
      || (search->is_isolated && !vp_crash_is_quiet (slot->worker, task, now_ms)))
    return;
  cost = search->is_isolated
             ? vp_resources_dominant_share (&slot->worker->used, &slot->worker->entry.capacity)
             : _vp_place_cost (step, search->queue, slot->worker, &slot->free, now_ms);
  if (best->slot == NULL || cost < best->cost || (cost == best->cost && slot < best->slot))
    *best = (VpPlaceChoice){ .slot = slot, .cost = cost };
}

VpPlaceSlot *
_vp_place_find_slot (const VpPlacePool *pool, const VpAdviceRow *row)
{
  const VpCellWorker *worker = vp_workerlist_find (pool->worker_list, row->worker);
  VpPlaceSlot *slot;

  if (worker == NULL || worker->booted_ms != row->booted_ms
      || worker->slot_index >= pool->slots->len)
    return NULL;
  slot = &g_array_index (pool->slots, VpPlaceSlot, worker->slot_index);
  return slot->worker == worker ? slot : NULL;
}

static VpPlaceSlot *
_vp_place_find_best (const VpPlacePool *pool,
                     const VpJobTask *task,
                     const VpQueueConfig *queue,
                     bool is_isolated,
                     int64_t now_ms)
{
  const VpJobStep *step = task->step;
  VpPlaceSearch search = {
    .task = task, .queue = queue, .pool = pool, .is_isolated = is_isolated, .now_ms = now_ms
  };
  VpPlaceChoice best = { 0 };
  GHashTableIter iter;
  gpointer value;

  if (queue->has_advice && (step->advice == NULL || _vp_place_lacks_tickets (step, queue, now_ms)))
    return NULL;
  if (!queue->has_advice) {
    for (guint i = 0; i < pool->slots->len; i++)
      _vp_place_evaluate (&search, &g_array_index (pool->slots, VpPlaceSlot, i), &best);
    return best.slot;
  }
  /* A step has few tickets, while many workers may have free capacity. */
  g_hash_table_iter_init (&iter, step->advice);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpAdviceRow *row = value;
    VpPlaceSlot *slot;
    if (!_vp_place_is_ticket_valid (row, now_ms))
      continue;
    slot = _vp_place_find_slot (pool, row);
    if (slot != NULL)
      _vp_place_evaluate (&search, slot, &best);
  }
  return best.slot;
}

/* Returns true if the share of workers that are kept for other jobs leaves one for an isolated
 * start of the task. */
static bool
_vp_place_may_isolate (const VpPlacePool *pool, const VpJobTask *task, int64_t now_ms)
{
  double kept_max = pool->slots->len * VP_PLACE_ISOLATED_SHARE;
  uint32_t count = 0;

  for (guint i = 0; i < pool->slots->len; i++)
    count += vp_crash_is_kept (g_array_index (pool->slots, VpPlaceSlot, i).worker, task, now_ms);
  return count < MAX (kept_max, 1);
}

/* Returns true if a worker is kept for the job of the task. */
static bool
_vp_place_has_isolated (const VpPlacePool *pool, const VpJobTask *task, int64_t now_ms)
{
  for (guint i = 0; i < pool->slots->len; i++) {
    const VpCellWorker *worker = g_array_index (pool->slots, VpPlaceSlot, i).worker;
    if (now_ms < worker->isolated_until_ms && !vp_crash_is_kept (worker, task, now_ms))
      return true;
  }
  return false;
}

VpPlaceSlot *
vp_place_pick (const VpPlacePool *pool,
               const VpJobTask *task,
               const VpQueueConfig *queue,
               int64_t now_ms)
{
  VpPlaceSlot *slot = NULL;

  if (vp_crash_is_suspect (task) && _vp_place_may_isolate (pool, task, now_ms))
    slot = _vp_place_find_best (pool, task, queue, true, now_ms);
  if (slot != NULL)
    return slot;
  if (vp_crash_needs_isolation (task) && _vp_place_has_isolated (pool, task, now_ms))
    return NULL;
  slot = _vp_place_find_best (pool, task, queue, false, now_ms);
  if (slot == NULL || !vp_crash_needs_isolation (task))
    return slot;
  /* The worker has had other starts a short time ago, so the task waits for it. */
  if (_vp_place_may_isolate (pool, task, now_ms))
    vp_crash_isolate (slot->worker, task, now_ms);
  return NULL;
}

/* Chooses a slot for each task of the step within the rack, or within all racks if @rack is
 * negative. Returns false if they don't all fit. */
static bool
_vp_place_gang_on_rack (const VpPlacePool *pool,
                        const VpJobStep *step,
                        const VpQueueConfig *queue,
                        int32_t rack,
                        int64_t now_ms,
                        VpPlaceSlot **out)
{
  VpResources demand = _vp_place_demand (step);
  uint32_t placed = 0;

  for (guint i = 0; i < pool->slots->len && placed < step->spec->task_count; i++) {
    VpPlaceSlot *slot = &g_array_index (pool->slots, VpPlaceSlot, i);
    VpResources free;
    uint32_t taken_count = 0;
    if ((rack >= 0 && slot->worker->rack_index != (uint32_t)rack)
        || !_vp_place_is_eligible (step, slot->worker)
        /* A capacity that has shrunk may be exceeded, which the capacity left doesn't show. */
        || !vp_resources_fits (&demand, &slot->free)
        || vp_crash_is_kept (slot->worker, &step->tasks[0], now_ms))
      continue;
    free = vp_reservation_left (&slot->reservation, &slot->free);
    while (placed < step->spec->task_count && vp_resources_fits (&demand, &free)
           && _vp_place_is_allowed (step, queue, slot->worker, taken_count, now_ms)) {
      out[placed++] = slot;
      vp_resources_sub (&free, &demand);
      taken_count++;
    }
  }
  return placed == step->spec->task_count;
}

bool
vp_place_gang (const VpPlacePool *pool,
               const VpJobStep *step,
               const VpQueueConfig *queue,
               int64_t now_ms,
               VpPlaceSlot **out)
{
  guint rack_count = g_hash_table_size (pool->worker_list->racks);

  if (_vp_place_lacks_tickets (step, queue, now_ms))
    return false;
  for (guint rack = 0; rack < rack_count; rack++) {
    if (_vp_place_gang_on_rack (pool, step, queue, (int32_t)rack, now_ms, out))
      return true;
  }
  return (!step->spec->is_one_rack || now_ms - step->ready_ms > VP_PLACE_RACK_WAIT_MS)
         && _vp_place_gang_on_rack (pool, step, queue, -1, now_ms, out);
}

uint32_t
_vp_place_capacity (const VpJobStep *step, const VpCellWorker *worker, const VpResources *free)
{
  VpResources demand = _vp_place_demand (step);
  int64_t count = step->spec->task_count;

  if (demand.cpu_milli > 0)
    count = MIN (count, free->cpu_milli / demand.cpu_milli);
  if (demand.mem_mib > 0)
    count = MIN (count, free->mem_mib / demand.mem_mib);
  if (demand.accel_count > 0)
    count = MIN (count, free->accel_count / demand.accel_count);
  if (count > 0 && step->spec->spread_max > 0)
    count = MIN (count, (int64_t)step->spec->spread_max - _vp_place_count_on (step, worker));
  return (uint32_t)MAX (count, 0);
}

typedef struct {
  VpPlaceCandidate candidate;
  bool is_reserved; /* pending requests are meant to fill all of its free capacity */
  bool is_allowed;  /* the worker was allowed before and only its ticket has expired */
  bool is_remote;   /* the step's data is on another rack */
  bool is_busy;     /* it has no free capacity, and whether it is allowed isn't known */
  uint64_t rank;    /* options with a lower one come first */
} VpPlaceOption;

/* Sets the rank of the option from its other fields: the criteria are bits, the first of them the
 * highest, above the capacity. @is_yielding: the step leaves fast workers to urgent ones. */
static void
_vp_place_rank_option (const VpQueueConfig *queue, bool is_yielding, VpPlaceOption *option)
{
  const VpCellWorker *worker = option->candidate.worker;
  bool is_left = is_yielding && _vp_place_is_fast (worker);
  uint64_t value = (uint64_t)option->candidate.capacity * 1000;

  if (is_left)
    value = (uint64_t)((double)value * VP_PLACE_FAST_CAPACITY_SHARE);
  option->rank = ((uint64_t)option->is_busy << 5 | (uint64_t)option->is_reserved << 4
                  | (uint64_t)option->is_remote << 3 | _vp_place_speed_class (queue, worker) << 1
                  | (uint64_t)!option->is_allowed)
                 << 48;
  option->rank += (UINT64_C (1) << 48) - 1 - value;
}

static gint
_vp_place_compare_options (gconstpointer a, gconstpointer b)
{
  const VpPlaceOption *one = a;
  const VpPlaceOption *two = b;

  return one->rank == two->rank ? 0 : one->rank < two->rank ? -1 : 1;
}

/* Subtracts the capacity that other requests are meant to fill from that of the option, unless no
 * task would fit then. */
static void
_vp_place_subtract_reservation (const VpJobStep *step,
                                const VpPlaceSlot *slot,
                                const VpResources *reserved,
                                VpPlaceOption *option)
{
  VpResources free = slot->free;
  uint32_t capacity;

  vp_resources_sub (&free, reserved);
  capacity = _vp_place_capacity (step, slot->worker, &free);
  option->is_reserved = capacity == 0;
  if (capacity > 0)
    option->candidate.capacity = capacity;
}

int64_t
_vp_place_available_ms (const VpPlacePool *pool,
                        const VpJobStep *step,
                        const VpPlaceSlot *slot,
                        int64_t now_ms)
{
  VpResources demand = _vp_place_demand (step);

  if (!vp_resources_is_zero (&slot->reservation.size))
    return INT64_MAX;
  return vp_reservation_available_ms (slot->worker, pool->forecast, &slot->free, &demand, now_ms);
}

/* Fills in an option for a worker without free capacity. Returns false if it is of no use. */
static bool
_vp_place_evaluate_busy (const VpPlacePool *pool,
                         const VpJobStep *step,
                         const VpQueueConfig *queue,
                         const VpPlaceSlot *slot,
                         int64_t now_ms,
                         VpPlaceOption *option)
{
  VpResources demand = _vp_place_demand (step);

  option->is_busy = !option->is_allowed;
  if (option->is_busy)
    return vp_resources_fits (&demand, &slot->worker->entry.capacity);
  option->candidate.capacity = 1;
  return _vp_place_available_ms (pool, step, slot, now_ms)
         <= now_ms + (int64_t)queue->advice_decide_ms;
}

/* Returns the workers that an advice request for the step may name, best first. */
static GArray *
_vp_place_options (const VpPlacePool *pool,
                   const VpJobStep *step,
                   const VpQueueConfig *queue,
                   GHashTable *reservations,
                   int64_t now_ms)
{
  GArray *options = g_array_new (FALSE, FALSE, sizeof (VpPlaceOption));
  VpResources demand = _vp_place_demand (step);
  bool is_wide = vp_reservation_is_wide (&demand, &pool->capacity_max);
  bool is_yielding = _vp_place_is_yielding (step, queue, now_ms);

  for (guint i = 0; i < pool->slots->len; i++) {
    const VpPlaceSlot *slot = &g_array_index (pool->slots, VpPlaceSlot, i);
    VpResources left = vp_reservation_left (&slot->reservation, &slot->free);
    VpPlaceOption option = { .candidate = { .worker = slot->worker } };
    VpPlacePermission permission;
    const VpResources *reserved;
    option.candidate.capacity = _vp_place_capacity (step, slot->worker, &left);
    if ((option.candidate.capacity == 0 && !is_wide) || !_vp_place_is_eligible (step, slot->worker))
      continue;
    permission = _vp_place_permission (step, slot->worker);
    option.is_allowed = permission == VP_PERMISSION_ALLOWED;
    if (permission == VP_PERMISSION_EXCLUDED
        || (option.candidate.capacity == 0
            && !_vp_place_evaluate_busy (pool, step, queue, slot, now_ms, &option))
        || vp_place_find_ticket (step, slot->worker, now_ms) != NULL)
      continue;
    reserved = g_hash_table_lookup (reservations, slot->worker->entry.id);
    if (reserved != NULL && !option.is_busy)
      _vp_place_subtract_reservation (step, slot, reserved, &option);
    option.is_remote = _vp_place_is_remote (step->spec, slot->worker);
    _vp_place_rank_option (queue, is_yielding, &option);
    g_array_append_val (options, option);
  }
  g_array_sort (options, _vp_place_compare_options);
  return options;
}

/* Returns the number of workers up to which a request may be filled with busy ones. */
static guint
_vp_place_learning_max (const VpJobStep *step, const VpQueueConfig *queue)
{
  uint32_t allowed_count = 0;
  GHashTableIter iter;
  gpointer value;

  if (step->advice != NULL) {
    g_hash_table_iter_init (&iter, step->advice);
    while (g_hash_table_iter_next (&iter, NULL, &value))
      allowed_count += vp_text_is_empty (((const VpAdviceRow *)value)->ticket) ? 0 : 1;
  }
  if (allowed_count >= step->waiting_count)
    return 0;
  if (queue->advice_worker_ms <= 0)
    return VP_PLACE_CANDIDATES_MAX;
  return (guint)CLAMP (VP_PLACE_LEARNING_SHARE * queue->advice_decide_ms / queue->advice_worker_ms,
                       VP_PLACE_CANDIDATES_MIN, VP_PLACE_CANDIDATES_MAX);
}

void
vp_place_candidates (const VpPlacePool *pool,
                     const VpJobStep *step,
                     const VpQueueConfig *queue,
                     double approval_rate,
                     GHashTable *reservations,
                     int64_t now_ms,
                     GArray *out)
{
  g_autoptr (GArray) options = _vp_place_options (pool, step, queue, reservations, now_ms);
  guint learning_max = _vp_place_learning_max (step, queue);
  double wanted = (double)step->waiting_count * VP_PLACE_CANDIDATES_FACTOR;

  for (guint i = 0; i < options->len && out->len < VP_PLACE_CANDIDATES_MAX; i++) {
    const VpPlaceOption *option = &g_array_index (options, VpPlaceOption, i);
    if (option->is_busy ? out->len >= learning_max
                        : wanted <= 0 && out->len >= VP_PLACE_CANDIDATES_MIN)
      continue;
    g_array_append_val (out, option->candidate);
    wanted -= option->candidate.capacity * (option->is_allowed ? 1.0 : approval_rate);
  }
}

bool
vp_place_has_spare (VpPlacePool *pool, const VpJobStep *step)
{
  VpResources demand = _vp_place_demand (step);

  if (!pool->has_spare)
    pool->spare = pool->free;
  pool->has_spare = true;
  return vp_resources_fits (&demand, &pool->spare);
}
