/* Settings of the limits on external input, which both daemons read from their settings files.
 *
 *   VpIntakeSettings intake;
 *   vp_intake_settings_read (&json, &intake);   // errors are reported by vp_json_close()
 *
 * All fields are optional. 0 stands for the default.
 */
#pragma once

#include "vp-http-budget.h"
#include "vp-json.h"

typedef struct {
  uint32_t memory_mib;                  /* memory of the VM; 0: as the system reports it */
  uint32_t descriptors_max;             /* descriptors of the process; 0: RLIMIT_NOFILE */
  uint64_t intake_bytes_max;            /* bytes of unfinished external input in the process */
  uint32_t intake_small_bytes;          /* largest request that may use the reserved part */
  uint32_t connections_max;             /* connections per HTTP server */
  uint32_t connections_per_address_max; /* connections of one client address; 0: unlimited */
  uint32_t body_max;                    /* bytes of a request's body */
  uint32_t receive_bytes_per_s_min;     /* minimum rate of a request's headers and body */
  int64_t receive_timeout_ms;           /* time in which a request must be received */
  int64_t send_timeout_ms;              /* time in which a client must read an answer */
  uint32_t json_nodes_max;              /* values in the JSON text of a request */
} VpIntakeSettings;

void vp_intake_settings_read (VpJson *json, VpIntakeSettings *intake);
/* Fills in the limits of one HTTP server. @percent of the descriptors of the process are for its
 * connections. Defaults follow from the memory and the descriptors that the settings state, and
 * otherwise from those of the system. Times that the settings don't state stay 0, as their defaults
 * follow from the server's time-out. */
void
vp_intake_settings_limits (const VpIntakeSettings *intake, uint32_t percent, VpHttpLimits *out);
