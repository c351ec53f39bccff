/* The store value "grants": which part of each team's limit each DC holds. Private to the grants.
 *
 *   VpGrantsTable *table = vp_grants_table_decode (bytes);      // NULL: not valid
 *   vp_grants_table_sum (table, "team", "dc", &others);
 *   vp_grants_table_clear_dc (table, "dc");
 *   vp_grants_table_add (table, &row);
 *   GBytes *bytes = vp_grants_table_encode (table);
 */
#pragma once

#include "vp-types.h"

typedef struct {
  char team[VP_NAME_MAX];
  char dc[VP_NAME_MAX];
  VpResources grant; /* counts towards the limit */
  VpResources
      goal; /* at most the grant: what the DC may use; below it while the DC still uses more */
  VpResources limit; /* the team's limit that the goal was made for */
} VpGrantsRow;

/* Who writes a DC's column. */
typedef struct {
  char dc[VP_NAME_MAX];
  char member[VP_NAME_MAX];
  int64_t opened_ms;
} VpGrantsColumn;

typedef struct {
  GArray *columns; /* VpGrantsColumn */
  GArray *rows;    /* VpGrantsRow */
} VpGrantsTable;

VpGrantsTable *vp_grants_table_new (void);
void vp_grants_table_free (VpGrantsTable *table);
GBytes *vp_grants_table_encode (const VpGrantsTable *table);
/* NULL if @bytes are not a valid table. */
VpGrantsTable *vp_grants_table_decode (GBytes *bytes);
/* Sum of the grants of a team in all DCs but @except. */
void vp_grants_table_sum (const VpGrantsTable *table,
                          const char *team,
                          const char *except,
                          VpResources *sum);
const VpGrantsColumn *vp_grants_table_column (const VpGrantsTable *table, const char *dc);
/* Removes the column and the rows of a DC. */
void vp_grants_table_clear_dc (VpGrantsTable *table, const char *dc);
