#include "vp-event.h"
#include "vp-config.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

VpEffect *
vp_effects_add (VpEffects *effects, VpEffectKind kind)
{
  VpEffect *effect;

  if (effects->count == effects->capacity) {
    effects->capacity = effects->capacity == 0 ? 64 : effects->capacity * 2;
    effects->items = g_renew (VpEffect, effects->items, effects->capacity);
  }
  effect = &effects->items[effects->count++];
  memset (effect, 0, sizeof *effect);
  effect->kind = kind;
  return effect;
}

VpStoreOp *
vp_effects_store (VpEffects *effects, VpModule module, VpStoreKind kind, const char *key)
{
  VpStoreOp *op = &vp_effects_add (effects, VP_EFFECT_STORE)->store;

  op->kind = kind;
  op->module = module;
  g_strlcpy (op->key, key, sizeof op->key);
  return op;
}

void
vp_effects_log (VpEffects *effects, GLogLevelFlags level, const char *format, ...)
{
  VpEffect *effect = vp_effects_add (effects, VP_EFFECT_LOG);
  va_list args;

  effect->log.level = level;
  va_start (args, format);
  g_vsnprintf (effect->log.text, sizeof effect->log.text, format, args);
  va_end (args);
}

static void
_vp_effect_clear (VpEffect *effect)
{
  switch (effect->kind) {
  case VP_EFFECT_REPLY:
    g_clear_pointer (&effect->reply.body, g_bytes_unref);
    break;
  case VP_EFFECT_STORE:
    g_clear_pointer (&effect->store.value, g_bytes_unref);
    break;
  case VP_EFFECT_WORKER:
    g_clear_pointer (&effect->worker.payload, g_bytes_unref);
    break;
  case VP_EFFECT_PEER:
    vp_peer_message_clear (&effect->peer.message);
    break;
  case VP_EFFECT_CONFIG:
    g_clear_pointer (&effect->config, vp_config_unref);
    break;
  case VP_EFFECT_WORKER_ATTACH:
  case VP_EFFECT_WORKER_DETACH:
  case VP_EFFECT_WORKER_ACK:
  case VP_EFFECT_PEER_CONNECT:
  case VP_EFFECT_LOG:
  case VP_EFFECT_EXIT:
    break;
  }
}

void
vp_effects_clear (VpEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++)
    _vp_effect_clear (&effects->items[i]);
  effects->count = 0;
}

void
vp_effects_free (VpEffects *effects)
{
  vp_effects_clear (effects);
  g_clear_pointer (&effects->items, g_free);
  effects->capacity = 0;
}

void
vp_peer_message_clear (VpPeerMessage *message)
{
  g_clear_pointer (&message->request, vp_request_unref);
  g_clear_pointer (&message->body, g_bytes_unref);
}

void
vp_worker_report_clear (VpWorkerReport *report)
{
  g_clear_pointer (&report->running, g_array_unref);
  if (report->ended != NULL) {
    for (guint i = 0; i < report->ended->len; i++)
      g_clear_pointer (&g_array_index (report->ended, VpWorkerEnded, i).answer, g_bytes_unref);
  }
  g_clear_pointer (&report->ended, g_array_unref);
}

void
vp_store_result_clear (VpStoreResult *result)
{
  g_clear_pointer (&result->value, g_bytes_unref);
}

void
vp_event_clear (VpEvent *event)
{
  switch (event->kind) {
  case VP_EVENT_REQUEST:
    g_clear_pointer (&event->request, vp_request_unref);
    break;
  case VP_EVENT_STORE_RESULT:
    vp_store_result_clear (&event->store);
    break;
  case VP_EVENT_WORKER_REPORT:
    vp_worker_report_clear (&event->report);
    break;
  case VP_EVENT_VM_LIST:
    g_clear_pointer (&event->vm_list.vms, g_array_unref);
    break;
  case VP_EVENT_PEER:
    vp_peer_message_clear (&event->peer);
    break;
  case VP_EVENT_TICK:
  case VP_EVENT_CLIENT_DISCONNECTED:
  case VP_EVENT_WORKER_RESULT:
  case VP_EVENT_SHUTDOWN:
    break;
  }
}
