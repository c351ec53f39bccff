/* Stand-ins of the workers and of the advice service, over HTTP.
 *
 *   SoakWorkers *workers = soak_workers_new (soak);
 *   soak_workers_crash (workers, 3, 1500);
 *
 * Each worker is reached through a link, and writes its entry to the store with every heartbeat.
 * What each start is held to is in world-jobs.h.
 */
#pragma once

#include "soak.h"

typedef struct _SoakWorkers SoakWorkers;

SoakWorkers *soak_workers_new (Soak *soak);
/* Address of the advice service. */
const char *soak_workers_advice_address (const SoakWorkers *workers);
/* It loses all that it runs and starts again under its identity. */
void soak_workers_crash (SoakWorkers *workers, uint32_t number, int64_t for_ms);
/* It drains, leaves, and starts again. */
void soak_workers_drain (SoakWorkers *workers, uint32_t number, int64_t for_ms);
/* A mode of fake_map_set_mode() for its link. */
void soak_workers_set_link_mode (SoakWorkers *workers, uint32_t number, const char *mode);
/* This part of the orders is carried out up to 4 s later, without an answer. */
void soak_workers_set_delayed_share (SoakWorkers *workers, double share);
/* Fails unless every task of the lasting jobs that were accepted runs now. */
void soak_workers_check_long_running (SoakWorkers *workers);
