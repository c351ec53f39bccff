/* Admission of jobs: its bound, callers that return, and replays of overloads. */
#include "overload-sim.h"

#include <string.h>

#define NOW_MS 1000000

/* An urgent job of 10 core-seconds whose result has value for 6 s, and a service of 10 cores
 * without free capacity. */
typedef struct {
  VpAdmission *admission;
  VpAdmissionSums sums;
  VpAdmissionService *service;
  VpAdmissionRequest request;
  VpAdmissionDecision decision;
} Fixture;

static void
_setup (Fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->admission = vp_admission_setup ();
  vp_admission_sums_setup (&fixture->sums);
  fixture->service = vp_admission_sums_service (&fixture->sums, "service");
  fixture->service->capacity = 10000;
  fixture->request = (VpAdmissionRequest){ .job = 1,
                                           .service = "service",
                                           .team = "team",
                                           .rank = vp_admission_rank (true, true),
                                           .size = { .cpu_milli = 1000 },
                                           .work = 10000 * 1000,
                                           .chain_ms = 1000,
                                           .limit_ms = 6000 };
}

static void
_teardown (Fixture *fixture)
{
  vp_admission_sums_clear (&fixture->sums);
  vp_admission_shutdown (fixture->admission);
}

/* Hands the sums over, and begins new ones for the next update. */
static void
_update (Fixture *fixture, int64_t now_ms)
{
  vp_admission_update (fixture->admission, &fixture->sums, now_ms);
  vp_admission_sums_setup (&fixture->sums);
  fixture->service = vp_admission_sums_service (&fixture->sums, "service");
  fixture->service->capacity = 10000;
}

static bool
_is_accepted (Fixture *fixture, int64_t now_ms)
{
  vp_admission_decide (fixture->admission, &fixture->request, now_ms, &fixture->decision);
  return fixture->decision.is_accepted;
}

/* Lets tasks hold all cores for @held_ms. */
static void
_hold (Fixture *fixture, int64_t held_ms)
{
  vp_admission_add_running (fixture->service->busy, 10000, held_ms);
}

/* Guards against callers that wait for a job that can't run in time any more: tasks that run for a
 * long time take all capacity. */
static void
test_held (void)
{
  Fixture fixture;

  _setup (&fixture);
  _hold (&fixture, 60000);
  _update (&fixture, NOW_MS);
  g_assert_false (_is_accepted (&fixture, NOW_MS));
  g_assert_cmpint (fixture.decision.reason, ==, VP_ADMISSION_OVERLOAD);
  g_assert_cmpint (fixture.decision.retry_ms, >=, 500);
  g_assert_cmpint (fixture.decision.retry_ms, <=, 12000);
  /* The same tasks end soon enough for a job with more time. */
  fixture.request.job = 2;
  fixture.request.limit_ms = 90000;
  g_assert_true (_is_accepted (&fixture, NOW_MS));
  g_assert_cmpint (fixture.decision.reason, ==, VP_ADMISSION_POSSIBLE);
  g_assert_cmpint (fixture.decision.earliest_end_ms, >, NOW_MS + 30000);
  _teardown (&fixture);
}

/* Guards against rejections that aren't certain: work of the own rank may turn out to come later,
 * and work of higher ranks counts only as long as its results have value. */
static void
test_waiting (void)
{
  Fixture fixture;

  _setup (&fixture);
  vp_admission_add_waiting (fixture.service, fixture.request.rank, 1e9, 60000);
  vp_admission_add_waiting (fixture.service, vp_admission_rank (false, false), 1e9, 60000);
  vp_admission_add_waiting (fixture.service, vp_admission_rank (true, false), 1e9, 1000);
  _update (&fixture, NOW_MS);
  g_assert_true (_is_accepted (&fixture, NOW_MS));
  vp_admission_add_waiting (fixture.service, vp_admission_rank (true, false), 1e9, 60000);
  _update (&fixture, NOW_MS);
  g_assert_false (_is_accepted (&fixture, NOW_MS));
  _teardown (&fixture);
}

/* Guards against rejections while a worker could start the job at once. */
static void
test_free (void)
{
  Fixture fixture;

  _setup (&fixture);
  vp_admission_add_waiting (fixture.service, vp_admission_rank (true, false), 1e9, 60000);
  fixture.service->free = fixture.service->free_max = (VpResources){ .cpu_milli = 1000 };
  _update (&fixture, NOW_MS);
  g_assert_true (_is_accepted (&fixture, NOW_MS));
  g_assert_cmpint (fixture.decision.reason, ==, VP_ADMISSION_FREE);
  _teardown (&fixture);
}

/* Guards against rejections from what was true before: without sums, or with old ones, right after
 * a change of leader or while nothing is placed, jobs are accepted. */
