#include "vp-safeguard.h"
#include "vp-sched-private.h"

#include <string.h>

VpWorkerState *
_vp_sched_worker (VpSched *sched, const char *name)
{
  return g_hash_table_lookup (sched->workers, name);
}

/* Number of the rack with that name; racks are numbered from 0 in order of appearance. */
static uint32_t
_vp_sched_rack (VpSched *sched, const char *name)
{
  gpointer number = g_hash_table_lookup (sched->racks, name);

  if (number == NULL) {
    number = GUINT_TO_POINTER (g_hash_table_size (sched->racks) + 1);
    g_hash_table_insert (sched->racks, g_strdup (name), number);
  }
  return GPOINTER_TO_UINT (number) - 1;
}

VpWorkerState *
_vp_sched_worker_new (VpSched *sched, const char *name)
{
  VpWorkerState *worker = g_new0 (VpWorkerState, 1);
  VpResources none = { 0 };

  g_strlcpy (worker->name, name, sizeof worker->name);
  worker->incarnation = ++sched->last_incarnation;
  worker->is_reachable = true;
  worker->timer_index = VP_HEAP_NONE;
  worker->index_id = vp_capacity_index_add (sched->capacity, &none, 0, 0);
  if (worker->index_id >= sched->worker_list->len)
    g_ptr_array_set_size (sched->worker_list, (gint)worker->index_id + 1);
  sched->worker_list->pdata[worker->index_id] = worker;
  g_hash_table_insert (sched->workers, worker->name, worker);
  return worker;
}

/* Adds the worker to the totals of the DC or removes it, and updates the usage of all teams, which
 * is relative to these totals. */
static void
_vp_sched_worker_set_in_totals (VpSched *sched, VpWorkerState *worker, bool is_in_totals)
{
  if (worker->is_in_totals == is_in_totals)
    return;
  worker->is_in_totals = is_in_totals;
  if (is_in_totals) {
    vp_resources_add (&sched->total, &worker->capacity);
    vp_resources_add (&sched->total_used, &worker->used);
  } else {
    vp_resources_sub (&sched->total, &worker->capacity);
    vp_resources_sub (&sched->total_used, &worker->used);
  }
  for (guint i = 0; i < sched->team_list->len; i++)
    _vp_sched_update_weighted_usage (sched, g_ptr_array_index (sched->team_list, i));
}

void
_vp_sched_worker_free (VpSched *sched, VpWorkerState *worker)
{
  _vp_sched_worker_set_in_totals (sched, worker, false);
  if (worker->has_freed_capacity)
    g_ptr_array_remove_fast (sched->freed_workers, worker);
  _vp_heap_remove (&sched->worker_timers, worker);
  vp_capacity_index_remove (sched->capacity, worker->index_id);
  sched->worker_list->pdata[worker->index_id] = NULL;
  g_hash_table_remove (sched->workers, worker->name);
  g_free (worker);
}

void
_vp_sched_worker_capacity_freed (VpSched *sched, VpWorkerState *worker)
{
  if (worker->reservation != NULL)
    worker->reservation->has_freed_capacity = true;
  if (worker->has_freed_capacity)
    return;
  worker->has_freed_capacity = true;
  g_ptr_array_add (sched->freed_workers, worker);
}

/* Time until which the worker stays closed because of its state. INT64_MAX: until another event
 * changes the state; INT64_MIN: the worker may be open now. */
static int64_t
_vp_sched_worker_closed_until (const VpSched *sched, const VpWorkerState *worker, int64_t now_ms)
{
  if (!worker->is_known || !worker->is_ready || worker->is_leaving)
    return INT64_MAX;
  if (!worker->is_reachable && now_ms >= worker->unreachable_since_ms + sched->desc.suspect_ms)
    return INT64_MAX;
  if (worker->health == VP_HEALTH_PROBE_RUNNING)
    return INT64_MAX;
  if (worker->health == VP_HEALTH_PROBATION)
    return worker->probation_until_ms;
  return now_ms < worker->paused_until_ms ? worker->paused_until_ms : INT64_MIN;
}

void
_vp_sched_worker_refresh (VpSched *sched, VpWorkerState *worker, int64_t now_ms)
{
  bool was_open = vp_capacity_index_is_open (sched->capacity, worker->index_id);
  bool is_suspect
      = !worker->is_reachable && now_ms >= worker->unreachable_since_ms + sched->desc.suspect_ms;
  int64_t until_ms, timer_ms;
  bool is_open;

  if (worker->health == VP_HEALTH_PROBATION && now_ms >= worker->probation_until_ms)
    worker->health = VP_HEALTH_PROBE_DUE;
  until_ms = _vp_sched_worker_closed_until (sched, worker, now_ms);
  is_open = until_ms == INT64_MIN;
  if (!is_open && worker->reservation != NULL)
    _vp_sched_reservation_free (sched, worker->reservation, now_ms);
  is_open = is_open && worker->reservation == NULL;
  vp_capacity_index_set_open (sched->capacity, worker->index_id, is_open);
  if (is_open && !was_open)
    _vp_sched_worker_capacity_freed (sched, worker);
  _vp_sched_worker_set_in_totals (sched, worker,
                                  worker->is_known && worker->is_ready && !is_suspect);
  timer_ms = until_ms == INT64_MIN ? INT64_MAX : until_ms;
  if (!worker->is_reachable && !is_suspect)
    timer_ms = MIN (timer_ms, worker->unreachable_since_ms + sched->desc.suspect_ms);
  _vp_heap_remove (&sched->worker_timers, worker);
  if (timer_ms != INT64_MAX)
    _vp_heap_push (&sched->worker_timers, worker, timer_ms, worker->incarnation);
}

