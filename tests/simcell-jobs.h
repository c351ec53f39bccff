/* Jobs as their callers know them, and the checks that each start of a task must pass. Used by the
 * simulated cell and by the soak test.
 *
 *   SimCellJobs jobs = { .seed = 7, .by_id = by_id, .workers = workers };
 *   simcell_jobs_advance_worker (&jobs, now_ms, worker);  // ends the runs that are due
 *   simcell_jobs_check_start (&jobs, now_ms, worker, &command);
 *   simcell_jobs_check_acked_ends (&jobs, now_ms, worker);
 *
 * A violated check ends the test; the message gives the seed and the time.
 */
#pragma once

#include "simcell-worker.h"

typedef struct {
  uint32_t steps; /* number of steps; each starts after the previous one has completed */
  uint32_t width; /* tasks in each step */
  int64_t work_ms;
  int64_t cpu_milli; /* of each task; 0: 1,000 */
  int64_t mem_mib;   /* of each task; 0: 1,024 */
  bool is_gang;
  bool is_long_running;
  double failing_share; /* fraction of the runs that fail, 0 to 1 */
  bool crashes_workers; /* task 0 of each step crashes each worker that starts it */
} SimJobDesc;

/* A job as its caller knows it. */
typedef struct {
  uint64_t id;
  SimJobDesc desc;
  VpJobSpec *spec;
  uint32_t node;
  uint64_t handle;
  bool is_accepted;
  bool is_rejected;        /* the job was rejected and no earlier request had an unknown outcome */
  bool is_outcome_unknown; /* a request had no answer, so the job may have been accepted */
  bool is_cancel_requested;
  bool is_cancelled;      /* a node has confirmed the cancel */
  int64_t cancelled_ms;   /* time of the first confirmation; 0: none */
  uint32_t cancel_node;   /* as @node and @handle, for the cancel */
  uint64_t cancel_handle; /* 0: no cancel waits for a reply */
  int64_t cancel_next_ms; /* time of the next cancel; INT64_MAX: none */
  int64_t next_attempt_ms;
  GHashTable *done;     /* names of the tasks that have ended as done */
  GHashTable *acked;    /* names of the done tasks whose end was acknowledged to the worker */
  GHashTable *started;  /* task name -> time of the last start, in ms after begin_ms */
  uint32_t crash_count; /* workers that its first task has crashed */
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
/* Checks a start that the worker has just carried out: the worker's capacity, one run of a task at
 * a time, the order of the steps, no start after an acknowledged end or a rejection, and at most
 * two starts of a task after it has crashed three workers. */
void simcell_jobs_check_start (const SimCellJobs *jobs,
                               int64_t now_ms,
                               const SimCellWorker *worker,
                               const VpCommand *command);
/* Checks that the job of a start that a worker has carried out at once wasn't cancelled long ago.
 */
void
simcell_jobs_check_cancelled (const SimCellJobs *jobs, int64_t now_ms, const VpCommand *command);
/* Number of runs of the job on all workers. */
uint32_t simcell_jobs_running_count (const SimCellJobs *jobs, uint64_t id);
/* Checks the ends that were acknowledged to the worker since the last call: the task must not have
 * been started after such an end. */
void simcell_jobs_check_acked_ends (const SimCellJobs *jobs, int64_t now_ms, SimCellWorker *worker);
/* Starts the work of a gang once all of its members are running with the same run number; until
 * then the members wait. */
void
simcell_jobs_start_gang_work (const SimCellJobs *jobs, int64_t now_ms, const VpCommand *command);
/* Ends the runs that are due on the worker. If a member of a gang ends, the other members end. */
void simcell_jobs_advance_worker (const SimCellJobs *jobs, int64_t now_ms, SimCellWorker *worker);
