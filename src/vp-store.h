/* Interface to the platform's key-value store.
 *
 *   VpStore *store = vp_store_http_new (addresses);
 *   vp_store_call (store, &op, &result);          // blocks up to op.timeout_ms
 *   vp_store_free (store);
 *
 * A store object is used by one thread at a time, so each thread needs its own. Support for another
 * platform takes one file that fills in the vtable.
 */
#pragma once

#include "vp-event.h"

typedef struct _VpStore VpStore;

typedef struct {
  void (*call) (VpStore *store, const VpStoreOp *op, VpStoreResult *result);
  void (*free) (VpStore *store);
} VpStoreVtable;

struct _VpStore {
  const VpStoreVtable *vtable;
};

/* Executes one operation. All fields of @result are set in any case; its module, token and key are
 * those of @op. The status is VP_STORE_UNAVAILABLE only if the operation certainly had no effect.
 */
static inline void
vp_store_call (VpStore *store, const VpStoreOp *op, VpStoreResult *result)
{
  store->vtable->call (store, op, result);
}

static inline void
vp_store_free (VpStore *store)
{
  if (store != NULL)
    store->vtable->free (store);
}

/* Creates a client of the store over HTTP with neon, see docs/interface-store.md. @addresses is a
 * NULL-terminated array of "IP:port". */
VpStore *vp_store_http_new (const char *const *addresses);
