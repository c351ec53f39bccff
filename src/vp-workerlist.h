/* Workers of a cell as the scheduler sees them: capacity, reachability, leases and health.
 *
 *   VpWorkerList *worker_list = vp_workerlist_setup (hold_max_ms, now_ms);
 *   VpCellWorker *worker = vp_workerlist_update (worker_list, &entry);
 *   vp_workerlist_note_answer (worker_list, worker, clock_ms, received_ms);   // any answer
 *   if (vp_workerlist_is_lease_expired (worker, now_ms))
 *     ... nothing can be running there any more ...
 *   vp_workerlist_shutdown (worker_list);
 *
 * No I/O. A worker is one incarnation of a VM. Most restarts give it a new identity, and all of
 * them a new boot time.
 */
#pragma once

#include "vp-command.h"
#include "vp-jobspec.h"
#include "vp-workerspeed.h"

/* Maximum share, in thousandths, by which a worker's clock runs slower than the scheduler's
 * (guaranteed by the platform). */
#define VP_WORKERLIST_CLOCK_SLOW_MILLI 20
/* Added to the end of a lease before its tasks count as killed, for rounding to milliseconds and
 * the time that the kill takes. */
#define VP_WORKERLIST_EXPIRY_MARGIN_MS 100

/* A scheduler that can't confirm that it is still the leader renews leases and starts tasks for
 * this long. The next scheduler relies on that. */
#define VP_WORKERLIST_UNCONFIRMED_MS 2000

/* Entry of a worker in the platform's list. It owns its texts, but an entry that is only passed to
 * vp_workerlist_update() or vp_workerlist_add() may also borrow them. NULL counts as empty. */
typedef struct {
  char *id;
  char *service;
  char *dc;
  char *kind;
  char *rack;
  char address[VP_ADDRESS_MAX];
  VpResources capacity;
  bool is_draining;
  int64_t remaining_ms; /* minimum time until a draining worker stops; -1: unknown */
  int64_t booted_ms;    /* boot time (Unix time); 0: unknown */
  int64_t slow_ms;      /* the worker runs slower for this long while it warms up */
} VpWorkerEntry;

/* A HOLD without a result. */
typedef struct {
  uint32_t number; /* number of the command; 0: there is none */
  int64_t sent_ms;
  int64_t due_ms;    /* its answer is overdue after this time; INT64_MAX: never */
  int64_t probed_ms; /* another one was sent at this time, as this one isn't answered */
  bool is_extra;     /* it was sent while an earlier one was open */
  bool is_probe;     /* sent while the worker had answered nothing since the earlier one was due */
  bool is_counted;   /* it counts as unanswered, see vp-holdloss.h */
} VpPendingHold;

