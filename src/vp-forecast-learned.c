#include "vp-forecast-private.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* The learned policy. The logarithm of a duration is taken as
 *
 *   level + slope * logarithm of the estimate + offset of the shape + effect of the step + rest
 *
 * Everything is learned for each team of a queue. Queues only have medians over their teams, which
 * serve a team with few runs. Runs of one step share the effect of the step, so that a step counts
 * little more than a single run. See docs/design/forecast.md for the alternatives and figures. */

/* Maximum numbers of queues, and of teams over all queues. Together they bound the memory. */
#define VP_FORECAST_QUEUES_MAX 128
#define VP_FORECAST_TEAMS_MAX  384
#define VP_FORECAST_VOTERS_MAX 16 /* teams of a queue whose medians are taken */
#define VP_FORECAST_SHAPES_MAX 16 /* shapes of a team */
#define VP_FORECAST_STEPS_MAX  64 /* steps of a team that may be in progress */

/* Numbers of independent runs after which earlier ones have faded: for the level while the work is
 * the same, for the level after a change, and for the other parts. */
#define VP_FORECAST_SLOW_WINDOW     150
#define VP_FORECAST_FAST_WINDOW     8
#define VP_FORECAST_SLOPE_WINDOW    300
#define VP_FORECAST_SHAPE_WINDOW    60
#define VP_FORECAST_VARIANCE_WINDOW 60
#define VP_FORECAST_TOTAL_WINDOW    150
#define VP_FORECAST_WITHIN_WINDOW   200
/* Number of independent runs over which it is judged which of the two levels predicts better. */
#define VP_FORECAST_ODDS_WINDOW 12
/* Logarithm of the odds against the fast level before any run. It is the noisier one. */
#define VP_FORECAST_ODDS_PRIOR 1.0
/* Logarithm of the odds for the fast level from which the work counts as changed. */
#define VP_FORECAST_ODDS_CHANGED 3.0

/* Initial values: the variance of the logarithm of a caller's error is about 0.9 squared, and tasks
 * of one step differ by about 0.3. */
#define VP_FORECAST_ESTIMATE_VARIANCE 0.81
#define VP_FORECAST_WITHIN_VARIANCE   0.09
#define VP_FORECAST_SLOPE             0.5
/* Variance between teams, for a team that is forecast from others. */
#define VP_FORECAST_TEAM_VARIANCE 0.1
/* Runs that the initial values count as: for the variance, for the slope (in units of the variance
 * of the estimates), for a histogram, for the offset of a shape and for the queue's medians. */
#define VP_FORECAST_VARIANCE_RUNS  4
#define VP_FORECAST_SLOPE_RUNS     2
#define VP_FORECAST_HISTOGRAM_RUNS 10
#define VP_FORECAST_SHAPE_RUNS     8
#define VP_FORECAST_QUEUE_RUNS     3
/* A team with this many independent runs is forecast from its own alone. */
#define VP_FORECAST_OWN_RUNS 30
/* Minimum number of independent runs with which a team counts in the queue's medians. */
#define VP_FORECAST_VOTER_RUNS 3
/* With fewer teams a median isn't robust, so it changes an estimate by this factor at most. */
#define VP_FORECAST_VOTERS_ROBUST 3
#define VP_FORECAST_VOTERS_FACTOR 5.0
/* Deviations count up to this many standard deviations, as durations are heavy-tailed. */
#define VP_FORECAST_CLIP         3.0
#define VP_FORECAST_VARIANCE_MIN 0.0025
/* Upper limit of a duration's logarithm: 30 days in ms. */
#define VP_FORECAST_LOG_MAX 21.7
/* Beyond the quantile of which this share of runs is left, durations follow a power law. */
#define VP_FORECAST_TAIL_SHARE    0.02
#define VP_FORECAST_TAIL_EXPONENT 1.5
/* 90 % quantile of the standard normal distribution. */
#define VP_FORECAST_NORMAL_P90 1.2816

/* Decaying mean of the logarithms of estimate and duration. */
typedef struct {
  double count; /* independent runs */
  double x;
  double y;
} VpForecastLevel;

typedef struct {
  float mean;  /* decaying mean of the deviation from other shapes */
  float count; /* independent runs */
  uint32_t used;
} VpForecastShape;

/* What was expected before any run of a step had ended: the logarithm of the duration, and that
 * according to each level. */
typedef struct {
  float mean;
  float slow;
  float fast;
} VpForecastExpected;

