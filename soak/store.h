/* Stand-in of the platform's store: values with revisions, conditional writes, leases, watches.
 *
 *   SoakStore *store = soak_store_new (rewrite, data);
 *   soak_store_listen (store, 0, "127.0.0.1:7300");       // node 0 calls it there
 *   soak_store_put (store, "op/config", text);
 *   soak_store_set_fault (store, 0, &(SoakStoreFault){ .mode = SOAK_STORE_UNRESPONSIVE });
 *
 * Runs on the loop of fake-http.h. Each node has an address of its own, so that it can be served or
 * turned away by itself.
 */
#pragma once

#include "fake-http.h"

#define SOAK_NODES_MAX 16

typedef struct _SoakStore SoakStore;

typedef enum {
  SOAK_STORE_SERVES,
  SOAK_STORE_REJECTS,      /* 503 */
  SOAK_STORE_DISCONNECTS,  /* the connection is closed without an answer, nothing is done */
  SOAK_STORE_UNRESPONSIVE, /* no answer, nothing is done */
  SOAK_STORE_LOSES_REPLIES, /* a part of the writes is done, at once or up to 3 s later, without answer */
} SoakStoreMode;

typedef struct {
  SoakStoreMode mode;
  double lost_share; /* LOSES: of the writes */
  int64_t delay_ms;  /* before anything is done */
} SoakStoreFault;

/* The value that the node is shown in place of @value; NULL: the same. */
typedef char *(*SoakStoreRewrite) (uint32_t node, const char *key, const char *value, void *data);

SoakStore *soak_store_new (uint32_t seed, SoakStoreRewrite rewrite, void *data);
void soak_store_listen (SoakStore *store, uint32_t node, const char *address);
/* Text under @key; NULL removes it. */
void soak_store_put (SoakStore *store, const char *key, const char *text);
void soak_store_set_fault (SoakStore *store, uint32_t node, const SoakStoreFault *fault);
/* Watches from earlier revisions than the present one get 410. */
void soak_store_compact (SoakStore *store);
