#include "vp-sched-private.h"

#include <math.h>

typedef enum {
  VP_PLACEMENT_DONE,
  VP_PLACEMENT_NO_CAPACITY,
  VP_PLACEMENT_OVER_GRANT
} VpPlacementResult;

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
_vp_sched_update_weighted_usage (VpSched *sched, VpTeamState *team)
{
  team->weighted_usage
      = vp_resources_dominant_share (&team->used, &sched->total) / (double)MAX (team->share, 1);
}

VpWorkerState *
_vp_sched_worker_by_index_id (const VpSched *sched, uint32_t index_id)
{
  return g_ptr_array_index (sched->worker_list, index_id);
}

VpWorkerState *
_vp_sched_failed_worker (const VpSched *sched, const VpFailedWorker *failed)
{
  VpWorkerState *worker = _vp_sched_worker_by_index_id (sched, failed->index_id);

  return worker != NULL && worker->incarnation == failed->incarnation ? worker : NULL;
}

/* Writes the IDs of the workers on which the job failed to @avoid and returns their number. */
static uint32_t
_vp_sched_avoided_workers (const VpSched *sched, const VpJob *job, uint32_t *avoid)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < job->failed_worker_count; i++) {
    if (_vp_sched_failed_worker (sched, &job->failed_workers[i]) != NULL)
      avoid[count++] = job->failed_workers[i].index_id;
  }
  return count;
}

/* Picks a worker for a job that can't be repeated. Workers that wait for their probe task are
 * avoided, since a job that fails there can't be tried again. */
static uint32_t
_vp_sched_pick_without_probe (VpSched *sched,
                              VpCapacityQuery *query,
                              uint32_t *avoid,
                              uint32_t avoid_max)
{
  uint32_t picked = vp_capacity_index_pick (sched->capacity, query);

  while (picked != VP_CAPACITY_INDEX_NONE && query->avoid_count < avoid_max
         && _vp_sched_worker_by_index_id (sched, picked)->health == VP_HEALTH_PROBE_DUE) {
    avoid[query->avoid_count++] = picked;
    picked = vp_capacity_index_pick (sched->capacity, query);
  }
  return picked;
}

/* Writes the rack of each placed or picked member to @racks and returns their number. */
static uint32_t
_vp_sched_used_racks (const VpSched *sched,
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
    racks[count++] = _vp_sched_worker_by_index_id (sched, picks[i])->rack;
  return count;
}

uint32_t
_vp_sched_pick_worker (VpSched *sched,
                       const VpJob *job,
                       const uint32_t *picks,
                       uint32_t pick_count,
                       int64_t now_ms)
{
  uint32_t avoid[2 * VP_SCHED_FAILED_WORKERS_MAX];
  VpCapacityQuery query = { .need = job->size, .avoid = avoid };
  g_autofree uint32_t *racks = NULL;
  uint32_t picked;

  query.is_first_fit = sched->desc.is_first_fit;
  query.is_without_accels
      = job->size.accel_count == 0 && _vp_sched_are_accels_reserved (sched, now_ms);
  query.avoid_count = _vp_sched_avoided_workers (sched, job, avoid);
  if (job->profile->profile.is_spread && job->member_count > 1) {
    racks = g_new (uint32_t, job->member_count);
    query.is_spread = true;
    query.racks = racks;
    query.rack_count = _vp_sched_used_racks (sched, job, picks, pick_count, racks);
  }
  picked = job->is_repeatable
               ? vp_capacity_index_pick (sched->capacity, &query)
               : _vp_sched_pick_without_probe (sched, &query, avoid, G_N_ELEMENTS (avoid));
  if (picked == VP_CAPACITY_INDEX_NONE && query.is_without_accels)
    sched->has_accel_blocked = true;
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
  _vp_sched_fill_decision (member, VP_DECISION_START, &decision);
  decision.waited_ms = MAX (now_ms - job->arrived_ms, 0);
  g_array_append_val (decisions, decision);
}

/* Commits all waiting members of a gang or none of them. */
static bool
_vp_sched_place_gang (VpSched *sched, VpJob *job, int64_t now_ms, GArray *decisions)
{
  uint32_t wanted = job->queued_count, count = 0;
  uint32_t *picks;

  g_array_set_size (sched->gang_picks, wanted);
  picks = (uint32_t *)(void *)sched->gang_picks->data;
  /* Capacity is allocated only in the index until a worker is found for each member. */
  for (; count < wanted; count++) {
    uint32_t index_id = _vp_sched_pick_worker (sched, job, picks, count, now_ms);

    if (index_id == VP_CAPACITY_INDEX_NONE)
      break;
    picks[count] = index_id;
    vp_capacity_index_allocate (sched->capacity, index_id, &job->size);
    if (_vp_sched_worker_by_index_id (sched, index_id)->health == VP_HEALTH_PROBE_DUE)
      vp_capacity_index_set_open (sched->capacity, index_id, false); /* gets only one probe task */
  }
  for (uint32_t i = 0; i < count; i++) {
    vp_capacity_index_release (sched->capacity, picks[i], &job->size);
    vp_capacity_index_set_open (sched->capacity, picks[i], true);
  }
  if (count < wanted)
    return false;
  for (uint32_t i = 0; i < wanted; i++)
    _vp_sched_start (sched, job, _vp_sched_worker_by_index_id (sched, picks[i]), now_ms, decisions);
  return true;
}

