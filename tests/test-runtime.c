#include "vp-config.h"
#include "vp-core.h"
#include "vp-glib-log.h"
#include "vp-metrics.h"
#include "vp-net.h"
#include "vp-poller.h"
#include "vp-runtime.h"
#include "vp-store-executor.h"
#include "vp-worker-executor.h"

#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <string.h>
#include <unistd.h>

/* Fake platform that records every request. Requests that contain "held", that wait for a report or
 * that renew leases are held until they are released. */
typedef struct {
  struct MHD_Daemon *daemon;
  char address[VP_ADDRESS_MAX];
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool is_released;
  uint32_t release_count; /* held requests that get a response although the others stay held */
  uint64_t boot;          /* boot in the reports of the worker */
  GPtrArray *requests;    /* "METHOD path[?query] body" */
  GArray *events;         /* VpEvent; posted events */
} FakePlatform;

static enum MHD_Result
add_argument (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  GString *line = data;

  (void)kind;
  g_string_append_printf (line, "%s%s=%s", strchr (line->str, '?') == NULL ? "?" : "&", name,
                          value);
  return MHD_YES;
}

static void
hold_request (FakePlatform *platform, const char *line)
{
  bool is_held = strstr (line, "held") != NULL || strstr (line, "wait_ms=10000") != NULL
                 || strstr (line, "/v1/leases ") != NULL;

  pthread_mutex_lock (&platform->lock);
  g_ptr_array_add (platform->requests, g_strdup (line));
  pthread_cond_broadcast (&platform->changed);
  while (is_held && !platform->is_released && platform->release_count == 0)
    pthread_cond_wait (&platform->changed, &platform->lock);
  if (is_held && platform->release_count > 0)
    platform->release_count--;
  pthread_mutex_unlock (&platform->lock);
}

static enum MHD_Result
on_request (void *data,
            struct MHD_Connection *connection,
            const char *path,
            const char *method,
            const char *version,
            const char *upload,
            size_t *size,
            void **context)
{
  FakePlatform *platform = data;
  g_autoptr (GString) line = NULL;
  g_autofree char *body = NULL;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)version;
  if (*context == NULL) {
    *context = g_string_new (NULL);
    return MHD_YES;
  }
  if (*size > 0) {
    g_string_append_len (*context, upload, (gssize)*size);
    *size = 0;
    return MHD_YES;
  }
  line = g_string_new (method);
  g_string_append_printf (line, " %s", path);
  MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, add_argument, line);
  g_string_append_printf (line, " %s", ((GString *)*context)->str);
  g_string_free (*context, TRUE);
  hold_request (platform, line->str);
  pthread_mutex_lock (&platform->lock);
  body = g_strdup_printf ("{\"unknown\":[],\"vms\":[],\"boot\":%u,\"leaving\":false,"
                          "\"sequence\":%u,\"running\":[],\"ended\":[]}",
                          (unsigned)platform->boot, platform->requests->len);
  pthread_mutex_unlock (&platform->lock);
  response = MHD_create_response_from_buffer (strlen (body), body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "X-Version", "5");
  result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

static void
on_event (const VpEvent *event, void *data)
{
  FakePlatform *platform = data;

  pthread_mutex_lock (&platform->lock);
  g_array_append_val (platform->events, *event);
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
}

static void
fake_platform_setup (FakePlatform *platform)
{
  const union MHD_DaemonInfo *info;

  memset (platform, 0, sizeof *platform);
  pthread_mutex_init (&platform->lock, NULL);
  vp_sync_cond_setup (&platform->changed);
  platform->boot = 3;
  platform->requests = g_ptr_array_new_with_free_func (g_free);
  platform->events = g_array_new (FALSE, FALSE, sizeof (VpEvent));
  platform->daemon
      = MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
                          NULL, on_request, platform, MHD_OPTION_END);
  info = MHD_get_daemon_info (platform->daemon, MHD_DAEMON_INFO_BIND_PORT);
  g_snprintf (platform->address, sizeof platform->address, "127.0.0.1:%u", info->port);
}

