#include "sched-cell.h"

#include <stdlib.h>
#include <string.h>

static Cell *
_cell_new (uint32_t worker_count)
{
  return _cell_new_with (worker_count, 0);
}

/* Decides @after_ms later; returns the number of decisions of @kind. */
static guint
_decide (Cell *cell, int64_t after_ms, VpDecisionKind kind)
{
  guint count = 0;

  cell->now_ms += after_ms;
  g_array_set_size (cell->decisions, 0);
  vp_sched_decide (cell->sched, cell->now_ms, cell->decisions);
  _check (cell);
  for (guint i = 0; i < cell->decisions->len; i++) {
    const VpDecision *decision = &g_array_index (cell->decisions, VpDecision, i);

    count += decision->kind == kind;
    if (decision->kind == VP_DECISION_START)
      vp_sched_started (cell->sched, &decision->attempt, cell->now_ms);
  }
  return count;
}

static void
_expect (Cell *cell, int64_t after_ms, VpDecisionKind kind, guint expected)
{
  guint count = _decide (cell, after_ms, kind);

  g_assert_cmpuint (count, ==, expected);
}

static void
_expect_submit (Cell *cell, VpSchedJob job, VpReason expected)
{
  VpReason reason = _submit (cell, job);

  g_assert_cmpint (reason, ==, expected);
}

static VpTaskState
_end (Cell *cell, VpAttempt attempt, VpTaskEnd end)
{
  return vp_sched_ended (cell->sched, &attempt, end, false, cell->now_ms);
}

/* Fills the workers with tasks of a whole worker each. */
static void
_fill (Cell *cell, const char *team, const char *profile, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    _expect_submit (cell, _job (cell, team, profile, 16000), VP_REASON_NONE);
  _expect (cell, 0, VP_DECISION_START, count);
}

/* Guards against accepting work that can't run, and against a wrong reason for the caller. */
static void
test_refusals (void)
{
  Cell *cell = _cell_new (0);
  VpSchedJob job = _job (cell, "a", "batch", 20000);
  VpSchedJob gang = _job (cell, "a", "gang", 16000);
  VpSchedJob late = _job (cell, "a", "batch", 1000);
  VpSchedJob limit = _job (cell, "a", "batch", 1000);
  VpSchedView view;

  /* No worker is known yet, so the size may fit. */
  _expect_submit (cell, job, VP_REASON_NONE);
  _expect (cell, 0, VP_DECISION_START, 0);
  g_assert_true (vp_sched_view (cell->sched, job.task, cell->now_ms, &view));
  g_assert_cmpint (view.state, ==, VP_TASK_QUEUED);
  g_assert_cmpuint (view.queue_position, ==, 1);
  g_assert_cmpint (vp_sched_cancel (cell->sched, job.task, cell->now_ms), ==, VP_TASK_CANCELLED);
  g_assert_false (vp_sched_view (cell->sched, job.task, cell->now_ms, &view));
  _add_worker (cell, 0);
  _add_worker (cell, 1);
  _expect_submit (cell, job, VP_REASON_IMPOSSIBLE_SIZE);
  gang.task_count = 3;
  _expect_submit (cell, gang, VP_REASON_IMPOSSIBLE_SIZE);
  limit.size.mem_mib = 1000001;
  _expect_submit (cell, limit, VP_REASON_IMPOSSIBLE_SIZE);
  late.start_by_ms = cell->now_ms;
  _expect_submit (cell, late, VP_REASON_DEADLINE);
  _expect_submit (cell, _job (cell, "c", "batch", 1), VP_REASON_UNKNOWN_TEAM);
  _expect_submit (cell, _job (cell, "a", "x", 1), VP_REASON_UNKNOWN_PROFILE);
  /* A deadline that passes in the queue. */
  _fill (cell, "a", "fixed", 2);
  late.start_by_ms = cell->now_ms + 100;
  _expect_submit (cell, late, VP_REASON_NONE);
  _expect (cell, 100, VP_DECISION_REFUSE, 0);
  g_assert_cmpint (vp_sched_next_ms (cell->sched), <=, cell->now_ms + 1);
  _expect (cell, 1, VP_DECISION_REFUSE, 1);
  g_assert_cmpint (_decision (cell, 0)->reason, ==, VP_REASON_DEADLINE);
  _cell_free (cell);
}

