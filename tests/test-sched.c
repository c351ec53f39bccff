#include "sched-fixture.h"

#include <stdlib.h>
#include <string.h>

static Fixture *
_fixture_new (uint32_t worker_count)
{
  return _fixture_new_with (worker_count, 0);
}

/* Advances the clock by @after_ms, decides, and reports all starts as done. Returns the number of
 * decisions of @kind. */
static guint
_decide_after (Fixture *fixture, int64_t after_ms, VpDecisionKind kind)
{
  guint count = 0;

  fixture->now_ms += after_ms;
  g_array_set_size (fixture->decisions, 0);
  vp_sched_decide (fixture->sched, fixture->now_ms, fixture->decisions);
  _check_invariants (fixture);
  for (guint i = 0; i < fixture->decisions->len; i++) {
    const VpDecision *decision = &g_array_index (fixture->decisions, VpDecision, i);

    count += decision->kind == kind;
    if (decision->kind == VP_DECISION_START)
      vp_sched_started (fixture->sched, &decision->attempt, fixture->now_ms);
  }
  return count;
}

static void
_expect_decisions (Fixture *fixture, int64_t after_ms, VpDecisionKind kind, guint expected)
{
  guint count = _decide_after (fixture, after_ms, kind);

  g_assert_cmpuint (count, ==, expected);
}

static void
_expect_submit (Fixture *fixture, VpJobSpec job, VpReason expected)
{
  VpReason reason = _submit (fixture, job);

  g_assert_cmpint (reason, ==, expected);
}

static VpTaskState
_end_attempt (Fixture *fixture, VpAttempt attempt, VpTaskEnd end)
{
  return vp_sched_ended (fixture->sched, &attempt, end, false, fixture->now_ms);
}

/* Starts @count tasks that take a whole worker each. */
static void
_fill_workers (Fixture *fixture, const char *team, const char *profile, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    _expect_submit (fixture, _job_spec (fixture, team, profile, 16000), VP_REASON_NONE);
  _expect_decisions (fixture, 0, VP_DECISION_START, count);
}

/* Guards against accepting a job that can't run, and against a wrong reason for the refusal. */
static void
test_refusals (void)
{
  Fixture *fixture = _fixture_new (0);
  VpJobSpec job = _job_spec (fixture, "a", "batch", 20000);
  VpJobSpec gang = _job_spec (fixture, "a", "gang", 16000);
  VpJobSpec late = _job_spec (fixture, "a", "batch", 1000);
  VpJobSpec limit = _job_spec (fixture, "a", "batch", 1000);
  VpSchedJobStatus status;

  /* No worker is known yet, so the size is accepted. */
  _expect_submit (fixture, job, VP_REASON_NONE);
  _expect_decisions (fixture, 0, VP_DECISION_START, 0);
  g_assert_true (vp_sched_job_status (fixture->sched, job.task, fixture->now_ms, &status));
  g_assert_cmpint (status.state, ==, VP_TASK_QUEUED);
  g_assert_cmpuint (status.queue_position, ==, 1);
  g_assert_cmpint (vp_sched_cancel (fixture->sched, job.task, fixture->now_ms), ==,
                   VP_TASK_CANCELLED);
  g_assert_false (vp_sched_job_status (fixture->sched, job.task, fixture->now_ms, &status));
  _add_worker (fixture, 0);
  _add_worker (fixture, 1);
  _expect_submit (fixture, job, VP_REASON_IMPOSSIBLE_SIZE);
  gang.task_count = 3;
  _expect_submit (fixture, gang, VP_REASON_IMPOSSIBLE_SIZE);
  limit.size.mem_mib = 1000001;
  _expect_submit (fixture, limit, VP_REASON_IMPOSSIBLE_SIZE);
  late.start_by_ms = fixture->now_ms;
  _expect_submit (fixture, late, VP_REASON_DEADLINE);
  _expect_submit (fixture, _job_spec (fixture, "c", "batch", 1), VP_REASON_UNKNOWN_TEAM);
  _expect_submit (fixture, _job_spec (fixture, "a", "x", 1), VP_REASON_UNKNOWN_PROFILE);
  /* The deadline passes while the job is queued. */
  _fill_workers (fixture, "a", "fixed", 2);
  late.start_by_ms = fixture->now_ms + 100;
  _expect_submit (fixture, late, VP_REASON_NONE);
  _expect_decisions (fixture, 100, VP_DECISION_REFUSE, 0);
  g_assert_cmpint (vp_sched_next_ms (fixture->sched), <=, fixture->now_ms + 1);
  _expect_decisions (fixture, 1, VP_DECISION_REFUSE, 1);
  g_assert_cmpint (_decision (fixture, 0)->reason, ==, VP_REASON_DEADLINE);
  _fixture_free (fixture);
}

