/* Queues and teams that accepted jobs name, and that the newest configuration may lack. */
#include "cell-fixture.h"
#include "vp-jobconfig.h"

#define CAP_MILLI 3000
#define LONG_NAME 300000 /* bytes; two of them don't fit into the stored form */

/* Returns a configuration with a team "team" and the queues @names, separated by commas, with a
 * stretch of 1.5. With an empty list there is neither. */
static VpCellConfig *
_config (uint64_t version, const char *names)
{
  VpCellConfig *config = vp_cellconfig_new (version);
  VpTeamConfig team = { .name = "team", .weight = 3, .cap = { .cpu_milli = CAP_MILLI } };
  g_auto (GStrv) list = g_strsplit (names, ",", -1);

  for (guint i = 0; list[i] != NULL; i++) {
    VpQueueConfig queue = { .name = vp_cellconfig_text (config, list[i]),
                            .service = "service",
                            .priority = 2,
                            .attempts_max = 4,
                            .stretch = 1.5,
                            .latency_target_ms = 700 };
    g_array_append_val (config->queues, queue);
  }
  if (names[0] != '\0')
    g_array_append_val (config->teams, team);
  vp_cellconfig_seal (config);
  return config;
}

static void
_set (VpJobConfig *job_config, const VpJobList *jobs, uint64_t version, const char *names)
{
  VpCellConfig *config = _config (version, names);

  vp_jobconfig_set (job_config, config, jobs);
  vp_cellconfig_unref (config);
}

static VpJob *
_add_job (VpJobList *jobs, uint64_t id, const char *queue)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);

  spec->id = id;
  spec->text = g_strdup ("text");
  spec->queue = vp_jobspec_add_text (spec, queue);
  spec->team = "team";
  spec->steps[0] = (VpStepSpec){ .task_count = 1, .estimate_ms = 1000 };
  return vp_joblist_add (jobs, spec, 1, 1);
}

/* Guards against a queue that is forgotten while jobs need it, and against queues that are kept for
 * ever. */
static void
test_kept (void)
{
  VpJobList *jobs = vp_joblist_setup ();
  VpJobConfig job_config = { 0 };
  VpJob *job = _add_job (jobs, 1, "a");
  const VpQueueConfig *queue;

  _set (&job_config, jobs, 1, "a,b");
  _set (&job_config, jobs, 2, "c");
  queue = vp_cellconfig_queue (job_config.config, "a");
  g_assert_nonnull (queue);
  g_assert_cmpstr (queue->service, ==, "service");
  g_assert_cmpint (queue->priority, ==, 2);
  g_assert_cmpfloat (queue->stretch, ==, 1.5);
  /* The limit of failed runs isn't kept. */
  g_assert_cmpuint (vp_cellconfig_attempts_max (job_config.config, "a"), ==, UINT32_MAX);
  g_assert_cmpuint (vp_cellconfig_attempts_max (job_config.config, "c"), ==, 4);
  /* A process with the configuration before may still pass on a job for it. */
  g_assert_nonnull (vp_cellconfig_queue (job_config.config, "b"));
  _set (&job_config, jobs, 3, "c");
  g_assert_nonnull (vp_cellconfig_queue (job_config.config, "a"));
  g_assert_null (vp_cellconfig_queue (job_config.config, "b"));
  _set (&job_config, jobs, 4, "a");
  g_assert_cmpuint (vp_cellconfig_attempts_max (job_config.config, "a"), ==, 4);
  _set (&job_config, jobs, 5, "c");
  vp_joblist_cancel (jobs, job, 2);
  _set (&job_config, jobs, 6, "c");
  g_assert_null (vp_cellconfig_queue (job_config.config, "a"));
  vp_jobconfig_clear (&job_config);
  vp_joblist_shutdown (jobs);
}

/* Guards against a queue that a later scheduler doesn't know since it isn't stored with the first
 * job, and against a value that is written again with each job or each configuration. */
static void
test_stored (void)
{
  VpJobList *jobs = vp_joblist_setup ();
  VpJobConfig job_config = { 0 };
  VpJobConfig later = { 0 };
  g_autoptr (GVariant) stored = NULL;

  _set (&job_config, jobs, 1, "a,b");
  g_assert_false (job_config.is_unstaged);
  vp_jobconfig_note_job (&job_config, _add_job (jobs, 1, "a")->spec);
  g_assert_true (job_config.is_unstaged);
  stored = g_variant_ref_sink (vp_jobconfig_stage (&job_config, jobs));
  g_assert_false (job_config.is_unstaged);
  vp_jobconfig_note_job (&job_config, _add_job (jobs, 2, "a")->spec);
  _set (&job_config, jobs, 2, "a");
  _set (&job_config, jobs, 3, "b");
  g_assert_false (job_config.is_unstaged);
  vp_jobconfig_note_job (&job_config, _add_job (jobs, 3, "b")->spec);
  g_assert_true (job_config.is_unstaged);
  /* The later scheduler has a configuration without the queue, before or after the load. */
  for (int is_first = 0; is_first <= 1; is_first++) {
    if (is_first)
      _set (&later, jobs, 3, "b");
    vp_jobconfig_load (&later, stored, jobs);
    if (!is_first)
      _set (&later, jobs, 3, "b");
    g_assert_nonnull (vp_cellconfig_queue (later.config, "a"));
    g_assert_cmpint (vp_cellconfig_queue (later.config, "a")->latency_target_ms, ==, 700);
    /* The queue "b" is named by a job, but wasn't stored. */
    g_assert_true (later.is_unstaged);
    vp_jobconfig_clear (&later);
    later = (VpJobConfig){ 0 };
  }
  vp_jobconfig_clear (&job_config);
  vp_joblist_shutdown (jobs);
}

