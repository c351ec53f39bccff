#include "vp-msg.h"

#include <string.h>

/* Messages are encoded as GVariant values in little-endian byte order. */
#define VP_MSG_REQUEST_TYPE "(sssstt(xxx)ubbxxmay)"
#define VP_MSG_MESSAGE_TYPE "(qysttssttxtux(tt)yyss(xxx)m" VP_MSG_REQUEST_TYPE "may)"
#define VP_MSG_RECORD_TYPE  "((tt)yytussst(xxx)ubxxxxmaymayb)"
#define VP_MSG_INDEX_TYPE   "(qttttst)"
#define VP_MSG_SEGMENT_TYPE "(qtbta" VP_MSG_RECORD_TYPE ")"

/* Largest size in bytes of a record without its names, payload and answer: its fixed-size fields,
 * alignment, and framing offsets in a segment of up to 4 GiB. */
#define VP_MSG_RECORD_OVERHEAD 256

static GVariant *
_vp_msg_to_wire_order (GVariant *value)
{
  GVariant *swapped = G_BYTE_ORDER == G_BIG_ENDIAN ? g_variant_byteswap (value) : NULL;

  if (swapped == NULL)
    return value;
  g_variant_unref (value);
  return swapped;
}

/* Consumes @value, which may be floating. */
static GBytes *
_vp_msg_to_bytes (GVariant *value)
{
  GBytes *wire;

  value = _vp_msg_to_wire_order (g_variant_ref_sink (value));
  wire = g_variant_get_data_as_bytes (value);
  g_variant_unref (value);
  return wire;
}

/* Returns NULL unless @wire has at most @max bytes and is in normal form. */
static GVariant *
_vp_msg_from_bytes (GBytes *wire, const char *type, size_t max)
{
  GVariant *value;

  if (wire == NULL || g_bytes_get_size (wire) > max)
    return NULL;
  value = g_variant_new_from_bytes (G_VARIANT_TYPE (type), wire, FALSE);
  value = _vp_msg_to_wire_order (g_variant_ref_sink (value));
  if (!g_variant_is_normal_form (value)) {
    g_variant_unref (value);
    return NULL;
  }
  return value;
}

/* Names come from JSON and are UTF-8. Other text is replaced by an empty one, since its encoding
 * would not be in normal form. */
static const char *
_vp_msg_utf8_or_empty (const char *text)
{
  return g_utf8_validate (text, -1, NULL) ? text : "";
}

static GVariant *
_vp_msg_build_maybe_bytes (GBytes *bytes)
{
  GVariant *child = NULL;

  if (bytes != NULL)
    child = g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, bytes, TRUE);
  return g_variant_new_maybe (G_VARIANT_TYPE_BYTESTRING, child);
}

/* Consumes @maybe. */
static GBytes *
_vp_msg_take_bytes (GVariant *maybe)
{
  g_autoptr (GVariant) owned = maybe;
  g_autoptr (GVariant) child = g_variant_get_maybe (owned);

  if (child == NULL)
    return NULL;
  return g_bytes_new (g_variant_get_data (child), g_variant_get_size (child));
}

/* Copies a name. Returns false if @text is too long for @out or contains control characters. */
static bool
_vp_msg_copy_name (char *out, size_t out_size, const char *text)
{
  for (const char *c = text; *c != '\0'; c++) {
    if ((unsigned char)*c < 0x20 || *c == 0x7f)
      return false;
  }
  return vp_name_copy (out, out_size, text);
}

static bool
_vp_msg_are_resources_valid (const VpResources *resources)
{
  return vp_resources_is_valid (resources) && resources->cpu_milli <= VP_MSG_AMOUNT_MAX
         && resources->mem_mib <= VP_MSG_AMOUNT_MAX && resources->accel_count <= VP_MSG_AMOUNT_MAX;
}

static bool
_vp_msg_is_duration_valid (int64_t duration_ms)
{
  return duration_ms >= 0 && duration_ms <= VP_MSG_AMOUNT_MAX;
}

static GVariant *
_vp_msg_build_request (const VpRequest *request)
{
  return g_variant_new (
      "(sssstt(xxx)ubbxx@may)", _vp_msg_utf8_or_empty (request->key),
      _vp_msg_utf8_or_empty (request->team), _vp_msg_utf8_or_empty (request->profile),
      _vp_msg_utf8_or_empty (request->identity), request->task.hi, request->task.lo,
      request->size.cpu_milli, request->size.mem_mib, request->size.accel_count,
      request->task_count, (gboolean)request->is_repeatable, (gboolean)request->is_waiting,
      request->deadline_ms, request->run_time_ms, _vp_msg_build_maybe_bytes (request->payload));
}

