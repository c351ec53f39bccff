/* Interface to a worker of the platform.
 *
 *   VpWorker *worker = vp_worker_http_new ("w-01", "127.0.1.1:7000");
 *   vp_worker_call (worker, &op, 1, &result);
 *   vp_worker_poll (worker, acknowledged, seen, wait_ms, &report);
 *   vp_worker_free (worker);
 *
 * Calls block. A worker object is used by one thread at a time.
 */
#pragma once

#include "vp-event.h"

typedef struct _VpWorker VpWorker;

typedef struct {
  void (*call) (VpWorker *worker, const VpWorkerOp *ops, uint32_t count, VpWorkerResult *results);
  void (*poll) (VpWorker *worker,
                uint64_t acknowledged,
                uint64_t seen,
                int64_t wait_ms,
                VpWorkerReport *report);
  void (*free) (VpWorker *worker);
} VpWorkerVtable;

struct _VpWorker {
  const VpWorkerVtable *vtable;
};

/* Sends one command, or @count renewals in one call. The status is VP_WORKER_UNREACHABLE only if
 * the command certainly did not arrive. A START or RENEW command whose valid_until_ms has passed is
 * not sent and gets VP_WORKER_REFUSED. */
static inline void
vp_worker_call (VpWorker *worker, const VpWorkerOp *ops, uint32_t count, VpWorkerResult *results)
{
  worker->vtable->call (worker, ops, count, results);
}

/* Waits up to @wait_ms for an ended task with a sequence above @seen. The report then contains all
 * running tasks, and the ended ones with a sequence above @acknowledged. The worker forgets the
 * ended tasks up to @acknowledged. */
static inline void
vp_worker_poll (VpWorker *worker,
                uint64_t acknowledged,
                uint64_t seen,
                int64_t wait_ms,
                VpWorkerReport *report)
{
  worker->vtable->poll (worker, acknowledged, seen, wait_ms, report);
}

static inline void
vp_worker_free (VpWorker *worker)
{
  if (worker != NULL)
    worker->vtable->free (worker);
}

/* Creates a client of the worker over HTTP with neon, see docs/interface-worker.md. Returns NULL if
 * @address is not a numeric "IP:port". */
VpWorker *vp_worker_http_new (const char *name, const char *address);
