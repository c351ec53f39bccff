/* Callers: threads that hand jobs in, ask for them until they end, cancel some, and hold the
 * answers against what the system promises.
 *
 *   soak_callers_start (soak);
 *   ...
 *   soak_callers_join ();                 // after soak->is_over was set
 */
#pragma once

#include "soak.h"

void soak_callers_start (Soak *soak);
void soak_callers_join (void);
/* Status of GET @path at @address; 0: no answer. */
uint32_t soak_callers_get (const char *address, const char *path, const char *key);
