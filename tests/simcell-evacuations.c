#include "simcell-evacuations.h"

void
simcell_evacuations_setup (SimCellEvacuations *evacuations)
{
  evacuations->since_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  evacuations->version = 1;
}

void
simcell_evacuations_shutdown (SimCellEvacuations *evacuations)
{
  g_hash_table_unref (evacuations->since_ms);
}

void
simcell_evacuations_set (SimCellEvacuations *evacuations,
                         const char *dc,
                         bool is_on,
                         int64_t now_ms)
{
  if (is_on == g_hash_table_contains (evacuations->since_ms, dc))
    return;
  if (is_on)
    g_hash_table_insert (evacuations->since_ms, g_strdup (dc), g_memdup2 (&now_ms, sizeof now_ms));
  else
    g_hash_table_remove (evacuations->since_ms, dc);
  evacuations->version++;
}

GPtrArray *
simcell_evacuations_list (const SimCellEvacuations *evacuations)
{
  GPtrArray *dcs = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer dc;

  g_hash_table_iter_init (&iter, evacuations->since_ms);
  while (g_hash_table_iter_next (&iter, &dc, NULL))
    g_ptr_array_add (dcs, g_strdup (dc));
  return dcs;
}

bool
simcell_evacuations_forbid_start (const SimCellEvacuations *evacuations,
                                  const char *dc,
                                  int64_t in_touch_since_ms,
                                  int64_t now_ms)
{
  const int64_t *since_ms = g_hash_table_lookup (evacuations->since_ms, dc);

  return since_ms != NULL && now_ms - MAX (*since_ms, in_touch_since_ms) > SIMCELL_EVACUATE_MS;
}
