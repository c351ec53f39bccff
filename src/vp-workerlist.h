/* Workers of a cell as the scheduler sees them: room, contact, leases and health.
 *
 *   VpWorkerList *roster = vp_workerlist_setup (hold_max_ms, now_ms);
 *   VpCellWorker *worker = vp_workerlist_update (roster, &entry);
 *   vp_workerlist_note_answer (roster, worker, clock_ms, received_ms);   // any answer with a clock
 *   if (vp_workerlist_is_lease_expired (roster, worker, now_ms))
 *     ... nothing can run there any more ...
 *   vp_workerlist_shutdown (roster);
 *
 * No I/O. A worker is one life of a VM; its identity is new after most restarts, and its birth time
 * after all of them.
 */
#pragma once

#include "vp-command.h"
#include "vp-jobspec.h"

/* A worker's clock may be this much slower than ours, in thousandths (platform). */
#define VP_WORKERLIST_CLOCK_SLOW_MILLI 20
/* Added to the end of a lease before its tasks are taken as killed: rounding to milliseconds and
 * the kill itself. */
#define VP_WORKERLIST_EXPIRY_MARGIN_MS 100

/* A scheduler that can't confirm that it still leads renews leases and starts tasks for this long;
 * the next scheduler relies on that. */
#define VP_WORKERLIST_UNCONFIRMED_MS 2000

/* What a worker tells of itself in the platform's list. */
typedef struct {
  char id[VP_NAME_MAX];
  char address[VP_ADDRESS_MAX];
  char service[VP_NAME_MAX];
  char dc[VP_NAME_MAX];
  char kind[VP_LABEL_MAX];
  char rack[VP_LABEL_MAX];
  VpSize capacity;
  bool is_draining;
  int64_t remaining_ms; /* while it drains: least time that is left; -1: not told */
  int64_t booted_ms;    /* Unix time of its start; 0: not told */
  int64_t slow_ms;      /* it still warms up for this long */
} VpWorkerEntry;

typedef struct {
  VpWorkerEntry entry;
  uint32_t rack_index;           /* equal for workers of one rack */
  VpSize used;                   /* committed, also by what is being stopped */
  int64_t best_effort_cpu_milli; /* wanted by tasks that use what is left */
  uint32_t best_effort_count;
  uint32_t latency_target_count; /* lasting tasks with a response time target */
  GHashTable *tasks;             /* committed tasks, by address */
  uint32_t unknown_run_count;    /* listed runs that no known task accounts for */
  bool is_listed;                /* in the platform's list now */
  bool was_listed;               /* now or before, in this scheduler's time */
  bool is_placement_blocked;     /* a later scheduler would not know of it yet: gets no work */
  bool is_stored_active;         /* kept as one that may get work that isn't kept first */
  bool is_staged_active;         /* the commit under way keeps it so */
  bool is_unverified;     /* an earlier scheduler may have started there what it didn't keep */
  bool is_replaced;       /* another life has its address: nothing of this one runs */
  bool is_synced;         /* its runs are known since this scheduler took over */
  bool is_reachable;      /* the last call was answered */
  bool is_dc_unreachable; /* its whole DC leaves orders unanswered */
  int64_t booted_ms;      /* of the life that was last heard; 0: none */
  int64_t clock_ms;       /* worker's clock, as told in an answer received at ... */
  int64_t clock_at_ms;    /* ... this time; 0: never heard */
  int64_t lease_end_ms;   /* latest lease that was ordered, on its clock */
  bool is_hold_pending;   /* a HOLD is under way */
  int64_t hold_next_ms;   /* earliest time of the next HOLD */
  int64_t last_answer_ms; /* last answer */
  int64_t
      address_changed_ms;    /* its address changed; answers to earlier orders tell nothing of it */
  uint64_t last_end_seen;             /* highest end that was taken note of */
  uint64_t last_end_staged;  /* covered by the commit under way */
  uint64_t last_end_durable; /* may be forgotten by the worker */
  double slowness;           /* time that its tasks take against those of the same step elsewhere */
  uint64_t last_failed_job;  /* health: failures of different jobs since the last success */
  uint32_t failed_jobs;
  uint32_t failed_runs;
  uint32_t quarantine_level;    /* times that it was put aside in a row */
  int64_t avoid_until_ms;       /* gets no work before */
  uint32_t slot_index;          /* in the newest pool of its service, see vp-place.h */
  int64_t throttled_ms;         /* last change of pace */
  uint32_t throttle_percent;    /* of the tasks that use what is left */
  int64_t over_target_since_ms; /* a serving task has been near or over its target since; 0: none */
} VpCellWorker;

