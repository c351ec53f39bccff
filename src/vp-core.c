#include "vp-core-private.h"
#include "vp-safeguard.h"

#include <string.h>

static guint
_vp_core_attempt_hash (gconstpointer key)
{
  const VpAttempt *attempt = key;

  return vp_task_id_hash (&attempt->task) ^ (attempt->member * 2654435761u) ^ attempt->attempt;
}

static gboolean
_vp_core_attempt_equal (gconstpointer a, gconstpointer b)
{
  return vp_attempt_equal (a, b);
}

static void
_vp_core_setup_members (VpCore *core)
{
  const VpSettings *settings = core->settings;
  uint32_t peer_count = 0;

  core->member_count = MIN (settings->members->len, VP_MEMBERS_MAX);
  core->member_names = g_new0 (const char *, core->member_count + 1);
  core->peer_names = g_new0 (const char *, core->member_count + 1);
  for (uint32_t i = 0; i < core->member_count; i++) {
    const VpMember *member = &g_array_index (settings->members, VpMember, i);
    core->members[i].settings = *member;
    core->member_names[i] = core->members[i].settings.name;
    if (strcmp (member->name, settings->name) == 0)
      core->self = &core->members[i].settings;
    else if (strcmp (member->dc, settings->dc) == 0)
      core->peer_names[peer_count++] = core->members[i].settings.name;
  }
  g_assert (core->self != NULL);
}

VpCore *
vp_core_setup (const VpCoreDesc *desc)
{
  VpCore *core = g_new0 (VpCore, 1);
  const VpSettings *settings = desc->settings;

  core->settings = settings;
  core->boot = desc->boot;
  _vp_core_setup_members (core);
  core->config_sync = vp_config_sync_setup (&(VpConfigSyncDesc){
      .member = settings->name,
      .boot = desc->boot,
      .members = core->member_names,
      .member_count = core->member_count,
      .key_trust_ms = settings->config_fresh_ms,
  });
  core->config = vp_config_ref (vp_config_sync_config (core->config_sync));
  vp_owner_setup (&core->owner, &(VpOwnerDesc){
                                    .dc = settings->dc,
                                    .member = settings->name,
                                    .peers = core->peer_names,
                                    .ttl_ms = settings->owner_ttl_ms,
                                    .renew_ms = settings->owner_renew_ms,
                                    .margin_ms = settings->clock_margin_ms,
                                });
  core->ledger = vp_ledger_setup (&(VpLedgerDesc){
      .dc = settings->dc,
      .member = settings->name,
      .commit_ms = settings->commit_ms,
  });
  core->grants = vp_limit_grants_setup (
      &(VpLimitGrantsDesc){ .dc = settings->dc, .member = settings->name });
  core->sched = vp_sched_setup (&(VpSchedDesc){ .dc = settings->dc });
  core->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, _vp_core_pending_free);
  core->handles = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  core->jobs
      = g_hash_table_new_full (vp_task_id_hash, vp_task_id_equal_ptr, NULL, _vp_core_job_free);
  core->running
      = g_hash_table_new_full (_vp_core_attempt_hash, _vp_core_attempt_equal, NULL, g_free);
  core->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _vp_core_worker_free);
  core->decisions = g_array_new (FALSE, TRUE, sizeof (VpDecision));
  core->teams = g_array_new (FALSE, TRUE, sizeof (VpSchedTeamStatus));
  core->notices = g_array_new (FALSE, TRUE, sizeof (VpLedgerNotice));
  core->longest_lease_ms = VP_CORE_TASK_LEASE_DEFAULT_MS;
  return core;
}

static void
_vp_core_deferred_free (gpointer message)
{
  vp_peer_message_clear (message);
  g_free (message);
}

void
vp_core_shutdown (VpCore *core)
{
  g_hash_table_unref (core->pending);
  g_hash_table_unref (core->handles);
  g_queue_clear_full (&core->deferred_submits, _vp_core_deferred_free);
  g_queue_clear_full (&core->finished, g_free);
  g_hash_table_unref (core->running);
  g_hash_table_unref (core->jobs);
  g_hash_table_unref (core->workers);
  g_array_unref (core->decisions);
  g_array_unref (core->notices);
  g_array_unref (core->teams);
  vp_sched_shutdown (core->sched);
  vp_limit_grants_shutdown (core->grants);
  vp_ledger_shutdown (core->ledger);
  vp_config_unref (core->config);
  vp_config_sync_shutdown (core->config_sync);
  g_free (core->member_names);
  g_free (core->peer_names);
  g_free (core);
}