/* Guards against an unbounded queue, and against queued work of a profile that was removed. */
static void
test_config (void)
{
  Cell *cell = _cell_new (0);
  g_autoptr (VpConfig) bounded = _config (2, G_N_ELEMENTS (profiles));
  g_autoptr (VpConfig) fewer = _config (2, 1);

  vp_sched_set_config (cell->sched, bounded, cell->now_ms);
  _expect_submit (cell, _job (cell, "a", "batch", 1), VP_REASON_NONE);
  _expect_submit (cell, _job (cell, "a", "fixed", 1), VP_REASON_NONE);
  _expect_submit (cell, _job (cell, "a", "batch", 1), VP_REASON_QUEUE_FULL);
  _expect_submit (cell, _job (cell, "b", "batch", 1), VP_REASON_NONE);
  vp_sched_set_config (cell->sched, fewer, cell->now_ms);
  _expect (cell, 0, VP_DECISION_REFUSE, 1);
  g_assert_cmpint (_decision (cell, 0)->reason, ==, VP_REASON_UNKNOWN_PROFILE);
  _cell_free (cell);
}

/* Guards against an uneven division of a full cell, and one that ignores the weights. */
static void
test_shares (void)
{
  Cell *cell = _cell_new (4);
  g_autoptr (VpConfig) config = _config (0, G_N_ELEMENTS (profiles));
  guint counts[2] = { 0 };

  g_array_index (config->teams, VpTeam, 1).share = 3;
  vp_sched_set_config (cell->sched, config, cell->now_ms);
  for (int i = 0; i < 40; i++)
    _submit (cell, _job (cell, "a", "fixed", 2000));
  for (int i = 0; i < 40; i++)
    _submit (cell, _job (cell, "b", "fixed", 2000));
  _expect (cell, 0, VP_DECISION_START, 32);
  for (guint i = 0; i < 32; i++)
    counts[_decision (cell, i)->team[0] - 'a']++;
  g_assert_cmpuint (counts[0], ==, 8);
  g_assert_cmpuint (counts[1], ==, 24);
  _cell_free (cell);
}

/* Guards against a team that passes its grant, and against one that stays above a lowered one.
 * Preemptible tasks have to go first, the youngest first. */
static void
test_grant (void)
{
  Cell *cell = _cell_new (4);
  VpAttempt old, young;

  vp_sched_set_grant (cell->sched, "a", &(VpResources){ 6000, 100000, 0 }, cell->now_ms);
  _submit (cell, _job (cell, "a", "batch", 2000));
  _expect (cell, 0, VP_DECISION_START, 1);
  old = _decision (cell, 0)->attempt;
  _submit (cell, _job (cell, "a", "batch", 2000));
  _expect (cell, 1, VP_DECISION_START, 1);
  young = _decision (cell, 0)->attempt;
  _submit (cell, _job (cell, "a", "fixed", 2000));
  _submit (cell, _job (cell, "a", "fixed", 2000));
  _expect (cell, 1, VP_DECISION_START, 1);
  vp_sched_set_grant (cell->sched, "a", &(VpResources){ 5000, 100000, 0 }, cell->now_ms);
  _expect (cell, 1, VP_DECISION_CHECKPOINT, 1);
  g_assert_true (vp_attempt_equal (&_decision (cell, 0)->attempt, &young));
  vp_sched_set_grant (cell->sched, "a", &(VpResources){ 1000, 100000, 0 }, cell->now_ms);
  _expect (cell, 1, VP_DECISION_CHECKPOINT, 1);
  g_assert_true (vp_attempt_equal (&_decision (cell, 0)->attempt, &old));
  g_assert_cmpint (_decision (cell, 1)->kind, ==, VP_DECISION_STOP);
  g_assert_cmpint (_end (cell, young, VP_END_CHECKPOINTED), ==, VP_TASK_QUEUED);
  g_assert_cmpint (_end (cell, old, VP_END_CHECKPOINTED), ==, VP_TASK_QUEUED);
  _expect (cell, 1, VP_DECISION_START, 0);
  /* The command for the third may be lost, so it is sent again. */
  _expect (cell, 2000, VP_DECISION_STOP, 1);
  _cell_free (cell);
}

