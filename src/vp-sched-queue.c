#include "vp-sched-private.h"

#include <string.h>

void
_vp_heap_init (VpHeap *heap, size_t offset)
{
  *heap = (VpHeap){ .offset = offset };
}

void
_vp_heap_clear (VpHeap *heap)
{
  g_clear_pointer (&heap->items, g_free);
  heap->count = heap->capacity = 0;
}

static inline uint32_t *
_vp_heap_index (const VpHeap *heap, void *item)
{
  return (uint32_t *)(void *)((char *)item + heap->offset);
}

static inline bool
_vp_heap_is_before (const VpHeapItem *a, const VpHeapItem *b)
{
  return a->key < b->key || (a->key == b->key && a->tie < b->tie);
}

static void
_vp_heap_sift_up (VpHeap *heap, uint32_t position, VpHeapItem item)
{
  while (position > 0 && _vp_heap_is_before (&item, &heap->items[(position - 1) / 2])) {
    heap->items[position] = heap->items[(position - 1) / 2];
    *_vp_heap_index (heap, heap->items[position].item) = position;
    position = (position - 1) / 2;
  }
  heap->items[position] = item;
  *_vp_heap_index (heap, item.item) = position;
}

static void
_vp_heap_sift_down (VpHeap *heap, uint32_t position, VpHeapItem item)
{
  for (;;) {
    uint32_t child = 2 * position + 1;

    if (child >= heap->count)
      break;
    if (child + 1 < heap->count
        && _vp_heap_is_before (&heap->items[child + 1], &heap->items[child]))
      child++;
    if (!_vp_heap_is_before (&heap->items[child], &item))
      break;
    heap->items[position] = heap->items[child];
    *_vp_heap_index (heap, heap->items[position].item) = position;
    position = child;
  }
  heap->items[position] = item;
  *_vp_heap_index (heap, item.item) = position;
}

void
_vp_heap_push (VpHeap *heap, void *item, int64_t key, uint64_t tie)
{
  if (heap->count == heap->capacity) {
    heap->capacity = heap->capacity == 0 ? 4 : heap->capacity * 2;
    heap->items = g_renew (VpHeapItem, heap->items, heap->capacity);
  }
  _vp_heap_sift_up (heap, heap->count++, (VpHeapItem){ key, tie, item });
}

void
_vp_heap_remove (VpHeap *heap, void *item)
{
  uint32_t position = *_vp_heap_index (heap, item);
  VpHeapItem last;

  if (position == VP_HEAP_NONE)
    return;
  *_vp_heap_index (heap, item) = VP_HEAP_NONE;
  last = heap->items[--heap->count];
  if (position == heap->count)
    return;
  if (position > 0 && _vp_heap_is_before (&last, &heap->items[(position - 1) / 2]))
    _vp_heap_sift_up (heap, position, last);
  else
    _vp_heap_sift_down (heap, position, last);
}

void *
_vp_heap_top (const VpHeap *heap)
{
  return heap->count > 0 ? heap->items[0].item : NULL;
}

int64_t
_vp_heap_top_key (const VpHeap *heap)
{
  return heap->count > 0 ? heap->items[0].key : INT64_MAX;
}

guint
_vp_shape_hash (gconstpointer key)
{
  const VpShapeKey *shape = key;

  return ((shape->cpu * 131 + shape->mem) * 131 + shape->accel) * 131 + shape->gang;
}

gboolean
_vp_shape_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (VpShapeKey)) == 0;
}

guint
_vp_class_hash (gconstpointer key)
{
  const VpJobClass *class = key;

  return g_direct_hash (class->profile) * 31 + g_direct_hash (class->shape);
}

gboolean
_vp_class_equal (gconstpointer a, gconstpointer b)
{
  const VpJobClass *left = a, *right = b;

  return left->profile == right->profile && left->shape == right->shape;
}

/* Rounds down to a quarter of a power of two and returns the number of that step. @min_size is the
 * smallest value that is rounded to the same step. */
