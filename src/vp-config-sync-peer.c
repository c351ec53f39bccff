#include "vp-config-sync-private.h"

#include <string.h>

/* The body of a heartbeat consists of little-endian 64-bit words: the number of the receiver's last
 * heartbeat, 1 if the sender is a voter, and the identities of the pending changes. */
enum { VP_CONFIG_SYNC_HEARTBEAT_WORDS_MIN = 2 };

VpPeerMessage *
_vp_config_sync_add_message (VpConfigSync *sync,
                             VpEffects *effects,
                             const char *peer,
                             VpPeerKind kind)
{
  VpEffect *effect = vp_effects_add (effects, VP_EFFECT_PEER);

  vp_name_copy (effect->peer.peer, sizeof effect->peer.peer, peer);
  effect->peer.message.kind = kind;
  effect->peer.message.boot = sync->boot;
  vp_name_copy (effect->peer.message.from, sizeof effect->peer.message.from, sync->member);
  return &effect->peer.message;
}

void
_vp_config_sync_send_announce (VpConfigSync *sync,
                               const char *peer,
                               const VpConfigSyncPending *pending,
                               VpEffects *effects)
{
  VpPeerMessage *message
      = _vp_config_sync_add_message (sync, effects, peer, VP_PEER_CONFIG_ANNOUNCE);

  message->revision = pending->config->revision;
  message->correlation = pending->change;
  message->epoch = pending->base_version;
  message->body = g_bytes_ref (pending->stored);
}

void
_vp_config_sync_send_cancel (VpConfigSync *sync,
                             const char *peer,
                             uint64_t change,
                             VpEffects *effects)
{
  _vp_config_sync_add_message (sync, effects, peer, VP_PEER_CONFIG_ANNOUNCE)->correlation = change;
}

void
_vp_config_sync_send_config (VpConfigSync *sync, const char *peer, VpEffects *effects)
{
  VpPeerMessage *message;

  if (sync->stored == NULL)
    return;
  message = _vp_config_sync_add_message (sync, effects, peer, VP_PEER_CONFIG);
  message->revision = sync->config->revision;
  message->body = g_bytes_ref (sync->stored);
}

static VpConfigSyncPeer *
_vp_config_sync_find_peer (VpConfigSync *sync, const char *name)
{
  for (uint32_t i = 0; i < sync->member_count; i++)
    if (i != sync->member_index && strcmp (sync->peers[i].name, name) == 0)
      return &sync->peers[i];
  return NULL;
}

void
vp_config_sync_fill_heartbeat (VpConfigSync *sync,
                               const char *peer,
                               int64_t now_ms,
                               VpPeerMessage *message)
{
  VpConfigSyncPeer *to = _vp_config_sync_find_peer (sync, peer);
  uint64_t words[VP_CONFIG_SYNC_HEARTBEAT_WORDS_MIN + VP_CONFIG_SYNC_PENDING_MAX];
  uint32_t count = 0;

  if (to == NULL)
    return;
  message->revision = sync->config->revision;
  message->announced_revision = vp_config_sync_announced_revision (sync);
  message->confirmed_age_ms = vp_config_sync_confirmed_age_ms (sync, now_ms);
  message->correlation = sync->next_heartbeat_id++;
  to->sent[to->sent_next++ % VP_CONFIG_SYNC_SENT_HEARTBEATS_MAX]
      = (VpConfigSyncSentHeartbeat){ .heartbeat_id = message->correlation, .sent_ms = now_ms };
  words[count++] = GUINT64_TO_LE (to->heartbeat_id);
  words[count++] = GUINT64_TO_LE (sync->is_voter ? 1 : 0);
  for (guint i = 0; i < sync->pending->len; i++)
    words[count++] = GUINT64_TO_LE (g_array_index (sync->pending, VpConfigSyncPending, i).change);
  g_clear_pointer (&message->body, g_bytes_unref);
  message->body = g_bytes_new (words, count * sizeof words[0]);
}

/* Time at which the heartbeat with that number was sent to the peer; VP_CONFIG_SYNC_NEVER_MS if it
 * is not known. */
static int64_t
_vp_config_sync_heartbeat_sent_ms (const VpConfigSyncPeer *peer, uint64_t heartbeat_id)
{
  uint32_t count = MIN (peer->sent_next, VP_CONFIG_SYNC_SENT_HEARTBEATS_MAX);

  for (uint32_t i = 0; i < count; i++)
    if (peer->sent[i].heartbeat_id == heartbeat_id)
      return peer->sent[i].sent_ms;
  return VP_CONFIG_SYNC_NEVER_MS;
}

