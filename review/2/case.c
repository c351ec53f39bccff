/* Workers whose process is killed and soon starts again under the same identity. */
#include "stage.h"

#include <string.h>

#define NODES        3
#define WORKERS      8
#define CALLERS      8
#define TRAFFIC_MS   60000
#define FINISH_MS    14000
#define PAUSE_MS     400 /* of a caller between two jobs */
#define CRASH_GAP_MS 2500
#define DOWN_MS      1000
#define JOB                                                                                        \
  "{\"spec\":\"pay "                                                                               \
  "out\",\"steps\":[{\"count\":6,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":300,\"anti_"          \
  "affinity\":1}]}"

typedef struct {
  uint32_t number;
  uint32_t job_count;
  uint32_t accepted_count;
} Caller;

static int64_t _traffic_end_ms;

static StageWork
_work (const char *task, uint32_t run, const char *spec)
{
  (void)run;
  (void)spec;
  return (StageWork){ .work_ms = 100 + g_str_hash (task) % 300 };
}

static gpointer
_run_caller (gpointer data)
{
  Caller *caller = data;
  char id[17];

  while (stage_elapsed_ms () < _traffic_end_ms) {
    g_snprintf (id, sizeof id, "%08x%08x", caller->number + 1, ++caller->job_count);
    if (stage_submit ("/pay/", id, JOB, caller->number + caller->job_count) == 200)
      caller->accepted_count++;
    stage_sleep_ms (PAUSE_MS);
  }
  return NULL;
}

static void
_crash (void *data)
{
  stage_worker_lose_power (*(uint32_t *)data, DOWN_MS);
}

static int
_scenario (void)
{
  Caller callers[CALLERS] = { 0 };
  GThread *threads[CALLERS];
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  uint32_t accepted_count = 0;

  stage_put_config (3, "[{\"name\":\"pay\",\"host\":\"" STAGE_HOST "\",\"prefix\":\"/pay/\","
                       "\"service\":\"desk\",\"priority\":0,\"max_attempts\":3,\"stretch\":1.5,"
                       "\"target_latency_ms\":250}]");
  if (!stage_wait_ready ())
    return 2;
  _traffic_end_ms = stage_elapsed_ms () + TRAFFIC_MS;
  for (uint32_t i = 0; i < CALLERS; i++) {
    callers[i].number = i;
    threads[i] = g_thread_new ("caller", _run_caller, &callers[i]);
  }
  while (stage_elapsed_ms () < _traffic_end_ms) {
    uint32_t worker = (uint32_t)g_rand_int_range (rand, 0, WORKERS);
    stage_sleep_ms (CRASH_GAP_MS);
    if (stage_has_trouble ())
      stage_do (_crash, &worker);
  }
  for (uint32_t i = 0; i < CALLERS; i++) {
    g_thread_join (threads[i]);
    accepted_count += callers[i].accepted_count;
  }
  stage_sleep_ms (FINISH_MS);
  stage_note ("%u jobs were accepted, %u runs started", accepted_count, stage_start_count ());
  if (accepted_count == 0)
    return 2;
  return stage_check_twice () > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  stage_setup (&(StageDesc){ .node_count = NODES,
                             .worker_count = WORKERS,
                             .worker_cpu = 16000,
                             .worker_mem_mb = 32768 },
               argc, argv);
  stage_workers_set_work (_work);
  stage_run (_scenario);
}
