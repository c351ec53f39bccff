#include "vp-fresh-private.h"
#include "vp-safeguard.h"

#include <string.h>

/* A read may show a value older than what is known: after a failover of the store, or from a stale
 * replica. It confirms nothing. */
static bool
_vp_fresh_disbelieve (VpFresh *fresh, uint64_t version, uint64_t revision, VpEffects *effects)
{
  if (fresh->is_disbelief_logged)
    return false;
  fresh->is_disbelief_logged = true;
  vp_effects_log (effects, G_LOG_LEVEL_WARNING,
                  "the store answered with an older configuration (version %" G_GUINT64_FORMAT
                  ", revision %" G_GUINT64_FORMAT "); it is not used",
                  version, revision);
  return false;
}

/* Drops the announcements that can no longer be written: the value has another version than the one
 * they are based on. */
static void
_vp_fresh_resolve (VpFresh *fresh)
{
  for (guint i = fresh->pending->len; i > 0; i--)
    if (g_array_index (fresh->pending, VpFreshPending, i - 1).base_version < fresh->store_version)
      _vp_fresh_drop_pending (fresh, i - 1);
}

static void
_vp_fresh_set_version (VpFresh *fresh, uint64_t version, uint64_t revision, GBytes *value)
{
  fresh->has_version = true;
  if (fresh->fence_version > 0 && version > fresh->fence_version)
    fresh->is_settled = true;
  fresh->store_version = version;
  fresh->store_revision = revision;
  if (fresh->store_value != value) {
    g_clear_pointer (&fresh->store_value, g_bytes_unref);
    fresh->store_value = value != NULL ? g_bytes_ref (value) : NULL;
  }
}

/* Reads a value with a version that was not seen before. */
static bool
_vp_fresh_take_value (VpFresh *fresh,
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
  if (config->revision < fresh->seen_revision && !vp_safeguard_is_disabled (VP_SAFEGUARD_REVISION))
    return _vp_fresh_disbelieve (fresh, version, config->revision, effects);
  _vp_fresh_set_version (fresh, version, config->revision, value);
  _vp_fresh_adopt (fresh, config, value, now_ms, effects);
  _vp_fresh_resolve (fresh);
  return true;
}

void
_vp_fresh_note_write (VpFresh *fresh, const VpStoreResult *result)
{
  if (result->status == VP_STORE_OK)
    fresh->is_settled = true;
  else if (result->status == VP_STORE_CONFLICT && fresh->fence_version == 0)
    fresh->fence_version = result->version;
  else if (result->status == VP_STORE_CONFLICT && result->version > fresh->fence_version)
    fresh->is_settled = true;
}

bool
_vp_fresh_observe (VpFresh *fresh,
                   uint64_t version,
                   GBytes *value,
                   int64_t as_of_ms,
                   int64_t now_ms,
                   VpEffects *effects)
{
  bool is_older = version < fresh->store_version || (version == 0 && fresh->seen_revision > 0);

  if (is_older && !vp_safeguard_is_disabled (VP_SAFEGUARD_REVISION))
    return _vp_fresh_disbelieve (fresh, version, 0, effects);
  if (version > fresh->store_version || is_older) {
    if (!_vp_fresh_take_value (fresh, version, value, now_ms, effects))
      return false;
  } else if (version == 0) {
    _vp_fresh_set_version (fresh, 0, 0, NULL);
  }
  if (fresh->store_revision < fresh->seen_revision)
    return _vp_fresh_disbelieve (fresh, version, fresh->store_revision, effects);
  fresh->is_disbelief_logged = false;
  /* Before the version has moved, the reads may come from a replica that lags; the write that moves
   * it would have shown that. */
  if (fresh->is_settled || version == 0)
    fresh->own_as_of_ms = MAX (fresh->own_as_of_ms, as_of_ms);
  return true;
}

void
_vp_fresh_read (VpFresh *fresh, int64_t now_ms, VpEffects *effects)
{
  if (fresh->read_token != 0)
    return;
  _vp_fresh_store_op (fresh, effects, VP_STORE_GET, VP_FRESH_KEY_CONFIG, &fresh->read_token);
  fresh->next_read_ms = now_ms + fresh->poll_ms;
}

/* Time at which an announcement is taken to be left behind by its sender; later members of the list
 * wait longer. */
