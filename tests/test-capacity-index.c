#include "vp-capacity-index.h"

static uint32_t
_add (VpCapacityIndex *index,
      int64_t cpu,
      int64_t mem,
      int64_t accel,
      uint32_t slots,
      uint32_t rack)
{
  uint32_t worker = vp_capacity_index_add (index, &(VpResources){ cpu, mem, accel }, slots, rack);

  vp_capacity_index_set_open (index, worker, true);
  return worker;
}

static uint32_t
_pick (VpCapacityIndex *index, int64_t cpu, int64_t mem, int64_t accel)
{
  return vp_capacity_index_pick (index, &(VpCapacityQuery){ .need = { cpu, mem, accel } });
}

/* Guards against picks that waste accelerators, or ignore a dimension, the slots or that a worker
 * is closed. */
static void
test_choice (void)
{
  VpCapacityIndex *index = vp_capacity_index_new ();
  uint32_t large = _add (index, 16000, 32000, 0, 8, 0);
  uint32_t small = _add (index, 4000, 8000, 0, 8, 0);
  uint32_t accel = _add (index, 4000, 8000, 2, 8, 1);
  uint32_t slotless = _add (index, 64000, 64000, 4, 0, 1);

  g_assert_cmpuint (_pick (index, 4000, 8000, 0), ==, small);
  g_assert_cmpuint (_pick (index, 4001, 1, 0), ==, large);
  g_assert_cmpuint (_pick (index, 1, 8001, 0), ==, large);
  g_assert_cmpuint (_pick (index, 1, 1, 1), ==, accel);
  g_assert_cmpuint (_pick (index, 1, 1, 3), ==, VP_CAPACITY_INDEX_NONE);
  vp_capacity_index_set_open (index, small, false);
  vp_capacity_index_set_open (index, large, false);
  g_assert_cmpuint (_pick (index, 1, 1, 0), ==, accel);
  vp_capacity_index_set_open (index, large, true);
  g_assert_cmpuint (_pick (index, 1, 1, 0), ==, large);
  vp_capacity_index_remove (index, large);
  vp_capacity_index_remove (index, accel);
  g_assert_cmpuint (_pick (index, 1, 1, 0), ==, VP_CAPACITY_INDEX_NONE);
  g_assert_false (vp_capacity_index_fits (index, slotless, &(VpResources){ 0 }));
  /* The ID of a removed worker is used again, without the state of that worker. */
  g_assert_cmpuint (_add (index, 1, 1, 0, 1, 5), ==, accel);
  g_assert_cmpuint (_pick (index, 1, 1, 0), ==, accel);
  g_assert_true (vp_capacity_index_check (index));
  vp_capacity_index_free (index);
}

/* Guards against placing all members of a job on one rack, and picking an avoided worker. */
static void
test_spread_and_avoid (void)
{
  VpCapacityIndex *index = vp_capacity_index_new ();
  uint32_t racks[8] = { 0 };

  for (uint32_t i = 0; i < 32; i++)
    _add (index, 16000, 32000, 0, 8, i / 8);
  for (uint32_t i = 0; i < 8; i++) {
    VpCapacityQuery query = { .need = { 1000, 1000, 0 }, .is_spread = true, .racks = racks };
    uint32_t worker, uses = 0;

    query.rack_count = i;
    worker = vp_capacity_index_pick (index, &query);
    vp_capacity_index_allocate (index, worker, &query.need);
    racks[i] = worker / 8;
    for (uint32_t j = 0; j < i; j++)
      uses += racks[j] == racks[i];
    g_assert_cmpuint (uses, ==, i / 4);
  }
  for (uint32_t i = 0; i < 3; i++) {
    uint32_t worker = _pick (index, 1000, 1000, 0);
    VpCapacityQuery query = { .need = { 1000, 1000, 0 }, .avoid = &worker, .avoid_count = 1 };

    g_assert_cmpuint (vp_capacity_index_pick (index, &query), !=, worker);
  }
  vp_capacity_index_free (index);
}

/* Compares picks with a linear search over random changes. Guards against finding no worker
 * although one fits, and against wrong sums of free capacity. */
static void
test_random (void)
{
  enum { WORKERS = 60, STEPS = 20000 };
  GRand *rand = g_rand_new_with_seed (7);
  VpCapacityIndex *index = vp_capacity_index_new ();
  GArray *allocations = g_array_new (FALSE, FALSE, sizeof (uint32_t[4]));

  for (uint32_t i = 0; i < WORKERS; i++)
    _add (index, g_rand_int_range (rand, 1, 64), g_rand_int_range (rand, 1, 64),
          i % 3 == 0 ? g_rand_int_range (rand, 1, 80) : 0, 6, i / 8);
  for (int step = 0; step < STEPS; step++) {
    int accel = g_rand_int_range (rand, -60, 66);
    /* Processors, memory, accelerators, and the worker that they are allocated on. */
    uint32_t allocation[4]
        = { (uint32_t)g_rand_int_range (rand, 0, 24), (uint32_t)g_rand_int_range (rand, 0, 24),
            (uint32_t)MAX (accel, 0), 0 };
    VpResources need = { allocation[0], allocation[1], allocation[2] };

    if (g_rand_int_range (rand, 0, 5) < 3) {
      bool is_any = false;

      for (uint32_t i = 0; i < WORKERS; i++)
        is_any
            = is_any
              || (vp_capacity_index_is_open (index, i) && vp_capacity_index_fits (index, i, &need));
      allocation[3] = vp_capacity_index_pick (index, &(VpCapacityQuery){ .need = need });
      g_assert_true (is_any == (allocation[3] != VP_CAPACITY_INDEX_NONE));
      if (is_any) {
        g_assert_true (vp_capacity_index_fits (index, allocation[3], &need));
        vp_capacity_index_allocate (index, allocation[3], &need);
        g_array_append_val (allocations, allocation);
      }
    } else if (allocations->len > 0) {
      guint at = (guint)g_rand_int_range (rand, 0, (gint32)allocations->len);
      const uint32_t *old = &g_array_index (allocations, uint32_t, at * 4);

      vp_capacity_index_release (index, old[3], &(VpResources){ old[0], old[1], old[2] });
      g_array_remove_index_fast (allocations, at);
    }
    if (step % 16 == 0)
      vp_capacity_index_set_open (index, (uint32_t)g_rand_int_range (rand, 0, WORKERS),
                                  g_rand_int_range (rand, 0, 4) > 0);
    if (step % 64 == 0)
      g_assert_true (vp_capacity_index_check (index));
  }
  g_array_unref (allocations);
  vp_capacity_index_free (index);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/capacity-index/choice", test_choice);
  g_test_add_func ("/capacity-index/spread-and-avoid", test_spread_and_avoid);
  g_test_add_func ("/capacity-index/random", test_random);
  return g_test_run ();
}
