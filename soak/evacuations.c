#include "evacuations.h"

#define GAP_MIN_MS      500 /* time between a withdrawal and the next request */
#define GAP_MAX_MS      5000
#define DURATION_MIN_MS 1000
#define DURATION_MAX_MS 15000

static struct {
  Soak *soak;
  GRand *rand; /* of its own, so that the faults of a seed don't depend on evacuations */
  int64_t end_ms;
  uint32_t dc;
} _run;

static void _request (void *data);

static void
_put (bool is_on)
{
  char dc[VP_NAME_MAX];
  g_autofree char *key = NULL;

  g_snprintf (dc, sizeof dc, "dc-%u", _run.dc);
  key = g_strconcat ("op/evacuate/", dc, NULL);
  soak_log ("evacuation dc=%s is_on=%d", dc, is_on);
  soak_store_put (_run.soak->store, key, is_on ? "{}" : NULL);
  simcell_evacuations_set (&_run.soak->evacuations, dc, is_on, fake_now_ms ());
}

static void
_withdraw (void *data)
{
  (void)data;
  _put (false);
  fake_timer_add (fake_now_ms () + g_rand_int_range (_run.rand, GAP_MIN_MS, GAP_MAX_MS), _request,
                  NULL);
}

static void
_request (void *data)
{
  int64_t now_ms = fake_now_ms ();
  int64_t until_ms = now_ms + g_rand_int_range (_run.rand, DURATION_MIN_MS, DURATION_MAX_MS);

  (void)data;
  if (now_ms >= _run.end_ms)
    return;
  _run.dc = (uint32_t)g_rand_int_range (_run.rand, 0, SOAK_DCS);
  _put (true);
  fake_timer_add (MIN (until_ms, _run.end_ms), _withdraw, NULL);
}

void
soak_evacuations_start (Soak *soak, int64_t begin_ms, int64_t end_ms)
{
  _run.soak = soak;
  _run.rand = g_rand_new_with_seed (soak->seed);
  _run.end_ms = end_ms;
  fake_timer_add (begin_ms + g_rand_int_range (_run.rand, GAP_MIN_MS, GAP_MAX_MS), _request, NULL);
}
