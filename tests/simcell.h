/* A cell in simulated time: nodes, the platform's store, workers, advice and callers in one thread.
 *
 *   SimCell *sim = simcell_new (&(SimCellDesc){ .seed = 7, .node_count = 3, .worker_count = 4 });
 *   simcell_run (sim, 2000);                        // until there is a leader
 *   SimJobDesc desc = { .steps = 2, .width = 4, .work_ms = 300 };
 *   uint64_t job = simcell_submit (sim, 0, &desc);
 *   simcell_kill_node (sim, simcell_leader (sim), 500);
 *   simcell_run (sim, 10000);
 *   g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_COMPLETED);
 *   simcell_free (sim);                             // checks promises once more
 *
 * Promises are checked at each start: room, one run at a time, order of steps, no start after the
 * end or the cancel of a job was told. A violation ends the test with the seed and the time.
 */
#pragma once

#include "simcell-jobs.h"

#include "vp-node.h"

typedef struct _SimCell SimCell;

typedef struct {
  uint32_t seed;
  uint32_t node_count;
  uint32_t worker_count;
  bool has_advice;
  uint32_t attempts_max; /* 0: 3 */
  uint32_t strong_count; /* the first nodes have four times the processor time of the others */
  uint32_t dc_count;     /* nodes and workers take turns; 0: 1 */
} SimCellDesc;

SimCell *simcell_new (const SimCellDesc *desc);
void simcell_free (SimCell *sim);
int64_t simcell_now_ms (const SimCell *sim);
GRand *simcell_rand (SimCell *sim);
/* Runs for @span_ms. */
void simcell_run (SimCell *sim, int64_t span_ms);
/* Hands a job in at a node; returns its identity. Callers try again at other nodes as long as they
 * have no answer. */
uint64_t simcell_submit (SimCell *sim, uint32_t node, const SimJobDesc *desc);
void simcell_cancel (SimCell *sim, uint64_t id);
/* Whether a node has said that the job is accepted. */
bool simcell_is_job_accepted (const SimCell *sim, uint64_t id);
/* State as the leader tells it; VP_JOB_QUEUED without one. */
VpJobState simcell_job_state (SimCell *sim, uint64_t id);
/* Node that leads; the first if none does. */
uint32_t simcell_leader (const SimCell *sim);
bool simcell_has_leader (const SimCell *sim);
uint32_t simcell_node_dc (const SimCell *sim, uint32_t node);
/* Whether the balancer may send callers to the node. */
bool simcell_is_node_ready (const SimCell *sim, uint32_t node);

/* Faults, from now on. */
void simcell_kill_node (SimCell *sim, uint32_t node, int64_t for_ms);
void simcell_pause_node (SimCell *sim, uint32_t node, int64_t for_ms);
void simcell_stop_node (SimCell *sim,
                        uint32_t node,
                        int64_t for_ms); /* gracefully; starts again after */
/* No messages between the node and other nodes. */
void simcell_partition_node (SimCell *sim, uint32_t node, int64_t for_ms);
/* The DC's nodes and workers reach each other, but neither the others nor the store. */
void simcell_partition_dc (SimCell *sim, uint32_t dc, int64_t for_ms);
/* The store turns the node away, or all nodes and the workers with -1. Entries of workers that
 * can't renew them lapse; they are back up to 2 s after the worker reaches the store again. */
void simcell_disconnect_store (SimCell *sim, int32_t node, bool is_silent, int64_t for_ms);
/* The node finds the entries of all others gone from the store, once. */
void simcell_expire_members (SimCell *sim, uint32_t node);
/* A part of the store's writes is carried out without an answer, at once or 1 to 5 s later. */
void simcell_lose_write_results (SimCell *sim, double share, int64_t for_ms);
/* The worker's process ends and starts again under its identity. */
void simcell_crash_worker (SimCell *sim, uint32_t worker, int64_t for_ms);
/* The worker runs on, but no order reaches it. */
void simcell_partition_worker (SimCell *sim, uint32_t worker, int64_t for_ms);
/* The worker drains, and leaves after @for_ms. */
void simcell_drain_worker (SimCell *sim, uint32_t worker, int64_t for_ms);
/* A part of the orders gets no answer and is carried out 2 to 12 s later. */
void simcell_delay_commands (SimCell *sim, double share, int64_t for_ms);
/* Counts since the beginning. */
uint32_t simcell_start_count (const SimCell *sim);
uint32_t simcell_advice_request_count (const SimCell *sim);
