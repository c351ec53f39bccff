#include "vp-cellconfig.h"

#include "vp-config.h"

#include <string.h>

/* Size of the blocks that hold the texts. Longer texts have a block of their own. */
#define VP_CELLCONFIG_CHUNK_BYTES 1024

VpCellConfig *
vp_cellconfig_new (uint64_t version)
{
  VpCellConfig *config = g_new0 (VpCellConfig, 1);

  config->refs = 1;
  config->version = version;
  config->queues = g_array_new (FALSE, TRUE, sizeof (VpQueueConfig));
  config->teams = g_array_new (FALSE, TRUE, sizeof (VpTeamConfig));
  config->queue_index = g_hash_table_new (g_str_hash, g_str_equal);
  config->team_index = g_hash_table_new (g_str_hash, g_str_equal);
  config->team_by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  config->key_clashes = g_array_new (FALSE, FALSE, sizeof (VpKeyClash));
  config->texts = g_string_chunk_new (VP_CELLCONFIG_CHUNK_BYTES);
  return config;
}

VpCellConfig *
vp_cellconfig_ref (VpCellConfig *config)
{
  __atomic_add_fetch (&config->refs, 1, __ATOMIC_RELAXED);
  return config;
}

void
vp_cellconfig_unref (VpCellConfig *config)
{
  if (__atomic_sub_fetch (&config->refs, 1, __ATOMIC_ACQ_REL) != 0)
    return;
  g_hash_table_unref (config->queue_index);
  g_hash_table_unref (config->team_index);
  g_hash_table_unref (config->team_by_key);
  g_array_unref (config->key_clashes);
  g_array_unref (config->queues);
  g_array_unref (config->teams);
  g_string_chunk_free (config->texts);
  g_free (config);
}

const char *
vp_cellconfig_text (VpCellConfig *config, const char *text)
{
  return vp_text_is_empty (text) ? "" : g_string_chunk_insert_const (config->texts, text);
}

void
vp_cellconfig_add_key (VpCellConfig *config, const char *key, uint32_t team_index)
{
  guint earlier = GPOINTER_TO_UINT (g_hash_table_lookup (config->team_by_key, key));

  if (earlier != 0) {
    VpKeyClash clash = { .team_index = team_index, .earlier_team_index = earlier - 1 };
    vp_config_key_digest (key, clash.sha256);
    g_array_append_val (config->key_clashes, clash);
  }
  g_hash_table_replace (config->team_by_key, g_strdup (key), GUINT_TO_POINTER (team_index + 1));
}

/* Returns true if a queue of priority 0 uses the workers of the service. */
static bool
_vp_cellconfig_has_urgent_queue (const VpCellConfig *config, const char *service)
{
  for (guint i = 0; i < config->queues->len; i++) {
    const VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);
    if (queue->priority == 0 && strcmp (queue->service, service) == 0)
      return true;
  }
  return false;
}

void
vp_cellconfig_seal (VpCellConfig *config)
{
  for (guint i = 0; i < config->queues->len; i++) {
    VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);
    queue->name = vp_text (queue->name);
    queue->host = vp_text (queue->host);
    queue->prefix = vp_text (queue->prefix);
    queue->service = vp_text (queue->service);
  }
  for (guint i = 0; i < config->queues->len; i++) {
    VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);
    queue->yields_fast_workers
        = queue->priority != 0 && _vp_cellconfig_has_urgent_queue (config, queue->service);
    g_hash_table_replace (config->queue_index, (gpointer)queue->name, queue);
  }
  for (guint i = 0; i < config->teams->len; i++) {
    VpTeamConfig *team = &g_array_index (config->teams, VpTeamConfig, i);
    team->name = vp_text (team->name);
    g_hash_table_replace (config->team_index, (gpointer)team->name, team);
  }
}

const VpQueueConfig *
vp_cellconfig_route (const VpCellConfig *config,
                     const char *host,
                     const char *path,
                     const char **rest)
{
  const VpQueueConfig *best = NULL;
  size_t best_size = 0;

  for (guint i = 0; i < config->queues->len; i++) {
    const VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);
    size_t size = strlen (queue->prefix);
    if ((best == NULL || size > best_size) && strncmp (path, queue->prefix, size) == 0
        && g_ascii_strcasecmp (queue->host, host) == 0) {
      best = queue;
      best_size = size;
    }
  }
  *rest = path + best_size;
  return best;
}

const VpQueueConfig *
vp_cellconfig_queue (const VpCellConfig *config, const char *name)
{
  return g_hash_table_lookup (config->queue_index, name);
}

uint32_t
vp_cellconfig_attempts_max (const VpCellConfig *config, const char *queue)
{
  const VpQueueConfig *found = config == NULL ? NULL : vp_cellconfig_queue (config, queue);

  if (found == NULL || found->is_kept)
    return UINT32_MAX;
  return MAX (found->attempts_max, 1);
}

int64_t
vp_cellconfig_advice_ms (const VpQueueConfig *queue, uint32_t worker_count)
{
  return (int64_t)(queue->advice_decide_ms + queue->advice_worker_ms * worker_count) + 1;
}

const VpTeamConfig *
vp_cellconfig_team (const VpCellConfig *config, const char *name)
{
  return g_hash_table_lookup (config->team_index, name);
}

const VpTeamConfig *
vp_cellconfig_team_of_key (const VpCellConfig *config, const char *key)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (config->team_by_key, key));

  return index == 0 ? NULL : &g_array_index (config->teams, VpTeamConfig, index - 1);
}