/* Guards against a second run of work that may not be repeated, a second attempt beside the first
 * and unbounded tries. */
static void
test_attempts (void)
{
  Cell *cell = _cell_new (4);
  VpSchedJob once = _job (cell, "a", "fixed", 1000);
  VpSchedJob twice = _job (cell, "a", "fixed", 1000);
  VpAttempt attempt;
  char worker[VP_NAME_MAX];
  GArray *ended = g_array_new (FALSE, FALSE, sizeof (VpAttempt));

  once.is_repeatable = false;
  _submit (cell, once);
  vp_sched_decide (cell->sched, cell->now_ms, cell->decisions);
  attempt = _decision (cell, 0)->attempt;
  _submit (cell, once);
  vp_sched_not_started (cell->sched, &attempt, cell->now_ms);
  /* The worker that refused is left alone for a moment. */
  g_strlcpy (worker, _decision (cell, 0)->worker, sizeof worker);
  _expect (cell, 0, VP_DECISION_START, 1);
  g_assert_cmpstr (_decision (cell, 0)->worker, !=, worker);
  g_assert_cmpuint (_decision (cell, 0)->attempt.attempt, ==, 2);
  vp_sched_worker_lost (cell->sched, _decision (cell, 0)->worker, ended, cell->now_ms);
  g_assert_cmpuint (ended->len, ==, 1);
  _expect (cell, 60000, VP_DECISION_FAIL, 1);
  g_assert_cmpint (_decision (cell, 0)->reason, ==, VP_REASON_WORKER_LOST);
  g_assert_cmpuint (cell->decisions->len, ==, 1);
  _submit (cell, twice);
  for (uint32_t tries = 1; tries <= 2; tries++) {
    _expect (cell, 0, VP_DECISION_START, tries == 1);
    if (tries == 2)
      _expect (cell, 500, VP_DECISION_START, 1);
    attempt = _decision (cell, 0)->attempt;
    g_assert_cmpuint (attempt.attempt, ==, tries);
    g_assert_cmpint (_end (cell, attempt, VP_END_FAILED), ==,
                     tries == 1 ? VP_TASK_QUEUED : VP_TASK_FAILED);
    /* The same end once more, or an older one, has no effect. */
    g_assert_cmpint (_end (cell, attempt, VP_END_DONE), ==,
                     tries == 1 ? VP_TASK_QUEUED : VP_TASK_NONE);
  }
  g_array_unref (ended);
  _cell_free (cell);
}

/* Guards against work on a worker that fails everything, that is unreachable, leaving or not read
 * back yet, and against a worker blamed for a bad job. */
static void
test_health (void)
{
  Cell *cell = _cell_new (1);
  VpAttempt trial;
  VpSchedJob bad;

  for (int i = 0; i < 3; i++) {
    bad = _job (cell, "a", "batch", 1000);
    bad.is_repeatable = false;
    _submit (cell, bad);
    _expect (cell, 0, VP_DECISION_START, 1);
    _end (cell, _decision (cell, 0)->attempt, VP_END_FAILED);
  }
  _submit (cell, _job (cell, "a", "batch", 1000));
  _submit (cell, _job (cell, "a", "batch", 1000));
  _expect (cell, 29999, VP_DECISION_START, 0);
  _expect (cell, 1, VP_DECISION_START, 1);
  trial = _decision (cell, 0)->attempt;
  _expect (cell, 1, VP_DECISION_START, 0);
  _end (cell, trial, VP_END_DONE);
  _expect (cell, 1, VP_DECISION_START, 1);
  _cell_free (cell);

  cell = _cell_new (3);
  for (int i = 0; i < 8; i++) {
    bad = _job (cell, "a", "fixed", 1000);
    _submit (cell, bad);
    for (int tries = 0; tries < 2; tries++) {
      _expect (cell, 500, VP_DECISION_START, 1);
      _end (cell, _decision (cell, 0)->attempt, VP_END_FAILED);
    }
  }
  _fill (cell, "a", "batch", 3);
  for (guint i = 0; i < 3; i++)
    _end (cell, _decision (cell, i)->attempt, VP_END_DONE);
  vp_sched_worker_leaving (cell->sched, "w0", cell->now_ms);
  /* A list that still has it as live is behind. */
  vp_sched_worker_update (
      cell->sched, &(VpVm){ .name = "w0", .size = { 9, 9, 0 }, .slot_count = 9, .generation = 1 },
      cell->now_ms);
  vp_sched_worker_reachable (cell->sched, "w1", false, cell->now_ms);
  vp_sched_worker_update (
      cell->sched, &(VpVm){ .name = "w2", .size = { 9, 9, 0 }, .slot_count = 8, .generation = 2 },
      cell->now_ms);
  _submit (cell, _job (cell, "a", "batch", 1));
  _expect (cell, 1000, VP_DECISION_START, 0);
  vp_sched_worker_reachable (cell->sched, "w1", true, cell->now_ms);
  _expect (cell, 0, VP_DECISION_START, 1);
  g_assert_cmpstr (_decision (cell, 0)->worker, ==, "w1");
  _cell_free (cell);
}

