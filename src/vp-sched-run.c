#include "vp-sched-private.h"

#include <string.h>

void
_vp_sched_fill_decision (const VpMember *member, VpDecisionKind kind, VpDecision *out)
{
  const VpJob *job = member->job;
  int64_t lease_ms = job->profile->profile.task_lease_ms;

  memset (out, 0, sizeof *out);
  out->kind = kind;
  out->attempt = (VpAttempt){ job->id, member->index, member->attempt };
  if (member->worker != NULL)
    g_strlcpy (out->worker, member->worker->name, sizeof out->worker);
  g_strlcpy (out->team, job->team->name, sizeof out->team);
  g_strlcpy (out->profile, job->profile->profile.name, sizeof out->profile);
  out->size = job->size;
  out->task_lease_ms = lease_ms > 0 ? lease_ms : VP_SCHED_TASK_LEASE_DEFAULT_MS;
}

void
_vp_sched_add_job_end (VpSched *sched, VpJob *job, VpDecisionKind kind, VpReason reason)
{
  VpDecision decision;

  _vp_sched_fill_decision (&job->members[0], kind, &decision);
  decision.reason = reason;
  g_array_append_val (sched->job_end_decisions, decision);
}

void
_vp_sched_set_waiting (VpSched *sched, VpMember *member, bool is_waiting)
{
  VpJob *job = member->job;
  VpTeamState *team = job->team;

  (void)sched;
  member->state = is_waiting ? VP_TASK_QUEUED : VP_TASK_NONE;
  if (is_waiting) {
    job->queued_count++;
    team->waiting_count++;
    vp_resources_add (&team->waiting, &job->size);
  } else {
    job->queued_count--;
    team->waiting_count--;
    vp_resources_sub (&team->waiting, &job->size);
  }
}

static void
_vp_sched_link_member (VpMember *member, VpWorkerState *worker)
{
  VpTeamState *team = member->job->team;

  member->worker = worker;
  member->previous_of_worker = member->previous_of_team = NULL;
  member->next_of_worker = worker->members;
  if (worker->members != NULL)
    worker->members->previous_of_worker = member;
  worker->members = member;
  member->next_of_team = team->members;
  if (team->members != NULL)
    team->members->previous_of_team = member;
  team->members = member;
}

static void
_vp_sched_unlink_member (VpMember *member)
{
  VpWorkerState *worker = member->worker;
  VpTeamState *team = member->job->team;

  *(member->previous_of_worker != NULL ? &member->previous_of_worker->next_of_worker
                                       : &worker->members)
      = member->next_of_worker;
  if (member->next_of_worker != NULL)
    member->next_of_worker->previous_of_worker = member->previous_of_worker;
  *(member->previous_of_team != NULL ? &member->previous_of_team->next_of_team : &team->members)
      = member->next_of_team;
  if (member->next_of_team != NULL)
    member->next_of_team->previous_of_team = member->previous_of_team;
  member->worker = NULL;
}

void
_vp_sched_commit (VpSched *sched, VpMember *member, VpWorkerState *worker, int64_t now_ms)
{
  VpJob *job = member->job;
  VpTeamState *team = job->team;
  int64_t limit_ms = job->profile->profile.run_time_max_ms;

  if (member->state == VP_TASK_QUEUED)
    _vp_sched_set_waiting (sched, member, false);
  member->state = VP_TASK_STARTING;
  member->attempt++;
  member->started_ms = now_ms;
  member->stop = VP_STOP_NONE;
  member->is_checkpoint = false;
  member->measured_usage = (VpResources){ 0 };
  job->blocked_since_ms = 0;
  _vp_sched_link_member (member, worker);
  job->running_count++;
  team->running_count++;
  vp_resources_add (&team->used, &job->size);
  _vp_sched_update_weighted_usage (sched, team);
  worker->running_count++;
  vp_resources_add (&worker->used, &job->size);
  if (worker->is_in_totals)
    vp_resources_add (&sched->total_used, &job->size);
  vp_capacity_index_allocate (sched->capacity, worker->index_id, &job->size);
  member->is_probe = worker->health == VP_HEALTH_PROBE_DUE;
  if (member->is_probe) {
    worker->health = VP_HEALTH_PROBE_RUNNING;
    _vp_sched_worker_refresh (sched, worker, now_ms);
  }
  if (limit_ms > 0)
    _vp_heap_push (&sched->run_time_limits, member, now_ms + limit_ms, job->sequence);
}

