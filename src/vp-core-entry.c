/* Reducer: callers' requests on their way to the owner of a DC, and the answers. */
#include "vp-core-private.h"
#include "vp-safeguard.h"

#include <string.h>

#define PENDING_SCAN_INTERVAL_MS 200 /* between searches for requests to resend or give up */

VpPendingRequest *
_vp_core_pending_new (VpCore *core, VpPendingKind kind, uint64_t handle, VpRequest *request)
{
  VpPendingRequest *pending = g_new0 (VpPendingRequest, 1);

  pending->kind = kind;
  pending->handle = handle;
  pending->correlation = ++core->next_correlation;
  pending->request = vp_request_ref (request);
  pending->last_progress_ms = core->now_ms;
  pending->resend_delay_ms = VP_CORE_RESEND_DELAY_MS;
  pending->next_resend_ms = core->now_ms + pending->resend_delay_ms;
  pending->tried_dcs = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (core->pending, &pending->correlation, pending);
  if (pending->kind != VP_PENDING_CANCEL) {
    uint64_t *key = g_memdup2 (&handle, sizeof handle);
    g_hash_table_insert (core->handles, key, &pending->correlation);
  }
  return pending;
}

void
_vp_core_pending_free (gpointer data)
{
  VpPendingRequest *pending = data;

  vp_request_unref (pending->request);
  g_ptr_array_unref (pending->tried_dcs);
  g_free (pending);
}

void
_vp_core_pending_remove (VpCore *core, VpPendingRequest *pending)
{
  if (pending->kind != VP_PENDING_CANCEL)
    g_hash_table_remove (core->handles, &pending->handle);
  g_hash_table_remove (core->pending, &pending->correlation);
}

/* True if the request can be found again by its task identity. Only the home DC of its task, which
 * keeps its record, may admit it then. */
static bool
_vp_core_pending_is_identified (const VpPendingRequest *pending)
{
  return pending->request->identity[0] != '\0' || !pending->request->is_waiting
         || !pending->request->is_repeatable;
}

static void
_vp_core_pending_message (VpCore *core, const VpPendingRequest *pending, VpPeerMessage *message)
{
  static const VpPeerKind kinds[] = {
    [VP_PENDING_SUBMIT] = VP_PEER_SUBMIT,
    [VP_PENDING_QUERY] = VP_PEER_QUERY,
    [VP_PENDING_CANCEL] = VP_PEER_CANCEL,
    [VP_PENDING_EXPLAIN] = VP_PEER_EXPLAIN,
  };

  memset (message, 0, sizeof *message);
  message->kind = kinds[pending->kind];
  message->correlation = pending->correlation;
  message->task = pending->task;
  g_strlcpy (message->from, core->self->name, sizeof message->from);
  g_strlcpy (message->team, pending->team, sizeof message->team);
  if (pending->kind == VP_PENDING_SUBMIT) {
    message->request = vp_request_ref (pending->request);
    message->epoch = pending->first_epoch;
    if (pending->start_by_ms != 0)
      message->duration_ms = MAX (1, pending->start_by_ms - core->now_ms);
  }
}

/* Sends the request to the owner of its DC. False if no owner is known. If this process is the
 * owner, the pending request may be answered and freed in the call. */
static bool
_vp_core_pending_send (VpCore *core, VpPendingRequest *pending)
{
  const VpCoreMember *owner = _vp_core_owner_of (core, pending->dc);
  VpPeerMessage message;

  if (owner == NULL)
    return false;
  _vp_core_pending_message (core, pending, &message);
  if (pending->first_epoch == 0)
    pending->first_epoch = owner->epoch;
  g_strlcpy (pending->sent_to, owner->settings.name, sizeof pending->sent_to);
  if (&owner->settings != core->self) {
    vp_metrics_add (VP_COUNTER_FORWARDED, 1);
    _vp_core_send (core, owner->settings.name, &message);
    return true;
  }
  if (pending->kind == VP_PENDING_SUBMIT)
    _vp_core_job_submit (core, &message);
  else if (pending->kind == VP_PENDING_CANCEL)
    _vp_core_job_cancel (core, &message);
  else
    _vp_core_job_query (core, &message);
  vp_peer_message_clear (&message);
  return true;
}

