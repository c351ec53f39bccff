/* Events that a node takes and effects that it returns, as data.
 *
 *   VpNodeEffects out = { 0 };
 *   vp_node_apply (node, &event, now_ms, &out);
 *   for (uint32_t i = 0; i < out.count; i++)
 *     apply_effect (&out.items[i]);
 *   vp_node_effects_clear (&out);
 *   vp_node_event_clear (&event);
 *
 * Events and effects own the data that they point to.
 */
#pragma once

#include "vp-cell.h"
#include "vp-nodemsg.h"

/* A decoded request of a caller. */
typedef enum {
  VP_CALLER_REQUEST_SUBMIT,
  VP_CALLER_REQUEST_QUERY, /* asks for the state of a job; without a job id in the path, for the
                              number of the queue's waiting jobs */
  VP_CALLER_REQUEST_CANCEL,
  VP_CALLER_REQUEST_UNKNOWN, /* the HTTP method isn't supported */
} VpCallerRequestKind;

typedef struct {
  uint64_t handle; /* identifies the request; the reply has the same handle */
  VpCallerRequestKind kind;
  char *host;
  char *path;
  char *key;       /* NULL: the request has no key */
  int64_t wait_ms; /* how long the caller waits for the reply; 0: unknown */
  VpJobSpec *spec; /* SUBMIT: the job; NULL: the body is malformed or was skipped */
  /* The body was not kept, as a configuration of that time rejected the request by its headers. */
  bool is_body_skipped;
} VpCallerRequest;

typedef enum {
  VP_REPLY_ACCEPTED,
  VP_REPLY_STATE,
  VP_REPLY_PENDING_COUNT,
  VP_REPLY_CANCELLED,
  VP_REPLY_NO_SUCH_JOB,
  VP_REPLY_NO_QUEUE,
  VP_REPLY_BAD_KEY,
  VP_REPLY_MALFORMED,
  VP_REPLY_BAD_METHOD,
  VP_REPLY_REJECTED,        /* never carried out; the caller may retry after @retry_after_ms */
  VP_REPLY_OUTCOME_UNKNOWN, /* the request may or may not have been carried out */
} VpReplyKind;

typedef struct {
  uint64_t handle; /* the handle of the request */
  VpReplyKind kind;
  VpJobState state;        /* STATE: state of the job */
  uint32_t count;          /* PENDING_COUNT: number of waiting jobs */
  uint32_t retry_after_ms; /* REJECTED: the caller should wait this long before it retries */
} VpReply;

/* An atomic transaction in the platform's store, carried out only if the leader record has the
 * given revision. */
typedef struct {
  uint64_t serial;          /* the result has the same serial */
  uint64_t record_revision; /* 0: the record must not exist */
  GPtrArray *keys;          /* char *: keys to set */
  GPtrArray *values;        /* GBytes *: a value for each of @keys */
  GPtrArray *removed;       /* char *: keys to remove */
} VpStoreWrite;

typedef enum {
  VP_WRITE_OK,
  VP_WRITE_CONFLICT,    /* not done: the record has another revision */
  VP_WRITE_UNAVAILABLE, /* not done: the store was unreachable or rejected the request */
  VP_WRITE_UNKNOWN,     /* may be carried out, also later, if the record still has the revision */
} VpWriteOutcome;

typedef struct {
  uint64_t serial;
  VpWriteOutcome outcome;
  uint64_t revision; /* OK: revision of the write; CONFLICT: revision of the record */
  GBytes *record;    /* CONFLICT: value of the record; NULL: it does not exist */
} VpStoreWriteResult;

typedef struct {
  bool is_ok;
  uint64_t revision; /* 0: the record does not exist */
  GBytes *record;
} VpRecordReadResult;

/* Everything that the store holds of jobs and workers: the values below each key prefix. */
typedef struct {
  uint64_t serial;
  bool is_ok;
  GPtrArray *ended;    /* GBytes *: ends of jobs */
  GPtrArray *jobs;     /* GBytes *: accepted jobs */
  GPtrArray *progress; /* GBytes *: progress of jobs */
  GPtrArray *workers;  /* GBytes *: a single list of the workers that may be in use, or nothing */
  GPtrArray *config;   /* GBytes *: a single VP_JOBCONFIG_TYPE, or nothing; NULL: nothing */
} VpStoreLoadResult;