typedef struct {
  GHashTable *by_id;  /* id -> VpCellWorker */
  GPtrArray *workers; /* VpCellWorker, in order of first appearance */
  GHashTable *racks;  /* "dc/rack" -> index + 1 */
  int64_t hold_max_ms;
  int64_t inherited_until_ms; /* all leases that an earlier scheduler ordered are over after this */
  bool is_changed;            /* since it was last kept */
} VpWorkerList;

/* @now_ms: earlier schedulers have lost their place by then. */
VpWorkerList *vp_workerlist_setup (int64_t hold_max_ms, int64_t now_ms);
void vp_workerlist_shutdown (VpWorkerList *worker_list);
/* Adds a worker or takes over what its entry says now. */
VpCellWorker *vp_workerlist_update (VpWorkerList *worker_list, const VpWorkerEntry *entry);
/* Adds a worker that an earlier scheduler used, unless it is known. Only the identity, the address
 * and the DC of @entry are needed; it gets no work until the platform lists it. */
VpCellWorker *vp_workerlist_add (VpWorkerList *worker_list, const VpWorkerEntry *entry);
VpCellWorker *vp_workerlist_find (const VpWorkerList *worker_list, const char *id);
/* The worker must have no tasks. */
void vp_workerlist_remove (VpWorkerList *worker_list, VpCellWorker *worker);
/* Notes the worker's clock. */
void vp_workerlist_note_answer (const VpWorkerList *worker_list,
                                VpCellWorker *worker,
                                int64_t clock_ms,
                                int64_t received_ms);
/* Forgets leases, ends and clock: the worker has started again. */
void vp_workerlist_note_restart (VpCellWorker *worker, int64_t booted_ms);
/* Least value that the worker's clock can show now; 0 if it was never heard. */
int64_t vp_workerlist_clock_ms (const VpCellWorker *worker, int64_t now_ms);
/* End of a lease that is ordered now, on the worker's clock; noted as the latest. 0 if its clock is
 * not known. */
int64_t
vp_workerlist_extend_lease (const VpWorkerList *worker_list, VpCellWorker *worker, int64_t now_ms);
/* Another worker answers at its address. */
void vp_workerlist_set_replaced (VpCellWorker *worker);
/* True if every lease that was ordered is over for certain. */
bool vp_workerlist_is_lease_expired (const VpWorkerList *worker_list,
                                     const VpCellWorker *worker,
                                     int64_t now_ms);
/* Last answer of any worker in the DC of @worker. */
int64_t vp_workerlist_dc_answer_ms (const VpWorkerList *worker_list, const VpCellWorker *worker);
/* None of the workers in the DC of @worker is usable until one of them is heard. */
void vp_workerlist_set_dc_unreachable (const VpWorkerList *worker_list,
                                       const VpCellWorker *worker,
                                       bool is_silent);
/* Room that is not committed. */
VpSize vp_workerlist_free_capacity (const VpCellWorker *worker);
/* True if it may be given work now. */
bool vp_workerlist_is_usable (const VpCellWorker *worker, int64_t now_ms);
/* Health: an attempt of @job ended there. Returns true if the worker is put aside by it. */
bool vp_workerlist_record_failure (VpCellWorker *worker, uint64_t job, int64_t now_ms);
void vp_workerlist_record_success (VpCellWorker *worker);
/* A task ran for @ran_ms there, others of its step took @mean_ms on average; 0: not known. */
void vp_workerlist_record_duration (VpCellWorker *worker, int64_t ran_ms, int64_t mean_ms);
