#include "vp-sched-private.h"

#include <math.h>
#include <stdlib.h>

/* A job that needs capacity, and on which grounds it preempts. */
typedef struct {
  const VpJob *job;
  VpReservationKind kind;
  double fair_usage;
  int64_t now_ms;
} VpPreemption;

typedef struct {
  VpWorkerState *worker;
  int64_t capacity;      /* members that fit once the worker is drained */
  double drain_fraction; /* part of @capacity that running tasks still use */
} VpCandidate;

double
_vp_sched_fair_usage (const VpSched *sched)
{
  int64_t shares = 0;

  for (guint i = 0; i < sched->team_list->len; i++) {
    const VpTeamState *team = g_ptr_array_index (sched->team_list, i);

    if (team->running_count > 0 || team->waiting_count > 0)
      shares += MAX (team->share, 1);
  }
  return shares > 0 ? 1.0 / (double)shares : 1.0;
}

static VpReservation *
_vp_sched_reserve (VpSched *sched,
                   VpJob *job,
                   VpReservationKind kind,
                   int64_t hold_ms,
                   int64_t now_ms)
{
  VpReservation *reservation = g_new0 (VpReservation, 1);

  _vp_sched_dequeue (sched, job);
  job->wait = VP_WAIT_RESERVATION;
  job->reservation = reservation;
  reservation->kind = kind;
  reservation->job = job;
  reservation->workers = g_ptr_array_new ();
  reservation->has_freed_capacity = true;
  reservation->expires_ms = now_ms + hold_ms;
  sched->reservation_counts[kind]++;
  g_ptr_array_add (sched->reservations, reservation);
  return reservation;
}

static void
_vp_sched_reserve_worker (VpSched *sched, VpReservation *reservation, VpWorkerState *worker)
{
  worker->reservation = reservation;
  g_ptr_array_add (reservation->workers, worker);
  vp_capacity_index_set_open (sched->capacity, worker->index_id, false);
}

/* Lets urgent jobs that could not preempt try again. */
static void
_vp_sched_retry_urgent (VpSched *sched)
{
  if (!sched->has_blocked_urgent)
    return;
  sched->has_blocked_urgent = false;
  for (guint j = sched->blocked_shapes->len; j-- > 0;) {
    VpShape *shape = g_ptr_array_index (sched->blocked_shapes, j);
    VpJobClass *class = shape->waiting_classes;

    while (class != NULL) {
      VpJobClass *next = class->next;

      if (class->band == VP_BAND_URGENT)
        _vp_sched_class_set_state (sched, class, VP_CLASS_READY);
      class = next;
    }
  }
}

void
_vp_sched_reservation_free (VpSched *sched, VpReservation *reservation, int64_t now_ms)
{
  VpJob *job = reservation->job;

  g_ptr_array_remove_fast (sched->reservations, reservation);
  sched->reservation_counts[reservation->kind]--;
  job->reservation = NULL;
  for (guint i = 0; i < reservation->workers->len; i++) {
    VpWorkerState *worker = g_ptr_array_index (reservation->workers, i);

    worker->reservation = NULL;
    _vp_sched_worker_refresh (sched, worker, now_ms);
  }
  if (job->wait == VP_WAIT_RESERVATION) {
    job->wait = VP_WAIT_NONE;
    if (job->queued_count > 0)
      _vp_sched_enqueue (sched, job, now_ms);
  }
  g_ptr_array_unref (reservation->workers);
  g_free (reservation);
  _vp_sched_retry_urgent (sched);
}

/* Number of members that fit in the free capacity and slots of a worker. */
static int64_t
_vp_sched_members_that_fit (const VpResources *free_resources,
                            int64_t free_slots,
                            const VpResources *size)
{
  int64_t count = free_slots;

  if (size->cpu_milli > 0)
    count = MIN (count, free_resources->cpu_milli / size->cpu_milli);
  if (size->mem_mib > 0)
    count = MIN (count, free_resources->mem_mib / size->mem_mib);
  if (size->accel_count > 0)
    count = MIN (count, free_resources->accel_count / size->accel_count);
  return MAX (count, 0);
}

