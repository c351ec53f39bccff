#include "vp-cell-private.h"
#include "vp-metrics.h"
#include "vp-place.h"

#include <string.h>

VpCommand *
_vp_cell_add_command (VpCell *cell, VpCellWorker *worker, VpCommandKind kind, GArray *effects)
{
  VpCellEffect *effect;

  g_array_set_size (effects, effects->len + 1);
  effect = &g_array_index (effects, VpCellEffect, effects->len - 1);
  memset (effect, 0, sizeof *effect);
  effect->kind = VP_CELL_COMMAND;
  effect->command.kind = kind;
  effect->command.fence = cell->desc.fence;
  effect->command.worker = g_strdup (worker->entry.id);
  g_strlcpy (effect->command.address, worker->entry.address, VP_ADDRESS_MAX);
  return &effect->command;
}

void
_vp_cell_send_start (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  VpCellWorker *worker = task->worker;
  VpCommand *command = _vp_cell_add_command (cell, worker, VP_COMMAND_START, effects);
  const char *ticket = vp_place_find_ticket (task->step, worker, now_ms);

  vp_jobtask_name (task, &command->task);
  command->run = task->run;
  command->text = g_strdup (task->step->occurrence->job->spec->text);
  command->expires_ms = now_ms + VP_COMMAND_START_EXPIRY_MS;
  command->lease_end_ms = vp_workerlist_extend_lease (cell->worker_list, worker, now_ms);
  vp_text_set (&command->checkpoint, task->checkpoint);
  vp_text_set (&command->ticket, ticket);
  task->start_tries++;
  task->start_sent_ms = now_ms;
  vp_metrics_add (VP_COUNTER_STARTS, 1);
}

void
_vp_cell_send_stop (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects)
{
  VpCommand *command = _vp_cell_add_command (cell, task->worker, VP_COMMAND_STOP, effects);

  task->phase = VP_PHASE_STOPPING;
  task->stop_sent_ms = now_ms;
  task->confirmed_ms = 0;
  vp_jobtask_name (task, &command->task);
  command->run = task->run;
}
