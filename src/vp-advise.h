/* Advice on the workers that may run a step: decides which calls to the platform's advice service
 * to make, and applies their results.
 *
 *   VpAdvise *advise = vp_advise_setup (last_serial);
 *   VpAdviceRequest request;
 *   if (vp_advise_request (advise, pool, step, queue, now_ms, &request))
 *     ... make the call ...
 *   vp_advise_handle_result (advise, worker_list, jobs, request.serial, rows, now_ms);
 *   vp_advise_shutdown (advise);
 *
 * The service answers one call at a time for each calling process, and its tickets expire. The
 * number of pending requests is therefore limited to those that will be answered soon. No I/O.
 */
#pragma once

#include "vp-place.h"

typedef struct _VpAdvise VpAdvise;

/* One call to the advice service. */
typedef struct {
  uint64_t serial;
  VpTaskName step;     /* name of any task of the step; its index isn't used */
  GPtrArray *workers;  /* char *: identities of the workers that the request is about; owned */
  int64_t expected_ms; /* expected duration of the call */
} VpAdviceRequest;

/* Returns an empty array (VpAdviceRow) that frees what its rows own. */
GArray *vp_advice_rows_new (void);
/* Returns an empty table of a worker's identity -> VpAdviceRow, with the key in the row, which
 * frees its rows and what they own. */
GHashTable *vp_advice_table_new (void);
/* Requests get the serials after @last_serial. */
VpAdvise *vp_advise_setup (uint64_t last_serial);
void vp_advise_shutdown (VpAdvise *advise);
/* Sets the number of processes that can make calls; the initial value is 1. */
void vp_advise_set_client_count (VpAdvise *advise, uint32_t count);
/* Decides whether to request advice for the waiting tasks of the step. Returns false if a request
 * for the step is pending, if too many are, or if no worker is a candidate. Otherwise fills in
 * @out, whose @workers the caller frees. */
bool vp_advise_request (VpAdvise *advise,
                        const VpPlacePool *pool,
                        VpJobStep *step,
                        const VpQueueConfig *queue,
                        int64_t now_ms,
                        VpAdviceRequest *out);
/* Applies the result of the request @serial. @rows holds a VpAdviceRow for each worker that the
 * service allows; it is NULL if the call failed. */
void vp_advise_handle_result (VpAdvise *advise,
                              const VpWorkerList *worker_list,
                              const VpJobList *jobs,
                              uint64_t serial,
                              const GArray *rows,
                              int64_t now_ms);
/* Drops requests whose result is overdue. */
void vp_advise_expire (VpAdvise *advise, const VpJobList *jobs, int64_t now_ms);
