#include "vp-outlook.h"

#include <math.h>
#include <string.h>

/* Time that a step takes beside its tasks and its advice: the commit, the start, and ends that are
 * reported up to VP_CELL_HOLD_INTERVAL_MIN_MS later. The replay of an overload with 200 ms of
 * overhead gives the same figures for 0 to 200 here, to within 0.03 of the value. */
#define VP_OUTLOOK_STEP_MS 100
/* Number of workers in a typical advice request, see VP_PLACE_CANDIDATES_MIN. */
#define VP_OUTLOOK_ADVICE_WORKERS 8

/* Longest chain of steps from one step on. */
typedef struct {
  double p50_ms;
  double variance; /* of the duration, from the upper half of the range; in multiples of the
                      distance between p50 and p90 */
  uint32_t step_count;
} VpOutlookChain;

/* Sets @step and @task to the durations of the whole step and of one of its tasks. */
static void
_vp_outlook_forecast_step (const VpForecast *forecast,
                           const VpForecastKey *key,
                           VpForecastRange *step,
                           VpForecastRange *task)
{
  if (forecast == NULL) {
    *step = (VpForecastRange){ .p50_ms = key->estimate_ms, .p90_ms = key->estimate_ms };
    *task = *step;
    return;
  }
  vp_forecast_step (forecast, key, step);
  vp_forecast_task (forecast, key, task);
}

/* Sets @chains to the longest chains from each step, of which @ranges has the durations. */
static void
_vp_outlook_sum_chains (const VpJobSpec *spec,
                        const VpForecastRange *ranges,
                        VpOutlookChain *chains)
{
  memset (chains, 0, spec->step_count * sizeof *chains);
  /* A step comes after the steps that it depends on, so in reverse order all dependents of a step
   * have been processed before it. */
  for (uint32_t s = spec->step_count; s-- > 0;) {
    const GArray *after = spec->steps[s].after;
    chains[s].p50_ms += (double)ranges[s].p50_ms;
    chains[s].variance += pow ((double)MAX (ranges[s].p90_ms - ranges[s].p50_ms, 0), 2);
    chains[s].step_count++;
    for (guint i = 0; after != NULL && i < after->len; i++) {
      VpOutlookChain *before = &chains[g_array_index (after, uint32_t, i)];
      if (chains[s].p50_ms > before->p50_ms)
        *before = chains[s];
    }
  }
}

/* Returns the factor by which the p90 of the chain is above its p50. Durations are skewed: the p10
 * is below the p50 by about the same factor. */
static double
_vp_outlook_spread (const VpOutlookChain *chain)
{
  return 1 + sqrt (chain->variance) / MAX (chain->p50_ms, 1);
}

/* Sets the duration of each ended step in @ranges. */
static void
_vp_outlook_measure_ended (const VpJobOccurrence *occurrence, VpForecastRange *ranges)
{
  for (uint32_t s = 0; s < occurrence->job->spec->step_count; s++) {
    const VpJobStep *step = &occurrence->steps[s];
    if (step->waiting_count + step->assigned_count > 0)
      continue;
    /* Not all durations are recorded, see _vp_reconcile_is_measured(). */
    ranges[s].p50_ms = ranges[s].p90_ms
        = step->duration_max_ms > 0 ? step->duration_max_ms : step->spec->estimate_ms;
  }
}

/* Returns the longest of the chains from all steps. */
static double
_vp_outlook_longest_ms (const VpOutlookChain *chains, uint32_t step_count)
{
  double longest_ms = 0;

  for (uint32_t s = 0; s < step_count; s++)
    longest_ms = MAX (longest_ms, chains[s].p50_ms);
  return longest_ms;
}

/* Sets the forecast of the longest chain from the step on. */
static void
_vp_outlook_forecast_chain (VpJobStep *step, const VpForecast *forecast)
{
  const VpJobOccurrence *occurrence = step->occurrence;
  const VpJobSpec *spec = occurrence->job->spec;
  VpForecastRange ranges[VP_JOBSPEC_STEPS_MAX] = { 0 };
  VpOutlookChain chains[VP_JOBSPEC_STEPS_MAX];
  const VpOutlookChain *chain = &chains[step->index];
  double spread;

  for (uint32_t s = 0; s < spec->step_count; s++) {
    const VpJobStep *other = &occurrence->steps[s];
    VpForecastKey key;
    VpForecastRange task;
    if (other->waiting_count + other->assigned_count == 0)
      continue;
    vp_jobstep_forecast_key (other, &key);
    _vp_outlook_forecast_step (forecast, &key, &ranges[s], &task);
    if (s == step->index)
      step->chain.task_ms = task.p50_ms;
  }
  /* Steps after this one haven't ended, so the ended ones aren't in its chain. */
  _vp_outlook_measure_ended (occurrence, ranges);
  _vp_outlook_sum_chains (spec, ranges, chains);
  spread = _vp_outlook_spread (chain);
  step->chain.p50_ms = (int64_t)chain->p50_ms;
  step->chain.step_count = chain->step_count;
  step->chain.low_ms = (int64_t)(chain->p50_ms / spread);
  step->chain.high_ms = (int64_t)(chain->p50_ms * spread);
  step->chain.other_ms
      = (int64_t)(_vp_outlook_longest_ms (chains, spec->step_count) - chain->p50_ms);
}

