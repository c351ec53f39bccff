#include "vp-owner.h"
#include "vp-metrics.h"
#include "vp-safeguard.h"

#include <string.h>

#define VERSION_UNKNOWN UINT64_MAX

/* Duration of one watch of the owner key. Together with a renewal every 1,200 ms this keeps an idle
 * owner and its standby below one store call a second. */
#define WATCH_TIMEOUT_MS 20000
/* If a renewal that was sent 1,200 ms after the last one is lost, this leaves time for a second one
 * before the lease of 2,400 ms expires. */
#define RENEW_TIMEOUT_MS 800
/* Delay before a store operation that failed is tried again. */
#define RETRY_DELAY_MS 300
/* Interval between requests for promises, and the time without a response to a renewal after which
 * the first request is sent. */
#define PROMISE_REQUEST_MS 300

static void
_vp_owner_key (const VpOwner *owner, char key[VP_STORE_KEY_MAX])
{
  g_snprintf (key, VP_STORE_KEY_MAX, "owner/%s", owner->desc.dc);
}

static uint32_t
_vp_owner_peer_count (const VpOwner *owner)
{
  uint32_t count = 0;

  while (owner->desc.peers != NULL && owner->desc.peers[count] != NULL && count < VP_MEMBERS_MAX)
    count++;
  return count;
}

static VpStoreOp *
_vp_owner_op (VpOwner *owner, VpStoreKind kind, int64_t now_ms, VpEffects *effects)
{
  char key[VP_STORE_KEY_MAX];
  VpStoreOp *op;

  _vp_owner_key (owner, key);
  op = vp_effects_store (effects, VP_MODULE_OWNER, kind, key);
  op->token = ++owner->next_token;
  op->lease = owner->lease;
  owner->op_sent_ms = now_ms;
  return op;
}

static GBytes *
_vp_owner_value (const VpOwner *owner)
{
  g_autofree char *text
      = g_strdup_printf ("%s %" G_GUINT64_FORMAT, owner->desc.member, owner->lease);

  return g_bytes_new (text, strlen (text));
}

static bool
_vp_owner_is_own_value (const VpOwner *owner, GBytes *value)
{
  g_autoptr (GBytes) own = _vp_owner_value (owner);

  return value != NULL && owner->lease != 0 && g_bytes_equal (own, value);
}

void
vp_owner_setup (VpOwner *owner, const VpOwnerDesc *desc)
{
  memset (owner, 0, sizeof *owner);
  owner->desc = *desc;
  owner->desc.ttl_ms = desc->ttl_ms != 0 ? desc->ttl_ms : 2400;
  owner->desc.renew_ms = desc->renew_ms != 0 ? desc->renew_ms : 1200;
  owner->desc.margin_ms = desc->margin_ms != 0 ? desc->margin_ms : 250;
  owner->desc.promise_ms = desc->promise_ms != 0 ? desc->promise_ms : 1000;
  owner->key_version = VERSION_UNKNOWN;
}

/* Revokes the lease without waiting for the result. */
static void
_vp_owner_drop_lease (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  if (owner->lease != 0)
    _vp_owner_op (owner, VP_STORE_LEASE_REVOKE, now_ms, effects);
  owner->lease = 0;
  owner->lease_until_ms = 0;
}

static void
_vp_owner_to_standby (VpOwner *owner, int64_t next_ms)
{
  owner->state = VP_OWNER_STANDBY;
  owner->lease = 0;
  owner->lease_until_ms = 0;
  owner->pending_token = 0;
  owner->key_version = VERSION_UNKNOWN;
  owner->holder[0] = '\0';
  owner->next_try_ms = next_ms;
  owner->is_renewal_uncertain = false;
  memset (owner->received_promise_until_ms, 0, sizeof owner->received_promise_until_ms);
}

static void
_vp_owner_lose (VpOwner *owner, const char *cause, int64_t now_ms, VpEffects *effects)
{
  vp_effects_log (effects, G_LOG_LEVEL_WARNING, "ownership of DC %s ended: %s", owner->desc.dc,
                  cause);
  vp_metrics_add (VP_COUNTER_OWNER_LAPSED, 1);
  owner->lapse_count++;
  _vp_owner_to_standby (owner, now_ms);
}

