/* Scheduler of one DC: queues, fair shares, placement, gangs, preemption and worker health.
 *
 *   VpSched *sched = vp_sched_setup (&(VpSchedDesc){ .dc = "nadi" });
 *   vp_sched_set_config (sched, config, now_ms);
 *   vp_sched_worker_update (sched, &vm, now_ms);
 *   VpReason reason = vp_sched_submit (sched, &spec, now_ms);
 *   vp_sched_decide (sched, now_ms, decisions);   // GArray of VpDecision
 *   vp_sched_shutdown (sched);
 *
 * The scheduler does no I/O. A start decision commits the resources at once. The caller carries it
 * out and reports the result with vp_sched_started(), vp_sched_ended() or vp_sched_not_started().
 * Resources stay committed until the attempt is known to have ended, so a worker is never
 * overcommitted and a member never has two attempts at a time. Each placement is checked against
 * the grant of the team.
 */
#pragma once

#include "vp-config.h"
#include "vp-event.h"
#include "vp-types.h"

typedef struct _VpSched VpSched;

typedef struct {
  const char *dc;
  int64_t suspect_ms;             /* an unreachable worker gets no new work after this; 0: 1,000 */
  int64_t probation_ms;           /* length of a worker's first probation; 0: 30,000 */
  uint32_t failures_to_probation; /* consecutive failures of different jobs; 0: 3 */
  uint32_t decisions_max;         /* decisions of one call of vp_sched_decide(); 0: 256 */
  bool is_first_fit;              /* benchmark baseline: places on the first worker that fits */
  bool is_fifo;                   /* benchmark baseline: one FIFO queue without shares */
} VpSchedDesc;

/* A job as it is submitted or adopted. */
typedef struct {
  VpTaskId task;
  uint32_t first_attempt; /* number of the next attempt; 1 for a new job */
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  VpResources size;    /* resources of one member */
  uint32_t task_count; /* number of members; all start together if the profile is a gang */
  bool is_repeatable;
  int64_t arrived_ms;
  int64_t start_by_ms; /* the job is refused with VP_REASON_DEADLINE after this; 0: no deadline */
  int64_t run_time_ms; /* declared by the caller; 0: unknown */
} VpJobSpec;

typedef enum {
  VP_DECISION_START,
  VP_DECISION_CHECKPOINT, /* preempts the task; it is queued again once it has stopped */
  VP_DECISION_STOP,       /* cancel, run time exceeded, lowered grant, or restart of a gang */
  VP_DECISION_REFUSE,     /* a queued job will not run; @reason says why */
  VP_DECISION_FAIL,       /* a job ended without success and is not retried; @reason says why */
} VpDecisionKind;

typedef struct {
  VpDecisionKind kind;
  VpAttempt attempt;
  char worker[VP_NAME_MAX];
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  VpResources size;
  int64_t task_lease_ms;
  int64_t waited_ms; /* START: time since the job arrived */
  VpReason reason;
} VpDecision;

/* Status of a job for its caller or an operator. */
typedef struct {
  VpTaskState state;
  VpReason waiting_for;     /* why a queued job waits; VP_REASON_NONE if it will be tried next */
  char explanation[256];    /* one sentence */
  char worker[VP_NAME_MAX]; /* of member 0 */
  uint32_t queue_position;
  uint32_t attempt;
} VpSchedJobStatus;

/* Totals of a team for status requests, grants and measurements. */
typedef struct {
  char team[VP_NAME_MAX];
  int64_t share;
  VpResources used;    /* resources committed now */
  VpResources waiting; /* sum of the sizes of queued members */
  VpResources grant;
  uint32_t running_count;
  uint32_t waiting_count;
  int64_t oldest_wait_ms;
} VpSchedTeamStatus;

VpSched *vp_sched_setup (const VpSchedDesc *desc);
void vp_sched_shutdown (VpSched *sched);

/* Takes a reference to @config. Running tasks of removed teams and profiles go on; their queued
 * jobs are refused by the next vp_sched_decide(). */
void vp_sched_set_config (VpSched *sched, VpConfig *config, int64_t now_ms);
/* Sets the most resources that the team may use in this DC. A team without a grant starts nothing.
 * If the team uses more than the new grant, the next vp_sched_decide() preempts its tasks. */
void vp_sched_set_grant (VpSched *sched,
                         const char *team_name,
                         const VpResources *grant,
                         int64_t now_ms);

/* Adds or changes a worker. A new generation is a new, empty worker: call vp_sched_worker_lost()
 * first to end the attempts of the old one. Otherwise they stay committed until they are known to
 * have ended, and the worker gets work only after vp_sched_worker_ready(). */
