#include "vp-http-server-private.h"
#include "vp-net.h"

#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Wait at shutdown for handshakes that have begun; a round trip in a data centre takes under 1 ms.
 */
#define VP_HTTP_SERVER_HANDSHAKE_MS 10
/* Interval of the attempts to accept connections at the limit of connections or descriptors. */
#define VP_HTTP_SERVER_ACCEPT_RETRY_MS 10

/* Sends a 408 response. MHD can't reply to an incomplete request, so the response is written to the
 * socket directly. The call does not block, and MHD writes nothing before the request is complete.
 */
static void
_vp_http_server_send_timeout (const VpHttpServerConnection *conn)
{
  g_autoptr (GBytes) body = NULL;
  g_autoptr (GString) text = NULL;

  if (!conn->has_headers)
    return; /* the connection is idle, or the headers are incomplete */
  body = vp_request_format_error (VP_REASON_SLOW_CLIENT, NULL);
  text = g_string_new (NULL);
  g_string_printf (text,
                   "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
                   "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                   g_bytes_get_size (body));
  g_string_append_len (text, g_bytes_get_data (body, NULL), (gssize)g_bytes_get_size (body));
  send (conn->fd, text->str, text->len, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* Closes the connections whose request was not received in time, and returns the time until the
 * next deadline in milliseconds. */
static int
_vp_http_server_close_slow (VpHttpServer *http)
{
  int64_t now_ms = _vp_http_server_now_ms ();
  int64_t next_ms = now_ms + 2 * http->desc.client_timeout_ms;
  GList *head;

  pthread_mutex_lock (&http->lock);
  while ((head = g_queue_peek_head_link (&http->receiving)) != NULL) {
    VpHttpServerConnection *conn = head->data;
    if (conn->deadline_ms > now_ms) {
      next_ms = conn->deadline_ms;
      break;
    }
    g_queue_unlink (&http->receiving, head);
    conn->is_receiving = false;
    _vp_http_server_send_timeout (conn);
    shutdown (conn->fd, SHUT_RDWR);
  }
  pthread_mutex_unlock (&http->lock);
  return (int)(next_ms - now_ms);
}

/* Passes an accepted connection to the HTTP threads. */
static void
_vp_http_server_adopt (VpHttpServer *http, int fd, const struct sockaddr *address, socklen_t size)
{
  pthread_mutex_lock (&http->lock);
  http->connection_count++;
  g_hash_table_add (http->adopted, GINT_TO_POINTER (fd));
  pthread_mutex_unlock (&http->lock);
  if (MHD_add_connection (http->daemon, fd, address, size) == MHD_YES)
    return;
  g_warning ("can't serve an accepted connection");
  pthread_mutex_lock (&http->lock);
  http->connection_count--;
  g_hash_table_remove (http->adopted, GINT_TO_POINTER (fd));
  pthread_mutex_unlock (&http->lock);
}

/* Sets the TTL below which the kernel drops packets to a socket; 0 for no limit. A listening socket
 * gets no SYN then, but handshakes that have begun are completed. No privilege is needed. */
static bool
_vp_http_server_set_min_ttl (int fd, int ttl)
{
  int domain = 0;
  socklen_t size = sizeof domain;

  if (getsockopt (fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) != 0)
    return false;
  /* IPv6 sockets may have IPv4 callers. */
  if (domain == AF_INET6 && setsockopt (fd, IPPROTO_IPV6, IPV6_MINHOPCOUNT, &ttl, sizeof ttl) != 0)
    return false;
  return setsockopt (fd, IPPROTO_IP, IP_MINTTL, &ttl, sizeof ttl) == 0;
}

/* Accepts the connections that the kernel has completed, at most until there are @limit. Returns
 * false if some may be left. The accept lock is held. */
static bool
_vp_http_server_accept_backlog (VpHttpServer *http, uint32_t limit)
{
  for (;;) {
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    uint32_t count;
    int fd;
    pthread_mutex_lock (&http->lock);
    count = http->connection_count;
    pthread_mutex_unlock (&http->lock);
    if (count >= limit)
      return false;
    fd = accept4 (http->listen_fd, (struct sockaddr *)&address, &size,
                  SOCK_CLOEXEC | SOCK_NONBLOCK);
    /* Connections inherit the limit of the listening socket, and would receive nothing. */
    if (fd >= 0 && __atomic_load_n (&http->is_quiesced, __ATOMIC_RELAXED))
      _vp_http_server_set_min_ttl (fd, 0);
    if (fd >= 0)
      _vp_http_server_adopt (http, fd, (struct sockaddr *)&address, size);
    else if (errno == EAGAIN || errno == EINVAL)
      return true;
    else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
      return false;
  }
}

/* Accepts connections, and stops polling the listening socket while it can't accept more. Returns
 * false then. */
static bool
_vp_http_server_accept (VpHttpServer *http)
{
  struct epoll_event watch = { .data.u64 = VP_HTTP_SERVER_LISTEN_ID };
  bool is_complete = true;

  pthread_mutex_lock (&http->accept_lock);
  if (!__atomic_load_n (&http->is_quiesced, __ATOMIC_RELAXED)) {
    is_complete = _vp_http_server_accept_backlog (http, http->desc.connections_max);
    watch.events = is_complete ? EPOLLIN : 0;
    epoll_ctl (http->epoll_fd, EPOLL_CTL_MOD, http->listen_fd, &watch);
  }
  pthread_mutex_unlock (&http->accept_lock);
  return is_complete;
}

gpointer
_vp_http_server_watch (gpointer data)
{
  VpHttpServer *http = data;
  struct epoll_event events[64];
  bool is_accepting = true;
  bool is_stopping = false;

  while (!is_stopping) {
    int wait_ms = _vp_http_server_close_slow (http);
    int count = epoll_wait (http->epoll_fd, events, G_N_ELEMENTS (events),
                            is_accepting ? wait_ms : MIN (wait_ms, VP_HTTP_SERVER_ACCEPT_RETRY_MS));
    if (!is_accepting)
      is_accepting = _vp_http_server_accept (http);
    for (int i = 0; i < count; i++) {
      if (events[i].data.u64 == VP_HTTP_SERVER_WAKE_ID)
        is_stopping = true;
      else if (events[i].data.u64 == VP_HTTP_SERVER_LISTEN_ID)
        is_accepting = _vp_http_server_accept (http);
      else
        _vp_http_server_abort_closed (http, events[i].data.u64);
    }
  }
  return NULL;
}

bool
_vp_http_server_listen (VpHttpServer *http, GError **error)
{
  const char *text = http->desc.address;
  VpNetAddress address;
  int one = 1;

  if (!vp_net_parse_address (text, &address)) {
    errno = EINVAL;
    return _vp_http_server_set_error (error, "HTTP address", text);
  }
  http->listen_fd = socket (address.any.sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (http->listen_fd < 0)
    return _vp_http_server_set_error (error, "HTTP socket for", text);
  setsockopt (http->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (http->listen_fd, &address.any, address.size) != 0
      || listen (http->listen_fd, VP_HTTP_SERVER_BACKLOG) != 0)
    return _vp_http_server_set_error (error, "HTTP listener on", text);
  http->port = vp_net_bound_port (http->listen_fd);
  return true;
}

/* Attaches a filter to the listening socket that drops all further packets to it. The kernel
 * completes no handshakes after this call, not even those that have begun. It has no effect on
 * connections that it has completed already. */
static bool
_vp_http_server_drop_packets (VpHttpServer *http)
{
  struct sock_filter drop_all = BPF_STMT (BPF_RET | BPF_K, 0);
  struct sock_fprog program = { .len = 1, .filter = &drop_all };

  return setsockopt (http->listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

static void
_vp_http_server_warn_handshakes (bool is_ttl_limited, int code)
{
  static bool is_warned; /* atomic */

  if (__atomic_exchange_n (&is_warned, true, __ATOMIC_RELAXED))
    return;
  if (is_ttl_limited)
    g_warning ("can't attach a filter to the listener at shutdown: %s; handshakes are stopped by "
               "its minimum TTL",
               g_strerror (code));
  else
    g_warning ("can't stop handshakes before the listener is closed: %s", g_strerror (code));
}

/* Accepts the connections whose handshakes have begun, for a limited time. */
static void
_vp_http_server_accept_begun (VpHttpServer *http)
{
  struct pollfd completed = { .fd = http->listen_fd, .events = POLLIN };
  int64_t now_ms = _vp_http_server_now_ms ();
  int64_t end_ms = now_ms + VP_HTTP_SERVER_HANDSHAKE_MS;

  while (now_ms < end_ms) {
    _vp_http_server_accept_backlog (http, UINT32_MAX);
    poll (&completed, 1, (int)(end_ms - now_ms));
    now_ms = _vp_http_server_now_ms ();
  }
}

void
vp_http_server_quiesce (VpHttpServer *http)
{
  bool is_ttl_limited;
  bool is_filtered;
  int code;

  if (__atomic_exchange_n (&http->is_quiesced, true, __ATOMIC_ACQ_REL))
    return;
  pthread_mutex_lock (&http->accept_lock);
  epoll_ctl (http->epoll_fd, EPOLL_CTL_DEL, http->listen_fd, NULL);
  /* Handshakes that have begun are completed, and no others begin, except by callers with a TTL of
   * 255, which the filter stops. The filter may be refused where system calls are restricted. */
  is_ttl_limited = _vp_http_server_set_min_ttl (http->listen_fd, 255);
  if (is_ttl_limited)
    _vp_http_server_accept_begun (http);
  is_filtered = _vp_http_server_drop_packets (http);
  code = errno;
  /* The shutdown of the listening socket would reset these connections, whose callers may have sent
   * a request. */
  _vp_http_server_accept_backlog (http, UINT32_MAX);
  /* Without the shutdown of the socket callers would wait instead of being refused. */
  shutdown (http->listen_fd, SHUT_RDWR);
  pthread_mutex_unlock (&http->accept_lock);
  if (!is_filtered)
    _vp_http_server_warn_handshakes (is_ttl_limited, code);
}
