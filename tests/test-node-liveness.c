/* What may be concluded from silence: cases in which a peer that is silent, or off a list, is
 * alive.
 */
#include "cell-fixture.h"
#include "vp-log.h"
#include "world-fixture.h"

/* A draining worker behind a cut leaves the platform's list as its entry lapses, not because it has
 * exited: its runs go on until their leases are over. */
static void
test_draining_worker_behind_a_cut (void)
{
  for (uint32_t seed = 60; seed < 70; seed++) {
    World *world = _world_of_dcs (seed);
    uint32_t dc = (world_dc (world, world_leader (world)) + 1) % 3;

    world_submit (world, 0,
                  &(WorldJob){ .steps = 1, .width = 12, .cpu_milli = 5000, .work_ms = 15000 });
    world_run (world, 1000 + (seed - 60) * 130);
    /* Workers take turns over the DCs. */
    world_worker_drain (world, dc, 20000);
    world_worker_drain (world, dc + 3, 20000);
    world_run (world, 300);
    world_dc_cut (world, dc, 9000);
    world_run (world, 20000);
    world_free (world);
  }
}

/* The leader was told that the others' entries had lapsed, and is cut off before they are back. No
 * process that it knows of is silent, but another one leads. */
static void
test_leader_without_listed_others (void)
{
  World *world = _world_of_dcs (71);
  uint32_t leader = world_leader (world);

  world_submit (world, 0,
                &(WorldJob){ .steps = 1, .width = 12, .cpu_milli = 5000, .is_lasting = true });
  world_run (world, 1000);
  world_members_lapse (world, leader);
  world_run (world, 10);
  world_dc_cut (world, world_dc (world, leader), 30000);
  world_run (world, 35000);
  world_free (world);
}

/* A leader that stood still finds pings that were sent before it was cut off. */
static void
test_frozen_leader_behind_a_cut (void)
{
  World *world = _world_of_dcs (72);
  uint32_t leader = world_leader (world);

  world_submit (world, 0,
                &(WorldJob){ .steps = 1, .width = 12, .cpu_milli = 5000, .is_lasting = true });
  world_run (world, 1000);
  world_freeze (world, leader, 5000);
  world_run (world, 450);
  world_dc_cut (world, world_dc (world, leader), 30000);
  world_run (world, 35000);
  world_free (world);
}

/* A worker that starts again under its identity at another address is kept with that address: at
 * the old one another worker may answer, and a later scheduler would take this one as gone. */
static void
test_kept_address (void)
{
  Fixture fixture;
  VpWorkerEntry entry = _entry (0);

  _setup_cell (&fixture, &(VpCellDesc){ .fence = 7, .hold_max_ms = 6000, .keeps_roster = true }, 1,
               false);
  g_variant_unref (g_variant_ref_sink (vp_cell_stage_roster (fixture.cell, true, fixture.now_ms)));
  vp_cell_roster_durable (fixture.cell, fixture.now_ms);
  g_assert_false (vp_cell_has_unstaged_roster (fixture.cell));
  g_strlcpy (entry.address, "127.0.0.1:2", sizeof entry.address);
  vp_cell_worker (fixture.cell, &entry, fixture.now_ms);
  g_assert_true (vp_cell_has_unstaged_roster (fixture.cell));
  _teardown (&fixture);
}

/* Another worker answers at the address that the worker had before. */
static void
test_moved_worker (void)
{
  Fixture fixture;
  VpWorkerEntry entry = _entry (0);
  VpOrderResult result;
  VpJob *job;

  _setup (&fixture, 2, false);
  _sync (&fixture);
  job = _run_one (&fixture, 1000);
  result = _list (&fixture, job->runs[0].steps[0].tasks[0].worker->entry.id);
  result.outcome = VP_ORDER_OTHER_LIFE;
  fixture.now_ms += 10;
  g_strlcpy (entry.id, result.worker, sizeof entry.id);
  g_strlcpy (entry.address, "127.0.0.1:2", sizeof entry.address);
  vp_cell_worker (fixture.cell, &entry, fixture.now_ms);
  _take (&fixture, &result);
  fixture.now_ms += 500;
  _decide (&fixture);
  g_assert_cmpuint (job->out_count, ==, 1);
  g_assert_null (_find (&fixture, VP_ORDER_START));
  _teardown (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Shows the decisions. */
  if (g_getenv ("VP_LOG") != NULL)
    vp_log_setup ("world");
  g_test_add_func ("/node-silence/draining-worker-behind-a-cut", test_draining_worker_behind_a_cut);
  g_test_add_func ("/node-silence/leader-without-listed-others", test_leader_without_listed_others);
  g_test_add_func ("/node-silence/frozen-leader-behind-a-cut", test_frozen_leader_behind_a_cut);
  g_test_add_func ("/node-silence/kept-address", test_kept_address);
  g_test_add_func ("/node-silence/moved-worker", test_moved_worker);
  return g_test_run ();
}
