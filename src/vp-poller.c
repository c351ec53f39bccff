#include "vp-poller.h"
#include "vp-metrics.h"
#include "vp-vmlist.h"
#include "vp-worker.h"

/* How long a worker may hold a poll until a task ends. */
#define VP_WORKER_POLLER_WAIT_MS 10000
/* Pauses after failed polls. The first one is short, since a restarting worker is back soon. */
#define VP_WORKER_POLLER_RETRY_MS     100
#define VP_WORKER_POLLER_RETRY_MAX_MS 1000
/* Pause after a poll to which the worker responded early without anything new. */
#define VP_WORKER_POLLER_IDLE_MS 100

struct _VpWorkerPoller {
  VpThreadGroup *group;
  VpWorker *worker;
  pthread_cond_t changed;
  /* The following fields are guarded by the group's lock. */
  bool is_stopped;
  uint64_t applied_boot; /* boot of the last report that the reducer applied */
  uint64_t ack;          /* sequence up to which ended tasks are acknowledged */
  uint64_t ack_boot;     /* boot of the worker that @ack refers to */
  /* The following fields are used on the poller's thread only. */
  uint64_t boot;    /* boot of the last report */
  uint64_t seen;    /* sequence of the last report */
  int64_t wait_ms;  /* how long the worker may hold the next poll */
  int64_t retry_ms; /* pause after the last failed poll; 0 after a successful one */
};

/* Sleeps for @pause_ms milliseconds. Returns false if the poller stops. */
static bool
_vp_worker_poller_pause (VpWorkerPoller *poller, int64_t pause_ms)
{
  int64_t end_us = g_get_monotonic_time () + pause_ms * 1000;
  VpThreadGroup *group = poller->group;
  bool is_stopped;

  pthread_mutex_lock (&group->lock);
  while (!group->is_stopping && !poller->is_stopped
         && vp_sync_cond_wait_until (&poller->changed, &group->lock, end_us))
    continue;
  is_stopped = group->is_stopping || poller->is_stopped;
  pthread_mutex_unlock (&group->lock);
  return !is_stopped;
}

/* Stores the acknowledgement for the next poll in @ack. An acknowledgement that refers to another
 * boot is not sent, since it would make a restarted worker forget ended attempts that it has never
 * reported. Returns false if the poller stops. */
static bool
_vp_worker_poller_next_ack (VpWorkerPoller *poller, uint64_t *ack)
{
  VpThreadGroup *group = poller->group;
  bool is_stopped;

  pthread_mutex_lock (&group->lock);
  *ack = poller->wait_ms > 0 && poller->ack_boot == poller->boot ? poller->ack : 0;
  is_stopped = group->is_stopping || poller->is_stopped;
  pthread_mutex_unlock (&group->lock);
  return !is_stopped;
}

static void
_vp_worker_poller_post (VpWorkerPoller *poller, VpEvent *event)
{
  VpThreadGroup *group = poller->group;

  pthread_mutex_lock (&group->lock);
  if (group->is_stopping || poller->is_stopped)
    vp_event_clear (event);
  else
    group->post (event, group->data);
  pthread_mutex_unlock (&group->lock);
}

/* Updates the poller after a poll that took @took_ms, and returns the pause before the next poll in
 * milliseconds. */
static int64_t
_vp_worker_poller_update (VpWorkerPoller *poller, const VpWorkerReport *report, int64_t took_ms)
{
  bool is_new = report->boot != poller->boot || report->sequence != poller->seen;
  int64_t last_wait_ms = poller->wait_ms;

  if (!report->is_reachable) {
    vp_metrics_add (VP_COUNTER_WORKER_UNREACHABLE, 1);
    poller->wait_ms = 0;
    poller->seen = 0;
    poller->retry_ms
        = CLAMP (poller->retry_ms * 2, VP_WORKER_POLLER_RETRY_MS, VP_WORKER_POLLER_RETRY_MAX_MS);
    return poller->retry_ms;
  }
  poller->retry_ms = 0;
  poller->wait_ms = VP_WORKER_POLLER_WAIT_MS;
  poller->boot = report->boot;
  poller->seen = report->sequence;
  return is_new || last_wait_ms == 0 || took_ms > VP_WORKER_POLLER_IDLE_MS
             ? 0
             : VP_WORKER_POLLER_IDLE_MS;
}

