/* Requests of callers and operators, parsed from a JSON body to a struct, and the JSON of answers.
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

/* Reference counted. The fields are not changed after the request was handed to the core. */
typedef struct {
  gatomicrefcount refs;
  VpRequestOp op;
  char key[VP_KEY_MAX]; /* key from "Authorization: Bearer"; empty: none */
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  char identity[VP_IDENTITY_MAX]; /* empty: none */
  VpTaskId task;                  /* GET, EXPLAIN, CANCEL of one task */
  GArray *tasks;                  /* CANCEL of several tasks: VpTaskId; NULL otherwise */
  VpResources size;               /* resources of one task */
  uint32_t task_count;            /* tasks; 1 unless the profile is a gang */
  bool is_repeatable;
  bool is_waiting;     /* the caller waits for the answer on this connection */
  bool is_wait_given;  /* @is_waiting is set; if not, it becomes true for service profiles */
  int64_t deadline_ms; /* SUBMIT: time allowed from arrival to start; 0: the profile's */
  int64_t run_time_ms; /* run time that the caller declared; 0: unknown */
  uint64_t revision;   /* CONFIG_PUT: expected revision; CONFIG_GET: answered once the
                          current revision is above it, or at once if it is 0 */
  GBytes *payload;     /* SUBMIT: given to the task; CONFIG_PUT: the document; may be NULL */
} VpRequest;

#define VP_REQUEST_TASKS_MAX 256 /* largest number of tasks in a cancel request and in a gang */

VpRequest *vp_request_new (VpRequestOp op);
VpRequest *vp_request_ref (VpRequest *request);
void vp_request_unref (VpRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (VpRequest, vp_request_unref)

/* Thirty days. Longer times are taken for a mistaken unit and refused. */
#define VP_REQUEST_TIME_MAX_MS (INT64_C (30) * 86400000)

/* Parse a JSON body. NULL and a GError (VP_JSON_ERROR) that names the field's path if the body is
 * not valid. Errors are unknown fields, wrong types, a size that is negative or zero in all fields,
 * names that are too long, and a missing identity of a request that must not be repeated.
 * Identities in a cancel request are converted to @tasks. */
VpRequest *vp_request_parse_submit (const char *text, size_t size, GError **error);
VpRequest *vp_request_parse_cancel (const char *text, size_t size, GError **error);

/* Digest of the fields that must be equal if an identity is used again: team, profile, size, count,
 * repeatable and payload. Times and waiting may differ between a request and its retry. */
uint64_t vp_request_digest (const VpRequest *request);

/* Formats the outcome of a task as {"task","state","answer","worker"} or, with a reason, as
 * {"task","state","error":{"reason","message","run"}}. @answer may be NULL. An answer that is not
 * UTF-8 is given as "answer_base64". */
GBytes *vp_request_format_outcome (VpTaskId task,
                                   VpTaskState state,
                                   VpReason reason,
                                   const char *worker,
                                   GBytes *answer);
/* Formats {"error":{"reason","message","run"}}; @detail is appended to the message unless it is
 * NULL or empty. */
GBytes *vp_request_format_error (VpReason reason, const char *detail);
