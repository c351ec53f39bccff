/* In-memory store for tests of single modules, with CAS, leases, watches, delays, lost answers and
 * outages.
 *
 *   MemStore *store = mem_store_new (seed);
 *   mem_store_send (store, client, &effects, now_ms);      // takes over the store operations
 *   while (mem_store_receive (store, now_ms, &client, &result)) feed the result to the client
 *   mem_store_free (store);
 *
 * An operation is sent, takes effect and is answered at three random times. Calls therefore
 * overtake each other, and a write may take effect after its caller got the result UNKNOWN.
 */
#pragma once

#include "vp-event.h"

#include <string.h>

typedef struct {
  uint64_t version;
  uint64_t lease;
  GBytes *value;
} MemKey;

typedef struct {
  uint32_t client;
  VpStoreOp op;
  VpStoreResult result;
  int64_t send_ms, apply_ms, answer_ms;
  bool is_applied, is_answered;
} MemCall;

#define MEM_BIT(client) ((uint64_t)1 << (client))

typedef struct {
  GHashTable *keys;   /* char* -> MemKey* */
  GHashTable *leases; /* lease id -> int64_t* time of its end */
  GHashTable *ttls;   /* lease id -> int64_t* TTL in ms */
  GPtrArray *calls;   /* MemCall* */
  GRand *rand;
  uint64_t version, lease_id;
  int32_t delay_ms;             /* largest delay before each of the three times of a call */
  int32_t lost_permille;        /* calls whose answer is lost, with or without effect */
  uint64_t unreachable_clients; /* bit set of clients that can't reach the store */
  uint64_t dead_clients; /* bit set of clients that get no answers; their calls still take effect */
  uint64_t paused_clients; /* bit set of clients whose answers are held back */
  uint64_t lose_cas_count; /* number of next CAS calls that take effect but lose their answer */
  uint64_t call_count, write_count;
} MemStore;

static inline void
_mem_key_free (gpointer data)
{
  MemKey *key = data;
  g_bytes_unref (key->value);
  g_free (key);
}

static inline void
_mem_call_free (gpointer data)
{
  MemCall *call = data;
  g_clear_pointer (&call->op.value, g_bytes_unref);
  vp_store_result_clear (&call->result);
  g_free (call);
}

static inline MemStore *
mem_store_new (uint32_t seed)
{
  MemStore *store = g_new0 (MemStore, 1);
  store->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, _mem_key_free);
  store->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  store->ttls = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  store->calls = g_ptr_array_new_with_free_func (_mem_call_free);
  store->rand = g_rand_new_with_seed (seed);
  return store;
}

static inline void
mem_store_free (MemStore *store)
{
  g_hash_table_unref (store->keys);
  g_hash_table_unref (store->leases);
  g_hash_table_unref (store->ttls);
  g_ptr_array_unref (store->calls);
  g_rand_free (store->rand);
  g_free (store);
}

static inline int32_t
_mem_random (MemStore *store, int32_t bound)
{
  return bound > 0 ? g_rand_int_range (store->rand, 0, bound) : 0;
}

static inline void
mem_store_send (MemStore *store, uint32_t client, VpEffects *effects, int64_t now_ms)
{
  for (uint32_t i = 0; i < effects->count; i++) {
    const VpStoreOp *op = &effects->items[i].store;
    int64_t timeout_ms;
    MemCall *call;

    if (effects->items[i].kind != VP_EFFECT_STORE)
      continue;
    timeout_ms = op->timeout_ms != 0 ? op->timeout_ms : 1000;
    call = g_new0 (MemCall, 1);
    call->client = client;
    call->op = *op;
    if (op->value != NULL)
      g_bytes_ref (op->value);
    call->send_ms = now_ms + _mem_random (store, store->delay_ms);
    call->apply_ms = call->send_ms + _mem_random (store, store->delay_ms);
    call->answer_ms = call->apply_ms + _mem_random (store, store->delay_ms);
    call->result = (VpStoreResult){ .kind = op->kind, .module = op->module, .token = op->token };
    call->result.sent_ms = call->send_ms;
    g_strlcpy (call->result.key, op->key, sizeof call->result.key);
    if (_mem_random (store, 1000) < store->lost_permille)
      call->result.status = VP_STORE_UNKNOWN;
    if (op->kind == VP_STORE_CAS && store->lose_cas_count > 0) {
      store->lose_cas_count--;
      call->result.status = VP_STORE_UNKNOWN;
    } else if (call->result.status == VP_STORE_UNKNOWN) {
      /* The request is lost, takes effect after the time-out, or its answer is lost. */
      int32_t which = _mem_random (store, 3);
      call->apply_ms = which == 0 ? INT64_MAX : call->apply_ms + (which == 1 ? timeout_ms : 0);
      call->answer_ms = call->send_ms + _mem_random (store, (int32_t)timeout_ms);
    }
    store->call_count++;
    g_ptr_array_add (store->calls, call);
  }
}

static inline void
_mem_expire (MemStore *store, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    if (*(int64_t *)value <= now_ms)
      g_hash_table_iter_remove (&iter);
  }
  g_hash_table_iter_init (&iter, store->keys);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    uint64_t lease = ((MemKey *)value)->lease;
    if (lease != 0 && !g_hash_table_contains (store->leases, &lease))
      g_hash_table_iter_remove (&iter);
  }
}

