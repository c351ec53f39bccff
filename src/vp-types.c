#include "vp-types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

bool
vp_resources_fits (const VpResources *need, const VpResources *room)
{
  return need->cpu_milli <= room->cpu_milli && need->mem_mib <= room->mem_mib
         && need->accel_count <= room->accel_count;
}

void
vp_resources_add (VpResources *sum, const VpResources *term)
{
  sum->cpu_milli += term->cpu_milli;
  sum->mem_mib += term->mem_mib;
  sum->accel_count += term->accel_count;
}

void
vp_resources_sub (VpResources *sum, const VpResources *term)
{
  sum->cpu_milli -= term->cpu_milli;
  sum->mem_mib -= term->mem_mib;
  sum->accel_count -= term->accel_count;
}

void
vp_resources_scale (VpResources *resources, int64_t count)
{
  resources->cpu_milli *= count;
  resources->mem_mib *= count;
  resources->accel_count *= count;
}

VpResources
vp_resources_min (const VpResources *a, const VpResources *b)
{
  return (VpResources){
    .cpu_milli = MIN (a->cpu_milli, b->cpu_milli),
    .mem_mib = MIN (a->mem_mib, b->mem_mib),
    .accel_count = MIN (a->accel_count, b->accel_count),
  };
}

VpResources
vp_resources_max (const VpResources *a, const VpResources *b)
{
  return (VpResources){
    .cpu_milli = MAX (a->cpu_milli, b->cpu_milli),
    .mem_mib = MAX (a->mem_mib, b->mem_mib),
    .accel_count = MAX (a->accel_count, b->accel_count),
  };
}

bool
vp_resources_is_zero (const VpResources *resources)
{
  return resources->cpu_milli == 0 && resources->mem_mib == 0 && resources->accel_count == 0;
}

bool
vp_resources_is_valid (const VpResources *resources)
{
  return resources->cpu_milli >= 0 && resources->mem_mib >= 0 && resources->accel_count >= 0;
}

static double
_vp_resources_fraction (int64_t used, int64_t total)
{
  return total > 0 ? (double)used / (double)total : 0.0;
}

double
vp_resources_dominant_share (const VpResources *used, const VpResources *total)
{
  double cpu = _vp_resources_fraction (used->cpu_milli, total->cpu_milli);
  double mem = _vp_resources_fraction (used->mem_mib, total->mem_mib);
  double accel = _vp_resources_fraction (used->accel_count, total->accel_count);
  double largest = cpu > mem ? cpu : mem;

  return largest > accel ? largest : accel;
}

bool
vp_task_id_equal (VpTaskId a, VpTaskId b)
{
  return a.hi == b.hi && a.lo == b.lo;
}

bool
vp_task_id_is_zero (VpTaskId id)
{
  return id.hi == 0 && id.lo == 0;
}

guint
vp_task_id_hash (gconstpointer id)
{
  /* Identities are hashes already, so one word of them is enough. */
  const VpTaskId *task = id;

  return (guint)(task->lo ^ (task->lo >> 32));
}

gboolean
vp_task_id_equal_ptr (gconstpointer a, gconstpointer b)
{
  return vp_task_id_equal (*(const VpTaskId *)a, *(const VpTaskId *)b);
}

void
vp_task_id_format (VpTaskId id, char out[VP_TASK_ID_TEXT_MAX])
{
  snprintf (out, VP_TASK_ID_TEXT_MAX, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", id.hi,
            id.lo);
}

static bool
_vp_parse_hex_word (const char *text, uint64_t *out)
{
  uint64_t word = 0;

  for (int i = 0; i < 16; i++) {
    int digit = g_ascii_xdigit_value (text[i]);
    if (digit < 0)
      return false;
    word = word << 4 | (uint64_t)digit;
  }
  *out = word;
  return true;
}

bool
vp_task_id_parse (const char *text, VpTaskId *out)
{
  VpTaskId id;

  if (strlen (text) != VP_TASK_ID_TEXT_MAX - 1)
    return false;
  if (!_vp_parse_hex_word (text, &id.hi) || !_vp_parse_hex_word (text + 16, &id.lo))
    return false;
  *out = id;
  return true;
}