void
_vp_sched_release (VpSched *sched, VpMember *member, int64_t now_ms)
{
  VpWorkerState *worker = member->worker;
  VpJob *job = member->job;
  VpTeamState *team = job->team;

  _vp_heap_remove (&sched->run_time_limits, member);
  _vp_heap_remove (&sched->pending_stops, member);
  _vp_sched_unlink_member (member);
  job->running_count--;
  team->running_count--;
  vp_resources_sub (&team->used, &job->size);
  if (member->stop != VP_STOP_NONE)
    vp_resources_sub (&team->stopping, &job->size);
  member->stop = VP_STOP_NONE;
  _vp_sched_update_weighted_usage (sched, team);
  _vp_sched_unblock_team (sched, team);
  worker->running_count--;
  vp_resources_sub (&worker->used, &job->size);
  if (worker->is_in_totals)
    vp_resources_sub (&sched->total_used, &job->size);
  vp_capacity_index_release (sched->capacity, worker->index_id, &job->size);
  _vp_sched_worker_capacity_freed (sched, worker);
  if (member->is_probe) {
    member->is_probe = false;
    if (worker->health == VP_HEALTH_PROBE_RUNNING)
      worker->health = VP_HEALTH_PROBE_DUE;
    _vp_sched_worker_refresh (sched, worker, now_ms);
  }
}

void
_vp_sched_request_stop (VpSched *sched,
                        VpMember *member,
                        VpStopReason stop,
                        bool is_checkpoint,
                        int64_t now_ms)
{
  if (member->worker == NULL)
    return;
  if (member->stop == VP_STOP_NONE) {
    vp_resources_add (&member->job->team->stopping, &member->job->size);
  } else if (!member->is_checkpoint || is_checkpoint) {
    /* Only a stop without a checkpoint replaces an earlier one, and only one with a checkpoint. */
    return;
  }
  member->stop = (uint8_t)stop;
  member->is_checkpoint = is_checkpoint;
  _vp_heap_remove (&sched->pending_stops, member);
  _vp_heap_push (&sched->pending_stops, member, now_ms, member->job->sequence);
}

void
_vp_sched_send_stops (VpSched *sched, int64_t now_ms, GArray *decisions, uint32_t decisions_limit)
{
  while (_vp_heap_top_key (&sched->pending_stops) <= now_ms) {
    VpMember *member = _vp_heap_top (&sched->pending_stops);
    VpDecision decision;

    if (decisions->len >= decisions_limit) {
      sched->has_more_work = true;
      return;
    }
    _vp_sched_fill_decision (
        member, member->is_checkpoint ? VP_DECISION_CHECKPOINT : VP_DECISION_STOP, &decision);
    decision.reason = member->stop == VP_STOP_CANCEL ? VP_REASON_CANCELLED : VP_REASON_NONE;
    g_array_append_val (decisions, decision);
    /* The command may be lost, so it is sent again; a repeated one has no effect on the worker. */
    _vp_heap_remove (&sched->pending_stops, member);
    _vp_heap_push (&sched->pending_stops, member, now_ms + VP_SCHED_STOP_RESEND_MS,
                   member->job->sequence);
  }
}

