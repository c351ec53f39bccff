#include "store.h"

#include <string.h>

#define TICK_MS                 50
#define LOST_REPLY_DELAY_MAX_MS 3000 /* longest delay of a write without a reply */
#define WATCH_MAX_MS            30000

typedef struct {
  char *key;
  char *value; /* base64; NULL in an event that removes the key */
  int64_t revision;
  int64_t created_revision;
  int64_t lease;
} Item;

typedef struct {
  int64_t expires_ms;
  int64_t ttl_ms;
} Lease;

typedef struct {
  SoakStore *store;
  uint32_t node;
  SoakStoreFault fault;
} Endpoint;

typedef struct {
  Endpoint *endpoint;
  FakeRequest *call;
  char *prefix;
  int64_t after_revision;
  int64_t deadline_ms;
} Watch;

/* A call that is executed after a delay. */
typedef struct {
  Endpoint *endpoint;
  FakeRequest *call;  /* NULL if no reply is sent */
  JsonObject *change; /* the write; only without @call */
} DelayedCall;

struct _SoakStore {
  SoakStoreRewrite rewrite;
  void *data;
  GRand *rand;
  GTree *items;       /* key -> Item */
  GPtrArray *events;  /* Item, oldest first */
  GHashTable *leases; /* number -> Lease */
  GPtrArray *watches; /* Watch */
  int64_t revision;
  int64_t compacted_revision; /* events up to this revision are discarded */
  int64_t last_lease;
  FakeTimer *tick;
  Endpoint endpoints[SOAK_NODES_MAX];
};