/* Returns the time of a typical call to the advice service. */
static double
_vp_outlook_advice_ms (const VpQueueConfig *queue)
{
  return queue->has_advice
             ? queue->advice_decide_ms + VP_OUTLOOK_ADVICE_WORKERS * queue->advice_worker_ms
             : 0;
}

/* Returns the time that a chain takes beside its tasks. Advice that a step has already got isn't
 * deducted, as the step would then come after others for which there is none. */
static double
_vp_outlook_overhead_ms (uint32_t step_count, const VpQueueConfig *queue)
{
  return step_count * (VP_OUTLOOK_STEP_MS + _vp_outlook_advice_ms (queue));
}

void
vp_outlook_update (VpOutlook *out,
                   VpJobStep *step,
                   const VpQueueConfig *queue,
                   const VpForecast *forecast)
{
  const VpChainForecast *chain = &step->chain;
  double fixed_ms, share;

  /* Advice and reservations are made for the first steps of the order, so it has to be stable: with
   * a new forecast every 250 ms wide tasks waited 10.5 s in the replay of test-reservation, and 8.8
   * s with one forecast for each step. */
  if (!chain->is_made) {
    _vp_outlook_forecast_chain (step, forecast);
    step->chain.is_made = true;
  }
  share = queue->stretch - 1;
  fixed_ms = (double)queue->latency_target_ms + queue->stretch * (double)chain->other_ms
             - _vp_outlook_overhead_ms (chain->step_count, queue);
  out->objective_ms = queue->latency_target_ms
                      + (int64_t)(queue->stretch * (double)(chain->other_ms + chain->p50_ms));
  out->slack_min_ms
      = (int64_t)(fixed_ms + share * (double)(share > 0 ? chain->low_ms : chain->high_ms));
  out->slack_ms = (int64_t)(fixed_ms + share * (double)chain->p50_ms);
  out->slack_max_ms
      = (int64_t)(fixed_ms + share * (double)(share > 0 ? chain->high_ms : chain->low_ms));
  out->worthless_ms = VP_OUTLOOK_WORTHLESS_FACTOR * out->objective_ms;
}

void
vp_outlook_measure_new (VpOutlookNeeds *out,
                        const VpJobSpec *spec,
                        const VpQueueConfig *queue,
                        const VpForecast *forecast)
{
  VpForecastRange ranges[VP_JOBSPEC_STEPS_MAX] = { 0 };
  VpOutlookChain chains[VP_JOBSPEC_STEPS_MAX];
  VpOutlookChain longest = { 0 };

  *out = (VpOutlookNeeds){ 0 };
  for (uint32_t s = 0; s < spec->step_count; s++) {
    const VpStepSpec *step = &spec->steps[s];
    VpForecastKey key = { .queue = spec->queue,
                          .team = spec->team,
                          .image = step->image,
                          .task_count = step->task_count,
                          .size = step->size,
                          .estimate_ms = step->estimate_ms };
    VpForecastRange task;
    _vp_outlook_forecast_step (forecast, &key, &ranges[s], &task);
    out->work += (double)step->task_count * (double)step->size.cpu_milli * (double)task.p50_ms;
  }
  _vp_outlook_sum_chains (spec, ranges, chains);
  for (uint32_t s = 0; s < spec->step_count; s++) {
    if (chains[s].p50_ms > longest.p50_ms)
      longest = chains[s];
  }
  out->chain_ms = (int64_t)(longest.p50_ms + _vp_outlook_overhead_ms (longest.step_count, queue));
  out->limit_ms = (int64_t)(VP_OUTLOOK_WORTHLESS_FACTOR
                            * ((double)queue->latency_target_ms
                               + queue->stretch * longest.p50_ms * _vp_outlook_spread (&longest)));
}
