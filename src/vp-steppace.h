/* When a process that handles events acts on them.
 *
 *   VpStepPace pace = { 0 };
 *   ... handle a batch of events ...
 *   if (vp_steppace_is_due (&pace, has_more_events, now_us)) {
 *     ... act: decide, send commands and pings, commit ...
 *     vp_steppace_note (&pace, now_us, end_us);
 *   } else if (!has_more_events) {
 *     ... sleep for vp_steppace_pause_us (&pace, now_us) ...
 *   }
 *
 * Load pattern: the leader of a large cell gets thousands of events a second, and one decision
 * costs about a millisecond, as it looks at all workers and all waiting steps. If it decided after
 * each event, decisions would use up its processor. If it decided only once no event waits, it
 * would neither decide nor ping under a load that never lets it catch up.
 *
 * Zeroed memory is the initial state: a step is due at once. No I/O.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
  int64_t ended_us;       /* end of the last step */
  int64_t pause_until_us; /* events are collected until this time */
} VpStepPace;

/* Returns true if the process has to act now. @has_events tells whether more events wait. */
bool vp_steppace_is_due (const VpStepPace *pace, bool has_events, int64_t now_us);
/* Returns the time until a step is due if no more events wait; 0: now. */
int64_t vp_steppace_pause_us (const VpStepPace *pace, int64_t now_us);
/* Notes a step that lasted from @began_us to @ended_us. */
void vp_steppace_note (VpStepPace *pace, int64_t began_us, int64_t ended_us);
