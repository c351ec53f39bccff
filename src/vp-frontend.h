/* Callers' requests of one node, from arrival to reply.
 *
 *   VpFrontend *front = vp_frontend_setup ("nadi-1");
 *   vp_frontend_request (front, &call, conf, now_ms, effects);       // takes over call.spec
 *   vp_frontend_tick (front, "nadi-2", term, -1, now_ms, requests, effects);
 *   vp_frontend_answer (front, &message, now_ms, effects);
 *   vp_frontend_shutdown (front);
 *
 * Checks queue and key against the node's configuration and passes the request to the leader. A
 * request is sent again to a new leader, or if no answer comes; requests are idempotent by the
 * job's identity. It is rejected as not done only if it was sent to nobody or the leader says so.
 */
#pragma once

#include "vp-node-events.h"

typedef struct _VpFrontend VpFrontend;

VpFrontend *vp_frontend_setup (const char *name);
void vp_frontend_shutdown (VpFrontend *frontend);
/* @conf NULL: none yet. */
void vp_frontend_request (VpFrontend *frontend,
                          VpCallerRequest *request,
                          const VpCellConf *conf,
                          int64_t now_ms,
                          VpNodeEffects *effects);
/* The caller closed its connection. */
void vp_frontend_caller_gone (VpFrontend *frontend, uint64_t handle);
void vp_frontend_answer (VpFrontend *frontend,
                         const VpNodeMsg *message,
                         int64_t now_ms,
                         VpNodeEffects *effects);
/* Appends the requests to be sent to the leader (VpNodeMsg with floating bodies) and replies to
 * callers whose time is up. @leader NULL: not known. @unready_ms: none will be known soon, so
 * that callers do better to come back elsewhere, and the balancer has been told for this long to
 * send them there; -1: requests can be served. */
void vp_frontend_tick (VpFrontend *frontend,
                       const char *leader,
                       uint64_t term,
                       int64_t unready_ms,
                       int64_t now_ms,
                       GArray *requests,
                       VpNodeEffects *effects);
uint32_t vp_frontend_open_count (const VpFrontend *frontend);
int64_t vp_frontend_next_ms (const VpFrontend *frontend);
