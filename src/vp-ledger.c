#include "vp-ledger.h"
#include "vp-ledger-private.h"
#include "vp-metrics.h"

#include <string.h>

static void
_vp_ledger_entry_free (gpointer data)
{
  VpLedgerEntry *entry = data;

  vp_ledger_record_clear (&entry->record);
  g_free (entry);
}

static void
_vp_ledger_segment_free (gpointer data)
{
  VpLedgerSegment *segment = data;

  g_array_unref (segment->tasks);
  g_free (segment);
}

VpLedger *
vp_ledger_setup (const VpLedgerDesc *desc)
{
  VpLedger *ledger = g_new0 (VpLedger, 1);

  ledger->desc = *desc;
  ledger->desc.commit_ms = desc->commit_ms != 0 ? desc->commit_ms : 300;
  ledger->desc.segment_bytes = desc->segment_bytes != 0 ? desc->segment_bytes : 32768;
  ledger->desc.segments_max = desc->segments_max != 0 ? desc->segments_max : 256;
  ledger->desc.retention_ms = desc->retention_ms != 0 ? desc->retention_ms : 86400000;
  g_snprintf (ledger->prefix, sizeof ledger->prefix, "ledger/%s/", desc->dc);
  ledger->entries
      = g_hash_table_new_full (vp_task_id_hash, vp_task_id_equal_ptr, NULL, _vp_ledger_entry_free);
  g_queue_init (&ledger->dirty);
  g_queue_init (&ledger->puts);
  g_queue_init (&ledger->expiring);
  ledger->notices = g_array_new (FALSE, TRUE, sizeof (VpLedgerNotice));
  ledger->segments = g_ptr_array_new_with_free_func (_vp_ledger_segment_free);
  ledger->deletions = g_array_new (FALSE, TRUE, sizeof (VpLedgerDeletion));
  return ledger;
}

static void
_vp_ledger_write_clear (VpLedgerWrite *write)
{
  g_clear_pointer (&write->value, g_bytes_unref);
  g_clear_pointer (&write->tasks, g_array_unref);
  vp_msg_segment_clear (&write->content);
  memset (write, 0, sizeof *write);
}

void
vp_ledger_close (VpLedger *ledger)
{
  ledger->state = VP_LEDGER_CLOSED;
  _vp_ledger_opening_clear (ledger);
  _vp_ledger_write_clear (&ledger->write);
  g_hash_table_remove_all (ledger->entries);
  g_queue_clear_full (&ledger->dirty, g_free);
  g_queue_clear_full (&ledger->puts, g_free);
  g_queue_clear_full (&ledger->expiring, g_free);
  g_array_set_size (ledger->notices, 0);
  g_ptr_array_set_size (ledger->segments, 0);
  g_array_set_size (ledger->deletions, 0);
  vp_msg_segment_clear (&ledger->current);
  g_clear_pointer (&ledger->trim_value, g_bytes_unref);
  memset (&ledger->index, 0, sizeof ledger->index);
  ledger->index_version = 0;
  ledger->trim_token = 0;
  ledger->trim_retry_ms = 0;
  ledger->total_bytes = ledger->live_bytes = 0;
  ledger->next_commit_ms = 0;
  ledger->next_withdraw_ms = INT64_MAX;
  ledger->failure_count = 0;
}

void
vp_ledger_shutdown (VpLedger *ledger)
{
  vp_ledger_close (ledger);
  g_hash_table_unref (ledger->entries);
  g_array_unref (ledger->notices);
  g_array_unref (ledger->deletions);
  g_ptr_array_unref (ledger->segments);
  g_free (ledger);
}

void
vp_ledger_open (VpLedger *ledger, int64_t now_ms, VpEffects *effects)
{
  vp_ledger_close (ledger);
  ledger->state = VP_LEDGER_OPENING;
  ledger->opened_ms = now_ms;
  _vp_ledger_opening_tick (ledger, now_ms, effects);
}

VpLedgerState
vp_ledger_state (const VpLedger *ledger)
{
  return ledger->state;
}

uint64_t
vp_ledger_epoch (const VpLedger *ledger)
{
  return ledger->state == VP_LEDGER_OPEN ? ledger->index.epoch : 0;
}

