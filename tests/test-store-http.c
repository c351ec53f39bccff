#include "script-server.h"
#include "vp-store.h"

#define OK(extra, body, length)                                                                    \
  "HTTP/1.1 200 OK\r\n" extra "Content-Length: " length "\r\n\r\n" body
#define EMPTY(status) "HTTP/1.1 " status "\r\nContent-Length: 0\r\n\r\n"

static void
call_kind (VpStore *store, VpStoreKind kind, VpStoreResult *result)
{
  g_autoptr (GBytes) value = g_bytes_new_static ("value", 5);
  VpStoreOp op = { .kind = kind,
                   .module = VP_MODULE_LEDGER,
                   .token = 77,
                   .key = "ledger/nadi/1",
                   .version = 4,
                   .lease = kind >= VP_STORE_LEASE_RENEW ? 9 : 0,
                   .ttl_ms = 2400,
                   .timeout_ms = kind == VP_STORE_WATCH ? 100 : 0,
                   .value = kind == VP_STORE_CAS ? value : NULL };

  vp_store_call (store, &op, result);
  g_assert_cmpint (result->kind, ==, kind);
  g_assert_cmpint (result->module, ==, VP_MODULE_LEDGER);
  g_assert_cmpuint (result->token, ==, 77);
  g_assert_cmpstr (result->key, ==, op.key);
}

/* Guards against a failure that is classified as having no effect although the operation may have
 * been applied, against a write that is sent twice, and against a truncated or foreign response
 * that is taken for one of the store. */