/* Runs of a step that have ended. */
typedef struct {
  VpForecastExpected expected;
  float mean; /* of the logarithms of the durations */
  uint32_t count;
  uint32_t used;
} VpForecastStep;

typedef struct {
  uint64_t id; /* hash of queue and team */
  uint64_t queue;
  int64_t used_ms;
  VpForecastLevel slow;
  VpForecastLevel fast;
  double fast_weight; /* weight of @fast in the level */
  double odds;        /* logarithm of the odds that @fast predicts better */
  double slope;
  double slope_count;
  double xx; /* variance of the logarithm of the estimate */
  double xy; /* its covariance with that of the duration */
  double variance;
  double within_variance;
  double within_count;
  uint32_t used;              /* counts records, for the least recently used shape and step */
  VpForecastHistogram total;  /* deviations without runs of the step */
  VpForecastHistogram within; /* deviations given runs of the step */
  uint64_t shape_ids[VP_FORECAST_SHAPES_MAX];
  VpForecastShape shapes[VP_FORECAST_SHAPES_MAX];
  uint64_t step_ids[VP_FORECAST_STEPS_MAX];
  VpForecastStep steps[VP_FORECAST_STEPS_MAX];
} VpForecastTeam;

/* What a team, or the median of a queue's teams, says about a run. */
typedef struct {
  double count;
  double x;
  double y;
  double slope;
  double variance;
  double within_variance;
} VpForecastSummary;

typedef struct {
  uint64_t id;
  int64_t used_ms;
  uint32_t records;
  uint32_t voter_count;
  uint64_t voter_ids[VP_FORECAST_VOTERS_MAX];
  int64_t voter_used_ms[VP_FORECAST_VOTERS_MAX];
  VpForecastSummary voters[VP_FORECAST_VOTERS_MAX];
  uint32_t median_voters; /* teams that count in @median; 0: it isn't valid */
  VpForecastSummary median;
} VpForecastQueue;

typedef struct {
  VpForecast forecast;
  GHashTable *queues; /* VpForecastQueue.id -> VpForecastQueue */
  GHashTable *teams;  /* VpForecastTeam.id -> VpForecastTeam */
  VpForecastHistogram normal;
} VpForecastLearned;

/* Distribution of the logarithm of a duration. */
typedef struct {
  double x; /* logarithm of the estimate */
  double mean;
  double offset;          /* part of @mean that is due to the shape */
  double step_variance;   /* variance of the effect of the step */
  double within_variance; /* variance within the step */
  const VpForecastHistogram *total;
  const VpForecastHistogram *within;
  double sample_count;
} VpForecastView;

static uint64_t
_vp_forecast_hash (const char *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (text, strlen (text), seed);
}

static double
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

/* Returns the identity of the shape: image, size and number of tasks. */
static uint64_t
_vp_forecast_shape_id (const VpForecastKey *key)
{
  uint64_t classes = _vp_forecast_class (key->size.cpu_milli)
                     | _vp_forecast_class (key->size.mem_mib) << 8
                     | _vp_forecast_class (key->size.accel_count) << 16
                     | _vp_forecast_class (key->task_count) << 24;

  return _vp_forecast_hash (key->image == NULL ? "" : key->image, classes) | 1;
}

/* Returns the index of @id in @ids, or -1. */
static int
_vp_forecast_find_id (const uint64_t *ids, int count, uint64_t id)
{
  for (int i = 0; i < count; i++) {
    if (ids[i] == id)
      return i;
  }
  return -1;
}

static VpForecastTeam *
_vp_forecast_find_team (const VpForecastLearned *learned, const VpForecastKey *key, uint64_t *id)
{
  *id = _vp_forecast_hash (key->team, _vp_forecast_hash (key->queue, 0));
  return g_hash_table_lookup (learned->teams, id);
}

static double
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

