#include "store.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define ANSWER_MS      4
#define TICK_MS        50
#define PAGE_ITEMS_MAX 500
#define PAGE_BYTES_MAX (1024 * 1024)
#define WATCH_MAX_MS   30000

typedef struct {
  char *key;
  char *value; /* base64; NULL: removed */
  int64_t revision;
  int64_t created;
  int64_t lease;
} Item;

typedef struct {
  int64_t ttl_ms;
  int64_t ends_ms;
} Lease;

typedef struct {
  HttpCall *call;
  char *prefix;
  int64_t after;
  int64_t ends_ms;
} Watch;

struct _Store {
  size_t value_max;
  GTree *items;       /* key -> Item */
  GPtrArray *events;  /* Item */
  GHashTable *leases; /* number -> Lease */
  GPtrArray *watches;
  int64_t revision;
  int64_t last_lease;
  uint32_t refused_count;
  size_t longest;
};

static void
_item_free (gpointer data)
{
  Item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static gint
_compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
_append_item (GString *out, const Item *item)
{
  if (item->value == NULL)
    g_string_append_printf (out,
                            "{\"key\":\"%s\",\"revision\":%" G_GINT64_FORMAT ",\"removed\":true}",
                            item->key, item->revision);
  else
    g_string_append_printf (out,
                            "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%" G_GINT64_FORMAT
                            ",\"created\":%" G_GINT64_FORMAT ",\"lease\":%" G_GINT64_FORMAT "}",
                            item->key, item->value, item->revision, item->created, item->lease);
}

static void
_answer (HttpCall *call, int status, GString *body)
{
  http_reply_later (call, status, g_string_free (body, FALSE), ANSWER_MS);
}

static void
_answer_status (HttpCall *call, int status)
{
  _answer (call, status, g_string_new ("{}"));
}

/* Sets or removes a key at the current revision, which the caller has raised. */
static void
_change (Store *store, const char *key, const char *value, int64_t lease)
{
  const Item *old = g_tree_lookup (store->items, key);
  Item *event = g_new0 (Item, 1);

  if (old == NULL && value == NULL) {
    g_free (event);
    return;
  }
  *event = (Item){ .key = g_strdup (key),
                   .value = g_strdup (value),
                   .revision = store->revision,
                   .created = old == NULL ? store->revision : old->created,
                   .lease = lease };
  g_ptr_array_add (store->events, event);
  if (value == NULL) {
    g_tree_remove (store->items, key);
  } else {
    Item *item = g_new0 (Item, 1);
    *item = *event;
    item->key = g_strdup (key);
    item->value = g_strdup (value);
    g_tree_replace (store->items, item->key, item);
    /* cppcheck-suppress memleak; the tree owns it */
  }
}

/* Answers the watch if there are events for it. Returns true if it was answered. */
static bool
_serve_watch (Store *store, Watch *watch, bool is_over)
{
  g_autoptr (GString) body = g_string_new ("{\"events\":[");
  guint first = store->events->len;
  guint count = 0;

  while (first > 0 && ((Item *)store->events->pdata[first - 1])->revision > watch->after)
    first--;
  for (guint i = first; i < store->events->len; i++) {
    const Item *event = store->events->pdata[i];
    if (!g_str_has_prefix (event->key, watch->prefix))
      continue;
    g_string_append (body, count++ == 0 ? "" : ",");
    _append_item (body, event);
  }
  if (count == 0 && !is_over)
    return false;
  g_string_append_printf (body, "],\"as_of\":%" G_GINT64_FORMAT "}", store->revision);
  _answer (watch->call, 200, g_steal_pointer (&body));
  return true;
}

static void
_serve_watches (Store *store)
{
  for (guint i = 0; i < store->watches->len;) {
    Watch *watch = store->watches->pdata[i];
    if (!_serve_watch (store, watch, now_ms () >= watch->ends_ms)) {
      i++;
      continue;
    }
    g_ptr_array_remove_index_fast (store->watches, i);
    g_free (watch->prefix);
    g_free (watch);
  }
}

static gboolean
_collect_leased (gpointer key, gpointer value, gpointer data)
{
  void **args = data;

  if (((Item *)value)->lease == *(int64_t *)args[0])
    g_ptr_array_add (args[1], g_strdup (key));
  return FALSE;
}

static void
_end_lease (Store *store, int64_t lease)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  void *args[] = { &lease, keys };

  g_tree_foreach (store->items, _collect_leased, args);
  for (guint i = 0; i < keys->len; i++) {
    store->revision++;
    _change (store, keys->pdata[i], NULL, 0);
  }
}

static gboolean
_on_tick (gpointer data)
{
  Store *store = data;
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    int64_t lease = *(int64_t *)key;
    if (now_ms () < ((Lease *)value)->ends_ms)
      continue;
    g_hash_table_iter_remove (&iter);
    _end_lease (store, lease);
  }
  _serve_watches (store);
  return G_SOURCE_CONTINUE;
}

