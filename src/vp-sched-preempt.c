#include "vp-sched-private.h"

#include <math.h>
#include <stdlib.h>

/* What a job may do to others to get room. */
typedef struct {
  const VpJob *job;
  VpReserve kind;
  double fair;
  int64_t now_ms;
} VpPreempt;

typedef struct {
  VpWorkerState *worker;
  int64_t capacity; /* members that fit once it is drained */
  double drain;     /* part of the worker that has to end first */
} VpCandidate;

double
_vp_sched_fair_fraction (const VpSched *sched)
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
_vp_sched_reserve (VpSched *sched, VpJob *job, VpReserve kind, int64_t hold_ms, int64_t now_ms)
{
  VpReservation *reservation = g_new0 (VpReservation, 1);

  _vp_sched_dequeue (sched, job);
  job->wait = VP_WAIT_RESERVE;
  job->reservation = reservation;
  reservation->kind = kind;
  reservation->job = job;
  reservation->workers = g_ptr_array_new ();
  reservation->is_dirty = true;
  reservation->expires_ms = now_ms + hold_ms;
  sched->reserve_counts[kind]++;
  g_ptr_array_add (sched->reservations, reservation);
  return reservation;
}

static void
_vp_sched_reserve_worker (VpSched *sched, VpReservation *reservation, VpWorkerState *worker)
{
  worker->reservation = reservation;
  g_ptr_array_add (reservation->workers, worker);
  vp_fit_set_open (sched->fit, worker->fit, false);
}

