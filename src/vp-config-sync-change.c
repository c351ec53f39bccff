#include "vp-config-sync-private.h"

#include <string.h>
#include <xxhash.h>

static VpConfigSyncChange *
_vp_config_sync_active_change (const VpConfigSync *sync)
{
  return g_queue_peek_head (sync->changes);
}

void
_vp_config_sync_change_free (VpConfigSyncChange *change)
{
  vp_config_unref (change->base_config);
  vp_config_unref (change->config);
  g_clear_pointer (&change->document, g_bytes_unref);
  g_clear_pointer (&change->stored, g_bytes_unref);
  g_free (change);
}

static void
_vp_config_sync_set_change_state (VpConfigSyncChange *change,
                                  VpConfigSyncChangeState state,
                                  int64_t now_ms)
{
  change->state = state;
  change->state_since_ms = now_ms;
  change->next_send_ms = now_ms;
}

static void
_vp_config_sync_push_outcome (VpConfigSync *sync,
                              uint64_t handle,
                              VpReason reason,
                              const char *detail)
{
  VpConfigSyncOutcome outcome = {
    .handle = handle,
    .reason = reason,
    .revision = sync->config->revision,
    .member_count = sync->member_count,
  };

  g_strlcpy (outcome.detail, detail, sizeof outcome.detail);
  g_array_append_val (sync->outcomes, outcome);
}

/* Ends the change in progress, which was not accepted. */
static void
_vp_config_sync_reject_change (VpConfigSync *sync, VpReason reason)
{
  VpConfigSyncChange *change = g_queue_pop_head (sync->changes);

  /* The result of a write in flight is not needed any more: a later read shows the value. */
  sync->write_token = 0;
  _vp_config_sync_push_outcome (sync, change->handle, reason, "");
  _vp_config_sync_change_free (change);
}

/* Ends the change in progress, which certainly was not and will not be written, and tells the other
 * members to drop its announcement. */
static void
_vp_config_sync_cancel_change (VpConfigSync *sync, VpReason reason, VpEffects *effects)
{
  VpConfigSyncChange *change = _vp_config_sync_active_change (sync);
  uint64_t id = change->config->origin.change;

  for (guint i = sync->pending->len; i > 0; i--)
    if (g_array_index (sync->pending, VpConfigSyncPending, i - 1).change == id)
      _vp_config_sync_drop_pending (sync, i - 1);
  for (uint32_t i = 0; i < sync->member_count; i++)
    if (i != sync->member_index)
      _vp_config_sync_send_cancel (sync, sync->peers[i].name, id, effects);
  _vp_config_sync_reject_change (sync, reason);
}

/* Moves the change in progress, which was written, to the changes that propagate. The next change
 * may then start. */
static void
_vp_config_sync_start_propagation (VpConfigSync *sync, int64_t now_ms)
{
  VpConfigSyncChange *change = g_queue_pop_head (sync->changes);

  sync->write_token = 0;
  _vp_config_sync_set_change_state (change, VP_CONFIG_SYNC_CHANGE_PROPAGATE, now_ms);
  change->is_confirmed[sync->member_index] = sync->config->revision >= change->config->revision;
  g_queue_push_tail (sync->propagating, change);
  _vp_config_sync_audit_add (sync, change->base_config);
  _vp_config_sync_audit_add (sync, change->config);
}

static uint64_t
_vp_config_sync_new_change_id (VpConfigSync *sync)
{
  uint64_t seed = sync->boot + ++sync->change_count * 0x9e3779b97f4a7c15;

  return XXH3_64bits_withSeed (sync->member, strlen (sync->member), seed) | 1;
}

