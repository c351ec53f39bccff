#include "vp-queue.h"

#include <linux/futex.h>
#include <sched.h>
#include <stddef.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
/* liburcu is not instrumented, so these annotations tell ThreadSanitizer that the queue orders the
 * producer's accesses to a node before those of the consumer. */
#define VP_QUEUE_TSAN_RELEASE(node) __tsan_release (node)
#define VP_QUEUE_TSAN_ACQUIRE(node) __tsan_acquire (node)
#else
#define VP_QUEUE_TSAN_RELEASE(node) (void)(node)
#define VP_QUEUE_TSAN_ACQUIRE(node) (void)(node)
#endif

void
vp_queue_setup (VpQueue *queue)
{
  cds_wfcq_init (&queue->head, &queue->tail);
  queue->is_sleeping = 0;
}

void
vp_queue_shutdown (VpQueue *queue)
{
  cds_wfcq_destroy (&queue->head, &queue->tail);
}

void
vp_queue_wake (VpQueue *queue)
{
  if (__atomic_load_n (&queue->is_sleeping, __ATOMIC_SEQ_CST) != 0
      && __atomic_exchange_n (&queue->is_sleeping, 0, __ATOMIC_SEQ_CST) != 0)
    syscall (SYS_futex, &queue->is_sleeping, FUTEX_WAKE_PRIVATE, 1, NULL, NULL, 0);
}

void
vp_queue_post (VpQueue *queue, struct cds_wfcq_node *node)
{
  cds_wfcq_node_init (node);
  VP_QUEUE_TSAN_RELEASE (node);
  cds_wfcq_enqueue (&queue->head, &queue->tail, node);
  vp_queue_wake (queue);
}

struct cds_wfcq_node *
vp_queue_take (VpQueue *queue)
{
  struct cds_wfcq_node *node;

  /* liburcu's blocking dequeue sleeps for 10 ms when a producer was preempted halfway through an
   * enqueue. Yielding lets that producer finish sooner. */
  while ((node = __cds_wfcq_dequeue_nonblocking (&queue->head, &queue->tail))
         == CDS_WFCQ_WOULDBLOCK)
    sched_yield ();
  if (node != NULL)
    VP_QUEUE_TSAN_ACQUIRE (node);
  return node;
}

void
vp_queue_sleep (VpQueue *queue, int64_t sleep_ms, const uint32_t *flag)
{
  struct timespec timeout = { .tv_sec = sleep_ms / 1000, .tv_nsec = sleep_ms % 1000 * 1000000 };

  __atomic_store_n (&queue->is_sleeping, 1, __ATOMIC_SEQ_CST);
  /* Items that were posted and flags that were set before the store above caused no wake-up. */
  if (cds_wfcq_empty (&queue->head, &queue->tail)
      && (flag == NULL || __atomic_load_n (flag, __ATOMIC_SEQ_CST) == 0))
    syscall (SYS_futex, &queue->is_sleeping, FUTEX_WAIT_PRIVATE, 1, &timeout, NULL, 0);
  __atomic_store_n (&queue->is_sleeping, 0, __ATOMIC_SEQ_CST);
}