/* Guards against a part of a gang that runs, a gang that starves behind small work, and two gangs
 * that hold half of the cell each. */
static void
test_gangs (void)
{
  Cell *cell = _cell_new (4);
  VpSchedJob gangs[2];
  GArray *running = g_array_new (FALSE, FALSE, sizeof (VpAttempt));
  guint members = 0;

  _fill (cell, "b", "fixed", 3);
  for (guint i = 0; i < 3; i++)
    g_array_append_val (running, _decision (cell, i)->attempt);
  for (int i = 0; i < 2; i++) {
    gangs[i] = _job (cell, "a", "gang", 12000);
    gangs[i].task_count = 4;
    _expect_submit (cell, gangs[i], VP_REASON_NONE);
  }
  for (int step = 0; step < 400 && members < 8; step++) {
    VpSchedJob small = _job (cell, "b", "fixed", 8000);
    guint before = members;

    _submit (cell, small);
    _decide (cell, 100, VP_DECISION_START);
    for (guint i = 0; i < cell->decisions->len; i++) {
      const VpDecision *decision = _decision (cell, i);

      if (decision->kind != VP_DECISION_START)
        continue;
      g_array_append_val (running, decision->attempt);
      members += strcmp (decision->profile, "gang") == 0;
    }
    g_assert_true (members == before || members == before + 4);
    if (running->len > 0) {
      _end (cell, g_array_index (running, VpAttempt, 0), VP_END_DONE);
      g_array_remove_index (running, 0);
    }
  }
  g_assert_cmpuint (members, ==, 8);
  g_array_unref (running);
  _cell_free (cell);
}

/* Guards against a gang that goes on without one of its members. */
static void
test_gang_restart (void)
{
  Cell *cell = _cell_new (16);
  VpSchedJob gang = _job (cell, "a", "gang", 1000);
  VpAttempt members[3];
  GHashTable *racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  gang.task_count = 3;
  _submit (cell, gang);
  _expect (cell, 0, VP_DECISION_START, 3);
  for (guint i = 0; i < 3; i++) {
    members[i] = _decision (cell, i)->attempt;
    g_hash_table_add (racks, g_strdup_printf ("%d", atoi (_decision (cell, i)->worker + 1) / 4));
  }
  g_assert_cmpuint (g_hash_table_size (racks), ==, 3);
  g_assert_cmpint (_end (cell, members[0], VP_END_DONE), ==, VP_TASK_RUNNING);
  g_assert_cmpint (_end (cell, members[1], VP_END_FAILED), ==, VP_TASK_RUNNING);
  _expect (cell, 0, VP_DECISION_STOP, 1);
  g_assert_cmpint (_end (cell, members[2], VP_END_STOPPED), ==, VP_TASK_QUEUED);
  _expect (cell, 500, VP_DECISION_START, 3);
  g_assert_cmpuint (_decision (cell, 0)->attempt.attempt, ==, 2);
  g_assert_cmpint (vp_sched_cancel (cell->sched, gang.task, cell->now_ms), ==, VP_TASK_RUNNING);
  _expect (cell, 0, VP_DECISION_STOP, 3);
  for (guint i = 0; i < 3; i++)
    g_assert_cmpint (_end (cell, _decision (cell, i)->attempt, VP_END_STOPPED), ==,
                     i < 2 ? VP_TASK_RUNNING : VP_TASK_CANCELLED);
  g_hash_table_unref (racks);
  _cell_free (cell);
}

