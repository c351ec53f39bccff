/* The queue of events for a node. */
#include "log-capture.h"
#include "vp-node-queue.h"

#include <string.h>

static int64_t _now_ms;

/* A clock that advances by 100 ms between two readings, as in a process that is busy or stopped. */
static int64_t
_read_clock (void)
{
  return _now_ms += 100;
}

static void
_post_member (VpNodeQueue *queue, const char *name)
{
  VpNodeEvent event = { .kind = VP_NODE_EVENT_MEMBER };

  g_strlcpy (event.member.name, name, sizeof event.member.name);
  g_strlcpy (event.member.address, "127.0.0.1:1", sizeof event.member.address);
  vp_node_queue_post (queue, &event);
}

/* Guards against events that are dated before their arrival, since a time was read once for all
 * events that are taken together. The leader took workers' clocks to be ahead, and leases that
 * weren't over to have expired. */
static void
test_events_are_dated_when_taken (void)
{
  VpNode *node = vp_node_setup (&(VpNodeDesc){ .name = "node", .hold_max_ms = 6000 }, 1000);
  VpNodeQueue queue;
  VpNodeEffects effects = { 0 };
  LogCapture capture;
  g_autofree char *text = NULL;

  log_capture_setup (&capture);
  _now_ms = 1000;
  vp_node_queue_setup (&queue, _read_clock);
  _post_member (&queue, "a");
  _post_member (&queue, "b");
  g_assert_true (vp_node_queue_apply (&queue, node, &effects));
  text = log_capture_read (&capture);
  log_capture_teardown (&capture);
  g_assert_nonnull (strstr (text, "t=1100 node=edge-1 event=member name=a "));
  g_assert_nonnull (strstr (text, "t=1200 node=edge-1 event=member name=b "));
  vp_node_effects_free (&effects);
  vp_node_queue_shutdown (&queue);
  vp_node_shutdown (node);
}

/* Guards against a node that never acts while events keep arriving, and against events that are
 * lost at the end of a batch. */
static void
test_batches_are_limited (void)
{
  VpNode *node = vp_node_setup (&(VpNodeDesc){ .name = "node", .hold_max_ms = 6000 }, 1000);
  VpNodeQueue queue;
  VpNodeEffects effects = { 0 };
  uint32_t batches = 1;

  _now_ms = 1000;
  vp_node_queue_setup (&queue, _read_clock);
  for (uint32_t i = 0; i < 100; i++) {
    g_autofree char *name = g_strdup_printf ("member-%u", i);
    _post_member (&queue, name);
  }
  while (!vp_node_queue_apply (&queue, node, &effects))
    batches++;
  g_assert_cmpuint (batches, ==, 2);
  g_assert_cmpuint (effects.count, ==, 100);
  vp_node_effects_free (&effects);
  vp_node_queue_shutdown (&queue);
  vp_node_shutdown (node);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-queue/events-are-dated-when-taken", test_events_are_dated_when_taken);
  g_test_add_func ("/node-queue/batches-are-limited", test_batches_are_limited);
  return g_test_run ();
}
