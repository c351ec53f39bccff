#include "vp-sched-private.h"
#include "vp-switch.h"

#include <string.h>

VpWorkerState *
_vp_sched_worker (VpSched *sched, const char *name)
{
  return g_hash_table_lookup (sched->workers, name);
}

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
  worker->sequence = ++sched->worker_sequence;
  worker->is_reachable = true;
  worker->wake_index = VP_HEAP_NONE;
  worker->fit = vp_fit_add (sched->fit, &none, 0, 0);
  if (worker->fit >= sched->worker_list->len)
    g_ptr_array_set_size (sched->worker_list, (gint)worker->fit + 1);
  sched->worker_list->pdata[worker->fit] = worker;
  g_hash_table_insert (sched->workers, worker->name, worker);
  return worker;
}

/* Keeps the totals of the DC; shares are fractions of them. */
static void
_vp_sched_worker_count (VpSched *sched, VpWorkerState *worker, bool is_counted)
{
  if (worker->is_counted == is_counted)
    return;
  worker->is_counted = is_counted;
  if (is_counted) {
    vp_resources_add (&sched->total, &worker->size);
    vp_resources_add (&sched->total_used, &worker->used);
  } else {
    vp_resources_sub (&sched->total, &worker->size);
    vp_resources_sub (&sched->total_used, &worker->used);
  }
  for (guint i = 0; i < sched->team_list->len; i++)
    _vp_sched_refresh_fraction (sched, g_ptr_array_index (sched->team_list, i));
}

void
_vp_sched_worker_free (VpSched *sched, VpWorkerState *worker)
{
  _vp_sched_worker_count (sched, worker, false);
  if (worker->is_dirty)
    g_ptr_array_remove_fast (sched->dirty, worker);
  _vp_heap_remove (&sched->wakes, worker);
  vp_fit_remove (sched->fit, worker->fit);
  sched->worker_list->pdata[worker->fit] = NULL;
  g_hash_table_remove (sched->workers, worker->name);
  g_free (worker);
}

void
_vp_sched_worker_dirty (VpSched *sched, VpWorkerState *worker)
{
  if (worker->reservation != NULL)
    worker->reservation->is_dirty = true;
  if (worker->is_dirty)
    return;
  worker->is_dirty = true;
  g_ptr_array_add (sched->dirty, worker);
}

/* Until when the worker stays closed by itself; INT64_MIN: it may be open now. */
static int64_t
_vp_sched_worker_closed_until (const VpSched *sched, const VpWorkerState *worker, int64_t now_ms)
{
  if (!worker->is_known || !worker->is_ready || worker->is_leaving)
    return INT64_MAX;
  if (!worker->is_reachable && now_ms >= worker->unreachable_ms + sched->desc.suspect_ms)
    return INT64_MAX;
  if (worker->health == VP_HEALTH_TRIAL_RUNNING)
    return INT64_MAX;
  if (worker->health == VP_HEALTH_PROBATION)
    return worker->until_ms;
  return now_ms < worker->paused_ms ? worker->paused_ms : INT64_MIN;
}

void
_vp_sched_worker_refresh (VpSched *sched, VpWorkerState *worker, int64_t now_ms)
{
  bool was_open = vp_fit_is_open (sched->fit, worker->fit);
  bool is_suspect
      = !worker->is_reachable && now_ms >= worker->unreachable_ms + sched->desc.suspect_ms;
  int64_t until_ms, wake_ms;
  bool is_open;

  if (worker->health == VP_HEALTH_PROBATION && now_ms >= worker->until_ms)
    worker->health = VP_HEALTH_TRIAL;
  until_ms = _vp_sched_worker_closed_until (sched, worker, now_ms);
  is_open = until_ms == INT64_MIN;
  if (!is_open && worker->reservation != NULL)
    _vp_sched_reservation_free (sched, worker->reservation, now_ms);
  is_open = is_open && worker->reservation == NULL;
  vp_fit_set_open (sched->fit, worker->fit, is_open);
  if (is_open && !was_open)
    _vp_sched_worker_dirty (sched, worker);
  _vp_sched_worker_count (sched, worker, worker->is_known && worker->is_ready && !is_suspect);
  wake_ms = until_ms == INT64_MIN ? INT64_MAX : until_ms;
  if (!worker->is_reachable && !is_suspect)
    wake_ms = MIN (wake_ms, worker->unreachable_ms + sched->desc.suspect_ms);
  _vp_heap_remove (&sched->wakes, worker);
  if (wake_ms != INT64_MAX)
    _vp_heap_push (&sched->wakes, worker, wake_ms, worker->sequence);
}

