/* A worker of the simulated cell: runs under leases, fences, ends that wait to be acknowledged.
 *
 *   FakeWorker *worker = fake_worker_new ("w0", 16000, 32768);
 *   fake_worker_apply (worker, &order, now_ms, &result);
 *   fake_worker_advance (worker, now_ms);
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
} FakeRun;

/* An end as done that the worker was told to forget. */
typedef struct {
  VpTaskName task;
  int64_t ended_ms;
} FakeNoted;

typedef struct {
  VpWorkerEntry entry;
  bool is_up;
  uint32_t dc;
  bool is_listed;        /* the store holds its entry */
  int64_t entry_ends_ms; /* the entry lapses then unless it is renewed */
  int64_t renew_next_ms;
  int64_t cut_until_ms;
  int64_t leaves_ms; /* INT64_MAX: stays */
  int64_t up_ms;     /* a crashed one is up again then */
  uint64_t fence;
  int64_t lease_end_ms; /* on its own clock, which is the world's less @clock_zero_ms */
  int64_t clock_zero_ms;
  uint64_t last_end;
  GArray *runs;        /* FakeRun */
  GArray *ended;       /* VpEndedEntry */
  GArray *ended_at;    /* int64_t, one for each of @ended */
  GArray *noted;       /* FakeNoted, to be taken by the world */
  int64_t lapsed_ms;   /* last time that the lease was over */
  GHashTable *highest; /* task name -> highest run that was stopped or ended */
} FakeWorker;

/* What the world knows of a run that an order starts. */
typedef struct {
  int64_t work_ms; /* INT64_MAX: lasts */
  bool is_failing;
  VpResources size;
} FakeWork;

FakeWorker *fake_worker_new (uint32_t number, int64_t now_ms);
void fake_worker_free (FakeWorker *worker);
/* Carries @order out; @work is of the task of a START. True if a run was started by it. */
bool fake_worker_apply (FakeWorker *worker,
                        const VpCommand *command,
                        const FakeWork *work,
                        int64_t now_ms,
                        VpCommandResult *result);
/* Ends what is due. */
void fake_worker_advance (FakeWorker *worker, int64_t now_ms);
/* Next time at which something ends. */
int64_t fake_worker_next_ms (const FakeWorker *worker);
/* It loses all it runs and knows; it is up again at @up_ms. */
void fake_worker_crash (FakeWorker *worker, int64_t up_ms);
/* It starts again, with its clock at zero. */
void fake_worker_restart (FakeWorker *worker, int64_t now_ms);
VpResources fake_worker_used (const FakeWorker *worker);
