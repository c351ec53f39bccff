/* Case 14: a cancelled job is being stopped while the leader shuts down. See claim.txt. */
#include "../standin-3/deployment.h"

#include <signal.h>
#include <string.h>

#define FIRST    "5c0e7a21d94b3614"
#define SECOND   "5c0e7a21d94b3615"
#define TASKS    16
#define TASK_CPU 1000
#define CAP_CPU  16000
/* cap x (1 + quota_overshoot) and one task more. */
#define LIMIT_CPU (CAP_CPU * 11 / 10 + TASK_CPU)
#define JOB(work)                                                                                  \
  "{\"spec\":\"work_ms=" work "\",\"steps\":[{\"count\":16,\"cpu\":1000,\"mem_mb\":256,"           \
  "\"estimate_ms\":" work "}]}"
#define START_MS 5000
#define WAIT_MS  8000

/* Returns the most processors that the team had running right after a start. */
static uint32_t
_peak_cpu (void)
{
  g_autoptr (GArray) events = deployment_events ();
  uint32_t running = 0, peak = 0;

  for (guint i = 0; i < events->len; i++) {
    const DeploymentEvent *event = &g_array_index (events, DeploymentEvent, i);
    if (strcmp (event->event, "start") == 0)
      running += TASK_CPU;
    else if (strcmp (event->event, "end") == 0)
      running -= TASK_CPU;
    peak = MAX (peak, running);
  }
  return peak;
}

static uint32_t
_count_starts (const char *job)
{
  g_autoptr (GArray) events = deployment_events ();
  uint32_t count = 0;

  for (guint i = 0; i < events->len; i++) {
    const DeploymentEvent *event = &g_array_index (events, DeploymentEvent, i);
    count += strcmp (event->event, "start") == 0 && g_str_has_prefix (event->task, job) ? 1 : 0;
  }
  return count;
}

static bool
_wait_starts (const char *job, uint32_t count, int64_t time_ms)
{
  int64_t end_ms = deployment_now_ms () + time_ms;

  while (deployment_now_ms () < end_ms) {
    if (_count_starts (job) >= count)
      return true;
    deployment_sleep_ms (50);
  }
  return false;
}

int
main (void)
{
  int32_t leader;
  uint32_t node;
  CallReply reply;

  deployment_start (&(DeploymentDesc){ .folder = "review/14",
                                       .rack_count = 3,
                                       .rack_size = 8,
                                       .stop_ms = 900,
                                       .cap_cpu_milli = CAP_CPU });
  deployment_wait_ready ();
  leader = deployment_leader ();
  deployment_record ("the leader is node %d", leader);
  node = leader == 0 ? 1 : 0;
  deployment_call (node, "POST", FIRST, JOB ("30000"), &reply);
  if (leader < 0 || reply.status != 200 || !_wait_starts (FIRST, TASKS, START_MS))
    return deployment_finish (false) + DEPLOYMENT_CANT_RUN;
  deployment_call (node, "POST", SECOND, JOB ("3000"), &reply);
  deployment_sleep_ms (1000);
  deployment_call (node, "DELETE", FIRST, NULL, &reply);
  if (reply.status != 200)
    return deployment_finish (false) + DEPLOYMENT_CANT_RUN;
  if (deployment_has_trouble ())
    deployment_signal_node ((uint32_t)leader, SIGTERM);
  if (!_wait_starts (SECOND, TASKS, WAIT_MS))
    deployment_record ("only %u tasks of the second job have started", _count_starts (SECOND));
  deployment_sleep_ms (1000);
  deployment_record ("the team had at most %u running, cap %d, limit of the rule %d", _peak_cpu (),
                     CAP_CPU, LIMIT_CPU);
  return deployment_finish (_peak_cpu () > LIMIT_CPU);
}
