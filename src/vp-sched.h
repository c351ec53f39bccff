/* Scheduler of one DC: queues, shares, placement, gangs, preemption, worker health.
 *
 *   VpSched *sched = vp_sched_setup (&(VpSchedDesc){ .dc = "nadi" });
 *   vp_sched_set_config (sched, config, now_ms);
 *   vp_sched_worker_update (sched, &vm, now_ms);
 *   VpReason reason = vp_sched_submit (sched, &job, now_ms);
 *   vp_sched_decide (sched, now_ms, decisions);   // GArray of VpDecision
 *   vp_sched_shutdown (sched);
 *
 * No I/O. A decision commits the resources at once; the caller reports what became of it with
 * vp_sched_started(), vp_sched_ended() or vp_sched_not_started(). Resources stay committed until
 * the attempt is known ended, so a worker is never committed past its size and no member has two
 * attempts at a time. Usage within a team's grant is checked for each placement.
 */
#pragma once

#include "vp-config.h"
#include "vp-event.h"
#include "vp-types.h"

typedef struct _VpSched VpSched;

typedef struct {
  const char *dc;
  int64_t suspect_ms;             /* an unreachable worker gets no new work after this; 0: 1,000 */
  int64_t probation_ms;           /* 0: 30,000 */
  uint32_t failures_to_probation; /* failures of different jobs in a row; 0: 3 */
  uint32_t decisions_max;         /* per call; 0: 256 */
  bool is_first_fit;              /* baseline for measurements: first worker that fits */
  bool is_fifo;                   /* baseline: one queue, no shares */
} VpSchedDesc;

typedef struct {
  VpTaskId task;
  uint32_t first_attempt; /* number of the next attempt; 1 for new work */
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  VpResources size;    /* of one member */
  uint32_t task_count; /* members; all start together when the profile is a gang */
  bool is_repeatable;
  int64_t arrived_ms;
  int64_t start_by_ms; /* refused with VP_REASON_DEADLINE after this; 0: none */
  int64_t run_time_ms; /* declared; 0: unknown */
} VpSchedJob;

typedef enum {
  VP_DECISION_START,
  VP_DECISION_CHECKPOINT, /* preemption: the task goes back to its queue once it has stopped */
  VP_DECISION_STOP,       /* cancelled, over its run time, or a gang that can't be kept whole */
  VP_DECISION_REFUSE,     /* a queued job will not run; @reason */
  VP_DECISION_FAIL,       /* a job ended without success after its tries; @reason */
} VpDecisionKind;

typedef struct {
  VpDecisionKind kind;
  VpAttempt attempt;
  char worker[VP_NAME_MAX];
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  VpResources size;
  int64_t task_lease_ms;
  int64_t waited_ms; /* START: from arrival */
  VpReason reason;
} VpDecision;

/* What a job looks like to its caller or to an operator. */
typedef struct {
  VpTaskState state;
  VpReason waiting_for;     /* why a queued job waits; VP_REASON_NONE if it will be tried next */
  char explanation[256];    /* one sentence */
  char worker[VP_NAME_MAX]; /* of member 0 */
  uint32_t queue_position;
  uint32_t attempt;
} VpSchedView;

/* Sums for status, grants and measurements. */
typedef struct {
  char team[VP_NAME_MAX];
  int64_t share;
  VpResources used;    /* committed now */
  VpResources waiting; /* sum of queued members */
  VpResources grant;
  uint32_t running_count;
  uint32_t waiting_count;
  int64_t oldest_wait_ms;
} VpSchedTeam;

VpSched *vp_sched_setup (const VpSchedDesc *desc);
void vp_sched_shutdown (VpSched *sched);

/* Takes a reference. Teams and profiles that are gone keep their running work; their queued work
 * is refused by the next decide. */
void vp_sched_set_config (VpSched *sched, VpConfig *config, int64_t now_ms);
/* Most that the team may have running in this DC; nothing until the first call. Lower than what
 * runs: the next decide preempts. */
void vp_sched_set_grant (VpSched *sched,
                         const char *team_name,
                         const VpResources *grant,
                         int64_t now_ms);

/* Adds or changes a worker. A new generation is a new, empty worker: call
 * vp_sched_worker_lost() for the old one first if its tasks may still run. Otherwise they stay
 * committed until they are known ended, and the worker gets work after vp_sched_worker_ready(). */