/* Places the first job of a class, or one member of it if the job is not a gang. */
static VpPlacementResult
_vp_sched_place_head (VpSched *sched, VpJobClass *class, int64_t now_ms, GArray *decisions)
{
  VpJob *job = _vp_sched_class_head (class);
  VpShape *shape = class->shape;
  VpResources need = _vp_sched_job_need (job);
  uint32_t index_id;

  if (!_vp_sched_grant_fits (class->team, &need))
    return VP_PLACEMENT_OVER_GRANT;
  if (shape->blocked_index != VP_HEAP_NONE && vp_resources_fits (&shape->failed_size, &job->size))
    return VP_PLACEMENT_NO_CAPACITY;
  if (job->is_gang) {
    if (!_vp_sched_place_gang (sched, job, now_ms, decisions)) {
      _vp_sched_shape_block (sched, shape, &job->size, now_ms);
      return VP_PLACEMENT_NO_CAPACITY;
    }
  } else {
    index_id = _vp_sched_pick_worker (sched, job, NULL, 0, now_ms);
    if (index_id == VP_CAPACITY_INDEX_NONE) {
      _vp_sched_shape_block (sched, shape, &job->size, now_ms);
      return VP_PLACEMENT_NO_CAPACITY;
    }
    _vp_sched_start (sched, job, _vp_sched_worker_by_index_id (sched, index_id), now_ms, decisions);
  }
  _vp_sched_count_start (sched, class, now_ms);
  if (job->queued_count == 0)
    _vp_sched_dequeue (sched, job);
  return VP_PLACEMENT_DONE;
}

bool
_vp_sched_is_eligible (const VpTeamState *team, uint32_t band)
{
  if (team->ready_classes[band].count == 0)
    return false;
  if (team->blocking_job == NULL || band == VP_BAND_URGENT)
    return true;
  return team->blocking_job->class->band != VP_BAND_URGENT
         && _vp_heap_top_key (&team->ready_classes[band]) <= team->blocking_job->key;
}

/* Team that is placed next: the one with the lowest weighted usage (dominant resource fairness), or
 * with the oldest job for the FIFO baseline. */
static VpTeamState *
_vp_sched_next_team (const VpSched *sched, uint32_t band)
{
  VpTeamState *best = NULL;

  for (guint i = 0; i < sched->team_list->len; i++) {
    VpTeamState *team = g_ptr_array_index (sched->team_list, i);

    if (!_vp_sched_is_eligible (team, band))
      continue;
    if (best == NULL
        || (sched->desc.is_fifo ? _vp_heap_top_key (&team->ready_classes[band])
                                      < _vp_heap_top_key (&best->ready_classes[band])
                                : team->weighted_usage < best->weighted_usage))
      best = team;
  }
  return best;
}

/* Handles a class whose first job does not fit in the grant: the class waits for the grant, and an
 * urgent or old job blocks later jobs of the team. */
static void
_vp_sched_handle_over_grant (VpSched *sched, VpJobClass *class, int64_t now_ms)
{
  VpTeamState *team = class->team;
  VpJob *job = _vp_sched_class_head (class);
  VpResources need = _vp_sched_job_need (job);

  _vp_sched_class_set_state (sched, class, VP_CLASS_OVER_GRANT);
  /* A job larger than the whole grant blocks no others, since it needs a higher grant. */
  if (!vp_resources_fits (&need, &team->grant))
    return;
  if (class->band == VP_BAND_URGENT) {
    team->blocking_job = job;
    _vp_sched_preempt_own_team (sched, class, now_ms);
  } else if (team->blocking_job == NULL
             && now_ms - job->arrived_ms >= VP_SCHED_GRANT_BLOCK_AFTER_MS) {
    team->blocking_job = job;
  }
}

/* Handles a class whose first job fits no worker: an urgent job preempts, and otherwise the class
 * waits for capacity. */
static void
_vp_sched_handle_no_capacity (VpSched *sched, VpJobClass *class, int64_t now_ms, double fair_usage)
{
  VpJob *job = _vp_sched_class_head (class);

  if (class->band == VP_BAND_URGENT
      && _vp_sched_preempt_for (sched, job, VP_RESERVATION_URGENT, now_ms))
    return;
  if (class->band == VP_BAND_URGENT)
    sched->has_blocked_urgent = true;
  /* A job of a team above its fair share is not starving: it waits for its turn. */
  if (class->team->weighted_usage > fair_usage)
    job->blocked_since_ms = 0;
  else if (job->blocked_since_ms == 0)
    job->blocked_since_ms = now_ms;
  _vp_sched_class_set_state (sched, class, VP_CLASS_NO_CAPACITY);
}

void
_vp_sched_place_all (VpSched *sched, int64_t now_ms, GArray *decisions, uint32_t decisions_limit)
{
  double fair_usage = -1.0;

  for (uint32_t band = 0; band < VP_BAND_COUNT; band++) {
    VpTeamState *team;

    while ((team = _vp_sched_next_team (sched, band)) != NULL) {
      VpJobClass *class = _vp_heap_top (&team->ready_classes[band]);

      if (decisions->len >= decisions_limit) {
        sched->has_more_work = true;
        return;
      }
      switch (_vp_sched_place_head (sched, class, now_ms, decisions)) {
      case VP_PLACEMENT_DONE:
        break;
      case VP_PLACEMENT_OVER_GRANT:
        _vp_sched_handle_over_grant (sched, class, now_ms);
        break;
      case VP_PLACEMENT_NO_CAPACITY:
        if (fair_usage < 0.0)
          fair_usage = _vp_sched_fair_usage (sched);
        _vp_sched_handle_no_capacity (sched, class, now_ms, fair_usage);
        if (sched->desc.is_fifo)
          return; /* no job overtakes the first one of the queue */
        break;
      }
    }
  }
}