/* Another DC for a request that certainly did not run in its present one: the least loaded DC with
 * a live owner that has not refused it. */
static const char *
_vp_core_other_dc (VpCore *core, const VpPendingRequest *pending)
{
  const VpCoreMember *best = NULL;

  for (guint i = 0; i < core->config->dcs->len; i++) {
    const char *dc = g_ptr_array_index (core->config->dcs, i);
    const VpCoreMember *owner;
    if (strcmp (dc, pending->dc) == 0
        || g_ptr_array_find_with_equal_func (pending->tried_dcs, dc, g_str_equal, NULL))
      continue;
    owner = _vp_core_owner_of (core, dc);
    if (owner != NULL && (best == NULL || owner->load_milli < best->load_milli))
      best = owner;
  }
  return best != NULL ? best->settings.dc : NULL;
}

static bool
_vp_core_pending_redirect (VpCore *core, VpPendingRequest *pending)
{
  const char *dc;

  if (_vp_core_pending_is_identified (pending))
    return false; /* only its home DC may admit it */
  dc = _vp_core_other_dc (core, pending);
  if (dc == NULL)
    return false;
  g_ptr_array_add (pending->tried_dcs, g_strdup (pending->dc));
  g_strlcpy (pending->dc, dc, sizeof pending->dc);
  pending->first_epoch = 0;
  pending->resend_delay_ms = VP_CORE_RESEND_DELAY_MS;
  pending->next_resend_ms = core->now_ms + pending->resend_delay_ms;
  return _vp_core_pending_send (core, pending);
}

/* Refuses a request that was not sent to any owner. */
static bool
_vp_core_refuse (VpCore *core, uint64_t handle, VpReason reason, const char *detail)
{
  if (reason == VP_REASON_BAD_KEY)
    vp_metrics_add (VP_COUNTER_BAD_KEY, 1);
  _vp_core_reply_error (core, handle, reason, detail);
  return false;
}

/* Refuses a request unless its key is trusted and belongs to @team, or to any team if @team is
 * empty. */
static bool
_vp_core_check_key (VpCore *core, uint64_t handle, const VpRequest *request, const char *team)
{
  char key_team[VP_NAME_MAX];

  if (!vp_config_sync_keys_trusted (core->config_sync, core->now_ms)
      && !vp_safeguard_is_disabled (VP_SAFEGUARD_KEYS))
    return _vp_core_refuse (core, handle, VP_REASON_KEY_UNCERTAIN, NULL);
  if (request->key[0] == '\0'
      || !vp_config_sync_key_valid (core->config_sync, request->key, key_team))
    return _vp_core_refuse (core, handle, VP_REASON_BAD_KEY, NULL);
  if (team[0] != '\0' && strcmp (key_team, team) != 0)
    return _vp_core_refuse (core, handle, VP_REASON_BAD_KEY, "the key belongs to another team");
  return true;
}

static bool
_vp_core_check_submit (VpCore *core,
                       uint64_t handle,
                       const VpRequest *request,
                       const VpProfile *profile)
{
  if (profile == NULL)
    return _vp_core_refuse (core, handle, VP_REASON_UNKNOWN_PROFILE, request->profile);
  if (!profile->is_open && !_vp_core_check_key (core, handle, request, request->team))
    return false;
  if (vp_config_team (core->config, request->team) == NULL)
    return _vp_core_refuse (core, handle, VP_REASON_UNKNOWN_TEAM, request->team);
  if (!request->is_repeatable && request->identity[0] == '\0')
    return _vp_core_refuse (core, handle, VP_REASON_BAD_REQUEST,
                            "identity: is required unless repeatable is true");
  if (!request->is_repeatable && request->task_count > 1)
    return _vp_core_refuse (core, handle, VP_REASON_BAD_REQUEST,
                            "count: must be 1 unless repeatable is true");
  return true;
}

