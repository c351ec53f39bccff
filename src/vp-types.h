/* Basic types shared by all modules: resources, task identities, states and reasons.
 *
 *   VpResources need = { .cpu_milli = 500, .mem_mib = 256 };
 *   VpResources free = { .cpu_milli = 16000, .mem_mib = 32768, .accel_count = 1 };
 *   if (vp_resources_fits (&need, &free))
 *     vp_resources_sub (&free, &need);
 *
 * Functions that make decisions take the current time as an argument: milliseconds of the Unix
 * epoch, from a clock that never steps back during the life of the process (see vp-runtime.h).
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Bytes of a name in the product's own interface, with NUL: of a team, profile, DC, worker or
 * member. Names that the users' platform gives are longer, see vp-text.h. */
#define VP_NAME_MAX 48
/* Bytes of the name of a process, with NUL. It is part of a key of the platform's store, which has
 * at most 200 bytes (PROTOCOL.md, "The platform's metadata store"). */
#define VP_PROCESS_NAME_MAX 201
#define VP_IDENTITY_MAX     128 /* bytes of a caller's request identity, with NUL */
#define VP_KEY_MAX          128 /* bytes of a caller's key, with NUL */
#define VP_ADDRESS_MAX      64  /* bytes of "IP:port", with NUL */
#define VP_STORE_KEY_MAX    96  /* bytes of a key in the platform's store, with NUL */
#define VP_TASK_ID_TEXT_MAX 33  /* bytes of a task identity in hexadecimal, with NUL */
#define VP_ATTEMPT_TEXT_MAX 64  /* bytes of an attempt's text form, with NUL */
#define VP_MEMBERS_MAX      64  /* entry processes of one deployment */

/* Amounts of the resources that a task needs, a worker has, a grant gives or a limit allows. */
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

/* One attempt to run one member of a task. Only gangs have members other than 0. */
typedef struct {
  VpTaskId task;
  uint32_t member;
  uint32_t attempt; /* counts from 1; the next one starts once this one is known to have ended */
} VpAttempt;

typedef enum {
  VP_PROFILE_SERVICE, /* latency-sensitive work */
  VP_PROFILE_BATCH,   /* deferrable work */
  VP_PROFILE_GANG,    /* all members start at once or none does */
} VpProfileKind;

typedef enum {
  VP_TASK_NONE,
  VP_TASK_QUEUED,
  VP_TASK_STARTING, /* the intent to start is durable, and the command may have been sent */
  VP_TASK_RUNNING,
  VP_TASK_DONE,      /* the task succeeded and its answer is known */
  VP_TASK_FAILED,    /* the task ran and failed */
  VP_TASK_CANCELLED, /* the caller cancelled the task */
  VP_TASK_REFUSED,   /* the task never ran */
  VP_TASK_UNKNOWN,   /* the task may have run; its outcome may still become known */
  VP_TASK_LOST,      /* the task may have run; its worker and its answer are lost */
} VpTaskState;

/* Why a request was refused or a task ended. Each reason has a token, an HTTP status, and a flag
 * that tells whether the request certainly did not run. */
