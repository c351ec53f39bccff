#include "vp-http-server-private.h"
#include "vp-metrics.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>

/* The body of a refused request is read and discarded up to this size, since closing a connection
 * with unread data resets it, and the caller may not receive the refusal. */
#define VP_HTTP_SERVER_DISCARD_MAX   ((uint64_t)4 * 1024 * 1024)
#define VP_HTTP_SERVER_RETRY_AFTER_S 1 /* of requests that are refused at shutdown */

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

void
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

void
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

enum MHD_Result
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

void
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
