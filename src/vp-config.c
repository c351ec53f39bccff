#include "vp-config.h"

#include "vp-json.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum {
  VP_CONFIG_SHARE_MAX = 1000000,
  VP_CONFIG_QUEUE_DEFAULT = 1000,
  VP_CONFIG_QUEUE_MAX = 1000000,
  VP_CONFIG_PRIORITY_MAX = 100,
  VP_CONFIG_TRIES_DEFAULT = 3,
  VP_CONFIG_TRIES_MAX = 100,
  VP_CONFIG_TASK_LEASE_DEFAULT_MS = 60000,
  /* A start and its first renewal must fit into the lease. */
  VP_CONFIG_TASK_LEASE_MIN_MS = 1000,
  /* Workers stay reserved for up to this time after their DC was lost. */
  VP_CONFIG_TASK_LEASE_MAX_MS = 3600000,
  VP_CONFIG_RETENTION_DEFAULT_MS = 86400000,
  VP_CONFIG_RETENTION_MIN_MS = 1000,
};
/* Thirty days. Longer times are taken for a mistaken unit and refused. */
#define VP_CONFIG_TIME_MAX_MS (INT64_C (30) * 86400000)

static int
_vp_config_compare_name (gconstpointer a, gconstpointer b)
{
  /* The name is the first field of VpTeam and VpProfile. */
  return strcmp (a, b);
}

