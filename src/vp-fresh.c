#include "vp-fresh-private.h"
#include "vp-safeguard.h"

#include <string.h>
#include <xxhash.h>

enum {
  VP_FRESH_DEFAULT_MS = 3000,
  VP_FRESH_ANNOUNCE_DEFAULT_MS = 1000,
};

static void
_vp_fresh_clear_pending (gpointer data)
{
  VpFreshPending *pending = data;

  vp_config_unref (pending->config);
  g_bytes_unref (pending->stored);
}

VpFresh *
vp_fresh_setup (const VpFreshDesc *desc)
{
  VpFresh *fresh = g_new0 (VpFresh, 1);

  g_assert (desc->member_count >= 1 && desc->member_count <= VP_MEMBERS_MAX);
  vp_name_copy (fresh->member, sizeof fresh->member, desc->member);
  fresh->member_count = desc->member_count;
  fresh->boot = desc->boot;
  fresh->fresh_ms = desc->fresh_ms > 0 ? desc->fresh_ms : VP_FRESH_DEFAULT_MS;
  fresh->poll_ms = desc->poll_ms > 0 ? desc->poll_ms : fresh->fresh_ms / 2;
  fresh->announce_ms = desc->announce_ms > 0 ? desc->announce_ms : VP_FRESH_ANNOUNCE_DEFAULT_MS;
  fresh->peers = g_new0 (VpFreshPeer, desc->member_count);
  fresh->member_index = desc->member_count;
  for (uint32_t i = 0; i < desc->member_count; i++) {
    vp_name_copy (fresh->peers[i].name, VP_NAME_MAX, desc->members[i]);
    fresh->peers[i].as_of_ms = VP_FRESH_NEVER_MS;
    if (strcmp (desc->members[i], desc->member) == 0)
      fresh->member_index = i;
  }
  g_assert (fresh->member_index < desc->member_count);
  /* An echo of an earlier boot's heartbeat must not match one of this boot. Two bits stay free, so
   * the numbers grow for the life of the process. */
  fresh->next_nonce = XXH3_64bits_withSeed (desc->member, strlen (desc->member), desc->boot) >> 2;
  fresh->config = vp_config_new_empty ();
  fresh->pending = g_array_new (FALSE, TRUE, sizeof (VpFreshPending));
  g_array_set_clear_func (fresh->pending, _vp_fresh_clear_pending);
  fresh->own_as_of_ms = VP_FRESH_NEVER_MS;
  fresh->relay_as_of_ms = VP_FRESH_NEVER_MS;
  fresh->audit_as_of_ms = VP_FRESH_NEVER_MS;
  fresh->changes = g_queue_new ();
  fresh->spreading = g_queue_new ();
  fresh->outcomes = g_array_new (FALSE, TRUE, sizeof (VpFreshOutcome));
  fresh->audit_wanted = g_ptr_array_new_with_free_func ((GDestroyNotify)vp_config_unref);
  return fresh;
}

void
vp_fresh_shutdown (VpFresh *fresh)
{
  if (fresh == NULL)
    return;
  g_free (fresh->peers);
  vp_config_unref (fresh->config);
  g_clear_pointer (&fresh->stored, g_bytes_unref);
  g_array_unref (fresh->pending);
  g_clear_pointer (&fresh->store_value, g_bytes_unref);
  g_queue_free_full (fresh->changes, (GDestroyNotify)_vp_fresh_change_free);
  g_queue_free_full (fresh->spreading, (GDestroyNotify)_vp_fresh_change_free);
  g_array_unref (fresh->outcomes);
  g_ptr_array_unref (fresh->audit_wanted);
  g_clear_pointer (&fresh->audit, g_bytes_unref);
  g_clear_pointer (&fresh->audit_value, g_bytes_unref);
  g_clear_pointer (&fresh->audit_written, g_bytes_unref);
  g_free (fresh);
}

void
vp_fresh_set_watching (VpFresh *fresh, bool is_watching)
{
  fresh->is_watching = is_watching;
}

VpConfig *
vp_fresh_config (const VpFresh *fresh)
{
  return fresh->config;
}

uint64_t
vp_fresh_revision (const VpFresh *fresh)
{
  return fresh->config->revision;
}

uint64_t
vp_fresh_announced (const VpFresh *fresh)
{
  uint64_t revision = 0;

  for (guint i = 0; i < fresh->pending->len; i++)
    revision = MAX (revision, g_array_index (fresh->pending, VpFreshPending, i).config->revision);
  return revision;
}

int64_t
vp_fresh_confirmed_age_ms (const VpFresh *fresh, int64_t now_ms)
{
  int64_t as_of_ms = MAX (fresh->own_as_of_ms, fresh->relay_as_of_ms);

  return as_of_ms == VP_FRESH_NEVER_MS ? -1 : MAX (now_ms - as_of_ms, 0);
}

