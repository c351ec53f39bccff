/* Differences between two configurations, see vp-config-check.h. */
#include "vp-config-check.h"

#include <string.h>

enum { VP_CONFIG_CHANGES_DIGEST_DIGITS = 12 }; /* digits of a key's digest in a text */

typedef enum {
  VP_FIELD_TEXT, /* const char * */
  VP_FIELD_BOOL,
  VP_FIELD_KIND, /* VpProfileKind */
  VP_FIELD_INT32,
  VP_FIELD_UINT32,
  VP_FIELD_INT64,
  VP_FIELD_DOUBLE,
} VpFieldType;

/* A field of an element that is compared. */
typedef struct {
  const char *name;
  VpFieldType type;
  size_t offset;
} VpField;

/* An array whose elements have a name in their first member, as an array of bytes or as a pointer
 * to one. */
typedef struct {
  const char *name;
  bool has_name_pointer;
  const VpField *fields;
  guint field_count;
} VpFieldTable;

#define VP_FIELD(type, field, kind)                                                                \
  {                                                                                                \
#field, kind, offsetof(type, field)                                                            \
  }

static const VpField _vp_queue_fields[] = {
  VP_FIELD (VpQueueConfig, host, VP_FIELD_TEXT),
  VP_FIELD (VpQueueConfig, prefix, VP_FIELD_TEXT),
  VP_FIELD (VpQueueConfig, service, VP_FIELD_TEXT),
  VP_FIELD (VpQueueConfig, priority, VP_FIELD_INT32),
  VP_FIELD (VpQueueConfig, attempts_max, VP_FIELD_UINT32),
  VP_FIELD (VpQueueConfig, stretch, VP_FIELD_DOUBLE),
  VP_FIELD (VpQueueConfig, latency_target_ms, VP_FIELD_INT64),
  VP_FIELD (VpQueueConfig, is_public, VP_FIELD_BOOL),
  VP_FIELD (VpQueueConfig, has_advice, VP_FIELD_BOOL),
  VP_FIELD (VpQueueConfig, advice_decide_ms, VP_FIELD_DOUBLE),
  VP_FIELD (VpQueueConfig, advice_worker_ms, VP_FIELD_DOUBLE),
  VP_FIELD (VpQueueConfig, advice_valid_ms, VP_FIELD_INT64),
};

static const VpField _vp_cell_team_fields[] = {
  VP_FIELD (VpTeamConfig, weight, VP_FIELD_DOUBLE),
  VP_FIELD (VpTeamConfig, cap.cpu_milli, VP_FIELD_INT64),
  VP_FIELD (VpTeamConfig, cap.mem_mib, VP_FIELD_INT64),
  VP_FIELD (VpTeamConfig, cap.accel_count, VP_FIELD_INT64),
};

static const VpField _vp_team_fields[] = {
  VP_FIELD (VpTeam, share, VP_FIELD_INT64),
  VP_FIELD (VpTeam, limit.cpu_milli, VP_FIELD_INT64),
  VP_FIELD (VpTeam, limit.mem_mib, VP_FIELD_INT64),
  VP_FIELD (VpTeam, limit.accel_count, VP_FIELD_INT64),
  VP_FIELD (VpTeam, queue_max, VP_FIELD_UINT32),
};

static const VpField _vp_profile_fields[] = {
  VP_FIELD (VpProfile, kind, VP_FIELD_KIND),
  VP_FIELD (VpProfile, priority, VP_FIELD_INT32),
  VP_FIELD (VpProfile, is_preemptible, VP_FIELD_BOOL),
  VP_FIELD (VpProfile, is_open, VP_FIELD_BOOL),
  VP_FIELD (VpProfile, is_spread, VP_FIELD_BOOL),
  VP_FIELD (VpProfile, tries_max, VP_FIELD_UINT32),
  VP_FIELD (VpProfile, deadline_ms, VP_FIELD_INT64),
  VP_FIELD (VpProfile, task_lease_ms, VP_FIELD_INT64),
  VP_FIELD (VpProfile, run_time_max_ms, VP_FIELD_INT64),
};

static const VpFieldTable _vp_queue_table
    = { "queues", true, _vp_queue_fields, G_N_ELEMENTS (_vp_queue_fields) };
static const VpFieldTable _vp_cell_team_table
    = { "teams", true, _vp_cell_team_fields, G_N_ELEMENTS (_vp_cell_team_fields) };
