/* Priority queue of waiting steps, built anew for each decision. Steps whose result has no value
 * any more come last. Steps of the urgent queues, those of priority 0, come before all others.
 * Within each of these groups jobs within their team's rate come first, then jobs by their
 * prospects: those that are in time with high probability, those that hardly are, and late ones;
 * then the lower priority, then late jobs that have begun. An order (VpStepQueueOrder) decides on
 * the prospects and on the rest.
 *
 * Load patterns: under overload, sorting by objective alone would use the capacity for steps that
 * are late anyway and so make all steps late, and a burst of one team would delay all other teams.
 * If a queue that isn't urgent offers more than the workers can do, sorting by priority before
 * lateness would use all capacity for its late jobs, while jobs of the queues after it, which could
 * be on time, would never start. The order by least slack starts each job just before it becomes
 * late, so that any delay that isn't part of its estimate makes it late; see
 * docs/design/overload.md.
 *
 *   VpStepQueue step_queue;
 *   VpStepQueueDesc desc = { .worker_list = worker_list, .jobs = jobs, .config = config,
 *                            .forecast = forecast };
 *   vp_stepqueue_setup (&step_queue, &desc, now_ms);
 *   for (guint i = 0; i < step_queue.items->len; i++)
 *     place (&g_array_index (step_queue.items, VpStepQueueItem, i));
 *   vp_stepqueue_shutdown (&step_queue);
 */
#pragma once

#include "vp-forecast.h"
#include "vp-place.h"

typedef enum {
  VP_LATENESS_ON_TIME,  /* its job will most likely meet the objective if it starts now */
  VP_LATENESS_DOUBTFUL, /* its job hasn't begun and can still meet the objective, but hardly will */
  VP_LATENESS_LATE,     /* its job will miss the objective, but its result still has value */
  VP_LATENESS_WORTHLESS, /* it is so late that its result has no value */
} VpLateness;

typedef struct {
  VpJobStep *step;
  const VpQueueConfig *queue;
  guint pool; /* index in @pools of the pool of the queue's service */
  VpLateness lateness;
  bool is_over_rate;       /* the job exceeded its team's rate of jobs */
  bool is_late_begun;      /* the job is late, and a task of the occurrence was started */
  int64_t latest_start_ms; /* latest start that still meets the job's objective */
  int64_t worthless_ms;    /* the result most likely has no value after this time */
} VpStepQueueItem;

typedef struct _VpStepQueue VpStepQueue;

/* A rule for the prospects of a step and its place among steps of equal prospects. */
typedef struct {
  /* Sets all fields of the item after @is_over_rate. */
  void (*rate) (const VpStepQueue *step_queue, VpStepQueueItem *item, int64_t now_ms);
} VpStepQueueOrder;

/* Order by least slack, with the callers' estimates as durations: the policy of before, for
 * comparisons. */
extern const VpStepQueueOrder vp_stepqueue_estimate_order;
/* Order by forecasts, the default. */
extern const VpStepQueueOrder vp_stepqueue_forecast_order;

typedef struct {
  const VpStepQueueOrder *order; /* NULL: vp_stepqueue_forecast_order */
  const VpWorkerList *worker_list;
  const VpJobList *jobs;
  const VpCellConfig *config;
  const VpForecast *forecast; /* NULL: durations are the callers' estimates */
} VpStepQueueDesc;

struct _VpStepQueue {
  VpStepQueueDesc desc;
  GArray *items;    /* VpStepQueueItem in order of priority */
  GPtrArray *pools; /* VpPlacePool, one for each service */
};

void vp_stepqueue_setup (VpStepQueue *step_queue, const VpStepQueueDesc *desc, int64_t now_ms);
void vp_stepqueue_shutdown (VpStepQueue *step_queue);
/* Returns the workers of the service that runs the item's step. */
VpPlacePool *vp_stepqueue_pool (const VpStepQueue *step_queue, const VpStepQueueItem *item);