/* Starts the reservation's job if it fits on the reserved workers. True if it was started. */
static bool
_vp_sched_reservation_fill (VpSched *sched,
                            VpReservation *reservation,
                            int64_t now_ms,
                            GArray *decisions)
{
  VpJob *job = reservation->job;
  VpResources need = _vp_sched_job_need (job);
  int64_t remaining = job->is_gang ? job->queued_count : 1;
  int64_t count = 0;

  if (!_vp_sched_grant_fits (job->team, &need))
    return false;
  for (guint i = 0; i < reservation->workers->len && count < remaining; i++) {
    VpWorkerState *worker = g_ptr_array_index (reservation->workers, i);
    VpResources free_resources
        = vp_capacity_index_free_resources (sched->capacity, worker->index_id);

    count += _vp_sched_members_that_fit (
        &free_resources, vp_capacity_index_free_slots (sched->capacity, worker->index_id),
        &job->size);
  }
  if (count < remaining)
    return false;
  for (guint i = 0; remaining > 0; i++) {
    VpWorkerState *worker = g_ptr_array_index (reservation->workers, i);

    while (remaining > 0
           && vp_capacity_index_fits (sched->capacity, worker->index_id, &job->size)) {
      _vp_sched_start (sched, job, worker, now_ms, decisions);
      remaining--;
    }
  }
  return true;
}

void
_vp_sched_reservations_run (VpSched *sched,
                            bool has_freed_workers,
                            int64_t now_ms,
                            GArray *decisions,
                            uint32_t decisions_limit)
{
  for (guint i = sched->reservations->len; i-- > 0;) {
    VpReservation *reservation = g_ptr_array_index (sched->reservations, i);
    VpJob *job = reservation->job;
    VpResources need = _vp_sched_job_need (job);
    bool is_used = false;

    if (decisions->len >= decisions_limit) {
      sched->has_more_work = true;
      return;
    }
    if (reservation->has_freed_capacity) {
      is_used = _vp_sched_reservation_fill (sched, reservation, now_ms, decisions);
      /* Each task that ends on the reserved workers is progress. They get no new tasks, so the
       * extension is bounded. */
      if (reservation->kind == VP_RESERVATION_STARVING && reservation->was_tried)
        reservation->expires_ms = now_ms + VP_SCHED_RESERVE_HOLD_MS;
    }
    reservation->has_freed_capacity = false;
    reservation->was_tried = true;
    if (!is_used && has_freed_workers && !job->is_gang && _vp_sched_grant_fits (job->team, &need)) {
      uint32_t index_id = _vp_sched_pick_worker (sched, job, NULL, 0, now_ms);

      if (index_id != VP_CAPACITY_INDEX_NONE) {
        _vp_sched_start (sched, job, _vp_sched_worker_by_index_id (sched, index_id), now_ms,
                         decisions);
        is_used = true;
      }
    }
    if (!is_used && now_ms >= reservation->expires_ms) {
      job->blocked_since_ms = now_ms; /* lets another starving job have its turn */
      is_used = true;
    }
    if (is_used)
      _vp_sched_reservation_free (sched, reservation, now_ms);
  }
}

/* True if a running member may be preempted for the job. */
static bool
_vp_sched_is_victim (const VpPreemption *preempt, const VpMember *member)
{
  const VpJob *job = member->job;
  const VpProfile *profile = &job->profile->profile;

  /* A checkpointed task is started again, so it must be repeatable. Gangs are left out, since all
   * their members would have to stop. */
  if (!profile->is_preemptible || !job->is_repeatable || job->is_gang
      || member->stop != VP_STOP_NONE || member->state != VP_TASK_RUNNING)
    return false;
  if (preempt->kind != VP_RESERVATION_SHARE
      && profile->priority < preempt->job->profile->profile.priority)
    return true;
  if (preempt->kind == VP_RESERVATION_URGENT)
    return false;
  return job->team != preempt->job->team
         && preempt->now_ms - member->started_ms >= VP_SCHED_PREEMPT_MIN_RUN_MS;
}

/* True if the team of a running member keeps its fair share without this member and the other
 * victims. Only resources that the job needs count: a team may hold most of a resource that others
 * don't ask for. */
