/* Private parts of the forecasts. The policy `estimate` is in vp-forecast.c, the learned policy in
 * vp-forecast-learned.c and vp-forecast-record.c, and its histogram in vp-forecast-histogram.c. */
#pragma once

#include "vp-forecast.h"

/* Durations that policies record are those on a worker of speed 1. */
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

#define VP_FORECAST_BINS 56

/* Decaying histogram of standardised deviations: 0 is the expected value, and 1 a standard
 * deviation above it. */
typedef struct {
  float mass[VP_FORECAST_BINS];
  float below[VP_FORECAST_BINS + 1]; /* share of the mass below each bound */
} VpForecastHistogram;

/* Sets the histogram to a normal distribution that counts as much as @mass values. */
void _vp_forecast_histogram_setup (VpForecastHistogram *histogram, double mass);
/* Adds a value of @weight. Earlier values fade, so that at most @window values count. */
void _vp_forecast_histogram_add (VpForecastHistogram *histogram,
                                 double value,
                                 double weight,
                                 double window);
/* Returns the value that the share @share (0 to 1) of the values doesn't exceed. */
double _vp_forecast_histogram_quantile (const VpForecastHistogram *histogram, double share);
/* Returns the share of the values that are below @value. */
double _vp_forecast_histogram_below (const VpForecastHistogram *histogram, double value);