void
_vp_sched_job_free (VpSched *sched, VpJob *job, int64_t now_ms)
{
  if (job->reservation != NULL) {
    VpReservation *reservation = job->reservation;

    job->wait = VP_WAIT_NONE;
    _vp_sched_reservation_free (sched, reservation, now_ms);
  }
  _vp_sched_dequeue (sched, job);
  for (uint32_t i = 0; i < job->member_count; i++) {
    if (job->members[i].state == VP_TASK_QUEUED)
      _vp_sched_set_waiting (sched, &job->members[i], false);
  }
  _vp_heap_remove (&sched->deadlines, job);
  g_hash_table_remove (sched->jobs, &job->id);
  g_free (job);
}

void
_vp_sched_job_close (VpSched *sched,
                     VpJob *job,
                     VpTaskState final_state,
                     VpReason reason,
                     VpStopReason stop,
                     int64_t now_ms)
{
  VpReservation *reservation = job->reservation;

  if (job->final_state != VP_TASK_NONE)
    return;
  job->final_state = final_state;
  job->reason = reason;
  if (reservation != NULL) {
    job->wait = VP_WAIT_NONE;
    _vp_sched_reservation_free (sched, reservation, now_ms);
  }
  _vp_sched_dequeue (sched, job);
  _vp_heap_remove (&sched->deadlines, job);
  for (uint32_t i = 0; i < job->member_count; i++) {
    VpMember *member = &job->members[i];

    if (member->state == VP_TASK_QUEUED)
      _vp_sched_set_waiting (sched, member, false);
    _vp_sched_request_stop (sched, member, stop, false, now_ms);
  }
}

/* Delay before the next try after @tries failed ones. */
static int64_t
_vp_sched_retry_delay (uint32_t tries, bool is_lost)
{
  uint32_t steps = is_lost ? tries - 1 : tries; /* the loss of a worker is seldom the job's fault */

  if (steps == 0)
    return 0;
  return MIN (INT64_C (1) * VP_SCHED_RETRY_DELAY_MS << MIN (steps - 1, 16u),
              VP_SCHED_RETRY_DELAY_MAX_MS);
}

static void
_vp_sched_requeue (VpSched *sched, VpJob *job, int64_t delay_ms, int64_t now_ms)
{
  if (job->wait == VP_WAIT_RESERVATION || job->wait == VP_WAIT_RETRY_DELAY)
    return;
  _vp_sched_dequeue (sched, job);
  if (delay_ms == 0) {
    _vp_sched_enqueue (sched, job, now_ms);
    return;
  }
  job->wait = VP_WAIT_RETRY_DELAY;
  _vp_heap_push (&sched->retry_delays, job, now_ms + delay_ms, job->sequence);
}

/* Stops the other members of a gang that lost one. All are queued again once they have ended. */
static void
_vp_sched_restart_gang (VpSched *sched, VpJob *job, bool is_checkpoint, int64_t now_ms)
{
  job->wait = VP_WAIT_GANG_RESTART;
  for (uint32_t i = 0; i < job->member_count; i++)
    _vp_sched_request_stop (sched, &job->members[i], VP_STOP_JOB, is_checkpoint, now_ms);
}

/* True if a gang can't be tried again: a member ran and the job is not repeatable. */
static bool
_vp_sched_is_gang_failed (const VpJob *job)
{
  return job->wait == VP_WAIT_GANG_RESTART && job->running_count == 0 && !job->is_repeatable
         && job->has_run;
}

static VpTaskState
_vp_sched_requeue_gang (VpSched *sched, VpJob *job, bool is_lost, int64_t now_ms)
{
  uint32_t tries = 0;

  job->wait = VP_WAIT_NONE;
  job->done_count = 0;
  for (uint32_t i = 0; i < job->member_count; i++) {
    tries = MAX (tries, job->members[i].tries);
    _vp_sched_set_waiting (sched, &job->members[i], true);
  }
  _vp_sched_requeue (sched, job, tries > 0 ? _vp_sched_retry_delay (tries, is_lost) : 0, now_ms);
  return VP_TASK_QUEUED;
}

