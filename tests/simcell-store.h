/* The platform's store in the simulated cell: key-value pairs with revisions and conditional
 * writes.
 *
 *   SimCellStore store;
 *   simcell_store_setup (&store);
 *   simcell_store_write (&store, &write, &written);
 *   simcell_store_shutdown (&store);
 */
#pragma once

#include "vp-node-events.h"

typedef struct {
  uint64_t revision;
  GBytes *value;
} SimCellValue;

typedef struct {
  GHashTable *values; /* key -> SimCellValue */
  uint64_t revision;  /* revision of the last write */
} SimCellStore;

void simcell_store_setup (SimCellStore *store);
void simcell_store_shutdown (SimCellStore *store);
/* The value of @key, owned by the store; NULL if there is none. */
SimCellValue *simcell_store_get (const SimCellStore *store, const char *key);
/* Carries out @write if the leader record has the revision that it names; otherwise @written is a
 * conflict with the present record. The caller clears @written. */
void
simcell_store_write (SimCellStore *store, const VpStoreWrite *write, VpStoreWriteResult *written);
/* New array of the values (GBytes) whose keys begin with @prefix. */
GPtrArray *simcell_store_values_with_prefix (const SimCellStore *store, const char *prefix);