/* Guards against urgent work that waits behind preemptible work, against preemption that doesn't
 * help or isn't allowed, and against other work taking the freed room. */
static void
test_preemption (void)
{
  static const struct {
    const char *running;
    bool is_repeatable;
    guint checkpoints;
  } cases[] = { { "batch", true, 1 }, { "batch", false, 0 }, { "fixed", true, 0 } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    Cell *cell = _cell_new (1);
    VpSchedJob job = _job (cell, "a", cases[i].running, 16000);
    VpAttempt victim;

    job.is_repeatable = cases[i].is_repeatable;
    _submit (cell, job);
    _expect (cell, 0, VP_DECISION_START, 1);
    _submit (cell, _job (cell, "a", "urgent", 2000));
    _submit (cell, _job (cell, "b", "batch", 16000));
    _expect (cell, 100, VP_DECISION_CHECKPOINT, cases[i].checkpoints);
    if (cases[i].checkpoints > 0) {
      victim = _decision (cell, 0)->attempt;
      g_assert_cmpint (_end (cell, victim, VP_END_CHECKPOINTED), ==, VP_TASK_QUEUED);
      _expect (cell, 1, VP_DECISION_START, 1);
      g_assert_cmpstr (_decision (cell, 0)->profile, ==, "urgent");
    }
    _cell_free (cell);
  }
}

/* Guards against other work in room that is being freed for urgent work in steps, and against
 * urgent work that is not tried again once what blocks it may be preempted. */
static void
test_preemption_room (void)
{
  Cell *cell = _cell_new (1);
  VpAttempt victims[2];

  for (int i = 0; i < 2; i++)
    _submit (cell, _job (cell, "a", "batch", 8000));
  g_array_set_size (cell->decisions, 0);
  vp_sched_decide (cell->sched, cell->now_ms, cell->decisions);
  for (guint i = 0; i < 2; i++)
    victims[i] = _decision (cell, i)->attempt;
  _submit (cell, _job (cell, "a", "urgent", 16000));
  _expect (cell, 0, VP_DECISION_CHECKPOINT, 0);
  for (guint i = 0; i < 2; i++)
    vp_sched_started (cell->sched, &victims[i], cell->now_ms);
  /* The first call only leads to the next one. */
  g_assert_cmpint (vp_sched_next_ms (cell->sched), <=, cell->now_ms + 250);
  _expect (cell, 250, VP_DECISION_CHECKPOINT, 2);
  for (guint i = 0; i < 2; i++) {
    _end (cell, victims[i], VP_END_CHECKPOINTED);
    _expect (cell, 1, VP_DECISION_START, i);
  }
  g_assert_cmpstr (_decision (cell, 0)->profile, ==, "urgent");
  _cell_free (cell);
}

/* Guards against urgent work that starves because other work of its team uses the grant, and
 * against other work of the team that takes what is freed in steps. */
static void
test_preemption_in_grant (void)
{
  Cell *cell = _cell_new (4);
  VpAttempt victims[2];

  vp_sched_set_grant (cell->sched, "a", &(VpResources){ 5000, 100000, 0 }, cell->now_ms);
  for (int i = 0; i < 4; i++)
    _submit (cell, _job (cell, "a", "batch", 2000));
  _expect (cell, 0, VP_DECISION_START, 2);
  /* The work that waits is older than any advance of urgent work. */
  cell->now_ms += 200000;
  _submit (cell, _job (cell, "a", "urgent", 4000));
  _submit (cell, _job (cell, "a", "urgent", 5001));
  _expect (cell, 0, VP_DECISION_CHECKPOINT, 2);
  for (guint i = 0; i < 2; i++)
    victims[i] = _decision (cell, i)->attempt;
  for (guint i = 0; i < 2; i++) {
    _end (cell, victims[i], VP_END_CHECKPOINTED);
    _expect (cell, 1, VP_DECISION_START, i);
  }
  g_assert_cmpstr (_decision (cell, 0)->profile, ==, "urgent");
  _cell_free (cell);
}

