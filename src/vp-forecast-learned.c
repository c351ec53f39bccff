#include "vp-forecast-learned-private.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Variance between teams, for a team that is forecast from others. */
#define VP_FORECAST_TEAM_VARIANCE 0.1
/* Independent runs that the mean of all shapes and the medians of a queue count as, against those
 * of a shape and of a team. */
#define VP_FORECAST_SHAPE_RUNS 12
#define VP_FORECAST_QUEUE_RUNS 3
/* A team with this many independent runs is forecast from its own alone. */
#define VP_FORECAST_OWN_RUNS 30
/* With fewer teams a median isn't robust, so it changes an estimate by this factor at most. */
#define VP_FORECAST_VOTERS_ROBUST 3
#define VP_FORECAST_VOTERS_FACTOR 5.0
/* Smaller changes of the logarithm, which teams that don't change show as well, aren't followed. */
#define VP_FORECAST_CHANGE_MIN 0.2
/* Upper limit of a duration's logarithm: 30 days in ms. */
#define VP_FORECAST_LOG_MAX 21.7
/* Beyond the quantile of which this share of runs is left, durations follow a power law. */
#define VP_FORECAST_TAIL_SHARE    0.02
#define VP_FORECAST_TAIL_EXPONENT 1.5
/* 90 % quantile of the standard normal distribution. */
#define VP_FORECAST_NORMAL_P90 1.2816

uint64_t
_vp_forecast_hash (const char *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (text, strlen (text), seed);
}

double
_vp_forecast_log (double ms)
{
  return CLAMP (log (MAX (ms, 1)), 0, VP_FORECAST_LOG_MAX);
}

static int64_t
_vp_forecast_exp (double logarithm)
{
  return (int64_t)exp (CLAMP (logarithm, 0, VP_FORECAST_LOG_MAX));
}

/* Returns the number of bits of the amount, so that a class spans a factor of 2. */
static uint64_t
_vp_forecast_class (int64_t amount)
{
  return amount <= 0 ? 0 : 64 - (uint64_t)__builtin_clzll ((uint64_t)amount);
}

uint64_t
_vp_forecast_shape_id (const VpForecastKey *key)
{
  uint64_t classes = _vp_forecast_class (key->size.cpu_milli)
                     | _vp_forecast_class (key->size.mem_mib) << 8
                     | _vp_forecast_class (key->size.accel_count) << 16
                     | _vp_forecast_class (key->task_count) << 24;

  return _vp_forecast_hash (key->image == NULL ? "" : key->image, classes) | 1;
}

int
_vp_forecast_find_id (const uint64_t *ids, int count, uint64_t id)
{
  for (int i = 0; i < count; i++) {
    if (ids[i] == id)
      return i;
  }
  return -1;
}

VpForecastTeam *
_vp_forecast_find_team (const VpForecastLearned *learned, const VpForecastKey *key, uint64_t *id)
{
  *id = _vp_forecast_hash (key->team, _vp_forecast_hash (key->queue, 0));
  return g_hash_table_lookup (learned->teams, id);
}

double
_vp_forecast_level_at (const VpForecastLevel *level, double slope, double x)
{
  return level->y + slope * (x - level->x);
}

/* Sets @out to what is known of a team without runs. */
static void
_vp_forecast_view_queue (const VpForecastLearned *learned,
                         uint64_t queue_id,
                         double x,
                         VpForecastView *out)
{
  const VpForecastQueue *queue = g_hash_table_lookup (learned->queues, &queue_id);
  const VpForecastSummary *median;
  double margin = log (VP_FORECAST_VOTERS_FACTOR);

  *out = (VpForecastView){ .x = x,
                           .mean = x,
                           .step_variance = VP_FORECAST_ESTIMATE_VARIANCE,
                           .within_variance = VP_FORECAST_WITHIN_VARIANCE,
                           .total = &learned->normal,
                           .within = &learned->normal };
  if (queue == NULL || queue->median_voters == 0)
    return;
  median = &queue->median;
  out->mean = median->y + median->slope * (x - median->x);
  if (queue->median_voters < VP_FORECAST_VOTERS_ROBUST)
    out->mean = CLAMP (out->mean, x - margin, x + margin);
  out->within_variance = median->within_variance;
  out->step_variance = MAX (median->variance - median->within_variance, VP_FORECAST_VARIANCE_MIN)
                       + VP_FORECAST_TEAM_VARIANCE;
  out->sample_count = median->count;
}

/* Combines the view of the queue with that of a team of few runs. */
static void
_vp_forecast_blend (const VpForecastView *queue, double count, VpForecastView *out)
{
  double runs = VP_FORECAST_QUEUE_RUNS * MAX (1 - count / VP_FORECAST_OWN_RUNS, 0);
  double share = runs / (runs + count);

  out->mean += share * (queue->mean - out->mean);
  out->step_variance += share * (queue->step_variance - out->step_variance);
  out->within_variance += share * (queue->within_variance - out->within_variance);
  out->sample_count += share * queue->sample_count;
}

