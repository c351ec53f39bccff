#include "vp-ledger-private.h"

#include <string.h>

static void
_vp_ledger_read_free (gpointer data)
{
  VpLedgerSegmentRead *read = data;

  vp_msg_segment_clear (&read->content);
  g_free (read);
}

void
_vp_ledger_opening_clear (VpLedger *ledger)
{
  VpLedgerOpening *opening = &ledger->opening;

  g_clear_pointer (&opening->sent_value, g_bytes_unref);
  g_clear_pointer (&opening->reads, g_ptr_array_unref);
  memset (opening, 0, sizeof *opening);
}

static void
_vp_ledger_set_phase (VpLedger *ledger, VpLedgerPhase phase)
{
  VpLedgerOpening *opening = &ledger->opening;

  opening->phase = phase;
  opening->token = 0;
  opening->retry_ms = 0;
  g_clear_pointer (&opening->sent_value, g_bytes_unref);
}

static VpLedgerSegmentRead *
_vp_ledger_read_at (const VpLedger *ledger, guint index)
{
  return g_ptr_array_index (ledger->opening.reads, index);
}

static VpLedgerSegmentRead *
_vp_ledger_add_read (VpLedger *ledger)
{
  VpLedgerSegmentRead *read = g_new0 (VpLedgerSegmentRead, 1);

  read->number = ledger->index.first + ledger->opening.reads->len;
  g_ptr_array_add (ledger->opening.reads, read);
  return read;
}

/* Last segment in the list of reads; NULL if the list is empty. */
static VpLedgerSegmentRead *
_vp_ledger_last_read (const VpLedger *ledger)
{
  const GPtrArray *reads = ledger->opening.reads;

  return reads != NULL && reads->len > 0 ? g_ptr_array_index (reads, reads->len - 1) : NULL;
}

/* Encodes the index with a raised epoch. Once it is written, an earlier owner can't change the
 * index any more. */
static GBytes *
_vp_ledger_encode_raised_index (VpLedger *ledger)
{
  VpMsgIndex *index = &ledger->index;

  if (ledger->index_version == 0)
    *index = (VpMsgIndex){ .trim = 1, .first = 1 };
  index->epoch++;
  /* After a stale read of the index, the epoch equals that of the last opening. The value must
   * differ all the same, or the conflict would be taken for a lost response to this write. */
  index->opened_ms = (uint64_t)ledger->opened_ms;
  g_strlcpy (index->member, ledger->desc.member, sizeof index->member);
  return vp_msg_encode_index (index);
}

/* Encodes the last segment with this epoch. Once it is written, a write of an earlier owner to the
 * segment conflicts. */
static GBytes *
_vp_ledger_encode_sealed_segment (const VpLedger *ledger, VpLedgerSegmentRead *last)
{
  const GPtrArray *reads = ledger->opening.reads;

  g_assert (reads != NULL && last != NULL);
  last->content.epoch = ledger->index.epoch;
  last->content.is_sealed = true;
  if (reads->len > 1)
    last->content.previous_version = MAX (last->content.previous_version,
                                          _vp_ledger_read_at (ledger, reads->len - 2)->version);
  return vp_msg_encode_segment (&last->content);
}

static GBytes *
_vp_ledger_encode_empty_segment (const VpLedger *ledger)
{
  const VpLedgerSegmentRead *last = _vp_ledger_last_read (ledger);
  VpMsgSegment content
      = { .epoch = ledger->index.epoch, .previous_version = last != NULL ? last->version : 0 };

  return vp_msg_encode_segment (&content);
}

static void
_vp_ledger_send_phase (VpLedger *ledger, VpEffects *effects)
{
  VpLedgerOpening *opening = &ledger->opening;
  VpLedgerSegmentRead *last = _vp_ledger_last_read (ledger);
  uint64_t next = ledger->index.first;
  VpStoreOp *op;

  if (opening->phase == VP_LEDGER_READ_INDEX) {
    op = _vp_ledger_store_op (ledger, VP_STORE_GET, "index", 0, effects);
  } else if (opening->phase == VP_LEDGER_RAISE_EPOCH) {
    if (opening->sent_value == NULL)
      opening->sent_value = _vp_ledger_encode_raised_index (ledger);
    op = _vp_ledger_store_op (ledger, VP_STORE_CAS, "index", 0, effects);
    op->version = ledger->index_version;
  } else if (opening->phase == VP_LEDGER_SEAL_LAST) {
    g_assert (last != NULL);
    if (opening->sent_value == NULL)
      opening->sent_value = _vp_ledger_encode_sealed_segment (ledger, last);
    op = _vp_ledger_store_op (ledger, VP_STORE_CAS, NULL, last->number, effects);
    op->version = last->version;
  } else {
    if (last != NULL)
      next = last->number + 1;
    if (opening->sent_value == NULL)
      opening->sent_value = _vp_ledger_encode_empty_segment (ledger);
    op = _vp_ledger_store_op (ledger, VP_STORE_CAS, NULL, next, effects);
  }
  if (opening->sent_value != NULL)
    op->value = g_bytes_ref (opening->sent_value);
  opening->token = op->token;
}

