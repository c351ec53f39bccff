#include "vp-safeguard.h"

#ifdef VP_SWITCHES

#include <glib.h>
#include <string.h>

static VpSafeguard _disabled_safeguard = VP_SAFEGUARD_COUNT;

static const char *const _safeguard_names[] = {
  [VP_SAFEGUARD_FIT] = "fit",           [VP_SAFEGUARD_RECOVERY] = "recovery",
  [VP_SAFEGUARD_LEASE] = "lease",       [VP_SAFEGUARD_KEYS] = "keys",
  [VP_SAFEGUARD_GRANTS] = "grants",     [VP_SAFEGUARD_MATCHING] = "matching",
  [VP_SAFEGUARD_HIDDEN] = "hidden",     [VP_SAFEGUARD_INTENT] = "intent",
  [VP_SAFEGUARD_LEAVING] = "leaving",   [VP_SAFEGUARD_DRAIN] = "drain",
  [VP_SAFEGUARD_REVISION] = "revision", [VP_SAFEGUARD_COUNT] = "none",
};

void
vp_safeguard_disable (VpSafeguard safeguard)
{
  _disabled_safeguard = safeguard;
}

bool
vp_safeguard_is_disabled (VpSafeguard safeguard)
{
  return _disabled_safeguard == safeguard;
}

void
vp_safeguard_disable_from_environment (void)
{
  const char *name = g_getenv ("VERBENAPULLEY_OFF");

  for (int i = 0; name != NULL && i < VP_SAFEGUARD_COUNT; i++) {
    if (strcmp (_safeguard_names[i], name) == 0)
      _disabled_safeguard = (VpSafeguard)i;
  }
}

const char *
vp_safeguard_name (VpSafeguard safeguard)
{
  return _safeguard_names[safeguard];
}

#else

/* An object file needs at least one declaration. */
typedef int VpSafeguardUnused;

#endif
