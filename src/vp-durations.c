#include "vp-durations.h"

/* Minimum number of measured durations from which a limit is derived. */
#define VP_DURATIONS_SAMPLES_MIN 20
/* Share by which the maximum decays with each new duration, so that one outlier doesn't raise the
 * limit for ever. */
#define VP_DURATIONS_DECAY 0.002
/* The limit is the maximum times VP_DURATIONS_FACTOR plus VP_DURATIONS_MARGIN_MS, as workers differ
 * in speed and some tasks run far from their data. */
#define VP_DURATIONS_FACTOR    2.0
#define VP_DURATIONS_MARGIN_MS 1000

typedef struct {
  double longest_ms; /* decaying maximum */
  uint32_t count;
} VpDuration;

struct _VpDurations {
  GHashTable *queues; /* queue name -> VpDuration */
};

VpDurations *
vp_durations_setup (void)
{
  VpDurations *durations = g_new0 (VpDurations, 1);

  durations->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return durations;
}

void
vp_durations_shutdown (VpDurations *durations)
{
  g_hash_table_unref (durations->queues);
  g_free (durations);
}

void
vp_durations_record (VpDurations *durations, const char *queue, int64_t duration_ms)
{
  VpDuration *duration = g_hash_table_lookup (durations->queues, queue);

  if (duration == NULL) {
    duration = g_new0 (VpDuration, 1);
    g_hash_table_insert (durations->queues, g_strdup (queue), duration);
  }
  duration->count++;
  duration->longest_ms = MAX (duration->longest_ms * (1 - VP_DURATIONS_DECAY), (double)duration_ms);
}

int64_t
vp_durations_limit_ms (const VpDurations *durations, const char *queue)
{
  const VpDuration *duration = g_hash_table_lookup (durations->queues, queue);

  if (duration == NULL || duration->count < VP_DURATIONS_SAMPLES_MIN)
    return INT64_MAX;
  return (int64_t)(duration->longest_ms * VP_DURATIONS_FACTOR) + VP_DURATIONS_MARGIN_MS;
}
