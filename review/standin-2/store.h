/* Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"). */
#pragma once

#include "http.h"

typedef struct _Store Store;

/* @value_max is the largest value in bytes; a change with a longer one is refused as a whole. */
Store *store_start (uint16_t port, size_t value_max);
/* Writes as the platform, the operator or a worker. NULL as @value removes the key. */
void store_put (Store *store, const char *key, const char *value);
/* Returns the text in the value, with zero bytes replaced; NULL if there is no such key. */
char *store_get (const Store *store, const char *key);
/* Changes that were refused since a value was too long, and the size of the longest one. */
uint32_t store_refused_count (const Store *store);
size_t store_longest (const Store *store);
