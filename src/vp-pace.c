#include "vp-pace.h"

/* Part of the target at which filling tasks are slowed, and below which they speed up again. */
#define VP_PACE_HIGH 0.8
#define VP_PACE_LOW  0.55
/* The workers' gauge covers half a second, so a change shows only after that. */
#define VP_PACE_INTERVAL_MS 600
#define VP_PACE_STEP        15 /* percent of one increase */
/* Above the target the tasks stand still at once; otherwise the pace is divided by this. */
#define VP_PACE_DIVISOR 2

/* Highest tail of a serving task as a part of its target. */
static double
_vp_pace_worst (const VpRosterWorker *worker)
{
  GHashTableIter iter;
  gpointer key;
  double worst = 0;

  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    const VpJobTask *task = key;
    int64_t target_ms = task->step->spec->tail_target_ms;
    if (target_ms > 0 && task->phase == VP_PHASE_RUNNING)
      worst = MAX (worst, (double)task->gauge / (double)target_ms);
  }
  return worst;
}

bool
vp_pace_update (VpRosterWorker *worker, int64_t now_ms, uint32_t *percent)
{
  uint32_t before = worker->pace_percent;
  double worst;

  if (worker->filling_count == 0) {
    worker->pace_percent = 100;
    return false;
  }
  worst = worker->serving_count == 0 ? 0 : _vp_pace_worst (worker);
  if (now_ms - worker->paced_ms < VP_PACE_INTERVAL_MS)
    return false;
  if (worst >= 1)
    worker->pace_percent = 0;
  else if (worst > VP_PACE_HIGH)
    worker->pace_percent = before / VP_PACE_DIVISOR;
  else if (worst < VP_PACE_LOW)
    worker->pace_percent = MIN (before + VP_PACE_STEP, 100);
  *percent = worker->pace_percent;
  if (worker->pace_percent == before)
    return false;
  worker->paced_ms = now_ms;
  return true;
}
