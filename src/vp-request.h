/* A caller's or operator's request, from its JSON body to a plain struct, and answers to JSON.
 *
 *   g_autoptr (GError) error = NULL;
 *   VpRequest *request = vp_request_parse_submit (body, size, &error);
 *   if (request == NULL)
 *     reply (400, error->message);      // names the field's path
 *   ...
 *   vp_request_unref (request);
 */
#pragma once

#include "vp-types.h"

typedef enum {
  VP_OP_SUBMIT,
  VP_OP_GET,
  VP_OP_CANCEL,
  VP_OP_EXPLAIN,
  VP_OP_CONFIG_GET,
  VP_OP_CONFIG_PUT,
  VP_OP_STATUS,
  VP_OP_PLACEMENTS,
  VP_OP_AUDIT,
  VP_OP_METRICS,
} VpRequestOp;

/* Reference counted; fields are not changed after the request was handed to the reducer. */
typedef struct {
  gatomicrefcount refs;
  VpRequestOp op;
  char key[VP_KEY_MAX]; /* from "Authorization: Bearer"; empty: none */
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  char identity[VP_IDENTITY_MAX]; /* empty: none */
  VpTaskId task;                  /* GET, EXPLAIN, CANCEL of one */
  GArray *tasks;                  /* CANCEL of many: VpTaskId; NULL otherwise */
  VpResources size;               /* of one member */
  uint32_t task_count;            /* members; 1 unless the profile is a gang */
  bool is_repeatable;
  bool is_waiting;     /* the caller waits for the answer on this connection */
  bool is_wait_given;  /* false: @is_waiting is not set yet; true for service profiles */
  int64_t deadline_ms; /* SUBMIT: time allowed from arrival to start; 0: the profile's */
  int64_t run_time_ms; /* declared; 0: unknown */
  uint64_t revision;   /* CONFIG_PUT: expected; CONFIG_GET: answer once it is above; 0: at once */
  GBytes *payload;     /* SUBMIT: given to the task; CONFIG_PUT: the document; may be NULL */
} VpRequest;

#define VP_REQUEST_TASKS_MAX 256 /* tasks in one cancel request; gang members */

VpRequest *vp_request_new (VpRequestOp op);
VpRequest *vp_request_ref (VpRequest *request);
void vp_request_unref (VpRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (VpRequest, vp_request_unref)

#define VP_REQUEST_TIME_MAX_MS                                                                     \
  (INT64_C (30) * 86400000) /* longer times are taken for a wrong unit */

/* Parse a JSON body. NULL and a GError (VP_JSON_ERROR) that names the field's path if it is not
 * valid: unknown fields, wrong types, sizes below zero or all zero, names too long, no identity
 * although it may not be repeated. Identities in a cancel request are converted to @tasks. */
VpRequest *vp_request_parse_submit (const char *text, size_t size, GError **error);
VpRequest *vp_request_parse_cancel (const char *text, size_t size, GError **error);

/* Digest of what must be equal when the same identity comes again: team, profile, size, count,
 * repeatable, payload. Times and waiting may differ between a request and its retry. */
uint64_t vp_request_digest (const VpRequest *request);

/* {"task","state","answer","worker"} for a task, or
 * {"task","state","error":{"reason","message","run"}}. @answer may be NULL; an answer that is not
 * UTF-8 is given as "answer_base64". */
GBytes *vp_request_format_outcome (VpTaskId task,
                                   VpTaskState state,
                                   VpReason reason,
                                   const char *worker,
                                   GBytes *answer);
/* {"error":{"reason","message","run"}} with an optional detail text. */
GBytes *vp_request_format_error (VpReason reason, const char *detail);