bool
_vp_core_is_owner (const VpCore *core)
{
  return core->role == VP_ROLE_ACTIVE;
}

VpCoreMember *
_vp_core_member (VpCore *core, const char *name)
{
  for (uint32_t i = 0; i < core->member_count; i++) {
    if (strcmp (core->members[i].settings.name, name) == 0)
      return &core->members[i];
  }
  return NULL;
}

bool
_vp_core_member_is_alive (const VpCore *core, const VpCoreMember *member)
{
  return &member->settings == core->self
         || (member->last_heartbeat_ms != 0
             && core->now_ms - member->last_heartbeat_ms <= VP_CORE_MEMBER_TIMEOUT_MS);
}

const VpCoreMember *
_vp_core_owner_of (const VpCore *core, const char *dc)
{
  const VpCoreMember *best = NULL;

  for (uint32_t i = 0; i < core->member_count; i++) {
    const VpCoreMember *member = &core->members[i];
    if (strcmp (member->settings.dc, dc) != 0 || member->epoch == 0)
      continue;
    if (_vp_core_member_is_alive (core, member) && (best == NULL || member->epoch > best->epoch))
      best = member;
  }
  return best;
}

void
_vp_core_send (VpCore *core, const char *member, VpPeerMessage *message)
{
  VpEffect *effect = vp_effects_add (core->effects, VP_EFFECT_PEER);

  g_strlcpy (effect->peer.peer, member, sizeof effect->peer.peer);
  g_strlcpy (message->from, core->self->name, sizeof message->from);
  message->boot = core->boot;
  effect->peer.message = *message;
}

VpEffect *
_vp_core_reply (VpCore *core, uint64_t handle, uint32_t status, GBytes *body)
{
  VpEffect *effect = vp_effects_add (core->effects, VP_EFFECT_REPLY);

  effect->reply.handle = handle;
  effect->reply.status = status;
  effect->reply.body = body;
  if (status == 429 || status == 503)
    effect->reply.retry_after_s = VP_CORE_RETRY_AFTER_S;
  vp_metrics_add (VP_COUNTER_ANSWERED, 1);
  return effect;
}

void
_vp_core_reply_error (VpCore *core, uint64_t handle, VpReason reason, const char *detail)
{
  uint32_t status = vp_reason_http_status (reason);

  vp_metrics_add (vp_reason_guarantees_not_run (reason) ? VP_COUNTER_REFUSED_NOT_RUN
                                                        : VP_COUNTER_REFUSED_UNKNOWN,
                  1);
  _vp_core_reply (core, handle, status, vp_request_format_error (reason, detail));
}

/* Fills in the sender of all messages that the modules have added since effect @first. */
static void
_vp_core_fill_senders (VpCore *core, uint32_t first)
{
  for (uint32_t i = first; i < core->effects->count; i++) {
    VpEffect *effect = &core->effects->items[i];
    if (effect->kind != VP_EFFECT_PEER)
      continue;
    g_strlcpy (effect->peer.message.from, core->self->name, sizeof effect->peer.message.from);
    effect->peer.message.boot = core->boot;
  }
}

static void
_vp_core_heartbeat (VpCore *core)
{
  VpResources total;
  VpResources used;
  VpPeerMessage message = {
    .kind = VP_PEER_HEARTBEAT,
    .epoch = _vp_core_is_owner (core) ? core->epoch : 0,
  };

  vp_sched_totals (core->sched, &total, &used);
  message.load_milli = (uint32_t)(vp_resources_dominant_share (&used, &total) * 1000.0);
  g_strlcpy (message.dc, core->self->dc, sizeof message.dc);
  g_strlcpy (message.address, core->settings->peer_address, sizeof message.address);
  for (uint32_t i = 0; i < core->member_count; i++) {
    VpPeerMessage copy = message;
    const char *peer = core->members[i].settings.name;
    if (&core->members[i].settings == core->self)
      continue;
    vp_config_sync_fill_heartbeat (core->config_sync, peer, core->now_ms, &copy);
    _vp_core_send (core, peer, &copy);
  }
  core->next_heartbeat_ms = core->now_ms + core->settings->heartbeat_ms;
}

