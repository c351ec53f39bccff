/* Tests of the forecasts, on generated runs: calibration, changes, memory and isolation of teams.
 * With --verbose the figures of all alternatives that docs/design/forecast.md compares are printed.
 */
#include "vp-forecast-private.h"

#include <malloc.h>
#include <math.h>
#include <string.h>

#define SEED_COUNT 100
/* Bounds of the share of runs that end within the stated quantile, as required. */
#define P90_MIN    0.85
#define P90_MAX    0.95
#define P50_MIN    0.40
#define P50_MAX    0.60
#define TASKS_MAX  50
#define TEAM_COUNT 3

typedef enum { SHAPE_NORMAL, SHAPE_UNIFORM, SHAPE_EXPONENTIAL, SHAPE_TWO_PEAKS } Shape;

/* How the runs of a queue are generated. Spreads are standard deviations of the logarithm. */
typedef struct {
  const char *name;
  double spread;     /* of the steps */
  double within;     /* of the tasks of a step */
  double tail_share; /* share of tasks that take @tail_factor times as long */
  double tail_factor;
  double estimate_bias;     /* factor by which all estimates are wrong */
  double estimate_error;    /* of each estimate */
  double drift;             /* change of the logarithm of the duration with each run */
  Shape shape;              /* distribution of the logarithm of a step's duration */
  uint32_t tasks_max;       /* steps have 1 to this many tasks */
  uint32_t team_count;      /* 0: TEAM_COUNT */
  bool is_size_informative; /* large tasks take four times as long */
} Load;

static const Load loads[] = {
  { "single", 0.5, 0.3, 0, 1, 1, 0.9, 0, SHAPE_NORMAL, 1, 0, false },
  { "steps", 0.5, 0.3, 0, 1, 1, 0.9, 0, SHAPE_NORMAL, 8, 0, false },
  { "heavy-tail", 0.5, 0.3, 0.03, 7, 1, 0.9, 0, SHAPE_NORMAL, 8, 0, false },
  { "uniform", 0.5, 0.2, 0, 1, 1, 0.9, 0, SHAPE_UNIFORM, 4, 0, false },
  { "exponential", 0.6, 0.2, 0, 1, 1, 0.9, 0, SHAPE_EXPONENTIAL, 4, 0, false },
  { "two-peaks", 0.7, 0.2, 0, 1, 1, 0.5, 0, SHAPE_TWO_PEAKS, 4, 0, false },
  { "estimates-5-low", 0.5, 0.3, 0.03, 7, 0.2, 0.9, 0, SHAPE_NORMAL, 8, 0, false },
  { "estimates-5-high", 0.5, 0.3, 0.03, 7, 5, 0.9, 0, SHAPE_NORMAL, 8, 0, false },
  { "estimates-random-5", 0.5, 0.3, 0.03, 7, 1, 1.61, 0, SHAPE_NORMAL, 8, 0, false },
  { "estimates-exact", 0.8, 0.2, 0, 1, 1, 0.05, 0, SHAPE_NORMAL, 4, 0, false },
  { "drift-up", 0.5, 0.3, 0.03, 7, 1, 0.9, 0.004, SHAPE_NORMAL, 4, 0, false },
  { "drift-down", 0.5, 0.3, 0.03, 7, 1, 0.9, -0.004, SHAPE_NORMAL, 4, 0, false },
  { "wide-steps", 0.5, 0.3, 0.03, 7, 1, 0.9, 0, SHAPE_NORMAL, 50, 0, false },
  { "sizes", 0.4, 0.3, 0.03, 7, 1, 0.9, 0, SHAPE_NORMAL, 8, 0, true },
  { "many-teams", 0.5, 0.3, 0.03, 7, 1, 0.9, 0, SHAPE_NORMAL, 4, 15, false },
};

typedef struct {
  VpForecastKey key;
  double durations[TASKS_MAX]; /* ms on a worker of speed 1; the first half ends in this order */
} Step;

/* Shares of runs within the stated quantiles, and how far the stated ones are off. */
typedef struct {
  double count;
  double in_p50;
  double in_p90;
  double error; /* of the p50: absolute difference of the logarithms */
  double width; /* logarithm of p90 / p50 */
} Score;

static double
_normal (GRand *rand)
{
  double one = 1 - g_rand_double (rand);

  return sqrt (-2 * log (one)) * cos (2 * G_PI * g_rand_double (rand));
}

