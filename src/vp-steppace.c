#include "vp-steppace.h"

#include <glib.h>

/* A step is due this long after the last one although more events wait. Pings of the leader are
 * 200 ms apart, and relays wait up to 800 ms for a sign of it. */
#define VP_STEPPACE_DELAY_MAX_US 20000
/* Pause after a step relative to its duration, so that steps take at most a quarter of the time. */
#define VP_STEPPACE_PAUSE_FACTOR 3
/* Maximum pause. A step that was interrupted lasts longer than it costs. */
#define VP_STEPPACE_PAUSE_MAX_US 10000

bool
vp_steppace_is_due (const VpStepPace *pace, bool has_events, int64_t now_us)
{
  return now_us >= (has_events ? pace->ended_us + VP_STEPPACE_DELAY_MAX_US : pace->pause_until_us);
}

int64_t
vp_steppace_pause_us (const VpStepPace *pace, int64_t now_us)
{
  return MAX (pace->pause_until_us - now_us, 0);
}

void
vp_steppace_note (VpStepPace *pace, int64_t began_us, int64_t ended_us)
{
  pace->ended_us = ended_us;
  pace->pause_until_us
      = ended_us + MIN ((ended_us - began_us) * VP_STEPPACE_PAUSE_FACTOR, VP_STEPPACE_PAUSE_MAX_US);
}
