#include "call.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 3000

static int64_t
_call_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Returns false if @fd isn't ready before @end_ms. */
static bool
_call_wait (int fd, short events, int64_t end_ms)
{
  struct pollfd poll_fd = { .fd = fd, .events = events };
  int64_t left_ms = end_ms - _call_now_ms ();

  return left_ms > 0 && poll (&poll_fd, 1, (int)left_ms) == 1;
}

static int
_call_connect (const char *address, int64_t end_ms)
{
  struct sockaddr_in target = { .sin_family = AF_INET };
  const char *colon = strrchr (address, ':');
  g_autofree char *host = g_strndup (address, (gsize)(colon - address));
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int error = 0;
  socklen_t size = sizeof error;

  target.sin_port = htons ((uint16_t)g_ascii_strtoull (colon + 1, NULL, 10));
  if (fd < 0 || inet_pton (AF_INET, host, &target.sin_addr) != 1)
    g_error ("can't call %s", address);
  if (connect (fd, (struct sockaddr *)&target, sizeof target) == 0)
    return fd;
  if (errno == EINPROGRESS && _call_wait (fd, POLLOUT, end_ms)
      && getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
_call_send (int fd, const GString *text, int64_t end_ms)
{
  gsize sent = 0;

  while (sent < text->len) {
    ssize_t count = send (fd, text->str + sent, text->len - sent, MSG_NOSIGNAL);
    if (count > 0)
      sent += (gsize)count;
    else if (count == 0 || errno != EAGAIN || !_call_wait (fd, POLLOUT, end_ms))
      return false;
  }
  return true;
}

/* Returns the value of the header in the lower-case @head, or NULL. */
static const char *
_call_header (const char *head, const char *name)
{
  const char *at = strstr (head, name);

  return at == NULL ? NULL : at + strlen (name);
}

/* Returns true if @text holds a whole answer, and fills in @out then. */
static bool
_call_parse (const GString *text, CallReply *out)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  g_autofree char *head = NULL;
  const char *length, *retry;
  gsize size;

  if (end == NULL)
    return false;
  head = g_ascii_strdown (text->str, end - text->str);
  length = _call_header (head, "\r\ncontent-length: ");
  retry = _call_header (head, "\r\nretry-after: ");
  size = length == NULL ? 0 : (gsize)g_ascii_strtoull (length, NULL, 10);
  if ((gsize)(end + 4 - text->str) + size > text->len)
    return false;
  out->status = (uint32_t)g_ascii_strtoull (text->str + strlen ("HTTP/1.1 "), NULL, 10);
  out->retry_after_ms = retry == NULL ? 0 : (uint32_t)(g_ascii_strtod (retry, NULL) * 1000);
  g_strlcpy (out->body, end + 4, MIN (size + 1, sizeof out->body));
  return true;
}

void
call_http (const char *address, const CallRequest *request, CallReply *out)
{
  int64_t timeout_ms = request->timeout_ms == 0 ? CALL_TIMEOUT_MS : request->timeout_ms;
  int64_t end_ms = _call_now_ms () + timeout_ms;
  g_autoptr (GString) text = g_string_new (NULL);
  char block[4096];
  bool is_sent;
  int fd;

  memset (out, 0, sizeof *out);
  g_string_append_printf (text, "%s %s HTTP/1.1\r\nConnection: close\r\n", request->method,
                          request->path);
  g_string_append_printf (text, "Host: %s\r\nDeadline-Ms: %" G_GINT64_FORMAT "\r\n",
                          request->host == NULL ? address : request->host, timeout_ms);
  if (request->key != NULL)
    g_string_append_printf (text, "Authorization: Token %s\r\n", request->key);
  if (request->body != NULL)
    g_string_append_printf (text, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                            strlen (request->body));
  g_string_append_printf (text, "\r\n%s", request->body == NULL ? "" : request->body);
  fd = _call_connect (address, end_ms);
  if (fd < 0)
    return;
  is_sent = _call_send (fd, text, end_ms);
  g_string_truncate (text, 0);
  while (is_sent && !_call_parse (text, out)) {
    ssize_t count = recv (fd, block, sizeof block, 0);
    if (count > 0)
      g_string_append_len (text, block, count);
    else if (count == 0 || errno != EAGAIN || !_call_wait (fd, POLLIN, end_ms))
      break;
  }
  close (fd);
}
