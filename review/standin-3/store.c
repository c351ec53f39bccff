/* Stand-in for the platform's store and its advice service, as a process.
 *
 *   store SYSTEM_ADDRESS PLATFORM_ADDRESS
 *
 * The system calls the first address. At the second one, workers and the operator write:
 * POST /put/KEY stores the body under KEY, and entries under servers/ go after three heartbeats
 * without another write. POST /late/KEY, with a time in ms as body, lets the store carry out the
 * next write of KEY that much later, and leave it unanswered until then.
 */
#include "fake-http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS          20
#define HISTORY_MS       20000
#define ENTRIES_MAX      32
#define KEY_MAX          200
#define VALUE_MAX        1048576 /* the platform's value_bytes */
#define PAGE_ITEMS       500
#define PAGE_BYTES       (1u << 20)
#define WATCH_MAX_MS     30000
#define LEASE_MIN_MS     1000
#define LEASE_MAX_MS     600000
#define SERVER_SILENT_MS 4500 /* three heartbeats */

typedef struct {
  char *key;
  char *value; /* base64; NULL in an event that removes the key */
  int64_t revision;
  int64_t created;
  int64_t lease;
  int64_t written_ms;
} Item;

typedef struct {
  int64_t expires_ms;
  int64_t ttl_ms;
} Lease;

typedef struct {
  FakeRequest *call;
  char *prefix;
  int64_t after;
  int64_t deadline_ms;
} Watch;

static struct {
  GTree *items;       /* key -> Item */
  GPtrArray *events;  /* Item, oldest first */
  GHashTable *leases; /* number -> Lease */
  GPtrArray *watches; /* Watch */
  int64_t revision;
  int64_t dropped_revision; /* events up to this one are gone */
  int64_t last_lease;
  char *late_key; /* NULL: none */
  int64_t late_ms;
} _store;

