#include "vp-holdloss.h"

#include <math.h>

/* The sums halve in this time. A disturbance lasts for some ten seconds, and a small cell sends
 * only some ten commands a second. */
#define VP_HOLDLOSS_HALF_LIFE_MS 2000.0
/* Fewer unanswered commands than this are taken for single failures of workers. */
#define VP_HOLDLOSS_COUNT_MIN 2.5

const VpHoldPolicy vp_holdpolicy_default = { .wait_ms = 2000,
                                             .lossy_wait_ms = 500,
                                             .grace_ms = 400,
                                             .lossy_grace_ms = 250,
                                             .lossy_permille = 30,
                                             .calm_permille = 15 };

const VpHoldPolicy vp_holdpolicy_single = { .wait_ms = 2000,
                                            .lossy_wait_ms = 2000,
                                            .grace_ms = INT64_MAX,
                                            .lossy_grace_ms = INT64_MAX,
                                            .lossy_permille = 1001 };

static void
_vp_holdloss_decay (VpHoldLoss *loss, int64_t now_ms)
{
  double left;

  if (now_ms <= loss->updated_ms)
    return;
  left = exp2 ((double)(loss->updated_ms - now_ms) / VP_HOLDLOSS_HALF_LIFE_MS);
  loss->count *= left;
  loss->unanswered_count *= left;
  loss->updated_ms = now_ms;
}

void
vp_holdloss_record (VpHoldLoss *loss, bool is_unanswered, int64_t now_ms)
{
  _vp_holdloss_decay (loss, now_ms);
  loss->count++;
  loss->unanswered_count += is_unanswered ? 1 : 0;
}

uint32_t
vp_holdloss_permille (const VpHoldLoss *loss)
{
  return loss->count <= 0 ? 0 : (uint32_t)(1000 * loss->unanswered_count / loss->count);
}

bool
vp_holdloss_is_lossy (VpHoldLoss *loss, const VpHoldPolicy *policy, int64_t now_ms)
{
  uint32_t permille;

  _vp_holdloss_decay (loss, now_ms);
  permille = vp_holdloss_permille (loss);
  if (loss->is_lossy)
    loss->is_lossy = permille >= policy->calm_permille && loss->unanswered_count >= 1;
  else
    loss->is_lossy
        = permille >= policy->lossy_permille && loss->unanswered_count >= VP_HOLDLOSS_COUNT_MIN;
  return loss->is_lossy;
}
