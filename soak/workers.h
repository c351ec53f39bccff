/* Stand-ins for the workers and for the advice service, over HTTP.
 *
 *   SoakWorkers *workers = soak_workers_new (soak);
 *   soak_workers_crash (workers, 3, 1500);
 *
 * Each worker is reached through a link, and writes its entry to the store with each heartbeat. The
 * checks of each start are in simcell-jobs.h.
 */
#pragma once

#include "soak.h"

typedef struct _SoakWorkers SoakWorkers;

SoakWorkers *soak_workers_new (Soak *soak);
/* Address of the advice service. */
const char *soak_workers_advice_address (const SoakWorkers *workers);
/* Crashes the worker: all its runs are lost, and it restarts with the same identity after @for_ms.
 */
void soak_workers_crash (SoakWorkers *workers, uint32_t number, int64_t for_ms);
/* Drains the worker for @for_ms; it then stops and restarts. */
void soak_workers_drain (SoakWorkers *workers, uint32_t number, int64_t for_ms);
/* Sets the mode of the worker's link, as in fake_mapping_set_mode(). */
void soak_workers_set_link_mode (SoakWorkers *workers, uint32_t number, const char *mode);
/* Lets workers execute this share of the commands up to 4 s late and without a reply. */
void soak_workers_set_delayed_share (SoakWorkers *workers, double share);
/* Latest end of the tasks of a cancelled job: the platform's cancel_ms and stop_ms. */
#define SOAK_CANCELLED_GONE_MS 3900
/* Number of runs that were started in DCs under evacuation, within the bound of the rule. */
uint32_t soak_workers_evacuated_start_count (const SoakWorkers *workers);
/* Fails the run unless all tasks of accepted long-running jobs are running, and no task of a job
 * that was cancelled longer ago than SOAK_CANCELLED_GONE_MS. */
void soak_workers_check_long_running (SoakWorkers *workers);
