#include "vp-http-server.h"
#include "vp-net.h"
#include "vp-sync.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/syscall.h>
#include <unistd.h>

#define BODY_MAX       4096
#define QUIESCE_ROUNDS 20 /* of each address */
#define TASK_HEX       "000000000000000a000000000000000b"
#define SUBMIT                                                                                     \
  "{\"team\":\"nadi\",\"profile\":\"booking\",\"size\":{\"cpu_milli\":1,\"mem_mib\":1},"           \
  "\"repeatable\":true}"

/* Server under test. Requests are echoed by the posting thread or a pool thread, or are not
 * answered. */
typedef struct {
  VpHttpServer *http;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool is_echo;
  bool is_pooled; /* requests are echoed by four other threads */
  bool is_ending;
  bool is_gated; /* HTTP threads wait in on_event() */
  GThread *pool[4];
  GQueue jobs; /* Job */
  GQueue held; /* VpRequest */
  uint64_t last_handle;
  uint32_t request_count;
  uint32_t disconnect_count;
} Server;

static void
reply_op (Server *server, uint64_t handle, const VpRequest *request)
{
  g_autofree char *text = g_strdup_printf ("{\"op\":%d,\"team\":\"%s\",\"identity\":\"%s\","
                                           "\"revision\":%" G_GUINT64_FORMAT ",\"lo\":%u}",
                                           request->op, request->team, request->identity,
                                           request->revision, (unsigned)request->task.lo);
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));

  vp_http_server_reply (server->http, handle, 200, 0, body, NULL);
}

typedef struct {
  uint64_t handle;
  VpRequest *request;
} Job;

static gpointer
run_pool (gpointer data)
{
  Server *server = data;

  pthread_mutex_lock (&server->lock);
  while (!server->is_ending || server->jobs.length > 0) {
    Job *job = g_queue_pop_head (&server->jobs);
    if (job == NULL) {
      pthread_cond_wait (&server->changed, &server->lock);
      continue;
    }
    pthread_mutex_unlock (&server->lock);
    reply_op (server, job->handle, job->request);
    vp_request_unref (job->request);
    g_free (job);
    pthread_mutex_lock (&server->lock);
  }
  pthread_mutex_unlock (&server->lock);
  return NULL;
}

static void
start_pool (Server *server)
{
  server->is_pooled = true;
  for (guint i = 0; i < G_N_ELEMENTS (server->pool); i++)
    server->pool[i] = g_thread_new ("pool", run_pool, server);
}

static void
end_pool (Server *server)
{
  pthread_mutex_lock (&server->lock);
  server->is_ending = true;
  pthread_cond_broadcast (&server->changed);
  pthread_mutex_unlock (&server->lock);
  for (guint i = 0; i < G_N_ELEMENTS (server->pool); i++)
    g_thread_join (server->pool[i]);
}

static void
on_event (const VpEvent *event, void *data)
{
  Server *server = data;

  pthread_mutex_lock (&server->lock);
  if (event->kind == VP_EVENT_CLIENT_DISCONNECTED) {
    /* Guards against a CLIENT_DISCONNECTED that is posted before its REQUEST. */
    g_assert_cmpuint (event->handle, <=, server->last_handle);
    server->disconnect_count++;
  } else {
    server->request_count++;
    server->last_handle = MAX (server->last_handle, event->handle);
    if (server->is_pooled) {
      Job *job = g_new (Job, 1);
      *job = (Job){ event->handle, event->request };
      g_queue_push_tail (&server->jobs, job);
    } else if (!server->is_echo) {
      g_queue_push_tail (&server->held, event->request);
    }
  }
  pthread_cond_broadcast (&server->changed);
  while (server->is_gated)
    pthread_cond_wait (&server->changed, &server->lock);
  pthread_mutex_unlock (&server->lock);
  if (event->kind != VP_EVENT_REQUEST || !server->is_echo || server->is_pooled)
    return;
  reply_op (server, event->handle, event->request);
  vp_request_unref (event->request);
}

