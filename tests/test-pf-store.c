/* Watches of the platform's store and the node's own entry there, against a stand-in on a loopback
 * address. */
#include "vp-net.h"
#include "vp-pf-json.h"
#include "vp-pf-store.h"
#include "vp-registration.h"
#include "vp-sync.h"

#include <microhttpd.h>
#include <string.h>

/* A watch call is answered after this time even without a change. */
#define WATCH_WAIT_MS 200
#define TIMEOUT_MS    10000
/* A watch call on a connection that has fallen silent isn't answered for this time. */
#define SILENT_MS 6000
/* Starts are sent up to 2,000 ms after their decision, and none may be sent to a DC later than
 * 5,000 ms after the request to evacuate it. */
#define NOTICE_MAX_MS 3000
#define ENTRY_KEY     "vp/member/n1"
#define ENTRY_ADDRESS "127.0.0.1:1"
/* A late write is carried out this long after it has arrived, when the next one has been answered,
 * and its lease would still last. */
#define LATE_MS 2000
/* Time after which a lease that isn't renewed has ended, and a margin. */
#define LEASE_GONE_MS 5000

typedef struct {
  uint64_t revision;
  char *key;
  char *value; /* NULL: the key was removed */
  uint64_t lease;
} Change;

/* The stand-in and what the client has posted. */
static struct {
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct MHD_Daemon *server;
  char address[VP_ADDRESS_MAX];
  GHashTable *values; /* key -> value */
  GArray *changes;    /* Change */
  uint64_t revision;
  uint64_t compacted_revision; /* changes up to this one can't be watched any more */
  uint32_t watch_count;        /* watch calls with the prefix "op/" */
  bool is_silent;              /* the connection of the next one of these falls silent */
  GPtrArray *prefixes;         /* char *: prefixes of all lists and watches, without repetitions */
  GPtrArray *sets;             /* char *: posted sets of DCs, in order: "a,b" */
  uint64_t config_version;     /* of the last posted configuration */
  uint32_t empty_pages;        /* the next lists are empty pages that announce another one */
  GArray *lease_ends_us;       /* int64_t: ends of the leases 1, 2 and so on; 0: ended */
  uint64_t entry_lease;        /* lease of ENTRY_KEY, the only key that has one */
  bool is_next_write_late;
  uint32_t write_count; /* writes that were carried out */
} _test = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void
_append_item (GString *out, uint64_t revision, const char *key, const char *value, uint64_t lease)
{
  g_autofree char *data
      = value == NULL ? NULL : g_base64_encode ((const guchar *)value, strlen (value));

  if (out->str[out->len - 1] == '}')
    g_string_append_c (out, ',');
  g_string_append_printf (out, "{\"key\":\"%s\",\"revision\":%" G_GUINT64_FORMAT ",", key,
                          revision);
  if (value == NULL)
    g_string_append (out, "\"removed\":true}");
  else
    g_string_append_printf (out, "\"value\":\"%s\",\"lease\":%" G_GUINT64_FORMAT "}", data, lease);
}

static char *
_end_items (GString *out)
{
  g_string_append_printf (out, "],\"as_of\":%" G_GUINT64_FORMAT ",\"more_pages\":false}",
                          _test.revision);
  return g_string_free (out, FALSE);
}

/* Sets the key under the lease; a NULL value removes it. The lock is held. */
static void
_change (const char *key, const char *value, uint64_t lease)
{
  Change change = { .key = g_strdup (key), .value = g_strdup (value), .lease = lease };

  change.revision = ++_test.revision;
  g_array_append_val (_test.changes, change);
  if (value == NULL)
    g_hash_table_remove (_test.values, key);
  else
    g_hash_table_replace (_test.values, g_strdup (key), g_strdup (value));
  if (strcmp (key, ENTRY_KEY) == 0)
    _test.entry_lease = lease;
  pthread_cond_broadcast (&_test.changed);
}

/* Sets the key; NULL removes it. The change isn't reported by watches if @is_compacted. */
static void
_put (const char *key, const char *value, bool is_compacted)
{
  pthread_mutex_lock (&_test.lock);
  _change (key, value, 0);
  if (is_compacted)
    _test.compacted_revision = _test.revision;
  pthread_mutex_unlock (&_test.lock);
}

