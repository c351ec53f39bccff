#include "fake-forward.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_SIZE  65536      /* bytes a read */
#define BUFFER_MAX  (4u << 20) /* bytes held in one direction before reading stops */
#define LISTEN_SIZE 512

typedef struct {
  int64_t at_ms; /* not forwarded before */
  size_t start;
  GByteArray *bytes;
} Chunk;

typedef struct {
  FakePair *pair;
  int fd;
  FakeSource *source;
  GQueue out; /* Chunk; to be written to fd */
  size_t out_size;
  bool is_at_end; /* fd was read to its end */
  bool is_shut;   /* that was passed on to the other side */
  FakeTimer *timer;
} Side;

struct _FakePair {
  Side sides[2]; /* client, target */
  FakeFault fault;
  bool has_lost; /* bytes were thrown away: the streams can't go on */
  void (*closed) (FakePair *pair, void *data);
  void *data;
};

int
fake_forward_listen (const char *address)
{
  struct sockaddr_in socket_address = fake_address (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof (int));
  if (bind (fd, (struct sockaddr *)&socket_address, sizeof socket_address) != 0
      || listen (fd, LISTEN_SIZE) != 0) {
    fprintf (stderr, "can't listen on %s: %s\n", address, g_strerror (errno));
    exit (EXIT_FAILURE);
  }
  return fd;
}

int
fake_forward_connect (const struct sockaddr_in *target)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd >= 0 && connect (fd, (const struct sockaddr *)target, sizeof *target) != 0
      && errno != EINPROGRESS) {
    close (fd);
    return -1;
  }
  return fd;
}

static Side *
_forward_other (Side *side)
{
  return &side->pair->sides[side == &side->pair->sides[0]];
}

/* Whether what comes from @side is thrown away. */
static bool
_forward_is_swallowing (const Side *side)
{
  return side->pair->fault.is_swallowing[side != &side->pair->sides[0]];
}

static void
_forward_chunk_free (void *data)
{
  g_byte_array_unref (((Chunk *)data)->bytes);
  g_free (data);
}

static void
_forward_end (FakePair *pair, bool is_reset)
{
  pair->closed (pair, pair->data);
  fake_forward_free (pair, is_reset);
}

/* Waits for what can go on now. */
static void
_forward_arm (Side *side)
{
  const Side *other = _forward_other (side);
  const Chunk *first = g_queue_peek_head (&side->out);
  bool is_stalled = side->pair->fault.is_stalled;
  uint32_t events = 0;

  if (!is_stalled && !side->is_at_end && other->out_size < BUFFER_MAX)
    events |= EPOLLIN;
  if (!is_stalled && first != NULL && side->timer == NULL)
    events |= EPOLLOUT;
  fake_rewatch (side->source, events);
}

