/* Case 14: a task goes on from a checkpoint that it never had. See claim.txt. */
#include "../standin-3/deployment.h"

#include <string.h>

#define JOB "5c0e7a21d94b3614"
#define SPEC                                                                                       \
  "{\"spec\":\"work_ms=8000 saves\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,"          \
  "\"estimate_ms\":8000,\"checkpointing\":true}]}"
#define CHECKPOINT_BYTES 100   /* as in the stand-in of the workers */
#define RUN_MS           3500  /* until the crash */
#define WAIT_MS          14000 /* for the next start */

/* Returns the worker of the last start, or -1. */
static int32_t
_last_worker (void)
{
  g_autoptr (GArray) events = deployment_events ();
  int32_t worker = -1;

  for (guint i = 0; i < events->len; i++) {
    const DeploymentEvent *event = &g_array_index (events, DeploymentEvent, i);
    if (strcmp (event->event, "start") == 0)
      worker = (int32_t)event->worker;
  }
  return worker;
}

/* Counts the starts with a checkpoint, and those with one that no run of the task has given. */
static uint32_t
_count_given (uint32_t *foreign)
{
  g_autoptr (GArray) events = deployment_events ();
  uint32_t count = 0;

  *foreign = 0;
  for (guint i = 0; i < events->len; i++) {
    const DeploymentEvent *event = &g_array_index (events, DeploymentEvent, i);
    if (strcmp (event->event, "given") != 0)
      continue;
    count++;
    if (strlen (event->how) != CHECKPOINT_BYTES || !g_str_has_prefix (event->how, event->task))
      (*foreign)++;
    deployment_record ("run %u starts with a checkpoint of %zu bytes: %s", event->run,
                       strlen (event->how), event->how);
  }
  return count;
}

int
main (void)
{
  uint32_t given, foreign;
  CallReply reply;

  deployment_start (
      &(DeploymentDesc){ .folder = "review/14", .rack_count = 4, .rack_size = 2, .stop_ms = 100 });
  deployment_wait_ready ();
  deployment_call_retrying ("POST", JOB, SPEC, 4, &reply);
  if (reply.status != 200)
    return deployment_finish (false) + DEPLOYMENT_CANT_RUN;
  deployment_sleep_ms (RUN_MS);
  if (_last_worker () < 0)
    return deployment_finish (false) + DEPLOYMENT_CANT_RUN;
  if (deployment_has_trouble ())
    deployment_kill_worker ((uint32_t)_last_worker ());
  deployment_sleep_ms (WAIT_MS);
  given = _count_given (&foreign);
  deployment_record ("%u starts had a checkpoint, %u of these one that the task never had", given,
                     foreign);
  return deployment_finish (foreign > 0);
}
