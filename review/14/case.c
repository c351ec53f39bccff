/* Case 14: a job whose progress doesn't fit into a value of the store. See claim.txt. */
#include "../standin-3/deployment.h"

#include <string.h>

#define HEAVY       "5c0e7a21d94bff14"
#define HEAVY_STEPS 64
#define HEAVY_STEP                                                                                 \
  "{\"count\":4096,\"cpu\":8000,\"mem_mb\":64,\"estimate_ms\":4000,\"requirements\":\"r0\"}"
#define PLAIN_SPEC                                                                                 \
  "{\"spec\":\"work_ms=500\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,"                 \
  "\"estimate_ms\":500}]}"
#define PLAIN_JOBS  20
#define HEAVY_AFTER 3 /* plain jobs */
#define GAP_MS      1000
#define FIRST_MS    3000  /* from the submission to the first occurrence */
#define FINISH_MS   14000 /* finish_s */
#define ACK_MS      4000  /* ack_ms */

static char *
_heavy_spec (void)
{
  GString *text = g_string_new ("{\"spec\":\"work_ms=4000\",\"steps\":[");

  for (uint32_t i = 0; i < HEAVY_STEPS; i++)
    g_string_append_printf (text, "%s%s", i == 0 ? "" : ",", HEAVY_STEP);
  g_string_append_printf (text,
                          "],\"first_ms\":%" G_GINT64_FORMAT ",\"interval_ms\":1000,\"repeats\":2}",
                          deployment_now_ms () + FIRST_MS);
  return g_string_free (text, FALSE);
}

static char *
_plain_id (uint32_t number)
{
  return g_strdup_printf ("5c0e7a21d94b37%02x", number);
}

/* Returns the share of the ends that workers have listed for ACK_MS and that weren't taken note of.
 */
static double
_unseen_share (void)
{
  g_autoptr (GArray) events = deployment_events ();
  int64_t until_ms = deployment_now_ms () - ACK_MS;
  uint32_t ended = 0, unseen = 0;

  for (guint i = 0; i < events->len; i++) {
    const DeploymentEvent *event = &g_array_index (events, DeploymentEvent, i);
    if (event->at_ms > until_ms)
      break;
    if (strcmp (event->event, "end") == 0) {
      ended++;
      unseen++;
    } else if (strcmp (event->event, "seen") == 0) {
      unseen--;
    }
  }
  deployment_record ("%u ends were listed, %u of them weren't taken note of", ended, unseen);
  return ended == 0 ? 0 : (double)unseen / ended;
}

static uint32_t
_count_incomplete (const bool *is_accepted)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < PLAIN_JOBS; i++) {
    g_autofree char *job = _plain_id (i);
    g_autofree char *state = NULL;
    CallReply reply;
    if (!is_accepted[i])
      continue;
    deployment_call (i % DEPLOYMENT_NODES, "GET", job, NULL, &reply);
    state = deployment_state (&reply);
    count += strcmp (state, "completed") == 0 ? 0 : 1;
  }
  return count;
}

int
main (void)
{
  bool is_accepted[PLAIN_JOBS] = { false };
  uint32_t accepted_count = 0;
  double unseen_share;
  CallReply reply;

  deployment_start (
      &(DeploymentDesc){ .folder = "review/14", .rack_count = 3, .rack_size = 8, .stop_ms = 100 });
  deployment_wait_ready ();
  for (uint32_t i = 0; i < PLAIN_JOBS; i++) {
    g_autofree char *job = _plain_id (i);
    if (deployment_has_trouble () && i == HEAVY_AFTER) {
      g_autofree char *heavy = _heavy_spec ();
      deployment_call_retrying ("POST", HEAVY, heavy, 4, &reply);
    }
    deployment_call (i % DEPLOYMENT_NODES, "POST", job, PLAIN_SPEC, &reply);
    is_accepted[i] = reply.status == 200;
    accepted_count += is_accepted[i] ? 1 : 0;
    deployment_sleep_ms (GAP_MS);
  }
  deployment_sleep_ms (FINISH_MS);
  unseen_share = _unseen_share ();
  deployment_record ("%u of %d plain jobs were accepted, %u of these aren't shown as completed",
                     accepted_count, PLAIN_JOBS, _count_incomplete (is_accepted));
  return deployment_finish (unseen_share > 0.2);
}
