/* Evacuations of DCs as the operator requests them, and the check of the rule: a node that reaches
 * the store starts no task in the DC from SIMCELL_EVACUATE_MS after the request until it is
 * withdrawn. Used by the simulated cell and by the soak test.
 *
 *   SimCellEvacuations evacuations;
 *   simcell_evacuations_setup (&evacuations);
 *   simcell_evacuations_set (&evacuations, "dc-1", true, now_ms);
 *   if (simcell_evacuations_forbid_start (&evacuations, "dc-1", in_touch_since_ms, now_ms))
 *     ... violation ...
 *   simcell_evacuations_shutdown (&evacuations);
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The platform's evacuate_ms. */
#define SIMCELL_EVACUATE_MS 5000

typedef struct {
  GHashTable *since_ms; /* name of the DC -> int64_t, time of the request */
  uint32_t version;     /* incremented with each change; starts at 1 */
} SimCellEvacuations;

void simcell_evacuations_setup (SimCellEvacuations *evacuations);
void simcell_evacuations_shutdown (SimCellEvacuations *evacuations);
/* Records that the store has acknowledged the request for the DC, or its withdrawal. */
void simcell_evacuations_set (SimCellEvacuations *evacuations,
                              const char *dc,
                              bool is_on,
                              int64_t now_ms);
/* Returns a new array of the names (char *) of the DCs under evacuation. */
GPtrArray *simcell_evacuations_list (const SimCellEvacuations *evacuations);
/* Returns true if a node that has reached the store since @in_touch_since_ms must not start a task
 * in the DC. */
bool simcell_evacuations_forbid_start (const SimCellEvacuations *evacuations,
                                       const char *dc,
                                       int64_t in_touch_since_ms,
                                       int64_t now_ms);
