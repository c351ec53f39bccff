#include "vp-forecast-private.h"

/* Minimum number of ended runs from which a limit is derived. */
#define VP_FORECAST_LIMIT_RUNS_MIN 20
/* Share by which the maximum decays with each new duration, so that one outlier doesn't raise the
 * limit for ever. */
#define VP_FORECAST_LIMIT_DECAY 0.002
/* The limit is the maximum times VP_FORECAST_LIMIT_FACTOR plus VP_FORECAST_LIMIT_MARGIN_MS, as
 * workers differ in speed and some tasks run far from their data. */
#define VP_FORECAST_LIMIT_FACTOR    2.0
#define VP_FORECAST_LIMIT_MARGIN_MS 1000
/* Longest duration from which a limit is derived: 30 days. */
#define VP_FORECAST_LIMIT_DURATION_MAX_MS (INT64_C (30) * 86400 * 1000)
/* Maximum number of queues with a limit, which bounds the memory. The one without a new run for
 * longest makes room for another. */
#define VP_FORECAST_LIMITS_MAX 256
/* Range of a worker's slowness, so that an unset or extreme one doesn't distort a duration. */
#define VP_FORECAST_SLOWNESS_MIN 0.05
#define VP_FORECAST_SLOWNESS_MAX 20.0

typedef struct {
  double longest_ms; /* decaying maximum of the durations, whatever the worker's slowness */
  uint32_t count;
  int64_t recorded_ms;
} VpForecastLimit;

VpForecast *
vp_forecast_setup (const VpForecastPolicy *policy)
{
  const VpForecastPolicy *chosen = policy == NULL ? &vp_forecast_policy_learned : policy;
  VpForecast *forecast = chosen->setup ();

  forecast->policy = chosen;
  forecast->limits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return forecast;
}

void
vp_forecast_shutdown (VpForecast *forecast)
{
  g_hash_table_unref (forecast->limits);
  forecast->policy->shutdown (forecast);
}

static void
_vp_forecast_evict_limit (VpForecast *forecast)
{
  GHashTableIter iter;
  gpointer key, value;
  const char *oldest = NULL;
  int64_t oldest_ms = INT64_MAX;

  g_hash_table_iter_init (&iter, forecast->limits);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    const VpForecastLimit *limit = value;
    if (oldest == NULL || limit->recorded_ms < oldest_ms) {
      oldest = key;
      oldest_ms = limit->recorded_ms;
    }
  }
  g_hash_table_remove (forecast->limits, oldest);
}

void
vp_forecast_record_limit (VpForecast *forecast,
                          const char *queue,
                          int64_t duration_ms,
                          int64_t now_ms)
{
  VpForecastLimit *limit = g_hash_table_lookup (forecast->limits, queue);

  if (limit == NULL) {
    if (g_hash_table_size (forecast->limits) >= VP_FORECAST_LIMITS_MAX)
      _vp_forecast_evict_limit (forecast);
    limit = g_new0 (VpForecastLimit, 1);
    g_hash_table_insert (forecast->limits, g_strdup (queue), limit);
  }
  limit->count++;
  limit->recorded_ms = now_ms;
  /* A longer duration isn't that of a task, and its limit might exceed the range. */
  limit->longest_ms = MAX (limit->longest_ms * (1 - VP_FORECAST_LIMIT_DECAY),
                           (double)MIN (duration_ms, VP_FORECAST_LIMIT_DURATION_MAX_MS));
}

void
vp_forecast_record (VpForecast *forecast,
                    const VpForecastKey *key,
                    int64_t duration_ms,
                    double slowness,
                    int64_t now_ms)
{
  int64_t lasted_ms = MAX (duration_ms, 0);
  /* The comparison is false for NaN. */
  double factor = slowness >= VP_FORECAST_SLOWNESS_MIN ? MIN (slowness, VP_FORECAST_SLOWNESS_MAX)
                                                       : VP_FORECAST_SLOWNESS_MIN;

  vp_forecast_record_limit (forecast, key->queue, lasted_ms, now_ms);
  forecast->policy->record (forecast, key, (double)lasted_ms / factor, now_ms);
}

void
vp_forecast_task (const VpForecast *forecast, const VpForecastKey *key, VpForecastRange *out)
{
  forecast->policy->task (forecast, key, out);
}

void
vp_forecast_step (const VpForecast *forecast, const VpForecastKey *key, VpForecastRange *out)
{
  forecast->policy->step (forecast, key, out);
}

int64_t
vp_forecast_quantile_ms (const VpForecast *forecast,
                         const VpForecastKey *key,
                         double share,
                         int64_t age_ms)
{
  return forecast->policy->quantile_ms (forecast, key, share, age_ms);
}

double
vp_forecast_probability (const VpForecast *forecast,
                         const VpForecastKey *key,
                         int64_t age_ms,
                         int64_t until_ms)
{
  return forecast->policy->probability (forecast, key, age_ms, until_ms);
}

int64_t
vp_forecast_limit_ms (const VpForecast *forecast, const char *queue)
{
  const VpForecastLimit *limit = g_hash_table_lookup (forecast->limits, queue);

  if (limit == NULL || limit->count < VP_FORECAST_LIMIT_RUNS_MIN)
    return INT64_MAX;
  return (int64_t)(limit->longest_ms * VP_FORECAST_LIMIT_FACTOR) + VP_FORECAST_LIMIT_MARGIN_MS;
}

static VpForecast *
_vp_forecast_estimate_setup (void)
{
  return g_new0 (VpForecast, 1);
}

static void
_vp_forecast_estimate_shutdown (VpForecast *forecast)
{
  g_free (forecast);
}

static void
_vp_forecast_estimate_record (VpForecast *forecast G_GNUC_UNUSED,
                              const VpForecastKey *key G_GNUC_UNUSED,
                              double work_ms G_GNUC_UNUSED,
                              int64_t now_ms G_GNUC_UNUSED)
{
}

static void
_vp_forecast_estimate_range (const VpForecast *forecast G_GNUC_UNUSED,
                             const VpForecastKey *key,
                             VpForecastRange *out)
{
  *out = (VpForecastRange){ .p50_ms = key->estimate_ms, .p90_ms = key->estimate_ms };
}

static int64_t
_vp_forecast_estimate_quantile_ms (const VpForecast *forecast G_GNUC_UNUSED,
                                   const VpForecastKey *key,
                                   double share G_GNUC_UNUSED,
                                   int64_t age_ms)
{
  return MAX (key->estimate_ms, age_ms);
}

static double
_vp_forecast_estimate_probability (const VpForecast *forecast G_GNUC_UNUSED,
                                   const VpForecastKey *key,
                                   int64_t age_ms,
                                   int64_t until_ms)
{
  return until_ms > MAX (key->estimate_ms, age_ms) ? 1 : 0;
}

const VpForecastPolicy vp_forecast_policy_estimate = {
  .name = "estimate",
  .setup = _vp_forecast_estimate_setup,
  .shutdown = _vp_forecast_estimate_shutdown,
  .record = _vp_forecast_estimate_record,
  .task = _vp_forecast_estimate_range,
  .step = _vp_forecast_estimate_range,
  .quantile_ms = _vp_forecast_estimate_quantile_ms,
  .probability = _vp_forecast_estimate_probability,
};