static void
test_outcomes (void)
{
  static const struct {
    const char *name;
    VpStoreKind kind;
    VpStoreStatus status;
    ScriptStep step;
    uint64_t version;
    const char *value;
  } cases[] = {
    { "get",
      VP_STORE_GET,
      VP_STORE_OK,
      { SCRIPT_RESPOND, OK ("X-Version: 5\r\n", "abc", "3") },
      5,
      "abc" },
    { "get missing",
      VP_STORE_GET,
      VP_STORE_NOT_FOUND,
      { SCRIPT_RESPOND, EMPTY ("404 Not Found") },
      0,
      NULL },
    { "get without version",
      VP_STORE_GET,
      VP_STORE_UNKNOWN,
      { SCRIPT_RESPOND, OK ("", "abc", "3") },
      0,
      NULL },
    { "get cut",
      VP_STORE_GET,
      VP_STORE_UNKNOWN,
      { SCRIPT_RESPOND_CLOSE, OK ("X-Version: 5\r\n", "abc", "9") },
      0,
      NULL },
    { "get of unknown length",
      VP_STORE_GET,
      VP_STORE_UNKNOWN,
      { SCRIPT_RESPOND_CLOSE, "HTTP/1.1 200 OK\r\nX-Version: 5\r\n\r\nab" },
      0,
      NULL },
    { "get cut chunk",
      VP_STORE_GET,
      VP_STORE_UNKNOWN,
      { SCRIPT_RESPOND_CLOSE,
        "HTTP/1.1 200 OK\r\nX-Version: 5\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab" },
      0,
      NULL },
    { "get stalled body",
      VP_STORE_GET,
      VP_STORE_UNKNOWN,
      { SCRIPT_STALL, OK ("X-Version: 5\r\n", "a", "3") },
      0,
      NULL },
    { "outage",
      VP_STORE_GET,
      VP_STORE_UNAVAILABLE,
      { SCRIPT_RESPOND, EMPTY ("503 Service Unavailable") },
      0,
      NULL },
    { "watch fired",
      VP_STORE_WATCH,
      VP_STORE_OK,
      { SCRIPT_RESPOND, OK ("X-Version: 6\r\n", "d", "1") },
      6,
      "d" },
    { "watch timed out",
      VP_STORE_WATCH,
      VP_STORE_OK,
      { SCRIPT_RESPOND, "HTTP/1.1 304 Not Modified\r\n\r\n" },
      4,
      NULL },
    { "cas",
      VP_STORE_CAS,
      VP_STORE_OK,
      { SCRIPT_RESPOND, OK ("X-Version: 5\r\n", "", "0") },
      5,
      NULL },
    { "cas conflict",
      VP_STORE_CAS,
      VP_STORE_CONFLICT,
      { SCRIPT_RESPOND, "HTTP/1.1 409 Conflict\r\nX-Version: 8\r\nContent-Length: 2\r\n\r\nxy" },
      8,
      "xy" },
    { "cas conflict, deleted",
      VP_STORE_CAS,
      VP_STORE_CONFLICT,
      { SCRIPT_RESPOND, "HTTP/1.1 409 Conflict\r\nX-Version: 0\r\nContent-Length: 0\r\n\r\n" },
      0,
      NULL },
    { "cas over the rate",
      VP_STORE_CAS,
      VP_STORE_UNAVAILABLE,
      { SCRIPT_RESPOND, EMPTY ("429 Too Many Requests") },
      0,
      NULL },
    { "cas refused without length",
      VP_STORE_CAS,
      VP_STORE_UNAVAILABLE,
      { SCRIPT_RESPOND_CLOSE, "HTTP/1.1 503 Service Unavailable\r\n\r\nbusy" },
      0,
      NULL },
    { "cas lost", VP_STORE_CAS, VP_STORE_UNKNOWN, { SCRIPT_NO_RESPONSE, NULL }, 0, NULL },
    { "cas reset", VP_STORE_CAS, VP_STORE_UNKNOWN, { SCRIPT_RESET, NULL }, 0, NULL },
    { "cas stalled", VP_STORE_CAS, VP_STORE_UNKNOWN, { SCRIPT_STALL, NULL }, 0, NULL },
    { "cas cut status",
      VP_STORE_CAS,
      VP_STORE_UNKNOWN,
      { SCRIPT_RESPOND_CLOSE, "HTTP/1.1 20" },
      0,
      NULL },
    { "cas garbage",
      VP_STORE_CAS,
      VP_STORE_UNKNOWN,
      { SCRIPT_RESPOND_CLOSE, "\x16\x03garbage\r\n\r\n" },
      0,
      NULL },
    { "cas 500", VP_STORE_CAS, VP_STORE_UNKNOWN, { SCRIPT_RESPOND, EMPTY ("500 Error") }, 0, NULL },
    { "cas without version",
      VP_STORE_CAS,
      VP_STORE_UNKNOWN,
      { SCRIPT_RESPOND, OK ("", "", "0") },
      0,
      NULL },
    { "cas closed on accept",
      VP_STORE_CAS,
      VP_STORE_UNKNOWN,
      { SCRIPT_CLOSE_UNREAD, NULL },
      0,
      NULL },
    { "delete", VP_STORE_DELETE, VP_STORE_OK, { SCRIPT_RESPOND, EMPTY ("200 OK") }, 0, NULL },
    { "delete lost", VP_STORE_DELETE, VP_STORE_UNKNOWN, { SCRIPT_NO_RESPONSE, NULL }, 0, NULL },
    { "delete missing",
      VP_STORE_DELETE,
      VP_STORE_NOT_FOUND,
      { SCRIPT_RESPOND, EMPTY ("404 Not Found") },
      0,
      NULL },
    { "grant",
      VP_STORE_LEASE_GRANT,
      VP_STORE_OK,
      { SCRIPT_RESPOND, "HTTP/1.1 201 Created\r\nX-Lease: 12\r\nContent-Length: 0\r\n\r\n" },
      0,
      NULL },
    { "grant without lease",
      VP_STORE_LEASE_GRANT,
      VP_STORE_UNKNOWN,
      { SCRIPT_RESPOND, EMPTY ("201 Created") },
      0,
      NULL },
    { "grant lost", VP_STORE_LEASE_GRANT, VP_STORE_UNKNOWN, { SCRIPT_NO_RESPONSE, NULL }, 0, NULL },
    { "renew", VP_STORE_LEASE_RENEW, VP_STORE_OK, { SCRIPT_RESPOND, EMPTY ("200 OK") }, 0, NULL },
    { "renew ended",
      VP_STORE_LEASE_RENEW,
      VP_STORE_NOT_FOUND,
      { SCRIPT_RESPOND, EMPTY ("404 Not Found") },
      0,
      NULL },
    { "revoke lost",
      VP_STORE_LEASE_REVOKE,
      VP_STORE_UNKNOWN,
      { SCRIPT_NO_RESPONSE, NULL },
      0,
      NULL },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    ScriptServer server;
    const char *addresses[] = { server.address, NULL };
    VpStore *store;
    VpStoreResult result;
    g_test_message ("%s", cases[i].name);
    script_setup (&server, &cases[i].step, 1);
    store = vp_store_http_new (addresses);
    call_kind (store, cases[i].kind, &result);
    g_assert_cmpint (result.status, ==, cases[i].status);
    g_assert_cmpuint (result.version, ==, cases[i].version);
    if (cases[i].value == NULL)
      g_assert_null (result.value);
    else
      g_assert_cmpmem (g_bytes_get_data (result.value, NULL), g_bytes_get_size (result.value),
                       cases[i].value, strlen (cases[i].value));
    vp_store_result_clear (&result);
    vp_store_free (store);
    script_stop (&server);
    g_assert_cmpuint (server.requests->len, ==,
                      cases[i].step.action == SCRIPT_CLOSE_UNREAD ? 0 : 1);
    script_shutdown (&server);
  }
}