static void
release_all (FakePlatform *platform)
{
  pthread_mutex_lock (&platform->lock);
  platform->is_released = true;
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
}

static void
release_one (FakePlatform *platform)
{
  pthread_mutex_lock (&platform->lock);
  platform->release_count++;
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
}

static void
fake_platform_shutdown (FakePlatform *platform)
{
  MHD_stop_daemon (platform->daemon);
  for (guint i = 0; i < platform->events->len; i++)
    vp_event_clear (&g_array_index (platform->events, VpEvent, i));
  g_array_unref (platform->events);
  g_ptr_array_unref (platform->requests);
  pthread_cond_destroy (&platform->changed);
  pthread_mutex_destroy (&platform->lock);
}

/* Waits for a request that contains @part and returns its index, which is at least @start. */
static guint
wait_request (FakePlatform *platform, guint start, const char *part)
{
  guint found = G_MAXUINT;

  pthread_mutex_lock (&platform->lock);
  while (found == G_MAXUINT) {
    for (guint i = start; i < platform->requests->len && found == G_MAXUINT; i++)
      found = strstr (platform->requests->pdata[i], part) != NULL ? i : found;
    if (found == G_MAXUINT)
      pthread_cond_wait (&platform->changed, &platform->lock);
  }
  pthread_mutex_unlock (&platform->lock);
  return found;
}

static guint
count_requests (FakePlatform *platform, const char *part)
{
  guint count = 0;

  pthread_mutex_lock (&platform->lock);
  for (guint i = 0; i < platform->requests->len; i++)
    count += strstr (platform->requests->pdata[i], part) != NULL ? 1 : 0;
  pthread_mutex_unlock (&platform->lock);
  return count;
}

/* Waits until @count events of @kind were posted and returns the last of them. */
static VpEvent
wait_events (FakePlatform *platform, VpEventKind kind, guint count)
{
  VpEvent last = { 0 };
  guint found = 0;

  pthread_mutex_lock (&platform->lock);
  while (found < count) {
    found = 0;
    for (guint i = 0; i < platform->events->len && found < count; i++) {
      last = g_array_index (platform->events, VpEvent, i);
      found += last.kind == kind ? 1 : 0;
    }
    if (found < count)
      pthread_cond_wait (&platform->changed, &platform->lock);
  }
  pthread_mutex_unlock (&platform->lock);
  return last;
}

static int64_t
end_us (void)
{
  return g_get_monotonic_time () + 5 * G_USEC_PER_SEC;
}

static void
push_store (VpStoreExecutor *executor,
            VpModule module,
            VpStoreKind kind,
            const char *key,
            uint64_t token)
{
  VpStoreOp op
      = { .kind = kind, .module = module, .token = token, .lease = 9, .timeout_ms = 10000 };

  g_strlcpy (op.key, key, sizeof op.key);
  vp_store_executor_push (executor, &op);
}

/* Guards against a lease renewal that waits behind a slow value or a watch, so that the ownership
 * is lost, and against operations on one key that overtake each other. */
