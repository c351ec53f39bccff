#include "vp-sched-private.h"

#include <string.h>

VpSched *
vp_sched_setup (const VpSchedDesc *desc)
{
  VpSched *sched = g_new0 (VpSched, 1);

  sched->desc = *desc;
  sched->desc.dc = g_strdup (desc->dc);
  if (desc->suspect_ms == 0)
    sched->desc.suspect_ms = 1000;
  if (desc->probation_ms == 0)
    sched->desc.probation_ms = 30000;
  if (desc->failures_to_probation == 0)
    sched->desc.failures_to_probation = 3;
  if (desc->decisions_max == 0)
    sched->desc.decisions_max = 256;
  sched->config = vp_config_new_empty ();
  sched->jobs = g_hash_table_new (vp_task_id_hash, vp_task_id_equal_ptr);
  sched->teams = g_hash_table_new (g_str_hash, g_str_equal);
  sched->profiles = g_hash_table_new (g_str_hash, g_str_equal);
  sched->workers = g_hash_table_new (g_str_hash, g_str_equal);
  sched->shapes = g_hash_table_new (_vp_shape_hash, _vp_shape_equal);
  sched->racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->team_list = g_ptr_array_new ();
  sched->worker_list = g_ptr_array_new ();
  sched->blocked_shapes = g_ptr_array_new ();
  sched->freed_workers = g_ptr_array_new ();
  sched->reservations = g_ptr_array_new ();
  sched->job_end_decisions = g_array_new (FALSE, FALSE, sizeof (VpDecision));
  sched->gang_picks = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  sched->capacity = vp_capacity_index_new ();
  _vp_heap_init (&sched->deadlines, offsetof (VpJob, deadline_index));
  _vp_heap_init (&sched->retry_delays, offsetof (VpJob, delay_index));
  _vp_heap_init (&sched->run_time_limits, offsetof (VpMember, run_time_index));
  _vp_heap_init (&sched->pending_stops, offsetof (VpMember, stop_index));
  _vp_heap_init (&sched->worker_timers, offsetof (VpWorkerState, timer_index));
  return sched;
}

static void
_vp_sched_free_teams (VpSched *sched)
{
  for (guint i = 0; i < sched->team_list->len; i++) {
    VpTeamState *team = g_ptr_array_index (sched->team_list, i);

    g_hash_table_unref (team->classes);
    for (uint32_t band = 0; band < VP_BAND_COUNT; band++)
      _vp_heap_clear (&team->ready_classes[band]);
    g_free (team);
  }
}

static void
_vp_sched_free_values (GHashTable *table)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_free (value);
  g_hash_table_unref (table);
}

void
vp_sched_shutdown (VpSched *sched)
{
  GHashTableIter iter;
  gpointer value;

  /* Freeing a job changes the table, so each iteration starts over. */
  while (g_hash_table_iter_init (&iter, sched->jobs),
         g_hash_table_iter_next (&iter, NULL, &value)) {
    VpJob *job = value;

    for (uint32_t i = 0; i < job->member_count; i++) {
      if (job->members[i].worker != NULL)
        _vp_sched_release (sched, &job->members[i], 0);
    }
    _vp_sched_job_free (sched, job, 0);
  }
  g_hash_table_unref (sched->jobs);
  _vp_sched_free_teams (sched);
  g_hash_table_unref (sched->teams);
  _vp_sched_free_values (sched->profiles);
  _vp_sched_free_values (sched->workers);
  _vp_sched_free_values (sched->shapes);
  g_hash_table_unref (sched->racks);
  g_ptr_array_unref (sched->team_list);
  g_ptr_array_unref (sched->worker_list);
  g_ptr_array_unref (sched->blocked_shapes);
  g_ptr_array_unref (sched->freed_workers);
  g_ptr_array_unref (sched->reservations);
  g_array_unref (sched->job_end_decisions);
  g_array_unref (sched->gang_picks);
  vp_capacity_index_free (sched->capacity);
  _vp_heap_clear (&sched->deadlines);
  _vp_heap_clear (&sched->retry_delays);
  _vp_heap_clear (&sched->run_time_limits);
  _vp_heap_clear (&sched->pending_stops);
  _vp_heap_clear (&sched->worker_timers);
  vp_config_unref (sched->config);
  g_free ((char *)sched->desc.dc);
  g_free (sched);
}

