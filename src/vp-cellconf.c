#include "vp-cellconf.h"

#include <string.h>

VpCellConf *
vp_cellconf_new (uint64_t version)
{
  VpCellConf *conf = g_new0 (VpCellConf, 1);

  conf->refs = 1;
  conf->version = version;
  conf->queues = g_array_new (FALSE, TRUE, sizeof (VpQueueConf));
  conf->teams = g_array_new (FALSE, TRUE, sizeof (VpTeamConf));
  conf->queue_index = g_hash_table_new (g_str_hash, g_str_equal);
  conf->team_index = g_hash_table_new (g_str_hash, g_str_equal);
  conf->team_by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return conf;
}

VpCellConf *
vp_cellconf_ref (VpCellConf *conf)
{
  __atomic_add_fetch (&conf->refs, 1, __ATOMIC_RELAXED);
  return conf;
}

void
vp_cellconf_unref (VpCellConf *conf)
{
  if (__atomic_sub_fetch (&conf->refs, 1, __ATOMIC_ACQ_REL) != 0)
    return;
  g_hash_table_unref (conf->queue_index);
  g_hash_table_unref (conf->team_index);
  g_hash_table_unref (conf->team_by_key);
  g_array_unref (conf->queues);
  g_array_unref (conf->teams);
  g_free (conf);
}

void
vp_cellconf_add_key (VpCellConf *conf, const char *key, uint32_t team_index)
{
  g_hash_table_replace (conf->team_by_key, g_strdup (key), GUINT_TO_POINTER (team_index + 1));
}

void
vp_cellconf_seal (VpCellConf *conf)
{
  for (guint i = 0; i < conf->queues->len; i++) {
    VpQueueConf *queue = &g_array_index (conf->queues, VpQueueConf, i);
    g_hash_table_replace (conf->queue_index, queue->name, queue);
  }
  for (guint i = 0; i < conf->teams->len; i++) {
    VpTeamConf *team = &g_array_index (conf->teams, VpTeamConf, i);
    g_hash_table_replace (conf->team_index, team->name, team);
  }
}

const VpQueueConf *
vp_cellconf_route (const VpCellConf *conf, const char *host, const char *path, const char **rest)
{
  const VpQueueConf *best = NULL;
  size_t best_size = 0;

  for (guint i = 0; i < conf->queues->len; i++) {
    const VpQueueConf *queue = &g_array_index (conf->queues, VpQueueConf, i);
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

const VpQueueConf *
vp_cellconf_queue (const VpCellConf *conf, const char *name)
{
  return g_hash_table_lookup (conf->queue_index, name);
}

uint32_t
vp_cellconf_attempts_max (const VpCellConf *conf, const char *queue)
{
  const VpQueueConf *found = conf == NULL ? NULL : vp_cellconf_queue (conf, queue);

  return found == NULL || found->attempts_max == 0 ? 1 : found->attempts_max;
}

const VpTeamConf *
vp_cellconf_team (const VpCellConf *conf, const char *name)
{
  return g_hash_table_lookup (conf->team_index, name);
}

const VpTeamConf *
vp_cellconf_team_of_key (const VpCellConf *conf, const char *key)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (conf->team_by_key, key));

  return index == 0 ? NULL : &g_array_index (conf->teams, VpTeamConf, index - 1);
}
