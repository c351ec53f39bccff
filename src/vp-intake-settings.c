#include "vp-intake-settings.h"

/* Reads an integer that is 0 or from @min to @max. */
static int64_t
_vp_intake_settings_int (VpJson *json, const char *field, int64_t min, int64_t max)
{
  int64_t value = vp_json_int (json, field, 0, max, 0);

  if (value == 0 || value >= min)
    return value;
  vp_json_fail (json, field,
                "must be from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " or 0 for the default",
                min, max);
  return 0;
}

void
vp_intake_settings_read (VpJson *json, VpIntakeSettings *intake)
{
  intake->memory_mib = (uint32_t)_vp_intake_settings_int (json, "memory_mib", 32, 1 << 24);
  intake->descriptors_max
      = (uint32_t)_vp_intake_settings_int (json, "descriptors_max", 64, 1 << 20);
  intake->intake_bytes_max = (uint64_t)_vp_intake_settings_int (json, "intake_bytes_max",
                                                                1024 * 1024, INT64_C (1) << 40);
  intake->intake_small_bytes
      = (uint32_t)_vp_intake_settings_int (json, "intake_small_bytes", 256, 1 << 20);
  intake->connections_max = (uint32_t)_vp_intake_settings_int (json, "connections_max", 8, 1 << 16);
  intake->connections_per_address_max
      = (uint32_t)_vp_intake_settings_int (json, "connections_per_address_max", 1, 1 << 16);
  intake->body_max = (uint32_t)_vp_intake_settings_int (json, "body_max", 1024, 1 << 20);
  intake->receive_bytes_per_s_min
      = (uint32_t)_vp_intake_settings_int (json, "receive_bytes_per_s_min", 1, 1 << 30);
  intake->receive_timeout_ms = _vp_intake_settings_int (json, "receive_timeout_ms", 100, 600000);
  intake->send_timeout_ms = _vp_intake_settings_int (json, "send_timeout_ms", 100, 600000);
  intake->json_nodes_max = (uint32_t)_vp_intake_settings_int (json, "json_nodes_max", 256, 1 << 20);
}
