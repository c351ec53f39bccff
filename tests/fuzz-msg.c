#include "fuzz.h"
#include "vp-msg.h"

/* Guards against a peer message, ledger segment or index that is read past its end, and against
 * accepted bytes that are not encoded to the same bytes again. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GBytes) wire = g_bytes_new (data, size);
  VpPeerMessage message = { 0 };
  VpMsgSegment segment = { 0 };
  VpMsgIndex index = { 0 };

  if (vp_msg_decode (wire, &message)) {
    g_autoptr (GBytes) again = vp_msg_encode (&message);
    g_assert_true (g_bytes_equal (wire, again));
    vp_peer_message_clear (&message);
  }
  if (vp_msg_decode_segment (wire, &segment)) {
    g_autoptr (GBytes) again = vp_msg_encode_segment (&segment);
    g_assert_true (g_bytes_equal (wire, again));
    vp_msg_segment_clear (&segment);
  }
  if (vp_msg_decode_index (wire, &index)) {
    g_autoptr (GBytes) again = vp_msg_encode_index (&index);
    g_assert_true (g_bytes_equal (wire, again));
  }
  return 0;
}