/* Returns the state of a job after one of its members ended, and frees the job if it is final. */
static VpTaskState
_vp_sched_update_job (VpSched *sched, VpJob *job, bool is_lost, int64_t now_ms)
{
  VpTaskState state = job->final_state;

  if (job->running_count > 0)
    return VP_TASK_RUNNING;
  if (state == VP_TASK_NONE && _vp_sched_is_gang_failed (job))
    state = VP_TASK_FAILED;
  if (job->wait == VP_WAIT_GANG_RESTART && state == VP_TASK_NONE)
    return _vp_sched_requeue_gang (sched, job, is_lost, now_ms);
  if (job->done_count == job->member_count)
    state = VP_TASK_DONE;
  if (state == VP_TASK_NONE)
    return VP_TASK_QUEUED;
  _vp_sched_job_free (sched, job, now_ms);
  return state;
}

static bool
_vp_sched_may_retry (VpMember *member, VpStopReason stop, VpTaskEnd end)
{
  const VpJob *job = member->job;
  uint32_t tries_max = job->profile->profile.tries_max;
  /* A task that the scheduler itself stopped has not failed. */
  bool is_stopped_by_sched = stop == VP_STOP_GRANT || stop == VP_STOP_JOB || stop == VP_STOP_PREEMPT
                             || end == VP_END_CHECKPOINTED;

  if (!job->is_repeatable || job->final_state != VP_TASK_NONE || stop == VP_STOP_RUN_TIME
      || !job->team->is_configured || !job->profile->is_configured)
    return false;
  if (is_stopped_by_sched && end != VP_END_FAILED)
    return true;
  member->tries++;
  return member->tries < (tries_max > 0 ? tries_max : VP_SCHED_TRIES_MAX_DEFAULT);
}

VpTaskState
_vp_sched_end_attempt (VpSched *sched,
                       VpMember *member,
                       VpTaskEnd end,
                       bool is_lost,
                       int64_t now_ms)
{
  VpJob *job = member->job;
  VpWorkerState *worker = member->worker;
  VpStopReason stop = (VpStopReason)member->stop;
  bool is_done = end == VP_END_DONE && !is_lost;
  uint32_t tries = member->tries;

  job->has_run = true;
  _vp_heap_remove (&sched->deadlines, job);
  _vp_sched_update_worker_health (sched, worker, member, end, is_lost, now_ms);
  _vp_sched_release (sched, member, now_ms);
  member->state = VP_TASK_DONE;
  if (is_done) {
    job->done_count++;
    return _vp_sched_update_job (sched, job, is_lost, now_ms);
  }
  if (!_vp_sched_may_retry (member, stop, end)) {
    VpTaskState final_state = is_lost ? VP_TASK_LOST : VP_TASK_FAILED;

    _vp_sched_job_close (sched, job, final_state,
                         is_lost ? VP_REASON_WORKER_LOST : VP_REASON_TASK_FAILED, VP_STOP_JOB,
                         now_ms);
    return _vp_sched_update_job (sched, job, is_lost, now_ms);
  }
  if (job->is_gang) {
    _vp_sched_restart_gang (sched, job, end == VP_END_CHECKPOINTED, now_ms);
    return _vp_sched_update_job (sched, job, is_lost, now_ms);
  }
  _vp_sched_set_waiting (sched, member, true);
  _vp_sched_requeue (sched, job,
                     member->tries > tries ? _vp_sched_retry_delay (member->tries, is_lost) : 0,
                     now_ms);
  return VP_TASK_QUEUED;
}

static VpMember *
_vp_sched_member (const VpSched *sched, const VpAttempt *attempt, VpJob **job)
{
  VpMember *member;

  *job = g_hash_table_lookup (sched->jobs, &attempt->task);
  if (*job == NULL || attempt->member >= (*job)->member_count)
    return NULL;
  member = &(*job)->members[attempt->member];
  return member->worker != NULL && member->attempt == attempt->attempt ? member : NULL;
}

