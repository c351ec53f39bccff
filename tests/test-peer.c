#include "vp-metrics.h"
#include "vp-net.h"
#include "vp-peer.h"
#include "vp-sync.h"

#include <string.h>
#include <unistd.h>
#include <zmq.h>

typedef struct {
  VpPeer *peer;
  char address[VP_ADDRESS_MAX];
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GArray *correlations; /* uint64_t, in the order of arrival */
  char from[VP_NAME_MAX];
  gsize body_size;
} Node;

static void
on_event (const VpEvent *event, void *data)
{
  Node *node = data;

  g_assert_cmpint (event->kind, ==, VP_EVENT_PEER);
  pthread_mutex_lock (&node->lock);
  g_array_append_val (node->correlations, event->peer.correlation);
  g_strlcpy (node->from, event->peer.from, sizeof node->from);
  node->body_size = event->peer.body == NULL ? 0 : g_bytes_get_size (event->peer.body);
  pthread_cond_broadcast (&node->changed);
  pthread_mutex_unlock (&node->lock);
  vp_event_clear (&(VpEvent){ .kind = VP_EVENT_PEER, .peer = event->peer });
}

static void
node_start (Node *node, const char *member)
{
  g_autoptr (GError) error = NULL;

  node->peer = vp_peer_setup (
      &(VpPeerDesc){ .address = node->address, .member = member, .post = on_event, .data = node },
      &error);
  g_assert_no_error (error);
  g_snprintf (node->address, sizeof node->address, "127.0.0.1:%u", vp_peer_port (node->peer));
}

static void
node_setup (Node *node, const char *member)
{
  memset (node, 0, sizeof *node);
  pthread_mutex_init (&node->lock, NULL);
  vp_sync_cond_setup (&node->changed);
  node->correlations = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_strlcpy (node->address, "127.0.0.1:0", sizeof node->address);
  node_start (node, member);
}

static void
node_shutdown (Node *node)
{
  vp_peer_shutdown (node->peer);
  g_array_unref (node->correlations);
  pthread_cond_destroy (&node->changed);
  pthread_mutex_destroy (&node->lock);
}

static void
send_number (Node *node, const char *name, uint64_t number)
{
  VpPeerMessage message = { .kind = VP_PEER_ANSWER, .correlation = number };

  vp_peer_send (node->peer, name, &message);
}

/* Waits up to @wait_ms for the message with @number. Returns true if it has arrived. */
static bool
has_number (Node *node, uint64_t number, int64_t wait_ms)
{
  int64_t end_us = g_get_monotonic_time () + wait_ms * 1000;
  bool is_found = false;

  pthread_mutex_lock (&node->lock);
  do {
    for (guint i = 0; i < node->correlations->len && !is_found; i++)
      is_found = g_array_index (node->correlations, uint64_t, i) == number;
  } while (!is_found && vp_sync_cond_wait_until (&node->changed, &node->lock, end_us));
  pthread_mutex_unlock (&node->lock);
  return is_found;
}

/* Sends messages with rising numbers above @base until one arrives, since messages are dropped
 * while a connection is being established. Returns the number that arrived. */
static uint64_t
send_until_arrived (Node *from, Node *to, const char *name, uint64_t base)
{
  uint64_t number = base;

  do
    send_number (from, name, ++number);
  while (!has_number (to, number, 20));
  return number;
}

/* Guards against messages that are lost, reordered, duplicated or changed between connected peers,
 * and against a message without a sender. */
static void
test_exchange (void)
{
  g_autofree char *text = g_strnfill (1 << 20, 'z');
  g_autoptr (GBytes) body = g_bytes_new (text, 1 << 20);
  VpPeerMessage large = { .kind = VP_PEER_ANSWER, .correlation = 2000, .body = body };
  Node a;
  Node b;
  guint start;

  node_setup (&a, "nadi-1");
  node_setup (&b, "nadi-2");
  vp_peer_connect (a.peer, "nadi-2", b.address);
  vp_peer_connect (a.peer, "nadi-2", b.address);
  send_until_arrived (&a, &b, "nadi-2", 5000);
  start = b.correlations->len;
  for (uint64_t i = 0; i < 500; i++)
    send_number (&a, "nadi-2", i);
  vp_peer_send (a.peer, "nadi-2", &large);
  g_assert_true (has_number (&b, 2000, 5000));
  g_assert_cmpuint (b.body_size, ==, 1 << 20);
  g_assert_cmpstr (b.from, ==, "nadi-1");
  g_assert_cmpuint (b.correlations->len, ==, start + 501);
  for (guint i = 0; i < 500; i++)
    g_assert_cmpuint (g_array_index (b.correlations, uint64_t, start + i), ==, i);
  node_shutdown (&a);
  node_shutdown (&b);
}

