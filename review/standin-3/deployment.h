/* A small deployment for the cases: the stand-ins "store" and "worker" and the nodes of the
 * project, as processes on addresses 127.X.Y.Z of its own. One thread watches the nodes as the
 * platform does: one that uses more than its memory is killed, and one that has ended is started
 * again after a short time.
 *
 *   deployment_start (&(DeploymentDesc){ .rack_count = 6, .rack_size = 8 });
 *   deployment_wait_ready ();
 *   ... deployment_call(), deployment_kill_worker() ...
 *   return deployment_finish (is_broken);         // the exit code
 *
 * The program must run in the root of the repository. It writes what it sees to record.txt in the
 * folder of the case, and exits with DEPLOYMENT_CANT_RUN if something of its own fails.
 */
#pragma once

#include "call.h"

#include <glib.h>

#define DEPLOYMENT_NODES     6
#define DEPLOYMENT_CANT_RUN  2
#define DEPLOYMENT_HOST      "desk.example"
#define DEPLOYMENT_PREFIX    "/batch/"
#define DEPLOYMENT_KEY       "key-of-the-team"
#define DEPLOYMENT_MEMORY_MB 260 /* memory_mb of the users' machines */

typedef struct {
  const char *folder; /* of the case, below the root of the repository */
  uint32_t rack_count;
  uint32_t rack_size;
  int64_t worker_cpu_milli; /* 0: 16,000 */
  int64_t worker_mem_mib;   /* 0: 32,768 */
  int64_t stop_ms;          /* time that a worker takes for a stop */
} DeploymentDesc;

typedef struct {
  uint32_t starts; /* of the process */
  uint32_t ends;   /* times that it ended by itself, or was killed for its memory */
  uint64_t peak_mb;
} DeploymentNode;

void deployment_start (const DeploymentDesc *desc);
/* Lets the operator write the next version of the configuration, with or without the queue. */
void deployment_put_config (bool has_queue);
/* Waits until all nodes are ready and the workers had the time to be listed. */
void deployment_wait_ready (void);
/* Returns true unless the case runs without its disruption. */
bool deployment_has_trouble (void);
/* Adds a line with the time to record.txt. */
void deployment_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Unix time in ms. */
int64_t deployment_now_ms (void);
void deployment_sleep_ms (int64_t time_ms);

/* Calls METHOD PREFIX + JOB on the node, and records the call and its answer. */
void deployment_call (uint32_t node,
                      const char *method,
                      const char *job,
                      const char *body,
                      CallReply *out);
/* The same without a record, from any thread. */
void deployment_call_quietly (uint32_t node,
                              const char *method,
                              const char *job,
                              const char *body,
                              CallReply *out);
/* The same as deployment_call() on the nodes in turn as a client would, with up to @tries tries,
 * until the answer is final. */
void deployment_call_retrying (const char *method,
                               const char *job,
                               const char *body,
                               uint32_t tries,
                               CallReply *out);
/* Returns the state in an answer, or "" if there is none. To be freed by the caller. */
char *deployment_state (const CallReply *reply);

uint32_t deployment_worker_count (void);
/* Returns the rack of the worker, "r0" and so on. */
const char *deployment_worker_rack (uint32_t worker);
/* Kills the process of the worker. */
void deployment_kill_worker (uint32_t worker);
/* Starts the worker again, as another one at the same address. */
void deployment_restart_worker (uint32_t worker);

/* Makes the worker answer starts with 503 from now on, or carry them out again. */
void deployment_toggle_unhealthy (uint32_t worker);

/* A line of the workers' log. */
typedef struct {
  int64_t at_ms;
  uint32_t worker;
  char event[8]; /* "start", "stop", "end", "seen" or "given" */
  char task[64]; /* ID.K.STEP.INDEX */
  uint32_t run;
  char how[128]; /* how a run has ended, or its checkpoint */
} DeploymentEvent;

/* Returns all events so far, in the order of their time, as DeploymentEvent. */
GArray *deployment_events (void);

DeploymentNode deployment_node (uint32_t node);
/* Sends the signal to the process of the node. */
void deployment_signal_node (uint32_t node, int signal_number);
/* Lets the store carry out the next write of the node's own entry @late_ms later, without an answer
 * until then. */
void deployment_delay_entry (uint32_t node, int64_t late_ms);
/* Returns true if the node says that it is ready. */
bool deployment_is_ready (uint32_t node);
/* Returns true if the store's list of members has the node. */
bool deployment_is_listed (uint32_t node);
/* Returns the node that leads, as its metrics say, or -1. */
int32_t deployment_leader (void);

/* Ends all processes, completes record.txt and returns the exit code of the case. */
int deployment_finish (bool is_broken);
