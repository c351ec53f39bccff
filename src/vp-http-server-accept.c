#include "vp-http-server-private.h"
#include "vp-metrics.h"
#include "vp-net.h"

#include <errno.h>
#include <linux/filter.h>
#include <linux/sockios.h>
#include <malloc.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <unistd.h>

/* Wait at shutdown for handshakes that have begun; a round trip in a data centre takes under 1 ms.
 */
#define VP_HTTP_SERVER_HANDSHAKE_MS 10
/* Interval of the attempts to accept connections at the limit of connections or descriptors. */
#define VP_HTTP_SERVER_ACCEPT_RETRY_MS 10

/* Buffers of a socket in bytes; the kernel uses twice as much, and counts it toward the memory of a
 * VM: 48 MiB for 1,006 connections of clients that send ahead and don't read. Without a size they
 * grow to some megabytes each. With a receive buffer of 8,192 the largest body took 0.4 ms of
 * processor time more, with 16,384 it takes 0.1 ms more. */
#define VP_HTTP_SERVER_RECEIVE_BUFFER 16384
#define VP_HTTP_SERVER_SEND_BUFFER    8192
/* Share of connections that are closed and not yet released by the HTTP threads, above the limit.
 */
#define VP_HTTP_SERVER_CLOSING_SHARE 16
/* Connections that are looked at to make room for a new one. */
#define VP_HTTP_SERVER_VICTIMS_MAX 16
/* Longest sleep of the watcher thread while connections are open. */
#define VP_HTTP_SERVER_WATCH_MS 1000

void
_vp_http_server_count_refused (VpHttpCause cause)
{
  static const VpCounter counters[VP_HTTP_CAUSE_COUNT] = {
    [VP_HTTP_CAUSE_LENGTH] = VP_COUNTER_INTAKE_REFUSED_LENGTH,
    [VP_HTTP_CAUSE_UNWANTED] = VP_COUNTER_INTAKE_REFUSED_UNWANTED,
    [VP_HTTP_CAUSE_BYTES] = VP_COUNTER_INTAKE_REFUSED_BYTES,
    [VP_HTTP_CAUSE_ADDRESS] = VP_COUNTER_INTAKE_REFUSED_ADDRESS,
  };

  vp_metrics_add (counters[cause], 1);
}

static void
_vp_http_server_count_closed (VpHttpCause cause)
{
  static const VpCounter counters[VP_HTTP_CAUSE_COUNT] = {
    [VP_HTTP_CAUSE_BYTES] = VP_COUNTER_INTAKE_CLOSED_BYTES,
    [VP_HTTP_CAUSE_CONNECTIONS] = VP_COUNTER_INTAKE_CLOSED_CONNECTIONS,
    [VP_HTTP_CAUSE_IDLE] = VP_COUNTER_INTAKE_CLOSED_IDLE,
    [VP_HTTP_CAUSE_RECEIVE] = VP_COUNTER_INTAKE_CLOSED_RECEIVE,
    [VP_HTTP_CAUSE_SEND] = VP_COUNTER_INTAKE_CLOSED_SEND,
  };

  vp_metrics_add (counters[cause], 1);
}

/* Sends the response to a request that is closed before it is complete. MHD can't reply to an
 * incomplete request, so the response is written to the socket directly. The call does not block,
 * and MHD writes nothing before the request is complete. */
static void
_vp_http_server_send_closed (const VpHttpServerConnection *conn, VpHttpCause cause)
{
  const VpHttpServerCall *call = conn->call;
  VpReason reason = cause == VP_HTTP_CAUSE_RECEIVE ? VP_REASON_SLOW_CLIENT : VP_REASON_OVERLOADED;
  uint32_t status = vp_reason_http_status (reason);
  g_autoptr (GBytes) body = NULL;
  g_autoptr (GString) text = NULL;

  if (!conn->has_headers || call == NULL || conn->entry.phase == VP_HTTP_PHASE_WAITING
      || conn->entry.phase == VP_HTTP_PHASE_SENDING)
    return; /* the connection is idle, the headers are incomplete, or MHD replies */
  body = vp_request_format_error (reason, NULL);
  text = g_string_new (NULL);
  g_string_printf (text,
                   "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
                   "%sConnection: close\r\nContent-Length: %zu\r\n\r\n",
                   status, status == 408 ? "Request Timeout" : "Service Unavailable",
                   status == 408 ? "" : "Retry-After: 1\r\n", g_bytes_get_size (body));
  g_string_append_len (text, g_bytes_get_data (body, NULL), (gssize)g_bytes_get_size (body));
  send (conn->fd, text->str, text->len, MSG_DONTWAIT | MSG_NOSIGNAL);
}