/* Urgent work that had no reservation may get one now. */
static void
_vp_sched_retry_urgent (VpSched *sched)
{
  if (!sched->has_unfit_urgent)
    return;
  sched->has_unfit_urgent = false;
  for (guint j = sched->blocked->len; j-- > 0;) {
    VpShape *shape = g_ptr_array_index (sched->blocked, j);
    VpClass *class = shape->waiting;

    while (class != NULL) {
      VpClass *next = class->next;

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
  sched->reserve_counts[reservation->kind]--;
  job->reservation = NULL;
  for (guint i = 0; i < reservation->workers->len; i++) {
    VpWorkerState *worker = g_ptr_array_index (reservation->workers, i);

    worker->reservation = NULL;
    _vp_sched_worker_refresh (sched, worker, now_ms);
  }
  if (job->wait == VP_WAIT_RESERVE) {
    job->wait = VP_WAIT_NOT;
    if (job->queued_count > 0)
      _vp_sched_enqueue (sched, job, now_ms);
  }
  g_ptr_array_unref (reservation->workers);
  g_free (reservation);
  _vp_sched_retry_urgent (sched);
}

/* How many more members fit on the worker as it is. */
static int64_t
_vp_sched_members_that_fit (const VpResources *room, int64_t slots, const VpResources *size)
{
  int64_t count = slots;

  if (size->cpu_milli > 0)
    count = MIN (count, room->cpu_milli / size->cpu_milli);
  if (size->mem_mib > 0)
    count = MIN (count, room->mem_mib / size->mem_mib);
  if (size->accel_count > 0)
    count = MIN (count, room->accel_count / size->accel_count);
  return MAX (count, 0);
}

/* Starts what waits for the reservation if it fits on its workers. True if it is used up. */
static bool
_vp_sched_reservation_fill (VpSched *sched,
                            VpReservation *reservation,
                            int64_t now_ms,
                            GArray *decisions)
{
  VpJob *job = reservation->job;
  VpResources need = _vp_sched_job_need (job);
  int64_t due = job->is_gang ? job->queued_count : 1;
  int64_t count = 0;

  if (!_vp_sched_grant_fits (job->team, &need))
    return false;
  for (guint i = 0; i < reservation->workers->len && count < due; i++) {
    VpWorkerState *worker = g_ptr_array_index (reservation->workers, i);
    VpResources room = vp_fit_room (sched->fit, worker->fit);

    count += _vp_sched_members_that_fit (&room, vp_fit_slots (sched->fit, worker->fit), &job->size);
  }
  if (count < due)
    return false;
  for (guint i = 0; due > 0; i++) {
    VpWorkerState *worker = g_ptr_array_index (reservation->workers, i);

    while (due > 0 && vp_fit_has_room (sched->fit, worker->fit, &job->size)) {
      _vp_sched_start (sched, job, worker, now_ms, decisions);
      due--;
    }
  }
  return true;
}

void
_vp_sched_reservations_run (VpSched *sched,
                            bool is_room,
                            int64_t now_ms,
                            GArray *decisions,
                            uint32_t end)
{
  for (guint i = sched->reservations->len; i-- > 0;) {
    VpReservation *reservation = g_ptr_array_index (sched->reservations, i);
    VpJob *job = reservation->job;
    VpResources need = _vp_sched_job_need (job);
    bool is_used = false;

    if (decisions->len >= end) {
      sched->is_more = true;
      return;
    }
    if (reservation->is_dirty) {
      is_used = _vp_sched_reservation_fill (sched, reservation, now_ms, decisions);
      /* Each end on closed workers is progress, and there are only so many left. */
      if (reservation->kind == VP_RESERVE_STARVING && reservation->is_tried)
        reservation->expires_ms = now_ms + VP_SCHED_RESERVE_HOLD_MS;
    }
    reservation->is_dirty = false;
    reservation->is_tried = true;
    if (!is_used && is_room && !job->is_gang && _vp_sched_grant_fits (job->team, &need)) {
      uint32_t fit = _vp_sched_pick (sched, job, NULL, 0, now_ms);

      if (fit != VP_FIT_NONE) {
        _vp_sched_start (sched, job, _vp_sched_worker_of_fit (sched, fit), now_ms, decisions);
        is_used = true;
      }
    }
    if (!is_used && now_ms >= reservation->expires_ms) {
      job->blocked_ms = now_ms; /* the next starving work gets its turn */
      is_used = true;
    }
    if (is_used)
      _vp_sched_reservation_free (sched, reservation, now_ms);
  }
}

/* True if the running member may be checkpointed for the job. */
static bool
_vp_sched_is_victim (const VpPreempt *preempt, const VpMember *member)
{
  const VpJob *job = member->job;
  const VpProfile *profile = &job->profile->profile;

  /* A checkpointed task is started again, so it must be repeatable; a gang would have to go as a
   * whole. */
  if (!profile->is_preemptible || !job->is_repeatable || job->is_gang
      || member->stop != VP_STOP_NONE || member->state != VP_TASK_RUNNING)
    return false;
  if (preempt->kind != VP_RESERVE_SHARE
      && profile->priority < preempt->job->profile->profile.priority)
    return true;
  if (preempt->kind == VP_RESERVE_URGENT)
    return false;
  return job->team != preempt->job->team
         && preempt->now_ms - member->started_ms >= VP_SCHED_PREEMPT_MIN_RUN_MS;
}

/* True if the team of a running member keeps its own share without it and the other victims. Only
 * what the job needs counts: a team may hold most of a resource that others don't ask for. */
static bool
_vp_sched_keeps_share (const VpSched *sched,
                       const VpPreempt *preempt,
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
  return vp_resources_dominant_share (&after, &sched->total) >= preempt->fair * (double)team->share;
}

/* Collects victims on a worker, youngest first, until the job fits. Returns their number, or 0 if
 * they don't free enough. */
static uint32_t
_vp_sched_victims (const VpSched *sched,
                   const VpPreempt *preempt,
                   const VpWorkerState *worker,
                   VpMember *victims[VP_SCHED_PREEMPT_VICTIMS])
{
  const VpResources *need = &preempt->job->size;
  VpResources room = vp_fit_room (sched->fit, worker->fit);
  int64_t slots = vp_fit_slots (sched->fit, worker->fit);
  uint32_t count = 0;

  for (VpMember *member = worker->members; member != NULL; member = member->next_of_worker) {
    if (slots > 0 && vp_resources_fits (need, &room))
      break;
    if (!_vp_sched_is_victim (preempt, member))
      continue;
    if (preempt->kind == VP_RESERVE_SHARE
        && !_vp_sched_keeps_share (sched, preempt, member, victims, count))
      continue;
    if (count == VP_SCHED_PREEMPT_VICTIMS)
      return 0;
    victims[count++] = member;
    vp_resources_add (&room, &member->job->size);
    slots++;
  }
  return slots > 0 && vp_resources_fits (need, &room) ? count : 0;
}

static bool
_vp_sched_may_preempt_on (const VpSched *sched,
                          const VpPreempt *preempt,
                          const VpWorkerState *worker)
{
  const VpResources *need = &preempt->job->size;

  if (worker != NULL && worker->size.accel_count > 0 && need->accel_count == 0
      && preempt->kind == VP_RESERVE_SHARE && _vp_sched_is_accel_guarded (sched, preempt->now_ms))
    return false;
  return worker != NULL && worker->reservation == NULL && worker->running_count > 0
         && worker->is_known && worker->is_ready && worker->is_reachable && !worker->is_leaving
         && worker->health == VP_HEALTH_GOOD && vp_resources_fits (need, &worker->size);
}

/* The worker on which the fewest tasks have to go, among a bounded number of them. */
static VpWorkerState *
_vp_sched_preempt_worker (VpSched *sched,
                          const VpPreempt *preempt,
                          VpMember *victims[VP_SCHED_PREEMPT_VICTIMS],
                          uint32_t *count)
{
  guint total = sched->worker_list->len;
  VpWorkerState *best = NULL;

  *count = VP_SCHED_PREEMPT_VICTIMS + 1;
  for (guint i = 0; i < MIN (total, VP_SCHED_PREEMPT_WORKERS) && *count > 1; i++) {
    VpMember *found[VP_SCHED_PREEMPT_VICTIMS];
    VpWorkerState *worker;
    uint32_t next;

    sched->preempt_cursor = (sched->preempt_cursor + 1) % total;
    worker = g_ptr_array_index (sched->worker_list, sched->preempt_cursor);
    if (!_vp_sched_may_preempt_on (sched, preempt, worker))
      continue;
    next = _vp_sched_victims (sched, preempt, worker, found);
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
_vp_sched_preempt_for (VpSched *sched, VpJob *job, VpReserve kind, int64_t now_ms)
{
  uint32_t most
      = kind == VP_RESERVE_URGENT ? VP_SCHED_URGENT_RESERVATIONS : VP_SCHED_SHARE_RESERVATIONS;
  VpPreempt preempt = { .job = job, .kind = kind, .now_ms = now_ms };
  VpMember *victims[VP_SCHED_PREEMPT_VICTIMS];
  VpReservation *reservation;
  VpWorkerState *worker;
  uint32_t count;

  if (job->is_gang || sched->desc.is_fifo || sched->reserve_counts[kind] >= most
      || sched->worker_list->len == 0)
    return false;
  preempt.fair = _vp_sched_fair_fraction (sched);
  worker = _vp_sched_preempt_worker (sched, &preempt, victims, &count);
  if (worker == NULL)
    return false;
  reservation = _vp_sched_reserve (sched, job, kind, VP_SCHED_PREEMPT_HOLD_MS, now_ms);
  _vp_sched_reserve_worker (sched, reservation, worker);
  for (uint32_t i = 0; i < count; i++)
    _vp_sched_stop (sched, victims[i], VP_STOP_PREEMPT, true, now_ms);
  return true;
}

/* True if the team's grant will have room for @need once its stopping tasks have ended and @freed
 * is free too. */
static bool
_vp_sched_will_fit (const VpTeamState *team, const VpResources *need, const VpResources *freed)
{
  VpTeamState after = { .used = team->used, .grant = team->grant };

  vp_resources_sub (&after.used, &team->stopping);
  vp_resources_sub (&after.used, freed);
  return _vp_sched_grant_fits (&after, need);
}

void
_vp_sched_preempt_own (VpSched *sched, const VpClass *class, int64_t now_ms)
{
  const VpTeamState *team = class->team;
  const VpJob *job = _vp_sched_class_head (class);
  VpPreempt preempt = { .job = job, .kind = VP_RESERVE_URGENT, .now_ms = now_ms };
  VpMember *victims[VP_SCHED_PREEMPT_OWN];
  VpResources need = job->size, freed = { 0 };
  uint32_t count = 0;

  if (job->is_gang || sched->desc.is_fifo)
    return;
  vp_resources_scale (&need, MIN (class->queue.count, VP_SCHED_PREEMPT_OWN));
  for (VpMember *member = team->members; member != NULL; member = member->next_of_team) {
    if (count == VP_SCHED_PREEMPT_OWN || _vp_sched_will_fit (team, &need, &freed))
      break;
    if (!_vp_sched_is_victim (&preempt, member))
      continue;
    victims[count++] = member;
    vp_resources_add (&freed, &member->job->size);
  }
  if (!_vp_sched_will_fit (team, &job->size, &freed))
    return; /* it would not help */
  for (uint32_t i = 0; i < count; i++)
    _vp_sched_stop (sched, victims[i], VP_STOP_PREEMPT, true, now_ms);
}

static int
_vp_sched_compare_candidates (const void *a, const void *b)
{
  const VpCandidate *left = a, *right = b;

  if (left->drain != right->drain)
    return left->drain < right->drain ? -1 : 1;
  return left->worker->fit < right->worker->fit ? -1 : 1;
}

/* Room of a worker once all but its services have ended; services may never end. */
static VpCandidate
_vp_sched_candidate (const VpSched *sched, const VpJob *job, VpWorkerState *worker)
{
  VpResources room = vp_fit_room (sched->fit, worker->fit);
  int64_t slots = vp_fit_slots (sched->fit, worker->fit);
  int64_t now_count = _vp_sched_members_that_fit (&room, slots, &job->size);
  VpCandidate out = { .worker = worker };

  for (const VpMember *member = worker->members; member != NULL; member = member->next_of_worker) {
    if (member->job->profile->profile.kind == VP_PROFILE_SERVICE)
      continue;
    vp_resources_add (&room, &member->job->size);
    slots++;
  }
  out.capacity = _vp_sched_members_that_fit (&room, slots, &job->size);
  if (out.capacity > 0)
    out.drain = (double)(out.capacity - now_count) / (double)out.capacity;
  return out;
}

/* Checkpoints what may be preempted for starving work on a worker reserved for it, until @wanted
 * members fit: tasks of lower priority, and of teams that stay above their share. */
static void
_vp_sched_drain (VpSched *sched,
                 const VpJob *job,
                 VpWorkerState *worker,
                 int64_t wanted,
                 int64_t now_ms)
{
  VpPreempt preempt = { .job = job, .kind = VP_RESERVE_STARVING, .now_ms = now_ms };
  VpResources room = vp_fit_room (sched->fit, worker->fit);
  int64_t slots = vp_fit_slots (sched->fit, worker->fit);

  preempt.fair = _vp_sched_fair_fraction (sched);
  for (VpMember *member = worker->members; member != NULL; member = member->next_of_worker) {
    bool is_lower = member->job->profile->profile.priority < job->profile->profile.priority;

    if (_vp_sched_members_that_fit (&room, slots, &job->size) >= wanted)
      return;
    if (!_vp_sched_is_victim (&preempt, member)
        || (!is_lower && !_vp_sched_keeps_share (sched, &preempt, member, NULL, 0)))
      continue;
    _vp_sched_stop (sched, member, VP_STOP_PREEMPT, true, now_ms);
    vp_resources_add (&room, &member->job->size);
    slots++;
  }
}

/* Reserves the workers that are nearest to having room for all of the job. */
static bool
_vp_sched_reserve_starving (VpSched *sched, VpJob *job, int64_t now_ms)
{
  g_autofree VpCandidate *candidates = g_new (VpCandidate, sched->worker_list->len + 1);
  int64_t due = job->is_gang ? job->queued_count : 1;
  bool is_guarded = _vp_sched_is_accel_guarded (sched, now_ms);
  VpReservation *reservation;
  size_t count = 0, used = 0;

  for (guint i = 0; i < sched->worker_list->len; i++) {
    VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);

    if (worker == NULL || !vp_fit_is_open (sched->fit, worker->fit)
        || worker->health != VP_HEALTH_GOOD
        || (is_guarded && worker->size.accel_count > 0 && job->size.accel_count == 0))
      continue;
    candidates[count] = _vp_sched_candidate (sched, job, worker);
    if (candidates[count].capacity > 0)
      count++;
  }
  qsort (candidates, count, sizeof *candidates, _vp_sched_compare_candidates);
  for (; used < count && due > 0; used++) {
    candidates[used].capacity = MIN (candidates[used].capacity, due);
    due -= candidates[used].capacity;
  }
  if (due > 0)
    return false;
  reservation
      = _vp_sched_reserve (sched, job, VP_RESERVE_STARVING, VP_SCHED_RESERVE_HOLD_MS, now_ms);
  for (size_t i = 0; i < used; i++) {
    _vp_sched_reserve_worker (sched, reservation, candidates[i].worker);
    _vp_sched_drain (sched, job, candidates[i].worker, candidates[i].capacity, now_ms);
  }
  return true;
}

static bool
_vp_sched_is_below_share (const VpSched *sched, const VpJob *job, double fair)
{
  VpResources after = job->team->used;
  VpResources need = _vp_sched_job_need (job);

  vp_resources_add (&after, &need);
  return vp_resources_dominant_share (&after, &sched->total) <= fair * (double)job->team->share;
}

/* Preempts for the first jobs of a class that waits below its team's share. */
static void
_vp_sched_preempt_for_class (VpSched *sched, VpClass *class, double fair, int64_t now_ms)
{
  VpJob *job = _vp_sched_class_head (class);
  int64_t blocked_ms = job->blocked_ms;

  while (_vp_sched_is_below_share (sched, job, fair)) {
    bool is_last = class->queue.count == 1;

    if (!_vp_sched_preempt_for (sched, job, VP_RESERVE_SHARE, now_ms) || is_last)
      return;
    /* The next one has waited behind it for the same room. */
    job = _vp_sched_class_head (class);
    job->blocked_ms = blocked_ms;
  }
}

/* Class of a shape that waits below its team's share for longer than @wait_ms. */
static bool
_vp_sched_is_overdue (VpClass *class, int64_t wait_ms, double fair, int64_t now_ms)
{
  VpJob *job = _vp_sched_class_head (class);
  VpResources need = _vp_sched_job_need (job);

  if (class->team->fraction > fair)
    job->blocked_ms = 0;
  return job->blocked_ms != 0 && now_ms - job->blocked_ms >= wait_ms
         && _vp_sched_grant_fits (class->team, &need);
}

void
_vp_sched_scan (VpSched *sched, int64_t now_ms)
{
  g_autoptr (GPtrArray) overdue = g_ptr_array_new ();
  double fair = _vp_sched_fair_fraction (sched);
  VpJob *starving = NULL;

  sched->scan_ms = now_ms + VP_SCHED_SCAN_MS;
  for (guint i = 0; i < sched->blocked->len; i++) {
    VpShape *shape = g_ptr_array_index (sched->blocked, i);

    for (VpClass *class = shape->waiting; class != NULL; class = class->next) {
      VpJob *job = _vp_sched_class_head (class);

      if (!_vp_sched_is_overdue (class, VP_SCHED_SHARE_PREEMPT_AFTER_MS, fair, now_ms))
        continue;
      if (now_ms - job->blocked_ms >= VP_SCHED_RESERVE_AFTER_MS
          && (starving == NULL || job->blocked_ms < starving->blocked_ms))
        starving = job;
      if (overdue->len < VP_SCHED_SHARE_RESERVATIONS)
        g_ptr_array_add (overdue, class);
    }
  }
  if (starving != NULL && sched->reserve_counts[VP_RESERVE_STARVING] == 0) {
    g_ptr_array_remove_fast (overdue, starving->class);
    _vp_sched_reserve_starving (sched, starving, now_ms);
  }
  for (guint i = 0; i < overdue->len; i++)
    _vp_sched_preempt_for_class (sched, g_ptr_array_index (overdue, i), fair, now_ms);
  /* Tasks that could not be preempted while they were starting may be now. */
  _vp_sched_retry_urgent (sched);
}

static bool
_vp_sched_is_over (const VpResources *used, const VpResources *grant)
{
  return used->cpu_milli > grant->cpu_milli || used->mem_mib > grant->mem_mib
         || used->accel_count > grant->accel_count;
}

/* True if the member uses some of what the team has too much of. */
static bool
_vp_sched_helps (const VpMember *member, const VpResources *used, const VpResources *grant)
{
  const VpResources *size = &member->job->size;

  return (used->cpu_milli > grant->cpu_milli && size->cpu_milli > 0)
         || (used->mem_mib > grant->mem_mib && size->mem_mib > 0)
         || (used->accel_count > grant->accel_count && size->accel_count > 0);
}

static void
_vp_sched_lower_grant (VpSched *sched, VpTeamState *team, bool is_gentle, int64_t now_ms)
{
  /* Newest first: the least work is lost. */
  for (VpMember *member = team->members; member != NULL; member = member->next_of_team) {
    VpJob *job = member->job;
    VpResources rest = team->used;
    bool is_preemptible = job->profile->profile.is_preemptible && job->is_repeatable;

    vp_resources_sub (&rest, &team->stopping);
    if (!_vp_sched_is_over (&rest, &team->grant))
      return;
    if (member->stop != VP_STOP_NONE || is_preemptible != is_gentle
        || !_vp_sched_helps (member, &rest, &team->grant))
      continue;
    if (!job->is_gang) {
      _vp_sched_stop (sched, member, VP_STOP_GRANT, is_gentle, now_ms);
      continue;
    }
    for (uint32_t i = 0; i < job->member_count; i++)
      _vp_sched_stop (sched, &job->members[i], VP_STOP_GRANT, is_gentle, now_ms);
  }
}

void
_vp_sched_lower_grants (VpSched *sched, int64_t now_ms)
{
  if (!sched->are_grants_low)
    return;
  sched->are_grants_low = false;
  for (guint i = 0; i < sched->team_list->len; i++) {
    VpTeamState *team = g_ptr_array_index (sched->team_list, i);

    _vp_sched_lower_grant (sched, team, true, now_ms);
    _vp_sched_lower_grant (sched, team, false, now_ms);
  }
}
