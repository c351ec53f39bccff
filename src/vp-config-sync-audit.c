#include "vp-config-sync-private.h"
#include "vp-json.h"

#include <string.h>

typedef struct {
  uint64_t revision;
  int64_t at_ms;
  char who[VP_NAME_MAX];
  char summary[VP_CONFIG_SUMMARY_MAX];
} VpConfigSyncAuditEntry;

static int
_vp_config_sync_compare_audit_entries (gconstpointer a, gconstpointer b)
{
  uint64_t x = ((const VpConfigSyncAuditEntry *)a)->revision;
  uint64_t y = ((const VpConfigSyncAuditEntry *)b)->revision;

  return (x < y) - (x > y);
}

static void
_vp_config_sync_read_audit_entry (VpJson *json, VpConfigSyncAuditEntry *entry)
{
  entry->revision = (uint64_t)vp_json_int (json, "revision", 1, INT64_MAX, VP_JSON_REQUIRED_INT);
  /* from_revision is always one less than revision. It is stored for readers of the trail only. */
  (void)vp_json_int (json, "from_revision", 0, INT64_MAX, 0);
  entry->at_ms = vp_json_int (json, "at_ms", 0, INT64_MAX, 0);
  vp_name_copy (entry->who, sizeof entry->who, vp_json_string (json, "who", sizeof entry->who, ""));
  vp_name_copy (entry->summary, sizeof entry->summary,
                vp_json_string (json, "summary", sizeof entry->summary, ""));
}

/* Entries of the stored trail; NULL if it can't be parsed. */
static GArray *
_vp_config_sync_parse_audit (GBytes *value)
{
  g_autoptr (GArray) entries = g_array_new (FALSE, TRUE, sizeof (VpConfigSyncAuditEntry));
  gsize size;
  const char *text;
  VpJson json;
  VpJson child;
  uint32_t count;

  if (value == NULL)
    return g_steal_pointer (&entries);
  text = g_bytes_get_data (value, &size);
  if (!vp_json_open (&json, text, size, NULL))
    return NULL;
  count = vp_json_array (&json, "entries", VP_CONFIG_SYNC_AUDIT_ENTRIES_MAX, true);
  for (uint32_t i = 0; i < count && vp_json_element (&json, "entries", i, &child); i++) {
    VpConfigSyncAuditEntry entry = { 0 };
    _vp_config_sync_read_audit_entry (&child, &entry);
    vp_json_close_child (&child);
    g_array_append_val (entries, entry);
  }
  return vp_json_close (&json, NULL) ? g_steal_pointer (&entries) : NULL;
}

static GString *
_vp_config_sync_format_audit (GArray *entries)
{
  GString *out = g_string_new ("[");

  for (guint i = 0; i < entries->len; i++) {
    const VpConfigSyncAuditEntry *entry = &g_array_index (entries, VpConfigSyncAuditEntry, i);
    g_string_append_printf (out,
                            "%s{\"revision\":%" G_GUINT64_FORMAT
                            ",\"from_revision\":%" G_GUINT64_FORMAT ",\"at_ms\":%" G_GINT64_FORMAT
                            ",\"who\":",
                            i > 0 ? "," : "", entry->revision, entry->revision - 1, entry->at_ms);
    vp_json_append_string (out, entry->who, strlen (entry->who));
    g_string_append (out, ",\"summary\":");
    vp_json_append_string (out, entry->summary, strlen (entry->summary));
    g_string_append_c (out, '}');
  }
  g_string_append_c (out, ']');
  return out;
}

static void
_vp_config_sync_append_audit_entry (GArray *entries, const VpConfig *config)
{
  VpConfigSyncAuditEntry entry = { .revision = config->revision, .at_ms = config->origin.at_ms };

  for (guint i = 0; i < entries->len; i++)
    if (g_array_index (entries, VpConfigSyncAuditEntry, i).revision == config->revision)
      return;
  vp_name_copy (entry.who, sizeof entry.who, config->origin.who);
  vp_name_copy (entry.summary, sizeof entry.summary, config->origin.summary);
  g_array_append_val (entries, entry);
}

void
_vp_config_sync_audit_add (VpConfigSync *sync, VpConfig *config)
{
  if (config->origin.at_ms == 0)
    return;
  g_ptr_array_add (sync->audit_unrecorded, vp_config_ref (config));
  sync->audit_try_count = 0;
}

static void
_vp_config_sync_set_audit (VpConfigSync *sync, const VpStoreResult *result, GBytes *value)
{
  g_autoptr (GArray) entries = _vp_config_sync_parse_audit (value);

  sync->is_audit_read = true;
  sync->audit_version = result->version;
  if (value != NULL)
    g_bytes_ref (value);
  g_clear_pointer (&sync->audit_value, g_bytes_unref);
  sync->audit_value = value;
  if (entries == NULL)
    return;
  g_clear_pointer (&sync->audit, g_bytes_unref);
  sync->audit = g_string_free_to_bytes (_vp_config_sync_format_audit (entries));
  sync->audit_as_of_ms = result->sent_ms;
}

int64_t
vp_config_sync_audit_as_of_ms (const VpConfigSync *sync)
{
  return sync->audit_as_of_ms;
}

/* Drops queued entries that the trail contains already, or that are older than all of its entries
 * while it is full. */
