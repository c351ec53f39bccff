/* Wait-free queue with any number of producers and one consumer, which can sleep on a futex while
 * the queue is empty. Built on liburcu's wfcqueue.
 *
 *   VpQueue queue;
 *   vp_queue_setup (&queue);
 *   vp_queue_post (&queue, &item->node);                 // any thread
 *   struct cds_wfcq_node *node = vp_queue_take (&queue); // consumer; NULL if the queue is empty
 *   if (node == NULL)
 *     vp_queue_sleep (&queue, 100, &is_stopped);
 *   vp_queue_shutdown (&queue);
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <urcu/wfcqueue.h>

typedef struct {
  struct cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  uint32_t is_sleeping; /* atomic futex word; 1 while the consumer sleeps or is about to */
} VpQueue;

void vp_queue_setup (VpQueue *queue);
/* The queue must be empty. */
void vp_queue_shutdown (VpQueue *queue);
void vp_queue_post (VpQueue *queue, struct cds_wfcq_node *node);
struct cds_wfcq_node *vp_queue_take (VpQueue *queue);
/* Wakes the consumer if it is sleeping. Safe in a signal handler. */
void vp_queue_wake (VpQueue *queue);
/* Sleeps for up to @sleep_ms milliseconds. Returns earlier on a wake-up, and at once if the queue
 * is not empty or if @flag is not NULL and points to a value other than 0. */
void vp_queue_sleep (VpQueue *queue, int64_t sleep_ms, const uint32_t *flag);
