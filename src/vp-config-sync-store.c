#include "vp-config-sync-private.h"
#include "vp-safeguard.h"

#include <string.h>

/* Logs a read that returned a value older than one seen before, as happens after a failover of the
 * store or with a stale replica, and returns false. Such a read confirms nothing. */
static bool
_vp_config_sync_reject_stale (VpConfigSync *sync,
                              uint64_t version,
                              uint64_t revision,
                              VpEffects *effects)
{
  if (sync->is_stale_read_logged)
    return false;
  sync->is_stale_read_logged = true;
  vp_effects_log (effects, G_LOG_LEVEL_WARNING,
                  "the store returned an older configuration (version %" G_GUINT64_FORMAT
                  ", revision %" G_GUINT64_FORMAT "); it is not used",
                  version, revision);
  return false;
}

/* Drops the pending changes that can no longer be written because the store value has left the
 * version that they would replace. */
static void
_vp_config_sync_resolve_pending (VpConfigSync *sync)
{
  for (guint i = sync->pending->len; i > 0; i--)
    if (g_array_index (sync->pending, VpConfigSyncPending, i - 1).base_version
        < sync->store_version)
      _vp_config_sync_drop_pending (sync, i - 1);
}

static void
_vp_config_sync_set_store_version (VpConfigSync *sync,
                                   uint64_t version,
                                   uint64_t revision,
                                   GBytes *value)
{
  sync->has_version = true;
  if (sync->conflict_version > 0 && version > sync->conflict_version)
    sync->is_voter = true;
  sync->store_version = version;
  sync->store_revision = revision;
  if (sync->store_value != value) {
    g_clear_pointer (&sync->store_value, g_bytes_unref);
    sync->store_value = value != NULL ? g_bytes_ref (value) : NULL;
  }
}

/* Parses a value whose version was not seen before and applies it. False if it is not valid or
 * older than what is known. */
static bool
_vp_config_sync_apply_store_value (VpConfigSync *sync,
                                   uint64_t version,
                                   GBytes *value,
                                   int64_t now_ms,
                                   VpEffects *effects)
{
  g_autoptr (VpConfig) config = NULL;
  g_autoptr (GError) error = NULL;
  gsize size;
  const char *text;

  if (value == NULL)
    return false;
  text = g_bytes_get_data (value, &size);
  config = vp_config_parse_stored (text, size, &error);
  if (config == NULL) {
    vp_effects_log (effects, G_LOG_LEVEL_WARNING, "the configuration in the store is not valid: %s",
                    error->message);
    return false;
  }
  if (config->revision < sync->seen_revision && !vp_safeguard_is_disabled (VP_SAFEGUARD_REVISION))
    return _vp_config_sync_reject_stale (sync, version, config->revision, effects);
  _vp_config_sync_set_store_version (sync, version, config->revision, value);
  _vp_config_sync_apply (sync, config, value, now_ms, effects);
  _vp_config_sync_resolve_pending (sync);
  return true;
}

void
_vp_config_sync_note_write_result (VpConfigSync *sync, const VpStoreResult *result)
{
  if (result->status == VP_STORE_OK)
    sync->is_voter = true;
  else if (result->status == VP_STORE_CONFLICT && sync->conflict_version == 0)
    sync->conflict_version = result->version;
  else if (result->status == VP_STORE_CONFLICT && result->version > sync->conflict_version)
    sync->is_voter = true;
}

bool
_vp_config_sync_handle_store_value (VpConfigSync *sync,
                                    uint64_t version,
                                    GBytes *value,
                                    int64_t as_of_ms,
                                    int64_t now_ms,
                                    VpEffects *effects)
{
  bool is_older = version < sync->store_version || (version == 0 && sync->seen_revision > 0);

  if (is_older && !vp_safeguard_is_disabled (VP_SAFEGUARD_REVISION))
    return _vp_config_sync_reject_stale (sync, version, 0, effects);
  if (version > sync->store_version || is_older) {
    if (!_vp_config_sync_apply_store_value (sync, version, value, now_ms, effects))
      return false;
  } else if (version == 0) {
    _vp_config_sync_set_store_version (sync, 0, 0, NULL);
  }
  if (sync->store_revision < sync->seen_revision)
    return _vp_config_sync_reject_stale (sync, version, sync->store_revision, effects);
  sync->is_stale_read_logged = false;
  /* Until the version has changed, reads may come from a replica that lags. The write that changes
   * the version would have shown that by a conflict. */
  if (sync->is_voter || version == 0)
    sync->store_as_of_ms = MAX (sync->store_as_of_ms, as_of_ms);
  return true;
}

void
_vp_config_sync_send_read (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  if (sync->read_token != 0)
    return;
  _vp_config_sync_store_op (sync, effects, VP_STORE_GET, VP_CONFIG_SYNC_STORE_KEY,
                            &sync->read_token);
  sync->next_read_ms = now_ms + sync->poll_ms;
}