static void
_vp_worker_poller_main (void *data)
{
  VpWorkerPoller *poller = data;
  uint64_t ack;

  while (_vp_worker_poller_next_ack (poller, &ack)) {
    VpEvent event = { .kind = VP_EVENT_WORKER_REPORT };
    int64_t sent_us = g_get_monotonic_time ();
    int64_t pause_ms;
    vp_worker_poll (poller->worker, ack, poller->seen, poller->wait_ms, &event.report);
    pause_ms = _vp_worker_poller_update (poller, &event.report,
                                         (g_get_monotonic_time () - sent_us) / 1000);
    _vp_worker_poller_post (poller, &event);
    if (pause_ms > 0 && !_vp_worker_poller_pause (poller, pause_ms))
      break;
  }
  /* When the group stops, the owner may still use the poller until it has called
   * vp_worker_poller_stop(). */
  pthread_mutex_lock (&poller->group->lock);
  while (!poller->is_stopped)
    pthread_cond_wait (&poller->changed, &poller->group->lock);
  pthread_mutex_unlock (&poller->group->lock);
  vp_worker_free (poller->worker);
  pthread_cond_destroy (&poller->changed);
  g_free (poller);
}

VpWorkerPoller *
vp_worker_poller_start (VpThreadGroup *group, const char *name, const char *address)
{
  VpWorker *worker = vp_worker_http_new (name, address);
  VpWorkerPoller *poller;

  if (worker == NULL)
    return NULL;
  poller = g_new0 (VpWorkerPoller, 1);
  poller->group = group;
  poller->worker = worker;
  vp_sync_cond_setup (&poller->changed);
  if (vp_thread_group_start (group, _vp_worker_poller_main, poller))
    return poller;
  vp_worker_free (worker);
  pthread_cond_destroy (&poller->changed);
  g_free (poller);
  return NULL;
}

void
vp_worker_poller_set_applied_boot (VpWorkerPoller *poller, uint64_t boot)
{
  pthread_mutex_lock (&poller->group->lock);
  poller->applied_boot = boot;
  pthread_mutex_unlock (&poller->group->lock);
}

void
vp_worker_poller_ack (VpWorkerPoller *poller, uint64_t sequence)
{
  pthread_mutex_lock (&poller->group->lock);
  if (poller->ack_boot != poller->applied_boot || sequence > poller->ack)
    poller->ack = sequence;
  poller->ack_boot = poller->applied_boot;
  pthread_mutex_unlock (&poller->group->lock);
}

void
vp_worker_poller_stop (VpWorkerPoller *poller)
{
  pthread_mutex_t *lock = &poller->group->lock;

  pthread_mutex_lock (lock);
  poller->is_stopped = true;
  pthread_cond_signal (&poller->changed);
  pthread_mutex_unlock (lock);
}

struct _VpVmlistPoller {
  VpThreadGroup group;
  pthread_cond_t stopped;
  VpVmlist *list;
  char dc[VP_NAME_MAX];
  int64_t poll_ms;
};

static void
_vp_vmlist_poller_main (void *data)
{
  VpVmlistPoller *poller = data;
  bool is_stopping = false;

  while (!is_stopping) {
    VpEvent event = { .kind = VP_EVENT_VM_LIST };
    int64_t end_us = g_get_monotonic_time () + poller->poll_ms * 1000;
    event.vm_list.vms = vp_vmlist_read (poller->list, poller->dc);
    event.vm_list.is_ok = event.vm_list.vms != NULL;
    if (!event.vm_list.is_ok)
      event.vm_list.vms = g_array_new (FALSE, FALSE, sizeof (VpVm));
    vp_thread_group_post (&poller->group, &event);
    pthread_mutex_lock (&poller->group.lock);
    while (!poller->group.is_stopping
           && vp_sync_cond_wait_until (&poller->stopped, &poller->group.lock, end_us))
      continue;
    is_stopping = poller->group.is_stopping;
    pthread_mutex_unlock (&poller->group.lock);
  }
}

VpVmlistPoller *
vp_vmlist_poller_setup (const char *address,
                        const char *dc,
                        int64_t poll_ms,
                        VpPostFunc post,
                        void *data)
{
  VpVmlist *list = vp_vmlist_http_new (address);
  VpVmlistPoller *poller;

  if (list == NULL)
    return NULL;
  poller = g_new0 (VpVmlistPoller, 1);
  vp_thread_group_setup (&poller->group, post, data);
  vp_sync_cond_setup (&poller->stopped);
  poller->list = list;
  poller->poll_ms = poll_ms;
  g_strlcpy (poller->dc, dc, sizeof poller->dc);
  vp_thread_group_start (&poller->group, _vp_vmlist_poller_main, poller);
  return poller;
}

void
vp_vmlist_poller_shutdown (VpVmlistPoller *poller, int64_t end_us)
{
  if (poller == NULL)
    return;
  vp_thread_group_request_stop (&poller->group);
  pthread_cond_broadcast (&poller->stopped);
  if (!vp_thread_group_join (&poller->group, end_us))
    return;
  vp_vmlist_free (poller->list);
  pthread_cond_destroy (&poller->stopped);
  g_free (poller);
}
