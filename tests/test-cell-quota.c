/* The cap of a team after a takeover: tasks of inherited jobs that have ended. The team may use 20
 * cores, and each task takes one. */
#include "cell-fixture.h"

/* Adds an inherited job of 18 tasks. */
static VpJob *
_inherit (Fixture *fixture)
{
  VpJob *job = _submit (fixture, 18, 1000);

  job->is_inherited = true;
  return job;
}

static void
_set_inherited_workers (Fixture *fixture, VpJob *job, const char *worker)
{
  for (uint32_t i = 0; i < 18; i++)
    vp_jobtask_set_inherited_worker (vp_cell_jobs (fixture->cell),
                                     &job->occurrences[0].steps[0].tasks[i], worker);
}

static const VpTeamUsage *
_usage (Fixture *fixture)
{
  return vp_joblist_team (vp_cell_jobs (fixture->cell), "team");
}

/* Guards against exceeding a team's cap after a takeover: tasks that an earlier scheduler has
 * stored as running count until they can't run any more, although their job was cancelled before
 * their worker listed them. */
static void
test_ended_unobserved (void)
{
  Fixture fixture;
  VpJob *job;

  _setup (&fixture, 8, false);
  job = _inherit (&fixture);
  _set_inherited_workers (&fixture, job, "w9");
  g_assert_true (vp_cell_cancel (fixture.cell, job->spec->id, fixture.now_ms));
  _sync (&fixture);
  job = _submit (&fixture, 5, 1000);
  _decide (&fixture);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, 2);
  g_assert_cmpuint (job->assigned_count, ==, 2);
  /* All leases of the earlier scheduler have expired. */
  fixture.now_ms += 8400;
  _sync (&fixture);
  _decide (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 5);
  g_assert_cmpint (_usage (&fixture)->unobserved.cpu_milli, ==, 0);
  _teardown (&fixture);
}

/* The same for tasks that an earlier scheduler may have started without storing that. */
static void
test_ended_possibly_running (void)
{
  Fixture fixture;
  VpJob *job;

  _setup_with_relist (&fixture, 2500, 8, false);
  job = _inherit (&fixture);
  g_assert_true (vp_cell_cancel (fixture.cell, job->spec->id, fixture.now_ms));
  _sync (&fixture);
  job = _submit (&fixture, 5, 1000);
  _decide (&fixture);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, 2);
  fixture.now_ms += 2600;
  _decide (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 5);
  _teardown (&fixture);
}

/* Guards against capacity that stays counted although the worker has shown that nothing runs there,
 * and against counting a listed run twice. */
static void
test_ended_listed (void)
{
  Fixture fixture;
  VpCommandResult result;
  VpJob *job;

  _setup (&fixture, 8, false);
  job = _inherit (&fixture);
  _set_inherited_workers (&fixture, job, "w7");
  g_assert_true (vp_cell_cancel (fixture.cell, job->spec->id, fixture.now_ms));
  for (uint32_t i = 0; i < 7; i++) {
    g_autofree char *worker = g_strdup_printf ("w%u", i);
    result = _hold_result (&fixture, worker);
    _apply (&fixture, &result);
  }
  _submit (&fixture, 20, 1000);
  _decide (&fixture);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, 2);
  result = _hold_result (&fixture, "w7");
  for (uint32_t i = 0; i < 4; i++) {
    VpRunningEntry entry = { .is_task = true, .run = 1, .percent = 100 };
    entry.task = (VpTaskName){ .job = job->spec->id, .index = i };
    g_array_append_val (result.running, entry);
  }
  _apply (&fixture, &result);
  fixture.now_ms += 100;
  _decide (&fixture);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_STOP), ==, 4);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, 14);
  g_assert_cmpint (_usage (&fixture)->used.cpu_milli, ==, 20000);
  g_assert_cmpint (_usage (&fixture)->unobserved.cpu_milli, ==, 0);
  _teardown (&fixture);
}

/* Guards against capacity that stays counted after the job is removed from the list. */
static void
test_ended_removed (void)
{
  Fixture fixture;
  VpJob *job;

  _setup (&fixture, 8, false);
  job = _inherit (&fixture);
  _set_inherited_workers (&fixture, job, "w9");
  g_assert_true (vp_cell_cancel (fixture.cell, job->spec->id, fixture.now_ms));
  g_assert_cmpint (_usage (&fixture)->unobserved.cpu_milli, ==, 18000);
  vp_joblist_remove (vp_cell_jobs (fixture.cell), job);
  g_assert_cmpint (_usage (&fixture)->unobserved.cpu_milli, ==, 0);
  _sync (&fixture);
  _submit (&fixture, 5, 1000);
  _decide (&fixture);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, 5);
  _teardown (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/quota/ended-unobserved", test_ended_unobserved);
  g_test_add_func ("/cell/quota/ended-possibly-running", test_ended_possibly_running);
  g_test_add_func ("/cell/quota/ended-listed", test_ended_listed);
  g_test_add_func ("/cell/quota/ended-removed", test_ended_removed);
  return g_test_run ();
}
