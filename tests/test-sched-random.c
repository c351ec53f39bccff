#include "sched-cell.h"

#include <string.h>

typedef struct {
  Cell *cell;
  GRand *rand;
  GHashTable *running;  /* attempt text -> VpDecision */
  GHashTable *attempts; /* texts of all attempts */
  GHashTable *started;  /* task and member, in one number, of started work that may not repeat */
  guint start_count;
  VpResources used[2];
  VpResources grants[2];
} Random;

/* Of the random work, every third task may not be repeated. */
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
_random_is_started (const Random *state, const VpAttempt *attempt)
{
  return g_hash_table_contains (state->started, _random_key (attempt));
}

static void
_random_mark (Random *state, const VpAttempt *attempt)
{
  if (!_random_is_repeatable (attempt->task))
    g_hash_table_add (state->started, _random_key (attempt));
}

static void
_random_decide (Random *state)
{
  Cell *cell = state->cell;

  g_array_set_size (cell->decisions, 0);
  vp_sched_decide (cell->sched, cell->now_ms, cell->decisions);
  for (guint i = 0; i < cell->decisions->len; i++) {
    const VpDecision *decision = _decision (cell, i);
    VpResources *used = &state->used[decision->team[0] - 'a'];
    char text[VP_ATTEMPT_TEXT_MAX];

    if (decision->kind != VP_DECISION_START)
      continue;
    vp_resources_add (used, &decision->size);
    g_assert_true (vp_resources_fits (used, &state->grants[decision->team[0] - 'a']));
    vp_attempt_format (&decision->attempt, text);
    /* An attempt's number is never used twice, and work that may not be repeated starts once. */
    g_assert_true (g_hash_table_insert (state->running, g_strdup (text),
                                        g_memdup2 (decision, sizeof *decision)));
    g_assert_true (g_hash_table_add (state->attempts, g_strdup (text)));
    g_assert_false (_random_is_started (state, &decision->attempt));
    state->start_count++;
    if (g_rand_int_range (state->rand, 0, 4) > 0) {
      vp_sched_started (cell->sched, &decision->attempt, cell->now_ms);
      _random_mark (state, &decision->attempt);
    }
  }
}

static void
_random_forget (Random *state, const VpAttempt *attempt)
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
_random_end (Random *state)
{
  GHashTableIter iter;
  gpointer key, value;
  VpAttempt attempt;

  g_hash_table_iter_init (&iter, state->running);
  if (!g_hash_table_iter_next (&iter, &key, &value))
    return;
  attempt = ((VpDecision *)value)->attempt;
  _random_forget (state, &attempt);
  if (g_rand_int_range (state->rand, 0, 6) > 0) {
    VpTaskEnd end = (VpTaskEnd)g_rand_int_range (state->rand, 0, VP_END_LAPSED + 1);
    bool is_lost = g_rand_int_range (state->rand, 0, 8) == 0;

    vp_sched_ended (state->cell->sched, &attempt, end, is_lost, state->cell->now_ms);
    _random_mark (state, &attempt);
  } else if (_random_is_started (state, &attempt)) {
    vp_sched_ended (state->cell->sched, &attempt, VP_END_DONE, false, state->cell->now_ms);
  } else {
    vp_sched_not_started (state->cell->sched, &attempt, state->cell->now_ms);
  }
}

static void
_random_lose (Random *state)
{
  GArray *ended = g_array_new (FALSE, FALSE, sizeof (VpAttempt));
  uint32_t worker = (uint32_t)g_rand_int_range (state->rand, 0, 8);
  char name[8];

  g_snprintf (name, sizeof name, "w%u", worker);
  vp_sched_worker_lost (state->cell->sched, name, ended, state->cell->now_ms);
  for (guint i = 0; i < ended->len; i++) {
    const VpAttempt *attempt = &g_array_index (ended, VpAttempt, i);

    _random_forget (state, attempt);
    _random_mark (state, attempt);
  }
  g_array_unref (ended);
  _add_worker (state->cell, worker);
}

static void
_random_submit (Random *state)
{
  GRand *rand = state->rand;
  Cell *cell = state->cell;
  VpSchedJob job = _job (cell, g_rand_boolean (rand) ? "a" : "b",
                         profiles[g_rand_int_range (rand, 0, G_N_ELEMENTS (profiles))].name,
                         g_rand_int_range (rand, 1, 17) * 1000);
  int count = g_rand_int_range (rand, -4, 6);

  job.task_count = (uint32_t)MAX (count, 1);
  job.is_repeatable = _random_is_repeatable (job.task);
  if (g_rand_int_range (rand, 0, 4) == 0)
    job.start_by_ms = cell->now_ms + g_rand_int_range (rand, 0, 20000);
  _submit (cell, job);
}

static void
_random_adopt (Random *state, const char *worker)
{
  VpSchedJob job = _job (state->cell, g_rand_boolean (state->rand) ? "a" : "b", "fixed", 1000);
  VpDecision decision = { .attempt = { job.task, 0, 3 }, .size = job.size };
  char text[VP_ATTEMPT_TEXT_MAX];

  job.is_repeatable = _random_is_repeatable (job.task);
  vp_sched_adopt (state->cell->sched, &job, &decision.attempt, worker, state->cell->now_ms);
  _random_mark (state, &decision.attempt);
  g_strlcpy (decision.team, job.team, sizeof decision.team);
  vp_resources_add (&state->used[job.team[0] - 'a'], &job.size);
  vp_attempt_format (&decision.attempt, text);
  g_hash_table_insert (state->running, g_strdup (text), g_memdup2 (&decision, sizeof decision));
}

