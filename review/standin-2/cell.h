/* A small deployment: processes of the system, the operator and clients.
 *
 * The processes run as the deploy file says. One that ends, or that the platform kills since it
 * exceeds its memory, starts again after a short delay (DEPLOY.md).
 */
#pragma once

#include "worker.h"

#define CELL_NODES       3
#define CELL_MEMORY_MB   260
#define CELL_CPU_MILLI   16000 /* of a worker */
#define CELL_VALUE_BYTES (1024 * 1024)

typedef struct _Cell Cell;

typedef enum {
  JOB_OPEN, /* no attempt was answered in time, or it is still being handed in */
  JOB_ACCEPTED,
  JOB_REJECTED, /* all attempts were answered by 429 or 503 */
} JobResult;

typedef struct {
  Cell *cell;
  char id[17];
  const char *prefix;
  const char *key;
  char *body;
  JobResult result;
  uint32_t tasks;    /* for the caller to set; 1 */
  int64_t cpu_milli; /* of a task; for the caller to set; 500 */
  uint32_t attempts;
  uint32_t unanswered;
  int64_t accepted_ms;
  bool is_cancelled; /* a client has sent its cancelling */
  uint32_t cancel_attempts;
  int64_t cancel_sent_ms;
  int64_t cancel_acked_ms; /* 0: not yet */
  char shown[16];          /* state in the last answer; "unknown" after 410; empty: no answer */
  uint32_t query_attempts;
  bool is_querying;
} Job;

typedef struct {
  guint worker_count;
  guint rack_size;
} CellDesc;

/* @folder is that of the case. Reads the program from the current folder, the repository's root. */
Cell *cell_start (const char *folder, const CellDesc *desc);
/* Ends the processes and removes the temporary folder. */
void cell_stop (Cell *cell);
/* Lets time pass. */
void cell_wait (int64_t wait_ms);
/* Waits until all processes are ready. Returns false if that takes too long. */
bool cell_wait_ready (Cell *cell);
/* Kills the process that last wrote to the store under a condition. */
void cell_kill_leader (Cell *cell);
/* Kills all processes at once; the platform starts them again. */
void cell_kill_all (Cell *cell);
/* Writes op/config with the queues of @queues, and a third tenant unless @tenant is NULL. */
void cell_configure (Cell *cell, const char *queues, const char *tenant);
Worker *cell_worker (const Cell *cell, guint index);
Store *cell_store (const Cell *cell);
FILE *cell_record (const Cell *cell);
/* Kills since the process had exceeded its memory, and other ends that the test didn't cause. */
uint32_t cell_memory_kills (const Cell *cell, guint node);
uint32_t cell_own_ends (const Cell *cell, guint node);

/* Hands a job in at one node after the other, up to five times. @body is complete JSON. */
Job *job_submit (Cell *cell, const char *prefix, const char *key, const char *body);
void job_query (Job *job);
void job_cancel (Job *job);
/* Asks for all accepted jobs, and again at other nodes for @wait_ms, until each is answered. */
void cell_query_all (Cell *cell, int64_t wait_ms);
GPtrArray *cell_jobs (Cell *cell);

#define KEY_A "6x73d3zji9n73hh2b9wu"
#define KEY_B "3fexd9dnn2ctnfzs989a"
#define KEY_C "9a2kd0wq4mx7hhz1bt5c"