/* Stores a peer's report if it is newer than the last one. */
static void
_vp_config_sync_handle_report (VpConfigSync *sync,
                               VpConfigSyncPeer *peer,
                               const VpPeerMessage *message)
{
  uint64_t words[VP_CONFIG_SYNC_HEARTBEAT_WORDS_MIN + VP_CONFIG_SYNC_PENDING_MAX];
  gsize size = 0;
  const void *data = message->body != NULL ? g_bytes_get_data (message->body, &size) : NULL;
  uint32_t count = (uint32_t)(size / sizeof words[0]);

  if (message->boot == peer->boot && message->correlation <= peer->heartbeat_id)
    return;
  if (size % sizeof words[0] != 0 || count < VP_CONFIG_SYNC_HEARTBEAT_WORDS_MIN
      || size > sizeof words)
    return;
  memcpy (words, data, size);
  peer->boot = message->boot;
  peer->heartbeat_id = message->correlation;
  peer->revision = message->revision;
  peer->as_of_ms = _vp_config_sync_heartbeat_sent_ms (peer, GUINT64_FROM_LE (words[0]));
  peer->is_voter = words[1] != 0;
  peer->pending_count = count - VP_CONFIG_SYNC_HEARTBEAT_WORDS_MIN;
  for (uint32_t i = 0; i < peer->pending_count; i++)
    peer->pending[i] = GUINT64_FROM_LE (words[VP_CONFIG_SYNC_HEARTBEAT_WORDS_MIN + i]);
  if (peer->as_of_ms != VP_CONFIG_SYNC_NEVER_MS && message->confirmed_age_ms >= 0
      && message->revision <= sync->config->revision)
    sync->relayed_as_of_ms
        = MAX (sync->relayed_as_of_ms, peer->as_of_ms - message->confirmed_age_ms);
}

static bool
_vp_config_sync_is_listed_by_peer (const VpConfigSyncPeer *peer, uint64_t change)
{
  for (uint32_t i = 0; i < peer->pending_count; i++)
    if (peer->pending[i] == change)
      return true;
  return false;
}

/* Repeats messages that a peer misses: announcements that it doesn't list, the cancellation of a
 * change that it still lists, or a revision that it lacks. */
static void
_vp_config_sync_resend_missing (VpConfigSync *sync,
                                VpConfigSyncPeer *peer,
                                int64_t now_ms,
                                VpEffects *effects)
{
  if (now_ms < peer->resent_ms + VP_CONFIG_SYNC_RETRY_MS)
    return;
  for (guint i = 0; i < sync->pending->len; i++) {
    const VpConfigSyncPending *pending = &g_array_index (sync->pending, VpConfigSyncPending, i);
    if (now_ms >= pending->received_ms + VP_CONFIG_SYNC_RETRY_MS
        && peer->revision < pending->config->revision
        && !_vp_config_sync_is_listed_by_peer (peer, pending->change)) {
      peer->resent_ms = now_ms;
      _vp_config_sync_send_announce (sync, peer->name, pending, effects);
    }
  }
  for (uint32_t i = 0; i < peer->pending_count; i++) {
    if (!_vp_config_sync_is_resolved (sync, peer->pending[i])
        || _vp_config_sync_find_pending (sync, peer->pending[i]) != NULL)
      continue;
    peer->resent_ms = now_ms;
    if (peer->revision < sync->config->revision)
      _vp_config_sync_send_config (sync, peer->name, effects);
    else
      _vp_config_sync_send_cancel (sync, peer->name, peer->pending[i], effects);
  }
}

static void
_vp_config_sync_handle_heartbeat (VpConfigSync *sync,
                                  VpConfigSyncPeer *peer,
                                  const VpPeerMessage *message,
                                  int64_t now_ms,
                                  VpEffects *effects)
{
  if (message->boot < peer->boot)
    return;
  sync->seen_revision = MAX (sync->seen_revision, message->revision);
  _vp_config_sync_handle_report (sync, peer, message);
  _vp_config_sync_change_confirmed (sync, (uint32_t)(peer - sync->peers), message->revision, now_ms,
                                    effects);
  _vp_config_sync_resend_missing (sync, peer, now_ms, effects);
}

static VpConfig *
_vp_config_sync_parse_body (const VpPeerMessage *message)
{
  gsize size;
  const char *text = g_bytes_get_data (message->body, &size);
  VpConfig *config = vp_config_parse_stored (text, size, NULL);

  if (config != NULL && config->revision != message->revision)
    g_clear_pointer (&config, vp_config_unref);
  return config;
}

