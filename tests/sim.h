/* A simulated deployment: several reducers (vp-core.h) that exchange simulated messages, with a
 * simulated store, workers, callers and operators, in simulated time. One seeded queue orders all
 * events, so a run is repeatable.
 *
 *   SimDeployment *sim = sim_new (&(SimDesc){ .seed = 7 });
 *   sim_run (sim, 5000);  // milliseconds of simulated time
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
  uint32_t worker_count;   /* workers in each DC; 0: 3 */
  uint32_t requests_per_s; /* average rate of new tasks; 0: 40 */
} SimDesc;

typedef enum {
  SIM_FAULT_KILL,               /* SIGKILL of a member, which restarts without state 2 s later */
  SIM_FAULT_PAUSE,              /* SIGSTOP of a member for 8 s */
  SIM_FAULT_PARTITION_PEERS,    /* a member and all others don't receive each other's messages */
  SIM_FAULT_PARTITION_OUTGOING, /* a member's messages to others are lost, theirs arrive */
  SIM_FAULT_PARTITION_STORE,    /* a member can't reach the store */
  SIM_FAULT_PARTITION_DC,       /* a DC can't reach the other DCs and the store */
  SIM_FAULT_STORE_DOWN,
  SIM_FAULT_STORE_SLOW,
  SIM_FAULT_STORE_STALE,         /* reads return the value before the last write */
  SIM_FAULT_STORE_LOSES_ANSWERS, /* half of the writes take effect without an answer */
  SIM_FAULT_PARTITION_WORKER,    /* members can't reach a worker */
  SIM_FAULT_WORKER_RESTART,      /* a worker loses its running tasks */
  SIM_FAULT_WORKER_DELAYED,      /* commands to a worker arrive seconds late */
  SIM_FAULT_WORKER_FAILS,        /* all tasks on a worker fail */
  SIM_FAULT_WORKER_LEAVING,      /* a worker leaves; the VM list shows it 1.5 s later */
  SIM_FAULT_SHUTDOWN,     /* graceful shutdown of a member, which restarts 5 s after it exited */
  SIM_FAULT_WITHDRAW_KEY, /* an operator withdraws the second key of a team */
  SIM_FAULT_RACING_OPERATORS, /* two operators submit changes of the same revision */
  SIM_FAULT_LOWER_LIMIT,      /* an operator lowers the limit of a team */
  SIM_FAULT_CANCEL_TASKS,     /* a caller cancels all open tasks of its team */
  SIM_FAULT_COUNT,
} SimFault;

typedef struct _SimDeployment SimDeployment;

SimDeployment *sim_new (const SimDesc *desc);
void sim_free (SimDeployment *sim);
/* Advances simulated time by @span_ms. */
void sim_run (SimDeployment *sim, int64_t span_ms);
/* Injects a fault now; it ends by itself. @target is the number of a member, worker or DC, taken
 * modulo their count. */
void sim_inject_fault (SimDeployment *sim, SimFault fault, uint32_t target);
/* Stops new requests, runs until every caller should have its answer, and makes the final checks.
 */
void sim_finish (SimDeployment *sim);
/* The first violation with its time; NULL if there is none. Its text begins with the number of the
 * property as in the scenarios of test-faults.c. Owned by @sim. */
const char *sim_violation (const SimDeployment *sim);
uint32_t sim_random (SimDeployment *sim, uint32_t bound);
/* Number of calls whose task was done, and of all calls that were sent. */
uint32_t sim_done_count (const SimDeployment *sim);
uint32_t sim_sent_count (const SimDeployment *sim);
uint64_t sim_store_write_count (const SimDeployment *sim);
uint64_t sim_start_count (const SimDeployment *sim);
/* Prints one line a class of request: calls sent, done, told that the task did not run, started. */
void sim_print_summary (const SimDeployment *sim);
