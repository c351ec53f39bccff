/* The process of a worker crashes, fails again as soon as it is started, and is then given up. Its
 * task had been started before the last change of the leader. */
#include "stage.h"

#include <string.h>

#define NODES     3
#define WORKERS   8
#define JOB_ID    "00000000000000d1"
#define TASKS     4
#define STARTS    1   /* of the process until it is given up */
#define DOWN_MS   370 /* until it is started again */
#define UP_MS     15  /* until it fails again */
#define FINISH_MS 30000
#define JOB                                                                                        \
  "{\"spec\":\"watch the tags\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":512,"              \
  "\"estimate_ms\":320,\"long_running\":true,\"anti_affinity\":1}]}"

static StageWork
_work (const char *task, uint32_t run, const char *spec)
{
  (void)task;
  (void)run;
  (void)spec;
  return (StageWork){ .work_ms = INT64_MAX };
}

static uint32_t _running_count;

static void
_count_running (void *data)
{
  (void)data;
  _running_count = 0;
  for (uint32_t i = 0; i < WORKERS; i++)
    _running_count += stage_worker_running_count (i);
}

static void
_crash (void *data)
{
  (void)data;
  for (uint32_t i = 0; i < WORKERS; i++) {
    if (stage_worker_running_count (i) > 0) {
      stage_worker_crash_loop (i, STARTS, DOWN_MS, UP_MS);
      return;
    }
  }
}

static int
_scenario (void)
{
  int32_t leader;

  stage_put_config (3, "[{\"name\":\"tags\",\"host\":\"" STAGE_HOST "\",\"prefix\":\"/tags/\","
                       "\"service\":\"desk\",\"priority\":1,\"max_attempts\":2,\"stretch\":2.2,"
                       "\"target_latency_ms\":2500}]");
  if (!stage_wait_ready () || stage_submit ("/tags/", JOB_ID, JOB, 0) != 200)
    return 2;
  stage_sleep_ms (3000);
  stage_do (_count_running, NULL);
  leader = stage_leader ();
  if (_running_count != TASKS || leader < 0)
    return 2;
  if (stage_has_trouble ()) {
    stage_kill_node ((uint32_t)leader);
    stage_sleep_ms (12000);
    stage_do (_crash, NULL);
  }
  stage_sleep_ms (FINISH_MS);
  stage_do (_count_running, NULL);
  stage_note ("LOST: %u of %d tasks that last are at work, with room on the other workers",
              _running_count, TASKS);
  return _running_count < TASKS ? 1 : 0;
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
