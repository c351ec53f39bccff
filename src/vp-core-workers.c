/* The owner's workers: VM list, reports, command results, lost workers, recovery of tasks. */
#include "vp-core-private.h"
#include "vp-switch.h"

#include <string.h>

VpCoreWorker *
_vp_core_worker (const VpCore *core, const char *name)
{
  return g_hash_table_lookup (core->workers, name);
}

void
_vp_core_worker_free (gpointer data)
{
  VpCoreWorker *worker = data;

  g_array_unref (worker->unsettled);
  g_ptr_array_unref (worker->running);
  g_free (worker);
}

static VpCoreWorker *
_vp_core_worker_new (VpCore *core, const VpVm *vm)
{
  VpCoreWorker *worker = g_new0 (VpCoreWorker, 1);

  worker->vm = *vm;
  worker->unsettled = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  worker->running = g_ptr_array_new ();
  g_hash_table_insert (core->workers, worker->vm.name, worker);
  return worker;
}

static void
_vp_core_worker_effect (VpCore *core,
                        const VpCoreWorker *worker,
                        VpEffectKind kind,
                        uint64_t sequence)
{
  VpEffect *effect = vp_effects_add (core->effects, kind);

  g_strlcpy (effect->attach.worker, worker->vm.name, sizeof effect->attach.worker);
  g_strlcpy (effect->attach.address, worker->vm.address, sizeof effect->attach.address);
  effect->attach.sequence = sequence;
}

static void
_vp_core_worker_reset (VpCoreWorker *worker)
{
  worker->is_read = false;
  worker->is_reachable = false;
  worker->boot = 0;
  worker->seen = 0;
  worker->acked = 0;
  worker->unreachable_ms = 0;
  g_array_set_size (worker->unsettled, 0);
}

bool
_vp_core_worker_is_leaving (const VpCore *core, const char *name)
{
  const VpCoreWorker *worker = _vp_core_worker (core, name);

  return worker != NULL && !vp_switch_is_off (VP_MECHANISM_LEAVING)
         && (worker->is_leaving || !worker->is_listed || worker->vm.state == VP_VM_LEAVING);
}

/* Tells the scheduler of the worker; what the worker said of itself is ahead of the list. */
static void
_vp_core_worker_sync (VpCore *core, const VpCoreWorker *worker)
{
  VpVm vm = worker->vm;

  if (_vp_core_worker_is_leaving (core, vm.name))
    vm.state = VP_VM_LEAVING;
  vp_sched_worker_update (core->sched, &vm, core->now_ms);
}

static void
_vp_core_worker_attach (VpCore *core, VpCoreWorker *worker)
{
  if (worker->is_attached)
    return;
  _vp_core_worker_reset (worker);
  worker->is_attached = true;
  worker->unreachable_ms = core->now_ms;
  _vp_core_worker_sync (core, worker);
  if (vp_switch_is_off (VP_MECHANISM_RECOVERY)) {
    worker->is_read = true;
    vp_sched_worker_ready (core->sched, worker->vm.name, core->now_ms);
  }
  _vp_core_worker_effect (core, worker, VP_EFFECT_WORKER_ATTACH, 0);
}

static void
_vp_core_worker_detach (VpCore *core, VpCoreWorker *worker)
{
  if (!worker->is_attached)
    return;
  worker->is_attached = false;
  _vp_core_worker_effect (core, worker, VP_EFFECT_WORKER_DETACH, 0);
}

void
_vp_core_workers_attach (VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    _vp_core_worker_attach (core, value);
}

void
_vp_core_workers_detach (VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    _vp_core_worker_detach (core, value);
    g_ptr_array_set_size (((VpCoreWorker *)value)->running, 0);
  }
}

/* The worker restarted or was replaced: what ran there is gone. A start that is on its way may
 * still be taken by the new instance, or was taken by the old one, so it counts as running until
 * its lease is over. */
