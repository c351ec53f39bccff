/* Stand-in of the platform's workers (PROTOCOL.md, "Running tasks" and "Service discovery").
 *
 * The text of a job tells how its tasks behave: words "ms=N" (duration of a run, 500), "until=T"
 * (the run ends soon after the Unix time T in ms), "fails=N" (the first N runs of each task end
 * `failed`), "save=N" (a checkpoint of N characters each second).
 */
#pragma once

#include "store.h"

#include <stdio.h>

typedef struct _Worker Worker;

typedef struct {
  const char *id;
  const char *kind;
  const char *rack;
  int64_t cpu_milli;
  int64_t hold_max_ms;
  Store *store;
  FILE *record;
} WorkerDesc;

/* Runs of all workers. */
typedef struct {
  uint32_t started;
  uint32_t done;
  uint32_t failed;
  uint32_t wrong_checkpoints; /* starts with a checkpoint that the task never had */
  uint32_t overlapping;       /* starts of a task of which another run exists */
} WorkerCounts;

Worker *worker_start (const WorkerDesc *desc);
/* The process ends at once, and starts again under its identity after @down_ms. With 0 it is lost
 * for good: the platform removes its entry after three heartbeat intervals. */
void worker_crash (Worker *worker, guint down_ms);
/* Runs there, of the job or of all if @job is NULL. */
guint worker_running_count (const Worker *worker, const char *job);
/* Ends in the list that the system hasn't taken note of for longer than @age_ms. */
guint worker_unseen_ends (const Worker *worker, int64_t age_ms);
const WorkerCounts *worker_counts (void);
/* Starts of tasks after a run of theirs has ended `done`, if that end is taken note of. */
uint32_t worker_starts_after_done (void);
/* Runs of the job's tasks that ended `failed`. */
uint32_t worker_failed_runs (const char *job);
/* Tasks of the job that have ended `done`. */
uint32_t worker_done_tasks (const char *job);
/* Runs of the job's tasks that were started. */
uint32_t worker_started_runs (const char *job);