/* Guards against a team that keeps a full cell to itself, and against preemption that goes on
 * after the shares are even. */
static void
test_share_preemption (void)
{
  Cell *cell = _cell_new (4);
  guint checkpoints = 0;

  for (int i = 0; i < 32; i++)
    _submit (cell, _job (cell, "a", "batch", 2000));
  _expect (cell, 0, VP_DECISION_START, 32);
  for (int i = 0; i < 40; i++)
    _submit (cell, _job (cell, "b", "batch", 2000));
  for (int step = 0; step < 400; step++) {
    _decide (cell, 50, VP_DECISION_START);
    for (guint i = 0; i < cell->decisions->len; i++) {
      if (_decision (cell, i)->kind != VP_DECISION_CHECKPOINT)
        continue;
      checkpoints++;
      _end (cell, _decision (cell, i)->attempt, VP_END_CHECKPOINTED);
    }
  }
  g_assert_cmpuint (checkpoints, ==, 16);
  _cell_free (cell);
}

/* Guards against a large task that starves behind small ones of its team at the grant, and against
 * a task that runs for longer than its profile allows, or is tried again after that. */
static void
test_hold_and_run_time (void)
{
  Cell *cell = _cell_new (4);
  VpAttempt attempts[2];
  VpSchedJob large = _job (cell, "a", "fixed", 4000);
  bool is_started = false;

  vp_sched_set_grant (cell->sched, "a", &(VpResources){ 4000, 100000, 0 }, cell->now_ms);
  for (int i = 0; i < 2; i++) {
    _submit (cell, _job (cell, "a", "fixed", 2000));
    _expect (cell, 0, VP_DECISION_START, 1);
    attempts[i] = _decision (cell, 0)->attempt;
  }
  _submit (cell, large);
  for (int step = 0; step < 30 && !is_started; step++) {
    _submit (cell, _job (cell, "a", "fixed", 2000));
    _end (cell, attempts[step % 2], VP_END_DONE);
    if (_decide (cell, 1000, VP_DECISION_START) == 0)
      continue;
    attempts[step % 2] = _decision (cell, 0)->attempt;
    is_started = vp_task_id_equal (attempts[step % 2].task, large.task);
  }
  g_assert_true (is_started);
  vp_sched_set_grant (cell->sched, "a", &(VpResources){ 4000, 4000, 0 }, cell->now_ms);
  _expect (cell, 599999, VP_DECISION_STOP, 0);
  _expect (cell, 1, VP_DECISION_STOP, 1);
  g_assert_cmpint (_end (cell, _decision (cell, 0)->attempt, VP_END_STOPPED), ==, VP_TASK_FAILED);
  _cell_free (cell);
}

/* Guards against other work that takes the room beside free accelerators while work for them waits,
 * and against idle workers once that work makes no progress. */
static void
test_accel_guard (void)
{
  Cell *cell = _cell_new (0);
  VpSchedJob train = _job (cell, "a", "fixed", 16000);
  VpAttempt first;

  train.size.accel_count = 1;
  _add_worker_with (cell, 0, 2);
  _submit (cell, _job (cell, "b", "fixed", 1000));
  _expect (cell, 0, VP_DECISION_START, 1);
  first = _decision (cell, 0)->attempt;
  _submit (cell, train);
  _submit (cell, _job (cell, "b", "fixed", 1000));
  _expect (cell, 0, VP_DECISION_START, 0);
  _add_worker (cell, 1);
  _expect (cell, 0, VP_DECISION_START, 1);
  g_assert_cmpstr (_decision (cell, 0)->worker, ==, "w1");
  _end (cell, first, VP_END_DONE);
  _submit (cell, _job (cell, "b", "fixed", 16000));
  _expect (cell, 1, VP_DECISION_START, 1);
  g_assert_cmpstr (_decision (cell, 0)->team, ==, "a");
  _end (cell, _decision (cell, 0)->attempt, VP_END_DONE);
  _cell_free (cell);

  cell = _cell_new (0);
  _add_worker_with (cell, 0, 2);
  _submit (cell, _job (cell, "b", "fixed", 1000));
  _expect (cell, 0, VP_DECISION_START, 1);
  train = _job (cell, "a", "fixed", 16000);
  train.size.accel_count = 1;
  _submit (cell, train);
  _submit (cell, _job (cell, "b", "fixed", 1000));
  while (cell->now_ms < 1000000 + 120000 && _decide (cell, 1000, VP_DECISION_START) == 0)
    ;
  g_assert_cmpint (cell->now_ms, <, 1000000 + 120000);
  _cell_free (cell);
}