static void
_vp_ledger_send_read (VpLedger *ledger, VpLedgerSegmentRead *read, VpEffects *effects)
{
  read->token = _vp_ledger_store_op (ledger, VP_STORE_GET, NULL, read->number, effects)->token;
}

/* Position in the list of reads of the first segment that does not exist; G_MAXUINT if it is not
 * known yet. If a segment that the index names seems to be missing, the read was stale. */
static guint
_vp_ledger_find_end (const VpLedger *ledger)
{
  for (guint i = 0; i < ledger->opening.reads->len; i++) {
    const VpLedgerSegmentRead *read = _vp_ledger_read_at (ledger, i);
    if (!read->is_known)
      return G_MAXUINT;
    if (read->version == 0 && read->number > ledger->index.last)
      return i;
  }
  return G_MAXUINT;
}

/* Keeps several reads in flight until the first missing segment was found. */
static void
_vp_ledger_read_segments (VpLedger *ledger, VpEffects *effects)
{
  VpLedgerOpening *opening = &ledger->opening;
  bool has_missing = false;
  guint in_flight = 0;
  guint end = _vp_ledger_find_end (ledger);

  if (end != G_MAXUINT) {
    g_ptr_array_set_size (opening->reads, (gint)end);
    _vp_ledger_set_phase (ledger, end > 0 ? VP_LEDGER_SEAL_LAST : VP_LEDGER_CREATE_SEGMENT);
    _vp_ledger_send_phase (ledger, effects);
    return;
  }
  for (guint i = 0; i < opening->reads->len; i++) {
    const VpLedgerSegmentRead *read = _vp_ledger_read_at (ledger, i);
    in_flight += read->token != 0 ? 1 : 0;
    has_missing = has_missing || (read->is_known && read->version == 0);
  }
  for (guint i = 0; in_flight < VP_LEDGER_READS_MAX; i++) {
    if (i >= opening->reads->len && has_missing
        && ledger->index.first + opening->reads->len > ledger->index.last)
      break;
    VpLedgerSegmentRead *read
        = i < opening->reads->len ? _vp_ledger_read_at (ledger, i) : _vp_ledger_add_read (ledger);
    if (read->is_known || read->token != 0)
      continue;
    _vp_ledger_send_read (ledger, read, effects);
    in_flight++;
  }
}

/* Loads the records of one segment; later versions replace earlier ones. */
static void
_vp_ledger_load_segment (VpLedger *ledger, VpLedgerSegmentRead *read)
{
  VpLedgerSegment *segment
      = _vp_ledger_add_segment (ledger, read->number, read->version, read->bytes);

  for (guint i = 0; read->content.records != NULL && i < read->content.records->len; i++) {
    VpLedgerRecord *record = &g_array_index (read->content.records, VpLedgerRecord, i);
    VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, record->task);
    if (entry == NULL) {
      entry = g_new0 (VpLedgerEntry, 1);
      entry->record.task = record->task;
      g_hash_table_insert (ledger->entries, &entry->record.task, entry);
    }
    vp_ledger_record_clear (&entry->record);
    vp_ledger_record_copy (&entry->record, record);
    entry->seq = entry->durable_seq = ++ledger->next_seq;
    _vp_ledger_set_location (ledger, entry, segment, vp_msg_record_size (record));
  }
}

static gint
_vp_ledger_compare_ended (gconstpointer a, gconstpointer b)
{
  const VpLedgerEntry *x = *(const VpLedgerEntry *const *)a;
  const VpLedgerEntry *y = *(const VpLedgerEntry *const *)b;

  return (x->record.ended_ms > y->record.ended_ms) - (x->record.ended_ms < y->record.ended_ms);
}

static void
_vp_ledger_queue_expiry (VpLedger *ledger)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, ledger->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (entries, value);
  g_ptr_array_sort (entries, _vp_ledger_compare_ended);
  for (guint i = 0; i < entries->len; i++)
    _vp_ledger_schedule_expiry (ledger, g_ptr_array_index (entries, i));
}

