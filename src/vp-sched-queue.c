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
_vp_heap_up (VpHeap *heap, uint32_t at, VpHeapItem item)
{
  while (at > 0 && _vp_heap_is_before (&item, &heap->items[(at - 1) / 2])) {
    heap->items[at] = heap->items[(at - 1) / 2];
    *_vp_heap_index (heap, heap->items[at].item) = at;
    at = (at - 1) / 2;
  }
  heap->items[at] = item;
  *_vp_heap_index (heap, item.item) = at;
}

static void
_vp_heap_down (VpHeap *heap, uint32_t at, VpHeapItem item)
{
  for (;;) {
    uint32_t child = 2 * at + 1;

    if (child >= heap->count)
      break;
    if (child + 1 < heap->count
        && _vp_heap_is_before (&heap->items[child + 1], &heap->items[child]))
      child++;
    if (!_vp_heap_is_before (&heap->items[child], &item))
      break;
    heap->items[at] = heap->items[child];
    *_vp_heap_index (heap, heap->items[at].item) = at;
    at = child;
  }
  heap->items[at] = item;
  *_vp_heap_index (heap, item.item) = at;
}

void
_vp_heap_push (VpHeap *heap, void *item, int64_t key, uint64_t tie)
{
  if (heap->count == heap->capacity) {
    heap->capacity = heap->capacity == 0 ? 4 : heap->capacity * 2;
    heap->items = g_renew (VpHeapItem, heap->items, heap->capacity);
  }
  _vp_heap_up (heap, heap->count++, (VpHeapItem){ key, tie, item });
}

void
_vp_heap_remove (VpHeap *heap, void *item)
{
  uint32_t at = *_vp_heap_index (heap, item);
  VpHeapItem last;

  if (at == VP_HEAP_NONE)
    return;
  *_vp_heap_index (heap, item) = VP_HEAP_NONE;
  last = heap->items[--heap->count];
  if (at == heap->count)
    return;
  if (at > 0 && _vp_heap_is_before (&last, &heap->items[(at - 1) / 2]))
    _vp_heap_up (heap, at, last);
  else
    _vp_heap_down (heap, at, last);
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
  const VpClass *class = key;

  return g_direct_hash (class->profile) * 31 + g_direct_hash (class->shape);
}

gboolean
_vp_class_equal (gconstpointer a, gconstpointer b)
{
  const VpClass *left = a, *right = b;

  return left->profile == right->profile && left->shape == right->shape;
}

/* Rounds down to a quarter of a power of two; @lower is the smallest value that rounds alike. */
static uint32_t
_vp_sched_round (int64_t value, int64_t *lower)
{
  uint32_t octave;

  *lower = value;
  if (value < 8)
    return (uint32_t)value;
  octave = 63 - (uint32_t)__builtin_clzll ((unsigned long long)value);
  *lower = (value >> (octave - 2)) << (octave - 2);
  return octave * 4 + (uint32_t)((value >> (octave - 2)) & 3);
}

static VpShapeKey
_vp_sched_shape_key (const VpResources *size,
                     VpProfileKind kind,
                     uint32_t task_count,
                     VpResources *lower)
{
  VpShapeKey key = { .accel = (uint32_t)size->accel_count };

  *lower = (VpResources){ .accel_count = size->accel_count };
  key.cpu = _vp_sched_round (size->cpu_milli, &lower->cpu_milli);
  key.mem = _vp_sched_round (size->mem_mib, &lower->mem_mib);
  key.gang = kind == VP_PROFILE_GANG && task_count > 1 ? task_count : 0;
  return key;
}

static VpShape *
_vp_sched_shape (VpSched *sched, const VpJob *job)
{
  VpResources lower;
  VpShapeKey key = _vp_sched_shape_key (
      &job->size, job->is_gang ? VP_PROFILE_GANG : VP_PROFILE_BATCH, job->member_count, &lower);
  VpShape *shape = g_hash_table_lookup (sched->shapes, &key);

  if (shape == NULL) {
    shape = g_new0 (VpShape, 1);
    shape->key = key;
    shape->lower = lower;
    shape->blocked_index = VP_HEAP_NONE;
    g_hash_table_insert (sched->shapes, &shape->key, shape);
  }
  return shape;
}

static VpClass **
_vp_sched_class_list (VpClass *class)
{
  return class->state == VP_CLASS_UNFIT ? &class->shape->waiting : &class->team->over_grant;
}

