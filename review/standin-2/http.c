#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Ports below those that the kernel chooses for outgoing connections. */
#define PORT_MIN   12000
#define PORT_MAX   30000
#define PORT_TRIES 1000

/* An accepted connection. Calls keep it until they are answered. */
typedef struct {
  uint32_t refs;
  int fd; /* -1: closed */
  guint in_source;
  guint out_source;
  GString *in;
  GString *out;
  HttpServer *server; /* NULL once it is shut */
  bool is_answering;
} Conn;

struct _HttpServer {
  int fd;
  guint source;
  HttpHandler handler;
  void *data;
  GPtrArray *conns;
};

struct _HttpCall {
  Conn *conn;
  char *method;
  char *path;
  char *query;
  char *headers;
  char *body;
};

typedef struct {
  HttpCall *call;
  int status;
  char *body;
} LateReply;

typedef struct {
  int fd;
  guint io_source;
  guint timer;
  GString *out;
  gsize sent;
  GString *in;
  HttpDone done;
  void *data;
} Request;

int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

int64_t
unix_now_ms (void)
{
  return g_get_real_time () / 1000;
}

static struct sockaddr_in
_loopback (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

uint16_t
http_free_port (void)
{
  static int next;

  if (next == 0)
    next = g_random_int_range (PORT_MIN, PORT_MAX);
  for (int i = 0; i < PORT_TRIES; i++) {
    uint16_t port = (uint16_t)next;
    struct sockaddr_in address = _loopback (port);
    int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool is_free = fd >= 0 && bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
    /* No port is given twice. */
    next = next + 1 < PORT_MAX ? next + 1 : PORT_MIN;
    if (fd >= 0)
      close (fd);
    if (is_free)
      return port;
  }
  exit (2);
}

static void
_conn_unref (Conn *conn)
{
  if (--conn->refs > 0)
    return;
  g_string_free (conn->in, TRUE);
  g_string_free (conn->out, TRUE);
  g_free (conn);
}

static void
_conn_close (Conn *conn)
{
  if (conn->fd < 0)
    return;
  if (conn->in_source != 0)
    g_source_remove (conn->in_source);
  if (conn->out_source != 0)
    g_source_remove (conn->out_source);
  conn->in_source = conn->out_source = 0;
  close (conn->fd);
  conn->fd = -1;
  if (conn->server != NULL)
    g_ptr_array_remove_fast (conn->server->conns, conn);
  conn->server = NULL;
  _conn_unref (conn);
}

static void
_call_free (HttpCall *call)
{
  _conn_unref (call->conn);
  g_free (call->method);
  g_free (call->path);
  g_free (call->query);
  g_free (call->headers);
  g_free (call->body);
  g_free (call);
}

static char *
_find_header (const char *headers, const char *name)
{
  g_auto (GStrv) lines = g_strsplit (headers, "\r\n", -1);
  size_t size = strlen (name);

  for (guint i = 0; lines[i] != NULL; i++) {
    if (g_ascii_strncasecmp (lines[i], name, size) == 0 && lines[i][size] == ':')
      return g_strstrip (g_strdup (lines[i] + size + 1));
  }
  return NULL;
}

/* Takes one message off the front of @in. Returns false if it isn't complete. */
static bool
_take_message (GString *in, char **head, char **body)
{
  const char *end = strstr (in->str, "\r\n\r\n");
  g_autofree char *length = NULL;
  gsize head_size, body_size;

  if (end == NULL)
    return false;
  head_size = (gsize)(end - in->str) + 4;
  *head = g_strndup (in->str, head_size - 2);
  length = _find_header (*head, "Content-Length");
  body_size = length == NULL ? 0 : (gsize)g_ascii_strtoull (length, NULL, 10);
  if (in->len < head_size + body_size) {
    g_clear_pointer (head, g_free);
    return false;
  }
  *body = g_strndup (in->str + head_size, body_size);
  g_string_erase (in, 0, (gssize)(head_size + body_size));
  return true;
}

static void
_conn_serve (Conn *conn)
{
  char *head, *body;
  g_auto (GStrv) words = NULL;
  HttpCall *call;
  char *mark;

  if (conn->is_answering || conn->server == NULL || !_take_message (conn->in, &head, &body))
    return;
  words = g_strsplit (head, " ", 3);
  call = g_new0 (HttpCall, 1);
  call->conn = conn;
  conn->refs++;
  call->headers = head;
  call->body = body;
  call->method = g_strdup (words[0]);
  call->path = g_strdup (words[1] == NULL ? "" : words[1]);
  mark = strchr (call->path, '?');
  call->query = g_strdup (mark == NULL ? "" : mark + 1);
  if (mark != NULL)
    *mark = '\0';
  conn->is_answering = true;
  conn->server->handler (call, conn->server->data);
}

static gboolean
_conn_write (gint fd, GIOCondition condition, gpointer data)
{
  Conn *conn = data;
  ssize_t count = send (fd, conn->out->str, conn->out->len, MSG_NOSIGNAL);

  (void)condition;
  if (count < 0 && errno != EAGAIN) {
    conn->out_source = 0;
    _conn_close (conn);
    return G_SOURCE_REMOVE;
  }
  if (count > 0)
    g_string_erase (conn->out, 0, count);
  if (conn->out->len > 0)
    return G_SOURCE_CONTINUE;
  conn->out_source = 0;
  return G_SOURCE_REMOVE;
}

static gboolean
_conn_read (gint fd, GIOCondition condition, gpointer data)
{
  Conn *conn = data;
  char block[65536];
  ssize_t count = recv (fd, block, sizeof block, 0);

  (void)condition;
  if (count < 0 && errno == EAGAIN)
    return G_SOURCE_CONTINUE;
  if (count <= 0) {
    conn->in_source = 0;
    _conn_close (conn);
    return G_SOURCE_REMOVE;
  }
  g_string_append_len (conn->in, block, count);
  conn->refs++;
  _conn_serve (conn);
  _conn_unref (conn);
  return G_SOURCE_CONTINUE;
}

static gboolean
_on_accept (gint fd, GIOCondition condition, gpointer data)
{
  HttpServer *server = data;
  int one = 1;
  int accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  Conn *conn;

  (void)condition;
  if (accepted < 0)
    return G_SOURCE_CONTINUE;
  setsockopt (accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  conn = g_new0 (Conn, 1);
  conn->refs = 1;
  conn->fd = accepted;
  conn->server = server;
  conn->in = g_string_new (NULL);
  conn->out = g_string_new (NULL);
  conn->in_source = g_unix_fd_add (accepted, G_IO_IN | G_IO_HUP | G_IO_ERR, _conn_read, conn);
  g_ptr_array_add (server->conns, conn);
  return G_SOURCE_CONTINUE;
}

HttpServer *
http_listen (uint16_t port, HttpHandler handler, void *data)
{
  struct sockaddr_in address = _loopback (port);
  HttpServer *server = g_new0 (HttpServer, 1);
  int one = 1;

  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (server->fd < 0)
    exit (2);
  setsockopt (server->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (server->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->fd, 512) != 0)
    exit (2);
  server->handler = handler;
  server->data = data;
  server->conns = g_ptr_array_new ();
  server->source = g_unix_fd_add (server->fd, G_IO_IN, _on_accept, server);
  return server;
}

void
http_shut (HttpServer *server)
{
  g_source_remove (server->source);
  close (server->fd);
  for (guint i = 0; i < server->conns->len; i++) {
    Conn *conn = server->conns->pdata[i];
    conn->server = NULL;
    _conn_close (conn);
  }
  g_ptr_array_unref (server->conns);
  g_free (server);
}

const char *
http_call_method (const HttpCall *call)
{
  return call->method;
}

const char *
http_call_path (const HttpCall *call)
{
  return call->path;
}

const char *
http_call_body (const HttpCall *call)
{
  return call->body;
}

char *
http_call_header (const HttpCall *call, const char *name)
{
  return _find_header (call->headers, name);
}

char *
http_call_query (const HttpCall *call, const char *name)
{
  g_auto (GStrv) fields = g_strsplit (call->query, "&", -1);
  size_t size = strlen (name);

  for (guint i = 0; fields[i] != NULL; i++) {
    if (strncmp (fields[i], name, size) == 0 && fields[i][size] == '=')
      return g_uri_unescape_string (fields[i] + size + 1, NULL);
  }
  return NULL;
}

void
http_reply (HttpCall *call, int status, const char *body)
{
  Conn *conn = call->conn;

  if (conn->fd >= 0) {
    g_string_append_printf (conn->out,
                            "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                            "Content-Length: %zu\r\n\r\n%s",
                            status, strlen (body), body);
    conn->is_answering = false;
    if (conn->out_source == 0)
      conn->out_source
          = g_unix_fd_add (conn->fd, G_IO_OUT | G_IO_HUP | G_IO_ERR, _conn_write, conn);
    _conn_serve (conn);
  }
  _call_free (call);
}

static gboolean
_on_late_reply (gpointer data)
{
  LateReply *late = data;

  http_reply (late->call, late->status, late->body);
  g_free (late->body);
  g_free (late);
  return G_SOURCE_REMOVE;
}

void
http_reply_later (HttpCall *call, int status, char *body, guint delay_ms)
{
  LateReply *late = g_new0 (LateReply, 1);

  *late = (LateReply){ .call = call, .status = status, .body = body };
  g_timeout_add (delay_ms, _on_late_reply, late);
  /* cppcheck-suppress memleak; its timer frees it */
}

/* Client. */

static void
_request_end (Request *request, int status, const char *body, int retry_after_s)
{
  if (request->io_source != 0)
    g_source_remove (request->io_source);
  if (request->timer != 0)
    g_source_remove (request->timer);
  if (request->fd >= 0)
    close (request->fd);
  request->done (status, body, retry_after_s, request->data);
  g_string_free (request->out, TRUE);
  g_string_free (request->in, TRUE);
  g_free (request);
}

static gboolean
_on_request_timeout (gpointer data)
{
  Request *request = data;

  request->timer = 0;
  _request_end (request, 0, NULL, 0);
  return G_SOURCE_REMOVE;
}

static gboolean
_on_request_readable (gint fd, GIOCondition condition, gpointer data)
{
  Request *request = data;
  char block[65536];
  ssize_t count = recv (fd, block, sizeof block, 0);
  g_autofree char *head = NULL;
  g_autofree char *body = NULL;

  (void)condition;
  if (count < 0 && errno == EAGAIN)
    return G_SOURCE_CONTINUE;
  if (count > 0)
    g_string_append_len (request->in, block, count);
  if (_take_message (request->in, &head, &body)) {
    g_autofree char *retry_after = _find_header (head, "Retry-After");
    request->io_source = 0;
    _request_end (request, atoi (head + strlen ("HTTP/1.1 ")), body,
                  retry_after == NULL ? 0 : atoi (retry_after));
    return G_SOURCE_REMOVE;
  }
  if (count > 0)
    return G_SOURCE_CONTINUE;
  request->io_source = 0;
  _request_end (request, 0, NULL, 0);
  return G_SOURCE_REMOVE;
}

static gboolean
_on_request_writable (gint fd, GIOCondition condition, gpointer data)
{
  Request *request = data;
  ssize_t count = send (fd, request->out->str + request->sent, request->out->len - request->sent,
                        MSG_NOSIGNAL);

  (void)condition;
  if (count < 0 && errno == EAGAIN)
    return G_SOURCE_CONTINUE;
  if (count < 0) {
    request->io_source = 0;
    _request_end (request, 0, NULL, 0);
    return G_SOURCE_REMOVE;
  }
  request->sent += (gsize)count;
  if (request->sent < request->out->len)
    return G_SOURCE_CONTINUE;
  request->io_source
      = g_unix_fd_add (fd, G_IO_IN | G_IO_HUP | G_IO_ERR, _on_request_readable, request);
  return G_SOURCE_REMOVE;
}

void
http_send (uint16_t port,
           const char *method,
           const char *path,
           const char *headers,
           const char *body,
           guint timeout_ms,
           HttpDone done,
           void *data)
{
  struct sockaddr_in address = _loopback (port);
  Request *request = g_new0 (Request, 1);

  request->done = done;
  request->data = data;
  request->in = g_string_new (NULL);
  request->out = g_string_new (NULL);
  g_string_append_printf (request->out, "%s %s HTTP/1.1\r\n%s", method, path, headers);
  if (body != NULL)
    g_string_append_printf (
        request->out, "Content-Type: application/json\r\nContent-Length: %zu\r\n", strlen (body));
  g_string_append_printf (request->out, "\r\n%s", body == NULL ? "" : body);
  request->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  request->timer = g_timeout_add (timeout_ms, _on_request_timeout, request);
  if (request->fd < 0)
    exit (2);
  if (connect (request->fd, (struct sockaddr *)&address, sizeof address) != 0
      && errno != EINPROGRESS) {
    close (request->fd);
    request->fd = -1;
    /* cppcheck-suppress memleak; its timer frees it */
    return;
  }
  request->io_source
      = g_unix_fd_add (request->fd, G_IO_OUT | G_IO_HUP | G_IO_ERR, _on_request_writable, request);
}
