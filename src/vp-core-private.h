/* State of the reducer, shared by the vp-core-*.c files only. */
#pragma once

#include "vp-core.h"
#include "vp-fresh.h"
#include "vp-grants.h"
#include "vp-ledger.h"
#include "vp-metrics.h"
#include "vp-msg.h"
#include "vp-owner.h"
#include "vp-sched.h"

#include <json-glib/json-glib.h>

#define VP_CORE_RETRY_AFTER_S    1 /* with refusals that a later try may pass */
#define VP_CORE_TICK_MIN_MS      5
#define VP_CORE_WORKERS_SCAN_MS  50    /* how often lost and unlisted workers are looked for */
#define VP_CORE_HOLD_MS          15000 /* a request without news from an owner is given up */
#define VP_CORE_RESEND_MS        1000  /* first resend of a submit without an answer */
#define VP_CORE_RESEND_MAX_MS    5000  /* later resends */
#define VP_CORE_MEMBER_ALIVE_MS  2000  /* four missed heartbeats */
#define VP_CORE_MIN_VALIDITY_MS  100   /* starts need at least this much ownership left */
#define VP_CORE_FIRST_RENEW_MS   300   /* most service calls end before their first renewal */
#define VP_CORE_FINISHED_KEEP_MS 60000 /* outcomes kept for a submit that is sent again */
#define VP_CORE_FINISHED_MAX     20000
#define VP_CORE_AUDIT_WAIT_MS    2000
#define VP_CORE_CONFIG_WATCH_MS  30000
#define VP_CORE_HANDOVER_MS      10000 /* a graceful shutdown waits this long for a new owner */

/* Another entry process, as its heartbeats tell. */
typedef struct {
  VpMember settings;
  int64_t heard_ms; /* 0: never */
  uint64_t boot;
  uint64_t revision;
  uint64_t epoch;   /* above 0: it owns its DC */
  bool is_stopping; /* it said goodbye: nothing can be handed over to it */
  uint32_t load_milli;
} VpCoreMember;

typedef enum {
  VP_PENDING_SUBMIT,
  VP_PENDING_QUERY,
  VP_PENDING_CANCEL,
  VP_PENDING_EXPLAIN,
  VP_PENDING_CONFIG, /* waits for vp_fresh_take_outcomes() or a new revision */
} VpPendingKind;

/* A caller's open connection. A cancel of many tasks has one for each task, all with one group. */
typedef struct {
  VpPendingKind kind;
  uint64_t handle;
  uint64_t correlation;
  VpRequest *request;
  VpTaskId task;
  char team[VP_NAME_MAX]; /* whose key was presented */
  char dc[VP_NAME_MAX];   /* where it goes */
  char sent_to[VP_NAME_MAX];
  uint64_t first_epoch; /* under which it was first sent to @dc; 0: never sent there */
  int64_t start_by_ms;
  int64_t news_ms; /* last sign of an owner */
  int64_t resend_ms;
  int64_t resend_after_ms;
  GPtrArray *tried_dcs; /* char*, DCs that refused it as not run */
  struct _VpCancelGroup *group;
} VpPending;

typedef struct _VpCancelGroup {
  uint64_t handle;
  uint32_t open_count;
  GString *json; /* elements of "tasks" so far */
} VpCancelGroup;

/* Somebody who waits for a job's outcome. */
typedef struct {
  char member[VP_NAME_MAX];
  uint64_t correlation;
  bool is_accept_only; /* is answered once the job is durable */
} VpWaiter;

/* The owner's record of a task or job. */
typedef struct {
  VpTaskId task;
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  char worker[VP_NAME_MAX]; /* of member 0's last attempt */
  VpTaskState state;
  VpReason reason;
  bool is_durable;   /* has a ledger record */
  bool is_accepted;  /* its ledger record or its place in the queue is certain */
  bool is_scheduled; /* known to the scheduler */
  bool is_repeatable;
  bool is_settling; /* @state is final, its record is not durable yet */
  bool is_adopted;  /* found on a worker; its request, and so its payload, is not known */
  uint64_t digest;
  VpResources size;
  uint32_t task_count;
  uint32_t attempt;     /* highest attempt that a durable record names */
  uint64_t worker_boot; /* of the worker that the record names; 0: not known */
  int64_t arrived_ms;
  int64_t start_by_ms;
  int64_t run_time_ms;
  int64_t finished_ms;
  GBytes *payload;
  GBytes *answer;
  GPtrArray *member_answers; /* GBytes; only for task_count > 1 */
  GArray *waiters;           /* VpWaiter */
  GArray *refused;           /* VpWaiter that were told "not run" */
  GArray *settles;           /* VpSettle: acknowledged once the outcome is durable */
} VpJob;

