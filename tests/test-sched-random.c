#include "sched-fixture.h"

#include <string.h>

typedef struct {
  Fixture *fixture;
  GRand *rand;
  GHashTable *running;  /* attempt text -> VpDecision */
  GHashTable *attempts; /* texts of all attempts so far */
  GHashTable *started;  /* _random_key() of started members that are not repeatable */
  guint start_count;
  VpResources used[2];
  VpResources grants[2];
} RandomRun;

/* Every third random job is not repeatable. */
static bool
_random_is_repeatable (VpTaskId task)
{
  return task.lo % 3 != 0;
}

static gpointer
_random_key (const VpAttempt *attempt)
{
  return GUINT_TO_POINTER ((guint)(attempt->task.lo * 16 + attempt->member));
}

static bool
_random_is_started (const RandomRun *state, const VpAttempt *attempt)
{
  return g_hash_table_contains (state->started, _random_key (attempt));
}

static void
_random_mark_started (RandomRun *state, const VpAttempt *attempt)
{
  if (!_random_is_repeatable (attempt->task))
    g_hash_table_add (state->started, _random_key (attempt));
}

static void
_random_decide (RandomRun *state)
{
  Fixture *fixture = state->fixture;

  g_array_set_size (fixture->decisions, 0);
  vp_sched_decide (fixture->sched, fixture->now_ms, fixture->decisions);
  for (guint i = 0; i < fixture->decisions->len; i++) {
    const VpDecision *decision = _decision (fixture, i);
    VpResources *used = &state->used[decision->team[0] - 'a'];
    char text[VP_ATTEMPT_TEXT_MAX];

    if (decision->kind != VP_DECISION_START)
      continue;
    vp_resources_add (used, &decision->size);
    g_assert_true (vp_resources_fits (used, &state->grants[decision->team[0] - 'a']));
    vp_attempt_format (&decision->attempt, text);
    /* An attempt number is never used twice, and a member that is not repeatable runs once. */
    g_assert_true (g_hash_table_insert (state->running, g_strdup (text),
                                        g_memdup2 (decision, sizeof *decision)));
    g_assert_true (g_hash_table_add (state->attempts, g_strdup (text)));
    g_assert_false (_random_is_started (state, &decision->attempt));
    state->start_count++;
    if (g_rand_int_range (state->rand, 0, 4) > 0) {
      vp_sched_started (fixture->sched, &decision->attempt, fixture->now_ms);
      _random_mark_started (state, &decision->attempt);
    }
  }
}

static void
_random_remove_running (RandomRun *state, const VpAttempt *attempt)
{
  char text[VP_ATTEMPT_TEXT_MAX];
  const VpDecision *decision;

  vp_attempt_format (attempt, text);
  decision = g_hash_table_lookup (state->running, text);
  g_assert_nonnull (decision);
  vp_resources_sub (&state->used[decision->team[0] - 'a'], &decision->size);
  g_hash_table_remove (state->running, text);
}

static void
_random_end (RandomRun *state)
{
  GHashTableIter iter;
  gpointer key, value;
  VpAttempt attempt;

  g_hash_table_iter_init (&iter, state->running);
  if (!g_hash_table_iter_next (&iter, &key, &value))
    return;
  attempt = ((VpDecision *)value)->attempt;
  _random_remove_running (state, &attempt);
  if (g_rand_int_range (state->rand, 0, 6) > 0) {
    VpTaskEnd end = (VpTaskEnd)g_rand_int_range (state->rand, 0, VP_END_LAPSED + 1);
    bool is_lost = g_rand_int_range (state->rand, 0, 8) == 0;

    vp_sched_ended (state->fixture->sched, &attempt, end, is_lost, state->fixture->now_ms);
    _random_mark_started (state, &attempt);
  } else if (_random_is_started (state, &attempt)) {
    vp_sched_ended (state->fixture->sched, &attempt, VP_END_DONE, false, state->fixture->now_ms);
  } else {
    vp_sched_not_started (state->fixture->sched, &attempt, state->fixture->now_ms);
  }
}

static void
_random_lose_worker (RandomRun *state)
{
  GArray *ended = g_array_new (FALSE, FALSE, sizeof (VpAttempt));
  uint32_t worker = (uint32_t)g_rand_int_range (state->rand, 0, 8);
  char name[8];

  g_snprintf (name, sizeof name, "w%u", worker);
  vp_sched_worker_lost (state->fixture->sched, name, ended, state->fixture->now_ms);
  for (guint i = 0; i < ended->len; i++) {
    const VpAttempt *attempt = &g_array_index (ended, VpAttempt, i);

    _random_remove_running (state, attempt);
    _random_mark_started (state, attempt);
  }
  g_array_unref (ended);
  _add_worker (state->fixture, worker);
}

static void
_random_submit (RandomRun *state)
{
  GRand *rand = state->rand;
  Fixture *fixture = state->fixture;
  VpJobSpec job = _job_spec (fixture, g_rand_boolean (rand) ? "a" : "b",
                             profiles[g_rand_int_range (rand, 0, G_N_ELEMENTS (profiles))].name,
                             g_rand_int_range (rand, 1, 17) * 1000);
  int count = g_rand_int_range (rand, -4, 6);

  job.task_count = (uint32_t)MAX (count, 1);
  job.is_repeatable = _random_is_repeatable (job.task);
  if (g_rand_int_range (rand, 0, 4) == 0)
    job.start_by_ms = fixture->now_ms + g_rand_int_range (rand, 0, 20000);
  _submit (fixture, job);
}

