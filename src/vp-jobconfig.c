#include "vp-jobconfig.h"

#define VP_JOBCONFIG_QUEUE_TYPE "(ssidxbddx)"
#define VP_JOBCONFIG_TEAM_TYPE  "(sdxxx)"
/* Rows beyond this size aren't stored. The platform takes values of up to 1 MiB, and a commit with
 * a larger one would fail again and again. */
#define VP_JOBCONFIG_BYTES_MAX (512U * 1024)

/* The names of queues and teams of jobs that haven't ended. They belong to the jobs. */
typedef struct {
  GHashTable *queues;
  GHashTable *teams;
} VpJobConfigNames;

static void
_vp_jobconfig_names_setup (VpJobConfigNames *names, const VpJobList *jobs)
{
  GHashTableIter iter;
  gpointer value;

  names->queues = g_hash_table_new (g_str_hash, g_str_equal);
  names->teams = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpJob *job = value;
    if (vp_job_is_ended (job))
      continue;
    g_hash_table_add (names->queues, (gpointer)vp_text (job->spec->queue));
    g_hash_table_add (names->teams, (gpointer)vp_text (job->spec->team));
  }
}

static void
_vp_jobconfig_names_clear (VpJobConfigNames *names)
{
  g_hash_table_unref (names->queues);
  g_hash_table_unref (names->teams);
}

void
vp_jobconfig_clear (VpJobConfig *job_config)
{
  g_clear_pointer (&job_config->config, vp_cellconfig_unref);
  g_clear_pointer (&job_config->stored, vp_cellconfig_unref);
}

/* Stored form. */

static GVariant *
_vp_jobconfig_encode_queue (const VpQueueConfig *queue)
{
  return g_variant_new (VP_JOBCONFIG_QUEUE_TYPE, queue->name, queue->service, queue->priority,
                        queue->stretch, queue->latency_target_ms, (gboolean)queue->has_advice,
                        queue->advice_decide_ms, queue->advice_worker_ms, queue->advice_valid_ms);
}

static GVariant *
_vp_jobconfig_encode_team (const VpTeamConfig *team)
{
  return g_variant_new (VP_JOBCONFIG_TEAM_TYPE, team->name, team->weight, team->cap.cpu_milli,
                        team->cap.mem_mib, team->cap.accel_count);
}

static void
_vp_jobconfig_decode_queue (VpCellConfig *out, GVariant *row)
{
  VpQueueConfig queue = { .is_kept = true };
  const char *name, *service;
  gboolean has_advice;

  g_variant_get (row, "(&s&sidxbddx)", &name, &service, &queue.priority, &queue.stretch,
                 &queue.latency_target_ms, &has_advice, &queue.advice_decide_ms,
                 &queue.advice_worker_ms, &queue.advice_valid_ms);
  queue.name = vp_cellconfig_text (out, name);
  queue.service = vp_cellconfig_text (out, service);
  queue.has_advice = has_advice;
  g_array_append_val (out->queues, queue);
}

static void
_vp_jobconfig_decode_team (VpCellConfig *out, GVariant *row)
{
  VpTeamConfig team = { .is_kept = true };
  const char *name;

  g_variant_get (row, "(&sdxxx)", &name, &team.weight, &team.cap.cpu_milli, &team.cap.mem_mib,
                 &team.cap.accel_count);
  team.name = vp_cellconfig_text (out, name);
  g_array_append_val (out->teams, team);
}

static VpCellConfig *
_vp_jobconfig_decode (GVariant *stored)
{
  VpCellConfig *out = vp_cellconfig_new (0);
  g_autoptr (GVariantIter) queues = NULL;
  g_autoptr (GVariantIter) teams = NULL;
  GVariant *row;

  g_variant_get (stored, VP_JOBCONFIG_TYPE, &queues, &teams);
  while ((row = g_variant_iter_next_value (queues)) != NULL) {
    _vp_jobconfig_decode_queue (out, row);
    g_variant_unref (row);
  }
  while ((row = g_variant_iter_next_value (teams)) != NULL) {
    _vp_jobconfig_decode_team (out, row);
    g_variant_unref (row);
  }
  vp_cellconfig_seal (out);
  return out;
}

/* Returns true if both rows, floating values, are the same. */
static bool
_vp_jobconfig_is_same_row (GVariant *one, GVariant *two)
{
  g_autoptr (GVariant) first = g_variant_ref_sink (one);
  g_autoptr (GVariant) second = g_variant_ref_sink (two);

  return g_variant_equal (first, second);
}

static bool
_vp_jobconfig_has_stored_queue (const VpJobConfig *job_config, const char *name)
{
  return job_config->stored != NULL && vp_cellconfig_queue (job_config->stored, name) != NULL;
}