typedef enum {
  VP_NODE_EVENT_TICK, /* has no data and no effect of its own */
  VP_NODE_EVENT_REQUEST,
  VP_NODE_EVENT_CALLER_GONE, /* the caller has disconnected; identified by @handle */
  VP_NODE_EVENT_MESSAGE,
  VP_NODE_EVENT_WRITE_RESULT,
  VP_NODE_EVENT_RECORD_READ,
  VP_NODE_EVENT_JOBS_LOADED,
  VP_NODE_EVENT_COMMAND_RESULT,
  VP_NODE_EVENT_ADVICE_RESULT,
  VP_NODE_EVENT_CONFIG,      /* a new configuration, decoded and as text */
  VP_NODE_EVENT_EVACUATIONS, /* the complete set of DCs under evacuation */
  VP_NODE_EVENT_MEMBER, /* a process is listed at an address; empty address: not listed any more */
  VP_NODE_EVENT_WORKER_LIST, /* the complete list of workers */
  VP_NODE_EVENT_WORKER,      /* one worker was added or has changed */
  VP_NODE_EVENT_WORKER_GONE, /* the worker @worker_id isn't listed any more */
  VP_NODE_EVENT_STOP,        /* the process has to stop */
} VpNodeEventKind;

typedef struct {
  VpNodeEventKind kind;
  uint64_t handle;
  union {
    VpCallerRequest request;
    VpNodeMsg message;
    VpStoreWriteResult written;
    VpRecordReadResult record;
    VpStoreLoadResult loaded;
    VpCommandResult command;
    struct {
      uint64_t serial;
      char *requester; /* process that requested the call */
      GArray *rows;    /* VpAdviceRow; NULL: the call failed */
    } advice;
    struct {
      VpCellConfig *config;
      GBytes *text;
    } config;
    struct {
      char name[VP_PROCESS_NAME_MAX];
      char address[VP_ADDRESS_MAX];
    } member;
    GPtrArray *evacuated_dcs; /* char *: names of DCs */
    GArray *workers;          /* VpWorkerEntry of the complete list */
    VpWorkerEntry worker;
    char *worker_id;
  };
} VpNodeEvent;

typedef enum {
  VP_NODE_EFFECT_REPLY,
  VP_NODE_EFFECT_SEND,
  VP_NODE_EFFECT_CONNECT,
  VP_NODE_EFFECT_WRITE,
  VP_NODE_EFFECT_READ_RECORD,
  VP_NODE_EFFECT_LOAD_JOBS,
  VP_NODE_EFFECT_COMMAND,
  VP_NODE_EFFECT_REQUEST_ADVICE,
  VP_NODE_EFFECT_WATCH_WORKERS, /* @is_on: start or stop watching */
  VP_NODE_EFFECT_DECODE_CONFIG, /* @send.bytes: text of a configuration; the result is a
                                   VP_NODE_EVENT_CONFIG */
  VP_NODE_EFFECT_SET_READY,     /* @is_on: whether new connections are accepted */
  VP_NODE_EFFECT_CLOSE,         /* close each connection after its next reply */
  VP_NODE_EFFECT_EXIT,
} VpNodeEffectKind;

typedef struct {
  VpNodeEffectKind kind;
  union {
    VpReply reply;
    struct {
      char peer[VP_PROCESS_NAME_MAX];
      char address[VP_ADDRESS_MAX];
      GBytes *bytes;
    } send; /* for SEND, CONNECT and DECODE_CONFIG */
    VpStoreWrite write;
    uint64_t serial; /* for LOAD_JOBS; the result has the same serial */
    VpCommand command;
    struct {
      VpAdviceRequest request;
      char *requester;
    } advice;
    bool is_on;
  };
} VpNodeEffect;

typedef struct {
  VpNodeEffect *items;
  uint32_t count;
  uint32_t capacity;
} VpNodeEffects;

/* Appends a zeroed effect. The pointer is valid until the next call. */
VpNodeEffect *vp_node_effects_add (VpNodeEffects *effects, VpNodeEffectKind kind);
void vp_node_effects_clear (VpNodeEffects *effects);
void vp_node_effects_free (VpNodeEffects *effects);
void vp_node_event_clear (VpNodeEvent *event);
void vp_caller_request_clear (VpCallerRequest *request);
/* Makes a deep copy, so that a write can be sent more than once. */
void vp_store_write_copy (VpStoreWrite *to, const VpStoreWrite *from);
void vp_store_write_clear (VpStoreWrite *write);
/* Reads a GVariant of @type in normal form; NULL if @bytes is NULL or holds anything else. */
GVariant *vp_node_variant_from_bytes (GBytes *bytes, const char *type);
GBytes *vp_node_variant_to_bytes (GVariant *floating);