VpStoreOp *
_vp_ledger_store_op (VpLedger *ledger,
                     VpStoreKind kind,
                     const char *name,
                     uint64_t number,
                     VpEffects *effects)
{
  char key[VP_STORE_KEY_MAX];
  VpStoreOp *op;

  if (name != NULL)
    g_snprintf (key, sizeof key, "%s%s", ledger->prefix, name);
  else
    g_snprintf (key, sizeof key, "%s%" G_GUINT64_FORMAT, ledger->prefix, number);
  op = vp_effects_store (effects, VP_MODULE_LEDGER, kind, key);
  op->token = ++ledger->next_token;
  return op;
}

VpLedgerEntry *
_vp_ledger_find_entry (const VpLedger *ledger, VpTaskId task)
{
  return g_hash_table_lookup (ledger->entries, &task);
}

void
_vp_ledger_mark_dirty (VpLedger *ledger, VpLedgerEntry *entry)
{
  if (entry->is_dirty)
    return;
  entry->is_dirty = true;
  g_queue_push_tail (&ledger->dirty, g_memdup2 (&entry->record.task, sizeof entry->record.task));
}

VpLedgerSegment *
_vp_ledger_add_segment (VpLedger *ledger, uint64_t number, uint64_t version, size_t bytes)
{
  VpLedgerSegment *segment = g_new0 (VpLedgerSegment, 1);

  segment->number = number;
  segment->version = version;
  segment->bytes = bytes;
  segment->tasks = g_array_new (FALSE, FALSE, sizeof (VpTaskId));
  ledger->total_bytes += bytes;
  g_ptr_array_add (ledger->segments, segment);
  return segment;
}

static VpLedgerSegment *
_vp_ledger_current (const VpLedger *ledger)
{
  return g_ptr_array_index (ledger->segments, ledger->segments->len - 1);
}

VpLedgerSegment *
_vp_ledger_find_segment (const VpLedger *ledger, uint64_t number)
{
  uint64_t first;

  if (ledger->segments->len == 0)
    return NULL;
  first = ((VpLedgerSegment *)g_ptr_array_index (ledger->segments, 0))->number;
  if (number < first || number - first >= ledger->segments->len)
    return NULL;
  return g_ptr_array_index (ledger->segments, number - first);
}

void
_vp_ledger_set_location (VpLedger *ledger,
                         VpLedgerEntry *entry,
                         VpLedgerSegment *segment,
                         size_t size)
{
  VpLedgerSegment *old = _vp_ledger_find_segment (ledger, entry->segment);

  if (old != NULL && entry->segment != 0) {
    old->live_count--;
    ledger->live_bytes -= entry->size;
  }
  entry->segment = 0;
  entry->size = 0;
  if (segment == NULL)
    return;
  if (old != segment)
    g_array_append_val (segment->tasks, entry->record.task);
  segment->live_count++;
  ledger->live_bytes += size;
  entry->segment = segment->number;
  entry->size = size;
}

void
_vp_ledger_schedule_expiry (VpLedger *ledger, VpLedgerEntry *entry)
{
  if (entry->is_expiring || !vp_task_state_is_final (entry->record.state))
    return;
  entry->is_expiring = true;
  g_queue_push_tail (&ledger->expiring, g_memdup2 (&entry->record.task, sizeof entry->record.task));
}

static void
_vp_ledger_notice (VpLedger *ledger, const VpLedgerPut *put, VpReason reason)
{
  VpLedgerNotice notice = { .task = put->task, .state = put->state, .reason = reason };

  g_array_append_val (ledger->notices, notice);
}

/* True if no version of the record can be in the store and the record is not final. */
static bool
_vp_ledger_can_withdraw (const VpLedgerEntry *entry)
{
  return entry->segment == 0 && !entry->is_in_flight
         && !vp_task_state_is_final (entry->record.state);
}

/* Removes puts and gives each a notice. @is_all: all puts; otherwise those that waited too long and
 * can be withdrawn. */
static void
_vp_ledger_withdraw (VpLedger *ledger, bool is_all, int64_t now_ms)
{
  ledger->next_withdraw_ms = INT64_MAX;
  for (GList *item = ledger->puts.head, *next; item != NULL; item = next) {
    VpLedgerPut *put = item->data;
    VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, put->task);
    int64_t until_ms = put->put_ms + VP_LEDGER_WITHDRAW_AFTER_MS;
    bool can_withdraw = entry == NULL || _vp_ledger_can_withdraw (entry);

    next = item->next;
    if (!is_all && entry != NULL && (!can_withdraw || now_ms < until_ms)) {
      if (now_ms < until_ms)
        ledger->next_withdraw_ms = MIN (ledger->next_withdraw_ms, until_ms);
      continue;
    }
    _vp_ledger_notice (ledger, put, can_withdraw ? VP_REASON_STORE_DOWN : VP_REASON_OWNER_LOST);
    if (can_withdraw)
      g_hash_table_remove (ledger->entries, &put->task);
    g_free (put);
    g_queue_delete_link (&ledger->puts, item);
  }
}

