/* Jobs of the simulated cell as their callers know them, and the promises that each start is held
 * to.
 *
 *   SimCellJobs jobs = { .seed = 7, .by_id = by_id, .workers = workers };
 *   simcell_jobs_advance_worker (&jobs, worker, now_ms);            // ends what is due on a worker
 *   simcell_jobs_check_start (&jobs, worker, &command, now_ms);
 *   simcell_jobs_check_acked_ends (&jobs, worker, now_ms);
 *
 * A violation ends the test with the seed and the time.
 */
#pragma once

#include "simcell-worker.h"

typedef struct {
  uint32_t steps; /* each waits for the one before */
  uint32_t width; /* tasks of a step */
  int64_t work_ms;
  int64_t cpu_milli; /* 0: 1,000 */
  int64_t mem_mib;   /* 0: 1,024 */
  bool is_gang;
  bool is_long_running;
  double failing_share; /* of the runs */
} SimJobDesc;

/* A job as its caller knows it. */
typedef struct {
  uint64_t id;
  SimJobDesc desc;
  VpJobSpec *spec;
  uint32_t node;
  uint64_t handle;
  bool is_accepted;
  bool is_rejected;        /* all attempts were told that the job never runs */
  bool is_outcome_unknown; /* an attempt had no answer */
  bool is_cancel_requested;
  bool is_cancelled; /* told so */
  int64_t next_attempt_ms;
  GHashTable *done;    /* names of tasks that have ended as done */
  GHashTable *acked;   /* of those, the ones whose end a worker was told to forget */
  GHashTable *started; /* task name -> time of the last start in ms since the beginning */
} SimJob;

typedef struct {
  uint32_t seed;
  int64_t begin_ms;
  GHashTable *by_id;  /* job id -> SimJob */
  GPtrArray *workers; /* SimCellWorker */
} SimCellJobs;

SimJob *simcell_jobs_new (uint64_t id, const SimJobDesc *desc);
void simcell_jobs_free (gpointer data);
SimJob *simcell_jobs_find (const SimCellJobs *jobs, uint64_t id);
/* What the promises say of a start that the worker has just carried out. */
void simcell_jobs_check_start (const SimCellJobs *jobs,
                               int64_t now_ms,
                               const SimCellWorker *worker,
                               const VpCommand *command);
/* The same of ends that it was told to forget. */
void simcell_jobs_check_acked_ends (const SimCellJobs *jobs, int64_t now_ms, SimCellWorker *worker);
/* The members of a gang work from the moment when all of one run are there. */
void
simcell_jobs_start_gang_work (const SimCellJobs *jobs, int64_t now_ms, const VpCommand *command);
/* Ends what is due on the worker, and with a member of a gang the others. */
void simcell_jobs_advance_worker (const SimCellJobs *jobs, int64_t now_ms, SimCellWorker *worker);
