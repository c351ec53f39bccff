#include "vp-stepqueue.h"

#include <string.h>

/* A step counts as worthless once the occurrence of its job has taken more than this many times its
 * objective. */
#define VP_STEPQUEUE_WORTHLESS_FACTOR 3

static guint
_vp_stepqueue_add_pool (VpStepQueue *step_queue, const char *service, int64_t now_ms)
{
  for (guint i = 0; i < step_queue->pools->len; i++) {
    if (strcmp (((VpPlacePool *)step_queue->pools->pdata[i])->service, service) == 0)
      return i;
  }
  g_ptr_array_add (step_queue->pools, vp_place_pool_new (step_queue->worker_list,
                                                         step_queue->forecast, service, now_ms));
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
  return one->latest_start_ms == two->latest_start_ms  ? 0
         : one->latest_start_ms < two->latest_start_ms ? -1
                                                       : 1;
}

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

static VpLateness
_vp_stepqueue_lateness (const VpStepQueueItem *item,
                        int64_t began_ms,
                        int64_t objective_ms,
                        int64_t now_ms)
{
  if (item->step->spec->is_long_running)
    return VP_LATENESS_ON_TIME;
  if (now_ms - began_ms > VP_STEPQUEUE_WORTHLESS_FACTOR * objective_ms)
    return VP_LATENESS_WORTHLESS;
  return now_ms > item->latest_start_ms ? VP_LATENESS_LATE : VP_LATENESS_ON_TIME;
}

static void
_vp_stepqueue_add_step (VpStepQueue *step_queue,
                        VpJobStep *step,
                        const VpCellConfig *config,
                        int64_t now_ms)
{
  VpJob *job = step->occurrence->job;
  VpStepQueueItem item = { .step = step, .queue = vp_cellconfig_queue (config, job->spec->queue) };
  int64_t began_ms = step->occurrence->due_ms != 0 ? step->occurrence->due_ms : job->arrived_ms;
  int64_t objective_ms;

  if (item.queue == NULL || step->waiting_count == 0)
    return;
  item.pool = _vp_stepqueue_add_pool (step_queue, item.queue->service, now_ms);
  item.is_over_rate = job->is_over_rate;
  objective_ms = _vp_stepqueue_objective_ms (job, item.queue);
  item.latest_start_ms = began_ms + objective_ms - step->critical_path_ms;
  item.lateness = _vp_stepqueue_lateness (&item, began_ms, objective_ms, now_ms);
  g_array_append_val (step_queue->items, item);
}

void
vp_stepqueue_setup (VpStepQueue *step_queue,
                    const VpWorkerList *worker_list,
                    const VpJobList *jobs,
                    const VpCellConfig *config,
                    const VpForecast *forecast,
                    int64_t now_ms)
{
  step_queue->worker_list = worker_list;
  step_queue->forecast = forecast;
  step_queue->items = g_array_new (FALSE, FALSE, sizeof (VpStepQueueItem));
  step_queue->pools = g_ptr_array_new_with_free_func ((GDestroyNotify)vp_place_pool_free);
  for (guint i = 0; i < jobs->ready_steps->len; i++)
    _vp_stepqueue_add_step (step_queue, jobs->ready_steps->pdata[i], config, now_ms);
  g_array_sort (step_queue->items, _vp_stepqueue_compare_items);
}

void
vp_stepqueue_shutdown (VpStepQueue *step_queue)
{
  g_array_unref (step_queue->items);
  g_ptr_array_unref (step_queue->pools);
}
