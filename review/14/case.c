/* Case 14: a run fails while the queue of its job is missing from the configuration. See claim.txt.
 */
#include "../standin-3/deployment.h"

#include <string.h>

#define JOB "5c0e7a21d94b3614"
#define SPEC                                                                                       \
  "{\"spec\":\"work_ms=3000 fails\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,"          \
  "\"estimate_ms\":3000}]}"
#define ATTEMPTS_MAX 3     /* max_attempts of the queue */
#define BEFORE_MS    500   /* from the acceptance to the change */
#define WITHOUT_MS   5000  /* until the queue is back */
#define FINISH_MS    14000 /* finish_s */

static uint32_t
_count_ends (const char *how)
{
  g_autoptr (GArray) events = deployment_events ();
  uint32_t count = 0;

  for (guint i = 0; i < events->len; i++) {
    const DeploymentEvent *event = &g_array_index (events, DeploymentEvent, i);
    count += strcmp (event->event, "end") == 0 && strcmp (event->how, how) == 0 ? 1 : 0;
  }
  return count;
}

int
main (void)
{
  g_autofree char *state = NULL;
  uint32_t failed_count;
  CallReply reply;

  deployment_start (
      &(DeploymentDesc){ .folder = "review/14", .rack_count = 4, .rack_size = 2, .stop_ms = 100 });
  deployment_wait_ready ();
  deployment_call_retrying ("POST", JOB, SPEC, 4, &reply);
  if (reply.status != 200)
    return deployment_finish (false) + DEPLOYMENT_CANT_RUN;
  deployment_sleep_ms (BEFORE_MS);
  if (deployment_has_trouble ())
    deployment_put_config (false);
  deployment_sleep_ms (WITHOUT_MS);
  if (deployment_has_trouble ())
    deployment_put_config (true);
  deployment_sleep_ms (FINISH_MS);
  deployment_call_retrying ("GET", JOB, NULL, 4, &reply);
  state = deployment_state (&reply);
  failed_count = _count_ends ("failed");
  deployment_record ("the job is shown as \"%s\", %u runs have ended failed, %u done", state,
                     failed_count, _count_ends ("done"));
  return deployment_finish (strcmp (state, "failed") == 0 && failed_count < ATTEMPTS_MAX);
}
