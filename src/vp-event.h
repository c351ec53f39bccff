/* Events, the input of the reducer, and effects, its output, as plain data.
 *
 *   VpEffects out = { 0 };
 *   vp_core_apply (core, &event, now_ms, &out);
 *   for (uint32_t i = 0; i < out.count; i++)
 *     carry_out (&out.items[i]);
 *   vp_effects_clear (&out);
 *
 * An effect owns what it points to; vp_effects_clear() releases it.
 */
#pragma once

#include "vp-request.h"
#include "vp-types.h"

/* Module of the reducer that issued a store operation; the result is routed to it. */
typedef enum {
  VP_MODULE_OWNER,
  VP_MODULE_LEDGER,
  VP_MODULE_LIMIT_GRANTS,
  VP_MODULE_CONFIG_SYNC,
  VP_MODULE_COUNT,
} VpModule;

typedef enum {
  VP_STORE_GET,
  VP_STORE_CAS,    /* writes the key if its version is @version; 0: if it does not exist */
  VP_STORE_DELETE, /* deletes the key if its version is @version */
  VP_STORE_WATCH,  /* returns once the key's version differs from @version, or after @timeout_ms */
  VP_STORE_LEASE_GRANT,
  VP_STORE_LEASE_RENEW,
  VP_STORE_LEASE_REVOKE,
} VpStoreKind;

typedef struct {
  VpStoreKind kind;
  VpModule module;
  uint64_t token; /* chosen by the module, copied to the result */
  char key[VP_STORE_KEY_MAX];
  uint64_t version;
  uint64_t lease;     /* CAS: lease that the key is attached to; LEASE_*: the lease */
  int64_t ttl_ms;     /* LEASE_GRANT */
  int64_t timeout_ms; /* for a watch its duration; 0: 1,000 ms */
  GBytes *value;      /* CAS */
} VpStoreOp;

typedef enum {
  VP_STORE_OK,
  VP_STORE_CONFLICT,    /* the version differs; @version and @value hold the current one */
  VP_STORE_NOT_FOUND,   /* no such key or lease */
  VP_STORE_UNAVAILABLE, /* certainly not applied: no connection, or refused by the rate limit */
  VP_STORE_UNKNOWN,     /* may have been applied: the response was lost or late */
} VpStoreStatus;

typedef struct {
  VpStoreKind kind;
  VpModule module;
  uint64_t token;
  VpStoreStatus status;
  char key[VP_STORE_KEY_MAX];
  uint64_t version; /* current version of the key; 0: it does not exist */
  uint64_t lease;
  int64_t sent_ms; /* when this process sent the operation; leases are counted from this time */
  GBytes *value;   /* GET, WATCH, CONFLICT; may be NULL */
} VpStoreResult;

typedef enum {
  VP_WORKER_START,
  VP_WORKER_RENEW,
  VP_WORKER_STOP,
  VP_WORKER_CHECKPOINT, /* saves the progress of the task, then stops it */
  VP_WORKER_THROTTLE,
} VpWorkerKind;

typedef struct {
  VpWorkerKind kind;
  char worker[VP_NAME_MAX];
  VpAttempt attempt;
  VpResources size;       /* START */
  int64_t lease_until_ms; /* START, RENEW: expiry of the task lease */
  int64_t valid_until_ms; /* the command must not be sent after this time; 0: no limit */
  int32_t throttle_milli; /* THROTTLE: allowed part of the task's processors in thousandths */
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  GBytes *payload; /* START; may be NULL */
} VpWorkerOp;

typedef enum {
  VP_WORKER_ACCEPTED,
  VP_WORKER_REFUSED, /* certainly not started: lease expired, no capacity, unknown, or leaving */
  VP_WORKER_UNREACHABLE, /* certainly not delivered */
  VP_WORKER_UNCERTAIN,   /* may have been delivered */
} VpWorkerStatus;

typedef struct {
  VpWorkerKind kind;
  char worker[VP_NAME_MAX];
  VpAttempt attempt;
  VpWorkerStatus status;
} VpWorkerResult;

