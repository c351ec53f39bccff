#include "fuzz.h"
#include "vp-http-server-private.h"
#include "vp-net.h"

#include <poll.h>

#include <string.h>
#include <unistd.h>

/* A part of the seeds and their mutations exceeds each limit. */
#define BYTES_MAX      4096
#define BODY_MAX       3000
#define JSON_NODES_MAX 64
#define RESPONSE_MS    2
/* The server learns at once that the connection was reset, so that a limit of 20 s means a fault.
 */
#define RELEASE_CHECK_US   50
#define RELEASE_CHECKS_MAX 400000

static VpHttpServer *_http;

static void
_on_event (const VpEvent *event, void *data)
{
  (void)event;
  (void)data;
}

static void
_on_request (const VpHttpRawRequest *raw, void *data)
{
  g_autoptr (GBytes) body = g_bytes_new (raw->body, MIN (raw->body_size, 64));

  (void)data;
  g_assert_cmpuint (raw->body_size, <=, BODY_MAX);
  g_assert_true (!raw->is_body_skipped || raw->body_size == 0);
  vp_http_server_reply (_http, raw->handle, 200, 0, body, NULL);
}

static bool
_wants_body (const VpHttpRawRequest *raw, void *data)
{
  (void)data;
  return raw->path[0] == '/' && raw->path[1] != 'n';
}

static void
_start_server (void)
{
  g_autoptr (GError) error = NULL;

  _http = vp_http_server_setup (
      &(VpHttpServerDesc){ .address = "127.0.0.1:0",
                           .post = _on_event,
                           .on_raw_request = _on_request,
                           .wants_body = _wants_body,
                           .deadline_header = "Deadline-Ms",
                           .body_max = BODY_MAX,
                           .json_nodes_max = JSON_NODES_MAX,
                           .limits = { .bytes_max = BYTES_MAX, .small_bytes = 512 },
                           .thread_count = 1 },
      &error);
  g_assert_no_error (error);
}

static int
_connect (void)
{
  struct linger reset = { .l_onoff = 1 }; /* leaves no port in TIME_WAIT */
  VpNetAddress address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  g_assert_true (vp_net_parse_address ("127.0.0.1:1", &address));
  address.v4.sin_port = htons (vp_http_server_port (_http));
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  g_assert_cmpint (connect (fd, &address.any, address.size), ==, 0);
  return fd;
}

/* Reads the beginning of the responses, if there are any soon. */
static void
_read_responses (int fd)
{
  struct pollfd readable = { .fd = fd, .events = POLLIN };
  char buffer[4096];
  ssize_t count;

  if (poll (&readable, 1, RESPONSE_MS) != 1)
    return;
  count = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);
  g_assert_true (count <= 0 || memcmp (buffer, "HTTP/1.", MIN ((size_t)count, 7)) == 0);
}

/* Waits until the server has released the connection. */
static void
_wait_released (void)
{
  bool is_released = false;

  for (int i = 0; !is_released; i++) {
    pthread_mutex_lock (&_http->lock);
    is_released = _http->connection_count == 0;
    g_assert_cmpuint (_http->budget.charged_bytes, <=, BYTES_MAX);
    g_assert_cmpuint (_http->budget.large_bytes, <=, _http->budget.charged_bytes);
    g_assert_true (!is_released || _http->budget.charged_bytes == 0);
    g_assert_true (!is_released || _http->budget.connection_count == 0);
    pthread_mutex_unlock (&_http->lock);
    g_assert_cmpint (i, <, RELEASE_CHECKS_MAX);
    if (!is_released)
      g_usleep (RELEASE_CHECK_US);
  }
}

/* Guards against a request of any form that ends or hangs the server, exceeds its budget of bytes,
 * or leaves memory charged. The first byte tells where the rest is divided into two pieces. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  size_t first;
  int fd;

  if (size < 2)
    return 0;
  if (_http == NULL)
    _start_server ();
  first = MIN ((size_t)data[0] * 4, size - 1);
  fd = _connect ();
  send (fd, data + 1, first, MSG_NOSIGNAL);
  send (fd, data + 1 + first, size - 1 - first, MSG_NOSIGNAL);
  _read_responses (fd);
  close (fd);
  _wait_released ();
  return 0;
}
