#include "vp-store-executor.h"
#include "vp-metrics.h"
#include "vp-store.h"

#include <string.h>

/* A process watches the configuration, the grants and the ownership of its DC. The limit leaves
 * room for more. */
#define VP_STORE_EXECUTOR_WATCHES_MAX 16

/* Operations that are executed in order on one thread. */
typedef struct {
  VpStoreExecutor *executor;
  GQueue ops; /* VpStoreOp */
  pthread_cond_t pushed;
  bool has_thread;
  bool is_watch;
  VpModule module;            /* watches: the module that watches the key */
  char key[VP_STORE_KEY_MAX]; /* watches: the watched key */
} VpStoreQueue;

struct _VpStoreExecutor {
  VpThreadGroup group;
  char **addresses;
  VpStoreQueue lease_queue;
  VpStoreQueue value_queues[VP_MODULE_COUNT];
  VpStoreQueue watch_queues[VP_STORE_EXECUTOR_WATCHES_MAX];
  uint32_t watch_count;
};

static void
_vp_store_executor_op_free (gpointer data)
{
  VpStoreOp *op = data;

  g_clear_pointer (&op->value, g_bytes_unref);
  g_free (op);
}

static void
_vp_store_executor_count (const VpStoreResult *result)
{
  switch (result->kind) {
  case VP_STORE_GET:
    vp_metrics_add (VP_COUNTER_STORE_READS, 1);
    break;
  case VP_STORE_WATCH:
    vp_metrics_add (VP_COUNTER_STORE_WATCHES, 1);
    break;
  case VP_STORE_CAS:
  case VP_STORE_DELETE:
  case VP_STORE_LEASE_GRANT:
  case VP_STORE_LEASE_RENEW:
  case VP_STORE_LEASE_REVOKE:
    vp_metrics_add (VP_COUNTER_STORE_WRITES, 1);
    break;
  }
  if (result->status == VP_STORE_UNAVAILABLE)
    vp_metrics_add (VP_COUNTER_STORE_UNAVAILABLE, 1);
  else if (result->status == VP_STORE_UNKNOWN)
    vp_metrics_add (VP_COUNTER_STORE_UNKNOWN, 1);
}

/* Waits for the next operation of the queue. Returns NULL when the group stops. */
static VpStoreOp *
_vp_store_queue_take (VpStoreQueue *queue)
{
  VpThreadGroup *group = &queue->executor->group;
  VpStoreOp *op = NULL;

  pthread_mutex_lock (&group->lock);
  while (!group->is_stopping && queue->ops.length == 0)
    pthread_cond_wait (&queue->pushed, &group->lock);
  if (!group->is_stopping)
    op = g_queue_pop_head (&queue->ops);
  pthread_mutex_unlock (&group->lock);
  return op;
}

static void
_vp_store_queue_main (void *data)
{
  VpStoreQueue *queue = data;
  VpStore *store = vp_store_http_new ((const char *const *)queue->executor->addresses);
  VpStoreOp *op;

  while ((op = _vp_store_queue_take (queue)) != NULL) {
    VpEvent event = { .kind = VP_EVENT_STORE_RESULT };
    vp_store_call (store, op, &event.store);
    _vp_store_executor_count (&event.store);
    vp_thread_group_post (&queue->executor->group, &event);
    _vp_store_executor_op_free (op);
  }
  vp_store_free (store);
}

static void
_vp_store_queue_setup (VpStoreQueue *queue, VpStoreExecutor *executor)
{
  queue->executor = executor;
  g_queue_init (&queue->ops);
  vp_sync_cond_setup (&queue->pushed);
}

