/* Share of the commands that workers leave unanswered, and the times that follow from it for HOLDs.
 *
 *   VpHoldLoss loss = { 0 };
 *   vp_holdloss_record (&loss, is_unanswered, now_ms);
 *   if (vp_holdloss_is_lossy (&loss, &vp_holdpolicy_default, now_ms))
 *     ... shorter waits ...
 *
 * Load pattern: workers leave 5 to 10 % of all commands unanswered for some seconds and carry them
 * out later. A HOLD that waits at such a worker for the next end of a run is the only command by
 * which the scheduler learns of ends, so all ends there are known only after its time-out.
 *
 * No I/O. Zeroed memory is the initial state.
 */
#pragma once

#include "vp-types.h"

typedef struct {
  int64_t wait_ms;       /* time that a worker may delay its answer to a HOLD until a run ends */
  int64_t lossy_wait_ms; /* the same for a worker with tasks while commands are left unanswered,
                            and while an earlier HOLD is overdue */
  int64_t grace_ms; /* an answer that is later than its HOLD's wait by this is overdue; INT64_MAX:
                       no second HOLD is sent */
  int64_t lossy_grace_ms;  /* the same while commands are left unanswered */
  uint32_t lossy_permille; /* that holds from this share of unanswered commands on */
  uint32_t calm_permille;  /* and until the share is below this one */
} VpHoldPolicy;

/* A second HOLD when the first one is overdue, and shorter waits while commands are lost. */
extern const VpHoldPolicy vp_holdpolicy_default;
/* One HOLD at a time, for comparisons. */
extern const VpHoldPolicy vp_holdpolicy_single;

/* Sums of commands that decay with time. */
typedef struct {
  double count;
  double unanswered_count;
  int64_t updated_ms;
  bool is_lossy;
} VpHoldLoss;

/* Counts a command that was answered in time or that is overdue. */
void vp_holdloss_record (VpHoldLoss *loss, bool is_unanswered, int64_t now_ms);
/* Returns true while the share of unanswered commands is high. */
bool vp_holdloss_is_lossy (VpHoldLoss *loss, const VpHoldPolicy *policy, int64_t now_ms);
/* Returns the share of unanswered commands, in thousandths. */
uint32_t vp_holdloss_permille (const VpHoldLoss *loss);
