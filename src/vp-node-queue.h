/* Queue of events for a node, which other threads post.
 *
 *   VpNodeQueue queue;
 *   vp_node_queue_setup (&queue, vp_runtime_now_ms);
 *   vp_node_queue_post (&queue, &event);                    // any thread
 *   bool is_empty = vp_node_queue_apply (&queue, node, &effects);
 *   vp_node_step (node, vp_runtime_now_ms (), &effects);
 *   vp_queue_sleep (&queue.queue, sleep_ms, &flag);
 *   vp_node_queue_shutdown (&queue);
 *
 * Each event is applied with a time that was read after the event was taken from the queue. Events
 * carry readings of workers' clocks, and messages of relays are dated on their receipt only. With
 * an earlier time, the leader would take a worker's clock to be ahead, and so its lease to have
 * expired, by as long as the process was busy or stopped in between.
 */
#pragma once

#include "vp-node.h"
#include "vp-queue.h"

typedef struct {
  VpQueue queue;
  int64_t (*now_ms) (void); /* reads the clock */
} VpNodeQueue;

void vp_node_queue_setup (VpNodeQueue *queue, int64_t (*now_ms) (void));
/* Frees the events that wait. The queue must not be used any more. */
void vp_node_queue_shutdown (VpNodeQueue *queue);
/* Takes over what the event owns. */
void vp_node_queue_post (VpNodeQueue *queue, VpNodeEvent *event);
/* Takes the next event without applying it. Returns false if none waits. */
bool vp_node_queue_take (VpNodeQueue *queue, VpNodeEvent *out);
/* Applies events that wait, a limited number at a time. Returns false if more may wait. */
bool vp_node_queue_apply (VpNodeQueue *queue, VpNode *node, VpNodeEffects *effects);
