#include "vp-place.h"

#include <string.h>

/* A ticket must be good on arrival at the worker: a few hops and a wait for the connection. */
#define VP_PLACE_TICKET_MARGIN_MS 100
/* A task whose data lies on one rack goes elsewhere after waiting for this part of its estimate. */
#define VP_PLACE_FAR_WAIT_SHARE 0.5
/* A step that keeps to one rack gives up its choice while nothing of it runs there for this long.
 */
#define VP_PLACE_RACK_WAIT_MS 2000
/* Tasks that use what is left take a crowded worker after waiting this long. */
#define VP_PLACE_FILL_WAIT_MS 2000
/* What a worker that takes twice the time costs against a gap as large as a whole worker. */
#define VP_PLACE_SLOW_URGENT 2.0
#define VP_PLACE_SLOW_REST   0.3
/* A failed task is tried on other workers only, for this long after it may start again. */
#define VP_PLACE_ELSEWHERE_MS 500
/* Most workers that one advice call may name (platform). */
#define VP_PLACE_ASK_MAX 100
/* Fewest worth a call, as each call has a fixed cost. */
#define VP_PLACE_ASK_MIN 8
/* Asked about beyond the expected need. */
#define VP_PLACE_ASK_FACTOR 1.5

VpPlacePool *
vp_place_pool_new (const VpRoster *roster, const char *service, int64_t now_ms)
{
  VpPlacePool *pool = g_new0 (VpPlacePool, 1);

  pool->roster = roster;
  g_strlcpy (pool->service, service, sizeof pool->service);
  pool->slots = g_array_sized_new (FALSE, FALSE, sizeof (VpPlaceSlot), roster->workers->len);
  for (guint i = 0; i < roster->workers->len; i++) {
    VpPlaceSlot slot = { .worker = roster->workers->pdata[i] };
    if (!vp_roster_is_usable (slot.worker, now_ms)
        || strcmp (slot.worker->entry.service, service) != 0)
      continue;
    vp_place_slot_update (&slot);
    slot.worker->slot_index = pool->slots->len;
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
vp_place_slot_update (VpPlaceSlot *slot)
{
  slot->free = vp_roster_free (slot->worker);
}

/* The ticket must still be good on arrival. */
static bool
_vp_place_is_ticket (const VpAdviceRow *row, int64_t now_ms)
{
  return row->ticket[0] != '\0' && now_ms + VP_PLACE_TICKET_MARGIN_MS <= row->valid_until_ms;
}

const char *
vp_place_ticket (const VpJobStep *step, const VpRosterWorker *worker, int64_t now_ms)
{
  const VpAdviceRow *row
      = step->advice == NULL ? NULL : g_hash_table_lookup (step->advice, worker->entry.id);

  if (row == NULL || row->born_ms != worker->born_ms || !_vp_place_is_ticket (row, now_ms))
    return NULL;
  return row->ticket;
}

/* True if the advice service has ruled the worker out. */
static bool
_vp_place_is_ruled_out (const VpJobStep *step, const VpRosterWorker *worker)
{
  const VpAdviceRow *row
      = step->advice == NULL ? NULL : g_hash_table_lookup (step->advice, worker->entry.id);

  return row != NULL && row->ticket[0] == '\0' && row->born_ms == worker->born_ms;
}

static uint32_t
_vp_place_count_here (const VpJobStep *step, const VpRosterWorker *worker)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < step->spec->task_count; i++)
    count += step->tasks[i].worker == worker ? 1 : 0;
  return count;
}

/* Whether the worker may run tasks of the step at all, room and advice aside. */
static bool
_vp_place_is_eligible (const VpJobStep *step, const VpRosterWorker *worker)
{
  const VpStepSpec *spec = step->spec;

  if (spec->label[0] != '\0' && strcmp (spec->label, worker->entry.kind) != 0
      && strcmp (spec->label, worker->entry.rack) != 0)
    return false;
  return !spec->is_one_rack || step->rack < 0 || (uint32_t)step->rack == worker->rack_index;
}

static VpResources
_vp_place_room (const VpJobStep *step)
{
  return vp_jobtask_room (&step->tasks[0]);
}