static bool
_vp_jobconfig_has_stored_team (const VpJobConfig *job_config, const char *name)
{
  return job_config->stored != NULL && vp_cellconfig_team (job_config->stored, name) != NULL;
}

/* Returns true if the configuration has a queue or a team that jobs name and that isn't stored. */
static bool
_vp_jobconfig_lacks_stored (const VpJobConfig *job_config, const VpJobConfigNames *names)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, names->queues);
  while (g_hash_table_iter_next (&iter, &name, NULL)) {
    if (!_vp_jobconfig_has_stored_queue (job_config, name)
        && vp_cellconfig_queue (job_config->config, name) != NULL)
      return true;
  }
  g_hash_table_iter_init (&iter, names->teams);
  while (g_hash_table_iter_next (&iter, &name, NULL)) {
    if (!_vp_jobconfig_has_stored_team (job_config, name)
        && vp_cellconfig_team (job_config->config, name) != NULL)
      return true;
  }
  return false;
}

/* Returns true if the configuration has a stored queue or team with other settings, also if no job
 * names it at present. */
static bool
_vp_jobconfig_is_stored_outdated (const VpJobConfig *job_config)
{
  const VpCellConfig *stored = job_config->stored;

  for (guint i = 0; stored != NULL && i < stored->queues->len; i++) {
    const VpQueueConfig *row = &g_array_index (stored->queues, VpQueueConfig, i);
    const VpQueueConfig *queue = vp_cellconfig_queue (job_config->config, row->name);
    if (queue != NULL
        && !_vp_jobconfig_is_same_row (_vp_jobconfig_encode_queue (queue),
                                       _vp_jobconfig_encode_queue (row)))
      return true;
  }
  for (guint i = 0; stored != NULL && i < stored->teams->len; i++) {
    const VpTeamConfig *row = &g_array_index (stored->teams, VpTeamConfig, i);
    const VpTeamConfig *team = vp_cellconfig_team (job_config->config, row->name);
    if (team != NULL
        && !_vp_jobconfig_is_same_row (_vp_jobconfig_encode_team (team),
                                       _vp_jobconfig_encode_team (row)))
      return true;
  }
  return false;
}

/* Kept rows. */

static void
_vp_jobconfig_copy_queue (VpCellConfig *out, const VpQueueConfig *from, bool is_kept)
{
  VpQueueConfig queue = *from;

  queue.name = vp_cellconfig_text (out, from->name);
  queue.host = vp_cellconfig_text (out, from->host);
  queue.prefix = vp_cellconfig_text (out, from->prefix);
  queue.service = vp_cellconfig_text (out, from->service);
  queue.is_kept = is_kept;
  g_array_append_val (out->queues, queue);
}

static void
_vp_jobconfig_copy_team (VpCellConfig *out, const VpTeamConfig *from, bool is_kept)
{
  VpTeamConfig team = *from;

  team.name = vp_cellconfig_text (out, from->name);
  team.is_kept = is_kept;
  g_array_append_val (out->teams, team);
}

/* Appends the rows of @earlier that @config lacks and that are to be kept. */
static void
_vp_jobconfig_keep (VpCellConfig *out,
                    const VpCellConfig *config,
                    const VpCellConfig *earlier,
                    const VpJobConfigNames *names)
{
  for (guint i = 0; i < earlier->queues->len; i++) {
    const VpQueueConfig *queue = &g_array_index (earlier->queues, VpQueueConfig, i);
    if (vp_cellconfig_queue (config, queue->name) == NULL
        && (!queue->is_kept || g_hash_table_contains (names->queues, queue->name)))
      _vp_jobconfig_copy_queue (out, queue, true);
  }
  for (guint i = 0; i < earlier->teams->len; i++) {
    const VpTeamConfig *team = &g_array_index (earlier->teams, VpTeamConfig, i);
    if (vp_cellconfig_team (config, team->name) == NULL
        && (!team->is_kept || g_hash_table_contains (names->teams, team->name)))
      _vp_jobconfig_copy_team (out, team, true);
  }
}

static uint32_t
_vp_jobconfig_count_kept (const VpCellConfig *config)
{
  uint32_t count = 0;

  for (guint i = 0; i < config->queues->len; i++)
    count += g_array_index (config->queues, VpQueueConfig, i).is_kept ? 1 : 0;
  return count;
}

/* Returns a reference to @config, or a copy of it with the rows of @earlier that are to be kept. */
static VpCellConfig *
_vp_jobconfig_merge (VpCellConfig *config,
                     const VpCellConfig *earlier,
                     const VpJobConfigNames *names)
{
  VpCellConfig *out;

  if (earlier == NULL)
    return vp_cellconfig_ref (config);
  out = vp_cellconfig_new (config->version);
  _vp_jobconfig_keep (out, config, earlier, names);
  if (out->queues->len + out->teams->len == 0) {
    vp_cellconfig_unref (out);
    return vp_cellconfig_ref (config);
  }
  for (guint i = 0; i < config->queues->len; i++) {
    const VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);
    _vp_jobconfig_copy_queue (out, queue, queue->is_kept);
  }
  for (guint i = 0; i < config->teams->len; i++) {
    const VpTeamConfig *team = &g_array_index (config->teams, VpTeamConfig, i);
    _vp_jobconfig_copy_team (out, team, team->is_kept);
  }
  vp_cellconfig_seal (out);
  return out;
}

