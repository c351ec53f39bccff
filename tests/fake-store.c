/* Stand-in for the platform's store, see docs/interface-store.md. */
#include "fake-http.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_MAX (1u << 20) /* bytes; limit of the interface */

typedef struct {
  char *key;
  GBytes *value;      /* NULL: the key doesn't exist */
  uint64_t version;   /* 0: the key doesn't exist */
  GBytes *last_value; /* value before the last write, for stale_reads */
  uint64_t last_version;
  uint64_t lease;
  GPtrArray *watches; /* Watch */
} Entry;

typedef struct {
  FakeRequest *request;
  Entry *entry;
  FakeTimer *timer;
} Watch;

typedef struct {
  uint64_t id;
  int64_t ttl_ms;
  FakeTimer *timer;
} Lease;

typedef struct {
  int64_t per_s; /* 0: no limit */
  double tokens; /* a token bucket that holds one second's operations */
  int64_t refilled_ms;
} Rate;

static struct {
  const char *address;
  GHashTable *entries; /* key -> Entry */
  GHashTable *leases;  /* id -> Lease */
  uint64_t version, lease;
  bool is_outage, is_stale;
  int64_t slow_ms, lose_answers;
  Rate read_rate, write_rate;
  int64_t reads, writes, watches, lease_calls, refused;
} _store;

static Entry *
_store_entry (const char *key)
{
  Entry *entry = g_hash_table_lookup (_store.entries, key);

  if (entry == NULL) {
    entry = g_new0 (Entry, 1);
    entry->key = g_strdup (key);
    entry->watches = g_ptr_array_new ();
    g_hash_table_insert (_store.entries, entry->key, entry);
  }
  return entry;
}

static void
_store_reply_value (FakeRequest *request, const Entry *entry, bool is_stale)
{
  GBytes *value = is_stale ? entry->last_value : entry->value;

  fake_reply (request, value != NULL ? 200 : 404, "X-Version",
              is_stale ? entry->last_version : entry->version, value);
}

static void
_store_watch_end (Watch *watch)
{
  fake_timer_cancel (&watch->timer);
  if (_store.is_outage)
    fake_reply (watch->request, 503, NULL, 0, NULL);
  else
    _store_reply_value (watch->request, watch->entry, false);
  g_free (watch);
}

static void
_store_watch_timeout (void *data)
{
  Watch *watch = data;

  g_ptr_array_remove_fast (watch->entry->watches, watch);
  fake_reply (watch->request, 304, NULL, 0, NULL);
  g_free (watch);
}

/* Answers all watches of the entry. */
static void
_store_end_watches (Entry *entry)
{
  g_autoptr (GPtrArray) watches = g_steal_pointer (&entry->watches);

  entry->watches = g_ptr_array_new ();
  for (guint i = 0; i < watches->len; i++)
    _store_watch_end (watches->pdata[i]);
}

/* Takes over @value; NULL deletes the key. */
static void
_store_write (Entry *entry, GBytes *value, uint64_t lease)
{
  g_clear_pointer (&entry->last_value, g_bytes_unref);
  entry->last_value = entry->value;
  entry->last_version = entry->version;
  entry->value = value;
  entry->version = value != NULL ? ++_store.version : 0;
  entry->lease = lease;
  _store_end_watches (entry);
}

static void
_store_lease_end (void *data)
{
  Lease *lease = data;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, _store.entries);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    Entry *entry = value;
    if (entry->lease == lease->id && entry->value != NULL)
      _store_write (entry, NULL, 0);
  }
  g_hash_table_remove (_store.leases, &lease->id);
  g_free (lease);
}

/* Whether the rate allows another operation now. */
static bool
_store_take_token (Rate *rate)
{
  int64_t now_ms = fake_now_ms ();

  if (rate->per_s == 0)
    return true;
  rate->tokens += (double)((now_ms - rate->refilled_ms) * rate->per_s) / 1000.0;
  rate->tokens = MIN (rate->tokens, (double)rate->per_s);
  rate->refilled_ms = now_ms;
  if (rate->tokens < 1)
    return false;
  rate->tokens -= 1;
  return true;
}