/* Returns a value of mean 0 and standard deviation 1. */
static double
_shaped (GRand *rand, Shape shape)
{
  switch (shape) {
  case SHAPE_UNIFORM:
    return (g_rand_double (rand) - 0.5) * sqrt (12);
  case SHAPE_EXPONENTIAL:
    return -log (1 - g_rand_double (rand)) - 1;
  case SHAPE_TWO_PEAKS:
    return (g_rand_boolean (rand) ? 0.95 : -0.95) + 0.31 * _normal (rand);
  case SHAPE_NORMAL:
  default:
    return _normal (rand);
  }
}

static int
_compare_doubles (const void *a, const void *b)
{
  double one = *(const double *)a;
  double two = *(const double *)b;

  return one < two ? -1 : one > two ? 1 : 0;
}

/* Generates a step whose logarithm of the duration is @base on average. */
static void
_generate (GRand *rand, const Load *load, double base, uint64_t id, Step *out)
{
  static const char *const teams[]
      = { "team-0", "team-1", "team-2",  "team-3",  "team-4",  "team-5",  "team-6", "team-7",
          "team-8", "team-9", "team-10", "team-11", "team-12", "team-13", "team-14" };
  static const char *const images[] = { "image-0", "image-1", "image-2", "image-3" };
  bool is_large = g_rand_int_range (rand, 0, 3) == 0;
  double level = base + load->spread * _shaped (rand, load->shape);
  int team_count = load->team_count == 0 ? TEAM_COUNT : (int)load->team_count;
  double estimate;

  if (load->is_size_informative && is_large)
    level += log (4);
  estimate = level + log (load->estimate_bias) + load->estimate_error * _normal (rand);
  memset (out, 0, sizeof *out);
  out->key = (VpForecastKey){
    .queue = "queue",
    .team = teams[g_rand_int_range (rand, 0, team_count)],
    .image = images[g_rand_int_range (rand, 0, G_N_ELEMENTS (images))],
    .task_count = (uint32_t)g_rand_int_range (rand, 1, (int)load->tasks_max + 1),
    .size = { .cpu_milli = is_large ? 4000 : 500, .mem_mib = 256 },
    .estimate_ms = MAX ((int64_t)exp (estimate), 1),
    .step = id,
  };
  for (uint32_t i = 0; i < out->key.task_count; i++) {
    double logarithm = level + load->within * _normal (rand);
    if (g_rand_double (rand) < load->tail_share)
      logarithm += log (load->tail_factor);
    out->durations[i] = exp (logarithm);
  }
  qsort (out->durations, (out->key.task_count + 1) / 2, sizeof *out->durations, _compare_doubles);
}

static void
_score (Score *score, const VpForecastRange *range, double duration_ms)
{
  score->count++;
  score->in_p50 += duration_ms <= (double)range->p50_ms ? 1 : 0;
  score->in_p90 += duration_ms <= (double)range->p90_ms ? 1 : 0;
  score->error += fabs (log (duration_ms / (double)MAX (range->p50_ms, 1)));
  score->width += log ((double)MAX (range->p90_ms, 1) / (double)MAX (range->p50_ms, 1));
}

/* The figures of a load for one policy. */
typedef struct {
  Score task;     /* of a task, stated before any task of its step ended */
  Score siblings; /* of the tasks that start once the first half has ended */
  Score running;  /* of those that are running when the first quarter has ended */
  Score longest;  /* of the longest task, stated before any ended */
} Scores;

/* Scores the total durations of the tasks of the first half that run when the first @ended tasks
 * have ended. */
static void
_score_running (const VpForecast *forecast, const Step *step, uint32_t ended, Score *score)
{
  int64_t age_ms = (int64_t)step->durations[ended - 1];

  for (uint32_t i = ended; i < (step->key.task_count + 1) / 2; i++) {
    VpForecastRange range
        = { .p50_ms = vp_forecast_quantile_ms (forecast, &step->key, 0.5, age_ms),
            .p90_ms = vp_forecast_quantile_ms (forecast, &step->key, 0.9, age_ms) };
    _score (score, &range, step->durations[i]);
  }
}