static void
_vp_ledger_finish_opening (VpLedger *ledger, VpEffects *effects)
{
  VpLedgerOpening *opening = &ledger->opening;
  guint count = opening->reads->len;

  for (guint i = 0; i < count; i++)
    _vp_ledger_load_segment (ledger, _vp_ledger_read_at (ledger, i));
  _vp_ledger_queue_expiry (ledger);
  for (uint64_t number = ledger->index.trim; number < ledger->index.first; number++) {
    VpLedgerDeletion deletion = { number, 0 };
    g_array_append_val (ledger->deletions, deletion);
  }
  /* The last segment is the empty one that this owner created. */
  ledger->current.epoch = ledger->index.epoch;
  ledger->current.previous_version = _vp_ledger_last_read (ledger)->content.previous_version;
  ledger->current.records = g_array_new (FALSE, TRUE, sizeof (VpLedgerRecord));
  _vp_ledger_opening_clear (ledger);
  ledger->state = VP_LEDGER_OPEN;
  vp_effects_log (effects, G_LOG_LEVEL_MESSAGE,
                  "opened the ledger of DC %s: epoch %" G_GUINT64_FORMAT
                  ", %u segments, %u records",
                  ledger->desc.dc, ledger->index.epoch, count, g_hash_table_size (ledger->entries));
}

/* Checks the version of each segment against the next segment, which names it. A segment that was
 * read with a lower version comes from a stale read and may lack records, so it is read again. The
 * newest segments were checked by CAS. */
static void
_vp_ledger_verify_versions (VpLedger *ledger, int64_t now_ms, VpEffects *effects)
{
  VpLedgerOpening *opening = &ledger->opening;
  bool is_waiting = false;

  for (guint i = opening->reads->len - 1; i > 0; i--) {
    const VpLedgerSegmentRead *next = _vp_ledger_read_at (ledger, i);
    VpLedgerSegmentRead *read = _vp_ledger_read_at (ledger, i - 1);
    if (read->version >= next->content.previous_version)
      continue;
    is_waiting = true;
    if (read->token != 0)
      continue;
    if (opening->retry_ms == 0)
      opening->retry_ms = now_ms + VP_LEDGER_RETRY_MS;
    else if (now_ms >= opening->retry_ms)
      _vp_ledger_send_read (ledger, read, effects);
  }
  if (!is_waiting)
    _vp_ledger_finish_opening (ledger, effects);
  else if (now_ms >= opening->retry_ms)
    opening->retry_ms = 0;
}

void
_vp_ledger_opening_tick (VpLedger *ledger, int64_t now_ms, VpEffects *effects)
{
  VpLedgerOpening *opening = &ledger->opening;

  if (opening->reads == NULL)
    opening->reads = g_ptr_array_new_with_free_func (_vp_ledger_read_free);
  if (opening->phase == VP_LEDGER_VERIFY_VERSIONS) {
    _vp_ledger_verify_versions (ledger, now_ms, effects);
    return;
  }
  if (now_ms < opening->retry_ms)
    return;
  opening->retry_ms = 0;
  if (opening->phase == VP_LEDGER_READ_SEGMENTS)
    _vp_ledger_read_segments (ledger, effects);
  else if (opening->token == 0)
    _vp_ledger_send_phase (ledger, effects);
}

/* Decodes a segment that a read or a conflict returned; false if it can't be decoded. */
static bool
_vp_ledger_decode_read (VpLedgerSegmentRead *read, const VpStoreResult *result)
{
  read->is_known = true;
  read->version = 0;
  vp_msg_segment_clear (&read->content);
  if (result->value == NULL || result->version == 0)
    return true;
  read->version = result->version;
  read->bytes = g_bytes_get_size (result->value);
  return vp_msg_decode_segment (result->value, &read->content);
}

static void
_vp_ledger_report_damaged (VpLedger *ledger, const char *key, int64_t now_ms, VpEffects *effects)
{
  vp_effects_log (effects, G_LOG_LEVEL_CRITICAL, "the store value %s can't be decoded", key);
  ledger->opening.retry_ms = now_ms + 10 * VP_LEDGER_RETRY_MS;
}

static void
_vp_ledger_read_result (VpLedger *ledger,
                        const VpStoreResult *result,
                        int64_t now_ms,
                        VpEffects *effects)
{
  VpLedgerSegmentRead *read = NULL;

  for (guint i = 0; i < ledger->opening.reads->len && read == NULL; i++) {
    if (_vp_ledger_read_at (ledger, i)->token == result->token)
      read = _vp_ledger_read_at (ledger, i);
  }
  if (read == NULL)
    return;
  read->token = 0;
  if (result->status != VP_STORE_OK && result->status != VP_STORE_NOT_FOUND) {
    ledger->opening.retry_ms = now_ms + VP_LEDGER_RETRY_MS;
  } else if (!_vp_ledger_decode_read (read, result)) {
    read->is_known = false;
    _vp_ledger_report_damaged (ledger, result->key, now_ms, effects);
  } else if (read->content.epoch > ledger->index.epoch) {
    _vp_ledger_fence (ledger, effects);
  }
}

