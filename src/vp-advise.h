/* Advice on the workers that a step may use: which calls to make, and what their answers say.
 *
 *   VpAdvise *advise = vp_advise_setup (first_serial);
 *   VpAdviceRequest ask;
 *   if (vp_advise_request (advise, pool, step, queue, now_ms, &ask))
 *     ... make the call ...
 *   vp_advise_answer (advise, roster, jobs, ask.serial, rows, now_ms);
 *   vp_advise_shutdown (advise);
 *
 * The service answers one call at a time for each process that asks, and its tickets expire, so
 * only as many calls are under way as will be answered soon. No I/O.
 */
#pragma once

#include "vp-place.h"

typedef struct _VpAdvise VpAdvise;

/* One call to the advice service. */
typedef struct {
  uint64_t serial;
  VpTaskName step;     /* its index is not used */
  GPtrArray *workers;  /* ids; owned */
  int64_t expected_ms; /* time of the call */
} VpAdviceRequest;

/* Serials count from @last_serial on. */
VpAdvise *vp_advise_setup (uint64_t last_serial);
void vp_advise_shutdown (VpAdvise *advise);
/* How many processes can make calls; 1 until it is told. */
void vp_advise_set_client_count (VpAdvise *advise, uint32_t count);
/* False if no call is due for the step: one is under way, too many are, or none would help. */
bool vp_advise_request (VpAdvise *advise,
                        const VpPlacePool *pool,
                        VpJobStep *step,
                        const VpQueueConf *queue,
                        int64_t now_ms,
                        VpAdviceRequest *out);
/* @rows: VpAdviceRow, for the allowed workers only; NULL: the call failed. */
void vp_advise_answer (VpAdvise *advise,
                       const VpWorkerList *worker_list,
                       const VpJobList *jobs,
                       uint64_t serial,
                       const GArray *rows,
                       int64_t now_ms);
/* Gives up calls whose answer is overdue. */
void vp_advise_expire (VpAdvise *advise, const VpJobList *jobs, int64_t now_ms);