/* Guards against neon's automatic resending on a persistent connection that the server closed. The
 * outcome of a write whose response was lost must be unknown, and not the conflict that the resent
 * write would get. */
static void
test_no_resend (void)
{
  static const VpStoreKind writes[] = { VP_STORE_CAS, VP_STORE_DELETE, VP_STORE_LEASE_GRANT };
  static const ScriptStep steps[] = {
    { SCRIPT_RESPOND, OK ("X-Version: 5\r\n", "abc", "3") },
    { SCRIPT_NO_RESPONSE, NULL },
    { SCRIPT_RESPOND, "HTTP/1.1 409 Conflict\r\nX-Version: 8\r\nContent-Length: 2\r\n\r\nxy" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (writes); i++) {
    ScriptServer server;
    const char *addresses[] = { server.address, NULL };
    VpStore *store;
    VpStoreResult result;
    script_setup (&server, steps, G_N_ELEMENTS (steps));
    store = vp_store_http_new (addresses);
    call_kind (store, VP_STORE_GET, &result);
    vp_store_result_clear (&result);
    call_kind (store, writes[i], &result);
    g_assert_cmpint (result.status, ==, VP_STORE_UNKNOWN);
    vp_store_free (store);
    script_stop (&server);
    g_assert_cmpuint (server.requests->len, ==, 2);
    script_shutdown (&server);
  }
}

/* Guards against a request that is classified as having no effect when it was sent twice and the
 * second one is refused, and against a read that fails since an idle connection was closed. */
static void
test_resent_read (void)
{
  static const ScriptStep steps[] = {
    { SCRIPT_RESPOND_CLOSE, OK ("X-Version: 5\r\n", "abc", "3") },
    { SCRIPT_RESPOND, OK ("X-Version: 6\r\n", "abc", "3") },
    { SCRIPT_NO_RESPONSE, NULL },
    { SCRIPT_RESPOND, EMPTY ("503 Service Unavailable") },
  };
  static const VpStoreStatus expected[] = { VP_STORE_OK, VP_STORE_OK, VP_STORE_UNKNOWN };
  ScriptServer server;
  const char *addresses[] = { server.address, NULL };
  VpStore *store;

  script_setup (&server, steps, G_N_ELEMENTS (steps));
  store = vp_store_http_new (addresses);
  for (guint i = 0; i < G_N_ELEMENTS (expected); i++) {
    VpStoreResult result;
    call_kind (store, i == 2 ? VP_STORE_LEASE_RENEW : VP_STORE_GET, &result);
    g_assert_cmpint (result.status, ==, expected[i]);
    vp_store_result_clear (&result);
  }
  vp_store_free (store);
  script_stop (&server);
  script_shutdown (&server);
}

/* Guards against an operation that fails, or has an unknown outcome, while another address of the
 * store responds, and against a write of unknown outcome that is sent to the next address. */
static void
test_addresses (void)
{
  static const ScriptStep steps[] = {
    { SCRIPT_RESPOND, OK ("X-Version: 5\r\n", "", "0") },
    { SCRIPT_NO_RESPONSE, NULL },
  };
  ScriptServer dead;
  ScriptServer server;
  const char *addresses[] = { dead.address, server.address, NULL };
  VpStore *store;
  VpStoreResult result;

  script_setup (&dead, NULL, 0);
  script_stop (&dead);
  script_setup (&server, steps, G_N_ELEMENTS (steps));
  store = vp_store_http_new (addresses);
  call_kind (store, VP_STORE_CAS, &result);
  g_assert_cmpint (result.status, ==, VP_STORE_OK);
  call_kind (store, VP_STORE_CAS, &result);
  g_assert_cmpint (result.status, ==, VP_STORE_UNKNOWN);
  script_stop (&server);
  call_kind (store, VP_STORE_CAS, &result);
  g_assert_cmpint (result.status, ==, VP_STORE_UNAVAILABLE);
  vp_store_free (store);
  g_assert_cmpuint (server.requests->len, ==, 2);
  script_shutdown (&server);
  script_shutdown (&dead);
}

/* Guards against an unknown outcome although no connection was established: the listener's backlog
 * is full and drops every further handshake. */
static void
test_no_handshake (void)
{
  char text[VP_ADDRESS_MAX];
  const char *addresses[] = { text, NULL };
  VpStore *store;
  VpStoreResult result;
  VpNetAddress address;
  int fds[3];

  g_assert_true (vp_net_parse_address ("127.0.0.1:0", &address));
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | (i == 0 ? 0 : SOCK_NONBLOCK), 0);
  g_assert_cmpint (bind (fds[0], &address.any, address.size), ==, 0);
  g_assert_cmpint (listen (fds[0], 0), ==, 0);
  address.v4.sin_port = htons (vp_net_bound_port (fds[0]));
  for (guint i = 1; i < G_N_ELEMENTS (fds); i++)
    (void)!connect (fds[i], &address.any, address.size);
  g_snprintf (text, sizeof text, "127.0.0.1:%u", ntohs (address.v4.sin_port));
  store = vp_store_http_new (addresses);
  call_kind (store, VP_STORE_CAS, &result);
  g_assert_cmpint (result.status, ==, VP_STORE_UNAVAILABLE);
  vp_store_free (store);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}

