/* Replays of urgent jobs at up to five times the capacity through the queue of waiting steps, with
 * the order by estimates, which was used before, and the one by forecasts. */
#include "overload-sim.h"

#define SEEDS 16
/* Differences of the value below this are noise: a few of about 1,000 jobs. */
#define VALUE_NOISE 0.005

typedef struct {
  const char *name;
  double burst_factor;
} Pattern;

static const Pattern overload_patterns[] = {
  { "urgent x5", 5 },
  { "urgent x3", 3 },
  { "urgent x2", 2 },
};
static const Pattern mild_patterns[] = {
  { "urgent x1.2", 1.2 },
  { "calm", 0.6 },
};

static void
_replay (const Pattern *pattern,
         const VpStepQueueOrder *order,
         const VpForecastPolicy *policy,
         const char *name,
         OverloadScore *score)
{
  g_autofree char *title = g_strdup_printf ("%s, %s", pattern->name, name);

  memset (score, 0, sizeof *score);
  for (uint32_t seed = 1; seed <= SEEDS; seed++) {
    OverloadLoad load
        = { .burst_factor = pattern->burst_factor, .seed = seed, .order = order, .policy = policy };
    overload_replay (&load, score);
  }
  overload_print (title, score);
}

/* Guards against an overload in which every job is started just before it becomes late, and is made
 * late by what its estimate doesn't contain. */
static void
test_burst (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (overload_patterns); i++) {
    OverloadScore before, after;
    _replay (&overload_patterns[i], &vp_stepqueue_estimate_order, NULL, "before", &before);
    _replay (&overload_patterns[i], NULL, NULL, "after", &after);
    g_assert_cmpfloat (overload_in_time (&after.urgent), >, overload_in_time (&before.urgent));
    g_assert_cmpfloat (overload_value (&after.urgent), >, overload_value (&before.urgent));
  }
}

/* Guards against an order that gets its jobs in time by starving the large ones: the largest tenth,
 * and the fifth below it, are served at least half as often as the queue. */
static void
test_sizes (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (overload_patterns); i++) {
    OverloadScore score;
    _replay (&overload_patterns[i], NULL, NULL, "sizes", &score);
    g_assert_cmpfloat (overload_served (&score.tenth), >=, overload_served (&score.urgent) / 2);
    g_assert_cmpfloat (overload_served (&score.fifth), >=, overload_served (&score.urgent) / 2);
  }
}

/* Mean value of all jobs, urgent or not. */
static double
_value_of_all (const OverloadScore *score)
{
  return (overload_value (&score->urgent) * score->urgent.jobs
          + overload_value (&score->batch) * score->batch.jobs)
         / (score->urgent.jobs + score->batch.jobs);
}

/* Guards against an order that helps in an overload at the expense of usual days. */
static void
test_mild (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (mild_patterns); i++) {
    OverloadScore before, after;
    _replay (&mild_patterns[i], &vp_stepqueue_estimate_order, NULL, "before", &before);
    _replay (&mild_patterns[i], NULL, NULL, "after", &after);
    g_assert_cmpfloat (overload_value (&after.urgent), >=,
                       overload_value (&before.urgent) - VALUE_NOISE);
    g_assert_cmpfloat (_value_of_all (&after), >=, _value_of_all (&before) - VALUE_NOISE);
  }
}

/* Guards against an order that needs learned durations: without any, for example right after a
 * change of leader, it is no worse than the earlier one. */
static void
test_without_forecast (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (overload_patterns); i++) {
    OverloadScore before, after;
    _replay (&overload_patterns[i], &vp_stepqueue_estimate_order, NULL, "before", &before);
    _replay (&overload_patterns[i], NULL, &vp_forecast_policy_estimate, "estimates", &after);
    g_assert_cmpfloat (overload_value (&after.urgent), >=, overload_value (&before.urgent));
  }
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/overload/burst", test_burst);
  g_test_add_func ("/overload/sizes", test_sizes);
  g_test_add_func ("/overload/mild", test_mild);
  g_test_add_func ("/overload/without-forecast", test_without_forecast);
  return g_test_run ();
}
