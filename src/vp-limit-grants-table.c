#include "vp-limit-grants-table.h"
#include "vp-msg.h"

#include <string.h>

#define TABLE_VERSION 1
#define TABLE_TYPE    "(qa(ssx)a(ss(xxx)(xxx)(xxx)))"

VpLimitGrantsTable *
vp_limit_grants_table_new (void)
{
  VpLimitGrantsTable *table = g_new0 (VpLimitGrantsTable, 1);

  table->columns = g_array_new (FALSE, TRUE, sizeof (VpLimitGrantsColumn));
  table->rows = g_array_new (FALSE, TRUE, sizeof (VpLimitGrantsRow));
  return table;
}

void
vp_limit_grants_table_free (VpLimitGrantsTable *table)
{
  if (table == NULL)
    return;
  g_array_unref (table->columns);
  g_array_unref (table->rows);
  g_free (table);
}

GBytes *
vp_limit_grants_table_encode (const VpLimitGrantsTable *table)
{
  g_autoptr (GVariant) value = NULL;
  GVariantBuilder columns, rows;

  g_variant_builder_init (&columns, G_VARIANT_TYPE ("a(ssx)"));
  g_variant_builder_init (&rows, G_VARIANT_TYPE ("a(ss(xxx)(xxx)(xxx))"));
  for (guint i = 0; i < table->columns->len; i++) {
    const VpLimitGrantsColumn *column = &g_array_index (table->columns, VpLimitGrantsColumn, i);
    g_variant_builder_add (&columns, "(ssx)", column->dc, column->member, column->opened_ms);
  }
  for (guint i = 0; i < table->rows->len; i++) {
    const VpLimitGrantsRow *row = &g_array_index (table->rows, VpLimitGrantsRow, i);
    g_variant_builder_add (&rows, "(ss(xxx)(xxx)(xxx))", row->team, row->dc, row->grant.cpu_milli,
                           row->grant.mem_mib, row->grant.accel_count, row->target.cpu_milli,
                           row->target.mem_mib, row->target.accel_count, row->limit.cpu_milli,
                           row->limit.mem_mib, row->limit.accel_count);
  }
  value = g_variant_ref_sink (
      g_variant_new ("(qa(ssx)a(ss(xxx)(xxx)(xxx)))", (guint16)TABLE_VERSION, &columns, &rows));
  if (G_BYTE_ORDER == G_BIG_ENDIAN) {
    GVariant *swapped = g_variant_byteswap (value);
    g_variant_unref (value);
    value = swapped;
  }
  return g_variant_get_data_as_bytes (value);
}

static bool
_vp_limit_grants_are_resources_valid (const VpResources *resources)
{
  const VpResources max = { VP_MSG_AMOUNT_MAX, VP_MSG_AMOUNT_MAX, VP_MSG_AMOUNT_MAX };

  return vp_resources_is_valid (resources) && vp_resources_fits (resources, &max);
}

static bool
_vp_limit_grants_read_columns (VpLimitGrantsTable *table, GVariant *columns)
{
  for (gsize i = 0; i < g_variant_n_children (columns); i++) {
    VpLimitGrantsColumn column = { 0 };
    const char *dc, *member;
    bool ok;

    g_variant_get_child (columns, i, "(&s&sx)", &dc, &member, &column.opened_ms);
    ok = vp_name_copy (column.dc, sizeof column.dc, dc)
         && vp_name_copy (column.member, sizeof column.member, member);
    if (!ok || vp_limit_grants_table_column (table, dc) != NULL)
      return false;
    g_array_append_val (table->columns, column);
  }
  return true;
}

static bool
_vp_limit_grants_read_rows (VpLimitGrantsTable *table, GVariant *rows)
{
  for (gsize i = 0; i < g_variant_n_children (rows); i++) {
    VpLimitGrantsRow row = { 0 };
    const char *team, *dc;

    g_variant_get_child (rows, i, "(&s&s(xxx)(xxx)(xxx))", &team, &dc, &row.grant.cpu_milli,
                         &row.grant.mem_mib, &row.grant.accel_count, &row.target.cpu_milli,
                         &row.target.mem_mib, &row.target.accel_count, &row.limit.cpu_milli,
                         &row.limit.mem_mib, &row.limit.accel_count);
    if (!vp_name_copy (row.team, sizeof row.team, team) || !vp_name_copy (row.dc, sizeof row.dc, dc)
        || !_vp_limit_grants_are_resources_valid (&row.grant)
        || !_vp_limit_grants_are_resources_valid (&row.target)
        || !_vp_limit_grants_are_resources_valid (&row.limit))
      return false;
    g_array_append_val (table->rows, row);
  }
  return true;
}

VpLimitGrantsTable *
vp_limit_grants_table_decode (GBytes *bytes)
{
  g_autoptr (GVariant) value
      = g_variant_ref_sink (g_variant_new_from_bytes (G_VARIANT_TYPE (TABLE_TYPE), bytes, FALSE));
  g_autoptr (GVariant) columns = NULL;
  g_autoptr (GVariant) rows = NULL;
  VpLimitGrantsTable *table;
  guint16 version;

  if (G_BYTE_ORDER == G_BIG_ENDIAN) {
    GVariant *swapped = g_variant_byteswap (value);
    g_variant_unref (value);
    value = swapped;
  }
  if (!g_variant_is_normal_form (value))
    return NULL;
  g_variant_get (value, "(q@a(ssx)@a(ss(xxx)(xxx)(xxx)))", &version, &columns, &rows);
  table = vp_limit_grants_table_new ();
  if (version != TABLE_VERSION || !_vp_limit_grants_read_columns (table, columns)
      || !_vp_limit_grants_read_rows (table, rows))
    g_clear_pointer (&table, vp_limit_grants_table_free);
  return table;
}

void
vp_limit_grants_table_sum (const VpLimitGrantsTable *table,
                           const char *team,
                           const char *except,
                           VpResources *sum)
{
  memset (sum, 0, sizeof *sum);
  for (guint i = 0; i < table->rows->len; i++) {
    const VpLimitGrantsRow *row = &g_array_index (table->rows, VpLimitGrantsRow, i);
    if (strcmp (row->team, team) == 0 && strcmp (row->dc, except) != 0)
      vp_resources_add (sum, &row->grant);
  }
}

const VpLimitGrantsColumn *
vp_limit_grants_table_column (const VpLimitGrantsTable *table, const char *dc)
{
  for (guint i = 0; i < table->columns->len; i++) {
    const VpLimitGrantsColumn *column = &g_array_index (table->columns, VpLimitGrantsColumn, i);
    if (strcmp (column->dc, dc) == 0)
      return column;
  }
  return NULL;
}

void
vp_limit_grants_table_clear_dc (VpLimitGrantsTable *table, const char *dc)
{
  for (guint i = table->columns->len; i-- > 0;) {
    if (strcmp (g_array_index (table->columns, VpLimitGrantsColumn, i).dc, dc) == 0)
      g_array_remove_index (table->columns, i);
  }
  for (guint i = table->rows->len; i-- > 0;) {
    if (strcmp (g_array_index (table->rows, VpLimitGrantsRow, i).dc, dc) == 0)
      g_array_remove_index (table->rows, i);
  }
}