static void
_vp_config_sync_handle_cancel (VpConfigSync *sync, uint64_t change)
{
  for (guint i = sync->pending->len; i > 0; i--)
    if (g_array_index (sync->pending, VpConfigSyncPending, i - 1).change == change)
      _vp_config_sync_drop_pending (sync, i - 1);
}

static void
_vp_config_sync_handle_announce (VpConfigSync *sync,
                                 const VpPeerMessage *message,
                                 int64_t now_ms,
                                 VpEffects *effects)
{
  g_autoptr (VpConfig) config = NULL;
  VpPeerMessage *ack;
  bool is_known = _vp_config_sync_find_pending (sync, message->correlation) != NULL;

  if (message->body == NULL) {
    if (!_vp_config_sync_change_is_active (sync, message->correlation))
      _vp_config_sync_handle_cancel (sync, message->correlation);
    return;
  }
  if (message->revision <= sync->config->revision) {
    _vp_config_sync_send_config (sync, message->from, effects);
    return;
  }
  /* A change that is resolved or based on an old version of the store value can't be written any
   * more. It is acknowledged without being stored, and its sender learns of the conflict from the
   * store. */
  if (!is_known && !_vp_config_sync_is_resolved (sync, message->correlation)
      && message->epoch >= sync->store_version) {
    config = _vp_config_sync_parse_body (message);
    if (config == NULL || config->origin.change != message->correlation
        || !_vp_config_sync_add_pending (sync, message->epoch, config, message->body, now_ms))
      return;
  }
  ack = _vp_config_sync_add_message (sync, effects, message->from, VP_PEER_CONFIG_ACK);
  ack->revision = message->revision;
  ack->correlation = message->correlation;
}

static void
_vp_config_sync_handle_config (VpConfigSync *sync,
                               const VpPeerMessage *message,
                               int64_t now_ms,
                               VpEffects *effects)
{
  g_autoptr (VpConfig) config = NULL;

  if (message->body == NULL) {
    _vp_config_sync_send_config (sync, message->from, effects);
    return;
  }
  if (message->revision > sync->config->revision) {
    config = _vp_config_sync_parse_body (message);
    if (config == NULL)
      return;
    _vp_config_sync_apply (sync, config, message->body, now_ms, effects);
  }
  _vp_config_sync_add_message (sync, effects, message->from, VP_PEER_CONFIG_ACK)->revision
      = sync->config->revision;
}

void
vp_config_sync_peer_message (VpConfigSync *sync,
                             const VpPeerMessage *message,
                             int64_t now_ms,
                             VpEffects *effects)
{
  VpConfigSyncPeer *peer = _vp_config_sync_find_peer (sync, message->from);

  if (peer == NULL)
    return;
  switch (message->kind) {
  case VP_PEER_HEARTBEAT:
    _vp_config_sync_handle_heartbeat (sync, peer, message, now_ms, effects);
    break;
  case VP_PEER_CONFIG_ANNOUNCE:
    _vp_config_sync_handle_announce (sync, message, now_ms, effects);
    break;
  case VP_PEER_CONFIG_ACK:
    if (message->correlation != 0)
      _vp_config_sync_change_acked (sync, (uint32_t)(peer - sync->peers), message->correlation,
                                    now_ms, effects);
    else
      _vp_config_sync_change_confirmed (sync, (uint32_t)(peer - sync->peers), message->revision,
                                        now_ms, effects);
    break;
  case VP_PEER_CONFIG:
    _vp_config_sync_handle_config (sync, message, now_ms, effects);
    break;
  default:
    return;
  }
  vp_config_sync_tick (sync, now_ms, effects);
}

void
_vp_config_sync_peer_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  uint32_t start;

  if (sync->seen_revision <= sync->config->revision || now_ms < sync->next_request_ms)
    return;
  sync->next_request_ms = now_ms + VP_CONFIG_SYNC_REQUEST_INTERVAL_MS;
  /* Starts with another peer each time, as the last one may have failed. */
  start = (uint32_t)(now_ms / VP_CONFIG_SYNC_REQUEST_INTERVAL_MS);
  for (uint32_t i = 0; i < sync->member_count; i++) {
    const VpConfigSyncPeer *peer = &sync->peers[(start + i) % sync->member_count];
    if (peer->revision > sync->config->revision) {
      _vp_config_sync_add_message (sync, effects, peer->name, VP_PEER_CONFIG);
      return;
    }
  }
}
