/* Case 13: the store carries out a write of the leader's entry late, and the entry is gone for
 * good. See claim.txt. */
#include "../standin-3/deployment.h"

#include <signal.h>

#define JOBS  DEPLOYMENT_NODES
#define JOB_F "5c0e7a21d94b362%u"
#define SPEC                                                                                       \
  "{\"spec\":\"work_ms=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,"                \
  "\"estimate_ms\":1000}]}"
#define DONE_MS      3000  /* until the jobs have ended */
#define LATE_MS      2500  /* of a late write; the pages name 1 to 6 s */
#define GONE_MS      9000  /* until all is settled after the kill */
#define GAP_MS       3000  /* between two restarts */
#define FINISH_MS    14000 /* finish_s */
#define CLIENT_TRIES 5     /* of a client, each at another node */

/* Asks for the job as a client whose first try goes to node @first, at ready nodes in turn. Returns
 * true if it gets an answer. */
static bool
_ask (const char *job, uint32_t first)
{
  uint32_t tries = 0;

  for (uint32_t i = 0; i < DEPLOYMENT_NODES && tries < CLIENT_TRIES; i++) {
    uint32_t node = (first + i) % DEPLOYMENT_NODES;
    CallReply reply;
    if (!deployment_is_ready (node))
      continue;
    tries++;
    deployment_call (node, "GET", job, NULL, &reply);
    if (reply.status == 200)
      return true;
  }
  return false;
}

static uint32_t
_count_unanswered (void)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < JOBS; i++) {
    g_autofree char *job = g_strdup_printf (JOB_F, i);
    count += _ask (job, i) ? 0 : 1;
  }
  return count;
}

int
main (void)
{
  uint32_t before, after;
  int32_t leader;

  deployment_start (
      &(DeploymentDesc){ .folder = "review/13", .rack_count = 4, .rack_size = 2, .stop_ms = 100 });
  deployment_wait_ready ();
  for (uint32_t i = 0; i < JOBS; i++) {
    g_autofree char *job = g_strdup_printf (JOB_F, i);
    CallReply reply;
    deployment_call_retrying ("POST", job, SPEC, CLIENT_TRIES, &reply);
    if (reply.status != 200)
      return deployment_finish (false) + DEPLOYMENT_CANT_RUN;
  }
  deployment_sleep_ms (DONE_MS);
  before = _count_unanswered ();
  leader = deployment_leader ();
  if (leader < 0 || before > 0)
    return deployment_finish (false) + DEPLOYMENT_CANT_RUN;
  if (deployment_has_trouble ())
    deployment_delay_entry ((uint32_t)leader, LATE_MS);
  for (uint32_t i = 0; i < DEPLOYMENT_NODES; i++)
    deployment_signal_node (i, SIGKILL);
  deployment_sleep_ms (GONE_MS);
  deployment_record ("node %d led before the kill, node %d leads; the entry of the first %s",
                     leader, deployment_leader (),
                     deployment_is_listed ((uint32_t)leader) ? "stands in the store" : "is gone");
  for (int32_t i = 0; i < DEPLOYMENT_NODES; i++) {
    if (i == leader)
      continue;
    deployment_signal_node ((uint32_t)i, SIGTERM);
    deployment_sleep_ms (GAP_MS);
  }
  deployment_sleep_ms (FINISH_MS);
  after = _count_unanswered ();
  deployment_record ("%u of %u jobs get no answer at %u ready nodes each; node %d leads, its entry"
                     " %s",
                     after, JOBS, CLIENT_TRIES, deployment_leader (),
                     deployment_is_listed ((uint32_t)leader) ? "stands" : "is gone");
  return deployment_finish (after > 0);
}