static void
server_setup_at (Server *server, const char *address, bool is_echo, uint32_t thread_count)
{
  g_autoptr (GError) error = NULL;

  memset (server, 0, sizeof *server);
  pthread_mutex_init (&server->lock, NULL);
  vp_sync_cond_setup (&server->changed);
  server->is_echo = is_echo;
  server->http = vp_http_server_setup (&(VpHttpServerDesc){ .address = address,
                                                            .post = on_event,
                                                            .data = server,
                                                            .body_max = BODY_MAX,
                                                            .client_timeout_ms = 400,
                                                            .thread_count = thread_count },
                                       &error);
  g_assert_no_error (error);
}

static void
server_setup_threads (Server *server, bool is_echo, uint32_t thread_count)
{
  server_setup_at (server, "127.0.0.1:0", is_echo, thread_count);
}

static void
server_setup (Server *server, bool is_echo)
{
  server_setup_threads (server, is_echo, 0);
}

static void
set_gated (Server *server, bool is_gated)
{
  pthread_mutex_lock (&server->lock);
  server->is_gated = is_gated;
  pthread_cond_broadcast (&server->changed);
  pthread_mutex_unlock (&server->lock);
}

static void
server_shutdown (Server *server)
{
  vp_http_server_shutdown (server->http);
  g_queue_clear_full (&server->held, (GDestroyNotify)vp_request_unref);
  pthread_cond_destroy (&server->changed);
  pthread_mutex_destroy (&server->lock);
}

static void
wait_count (Server *server, const uint32_t *count, uint32_t least)
{
  pthread_mutex_lock (&server->lock);
  while (*count < least)
    pthread_cond_wait (&server->changed, &server->lock);
  pthread_mutex_unlock (&server->lock);
}

static int
open_client (const Server *server)
{
  VpNetAddress address;
  int fd;

  g_assert_true (vp_net_parse_address ("127.0.0.1:1", &address));
  address.v4.sin_port = htons (vp_http_server_port (server->http));
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (connect (fd, &address.any, address.size), ==, 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==, strlen (text));
}

/* Reads one response with its headers and body. Returns an empty text if the server closed the
 * connection instead. */
static char *
read_response (int fd)
{
  g_autoptr (GString) text = g_string_new (NULL);
  gsize rest = 0;
  char byte;

  /* The headers are read bytewise, so that a pipelined response stays in the socket. */
  while (!g_str_has_suffix (text->str, "\r\n\r\n") && recv (fd, &byte, 1, 0) == 1) {
    const char *length;
    g_string_append_c (text, byte);
    length = byte == '\n' ? strstr (text->str, "Content-Length: ") : NULL;
    if (length != NULL)
      rest = g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10);
  }
  while (rest > 0) {
    gsize start = text->len;
    ssize_t count;
    g_string_set_size (text, start + rest);
    count = recv (fd, text->str + start, rest, 0);
    g_string_set_size (text, start + (gsize)MAX (count, 0));
    if (count <= 0)
      break;
    rest -= (gsize)count;
  }
  return g_string_free (g_steal_pointer (&text), FALSE);
}

static char *
call (const Server *server, const char *text)
{
  int fd = open_client (server);
  char *response;

  send_text (fd, text);
  response = read_response (fd);
  close (fd);
  return response;
}

#define POST(path, length) "POST " path " HTTP/1.1\r\nHost: x\r\nContent-Length: " length "\r\n\r\n"
#define GET(path)          "GET " path " HTTP/1.1\r\nHost: x\r\n\r\n"

/* Guards against a path that is routed to the wrong operation, a malformed request that reaches the
 * reducer, and a refusal that does not name the field. */
