#include "vp-http-server.h"
#include "vp-http-route.h"
#include "vp-metrics.h"
#include "vp-net.h"
#include "vp-sync.h"

#include <errno.h>
#include <gio/gio.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <unistd.h>

#define VP_HTTP_SERVER_BODY_MAX          262144
#define VP_HTTP_SERVER_CONNECTIONS_MAX   4096
#define VP_HTTP_SERVER_CLIENT_TIMEOUT_MS 10000
#define VP_HTTP_SERVER_THREADS           2
#define VP_HTTP_SERVER_BACKLOG           1024
/* Buffer of a connection in bytes, which limits the headers of a request. With 4,096 connections
 * the buffers take 32 MiB. */
#define VP_HTTP_SERVER_CONNECTION_MEMORY 8192
/* The body of a refused request is read and discarded up to this size, since closing a connection
 * with unread data resets it, and the caller may not receive the refusal. */
#define VP_HTTP_SERVER_DISCARD_MAX ((uint64_t)4 * 1024 * 1024)
/* Longest wait at shutdown for requests that are being received and replies that are written. */
#define VP_HTTP_SERVER_FLUSH_TIMEOUT_MS 2000
/* Interval of the checks for unread requests during that wait; nothing signals their arrival. */
#define VP_HTTP_SERVER_FLUSH_CHECK_MS 10
/* Wait at shutdown for handshakes that have begun; a round trip in a data centre takes under 1 ms.
 */
#define VP_HTTP_SERVER_HANDSHAKE_MS  10
#define VP_HTTP_SERVER_RETRY_AFTER_S 1                /* of requests that are refused at shutdown */
#define VP_HTTP_SERVER_WAKE_ID       UINT64_MAX       /* epoll data of the wake-up eventfd */
#define VP_HTTP_SERVER_LISTEN_ID     (UINT64_MAX - 1) /* epoll data of the listening socket */
/* Interval of the attempts to accept connections at the limit of connections or descriptors. */
#define VP_HTTP_SERVER_ACCEPT_RETRY_MS 10

typedef enum {
  VP_HTTP_SERVER_RECEIVING,
  VP_HTTP_SERVER_WAITING,        /* the request is posted and the connection suspended */
  VP_HTTP_SERVER_RESPONSE_READY, /* the response is ready */
  VP_HTTP_SERVER_ABORTED,        /* the caller closed the connection, or the server stops */
} VpHttpServerState;

/* An accepted connection. Connections that are idle or receive a request are linked in
 * VpHttpServer.receiving, in the order of their deadlines. */
typedef struct {
  GList link;
  int fd;
  int64_t deadline_ms; /* time until which the next request must be received */
  bool has_headers;    /* the headers of a request were received, its body was not */
  bool is_receiving;
} VpHttpServerConnection;

typedef struct {
  struct MHD_Connection *connection;
  VpHttpServerConnection *conn;
  uint64_t handle;
  VpHttpServerState state;
  struct MHD_Response *response;
  uint32_t status;
  VpHttpRoute route;
  const char *method; /* method and path are owned by MHD */
  const char *path;
  bool is_refused; /* refused for its path, headers or size; the body is discarded */
  GByteArray *body;
  bool is_unwritten;       /* counted in VpHttpServer.unwritten_count */
  uint64_t discarded_size; /* bytes of the body that were discarded */
  int64_t arrived_us;
} VpHttpServerCall;