int64_t
vp_owner_valid_until_ms (const VpOwner *owner, int64_t now_ms)
{
  uint32_t count = _vp_owner_peer_count (owner);
  int64_t promised_ms = count > 0 ? INT64_MAX : 0;
  int64_t until_ms;

  if (owner->state != VP_OWNER_HELD)
    return 0;
  for (uint32_t i = 0; i < count; i++)
    promised_ms = MIN (promised_ms, owner->received_promise_until_ms[i]);
  until_ms = MAX (owner->lease_until_ms, promised_ms);
  if (vp_safeguard_is_disabled (VP_SAFEGUARD_LEASE))
    return MAX (until_ms, now_ms + owner->desc.ttl_ms);
  return until_ms > now_ms ? until_ms : 0;
}

/* Ends an ownership that expired. This runs before anything that could extend it: a promise or a
 * renewal that arrives after the end must not revive the ownership, since another member may have
 * held it in between. */
static void
_vp_owner_check_validity (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  if (owner->state != VP_OWNER_HELD || vp_owner_valid_until_ms (owner, now_ms) > 0)
    return;
  _vp_owner_drop_lease (owner, now_ms, effects);
  _vp_owner_lose (owner, "the store lease and the promises expired", now_ms, effects);
}

/* Returns to standby after a failed acquisition. A write of the key that takes effect later does no
 * harm: this member acts as the owner only with its current lease, and the key disappears with the
 * old lease. */
static void
_vp_owner_abort_acquire (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  _vp_owner_drop_lease (owner, now_ms, effects);
  _vp_owner_to_standby (owner, now_ms + RETRY_DELAY_MS);
}

static void
_vp_owner_acquired (VpOwner *owner, uint64_t version, int64_t now_ms, VpEffects *effects)
{
  if (owner->lease_until_ms <= now_ms) {
    _vp_owner_abort_acquire (owner, now_ms, effects);
    return;
  }
  owner->state = VP_OWNER_HELD;
  owner->key_version = version;
  owner->is_renewal_uncertain = false;
  owner->promise_request_count = 0;
  owner->next_try_ms = owner->lease_until_ms - owner->desc.ttl_ms + owner->desc.renew_ms;
  g_strlcpy (owner->holder, owner->desc.member, sizeof owner->holder);
  memset (owner->received_promise_until_ms, 0, sizeof owner->received_promise_until_ms);
  owner->acquire_count++;
  vp_metrics_add (VP_COUNTER_OWNER_ACQUIRED, 1);
  vp_effects_log (effects, G_LOG_LEVEL_MESSAGE, "acquired ownership of DC %s", owner->desc.dc);
}

static void
_vp_owner_revoke (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  owner->pending_token = _vp_owner_op (owner, VP_STORE_LEASE_REVOKE, now_ms, effects)->token;
}

static void
_vp_owner_read_back (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  owner->pending_token = _vp_owner_op (owner, VP_STORE_GET, now_ms, effects)->token;
}

static void
_vp_owner_lease_granted (VpOwner *owner,
                         const VpStoreResult *result,
                         int64_t now_ms,
                         VpEffects *effects)
{
  char key[VP_STORE_KEY_MAX];
  VpStoreOp *op;

  if (result->status != VP_STORE_OK || result->lease == 0) {
    _vp_owner_to_standby (owner, now_ms + RETRY_DELAY_MS);
    return;
  }
  owner->lease = result->lease;
  owner->lease_until_ms = MIN (result->sent_ms, now_ms) + owner->desc.ttl_ms;
  _vp_owner_key (owner, key);
  op = _vp_owner_op (owner, VP_STORE_CAS, now_ms, effects);
  op->version = 0;
  op->value = _vp_owner_value (owner);
  owner->pending_token = op->token;
}

/* Handles the result of the CAS on the key, or of the read after a CAS with a lost response. */
static void
_vp_owner_key_written (VpOwner *owner,
                       const VpStoreResult *result,
                       int64_t now_ms,
                       VpEffects *effects)
{
  bool is_cas = result->kind == VP_STORE_CAS;

  if ((is_cas && result->status == VP_STORE_OK)
      || ((result->status == VP_STORE_OK || result->status == VP_STORE_CONFLICT)
          && _vp_owner_is_own_value (owner, result->value)))
    _vp_owner_acquired (owner, result->version, now_ms, effects);
  else if (result->status == VP_STORE_UNKNOWN && now_ms < owner->lease_until_ms)
    _vp_owner_read_back (owner, now_ms, effects);
  else
    _vp_owner_abort_acquire (owner, now_ms, effects);
}

