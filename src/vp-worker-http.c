#include "vp-worker-http-private.h"

#include "vp-http-client.h"
#include "vp-json.h"
#include "vp-metrics.h"
#include "vp-worker.h"

#include <string.h>

/* Time-out of commands other than checkpoints. */
#define VP_WORKER_CALL_TIMEOUT_MS 2000
/* A checkpoint takes longer than other commands, since the worker saves the progress of the task.
 */
#define VP_WORKER_CHECKPOINT_TIMEOUT_MS 30000
/* The worker responds to a poll at the latest when its wait is over. The response may take this
 * much longer to arrive. */
#define VP_WORKER_POLL_GRACE_MS 2000

typedef struct {
  VpWorker base;
  char name[VP_NAME_MAX];
  VpHttpClient *client;
} VpWorkerHttp;

/* Adds the payload as "payload" if it is UTF-8 without NUL bytes, otherwise as "payload_base64". */
static void
_vp_worker_http_add_payload (JsonBuilder *builder, GBytes *payload)
{
  gsize size;
  const char *data = g_bytes_get_data (payload, &size);
  bool is_text = g_utf8_validate (data, (gssize)size, NULL);
  g_autofree char *text
      = is_text ? g_strndup (data, size) : g_base64_encode ((const guchar *)data, size);

  json_builder_set_member_name (builder, is_text ? "payload" : "payload_base64");
  json_builder_add_string_value (builder, text);
}

static void
_vp_worker_http_add_int (JsonBuilder *builder, const char *name, int64_t value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

static void
_vp_worker_http_add_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static char *
_vp_worker_http_format (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);

  return json_to_string (root, FALSE);
}

static char *
_vp_worker_http_format_start (const VpWorkerOp *op)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  _vp_worker_http_add_string (builder, "team", op->team);
  _vp_worker_http_add_string (builder, "profile", op->profile);
  _vp_worker_http_add_int (builder, "cpu_milli", op->size.cpu_milli);
  _vp_worker_http_add_int (builder, "mem_mib", op->size.mem_mib);
  _vp_worker_http_add_int (builder, "accel_count", op->size.accel_count);
  _vp_worker_http_add_int (builder, "lease_until_ms", op->lease_until_ms);
  if (op->payload == NULL)
    _vp_worker_http_add_string (builder, "payload", "");
  else
    _vp_worker_http_add_payload (builder, op->payload);
  json_builder_end_object (builder);
  return _vp_worker_http_format (builder);
}

static char *
_vp_worker_http_format_renew (const VpWorkerOp *ops, uint32_t count)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  char name[VP_ATTEMPT_TEXT_MAX];

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "leases");
  json_builder_begin_array (builder);
  for (uint32_t i = 0; i < count; i++) {
    vp_attempt_format (&ops[i].attempt, name);
    json_builder_begin_object (builder);
    _vp_worker_http_add_string (builder, "name", name);
    _vp_worker_http_add_int (builder, "lease_until_ms", ops[i].lease_until_ms);
    json_builder_end_object (builder);
  }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return _vp_worker_http_format (builder);
}

/* Returns the root object of @body, which @parser owns, or NULL if @body is not a JSON object. */
static JsonObject *
_vp_worker_http_parse (JsonParser *parser, GBytes *body)
{
  gsize size;
  const char *data = g_bytes_get_data (body, &size);
  JsonNode *root;

  if (size == 0 || !vp_json_load (parser, data, size, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  return root != NULL && JSON_NODE_HOLDS_OBJECT (root) ? json_node_get_object (root) : NULL;
}

static bool
_vp_worker_http_get_int (JsonObject *object, const char *name, int64_t *out)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64)
    return false;
  *out = json_node_get_int (node);
  return *out >= 0;
}

static bool
_vp_worker_http_get_count (JsonObject *object, const char *name, uint64_t *out)
{
  int64_t value;

  if (!_vp_worker_http_get_int (object, name, &value))
    return false;
  *out = (uint64_t)value;
  return true;
}

