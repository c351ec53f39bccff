/* Reducer: the owner's workers, their VM list, reports, command results, loss, and the recovery of
 * tasks. */
#include "vp-core-private.h"
#include "vp-safeguard.h"

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

  g_array_unref (worker->unacked_sequences);
  g_ptr_array_unref (worker->running);
  g_free (worker);
}

static VpCoreWorker *
_vp_core_worker_new (VpCore *core, const VpVm *vm)
{
  VpCoreWorker *worker = g_new0 (VpCoreWorker, 1);

  worker->vm = *vm;
  worker->unacked_sequences = g_array_new (FALSE, FALSE, sizeof (uint64_t));
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
  worker->has_reported = false;
  worker->is_reachable = false;
  worker->boot = 0;
  worker->seen_sequence = 0;
  worker->acked_sequence = 0;
  worker->unreachable_since_ms = 0;
  g_array_set_size (worker->unacked_sequences, 0);
}

bool
_vp_core_worker_is_leaving (const VpCore *core, const char *name)
{
  const VpCoreWorker *worker = _vp_core_worker (core, name);

  return worker != NULL && !vp_safeguard_is_disabled (VP_SAFEGUARD_LEAVING)
         && (worker->is_leaving || !worker->is_listed || worker->vm.state == VP_VM_LEAVING);
}