struct _VpHttpServer {
  VpHttpServerDesc desc;
  struct MHD_Daemon *daemon;
  int listen_fd;
  bool is_quiesced; /* atomic */
  uint16_t port;
  pthread_mutex_t accept_lock; /* held while connections are accepted; taken before lock */
  pthread_mutex_t lock;
  pthread_cond_t flushed;
  GHashTable *waiting; /* handle -> VpHttpServerCall in state VP_HTTP_SERVER_WAITING */
  GQueue receiving;    /* VpHttpServerConnection */
  uint64_t last_handle;
  uint32_t unwritten_count; /* replies that are not written yet */
  uint32_t posting_count;   /* requests whose event is not posted yet */
  GHashTable *adopted;      /* accepted connections that MHD has not begun to serve */
  uint32_t connection_count;
  bool is_stopping; /* requests are refused */
  /* Accepts connections, and detects slow clients, and closed connections among the suspended ones,
   * which MHD does not poll. */
  GThread *watcher;
  int epoll_fd;
  int wake_fd;
};

static int64_t
_vp_http_server_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static struct MHD_Response *
_vp_http_server_response (const VpHttpServer *http,
                          uint32_t status,
                          uint32_t retry_after_s,
                          GBytes *body,
                          const char *content_type)
{
  static const char empty[] = "";
  struct MHD_Response *response;
  gsize size = 0;
  const char *data = body == NULL ? NULL : g_bytes_get_data (body, &size);
  char text[16];

  if (data == NULL)
    response = MHD_create_response_from_buffer (0, (void *)empty, MHD_RESPMEM_PERSISTENT);
  else
    response = MHD_create_response_from_buffer_with_free_callback_cls (
        size, (void *)data, (MHD_ContentReaderFreeCallback)g_bytes_unref, g_bytes_ref (body));
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           content_type == NULL ? "application/json" : content_type);
  if (retry_after_s > 0) {
    g_snprintf (text, sizeof text, "%u", retry_after_s);
    MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, text);
  }
  if (status == 401)
    MHD_add_response_header (response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
  if (__atomic_load_n (&http->is_quiesced, __ATOMIC_RELAXED))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  return response;
}

/* Starts the time limit for the connection's next request. */
static void
_vp_http_server_start_receiving (VpHttpServer *http, VpHttpServerConnection *conn)
{
  pthread_mutex_lock (&http->lock);
  conn->deadline_ms = _vp_http_server_now_ms () + 2 * http->desc.client_timeout_ms;
  conn->has_headers = false;
  if (conn->is_receiving)
    g_queue_unlink (&http->receiving, &conn->link);
  g_queue_push_tail_link (&http->receiving, &conn->link);
  conn->is_receiving = true;
  pthread_mutex_unlock (&http->lock);
}

static void
_vp_http_server_stop_receiving (VpHttpServer *http, VpHttpServerConnection *conn)
{
  pthread_mutex_lock (&http->lock);
  if (conn->is_receiving)
    g_queue_unlink (&http->receiving, &conn->link);
  conn->is_receiving = false;
  pthread_mutex_unlock (&http->lock);
}

static void
_vp_http_server_on_connection (void *data,
                               struct MHD_Connection *connection,
                               void **socket_context,
                               enum MHD_ConnectionNotificationCode code)
{
  VpHttpServer *http = data;
  VpHttpServerConnection *conn = *socket_context;
  const union MHD_ConnectionInfo *info;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    if (conn != NULL)
      _vp_http_server_stop_receiving (http, conn);
    pthread_mutex_lock (&http->lock);
    http->connection_count--;
    pthread_mutex_unlock (&http->lock);
    g_free (conn);
    *socket_context = NULL;
    return;
  }
  info = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  conn = g_new0 (VpHttpServerConnection, 1);
  conn->link.data = conn;
  conn->fd = info->connect_fd;
  *socket_context = conn;
  _vp_http_server_start_receiving (http, conn);
  pthread_mutex_lock (&http->lock);
  g_hash_table_remove (http->adopted, GINT_TO_POINTER (conn->fd));
  pthread_mutex_unlock (&http->lock);
}

static VpHttpServerCall *
_vp_http_server_call_new (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  VpHttpServerCall *call = g_new0 (VpHttpServerCall, 1);

  call->connection = connection;
  call->conn = info->socket_context;
  call->state = VP_HTTP_SERVER_RECEIVING;
  return call;
}