static void
_random_step (Random *state)
{
  Cell *cell = state->cell;
  int choice = g_rand_int_range (state->rand, 0, 100);
  char worker[8];

  g_snprintf (worker, sizeof worker, "w%d", g_rand_int_range (state->rand, 0, 8));
  if (choice < 45) {
    _random_submit (state);
  } else if (choice < 75) {
    _random_end (state);
  } else if (choice < 85) {
    VpTaskId task = { 1, (uint64_t)g_rand_int_range (state->rand, 1, 2 + (gint)cell->last_task) };

    vp_sched_cancel (cell->sched, task, cell->now_ms);
  } else if (choice < 88) {
    guint team = (guint)g_rand_int_range (state->rand, 0, 2);

    state->grants[team].cpu_milli = g_rand_int_range (state->rand, 0, 128) * 1000;
    vp_sched_set_grant (cell->sched, team == 0 ? "a" : "b", &state->grants[team], cell->now_ms);
  } else if (choice < 90) {
    _random_lose (state);
  } else if (choice < 93) {
    vp_sched_worker_reachable (cell->sched, worker, g_rand_boolean (state->rand), cell->now_ms);
  } else if (choice < 95) {
    _random_adopt (state, worker);
  } else if (choice < 96) {
    guint count = (guint)g_rand_int_range (state->rand, 2, G_N_ELEMENTS (profiles) + 1);
    g_autoptr (VpConfig) config = _config (200, count);

    vp_sched_set_config (cell->sched, config, cell->now_ms);
  }
  cell->now_ms += g_rand_int_range (state->rand, 0, 400);
}

/* With all tasks ending well and decide called only when it asks for it, all work must end. */
static void
_random_drain (Random *state)
{
  Cell *cell = state->cell;
  char worker[8];

  vp_sched_set_config (cell->sched, cell->config, cell->now_ms);
  for (guint i = 0; i < 8; i++) {
    g_snprintf (worker, sizeof worker, "w%u", i);
    vp_sched_worker_reachable (cell->sched, worker, true, cell->now_ms);
    state->grants[i % 2] = (VpResources){ 1000000, 1000000, 8 };
    vp_sched_set_grant (cell->sched, i % 2 == 0 ? "a" : "b", &state->grants[i % 2], cell->now_ms);
  }
  for (int step = 0; step < 20000; step++) {
    int64_t next_ms = vp_sched_next_ms (cell->sched);
    GHashTableIter iter;
    gpointer value;

    if (g_hash_table_size (state->running) == 0 && next_ms == INT64_MAX)
      break;
    g_hash_table_iter_init (&iter, state->running);
    if (g_hash_table_iter_next (&iter, NULL, &value)) {
      VpAttempt attempt = ((VpDecision *)value)->attempt;

      _random_forget (state, &attempt);
      vp_sched_ended (cell->sched, &attempt, VP_END_DONE, false, cell->now_ms);
    } else {
      cell->now_ms = MAX (cell->now_ms, next_ms);
    }
    _random_decide (state);
    _check (cell);
  }
  for (VpTaskId task = { 1, 1 }; task.lo <= cell->last_task; task.lo++) {
    VpSchedView view;

    if (vp_sched_view (cell->sched, task, cell->now_ms, &view))
      g_error ("%d %s", (int)task.lo, view.explanation);
  }
}

/* Guards against commitments that drift from what runs, use above a grant, a second attempt beside
 * a running one, a second run of work that may not be repeated and work that is forgotten, over
 * random sequences. */
static void
test_random (void)
{
  for (guint32 seed = 1; seed <= 12; seed++) {
    /* Some with so few decisions a call that a call seldom finishes. */
    Random state = { .cell = _cell_new_with (8, seed % 3 == 0 ? 2 : 0),
                     .rand = g_rand_new_with_seed (seed) };

    state.running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    state.attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    state.started = g_hash_table_new (NULL, NULL);
    state.grants[0] = state.grants[1] = (VpResources){ 1000000, 1000000, 8 };
    for (int step = 0; step < 4000; step++) {
      GArray *all = g_array_new (FALSE, FALSE, sizeof (VpDecision));

      _random_step (&state);
      _check (state.cell);
      _random_decide (&state);
      _check (state.cell);
      vp_sched_running (state.cell->sched, all);
      g_assert_cmpuint (all->len, ==, g_hash_table_size (state.running));
      g_array_unref (all);
    }
    _random_drain (&state);
    /* The sequence must reach all parts, not only refusals. */
    g_assert_cmpuint (state.start_count, >, 1000);
    g_hash_table_unref (state.running);
    g_hash_table_unref (state.attempts);
    g_hash_table_unref (state.started);
    g_rand_free (state.rand);
    _cell_free (state.cell);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sched/random", test_random);
  return g_test_run ();
}