/* True if the VM list entry changes nothing, which is the usual case. */
static bool
_vp_sched_is_worker_unchanged (VpSched *sched, const VpWorkerState *worker, const VpVm *vm)
{
  return worker->is_known && worker->generation == vm->generation
         && worker->slot_count == vm->slot_count && worker->rack == _vp_sched_rack (sched, vm->rack)
         && (vm->state != VP_VM_LEAVING || worker->is_leaving)
         && memcmp (&worker->capacity, &vm->size, sizeof vm->size) == 0;
}

void
vp_sched_worker_update (VpSched *sched, const VpVm *vm, int64_t now_ms)
{
  VpWorkerState *worker = _vp_sched_worker (sched, vm->name);

  if (worker == NULL)
    worker = _vp_sched_worker_new (sched, vm->name);
  else if (_vp_sched_is_worker_unchanged (sched, worker, vm))
    return;
  if (worker->is_known && worker->generation != vm->generation) {
    /* A new VM with the same name does not inherit the health of the old one. */
    worker->incarnation = ++sched->last_incarnation;
    worker->health = VP_HEALTH_GOOD;
    worker->failure_count = worker->probation_count = worker->refusal_count = 0;
    worker->paused_until_ms = 0;
    worker->is_ready = worker->is_leaving = false;
  }
  _vp_sched_worker_set_in_totals (sched, worker, false);
  worker->is_known = true;
  worker->generation = vm->generation;
  worker->capacity = vm->size;
  worker->slot_count = vm->slot_count;
  worker->rack = _vp_sched_rack (sched, vm->rack);
  /* The VM list lags behind the worker's own reports, so a worker that is leaving stays leaving. */
  worker->is_leaving = worker->is_leaving || vm->state == VP_VM_LEAVING;
  if (!vp_resources_fits (&worker->used, &worker->capacity)
      || worker->running_count > worker->slot_count)
    worker->may_be_overcommitted = true;
  if (vp_safeguard_is_disabled (VP_SAFEGUARD_CAPACITY)) {
    VpResources unlimited = vm->size;
    vp_resources_scale (&unlimited, 4);
    vp_capacity_index_resize (sched->capacity, worker->index_id, &unlimited, vm->slot_count * 4,
                              worker->rack);
  } else {
    vp_capacity_index_resize (sched->capacity, worker->index_id, &vm->size, vm->slot_count,
                              worker->rack);
  }
  _vp_sched_worker_refresh (sched, worker, now_ms);
  _vp_sched_worker_capacity_freed (sched, worker);
}

void
vp_sched_worker_ready (VpSched *sched, const char *name, int64_t now_ms)
{
  VpWorkerState *worker = _vp_sched_worker (sched, name);

  if (worker == NULL)
    return;
  worker->is_ready = true;
  _vp_sched_worker_refresh (sched, worker, now_ms);
}

void
vp_sched_worker_reachable (VpSched *sched, const char *name, bool is_reachable, int64_t now_ms)
{
  VpWorkerState *worker = _vp_sched_worker (sched, name);

  if (worker == NULL || worker->is_reachable == is_reachable)
    return;
  worker->is_reachable = is_reachable;
  worker->unreachable_since_ms = now_ms;
  _vp_sched_worker_refresh (sched, worker, now_ms);
}

void
vp_sched_worker_leaving (VpSched *sched, const char *name, int64_t now_ms)
{
  VpWorkerState *worker = _vp_sched_worker (sched, name);

  if (worker == NULL || worker->is_leaving)
    return;
  worker->is_leaving = true;
  _vp_sched_worker_refresh (sched, worker, now_ms);
}

void
vp_sched_worker_lost (VpSched *sched, const char *name, GArray *ended, int64_t now_ms)
{
  VpWorkerState *worker = _vp_sched_worker (sched, name);

  if (worker == NULL)
    return;
  worker->is_leaving = true;
  worker->is_known = false;
  _vp_sched_worker_refresh (sched, worker, now_ms);
  while (worker->members != NULL) {
    VpMember *member = worker->members;
    VpJob *job = member->job;
    VpAttempt attempt = { job->id, member->index, member->attempt };
    bool is_cancelled = job->final_state == VP_TASK_CANCELLED;
    VpDecision notice;
    VpTaskState state;

    _vp_sched_fill_decision (member, VP_DECISION_FAIL, &notice);
    if (ended != NULL)
      g_array_append_val (ended, attempt);
    state = _vp_sched_end_attempt (sched, member, VP_END_LAPSED, true, now_ms);
    if (!vp_task_state_is_final (state))
      continue;
    notice.reason = is_cancelled ? VP_REASON_CANCELLED : VP_REASON_WORKER_LOST;
    g_array_append_val (sched->job_end_decisions, notice);
  }
  _vp_sched_worker_free (sched, worker);
}

