#include "vp-config.h"

#include <json-glib/json-glib.h>
#include <string.h>

static void
_vp_config_add_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
_vp_config_add_int (JsonBuilder *builder, const char *name, int64_t value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

static void
_vp_config_add_bool (JsonBuilder *builder, const char *name, bool value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}

static void
_vp_config_add_team (JsonBuilder *builder, const VpTeam *team)
{
  json_builder_begin_object (builder);
  _vp_config_add_string (builder, "name", team->name);
  _vp_config_add_int (builder, "share", team->share);
  json_builder_set_member_name (builder, "limit");
  json_builder_begin_object (builder);
  _vp_config_add_int (builder, "cpu_milli", team->limit.cpu_milli);
  _vp_config_add_int (builder, "mem_mib", team->limit.mem_mib);
  _vp_config_add_int (builder, "accel_count", team->limit.accel_count);
  json_builder_end_object (builder);
  _vp_config_add_int (builder, "queue_max", team->queue_max);
  json_builder_end_object (builder);
}

static void
_vp_config_add_profile (JsonBuilder *builder, const VpProfile *profile)
{
  json_builder_begin_object (builder);
  _vp_config_add_string (builder, "name", profile->name);
  _vp_config_add_string (builder, "kind", vp_profile_kind_token (profile->kind));
  _vp_config_add_int (builder, "priority", profile->priority);
  _vp_config_add_bool (builder, "preemptible", profile->is_preemptible);
  _vp_config_add_bool (builder, "open", profile->is_open);
  _vp_config_add_bool (builder, "spread", profile->is_spread);
  _vp_config_add_int (builder, "tries_max", profile->tries_max);
  _vp_config_add_int (builder, "deadline_ms", profile->deadline_ms);
  _vp_config_add_int (builder, "task_lease_ms", profile->task_lease_ms);
  _vp_config_add_int (builder, "run_time_max_ms", profile->run_time_max_ms);
  json_builder_end_object (builder);
}

static void
_vp_config_add_key (JsonBuilder *builder, const VpKey *key)
{
  json_builder_begin_object (builder);
  _vp_config_add_string (builder, "sha256", key->sha256);
  _vp_config_add_string (builder, "team", key->team);
  _vp_config_add_string (builder, "note", key->note);
  json_builder_end_object (builder);
}

static GList *
_vp_config_sorted_digests (const VpConfig *config)
{
  return g_list_sort (g_hash_table_get_keys (config->keys), (GCompareFunc)strcmp);
}

static void
_vp_config_add_document (JsonBuilder *builder, const VpConfig *config)
{
  GList *digests = _vp_config_sorted_digests (config);

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "dcs");
  json_builder_begin_array (builder);
  for (guint i = 0; i < config->dcs->len; i++)
    json_builder_add_string_value (builder, g_ptr_array_index (config->dcs, i));
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "teams");
  json_builder_begin_array (builder);
  for (guint i = 0; i < config->teams->len; i++)
    _vp_config_add_team (builder, &g_array_index (config->teams, VpTeam, i));
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "profiles");
  json_builder_begin_array (builder);
  for (guint i = 0; i < config->profiles->len; i++)
    _vp_config_add_profile (builder, &g_array_index (config->profiles, VpProfile, i));
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "keys");
  json_builder_begin_array (builder);
  for (GList *at = digests; at != NULL; at = at->next)
    _vp_config_add_key (builder, g_hash_table_lookup (config->keys, at->data));
  json_builder_end_array (builder);
  _vp_config_add_int (builder, "identity_retention_ms", config->identity_retention_ms);
  json_builder_end_object (builder);
  g_list_free (digests);
}

static GBytes *
_vp_config_to_bytes (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  char *text = json_to_string (root, FALSE);

  return g_bytes_new_take (text, strlen (text));
}

GBytes *
vp_config_format (const VpConfig *config)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  _vp_config_add_document (builder, config);
  return _vp_config_to_bytes (builder);
}

GBytes *
vp_config_format_stored (const VpConfig *config)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  char change[17];

  json_builder_begin_object (builder);
  _vp_config_add_int (builder, "revision", (int64_t)config->revision);
  g_snprintf (change, sizeof change, "%016" G_GINT64_MODIFIER "x", config->origin.change);
  _vp_config_add_string (builder, "change", change);
  _vp_config_add_string (builder, "who", config->origin.who);
  _vp_config_add_int (builder, "at_ms", config->origin.at_ms);
  _vp_config_add_string (builder, "summary", config->origin.summary);
  json_builder_set_member_name (builder, "config");
  _vp_config_add_document (builder, config);
  json_builder_end_object (builder);
  return _vp_config_to_bytes (builder);
}

