/* Callers: threads that submit jobs, poll them until they complete, cancel some of them, and check
 * each reply against the guarantees of the system.
 *
 *   soak_callers_start (soak);
 *   ...
 *   soak_callers_join ();                 // returns when all callers have finished
 */
#pragma once

#include "soak.h"

void soak_callers_start (Soak *soak);
/* Submits @measured_count jobs and cancels each at another node at the same time. */
void soak_callers_measure (Soak *soak);
void soak_callers_join (void);
/* Returns the status of GET @path at @address, or 0 without a complete reply. */
uint32_t soak_callers_get (const char *address, const char *path, const char *key);