/* True if the list says nothing new, as most of the time. */
static bool
_vp_sched_is_same (VpSched *sched, const VpWorkerState *worker, const VpVm *vm)
{
  return worker->is_known && worker->generation == vm->generation
         && worker->slot_count == vm->slot_count && worker->rack == _vp_sched_rack (sched, vm->rack)
         && (vm->state != VP_VM_LEAVING || worker->is_leaving)
         && memcmp (&worker->size, &vm->size, sizeof vm->size) == 0;
}

void
vp_sched_worker_update (VpSched *sched, const VpVm *vm, int64_t now_ms)
{
  VpWorkerState *worker = _vp_sched_worker (sched, vm->name);

  if (worker == NULL)
    worker = _vp_sched_worker_new (sched, vm->name);
  else if (_vp_sched_is_same (sched, worker, vm))
    return;
  if (worker->is_known && worker->generation != vm->generation) {
    /* Another machine under the same name: its health is its own. */
    worker->sequence = ++sched->worker_sequence;
    worker->health = VP_HEALTH_GOOD;
    worker->failure_count = worker->probations = worker->refusals = 0;
    worker->paused_ms = 0;
    worker->is_ready = worker->is_leaving = false;
  }
  _vp_sched_worker_count (sched, worker, false);
  worker->is_known = true;
  worker->generation = vm->generation;
  worker->size = vm->size;
  worker->slot_count = vm->slot_count;
  worker->rack = _vp_sched_rack (sched, vm->rack);
  /* The list lags behind what the worker itself reported, so leaving is never taken back. */
  worker->is_leaving = worker->is_leaving || vm->state == VP_VM_LEAVING;
  if (!vp_resources_fits (&worker->used, &worker->size)
      || worker->running_count > worker->slot_count)
    worker->may_be_over = true;
  if (vp_switch_is_off (VP_MECHANISM_FIT)) {
    VpResources unlimited = vm->size;
    vp_resources_scale (&unlimited, 4);
    vp_fit_resize (sched->fit, worker->fit, &unlimited, vm->slot_count * 4, worker->rack);
  } else {
    vp_fit_resize (sched->fit, worker->fit, &vm->size, vm->slot_count, worker->rack);
  }
  _vp_sched_worker_refresh (sched, worker, now_ms);
  _vp_sched_worker_dirty (sched, worker);
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
  worker->unreachable_ms = now_ms;
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
    bool is_cancelled = job->final == VP_TASK_CANCELLED;
    VpDecision notice;
    VpTaskState state;

    _vp_sched_decision (member, VP_DECISION_FAIL, &notice);
    if (ended != NULL)
      g_array_append_val (ended, attempt);
    state = _vp_sched_settle (sched, member, VP_END_LAPSED, true, now_ms);
    if (!vp_task_state_is_final (state))
      continue;
    notice.reason = is_cancelled ? VP_REASON_CANCELLED : VP_REASON_WORKER_LOST;
    g_array_append_val (sched->notices, notice);
  }
  _vp_sched_worker_free (sched, worker);
}

static void
_vp_sched_worker_forget (VpWorkerState *worker, VpTaskId task)
{
  for (uint32_t i = 0; i < worker->failure_count; i++) {
    if (!vp_task_id_equal (worker->failures[i], task))
      continue;
    worker->failures[i] = worker->failures[--worker->failure_count];
    return;
  }
}