/* Guards against work that is queued although its class moves too slowly for its deadline. */
static void
test_expected_wait (void)
{
  Cell *cell = _cell_new (1);
  VpSchedJob hurried = _job (cell, "a", "fixed", 16000);
  VpAttempt attempt;

  for (int i = 0; i < 10; i++)
    _submit (cell, _job (cell, "a", "fixed", 16000));
  _expect (cell, 0, VP_DECISION_START, 1);
  for (int i = 0; i < 4; i++) {
    attempt = _decision (cell, 0)->attempt;
    cell->now_ms += 2500;
    _end (cell, attempt, VP_END_DONE);
    _expect (cell, 0, VP_DECISION_START, 1);
  }
  /* Five wait, and two start in 5 s. */
  hurried.start_by_ms = cell->now_ms + 5000;
  _expect_submit (cell, hurried, VP_REASON_DEADLINE);
  hurried.start_by_ms = cell->now_ms + 15000;
  _expect_submit (cell, hurried, VP_REASON_NONE);
  _cell_free (cell);
}

/* Guards against a gang that starves behind long tasks of a team above its share, and against a
 * reservation that is kept although nothing on it ends. */
static void
test_gang_preempts (void)
{
  Cell *cell = _cell_new (4);
  VpSchedJob gang = _job (cell, "b", "gang", 16000);
  VpSchedView view;
  guint checkpoints = 0, started = 0;

  _fill (cell, "a", "batch", 4);
  gang.task_count = 2;
  _submit (cell, gang);
  for (int step = 0; step < 60 && started == 0; step++) {
    started = _decide (cell, 250, VP_DECISION_START);
    for (guint i = 0; i < cell->decisions->len; i++) {
      if (_decision (cell, i)->kind != VP_DECISION_CHECKPOINT)
        continue;
      checkpoints++;
      _end (cell, _decision (cell, i)->attempt, VP_END_CHECKPOINTED);
    }
  }
  g_assert_cmpuint (started, ==, 2);
  g_assert_cmpuint (checkpoints, ==, 2);
  _cell_free (cell);

  cell = _cell_new (2);
  _fill (cell, "a", "fixed", 2);
  gang = _job (cell, "b", "gang", 8000);
  gang.task_count = 2;
  _submit (cell, gang);
  _expect (cell, 0, VP_DECISION_START, 0);
  _expect (cell, 10000, VP_DECISION_START, 0);
  g_assert_true (vp_sched_view (cell->sched, gang.task, cell->now_ms, &view));
  g_assert_cmpuint (view.queue_position, ==, 0);
  _expect (cell, 60000, VP_DECISION_START, 0);
  g_assert_true (vp_sched_view (cell->sched, gang.task, cell->now_ms, &view));
  g_assert_cmpuint (view.queue_position, ==, 1);
  _cell_free (cell);
}