static void
_vp_owner_lease_renewed (VpOwner *owner,
                         const VpStoreResult *result,
                         int64_t now_ms,
                         VpEffects *effects)
{
  int64_t sent_ms = MIN (result->sent_ms, now_ms);

  switch (result->status) {
  case VP_STORE_OK:
    owner->lease_until_ms = MAX (owner->lease_until_ms, sent_ms + owner->desc.ttl_ms);
    owner->next_try_ms = sent_ms + owner->desc.renew_ms;
    owner->is_renewal_uncertain = false;
    break;
  case VP_STORE_NOT_FOUND:
    _vp_owner_lose (owner, "the store no longer has the lease", now_ms, effects);
    break;
  case VP_STORE_CONFLICT:
  case VP_STORE_UNAVAILABLE:
  case VP_STORE_UNKNOWN:
    owner->is_renewal_uncertain = true;
    owner->next_try_ms = MAX (now_ms, owner->op_sent_ms + RETRY_DELAY_MS);
    break;
  }
}

static void
_vp_owner_lease_revoked (VpOwner *owner, const VpStoreResult *result, int64_t now_ms)
{
  if (result->status == VP_STORE_OK || result->status == VP_STORE_NOT_FOUND
      || now_ms >= owner->lease_until_ms)
    owner->state = VP_OWNER_RELEASED;
  else
    owner->next_try_ms = MAX (now_ms, owner->op_sent_ms + RETRY_DELAY_MS);
}

/* Handles the result of the revocation, or of an operation that was in flight when the release
 * began. */
static void
_vp_owner_releasing (VpOwner *owner,
                     const VpStoreResult *result,
                     int64_t now_ms,
                     VpEffects *effects)
{
  if (result->kind == VP_STORE_LEASE_GRANT && result->status == VP_STORE_OK) {
    owner->lease = result->lease;
    owner->lease_until_ms = now_ms + owner->desc.ttl_ms;
  }
  if (result->kind == VP_STORE_LEASE_REVOKE)
    _vp_owner_lease_revoked (owner, result, now_ms);
  else if (owner->lease != 0)
    _vp_owner_revoke (owner, now_ms, effects);
  else
    owner->state = VP_OWNER_RELEASED;
}

static void
_vp_owner_set_holder (VpOwner *owner, GBytes *value)
{
  gsize size, length = 0;
  const char *text = g_bytes_get_data (value, &size);

  while (length < size && length < sizeof owner->holder - 1 && text[length] != ' ')
    length++;
  memcpy (owner->holder, text, length);
  owner->holder[length] = '\0';
}

/* Handles the result of a standby's read or watch. */
static void
_vp_owner_key_watched (VpOwner *owner, const VpStoreResult *result, int64_t now_ms)
{
  if (owner->state != VP_OWNER_STANDBY)
    return;
  if (result->status == VP_STORE_NOT_FOUND
      || (result->status == VP_STORE_OK && result->version == 0)) {
    if (owner->key_version != 0)
      owner->acquire_after_ms = now_ms + owner->desc.margin_ms;
    owner->key_version = 0;
    owner->holder[0] = '\0';
    owner->next_try_ms = now_ms;
  } else if (result->status == VP_STORE_OK) {
    owner->key_version = result->version;
    if (result->value != NULL)
      _vp_owner_set_holder (owner, result->value);
    /* A store with stale reads may end every watch at once, so the next one is delayed. */
    if (result->kind == VP_STORE_WATCH)
      owner->next_try_ms = MAX (now_ms, owner->op_sent_ms + RETRY_DELAY_MS);
  } else {
    owner->key_version = VERSION_UNKNOWN;
    owner->next_try_ms = now_ms + RETRY_DELAY_MS;
  }
}

void
vp_owner_store_result (VpOwner *owner,
                       const VpStoreResult *result,
                       int64_t now_ms,
                       VpEffects *effects)
{
  _vp_owner_check_validity (owner, now_ms, effects);
  if (result->token == owner->watch_token) {
    owner->watch_token = 0;
    _vp_owner_key_watched (owner, result, now_ms);
  } else if (result->token == owner->pending_token) {
    owner->pending_token = 0;
    if (owner->state == VP_OWNER_RELEASING)
      _vp_owner_releasing (owner, result, now_ms, effects);
    else if (result->kind == VP_STORE_LEASE_GRANT)
      _vp_owner_lease_granted (owner, result, now_ms, effects);
    else if (result->kind == VP_STORE_CAS || result->kind == VP_STORE_GET)
      _vp_owner_key_written (owner, result, now_ms, effects);
    else if (result->kind == VP_STORE_LEASE_RENEW)
      _vp_owner_lease_renewed (owner, result, now_ms, effects);
  }
  vp_owner_tick (owner, now_ms, effects);
}

