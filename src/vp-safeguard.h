/* Switches a safety mechanism off, in test builds only (VP_SWITCHES), so that a test can show that
 * it fails without the mechanism.
 *
 *   if (!vp_safeguard_is_disabled (VP_SAFEGUARD_INTENT))
 *     write the intent first
 *
 * In all other builds the answer is a constant, and no mechanism can be switched off.
 */
#pragma once

#include <stdbool.h>

typedef enum {
  VP_SAFEGUARD_FIT,      /* capacity is checked for each placement */
  VP_SAFEGUARD_RECOVERY, /* workers are read before work is placed again */
  VP_SAFEGUARD_LEASE,    /* ownership ends with its lease */
  VP_SAFEGUARD_KEYS,     /* keys are trusted only while the revision is confirmed */
  VP_SAFEGUARD_GRANTS,   /* work starts only within the DC's grant */
  VP_SAFEGUARD_MATCHING, /* an answer goes only to the request with its correlation and task */
  VP_SAFEGUARD_HIDDEN,   /* no "not run" while a worker may hide the task */
  VP_SAFEGUARD_INTENT,   /* the intent is durable before dispatch */
  VP_SAFEGUARD_LEAVING,  /* a leaving worker gets no new work */
  VP_SAFEGUARD_DRAIN,    /* a shutdown waits for held requests */
  VP_SAFEGUARD_REVISION, /* a lower revision is never taken */
  VP_SAFEGUARD_COUNT,
} VpSafeguard;

#ifdef VP_SWITCHES
/* One mechanism at a time; VP_SAFEGUARD_COUNT: all are on. */
void vp_safeguard_disable (VpSafeguard safeguard);
bool vp_safeguard_is_disabled (VpSafeguard safeguard);
/* By the name in the environment variable VERBENAPULLEY_OFF, for test daemons. */
void vp_safeguard_disable_from_environment (void);
const char *vp_safeguard_name (VpSafeguard safeguard);
#else
static inline bool
vp_safeguard_is_disabled (VpSafeguard safeguard)
{
  (void)safeguard;
  return false;
}
#endif