/* Returns NULL if a field is out of range. */
static VpRequest *
_vp_msg_parse_request (GVariant *value)
{
  VpRequest *request = vp_request_new (VP_OP_SUBMIT);
  const char *key, *team, *profile, *identity;
  gboolean is_repeatable, is_waiting;
  GVariant *payload;
  bool is_ok;

  g_variant_get (value, "(&s&s&s&stt(xxx)ubbxx@may)", &key, &team, &profile, &identity,
                 &request->task.hi, &request->task.lo, &request->size.cpu_milli,
                 &request->size.mem_mib, &request->size.accel_count, &request->task_count,
                 &is_repeatable, &is_waiting, &request->deadline_ms, &request->run_time_ms,
                 &payload);
  request->is_repeatable = is_repeatable;
  request->is_waiting = is_waiting;
  request->payload = _vp_msg_take_bytes (payload);
  is_ok = _vp_msg_copy_name (request->key, sizeof request->key, key)
          && _vp_msg_copy_name (request->team, sizeof request->team, team) && *team != '\0'
          && _vp_msg_copy_name (request->profile, sizeof request->profile, profile)
          && *profile != '\0'
          && _vp_msg_copy_name (request->identity, sizeof request->identity, identity)
          && _vp_msg_are_resources_valid (&request->size) && request->task_count >= 1
          && request->task_count <= VP_REQUEST_TASKS_MAX
          && _vp_msg_is_duration_valid (request->deadline_ms)
          && _vp_msg_is_duration_valid (request->run_time_ms);
  if (!is_ok)
    g_clear_pointer (&request, vp_request_unref);
  return request;
}

GBytes *
vp_msg_encode (const VpPeerMessage *message)
{
  GVariant *request = message->request != NULL ? _vp_msg_build_request (message->request) : NULL;

  return _vp_msg_to_bytes (g_variant_new (
      "(qysttssttxtux(tt)yyss(xxx)@m" VP_MSG_REQUEST_TYPE "@may)", (guint16)VP_MSG_VERSION,
      (guchar)message->kind, _vp_msg_utf8_or_empty (message->from), message->boot,
      message->correlation, _vp_msg_utf8_or_empty (message->dc),
      _vp_msg_utf8_or_empty (message->address), message->revision, message->announced_revision,
      message->confirmed_age_ms, message->epoch, message->load_milli, message->duration_ms,
      message->task.hi, message->task.lo, (guchar)message->state, (guchar)message->reason,
      _vp_msg_utf8_or_empty (message->team), _vp_msg_utf8_or_empty (message->worker),
      message->shortage.cpu_milli, message->shortage.mem_mib, message->shortage.accel_count,
      g_variant_new_maybe (G_VARIANT_TYPE (VP_MSG_REQUEST_TYPE), request),
      _vp_msg_build_maybe_bytes (message->body)));
}

/* Decodes all fields but the request, which is stored in @request. Returns false if a field is out
 * of range. */
static bool
_vp_msg_parse_message (GVariant *value, VpPeerMessage *out, GVariant **request)
{
  const char *from, *dc, *address, *team, *worker;
  guint16 version;
  guchar kind, state, reason;
  GVariant *body;

  g_variant_get (value, "(qy&stt&s&sttxtux(tt)yy&s&s(xxx)@m" VP_MSG_REQUEST_TYPE "@may)", &version,
                 &kind, &from, &out->boot, &out->correlation, &dc, &address, &out->revision,
                 &out->announced_revision, &out->confirmed_age_ms, &out->epoch, &out->load_milli,
                 &out->duration_ms, &out->task.hi, &out->task.lo, &state, &reason, &team, &worker,
                 &out->shortage.cpu_milli, &out->shortage.mem_mib, &out->shortage.accel_count,
                 request, &body);
  out->body = _vp_msg_take_bytes (body);
  out->kind = (VpPeerKind)kind;
  out->state = (VpTaskState)state;
  out->reason = (VpReason)reason;
  return version == VP_MSG_VERSION && kind < VP_PEER_KIND_COUNT && state <= VP_TASK_LOST
         && reason < VP_REASON_COUNT && _vp_msg_copy_name (out->from, sizeof out->from, from)
         && *from != '\0' && _vp_msg_copy_name (out->dc, sizeof out->dc, dc)
         && _vp_msg_copy_name (out->address, sizeof out->address, address)
         && _vp_msg_copy_name (out->team, sizeof out->team, team)
         && _vp_msg_copy_name (out->worker, sizeof out->worker, worker)
         && _vp_msg_are_resources_valid (&out->shortage) && out->confirmed_age_ms >= -1
         && _vp_msg_is_duration_valid (out->duration_ms);
}

