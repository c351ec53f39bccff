#include "vp-sched-private.h"

#include <math.h>

typedef enum { VP_PLACED, VP_NO_ROOM, VP_NO_GRANT } VpPlaced;

static inline bool
_vp_sched_dimension_fits (int64_t need, int64_t used, int64_t grant)
{
  return need <= 0 || used + need <= grant;
}

bool
_vp_sched_grant_fits (const VpTeamState *team, const VpResources *need)
{
  return _vp_sched_dimension_fits (need->cpu_milli, team->used.cpu_milli, team->grant.cpu_milli)
         && _vp_sched_dimension_fits (need->mem_mib, team->used.mem_mib, team->grant.mem_mib)
         && _vp_sched_dimension_fits (need->accel_count, team->used.accel_count,
                                      team->grant.accel_count);
}

VpResources
_vp_sched_job_need (const VpJob *job)
{
  VpResources need = job->size;

  if (job->is_gang)
    vp_resources_scale (&need, job->queued_count);
  return need;
}

VpMember *
_vp_sched_next_member (VpJob *job)
{
  for (uint32_t i = 0; i < job->member_count; i++) {
    if (job->members[i].state == VP_TASK_QUEUED)
      return &job->members[i];
  }
  return NULL;
}

void
_vp_sched_refresh_fraction (VpSched *sched, VpTeamState *team)
{
  team->fraction
      = vp_resources_dominant_share (&team->used, &sched->total) / (double)MAX (team->share, 1);
}

VpWorkerState *
_vp_sched_worker_of_fit (const VpSched *sched, uint32_t fit)
{
  return g_ptr_array_index (sched->worker_list, fit);
}

VpWorkerState *
_vp_sched_failed_on (const VpSched *sched, const VpFailedOn *failed)
{
  VpWorkerState *worker = _vp_sched_worker_of_fit (sched, failed->fit);

  return worker != NULL && worker->sequence == failed->sequence ? worker : NULL;
}

static uint32_t
_vp_sched_avoided (const VpSched *sched, const VpJob *job, uint32_t *avoid)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < job->failed_on_count; i++) {
    if (_vp_sched_failed_on (sched, &job->failed_on[i]) != NULL)
      avoid[count++] = job->failed_on[i].fit;
  }
  return count;
}

/* Picks again while work that can't be repeated would be the trial of a worker on probation. */
static uint32_t
_vp_sched_pick_safe (VpSched *sched, VpFitQuery *query, uint32_t *avoid, uint32_t avoid_max)
{
  uint32_t picked = vp_fit_pick (sched->fit, query);

  while (picked != VP_FIT_NONE && query->avoid_count < avoid_max
         && _vp_sched_worker_of_fit (sched, picked)->health == VP_HEALTH_TRIAL) {
    avoid[query->avoid_count++] = picked;
    picked = vp_fit_pick (sched->fit, query);
  }
  return picked;
}

static uint32_t
_vp_sched_racks (const VpSched *sched,
                 const VpJob *job,
                 const uint32_t *picks,
                 uint32_t pick_count,
                 uint32_t *racks)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < job->member_count; i++) {
    if (job->members[i].worker != NULL)
      racks[count++] = job->members[i].worker->rack;
  }
  for (uint32_t i = 0; i < pick_count; i++)
    racks[count++] = _vp_sched_worker_of_fit (sched, picks[i])->rack;
  return count;
}

uint32_t
_vp_sched_pick (VpSched *sched,
                const VpJob *job,
                const uint32_t *picks,
                uint32_t pick_count,
                int64_t now_ms)
{
  uint32_t avoid[2 * VP_SCHED_FAILED_ON_MAX];
  VpFitQuery query = { .need = job->size, .avoid = avoid };
  g_autofree uint32_t *racks = NULL;
  uint32_t picked;

  query.is_first_fit = sched->desc.is_first_fit;
  query.is_without_accels
      = job->size.accel_count == 0 && _vp_sched_is_accel_guarded (sched, now_ms);
  query.avoid_count = _vp_sched_avoided (sched, job, avoid);
  if (job->profile->profile.is_spread && job->member_count > 1) {
    racks = g_new (uint32_t, job->member_count);
    query.is_spread = true;
    query.racks = racks;
    query.rack_count = _vp_sched_racks (sched, job, picks, pick_count, racks);
  }
  picked = job->is_repeatable ? vp_fit_pick (sched->fit, &query)
                              : _vp_sched_pick_safe (sched, &query, avoid, G_N_ELEMENTS (avoid));
  if (picked == VP_FIT_NONE && query.is_without_accels)
    sched->has_guarded = true;
  return picked;
}

void
_vp_sched_start (VpSched *sched,
                 VpJob *job,
                 VpWorkerState *worker,
                 int64_t now_ms,
                 GArray *decisions)
{
  VpMember *member = _vp_sched_next_member (job);
  VpDecision decision;

  _vp_sched_commit (sched, member, worker, now_ms);
  _vp_sched_decision (member, VP_DECISION_START, &decision);
  decision.waited_ms = MAX (now_ms - job->arrived_ms, 0);
  g_array_append_val (decisions, decision);
}

