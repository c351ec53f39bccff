/* The store value "grants", which holds the grant of each team's limit in each DC. Private to
 * vp-limit-grants.c.
 *
 *   VpLimitGrantsTable *table = vp_limit_grants_table_decode (bytes);   // NULL: not valid
 *   vp_limit_grants_table_sum (table, "team", "dc", &others);
 *   vp_limit_grants_table_clear_dc (table, "dc");
 *   g_array_append_val (table->rows, row);
 *   GBytes *bytes = vp_limit_grants_table_encode (table);
 */
#pragma once

#include "vp-types.h"

typedef struct {
  char team[VP_NAME_MAX];
  char dc[VP_NAME_MAX];
  VpResources grant;  /* part of the team's limit that the DC holds */
  VpResources target; /* part that the DC may use; below the grant while the DC still uses more */
  VpResources limit;  /* the team's limit for which the target was computed */
} VpLimitGrantsRow;

/* The owner that writes a DC's column. */
typedef struct {
  char dc[VP_NAME_MAX];
  char member[VP_NAME_MAX];
  int64_t opened_ms; /* when the owner opened its grants */
} VpLimitGrantsColumn;

typedef struct {
  GArray *columns; /* VpLimitGrantsColumn */
  GArray *rows;    /* VpLimitGrantsRow */
} VpLimitGrantsTable;

VpLimitGrantsTable *vp_limit_grants_table_new (void);
void vp_limit_grants_table_free (VpLimitGrantsTable *table);
GBytes *vp_limit_grants_table_encode (const VpLimitGrantsTable *table);
/* NULL if @bytes is not a valid table. */
VpLimitGrantsTable *vp_limit_grants_table_decode (GBytes *bytes);
/* Sum of a team's grants in all DCs except @except. */
void vp_limit_grants_table_sum (const VpLimitGrantsTable *table,
                                const char *team,
                                const char *except,
                                VpResources *sum);
const VpLimitGrantsColumn *vp_limit_grants_table_column (const VpLimitGrantsTable *table,
                                                         const char *dc);
/* Removes the column and the rows of a DC. */
void vp_limit_grants_table_clear_dc (VpLimitGrantsTable *table, const char *dc);
