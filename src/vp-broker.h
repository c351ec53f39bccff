/* The leader's service to all nodes: takes jobs in, cancels and looks them up.
 *
 *   VpBroker *broker = vp_broker_setup (cell, keeper, term);
 *   vp_broker_request (broker, &message, now_ms, answers);  // GArray of VpBrokerAnswer
 *   vp_broker_kept (broker, kept, now_ms, answers);         // jobs that became durable
 *   vp_broker_tick (broker, now_ms, answers);
 *   vp_broker_shutdown (broker);
 *
 * A job is accepted, and a cancel confirmed, once it is durable. A request may come again under
 * its serial, when its answer was lost, and gets the same answer.
 */
#pragma once

#include "vp-keeper.h"

typedef struct _VpBroker VpBroker;

typedef struct {
  char to[VP_NAME_MAX];
  VpNodeMsg message; /* without a body */
} VpBrokerAnswer;

/* Answers carry the @term. */
VpBroker *vp_broker_setup (VpCell *cell, VpKeeper *keeper, uint64_t term);
void vp_broker_shutdown (VpBroker *broker);
void
vp_broker_request (VpBroker *broker, const VpNodeMsg *message, int64_t now_ms, GArray *answers);
void vp_broker_kept (VpBroker *broker, const GArray *kept, int64_t now_ms, GArray *answers);
/* Turns away what can't become durable now. */
void vp_broker_tick (VpBroker *broker, int64_t now_ms, GArray *answers);
/* No new jobs are taken in. */
void vp_broker_pause (VpBroker *broker);