static void
_vp_core_member_update (VpCore *core, const VpPeerMessage *message)
{
  VpCoreMember *member = _vp_core_member (core, message->from);
  bool is_new_owner;

  if (member == NULL)
    return;
  if (message->boot < member->boot)
    return; /* a late message of an earlier run of that process */
  if (message->kind == VP_PEER_STOPPING) {
    member->epoch = message->epoch;
    member->is_stopping = true;
    return;
  }
  if (message->boot > member->boot)
    member->is_stopping = false;
  is_new_owner = message->epoch > member->epoch;
  member->boot = message->boot;
  member->last_heartbeat_ms = core->now_ms;
  member->revision = message->revision;
  member->epoch = message->epoch;
  member->load_milli = message->load_milli;
  if (core->settings->is_learning_addresses && message->address[0] != '\0'
      && strcmp (message->address, member->settings.peer_address) != 0) {
    VpEffect *effect = vp_effects_add (core->effects, VP_EFFECT_PEER_CONNECT);
    g_strlcpy (member->settings.peer_address, message->address,
               sizeof member->settings.peer_address);
    g_strlcpy (effect->peer.peer, member->settings.name, sizeof effect->peer.peer);
    g_strlcpy (effect->peer.address, message->address, sizeof effect->peer.address);
  }
  if (is_new_owner)
    _vp_core_entry_owner_changed (core, member->settings.dc);
}

static void
_vp_core_send_stopping (VpCore *core)
{
  for (uint32_t i = 0; i < core->member_count; i++) {
    VpPeerMessage message
        = { .kind = VP_PEER_STOPPING, .epoch = _vp_core_is_owner (core) ? core->epoch : 0 };
    if (&core->members[i].settings != core->self)
      _vp_core_send (core, core->members[i].settings.name, &message);
  }
}

static void
_vp_core_peer_message (VpCore *core, VpPeerMessage *message)
{
  vp_metrics_add (VP_COUNTER_PEER_RECEIVED, 1);
  switch (message->kind) {
  case VP_PEER_HEARTBEAT:
  case VP_PEER_STOPPING:
    _vp_core_member_update (core, message);
    vp_config_sync_peer_message (core->config_sync, message, core->now_ms, core->effects);
    break;
  case VP_PEER_CONFIG_ANNOUNCE:
  case VP_PEER_CONFIG_ACK:
  case VP_PEER_CONFIG:
    vp_config_sync_peer_message (core->config_sync, message, core->now_ms, core->effects);
    break;
  case VP_PEER_PROMISE_REQUEST:
  case VP_PEER_PROMISE:
    vp_owner_peer_message (&core->owner, message, core->now_ms, core->effects);
    break;
  case VP_PEER_GRANT_REQUEST:
    if (core->role != VP_ROLE_ACTIVE)
      break;
    _vp_core_update_grant_demand (core);
    vp_limit_grants_peer_message (core->grants, message, core->now_ms, core->effects);
    _vp_core_apply_grants (core);
    break;
  case VP_PEER_SUBMIT:
    _vp_core_job_submit (core, message);
    break;
  case VP_PEER_QUERY:
  case VP_PEER_EXPLAIN:
    _vp_core_job_query (core, message);
    break;
  case VP_PEER_CANCEL:
    _vp_core_job_cancel (core, message);
    break;
  case VP_PEER_ANSWER:
    _vp_core_entry_answer (core, message);
    break;
  case VP_PEER_KIND_COUNT:
    break;
  }
}

