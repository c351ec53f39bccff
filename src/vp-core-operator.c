/* Reducer: operators' requests for configuration, status, placements, audit trail and metrics. */
#include "vp-core-private.h"

#include <string.h>

static GBytes *
_vp_core_json_bytes (JsonBuilder *builder)
{
  JsonNode *root = json_builder_get_root (builder);
  gchar *text = json_to_string (root, FALSE);

  json_node_unref (root);
  return g_bytes_new_take (text, strlen (text));
}

static void
_vp_core_json_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
_vp_core_json_int (JsonBuilder *builder, const char *name, int64_t value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

static void
_vp_core_json_bool (JsonBuilder *builder, const char *name, bool value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}

static void
_vp_core_json_resources (JsonBuilder *builder, const char *name, const VpResources *size)
{
  json_builder_set_member_name (builder, name);
  json_builder_begin_object (builder);
  _vp_core_json_int (builder, "cpu_milli", size->cpu_milli);
  _vp_core_json_int (builder, "mem_mib", size->mem_mib);
  _vp_core_json_int (builder, "accel_count", size->accel_count);
  json_builder_end_object (builder);
}

static void
_vp_core_status_members (VpCore *core, JsonBuilder *builder)
{
  json_builder_set_member_name (builder, "members");
  json_builder_begin_array (builder);
  for (uint32_t i = 0; i < core->member_count; i++) {
    const VpCoreMember *member = &core->members[i];
    json_builder_begin_object (builder);
    _vp_core_json_string (builder, "name", member->settings.name);
    _vp_core_json_string (builder, "dc", member->settings.dc);
    _vp_core_json_string (builder, "http_address", member->settings.http_address);
    _vp_core_json_bool (builder, "alive", _vp_core_member_is_alive (core, member));
    _vp_core_json_int (builder, "epoch", (int64_t)member->epoch);
    _vp_core_json_int (builder, "revision", (int64_t)member->revision);
    json_builder_end_object (builder);
  }
  json_builder_end_array (builder);
}

static void
_vp_core_status_teams (VpCore *core, JsonBuilder *builder)
{
  GArray *teams = g_array_new (FALSE, TRUE, sizeof (VpSchedTeamStatus));

  vp_sched_team_statuses (core->sched, core->now_ms, teams);
  json_builder_set_member_name (builder, "teams");
  json_builder_begin_array (builder);
  for (guint i = 0; i < teams->len; i++) {
    const VpSchedTeamStatus *team = &g_array_index (teams, VpSchedTeamStatus, i);
    json_builder_begin_object (builder);
    _vp_core_json_string (builder, "team", team->team);
    _vp_core_json_int (builder, "share", team->share);
    _vp_core_json_int (builder, "running", team->running_count);
    _vp_core_json_int (builder, "waiting", team->waiting_count);
    _vp_core_json_int (builder, "oldest_wait_ms", team->oldest_wait_ms);
    _vp_core_json_resources (builder, "used", &team->used);
    _vp_core_json_resources (builder, "grant", &team->grant);
    json_builder_end_object (builder);
  }
  json_builder_end_array (builder);
  g_array_unref (teams);
}

static void
_vp_core_status_workers (VpCore *core, JsonBuilder *builder)
{
  GHashTableIter iter;
  gpointer value;

  json_builder_set_member_name (builder, "workers");
  json_builder_begin_array (builder);
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpCoreWorker *worker = value;
    json_builder_begin_object (builder);
    _vp_core_json_string (builder, "name", worker->vm.name);
    _vp_core_json_string (builder, "address", worker->vm.address);
    _vp_core_json_string (builder, "rack", worker->vm.rack);
    _vp_core_json_bool (builder, "reachable", worker->is_reachable);
    _vp_core_json_bool (builder, "leaving", _vp_core_worker_is_leaving (core, worker->vm.name));
    _vp_core_json_int (builder, "running", worker->running->len);
    json_builder_end_object (builder);
  }
  json_builder_end_array (builder);
}

static GBytes *
_vp_core_status (VpCore *core)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  const VpCoreMember *owner = _vp_core_owner_of (core, core->self->dc);
  VpResources total;
  VpResources used;

  vp_sched_totals (core->sched, &total, &used);
  json_builder_begin_object (builder);
  _vp_core_json_string (builder, "name", core->self->name);
  _vp_core_json_string (builder, "dc", core->self->dc);
  _vp_core_json_string (builder, "owner", owner != NULL ? owner->settings.name : "");
  _vp_core_json_int (builder, "epoch", owner != NULL ? (int64_t)owner->epoch : 0);
  _vp_core_json_bool (builder, "settled", _vp_core_is_owner (core) && core->is_recovered);
  _vp_core_json_int (builder, "revision", (int64_t)vp_config_sync_revision (core->config_sync));
  _vp_core_json_bool (builder, "keys_trusted",
                      vp_config_sync_keys_trusted (core->config_sync, core->now_ms));
  _vp_core_json_bool (builder, "stopping", core->is_stopping);
  _vp_core_json_int (builder, "pending", g_hash_table_size (core->pending));
  _vp_core_json_resources (builder, "total", &total);
  _vp_core_json_resources (builder, "used", &used);
  _vp_core_status_members (core, builder);
  _vp_core_status_teams (core, builder);
  _vp_core_status_workers (core, builder);
  json_builder_end_object (builder);
  return _vp_core_json_bytes (builder);
}