typedef struct {
  VpWorkerEntry entry;
  uint32_t rack_index; /* the same for all workers of one rack */
  VpResources used;    /* demand of all assigned tasks, also of those that are being stopped */
  int64_t best_effort_cpu_milli; /* CPU wanted by best-effort tasks */
  uint32_t best_effort_count;    /* assigned best-effort tasks */
  uint32_t latency_target_count; /* assigned tasks with a target for their tail latency */
  GHashTable *tasks;             /* set of assigned tasks (VpJobTask) */
  uint32_t unknown_run_count;    /* listed runs that belong to no known task */
  bool is_listed;                /* the worker is in the platform's list now */
  bool was_listed;               /* the worker has been in the list since this scheduler started */
  bool is_placement_blocked;     /* gets no tasks, as a later scheduler wouldn't know of them */
  bool is_stored_active; /* active in the stored list: may get tasks whose starts aren't stored */
  bool is_staged_active; /* active in the list that the current commit stores */
  bool is_unverified;   /* an earlier scheduler may have started tasks there without storing that */
  bool is_replaced;     /* another worker has its address, so none of its runs exists any more */
  bool is_synced;       /* has listed all its runs and ends since this scheduler took over */
  bool has_more_ends;   /* its last list had as many ends as one holds, so that more may follow */
  bool is_reachable;    /* the last call got an answer */
  bool is_relay_silent; /* the last HOLD was given up as its relay was silent; the worker may
                           have answered it */
  bool is_dc_unreachable;     /* no worker of its DC answers */
  bool is_evacuated;          /* its DC is under evacuation */
  bool is_hold_pending;       /* the last HOLD is waiting for its answer */
  bool is_end_time_unknown;   /* the ends in its present list may be much older than the list */
  int64_t hold_next_ms;       /* earliest time of the next HOLD */
  VpPendingHold last_hold;    /* the last HOLD that was sent */
  int64_t booted_ms;          /* boot time in the last answer; 0: none */
  int64_t clock_ms;           /* the worker's clock in its last answer */
  int64_t clock_at_ms;        /* local time of that answer; 0: never answered */
  int64_t lease_end_ms;       /* end of the latest lease granted to it, on the worker's clock */
  VpPendingHold overdue_hold; /* an earlier one whose answer was overdue when the last one was sent
                                 and still is */
  int64_t list_sent_ms;       /* sending time of the latest HOLD whose list of runs was handled */
  int64_t list_clock_ms;      /* the worker's clock in its answer */
  int64_t list_received_ms;   /* time at which its answer was received; 0: none yet */
  int64_t last_answer_ms;     /* time of the last answer */
  int64_t alive_ms;           /* its process hadn't crashed before this time */
  int64_t address_changed_ms; /* time of the last change of its address; results of commands sent
                                 before say nothing about the worker */
  int64_t restart_noted_ms; /* time at which its last restart was noted; 0: none. A command that was
                               sent before may have been carried out before the restart. */
  bool is_restart_unlisted; /* hasn't listed its runs since then, so that the assigned tasks may run
                               in its present life or have ended with the earlier one */
  int64_t earlier_alive_ms; /* @alive_ms of its earlier life */
  int64_t silent_until_ms;  /* every lease has expired after this time, if its clock isn't known */
  uint64_t last_end_seen;   /* highest number of an end that was processed */
  uint64_t last_end_staged; /* highest end that the current commit covers */
  uint64_t last_end_durable; /* highest end that is durable, so that the worker may drop it */
  VpWorkerSpeed speed;       /* what its runs show of its slowness */
  double slowness;           /* duration of its tasks relative to a worker of speed 1, which is the
                                geometric mean of the service's workers */
  uint64_t last_failed_job;  /* job of the last failure */
  uint32_t failed_jobs;      /* failures of different jobs since the last success */
  uint32_t failed_runs;      /* failed runs since the last success */
  uint32_t quarantine_level; /* number of quarantines since the last success */
  int64_t avoid_until_ms;    /* no tasks are placed there before this time */
  uint64_t isolated_job;     /* only tasks of this job are placed there, see vp-crash.h */
  int64_t isolated_until_ms; /* time until which @isolated_job applies */
  uint32_t slot_index;  /* index of its slot in the newest pool of its service, see vp-place.h */
  int64_t throttled_ms; /* time of the last change of @throttle_percent */
  uint32_t throttle_percent;    /* share of the CPU that its best-effort tasks may use */
  int64_t over_target_since_ms; /* unused */
} VpCellWorker;

typedef struct {
  GHashTable *by_id;          /* id -> VpCellWorker */
  GPtrArray *workers;         /* VpCellWorker, in the order in which they were added */
  GHashTable *racks;          /* "dc/rack" -> index + 1 */
  GHashTable *evacuated_dcs;  /* set of names of DCs */
  GHashTable *kinds;          /* "service/kind" -> VpKindSpeed */
  int64_t centred_ms;         /* time at which the slowness of all workers was last centred */
  int64_t hold_max_ms;        /* longest lease that a worker accepts */
  int64_t inherited_until_ms; /* leases of earlier schedulers have expired after this time */
  bool is_changed;            /* the list differs from the one in the last commit */
} VpWorkerList;

void vp_worker_entry_clear (VpWorkerEntry *entry);
/* Returns an empty array (VpWorkerEntry) that frees what its entries own. */
GArray *vp_worker_entries_new (void);
/* @hold_max_ms is the longest lease that a worker accepts. Earlier schedulers must have lost their
 * leadership by @now_ms. */
VpWorkerList *vp_workerlist_setup (int64_t hold_max_ms, int64_t now_ms);
void vp_workerlist_shutdown (VpWorkerList *worker_list);
/* Adds a worker of the platform's list or updates its entry. The worker belongs to the list. */
VpCellWorker *vp_workerlist_update (VpWorkerList *worker_list, const VpWorkerEntry *entry);
/* Adds a worker that an earlier scheduler used, unless it is in the list, and returns it. Only the
 * identity, address and DC of @entry are needed. The worker gets no tasks until the platform lists
 * it. */
