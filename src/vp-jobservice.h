/* The leader's service to all nodes: takes jobs in, cancels and looks them up.
 *
 *   VpJobService *broker = vp_jobservice_setup (cell, keeper, term);
 *   vp_jobservice_request (broker, &message, now_ms, answers);  // GArray of VpJobServiceAnswer
 *   vp_jobservice_handle_durable (broker, kept, now_ms, answers);         // jobs that became durable
 *   vp_jobservice_tick (broker, now_ms, answers);
 *   vp_jobservice_shutdown (broker);
 *
 * A job is accepted, and a cancel confirmed, once it is durable. A request may come again under
 * its serial, when its answer was lost, and gets the same answer.
 */
#pragma once

#include "vp-committer.h"

typedef struct _VpBroker VpJobService;

typedef struct {
  char to[VP_NAME_MAX];
  VpNodeMsg message; /* without a body */
} VpJobServiceAnswer;

/* Answers carry the @term. */
VpJobService *vp_jobservice_setup (VpCell *cell, VpCommitter *committer, uint64_t term);
void vp_jobservice_shutdown (VpJobService *service);
void vp_jobservice_request (VpJobService *service,
                            const VpNodeMsg *message,
                            int64_t now_ms,
                            GArray *answers);
void vp_jobservice_handle_durable (VpJobService *service,
                                   const GArray *durable,
                                   int64_t now_ms,
                                   GArray *answers);
/* Turns away what can't become durable now. */
void vp_jobservice_tick (VpJobService *service, int64_t now_ms, GArray *answers);
/* No new jobs are taken in. */
void vp_jobservice_pause (VpJobService *service);
