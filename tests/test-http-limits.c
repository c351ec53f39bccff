/* Limits of the HTTP server on clients, over sockets. test-http-budget tests the decisions. */
#include "vp-http-server.h"
#include "vp-metrics.h"
#include "vp-net.h"
#include "vp-sync.h"

#include <poll.h>
#include <string.h>
#include <unistd.h>

#define BODY_MAX   20000
#define SMALL_BODY 1000

/* Server under test. It answers each request at once, with the size of its body. */
typedef struct {
  VpHttpServer *http;
  uint32_t request_count; /* atomic */
  uint32_t skipped_count; /* atomic */
} Server;

static void
on_event (const VpEvent *event, void *data)
{
  (void)event;
  (void)data;
}

static void
on_request (const VpHttpRawRequest *raw, void *data)
{
  Server *server = data;
  g_autofree char *text = g_strdup_printf ("{\"size\":%zu}", raw->body_size);
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));

  __atomic_add_fetch (&server->request_count, 1, __ATOMIC_SEQ_CST);
  if (raw->is_body_skipped)
    __atomic_add_fetch (&server->skipped_count, 1, __ATOMIC_SEQ_CST);
  vp_http_server_reply (server->http, raw->handle, raw->is_body_skipped ? 404 : 200, 0, body, NULL);
}

static bool
wants_body (const VpHttpRawRequest *raw, void *data)
{
  (void)data;
  return strcmp (raw->path, "/unwanted") != 0;
}

static void
server_setup (Server *server, VpHttpServerDesc desc)
{
  g_autoptr (GError) error = NULL;

  memset (server, 0, sizeof *server);
  vp_metrics_reset ();
  desc.address = "127.0.0.1:0";
  desc.post = on_event;
  desc.data = server;
  desc.on_raw_request = on_request;
  desc.wants_body = wants_body;
  desc.body_max = BODY_MAX;
  desc.thread_count = 1;
  server->http = vp_http_server_setup (&desc, &error);
  g_assert_no_error (error);
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

/* Sends the headers of a POST request and the first bytes of its body. */
static void
send_post (int fd, const char *path, uint32_t size, uint32_t sent)
{
  g_autofree char *body = g_strnfill (sent, 'x');
  g_autofree char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %u\r\n\r\n%s", path, size, body);

  send_text (fd, text);
}

/* Reads until the server closes the connection, or until a response with a short body is complete.
 */
static char *
read_response (int fd)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t count;

  while (!g_str_has_suffix (text->str, "}") && (count = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (text, buffer, count);
  return g_string_free (text, FALSE);
}

/* Asserts that the server answers with @status, or closes the connection if @status is empty. */
static void
expect (int fd, const char *status)
{
  g_autofree char *response = read_response (fd);
  const char *got = response[0] == '\0' ? "" : response + strlen ("HTTP/1.1 ");

  g_test_message ("expected '%s': %s", status, response);
  g_assert_true (status[0] == '\0' ? got[0] == '\0' : g_str_has_prefix (got, status));
  if (strcmp (status, "503") == 0) {
    g_assert_nonnull (strstr (response, "Retry-After: 1"));
    g_assert_nonnull (strstr (response, "\"run\":\"no\""));
  }
}

static void
wait_counter (VpCounter counter, uint64_t value)
{
  while (vp_metrics_get (counter) < value)
    g_usleep (1000);
}

/* Guards against bodies without a limit on their sum, a held body that keeps its memory, an
 * ordinary request that is refused meanwhile, and a request that runs after its refusal. */
static void
test_bytes (void)
{
  Server server;
  int held[3];
  int ordinary;
  struct pollfd readable[2];
  guint closed;

  server_setup (&server, (VpHttpServerDesc){ .limits = { .bytes_max = 64 * 1024 } });
  /* Three quarters, 48 KiB, have room for two large bodies. */
  for (guint i = 0; i < G_N_ELEMENTS (held); i++) {
    held[i] = open_client (&server);
    send_post (held[i], "/a", BODY_MAX - 1, BODY_MAX - 1000);
    if (i == 1)
      g_usleep (500000);
  }
  /* The first two have made no progress for 250 ms, and the one that was read first is closed. */
  for (guint i = 0; i < 2; i++)
    readable[i] = (struct pollfd){ .fd = held[i], .events = POLLIN };
  g_assert_cmpint (poll (readable, 2, 3000), ==, 1);
  closed = readable[0].revents != 0 ? 0 : 1;
  expect (held[closed], "503");
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_INTAKE_CLOSED_BYTES), ==, 1);
  ordinary = open_client (&server);
  send_post (ordinary, "/a", SMALL_BODY, SMALL_BODY);
  expect (ordinary, "200");
  /* The others are complete after all. */
  for (guint i = 0; i < G_N_ELEMENTS (held); i++) {
    g_autofree char *rest = g_strnfill (999, 'x');
    if (i == closed)
      continue;
    send_text (held[i], rest);
    expect (held[i], "200");
  }
  g_assert_cmpuint (server.request_count, ==, 3);
  for (guint i = 0; i < G_N_ELEMENTS (held); i++)
    close (held[i]);
  close (ordinary);
  vp_http_server_shutdown (server.http);
}

/* Guards against a request without memory that is not refused, or whose refusal cuts the connection
 * off. */
