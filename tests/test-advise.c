/* Which advice calls are made when there are more steps to ask about than processes to ask. */
#include "vp-advise.h"

#include <string.h>

#define NOW_MS 1000000
#define ASKERS 8
/* With half of the workers allowed, a call for so many tasks of 1 core names 8 workers of 16. */
#define STEP_TASKS   40
#define CALL_WORKERS 8

typedef struct {
  VpWorkerList *worker_list;
  VpJobList *jobs;
  VpAdvise *advise;
  VpPlacePool *pool;
  VpQueueConf urgent;
  VpQueueConf batch;
  uint64_t last_job;
} Fixture;

static VpQueueConf
_queue (const char *name, int32_t priority, double decide_ms)
{
  VpQueueConf queue = { .priority = priority,
                        .has_advice = true,
                        .advice_decide_ms = decide_ms,
                        .advice_worker_ms = 1,
                        .advice_valid_ms = 2500 };

  g_strlcpy (queue.name, name, sizeof queue.name);
  return queue;
}

static void
_setup (Fixture *fixture, uint32_t worker_count)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->worker_list = vp_workerlist_setup (6000, NOW_MS);
  fixture->jobs = vp_joblist_setup ();
  fixture->advise = vp_advise_setup (0);
  vp_advise_set_client_count (fixture->advise, ASKERS);
  for (uint32_t i = 0; i < worker_count; i++) {
    VpWorkerEntry entry = { .service = "service", .capacity = { .cpu_milli = 16000 } };
    VpCellWorker *worker;
    g_snprintf (entry.id, sizeof entry.id, "w%u", i);
    worker = vp_workerlist_update (fixture->worker_list, &entry);
    worker->is_synced = worker->is_reachable = true;
  }
  fixture->pool = vp_place_pool_new (fixture->worker_list, "service", NOW_MS);
  fixture->urgent = _queue ("urgent", 0, 20);
  fixture->batch = _queue ("batch", 2, 400);
}

static void
_teardown (Fixture *fixture)
{
  vp_place_pool_free (fixture->pool);
  vp_advise_shutdown (fixture->advise);
  vp_joblist_shutdown (fixture->jobs);
  vp_workerlist_shutdown (fixture->worker_list);
}

/* A call for a new step of @task_count tasks of a size, in @ask; false: none is made. */
static bool
_ask_for (Fixture *fixture,
          const VpQueueConf *queue,
          uint32_t task_count,
          int64_t cpu_milli,
          VpAdviceRequest *ask)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
  VpJob *job;

  spec->id = ++fixture->last_job;
  spec->text = g_strdup ("text");
  g_strlcpy (spec->queue, queue->name, sizeof spec->queue);
  spec->steps[0] = (VpStepSpec){ .task_count = task_count, .size = { .cpu_milli = cpu_milli } };
  job = vp_joblist_add (fixture->jobs, spec, NOW_MS, NOW_MS);
  return vp_advise_request (fixture->advise, fixture->pool, &job->runs[0].steps[0], queue, NOW_MS,
                            ask);
}

/* The same for one task; returns the call's serial, 0: none is made. */
static uint64_t
_ask (Fixture *fixture, const VpQueueConf *queue)
{
  VpAdviceRequest ask = { 0 };

  if (!_ask_for (fixture, queue, 1, 1000, &ask))
    return 0;
  g_ptr_array_unref (ask.workers);
  return ask.serial;
}

/* A call for a new step of STEP_TASKS tasks; adds the workers that it names to @named and returns
 * its serial. */
static uint64_t
_ask_into (Fixture *fixture, const VpQueueConf *queue, GHashTable *named)
{
  VpAdviceRequest ask = { 0 };

  g_assert_true (_ask_for (fixture, queue, STEP_TASKS, 1000, &ask));
  for (guint i = 0; i < ask.workers->len; i++)
    g_hash_table_add (named, g_strdup (ask.workers->pdata[i]));
  g_ptr_array_unref (ask.workers);
  return ask.serial;
}

/* A crowd of batch steps, whose calls take half a second each, leaves processes free for urgent
 * ones. */