void vp_sched_worker_update (VpSched *sched, const VpVm *vm, int64_t now_ms);
/* A worker whose running tasks are not known yet gets no work until this was called. */
void vp_sched_worker_ready (VpSched *sched, const char *name, int64_t now_ms);
void
vp_sched_worker_reachable (VpSched *sched, const char *name, bool is_reachable, int64_t now_ms);
void vp_sched_worker_leaving (VpSched *sched, const char *name, int64_t now_ms);
/* Removes the worker. Its attempts are appended to @ended (VpAttempt, may be NULL) and are settled
 * as by vp_sched_ended() with @is_lost: members that may be repeated wait again, and a job that is
 * finished by it gets a VP_DECISION_FAIL from the next decide. vp_sched_ended() for them has no
 * effect then. */
void vp_sched_worker_lost (VpSched *sched, const char *name, GArray *ended, int64_t now_ms);

/* Queues a job. VP_REASON_NONE if it is queued, else why not: unknown profile or team, impossible
 * size, queue full, or it can't meet its start_by time. The same task again changes nothing. */
VpReason vp_sched_submit (VpSched *sched, const VpSchedJob *from, int64_t now_ms);
/* Takes on a member that already runs, found on a worker at recovery. The worker need not be known
 * yet. Of a job that is not known, members that are not adopted are taken as ended. */
void vp_sched_adopt (VpSched *sched,
                     const VpSchedJob *from,
                     const VpAttempt *attempt,
                     const char *worker_name,
                     int64_t now_ms);
/* Removes a queued job or asks running members to stop (by the next decide). Returns the state
 * the job is in: CANCELLED if nothing of it ran or runs, RUNNING if stops are on the way. */
VpTaskState vp_sched_cancel (VpSched *sched, VpTaskId task, int64_t now_ms);

void vp_sched_started (VpSched *sched, const VpAttempt *attempt, int64_t now_ms);
/* The worker refused or certainly never got the start; the member goes back to the front of its
 * queue. A job that was cancelled or given up meanwhile and has no other members running is
 * finished; the next decide gives a VP_DECISION_REFUSE (nothing of it ran) or VP_DECISION_FAIL. */
void vp_sched_not_started (VpSched *sched, const VpAttempt *attempt, int64_t now_ms);
/* The attempt is known ended; an attempt that isn't the running one of its member has no effect.
 * Returns the state of the job after it: DONE or FAILED or CANCELLED
 * when it is finished, QUEUED if the member will be tried again (repeatable, or checkpointed),
 * RUNNING if other members still run or wait, LOST if it may not be repeated and @is_lost,
 * NONE if the job is not known. Work that may not be repeated is never tried again, not even from a
 * checkpoint. */
VpTaskState vp_sched_ended (VpSched *sched,
                            const VpAttempt *attempt,
                            VpTaskEnd end,
                            bool is_lost,
                            int64_t now_ms);
void
vp_sched_usage (VpSched *sched, const VpAttempt *attempt, const VpResources *used, int64_t now_ms);

/* Appends VpDecision to @decisions: starts in order of share and priority, preemptions, refusals.
 */
void vp_sched_decide (VpSched *sched, int64_t now_ms, GArray *decisions);
/* When vp_sched_decide() has something to do without a new event; INT64_MAX: never. */
int64_t vp_sched_next_ms (const VpSched *sched);

bool vp_sched_view (const VpSched *sched, VpTaskId task, int64_t now_ms, VpSchedView *out);
bool
vp_sched_attempt_worker (const VpSched *sched, const VpAttempt *attempt, char out[VP_NAME_MAX]);
/* Appends VpSchedTeam, one for each configured team. */
void vp_sched_teams (const VpSched *sched, int64_t now_ms, GArray *teams);
/* Sum of all reachable workers, and what is committed of it. */
void vp_sched_totals (const VpSched *sched, VpResources *total, VpResources *used);
/* Appends one VpDecision of kind START for each running attempt, for placements and renewals. */
void vp_sched_running (const VpSched *sched, GArray *decisions);
/* Checks that sums, queues and commitments agree; false and a text if not. For tests. */
bool vp_sched_check (const VpSched *sched, char *text, size_t text_size);