static bool
_vp_sched_keeps_fair_share (const VpSched *sched,
                            const VpPreemption *preempt,
                            const VpMember *member,
                            VpMember *const *victims,
                            uint32_t count)
{
  const VpTeamState *team = member->job->team;
  const VpResources *need = &preempt->job->size;
  VpResources after = team->used;

  vp_resources_sub (&after, &team->stopping);
  vp_resources_sub (&after, &member->job->size);
  for (uint32_t i = 0; i < count; i++) {
    if (victims[i]->job->team == team)
      vp_resources_sub (&after, &victims[i]->job->size);
  }
  after.cpu_milli = need->cpu_milli > 0 ? after.cpu_milli : 0;
  after.mem_mib = need->mem_mib > 0 ? after.mem_mib : 0;
  after.accel_count = need->accel_count > 0 ? after.accel_count : 0;
  return vp_resources_dominant_share (&after, &sched->total)
         >= preempt->fair_usage * (double)team->share;
}

/* Collects victims on a worker, newest first, until the job fits. Returns their number, or 0 if
 * they don't free enough capacity. */
static uint32_t
_vp_sched_collect_victims (const VpSched *sched,
                           const VpPreemption *preempt,
                           const VpWorkerState *worker,
                           VpMember *victims[VP_SCHED_PREEMPT_VICTIMS_MAX])
{
  const VpResources *need = &preempt->job->size;
  VpResources free_resources = vp_capacity_index_free_resources (sched->capacity, worker->index_id);
  int64_t free_slots = vp_capacity_index_free_slots (sched->capacity, worker->index_id);
  uint32_t count = 0;

  for (VpMember *member = worker->members; member != NULL; member = member->next_of_worker) {
    if (free_slots > 0 && vp_resources_fits (need, &free_resources))
      break;
    if (!_vp_sched_is_victim (preempt, member))
      continue;
    if (preempt->kind == VP_RESERVATION_SHARE
        && !_vp_sched_keeps_fair_share (sched, preempt, member, victims, count))
      continue;
    if (count == VP_SCHED_PREEMPT_VICTIMS_MAX)
      return 0;
    victims[count++] = member;
    vp_resources_add (&free_resources, &member->job->size);
    free_slots++;
  }
  return free_slots > 0 && vp_resources_fits (need, &free_resources) ? count : 0;
}

static bool
_vp_sched_may_preempt_on (const VpSched *sched,
                          const VpPreemption *preempt,
                          const VpWorkerState *worker)
{
  const VpResources *need = &preempt->job->size;

  if (worker != NULL && worker->capacity.accel_count > 0 && need->accel_count == 0
      && preempt->kind == VP_RESERVATION_SHARE
      && _vp_sched_are_accels_reserved (sched, preempt->now_ms))
    return false;
  return worker != NULL && worker->reservation == NULL && worker->running_count > 0
         && worker->is_known && worker->is_ready && worker->is_reachable && !worker->is_leaving
         && worker->health == VP_HEALTH_GOOD && vp_resources_fits (need, &worker->capacity);
}

/* Finds the worker on which the fewest tasks have to be preempted, among a bounded number of
 * workers. */
static VpWorkerState *
_vp_sched_find_worker_to_preempt (VpSched *sched,
                                  const VpPreemption *preempt,
                                  VpMember *victims[VP_SCHED_PREEMPT_VICTIMS_MAX],
                                  uint32_t *count)
{
  guint total = sched->worker_list->len;
  VpWorkerState *best = NULL;

  *count = VP_SCHED_PREEMPT_VICTIMS_MAX + 1;
  for (guint i = 0; i < MIN (total, VP_SCHED_PREEMPT_WORKERS_MAX) && *count > 1; i++) {
    VpMember *found[VP_SCHED_PREEMPT_VICTIMS_MAX];
    VpWorkerState *worker;
    uint32_t next;

    sched->preempt_cursor = (sched->preempt_cursor + 1) % total;
    worker = g_ptr_array_index (sched->worker_list, sched->preempt_cursor);
    if (!_vp_sched_may_preempt_on (sched, preempt, worker))
      continue;
    next = _vp_sched_collect_victims (sched, preempt, worker, found);
    if (next == 0 || next >= *count)
      continue;
    *count = next;
    best = worker;
    for (uint32_t j = 0; j < next; j++)
      victims[j] = found[j];
  }
  return best;
}