void
store_put (Store *store, const char *key, const char *value)
{
  g_autofree char *text
      = value == NULL ? NULL : g_base64_encode ((const guchar *)value, strlen (value));

  store->revision++;
  _change (store, key, text, 0);
  _serve_watches (store);
}

char *
store_get (const Store *store, const char *key)
{
  const Item *item = g_tree_lookup (store->items, key);
  gsize size = 0;
  char *text;

  if (item == NULL)
    return NULL;
  text = (char *)g_base64_decode (item->value, &size);
  text = g_realloc (text, size + 1);
  text[size] = '\0';
  for (gsize i = 0; i < size; i++)
    text[i] = text[i] == '\0' ? '.' : text[i];
  return text;
}

uint32_t
store_refused_count (const Store *store)
{
  return store->refused_count;
}

size_t
store_longest (const Store *store)
{
  return store->longest;
}

static void
_get_key (Store *store, HttpCall *call)
{
  g_autofree char *key = http_call_query (call, "key");
  const Item *item = key == NULL ? NULL : g_tree_lookup (store->items, key);
  GString *body;

  if (item == NULL) {
    _answer_status (call, 404);
    return;
  }
  body = g_string_new (NULL);
  _append_item (body, item);
  g_string_truncate (body, body->len - 1);
  g_string_append_printf (body, ",\"as_of\":%" G_GINT64_FORMAT "}", store->revision);
  _answer (call, 200, body);
}

typedef struct {
  const char *prefix;
  const char *after;
  GString *body;
  guint count;
  bool has_more;
} Range;

static gboolean
_append_in_range (gpointer key, gpointer value, gpointer data)
{
  Range *range = data;

  if (!g_str_has_prefix (key, range->prefix)
      || (range->after != NULL && strcmp (key, range->after) <= 0))
    return FALSE;
  if (range->count >= PAGE_ITEMS_MAX
      || (range->count > 0
          && range->body->len + strlen (((Item *)value)->value) > PAGE_BYTES_MAX)) {
    range->has_more = true;
    return TRUE;
  }
  g_string_append (range->body, range->count++ == 0 ? "" : ",");
  _append_item (range->body, value);
  return FALSE;
}

static void
_get_range (Store *store, HttpCall *call)
{
  g_autofree char *prefix = http_call_query (call, "prefix");
  g_autofree char *after = http_call_query (call, "after");
  Range range = { .prefix = prefix == NULL ? "" : prefix, .after = after };

  range.body = g_string_new ("{\"items\":[");
  g_tree_foreach (store->items, _append_in_range, &range);
  g_string_append_printf (range.body, "],\"more_pages\":%s,\"as_of\":%" G_GINT64_FORMAT "}",
                          range.has_more ? "true" : "false", store->revision);
  _answer (call, 200, range.body);
}

static void
_watch (Store *store, HttpCall *call)
{
  g_autofree char *after = http_call_query (call, "after");
  g_autofree char *wait = http_call_query (call, "wait_ms");
  char *prefix = http_call_query (call, "prefix");
  Watch *watch = g_new0 (Watch, 1);
  int64_t wait_ms = wait == NULL ? 0 : g_ascii_strtoll (wait, NULL, 10);

  watch->call = call;
  watch->prefix = prefix == NULL ? g_strdup ("") : prefix;
  watch->after = after == NULL ? 0 : g_ascii_strtoll (after, NULL, 10);
  watch->ends_ms = now_ms () + MIN (wait_ms, WATCH_MAX_MS);
  g_ptr_array_add (store->watches, watch);
  _serve_watches (store);
}

/* Returns the array of the field; NULL if there is none. */
static JsonArray *
_rows (JsonObject *in, const char *field)
{
  return json_object_has_member (in, field) ? json_object_get_array_member (in, field) : NULL;
}

static guint
_length (JsonArray *rows)
{
  return rows == NULL ? 0 : json_array_get_length (rows);
}

/* Returns true if all conditions hold. Writes the present items to @out otherwise. */
static bool
_check_conditions (Store *store, JsonArray *rows, GString *out)
{
  bool is_met = true;

  for (guint i = 0; i < _length (rows); i++) {
    JsonObject *row = json_array_get_object_element (rows, i);
    const Item *item = g_tree_lookup (store->items, json_object_get_string_member (row, "key"));
    int64_t revision = item == NULL ? 0 : item->revision;
    is_met = is_met && revision == json_object_get_int_member (row, "revision");
    if (item == NULL)
      continue;
    g_string_append (out, out->len == 0 ? "" : ",");
    _append_item (out, item);
  }
  return is_met;
}

/* Returns the status of a change that isn't made: a value is too long, a key is the platform's, or
 * a lease has ended. Returns 0 if nothing is wrong. */