static VpPeerMessage *
_vp_owner_send (VpOwner *owner, VpPeerKind kind, const char *peer, VpEffects *effects)
{
  VpEffect *effect = vp_effects_add (effects, VP_EFFECT_PEER);
  VpPeerMessage *message = &effect->peer.message;

  g_strlcpy (effect->peer.peer, peer, sizeof effect->peer.peer);
  g_strlcpy (message->from, owner->desc.member, sizeof message->from);
  g_strlcpy (message->dc, owner->desc.dc, sizeof message->dc);
  message->kind = kind;
  return message;
}

/* A member that saw the key disappear gives no promise. It can reach the store, so it can become
 * the owner, and it serves more than an owner without the store. */
static bool
_vp_owner_may_promise (const VpOwner *owner)
{
  return owner->state == VP_OWNER_RELEASED
         || (owner->state == VP_OWNER_STANDBY && owner->has_ticked && owner->key_version != 0);
}

static void
_vp_owner_promise_requested (VpOwner *owner,
                             const VpPeerMessage *request,
                             int64_t now_ms,
                             VpEffects *effects)
{
  int64_t until_ms = now_ms + owner->desc.promise_ms + owner->desc.margin_ms;
  VpPeerMessage *promise;

  if (!_vp_owner_may_promise (owner))
    return;
  owner->given_promise_until_ms = MAX (owner->given_promise_until_ms, until_ms);
  promise = _vp_owner_send (owner, VP_PEER_PROMISE, request->from, effects);
  promise->epoch = request->epoch;
  promise->correlation = request->correlation;
  promise->duration_ms = owner->desc.promise_ms;
}

static void
_vp_owner_promise_received (VpOwner *owner, const VpPeerMessage *promise)
{
  uint32_t count = _vp_owner_peer_count (owner);
  int64_t until_ms;

  if (owner->state != VP_OWNER_HELD || promise->epoch != owner->key_version
      || promise->correlation == 0 || promise->correlation > owner->promise_request_count
      || owner->promise_request_count - promise->correlation >= VP_OWNER_PROMISE_REQUESTS_MAX
      || promise->duration_ms < 0)
    return;
  until_ms = owner->promise_request_sent_ms[promise->correlation % VP_OWNER_PROMISE_REQUESTS_MAX]
             + MIN (promise->duration_ms, owner->desc.promise_ms);
  for (uint32_t i = 0; i < count; i++) {
    if (g_str_equal (owner->desc.peers[i], promise->from))
      owner->received_promise_until_ms[i] = MAX (owner->received_promise_until_ms[i], until_ms);
  }
}

void
vp_owner_peer_message (VpOwner *owner,
                       const VpPeerMessage *message,
                       int64_t now_ms,
                       VpEffects *effects)
{
  _vp_owner_check_validity (owner, now_ms, effects);
  if (!g_str_equal (message->dc, owner->desc.dc))
    return;
  if (message->kind == VP_PEER_PROMISE_REQUEST)
    _vp_owner_promise_requested (owner, message, now_ms, effects);
  else if (message->kind == VP_PEER_PROMISE)
    _vp_owner_promise_received (owner, message);
}

void
vp_owner_release (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  _vp_owner_check_validity (owner, now_ms, effects);
  switch (owner->state) {
  case VP_OWNER_STANDBY:
    owner->state = VP_OWNER_RELEASED;
    break;
  case VP_OWNER_ACQUIRING:
    owner->state = VP_OWNER_RELEASING;
    break;
  case VP_OWNER_HELD:
    owner->state = VP_OWNER_RELEASING;
    vp_effects_log (effects, G_LOG_LEVEL_MESSAGE, "released ownership of DC %s", owner->desc.dc);
    _vp_owner_revoke (owner, now_ms, effects);
    break;
  case VP_OWNER_RELEASING:
  case VP_OWNER_RELEASED:
    break;
  }
}

static void
_vp_owner_watch (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  bool is_known = owner->key_version != VERSION_UNKNOWN;
  VpStoreOp *op = _vp_owner_op (owner, is_known ? VP_STORE_WATCH : VP_STORE_GET, now_ms, effects);

  op->version = is_known ? owner->key_version : 0;
  op->timeout_ms = is_known ? WATCH_TIMEOUT_MS : 0;
  owner->watch_token = op->token;
}