static void
_vp_core_worker_restarted (VpCore *core, VpCoreWorker *worker)
{
  GArray *attempts = g_array_new (FALSE, TRUE, sizeof (VpAttempt));

  for (guint i = 0; i < worker->running->len; i++) {
    VpRunning *running = g_ptr_array_index (worker->running, i);
    if (running->state == VP_RUN_RUNNING) {
      /* Others may have been accepted after the restart; the next reports tell. */
      if (running->seen_boot == worker->boot)
        g_array_append_val (attempts, running->attempt);
    } else if (running->state != VP_RUN_PREPARING) {
      running->state = VP_RUN_UNCERTAIN;
      running->may_have_run = true;
    }
  }
  for (guint i = 0; i < attempts->len; i++)
    _vp_core_attempt_ended (core, &g_array_index (attempts, VpAttempt, i), VP_END_LAPSED, true,
                            NULL, NULL);
  g_array_unref (attempts);
}

/* Takes all of the worker's tasks for ended: their leases are over, or it is no longer listed. */
static void
_vp_core_worker_lost (VpCore *core, VpCoreWorker *worker)
{
  GArray *ended = g_array_new (FALSE, TRUE, sizeof (VpAttempt));
  GArray *attempts = g_array_new (FALSE, TRUE, sizeof (VpAttempt));

  for (guint i = 0; i < worker->running->len; i++) {
    const VpRunning *running = g_ptr_array_index (worker->running, i);
    g_array_append_val (attempts, running->attempt);
  }
  for (guint i = 0; i < attempts->len; i++)
    _vp_core_attempt_ended (core, &g_array_index (attempts, VpAttempt, i), VP_END_LAPSED, true,
                            NULL, NULL);
  vp_sched_worker_lost (core->sched, worker->vm.name, ended, core->now_ms);
  g_array_unref (attempts);
  g_array_unref (ended);
}

static void
_vp_core_vm_seen (VpCore *core, const VpVm *vm)
{
  VpCoreWorker *worker = _vp_core_worker (core, vm->name);
  bool is_replaced;

  if (worker == NULL) {
    worker = _vp_core_worker_new (core, vm);
    worker->is_listed = true;
    if (core->role == VP_ROLE_ACTIVE)
      _vp_core_worker_attach (core, worker);
    return;
  }
  is_replaced
      = worker->vm.generation != vm->generation || strcmp (worker->vm.address, vm->address) != 0;
  if (is_replaced && core->role == VP_ROLE_ACTIVE) {
    vp_effects_log (core->effects, G_LOG_LEVEL_MESSAGE, "worker %s was replaced", vm->name);
    if (worker->vm.generation != vm->generation)
      _vp_core_worker_restarted (core, worker);
    _vp_core_worker_detach (core, worker);
  }
  if (worker->vm.generation != vm->generation)
    worker->is_leaving = false;
  worker->vm = *vm;
  worker->is_listed = true;
  if (core->role != VP_ROLE_ACTIVE)
    return;
  if (!worker->is_attached) {
    _vp_core_worker_attach (core, worker);
    return;
  }
  _vp_core_worker_sync (core, worker);
}

/* A VM that is no longer listed gets no new work; its tasks go on until they end. */
static void
_vp_core_vm_unlisted (VpCore *core, VpCoreWorker *worker)
{
  if (core->role == VP_ROLE_ACTIVE)
    vp_sched_worker_leaving (core->sched, worker->vm.name, core->now_ms);
}

void
_vp_core_vm_list (VpCore *core, bool is_ok, GArray *vms)
{
  GHashTableIter iter;
  gpointer value;

  if (!is_ok || vms == NULL)
    return;
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((VpCoreWorker *)value)->is_listed = false;
  for (guint i = 0; i < vms->len; i++) {
    VpVm *vm = &g_array_index (vms, VpVm, i);
    if (vp_switch_is_off (VP_MECHANISM_LEAVING))
      vm->state = VP_VM_LIVE;
    if (strcmp (vm->dc, core->self->dc) == 0)
      _vp_core_vm_seen (core, vm);
  }
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpCoreWorker *worker = value;
    if (!worker->is_listed)
      _vp_core_vm_unlisted (core, worker);
  }
}

void
_vp_core_worker_settle (VpCore *core, const VpSettle *settle)
{
  VpCoreWorker *worker = _vp_core_worker (core, settle->worker);
  uint64_t acked;
  guint i = 0;

  if (worker == NULL || worker->boot != settle->boot)
    return;
  acked = worker->seen;
  while (i < worker->unsettled->len) {
    uint64_t sequence = g_array_index (worker->unsettled, uint64_t, i);
    if (sequence == settle->sequence) {
      g_array_remove_index_fast (worker->unsettled, i);
      continue;
    }
    acked = MIN (acked, sequence - 1);
    i++;
  }
  if (acked <= worker->acked)
    return;
  worker->acked = acked;
  _vp_core_worker_effect (core, worker, VP_EFFECT_WORKER_ACK, acked);
}