void
_vp_http_server_close (VpHttpServer *http, VpHttpServerConnection *conn, VpHttpCause cause)
{
  _vp_http_server_count_closed (cause);
  _vp_http_server_send_closed (conn, cause);
  if (conn->call != NULL)
    _vp_http_server_free_body (conn->call);
  vp_http_budget_close (&http->budget, &conn->entry, cause);
  shutdown (conn->fd, SHUT_RDWR);
}

/* Returns true if this process is slow, and not the client: there are bytes of the client that were
 * not read, or no bytes of the answer that the client hasn't received. */
static bool
_vp_http_server_is_own_delay (const VpHttpServerConnection *conn)
{
  int size = 0;

  if (conn->entry.phase == VP_HTTP_PHASE_SENDING)
    return ioctl (conn->fd, SIOCOUTQ, &size) == 0 && size == 0;
  return ioctl (conn->fd, FIONREAD, &size) == 0 && size > 0;
}

void
_vp_http_server_close_victim (VpHttpServer *http, VpHttpBudgetEntry *victim, VpHttpCause cause)
{
  VpHttpServerConnection *conn = (VpHttpServerConnection *)victim;

  if (_vp_http_server_is_own_delay (conn))
    vp_http_budget_touch (&http->budget, victim, _vp_http_server_now_ms ());
  else
    _vp_http_server_close (http, conn, cause);
}

/* Closes the connections whose time is over. The lock is held. */
static void
_vp_http_server_close_slow (VpHttpServer *http, int64_t now_ms)
{
  VpHttpBudgetEntry *entry;
  VpHttpCause cause;

  while ((entry = vp_http_budget_expired (&http->budget, now_ms, &cause)) != NULL) {
    bool is_over = entry->is_requesting
                   && now_ms - entry->began_ms >= http->budget.limits.receive_timeout_ms;
    /* After a pause of this process, more time is given to clients that have sent meanwhile, except
     * for the time of the whole request. */
    if (is_over)
      _vp_http_server_close (http, (VpHttpServerConnection *)entry, cause);
    else
      _vp_http_server_close_victim (http, entry, cause);
  }
}

/* Longest time until the next call of _vp_http_server_watch_limits(). Connections that begin a
 * phase meanwhile may expire earlier than the present ones. The lock is held. */
static int
_vp_http_server_watch_wait_ms (const VpHttpServer *http, int64_t now_ms)
{
  const VpHttpLimits *limits = &http->budget.limits;
  int64_t wait_ms = MIN (limits->receive_timeout_ms, limits->send_timeout_ms);

  if (http->connection_count > 0)
    wait_ms = MIN (wait_ms, VP_HTTP_SERVER_WATCH_MS);
  wait_ms = MIN (wait_ms, limits->idle_timeout_ms);
  return (int)CLAMP (vp_http_budget_next_ms (&http->budget) - now_ms, 0, wait_ms);
}

/* Closes slow clients, and gives memory back to the system. Returns the time until it is to be
 * called again, in milliseconds. */
static int
_vp_http_server_watch_limits (VpHttpServer *http)
{
  int64_t now_ms = _vp_http_server_now_ms ();
  char text[VP_HTTP_SERVER_REPORT_MAX];
  bool is_trim_due;
  int wait_ms;

  pthread_mutex_lock (&http->lock);
  _vp_http_server_close_slow (http, now_ms);
  is_trim_due = vp_http_budget_is_trim_due (&http->budget, now_ms);
  wait_ms = _vp_http_server_watch_wait_ms (http, now_ms);
  if (!http->desc.is_bodyless) {
    vp_metrics_set (VP_GAUGE_INTAKE_CONNECTIONS, http->connection_count);
    vp_metrics_set (VP_GAUGE_INTAKE_BYTES, (int64_t)http->budget.charged_bytes);
  }
  pthread_mutex_unlock (&http->lock);
  if (is_trim_due)
    malloc_trim (0);
  if (http->desc.is_logging && vp_http_server_report (http, text, sizeof text))
    g_message ("limits on clients: %s", text);
  return wait_ms;
}

/* Number that tells the client's address apart from others. A client has a whole IPv6 /64. */
static uint64_t
_vp_http_server_address_id (const struct sockaddr_storage *address)
{
  struct sockaddr_in v4;
  struct sockaddr_in6 v6;
  uint64_t prefix;
  uint32_t mapped;

  if (address->ss_family == AF_INET) {
    memcpy (&v4, address, sizeof v4);
    return v4.sin_addr.s_addr;
  }
  memcpy (&v6, address, sizeof v6);
  memcpy (&prefix, v6.sin6_addr.s6_addr, sizeof prefix);
  memcpy (&mapped, v6.sin6_addr.s6_addr + 12, sizeof mapped);
  return IN6_IS_ADDR_V4MAPPED (&v6.sin6_addr) ? mapped : prefix;
}

