/* Carries out worker commands on a pool of threads, and polls every attached worker.
 *
 *   VpWorkerExecutor *workers = vp_worker_executor_setup (post, data);
 *   vp_worker_executor_attach (workers, "w-01", "127.0.1.1:7000");
 *   vp_worker_executor_set_valid_until (workers, vp_core_valid_until_ms (core, now_ms));
 *   vp_worker_executor_push (workers, &op);       // the result comes as VP_EVENT_WORKER_RESULT
 *   vp_worker_executor_shutdown (workers, end_us);
 *
 * Commands of one attempt keep their order; other commands of a worker may overtake each other.
 * Queued renewals of one worker leave in one call. All but the set-up and the posting is called on
 * the deciding thread.
 */
#pragma once

#include "vp-thread-group.h"

typedef struct _VpWorkerExecutor VpWorkerExecutor;

VpWorkerExecutor *vp_worker_executor_setup (VpPostFunc post, void *data);
void vp_worker_executor_attach (VpWorkerExecutor *workers, const char *name, const char *address);
/* Queued commands of the worker end as VP_WORKER_UNREACHABLE. */
void vp_worker_executor_detach (VpWorkerExecutor *workers, const char *name);
/* Until when work may be started or renewed; looked at again right before a command is sent. */
void vp_worker_executor_set_valid_until (VpWorkerExecutor *workers, int64_t valid_until_ms);
/* The reducer has taken in a report of @boot: acknowledgements from now on belong to that boot. */
void vp_worker_executor_mark_report_applied (VpWorkerExecutor *workers,
                                             const VpWorkerReport *report);
void vp_worker_executor_ack (VpWorkerExecutor *workers, const char *name, uint64_t sequence);
/* Takes a reference to the payload. */
void vp_worker_executor_push (VpWorkerExecutor *workers, const VpWorkerOp *op);
void vp_worker_executor_shutdown (VpWorkerExecutor *workers, int64_t end_us);