/* Commits all waiting members of a gang, or none. */
static bool
_vp_sched_place_gang (VpSched *sched, VpJob *job, int64_t now_ms, GArray *decisions)
{
  uint32_t due = job->queued_count, count = 0;
  uint32_t *picks;

  g_array_set_size (sched->picks, due);
  picks = (uint32_t *)(void *)sched->picks->data;
  /* Room is only taken in the index until all members have a place. */
  for (; count < due; count++) {
    uint32_t fit = _vp_sched_pick (sched, job, picks, count, now_ms);

    if (fit == VP_FIT_NONE)
      break;
    picks[count] = fit;
    vp_fit_take (sched->fit, fit, &job->size);
    if (_vp_sched_worker_of_fit (sched, fit)->health == VP_HEALTH_TRIAL)
      vp_fit_set_open (sched->fit, fit, false); /* a trial is one task */
  }
  for (uint32_t i = 0; i < count; i++) {
    vp_fit_give (sched->fit, picks[i], &job->size);
    vp_fit_set_open (sched->fit, picks[i], true);
  }
  if (count < due)
    return false;
  for (uint32_t i = 0; i < due; i++)
    _vp_sched_start (sched, job, _vp_sched_worker_of_fit (sched, picks[i]), now_ms, decisions);
  return true;
}

static VpPlaced
_vp_sched_place_head (VpSched *sched, VpClass *class, int64_t now_ms, GArray *decisions)
{
  VpJob *job = _vp_sched_class_head (class);
  VpShape *shape = class->shape;
  VpResources need = _vp_sched_job_need (job);
  uint32_t fit;

  if (!_vp_sched_grant_fits (class->team, &need))
    return VP_NO_GRANT;
  if (shape->blocked_index != VP_HEAP_NONE && vp_resources_fits (&shape->failed, &job->size))
    return VP_NO_ROOM;
  if (job->is_gang) {
    if (!_vp_sched_place_gang (sched, job, now_ms, decisions)) {
      _vp_sched_shape_block (sched, shape, &job->size, now_ms);
      return VP_NO_ROOM;
    }
  } else {
    fit = _vp_sched_pick (sched, job, NULL, 0, now_ms);
    if (fit == VP_FIT_NONE) {
      _vp_sched_shape_block (sched, shape, &job->size, now_ms);
      return VP_NO_ROOM;
    }
    _vp_sched_start (sched, job, _vp_sched_worker_of_fit (sched, fit), now_ms, decisions);
  }
  _vp_sched_count_start (sched, class, now_ms);
  if (job->queued_count == 0)
    _vp_sched_dequeue (sched, job);
  return VP_PLACED;
}

bool
_vp_sched_is_eligible (const VpTeamState *team, uint32_t band)
{
  if (team->order[band].count == 0)
    return false;
  if (team->holder == NULL || band == VP_BAND_URGENT)
    return true;
  return team->holder->class->band != VP_BAND_URGENT
         && _vp_heap_top_key (&team->order[band]) <= team->holder->key;
}

/* Team whose turn it is: the lowest dominant fraction for its share, or the oldest work. */
static VpTeamState *
_vp_sched_next_team (const VpSched *sched, uint32_t band)
{
  VpTeamState *best = NULL;

  for (guint i = 0; i < sched->team_list->len; i++) {
    VpTeamState *team = g_ptr_array_index (sched->team_list, i);

    if (!_vp_sched_is_eligible (team, band))
      continue;
    if (best == NULL
        || (sched->desc.is_fifo
                ? _vp_heap_top_key (&team->order[band]) < _vp_heap_top_key (&best->order[band])
                : team->fraction < best->fraction))
      best = team;
  }
  return best;
}

static void
_vp_sched_no_grant (VpSched *sched, VpClass *class, int64_t now_ms)
{
  VpTeamState *team = class->team;
  VpJob *job = _vp_sched_class_head (class);
  VpResources need = _vp_sched_job_need (job);

  _vp_sched_class_set_state (sched, class, VP_CLASS_OVER_GRANT);
  /* Work above the whole grant is not waited for; only a higher grant can help it. */
  if (!vp_resources_fits (&need, &team->grant))
    return;
  if (class->band == VP_BAND_URGENT) {
    team->holder = job;
    _vp_sched_preempt_own (sched, class, now_ms);
  } else if (team->holder == NULL && now_ms - job->arrived_ms >= VP_SCHED_HOLD_AFTER_MS) {
    team->holder = job;
  }
}

static void
_vp_sched_no_room (VpSched *sched, VpClass *class, int64_t now_ms, double fair)
{
  VpJob *job = _vp_sched_class_head (class);

  if (class->band == VP_BAND_URGENT
      && _vp_sched_preempt_for (sched, job, VP_RESERVE_URGENT, now_ms))
    return;
  if (class->band == VP_BAND_URGENT)
    sched->has_unfit_urgent = true;
  /* A team above its fair part waits for its turn, not for a fit. */
  if (class->team->fraction > fair)
    job->blocked_ms = 0;
  else if (job->blocked_ms == 0)
    job->blocked_ms = now_ms;
  _vp_sched_class_set_state (sched, class, VP_CLASS_UNFIT);
}

void
_vp_sched_place_all (VpSched *sched, int64_t now_ms, GArray *decisions, uint32_t end)
{
  double fair = -1.0;

  for (uint32_t band = 0; band < VP_BANDS; band++) {
    VpTeamState *team;

    while ((team = _vp_sched_next_team (sched, band)) != NULL) {
      VpClass *class = _vp_heap_top (&team->order[band]);

      if (decisions->len >= end) {
        sched->is_more = true;
        return;
      }
      switch (_vp_sched_place_head (sched, class, now_ms, decisions)) {
      case VP_PLACED:
        break;
      case VP_NO_GRANT:
        _vp_sched_no_grant (sched, class, now_ms);
        break;
      case VP_NO_ROOM:
        if (fair < 0.0)
          fair = _vp_sched_fair_fraction (sched);
        _vp_sched_no_room (sched, class, now_ms, fair);
        if (sched->desc.is_fifo)
          return; /* one queue: nothing passes what stands in front */
        break;
      }
    }
  }
}
