#include "vp-fit.h"

static uint32_t
_add (VpFit *fit, int64_t cpu, int64_t mem, int64_t accel, uint32_t slots, uint32_t rack)
{
  uint32_t worker = vp_fit_add (fit, &(VpResources){ cpu, mem, accel }, slots, rack);

  vp_fit_set_open (fit, worker, true);
  return worker;
}

static uint32_t
_pick (VpFit *fit, int64_t cpu, int64_t mem, int64_t accel)
{
  return vp_fit_pick (fit, &(VpFitQuery){ .need = { cpu, mem, accel } });
}

/* Guards against picks that waste accelerators, ignore a dimension, slots or closed workers. */
static void
test_choice (void)
{
  VpFit *fit = vp_fit_new ();
  uint32_t large = _add (fit, 16000, 32000, 0, 8, 0);
  uint32_t small = _add (fit, 4000, 8000, 0, 8, 0);
  uint32_t accel = _add (fit, 4000, 8000, 2, 8, 1);
  uint32_t slotless = _add (fit, 64000, 64000, 4, 0, 1);

  g_assert_cmpuint (_pick (fit, 4000, 8000, 0), ==, small);
  g_assert_cmpuint (_pick (fit, 4001, 1, 0), ==, large);
  g_assert_cmpuint (_pick (fit, 1, 8001, 0), ==, large);
  g_assert_cmpuint (_pick (fit, 1, 1, 1), ==, accel);
  g_assert_cmpuint (_pick (fit, 1, 1, 3), ==, VP_FIT_NONE);
  vp_fit_set_open (fit, small, false);
  vp_fit_set_open (fit, large, false);
  g_assert_cmpuint (_pick (fit, 1, 1, 0), ==, accel);
  vp_fit_set_open (fit, large, true);
  g_assert_cmpuint (_pick (fit, 1, 1, 0), ==, large);
  vp_fit_remove (fit, large);
  vp_fit_remove (fit, accel);
  g_assert_cmpuint (_pick (fit, 1, 1, 0), ==, VP_FIT_NONE);
  g_assert_false (vp_fit_has_room (fit, slotless, &(VpResources){ 0 }));
  /* A number is used again, without anything of the worker it belonged to. */
  g_assert_cmpuint (_add (fit, 1, 1, 0, 1, 5), ==, accel);
  g_assert_cmpuint (_pick (fit, 1, 1, 0), ==, accel);
  g_assert_true (vp_fit_check (fit));
  vp_fit_free (fit);
}

/* Guards against all members of a job on one rack, and against a retry on the same worker. */
static void
test_spread_and_avoid (void)
{
  VpFit *fit = vp_fit_new ();
  uint32_t racks[8] = { 0 };

  for (uint32_t i = 0; i < 32; i++)
    _add (fit, 16000, 32000, 0, 8, i / 8);
  for (uint32_t i = 0; i < 8; i++) {
    VpFitQuery query = { .need = { 1000, 1000, 0 }, .is_spread = true, .racks = racks };
    uint32_t worker, uses = 0;

    query.rack_count = i;
    worker = vp_fit_pick (fit, &query);
    vp_fit_take (fit, worker, &query.need);
    racks[i] = worker / 8;
    for (uint32_t j = 0; j < i; j++)
      uses += racks[j] == racks[i];
    g_assert_cmpuint (uses, ==, i / 4);
  }
  for (uint32_t i = 0; i < 3; i++) {
    uint32_t worker = _pick (fit, 1000, 1000, 0);
    VpFitQuery query = { .need = { 1000, 1000, 0 }, .avoid = &worker, .avoid_count = 1 };

    g_assert_cmpuint (vp_fit_pick (fit, &query), !=, worker);
  }
  vp_fit_free (fit);
}

/* Guards against a miss although a worker has room, and against room that doesn't add up, over
 * random changes; compared with a linear search. */
static void
test_random (void)
{
  enum { WORKERS = 60, STEPS = 20000 };
  GRand *rand = g_rand_new_with_seed (7);
  VpFit *fit = vp_fit_new ();
  GArray *taken = g_array_new (FALSE, FALSE, sizeof (uint32_t[4]));

  for (uint32_t i = 0; i < WORKERS; i++)
    _add (fit, g_rand_int_range (rand, 1, 64), g_rand_int_range (rand, 1, 64),
          i % 3 == 0 ? g_rand_int_range (rand, 1, 80) : 0, 6, i / 8);
  for (int step = 0; step < STEPS; step++) {
    int accel = g_rand_int_range (rand, -60, 66);
    uint32_t size[4] = { (uint32_t)g_rand_int_range (rand, 0, 24),
                         (uint32_t)g_rand_int_range (rand, 0, 24), (uint32_t)MAX (accel, 0), 0 };
    VpResources need = { size[0], size[1], size[2] };

    if (g_rand_int_range (rand, 0, 5) < 3) {
      bool is_any = false;

      for (uint32_t i = 0; i < WORKERS; i++)
        is_any = is_any || (vp_fit_is_open (fit, i) && vp_fit_has_room (fit, i, &need));
      size[3] = vp_fit_pick (fit, &(VpFitQuery){ .need = need });
      g_assert_true (is_any == (size[3] != VP_FIT_NONE));
      if (is_any) {
        g_assert_true (vp_fit_has_room (fit, size[3], &need));
        vp_fit_take (fit, size[3], &need);
        g_array_append_val (taken, size);
      }
    } else if (taken->len > 0) {
      guint at = (guint)g_rand_int_range (rand, 0, (gint32)taken->len);
      const uint32_t *old = &g_array_index (taken, uint32_t, at * 4);

      vp_fit_give (fit, old[3], &(VpResources){ old[0], old[1], old[2] });
      g_array_remove_index_fast (taken, at);
    }
    if (step % 16 == 0)
      vp_fit_set_open (fit, (uint32_t)g_rand_int_range (rand, 0, WORKERS),
                       g_rand_int_range (rand, 0, 4) > 0);
    if (step % 64 == 0)
      g_assert_true (vp_fit_check (fit));
  }
  g_array_unref (taken);
  vp_fit_free (fit);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fit/choice", test_choice);
  g_test_add_func ("/fit/spread-and-avoid", test_spread_and_avoid);
  g_test_add_func ("/fit/random", test_random);
  return g_test_run ();
}