/* Guards against an unbounded queue, and against queued jobs of a profile that was removed. */
static void
test_config (void)
{
  Fixture *fixture = _fixture_new (0);
  g_autoptr (VpConfig) bounded = _new_config (2, G_N_ELEMENTS (profiles));
  g_autoptr (VpConfig) fewer = _new_config (2, 1);

  vp_sched_set_config (fixture->sched, bounded, fixture->now_ms);
  _expect_submit (fixture, _job_spec (fixture, "a", "batch", 1), VP_REASON_NONE);
  _expect_submit (fixture, _job_spec (fixture, "a", "fixed", 1), VP_REASON_NONE);
  _expect_submit (fixture, _job_spec (fixture, "a", "batch", 1), VP_REASON_QUEUE_FULL);
  _expect_submit (fixture, _job_spec (fixture, "b", "batch", 1), VP_REASON_NONE);
  vp_sched_set_config (fixture->sched, fewer, fixture->now_ms);
  _expect_decisions (fixture, 0, VP_DECISION_REFUSE, 1);
  g_assert_cmpint (_decision (fixture, 0)->reason, ==, VP_REASON_UNKNOWN_PROFILE);
  _fixture_free (fixture);
}

/* Guards against shares of a full DC that don't match the configured weights. */
static void
test_shares (void)
{
  Fixture *fixture = _fixture_new (4);
  g_autoptr (VpConfig) config = _new_config (0, G_N_ELEMENTS (profiles));
  guint counts[2] = { 0 };

  g_array_index (config->teams, VpTeam, 1).share = 3;
  vp_sched_set_config (fixture->sched, config, fixture->now_ms);
  for (int i = 0; i < 40; i++)
    _submit (fixture, _job_spec (fixture, "a", "fixed", 2000));
  for (int i = 0; i < 40; i++)
    _submit (fixture, _job_spec (fixture, "b", "fixed", 2000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 32);
  for (guint i = 0; i < 32; i++)
    counts[_decision (fixture, i)->team[0] - 'a']++;
  g_assert_cmpuint (counts[0], ==, 8);
  g_assert_cmpuint (counts[1], ==, 24);
  _fixture_free (fixture);
}

/* Guards against a team that exceeds its grant, or stays above a lowered one. Preemptible tasks are
 * stopped first, and the newest of them before the others. */
static void
test_grant (void)
{
  Fixture *fixture = _fixture_new (4);
  VpAttempt old, young;

  vp_sched_set_grant (fixture->sched, "a", &(VpResources){ 6000, 100000, 0 }, fixture->now_ms);
  _submit (fixture, _job_spec (fixture, "a", "batch", 2000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  old = _decision (fixture, 0)->attempt;
  _submit (fixture, _job_spec (fixture, "a", "batch", 2000));
  _expect_decisions (fixture, 1, VP_DECISION_START, 1);
  young = _decision (fixture, 0)->attempt;
  _submit (fixture, _job_spec (fixture, "a", "fixed", 2000));
  _submit (fixture, _job_spec (fixture, "a", "fixed", 2000));
  _expect_decisions (fixture, 1, VP_DECISION_START, 1);
  vp_sched_set_grant (fixture->sched, "a", &(VpResources){ 5000, 100000, 0 }, fixture->now_ms);
  _expect_decisions (fixture, 1, VP_DECISION_CHECKPOINT, 1);
  g_assert_true (vp_attempt_equal (&_decision (fixture, 0)->attempt, &young));
  vp_sched_set_grant (fixture->sched, "a", &(VpResources){ 1000, 100000, 0 }, fixture->now_ms);
  _expect_decisions (fixture, 1, VP_DECISION_CHECKPOINT, 1);
  g_assert_true (vp_attempt_equal (&_decision (fixture, 0)->attempt, &old));
  g_assert_cmpint (_decision (fixture, 1)->kind, ==, VP_DECISION_STOP);
  g_assert_cmpint (_end_attempt (fixture, young, VP_END_CHECKPOINTED), ==, VP_TASK_QUEUED);
  g_assert_cmpint (_end_attempt (fixture, old, VP_END_CHECKPOINTED), ==, VP_TASK_QUEUED);
  _expect_decisions (fixture, 1, VP_DECISION_START, 0);
  /* The stop of the third task may be lost, so it is sent again. */
  _expect_decisions (fixture, 2000, VP_DECISION_STOP, 1);
  _fixture_free (fixture);
}

/* Guards against a second run of a job that is not repeatable, two attempts at a time, and
 * unlimited tries. */
static void
test_attempts (void)
{
  Fixture *fixture = _fixture_new (4);
  VpJobSpec once = _job_spec (fixture, "a", "fixed", 1000);
  VpJobSpec twice = _job_spec (fixture, "a", "fixed", 1000);
  VpAttempt attempt;
  char worker[VP_NAME_MAX];
  GArray *ended = g_array_new (FALSE, FALSE, sizeof (VpAttempt));

  once.is_repeatable = false;
  _submit (fixture, once);
  vp_sched_decide (fixture->sched, fixture->now_ms, fixture->decisions);
  attempt = _decision (fixture, 0)->attempt;
  _submit (fixture, once);
  vp_sched_not_started (fixture->sched, &attempt, fixture->now_ms);
  /* The worker that refused gets no tasks for a moment. */
  g_strlcpy (worker, _decision (fixture, 0)->worker, sizeof worker);
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  g_assert_cmpstr (_decision (fixture, 0)->worker, !=, worker);
  g_assert_cmpuint (_decision (fixture, 0)->attempt.attempt, ==, 2);
  vp_sched_worker_lost (fixture->sched, _decision (fixture, 0)->worker, ended, fixture->now_ms);
  g_assert_cmpuint (ended->len, ==, 1);
  _expect_decisions (fixture, 60000, VP_DECISION_FAIL, 1);
  g_assert_cmpint (_decision (fixture, 0)->reason, ==, VP_REASON_WORKER_LOST);
  g_assert_cmpuint (fixture->decisions->len, ==, 1);
  _submit (fixture, twice);
  for (uint32_t tries = 1; tries <= 2; tries++) {
    _expect_decisions (fixture, 0, VP_DECISION_START, tries == 1);
    if (tries == 2)
      _expect_decisions (fixture, 500, VP_DECISION_START, 1);
    attempt = _decision (fixture, 0)->attempt;
    g_assert_cmpuint (attempt.attempt, ==, tries);
    g_assert_cmpint (_end_attempt (fixture, attempt, VP_END_FAILED), ==,
                     tries == 1 ? VP_TASK_QUEUED : VP_TASK_FAILED);
    /* A repeated or late end has no effect. */
    g_assert_cmpint (_end_attempt (fixture, attempt, VP_END_DONE), ==,
                     tries == 1 ? VP_TASK_QUEUED : VP_TASK_NONE);
  }
  g_array_unref (ended);
  _fixture_free (fixture);
}

/* Guards against placement on a worker that fails all tasks, is unreachable, is leaving, or whose
 * tasks are not known yet, and against probation of a worker because of a bad job. */
static void
test_health (void)
{
  Fixture *fixture = _fixture_new (1);
  VpAttempt probe;
  VpJobSpec bad;

  for (int i = 0; i < 3; i++) {
    bad = _job_spec (fixture, "a", "batch", 1000);
    bad.is_repeatable = false;
    _submit (fixture, bad);
    _expect_decisions (fixture, 0, VP_DECISION_START, 1);
    _end_attempt (fixture, _decision (fixture, 0)->attempt, VP_END_FAILED);
  }
  _submit (fixture, _job_spec (fixture, "a", "batch", 1000));
  _submit (fixture, _job_spec (fixture, "a", "batch", 1000));
  _expect_decisions (fixture, 29999, VP_DECISION_START, 0);
  _expect_decisions (fixture, 1, VP_DECISION_START, 1);
  probe = _decision (fixture, 0)->attempt;
  _expect_decisions (fixture, 1, VP_DECISION_START, 0);
  _end_attempt (fixture, probe, VP_END_DONE);
  _expect_decisions (fixture, 1, VP_DECISION_START, 1);
  _fixture_free (fixture);

  fixture = _fixture_new (3);
  for (int i = 0; i < 8; i++) {
    bad = _job_spec (fixture, "a", "fixed", 1000);
    _submit (fixture, bad);
    for (int tries = 0; tries < 2; tries++) {
      _expect_decisions (fixture, 500, VP_DECISION_START, 1);
      _end_attempt (fixture, _decision (fixture, 0)->attempt, VP_END_FAILED);
    }
  }
  _fill_workers (fixture, "a", "batch", 3);
  for (guint i = 0; i < 3; i++)
    _end_attempt (fixture, _decision (fixture, i)->attempt, VP_END_DONE);
  vp_sched_worker_leaving (fixture->sched, "w0", fixture->now_ms);
  /* The VM list lags behind and still has the worker as live. */
  vp_sched_worker_update (
      fixture->sched,
      &(VpVm){ .name = "w0", .size = { 9, 9, 0 }, .slot_count = 9, .generation = 1 },
      fixture->now_ms);
  vp_sched_worker_reachable (fixture->sched, "w1", false, fixture->now_ms);
  vp_sched_worker_update (
      fixture->sched,
      &(VpVm){ .name = "w2", .size = { 9, 9, 0 }, .slot_count = 8, .generation = 2 },
      fixture->now_ms);
  _submit (fixture, _job_spec (fixture, "a", "batch", 1));
  _expect_decisions (fixture, 1000, VP_DECISION_START, 0);
  vp_sched_worker_reachable (fixture->sched, "w1", true, fixture->now_ms);
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  g_assert_cmpstr (_decision (fixture, 0)->worker, ==, "w1");
  _fixture_free (fixture);
}

/* Guards against a gang that runs only in part, a gang that starves behind small jobs, and two
 * gangs that deadlock with half of the DC each. */
static void
test_gangs (void)
{
  Fixture *fixture = _fixture_new (4);
  VpJobSpec gangs[2];
  GArray *running = g_array_new (FALSE, FALSE, sizeof (VpAttempt));
  guint members = 0;

  _fill_workers (fixture, "b", "fixed", 3);
  for (guint i = 0; i < 3; i++)
    g_array_append_val (running, _decision (fixture, i)->attempt);
  for (int i = 0; i < 2; i++) {
    gangs[i] = _job_spec (fixture, "a", "gang", 12000);
    gangs[i].task_count = 4;
    _expect_submit (fixture, gangs[i], VP_REASON_NONE);
  }
  for (int step = 0; step < 400 && members < 8; step++) {
    VpJobSpec small = _job_spec (fixture, "b", "fixed", 8000);
    guint before = members;

    _submit (fixture, small);
    _decide_after (fixture, 100, VP_DECISION_START);
    for (guint i = 0; i < fixture->decisions->len; i++) {
      const VpDecision *decision = _decision (fixture, i);

      if (decision->kind != VP_DECISION_START)
        continue;
      g_array_append_val (running, decision->attempt);
      members += strcmp (decision->profile, "gang") == 0;
    }
    g_assert_true (members == before || members == before + 4);
    if (running->len > 0) {
      _end_attempt (fixture, g_array_index (running, VpAttempt, 0), VP_END_DONE);
      g_array_remove_index (running, 0);
    }
  }
  g_assert_cmpuint (members, ==, 8);
  g_array_unref (running);
  _fixture_free (fixture);
}

/* Guards against a gang that goes on without one of its members, or starts on a single rack. */
static void
test_gang_restart (void)
{
  Fixture *fixture = _fixture_new (16);
  VpJobSpec gang = _job_spec (fixture, "a", "gang", 1000);
  VpAttempt members[3];
  GHashTable *racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  gang.task_count = 3;
  _submit (fixture, gang);
  _expect_decisions (fixture, 0, VP_DECISION_START, 3);
  for (guint i = 0; i < 3; i++) {
    members[i] = _decision (fixture, i)->attempt;
    g_hash_table_add (racks, g_strdup_printf ("%d", atoi (_decision (fixture, i)->worker + 1) / 4));
  }
  g_assert_cmpuint (g_hash_table_size (racks), ==, 3);
  g_assert_cmpint (_end_attempt (fixture, members[0], VP_END_DONE), ==, VP_TASK_RUNNING);
  g_assert_cmpint (_end_attempt (fixture, members[1], VP_END_FAILED), ==, VP_TASK_RUNNING);
  _expect_decisions (fixture, 0, VP_DECISION_STOP, 1);
  g_assert_cmpint (_end_attempt (fixture, members[2], VP_END_STOPPED), ==, VP_TASK_QUEUED);
  _expect_decisions (fixture, 500, VP_DECISION_START, 3);
  g_assert_cmpuint (_decision (fixture, 0)->attempt.attempt, ==, 2);
  g_assert_cmpint (vp_sched_cancel (fixture->sched, gang.task, fixture->now_ms), ==,
                   VP_TASK_RUNNING);
  _expect_decisions (fixture, 0, VP_DECISION_STOP, 3);
  for (guint i = 0; i < 3; i++)
    g_assert_cmpint (_end_attempt (fixture, _decision (fixture, i)->attempt, VP_END_STOPPED), ==,
                     i < 2 ? VP_TASK_RUNNING : VP_TASK_CANCELLED);
  g_hash_table_unref (racks);
  _fixture_free (fixture);
}

/* Guards against an urgent job that waits behind preemptible tasks, preemption that is not allowed,
 * and another job that takes the freed capacity. */
static void
test_preemption (void)
{
  static const struct {
    const char *running;
    bool is_repeatable;
    guint checkpoints;
  } cases[] = { { "batch", true, 1 }, { "batch", false, 0 }, { "fixed", true, 0 } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    Fixture *fixture = _fixture_new (1);
    VpJobSpec job = _job_spec (fixture, "a", cases[i].running, 16000);
    VpAttempt victim;

    job.is_repeatable = cases[i].is_repeatable;
    _submit (fixture, job);
    _expect_decisions (fixture, 0, VP_DECISION_START, 1);
    _submit (fixture, _job_spec (fixture, "a", "urgent", 2000));
    _submit (fixture, _job_spec (fixture, "b", "batch", 16000));
    _expect_decisions (fixture, 100, VP_DECISION_CHECKPOINT, cases[i].checkpoints);
    if (cases[i].checkpoints > 0) {
      victim = _decision (fixture, 0)->attempt;
      g_assert_cmpint (_end_attempt (fixture, victim, VP_END_CHECKPOINTED), ==, VP_TASK_QUEUED);
      _expect_decisions (fixture, 1, VP_DECISION_START, 1);
      g_assert_cmpstr (_decision (fixture, 0)->profile, ==, "urgent");
    }
    _fixture_free (fixture);
  }
}

/* Guards against other jobs in capacity that is freed for an urgent job in steps, and against an
 * urgent job that is not tried again once the tasks in its way can be preempted. */
static void
test_preemption_in_steps (void)
{
  Fixture *fixture = _fixture_new (1);
  VpAttempt victims[2];

  for (int i = 0; i < 2; i++)
    _submit (fixture, _job_spec (fixture, "a", "batch", 8000));
  g_array_set_size (fixture->decisions, 0);
  vp_sched_decide (fixture->sched, fixture->now_ms, fixture->decisions);
  for (guint i = 0; i < 2; i++)
    victims[i] = _decision (fixture, i)->attempt;
  _submit (fixture, _job_spec (fixture, "a", "urgent", 16000));
  _expect_decisions (fixture, 0, VP_DECISION_CHECKPOINT, 0);
  for (guint i = 0; i < 2; i++)
    vp_sched_started (fixture->sched, &victims[i], fixture->now_ms);
  /* Starting tasks can't be preempted, so the first call only schedules another one. */
  g_assert_cmpint (vp_sched_next_ms (fixture->sched), <=, fixture->now_ms + 250);
  _expect_decisions (fixture, 250, VP_DECISION_CHECKPOINT, 2);
  for (guint i = 0; i < 2; i++) {
    _end_attempt (fixture, victims[i], VP_END_CHECKPOINTED);
    _expect_decisions (fixture, 1, VP_DECISION_START, i);
  }
  g_assert_cmpstr (_decision (fixture, 0)->profile, ==, "urgent");
  _fixture_free (fixture);
}

/* Guards against an urgent job that starves because other jobs of its team use the grant, and
 * against other jobs of the team that take what is freed in steps. */
static void
test_preemption_in_grant (void)
{
  Fixture *fixture = _fixture_new (4);
  VpAttempt victims[2];

  vp_sched_set_grant (fixture->sched, "a", &(VpResources){ 5000, 100000, 0 }, fixture->now_ms);
  for (int i = 0; i < 4; i++)
    _submit (fixture, _job_spec (fixture, "a", "batch", 2000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 2);
  /* The waiting jobs are older than the advance that urgent jobs get. */
  fixture->now_ms += 200000;
  _submit (fixture, _job_spec (fixture, "a", "urgent", 4000));
  _submit (fixture, _job_spec (fixture, "a", "urgent", 5001));
  _expect_decisions (fixture, 0, VP_DECISION_CHECKPOINT, 2);
  for (guint i = 0; i < 2; i++)
    victims[i] = _decision (fixture, i)->attempt;
  for (guint i = 0; i < 2; i++) {
    _end_attempt (fixture, victims[i], VP_END_CHECKPOINTED);
    _expect_decisions (fixture, 1, VP_DECISION_START, i);
  }
  g_assert_cmpstr (_decision (fixture, 0)->profile, ==, "urgent");
  _fixture_free (fixture);
}

/* Guards against a team that keeps a full DC to itself, and against preemption that goes on after
 * the shares are even. */
static void
test_share_preemption (void)
{
  Fixture *fixture = _fixture_new (4);
  guint checkpoints = 0;

  for (int i = 0; i < 32; i++)
    _submit (fixture, _job_spec (fixture, "a", "batch", 2000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 32);
  for (int i = 0; i < 40; i++)
    _submit (fixture, _job_spec (fixture, "b", "batch", 2000));
  for (int step = 0; step < 400; step++) {
    _decide_after (fixture, 50, VP_DECISION_START);
    for (guint i = 0; i < fixture->decisions->len; i++) {
      if (_decision (fixture, i)->kind != VP_DECISION_CHECKPOINT)
        continue;
      checkpoints++;
      _end_attempt (fixture, _decision (fixture, i)->attempt, VP_END_CHECKPOINTED);
    }
  }
  g_assert_cmpuint (checkpoints, ==, 16);
  _fixture_free (fixture);
}

/* Guards against a large task that starves because small ones of its team use up the grant, and
 * against a task that runs for longer than its profile allows, or is tried again after that. */
static void
test_grant_blocking_and_run_time (void)
{
  Fixture *fixture = _fixture_new (4);
  VpAttempt attempts[2];
  VpJobSpec large = _job_spec (fixture, "a", "fixed", 4000);
  bool is_started = false;

  vp_sched_set_grant (fixture->sched, "a", &(VpResources){ 4000, 100000, 0 }, fixture->now_ms);
  for (int i = 0; i < 2; i++) {
    _submit (fixture, _job_spec (fixture, "a", "fixed", 2000));
    _expect_decisions (fixture, 0, VP_DECISION_START, 1);
    attempts[i] = _decision (fixture, 0)->attempt;
  }
  _submit (fixture, large);
  for (int step = 0; step < 30 && !is_started; step++) {
    _submit (fixture, _job_spec (fixture, "a", "fixed", 2000));
    _end_attempt (fixture, attempts[step % 2], VP_END_DONE);
    if (_decide_after (fixture, 1000, VP_DECISION_START) == 0)
      continue;
    attempts[step % 2] = _decision (fixture, 0)->attempt;
    is_started = vp_task_id_equal (attempts[step % 2].task, large.task);
  }
  g_assert_true (is_started);
  vp_sched_set_grant (fixture->sched, "a", &(VpResources){ 4000, 4000, 0 }, fixture->now_ms);
  _expect_decisions (fixture, 599999, VP_DECISION_STOP, 0);
  _expect_decisions (fixture, 1, VP_DECISION_STOP, 1);
  g_assert_cmpint (_end_attempt (fixture, _decision (fixture, 0)->attempt, VP_END_STOPPED), ==,
                   VP_TASK_FAILED);
  _fixture_free (fixture);
}

/* Guards against other jobs on workers with free accelerators while jobs that need these wait, and
 * against workers that stay idle although those jobs make no progress. */
static void
test_accel_reservation (void)
{
  Fixture *fixture = _fixture_new (0);
  VpJobSpec accel_job = _job_spec (fixture, "a", "fixed", 16000);
  VpAttempt first;

  accel_job.size.accel_count = 1;
  _add_worker_with (fixture, 0, 2);
  _submit (fixture, _job_spec (fixture, "b", "fixed", 1000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  first = _decision (fixture, 0)->attempt;
  _submit (fixture, accel_job);
  _submit (fixture, _job_spec (fixture, "b", "fixed", 1000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 0);
  _add_worker (fixture, 1);
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  g_assert_cmpstr (_decision (fixture, 0)->worker, ==, "w1");
  _end_attempt (fixture, first, VP_END_DONE);
  _submit (fixture, _job_spec (fixture, "b", "fixed", 16000));
  _expect_decisions (fixture, 1, VP_DECISION_START, 1);
  g_assert_cmpstr (_decision (fixture, 0)->team, ==, "a");
  _end_attempt (fixture, _decision (fixture, 0)->attempt, VP_END_DONE);
  _fixture_free (fixture);

  fixture = _fixture_new (0);
  _add_worker_with (fixture, 0, 2);
  _submit (fixture, _job_spec (fixture, "b", "fixed", 1000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  accel_job = _job_spec (fixture, "a", "fixed", 16000);
  accel_job.size.accel_count = 1;
  _submit (fixture, accel_job);
  _submit (fixture, _job_spec (fixture, "b", "fixed", 1000));
  while (fixture->now_ms < 1000000 + 120000
         && _decide_after (fixture, 1000, VP_DECISION_START) == 0)
    ;
  g_assert_cmpint (fixture->now_ms, <, 1000000 + 120000);
  _fixture_free (fixture);
}

/* Guards against queueing a job whose class starts too slowly for its deadline. */
static void
test_expected_wait (void)
{
  Fixture *fixture = _fixture_new (1);
  VpJobSpec with_deadline = _job_spec (fixture, "a", "fixed", 16000);
  VpAttempt attempt;

  for (int i = 0; i < 10; i++)
    _submit (fixture, _job_spec (fixture, "a", "fixed", 16000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  for (int i = 0; i < 4; i++) {
    attempt = _decision (fixture, 0)->attempt;
    fixture->now_ms += 2500;
    _end_attempt (fixture, attempt, VP_END_DONE);
    _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  }
  /* Five jobs wait, and two start in 5 s. */
  with_deadline.start_by_ms = fixture->now_ms + 5000;
  _expect_submit (fixture, with_deadline, VP_REASON_DEADLINE);
  with_deadline.start_by_ms = fixture->now_ms + 15000;
  _expect_submit (fixture, with_deadline, VP_REASON_NONE);
  _fixture_free (fixture);
}

/* Guards against a gang that starves behind long tasks of a team above its share, and against a
 * reservation that is kept although no task on its workers ends. */
static void
test_gang_preemption (void)
{
  Fixture *fixture = _fixture_new (4);
  VpJobSpec gang = _job_spec (fixture, "b", "gang", 16000);
  VpSchedJobStatus status;
  guint checkpoints = 0, started = 0;

  _fill_workers (fixture, "a", "batch", 4);
  gang.task_count = 2;
  _submit (fixture, gang);
  for (int step = 0; step < 60 && started == 0; step++) {
    started = _decide_after (fixture, 250, VP_DECISION_START);
    for (guint i = 0; i < fixture->decisions->len; i++) {
      if (_decision (fixture, i)->kind != VP_DECISION_CHECKPOINT)
        continue;
      checkpoints++;
      _end_attempt (fixture, _decision (fixture, i)->attempt, VP_END_CHECKPOINTED);
    }
  }
  g_assert_cmpuint (started, ==, 2);
  g_assert_cmpuint (checkpoints, ==, 2);
  _fixture_free (fixture);

  fixture = _fixture_new (2);
  _fill_workers (fixture, "a", "fixed", 2);
  gang = _job_spec (fixture, "b", "gang", 8000);
  gang.task_count = 2;
  _submit (fixture, gang);
  _expect_decisions (fixture, 0, VP_DECISION_START, 0);
  _expect_decisions (fixture, 10000, VP_DECISION_START, 0);
  g_assert_true (vp_sched_job_status (fixture->sched, gang.task, fixture->now_ms, &status));
  g_assert_cmpuint (status.queue_position, ==, 0);
  _expect_decisions (fixture, 60000, VP_DECISION_START, 0);
  g_assert_true (vp_sched_job_status (fixture->sched, gang.task, fixture->now_ms, &status));
  g_assert_cmpuint (status.queue_position, ==, 1);
  _fixture_free (fixture);
}

/* Guards against wrong sums after tasks were found running at recovery. */
static void
test_adoption (void)
{
  Fixture *fixture = _fixture_new (1);
  VpJobSpec job = _job_spec (fixture, "a", "batch", 10000);
  VpAttempt attempt = { job.task, 0, 4 };
  char worker[VP_NAME_MAX];
  VpSchedJobStatus status;

  vp_sched_adopt (fixture->sched, &job, &attempt, "w0", fixture->now_ms);
  _submit (fixture, job);
  _submit (fixture, _job_spec (fixture, "b", "batch", 10000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 0);
  g_assert_true (vp_sched_attempt_worker (fixture->sched, &attempt, worker));
  g_assert_cmpstr (worker, ==, "w0");
  g_assert_cmpint (_end_attempt (fixture, attempt, VP_END_CHECKPOINTED), ==, VP_TASK_QUEUED);
  _decide_after (fixture, 0, VP_DECISION_START);
  g_assert_cmpuint (_decision (fixture, 0)->attempt.attempt, ==, 5);
  _fixture_free (fixture);

  /* A worker that is not in the VM list yet, and one smaller than the task that runs on it. */
  fixture = _fixture_new (0);
  job = _job_spec (fixture, "a", "batch", 20000);
  attempt = (VpAttempt){ job.task, 0, 1 };
  _submit (fixture, job);
  vp_sched_adopt (fixture->sched, &job, &attempt, "w0", fixture->now_ms);
  vp_sched_adopt (fixture->sched, &job, &attempt, "w1", fixture->now_ms);
  _add_worker (fixture, 0);
  _submit (fixture, _job_spec (fixture, "b", "batch", 1));
  _expect_decisions (fixture, 0, VP_DECISION_START, 0);
  vp_sched_set_usage (fixture->sched, &attempt, &(VpResources){ 17000, 1, 0 }, fixture->now_ms);
  g_assert_true (vp_sched_job_status (fixture->sched, job.task, fixture->now_ms, &status));
  g_assert_cmpint (status.state, ==, VP_TASK_RUNNING);
  g_assert_nonnull (strstr (status.explanation, "17000"));
  g_assert_cmpint (_end_attempt (fixture, attempt, VP_END_DONE), ==, VP_TASK_DONE);
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  /* Members of a gang that are not found count as ended; the gang ends with the others. */
  job = _job_spec (fixture, "a", "gang", 1000);
  job.task_count = 3;
  _submit (fixture, job);
  for (uint32_t i = 0; i < 2; i++) {
    attempt = (VpAttempt){ job.task, i, 1 };
    vp_sched_adopt (fixture->sched, &job, &attempt, "w0", fixture->now_ms);
  }
  _expect_decisions (fixture, 0, VP_DECISION_START, 0);
  attempt.member = 0;
  g_assert_cmpint (_end_attempt (fixture, attempt, VP_END_DONE), ==, VP_TASK_RUNNING);
  attempt.member = 1;
  g_assert_cmpint (_end_attempt (fixture, attempt, VP_END_DONE), ==, VP_TASK_DONE);
  _fixture_free (fixture);
}

/* Guards against calls that examine all waiting jobs of a full queue: jobs that don't fit, whatever
 * their sizes are, must not block jobs that can be placed. */
static void
test_blocked_queue (void)
{
  Fixture *fixture = _fixture_new (2);

  for (int i = 0; i < 2; i++)
    _submit (fixture, _job_spec (fixture, "a", "fixed", 15000));
  _expect_decisions (fixture, 0, VP_DECISION_START, 2);
  for (int i = 0; i < 900; i++)
    _submit (fixture, _job_spec (fixture, "a", "fixed", 16000 - i));
  _expect_decisions (fixture, 0, VP_DECISION_START, 0);
  _submit (fixture, _job_spec (fixture, "b", "batch", 1));
  _expect_decisions (fixture, 0, VP_DECISION_START, 1);
  _fixture_free (fixture);
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
  g_test_add_func ("/sched/preemption-in-steps", test_preemption_in_steps);
  g_test_add_func ("/sched/preemption-in-grant", test_preemption_in_grant);
  g_test_add_func ("/sched/share-preemption", test_share_preemption);
  g_test_add_func ("/sched/grant-blocking-and-run-time", test_grant_blocking_and_run_time);
  g_test_add_func ("/sched/accel-reservation", test_accel_reservation);
  g_test_add_func ("/sched/expected-wait", test_expected_wait);
  g_test_add_func ("/sched/gang-preemption", test_gang_preemption);
  g_test_add_func ("/sched/adoption", test_adoption);
  g_test_add_func ("/sched/blocked-queue", test_blocked_queue);
  return g_test_run ();
}
