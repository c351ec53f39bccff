#include "vp-runtime.h"
#include "vp-config.h"
#include "vp-core.h"
#include "vp-glib-log.h"
#include "vp-http-server.h"
#include "vp-metrics.h"
#include "vp-peer.h"
#include "vp-poller.h"
#include "vp-queue.h"
#include "vp-store-executor.h"
#include "vp-worker-executor.h"

#include <string.h>
#include <urcu.h>

/* Minimum time between ticks, in case the reducer asks for a tick in the past. */
#define VP_RUNTIME_TICK_MIN_MS 1
/* Longer than any wait that the reducer asks for, so that this limit can't hide a lost wake-up. */
#define VP_RUNTIME_SLEEP_MAX_MS 60000
/* Longest wait at shutdown for threads that block in a call to the platform. */
#define VP_RUNTIME_JOIN_TIMEOUT_MS 2000
/* Descriptors for callers' connections; the others are for peers, workers and the store. */
#define VP_RUNTIME_CALLERS_PERCENT 70
#define VP_RUNTIME_RETRY_AFTER_S   1 /* of requests that the reducer did not receive */

typedef struct {
  struct cds_wfcq_node node;
  VpEvent event;
} VpRuntimeEventNode;

struct _VpRuntime {
  const VpSettings *settings;
  VpCore *core;
  VpEffects effects;
  VpQueue queue;
  uint32_t stop_count; /* requests to stop; atomic */
  bool is_stop_handled;
  bool is_exiting;
  VpHttpServer *http;
  VpPeer *peer;
  VpStoreExecutor *store_executor;
  VpWorkerExecutor *worker_executor;
  VpVmlistPoller *vmlist_poller;
  VpConfig *config; /* published by RCU */
};

void
vp_runtime_post (VpRuntime *runtime, const VpEvent *event)
{
  VpRuntimeEventNode *node = g_new (VpRuntimeEventNode, 1);

  node->event = *event;
  vp_queue_post (&runtime->queue, &node->node);
}

static void
_vp_runtime_on_event (const VpEvent *event, void *data)
{
  vp_runtime_post (data, event);
}

void
vp_runtime_request_stop (VpRuntime *runtime)
{
  __atomic_add_fetch (&runtime->stop_count, 1, __ATOMIC_SEQ_CST);
  vp_queue_wake (&runtime->queue);
}

/* Takes the next event off the queue. Returns false if the queue is empty. */
static bool
_vp_runtime_take_event (VpRuntime *runtime, VpEvent *event)
{
  struct cds_wfcq_node *taken;
  VpRuntimeEventNode *node;

  taken = vp_queue_take (&runtime->queue);
  if (taken == NULL)
    return false;
  node = caa_container_of (taken, VpRuntimeEventNode, node);
  *event = node->event;
  g_free (node);
  return true;
}

static void
_vp_runtime_unregister_rcu_reader (gpointer registered)
{
  (void)registered;
  rcu_unregister_thread ();
}

VpConfig *
vp_runtime_ref_config (VpRuntime *runtime)
{
  static GPrivate reader = G_PRIVATE_INIT (_vp_runtime_unregister_rcu_reader);
  VpConfig *config;

  if (g_private_get (&reader) == NULL) {
    rcu_register_thread ();
    g_private_set (&reader, GINT_TO_POINTER (1));
  }
  rcu_read_lock ();
  config = __atomic_load_n (&runtime->config, __ATOMIC_ACQUIRE);
  if (config != NULL)
    vp_config_ref (config);
  rcu_read_unlock ();
  return config;
}

static void
_vp_runtime_publish_config (VpRuntime *runtime, VpConfig *config)
{
  VpConfig *old;

  if (config != NULL)
    vp_config_ref (config);
  old = __atomic_exchange_n (&runtime->config, config, __ATOMIC_ACQ_REL);
  if (old == NULL)
    return;
  /* Read-side critical sections only take a reference, so this waits for microseconds. */
  synchronize_rcu ();
  vp_config_unref (old);
}

static void
_vp_runtime_log (const VpRuntime *runtime, GLogLevelFlags level, const char *text)
{
  g_log_structured (G_LOG_DOMAIN, level, "MEMBER", runtime->settings->name, "MESSAGE", "%s", text);
}

