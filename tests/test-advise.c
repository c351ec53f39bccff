/* Which advice calls are made when there are more steps to ask about than processes to ask. */
#include "vp-advise.h"

#include <string.h>

#define NOW_MS 1000000
#define ASKERS 8

typedef struct {
  VpRoster *roster;
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
_setup (Fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->roster = vp_roster_setup (6000, NOW_MS);
  fixture->jobs = vp_joblist_setup ();
  fixture->advise = vp_advise_setup (0);
  vp_advise_set_askers (fixture->advise, ASKERS);
  for (uint32_t i = 0; i < 4; i++) {
    VpWorkerEntry entry = { .service = "service", .capacity = { .cpu_milli = 16000 } };
    VpRosterWorker *worker;
    g_snprintf (entry.id, sizeof entry.id, "w%u", i);
    worker = vp_roster_put (fixture->roster, &entry);
    worker->is_synced = worker->is_reachable = true;
  }
  fixture->pool = vp_place_pool_new (fixture->roster, "service", NOW_MS);
  fixture->urgent = _queue ("urgent", 0, 20);
  fixture->batch = _queue ("batch", 2, 400);
}

static void
_teardown (Fixture *fixture)
{
  vp_place_pool_free (fixture->pool);
  vp_advise_shutdown (fixture->advise);
  vp_joblist_shutdown (fixture->jobs);
  vp_roster_shutdown (fixture->roster);
}

/* A call for a new step of the queue; returns its serial, 0: none is made. */
static uint64_t
_ask (Fixture *fixture, const VpQueueConf *queue)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
  VpAdviceAsk ask = { 0 };
  VpJob *job;

  spec->id = ++fixture->last_job;
  spec->text = g_strdup ("text");
  g_strlcpy (spec->queue, queue->name, sizeof spec->queue);
  spec->steps[0] = (VpStepSpec){ .task_count = 1, .size = { .cpu_milli = 1000 } };
  job = vp_joblist_add (fixture->jobs, spec, NOW_MS, NOW_MS);
  if (!vp_advise_ask (fixture->advise, fixture->pool, &job->runs[0].steps[0], queue, NOW_MS, &ask))
    return 0;
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

  _setup (&fixture);
  while ((serial = _ask (&fixture, &fixture.batch)) != 0) {
    last = serial;
    count++;
  }
  g_assert_cmpuint (count, <, ASKERS);
  g_assert_cmpuint (count, >=, ASKERS / 2);
  for (uint32_t i = 0; i < ASKERS - count; i++)
    g_assert_cmpuint (_ask (&fixture, &fixture.urgent), !=, 0);
  /* Each answer makes room for the next one. */
  vp_advise_answer (fixture.advise, fixture.roster, fixture.jobs, last, NULL, NOW_MS);
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

  _setup (&fixture);
  while (_ask (&fixture, &fixture.batch) != 0)
    count++;
  vp_advise_expire (fixture.advise, fixture.jobs, NOW_MS + 60000);
  while (_ask (&fixture, &fixture.batch) != 0)
    count--;
  g_assert_cmpuint (count, ==, 0);
  _teardown (&fixture);
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/advise/crowd-of-batch", test_crowd_of_batch);
  g_test_add_func ("/advise/lost-answers", test_lost_answers);
  return g_test_run ();
}
