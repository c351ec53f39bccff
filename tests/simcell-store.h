/* The platform's store of the simulated cell: values with revisions and conditional writes.
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
  uint64_t revision;  /* of the last write */
} SimCellStore;

void simcell_store_setup (SimCellStore *store);
void simcell_store_shutdown (SimCellStore *store);
/* NULL: there is no such key. */
SimCellValue *simcell_store_get (const SimCellStore *store, const char *key);
void
simcell_store_write (SimCellStore *store, const VpStoreWrite *write, VpStoreWriteResult *written);
/* All values (GBytes) whose key begins with @prefix. */
GPtrArray *simcell_store_values_with_prefix (const SimCellStore *store, const char *prefix);