/* Guards against settings that are stored as they were before a change, which came while no job
 * named the queue. */
static void
test_changed_while_unused (void)
{
  VpJobList *jobs = vp_joblist_setup ();
  VpJobConfig job_config = { 0 };
  VpCellConfig *changed = _config (2, "a");
  VpJob *job = _add_job (jobs, 1, "a");

  g_array_index (changed->queues, VpQueueConfig, 0).stretch = 7;
  _set (&job_config, jobs, 1, "a");
  g_variant_unref (g_variant_ref_sink (vp_jobconfig_stage (&job_config, jobs)));
  vp_joblist_cancel (jobs, job, 2);
  vp_jobconfig_set (&job_config, changed, jobs);
  vp_jobconfig_note_job (&job_config, _add_job (jobs, 2, "a")->spec);
  g_assert_true (job_config.is_unstaged);
  g_variant_unref (g_variant_ref_sink (vp_jobconfig_stage (&job_config, jobs)));
  g_assert_cmpfloat (vp_cellconfig_queue (job_config.stored, "a")->stretch, ==, 7);
  g_assert_false (job_config.is_unstaged);
  vp_cellconfig_unref (changed);
  vp_jobconfig_clear (&job_config);
  vp_joblist_shutdown (jobs);
}

/* Guards against a value that the store refuses for its size, with which no commit would succeed
 * any more. */
static void
test_full (void)
{
  VpJobList *jobs = vp_joblist_setup ();
  VpJobConfig job_config = { 0 };
  g_autofree char *one = g_strnfill (LONG_NAME, 'x');
  g_autofree char *two = g_strnfill (LONG_NAME, 'y');
  g_autofree char *names = g_strdup_printf ("%s,%s,a", one, two);
  g_autoptr (GVariant) stored = NULL;

  _add_job (jobs, 1, one);
  _add_job (jobs, 2, two);
  _add_job (jobs, 3, "a");
  _set (&job_config, jobs, 1, names);
  stored = g_variant_ref_sink (vp_jobconfig_stage (&job_config, jobs));
  g_assert_cmpuint (g_variant_get_size (stored), <, 600000);
  g_assert_nonnull (vp_cellconfig_queue (job_config.stored, one));
  g_assert_null (vp_cellconfig_queue (job_config.stored, two));
  g_assert_nonnull (vp_cellconfig_queue (job_config.stored, "a"));
  vp_jobconfig_note_job (&job_config, vp_joblist_find (jobs, 2)->spec);
  g_assert_false (job_config.is_unstaged);
  vp_jobconfig_clear (&job_config);
  vp_joblist_shutdown (jobs);
}

/* Guards against tasks that run beyond the cap of a team, or don't start, since the team and the
 * queue are missing from the configuration, also at a scheduler that takes over meanwhile. */
static void
test_team_dropped (void)
{
  Fixture fixture;
  VpCellConfig *with = _config (2, "q");
  VpCellConfig *without = _config (3, "");
  g_autoptr (GVariant) stored = NULL;
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  vp_cell_set_config (fixture.cell, with);
  job = _submit (&fixture, 6, 1000);
  stored = g_variant_ref_sink (vp_cell_stage_config (fixture.cell));
  vp_cell_set_config (fixture.cell, without);
  _decide (&fixture);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, CAP_MILLI / 1000);
  g_assert_false (vp_job_is_ended (job));
  vp_cell_shutdown (fixture.cell);
  fixture.cell = vp_cell_setup (&(VpCellDesc){ .fence = 7, .hold_max_ms = 6000, .is_clean = true },
                                fixture.now_ms);
  vp_cell_set_config (fixture.cell, without);
  for (uint32_t i = 0; i < 2; i++) {
    VpWorkerEntry entry = _worker_entry (i);
    vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  }
  vp_cell_worker_list_complete (fixture.cell);
  _submit (&fixture, 6, 1000);
  vp_cell_load_config (fixture.cell, stored);
  _sync (&fixture);
  _decide (&fixture);
  g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, CAP_MILLI / 1000);
  vp_cellconfig_unref (with);
  vp_cellconfig_unref (without);
  _teardown (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/jobconfig/kept", test_kept);
  g_test_add_func ("/jobconfig/stored", test_stored);
  g_test_add_func ("/jobconfig/changed-while-unused", test_changed_while_unused);
  g_test_add_func ("/jobconfig/full", test_full);
  g_test_add_func ("/jobconfig/team-dropped", test_team_dropped);
  return g_test_run ();
}