static int
_vp_config_compare_text (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

VpConfig *
vp_config_new_empty (void)
{
  VpConfig *config = g_new0 (VpConfig, 1);

  g_atomic_ref_count_init (&config->refs);
  config->dcs = g_ptr_array_new_with_free_func (g_free);
  config->teams = g_array_new (FALSE, TRUE, sizeof (VpTeam));
  config->profiles = g_array_new (FALSE, TRUE, sizeof (VpProfile));
  config->keys = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  config->identity_retention_ms = VP_CONFIG_RETENTION_DEFAULT_MS;
  return config;
}

VpConfig *
vp_config_ref (VpConfig *config)
{
  __atomic_add_fetch (&config->refs, 1, __ATOMIC_RELAXED);
  return config;
}

void
vp_config_unref (VpConfig *config)
{
  if (config == NULL || __atomic_sub_fetch (&config->refs, 1, __ATOMIC_ACQ_REL) != 0)
    return;
  g_ptr_array_unref (config->dcs);
  g_array_unref (config->teams);
  g_array_unref (config->profiles);
  g_hash_table_unref (config->keys);
  g_free (config);
}

/* Reads an integer field; @fallback if it is 0 or missing. */
static int64_t
_vp_config_int (VpJson *json, const char *field, int64_t min, int64_t max, int64_t fallback)
{
  int64_t value = vp_json_int (json, field, 0, max, 0);

  if (value == 0)
    return fallback;
  if (value < min)
    vp_json_fail (json, field, "must be 0 or from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min,
                  max);
  return value;
}

/* Reads the field "name" of an element and adds it to @names; fails if @names has it already. */
static void
_vp_config_read_unique_name (VpJson *json, GHashTable *names, char out[VP_NAME_MAX])
{
  vp_name_copy (out, VP_NAME_MAX, vp_json_name (json, "name", VP_JSON_REQUIRED));
  if (!g_hash_table_add (names, g_strdup (out)))
    vp_json_fail (json, "name", "'%s' is given twice", out);
}

static GHashTable *
_vp_config_new_name_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
_vp_config_read_dcs (VpJson *json, VpConfig *config)
{
  uint32_t count = vp_json_array (json, "dcs", VP_CONFIG_DCS_MAX, true);
  g_autoptr (GHashTable) names = _vp_config_new_name_set ();
  char field[32];

  for (uint32_t i = 0; i < count && !vp_json_has_failed (json); i++) {
    const char *name = vp_json_element_string (json, "dcs", i, VP_NAME_MAX);
    g_snprintf (field, sizeof field, "dcs[%u]", i);
    if (!vp_json_is_name (name))
      vp_json_fail (json, field, "is not a name");
    else if (!g_hash_table_add (names, g_strdup (name)))
      vp_json_fail (json, field, "'%s' is given twice", name);
    g_ptr_array_add (config->dcs, g_strdup (name));
  }
  g_ptr_array_sort (config->dcs, _vp_config_compare_text);
}

static void
_vp_config_read_teams (VpJson *json, VpConfig *config)
{
  uint32_t count = vp_json_array (json, "teams", VP_CONFIG_TEAMS_MAX, true);
  g_autoptr (GHashTable) names = _vp_config_new_name_set ();
  VpJson child;

  for (uint32_t i = 0; i < count && vp_json_element (json, "teams", i, &child); i++) {
    VpTeam team = { .share = vp_json_int (&child, "share", 1, VP_CONFIG_SHARE_MAX, 1) };
    _vp_config_read_unique_name (&child, names, team.name);
    vp_json_size (&child, "limit", &team.limit);
    team.queue_max = (uint32_t)_vp_config_int (&child, "queue_max", 1, VP_CONFIG_QUEUE_MAX,
                                               VP_CONFIG_QUEUE_DEFAULT);
    vp_json_close_child (&child);
    g_array_append_val (config->teams, team);
  }
  g_array_sort (config->teams, _vp_config_compare_name);
}

static VpProfileKind
_vp_config_read_kind (VpJson *json)
{
  const char *text = vp_json_string (json, "kind", VP_NAME_MAX, VP_JSON_REQUIRED);

  for (int kind = VP_PROFILE_SERVICE; kind <= VP_PROFILE_GANG; kind++)
    if (strcmp (text, vp_profile_kind_token ((VpProfileKind)kind)) == 0)
      return (VpProfileKind)kind;
  vp_json_fail (json, "kind", "must be \"service\", \"batch\" or \"gang\"");
  return VP_PROFILE_SERVICE;
}

static void
_vp_config_read_profile (VpJson *json, GHashTable *names, VpProfile *profile)
{
  _vp_config_read_unique_name (json, names, profile->name);
  profile->kind = _vp_config_read_kind (json);
  profile->priority = (int32_t)vp_json_int (json, "priority", 0, VP_CONFIG_PRIORITY_MAX, 0);
  profile->is_preemptible = vp_json_bool (json, "preemptible", false);
  profile->is_open = vp_json_bool (json, "open", false);
  profile->is_spread = vp_json_bool (json, "spread", false);
  profile->tries_max = (uint32_t)_vp_config_int (json, "tries_max", 1, VP_CONFIG_TRIES_MAX,
                                                 VP_CONFIG_TRIES_DEFAULT);
  profile->deadline_ms = vp_json_int (json, "deadline_ms", 0, VP_CONFIG_TIME_MAX_MS, 0);
  profile->task_lease_ms
      = _vp_config_int (json, "task_lease_ms", VP_CONFIG_TASK_LEASE_MIN_MS,
                        VP_CONFIG_TASK_LEASE_MAX_MS, VP_CONFIG_TASK_LEASE_DEFAULT_MS);
  profile->run_time_max_ms = vp_json_int (json, "run_time_max_ms", 0, VP_CONFIG_TIME_MAX_MS, 0);
}

static void
_vp_config_read_profiles (VpJson *json, VpConfig *config)
{
  uint32_t count = vp_json_array (json, "profiles", VP_CONFIG_PROFILES_MAX, true);
  g_autoptr (GHashTable) names = _vp_config_new_name_set ();
  VpJson child;

  for (uint32_t i = 0; i < count && vp_json_element (json, "profiles", i, &child); i++) {
    VpProfile profile = { 0 };
    _vp_config_read_profile (&child, names, &profile);
    vp_json_close_child (&child);
    g_array_append_val (config->profiles, profile);
  }
  g_array_sort (config->profiles, _vp_config_compare_name);
}

static void
_vp_config_read_key (VpJson *json, VpConfig *config)
{
  VpKey *key = g_new0 (VpKey, 1);

  vp_name_copy (key->sha256, sizeof key->sha256,
                vp_json_string (json, "sha256", sizeof key->sha256, VP_JSON_REQUIRED));
  vp_name_copy (key->team, sizeof key->team, vp_json_name (json, "team", VP_JSON_REQUIRED));
  vp_name_copy (key->note, sizeof key->note, vp_json_string (json, "note", sizeof key->note, ""));
  if (!vp_json_is_sha256 (key->sha256))
    vp_json_fail (json, "sha256", "must be 64 lower-case hexadecimal digits");
  if (vp_config_team (config, key->team) == NULL)
    vp_json_fail (json, "team", "'%s' is not a team of this configuration", key->team);
  if (g_hash_table_contains (config->keys, key->sha256))
    vp_json_fail (json, "sha256", "is given twice");
  g_hash_table_replace (config->keys, key->sha256, key);
}

static void
_vp_config_read (VpJson *json, VpConfig *config)
{
  uint32_t count;
  VpJson child;

  _vp_config_read_dcs (json, config);
  _vp_config_read_teams (json, config);
  _vp_config_read_profiles (json, config);
  count = vp_json_array (json, "keys", VP_CONFIG_KEYS_MAX, false);
  for (uint32_t i = 0; i < count && vp_json_element (json, "keys", i, &child); i++) {
    _vp_config_read_key (&child, config);
    vp_json_close_child (&child);
  }
  config->identity_retention_ms
      = _vp_config_int (json, "identity_retention_ms", VP_CONFIG_RETENTION_MIN_MS,
                        VP_CONFIG_TIME_MAX_MS, VP_CONFIG_RETENTION_DEFAULT_MS);
}

static bool
_vp_config_check_bytes (size_t size, GError **error)
{
  if (size <= VP_CONFIG_BYTES_MAX)
    return true;
  g_set_error (error, VP_JSON_ERROR, VP_JSON_ERROR_RANGE, "must be at most %d bytes",
               VP_CONFIG_BYTES_MAX);
  return false;
}

VpConfig *
vp_config_parse (const char *text, size_t size, GError **error)
{
  g_autoptr (VpConfig) config = NULL;
  g_autoptr (GBytes) canonical = NULL;
  VpJson json;

  if (!_vp_config_check_bytes (size, error) || !vp_json_open (&json, text, size, error))
    return NULL;
  config = vp_config_new_empty ();
  _vp_config_read (&json, config);
  if (!vp_json_close (&json, error))
    return NULL;
  /* The canonical form contains all defaults, so a short document may become too long for a store
   * value. */
  canonical = vp_config_format (config);
  if (!_vp_config_check_bytes (g_bytes_get_size (canonical), error))
    return NULL;
  return g_steal_pointer (&config);
}

static void
_vp_config_read_origin (VpJson *json, VpConfigOrigin *origin)
{
  const char *change = vp_json_string (json, "change", 17, "0");

  if (!g_ascii_string_to_unsigned (change, 16, 0, UINT64_MAX, &origin->change, NULL))
    vp_json_fail (json, "change", "must be up to 16 hexadecimal digits");
  origin->at_ms = vp_json_int (json, "at_ms", 0, INT64_MAX, 0);
  vp_name_copy (origin->who, sizeof origin->who,
                vp_json_string (json, "who", sizeof origin->who, ""));
  vp_name_copy (origin->summary, sizeof origin->summary,
                vp_json_string (json, "summary", sizeof origin->summary, ""));
}

VpConfig *
vp_config_parse_stored (const char *text, size_t size, GError **error)
{
  g_autoptr (VpConfig) config = NULL;
  VpJson json;
  VpJson child;

  if (!vp_json_open (&json, text, size, error))
    return NULL;
  config = vp_config_new_empty ();
  config->revision = (uint64_t)vp_json_int (&json, "revision", 1, INT64_MAX, VP_JSON_REQUIRED_INT);
  _vp_config_read_origin (&json, &config->origin);
  if (vp_json_object (&json, "config", true, &child)) {
    _vp_config_read (&child, config);
    vp_json_close_child (&child);
  }
  if (!vp_json_close (&json, error))
    return NULL;
  return g_steal_pointer (&config);
}

/* Finds an element by name. An empty array has a NULL pointer as data, which bsearch() must not be
 * given. */
static const void *
_vp_config_find (const GArray *array, size_t size, const char *name)
{
  return array->len > 0 ? bsearch (name, array->data, array->len, size, _vp_config_compare_name)
                        : NULL;
}

const VpTeam *
vp_config_team (const VpConfig *config, const char *name)
{
  return _vp_config_find (config->teams, sizeof (VpTeam), name);
}

const VpProfile *
vp_config_profile (const VpConfig *config, const char *name)
{
  return _vp_config_find (config->profiles, sizeof (VpProfile), name);
}

void
vp_config_key_digest (const char *key, char out[65])
{
  g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

  g_strlcpy (out, digest, 65);
}

const VpTeam *
vp_config_digest_team (const VpConfig *config, const char *sha256)
{
  const VpKey *found = g_hash_table_lookup (config->keys, sha256);

  return found != NULL ? vp_config_team (config, found->team) : NULL;
}

const VpTeam *
vp_config_key_team (const VpConfig *config, const char *key)
{
  char digest[65];

  /* The time of the lookup depends only on the digest, so it tells a caller who guesses keys
   * nothing about the key. */
  vp_config_key_digest (key, digest);
  return vp_config_digest_team (config, digest);
}

const char *
vp_config_home_dc (const VpConfig *config, VpTaskId task)
{
  const char *best = NULL;
  uint64_t best_score = 0;

  for (guint i = 0; i < config->dcs->len; i++) {
    const char *dc = g_ptr_array_index (config->dcs, i);
    uint64_t score
        = XXH3_64bits_withSeed (dc, strlen (dc), task.hi ^ (task.lo * 0x9e3779b97f4a7c15));
    /* The names are sorted, so that equal scores give the same DC in all processes. */
    if (best == NULL || score > best_score) {
      best = dc;
      best_score = score;
    }
  }
  return best;
}
