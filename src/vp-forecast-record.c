#include "vp-forecast-learned-private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Maximum numbers of queues, and of teams over all queues. Together they bound the memory. */
#define VP_FORECAST_QUEUES_MAX 128
#define VP_FORECAST_TEAMS_MAX  384

/* Numbers of independent runs after which earlier ones have faded: for the level while the work is
 * the same, for the level after a change, and for the other parts. For the second, 3 follow a
 * change of three teams within 40 runs for every load of tests/test-forecast.c; with 8, down to 32
 * % of the runs were within the p50 then. */
#define VP_FORECAST_SLOW_WINDOW     150
#define VP_FORECAST_FAST_WINDOW     3
#define VP_FORECAST_SLOPE_WINDOW    300
#define VP_FORECAST_SHAPE_WINDOW    60
#define VP_FORECAST_VARIANCE_WINDOW 60
#define VP_FORECAST_TOTAL_WINDOW    150
#define VP_FORECAST_WITHIN_WINDOW   200
/* Number of independent runs over which it is judged which level predicts best. */
#define VP_FORECAST_ODDS_WINDOW 12
/* Logarithm of the odds against a change that teams share, before any run. */
#define VP_FORECAST_ODDS_SHARED 0.7
/* The same where the last steps of the queue are of this many teams or more, and are evidence by
 * themselves: few of the teams have had a run since a change then. Without that, 35 % of the runs
 * of 15 teams were within the p50 after a doubling; with 2.7, 1.5 and 0.5 it was 41, 42 and 43 %.
 */
#define VP_FORECAST_ODDS_RECENT  0.5
#define VP_FORECAST_RECENT_TEAMS 6
/* Number of the last steps of a queue that may be of the same team, so that one team doesn't
 * decide. */
#define VP_FORECAST_RECENT_TEAM_MAX 2
/* Logarithm of the odds for another level than the slow one from which the work counts as changed.
 */
#define VP_FORECAST_ODDS_CHANGED 1.5

/* Initial slope: how much of an estimate is believed before any run. */
#define VP_FORECAST_SLOPE 0.5
/* Runs that the initial values count as: for the variance, for the slope (in units of the variance
 * of the estimates) and for a histogram. */
#define VP_FORECAST_VARIANCE_RUNS  4
#define VP_FORECAST_SLOPE_RUNS     2
#define VP_FORECAST_HISTOGRAM_RUNS 10
/* Minimum number of independent runs with which a team counts in the queue's medians. */
#define VP_FORECAST_VOTER_RUNS 3
/* Deviations count up to this many standard deviations, as durations are heavy-tailed. */
#define VP_FORECAST_CLIP 3.0

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
  team->fast_weight = 1;
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

/* Judges which level predicts best, from what each expected of a run of duration @y. If the work
 * has changed, the slow level begins anew from the level that predicts it. */
static void
_vp_forecast_judge_levels (VpForecastTeam *team,
                           const VpForecastView *view,
                           const VpForecastExpected *expected,
                           double y,
                           double weight)
{
  double slow_error = y - expected->levels[VP_FORECAST_SLOW];
  int best = VP_FORECAST_SLOW;

  for (int i = VP_FORECAST_FAST; i < VP_FORECAST_LEVELS; i++) {
    double error = y - expected->levels[i];
    double gain = (slow_error * slow_error - error * error) / (2 * team->variance);
    team->odds[i] = team->odds[i] * (1 - weight / VP_FORECAST_ODDS_WINDOW) + weight * gain;
    best = team->odds[i] > team->odds[best] ? i : best;
  }
  if (team->odds[best] > VP_FORECAST_ODDS_CHANGED) {
    team->slow = (VpForecastLevel){ .count = team->fast.count,
                                    .x = team->fast.x,
                                    .y = team->fast.y + view->levels[best]
                                         - view->levels[VP_FORECAST_FAST] };
    memset (team->odds, 0, sizeof team->odds);
  }
  team->fast_weight = exp (team->odds[VP_FORECAST_FAST]);
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
  double values[VP_FORECAST_VOTERS_MAX] = { 0 };
  uint32_t count = 0;

  for (uint32_t i = 0; i < queue->voter_count; i++) {
    if (queue->voters[i].count >= VP_FORECAST_VOTER_RUNS)
      values[count++] = G_STRUCT_MEMBER (double, &queue->voters[i], offset);
  }
  qsort (values, count, sizeof *values, _vp_forecast_compare_doubles);
  return count % 2 == 1 ? values[count / 2] : (values[count / 2 - 1] + values[count / 2]) / 2;
}

