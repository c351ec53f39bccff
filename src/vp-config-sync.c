#include "vp-config-sync-private.h"
#include "vp-safeguard.h"

#include <string.h>
#include <xxhash.h>

enum {
  VP_CONFIG_SYNC_KEY_TRUST_DEFAULT_MS = 3000,
  VP_CONFIG_SYNC_ANNOUNCE_TIMEOUT_DEFAULT_MS = 1000,
};

static void
_vp_config_sync_clear_pending (gpointer data)
{
  VpConfigSyncPending *pending = data;

  vp_config_unref (pending->config);
  g_bytes_unref (pending->stored);
}

VpConfigSync *
vp_config_sync_setup (const VpConfigSyncDesc *desc)
{
  VpConfigSync *sync = g_new0 (VpConfigSync, 1);

  g_assert (desc->member_count >= 1 && desc->member_count <= VP_MEMBERS_MAX);
  vp_name_copy (sync->member, sizeof sync->member, desc->member);
  sync->member_count = desc->member_count;
  sync->boot = desc->boot;
  sync->key_trust_ms
      = desc->key_trust_ms > 0 ? desc->key_trust_ms : VP_CONFIG_SYNC_KEY_TRUST_DEFAULT_MS;
  sync->poll_ms = desc->poll_ms > 0 ? desc->poll_ms : sync->key_trust_ms / 2;
  sync->announce_timeout_ms = desc->announce_timeout_ms > 0
                                  ? desc->announce_timeout_ms
                                  : VP_CONFIG_SYNC_ANNOUNCE_TIMEOUT_DEFAULT_MS;
  sync->peers = g_new0 (VpConfigSyncPeer, desc->member_count);
  sync->member_index = desc->member_count;
  for (uint32_t i = 0; i < desc->member_count; i++) {
    vp_name_copy (sync->peers[i].name, VP_NAME_MAX, desc->members[i]);
    sync->peers[i].as_of_ms = VP_CONFIG_SYNC_NEVER_MS;
    if (strcmp (desc->members[i], desc->member) == 0)
      sync->member_index = i;
  }
  g_assert (sync->member_index < desc->member_count);
  /* The number of a heartbeat from before a restart must not match one sent after it, so the first
   * number depends on the boot. The two highest bits are cleared, so that the numbers never wrap
   * while the process lives. */
  sync->next_heartbeat_id
      = XXH3_64bits_withSeed (desc->member, strlen (desc->member), desc->boot) >> 2;
  sync->config = vp_config_new_empty ();
  sync->pending = g_array_new (FALSE, TRUE, sizeof (VpConfigSyncPending));
  g_array_set_clear_func (sync->pending, _vp_config_sync_clear_pending);
  sync->store_as_of_ms = VP_CONFIG_SYNC_NEVER_MS;
  sync->relayed_as_of_ms = VP_CONFIG_SYNC_NEVER_MS;
  sync->audit_as_of_ms = VP_CONFIG_SYNC_NEVER_MS;
  sync->changes = g_queue_new ();
  sync->propagating = g_queue_new ();
  sync->outcomes = g_array_new (FALSE, TRUE, sizeof (VpConfigSyncOutcome));
  sync->audit_unrecorded = g_ptr_array_new_with_free_func ((GDestroyNotify)vp_config_unref);
  return sync;
}

void
vp_config_sync_shutdown (VpConfigSync *sync)
{
  if (sync == NULL)
    return;
  g_free (sync->peers);
  vp_config_unref (sync->config);
  g_clear_pointer (&sync->stored, g_bytes_unref);
  g_array_unref (sync->pending);
  g_clear_pointer (&sync->store_value, g_bytes_unref);
  g_queue_free_full (sync->changes, (GDestroyNotify)_vp_config_sync_change_free);
  g_queue_free_full (sync->propagating, (GDestroyNotify)_vp_config_sync_change_free);
  g_array_unref (sync->outcomes);
  g_ptr_array_unref (sync->audit_unrecorded);
  g_clear_pointer (&sync->audit, g_bytes_unref);
  g_clear_pointer (&sync->audit_value, g_bytes_unref);
  g_clear_pointer (&sync->audit_sent, g_bytes_unref);
  g_free (sync);
}

void
vp_config_sync_set_watching (VpConfigSync *sync, bool is_watching)
{
  sync->is_watching = is_watching;
}

VpConfig *
vp_config_sync_config (const VpConfigSync *sync)
{
  return sync->config;
}

uint64_t
vp_config_sync_revision (const VpConfigSync *sync)
{
  return sync->config->revision;
}

uint64_t
vp_config_sync_announced_revision (const VpConfigSync *sync)
{
  uint64_t revision = 0;

  for (guint i = 0; i < sync->pending->len; i++)
    revision
        = MAX (revision, g_array_index (sync->pending, VpConfigSyncPending, i).config->revision);
  return revision;
}