bool
_vp_sched_preempt_for (VpSched *sched, VpJob *job, VpReservationKind kind, int64_t now_ms)
{
  uint32_t reservations_max = kind == VP_RESERVATION_URGENT ? VP_SCHED_URGENT_RESERVATIONS_MAX
                                                            : VP_SCHED_SHARE_RESERVATIONS_MAX;
  VpPreemption preempt = { .job = job, .kind = kind, .now_ms = now_ms };
  VpMember *victims[VP_SCHED_PREEMPT_VICTIMS_MAX];
  VpReservation *reservation;
  VpWorkerState *worker;
  uint32_t count;

  if (job->is_gang || sched->desc.is_fifo || sched->reservation_counts[kind] >= reservations_max
      || sched->worker_list->len == 0)
    return false;
  preempt.fair_usage = _vp_sched_fair_usage (sched);
  worker = _vp_sched_find_worker_to_preempt (sched, &preempt, victims, &count);
  if (worker == NULL)
    return false;
  reservation = _vp_sched_reserve (sched, job, kind, VP_SCHED_PREEMPT_HOLD_MS, now_ms);
  _vp_sched_reserve_worker (sched, reservation, worker);
  for (uint32_t i = 0; i < count; i++)
    _vp_sched_request_stop (sched, victims[i], VP_STOP_PREEMPT, true, now_ms);
  return true;
}

/* True if @need will fit in the team's grant once its stopping tasks have ended and @freed is
 * released too. */
static bool
_vp_sched_grant_will_fit (const VpTeamState *team,
                          const VpResources *need,
                          const VpResources *freed)
{
  VpTeamState after = { .used = team->used, .grant = team->grant };

  vp_resources_sub (&after.used, &team->stopping);
  vp_resources_sub (&after.used, freed);
  return _vp_sched_grant_fits (&after, need);
}

void
_vp_sched_preempt_own_team (VpSched *sched, const VpJobClass *class, int64_t now_ms)
{
  const VpTeamState *team = class->team;
  const VpJob *job = _vp_sched_class_head (class);
  VpPreemption preempt = { .job = job, .kind = VP_RESERVATION_URGENT, .now_ms = now_ms };
  VpMember *victims[VP_SCHED_PREEMPT_OWN_TEAM_MAX];
  VpResources need = job->size, freed = { 0 };
  uint32_t count = 0;

  if (job->is_gang || sched->desc.is_fifo)
    return;
  vp_resources_scale (&need, MIN (class->queue.count, VP_SCHED_PREEMPT_OWN_TEAM_MAX));
  for (VpMember *member = team->members; member != NULL; member = member->next_of_team) {
    if (count == VP_SCHED_PREEMPT_OWN_TEAM_MAX || _vp_sched_grant_will_fit (team, &need, &freed))
      break;
    if (!_vp_sched_is_victim (&preempt, member))
      continue;
    victims[count++] = member;
    vp_resources_add (&freed, &member->job->size);
  }
  if (!_vp_sched_grant_will_fit (team, &job->size, &freed))
    return; /* the grant would still be too small */
  for (uint32_t i = 0; i < count; i++)
    _vp_sched_request_stop (sched, victims[i], VP_STOP_PREEMPT, true, now_ms);
}

static int
_vp_sched_compare_candidates (const void *a, const void *b)
{
  const VpCandidate *left = a, *right = b;

  if (left->drain_fraction != right->drain_fraction)
    return left->drain_fraction < right->drain_fraction ? -1 : 1;
  return left->worker->index_id < right->worker->index_id ? -1 : 1;
}

/* Capacity of a worker once all tasks but services have ended. Services may never end. */
static VpCandidate
_vp_sched_candidate (const VpSched *sched, const VpJob *job, VpWorkerState *worker)
{
  VpResources free_resources = vp_capacity_index_free_resources (sched->capacity, worker->index_id);
  int64_t free_slots = vp_capacity_index_free_slots (sched->capacity, worker->index_id);
  int64_t fitting_now = _vp_sched_members_that_fit (&free_resources, free_slots, &job->size);
  VpCandidate out = { .worker = worker };

  for (const VpMember *member = worker->members; member != NULL; member = member->next_of_worker) {
    if (member->job->profile->profile.kind == VP_PROFILE_SERVICE)
      continue;
    vp_resources_add (&free_resources, &member->job->size);
    free_slots++;
  }
  out.capacity = _vp_sched_members_that_fit (&free_resources, free_slots, &job->size);
  if (out.capacity > 0)
    out.drain_fraction = (double)(out.capacity - fitting_now) / (double)out.capacity;
  return out;
}

/* Preempts tasks on a worker reserved for a starving job until @wanted members fit: tasks of lower
 * priority, and tasks of teams that stay above their share. */
