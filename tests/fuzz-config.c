#include "fuzz.h"
#include "vp-config.h"

/* Guards against a configuration that changes when it is formatted and parsed again. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (VpConfig) config = vp_config_parse ((const char *)data, size, &error);
  g_autoptr (VpConfig) stored = vp_config_parse_stored ((const char *)data, size, NULL);

  g_assert_true ((config == NULL) == (error != NULL));
  if (config != NULL) {
    g_autoptr (GBytes) first = vp_config_format (config);
    g_autoptr (VpConfig) again
        = vp_config_parse (g_bytes_get_data (first, NULL), g_bytes_get_size (first), NULL);
    g_autoptr (GBytes) second = again != NULL ? vp_config_format (again) : NULL;
    g_assert_true (second != NULL && g_bytes_equal (first, second));
  }
  if (stored != NULL) {
    g_autoptr (GBytes) first = vp_config_format_stored (stored);
    g_autoptr (VpConfig) again
        = vp_config_parse_stored (g_bytes_get_data (first, NULL), g_bytes_get_size (first), NULL);
    g_autoptr (GBytes) second = again != NULL ? vp_config_format_stored (again) : NULL;
    g_assert_true (second != NULL && g_bytes_equal (first, second));
  }
  return 0;
}
