#include "vp-workerspeed.h"

#include <glib.h>
#include <math.h>

/* Number of runs of a worker that weigh as much as its kind. Tasks of one step differ by some 0.35
 * of the logarithm, so that this many runs tell a worker of twice the speed from a usual one. */
#define VP_WORKERSPEED_KIND_RUNS 4.0
/* Number of runs that are remembered. */
#define VP_WORKERSPEED_RUNS_MAX 40.0
/* A run that differs by more than this from what is known counts as one that differs by this. Three
 * of a hundred tasks take seven times as long as their siblings. */
#define VP_WORKERSPEED_LOG_MAX 1.0
/* Weight of the assumption that a kind has the usual speed, in workers. */
#define VP_WORKERSPEED_USUAL_WEIGHT 0.25
/* The weight of a kind isn't reduced below this when workers leave, so that the ones that replace
 * them all at once begin with what was known. */
#define VP_WORKERSPEED_KIND_WEIGHT_MIN 1.0

static double
_vp_kindspeed_log (const VpKindSpeed *kind)
{
  return kind == NULL ? 0 : kind->log_sum / (kind->weight + VP_WORKERSPEED_USUAL_WEIGHT);
}

/* Returns the weight with which the worker counts for its kind. */
static double
_vp_workerspeed_share (const VpWorkerSpeed *speed)
{
  return speed->weight / (speed->weight + VP_WORKERSPEED_KIND_RUNS);
}

/* Adds the worker to its kind @sign times. */
static void
_vp_workerspeed_count (const VpWorkerSpeed *speed, double sign)
{
  double share = _vp_workerspeed_share (speed) * sign;

  if (speed->kind == NULL)
    return;
  speed->kind->weight += share;
  speed->kind->log_sum += share * speed->log_mean;
}

void
vp_workerspeed_set_kind (VpWorkerSpeed *speed, VpKindSpeed *kind)
{
  if (speed->kind == kind)
    return;
  _vp_workerspeed_count (speed, -1);
  speed->kind = kind;
  _vp_workerspeed_count (speed, 1);
}

void
vp_workerspeed_record (VpWorkerSpeed *speed, double log_ratio, double weight)
{
  double known = vp_workerspeed_log (speed);
  /* More runs than are remembered would move the mean beyond what they show. */
  double counted = MIN (weight, VP_WORKERSPEED_RUNS_MAX);
  double value = CLAMP (log_ratio, known - VP_WORKERSPEED_LOG_MAX, known + VP_WORKERSPEED_LOG_MAX);

  _vp_workerspeed_count (speed, -1);
  speed->weight = MIN (speed->weight + counted, VP_WORKERSPEED_RUNS_MAX);
  speed->log_mean += (value - speed->log_mean) * counted / speed->weight;
  _vp_workerspeed_count (speed, 1);
}

void
vp_workerspeed_weaken (VpWorkerSpeed *speed)
{
  _vp_workerspeed_count (speed, -1);
  speed->weight = MIN (speed->weight, VP_WORKERSPEED_KIND_RUNS);
  _vp_workerspeed_count (speed, 1);
}

void
vp_workerspeed_clear (VpWorkerSpeed *speed)
{
  VpKindSpeed *kind = speed->kind;
  double left;

  speed->kind = NULL;
  if (kind == NULL || kind->weight <= VP_WORKERSPEED_KIND_WEIGHT_MIN)
    return;
  left = MAX (kind->weight - _vp_workerspeed_share (speed), VP_WORKERSPEED_KIND_WEIGHT_MIN);
  kind->log_sum *= left / kind->weight;
  kind->weight = left;
}

double
vp_workerspeed_log (const VpWorkerSpeed *speed)
{
  return (speed->weight * speed->log_mean
          + VP_WORKERSPEED_KIND_RUNS * _vp_kindspeed_log (speed->kind))
         / (speed->weight + VP_WORKERSPEED_KIND_RUNS);
}

double
vp_workerspeed_slowness (const VpWorkerSpeed *speed)
{
  return exp (vp_workerspeed_log (speed));
}

void
vp_workerspeed_shift (VpWorkerSpeed *speed, double log_shift)
{
  speed->log_mean += log_shift;
}

void
vp_kindspeed_shift (VpKindSpeed *kind, double log_shift)
{
  kind->log_sum += log_shift * kind->weight;
}
