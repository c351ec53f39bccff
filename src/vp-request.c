#include "vp-request.h"

#include "vp-json.h"

#include <string.h>
#include <xxhash.h>

VpRequest *
vp_request_new (VpRequestOp op)
{
  VpRequest *request = g_new0 (VpRequest, 1);

  g_atomic_ref_count_init (&request->refs);
  request->op = op;
  request->task_count = 1;
  return request;
}

VpRequest *
vp_request_ref (VpRequest *request)
{
  __atomic_add_fetch (&request->refs, 1, __ATOMIC_RELAXED);
  return request;
}

void
vp_request_unref (VpRequest *request)
{
  if (request == NULL || __atomic_sub_fetch (&request->refs, 1, __ATOMIC_ACQ_REL) != 0)
    return;
  g_clear_pointer (&request->tasks, g_array_unref);
  g_clear_pointer (&request->payload, g_bytes_unref);
  g_free (request);
}

/* Decodes base64 without line breaks. NULL if the text is not in canonical form, which
 * g_base64_decode() does not check. */
static GBytes *
_vp_request_decode_base64 (const char *text)
{
  gsize size;
  g_autofree guchar *data = g_base64_decode (text, &size);
  g_autofree char *again = g_base64_encode (data, size);

  return strcmp (again, text) == 0 ? g_bytes_new (data, size) : NULL;
}

static void
_vp_request_read_payload (VpJson *json, size_t body_size, VpRequest *request)
{
  const char *text = vp_json_text (json, "payload", body_size + 1, NULL);
  const char *base64 = vp_json_text (json, "payload_base64", body_size + 1, NULL);

  if (text != NULL && base64 != NULL) {
    vp_json_fail (json, "payload_base64", "must not be given together with payload");
  } else if (text != NULL) {
    request->payload = g_bytes_new (text, strlen (text));
  } else if (base64 != NULL) {
    request->payload = _vp_request_decode_base64 (base64);
    if (request->payload == NULL)
      vp_json_fail (json, "payload_base64", "must be base64 with padding and without line breaks");
  }
}

static void
_vp_request_read_submit (VpJson *json, size_t body_size, VpRequest *request)
{
  vp_name_copy (request->team, sizeof request->team, vp_json_name (json, "team", VP_JSON_REQUIRED));
  vp_name_copy (request->profile, sizeof request->profile,
                vp_json_name (json, "profile", VP_JSON_REQUIRED));
  vp_json_size (json, "size", &request->size);
  if (vp_resources_is_zero (&request->size))
    vp_json_fail (json, "size", "must be above zero in at least one field");
  request->task_count = (uint32_t)vp_json_int (json, "count", 1, VP_REQUEST_TASKS_MAX, 1);
  request->is_repeatable = vp_json_bool (json, "repeatable", false);
  vp_name_copy (request->identity, sizeof request->identity,
                vp_json_string (json, "identity", VP_IDENTITY_MAX, ""));
  if (vp_json_has (json, "identity") && request->identity[0] == '\0')
    vp_json_fail (json, "identity", "must not be empty");
  if (!request->is_repeatable && request->identity[0] == '\0')
    vp_json_fail (json, "identity", "is required unless the request is repeatable");
  request->deadline_ms = vp_json_int (json, "deadline_ms", 0, VP_REQUEST_TIME_MAX_MS, 0);
  request->run_time_ms = vp_json_int (json, "run_time_ms", 0, VP_REQUEST_TIME_MAX_MS, 0);
  request->is_wait_given = vp_json_has (json, "wait");
  request->is_waiting = vp_json_bool (json, "wait", false);
  _vp_request_read_payload (json, body_size, request);
}

VpRequest *
vp_request_parse_submit (const char *text, size_t size, GError **error)
{
  g_autoptr (VpRequest) request = NULL;
  VpJson json;

  if (!vp_json_open (&json, text, size, error))
    return NULL;
  request = vp_request_new (VP_OP_SUBMIT);
  _vp_request_read_submit (&json, size, request);
  return vp_json_close (&json, error) ? g_steal_pointer (&request) : NULL;
}

