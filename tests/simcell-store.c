#include "simcell-store.h"

SimCellValue *
simcell_store_get (const SimCellStore *store, const char *key)
{
  return g_hash_table_lookup (store->values, key);
}

static void
_value_free (gpointer data)
{
  SimCellValue *value = data;

  g_bytes_unref (value->value);
  g_free (value);
}

void
simcell_store_write (SimCellStore *store, const VpStoreWrite *write, VpStoreWriteResult *written)
{
  const SimCellValue *record = simcell_store_get (store, "lead");
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
    SimCellValue *value = g_new0 (SimCellValue, 1);
    value->revision = store->revision;
    value->value = g_bytes_ref (write->values->pdata[i]);
    g_hash_table_replace (store->values, g_strdup (write->keys->pdata[i]), value);
  }
  for (guint i = 0; i < write->removed->len; i++)
    g_hash_table_remove (store->values, write->removed->pdata[i]);
}

GPtrArray *
simcell_store_values_with_prefix (const SimCellStore *store, const char *prefix)
{
  GPtrArray *values = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, store->values);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    if (g_str_has_prefix (key, prefix))
      g_ptr_array_add (values, g_bytes_ref (((SimCellValue *)value)->value));
  }
  return values;
}

void
simcell_store_setup (SimCellStore *store)
{
  store->revision = 0;
  store->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, _value_free);
}

void
simcell_store_shutdown (SimCellStore *store)
{
  g_hash_table_unref (store->values);
}