static bool
_vp_place_is_far (const VpStepSpec *spec, const VpRosterWorker *worker)
{
  return spec->rack[0] != '\0' && strcmp (spec->rack, worker->entry.rack) != 0;
}

/* Lower is better. */
static double
_vp_place_score (const VpJobStep *step,
                 bool is_urgent,
                 const VpRosterWorker *worker,
                 const VpResources *free)
{
  const VpStepSpec *spec = step->spec;
  VpResources left = *free;
  VpResources room = _vp_place_room (step);
  double score = 0;

  if (spec->is_filling) {
    int64_t spare = free->cpu_milli - worker->filling_cpu_milli;
    return (double)worker->serving_count
           - (double)spare / (double)MAX (worker->entry.capacity.cpu_milli, 1);
  }
  if (spec->tail_target_ms > 0)
    score += worker->filling_count;
  if (_vp_place_is_far (spec, worker))
    score += 100;
  vp_resources_sub (&left, &room);
  /* Best fit: keeps large gaps for large tasks. Accelerators stay free for those that need them. */
  score += vp_resources_dominant_share (&left, &worker->entry.capacity);
  if (spec->size.accel_count == 0 && free->accel_count > 0)
    score += 1;
  /* Urgent work takes the fast workers and leaves the slow ones to the rest. */
  score += (is_urgent ? VP_PLACE_SLOW_URGENT : VP_PLACE_SLOW_REST) * (worker->slowness - 1);
  return score;
}

static bool
_vp_place_may_wait (const VpJobStep *step,
                    const VpRosterWorker *worker,
                    const VpResources *free,
                    int64_t now_ms)
{
  const VpStepSpec *spec = step->spec;
  int64_t waited_ms = now_ms - step->opened_ms;

  if (_vp_place_is_far (spec, worker)
      && waited_ms < (int64_t)((double)spec->estimate_ms * VP_PLACE_FAR_WAIT_SHARE))
    return true;
  return spec->is_filling && waited_ms < VP_PLACE_FILL_WAIT_MS
         && free->cpu_milli - worker->filling_cpu_milli < spec->size.cpu_milli / 2;
}

/* For a worker that has @taken_count tasks of the step chosen for it already. */
static bool
_vp_place_is_spread (const VpJobStep *step, const VpRosterWorker *worker, uint32_t taken_count)
{
  return step->spec->spread_max == 0
         || _vp_place_count_here (step, worker) + taken_count < step->spec->spread_max;
}

/* Advice and spread. */
static bool
_vp_place_is_allowed (const VpJobStep *step,
                      const VpQueueConf *queue,
                      const VpRosterWorker *worker,
                      uint32_t taken_count,
                      int64_t now_ms)
{
  if (queue->has_advice && vp_place_ticket (step, worker, now_ms) == NULL)
    return false;
  return _vp_place_is_spread (step, worker, taken_count);
}

/* True if no worker has a valid ticket for the step. */
static bool
_vp_place_lacks_tickets (const VpJobStep *step, const VpQueueConf *queue, int64_t now_ms)
{
  return queue->has_advice && now_ms + VP_PLACE_TICKET_MARGIN_MS > step->tickets_until_ms;
}

/* A task rather waits a little than try again on the worker that may be at fault. */
static bool
_vp_place_has_failed_there (const VpJobTask *task, const VpRosterWorker *worker, int64_t now_ms)
{
  return strcmp (task->failed_on, worker->entry.id) == 0
         && now_ms < task->not_before_ms + VP_PLACE_ELSEWHERE_MS;
}

typedef struct {
  VpPlaceSlot *slot;
  double score;
} VpPlaceChoice;

