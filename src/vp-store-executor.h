/* Executes store operations on threads that have a store client each.
 *
 *   VpStoreExecutor *executor = vp_store_executor_setup (addresses, post, data);
 *   vp_store_executor_push (executor, &op);     // the result is posted as VP_EVENT_STORE_RESULT
 *   vp_store_executor_shutdown (executor, end_us);
 *
 * Lease operations have a queue with a thread of its own, and so have the other operations of each
 * module and each watched key. A lease operation therefore never waits behind a slow value, a watch
 * blocks only itself, and the operations of one module on one key keep their order.
 */
#pragma once

#include "vp-thread-group.h"

typedef struct _VpStoreExecutor VpStoreExecutor;

/* @addresses is a NULL-terminated array, which is copied. */
VpStoreExecutor *
vp_store_executor_setup (const char *const *addresses, VpPostFunc post, void *data);
/* Queues a copy of @op and takes a reference to its value. Called by one thread only. */
void vp_store_executor_push (VpStoreExecutor *executor, const VpStoreOp *op);
/* Waits for the threads until @end_us, a time of g_get_monotonic_time(). */
void vp_store_executor_shutdown (VpStoreExecutor *executor, int64_t end_us);