static void
_vp_core_stop_attempt (VpCore *core, const char *worker, const VpAttempt *attempt)
{
  VpWorkerOp *op = &vp_effects_add (core->effects, VP_EFFECT_WORKER)->worker;

  op->kind = VP_WORKER_STOP;
  op->attempt = *attempt;
  op->valid_until_ms = vp_owner_valid_until_ms (&core->owner, core->now_ms);
  g_strlcpy (op->worker, worker, sizeof op->worker);
}

/* The job of an attempt that this owner did not start. */
static VpJob *
_vp_core_adopt_job (VpCore *core,
                    const VpAttempt *attempt,
                    const char *worker,
                    const char *team,
                    const char *profile,
                    const VpResources *size)
{
  VpJob *job = _vp_core_job (core, attempt->task);
  VpSchedJob sched;

  if (job == NULL)
    job = _vp_core_job_from_worker (core, attempt->task, team, profile, size);
  if (vp_task_state_is_final (job->state))
    return NULL;
  job->attempt = MAX (job->attempt, attempt->attempt);
  _vp_core_job_describe (job, &sched);
  vp_sched_adopt (core->sched, &sched, attempt, worker, core->now_ms);
  job->is_scheduled = true;
  if (attempt->member == 0)
    g_strlcpy (job->worker, worker, sizeof job->worker);
  return job;
}

static void
_vp_core_report_running (VpCore *core, VpCoreWorker *worker, const VpWorkerTask *task)
{
  VpRunning *running = _vp_core_running (core, &task->attempt);
  const VpProfile *profile = vp_config_profile (core->config, task->profile);

  if (running == NULL) {
    const VpJob *job = _vp_core_job (core, task->attempt.task);
    /* Known work that runs elsewhere or has ended: this attempt must not go on beside it. */
    if (job != NULL && (vp_task_state_is_final (job->state) || job->is_scheduled)
        && job->task_count == 1) {
      _vp_core_stop_attempt (core, worker->vm.name, &task->attempt);
      return;
    }
    if (_vp_core_adopt_job (core, &task->attempt, worker->vm.name, task->team, task->profile,
                            &task->size)
        == NULL)
      return;
    running = _vp_core_running_new (core, &task->attempt, worker->vm.name);
    running->size = task->size;
    running->renew_ms = core->now_ms;
    if (profile != NULL && profile->task_lease_ms > 0)
      running->task_lease_ms = profile->task_lease_ms;
  }
  running->report_mark = core->report_mark;
  running->seen_boot = worker->boot;
  running->missing_reports = 0;
  running->lease_until_ms = MAX (running->lease_until_ms, task->lease_until_ms);
  if (running->state != VP_RUN_RUNNING) {
    running->state = VP_RUN_RUNNING;
    vp_sched_started (core->sched, &task->attempt, core->now_ms);
  }
  vp_sched_usage (core->sched, &task->attempt, &task->used, core->now_ms);
}

/* What became of the job after one of its attempts ended. */
static void
_vp_core_job_after_end (VpCore *core, VpJob *job, VpTaskState state, const VpSettle *settle)
{
  bool is_last = vp_task_state_is_final (state);

  if (settle != NULL) {
    if (job->is_durable && state != VP_TASK_QUEUED)
      g_array_append_val (job->settles, *settle);
    else
      _vp_core_worker_settle (core, settle);
  }
  if (!is_last) {
    if (state == VP_TASK_QUEUED)
      vp_metrics_add (VP_COUNTER_RETRIES, 1);
    return;
  }
  switch (state) {
  case VP_TASK_DONE:
    _vp_core_job_finish (core, job, state, VP_REASON_NONE);
    break;
  case VP_TASK_CANCELLED:
    _vp_core_job_finish (core, job, state, VP_REASON_CANCELLED);
    break;
  case VP_TASK_LOST:
    _vp_core_job_finish (core, job, state, VP_REASON_WORKER_LOST);
    break;
  default:
    _vp_core_job_finish (core, job, VP_TASK_FAILED, VP_REASON_TASK_FAILED);
    break;
  }
}

