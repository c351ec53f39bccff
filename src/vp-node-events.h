/* Events that a node takes and effects that it returns, as data.
 *
 *   VpNodeEffects out = { 0 };
 *   vp_node_apply (node, &event, now_ms, &out);
 *   for (uint32_t i = 0; i < out.count; i++)
 *     carry_out (&out.items[i]);
 *   vp_node_effects_clear (&out);
 *   vp_node_event_clear (&event);
 *
 * An event and an effect own what they point to.
 */
#pragma once

#include "vp-cell.h"
#include "vp-nodemsg.h"

/* A caller's request, decoded. */
typedef enum {
  VP_CALLER_REQUEST_SUBMIT,
  VP_CALLER_REQUEST_QUERY, /* state of a job, or the count of a queue if the path names no job */
  VP_CALLER_REQUEST_CANCEL,
  VP_CALLER_REQUEST_UNKNOWN, /* another method */
} VpCallerRequestKind;

typedef struct {
  uint64_t handle;
  VpCallerRequestKind kind;
  char host[VP_HOST_MAX];
  char path[VP_HOST_MAX * 2];
  char key[VP_KEY_MAX]; /* empty: none */
  int64_t wait_ms;      /* how long the caller waits; 0: not told */
  VpJobSpec *spec;      /* SUBMIT; NULL: malformed */
} VpCallerRequest;

typedef enum {
  VP_REPLY_ACCEPTED,
  VP_REPLY_STATE,
  VP_REPLY_PENDING_COUNT,
  VP_REPLY_CANCELLED,
  VP_REPLY_NO_SUCH_JOB, /* no such job */
  VP_REPLY_NO_QUEUE,
  VP_REPLY_BAD_KEY,
  VP_REPLY_MALFORMED,
  VP_REPLY_BAD_METHOD,
  VP_REPLY_REJECTED,        /* not done and never will be; come back after @retry_after_ms */
  VP_REPLY_OUTCOME_UNKNOWN, /* may or may not have been done */
} VpReplyKind;

typedef struct {
  uint64_t handle;
  VpReplyKind kind;
  VpJobState state;
  uint32_t count;
  uint32_t retry_after_ms;
} VpReply;

/* Writes in the platform's store, all or none, if the leader's record has the revision. */
typedef struct {
  uint64_t serial;
  uint64_t record_revision; /* 0: the record must not exist */
  GPtrArray *keys;          /* char *: to be set */
  GPtrArray *values;        /* GBytes *, one for each key */
  GPtrArray *removed;       /* char *: keys to be removed */
} VpStoreWrite;

typedef enum {
  VP_WRITE_OK,
  VP_WRITE_CONFLICT,    /* the record has another revision */
  VP_WRITE_UNAVAILABLE, /* certainly not done */
  VP_WRITE_UNKNOWN,     /* may be done, now or later, if the record still has the revision */
} VpWriteOutcome;

typedef struct {
  uint64_t serial;
  VpWriteOutcome outcome;
  uint64_t revision; /* OK: of the write; CONFLICT: of the record */
  GBytes *record;    /* CONFLICT: its value; NULL: it does not exist */
} VpStoreWriteResult;

typedef struct {
  bool is_ok;
  uint64_t revision; /* 0: the record does not exist */
  GBytes *record;
} VpRecordReadResult;

/* All that is kept of jobs: values by prefix. */
typedef struct {
  uint64_t serial;
  bool is_ok;
  GPtrArray *ended; /* GBytes */
  GPtrArray *jobs;
  GPtrArray *progress;
  GPtrArray *workers; /* one list of the workers that may be in use, or none */
} VpStoreLoadResult;

typedef enum {
  VP_NODE_EVENT_TICK,
  VP_NODE_EVENT_REQUEST,
  VP_NODE_EVENT_CALLER_GONE, /* @handle */
  VP_NODE_EVENT_MESSAGE,
  VP_NODE_EVENT_WRITE_RESULT,
  VP_NODE_EVENT_RECORD_READ,
  VP_NODE_EVENT_JOBS_LOADED,
  VP_NODE_EVENT_ORDER_RESULT,
  VP_NODE_EVENT_ADVICE_RESULT,
  VP_NODE_EVENT_CONF,        /* a configuration with its text */
  VP_NODE_EVENT_MEMBER,      /* another process is listed at an address; empty: no longer */
  VP_NODE_EVENT_WORKER_LIST, /* the whole list of workers */
  VP_NODE_EVENT_WORKER,      /* one worker is listed or has changed */
  VP_NODE_EVENT_WORKER_GONE,
  VP_NODE_EVENT_STOP,
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
    VpOrderResult order;
    struct {
      uint64_t serial;
      char asker[VP_NAME_MAX]; /* process whose call it was */
      GArray *rows;            /* VpAdviceRow; NULL: failed */
    } advice;
    struct {
      VpCellConf *conf;
      GBytes *text;
    } conf;
    struct {
      char name[VP_NAME_MAX];
      char address[VP_ADDRESS_MAX];
    } member;
    GArray *workers; /* VpWorkerEntry */
    VpWorkerEntry worker;
    char worker_id[VP_NAME_MAX];
  };
} VpNodeEvent;

typedef enum {
  VP_NODE_EFFECT_REPLY,
  VP_NODE_EFFECT_SEND,
  VP_NODE_EFFECT_CONNECT,
  VP_NODE_EFFECT_WRITE,
  VP_NODE_EFFECT_READ_RECORD,
  VP_NODE_EFFECT_LOAD_JOBS,
  VP_NODE_EFFECT_ORDER,
  VP_NODE_EFFECT_REQUEST_ADVICE,
  VP_NODE_EFFECT_WATCH_WORKERS, /* @is_on */
  VP_NODE_EFFECT_DECODE_CONF, /* @bytes, the text of a configuration; comes back as VP_NODE_EVENT_CONF */
  VP_NODE_EFFECT_SET_READY, /* @is_on: new connections are welcome */
  VP_NODE_EFFECT_CLOSE,     /* connections end with their next answer */
  VP_NODE_EFFECT_EXIT,
} VpNodeEffectKind;

typedef struct {
  VpNodeEffectKind kind;
  union {
    VpReply reply;
    struct {
      char peer[VP_NAME_MAX];
      char address[VP_ADDRESS_MAX];
      GBytes *bytes;
    } send; /* SEND, CONNECT, DECODE_CONF */
    VpStoreWrite write;
    uint64_t serial; /* LOAD */
    VpOrder order;
    struct {
      VpAdviceAsk ask;
      char asker[VP_NAME_MAX];
    } ask;
    bool is_on;
  };
} VpNodeEffect;

typedef struct {
  VpNodeEffect *items;
  uint32_t count;
  uint32_t capacity;
} VpNodeEffects;

/* Appends a zeroed effect; the pointer is good until the next call. */
VpNodeEffect *vp_node_effects_add (VpNodeEffects *effects, VpNodeEffectKind kind);
void vp_node_effects_clear (VpNodeEffects *effects);
void vp_node_effects_free (VpNodeEffects *effects);
void vp_node_event_clear (VpNodeEvent *event);
/* Deep copy, for a write that is sent again. */
void vp_store_write_copy (VpStoreWrite *to, const VpStoreWrite *from);
void vp_store_write_clear (VpStoreWrite *write);
/* Normal-form GVariant of @type from bytes; NULL: not one. */
GVariant *vp_node_variant_from_bytes (GBytes *bytes, const char *type);
GBytes *vp_node_variant_to_bytes (GVariant *floating);