static void
_vp_http_server_on_completed (void *data,
                              struct MHD_Connection *connection,
                              void **context,
                              enum MHD_RequestTerminationCode code)
{
  VpHttpServer *http = data;
  VpHttpServerCall *call = *context;

  (void)connection;
  if (call == NULL)
    return;
  pthread_mutex_lock (&http->lock);
  if (call->is_unwritten) {
    http->unwritten_count--;
    pthread_cond_signal (&http->flushed);
  }
  pthread_mutex_unlock (&http->lock);
  if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
    _vp_http_server_start_receiving (http, call->conn);
  g_clear_pointer (&call->response, MHD_destroy_response);
  vp_http_route_clear (&call->route);
  g_clear_pointer (&call->body, g_byte_array_unref);
  g_free (call);
  *context = NULL;
}

static const char *
_vp_http_server_query (void *data, const char *name)
{
  return MHD_lookup_connection_value (data, MHD_GET_ARGUMENT_KIND, name);
}

static void
_vp_http_server_refuse (VpHttpServerCall *call,
                        uint32_t status,
                        VpReason reason,
                        const char *detail)
{
  call->is_refused = true;
  call->route.status = status;
  call->route.reason = reason;
  if (detail != call->route.detail)
    g_strlcpy (call->route.detail, detail, sizeof call->route.detail);
  g_clear_pointer (&call->body, g_byte_array_unref);
}

static enum MHD_Result
_vp_http_server_queue_refusal (VpHttpServer *http, VpHttpServerCall *call)
{
  const char *detail = call->route.detail[0] == '\0' ? NULL : call->route.detail;
  g_autoptr (GBytes) body = vp_request_format_error (call->route.reason, detail);
  uint32_t retry_after_s
      = call->route.reason == VP_REASON_SHUTTING_DOWN ? VP_HTTP_SERVER_RETRY_AFTER_S : 0;
  struct MHD_Response *response
      = _vp_http_server_response (http, call->route.status, retry_after_s, body, NULL);
  enum MHD_Result result;

  pthread_mutex_lock (&http->lock);
  call->is_unwritten = true;
  http->unwritten_count++;
  pthread_mutex_unlock (&http->lock);
  result = MHD_queue_response (call->connection, call->route.status, response);
  MHD_destroy_response (response);
  return result;
}

/* Called when the headers are complete. */
static enum MHD_Result
_vp_http_server_begin (VpHttpServer *http,
                       VpHttpServerCall *call,
                       const char *method,
                       const char *path)
{
  const char *length = MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND,
                                                    MHD_HTTP_HEADER_CONTENT_LENGTH);
  const char *key = MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND,
                                                 MHD_HTTP_HEADER_AUTHORIZATION);
  uint64_t size = length == NULL ? 0 : g_ascii_strtoull (length, NULL, 10);

  call->method = method;
  call->path = path;
  if (http->desc.on_raw_request != NULL)
    call->route.has_body = true;
  else if (!vp_http_route (method, path, _vp_http_server_query, call->connection, &call->route)
           || !vp_http_route_key (&call->route, key))
    _vp_http_server_refuse (call, call->route.status, call->route.reason, call->route.detail);
  if (!call->is_refused && size > http->desc.body_max)
    _vp_http_server_refuse (call, 413, VP_REASON_TOO_LARGE, "");
  /* Refuses the request before its body is received if the body is too long to be discarded, or if
   * the caller waits for permission to send it. */
  if (call->is_refused
      && (size > VP_HTTP_SERVER_DISCARD_MAX
          || MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_EXPECT)
                 != NULL))
    return _vp_http_server_queue_refusal (http, call);
  return MHD_YES;
}

