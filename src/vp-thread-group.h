/* Threads of the run modules: small stacks, a common stop flag, and a bounded end.
 *
 *   vp_thread_group_setup (&group, post, data);
 *   vp_thread_group_start (&group, run_lane, lane);        // group.lock is not held
 *   ... on the thread: vp_thread_group_post (&group, &event);
 *   if (vp_run_group_stop (&group))                     // all threads ended
 *     free what they used
 *
 * Threads are detached. One that blocks in a call to the platform can't be interrupted; then
 * vp_run_group_stop() returns false and everything the threads use must stay allocated.
 */
#pragma once

#include "vp-event.h"
#include "vp-sync.h"

typedef void (*VpPostFunc) (const VpEvent *event, void *data);

typedef struct {
  pthread_mutex_t lock; /* also protects the data of the module that embeds the group */
  pthread_cond_t ended;
  uint32_t thread_count;
  bool is_stopping; /* set under the lock */
  VpPostFunc post;
  void *data;
} VpThreadGroup;

void vp_thread_group_setup (VpThreadGroup *group, VpPostFunc post, void *data);
/* False if the system has no room for another thread. */
bool vp_thread_group_start (VpThreadGroup *group, void (*run) (void *data), void *data);
/* Posts an event, or releases it if the group is stopping. */
void vp_thread_group_post (VpThreadGroup *group, VpEvent *event);
/* Sets the stop flag; the embedding module wakes its threads under the lock afterwards. */
void vp_thread_group_request_stop (VpThreadGroup *group);
/* Waits for the threads; false if some have not ended in time. Clears the group if all have. */
bool vp_thread_group_join (VpThreadGroup *group, int64_t end_us);