/* Puts @config in force, with the rows of @earlier that are to be kept. */
static void
_vp_jobconfig_use (VpJobConfig *job_config,
                   VpCellConfig *config,
                   const VpCellConfig *earlier,
                   const VpJobList *jobs)
{
  VpJobConfigNames names;
  VpCellConfig *merged;

  _vp_jobconfig_names_setup (&names, jobs);
  merged = _vp_jobconfig_merge (config, earlier, &names);
  g_clear_pointer (&job_config->config, vp_cellconfig_unref);
  job_config->config = merged;
  job_config->kept_count = _vp_jobconfig_count_kept (merged);
  job_config->is_unstaged = job_config->is_unstaged
                            || _vp_jobconfig_lacks_stored (job_config, &names)
                            || _vp_jobconfig_is_stored_outdated (job_config);
  _vp_jobconfig_names_clear (&names);
}

void
vp_jobconfig_set (VpJobConfig *job_config, VpCellConfig *config, const VpJobList *jobs)
{
  _vp_jobconfig_use (job_config, config,
                     job_config->config == NULL ? job_config->stored : job_config->config, jobs);
}

void
vp_jobconfig_load (VpJobConfig *job_config, GVariant *stored, const VpJobList *jobs)
{
  g_clear_pointer (&job_config->stored, vp_cellconfig_unref);
  job_config->stored = stored == NULL ? NULL : _vp_jobconfig_decode (stored);
  if (job_config->config != NULL)
    _vp_jobconfig_use (job_config, job_config->config, job_config->stored, jobs);
}

void
vp_jobconfig_note_job (VpJobConfig *job_config, const VpJobSpec *spec)
{
  const char *queue = vp_text (spec->queue);
  const char *team = vp_text (spec->team);

  if (job_config->config == NULL || job_config->is_full)
    return;
  /* What is stored has the present settings, or @is_unstaged is set already. */
  job_config->is_unstaged = job_config->is_unstaged
                            || (vp_cellconfig_queue (job_config->config, queue) != NULL
                                && !_vp_jobconfig_has_stored_queue (job_config, queue))
                            || (vp_cellconfig_team (job_config->config, team) != NULL
                                && !_vp_jobconfig_has_stored_team (job_config, team));
}

/* Adds the row, a floating value, to @out if there is room for it. */
static void
_vp_jobconfig_add_row (VpJobConfig *job_config, GVariantBuilder *out, GVariant *row, size_t *size)
{
  g_autoptr (GVariant) sunk = g_variant_ref_sink (row);

  if (*size + g_variant_get_size (sunk) > VP_JOBCONFIG_BYTES_MAX) {
    job_config->is_full = true;
    return;
  }
  *size += g_variant_get_size (sunk);
  g_variant_builder_add_value (out, sunk);
}

GVariant *
vp_jobconfig_stage (VpJobConfig *job_config, const VpJobList *jobs)
{
  const VpCellConfig *config = job_config->config;
  GVariantBuilder queues, teams;
  VpJobConfigNames names;
  GVariant *rows;
  size_t size = 0;

  _vp_jobconfig_names_setup (&names, jobs);
  job_config->is_full = false;
  g_variant_builder_init (&queues, G_VARIANT_TYPE ("a" VP_JOBCONFIG_QUEUE_TYPE));
  g_variant_builder_init (&teams, G_VARIANT_TYPE ("a" VP_JOBCONFIG_TEAM_TYPE));
  for (guint i = 0; i < config->queues->len; i++) {
    const VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);
    if (g_hash_table_contains (names.queues, queue->name))
      _vp_jobconfig_add_row (job_config, &queues, _vp_jobconfig_encode_queue (queue), &size);
  }
  for (guint i = 0; i < config->teams->len; i++) {
    const VpTeamConfig *team = &g_array_index (config->teams, VpTeamConfig, i);
    if (g_hash_table_contains (names.teams, team->name))
      _vp_jobconfig_add_row (job_config, &teams, _vp_jobconfig_encode_team (team), &size);
  }
  _vp_jobconfig_names_clear (&names);
  rows = g_variant_new (VP_JOBCONFIG_TYPE, &queues, &teams);
  g_clear_pointer (&job_config->stored, vp_cellconfig_unref);
  job_config->stored = _vp_jobconfig_decode (rows);
  job_config->is_unstaged = false;
  return rows;
}