/* An ended attempt in a worker's report that is not acknowledged yet. */
typedef struct {
  char worker[VP_NAME_MAX];
  uint64_t boot;
  uint64_t sequence;
} VpSettle;

typedef enum {
  VP_RUN_PREPARING, /* its intent is being made durable */
  VP_RUN_SENT,
  VP_RUN_UNCERTAIN, /* the start may have been delivered */
  VP_RUN_RUNNING,
} VpRunState;

/* An attempt that is, or may be, on a worker. */
typedef struct {
  VpAttempt attempt;
  char worker[VP_NAME_MAX];
  VpRunState state;
  VpResources size;
  int64_t task_lease_ms;
  int64_t lease_until_ms; /* latest end of any lease that was sent */
  int64_t renew_ms;
  int64_t sent_ms;
  bool may_have_run;        /* UNCERTAIN: its worker restarted, perhaps after it had started */
  uint64_t seen_boot;       /* of the worker when a report last named the attempt; 0: never */
  uint64_t report_mark;     /* last report that named it */
  uint32_t missing_reports; /* reports in a row that did not name it */
} VpRunning;

typedef struct {
  VpVm vm;
  bool is_listed; /* stood in the last VM list */
  bool is_attached;
  bool is_read; /* its running tasks are known */
  bool is_reachable;
  bool is_leaving; /* said by the worker itself */
  uint64_t boot;
  uint64_t seen; /* highest sequence handled */
  uint64_t acked;
  int64_t unreachable_ms; /* since when */
  GArray *unsettled;      /* uint64_t sequences above @acked that are not settled */
  GPtrArray *running;     /* VpRunning*, borrowed */
} VpCoreWorker;

typedef enum {
  VP_ROLE_STANDBY,
  VP_ROLE_OPENING, /* ownership is held, the ledger or the grants are being read */
  VP_ROLE_ACTIVE,
} VpRole;

struct _VpCore {
  const VpSettings *settings;
  const VpMember *self;
  uint64_t boot;
  const char **peer_names; /* of the same DC, NULL-terminated */
  const char **member_names;
  VpCoreMember members[VP_MEMBERS_MAX];
  uint32_t member_count;
  int64_t next_heartbeat_ms;
  int64_t now_ms; /* of the event that is applied; never goes back */
  VpEffects *effects;

  VpFresh *fresh;
  VpConfig *config;

  GHashTable *pending; /* correlation -> VpPending*, owned */
  GHashTable *handles; /* handle -> correlation of a submit, query or configuration request */
  uint64_t next_correlation;
  uint64_t next_sequence;
  int64_t next_pending_scan_ms;

  VpRole role;
  VpOwner owner;
  VpLedger *ledger;
  VpGrants *grants;
  VpSched *sched;
  uint64_t epoch;
  int64_t recovery_end_ms; /* when tasks on workers that could not be read have lapsed */
  int64_t longest_lease_ms;
  bool is_settled;     /* every worker was read or its tasks have lapsed */
  GHashTable *jobs;    /* VpTaskId* -> VpJob*, owned */
  GHashTable *running; /* VpAttempt* -> VpRunning*, owned */
  GHashTable *workers; /* name -> VpCoreWorker*, owned */
  GQueue finished;     /* VpTaskId*, oldest first */
  GQueue held;         /* VpPeerMessage*, submits that wait for recovery */
  GArray *decisions;
  GArray *notices;
  GArray *teams; /* VpSchedTeam, of the last step of the grants */
  uint64_t report_mark;
  int64_t next_renew_scan_ms;
  int64_t next_demand_ms;
  int64_t next_workers_ms;

  bool is_stopping;
  bool is_exiting;
  int64_t stopping_ms;
};

/* vp-core.c */
bool _vp_core_is_owner (const VpCore *core);
VpCoreMember *_vp_core_member (VpCore *core, const char *name);
bool _vp_core_member_alive (const VpCore *core, const VpCoreMember *member);
/* The live member that owns @dc, this one included; NULL if none is known. */
const VpCoreMember *_vp_core_owner_of (const VpCore *core, const char *dc);
void _vp_core_send (VpCore *core, const char *member, VpPeerMessage *message);
/* Takes over @body. The effect is good until the next one is added. */
VpEffect *_vp_core_reply (VpCore *core, uint64_t handle, uint32_t status, GBytes *body);
void _vp_core_reply_error (VpCore *core, uint64_t handle, VpReason reason, const char *detail);