/* Scores the forecasts for the step if @scores isn't NULL, and records its runs. */
static void
_run_step (VpForecast *forecast, GRand *rand, const Step *step, Scores *scores)
{
  uint32_t count = step->key.task_count;
  VpForecastRange task, longest, siblings;
  double longest_ms = 0;

  vp_forecast_task (forecast, &step->key, &task);
  vp_forecast_step (forecast, &step->key, &longest);
  for (uint32_t i = 0; i < count; i++) {
    double slowness = 0.7 + 1.7 * g_rand_double (rand);
    longest_ms = MAX (longest_ms, step->durations[i]);
    if (scores != NULL) {
      if (i > 0 && i == (count + 3) / 4 && forecast->policy->quantile_ms != NULL)
        _score_running (forecast, step, i, &scores->running);
      if (i == (count + 1) / 2)
        vp_forecast_task (forecast, &step->key, &siblings);
      _score (&scores->task, &task, step->durations[i]);
      if (i >= (count + 1) / 2)
        _score (&scores->siblings, &siblings, step->durations[i]);
    }
    vp_forecast_record (forecast, &step->key, (int64_t)(step->durations[i] * slowness), slowness,
                        0);
  }
  if (scores != NULL && count > 1)
    _score (&scores->longest, &longest, longest_ms);
}

/* Runs the load: forecasts are scored for the @scored runs after the first @skipped ones. At run
 * @change_at the durations change by @factor, and runs are counted anew. */
static void
_run_load (const VpForecastPolicy *policy,
           const Load *load,
           uint32_t change_at,
           double factor,
           uint32_t skipped,
           uint32_t scored,
           Scores *scores)
{
  for (uint32_t seed = 0; seed < SEED_COUNT; seed++) {
    GRand *rand = g_rand_new_with_seed (seed + 1);
    VpForecast *forecast = vp_forecast_setup (policy);
    double base = log (800);
    uint64_t id = 1;
    uint32_t total = 0;
    uint32_t runs = 0;
    Step step;

    while (total < change_at) {
      _generate (rand, load, base + load->drift * total, id++, &step);
      _run_step (forecast, rand, &step, NULL);
      total += step.key.task_count;
    }
    base += log (factor);
    while (runs < skipped + scored) {
      _generate (rand, load, base + load->drift * (total + runs), id++, &step);
      _run_step (forecast, rand, &step, runs < skipped ? NULL : scores);
      runs += step.key.task_count;
    }
    vp_forecast_shutdown (forecast);
    g_rand_free (rand);
  }
}

static void
_print_score (const char *what, const char *load, const char *policy, const Score *score)
{
  if (score->count > 0)
    g_test_message ("%-10s %-18s %-20s p50 %4.1f %% p90 %4.1f %% error %.3f width %.2f", what, load,
                    policy, 100 * score->in_p50 / score->count, 100 * score->in_p90 / score->count,
                    score->error / score->count, score->width / score->count);
}

static void
_assert_calibrated (const Score *score)
{
  g_assert_cmpfloat (score->in_p50 / score->count, >=, P50_MIN);
  g_assert_cmpfloat (score->in_p50 / score->count, <=, P50_MAX);
  g_assert_cmpfloat (score->in_p90 / score->count, >=, P90_MIN);
  g_assert_cmpfloat (score->in_p90 / score->count, <=, P90_MAX);
}

/* Alternatives that were weighed. Each forecasts a normal distribution of the logarithm, and keeps
 * one state for the queue. */
typedef struct {
  VpForecast forecast;
  double count;
  double mean;
  double variance;
  double weights[2][2]; /* quantile regression: constant and slope of the p50 and p90 */
} Alternative;

#define ALTERNATIVE_WINDOW 100

static VpForecast *
_alternative_setup (void)
{
  Alternative *state = g_new0 (Alternative, 1);

  state->variance = 0.81;
  state->weights[0][1] = state->weights[1][1] = 1;
  return &state->forecast;
}

static void
_alternative_shutdown (VpForecast *forecast)
{
  g_free (forecast);
}

static void
_alternative_add (Alternative *state, double value)
{
  double delta = value - state->mean;

  state->count = MIN (state->count + 1, ALTERNATIVE_WINDOW);
  state->mean += delta / state->count;
  state->variance += (delta * delta - state->variance) / (state->count + 3);
}

static void
_alternative_range (const Alternative *state, double base, VpForecastRange *out)
{
  double mean = base + state->mean;

  *out = (VpForecastRange){ .p50_ms = (int64_t)exp (mean),
                            .p90_ms = (int64_t)exp (mean + 1.2816 * sqrt (state->variance)),
                            .sample_count = (uint32_t)state->count };
}