static enum MHD_Result
_vp_http_server_append_body (VpHttpServer *http,
                             VpHttpServerCall *call,
                             const char *data,
                             size_t *size)
{
  size_t count = *size;

  *size = 0;
  if (!call->is_refused && (call->body == NULL ? 0 : call->body->len) + count > http->desc.body_max)
    _vp_http_server_refuse (call, 413, VP_REASON_TOO_LARGE, "");
  if (call->is_refused || !call->route.has_body) {
    call->discarded_size += count;
    return call->discarded_size > VP_HTTP_SERVER_DISCARD_MAX ? MHD_NO : MHD_YES;
  }
  if (call->body == NULL)
    call->body = g_byte_array_new ();
  g_byte_array_append (call->body, (const guint8 *)data, (guint)count);
  return MHD_YES;
}

static void
_vp_http_server_post_request (VpHttpServer *http, VpHttpServerCall *call, VpRequest *request)
{
  VpEvent event = { .kind = VP_EVENT_REQUEST, .handle = call->handle, .request = request };

  http->desc.post (&event, http->desc.data);
}

static const char *
_vp_http_server_header (const VpHttpServerCall *call, const char *name)
{
  return name == NULL ? NULL
                      : MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, name);
}

static void
_vp_http_server_call_raw (VpHttpServer *http, VpHttpServerCall *call, const GByteArray *body)
{
  const char *deadline = _vp_http_server_header (call, http->desc.deadline_header);
  VpHttpRawRequest raw = {
    .handle = call->handle,
    .method = call->method,
    .path = call->path,
    .host = _vp_http_server_header (call, MHD_HTTP_HEADER_HOST),
    .authorization = _vp_http_server_header (call, MHD_HTTP_HEADER_AUTHORIZATION),
    .body = body == NULL ? "" : (const char *)body->data,
    .body_size = body == NULL ? 0 : body->len,
  };

  if (deadline != NULL)
    raw.deadline_ms = g_ascii_strtoll (deadline, NULL, 10);
  http->desc.on_raw_request (&raw, http->desc.data);
}

/* Suspends the connection and posts its request, or passes on the raw request if @request is NULL.
 * The connection is watched only afterwards, so that VP_EVENT_CLIENT_DISCONNECTED is never posted
 * before the request. The call stays valid meanwhile, since only this thread ends it. */
static enum MHD_Result
_vp_http_server_suspend (VpHttpServer *http, VpHttpServerCall *call, VpRequest *request)
{
  struct epoll_event watch = { .events = EPOLLRDHUP | EPOLLONESHOT };
  g_autoptr (GByteArray) body = g_steal_pointer (&call->body);

  pthread_mutex_lock (&http->lock);
  if (http->is_stopping) {
    pthread_mutex_unlock (&http->lock);
    if (request != NULL)
      vp_request_unref (request);
    _vp_http_server_refuse (call, vp_reason_http_status (VP_REASON_SHUTTING_DOWN),
                            VP_REASON_SHUTTING_DOWN, "");
    return _vp_http_server_queue_refusal (http, call);
  }
  http->posting_count++;
  call->arrived_us = g_get_monotonic_time ();
  call->state = VP_HTTP_SERVER_WAITING;
  call->handle = ++http->last_handle;
  watch.data.u64 = call->handle;
  MHD_suspend_connection (call->connection);
  g_hash_table_insert (http->waiting, &call->handle, call);
  pthread_mutex_unlock (&http->lock);
  if (request == NULL)
    _vp_http_server_call_raw (http, call, body);
  else
    _vp_http_server_post_request (http, call, request);
  pthread_mutex_lock (&http->lock);
  http->posting_count--;
  pthread_cond_signal (&http->flushed);
  if (call->state == VP_HTTP_SERVER_WAITING
      && epoll_ctl (http->epoll_fd, EPOLL_CTL_ADD, call->conn->fd, &watch) != 0)
    g_warning ("can't watch a connection: %s", g_strerror (errno));
  pthread_mutex_unlock (&http->lock);
  return MHD_YES;
}

