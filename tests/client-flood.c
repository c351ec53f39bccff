#include "client-flood.h"

#include "fake-http.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

/* A round ends early if no byte was sent for this time, as when the server reads no more. */
#define IDLE_MAX_MS 500
/* Connections opened in one step. Far below the backlog of 100 with which libzmq listens: the
 * kernel retries a connection above the backlog only after 1 s, and how many are open would vary.
 */
#define OPENED_PER_STEP 16
/* Small buffers, so that unread answers stay in the server. */
#define SLOW_READER_BUFFER_BYTES 4096

typedef struct {
  int fd; /* -1 if closed */
  gsize offset;
  int64_t next_ms; /* time of the next piece */
  uint32_t reopen_count;
} Connection;

struct _Flood {
  FloodDesc desc;
  struct sockaddr_in address;
  Connection *connections;
  uint32_t round;        /* from 1; 0 before the first one */
  uint32_t opened_count; /* connections that were opened in this round */
  int64_t send_end_ms;   /* latest end of sending in this round */
  int64_t progress_ms;   /* time of the last byte that was sent */
  int64_t hold_end_ms;   /* end of the hold; 0 while sending */
  bool is_half_way_done; /* the connections of this round were stopped half-way */
  uint64_t sent_bytes;
};

static void
_connection_close (Connection *connection, bool is_reset)
{
  struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };

  if (connection->fd < 0)
    return;
  if (is_reset)
    setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  close (connection->fd);
  connection->fd = -1;
}

static void
_connection_open (const Flood *flood, Connection *connection, int64_t now_ms)
{
  int buffer_bytes = SLOW_READER_BUFFER_BYTES;

  connection->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (connection->fd < 0)
    g_error ("socket: %s", g_strerror (errno));
  if (flood->desc.read_max < SLOW_READER_BUFFER_BYTES)
    setsockopt (connection->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  connection->offset = 0;
  connection->next_ms = now_ms;
  if (connect (connection->fd, (const struct sockaddr *)&flood->address, sizeof flood->address) != 0
      && errno != EINPROGRESS)
    _connection_close (connection, false);
}

/* Reads answers. Returns false if the server has closed the connection. */
static bool
_connection_read (const Flood *flood, const Connection *connection)
{
  char buffer[65536];
  ssize_t count;

  if (flood->desc.read_max == 0)
    return true;
  count = recv (connection->fd, buffer, MIN (flood->desc.read_max, sizeof buffer), 0);
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == ENOTCONN || errno == EINTR));
}

/* Sends the next piece if it is due. Returns false if the server has closed the connection. */
static bool
_connection_send (Flood *flood, Connection *connection, int64_t now_ms)
{
  gsize size;
  const char *data = g_bytes_get_data (flood->desc.stream, &size);
  gsize piece = MIN (size - connection->offset, flood->desc.piece_max);
  ssize_t count;

  if (piece == 0 || now_ms < connection->next_ms)
    return true;
  count = send (connection->fd, data + connection->offset, piece, MSG_NOSIGNAL);
  if (count < 0)
    return errno == EAGAIN || errno == ENOTCONN || errno == EINTR;
  connection->offset += (gsize)count;
  connection->next_ms = now_ms + flood->desc.pause_ms;
  flood->sent_bytes += (uint64_t)count;
  flood->progress_ms = now_ms;
  return true;
}

/* Returns true if the connection has nothing more to send. */
static bool
_connection_step (Flood *flood, Connection *connection, int64_t now_ms)
{
  if (connection->fd >= 0 && _connection_read (flood, connection)
      && _connection_send (flood, connection, now_ms))
    return connection->offset == g_bytes_get_size (flood->desc.stream);
  _connection_close (connection, false);
  if (flood->hold_end_ms != 0 || connection->reopen_count >= flood->desc.reopen_count)
    return true;
  connection->reopen_count++;
  _connection_open (flood, connection, now_ms);
  return false;
}

static void
_flood_begin_round (Flood *flood, int64_t now_ms)
{
  flood->round++;
  flood->send_end_ms = now_ms + flood->desc.send_max_ms;
  flood->progress_ms = now_ms;
  flood->hold_end_ms = 0;
  flood->is_half_way_done = false;
  flood->opened_count = 0;
}

/* Returns true if all connections have been opened in this round. */
static bool
_flood_open_some (Flood *flood, int64_t now_ms)
{
  uint32_t end = MIN (flood->opened_count + OPENED_PER_STEP, flood->desc.connection_count);

  for (; flood->opened_count < end; flood->opened_count++) {
    Connection *connection = &flood->connections[flood->opened_count];
    connection->reopen_count = 0;
    _connection_open (flood, connection, now_ms);
    flood->progress_ms = now_ms;
  }
  return flood->opened_count == flood->desc.connection_count;
}

static void
_flood_stop_half_way (Flood *flood)
{
  for (uint32_t i = 0; i < flood->desc.connection_count; i++) {
    Connection *connection = &flood->connections[i];
    if (i % 2 == 0)
      _connection_close (connection, true);
    else if (connection->fd >= 0)
      shutdown (connection->fd, SHUT_WR);
  }
}

static void
_flood_end_round (Flood *flood)
{
  for (uint32_t i = 0; i < flood->desc.connection_count; i++)
    _connection_close (&flood->connections[i], false);
}

Flood *
flood_new (const FloodDesc *desc)
{
  Flood *flood = g_new0 (Flood, 1);

  flood->desc = *desc;
  flood->address = fake_address (desc->address);
  flood->connections = g_new0 (Connection, desc->connection_count);
  for (uint32_t i = 0; i < desc->connection_count; i++)
    flood->connections[i].fd = -1;
  return flood;
}

bool
flood_step (Flood *flood, int64_t now_ms)
{
  bool is_sent;

  if (flood->round == 0)
    _flood_begin_round (flood, now_ms);
  is_sent = _flood_open_some (flood, now_ms);
  for (uint32_t i = 0; i < flood->opened_count && !flood->is_half_way_done; i++)
    is_sent = _connection_step (flood, &flood->connections[i], now_ms) && is_sent;
  if (flood->hold_end_ms == 0
      && (is_sent || now_ms >= flood->send_end_ms || now_ms >= flood->progress_ms + IDLE_MAX_MS))
    flood->hold_end_ms = now_ms + flood->desc.hold_ms;
  if (flood->hold_end_ms == 0 || now_ms < flood->hold_end_ms)
    return true;
  if (flood->desc.end == FLOOD_STOPS_HALF_WAY && !flood->is_half_way_done) {
    _flood_stop_half_way (flood);
    flood->is_half_way_done = true;
    flood->hold_end_ms = now_ms + flood->desc.hold_ms;
    return true;
  }
  _flood_end_round (flood);
  if (flood->round >= flood->desc.round_count)
    return false;
  _flood_begin_round (flood, now_ms);
  return true;
}

uint64_t
flood_sent_bytes (const Flood *flood)
{
  return flood->sent_bytes;
}

void
flood_free (Flood *flood)
{
  _flood_end_round (flood);
  g_free (flood->connections);
  g_free (flood);
}
