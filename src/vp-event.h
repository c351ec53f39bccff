/* Events that the reducer takes and effects that it returns, as data.
 *
 *   VpEffects out = { 0 };
 *   vp_core_apply (core, &event, now_ms, &out);
 *   for (uint32_t i = 0; i < out.count; i++)
 *     carry_out (&out.items[i]);
 *   vp_effects_clear (&out);
 *
 * An effect owns the GBytes it points to; vp_effects_clear() releases them.
 */
#pragma once

#include "vp-request.h"
#include "vp-types.h"

/* Sub-module that a store operation belongs to; its result goes back there. */
typedef enum {
  VP_MODULE_OWNER,
  VP_MODULE_LEDGER,
  VP_MODULE_GRANTS,
  VP_MODULE_FRESH,
  VP_MODULE_COUNT,
} VpModule;

typedef enum {
  VP_STORE_GET,
  VP_STORE_CAS,    /* writes if the key's version is @version; 0: the key must not exist */
  VP_STORE_DELETE, /* deletes if the key's version is @version */
  VP_STORE_WATCH,  /* answers once when the key's version differs from @version, or on time-out */
  VP_STORE_LEASE_GRANT,
  VP_STORE_LEASE_RENEW,
  VP_STORE_LEASE_REVOKE,
} VpStoreKind;

typedef struct {
  VpStoreKind kind;
  VpModule module;
  uint64_t token; /* chosen by the module, returned in the result */
  char key[VP_STORE_KEY_MAX];
  uint64_t version;
  uint64_t lease;     /* CAS: attach the key to this lease; LEASE_*: the lease */
  int64_t ttl_ms;     /* LEASE_GRANT */
  int64_t timeout_ms; /* 0: 1,000 ms; for a watch how long it waits */
  GBytes *value;      /* CAS */
} VpStoreOp;

typedef enum {
  VP_STORE_OK,
  VP_STORE_CONFLICT,    /* the version differs; @version and @value hold the current one */
  VP_STORE_NOT_FOUND,   /* no such key or lease */
  VP_STORE_UNAVAILABLE, /* certainly not applied: not connected, or refused for its rate */
  VP_STORE_UNKNOWN,     /* may or may not be applied: the answer was lost or late */
} VpStoreStatus;

typedef struct {
  VpStoreKind kind;
  VpModule module;
  uint64_t token;
  VpStoreStatus status;
  char key[VP_STORE_KEY_MAX];
  uint64_t version; /* of the key now; 0: it does not exist */
  uint64_t lease;
  int64_t sent_ms; /* when the operation left this process; leases count from here */
  GBytes *value;   /* GET, WATCH, CONFLICT; may be NULL */
} VpStoreResult;

typedef enum {
  VP_WORKER_START,
  VP_WORKER_RENEW,
  VP_WORKER_STOP,
  VP_WORKER_CHECKPOINT, /* saves the task's progress, then stops it */
  VP_WORKER_THROTTLE,
} VpWorkerKind;

typedef struct {
  VpWorkerKind kind;
  char worker[VP_NAME_MAX];
  VpAttempt attempt;
  VpResources size;       /* START */
  int64_t lease_until_ms; /* START, RENEW: end of the task lease */
  int64_t valid_until_ms; /* the command must not leave this process after this time; 0: no bound */
  int32_t throttle_milli; /* THROTTLE: allowed part of its processors in thousandths */
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  GBytes *payload; /* START; may be NULL */
} VpWorkerOp;

typedef enum {
  VP_WORKER_ACCEPTED,
  VP_WORKER_REFUSED,     /* certainly not started: lapsed, no room, unknown, or leaving */
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
  VP_END_LAPSED, /* its lease ended */
} VpTaskEnd;

