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
  VP_NODEMSG_SUBMIT,         /* body: the job specification */
  VP_NODEMSG_QUERY,          /* requests the state of a job */
  VP_NODEMSG_CANCEL,         /* cancels a job */
  VP_NODEMSG_PENDING_COUNT,  /* requests the number of jobs of a queue that haven't started */
  VP_NODEMSG_ANSWER,         /* answers SUBMIT, QUERY, CANCEL and PENDING_COUNT */
  VP_NODEMSG_ADVICE_REQUEST, /* requests an advice call; body: its arguments */
  VP_NODEMSG_ADVICE_RESULT,  /* result of an advice call; body: its rows; no body: it failed */
  VP_NODEMSG_CONFIG_REQUEST, /* requests the configuration */
  VP_NODEMSG_CONFIG,         /* body: the text of the configuration */
  VP_NODEMSG_HANDOVER,       /* the sender's term ends; the receiver may claim leadership */
  VP_NODEMSG_COMMANDS,       /* commands that the receiver sends to workers, see vp-relay.h */
  VP_NODEMSG_RESULTS,        /* results of such commands */
  VP_NODEMSG_KIND_COUNT,
} VpNodeMsgKind;

/* Outcome of a caller's request as reported by the leader. */
typedef enum {
  VP_ANSWER_ACCEPTED,
  VP_ANSWER_STATE,         /* the state of the job is in @state */
  VP_ANSWER_PENDING_COUNT, /* the number of jobs is in @count */
  VP_ANSWER_NO_SUCH_JOB,
  VP_ANSWER_REJECTED,        /* never accepted; the caller may retry after @retry_after_ms */
  VP_ANSWER_OUTCOME_UNKNOWN, /* the request may have been accepted or not; the caller may retry */
  VP_ANSWER_NOT_LEADER,      /* nothing was done; the sender may ask the leader, or retry */
  VP_ANSWER_KIND_COUNT,
} VpAnswerKind;

/* A PING carries the highest term that the sender knows, which is its own if it leads. The other
 * requests carry a @serial, which the answer repeats together with the term of the answering
 * leader. Callers' requests carry the term of the leader that they are sent to. COMMANDS and
 * RESULTS carry the term of the leader that gives the commands. */
typedef struct {
  VpNodeMsgKind kind;
  char from[VP_PROCESS_NAME_MAX];
  uint64_t serial;
  uint64_t term;
  bool is_leader;     /* PING: the sender leads @term */
  bool hears_leader;  /* PING: pings of the leader arrive at the sender, or it leads itself */
  bool is_stopping;   /* PING: the sender stops and will not become leader */
  const char *dc;     /* PING: DC of the sender; NULL: none */
  uint32_t cpu_milli; /* PING: CPU share of the sender's VM, in thousandths of a core */
  int64_t age_ms;     /* PING: time since the sender started */
  int64_t sent_ms;    /* PING: send time on the sender's clock; COMMANDS: time at which it gave
                         the first one */
  int64_t echo_ms;    /* PING: @sent_ms of the receiver's last ping that the sender has; 0: none */
  int64_t store_failing_ms; /* PING of the leader: time without a commit while commits fail */
  uint64_t config_version;  /* PING, CONFIG: version of the configuration; 0: none */
  uint64_t job;
  const char *queue; /* NULL: none */
  VpAnswerKind answer;
  uint32_t state; /* VpJobState */
  uint32_t count; /* answer to PENDING_COUNT; PING: newest form of COMMANDS and RESULTS that the
                     sender reads, see vp-relay.h; 0 in those of earlier versions */
  uint32_t retry_after_ms;
  GVariant *body;  /* owned; NULL: none */
  GVariant *value; /* owned: the decoded message, which its texts belong to; NULL: they belong to
                      others */
} VpNodeMsg;

/* Consumes the floating reference of @message->body, if any. */
GBytes *vp_nodemsg_encode (const VpNodeMsg *message);
/* Returns false if @wire isn't a valid message of this version. */
bool vp_nodemsg_decode (GBytes *wire, VpNodeMsg *out);
void vp_nodemsg_clear (VpNodeMsg *message);
const char *vp_nodemsg_kind_token (VpNodeMsgKind kind);
const char *vp_answer_kind_token (VpAnswerKind kind);