static void
_item_free (gpointer data)
{
  Item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static Item *
_item_new (const char *key, const char *value, int64_t revision)
{
  Item *item = g_new0 (Item, 1);

  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = item->created_revision = revision;
  return item;
}

static void
_set_item (SoakStore *store, const char *key, const char *value, int64_t lease)
{
  Item *before = g_tree_lookup (store->items, key);
  Item *item = _item_new (key, value, store->revision);
  Item *event;

  item->lease = lease;
  if (before != NULL)
    item->created_revision = before->created_revision;
  event = _item_new (key, value, store->revision);
  event->lease = lease;
  g_ptr_array_add (store->events, event);
  g_tree_replace (store->items, item->key, item);
}

static void
_remove_item (SoakStore *store, const char *key)
{
  if (g_tree_lookup (store->items, key) == NULL)
    return;
  g_ptr_array_add (store->events, _item_new (key, NULL, store->revision));
  g_tree_remove (store->items, key);
}

/* Reads and watches. */

static JsonObject *
_item_to_json (const Endpoint *endpoint, const Item *item)
{
  JsonObject *row = json_object_new ();
  g_autofree char *rewritten = NULL;
  g_autofree char *text = NULL;

  json_object_set_string_member (row, "key", item->key);
  json_object_set_int_member (row, "revision", item->revision);
  if (item->value == NULL) {
    json_object_set_boolean_member (row, "removed", TRUE);
    return row;
  }
  rewritten
      = endpoint->store->rewrite (endpoint->node, item->key, item->value, endpoint->store->data);
  text = rewritten == NULL ? g_strdup (item->value)
                           : g_base64_encode ((const guchar *)rewritten, strlen (rewritten));
  json_object_set_string_member (row, "value", text);
  json_object_set_int_member (row, "created", item->created_revision);
  json_object_set_int_member (row, "lease", item->lease);
  return row;
}

static void
_reply_rows (FakeRequest *call, unsigned status, const char *name, JsonArray *rows, int64_t as_of)
{
  JsonObject *body = json_object_new ();

  json_object_set_array_member (body, name, rows);
  json_object_set_int_member (body, "as_of", as_of);
  json_object_set_boolean_member (body, "more_pages", FALSE);
  fake_reply_json (call, status, body);
}

static const char *
_query_argument (FakeRequest *call, const char *name)
{
  const char *text = MHD_lookup_connection_value (call->connection, MHD_GET_ARGUMENT_KIND, name);

  return text == NULL ? "" : text;
}

typedef struct {
  const Endpoint *endpoint;
  const char *prefix;
  JsonArray *rows;
} RangeQuery;

static gboolean
_add_item_to_range (gpointer key, gpointer value, gpointer data)
{
  RangeQuery *query = data;

  if (g_str_has_prefix (key, query->prefix))
    json_array_add_object_element (query->rows, _item_to_json (query->endpoint, value));
  return FALSE;
}

static void
_get_range (const Endpoint *endpoint, FakeRequest *call)
{
  RangeQuery query = { .endpoint = endpoint,
                       .prefix = _query_argument (call, "prefix"),
                       .rows = json_array_new () };

  g_tree_foreach (endpoint->store->items, _add_item_to_range, &query);
  _reply_rows (call, 200, "items", query.rows, endpoint->store->revision);
}

static void
_get_key (const Endpoint *endpoint, FakeRequest *call)
{
  const Item *item = g_tree_lookup (endpoint->store->items, _query_argument (call, "key"));
  JsonObject *row;

  if (item == NULL) {
    fake_reply_json (call, 404, json_object_new ());
    return;
  }
  row = _item_to_json (endpoint, item);
  json_object_set_int_member (row, "as_of", endpoint->store->revision);
  fake_reply_json (call, 200, row);
}

/* Returns true if the watch was answered. */
static bool
_answer_watch (const Watch *watch, int64_t now_ms)
{
  const SoakStore *store = watch->endpoint->store;
  JsonArray *rows;

  if (watch->after_revision < store->compacted_revision) {
    fake_reply_json (watch->call, 410, json_object_new ());
    return true;
  }
  rows = json_array_new ();
  for (guint i = 0; i < store->events->len; i++) {
    const Item *event = store->events->pdata[i];
    if (event->revision > watch->after_revision && g_str_has_prefix (event->key, watch->prefix))
      json_array_add_object_element (rows, _item_to_json (watch->endpoint, event));
  }
  if (json_array_get_length (rows) == 0 && now_ms < watch->deadline_ms) {
    json_array_unref (rows);
    return false;
  }
  _reply_rows (watch->call, 200, "events", rows, store->revision);
  return true;
}

static void
_answer_watches (SoakStore *store)
{
  for (guint i = 0; i < store->watches->len;) {
    Watch *watch = store->watches->pdata[i];
    if (_answer_watch (watch, fake_now_ms ())) {
      g_free (watch->prefix);
      g_free (watch);
      g_ptr_array_remove_index_fast (store->watches, i);
    } else {
      i++;
    }
  }
}

static void
_start_watch (Endpoint *endpoint, FakeRequest *call)
{
  Watch *watch = g_new0 (Watch, 1);

  watch->endpoint = endpoint;
  watch->call = call;
  watch->prefix = g_strdup (_query_argument (call, "prefix"));
  watch->after_revision = fake_request_int (call, "after", 0);
  watch->deadline_ms = fake_now_ms () + MIN (fake_request_int (call, "wait_ms", 0), WATCH_MAX_MS);
  g_ptr_array_add (endpoint->store->watches, watch);
  _answer_watches (endpoint->store);
}

/* Writes. */

static JsonArray *
_array_member (JsonObject *object, const char *name)
{
  return json_object_has_member (object, name) ? json_object_get_array_member (object, name) : NULL;
}

static guint
_array_length (JsonArray *array)
{
  return array == NULL ? 0 : json_array_get_length (array);
}

/* Returns NULL if all conditions of the change are met, else the current items of their keys. */
static JsonArray *
_check_conditions (const Endpoint *endpoint, JsonObject *change)
{
  JsonArray *expected = _array_member (change, "expected_rev");
  JsonArray *rows = json_array_new ();
  bool are_met = true;

  for (guint i = 0; i < _array_length (expected); i++) {
    JsonObject *row = json_array_get_object_element (expected, i);
    const Item *item = g_tree_lookup (endpoint->store->items, fake_json_string (row, "key", ""));
    are_met = are_met && (item == NULL ? 0 : item->revision) == fake_json_int (row, "revision", 0);
    if (item != NULL)
      json_array_add_object_element (rows, _item_to_json (endpoint, item));
  }
  if (!are_met)
    return rows;
  json_array_unref (rows);
  return NULL;
}

/* Returns true if the change sets a key under a lease that has ended. */
static bool
_has_ended_lease (const SoakStore *store, JsonObject *change)
{
  JsonArray *sets = _array_member (change, "set_keys");

  for (guint i = 0; i < _array_length (sets); i++) {
    int64_t lease = fake_json_int (json_array_get_object_element (sets, i), "lease", 0);
    if (lease != 0 && !g_hash_table_contains (store->leases, &lease))
      return true;
  }
  return false;
}

/* Applies the change if its conditions are met. No reply is sent if @call is NULL. */
static void
_apply_transaction (Endpoint *endpoint, JsonObject *change, FakeRequest *call)
{
  SoakStore *store = endpoint->store;
  JsonArray *rows = _check_conditions (endpoint, change);
  JsonArray *sets = _array_member (change, "set_keys");
  JsonArray *removes = _array_member (change, "remove");
  JsonObject *body;

  if (rows != NULL) {
    if (call != NULL)
      _reply_rows (call, 412, "items", rows, store->revision);
    else
      json_array_unref (rows);
    return;
  }
  if (_has_ended_lease (store, change)) {
    if (call != NULL)
      fake_reply_json (call, 404, json_object_new ());
    return;
  }
  store->revision++;
  for (guint i = 0; i < _array_length (sets); i++) {
    JsonObject *row = json_array_get_object_element (sets, i);
    _set_item (store, fake_json_string (row, "key", ""), fake_json_string (row, "value", ""),
               fake_json_int (row, "lease", 0));
  }
  for (guint i = 0; i < _array_length (removes); i++)
    _remove_item (store, json_array_get_string_element (removes, i));
  if (call != NULL) {
    body = json_object_new ();
    json_object_set_int_member (body, "revision", store->revision);
    fake_reply_json (call, 200, body);
  }
  _answer_watches (store);
}

static void
_grant_lease (SoakStore *store, FakeRequest *call)
{
  JsonObject *in = fake_request_json (call);
  JsonObject *out = json_object_new ();
  Lease *lease = g_new0 (Lease, 1);
  int64_t number = ++store->last_lease;

  lease->ttl_ms = in == NULL ? 4000 : fake_json_int (in, "ttl_ms", 4000);
  lease->expires_ms = fake_now_ms () + lease->ttl_ms;
  g_hash_table_insert (store->leases, g_memdup2 (&number, sizeof number), lease);
  json_object_set_int_member (out, "lease", number);
  json_object_set_int_member (out, "ttl_ms", lease->ttl_ms);
  fake_reply_json (call, 200, out);
  g_clear_pointer (&in, json_object_unref);
}

static void
_renew_lease (SoakStore *store, FakeRequest *call, const char *rest)
{
  int64_t number = g_ascii_strtoll (rest, NULL, 10);
  Lease *lease = g_hash_table_lookup (store->leases, &number);

  if (lease != NULL)
    lease->expires_ms = fake_now_ms () + lease->ttl_ms;
  fake_reply_json (call, lease == NULL ? 404 : 200, json_object_new ());
}

typedef struct {
  int64_t lease;
  GPtrArray *keys;
} LeaseKeys;

static gboolean
_collect_lease_key (gpointer key, gpointer value, gpointer data)
{
  const LeaseKeys *lease_keys = data;

  if (((const Item *)value)->lease == lease_keys->lease)
    g_ptr_array_add (lease_keys->keys, g_strdup (key));
  return FALSE;
}

static void
_expire_leases (SoakStore *store, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
    LeaseKeys lease_keys = { .lease = *(int64_t *)key, .keys = keys };
    if (now_ms < ((const Lease *)value)->expires_ms)
      continue;
    g_tree_foreach (store->items, _collect_lease_key, &lease_keys);
    store->revision++;
    for (guint i = 0; i < keys->len; i++)
      _remove_item (store, keys->pdata[i]);
    g_hash_table_iter_remove (&iter);
  }
}