static GBytes *
_vp_core_placements (VpCore *core)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  const VpCoreMember *owner = _vp_core_owner_of (core, core->self->dc);
  GHashTableIter iter;
  gpointer value;

  json_builder_begin_object (builder);
  _vp_core_json_string (builder, "dc", core->self->dc);
  _vp_core_json_string (builder, "owner", owner != NULL ? owner->settings.name : "");
  json_builder_set_member_name (builder, "placements");
  json_builder_begin_array (builder);
  g_hash_table_iter_init (&iter, core->running);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpRunningAttempt *running = value;
    const VpCoreJob *job = _vp_core_job (core, running->attempt.task);
    char name[VP_ATTEMPT_TEXT_MAX];
    vp_attempt_format (&running->attempt, name);
    json_builder_begin_object (builder);
    _vp_core_json_string (builder, "attempt", name);
    _vp_core_json_string (builder, "worker", running->worker);
    _vp_core_json_string (builder, "team", job != NULL ? job->team : "");
    _vp_core_json_string (builder, "profile", job != NULL ? job->profile : "");
    _vp_core_json_resources (builder, "size", &running->size);
    json_builder_end_object (builder);
  }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return _vp_core_json_bytes (builder);
}

static GBytes *
_vp_core_config_document (VpCore *core)
{
  g_autoptr (GBytes) document = vp_config_format (core->config);
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"revision\":%" G_GUINT64_FORMAT ",\"config\":",
                   vp_config_sync_revision (core->config_sync));
  g_string_append_len (text, g_bytes_get_data (document, NULL),
                       (gssize)g_bytes_get_size (document));
  g_string_append_c (text, '}');
  return g_string_free_to_bytes (text);
}

static void
_vp_core_metrics (VpCore *core, uint64_t handle)
{
  GBytes *body = g_string_free_to_bytes (vp_metrics_expose ());

  _vp_core_reply (core, handle, 200, body)->reply.content_type = "text/plain; version=0.0.4";
}

static void
_vp_core_config_get (VpCore *core, uint64_t handle, VpRequest *request)
{
  if (request->revision == 0 || vp_config_sync_revision (core->config_sync) > request->revision) {
    _vp_core_reply (core, handle, 200, _vp_core_config_document (core));
    return;
  }
  _vp_core_pending_new (core, VP_PENDING_CONFIG, handle, request);
}

static void
_vp_core_audit_reply (VpCore *core, uint64_t handle, GBytes *list)
{
  GString *text = g_string_new ("{\"audit\":");

  g_string_append_len (text, g_bytes_get_data (list, NULL), (gssize)g_bytes_get_size (list));
  g_string_append_c (text, '}');
  _vp_core_reply (core, handle, 200, g_string_free_to_bytes (text));
}

/* Answers with an audit trail that was read after the request arrived, or with an error after a
 * timeout. Returns false while the request still waits. */
static bool
_vp_core_try_audit (VpCore *core, const VpPendingRequest *pending)
{
  bool is_late = core->now_ms - pending->last_progress_ms > VP_CORE_AUDIT_TIMEOUT_MS;
  g_autoptr (GBytes) list = NULL;

  if (!is_late && vp_config_sync_audit_as_of_ms (core->config_sync) < pending->last_progress_ms)
    return false;
  if (vp_config_sync_audit_as_of_ms (core->config_sync) >= pending->last_progress_ms)
    list = vp_config_sync_audit (core->config_sync, core->now_ms, core->effects);
  if (list != NULL)
    _vp_core_audit_reply (core, pending->handle, list);
  else
    _vp_core_reply_error (core, pending->handle, VP_REASON_STORE_DOWN,
                          "the audit trail can't be read");
  return true;
}

static void
_vp_core_audit (VpCore *core, uint64_t handle, VpRequest *request)
{
  GBytes *list = vp_config_sync_audit (core->config_sync, core->now_ms,
                                       core->effects); /* starts a read of the store */

  _vp_core_pending_new (core, VP_PENDING_CONFIG, handle, request);
  g_clear_pointer (&list, g_bytes_unref);
}