static void
_vp_config_sync_drop_recorded (VpConfigSync *sync, GArray *entries)
{
  for (guint i = sync->audit_unrecorded->len; i > 0; i--) {
    const VpConfig *config = g_ptr_array_index (sync->audit_unrecorded, i - 1);
    bool is_recorded = false;
    for (guint j = 0; j < entries->len; j++)
      is_recorded
          = is_recorded
            || g_array_index (entries, VpConfigSyncAuditEntry, j).revision == config->revision;
    if (is_recorded
        || (entries->len == VP_CONFIG_SYNC_AUDIT_ENTRIES_MAX
            && config->revision
                   < g_array_index (entries, VpConfigSyncAuditEntry, entries->len - 1).revision))
      g_ptr_array_remove_index (sync->audit_unrecorded, i - 1);
  }
}

static void
_vp_config_sync_write_audit (VpConfigSync *sync, VpEffects *effects)
{
  g_autoptr (GArray) entries = _vp_config_sync_parse_audit (sync->audit_value);
  GString *text;
  VpStoreOp *op;

  if (entries == NULL) {
    /* Overwriting the value would lose entries that an operator may still recover. */
    vp_effects_log (effects, G_LOG_LEVEL_WARNING,
                    "the audit trail in the store can't be read; %u entries are not recorded",
                    sync->audit_unrecorded->len);
    g_ptr_array_set_size (sync->audit_unrecorded, 0);
    return;
  }
  _vp_config_sync_drop_recorded (sync, entries);
  if (sync->audit_unrecorded->len == 0)
    return;
  for (guint i = 0; i < sync->audit_unrecorded->len; i++)
    _vp_config_sync_append_audit_entry (entries, g_ptr_array_index (sync->audit_unrecorded, i));
  g_array_sort (entries, _vp_config_sync_compare_audit_entries);
  g_array_set_size (entries, MIN (entries->len, VP_CONFIG_SYNC_AUDIT_ENTRIES_MAX));
  text = _vp_config_sync_format_audit (entries);
  g_string_prepend (text, "{\"entries\":");
  g_string_append_c (text, '}');
  op = _vp_config_sync_store_op (sync, effects, VP_STORE_CAS, VP_CONFIG_SYNC_AUDIT_STORE_KEY,
                                 &sync->audit_token);
  op->version = sync->audit_version;
  op->value = g_string_free_to_bytes (text);
  g_clear_pointer (&sync->audit_sent, g_bytes_unref);
  sync->audit_sent = g_bytes_ref (op->value);
}

void
_vp_config_sync_audit_result (VpConfigSync *sync,
                              const VpStoreResult *result,
                              int64_t now_ms,
                              VpEffects *effects)
{
  bool is_read = result->kind == VP_STORE_GET;

  sync->audit_token = 0;
  sync->next_audit_ms = now_ms;
  if (is_read && (result->status == VP_STORE_OK || result->status == VP_STORE_NOT_FOUND)) {
    _vp_config_sync_set_audit (sync, result, result->value);
  } else if (!is_read && result->status == VP_STORE_OK) {
    _vp_config_sync_set_audit (sync, result, sync->audit_sent);
    sync->audit_try_count = 0;
  } else if (!is_read && result->status == VP_STORE_CONFLICT) {
    _vp_config_sync_set_audit (sync, result, result->value);
  } else {
    /* The next read of the trail shows whether the write took effect. */
    sync->is_audit_read = false;
    sync->next_audit_ms = now_ms + VP_CONFIG_SYNC_RETRY_MS;
  }
  _vp_config_sync_audit_tick (sync, now_ms, effects);
}

static void
_vp_config_sync_read_audit (VpConfigSync *sync, VpEffects *effects)
{
  _vp_config_sync_store_op (sync, effects, VP_STORE_GET, VP_CONFIG_SYNC_AUDIT_STORE_KEY,
                            &sync->audit_token);
}

void
_vp_config_sync_audit_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  if (sync->audit_unrecorded->len == 0 || sync->audit_token != 0 || now_ms < sync->next_audit_ms)
    return;
  if (++sync->audit_try_count > VP_CONFIG_SYNC_AUDIT_TRIES_MAX) {
    vp_effects_log (effects, G_LOG_LEVEL_WARNING,
                    "%u entries of the audit trail could not be written",
                    sync->audit_unrecorded->len);
    g_ptr_array_set_size (sync->audit_unrecorded, 0);
  } else if (sync->is_audit_read) {
    _vp_config_sync_write_audit (sync, effects);
  } else {
    _vp_config_sync_read_audit (sync, effects);
  }
}

GBytes *
vp_config_sync_audit (VpConfigSync *sync, int64_t now_ms, VpEffects *effects)
{
  if (sync->audit_token == 0 && now_ms >= sync->next_audit_ms) {
    _vp_config_sync_read_audit (sync, effects);
    sync->next_audit_ms = now_ms + VP_CONFIG_SYNC_RETRY_MS;
  }
  return sync->audit != NULL ? g_bytes_ref (sync->audit) : NULL;
}

int64_t
_vp_config_sync_audit_next_ms (const VpConfigSync *sync)
{
  return sync->audit_unrecorded->len > 0 && sync->audit_token == 0 ? sync->next_audit_ms
                                                                   : INT64_MAX;
}