/* Sets the levels of @view, and the mean of their mixture. */
static void
_vp_forecast_view_levels (const VpForecastLearned *learned,
                          const VpForecastTeam *team,
                          VpForecastView *view)
{
  const VpForecastQueue *queue = g_hash_table_lookup (learned->queues, &team->queue);
  double weights[VP_FORECAST_LEVELS] = { 1, team->fast_weight, 0 };
  double sum = 0;
  double square = 0;
  double change = 0;

  view->levels[VP_FORECAST_SLOW] = _vp_forecast_level_at (&team->slow, team->slope, view->x);
  view->levels[VP_FORECAST_FAST] = _vp_forecast_level_at (&team->fast, team->slope, view->x);
  view->levels[VP_FORECAST_SHARED] = view->levels[VP_FORECAST_SLOW];
  if (queue != NULL && queue->recent_teams >= VP_FORECAST_VOTERS_ROBUST
      && fabs (queue->change) > VP_FORECAST_CHANGE_MIN) {
    view->levels[VP_FORECAST_SHARED]
        = _vp_forecast_level_at (&team->anchor, team->slope, view->x) + queue->change;
    weights[VP_FORECAST_SHARED]
        = exp (CLAMP (team->odds[VP_FORECAST_SHARED] + queue->change_odds, -20, 20));
  }
  for (int i = 0; i < VP_FORECAST_LEVELS; i++)
    sum += weights[i];
  for (int i = 0; i < VP_FORECAST_LEVELS; i++) {
    double difference = view->levels[i] - view->levels[VP_FORECAST_SLOW];
    change += weights[i] / sum * difference;
    square += weights[i] / sum * difference * difference;
  }
  view->mean = view->levels[VP_FORECAST_SLOW] + change;
  /* Which of the levels holds isn't certain. */
  view->step_variance += MAX (square - change * change, 0);
}

void
_vp_forecast_view_base (const VpForecastLearned *learned,
                        const VpForecastTeam *team,
                        const VpForecastKey *key,
                        VpForecastView *out)
{
  double x = _vp_forecast_log ((double)key->estimate_ms);
  int shape;

  if (team == NULL) {
    _vp_forecast_view_queue (learned, _vp_forecast_hash (key->queue, 0), x, out);
    return;
  }
  *out = (VpForecastView){
    .x = x,
    .step_variance = MAX (team->variance - team->within_variance, VP_FORECAST_VARIANCE_MIN),
    .within_variance = team->within_variance,
    .total = &team->total,
    .within = &team->within,
    .sample_count = team->slow.count,
  };
  _vp_forecast_view_levels (learned, team, out);
  if (team->slow.count < VP_FORECAST_OWN_RUNS) {
    VpForecastView queue;
    _vp_forecast_view_queue (learned, team->queue, x, &queue);
    _vp_forecast_blend (&queue, team->slow.count, out);
  }
  out->step_variance += team->variance / (team->slow.count + 1);
  shape
      = _vp_forecast_find_id (team->shape_ids, VP_FORECAST_SHAPES_MAX, _vp_forecast_shape_id (key));
  if (shape >= 0)
    out->offset = team->shapes[shape].mean * team->shapes[shape].count
                  / (team->shapes[shape].count + VP_FORECAST_SHAPE_RUNS);
  out->mean += out->offset;
}

void
_vp_forecast_view_step (const VpForecastTeam *team, const VpForecastKey *key, VpForecastView *view)
{
  int index = team == NULL || key->step == 0
                  ? -1
                  : _vp_forecast_find_id (team->step_ids, VP_FORECAST_STEPS_MAX, key->step);
  const VpForecastStep *step;
  double weight;

  if (index < 0)
    return;
  step = &team->steps[index];
  /* Posterior of the effect of the step, given the mean of some runs. */
  weight = view->step_variance / (view->step_variance + view->within_variance / step->count);
  view->mean += weight * (step->mean - view->mean);
  view->step_variance *= 1 - weight;
  view->total = &team->within;
}

static void
_vp_forecast_view (const VpForecastLearned *learned, const VpForecastKey *key, VpForecastView *out)
{
  uint64_t id;
  const VpForecastTeam *team = _vp_forecast_find_team (learned, key, &id);

  _vp_forecast_view_base (learned, team, key, out);
  _vp_forecast_view_step (team, key, out);
}

double
_vp_forecast_deviation (const VpForecastView *view)
{
  return sqrt (view->step_variance + view->within_variance);
}

