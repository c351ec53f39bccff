/* Group commits under load: what callers wait for is written at once, progress in rounds. */
#include "cell-fixture.h"
#include "vp-committer.h"

#define LINK_KBPS 2000

typedef struct {
  Fixture cell;
  VpElection election;
  VpCommitter *committer;
  VpNodeEffects effects;
  size_t progress_bytes; /* size of all progress values that were written */
  uint32_t progress_writes;
} CommitFixture;

static void
_setup_committer (CommitFixture *fixture, uint32_t link_kbps)
{
  memset (fixture, 0, sizeof *fixture);
  _setup (&fixture->cell, 8, false);
  _sync (&fixture->cell);
  vp_election_setup (&fixture->election, "node", 125, fixture->cell.now_ms);
  fixture->committer = vp_committer_setup (&(VpCommitterDesc){ .election = &fixture->election,
                                                               .cell = fixture->cell.cell,
                                                               .retention_ms = 120000,
                                                               .link_kbps = link_kbps },
                                           fixture->cell.now_ms);
}

static void
_teardown_committer (CommitFixture *fixture)
{
  vp_committer_shutdown (fixture->committer);
  vp_node_effects_free (&fixture->effects);
  _teardown (&fixture->cell);
}

/* Builds the commit that is due now and returns it, or NULL. It isn't answered yet. */
static const VpStoreWrite *
_commit (CommitFixture *fixture)
{
  vp_node_effects_clear (&fixture->effects);
  vp_committer_step (fixture->committer, fixture->cell.now_ms, &fixture->effects);
  return fixture->effects.count == 0 ? NULL : &fixture->effects.items[0].write;
}

static bool
_has_key (const VpStoreWrite *write, const char *prefix)
{
  for (guint i = 0; i < write->keys->len; i++) {
    if (g_str_has_prefix (write->keys->pdata[i], prefix))
      return true;
  }
  return false;
}

static void
_finish_commit (CommitFixture *fixture, VpWriteOutcome outcome)
{
  g_autoptr (GArray) durable = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  const VpStoreWrite *write = &fixture->effects.items[0].write;
  VpStoreWriteResult result
      = { .serial = write->serial, .outcome = outcome, .revision = write->record_revision + 1 };

  for (guint i = 0; i < write->keys->len; i++) {
    if (!g_str_has_prefix (write->keys->pdata[i], "progress"))
      continue;
    fixture->progress_bytes += g_bytes_get_size (write->values->pdata[i]);
    fixture->progress_writes++;
  }
  g_assert_true (vp_committer_handle_write_result (fixture->committer, &result, durable,
                                                   fixture->cell.now_ms));
}

/* Lets @duration_ms pass with a commit whenever one is due. The progress of all jobs changes every
 * 10 ms. */
static void
_run_changes (CommitFixture *fixture, int64_t duration_ms)
{
  VpJobList *jobs = vp_cell_jobs (fixture->cell.cell);

  for (int64_t end_ms = fixture->cell.now_ms + duration_ms; fixture->cell.now_ms < end_ms;
       fixture->cell.now_ms += 10) {
    for (uint64_t id = 1; id <= fixture->cell.last_job; id++)
      vp_joblist_mark_dirty (jobs, vp_joblist_find (jobs, id));
    if (_commit (fixture) != NULL)
      _finish_commit (fixture, VP_WRITE_OK);
  }
}

/* Adds @count durable jobs of which one task each has started. */
static void
_add_started_jobs (CommitFixture *fixture, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    _submit (&fixture->cell, 100, 1);
  _decide (&fixture->cell);
}

/* Guards against progress that fills the link of a small VM: it has a share of the link. */
static void
test_progress_share (void)
{
  CommitFixture fixture;

  _setup_committer (&fixture, LINK_KBPS);
  _add_started_jobs (&fixture, 20);
  _run_changes (&fixture, 5000);
  g_assert_cmpuint (fixture.progress_writes, >, 0);
  /* A fifth of the link over 5 s, as base64 text. */
  g_assert_cmpuint (fixture.progress_bytes * 4 / 3, <=, 5 * LINK_KBPS * 1000 / 8 / 5);
  _teardown_committer (&fixture);
}

