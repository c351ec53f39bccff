/* State of the reducer, shared by its files. Not part of the interface.
 *
 *   vp-core.c           setup, members, heartbeats, shutdown, dispatch of events
 *   vp-core-entry.c     callers' requests on their way to the owner of a DC and back
 *   vp-core-operator.c  operators' requests: configuration, status, audit trail
 *   vp-core-owner.c     owner of the DC: opening, decisions, task leases, grants
 *   vp-core-jobs.c      the owner's jobs: admission, durable records, answers
 *   vp-core-workers.c   the owner's workers: reports, lost workers, recovery of tasks
 */
#pragma once

#include "vp-config-sync.h"
#include "vp-core.h"
#include "vp-ledger.h"
#include "vp-limit-grants.h"
#include "vp-metrics.h"
#include "vp-msg.h"
#include "vp-owner.h"
#include "vp-sched.h"

#include <json-glib/json-glib.h>

/* Retry-After of refusals for which a later try may succeed. */
#define VP_CORE_RETRY_AFTER_S 1
/* Minimum interval between ticks. */
#define VP_CORE_TICK_MIN_MS 5
/* Interval between searches for lost and unlisted workers. */
#define VP_CORE_WORKERS_SCAN_INTERVAL_MS 50
/* A request is given up if no owner has answered for this long. */
#define VP_CORE_REQUEST_TIMEOUT_MS 15000
/* Delay before the first resend of a request without an answer. It doubles up to the maximum. */
#define VP_CORE_RESEND_DELAY_MS     1000
#define VP_CORE_RESEND_DELAY_MAX_MS 5000
/* A member counts as dead after four missed heartbeats. */
#define VP_CORE_MEMBER_TIMEOUT_MS 2000
/* Tasks are started only if the ownership lasts at least this much longer. */
#define VP_CORE_MIN_OWNERSHIP_MS 100
/* Delay before the first renewal of a task lease. Most service calls end earlier. */
#define VP_CORE_FIRST_RENEW_DELAY_MS 300
/* Task lease of profiles that don't set one. */
#define VP_CORE_TASK_LEASE_DEFAULT_MS 60000
/* How long a finished job is kept, to answer a submit that is sent again. */
#define VP_CORE_FINISHED_KEEP_MS 60000
/* Finished jobs that are kept at most. */
#define VP_CORE_FINISHED_MAX 20000
/* Longest wait of a request for the audit trail. */
#define VP_CORE_AUDIT_TIMEOUT_MS 2000
/* Longest wait of a request for a new revision of the configuration. */
#define VP_CORE_CONFIG_WATCH_TIMEOUT_MS 30000
/* A graceful shutdown waits this long for a new owner. */
#define VP_CORE_HANDOVER_TIMEOUT_MS 10000

/* An entry process, as known from its heartbeats. */
typedef struct {
  VpMember settings;
  int64_t last_heartbeat_ms; /* time of the last heartbeat; 0: never */
  uint64_t boot;
  uint64_t revision;
  uint64_t epoch;   /* of its ownership of its DC; 0: not the owner */
  bool is_stopping; /* shuts down, so it can't take over the DC */
  uint32_t load_milli;
} VpCoreMember;

typedef enum {
  VP_PENDING_SUBMIT,
  VP_PENDING_QUERY,
  VP_PENDING_CANCEL,
  VP_PENDING_EXPLAIN,
  VP_PENDING_CONFIG, /* an operator's request that waits for the configuration store */
} VpPendingKind;

/* A request whose caller waits on an open connection. A cancel of several tasks has one of these
 * for each task, all with the same group. */
typedef struct {
  VpPendingKind kind;
  uint64_t handle;
  uint64_t correlation;
  VpRequest *request;
  VpTaskId task;
  char team[VP_NAME_MAX];    /* team of the caller's key */
  char dc[VP_NAME_MAX];      /* DC that the request is sent to */
  char sent_to[VP_NAME_MAX]; /* member that it was sent to last; empty: none */
  uint64_t first_epoch;      /* of the owner that it was first sent to in @dc; 0: not sent yet */
  int64_t start_by_ms;
  int64_t last_progress_ms; /* time of the last answer, or of arrival */
  int64_t next_resend_ms;
  int64_t resend_delay_ms;
  GPtrArray *tried_dcs; /* char*, DCs that certainly did not run it */
  struct _VpCancelGroup *group;
} VpPendingRequest;