static void
test_store_queues (void)
{
  FakePlatform platform;
  const char *addresses[] = { platform.address, NULL };
  VpStoreExecutor *executor;
  VpEvent event;

  fake_platform_setup (&platform);
  executor = vp_store_executor_setup (addresses, on_event, &platform);
  push_store (executor, VP_MODULE_CONFIG_SYNC, VP_STORE_WATCH, "config-held", 1);
  push_store (executor, VP_MODULE_OWNER, VP_STORE_GET, "owner/held", 2);
  push_store (executor, VP_MODULE_LEDGER, VP_STORE_GET, "ledger/held", 3);
  for (uint64_t i = 0; i < 10; i++)
    push_store (executor, VP_MODULE_LEDGER, VP_STORE_GET, "ledger/next", 10 + i);
  wait_request (&platform, 0, "config-held");
  wait_request (&platform, 0, "owner/held");
  wait_request (&platform, 0, "ledger/held");
  push_store (executor, VP_MODULE_OWNER, VP_STORE_LEASE_RENEW, "", 4);
  push_store (executor, VP_MODULE_CONFIG_SYNC, VP_STORE_GET, "config", 5);
  wait_events (&platform, VP_EVENT_STORE_RESULT, 2);
  g_assert_cmpuint (count_requests (&platform, "ledger/next"), ==, 0);
  release_all (&platform);
  wait_events (&platform, VP_EVENT_STORE_RESULT, 15);
  for (guint i = 0, next = 10; i < platform.events->len; i++) {
    event = g_array_index (platform.events, VpEvent, i);
    g_assert_cmpint (event.store.status, ==, VP_STORE_OK);
    if (event.store.token >= 10)
      g_assert_cmpuint (event.store.token, ==, next++);
  }
  vp_store_executor_shutdown (executor, end_us ());
  fake_platform_shutdown (&platform);
}

static void
push_worker (VpWorkerExecutor *executor, VpWorkerKind kind, uint32_t member, int64_t valid_until_ms)
{
  VpWorkerOp op = { .kind = kind,
                    .worker = "w-01",
                    .attempt = { { 0, 1 }, member, 1 },
                    .team = "nadi",
                    .profile = "p",
                    .valid_until_ms = valid_until_ms };

  if (kind == VP_WORKER_START)
    g_strlcpy (op.team, "held", sizeof op.team);
  vp_worker_executor_push (executor, &op);
}

/* Guards against a stop that overtakes the start of its attempt, renewals that wait behind slow
 * commands or are sent one by one, and a command that gets no result when its worker is detached.
 */
static void
test_worker_order (void)
{
  FakePlatform platform;
  VpWorkerExecutor *executor;

  fake_platform_setup (&platform);
  executor = vp_worker_executor_setup (on_event, &platform);
  push_worker (executor, VP_WORKER_STOP, 0, 0);
  g_assert_cmpint (wait_events (&platform, VP_EVENT_WORKER_RESULT, 1).worker.status, ==,
                   VP_WORKER_UNREACHABLE);
  vp_worker_executor_attach (executor, "w-01", platform.address);
  /* The stop waits for the start of its attempt although another call could be made. */
  push_worker (executor, VP_WORKER_START, 0, 0);
  push_worker (executor, VP_WORKER_STOP, 0, 0);
  push_worker (executor, VP_WORKER_THROTTLE, 30, 0);
  wait_events (&platform, VP_EVENT_WORKER_RESULT, 2);
  g_assert_cmpuint (count_requests (&platform, "DELETE"), ==, 0);
  /* At most four commands are in flight to a worker, the other ones stay queued. */
  for (uint32_t i = 1; i < 5; i++)
    push_worker (executor, VP_WORKER_START, i, 0);
  for (uint32_t i = 0; i < 4; i++) {
    g_autofree char *part = g_strdup_printf (".%u.1 {", i);
    wait_request (&platform, 0, part);
  }
  push_worker (executor, VP_WORKER_RENEW, 23, 0);
  wait_request (&platform, 0, "POST /v1/leases");
  for (uint32_t i = 0; i < 23; i++)
    push_worker (executor, VP_WORKER_RENEW, i, 0);
  g_assert_cmpuint (count_requests (&platform, "DELETE"), ==, 0);
  g_assert_cmpuint (count_requests (&platform, ".4.1 {"), ==, 0);
  release_all (&platform);
  wait_events (&platform, VP_EVENT_WORKER_RESULT, 1 + 1 + 5 + 1 + 24);
  /* One call for the first renewal, one for the 18 renewals of attempts without a start, and at
   * most one for each of the five starts. */
  g_assert_cmpuint (count_requests (&platform, "POST /v1/leases"), <=, 7);
  vp_worker_executor_detach (executor, "w-01");
  push_worker (executor, VP_WORKER_STOP, 0, 0);
  g_assert_cmpint (wait_events (&platform, VP_EVENT_WORKER_RESULT, 33).worker.status, ==,
                   VP_WORKER_UNREACHABLE);
  vp_worker_executor_shutdown (executor, end_us ());
  fake_platform_shutdown (&platform);
}