typedef enum {
  VP_REASON_NONE,
  VP_REASON_BAD_KEY,
  VP_REASON_KEY_UNCERTAIN, /* this process can't tell whether its keys are still valid */
  VP_REASON_BAD_REQUEST,
  VP_REASON_TOO_LARGE, /* the body exceeds the limit */
  VP_REASON_SLOW_CLIENT,
  VP_REASON_UNKNOWN_PROFILE,
  VP_REASON_UNKNOWN_TEAM,
  VP_REASON_NOT_FOUND,
  VP_REASON_IMPOSSIBLE_SIZE, /* the task fits no empty worker, or exceeds the team's limit */
  VP_REASON_IDENTITY_REUSED, /* the identity belongs to a different request */
  VP_REASON_QUEUE_FULL,
  VP_REASON_DEADLINE,   /* the task can't start, or did not start, before its deadline */
  VP_REASON_OVERLOADED, /* a limit of this process is reached */
  VP_REASON_NO_OWNER,   /* the DC has no owner that can be reached */
  VP_REASON_STORE_DOWN, /* the intent to start can't be made durable */
  VP_REASON_LEDGER_FULL,
  VP_REASON_SHUTTING_DOWN,
  VP_REASON_CANCELLED,
  VP_REASON_TASK_FAILED, /* the task ran and failed, and no attempts are left */
  VP_REASON_WORKER_LOST, /* the worker was lost while the task may have run */
  VP_REASON_OWNER_LOST,  /* the owner was lost while the task may have run */
  VP_REASON_CONFLICT,    /* the expected revision of the configuration is not the current one */
  VP_REASON_NO_MAJORITY, /* too few entry processes can be reached for a change of configuration */
  VP_REASON_BAD_CONFIG,
  VP_REASON_COUNT,
} VpReason;

/* Returns true if @need is at most @room in every dimension. */
bool vp_resources_fits (const VpResources *need, const VpResources *room);
void vp_resources_add (VpResources *sum, const VpResources *term);
void vp_resources_sub (VpResources *sum, const VpResources *term);
void vp_resources_scale (VpResources *resources, int64_t count);
VpResources vp_resources_min (const VpResources *a, const VpResources *b);
VpResources vp_resources_max (const VpResources *a, const VpResources *b);
bool vp_resources_is_zero (const VpResources *resources);
/* Returns true if no amount is negative. */
bool vp_resources_is_valid (const VpResources *resources);

/* Returns the dominant share: the largest fraction of @total that @used takes in any dimension.
 * Dimensions of which @total has nothing count as 0. */
double vp_resources_dominant_share (const VpResources *used, const VpResources *total);

bool vp_task_id_equal (VpTaskId a, VpTaskId b);
bool vp_task_id_is_zero (VpTaskId id);
/* Hash and equality functions for a GHashTable whose keys are VpTaskId*. */
guint vp_task_id_hash (gconstpointer id);
gboolean vp_task_id_equal_ptr (gconstpointer a, gconstpointer b);
void vp_task_id_format (VpTaskId id, char out[VP_TASK_ID_TEXT_MAX]);
/* Returns false if @text is not 32 hexadecimal digits. */
bool vp_task_id_parse (const char *text, VpTaskId *out);
/* Returns the task identity of a request whose caller gave an identity: a hash of team and
 * identity. */
VpTaskId vp_task_id_from_identity (const char *team, const char *identity);
/* Returns the task identity of a request without an identity of its caller: a hash of the process,
 * its boot and a sequence number. */
VpTaskId vp_task_id_from_sequence (const char *member, uint64_t boot, uint64_t sequence);

/* Formats the name of the attempt on its worker: "<task identity>.<member>.<attempt>". */
void vp_attempt_format (const VpAttempt *attempt, char out[VP_ATTEMPT_TEXT_MAX]);
bool vp_attempt_parse (const char *text, VpAttempt *out);
bool vp_attempt_equal (const VpAttempt *a, const VpAttempt *b);

/* Copies a name. Returns false and stores an empty name if it does not fit into @out_size bytes. */
bool vp_name_copy (char *out, size_t out_size, const char *text);

const char *vp_task_state_token (VpTaskState state);
bool vp_task_state_parse (const char *token, VpTaskState *out);
bool vp_task_state_is_final (VpTaskState state);
const char *vp_reason_token (VpReason reason);
const char *vp_reason_message (VpReason reason);
/* Inverse of vp_reason_token(). Returns false for an unknown token. */
bool vp_reason_parse (const char *token, VpReason *out);
uint32_t vp_reason_http_status (VpReason reason);
/* Returns true if the reason guarantees that the request did not run and will not run. */
bool vp_reason_guarantees_not_run (VpReason reason);
const char *vp_profile_kind_token (VpProfileKind kind);