void
_vp_core_attempt_ended (VpCore *core,
                        const VpAttempt *attempt,
                        VpTaskEnd end,
                        bool is_lost,
                        GBytes *answer,
                        const VpSettle *settle)
{
  VpAttempt ended = *attempt; /* @attempt may live in what is removed */
  VpRunning *running = _vp_core_running (core, &ended);
  VpJob *job = _vp_core_job (core, ended.task);
  VpTaskState state;

  if (running != NULL)
    _vp_core_running_remove (core, running);
  if (job == NULL || !job->is_scheduled) {
    if (settle != NULL)
      _vp_core_worker_settle (core, settle);
    return;
  }
  if (end == VP_END_DONE)
    _vp_core_job_answer_member (job, ended.member, answer);
  state = vp_sched_ended (core->sched, &ended, end, is_lost, core->now_ms);
  _vp_core_job_after_end (core, job, state, settle);
}

/* An ended attempt that an earlier owner had started: its job learns it as if it were adopted. */
static void
_vp_core_report_ended (VpCore *core, VpCoreWorker *worker, const VpWorkerEnded *ended)
{
  VpSettle settle = { .boot = worker->boot, .sequence = ended->sequence };
  VpJob *job = _vp_core_job (core, ended->attempt.task);
  bool is_lost = ended->end == VP_END_LAPSED;
  VpResources none = { 0 };

  g_strlcpy (settle.worker, worker->vm.name, sizeof settle.worker);
  g_array_append_val (worker->unsettled, ended->sequence);
  worker->seen = ended->sequence;
  if (_vp_core_running (core, &ended->attempt) != NULL) {
    _vp_core_attempt_ended (core, &ended->attempt, ended->end, is_lost, ended->answer, &settle);
    return;
  }
  if (job == NULL && ended->end == VP_END_DONE
      && vp_ledger_find (core->ledger, ended->attempt.task) == NULL) {
    /* A repeatable call of the last owner: kept for the entry process that will ask again. */
    job = _vp_core_job_from_worker (core, ended->attempt.task, ended->team, ended->profile, &none);
    g_strlcpy (job->worker, worker->vm.name, sizeof job->worker);
    _vp_core_job_answer_member (job, ended->attempt.member, ended->answer);
    _vp_core_job_finish (core, job, VP_TASK_DONE, VP_REASON_NONE);
    job = NULL;
  }
  if (job == NULL || job->is_scheduled || vp_task_state_is_final (job->state)) {
    vp_metrics_add (VP_COUNTER_LATE_ANSWERS, 1);
    _vp_core_worker_settle (core, &settle);
    return;
  }
  if (_vp_core_adopt_job (core, &ended->attempt, worker->vm.name, ended->team, ended->profile,
                          &job->size)
      != NULL)
    _vp_core_attempt_ended (core, &ended->attempt, ended->end, is_lost, ended->answer, &settle);
}

/* A start that an earlier owner recorded certainly never took effect if the worker has not
 * restarted since, and neither runs the attempt nor has it among the ended ones, which it keeps
 * until they are settled: the task lease of a start that is still on its way ended with that
 * ownership. */
static bool
_vp_core_is_never_started (const VpCore *core, const VpJob *job)
{
  const VpCoreWorker *worker = _vp_core_worker (core, job->worker);

  return worker != NULL && worker->is_read && job->worker_boot != 0
         && worker->boot == job->worker_boot;
}

/* A job whose start an earlier owner had recorded, and which no worker knows: it is never run again
 * unless it is repeatable or certainly never started. */
static void
_vp_core_resolve_starting (VpCore *core, VpJob *job)
{
  VpReason reason;

  if (!job->is_repeatable && !_vp_core_is_never_started (core, job)) {
    _vp_core_job_finish (core, job, VP_TASK_LOST, VP_REASON_OWNER_LOST);
    return;
  }
  job->state = VP_TASK_QUEUED;
  reason = _vp_core_job_schedule (core, job);
  if (reason != VP_REASON_NONE)
    _vp_core_job_finish (core, job, VP_TASK_FAILED, reason);
}

