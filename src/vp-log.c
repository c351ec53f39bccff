#include "vp-log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Maximum number of events with a rate limit of their own. Further events share the last limit. */
#define VP_LOG_EVENTS_MAX 64
/* A pipe that is reported as writable takes this many bytes without blocking (PIPE_BUF). */
#define VP_LOG_CHUNK_BYTES 4096

/* Number of lines of one event in the current second. */
typedef struct {
  const char *event; /* static string, compared by address */
  int64_t second;
  uint32_t lines;
  uint32_t dropped; /* lines dropped since the last report of dropped lines */
} VpLogRate;

static struct {
  char node[64];
  char buffer[VP_LOG_BUFFER_BYTES];
  uint32_t size;
  char item_line[VP_LOG_LINE_MAX]; /* unfinished line of items, without a newline */
  uint32_t item_head_size;         /* bytes of item_line before its first item */
  uint32_t item_size;              /* bytes of item_line; 0: there is none */
  VpLogRate *item_rate;
  VpLogRate rates[VP_LOG_EVENTS_MAX];
  uint32_t rate_count;
  uint64_t dropped;
} _log;

void
vp_log_setup (const char *node)
{
  memset (&_log, 0, sizeof _log);
  g_strlcpy (_log.node, node, sizeof _log.node);
}

static VpLogRate *
_vp_log_rate (const char *event)
{
  for (uint32_t i = 0; i < _log.rate_count; i++) {
    if (_log.rates[i].event == event)
      return &_log.rates[i];
  }
  if (_log.rate_count == VP_LOG_EVENTS_MAX)
    return &_log.rates[VP_LOG_EVENTS_MAX - 1];
  _log.rates[_log.rate_count].event = event;
  return &_log.rates[_log.rate_count++];
}

/* Appends a line to the buffer. Returns false if the buffer is full. */
static bool
_vp_log_append (const char *line, size_t size)
{
  if (_log.size + size > sizeof _log.buffer)
    return false;
  memcpy (_log.buffer + _log.size, line, size);
  _log.size += (uint32_t)size;
  return true;
}

/* Counts a line of an event. Returns false if the event has reached its maximum of this second. */
static bool
_vp_log_admit (VpLogRate *rate, int64_t now_ms)
{
  int64_t second = now_ms / 1000;
  char line[160];
  int size;

  if (rate->second != second) {
    if (rate->dropped > 0) {
      size = g_snprintf (line, sizeof line,
                         "t=%" G_GINT64_FORMAT " node=%s event=dropped kind=%s lines=%u\n", now_ms,
                         _log.node, rate->event, rate->dropped);
      _vp_log_append (line, (size_t)size);
    }
    rate->second = second;
    rate->lines = rate->dropped = 0;
  }
  return rate->lines++ < VP_LOG_LINES_PER_S;
}

static void
_vp_log_drop (VpLogRate *rate)
{
  rate->dropped++;
  _log.dropped++;
}

/* Moves the unfinished line of items, if any, to the buffer. */
static void
_vp_log_close_item_line (void)
{
  if (_log.item_size == 0)
    return;
  _log.item_line[_log.item_size++] = '\n';
  if (!_vp_log_append (_log.item_line, _log.item_size))
    _vp_log_drop (_log.item_rate);
  _log.item_size = 0;
}

void
vp_log (int64_t now_ms, const char *event, const char *format, ...)
{
  VpLogRate *rate = _vp_log_rate (event);
  char line[VP_LOG_LINE_MAX];
  size_t size;
  va_list arguments;

  if (_log.node[0] == '\0')
    return;
  _vp_log_close_item_line ();
  if (_vp_log_admit (rate, now_ms)) {
    size = (size_t)g_snprintf (line, sizeof line, "t=%" G_GINT64_FORMAT " node=%s event=%s ",
                               now_ms, _log.node, event);
    va_start (arguments, format);
    size += (size_t)g_vsnprintf (line + size, sizeof line - size, format, arguments);
    va_end (arguments);
    size = MIN (size, sizeof line - 2);
    line[size++] = '\n';
    if (_vp_log_append (line, size))
      return;
  }
  _vp_log_drop (rate);
}

void
vp_log_item (int64_t now_ms, const char *event, const char *keys, const char *item)
{
  char head[VP_LOG_LINE_MAX];
  uint32_t size;

  if (_log.node[0] == '\0')
    return;
  g_snprintf (head, sizeof head, "t=%" G_GINT64_FORMAT " node=%s event=%s %s", now_ms, _log.node,
              event, keys);
  size = (uint32_t)strlen (head);
  if (_log.item_size > 0 && _log.item_head_size == size && memcmp (_log.item_line, head, size) == 0
      && _log.item_size + 1 + strlen (item) < sizeof _log.item_line - 1) {
    _log.item_line[_log.item_size++] = ',';
  } else {
    VpLogRate *rate = _vp_log_rate (event);
    _vp_log_close_item_line ();
    if (!_vp_log_admit (rate, now_ms)) {
      _vp_log_drop (rate);
      return;
    }
    memcpy (_log.item_line, head, size);
    _log.item_head_size = _log.item_size = size;
    _log.item_rate = rate;
  }
  g_strlcpy (_log.item_line + _log.item_size, item, sizeof _log.item_line - 1 - _log.item_size);
  _log.item_size += (uint32_t)strlen (_log.item_line + _log.item_size);
}

uint32_t
vp_log_text_max (const char *event)
{
  size_t key_bytes = strlen ("t=-9223372036854775808 node= event= \n") + 1;

  return VP_LOG_LINE_MAX - (uint32_t)(key_bytes + strlen (_log.node) + strlen (event));
}

void
vp_log_flush (void)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  uint32_t done = 0;

  _vp_log_close_item_line ();
  while (done < _log.size && poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0) {
    ssize_t count
        = write (STDOUT_FILENO, _log.buffer + done, MIN (_log.size - done, VP_LOG_CHUNK_BYTES));
    if (count <= 0)
      break;
    done += (uint32_t)count;
  }
  if (done > 0) {
    memmove (_log.buffer, _log.buffer + done, _log.size - done);
    _log.size -= done;
  }
}

uint32_t
vp_log_pending (void)
{
  return _log.size + _log.item_size;
}

uint64_t
vp_log_dropped (void)
{
  return _log.dropped;
}
