/* Beginnings and ends that tests of the simulated cell share.
 *
 *   World *world = _world_of_dcs (7);
 *   uint64_t job = world_submit (world, 0, &shape);
 *   _assert_completes (world, job, 2000);
 */
#pragma once

#include "world.h"

/* Six nodes and six workers in three DCs, with a leader. */
static inline World *
_world_of_dcs (uint32_t seed)
{
  World *world
      = world_new (&(WorldDesc){ .seed = seed, .node_count = 6, .worker_count = 6, .dc_count = 3 });

  world_run (world, 2000);
  g_assert_true (world_has_leader (world));
  return world;
}

static inline void
_assert_completes (World *world, uint64_t job, int64_t within_ms)
{
  int64_t end_ms = world_now_ms (world) + within_ms;

  while (world_now_ms (world) < end_ms && world_state (world, job) != VP_JOB_COMPLETED)
    world_run (world, 50);
  g_assert_cmpint (world_state (world, job), ==, VP_JOB_COMPLETED);
  g_assert_true (world_is_accepted (world, job));
}
