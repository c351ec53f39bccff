/* The store value "grants": which part of each team's limit each DC holds. Private to the grants.
 *
 *   VpLimitGrantsTable *table = vp_limit_grants_table_decode (bytes);      // NULL: not valid
 *   vp_limit_grants_table_sum (table, "team", "dc", &others);
 *   vp_limit_grants_table_clear_dc (table, "dc");
 *   vp_limit_grants_table_add (table, &row);
 *   GBytes *bytes = vp_limit_grants_table_encode (table);
 */
#pragma once

#include "vp-types.h"

typedef struct {
  char team[VP_NAME_MAX];
  char dc[VP_NAME_MAX];
  VpSize grant;  /* counts towards the limit */
  VpSize target; /* at most the grant: what the DC may use; below it while the DC still uses more */
  VpSize limit;  /* the team's limit that the goal was made for */
} VpLimitGrantsRow;

/* Who writes a DC's column. */
typedef struct {
  char dc[VP_NAME_MAX];
  char member[VP_NAME_MAX];
  int64_t opened_ms;
} VpLimitGrantsColumn;

typedef struct {
  GArray *columns; /* VpLimitGrantsColumn */
  GArray *rows;    /* VpLimitGrantsRow */
} VpLimitGrantsTable;

VpLimitGrantsTable *vp_limit_grants_table_new (void);
void vp_limit_grants_table_free (VpLimitGrantsTable *table);
GBytes *vp_limit_grants_table_encode (const VpLimitGrantsTable *table);
/* NULL if @bytes are not a valid table. */
VpLimitGrantsTable *vp_limit_grants_table_decode (GBytes *bytes);
/* Sum of the grants of a team in all DCs but @except. */
void vp_limit_grants_table_sum (const VpLimitGrantsTable *table,
                                const char *team,
                                const char *except,
                                VpSize *sum);
const VpLimitGrantsColumn *vp_limit_grants_table_column (const VpLimitGrantsTable *table,
                                                         const char *dc);
/* Removes the column and the rows of a DC. */
void vp_limit_grants_table_clear_dc (VpLimitGrantsTable *table, const char *dc);
