/* Groups of detached threads with small stacks, a common stop flag and a wait for their end.
 *
 *   vp_thread_group_setup (&group, post, data);
 *   vp_thread_group_start (&group, thread_main, thread_data);   // group.lock is not held
 *   ... on the thread: vp_thread_group_post (&group, &event);
 *   vp_thread_group_request_stop (&group);
 *   ... wake the threads that wait ...
 *   if (vp_thread_group_join (&group, end_us))                  // all threads ended
 *     free what they used
 *
 * A thread that blocks in a call to the platform can't be interrupted. vp_thread_group_join() then
 * returns false, and everything that the threads use must stay allocated.
 */
#pragma once

#include "vp-event.h"
#include "vp-sync.h"

/* Passes an event to the event loop and takes ownership of what it owns. */
typedef void (*VpPostFunc) (const VpEvent *event, void *data);

typedef struct {
  pthread_mutex_t lock; /* also guards the data of the module that embeds the group */
  pthread_cond_t ended;
  uint32_t thread_count;
  bool is_stopping; /* atomic; set with the lock held */
  VpPostFunc post;
  void *data;
} VpThreadGroup;

void vp_thread_group_setup (VpThreadGroup *group, VpPostFunc post, void *data);
/* Starts a thread that calls @run. Returns false if the system can't create another thread. */
bool vp_thread_group_start (VpThreadGroup *group, void (*run) (void *data), void *data);
/* Posts @event, or releases what it owns if the group is stopping. */
void vp_thread_group_post (VpThreadGroup *group, VpEvent *event);
/* Sets the stop flag. The embedding module wakes its waiting threads afterwards. */
void vp_thread_group_request_stop (VpThreadGroup *group);
/* Waits for the threads to end until @end_us, a time of g_get_monotonic_time(). Releases the group
 * and returns true if all threads ended, otherwise returns false. */
bool vp_thread_group_join (VpThreadGroup *group, int64_t end_us);