static int
_check_values (Store *store, JsonArray *rows)
{
  for (guint i = 0; i < _length (rows); i++) {
    JsonObject *row = json_array_get_object_element (rows, i);
    const char *key = json_object_get_string_member (row, "key");
    size_t size = strlen (json_object_get_string_member (row, "value")) / 4 * 3;
    int64_t lease
        = json_object_has_member (row, "lease") ? json_object_get_int_member (row, "lease") : 0;
    store->longest = MAX (store->longest, size);
    if (g_str_has_prefix (key, "op/") || g_str_has_prefix (key, "servers/"))
      return 403;
    if (lease != 0 && !g_hash_table_contains (store->leases, &lease))
      return 404;
    if (size <= store->value_max + 2)
      continue;
    store->refused_count++;
    return 413;
  }
  return 0;
}

static void
_txn (Store *store, HttpCall *call)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_autoptr (GString) present = g_string_new (NULL);
  JsonObject *in;
  JsonArray *sets, *removed;
  GString *body;
  int status;

  if (!json_parser_load_from_data (parser, http_call_body (call), -1, NULL)) {
    _answer_status (call, 400);
    return;
  }
  in = json_node_get_object (json_parser_get_root (parser));
  sets = _rows (in, "set_keys");
  removed = _rows (in, "remove");
  status = _check_values (store, sets);
  if (status != 0) {
    _answer_status (call, status);
    return;
  }
  if (!_check_conditions (store, _rows (in, "expected_rev"), present)) {
    body = g_string_new (NULL);
    g_string_printf (body, "{\"items\":[%s]}", present->str);
    _answer (call, 412, body);
    return;
  }
  store->revision++;
  for (guint i = 0; i < _length (sets); i++) {
    JsonObject *row = json_array_get_object_element (sets, i);
    _change (store, json_object_get_string_member (row, "key"),
             json_object_get_string_member (row, "value"),
             json_object_has_member (row, "lease") ? json_object_get_int_member (row, "lease") : 0);
  }
  for (guint i = 0; i < _length (removed); i++)
    _change (store, json_array_get_string_element (removed, i), NULL, 0);
  body = g_string_new (NULL);
  g_string_printf (body, "{\"revision\":%" G_GINT64_FORMAT "}", store->revision);
  _answer (call, 200, body);
  _serve_watches (store);
}

static void
_grant (Store *store, HttpCall *call)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  Lease *lease = g_new0 (Lease, 1);
  GString *body = g_string_new (NULL);

  lease->ttl_ms = 1000;
  if (json_parser_load_from_data (parser, http_call_body (call), -1, NULL))
    lease->ttl_ms
        = MAX (lease->ttl_ms, json_object_get_int_member (
                                  json_node_get_object (json_parser_get_root (parser)), "ttl_ms"));
  lease->ends_ms = now_ms () + lease->ttl_ms;
  store->last_lease++;
  g_hash_table_insert (store->leases, g_memdup2 (&store->last_lease, sizeof store->last_lease),
                       lease);
  g_string_printf (body, "{\"lease\":%" G_GINT64_FORMAT ",\"ttl_ms\":%" G_GINT64_FORMAT "}",
                   store->last_lease, lease->ttl_ms);
  _answer (call, 200, body);
}

static void
_keep (Store *store, HttpCall *call)
{
  int64_t number = g_ascii_strtoll (strrchr (http_call_path (call), '/') + 1, NULL, 10);
  Lease *lease = g_hash_table_lookup (store->leases, &number);

  if (lease != NULL)
    lease->ends_ms = now_ms () + lease->ttl_ms;
  _answer_status (call, lease == NULL ? 404 : 200);
}

static void
_handle (HttpCall *call, void *data)
{
  Store *store = data;
  const char *path = http_call_path (call);

  if (strcmp (path, "/api/kv-key") == 0)
    _get_key (store, call);
  else if (strcmp (path, "/api/kv-range") == 0)
    _get_range (store, call);
  else if (strcmp (path, "/api/kv-watch") == 0)
    _watch (store, call);
  else if (strcmp (path, "/api/kv-txn") == 0)
    _txn (store, call);
  else if (strcmp (path, "/api/kv-lease") == 0)
    _grant (store, call);
  else if (g_str_has_prefix (path, "/api/kv-keep/"))
    _keep (store, call);
  else
    _answer_status (call, 404);
}

Store *
store_start (uint16_t port, size_t value_max)
{
  Store *store = g_new0 (Store, 1);

  store->value_max = value_max;
  store->items = g_tree_new_full (_compare_keys, NULL, NULL, _item_free);
  store->events = g_ptr_array_new ();
  store->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  store->watches = g_ptr_array_new ();
  store->revision = 1;
  http_listen (port, _handle, store);
  g_timeout_add (TICK_MS, _on_tick, store);
  return store;
}