static void
_vp_core_entry_submit (VpCore *core, uint64_t handle, VpRequest *request)
{
  const VpProfile *profile = vp_config_profile (core->config, request->profile);
  int64_t deadline_ms = request->deadline_ms;
  VpPendingRequest *pending;
  const char *dc;

  if (!_vp_core_check_submit (core, handle, request, profile))
    return;
  if (!request->is_wait_given)
    request->is_waiting = profile->kind == VP_PROFILE_SERVICE;
  pending = _vp_core_pending_new (core, VP_PENDING_SUBMIT, handle, request);
  g_strlcpy (pending->team, request->team, sizeof pending->team);
  if (request->identity[0] != '\0')
    pending->task = vp_task_id_from_identity (request->team, request->identity);
  else
    pending->task = vp_task_id_from_sequence (core->self->name, core->boot, ++core->next_sequence);
  if (deadline_ms == 0)
    deadline_ms = profile->deadline_ms;
  if (deadline_ms != 0)
    pending->start_by_ms = core->now_ms + deadline_ms;
  dc = core->self->dc;
  if (_vp_core_pending_is_identified (pending))
    dc = vp_config_home_dc (core->config, pending->task);
  g_strlcpy (pending->dc, dc != NULL ? dc : core->self->dc, sizeof pending->dc);
  if (!_vp_core_pending_send (core, pending))
    _vp_core_pending_redirect (core, pending);
}

static void
_vp_core_entry_lookup (VpCore *core, VpPendingKind kind, uint64_t handle, VpRequest *request)
{
  VpPendingRequest *pending;
  char team[VP_NAME_MAX];
  const char *dc;

  if (!_vp_core_check_key (core, handle, request, request->team))
    return;
  vp_config_sync_key_valid (core->config_sync, request->key, team);
  pending = _vp_core_pending_new (core, kind, handle, request);
  g_strlcpy (pending->team, team, sizeof pending->team);
  pending->task = request->task;
  if (vp_task_id_is_zero (pending->task))
    pending->task = vp_task_id_from_identity (team, request->identity);
  dc = vp_config_home_dc (core->config, pending->task);
  g_strlcpy (pending->dc, dc != NULL ? dc : core->self->dc, sizeof pending->dc);
  _vp_core_pending_send (core, pending);
}

/* Counts the answer to one task of a cancel, and replies to the caller after the last one. */
static void
_vp_core_cancel_group_answered (VpCore *core, VpCancelGroup *group)
{
  GBytes *body;

  if (--group->open_count > 0)
    return;
  g_string_append (group->json, "]}");
  body = g_string_free_to_bytes (group->json);
  _vp_core_reply (core, group->handle, 200, body);
  g_free (group);
}

static void
_vp_core_entry_cancel_many (VpCore *core, uint64_t handle, VpRequest *request)
{
  VpCancelGroup *group;
  char team[VP_NAME_MAX];

  if (!_vp_core_check_key (core, handle, request, request->team))
    return;
  vp_config_sync_key_valid (core->config_sync, request->key, team);
  group = g_new0 (VpCancelGroup, 1);
  group->handle = handle;
  group->json = g_string_new ("{\"tasks\":[");
  /* One more than the number of tasks, so that answers during the loop don't complete the group. */
  group->open_count = request->tasks->len + 1;
  for (guint i = 0; i < request->tasks->len; i++) {
    VpPendingRequest *pending = _vp_core_pending_new (core, VP_PENDING_CANCEL, handle, request);
    const char *dc;
    pending->group = group;
    pending->task = g_array_index (request->tasks, VpTaskId, i);
    g_strlcpy (pending->team, team, sizeof pending->team);
    dc = vp_config_home_dc (core->config, pending->task);
    g_strlcpy (pending->dc, dc != NULL ? dc : core->self->dc, sizeof pending->dc);
    _vp_core_pending_send (core, pending);
  }
  _vp_core_cancel_group_answered (core, group);
}

static void
_vp_core_entry_cancel (VpCore *core, uint64_t handle, VpRequest *request)
{
  if (request->tasks == NULL) {
    request->tasks = g_array_new (FALSE, TRUE, sizeof (VpTaskId));
    g_array_append_val (request->tasks, request->task);
  }
  _vp_core_entry_cancel_many (core, handle, request);
}

