/* Wide tasks, which need a whole worker, beside narrow ones that keep arriving: neither kind may
 * keep the other from capacity that it can't use itself. */
#include "cell-fixture.h"

#define WORKERS    4
#define WIDE_CPU   4000
#define NARROW_CPU 1000
#define TASK_MS    1000

static void
_add_queue (VpCellConfig *config, const char *name, int32_t priority)
{
  VpQueueConfig queue = { .service = "service",
                          .attempts_max = 2,
                          .stretch = 4,
                          .latency_target_ms = 3000,
                          .priority = priority,
                          .has_advice = true,
                          .advice_decide_ms = 20,
                          .advice_worker_ms = 1,
                          .advice_valid_ms = 60000 };

  g_strlcpy (queue.name, name, sizeof queue.name);
  g_array_append_val (config->queues, queue);
}

/* Sets up idle workers and a queue for wide tasks that comes before the one for narrow tasks. */
static void
_setup_queues (Fixture *fixture)
{
  VpCellConfig *config = vp_cellconfig_new (2);

  _setup (fixture, WORKERS, true);
  _add_queue (config, "wide", 1);
  _add_queue (config, "narrow", 2);
  vp_cellconfig_seal (config);
  vp_cell_set_config (fixture->cell, config);
  vp_cellconfig_unref (config);
  vp_cell_set_advice_client_count (fixture->cell, 16);
  _sync (fixture);
}

static VpJobTask *
_submit_to (Fixture *fixture, const char *queue, uint32_t width, int64_t cpu_milli)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
  VpJob *job;

  spec->id = ++fixture->last_job;
  spec->text = g_strdup ("text");
  g_strlcpy (spec->queue, queue, sizeof spec->queue);
  spec->steps[0] = (VpStepSpec){ .task_count = width,
                                 .size = { .cpu_milli = cpu_milli, .mem_mib = 100 },
                                 .estimate_ms = TASK_MS };
  job = vp_joblist_add (vp_cell_jobs (fixture->cell), spec, fixture->now_ms, fixture->now_ms);
  job->is_durable = true;
  return &job->occurrences[0].steps[0].tasks[0];
}

/* Answers an advice request. Wide steps are allowed only on workers whose number is at most
 * @wide_last, narrow ones everywhere. */
static void
_answer_advice (Fixture *fixture, const VpAdviceRequest *request, uint32_t wide_last)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (VpAdviceRow));
  const VpJobTask *task = vp_joblist_task (vp_cell_jobs (fixture->cell), &request->step);
  bool is_wide = strcmp (task->step->occurrence->job->spec->queue, "wide") == 0;

  for (guint i = 0; i < request->workers->len; i++) {
    const char *id = request->workers->pdata[i];
    VpAdviceRow row = { .valid_until_ms = fixture->now_ms + 60000 };
    if (is_wide && g_ascii_strtoull (id + 1, NULL, 10) > wide_last)
      continue;
    g_strlcpy (row.worker, id, sizeof row.worker);
    g_strlcpy (row.ticket, "ticket", sizeof row.ticket);
    g_array_append_val (rows, row);
  }
  vp_cell_advice_result (fixture->cell, request->serial, rows, fixture->now_ms);
}

static void
_answer_starts (Fixture *fixture)
{
  for (guint i = 0; i < fixture->effects->len; i++) {
    const VpCellEffect *effect = &g_array_index (fixture->effects, VpCellEffect, i);
    if (effect->kind == VP_CELL_COMMAND && effect->command.kind == VP_COMMAND_START)
      _answer (fixture, &effect->command, VP_COMMAND_OK);
  }
}

/* Lets time pass in steps of 50 ms. Starts and advice requests are answered in each step, and tasks
 * that have run for TASK_MS end, except on "w0" if @w0_is_stuck. With @arrivals a narrow job
 * arrives in each step. */
static void
_run (Fixture *fixture, int64_t duration_ms, uint32_t wide_last, bool w0_is_stuck, bool arrivals)
{
  const VpWorkerList *workers = vp_cell_workers (fixture->cell);

  for (int64_t end_ms = fixture->now_ms + duration_ms; fixture->now_ms < end_ms;
       fixture->now_ms += 50) {
    if (arrivals)
      _submit_to (fixture, "narrow", 2, NARROW_CPU);
    _decide (fixture);
    _answer_starts (fixture);
    for (guint i = 0; i < fixture->effects->len; i++) {
      const VpCellEffect *effect = &g_array_index (fixture->effects, VpCellEffect, i);
      if (effect->kind == VP_CELL_ADVICE_REQUEST)
        _answer_advice (fixture, &effect->advice_request, wide_last);
    }
    for (guint w = w0_is_stuck ? 1 : 0; w < workers->workers->len; w++) {
      VpCellWorker *worker = workers->workers->pdata[w];
      guint count;
      g_autofree VpJobTask **tasks
          = (VpJobTask **)g_hash_table_get_keys_as_array (worker->tasks, &count);
      for (guint t = 0; t < count; t++) {
        if (tasks[t]->phase == VP_PHASE_RUNNING
            && fixture->now_ms - tasks[t]->started_ms >= TASK_MS)
          vp_jobtask_end (vp_cell_jobs (fixture->cell), tasks[t], VP_RUN_DONE, 2, fixture->now_ms);
      }
    }
  }
}