void
_vp_sched_class_set_state (VpSched *sched, VpClass *class, VpClassState state)
{
  const VpJob *head = _vp_sched_class_head (class);

  if (class->shape->key.accel > 0) {
    sched->accel_classes -= class->state == VP_CLASS_READY || class->state == VP_CLASS_UNFIT;
    sched->accel_classes += state == VP_CLASS_READY || state == VP_CLASS_UNFIT;
  }
  if (class->state == VP_CLASS_READY) {
    _vp_heap_remove (&class->team->order[class->band], class);
  } else if (class->state != VP_CLASS_EMPTY) {
    VpClass **list = _vp_sched_class_list (class);

    *(class->previous != NULL ? &class->previous->next : list) = class->next;
    if (class->next != NULL)
      class->next->previous = class->previous;
  }
  class->next = class->previous = NULL;
  class->state = state;
  if (state == VP_CLASS_READY) {
    _vp_heap_push (&class->team->order[class->band], class, head->key, head->sequence);
  } else if (state != VP_CLASS_EMPTY) {
    VpClass **list = _vp_sched_class_list (class);

    class->next = *list;
    if (*list != NULL)
      (*list)->previous = class;
    *list = class;
  }
}

VpJob *
_vp_sched_class_head (const VpClass *class)
{
  return _vp_heap_top (&class->queue);
}

static uint32_t
_vp_sched_band (const VpSched *sched, const VpProfileState *profile)
{
  bool is_urgent = profile->profile.kind == VP_PROFILE_SERVICE
                   && profile->profile.priority >= VP_SCHED_URGENT_PRIORITY;

  return is_urgent && !sched->desc.is_fifo ? VP_BAND_URGENT : VP_BAND_REST;
}

static VpClass *
_vp_sched_class (VpSched *sched, const VpJob *job, int64_t now_ms)
{
  VpClass key = { .profile = job->profile, .shape = _vp_sched_shape (sched, job) };
  VpClass *class = g_hash_table_lookup (job->team->classes, &key);

  if (class == NULL) {
    class = g_new (VpClass, 1);
    *class = key;
    class->team = job->team;
    class->band = _vp_sched_band (sched, job->profile);
    class->order_index = VP_HEAP_NONE;
    class->window_ms = now_ms;
    class->shape->refs++;
    _vp_heap_init (&class->queue, offsetof (VpJob, queue_index));
    g_hash_table_add (job->team->classes, class);
  }
  return class;
}

static void
_vp_sched_class_free (VpSched *sched, VpClass *class)
{
  VpShape *shape = class->shape;

  g_hash_table_remove (class->team->classes, class);
  _vp_heap_clear (&class->queue);
  g_free (class);
  if (--shape->refs == 0) {
    _vp_sched_shape_unblock (sched, shape);
    g_hash_table_remove (sched->shapes, &shape->key);
    g_free (shape);
  }
}

void
_vp_sched_enqueue (VpSched *sched, VpJob *job, int64_t now_ms)
{
  VpClass *class = _vp_sched_class (sched, job, now_ms);

  /* Not after an expired reservation, so that work that never fits keeps nothing for long. */
  if (class->shape->key.accel > 0 && sched->accel_classes == 0 && job->blocked_ms == 0)
    sched->accel_ms = now_ms;
  job->class = class;
  job->wait = VP_WAIT_QUEUE;
  job->key = job->arrived_ms;
  if (!sched->desc.is_fifo)
    job->key -= (int64_t)job->profile->profile.priority * VP_SCHED_AGE_MS_PER_PRIORITY;
  _vp_heap_push (&class->queue, job, job->key, job->sequence);
  /* Only a new first job can change whether the class may be placed. */
  if (_vp_sched_class_head (class) == job)
    _vp_sched_class_set_state (sched, class, VP_CLASS_READY);
}

