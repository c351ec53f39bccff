#include "vp-node-events.h"

#include <string.h>

VpNodeEffect *
vp_node_effects_add (VpNodeEffects *effects, VpNodeEffectKind kind)
{
  VpNodeEffect *effect;

  if (effects->count == effects->capacity) {
    effects->capacity = MAX (16, effects->capacity * 2);
    effects->items = g_renew (VpNodeEffect, effects->items, effects->capacity);
  }
  effect = &effects->items[effects->count++];
  memset (effect, 0, sizeof *effect);
  effect->kind = kind;
  return effect;
}

static void
_vp_node_effect_clear (VpNodeEffect *effect)
{
  switch (effect->kind) {
  case VP_NODE_EFFECT_SEND:
  case VP_NODE_EFFECT_CONNECT:
  case VP_NODE_EFFECT_DECODE_CONFIG:
    g_clear_pointer (&effect->send.bytes, g_bytes_unref);
    break;
  case VP_NODE_EFFECT_WRITE:
    vp_store_write_clear (&effect->write);
    break;
  case VP_NODE_EFFECT_COMMAND:
    vp_command_clear (&effect->command);
    break;
  case VP_NODE_EFFECT_REQUEST_ADVICE:
    g_clear_pointer (&effect->advice.request.workers, g_ptr_array_unref);
    vp_text_clear (&effect->advice.requester);
    break;
  default:
    break;
  }
}

void
vp_node_effects_clear (VpNodeEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++)
    _vp_node_effect_clear (&effects->items[i]);
  effects->count = 0;
}

void
vp_node_effects_free (VpNodeEffects *effects)
{
  vp_node_effects_clear (effects);
  g_clear_pointer (&effects->items, g_free);
  effects->capacity = 0;
}

void
vp_caller_request_clear (VpCallerRequest *request)
{
  vp_text_clear (&request->host);
  vp_text_clear (&request->path);
  vp_text_clear (&request->key);
  g_clear_pointer (&request->spec, vp_jobspec_unref);
}

void
vp_node_event_clear (VpNodeEvent *event)
{
  switch (event->kind) {
  case VP_NODE_EVENT_REQUEST:
    vp_caller_request_clear (&event->request);
    break;
  case VP_NODE_EVENT_MESSAGE:
    vp_nodemsg_clear (&event->message);
    break;
  case VP_NODE_EVENT_WRITE_RESULT:
    g_clear_pointer (&event->written.record, g_bytes_unref);
    break;
  case VP_NODE_EVENT_RECORD_READ:
    g_clear_pointer (&event->record.record, g_bytes_unref);
    break;
  case VP_NODE_EVENT_JOBS_LOADED:
    g_clear_pointer (&event->loaded.ended, g_ptr_array_unref);
    g_clear_pointer (&event->loaded.jobs, g_ptr_array_unref);
    g_clear_pointer (&event->loaded.progress, g_ptr_array_unref);
    g_clear_pointer (&event->loaded.workers, g_ptr_array_unref);
    g_clear_pointer (&event->loaded.config, g_ptr_array_unref);
    break;
  case VP_NODE_EVENT_COMMAND_RESULT:
    vp_command_result_clear (&event->command);
    break;
  case VP_NODE_EVENT_ADVICE_RESULT:
    g_clear_pointer (&event->advice.rows, g_array_unref);
    vp_text_clear (&event->advice.requester);
    break;
  case VP_NODE_EVENT_CONFIG:
    g_clear_pointer (&event->config.config, vp_cellconfig_unref);
    g_clear_pointer (&event->config.text, g_bytes_unref);
    break;
  case VP_NODE_EVENT_EVACUATIONS:
    g_clear_pointer (&event->evacuated_dcs, g_ptr_array_unref);
    break;
  case VP_NODE_EVENT_WORKER_LIST:
    g_clear_pointer (&event->workers, g_array_unref);
    break;
  case VP_NODE_EVENT_WORKER:
    vp_worker_entry_clear (&event->worker);
    break;
  case VP_NODE_EVENT_WORKER_GONE:
    vp_text_clear (&event->worker_id);
    break;
  default:
    break;
  }
}

static gpointer
_vp_store_copy_key (gconstpointer key, gpointer data)
{
  (void)data;
  return g_strdup (key);
}

static gpointer
_vp_store_copy_value (gconstpointer value, gpointer data)
{
  (void)data;
  return g_bytes_ref ((GBytes *)value);
}

void
vp_store_write_copy (VpStoreWrite *to, const VpStoreWrite *from)
{
  *to = *from;
  to->keys = g_ptr_array_copy (from->keys, _vp_store_copy_key, NULL);
  to->values = g_ptr_array_copy (from->values, _vp_store_copy_value, NULL);
  to->removed = g_ptr_array_copy (from->removed, _vp_store_copy_key, NULL);
}

void
vp_store_write_clear (VpStoreWrite *write)
{
  g_clear_pointer (&write->keys, g_ptr_array_unref);
  g_clear_pointer (&write->values, g_ptr_array_unref);
  g_clear_pointer (&write->removed, g_ptr_array_unref);
}

GVariant *
vp_node_variant_from_bytes (GBytes *bytes, const char *type)
{
  GVariant *value;

  if (bytes == NULL)
    return NULL;
  value = g_variant_ref_sink (g_variant_new_from_bytes (G_VARIANT_TYPE (type), bytes, FALSE));
  if (g_variant_is_normal_form (value))
    return value;
  g_variant_unref (value);
  return NULL;
}

GBytes *
vp_node_variant_to_bytes (GVariant *floating)
{
  GVariant *value = g_variant_ref_sink (floating);
  GBytes *bytes = g_variant_get_data_as_bytes (value);

  g_variant_unref (value);
  return bytes;
}
