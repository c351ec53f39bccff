/* Jobs of the simulated cell as their callers know them, and the promises that each start is held
 * to.
 *
 *   WorldJobs jobs = { .seed = 7, .by_id = by_id, .workers = workers };
 *   world_jobs_advance (&jobs, worker, now_ms);            // ends what is due on a worker
 *   world_jobs_check_start (&jobs, worker, &order, now_ms);
 *   world_jobs_check_noted (&jobs, worker, now_ms);
 *
 * A violation ends the test with the seed and the time.
 */
#pragma once

#include "world-worker.h"

typedef struct {
  uint32_t steps; /* each waits for the one before */
  uint32_t width; /* tasks of a step */
  int64_t work_ms;
  int64_t cpu_milli; /* 0: 1,000 */
  int64_t mem_mib;   /* 0: 1,024 */
  bool is_gang;
  bool is_long_running;
  double failing_share; /* of the runs */
} WorldJob;

/* A job as its caller knows it. */
typedef struct {
  uint64_t id;
  WorldJob shape;
  VpJobSpec *spec;
  uint32_t node;
  uint64_t handle;
  bool is_accepted;
  bool is_refused;   /* all attempts were told that the job never runs */
  bool is_uncertain; /* an attempt had no answer */
  bool is_cancel_wanted;
  bool is_cancelled; /* told so */
  int64_t next_try_ms;
  GHashTable *done;    /* names of tasks that have ended as done */
  GHashTable *noted;   /* of those, the ones whose end a worker was told to forget */
  GHashTable *started; /* task name -> time of the last start in ms since the beginning */
} WorldCallerJob;

typedef struct {
  uint32_t seed;
  int64_t begin_ms;
  GHashTable *by_id;  /* job id -> WorldCallerJob */
  GPtrArray *workers; /* FakeWorker */
} WorldJobs;

WorldCallerJob *world_jobs_new (uint64_t id, const WorldJob *shape);
void world_jobs_free (gpointer data);
WorldCallerJob *world_jobs_find (const WorldJobs *jobs, uint64_t id);
/* What the promises say of a start that the worker has just carried out. */
void world_jobs_check_start (const WorldJobs *jobs,
                             int64_t now_ms,
                             const FakeWorker *worker,
                             const VpCommand *command);
/* The same of ends that it was told to forget. */
void world_jobs_check_noted (const WorldJobs *jobs, int64_t now_ms, FakeWorker *worker);
/* The members of a gang work from the moment when all of one run are there. */
void world_jobs_begin_gang (const WorldJobs *jobs, int64_t now_ms, const VpCommand *command);
/* Ends what is due on the worker, and with a member of a gang the others. */
void world_jobs_advance (const WorldJobs *jobs, int64_t now_ms, FakeWorker *worker);
