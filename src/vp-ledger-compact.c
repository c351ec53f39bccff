#include "vp-ledger-private.h"

/* Forgets records that have been final for longer than the retention time. */
static void
_vp_ledger_expire (VpLedger *ledger, int64_t now_ms)
{
  const VpTaskId *head;

  while ((head = g_queue_peek_head (&ledger->expiring)) != NULL) {
    VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, *head);
    bool is_settled;

    if (entry != NULL && entry->record.ended_ms + ledger->desc.retention_ms > now_ms)
      return;
    g_free (g_queue_pop_head (&ledger->expiring));
    if (entry == NULL)
      continue;
    entry->is_expiring = false;
    is_settled = !entry->is_in_flight && !entry->is_dirty && entry->durable_seq == entry->seq;
    if (is_settled && vp_task_state_is_final (entry->record.state)) {
      _vp_ledger_set_location (ledger, entry, NULL, 0);
      g_hash_table_remove (ledger->entries, &entry->record.task);
    }
  }
}

/* True if replaced and expired records make up more than half of the bytes, or more than a quarter
 * while three quarters of the possible segments are in use. */
static bool
_vp_ledger_needs_compaction (const VpLedger *ledger)
{
  size_t slack = VP_LEDGER_TRIM_BATCH * (size_t)ledger->desc.segment_bytes;

  return ledger->total_bytes > 2 * ledger->live_bytes + slack
         || (ledger->segments->len * 4 >= ledger->desc.segments_max * 3
             && ledger->live_bytes < ledger->total_bytes / 4 * 3);
}

/* Queues the live records of the oldest segment that has any, to be written to the current
 * segment. */
static void
_vp_ledger_copy_forward (VpLedger *ledger)
{
  VpLedgerSegment *segment = NULL;

  for (guint i = 0; i + 1 < ledger->segments->len; i++) {
    segment = g_ptr_array_index (ledger->segments, i);
    if (segment->live_count > 0)
      break;
  }
  if (segment == NULL || segment->live_count == 0 || segment->is_copied)
    return;
  segment->is_copied = true;
  for (guint i = 0; i < segment->tasks->len; i++) {
    VpLedgerEntry *entry
        = _vp_ledger_find_entry (ledger, g_array_index (segment->tasks, VpTaskId, i));
    /* A record in flight is being written to the current segment already. */
    if (entry != NULL && entry->segment == segment->number && !entry->is_in_flight)
      _vp_ledger_mark_dirty (ledger, entry);
  }
}

static void
_vp_ledger_send_index (VpLedger *ledger, VpEffects *effects)
{
  VpStoreOp *op = _vp_ledger_store_op (ledger, VP_STORE_CAS, "index", 0, effects);

  op->version = ledger->index_version;
  op->value = g_bytes_ref (ledger->trim_value);
  ledger->trim_token = op->token;
}

/* Removes the oldest segments without live records from the index. They are deleted only after
 * that, so that a segment which the index names always exists. */
static void
_vp_ledger_trim (VpLedger *ledger, VpEffects *effects)
{
  const VpLedgerSegment *last = g_ptr_array_index (ledger->segments, ledger->segments->len - 1);
  VpMsgIndex index = ledger->index;
  guint count = 0;

  while (count + 1 < ledger->segments->len
         && ((VpLedgerSegment *)g_ptr_array_index (ledger->segments, count))->live_count == 0)
    count++;
  if (count == 0
      || (count < VP_LEDGER_TRIM_BATCH
          && ledger->segments->len * 4 < ledger->desc.segments_max * 3))
    return;
  index.trim = index.first;
  index.first += count;
  index.last = last->number;
  ledger->trim_first = index.first;
  ledger->trim_value = vp_msg_encode_index (&index);
  _vp_ledger_send_index (ledger, effects);
}

/* Deletes the next segment to be deleted, or reads its version first if that is not known. */
static void
_vp_ledger_delete_segment (VpLedger *ledger, VpEffects *effects)
{
  const VpLedgerDeletion *deletion = &g_array_index (ledger->deletions, VpLedgerDeletion, 0);
  VpStoreKind kind = deletion->version == 0 ? VP_STORE_GET : VP_STORE_DELETE;
  VpStoreOp *op = _vp_ledger_store_op (ledger, kind, NULL, deletion->number, effects);

  op->version = deletion->version;
  ledger->trim_token = op->token;
}

void
_vp_ledger_compact_tick (VpLedger *ledger, int64_t now_ms, VpEffects *effects)
{
  _vp_ledger_expire (ledger, now_ms);
  if (ledger->trim_token != 0 || now_ms < ledger->trim_retry_ms)
    return;
  ledger->trim_retry_ms = 0;
  if (ledger->trim_value != NULL) {
    _vp_ledger_send_index (ledger, effects);
    return;
  }
  if (ledger->deletions->len > 0) {
    _vp_ledger_delete_segment (ledger, effects);
    return;
  }
  if (_vp_ledger_needs_compaction (ledger))
    _vp_ledger_copy_forward (ledger);
  _vp_ledger_trim (ledger, effects);
}

static void
_vp_ledger_trim_done (VpLedger *ledger, uint64_t version)
{
  ledger->index_version = version;
  ledger->index.trim = ledger->index.first;
  for (; ledger->index.first < ledger->trim_first; ledger->index.first++) {
    const VpLedgerSegment *segment = g_ptr_array_index (ledger->segments, 0);
    VpLedgerDeletion deletion = { segment->number, segment->version };
    g_array_append_val (ledger->deletions, deletion);
    ledger->total_bytes -= segment->bytes;
    g_ptr_array_remove_index (ledger->segments, 0);
  }
  g_clear_pointer (&ledger->trim_value, g_bytes_unref);
}

static void
_vp_ledger_index_result (VpLedger *ledger,
                         const VpStoreResult *result,
                         int64_t now_ms,
                         VpEffects *effects)
{
  bool is_own = result->value != NULL && g_bytes_equal (result->value, ledger->trim_value);

  if (result->status == VP_STORE_OK || (result->status == VP_STORE_CONFLICT && is_own))
    _vp_ledger_trim_done (ledger, result->version);
  else if (result->status == VP_STORE_CONFLICT)
    _vp_ledger_fence (ledger, effects);
  else
    ledger->trim_retry_ms = now_ms + VP_LEDGER_RETRY_MS;
}

void
_vp_ledger_compact_result (VpLedger *ledger,
                           const VpStoreResult *result,
                           int64_t now_ms,
                           VpEffects *effects)
{
  VpLedgerDeletion *deletion;

  ledger->trim_token = 0;
  if (result->kind == VP_STORE_CAS) {
    _vp_ledger_index_result (ledger, result, now_ms, effects);
    return;
  }
  deletion = &g_array_index (ledger->deletions, VpLedgerDeletion, 0);
  if (result->status == VP_STORE_UNAVAILABLE || result->status == VP_STORE_UNKNOWN)
    ledger->trim_retry_ms = now_ms + VP_LEDGER_RETRY_MS;
  else if (result->status == VP_STORE_NOT_FOUND || result->version == 0
           || (result->kind == VP_STORE_DELETE && result->status == VP_STORE_OK))
    g_array_remove_index (ledger->deletions, 0);
  else
    deletion->version = result->version;
}