/* Called when the body is complete. */
static enum MHD_Result
_vp_http_server_finish (VpHttpServer *http, VpHttpServerCall *call)
{
  g_autoptr (GError) error = NULL;
  const char *data = call->body == NULL ? "" : (const char *)call->body->data;
  size_t size = call->body == NULL ? 0 : call->body->len;
  VpRequest *request;

  _vp_http_server_stop_receiving (http, call->conn);
  if (call->is_refused)
    return _vp_http_server_queue_refusal (http, call);
  if (http->desc.on_raw_request != NULL)
    return _vp_http_server_suspend (http, call, NULL);
  request = vp_http_route_finish (&call->route, data, size, &error);
  if (request == NULL) {
    _vp_http_server_refuse (call, 400, VP_REASON_BAD_REQUEST, error->message);
    return _vp_http_server_queue_refusal (http, call);
  }
  g_clear_pointer (&call->body, g_byte_array_unref);
  return _vp_http_server_suspend (http, call, request);
}

static enum MHD_Result
_vp_http_server_on_request (void *data,
                            struct MHD_Connection *connection,
                            const char *path,
                            const char *method,
                            const char *version,
                            const char *upload,
                            size_t *upload_size,
                            void **context)
{
  VpHttpServer *http = data;
  VpHttpServerCall *call = *context;

  (void)version;
  if (call == NULL) {
    call = _vp_http_server_call_new (connection);
    *context = call;
    pthread_mutex_lock (&http->lock);
    call->conn->has_headers = true;
    pthread_mutex_unlock (&http->lock);
    return _vp_http_server_begin (http, call, method, path);
  }
  switch (call->state) {
  case VP_HTTP_SERVER_RECEIVING:
    return *upload_size > 0 ? _vp_http_server_append_body (http, call, upload, upload_size)
                            : _vp_http_server_finish (http, call);
  case VP_HTTP_SERVER_RESPONSE_READY:
    return MHD_queue_response (connection, call->status, call->response);
  case VP_HTTP_SERVER_WAITING:
    return MHD_YES;
  case VP_HTTP_SERVER_ABORTED:
    break;
  }
  return MHD_NO;
}

/* Removes a waiting call from the table, so that only one thread resumes it. Returns NULL if there
 * is no such call. The lock is held. */
static VpHttpServerCall *
_vp_http_server_claim (VpHttpServer *http, uint64_t handle, VpHttpServerState state)
{
  VpHttpServerCall *call = g_hash_table_lookup (http->waiting, &handle);

  if (call == NULL)
    return NULL;
  g_hash_table_remove (http->waiting, &handle);
  epoll_ctl (http->epoll_fd, EPOLL_CTL_DEL, call->conn->fd, NULL);
  call->state = state;
  return call;
}

void
vp_http_server_reply (VpHttpServer *http,
                      uint64_t handle,
                      uint32_t status,
                      uint32_t retry_after_s,
                      GBytes *body,
                      const char *content_type)
{
  struct MHD_Response *response
      = _vp_http_server_response (http, status, retry_after_s, body, content_type);
  int64_t arrived_us = 0;
  VpHttpServerCall *call;

  pthread_mutex_lock (&http->lock);
  call = _vp_http_server_claim (http, handle, VP_HTTP_SERVER_RESPONSE_READY);
  if (call != NULL) {
    call->response = response;
    call->status = status;
    arrived_us = call->arrived_us;
    call->is_unwritten = true;
    http->unwritten_count++;
  }
  pthread_mutex_unlock (&http->lock);
  if (call == NULL) {
    MHD_destroy_response (response);
    return;
  }
  vp_metrics_observe (VP_HIST_CALL_US, g_get_monotonic_time () - arrived_us);
  MHD_resume_connection (call->connection);
}

