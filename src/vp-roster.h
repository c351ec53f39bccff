/* Workers of a cell as the scheduler sees them: room, contact, leases and health.
 *
 *   VpRoster *roster = vp_roster_setup (hold_max_ms, now_ms);
 *   VpRosterWorker *worker = vp_roster_put (roster, &entry);
 *   vp_roster_heard (roster, worker, clock_ms, received_ms);   // any answer with a clock
 *   if (vp_roster_is_lapsed (roster, worker, now_ms))
 *     ... nothing can run there any more ...
 *   vp_roster_shutdown (roster);
 *
 * No I/O. A worker is one life of a VM; its identity is new after most restarts, and its birth time
 * after all of them.
 */
#pragma once

#include "vp-jobspec.h"
#include "vp-order.h"

/* A worker's clock may be this much slower than ours, in thousandths (platform). */
#define VP_ROSTER_CLOCK_SLOW_MILLI 20
/* Added to the end of a lease before its tasks are taken as killed: rounding to milliseconds and
 * the kill itself. */
#define VP_ROSTER_LAPSE_MARGIN_MS 100

/* A scheduler that can't confirm that it still leads renews leases and starts tasks for this long;
 * the next scheduler relies on that. */
#define VP_ROSTER_UNCONFIRMED_MS 2000

/* What a worker tells of itself in the platform's list. */
typedef struct {
  char id[VP_NAME_MAX];
  char address[VP_ADDRESS_MAX];
  char service[VP_NAME_MAX];
  char dc[VP_NAME_MAX];
  char kind[VP_LABEL_MAX];
  char rack[VP_LABEL_MAX];
  VpResources capacity;
  bool is_draining;
  int64_t remaining_ms; /* while it drains: least time that is left; -1: not told */
  int64_t born_ms;      /* Unix time of its start; 0: not told */
  int64_t slow_ms;      /* it still warms up for this long */
} VpWorkerEntry;

typedef struct {
  VpWorkerEntry entry;
  uint32_t rack_index;       /* equal for workers of one rack */
  VpResources used;          /* committed, also by what is being stopped */
  int64_t filling_cpu_milli; /* wanted by tasks that use what is left */
  uint32_t filling_count;
  uint32_t serving_count;   /* lasting tasks with a response time target */
  GHashTable *tasks;        /* committed tasks, by address */
  uint32_t foreign_count;   /* listed runs that no known task accounts for */
  bool is_listed;           /* in the platform's list now */
  bool was_listed;          /* now or before, in this scheduler's time */
  bool is_withheld;         /* a later scheduler would not know of it yet: gets no work */
  bool is_open;             /* kept as one that may get work that isn't kept first */
  bool is_staged_open;      /* the commit under way keeps it so */
  bool is_unknown;          /* an earlier scheduler may have started there what it didn't keep */
  bool is_over;             /* another life has its address: nothing of this one runs */
  bool is_synced;           /* its runs are known since this scheduler took over */
  bool is_reachable;        /* the last call was answered */
  bool is_dc_silent;        /* its whole DC leaves orders unanswered */
  int64_t born_ms;          /* of the life that was last heard; 0: none */
  int64_t clock_ms;         /* worker's clock, as told in an answer received at ... */
  int64_t clock_at_ms;      /* ... this time; 0: never heard */
  int64_t lease_end_ms;     /* latest lease that was ordered, on its clock */
  bool is_hold_out;         /* a HOLD is under way */
  int64_t hold_next_ms;     /* earliest time of the next HOLD */
  int64_t heard_ms;         /* last answer */
  int64_t moved_ms;         /* its address changed; answers to earlier orders tell nothing of it */
  uint64_t seen;            /* highest end that was taken note of */
  uint64_t seen_staged;     /* covered by the commit under way */
  uint64_t seen_durable;    /* may be forgotten by the worker */
  double slowness;          /* time that its tasks take against those of the same step elsewhere */
  uint64_t last_failed_job; /* health: failures of different jobs since the last success */
  uint32_t failed_jobs;
  uint32_t failed_runs;
  uint32_t suspect_level; /* times that it was put aside in a row */
  int64_t avoid_until_ms; /* gets no work before */
  uint32_t slot_index;    /* in the newest pool of its service, see vp-place.h */
  int64_t paced_ms;       /* last change of pace */
  uint32_t pace_percent;  /* of the tasks that use what is left */
  int64_t over_since_ms;  /* a serving task has been near or over its target since; 0: none */
} VpRosterWorker;

