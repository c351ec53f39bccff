/* Encoding of peer messages, ledger segments and the ledger's index with GVariant.
 *
 *   GBytes *wire = vp_msg_encode (&message);
 *   VpPeerMessage in;
 *   if (!vp_msg_decode (wire, &in))
 *     ... count the message as malformed and drop it ...
 *   vp_peer_message_clear (&in);
 *
 * The decoding functions accept any bytes. They return false if the bytes are not in GVariant's
 * normal form or have another version, or if a name or number is out of range.
 */
#pragma once

#include "vp-event.h"
#include "vp-ledger.h"

#define VP_MSG_VERSION 1

#define VP_MSG_BYTES_MAX (16 * 1024 * 1024) /* longest encoding that is decoded */
/* Largest amount of a resource, and longest duration in milliseconds. Sums of them can't overflow.
 */
#define VP_MSG_AMOUNT_MAX ((int64_t)1 << 44)

GBytes *vp_msg_encode (const VpPeerMessage *message);
bool vp_msg_decode (GBytes *wire, VpPeerMessage *out);

/* A segment of the ledger. A later record of a task replaces an earlier one. */
typedef struct {
  uint64_t epoch; /* ownership epoch of the last writer */
  bool is_sealed; /* a later owner rewrote it, so that writes of earlier owners conflict */
  uint64_t previous_version; /* of the preceding segment when this one was written; 0 if none */
  GArray *records;           /* VpLedgerRecord; elements own their GBytes */
} VpMsgSegment;

GBytes *vp_msg_encode_segment (const VpMsgSegment *segment);
bool vp_msg_decode_segment (GBytes *wire, VpMsgSegment *out);
/* Returns the largest number of bytes that @record can take in an encoded segment. */
size_t vp_msg_record_size (const VpLedgerRecord *record);

/* The index of a ledger: the range of its segments and the entry process that owns them. */
typedef struct {
  uint64_t epoch;
  uint64_t trim;  /* segments from this one to the one before @first may still have to be deleted */
  uint64_t first; /* oldest valid segment */
  uint64_t last;  /* newest segment when the index was written; newer ones may exist */
  char member[VP_NAME_MAX];
  uint64_t opened_ms; /* when @member opened the ledger; makes the index of each opening unique */
} VpMsgIndex;

GBytes *vp_msg_encode_index (const VpMsgIndex *index);
bool vp_msg_decode_index (GBytes *wire, VpMsgIndex *out);

void vp_msg_segment_clear (VpMsgSegment *segment);
void vp_ledger_record_clear (VpLedgerRecord *record);
void vp_ledger_record_copy (VpLedgerRecord *to, const VpLedgerRecord *from);