/* Guards against requests that differ from the documented interface of the store. */
static void
test_requests (void)
{
  static const char *const lines[] = {
    "GET /v1/kv/ledger/nadi/1 HTTP/1.1",
    "PUT /v1/kv/ledger/nadi/1?version=4 HTTP/1.1",
    "DELETE /v1/kv/ledger/nadi/1?version=4 HTTP/1.1",
    "GET /v1/kv/ledger/nadi/1?watch=4&wait_ms=100 HTTP/1.1",
    "POST /v1/leases?ttl_ms=2400 HTTP/1.1",
    "POST /v1/leases/9 HTTP/1.1",
    "DELETE /v1/leases/9 HTTP/1.1",
  };
  ScriptStep steps[G_N_ELEMENTS (lines)];
  ScriptServer server;
  const char *addresses[] = { server.address, NULL };
  VpStore *store;

  for (guint i = 0; i < G_N_ELEMENTS (steps); i++)
    steps[i] = (ScriptStep){ SCRIPT_RESPOND, EMPTY ("404 Not Found") };
  script_setup (&server, steps, G_N_ELEMENTS (steps));
  store = vp_store_http_new (addresses);
  for (guint i = 0; i < G_N_ELEMENTS (lines); i++) {
    VpStoreResult result;
    call_kind (store, (VpStoreKind)i, &result);
  }
  vp_store_free (store);
  script_stop (&server);
  for (guint i = 0; i < G_N_ELEMENTS (lines); i++)
    g_assert_cmpstr (server.requests->pdata[i], ==, lines[i]);
  g_assert_cmpstr (server.bodies->pdata[VP_STORE_CAS], ==, "value");
  script_shutdown (&server);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store-http/outcomes", test_outcomes);
  g_test_add_func ("/store-http/no-resend", test_no_resend);
  g_test_add_func ("/store-http/resent-read", test_resent_read);
  g_test_add_func ("/store-http/addresses", test_addresses);
  g_test_add_func ("/store-http/no-handshake", test_no_handshake);
  g_test_add_func ("/store-http/requests", test_requests);
  return g_test_run ();
}
