/* Checks of a configuration before it is submitted, and the differences between two of them.
 *
 *   g_autoptr (GArray) findings = vp_findings_new ();
 *   vp_config_check (config, findings);              // the product's own form
 *   vp_config_check_changes (current, config, findings);
 *   if (vp_findings_count (findings, VP_FINDING_ERROR) > 0)
 *     ... the configuration has faults ...
 *
 * The configuration of a cell has functions of its own: vp_config_check_cell() and
 * vp_config_check_cell_changes(). Pure functions: no I/O, and the findings are data. What a
 * configuration means is decided by the functions that the daemons use, as
 * vp_cellconfig_route(). Paths name elements by index where the document's order is kept
 * ("queues[3].prefix", as decoded) and by name elsewhere ("teams[red].limit"). No finding contains
 * a key, only the first digits of its digest.
 */
#pragma once

#include "vp-cellconfig.h"
#include "vp-config.h"

typedef enum {
  VP_FINDING_ERROR,   /* something of the configuration can't have the effect that it states */
  VP_FINDING_WARNING, /* probably a mistake, but allowed */
  VP_FINDING_CHANGE,  /* a difference from the other configuration */
} VpFindingSeverity;

typedef struct {
  VpFindingSeverity severity;
  const char *kind; /* token, static */
  char *path;       /* empty: the whole document */
  char *text;
} VpFinding;

/* Size of a job with the most steps, each after all earlier ones, the longest text, all numbers at
 * their maximum, and labels of 31 bytes, as compact JSON without escapes on the users' platform
 * (/config-check/largest-job measures 36,468 bytes). Labels may have any length. */
#define VP_CONFIG_CHECK_JOB_BYTES 36864

/* Returns an empty array of VpFinding that frees its elements. */
GArray *vp_findings_new (void);
/* Appends a finding. Takes ownership of @path; @kind must be static. */
void vp_findings_add (GArray *findings,
                      VpFindingSeverity severity,
                      const char *kind,
                      char *path,
                      const char *format,
                      ...) G_GNUC_PRINTF (5, 6);
uint32_t vp_findings_count (const GArray *findings, VpFindingSeverity severity);
const char *vp_finding_severity_token (VpFindingSeverity severity);

/* Appends an error for a document that can't be decoded. @error is that of vp_config_parse() or of
 * the decoder; a path at the start of its message becomes the path of the finding. */
void vp_config_check_error (const GError *error, GArray *findings);
/* Append the faults of a configuration, and the differences of @to from @from. */
void vp_config_check (const VpConfig *config, GArray *findings);
void vp_config_check_changes (const VpConfig *from, const VpConfig *to, GArray *findings);
/* The same for the configuration of a cell. */
void vp_config_check_cell (const VpCellConfig *config, GArray *findings);
void
vp_config_check_cell_changes (const VpCellConfig *from, const VpCellConfig *to, GArray *findings);
