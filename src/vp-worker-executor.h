/* Executes worker commands on a pool of threads, and polls every attached worker.
 *
 *   VpWorkerExecutor *executor = vp_worker_executor_setup (post, data);
 *   vp_worker_executor_attach (executor, "w-01", "127.0.1.1:7000");
 *   vp_worker_executor_set_valid_until (executor, vp_core_valid_until_ms (core, now_ms));
 *   vp_worker_executor_push (executor, &op);   // the result is posted as VP_EVENT_WORKER_RESULT
 *   vp_worker_executor_shutdown (executor, end_us);
 *
 * The commands of one attempt keep their order, other commands of a worker may overtake each other.
 * The queued lease renewals of a worker are sent in one call. All functions but the setup are
 * called on the event loop's thread. The results are posted from other threads.
 */
#pragma once

#include "vp-thread-group.h"

typedef struct _VpWorkerExecutor VpWorkerExecutor;

VpWorkerExecutor *vp_worker_executor_setup (VpPostFunc post, void *data);
/* Starts polling the worker and accepting commands for it. A worker that is attached at another
 * address is detached first. */
void vp_worker_executor_attach (VpWorkerExecutor *executor, const char *name, const char *address);
/* Queued commands for the worker get the result VP_WORKER_UNREACHABLE. */
void vp_worker_executor_detach (VpWorkerExecutor *executor, const char *name);
/* Sets the time until which tasks may be started and leases renewed. It is checked again right
 * before a command is sent. */
void vp_worker_executor_set_valid_until (VpWorkerExecutor *executor, int64_t valid_until_ms);
/* Records that the reducer applies @report. Acknowledgements that follow refer to the report's boot
 * of the worker. */
void vp_worker_executor_mark_report_applied (VpWorkerExecutor *executor,
                                             const VpWorkerReport *report);
/* Acknowledges the worker's ended tasks up to @sequence with its next poll. */
void vp_worker_executor_ack (VpWorkerExecutor *executor, const char *name, uint64_t sequence);
/* Queues a copy of @op and takes a reference to its payload. */
void vp_worker_executor_push (VpWorkerExecutor *executor, const VpWorkerOp *op);
/* Waits for the threads until @end_us, a time of g_get_monotonic_time(). */
void vp_worker_executor_shutdown (VpWorkerExecutor *executor, int64_t end_us);