static void
_vp_runtime_execute (VpRuntime *runtime, const VpEffect *effect)
{
  switch (effect->kind) {
  case VP_EFFECT_REPLY:
    vp_http_server_reply (runtime->http, effect->reply.handle, effect->reply.status,
                          effect->reply.retry_after_s, effect->reply.body,
                          effect->reply.content_type);
    break;
  case VP_EFFECT_STORE:
    vp_store_executor_push (runtime->store_executor, &effect->store);
    break;
  case VP_EFFECT_WORKER:
    vp_worker_executor_push (runtime->worker_executor, &effect->worker);
    break;
  case VP_EFFECT_WORKER_ATTACH:
    vp_worker_executor_attach (runtime->worker_executor, effect->attach.worker,
                               effect->attach.address);
    break;
  case VP_EFFECT_WORKER_DETACH:
    vp_worker_executor_detach (runtime->worker_executor, effect->attach.worker);
    break;
  case VP_EFFECT_WORKER_ACK:
    vp_worker_executor_ack (runtime->worker_executor, effect->attach.worker,
                            effect->attach.sequence);
    break;
  case VP_EFFECT_PEER:
    vp_peer_send (runtime->peer, effect->peer.peer, &effect->peer.message);
    break;
  case VP_EFFECT_PEER_CONNECT:
    vp_peer_connect (runtime->peer, effect->peer.peer, effect->peer.address);
    break;
  case VP_EFFECT_CONFIG:
    _vp_runtime_publish_config (runtime, effect->config);
    break;
  case VP_EFFECT_LOG:
    _vp_runtime_log (runtime, effect->log.level, effect->log.text);
    break;
  case VP_EFFECT_EXIT:
    runtime->is_exiting = true;
    break;
  }
}

static void
_vp_runtime_apply (VpRuntime *runtime, VpEvent *event)
{
  int64_t start_us = g_get_monotonic_time ();
  int64_t now_ms = vp_runtime_now_ms ();

  if (event->kind == VP_EVENT_WORKER_REPORT)
    vp_worker_executor_mark_report_applied (runtime->worker_executor, &event->report);
  vp_core_apply (runtime->core, event, now_ms, &runtime->effects);
  vp_metrics_add (VP_COUNTER_EVENTS, 1);
  vp_metrics_observe (VP_HIST_DECIDE_US, g_get_monotonic_time () - start_us);
  vp_worker_executor_set_valid_until (runtime->worker_executor,
                                      vp_core_valid_until_ms (runtime->core, now_ms));
  for (uint32_t i = 0; i < runtime->effects.count; i++)
    _vp_runtime_execute (runtime, &runtime->effects.items[i]);
  vp_effects_clear (&runtime->effects);
}

/* Starts the graceful shutdown if a stop was requested. */
static void
_vp_runtime_check_stop (VpRuntime *runtime)
{
  VpEvent event = { .kind = VP_EVENT_SHUTDOWN };

  if (runtime->is_stop_handled || __atomic_load_n (&runtime->stop_count, __ATOMIC_SEQ_CST) == 0)
    return;
  runtime->is_stop_handled = true;
  _vp_runtime_log (runtime, G_LOG_LEVEL_MESSAGE, "shutting down");
  vp_http_server_quiesce (runtime->http);
  _vp_runtime_apply (runtime, &event);
}

void
vp_runtime_loop (VpRuntime *runtime)
{
  int64_t last_tick_ms = 0;

  while (!runtime->is_exiting) {
    VpEvent event = { .kind = VP_EVENT_TICK };
    int64_t now_ms = vp_runtime_now_ms ();
    int64_t next_ms = MAX (vp_core_next_ms (runtime->core), last_tick_ms + VP_RUNTIME_TICK_MIN_MS);
    _vp_runtime_check_stop (runtime);
    if (runtime->is_exiting)
      break;
    if (now_ms >= next_ms) {
      last_tick_ms = now_ms;
      _vp_runtime_apply (runtime, &event);
    } else if (_vp_runtime_take_event (runtime, &event)) {
      _vp_runtime_apply (runtime, &event);
    } else {
      vp_queue_sleep (&runtime->queue, MIN (next_ms - now_ms, VP_RUNTIME_SLEEP_MAX_MS),
                      runtime->is_stop_handled ? NULL : &runtime->stop_count);
    }
  }
}

