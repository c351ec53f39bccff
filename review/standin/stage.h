/* Stage of a review case: starts the daemons of the deploy file as separate processes beside
 * stand-ins for the platform's store, workers and callers, and records what these see.
 *
 *   stage_setup (&(StageDesc){ .node_count = 3, .worker_count = 8 }, argc, argv);
 *   stage_run (scenario);  // calls scenario() on a thread of its own; doesn't return
 *
 * The store, the workers and the supervision of the daemons run on the event loop of fake-http.h.
 * The scenario and callers run on other threads; they change the loop's state through stage_do().
 *
 * Environment: TROUBLE=0 leaves the disruption out. Arguments: the path of the record.
 */
#pragma once

#include "store.h"

#define STAGE_HOST     "stage.example"
#define STAGE_KEY      "stage-key"
#define STAGE_BODY_MAX 4096
/* Ports of the first worker and of the link to it. */
#define STAGE_WORKER_PORT 7300
#define STAGE_LINK_PORT   7400

typedef struct {
  uint32_t node_count;
  uint32_t worker_count;
  int64_t worker_cpu; /* thousandths of a core */
  int64_t worker_mem_mb;
  int64_t restart_ms; /* delay until the platform restarts a daemon that has ended */
} StageDesc;

typedef struct {
  uint32_t status;        /* 0: no complete response */
  uint32_t retry_after_s; /* 0: none */
  char body[STAGE_BODY_MAX];
} StageReply;

void stage_setup (const StageDesc *desc, int argc, char **argv);
/* Runs the event loop, and @scenario on another thread. Its return value is the exit status: 1 if
 * the rule was broken, 0 if it held, 2 if the case couldn't run. */
void stage_run (int (*scenario) (void)) G_GNUC_NORETURN;
bool stage_has_trouble (void);
/* Adds a line to the record. */
void stage_note (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Time in ms since stage_setup(). */
int64_t stage_elapsed_ms (void);
void stage_sleep_ms (int64_t duration_ms);
/* Calls @func on the event loop and waits for its return. */
void stage_do (void (*func) (void *data), void *data);
const StageDesc *stage_desc (void);
SoakStore *stage_store (void);
/* First three bytes of this run's IPv4 addresses, as "127.40.0". */
const char *stage_prefix (void);

/* Calls a daemon as a caller does. */
void stage_call (uint32_t node,
                 const char *method,
                 const char *path,
                 const char *body,
                 StageReply *reply);
/* Submits a job as a caller does: up to 5 attempts with the same identity, each at another node.
 * Returns the status of the last attempt. */
uint32_t stage_submit (const char *prefix, const char *id, const char *body, uint32_t first_node);
/* Asks for the state of a job, up to 3 times, each at another node. Returns the status of the last
 * attempt and copies the state, which is empty unless the status is 200. */
uint32_t stage_query (const char *prefix, const char *id, uint32_t first_node, char state[16]);

/* Waits until a daemon leads and all workers are known to it. Returns false after 30 s. */
bool stage_wait_ready (void);
/* Number of the daemon whose log shows the latest term, or -1. */
int32_t stage_leader (void);
/* Sends SIGKILL to the daemon, which starts again after the usual delay. */
void stage_kill_node (uint32_t node);
/* How often the daemon has ended by itself. */
uint32_t stage_own_exits (uint32_t node);

/* Stores a configuration with the routes and one tenant. @routes is a JSON array. */
void stage_put_config (uint32_t version, const char *routes);

/* Workers, see workers.c. Functions of the event loop's thread. */
void stage_workers_setup (void);
/* Decides what a run does: its duration, and whether it fails. */
typedef struct {
  int64_t work_ms;
  bool is_failing;
} StageWork;
typedef StageWork (*StageWorkFunc) (const char *task, uint32_t run, const char *spec);
void stage_workers_set_work (StageWorkFunc func);
/* Length of the checkpoints that runs write each 500 ms; 0: none. */
void stage_workers_set_checkpoint_size (uint32_t size);
/* The worker's process is killed: its connections are reset. It starts again under its identity
 * after @down_ms. */
void stage_worker_crash (uint32_t number, int64_t down_ms);
/* The worker's process fails whenever it starts: it starts again @count times, each @down_ms after
 * the last end, and ends @up_ms after it has registered. Then it is gone for good. */
void stage_worker_crash_loop (uint32_t number, uint32_t count, int64_t down_ms, int64_t up_ms);
/* The worker's machine loses power: it is silent. It starts again under its identity after
 * @down_ms. Connections of before stay silent, and are reset when something arrives on them. */
void stage_worker_lose_power (uint32_t number, int64_t down_ms);
uint32_t stage_worker_running_count (uint32_t number);
uint32_t stage_worker_unseen_end_count (uint32_t number);
/* True if the task of the job has a run on the worker. */
bool stage_worker_runs_task (uint32_t number, const char *task);
/* Number of runs of the task that have ended as @how. */
uint32_t stage_end_count (const char *task, const char *how);
/* Checks the rule TWICE on all that was recorded, and notes each violation. Returns how many there
 * are. */
uint32_t stage_check_twice (void);
/* Number of starts whose checkpoint no run of the task had written. */
uint32_t stage_foreign_checkpoint_count (void);
uint32_t stage_start_count (void);