static void
_vp_http_server_abort_closed (VpHttpServer *http, uint64_t handle)
{
  VpEvent event = { .kind = VP_EVENT_CLIENT_DISCONNECTED, .handle = handle };
  VpHttpServerCall *call;

  pthread_mutex_lock (&http->lock);
  call = _vp_http_server_claim (http, handle, VP_HTTP_SERVER_ABORTED);
  pthread_mutex_unlock (&http->lock);
  if (call == NULL)
    return;
  http->desc.post (&event, http->desc.data);
  MHD_resume_connection (call->connection);
}

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

static gpointer
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

static bool
_vp_http_server_set_error (GError **error, const char *what, const char *address)
{
  int code = errno;

  g_set_error (error, G_IO_ERROR, (gint)g_io_error_from_errno (code), "%s %s: %s", what, address,
               g_strerror (code));
  return false;
}

static bool
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

static bool
_vp_http_server_start (VpHttpServer *http, GError **error)
{
  struct epoll_event wake = { .events = EPOLLIN, .data.u64 = VP_HTTP_SERVER_WAKE_ID };
  struct epoll_event watch = { .events = EPOLLIN, .data.u64 = VP_HTTP_SERVER_LISTEN_ID };
  /* Longer than the time limit of a request, so that slow clients get the 408 response first. */
  unsigned timeout_s = (unsigned)((3 * http->desc.client_timeout_ms + 999) / 1000);

  http->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  http->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (http->epoll_fd < 0 || http->wake_fd < 0
      || epoll_ctl (http->epoll_fd, EPOLL_CTL_ADD, http->wake_fd, &wake) != 0
      || epoll_ctl (http->epoll_fd, EPOLL_CTL_ADD, http->listen_fd, &watch) != 0)
    return _vp_http_server_set_error (error, "HTTP watcher for", http->desc.address);
  /* MHD does not get the listening socket: MHD_quiesce_daemon() and an HTTP thread may both remove
   * it from the thread's epoll set, and MHD aborts the process then. Since MHD divides its limit
   * among the threads and closes connections above it, the limit is kept by the watcher. */
  http->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC
          | MHD_USE_NO_LISTEN_SOCKET,
      0, NULL, NULL, _vp_http_server_on_request, http, MHD_OPTION_THREAD_POOL_SIZE,
      http->desc.thread_count, MHD_OPTION_CONNECTION_LIMIT,
      (http->desc.connections_max + VP_HTTP_SERVER_BACKLOG + 1) * http->desc.thread_count,
      MHD_OPTION_CONNECTION_TIMEOUT, timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)VP_HTTP_SERVER_CONNECTION_MEMORY, MHD_OPTION_STRICT_FOR_CLIENT, 1,
      MHD_OPTION_NOTIFY_COMPLETED, _vp_http_server_on_completed, http, MHD_OPTION_NOTIFY_CONNECTION,
      _vp_http_server_on_connection, http, MHD_OPTION_END);
  if (http->daemon == NULL)
    return _vp_http_server_set_error (error, "HTTP server on", http->desc.address);
  http->watcher = g_thread_new ("vp-http-watch", _vp_http_server_watch, http);
  return true;
}

VpHttpServer *
vp_http_server_setup (const VpHttpServerDesc *desc, GError **error)
{
  VpHttpServer *http = g_new0 (VpHttpServer, 1);

  http->desc = *desc;
  if (desc->body_max == 0)
    http->desc.body_max = VP_HTTP_SERVER_BODY_MAX;
  if (desc->connections_max == 0)
    http->desc.connections_max = VP_HTTP_SERVER_CONNECTIONS_MAX;
  if (desc->client_timeout_ms == 0)
    http->desc.client_timeout_ms = VP_HTTP_SERVER_CLIENT_TIMEOUT_MS;
  if (desc->thread_count == 0)
    http->desc.thread_count = VP_HTTP_SERVER_THREADS;
  pthread_mutex_init (&http->accept_lock, NULL);
  pthread_mutex_init (&http->lock, NULL);
  vp_sync_cond_setup (&http->flushed);
  g_queue_init (&http->receiving);
  http->waiting = g_hash_table_new (g_int64_hash, g_int64_equal);
  http->adopted = g_hash_table_new (NULL, NULL);
  http->listen_fd = http->epoll_fd = http->wake_fd = -1;
  if (_vp_http_server_listen (http, error) && _vp_http_server_start (http, error))
    return http;
  vp_http_server_shutdown (http);
  return NULL;
}

