#include "world-store.h"

WorldValue *
world_store_get (const WorldStore *store, const char *key)
{
  return g_hash_table_lookup (store->values, key);
}

static void
_value_free (gpointer data)
{
  WorldValue *value = data;

  g_bytes_unref (value->value);
  g_free (value);
}

void
world_store_write (WorldStore *store, const VpStoreWrite *write, VpStoreWriteResult *written)
{
  const WorldValue *record = world_store_get (store, "lead");
  uint64_t revision = record == NULL ? 0 : record->revision;

  written->serial = write->serial;
  if (revision != write->record_revision) {
    written->outcome = VP_WRITE_CONFLICT;
    written->revision = revision;
    written->record = record == NULL ? NULL : g_bytes_ref (record->value);
    return;
  }
  written->outcome = VP_WRITE_OK;
  written->revision = ++store->revision;
  for (guint i = 0; i < write->keys->len; i++) {
    WorldValue *value = g_new0 (WorldValue, 1);
    value->revision = store->revision;
    value->value = g_bytes_ref (write->values->pdata[i]);
    g_hash_table_replace (store->values, g_strdup (write->keys->pdata[i]), value);
  }
  for (guint i = 0; i < write->removed->len; i++)
    g_hash_table_remove (store->values, write->removed->pdata[i]);
}

GPtrArray *
world_store_below (const WorldStore *store, const char *prefix)
{
  GPtrArray *values = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, store->values);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    if (g_str_has_prefix (key, prefix))
      g_ptr_array_add (values, g_bytes_ref (((WorldValue *)value)->value));
  }
  return values;
}

void
world_store_setup (WorldStore *store)
{
  store->revision = 0;
  store->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, _value_free);
}

void
world_store_shutdown (WorldStore *store)
{
  g_hash_table_unref (store->values);
}