static void
_mean_record (VpForecast *forecast,
              const VpForecastKey *key G_GNUC_UNUSED,
              double work_ms,
              int64_t now_ms G_GNUC_UNUSED)
{
  _alternative_add ((Alternative *)forecast, log (MAX (work_ms, 1)));
}

static void
_mean_range (const VpForecast *forecast,
             const VpForecastKey *key G_GNUC_UNUSED,
             VpForecastRange *out)
{
  _alternative_range ((const Alternative *)forecast, 0, out);
}

static void
_scaled_record (VpForecast *forecast,
                const VpForecastKey *key,
                double work_ms,
                int64_t now_ms G_GNUC_UNUSED)
{
  _alternative_add ((Alternative *)forecast,
                    log (MAX (work_ms, 1)) - log ((double)key->estimate_ms));
}

static void
_scaled_range (const VpForecast *forecast, const VpForecastKey *key, VpForecastRange *out)
{
  _alternative_range ((const Alternative *)forecast, log ((double)key->estimate_ms), out);
}

/* Step of the stochastic gradient of the quantile loss. */
#define REGRESSION_RATE 0.05
/* The estimate is taken relative to this one, so that constant and slope are hardly correlated. */
#define REGRESSION_CENTER_MS 800.0

static double
_regression_at (const Alternative *state, int quantile, const VpForecastKey *key)
{
  double x = log ((double)key->estimate_ms / REGRESSION_CENTER_MS);

  return log (REGRESSION_CENTER_MS) + state->weights[quantile][0] + state->weights[quantile][1] * x;
}

static void
_regression_record (VpForecast *forecast,
                    const VpForecastKey *key,
                    double work_ms,
                    int64_t now_ms G_GNUC_UNUSED)
{
  static const double shares[2] = { 0.5, 0.9 };
  Alternative *state = (Alternative *)forecast;
  double x = log ((double)key->estimate_ms / REGRESSION_CENTER_MS);

  for (int i = 0; i < 2; i++) {
    bool is_below = log (MAX (work_ms, 1)) <= _regression_at (state, i, key);
    double gradient = REGRESSION_RATE * (shares[i] - (is_below ? 1 : 0));
    state->weights[i][0] += gradient;
    state->weights[i][1] += gradient * x;
  }
}

static void
_regression_range (const VpForecast *forecast, const VpForecastKey *key, VpForecastRange *out)
{
  const Alternative *state = (const Alternative *)forecast;

  *out = (VpForecastRange){ .p50_ms = (int64_t)exp (_regression_at (state, 0, key)),
                            .p90_ms = (int64_t)exp (_regression_at (state, 1, key)) };
}

static const VpForecastPolicy alternatives[] = {
  { .name = "mean-of-queue",
    .setup = _alternative_setup,
    .shutdown = _alternative_shutdown,
    .record = _mean_record,
    .task = _mean_range,
    .step = _mean_range },
  { .name = "scaled-estimate",
    .setup = _alternative_setup,
    .shutdown = _alternative_shutdown,
    .record = _scaled_record,
    .task = _scaled_range,
    .step = _scaled_range },
  { .name = "quantile-regression",
    .setup = _alternative_setup,
    .shutdown = _alternative_shutdown,
    .record = _regression_record,
    .task = _regression_range,
    .step = _regression_range },
};

static void
_print_alternatives (const char *what,
                     const Load *load,
                     uint32_t change_at,
                     double factor,
                     uint32_t skipped,
                     uint32_t scored)
{
  const VpForecastPolicy *policies[]
      = { &vp_forecast_policy_estimate, &alternatives[0], &alternatives[1], &alternatives[2] };

  for (guint i = 0; g_test_verbose () && i < G_N_ELEMENTS (policies); i++) {
    Scores scores = { 0 };
    _run_load (policies[i], load, change_at, factor, skipped, scored, &scores);
    _print_score (what, load->name, policies[i]->name, &scores.task);
    _print_score ("longest", load->name, policies[i]->name, &scores.longest);
  }
}

/* Guards against stated quantiles that don't hold: after 200 runs of a queue, whatever the
 * distribution of its durations and however wrong the estimates are. */