/* Sets @out to the distribution without runs of the same step. @team may be NULL. */
static void
_vp_forecast_view_base (const VpForecastLearned *learned,
                        const VpForecastTeam *team,
                        const VpForecastKey *key,
                        VpForecastView *out)
{
  double x = _vp_forecast_log ((double)key->estimate_ms);
  double slow, change;
  int shape;

  if (team == NULL) {
    _vp_forecast_view_queue (learned, _vp_forecast_hash (key->queue, 0), x, out);
    return;
  }
  slow = _vp_forecast_level_at (&team->slow, team->slope, x);
  change = _vp_forecast_level_at (&team->fast, team->slope, x) - slow;
  *out = (VpForecastView){
    .x = x,
    .mean = slow + team->fast_weight * change,
    /* Which of the two levels holds isn't certain. */
    .step_variance = MAX (team->variance - team->within_variance, VP_FORECAST_VARIANCE_MIN)
                     + team->fast_weight * (1 - team->fast_weight) * change * change,
    .within_variance = team->within_variance,
    .total = &team->total,
    .within = &team->within,
    .sample_count = team->slow.count,
  };
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

/* Takes the runs of the step that have ended into account. */
static void
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

/* Returns the standard deviation of a run. */
static double
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

/* Makes room in a table of nodes that begin with an identity, by removing the one whose field at
 * @used_offset, a time, is the earliest. */
static void
_vp_forecast_evict (GHashTable *nodes, guint count_max, size_t used_offset)
{
  GHashTableIter iter;
  gpointer key, value;
  gpointer oldest = NULL;
  int64_t oldest_ms = INT64_MAX;

  if (g_hash_table_size (nodes) < count_max)
    return;
  g_hash_table_iter_init (&iter, nodes);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    int64_t used_ms = G_STRUCT_MEMBER (int64_t, value, used_offset);
    if (oldest == NULL || used_ms < oldest_ms) {
      oldest = key;
      oldest_ms = used_ms;
    }
  }
  g_hash_table_remove (nodes, oldest);
}

static VpForecastTeam *
_vp_forecast_add_team (VpForecastLearned *learned, uint64_t id, uint64_t queue)
{
  VpForecastTeam *team;

  _vp_forecast_evict (learned->teams, VP_FORECAST_TEAMS_MAX,
                      G_STRUCT_OFFSET (VpForecastTeam, used_ms));
  team = g_new0 (VpForecastTeam, 1);
  team->id = id;
  team->queue = queue;
  team->slope = VP_FORECAST_SLOPE;
  team->variance = VP_FORECAST_ESTIMATE_VARIANCE / 2;
  team->within_variance = VP_FORECAST_WITHIN_VARIANCE;
  _vp_forecast_histogram_setup (&team->total, VP_FORECAST_HISTOGRAM_RUNS);
  _vp_forecast_histogram_setup (&team->within, VP_FORECAST_HISTOGRAM_RUNS);
  g_hash_table_insert (learned->teams, &team->id, team);
  return team;
}

static void
_vp_forecast_level_add (VpForecastLevel *level, double x, double y, double weight, double window)
{
  level->count = MIN (level->count + weight, window);
  level->x += weight / level->count * (x - level->x);
  level->y += weight / level->count * (y - level->y);
}

/* Judges which level predicts better, from the errors of both for one run. */
static void
_vp_forecast_judge_levels (VpForecastTeam *team,
                           double slow_error,
                           double fast_error,
                           double weight)
{
  double gain = (slow_error * slow_error - fast_error * fast_error) / (2 * team->variance);

  team->odds = team->odds * (1 - weight / VP_FORECAST_ODDS_WINDOW) + weight * gain;
  if (team->odds > VP_FORECAST_ODDS_CHANGED) {
    team->slow = team->fast;
    team->odds = 0;
  }
  team->fast_weight = 1 / (1 + exp (VP_FORECAST_ODDS_PRIOR - team->odds));
}

static void
_vp_forecast_learn_slope (VpForecastTeam *team, double dx, double error, double weight)
{
  double share;

  team->slope_count = MIN (team->slope_count + weight, VP_FORECAST_SLOPE_WINDOW);
  share = weight / team->slope_count;
  team->xy = (1 - share) * (team->xy + share * dx * (error + team->slope * dx));
  team->xx = (1 - share) * (team->xx + share * dx * dx);
  team->slope = (team->xy * team->slope_count + VP_FORECAST_SLOPE_RUNS * VP_FORECAST_SLOPE)
                / (team->xx * team->slope_count + VP_FORECAST_SLOPE_RUNS);
  team->slope = CLAMP (team->slope, 0, 1.2);
}

static void
_vp_forecast_learn_shape (VpForecastTeam *team,
                          const VpForecastKey *key,
                          double error,
                          double weight)
{
  uint64_t id = _vp_forecast_shape_id (key);
  int index = _vp_forecast_find_id (team->shape_ids, VP_FORECAST_SHAPES_MAX, id);
  VpForecastShape *shape;

  if (index < 0) {
    index = 0;
    for (int i = 1; i < VP_FORECAST_SHAPES_MAX; i++)
      index = team->shapes[i].used < team->shapes[index].used ? i : index;
    team->shape_ids[index] = id;
    team->shapes[index] = (VpForecastShape){ 0 };
  }
  shape = &team->shapes[index];
  shape->used = team->used;
  shape->count = (float)MIN (shape->count + weight, VP_FORECAST_SHAPE_WINDOW);
  shape->mean += (float)(weight / shape->count * (error - shape->mean));
}