static const VpFieldTable _vp_team_table
    = { "teams", false, _vp_team_fields, G_N_ELEMENTS (_vp_team_fields) };
static const VpFieldTable _vp_profile_table
    = { "profiles", false, _vp_profile_fields, G_N_ELEMENTS (_vp_profile_fields) };

static char *
_vp_field_format (const VpField *field, const void *element)
{
  const void *value = (const char *)element + field->offset;
  char number[G_ASCII_DTOSTR_BUF_SIZE];

  switch (field->type) {
  case VP_FIELD_TEXT:
    return g_strdup_printf ("'%s'", *(const char *const *)value);
  case VP_FIELD_BOOL:
    return g_strdup (*(const bool *)value ? "true" : "false");
  case VP_FIELD_KIND:
    return g_strdup (vp_profile_kind_token (*(const VpProfileKind *)value));
  case VP_FIELD_INT32:
    return g_strdup_printf ("%d", *(const int32_t *)value);
  case VP_FIELD_UINT32:
    return g_strdup_printf ("%u", *(const uint32_t *)value);
  case VP_FIELD_INT64:
    return g_strdup_printf ("%" G_GINT64_FORMAT, *(const int64_t *)value);
  case VP_FIELD_DOUBLE:
    break;
  }
  g_ascii_formatd (number, sizeof number, "%.15g", *(const double *)value);
  return g_strdup (number);
}

static const char *
_vp_field_table_name (const VpFieldTable *table, const void *element)
{
  return table->has_name_pointer ? *(const char *const *)element : element;
}

/* Finds the last element of that name, which is the one that the daemons use. */
static const void *
_vp_field_table_find (const VpFieldTable *table, const GArray *array, const char *name)
{
  guint size = g_array_get_element_size ((GArray *)array);

  for (guint i = array->len; i > 0; i--) {
    const void *element = array->data + (size_t)(i - 1) * size;
    if (strcmp (_vp_field_table_name (table, element), name) == 0)
      return element;
  }
  return NULL;
}

/* Appends the elements that only @array has as @kind, or if @kind is NULL the changed fields of
 * those that both have. */
static void
_vp_field_table_compare (const VpFieldTable *table,
                         const GArray *array,
                         const GArray *other,
                         const char *kind,
                         GArray *findings)
{
  guint size = g_array_get_element_size ((GArray *)array);

  for (guint i = 0; i < array->len; i++) {
    const void *element = array->data + (size_t)i * size;
    const char *name = _vp_field_table_name (table, element);
    const void *found = _vp_field_table_find (table, other, name);
    if (_vp_field_table_find (table, array, name) != element)
      continue;
    if (found == NULL && kind != NULL)
      vp_findings_add (findings, VP_FINDING_CHANGE, kind,
                       g_strdup_printf ("%s[%s]", table->name, name), "%s", kind);
    for (guint j = 0; found != NULL && kind == NULL && j < table->field_count; j++) {
      g_autofree char *from = _vp_field_format (&table->fields[j], element);
      g_autofree char *to = _vp_field_format (&table->fields[j], found);
      if (strcmp (from, to) != 0)
        vp_findings_add (findings, VP_FINDING_CHANGE, "changed",
                         g_strdup_printf ("%s[%s].%s", table->name, name, table->fields[j].name),
                         "changed from %s to %s", from, to);
    }
  }
}

static void
_vp_field_table_changes (const VpFieldTable *table,
                         const GArray *from,
                         const GArray *to,
                         GArray *findings)
{
  _vp_field_table_compare (table, from, to, "removed", findings);
  _vp_field_table_compare (table, to, from, "added", findings);
  _vp_field_table_compare (table, from, to, NULL, findings);
}