static void
_vp_sched_drain_worker (VpSched *sched,
                        const VpJob *job,
                        VpWorkerState *worker,
                        int64_t wanted,
                        int64_t now_ms)
{
  VpPreemption preempt = { .job = job, .kind = VP_RESERVATION_STARVING, .now_ms = now_ms };
  VpResources free_resources = vp_capacity_index_free_resources (sched->capacity, worker->index_id);
  int64_t free_slots = vp_capacity_index_free_slots (sched->capacity, worker->index_id);

  preempt.fair_usage = _vp_sched_fair_usage (sched);
  for (VpMember *member = worker->members; member != NULL; member = member->next_of_worker) {
    bool is_lower = member->job->profile->profile.priority < job->profile->profile.priority;

    if (_vp_sched_members_that_fit (&free_resources, free_slots, &job->size) >= wanted)
      return;
    if (!_vp_sched_is_victim (&preempt, member)
        || (!is_lower && !_vp_sched_keeps_fair_share (sched, &preempt, member, NULL, 0)))
      continue;
    _vp_sched_request_stop (sched, member, VP_STOP_PREEMPT, true, now_ms);
    vp_resources_add (&free_resources, &member->job->size);
    free_slots++;
  }
}

/* Reserves the workers that need to free the least for all members of the job to fit. */
static bool
_vp_sched_reserve_starving (VpSched *sched, VpJob *job, int64_t now_ms)
{
  g_autofree VpCandidate *candidates = g_new (VpCandidate, sched->worker_list->len + 1);
  int64_t remaining = job->is_gang ? job->queued_count : 1;
  bool are_accels_reserved = _vp_sched_are_accels_reserved (sched, now_ms);
  VpReservation *reservation;
  size_t count = 0, used = 0;

  for (guint i = 0; i < sched->worker_list->len; i++) {
    VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);

    if (worker == NULL || !vp_capacity_index_is_open (sched->capacity, worker->index_id)
        || worker->health != VP_HEALTH_GOOD
        || (are_accels_reserved && worker->capacity.accel_count > 0 && job->size.accel_count == 0))
      continue;
    candidates[count] = _vp_sched_candidate (sched, job, worker);
    if (candidates[count].capacity > 0)
      count++;
  }
  qsort (candidates, count, sizeof *candidates, _vp_sched_compare_candidates);
  for (; used < count && remaining > 0; used++) {
    candidates[used].capacity = MIN (candidates[used].capacity, remaining);
    remaining -= candidates[used].capacity;
  }
  if (remaining > 0)
    return false;
  reservation
      = _vp_sched_reserve (sched, job, VP_RESERVATION_STARVING, VP_SCHED_RESERVE_HOLD_MS, now_ms);
  for (size_t i = 0; i < used; i++) {
    _vp_sched_reserve_worker (sched, reservation, candidates[i].worker);
    _vp_sched_drain_worker (sched, job, candidates[i].worker, candidates[i].capacity, now_ms);
  }
  return true;
}

static bool
_vp_sched_is_below_share (const VpSched *sched, const VpJob *job, double fair_usage)
{
  VpResources after = job->team->used;
  VpResources need = _vp_sched_job_need (job);

  vp_resources_add (&after, &need);
  return vp_resources_dominant_share (&after, &sched->total)
         <= fair_usage * (double)job->team->share;
}

/* Preempts for the first jobs of a class whose team is below its share. */
static void
_vp_sched_preempt_for_class (VpSched *sched, VpJobClass *class, double fair_usage, int64_t now_ms)
{
  VpJob *job = _vp_sched_class_head (class);
  int64_t blocked_since_ms = job->blocked_since_ms;

  while (_vp_sched_is_below_share (sched, job, fair_usage)) {
    bool is_last = class->queue.count == 1;

    if (!_vp_sched_preempt_for (sched, job, VP_RESERVATION_SHARE, now_ms) || is_last)
      return;
    /* The next job has waited behind it for the same capacity. */
    job = _vp_sched_class_head (class);
    job->blocked_since_ms = blocked_since_ms;
  }
}

/* True if the first job of a class has been blocked for @wait_ms, its team is not above its share
 * and its grant has room. */
static bool
_vp_sched_is_class_overdue (VpJobClass *class, int64_t wait_ms, double fair_usage, int64_t now_ms)
{
  VpJob *job = _vp_sched_class_head (class);
  VpResources need = _vp_sched_job_need (job);

  if (class->team->weighted_usage > fair_usage)
    job->blocked_since_ms = 0;
  return job->blocked_since_ms != 0 && now_ms - job->blocked_since_ms >= wait_ms
         && _vp_sched_grant_fits (class->team, &need);
}

