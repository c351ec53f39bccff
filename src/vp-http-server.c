#include "vp-http-server-private.h"
#include "vp-sync.h"

#include <errno.h>
#include <gio/gio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <unistd.h>

#define VP_HTTP_SERVER_BODY_MAX 262144
/* A configuration of 262,144 bytes has up to 14,000. */
#define VP_HTTP_SERVER_JSON_NODES_MAX    16384
#define VP_HTTP_SERVER_CLIENT_TIMEOUT_MS 10000
#define VP_HTTP_SERVER_THREADS           2
/* Buffer of a connection in bytes, which limits the headers of a request. With 4,096 connections
 * the buffers take 32 MiB. */
#define VP_HTTP_SERVER_CONNECTION_MEMORY 8192
/* Longest wait at shutdown for requests that are being received and replies that are written. */
#define VP_HTTP_SERVER_FLUSH_TIMEOUT_MS 2000
/* Interval of the checks for unread requests during that wait; nothing signals their arrival. */
#define VP_HTTP_SERVER_FLUSH_CHECK_MS 10

int64_t
_vp_http_server_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

struct MHD_Response *
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

bool
_vp_http_server_set_error (GError **error, const char *what, const char *address)
{
  int code = errno;

  g_set_error (error, G_IO_ERROR, (gint)g_io_error_from_errno (code), "%s %s: %s", what, address,
               g_strerror (code));
  return false;
}

static bool
_vp_http_server_start (VpHttpServer *http, GError **error)
{
  struct epoll_event wake = { .events = EPOLLIN, .data.u64 = VP_HTTP_SERVER_WAKE_ID };
  struct epoll_event watch = { .events = EPOLLIN, .data.u64 = VP_HTTP_SERVER_LISTEN_ID };
  /* Longer than the time limit of a request, so that slow clients get the 408 response first. */
  const VpHttpLimits *limits = &http->budget.limits;
  int64_t timeout_ms = MAX (limits->receive_timeout_ms, limits->idle_timeout_ms);
  unsigned timeout_s = (unsigned)((MAX (timeout_ms, limits->send_timeout_ms) * 3 / 2 + 999) / 1000);

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
      (limits->connections_max + VP_HTTP_SERVER_BACKLOG + 1) * http->desc.thread_count,
      MHD_OPTION_CONNECTION_TIMEOUT, timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)VP_HTTP_SERVER_CONNECTION_MEMORY, MHD_OPTION_STRICT_FOR_CLIENT, 1,
      MHD_OPTION_NOTIFY_COMPLETED, _vp_http_server_on_completed, http, MHD_OPTION_NOTIFY_CONNECTION,
      _vp_http_server_on_connection, http, MHD_OPTION_URI_LOG_CALLBACK,
      _vp_http_server_on_request_line, http, MHD_OPTION_END);
  if (http->daemon == NULL)
    return _vp_http_server_set_error (error, "HTTP server on", http->desc.address);
  http->watcher = g_thread_new ("vp-http-watch", _vp_http_server_watch, http);
  return true;
}

static void
_vp_http_server_setup_budget (VpHttpServer *http)
{
  VpHttpLimits limits = http->desc.limits;

  if (http->desc.connections_max > 0)
    limits.connections_max = http->desc.connections_max;
  if (limits.receive_timeout_ms == 0)
    limits.receive_timeout_ms = 2 * http->desc.client_timeout_ms;
  if (limits.idle_timeout_ms == 0)
    limits.idle_timeout_ms = 2 * http->desc.client_timeout_ms;
  vp_http_budget_setup (&http->budget, &limits);
}

VpHttpServer *
vp_http_server_setup (const VpHttpServerDesc *desc, GError **error)
{
  VpHttpServer *http = g_new0 (VpHttpServer, 1);

  http->desc = *desc;
  if (desc->body_max == 0)
    http->desc.body_max = VP_HTTP_SERVER_BODY_MAX;
  if (desc->client_timeout_ms == 0)
    http->desc.client_timeout_ms = VP_HTTP_SERVER_CLIENT_TIMEOUT_MS;
  if (desc->json_nodes_max == 0)
    http->desc.json_nodes_max = VP_HTTP_SERVER_JSON_NODES_MAX;
  if (desc->thread_count == 0)
    http->desc.thread_count = VP_HTTP_SERVER_THREADS;
  _vp_http_server_setup_budget (http);
  pthread_mutex_init (&http->accept_lock, NULL);
  pthread_mutex_init (&http->lock, NULL);
  vp_sync_cond_setup (&http->flushed);
  http->waiting = g_hash_table_new (g_int64_hash, g_int64_equal);
  http->adopted = g_hash_table_new (NULL, NULL);
  http->listen_fd = http->epoll_fd = http->wake_fd = -1;
  if (_vp_http_server_listen (http, error) && _vp_http_server_start (http, error))
    return http;
  vp_http_server_shutdown (http);
  return NULL;
}

bool
vp_http_server_report (VpHttpServer *http, char *out, size_t size)
{
  bool is_changed;

  pthread_mutex_lock (&http->lock);
  is_changed = vp_http_budget_report (&http->budget, _vp_http_server_now_ms (), out, size);
  pthread_mutex_unlock (&http->lock);
  return is_changed;
}

uint16_t
vp_http_server_port (const VpHttpServer *http)
{
  return http->port;
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
  static const VpHttpPhase phases[]
      = { VP_HTTP_PHASE_IDLE, VP_HTTP_PHASE_HEADERS, VP_HTTP_PHASE_SMALL, VP_HTTP_PHASE_LARGE,
          VP_HTTP_PHASE_DISCARD };

  if (g_hash_table_size (http->adopted) > 0)
    return true;
  for (guint i = 0; i < G_N_ELEMENTS (phases); i++) {
    for (const GList *l = http->budget.phases[phases[i]].head; l != NULL; l = l->next) {
      const VpHttpServerConnection *conn = l->data;
      int unread_size = 0;
      if (conn->has_headers || (ioctl (conn->fd, FIONREAD, &unread_size) == 0 && unread_size > 0))
        return true;
    }
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
  vp_http_budget_clear (&http->budget);
  pthread_cond_destroy (&http->flushed);
  pthread_mutex_destroy (&http->lock);
  pthread_mutex_destroy (&http->accept_lock);
  g_free (http);
}