/* Announces the change in progress, based on the version of the store value that was read last. */
static void
_vp_config_sync_announce (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  VpConfigSyncChange *change = _vp_config_sync_active_change (sync);
  gsize size;
  const char *text = g_bytes_get_data (change->document, &size);
  VpConfig *config;
  VpConfigOrigin origin = change->config->origin;

  if (++change->announce_round_count > VP_CONFIG_SYNC_ANNOUNCE_ROUNDS_MAX) {
    _vp_config_sync_reject_change (sync, VP_REASON_OVERLOADED);
    return;
  }
  config = vp_config_parse (text, size, NULL);
  g_assert (config != NULL);
  config->revision = change->expected_revision + 1;
  config->origin = origin;
  config->origin.change = _vp_config_sync_new_change_id (sync);
  config->origin.at_ms = now_ms;
  vp_config_describe_change (sync->config, config, config->origin.summary,
                             sizeof config->origin.summary);
  vp_config_unref (change->config);
  change->config = config;
  vp_config_unref (change->base_config);
  change->base_config = vp_config_ref (sync->config);
  g_clear_pointer (&change->stored, g_bytes_unref);
  change->stored = vp_config_format_stored (config);
  change->base_version = sync->store_version;
  change->is_uncertain = false;
  if (!_vp_config_sync_add_pending (sync, change->base_version, config, change->stored, now_ms)) {
    _vp_config_sync_reject_change (sync, VP_REASON_OVERLOADED);
    return;
  }
  memset (change->is_acked, 0, sizeof change->is_acked);
  change->is_acked[sync->member_index] = true;
  _vp_config_sync_set_change_state (change, VP_CONFIG_SYNC_CHANGE_ANNOUNCE, now_ms);
  _vp_config_sync_change_tick (sync, now_ms, effects);
}

void
vp_config_sync_submit (VpConfigSync *sync,
                       uint64_t handle,
                       const char *who,
                       uint64_t expected_revision,
                       GBytes *document,
                       int64_t now_ms,
                       VpEffects *effects)
{
  g_autoptr (GError) error = NULL;
  VpConfigSyncChange *change;
  gsize size;
  const char *text = g_bytes_get_data (document, &size);
  VpConfig *config = vp_config_parse (text, size, &error);

  if (config == NULL || expected_revision < sync->config->revision
      || g_queue_get_length (sync->changes) >= VP_CONFIG_SYNC_QUEUE_MAX) {
    _vp_config_sync_push_outcome (sync, handle,
                                  config == NULL ? VP_REASON_BAD_CONFIG
                                  : expected_revision < sync->config->revision
                                      ? VP_REASON_CONFLICT
                                      : VP_REASON_OVERLOADED,
                                  error != NULL ? error->message : "");
    vp_config_unref (config);
    return;
  }
  change = g_new0 (VpConfigSyncChange, 1);
  change->handle = handle;
  change->expected_revision = expected_revision;
  change->config = config;
  vp_name_copy (config->origin.who, sizeof config->origin.who, who);
  change->document = vp_config_format (config);
  change->state = VP_CONFIG_SYNC_CHANGE_READ;
  change->started_ms = -1;
  g_queue_push_tail (sync->changes, change);
  vp_config_sync_tick (sync, now_ms, effects);
}

void
_vp_config_sync_change_read (VpConfigSync *sync,
                             int64_t sent_ms,
                             int64_t now_ms,
                             VpEffects *effects)
{
  VpConfigSyncChange *change = _vp_config_sync_active_change (sync);

  if (change == NULL || change->state != VP_CONFIG_SYNC_CHANGE_READ || change->started_ms < 0
      || sent_ms < change->started_ms)
    return;
  if (change->expected_revision != sync->config->revision
      || sync->seen_revision > change->expected_revision)
    _vp_config_sync_reject_change (sync, VP_REASON_CONFLICT);
  else if (sync->store_revision == change->expected_revision)
    _vp_config_sync_announce (sync, now_ms, effects);
}

bool
_vp_config_sync_change_is_active (const VpConfigSync *sync, uint64_t change)
{
  const VpConfigSyncChange *active = _vp_config_sync_active_change (sync);

  return active != NULL && active->state != VP_CONFIG_SYNC_CHANGE_READ
         && active->config->origin.change == change;
}

void
_vp_config_sync_change_acked (VpConfigSync *sync,
                              uint32_t member,
                              uint64_t change,
                              int64_t now_ms,
                              VpEffects *effects)
{
  VpConfigSyncChange *active = _vp_config_sync_active_change (sync);

  if (active == NULL || active->state != VP_CONFIG_SYNC_CHANGE_ANNOUNCE
      || active->config->origin.change != change)
    return;
  active->is_acked[member] = true;
  _vp_config_sync_change_tick (sync, now_ms, effects);
}

/* Ends the change in progress after this member applied a revision at least as high as the one that
 * the change would create. */
static void
_vp_config_sync_handle_superseded (VpConfigSync *sync, int64_t now_ms)
{
  VpConfigSyncChange *active = _vp_config_sync_active_change (sync);
  bool is_sent = active->is_uncertain || sync->write_token != 0;
  uint64_t revision = active->expected_revision + 1;

  if (active->state == VP_CONFIG_SYNC_CHANGE_READ)
    return;
  if (sync->config->revision == revision
      && sync->config->origin.change == active->config->origin.change)
    _vp_config_sync_start_propagation (sync, now_ms);
  else if (sync->config->revision == revision || !is_sent)
    _vp_config_sync_reject_change (sync, VP_REASON_CONFLICT);
  else
    /* The later revision may have been built on this change or on another one. */
    _vp_config_sync_reject_change (sync, VP_REASON_OWNER_LOST);
}

