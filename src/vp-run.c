#include "vp-run.h"
#include "vp-config.h"
#include "vp-core.h"
#include "vp-counters.h"
#include "vp-http.h"
#include "vp-peer.h"
#include "vp-queue.h"
#include "vp-run-log.h"
#include "vp-run-poll.h"
#include "vp-run-store.h"
#include "vp-run-worker.h"

#include <string.h>
#include <urcu.h>

/* Least time between ticks, in case the reducer asks for one in the past. */
#define VP_RUN_TICK_MIN_MS 1
/* A longer sleep than any wait of the reducer: it does not stand in for a lost wake-up. */
#define VP_RUN_SLEEP_MAX_MS 60000
/* How long the end waits for threads that block in a call to the platform. */
#define VP_RUN_JOIN_MS 2000

typedef struct {
  struct cds_wfcq_node node;
  VpEvent event;
} VpRunNode;

struct _VpRun {
  const VpSettings *settings;
  VpCore *core;
  VpEffects effects;
  VpQueue queue;
  uint32_t stop_count; /* atomic */
  bool is_stop_seen;
  bool is_exiting;
  VpHttp *http;
  VpPeer *peer;
  VpRunStores *stores;
  VpRunWorkers *workers;
  VpRunVms *vms;
  VpConfig *config; /* published by RCU */
};

void
vp_run_post (VpRun *run, const VpEvent *event)
{
  VpRunNode *node = g_new (VpRunNode, 1);

  node->event = *event;
  vp_queue_post (&run->queue, &node->node);
}

static void
_vp_run_on_event (const VpEvent *event, void *data)
{
  vp_run_post (data, event);
}

void
vp_run_stop (VpRun *run)
{
  __atomic_add_fetch (&run->stop_count, 1, __ATOMIC_SEQ_CST);
  vp_queue_wake (&run->queue);
}

/* The next event; false if there is none. */
static bool
_vp_run_take (VpRun *run, VpEvent *event)
{
  struct cds_wfcq_node *taken;
  VpRunNode *node;

  taken = vp_queue_take (&run->queue);
  if (taken == NULL)
    return false;
  node = caa_container_of (taken, VpRunNode, node);
  *event = node->event;
  g_free (node);
  return true;
}

static void
_vp_run_unregister_reader (gpointer registered)
{
  (void)registered;
  rcu_unregister_thread ();
}

VpConfig *
vp_run_config (VpRun *run)
{
  static GPrivate reader = G_PRIVATE_INIT (_vp_run_unregister_reader);
  VpConfig *config;

  if (g_private_get (&reader) == NULL) {
    rcu_register_thread ();
    g_private_set (&reader, GINT_TO_POINTER (1));
  }
  rcu_read_lock ();
  config = __atomic_load_n (&run->config, __ATOMIC_ACQUIRE);
  if (config != NULL)
    vp_config_ref (config);
  rcu_read_unlock ();
  return config;
}

static void
_vp_run_publish (VpRun *run, VpConfig *config)
{
  VpConfig *old;

  if (config != NULL)
    vp_config_ref (config);
  old = __atomic_exchange_n (&run->config, config, __ATOMIC_ACQ_REL);
  if (old == NULL)
    return;
  /* Readers only take a reference, so this waits for microseconds. */
  synchronize_rcu ();
  vp_config_unref (old);
}

static void
_vp_run_log (const VpRun *run, GLogLevelFlags level, const char *text)
{
  g_log_structured (G_LOG_DOMAIN, level, "MEMBER", run->settings->name, "MESSAGE", "%s", text);
}

static void
_vp_run_carry_out (VpRun *run, const VpEffect *effect)
{
  switch (effect->kind) {
  case VP_EFFECT_REPLY:
    vp_http_reply (run->http, effect->reply.handle, effect->reply.status,
                   effect->reply.retry_after_s, effect->reply.body, effect->reply.content_type);
    break;
  case VP_EFFECT_STORE:
    vp_run_stores_push (run->stores, &effect->store);
    break;
  case VP_EFFECT_WORKER:
    vp_run_workers_push (run->workers, &effect->worker);
    break;
  case VP_EFFECT_WORKER_ATTACH:
    vp_run_workers_attach (run->workers, effect->attach.worker, effect->attach.address);
    break;
  case VP_EFFECT_WORKER_DETACH:
    vp_run_workers_detach (run->workers, effect->attach.worker);
    break;
  case VP_EFFECT_WORKER_ACK:
    vp_run_workers_ack (run->workers, effect->attach.worker, effect->attach.sequence);
    break;
  case VP_EFFECT_PEER:
    vp_peer_send (run->peer, effect->peer.peer, &effect->peer.message);
    break;
  case VP_EFFECT_PEER_CONNECT:
    vp_peer_connect (run->peer, effect->peer.peer, effect->peer.address);
    break;
  case VP_EFFECT_CONFIG:
    _vp_run_publish (run, effect->config);
    break;
  case VP_EFFECT_LOG:
    _vp_run_log (run, effect->log.level, effect->log.text);
    break;
  case VP_EFFECT_EXIT:
    run->is_exiting = true;
    break;
  }
}

