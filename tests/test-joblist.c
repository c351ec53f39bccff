/* Order in which changed jobs are stored. */
#include "vp-joblist.h"

#define NOW_MS 1000000

static VpJob *
_add_job (VpJobList *list, uint64_t id, bool is_durable)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
  VpJob *job;

  spec->id = id;
  spec->text = g_strdup ("text");
  spec->steps[0] = (VpStepSpec){ .task_count = 1, .size = { .cpu_milli = 1000 } };
  job = vp_joblist_add (list, spec, NOW_MS, NOW_MS);
  job->is_durable = is_durable;
  vp_joblist_mark_dirty (list, job);
  return job;
}

static void
_assert_next (VpJobList *list, uint64_t id)
{
  const VpJob *job = vp_joblist_take_dirty (list);

  g_assert_nonnull (job);
  g_assert_cmpuint (job->spec->id, ==, id);
}

/* Guards against new jobs waiting behind the progress of all other jobs after an outage of the
 * store: their callers wait until they are stored. */
static void
test_new_jobs_first (void)
{
  VpJobList *list = vp_joblist_setup ();
  VpJob *removed;

  _add_job (list, 1, true);
  _add_job (list, 2, true);
  _add_job (list, 11, false);
  _add_job (list, 12, false);
  _add_job (list, 3, true);
  _assert_next (list, 11);
  _add_job (list, 13, false);
  _assert_next (list, 12);
  _assert_next (list, 13);
  _assert_next (list, 1);
  /* A removed job doesn't disturb the order of those added after it. */
  _add_job (list, 14, false);
  removed = _add_job (list, 15, false);
  vp_joblist_remove (list, removed);
  _add_job (list, 16, false);
  _assert_next (list, 14);
  _assert_next (list, 16);
  removed = _add_job (list, 17, false);
  vp_joblist_remove (list, removed);
  _add_job (list, 18, false);
  _assert_next (list, 18);
  _assert_next (list, 2);
  _assert_next (list, 3);
  g_assert_null (vp_joblist_take_dirty (list));
  vp_joblist_shutdown (list);
}

/* Guards against a wrong count of the jobs that were cancelled before they were submitted, which
 * limits their number also under the next leader. */
static void
test_unsubmitted_count (void)
{
  VpJobList *list = vp_joblist_setup ();
  VpJobList *loaded = vp_joblist_setup ();
  VpJob *job = vp_joblist_add_unsubmitted (list, 1, NOW_MS);
  g_autoptr (GVariant) stored = g_variant_ref_sink (vp_job_encode_end (job));

  g_assert_cmpuint (list->unsubmitted_count, ==, 1);
  _assert_next (list, 1);
  vp_joblist_note_submission (list, job, "queue");
  g_assert_cmpuint (list->unsubmitted_count, ==, 0);
  _assert_next (list, 1);
  g_assert_true (vp_joblist_decode_end (loaded, stored)->is_unsubmitted);
  g_assert_cmpuint (loaded->unsubmitted_count, ==, 1);
  vp_joblist_remove (loaded, vp_joblist_find (loaded, 1));
  g_assert_cmpuint (loaded->unsubmitted_count, ==, 0);
  vp_joblist_shutdown (loaded);
  vp_joblist_shutdown (list);
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/joblist/new-jobs-first", test_new_jobs_first);
  g_test_add_func ("/joblist/unsubmitted-count", test_unsubmitted_count);
  return g_test_run ();
}
