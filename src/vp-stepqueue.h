/* Priority queue of waiting steps. Steps that are far too late come last. Steps of the urgent
 * queues, those of priority 0, come before all others. Within each of these groups jobs within
 * their team's rate come first, then steps that can still meet their objective, then the lower
 * priority, then the least slack. The queue is built anew for each decision.
 *
 * Load patterns: under overload, sorting by objective alone would use the capacity for steps that
 * are late anyway and so make all steps late, and a burst of one team would delay all other teams.
 * If a queue that isn't urgent offers more than the workers can do, sorting by priority before
 * lateness would use all capacity for its late jobs, while jobs of the queues after it, which could
 * be on time, would never start.
 *
 *   VpStepQueue step_queue;
 *   vp_stepqueue_setup (&step_queue, worker_list, jobs, config, forecast, now_ms);
 *   for (guint i = 0; i < step_queue.items->len; i++)
 *     place (&g_array_index (step_queue.items, VpStepQueueItem, i));
 *   vp_stepqueue_shutdown (&step_queue);
 */
#pragma once

#include "vp-place.h"

typedef enum {
  VP_LATENESS_ON_TIME,   /* its job can still meet the objective */
  VP_LATENESS_LATE,      /* its job will miss the objective, but its result still has value */
  VP_LATENESS_WORTHLESS, /* it is so late that its result has no value */
} VpLateness;

typedef struct {
  VpJobStep *step;
  const VpQueueConfig *queue;
  guint pool; /* index in @pools of the pool of the queue's service */
  VpLateness lateness;
  bool is_over_rate;       /* the job exceeded its team's rate of jobs */
  int64_t latest_start_ms; /* latest start that still meets the job's objective */
} VpStepQueueItem;

typedef struct {
  const VpWorkerList *worker_list;
  const VpForecast *forecast; /* borrowed; NULL: callers' estimates are taken as durations */
  GArray *items;              /* VpStepQueueItem in order of priority */
  GPtrArray *pools;           /* VpPlacePool, one for each service */
} VpStepQueue;

/* @forecast is borrowed; NULL: callers' estimates are taken as durations. */
void vp_stepqueue_setup (VpStepQueue *step_queue,
                         const VpWorkerList *worker_list,
                         const VpJobList *jobs,
                         const VpCellConfig *config,
                         const VpForecast *forecast,
                         int64_t now_ms);
void vp_stepqueue_shutdown (VpStepQueue *step_queue);
/* Returns the workers of the service that runs the item's step. */
VpPlacePool *vp_stepqueue_pool (const VpStepQueue *step_queue, const VpStepQueueItem *item);
