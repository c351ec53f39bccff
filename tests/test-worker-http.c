#include "script-server.h"
#include "vp-metrics.h"
#include "vp-runtime.h"
#include "vp-worker.h"

#define EMPTY(status) "HTTP/1.1 " status "\r\nContent-Length: 0\r\n\r\n"
#define ATTEMPT       "000000000000000a000000000000000b"

static VpWorkerOp
make_op (VpWorkerKind kind, uint32_t member)
{
  VpWorkerOp op = { .kind = kind,
                    .attempt = { { 10, 11 }, member, 1 },
                    .size = { 500, 64, 1 },
                    .lease_until_ms = 5000,
                    .throttle_milli = 250 };

  g_strlcpy (op.worker, "w-01", sizeof op.worker);
  g_strlcpy (op.team, "nadi", sizeof op.team);
  g_strlcpy (op.profile, "booking", sizeof op.profile);
  return op;
}

/* Guards against a command that may have been delivered and is classified as refused or not
 * delivered, so that a second attempt would be started beside the first. */
static void
test_outcomes (void)
{
  static const struct {
    const char *name;
    VpWorkerKind kind;
    VpWorkerStatus status;
    ScriptStep step;
  } cases[] = {
    { "started", VP_WORKER_START, VP_WORKER_ACCEPTED, { SCRIPT_RESPOND, EMPTY ("201 Created") } },
    { "known already", VP_WORKER_START, VP_WORKER_ACCEPTED, { SCRIPT_RESPOND, EMPTY ("200 OK") } },
    { "no room", VP_WORKER_START, VP_WORKER_REFUSED, { SCRIPT_RESPOND, EMPTY ("409 Conflict") } },
    { "lease expired", VP_WORKER_START, VP_WORKER_REFUSED, { SCRIPT_RESPOND, EMPTY ("410 Gone") } },
    { "leaving", VP_WORKER_START, VP_WORKER_REFUSED, { SCRIPT_RESPOND, EMPTY ("503 Leaving") } },
    { "over the rate",
      VP_WORKER_START,
      VP_WORKER_UNREACHABLE,
      { SCRIPT_RESPOND, EMPTY ("429 Busy") } },
    { "start 500", VP_WORKER_START, VP_WORKER_UNCERTAIN, { SCRIPT_RESPOND, EMPTY ("500 Error") } },
    { "start 404",
      VP_WORKER_START,
      VP_WORKER_UNCERTAIN,
      { SCRIPT_RESPOND, EMPTY ("404 Not Found") } },
    { "start lost", VP_WORKER_START, VP_WORKER_UNCERTAIN, { SCRIPT_NO_RESPONSE, NULL } },
    { "start reset", VP_WORKER_START, VP_WORKER_UNCERTAIN, { SCRIPT_RESET, NULL } },
    { "start stalled", VP_WORKER_START, VP_WORKER_UNCERTAIN, { SCRIPT_STALL, NULL } },
    { "start cut",
      VP_WORKER_START,
      VP_WORKER_UNCERTAIN,
      { SCRIPT_RESPOND_CLOSE, "HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nab" } },
    { "start garbage",
      VP_WORKER_START,
      VP_WORKER_UNCERTAIN,
      { SCRIPT_RESPOND_CLOSE, "garbage\r\n\r\n" } },
    { "start closed on accept",
      VP_WORKER_START,
      VP_WORKER_UNCERTAIN,
      { SCRIPT_CLOSE_UNREAD, NULL } },
    { "stopped", VP_WORKER_STOP, VP_WORKER_ACCEPTED, { SCRIPT_RESPOND, EMPTY ("200 OK") } },
    { "stop unknown",
      VP_WORKER_STOP,
      VP_WORKER_REFUSED,
      { SCRIPT_RESPOND, EMPTY ("404 Not Found") } },
    { "stop lost", VP_WORKER_STOP, VP_WORKER_UNCERTAIN, { SCRIPT_NO_RESPONSE, NULL } },
    { "checkpoint 201",
      VP_WORKER_CHECKPOINT,
      VP_WORKER_UNCERTAIN,
      { SCRIPT_RESPOND, EMPTY ("201 Created") } },
    { "throttled", VP_WORKER_THROTTLE, VP_WORKER_ACCEPTED, { SCRIPT_RESPOND, EMPTY ("200 OK") } },
    { "renew without list",
      VP_WORKER_RENEW,
      VP_WORKER_UNCERTAIN,
      { SCRIPT_RESPOND, EMPTY ("200 OK") } },
    { "renew with a bad list",
      VP_WORKER_RENEW,
      VP_WORKER_UNCERTAIN,
      { SCRIPT_RESPOND, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"unknown\":[7]}" } },
    { "renew refused",
      VP_WORKER_RENEW,
      VP_WORKER_UNREACHABLE,
      { SCRIPT_RESPOND, EMPTY ("503 Busy") } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    VpWorkerOp op = make_op (cases[i].kind, 0);
    ScriptServer server;
    VpWorker *worker;
    VpWorkerResult result;
    g_test_message ("%s", cases[i].name);
    script_setup (&server, &cases[i].step, 1);
    worker = vp_worker_http_new ("w-01", server.address);
    vp_worker_call (worker, &op, 1, &result);
    g_assert_cmpint (result.status, ==, cases[i].status);
    g_assert_cmpint (result.kind, ==, cases[i].kind);
    g_assert_cmpstr (result.worker, ==, "w-01");
    g_assert_true (vp_attempt_equal (&result.attempt, &op.attempt));
    vp_worker_free (worker);
    script_stop (&server);
    script_shutdown (&server);
  }
}

/* Guards against a start that is classified as refused when its response was lost on a persistent
 * connection and the resent start is refused: the attempt may run due to the first one. If the
 * resent start is accepted, the attempt certainly runs. */
static void
test_resent (void)
{
  static const struct {
    const char *response;
    VpWorkerStatus status;
  } cases[] = {
    { EMPTY ("200 OK"), VP_WORKER_ACCEPTED },
    { EMPTY ("409 Conflict"), VP_WORKER_UNCERTAIN },
    { EMPTY ("503 Leaving"), VP_WORKER_UNCERTAIN },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    ScriptStep steps[] = { { SCRIPT_RESPOND, EMPTY ("200 OK") },
                           { SCRIPT_NO_RESPONSE, NULL },
                           { SCRIPT_RESPOND, cases[i].response } };
    VpWorkerOp op = make_op (VP_WORKER_START, 0);
    ScriptServer server;
    VpWorker *worker;
    VpWorkerResult result;
    script_setup (&server, steps, G_N_ELEMENTS (steps));
    worker = vp_worker_http_new ("w-01", server.address);
    vp_worker_call (worker, &op, 1, &result);
    vp_worker_call (worker, &op, 1, &result);
    g_assert_cmpint (result.status, ==, cases[i].status);
    vp_worker_free (worker);
    script_stop (&server);
    g_assert_cmpuint (server.requests->len, ==, 3);
    script_shutdown (&server);
  }
}

/* Guards against a command that is classified as not delivered when its connection was lost and
 * reconnecting fails, and against an uncertain outcome when no connection to the worker is
 * established. */
static void
test_unreachable (void)
{
  static const ScriptStep steps[] = { { SCRIPT_RESPOND, EMPTY ("200 OK") } };
  VpWorkerOp op = make_op (VP_WORKER_STOP, 0);
  ScriptServer server;
  VpWorker *worker;
  VpWorkerResult result;

  script_setup (&server, steps, 1);
  worker = vp_worker_http_new ("w-01", server.address);
  vp_worker_call (worker, &op, 1, &result);
  g_assert_cmpint (result.status, ==, VP_WORKER_ACCEPTED);
  shutdown (server.listen_fd, SHUT_RDWR);
  vp_worker_call (worker, &op, 1, &result);
  g_assert_cmpint (result.status, ==, VP_WORKER_UNCERTAIN);
  vp_worker_call (worker, &op, 1, &result);
  g_assert_cmpint (result.status, ==, VP_WORKER_UNREACHABLE);
  vp_worker_free (worker);
  script_stop (&server);
  script_shutdown (&server);
  g_assert_null (vp_worker_http_new ("w-01", "worker.example:80"));
}

/* Guards against a start that is sent after the ownership has expired. */
static void
test_expired (void)
{
  static const ScriptStep steps[] = { { SCRIPT_RESPOND, EMPTY ("201 Created") } };
  VpWorkerOp op = make_op (VP_WORKER_START, 0);
  ScriptServer server;
  VpWorker *worker;
  VpWorkerResult result;

  vp_metrics_reset ();
  op.valid_until_ms = vp_runtime_now_ms () - 1;
  script_setup (&server, steps, 1);
  worker = vp_worker_http_new ("w-01", server.address);
  vp_worker_call (worker, &op, 1, &result);
  g_assert_cmpint (result.status, ==, VP_WORKER_REFUSED);
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_STARTS_EXPIRED), ==, 1);
  vp_worker_free (worker);
  script_stop (&server);
  g_assert_cmpuint (server.requests->len, ==, 0);
  script_shutdown (&server);
}

