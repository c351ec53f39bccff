#include "vp-worker-executor.h"
#include "vp-metrics.h"
#include "vp-poller.h"
#include "vp-runtime.h"
#include "vp-worker.h"

#include <string.h>

/* Calls in flight to one worker, which accepts 64 connections. One more call, with renewals, may be
 * in flight in addition, so that leases don't expire behind slow commands. */
#define VP_WORKER_EXECUTOR_CALLS_MAX 4
/* Checkpoint calls in flight to one worker. Each of them may take seconds. */
#define VP_WORKER_EXECUTOR_CHECKPOINTS_MAX 2
/* Size limit of the thread pool: room for the checkpoints and one more call to each of the about
 * 137 workers of a DC. Threads are started only when needed. */
#define VP_WORKER_EXECUTOR_THREADS_MAX 384
/* Lease renewals in one call. No worker has more slots than that. */
#define VP_WORKER_EXECUTOR_RENEWALS_MAX 256

/* Command queue of one attached worker. It is freed when the worker is detached and its last call
 * has ended. */
typedef struct {
  char name[VP_NAME_MAX];
  char address[VP_ADDRESS_MAX];
  GQueue ops;          /* VpWorkerOp */
  GArray *in_flight;   /* VpAttempt; attempts with a call in flight */
  uint32_t call_count; /* calls in flight */
  uint32_t call_counts[VP_WORKER_THROTTLE + 1];
  GPtrArray *clients; /* VpWorker; clients that no call uses */
  bool is_failing;    /* the last call got no response, so calls are made one at a time */
  bool is_ready;      /* the queue is linked in VpWorkerExecutor.ready */
  bool is_detached;
  VpWorkerPoller *poller; /* used on the event loop's thread only; may be NULL */
} VpWorkerQueue;

struct _VpWorkerExecutor {
  VpThreadGroup group;
  GHashTable *queues; /* name -> VpWorkerQueue; used on the event loop's thread only */
  GQueue ready;       /* VpWorkerQueue; queues that may send a call */
  pthread_cond_t pushed;
  uint32_t idle_count;    /* threads that wait and were not signalled yet */
  uint32_t woken_count;   /* waiting threads that were signalled and have not woken up yet */
  uint32_t missing_count; /* threads still to be started for ready queues */
  uint32_t pool_size;     /* threads that were started */
  int64_t valid_until_ms; /* atomic */
};

static void
_vp_worker_executor_op_free (gpointer data)
{
  VpWorkerOp *op = data;

  g_clear_pointer (&op->payload, g_bytes_unref);
  g_free (op);
}

static VpWorkerQueue *
_vp_worker_queue_new (const char *name, const char *address)
{
  VpWorkerQueue *queue = g_new0 (VpWorkerQueue, 1);

  g_strlcpy (queue->name, name, sizeof queue->name);
  g_strlcpy (queue->address, address, sizeof queue->address);
  g_queue_init (&queue->ops);
  queue->in_flight = g_array_new (FALSE, FALSE, sizeof (VpAttempt));
  queue->clients = g_ptr_array_new_with_free_func ((GDestroyNotify)vp_worker_free);
  return queue;
}

static void
_vp_worker_queue_free (VpWorkerQueue *queue)
{
  g_queue_clear_full (&queue->ops, _vp_worker_executor_op_free);
  g_array_unref (queue->in_flight);
  g_ptr_array_unref (queue->clients);
  g_free (queue);
}

static bool
_vp_worker_executor_has_attempt (const GArray *attempts, const VpAttempt *attempt)
{
  for (guint i = 0; i < attempts->len; i++) {
    if (vp_attempt_equal (&g_array_index (attempts, VpAttempt, i), attempt))
      return true;
  }
  return false;
}

static bool
_vp_worker_queue_allows_call (const VpWorkerQueue *queue, VpWorkerKind kind)
{
  uint32_t calls_max = queue->is_failing ? 1 : VP_WORKER_EXECUTOR_CALLS_MAX;

  if (kind == VP_WORKER_RENEW)
    return queue->call_counts[kind] == 0;
  if (kind == VP_WORKER_CHECKPOINT
      && queue->call_counts[kind] >= VP_WORKER_EXECUTOR_CHECKPOINTS_MAX)
    return false;
  return queue->call_count - queue->call_counts[VP_WORKER_RENEW] < calls_max;
}

/* Moves the commands of the next call from the queue to @batch: one command, or all renewals that
 * may be sent. A command may not be sent while an earlier command of its attempt is queued or in
 * flight. The lock is held. */