static void
_vp_forecast_learned_task (const VpForecast *forecast,
                           const VpForecastKey *key,
                           VpForecastRange *out)
{
  VpForecastView view;
  double deviation;

  _vp_forecast_view ((const VpForecastLearned *)forecast, key, &view);
  deviation = _vp_forecast_deviation (&view);
  *out = (VpForecastRange){
    .p50_ms
    = _vp_forecast_exp (view.mean + deviation * _vp_forecast_histogram_quantile (view.total, 0.5)),
    .p90_ms
    = _vp_forecast_exp (view.mean + deviation * _vp_forecast_histogram_quantile (view.total, 0.9)),
    .sample_count = (uint32_t)ceil (view.sample_count),
  };
}

static void
_vp_forecast_learned_step (const VpForecast *forecast,
                           const VpForecastKey *key,
                           VpForecastRange *out)
{
  VpForecastView view;
  double within, p50, p90, above;

  if (key->task_count <= 1) {
    _vp_forecast_learned_task (forecast, key, out);
    return;
  }
  _vp_forecast_view ((const VpForecastLearned *)forecast, key, &view);
  within = sqrt (view.within_variance);
  /* The longest of N is below a value with the N-th power of the probability for one. */
  p50 = within * _vp_forecast_histogram_quantile (view.within, pow (0.5, 1.0 / key->task_count));
  p90 = within * _vp_forecast_histogram_quantile (view.within, pow (0.9, 1.0 / key->task_count));
  above = hypot (VP_FORECAST_NORMAL_P90 * sqrt (view.step_variance), p90 - p50);
  *out = (VpForecastRange){
    .p50_ms = _vp_forecast_exp (view.mean + p50),
    .p90_ms = _vp_forecast_exp (view.mean + p50 + above),
    .sample_count = (uint32_t)ceil (view.sample_count),
  };
}

static int64_t
_vp_forecast_learned_quantile_ms (const VpForecast *forecast,
                                  const VpForecastKey *key,
                                  double share,
                                  int64_t age_ms)
{
  VpForecastView view;
  double deviation, past = 0;
  double asked = CLAMP (share, 0, 0.999);

  _vp_forecast_view ((const VpForecastLearned *)forecast, key, &view);
  deviation = _vp_forecast_deviation (&view);
  if (age_ms > 0)
    past
        = _vp_forecast_histogram_below (view.total, (log ((double)age_ms) - view.mean) / deviation);
  if (1 - past < VP_FORECAST_TAIL_SHARE)
    return _vp_forecast_exp (log ((double)age_ms) - log1p (-asked) / VP_FORECAST_TAIL_EXPONENT);
  return MAX (
      _vp_forecast_exp (
          view.mean
          + deviation * _vp_forecast_histogram_quantile (view.total, past + asked * (1 - past))),
      age_ms);
}

static double
_vp_forecast_learned_probability (const VpForecast *forecast,
                                  const VpForecastKey *key,
                                  int64_t age_ms,
                                  int64_t until_ms)
{
  VpForecastView view;
  double deviation, until;
  double past = 0;

  if (until_ms <= MAX (age_ms, 0))
    return 0;
  _vp_forecast_view ((const VpForecastLearned *)forecast, key, &view);
  deviation = _vp_forecast_deviation (&view);
  if (age_ms > 0)
    past
        = _vp_forecast_histogram_below (view.total, (log ((double)age_ms) - view.mean) / deviation);
  if (1 - past < VP_FORECAST_TAIL_SHARE)
    return 1 - pow ((double)age_ms / (double)until_ms, VP_FORECAST_TAIL_EXPONENT);
  until
      = _vp_forecast_histogram_below (view.total, (log ((double)until_ms) - view.mean) / deviation);
  return (until - past) / (1 - past);
}

static VpForecast *
_vp_forecast_learned_setup (void)
{
  VpForecastLearned *learned = g_new0 (VpForecastLearned, 1);

  learned->queues = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  learned->teams = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  _vp_forecast_histogram_setup (&learned->normal, 1);
  return &learned->forecast;
}

static void
_vp_forecast_learned_shutdown (VpForecast *forecast)
{
  VpForecastLearned *learned = (VpForecastLearned *)forecast;

  g_hash_table_unref (learned->teams);
  g_hash_table_unref (learned->queues);
  g_free (learned);
}

const VpForecastPolicy vp_forecast_policy_learned = {
  .name = "learned",
  .setup = _vp_forecast_learned_setup,
  .shutdown = _vp_forecast_learned_shutdown,
  .record = _vp_forecast_learned_record,
  .task = _vp_forecast_learned_task,
  .step = _vp_forecast_learned_step,
  .quantile_ms = _vp_forecast_learned_quantile_ms,
  .probability = _vp_forecast_learned_probability,
};
