/* When a node tells the load balancer that it is ready, and what callers get while it isn't. */
#include "simcell-fixture.h"

#define LEADER "other"
/* Longer than requests wait for a leader, and shorter than their callers wait. */
#define WAIT_MS 2000

typedef struct {
  VpNode *node;
  VpNodeEffects effects;
  int64_t now_ms;
  bool is_ready;
  bool is_asked;     /* the leader was sent the request */
  uint32_t rejected; /* requests that were rejected as not run */
} Fixture;

static void
_note_effect (Fixture *fixture, const VpNodeEffect *effect)
{
  VpNodeMsg message;

  if (effect->kind == VP_NODE_EFFECT_SET_READY) {
    fixture->is_ready = effect->is_on;
  } else if (effect->kind == VP_NODE_EFFECT_REPLY) {
    g_assert_cmpint (effect->reply.kind, ==, VP_REPLY_REJECTED);
    g_assert_cmpuint (effect->reply.retry_after_ms, >, 0);
    fixture->rejected++;
  } else if (effect->kind == VP_NODE_EFFECT_SEND) {
    g_assert_true (vp_nodemsg_decode (effect->send.bytes, &message));
    fixture->is_asked = fixture->is_asked || message.kind == VP_NODEMSG_QUERY;
    vp_nodemsg_clear (&message);
  }
}

static void
_apply (Fixture *fixture, VpNodeEvent *event)
{
  vp_node_apply (fixture->node, event, fixture->now_ms, &fixture->effects);
  vp_node_event_clear (event);
  vp_node_step (fixture->node, fixture->now_ms, &fixture->effects);
  for (uint32_t i = 0; i < fixture->effects.count; i++)
    _note_effect (fixture, &fixture->effects.items[i]);
  vp_node_effects_clear (&fixture->effects);
}

/* Lets pings of the leader arrive every 200 ms. */
static void
_run (Fixture *fixture, int64_t span_ms)
{
  for (int64_t end_ms = fixture->now_ms + span_ms; fixture->now_ms < end_ms;) {
    VpNodeEvent ping = { .kind = VP_NODE_EVENT_MESSAGE,
                         .message = { .kind = VP_NODEMSG_PING,
                                      .from = LEADER,
                                      .term = 3,
                                      .is_leader = true,
                                      .hears_leader = true } };
    fixture->now_ms += 200;
    _apply (fixture, &ping);
  }
}

static void
_ask (Fixture *fixture)
{
  VpNodeEvent request = { .kind = VP_NODE_EVENT_REQUEST,
                          .request = { .handle = 1,
                                       .kind = VP_CALLER_REQUEST_QUERY,
                                       .host = g_strdup ("host"),
                                       .path = g_strdup ("/q/5c0e7a21d94b3620"),
                                       .wait_ms = 3000 } };

  _apply (fixture, &request);
}

/* Guards against a node that is ready, and holds each request until its caller gives up, while it
 * hears the leader but has no address to send to, as the leader's entry is missing. */
static void
test_unlisted_leader (void)
{
  Fixture fixture = { .now_ms = 1000000 };
  VpNodeEvent member
      = { .kind = VP_NODE_EVENT_MEMBER, .member = { .name = LEADER, .address = "127.0.0.1:1" } };

  fixture.node = vp_node_setup (
      &(VpNodeDesc){ .name = "node", .hold_max_ms = 6000, .grace_ms = 6000 }, fixture.now_ms);
  _configure (fixture.node, fixture.now_ms, &fixture.effects);
  _run (&fixture, 1000);
  g_assert_false (fixture.is_ready);
  _ask (&fixture);
  _run (&fixture, WAIT_MS);
  g_assert_cmpuint (fixture.rejected, ==, 1);
  g_assert_false (fixture.is_asked);
  _ask (&fixture);
  _apply (&fixture, &member);
  g_assert_true (fixture.is_ready);
  g_assert_true (fixture.is_asked);
  /* An entry that has expired leaves the address valid. */
  member.member.address[0] = '\0';
  _apply (&fixture, &member);
  g_assert_true (fixture.is_ready);
  vp_node_effects_free (&fixture.effects);
  vp_node_shutdown (fixture.node);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-ready/unlisted-leader", test_unlisted_leader);
  return g_test_run ();
}