static void
_store_set_rate (Rate *rate, int64_t per_s)
{
  *rate = (Rate){ .per_s = per_s, .tokens = (double)per_s, .refilled_ms = fake_now_ms () };
}

static void
_store_get (FakeRequest *request, const char *key)
{
  int64_t version = fake_request_int (request, "watch", -1);
  Entry *entry = _store_entry (key);
  Watch *watch;

  if (version < 0) {
    _store.reads++;
    _store_reply_value (request, entry, _store.is_stale);
    return;
  }
  _store.watches++;
  if (entry->version != (uint64_t)version) {
    _store_reply_value (request, entry, false);
    return;
  }
  watch = g_new0 (Watch, 1);
  watch->request = request;
  watch->entry = entry;
  watch->timer = fake_timer_add (fake_now_ms () + fake_request_int (request, "wait_ms", 0),
                                 _store_watch_timeout, watch);
  g_ptr_array_add (entry->watches, watch);
}

/* Answers a write that took effect, unless the answer is to be lost. */
static void
_store_reply_written (FakeRequest *request, const Entry *entry)
{
  if (_store.lose_answers > 0) {
    _store.lose_answers--;
    fake_abort (request);
  } else {
    fake_reply (request, 200, "X-Version", entry->version, NULL);
  }
}

static void
_store_put (FakeRequest *request, const char *key)
{
  Entry *entry = _store_entry (key);
  uint64_t lease = (uint64_t)fake_request_int (request, "lease", 0);

  _store.writes++;
  if (request->body->len > VALUE_MAX) {
    fake_reply (request, 413, NULL, 0, NULL);
  } else if (entry->version != (uint64_t)fake_request_int (request, "version", 0)) {
    fake_reply (request, 409, "X-Version", entry->version, entry->value);
  } else if (lease != 0 && !g_hash_table_contains (_store.leases, &lease)) {
    fake_reply (request, 410, NULL, 0, NULL);
  } else {
    _store_write (entry, g_bytes_new (request->body->data, request->body->len), lease);
    _store_reply_written (request, entry);
  }
}

static void
_store_delete (FakeRequest *request, const char *key)
{
  Entry *entry = _store_entry (key);

  _store.writes++;
  if (entry->value == NULL) {
    fake_reply (request, 404, "X-Version", 0, NULL);
  } else if (entry->version != (uint64_t)fake_request_int (request, "version", 0)) {
    fake_reply (request, 409, "X-Version", entry->version, entry->value);
  } else {
    _store_write (entry, NULL, 0);
    _store_reply_written (request, entry);
  }
}

static void
_store_lease_grant (FakeRequest *request)
{
  Lease *lease = g_new0 (Lease, 1);

  lease->id = ++_store.lease;
  lease->ttl_ms = fake_request_int (request, "ttl_ms", 1000);
  lease->timer = fake_timer_add (fake_now_ms () + lease->ttl_ms, _store_lease_end, lease);
  g_hash_table_insert (_store.leases, &lease->id, lease);
  fake_reply (request, 201, "X-Lease", lease->id, NULL);
}

static void
_store_lease_call (FakeRequest *request, const char *text, bool is_renewal)
{
  uint64_t id = g_ascii_strtoull (text, NULL, 10);
  Lease *lease = g_hash_table_lookup (_store.leases, &id);

  if (lease == NULL) {
    fake_reply (request, 404, NULL, 0, NULL);
    return;
  }
  fake_timer_cancel (&lease->timer);
  if (is_renewal)
    lease->timer = fake_timer_add (fake_now_ms () + lease->ttl_ms, _store_lease_end, lease);
  else
    _store_lease_end (lease);
  fake_reply (request, 200, NULL, 0, NULL);
}