bool
vp_msg_decode (GBytes *wire, VpPeerMessage *out)
{
  g_autoptr (GVariant) value = _vp_msg_from_bytes (wire, VP_MSG_MESSAGE_TYPE, VP_MSG_BYTES_MAX);
  g_autoptr (GVariant) maybe = NULL;
  g_autoptr (GVariant) request = NULL;
  bool is_ok;

  memset (out, 0, sizeof *out);
  if (value == NULL)
    return false;
  is_ok = _vp_msg_parse_message (value, out, &maybe);
  request = g_variant_get_maybe (maybe);
  if (is_ok && request != NULL)
    out->request = _vp_msg_parse_request (request);
  /* SUBMIT messages contain a request, all other messages contain none. */
  is_ok = is_ok && (request != NULL) == (out->kind == VP_PEER_SUBMIT)
          && (request != NULL) == (out->request != NULL);
  if (!is_ok) {
    vp_peer_message_clear (out);
    memset (out, 0, sizeof *out);
  }
  return is_ok;
}

static GVariant *
_vp_msg_build_record (const VpLedgerRecord *record)
{
  return g_variant_new (
      "((tt)yytussst(xxx)ubxxxx@may@mayb)", record->task.hi, record->task.lo, (guchar)record->state,
      (guchar)record->reason, record->digest, record->attempt, _vp_msg_utf8_or_empty (record->team),
      _vp_msg_utf8_or_empty (record->profile), _vp_msg_utf8_or_empty (record->worker),
      record->worker_boot, record->size.cpu_milli, record->size.mem_mib, record->size.accel_count,
      record->task_count, (gboolean)record->is_repeatable, record->arrived_ms, record->start_by_ms,
      record->run_time_ms, record->ended_ms, _vp_msg_build_maybe_bytes (record->payload),
      _vp_msg_build_maybe_bytes (record->answer), (gboolean)record->is_answer_cut);
}

/* Returns false if a field is out of range. @out owns its GBytes in both cases. */
static bool
_vp_msg_parse_record (GVariant *value, VpLedgerRecord *out)
{
  const char *team, *profile, *worker;
  guchar state, reason;
  gboolean is_repeatable, is_answer_cut;
  GVariant *payload, *answer;

  memset (out, 0, sizeof *out);
  g_variant_get (value, "((tt)yytu&s&s&st(xxx)ubxxxx@may@mayb)", &out->task.hi, &out->task.lo,
                 &state, &reason, &out->digest, &out->attempt, &team, &profile, &worker,
                 &out->worker_boot, &out->size.cpu_milli, &out->size.mem_mib,
                 &out->size.accel_count, &out->task_count, &is_repeatable, &out->arrived_ms,
                 &out->start_by_ms, &out->run_time_ms, &out->ended_ms, &payload, &answer,
                 &is_answer_cut);
  out->payload = _vp_msg_take_bytes (payload);
  out->answer = _vp_msg_take_bytes (answer);
  out->state = (VpTaskState)state;
  out->reason = (VpReason)reason;
  out->is_repeatable = is_repeatable;
  out->is_answer_cut = is_answer_cut;
  return state > VP_TASK_NONE && state <= VP_TASK_LOST && reason < VP_REASON_COUNT
         && _vp_msg_copy_name (out->team, sizeof out->team, team)
         && _vp_msg_copy_name (out->profile, sizeof out->profile, profile)
         && _vp_msg_copy_name (out->worker, sizeof out->worker, worker)
         && _vp_msg_are_resources_valid (&out->size) && out->task_count <= VP_REQUEST_TASKS_MAX
         && out->arrived_ms >= 0 && out->start_by_ms >= 0 && out->run_time_ms >= 0
         && out->ended_ms >= 0
         && (out->answer == NULL || g_bytes_get_size (out->answer) <= VP_LEDGER_ANSWER_MAX);
}