int64_t
vp_config_sync_confirmed_age_ms (const VpConfigSync *sync, int64_t now_ms)
{
  int64_t as_of_ms = MAX (sync->store_as_of_ms, sync->relayed_as_of_ms);

  return as_of_ms == VP_CONFIG_SYNC_NEVER_MS ? -1 : MAX (now_ms - as_of_ms, 0);
}

const VpConfigSyncPending *
_vp_config_sync_find_pending (const VpConfigSync *sync, uint64_t change)
{
  for (guint i = 0; i < sync->pending->len; i++) {
    const VpConfigSyncPending *pending = &g_array_index (sync->pending, VpConfigSyncPending, i);
    if (pending->change == change)
      return pending;
  }
  return NULL;
}

bool
_vp_config_sync_is_resolved (const VpConfigSync *sync, uint64_t change)
{
  for (uint32_t i = 0; i < VP_CONFIG_SYNC_RESOLVED_MAX; i++)
    if (sync->resolved[i] == change)
      return true;
  return change == sync->config->origin.change;
}

/* True if a peer's report may count towards the majority that confirms this member's revision. All
 * changes that the peer listed must be known to this member, since the keys that it refuses depend
 * on them. */
static bool
_vp_config_sync_is_report_valid (const VpConfigSync *sync, const VpConfigSyncPeer *peer)
{
  if (peer->as_of_ms == VP_CONFIG_SYNC_NEVER_MS || !peer->is_voter
      || peer->revision > sync->config->revision)
    return false;
  for (uint32_t i = 0; i < peer->pending_count; i++)
    if (_vp_config_sync_find_pending (sync, peer->pending[i]) == NULL
        && !_vp_config_sync_is_resolved (sync, peer->pending[i]))
      return false;
  return true;
}

static int
_vp_config_sync_compare_newest_first (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x < y) - (x > y);
}

int64_t
_vp_config_sync_majority_as_of_ms (const VpConfigSync *sync, int64_t now_ms)
{
  int64_t times[VP_MEMBERS_MAX];
  uint32_t needed = sync->member_count / 2 + 1;
  uint32_t count = 0;

  if (sync->is_voter)
    times[count++] = now_ms;
  for (uint32_t i = 0; i < sync->member_count; i++)
    if (i != sync->member_index && _vp_config_sync_is_report_valid (sync, &sync->peers[i]))
      times[count++] = sync->peers[i].as_of_ms;
  if (count < needed)
    return VP_CONFIG_SYNC_NEVER_MS;
  qsort (times, count, sizeof times[0], _vp_config_sync_compare_newest_first);
  return times[needed - 1];
}

bool
vp_config_sync_keys_trusted (const VpConfigSync *sync, int64_t now_ms)
{
  int64_t as_of_ms = MAX (MAX (sync->store_as_of_ms, sync->relayed_as_of_ms),
                          _vp_config_sync_majority_as_of_ms (sync, now_ms));

  return sync->seen_revision <= sync->config->revision && now_ms - as_of_ms < sync->key_trust_ms;
}

bool
vp_config_sync_key_valid (const VpConfigSync *sync, const char *key, char team[VP_NAME_MAX])
{
  const VpTeam *found;
  char digest[65];

  team[0] = '\0';
  vp_config_key_digest (key, digest);
  found = vp_config_digest_team (sync->config, digest);
  if (found == NULL)
    return false;
  for (guint i = 0; i < sync->pending->len; i++) {
    const VpConfigSyncPending *pending = &g_array_index (sync->pending, VpConfigSyncPending, i);
    const VpTeam *later = vp_config_digest_team (pending->config, digest);
    if (later == NULL || strcmp (later->name, found->name) != 0)
      return false;
  }
  return vp_name_copy (team, VP_NAME_MAX, found->name);
}

VpStoreOp *
_vp_config_sync_store_op (VpConfigSync *sync,
                          VpEffects *effects,
                          VpStoreKind kind,
                          const char *key,
                          uint64_t *token)
{
  VpStoreOp *op = vp_effects_store (effects, VP_MODULE_CONFIG_SYNC, kind, key);

  op->token = ++sync->next_token;
  *token = op->token;
  return op;
}

bool
_vp_config_sync_add_pending (VpConfigSync *sync,
                             uint64_t base_version,
                             VpConfig *config,
                             GBytes *stored,
                             int64_t now_ms)
{
  VpConfigSyncPending pending = {
    .change = config->origin.change,
    .base_version = base_version,
    .received_ms = now_ms,
  };

  if (sync->pending->len >= VP_CONFIG_SYNC_PENDING_MAX)
    return false;
  pending.config = vp_config_ref (config);
  pending.stored = g_bytes_ref (stored);
  g_array_append_val (sync->pending, pending);
  return true;
}

void
_vp_config_sync_drop_pending (VpConfigSync *sync, guint index)
{
  sync->resolved[sync->resolved_next++ % VP_CONFIG_SYNC_RESOLVED_MAX]
      = g_array_index (sync->pending, VpConfigSyncPending, index).change;
  g_array_remove_index (sync->pending, index);
}

