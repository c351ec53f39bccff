#include "vp-peer.h"
#include "vp-metrics.h"
#include "vp-msg.h"
#include "vp-net.h"
#include "vp-sync.h"

#include <errno.h>
#include <gio/gio.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

/* Queue length for messages to one peer. At some thousand messages a second the queue holds the
 * messages of less than a second. Messages beyond that are dropped instead of being delivered late.
 */
#define VP_PEER_SEND_HIGH_WATER 1024
/* Queue length for received messages. */
#define VP_PEER_RECV_HIGH_WATER 4096
/* A connection whose data is not acknowledged for this long is closed, and its messages are lost.
 */
#define VP_PEER_TCP_TIMEOUT_MS 2000
/* Time-out of a connection attempt and of the ZeroMQ handshake. */
#define VP_PEER_CONNECT_TIMEOUT_MS 1000
/* Delay before the first reconnection attempt. ZeroMQ doubles it up to the maximum. */
#define VP_PEER_RECONNECT_MS     50
#define VP_PEER_RECONNECT_MAX_MS 500
/* Time for the last messages, such as STOPPING, to be sent at shutdown. */
#define VP_PEER_LINGER_MS 200
/* Bytes of a message. A configuration or an answer has up to 1 MiB, the rest is for other fields.
 */
#define VP_PEER_MESSAGE_MAX ((int64_t)2 * 1024 * 1024)
#define VP_PEER_ZAP_DOMAIN  "verbenapulley"
/* Time after which a connection is accepted although its client has sent nothing. */
#define VP_PEER_SILENT_S 10
/* Connections that the kernel holds until they are accepted. */
#define VP_PEER_BACKLOG 1024
/* Messages that are received before the command queue is checked again. */
#define VP_PEER_BATCH 64

/* Command for the transport's thread: to send a message, or to connect to a peer. */
typedef struct {
  char name[VP_PROCESS_NAME_MAX];
  char address[VP_ADDRESS_MAX]; /* address to connect to */
  GBytes *wire;                 /* message to send; NULL for a command to connect */
} VpPeerCommand;

typedef struct {
  void *socket;
  char address[VP_ADDRESS_MAX];
} VpPeerConnection;

struct _VpPeer {
  VpPeerDesc desc;
  char member[VP_PROCESS_NAME_MAX];
  void *context;
  void *router;
  uint16_t port;
  GThread *thread;
  GHashTable *connections; /* name -> VpPeerConnection; used on the transport's thread only */
  int wake_fd;
  pthread_mutex_t lock;
  GQueue commands; /* VpPeerCommand */
  bool is_stopping;
};

static void
_vp_peer_command_free (gpointer data)
{
  VpPeerCommand *command = data;

  g_clear_pointer (&command->wire, g_bytes_unref);
  g_free (command);
}

static void
_vp_peer_set_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
_vp_peer_connection_free (gpointer data)
{
  VpPeerConnection *connection = data;

  zmq_close (connection->socket);
  g_free (connection);
}

static VpPeerConnection *
_vp_peer_connection_new (VpPeer *peer, const char *address)
{
  VpPeerConnection *connection = g_new0 (VpPeerConnection, 1);
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s", address);

  g_strlcpy (connection->address, address, sizeof connection->address);
  connection->socket = zmq_socket (peer->context, ZMQ_DEALER);
  _vp_peer_set_option (connection->socket, ZMQ_LINGER, 0);
  _vp_peer_set_option (connection->socket, ZMQ_SNDHWM, VP_PEER_SEND_HIGH_WATER);
  /* Messages are queued only while connected, and are lost with the connection. */
  _vp_peer_set_option (connection->socket, ZMQ_IMMEDIATE, 1);
  _vp_peer_set_option (connection->socket, ZMQ_IPV6, address[0] == '[');
  _vp_peer_set_option (connection->socket, ZMQ_TCP_MAXRT, VP_PEER_TCP_TIMEOUT_MS);
  _vp_peer_set_option (connection->socket, ZMQ_CONNECT_TIMEOUT, VP_PEER_CONNECT_TIMEOUT_MS);
  _vp_peer_set_option (connection->socket, ZMQ_HANDSHAKE_IVL, VP_PEER_CONNECT_TIMEOUT_MS);
  _vp_peer_set_option (connection->socket, ZMQ_RECONNECT_IVL, VP_PEER_RECONNECT_MS);
  _vp_peer_set_option (connection->socket, ZMQ_RECONNECT_IVL_MAX, VP_PEER_RECONNECT_MAX_MS);
  if (zmq_connect (connection->socket, endpoint) != 0)
    g_warning ("can't connect to peer %s: %s", address, zmq_strerror (errno));
  return connection;
}

