/* Reducer: the owner of a DC, its opening, decisions, task leases and grants. */
#include "vp-core-private.h"
#include "vp-safeguard.h"

#include <string.h>

#define GRANTS_STEP_INTERVAL_MS 50  /* interval between updates of the grants */
#define RENEW_SCAN_INTERVAL_MS  100 /* interval between searches for leases to renew */

VpRunningAttempt *
_vp_core_running (const VpCore *core, const VpAttempt *attempt)
{
  return g_hash_table_lookup (core->running, attempt);
}

VpRunningAttempt *
_vp_core_running_new (VpCore *core, const VpAttempt *attempt, const char *worker)
{
  VpRunningAttempt *running = g_new0 (VpRunningAttempt, 1);
  VpCoreWorker *core_worker = _vp_core_worker (core, worker);

  running->attempt = *attempt;
  running->sent_ms = core->now_ms;
  running->task_lease_ms = core->longest_lease_ms;
  g_strlcpy (running->worker, worker, sizeof running->worker);
  g_hash_table_insert (core->running, &running->attempt, running);
  if (core_worker != NULL)
    g_ptr_array_add (core_worker->running, running);
  return running;
}

void
_vp_core_running_remove (VpCore *core, VpRunningAttempt *running)
{
  VpCoreWorker *worker = _vp_core_worker (core, running->worker);

  if (worker != NULL)
    g_ptr_array_remove_fast (worker->running, running);
  g_hash_table_remove (core->running, &running->attempt);
}

/* Sends a start. If the job needs a durable intent, it has one. The task lease expires with the
 * ownership, so the worker refuses a start that arrives later. */
void
_vp_core_owner_start (VpCore *core, VpRunningAttempt *running)
{
  int64_t valid_until_ms = vp_owner_valid_until_ms (&core->owner, core->now_ms);
  const VpCoreJob *job = _vp_core_job (core, running->attempt.task);
  VpWorkerOp *op = &vp_effects_add (core->effects, VP_EFFECT_WORKER)->worker;

  op->kind = VP_WORKER_START;
  g_strlcpy (op->worker, running->worker, sizeof op->worker);
  op->attempt = running->attempt;
  op->size = running->size;
  op->lease_until_ms = valid_until_ms;
  op->valid_until_ms = valid_until_ms;
  if (vp_safeguard_is_disabled (VP_SAFEGUARD_LEASE))
    op->lease_until_ms = op->valid_until_ms = core->now_ms + running->task_lease_ms;
  g_strlcpy (op->team, job->team, sizeof op->team);
  g_strlcpy (op->profile, job->profile, sizeof op->profile);
  if (job->payload != NULL)
    op->payload = g_bytes_ref (job->payload);
  running->state = VP_RUN_SENT;
  running->sent_ms = core->now_ms;
  running->lease_until_ms = valid_until_ms;
  running->next_renew_ms = core->now_ms + VP_CORE_FIRST_RENEW_DELAY_MS;
  vp_ledger_note_start (core->ledger, core->now_ms);
  vp_metrics_add (VP_COUNTER_STARTS, 1);
}

static void
_vp_core_decision_undo (VpCore *core, VpRunningAttempt *running)
{
  vp_sched_not_started (core->sched, &running->attempt, core->now_ms);
  _vp_core_running_remove (core, running);
}

/* Writes an attempt of a durable job to the ledger before it is sent. Without that record the next
 * owner would not know that the task may have run. */
static void
_vp_core_decision_prepare (VpCore *core, VpCoreJob *job, VpRunningAttempt *running)
{
  uint32_t attempt = MAX (job->attempt, running->attempt.attempt);
  const char *worker = job->task_count > 1 ? "*" : running->worker;
  bool is_recorded = job->task_count > 1 && job->state == VP_TASK_STARTING
                     && running->attempt.attempt <= job->attempt
                     && vp_ledger_is_durable (core->ledger, job->task);

  if (is_recorded) {
    _vp_core_owner_start (core, running);
    return;
  }
  running->state = VP_RUN_PREPARING;
  if (!_vp_core_job_write (core, job, VP_TASK_STARTING, worker, attempt)) {
    VpReason reason = job->reason;
    job->reason = VP_REASON_NONE;
    _vp_core_decision_undo (core, running);
    if (job->is_repeatable)
      return;
    vp_sched_cancel (core->sched, job->task, core->now_ms);
    if (vp_ledger_find (core->ledger, job->task) == NULL)
      _vp_core_job_reject (core, job, reason);
    else
      _vp_core_job_finish (core, job, VP_TASK_REFUSED, reason);
    return;
  }
  job->attempt = attempt;
  job->state = VP_TASK_STARTING;
}