void
_vp_core_entry_request (VpCore *core, uint64_t handle, VpRequest *request)
{
  vp_metrics_add (VP_COUNTER_REQUESTS, 1);
  if (core->is_stopping && request->op == VP_OP_SUBMIT) {
    _vp_core_refuse (core, handle, VP_REASON_SHUTTING_DOWN, NULL);
    return;
  }
  if (g_hash_table_size (core->pending) >= core->settings->pending_max) {
    _vp_core_refuse (core, handle, VP_REASON_OVERLOADED, NULL);
    return;
  }
  switch (request->op) {
  case VP_OP_SUBMIT:
    _vp_core_entry_submit (core, handle, request);
    break;
  case VP_OP_GET:
    _vp_core_entry_lookup (core, VP_PENDING_QUERY, handle, request);
    break;
  case VP_OP_EXPLAIN:
    _vp_core_entry_lookup (core, VP_PENDING_EXPLAIN, handle, request);
    break;
  case VP_OP_CANCEL:
    _vp_core_entry_cancel (core, handle, request);
    break;
  case VP_OP_CONFIG_GET:
  case VP_OP_CONFIG_PUT:
  case VP_OP_STATUS:
  case VP_OP_PLACEMENTS:
  case VP_OP_AUDIT:
  case VP_OP_METRICS:
    _vp_core_operator_request (core, handle, request);
    break;
  }
}

/* Cancels a request whose caller disconnected and can't ask for the answer again, so that no worker
 * runs it in vain. */
static void
_vp_core_entry_cancel_abandoned (VpCore *core, VpPendingRequest *pending)
{
  const VpCoreMember *owner = _vp_core_owner_of (core, pending->dc);
  VpPeerMessage message = { .kind = VP_PEER_CANCEL, .task = pending->task };

  if (owner == NULL)
    return;
  g_strlcpy (message.team, pending->team, sizeof message.team);
  g_strlcpy (message.from, core->self->name, sizeof message.from);
  if (&owner->settings == core->self)
    _vp_core_job_cancel (core, &message);
  else
    _vp_core_send (core, owner->settings.name, &message);
}

void
_vp_core_entry_disconnected (VpCore *core, uint64_t handle)
{
  const uint64_t *correlation = g_hash_table_lookup (core->handles, &handle);
  uint64_t key;
  VpPendingRequest *pending;

  if (correlation == NULL)
    return;
  key = *correlation;
  pending = g_hash_table_lookup (core->pending, &key);
  if (pending->kind == VP_PENDING_SUBMIT && !_vp_core_pending_is_identified (pending))
    _vp_core_entry_cancel_abandoned (core, pending);
  /* The cancel may have freed the pending request already. */
  pending = g_hash_table_lookup (core->pending, &key);
  if (pending != NULL)
    _vp_core_pending_remove (core, pending);
}

static void
_vp_core_answer_cancel (VpCore *core, VpPendingRequest *pending, VpTaskState state)
{
  VpCancelGroup *group = pending->group;
  char hex[VP_TASK_ID_TEXT_MAX];

  if (group != NULL) {
    vp_task_id_format (pending->task, hex);
    g_string_append_printf (group->json, "%s{\"task\":\"%s\",\"state\":\"%s\"}",
                            g_str_has_suffix (group->json->str, "[") ? "" : ",", hex,
                            vp_task_state_token (state));
  }
  _vp_core_pending_remove (core, pending);
  if (group != NULL)
    _vp_core_cancel_group_answered (core, group);
}

static void
_vp_core_answer_query (VpCore *core, VpPendingRequest *pending, const VpPeerMessage *answer)
{
  if (answer->state == VP_TASK_NONE)
    _vp_core_reply_error (core, pending->handle, VP_REASON_NOT_FOUND, NULL);
  else if (pending->kind == VP_PENDING_EXPLAIN)
    _vp_core_reply (core, pending->handle, 200, g_bytes_ref (answer->body));
  else
    _vp_core_reply (core, pending->handle, 200,
                    vp_request_format_outcome (pending->task, answer->state, answer->reason,
                                               answer->worker, answer->body));
  _vp_core_pending_remove (core, pending);
}