static void
test_routes (void)
{
  static const struct {
    const char *text;
    const char *status;
    const char *part;
  } cases[] = {
    { GET ("/v1/tasks/" TASK_HEX), "200",
      "\"op\":1,\"team\":\"\",\"identity\":\"\",\"revision\":0,\"lo\":11" },
    { GET ("/v1/tasks/" TASK_HEX "/explain"), "200", "\"op\":3" },
    { GET ("/v1/tasks?team=nadi&identity=a%20b"), "200", "\"team\":\"nadi\",\"identity\":\"a b\"" },
    { "DELETE /v1/tasks/" TASK_HEX " HTTP/1.1\r\nHost: x\r\n\r\n", "200", "\"op\":2" },
    { POST ("/v1/tasks", "88") SUBMIT, "200", "\"op\":0,\"team\":\"nadi\"" },
    { GET ("/v1/config?after=7"), "200",
      "\"op\":4,\"team\":\"\",\"identity\":\"\",\"revision\":7" },
    { "PUT /v1/config?revision=9 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", "200",
      "\"op\":5,\"team\":\"\",\"identity\":\"\",\"revision\":9" },
    { GET ("/v1/status"), "200", "\"op\":6" },
    { GET ("/v1/placements"), "200", "\"op\":7" },
    { GET ("/v1/audit"), "200", "\"op\":8" },
    { GET ("/metrics"), "200", "\"op\":9" },
    { GET ("/v2/tasks"), "404", "not-found" },
    { GET ("/v1/tasks/" TASK_HEX "/other"), "404", "not-found" },
    { "DELETE /v1/status HTTP/1.1\r\nHost: x\r\n\r\n", "405", "bad-request" },
    { GET ("/v1/tasks/xyz"), "400", "task:" },
    { GET ("/v1/tasks?team=nadi"), "400", "identity: missing" },
    { GET ("/v1/config?after=-1"), "400", "after:" },
    { "PUT /v1/config HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", "400", "revision:" },
    { POST ("/v1/tasks", "2") "{}", "400", "team" },
    { POST ("/v1/tasks", "1") "{", "400", "\"run\"" },
    { POST ("/v1/tasks", "0"), "400", "bad-request" },
    { POST ("/v1/cancel", "13") "{\"team\":true}", "400", "team" },
    { "GET /v1/status HTTP/1.1\r\nHost: x\r\nAuthorization: Basic abc\r\n\r\n", "401", "bad-key" },
    { "GET /v1/status HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer \r\n\r\n", "401", "bad-key" },
    { POST ("/v1/tasks", "999999999"), "413", "too-large" },
    { "POST /v1/tasks HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n",
      "413", "too-large" },
    { "BAD\r\n\r\n", "", "" },
    { "POST /v1/tasks HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", "400", "" },
  };
  Server server;

  server_setup (&server, true);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *response = call (&server, cases[i].text);
    const char *status = response[0] == '\0' ? "" : response + strlen ("HTTP/1.1 ");
    g_test_message ("%s -> %s", cases[i].text, response);
    g_assert_true (g_str_has_prefix (status, cases[i].status));
    g_assert_nonnull (strstr (response, cases[i].part));
  }
  server_shutdown (&server);
}

/* Guards against a 413 response that is lost since the body is still being sent, with a known
 * length or in chunks, and against a connection that can't be used afterwards. */
static void
test_oversize (void)
{
  g_autofree char *body = g_strnfill (BODY_MAX + 1, 'x');
  g_autofree char *plain = g_strdup_printf (POST ("/v1/tasks", "%d") "%s", BODY_MAX + 1, body);
  g_autofree char *chunked
      = g_strdup_printf ("POST /v1/tasks HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "%x\r\n%s\r\n0\r\n\r\n",
                         BODY_MAX + 1, body);
  const char *texts[] = { plain, chunked };
  Server server;

  server_setup (&server, true);
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++) {
    int fd = open_client (&server);
    g_autofree char *refusal = NULL;
    g_autofree char *response = NULL;
    send_text (fd, texts[i]);
    refusal = read_response (fd);
    g_assert_true (g_str_has_prefix (refusal, "HTTP/1.1 413"));
    g_assert_nonnull (strstr (refusal, "\"run\":\"no\""));
    send_text (fd, GET ("/v1/status"));
    response = read_response (fd);
    g_assert_true (g_str_has_prefix (response, "HTTP/1.1 200"));
    close (fd);
  }
  g_assert_cmpuint (server.request_count, ==, 2);
  server_shutdown (&server);
}

/* Guards against clients that keep a connection occupied by sending nothing or one byte at a time.
 */
