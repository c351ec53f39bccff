/* Several reducers joined by simulated messages, a simulated store, workers and callers, in
 * simulated time. Every event is drawn from one seeded queue, so a run is repeatable.
 *
 *   SimDeployment *sim = sim_new (&(SimDesc){ .seed = 7 });
 *   sim_run (sim, 5000);                     // milliseconds of simulated time
 *   sim_inject_fault (sim, SIM_FAULT_KILL, 0);
 *   sim_run (sim, 60000);
 *   g_assert_cmpstr (sim_violation (sim), ==, NULL);
 *   sim_free (sim);
 */
#pragma once

#include "vp-core.h"

#define SIM_MEMBERS_MAX 8
#define SIM_WORKERS_MAX 32

typedef struct {
  uint32_t seed;
  uint32_t dc_count;       /* 0: 2 */
  uint32_t worker_count;   /* a DC; 0: 3 */
  uint32_t requests_per_s; /* 0: 40 */
} SimDesc;

typedef enum {
  SIM_FAULT_KILL,               /* kill -9 and restart empty 2 s later */
  SIM_FAULT_PAUSE,              /* SIGSTOP for 8 s */
  SIM_FAULT_PARTITION_PEERS,    /* a member hears no other member */
  SIM_FAULT_PARTITION_OUTGOING, /* its messages to others are lost, theirs arrive */
  SIM_FAULT_PARTITION_STORE,    /* one member can't reach the store */
  SIM_FAULT_PARTITION_DC,       /* a whole DC from the others and the store */
  SIM_FAULT_STORE_DOWN,
  SIM_FAULT_STORE_SLOW,
  SIM_FAULT_STORE_STALE,         /* reads answer with the value before the last write */
  SIM_FAULT_STORE_LOSES_ANSWERS, /* answers to writes are lost after they took effect */
  SIM_FAULT_PARTITION_WORKER,    /* a worker can't be reached */
  SIM_FAULT_WORKER_RESTART,
  SIM_FAULT_WORKER_DELAYED, /* commands to a worker arrive seconds late */
  SIM_FAULT_WORKER_FAILS,   /* it fails everything */
  SIM_FAULT_WORKER_LEAVING, /* a worker leaves: listed after a lag */
  SIM_FAULT_SHUTDOWN,       /* graceful; restarted 5 s after it exited */
  SIM_FAULT_WITHDRAW_KEY,
  SIM_FAULT_RACING_OPERATORS,
  SIM_FAULT_LOWER_LIMIT,
  SIM_FAULT_CANCEL_TASKS,
  SIM_FAULT_COUNT,
} SimFault;

typedef struct _SimDeployment SimDeployment;

SimDeployment *sim_new (const SimDesc *desc);
void sim_free (SimDeployment *sim);
/* Advances simulated time by @span_ms. */
void sim_run (SimDeployment *sim, int64_t span_ms);
/* Brings about a fault now; it ends by itself. @target: member or worker, modulo their number. */
void sim_inject_fault (SimDeployment *sim, SimFault fault, uint32_t target);
/* Stops new requests, waits until every caller was told, and makes the checks of the end. */
void sim_finish (SimDeployment *sim);
/* The first violation seen, with its time; NULL if there is none. */
const char *sim_violation (const SimDeployment *sim);
uint32_t sim_random (SimDeployment *sim, uint32_t bound);
/* Requests that were answered with an outcome of the task, and all that were sent. */
uint32_t sim_done_count (const SimDeployment *sim);
uint32_t sim_sent_count (const SimDeployment *sim);
uint64_t sim_store_write_count (const SimDeployment *sim);
uint64_t sim_start_count (const SimDeployment *sim);
/* One line a class of request: sent, done, refused, unknown. For reports. */
void sim_print_summary (const SimDeployment *sim);