void
vp_sched_started (VpSched *sched, const VpAttempt *attempt, int64_t now_ms)
{
  VpJob *job;
  VpMember *member = _vp_sched_member (sched, attempt, &job);

  if (member == NULL)
    return;
  member->state = VP_TASK_RUNNING;
  member->worker->refusal_count = 0;
  job->has_run = true;
  job->refused_start_count = 0;
  _vp_heap_remove (&sched->deadlines, job);
  (void)now_ms;
}

/* Gives the worker no tasks for a while, longer with each consecutive refusal. */
static void
_vp_sched_pause_worker (VpSched *sched, VpWorkerState *worker, int64_t now_ms)
{
  int64_t pause_ms = INT64_C (1) * VP_SCHED_REFUSAL_PAUSE_MS << MIN (worker->refusal_count, 16u);

  worker->refusal_count++;
  worker->paused_until_ms = now_ms + MIN (pause_ms, VP_SCHED_REFUSAL_PAUSE_MAX_MS);
  _vp_sched_worker_refresh (sched, worker, now_ms);
}

void
vp_sched_not_started (VpSched *sched, const VpAttempt *attempt, int64_t now_ms)
{
  VpJob *job;
  VpMember *member = _vp_sched_member (sched, attempt, &job);
  VpWorkerState *worker;

  if (member == NULL)
    return;
  worker = member->worker;
  _vp_sched_release (sched, member, now_ms);
  _vp_sched_pause_worker (sched, worker, now_ms);
  member->state = VP_TASK_NONE;
  if (!job->team->is_configured || !job->profile->is_configured)
    _vp_sched_job_close (sched, job, VP_TASK_REFUSED, VP_REASON_UNKNOWN_PROFILE, VP_STOP_JOB,
                         now_ms);
  if (job->final_state != VP_TASK_NONE) {
    if (job->running_count > 0)
      return;
    _vp_sched_add_job_end (sched, job, job->has_run ? VP_DECISION_FAIL : VP_DECISION_REFUSE,
                           job->reason);
    _vp_sched_job_free (sched, job, now_ms);
    return;
  }
  job->refused_start_count++;
  if (job->is_gang) {
    _vp_sched_restart_gang (sched, job, false, now_ms);
    if (_vp_sched_is_gang_failed (job))
      _vp_sched_add_job_end (sched, job, VP_DECISION_FAIL, VP_REASON_TASK_FAILED);
    _vp_sched_update_job (sched, job, false, now_ms);
    return;
  }
  _vp_sched_set_waiting (sched, member, true);
  /* The first refusal may be a race for the worker's capacity; only further ones are delayed. */
  _vp_sched_requeue (sched, job, _vp_sched_retry_delay (job->refused_start_count - 1, false),
                     now_ms);
}

VpTaskState
vp_sched_ended (VpSched *sched,
                const VpAttempt *attempt,
                VpTaskEnd end,
                bool is_lost,
                int64_t now_ms)
{
  VpJob *job;
  VpMember *member = _vp_sched_member (sched, attempt, &job);

  if (member != NULL)
    return _vp_sched_end_attempt (sched, member, end, is_lost, now_ms);
  if (job == NULL)
    return VP_TASK_NONE;
  return job->running_count > 0 ? VP_TASK_RUNNING : VP_TASK_QUEUED;
}

void
vp_sched_set_usage (VpSched *sched,
                    const VpAttempt *attempt,
                    const VpResources *used,
                    int64_t now_ms)
{
  VpJob *job;
  VpMember *member = _vp_sched_member (sched, attempt, &job);

  (void)now_ms;
  if (member != NULL)
    member->measured_usage = *used;
}

bool
vp_sched_attempt_worker (const VpSched *sched, const VpAttempt *attempt, char out[VP_NAME_MAX])
{
  VpJob *job;
  VpMember *member = _vp_sched_member (sched, attempt, &job);

  out[0] = '\0';
  if (member == NULL)
    return false;
  g_strlcpy (out, member->worker->name, VP_NAME_MAX);
  return true;
}