static void
test_calibration (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++) {
    Scores scores = { 0 };
    _print_alternatives ("task", &loads[i], 0, 1, 200, 400);
    _run_load (NULL, &loads[i], 0, 1, 200, 400, &scores);
    _print_score ("task", loads[i].name, "learned", &scores.task);
    _print_score ("siblings", loads[i].name, "learned", &scores.siblings);
    _print_score ("running", loads[i].name, "learned", &scores.running);
    _print_score ("longest", loads[i].name, "learned", &scores.longest);
    _assert_calibrated (&scores.task);
  }
}

/* Guards against a new leader whose forecasts are worse than the callers' estimates: it knows
 * nothing, and learns from the first runs on. */
static void
test_new_leader (void)
{
  static const uint32_t skipped[] = { 0, 10, 20, 40, 80, 160, 1000 };

  for (guint i = 0; i < G_N_ELEMENTS (skipped); i++) {
    Scores learned = { 0 };
    Scores estimate = { 0 };
    _run_load (NULL, &loads[2], 0, 1, skipped[i], 20, &learned);
    _run_load (&vp_forecast_policy_estimate, &loads[2], 0, 1, skipped[i], 20, &estimate);
    g_test_message ("after %u runs:", skipped[i]);
    _print_score ("new", loads[2].name, "learned", &learned.task);
    _print_score ("new", loads[2].name, "estimate", &estimate.task);
    g_assert_cmpfloat (learned.task.error / learned.task.count, <=,
                       estimate.task.error / estimate.task.count);
  }
}

/* Number of steps that run at the same time. */
#define CONCURRENT 100

typedef struct {
  Step step;
  double began_ms;
  uint32_t next; /* next task to end */
} Running;

/* Runs @total steps, CONCURRENT at a time, and scores those from the one with number @skipped on.
 */
static void
_run_concurrently (GRand *rand, uint32_t skipped, uint32_t total, Score *score)
{
  VpForecast *forecast = vp_forecast_setup (NULL);
  Running *running = g_new0 (Running, CONCURRENT);
  double now_ms = 0;

  for (uint32_t started = 0; started < total;) {
    Running *first = &running[0];
    VpForecastRange range;
    for (uint32_t i = 0; i < CONCURRENT; i++) {
      Running *each = &running[i];
      if (each->next == each->step.key.task_count) {
        _generate (rand, &loads[2], log (800), ++started, &each->step);
        qsort (each->step.durations, each->step.key.task_count, sizeof *each->step.durations,
               _compare_doubles);
        vp_forecast_task (forecast, &each->step.key, &range);
        for (uint32_t t = 0; started > skipped && t < each->step.key.task_count; t++)
          _score (score, &range, each->step.durations[t]);
        each->began_ms = now_ms;
        each->next = 0;
      }
      if (each->began_ms + each->step.durations[each->next]
          < first->began_ms + first->step.durations[first->next])
        first = each;
    }
    now_ms = first->began_ms + first->step.durations[first->next];
    vp_forecast_record (forecast, &first->step.key, (int64_t)first->step.durations[first->next], 1,
                        (int64_t)now_ms);
    first->next++;
  }
  g_free (running);
  vp_forecast_shutdown (forecast);
}

/* Guards against a new leader that takes the tasks that end first, which are short ones, for all.
 * 100 steps start at the same time, and each one that ends is followed by another. */
static void
test_first_ends (void)
{
  static const uint32_t skipped[] = { 0, 100, 150, 200, 300, 400, 800 };

  for (guint i = 0; i < G_N_ELEMENTS (skipped); i++) {
    GRand *rand = g_rand_new_with_seed (1);
    Score score = { 0 };
    for (uint32_t seed = 0; seed < SEED_COUNT; seed++)
      _run_concurrently (rand, skipped[i], skipped[i] + 100, &score);
    g_test_message ("from step %u on:", skipped[i]);
    _print_score ("first-ends", loads[2].name, "learned", &score);
    /* More than 200 runs have ended then. The p50 is too long there, see docs/design/forecast.md.
     */
    if (skipped[i] >= 150) {
      g_assert_cmpfloat (score.in_p90 / score.count, >=, P90_MIN);
      g_assert_cmpfloat (score.in_p90 / score.count, <=, P90_MAX);
    }
    g_rand_free (rand);
  }
}

/* Guards against forecasts that follow a change too slowly: 40 runs after all tasks of a queue take
 * twice or half as long, the stated quantiles hold again. Where steps are so wide that 40 runs are
 * one or two steps, a change can't be told from steps that differ, and 40 steps are counted. */
