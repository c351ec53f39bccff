/* Messages between the processes of a cell, as GVariant.
 *
 *   GBytes *wire = vp_nodemsg_encode (&(VpNodeMsg){ .kind = VP_NODEMSG_QUERY, .from = "nadi-1" });
 *   VpNodeMsg in;
 *   if (!vp_nodemsg_decode (wire, &in))
 *     ... count and drop ...
 *   vp_nodemsg_clear (&in);
 */
#pragma once

#include "vp-types.h"

typedef enum {
  VP_NODEMSG_PING,
  VP_NODEMSG_SUBMIT,         /* body: the job */
  VP_NODEMSG_QUERY,          /* state of a job */
  VP_NODEMSG_CANCEL,         /* of a job */
  VP_NODEMSG_PENDING_COUNT,  /* jobs of a queue that haven't started */
  VP_NODEMSG_ANSWER,         /* to the four before */
  VP_NODEMSG_ADVICE_REQUEST, /* body: an advice call to make */
  VP_NODEMSG_ADVICE_RESULT,  /* its result; body: rows, none: failed */
  VP_NODEMSG_CONF_REQUEST,   /* for the configuration */
  VP_NODEMSG_CONF,           /* body: its text */
  VP_NODEMSG_HANDOVER,       /* the sender's term ends; the receiver may claim the next one */
  VP_NODEMSG_KIND_COUNT,
} VpNodeMsgKind;

/* Outcome of a caller's request, as the leader tells it. */
typedef enum {
  VP_ANSWER_ACCEPTED,
  VP_ANSWER_STATE,           /* @state */
  VP_ANSWER_PENDING_COUNT,   /* @count */
  VP_ANSWER_NO_SUCH_JOB,     /* no such job */
  VP_ANSWER_REJECTED,        /* not accepted, never runs; worth another try after @retry_after_ms */
  VP_ANSWER_OUTCOME_UNKNOWN, /* it may have been accepted or not; worth another try */
  VP_ANSWER_NOT_LEADER,      /* nothing done: ask the leader, or this one again later */
  VP_ANSWER_KIND_COUNT,
} VpAnswerKind;

/* PING uses @term and @is_leader, or the term of the leader that it hears; the others use
 * @serial, which the answer repeats with the term of the leader that gives it. */
typedef struct {
  VpNodeMsgKind kind;
  char from[VP_NAME_MAX];
  uint64_t serial;
  uint64_t term;
  bool is_leader;
  bool hears_leader;
  bool is_stopping;   /* PING: it will not take the leader's place */
  uint32_t cpu_milli; /* PING: processor time of its VM */
  int64_t age_ms;     /* PING: since its start */
  int64_t sent_ms;    /* PING: on the sender's clock */
  int64_t echo_ms;    /* PING: @sent_ms of the receiver's last ping that the sender has; 0: none */
  int64_t store_failing_ms; /* PING of the leader: since its last successful write */
  uint64_t conf_version;
  uint64_t job;
  char queue[VP_NAME_MAX];
  VpAnswerKind answer;
  uint32_t state; /* VpJobState */
  uint32_t count;
  uint32_t retry_after_ms;
  GVariant *body; /* owned; NULL: none */
} VpNodeMsg;

/* Takes a floating body. */
GBytes *vp_nodemsg_encode (const VpNodeMsg *message);
bool vp_nodemsg_decode (GBytes *wire, VpNodeMsg *out);
void vp_nodemsg_clear (VpNodeMsg *message);
const char *vp_nodemsg_kind_token (VpNodeMsgKind kind);