/* @worker NULL: all that are left. */
static void
_vp_core_resolve_on (VpCore *core, const char *worker)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpJob *job = value;
    if (job->is_scheduled || (job->state != VP_TASK_STARTING && job->state != VP_TASK_UNKNOWN))
      continue;
    if (worker == NULL || strcmp (job->worker, worker) == 0)
      g_ptr_array_add (jobs, job);
  }
  for (guint i = 0; i < jobs->len; i++)
    _vp_core_resolve_starting (core, g_ptr_array_index (jobs, i));
  g_ptr_array_unref (jobs);
}

static void
_vp_core_worker_first_report (VpCore *core, VpCoreWorker *worker)
{
  worker->is_read = true;
  if (!core->is_settled)
    _vp_core_resolve_on (core, worker->vm.name);
  vp_sched_worker_ready (core->sched, worker->vm.name, core->now_ms);
}

/* Attempts on the worker that its report does not name. A report may have been made before the
 * attempt started, so it takes two in a row. */
static void
_vp_core_report_missing (VpCore *core, VpCoreWorker *worker)
{
  GPtrArray *gone = g_ptr_array_new ();

  for (guint i = 0; i < worker->running->len; i++) {
    VpRunning *running = g_ptr_array_index (worker->running, i);
    bool may_start_yet
        = running->state == VP_RUN_UNCERTAIN
          && core->now_ms <= running->lease_until_ms + core->settings->clock_margin_ms;
    if (running->report_mark == core->report_mark || running->state == VP_RUN_PREPARING
        || running->state == VP_RUN_SENT || may_start_yet)
      continue;
    if (++running->missing_reports >= 2)
      g_ptr_array_add (gone, running);
  }
  for (guint i = 0; i < gone->len; i++) {
    VpRunning *running = g_ptr_array_index (gone, i);
    if (running->state == VP_RUN_UNCERTAIN && !running->may_have_run) {
      vp_sched_not_started (core->sched, &running->attempt, core->now_ms);
      _vp_core_running_remove (core, running);
    } else {
      _vp_core_attempt_ended (core, &running->attempt, VP_END_LAPSED, true, NULL, NULL);
    }
  }
  g_ptr_array_unref (gone);
}

static void
_vp_core_report_unreachable (VpCore *core, VpCoreWorker *worker)
{
  if (worker->is_reachable) {
    vp_effects_log (core->effects, G_LOG_LEVEL_WARNING, "worker %s can't be reached",
                    worker->vm.name);
    worker->unreachable_ms = core->now_ms;
  }
  worker->is_reachable = false;
  vp_metrics_add (VP_COUNTER_WORKER_UNREACHABLE, 1);
  vp_sched_worker_reachable (core->sched, worker->vm.name, false, core->now_ms);
}

static void
_vp_core_report_boot (VpCore *core, VpCoreWorker *worker, const VpWorkerReport *report)
{
  if (worker->boot != 0 && worker->boot != report->boot) {
    vp_effects_log (core->effects, G_LOG_LEVEL_WARNING, "worker %s restarted", worker->vm.name);
    _vp_core_worker_restarted (core, worker);
    _vp_core_worker_reset (worker);
  }
  worker->boot = report->boot;
}

void
_vp_core_worker_report (VpCore *core, VpWorkerReport *report)
{
  VpCoreWorker *worker = _vp_core_worker (core, report->worker);

  if (worker == NULL || !worker->is_attached || core->role != VP_ROLE_ACTIVE)
    return;
  if (!report->is_reachable) {
    _vp_core_report_unreachable (core, worker);
    return;
  }
  _vp_core_report_boot (core, worker, report);
  if (!worker->is_reachable) {
    worker->is_reachable = true;
    _vp_core_worker_sync (core, worker);
    vp_sched_worker_reachable (core->sched, worker->vm.name, true, core->now_ms);
  }
  core->report_mark++;
  for (guint i = 0; i < report->ended->len; i++) {
    const VpWorkerEnded *ended = &g_array_index (report->ended, VpWorkerEnded, i);
    if (ended->sequence > worker->seen)
      _vp_core_report_ended (core, worker, ended);
  }
  for (guint i = 0; i < report->running->len; i++)
    _vp_core_report_running (core, worker, &g_array_index (report->running, VpWorkerTask, i));
  _vp_core_report_missing (core, worker);
  if (!worker->is_read)
    _vp_core_worker_first_report (core, worker);
  if (report->is_leaving != worker->is_leaving && !vp_switch_is_off (VP_MECHANISM_LEAVING)) {
    worker->is_leaving = report->is_leaving;
    if (worker->is_leaving)
      vp_sched_worker_leaving (core->sched, worker->vm.name, core->now_ms);
  }
}

