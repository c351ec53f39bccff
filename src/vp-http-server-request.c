#include "vp-http-server-private.h"
#include "vp-json.h"
#include "vp-metrics.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>

/* The body of a refused request is read and discarded up to this size, since closing a connection
 * with unread data resets it, and the caller may not receive the refusal. */
#define VP_HTTP_SERVER_DISCARD_MAX   ((uint64_t)4 * 1024 * 1024)
#define VP_HTTP_SERVER_RETRY_AFTER_S 1 /* of requests that are refused at shutdown */

/* Memory of a part of a body, with 16 bytes of the allocator. The largest is a page. */
#define VP_HTTP_SERVER_CHUNK_OVERHEAD (sizeof (VpHttpServerChunk) + 16)
#define VP_HTTP_SERVER_CHUNK_MAX      (4096 - VP_HTTP_SERVER_CHUNK_OVERHEAD)
/* Connections that are looked at for memory for one part of a body. */
#define VP_HTTP_SERVER_VICTIMS_MAX 16

void
_vp_http_server_on_connection (void *data,
                               struct MHD_Connection *connection,
                               void **socket_context,
                               enum MHD_ConnectionNotificationCode code)
{
  VpHttpServer *http = data;
  VpHttpServerConnection *conn = *socket_context;
  const union MHD_ConnectionInfo *info;

  pthread_mutex_lock (&http->lock);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    vp_http_budget_remove (&http->budget, &conn->entry);
    http->connection_count--;
    g_free (conn);
    *socket_context = NULL;
  } else {
    info = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    *socket_context = g_hash_table_lookup (http->adopted, GINT_TO_POINTER (info->connect_fd));
    g_hash_table_remove (http->adopted, GINT_TO_POINTER (info->connect_fd));
  }
  pthread_mutex_unlock (&http->lock);
}

static VpHttpServerConnection *
_vp_http_server_connection (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info->socket_context;
}

void *
_vp_http_server_on_request_line (void *data, const char *uri, struct MHD_Connection *connection)
{
  VpHttpServer *http = data;
  VpHttpServerConnection *conn = _vp_http_server_connection (connection);

  (void)uri;
  pthread_mutex_lock (&http->lock);
  vp_http_budget_begin (&http->budget, &conn->entry, _vp_http_server_now_ms ());
  pthread_mutex_unlock (&http->lock);
  return NULL; /* the initial context of the request */
}

void
_vp_http_server_free_body (VpHttpServerCall *call)
{
  while (call->first != NULL) {
    VpHttpServerChunk *next = call->first->next;
    g_free (call->first);
    call->first = next;
  }
  call->last = NULL;
  call->body_size = 0;
}

static VpHttpServerCall *
_vp_http_server_call_new (struct MHD_Connection *connection)
{
  VpHttpServerCall *call = g_new0 (VpHttpServerCall, 1);

  call->connection = connection;
  call->conn = _vp_http_server_connection (connection);
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
  call->conn->call = NULL;
  call->conn->has_headers = false;
  _vp_http_server_free_body (call);
  if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
    vp_http_budget_idle (&http->budget, &call->conn->entry, _vp_http_server_now_ms ());
  pthread_mutex_unlock (&http->lock);
  g_clear_pointer (&call->response, MHD_destroy_response);
  vp_http_route_clear (&call->route);
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
}

/* Refuses the request for a limit, and discards its body. The lock is held. */
static void
_vp_http_server_refuse_cause (VpHttpServer *http,
                              VpHttpServerCall *call,
                              VpReason reason,
                              VpHttpCause cause)
{
  _vp_http_server_refuse (call, vp_reason_http_status (reason), reason, "");
  _vp_http_server_free_body (call);
  vp_http_budget_refuse (&http->budget, &call->conn->entry, cause, _vp_http_server_now_ms ());
  _vp_http_server_count_refused (cause);
}