/* Takes @slot if the task can run there and no better one was found; of equal ones the first. */
static void
_vp_place_consider (const VpJobTask *task,
                    const VpQueueConf *queue,
                    VpPlaceSlot *slot,
                    int64_t now_ms,
                    VpPlaceChoice *best)
{
  const VpJobStep *step = task->step;
  VpResources room = _vp_place_room (step);
  double score;

  /* Most workers of a full cell lack the room, so that is looked at first. */
  if (!vp_resources_fits (&room, &slot->free) || !_vp_place_is_eligible (step, slot->worker)
      || !_vp_place_is_spread (step, slot->worker, 0)
      || _vp_place_has_failed_there (task, slot->worker, now_ms)
      || _vp_place_may_wait (step, slot->worker, &slot->free, now_ms))
    return;
  score = _vp_place_score (step, queue->priority == 0, slot->worker, &slot->free);
  if (best->slot == NULL || score < best->score || (score == best->score && slot < best->slot))
    *best = (VpPlaceChoice){ .slot = slot, .score = score };
}

/* The slot of the worker that the row names; NULL: it has none. */
static VpPlaceSlot *
_vp_place_slot_of (const VpPlacePool *pool, const VpAdviceRow *row)
{
  const VpRosterWorker *worker = vp_roster_find (pool->roster, row->worker);
  VpPlaceSlot *slot;

  if (worker == NULL || worker->born_ms != row->born_ms || worker->slot_index >= pool->slots->len)
    return NULL;
  slot = &g_array_index (pool->slots, VpPlaceSlot, worker->slot_index);
  return slot->worker == worker ? slot : NULL;
}

VpPlaceSlot *
vp_place_pick (const VpPlacePool *pool,
               const VpJobTask *task,
               const VpQueueConf *queue,
               int64_t now_ms)
{
  const VpJobStep *step = task->step;
  VpPlaceChoice best = { 0 };
  GHashTableIter iter;
  gpointer value;

  if (!queue->has_advice) {
    for (guint i = 0; i < pool->slots->len; i++)
      _vp_place_consider (task, queue, &g_array_index (pool->slots, VpPlaceSlot, i), now_ms, &best);
    return best.slot;
  }
  if (step->advice == NULL || _vp_place_lacks_tickets (step, queue, now_ms))
    return NULL;
  /* Tickets are few, while many workers may have room. */
  g_hash_table_iter_init (&iter, step->advice);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpAdviceRow *row = value;
    VpPlaceSlot *slot;
    if (!_vp_place_is_ticket (row, now_ms))
      continue;
    slot = _vp_place_slot_of (pool, row);
    if (slot != NULL)
      _vp_place_consider (task, queue, slot, now_ms, &best);
  }
  return best.slot;
}

/* Places all tasks of the step within the rack, or anywhere if @rack is negative. */
static bool
_vp_place_gang_in (const VpPlacePool *pool,
                   const VpJobStep *step,
                   const VpQueueConf *queue,
                   int32_t rack,
                   int64_t now_ms,
                   VpPlaceSlot **out)
{
  VpResources room = _vp_place_room (step);
  uint32_t placed = 0;

  for (guint i = 0; i < pool->slots->len && placed < step->spec->task_count; i++) {
    VpPlaceSlot *slot = &g_array_index (pool->slots, VpPlaceSlot, i);
    VpResources free = slot->free;
    uint32_t here = 0;
    if ((rack >= 0 && slot->worker->rack_index != (uint32_t)rack)
        || !_vp_place_is_eligible (step, slot->worker))
      continue;
    while (placed < step->spec->task_count && vp_resources_fits (&room, &free)
           && _vp_place_is_allowed (step, queue, slot->worker, here, now_ms)) {
      out[placed++] = slot;
      vp_resources_sub (&free, &room);
      here++;
    }
  }
  return placed == step->spec->task_count;
}

bool
vp_place_gang (const VpPlacePool *pool,
               const VpJobStep *step,
               const VpQueueConf *queue,
               int64_t now_ms,
               VpPlaceSlot **out)
{
  guint rack_count = g_hash_table_size (pool->roster->racks);

  if (_vp_place_lacks_tickets (step, queue, now_ms))
    return false;
  for (guint rack = 0; rack < rack_count; rack++) {
    if (_vp_place_gang_in (pool, step, queue, (int32_t)rack, now_ms, out))
      return true;
  }
  return (!step->spec->is_one_rack || now_ms - step->opened_ms > VP_PLACE_RACK_WAIT_MS)
         && _vp_place_gang_in (pool, step, queue, -1, now_ms, out);
}