void
_vp_ledger_fence (VpLedger *ledger, VpEffects *effects)
{
  vp_effects_log (effects, G_LOG_LEVEL_WARNING, "the ledger of DC %s has another owner",
                  ledger->desc.dc);
  ledger->state = VP_LEDGER_FENCED;
  ledger->write.token = 0;
  ledger->trim_token = 0;
  _vp_ledger_opening_clear (ledger);
  _vp_ledger_withdraw (ledger, true, 0);
}

static void
_vp_ledger_update_rate (VpLedger *ledger, int64_t now_ms)
{
  int64_t span_ms = now_ms - ledger->rate_window_ms;

  if (span_ms < 1000)
    return;
  ledger->puts_per_s = (uint32_t)(ledger->put_count * 1000 / span_ms);
  ledger->starts_per_s = (uint32_t)(ledger->start_count * 1000 / span_ms);
  ledger->rate_window_ms = now_ms;
  ledger->put_count = ledger->start_count = 0;
}

void
vp_ledger_note_start (VpLedger *ledger, int64_t now_ms)
{
  _vp_ledger_update_rate (ledger, now_ms);
  ledger->start_count++;
}

/* Interval to the next commit. It is short while the rate of records and starts is low, since
 * callers wait for the commit, and the whole commit_ms under load. */
static int64_t
_vp_ledger_commit_interval_ms (const VpLedger *ledger, int64_t now_ms)
{
  int64_t least_ms = MIN (VP_LEDGER_COMMIT_MIN_MS, ledger->desc.commit_ms);
  int64_t span_ms = MAX (now_ms - ledger->rate_window_ms, VP_LEDGER_RATE_SPAN_MIN_MS);
  int64_t count = MAX (ledger->put_count, ledger->start_count);
  int64_t rate = MAX (MAX (ledger->puts_per_s, ledger->starts_per_s), count * 1000 / span_ms);

  rate = CLAMP (rate, VP_LEDGER_RATE_LOW, VP_LEDGER_RATE_HIGH);

  return least_ms
         + (ledger->desc.commit_ms - least_ms) * (rate - VP_LEDGER_RATE_LOW)
               / (VP_LEDGER_RATE_HIGH - VP_LEDGER_RATE_LOW);
}

static void
_vp_ledger_send_commit (VpLedger *ledger, int64_t now_ms, VpEffects *effects)
{
  VpLedgerWrite *write = &ledger->write;
  VpStoreOp *op = _vp_ledger_store_op (ledger, VP_STORE_CAS, NULL, write->number, effects);

  op->version = write->base_version;
  op->value = g_bytes_ref (write->value);
  write->token = op->token;
  ledger->next_commit_ms = now_ms + _vp_ledger_commit_interval_ms (ledger, now_ms);
}

/* Moves dirty entries to the batch of the write, up to VP_LEDGER_COMMIT_BYTES. */
static void
_vp_ledger_take_batch (VpLedger *ledger, VpLedgerWrite *write)
{
  size_t size = 0;

  while (!g_queue_is_empty (&ledger->dirty) && size < VP_LEDGER_COMMIT_BYTES) {
    g_autofree VpTaskId *task = g_queue_pop_head (&ledger->dirty);
    VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, *task);

    if (entry == NULL || !entry->is_dirty)
      continue;
    entry->is_dirty = false;
    entry->is_in_flight = true;
    entry->sent_seq = entry->seq;
    size += vp_msg_record_size (&entry->record);
    g_array_append_val (write->tasks, *task);
  }
}

/* Builds the new content of the segment: its records, except those that were replaced or have
 * expired, and the batch. */