/* Returns the entry for a step that isn't among the last ones. */
static VpForecastRecent *
_vp_forecast_new_recent (VpForecastQueue *queue, uint64_t team)
{
  VpForecastRecent *oldest = NULL;
  VpForecastRecent *oldest_of_team = NULL;
  uint32_t team_count = 0;

  for (uint32_t i = 0; i < queue->recent_count; i++) {
    VpForecastRecent *each = &queue->recent[i];
    if (oldest == NULL || each->used < oldest->used)
      oldest = each;
    if (each->team != team)
      continue;
    team_count++;
    if (oldest_of_team == NULL || each->used < oldest_of_team->used)
      oldest_of_team = each;
  }
  if (team_count >= VP_FORECAST_RECENT_TEAM_MAX)
    return oldest_of_team;
  return queue->recent_count < VP_FORECAST_RECENT_MAX ? &queue->recent[queue->recent_count++]
                                                      : oldest;
}

static void
_vp_forecast_update_change (VpForecastQueue *queue, double variance)
{
  double values[VP_FORECAST_RECENT_MAX] = { 0 };
  uint32_t count = queue->recent_count;

  queue->recent_teams = 0;
  for (uint32_t i = 0; i < count; i++) {
    bool is_first = true;
    values[i] = queue->recent[i].change;
    for (uint32_t k = 0; k < i; k++)
      is_first = is_first && queue->recent[k].team != queue->recent[i].team;
    queue->recent_teams += is_first ? 1 : 0;
  }
  qsort (values, count, sizeof *values, _vp_forecast_compare_doubles);
  queue->change = (values[(count - 1) / 2] + values[count / 2]) / 2;
  queue->change_odds
      = queue->recent_teams < VP_FORECAST_RECENT_TEAMS
            ? -VP_FORECAST_ODDS_SHARED
            : count * queue->change * queue->change / (2 * variance) - VP_FORECAST_ODDS_RECENT;
}

/* Learns from a run that is @change above the anchor of its team whether the work of the queue has
 * changed. */
static void
_vp_forecast_learn_change (VpForecastQueue *queue,
                           const VpForecastTeam *team,
                           uint64_t step,
                           double change)
{
  VpForecastRecent *recent = NULL;

  for (uint32_t i = 0; step != 0 && i < queue->recent_count; i++) {
    if (queue->recent[i].team == team->id && queue->recent[i].step == step)
      recent = &queue->recent[i];
  }
  if (recent == NULL) {
    recent = _vp_forecast_new_recent (queue, team->id);
    *recent = (VpForecastRecent){ .team = team->id, .step = step };
  }
  recent->used = ++queue->used;
  recent->change += (change - recent->change) / ++recent->count;
  _vp_forecast_update_change (queue, team->variance);
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

/* Passes what is known of the team on to its queue, and returns the queue. */
static VpForecastQueue *
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
  queue->voters[index] = (VpForecastSummary){
    .count = team->slow.count,
    .x = team->slow.x,
    .y = team->slow.y,
    .slope = team->slope,
    .variance = team->variance,
    .within_variance = team->within_variance,
  };
  _vp_forecast_update_medians (queue);
  return queue;
}

/* Sets @out to what is expected of the run without runs of its step. */
static void
_vp_forecast_expect (const VpForecastView *view, VpForecastExpected *out)
{
  out->mean = (float)view->mean;
  for (int i = 0; i < VP_FORECAST_LEVELS; i++)
    out->levels[i] = (float)(view->levels[i] + view->offset);
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
    _vp_forecast_judge_levels (team, view, expected, y, weight);
    _vp_forecast_learn_slope (team, dx, error, weight);
  }
  _vp_forecast_level_add (&team->slow, view->x, y - view->offset, weight, VP_FORECAST_SLOW_WINDOW);
  _vp_forecast_level_add (&team->fast, view->x, y - view->offset, weight, VP_FORECAST_FAST_WINDOW);
  _vp_forecast_level_add (&team->anchor, view->x, y - view->offset, weight,
                          VP_FORECAST_SLOW_WINDOW);
  _vp_forecast_learn_shape (team, key, error + view->offset, weight);
}

void
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
  VpForecastQueue *queue;
  double deviation, error, weight, change;
  bool has_anchor;
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
    _vp_forecast_expect (&view, &expected);
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
  has_anchor = team->anchor.count >= VP_FORECAST_VOTER_RUNS;
  change = expected.mean + error - view.offset
           - _vp_forecast_level_at (&team->anchor, team->slope, view.x);
  _vp_forecast_learn_run (team, key, &view, &expected, error, weight);
  if (key->step != 0)
    _vp_forecast_learn_step (team, key->step, step, &expected, expected.mean + error);
  queue = _vp_forecast_learn_queue (learned, team, now_ms);
  if (has_anchor)
    _vp_forecast_learn_change (queue, team, key->step, change);
}