static int
_vp_config_changes_compare_text (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Appends the differences of two tables of digest -> team, in the order of the digests. */
static void
_vp_config_changes_keys (GHashTable *from, GHashTable *to, GArray *findings)
{
  g_autoptr (GPtrArray) digests = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer digest;

  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, &digest, NULL))
    g_ptr_array_add (digests, digest);
  g_hash_table_iter_init (&iter, to);
  while (g_hash_table_iter_next (&iter, &digest, NULL))
    if (!g_hash_table_contains (from, digest))
      g_ptr_array_add (digests, digest);
  g_ptr_array_sort (digests, _vp_config_changes_compare_text);
  for (guint i = 0; i < digests->len; i++) {
    const char *sha256 = g_ptr_array_index (digests, i);
    const char *before = g_hash_table_lookup (from, sha256);
    const char *after = g_hash_table_lookup (to, sha256);
    char *path;
    if (g_strcmp0 (before, after) == 0)
      continue;
    path = g_strdup_printf ("keys[%.*s]", VP_CONFIG_CHANGES_DIGEST_DIGITS, sha256);
    if (before == NULL)
      vp_findings_add (findings, VP_FINDING_CHANGE, "added", path, "added to %s", after);
    else if (after == NULL)
      vp_findings_add (findings, VP_FINDING_CHANGE, "removed", path, "removed from %s", before);
    else
      vp_findings_add (findings, VP_FINDING_CHANGE, "changed", path, "changed from %s to %s",
                       before, after);
  }
}

static void
_vp_config_changes_number (const char *path, int64_t from, int64_t to, GArray *findings)
{
  if (from != to)
    vp_findings_add (findings, VP_FINDING_CHANGE, "changed", g_strdup (path),
                     "changed from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, from, to);
}

/* Returns a table of digest -> team and note. */
static GHashTable *
_vp_config_changes_digests (const VpConfig *config)
{
  GHashTable *digests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, config->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpKey *key = value;
    g_hash_table_replace (digests, g_strdup (key->sha256),
                          key->note[0] == '\0'
                              ? g_strdup_printf ("'%s'", key->team)
                              : g_strdup_printf ("'%s' (%s)", key->team, key->note));
  }
  return digests;
}

static GHashTable *
_vp_config_changes_cell_digests (const VpCellConfig *config)
{
  GHashTable *digests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer key;
  char sha256[65];

  g_hash_table_iter_init (&iter, config->team_by_key);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    vp_config_key_digest (key, sha256);
    g_hash_table_replace (digests, g_strdup (sha256),
                          g_strdup_printf ("'%s'", vp_cellconfig_team_of_key (config, key)->name));
  }
  return digests;
}

static void
_vp_config_changes_dcs (const GPtrArray *from,
                        const GPtrArray *to,
                        const char *kind,
                        GArray *findings)
{
  for (guint i = 0; i < from->len; i++) {
    const char *name = g_ptr_array_index (from, i);
    if (!g_ptr_array_find_with_equal_func ((GPtrArray *)to, name, g_str_equal, NULL))
      vp_findings_add (findings, VP_FINDING_CHANGE, kind, g_strdup_printf ("dcs[%s]", name), "%s",
                       kind);
  }
}

void
vp_config_check_changes (const VpConfig *from, const VpConfig *to, GArray *findings)
{
  g_autoptr (GHashTable) from_keys = _vp_config_changes_digests (from);
  g_autoptr (GHashTable) to_keys = _vp_config_changes_digests (to);

  _vp_config_changes_dcs (from->dcs, to->dcs, "removed", findings);
  _vp_config_changes_dcs (to->dcs, from->dcs, "added", findings);
  _vp_field_table_changes (&_vp_team_table, from->teams, to->teams, findings);
  _vp_field_table_changes (&_vp_profile_table, from->profiles, to->profiles, findings);
  _vp_config_changes_keys (from_keys, to_keys, findings);
  _vp_config_changes_number ("identity_retention_ms", from->identity_retention_ms,
                             to->identity_retention_ms, findings);
}

void
vp_config_check_cell_changes (const VpCellConfig *from, const VpCellConfig *to, GArray *findings)
{
  g_autoptr (GHashTable) from_keys = _vp_config_changes_cell_digests (from);
  g_autoptr (GHashTable) to_keys = _vp_config_changes_cell_digests (to);
  guint count = findings->len;

  _vp_field_table_changes (&_vp_queue_table, from->queues, to->queues, findings);
  _vp_field_table_changes (&_vp_cell_team_table, from->teams, to->teams, findings);
  _vp_config_changes_keys (from_keys, to_keys, findings);
  _vp_config_changes_number ("body_max", from->body_max, to->body_max, findings);
  /* A process ignores a configuration that isn't newer than the one it has. */
  if (findings->len > count && to->version <= from->version)
    vp_findings_add (findings, VP_FINDING_ERROR, "old-version", g_strdup ("version"),
                     "must be above %" G_GUINT64_FORMAT ", or the changes have no effect",
                     from->version);
}