/* Appends " <sign><name>", with the section's title before its first entry. */
static void
_vp_config_append_change (GString *out,
                          const char *title,
                          bool *has_title,
                          char sign,
                          const char *name)
{
  if (!*has_title)
    g_string_append_printf (out, "%s%s", out->len > 0 ? "; " : "", title);
  *has_title = true;
  g_string_append_printf (out, " %c%s", sign, name);
}

/* Describes the difference of two arrays whose elements start with a name and are sorted by it. */
static void
_vp_config_describe_array (GString *out, const char *title, GArray *from, GArray *to, size_t size)
{
  bool has_title = false;
  guint i = 0;
  guint j = 0;

  while (i < from->len || j < to->len) {
    const char *a = i < from->len ? from->data + i * size : NULL;
    const char *b = j < to->len ? to->data + j * size : NULL;
    int order = a == NULL ? 1 : b == NULL ? -1 : strcmp (a, b);
    if (order < 0)
      _vp_config_append_change (out, title, &has_title, '-', a);
    else if (order > 0)
      _vp_config_append_change (out, title, &has_title, '+', b);
    /* Elements are zeroed before they are filled, so bytes after a name's NUL and padding are
     * equal. */
    else if (memcmp (a, b, size) != 0)
      _vp_config_append_change (out, title, &has_title, '~', b);
    i += order <= 0;
    j += order >= 0;
  }
}

/* Appends with @sign the keys of @a that @b lacks or, for '~', has with another team or note. */
static void
_vp_config_describe_keys (GString *out,
                          bool *has_title,
                          char sign,
                          const VpConfig *a,
                          const VpConfig *b)
{
  GList *digests = _vp_config_sorted_digests (a);

  for (GList *at = digests; at != NULL; at = at->next) {
    const VpKey *key = g_hash_table_lookup (a->keys, at->data);
    const VpKey *other = g_hash_table_lookup (b->keys, at->data);
    char name[VP_NAME_MAX + 16];
    bool is_changed
        = other != NULL
          && (strcmp (key->team, other->team) != 0 || strcmp (key->note, other->note) != 0);
    g_snprintf (name, sizeof name, "%.8s(%s)", key->sha256, key->team);
    if (sign == '~' ? is_changed : other == NULL)
      _vp_config_append_change (out, "keys", has_title, sign, name);
  }
  g_list_free (digests);
}

static bool
_vp_config_has_dc (const VpConfig *config, const char *dc)
{
  return g_ptr_array_find_with_equal_func (config->dcs, dc, g_str_equal, NULL);
}

void
vp_config_describe_change (const VpConfig *from, const VpConfig *to, char *out, size_t size)
{
  g_autoptr (GString) text = g_string_new (NULL);
  bool has_title = false;

  for (guint i = 0; i < to->dcs->len; i++)
    if (!_vp_config_has_dc (from, g_ptr_array_index (to->dcs, i)))
      _vp_config_append_change (text, "dcs", &has_title, '+', g_ptr_array_index (to->dcs, i));
  for (guint i = 0; i < from->dcs->len; i++)
    if (!_vp_config_has_dc (to, g_ptr_array_index (from->dcs, i)))
      _vp_config_append_change (text, "dcs", &has_title, '-', g_ptr_array_index (from->dcs, i));
  _vp_config_describe_array (text, "teams", from->teams, to->teams, sizeof (VpTeam));
  _vp_config_describe_array (text, "profiles", from->profiles, to->profiles, sizeof (VpProfile));
  has_title = false;
  _vp_config_describe_keys (text, &has_title, '+', to, from);
  _vp_config_describe_keys (text, &has_title, '-', from, to);
  _vp_config_describe_keys (text, &has_title, '~', to, from);
  if (from->identity_retention_ms != to->identity_retention_ms)
    g_string_append_printf (text, "%sidentity_retention_ms %" G_GINT64_FORMAT,
                            text->len > 0 ? "; " : "", to->identity_retention_ms);
  if (text->len == 0)
    g_string_append (text, "no change");
  if (text->len >= size && size > 4) {
    g_string_truncate (text, size - 4);
    g_string_append (text, "...");
  }
  g_strlcpy (out, text->str, size);
}
