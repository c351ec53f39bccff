#include "vp-thread-group.h"

#include <pthread.h>

/* A small stack is enough since neon keeps its buffers on the heap. Sanitizers enlarge stack
 * frames. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define VP_THREAD_GROUP_STACK_BYTES ((size_t)2 * 1024 * 1024)
#else
#define VP_THREAD_GROUP_STACK_BYTES ((size_t)192 * 1024)
#endif

typedef struct {
  VpThreadGroup *group;
  void (*run) (void *data);
  void *data;
} VpThreadStart;

void
vp_thread_group_setup (VpThreadGroup *group, VpPostFunc post, void *data)
{
  pthread_mutex_init (&group->lock, NULL);
  vp_sync_cond_setup (&group->ended);
  group->thread_count = 0;
  group->is_stopping = false;
  group->post = post;
  group->data = data;
}

static void
_vp_thread_group_leave (VpThreadGroup *group)
{
  pthread_mutex_lock (&group->lock);
  group->thread_count--;
  pthread_cond_signal (&group->ended);
  pthread_mutex_unlock (&group->lock);
}

static void *
_vp_thread_group_main (void *data)
{
  VpThreadStart thread = *(VpThreadStart *)data;

  g_free (data);
  thread.run (thread.data);
  _vp_thread_group_leave (thread.group);
  return NULL;
}

bool
vp_thread_group_start (VpThreadGroup *group, void (*run) (void *data), void *data)
{
  VpThreadStart *thread = g_new (VpThreadStart, 1);
  pthread_attr_t attributes;
  pthread_t id;
  bool is_ok;

  *thread = (VpThreadStart){ group, run, data };
  pthread_mutex_lock (&group->lock);
  group->thread_count++;
  pthread_mutex_unlock (&group->lock);
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, VP_THREAD_GROUP_STACK_BYTES);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  is_ok = pthread_create (&id, &attributes, _vp_thread_group_main, thread) == 0;
  pthread_attr_destroy (&attributes);
  if (!is_ok) {
    g_free (thread);
    _vp_thread_group_leave (group);
  }
  return is_ok;
}

void
vp_thread_group_post (VpThreadGroup *group, VpEvent *event)
{
  /* The lock is held while posting, so that nothing is posted once the stop flag is set. */
  pthread_mutex_lock (&group->lock);
  if (group->is_stopping)
    vp_event_clear (event);
  else
    group->post (event, group->data);
  pthread_mutex_unlock (&group->lock);
}

void
vp_thread_group_request_stop (VpThreadGroup *group)
{
  pthread_mutex_lock (&group->lock);
  __atomic_store_n (&group->is_stopping, true, __ATOMIC_RELAXED);
  pthread_mutex_unlock (&group->lock);
}

bool
vp_thread_group_join (VpThreadGroup *group, int64_t end_us)
{
  bool is_ended;

  pthread_mutex_lock (&group->lock);
  while (group->thread_count > 0 && vp_sync_cond_wait_until (&group->ended, &group->lock, end_us))
    continue;
  is_ended = group->thread_count == 0;
  pthread_mutex_unlock (&group->lock);
  if (is_ended) {
    pthread_cond_destroy (&group->ended);
    pthread_mutex_destroy (&group->lock);
  }
  return is_ended;
}