/* Answer to a cancel of several tasks, while it is being collected. */
typedef struct _VpCancelGroup {
  uint64_t handle;
  uint32_t open_count;
  GString *json; /* reply so far */
} VpCancelGroup;

/* A request that waits for a job. */
typedef struct {
  char member[VP_NAME_MAX];
  uint64_t correlation;
  bool is_accept_only; /* answered once the job is accepted, not when it ends */
} VpWaiter;

/* A job as the owner of the DC knows it. */
typedef struct {
  VpTaskId task;
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  char worker[VP_NAME_MAX]; /* of member 0's last attempt */
  VpTaskState state;
  VpReason reason;
  bool is_durable;         /* has or needs a record in the ledger */
  bool is_accepted;        /* its record is durable, or it is queued without one */
  bool is_scheduled;       /* known to the scheduler */
  bool is_repeatable;      /* may be run more than once */
  bool is_outcome_pending; /* @state is final, but its record is not durable yet */
  bool is_adopted;         /* found on a worker; request and payload are not known */
  uint64_t digest;
  VpResources size;
  uint32_t task_count;
  uint32_t attempt;     /* highest attempt number in a durable record */
  uint64_t worker_boot; /* boot of the worker in the record; 0: not known */
  int64_t arrived_ms;
  int64_t start_by_ms;
  int64_t run_time_ms;
  int64_t finished_ms;
  GBytes *payload;
  GBytes *answer;
  GPtrArray *member_answers; /* GBytes; only for task_count > 1 */
  GArray *waiters;           /* VpWaiter */
  GArray *refused;           /* VpWaiter that were answered "not run" */
  GArray *unacked_ends;      /* VpUnackedEnd, acknowledged once the outcome is durable */
} VpCoreJob;

/* An ended attempt that was reported by a worker and is not acknowledged yet. */
typedef struct {
  char worker[VP_NAME_MAX];
  uint64_t boot;
  uint64_t sequence;
} VpUnackedEnd;

typedef enum {
  VP_RUN_PREPARING, /* the intent to start it is being made durable */
  VP_RUN_SENT,      /* the start was sent and not answered */
  VP_RUN_UNCERTAIN, /* the start may have been delivered */
  VP_RUN_RUNNING,
} VpRunState;

/* An attempt that runs, or may run, on a worker. */
typedef struct {
  VpAttempt attempt;
  char worker[VP_NAME_MAX];
  VpRunState state;
  VpResources size;
  int64_t task_lease_ms;
  int64_t lease_until_ms; /* latest expiry of all leases that were sent */
  int64_t next_renew_ms;
  int64_t sent_ms;
  bool may_have_run;      /* UNCERTAIN: the worker restarted, maybe after the start */
  uint64_t reported_boot; /* boot of the worker in the last report with the attempt; 0: none */
  uint64_t report_number; /* number of the last report with the attempt */
  uint32_t missing_report_count; /* consecutive reports without it */
} VpRunningAttempt;

/* A worker of the DC, as known from the VM list and its reports. */
typedef struct {
  VpVm vm;
  bool is_listed;    /* in the last VM list */
  bool is_attached;  /* the worker is polled */
  bool has_reported; /* its running tasks are known from a report */
  bool is_reachable;
  bool is_leaving; /* the worker itself reported that it is leaving */
  uint64_t boot;
  uint64_t seen_sequence; /* highest sequence of its ended tasks that was handled */
  uint64_t acked_sequence;
  int64_t unreachable_since_ms; /* when the worker became unreachable */
  GArray *unacked_sequences;    /* uint64_t, handled sequences above acked_sequence */
  GPtrArray *running;           /* VpRunningAttempt*, borrowed */
} VpCoreWorker;