/* Earliest time to acquire the ownership once the key is gone. */
static int64_t
_vp_owner_acquire_ms (const VpOwner *owner)
{
  return MAX (owner->acquire_after_ms, owner->given_promise_until_ms);
}

static void
_vp_owner_tick_standby (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  VpStoreOp *op;

  if (now_ms < owner->next_try_ms || owner->watch_token != 0)
    return;
  if (owner->key_version != 0) {
    _vp_owner_watch (owner, now_ms, effects);
    return;
  }
  if (now_ms < _vp_owner_acquire_ms (owner))
    return;
  owner->state = VP_OWNER_ACQUIRING;
  op = _vp_owner_op (owner, VP_STORE_LEASE_GRANT, now_ms, effects);
  op->ttl_ms = owner->desc.ttl_ms;
  owner->pending_token = op->token;
}

/* True while it is uncertain whether the store renews the lease. */
static bool
_vp_owner_is_renewal_uncertain (const VpOwner *owner, int64_t now_ms)
{
  return owner->is_renewal_uncertain
         || (owner->pending_token != 0 && now_ms >= owner->op_sent_ms + PROMISE_REQUEST_MS);
}

static void
_vp_owner_request_promises (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  owner->next_promise_request_ms = now_ms + PROMISE_REQUEST_MS;
  owner->promise_request_count++;
  owner->promise_request_sent_ms[owner->promise_request_count % VP_OWNER_PROMISE_REQUESTS_MAX]
      = now_ms;
  for (uint32_t i = 0; i < _vp_owner_peer_count (owner); i++) {
    VpPeerMessage *request
        = _vp_owner_send (owner, VP_PEER_PROMISE_REQUEST, owner->desc.peers[i], effects);
    request->epoch = owner->key_version;
    request->correlation = owner->promise_request_count;
  }
}

static void
_vp_owner_tick_held (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  if (owner->pending_token == 0 && now_ms >= owner->next_try_ms) {
    VpStoreOp *op = _vp_owner_op (owner, VP_STORE_LEASE_RENEW, now_ms, effects);
    op->ttl_ms = owner->desc.ttl_ms;
    op->timeout_ms = RENEW_TIMEOUT_MS;
    owner->pending_token = op->token;
  }
  if (_vp_owner_is_renewal_uncertain (owner, now_ms) && now_ms >= owner->next_promise_request_ms)
    _vp_owner_request_promises (owner, now_ms, effects);
}

void
vp_owner_tick (VpOwner *owner, int64_t now_ms, VpEffects *effects)
{
  _vp_owner_check_validity (owner, now_ms, effects);
  if (!owner->has_ticked) {
    /* An earlier run of this process may have given a promise that is still valid. */
    owner->has_ticked = true;
    owner->given_promise_until_ms = now_ms + owner->desc.promise_ms + owner->desc.margin_ms;
  }
  if (owner->state == VP_OWNER_STANDBY)
    _vp_owner_tick_standby (owner, now_ms, effects);
  else if (owner->state == VP_OWNER_HELD)
    _vp_owner_tick_held (owner, now_ms, effects);
  else if (owner->state == VP_OWNER_RELEASING && owner->pending_token == 0
           && now_ms >= owner->next_try_ms)
    _vp_owner_revoke (owner, now_ms, effects);
}

int64_t
vp_owner_next_ms (const VpOwner *owner)
{
  int64_t next_ms = INT64_MAX;

  switch (owner->state) {
  case VP_OWNER_STANDBY:
    if (owner->watch_token == 0) {
      next_ms = owner->next_try_ms;
      if (owner->key_version == 0)
        next_ms = MAX (next_ms, _vp_owner_acquire_ms (owner));
    }
    break;
  case VP_OWNER_HELD:
    next_ms = MAX (vp_owner_valid_until_ms (owner, INT64_MIN), 0);
    if (owner->pending_token == 0)
      next_ms = MIN (next_ms, owner->next_try_ms);
    if (owner->is_renewal_uncertain)
      next_ms = MIN (next_ms, owner->next_promise_request_ms);
    else if (owner->pending_token != 0)
      next_ms = MIN (next_ms,
                     MAX (owner->next_promise_request_ms, owner->op_sent_ms + PROMISE_REQUEST_MS));
    break;
  case VP_OWNER_RELEASING:
    if (owner->pending_token == 0)
      next_ms = owner->next_try_ms;
    break;
  case VP_OWNER_ACQUIRING:
  case VP_OWNER_RELEASED:
    break;
  }
  return next_ms;
}