static VpTaskId
_vp_task_id_digest (const void *data, size_t size)
{
  XXH128_hash_t hash = XXH3_128bits (data, size);

  return (VpTaskId){ .hi = hash.high64, .lo = hash.low64 };
}

VpTaskId
vp_task_id_from_identity (const char *team, const char *identity)
{
  /* The separator can't occur in a team name, so no two pairs of team and identity result in the
   * same text. */
  char text[VP_NAME_MAX + VP_IDENTITY_MAX + 8];
  int size = snprintf (text, sizeof text, "i\n%s\n%s", team, identity);

  return _vp_task_id_digest (text, MIN ((size_t)size, sizeof text - 1));
}

VpTaskId
vp_task_id_from_sequence (const char *member, uint64_t boot, uint64_t sequence)
{
  char text[VP_NAME_MAX + 64];
  int size = snprintf (text, sizeof text, "s\n%s\n%" G_GUINT64_FORMAT "\n%" G_GUINT64_FORMAT,
                       member, boot, sequence);

  return _vp_task_id_digest (text, MIN ((size_t)size, sizeof text - 1));
}

void
vp_attempt_format (const VpAttempt *attempt, char out[VP_ATTEMPT_TEXT_MAX])
{
  char hex[VP_TASK_ID_TEXT_MAX];

  vp_task_id_format (attempt->task, hex);
  snprintf (out, VP_ATTEMPT_TEXT_MAX, "%s.%u.%u", hex, attempt->member, attempt->attempt);
}

static bool
_vp_parse_u32 (const char *text, char end, const char **next, uint32_t *out)
{
  char *stop = NULL;
  uint64_t value;

  if (!g_ascii_isdigit (text[0]))
    return false;
  value = g_ascii_strtoull (text, &stop, 10);
  if (*stop != end || value > UINT32_MAX)
    return false;
  *next = stop + 1;
  *out = (uint32_t)value;
  return true;
}

bool
vp_attempt_parse (const char *text, VpAttempt *out)
{
  char hex[VP_TASK_ID_TEXT_MAX];
  VpAttempt attempt;
  const char *next;

  if (strnlen (text, VP_TASK_ID_TEXT_MAX) < VP_TASK_ID_TEXT_MAX
      || text[VP_TASK_ID_TEXT_MAX - 1] != '.')
    return false;
  memcpy (hex, text, VP_TASK_ID_TEXT_MAX - 1);
  hex[VP_TASK_ID_TEXT_MAX - 1] = '\0';
  if (!vp_task_id_parse (hex, &attempt.task))
    return false;
  if (!_vp_parse_u32 (text + VP_TASK_ID_TEXT_MAX, '.', &next, &attempt.member))
    return false;
  if (!_vp_parse_u32 (next, '\0', &next, &attempt.attempt))
    return false;
  *out = attempt;
  return true;
}

bool
vp_attempt_equal (const VpAttempt *a, const VpAttempt *b)
{
  return vp_task_id_equal (a->task, b->task) && a->member == b->member && a->attempt == b->attempt;
}

bool
vp_name_copy (char *out, size_t out_size, const char *text)
{
  if (g_strlcpy (out, text, out_size) < out_size)
    return true;
  out[0] = '\0';
  return false;
}

static const struct {
  const char *token;
  bool is_final;
} _vp_states[] = {
  [VP_TASK_NONE] = { "none", false },          [VP_TASK_QUEUED] = { "queued", false },
  [VP_TASK_STARTING] = { "starting", false },  [VP_TASK_RUNNING] = { "running", false },
  [VP_TASK_DONE] = { "done", true },           [VP_TASK_FAILED] = { "failed", true },
  [VP_TASK_CANCELLED] = { "cancelled", true }, [VP_TASK_REFUSED] = { "refused", true },
  [VP_TASK_UNKNOWN] = { "unknown", false },    [VP_TASK_LOST] = { "lost", true },
};

const char *
vp_task_state_token (VpTaskState state)
{
  return _vp_states[state].token;
}

bool
vp_task_state_parse (const char *token, VpTaskState *out)
{
  for (guint i = 0; i < G_N_ELEMENTS (_vp_states); i++) {
    if (strcmp (_vp_states[i].token, token) == 0) {
      *out = (VpTaskState)i;
      return true;
    }
  }
  return false;
}

