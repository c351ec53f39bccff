#include "vp-safeguard.h"

#ifdef VP_SWITCHES

#include <glib.h>
#include <string.h>

static VpSafeguard _vp_safeguard_disabled = VP_SAFEGUARD_COUNT;

static const char *const _vp_safeguard_names[] = {
  [VP_SAFEGUARD_CAPACITY] = "fit",
  [VP_SAFEGUARD_RECOVERY] = "recovery",
  [VP_SAFEGUARD_LEASE] = "lease",
  [VP_SAFEGUARD_KEYS] = "keys",
  [VP_SAFEGUARD_GRANTS] = "grants",
  [VP_SAFEGUARD_ANSWER_MATCHING] = "matching",
  [VP_SAFEGUARD_UNREPORTED_TASKS] = "hidden",
  [VP_SAFEGUARD_INTENT] = "intent",
  [VP_SAFEGUARD_LEAVING] = "leaving",
  [VP_SAFEGUARD_DRAIN] = "drain",
  [VP_SAFEGUARD_REVISION] = "revision",
  [VP_SAFEGUARD_COUNT] = "none",
};

void
vp_safeguard_disable (VpSafeguard safeguard)
{
  _vp_safeguard_disabled = safeguard;
}

bool
vp_safeguard_is_disabled (VpSafeguard safeguard)
{
  return _vp_safeguard_disabled == safeguard;
}

void
vp_safeguard_disable_from_environment (void)
{
  const char *name = g_getenv ("VERBENAPULLEY_OFF");

  for (int i = 0; name != NULL && i < VP_SAFEGUARD_COUNT; i++) {
    if (strcmp (_vp_safeguard_names[i], name) == 0)
      _vp_safeguard_disabled = (VpSafeguard)i;
  }
}

const char *
vp_safeguard_name (VpSafeguard safeguard)
{
  return _vp_safeguard_names[safeguard];
}

#else

/* ISO C forbids an empty translation unit. */
typedef int VpSafeguardUnused;

#endif
