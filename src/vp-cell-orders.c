#include "vp-cell-private.h"
#include "vp-metrics.h"
#include "vp-place.h"

#include <string.h>

VpOrder *
_vp_cell_order (VpCell *cell, VpRosterWorker *worker, VpOrderKind kind, GArray *effects)
{
  VpCellEffect *effect;

  g_array_set_size (effects, effects->len + 1);
  effect = &g_array_index (effects, VpCellEffect, effects->len - 1);
  memset (effect, 0, sizeof *effect);
  effect->kind = VP_CELL_ORDER;
  effect->order.kind = kind;
  effect->order.fence = cell->desc.fence;
  g_strlcpy (effect->order.worker, worker->entry.id, VP_NAME_MAX);
  g_strlcpy (effect->order.address, worker->entry.address, VP_ADDRESS_MAX);
  return &effect->order;
}

void
_vp_cell_order_start (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  VpRosterWorker *worker = task->worker;
  VpOrder *order = _vp_cell_order (cell, worker, VP_ORDER_START, effects);
  const char *ticket = vp_place_ticket (task->step, worker, now_ms);

  vp_jobtask_name (task, &order->task);
  order->run = task->run;
  order->text = g_strdup (task->step->run->job->spec->text);
  order->lease_end_ms = vp_roster_lease (cell->roster, worker, now_ms);
  g_strlcpy (order->checkpoint, task->checkpoint, sizeof order->checkpoint);
  if (ticket != NULL)
    g_strlcpy (order->ticket, ticket, sizeof order->ticket);
  task->start_tries++;
  task->ordered_ms = now_ms;
  vp_metrics_add (VP_COUNTER_STARTS, 1);
}

void
_vp_cell_order_stop (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  VpOrder *order = _vp_cell_order (cell, task->worker, VP_ORDER_STOP, effects);

  task->phase = VP_PHASE_STOPPING;
  task->stop_sent_ms = now_ms;
  task->confirmed_ms = 0;
  vp_jobtask_name (task, &order->task);
  order->run = task->run;
}