static VpTeamState *
_vp_sched_team (VpSched *sched, const char *name)
{
  VpTeamState *team = g_hash_table_lookup (sched->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (VpTeamState, 1);
  g_strlcpy (team->name, name, sizeof team->name);
  team->share = 1;
  team->classes = g_hash_table_new (_vp_class_hash, _vp_class_equal);
  for (uint32_t band = 0; band < VP_BAND_COUNT; band++)
    _vp_heap_init (&team->ready_classes[band], offsetof (VpJobClass, ready_index));
  g_hash_table_insert (sched->teams, team->name, team);
  g_ptr_array_add (sched->team_list, team);
  return team;
}

static VpProfileState *
_vp_sched_profile (VpSched *sched, const char *name)
{
  VpProfileState *profile = g_hash_table_lookup (sched->profiles, name);

  if (profile != NULL)
    return profile;
  profile = g_new0 (VpProfileState, 1);
  g_strlcpy (profile->profile.name, name, sizeof profile->profile.name);
  profile->profile.kind = VP_PROFILE_BATCH;
  g_hash_table_insert (sched->profiles, profile->profile.name, profile);
  return profile;
}

static bool
_vp_sched_exceeds_limit (const VpTeamState *team, const VpResources *size, uint32_t gang_count)
{
  VpResources need = *size;

  vp_resources_scale (&need, MAX (gang_count, 1));
  return !vp_resources_fits (&need, &team->limit);
}

/* Why the configuration does not let a queued job run. */
static VpReason
_vp_sched_config_reason (const VpJob *job)
{
  if (!job->team->is_configured)
    return VP_REASON_UNKNOWN_TEAM;
  if (!job->profile->is_configured)
    return VP_REASON_UNKNOWN_PROFILE;
  if (_vp_sched_exceeds_limit (job->team, &job->size, job->is_gang ? job->member_count : 1))
    return VP_REASON_IMPOSSIBLE_SIZE;
  return VP_REASON_NONE;
}

/* Ends a job that can't run. If members still run, they are stopped first. */
static void
_vp_sched_reject_job (VpSched *sched, VpJob *job, VpReason reason, int64_t now_ms)
{
  VpTaskState final_state = job->has_run ? VP_TASK_FAILED : VP_TASK_REFUSED;

  if (job->running_count > 0) {
    _vp_sched_job_close (sched, job, VP_TASK_FAILED, reason, VP_STOP_JOB, now_ms);
    return;
  }
  job->reason = reason;
  _vp_sched_add_job_end (
      sched, job, final_state == VP_TASK_REFUSED ? VP_DECISION_REFUSE : VP_DECISION_FAIL, reason);
  _vp_sched_job_free (sched, job, now_ms);
}

/* Applies a changed configuration to waiting jobs: queues them in their new order and rejects those
 * that can't run any more. Running members go on. */
static void
_vp_sched_requeue_all (VpSched *sched, int64_t now_ms)
{
  g_autoptr (GList) jobs = g_hash_table_get_values (sched->jobs);
  g_autoptr (GPtrArray) queued = g_ptr_array_new ();

  for (GList *l = jobs; l != NULL; l = l->next) {
    VpJob *job = l->data;
    VpReason reason = _vp_sched_config_reason (job);

    if (job->queued_count == 0 || job->final_state != VP_TASK_NONE)
      continue;
    if (reason != VP_REASON_NONE && job->running_count == 0) {
      _vp_sched_reject_job (sched, job, reason, now_ms);
    } else if (job->wait == VP_WAIT_QUEUE) {
      _vp_sched_dequeue (sched, job);
      g_ptr_array_add (queued, job);
    }
  }
  /* All jobs left their classes before the first one is queued, so that no class keeps its old
   * band. */
  for (guint i = 0; i < queued->len; i++)
    _vp_sched_enqueue (sched, g_ptr_array_index (queued, i), now_ms);
}

void
vp_sched_set_config (VpSched *sched, VpConfig *config, int64_t now_ms)
{
  VpConfig *old = sched->config;
  GHashTableIter iter;
  gpointer value;

  sched->config = vp_config_ref (config);
  vp_config_unref (old);
  for (guint i = 0; i < sched->team_list->len; i++)
    ((VpTeamState *)g_ptr_array_index (sched->team_list, i))->is_configured = false;
  g_hash_table_iter_init (&iter, sched->profiles);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((VpProfileState *)value)->is_configured = false;
  for (guint i = 0; i < config->teams->len; i++) {
    const VpTeam *from = &g_array_index (config->teams, VpTeam, i);
    VpTeamState *team = _vp_sched_team (sched, from->name);

    team->is_configured = true;
    team->share = MAX (from->share, 1);
    team->limit = from->limit;
    team->queue_max = from->queue_max > 0 ? from->queue_max : VP_SCHED_QUEUE_MAX_DEFAULT;
    _vp_sched_update_weighted_usage (sched, team);
  }
  for (guint i = 0; i < config->profiles->len; i++) {
    const VpProfile *from = &g_array_index (config->profiles, VpProfile, i);
    VpProfileState *profile = _vp_sched_profile (sched, from->name);

    profile->profile = *from;
    profile->is_configured = true;
  }
  _vp_sched_requeue_all (sched, now_ms);
}

void
vp_sched_set_grant (VpSched *sched, const char *team_name, const VpResources *grant, int64_t now_ms)
{
  VpTeamState *team = _vp_sched_team (sched, team_name);

  (void)now_ms;
  if (memcmp (&team->grant, grant, sizeof *grant) == 0)
    return;
  team->grant = *grant;
  team->blocking_job = NULL;
  sched->may_exceed_grants = true;
  _vp_sched_unblock_team (sched, team);
}

static VpJob *
_vp_sched_job_new (VpSched *sched, const VpJobSpec *spec)
{
  uint32_t count = MAX (spec->task_count, 1);
  VpJob *job = g_malloc0 (sizeof *job + count * sizeof (VpMember));

  job->id = spec->task;
  job->team = _vp_sched_team (sched, spec->team);
  job->profile = _vp_sched_profile (sched, spec->profile);
  job->size = spec->size;
  job->member_count = count;
  job->is_repeatable = spec->is_repeatable;
  job->is_gang = job->profile->profile.kind == VP_PROFILE_GANG && count > 1;
  job->arrived_ms = spec->arrived_ms;
  job->start_by_ms = spec->start_by_ms;
  job->sequence = ++sched->job_sequence;
  job->queue_index = job->deadline_index = job->delay_index = VP_HEAP_NONE;
  for (uint32_t i = 0; i < count; i++) {
    VpMember *member = &job->members[i];

    member->job = job;
    member->index = i;
    member->attempt = MAX (spec->first_attempt, 1) - 1;
    member->run_time_index = member->stop_index = VP_HEAP_NONE;
  }
  g_hash_table_insert (sched->jobs, &job->id, job);
  return job;
}

static VpReason
_vp_sched_submit_reason (VpSched *sched, const VpJobSpec *spec, int64_t now_ms)
{
  const VpTeamState *team = g_hash_table_lookup (sched->teams, spec->team);
  const VpProfileState *profile = g_hash_table_lookup (sched->profiles, spec->profile);
  uint32_t count = MAX (spec->task_count, 1), gang_count;

  if (team == NULL || !team->is_configured)
    return VP_REASON_UNKNOWN_TEAM;
  if (profile == NULL || !profile->is_configured)
    return VP_REASON_UNKNOWN_PROFILE;
  gang_count = profile->profile.kind == VP_PROFILE_GANG ? count : 1;
  if (!vp_resources_is_valid (&spec->size)
      || _vp_sched_exceeds_limit (team, &spec->size, gang_count)
      || !_vp_sched_can_ever_fit (sched, &spec->size, gang_count))
    return VP_REASON_IMPOSSIBLE_SIZE;
  if (spec->start_by_ms > 0
      && (spec->start_by_ms <= now_ms
          || _vp_sched_expected_wait_ms (sched, spec, now_ms)
                 > VP_SCHED_LATE_WAIT_FACTOR * (spec->start_by_ms - now_ms)))
    return VP_REASON_DEADLINE;
  if ((uint64_t)team->waiting_count + count > team->queue_max)
    return VP_REASON_QUEUE_FULL;
  return VP_REASON_NONE;
}

VpReason
vp_sched_submit (VpSched *sched, const VpJobSpec *spec, int64_t now_ms)
{
  VpReason reason;
  VpJob *job;

  if (g_hash_table_contains (sched->jobs, &spec->task))
    return VP_REASON_NONE;
  reason = _vp_sched_submit_reason (sched, spec, now_ms);
  if (reason != VP_REASON_NONE)
    return reason;
  job = _vp_sched_job_new (sched, spec);
  for (uint32_t i = 0; i < job->member_count; i++)
    _vp_sched_set_waiting (sched, &job->members[i], true);
  if (job->start_by_ms > 0)
    _vp_heap_push (&sched->deadlines, job, job->start_by_ms, job->sequence);
  _vp_sched_enqueue (sched, job, now_ms);
  return VP_REASON_NONE;
}

/* Counts the waiting members as ended, as if the job had been adopted before it was submitted. */
static void
_vp_sched_drop_waiting_members (VpSched *sched, VpJob *job, int64_t now_ms)
{
  for (uint32_t i = 0; i < job->member_count; i++) {
    if (job->members[i].state != VP_TASK_QUEUED)
      continue;
    _vp_sched_set_waiting (sched, &job->members[i], false);
    job->members[i].state = VP_TASK_DONE;
    job->done_count++;
  }
  if (job->reservation != NULL)
    _vp_sched_reservation_free (sched, job->reservation, now_ms);
  _vp_sched_dequeue (sched, job);
}

void
vp_sched_adopt (VpSched *sched,
                const VpJobSpec *spec,
                const VpAttempt *attempt,
                const char *worker_name,
                int64_t now_ms)
{
  VpJob *job = g_hash_table_lookup (sched->jobs, &spec->task);
  VpWorkerState *worker = _vp_sched_worker (sched, worker_name);
  VpMember *member;

  if (job == NULL) {
    job = _vp_sched_job_new (sched, spec);
    /* Members that are not found on a worker count as ended. */
    job->done_count = job->member_count;
    for (uint32_t i = 0; i < job->member_count; i++)
      job->members[i].state = VP_TASK_DONE;
  }
  if (attempt->member >= job->member_count)
    return;
  member = &job->members[attempt->member];
  if (member->worker != NULL)
    return;
  if (worker == NULL)
    worker = _vp_sched_worker_new (sched, worker_name);
  if (member->state == VP_TASK_DONE && job->wait != VP_WAIT_GANG_RESTART
      && job->final_state == VP_TASK_NONE)
    job->done_count--;
  member->attempt = attempt->attempt - 1;
  _vp_sched_commit (sched, member, worker, now_ms);
  member->state = VP_TASK_RUNNING;
  job->has_run = true;
  _vp_heap_remove (&sched->deadlines, job);
  if (job->wait != VP_WAIT_GANG_RESTART && (job->is_gang || job->queued_count == 0))
    _vp_sched_drop_waiting_members (sched, job, now_ms);
  worker->may_be_overcommitted = true;
  sched->may_exceed_grants = true;
}

VpTaskState
vp_sched_cancel (VpSched *sched, VpTaskId task, int64_t now_ms)
{
  VpJob *job = g_hash_table_lookup (sched->jobs, &task);

  if (job == NULL)
    return VP_TASK_NONE;
  _vp_sched_job_close (sched, job, VP_TASK_CANCELLED, VP_REASON_CANCELLED, VP_STOP_CANCEL, now_ms);
  if (job->running_count > 0)
    return VP_TASK_RUNNING;
  _vp_sched_job_free (sched, job, now_ms);
  return VP_TASK_CANCELLED;
}

/* Handles timers of workers, retry delays, deadlines and run time limits that are due. */
static void
_vp_sched_run_timers (VpSched *sched, int64_t now_ms)
{
  while (_vp_heap_top_key (&sched->worker_timers) <= now_ms)
    _vp_sched_worker_refresh (sched, _vp_heap_top (&sched->worker_timers), now_ms);
  while (_vp_heap_top_key (&sched->retry_delays) <= now_ms) {
    VpJob *job = _vp_heap_top (&sched->retry_delays);

    _vp_sched_dequeue (sched, job);
    _vp_sched_enqueue (sched, job, now_ms);
  }
  while (_vp_heap_top_key (&sched->deadlines) < now_ms) {
    VpJob *job = _vp_heap_top (&sched->deadlines);

    _vp_heap_remove (&sched->deadlines, job);
    if (job->running_count == 0 && !job->has_run)
      _vp_sched_reject_job (sched, job, VP_REASON_DEADLINE, now_ms);
  }
  while (_vp_heap_top_key (&sched->run_time_limits) <= now_ms) {
    VpMember *member = _vp_heap_top (&sched->run_time_limits);

    _vp_heap_remove (&sched->run_time_limits, member);
    _vp_sched_request_stop (sched, member, VP_STOP_RUN_TIME, false, now_ms);
  }
}

void
vp_sched_decide (VpSched *sched, int64_t now_ms, GArray *decisions)
{
  uint32_t decisions_limit = decisions->len + sched->desc.decisions_max;
  bool has_freed_workers;

  sched->has_more_work = false;
  _vp_sched_run_timers (sched, now_ms);
  /* Decisions about ended jobs don't count towards the limit: their resources are free already. */
  g_array_append_vals (decisions, sched->job_end_decisions->data, sched->job_end_decisions->len);
  g_array_set_size (sched->job_end_decisions, 0);
  _vp_sched_enforce_grants (sched, now_ms);
  /* Stops come before starts, so that a long queue can't delay a cancel or a lowered grant. */
  _vp_sched_send_stops (sched, now_ms, decisions, decisions_limit);
  has_freed_workers = _vp_sched_unblock_freed (sched, now_ms);
  if (sched->reservations->len > 0)
    _vp_sched_reservations_run (sched, has_freed_workers, now_ms, decisions, decisions_limit);
  _vp_sched_place_all (sched, now_ms, decisions, decisions_limit);
  if (sched->has_accel_blocked && !_vp_sched_are_accels_reserved (sched, now_ms))
    sched->has_more_work = true;
  if (sched->blocked_shapes->len > 0 && now_ms >= sched->next_scan_ms && !sched->desc.is_fifo)
    _vp_sched_scan_starving (sched, now_ms);
  /* Stops of tasks that were preempted in this call. */
  _vp_sched_send_stops (sched, now_ms, decisions, decisions_limit);
}

int64_t
vp_sched_next_ms (const VpSched *sched)
{
  int64_t next_ms = INT64_MAX;

  if (sched->has_more_work || sched->job_end_decisions->len > 0 || sched->freed_workers->len > 0
      || sched->may_exceed_grants)
    return 0;
  next_ms = MIN (next_ms, _vp_heap_top_key (&sched->worker_timers));
  next_ms = MIN (next_ms, _vp_heap_top_key (&sched->retry_delays));
  next_ms = MIN (next_ms, _vp_heap_top_key (&sched->run_time_limits));
  next_ms = MIN (next_ms, _vp_heap_top_key (&sched->pending_stops));
  if (sched->deadlines.count > 0)
    next_ms = MIN (next_ms, _vp_heap_top_key (&sched->deadlines) + 1);
  for (guint i = 0; i < sched->reservations->len; i++) {
    const VpReservation *reservation = g_ptr_array_index (sched->reservations, i);

    next_ms = MIN (next_ms, reservation->expires_ms);
  }
  if (sched->blocked_shapes->len > 0 && !sched->desc.is_fifo)
    next_ms = MIN (next_ms, sched->next_scan_ms);
  if (sched->has_accel_blocked)
    next_ms = MIN (next_ms, sched->accel_progress_ms + VP_SCHED_ACCEL_RESERVE_MS);
  for (guint i = 0; i < sched->team_list->len; i++) {
    const VpTeamState *team = g_ptr_array_index (sched->team_list, i);

    if (_vp_sched_is_eligible (team, VP_BAND_URGENT)
        || _vp_sched_is_eligible (team, VP_BAND_NORMAL))
      return 0;
  }
  return next_ms;
}