typedef enum {
  VP_ROLE_STANDBY, /* does not own the DC */
  VP_ROLE_OPENING, /* owns the DC; the ledger and the grants are being read */
  VP_ROLE_ACTIVE,  /* owns the DC and schedules its jobs */
} VpRole;

struct _VpCore {
  const VpSettings *settings;
  const VpMember *self;
  uint64_t boot;
  const char **peer_names; /* other members of the same DC, NULL-terminated */
  const char **member_names;
  VpCoreMember members[VP_MEMBERS_MAX];
  uint32_t member_count;
  int64_t next_heartbeat_ms;
  int64_t now_ms; /* time of the current event; never decreases */
  VpEffects *effects;

  VpConfigSync *config_sync;
  VpConfig *config;

  GHashTable *pending; /* correlation -> VpPendingRequest */
  GHashTable *handles; /* handle -> correlation; all requests but cancels */
  uint64_t next_correlation;
  uint64_t next_sequence;
  int64_t next_pending_scan_ms;

  VpRole role;
  VpOwner owner; /* ownership of this member's DC */
  VpLedger *ledger;
  VpLimitGrants *grants;
  VpSched *sched;
  uint64_t epoch;
  int64_t recovery_deadline_ms; /* when the leases of tasks on unreported workers have expired */
  int64_t longest_lease_ms;
  bool is_recovered;       /* each worker has reported, or the leases of its tasks have expired */
  GHashTable *jobs;        /* VpTaskId -> VpCoreJob */
  GHashTable *running;     /* VpAttempt -> VpRunningAttempt */
  GHashTable *workers;     /* name -> VpCoreWorker */
  GQueue finished;         /* VpTaskId of finished jobs, oldest first */
  GQueue deferred_submits; /* VpPeerMessage of submits that wait for the recovery */
  GArray *decisions;       /* VpDecision; scratch space */
  GArray *notices;         /* VpLedgerNotice; scratch space */
  GArray *teams; /* VpSchedTeamStatus, at the last call of _vp_core_update_grant_demand() */
  uint64_t report_number;
  int64_t next_renew_scan_ms;
  int64_t next_grants_step_ms;
  int64_t next_workers_scan_ms;

  bool is_stopping;
  bool is_exiting;
  int64_t stopping_since_ms;
};

/* vp-core.c */
bool _vp_core_is_owner (const VpCore *core);
VpCoreMember *_vp_core_member (VpCore *core, const char *name);
bool _vp_core_member_is_alive (const VpCore *core, const VpCoreMember *member);
/* Live member that owns @dc, which may be this one; NULL if none is known. */
const VpCoreMember *_vp_core_owner_of (const VpCore *core, const char *dc);
/* Sends a message to a member; takes ownership of its contents. */
void _vp_core_send (VpCore *core, const char *member, VpPeerMessage *message);
/* Replies to a caller; takes ownership of @body. The effect is valid until the next is added. */
VpEffect *_vp_core_reply (VpCore *core, uint64_t handle, uint32_t status, GBytes *body);
void _vp_core_reply_error (VpCore *core, uint64_t handle, VpReason reason, const char *detail);

/* vp-core-entry.c */
void _vp_core_entry_request (VpCore *core, uint64_t handle, VpRequest *request);
void _vp_core_entry_disconnected (VpCore *core, uint64_t handle);
void _vp_core_entry_answer (VpCore *core, const VpPeerMessage *answer);
void _vp_core_entry_tick (VpCore *core);
/* Answers all pending requests as if they had timed out. */
void _vp_core_entry_expire_all (VpCore *core);
VpPendingRequest *
_vp_core_pending_new (VpCore *core, VpPendingKind kind, uint64_t handle, VpRequest *request);
void _vp_core_pending_free (gpointer data);
void _vp_core_pending_remove (VpCore *core, VpPendingRequest *pending);
/* Sends the pending requests for a DC to its new owner, without waiting for their resend times. */
void _vp_core_entry_owner_changed (VpCore *core, const char *dc);