static void
_vp_ledger_build_content (VpLedger *ledger, VpLedgerWrite *write, bool is_new)
{
  const VpLedgerSegment *current = _vp_ledger_current (ledger);
  GArray *old = is_new ? NULL : ledger->current.records;
  VpLedgerRecord copy;

  write->content.epoch = ledger->index.epoch;
  write->content.previous_version = is_new ? current->version : ledger->current.previous_version;
  write->content.records = g_array_new (FALSE, TRUE, sizeof (VpLedgerRecord));
  for (guint i = 0; old != NULL && i < old->len; i++) {
    const VpLedgerRecord *record = &g_array_index (old, VpLedgerRecord, i);
    const VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, record->task);
    if (entry == NULL || entry->is_in_flight || entry->segment != current->number)
      continue;
    vp_ledger_record_copy (&copy, record);
    g_array_append_val (write->content.records, copy);
  }
  for (guint i = 0; i < write->tasks->len; i++) {
    VpTaskId task = g_array_index (write->tasks, VpTaskId, i);
    vp_ledger_record_copy (&copy, &_vp_ledger_find_entry (ledger, task)->record);
    g_array_append_val (write->content.records, copy);
  }
}

static void
_vp_ledger_commit (VpLedger *ledger, int64_t now_ms, VpEffects *effects)
{
  const VpLedgerSegment *current = _vp_ledger_current (ledger);
  bool is_new = current->bytes >= (size_t)ledger->desc.segment_bytes;
  VpLedgerWrite *write = &ledger->write;

  write->tasks = g_array_new (FALSE, FALSE, sizeof (VpTaskId));
  _vp_ledger_take_batch (ledger, write);
  if (write->tasks->len == 0) {
    _vp_ledger_write_clear (write);
    return;
  }
  write->number = current->number + (is_new ? 1 : 0);
  write->base_version = is_new ? 0 : current->version;
  _vp_ledger_build_content (ledger, write, is_new);
  write->value = vp_msg_encode_segment (&write->content);
  _vp_ledger_send_commit (ledger, now_ms, effects);
}

static void
_vp_ledger_notice_durable (VpLedger *ledger)
{
  for (GList *item = ledger->puts.head, *next; item != NULL; item = next) {
    VpLedgerPut *put = item->data;
    const VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, put->task);

    next = item->next;
    if (entry == NULL || entry->durable_seq < put->seq)
      continue;
    _vp_ledger_notice (ledger, put, VP_REASON_NONE);
    g_free (put);
    g_queue_delete_link (&ledger->puts, item);
  }
}

static void
_vp_ledger_commit_done (VpLedger *ledger, uint64_t version)
{
  VpLedgerWrite *write = &ledger->write;
  VpLedgerSegment *segment = _vp_ledger_current (ledger);
  size_t bytes = g_bytes_get_size (write->value);

  if (write->base_version == 0)
    segment = _vp_ledger_add_segment (ledger, write->number, version, 0);
  segment->version = version;
  ledger->total_bytes += bytes - segment->bytes;
  segment->bytes = bytes;
  vp_msg_segment_clear (&ledger->current);
  ledger->current = write->content;
  memset (&write->content, 0, sizeof write->content);
  for (guint i = 0; i < write->tasks->len; i++) {
    VpLedgerEntry *entry
        = _vp_ledger_find_entry (ledger, g_array_index (write->tasks, VpTaskId, i));
    guint index = ledger->current.records->len - write->tasks->len + i;
    entry->is_in_flight = false;
    entry->durable_seq = entry->sent_seq;
    _vp_ledger_set_location (
        ledger, entry, segment,
        vp_msg_record_size (&g_array_index (ledger->current.records, VpLedgerRecord, index)));
    _vp_ledger_schedule_expiry (ledger, entry);
  }
  ledger->commit_count++;
  ledger->record_count += write->tasks->len;
  ledger->byte_count += bytes;
  vp_metrics_add (VP_COUNTER_LEDGER_COMMITS, 1);
  vp_metrics_add (VP_COUNTER_LEDGER_RECORDS, write->tasks->len);
  _vp_ledger_write_clear (write);
  _vp_ledger_notice_durable (ledger);
}

/* Handles a write that certainly had no effect: its records go back to the front of the queue. */
static void
_vp_ledger_commit_failed (VpLedger *ledger)
{
  VpLedgerWrite *write = &ledger->write;

  for (guint i = write->tasks->len; i-- > 0;) {
    VpTaskId task = g_array_index (write->tasks, VpTaskId, i);
    VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, task);
    entry->is_in_flight = false;
    if (!entry->is_dirty) {
      entry->is_dirty = true;
      g_queue_push_head (&ledger->dirty, g_memdup2 (&task, sizeof task));
    }
  }
  _vp_ledger_write_clear (write);
}

