/* Helpers that the tests of the simulated cell share.
 *
 *   SimCell *sim = _simcell_new_with_dcs (7);
 *   SimJobDesc desc = { .steps = 1, .width = 2, .work_ms = 300 };
 *   uint64_t job = simcell_submit (sim, 0, &desc);
 *   _assert_job_completes (sim, job, 2000);
 */
#pragma once

#include "simcell.h"

/* Six nodes and six workers in three DCs, with a leader. */
static inline SimCell *
_simcell_new_with_dcs (uint32_t seed)
{
  SimCell *sim = simcell_new (
      &(SimCellDesc){ .seed = seed, .node_count = 6, .worker_count = 6, .dc_count = 3 });

  simcell_run (sim, 2000);
  g_assert_true (simcell_has_leader (sim));
  return sim;
}

/* Asserts that the job is accepted and completes within @within_ms of simulated time. */
static inline void
_assert_job_completes (SimCell *sim, uint64_t job, int64_t within_ms)
{
  int64_t end_ms = simcell_now_ms (sim) + within_ms;

  while (simcell_now_ms (sim) < end_ms && simcell_job_state (sim, job) != VP_JOB_COMPLETED)
    simcell_run (sim, 50);
  g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_COMPLETED);
  g_assert_true (simcell_is_job_accepted (sim, job));
}

/* Gives the node a configuration with one public queue. */
static inline void
_configure (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpNodeEvent config = { .kind = VP_NODE_EVENT_CONFIG };
  VpQueueConfig queue = { .name = "q", .host = "host", .prefix = "/q/", .is_public = true };

  config.config.config = vp_cellconfig_new (1);
  config.config.text = g_bytes_new_static ("{}", 2);
  g_array_append_val (config.config.config->queues, queue);
  vp_cellconfig_seal (config.config.config);
  vp_node_apply (node, &config, now_ms, effects);
  vp_node_event_clear (&config);
}