static void
_vp_core_store_result (VpCore *core, const VpStoreResult *result)
{
  switch (result->module) {
  case VP_MODULE_OWNER:
    vp_owner_store_result (&core->owner, result, core->now_ms, core->effects);
    break;
  case VP_MODULE_LEDGER:
    vp_ledger_store_result (core->ledger, result, core->now_ms, core->effects);
    break;
  case VP_MODULE_LIMIT_GRANTS:
    if (core->role == VP_ROLE_ACTIVE)
      _vp_core_update_grant_demand (core);
    vp_limit_grants_store_result (core->grants, result, core->now_ms, core->effects);
    if (core->role == VP_ROLE_ACTIVE)
      _vp_core_apply_grants (core);
    break;
  case VP_MODULE_CONFIG_SYNC:
    vp_config_sync_store_result (core->config_sync, result, core->now_ms, core->effects);
    break;
  case VP_MODULE_COUNT:
    break;
  }
}

static void
_vp_core_apply_config (VpCore *core)
{
  VpConfig *config = vp_config_sync_config (core->config_sync);

  if (config == core->config)
    return;
  vp_config_unref (core->config);
  core->config = vp_config_ref (config);
  core->longest_lease_ms = VP_CORE_TASK_LEASE_DEFAULT_MS;
  for (guint i = 0; i < config->profiles->len; i++) {
    const VpProfile *profile = &g_array_index (config->profiles, VpProfile, i);
    core->longest_lease_ms = MAX (core->longest_lease_ms, profile->task_lease_ms);
  }
  vp_sched_set_config (core->sched, config, core->now_ms);
  vp_limit_grants_set_config (core->grants, config, core->now_ms);
  vp_metrics_set (VP_GAUGE_CONFIG_REVISION, (int64_t)config->revision);
}

static bool
_vp_core_has_successor (const VpCore *core)
{
  for (uint32_t i = 0; i < core->member_count; i++) {
    const VpCoreMember *member = &core->members[i];
    if (&member->settings != core->self && strcmp (member->settings.dc, core->self->dc) == 0
        && _vp_core_member_is_alive (core, member) && !member->is_stopping)
      return true;
  }
  return false;
}

/* True if a request, here or at another process, waits for the outcome of a job. */
static bool
_vp_core_has_waiters (const VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    if (((const VpCoreJob *)value)->waiters->len > 0)
      return true;
  }
  return false;
}

/* True if no start is in flight, so that the next owner finds all tasks on the workers. */
static bool
_vp_core_has_no_start_in_flight (const VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->running);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpRunningAttempt *running = value;
    if (running->state != VP_RUN_RUNNING)
      return false;
  }
  return true;
}

/* Advances a graceful shutdown; new requests are refused already. If another process of the DC can
 * take over, the ownership is released first, and pending requests are sent to the next owner.
 * Otherwise they are finished here. */
static void
_vp_core_stopping_tick (VpCore *core)
{
  bool is_late = core->now_ms - core->stopping_since_ms > VP_CORE_HANDOVER_TIMEOUT_MS;
  bool is_drained
      = g_hash_table_size (core->pending) == 0 || vp_safeguard_is_disabled (VP_SAFEGUARD_DRAIN);

  if (core->is_exiting)
    return;
  if (core->owner.state == VP_OWNER_RELEASED) {
    if (is_late && _vp_core_owner_of (core, core->self->dc) == NULL) {
      /* No owner will finish the pending requests, so their callers get what is known. */
      _vp_core_entry_expire_all (core);
      is_drained = true;
    }
    if (is_drained) {
      core->is_exiting = true;
      vp_effects_log (core->effects, G_LOG_LEVEL_MESSAGE, "shutdown is complete");
      vp_effects_add (core->effects, VP_EFFECT_EXIT);
    }
    return;
  }
  if (core->role != VP_ROLE_ACTIVE) {
    if (core->owner.state != VP_OWNER_RELEASING)
      vp_owner_release (&core->owner, core->now_ms, core->effects);
    return;
  }
  if (!_vp_core_has_successor (core) && !is_late && !(is_drained && !_vp_core_has_waiters (core)))
    return;
  if (!is_late && (!_vp_core_has_no_start_in_flight (core) || !vp_ledger_is_idle (core->ledger)))
    return;
  _vp_core_owner_step_down (core);
  vp_owner_release (&core->owner, core->now_ms, core->effects);
  _vp_core_send_stopping (core);
}