static void
_vp_worker_queue_take_batch (VpWorkerQueue *queue, GPtrArray *batch)
{
  g_autoptr (GArray) blocked = g_array_new (FALSE, FALSE, sizeof (VpAttempt));
  GList *next;

  for (GList *link = queue->ops.head; link != NULL; link = next) {
    VpWorkerOp *op = link->data;
    const VpWorkerOp *first = batch->len == 0 ? NULL : batch->pdata[0];
    next = link->next;
    if ((first == NULL ? _vp_worker_queue_allows_call (queue, op->kind)
                       : op->kind == VP_WORKER_RENEW)
        && !_vp_worker_executor_has_attempt (queue->in_flight, &op->attempt)
        && !_vp_worker_executor_has_attempt (blocked, &op->attempt)) {
      g_queue_delete_link (&queue->ops, link);
      g_ptr_array_add (batch, op);
      if (op->kind != VP_WORKER_RENEW || batch->len == VP_WORKER_EXECUTOR_RENEWALS_MAX)
        break;
    } else {
      g_array_append_val (blocked, op->attempt);
    }
  }
  for (guint i = 0; i < batch->len; i++)
    g_array_append_val (queue->in_flight, ((VpWorkerOp *)batch->pdata[i])->attempt);
}

static void
_vp_worker_queue_remove_in_flight (VpWorkerQueue *queue, const GPtrArray *batch)
{
  for (guint i = 0; i < batch->len; i++) {
    const VpWorkerOp *op = batch->pdata[i];
    for (guint j = 0; j < queue->in_flight->len; j++) {
      if (vp_attempt_equal (&g_array_index (queue->in_flight, VpAttempt, j), &op->attempt)) {
        g_array_remove_index_fast (queue->in_flight, j);
        break;
      }
    }
  }
}

/* Makes the worker's queue ready if a call may be made, and wakes a thread for it. The lock is
 * held. */
static void
_vp_worker_executor_schedule (VpWorkerExecutor *executor, VpWorkerQueue *queue)
{
  if (queue->is_ready || queue->ops.length == 0
      || (!_vp_worker_queue_allows_call (queue, VP_WORKER_RENEW)
          && !_vp_worker_queue_allows_call (queue, VP_WORKER_START)))
    return;
  queue->is_ready = true;
  g_queue_push_tail (&executor->ready, queue);
  if (executor->idle_count == 0) {
    executor->missing_count++;
    return;
  }
  executor->idle_count--;
  executor->woken_count++;
  pthread_cond_signal (&executor->pushed);
}

static void
_vp_worker_executor_post_result (VpWorkerExecutor *executor,
                                 const VpWorkerOp *op,
                                 VpWorkerStatus status)
{
  VpEvent event = { .kind = VP_EVENT_WORKER_RESULT };

  event.worker = (VpWorkerResult){ .kind = op->kind, .attempt = op->attempt, .status = status };
  g_strlcpy (event.worker.worker, op->worker, sizeof event.worker.worker);
  vp_thread_group_post (&executor->group, &event);
}

/* Rejects the starts and renewals of @batch whose time limit has passed, so that a command that was
 * delayed in the queue or by a pause of the process starts nothing after the ownership has expired.
 * Copies the other commands to @ops and limits them to the time of the ownership. */
static void
_vp_worker_executor_reject_expired (VpWorkerExecutor *executor, GPtrArray *batch, GArray *ops)
{
  int64_t valid_ms = __atomic_load_n (&executor->valid_until_ms, __ATOMIC_ACQUIRE);
  int64_t now_ms = vp_runtime_now_ms ();

  for (guint i = 0; i < batch->len; i++) {
    VpWorkerOp op = *(VpWorkerOp *)batch->pdata[i];
    if ((op.kind == VP_WORKER_START || op.kind == VP_WORKER_RENEW) && op.valid_until_ms != 0) {
      op.valid_until_ms = MIN (op.valid_until_ms, valid_ms);
      if (now_ms > op.valid_until_ms) {
        vp_metrics_add (VP_COUNTER_STARTS_EXPIRED, op.kind == VP_WORKER_START ? 1 : 0);
        _vp_worker_executor_post_result (executor, &op, VP_WORKER_REFUSED);
        continue;
      }
    }
    g_array_append_val (ops, op);
  }
}

/* Sends the commands in one call and posts the results. Returns false if the worker did not
 * respond. */
