#include "vp-cell-private.h"
#include "vp-metrics.h"
#include "vp-outlook.h"

/* Interval between updates of the sums, which look at all assigned tasks. */
#define VP_CELL_ADMISSION_MS 100

/* Returns the rank of the steps of a job of the queue. */
static uint32_t
_vp_cell_admission_rank (const VpQueueConfig *queue, bool is_over_rate)
{
  return vp_admission_rank (queue->priority == 0, is_over_rate);
}

/* Returns the sums of the team of the task, or NULL if it has no cap. */
static VpAdmissionTeam *
_vp_cell_admission_team (const VpCell *cell, const VpJobTask *task, VpAdmissionSums *sums)
{
  const VpTeamConfig *team
      = vp_cellconfig_team (cell->config, task->step->occurrence->job->spec->team);
  VpAdmissionTeam *sums_of_team;

  if (team == NULL || team->cap.cpu_milli == 0)
    return NULL;
  sums_of_team = vp_admission_sums_team (sums, team->name);
  sums_of_team->capacity = (double)team->cap.cpu_milli;
  return sums_of_team;
}

/* Returns the time that the run takes at least from now on, with a probability of 0.9. Durations
 * are skewed: their p10 is below the p50 by about the factor by which the p90 is above. */
static int64_t
_vp_cell_admission_remaining_ms (const VpJobTask *task, int64_t now_ms)
{
  double low_ms = (double)task->forecast_p50_ms * (double)task->forecast_p50_ms
                  / (double)MAX (task->forecast_p90_ms, 1);

  if (task->phase == VP_PHASE_STOPPING)
    return 0;
  if (task->step->spec->is_long_running)
    return INT64_MAX;
  return MAX (task->started_ms + (int64_t)low_ms - now_ms, 0);
}

static void
_vp_cell_admission_add_task (const VpCell *cell,
                             const VpJobTask *task,
                             VpAdmissionService *service,
                             VpAdmissionSums *sums,
                             int64_t now_ms)
{
  VpResources demand = vp_jobtask_demand (task);
  VpAdmissionTeam *team = _vp_cell_admission_team (cell, task, sums);
  int64_t remaining_ms = _vp_cell_admission_remaining_ms (task, now_ms);

  vp_admission_add_running (service->busy, (double)demand.cpu_milli, remaining_ms);
  if (team != NULL)
    vp_admission_add_running (team->busy, (double)demand.cpu_milli, remaining_ms);
}

static void
_vp_cell_admission_add_worker (const VpCell *cell,
                               const VpCellWorker *worker,
                               VpAdmissionSums *sums,
                               int64_t now_ms)
{
  VpAdmissionService *service = vp_admission_sums_service (sums, worker->entry.service);
  GHashTableIter iter;
  gpointer task;

  /* Workers that can't be reached may be back soon, so that nothing is certain without them. */
  if (worker->is_listed)
    service->capacity += (double)worker->entry.capacity.cpu_milli;
  if (vp_workerlist_is_usable (worker, now_ms)) {
    VpResources free = vp_workerlist_free_capacity (worker);
    vp_resources_add (&service->free, &free);
    service->free_max = vp_resources_max (&service->free_max, &free);
  }
  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &task, NULL))
    _vp_cell_admission_add_task (cell, task, service, sums, now_ms);
}

static void
_vp_cell_admission_add_item (const VpStepQueueItem *item, VpAdmissionSums *sums, int64_t now_ms)
{
  const VpJobStep *step = item->step;
  VpAdmissionService *service = vp_admission_sums_service (sums, item->queue->service);
  uint32_t rank = _vp_cell_admission_rank (item->queue, item->is_over_rate);
  double work = (double)step->waiting_count * (double)step->spec->size.cpu_milli
                * (double)step->chain.task_ms;

  if (item->lateness == VP_LATENESS_WORTHLESS || step->spec->is_long_running)
    return;
  vp_admission_add_waiting (service, rank, work, MAX (item->worthless_ms - now_ms, 0));
  if (item->lateness == VP_LATENESS_ON_TIME)
    service->in_time[rank] += work;
}