typedef enum {
  VP_END_DONE,
  VP_END_FAILED,
  VP_END_STOPPED,
  VP_END_CHECKPOINTED,
  VP_END_LAPSED, /* the task lease expired */
} VpTaskEnd;

typedef struct {
  VpAttempt attempt;
  VpResources size;
  VpResources used; /* usage when the worker last measured it */
  int64_t lease_until_ms;
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
} VpWorkerTask;

typedef struct {
  VpAttempt attempt;
  uint64_t sequence;
  VpTaskEnd end;
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  GBytes *answer; /* may be NULL */
} VpWorkerEnded;

/* Result of one poll of a worker. A worker reports ended tasks until they are acknowledged. */
typedef struct {
  char worker[VP_NAME_MAX];
  bool is_reachable; /* false: the poll failed, and the fields below are empty */
  bool is_leaving;
  uint64_t boot;     /* changes when the worker restarts and loses its tasks */
  uint64_t sequence; /* highest sequence of @ended */
  GArray *running;   /* VpWorkerTask; all running tasks */
  GArray *ended;     /* VpWorkerEnded that are not acknowledged */
} VpWorkerReport;

typedef enum { VP_VM_LIVE, VP_VM_LEAVING } VpVmState;

typedef struct {
  char name[VP_NAME_MAX];
  char address[VP_ADDRESS_MAX];
  char dc[VP_NAME_MAX];
  char rack[VP_NAME_MAX];
  VpVmState state;
  VpResources size;
  uint32_t slot_count;
  uint32_t connection_count;
  uint64_t generation; /* changes when the VM is replaced by one with the same name */
} VpVm;

typedef enum {
  VP_PEER_HEARTBEAT,
  VP_PEER_SUBMIT, /* sends a request to the owner of a DC; repeated until it is answered */
  VP_PEER_ANSWER, /* outcome of SUBMIT, QUERY or CANCEL */
  VP_PEER_QUERY,
  VP_PEER_CANCEL,
  VP_PEER_CONFIG_ANNOUNCE,
  VP_PEER_CONFIG_ACK,
  VP_PEER_CONFIG,
  VP_PEER_PROMISE_REQUEST,
  VP_PEER_PROMISE,
  VP_PEER_GRANT_REQUEST,
  VP_PEER_STOPPING, /* the sender shuts down; @epoch is 0 unless it still owns its DC */
  VP_PEER_EXPLAIN,  /* like QUERY, but the answer's body explains the state of the task */
  VP_PEER_KIND_COUNT,
} VpPeerKind;

/* One message between entry processes. These are the fields of each kind; all others are empty.
 *
 *   HEARTBEAT        boot, dc, address, epoch, load_milli, and those that
 *                    vp_config_sync_fill_heartbeat() sets
 *   SUBMIT           task, request, correlation, duration_ms (time left until start_by_ms; 0: no
 *                    deadline), epoch (of the owner that it was first sent to; 0: first sending)
 *   ANSWER           task, state, reason, correlation, epoch, worker, body
 *   QUERY, CANCEL, EXPLAIN
 *                    task, team, correlation
 *   CONFIG_ANNOUNCE, CONFIG_ACK, CONFIG
 *                    see vp_config_sync_peer_message()
 *   PROMISE_REQUEST  epoch, correlation
 *   PROMISE          epoch, correlation, duration_ms
 *   GRANT_REQUEST    dc, team, shortage
 *   STOPPING         epoch
 */
typedef struct {
  VpPeerKind kind;
  char from[VP_NAME_MAX];
  uint64_t boot;
  uint64_t correlation;
  char dc[VP_NAME_MAX];
  char address[VP_ADDRESS_MAX];
  uint64_t revision;
  uint64_t announced_revision;
  int64_t confirmed_age_ms; /* time since the store confirmed @revision; -1: never */
  uint64_t epoch;           /* of the ownership that the sender holds; 0: none */
  uint32_t load_milli;      /* committed part of the DC's most used resource in thousandths */
  int64_t duration_ms;      /* SUBMIT, PROMISE */
  VpTaskId task;
  VpTaskState state;
  VpReason reason;
  char team[VP_NAME_MAX];
  char worker[VP_NAME_MAX];
  VpResources shortage; /* GRANT_REQUEST: what the team lacks in the sender's DC */
  VpRequest *request;   /* SUBMIT; owned */
  /* ANSWER: the answer; CONFIG, CONFIG_ANNOUNCE: the configuration; HEARTBEAT: the report of the
   * configuration sync */
  GBytes *body;
} VpPeerMessage;