const VpFreshPending *
_vp_fresh_find_pending (const VpFresh *fresh, uint64_t change)
{
  for (guint i = 0; i < fresh->pending->len; i++) {
    const VpFreshPending *pending = &g_array_index (fresh->pending, VpFreshPending, i);
    if (pending->change == change)
      return pending;
  }
  return NULL;
}

bool
_vp_fresh_is_resolved (const VpFresh *fresh, uint64_t change)
{
  for (uint32_t i = 0; i < VP_FRESH_RESOLVED_MAX; i++)
    if (fresh->resolved[i] == change)
      return true;
  return change == fresh->config->origin.change;
}

/* True if all changes that the peer listed are known here: refused keys follow from them. */
static bool
_vp_fresh_report_counts (const VpFresh *fresh, const VpFreshPeer *peer)
{
  if (peer->as_of_ms == VP_FRESH_NEVER_MS || !peer->is_settled
      || peer->revision > fresh->config->revision)
    return false;
  for (uint32_t i = 0; i < peer->pending_count; i++)
    if (_vp_fresh_find_pending (fresh, peer->pending[i]) == NULL
        && !_vp_fresh_is_resolved (fresh, peer->pending[i]))
      return false;
  return true;
}

static int
_vp_fresh_compare_newest (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x < y) - (x > y);
}

int64_t
_vp_fresh_majority_ms (const VpFresh *fresh, int64_t now_ms)
{
  int64_t times[VP_MEMBERS_MAX];
  uint32_t needed = fresh->member_count / 2 + 1;
  uint32_t count = 0;

  if (fresh->is_settled)
    times[count++] = now_ms;
  for (uint32_t i = 0; i < fresh->member_count; i++)
    if (i != fresh->member_index && _vp_fresh_report_counts (fresh, &fresh->peers[i]))
      times[count++] = fresh->peers[i].as_of_ms;
  if (count < needed)
    return VP_FRESH_NEVER_MS;
  qsort (times, count, sizeof times[0], _vp_fresh_compare_newest);
  return times[needed - 1];
}

bool
vp_fresh_keys_trusted (const VpFresh *fresh, int64_t now_ms)
{
  int64_t as_of_ms = MAX (MAX (fresh->own_as_of_ms, fresh->relay_as_of_ms),
                          _vp_fresh_majority_ms (fresh, now_ms));

  return fresh->seen_revision <= fresh->config->revision && now_ms - as_of_ms < fresh->fresh_ms;
}

bool
vp_fresh_key_valid (const VpFresh *fresh, const char *key, char team[VP_NAME_MAX])
{
  const VpTeam *found;
  char digest[65];

  team[0] = '\0';
  vp_config_key_digest (key, digest);
  found = vp_config_digest_team (fresh->config, digest);
  if (found == NULL)
    return false;
  for (guint i = 0; i < fresh->pending->len; i++) {
    const VpFreshPending *pending = &g_array_index (fresh->pending, VpFreshPending, i);
    const VpTeam *later = vp_config_digest_team (pending->config, digest);
    if (later == NULL || strcmp (later->name, found->name) != 0)
      return false;
  }
  return vp_name_copy (team, VP_NAME_MAX, found->name);
}

VpStoreOp *
_vp_fresh_store_op (VpFresh *fresh,
                    VpEffects *effects,
                    VpStoreKind kind,
                    const char *key,
                    uint64_t *token)
{
  VpStoreOp *op = vp_effects_store (effects, VP_MODULE_FRESH, kind, key);

  op->token = ++fresh->next_token;
  *token = op->token;
  return op;
}

bool
_vp_fresh_add_pending (VpFresh *fresh,
                       uint64_t base_version,
                       VpConfig *config,
                       GBytes *stored,
                       int64_t now_ms)
{
  VpFreshPending pending = {
    .change = config->origin.change,
    .base_version = base_version,
    .heard_ms = now_ms,
  };

  if (fresh->pending->len >= VP_FRESH_PENDING_MAX)
    return false;
  pending.config = vp_config_ref (config);
  pending.stored = g_bytes_ref (stored);
  g_array_append_val (fresh->pending, pending);
  return true;
}

void
_vp_fresh_drop_pending (VpFresh *fresh, guint index)
{
  fresh->resolved[fresh->resolved_next++ % VP_FRESH_RESOLVED_MAX]
      = g_array_index (fresh->pending, VpFreshPending, index).change;
  g_array_remove_index (fresh->pending, index);
}