/* vp-core-operator.c */
void _vp_core_operator_request (VpCore *core, uint64_t handle, VpRequest *request);
void _vp_core_operator_tick (VpCore *core);

/* vp-core-jobs.c */
void _vp_core_job_free (gpointer data);
VpCoreJob *_vp_core_job (const VpCore *core, VpTaskId task);
void _vp_core_job_submit (VpCore *core, VpPeerMessage *message);
void _vp_core_job_query (VpCore *core, const VpPeerMessage *message);
void _vp_core_job_cancel (VpCore *core, const VpPeerMessage *message);
void _vp_core_job_notice (VpCore *core, const VpLedgerNotice *notice);
/* Makes the state of a job final. Its waiters are answered once its record is durable. */
void _vp_core_job_finish (VpCore *core, VpCoreJob *job, VpTaskState state, VpReason reason);
VpReason _vp_core_job_schedule (VpCore *core, VpCoreJob *job);
void _vp_core_job_describe (const VpCoreJob *job, VpJobSpec *out);
/* Makes a job that certainly did not run final without a record, and answers its waiters. */
void _vp_core_job_reject (VpCore *core, VpCoreJob *job, VpReason reason);
/* Writes the job's record with @state to the ledger. False if the ledger refused it; then nothing
 * was or will be written, and the reason is in job->reason. */
bool _vp_core_job_write (VpCore *core,
                         VpCoreJob *job,
                         VpTaskState state,
                         const char *worker,
                         uint32_t attempt);
VpCoreJob *_vp_core_job_from_record (VpCore *core, const VpLedgerRecord *record);
VpCoreJob *_vp_core_job_from_worker (VpCore *core,
                                     VpTaskId task,
                                     const char *team,
                                     const char *profile,
                                     const VpResources *size);
void _vp_core_job_answer_member (VpCoreJob *job, uint32_t member, GBytes *answer);
void _vp_core_jobs_expire (VpCore *core);
void _vp_core_jobs_replay_deferred (VpCore *core);

/* vp-core-owner.c */
void _vp_core_owner_tick (VpCore *core);
void _vp_core_owner_step_down (VpCore *core);
void _vp_core_owner_decide (VpCore *core);
/* Passes the teams' usage to the grants. Called before each call that may change the grants. */
void _vp_core_update_grant_demand (VpCore *core);
/* Passes the teams' usable grants to the scheduler. Called after each call that may change
 * the grants. */
void _vp_core_apply_grants (VpCore *core);
void _vp_core_owner_start (VpCore *core, VpRunningAttempt *running);
VpRunningAttempt *_vp_core_running (const VpCore *core, const VpAttempt *attempt);
void _vp_core_running_remove (VpCore *core, VpRunningAttempt *running);
VpRunningAttempt *_vp_core_running_new (VpCore *core, const VpAttempt *attempt, const char *worker);

/* vp-core-workers.c */
void _vp_core_worker_free (gpointer data);
void _vp_core_vm_list (VpCore *core, bool is_ok, GArray *vms);
void _vp_core_worker_report (VpCore *core, VpWorkerReport *report);
void _vp_core_worker_result (VpCore *core, const VpWorkerResult *result);
bool _vp_core_worker_is_leaving (const VpCore *core, const char *name);
void _vp_core_worker_ack (VpCore *core, const VpUnackedEnd *unacked_end);
VpCoreWorker *_vp_core_worker (const VpCore *core, const char *name);
void _vp_core_workers_attach (VpCore *core);
void _vp_core_workers_detach (VpCore *core);
void _vp_core_workers_tick (VpCore *core);
/* Handles the end of an attempt: updates the scheduler, and finishes or requeues its job. */
void _vp_core_attempt_ended (VpCore *core,
                             const VpAttempt *attempt,
                             VpTaskEnd end,
                             bool is_lost,
                             GBytes *answer,
                             const VpUnackedEnd *unacked_end);