static void
test_crowd_of_batch (void)
{
  Fixture fixture;
  uint32_t count = 0;
  uint64_t last = 0;
  uint64_t serial;

  _setup (&fixture, 4);
  while ((serial = _ask (&fixture, &fixture.batch)) != 0) {
    last = serial;
    count++;
  }
  g_assert_cmpuint (count, <, ASKERS);
  g_assert_cmpuint (count, >=, ASKERS / 2);
  for (uint32_t i = 0; i < ASKERS - count; i++)
    g_assert_cmpuint (_ask (&fixture, &fixture.urgent), !=, 0);
  /* Each answer makes room for the next one. */
  vp_advise_answer (fixture.advise, fixture.worker_list, fixture.jobs, last, NULL, NOW_MS);
  g_assert_cmpuint (_ask (&fixture, &fixture.batch), !=, 0);
  g_assert_cmpuint (_ask (&fixture, &fixture.batch), ==, 0);
  _teardown (&fixture);
}

/* Calls whose answers are lost don't count for ever. */
static void
test_lost_answers (void)
{
  Fixture fixture;
  uint32_t count = 0;

  _setup (&fixture, 4);
  while (_ask (&fixture, &fixture.batch) != 0)
    count++;
  vp_advise_expire (fixture.advise, fixture.jobs, NOW_MS + 60000);
  while (_ask (&fixture, &fixture.batch) != 0)
    count--;
  g_assert_cmpuint (count, ==, 0);
  _teardown (&fixture);
}

/* Steps that ask at the same time name different workers while there is room that no other call is
 * meant for; the answer, or its loss, gives the room free again. */
static void
test_calls_at_once (void)
{
  g_autoptr (GHashTable) named = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  Fixture fixture;
  uint64_t serial = 0;

  _setup (&fixture, 3 * CALL_WORKERS);
  for (uint32_t i = 1; i <= 3; i++) {
    _ask_into (&fixture, &fixture.urgent, named);
    g_assert_cmpuint (g_hash_table_size (named), ==, i * CALL_WORKERS);
  }
  /* Where all room is asked for, workers are named twice. */
  _ask_into (&fixture, &fixture.urgent, named);
  vp_advise_expire (fixture.advise, fixture.jobs, NOW_MS + 60000);
  g_hash_table_remove_all (named);
  for (uint32_t i = 1; i <= 2; i++) {
    serial = _ask_into (&fixture, &fixture.urgent, named);
    g_assert_cmpuint (g_hash_table_size (named), ==, i * CALL_WORKERS);
  }
  vp_advise_answer (fixture.advise, fixture.worker_list, fixture.jobs, serial, NULL, NOW_MS);
  g_hash_table_remove_all (named);
  for (uint32_t i = 1; i <= 2; i++) {
    _ask_into (&fixture, &fixture.urgent, named);
    g_assert_cmpuint (g_hash_table_size (named), ==, i * CALL_WORKERS);
  }
  _teardown (&fixture);
}

/* Calls for batch steps take half a second, so the room that they are meant for stays open to
 * urgent ones. */
static void
test_urgent_beside_batch (void)
{
  g_autoptr (GHashTable) named = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  Fixture fixture;

  _setup (&fixture, 2 * CALL_WORKERS);
  _ask_into (&fixture, &fixture.batch, named);
  _ask_into (&fixture, &fixture.urgent, named);
  g_assert_cmpuint (g_hash_table_size (named), ==, CALL_WORKERS);
  _ask_into (&fixture, &fixture.batch, named);
  g_assert_cmpuint (g_hash_table_size (named), ==, 2 * CALL_WORKERS);
  _teardown (&fixture);
}

/* Calls for tasks that take no room at all. */
static void
test_no_size (void)
{
  Fixture fixture;
  uint64_t serials[3];

  _setup (&fixture, 4);
  for (guint i = 0; i < G_N_ELEMENTS (serials); i++) {
    VpAdviceRequest ask = { 0 };
    g_assert_true (_ask_for (&fixture, &fixture.urgent, 2, i == 1 ? 1000 : 0, &ask));
    g_ptr_array_unref (ask.workers);
    serials[i] = ask.serial;
  }
  for (guint i = 0; i < G_N_ELEMENTS (serials); i++)
    vp_advise_answer (fixture.advise, fixture.worker_list, fixture.jobs, serials[i], NULL, NOW_MS);
  _teardown (&fixture);
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/advise/crowd-of-batch", test_crowd_of_batch);
  g_test_add_func ("/advise/lost-answers", test_lost_answers);
  g_test_add_func ("/advise/calls-at-once", test_calls_at_once);
  g_test_add_func ("/advise/urgent-beside-batch", test_urgent_beside_batch);
  g_test_add_func ("/advise/no-size", test_no_size);
  return g_test_run ();
}