/* Guards against a start or renewal that is sent after its own time limit or the ownership has
 * passed, and against a stop that is rejected for these limits. */
static void
test_worker_expired (void)
{
  int64_t now_ms = vp_runtime_now_ms ();
  FakePlatform platform;
  VpWorkerExecutor *executor;

  fake_platform_setup (&platform);
  release_all (&platform);
  vp_metrics_reset ();
  executor = vp_worker_executor_setup (on_event, &platform);
  vp_worker_executor_attach (executor, "w-01", platform.address);
  vp_worker_executor_set_valid_until (executor, now_ms + 60000);
  push_worker (executor, VP_WORKER_START, 0, now_ms - 1);
  wait_events (&platform, VP_EVENT_WORKER_RESULT, 1);
  vp_worker_executor_set_valid_until (executor, now_ms - 1);
  push_worker (executor, VP_WORKER_START, 1, now_ms + 60000);
  wait_events (&platform, VP_EVENT_WORKER_RESULT, 2);
  push_worker (executor, VP_WORKER_RENEW, 2, now_ms + 60000);
  g_assert_cmpint (wait_events (&platform, VP_EVENT_WORKER_RESULT, 3).worker.status, ==,
                   VP_WORKER_REFUSED);
  push_worker (executor, VP_WORKER_STOP, 0, now_ms - 1);
  g_assert_cmpint (wait_events (&platform, VP_EVENT_WORKER_RESULT, 4).worker.status, ==,
                   VP_WORKER_ACCEPTED);
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_STARTS_EXPIRED), ==, 2);
  g_assert_cmpuint (count_requests (&platform, "POST /v1/"), ==, 0);
  vp_worker_executor_shutdown (executor, end_us ());
  fake_platform_shutdown (&platform);
}

/* Guards against an acknowledgement that reaches a restarted worker, which would then forget ended
 * attempts that it has never reported, and against a first poll that waits. */
static void
test_poll (void)
{
  FakePlatform platform;
  VpWorkerExecutor *executor;
  VpEvent event;
  guint at;

  fake_platform_setup (&platform);
  executor = vp_worker_executor_setup (on_event, &platform);
  vp_worker_executor_attach (executor, "w-01", platform.address);
  g_assert_cmpuint (wait_request (&platform, 0, "report?ack=0&seen=0&wait_ms=0"), ==, 0);
  event = wait_events (&platform, VP_EVENT_WORKER_REPORT, 1);
  g_assert_true (event.report.is_reachable && event.report.boot == 3);
  at = wait_request (&platform, 1, "report?ack=0&seen=1&wait_ms=10000");
  vp_worker_executor_mark_report_applied (executor, &event.report);
  vp_worker_executor_ack (executor, "w-01", 7);
  release_one (&platform);
  at = wait_request (&platform, at + 1, "report?ack=7&seen=2&wait_ms=10000");
  pthread_mutex_lock (&platform.lock);
  platform.boot = 4;
  pthread_mutex_unlock (&platform.lock);
  release_one (&platform);
  at = wait_request (&platform, at + 1, "report?ack=0&seen=3&wait_ms=10000");
  /* Nothing listens on port 1, so the worker is reported as unreachable. */
  vp_worker_executor_attach (executor, "w-02", "127.0.0.1:1");
  g_assert_false (wait_events (&platform, VP_EVENT_WORKER_REPORT, 4).report.is_reachable);
  /* This acknowledgement refers to the old boot, since the new report was not applied yet. */
  vp_worker_executor_ack (executor, "w-01", 8);
  release_one (&platform);
  wait_request (&platform, at + 1, "report?ack=0&seen=4&wait_ms=10000");
  release_all (&platform);
  vp_worker_executor_shutdown (executor, end_us ());
  fake_platform_shutdown (&platform);
}