void
_vp_config_sync_apply (VpConfigSync *sync,
                       VpConfig *config,
                       GBytes *stored,
                       int64_t now_ms,
                       VpEffects *effects)
{
  VpConfig *old = sync->config;

  sync->seen_revision = MAX (sync->seen_revision, config->revision);
  if (config->revision <= old->revision
      && !(config->revision < old->revision && vp_safeguard_is_disabled (VP_SAFEGUARD_REVISION)))
    return;
  /* The confirmations keep their dates: up to then no revision after the old one was accepted, so
   * none after the new one either. */
  sync->config = vp_config_ref (config);
  vp_config_unref (old);
  g_clear_pointer (&sync->stored, g_bytes_unref);
  sync->stored = g_bytes_ref (stored);
  /* Changes up to this revision can't be written any more, since the store value has left the
   * version that they would replace. */
  for (guint i = sync->pending->len; i > 0; i--)
    if (g_array_index (sync->pending, VpConfigSyncPending, i - 1).config->revision
        <= config->revision)
      _vp_config_sync_drop_pending (sync, i - 1);
  vp_effects_add (effects, VP_EFFECT_CONFIG)->config = vp_config_ref (config);
  vp_effects_log (effects, G_LOG_LEVEL_MESSAGE,
                  "configuration revision %" G_GUINT64_FORMAT " is in force", config->revision);
  _vp_config_sync_change_confirmed (sync, sync->member_index, config->revision, now_ms, effects);
}

void
vp_config_sync_store_result (VpConfigSync *sync,
                             const VpStoreResult *result,
                             int64_t now_ms,
                             VpEffects *effects)
{
  bool is_value = result->status == VP_STORE_OK || result->status == VP_STORE_NOT_FOUND;
  bool is_ok;
  int64_t as_of_ms = result->sent_ms; /* the result is at least as recent as this */

  if (result->token == 0)
    return;
  if (result->token == sync->audit_token) {
    _vp_config_sync_audit_result (sync, result, now_ms, effects);
  } else if (result->token == sync->write_token) {
    sync->write_token = 0;
    _vp_config_sync_note_write_result (sync, result);
    _vp_config_sync_change_written (sync, result, now_ms, effects);
  } else if (result->token == sync->bump_token) {
    sync->bump_token = 0;
    _vp_config_sync_note_write_result (sync, result);
    if (result->status == VP_STORE_CONFLICT)
      sync->next_bump_ms = now_ms;
    if (result->status == VP_STORE_OK)
      _vp_config_sync_handle_store_value (sync, result->version, sync->store_value, as_of_ms,
                                          now_ms, effects);
    else if (result->status == VP_STORE_CONFLICT)
      _vp_config_sync_handle_store_value (sync, result->version, result->value, as_of_ms, now_ms,
                                          effects);
  } else if (result->token == sync->read_token) {
    sync->read_token = 0;
    is_ok = is_value
            && _vp_config_sync_handle_store_value (sync, result->version, result->value, as_of_ms,
                                                   now_ms, effects);
    if (is_ok)
      _vp_config_sync_change_read (sync, as_of_ms, now_ms, effects);
  } else if (result->token == sync->watch_token) {
    sync->watch_token = 0;
    is_ok = is_value
            && _vp_config_sync_handle_store_value (sync, result->version, result->value, as_of_ms,
                                                   now_ms, effects);
    sync->next_watch_ms = is_ok ? now_ms : now_ms + VP_CONFIG_SYNC_RETRY_MS;
  }
  vp_config_sync_tick (sync, now_ms, effects);
}

static void
_vp_config_sync_log_trust (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  bool is_trusted = vp_config_sync_keys_trusted (sync, now_ms);

  if (is_trusted == sync->is_trusted_logged)
    return;
  sync->is_trusted_logged = is_trusted;
  vp_effects_log (effects, is_trusted ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_WARNING,
                  "keys are %s at revision %" G_GUINT64_FORMAT,
                  is_trusted ? "trusted" : "no longer trusted", sync->config->revision);
}

void
vp_config_sync_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  _vp_config_sync_change_tick (sync, now_ms, effects);
  _vp_config_sync_store_tick (sync, now_ms, effects);
  _vp_config_sync_peer_tick (sync, now_ms, effects);
  _vp_config_sync_audit_tick (sync, now_ms, effects);
  _vp_config_sync_log_trust (sync, now_ms, effects);
}

void
vp_config_sync_take_outcomes (VpConfigSync *sync, GArray *outcomes)
{
  g_array_append_vals (outcomes, sync->outcomes->data, sync->outcomes->len);
  g_array_set_size (sync->outcomes, 0);
}

int64_t
vp_config_sync_next_ms (const VpConfigSync *sync)
{
  int64_t next_ms = _vp_config_sync_store_next_ms (sync);

  next_ms = MIN (next_ms, _vp_config_sync_change_next_ms (sync));
  next_ms = MIN (next_ms, _vp_config_sync_audit_next_ms (sync));
  if (sync->seen_revision > sync->config->revision)
    next_ms = MIN (next_ms, sync->next_request_ms);
  return next_ms;
}