static inline VpStoreStatus
_mem_lease (MemStore *store, MemCall *call, int64_t now_ms)
{
  uint64_t id = call->op.lease;
  int64_t ttl_ms = call->op.ttl_ms;

  if (call->op.kind == VP_STORE_LEASE_GRANT) {
    id = call->result.lease = ++store->lease_id;
    g_hash_table_insert (store->ttls, g_memdup2 (&id, sizeof id), g_memdup2 (&ttl_ms, 8));
  } else if (!g_hash_table_contains (store->leases, &id)) {
    return VP_STORE_NOT_FOUND;
  }
  if (call->op.kind == VP_STORE_LEASE_REVOKE) {
    g_hash_table_remove (store->leases, &id);
    _mem_expire (store, now_ms);
    return VP_STORE_OK;
  }
  ttl_ms = now_ms + *(int64_t *)g_hash_table_lookup (store->ttls, &id);
  g_hash_table_insert (store->leases, g_memdup2 (&id, sizeof id), g_memdup2 (&ttl_ms, 8));
  return VP_STORE_OK;
}

static inline VpStoreStatus
_mem_write (MemStore *store, const MemCall *call, const MemKey *key)
{
  if ((key != NULL ? key->version : 0) != call->op.version)
    return VP_STORE_CONFLICT;
  if (call->op.lease != 0 && !g_hash_table_contains (store->leases, &call->op.lease))
    return VP_STORE_NOT_FOUND;
  store->write_count++;
  if (call->op.kind == VP_STORE_DELETE) {
    g_hash_table_remove (store->keys, call->op.key);
  } else {
    MemKey *next = g_new0 (MemKey, 1);
    *next = (MemKey){ ++store->version, call->op.lease, g_bytes_ref (call->op.value) };
    g_hash_table_replace (store->keys, g_strdup (call->op.key), next);
  }
  return VP_STORE_OK;
}

/* Applies a call and sets its result unless the answer is lost. */
static inline void
_mem_apply (MemStore *store, MemCall *call, int64_t now_ms)
{
  bool is_lost = call->result.status == VP_STORE_UNKNOWN;
  const MemKey *key = g_hash_table_lookup (store->keys, call->op.key);
  VpStoreStatus status;

  call->is_applied = true;
  if (call->op.kind >= VP_STORE_LEASE_GRANT)
    status = _mem_lease (store, call, now_ms);
  else if (call->op.kind == VP_STORE_GET || call->op.kind == VP_STORE_WATCH)
    status = key != NULL ? VP_STORE_OK : VP_STORE_NOT_FOUND;
  else
    status = _mem_write (store, call, key);
  if (is_lost)
    return;
  call->result.status = status;
  key = g_hash_table_lookup (store->keys, call->op.key);
  if (call->op.kind < VP_STORE_LEASE_GRANT && key != NULL) {
    call->result.version = key->version;
    if (call->op.kind != VP_STORE_CAS || status != VP_STORE_OK)
      call->result.value = g_bytes_ref (key->value);
  }
}

/* True if the call is a watch whose key has not changed and whose time is not over. */
static inline bool
_mem_is_waiting (MemStore *store, const MemCall *call, int64_t now_ms)
{
  const MemKey *key = g_hash_table_lookup (store->keys, call->op.key);

  return call->op.kind == VP_STORE_WATCH && (key != NULL ? key->version : 0) == call->op.version
         && now_ms < call->send_ms + call->op.timeout_ms;
}

/* Applies the calls that are due. */
static inline void
_mem_run (MemStore *store, int64_t now_ms)
{
  _mem_expire (store, now_ms);
  for (guint i = 0; i < store->calls->len; i++) {
    MemCall *call = g_ptr_array_index (store->calls, i);

    if (call->is_applied || now_ms < call->apply_ms)
      continue;
    if ((store->unreachable_clients & MEM_BIT (call->client)) != 0) {
      call->is_applied = true;
      if (call->result.status == VP_STORE_OK)
        call->result.status = VP_STORE_UNAVAILABLE;
    } else if (!_mem_is_waiting (store, call, now_ms)) {
      if (call->op.kind == VP_STORE_WATCH)
        call->answer_ms = now_ms + _mem_random (store, store->delay_ms);
      _mem_apply (store, call, now_ms);
    }
  }
}

/* Applies the calls that are due and moves the next due answer to @result; false if none is due. */
static inline bool
mem_store_receive (MemStore *store, int64_t now_ms, uint32_t *client, VpStoreResult *result)
{
  _mem_run (store, now_ms);
  for (guint i = store->calls->len; i-- > 0;) {
    MemCall *call = g_ptr_array_index (store->calls, i);
    bool is_lost = call->result.status == VP_STORE_UNKNOWN;
    bool is_dead = (store->dead_clients & MEM_BIT (call->client)) != 0;

    if (!call->is_answered && now_ms >= call->answer_ms && (call->is_applied || is_lost)
        && (store->paused_clients & MEM_BIT (call->client)) == 0) {
      call->is_answered = true;
      *client = call->client;
      *result = call->result;
      call->result.value = NULL;
      if (!is_dead)
        return true;
      vp_store_result_clear (result);
    }
    /* A call whose answer was lost stays until it has taken effect. */
    if (call->is_answered && (call->is_applied || call->apply_ms == INT64_MAX))
      g_ptr_array_remove_index_fast (store->calls, i);
  }
  return false;
}