GBytes *
vp_msg_encode_segment (const VpMsgSegment *segment)
{
  GVariantBuilder records;
  guint count = segment->records != NULL ? segment->records->len : 0;

  g_variant_builder_init (&records, G_VARIANT_TYPE ("a" VP_MSG_RECORD_TYPE));
  for (guint i = 0; i < count; i++)
    g_variant_builder_add_value (
        &records, _vp_msg_build_record (&g_array_index (segment->records, VpLedgerRecord, i)));
  return _vp_msg_to_bytes (g_variant_new ("(qtbta" VP_MSG_RECORD_TYPE ")", (guint16)VP_MSG_VERSION,
                                          segment->epoch, (gboolean)segment->is_sealed,
                                          segment->previous_version, &records));
}

bool
vp_msg_decode_segment (GBytes *wire, VpMsgSegment *out)
{
  g_autoptr (GVariant) value = _vp_msg_from_bytes (wire, VP_MSG_SEGMENT_TYPE, VP_MSG_BYTES_MAX);
  g_autoptr (GVariant) records = NULL;
  guint16 version;
  gboolean is_sealed;
  bool is_ok;

  memset (out, 0, sizeof *out);
  if (value == NULL)
    return false;
  g_variant_get (value, "(qtbt@a" VP_MSG_RECORD_TYPE ")", &version, &out->epoch, &is_sealed,
                 &out->previous_version, &records);
  out->is_sealed = is_sealed;
  out->records = g_array_new (FALSE, TRUE, sizeof (VpLedgerRecord));
  is_ok = version == VP_MSG_VERSION;
  for (gsize i = 0; is_ok && i < g_variant_n_children (records); i++) {
    g_autoptr (GVariant) child = g_variant_get_child_value (records, i);
    VpLedgerRecord record;
    is_ok = _vp_msg_parse_record (child, &record);
    g_array_append_val (out->records, record);
  }
  if (!is_ok)
    vp_msg_segment_clear (out);
  return is_ok;
}

GBytes *
vp_msg_encode_index (const VpMsgIndex *index)
{
  return _vp_msg_to_bytes (g_variant_new (VP_MSG_INDEX_TYPE, (guint16)VP_MSG_VERSION, index->epoch,
                                          index->trim, index->first, index->last,
                                          _vp_msg_utf8_or_empty (index->member), index->opened_ms));
}

bool
vp_msg_decode_index (GBytes *wire, VpMsgIndex *out)
{
  g_autoptr (GVariant) value = _vp_msg_from_bytes (wire, VP_MSG_INDEX_TYPE, VP_MSG_BYTES_MAX);
  const char *member;
  guint16 version;

  memset (out, 0, sizeof *out);
  if (value == NULL)
    return false;
  g_variant_get (value, "(qtttt&st)", &version, &out->epoch, &out->trim, &out->first, &out->last,
                 &member, &out->opened_ms);
  /* A ledger without segments has a last segment of first - 1. */
  return version == VP_MSG_VERSION && out->first >= 1 && out->trim <= out->first
         && out->first - 1 <= out->last && out->last < UINT32_MAX
         && _vp_msg_copy_name (out->member, sizeof out->member, member);
}

size_t
vp_msg_record_size (const VpLedgerRecord *record)
{
  size_t size = VP_MSG_RECORD_OVERHEAD;

  size += strlen (record->team) + strlen (record->profile) + strlen (record->worker);
  size += record->payload != NULL ? g_bytes_get_size (record->payload) : 0;
  size += record->answer != NULL ? g_bytes_get_size (record->answer) : 0;
  return size;
}

void
vp_msg_segment_clear (VpMsgSegment *segment)
{
  for (guint i = 0; segment->records != NULL && i < segment->records->len; i++)
    vp_ledger_record_clear (&g_array_index (segment->records, VpLedgerRecord, i));
  g_clear_pointer (&segment->records, g_array_unref);
  memset (segment, 0, sizeof *segment);
}

void
vp_ledger_record_clear (VpLedgerRecord *record)
{
  g_clear_pointer (&record->payload, g_bytes_unref);
  g_clear_pointer (&record->answer, g_bytes_unref);
}

void
vp_ledger_record_copy (VpLedgerRecord *to, const VpLedgerRecord *from)
{
  *to = *from;
  if (to->payload != NULL)
    g_bytes_ref (to->payload);
  if (to->answer != NULL)
    g_bytes_ref (to->answer);
}