VpCellWorker *vp_workerlist_add (VpWorkerList *worker_list, const VpWorkerEntry *entry);
/* Returns NULL if there is no such worker. */
VpCellWorker *vp_workerlist_find (const VpWorkerList *worker_list, const char *id);
/* Removes and frees a worker without assigned tasks. */
void vp_workerlist_remove (VpWorkerList *worker_list, VpCellWorker *worker);
/* Handles any answer of the worker, which is reachable and whose clock showed @clock_ms (0:
 * unknown) in the answer. */
void vp_workerlist_note_answer (const VpWorkerList *worker_list,
                                VpCellWorker *worker,
                                int64_t clock_ms,
                                int64_t received_ms);
/* The same for an answer that is too late to show that the worker is reachable. */
void vp_workerlist_note_clock (const VpWorkerList *worker_list,
                               VpCellWorker *worker,
                               int64_t clock_ms,
                               int64_t received_ms);
/* Resets leases, ends, clock and health after a restart of the worker. */
void vp_workerlist_note_restart (const VpWorkerList *worker_list,
                                 VpCellWorker *worker,
                                 int64_t booted_ms,
                                 int64_t now_ms);
/* Returns the minimum value that the worker's clock can show now, or 0 if it never answered. */
int64_t vp_workerlist_clock_ms (const VpCellWorker *worker, int64_t now_ms);
/* Returns the end, on the worker's clock, of a lease that is granted now, and records it as the
 * latest one. Returns 0 if the clock isn't known. */
int64_t
vp_workerlist_extend_lease (const VpWorkerList *worker_list, VpCellWorker *worker, int64_t now_ms);
/* Handles an answer of another worker at the address of @worker, of which no run exists any more.
 */
void vp_workerlist_set_replaced (VpCellWorker *worker);
/* Returns true if the worker answers but hasn't listed all its ends yet. Those that are missing may
 * be of runs that were successful, so that no task may be taken as ended otherwise before. */
bool vp_workerlist_is_listing_ends (const VpCellWorker *worker);
/* Returns true if every lease granted to the worker has certainly expired. */
bool vp_workerlist_is_lease_expired (const VpCellWorker *worker, int64_t now_ms);
/* Returns true if the runs there must be taken as ended without having heard the worker: every
 * lease has certainly expired, and the worker's answers aren't just held up at slow relays, which
 * have another 6 s to deliver them, and it isn't listing its ends. An answer may list a run as done
 * that would be started again. */
bool vp_workerlist_is_lost (const VpCellWorker *worker, int64_t now_ms);
/* Returns the time of the last answer of any worker in the DC of @worker. */
int64_t vp_workerlist_dc_answer_ms (const VpWorkerList *worker_list, const VpCellWorker *worker);
/* Sets whether the DC of @worker is unreachable. Its workers get no tasks until one of them
 * answers. */
void vp_workerlist_set_dc_unreachable (const VpWorkerList *worker_list,
                                       const VpCellWorker *worker,
                                       bool is_unreachable);
/* Sets the DCs (char *) under evacuation. Their workers, also those that are added later, get no
 * tasks. */
void vp_workerlist_set_evacuated_dcs (VpWorkerList *worker_list, const GPtrArray *dcs);
/* Returns the number of listed workers in the DC. */
uint32_t vp_workerlist_count_in_dc (const VpWorkerList *worker_list, const char *dc);
/* Returns the capacity that isn't used by assigned tasks. */
VpResources vp_workerlist_free_capacity (const VpCellWorker *worker);
/* Returns true if tasks may be placed on the worker now. */
bool vp_workerlist_is_usable (const VpCellWorker *worker, int64_t now_ms);
/* Records a failed run of @job on the worker. Returns true if that quarantines the worker. */
bool vp_workerlist_record_failure (VpCellWorker *worker, uint64_t job, int64_t now_ms);
/* Records a successful run, which resets the counts of failures. */
void vp_workerlist_record_success (VpCellWorker *worker);
/* Records runs that took exp(@log_ratio) times as long as on a worker of speed 1, see
 * vp-workerspeed.h. */
void vp_workerlist_record_speed (VpCellWorker *worker, double log_ratio, double weight);
/* Records the duration @duration_ms of a run on the worker. @mean_ms is the mean duration of other
 * tasks of the same step on a worker of speed 1, or 0 if it isn't known. */
void vp_workerlist_record_duration (VpCellWorker *worker, int64_t duration_ms, int64_t mean_ms);
/* Centres the slowness of the workers of each service on a mean of 1, at most once a second.
 */
void vp_workerlist_centre_speeds (VpWorkerList *worker_list, int64_t now_ms);