/* Time from which the oldest pending change counts as abandoned by its sender. Members later in the
 * list wait longer. */
static int64_t
_vp_config_sync_abandon_ms (const VpConfigSync *sync)
{
  int64_t oldest_ms = INT64_MAX;

  for (guint i = 0; i < sync->pending->len; i++)
    oldest_ms = MIN (oldest_ms, g_array_index (sync->pending, VpConfigSyncPending, i).received_ms);
  return oldest_ms == INT64_MAX
             ? INT64_MAX
             : oldest_ms + VP_CONFIG_SYNC_ABANDON_MS
                   + (int64_t)sync->member_index * VP_CONFIG_SYNC_ABANDON_STEP_MS;
}

/* Time of the next read. Reads are needed until the version has changed, to resolve abandoned
 * changes, to catch up with a later revision, and if the other members have not confirmed the
 * revision for half of the time that keys stay trusted. */
static int64_t
_vp_config_sync_read_due_ms (const VpConfigSync *sync, int64_t now_ms)
{
  int64_t peers_as_of_ms
      = MAX (_vp_config_sync_majority_as_of_ms (sync, now_ms), sync->relayed_as_of_ms);
  int64_t due_ms = peers_as_of_ms + sync->key_trust_ms / 2;

  if (!sync->is_voter)
    due_ms = sync->next_read_ms;
  due_ms = MIN (due_ms, _vp_config_sync_abandon_ms (sync));
  if (sync->seen_revision > sync->config->revision)
    due_ms = sync->next_read_ms;
  return MAX (due_ms, sync->next_read_ms);
}

/* True if the value must be rewritten unchanged to give it a new version: to become a voter after a
 * restart, or to resolve a change that its sender abandoned. */
static bool
_vp_config_sync_needs_version_bump (const VpConfigSync *sync, int64_t now_ms)
{
  if (sync->store_value == NULL || sync->bump_token != 0 || sync->write_token != 0)
    return false;
  if (!sync->is_voter)
    return true;
  /* Waits until the read that is due at the same time has found the version unchanged. */
  return now_ms - VP_CONFIG_SYNC_RETRY_MS >= _vp_config_sync_abandon_ms (sync);
}

/* Drops abandoned changes that would create the value. There is no value to rewrite then, and no
 * key that such a change could withdraw. */
static void
_vp_config_sync_drop_abandoned_first_changes (VpConfigSync *sync, int64_t now_ms)
{
  if (sync->store_version == 0 && now_ms >= _vp_config_sync_abandon_ms (sync))
    for (guint i = sync->pending->len; i > 0; i--)
      if (g_array_index (sync->pending, VpConfigSyncPending, i - 1).base_version == 0)
        _vp_config_sync_drop_pending (sync, i - 1);
}

void
_vp_config_sync_store_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  VpStoreOp *op;

  if (sync->read_token == 0 && now_ms >= _vp_config_sync_read_due_ms (sync, now_ms))
    _vp_config_sync_send_read (sync, now_ms, effects);
  _vp_config_sync_drop_abandoned_first_changes (sync, now_ms);
  if (now_ms >= sync->next_bump_ms && _vp_config_sync_needs_version_bump (sync, now_ms)) {
    op = _vp_config_sync_store_op (sync, effects, VP_STORE_CAS, VP_CONFIG_SYNC_STORE_KEY,
                                   &sync->bump_token);
    op->version = sync->store_version;
    op->value = g_bytes_ref (sync->store_value);
    sync->next_bump_ms = now_ms + 2 * VP_CONFIG_SYNC_RETRY_MS;
  }
  if (sync->is_watching && sync->has_version && sync->watch_token == 0
      && now_ms >= sync->next_watch_ms) {
    op = _vp_config_sync_store_op (sync, effects, VP_STORE_WATCH, VP_CONFIG_SYNC_STORE_KEY,
                                   &sync->watch_token);
    op->version = sync->store_version;
    op->timeout_ms = VP_CONFIG_SYNC_WATCH_TIMEOUT_MS;
    sync->next_watch_ms = now_ms + VP_CONFIG_SYNC_RETRY_MS;
  }
}

int64_t
_vp_config_sync_store_next_ms (const VpConfigSync *sync)
{
  /* The majority's confirmation changes only with a heartbeat, and a tick follows each of those. */
  int64_t next_ms
      = sync->read_token == 0 ? _vp_config_sync_read_due_ms (sync, sync->next_read_ms) : INT64_MAX;

  if (sync->pending->len > 0)
    next_ms = MIN (next_ms, MAX (_vp_config_sync_abandon_ms (sync), sync->next_bump_ms));
  if (!sync->is_voter && sync->store_value != NULL)
    next_ms = MIN (next_ms, sync->next_bump_ms);
  if (sync->is_watching && sync->watch_token == 0)
    next_ms = MIN (next_ms, sync->next_watch_ms);
  return next_ms;
}