/* How many tasks of the step the worker can take into @free. */
static uint32_t
_vp_place_capacity (const VpJobStep *step, const VpRosterWorker *worker, const VpResources *free)
{
  VpResources room = _vp_place_room (step);
  int64_t count = step->spec->task_count;

  if (room.cpu_milli > 0)
    count = MIN (count, free->cpu_milli / room.cpu_milli);
  if (room.mem_mib > 0)
    count = MIN (count, free->mem_mib / room.mem_mib);
  if (room.accel_count > 0)
    count = MIN (count, free->accel_count / room.accel_count);
  if (count > 0 && step->spec->spread_max > 0)
    count = MIN (count, (int64_t)step->spec->spread_max - _vp_place_count_here (step, worker));
  return (uint32_t)MAX (count, 0);
}

typedef struct {
  VpPlaceCandidate candidate;
  bool is_claimed; /* other calls are meant for all of its room */
  bool is_known;   /* allowed earlier; only its ticket has expired */
  bool is_far;
} VpPlaceOption;

static gint
_vp_place_compare (gconstpointer a, gconstpointer b)
{
  const VpPlaceOption *one = a;
  const VpPlaceOption *two = b;
  uint32_t one_capacity = one->candidate.capacity;
  uint32_t two_capacity = two->candidate.capacity;

  if (one->is_claimed != two->is_claimed)
    return one->is_claimed ? 1 : -1;
  if (one->is_known != two->is_known)
    return one->is_known ? -1 : 1;
  if (one->is_far != two->is_far)
    return one->is_far ? 1 : -1;
  return one_capacity == two_capacity ? 0 : one_capacity > two_capacity ? -1 : 1;
}

/* Takes the room that other calls are meant for off the option, unless that is all of it. */
static void
_vp_place_heed_claim (const VpJobStep *step,
                      const VpPlaceSlot *slot,
                      const VpResources *claim,
                      VpPlaceOption *option)
{
  VpResources free = slot->free;
  uint32_t capacity;

  vp_resources_sub (&free, claim);
  capacity = _vp_place_capacity (step, slot->worker, &free);
  option->is_claimed = capacity == 0;
  if (capacity > 0)
    option->candidate.capacity = capacity;
}

void
vp_place_candidates (const VpPlacePool *pool,
                     const VpJobStep *step,
                     double good_share,
                     GHashTable *claims,
                     int64_t now_ms,
                     GArray *out)
{
  g_autoptr (GArray) options = g_array_new (FALSE, FALSE, sizeof (VpPlaceOption));
  double wanted = (double)step->waiting_count * VP_PLACE_ASK_FACTOR;

  for (guint i = 0; i < pool->slots->len; i++) {
    const VpPlaceSlot *slot = &g_array_index (pool->slots, VpPlaceSlot, i);
    VpPlaceOption option
        = { .candidate = { .worker = slot->worker,
                           .capacity = _vp_place_capacity (step, slot->worker, &slot->free) } };
    const VpResources *claim;
    if (option.candidate.capacity == 0 || !_vp_place_is_eligible (step, slot->worker)
        || _vp_place_is_ruled_out (step, slot->worker)
        || vp_place_ticket (step, slot->worker, now_ms) != NULL)
      continue;
    claim = g_hash_table_lookup (claims, slot->worker->entry.id);
    if (claim != NULL)
      _vp_place_heed_claim (step, slot, claim, &option);
    option.is_known
        = step->advice != NULL && g_hash_table_contains (step->advice, slot->worker->entry.id);
    option.is_far = _vp_place_is_far (step->spec, slot->worker);
    g_array_append_val (options, option);
  }
  g_array_sort (options, _vp_place_compare);
  for (guint i = 0; i < options->len && i < VP_PLACE_ASK_MAX; i++) {
    const VpPlaceOption *option = &g_array_index (options, VpPlaceOption, i);
    if (wanted <= 0 && i >= VP_PLACE_ASK_MIN)
      break;
    g_array_append_val (out, option->candidate);
    wanted -= option->candidate.capacity * (option->is_known ? 1.0 : good_share);
  }
}