static bool
_vp_runtime_start_servers (VpRuntime *runtime, GError **error)
{
  const VpSettings *settings = runtime->settings;
  VpHttpLimits limits;

  runtime->peer = vp_peer_setup (&(VpPeerDesc){ .address = settings->peer_address,
                                                .member = settings->name,
                                                .post = _vp_runtime_on_event,
                                                .data = runtime },
                                 error);
  if (runtime->peer == NULL)
    return false;
  for (guint i = 0; i < settings->members->len; i++) {
    const VpMember *member = &g_array_index (settings->members, VpMember, i);
    if (strcmp (member->name, settings->name) != 0)
      vp_peer_connect (runtime->peer, member->name, member->peer_address);
  }
  vp_intake_settings_limits (&settings->intake, VP_RUNTIME_CALLERS_PERCENT, &limits);
  limits.connections_max = MIN (limits.connections_max, settings->connections_max);
  runtime->http = vp_http_server_setup (
      &(VpHttpServerDesc){ .address = settings->http_address,
                           .post = _vp_runtime_on_event,
                           .data = runtime,
                           .body_max = settings->body_max,
                           .is_logging = true,
                           .client_timeout_ms = settings->client_timeout_ms,
                           .json_nodes_max = settings->intake.json_nodes_max,
                           .limits = limits },
      error);
  return runtime->http != NULL;
}

VpRuntime *
vp_runtime_setup (const VpRuntimeDesc *desc, GError **error)
{
  const VpSettings *settings = desc->settings;
  g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
  VpRuntime *runtime = g_new0 (VpRuntime, 1);

  runtime->settings = settings;
  vp_queue_setup (&runtime->queue);
  for (guint i = 0; i < settings->store_addresses->len; i++)
    g_ptr_array_add (addresses, settings->store_addresses->pdata[i]);
  g_ptr_array_add (addresses, NULL);
  runtime->core
      = vp_core_setup (&(VpCoreDesc){ .settings = settings, .boot = (uint64_t)g_get_real_time () });
  runtime->store_executor = vp_store_executor_setup ((const char *const *)addresses->pdata,
                                                     _vp_runtime_on_event, runtime);
  runtime->worker_executor = vp_worker_executor_setup (_vp_runtime_on_event, runtime);
  if (!_vp_runtime_start_servers (runtime, error)) {
    vp_runtime_shutdown (runtime);
    return NULL;
  }
  runtime->vmlist_poller
      = vp_vmlist_poller_setup (settings->vmlist_address, settings->dc, settings->vmlist_poll_ms,
                                _vp_runtime_on_event, runtime);
  return runtime;
}

uint16_t
vp_runtime_http_port (const VpRuntime *runtime)
{
  return vp_http_server_port (runtime->http);
}

uint16_t
vp_runtime_peer_port (const VpRuntime *runtime)
{
  return vp_peer_port (runtime->peer);
}

/* Refuses the requests that were posted after the reducer had decided to exit. */
static void
_vp_runtime_refuse_queued (VpRuntime *runtime)
{
  g_autoptr (GBytes) body = vp_request_format_error (VP_REASON_SHUTTING_DOWN, NULL);
  VpEvent event;

  if (runtime->http == NULL)
    return;
  vp_http_server_refuse_requests (runtime->http);
  while (_vp_runtime_take_event (runtime, &event)) {
    if (event.kind == VP_EVENT_REQUEST)
      vp_http_server_reply (runtime->http, event.handle,
                            vp_reason_http_status (VP_REASON_SHUTTING_DOWN),
                            VP_RUNTIME_RETRY_AFTER_S, body, NULL);
    vp_event_clear (&event);
  }
}

void
vp_runtime_shutdown (VpRuntime *runtime)
{
  int64_t end_us = g_get_monotonic_time () + VP_RUNTIME_JOIN_TIMEOUT_MS * (int64_t)1000;
  VpEvent event;

  if (runtime == NULL)
    return;
  _vp_runtime_refuse_queued (runtime);
  vp_http_server_shutdown (runtime->http);
  vp_peer_shutdown (runtime->peer);
  vp_vmlist_poller_shutdown (runtime->vmlist_poller, end_us);
  vp_worker_executor_shutdown (runtime->worker_executor, end_us);
  vp_store_executor_shutdown (runtime->store_executor, end_us);
  /* All threads that post events have ended or no longer post. */
  while (_vp_runtime_take_event (runtime, &event))
    vp_event_clear (&event);
  _vp_runtime_publish_config (runtime, NULL);
  vp_core_shutdown (runtime->core);
  vp_effects_free (&runtime->effects);
  vp_queue_shutdown (&runtime->queue);
  g_free (runtime);
}