/* A job that callers wait for doesn't wait for the next round of progress. */
static void
test_new_job_at_once (void)
{
  CommitFixture fixture;
  VpJob *job;

  _setup_committer (&fixture, LINK_KBPS);
  _add_started_jobs (&fixture, 20);
  _run_changes (&fixture, 2000);
  job = _submit (&fixture.cell, 1, 1000);
  job->is_durable = false;
  vp_joblist_mark_dirty (vp_cell_jobs (fixture.cell.cell), job);
  fixture.cell.now_ms += 30;
  g_assert_true (_has_key (_commit (&fixture), "job/"));
  _teardown_committer (&fixture);
}

/* Guards against an accepted job whose queue a later scheduler may not know: the queue is stored by
 * the same commit, and again if that had no effect, but not with each job. */
static void
test_config_with_job (void)
{
  CommitFixture fixture;

  _setup_committer (&fixture, 0);
  for (uint64_t id = 101; id <= 103; id++) {
    g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
    bool is_last = id == 103;
    spec->id = id;
    spec->queue = "q";
    spec->team = "team";
    spec->steps[0].task_count = 1;
    vp_cell_submit (fixture.cell.cell, spec, fixture.cell.now_ms);
    fixture.cell.now_ms += 100;
    g_assert_true (_has_key (_commit (&fixture), "job/"));
    g_assert_cmpint (_has_key (&fixture.effects.items[0].write, "config"), ==, !is_last);
    _finish_commit (&fixture, id == 101 ? VP_WRITE_UNAVAILABLE : VP_WRITE_OK);
  }
  _teardown_committer (&fixture);
}

/* Guards against ends that are never acknowledged since some job always has changes to store. */
static void
test_ends_become_durable (void)
{
  CommitFixture fixture;
  VpCellWorker *worker;

  _setup_committer (&fixture, 0);
  _add_started_jobs (&fixture, 100);
  worker = vp_workerlist_find (vp_cell_workers (fixture.cell.cell), "w0");
  worker->last_end_seen = 7;
  _run_changes (&fixture, 2000);
  g_assert_cmpuint (worker->last_end_durable, ==, 7);
  _teardown_committer (&fixture);
}

/* Ends aren't durable after a commit that had no effect. */
static void
test_reverted_round (void)
{
  CommitFixture fixture;
  VpCellWorker *worker;

  _setup_committer (&fixture, 0);
  _add_started_jobs (&fixture, 1);
  worker = vp_workerlist_find (vp_cell_workers (fixture.cell.cell), "w0");
  worker->last_end_seen = 7;
  g_assert_nonnull (_commit (&fixture));
  _finish_commit (&fixture, VP_WRITE_UNAVAILABLE);
  g_assert_cmpuint (worker->last_end_durable, ==, 0);
  fixture.cell.now_ms += 100;
  g_assert_true (_has_key (_commit (&fixture), "progress/"));
  _finish_commit (&fixture, VP_WRITE_OK);
  g_assert_cmpuint (worker->last_end_durable, ==, 7);
  _teardown_committer (&fixture);
}

/* Guards against ended jobs that pile up if more jobs end than one commit in 5 s can remove. */
static void
test_ended_jobs_are_removed (void)
{
  CommitFixture fixture;
  VpJobList *jobs;

  _setup_committer (&fixture, 0);
  jobs = vp_cell_jobs (fixture.cell.cell);
  for (uint64_t id = 1; id <= 1000; id++)
    vp_joblist_add_ended (jobs, id, "queue", VP_JOB_COMPLETED, fixture.cell.now_ms);
  fixture.cell.now_ms += 160000;
  _run_changes (&fixture, 30000);
  g_assert_cmpuint (g_hash_table_size (jobs->jobs), ==, 0);
  _teardown_committer (&fixture);
}

