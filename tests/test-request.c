#include "vp-request.h"

#include "vp-json.h"

#include <string.h>

#define SIZE "\"size\":{\"cpu_milli\":500,\"mem_mib\":256}"
#define BASE "{\"team\":\"t\",\"profile\":\"p\"," SIZE
#define HEX  "0123456789abcdef0123456789abcdef"

typedef struct {
  const char *text;
  const char *error; /* start of the message; NULL: accepted */
} Case;

static void
_check (const Case *cases,
        guint count,
        VpRequest *(*parse) (const char *json, size_t size, GError **error))
{
  for (guint i = 0; i < count; i++) {
    g_autoptr (GError) error = NULL;
    g_autoptr (VpRequest) request = parse (cases[i].text, strlen (cases[i].text), &error);
    g_test_message ("%s -> %s", cases[i].text, error != NULL ? error->message : "accepted");
    g_assert_true ((request != NULL) == (cases[i].error == NULL));
    if (error != NULL)
      g_assert_true (g_str_has_prefix (error->message, cases[i].error));
  }
}

/* Guards against accepting a request with an unknown or invalid field, or without the identity that
 * lets a caller retry a request which must run only once. */
static void
test_submit_errors (void)
{
  static const Case cases[] = {
    { BASE ",\"repeatable\":true}", NULL },
    { BASE ",\"identity\":\"a b/\xc3\xa9\"}", NULL },
    { BASE "}", "identity: is required unless" },
    { BASE ",\"identity\":\"\",\"repeatable\":true}", "identity: must not be empty" },
    { BASE ",\"identity\":\"a\\nb\"}", "identity: has a control" },
    { BASE ",\"repeatable\":1}", "repeatable: must be true or false" },
    { BASE ",\"repeatable\":true,\"count\":0}", "count: must be from 1 to 256" },
    { BASE ",\"repeatable\":true,\"count\":257}", "count: must be from 1 to 256" },
    { BASE ",\"repeatable\":true,\"deadline_ms\":-1}", "deadline_ms: must be from 0" },
    { BASE ",\"repeatable\":true,\"run_time_ms\":1.5}", "run_time_ms: must be an integer" },
    { BASE ",\"repeatable\":true,\"priority\":9}", "priority: unknown field" },
    { BASE ",\"repeatable\":true,\"payload\":\"a\",\"payload_base64\":\"YQ==\"}",
      "payload_base64: must not be given together" },
    { BASE ",\"repeatable\":true,\"payload_base64\":\"YQ\"}", "payload_base64: must be base64" },
    { BASE ",\"repeatable\":true,\"payload_base64\":\"Y!Q==\"}", "payload_base64: must be base64" },
    { BASE ",\"repeatable\":true,\"payload\":{}}", "payload: must be a string" },
    { "{\"profile\":\"p\"," SIZE "}", "team: missing" },
    { "{\"team\":\"T\",\"profile\":\"p\"," SIZE "}", "team: must be made of" },
    { "{\"team\":\"t\"," SIZE "}", "profile: missing" },
    { "{\"team\":\"t\",\"profile\":\"p\"}", "size: missing" },
    { "{\"team\":\"t\",\"profile\":\"p\",\"size\":{\"cpu_milli\":0,\"mem_mib\":0}}",
      "size: must be above zero" },
    { "{\"team\":\"t\",\"profile\":\"p\",\"size\":{\"cpu_milli\":-1,\"mem_mib\":0}}",
      "size.cpu_milli: must be from 0" },
    { "{\"team\":\"t\",\"profile\":\"p\",\"size\":{\"cpu_milli\":1,\"mem_mib\":1,\"gpu\":1}}",
      "size.gpu: unknown field" },
  };

  _check (cases, G_N_ELEMENTS (cases), vp_request_parse_submit);
}

/* Guards against a malformed list that cancels nothing, everything or another team's task. */
static void
test_cancel_errors (void)
{
  static const Case cases[] = {
    { "{\"team\":\"t\",\"tasks\":[\"" HEX "\"]}", NULL },
    { "{\"team\":\"t\",\"identities\":[\"a\",\"b\"]}", NULL },
    { "{\"team\":\"t\"}", "tasks: either" },
    { "{\"team\":\"t\",\"tasks\":[]}", "tasks: either" },
    { "{\"team\":\"t\",\"tasks\":[\"" HEX "\"],\"identities\":[\"a\"]}", "tasks: either" },
    { "{\"team\":\"t\",\"tasks\":[\"0\"]}", "tasks[0]: must be 32" },
    { "{\"team\":\"t\",\"tasks\":[\"" HEX "\",1]}", "tasks[1]: must be a string" },
    { "{\"team\":\"t\",\"identities\":[\"\"]}", "identities[0]: must not be empty" },
    { "{\"tasks\":[\"" HEX "\"]}", "team: missing" },
  };
  static const char text[] = "{\"team\":\"t\",\"identities\":[\"a\",\"b\"]}";
  g_autoptr (VpRequest) request = vp_request_parse_cancel (text, strlen (text), NULL);

  _check (cases, G_N_ELEMENTS (cases), vp_request_parse_cancel);
  g_assert_cmpuint (request->tasks->len, ==, 2);
  g_assert_true (vp_task_id_equal (g_array_index (request->tasks, VpTaskId, 1),
                                   vp_task_id_from_identity ("t", "b")));
}