typedef struct {
  VpAttempt attempt;
  VpResources size;
  VpResources used; /* usage as the worker last measured it; lags */
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

/* What one poll of a worker returned. A worker keeps ended tasks until they are acknowledged. */
typedef struct {
  char worker[VP_NAME_MAX];
  bool is_reachable; /* false: the poll failed and the other fields are empty */
  bool is_leaving;
  uint64_t boot;     /* changes when the worker restarted and lost its tasks */
  uint64_t sequence; /* highest sequence of ended tasks contained */
  GArray *running;   /* VpWorkerTask; complete list */
  GArray *ended;     /* VpWorkerEnded after the acknowledged sequence */
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
  uint64_t generation; /* changes when the VM was replaced under the same name */
} VpVm;

typedef enum {
  VP_PEER_HEARTBEAT,
  VP_PEER_SUBMIT, /* an entry process hands a request to an owner; the same task may be sent again
                   */
  VP_PEER_ANSWER, /* outcome of SUBMIT, QUERY or CANCEL */
  VP_PEER_QUERY,
  VP_PEER_CANCEL,
  VP_PEER_CONFIG_ANNOUNCE,
  VP_PEER_CONFIG_ACK,
  VP_PEER_CONFIG,
  VP_PEER_PROMISE_ASK,
  VP_PEER_PROMISE,
  VP_PEER_GRANT_ASK,
  VP_PEER_GOODBYE, /* the sender stops; epoch: of the ownership it still holds, 0: none */
  VP_PEER_EXPLAIN, /* like QUERY; the answer's body is a sentence */
  VP_PEER_KIND_COUNT,
} VpPeerKind;

/* One message between entry processes. Fields that a kind does not name are empty.
 * HEARTBEAT: boot, dc, address, epoch, load_milli, and what vp_fresh_fill_heartbeat() sets. SUBMIT:
 * task, request, correlation, duration_ms (left until start_by; 0: none), epoch (under which it was
 * first sent; 0: this is the first time). ANSWER: task, state, reason, correlation, epoch, worker,
 * body. QUERY, CANCEL, EXPLAIN: task, team, correlation. CONFIG_ANNOUNCE, CONFIG_ACK, CONFIG: see
 * vp_fresh_peer(). PROMISE_ASK: epoch, correlation. PROMISE: epoch, correlation, duration_ms.
 * GRANT_ASK: dc, team, size. GOODBYE: epoch. */
typedef struct {
  VpPeerKind kind;
  char from[VP_NAME_MAX];
  uint64_t boot;
  uint64_t correlation;
  char dc[VP_NAME_MAX];
  char address[VP_ADDRESS_MAX];
  uint64_t revision;
  uint64_t announced_revision;
  int64_t confirmed_age_ms; /* age of the store's confirmation of the revision; -1: none */
  uint64_t epoch;           /* of the ownership that the sender holds; 0: not the owner */
  uint32_t load_milli;      /* committed part of the DC's bottleneck resource in thousandths */
  int64_t duration_ms;      /* SUBMIT, PROMISE */
  VpTaskId task;
  VpTaskState state;
  VpReason reason;
  char team[VP_NAME_MAX];
  char worker[VP_NAME_MAX];
  VpResources size;
  VpRequest *request; /* SUBMIT; owned */
  GBytes *body;       /* ANSWER: the answer; CONFIG: the document; ANNOUNCE: the document */
} VpPeerMessage;

typedef enum {
  VP_EVENT_TICK,
  VP_EVENT_REQUEST,
  VP_EVENT_REQUEST_GONE, /* the caller closed its connection */
  VP_EVENT_STORE_RESULT,
  VP_EVENT_WORKER_REPORT,
  VP_EVENT_WORKER_RESULT,
  VP_EVENT_VM_LIST,
  VP_EVENT_PEER,
  VP_EVENT_SHUTDOWN,
} VpEventKind;

typedef struct {
  VpEventKind kind;
  uint64_t handle; /* REQUEST, REQUEST_GONE: the open connection */
  union {
    VpRequest *request;
    VpStoreResult store;
    VpWorkerReport report;
    VpWorkerResult worker;
    VpPeerMessage peer;
    struct {
      bool is_ok;  /* false: the list could not be read */
      GArray *vms; /* VpVm */
    } vm_list;
  };
} VpEvent;

typedef enum {
  VP_EFFECT_REPLY,
  VP_EFFECT_STORE,
  VP_EFFECT_WORKER,
  VP_EFFECT_WORKER_ATTACH, /* start polling a worker */
  VP_EFFECT_WORKER_DETACH,
  VP_EFFECT_WORKER_ACK,   /* ended tasks up to @sequence are settled */
  VP_EFFECT_PEER,         /* send to @peer */
  VP_EFFECT_PEER_CONNECT, /* @peer is reached at @address from now on */
  VP_EFFECT_CONFIG,       /* publish the current configuration to the HTTP threads */
  VP_EFFECT_LOG,          /* a change of state */
  VP_EFFECT_EXIT,         /* shutdown is complete */
} VpEffectKind;

typedef struct {
  VpEffectKind kind;
  union {
    struct {
      uint64_t handle;
      uint32_t status;        /* HTTP */
      uint32_t retry_after_s; /* 0: none */
      GBytes *body;
      const char *content_type; /* static text; NULL: application/json */
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
    struct _VpConfig *config; /* a reference */
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

/* Appends a zeroed effect of @kind and returns it; the pointer is good until the next call. */
VpEffect *vp_effects_add (VpEffects *effects, VpEffectKind kind);
/* Appends a store operation of @module. @value is not consumed; the effect takes a reference. */
VpStoreOp *
vp_effects_store (VpEffects *effects, VpModule module, VpStoreKind kind, const char *key);
/* Appends a log line. */
void vp_effects_log (VpEffects *effects, GLogLevelFlags level, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* Releases what the effects own and empties the list; keeps the memory for reuse. */
void vp_effects_clear (VpEffects *effects);
/* Releases the list itself too. */
void vp_effects_free (VpEffects *effects);

void vp_peer_message_clear (VpPeerMessage *message);
void vp_worker_report_clear (VpWorkerReport *report);
void vp_store_result_clear (VpStoreResult *result);
/* Releases what @event owns. */
void vp_event_clear (VpEvent *event);