/* Guards against losing count of tasks found running at recovery. */
static void
test_adopt (void)
{
  Cell *cell = _cell_new (1);
  VpSchedJob job = _job (cell, "a", "batch", 10000);
  VpAttempt attempt = { job.task, 0, 4 };
  char worker[VP_NAME_MAX];
  VpSchedView view;

  vp_sched_adopt (cell->sched, &job, &attempt, "w0", cell->now_ms);
  _submit (cell, job);
  _submit (cell, _job (cell, "b", "batch", 10000));
  _expect (cell, 0, VP_DECISION_START, 0);
  g_assert_true (vp_sched_attempt_worker (cell->sched, &attempt, worker));
  g_assert_cmpstr (worker, ==, "w0");
  g_assert_cmpint (_end (cell, attempt, VP_END_CHECKPOINTED), ==, VP_TASK_QUEUED);
  _decide (cell, 0, VP_DECISION_START);
  g_assert_cmpuint (_decision (cell, 0)->attempt.attempt, ==, 5);
  _cell_free (cell);

  /* A worker that is not in the list yet, and one smaller than what runs on it. */
  cell = _cell_new (0);
  job = _job (cell, "a", "batch", 20000);
  attempt = (VpAttempt){ job.task, 0, 1 };
  _submit (cell, job);
  vp_sched_adopt (cell->sched, &job, &attempt, "w0", cell->now_ms);
  vp_sched_adopt (cell->sched, &job, &attempt, "w1", cell->now_ms);
  _add_worker (cell, 0);
  _submit (cell, _job (cell, "b", "batch", 1));
  _expect (cell, 0, VP_DECISION_START, 0);
  vp_sched_usage (cell->sched, &attempt, &(VpResources){ 17000, 1, 0 }, cell->now_ms);
  g_assert_true (vp_sched_view (cell->sched, job.task, cell->now_ms, &view));
  g_assert_cmpint (view.state, ==, VP_TASK_RUNNING);
  g_assert_nonnull (strstr (view.explanation, "17000"));
  g_assert_cmpint (_end (cell, attempt, VP_END_DONE), ==, VP_TASK_DONE);
  _expect (cell, 0, VP_DECISION_START, 1);
  /* Members of a gang that are not found have ended; the others finish it. */
  job = _job (cell, "a", "gang", 1000);
  job.task_count = 3;
  _submit (cell, job);
  for (uint32_t i = 0; i < 2; i++) {
    attempt = (VpAttempt){ job.task, i, 1 };
    vp_sched_adopt (cell->sched, &job, &attempt, "w0", cell->now_ms);
  }
  _expect (cell, 0, VP_DECISION_START, 0);
  attempt.member = 0;
  g_assert_cmpint (_end (cell, attempt, VP_END_DONE), ==, VP_TASK_RUNNING);
  attempt.member = 1;
  g_assert_cmpint (_end (cell, attempt, VP_END_DONE), ==, VP_TASK_DONE);
  _cell_free (cell);
}

/* Guards against a full queue that makes each call look at all waiting work: what can't be placed
 * must stay out of the way of what can, whatever the sizes are. */
static void
test_blocked_queue (void)
{
  Cell *cell = _cell_new (2);

  for (int i = 0; i < 2; i++)
    _submit (cell, _job (cell, "a", "fixed", 15000));
  _expect (cell, 0, VP_DECISION_START, 2);
  for (int i = 0; i < 900; i++)
    _submit (cell, _job (cell, "a", "fixed", 16000 - i));
  _expect (cell, 0, VP_DECISION_START, 0);
  _submit (cell, _job (cell, "b", "batch", 1));
  _expect (cell, 0, VP_DECISION_START, 1);
  _cell_free (cell);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sched/refusals", test_refusals);
  g_test_add_func ("/sched/config", test_config);
  g_test_add_func ("/sched/shares", test_shares);
  g_test_add_func ("/sched/grant", test_grant);
  g_test_add_func ("/sched/attempts", test_attempts);
  g_test_add_func ("/sched/health", test_health);
  g_test_add_func ("/sched/gangs", test_gangs);
  g_test_add_func ("/sched/gang-restart", test_gang_restart);
  g_test_add_func ("/sched/preemption", test_preemption);
  g_test_add_func ("/sched/preemption-room", test_preemption_room);
  g_test_add_func ("/sched/preemption-in-grant", test_preemption_in_grant);
  g_test_add_func ("/sched/share-preemption", test_share_preemption);
  g_test_add_func ("/sched/hold-and-run-time", test_hold_and_run_time);
  g_test_add_func ("/sched/accel-guard", test_accel_guard);
  g_test_add_func ("/sched/expected-wait", test_expected_wait);
  g_test_add_func ("/sched/gang-preempts", test_gang_preempts);
  g_test_add_func ("/sched/adopt", test_adopt);
  g_test_add_func ("/sched/blocked-queue", test_blocked_queue);
  return g_test_run ();
}