static void
_store_serve (void *data)
{
  FakeRequest *request = data;
  bool is_read = strcmp (request->method, "GET") == 0;
  const char *rest;

  if (_store.is_outage || !_store_take_token (is_read ? &_store.read_rate : &_store.write_rate)) {
    _store.refused++;
    fake_reply (request, _store.is_outage ? 503 : 429, NULL, 0, NULL);
  } else if (fake_request_is (request, "GET", "/v1/kv/", &rest)) {
    _store_get (request, rest);
  } else if (fake_request_is (request, "PUT", "/v1/kv/", &rest)) {
    _store_put (request, rest);
  } else if (fake_request_is (request, "DELETE", "/v1/kv/", &rest)) {
    _store_delete (request, rest);
  } else if (fake_request_is (request, "POST", "/v1/leases", &rest)) {
    _store.lease_calls++;
    _store_lease_grant (request);
  } else if (fake_request_is (request, "POST", "/v1/leases/", &rest)) {
    _store.lease_calls++;
    _store_lease_call (request, rest, true);
  } else if (fake_request_is (request, "DELETE", "/v1/leases/", &rest)) {
    _store.lease_calls++;
    _store_lease_call (request, rest, false);
  } else {
    fake_reply (request, 404, NULL, 0, NULL);
  }
}

static void
_store_control (FakeRequest *request)
{
  JsonObject *object = fake_request_json (request);
  GHashTableIter iter;
  gpointer entry;

  if (object == NULL) {
    fake_reply (request, 400, NULL, 0, NULL);
    return;
  }
  _store.is_outage = fake_json_int (object, "outage", _store.is_outage) != 0;
  _store.is_stale = fake_json_int (object, "stale_reads", _store.is_stale) != 0;
  _store.slow_ms = fake_json_int (object, "slow_ms", _store.slow_ms);
  _store.lose_answers = fake_json_int (object, "lose_answers", _store.lose_answers);
  if (json_object_has_member (object, "writes_per_s"))
    _store_set_rate (&_store.write_rate, fake_json_int (object, "writes_per_s", 0));
  if (json_object_has_member (object, "reads_per_s"))
    _store_set_rate (&_store.read_rate, fake_json_int (object, "reads_per_s", 0));
  g_hash_table_iter_init (&iter, _store.entries);
  while (_store.is_outage && g_hash_table_iter_next (&iter, NULL, &entry))
    _store_end_watches (entry);
  json_object_unref (object);
  fake_reply (request, 200, NULL, 0, NULL);
}

static void
_store_counts (FakeRequest *request)
{
  JsonObject *object = json_object_new ();

  json_object_set_int_member (object, "reads", _store.reads);
  json_object_set_int_member (object, "writes", _store.writes);
  json_object_set_int_member (object, "watches", _store.watches);
  json_object_set_int_member (object, "leases", _store.lease_calls);
  json_object_set_int_member (object, "refused", _store.refused);
  fake_reply_json (request, 200, object);
}

static void
_store_handle (FakeRequest *request, void *data G_GNUC_UNUSED)
{
  if (fake_request_is (request, "GET", "/control", NULL))
    _store_counts (request);
  else if (fake_request_is (request, "POST", "/control", NULL))
    _store_control (request);
  else if (_store.slow_ms > 0)
    fake_timer_add (fake_now_ms () + _store.slow_ms, _store_serve, request);
  else
    _store_serve (request);
}

static error_t
_store_option (int key, char *arg, struct argp_state *state)
{
  switch (key) {
  case 'l':
    _store.address = arg;
    return 0;
  case 'w':
    _store.write_rate.per_s = g_ascii_strtoll (arg, NULL, 10);
    return 0;
  case 'r':
    _store.read_rate.per_s = g_ascii_strtoll (arg, NULL, 10);
    return 0;
  case ARGP_KEY_END:
    if (_store.address == NULL)
      argp_error (state, "--listen is missing");
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "listen", 'l', "IP:PORT", 0, "address of the store", 0 },
    { "writes-per-s", 'w', "N", 0, "writes and lease calls a second; 0: no limit", 0 },
    { "reads-per-s", 'r', "N", 0, "reads and watches a second; 0: no limit", 0 },
    { 0 },
  };
  static const struct argp argp = { options, _store_option, NULL, NULL, NULL, NULL, NULL };

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  fake_setup ();
  _store.entries = g_hash_table_new (g_str_hash, g_str_equal);
  _store.leases = g_hash_table_new (g_int64_hash, g_int64_equal);
  _store_set_rate (&_store.write_rate, _store.write_rate.per_s);
  _store_set_rate (&_store.read_rate, _store.read_rate.per_s);
  fake_listen (_store.address, 0, _store_handle, NULL);
  fake_run ();
  return EXIT_SUCCESS;
}