/* Returns the end of the lease, or NULL if it has ended. With it the entry goes. */
static int64_t *
_lease_end (uint64_t lease)
{
  int64_t *end_us = lease == 0 || lease > _test.lease_ends_us->len
                        ? NULL
                        : &g_array_index (_test.lease_ends_us, int64_t, lease - 1);

  if (end_us == NULL || *end_us == 0 || g_get_monotonic_time () < *end_us)
    return end_us == NULL || *end_us == 0 ? NULL : end_us;
  *end_us = 0;
  if (_test.entry_lease == lease)
    _change (ENTRY_KEY, NULL, 0);
  return NULL;
}

/* Grants a lease that lasts for as long as the entry of a node. */
static uint64_t
_grant_lease (void)
{
  int64_t end_us = g_get_monotonic_time () + VP_REGISTRATION_TTL_MS * 1000;

  g_array_append_val (_test.lease_ends_us, end_us);
  return _test.lease_ends_us->len;
}

/* Carries out the call at @path and returns the body of its answer, or NULL for a lease that has
 * ended. */
static char *
_write (const char *path, const char *body)
{
  const char *lease_text = strstr (body, "\"lease\":");
  uint64_t lease
      = lease_text == NULL ? 0 : g_ascii_strtoull (lease_text + strlen ("\"lease\":"), NULL, 10);
  int64_t *end_us;

  if (strcmp (path, "/api/kv-lease") == 0)
    return g_strdup_printf ("{\"lease\":%" G_GUINT64_FORMAT "}", _grant_lease ());
  if (g_str_has_prefix (path, "/api/kv-keep/")) {
    end_us = _lease_end (g_ascii_strtoull (path + strlen ("/api/kv-keep/"), NULL, 10));
    if (end_us != NULL)
      *end_us = g_get_monotonic_time () + VP_REGISTRATION_TTL_MS * 1000;
    return end_us == NULL ? NULL : g_strdup ("{}");
  }
  if (_test.is_next_write_late) {
    _test.is_next_write_late = false;
    pthread_mutex_unlock (&_test.lock);
    g_usleep (LATE_MS * 1000);
    pthread_mutex_lock (&_test.lock);
  }
  if (_lease_end (lease) == NULL)
    return NULL;
  _test.write_count++;
  _change (ENTRY_KEY, ENTRY_ADDRESS, lease);
  return g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT "}", _test.revision);
}

static char *
_list (const char *prefix)
{
  GString *out = g_string_new ("{\"items\":[");
  GHashTableIter iter;
  gpointer key, value;

  if (_test.empty_pages > 0 && strcmp (prefix, "op/") == 0) {
    _test.empty_pages--;
    g_string_append (out, "],\"as_of\":1,\"more_pages\":true}");
    return g_string_free (out, FALSE);
  }
  g_hash_table_iter_init (&iter, _test.values);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    if (g_str_has_prefix (key, prefix))
      _append_item (out, _test.revision, key, value,
                    strcmp (key, ENTRY_KEY) == 0 ? _test.entry_lease : 0);
  }
  return _end_items (out);
}

/* Waits for a change. Returns NULL if the changes after @after are no longer known. */
static char *
_watch (const char *prefix, uint64_t after)
{
  int64_t end_us = g_get_monotonic_time () + WATCH_WAIT_MS * 1000;
  GString *out = g_string_new ("{\"events\":[");

  while (after >= _test.compacted_revision && after >= _test.revision
         && vp_sync_cond_wait_until (&_test.changed, &_test.lock, end_us))
    continue;
  if (after < _test.compacted_revision) {
    g_string_free (out, TRUE);
    return NULL;
  }
  for (guint i = 0; i < _test.changes->len; i++) {
    const Change *change = &g_array_index (_test.changes, Change, i);
    if (change->revision > after && g_str_has_prefix (change->key, prefix))
      _append_item (out, change->revision, change->key, change->value, change->lease);
  }
  return _end_items (out);
}