/* HTTP status of the reply to a submit whose job is in @state. */
static uint32_t
_vp_core_outcome_status (VpTaskState state, VpReason reason)
{
  if (state == VP_TASK_DONE)
    return 200;
  if (!vp_task_state_is_final (state) && state != VP_TASK_UNKNOWN)
    return 202;
  return vp_reason_http_status (reason);
}

static void
_vp_core_reply_outcome (VpCore *core, VpPendingRequest *pending, const VpPeerMessage *answer)
{
  uint32_t status = _vp_core_outcome_status (answer->state, answer->reason);

  if (answer->state == VP_TASK_DONE || status == 202)
    vp_metrics_add (VP_COUNTER_ACCEPTED, 1);
  else
    vp_metrics_add (vp_reason_guarantees_not_run (answer->reason) ? VP_COUNTER_REFUSED_NOT_RUN
                                                                  : VP_COUNTER_REFUSED_UNKNOWN,
                    1);
  _vp_core_reply (core, pending->handle, status,
                  vp_request_format_outcome (pending->task, answer->state, answer->reason,
                                             answer->worker, answer->body));
  _vp_core_pending_remove (core, pending);
}

/* True if a refusal proves that the request did not run. The owner that refuses it does not know of
 * attempts that an earlier owner started and that have ended since, unless the request has a record
 * in the ledger. */
static bool
_vp_core_refusal_is_certain (const VpPendingRequest *pending, const VpPeerMessage *answer)
{
  return !pending->request->is_repeatable || answer->epoch == pending->first_epoch
         || vp_safeguard_is_disabled (VP_SAFEGUARD_UNREPORTED_TASKS);
}

static void
_vp_core_answer_submit (VpCore *core, VpPendingRequest *pending, const VpPeerMessage *answer)
{
  if (answer->state == VP_TASK_REFUSED && answer->reason == VP_REASON_NO_OWNER) {
    /* That member is not the owner, or not any more. The request waits for the next owner. */
    pending->sent_to[0] = '\0';
    return;
  }
  if (answer->state == VP_TASK_REFUSED && !_vp_core_refusal_is_certain (pending, answer)) {
    VpPeerMessage uncertain = *answer;
    uncertain.state = VP_TASK_UNKNOWN;
    uncertain.reason = VP_REASON_OWNER_LOST;
    _vp_core_reply_outcome (core, pending, &uncertain);
    return;
  }
  if (answer->state == VP_TASK_REFUSED && vp_reason_guarantees_not_run (answer->reason)
      && answer->reason != VP_REASON_DEADLINE && answer->reason != VP_REASON_IDENTITY_REUSED
      && _vp_core_pending_redirect (core, pending))
    return;
  if (!vp_task_state_is_final (answer->state) && answer->state != VP_TASK_UNKNOWN
      && pending->request->is_waiting)
    return; /* the answer only shows progress; the caller waits for the outcome */
  _vp_core_reply_outcome (core, pending, answer);
}

void
_vp_core_entry_answer (VpCore *core, const VpPeerMessage *answer)
{
  VpPendingRequest *pending = g_hash_table_lookup (core->pending, &answer->correlation);

  /* Correlations are unique only within one boot. An answer to a request of an earlier boot, or
   * about another task, must not reach this caller. */
  if (pending == NULL
      || (!vp_task_id_equal (pending->task, answer->task)
          && !vp_safeguard_is_disabled (VP_SAFEGUARD_ANSWER_MATCHING))) {
    vp_metrics_add (VP_COUNTER_LATE_ANSWERS, 1);
    return;
  }
  pending->last_progress_ms = core->now_ms;
  switch (pending->kind) {
  case VP_PENDING_SUBMIT:
    _vp_core_answer_submit (core, pending, answer);
    break;
  case VP_PENDING_QUERY:
  case VP_PENDING_EXPLAIN:
    if (answer->reason == VP_REASON_NO_OWNER)
      pending->sent_to[0] = '\0';
    else
      _vp_core_answer_query (core, pending, answer);
    break;
  case VP_PENDING_CANCEL:
    if (answer->reason == VP_REASON_NO_OWNER)
      pending->sent_to[0] = '\0';
    else
      _vp_core_answer_cancel (core, pending, answer->state);
    break;
  case VP_PENDING_CONFIG:
    break;
  }
}