/* The job failed on another worker too, so it is the job: takes back that it counted there. */
static void
_vp_sched_absolve (VpSched *sched, const VpJob *job, int64_t now_ms)
{
  for (uint32_t i = 0; i < job->failed_on_count; i++) {
    VpWorkerState *worker = _vp_sched_failed_on (sched, &job->failed_on[i]);

    if (worker == NULL)
      continue;
    _vp_sched_worker_forget (worker, job->id);
    if (worker->health == VP_HEALTH_PROBATION && worker->probations == 1
        && worker->failure_count < sched->desc.failures_to_probation) {
      worker->health = VP_HEALTH_GOOD;
      worker->probations = 0;
      _vp_sched_worker_refresh (sched, worker, now_ms);
    }
  }
}

/* Probation never takes more than half of the workers: when more fail, the cause is elsewhere. */
static bool
_vp_sched_may_probation (const VpSched *sched)
{
  uint32_t count = 0, known = 0;

  for (guint i = 0; i < sched->worker_list->len; i++) {
    const VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);

    known += worker != NULL && worker->is_known;
    count += worker != NULL && worker->is_known && worker->health != VP_HEALTH_GOOD;
  }
  return count < MAX (known / 2, 1);
}

static void
_vp_sched_probation (VpSched *sched, VpWorkerState *worker, int64_t now_ms)
{
  uint32_t step = MIN (worker->probations, VP_SCHED_PROBATION_STEPS);

  worker->health = VP_HEALTH_PROBATION;
  worker->probations++;
  worker->until_ms = now_ms + (sched->desc.probation_ms << step);
  _vp_sched_worker_refresh (sched, worker, now_ms);
}

void
_vp_sched_worker_ended (VpSched *sched,
                        VpWorkerState *worker,
                        VpMember *member,
                        VpTaskEnd end,
                        bool is_lost,
                        int64_t now_ms)
{
  VpJob *job = member->job;
  bool is_known_job = false;

  if (is_lost)
    return;
  if (end == VP_END_DONE) {
    worker->failure_count = worker->probations = 0;
    worker->health = VP_HEALTH_GOOD;
    _vp_sched_worker_refresh (sched, worker, now_ms);
    return;
  }
  if (end != VP_END_FAILED || member->stop != VP_STOP_NONE)
    return;
  for (uint32_t i = 0; i < job->failed_on_count; i++)
    is_known_job = is_known_job || job->failed_on[i].sequence == worker->sequence;
  if (!is_known_job && job->failed_on_count < VP_SCHED_FAILED_ON_MAX)
    job->failed_on[job->failed_on_count++] = (VpFailedOn){ worker->fit, worker->sequence };
  if (job->failed_on_count > 1) {
    _vp_sched_absolve (sched, job, now_ms);
    return;
  }
  _vp_sched_worker_forget (worker, job->id);
  if (worker->failure_count == VP_SCHED_FAILURES_MAX)
    worker->failure_count--;
  worker->failures[worker->failure_count++] = job->id;
  if (member->is_trial)
    _vp_sched_probation (sched, worker, now_ms);
  else if (worker->health == VP_HEALTH_GOOD
           && worker->failure_count >= sched->desc.failures_to_probation
           && _vp_sched_may_probation (sched))
    _vp_sched_probation (sched, worker, now_ms);
}

bool
_vp_sched_is_possible (const VpSched *sched, const VpResources *size, uint32_t gang_count)
{
  int64_t room = 0;
  bool is_any = false;

  for (guint i = 0; i < sched->worker_list->len; i++) {
    const VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);
    int64_t count;

    if (worker == NULL || !worker->is_known)
      continue;
    is_any = true;
    if (!vp_resources_fits (size, &worker->size))
      continue;
    count = worker->slot_count;
    if (size->cpu_milli > 0)
      count = MIN (count, worker->size.cpu_milli / size->cpu_milli);
    if (size->mem_mib > 0)
      count = MIN (count, worker->size.mem_mib / size->mem_mib);
    if (size->accel_count > 0)
      count = MIN (count, worker->size.accel_count / size->accel_count);
    room += count;
    if (room >= MAX (gang_count, 1))
      return true;
  }
  return !is_any;
}