/* Lets the connection be silent if the test asks for that. */
static void
_fall_silent (const char *path, const char *prefix)
{
  bool is_silent = false;

  pthread_mutex_lock (&_test.lock);
  if (_test.is_silent && strcmp (path, "/api/kv-watch") == 0 && g_strcmp0 (prefix, "op/") == 0) {
    is_silent = true;
    _test.is_silent = false;
    pthread_cond_broadcast (&_test.changed);
  }
  pthread_mutex_unlock (&_test.lock);
  if (is_silent)
    g_usleep (SILENT_MS * 1000);
}

static enum MHD_Result
_serve (void *data,
        struct MHD_Connection *connection,
        const char *path,
        const char *method,
        const char *version,
        const char *body,
        size_t *body_size,
        void **state)
{
  const char *prefix = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "prefix");
  const char *after = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "after");
  char *text = NULL;
  struct MHD_Response *response;
  enum MHD_Result result;
  unsigned status = 503;

  (void)data;
  (void)version;
  if (*state == NULL || *body_size > 0) {
    if (*state == NULL)
      *state = g_string_new (NULL);
    g_string_append_len (*state, body, (gssize)*body_size);
    *body_size = 0;
    return MHD_YES;
  }
  _fall_silent (path, prefix);
  pthread_mutex_lock (&_test.lock);
  _lease_end (_test.entry_lease);
  if (prefix != NULL
      && !g_ptr_array_find_with_equal_func (_test.prefixes, prefix, g_str_equal, NULL))
    g_ptr_array_add (_test.prefixes, g_strdup (prefix));
  if (strcmp (path, "/api/kv-range") == 0 && prefix != NULL) {
    text = _list (prefix);
    status = 200;
  } else if (strcmp (path, "/api/kv-watch") == 0 && prefix != NULL && after != NULL) {
    _test.watch_count += strcmp (prefix, "op/") == 0 ? 1 : 0;
    text = _watch (prefix, g_ascii_strtoull (after, NULL, 10));
    status = text == NULL ? 410 : 200;
  } else if (strcmp (method, "POST") == 0) {
    text = _write (path, ((GString *)*state)->str);
    status = text == NULL ? 404 : 200;
  }
  pthread_mutex_unlock (&_test.lock);
  g_string_free (*state, TRUE);
  if (text == NULL)
    text = g_strdup ("{}");
  response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_COPY);
  g_free (text);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static gint