typedef struct {
  GHashTable *by_id;  /* id -> VpRosterWorker */
  GPtrArray *workers; /* VpRosterWorker, in order of first appearance */
  GHashTable *racks;  /* "dc/rack" -> index + 1 */
  int64_t hold_max_ms;
  int64_t inherited_until_ms; /* all leases that an earlier scheduler ordered are over after this */
  bool is_changed;            /* since it was last kept */
} VpRoster;

/* @now_ms: earlier schedulers have lost their place by then. */
VpRoster *vp_roster_setup (int64_t hold_max_ms, int64_t now_ms);
void vp_roster_shutdown (VpRoster *roster);
/* Adds a worker or takes over what its entry says now. */
VpRosterWorker *vp_roster_put (VpRoster *roster, const VpWorkerEntry *entry);
/* Adds a worker that an earlier scheduler used, unless it is known. Only the identity, the address
 * and the DC of @entry are needed; it gets no work until the platform lists it. */
VpRosterWorker *vp_roster_add (VpRoster *roster, const VpWorkerEntry *entry);
VpRosterWorker *vp_roster_find (const VpRoster *roster, const char *id);
/* The worker must have no tasks. */
void vp_roster_remove (VpRoster *roster, VpRosterWorker *worker);
/* Notes the worker's clock. */
void vp_roster_heard (const VpRoster *roster,
                      VpRosterWorker *worker,
                      int64_t clock_ms,
                      int64_t received_ms);
/* Forgets leases, ends and clock: the worker has started again. */
void vp_roster_reborn (VpRosterWorker *worker, int64_t born_ms);
/* Least value that the worker's clock can show now; 0 if it was never heard. */
int64_t vp_roster_clock_ms (const VpRosterWorker *worker, int64_t now_ms);
/* End of a lease that is ordered now, on the worker's clock; noted as the latest. 0 if its clock is
 * not known. */
int64_t vp_roster_lease (const VpRoster *roster, VpRosterWorker *worker, int64_t now_ms);
/* Another worker answers at its address. */
void vp_roster_over (VpRosterWorker *worker);
/* True if every lease that was ordered is over for certain. */
bool vp_roster_is_lapsed (const VpRoster *roster, const VpRosterWorker *worker, int64_t now_ms);
/* Last answer of any worker in the DC of @worker. */
int64_t vp_roster_dc_heard_ms (const VpRoster *roster, const VpRosterWorker *worker);
/* None of the workers in the DC of @worker is usable until one of them is heard. */
void vp_roster_set_dc_silent (const VpRoster *roster, const VpRosterWorker *worker, bool is_silent);
/* Room that is not committed. */
VpResources vp_roster_free (const VpRosterWorker *worker);
/* True if it may be given work now. */
bool vp_roster_is_usable (const VpRosterWorker *worker, int64_t now_ms);
/* Health: an attempt of @job ended there. Returns true if the worker is put aside by it. */
bool vp_roster_note_failed (VpRosterWorker *worker, uint64_t job, int64_t now_ms);
void vp_roster_note_done (VpRosterWorker *worker);
/* A task ran for @ran_ms there, others of its step took @mean_ms on average; 0: not known. */
void vp_roster_note_time (VpRosterWorker *worker, int64_t ran_ms, int64_t mean_ms);
