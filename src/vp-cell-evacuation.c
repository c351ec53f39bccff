#include "vp-cell-private.h"
#include "vp-log.h"

/* Interval between log lines about steps that wait because of an evacuation. */
#define VP_CELL_WAITING_LOG_MS 1000

void
vp_cell_set_evacuated_dcs (VpCell *cell, const GPtrArray *dcs)
{
  vp_workerlist_set_evacuated_dcs (cell->worker_list, dcs);
  cell->has_evacuated_dcs = true;
}

bool
_vp_cell_knows_evacuations (const VpCell *cell)
{
  return cell->has_evacuated_dcs || !cell->desc.awaits_evacuations;
}

void
_vp_cell_log_waiting (VpCell *cell, uint32_t step_count, uint32_t task_count, int64_t now_ms)
{
  bool knows_evacuations = _vp_cell_knows_evacuations (cell);

  if ((knows_evacuations && step_count == 0) || now_ms < cell->waiting_log_next_ms)
    return;
  cell->waiting_log_next_ms = now_ms + VP_CELL_WAITING_LOG_MS;
  vp_log (now_ms, "steps-waiting", "why=%s steps=%u tasks=%u evacuated_dcs=%u",
          knows_evacuations ? "dc-evacuated" : "evacuations-unknown", step_count, task_count,
          g_hash_table_size (cell->worker_list->evacuated_dcs));
}
