/* Expected durations of tasks, learned from runs that have ended.
 *
 *   VpForecast *forecast = vp_forecast_setup (NULL);           // the learned policy
 *   VpForecastKey key = { .queue = "batch", .team = "team", .image = "image", .task_count = 4,
 *                         .size = { .cpu_milli = 500 }, .estimate_ms = 800 };
 *   VpForecastRange range;
 *   vp_forecast_task (forecast, &key, &range);                 // of one task
 *   vp_forecast_step (forecast, &key, &range);                 // of the longest of the four
 *   vp_forecast_record (forecast, &key, 950, worker->slowness, now_ms);
 *   vp_forecast_shutdown (forecast);
 *
 * No I/O. All durations are those on a worker of speed 1; multiply them by the slowness of a worker
 * to get the duration there. Estimates by callers can be wrong by a factor, so they are only one
 * input. Look-ups neither allocate nor change the state. docs/design/forecast.md has the model.
 */
#pragma once

#include "vp-types.h"

/* What is known of a task before it runs. The strings are borrowed. */
typedef struct {
  const char *queue;
  const char *team;
  const char *image;   /* may be empty */
  uint32_t task_count; /* number of tasks of its step */
  VpResources size;    /* size of one task */
  int64_t estimate_ms; /* the caller's estimate for one task */
  uint64_t step;       /* identity of the step: runs of one step are alike; 0: unknown */
} VpForecastKey;

typedef struct {
  int64_t p50_ms;
  int64_t p90_ms;
  uint32_t sample_count; /* effective number of ended runs used; 0: the range is derived from the
                            caller's estimate alone */
} VpForecastRange;

typedef struct _VpForecast VpForecast;
typedef struct _VpForecastPolicy VpForecastPolicy;

/* The caller's estimate is taken as the duration. The baseline for comparisons. */
extern const VpForecastPolicy vp_forecast_policy_estimate;
/* Distributions of durations are learned from the runs that have ended. */
extern const VpForecastPolicy vp_forecast_policy_learned;

/* @policy is the rule by which durations are forecast; NULL: the learned policy. */
VpForecast *vp_forecast_setup (const VpForecastPolicy *policy);
void vp_forecast_shutdown (VpForecast *forecast);
/* Records a run that ended successfully after @duration_ms on a worker of relative slowness
 * @slowness. */
void vp_forecast_record (VpForecast *forecast,
                         const VpForecastKey *key,
                         int64_t duration_ms,
                         double slowness,
                         int64_t now_ms);
/* Records a successful run that counts only for vp_forecast_limit_ms(), as other things than the
 * task itself have prolonged or shortened it. */
void vp_forecast_record_limit (VpForecast *forecast,
                               const char *queue,
                               int64_t duration_ms,
                               int64_t now_ms);
/* Duration of one task. */
void vp_forecast_task (const VpForecast *forecast, const VpForecastKey *key, VpForecastRange *out);
/* Duration of the longest of @key->task_count tasks that run at the same time. */
void vp_forecast_step (const VpForecast *forecast, const VpForecastKey *key, VpForecastRange *out);
/* Returns the quantile @share (0 to 1) of the total duration of a run that has already lasted
 * @age_ms. */
int64_t vp_forecast_quantile_ms (const VpForecast *forecast,
                                 const VpForecastKey *key,
                                 double share,
                                 int64_t age_ms);
/* Returns the probability that a run of age @age_ms ends before it reaches the age @until_ms. */
double vp_forecast_probability (const VpForecast *forecast,
                                const VpForecastKey *key,
                                int64_t age_ms,
                                int64_t until_ms);
/* Returns a duration that nearly no task of the queue exceeds on any worker, or INT64_MAX while too
 * few runs have ended. */
int64_t vp_forecast_limit_ms (const VpForecast *forecast, const char *queue);
