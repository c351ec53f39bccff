/* Runtime of one entry process: owns its threads and its event queue, and executes the effects that
 * the reducer returns.
 *
 *   VpRuntime *runtime = vp_runtime_setup (&(VpRuntimeDesc){ .settings = &settings }, &error);
 *   vp_runtime_loop (runtime);            // returns once a graceful shutdown is complete
 *   vp_runtime_shutdown (runtime);
 *
 * The reducer (see vp-core.h) runs on the event loop's thread, which is the one that calls
 * vp_runtime_loop(). Other threads pass events to it with vp_runtime_post(), which is wait-free.
 *
 * vp_runtime_now_ms() returns the Unix time at process start plus the time on CLOCK_BOOTTIME since
 * then. It never steps back and keeps counting while the process is stopped.
 */
#pragma once

#include "vp-event.h"
#include "vp-settings.h"

typedef struct _VpRuntime VpRuntime;

typedef struct {
  const VpSettings *settings; /* borrowed */
} VpRuntimeDesc;

VpRuntime *vp_runtime_setup (const VpRuntimeDesc *desc, GError **error);
void vp_runtime_loop (VpRuntime *runtime);
/* Requests a graceful shutdown. Safe in a signal handler. */
void vp_runtime_request_stop (VpRuntime *runtime);
/* Waits up to 2 s for the threads to end. A thread that is still in a blocking call to the platform
 * keeps running until the process exits, but posts no more events. */
void vp_runtime_shutdown (VpRuntime *runtime);

/* Takes ownership of what @event owns. May be called from any thread. */
void vp_runtime_post (VpRuntime *runtime, const VpEvent *event);
int64_t vp_runtime_now_ms (void);
/* Returns a new reference to the published configuration, or NULL before the first one. May be
 * called from any thread. */
struct _VpConfig *vp_runtime_ref_config (VpRuntime *runtime);
/* Ports that the HTTP server and the peer transport are bound to. They are chosen by the system
 * where the settings have port 0. */
uint16_t vp_runtime_http_port (const VpRuntime *runtime);
uint16_t vp_runtime_peer_port (const VpRuntime *runtime);
