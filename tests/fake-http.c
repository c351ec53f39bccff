#include "fake-http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#define FAKE_BODY_MAX (4u << 20) /* bytes; far above the largest value that the store accepts */

struct _FakeServer {
  struct MHD_Daemon *daemon;
  FakeHandler handler;
  void *data;
  FakeSource *source;
};

struct _FakeSource {
  int fd;
  void (*func) (uint32_t events, void *data);
  void *data;
};

typedef struct {
  int64_t at_ms;
  FakeTimerFunc func;
  void *data;
} FakeTimerEntry;

static struct {
  int epoll_fd;
  bool is_stopping;
  FakeSource *signals;
  GSequence *timers;    /* FakeTimerEntry, earliest first */
  GPtrArray *resumed;   /* FakeServer with resumed connections, which epoll doesn't signal */
  GPtrArray *unwatched; /* FakeSource; freed after the current events, which may refer to them */
  int64_t offset_ms;
} _fake;

static int64_t
_fake_clock_ms (clockid_t clock)
{
  struct timespec t;

  clock_gettime (clock, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
fake_now_ms (void)
{
  return _fake.offset_ms + _fake_clock_ms (CLOCK_BOOTTIME);
}

static void
_fake_signal (uint32_t events G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
  _fake.is_stopping = true;
}

void
fake_setup (void)
{
  sigset_t set;

  _fake.offset_ms = _fake_clock_ms (CLOCK_REALTIME) - _fake_clock_ms (CLOCK_BOOTTIME);
  _fake.epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  _fake.timers = g_sequence_new (g_free);
  _fake.resumed = g_ptr_array_new ();
  _fake.unwatched = g_ptr_array_new_with_free_func (g_free);
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  _fake.signals = fake_watch (signalfd (-1, &set, SFD_CLOEXEC), EPOLLIN, _fake_signal, NULL);
}

struct sockaddr_in
fake_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  const char *colon = strrchr (text, ':');
  g_autofree char *host = colon != NULL ? g_strndup (text, (gsize)(colon - text)) : NULL;
  guint64 port = colon != NULL ? g_ascii_strtoull (colon + 1, NULL, 10) : 0;

  if (port == 0 || port > UINT16_MAX || inet_pton (AF_INET, host, &address.sin_addr) != 1) {
    fprintf (stderr, "not an IPv4:port address: %s\n", text);
    exit (EXIT_FAILURE);
  }
  address.sin_port = htons ((uint16_t)port);
  return address;
}

FakeSource *
fake_watch (int fd, uint32_t events, void (*func) (uint32_t events, void *data), void *data)
{
  FakeSource *source = g_new0 (FakeSource, 1);
  struct epoll_event event = { .events = events, .data.ptr = source };

  *source = (FakeSource){ .fd = fd, .func = func, .data = data };
  if (epoll_ctl (_fake.epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    g_error ("epoll_ctl: %s", g_strerror (errno));
  return source;
}

void
fake_set_events (FakeSource *source, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = source };

  epoll_ctl (_fake.epoll_fd, EPOLL_CTL_MOD, source->fd, &event);
}

void
fake_unwatch (FakeSource **source)
{
  if (*source == NULL)
    return;
  epoll_ctl (_fake.epoll_fd, EPOLL_CTL_DEL, (*source)->fd, NULL);
  (*source)->func = NULL;
  g_ptr_array_add (_fake.unwatched, *source);
  *source = NULL;
}

static int
_fake_timer_compare (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const FakeTimerEntry *x = a, *y = b;

  return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

FakeTimer *
fake_timer_add (int64_t at_ms, FakeTimerFunc func, void *data)
{
  FakeTimerEntry *entry = g_new (FakeTimerEntry, 1);

  *entry = (FakeTimerEntry){ .at_ms = at_ms, .func = func, .data = data };
  return g_sequence_insert_sorted (_fake.timers, entry, _fake_timer_compare, NULL);
}

void
fake_timer_cancel (FakeTimer **timer)
{
  if (*timer != NULL)
    g_sequence_remove (*timer);
  *timer = NULL;
}

/* Runs the timers that are due; returns the time in ms until the next one, -1 if there is none. */
static int
_fake_run_timers (void)
{
  while (!g_sequence_is_empty (_fake.timers)) {
    GSequenceIter *first = g_sequence_get_begin_iter (_fake.timers);
    FakeTimerEntry entry = *(FakeTimerEntry *)g_sequence_get (first);
    int64_t left_ms = entry.at_ms - fake_now_ms ();

    if (left_ms > 0)
      return (int)MIN (left_ms, 60000);
    g_sequence_remove (first);
    entry.func (entry.data);
  }
  return -1;
}

static void
_fake_server_ready (uint32_t events G_GNUC_UNUSED, void *data)
{
  FakeServer *server = data;
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

  /* A timeout of 0 means buffered input, which the epoll descriptor doesn't signal. */
  do
    MHD_run (server->daemon);
  while (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES && timeout_ms == 0);
}

/* Runs timers and resumed connections; returns the time in ms until the next timer. */
static int
_fake_run_pending (void)
{
  int wait_ms = _fake_run_timers ();

  while (_fake.resumed->len > 0) {
    _fake_server_ready (0, g_ptr_array_remove_index_fast (_fake.resumed, 0));
    wait_ms = _fake_run_timers ();
  }
  return wait_ms;
}

void
fake_run (void)
{
  struct epoll_event events[64];

  puts ("ready");
  fflush (stdout);
  while (!_fake.is_stopping) {
    int count = epoll_wait (_fake.epoll_fd, events, G_N_ELEMENTS (events), _fake_run_pending ());

    for (int i = 0; i < count; i++) {
      FakeSource *source = events[i].data.ptr;
      if (source->func != NULL)
        source->func (events[i].events, source->data);
    }
    g_ptr_array_set_size (_fake.unwatched, 0);
  }
  /* libmicrohttpd can't be stopped with suspended connections; the kernel closes all descriptors.
   */
  _exit (EXIT_SUCCESS);
}

static enum MHD_Result
_fake_access (void *data,
              struct MHD_Connection *connection,
              const char *url,
              const char *method,
              const char *version G_GNUC_UNUSED,
              const char *upload,
              size_t *upload_size,
              void **state)
{
  FakeServer *server = data;
  FakeRequest *request = *state;

  if (request == NULL) {
    request = *state = g_new0 (FakeRequest, 1);
    request->connection = connection;
    request->server = server;
    request->method = method;
    request->path = g_strdup (url);
    request->body = g_byte_array_new ();
    return MHD_YES;
  }
  if (*upload_size > 0) {
    if (request->body->len + *upload_size > FAKE_BODY_MAX)
      return MHD_NO;
    g_byte_array_append (request->body, (const uint8_t *)upload, (guint)*upload_size);
    *upload_size = 0;
    return MHD_YES;
  }
  if (!request->is_handled) {
    request->is_handled = true;
    server->handler (request, server->data);
  }
  if (request->is_dropped)
    return MHD_NO;
  if (request->response != NULL)
    return MHD_queue_response (connection, request->status, request->response);
  request->is_suspended = true;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
_fake_completed (void *data G_GNUC_UNUSED,
                 struct MHD_Connection *connection G_GNUC_UNUSED,
                 void **state,
                 enum MHD_RequestTerminationCode code G_GNUC_UNUSED)
{
  FakeRequest *request = *state;

  if (request == NULL)
    return;
  g_clear_pointer (&request->response, MHD_destroy_response);
  g_byte_array_unref (request->body);
  g_free (request->path);
  g_free (request);
  *state = NULL;
}

FakeServer *
fake_listen (const char *address, unsigned connections_max, FakeHandler handler, void *data)
{
  FakeServer *server = g_new0 (FakeServer, 1);
  struct sockaddr_in socket_address = fake_address (address);

  server->handler = handler;
  server->data = data;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, _fake_access, server,
      MHD_OPTION_SOCK_ADDR, &socket_address, MHD_OPTION_CONNECTION_LIMIT,
      connections_max == 0 ? 4096u : connections_max, MHD_OPTION_NOTIFY_COMPLETED, _fake_completed,
      NULL, MHD_OPTION_END);
  if (server->daemon == NULL) {
    fprintf (stderr, "can't listen on %s: %s\n", address, g_strerror (errno));
    exit (EXIT_FAILURE);
  }
  server->source
      = fake_watch (MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
                    EPOLLIN, _fake_server_ready, server);
  return server;
}

bool
fake_request_is (FakeRequest *request, const char *method, const char *path, const char **rest)
{
  size_t size = strlen (path);

  if (strcmp (request->method, method) != 0)
    return false;
  if (path[size - 1] != '/')
    return strcmp (request->path, path) == 0;
  if (strncmp (request->path, path, size) != 0 || request->path[size] == '\0')
    return false;
  *rest = request->path + size;
  return true;
}

int64_t
fake_request_int (FakeRequest *request, const char *name, int64_t fallback)
{
  const char *text = MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

JsonObject *
fake_request_json (FakeRequest *request)
{
  return fake_json_parse ((const char *)request->body->data, request->body->len);
}

static void
_fake_call_finish (FakeRequest *request)
{
  if (!request->is_suspended)
    return;
  request->is_suspended = false;
  MHD_resume_connection (request->connection);
  if (!g_ptr_array_find (_fake.resumed, request->server, NULL))
    g_ptr_array_add (_fake.resumed, request->server);
}

void
fake_reply (FakeRequest *request, unsigned status, const char *header, uint64_t value, GBytes *body)
{
  gsize size = 0;
  const void *data = body != NULL ? g_bytes_get_data (body, &size) : "";

  request->status = status;
  request->response = MHD_create_response_from_buffer (size, (void *)data, MHD_RESPMEM_MUST_COPY);
  if (header != NULL) {
    char text[32];
    g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, value);
    MHD_add_response_header (request->response, header, text);
  }
  _fake_call_finish (request);
}

void
fake_reply_json (FakeRequest *request, unsigned status, JsonObject *object)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  g_autoptr (GBytes) body = NULL;
  char *text;

  json_node_take_object (node, object);
  text = json_to_string (node, FALSE);
  body = g_bytes_new_take (text, strlen (text));
  fake_reply (request, status, NULL, 0, body);
}

void
fake_abort (FakeRequest *request)
{
  request->is_dropped = true;
  _fake_call_finish (request);
}

JsonObject *
fake_json_parse (const char *text, gssize size)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;

  if (size == 0 || !g_utf8_validate_len (text, (gsize)size, NULL)
      || !json_parser_load_from_data (parser, text, size, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  return root != NULL && JSON_NODE_HOLDS_OBJECT (root) ? json_node_dup_object (root) : NULL;
}

JsonObject *
fake_json_load (const char *path)
{
  g_autofree char *text = NULL;
  gsize size = 0;
  JsonObject *object = NULL;

  if (g_file_get_contents (path, &text, &size, NULL))
    object = fake_json_parse (text, (gssize)size);
  if (object == NULL) {
    fprintf (stderr, "can't read a JSON object from %s\n", path);
    exit (EXIT_FAILURE);
  }
  return object;
}

int64_t
fake_json_int (JsonObject *object, const char *field, int64_t fallback)
{
  JsonNode *node = json_object_get_member (object, field);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return fallback;
  return json_node_get_value_type (node) == G_TYPE_BOOLEAN ? json_node_get_boolean (node)
                                                           : json_node_get_int (node);
}

const char *
fake_json_string (JsonObject *object, const char *field, const char *fallback)
{
  JsonNode *node = json_object_get_member (object, field);

  return node != NULL && JSON_NODE_HOLDS_VALUE (node)
                 && json_node_get_value_type (node) == G_TYPE_STRING
             ? json_node_get_string (node)
             : fallback;
}