/* Handles the result of a write. After a lost response the same write is sent again: either it
 * is applied, or the store returns the current value. A read instead would not exclude that the
 * first write takes effect later. */
static void
_vp_ledger_write_result (VpLedger *ledger,
                         const VpStoreResult *result,
                         int64_t now_ms,
                         VpEffects *effects)
{
  VpLedgerWrite *write = &ledger->write;

  write->token = 0;
  switch (result->status) {
  case VP_STORE_OK:
    ledger->failure_count = 0;
    _vp_ledger_commit_done (ledger, result->version);
    break;
  case VP_STORE_CONFLICT:
    ledger->failure_count = 0;
    if (result->value != NULL && g_bytes_equal (result->value, write->value))
      _vp_ledger_commit_done (ledger, result->version);
    else
      _vp_ledger_fence (ledger, effects);
    break;
  case VP_STORE_UNKNOWN:
    ledger->failure_count++;
    write->is_uncertain = true;
    write->retry_ms = now_ms + VP_LEDGER_RETRY_MS;
    break;
  case VP_STORE_NOT_FOUND:
  case VP_STORE_UNAVAILABLE:
    ledger->failure_count++;
    write->retry_ms = now_ms + VP_LEDGER_RETRY_MS;
    if (!write->is_uncertain) {
      _vp_ledger_commit_failed (ledger);
      ledger->next_commit_ms = now_ms + VP_LEDGER_RETRY_MS;
    }
    break;
  }
}

static VpLedgerEntry *
_vp_ledger_add_entry (VpLedger *ledger, VpTaskId task)
{
  VpLedgerEntry *entry = g_new0 (VpLedgerEntry, 1);

  entry->record.task = task;
  g_hash_table_insert (ledger->entries, &entry->record.task, entry);
  return entry;
}

/* Sets the latest version of the record, without an answer that is too long and, if the record is
 * final, without the payload. */
static void
_vp_ledger_set_record (VpLedgerEntry *entry, const VpLedgerRecord *record, int64_t now_ms)
{
  VpLedgerRecord copy;

  vp_ledger_record_copy (&copy, record);
  vp_ledger_record_clear (&entry->record);
  entry->record = copy;
  if (copy.answer != NULL && g_bytes_get_size (copy.answer) > VP_LEDGER_ANSWER_MAX) {
    g_clear_pointer (&entry->record.answer, g_bytes_unref);
    entry->record.is_answer_cut = true;
  }
  if (vp_task_state_is_final (record->state)) {
    g_clear_pointer (&entry->record.payload, g_bytes_unref);
    if (entry->record.ended_ms <= 0)
      entry->record.ended_ms = now_ms;
  }
}

/* NONE if @record may be queued, which a final record always may. */
static VpReason
_vp_ledger_check_admission (const VpLedger *ledger, const VpLedgerRecord *record)
{
  bool is_waiting = ledger->write.value != NULL || ledger->dirty.length > 0;

  if (ledger->state != VP_LEDGER_OPEN)
    return VP_REASON_NO_OWNER;
  if (vp_task_state_is_final (record->state)
      || _vp_ledger_find_entry (ledger, record->task) != NULL)
    return VP_REASON_NONE;
  if (vp_msg_record_size (record) > VP_LEDGER_RECORD_MAX)
    return VP_REASON_TOO_LARGE;
  /* While nothing else waits, the record is sent to find out whether the store responds again. */
  if (ledger->failure_count >= 2 && is_waiting)
    return VP_REASON_STORE_DOWN;
  if (ledger->segments->len >= ledger->desc.segments_max)
    return VP_REASON_LEDGER_FULL;
  return VP_REASON_NONE;
}

VpReason
vp_ledger_put (VpLedger *ledger, const VpLedgerRecord *record, int64_t now_ms, VpEffects *effects)
{
  VpReason reason = _vp_ledger_check_admission (ledger, record);
  VpLedgerEntry *entry;
  VpLedgerPut *put;

  if (reason != VP_REASON_NONE)
    return reason;
  entry = _vp_ledger_find_entry (ledger, record->task);
  if (entry == NULL)
    entry = _vp_ledger_add_entry (ledger, record->task);
  _vp_ledger_set_record (entry, record, now_ms);
  entry->seq = ++ledger->next_seq;
  _vp_ledger_mark_dirty (ledger, entry);
  _vp_ledger_update_rate (ledger, now_ms);
  ledger->put_count++;
  put = g_new0 (VpLedgerPut, 1);
  *put = (VpLedgerPut){ record->task, record->state, entry->seq, now_ms };
  g_queue_push_tail (&ledger->puts, put);
  ledger->next_withdraw_ms = MIN (ledger->next_withdraw_ms, now_ms + VP_LEDGER_WITHDRAW_AFTER_MS);
  if (ledger->write.value == NULL && now_ms >= ledger->next_commit_ms)
    _vp_ledger_commit (ledger, now_ms, effects);
  return VP_REASON_NONE;
}

