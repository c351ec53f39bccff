#include "vp-stepqueue.h"
#include "vp-outlook.h"

#include <string.h>

static guint
_vp_stepqueue_add_pool (VpStepQueue *step_queue, const char *service, int64_t now_ms)
{
  for (guint i = 0; i < step_queue->pools->len; i++) {
    if (strcmp (((VpPlacePool *)step_queue->pools->pdata[i])->service, service) == 0)
      return i;
  }
  g_ptr_array_add (
      step_queue->pools,
      vp_place_pool_new (step_queue->desc.worker_list, step_queue->desc.forecast, service, now_ms));
  return step_queue->pools->len - 1;
}

VpPlacePool *
vp_stepqueue_pool (const VpStepQueue *step_queue, const VpStepQueueItem *item)
{
  return step_queue->pools->pdata[item->pool];
}

static gint
_vp_stepqueue_compare_items (gconstpointer a, gconstpointer b)
{
  const VpStepQueueItem *one = a;
  const VpStepQueueItem *two = b;
  bool is_worthless = one->lateness == VP_LATENESS_WORTHLESS;
  bool is_urgent = one->queue->priority == 0;

  if (is_worthless != (two->lateness == VP_LATENESS_WORTHLESS))
    return is_worthless ? 1 : -1;
  if (is_urgent != (two->queue->priority == 0))
    return is_urgent ? -1 : 1;
  if (one->is_over_rate != two->is_over_rate)
    return one->is_over_rate ? 1 : -1;
  if (one->lateness != two->lateness)
    return one->lateness < two->lateness ? -1 : 1;
  if (one->queue->priority != two->queue->priority)
    return one->queue->priority < two->queue->priority ? -1 : 1;
  if (one->is_late_begun != two->is_late_begun)
    return one->is_late_begun ? -1 : 1;
  return one->latest_start_ms == two->latest_start_ms  ? 0
         : one->latest_start_ms < two->latest_start_ms ? -1
                                                       : 1;
}

/* Order by estimates. */

/* Returns the target time from the beginning of an occurrence of the job to its completion. */
static int64_t
_vp_stepqueue_objective_ms (VpJob *job, const VpQueueConfig *queue)
{
  int64_t critical_paths_ms[VP_JOBSPEC_STEPS_MAX];

  if (job->objective_ms == 0)
    job->objective_ms
        = queue->latency_target_ms
          + (int64_t)(queue->stretch
                      * (double)vp_jobspec_critical_paths (job->spec, critical_paths_ms));
  return job->objective_ms;
}

static void
_vp_stepqueue_rate_by_estimate (const VpStepQueue *step_queue,
                                VpStepQueueItem *item,
                                int64_t now_ms)
{
  VpJobOccurrence *occurrence = item->step->occurrence;
  int64_t began_ms = vp_occurrence_began_ms (occurrence);
  int64_t objective_ms = _vp_stepqueue_objective_ms (occurrence->job, item->queue);

  (void)step_queue;
  item->latest_start_ms = began_ms + objective_ms - item->step->critical_path_ms;
  item->worthless_ms = began_ms + VP_OUTLOOK_WORTHLESS_FACTOR * objective_ms;
  if (item->step->spec->is_long_running)
    item->lateness = VP_LATENESS_ON_TIME;
  else if (now_ms - began_ms > VP_OUTLOOK_WORTHLESS_FACTOR * objective_ms)
    item->lateness = VP_LATENESS_WORTHLESS;
  else
    item->lateness = now_ms > item->latest_start_ms ? VP_LATENESS_LATE : VP_LATENESS_ON_TIME;
}

const VpStepQueueOrder vp_stepqueue_estimate_order = { .rate = _vp_stepqueue_rate_by_estimate };

/* Order by forecasts. */

static bool
_vp_stepqueue_has_begun (const VpJobOccurrence *occurrence)
{
  for (uint32_t s = 0; s < occurrence->job->spec->step_count; s++) {
    if (occurrence->steps[s].assigned_count > 0 || occurrence->steps[s].done_count > 0)
      return true;
  }
  return false;
}

static VpLateness
_vp_stepqueue_lateness (const VpOutlook *outlook, int64_t elapsed_ms)
{
  if (elapsed_ms > outlook->worthless_ms)
    return VP_LATENESS_WORTHLESS;
  if (elapsed_ms > outlook->slack_max_ms)
    return VP_LATENESS_LATE;
  return elapsed_ms > outlook->slack_min_ms ? VP_LATENESS_DOUBTFUL : VP_LATENESS_ON_TIME;
}

static void
_vp_stepqueue_rate_by_forecast (const VpStepQueue *step_queue,
                                VpStepQueueItem *item,
                                int64_t now_ms)
{
  const VpJobOccurrence *occurrence = item->step->occurrence;
  int64_t began_ms = vp_occurrence_began_ms (occurrence);
  VpOutlook outlook;

  vp_outlook_update (&outlook, item->step, item->queue, step_queue->desc.forecast);
  /* Placement compares it with the expected end on fast and on slow workers. */
  occurrence->job->objective_ms = outlook.objective_ms;
  item->latest_start_ms = began_ms + outlook.slack_ms;
  item->worthless_ms = began_ms + outlook.worthless_ms;
  item->lateness = item->step->spec->is_long_running
                       ? VP_LATENESS_ON_TIME
                       : _vp_stepqueue_lateness (&outlook, now_ms - began_ms);
  if (!_vp_stepqueue_has_begun (occurrence))
    return;
  /* Large jobs start while tasks end elsewhere, task by task. If those that still wait then came
   * after all jobs that have more time, the started ones would have run for nothing. */
  if (item->lateness == VP_LATENESS_DOUBTFUL)
    item->lateness = VP_LATENESS_ON_TIME;
  item->is_late_begun = item->lateness == VP_LATENESS_LATE;
}

const VpStepQueueOrder vp_stepqueue_forecast_order = { .rate = _vp_stepqueue_rate_by_forecast };

static void
_vp_stepqueue_add_step (VpStepQueue *step_queue, VpJobStep *step, int64_t now_ms)
{
  const VpJob *job = step->occurrence->job;
  VpStepQueueItem item
      = { .step = step, .queue = vp_cellconfig_queue (step_queue->desc.config, job->spec->queue) };

  if (item.queue == NULL || step->waiting_count == 0)
    return;
  item.pool = _vp_stepqueue_add_pool (step_queue, item.queue->service, now_ms);
  item.is_over_rate = job->is_over_rate;
  step_queue->desc.order->rate (step_queue, &item, now_ms);
  g_array_append_val (step_queue->items, item);
}

void
vp_stepqueue_setup (VpStepQueue *step_queue, const VpStepQueueDesc *desc, int64_t now_ms)
{
  step_queue->desc = *desc;
  if (step_queue->desc.order == NULL)
    step_queue->desc.order = &vp_stepqueue_forecast_order;
  step_queue->items = g_array_new (FALSE, FALSE, sizeof (VpStepQueueItem));
  step_queue->pools = g_ptr_array_new_with_free_func ((GDestroyNotify)vp_place_pool_free);
  for (guint i = 0; i < desc->jobs->ready_steps->len; i++)
    _vp_stepqueue_add_step (step_queue, desc->jobs->ready_steps->pdata[i], now_ms);
  g_array_sort (step_queue->items, _vp_stepqueue_compare_items);
}

void
vp_stepqueue_shutdown (VpStepQueue *step_queue)
{
  g_array_unref (step_queue->items);
  g_ptr_array_unref (step_queue->pools);
}