VpStoreExecutor *
vp_store_executor_setup (const char *const *addresses, VpPostFunc post, void *data)
{
  VpStoreExecutor *executor = g_new0 (VpStoreExecutor, 1);

  vp_thread_group_setup (&executor->group, post, data);
  executor->addresses = g_strdupv ((char **)addresses);
  _vp_store_queue_setup (&executor->lease_queue, executor);
  for (guint i = 0; i < VP_MODULE_COUNT; i++)
    _vp_store_queue_setup (&executor->value_queues[i], executor);
  return executor;
}

/* Returns the queue of a watched key. If all queues are in use, the watch shares one and may wait
 * behind another watch. */
static VpStoreQueue *
_vp_store_executor_watch_queue (VpStoreExecutor *executor, const VpStoreOp *op)
{
  VpStoreQueue *queue;

  for (uint32_t i = 0; i < executor->watch_count; i++) {
    queue = &executor->watch_queues[i];
    if (queue->module == op->module && strcmp (queue->key, op->key) == 0)
      return queue;
  }
  if (executor->watch_count == VP_STORE_EXECUTOR_WATCHES_MAX)
    return &executor->watch_queues[g_str_hash (op->key) % VP_STORE_EXECUTOR_WATCHES_MAX];
  queue = &executor->watch_queues[executor->watch_count++];
  _vp_store_queue_setup (queue, executor);
  queue->module = op->module;
  g_strlcpy (queue->key, op->key, sizeof queue->key);
  return queue;
}

static VpStoreQueue *
_vp_store_executor_queue (VpStoreExecutor *executor, const VpStoreOp *op)
{
  switch (op->kind) {
  case VP_STORE_WATCH:
    return _vp_store_executor_watch_queue (executor, op);
  case VP_STORE_LEASE_GRANT:
  case VP_STORE_LEASE_RENEW:
  case VP_STORE_LEASE_REVOKE:
    return &executor->lease_queue;
  case VP_STORE_GET:
  case VP_STORE_CAS:
  case VP_STORE_DELETE:
    break;
  }
  return &executor->value_queues[op->module];
}

void
vp_store_executor_push (VpStoreExecutor *executor, const VpStoreOp *op)
{
  VpStoreQueue *queue = _vp_store_executor_queue (executor, op);
  VpStoreOp *copy = g_memdup2 (op, sizeof *op);

  if (copy->value != NULL)
    g_bytes_ref (copy->value);
  if (!queue->has_thread)
    queue->has_thread = vp_thread_group_start (&executor->group, _vp_store_queue_main, queue);
  pthread_mutex_lock (&executor->group.lock);
  g_queue_push_tail (&queue->ops, copy);
  pthread_cond_signal (&queue->pushed);
  pthread_mutex_unlock (&executor->group.lock);
}

static void
_vp_store_queue_wake (VpStoreQueue *queue)
{
  if (queue->executor != NULL)
    pthread_cond_broadcast (&queue->pushed);
}

static void
_vp_store_queue_clear (VpStoreQueue *queue)
{
  if (queue->executor == NULL)
    return;
  g_queue_clear_full (&queue->ops, _vp_store_executor_op_free);
  pthread_cond_destroy (&queue->pushed);
}

static void
_vp_store_executor_foreach_queue (VpStoreExecutor *executor, void (*visit) (VpStoreQueue *queue))
{
  visit (&executor->lease_queue);
  for (guint i = 0; i < VP_MODULE_COUNT; i++)
    visit (&executor->value_queues[i]);
  for (guint i = 0; i < VP_STORE_EXECUTOR_WATCHES_MAX; i++)
    visit (&executor->watch_queues[i]);
}

void
vp_store_executor_shutdown (VpStoreExecutor *executor, int64_t end_us)
{
  if (executor == NULL)
    return;
  vp_thread_group_request_stop (&executor->group);
  _vp_store_executor_foreach_queue (executor, _vp_store_queue_wake);
  if (!vp_thread_group_join (&executor->group, end_us))
    return;
  _vp_store_executor_foreach_queue (executor, _vp_store_queue_clear);
  g_strfreev (executor->addresses);
  g_free (executor);
}