static int64_t
_vp_fresh_resolve_ms (const VpFresh *fresh)
{
  int64_t oldest_ms = INT64_MAX;

  for (guint i = 0; i < fresh->pending->len; i++)
    oldest_ms = MIN (oldest_ms, g_array_index (fresh->pending, VpFreshPending, i).heard_ms);
  return oldest_ms == INT64_MAX ? INT64_MAX
                                : oldest_ms + VP_FRESH_RESOLVE_MS
                                      + (int64_t)fresh->member_index * VP_FRESH_RESOLVE_STEP_MS;
}

/* When a read is due: until the version has moved, to resolve announcements, to catch up, and when
 * the other members have not confirmed the revision for half of the time that keys may be used. */
static int64_t
_vp_fresh_read_due_ms (const VpFresh *fresh, int64_t now_ms)
{
  int64_t heard_ms = MAX (_vp_fresh_majority_ms (fresh, now_ms), fresh->relay_as_of_ms);
  int64_t due_ms = heard_ms + fresh->fresh_ms / 2;

  if (!fresh->is_settled)
    due_ms = fresh->next_read_ms;
  due_ms = MIN (due_ms, _vp_fresh_resolve_ms (fresh));
  if (fresh->seen_revision > fresh->config->revision)
    due_ms = fresh->next_read_ms;
  return MAX (due_ms, fresh->next_read_ms);
}

/* True if the value must be rewritten unchanged: to count as a voter after a restart, or to end an
 * announcement whose sender is silent. */
static bool
_vp_fresh_needs_fence (const VpFresh *fresh, int64_t now_ms)
{
  if (fresh->store_value == NULL || fresh->fence_token != 0 || fresh->write_token != 0)
    return false;
  if (!fresh->is_settled)
    return true;
  /* The read that is due at the same time has found the version unchanged by then. */
  return now_ms - VP_FRESH_RETRY_MS >= _vp_fresh_resolve_ms (fresh);
}

/* Without a value there is nothing to rewrite, and no key to be withdrawn either. */
static void
_vp_fresh_forget_first_changes (VpFresh *fresh, int64_t now_ms)
{
  if (fresh->store_version == 0 && now_ms >= _vp_fresh_resolve_ms (fresh))
    for (guint i = fresh->pending->len; i > 0; i--)
      if (g_array_index (fresh->pending, VpFreshPending, i - 1).base_version == 0)
        _vp_fresh_drop_pending (fresh, i - 1);
}

void
_vp_fresh_store_tick (VpFresh *fresh, int64_t now_ms, VpEffects *effects)
{
  VpStoreOp *op;

  if (fresh->read_token == 0 && now_ms >= _vp_fresh_read_due_ms (fresh, now_ms))
    _vp_fresh_read (fresh, now_ms, effects);
  _vp_fresh_forget_first_changes (fresh, now_ms);
  if (now_ms >= fresh->next_fence_ms && _vp_fresh_needs_fence (fresh, now_ms)) {
    op = _vp_fresh_store_op (fresh, effects, VP_STORE_CAS, VP_FRESH_KEY_CONFIG,
                             &fresh->fence_token);
    op->version = fresh->store_version;
    op->value = g_bytes_ref (fresh->store_value);
    fresh->next_fence_ms = now_ms + 2 * VP_FRESH_RETRY_MS;
  }
  if (fresh->is_watching && fresh->has_version && fresh->watch_token == 0
      && now_ms >= fresh->next_watch_ms) {
    op = _vp_fresh_store_op (fresh, effects, VP_STORE_WATCH, VP_FRESH_KEY_CONFIG,
                             &fresh->watch_token);
    op->version = fresh->store_version;
    op->timeout_ms = VP_FRESH_WATCH_MS;
    fresh->next_watch_ms = now_ms + VP_FRESH_RETRY_MS;
  }
}

int64_t
_vp_fresh_store_next_ms (const VpFresh *fresh)
{
  /* The majority's time moves only with heartbeats, after each of which a tick follows. */
  int64_t next_ms
      = fresh->read_token == 0 ? _vp_fresh_read_due_ms (fresh, fresh->next_read_ms) : INT64_MAX;

  if (fresh->pending->len > 0)
    next_ms = MIN (next_ms, MAX (_vp_fresh_resolve_ms (fresh), fresh->next_fence_ms));
  if (!fresh->is_settled && fresh->store_value != NULL)
    next_ms = MIN (next_ms, fresh->next_fence_ms);
  if (fresh->is_watching && fresh->watch_token == 0)
    next_ms = MIN (next_ms, fresh->next_watch_ms);
  return next_ms;
}