/* Guards against wide steps that wait for a busy worker and keep narrow ones from idle workers that
 * the wide ones may not use. */
static void
test_narrow_beside_wide (void)
{
  Fixture fixture;
  VpJobTask *narrow;

  _setup_queues (&fixture);
  _submit_to (&fixture, "wide", 1, WIDE_CPU);
  _run (&fixture, 200, 0, true, false);
  for (uint32_t i = 0; i < 2 * WORKERS; i++)
    _submit_to (&fixture, "wide", 1, WIDE_CPU);
  _run (&fixture, 500, 0, true, false);
  narrow = _submit_to (&fixture, "narrow", 1, NARROW_CPU);
  _run (&fixture, 500, 0, true, false);
  g_assert_cmpint (narrow->phase, !=, VP_PHASE_WAITING);
  _teardown (&fixture);
}

/* Guards against narrow tasks that use each piece of capacity as it becomes free, so that a wide
 * task never finds a whole worker. */
static void
test_wide_beside_narrow (void)
{
  Fixture fixture;
  VpJobTask *wide;

  _setup_queues (&fixture);
  _run (&fixture, 2 * TASK_MS, 1, false, true);
  wide = _submit_to (&fixture, "wide", 1, WIDE_CPU);
  _run (&fixture, 3 * TASK_MS, 1, false, true);
  g_assert_cmpint (wide->phase, !=, VP_PHASE_WAITING);
  _teardown (&fixture);
}

static VpCellWorker *
_add_worker (VpWorkerList *worker_list, VpJobList *jobs, int64_t estimate_ms, bool is_long_running)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
  VpWorkerEntry entry = _worker_entry (0);
  VpCellWorker *worker = vp_workerlist_update (worker_list, &entry);
  VpJob *job;

  spec->id = 1;
  spec->text = g_strdup ("text");
  spec->steps[0] = (VpStepSpec){ .task_count = 1,
                                 .size = { .cpu_milli = NARROW_CPU, .mem_mib = 100 },
                                 .is_long_running = is_long_running,
                                 .estimate_ms = estimate_ms };
  job = vp_joblist_add (jobs, spec, 1000, 1000);
  vp_jobtask_assign (jobs, &job->occurrences[0].steps[0].tasks[0], worker, 1, 1000);
  return worker;
}

static void
test_available (void)
{
  static const VpResources wide = { .cpu_milli = WIDE_CPU };
  static const VpResources narrow = { .cpu_milli = NARROW_CPU };

  for (int is_long_running = 0; is_long_running < 2; is_long_running++) {
    VpWorkerList *worker_list = vp_workerlist_setup (6000, 1000);
    VpJobList *jobs = vp_joblist_setup ();
    VpCellWorker *worker = _add_worker (worker_list, jobs, 5000, is_long_running == 1);
    VpResources free = vp_workerlist_free_capacity (worker);
    VpReservation reservation = { 0 };
    int64_t from_ms = vp_reservation_available_ms (worker, NULL, &free, &wide, 2000);

    g_assert_cmpint (vp_reservation_available_ms (worker, NULL, &free, &narrow, 2000), ==, 2000);
    g_assert_cmpint (from_ms, ==, is_long_running == 1 ? INT64_MAX : 6000);
    vp_reservation_add (&reservation, &wide, 6000);
    g_assert_true (vp_reservation_admits (&reservation, &free, &narrow, 4000, 2000));
    g_assert_false (vp_reservation_admits (&reservation, &free, &narrow, 4001, 2000));
    g_assert_false (vp_reservation_admits (&reservation, &free, &wide, 1, 2000));
    vp_joblist_shutdown (jobs);
    vp_workerlist_shutdown (worker_list);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reservation/narrow-beside-wide", test_narrow_beside_wide);
  g_test_add_func ("/reservation/wide-beside-narrow", test_wide_beside_narrow);
  g_test_add_func ("/reservation/available", test_available);
  return g_test_run ();
}