static void
_item_free (gpointer data)
{
  Item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static Item *
_item_new (const char *key, const char *value, int64_t lease)
{
  Item *item = g_new0 (Item, 1);

  *item = (Item){ .key = g_strdup (key),
                  .value = g_strdup (value),
                  .revision = _store.revision,
                  .created = _store.revision,
                  .lease = lease,
                  .written_ms = fake_now_ms () };
  return item;
}

static void
_set (const char *key, const char *value, int64_t lease)
{
  const Item *before = g_tree_lookup (_store.items, key);
  Item *item = _item_new (key, value, lease);

  if (before != NULL)
    item->created = before->created;
  g_ptr_array_add (_store.events, _item_new (key, value, lease));
  g_tree_replace (_store.items, item->key, item);
}

static void
_remove (const char *key)
{
  if (g_tree_lookup (_store.items, key) == NULL)
    return;
  g_ptr_array_add (_store.events, _item_new (key, NULL, 0));
  g_tree_remove (_store.items, key);
}

/* Reads. */

static JsonObject *
_row (const Item *item)
{
  JsonObject *row = json_object_new ();

  json_object_set_string_member (row, "key", item->key);
  json_object_set_int_member (row, "revision", item->revision);
  if (item->value == NULL) {
    json_object_set_boolean_member (row, "removed", TRUE);
    return row;
  }
  json_object_set_string_member (row, "value", item->value);
  json_object_set_int_member (row, "created", item->created);
  json_object_set_int_member (row, "lease", item->lease);
  return row;
}

static void
_reply_rows (FakeRequest *call, unsigned status, const char *name, JsonArray *rows, bool has_more)
{
  JsonObject *body = json_object_new ();

  json_object_set_array_member (body, name, rows);
  json_object_set_int_member (body, "as_of", _store.revision);
  json_object_set_boolean_member (body, "more_pages", has_more);
  fake_reply_json (call, status, body);
}

static const char *
_argument (FakeRequest *call, const char *name)
{
  const char *text = MHD_lookup_connection_value (call->connection, MHD_GET_ARGUMENT_KIND, name);

  return text == NULL ? "" : text;
}

typedef struct {
  const char *prefix;
  const char *after;
  JsonArray *rows;
  gsize bytes;
  bool has_more;
} Page;

static gboolean
_add_to_page (gpointer key, gpointer value, gpointer data)
{
  const Item *item = value;
  Page *page = data;

  if (!g_str_has_prefix (key, page->prefix) || strcmp (key, page->after) <= 0)
    return FALSE;
  page->has_more = json_array_get_length (page->rows) == PAGE_ITEMS || page->bytes > PAGE_BYTES;
  if (page->has_more)
    return TRUE;
  page->bytes += strlen (item->value);
  json_array_add_object_element (page->rows, _row (item));
  return FALSE;
}

static void
_get_range (FakeRequest *call)
{
  Page page = { .prefix = _argument (call, "prefix"),
                .after = _argument (call, "after"),
                .rows = json_array_new () };

  g_tree_foreach (_store.items, _add_to_page, &page);
  _reply_rows (call, 200, "items", page.rows, page.has_more);
}

static void
_get_key (FakeRequest *call)
{
  const Item *item = g_tree_lookup (_store.items, _argument (call, "key"));
  JsonObject *row;

  if (item == NULL) {
    fake_reply_json (call, 404, json_object_new ());
    return;
  }
  row = _row (item);
  json_object_set_int_member (row, "as_of", _store.revision);
  fake_reply_json (call, 200, row);
}

/* Returns true if the watch was answered. */
static bool
_answer_watch (const Watch *watch)
{
  JsonArray *rows;

  if (watch->after < _store.dropped_revision) {
    fake_reply_json (watch->call, 410, json_object_new ());
    return true;
  }
  rows = json_array_new ();
  for (guint i = 0; i < _store.events->len; i++) {
    const Item *event = _store.events->pdata[i];
    if (event->revision > watch->after && g_str_has_prefix (event->key, watch->prefix))
      json_array_add_object_element (rows, _row (event));
  }
  if (json_array_get_length (rows) == 0 && fake_now_ms () < watch->deadline_ms) {
    json_array_unref (rows);
    return false;
  }
  _reply_rows (watch->call, 200, "events", rows, false);
  return true;
}

static void
_answer_watches (void)
{
  for (guint i = 0; i < _store.watches->len;) {
    Watch *watch = _store.watches->pdata[i];
    if (_answer_watch (watch)) {
      g_free (watch->prefix);
      g_free (watch);
      g_ptr_array_remove_index_fast (_store.watches, i);
    } else {
      i++;
    }
  }
}

static void
_start_watch (FakeRequest *call)
{
  Watch *watch = g_new0 (Watch, 1);
  int64_t wait_ms = fake_request_int (call, "wait_ms", 0);

  *watch = (Watch){ .call = call,
                    .prefix = g_strdup (_argument (call, "prefix")),
                    .after = fake_request_int (call, "after", 0),
                    .deadline_ms = fake_now_ms () + MIN (wait_ms, WATCH_MAX_MS) };
  g_ptr_array_add (_store.watches, watch);
  _answer_watches ();
}

/* Writes. */

static JsonArray *
_array (JsonObject *object, const char *name)
{
  return json_object_has_member (object, name) ? json_object_get_array_member (object, name) : NULL;
}

static guint
_length (JsonArray *array)
{
  return array == NULL ? 0 : json_array_get_length (array);
}

/* Returns the status of a transaction that the store can't take, or 200. */
static unsigned
_check_limits (JsonObject *change)
{
  JsonArray *sets = _array (change, "set_keys");

  if (_length (_array (change, "expected_rev")) + _length (sets)
          + _length (_array (change, "remove"))
      > ENTRIES_MAX)
    return 400;
  for (guint i = 0; i < _length (sets); i++) {
    JsonObject *row = json_array_get_object_element (sets, i);
    const char *key = fake_json_string (row, "key", "");
    int64_t lease = fake_json_int (row, "lease", 0);
    if (g_str_has_prefix (key, "op/") || g_str_has_prefix (key, "servers/"))
      return 403;
    if (strlen (key) > KEY_MAX || strlen (fake_json_string (row, "value", "")) / 4 * 3 > VALUE_MAX)
      return 400;
    if (lease != 0 && !g_hash_table_contains (_store.leases, &lease))
      return 404;
  }
  return 200;
}

/* Returns NULL if all conditions are met, else the current items of their keys. */
static JsonArray *
_check_conditions (JsonObject *change)
{
  JsonArray *expected = _array (change, "expected_rev");
  JsonArray *rows = json_array_new ();
  bool are_met = true;

  for (guint i = 0; i < _length (expected); i++) {
    JsonObject *row = json_array_get_object_element (expected, i);
    const Item *item = g_tree_lookup (_store.items, fake_json_string (row, "key", ""));
    are_met = are_met && (item == NULL ? 0 : item->revision) == fake_json_int (row, "revision", 0);
    if (item != NULL)
      json_array_add_object_element (rows, _row (item));
  }
  if (!are_met)
    return rows;
  json_array_unref (rows);
  return NULL;
}

static void
_transact (FakeRequest *call)
{
  JsonObject *change = fake_request_json (call);
  unsigned status = change == NULL ? 400 : _check_limits (change);
  JsonArray *rows = status == 200 ? _check_conditions (change) : NULL;
  JsonArray *sets = change == NULL ? NULL : _array (change, "set_keys");
  JsonArray *removes = change == NULL ? NULL : _array (change, "remove");
  JsonObject *body = json_object_new ();

  if (status != 200) {
    fprintf (stderr, "transaction refused with %u\n", status);
    fake_reply_json (call, status, body);
  } else if (rows != NULL) {
    json_object_unref (body);
    _reply_rows (call, 412, "items", rows, false);
  } else {
    _store.revision++;
    for (guint i = 0; i < _length (sets); i++) {
      JsonObject *row = json_array_get_object_element (sets, i);
      _set (fake_json_string (row, "key", ""), fake_json_string (row, "value", ""),
            fake_json_int (row, "lease", 0));
    }
    for (guint i = 0; i < _length (removes); i++)
      _remove (json_array_get_string_element (removes, i));
    json_object_set_int_member (body, "revision", _store.revision);
    fake_reply_json (call, 200, body);
    _answer_watches ();
  }
  g_clear_pointer (&change, json_object_unref);
}

static bool
_sets_late_key (FakeRequest *call)
{
  JsonObject *change = _store.late_key == NULL ? NULL : fake_request_json (call);
  JsonArray *sets = change == NULL ? NULL : _array (change, "set_keys");
  bool is_late = false;

  for (guint i = 0; i < _length (sets); i++)
    is_late = is_late
              || strcmp (fake_json_string (json_array_get_object_element (sets, i), "key", ""),
                         _store.late_key)
                     == 0;
  g_clear_pointer (&change, json_object_unref);
  return is_late;
}

static void
_transact_late (void *data)
{
  fprintf (stderr, "%" G_GINT64_FORMAT " late write\n", fake_now_ms ());
  _transact (data);
}

static void
_transact_or_wait (FakeRequest *call)
{
  if (!_sets_late_key (call)) {
    _transact (call);
    return;
  }
  fprintf (stderr, "%" G_GINT64_FORMAT " the write of %s waits\n", fake_now_ms (), _store.late_key);
  g_clear_pointer (&_store.late_key, g_free);
  fake_timer_add (fake_now_ms () + _store.late_ms, _transact_late, call);
}

/* Leases. */

static void
_grant_lease (FakeRequest *call)
{
  JsonObject *in = fake_request_json (call);
  JsonObject *out = json_object_new ();
  Lease *lease = g_new0 (Lease, 1);
  int64_t number = ++_store.last_lease;

  lease->ttl_ms
      = CLAMP (in == NULL ? 0 : fake_json_int (in, "ttl_ms", 0), LEASE_MIN_MS, LEASE_MAX_MS);
  lease->expires_ms = fake_now_ms () + lease->ttl_ms;
  g_hash_table_insert (_store.leases, g_memdup2 (&number, sizeof number), lease);
  json_object_set_int_member (out, "lease", number);
  json_object_set_int_member (out, "ttl_ms", lease->ttl_ms);
  fake_reply_json (call, 200, out);
  g_clear_pointer (&in, json_object_unref);
}

static void
_renew_lease (FakeRequest *call, const char *rest)
{
  int64_t number = g_ascii_strtoll (rest, NULL, 10);
  Lease *lease = g_hash_table_lookup (_store.leases, &number);

  if (lease != NULL)
    lease->expires_ms = fake_now_ms () + lease->ttl_ms;
  fake_reply_json (call, lease == NULL ? 404 : 200, json_object_new ());
}

typedef struct {
  int64_t lease; /* keys of this lease; 0: silent workers */
  int64_t now_ms;
  GPtrArray *keys;
} Expiry;

static gboolean
_collect_expired (gpointer key, gpointer value, gpointer data)
{
  const Item *item = value;
  const Expiry *expiry = data;
  bool is_silent
      = g_str_has_prefix (key, "servers/") && expiry->now_ms - item->written_ms > SERVER_SILENT_MS;

  if (expiry->lease != 0 ? item->lease == expiry->lease : is_silent)
    g_ptr_array_add (expiry->keys, g_strdup (key));
  return FALSE;
}

static void
_remove_expired (int64_t lease, int64_t now_ms)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  Expiry expiry = { .lease = lease, .now_ms = now_ms, .keys = keys };

  g_tree_foreach (_store.items, _collect_expired, &expiry);
  for (guint i = 0; i < keys->len; i++) {
    _store.revision++;
    _remove (keys->pdata[i]);
  }
}