static bool
_vp_worker_executor_send_batch (VpWorkerExecutor *executor, VpWorker *client, GPtrArray *batch)
{
  g_autoptr (GArray) ops = g_array_new (FALSE, FALSE, sizeof (VpWorkerOp));
  g_autoptr (GArray) results = g_array_new (FALSE, TRUE, sizeof (VpWorkerResult));
  bool has_response = true;

  _vp_worker_executor_reject_expired (executor, batch, ops);
  if (ops->len == 0)
    return true;
  if (client == NULL) {
    for (guint i = 0; i < ops->len; i++)
      _vp_worker_executor_post_result (executor, &g_array_index (ops, VpWorkerOp, i),
                                       VP_WORKER_UNREACHABLE);
    return false;
  }
  g_array_set_size (results, ops->len);
  vp_worker_call (client, (const VpWorkerOp *)ops->data, ops->len, (VpWorkerResult *)results->data);
  vp_metrics_add (VP_COUNTER_WORKER_CALLS, 1);
  for (guint i = 0; i < ops->len; i++) {
    VpWorkerResult *result = &g_array_index (results, VpWorkerResult, i);
    VpEvent event = { .kind = VP_EVENT_WORKER_RESULT, .worker = *result };
    has_response = has_response && result->status != VP_WORKER_UNREACHABLE
                   && result->status != VP_WORKER_UNCERTAIN;
    vp_thread_group_post (&executor->group, &event);
  }
  if (!has_response)
    vp_metrics_add (VP_COUNTER_WORKER_UNREACHABLE, 1);
  return has_response;
}

static void _vp_worker_executor_main (void *data);

/* Starts the threads that ready queues need. The lock is not held. */
static void
_vp_worker_executor_start_threads (VpWorkerExecutor *executor)
{
  uint32_t count;

  pthread_mutex_lock (&executor->group.lock);
  count = MIN (executor->missing_count, VP_WORKER_EXECUTOR_THREADS_MAX - executor->pool_size);
  executor->missing_count = 0;
  executor->pool_size += count;
  pthread_mutex_unlock (&executor->group.lock);
  for (; count > 0; count--) {
    if (vp_thread_group_start (&executor->group, _vp_worker_executor_main, executor))
      continue;
    pthread_mutex_lock (&executor->group.lock);
    executor->pool_size -= count;
    pthread_mutex_unlock (&executor->group.lock);
    return;
  }
}

/* Makes the next call of a ready queue. The lock is held on entry and on return. */
static void
_vp_worker_executor_serve_queue (VpWorkerExecutor *executor, VpWorkerQueue *queue)
{
  g_autoptr (GPtrArray) batch = g_ptr_array_new_with_free_func (_vp_worker_executor_op_free);
  VpWorker *client = NULL;
  VpWorkerKind kind;
  bool has_response;

  queue->is_ready = false;
  _vp_worker_queue_take_batch (queue, batch);
  if (batch->len == 0)
    return;
  kind = ((VpWorkerOp *)batch->pdata[0])->kind;
  queue->call_count++;
  queue->call_counts[kind]++;
  _vp_worker_executor_schedule (executor, queue);
  if (queue->clients->len > 0)
    client = g_ptr_array_steal_index_fast (queue->clients, queue->clients->len - 1);
  pthread_mutex_unlock (&executor->group.lock);
  _vp_worker_executor_start_threads (executor);
  if (client == NULL)
    client = vp_worker_http_new (queue->name, queue->address);
  has_response = _vp_worker_executor_send_batch (executor, client, batch);
  pthread_mutex_lock (&executor->group.lock);
  _vp_worker_queue_remove_in_flight (queue, batch);
  if (client != NULL)
    g_ptr_array_add (queue->clients, client);
  queue->call_count--;
  queue->call_counts[kind]--;
  queue->is_failing = !has_response;
  if (queue->is_detached && queue->call_count == 0 && !queue->is_ready)
    _vp_worker_queue_free (queue);
  else
    _vp_worker_executor_schedule (executor, queue);
}

static void
_vp_worker_executor_main (void *data)
{
  VpWorkerExecutor *executor = data;
  VpThreadGroup *group = &executor->group;

  pthread_mutex_lock (&group->lock);
  while (!group->is_stopping) {
    VpWorkerQueue *queue = g_queue_pop_head (&executor->ready);
    if (queue != NULL) {
      _vp_worker_executor_serve_queue (executor, queue);
      continue;
    }
    executor->idle_count++;
    while (executor->woken_count == 0 && !group->is_stopping)
      pthread_cond_wait (&executor->pushed, &group->lock);
    if (executor->woken_count > 0)
      executor->woken_count--;
  }
  pthread_mutex_unlock (&group->lock);
}

