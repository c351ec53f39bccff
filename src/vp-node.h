/* One process of a cell: serves callers' requests, and schedules the cell's jobs while it leads.
 *
 *   VpNode *node = vp_node_setup (&(VpNodeDesc){ .name = "nadi-1", .hold_max_ms = 6000 }, now_ms);
 *   vp_node_apply (node, &event, now_ms, &effects);
 *   vp_node_step (node, now_ms, &effects);        // once all pending events are applied
 *   sleep_until (vp_node_next_ms (node, now_ms));
 *   vp_node_shutdown (node);
 *
 * A node is a state machine without I/O: it takes events and returns effects. Every node accepts
 * callers' requests and forwards them to the leader. Only the leader schedules and writes to the
 * store. Nodes ping each other, pass on the newest configuration, make advice calls for the leader
 * and send its commands to workers.
 */
#pragma once

#include "vp-node-events.h"

typedef struct _VpNode VpNode;

typedef struct {
  const char *name;
  const char *dc;      /* DC of this VM; NULL: unknown */
  uint32_t cpu_milli;  /* CPU share of this VM, in thousandths of a core; the strongest VM in reach
                          leads */
  uint32_t link_kbps;  /* bandwidth of this VM's link in kbit/s; 0: unknown */
  int64_t hold_max_ms; /* longest lease that workers accept */
  int64_t relist_ms; /* time after an outage of the store until all live workers are listed again */
  int64_t retention_ms; /* how long callers can query a job after its end */
  int64_t grace_ms;     /* time from the stop request until the process is killed */
  /* DCs can be evacuated, so this node starts no task before its first VP_NODE_EVENT_EVACUATIONS.
   */
  bool has_evacuations;
} VpNodeDesc;

VpNode *vp_node_setup (const VpNodeDesc *desc, int64_t now_ms);
void vp_node_shutdown (VpNode *node);
/* May take over parts of @event; the caller still has to clear it. */
void vp_node_apply (VpNode *node, VpNodeEvent *event, int64_t now_ms, VpNodeEffects *effects);
/* Acts on the events applied so far and on expired timers. */
void vp_node_step (VpNode *node, int64_t now_ms, VpNodeEffects *effects);
/* Time at which vp_node_step() has to be called even if no event arrives. */
int64_t vp_node_next_ms (const VpNode *node, int64_t now_ms);
bool vp_node_is_leading (const VpNode *node);
/* The scheduler; NULL unless the node leads. For tests. */
VpCell *vp_node_cell (VpNode *node);
