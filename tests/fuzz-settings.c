#include "fuzz.h"
#include "vp-settings.h"

/* Guards against a parser that reads past the end of the settings or accepts settings whose members
 * lack this one. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GError) error = NULL;
  VpSettings settings = { 0 };

  if (vp_settings_parse (&settings, (const char *)data, size, &error)) {
    g_assert_nonnull (vp_settings_member (&settings, settings.name));
    vp_settings_shutdown (&settings);
  } else {
    g_assert_nonnull (error);
  }
  return 0;
}
