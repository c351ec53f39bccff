/* One thread that polls a worker, and one that reads the VM list.
 *
 *   VpWorkerPoller *poller = vp_worker_poller_start (&group, "w-01", "127.0.1.1:7000");
 *   vp_worker_poller_ack (poller, sequence);
 *   vp_worker_poller_stop (poller);      // ends and frees itself after the poll in progress
 *
 * Results come as VP_EVENT_WORKER_REPORT and VP_EVENT_VM_LIST.
 */
#pragma once

#include "vp-thread-group.h"

typedef struct _VpWorkerPoller VpWorkerPoller;

/* NULL if the system has no room for another thread. */
VpWorkerPoller *
vp_worker_poller_start (VpThreadGroup *group, const char *name, const char *address);
/* A report of @boot was taken in; the acknowledgements that follow belong to it. */
void vp_worker_poller_set_applied_boot (VpWorkerPoller *poller, uint64_t boot);
void vp_worker_poller_ack (VpWorkerPoller *poller, uint64_t sequence);
/* @poller must not be used afterwards. */
void vp_worker_poller_stop (VpWorkerPoller *poller);

typedef struct _VpVmlistPoller VpVmlistPoller;

VpVmlistPoller *vp_vmlist_poller_setup (const char *address,
                                        const char *dc,
                                        int64_t poll_ms,
                                        VpPostFunc post,
                                        void *data);
void vp_vmlist_poller_shutdown (VpVmlistPoller *vms, int64_t end_us);