static void
_vp_ledger_handle_index (VpLedger *ledger,
                         const VpStoreResult *result,
                         int64_t now_ms,
                         VpEffects *effects)
{
  ledger->index_version = 0;
  if (result->value != NULL && result->version != 0) {
    if (!vp_msg_decode_index (result->value, &ledger->index)) {
      _vp_ledger_set_phase (ledger, VP_LEDGER_READ_INDEX);
      _vp_ledger_report_damaged (ledger, result->key, now_ms, effects);
      return;
    }
    ledger->index_version = result->version;
  }
  _vp_ledger_set_phase (ledger, VP_LEDGER_RAISE_EPOCH);
}

/* Ends a phase whose CAS took effect and enters the next one. */
static void
_vp_ledger_phase_done (VpLedger *ledger, uint64_t version)
{
  VpLedgerOpening *opening = &ledger->opening;
  VpLedgerSegmentRead *read;

  switch (opening->phase) {
  case VP_LEDGER_RAISE_EPOCH:
    ledger->index_version = version;
    _vp_ledger_set_phase (ledger, VP_LEDGER_READ_SEGMENTS);
    break;
  case VP_LEDGER_SEAL_LAST:
    read = _vp_ledger_last_read (ledger);
    read->version = version;
    read->bytes = g_bytes_get_size (opening->sent_value);
    _vp_ledger_set_phase (ledger, VP_LEDGER_CREATE_SEGMENT);
    break;
  case VP_LEDGER_CREATE_SEGMENT:
    read = _vp_ledger_add_read (ledger);
    read->is_known = true;
    read->version = version;
    read->bytes = g_bytes_get_size (opening->sent_value);
    vp_msg_decode_segment (opening->sent_value, &read->content);
    _vp_ledger_set_phase (ledger, VP_LEDGER_VERIFY_VERSIONS);
    break;
  case VP_LEDGER_READ_INDEX:
  case VP_LEDGER_READ_SEGMENTS:
  case VP_LEDGER_VERIFY_VERSIONS:
    break;
  }
}

/* Handles a conflict of the phase's CAS: either an earlier owner wrote in between, whose write
 * counts, or a later owner did, which fences this one. */
static void
_vp_ledger_phase_conflict (VpLedger *ledger,
                           const VpStoreResult *result,
                           int64_t now_ms,
                           VpEffects *effects)
{
  VpLedgerSegmentRead *read;

  if (ledger->opening.phase == VP_LEDGER_RAISE_EPOCH) {
    _vp_ledger_handle_index (ledger, result, now_ms, effects);
    return;
  }
  read = ledger->opening.phase == VP_LEDGER_CREATE_SEGMENT ? _vp_ledger_add_read (ledger)
                                                           : _vp_ledger_last_read (ledger);
  _vp_ledger_set_phase (ledger, VP_LEDGER_SEAL_LAST);
  if (!_vp_ledger_decode_read (read, result))
    _vp_ledger_report_damaged (ledger, result->key, now_ms, effects);
  else if (read->content.epoch > ledger->index.epoch)
    _vp_ledger_fence (ledger, effects);
}

static void
_vp_ledger_phase_result (VpLedger *ledger,
                         const VpStoreResult *result,
                         int64_t now_ms,
                         VpEffects *effects)
{
  VpLedgerOpening *opening = &ledger->opening;
  bool is_own = opening->sent_value != NULL && result->value != NULL
                && g_bytes_equal (opening->sent_value, result->value);

  opening->token = 0;
  if (result->status == VP_STORE_UNAVAILABLE || result->status == VP_STORE_UNKNOWN)
    opening->retry_ms = now_ms + VP_LEDGER_RETRY_MS;
  else if (opening->phase == VP_LEDGER_READ_INDEX)
    _vp_ledger_handle_index (ledger, result, now_ms, effects);
  else if (result->status == VP_STORE_OK || is_own)
    _vp_ledger_phase_done (ledger, result->version);
  else
    _vp_ledger_phase_conflict (ledger, result, now_ms, effects);
}

void
_vp_ledger_opening_result (VpLedger *ledger,
                           const VpStoreResult *result,
                           int64_t now_ms,
                           VpEffects *effects)
{
  if (result->token == ledger->opening.token)
    _vp_ledger_phase_result (ledger, result, now_ms, effects);
  else
    _vp_ledger_read_result (ledger, result, now_ms, effects);
}