void
_vp_sched_dequeue (VpSched *sched, VpJob *job)
{
  VpClass *class = job->class;

  if (job->team->holder == job)
    job->team->holder = NULL;
  if (job->wait == VP_WAIT_DELAY) {
    _vp_heap_remove (&sched->delays, job);
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
  job->wait = VP_WAIT_NOT;
}

void
_vp_sched_shape_block (VpSched *sched, VpShape *shape, const VpResources *failed, int64_t now_ms)
{
  shape->failed = *failed;
  shape->retry_ms = shape->key.gang > 1 ? now_ms + VP_SCHED_GANG_RETRY_MS : 0;
  shape->is_freed = false;
  if (shape->blocked_index != VP_HEAP_NONE)
    return;
  shape->blocked_index = sched->blocked->len;
  g_ptr_array_add (sched->blocked, shape);
}

void
_vp_sched_shape_unblock (VpSched *sched, VpShape *shape)
{
  if (shape->blocked_index != VP_HEAP_NONE) {
    VpShape *last = g_ptr_array_index (sched->blocked, sched->blocked->len - 1);

    last->blocked_index = shape->blocked_index;
    g_ptr_array_remove_index_fast (sched->blocked, shape->blocked_index);
    shape->blocked_index = VP_HEAP_NONE;
  }
  while (shape->waiting != NULL)
    _vp_sched_class_set_state (sched, shape->waiting, VP_CLASS_READY);
}

bool
_vp_sched_is_accel_guarded (const VpSched *sched, int64_t now_ms)
{
  return sched->accel_classes > 0 && now_ms - sched->accel_ms < VP_SCHED_ACCEL_GUARD_MS
         && !sched->desc.is_first_fit;
}

/* Moves the windows of starts on to the present one. */
static void
_vp_sched_class_window (VpClass *class, int64_t now_ms)
{
  int64_t passed = (now_ms - class->window_ms) / VP_SCHED_WINDOW_MS;

  if (passed <= 0)
    return;
  class->last_starts = passed == 1 ? class->starts : 0;
  class->has_last = true;
  class->starts = 0;
  class->window_ms += passed * VP_SCHED_WINDOW_MS;
}

void
_vp_sched_count_start (VpSched *sched, VpClass *class, int64_t now_ms)
{
  if (class->shape->key.accel > 0)
    sched->accel_ms = now_ms;
  _vp_sched_class_window (class, now_ms);
  class->starts++;
}

int64_t
_vp_sched_expected_wait_ms (const VpSched *sched, const VpSchedJob *job, int64_t now_ms)
{
  const VpTeamState *team = g_hash_table_lookup (sched->teams, job->team);
  VpProfileState *profile = g_hash_table_lookup (sched->profiles, job->profile);
  VpResources lower;
  VpShapeKey shape_key
      = _vp_sched_shape_key (&job->size, profile->profile.kind, job->task_count, &lower);
  VpClass key = { .profile = profile };
  VpClass *class;
  uint32_t starts;

  key.shape = g_hash_table_lookup (sched->shapes, &shape_key);
  class = key.shape != NULL ? g_hash_table_lookup (team->classes, &key) : NULL;
  if (class == NULL)
    return 0;
  _vp_sched_class_window (class, now_ms);
  if (!class->has_last)
    return 0;
  starts = MAX (class->last_starts, class->starts);
  return (int64_t) class->queue.count * VP_SCHED_WINDOW_MS / MAX (starts, 1);
}

bool
_vp_sched_unblock_dirty (VpSched *sched, int64_t now_ms)
{
  bool is_room = false;

  for (guint i = 0; i < sched->dirty->len; i++) {
    VpWorkerState *worker = g_ptr_array_index (sched->dirty, i);

    worker->is_dirty = false;
    if (!vp_fit_is_open (sched->fit, worker->fit))
      continue;
    is_room = true;
    for (guint j = 0; j < sched->blocked->len; j++) {
      VpShape *shape = g_ptr_array_index (sched->blocked, j);

      if (!shape->is_freed)
        shape->is_freed = vp_fit_has_room (sched->fit, worker->fit, &shape->lower);
    }
  }
  g_ptr_array_set_size (sched->dirty, 0);
  if (sched->has_guarded && !_vp_sched_is_accel_guarded (sched, now_ms)) {
    sched->has_guarded = false;
    for (guint j = 0; j < sched->blocked->len; j++)
      ((VpShape *)g_ptr_array_index (sched->blocked, j))->is_freed = true;
  }
  /* From the end, since unblocking moves the last one to the place of the one removed. */
  for (guint j = sched->blocked->len; j-- > 0;) {
    VpShape *shape = g_ptr_array_index (sched->blocked, j);

    if (shape->is_freed && now_ms >= shape->retry_ms)
      _vp_sched_shape_unblock (sched, shape);
  }
  return is_room;
}

void
_vp_sched_unblock_team (VpSched *sched, VpTeamState *team)
{
  while (team->over_grant != NULL)
    _vp_sched_class_set_state (sched, team->over_grant, VP_CLASS_READY);
}