/* Fake reducer that answers every request with an error and publishes a configuration each time. */
struct _VpCore {
  uint32_t request_count;
};

VpCore *
vp_core_setup (const VpCoreDesc *desc)
{
  g_assert_cmpuint (desc->boot, >, 0);
  return g_new0 (VpCore, 1);
}

void
vp_core_shutdown (VpCore *core)
{
  g_free (core);
}

int64_t
vp_core_valid_until_ms (const VpCore *core, int64_t now_ms)
{
  (void)core;
  return now_ms;
}

int64_t
vp_core_next_ms (const VpCore *core)
{
  (void)core;
  return INT64_MAX;
}

void
vp_core_apply (VpCore *core, VpEvent *event, int64_t now_ms, VpEffects *effects)
{
  VpEffect *effect;

  (void)now_ms;
  if (event->kind == VP_EVENT_REQUEST) {
    vp_effects_add (effects, VP_EFFECT_CONFIG)->config = vp_config_new_empty ();
    effect = vp_effects_add (effects, VP_EFFECT_REPLY);
    effect->reply.handle = event->handle;
    effect->reply.status = 503;
    effect->reply.body = vp_request_format_error (VP_REASON_NO_OWNER, NULL);
    core->request_count++;
  } else if (event->kind == VP_EVENT_SHUTDOWN) {
    vp_effects_add (effects, VP_EFFECT_EXIT);
  }
  vp_event_clear (event);
}

static void
settings_setup (VpSettings *settings, const FakePlatform *platform)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = g_strdup_printf (
      "{\"name\":\"nadi-1\",\"members\":[{\"name\":\"nadi-1\",\"dc\":\"nadi\",\"peer_address\":"
      "\"127.0.0.1:1\",\"http_address\":\"127.0.0.1:2\"}],\"store_addresses\":[\"%s\"],"
      "\"vmlist_address\":\"%s\"}",
      platform->address, platform->address);

  vp_settings_parse (settings, text, strlen (text), &error);
  g_assert_no_error (error);
  g_strlcpy (settings->http_address, "127.0.0.1:0", sizeof settings->http_address);
  g_strlcpy (settings->peer_address, "127.0.0.1:0", sizeof settings->peer_address);
}

static gpointer
run_caller (gpointer data)
{
  VpRuntime *runtime = data;
  VpNetAddress address;
  char response[512];

  g_assert_true (vp_net_parse_address ("127.0.0.1:1", &address));
  address.v4.sin_port = htons (vp_runtime_http_port (runtime));
  for (int i = 0; i < 50; i++) {
    static const char request[] = "GET /v1/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    VpConfig *config;
    ssize_t count;
    g_assert_cmpint (connect (fd, &address.any, address.size), ==, 0);
    g_assert_cmpint (send (fd, request, strlen (request), MSG_NOSIGNAL), ==, strlen (request));
    count = recv (fd, response, sizeof response - 1, MSG_WAITALL);
    response[MAX (count, 0)] = '\0';
    g_assert_nonnull (strstr (response, "no-owner"));
    close (fd);
    config = vp_runtime_ref_config (runtime);
    g_assert_nonnull (config);
    g_assert_cmpuint (config->revision, ==, 0);
    vp_config_unref (config);
  }
  return NULL;
}

static gpointer
run_stopper (gpointer data)
{
  GThread *callers[4];

  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    callers[i] = g_thread_new ("caller", run_caller, data);
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    g_thread_join (callers[i]);
  vp_runtime_request_stop (data);
  return NULL;
}

/* Guards against a lost wake-up of the event loop, a configuration that is released while another
 * thread reads it, and a stop request that has no effect. The fake reducer never asks for a tick,
 * so no tick hides a lost wake-up. */