/* False if the pair has ended. */
static bool
_forward_write (Side *side)
{
  Side *other = _forward_other (side);
  Chunk *chunk;

  while ((chunk = g_queue_peek_head (&side->out)) != NULL) {
    ssize_t count;
    if (chunk->at_ms > fake_now_ms ())
      return true;
    count = send (side->fd, chunk->bytes->data + chunk->start, chunk->bytes->len - chunk->start,
                  MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
      return true;
    if (count < 0) {
      _forward_end (side->pair, true);
      return false;
    }
    side->out_size -= (size_t)count;
    chunk->start += (size_t)count;
    if (chunk->start == chunk->bytes->len)
      _forward_chunk_free (g_queue_pop_head (&side->out));
  }
  if (other->is_at_end && !other->is_shut && !_forward_is_swallowing (other)) {
    other->is_shut = true;
    shutdown (side->fd, SHUT_WR);
  }
  if (side->is_shut && other->is_shut) {
    _forward_end (side->pair, false);
    return false;
  }
  return true;
}

static void _forward_flush (Side *side);

static void
_forward_due (void *data)
{
  Side *side = data;

  side->timer = NULL;
  if (!side->pair->fault.is_stalled)
    _forward_flush (side);
}

/* Writes what is due and waits for the rest. */
static void
_forward_flush (Side *side)
{
  const Chunk *first;

  if (!side->pair->fault.is_stalled && !_forward_write (side))
    return;
  first = g_queue_peek_head (&side->out);
  if (first != NULL && side->timer == NULL && first->at_ms > fake_now_ms ())
    side->timer = fake_timer_add (first->at_ms, _forward_due, side);
  _forward_arm (side);
  _forward_arm (_forward_other (side));
}

/* False if the pair has ended. */
static bool
_forward_read (Side *side)
{
  static uint8_t buffer[CHUNK_SIZE];
  Side *other = _forward_other (side);
  ssize_t count = recv (side->fd, buffer, sizeof buffer, 0);

  if (count < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
    return true;
  if (count < 0) {
    _forward_end (side->pair, true);
    return false;
  }
  if (count == 0) {
    side->is_at_end = true;
  } else if (_forward_is_swallowing (side)) {
    side->pair->has_lost = true;
  } else {
    Chunk *chunk = g_new (Chunk, 1);
    *chunk = (Chunk){ .at_ms = fake_now_ms () + side->pair->fault.delay_ms,
                      .bytes = g_byte_array_append (g_byte_array_new (), buffer, (guint)count) };
    g_queue_push_tail (&other->out, chunk);
    other->out_size += (size_t)count;
  }
  return true;
}

static void
_forward_ready (uint32_t events, void *data)
{
  Side *side = data;

  /* A reset shows even while nothing is waited for; unread it would be reported without end. */
  if ((events & EPOLLERR) != 0) {
    _forward_end (side->pair, true);
    return;
  }
  if ((events & EPOLLHUP) != 0 && side->pair->fault.is_stalled) {
    _forward_end (side->pair, false);
    return;
  }
  if ((events & (EPOLLIN | EPOLLHUP)) != 0 && !side->is_at_end && !_forward_read (side))
    return;
  if ((events & EPOLLOUT) != 0 && !_forward_write (side))
    return;
  _forward_flush (_forward_other (side));
}

FakePair *
fake_forward_new (int client_fd, int target_fd, void (*closed) (FakePair *, void *), void *data)
{
  FakePair *pair = g_new0 (FakePair, 1);
  const int fds[2] = { client_fd, target_fd };

  pair->closed = closed;
  pair->data = data;
  for (int i = 0; i < 2; i++) {
    setsockopt (fds[i], IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
    pair->sides[i] = (Side){ .pair = pair, .fd = fds[i] };
    g_queue_init (&pair->sides[i].out);
    pair->sides[i].source = fake_watch (fds[i], EPOLLIN, _forward_ready, &pair->sides[i]);
  }
  return pair;
}

void
fake_forward_set (FakePair *pair, const FakeFault *fault)
{
  pair->fault = *fault;
  if (pair->has_lost && !fault->is_swallowing[0] && !fault->is_swallowing[1])
    _forward_end (pair, true);
  else if (fault->is_stalled || _forward_write (&pair->sides[0]))
    _forward_flush (&pair->sides[1]);
}

void
fake_forward_free (FakePair *pair, bool is_reset)
{
  for (int i = 0; i < 2; i++) {
    Side *side = &pair->sides[i];
    if (is_reset)
      setsockopt (side->fd, SOL_SOCKET, SO_LINGER, &(struct linger){ .l_onoff = 1, .l_linger = 0 },
                  sizeof (struct linger));
    fake_timer_cancel (&side->timer);
    fake_unwatch (&side->source);
    g_queue_clear_full (&side->out, _forward_chunk_free);
    close (side->fd);
  }
  g_free (pair);
}

/* Mappings. */

struct _FakeMap {
  char *listen;
  struct sockaddr_in target;
  int fd; /* -1 while it is cut */
  FakeSource *source;
  FakeFault fault;
  GPtrArray *pairs;
};

static void
_map_closed (FakePair *pair, void *data)
{
  g_ptr_array_remove_fast (((FakeMap *)data)->pairs, pair);
}

static void
_map_accept (uint32_t events G_GNUC_UNUSED, void *data)
{
  FakeMap *map = data;
  int client_fd = accept4 (map->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int target_fd = client_fd >= 0 ? fake_forward_connect (&map->target) : -1;
  FakePair *pair;

  if (target_fd < 0) {
    if (client_fd >= 0)
      close (client_fd);
    return;
  }
  pair = fake_forward_new (client_fd, target_fd, _map_closed, map);
  g_ptr_array_add (map->pairs, pair);
  fake_forward_set (pair, &map->fault);
}

static void
_map_open (FakeMap *map)
{
  if (map->fd >= 0)
    return;
  map->fd = fake_forward_listen (map->listen);
  map->source = fake_watch (map->fd, EPOLLIN, _map_accept, map);
}

static void
_map_close_pairs (FakeMap *map, bool is_reset)
{
  while (map->pairs->len > 0)
    fake_forward_free (g_ptr_array_remove_index_fast (map->pairs, map->pairs->len - 1), is_reset);
}

FakeMap *
fake_map_new (const char *listen, const char *target)
{
  FakeMap *map = g_new0 (FakeMap, 1);

  map->listen = g_strdup (listen);
  map->target = fake_address (target);
  map->fd = -1;
  map->pairs = g_ptr_array_new ();
  _map_open (map);
  return map;
}

const char *
fake_map_address (const FakeMap *map)
{
  return map->listen;
}

void
fake_map_retarget (FakeMap *map, const char *target)
{
  map->target = fake_address (target);
}

bool
fake_map_set_mode (FakeMap *map, const char *mode, int64_t delay_ms)
{
  FakeFault fault = { .is_swallowing = { strcmp (mode, "cut-to-target") == 0,
                                         strcmp (mode, "cut-to-client") == 0 },
                      .is_stalled = strcmp (mode, "stall") == 0,
                      .delay_ms = strcmp (mode, "delay") == 0 ? delay_ms : 0 };

  if (strcmp (mode, "cut") == 0 || strcmp (mode, "reset") == 0) {
    _map_close_pairs (map, mode[0] == 'r');
    if (mode[0] == 'c' && map->fd >= 0) {
      fake_unwatch (&map->source);
      close (map->fd);
      map->fd = -1;
    }
    return true;
  }
  if (strcmp (mode, "pass") != 0 && fault.delay_ms == 0 && !fault.is_stalled
      && !fault.is_swallowing[0] && !fault.is_swallowing[1])
    return false;
  map->fault = fault;
  _map_open (map);
  /* Backwards: a pair that ends is replaced by the last one, which was set already. */
  for (guint i = map->pairs->len; i-- > 0;)
    fake_forward_set (map->pairs->pdata[i], &fault);
  return true;
}