uint16_t
vp_http_server_port (const VpHttpServer *http)
{
  return http->port;
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

void
vp_http_server_refuse_requests (VpHttpServer *http)
{
  pthread_mutex_lock (&http->lock);
  http->is_stopping = true;
  while (http->posting_count > 0)
    pthread_cond_wait (&http->flushed, &http->lock);
  pthread_mutex_unlock (&http->lock);
}

/* Returns true if a caller has sent a request, or a part of it, that is not refused yet. The lock
 * is held. */
static bool
_vp_http_server_is_receiving (const VpHttpServer *http)
{
  if (g_hash_table_size (http->adopted) > 0)
    return true;
  for (const GList *l = http->receiving.head; l != NULL; l = l->next) {
    const VpHttpServerConnection *conn = l->data;
    int unread_size = 0;
    if (conn->has_headers || (ioctl (conn->fd, FIONREAD, &unread_size) == 0 && unread_size > 0))
      return true;
  }
  return false;
}

/* Waits until requests that callers have sent are refused and all replies are written. */
static void
_vp_http_server_flush (VpHttpServer *http)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t end_us = now_us + VP_HTTP_SERVER_FLUSH_TIMEOUT_MS * (int64_t)1000;

  pthread_mutex_lock (&http->lock);
  while (now_us < end_us && (http->unwritten_count > 0 || _vp_http_server_is_receiving (http))) {
    vp_sync_cond_wait_until (&http->flushed, &http->lock,
                             MIN (end_us, now_us + VP_HTTP_SERVER_FLUSH_CHECK_MS * (int64_t)1000));
    now_us = g_get_monotonic_time ();
  }
  pthread_mutex_unlock (&http->lock);
}

/* Aborts all waiting calls, since MHD must not be stopped while connections are suspended. */
static void
_vp_http_server_abort_all (VpHttpServer *http)
{
  g_autoptr (GPtrArray) calls = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer call;

  pthread_mutex_lock (&http->lock);
  g_hash_table_iter_init (&iter, http->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &call)) {
    VpHttpServerCall *waiting = call;
    epoll_ctl (http->epoll_fd, EPOLL_CTL_DEL, waiting->conn->fd, NULL);
    waiting->state = VP_HTTP_SERVER_ABORTED;
    g_ptr_array_add (calls, waiting);
  }
  g_hash_table_remove_all (http->waiting);
  pthread_mutex_unlock (&http->lock);
  for (guint i = 0; i < calls->len; i++)
    MHD_resume_connection (((VpHttpServerCall *)calls->pdata[i])->connection);
}

void
vp_http_server_shutdown (VpHttpServer *http)
{
  if (http == NULL)
    return;
  if (http->daemon != NULL) {
    vp_http_server_quiesce (http);
    vp_http_server_refuse_requests (http);
    _vp_http_server_flush (http);
    _vp_http_server_abort_all (http);
  }
  if (http->watcher != NULL) {
    eventfd_write (http->wake_fd, 1);
    g_thread_join (http->watcher);
  }
  if (http->daemon != NULL)
    MHD_stop_daemon (http->daemon);
  if (http->listen_fd >= 0)
    close (http->listen_fd);
  if (http->epoll_fd >= 0)
    close (http->epoll_fd);
  if (http->wake_fd >= 0)
    close (http->wake_fd);
  g_hash_table_unref (http->waiting);
  g_hash_table_unref (http->adopted);
  pthread_cond_destroy (&http->flushed);
  pthread_mutex_destroy (&http->lock);
  pthread_mutex_destroy (&http->accept_lock);
  g_free (http);
}