static void
_tick (void *data)
{
  int64_t now_ms = fake_now_ms ();
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, _store.leases);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    if (now_ms < ((const Lease *)value)->expires_ms)
      continue;
    _remove_expired (*(int64_t *)key, now_ms);
    g_hash_table_iter_remove (&iter);
  }
  _remove_expired (0, now_ms);
  while (_store.events->len > 0) {
    const Item *oldest = _store.events->pdata[0];
    if (now_ms - oldest->written_ms <= HISTORY_MS)
      break;
    _store.dropped_revision = oldest->revision;
    g_ptr_array_remove_index (_store.events, 0);
  }
  _answer_watches ();
  fake_timer_add (now_ms + TICK_MS, _tick, data);
}

/* Advice: every worker that is named may run the step. */
static void
_advise (FakeRequest *call)
{
  JsonObject *in = fake_request_json (call);
  JsonArray *ids = in == NULL ? NULL : _array (in, "workers");
  JsonArray *rows = json_array_new ();
  JsonObject *out = json_object_new ();

  for (guint i = 0; i < _length (ids); i++) {
    JsonArray *row = json_array_new ();
    json_array_add_string_element (row, json_array_get_string_element (ids, i));
    json_array_add_string_element (row, "ticket");
    json_array_add_array_element (rows, row);
  }
  json_object_set_array_member (out, "healthy", rows);
  json_object_set_int_member (out, "valid_ms", 2500);
  fake_reply_json (call, 200, out);
  g_clear_pointer (&in, json_object_unref);
}