static void
_vp_sched_worker_remove_failure (VpWorkerState *worker, VpTaskId task)
{
  for (uint32_t i = 0; i < worker->failure_count; i++) {
    if (!vp_task_id_equal (worker->failures[i], task))
      continue;
    worker->failures[i] = worker->failures[--worker->failure_count];
    return;
  }
}

/* Removes a job that failed on several workers from their failures: the job is the cause. */
static void
_vp_sched_clear_job_failures (VpSched *sched, const VpJob *job, int64_t now_ms)
{
  for (uint32_t i = 0; i < job->failed_worker_count; i++) {
    VpWorkerState *worker = _vp_sched_failed_worker (sched, &job->failed_workers[i]);

    if (worker == NULL)
      continue;
    _vp_sched_worker_remove_failure (worker, job->id);
    if (worker->health == VP_HEALTH_PROBATION && worker->probation_count == 1
        && worker->failure_count < sched->desc.failures_to_probation) {
      worker->health = VP_HEALTH_GOOD;
      worker->probation_count = 0;
      _vp_sched_worker_refresh (sched, worker, now_ms);
    }
  }
}

/* At most half of the workers are on probation: if more of them fail, the cause is elsewhere. */
static bool
_vp_sched_may_start_probation (const VpSched *sched)
{
  uint32_t probation_count = 0, known_count = 0;

  for (guint i = 0; i < sched->worker_list->len; i++) {
    const VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);

    known_count += worker != NULL && worker->is_known;
    probation_count += worker != NULL && worker->is_known && worker->health != VP_HEALTH_GOOD;
  }
  return probation_count < MAX (known_count / 2, 1);
}

static void
_vp_sched_start_probation (VpSched *sched, VpWorkerState *worker, int64_t now_ms)
{
  uint32_t step = MIN (worker->probation_count, VP_SCHED_PROBATION_DOUBLINGS_MAX);

  worker->health = VP_HEALTH_PROBATION;
  worker->probation_count++;
  worker->probation_until_ms = now_ms + (sched->desc.probation_ms << step);
  _vp_sched_worker_refresh (sched, worker, now_ms);
}

void
_vp_sched_update_worker_health (VpSched *sched,
                                VpWorkerState *worker,
                                VpMember *member,
                                VpTaskEnd end,
                                bool is_lost,
                                int64_t now_ms)
{
  VpJob *job = member->job;
  bool is_recorded = false;

  if (is_lost)
    return;
  if (end == VP_END_DONE) {
    worker->failure_count = worker->probation_count = 0;
    worker->health = VP_HEALTH_GOOD;
    _vp_sched_worker_refresh (sched, worker, now_ms);
    return;
  }
  if (end != VP_END_FAILED || member->stop != VP_STOP_NONE)
    return;
  for (uint32_t i = 0; i < job->failed_worker_count; i++)
    is_recorded = is_recorded || job->failed_workers[i].incarnation == worker->incarnation;
  if (!is_recorded && job->failed_worker_count < VP_SCHED_FAILED_WORKERS_MAX)
    job->failed_workers[job->failed_worker_count++]
        = (VpFailedWorker){ worker->index_id, worker->incarnation };
  if (job->failed_worker_count > 1) {
    _vp_sched_clear_job_failures (sched, job, now_ms);
    return;
  }
  _vp_sched_worker_remove_failure (worker, job->id);
  if (worker->failure_count == VP_SCHED_WORKER_FAILURES_MAX)
    worker->failure_count--;
  worker->failures[worker->failure_count++] = job->id;
  if (member->is_probe)
    _vp_sched_start_probation (sched, worker, now_ms);
  else if (worker->health == VP_HEALTH_GOOD
           && worker->failure_count >= sched->desc.failures_to_probation
           && _vp_sched_may_start_probation (sched))
    _vp_sched_start_probation (sched, worker, now_ms);
}

bool
_vp_sched_can_ever_fit (const VpSched *sched, const VpResources *size, uint32_t gang_count)
{
  int64_t member_capacity = 0;
  bool has_known_worker = false;

  for (guint i = 0; i < sched->worker_list->len; i++) {
    const VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);
    int64_t count;

    if (worker == NULL || !worker->is_known)
      continue;
    has_known_worker = true;
    if (!vp_resources_fits (size, &worker->capacity))
      continue;
    count = worker->slot_count;
    if (size->cpu_milli > 0)
      count = MIN (count, worker->capacity.cpu_milli / size->cpu_milli);
    if (size->mem_mib > 0)
      count = MIN (count, worker->capacity.mem_mib / size->mem_mib);
    if (size->accel_count > 0)
      count = MIN (count, worker->capacity.accel_count / size->accel_count);
    member_capacity += count;
    if (member_capacity >= MAX (gang_count, 1))
      return true;
  }
  return !has_known_worker;
}