/* Passes an accepted connection to the HTTP threads. */
static void
_vp_http_server_adopt (VpHttpServer *http,
                       int fd,
                       const struct sockaddr_storage *address,
                       socklen_t size)
{
  VpHttpServerConnection *conn = g_new0 (VpHttpServerConnection, 1);
  bool is_open;

  conn->fd = fd;
  pthread_mutex_lock (&http->lock);
  is_open = vp_http_budget_open (&http->budget, &conn->entry, _vp_http_server_address_id (address),
                                 _vp_http_server_now_ms ());
  if (is_open) {
    http->connection_count++;
    g_hash_table_insert (http->adopted, GINT_TO_POINTER (fd), conn);
  }
  pthread_mutex_unlock (&http->lock);
  if (!is_open) {
    _vp_http_server_count_refused (VP_HTTP_CAUSE_ADDRESS);
    close (fd);
    g_free (conn);
    return;
  }
  if (MHD_add_connection (http->daemon, fd, (const struct sockaddr *)address, size) == MHD_YES)
    return;
  g_warning ("can't serve an accepted connection");
  pthread_mutex_lock (&http->lock);
  if (g_hash_table_remove (http->adopted, GINT_TO_POINTER (fd))) {
    http->connection_count--;
    vp_http_budget_remove (&http->budget, &conn->entry);
    g_free (conn);
  }
  pthread_mutex_unlock (&http->lock);
}

/* Returns true if another connection may be accepted. At the limit a connection is closed for it if
 * the kernel has completed one. */
static bool
_vp_http_server_make_room (VpHttpServer *http)
{
  struct pollfd completed = { .fd = http->listen_fd, .events = POLLIN };
  uint32_t limit = http->budget.limits.connections_max;
  uint32_t closing_max = limit / VP_HTTP_SERVER_CLOSING_SHARE + 1;
  VpHttpBudgetEntry *victim;
  bool has_room;

  pthread_mutex_lock (&http->lock);
  has_room = vp_http_budget_has_room (&http->budget, _vp_http_server_now_ms (), &victim);
  for (int i = 0; !has_room && victim != NULL && i < VP_HTTP_SERVER_VICTIMS_MAX; i++) {
    if (http->connection_count >= limit + closing_max || poll (&completed, 1, 0) != 1)
      break;
    _vp_http_server_close_victim (http, victim, VP_HTTP_CAUSE_CONNECTIONS);
    has_room = vp_http_budget_has_room (&http->budget, _vp_http_server_now_ms (), &victim);
  }
  has_room = has_room && http->connection_count < limit + closing_max;
  pthread_mutex_unlock (&http->lock);
  return has_room;
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

/* Accepts the connections that the kernel has completed, up to the limit if @is_limited. Returns
 * false if some may be left. The accept lock is held. */
static bool
_vp_http_server_accept_backlog (VpHttpServer *http, bool is_limited)
{
  for (;;) {
    struct sockaddr_storage address = { 0 };
    socklen_t size = sizeof address;
    int fd;
    if (is_limited && !_vp_http_server_make_room (http))
      return false;
    fd = accept4 (http->listen_fd, (struct sockaddr *)&address, &size,
                  SOCK_CLOEXEC | SOCK_NONBLOCK);
    /* Connections inherit the limit of the listening socket, and would receive nothing. */
    if (fd >= 0 && __atomic_load_n (&http->is_quiesced, __ATOMIC_RELAXED))
      _vp_http_server_set_min_ttl (fd, 0);
    if (fd >= 0)
      _vp_http_server_adopt (http, fd, &address, size);
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
    is_complete = _vp_http_server_accept_backlog (http, true);
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
    int wait_ms = _vp_http_server_watch_limits (http);
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
  int receive_size = VP_HTTP_SERVER_RECEIVE_BUFFER;
  int send_size = VP_HTTP_SERVER_SEND_BUFFER;

  if (!vp_net_parse_address (text, &address)) {
    errno = EINVAL;
    return _vp_http_server_set_error (error, "HTTP address", text);
  }
  http->listen_fd = socket (address.any.sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (http->listen_fd < 0)
    return _vp_http_server_set_error (error, "HTTP socket for", text);
  setsockopt (http->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  /* Accepted sockets inherit the sizes. */
  setsockopt (http->listen_fd, SOL_SOCKET, SO_RCVBUF, &receive_size, sizeof receive_size);
  setsockopt (http->listen_fd, SOL_SOCKET, SO_SNDBUF, &send_size, sizeof send_size);
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
    _vp_http_server_accept_backlog (http, false);
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
  _vp_http_server_accept_backlog (http, false);
  /* Without the shutdown of the socket callers would wait instead of being refused. */
  shutdown (http->listen_fd, SHUT_RDWR);
  pthread_mutex_unlock (&http->accept_lock);
  if (!is_filtered)
    _vp_http_server_warn_handshakes (is_ttl_limited, code);
}
