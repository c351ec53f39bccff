#include "vp-poller.h"
#include "vp-metrics.h"
#include "vp-vmlist.h"
#include "vp-worker.h"

#define VP_WORKER_POLLER_WAIT_MS 10000
/* Waits after failed polls. The first is short, as a worker that restarts is back soon. */
#define VP_WORKER_POLLER_RETRY_MS     100
#define VP_WORKER_POLLER_RETRY_MAX_MS 1000
/* Least time between polls that a worker answered early with nothing new. */
#define VP_WORKER_POLLER_IDLE_MS 100

struct _VpWorkerPoller {
  VpThreadGroup *group;
  VpWorker *worker;
  pthread_cond_t changed;
  /* Under the group's lock. */
  bool is_stopped;
  uint64_t applied_boot; /* of the last report that the reducer took in */
  uint64_t ack;
  uint64_t ack_boot; /* boot that @ack counts in */
  /* Used on the thread only. */
  uint64_t boot;
  uint64_t seen;
  int64_t wait_ms;
  int64_t retry_ms;
};

/* Waits on the lock of the group; false if the poller stops. */
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

/* The acknowledgement for the next poll. One that counts in another boot would make a restarted
 * worker forget ended attempts that were never reported. */
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

/* Updates the state after a report and returns the pause before the next poll. */
static int64_t
_vp_worker_poller_update (VpWorkerPoller *poller, const VpWorkerReport *report, int64_t took_ms)
{
  bool is_new = report->boot != poller->boot || report->sequence != poller->seen;
  int64_t asked_ms = poller->wait_ms;

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
  return is_new || asked_ms == 0 || took_ms > VP_WORKER_POLLER_IDLE_MS ? 0
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
  /* The owner may still hold the poller until it stops it, or leave it to the stopping group. */
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
  VpVmlistPoller *vms = data;
  bool is_stopping = false;

  while (!is_stopping) {
    VpEvent event = { .kind = VP_EVENT_VM_LIST };
    int64_t end_us = g_get_monotonic_time () + vms->poll_ms * 1000;
    event.vm_list.vms = vp_vmlist_read (vms->list, vms->dc);
    event.vm_list.is_ok = event.vm_list.vms != NULL;
    if (!event.vm_list.is_ok)
      event.vm_list.vms = g_array_new (FALSE, FALSE, sizeof (VpVm));
    vp_thread_group_post (&vms->group, &event);
    pthread_mutex_lock (&vms->group.lock);
    while (!vms->group.is_stopping
           && vp_sync_cond_wait_until (&vms->stopped, &vms->group.lock, end_us))
      continue;
    is_stopping = vms->group.is_stopping;
    pthread_mutex_unlock (&vms->group.lock);
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
  VpVmlistPoller *vms;

  if (list == NULL)
    return NULL;
  vms = g_new0 (VpVmlistPoller, 1);
  vp_thread_group_setup (&vms->group, post, data);
  vp_sync_cond_setup (&vms->stopped);
  vms->list = list;
  vms->poll_ms = poll_ms;
  g_strlcpy (vms->dc, dc, sizeof vms->dc);
  vp_thread_group_start (&vms->group, _vp_vmlist_poller_main, vms);
  return vms;
}

void
vp_vmlist_poller_shutdown (VpVmlistPoller *vms, int64_t end_us)
{
  if (vms == NULL)
    return;
  vp_thread_group_request_stop (&vms->group);
  pthread_cond_broadcast (&vms->stopped);
  if (!vp_thread_group_join (&vms->group, end_us))
    return;
  vp_vmlist_free (vms->list);
  pthread_cond_destroy (&vms->stopped);
  g_free (vms);
}
