#include "vp-node-queue.h"
#include "vp-metrics.h"

/* Maximum number of events that are applied before the node acts on them. */
#define VP_NODE_QUEUE_BATCH 64

typedef struct {
  struct cds_wfcq_node node;
  VpNodeEvent event;
} VpNodeQueueItem;

void
vp_node_queue_setup (VpNodeQueue *queue, int64_t (*now_ms) (void))
{
  vp_queue_setup (&queue->queue);
  queue->now_ms = now_ms;
}

static VpNodeQueueItem *
_vp_node_queue_take_item (VpNodeQueue *queue)
{
  struct cds_wfcq_node *taken = vp_queue_take (&queue->queue);

  return taken == NULL ? NULL : caa_container_of (taken, VpNodeQueueItem, node);
}

static void
_vp_node_queue_item_free (VpNodeQueueItem *item)
{
  vp_node_event_clear (&item->event);
  g_free (item);
}

void
vp_node_queue_shutdown (VpNodeQueue *queue)
{
  VpNodeQueueItem *item;

  while ((item = _vp_node_queue_take_item (queue)) != NULL)
    _vp_node_queue_item_free (item);
}

void
vp_node_queue_post (VpNodeQueue *queue, VpNodeEvent *event)
{
  VpNodeQueueItem *item = g_new (VpNodeQueueItem, 1);

  item->event = *event;
  vp_queue_post (&queue->queue, &item->node);
}

bool
vp_node_queue_take (VpNodeQueue *queue, VpNodeEvent *out)
{
  VpNodeQueueItem *item = _vp_node_queue_take_item (queue);

  if (item == NULL)
    return false;
  *out = item->event;
  g_free (item);
  return true;
}

bool
vp_node_queue_apply (VpNodeQueue *queue, VpNode *node, VpNodeEffects *effects)
{
  VpNodeQueueItem *item = NULL;
  uint32_t count = 0;

  while (count < VP_NODE_QUEUE_BATCH && (item = _vp_node_queue_take_item (queue)) != NULL) {
    vp_node_apply (node, &item->event, queue->now_ms (), effects);
    _vp_node_queue_item_free (item);
    count++;
  }
  vp_metrics_add (VP_COUNTER_EVENTS, count);
  return item == NULL;
}