static void
test_slow (void)
{
  static const char *const texts[] = { "", "GET /v1/st", POST ("/v1/tasks", "10") "{" };
  Server server;

  server_setup (&server, true);
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++) {
    int fd = open_client (&server);
    struct pollfd readable = { .fd = fd, .events = POLLIN };
    char byte;
    send_text (fd, texts[i]);
    /* Ends when the server closes the connection. If it does not, the test program times out. */
    while (poll (&readable, 1, 50) == 0 && send (fd, "x", 1, MSG_NOSIGNAL) == 1)
      continue;
    while (recv (fd, &byte, 1, 0) > 0)
      continue;
    close (fd);
  }
  g_assert_cmpuint (server.request_count, ==, 0);
  server_shutdown (&server);
}

/* Guards against responses to pipelined requests that are reordered or lost. */
static void
test_pipelined (void)
{
  g_autoptr (GString) text = g_string_new (NULL);
  Server server;
  int fd;

  server_setup (&server, true);
  start_pool (&server);
  fd = open_client (&server);
  for (int i = 0; i < 50; i++)
    g_string_append_printf (text, GET ("/v1/config?after=%d"), 1000 + i);
  send_text (fd, text->str);
  for (int i = 0; i < 50; i++) {
    g_autofree char *response = read_response (fd);
    g_autofree char *part = g_strdup_printf ("\"revision\":%d", 1000 + i);
    g_assert_nonnull (strstr (response, part));
  }
  close (fd);
  end_pool (&server);
  server_shutdown (&server);
}

/* Guards against a closed connection that is reported only at the reply, or twice, and against a
 * crash on a reply to a handle that is closed or never existed. */
static void
test_closed_early (void)
{
  Server server;
  uint64_t first;

  server_setup (&server, false);
  for (uint32_t i = 1; i <= 20; i++) {
    int fd = open_client (&server);
    send_text (fd, GET ("/v1/status"));
    if (i % 2 == 0)
      wait_count (&server, &server.request_count, i);
    if (i % 3 == 0)
      shutdown (fd, SHUT_WR);
    else
      close (fd);
    wait_count (&server, &server.disconnect_count, i);
    if (i % 3 == 0)
      close (fd);
  }
  first = server.last_handle;
  for (uint64_t handle = 0; handle <= first + 1; handle++)
    vp_http_server_reply (server.http, handle, 200, 0, NULL, NULL);
  g_assert_cmpuint (server.disconnect_count, ==, 20);
  server_shutdown (&server);
}

typedef struct {
  Server *server;
  int base;
} Client;

static gpointer
run_client (gpointer data)
{
  Client *client = data;
  int fd = open_client (client->server);

  for (int i = 0; i < 100; i++) {
    g_autofree char *text = g_strdup_printf (GET ("/v1/config?after=%d"), client->base + i);
    g_autofree char *part = g_strdup_printf ("\"revision\":%d,", client->base + i);
    g_autofree char *response = NULL;
    send_text (fd, text);
    response = read_response (fd);
    g_assert_nonnull (strstr (response, part));
  }
  close (fd);
  return NULL;
}

/* Guards against responses that are sent to another caller, and a connection that is never resumed.
 */
static void
test_concurrent (void)
{
  Server server;
  GThread *threads[32];
  Client clients[32];

  server_setup (&server, true);
  start_pool (&server);
  for (int i = 0; i < 32; i++) {
    clients[i] = (Client){ &server, i * 1000 };
    threads[i] = g_thread_new ("client", run_client, &clients[i]);
  }
  for (int i = 0; i < 32; i++)
    g_thread_join (threads[i]);
  g_assert_cmpuint (server.request_count, ==, 3200);
  end_pool (&server);
  server_shutdown (&server);
}

/* Guards against a shutdown that accepts new connections, truncates a reply, or hangs on requests
 * that are never answered. */
