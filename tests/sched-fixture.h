/* Scheduler with teams, profiles and workers for the tests of vp-sched.
 *
 *   Fixture *fixture = _fixture_new_with (4, 0);
 *   _submit (fixture, _job_spec (fixture, "a", "batch", 1000));
 *   vp_sched_decide (fixture->sched, fixture->now_ms, fixture->decisions);
 *   _fixture_free (fixture);   // checks the invariants once more
 */
#pragma once

#include "vp-sched.h"

/* A scheduler with the teams a and b, the profiles below and equal workers w0, w1, ... of 16
 * processors, 32 GiB and 8 slots, four to a rack. */
typedef struct {
  VpSched *sched;
  VpConfig *config;
  GArray *decisions; /* VpDecision */
  int64_t now_ms;
  uint64_t last_task;
} Fixture;

static const VpProfile profiles[] = {
  { .name = "batch", .kind = VP_PROFILE_BATCH, .is_preemptible = true },
  { .name = "fixed", .kind = VP_PROFILE_BATCH, .tries_max = 2, .run_time_max_ms = 600000 },
  { .name = "gang", .kind = VP_PROFILE_GANG, .is_spread = true },
  { .name = "spread", .kind = VP_PROFILE_BATCH, .is_spread = true },
  { .name = "urgent", .kind = VP_PROFILE_SERVICE, .priority = 100 },
};

static inline VpJobSpec
_job_spec (Fixture *fixture, const char *team, const char *profile, int64_t cpu)
{
  VpJobSpec job = { .task = { 1, ++fixture->last_task }, .size = { cpu, cpu, 0 } };

  job.first_attempt = job.task_count = 1;
  job.is_repeatable = true;
  job.arrived_ms = fixture->now_ms;
  g_strlcpy (job.team, team, sizeof job.team);
  g_strlcpy (job.profile, profile, sizeof job.profile);
  return job;
}

static inline void
_add_worker_with (Fixture *fixture, uint32_t i, int64_t accel_count)
{
  VpVm vm = { .size = { 16000, 32768, accel_count }, .slot_count = 8, .generation = 1 };

  g_snprintf (vm.name, sizeof vm.name, "w%u", i);
  g_snprintf (vm.rack, sizeof vm.rack, "r%u", i / 4);
  vp_sched_worker_update (fixture->sched, &vm, fixture->now_ms);
  vp_sched_worker_ready (fixture->sched, vm.name, fixture->now_ms);
}

static inline void
_add_worker (Fixture *fixture, uint32_t i)
{
  _add_worker_with (fixture, i, 0);
}

static inline VpConfig *
_new_config (uint32_t queue_max, guint profile_count)
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

static inline Fixture *
_fixture_new_with (uint32_t worker_count, uint32_t decisions_max)
{
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->now_ms = 1000000;
  fixture->sched = vp_sched_setup (&(VpSchedDesc){ .dc = "nadi", .decisions_max = decisions_max });
  fixture->decisions = g_array_new (FALSE, FALSE, sizeof (VpDecision));
  fixture->config = _new_config (0, G_N_ELEMENTS (profiles));
  vp_sched_set_config (fixture->sched, fixture->config, fixture->now_ms);
  vp_sched_set_grant (fixture->sched, "a", &(VpResources){ 1000000, 1000000, 8 }, fixture->now_ms);
  vp_sched_set_grant (fixture->sched, "b", &(VpResources){ 1000000, 1000000, 8 }, fixture->now_ms);
  for (uint32_t i = 0; i < worker_count; i++)
    _add_worker (fixture, i);
  return fixture;
}

static inline void
_check_invariants (Fixture *fixture)
{
  char text[200] = "";

  if (!vp_sched_check (fixture->sched, text, sizeof text))
    g_error ("%s", text);
}

static inline void
_fixture_free (Fixture *fixture)
{
  _check_invariants (fixture);
  vp_sched_shutdown (fixture->sched);
  vp_config_unref (fixture->config);
  g_array_unref (fixture->decisions);
  g_free (fixture);
}

static inline const VpDecision *
_decision (const Fixture *fixture, guint i)
{
  g_assert_cmpuint (i, <, fixture->decisions->len);
  return &g_array_index (fixture->decisions, VpDecision, i);
}

static inline VpReason
_submit (Fixture *fixture, VpJobSpec job)
{
  return vp_sched_submit (fixture->sched, &job, fixture->now_ms);
}