void
_vp_core_operator_request (VpCore *core, uint64_t handle, VpRequest *request)
{
  const char *operator_name;

  if (request->op == VP_OP_METRICS) {
    _vp_core_metrics (core, handle);
    return;
  }
  operator_name = vp_settings_operator (core->settings, request->key);
  if (operator_name == NULL) {
    vp_metrics_add (VP_COUNTER_BAD_KEY, 1);
    _vp_core_reply_error (core, handle, VP_REASON_BAD_KEY, "an operator's key is needed");
    return;
  }
  switch (request->op) {
  case VP_OP_CONFIG_GET:
    _vp_core_config_get (core, handle, request);
    break;
  case VP_OP_CONFIG_PUT:
    if (core->is_stopping) {
      _vp_core_reply_error (core, handle, VP_REASON_SHUTTING_DOWN, NULL);
      break;
    }
    _vp_core_pending_new (core, VP_PENDING_CONFIG, handle, request);
    vp_config_sync_submit (core->config_sync, handle, operator_name, request->revision,
                           request->payload, core->now_ms, core->effects);
    break;
  case VP_OP_STATUS:
    _vp_core_reply (core, handle, 200, _vp_core_status (core));
    break;
  case VP_OP_PLACEMENTS:
    _vp_core_reply (core, handle, 200, _vp_core_placements (core));
    break;
  case VP_OP_AUDIT:
    _vp_core_audit (core, handle, request);
    break;
  default:
    _vp_core_reply_error (core, handle, VP_REASON_BAD_REQUEST, NULL);
    break;
  }
}

static VpPendingRequest *
_vp_core_pending_of_handle (VpCore *core, uint64_t handle)
{
  const uint64_t *correlation = g_hash_table_lookup (core->handles, &handle);

  return correlation != NULL ? g_hash_table_lookup (core->pending, correlation) : NULL;
}

static GBytes *
_vp_core_change_document (VpCore *core, const VpConfigSyncOutcome *outcome)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_auto (GStrv) missing = g_strsplit (outcome->missing, " ", -1);

  json_builder_begin_object (builder);
  _vp_core_json_int (builder, "revision", (int64_t)outcome->revision);
  _vp_core_json_int (builder, "confirmed", outcome->confirmed_count);
  _vp_core_json_int (builder, "members", core->member_count);
  json_builder_set_member_name (builder, "missing");
  json_builder_begin_array (builder);
  for (guint i = 0; missing[i] != NULL; i++) {
    if (missing[i][0] != '\0')
      json_builder_add_string_value (builder, missing[i]);
  }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return _vp_core_json_bytes (builder);
}

static void
_vp_core_config_outcome (VpCore *core, const VpConfigSyncOutcome *outcome)
{
  VpPendingRequest *pending = _vp_core_pending_of_handle (core, outcome->handle);

  if (outcome->reason == VP_REASON_NONE) {
    vp_metrics_add (VP_COUNTER_CONFIG_CHANGES, 1);
    _vp_core_reply (core, outcome->handle, 200, _vp_core_change_document (core, outcome));
  } else {
    _vp_core_reply_error (core, outcome->handle, outcome->reason,
                          outcome->detail[0] != '\0' ? outcome->detail : NULL);
  }
  if (pending != NULL)
    _vp_core_pending_remove (core, pending);
}

static bool
_vp_core_try_config_watch (VpCore *core, const VpPendingRequest *pending)
{
  if (vp_config_sync_revision (core->config_sync) <= pending->request->revision
      && !core->is_stopping
      && core->now_ms - pending->last_progress_ms <= VP_CORE_CONFIG_WATCH_TIMEOUT_MS)
    return false;
  _vp_core_reply (core, pending->handle, 200, _vp_core_config_document (core));
  return true;
}

/* Answers requests that wait for a new configuration revision or for the audit trail. */
static void
_vp_core_answer_config_watches (VpCore *core)
{
  GPtrArray *done = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpPendingRequest *pending = value;
    if (pending->kind != VP_PENDING_CONFIG)
      continue;
    if ((pending->request->op == VP_OP_CONFIG_GET && _vp_core_try_config_watch (core, pending))
        || (pending->request->op == VP_OP_AUDIT && _vp_core_try_audit (core, pending)))
      g_ptr_array_add (done, pending);
  }
  for (guint i = 0; i < done->len; i++)
    _vp_core_pending_remove (core, g_ptr_array_index (done, i));
  g_ptr_array_unref (done);
}

void
_vp_core_operator_tick (VpCore *core)
{
  GArray *outcomes = g_array_new (FALSE, TRUE, sizeof (VpConfigSyncOutcome));

  vp_config_sync_set_watching (core->config_sync, core->role == VP_ROLE_ACTIVE);
  vp_config_sync_take_outcomes (core->config_sync, outcomes);
  for (guint i = 0; i < outcomes->len; i++)
    _vp_core_config_outcome (core, &g_array_index (outcomes, VpConfigSyncOutcome, i));
  g_array_unref (outcomes);
  _vp_core_answer_config_watches (core);
}
