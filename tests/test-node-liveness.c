/* Processes and workers that are silent, or missing from a list, but still alive. */
#include "cell-fixture.h"
#include "vp-log.h"
#include "world-fixture.h"

/* Guards against taking a draining worker as gone when its entry expires. In a DC that is cut off
 * the entry of a draining worker expires although the worker has not exited: its tasks run on until
 * their leases end. */
static void
test_draining_worker_in_partition (void)
{
  for (uint32_t seed = 60; seed < 70; seed++) {
    World *world = _world_of_dcs (seed);
    uint32_t dc = (world_dc (world, world_leader (world)) + 1) % 3;

    world_submit (world, 0,
                  &(WorldJob){ .steps = 1, .width = 12, .cpu_milli = 5000, .work_ms = 15000 });
    world_run (world, 1000 + (seed - 60) * 130);
    /* Workers are assigned to DCs in turn. */
    world_worker_drain (world, dc, 20000);
    world_worker_drain (world, dc + 3, 20000);
    world_run (world, 300);
    world_dc_cut (world, dc, 9000);
    world_run (world, 20000);
    world_free (world);
  }
}

/* Guards against a leader that grants leases although it can't reach anyone. It has seen the
 * entries of all other processes expire, and is cut off before they are listed again. No process
 * that it knows is silent, but another one becomes leader. */
static void
test_leader_without_listed_others (void)
{
  World *world = _world_of_dcs (71);
  uint32_t leader = world_leader (world);

  world_submit (world, 0,
                &(WorldJob){ .steps = 1, .width = 12, .cpu_milli = 5000, .is_long_running = true });
  world_run (world, 1000);
  world_members_lapse (world, leader);
  world_run (world, 10);
  world_dc_cut (world, world_dc (world, leader), 30000);
  world_run (world, 35000);
  world_free (world);
}

/* Guards against a leader that was frozen and then takes pings sent before it was cut off as a sign
 * that it still leads. */
static void
test_frozen_leader_in_partition (void)
{
  World *world = _world_of_dcs (72);
  uint32_t leader = world_leader (world);

  world_submit (world, 0,
                &(WorldJob){ .steps = 1, .width = 12, .cpu_milli = 5000, .is_long_running = true });
  world_run (world, 1000);
  world_freeze (world, leader, 5000);
  world_run (world, 450);
  world_dc_cut (world, world_dc (world, leader), 30000);
  world_run (world, 35000);
  world_free (world);
}

/* Guards against a stored address that is out of date. A worker that restarts with the same
 * identity at another address must be stored with the new address. Another worker may answer at the
 * old one, and a later scheduler would conclude that this worker is gone. */
static void
test_stored_address (void)
{
  Fixture fixture;
  VpWorkerEntry entry = _worker_entry (0);

  _setup_cell (&fixture, &(VpCellDesc){ .fence = 7, .hold_max_ms = 6000, .stores_workers = true },
               1, false);
  g_variant_unref (g_variant_ref_sink (vp_cell_stage_workers (fixture.cell, true, fixture.now_ms)));
  vp_cell_workers_durable (fixture.cell, fixture.now_ms);
  g_assert_false (vp_cell_has_unstaged_workers (fixture.cell));
  g_strlcpy (entry.address, "127.0.0.1:2", sizeof entry.address);
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  g_assert_true (vp_cell_has_unstaged_workers (fixture.cell));
  _teardown (&fixture);
}

/* Guards against restarting the tasks of a worker that has moved to another address. Another worker
 * answers at its previous address, which doesn't mean that the first one is gone. */
static void
test_moved_worker (void)
{
  Fixture fixture;
  VpWorkerEntry entry = _worker_entry (0);
  VpCommandResult result;
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  result = _hold_result (&fixture, job->occurrences[0].steps[0].tasks[0].worker->entry.id);
  result.outcome = VP_COMMAND_WORKER_REPLACED;
  fixture.now_ms += 10;
  g_strlcpy (entry.id, result.worker, sizeof entry.id);
  g_strlcpy (entry.address, "127.0.0.1:2", sizeof entry.address);
  vp_cell_worker_listed (fixture.cell, &entry, fixture.now_ms);
  _apply (&fixture, &result);
  fixture.now_ms += 500;
  _decide (&fixture);
  g_assert_cmpuint (job->assigned_count, ==, 1);
  g_assert_null (_find_command (&fixture, VP_COMMAND_START));
  _teardown (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Prints the decision log. */
  if (g_getenv ("VP_LOG") != NULL)
    vp_log_setup ("world");
  g_test_add_func ("/node-liveness/draining-worker-in-partition",
                   test_draining_worker_in_partition);
  g_test_add_func ("/node-liveness/leader-without-listed-others",
                   test_leader_without_listed_others);
  g_test_add_func ("/node-liveness/frozen-leader-in-partition", test_frozen_leader_in_partition);
  g_test_add_func ("/node-liveness/stored-address", test_stored_address);
  g_test_add_func ("/node-liveness/moved-worker", test_moved_worker);
  return g_test_run ();
}