static void
_vp_core_start_result (VpCore *core, VpRunning *running, VpWorkerStatus status)
{
  if (running->state != VP_RUN_SENT)
    return; /* a report was faster */
  switch (status) {
  case VP_WORKER_ACCEPTED:
    running->state = VP_RUN_RUNNING;
    vp_sched_started (core->sched, &running->attempt, core->now_ms);
    break;
  case VP_WORKER_UNCERTAIN:
    running->state = VP_RUN_UNCERTAIN;
    break;
  case VP_WORKER_REFUSED:
  case VP_WORKER_UNREACHABLE:
    vp_metrics_add (VP_COUNTER_START_REFUSED, 1);
    if (status == VP_WORKER_UNREACHABLE)
      vp_sched_worker_reachable (core->sched, running->worker, false, core->now_ms);
    vp_sched_not_started (core->sched, &running->attempt, core->now_ms);
    _vp_core_running_remove (core, running);
    break;
  }
}

void
_vp_core_worker_result (VpCore *core, const VpWorkerResult *result)
{
  VpRunning *running = _vp_core_running (core, &result->attempt);

  if (running == NULL || core->role != VP_ROLE_ACTIVE)
    return;
  if (result->kind == VP_WORKER_START)
    _vp_core_start_result (core, running, result->status);
  else if (result->kind == VP_WORKER_RENEW && result->status != VP_WORKER_ACCEPTED)
    running->renew_ms = MIN (running->renew_ms, core->now_ms + VP_CORE_FIRST_RENEW_MS);
}

/* Latest time at which any task on the worker may still hold a lease. */
static int64_t
_vp_core_worker_lapse_ms (const VpCore *core, const VpCoreWorker *worker)
{
  int64_t lapse_ms = worker->is_read ? worker->unreachable_ms : core->recovery_end_ms;

  for (guint i = 0; i < worker->running->len; i++) {
    const VpRunning *running = g_ptr_array_index (worker->running, i);
    if (running->state != VP_RUN_PREPARING)
      lapse_ms = MAX (lapse_ms, running->lease_until_ms);
  }
  return lapse_ms + core->settings->clock_margin_ms;
}

static void
_vp_core_workers_settle (VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  if (core->is_settled)
    return;
  if (core->now_ms <= core->recovery_end_ms) {
    if (g_hash_table_size (core->workers) == 0)
      return; /* no VM list was read yet */
    g_hash_table_iter_init (&iter, core->workers);
    while (g_hash_table_iter_next (&iter, NULL, &value)) {
      if (!((VpCoreWorker *)value)->is_read)
        return;
    }
  }
  core->is_settled = true;
  vp_effects_log (core->effects, G_LOG_LEVEL_MESSAGE, "all workers of %s are read", core->self->dc);
  _vp_core_resolve_on (core, NULL);
  _vp_core_jobs_replay_held (core);
}

void
_vp_core_workers_tick (VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  _vp_core_workers_settle (core);
  if (core->now_ms < core->next_workers_ms)
    return;
  core->next_workers_ms = core->now_ms + VP_CORE_WORKERS_SCAN_MS;
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpCoreWorker *worker = value;
    if (worker->is_reachable || worker->running->len == 0
        || core->now_ms <= _vp_core_worker_lapse_ms (core, worker))
      continue;
    vp_effects_log (core->effects, G_LOG_LEVEL_WARNING,
                    "worker %s is lost: its task leases are over", worker->vm.name);
    _vp_core_worker_lost (core, worker);
    _vp_core_worker_reset (worker);
  }
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpCoreWorker *worker = value;
    if (worker->is_listed || worker->is_reachable || worker->running->len > 0 || !core->is_settled)
      continue;
    _vp_core_worker_lost (core, worker);
    _vp_core_worker_detach (core, worker);
    g_hash_table_iter_remove (&iter);
  }
}
