/* When a process acts on the events that it handles. */
#include "vp-steppace.h"

#include <glib.h>

#define NOW_US G_GINT64_CONSTANT (1000000000)

/* Handles events that arrive every @interval_us, each of which takes @event_us, for a second. Each
 * step takes @step_us. Returns the number of steps, and the longest time between two of them in
 * @gap_us. */
static uint32_t
_run (int64_t interval_us, int64_t event_us, int64_t step_us, int64_t *gap_us)
{
  VpStepPace pace = { 0 };
  int64_t now_us = NOW_US;
  int64_t arrived_us = NOW_US;
  int64_t stepped_us = NOW_US;
  uint32_t steps = 0;

  *gap_us = 0;
  while (now_us < NOW_US + G_USEC_PER_SEC) {
    bool has_events;
    if (arrived_us <= now_us) {
      arrived_us += interval_us;
      now_us += event_us;
    }
    has_events = arrived_us <= now_us;
    if (!vp_steppace_is_due (&pace, has_events, now_us)) {
      now_us += has_events ? 0 : vp_steppace_pause_us (&pace, now_us);
      continue;
    }
    *gap_us = MAX (*gap_us, now_us - stepped_us);
    stepped_us = now_us + step_us;
    vp_steppace_note (&pace, now_us, stepped_us);
    now_us = stepped_us;
    steps++;
    if (arrived_us > now_us)
      now_us = arrived_us;
  }
  return steps;
}

/* Guards against a leader that neither decides nor pings while events arrive faster than it can
 * handle them. */
static void
test_events_without_end (void)
{
  int64_t gap_us;
  uint32_t steps = _run (100, 200, 1000, &gap_us);

  g_assert_cmpuint (steps, >=, 40);
  g_assert_cmpint (gap_us, <=, 21000);
}

/* Guards against decisions that use up the processor, as one is made after each event. */
static void
test_costly_steps (void)
{
  int64_t gap_us;
  uint32_t steps = _run (1000, 10, 1000, &gap_us);

  g_assert_cmpuint (steps, <=, 250);
  g_assert_cmpint (gap_us, <=, 10000);
}

/* Guards against latency where steps are cheap: each event is acted on at once. */
static void
test_cheap_steps (void)
{
  int64_t gap_us;
  uint32_t steps = _run (1000, 10, 50, &gap_us);

  g_assert_cmpuint (steps, >=, 990);
}

/* Guards against a long pause after a step during which the process was stopped. */
static void
test_interrupted_step (void)
{
  VpStepPace pace = { 0 };

  vp_steppace_note (&pace, NOW_US, NOW_US + 3 * G_USEC_PER_SEC);
  g_assert_true (vp_steppace_is_due (&pace, false, NOW_US + 3 * G_USEC_PER_SEC + 10000));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/steppace/events-without-end", test_events_without_end);
  g_test_add_func ("/steppace/costly-steps", test_costly_steps);
  g_test_add_func ("/steppace/cheap-steps", test_cheap_steps);
  g_test_add_func ("/steppace/interrupted-step", test_interrupted_step);
  return g_test_run ();
}