static void
test_loop (void)
{
  g_autoptr (GError) error = NULL;
  FakePlatform platform;
  VpSettings settings;
  GThread *stopper;
  VpRuntime *runtime;

  fake_platform_setup (&platform);
  release_all (&platform);
  settings_setup (&settings, &platform);
  runtime = vp_runtime_setup (&(VpRuntimeDesc){ .settings = &settings }, &error);
  g_assert_no_error (error);
  g_assert_null (vp_runtime_ref_config (runtime));
  stopper = g_thread_new ("stopper", run_stopper, runtime);
  vp_runtime_loop (runtime);
  g_thread_join (stopper);
  vp_runtime_shutdown (runtime);
  wait_request (&platform, 0, "GET /v1/vms?dc=nadi");
  g_strlcpy (settings.http_address, "127.0.0.1:x", sizeof settings.http_address);
  g_assert_null (vp_runtime_setup (&(VpRuntimeDesc){ .settings = &settings }, &error));
  g_assert_nonnull (error);
  vp_settings_shutdown (&settings);
  fake_platform_shutdown (&platform);
}

/* Guards against a shutdown that cuts off a request which was posted, but not taken by the reducer.
 */
static void
test_shutdown_queued (void)
{
  static const char request[] = "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";
  g_autoptr (GError) error = NULL;
  FakePlatform platform;
  VpSettings settings;
  VpRuntime *runtime;
  VpNetAddress address;
  char response[512];
  ssize_t count;
  int fd;

  fake_platform_setup (&platform);
  release_all (&platform);
  settings_setup (&settings, &platform);
  runtime = vp_runtime_setup (&(VpRuntimeDesc){ .settings = &settings }, &error);
  g_assert_no_error (error);
  g_assert_true (vp_net_parse_address ("127.0.0.1:1", &address));
  address.v4.sin_port = htons (vp_runtime_http_port (runtime));
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (connect (fd, &address.any, address.size), ==, 0);
  g_assert_cmpint (send (fd, request, strlen (request), MSG_NOSIGNAL), ==, strlen (request));
  g_usleep (100000); /* until the request is in the queue; earlier it is refused as unread */
  vp_runtime_shutdown (runtime);
  count = recv (fd, response, sizeof response - 1, MSG_WAITALL);
  response[MAX (count, 0)] = '\0';
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 503"));
  g_assert_nonnull (strstr (response, "\"shutting-down\""));
  g_assert_nonnull (strstr (response, "\"run\":\"no\""));
  close (fd);
  vp_settings_shutdown (&settings);
  fake_platform_shutdown (&platform);
}

/* Guards against a log message that is not printed as one JSON object on one line. */
static void
test_log (void)
{
  static const char message[] = "a \"quoted\"\nline \xff";
  GLogField fields[] = { { "MESSAGE", message, -1 },
                         { "GLIB_DOMAIN", "verbenapulley", -1 },
                         { "CODE_FILE", "vp-runtime.c", -1 },
                         { "MEMBER", "nadi-1 and more", 6 } };
  g_autofree char *line
      = vp_glib_log_format_json (G_LOG_LEVEL_WARNING, fields, G_N_ELEMENTS (fields));
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonObject *object;

  g_assert_null (strchr (line, '\n'));
  g_assert_true (json_parser_load_from_data (parser, line, -1, NULL));
  object = json_node_get_object (json_parser_get_root (parser));
  g_assert_cmpstr (json_object_get_string_member (object, "level"), ==, "warning");
  g_assert_cmpstr (json_object_get_string_member (object, "member"), ==, "nadi-1");
  g_assert_true (
      g_str_has_prefix (json_object_get_string_member (object, "message"), "a \"quoted\"\n"));
  g_assert_false (json_object_has_member (object, "code_file"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/runtime/store-queues", test_store_queues);
  g_test_add_func ("/runtime/worker-order", test_worker_order);
  g_test_add_func ("/runtime/worker-expired", test_worker_expired);
  g_test_add_func ("/runtime/poll", test_poll);
  g_test_add_func ("/runtime/loop", test_loop);
  g_test_add_func ("/runtime/shutdown-queued", test_shutdown_queued);
  g_test_add_func ("/runtime/log", test_log);
  return g_test_run ();
}