static void
_random_adopt (RandomRun *state, const char *worker)
{
  VpJobSpec job
      = _job_spec (state->fixture, g_rand_boolean (state->rand) ? "a" : "b", "fixed", 1000);
  VpDecision decision = { .attempt = { job.task, 0, 3 }, .size = job.size };
  char text[VP_ATTEMPT_TEXT_MAX];

  job.is_repeatable = _random_is_repeatable (job.task);
  vp_sched_adopt (state->fixture->sched, &job, &decision.attempt, worker, state->fixture->now_ms);
  _random_mark_started (state, &decision.attempt);
  g_strlcpy (decision.team, job.team, sizeof decision.team);
  vp_resources_add (&state->used[job.team[0] - 'a'], &job.size);
  vp_attempt_format (&decision.attempt, text);
  g_hash_table_insert (state->running, g_strdup (text), g_memdup2 (&decision, sizeof decision));
}

static void
_random_step (RandomRun *state)
{
  Fixture *fixture = state->fixture;
  int choice = g_rand_int_range (state->rand, 0, 100);
  char worker[8];

  g_snprintf (worker, sizeof worker, "w%d", g_rand_int_range (state->rand, 0, 8));
  if (choice < 45) {
    _random_submit (state);
  } else if (choice < 75) {
    _random_end (state);
  } else if (choice < 85) {
    VpTaskId task
        = { 1, (uint64_t)g_rand_int_range (state->rand, 1, 2 + (gint)fixture->last_task) };

    vp_sched_cancel (fixture->sched, task, fixture->now_ms);
  } else if (choice < 88) {
    guint team = (guint)g_rand_int_range (state->rand, 0, 2);

    state->grants[team].cpu_milli = g_rand_int_range (state->rand, 0, 128) * 1000;
    vp_sched_set_grant (fixture->sched, team == 0 ? "a" : "b", &state->grants[team],
                        fixture->now_ms);
  } else if (choice < 90) {
    _random_lose_worker (state);
  } else if (choice < 93) {
    vp_sched_worker_reachable (fixture->sched, worker, g_rand_boolean (state->rand),
                               fixture->now_ms);
  } else if (choice < 95) {
    _random_adopt (state, worker);
  } else if (choice < 96) {
    guint count = (guint)g_rand_int_range (state->rand, 2, G_N_ELEMENTS (profiles) + 1);
    g_autoptr (VpConfig) config = _new_config (200, count);

    vp_sched_set_config (fixture->sched, config, fixture->now_ms);
  }
  fixture->now_ms += g_rand_int_range (state->rand, 0, 400);
}

/* Ends all tasks successfully and decides only when it is due; all jobs must end. */
static void
_random_drain (RandomRun *state)
{
  Fixture *fixture = state->fixture;
  char worker[8];

  vp_sched_set_config (fixture->sched, fixture->config, fixture->now_ms);
  for (guint i = 0; i < 8; i++) {
    g_snprintf (worker, sizeof worker, "w%u", i);
    vp_sched_worker_reachable (fixture->sched, worker, true, fixture->now_ms);
    state->grants[i % 2] = (VpResources){ 1000000, 1000000, 8 };
    vp_sched_set_grant (fixture->sched, i % 2 == 0 ? "a" : "b", &state->grants[i % 2],
                        fixture->now_ms);
  }
  for (int step = 0; step < 20000; step++) {
    int64_t next_ms = vp_sched_next_ms (fixture->sched);
    GHashTableIter iter;
    gpointer value;

    if (g_hash_table_size (state->running) == 0 && next_ms == INT64_MAX)
      break;
    g_hash_table_iter_init (&iter, state->running);
    if (g_hash_table_iter_next (&iter, NULL, &value)) {
      VpAttempt attempt = ((VpDecision *)value)->attempt;

      _random_remove_running (state, &attempt);
      vp_sched_ended (fixture->sched, &attempt, VP_END_DONE, false, fixture->now_ms);
    } else {
      fixture->now_ms = MAX (fixture->now_ms, next_ms);
    }
    _random_decide (state);
    _check_invariants (fixture);
  }
  for (VpTaskId task = { 1, 1 }; task.lo <= fixture->last_task; task.lo++) {
    VpSchedJobStatus status;

    if (vp_sched_job_status (fixture->sched, task, fixture->now_ms, &status))
      g_error ("%d %s", (int)task.lo, status.explanation);
  }
}

/* Applies random sequences of calls. Guards against commitments that differ from the running tasks,
 * usage above a grant, two attempts of a member at a time, a second run of a job that is not
 * repeatable, and jobs that are never finished. */
static void
test_random (void)
{
  for (guint32 seed = 1; seed <= 12; seed++) {
    /* Every third run allows so few decisions a call that most calls leave some for the next. */
    RandomRun state = { .fixture = _fixture_new_with (8, seed % 3 == 0 ? 2 : 0),
                        .rand = g_rand_new_with_seed (seed) };

    state.running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    state.attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    state.started = g_hash_table_new (NULL, NULL);
    state.grants[0] = state.grants[1] = (VpResources){ 1000000, 1000000, 8 };
    for (int step = 0; step < 4000; step++) {
      GArray *all = g_array_new (FALSE, FALSE, sizeof (VpDecision));

      _random_step (&state);
      _check_invariants (state.fixture);
      _random_decide (&state);
      _check_invariants (state.fixture);
      vp_sched_running_attempts (state.fixture->sched, all);
      g_assert_cmpuint (all->len, ==, g_hash_table_size (state.running));
      g_array_unref (all);
    }
    _random_drain (&state);
    /* The sequence must start many tasks, not only get refusals. */
    g_assert_cmpuint (state.start_count, >, 1000);
    g_hash_table_unref (state.running);
    g_hash_table_unref (state.attempts);
    g_hash_table_unref (state.started);
    g_rand_free (state.rand);
    _fixture_free (state.fixture);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sched/random", test_random);
  return g_test_run ();
}