_compare_texts (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static void
_post (VpNodeEvent *event, void *data)
{
  (void)data;
  pthread_mutex_lock (&_test.lock);
  if (event->kind == VP_NODE_EVENT_EVACUATIONS) {
    g_ptr_array_sort (event->evacuated_dcs, _compare_texts);
    g_ptr_array_add (event->evacuated_dcs, NULL);
    g_ptr_array_add (_test.sets, g_strjoinv (",", (char **)event->evacuated_dcs->pdata));
  } else if (event->kind == VP_NODE_EVENT_CONFIG) {
    _test.config_version = event->config.config->version;
  }
  pthread_cond_broadcast (&_test.changed);
  pthread_mutex_unlock (&_test.lock);
  vp_node_event_clear (event);
}

/* Waits for the posts that follow those of earlier calls, and asserts that the next set is @set. */
static void
_assert_next_set (const char *set)
{
  static guint checked_count;
  int64_t end_us = g_get_monotonic_time () + TIMEOUT_MS * 1000;

  pthread_mutex_lock (&_test.lock);
  while (_test.sets->len <= checked_count
         && vp_sync_cond_wait_until (&_test.changed, &_test.lock, end_us))
    continue;
  g_assert_cmpuint (_test.sets->len, >, checked_count);
  g_assert_cmpstr (_test.sets->pdata[checked_count], ==, set);
  checked_count++;
  pthread_mutex_unlock (&_test.lock);
}

/* Waits until the watch has passed over all changes, and asserts that no set was posted. */
static void
_assert_no_set (void)
{
  int64_t end_us = g_get_monotonic_time () + TIMEOUT_MS * 1000;
  uint32_t watch_count;
  guint count;

  pthread_mutex_lock (&_test.lock);
  count = _test.sets->len;
  watch_count = _test.watch_count + 2;
  while (_test.watch_count < watch_count && g_get_monotonic_time () < end_us)
    vp_sync_cond_wait_until (&_test.changed, &_test.lock, g_get_monotonic_time () + 10000);
  g_assert_cmpuint (_test.watch_count, >=, watch_count);
  g_assert_cmpuint (_test.sets->len, ==, count);
  pthread_mutex_unlock (&_test.lock);
}

/* Change. */
static void
_change_clear (gpointer data)
{
  Change *change = data;

  g_free (change->key);
  g_free (change->value);
}

/* Starts an empty stand-in. The tables are kept from test to test, as threads of the store of
 * before may still post. */
static void
_setup (void)
{
  VpNetAddress any;

  vp_sync_cond_setup (&_test.changed);
  /* Registers the types of the JSON parser before there are threads, as ThreadSanitizer can't see
   * GLib's locks. */
  g_assert_cmpuint (vp_pf_decode_number ("{\"a\":1}", 7, "a"), ==, 1);
  g_assert_true (vp_net_parse_address ("127.0.0.1:0", &any));
  if (_test.values == NULL) {
    _test.values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    _test.changes = g_array_new (FALSE, FALSE, sizeof (Change));
    g_array_set_clear_func (_test.changes, _change_clear);
    _test.prefixes = g_ptr_array_new ();
    _test.sets = g_ptr_array_new ();
    _test.lease_ends_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  }
  g_hash_table_remove_all (_test.values);
  g_array_set_size (_test.changes, 0);
  g_array_set_size (_test.lease_ends_us, 0);
  _test.entry_lease = _test.compacted_revision = _test.write_count = 0;
  _test.revision = 1;
  _test.server
      = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
                          NULL, _serve, NULL, MHD_OPTION_SOCK_ADDR, &any.any, MHD_OPTION_END);
  g_assert_nonnull (_test.server);
  g_snprintf (_test.address, sizeof _test.address, "127.0.0.1:%u",
              (unsigned)MHD_get_daemon_info (_test.server, MHD_DAEMON_INFO_BIND_PORT)->port);
}

/* Waits until @count writes were carried out, and asserts that the entry is there from then on
 * until leases of now have ended. */
static void
_assert_entry_stays (uint32_t count)
{
  int64_t end_us = g_get_monotonic_time () + TIMEOUT_MS * 1000;

  pthread_mutex_lock (&_test.lock);
  while (_test.write_count < count && vp_sync_cond_wait_until (&_test.changed, &_test.lock, end_us))
    continue;
  g_assert_cmpuint (_test.write_count, ==, count);
  end_us = g_get_monotonic_time () + LEASE_GONE_MS * 1000;
  while (g_get_monotonic_time () < end_us) {
    vp_sync_cond_wait_until (&_test.changed, &_test.lock, g_get_monotonic_time () + 10000);
    _lease_end (_test.entry_lease);
    g_assert_true (g_hash_table_contains (_test.values, ENTRY_KEY));
  }
  g_assert_cmpuint (_test.write_count, ==, count);
  pthread_mutex_unlock (&_test.lock);
}

/* Guards against an entry that is gone for good, so that processes that start later don't find this
 * one: a write of it is carried out late, after it was sent again, or after an earlier process of
 * this name has sent it under a lease that nobody renews. */
static void
test_late_entry (void)
{
  static VpPfStore *store; /* not freed at its shutdown, as its threads may be in a call */

  _setup ();
  _test.is_next_write_late = true;
  store = vp_pf_store_setup (&(VpPfStoreDesc){
      .address = _test.address, .name = "n1", .peer_address = ENTRY_ADDRESS, .post = _post });
  _assert_entry_stays (2);
  pthread_mutex_lock (&_test.lock);
  _change (ENTRY_KEY, ENTRY_ADDRESS, _grant_lease ());
  pthread_mutex_unlock (&_test.lock);
  _assert_entry_stays (3);
  vp_pf_store_shutdown (store);
  MHD_stop_daemon (_test.server);
}

/* Guards against starts in a DC after the bound, since a watch call on a connection that falls
 * silent when it is made delays the request to evacuate the DC. */