static void
test_shutdown (void)
{
  g_autofree char *large = g_strnfill (1 << 20, 'y');
  g_autoptr (GBytes) body = g_bytes_new (large, 1 << 20);
  g_autofree char *response = NULL;
  VpNetAddress address;
  Server server;
  int fds[2];
  int late;
  char byte;

  server_setup (&server, false);
  for (uint32_t i = 0; i < 2; i++) {
    fds[i] = open_client (&server);
    send_text (fds[i], GET ("/v1/status"));
    wait_count (&server, &server.request_count, i + 1);
  }
  g_assert_true (vp_net_parse_address ("127.0.0.1:1", &address));
  address.v4.sin_port = htons (vp_http_server_port (server.http));
  vp_http_server_quiesce (server.http);
  late = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (connect (late, &address.any, address.size), ==, -1);
  g_assert_cmpint (errno, ==, ECONNREFUSED);
  close (late);
  vp_http_server_reply (server.http, 1, 200, 3, body, "text/plain");
  response = read_response (fds[0]);
  g_assert_nonnull (strstr (response, "Retry-After: 3"));
  g_assert_nonnull (strstr (response, "Connection: close"));
  g_assert_true (g_str_has_suffix (response, "yyyy"));
  server_shutdown (&server);
  g_assert_cmpint (recv (fds[1], &byte, 1, 0), <=, 0);
  close (fds[0]);
  close (fds[1]);
}

/* Guards against a quiesce that resets connections which the kernel has completed, but the HTTP
 * threads have not begun to serve. */
static void
test_quiesce_backlog (void)
{
  Server server;
  int fds[9];

  server_setup_threads (&server, true, 1);
  set_gated (&server, true);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++) {
    fds[i] = open_client (&server);
    send_text (fds[i], GET ("/v1/status"));
    /* From here on the only HTTP thread waits, and the others' connections are not served. */
    if (i == 0)
      wait_count (&server, &server.request_count, 1);
  }
  vp_http_server_quiesce (server.http);
  set_gated (&server, false);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++) {
    g_autofree char *response = read_response (fds[i]);
    g_assert_true (g_str_has_prefix (response, "HTTP/1.1 200"));
    g_assert_nonnull (strstr (response, "Connection: close"));
    close (fds[i]);
  }
  server_shutdown (&server);
}

/* Guards against connections above the limit that are closed instead of waiting for a place. */
static void
test_connection_limit (void)
{
  g_autoptr (GError) error = NULL;
  Server server = { .is_echo = true };
  int fds[6];

  pthread_mutex_init (&server.lock, NULL);
  vp_sync_cond_setup (&server.changed);
  server.http = vp_http_server_setup (&(VpHttpServerDesc){ .address = "127.0.0.1:0",
                                                           .post = on_event,
                                                           .data = &server,
                                                           .body_max = BODY_MAX,
                                                           .connections_max = 2 },
                                      &error);
  g_assert_no_error (error);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++) {
    fds[i] = open_client (&server);
    send_text (fds[i], GET ("/v1/status"));
  }
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++) {
    struct pollfd readable = { .fd = fds[i], .events = POLLIN };
    g_autofree char *response = NULL;
    /* At most two connections are open, besides the i closed ones. */
    pthread_mutex_lock (&server.lock);
    g_assert_cmpuint (server.request_count, <=, i + 2);
    pthread_mutex_unlock (&server.lock);
    g_assert_cmpint (poll (&readable, 1, 5000), ==, 1);
    response = read_response (fds[i]);
    g_assert_true (g_str_has_prefix (response, "HTTP/1.1 200"));
    close (fds[i]);
  }
  server_shutdown (&server);
}

/* What the system calls below do instead of the kernel's. Set while no server runs. */
static struct {
  bool is_filter_refused; /* SO_ATTACH_FILTER fails with EPERM */
  /* If not NULL, a client connects here immediately before a listener is shut down. */
  const char *late_host;
  int late_fd; /* -1 if the kernel did not complete the handshake */
} calls;

/* Replaces the C library's function for this program. */
int
setsockopt (int fd, int level, int optname, const void *optval, socklen_t optlen)
{
  bool is_filter = level == SOL_SOCKET && optname == SO_ATTACH_FILTER;

  if (is_filter && calls.is_filter_refused) {
    errno = EPERM;
    return -1;
  }
  return (int)syscall (SYS_setsockopt, fd, level, optname, optval, optlen);
}

/* Returns a connected client that has sent a request, or -1 if the listener refuses the connection
 * or does not complete the handshake. */
