/* Carries out store operations on threads that own a store client each.
 *
 *   VpStoreExecutor *stores = vp_store_executor_setup (addresses, post, data);
 *   vp_store_executor_push (stores, &op);         // the result comes as VP_EVENT_STORE_RESULT
 *   vp_store_executor_shutdown (stores, end_us);
 *
 * One lane (queue and thread) for lease calls, one for the other calls of each module, and one for
 * each watched key. So a lease call never waits behind a slow value, a watch blocks only itself,
 * and the calls of one module on one key keep their order.
 */
#pragma once

#include "vp-thread-group.h"

typedef struct _VpStoreExecutor VpStoreExecutor;

/* @addresses: NULL-terminated; copied. */
VpStoreExecutor *
vp_store_executor_setup (const char *const *addresses, VpPostFunc post, void *data);
/* Takes a reference to the value. */
void vp_store_executor_push (VpStoreExecutor *executor, const VpStoreOp *op);
void vp_store_executor_shutdown (VpStoreExecutor *executor, int64_t end_us);
