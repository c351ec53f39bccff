#include "vp-intake-settings.h"

#include <string.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

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

static uint64_t
_vp_intake_settings_memory_bytes (const VpIntakeSettings *intake)
{
  struct sysinfo info;

  if (intake->memory_mib > 0)
    return (uint64_t)intake->memory_mib * 1024 * 1024;
  return sysinfo (&info) == 0 ? (uint64_t)info.totalram * info.mem_unit : 0;
}

static uint64_t
_vp_intake_settings_descriptors (const VpIntakeSettings *intake)
{
  struct rlimit limit;

  if (intake->descriptors_max > 0)
    return intake->descriptors_max;
  return getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY ? limit.rlim_cur
                                                                                   : 0;
}

void
vp_intake_settings_limits (const VpIntakeSettings *intake, uint32_t percent, VpHttpLimits *out)
{
  memset (out, 0, sizeof *out);
  out->bytes_max = intake->intake_bytes_max;
  out->small_bytes = intake->intake_small_bytes;
  out->connections_max = intake->connections_max;
  out->per_address_max = intake->connections_per_address_max;
  out->receive_bytes_per_s_min = intake->receive_bytes_per_s_min;
  vp_http_limits_complete (out, _vp_intake_settings_memory_bytes (intake),
                           _vp_intake_settings_descriptors (intake), percent);
  out->receive_timeout_ms = intake->receive_timeout_ms;
  out->send_timeout_ms = intake->send_timeout_ms;
  out->idle_timeout_ms = 0;
}