static int
open_client_at (const char *host, uint16_t port)
{
  g_autofree char *text = g_strdup_printf ("%s:%u", host, port);
  VpNetAddress address;
  struct pollfd writable = { .events = POLLOUT };
  int code = 0;
  socklen_t size = sizeof code;

  g_assert_true (vp_net_parse_address (text, &address));
  writable.fd = socket (address.any.sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  g_assert_cmpint (writable.fd, >=, 0);
  if ((connect (writable.fd, &address.any, address.size) == 0 || errno == EINPROGRESS)
      && poll (&writable, 1, 100) == 1
      && getsockopt (writable.fd, SOL_SOCKET, SO_ERROR, &code, &size) == 0 && code == 0
      && fcntl (writable.fd, F_SETFL, 0) == 0) {
    /* Fails if the connection is reset already, which the missing response shows. */
    send (writable.fd, GET ("/v1/status"), strlen (GET ("/v1/status")), MSG_NOSIGNAL);
    return writable.fd;
  }
  close (writable.fd);
  return -1;
}

/* Replaces the C library's function for this program. */
int
shutdown (int fd, int how)
{
  int is_listener = 0;
  socklen_t size = sizeof is_listener;

  if (calls.late_host != NULL
      && getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &is_listener, &size) == 0 && is_listener != 0)
    calls.late_fd = open_client_at (calls.late_host, vp_net_bound_port (fd));
  return (int)syscall (SYS_shutdown, fd, how);
}

typedef struct {
  const char *host;
  uint16_t port;
  uint32_t reply_count;
  uint32_t lost_count;
} QuiesceClient;

/* Calls the server until it accepts no more connections. */
static gpointer
run_quiesce_client (gpointer data)
{
  QuiesceClient *client = data;
  int fd;

  while ((fd = open_client_at (client->host, client->port)) >= 0) {
    g_autofree char *response = read_response (fd);
    if (g_str_has_prefix (response, "HTTP/1.1 200"))
      client->reply_count++;
    else
      client->lost_count++;
    close (fd);
  }
  return NULL;
}

/* Guards against requests that are lost since the kernel completes their connections between the
 * last accept4() and the shutdown of the listening socket. The late client connects there. */
static void
check_quiesce_late (const char *address, const char *host)
{
  Server server;

  server_setup_at (&server, address, true, 0);
  calls.late_host = host;
  calls.late_fd = -1;
  vp_http_server_quiesce (server.http);
  calls.late_host = NULL;
  if (calls.late_fd >= 0) {
    g_autofree char *response = read_response (calls.late_fd);
    g_test_message ("%s from %s: connected, response '%s'", address, host, response);
    g_assert_true (g_str_has_prefix (response, "HTTP/1.1 200"));
    close (calls.late_fd);
  }
  server_shutdown (&server);
}

/* The same with callers that connect all the time. */
static void
check_quiesce_load (const char *address, const char *host)
{
  uint32_t reply_count = 0;
  uint32_t lost_count = 0;

  for (int round = 0; round < QUIESCE_ROUNDS; round++) {
    Server server;
    GThread *threads[8];
    QuiesceClient clients[8];
    server_setup_at (&server, address, true, 0);
    for (guint i = 0; i < G_N_ELEMENTS (threads); i++) {
      clients[i] = (QuiesceClient){ .host = host, .port = vp_http_server_port (server.http) };
      threads[i] = g_thread_new ("client", run_quiesce_client, &clients[i]);
    }
    g_usleep (5000);
    vp_http_server_quiesce (server.http);
    for (guint i = 0; i < G_N_ELEMENTS (threads); i++) {
      g_thread_join (threads[i]);
      reply_count += clients[i].reply_count;
      lost_count += clients[i].lost_count;
    }
    server_shutdown (&server);
  }
  g_test_message ("%s from %s: %u replies, %u lost", address, host, reply_count, lost_count);
  g_assert_cmpuint (reply_count, >, 0);
  g_assert_cmpuint (lost_count, ==, 0);
}

static const struct {
  const char *address;
  const char *host;
} quiesce_cases[] = {
  { "127.0.0.1:0", "127.0.0.1" }, { "0.0.0.0:0", "127.0.0.1" }, { "[::1]:0", "[::1]" },
  { "[::]:0", "[::1]" },          { "[::]:0", "127.0.0.1" },
};