/* Adds a run to its step, which is at @index or new, and learns how much runs of a step differ. */
static void
_vp_forecast_learn_step (VpForecastTeam *team,
                         uint64_t id,
                         int index,
                         const VpForecastExpected *expected,
                         double y)
{
  double limit = VP_FORECAST_CLIP * sqrt (team->within_variance);
  VpForecastStep *step;
  double error;

  if (index < 0) {
    index = 0;
    for (int i = 1; i < VP_FORECAST_STEPS_MAX; i++)
      index = team->steps[i].used < team->steps[index].used ? i : index;
    team->step_ids[index] = id;
    team->steps[index] = (VpForecastStep){
      .expected = *expected, .mean = (float)y, .count = 1, .used = team->used
    };
    return;
  }
  step = &team->steps[index];
  step->used = team->used;
  error = CLAMP (y - step->mean, -limit, limit);
  team->within_count = MIN (team->within_count + 1, VP_FORECAST_WITHIN_WINDOW);
  team->within_variance += (error * error * step->count / (step->count + 1) - team->within_variance)
                           / (team->within_count + VP_FORECAST_VARIANCE_RUNS);
  team->within_variance = MAX (team->within_variance, VP_FORECAST_VARIANCE_MIN);
  step->count++;
  step->mean += (float)(error / step->count);
}

static int
_vp_forecast_compare_doubles (const void *a, const void *b)
{
  double one = *(const double *)a;
  double two = *(const double *)b;

  return one < two ? -1 : one > two ? 1 : 0;
}

/* Returns the median over the queue's teams of the field at @offset. */
static double
_vp_forecast_median (const VpForecastQueue *queue, size_t offset)
{
  double values[VP_FORECAST_VOTERS_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < queue->voter_count; i++) {
    if (queue->voters[i].count >= VP_FORECAST_VOTER_RUNS)
      values[count++] = G_STRUCT_MEMBER (double, &queue->voters[i], offset);
  }
  qsort (values, count, sizeof *values, _vp_forecast_compare_doubles);
  return count % 2 == 1 ? values[count / 2] : (values[count / 2 - 1] + values[count / 2]) / 2;
}

static void
_vp_forecast_update_medians (VpForecastQueue *queue)
{
  queue->median_voters = 0;
  for (uint32_t i = 0; i < queue->voter_count; i++)
    queue->median_voters += queue->voters[i].count >= VP_FORECAST_VOTER_RUNS ? 1 : 0;
  if (queue->median_voters == 0)
    return;
  queue->median = (VpForecastSummary){
    .count = _vp_forecast_median (queue, G_STRUCT_OFFSET (VpForecastSummary, count)),
    .x = _vp_forecast_median (queue, G_STRUCT_OFFSET (VpForecastSummary, x)),
    .y = _vp_forecast_median (queue, G_STRUCT_OFFSET (VpForecastSummary, y)),
    .slope = _vp_forecast_median (queue, G_STRUCT_OFFSET (VpForecastSummary, slope)),
    .variance = _vp_forecast_median (queue, G_STRUCT_OFFSET (VpForecastSummary, variance)),
    .within_variance
    = _vp_forecast_median (queue, G_STRUCT_OFFSET (VpForecastSummary, within_variance)),
  };
}

/* Passes what is known of the team on to its queue. */
static void
_vp_forecast_learn_queue (VpForecastLearned *learned, const VpForecastTeam *team, int64_t now_ms)
{
  VpForecastQueue *queue = g_hash_table_lookup (learned->queues, &team->queue);
  int index;

  if (queue == NULL) {
    _vp_forecast_evict (learned->queues, VP_FORECAST_QUEUES_MAX,
                        G_STRUCT_OFFSET (VpForecastQueue, used_ms));
    queue = g_new0 (VpForecastQueue, 1);
    queue->id = team->queue;
    g_hash_table_insert (learned->queues, &queue->id, queue);
  }
  index = _vp_forecast_find_id (queue->voter_ids, (int)queue->voter_count, team->id);
  if (index < 0 && queue->voter_count < VP_FORECAST_VOTERS_MAX)
    index = (int)queue->voter_count++;
  if (index < 0) {
    index = 0;
    for (int i = 1; i < VP_FORECAST_VOTERS_MAX; i++)
      index = queue->voter_used_ms[i] < queue->voter_used_ms[index] ? i : index;
  }
  queue->voter_ids[index] = team->id;
  queue->voter_used_ms[index] = queue->used_ms = now_ms;
  queue->voters[index] = (VpForecastSummary){ .count = team->slow.count,
                                              .x = team->fast.x,
                                              .y = team->fast.y,
                                              .slope = team->slope,
                                              .variance = team->variance,
                                              .within_variance = team->within_variance };
  /* The medians take longer than the rest, and change little with one run of a team that has many.
   */
  if (team->slow.count < VP_FORECAST_FAST_WINDOW || queue->records++ % 8 == 0)
    _vp_forecast_update_medians (queue);
}