/* Guards against requests that differ from the documented interface of the worker, a payload that
 * is changed by its encoding, and a refused renewal that is assigned to the wrong attempt. */
static void
test_requests (void)
{
  static const char *const lines[] = {
    "POST /v1/attempts/" ATTEMPT ".0.1 HTTP/1.1",
    "POST /v1/attempts/" ATTEMPT ".0.1 HTTP/1.1",
    "POST /v1/leases HTTP/1.1",
    "DELETE /v1/attempts/" ATTEMPT ".0.1 HTTP/1.1",
    "POST /v1/attempts/" ATTEMPT ".0.1/checkpoint HTTP/1.1",
    "POST /v1/attempts/" ATTEMPT ".0.1/throttle?milli=250 HTTP/1.1",
  };
  static const char unknown[] = "{\"unknown\":[\"" ATTEMPT ".1.1\"]}";
  g_autofree char *renewed = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                                              strlen (unknown), unknown);
  g_autoptr (GBytes) text = g_bytes_new_static ("{\"run_ms\":5}\n", 13);
  g_autoptr (GBytes) binary = g_bytes_new_static ("\xff\0a", 3);
  ScriptStep steps[G_N_ELEMENTS (lines)];
  VpWorkerOp ops[3];
  VpWorkerResult results[3];
  ScriptServer server;
  VpWorker *worker;

  for (guint i = 0; i < G_N_ELEMENTS (steps); i++)
    steps[i] = (ScriptStep){ SCRIPT_RESPOND, i == 2 ? renewed : EMPTY ("200 OK") };
  script_setup (&server, steps, G_N_ELEMENTS (steps));
  worker = vp_worker_http_new ("w-01", server.address);
  for (uint32_t i = 0; i < 2; i++) {
    VpWorkerOp start = make_op (VP_WORKER_START, 0);
    start.payload = i == 0 ? text : binary;
    vp_worker_call (worker, &start, 1, results);
  }
  for (uint32_t i = 0; i < 3; i++)
    ops[i] = make_op (VP_WORKER_RENEW, i);
  vp_worker_call (worker, ops, 3, results);
  for (uint32_t i = 0; i < 3; i++)
    g_assert_cmpint (results[i].status, ==, i == 1 ? VP_WORKER_REFUSED : VP_WORKER_ACCEPTED);
  for (VpWorkerKind kind = VP_WORKER_STOP; kind <= VP_WORKER_THROTTLE; kind++) {
    VpWorkerOp op = make_op (kind, 0);
    vp_worker_call (worker, &op, 1, results);
  }
  vp_worker_free (worker);
  script_stop (&server);
  for (guint i = 0; i < G_N_ELEMENTS (lines); i++)
    g_assert_cmpstr (server.requests->pdata[i], ==, lines[i]);
  g_assert_cmpstr (
      server.bodies->pdata[0], ==,
      "{\"team\":\"nadi\",\"profile\":\"booking\",\"cpu_milli\":500,\"mem_mib\":64,"
      "\"accel_count\":1,\"lease_until_ms\":5000,\"payload\":\"{\\\"run_ms\\\":5}\\n\"}");
  g_assert_nonnull (strstr (server.bodies->pdata[1], "\"payload_base64\":\"/wBh\""));
  g_assert_nonnull (
      strstr (server.bodies->pdata[2], "{\"name\":\"" ATTEMPT ".2.1\",\"lease_until_ms\":5000}"));
  script_shutdown (&server);
}

