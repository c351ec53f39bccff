/* Private parts of the forecasts. Policies are in vp-forecast.c (estimate) and
 * vp-forecast-learned.c. */
#pragma once

#include "vp-forecast.h"

/* Durations of the policies are those on a worker of speed 1. */
struct _VpForecastPolicy {
  const char *name;
  VpForecast *(*setup) (void);
  void (*shutdown) (VpForecast *forecast);
  void (*record) (VpForecast *forecast, const VpForecastKey *key, double work_ms, int64_t now_ms);
  void (*task) (const VpForecast *forecast, const VpForecastKey *key, VpForecastRange *out);
  void (*step) (const VpForecast *forecast, const VpForecastKey *key, VpForecastRange *out);
  int64_t (*quantile_ms) (const VpForecast *forecast,
                          const VpForecastKey *key,
                          double share,
                          int64_t age_ms);
  double (*probability) (const VpForecast *forecast,
                         const VpForecastKey *key,
                         int64_t age_ms,
                         int64_t until_ms);
};

/* First member of the state of each policy. */
struct _VpForecast {
  const VpForecastPolicy *policy;
  GHashTable *limits; /* queue name -> VpForecastLimit */
};
