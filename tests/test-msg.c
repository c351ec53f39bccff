#include "vp-msg.h"

#include <string.h>

static VpPeerMessage
_message (VpPeerKind kind)
{
  VpPeerMessage m = { .kind = kind,
                      .from = "nadi-1",
                      .boot = 7,
                      .correlation = UINT64_MAX,
                      .dc = "nadi",
                      .address = "127.0.0.1:9000",
                      .revision = 41,
                      .announced_revision = 42,
                      .confirmed_age_ms = -1,
                      .epoch = 3,
                      .load_milli = 950,
                      .duration_ms = 1000,
                      .task = { 1, 2 },
                      .state = VP_TASK_LOST,
                      .reason = VP_REASON_BAD_CONFIG,
                      .team = "nadi",
                      .worker = "w-01",
                      .shortage = { 500, 256, 1 } };

  m.body = g_bytes_new ("a\0b", 3);
  if (kind == VP_PEER_SUBMIT) {
    VpRequest *r = m.request = vp_request_new (VP_OP_SUBMIT);
    g_strlcpy (r->key, "secret", sizeof r->key);
    g_strlcpy (r->team, "nadi", sizeof r->team);
    g_strlcpy (r->profile, "gang", sizeof r->profile);
    memset (r->identity, 'i', VP_IDENTITY_MAX - 1);
    r->task = m.task;
    r->size = m.shortage;
    r->task_count = VP_REQUEST_TASKS_MAX;
    r->is_repeatable = r->is_waiting = true;
    r->deadline_ms = 8100;
    r->run_time_ms = 60000;
    r->payload = g_bytes_new (NULL, 0);
  }
  return m;
}

static void
_assert_request (const VpRequest *a, const VpRequest *b)
{
  g_assert_cmpint (a->op, ==, b->op);
  g_assert_cmpstr (a->key, ==, b->key);
  g_assert_cmpstr (a->team, ==, b->team);
  g_assert_cmpstr (a->profile, ==, b->profile);
  g_assert_cmpstr (a->identity, ==, b->identity);
  g_assert_true (vp_task_id_equal (a->task, b->task));
  g_assert_cmpmem (&a->size, sizeof a->size, &b->size, sizeof b->size);
  g_assert_cmpuint (a->task_count, ==, b->task_count);
  g_assert_cmpint (a->is_repeatable, ==, b->is_repeatable);
  g_assert_cmpint (a->is_waiting, ==, b->is_waiting);
  g_assert_cmpint (a->deadline_ms, ==, b->deadline_ms);
  g_assert_cmpint (a->run_time_ms, ==, b->run_time_ms);
  g_assert_true (g_bytes_equal (a->payload, b->payload));
}

/* Guards against a field that is lost or changed between two entry processes. */
static void
test_round_trip (void)
{
  for (int kind = 0; kind < VP_PEER_KIND_COUNT; kind++) {
    VpPeerMessage in = _message ((VpPeerKind)kind), out;
    g_autoptr (GBytes) wire = vp_msg_encode (&in);
    g_autoptr (GBytes) again = NULL;

    g_assert_true (vp_msg_decode (wire, &out));
    again = vp_msg_encode (&out);
    g_assert_true (g_bytes_equal (wire, again));
    g_assert_cmpstr (in.address, ==, out.address);
    g_assert_cmpuint (in.announced_revision, ==, out.announced_revision);
    g_assert_cmpint (in.confirmed_age_ms, ==, out.confirmed_age_ms);
    g_assert_cmpint (in.duration_ms, ==, out.duration_ms);
    g_assert_cmpint (in.reason, ==, out.reason);
    g_assert_cmpmem (&in.shortage, sizeof in.shortage, &out.shortage, sizeof out.shortage);
    g_assert_true (g_bytes_equal (in.body, out.body));
    if (kind == VP_PEER_SUBMIT)
      _assert_request (in.request, out.request);
    vp_peer_message_clear (&in);
    vp_peer_message_clear (&out);
  }
}

/* Guards against a value out of range that is accepted and later used as an index or in a sum. */
static void
test_bounds (void)
{
  for (int i = 0; i < 13; i++) {
    VpPeerMessage in = _message (VP_PEER_SUBMIT), out;
    g_autoptr (GBytes) wire = NULL;

    switch (i) {
    case 0:
      in.kind = VP_PEER_KIND_COUNT;
      break;
    case 1:
      in.state = (VpTaskState)(VP_TASK_LOST + 1);
      break;
    case 2:
      in.reason = VP_REASON_COUNT;
      break;
    case 3:
      in.from[0] = '\0';
      break;
    case 4:
      in.dc[1] = '\n';
      break;
    case 5:
      in.shortage.mem_mib = -1;
      break;
    case 6:
      in.confirmed_age_ms = -2;
      break;
    case 7:
      in.request->task_count = VP_REQUEST_TASKS_MAX + 1;
      break;
    case 8:
      in.request->task_count = 0;
      break;
    case 9:
      in.request->size.cpu_milli = INT64_MAX;
      break;
    case 10:
      in.request->deadline_ms = -1;
      break;
    case 11:
      in.kind = VP_PEER_QUERY;
      break;
    default:
      in.duration_ms = INT64_MAX;
      break;
    }
    wire = vp_msg_encode (&in);
    g_assert_false (vp_msg_decode (wire, &out));
    g_assert_null (out.request);
    g_assert_null (out.body);
    vp_peer_message_clear (&in);
  }
}