static void
_test_silent_watch (void)
{
  int64_t put_us;

  pthread_mutex_lock (&_test.lock);
  _test.is_silent = true;
  while (_test.is_silent)
    pthread_cond_wait (&_test.changed, &_test.lock);
  pthread_mutex_unlock (&_test.lock);
  put_us = g_get_monotonic_time ();
  _put ("op/evacuate/lami", "{}", false);
  _assert_next_set ("lami");
  g_test_message ("noticed after %" G_GINT64_FORMAT " ms",
                  (g_get_monotonic_time () - put_us) / 1000);
  g_assert_cmpint (g_get_monotonic_time () - put_us, <, NOTICE_MAX_MS * 1000);
}

/* Guards against an empty page that announces another one and is taken for the end of the list: the
 * keys that it doesn't show would count as removed. */
static void
_test_empty_page (void)
{
  _put ("op/evacuate/nausori", "{}", false);
  _assert_next_set ("lami,nausori");
  pthread_mutex_lock (&_test.lock);
  _test.empty_pages = 2;
  pthread_mutex_unlock (&_test.lock);
  _put ("op/evacuate/lami", NULL, true);
  _assert_next_set ("nausori");
  pthread_mutex_lock (&_test.lock);
  g_assert_cmpuint (_test.empty_pages, ==, 0);
  pthread_mutex_unlock (&_test.lock);
}

/* Guards against a request to evacuate a DC that isn't noticed or stays in force after its
 * withdrawal, also if the withdrawal is missing from the history; against other keys of the
 * operator that are taken for requests; and against a watch of its own for evacuations, as the
 * platform charges for calls. */
static void
test_operator_keys (void)
{
  static const char config[] = "{\"version\":%d,\"routes\":[],\"tenants\":[],"
                               "\"limits\":{\"max_body_bytes\":262144}}";
  g_autofree char *first = g_strdup_printf (config, 3);
  g_autofree char *second = g_strdup_printf (config, 4);
  /* The longest key of the store has 200 bytes. */
  g_autofree char *long_name = g_strnfill (188, 'x');
  g_autofree char *long_key = g_strconcat ("op/evacuate/", long_name, NULL);
  g_autofree char *long_set = g_strconcat ("suva,", long_name, NULL);
  static VpPfStore *store; /* not freed at its shutdown, as its threads may be in a call */

  _setup ();
  _put ("op/config", first, false);
  _put ("op/evacuate/nadi", "{}", false);
  _put ("op/wave/nadi", "{}", false);
  store = vp_pf_store_setup (&(VpPfStoreDesc){
      .address = _test.address, .name = "n1", .peer_address = ENTRY_ADDRESS, .post = _post });
  _assert_next_set ("nadi");
  _put ("op/evacuate/suva", "{}", false);
  _assert_next_set ("nadi,suva");
  _put ("op/evacuate/nadi", NULL, false);
  _assert_next_set ("suva");
  _put ("op/wave/suva", "{}", false);
  _put ("op/evacuated", "{}", false);
  _put ("op/evacuate/", "{}", false);
  _put ("op/config", second, false);
  _assert_no_set ();
  pthread_mutex_lock (&_test.lock);
  g_assert_cmpuint (_test.config_version, ==, 4);
  for (guint i = 0; i < _test.prefixes->len; i++)
    g_assert_true (strcmp (_test.prefixes->pdata[i], "op/") == 0
                   || !g_str_has_prefix (_test.prefixes->pdata[i], "op/"));
  pthread_mutex_unlock (&_test.lock);
  _put (long_key, "{}", false);
  _assert_next_set (long_set);
  _put (long_key, NULL, false);
  _assert_next_set ("suva");
  _put ("op/evacuate/suva", NULL, true);
  _assert_next_set ("");
  _test_silent_watch ();
  _test_empty_page ();
  vp_pf_store_shutdown (store);
  MHD_stop_daemon (_test.server);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* The key that names no DC is warned of. */
  g_log_set_always_fatal (G_LOG_FATAL_MASK);
  g_test_add_func ("/pf-store/operator-keys", test_operator_keys);
  g_test_add_func ("/pf-store/late-entry", test_late_entry);
  return g_test_run ();
}