/* Sends a message without waiting. Drops it if the peer is not connected or its queue is full. */
static void
_vp_peer_run_send (VpPeer *peer, VpPeerCommand *command)
{
  VpPeerConnection *connection = g_hash_table_lookup (peer->connections, command->name);
  zmq_msg_t message;
  gsize size;
  const void *data = g_bytes_get_data (command->wire, &size);

  if (connection == NULL)
    return;
  zmq_msg_init_size (&message, size);
  memcpy (zmq_msg_data (&message), data, size);
  if (zmq_msg_send (&message, connection->socket, ZMQ_DONTWAIT) < 0) {
    zmq_msg_close (&message);
    return;
  }
  vp_metrics_add (VP_COUNTER_PEER_SENT, 1);
  vp_metrics_add (VP_COUNTER_PEER_BYTES_SENT, size);
}

static void
_vp_peer_run_connect (VpPeer *peer, const VpPeerCommand *command)
{
  VpPeerConnection *connection = g_hash_table_lookup (peer->connections, command->name);
  VpNetAddress address;

  if (connection != NULL && strcmp (connection->address, command->address) == 0)
    return;
  if (!vp_net_parse_address (command->address, &address)) {
    g_warning ("the address of peer %s is not numeric: %s", command->name, command->address);
    return;
  }
  g_hash_table_replace (peer->connections, g_strdup (command->name),
                        _vp_peer_connection_new (peer, command->address));
}

/* Executes the queued commands. Returns false when the transport stops. */
static bool
_vp_peer_run_commands (VpPeer *peer)
{
  GQueue commands = G_QUEUE_INIT;
  eventfd_t count;
  VpPeerCommand *command;
  bool is_stopping;

  eventfd_read (peer->wake_fd, &count);
  pthread_mutex_lock (&peer->lock);
  commands = peer->commands;
  g_queue_init (&peer->commands);
  is_stopping = peer->is_stopping;
  pthread_mutex_unlock (&peer->lock);
  while ((command = g_queue_pop_head (&commands)) != NULL) {
    if (command->wire == NULL)
      _vp_peer_run_connect (peer, command);
    else
      _vp_peer_run_send (peer, command);
    _vp_peer_command_free (command);
  }
  return !is_stopping;
}

/* Receives one message, which has a frame with the routing identity and one with the body. Returns
 * false if there is none. */
static bool
_vp_peer_receive (VpPeer *peer)
{
  VpEvent event = { .kind = VP_EVENT_PEER };
  g_autoptr (GBytes) wire = NULL;
  zmq_msg_t frame;
  uint32_t frame_count = 0;
  int more;

  do {
    zmq_msg_init (&frame);
    if (zmq_msg_recv (&frame, peer->router, ZMQ_DONTWAIT) < 0) {
      zmq_msg_close (&frame);
      return false;
    }
    if (frame_count++ == 1)
      wire = g_bytes_new (zmq_msg_data (&frame), zmq_msg_size (&frame));
    more = zmq_msg_more (&frame);
    zmq_msg_close (&frame);
  } while (more);
  if (frame_count == 2 && wire != NULL && peer->desc.on_encoded_message != NULL) {
    vp_metrics_add (VP_COUNTER_PEER_RECEIVED, 1);
    peer->desc.on_encoded_message (wire, peer->desc.data);
  } else if (frame_count == 2 && wire != NULL && vp_msg_decode (wire, &event.peer)) {
    vp_metrics_add (VP_COUNTER_PEER_RECEIVED, 1);
    peer->desc.post (&event, peer->desc.data);
  } else {
    vp_metrics_add (VP_COUNTER_PEER_MALFORMED, 1);
  }
  return true;
}

static gpointer
_vp_peer_main (gpointer data)
{
  VpPeer *peer = data;
  zmq_pollitem_t items[] = {
    { .socket = peer->router, .events = ZMQ_POLLIN },
    { .fd = peer->wake_fd, .events = ZMQ_POLLIN },
  };
  GHashTableIter iter;
  gpointer connection;
  bool is_running = true;

  while (is_running) {
    if (zmq_poll (items, G_N_ELEMENTS (items), -1) < 0)
      continue;
    if (items[1].revents != 0)
      is_running = _vp_peer_run_commands (peer);
    for (int i = 0; items[0].revents != 0 && i < VP_PEER_BATCH; i++) {
      if (!_vp_peer_receive (peer))
        break;
    }
  }
  g_hash_table_iter_init (&iter, peer->connections);
  while (g_hash_table_iter_next (&iter, NULL, &connection))
    _vp_peer_set_option (((VpPeerConnection *)connection)->socket, ZMQ_LINGER, VP_PEER_LINGER_MS);
  g_hash_table_remove_all (peer->connections);
  return NULL;
}

/* Returns a listening socket that accepts a connection only when its client has sent something, so
 * that silent clients take no descriptors. Peers send at once. Returns -1 and sets errno on error.
 */