/* Answers a request that timed out. It may have run if it was sent to its DC. */
static void
_vp_core_pending_expire (VpCore *core, VpPendingRequest *pending)
{
  VpReason reason = pending->first_epoch == 0 ? VP_REASON_NO_OWNER : VP_REASON_OWNER_LOST;

  if (pending->kind == VP_PENDING_CANCEL) {
    _vp_core_answer_cancel (core, pending, VP_TASK_UNKNOWN);
    return;
  }
  if (pending->kind != VP_PENDING_SUBMIT)
    reason = VP_REASON_NO_OWNER;
  _vp_core_reply_error (core, pending->handle, reason, NULL);
  _vp_core_pending_remove (core, pending);
}

/* Sends a pending request to a new owner, to another DC or once more, or answers it if it timed
 * out. */
static void
_vp_core_pending_tick (VpCore *core, VpPendingRequest *pending)
{
  const VpCoreMember *owner;

  if (pending->kind == VP_PENDING_CONFIG)
    return;
  if (core->now_ms - pending->last_progress_ms > VP_CORE_REQUEST_TIMEOUT_MS) {
    _vp_core_pending_expire (core, pending);
    return;
  }
  owner = _vp_core_owner_of (core, pending->dc);
  if (owner != NULL && strcmp (owner->settings.name, pending->sent_to) != 0) {
    _vp_core_pending_send (core, pending);
    return;
  }
  if (owner == NULL && pending->kind == VP_PENDING_SUBMIT && pending->first_epoch == 0
      && _vp_core_pending_redirect (core, pending))
    return;
  if (owner == NULL || core->now_ms < pending->next_resend_ms || &owner->settings == core->self)
    return;
  /* The message may be lost. Sending the same task again is idempotent. */
  pending->resend_delay_ms = MIN (pending->resend_delay_ms * 2, VP_CORE_RESEND_DELAY_MAX_MS);
  pending->next_resend_ms = core->now_ms + pending->resend_delay_ms;
  _vp_core_pending_send (core, pending);
}

/* Resends or expires the pending requests for @dc, or for all DCs if @dc is NULL. */
static void
_vp_core_entry_scan (VpCore *core, const char *dc)
{
  GList *values = g_hash_table_get_keys (core->pending);
  GArray *correlations = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  /* Sending may answer and remove requests, so the loop uses a copy of the keys. */
  for (GList *l = values; l != NULL; l = l->next)
    g_array_append_val (correlations, *(uint64_t *)l->data);
  g_list_free (values);
  for (guint i = 0; i < correlations->len; i++) {
    uint64_t correlation = g_array_index (correlations, uint64_t, i);
    VpPendingRequest *pending = g_hash_table_lookup (core->pending, &correlation);
    if (pending != NULL && (dc == NULL || strcmp (pending->dc, dc) == 0))
      _vp_core_pending_tick (core, pending);
  }
  g_array_unref (correlations);
}

void
_vp_core_entry_expire_all (VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    if (((VpPendingRequest *)value)->kind == VP_PENDING_CONFIG)
      continue;
    _vp_core_pending_expire (core, value);
    g_hash_table_iter_init (&iter, core->pending);
  }
}

void
_vp_core_entry_owner_changed (VpCore *core, const char *dc)
{
  _vp_core_entry_scan (core, dc);
}

void
_vp_core_entry_tick (VpCore *core)
{
  if (core->now_ms < core->next_pending_scan_ms)
    return;
  core->next_pending_scan_ms = core->now_ms + PENDING_SCAN_INTERVAL_MS;
  _vp_core_entry_scan (core, NULL);
}