void
_vp_sched_scan_starving (VpSched *sched, int64_t now_ms)
{
  g_autoptr (GPtrArray) overdue = g_ptr_array_new ();
  double fair_usage = _vp_sched_fair_usage (sched);
  VpJob *starving = NULL;

  sched->next_scan_ms = now_ms + VP_SCHED_STARVATION_SCAN_MS;
  for (guint i = 0; i < sched->blocked_shapes->len; i++) {
    VpShape *shape = g_ptr_array_index (sched->blocked_shapes, i);

    for (VpJobClass *class = shape->waiting_classes; class != NULL; class = class->next) {
      VpJob *job = _vp_sched_class_head (class);

      if (!_vp_sched_is_class_overdue (class, VP_SCHED_SHARE_PREEMPT_AFTER_MS, fair_usage, now_ms))
        continue;
      if (now_ms - job->blocked_since_ms >= VP_SCHED_RESERVE_AFTER_MS
          && (starving == NULL || job->blocked_since_ms < starving->blocked_since_ms))
        starving = job;
      if (overdue->len < VP_SCHED_SHARE_RESERVATIONS_MAX)
        g_ptr_array_add (overdue, class);
    }
  }
  if (starving != NULL && sched->reservation_counts[VP_RESERVATION_STARVING] == 0) {
    g_ptr_array_remove_fast (overdue, starving->class);
    _vp_sched_reserve_starving (sched, starving, now_ms);
  }
  for (guint i = 0; i < overdue->len; i++)
    _vp_sched_preempt_for_class (sched, g_ptr_array_index (overdue, i), fair_usage, now_ms);
  /* Tasks that were starting at the last try may be running now, so that they can be preempted. */
  _vp_sched_retry_urgent (sched);
}

static bool
_vp_sched_exceeds (const VpResources *used, const VpResources *grant)
{
  return used->cpu_milli > grant->cpu_milli || used->mem_mib > grant->mem_mib
         || used->accel_count > grant->accel_count;
}

/* True if the member uses a resource of which the team uses more than its grant. */
static bool
_vp_sched_reduces_excess (const VpMember *member, const VpResources *used, const VpResources *grant)
{
  const VpResources *size = &member->job->size;

  return (used->cpu_milli > grant->cpu_milli && size->cpu_milli > 0)
         || (used->mem_mib > grant->mem_mib && size->mem_mib > 0)
         || (used->accel_count > grant->accel_count && size->accel_count > 0);
}

/* Stops tasks of a team until it uses no more than its grant: preemptible tasks with a checkpoint
 * in one pass, and the other tasks in the next one. */
static void
_vp_sched_enforce_team_grant (VpSched *sched,
                              VpTeamState *team,
                              bool is_preemptible_pass,
                              int64_t now_ms)
{
  /* Stopping the newest tasks first loses the least work. */
  for (VpMember *member = team->members; member != NULL; member = member->next_of_team) {
    VpJob *job = member->job;
    VpResources rest = team->used;
    bool is_preemptible = job->profile->profile.is_preemptible && job->is_repeatable;

    vp_resources_sub (&rest, &team->stopping);
    if (!_vp_sched_exceeds (&rest, &team->grant))
      return;
    if (member->stop != VP_STOP_NONE || is_preemptible != is_preemptible_pass
        || !_vp_sched_reduces_excess (member, &rest, &team->grant))
      continue;
    if (!job->is_gang) {
      _vp_sched_request_stop (sched, member, VP_STOP_GRANT, is_preemptible_pass, now_ms);
      continue;
    }
    for (uint32_t i = 0; i < job->member_count; i++)
      _vp_sched_request_stop (sched, &job->members[i], VP_STOP_GRANT, is_preemptible_pass, now_ms);
  }
}

void
_vp_sched_enforce_grants (VpSched *sched, int64_t now_ms)
{
  if (!sched->may_exceed_grants)
    return;
  sched->may_exceed_grants = false;
  for (guint i = 0; i < sched->team_list->len; i++) {
    VpTeamState *team = g_ptr_array_index (sched->team_list, i);

    _vp_sched_enforce_team_grant (sched, team, true, now_ms);
    _vp_sched_enforce_team_grant (sched, team, false, now_ms);
  }
}
