/* POSIX condition variables that time out on the monotonic clock.
 *
 *   vp_sync_cond_setup (&changed);
 *   while (!is_done && vp_sync_cond_wait_until (&changed, &lock, end_us))
 *     continue;
 *
 * Shared data is guarded by POSIX locks, since GLib's own locks are built on futexes that
 * ThreadSanitizer can't see.
 */
#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

static inline void
vp_sync_cond_setup (pthread_cond_t *cond)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (cond, &attributes);
  pthread_condattr_destroy (&attributes);
}

/* Waits until @cond is signalled. Returns false if @end_us, a time of g_get_monotonic_time(), has
 * passed. */
static inline bool
vp_sync_cond_wait_until (pthread_cond_t *cond, pthread_mutex_t *lock, int64_t end_us)
{
  struct timespec end = { .tv_sec = end_us / 1000000, .tv_nsec = end_us % 1000000 * 1000 };

  return pthread_cond_timedwait (cond, lock, &end) == 0;
}