static uint32_t
_vp_sched_round_amount (int64_t value, int64_t *min_size)
{
  uint32_t exponent;

  *min_size = value;
  if (value < 8)
    return (uint32_t)value;
  exponent = 63 - (uint32_t)__builtin_clzll ((unsigned long long)value);
  *min_size = (value >> (exponent - 2)) << (exponent - 2);
  return exponent * 4 + (uint32_t)((value >> (exponent - 2)) & 3);
}

static VpShapeKey
_vp_sched_shape_key (const VpResources *size,
                     VpProfileKind kind,
                     uint32_t task_count,
                     VpResources *min_size)
{
  VpShapeKey key = { .accel = (uint32_t)size->accel_count };

  *min_size = (VpResources){ .accel_count = size->accel_count };
  key.cpu = _vp_sched_round_amount (size->cpu_milli, &min_size->cpu_milli);
  key.mem = _vp_sched_round_amount (size->mem_mib, &min_size->mem_mib);
  key.gang = kind == VP_PROFILE_GANG && task_count > 1 ? task_count : 0;
  return key;
}

static VpShape *
_vp_sched_shape (VpSched *sched, const VpJob *job)
{
  VpResources min_size;
  VpShapeKey key = _vp_sched_shape_key (
      &job->size, job->is_gang ? VP_PROFILE_GANG : VP_PROFILE_BATCH, job->member_count, &min_size);
  VpShape *shape = g_hash_table_lookup (sched->shapes, &key);

  if (shape == NULL) {
    shape = g_new0 (VpShape, 1);
    shape->key = key;
    shape->min_size = min_size;
    shape->blocked_index = VP_HEAP_NONE;
    g_hash_table_insert (sched->shapes, &shape->key, shape);
  }
  return shape;
}

static VpJobClass **
_vp_sched_class_list (VpJobClass *class)
{
  return class->state == VP_CLASS_NO_CAPACITY ? &class->shape->waiting_classes
                                              : &class->team->over_grant_classes;
}

void
_vp_sched_class_set_state (VpSched *sched, VpJobClass *class, VpJobClassState state)
{
  const VpJob *head = _vp_sched_class_head (class);

  if (class->shape->key.accel > 0) {
    sched->accel_class_count
        -= class->state == VP_CLASS_READY || class->state == VP_CLASS_NO_CAPACITY;
    sched->accel_class_count += state == VP_CLASS_READY || state == VP_CLASS_NO_CAPACITY;
  }
  if (class->state == VP_CLASS_READY) {
    _vp_heap_remove (&class->team->ready_classes[class->band], class);
  } else if (class->state != VP_CLASS_EMPTY) {
    VpJobClass **list = _vp_sched_class_list (class);

    *(class->previous != NULL ? &class->previous->next : list) = class->next;
    if (class->next != NULL)
      class->next->previous = class->previous;
  }
  class->next = class->previous = NULL;
  class->state = state;
  if (state == VP_CLASS_READY) {
    _vp_heap_push (&class->team->ready_classes[class->band], class, head->key, head->sequence);
  } else if (state != VP_CLASS_EMPTY) {
    VpJobClass **list = _vp_sched_class_list (class);

    class->next = *list;
    if (*list != NULL)
      (*list)->previous = class;
    *list = class;
  }
}

VpJob *
_vp_sched_class_head (const VpJobClass *class)
{
  return _vp_heap_top (&class->queue);
}

static uint32_t
_vp_sched_band (const VpSched *sched, const VpProfileState *profile)
{
  bool is_urgent = profile->profile.kind == VP_PROFILE_SERVICE
                   && profile->profile.priority >= VP_SCHED_URGENT_PRIORITY;

  return is_urgent && !sched->desc.is_fifo ? VP_BAND_URGENT : VP_BAND_NORMAL;
}