void
_vp_config_sync_change_confirmed (VpConfigSync *sync,
                                  uint32_t member,
                                  uint64_t revision,
                                  int64_t now_ms,
                                  VpEffects *effects)
{
  VpConfigSyncChange *active = _vp_config_sync_active_change (sync);
  bool is_found = false;

  if (member == sync->member_index && active != NULL && revision > active->expected_revision)
    _vp_config_sync_handle_superseded (sync, now_ms);
  for (GList *at = sync->propagating->head; at != NULL; at = at->next) {
    VpConfigSyncChange *change = at->data;
    if (revision < change->config->revision || change->is_confirmed[member])
      continue;
    change->is_confirmed[member] = true;
    is_found = true;
  }
  if (is_found)
    _vp_config_sync_change_tick (sync, now_ms, effects);
}

void
_vp_config_sync_change_written (VpConfigSync *sync,
                                const VpStoreResult *result,
                                int64_t now_ms,
                                VpEffects *effects)
{
  VpConfigSyncChange *change = _vp_config_sync_active_change (sync);

  if (change == NULL || change->state != VP_CONFIG_SYNC_CHANGE_WRITE)
    return;
  change->next_send_ms = now_ms + VP_CONFIG_SYNC_RESEND_MS;
  if (result->status == VP_STORE_UNKNOWN) {
    /* Sent again at once. At most one of the two writes takes effect, and the version in the next
     * result tells which. */
    change->is_uncertain = true;
    change->next_send_ms = now_ms;
  } else if (result->status == VP_STORE_OK) {
    _vp_config_sync_handle_store_value (sync, result->version, change->stored, result->sent_ms,
                                        now_ms, effects);
    if (_vp_config_sync_active_change (sync) == change)
      _vp_config_sync_start_propagation (sync, now_ms);
  } else if (result->status == VP_STORE_CONFLICT) {
    _vp_config_sync_handle_store_value (sync, result->version, result->value, result->sent_ms,
                                        now_ms, effects);
    /* If the value was only rewritten unchanged, the change is announced again for the new
     * version. */
    if (_vp_config_sync_active_change (sync) == change && sync->store_version > change->base_version
        && sync->store_revision == change->expected_revision)
      _vp_config_sync_announce (sync, now_ms, effects);
  }
}

static void
_vp_config_sync_tick_read (VpConfigSync *sync,
                           VpConfigSyncChange *change,
                           int64_t now_ms,
                           VpEffects *effects)
{
  if (change->started_ms < 0) {
    change->started_ms = now_ms;
    _vp_config_sync_set_change_state (change, VP_CONFIG_SYNC_CHANGE_READ, now_ms);
  }
  if (now_ms >= change->started_ms + VP_CONFIG_SYNC_STORE_TIMEOUT_MS) {
    _vp_config_sync_reject_change (sync, VP_REASON_STORE_DOWN);
  } else if (now_ms >= change->next_send_ms && sync->read_token == 0) {
    change->next_send_ms = now_ms + VP_CONFIG_SYNC_RESEND_MS;
    _vp_config_sync_send_read (sync, now_ms, effects);
  }
}

static void
_vp_config_sync_tick_announce (VpConfigSync *sync,
                               VpConfigSyncChange *change,
                               int64_t now_ms,
                               VpEffects *effects)
{
  const VpConfigSyncPending *pending
      = _vp_config_sync_find_pending (sync, change->config->origin.change);
  uint32_t acked = 0;

  if (pending == NULL) {
    /* Another member rewrote the value unchanged, which resolved the announcement. */
    _vp_config_sync_announce (sync, now_ms, effects);
    return;
  }
  for (uint32_t i = 0; i < sync->member_count; i++)
    acked += change->is_acked[i];
  if (acked > sync->member_count / 2) {
    _vp_config_sync_set_change_state (change, VP_CONFIG_SYNC_CHANGE_WRITE, now_ms);
    _vp_config_sync_change_tick (sync, now_ms, effects);
  } else if (now_ms >= change->state_since_ms + sync->announce_timeout_ms) {
    _vp_config_sync_cancel_change (sync, VP_REASON_NO_MAJORITY, effects);
  } else if (now_ms >= change->next_send_ms) {
    change->next_send_ms = now_ms + VP_CONFIG_SYNC_RESEND_MS;
    for (uint32_t i = 0; i < sync->member_count; i++)
      if (!change->is_acked[i])
        _vp_config_sync_send_announce (sync, sync->peers[i].name, pending, effects);
  }
}

