/* The platform's store of the simulated cell: values with revisions and conditional writes.
 *
 *   WorldStore store;
 *   world_store_setup (&store);
 *   world_store_write (&store, &write, &written);
 *   world_store_shutdown (&store);
 */
#pragma once

#include "vp-node-events.h"

typedef struct {
  uint64_t revision;
  GBytes *value;
} WorldValue;

typedef struct {
  GHashTable *values; /* key -> WorldValue */
  uint64_t revision;  /* of the last write */
} WorldStore;

void world_store_setup (WorldStore *store);
void world_store_shutdown (WorldStore *store);
/* NULL: there is no such key. */
WorldValue *world_store_get (const WorldStore *store, const char *key);
void world_store_write (WorldStore *store, const VpStoreWrite *write, VpStoreWriteResult *written);
/* All values (GBytes) whose key begins with @prefix. */
GPtrArray *world_store_below (const WorldStore *store, const char *prefix);