/* Guards against old messages that are delivered when a peer is back, a peer that is not
 * reconnected when it is back at the same or another address, and a send to an unreachable peer
 * that blocks. */
static void
test_reconnect (void)
{
  Node a;
  Node b;

  node_setup (&a, "nadi-1");
  node_setup (&b, "nadi-2");
  vp_peer_connect (a.peer, "nadi-2", b.address);
  send_until_arrived (&a, &b, "nadi-2", 1000);
  vp_peer_shutdown (b.peer);
  /* Nothing listens at the address. Messages may be sent on the old connection until its loss is
   * noticed. */
  for (uint64_t i = 0; i < 5000; i++)
    send_number (&a, "nadi-2", 10000 + i);
  send_number (&a, "nobody", 1);
  g_array_set_size (b.correlations, 0);
  node_start (&b, "nadi-2");
  send_until_arrived (&a, &b, "nadi-2", 20000);
  for (guint i = 0; i < b.correlations->len; i++)
    g_assert_cmpuint (g_array_index (b.correlations, uint64_t, i), >, 20000);
  vp_peer_shutdown (b.peer);
  g_strlcpy (b.address, "127.0.0.1:0", sizeof b.address);
  node_start (&b, "nadi-2");
  vp_peer_connect (a.peer, "nadi-2", b.address);
  send_until_arrived (&a, &b, "nadi-2", 30000);
  node_shutdown (&a);
  node_shutdown (&b);
}

/* Guards against malformed data on the peer port that stops the transport or reaches the reducer.
 */
static void
test_malformed (void)
{
  static const char *const frames[] = { "", "x", "not a variant at all" };
  VpNetAddress address;
  void *context = zmq_ctx_new ();
  void *socket_zmq = zmq_socket (context, ZMQ_DEALER);
  int linger = 1000;
  Node a;
  Node b;
  int fd;

  vp_metrics_reset ();
  node_setup (&a, "nadi-1");
  node_setup (&b, "nadi-2");
  g_assert_true (vp_net_parse_address (b.address, &address));
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (connect (fd, &address.any, address.size), ==, 0);
  g_assert_cmpint (send (fd, "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL), ==, 18);
  close (fd);
  {
    g_autofree char *endpoint = g_strdup_printf ("tcp://%s", b.address);
    zmq_setsockopt (socket_zmq, ZMQ_LINGER, &linger, sizeof linger);
    g_assert_cmpint (zmq_connect (socket_zmq, endpoint), ==, 0);
  }
  for (guint i = 0; i < G_N_ELEMENTS (frames); i++)
    zmq_send (socket_zmq, frames[i], strlen (frames[i]), 0);
  zmq_send (socket_zmq, "two", 3, ZMQ_SNDMORE);
  zmq_send (socket_zmq, "frames", 6, 0);
  zmq_close (socket_zmq);
  zmq_ctx_term (context);
  vp_peer_connect (a.peer, "nadi-2", b.address);
  send_until_arrived (&a, &b, "nadi-2", 0);
  while (vp_metrics_get (VP_COUNTER_PEER_MALFORMED) < 4)
    send_until_arrived (&a, &b, "nadi-2", 100000);
  node_shutdown (&a);
  node_shutdown (&b);
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_PEER_MALFORMED), ==, 4);
}

/* Guards against an invalid address that is accepted at setup. */
static void
test_bad_address (void)
{
  static const char *const bad[] = { "127.0.0.1", "nowhere:1", "127.0.0.1:99999" };

  for (guint i = 0; i < G_N_ELEMENTS (bad); i++) {
    g_autoptr (GError) error = NULL;
    g_assert_null (vp_peer_setup (&(VpPeerDesc){ .address = bad[i], .post = on_event }, &error));
    g_assert_nonnull (strstr (error->message, bad[i]));
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer/exchange", test_exchange);
  g_test_add_func ("/peer/reconnect", test_reconnect);
  g_test_add_func ("/peer/malformed", test_malformed);
  g_test_add_func ("/peer/bad-address", test_bad_address);
  return g_test_run ();
}
