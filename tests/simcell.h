/* A simulated cell: nodes, the platform's store, workers, advice and callers run in one thread and
 * in simulated time.
 *
 *   SimCell *sim = simcell_new (&(SimCellDesc){ .seed = 7, .node_count = 3, .worker_count = 4 });
 *   simcell_run (sim, 2000);  // long enough to elect a leader
 *   SimJobDesc desc = { .steps = 2, .width = 4, .work_ms = 300 };
 *   uint64_t job = simcell_submit (sim, 0, &desc);
 *   simcell_kill_node (sim, simcell_leader (sim), 500);
 *   simcell_run (sim, 10000);
 *   g_assert_cmpint (simcell_job_state (sim, job), ==, VP_JOB_COMPLETED);
 *   simcell_free (sim);
 *
 * Each start of a task is checked as simcell_jobs_check_start() describes, and against the rule of
 * simcell-evacuations.h. A violation ends the
 * test; the message gives the seed and the time.
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
  uint32_t attempts_max;   /* runs of a task before its job fails; 0: 3 */
  uint32_t high_cpu_count; /* this many of the first nodes have four times the CPU of the others */
  uint32_t cpu_milli;      /* CPU share of the VMs of nodes; 0: 125 */
  uint32_t dc_count;       /* nodes and workers are spread over the DCs by their numbers; 0: 1 */
  bool has_evacuations;    /* nodes are told of evacuations, and starts are checked for them */
  int64_t evacuations_delay_ms; /* additional time until a node is told */
} SimCellDesc;

SimCell *simcell_new (const SimCellDesc *desc);
void simcell_free (SimCell *sim);
int64_t simcell_now_ms (const SimCell *sim);
GRand *simcell_rand (SimCell *sim);
/* Advances simulated time by @span_ms. */
void simcell_run (SimCell *sim, int64_t span_ms);
/* Submits a job, first to @node; returns its identity. The caller retries at the other nodes until
 * it has an answer. */
uint64_t simcell_submit (SimCell *sim, uint32_t node, const SimJobDesc *desc);
/* Cancels the job after @delay_ms, whether or not its submission was answered or sent, first at the
 * node after the one that it is submitted to. The caller retries until it has an answer. */
void simcell_cancel (SimCell *sim, uint64_t id, int64_t delay_ms);
/* Whether a node has confirmed to the caller that the job is accepted. */
bool simcell_is_job_accepted (const SimCell *sim, uint64_t id);
/* Whether a node has confirmed to the caller that the job is cancelled. */
bool simcell_is_job_cancelled (const SimCell *sim, uint64_t id);
/* Number of tasks of the job that run. */
uint32_t simcell_running_count (const SimCell *sim, uint64_t id);
/* State of the job at the leader; VP_JOB_QUEUED if there is no leader or it doesn't know the job.
 */
VpJobState simcell_job_state (SimCell *sim, uint64_t id);
/* Node that the leader record in the store names; 0 without a record. */
uint32_t simcell_leader (const SimCell *sim);
bool simcell_has_leader (const SimCell *sim);
uint32_t simcell_node_dc (const SimCell *sim, uint32_t node);
/* Whether the node tells the load balancer that it is ready for callers. */
bool simcell_is_node_ready (const SimCell *sim, uint32_t node);

/* Whether nodes that start can read no configuration. Those that run get it when that ends. */
void simcell_hide_config (SimCell *sim, bool is_hidden);
/* Writes the next configuration, in which the queue has @attempts_max, or is missing with 0. */
void simcell_set_queue (SimCell *sim, uint32_t attempts_max);
/* Gives the configuration to one node that runs. */
void simcell_give_config (SimCell *sim, uint32_t node);

/* Faults. They begin now and end after @for_ms. */
void simcell_kill_node (SimCell *sim, uint32_t node, int64_t for_ms);
void simcell_pause_node (SimCell *sim, uint32_t node, int64_t for_ms);
/* The node shuts down gracefully and starts again right after it has exited; @for_ms is ignored. */
void simcell_stop_node (SimCell *sim, uint32_t node, int64_t for_ms);
/* Messages between the node and all other nodes are lost. */
void simcell_partition_node (SimCell *sim, uint32_t node, int64_t for_ms);
/* The DC's nodes and workers reach each other, but neither other DCs nor the store. */
void simcell_partition_dc (SimCell *sim, uint32_t dc, int64_t for_ms);
/* The store is unavailable to @node, or to all nodes and workers if @node is -1; requests time out
 * if @is_silent and are refused otherwise. The entry of a worker that can't renew it expires; the
 * worker writes it again up to 2 s after it reaches the store. */
void simcell_disconnect_store (SimCell *sim, int32_t node, bool is_silent, int64_t for_ms);
/* The node takes @event_ms for each event, so that events wait in its queue. */
void simcell_slow_node (SimCell *sim, uint32_t node, int64_t event_ms, int64_t for_ms);
/* Messages from and to the node take up to @delay_ms longer, but keep their order. */
void simcell_delay_messages (SimCell *sim, uint32_t node, int64_t delay_ms, int64_t for_ms);
/* The node is told once that the entries of all other nodes are gone from the store. */
void simcell_expire_members (SimCell *sim, uint32_t node);
/* The answers to @share (0 to 1) of the store's writes are lost; these writes are carried out at
 * once or 1 to 5 s later. */
void simcell_lose_write_results (SimCell *sim, double share, int64_t for_ms);
/* The worker's process crashes and starts again with the same identity after @for_ms. */
void simcell_crash_worker (SimCell *sim, uint32_t worker, int64_t for_ms);
/* The worker runs on, but commands don't reach it. */
void simcell_partition_worker (SimCell *sim, uint32_t worker, int64_t for_ms);
/* The worker drains, and leaves the cell after @for_ms. */
void simcell_drain_worker (SimCell *sim, uint32_t worker, int64_t for_ms);
/* @share (0 to 1) of the START, STOP and THROTTLE commands get no answer and are carried out 2 to
 * 12 s later. */
void simcell_delay_commands (SimCell *sim, double share, int64_t for_ms);
/* Requests the evacuation of the DC, or withdraws it. */
void simcell_evacuate_dc (SimCell *sim, uint32_t dc, bool is_on);
/* Number of runs that were started on the DC's workers since simcell_new(). */
uint32_t simcell_dc_start_count (const SimCell *sim, uint32_t dc);
/* Number of runs on the DC's workers. */
uint32_t simcell_dc_running_count (const SimCell *sim, uint32_t dc);
/* Runs started and requests for advice since simcell_new(). */
uint32_t simcell_start_count (const SimCell *sim);
uint32_t simcell_advice_request_count (const SimCell *sim);