static void
_vp_core_decision_start (VpCore *core, const VpDecision *decision)
{
  VpCoreJob *job = _vp_core_job (core, decision->attempt.task);
  VpRunningAttempt *running = _vp_core_running_new (core, &decision->attempt, decision->worker);

  running->size = decision->size;
  running->task_lease_ms = decision->task_lease_ms;
  if (job == NULL || job->is_adopted) {
    /* The request is not known here; the entry process of the caller will send it again. */
    _vp_core_decision_undo (core, running);
    vp_sched_cancel (core->sched, decision->attempt.task, core->now_ms);
    if (job != NULL)
      _vp_core_job_reject (core, job, VP_REASON_NO_OWNER);
    return;
  }
  vp_metrics_observe (VP_HIST_WAIT_MS, decision->waited_ms);
  if (decision->attempt.member == 0)
    g_strlcpy (job->worker, decision->worker, sizeof job->worker);
  if (job->is_durable && !vp_safeguard_is_disabled (VP_SAFEGUARD_INTENT))
    _vp_core_decision_prepare (core, job, running);
  else
    _vp_core_owner_start (core, running);
}

static void
_vp_core_decision_command (VpCore *core, const VpDecision *decision, VpWorkerKind kind)
{
  VpWorkerOp *op = &vp_effects_add (core->effects, VP_EFFECT_WORKER)->worker;

  op->kind = kind;
  op->attempt = decision->attempt;
  op->valid_until_ms = vp_owner_valid_until_ms (&core->owner, core->now_ms);
  g_strlcpy (op->worker, decision->worker, sizeof op->worker);
  if (kind == VP_WORKER_CHECKPOINT)
    vp_metrics_add (VP_COUNTER_PREEMPTED, 1);
}

static void
_vp_core_decision (VpCore *core, const VpDecision *decision)
{
  VpCoreJob *job = _vp_core_job (core, decision->attempt.task);

  switch (decision->kind) {
  case VP_DECISION_START:
    _vp_core_decision_start (core, decision);
    break;
  case VP_DECISION_CHECKPOINT:
    _vp_core_decision_command (core, decision, VP_WORKER_CHECKPOINT);
    break;
  case VP_DECISION_STOP:
    _vp_core_decision_command (core, decision, VP_WORKER_STOP);
    break;
  case VP_DECISION_REFUSE:
    if (job != NULL)
      _vp_core_job_finish (core, job, VP_TASK_REFUSED, decision->reason);
    break;
  case VP_DECISION_FAIL:
    if (job != NULL)
      _vp_core_job_finish (core, job, VP_TASK_FAILED, decision->reason);
    break;
  }
}

void
_vp_core_owner_decide (VpCore *core)
{
  int64_t valid_until_ms = vp_owner_valid_until_ms (&core->owner, core->now_ms);

  if (valid_until_ms - core->now_ms < VP_CORE_MIN_OWNERSHIP_MS)
    return;
  g_array_set_size (core->decisions, 0);
  vp_sched_decide (core->sched, core->now_ms, core->decisions);
  for (guint i = 0; i < core->decisions->len; i++)
    _vp_core_decision (core, &g_array_index (core->decisions, VpDecision, i));
}

/* Capacity of the workers whose running tasks are not known. Each team may use all of it. */
static VpResources
_vp_core_unreported_capacity (const VpCore *core)
{
  VpResources sum = { 0 };
  GHashTableIter iter;
  gpointer value;

  if (core->is_recovered)
    return sum;
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpCoreWorker *worker = value;
    if (!worker->has_reported)
      vp_resources_add (&sum, &worker->vm.size);
  }
  return sum;
}

/* Passes what each team uses to the grants. They return only what a team does not use, so the usage
 * is updated right before each step of the grants. Tasks that are not known yet count as used. */
void
_vp_core_update_grant_demand (VpCore *core)
{
  VpResources unreported = _vp_core_unreported_capacity (core);
  GArray *teams = core->teams;

  g_array_set_size (teams, 0);
  vp_sched_team_statuses (core->sched, core->now_ms, teams);
  for (guint i = 0; i < teams->len; i++) {
    VpSchedTeamStatus *team = &g_array_index (teams, VpSchedTeamStatus, i);
    VpResources used = team->used;
    if (!core->is_recovered) {
      VpResources usable;
      vp_limit_grants_usable (core->grants, team->team, &usable);
      vp_resources_add (&used, &unreported);
      used = vp_resources_min (&used, &usable);
      used = vp_resources_max (&used, &team->used);
    }
    vp_limit_grants_set_demand (core->grants, team->team, &used, &team->waiting, core->now_ms);
  }
}

