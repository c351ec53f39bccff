/* Stand-in for the platform's store: values with revisions, conditional writes, leases, watches.
 *
 *   SoakStore *store = soak_store_new (rewrite, data);
 *   soak_store_listen (store, 0, "127.0.0.1:7300");       // address for node 0
 *   soak_store_put (store, "op/config", text);
 *   soak_store_set_fault (store, 0, &(SoakStoreFault){ .mode = SOAK_STORE_UNRESPONSIVE });
 *
 * Runs on the event loop of fake-http.h. The store listens on a separate address for each node, so
 * that faults can be set for each node separately.
 */
#pragma once

#include "fake-http.h"

#define SOAK_NODES_MAX 16

typedef struct _SoakStore SoakStore;

typedef enum {
  SOAK_STORE_SERVES,
  SOAK_STORE_REJECTS,      /* replies with status 503 */
  SOAK_STORE_DISCONNECTS,  /* closes the connection without executing the call */
  SOAK_STORE_UNRESPONSIVE, /* keeps the connection open without executing the call */
  /* Executes a share of the writes, at once or up to 3 s later, but sends no reply to them. */
  SOAK_STORE_LOSES_REPLIES,
} SoakStoreMode;

typedef struct {
  SoakStoreMode mode;
  double lost_share; /* share of writes without a reply; only SOAK_STORE_LOSES_REPLIES */
  int64_t delay_ms;  /* delay before each call is executed */
} SoakStoreFault;

/* Returns the value that @node sees instead of @value, or NULL to leave it unchanged. */
typedef char *(*SoakStoreRewrite) (uint32_t node, const char *key, const char *value, void *data);

SoakStore *soak_store_new (uint32_t seed, SoakStoreRewrite rewrite, void *data);
void soak_store_listen (SoakStore *store, uint32_t node, const char *address);
/* Stores @text under @key; removes the key if @text is NULL. */
void soak_store_put (SoakStore *store, const char *key, const char *text);
/* Returns the number of the node that holds the leader record, or -1. */
int32_t soak_store_leader (SoakStore *store);
void soak_store_set_fault (SoakStore *store, uint32_t node, const SoakStoreFault *fault);
/* Returns true if the store rejects or doesn't answer all calls of a node. */
bool soak_store_has_outage (const SoakStore *store);
/* Discards the history: watches from revisions before the current one are answered with 410. */
void soak_store_compact (SoakStore *store);