static void
test_change (void)
{
  static const double factors[] = { 2, 0.5 };

  for (guint f = 0; f < G_N_ELEMENTS (factors); f++) {
    const char *what = factors[f] > 1 ? "doubled" : "halved";
    for (guint i = 0; i < G_N_ELEMENTS (loads); i++) {
      Scores scores = { 0 };
      uint32_t per_step = loads[i].tasks_max > 8 ? loads[i].tasks_max / 2 : 1;
      _print_alternatives (what, &loads[i], 400, factors[f], 40, 100);
      _run_load (NULL, &loads[i], 400, factors[f], 40, 100, &scores);
      _print_score (what, loads[i].name, "learned", &scores.task);
      if (per_step > 1) {
        memset (&scores, 0, sizeof scores);
        _run_load (NULL, &loads[i], 400 * per_step, factors[f], 40 * per_step, 100 * per_step,
                   &scores);
        _print_score (what, loads[i].name, "learned, 40 steps", &scores.task);
      }
      _assert_calibrated (&scores.task);
    }
  }
}

/* Records @count steps of a team with durations around @work_ms, and estimates wrong by about
 * @factor. */
static void
_train (VpForecast *forecast, const char *team, uint32_t count, double work_ms, double factor)
{
  GRand *rand = g_rand_new_with_seed (g_str_hash (team));

  for (uint32_t i = 0; i < count; i++) {
    double work = work_ms * exp (0.5 * _normal (rand));
    VpForecastKey key = { .queue = "queue",
                          .team = team,
                          .image = "image",
                          .task_count = 1,
                          .size = { .cpu_milli = 500 },
                          .estimate_ms = (int64_t)(work * factor * exp (0.9 * _normal (rand))) + 1,
                          .step = g_rand_int (rand) };
    vp_forecast_record (forecast, &key, (int64_t)work, 1, i);
  }
  g_rand_free (rand);
}

static int64_t
_team_p50_ms (const VpForecast *forecast, const char *team, int64_t estimate_ms)
{
  VpForecastKey key = { .queue = "queue",
                        .team = team,
                        .image = "image",
                        .task_count = 1,
                        .size = { .cpu_milli = 500 },
                        .estimate_ms = estimate_ms };
  VpForecastRange range;

  vp_forecast_task (forecast, &key, &range);
  return range.p50_ms;
}

/* Guards against a caller that distorts the forecasts for other teams with tasks that take a
 * hundred times as long and estimates that are off by as much. */
static void
test_isolation (void)
{
  static const char *const honest[]
      = { "one", "two", "three", "four", "five", "six", "seven", "eight" };

  for (guint count = 1; count <= G_N_ELEMENTS (honest); count++) {
    VpForecast *forecast = vp_forecast_setup (NULL);
    int64_t before_ms[G_N_ELEMENTS (honest)];
    int64_t new_ms;
    for (guint i = 0; i < count; i++)
      _train (forecast, honest[i], 200, 800, 1);
    for (guint i = 0; i < count; i++)
      before_ms[i] = _team_p50_ms (forecast, honest[i], 800);
    new_ms = _team_p50_ms (forecast, "new", 800);
    _train (forecast, "hostile", 20000, 80000, 0.01);
    g_test_message ("isolation, %u teams: own %" G_GINT64_FORMAT " ms -> %" G_GINT64_FORMAT
                    " ms, new %" G_GINT64_FORMAT " ms -> %" G_GINT64_FORMAT " ms",
                    count, before_ms[0], _team_p50_ms (forecast, honest[0], 800), new_ms,
                    _team_p50_ms (forecast, "new", 800));
    for (guint i = 0; i < count; i++)
      g_assert_cmpint (ABS (_team_p50_ms (forecast, honest[i], 800) - before_ms[i]), <=,
                       before_ms[i] / 10);
    /* Beside a single other team there is no majority, and the bound is a factor of 5. */
    g_assert_cmpint (_team_p50_ms (forecast, "new", 800), <=,
                     count == 1 ? 800 * 5 : new_ms * 5 / 4);
    vp_forecast_shutdown (forecast);
  }
}