static void
_vp_config_sync_tick_write (VpConfigSync *sync,
                            VpConfigSyncChange *change,
                            int64_t now_ms,
                            VpEffects *effects)
{
  VpStoreOp *op;
  bool is_late = now_ms >= change->state_since_ms + VP_CONFIG_SYNC_STORE_TIMEOUT_MS;

  if (sync->write_token != 0)
    return;
  if (is_late && change->is_uncertain) {
    /* The announcement stays pending until the store shows whether the write took effect. */
    _vp_config_sync_reject_change (sync, VP_REASON_OWNER_LOST);
  } else if (is_late) {
    _vp_config_sync_cancel_change (sync, VP_REASON_STORE_DOWN, effects);
  } else if (now_ms >= change->next_send_ms) {
    op = _vp_config_sync_store_op (sync, effects, VP_STORE_CAS, VP_CONFIG_SYNC_STORE_KEY,
                                   &sync->write_token);
    op->version = change->base_version;
    op->value = g_bytes_ref (change->stored);
  }
}

/* Reports the outcome to the operator once all members confirmed the revision or the time is over;
 * the outcome names the members that did not confirm. False while it waits. */
static bool
_vp_config_sync_report_outcome (VpConfigSync *sync,
                                const VpConfigSyncChange *change,
                                int64_t now_ms)
{
  VpConfigSyncOutcome outcome = {
    .handle = change->handle,
    .revision = change->config->revision,
    .member_count = sync->member_count,
  };

  for (uint32_t i = 0; i < sync->member_count; i++) {
    if (change->is_confirmed[i]) {
      outcome.confirmed_count++;
    } else {
      g_strlcat (outcome.missing, outcome.missing[0] != '\0' ? " " : "", sizeof outcome.missing);
      g_strlcat (outcome.missing, sync->peers[i].name, sizeof outcome.missing);
    }
  }
  if (outcome.confirmed_count < sync->member_count
      && now_ms < change->state_since_ms + VP_CONFIG_SYNC_PROPAGATE_TIMEOUT_MS)
    return false;
  g_array_append_val (sync->outcomes, outcome);
  return true;
}

static void
_vp_config_sync_tick_propagate (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  for (GList *at = sync->propagating->head, *next; at != NULL; at = next) {
    VpConfigSyncChange *change = at->data;
    next = at->next;
    if (_vp_config_sync_report_outcome (sync, change, now_ms)) {
      g_queue_delete_link (sync->propagating, at);
      _vp_config_sync_change_free (change);
      continue;
    }
    if (now_ms < change->next_send_ms)
      continue;
    change->next_send_ms = now_ms + VP_CONFIG_SYNC_RESEND_MS;
    for (uint32_t i = 0; i < sync->member_count; i++)
      if (!change->is_confirmed[i] && i != sync->member_index)
        _vp_config_sync_send_config (sync, sync->peers[i].name, effects);
  }
}

void
_vp_config_sync_change_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  VpConfigSyncChange *active = _vp_config_sync_active_change (sync);

  if (active != NULL) {
    if (active->state == VP_CONFIG_SYNC_CHANGE_READ)
      _vp_config_sync_tick_read (sync, active, now_ms, effects);
    else if (active->state == VP_CONFIG_SYNC_CHANGE_ANNOUNCE)
      _vp_config_sync_tick_announce (sync, active, now_ms, effects);
    else
      _vp_config_sync_tick_write (sync, active, now_ms, effects);
  }
  _vp_config_sync_tick_propagate (sync, now_ms, effects);
}

int64_t
_vp_config_sync_change_next_ms (const VpConfigSync *sync)
{
  const VpConfigSyncChange *active = _vp_config_sync_active_change (sync);
  int64_t next_ms = INT64_MAX;

  if (active != NULL && sync->write_token == 0)
    next_ms = active->next_send_ms;
  for (GList *at = sync->propagating->head; at != NULL; at = at->next)
    next_ms = MIN (next_ms, ((const VpConfigSyncChange *)at->data)->next_send_ms);
  return next_ms;
}