static void
_vp_request_read_cancel (VpJson *json, VpRequest *request)
{
  uint32_t task_count = vp_json_array (json, "tasks", VP_REQUEST_TASKS_MAX, false);
  uint32_t identity_count = vp_json_array (json, "identities", VP_REQUEST_TASKS_MAX, false);
  char field[32];
  VpTaskId task;

  vp_name_copy (request->team, sizeof request->team, vp_json_name (json, "team", VP_JSON_REQUIRED));
  if ((task_count > 0) == (identity_count > 0))
    vp_json_fail (json, "tasks", "either tasks or identities must have at least one element");
  for (uint32_t i = 0; i < task_count && !vp_json_has_failed (json); i++) {
    g_snprintf (field, sizeof field, "tasks[%u]", i);
    if (!vp_task_id_parse (vp_json_element_string (json, "tasks", i, VP_TASK_ID_TEXT_MAX), &task))
      vp_json_fail (json, field, "must be 32 hexadecimal digits");
    g_array_append_val (request->tasks, task);
  }
  for (uint32_t i = 0; i < identity_count && !vp_json_has_failed (json); i++) {
    const char *identity = vp_json_element_string (json, "identities", i, VP_IDENTITY_MAX);
    g_snprintf (field, sizeof field, "identities[%u]", i);
    if (identity[0] == '\0')
      vp_json_fail (json, field, "must not be empty");
    task = vp_task_id_from_identity (request->team, identity);
    g_array_append_val (request->tasks, task);
  }
}

VpRequest *
vp_request_parse_cancel (const char *text, size_t size, GError **error)
{
  g_autoptr (VpRequest) request = NULL;
  VpJson json;

  if (!vp_json_open (&json, text, size, error))
    return NULL;
  request = vp_request_new (VP_OP_CANCEL);
  request->tasks = g_array_new (FALSE, FALSE, sizeof (VpTaskId));
  _vp_request_read_cancel (&json, request);
  return vp_json_close (&json, error) ? g_steal_pointer (&request) : NULL;
}

uint64_t
vp_request_digest (const VpRequest *request)
{
  /* The names are hashed with their NUL, so that the end of one can't be taken for the start of the
   * next. */
  const int64_t numbers[] = {
    request->size.cpu_milli, request->size.mem_mib,  request->size.accel_count,
    request->task_count,     request->is_repeatable,
  };
  gsize payload_size = 0;
  const void *payload
      = request->payload != NULL ? g_bytes_get_data (request->payload, &payload_size) : NULL;
  uint64_t digest = XXH3_64bits (request->team, strlen (request->team) + 1);

  digest = XXH3_64bits_withSeed (request->profile, strlen (request->profile) + 1, digest);
  digest = XXH3_64bits_withSeed (numbers, sizeof numbers, digest);
  return XXH3_64bits_withSeed (payload, payload_size, digest);
}

static void
_vp_request_append (GString *out, const char *name, const char *text)
{
  g_string_append_printf (out, "%s\"%s\":", out->str[out->len - 1] == '{' ? "" : ",", name);
  vp_json_append_string (out, text, strlen (text));
}

static void
_vp_request_append_error (GString *out, VpReason reason, const char *detail)
{
  g_autofree char *message = detail != NULL && detail[0] != '\0'
                                 ? g_strdup_printf ("%s: %s", vp_reason_message (reason), detail)
                                 : g_strdup (vp_reason_message (reason));
  g_autofree char *valid = g_utf8_make_valid (message, -1);

  g_string_append_printf (out, "%s\"error\":{", out->str[out->len - 1] == '{' ? "" : ",");
  _vp_request_append (out, "reason", vp_reason_token (reason));
  _vp_request_append (out, "message", valid);
  _vp_request_append (out, "run", vp_reason_guarantees_not_run (reason) ? "no" : "unknown");
  g_string_append_c (out, '}');
}

static void
_vp_request_append_answer (GString *out, GBytes *answer)
{
  gsize size;
  const char *data = g_bytes_get_data (answer, &size);
  g_autofree char *base64 = NULL;

  if (size == 0 || g_utf8_validate_len (data, size, NULL)) {
    g_string_append (out, ",\"answer\":");
    vp_json_append_string (out, data, size);
    return;
  }
  base64 = g_base64_encode ((const guchar *)data, size);
  _vp_request_append (out, "answer_base64", base64);
}

GBytes *
vp_request_format_outcome (VpTaskId task,
                           VpTaskState state,
                           VpReason reason,
                           const char *worker,
                           GBytes *answer)
{
  GString *out = g_string_new ("{");
  char hex[VP_TASK_ID_TEXT_MAX];

  vp_task_id_format (task, hex);
  _vp_request_append (out, "task", hex);
  _vp_request_append (out, "state", vp_task_state_token (state));
  if (worker != NULL && worker[0] != '\0')
    _vp_request_append (out, "worker", worker);
  if (answer != NULL)
    _vp_request_append_answer (out, answer);
  if (reason != VP_REASON_NONE)
    _vp_request_append_error (out, reason, NULL);
  g_string_append_c (out, '}');
  return g_string_free_to_bytes (out);
}

GBytes *
vp_request_format_error (VpReason reason, const char *detail)
{
  GString *out = g_string_new ("{");

  _vp_request_append_error (out, reason, detail);
  g_string_append_c (out, '}');
  return g_string_free_to_bytes (out);
}