/* Guards against a field of the body that is stored in the wrong field of the request. */
static void
test_submit_fields (void)
{
  static const char text[]
      = "{\"team\":\"t\",\"profile\":\"p\",\"size\":{\"cpu_milli\":1,\"mem_mib\":2,"
        "\"accel_count\":3},\"count\":4,\"repeatable\":true,\"identity\":\"id\",\"deadline_ms\":5,"
        "\"run_time_ms\":6,\"wait\":true,\"payload_base64\":\"AP8=\"}";
  g_autoptr (VpRequest) request = vp_request_parse_submit (text, strlen (text), NULL);
  g_autoptr (VpRequest) other = vp_request_parse_submit (
      BASE ",\"repeatable\":true}", strlen (BASE ",\"repeatable\":true}"), NULL);

  g_assert_cmpint (request->op, ==, VP_OP_SUBMIT);
  g_assert_cmpstr (request->team, ==, "t");
  g_assert_cmpstr (request->profile, ==, "p");
  g_assert_cmpstr (request->identity, ==, "id");
  g_assert_cmpint (request->size.cpu_milli, ==, 1);
  g_assert_cmpint (request->size.mem_mib, ==, 2);
  g_assert_cmpint (request->size.accel_count, ==, 3);
  g_assert_cmpuint (request->task_count, ==, 4);
  g_assert_cmpint (request->deadline_ms, ==, 5);
  g_assert_cmpint (request->run_time_ms, ==, 6);
  g_assert_true (request->is_repeatable && request->is_waiting && request->is_wait_given);
  g_assert_cmpmem (g_bytes_get_data (request->payload, NULL), g_bytes_get_size (request->payload),
                   "\0\xff", 2);
  g_assert_false (other->is_wait_given);
  g_assert_null (other->payload);
}

/* Guards against a reused identity that gets the answer of a different request, and against a retry
 * of the same request that is refused. */
static void
test_digest (void)
{
  static const struct {
    const char *rest;
    bool is_equal;
  } cases[] = {
    { ",\"identity\":\"i\",\"payload\":\"x\"}", true },
    { ",\"identity\":\"i\",\"payload_base64\":\"eA==\"}", true },
    { ",\"identity\":\"i\",\"payload\":\"x\",\"wait\":true,\"deadline_ms\":9,\"run_time_ms\":1}",
      true },
    { ",\"identity\":\"i\",\"payload\":\"y\"}", false },
    { ",\"identity\":\"i\"}", false },
    { ",\"identity\":\"i\",\"payload\":\"x\",\"count\":2}", false },
    { ",\"identity\":\"i\",\"payload\":\"x\",\"repeatable\":true}", false },
  };
  uint64_t first = 0;

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *text = g_strconcat (BASE, cases[i].rest, NULL);
    g_autoptr (VpRequest) request = vp_request_parse_submit (text, strlen (text), NULL);
    if (i == 0)
      first = vp_request_digest (request);
    g_assert_true ((vp_request_digest (request) == first) == cases[i].is_equal);
  }
}

/* Guards against answers that are not JSON, lose bytes or report wrongly that the task did not run.
 */
static void
test_format (void)
{
  static const struct {
    VpTaskState state;
    VpReason reason;
    const char *worker;
    const char *answer;
    size_t size;
    const char *text; /* part of the result */
  } cases[] = {
    { VP_TASK_DONE, VP_REASON_NONE, "w-1", "a\"\\\n\x7f", 5,
      "\"worker\":\"w-1\",\"answer\":\"a\\\"\\\\\\u000a\x7f\"}" },
    { VP_TASK_DONE, VP_REASON_NONE, "", "", 0, "\"answer\":\"\"}" },
    { VP_TASK_DONE, VP_REASON_NONE, NULL, "\xff\0", 2, ",\"answer_base64\":\"/wA=\"}" },
    { VP_TASK_DONE, VP_REASON_NONE, NULL, "a\0b", 3, ",\"answer_base64\":\"YQBi\"}" },
    { VP_TASK_QUEUED, VP_REASON_NONE, NULL, NULL, 0, "\"}" },
    { VP_TASK_REFUSED, VP_REASON_QUEUE_FULL, NULL, NULL, 0, "\"run\":\"no\"}}" },
    { VP_TASK_LOST, VP_REASON_WORKER_LOST, NULL, NULL, 0, "\"run\":\"unknown\"}}" },
  };
  g_autoptr (GBytes) detail = vp_request_format_error (VP_REASON_BAD_REQUEST, "size: \"x\" \xff");

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autoptr (GBytes) answer
        = cases[i].answer != NULL ? g_bytes_new_static (cases[i].answer, cases[i].size) : NULL;
    g_autoptr (GBytes) out = vp_request_format_outcome ((VpTaskId){ 1, 2 }, cases[i].state,
                                                        cases[i].reason, cases[i].worker, answer);
    g_autofree char *text = g_strndup (g_bytes_get_data (out, NULL), g_bytes_get_size (out));
    g_test_message ("%s", text);
    g_assert_true (vp_json_check_syntax (text, strlen (text), NULL));
    g_assert_true (
        g_str_has_prefix (text, "{\"task\":\"00000000000000010000000000000002\",\"state\":"));
    g_assert_true (g_str_has_suffix (text, cases[i].text));
  }
  g_assert_true (
      vp_json_check_syntax (g_bytes_get_data (detail, NULL), g_bytes_get_size (detail), NULL));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request/submit-errors", test_submit_errors);
  g_test_add_func ("/request/cancel-errors", test_cancel_errors);
  g_test_add_func ("/request/submit-fields", test_submit_fields);
  g_test_add_func ("/request/digest", test_digest);
  g_test_add_func ("/request/format", test_format);
  return g_test_run ();
}