/* Returns the text of a string field, or NULL if the field is missing or has another type. */
static const char *
_vp_worker_http_get_text (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static bool
_vp_worker_http_get_name (JsonObject *object, const char *name, char out[VP_NAME_MAX])
{
  const char *text = _vp_worker_http_get_text (object, name);

  return text != NULL && vp_name_copy (out, VP_NAME_MAX, text);
}

static bool
_vp_worker_http_get_attempt (JsonObject *object, VpAttempt *out)
{
  const char *text = _vp_worker_http_get_text (object, "name");

  return text != NULL && vp_attempt_parse (text, out);
}

static JsonArray *
_vp_worker_http_get_array (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

static JsonObject *
_vp_worker_http_get_element (JsonArray *array, guint index)
{
  JsonNode *node = json_array_get_element (array, index);

  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

/* Sets the results of the renewals that the worker does not know to VP_WORKER_REFUSED. Returns
 * false if the worker's list of them is malformed. */
static bool
_vp_worker_http_reject_unknown (JsonArray *unknown,
                                const VpWorkerOp *ops,
                                uint32_t count,
                                VpWorkerResult *results)
{
  for (guint i = 0; i < json_array_get_length (unknown); i++) {
    JsonNode *node = json_array_get_element (unknown, i);
    VpAttempt attempt;
    if (json_node_get_value_type (node) != G_TYPE_STRING
        || !vp_attempt_parse (json_node_get_string (node), &attempt))
      return false;
    for (uint32_t j = 0; j < count; j++) {
      if (vp_attempt_equal (&attempt, &ops[j].attempt))
        results[j].status = VP_WORKER_REFUSED;
    }
  }
  return true;
}

static void
_vp_worker_http_set_all (VpWorkerResult *results, uint32_t count, VpWorkerStatus status)
{
  for (uint32_t i = 0; i < count; i++)
    results[i].status = status;
}

static void
_vp_worker_http_read_renew (VpHttpClientResponse *response,
                            const VpWorkerOp *ops,
                            uint32_t count,
                            VpWorkerResult *results)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  JsonObject *root = _vp_worker_http_parse (parser, response->body);
  JsonArray *unknown = root == NULL ? NULL : _vp_worker_http_get_array (root, "unknown");

  _vp_worker_http_set_all (results, count, VP_WORKER_ACCEPTED);
  if (unknown == NULL || !_vp_worker_http_reject_unknown (unknown, ops, count, results))
    _vp_worker_http_set_all (results, count, VP_WORKER_UNCERTAIN);
}

/* Returns the status of one command, or of all renewals of a call. */
static VpWorkerStatus
_vp_worker_http_classify (VpWorkerKind kind, const VpHttpClientResponse *response)
{
  if (response->outcome == VP_HTTP_CLIENT_NOT_SENT)
    return VP_WORKER_UNREACHABLE;
  if (response->outcome == VP_HTTP_CLIENT_EXPIRED) {
    vp_metrics_add (VP_COUNTER_STARTS_EXPIRED, kind == VP_WORKER_START ? 1 : 0);
    return VP_WORKER_REFUSED;
  }
  if (response->outcome != VP_HTTP_CLIENT_RESPONDED)
    return VP_WORKER_UNCERTAIN;
  if (response->status == 200 || (response->status == 201 && kind == VP_WORKER_START))
    return VP_WORKER_ACCEPTED;
  /* If the command was sent twice, a refusal of the second one says nothing about the first. */
  if (response->was_resent)
    return VP_WORKER_UNCERTAIN;
  switch (response->status) {
  case 429:
    return VP_WORKER_UNREACHABLE;
  case 503: /* the worker is leaving */
    return kind == VP_WORKER_START ? VP_WORKER_REFUSED : VP_WORKER_UNREACHABLE;
  case 400: /* the worker could not parse the command */
  case 413: /* the command is too long */
  case 409: /* the worker has no room */
  case 410: /* the lease has expired */
    return kind == VP_WORKER_START ? VP_WORKER_REFUSED : VP_WORKER_UNCERTAIN;
  case 404: /* the attempt does not run; this response is not defined for a start */
    return kind == VP_WORKER_START ? VP_WORKER_UNCERTAIN : VP_WORKER_REFUSED;
  default:
    return VP_WORKER_UNCERTAIN;
  }
}

/* Fills in the HTTP request of a command. The caller frees @path and @body. All commands name their
 * attempt and are idempotent. */
static void
_vp_worker_http_prepare (const VpWorkerOp *ops,
                         uint32_t count,
                         VpHttpClientRequest *call,
                         char **path,
                         char **body)
{
  char name[VP_ATTEMPT_TEXT_MAX];

  vp_attempt_format (&ops->attempt, name);
  call->is_idempotent = true;
  call->timeout_ms = VP_WORKER_CALL_TIMEOUT_MS;
  call->method = "POST";
  switch (ops->kind) {
  case VP_WORKER_START:
    *path = g_strdup_printf ("/v1/attempts/%s", name);
    *body = _vp_worker_http_format_start (ops);
    call->valid_until_ms = ops->valid_until_ms;
    break;
  case VP_WORKER_RENEW:
    *path = g_strdup ("/v1/leases");
    *body = _vp_worker_http_format_renew (ops, count);
    for (uint32_t i = 0; i < count; i++) {
      if (ops[i].valid_until_ms != 0
          && (call->valid_until_ms == 0 || ops[i].valid_until_ms < call->valid_until_ms))
        call->valid_until_ms = ops[i].valid_until_ms;
    }
    break;
  case VP_WORKER_STOP:
    call->method = "DELETE";
    *path = g_strdup_printf ("/v1/attempts/%s", name);
    break;
  case VP_WORKER_CHECKPOINT:
    *path = g_strdup_printf ("/v1/attempts/%s/checkpoint", name);
    call->timeout_ms = VP_WORKER_CHECKPOINT_TIMEOUT_MS;
    break;
  case VP_WORKER_THROTTLE:
    *path = g_strdup_printf ("/v1/attempts/%s/throttle?milli=%d", name, ops->throttle_milli);
    break;
  }
  call->path = *path;
  call->body = *body;
  call->body_size = *body == NULL ? 0 : strlen (*body);
}

static void
_vp_worker_http_call (VpWorker *base,
                      const VpWorkerOp *ops,
                      uint32_t count,
                      VpWorkerResult *results)
{
  VpWorkerHttp *worker = (VpWorkerHttp *)base;
  g_autofree char *path = NULL;
  g_autofree char *body = NULL;
  VpHttpClientRequest call = { 0 };
  VpHttpClientResponse response;

  for (uint32_t i = 0; i < count; i++) {
    results[i] = (VpWorkerResult){ .kind = ops[i].kind, .attempt = ops[i].attempt };
    g_strlcpy (results[i].worker, ops[i].worker, sizeof results[i].worker);
  }
  _vp_worker_http_prepare (ops, count, &call, &path, &body);
  vp_http_client_call (worker->client, &call, &response);
  _vp_worker_http_set_all (results, count, _vp_worker_http_classify (ops->kind, &response));
  if (ops->kind == VP_WORKER_RENEW && results[0].status == VP_WORKER_ACCEPTED)
    _vp_worker_http_read_renew (&response, ops, count, results);
  vp_http_client_response_clear (&response);
}

static bool
_vp_worker_http_read_running (JsonObject *object, VpWorkerTask *task)
{
  return object != NULL && _vp_worker_http_get_attempt (object, &task->attempt)
         && _vp_worker_http_get_name (object, "team", task->team)
         && _vp_worker_http_get_name (object, "profile", task->profile)
         && _vp_worker_http_get_int (object, "cpu_milli", &task->size.cpu_milli)
         && _vp_worker_http_get_int (object, "mem_mib", &task->size.mem_mib)
         && _vp_worker_http_get_int (object, "accel_count", &task->size.accel_count)
         && _vp_worker_http_get_int (object, "used_cpu_milli", &task->used.cpu_milli)
         && _vp_worker_http_get_int (object, "used_mem_mib", &task->used.mem_mib)
         && _vp_worker_http_get_int (object, "lease_until_ms", &task->lease_until_ms);
}

static bool
_vp_worker_http_read_end (JsonObject *object, VpTaskEnd *out)
{
  static const char *const tokens[] = {
    [VP_END_DONE] = "done",       [VP_END_FAILED] = "failed",
    [VP_END_STOPPED] = "stopped", [VP_END_CHECKPOINTED] = "checkpointed",
    [VP_END_LAPSED] = "lapsed",
  };
  const char *text = _vp_worker_http_get_text (object, "end");

  for (guint i = 0; text != NULL && i < G_N_ELEMENTS (tokens); i++) {
    if (strcmp (text, tokens[i]) == 0) {
      *out = (VpTaskEnd)i;
      return true;
    }
  }
  return false;
}

static GBytes *
_vp_worker_http_read_answer (JsonObject *object)
{
  const char *text = _vp_worker_http_get_text (object, "answer");
  const char *base64 = _vp_worker_http_get_text (object, "answer_base64");
  guchar *data;
  gsize size;

  if (base64 != NULL) {
    data = g_base64_decode (base64, &size);
    return g_bytes_new_take (data, size);
  }
  return text == NULL ? NULL : g_bytes_new (text, strlen (text));
}

static bool
_vp_worker_http_read_ended (JsonObject *object, VpWorkerEnded *ended)
{
  if (object == NULL || !_vp_worker_http_get_attempt (object, &ended->attempt)
      || !_vp_worker_http_get_name (object, "team", ended->team)
      || !_vp_worker_http_get_name (object, "profile", ended->profile)
      || !_vp_worker_http_get_count (object, "sequence", &ended->sequence)
      || !_vp_worker_http_read_end (object, &ended->end))
    return false;
  ended->answer = _vp_worker_http_read_answer (object);
  return true;
}

/* Returns false if any part is malformed, since in an incomplete report a running attempt would
 * seem to have ended. */
static bool
_vp_worker_http_read_report (JsonObject *root, VpWorkerReport *report)
{
  JsonArray *running = _vp_worker_http_get_array (root, "running");
  JsonArray *ended = _vp_worker_http_get_array (root, "ended");
  JsonNode *leaving = json_object_get_member (root, "leaving");

  if (running == NULL || ended == NULL || leaving == NULL
      || json_node_get_value_type (leaving) != G_TYPE_BOOLEAN
      || !_vp_worker_http_get_count (root, "boot", &report->boot)
      || !_vp_worker_http_get_count (root, "sequence", &report->sequence))
    return false;
  report->is_leaving = json_node_get_boolean (leaving);
  for (guint i = 0; i < json_array_get_length (running); i++) {
    VpWorkerTask task = { 0 };
    if (!_vp_worker_http_read_running (_vp_worker_http_get_element (running, i), &task))
      return false;
    g_array_append_val (report->running, task);
  }
  for (guint i = 0; i < json_array_get_length (ended); i++) {
    VpWorkerEnded task = { 0 };
    if (!_vp_worker_http_read_ended (_vp_worker_http_get_element (ended, i), &task))
      return false;
    g_array_append_val (report->ended, task);
  }
  return true;
}

static void
_vp_worker_http_reset_report (const char *name, VpWorkerReport *report)
{
  memset (report, 0, sizeof *report);
  g_strlcpy (report->worker, name, sizeof report->worker);
  report->running = g_array_new (FALSE, FALSE, sizeof (VpWorkerTask));
  report->ended = g_array_new (FALSE, FALSE, sizeof (VpWorkerEnded));
}

void
_vp_worker_http_parse_report (const char *name, GBytes *body, VpWorkerReport *report)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  JsonObject *root = body != NULL ? _vp_worker_http_parse (parser, body) : NULL;

  _vp_worker_http_reset_report (name, report);
  report->is_reachable = root != NULL && _vp_worker_http_read_report (root, report);
  if (!report->is_reachable) {
    vp_worker_report_clear (report);
    _vp_worker_http_reset_report (name, report);
  }
}

static void
_vp_worker_http_poll (VpWorker *base,
                      uint64_t acknowledged,
                      uint64_t seen,
                      int64_t wait_ms,
                      VpWorkerReport *report)
{
  VpWorkerHttp *worker = (VpWorkerHttp *)base;
  g_autofree char *path = g_strdup_printf ("/v1/report?ack=%" G_GUINT64_FORMAT
                                           "&seen=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT,
                                           acknowledged, seen, wait_ms);
  VpHttpClientRequest call = { .method = "GET",
                               .path = path,
                               .is_idempotent = true,
                               .timeout_ms = wait_ms + VP_WORKER_POLL_GRACE_MS };
  VpHttpClientResponse response;
  bool has_response;

  vp_http_client_call (worker->client, &call, &response);
  has_response = response.outcome == VP_HTTP_CLIENT_RESPONDED && response.status == 200;
  _vp_worker_http_parse_report (worker->name, has_response ? response.body : NULL, report);
  vp_http_client_response_clear (&response);
}

static void
_vp_worker_http_free (VpWorker *base)
{
  VpWorkerHttp *worker = (VpWorkerHttp *)base;

  vp_http_client_free (worker->client);
  g_free (worker);
}

static const VpWorkerVtable _vp_worker_http_vtable = {
  .call = _vp_worker_http_call,
  .poll = _vp_worker_http_poll,
  .free = _vp_worker_http_free,
};

VpWorker *
vp_worker_http_new (const char *name, const char *address)
{
  VpHttpClient *client = vp_http_client_new (address);
  VpWorkerHttp *worker;

  if (client == NULL)
    return NULL;
  worker = g_new0 (VpWorkerHttp, 1);
  worker->base.vtable = &_vp_worker_http_vtable;
  worker->client = client;
  g_strlcpy (worker->name, name, sizeof worker->name);
  return &worker->base;
}