/* Passes the usable part of each grant to the scheduler. Capacity of workers that have not reported
 * is not usable, since it may be in use already. */
void
_vp_core_apply_grants (VpCore *core)
{
  VpResources unreported = _vp_core_unreported_capacity (core);
  VpResources zero = { 0 };

  for (guint i = 0; i < core->teams->len; i++) {
    const VpSchedTeamStatus *team = &g_array_index (core->teams, VpSchedTeamStatus, i);
    VpResources usable;
    vp_limit_grants_usable (core->grants, team->team, &usable);
    vp_resources_sub (&usable, &unreported);
    usable = vp_resources_max (&usable, &zero);
    if (vp_safeguard_is_disabled (VP_SAFEGUARD_GRANTS)
        && vp_config_team (core->config, team->team) != NULL)
      usable = vp_config_team (core->config, team->team)->limit;
    vp_sched_set_grant (core->sched, team->team, &usable, core->now_ms);
  }
}

static void
_vp_core_update_grants_owners (VpCore *core)
{
  const char *owners[VP_MEMBERS_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < core->member_count; i++) {
    const VpCoreMember *member = &core->members[i];
    if (&member->settings != core->self && member->epoch != 0
        && _vp_core_member_is_alive (core, member))
      owners[count++] = member->settings.name;
  }
  vp_limit_grants_set_other_owners (core->grants, owners, count);
}

static void
_vp_core_grants_step (VpCore *core)
{
  if (core->now_ms < core->next_grants_step_ms)
    return;
  core->next_grants_step_ms = core->now_ms + GRANTS_STEP_INTERVAL_MS;
  _vp_core_update_grants_owners (core);
  _vp_core_update_grant_demand (core);
  vp_limit_grants_tick (core->grants, core->now_ms, core->effects);
  _vp_core_apply_grants (core);
}

static void
_vp_core_renew_leases (VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  if (core->now_ms < core->next_renew_scan_ms)
    return;
  core->next_renew_scan_ms = core->now_ms + RENEW_SCAN_INTERVAL_MS;
  g_hash_table_iter_init (&iter, core->running);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpRunningAttempt *running = value;
    VpWorkerOp *op;
    if (running->state != VP_RUN_RUNNING || core->now_ms < running->next_renew_ms)
      continue;
    op = &vp_effects_add (core->effects, VP_EFFECT_WORKER)->worker;
    op->kind = VP_WORKER_RENEW;
    op->attempt = running->attempt;
    op->lease_until_ms = core->now_ms + running->task_lease_ms;
    op->valid_until_ms = vp_owner_valid_until_ms (&core->owner, core->now_ms);
    g_strlcpy (op->worker, running->worker, sizeof op->worker);
    running->lease_until_ms = MAX (running->lease_until_ms, op->lease_until_ms);
    running->next_renew_ms = core->now_ms + running->task_lease_ms / 3;
  }
}

static void
_vp_core_take_notices (VpCore *core)
{
  g_array_set_size (core->notices, 0);
  vp_ledger_take_notices (core->ledger, core->notices);
  for (guint i = 0; i < core->notices->len; i++)
    _vp_core_job_notice (core, &g_array_index (core->notices, VpLedgerNotice, i));
}

/* Leaves the owner role and drops its state. The ledger and the workers have all that must last,
 * and entry processes send their pending requests to the next owner. */
void
_vp_core_owner_step_down (VpCore *core)
{
  if (core->role == VP_ROLE_STANDBY)
    return;
  vp_effects_log (core->effects, G_LOG_LEVEL_MESSAGE,
                  "no longer the owner of DC %s (epoch %" G_GUINT64_FORMAT ")", core->self->dc,
                  core->epoch);
  core->role = VP_ROLE_STANDBY;
  core->epoch = 0;
  _vp_core_workers_detach (core);
  g_hash_table_remove_all (core->running);
  g_hash_table_remove_all (core->jobs);
  g_queue_clear_full (&core->finished, g_free);
  g_queue_init (&core->finished);
  while (!g_queue_is_empty (&core->deferred_submits)) {
    VpPeerMessage *message = g_queue_pop_head (&core->deferred_submits);
    vp_peer_message_clear (message);
    g_free (message);
  }
  vp_ledger_close (core->ledger);
  vp_limit_grants_close (core->grants);
  vp_sched_shutdown (core->sched);
  core->sched = vp_sched_setup (&(VpSchedDesc){ .dc = core->self->dc });
  vp_sched_set_config (core->sched, core->config, core->now_ms);
  /* Requests that were sent to this owner wait for the next one. */
  {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init (&iter, core->pending);
    while (g_hash_table_iter_next (&iter, NULL, &value)) {
      VpPendingRequest *pending = value;
      if (strcmp (pending->sent_to, core->self->name) == 0)
        pending->sent_to[0] = '\0';
    }
  }
  _vp_core_member (core, core->self->name)->epoch = 0;
}