static VpJobClass *
_vp_sched_class (VpSched *sched, const VpJob *job, int64_t now_ms)
{
  VpJobClass key = { .profile = job->profile, .shape = _vp_sched_shape (sched, job) };
  VpJobClass *class = g_hash_table_lookup (job->team->classes, &key);

  if (class == NULL) {
    class = g_new (VpJobClass, 1);
    *class = key;
    class->team = job->team;
    class->band = _vp_sched_band (sched, job->profile);
    class->ready_index = VP_HEAP_NONE;
    class->window_start_ms = now_ms;
    class->shape->ref_count++;
    _vp_heap_init (&class->queue, offsetof (VpJob, queue_index));
    g_hash_table_add (job->team->classes, class);
  }
  return class;
}

static void
_vp_sched_class_free (VpSched *sched, VpJobClass *class)
{
  VpShape *shape = class->shape;

  g_hash_table_remove (class->team->classes, class);
  _vp_heap_clear (&class->queue);
  g_free (class);
  if (--shape->ref_count == 0) {
    _vp_sched_shape_unblock (sched, shape);
    g_hash_table_remove (sched->shapes, &shape->key);
    g_free (shape);
  }
}

void
_vp_sched_enqueue (VpSched *sched, VpJob *job, int64_t now_ms)
{
  VpJobClass *class = _vp_sched_class (sched, job, now_ms);

  /* A job whose reservation expired (blocked_since_ms is set) does not restart the reservation of
   * accelerators, so that a job that never fits does not keep them idle for long. */
  if (class->shape->key.accel > 0 && sched->accel_class_count == 0 && job->blocked_since_ms == 0)
    sched->accel_progress_ms = now_ms;
  job->class = class;
  job->wait = VP_WAIT_QUEUE;
  job->key = job->arrived_ms;
  if (!sched->desc.is_fifo)
    job->key -= (int64_t)job->profile->profile.priority * VP_SCHED_ADVANCE_MS_PER_PRIORITY;
  _vp_heap_push (&class->queue, job, job->key, job->sequence);
  /* Only a new first job changes whether the class can be placed. */
  if (_vp_sched_class_head (class) == job)
    _vp_sched_class_set_state (sched, class, VP_CLASS_READY);
}

void
_vp_sched_dequeue (VpSched *sched, VpJob *job)
{
  VpJobClass *class = job->class;

  if (job->team->blocking_job == job)
    job->team->blocking_job = NULL;
  if (job->wait == VP_WAIT_RETRY_DELAY) {
    _vp_heap_remove (&sched->retry_delays, job);
  } else if (job->wait == VP_WAIT_QUEUE) {
    bool was_head = _vp_sched_class_head (class) == job;

    _vp_heap_remove (&class->queue, job);
    job->class = NULL;
    if (class->queue.count == 0) {
      _vp_sched_class_set_state (sched, class, VP_CLASS_EMPTY);
      _vp_sched_class_free (sched, class);
    } else if (was_head) {
      _vp_sched_class_set_state (sched, class, VP_CLASS_READY);
    }
  }
  job->wait = VP_WAIT_NONE;
}

void
_vp_sched_shape_block (VpSched *sched, VpShape *shape, const VpResources *failed, int64_t now_ms)
{
  shape->failed_size = *failed;
  shape->retry_ms = shape->key.gang > 1 ? now_ms + VP_SCHED_GANG_RETRY_MS : 0;
  shape->has_freed_capacity = false;
  if (shape->blocked_index != VP_HEAP_NONE)
    return;
  shape->blocked_index = sched->blocked_shapes->len;
  g_ptr_array_add (sched->blocked_shapes, shape);
}

void
_vp_sched_shape_unblock (VpSched *sched, VpShape *shape)
{
  if (shape->blocked_index != VP_HEAP_NONE) {
    VpShape *last = g_ptr_array_index (sched->blocked_shapes, sched->blocked_shapes->len - 1);

    last->blocked_index = shape->blocked_index;
    g_ptr_array_remove_index_fast (sched->blocked_shapes, shape->blocked_index);
    shape->blocked_index = VP_HEAP_NONE;
  }
  while (shape->waiting_classes != NULL)
    _vp_sched_class_set_state (sched, shape->waiting_classes, VP_CLASS_READY);
}

