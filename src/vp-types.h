/* Basic values shared by all modules: sizes, identities, states and reasons.
 *
 *   VpResources need = { .cpu_milli = 500, .mem_mib = 256 };
 *   VpResources free = { .cpu_milli = 16000, .mem_mib = 32768, .accel_count = 1 };
 *   if (vp_resources_fits (&need, &free))
 *     vp_resources_sub (&free, &need);
 *
 * Time is an argument of every deciding function: milliseconds of the Unix epoch, from a clock
 * that never steps back while the process lives (see vp-runtime.h).
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define VP_NAME_MAX         48 /* bytes of a team, profile, DC, worker or member name with its NUL */
#define VP_IDENTITY_MAX     128 /* bytes of a caller's request identity with its NUL */
#define VP_KEY_MAX          128 /* bytes of a presented key with its NUL */
#define VP_ADDRESS_MAX      64  /* bytes of "IP:port" with its NUL */
#define VP_STORE_KEY_MAX    96  /* bytes of a key in the platform's store with its NUL */
#define VP_TASK_ID_TEXT_MAX 33  /* bytes of a task identity in hexadecimal with its NUL */
#define VP_ATTEMPT_TEXT_MAX 64  /* bytes of an attempt's text form with its NUL */
#define VP_MEMBERS_MAX      64  /* entry processes of one deployment */

/* Resources of a task, a worker, a grant or a limit. */
typedef struct {
  int64_t cpu_milli;   /* thousandths of a processor */
  int64_t mem_mib;     /* MiB */
  int64_t accel_count; /* whole accelerators */
} VpResources;

/* 128-bit identity of a task or job. */
typedef struct {
  uint64_t hi;
  uint64_t lo;
} VpTaskId;

/* One attempt to run one member of a task; a job of one task has only member 0. */
typedef struct {
  VpTaskId task;
  uint32_t member;
  uint32_t attempt; /* counts from 1; a new attempt starts only after the last one is known ended */
} VpAttempt;

typedef enum {
  VP_PROFILE_SERVICE, /* latency-bound */
  VP_PROFILE_BATCH,   /* deferrable */
  VP_PROFILE_GANG,    /* all tasks at once or none */
} VpProfileKind;

typedef enum {
  VP_TASK_NONE,
  VP_TASK_QUEUED,
  VP_TASK_STARTING, /* the intent is durable, a start may have left */
  VP_TASK_RUNNING,
  VP_TASK_DONE,      /* the answer is known */
  VP_TASK_FAILED,    /* it ran and failed; final */
  VP_TASK_CANCELLED, /* by its caller */
  VP_TASK_REFUSED,   /* never ran */
  VP_TASK_UNKNOWN,   /* it may have run; not settled yet */
  VP_TASK_LOST,      /* it may have run; its worker is gone and the answer with it */
} VpTaskState;

/* Why a request was refused or a task ended. Each has a token, an HTTP status and a promise. */
typedef enum {
  VP_REASON_NONE,
  VP_REASON_BAD_KEY,
  VP_REASON_KEY_UNCERTAIN, /* this process can't tell whether its keys are still valid */
  VP_REASON_BAD_REQUEST,
  VP_REASON_TOO_LARGE, /* body over the limit */
  VP_REASON_SLOW_CLIENT,
  VP_REASON_UNKNOWN_PROFILE,
  VP_REASON_UNKNOWN_TEAM,
  VP_REASON_NOT_FOUND,
  VP_REASON_IMPOSSIBLE_SIZE, /* fits no worker even when empty, or passes the team's limit */
  VP_REASON_IDENTITY_REUSED, /* same identity, different request */
  VP_REASON_QUEUE_FULL,
  VP_REASON_DEADLINE,   /* can't meet, or has passed, its deadline before it started */
  VP_REASON_OVERLOADED, /* process limits */
  VP_REASON_NO_OWNER,   /* the DC has no owner that can be reached */
  VP_REASON_STORE_DOWN, /* the intent can't be made durable */
  VP_REASON_LEDGER_FULL,
  VP_REASON_SHUTTING_DOWN,
  VP_REASON_CANCELLED,
  VP_REASON_TASK_FAILED, /* it ran and failed within its tries */
  VP_REASON_WORKER_LOST, /* its worker went away while it may have run */
  VP_REASON_OWNER_LOST,  /* the owner went away while it may have run */
  VP_REASON_CONFLICT,    /* configuration: the expected revision is not the current one */
  VP_REASON_NO_MAJORITY, /* configuration: too few entry processes can be reached */
  VP_REASON_BAD_CONFIG,
  VP_REASON_COUNT,
} VpReason;

/* True if @need is at most @room in every dimension. */
bool vp_resources_fits (const VpResources *need, const VpResources *room);
void vp_resources_add (VpResources *sum, const VpResources *term);
void vp_resources_sub (VpResources *sum, const VpResources *term);
void vp_resources_scale (VpResources *size, int64_t count);
VpResources vp_resources_min (const VpResources *a, const VpResources *b);
VpResources vp_resources_max (const VpResources *a, const VpResources *b);
bool vp_resources_is_zero (const VpResources *size);
/* True if no field is below zero. */
bool vp_resources_is_valid (const VpResources *size);

/* Largest part of @total that @used takes in any dimension, as a fraction; 0 for empty dimensions.
 */
double vp_resources_dominant_share (const VpResources *used, const VpResources *total);

bool vp_task_id_equal (VpTaskId a, VpTaskId b);
bool vp_task_id_is_zero (VpTaskId id);
guint vp_task_id_hash (gconstpointer id); /* for GHashTable, key is VpTaskId* */
gboolean vp_task_id_equal_ptr (gconstpointer a, gconstpointer b);
void vp_task_id_format (VpTaskId id, char out[VP_TASK_ID_TEXT_MAX]);
/* False if @text is not 32 hexadecimal digits. */
bool vp_task_id_parse (const char *text, VpTaskId *out);
/* Identity of a request that carries its own identity: a hash of team and identity. */
VpTaskId vp_task_id_from_identity (const char *team, const char *identity);
/* Identity of a request without one: unique by process, boot and sequence. */
VpTaskId vp_task_id_from_sequence (const char *member, uint64_t boot, uint64_t sequence);

/* "<32 hex>.<member>.<attempt>", the name of the attempt on a worker. */
void vp_attempt_format (const VpAttempt *attempt, char out[VP_ATTEMPT_TEXT_MAX]);
bool vp_attempt_parse (const char *text, VpAttempt *out);
bool vp_attempt_equal (const VpAttempt *a, const VpAttempt *b);

/* Copies a name; false (and an empty @out) if it is too long for @out_size. */
bool vp_name_copy (char *out, size_t out_size, const char *text);

const char *vp_task_state_token (VpTaskState state);
bool vp_task_state_parse (const char *token, VpTaskState *out);
bool vp_task_state_is_final (VpTaskState state);
const char *vp_reason_token (VpReason reason);
const char *vp_reason_message (VpReason reason);
/* Inverse of vp_reason_token(); false for an unknown token. */
bool vp_reason_parse (const char *token, VpReason *out);
uint32_t vp_reason_http_status (VpReason reason);
/* True if the reason promises that the request did not run and will not run. */
bool vp_reason_guarantees_not_run (VpReason reason);
const char *vp_profile_kind_token (VpProfileKind kind);