/* Updates the scheduler's view of a worker. The worker's own report of leaving is newer than the VM
 * list. */
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
  worker->unreachable_since_ms = core->now_ms;
  _vp_core_worker_sync (core, worker);
  if (vp_safeguard_is_disabled (VP_SAFEGUARD_RECOVERY)) {
    worker->has_reported = true;
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

/* Ends the attempts of a worker that restarted or was replaced. The old or the new instance may
 * have accepted a start that is in flight, so such an attempt counts as running until its lease
 * expires. */
static void
_vp_core_worker_restarted (VpCore *core, VpCoreWorker *worker)
{
  GArray *attempts = g_array_new (FALSE, TRUE, sizeof (VpAttempt));

  for (guint i = 0; i < worker->running->len; i++) {
    VpRunningAttempt *running = g_ptr_array_index (worker->running, i);
    if (running->state == VP_RUN_RUNNING) {
      /* Other attempts may have been accepted after the restart; the next reports show them. */
      if (running->reported_boot == worker->boot)
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

/* Ends all attempts of a worker whose task leases have expired, or that is no longer listed. */
static void
_vp_core_worker_lost (VpCore *core, VpCoreWorker *worker)
{
  GArray *ended = g_array_new (FALSE, TRUE, sizeof (VpAttempt));
  GArray *attempts = g_array_new (FALSE, TRUE, sizeof (VpAttempt));

  for (guint i = 0; i < worker->running->len; i++) {
    const VpRunningAttempt *running = g_ptr_array_index (worker->running, i);
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
_vp_core_vm_listed (VpCore *core, const VpVm *vm)
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

/* A VM that is no longer listed gets no new tasks; its running tasks go on. */
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
    if (vp_safeguard_is_disabled (VP_SAFEGUARD_LEAVING))
      vm->state = VP_VM_LIVE;
    if (strcmp (vm->dc, core->self->dc) == 0)
      _vp_core_vm_listed (core, vm);
  }
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpCoreWorker *worker = value;
    if (!worker->is_listed)
      _vp_core_vm_unlisted (core, worker);
  }
}

void
_vp_core_worker_ack (VpCore *core, const VpUnackedEnd *unacked_end)
{
  VpCoreWorker *worker = _vp_core_worker (core, unacked_end->worker);
  uint64_t acked_sequence;
  guint i = 0;

  if (worker == NULL || worker->boot != unacked_end->boot)
    return;
  acked_sequence = worker->seen_sequence;
  while (i < worker->unacked_sequences->len) {
    uint64_t sequence = g_array_index (worker->unacked_sequences, uint64_t, i);
    if (sequence == unacked_end->sequence) {
      g_array_remove_index_fast (worker->unacked_sequences, i);
      continue;
    }
    acked_sequence = MIN (acked_sequence, sequence - 1);
    i++;
  }
  if (acked_sequence <= worker->acked_sequence)
    return;
  worker->acked_sequence = acked_sequence;
  _vp_core_worker_effect (core, worker, VP_EFFECT_WORKER_ACK, acked_sequence);
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

/* Adopts an attempt that this owner did not start. Returns its job, or NULL if that has ended. */
static VpCoreJob *
_vp_core_adopt_job (VpCore *core,
                    const VpAttempt *attempt,
                    const char *worker,
                    const char *team,
                    const char *profile,
                    const VpResources *size)
{
  VpCoreJob *job = _vp_core_job (core, attempt->task);
  VpJobSpec spec;

  if (job == NULL)
    job = _vp_core_job_from_worker (core, attempt->task, team, profile, size);
  if (vp_task_state_is_final (job->state))
    return NULL;
  job->attempt = MAX (job->attempt, attempt->attempt);
  _vp_core_job_describe (job, &spec);
  vp_sched_adopt (core->sched, &spec, attempt, worker, core->now_ms);
  job->is_scheduled = true;
  if (attempt->member == 0)
    g_strlcpy (job->worker, worker, sizeof job->worker);
  return job;
}

static void
_vp_core_report_running (VpCore *core, VpCoreWorker *worker, const VpWorkerTask *task)
{
  VpRunningAttempt *running = _vp_core_running (core, &task->attempt);
  const VpProfile *profile = vp_config_profile (core->config, task->profile);

  if (running == NULL) {
    const VpCoreJob *job = _vp_core_job (core, task->attempt.task);
    /* The job runs elsewhere or has ended, so this attempt must stop. */
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
    running->next_renew_ms = core->now_ms;
    if (profile != NULL && profile->task_lease_ms > 0)
      running->task_lease_ms = profile->task_lease_ms;
  }
  running->report_number = core->report_number;
  running->reported_boot = worker->boot;
  running->missing_report_count = 0;
  running->lease_until_ms = MAX (running->lease_until_ms, task->lease_until_ms);
  if (running->state != VP_RUN_RUNNING) {
    running->state = VP_RUN_RUNNING;
    vp_sched_started (core->sched, &task->attempt, core->now_ms);
  }
  vp_sched_set_usage (core->sched, &task->attempt, &task->used, core->now_ms);
}

/* Updates a job after one of its attempts ended and the scheduler returned @state. */
static void
_vp_core_job_attempt_ended (VpCore *core,
                            VpCoreJob *job,
                            VpTaskState state,
                            const VpUnackedEnd *unacked_end)
{
  bool is_last = vp_task_state_is_final (state);

  if (unacked_end != NULL) {
    if (job->is_durable && state != VP_TASK_QUEUED)
      g_array_append_val (job->unacked_ends, *unacked_end);
    else
      _vp_core_worker_ack (core, unacked_end);
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
                        const VpUnackedEnd *unacked_end)
{
  VpAttempt ended = *attempt; /* @attempt may point into @running, which is freed */
  VpRunningAttempt *running = _vp_core_running (core, &ended);
  VpCoreJob *job = _vp_core_job (core, ended.task);
  VpTaskState state;

  if (running != NULL)
    _vp_core_running_remove (core, running);
  if (job == NULL || !job->is_scheduled) {
    if (unacked_end != NULL)
      _vp_core_worker_ack (core, unacked_end);
    return;
  }
  if (end == VP_END_DONE)
    _vp_core_job_answer_member (job, ended.member, answer);
  state = vp_sched_ended (core->sched, &ended, end, is_lost, core->now_ms);
  _vp_core_job_attempt_ended (core, job, state, unacked_end);
}

/* Handles an ended attempt from a report. If an earlier owner started it, it is adopted first. */
static void
_vp_core_report_ended (VpCore *core, VpCoreWorker *worker, const VpWorkerEnded *ended)
{
  VpUnackedEnd unacked_end = { .boot = worker->boot, .sequence = ended->sequence };
  VpCoreJob *job = _vp_core_job (core, ended->attempt.task);
  bool is_lost = ended->end == VP_END_LAPSED;
  VpResources none = { 0 };

  g_strlcpy (unacked_end.worker, worker->vm.name, sizeof unacked_end.worker);
  g_array_append_val (worker->unacked_sequences, ended->sequence);
  worker->seen_sequence = ended->sequence;
  if (_vp_core_running (core, &ended->attempt) != NULL) {
    _vp_core_attempt_ended (core, &ended->attempt, ended->end, is_lost, ended->answer,
                            &unacked_end);
    return;
  }
  if (job == NULL && ended->end == VP_END_DONE
      && vp_ledger_find (core->ledger, ended->attempt.task) == NULL) {
    /* A repeatable job that the last owner started. Its answer is kept for the entry process, which
     * will send the request again. */
    job = _vp_core_job_from_worker (core, ended->attempt.task, ended->team, ended->profile, &none);
    g_strlcpy (job->worker, worker->vm.name, sizeof job->worker);
    _vp_core_job_answer_member (job, ended->attempt.member, ended->answer);
    _vp_core_job_finish (core, job, VP_TASK_DONE, VP_REASON_NONE);
    job = NULL;
  }
  if (job == NULL || job->is_scheduled || vp_task_state_is_final (job->state)) {
    vp_metrics_add (VP_COUNTER_LATE_ANSWERS, 1);
    _vp_core_worker_ack (core, &unacked_end);
    return;
  }
  if (_vp_core_adopt_job (core, &ended->attempt, worker->vm.name, ended->team, ended->profile,
                          &job->size)
      != NULL)
    _vp_core_attempt_ended (core, &ended->attempt, ended->end, is_lost, ended->answer,
                            &unacked_end);
}

/* True if a start that an earlier owner recorded certainly never took effect: the worker has not
 * restarted since, and its report has the attempt neither among the running nor among the ended
 * ones, which it keeps until they are acknowledged. A start that is still in flight can't take
 * effect, since its task lease expired with that ownership. */
static bool
_vp_core_is_never_started (const VpCore *core, const VpCoreJob *job)
{
  const VpCoreWorker *worker = _vp_core_worker (core, job->worker);

  return worker != NULL && worker->has_reported && job->worker_boot != 0
         && worker->boot == job->worker_boot;
}

/* Handles a job whose start an earlier owner recorded and which no worker reported. It runs again
 * only if it is repeatable or certainly never started. */
static void
_vp_core_resolve_starting (VpCore *core, VpCoreJob *job)
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

/* Resolves the unreported jobs that were recorded as started on @worker, or on any worker if
 * @worker is NULL. */
static void
_vp_core_resolve_worker_jobs (VpCore *core, const char *worker)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpCoreJob *job = value;
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
  worker->has_reported = true;
  if (!core->is_recovered)
    _vp_core_resolve_worker_jobs (core, worker->vm.name);
  vp_sched_worker_ready (core->sched, worker->vm.name, core->now_ms);
}

/* Ends attempts that the worker's reports no longer contain. A report may have been made before the
 * attempt started, so two consecutive reports without it are needed. */
static void
_vp_core_report_missing (VpCore *core, VpCoreWorker *worker)
{
  GPtrArray *missing = g_ptr_array_new ();

  for (guint i = 0; i < worker->running->len; i++) {
    VpRunningAttempt *running = g_ptr_array_index (worker->running, i);
    bool may_still_start
        = running->state == VP_RUN_UNCERTAIN
          && core->now_ms <= running->lease_until_ms + core->settings->clock_margin_ms;
    if (running->report_number == core->report_number || running->state == VP_RUN_PREPARING
        || running->state == VP_RUN_SENT || may_still_start)
      continue;
    if (++running->missing_report_count >= 2)
      g_ptr_array_add (missing, running);
  }
  for (guint i = 0; i < missing->len; i++) {
    VpRunningAttempt *running = g_ptr_array_index (missing, i);
    if (running->state == VP_RUN_UNCERTAIN && !running->may_have_run) {
      vp_sched_not_started (core->sched, &running->attempt, core->now_ms);
      _vp_core_running_remove (core, running);
    } else {
      _vp_core_attempt_ended (core, &running->attempt, VP_END_LAPSED, true, NULL, NULL);
    }
  }
  g_ptr_array_unref (missing);
}

static void
_vp_core_report_unreachable (VpCore *core, VpCoreWorker *worker)
{
  if (worker->is_reachable) {
    vp_effects_log (core->effects, G_LOG_LEVEL_WARNING, "worker %s is unreachable",
                    worker->vm.name);
    worker->unreachable_since_ms = core->now_ms;
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
  core->report_number++;
  for (guint i = 0; i < report->ended->len; i++) {
    const VpWorkerEnded *ended = &g_array_index (report->ended, VpWorkerEnded, i);
    if (ended->sequence > worker->seen_sequence)
      _vp_core_report_ended (core, worker, ended);
  }
  for (guint i = 0; i < report->running->len; i++)
    _vp_core_report_running (core, worker, &g_array_index (report->running, VpWorkerTask, i));
  _vp_core_report_missing (core, worker);
  if (!worker->has_reported)
    _vp_core_worker_first_report (core, worker);
  if (report->is_leaving != worker->is_leaving
      && !vp_safeguard_is_disabled (VP_SAFEGUARD_LEAVING)) {
    worker->is_leaving = report->is_leaving;
    if (worker->is_leaving)
      vp_sched_worker_leaving (core->sched, worker->vm.name, core->now_ms);
  }
}

static void
_vp_core_start_result (VpCore *core, VpRunningAttempt *running, VpWorkerStatus status)
{
  if (running->state != VP_RUN_SENT)
    return; /* a report came before the result */
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
  VpRunningAttempt *running = _vp_core_running (core, &result->attempt);

  if (running == NULL || core->role != VP_ROLE_ACTIVE)
    return;
  if (result->kind == VP_WORKER_START)
    _vp_core_start_result (core, running, result->status);
  else if (result->kind == VP_WORKER_RENEW && result->status != VP_WORKER_ACCEPTED)
    running->next_renew_ms
        = MIN (running->next_renew_ms, core->now_ms + VP_CORE_FIRST_RENEW_DELAY_MS);
}

/* Time when the leases of all tasks on the worker have expired. */
static int64_t
_vp_core_worker_leases_expire_ms (const VpCore *core, const VpCoreWorker *worker)
{
  int64_t leases_expire_ms
      = worker->has_reported ? worker->unreachable_since_ms : core->recovery_deadline_ms;

  for (guint i = 0; i < worker->running->len; i++) {
    const VpRunningAttempt *running = g_ptr_array_index (worker->running, i);
    if (running->state != VP_RUN_PREPARING)
      leases_expire_ms = MAX (leases_expire_ms, running->lease_until_ms);
  }
  return leases_expire_ms + core->settings->clock_margin_ms;
}

static void
_vp_core_workers_finish_recovery (VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  if (core->is_recovered)
    return;
  if (core->now_ms <= core->recovery_deadline_ms) {
    if (g_hash_table_size (core->workers) == 0)
      return; /* the VM list was not read yet */
    g_hash_table_iter_init (&iter, core->workers);
    while (g_hash_table_iter_next (&iter, NULL, &value)) {
      if (!((VpCoreWorker *)value)->has_reported)
        return;
    }
  }
  core->is_recovered = true;
  vp_effects_log (core->effects, G_LOG_LEVEL_MESSAGE, "recovery of DC %s is complete",
                  core->self->dc);
  _vp_core_resolve_worker_jobs (core, NULL);
  _vp_core_jobs_replay_deferred (core);
}

void
_vp_core_workers_tick (VpCore *core)
{
  GHashTableIter iter;
  gpointer value;

  _vp_core_workers_finish_recovery (core);
  if (core->now_ms < core->next_workers_scan_ms)
    return;
  core->next_workers_scan_ms = core->now_ms + VP_CORE_WORKERS_SCAN_INTERVAL_MS;
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpCoreWorker *worker = value;
    if (worker->is_reachable || worker->running->len == 0
        || core->now_ms <= _vp_core_worker_leases_expire_ms (core, worker))
      continue;
    vp_effects_log (core->effects, G_LOG_LEVEL_WARNING,
                    "worker %s is lost: its task leases have expired", worker->vm.name);
    _vp_core_worker_lost (core, worker);
    _vp_core_worker_reset (worker);
  }
  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpCoreWorker *worker = value;
    if (worker->is_listed || worker->is_reachable || worker->running->len > 0
        || !core->is_recovered)
      continue;
    _vp_core_worker_lost (core, worker);
    _vp_core_worker_detach (core, worker);
    g_hash_table_iter_remove (&iter);
  }
}