/* Guards against memory that grows with the names that callers send. */
static void
test_memory (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  VpForecast *forecast = vp_forecast_setup (NULL);
  struct mallinfo2 before = mallinfo2 ();
  size_t used = 0;

  for (uint32_t i = 0; i < 100000; i++) {
    char queue[VP_NAME_MAX], team[VP_NAME_MAX], image[VP_NAME_MAX];
    VpForecastKey key = { .queue = queue,
                          .team = team,
                          .image = image,
                          .task_count = g_rand_int (rand) % 4096 + 1,
                          .size = { .cpu_milli = g_rand_int (rand) },
                          .estimate_ms = g_rand_int (rand),
                          .step = g_rand_int (rand) };
    struct mallinfo2 now;
    g_snprintf (queue, sizeof queue, "queue-%u", g_rand_int (rand));
    g_snprintf (team, sizeof team, "team-%u", g_rand_int (rand));
    g_snprintf (image, sizeof image, "image-%u", g_rand_int (rand));
    vp_forecast_record (forecast, &key, g_rand_int (rand) % 10000, 1, i);
    if (i % 1000 != 0)
      continue;
    now = mallinfo2 ();
    used = MAX (used, now.uordblks + now.hblkhd - before.uordblks - before.hblkhd);
  }
  g_test_message ("memory: %zu kB", used / 1000);
  g_assert_cmpuint (used, <=, 2000000);
  vp_forecast_shutdown (forecast);
  g_rand_free (rand);
}

/* Guards against waiting for runs: without any, the estimate is the forecast, with a wide range. */
static void
test_no_runs (void)
{
  VpForecast *forecast = vp_forecast_setup (NULL);
  VpForecastKey key
      = { .queue = "queue", .team = "team", .image = "", .task_count = 20, .estimate_ms = 800 };
  VpForecastRange range;

  vp_forecast_task (forecast, &key, &range);
  g_assert_cmpint (ABS (range.p50_ms - 800), <=, 1);
  g_assert_cmpint (range.p90_ms, >=, 1600);
  g_assert_cmpuint (range.sample_count, ==, 0);
  vp_forecast_step (forecast, &key, &range);
  g_assert_cmpint (range.p50_ms, >, 800);
  g_assert_cmpint (vp_forecast_limit_ms (forecast, "queue"), ==, INT64_MAX);
  vp_forecast_shutdown (forecast);
}

/* Guards against probabilities and quantiles that contradict each other, before and after a run has
 * lasted longer than any before. */
static void
test_age (void)
{
  VpForecast *forecast = vp_forecast_setup (NULL);
  VpForecastKey key = { .queue = "queue",
                        .team = "team",
                        .image = "image",
                        .task_count = 1,
                        .size = { .cpu_milli = 500 },
                        .estimate_ms = 800 };

  _train (forecast, "team", 300, 800, 1);
  for (int64_t age_ms = 0; age_ms <= 1000000; age_ms = age_ms * 3 / 2 + 100) {
    double earlier = 0;
    for (int tenth = 1; tenth < 10; tenth += 2) {
      double share = tenth / 10.0;
      int64_t until_ms = vp_forecast_quantile_ms (forecast, &key, share, age_ms);
      double probability = vp_forecast_probability (forecast, &key, age_ms, until_ms);
      g_assert_cmpint (until_ms, >=, age_ms);
      g_assert_cmpfloat (fabs (probability - share), <=, 0.02);
      g_assert_cmpfloat (probability, >=, earlier);
      earlier = probability;
    }
    g_assert_cmpfloat (vp_forecast_probability (forecast, &key, age_ms, age_ms), ==, 0);
  }
  vp_forecast_shutdown (forecast);
}

/* Guards against values that are no durations in a forecast, whatever is recorded or asked. */
static void
test_extremes (void)
{
  static const int64_t times_ms[] = { INT64_MIN, -1, 0, 1, 1000, INT64_MAX };
  static const double slowness[] = { 0, -1, 1, INFINITY, NAN };
  VpForecast *forecast = vp_forecast_setup (NULL);

  for (uint32_t i = 0; i < 6 * 6 * 5 * 20; i++) {
    VpForecastKey key = { .queue = "queue",
                          .team = "team",
                          .image = NULL,
                          .task_count = i % 3 == 0 ? 0 : UINT32_MAX,
                          .size = { .cpu_milli = times_ms[i / 6 % 6] },
                          .estimate_ms = times_ms[i % 6],
                          .step = i / 7 };
    VpForecastRange range;
    double probability;
    vp_forecast_record (forecast, &key, times_ms[i / 6 % 6], slowness[i / 36 % 5], 0);
    vp_forecast_step (forecast, &key, &range);
    g_assert_cmpint (range.p50_ms, >=, 0);
    g_assert_cmpint (range.p90_ms, >=, range.p50_ms);
    vp_forecast_task (forecast, &key, &range);
    g_assert_cmpint (range.p50_ms, >=, 0);
    g_assert_cmpint (range.p90_ms, >=, range.p50_ms);
    probability
        = vp_forecast_probability (forecast, &key, times_ms[i / 6 % 6], times_ms[i / 36 % 6]);
    g_assert_true (probability >= 0 && probability <= 1);
    g_assert_cmpint (vp_forecast_quantile_ms (forecast, &key, 0.9, times_ms[i % 6]), >=,
                     MIN (times_ms[i % 6], 1000));
  }
  vp_forecast_shutdown (forecast);
}