void vp_sched_worker_update (VpSched *sched, const VpVm *vm, int64_t now_ms);
/* Lets a worker get work. A worker gets none before this call, since the tasks that run on it are
 * not known yet. */
void vp_sched_worker_ready (VpSched *sched, const char *name, int64_t now_ms);
void
vp_sched_worker_reachable (VpSched *sched, const char *name, bool is_reachable, int64_t now_ms);
void vp_sched_worker_leaving (VpSched *sched, const char *name, int64_t now_ms);
/* Removes the worker. Its attempts are appended to @ended (VpAttempt, may be NULL) and handled as
 * by vp_sched_ended() with @is_lost: repeatable members are queued again, and the next
 * vp_sched_decide() returns a VP_DECISION_FAIL for each job that ends by this. A later
 * vp_sched_ended() for one of these attempts has no effect. */
void vp_sched_worker_lost (VpSched *sched, const char *name, GArray *ended, int64_t now_ms);

/* Queues a job. Returns VP_REASON_NONE if it is queued, else why it is refused: unknown profile or
 * team, impossible size, full queue, or a start_by_ms that it can't meet. Submitting a task that
 * is known already has no effect. */
VpReason vp_sched_submit (VpSched *sched, const VpJobSpec *spec, int64_t now_ms);
/* Adopts a running member that was found on a worker at recovery. The worker need not be known
 * yet. If the job is not known either, its members that are not adopted count as ended. */
void vp_sched_adopt (VpSched *sched,
                     const VpJobSpec *spec,
                     const VpAttempt *attempt,
                     const char *worker_name,
                     int64_t now_ms);
/* Removes a queued job, or lets the next vp_sched_decide() stop its running members. Returns the
 * state of the job: CANCELLED if no member runs, RUNNING if members have to stop first, NONE if the
 * job is not known. */
VpTaskState vp_sched_cancel (VpSched *sched, VpTaskId task, int64_t now_ms);

void vp_sched_started (VpSched *sched, const VpAttempt *attempt, int64_t now_ms);
/* The worker refused the start or certainly never received it; the member is queued again with its
 * old position. If the job was cancelled or refused meanwhile and no other member runs, it ends:
 * the next vp_sched_decide() returns a VP_DECISION_REFUSE if no member ever ran, else a
 * VP_DECISION_FAIL. */
void vp_sched_not_started (VpSched *sched, const VpAttempt *attempt, int64_t now_ms);
/* The attempt is known to have ended. An attempt that isn't the running one of its member has no
 * effect. Returns the new state of the job: DONE, FAILED or CANCELLED if the job ended, QUEUED if
 * the member will be tried again (it is repeatable, or was checkpointed), RUNNING if other members
 * still run or wait, LOST if the job is not repeatable and @is_lost, NONE if the job is not known.
 * A job that is not repeatable is never tried again, not even from a checkpoint. */
VpTaskState vp_sched_ended (VpSched *sched,
                            const VpAttempt *attempt,
                            VpTaskEnd end,
                            bool is_lost,
                            int64_t now_ms);
/* Records the measured usage of a running attempt, for vp_sched_job_status(). */
void vp_sched_set_usage (VpSched *sched,
                         const VpAttempt *attempt,
                         const VpResources *used,
                         int64_t now_ms);

/* Appends VpDecision to @decisions: starts in order of share and priority, preemptions, stops and
 * refusals. */
void vp_sched_decide (VpSched *sched, int64_t now_ms, GArray *decisions);
/* Time at which vp_sched_decide() is due if nothing changes before; INT64_MAX: never. */
int64_t vp_sched_next_ms (const VpSched *sched);

/* Returns false if the job is not known. */
bool
vp_sched_job_status (const VpSched *sched, VpTaskId task, int64_t now_ms, VpSchedJobStatus *out);
/* Writes the name of the worker that runs the attempt; returns false if none does. */
bool
vp_sched_attempt_worker (const VpSched *sched, const VpAttempt *attempt, char out[VP_NAME_MAX]);
/* Appends a VpSchedTeamStatus for each team that is configured or has running tasks. */
void vp_sched_team_statuses (const VpSched *sched, int64_t now_ms, GArray *teams);
/* Sums the capacities of the workers that are ready and reachable, and what is committed there. */
void vp_sched_totals (const VpSched *sched, VpResources *total, VpResources *used);
/* Appends one VpDecision of kind START for each running attempt, for placements and renewals. */
void vp_sched_running_attempts (const VpSched *sched, GArray *decisions);
/* Checks that sums, queues and commitments are consistent. If not, returns false and describes the
 * first difference in @text. For tests. */
bool vp_sched_check (const VpSched *sched, char *text, size_t text_size);
