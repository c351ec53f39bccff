/* Threads that poll the platform: one for each worker, and one for the VM list.
 *
 *   VpWorkerPoller *poller = vp_worker_poller_start (&group, "w-01", "127.0.1.1:7000");
 *   vp_worker_poller_ack (poller, sequence);
 *   vp_worker_poller_stop (poller);      // the poller frees itself after the poll in progress
 *
 * The results are posted as VP_EVENT_WORKER_REPORT and VP_EVENT_VM_LIST.
 */
#pragma once

#include "vp-thread-group.h"

typedef struct _VpWorkerPoller VpWorkerPoller;

/* Returns NULL if @address is not numeric or the system can't create another thread. */
VpWorkerPoller *
vp_worker_poller_start (VpThreadGroup *group, const char *name, const char *address);
/* Records that the reducer has applied a report of the worker's boot @boot. Acknowledgements that
 * follow refer to that boot. */
void vp_worker_poller_set_applied_boot (VpWorkerPoller *poller, uint64_t boot);
/* Acknowledges the ended tasks up to @sequence with the next poll. */
void vp_worker_poller_ack (VpWorkerPoller *poller, uint64_t sequence);
/* @poller must not be used afterwards. */
void vp_worker_poller_stop (VpWorkerPoller *poller);

typedef struct _VpVmlistPoller VpVmlistPoller;

/* Reads the list of DC @dc every @poll_ms milliseconds. Returns NULL if @address is not numeric. */
VpVmlistPoller *vp_vmlist_poller_setup (const char *address,
                                        const char *dc,
                                        int64_t poll_ms,
                                        VpPostFunc post,
                                        void *data);
/* Waits for the thread until @end_us, a time of g_get_monotonic_time(). */
void vp_vmlist_poller_shutdown (VpVmlistPoller *poller, int64_t end_us);
