/* One process of a cell: front of its callers, and scheduler of the cell while it leads.
 *
 *   VpNode *node = vp_node_setup (&(VpNodeDesc){ .name = "nadi-1", .hold_max_ms = 6000 }, now_ms);
 *   vp_node_apply (node, &event, now_ms, &effects);
 *   vp_node_step (node, now_ms, &effects);        // after the events that are there
 *   sleep_until (vp_node_next_ms (node, now_ms));
 *   vp_node_shutdown (node);
 *
 * A reducer: events in, effects out, no I/O. Every node takes callers' requests and passes them to
 * the leader; the leader decides and is the only one to write. Nodes ping each other, pass on the
 * newest configuration, and make advice calls for the leader.
 */
#pragma once

#include "vp-node-events.h"

typedef struct _VpNode VpNode;

typedef struct {
  const char *name;
  uint32_t cpu_milli;   /* processor time of this VM; the strongest VM in reach leads */
  int64_t hold_max_ms;  /* longest lease that workers grant */
  int64_t relist_ms;    /* workers alive are on the platform's list this long after its return */
  int64_t retention_ms; /* how long ended jobs may be asked for */
  int64_t grace_ms;     /* from the order to stop until the process is killed */
} VpNodeDesc;

VpNode *vp_node_setup (const VpNodeDesc *desc, int64_t now_ms);
void vp_node_shutdown (VpNode *node);
/* Takes what it needs from @event, which the caller clears. */
void vp_node_apply (VpNode *node, VpNodeEvent *event, int64_t now_ms, VpNodeEffects *effects);
/* Decides on what the events have changed, and on what is due. */
void vp_node_step (VpNode *node, int64_t now_ms, VpNodeEffects *effects);
int64_t vp_node_next_ms (const VpNode *node, int64_t now_ms);
bool vp_node_is_leading (const VpNode *node);
/* The scheduler; NULL unless it leads. For tests and views. */
VpCell *vp_node_cell (VpNode *node);
