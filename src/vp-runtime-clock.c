#include "vp-runtime.h"

#include <pthread.h>
#include <time.h>

static int64_t
_vp_runtime_read_clock_ms (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static pthread_once_t _vp_runtime_clock_once = PTHREAD_ONCE_INIT;
static int64_t _vp_runtime_clock_offset_ms;

static void
_vp_runtime_clock_setup (void)
{
  _vp_runtime_clock_offset_ms
      = _vp_runtime_read_clock_ms (CLOCK_REALTIME) - _vp_runtime_read_clock_ms (CLOCK_BOOTTIME);
}

int64_t
vp_runtime_now_ms (void)
{
  pthread_once (&_vp_runtime_clock_once, _vp_runtime_clock_setup);
  return _vp_runtime_clock_offset_ms + _vp_runtime_read_clock_ms (CLOCK_BOOTTIME);
}
