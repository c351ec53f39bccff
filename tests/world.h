/* A cell in simulated time: nodes, the platform's store, workers, advice and callers in one thread.
 *
 *   World *world = world_new (&(WorldDesc){ .seed = 7, .node_count = 3, .worker_count = 4 });
 *   world_run (world, 2000);                        // until there is a leader
 *   uint64_t job = world_submit (world, 0, &(WorldJob){ .steps = 2, .width = 4, .work_ms = 300 });
 *   world_kill (world, world_leader (world), 500);
 *   world_run (world, 10000);
 *   g_assert_cmpint (world_state (world, job), ==, VP_JOB_COMPLETED);
 *   world_free (world);                             // checks promises once more
 *
 * Promises are checked at each start: room, one run at a time, order of steps, no start after the
 * end or the cancel of a job was told. A violation ends the test with the seed and the time.
 */
#pragma once

#include "world-jobs.h"

#include "vp-node.h"

typedef struct _World World;

typedef struct {
  uint32_t seed;
  uint32_t node_count;
  uint32_t worker_count;
  bool has_advice;
  uint32_t attempts_max; /* 0: 3 */
  uint32_t strong_count; /* the first nodes have four times the processor time of the others */
  uint32_t dc_count;     /* nodes and workers take turns; 0: 1 */
} WorldDesc;

World *world_new (const WorldDesc *desc);
void world_free (World *world);
int64_t world_now_ms (const World *world);
GRand *world_rand (World *world);
/* Runs for @span_ms. */
void world_run (World *world, int64_t span_ms);
/* Hands a job in at a node; returns its identity. Callers try again at other nodes as long as they
 * have no answer. */
uint64_t world_submit (World *world, uint32_t node, const WorldJob *shape);
void world_cancel (World *world, uint64_t id);
/* Whether a node has said that the job is accepted. */
bool world_is_accepted (const World *world, uint64_t id);
/* State as the leader tells it; VP_JOB_QUEUED without one. */
VpJobState world_state (World *world, uint64_t id);
/* Node that leads; the first if none does. */
uint32_t world_leader (const World *world);
bool world_has_leader (const World *world);
uint32_t world_dc (const World *world, uint32_t node);
/* Whether the balancer may send callers to the node. */
bool world_is_ready (const World *world, uint32_t node);

/* Faults, from now on. */
void world_kill (World *world, uint32_t node, int64_t for_ms);
void world_freeze (World *world, uint32_t node, int64_t for_ms);
void world_stop (World *world, uint32_t node, int64_t for_ms); /* gracefully; starts again after */
/* No messages between the node and other nodes. */
void world_cut (World *world, uint32_t node, int64_t for_ms);
/* The DC's nodes and workers reach each other, but neither the others nor the store. */
void world_dc_cut (World *world, uint32_t dc, int64_t for_ms);
/* The store turns the node away, or all nodes and the workers with -1. Entries of workers that
 * can't renew them lapse; they are back up to 2 s after the worker reaches the store again. */
void world_store_down (World *world, int32_t node, bool is_silent, int64_t for_ms);
/* The node finds the entries of all others gone from the store, once. */
void world_members_lapse (World *world, uint32_t node);
/* A part of the store's writes is carried out without an answer, at once or 1 to 5 s later. */
void world_store_lossy (World *world, double share, int64_t for_ms);
/* The worker's process ends and starts again under its identity. */
void world_worker_crash (World *world, uint32_t worker, int64_t for_ms);
/* The worker runs on, but no order reaches it. */
void world_worker_cut (World *world, uint32_t worker, int64_t for_ms);
/* The worker drains, and leaves after @for_ms. */
void world_worker_drain (World *world, uint32_t worker, int64_t for_ms);
/* A part of the orders gets no answer and is carried out 2 to 12 s later. */
void world_delay_commands (World *world, double share, int64_t for_ms);
/* Counts since the beginning. */
uint32_t world_starts (const World *world);
uint32_t world_advice_request_count (const World *world);
