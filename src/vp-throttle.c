#include "vp-throttle.h"

/* Part of the target at which filling tasks are slowed, and below which they speed up again. */
#define VP_THROTTLE_HIGH 0.8
#define VP_THROTTLE_LOW  0.55
/* The workers' gauge covers half a second, so a change shows only after that. */
#define VP_THROTTLE_INTERVAL_MS 600
#define VP_THROTTLE_STEP        15 /* percent of one increase */
/* Above the target the tasks stand still at once; otherwise the pace is divided by this. */
#define VP_THROTTLE_DIVISOR 2

/* Highest tail of a serving task as a part of its target. */
static double
_vp_throttle_worst (const VpCellWorker *worker)
{
  GHashTableIter iter;
  gpointer key;
  double worst = 0;

  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    const VpJobTask *task = key;
    int64_t target_ms = task->step->spec->tail_latency_target_ms;
    if (target_ms > 0 && task->phase == VP_PHASE_RUNNING)
      worst = MAX (worst, (double)task->gauge / (double)target_ms);
  }
  return worst;
}

bool
vp_throttle_update (VpCellWorker *worker, int64_t now_ms, uint32_t *percent)
{
  uint32_t before = worker->throttle_percent;
  double worst;

  if (worker->best_effort_count == 0) {
    worker->throttle_percent = 100;
    return false;
  }
  worst = worker->latency_target_count == 0 ? 0 : _vp_throttle_worst (worker);
  if (now_ms - worker->throttled_ms < VP_THROTTLE_INTERVAL_MS)
    return false;
  if (worst >= 1)
    worker->throttle_percent = 0;
  else if (worst > VP_THROTTLE_HIGH)
    worker->throttle_percent = before / VP_THROTTLE_DIVISOR;
  else if (worst < VP_THROTTLE_LOW)
    worker->throttle_percent = MIN (before + VP_THROTTLE_STEP, 100);
  *percent = worker->throttle_percent;
  if (worker->throttle_percent == before)
    return false;
  worker->throttled_ms = now_ms;
  return true;
}
