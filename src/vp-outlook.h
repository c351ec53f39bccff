/* Prospects of a job with waiting steps, from the forecast durations of its tasks. No I/O.
 *
 *   VpOutlook outlook;
 *   vp_outlook_update (&outlook, step, queue, forecast);
 *   if (now_ms - began_ms > outlook.slack_min_ms)
 *     ... the job may miss its objective although the step starts at once ...
 *
 * The objective of a job is a multiple of its longest chain of work plus a constant, so a job that
 * takes longer than expected has more time, too. With a multiple of 1.5, waiting and overheads may
 * take half of the chain and the constant. The unknown duration therefore counts with 0.5 and its
 * low end is the unfavourable one: taking a long duration against an objective from the expected
 * one would count nearly every job as late from the beginning (docs/design/overload.md has the
 * figures).
 */
#pragma once

#include "vp-cellconfig.h"
#include "vp-joblist.h"

/* A result has no value once the occurrence has taken more than this many times its objective. */
#define VP_OUTLOOK_WORTHLESS_FACTOR 3

/* Times count from the beginning of the occurrence. A step that starts by @slack_min_ms meets the
 * objective with a probability of about 0.9, by @slack_ms with 0.5, and by @slack_max_ms with 0.1.
 */
typedef struct {
  int64_t objective_ms; /* expected target for the duration of the occurrence */
  int64_t slack_min_ms;
  int64_t slack_ms;
  int64_t slack_max_ms;
  int64_t worthless_ms; /* three times the expected objective: the result has no value after it */
} VpOutlook;

/* Sets @out to the prospects of the job of a ready step. @forecast may be NULL: callers' estimates
 * are taken as durations. The durations are forecast once for each step. */
void vp_outlook_update (VpOutlook *out,
                        VpJobStep *step,
                        const VpQueueConfig *queue,
                        const VpForecast *forecast);

/* What an arriving job needs, see vp-admission.h. */
typedef struct {
  double work;      /* expected work of all tasks, in thousandths of a core times ms */
  int64_t chain_ms; /* expected time from its start to its end, with overheads */
  int64_t limit_ms; /* its result has no value after this time, with a probability of 0.9 */
} VpOutlookNeeds;

/* Sets @out to the needs of a job that hasn't been added to a list. */
void vp_outlook_measure_new (VpOutlookNeeds *out,
                             const VpJobSpec *spec,
                             const VpQueueConfig *queue,
                             const VpForecast *forecast);