static void
_handle_system (FakeRequest *call, void *data)
{
  const char *rest;

  (void)data;
  if (fake_request_is (call, "GET", "/api/kv-key", &rest))
    _get_key (call);
  else if (fake_request_is (call, "GET", "/api/kv-range", &rest))
    _get_range (call);
  else if (fake_request_is (call, "GET", "/api/kv-watch", &rest))
    _start_watch (call);
  else if (fake_request_is (call, "POST", "/api/kv-txn", &rest))
    _transact_or_wait (call);
  else if (fake_request_is (call, "POST", "/api/kv-lease", &rest))
    _grant_lease (call);
  else if (fake_request_is (call, "POST", "/api/kv-keep/", &rest))
    _renew_lease (call, rest);
  else if (fake_request_is (call, "POST", "/api/advise", &rest))
    _advise (call);
  else
    fake_reply_json (call, 404, json_object_new ());
}

static void
_handle_platform (FakeRequest *call, void *data)
{
  g_autofree char *text = NULL;
  const char *key;

  (void)data;
  if (fake_request_is (call, "POST", "/late/", &key)) {
    text = g_strndup ((const char *)call->body->data, call->body->len);
    g_free (_store.late_key);
    _store.late_key = g_strdup (key);
    _store.late_ms = g_ascii_strtoll (text, NULL, 10);
    fake_reply_json (call, 200, json_object_new ());
    return;
  }
  if (!fake_request_is (call, "POST", "/put/", &key)) {
    fake_reply_json (call, 404, json_object_new ());
    return;
  }
  text = g_base64_encode (call->body->data, call->body->len);
  _store.revision++;
  _set (key, text, 0);
  fake_reply_json (call, 200, json_object_new ());
  _answer_watches ();
}

int
main (int argc, char **argv)
{
  if (argc != 3) {
    fprintf (stderr, "usage: store SYSTEM_ADDRESS PLATFORM_ADDRESS\n");
    return EXIT_FAILURE;
  }
  fake_setup ();
  _store.items = g_tree_new_full ((GCompareDataFunc)(void *)strcmp, NULL, NULL, _item_free);
  _store.events = g_ptr_array_new_with_free_func (_item_free);
  _store.leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  _store.watches = g_ptr_array_new ();
  _store.revision = 1;
  fake_listen (argv[1], 0, _handle_system, NULL);
  fake_listen (argv[2], 0, _handle_platform, NULL);
  _tick (NULL);
  fake_run ();
  return EXIT_SUCCESS;
}