/* vp-core-entry.c */
void _vp_core_entry_request (VpCore *core, uint64_t handle, VpRequest *request);
void _vp_core_entry_gone (VpCore *core, uint64_t handle);
void _vp_core_entry_answer (VpCore *core, const VpPeerMessage *answer);
void _vp_core_entry_tick (VpCore *core);
/* Answers all held requests with what is known of them. */
void _vp_core_entry_expire_all (VpCore *core);
VpPending *
_vp_core_pending_new (VpCore *core, VpPendingKind kind, uint64_t handle, VpRequest *request);
void _vp_core_pending_free (gpointer data);
void _vp_core_pending_remove (VpCore *core, VpPending *pending);
/* Sends held requests on without waiting for their resend time, after the owner of a DC changed. */
void _vp_core_entry_owner_changed (VpCore *core, const char *dc);

/* vp-core-operator.c */
void _vp_core_operator_request (VpCore *core, uint64_t handle, VpRequest *request);
void _vp_core_operator_tick (VpCore *core);

/* vp-core-jobs.c */
void _vp_core_job_free (gpointer data);
VpJob *_vp_core_job (const VpCore *core, VpTaskId task);
void _vp_core_job_submit (VpCore *core, VpPeerMessage *message);
void _vp_core_job_query (VpCore *core, const VpPeerMessage *message);
void _vp_core_job_cancel (VpCore *core, const VpPeerMessage *message);
void _vp_core_job_notice (VpCore *core, const VpLedgerNotice *notice);
/* The job will not change any more; answers its waiters, after its record is durable. */
void _vp_core_job_finish (VpCore *core, VpJob *job, VpTaskState state, VpReason reason);
VpReason _vp_core_job_schedule (VpCore *core, VpJob *job);
void _vp_core_job_describe (const VpJob *job, VpSchedJob *out);
/* Removes a job that certainly did not run and tells its waiters. */
void _vp_core_job_drop (VpCore *core, VpJob *job, VpReason reason);
bool _vp_core_job_put (VpCore *core,
                       VpJob *job,
                       VpTaskState state,
                       const char *worker,
                       uint32_t attempt);
VpJob *_vp_core_job_from_record (VpCore *core, const VpLedgerRecord *record);
VpJob *_vp_core_job_from_worker (VpCore *core,
                                 VpTaskId task,
                                 const char *team,
                                 const char *profile,
                                 const VpResources *size);
void _vp_core_job_answer_member (VpJob *job, uint32_t member, GBytes *answer);
void _vp_core_jobs_expire (VpCore *core);
void _vp_core_jobs_replay_held (VpCore *core);

/* vp-core-owner.c */
void _vp_core_owner_tick (VpCore *core);
void _vp_core_owner_drop (VpCore *core);
void _vp_core_owner_decide (VpCore *core);
/* Around each call of the grants that may change what is usable. */
void _vp_core_grants_before (VpCore *core);
void _vp_core_grants_after (VpCore *core);
void _vp_core_owner_start (VpCore *core, VpRunning *running);
VpRunning *_vp_core_running (const VpCore *core, const VpAttempt *attempt);
void _vp_core_running_remove (VpCore *core, VpRunning *running);
VpRunning *_vp_core_running_new (VpCore *core, const VpAttempt *attempt, const char *worker);

/* vp-core-workers.c */
void _vp_core_worker_free (gpointer data);
void _vp_core_vm_list (VpCore *core, bool is_ok, GArray *vms);
void _vp_core_worker_report (VpCore *core, VpWorkerReport *report);
void _vp_core_worker_result (VpCore *core, const VpWorkerResult *result);
bool _vp_core_worker_is_leaving (const VpCore *core, const char *name);
void _vp_core_worker_settle (VpCore *core, const VpSettle *settle);
VpCoreWorker *_vp_core_worker (const VpCore *core, const char *name);
void _vp_core_workers_attach (VpCore *core);
void _vp_core_workers_detach (VpCore *core);
void _vp_core_workers_tick (VpCore *core);
/* An attempt ended or was lost: tells the scheduler, settles or requeues its job. */
void _vp_core_attempt_ended (VpCore *core,
                             const VpAttempt *attempt,
                             VpTaskEnd end,
                             bool is_lost,
                             GBytes *answer,
                             const VpSettle *settle);
