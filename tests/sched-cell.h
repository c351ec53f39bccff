/* Scheduler with workers and teams for the tests of vp-sched.
 *
 *   Cell *cell = _cell_new_with (4, 0);
 *   _submit (cell, _job (cell, "a", "batch", 1000));
 *   vp_sched_decide (cell->sched, cell->now_ms, cell->decisions);
 *   _cell_free (cell);                      // checks the sums once more
 */
#pragma once

#include "vp-sched.h"

/* A scheduler with two teams, some profiles and equal workers w0, w1, ... of 16 processors, 32 GiB
 * and 8 slots, four to a rack. */
typedef struct {
  VpSched *sched;
  VpConfig *config;
  GArray *decisions;
  int64_t now_ms;
  uint64_t last_task;
} Cell;

static const VpProfile profiles[] = {
  { .name = "batch", .kind = VP_PROFILE_BATCH, .is_preemptible = true },
  { .name = "fixed", .kind = VP_PROFILE_BATCH, .tries_max = 2, .run_time_max_ms = 600000 },
  { .name = "gang", .kind = VP_PROFILE_GANG, .is_spread = true },
  { .name = "spread", .kind = VP_PROFILE_BATCH, .is_spread = true },
  { .name = "urgent", .kind = VP_PROFILE_SERVICE, .priority = 100 },
};

static inline VpSchedJob
_job (Cell *cell, const char *team, const char *profile, int64_t cpu)
{
  VpSchedJob job = { .task = { 1, ++cell->last_task }, .size = { cpu, cpu, 0 } };

  job.first_attempt = job.task_count = 1;
  job.is_repeatable = true;
  job.arrived_ms = cell->now_ms;
  g_strlcpy (job.team, team, sizeof job.team);
  g_strlcpy (job.profile, profile, sizeof job.profile);
  return job;
}

static inline void
_add_worker_with (Cell *cell, uint32_t i, int64_t accel_count)
{
  VpVm vm = { .size = { 16000, 32768, accel_count }, .slot_count = 8, .generation = 1 };

  g_snprintf (vm.name, sizeof vm.name, "w%u", i);
  g_snprintf (vm.rack, sizeof vm.rack, "r%u", i / 4);
  vp_sched_worker_update (cell->sched, &vm, cell->now_ms);
  vp_sched_worker_ready (cell->sched, vm.name, cell->now_ms);
}

static inline void
_add_worker (Cell *cell, uint32_t i)
{
  _add_worker_with (cell, i, 0);
}

static inline VpConfig *
_config (uint32_t queue_max, guint profile_count)
{
  static const char *const teams[] = { "a", "b" };
  VpConfig *config = vp_config_new_empty ();

  for (guint i = 0; i < G_N_ELEMENTS (teams); i++) {
    VpTeam team = { .share = 1, .limit = { 1000000, 1000000, 8 }, .queue_max = queue_max };

    g_strlcpy (team.name, teams[i], sizeof team.name);
    g_array_append_val (config->teams, team);
  }
  g_array_append_vals (config->profiles, profiles, profile_count);
  return config;
}

static inline Cell *
_cell_new_with (uint32_t worker_count, uint32_t decisions_max)
{
  Cell *cell = g_new0 (Cell, 1);

  cell->now_ms = 1000000;
  cell->sched = vp_sched_setup (&(VpSchedDesc){ .dc = "nadi", .decisions_max = decisions_max });
  cell->decisions = g_array_new (FALSE, FALSE, sizeof (VpDecision));
  cell->config = _config (0, G_N_ELEMENTS (profiles));
  vp_sched_set_config (cell->sched, cell->config, cell->now_ms);
  vp_sched_set_grant (cell->sched, "a", &(VpResources){ 1000000, 1000000, 8 }, cell->now_ms);
  vp_sched_set_grant (cell->sched, "b", &(VpResources){ 1000000, 1000000, 8 }, cell->now_ms);
  for (uint32_t i = 0; i < worker_count; i++)
    _add_worker (cell, i);
  return cell;
}

static inline void
_check (Cell *cell)
{
  char text[200] = "";

  if (!vp_sched_check (cell->sched, text, sizeof text))
    g_error ("%s", text);
}

static inline void
_cell_free (Cell *cell)
{
  _check (cell);
  vp_sched_shutdown (cell->sched);
  vp_config_unref (cell->config);
  g_array_unref (cell->decisions);
  g_free (cell);
}

static inline const VpDecision *
_decision (const Cell *cell, guint i)
{
  g_assert_cmpuint (i, <, cell->decisions->len);
  return &g_array_index (cell->decisions, VpDecision, i);
}

static inline VpReason
_submit (Cell *cell, VpSchedJob job)
{
  return vp_sched_submit (cell->sched, &job, cell->now_ms);
}