static enum MHD_Result
_vp_http_server_queue_refusal (VpHttpServer *http, VpHttpServerCall *call)
{
  const char *detail = call->route.detail[0] == '\0' ? NULL : call->route.detail;
  g_autoptr (GBytes) body = vp_request_format_error (call->route.reason, detail);
  uint32_t retry_after_s = call->route.status == 503 ? VP_HTTP_SERVER_RETRY_AFTER_S : 0;
  struct MHD_Response *response
      = _vp_http_server_response (http, call->route.status, retry_after_s, body, NULL);
  enum MHD_Result result;

  pthread_mutex_lock (&http->lock);
  call->is_unwritten = true;
  http->unwritten_count++;
  vp_http_budget_send (&http->budget, &call->conn->entry, _vp_http_server_now_ms ());
  pthread_mutex_unlock (&http->lock);
  result = MHD_queue_response (call->connection, call->route.status, response);
  MHD_destroy_response (response);
  return result;
}

static const char *
_vp_http_server_header (const VpHttpServerCall *call, const char *name)
{
  return name == NULL ? NULL
                      : MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, name);
}

/* Length of the body that the headers state; UINT64_MAX if the body has chunks. */
static uint64_t
_vp_http_server_stated_size (const VpHttpServerCall *call)
{
  const char *length = _vp_http_server_header (call, MHD_HTTP_HEADER_CONTENT_LENGTH);

  if (_vp_http_server_header (call, MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL)
    return UINT64_MAX;
  return length == NULL ? 0 : g_ascii_strtoull (length, NULL, 10);
}

/* Fills in the parts of a raw request that are known from its headers. */
static void
_vp_http_server_fill_raw (const VpHttpServer *http,
                          const VpHttpServerCall *call,
                          VpHttpRawRequest *raw)
{
  const char *deadline = _vp_http_server_header (call, http->desc.deadline_header);

  *raw = (VpHttpRawRequest){
    .handle = call->handle,
    .method = call->method,
    .path = call->path,
    .host = _vp_http_server_header (call, MHD_HTTP_HEADER_HOST),
    .authorization = _vp_http_server_header (call, MHD_HTTP_HEADER_AUTHORIZATION),
    .deadline_ms = deadline == NULL ? 0 : g_ascii_strtoll (deadline, NULL, 10),
    .body = "",
    .is_body_skipped = call->is_skipped,
  };
}

/* Decides by the headers whether the request is refused, and whether its body is kept. */
static void
_vp_http_server_check_headers (VpHttpServer *http, VpHttpServerCall *call)
{
  const char *key = _vp_http_server_header (call, MHD_HTTP_HEADER_AUTHORIZATION);
  VpHttpRawRequest raw;

  if (http->desc.on_raw_request == NULL) {
    if (!vp_http_route (call->method, call->path, _vp_http_server_query, call->connection,
                        &call->route)
        || !vp_http_route_key (&call->route, key))
      _vp_http_server_refuse (call, call->route.status, call->route.reason, call->route.detail);
    return;
  }
  call->route.has_body = true;
  if (call->size == 0 || http->desc.wants_body == NULL)
    return;
  _vp_http_server_fill_raw (http, call, &raw);
  call->is_skipped = !http->desc.wants_body (&raw, http->desc.data);
}

/* Called when the headers are complete. */
static enum MHD_Result
_vp_http_server_begin (VpHttpServer *http,
                       VpHttpServerCall *call,
                       const char *method,
                       const char *path)
{
  bool is_over_limit;
  bool is_kept;

  call->method = method;
  call->path = path;
  call->size = _vp_http_server_stated_size (call);
  _vp_http_server_check_headers (http, call);
  /* The size of chunks is checked as they arrive. */
  is_over_limit = call->size != UINT64_MAX && call->size > http->desc.body_max;
  is_over_limit = is_over_limit || (http->desc.is_bodyless && call->size > 0);
  is_kept = !call->is_refused && !call->is_skipped && call->route.has_body;
  pthread_mutex_lock (&http->lock);
  vp_http_budget_begin_body (&http->budget, &call->conn->entry, call->size, is_kept,
                             _vp_http_server_now_ms ());
  if (!call->is_refused && is_over_limit)
    _vp_http_server_refuse_cause (http, call, VP_REASON_TOO_LARGE, VP_HTTP_CAUSE_LENGTH);
  else if (!is_kept && call->size > 0) {
    vp_http_budget_refuse (&http->budget, &call->conn->entry, VP_HTTP_CAUSE_UNWANTED,
                           _vp_http_server_now_ms ());
    _vp_http_server_count_refused (VP_HTTP_CAUSE_UNWANTED);
  }
  pthread_mutex_unlock (&http->lock);
  /* Refuses the request before its body is received if no body is accepted here, if it is too long
   * to be discarded, or if the caller waits for permission to send it. */
  if (call->is_refused
      && ((http->desc.is_bodyless && call->size > 0)
          || (call->size != UINT64_MAX && call->size > VP_HTTP_SERVER_DISCARD_MAX)
          || _vp_http_server_header (call, MHD_HTTP_HEADER_EXPECT) != NULL))
    return _vp_http_server_queue_refusal (http, call);
  return MHD_YES;
}

/* Appends an empty part to the body. Returns false if there is no memory for it in the budget. The
 * lock is held. */
static bool
_vp_http_server_add_chunk (VpHttpServer *http, VpHttpServerCall *call)
{
  uint64_t left = call->size == UINT64_MAX ? UINT64_MAX : call->size - call->body_size;
  uint32_t size = (uint32_t)MIN (left, VP_HTTP_SERVER_CHUNK_MAX);
  VpHttpServerChunk *chunk;

  for (int i = 0;; i++) {
    VpHttpBudgetEntry *victim;
    VpHttpCharge charge = vp_http_budget_charge (&http->budget, &call->conn->entry,
                                                 size + VP_HTTP_SERVER_CHUNK_OVERHEAD,
                                                 _vp_http_server_now_ms (), &victim);
    if (charge == VP_HTTP_CHARGE_GRANTED)
      break;
    if (charge == VP_HTTP_CHARGE_REFUSED || i == VP_HTTP_SERVER_VICTIMS_MAX)
      return false;
    _vp_http_server_close_victim (http, victim, VP_HTTP_CAUSE_BYTES);
  }
  chunk = g_malloc (sizeof *chunk + size);
  *chunk = (VpHttpServerChunk){ .size = size };
  if (call->last == NULL)
    call->first = chunk;
  else
    call->last->next = chunk;
  call->last = chunk;
  return true;
}

/* Appends bytes to the body. The lock is held. */
static bool
_vp_http_server_store (VpHttpServer *http, VpHttpServerCall *call, const char *data, size_t count)
{
  while (count > 0) {
    VpHttpServerChunk *last = call->last;
    uint32_t part;
    if (last == NULL || last->used == last->size) {
      if (!_vp_http_server_add_chunk (http, call))
        return false;
      last = call->last;
    }
    part = (uint32_t)MIN (count, last->size - last->used);
    memcpy (last->data + last->used, data, part);
    last->used += part;
    call->body_size += part;
    data += part;
    count -= part;
  }
  return true;
}

static enum MHD_Result
_vp_http_server_append_body (VpHttpServer *http,
                             VpHttpServerCall *call,
                             const char *data,
                             size_t *size)
{
  enum MHD_Result result = MHD_YES;
  size_t count = *size;

  *size = 0;
  pthread_mutex_lock (&http->lock);
  vp_http_budget_receive (&http->budget, &call->conn->entry, count, _vp_http_server_now_ms ());
  if (call->conn->entry.phase == VP_HTTP_PHASE_CLOSING)
    result = MHD_NO;
  else if (!call->is_refused && !call->is_skipped && call->body_size + count > http->desc.body_max)
    _vp_http_server_refuse_cause (http, call, VP_REASON_TOO_LARGE, VP_HTTP_CAUSE_LENGTH);
  if (result == MHD_YES && (call->is_refused || call->is_skipped || !call->route.has_body)) {
    call->discarded_size += count;
    result = call->discarded_size > VP_HTTP_SERVER_DISCARD_MAX ? MHD_NO : MHD_YES;
  } else if (result == MHD_YES && !_vp_http_server_store (http, call, data, count)) {
    _vp_http_server_refuse_cause (http, call, VP_REASON_OVERLOADED, VP_HTTP_CAUSE_BYTES);
  }
  pthread_mutex_unlock (&http->lock);
  return result;
}

static void
_vp_http_server_post_request (VpHttpServer *http, VpHttpServerCall *call, VpRequest *request)
{
  VpEvent event = { .kind = VP_EVENT_REQUEST, .handle = call->handle, .request = request };

  http->desc.post (&event, http->desc.data);
}

static void
_vp_http_server_call_raw (VpHttpServer *http, VpHttpServerCall *call, const char *body, size_t size)
{
  VpHttpRawRequest raw;

  _vp_http_server_fill_raw (http, call, &raw);
  raw.body = body;
  raw.body_size = size;
  http->desc.on_raw_request (&raw, http->desc.data);
}

/* Suspends the connection and posts its request, or passes on the raw request if @request is NULL.
 * The connection is watched only afterwards, so that VP_EVENT_CLIENT_DISCONNECTED is never posted
 * before the request. The call stays valid meanwhile, since only this thread ends it. */
static enum MHD_Result
_vp_http_server_suspend (VpHttpServer *http,
                         VpHttpServerCall *call,
                         VpRequest *request,
                         const char *body,
                         size_t size)
{
  struct epoll_event watch = { .events = EPOLLRDHUP | EPOLLONESHOT };

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
    _vp_http_server_call_raw (http, call, body, size);
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

/* Ends the receipt of the request, and takes the parts of its body. Returns false if the connection
 * is being closed, so that the request must not run. */
static bool
_vp_http_server_end_receiving (VpHttpServer *http, VpHttpServerCall *call, VpHttpServerChunk **out)
{
  bool is_open;

  pthread_mutex_lock (&http->lock);
  is_open = call->conn->entry.phase != VP_HTTP_PHASE_CLOSING;
  vp_http_budget_wait (&http->budget, &call->conn->entry);
  *out = g_steal_pointer (&call->first);
  call->last = NULL;
  pthread_mutex_unlock (&http->lock);
  return is_open;
}

/* Joins and frees the parts of a body of @size bytes. */
static GByteArray *
_vp_http_server_join (VpHttpServerChunk *chunk, size_t size)
{
  GByteArray *body = g_byte_array_sized_new ((guint)size + 1);

  while (chunk != NULL) {
    VpHttpServerChunk *next = chunk->next;
    g_byte_array_append (body, (const guint8 *)chunk->data, chunk->used);
    g_free (chunk);
    chunk = next;
  }
  return body;
}

/* Called when the body is complete. */
static enum MHD_Result
_vp_http_server_finish (VpHttpServer *http, VpHttpServerCall *call)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GByteArray) body = NULL;
  VpHttpServerChunk *chunks;
  VpRequest *request;
  const char *data;
  bool is_open = _vp_http_server_end_receiving (http, call, &chunks);

  body = _vp_http_server_join (chunks, call->body_size);
  data = (const char *)body->data;
  if (!is_open)
    return MHD_NO;
  if (!call->is_refused && !vp_json_check_count (data, body->len, http->desc.json_nodes_max)) {
    _vp_http_server_refuse (call, vp_reason_http_status (VP_REASON_TOO_LARGE), VP_REASON_TOO_LARGE,
                            "too many values");
    vp_metrics_add (VP_COUNTER_INTAKE_REFUSED_NODES, 1);
  }
  if (call->is_refused)
    return _vp_http_server_queue_refusal (http, call);
  if (http->desc.on_raw_request != NULL)
    return _vp_http_server_suspend (http, call, NULL, data, body->len);
  request = vp_http_route_finish (&call->route, data, body->len, &error);
  if (request == NULL) {
    _vp_http_server_refuse (call, 400, VP_REASON_BAD_REQUEST, error->message);
    return _vp_http_server_queue_refusal (http, call);
  }
  return _vp_http_server_suspend (http, call, request, NULL, 0);
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
  bool is_open;

  (void)version;
  if (call == NULL) {
    call = _vp_http_server_call_new (connection);
    *context = call;
    pthread_mutex_lock (&http->lock);
    call->conn->has_headers = true;
    call->conn->call = call;
    is_open = call->conn->entry.phase != VP_HTTP_PHASE_CLOSING;
    pthread_mutex_unlock (&http->lock);
    if (!is_open)
      return MHD_NO;
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
    vp_http_budget_send (&http->budget, &call->conn->entry, _vp_http_server_now_ms ());
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