#define HEAD "{\"boot\":3,\"leaving\":true,\"sequence\":9,\"extra\":{},"
#define RUNNING                                                                                    \
  "{\"name\":\"" ATTEMPT ".0.1\",\"team\":\"nadi\",\"profile\":\"b\",\"cpu_milli\":1,"             \
  "\"mem_mib\":2,\"accel_count\":0,\"used_cpu_milli\":4,\"used_mem_mib\":5,\"lease_until_ms\":6}"
#define ENDED(end, answer)                                                                         \
  "{\"name\":\"" ATTEMPT                                                                           \
  ".1.1\",\"team\":\"nadi\",\"profile\":\"b\",\"sequence\":9,\"end\":\"" end "\"," answer "}"

/* Guards against a report that is accepted although a part is missing or malformed: an attempt that
 * it does not contain would seem to have ended. */
static void
test_reports (void)
{
  static const struct {
    const char *text;
    bool is_reachable;
    const char *answer;
  } cases[] = {
    { HEAD "\"running\":[" RUNNING "],\"ended\":[" ENDED ("done", "\"answer\":\"x\"") "]}", true,
      "x" },
    { HEAD "\"running\":[" RUNNING
           "],\"ended\":[" ENDED ("lapsed", "\"answer_base64\":\"/2E=\"") "]}",
      true,
      "\xff"
      "a" },
    { HEAD "\"running\":[" RUNNING "]}", false, NULL },
    { HEAD "\"running\":[{}],\"ended\":[]}", false, NULL },
    { HEAD "\"running\":[7],\"ended\":[]}", false, NULL },
    { HEAD "\"running\":[],\"ended\":[" ENDED ("other", "\"answer\":\"x\"") "]}", false, NULL },
    { "{\"boot\":\"3\",\"leaving\":false,\"sequence\":9,\"running\":[],\"ended\":[]}", false,
      NULL },
    { "[]", false, NULL },
    { "{", false, NULL },
    { "", false, NULL },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                                             strlen (cases[i].text), cases[i].text);
    ScriptStep step = { SCRIPT_RESPOND, text };
    ScriptServer server;
    VpWorker *worker;
    VpWorkerReport report;
    g_test_message ("%s", cases[i].text);
    script_setup (&server, &step, 1);
    worker = vp_worker_http_new ("w-01", server.address);
    vp_worker_poll (worker, 4, 8, 100, &report);
    g_assert_cmpint (report.is_reachable, ==, cases[i].is_reachable);
    g_assert_cmpstr (report.worker, ==, "w-01");
    g_assert_cmpuint (report.running->len, ==, cases[i].is_reachable ? 1 : 0);
    if (cases[i].is_reachable) {
      const VpWorkerTask *task = &g_array_index (report.running, VpWorkerTask, 0);
      const VpWorkerEnded *ended = &g_array_index (report.ended, VpWorkerEnded, 0);
      g_assert_true (report.is_leaving && report.boot == 3 && report.sequence == 9);
      g_assert_cmpint (task->used.mem_mib, ==, 5);
      g_assert_cmpint (ended->end, ==, i == 0 ? VP_END_DONE : VP_END_LAPSED);
      g_assert_cmpmem (g_bytes_get_data (ended->answer, NULL), g_bytes_get_size (ended->answer),
                       cases[i].answer, strlen (cases[i].answer));
    }
    vp_worker_report_clear (&report);
    vp_worker_free (worker);
    script_stop (&server);
    g_assert_cmpstr (server.requests->pdata[0], ==,
                     "GET /v1/report?ack=4&seen=8&wait_ms=100 HTTP/1.1");
    script_shutdown (&server);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/worker-http/outcomes", test_outcomes);
  g_test_add_func ("/worker-http/resent", test_resent);
  g_test_add_func ("/worker-http/unreachable", test_unreachable);
  g_test_add_func ("/worker-http/expired", test_expired);
  g_test_add_func ("/worker-http/requests", test_requests);
  g_test_add_func ("/worker-http/reports", test_reports);
  return g_test_run ();
}
