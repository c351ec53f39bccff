#include "vp-settings.h"

#include "vp-config.h"
#include "vp-json.h"

#include <string.h>

enum {
  VP_SETTINGS_BYTES_MAX = 1024 * 1024,
  VP_SETTINGS_OPERATORS_MAX = 256,
  VP_SETTINGS_STORES_MAX = 16,
  VP_SETTINGS_BODY_MAX_DEFAULT = 262144,
  VP_SETTINGS_CONNECTIONS_MAX_DEFAULT = 4096,
  /* Two heartbeats may be lost before keys are no longer trusted. */
  VP_SETTINGS_HEARTBEATS_PER_KEY_TRUST = 3,
};

static void
_vp_settings_read_address (VpJson *json,
                           const char *field,
                           const char *fallback,
                           char out[VP_ADDRESS_MAX])
{
  vp_name_copy (out, VP_ADDRESS_MAX, vp_json_string (json, field, VP_ADDRESS_MAX, fallback));
  if (!vp_json_has_failed (json) && !vp_json_is_address (out))
    vp_json_fail (json, field, "must be an IP address and a port, as 127.0.0.1:8080 or [::1]:8080");
}

static void
_vp_settings_read_members (VpJson *json, VpSettings *settings)
{
  uint32_t count = vp_json_array (json, "members", VP_MEMBERS_MAX, true);
  VpJson child;

  for (uint32_t i = 0; i < count && vp_json_element (json, "members", i, &child); i++) {
    VpMember member = { 0 };
    vp_name_copy (member.name, sizeof member.name, vp_json_name (&child, "name", VP_JSON_REQUIRED));
    vp_name_copy (member.dc, sizeof member.dc, vp_json_name (&child, "dc", VP_JSON_REQUIRED));
    _vp_settings_read_address (&child, "peer_address", VP_JSON_REQUIRED, member.peer_address);
    _vp_settings_read_address (&child, "http_address", VP_JSON_REQUIRED, member.http_address);
    for (guint j = 0; j < settings->members->len; j++) {
      const VpMember *other = &g_array_index (settings->members, VpMember, j);
      if (strcmp (other->name, member.name) == 0)
        vp_json_fail (&child, "name", "'%s' is given twice", member.name);
      if (strcmp (other->peer_address, member.peer_address) == 0)
        vp_json_fail (&child, "peer_address", "is that of '%s' too", other->name);
      if (strcmp (other->http_address, member.http_address) == 0)
        vp_json_fail (&child, "http_address", "is that of '%s' too", other->name);
    }
    vp_json_close_child (&child);
    g_array_append_val (settings->members, member);
  }
}

/* Reads this member's name, DC and addresses. Missing ones are taken from its entry in "members".
 */
static void
_vp_settings_read_self (VpJson *json, VpSettings *settings)
{
  const VpMember *self;

  vp_name_copy (settings->name, sizeof settings->name,
                vp_json_name (json, "name", VP_JSON_REQUIRED));
  _vp_settings_read_members (json, settings);
  if (vp_json_has_failed (json))
    return;
  self = vp_settings_member (settings, settings->name);
  if (self == NULL) {
    vp_json_fail (json, "name", "'%s' is not in members", settings->name);
    return;
  }
  vp_name_copy (settings->dc, sizeof settings->dc, vp_json_name (json, "dc", self->dc));
  if (strcmp (settings->dc, self->dc) != 0)
    vp_json_fail (json, "dc", "must be '%s' as in members", self->dc);
  _vp_settings_read_address (json, "http_address", self->http_address, settings->http_address);
  _vp_settings_read_address (json, "peer_address", self->peer_address, settings->peer_address);
}

static void
_vp_settings_read_operators (VpJson *json, VpSettings *settings)
{
  uint32_t count = vp_json_array (json, "operators", VP_SETTINGS_OPERATORS_MAX, false);
  VpJson child;

  for (uint32_t i = 0; i < count && vp_json_element (json, "operators", i, &child); i++) {
    VpOperator entry = { 0 };
    vp_name_copy (entry.name, sizeof entry.name, vp_json_name (&child, "name", VP_JSON_REQUIRED));
    vp_name_copy (entry.key_sha256, sizeof entry.key_sha256,
                  vp_json_string (&child, "key_sha256", sizeof entry.key_sha256, VP_JSON_REQUIRED));
    if (!vp_json_is_sha256 (entry.key_sha256))
      vp_json_fail (&child, "key_sha256", "must be 64 lower-case hexadecimal digits");
    for (guint j = 0; j < settings->operators->len; j++) {
      const VpOperator *other = &g_array_index (settings->operators, VpOperator, j);
      if (strcmp (other->name, entry.name) == 0)
        vp_json_fail (&child, "name", "'%s' is given twice", entry.name);
      if (strcmp (other->key_sha256, entry.key_sha256) == 0)
        vp_json_fail (&child, "key_sha256", "is that of '%s' too", other->name);
    }
    vp_json_close_child (&child);
    g_array_append_val (settings->operators, entry);
  }
}