/* Publishes the results of accepted jobs. */
static void
_vp_cell_admission_publish (VpCell *cell)
{
  const VpAdmissionResults *results = &cell->jobs->admission_results;
  VpAdmissionResults *published = &cell->admission_published;

  vp_metrics_add (VP_COUNTER_ADMISSION_ENDED, results->ended - published->ended);
  vp_metrics_add (VP_COUNTER_ADMISSION_IN_TIME, results->in_time - published->in_time);
  vp_metrics_add (VP_COUNTER_ADMISSION_TOO_SOON, results->too_soon - published->too_soon);
  vp_metrics_set (VP_GAUGE_ADMISSION_CERTAINTY_MILLI,
                  (int64_t)(vp_admission_certainty (cell->admission) * 1000));
  *published = *results;
}

void
_vp_cell_update_admission (VpCell *cell, const VpStepQueue *step_queue, int64_t now_ms)
{
  VpAdmissionSums sums;

  if (now_ms < cell->admission_next_ms)
    return;
  cell->admission_next_ms = now_ms + VP_CELL_ADMISSION_MS;
  vp_admission_sums_setup (&sums);
  sums.results = cell->jobs->admission_results;
  for (guint i = 0; i < cell->worker_list->workers->len; i++)
    _vp_cell_admission_add_worker (cell, cell->worker_list->workers->pdata[i], &sums, now_ms);
  for (guint i = 0; i < step_queue->items->len; i++)
    _vp_cell_admission_add_item (&g_array_index (step_queue->items, VpStepQueueItem, i), &sums,
                                 now_ms);
  /* Free capacity that waiting steps have requested advice for isn't free for an arriving job. */
  for (guint i = 0; i < step_queue->pools->len; i++) {
    const VpPlacePool *pool = step_queue->pools->pdata[i];
    if (pool->has_spare)
      vp_admission_sums_service (&sums, pool->service)->free = pool->spare;
  }
  vp_admission_update (cell->admission, &sums, now_ms);
  _vp_cell_admission_publish (cell);
}

/* Fills in @out, except for the queue's and the team's names. */
static void
_vp_cell_admission_measure (VpCell *cell,
                            const VpJobSpec *spec,
                            const VpQueueConfig *queue,
                            int64_t now_ms,
                            VpAdmissionRequest *out)
{
  const VpTeamConfig *team = vp_cellconfig_team (cell->config, spec->team);
  VpOutlookNeeds needs;

  vp_outlook_measure_new (&needs, spec, queue, cell->forecast);
  out->job = spec->id;
  out->work = needs.work;
  out->chain_ms = needs.chain_ms;
  out->limit_ms = needs.limit_ms;
  out->rank = _vp_cell_admission_rank (
      queue, team != NULL
                 && vp_teamusage_is_over_rate (vp_joblist_team (cell->jobs, spec->team),
                                               team->weight, now_ms));
  out->is_unlimited = spec->first_ms != 0;
  for (uint32_t s = 0; s < spec->step_count; s++) {
    const VpStepSpec *step = &spec->steps[s];
    out->is_unlimited = out->is_unlimited || step->is_long_running;
    out->size = s == 0 ? step->size : vp_resources_min (&out->size, &step->size);
  }
}

void
vp_cell_admit (VpCell *cell, const VpJobSpec *spec, int64_t now_ms, VpAdmissionDecision *out)
{
  const VpQueueConfig *queue
      = cell->config == NULL ? NULL : vp_cellconfig_queue (cell->config, spec->queue);
  VpAdmissionRequest request = { .team = spec->team };

  if (queue == NULL) {
    *out = (VpAdmissionDecision){ .is_accepted = true, .arrived_ms = now_ms };
    return;
  }
  request.service = queue->service;
  _vp_cell_admission_measure (cell, spec, queue, now_ms, &request);
  vp_admission_decide (cell->admission, &request, now_ms, out);
  vp_metrics_add (VP_COUNTER_ADMISSION_RETURNED, out->tries > 0 ? 1 : 0);
  if (out->is_accepted)
    vp_metrics_add (VP_COUNTER_ADMISSION_ACCEPTED, 1);
  else
    vp_metrics_add (out->reason == VP_ADMISSION_TEAM_CAP ? VP_COUNTER_ADMISSION_TEAM_CAP
                                                         : VP_COUNTER_ADMISSION_OVERLOAD,
                    1);
}

VpJob *
vp_cell_submit_admitted (VpCell *cell,
                         VpJobSpec *spec,
                         const VpAdmissionDecision *decision,
                         int64_t now_ms)
{
  VpJob *job = vp_cell_submit (cell, spec, now_ms);

  job->arrived_ms = decision->arrived_ms;
  job->earliest_end_ms = decision->earliest_end_ms;
  job->expected_end_ms = decision->expected_end_ms;
  return job;
}