static VpMsgSegment
_segment (void)
{
  VpMsgSegment s = { .epoch = 9, .is_sealed = true, .previous_version = 77 };
  VpLedgerRecord r = { .task = { 3, 4 },
                       .state = VP_TASK_DONE,
                       .reason = VP_REASON_NONE,
                       .digest = 5,
                       .attempt = 2,
                       .team = "nadi",
                       .profile = "p",
                       .worker = "w",
                       .size = { 1, 2, 3 },
                       .task_count = 1,
                       .arrived_ms = 10,
                       .start_by_ms = 11,
                       .run_time_ms = 12,
                       .ended_ms = 13,
                       .is_answer_cut = true };

  s.records = g_array_new (FALSE, TRUE, sizeof r);
  r.payload = g_bytes_new ("pp", 2);
  g_array_append_val (s.records, r);
  r.payload = NULL;
  r.answer = g_bytes_new_take (g_malloc0 (VP_LEDGER_ANSWER_MAX), VP_LEDGER_ANSWER_MAX);
  g_array_append_val (s.records, r);
  return s;
}

/* Guards against a record that changes when an owner reads it back, and against a size estimate
 * with which a segment exceeds the store's limit. */
static void
test_segment (void)
{
  VpMsgSegment in = _segment (), out;
  g_autoptr (GBytes) wire = vp_msg_encode_segment (&in);
  g_autoptr (GBytes) again = NULL, bad = NULL;
  size_t estimate = 0;

  g_assert_true (vp_msg_decode_segment (wire, &out));
  again = vp_msg_encode_segment (&out);
  g_assert_true (g_bytes_equal (wire, again));
  g_assert_cmpuint (out.epoch, ==, 9);
  g_assert_true (out.is_sealed);
  g_assert_cmpuint (out.previous_version, ==, 77);
  g_assert_cmpuint (out.records->len, ==, 2);
  g_assert_cmpint (g_array_index (out.records, VpLedgerRecord, 1).ended_ms, ==, 13);
  for (guint i = 0; i < in.records->len; i++)
    estimate += vp_msg_record_size (&g_array_index (in.records, VpLedgerRecord, i));
  g_assert_cmpuint (g_bytes_get_size (wire), <=, estimate);

  g_array_index (in.records, VpLedgerRecord, 1).state = VP_TASK_NONE;
  bad = vp_msg_encode_segment (&in);
  vp_msg_segment_clear (&out);
  g_assert_false (vp_msg_decode_segment (bad, &out));
  g_assert_null (out.records);
  vp_msg_segment_clear (&in);
}

/* Guards against an index with an endless or invalid range of segments that an owner would read. */
static void
test_index (void)
{
  static const struct {
    VpMsgIndex index;
    bool is_ok;
  } cases[] = {
    { { 1, 1, 1, 0, "a", 5 }, true },  { { 9, 3, 7, 8, "a", 5 }, true },
    { { 1, 0, 0, 0, "a", 5 }, false }, { { 1, 2, 1, 1, "a", 5 }, false },
    { { 1, 1, 3, 1, "a", 5 }, false }, { { 1, 1, 1, UINT64_MAX, "a", 5 }, false },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autoptr (GBytes) wire = vp_msg_encode_index (&cases[i].index);
    VpMsgIndex out;
    g_assert_cmpint (vp_msg_decode_index (wire, &out), ==, cases[i].is_ok);
    if (cases[i].is_ok)
      g_assert_cmpuint (out.last, ==, cases[i].index.last);
  }
}

/* Guards against a crash or a read past the end on damaged messages: all truncations and random
 * changes. Accepted bytes must be encoded to the same bytes again, so that a message has only one
 * form. */
static void
test_damaged (void)
{
  VpPeerMessage m = _message (VP_PEER_SUBMIT), out;
  VpMsgSegment s = _segment (), seg;
  GBytes *wires[] = { vp_msg_encode (&m), vp_msg_encode_segment (&s) };
  g_autoptr (GRand) rand = g_rand_new_with_seed (11);

  for (guint w = 0; w < 2; w++) {
    gsize size;
    const guchar *data = g_bytes_get_data (wires[w], &size);
    for (guint i = 0; i < 20000; i++) {
      g_autofree guchar *copy = g_memdup2 (data, size);
      gsize length = i < size ? i : size;
      g_autoptr (GBytes) wire = NULL, again = NULL;

      for (guint flips = i < size ? 0 : 1 + i % 3; flips > 0; flips--)
        copy[g_rand_int_range (rand, 0, MIN ((gint)size, 400))] = (guchar)g_rand_int (rand);
      wire = g_bytes_new (copy, length);
      if (w == 0 && vp_msg_decode (wire, &out)) {
        again = vp_msg_encode (&out);
        vp_peer_message_clear (&out);
      } else if (w == 1 && vp_msg_decode_segment (wire, &seg)) {
        again = vp_msg_encode_segment (&seg);
        vp_msg_segment_clear (&seg);
      }
      if (again != NULL)
        g_assert_true (g_bytes_equal (wire, again));
    }
    g_bytes_unref (wires[w]);
  }
  vp_peer_message_clear (&m);
  vp_msg_segment_clear (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/msg/round-trip", test_round_trip);
  g_test_add_func ("/msg/bounds", test_bounds);
  g_test_add_func ("/msg/segment", test_segment);
  g_test_add_func ("/msg/index", test_index);
  g_test_add_func ("/msg/damaged", test_damaged);
  return g_test_run ();
}