static void
_vp_core_shutdown_begin (VpCore *core)
{
  if (core->is_stopping)
    return;
  core->is_stopping = true;
  core->stopping_since_ms = core->now_ms;
  vp_effects_log (core->effects, G_LOG_LEVEL_MESSAGE, "graceful shutdown: %u requests are pending",
                  g_hash_table_size (core->pending));
  _vp_core_send_stopping (core);
}

static void
_vp_core_update_gauges (VpCore *core)
{
  VpCoreMember *self = _vp_core_member (core, core->self->name);

  self->epoch = _vp_core_is_owner (core) ? core->epoch : 0;
  self->revision = vp_config_sync_revision (core->config_sync);
  vp_metrics_set (VP_GAUGE_OWNER_EPOCH, (int64_t)self->epoch);
  vp_metrics_set (VP_GAUGE_PENDING, g_hash_table_size (core->pending));
  vp_metrics_set (VP_GAUGE_RUNNING, g_hash_table_size (core->running));
  vp_metrics_set (VP_GAUGE_WORKERS, g_hash_table_size (core->workers));
  vp_metrics_set (VP_GAUGE_KEYS_TRUSTED,
                  vp_config_sync_keys_trusted (core->config_sync, core->now_ms));
}

static void
_vp_core_advance (VpCore *core)
{
  vp_config_sync_tick (core->config_sync, core->now_ms, core->effects);
  _vp_core_apply_config (core);
  if (core->now_ms >= core->next_heartbeat_ms)
    _vp_core_heartbeat (core);
  _vp_core_owner_tick (core);
  _vp_core_entry_tick (core);
  _vp_core_operator_tick (core);
  if (core->is_stopping)
    _vp_core_stopping_tick (core);
  _vp_core_update_gauges (core);
}

void
vp_core_apply (VpCore *core, VpEvent *event, int64_t now_ms, VpEffects *effects)
{
  uint32_t first = effects->count;

  core->now_ms = MAX (core->now_ms, now_ms);
  core->effects = effects;
  /* The ownership may have expired while the process was paused. This is checked before the event
   * is applied. */
  _vp_core_owner_tick (core);
  switch (event->kind) {
  case VP_EVENT_TICK:
    break;
  case VP_EVENT_REQUEST:
    _vp_core_entry_request (core, event->handle, event->request);
    break;
  case VP_EVENT_CLIENT_DISCONNECTED:
    _vp_core_entry_disconnected (core, event->handle);
    break;
  case VP_EVENT_STORE_RESULT:
    _vp_core_store_result (core, &event->store);
    break;
  case VP_EVENT_WORKER_REPORT:
    _vp_core_worker_report (core, &event->report);
    break;
  case VP_EVENT_WORKER_RESULT:
    _vp_core_worker_result (core, &event->worker);
    break;
  case VP_EVENT_VM_LIST:
    _vp_core_vm_list (core, event->vm_list.is_ok, event->vm_list.vms);
    break;
  case VP_EVENT_PEER:
    _vp_core_peer_message (core, &event->peer);
    break;
  case VP_EVENT_SHUTDOWN:
    _vp_core_shutdown_begin (core);
    break;
  }
  _vp_core_advance (core);
  _vp_core_fill_senders (core, first);
  vp_event_clear (event);
  core->effects = NULL;
}

int64_t
vp_core_valid_until_ms (const VpCore *core, int64_t now_ms)
{
  return vp_owner_valid_until_ms (&core->owner, now_ms);
}

int64_t
vp_core_next_ms (const VpCore *core)
{
  int64_t next = core->next_heartbeat_ms;

  next = MIN (next, vp_config_sync_next_ms (core->config_sync));
  next = MIN (next, vp_owner_next_ms (&core->owner));
  next = MIN (next, core->next_pending_scan_ms);
  if (core->role != VP_ROLE_STANDBY) {
    next = MIN (next, vp_ledger_next_ms (core->ledger));
    next = MIN (next, MAX (vp_limit_grants_next_ms (core->grants), core->next_grants_step_ms));
    next = MIN (next, vp_sched_next_ms (core->sched));
    next = MIN (next, core->next_renew_scan_ms);
  }
  /* Limits the rate of ticks, even if a module is due already. Other events are not delayed. */
  return MAX (next, core->now_ms + VP_CORE_TICK_MIN_MS);
}
