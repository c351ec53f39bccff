#include "fake-forward.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_SIZE  65536      /* bytes of one read */
#define BUFFER_MAX  (4u << 20) /* bytes held in one direction before reading stops */
#define LISTEN_SIZE 512

typedef struct {
  int64_t at_ms; /* earliest time to forward it */
  size_t start;  /* first byte that wasn't written yet */
  GByteArray *bytes;
} Chunk;

typedef struct {
  FakeForward *forward;
  int fd;
  FakeSource *source;
  GQueue out;          /* Chunk, to be written to fd */
  size_t out_size;     /* bytes in out */
  bool is_read_closed; /* the peer has shut down its sending side */
  bool is_write_shut;  /* the other side's fd was shut down for writing as well */
  FakeTimer *timer;
} Side;

struct _FakeForward {
  Side sides[2]; /* client, target */
  FakeFault fault;
  bool has_discarded; /* bytes were discarded, so the streams can't continue */
  void (*closed) (FakeForward *forward, void *data);
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
  return &side->forward->sides[side == &side->forward->sides[0]];
}

/* Whether the bytes read from @side are discarded. */
static bool
_forward_is_swallowing (const Side *side)
{
  return side->forward->fault.is_discarding[side != &side->forward->sides[0]];
}

static void
_forward_chunk_free (void *data)
{
  g_byte_array_unref (((Chunk *)data)->bytes);
  g_free (data);
}

static void
_forward_finish (FakeForward *forward, bool is_reset)
{
  forward->closed (forward, forward->data);
  fake_forward_free (forward, is_reset);
}

/* Watches for the events that the side can handle now. */
static void
_forward_update_events (Side *side)
{
  const Side *other = _forward_other (side);
  const Chunk *first = g_queue_peek_head (&side->out);
  bool is_stalled = side->forward->fault.is_stalled;
  uint32_t events = 0;

  if (!is_stalled && !side->is_read_closed && other->out_size < BUFFER_MAX)
    events |= EPOLLIN;
  if (!is_stalled && first != NULL && side->timer == NULL)
    events |= EPOLLOUT;
  fake_set_events (side->source, events);
}

/* False if the forwarded connection has ended and was freed. */
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
      _forward_finish (side->forward, true);
      return false;
    }
    side->out_size -= (size_t)count;
    chunk->start += (size_t)count;
    if (chunk->start == chunk->bytes->len)
      _forward_chunk_free (g_queue_pop_head (&side->out));
  }
  if (other->is_read_closed && !other->is_write_shut && !_forward_is_swallowing (other)) {
    other->is_write_shut = true;
    shutdown (side->fd, SHUT_WR);
  }
  if (side->is_write_shut && other->is_write_shut) {
    _forward_finish (side->forward, false);
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
  if (!side->forward->fault.is_stalled)
    _forward_flush (side);
}

/* Writes the chunks that are due and sets a timer for the others. */
static void
_forward_flush (Side *side)
{
  const Chunk *first;

  if (!side->forward->fault.is_stalled && !_forward_write (side))
    return;
  first = g_queue_peek_head (&side->out);
  if (first != NULL && side->timer == NULL && first->at_ms > fake_now_ms ())
    side->timer = fake_timer_add (first->at_ms, _forward_due, side);
  _forward_update_events (side);
  _forward_update_events (_forward_other (side));
}