static void
_vp_run_apply (VpRun *run, VpEvent *event)
{
  int64_t start_us = g_get_monotonic_time ();
  int64_t now_ms = vp_run_now_ms ();

  if (event->kind == VP_EVENT_WORKER_REPORT)
    vp_run_workers_note_report (run->workers, &event->report);
  vp_core_apply (run->core, event, now_ms, &run->effects);
  vp_counters_add (VP_COUNT_EVENTS, 1);
  vp_counters_observe (VP_HIST_DECIDE_US, g_get_monotonic_time () - start_us);
  vp_run_workers_set_valid (run->workers, vp_core_valid_until_ms (run->core, now_ms));
  for (uint32_t i = 0; i < run->effects.count; i++)
    _vp_run_carry_out (run, &run->effects.items[i]);
  vp_effects_clear (&run->effects);
}

/* Passes on a stop that was asked for. */
static void
_vp_run_check_stop (VpRun *run)
{
  VpEvent event = { .kind = VP_EVENT_SHUTDOWN };

  if (run->is_stop_seen || __atomic_load_n (&run->stop_count, __ATOMIC_SEQ_CST) == 0)
    return;
  run->is_stop_seen = true;
  _vp_run_log (run, G_LOG_LEVEL_MESSAGE, "shutting down");
  vp_http_quiesce (run->http);
  _vp_run_apply (run, &event);
}

void
vp_run_loop (VpRun *run)
{
  int64_t last_tick_ms = 0;

  while (!run->is_exiting) {
    VpEvent event = { .kind = VP_EVENT_TICK };
    int64_t now_ms = vp_run_now_ms ();
    int64_t next_ms = MAX (vp_core_next_ms (run->core), last_tick_ms + VP_RUN_TICK_MIN_MS);
    _vp_run_check_stop (run);
    if (run->is_exiting)
      break;
    if (now_ms >= next_ms) {
      last_tick_ms = now_ms;
      _vp_run_apply (run, &event);
    } else if (_vp_run_take (run, &event)) {
      _vp_run_apply (run, &event);
    } else {
      vp_queue_sleep (&run->queue, MIN (next_ms - now_ms, VP_RUN_SLEEP_MAX_MS),
                      run->is_stop_seen ? NULL : &run->stop_count);
    }
  }
}

static bool
_vp_run_start_servers (VpRun *run, GError **error)
{
  const VpSettings *settings = run->settings;

  run->peer = vp_peer_setup (&(VpPeerDesc){ .address = settings->peer_address,
                                            .member = settings->name,
                                            .post = _vp_run_on_event,
                                            .data = run },
                             error);
  if (run->peer == NULL)
    return false;
  for (guint i = 0; i < settings->members->len; i++) {
    const VpMember *member = &g_array_index (settings->members, VpMember, i);
    if (strcmp (member->name, settings->name) != 0)
      vp_peer_connect (run->peer, member->name, member->peer_address);
  }
  run->http = vp_http_setup (&(VpHttpDesc){ .address = settings->http_address,
                                            .post = _vp_run_on_event,
                                            .data = run,
                                            .body_max = settings->body_max,
                                            .connections_max = settings->connections_max,
                                            .client_timeout_ms = settings->client_timeout_ms },
                             error);
  return run->http != NULL;
}

VpRun *
vp_run_setup (const VpRunDesc *desc, GError **error)
{
  const VpSettings *settings = desc->settings;
  g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
  VpRun *run = g_new0 (VpRun, 1);

  run->settings = settings;
  vp_queue_setup (&run->queue);
  for (guint i = 0; i < settings->store_addresses->len; i++)
    g_ptr_array_add (addresses, settings->store_addresses->pdata[i]);
  g_ptr_array_add (addresses, NULL);
  run->core
      = vp_core_setup (&(VpCoreDesc){ .settings = settings, .boot = (uint64_t)g_get_real_time () });
  run->stores = vp_run_stores_setup ((const char *const *)addresses->pdata, _vp_run_on_event, run);
  run->workers = vp_run_workers_setup (_vp_run_on_event, run);
  if (!_vp_run_start_servers (run, error)) {
    vp_run_shutdown (run);
    return NULL;
  }
  run->vms = vp_run_vms_setup (settings->vmlist_address, settings->dc, settings->vmlist_poll_ms,
                               _vp_run_on_event, run);
  return run;
}

uint16_t
vp_run_http_port (const VpRun *run)
{
  return vp_http_port (run->http);
}

uint16_t
vp_run_peer_port (const VpRun *run)
{
  return vp_peer_port (run->peer);
}

void
vp_run_shutdown (VpRun *run)
{
  int64_t end_us = g_get_monotonic_time () + VP_RUN_JOIN_MS * (int64_t)1000;
  VpEvent event;

  if (run == NULL)
    return;
  vp_http_shutdown (run->http);
  vp_peer_shutdown (run->peer);
  vp_run_vms_shutdown (run->vms, end_us);
  vp_run_workers_shutdown (run->workers, end_us);
  vp_run_stores_shutdown (run->stores, end_us);
  /* From here on nothing posts. */
  while (_vp_run_take (run, &event))
    vp_event_clear (&event);
  _vp_run_publish (run, NULL);
  vp_core_shutdown (run->core);
  vp_effects_free (&run->effects);
  vp_queue_shutdown (&run->queue);
  g_free (run);
}
