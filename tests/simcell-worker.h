/* A worker of the simulated cell: runs under leases, fences, ends that wait to be acknowledged.
 *
 *   SimCellWorker *worker = simcell_worker_new ("w0", 16000, 32768);
 *   simcell_worker_apply_command (worker, &command, now_ms, &result);
 *   simcell_worker_advance (worker, now_ms);
 */
#pragma once

#include "vp-command.h"
#include "vp-workerlist.h"

typedef struct {
  VpTaskName task;
  uint32_t run;
  int64_t ends_ms; /* INT64_MAX: lasts */
  int64_t stop_ms; /* it stops at this time; INT64_MAX: not asked to */
  bool is_failing;
  VpResources size;
} SimCellRun;

/* An end as done that the worker was told to forget. */
typedef struct {
  VpTaskName task;
  int64_t ended_ms;
} SimCellAckedEnd;

typedef struct {
  VpWorkerEntry entry;
  bool is_up;
  uint32_t dc;
  bool is_listed;           /* the store holds its entry */
  int64_t entry_expires_ms; /* the entry lapses then unless it is renewed */
  int64_t entry_renewal_ms;
  int64_t partitioned_until_ms;
  int64_t leaves_ms;  /* INT64_MAX: stays */
  int64_t restart_ms; /* a crashed one is up again then */
  uint64_t fence;
  int64_t lease_end_ms; /* on its own clock, which is the world's less @clock_zero_ms */
  int64_t clock_zero_ms;
  uint64_t last_end;
  GArray *runs;             /* SimCellRun */
  GArray *ended;            /* VpEndedEntry */
  GArray *ended_times_ms;   /* int64_t, one for each of @ended */
  GArray *acked;            /* SimCellAckedEnd, to be taken by the world */
  int64_t last_lapsed_ms;   /* last time that the lease was over */
  GHashTable *highest_runs; /* task name -> highest run that was stopped or ended */
} SimCellWorker;

/* What the world knows of a run that an order starts. */
typedef struct {
  int64_t work_ms; /* INT64_MAX: lasts */
  bool is_failing;
  VpResources size;
} SimCellRunDesc;

SimCellWorker *simcell_worker_new (uint32_t number, int64_t now_ms);
void simcell_worker_free (SimCellWorker *worker);
/* Carries @order out; @work is of the task of a START. True if a run was started by it. */
bool simcell_worker_apply_command (SimCellWorker *worker,
                                   const VpCommand *command,
                                   const SimCellRunDesc *work,
                                   int64_t now_ms,
                                   VpCommandResult *result);
/* Ends what is due. */
void simcell_worker_advance (SimCellWorker *worker, int64_t now_ms);
/* Next time at which something ends. */
int64_t simcell_worker_next_ms (const SimCellWorker *worker);
/* It loses all it runs and knows; it is up again at @restart_ms. */
void simcell_worker_crash (SimCellWorker *worker, int64_t restart_ms);
/* It starts again, with its clock at zero. */
void simcell_worker_restart (SimCellWorker *worker, int64_t now_ms);
VpResources simcell_worker_used_resources (const SimCellWorker *worker);
