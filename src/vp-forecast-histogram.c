#include "vp-forecast-private.h"

#include <math.h>

/* Range of the histogram. Tasks that take 7 times as long as others of their step are some 6
 * standard deviations away. Values beyond the range count in the outer bins. */
#define VP_FORECAST_BIN_WIDTH 0.25
#define VP_FORECAST_BIN_FIRST (-4.0)

static double
_vp_forecast_bound (uint32_t bin)
{
  return VP_FORECAST_BIN_FIRST + VP_FORECAST_BIN_WIDTH * bin;
}

static void
_vp_forecast_histogram_sum (VpForecastHistogram *histogram)
{
  float total = 0;

  for (uint32_t i = 0; i < VP_FORECAST_BINS; i++) {
    histogram->below[i] = total;
    total += histogram->mass[i];
  }
  for (uint32_t i = 0; i < VP_FORECAST_BINS; i++)
    histogram->below[i] /= total;
  histogram->below[VP_FORECAST_BINS] = 1;
}

void
_vp_forecast_histogram_setup (VpForecastHistogram *histogram, double mass)
{
  for (uint32_t i = 0; i < VP_FORECAST_BINS; i++)
    histogram->mass[i] = (float)(mass / 2
                                 * (erf (_vp_forecast_bound (i + 1) * M_SQRT1_2)
                                    - erf (_vp_forecast_bound (i) * M_SQRT1_2)));
  _vp_forecast_histogram_sum (histogram);
}

void
_vp_forecast_histogram_add (VpForecastHistogram *histogram,
                            double value,
                            double weight,
                            double window)
{
  double bin = (value - VP_FORECAST_BIN_FIRST) / VP_FORECAST_BIN_WIDTH;
  float kept = (float)(1 - weight / window);

  for (uint32_t i = 0; i < VP_FORECAST_BINS; i++)
    histogram->mass[i] *= kept;
  histogram->mass[(uint32_t)CLAMP (bin, 0, VP_FORECAST_BINS - 1)] += (float)weight;
  _vp_forecast_histogram_sum (histogram);
}

double
_vp_forecast_histogram_quantile (const VpForecastHistogram *histogram, double share)
{
  uint32_t low = 0;
  uint32_t high = VP_FORECAST_BINS;
  double mass;

  while (high - low > 1) {
    uint32_t middle = (low + high) / 2;
    if (histogram->below[middle] <= share)
      low = middle;
    else
      high = middle;
  }
  mass = histogram->below[low + 1] - histogram->below[low];
  if (mass <= 0)
    return _vp_forecast_bound (low + 1);
  return _vp_forecast_bound (low)
         + VP_FORECAST_BIN_WIDTH * CLAMP ((share - histogram->below[low]) / mass, 0, 1);
}

double
_vp_forecast_histogram_below (const VpForecastHistogram *histogram, double value)
{
  double bin = (value - VP_FORECAST_BIN_FIRST) / VP_FORECAST_BIN_WIDTH;
  uint32_t index;

  if (bin <= 0)
    return 0;
  if (bin >= VP_FORECAST_BINS)
    return 1;
  index = (uint32_t)bin;
  return histogram->below[index]
         + (bin - index) * (histogram->below[index + 1] - histogram->below[index]);
}