/* False if the forwarded connection has ended and was freed. */
static bool
_forward_read (Side *side)
{
  static uint8_t buffer[CHUNK_SIZE];
  Side *other = _forward_other (side);
  ssize_t count = recv (side->fd, buffer, sizeof buffer, 0);

  if (count < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
    return true;
  if (count < 0) {
    _forward_finish (side->forward, true);
    return false;
  }
  if (count == 0) {
    side->is_read_closed = true;
  } else if (_forward_is_swallowing (side)) {
    side->forward->has_discarded = true;
  } else {
    Chunk *chunk = g_new (Chunk, 1);
    *chunk = (Chunk){ .at_ms = fake_now_ms () + side->forward->fault.delay_ms,
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

  /* epoll reports a reset even if no event is watched, and reports it again until it is handled. */
  if ((events & EPOLLERR) != 0) {
    _forward_finish (side->forward, true);
    return;
  }
  if ((events & EPOLLHUP) != 0 && side->forward->fault.is_stalled) {
    _forward_finish (side->forward, false);
    return;
  }
  if ((events & (EPOLLIN | EPOLLHUP)) != 0 && !side->is_read_closed && !_forward_read (side))
    return;
  if ((events & EPOLLOUT) != 0 && !_forward_write (side))
    return;
  _forward_flush (_forward_other (side));
}

FakeForward *
fake_forward_new (int client_fd, int target_fd, void (*closed) (FakeForward *, void *), void *data)
{
  FakeForward *forward = g_new0 (FakeForward, 1);
  const int fds[2] = { client_fd, target_fd };

  forward->closed = closed;
  forward->data = data;
  for (int i = 0; i < 2; i++) {
    setsockopt (fds[i], IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
    forward->sides[i] = (Side){ .forward = forward, .fd = fds[i] };
    g_queue_init (&forward->sides[i].out);
    forward->sides[i].source = fake_watch (fds[i], EPOLLIN, _forward_ready, &forward->sides[i]);
  }
  return forward;
}

void
fake_forward_set (FakeForward *forward, const FakeFault *fault)
{
  forward->fault = *fault;
  if (forward->has_discarded && !fault->is_discarding[0] && !fault->is_discarding[1])
    _forward_finish (forward, true);
  else if (fault->is_stalled || _forward_write (&forward->sides[0]))
    _forward_flush (&forward->sides[1]);
}

void
fake_forward_free (FakeForward *forward, bool is_reset)
{
  for (int i = 0; i < 2; i++) {
    Side *side = &forward->sides[i];
    if (is_reset)
      setsockopt (side->fd, SOL_SOCKET, SO_LINGER, &(struct linger){ .l_onoff = 1, .l_linger = 0 },
                  sizeof (struct linger));
    fake_timer_cancel (&side->timer);
    fake_unwatch (&side->source);
    g_queue_clear_full (&side->out, _forward_chunk_free);
    close (side->fd);
  }
  g_free (forward);
}

/* Mappings of a listen address to a target. */

struct _FakeMapping {
  char *listen;
  struct sockaddr_in target;
  int fd; /* -1 in mode "cut" */
  FakeSource *source;
  FakeFault fault;
  GPtrArray *forwards;
};

static void
_mapping_closed (FakeForward *forward, void *data)
{
  g_ptr_array_remove_fast (((FakeMapping *)data)->forwards, forward);
}

static void
_mapping_accept (uint32_t events G_GNUC_UNUSED, void *data)
{
  FakeMapping *mapping = data;
  int client_fd = accept4 (mapping->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int target_fd = client_fd >= 0 ? fake_forward_connect (&mapping->target) : -1;
  FakeForward *forward;

  if (target_fd < 0) {
    if (client_fd >= 0)
      close (client_fd);
    return;
  }
  forward = fake_forward_new (client_fd, target_fd, _mapping_closed, mapping);
  g_ptr_array_add (mapping->forwards, forward);
  fake_forward_set (forward, &mapping->fault);
}

static void
_mapping_open (FakeMapping *mapping)
{
  if (mapping->fd >= 0)
    return;
  mapping->fd = fake_forward_listen (mapping->listen);
  mapping->source = fake_watch (mapping->fd, EPOLLIN, _mapping_accept, mapping);
}

static void
_mapping_close_all (FakeMapping *mapping, bool is_reset)
{
  while (mapping->forwards->len > 0)
    fake_forward_free (
        g_ptr_array_remove_index_fast (mapping->forwards, mapping->forwards->len - 1), is_reset);
}

FakeMapping *
fake_mapping_new (const char *listen, const char *target)
{
  FakeMapping *mapping = g_new0 (FakeMapping, 1);

  mapping->listen = g_strdup (listen);
  mapping->target = fake_address (target);
  mapping->fd = -1;
  mapping->forwards = g_ptr_array_new ();
  _mapping_open (mapping);
  return mapping;
}

const char *
fake_mapping_address (const FakeMapping *mapping)
{
  return mapping->listen;
}

void
fake_mapping_retarget (FakeMapping *mapping, const char *target)
{
  mapping->target = fake_address (target);
}

bool
fake_mapping_set_mode (FakeMapping *mapping, const char *mode, int64_t delay_ms)
{
  FakeFault fault = { .is_discarding = { strcmp (mode, "cut-to-target") == 0,
                                         strcmp (mode, "cut-to-client") == 0 },
                      .is_stalled = strcmp (mode, "stall") == 0,
                      .delay_ms = strcmp (mode, "delay") == 0 ? delay_ms : 0 };

  if (strcmp (mode, "cut") == 0 || strcmp (mode, "reset") == 0) {
    _mapping_close_all (mapping, mode[0] == 'r');
    if (mode[0] == 'c' && mapping->fd >= 0) {
      fake_unwatch (&mapping->source);
      close (mapping->fd);
      mapping->fd = -1;
    }
    return true;
  }
  if (strcmp (mode, "pass") != 0 && fault.delay_ms == 0 && !fault.is_stalled
      && !fault.is_discarding[0] && !fault.is_discarding[1])
    return false;
  mapping->fault = fault;
  _mapping_open (mapping);
  /* From the end: a connection that is removed is replaced by the last one, which was set already.
   */
  for (guint i = mapping->forwards->len; i-- > 0;)
    fake_forward_set (mapping->forwards->pdata[i], &fault);
  return true;
}