/* Sets @out to what is expected of the run without runs of its step. */
static void
_vp_forecast_expect (const VpForecastTeam *team,
                     const VpForecastView *view,
                     VpForecastExpected *out)
{
  *out = (VpForecastExpected){
    .mean = (float)view->mean,
    .slow = (float)(_vp_forecast_level_at (&team->slow, team->slope, view->x) + view->offset),
    .fast = (float)(_vp_forecast_level_at (&team->fast, team->slope, view->x) + view->offset),
  };
}

/* Adds a run to all parts but its step. @error is its deviation from what was expected before any
 * run of its step had ended, or else the first ones would seem to predict the others. */
static void
_vp_forecast_learn_run (VpForecastTeam *team,
                        const VpForecastKey *key,
                        const VpForecastView *view,
                        const VpForecastExpected *expected,
                        double error,
                        double weight)
{
  double y = expected->mean + error;

  team->variance
      += weight * (error * error - team->variance)
         / (MIN (team->slow.count, VP_FORECAST_VARIANCE_WINDOW) + VP_FORECAST_VARIANCE_RUNS);
  team->variance = MAX (team->variance, VP_FORECAST_VARIANCE_MIN);
  if (team->slow.count > 0) {
    double dx = view->x - team->slow.x;
    _vp_forecast_judge_levels (team, y - expected->slow, y - expected->fast, weight);
    _vp_forecast_learn_slope (team, dx, error, weight);
  }
  _vp_forecast_level_add (&team->slow, view->x, y - view->offset, weight, VP_FORECAST_SLOW_WINDOW);
  _vp_forecast_level_add (&team->fast, view->x, y - view->offset, weight, VP_FORECAST_FAST_WINDOW);
  _vp_forecast_learn_shape (team, key, error + view->offset, weight);
}

static void
_vp_forecast_learned_record (VpForecast *forecast,
                             const VpForecastKey *key,
                             double work_ms,
                             int64_t now_ms)
{
  VpForecastLearned *learned = (VpForecastLearned *)forecast;
  double y = _vp_forecast_log (work_ms);
  uint64_t id;
  VpForecastTeam *team = _vp_forecast_find_team (learned, key, &id);
  VpForecastView view, known;
  VpForecastExpected expected;
  double deviation, error, weight;
  int step;

  if (team == NULL)
    team = _vp_forecast_add_team (learned, id, _vp_forecast_hash (key->queue, 0));
  team->used_ms = now_ms;
  team->used++;
  step = key->step == 0 ? -1
                        : _vp_forecast_find_id (team->step_ids, VP_FORECAST_STEPS_MAX, key->step);
  _vp_forecast_view_base (learned, team, key, &view);
  if (step >= 0)
    expected = team->steps[step].expected;
  else
    _vp_forecast_expect (team, &view, &expected);
  deviation = _vp_forecast_deviation (&view);
  /* The runs of a step together count as much as the mean of the step tells about the level. */
  weight = (view.step_variance + view.within_variance)
           / (view.step_variance * MAX (key->task_count, 1) + view.within_variance);
  error = y - expected.mean;
  _vp_forecast_histogram_add (&team->total, error / deviation, weight, VP_FORECAST_TOTAL_WINDOW);
  known = view;
  _vp_forecast_view_step (team, key, &known);
  if (step >= 0)
    _vp_forecast_histogram_add (&team->within, (y - known.mean) / _vp_forecast_deviation (&known),
                                1, VP_FORECAST_WITHIN_WINDOW);
  error = CLAMP (error, -VP_FORECAST_CLIP * deviation, VP_FORECAST_CLIP * deviation);
  _vp_forecast_learn_run (team, key, &view, &expected, error, weight);
  if (key->step != 0)
    _vp_forecast_learn_step (team, key->step, step, &expected, expected.mean + error);
  _vp_forecast_learn_queue (learned, team, now_ms);
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
