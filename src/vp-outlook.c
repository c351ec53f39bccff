#include "vp-outlook.h"

#include <math.h>

/* Time for which the forecast of a step is reused. A placement follows every few milliseconds and
 * looks at hundreds of steps, while forecasts change slowly. */
#define VP_OUTLOOK_REFRESH_MS 250
/* Time that a step takes beside its tasks and its advice: the commit, the start, and ends that are
 * reported up to VP_CELL_HOLD_INTERVAL_MIN_MS later. The replay of an overload with 200 ms of
 * overhead gives the same figures for 0 to 200 here, to within 0.03 of the value. */
#define VP_OUTLOOK_STEP_MS 100
/* Number of workers in a typical advice request, see VP_PLACE_CANDIDATES_MIN. */
#define VP_OUTLOOK_ADVICE_WORKERS 8
/* A result has no value once the occurrence has taken more than this many times its objective. */
#define VP_OUTLOOK_WORTHLESS_FACTOR 3

/* Longest chain of steps from one step on. */
typedef struct {
  double p50_ms;
  double variance; /* of the duration, from the upper half of the range; in multiples of the
                      distance between p50 and p90 */
  uint32_t step_count;
} VpOutlookChain;

static void
_vp_outlook_forecast_step (const VpJobStep *step, const VpForecast *forecast, VpForecastRange *out)
{
  VpForecastKey key;

  if (forecast == NULL) {
    out->p50_ms = out->p90_ms = step->spec->estimate_ms;
    return;
  }
  vp_jobstep_forecast_key (step, &key);
  vp_forecast_step (forecast, &key, out);
}

/* Sets the forecast of the longest chain from the step on, and of the work of the job. */
static void
_vp_outlook_forecast_chain (VpJobStep *step, const VpForecast *forecast)
{
  const VpJobOccurrence *occurrence = step->occurrence;
  VpOutlookChain chains[VP_JOBSPEC_STEPS_MAX] = { 0 };
  double spread;

  step->chain.work = 0;
  /* A step comes after the steps that it depends on, so in reverse order all dependents of a step
   * have been processed before it. */
  for (uint32_t s = occurrence->job->spec->step_count; s-- > 0;) {
    const VpJobStep *other = &occurrence->steps[s];
    const GArray *after = other->spec->after;
    VpForecastRange range;
    if (other->waiting_count + other->assigned_count == 0)
      continue;
    _vp_outlook_forecast_step (other, forecast, &range);
    step->chain.work += (double)other->waiting_count * (double)other->spec->size.cpu_milli
                        * (double)range.p50_ms;
    chains[s].p50_ms += (double)range.p50_ms;
    chains[s].variance += pow ((double)MAX (range.p90_ms - range.p50_ms, 0), 2);
    chains[s].step_count++;
    for (guint i = 0; after != NULL && i < after->len; i++) {
      VpOutlookChain *before = &chains[g_array_index (after, uint32_t, i)];
      if (chains[s].p50_ms > before->p50_ms)
        *before = chains[s];
    }
  }
  step->chain.p50_ms = (int64_t)chains[step->index].p50_ms;
  step->chain.step_count = chains[step->index].step_count;
  /* Durations are skewed: the p10 is below the p50 by about the factor by which the p90 is above.
   */
  spread = 1 + sqrt (chains[step->index].variance) / MAX (chains[step->index].p50_ms, 1);
  step->chain.low_ms = (int64_t)(chains[step->index].p50_ms / spread);
  step->chain.high_ms = (int64_t)(chains[step->index].p50_ms * spread);
}

/* Sets the length of the longest chain of steps that have ended before the step. */
static void
_vp_outlook_measure_done (VpJobStep *step)
{
  int64_t ends_ms[VP_JOBSPEC_STEPS_MAX] = { 0 };

  for (uint32_t s = 0; s <= step->index; s++) {
    const VpJobStep *other = &step->occurrence->steps[s];
    const GArray *after = other->spec->after;
    for (guint i = 0; after != NULL && i < after->len; i++)
      ends_ms[s] = MAX (ends_ms[s], ends_ms[g_array_index (after, uint32_t, i)]);
    if (s == step->index)
      break;
    /* Durations of runs under an earlier scheduler aren't known. */
    ends_ms[s] += other->duration_max_ms > 0 ? other->duration_max_ms : other->spec->estimate_ms;
  }
  step->chain.done_ms = ends_ms[step->index];
}

/* Returns the time that the chain takes beside its tasks. */
static double
_vp_outlook_overhead_ms (const VpJobStep *step, const VpQueueConfig *queue, int64_t now_ms)
{
  double advice_ms = queue->has_advice ? queue->advice_decide_ms
                                             + VP_OUTLOOK_ADVICE_WORKERS * queue->advice_worker_ms
                                       : 0;

  return step->chain.step_count * (VP_OUTLOOK_STEP_MS + advice_ms)
         - (now_ms < step->tickets_expire_ms ? advice_ms : 0);
}

void
vp_outlook_update (VpOutlook *out,
                   VpJobStep *step,
                   const VpQueueConfig *queue,
                   const VpForecast *forecast,
                   int64_t now_ms)
{
  const VpChainForecast *chain = &step->chain;
  double fixed_ms, share, worthless_fixed_ms;

  if (chain->forecast_ms == 0 || now_ms - chain->forecast_ms >= VP_OUTLOOK_REFRESH_MS) {
    _vp_outlook_forecast_chain (step, forecast);
    _vp_outlook_measure_done (step);
    step->chain.forecast_ms = now_ms;
  }
  share = queue->stretch - 1;
  fixed_ms = (double)queue->latency_target_ms + queue->stretch * (double)chain->done_ms
             - _vp_outlook_overhead_ms (step, queue, now_ms);
  worthless_fixed_ms
      = VP_OUTLOOK_WORTHLESS_FACTOR
        * ((double)queue->latency_target_ms + queue->stretch * (double)chain->done_ms);
  out->slack_min_ms
      = (int64_t)(fixed_ms + share * (double)(share > 0 ? chain->low_ms : chain->high_ms));
  out->slack_ms = (int64_t)(fixed_ms + share * (double)chain->p50_ms);
  out->slack_max_ms
      = (int64_t)(fixed_ms + share * (double)(share > 0 ? chain->high_ms : chain->low_ms));
  out->worthless_ms
      = (int64_t)(worthless_fixed_ms
                  + VP_OUTLOOK_WORTHLESS_FACTOR * queue->stretch * (double)chain->high_ms);
  out->objective_ms = (int64_t)((double)queue->latency_target_ms
                                + queue->stretch * (double)(chain->done_ms + chain->p50_ms));
  out->work = chain->work;
}