static int
_vp_peer_listen (const VpNetAddress *address)
{
  int one = 1;
  int wait_s = VP_PEER_SILENT_S;
  int fd = socket (address->any.sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_DEFER_ACCEPT, &wait_s, sizeof wait_s);
  if (bind (fd, &address->any, address->size) == 0 && listen (fd, VP_PEER_BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
_vp_peer_bind (VpPeer *peer, GError **error)
{
  int fd;
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s", peer->desc.address);
  char bound[VP_ADDRESS_MAX + 8];
  size_t size = sizeof bound;
  VpNetAddress address;

  if (!vp_net_parse_address (peer->desc.address, &address)) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "peer address %s is not numeric",
                 peer->desc.address);
    return false;
  }
  fd = _vp_peer_listen (&address);
  if (fd < 0) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_FAILED, "peer address %s: %s", peer->desc.address,
                 g_strerror (errno));
    return false;
  }
  peer->router = zmq_socket (peer->context, ZMQ_ROUTER);
  _vp_peer_set_option (peer->router, ZMQ_USE_FD, fd);
  _vp_peer_set_option (peer->router, ZMQ_LINGER, 0);
  _vp_peer_set_option (peer->router, ZMQ_RCVHWM, VP_PEER_RECV_HIGH_WATER);
  _vp_peer_set_option (peer->router, ZMQ_IPV6, peer->desc.address[0] == '[');
  _vp_peer_set_option (peer->router, ZMQ_HANDSHAKE_IVL, VP_PEER_CONNECT_TIMEOUT_MS);
  /* With a domain, ZeroMQ refuses clients of its first protocol version, as which it takes any
   * bytes that aren't its own, such as an HTTP request. Nothing else changes, as there is no
   * handler that authenticates peers. */
  zmq_setsockopt (peer->router, ZMQ_ZAP_DOMAIN, VP_PEER_ZAP_DOMAIN, strlen (VP_PEER_ZAP_DOMAIN));
  zmq_setsockopt (peer->router, ZMQ_MAXMSGSIZE, &(int64_t){ VP_PEER_MESSAGE_MAX },
                  sizeof (int64_t));
  if (zmq_bind (peer->router, endpoint) != 0
      || zmq_getsockopt (peer->router, ZMQ_LAST_ENDPOINT, bound, &size) != 0) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_FAILED, "peer address %s: %s", peer->desc.address,
                 zmq_strerror (errno));
    return false;
  }
  peer->port = (uint16_t)g_ascii_strtoull (strrchr (bound, ':') + 1, NULL, 10);
  return true;
}

VpPeer *
vp_peer_setup (const VpPeerDesc *desc, GError **error)
{
  VpPeer *peer = g_new0 (VpPeer, 1);

  peer->desc = *desc;
  g_strlcpy (peer->member, desc->member == NULL ? "" : desc->member, sizeof peer->member);
  pthread_mutex_init (&peer->lock, NULL);
  g_queue_init (&peer->commands);
  peer->connections
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, _vp_peer_connection_free);
  peer->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  peer->context = zmq_ctx_new ();
  if (!_vp_peer_bind (peer, error)) {
    vp_peer_shutdown (peer);
    return NULL;
  }
  peer->thread = g_thread_new ("vp-peer", _vp_peer_main, peer);
  return peer;
}

static void
_vp_peer_push_command (VpPeer *peer, VpPeerCommand *command)
{
  bool is_first;

  pthread_mutex_lock (&peer->lock);
  is_first = peer->commands.length == 0;
  g_queue_push_tail (&peer->commands, command);
  pthread_mutex_unlock (&peer->lock);
  if (is_first)
    eventfd_write (peer->wake_fd, 1);
}

void
vp_peer_connect (VpPeer *peer, const char *name, const char *address)
{
  VpPeerCommand *command = g_new0 (VpPeerCommand, 1);

  g_strlcpy (command->name, name, sizeof command->name);
  g_strlcpy (command->address, address, sizeof command->address);
  _vp_peer_push_command (peer, command);
}

void
vp_peer_send_encoded (VpPeer *peer, const char *name, GBytes *wire)
{
  VpPeerCommand *command = g_new0 (VpPeerCommand, 1);

  g_strlcpy (command->name, name, sizeof command->name);
  command->wire = g_bytes_ref (wire);
  _vp_peer_push_command (peer, command);
}

void
vp_peer_send (VpPeer *peer, const char *name, const VpPeerMessage *message)
{
  VpPeerMessage outgoing = *message;
  g_autoptr (GBytes) wire = NULL;

  if (outgoing.from[0] == '\0')
    g_strlcpy (outgoing.from, peer->member, sizeof outgoing.from);
  wire = vp_msg_encode (&outgoing);
  vp_peer_send_encoded (peer, name, wire);
}

uint16_t
vp_peer_port (const VpPeer *peer)
{
  return peer->port;
}

void
vp_peer_shutdown (VpPeer *peer)
{
  if (peer == NULL)
    return;
  if (peer->thread != NULL) {
    pthread_mutex_lock (&peer->lock);
    peer->is_stopping = true;
    pthread_mutex_unlock (&peer->lock);
    eventfd_write (peer->wake_fd, 1);
    g_thread_join (peer->thread);
  }
  g_hash_table_unref (peer->connections);
  if (peer->router != NULL)
    zmq_close (peer->router);
  zmq_ctx_term (peer->context);
  g_queue_clear_full (&peer->commands, _vp_peer_command_free);
  close (peer->wake_fd);
  pthread_mutex_destroy (&peer->lock);
  g_free (peer);
}