static void
_vp_core_owner_open (VpCore *core)
{
  core->role = VP_ROLE_OPENING;
  core->next_grants_step_ms = 0;
  core->is_recovered = false;
  vp_ledger_open (core->ledger, core->now_ms, core->effects);
  vp_limit_grants_open (core->grants, core->now_ms, core->effects);
}

static void
_vp_core_load_record (const VpLedgerRecord *record, void *data)
{
  VpCore *core = data;

  if (!vp_task_state_is_final (record->state))
    _vp_core_job_from_record (core, record);
}

/* Loads the jobs that have not ended. Queued jobs were never sent to a worker, so they are
 * scheduled at once. The others wait for the workers' reports. */
static void
_vp_core_load_ledger (VpCore *core)
{
  GPtrArray *queued = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  vp_ledger_foreach (core->ledger, _vp_core_load_record, core);
  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpCoreJob *job = value;
    if (job->state == VP_TASK_QUEUED)
      g_ptr_array_add (queued, job);
  }
  for (guint i = 0; i < queued->len; i++) {
    VpCoreJob *job = g_ptr_array_index (queued, i);
    VpReason reason = _vp_core_job_schedule (core, job);
    if (reason != VP_REASON_NONE)
      _vp_core_job_finish (core, job, VP_TASK_REFUSED, reason);
  }
  g_ptr_array_unref (queued);
}

static void
_vp_core_owner_activate (VpCore *core)
{
  core->role = VP_ROLE_ACTIVE;
  core->epoch = vp_ledger_epoch (core->ledger);
  core->next_grants_step_ms = core->now_ms;
  core->recovery_deadline_ms
      = core->now_ms + core->longest_lease_ms + core->settings->clock_margin_ms;
  core->next_heartbeat_ms = core->now_ms; /* tells the other members at once */
  vp_effects_log (core->effects, G_LOG_LEVEL_MESSAGE,
                  "owner of DC %s (epoch %" G_GUINT64_FORMAT ")", core->self->dc, core->epoch);
  _vp_core_load_ledger (core);
  _vp_core_workers_attach (core);
  _vp_core_member (core, core->self->name)->epoch = core->epoch;
  _vp_core_jobs_replay_deferred (core);
  _vp_core_entry_owner_changed (core, core->self->dc);
}

static void
_vp_core_owner_active_tick (VpCore *core)
{
  vp_ledger_tick (core->ledger, core->now_ms, core->effects);
  _vp_core_take_notices (core);
  _vp_core_workers_tick (core);
  _vp_core_grants_step (core);
  if (!(core->is_stopping && core->owner.state != VP_OWNER_HELD))
    _vp_core_owner_decide (core);
  vp_ledger_tick (core->ledger, core->now_ms, core->effects);
  _vp_core_renew_leases (core);
  _vp_core_jobs_expire (core);
}

void
_vp_core_owner_tick (VpCore *core)
{
  bool is_held;

  vp_owner_tick (&core->owner, core->now_ms, core->effects);
  is_held = core->owner.state == VP_OWNER_HELD
            && vp_owner_valid_until_ms (&core->owner, core->now_ms) > core->now_ms
            && vp_ledger_state (core->ledger) != VP_LEDGER_FENCED;
  if (!is_held && core->role != VP_ROLE_STANDBY)
    _vp_core_owner_step_down (core);
  else if (is_held && core->role == VP_ROLE_STANDBY && !core->is_stopping)
    _vp_core_owner_open (core);
  if (core->role == VP_ROLE_OPENING) {
    vp_ledger_tick (core->ledger, core->now_ms, core->effects);
    vp_limit_grants_tick (core->grants, core->now_ms, core->effects);
    if (vp_ledger_state (core->ledger) == VP_LEDGER_OPEN && vp_limit_grants_is_open (core->grants))
      _vp_core_owner_activate (core);
  }
  if (core->role == VP_ROLE_ACTIVE)
    _vp_core_owner_active_tick (core);
}