static void
test_refused (void)
{
  Server server;
  int fds[3];
  uint32_t refused_count = 0;

  server_setup (&server, (VpHttpServerDesc){ .limits = { .bytes_max = 32 * 1024 } });
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++) {
    fds[i] = open_client (&server);
    send_post (fds[i], "/a", BODY_MAX - 1, BODY_MAX - 1000);
  }
  wait_counter (VP_COUNTER_INTAKE_REFUSED_BYTES, 1);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++) {
    g_autofree char *rest = g_strnfill (999, 'x');
    g_autofree char *response = NULL;
    send_text (fds[i], rest);
    response = read_response (fds[i]);
    refused_count += g_str_has_prefix (response, "HTTP/1.1 503") ? 1 : 0;
    send_post (fds[i], "/a", SMALL_BODY, SMALL_BODY);
    expect (fds[i], "200");
    close (fds[i]);
  }
  g_assert_cmpuint (refused_count, ==, vp_metrics_get (VP_COUNTER_INTAKE_REFUSED_BYTES));
  g_assert_cmpuint (server.request_count, ==, 2 * G_N_ELEMENTS (fds) - refused_count);
  vp_http_server_shutdown (server.http);
}

/* Guards against idle and stalled connections that keep new ones out. */
static void
test_connections (void)
{
  Server server;
  int fds[3];

  server_setup (&server, (VpHttpServerDesc){ .connections_max = 2 });
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    fds[i] = open_client (&server);
  send_post (fds[1], "/a", SMALL_BODY, SMALL_BODY - 1);
  send_post (fds[2], "/a", SMALL_BODY, SMALL_BODY);
  expect (fds[2], "200");
  expect (fds[0], "");
  close (fds[0]);
  /* Two places are taken by the stalled request and by the one that is idle again. */
  fds[0] = open_client (&server);
  send_post (fds[0], "/a", SMALL_BODY, SMALL_BODY);
  expect (fds[0], "200");
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_INTAKE_CLOSED_CONNECTIONS), ==, 2);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
  vp_http_server_shutdown (server.http);
}

/* Guards against an address that takes all connections. */
static void
test_addresses (void)
{
  Server server;
  int fds[2];

  server_setup (&server, (VpHttpServerDesc){ .limits = { .per_address_max = 1 } });
  fds[0] = open_client (&server);
  send_post (fds[0], "/a", SMALL_BODY, SMALL_BODY);
  expect (fds[0], "200");
  fds[1] = open_client (&server);
  expect (fds[1], "");
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_INTAKE_REFUSED_ADDRESS), ==, 1);
  close (fds[1]);
  close (fds[0]);
  vp_http_server_shutdown (server.http);
}

/* Guards against a body that is kept although nobody wants it, and against one that is held open
 * for ever. */
static void
test_unwanted (void)
{
  Server server;
  int fd;

  server_setup (&server, (VpHttpServerDesc){ .limits = { .bytes_max = 1 } });
  fd = open_client (&server);
  send_post (fd, "/unwanted", BODY_MAX, BODY_MAX);
  expect (fd, "404");
  g_assert_cmpuint (server.skipped_count, ==, 1);
  send_post (fd, "/unwanted", BODY_MAX, BODY_MAX - 1);
  expect (fd, "408");
  g_assert_cmpuint (server.request_count, ==, 1);
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_INTAKE_REFUSED_UNWANTED), ==, 2);
  close (fd);
  vp_http_server_shutdown (server.http);
}

/* Guards against a server for probes that reads bodies, and one that refuses probes. */
static void
test_bodyless (void)
{
  Server server;
  int fd;

  server_setup (&server, (VpHttpServerDesc){ .is_bodyless = true });
  fd = open_client (&server);
  send_text (fd, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  expect (fd, "200");
  send_text (fd, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n");
  expect (fd, "413");
  close (fd);
  fd = open_client (&server);
  send_text (fd, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  expect (fd, "413");
  close (fd);
  g_assert_cmpuint (server.request_count, ==, 1);
  vp_http_server_shutdown (server.http);
}

/* Guards against a body of very many values that is parsed. */
static void
test_nodes (void)
{
  g_autofree char *values = g_strnfill (4000, ',');
  g_autofree char *text = g_strdup_printf (
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s", strlen (values), values);
  Server server;
  int fd;

  server_setup (&server, (VpHttpServerDesc){ .json_nodes_max = 1000 });
  fd = open_client (&server);
  send_text (fd, text);
  expect (fd, "413");
  send_post (fd, "/a", SMALL_BODY, SMALL_BODY);
  expect (fd, "200");
  g_assert_cmpuint (server.request_count, ==, 1);
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_INTAKE_REFUSED_NODES), ==, 1);
  close (fd);
  vp_http_server_shutdown (server.http);
}

/* Guards against a client that doesn't read its answers and keeps its connection, and against the
 * processing of requests that are sent ahead without bound. */
static void
test_unread (void)
{
  static const char request[] = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  Server server;
  int size = 2048;
  int fd;

  server_setup (&server, (VpHttpServerDesc){ .limits = { .send_timeout_ms = 500 } });
  fd = open_client (&server);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  while (vp_metrics_get (VP_COUNTER_INTAKE_CLOSED_SEND) == 0) {
    if (send (fd, request, strlen (request), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
      g_usleep (1000);
  }
  close (fd);
  vp_http_server_shutdown (server.http);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-limits/bytes", test_bytes);
  g_test_add_func ("/http-limits/refused", test_refused);
  g_test_add_func ("/http-limits/connections", test_connections);
  g_test_add_func ("/http-limits/addresses", test_addresses);
  g_test_add_func ("/http-limits/unwanted", test_unwanted);
  g_test_add_func ("/http-limits/bodyless", test_bodyless);
  g_test_add_func ("/http-limits/nodes", test_nodes);
  g_test_add_func ("/http-limits/unread", test_unread);
  return g_test_run ();
}