const VpLedgerRecord *
vp_ledger_find (const VpLedger *ledger, VpTaskId task)
{
  const VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, task);

  return entry != NULL ? &entry->record : NULL;
}

bool
vp_ledger_is_durable (const VpLedger *ledger, VpTaskId task)
{
  const VpLedgerEntry *entry = _vp_ledger_find_entry (ledger, task);

  return entry != NULL && entry->segment != 0 && entry->durable_seq == entry->seq;
}

void
vp_ledger_foreach (const VpLedger *ledger,
                   void (*visit) (const VpLedgerRecord *record, void *data),
                   void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, ledger->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (&((VpLedgerEntry *)value)->record, data);
}

void
vp_ledger_tick (VpLedger *ledger, int64_t now_ms, VpEffects *effects)
{
  VpLedgerWrite *write = &ledger->write;

  if (ledger->state == VP_LEDGER_OPENING)
    _vp_ledger_opening_tick (ledger, now_ms, effects);
  if (ledger->state != VP_LEDGER_OPEN)
    return;
  _vp_ledger_withdraw (ledger, false, now_ms);
  if (write->value != NULL && write->token == 0 && now_ms >= write->retry_ms)
    _vp_ledger_send_commit (ledger, now_ms, effects);
  _vp_ledger_compact_tick (ledger, now_ms, effects);
  if (write->value == NULL && !g_queue_is_empty (&ledger->dirty)
      && now_ms >= ledger->next_commit_ms)
    _vp_ledger_commit (ledger, now_ms, effects);
}

void
vp_ledger_store_result (VpLedger *ledger,
                        const VpStoreResult *result,
                        int64_t now_ms,
                        VpEffects *effects)
{
  if (ledger->state == VP_LEDGER_OPENING)
    _vp_ledger_opening_result (ledger, result, now_ms, effects);
  else if (ledger->state == VP_LEDGER_OPEN && result->token == ledger->write.token)
    _vp_ledger_write_result (ledger, result, now_ms, effects);
  else if (ledger->state == VP_LEDGER_OPEN && result->token == ledger->trim_token)
    _vp_ledger_compact_result (ledger, result, now_ms, effects);
  vp_ledger_tick (ledger, now_ms, effects);
}

void
vp_ledger_take_notices (VpLedger *ledger, GArray *notices)
{
  g_array_append_vals (notices, ledger->notices->data, ledger->notices->len);
  g_array_set_size (ledger->notices, 0);
}

bool
vp_ledger_is_idle (const VpLedger *ledger)
{
  return ledger->write.value == NULL && ledger->dirty.length == 0 && ledger->puts.length == 0;
}

int64_t
vp_ledger_next_ms (const VpLedger *ledger)
{
  int64_t next_ms = INT64_MAX;

  if (ledger->state == VP_LEDGER_OPENING)
    return ledger->opening.retry_ms != 0 ? ledger->opening.retry_ms : INT64_MAX;
  if (ledger->state != VP_LEDGER_OPEN)
    return INT64_MAX;
  if (ledger->write.value == NULL && ledger->dirty.length > 0)
    next_ms = ledger->next_commit_ms;
  if (ledger->write.value != NULL && ledger->write.token == 0)
    next_ms = ledger->write.retry_ms;
  if (ledger->trim_token == 0 && ledger->trim_retry_ms != 0)
    next_ms = MIN (next_ms, ledger->trim_retry_ms);
  next_ms = MIN (next_ms, ledger->next_withdraw_ms);
  return next_ms;
}

void
vp_ledger_counts (const VpLedger *ledger,
                  uint64_t *commits,
                  uint64_t *records,
                  uint64_t *bytes,
                  uint32_t *segments)
{
  *commits = ledger->commit_count;
  *records = ledger->record_count;
  *bytes = ledger->byte_count;
  *segments = ledger->segments->len;
}