/* Guards against a limit for stalled tasks that normal ones exceed, or that has no effect. */
static void
test_limit (void)
{
  VpForecast *forecast = vp_forecast_setup (NULL);

  _train (forecast, "team", 19, 800, 1);
  g_assert_cmpint (vp_forecast_limit_ms (forecast, "queue"), ==, INT64_MAX);
  _train (forecast, "team", 300, 800, 1);
  g_assert_cmpint (vp_forecast_limit_ms (forecast, "queue"), >=, 800 * 4);
  g_assert_cmpint (vp_forecast_limit_ms (forecast, "queue"), <=, 800 * 20);
  g_assert_cmpint (vp_forecast_limit_ms (forecast, "other"), ==, INT64_MAX);
  vp_forecast_shutdown (forecast);
}

/* Guards against look-ups that allocate. Prints the time of a call for 300 waiting steps of 40
 * teams. */
static void
test_cost (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  VpForecast *forecast = vp_forecast_setup (NULL);
  char teams[40][VP_NAME_MAX];
  Step steps[300];
  int64_t began_us, sum = 0;
  size_t allocated;

  for (uint32_t i = 0; i < 40; i++)
    g_snprintf (teams[i], sizeof teams[i], "team-%u", i);
  for (uint32_t i = 0; i < 6000; i++) {
    Step *step = &steps[i % G_N_ELEMENTS (steps)];
    _generate (rand, &loads[2], log (800), i + 1, step);
    step->key.team = teams[i % 40];
    _run_step (forecast, rand, step, NULL);
  }
  allocated = mallinfo2 ().uordblks;
  began_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < 300000; i++) {
    VpForecastRange range;
    vp_forecast_task (forecast, &steps[i % G_N_ELEMENTS (steps)].key, &range);
    sum += range.p90_ms;
  }
  began_us = g_get_monotonic_time () - began_us;
  g_assert_cmpuint (mallinfo2 ().uordblks, ==, allocated);
  g_test_message ("cost: %.3f us for each vp_forecast_task()", (double)began_us / 300000);
  began_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < 300000; i++) {
    VpForecastRange range;
    vp_forecast_step (forecast, &steps[i % G_N_ELEMENTS (steps)].key, &range);
    sum += range.p90_ms;
  }
  began_us = g_get_monotonic_time () - began_us;
  g_test_message ("cost: %.3f us for each vp_forecast_step()", (double)began_us / 300000);
  began_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < 30000; i++)
    vp_forecast_record (forecast, &steps[i % G_N_ELEMENTS (steps)].key, 800, 1, i);
  began_us = g_get_monotonic_time () - began_us;
  g_test_message ("cost: %.3f us for each vp_forecast_record()", (double)began_us / 30000);
  g_assert_cmpint (sum, >, 0);
  vp_forecast_shutdown (forecast);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/forecast/calibration", test_calibration);
  g_test_add_func ("/forecast/new-leader", test_new_leader);
  g_test_add_func ("/forecast/first-ends", test_first_ends);
  g_test_add_func ("/forecast/change", test_change);
  g_test_add_func ("/forecast/isolation", test_isolation);
  g_test_add_func ("/forecast/memory", test_memory);
  g_test_add_func ("/forecast/no-runs", test_no_runs);
  g_test_add_func ("/forecast/age", test_age);
  g_test_add_func ("/forecast/extremes", test_extremes);
  g_test_add_func ("/forecast/limit", test_limit);
  g_test_add_func ("/forecast/cost", test_cost);
  return g_test_run ();
}
