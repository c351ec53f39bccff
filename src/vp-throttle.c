#include "vp-throttle.h"

/* Tail latency, as a share of its target, above which best-effort tasks are slowed down. */
#define VP_THROTTLE_HIGH 0.8
/* Tail latency, as a share of its target, below which best-effort tasks are sped up again. */
#define VP_THROTTLE_LOW 0.55
/* Minimum time between two changes. The workers measure the tail latency over half a second, so a
 * change shows in it only after that. */
#define VP_THROTTLE_INTERVAL_MS 600
/* Additive increase of the share of the CPU. */
#define VP_THROTTLE_STEP_PERCENT 15
/* Divisor of the multiplicative decrease of the share of the CPU. Above the target the best-effort
 * tasks are paused at once instead. */
#define VP_THROTTLE_DIVISOR 2

/* Returns the highest tail latency of the worker's tasks with a target, as a share of the target.
 */
static double
_vp_throttle_worst_latency (const VpCellWorker *worker)
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
  worst = worker->latency_target_count == 0 ? 0 : _vp_throttle_worst_latency (worker);
  if (now_ms - worker->throttled_ms < VP_THROTTLE_INTERVAL_MS)
    return false;
  if (worst >= 1)
    worker->throttle_percent = 0;
  else if (worst > VP_THROTTLE_HIGH)
    worker->throttle_percent = before / VP_THROTTLE_DIVISOR;
  else if (worst < VP_THROTTLE_LOW)
    worker->throttle_percent = MIN (before + VP_THROTTLE_STEP_PERCENT, 100);
  *percent = worker->throttle_percent;
  if (worker->throttle_percent == before)
    return false;
  worker->throttled_ms = now_ms;
  return true;
}