VpWorkerExecutor *
vp_worker_executor_setup (VpPostFunc post, void *data)
{
  VpWorkerExecutor *executor = g_new0 (VpWorkerExecutor, 1);

  vp_thread_group_setup (&executor->group, post, data);
  executor->queues = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&executor->ready);
  vp_sync_cond_setup (&executor->pushed);
  return executor;
}

void
vp_worker_executor_attach (VpWorkerExecutor *executor, const char *name, const char *address)
{
  VpWorkerQueue *queue = g_hash_table_lookup (executor->queues, name);

  if (queue != NULL && strcmp (queue->address, address) == 0)
    return;
  if (queue != NULL)
    vp_worker_executor_detach (executor, name);
  queue = _vp_worker_queue_new (name, address);
  g_hash_table_insert (executor->queues, queue->name, queue);
  queue->poller = vp_worker_poller_start (&executor->group, name, address);
  if (queue->poller == NULL)
    g_warning ("can't poll worker %s at %s", name, address);
}

void
vp_worker_executor_detach (VpWorkerExecutor *executor, const char *name)
{
  VpWorkerQueue *queue = g_hash_table_lookup (executor->queues, name);
  GQueue dropped;
  VpWorkerOp *op;

  if (queue == NULL)
    return;
  g_hash_table_remove (executor->queues, name);
  if (queue->poller != NULL)
    vp_worker_poller_stop (queue->poller);
  pthread_mutex_lock (&executor->group.lock);
  dropped = queue->ops;
  g_queue_init (&queue->ops);
  queue->is_detached = true;
  if (queue->is_ready)
    g_queue_remove (&executor->ready, queue);
  queue->is_ready = false;
  if (queue->call_count == 0)
    _vp_worker_queue_free (queue);
  pthread_mutex_unlock (&executor->group.lock);
  while ((op = g_queue_pop_head (&dropped)) != NULL) {
    _vp_worker_executor_post_result (executor, op, VP_WORKER_UNREACHABLE);
    _vp_worker_executor_op_free (op);
  }
}

void
vp_worker_executor_set_valid_until (VpWorkerExecutor *executor, int64_t valid_until_ms)
{
  __atomic_store_n (&executor->valid_until_ms, valid_until_ms, __ATOMIC_RELEASE);
}

void
vp_worker_executor_mark_report_applied (VpWorkerExecutor *executor, const VpWorkerReport *report)
{
  VpWorkerQueue *queue = g_hash_table_lookup (executor->queues, report->worker);

  if (queue != NULL && queue->poller != NULL && report->is_reachable)
    vp_worker_poller_set_applied_boot (queue->poller, report->boot);
}

void
vp_worker_executor_ack (VpWorkerExecutor *executor, const char *name, uint64_t sequence)
{
  VpWorkerQueue *queue = g_hash_table_lookup (executor->queues, name);

  if (queue != NULL && queue->poller != NULL)
    vp_worker_poller_ack (queue->poller, sequence);
}

void
vp_worker_executor_push (VpWorkerExecutor *executor, const VpWorkerOp *op)
{
  VpWorkerQueue *queue = g_hash_table_lookup (executor->queues, op->worker);
  VpWorkerOp *copy;

  if (queue == NULL) {
    _vp_worker_executor_post_result (executor, op, VP_WORKER_UNREACHABLE);
    return;
  }
  copy = g_memdup2 (op, sizeof *op);
  if (copy->payload != NULL)
    g_bytes_ref (copy->payload);
  pthread_mutex_lock (&executor->group.lock);
  g_queue_push_tail (&queue->ops, copy);
  _vp_worker_executor_schedule (executor, queue);
  pthread_mutex_unlock (&executor->group.lock);
  _vp_worker_executor_start_threads (executor);
}

void
vp_worker_executor_shutdown (VpWorkerExecutor *executor, int64_t end_us)
{
  GHashTableIter iter;
  gpointer value;

  if (executor == NULL)
    return;
  vp_thread_group_request_stop (&executor->group);
  g_hash_table_iter_init (&iter, executor->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpWorkerQueue *queue = value;
    if (queue->poller != NULL)
      vp_worker_poller_stop (queue->poller);
  }
  pthread_cond_broadcast (&executor->pushed);
  if (!vp_thread_group_join (&executor->group, end_us))
    return;
  g_hash_table_iter_init (&iter, executor->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    _vp_worker_queue_free (value);
  g_hash_table_unref (executor->queues);
  pthread_cond_destroy (&executor->pushed);
  g_free (executor);
}
