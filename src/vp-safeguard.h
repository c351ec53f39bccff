/* Disables one safeguard of the scheduler, in test builds only (VP_SWITCHES), so that a test can
 * show that it fails without the safeguard.
 *
 *   if (!vp_safeguard_is_disabled (VP_SAFEGUARD_INTENT))
 *     write the intent before dispatch
 *
 * In all other builds vp_safeguard_is_disabled() is the constant false.
 */
#pragma once

#include <stdbool.h>

typedef enum {
  VP_SAFEGUARD_CAPACITY, /* capacity is checked for each placement */
  VP_SAFEGUARD_RECOVERY, /* a new owner reads a worker's tasks before it places any there */
  VP_SAFEGUARD_LEASE,    /* the ownership of a DC expires with its lease */
  VP_SAFEGUARD_KEYS,     /* keys are trusted only while the configuration revision is confirmed */
  VP_SAFEGUARD_GRANTS,   /* tasks start only within the team's grant in the DC */
  VP_SAFEGUARD_ANSWER_MATCHING,  /* an answer is matched to its request by correlation and task */
  VP_SAFEGUARD_UNREPORTED_TASKS, /* no "not run" while a worker may run the task unreported */
  VP_SAFEGUARD_INTENT,           /* the intent to start a task is durable before dispatch */
  VP_SAFEGUARD_LEAVING,          /* a leaving worker gets no new tasks */
  VP_SAFEGUARD_DRAIN,            /* a shutdown waits for pending requests */
  VP_SAFEGUARD_REVISION,         /* a lower configuration revision is never applied */
  VP_SAFEGUARD_COUNT,
} VpSafeguard;

#ifdef VP_SWITCHES
/* Disables @safeguard and enables all others; VP_SAFEGUARD_COUNT: enables all. */
void vp_safeguard_disable (VpSafeguard safeguard);
bool vp_safeguard_is_disabled (VpSafeguard safeguard);
/* Disables the safeguard named in the environment variable VERBENAPULLEY_OFF, for test daemons. */
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