bool
_vp_sched_are_accels_reserved (const VpSched *sched, int64_t now_ms)
{
  return sched->accel_class_count > 0
         && now_ms - sched->accel_progress_ms < VP_SCHED_ACCEL_RESERVE_MS
         && !sched->desc.is_first_fit;
}

/* Advances the windows in which starts are counted to the current time. */
static void
_vp_sched_class_advance_window (VpJobClass *class, int64_t now_ms)
{
  int64_t passed = (now_ms - class->window_start_ms) / VP_SCHED_START_WINDOW_MS;

  if (passed <= 0)
    return;
  class->previous_starts = passed == 1 ? class->window_starts : 0;
  class->has_previous_window = true;
  class->window_starts = 0;
  class->window_start_ms += passed * VP_SCHED_START_WINDOW_MS;
}

void
_vp_sched_count_start (VpSched *sched, VpJobClass *class, int64_t now_ms)
{
  if (class->shape->key.accel > 0)
    sched->accel_progress_ms = now_ms;
  _vp_sched_class_advance_window (class, now_ms);
  class->window_starts++;
}

int64_t
_vp_sched_expected_wait_ms (const VpSched *sched, const VpJobSpec *spec, int64_t now_ms)
{
  const VpTeamState *team = g_hash_table_lookup (sched->teams, spec->team);
  VpProfileState *profile = g_hash_table_lookup (sched->profiles, spec->profile);
  VpResources min_size;
  VpShapeKey shape_key
      = _vp_sched_shape_key (&spec->size, profile->profile.kind, spec->task_count, &min_size);
  VpJobClass key = { .profile = profile };
  VpJobClass *class;
  uint32_t starts;

  key.shape = g_hash_table_lookup (sched->shapes, &shape_key);
  class = key.shape != NULL ? g_hash_table_lookup (team->classes, &key) : NULL;
  if (class == NULL)
    return 0;
  _vp_sched_class_advance_window (class, now_ms);
  if (!class->has_previous_window)
    return 0;
  starts = MAX (class->previous_starts, class->window_starts);
  return (int64_t) class->queue.count * VP_SCHED_START_WINDOW_MS / MAX (starts, 1);
}

bool
_vp_sched_unblock_freed (VpSched *sched, int64_t now_ms)
{
  bool has_freed_workers = false;

  for (guint i = 0; i < sched->freed_workers->len; i++) {
    VpWorkerState *worker = g_ptr_array_index (sched->freed_workers, i);

    worker->has_freed_capacity = false;
    if (!vp_capacity_index_is_open (sched->capacity, worker->index_id))
      continue;
    has_freed_workers = true;
    for (guint j = 0; j < sched->blocked_shapes->len; j++) {
      VpShape *shape = g_ptr_array_index (sched->blocked_shapes, j);

      if (!shape->has_freed_capacity)
        shape->has_freed_capacity
            = vp_capacity_index_fits (sched->capacity, worker->index_id, &shape->min_size);
    }
  }
  g_ptr_array_set_size (sched->freed_workers, 0);
  if (sched->has_accel_blocked && !_vp_sched_are_accels_reserved (sched, now_ms)) {
    sched->has_accel_blocked = false;
    for (guint j = 0; j < sched->blocked_shapes->len; j++)
      ((VpShape *)g_ptr_array_index (sched->blocked_shapes, j))->has_freed_capacity = true;
  }
  /* Iterates from the end, since unblocking a shape moves the last one to its index. */
  for (guint j = sched->blocked_shapes->len; j-- > 0;) {
    VpShape *shape = g_ptr_array_index (sched->blocked_shapes, j);

    if (shape->has_freed_capacity && now_ms >= shape->retry_ms)
      _vp_sched_shape_unblock (sched, shape);
  }
  return has_freed_workers;
}

void
_vp_sched_unblock_team (VpSched *sched, VpTeamState *team)
{
  while (team->over_grant_classes != NULL)
    _vp_sched_class_set_state (sched, team->over_grant_classes, VP_CLASS_READY);
}