/* Guards against a limit on cancellations of unknown jobs that is used up for as long as ended jobs
 * can be queried, which may be a day. */
static void
test_unsubmitted_jobs_expire (void)
{
  CommitFixture fixture;
  VpJobList *jobs;

  _setup_committer (&fixture, 0);
  vp_committer_shutdown (fixture.committer);
  fixture.committer = vp_committer_setup (&(VpCommitterDesc){ .election = &fixture.election,
                                                              .cell = fixture.cell.cell,
                                                              .retention_ms = 86400000 },
                                          fixture.cell.now_ms);
  jobs = vp_cell_jobs (fixture.cell.cell);
  vp_joblist_add_unsubmitted (jobs, 1, fixture.cell.now_ms);
  vp_joblist_add_ended (jobs, 2, "queue", VP_JOB_CANCELLED, fixture.cell.now_ms);
  _run_changes (&fixture, 1000);
  fixture.cell.now_ms += 110000;
  _run_changes (&fixture, 10000);
  g_assert_cmpuint (jobs->unsubmitted_count, ==, 1);
  fixture.cell.now_ms += 40000;
  _run_changes (&fixture, 10000);
  g_assert_cmpuint (jobs->unsubmitted_count, ==, 0);
  g_assert_nonnull (vp_joblist_find (jobs, 2));
  _teardown_committer (&fixture);
}

/* Guards against a false "not run": the end of a job that was cancelled before its first commit is
 * in flight. */
static void
test_cancelled_job_in_flight (void)
{
  CommitFixture fixture;
  VpJob *job;

  _setup_committer (&fixture, 0);
  job = _submit (&fixture.cell, 1, 1000);
  job->is_durable = false;
  vp_cell_cancel (fixture.cell.cell, job->spec->id, fixture.cell.now_ms);
  g_assert_true (vp_committer_is_unsent (fixture.committer, job->spec->id));
  g_assert_true (_has_key (_commit (&fixture), "ended/"));
  g_assert_false (vp_committer_is_unsent (fixture.committer, job->spec->id));
  _teardown_committer (&fixture);
}

/* Guards against a task that is started once more than its queue allows: a failed run of an earlier
 * scheduler, which hadn't stored the start, was acknowledged without being stored. */
static void
test_failure_of_unstored_start (void)
{
  CommitFixture fixture;
  VpCommandResult result;
  VpEndedEntry ended = { .number = 7, .is_task = true, .run = 8, .end = VP_RUN_FAILED };
  VpJob *job;

  _setup_committer (&fixture, 0);
  job = _submit (&fixture.cell, 1, 1000);
  job->is_inherited = true;
  ended.task.job = job->spec->id;
  result = _hold_result (&fixture.cell, "w0");
  g_array_append_val (result.ended, ended);
  _apply (&fixture.cell, &result);
  g_assert_true (_has_key (_commit (&fixture), "progress/"));
  _finish_commit (&fixture, VP_WRITE_OK);
  g_assert_cmpuint (
      vp_workerlist_find (vp_cell_workers (fixture.cell.cell), "w0")->last_end_durable, ==, 7);
  _teardown_committer (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/committer/progress-share", test_progress_share);
  g_test_add_func ("/committer/new-job-at-once", test_new_job_at_once);
  g_test_add_func ("/committer/config-with-job", test_config_with_job);
  g_test_add_func ("/committer/ends-become-durable", test_ends_become_durable);
  g_test_add_func ("/committer/reverted-round", test_reverted_round);
  g_test_add_func ("/committer/cancelled-job-in-flight", test_cancelled_job_in_flight);
  g_test_add_func ("/committer/failure-of-unstored-start", test_failure_of_unstored_start);
  g_test_add_func ("/committer/ended-jobs-are-removed", test_ended_jobs_are_removed);
  g_test_add_func ("/committer/unsubmitted-jobs-expire", test_unsubmitted_jobs_expire);
  return g_test_run ();
}