bool
vp_task_state_is_final (VpTaskState state)
{
  return _vp_states[state].is_final;
}

static const struct {
  const char *token;
  const char *message;
  uint32_t http_status;
  bool guarantees_not_run;
} _vp_reasons[] = {
  [VP_REASON_NONE] = { "none", "no error", 200, false },
  [VP_REASON_BAD_KEY] = { "bad-key", "the key is missing, unknown or withdrawn", 401, true },
  [VP_REASON_KEY_UNCERTAIN]
  = { "key-uncertain", "this process can't confirm that keys are still valid", 503, true },
  [VP_REASON_BAD_REQUEST] = { "bad-request", "the request is not valid", 400, true },
  [VP_REASON_TOO_LARGE] = { "too-large", "the body is over the limit", 413, true },
  [VP_REASON_SLOW_CLIENT] = { "slow-client", "the request did not arrive in time", 408, true },
  [VP_REASON_UNKNOWN_PROFILE] = { "unknown-profile", "there is no such profile", 400, true },
  [VP_REASON_UNKNOWN_TEAM] = { "unknown-team", "there is no such team", 400, true },
  [VP_REASON_NOT_FOUND] = { "not-found", "there is no such task or path", 404, true },
  [VP_REASON_IMPOSSIBLE_SIZE]
  = { "impossible-size", "the size fits no worker or passes the team's limit", 422, true },
  [VP_REASON_IDENTITY_REUSED]
  = { "identity-reused", "the identity belongs to a different request", 409, true },
  [VP_REASON_QUEUE_FULL] = { "queue-full", "the team's queue is full", 429, true },
  [VP_REASON_DEADLINE] = { "deadline", "the task can't start before its deadline", 503, true },
  [VP_REASON_OVERLOADED] = { "overloaded", "too many requests are held or retried", 503, true },
  [VP_REASON_NO_OWNER] = { "no-owner", "no scheduler of the DC can be reached", 503, true },
  [VP_REASON_STORE_DOWN] = { "store-down", "the request can't be made durable", 503, true },
  [VP_REASON_LEDGER_FULL] = { "ledger-full", "no room for another durable record", 503, true },
  [VP_REASON_SHUTTING_DOWN] = { "shutting-down", "this process is stopping", 503, true },
  [VP_REASON_CANCELLED] = { "cancelled", "the task was cancelled", 409, false },
  [VP_REASON_TASK_FAILED] = { "task-failed", "the task ran and failed", 502, false },
  [VP_REASON_WORKER_LOST]
  = { "worker-lost", "the worker went away while the task may have run", 504, false },
  [VP_REASON_OWNER_LOST]
  = { "owner-lost", "the scheduler went away while the task may have run", 504, false },
  [VP_REASON_CONFLICT] = { "conflict", "the expected revision is not the current one", 409, true },
  [VP_REASON_NO_MAJORITY] = { "no-majority", "too few entry processes can be reached", 503, true },
  [VP_REASON_BAD_CONFIG] = { "bad-config", "the configuration is not valid", 400, true },
};

G_STATIC_ASSERT (G_N_ELEMENTS (_vp_reasons) == VP_REASON_COUNT);

const char *
vp_reason_token (VpReason reason)
{
  return _vp_reasons[reason].token;
}

const char *
vp_reason_message (VpReason reason)
{
  return _vp_reasons[reason].message;
}

bool
vp_reason_parse (const char *token, VpReason *out)
{
  for (guint i = 0; i < G_N_ELEMENTS (_vp_reasons); i++) {
    if (strcmp (_vp_reasons[i].token, token) == 0) {
      *out = (VpReason)i;
      return true;
    }
  }
  return false;
}

uint32_t
vp_reason_http_status (VpReason reason)
{
  return _vp_reasons[reason].http_status;
}

bool
vp_reason_guarantees_not_run (VpReason reason)
{
  return _vp_reasons[reason].guarantees_not_run;
}

const char *
vp_profile_kind_token (VpProfileKind kind)
{
  static const char *const tokens[] = { "service", "batch", "gang" };

  return tokens[kind];
}
