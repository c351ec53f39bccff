/* Evacuations of DCs at random times, as the operator requests them in the store.
 *
 *   soak_evacuations_start (soak, begin_ms, end_ms);
 *
 * They are recorded in @soak->evacuations, against which the workers check each start.
 */
#pragma once

#include "soak.h"

/* Requests and withdraws evacuations from @begin_ms on; at @end_ms all are withdrawn. */
void soak_evacuations_start (Soak *soak, int64_t begin_ms, int64_t end_ms);