void
_vp_fresh_adopt (VpFresh *fresh,
                 VpConfig *config,
                 GBytes *stored,
                 int64_t now_ms,
                 VpEffects *effects)
{
  VpConfig *old = fresh->config;

  fresh->seen_revision = MAX (fresh->seen_revision, config->revision);
  if (config->revision <= old->revision
      && !(config->revision < old->revision && vp_safeguard_is_disabled (VP_SAFEGUARD_REVISION)))
    return;
  /* as_of times stay: until then no later revision than the old one was accepted, so none later
   * than this one either. */
  fresh->config = vp_config_ref (config);
  vp_config_unref (old);
  g_clear_pointer (&fresh->stored, g_bytes_unref);
  fresh->stored = g_bytes_ref (stored);
  /* The store value has moved past the version that these were announced for. */
  for (guint i = fresh->pending->len; i > 0; i--)
    if (g_array_index (fresh->pending, VpFreshPending, i - 1).config->revision <= config->revision)
      _vp_fresh_drop_pending (fresh, i - 1);
  vp_effects_add (effects, VP_EFFECT_CONFIG)->config = vp_config_ref (config);
  vp_effects_log (effects, G_LOG_LEVEL_MESSAGE,
                  "configuration revision %" G_GUINT64_FORMAT " is in force", config->revision);
  _vp_fresh_change_confirmed (fresh, fresh->member_index, config->revision, now_ms, effects);
}

void
vp_fresh_store_result (VpFresh *fresh,
                       const VpStoreResult *result,
                       int64_t now_ms,
                       VpEffects *effects)
{
  bool is_value = result->status == VP_STORE_OK || result->status == VP_STORE_NOT_FOUND;
  bool is_ok;
  int64_t as_of_ms = result->sent_ms;

  if (result->token == 0)
    return;
  if (result->token == fresh->audit_token) {
    _vp_fresh_audit_result (fresh, result, now_ms, effects);
  } else if (result->token == fresh->write_token) {
    fresh->write_token = 0;
    _vp_fresh_note_write (fresh, result);
    _vp_fresh_change_written (fresh, result, now_ms, effects);
  } else if (result->token == fresh->fence_token) {
    fresh->fence_token = 0;
    _vp_fresh_note_write (fresh, result);
    if (result->status == VP_STORE_CONFLICT)
      fresh->next_fence_ms = now_ms;
    if (result->status == VP_STORE_OK)
      _vp_fresh_observe (fresh, result->version, fresh->store_value, as_of_ms, now_ms, effects);
    else if (result->status == VP_STORE_CONFLICT)
      _vp_fresh_observe (fresh, result->version, result->value, as_of_ms, now_ms, effects);
  } else if (result->token == fresh->read_token) {
    fresh->read_token = 0;
    is_ok = is_value
            && _vp_fresh_observe (fresh, result->version, result->value, as_of_ms, now_ms, effects);
    if (is_ok)
      _vp_fresh_change_read (fresh, as_of_ms, now_ms, effects);
  } else if (result->token == fresh->watch_token) {
    fresh->watch_token = 0;
    is_ok = is_value
            && _vp_fresh_observe (fresh, result->version, result->value, as_of_ms, now_ms, effects);
    fresh->next_watch_ms = is_ok ? now_ms : now_ms + VP_FRESH_RETRY_MS;
  }
  vp_fresh_tick (fresh, now_ms, effects);
}

static void
_vp_fresh_log_trust (VpFresh *fresh, int64_t now_ms, VpEffects *effects)
{
  bool is_trusted = vp_fresh_keys_trusted (fresh, now_ms);

  if (is_trusted == fresh->is_trusted_logged)
    return;
  fresh->is_trusted_logged = is_trusted;
  vp_effects_log (effects, is_trusted ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_WARNING,
                  "keys are %s at revision %" G_GUINT64_FORMAT,
                  is_trusted ? "trusted" : "no longer trusted", fresh->config->revision);
}

void
vp_fresh_tick (VpFresh *fresh, int64_t now_ms, VpEffects *effects)
{
  _vp_fresh_change_tick (fresh, now_ms, effects);
  _vp_fresh_store_tick (fresh, now_ms, effects);
  _vp_fresh_peer_tick (fresh, now_ms, effects);
  _vp_fresh_audit_tick (fresh, now_ms, effects);
  _vp_fresh_log_trust (fresh, now_ms, effects);
}

void
vp_fresh_take_outcomes (VpFresh *fresh, GArray *outcomes)
{
  g_array_append_vals (outcomes, fresh->outcomes->data, fresh->outcomes->len);
  g_array_set_size (fresh->outcomes, 0);
}

int64_t
vp_fresh_next_ms (const VpFresh *fresh)
{
  int64_t next_ms = _vp_fresh_store_next_ms (fresh);

  next_ms = MIN (next_ms, _vp_fresh_change_next_ms (fresh));
  next_ms = MIN (next_ms, _vp_fresh_audit_next_ms (fresh));
  if (fresh->seen_revision > fresh->config->revision)
    next_ms = MIN (next_ms, fresh->next_ask_ms);
  return next_ms;
}