static void
test_stale (void)
{
  Fixture fixture;

  _setup (&fixture);
  g_assert_true (_is_accepted (&fixture, NOW_MS));
  _hold (&fixture, 60000);
  _update (&fixture, NOW_MS);
  g_assert_false (_is_accepted (&fixture, NOW_MS + 1000));
  fixture.request.job = 2;
  g_assert_true (_is_accepted (&fixture, NOW_MS + 1001));
  fixture.request.service = "other";
  g_assert_true (_is_accepted (&fixture, NOW_MS));
  g_assert_cmpint (fixture.decision.reason, ==, VP_ADMISSION_UNKNOWN);
  _teardown (&fixture);
}

/* Long-running jobs and those that are due later have no such limit. */
static void
test_unlimited (void)
{
  Fixture fixture;

  _setup (&fixture);
  _hold (&fixture, 60000);
  _update (&fixture, NOW_MS);
  fixture.request.is_unlimited = true;
  g_assert_true (_is_accepted (&fixture, NOW_MS));
  _teardown (&fixture);
}

/* Guards against a team whose caps are taken by its long tasks, while the service has capacity. */
static void
test_team_cap (void)
{
  Fixture fixture;
  VpAdmissionTeam *team;

  _setup (&fixture);
  team = vp_admission_sums_team (&fixture.sums, "team");
  team->capacity = 4000;
  vp_admission_add_running (team->busy, 4000, 60000);
  _update (&fixture, NOW_MS);
  g_assert_false (_is_accepted (&fixture, NOW_MS));
  g_assert_cmpint (fixture.decision.reason, ==, VP_ADMISSION_TEAM_CAP);
  fixture.request.job = 2;
  fixture.request.team = "other";
  g_assert_true (_is_accepted (&fixture, NOW_MS));
  _teardown (&fixture);
}

/* Guards against callers that are turned away for ever: one that has retried twice is accepted, and
 * its time counts from its first try. */
static void
test_returned (void)
{
  Fixture fixture;

  _setup (&fixture);
  for (int64_t at_ms = 0; at_ms < 6000; at_ms += 3000) {
    _hold (&fixture, 60000);
    _update (&fixture, NOW_MS + at_ms);
    g_assert_false (_is_accepted (&fixture, NOW_MS + at_ms));
    g_assert_cmpint (fixture.decision.arrived_ms, ==, NOW_MS);
  }
  _hold (&fixture, 60000);
  _update (&fixture, NOW_MS + 6000);
  g_assert_true (_is_accepted (&fixture, NOW_MS + 6000));
  g_assert_cmpint (fixture.decision.reason, ==, VP_ADMISSION_RETURNED);
  g_assert_cmpint (fixture.decision.arrived_ms, ==, NOW_MS);
  /* A later job of the same identity is a new one. */
  g_assert_false (_is_accepted (&fixture, NOW_MS + 6000));
  g_assert_cmpint (fixture.decision.arrived_ms, ==, NOW_MS + 6000);
  _teardown (&fixture);
}

/* Guards against a storm of retries: callers that are rejected at the same time are told different
 * delays, which the whole seconds of a Retry-After keep apart. */
static void
test_spread (void)
{
  uint32_t counts[16] = { 0 };
  uint32_t most = 0;
  Fixture fixture;

  _setup (&fixture);
  fixture.request.work = 1e9;
  _hold (&fixture, 60000);
  _update (&fixture, NOW_MS);
  for (uint64_t job = 1; job <= 1000; job++) {
    fixture.request.job = job;
    g_assert_false (_is_accepted (&fixture, NOW_MS));
    counts[MIN ((fixture.decision.retry_ms + 999) / 1000, 15)]++;
  }
  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    most = MAX (most, counts[i]);
  printf ("# 1,000 rejected callers: at most %u return in the same second\n", most);
  g_assert_cmpuint (most, <=, 200);
  _teardown (&fixture);
}

/* Guards against a bound that is wrong unnoticed: once jobs end before their earliest possible end,
 * less of the known work counts as certain. */
static void
test_adapts (void)
{
  Fixture fixture;

  _setup (&fixture);
  _hold (&fixture, 10000);
  _update (&fixture, NOW_MS);
  g_assert_false (_is_accepted (&fixture, NOW_MS));
  for (uint32_t i = 1; i <= 10; i++) {
    fixture.sums.results = (VpAdmissionResults){ .ended = 100 * i, .too_soon = 5 * i };
    _hold (&fixture, 10000);
    _update (&fixture, NOW_MS + 100 * i);
  }
  g_assert_cmpfloat (vp_admission_certainty (fixture.admission), <, 0.25);
  fixture.request.job = 2;
  g_assert_true (_is_accepted (&fixture, NOW_MS + 1000));
  _teardown (&fixture);
}