static void
_tick (void *data)
{
  SoakStore *store = data;

  _expire_leases (store, fake_now_ms ());
  _answer_watches (store);
  store->tick = fake_timer_add (fake_now_ms () + TICK_MS, _tick, store);
}

/* Calls. */

static void
_dispatch (Endpoint *endpoint, FakeRequest *call)
{
  SoakStore *store = endpoint->store;
  const char *rest;

  if (fake_request_is (call, "GET", "/api/kv-key", &rest)) {
    _get_key (endpoint, call);
  } else if (fake_request_is (call, "GET", "/api/kv-range", &rest)) {
    _get_range (endpoint, call);
  } else if (fake_request_is (call, "GET", "/api/kv-watch", &rest)) {
    _start_watch (endpoint, call);
  } else if (fake_request_is (call, "POST", "/api/kv-lease", &rest)) {
    _grant_lease (store, call);
  } else if (fake_request_is (call, "POST", "/api/kv-keep/", &rest)) {
    _renew_lease (store, call, rest);
  } else if (fake_request_is (call, "POST", "/api/kv-txn", &rest)) {
    JsonObject *change = fake_request_json (call);
    if (change == NULL)
      fake_reply_json (call, 400, json_object_new ());
    else
      _apply_transaction (endpoint, change, call);
    g_clear_pointer (&change, json_object_unref);
  } else {
    fake_reply_json (call, 404, json_object_new ());
  }
}

static void
_run_delayed_call (void *data)
{
  DelayedCall *delayed = data;

  if (delayed->call != NULL)
    _dispatch (delayed->endpoint, delayed->call);
  else
    _apply_transaction (delayed->endpoint, delayed->change, NULL);
  g_clear_pointer (&delayed->change, json_object_unref);
  g_free (delayed);
}

