/* Callers' requests at one node, from arrival to reply.
 *
 *   VpFrontend *frontend = vp_frontend_setup ("nadi-1");
 *   vp_frontend_request (frontend, &request, config, now_ms, effects);
 *   vp_frontend_tick (frontend, "nadi-2", term, -1, now_ms, requests, effects);
 *   vp_frontend_answer (frontend, &message, now_ms, effects);
 *   vp_frontend_shutdown (frontend);
 *
 * Checks the queue and the key against the configuration and forwards the request to the leader. A
 * request is sent again if no answer arrives or the leader changes, which is safe since requests
 * are idempotent by the id of the job. A caller is told that a request was not carried out only if
 * it was never sent or the leader has said so.
 */
#pragma once

#include "vp-node-events.h"

typedef struct _VpFrontend VpFrontend;

VpFrontend *vp_frontend_setup (const char *name);
void vp_frontend_shutdown (VpFrontend *frontend);
/* Handles a new request. Takes over what @request owns. @config is NULL if there is no
 * configuration yet. */
void vp_frontend_request (VpFrontend *frontend,
                          VpCallerRequest *request,
                          const VpCellConfig *config,
                          int64_t now_ms,
                          VpNodeEffects *effects);
/* Drops the request of a caller that has closed its connection. */
void vp_frontend_caller_gone (VpFrontend *frontend, uint64_t handle);
/* Handles an answer of the leader and replies to the caller, unless the request has to be sent
 * again. */
void vp_frontend_answer (VpFrontend *frontend,
                         const VpNodeMsg *message,
                         int64_t now_ms,
                         VpNodeEffects *effects);
/* Appends to @requests what is to be sent to the leader (VpNodeMsg with floating bodies), and
 * replies to callers whose time is up. @leader is NULL if no leader is known. @unready_ms is -1
 * while requests can be served. Otherwise no leader is expected soon, so callers should retry at
 * another node, and the balancer has seen this node as not ready for that time. */
void vp_frontend_tick (VpFrontend *frontend,
                       const char *leader,
                       uint64_t term,
                       int64_t unready_ms,
                       int64_t now_ms,
                       GArray *requests,
                       VpNodeEffects *effects);
/* Returns the number of requests that weren't replied to yet. */
uint32_t vp_frontend_open_count (const VpFrontend *frontend);
/* Returns the time at which vp_frontend_tick() has to be called again; INT64_MAX: none. */
int64_t vp_frontend_next_ms (const VpFrontend *frontend);