static gint
_compare_ns (gconstpointer a, gconstpointer b)
{
  int64_t one = *(const int64_t *)a;
  int64_t two = *(const int64_t *)b;

  return one == two ? 0 : one < two ? -1 : 1;
}

/* Measures a decision with the sums of 350 workers, 3,500 running tasks and 300 waiting steps. */
static void
test_duration (void)
{
  enum { COUNT = 20000 };
  g_autoptr (GArray) taken_ns = g_array_new (FALSE, FALSE, sizeof (int64_t));
  Fixture fixture;

  _setup (&fixture);
  for (uint32_t i = 0; i < 3500; i++)
    vp_admission_add_running (fixture.service->busy, 1000, 10 * i);
  for (uint32_t i = 0; i < 300; i++)
    vp_admission_add_waiting (fixture.service, i % VP_ADMISSION_RANKS, 1e6, 100 * i);
  _update (&fixture, NOW_MS);
  for (uint32_t i = 0; i < COUNT; i++) {
    struct timespec from, to;
    int64_t spent_ns;
    fixture.request.job = i;
    clock_gettime (CLOCK_MONOTONIC, &from);
    _is_accepted (&fixture, NOW_MS);
    clock_gettime (CLOCK_MONOTONIC, &to);
    spent_ns = (to.tv_sec - from.tv_sec) * 1000000000 + (to.tv_nsec - from.tv_nsec);
    g_array_append_val (taken_ns, spent_ns);
  }
  g_array_sort (taken_ns, _compare_ns);
  printf ("# one decision: p50 %" G_GINT64_FORMAT " ns, p99 %" G_GINT64_FORMAT " ns\n",
          g_array_index (taken_ns, int64_t, COUNT / 2),
          g_array_index (taken_ns, int64_t, COUNT / 100 * 99));
  _teardown (&fixture);
}

typedef struct {
  const char *name;
  OverloadLoad load;
} Pattern;

static const Pattern patterns[] = {
  { "urgent x5", { .burst_factor = 5 } },
  { "urgent x3, 0.6 over rate", { .burst_factor = 3, .over_rate_share = 0.6 } },
  { "urgent x1.2", { .burst_factor = 1.2 } },
  { "calm", { .burst_factor = 0.6 } },
  { "cores held for 200 s", { .burst_factor = 0.6, .held_ms = 200000 } },
};

/* Guards against a rejection that isn't true: jobs that are rejected at their first try would have
 * had no value without the admission. And against an admission that costs value. */
static void
test_replay (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (patterns); i++) {
    OverloadScore without = { 0 }, with = { 0 };
    OverloadLoad load = patterns[i].load;
    g_autofree char *title = g_strdup_printf ("%s, admitted", patterns[i].name);
    uint32_t rejected = 0, wrong = 0;
    without.first_tries = g_array_new (FALSE, FALSE, sizeof (OverloadTry));
    with.first_tries = g_array_new (FALSE, FALSE, sizeof (OverloadTry));
    for (load.seed = 1; load.seed <= 4; load.seed++) {
      load.has_admission = false;
      overload_replay (&load, &without);
      load.has_admission = true;
      overload_replay (&load, &with);
    }
    overload_print (patterns[i].name, &without);
    overload_print (title, &with);
    g_assert_cmpuint (with.first_tries->len, ==, without.first_tries->len);
    for (guint k = 0; k < with.first_tries->len; k++) {
      if (!g_array_index (with.first_tries, OverloadTry, k).is_rejected)
        continue;
      rejected++;
      wrong += g_array_index (without.first_tries, OverloadTry, k).has_value ? 1 : 0;
    }
    printf ("# %s: %u of %u jobs rejected at first, %u of them wrongly\n", patterns[i].name,
            rejected, with.first_tries->len, wrong);
    g_assert_cmpuint (100 * wrong, <=, rejected);
    g_assert_cmpfloat (overload_value (&with.urgent), >=, overload_value (&without.urgent) - 0.005);
    if (load.held_ms > 0)
      g_assert_cmpuint (rejected, >, 0);
    g_array_unref (without.first_tries);
    g_array_unref (with.first_tries);
  }
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admission/held", test_held);
  g_test_add_func ("/admission/waiting", test_waiting);
  g_test_add_func ("/admission/free", test_free);
  g_test_add_func ("/admission/stale", test_stale);
  g_test_add_func ("/admission/unlimited", test_unlimited);
  g_test_add_func ("/admission/team-cap", test_team_cap);
  g_test_add_func ("/admission/returned", test_returned);
  g_test_add_func ("/admission/spread", test_spread);
  g_test_add_func ("/admission/adapts", test_adapts);
  g_test_add_func ("/admission/duration", test_duration);
  g_test_add_func ("/admission/replay", test_replay);
  return g_test_run ();
}