typedef enum {
  VP_EVENT_TICK,
  VP_EVENT_REQUEST,
  VP_EVENT_CLIENT_DISCONNECTED, /* the caller closed its connection */
  VP_EVENT_STORE_RESULT,
  VP_EVENT_WORKER_REPORT,
  VP_EVENT_WORKER_RESULT,
  VP_EVENT_VM_LIST,
  VP_EVENT_PEER,
  VP_EVENT_SHUTDOWN,
} VpEventKind;

typedef struct {
  VpEventKind kind;
  uint64_t handle; /* REQUEST, CLIENT_DISCONNECTED: the open connection */
  union {
    VpRequest *request;
    VpStoreResult store;
    VpWorkerReport report;
    VpWorkerResult worker;
    VpPeerMessage peer;
    struct {
      bool is_ok;  /* false: the VM list could not be read */
      GArray *vms; /* VpVm */
    } vm_list;
  };
} VpEvent;

typedef enum {
  VP_EFFECT_REPLY,
  VP_EFFECT_STORE,
  VP_EFFECT_WORKER,
  VP_EFFECT_WORKER_ATTACH, /* starts polling a worker */
  VP_EFFECT_WORKER_DETACH, /* stops polling a worker */
  VP_EFFECT_WORKER_ACK,    /* acknowledges ended tasks up to @sequence */
  VP_EFFECT_PEER,          /* sends @message to @peer */
  VP_EFFECT_PEER_CONNECT,  /* changes the address of @peer to @address */
  VP_EFFECT_CONFIG,        /* publishes the configuration to the HTTP threads */
  VP_EFFECT_LOG,           /* writes a log line */
  VP_EFFECT_EXIT,          /* ends the process; the shutdown is complete */
} VpEffectKind;

typedef struct {
  VpEffectKind kind;
  union {
    struct {
      uint64_t handle;
      uint32_t status;        /* HTTP status code */
      uint32_t retry_after_s; /* 0: none */
      GBytes *body;
      const char *content_type; /* static string; NULL: application/json */
    } reply;
    VpStoreOp store;
    VpWorkerOp worker;
    struct {
      char worker[VP_NAME_MAX];
      char address[VP_ADDRESS_MAX];
      uint64_t sequence;
    } attach; /* WORKER_ATTACH, WORKER_DETACH, WORKER_ACK */
    struct {
      char peer[VP_NAME_MAX];
      char address[VP_ADDRESS_MAX];
      VpPeerMessage message;
    } peer;
    struct _VpConfig *config; /* owned reference */
    struct {
      GLogLevelFlags level;
      char text[256];
    } log;
  };
} VpEffect;

typedef struct {
  VpEffect *items;
  uint32_t count;
  uint32_t capacity;
} VpEffects;

/* Appends a zeroed effect of @kind and returns it. The pointer is valid until the next call. */
VpEffect *vp_effects_add (VpEffects *effects, VpEffectKind kind);
/* Appends a store operation of @module and returns it. The caller sets the other fields; the effect
 * owns the value. The pointer is valid until the next effect is appended. */
VpStoreOp *
vp_effects_store (VpEffects *effects, VpModule module, VpStoreKind kind, const char *key);
/* Appends a log line; texts longer than 255 bytes are cut. */
void vp_effects_log (VpEffects *effects, GLogLevelFlags level, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* Releases what the effects own and empties the list. Keeps the memory of the list for reuse. */
void vp_effects_clear (VpEffects *effects);
/* Like vp_effects_clear(), but also releases the memory of the list. */
void vp_effects_free (VpEffects *effects);

void vp_peer_message_clear (VpPeerMessage *message);
void vp_worker_report_clear (VpWorkerReport *report);
void vp_store_result_clear (VpStoreResult *result);
/* Releases what @event owns. */
void vp_event_clear (VpEvent *event);