static void
_vp_settings_read_platform (VpJson *json, VpSettings *settings)
{
  uint32_t count = vp_json_array (json, "store_addresses", VP_SETTINGS_STORES_MAX, true);
  char field[32];

  if (count == 0)
    vp_json_fail (json, "store_addresses", "must have at least one element");
  for (uint32_t i = 0; i < count && !vp_json_has_failed (json); i++) {
    const char *text = vp_json_element_string (json, "store_addresses", i, VP_ADDRESS_MAX);
    g_snprintf (field, sizeof field, "store_addresses[%u]", i);
    if (!vp_json_is_address (text))
      vp_json_fail (json, field, "must be an IP address and a port");
    g_ptr_array_add (settings->store_addresses, g_strdup (text));
  }
  _vp_settings_read_address (json, "vmlist_address", VP_JSON_REQUIRED, settings->vmlist_address);
}

static void
_vp_settings_read_times (VpJson *json, VpSettings *settings)
{
  settings->owner_ttl_ms = vp_json_int (json, "owner_ttl_ms", 200, 60000, 2400);
  settings->owner_renew_ms
      = vp_json_int (json, "owner_renew_ms", 20, 30000, settings->owner_ttl_ms / 2);
  settings->clock_margin_ms = vp_json_int (json, "clock_margin_ms", 0, 10000, 250);
  settings->config_fresh_ms = vp_json_int (json, "config_fresh_ms", 300, 10000, 3000);
  settings->heartbeat_ms = vp_json_int (json, "heartbeat_ms", 20, 3000, 500);
  settings->commit_ms = vp_json_int (json, "commit_ms", 1, 5000, 300);
  settings->vmlist_poll_ms = vp_json_int (json, "vmlist_poll_ms", 50, 60000, 2000);
  settings->client_timeout_ms = vp_json_int (json, "client_timeout_ms", 100, 600000, 10000);
  /* One renewal may be lost before the lease expires. */
  if (settings->owner_renew_ms > settings->owner_ttl_ms / 2)
    vp_json_fail (json, "owner_renew_ms", "must be at most half of owner_ttl_ms");
  if (settings->clock_margin_ms >= settings->owner_ttl_ms)
    vp_json_fail (json, "clock_margin_ms", "must be below owner_ttl_ms");
  if (settings->heartbeat_ms * VP_SETTINGS_HEARTBEATS_PER_KEY_TRUST > settings->config_fresh_ms)
    vp_json_fail (json, "heartbeat_ms", "must be at most a third of config_fresh_ms");
}

static void
_vp_settings_read (VpJson *json, VpSettings *settings)
{
  _vp_settings_read_self (json, settings);
  _vp_settings_read_operators (json, settings);
  _vp_settings_read_platform (json, settings);
  _vp_settings_read_times (json, settings);
  vp_intake_settings_read (json, &settings->intake);
  settings->body_max
      = settings->intake.body_max > 0 ? settings->intake.body_max : VP_SETTINGS_BODY_MAX_DEFAULT;
  settings->connections_max = settings->intake.connections_max > 0
                                  ? settings->intake.connections_max
                                  : VP_SETTINGS_CONNECTIONS_MAX_DEFAULT;
  settings->pending_max = (uint32_t)vp_json_int (json, "pending_max", 1, 1000000, 10000);
  settings->is_log_json = vp_json_bool (json, "log_json", false);
  settings->is_learning_addresses = vp_json_bool (json, "learn_addresses", true);
}

bool
vp_settings_parse (VpSettings *settings, const char *text, size_t size, GError **error)
{
  VpJson json;

  memset (settings, 0, sizeof *settings);
  if (!vp_json_open (&json, text, size, error))
    return false;
  settings->members = g_array_new (FALSE, TRUE, sizeof (VpMember));
  settings->operators = g_array_new (FALSE, TRUE, sizeof (VpOperator));
  settings->store_addresses = g_ptr_array_new_with_free_func (g_free);
  _vp_settings_read (&json, settings);
  if (vp_json_close (&json, error))
    return true;
  vp_settings_shutdown (settings);
  return false;
}

bool
vp_settings_load (VpSettings *settings, const char *path, GError **error)
{
  g_autofree char *text = NULL;
  gsize size;

  memset (settings, 0, sizeof *settings);
  if (!g_file_get_contents (path, &text, &size, error))
    return false;
  if (size > VP_SETTINGS_BYTES_MAX) {
    g_set_error (error, VP_JSON_ERROR, VP_JSON_ERROR_RANGE, "%s: must be at most %d bytes", path,
                 VP_SETTINGS_BYTES_MAX);
    return false;
  }
  if (vp_settings_parse (settings, text, size, error))
    return true;
  g_prefix_error (error, "%s: ", path);
  return false;
}

void
vp_settings_shutdown (VpSettings *settings)
{
  g_clear_pointer (&settings->members, g_array_unref);
  g_clear_pointer (&settings->operators, g_array_unref);
  g_clear_pointer (&settings->store_addresses, g_ptr_array_unref);
}

const VpMember *
vp_settings_member (const VpSettings *settings, const char *name)
{
  for (guint i = 0; i < settings->members->len; i++) {
    const VpMember *member = &g_array_index (settings->members, VpMember, i);
    if (strcmp (member->name, name) == 0)
      return member;
  }
  return NULL;
}

const char *
vp_settings_operator (const VpSettings *settings, const char *key)
{
  char digest[65];

  /* The time of the comparison depends only on the digest, so it tells a caller who guesses keys
   * nothing about the key. */
  vp_config_key_digest (key, digest);
  for (guint i = 0; i < settings->operators->len; i++) {
    const VpOperator *entry = &g_array_index (settings->operators, VpOperator, i);
    if (strcmp (entry->key_sha256, digest) == 0)
      return entry->name;
  }
  return NULL;
}