static void
test_quiesce_late (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (quiesce_cases); i++)
    check_quiesce_late (quiesce_cases[i].address, quiesce_cases[i].host);
}

static void
test_quiesce_load (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (quiesce_cases); i++)
    check_quiesce_load (quiesce_cases[i].address, quiesce_cases[i].host);
}

static uint32_t warning_count; /* atomic */

static GLogWriterOutput
count_warning (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  if ((level & G_LOG_LEVEL_WARNING) != 0)
    __atomic_add_fetch (&warning_count, 1, __ATOMIC_RELAXED);
  return g_log_writer_default (level, fields, count, data);
}

/* The same where socket filters are refused. Guards also against a warning for every listener. */
static void
check_refused (void (*check) (void))
{
  GLogLevelFlags fatal = g_log_set_always_fatal (G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL);

  calls.is_filter_refused = true;
  check ();
  calls.is_filter_refused = false;
  g_log_set_always_fatal (fatal);
  g_assert_cmpuint (warning_count, ==, 1);
}

static void
test_quiesce_refused_late (void)
{
  check_refused (test_quiesce_late);
}

static void
test_quiesce_refused_load (void)
{
  check_refused (test_quiesce_load);
}

static gpointer
run_shutdown (gpointer data)
{
  vp_http_server_shutdown (data);
  return NULL;
}

/* Guards against a shutdown that cuts off requests which were sent, but not posted, when it began:
 * the first is being posted, the others are unread. */
static void
test_shutdown_unread (void)
{
  Server server;
  GThread *thread;
  int fds[5];

  server_setup_threads (&server, true, 1);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++) {
    g_autofree char *response = NULL;
    fds[i] = open_client (&server);
    send_text (fds[i], GET ("/v1/status"));
    response = read_response (fds[i]);
    g_assert_true (g_str_has_prefix (response, "HTTP/1.1 200"));
  }
  set_gated (&server, true);
  send_text (fds[0], GET ("/v1/status"));
  wait_count (&server, &server.request_count, G_N_ELEMENTS (fds) + 1);
  for (guint i = 1; i < G_N_ELEMENTS (fds); i++)
    send_text (fds[i], GET ("/v1/status"));
  thread = g_thread_new ("shutdown", run_shutdown, server.http);
  g_usleep (100000); /* the server must refuse requests when the HTTP thread goes on */
  set_gated (&server, false);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++) {
    g_autofree char *response = read_response (fds[i]);
    g_assert_true (g_str_has_prefix (response, i == 0 ? "HTTP/1.1 200" : "HTTP/1.1 503"));
    g_assert_true (i == 0 || strstr (response, "\"shutting-down\"") != NULL);
    g_assert_true (i == 0 || strstr (response, "\"run\":\"no\"") != NULL);
    close (fds[i]);
  }
  g_thread_join (thread);
  server.http = NULL;
  server_shutdown (&server);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_writer_func (count_warning, NULL, NULL);
  g_test_add_func ("/http-server/routes", test_routes);
  g_test_add_func ("/http-server/oversize", test_oversize);
  g_test_add_func ("/http-server/slow", test_slow);
  g_test_add_func ("/http-server/pipelined", test_pipelined);
  g_test_add_func ("/http-server/closed-early", test_closed_early);
  g_test_add_func ("/http-server/concurrent", test_concurrent);
  g_test_add_func ("/http-server/shutdown", test_shutdown);
  g_test_add_func ("/http-server/quiesce-backlog", test_quiesce_backlog);
  g_test_add_func ("/http-server/connection-limit", test_connection_limit);
  g_test_add_func ("/http-server/quiesce-late", test_quiesce_late);
  g_test_add_func ("/http-server/quiesce-load", test_quiesce_load);
  g_test_add_func ("/http-server/quiesce-refused-late", test_quiesce_refused_late);
  g_test_add_func ("/http-server/quiesce-refused-load", test_quiesce_refused_load);
  g_test_add_func ("/http-server/shutdown-unread", test_shutdown_unread);
  return g_test_run ();
}