/* Executes the write, at once or after a delay, and closes the connection without a reply. */
static void
_lose_reply (Endpoint *endpoint, FakeRequest *call)
{
  SoakStore *store = endpoint->store;
  DelayedCall *delayed = g_new0 (DelayedCall, 1);

  delayed->endpoint = endpoint;
  delayed->change = fake_request_json (call);
  if (delayed->change == NULL)
    g_free (delayed);
  else
    fake_timer_add (fake_now_ms ()
                        + (g_rand_boolean (store->rand)
                               ? 0
                               : g_rand_int_range (store->rand, 0, LOST_REPLY_DELAY_MAX_MS)),
                    _run_delayed_call, delayed);
  fake_abort (call);
}

static void
_handle_call (FakeRequest *call, void *data)
{
  Endpoint *endpoint = data;
  DelayedCall *delayed;

  switch (endpoint->fault.mode) {
  case SOAK_STORE_REJECTS:
    fake_reply_json (call, 503, json_object_new ());
    return;
  case SOAK_STORE_DISCONNECTS:
    fake_abort (call);
    return;
  case SOAK_STORE_UNRESPONSIVE:
    return;
  case SOAK_STORE_LOSES_REPLIES:
    if (strcmp (call->path, "/api/kv-txn") == 0
        && g_rand_double (endpoint->store->rand) < endpoint->fault.lost_share) {
      _lose_reply (endpoint, call);
      return;
    }
    break;
  case SOAK_STORE_SERVES:
    break;
  }
  if (endpoint->fault.delay_ms == 0) {
    _dispatch (endpoint, call);
    return;
  }
  delayed = g_new0 (DelayedCall, 1);
  delayed->endpoint = endpoint;
  delayed->call = call;
  fake_timer_add (fake_now_ms () + endpoint->fault.delay_ms, _run_delayed_call, delayed);
}

SoakStore *
soak_store_new (uint32_t seed, SoakStoreRewrite rewrite, void *data)
{
  SoakStore *store = g_new0 (SoakStore, 1);

  store->rewrite = rewrite;
  store->data = data;
  store->rand = g_rand_new_with_seed (seed);
  store->items = g_tree_new_full ((GCompareDataFunc)(void *)strcmp, NULL, NULL, _item_free);
  store->events = g_ptr_array_new_with_free_func (_item_free);
  store->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  store->watches = g_ptr_array_new ();
  store->revision = 1;
  _tick (store);
  return store;
}

void
soak_store_listen (SoakStore *store, uint32_t node, const char *address)
{
  Endpoint *endpoint = &store->endpoints[node];

  endpoint->store = store;
  endpoint->node = node;
  fake_listen (address, 0, _handle_call, endpoint);
}

void
soak_store_put (SoakStore *store, const char *key, const char *text)
{
  g_autofree char *value
      = text == NULL ? NULL : g_base64_encode ((const guchar *)text, strlen (text));

  store->revision++;
  if (value == NULL)
    _remove_item (store, key);
  else
    _set_item (store, key, value, 0);
  _answer_watches (store);
}

static gboolean
_find_leader (gpointer key, gpointer value, gpointer data)
{
  const Item *item = value;
  gsize size;
  g_autofree guchar *record = NULL;
  const char *name;

  if (!g_str_has_suffix (key, "/lead"))
    return FALSE;
  record = g_base64_decode (item->value, &size);
  /* The name in the binary record ends with a NUL. */
  name = memmem (record, size, "node-", strlen ("node-"));
  if (name != NULL)
    *(int32_t *)data = (int32_t)g_ascii_strtoull (name + strlen ("node-"), NULL, 10);
  return TRUE;
}

int32_t
soak_store_leader (SoakStore *store)
{
  int32_t number = -1;

  g_tree_foreach (store->items, _find_leader, &number);
  return number;
}

void
soak_store_set_fault (SoakStore *store, uint32_t node, const SoakStoreFault *fault)
{
  store->endpoints[node].fault = *fault;
}

bool
soak_store_has_outage (const SoakStore *store)
{
  for (uint32_t i = 0; i < SOAK_NODES_MAX; i++) {
    SoakStoreMode mode = store->endpoints[i].fault.mode;
    if (mode != SOAK_STORE_SERVES && mode != SOAK_STORE_LOSES_REPLIES)
      return true;
  }
  return false;
}

void
soak_store_compact (SoakStore *store)
{
  store->compacted_revision = store->revision;
  g_ptr_array_set_size (store->events, 0);
  _answer_watches (store);
}
