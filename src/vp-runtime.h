/* Runs one entry process: threads, event queue, carrying out effects.
 *
 *   VpRuntime *run = vp_runtime_setup (&(VpRuntimeDesc){ .settings = &settings }, &error);
 *   vp_runtime_loop (run);            // until a graceful shutdown is complete
 *   vp_runtime_shutdown (run);
 *
 * One deciding thread owns the reducer. Other threads hand it events with vp_runtime_post(), which is
 * wait-free. vp_runtime_now_ms() is the Unix time at process start plus the boot-time clock since then:
 * it never steps back and goes on while the process is stopped.
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
/* Safe in a signal handler: asks for a graceful shutdown. */
void vp_runtime_request_stop (VpRuntime *runtime);
/* Waits up to 2 s for the threads. One that is still in a blocking call to the platform is left to
 * the end of the process; it no longer posts. */
void vp_runtime_shutdown (VpRuntime *runtime);

/* Takes over what the event owns. From any thread. */
void vp_runtime_post (VpRuntime *runtime, const VpEvent *event);
int64_t vp_runtime_now_ms (void);
/* A reference to the published configuration; NULL before the first. From any thread. */
struct _VpConfig *vp_runtime_ref_config (VpRuntime *runtime);
/* Ports of the HTTP server and of the peer transport; they differ from settings of 0. */
uint16_t vp_runtime_http_port (const VpRuntime *runtime);
uint16_t vp_runtime_peer_port (const VpRuntime *runtime);
