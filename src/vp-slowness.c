#include "vp-slowness.h"

#include <math.h>

/* Variance, of the logarithm, of the durations of the tasks of one step on one worker. */
#define VP_SLOWNESS_TASK_VARIANCE 0.1
/* The same of callers' estimates before any is known. */
#define VP_SLOWNESS_ESTIMATE_VARIANCE 1.0
/* Number of steps over which the errors of a queue's estimates are averaged. */
#define VP_SLOWNESS_QUEUE_STEPS 200.0
/* The first steps of a queue tell only of its estimates. */
#define VP_SLOWNESS_QUEUE_STEPS_MIN 10

/* What is known of the estimates of a queue. */
typedef struct {
  double log_error; /* mean logarithm of the ratio of duration and estimate */
  double variance;
  double count; /* steps, at most VP_SLOWNESS_QUEUE_STEPS */
} VpQueueEstimates;

struct _VpSlowness {
  GHashTable *queues; /* name -> VpQueueEstimates */
};

/* The tasks of a step that ran on one worker. */
typedef struct {
  VpCellWorker *worker;
  double work_sum; /* of the logarithms of their durations on a worker of speed 1 */
  uint32_t count;
} VpStepShare;

VpSlowness *
vp_slowness_setup (void)
{
  VpSlowness *slowness = g_new0 (VpSlowness, 1);

  slowness->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return slowness;
}

void
vp_slowness_shutdown (VpSlowness *slowness)
{
  g_hash_table_unref (slowness->queues);
  g_free (slowness);
}

static VpQueueEstimates *
_vp_slowness_queue (VpSlowness *slowness, const char *name)
{
  VpQueueEstimates *queue = g_hash_table_lookup (slowness->queues, name);

  if (queue == NULL) {
    queue = g_new0 (VpQueueEstimates, 1);
    queue->variance = VP_SLOWNESS_ESTIMATE_VARIANCE;
    g_hash_table_insert (slowness->queues, g_strdup (name), queue);
  }
  return queue;
}

/* Returns the VpStepShare of each worker that is still known. */
static GArray *
_vp_slowness_shares (const VpWorkerList *worker_list, const GArray *durations)
{
  GArray *shares = g_array_new (FALSE, FALSE, sizeof (VpStepShare));
  g_autoptr (GHashTable) indexes = g_hash_table_new (NULL, NULL); /* worker -> index + 1 */

  for (guint i = 0; i < durations->len; i++) {
    const VpRunDuration *duration = &g_array_index (durations, VpRunDuration, i);
    VpCellWorker *worker = vp_workerlist_find (worker_list, duration->worker);
    guint index;
    VpStepShare *share;
    if (worker == NULL)
      continue;
    index = GPOINTER_TO_UINT (g_hash_table_lookup (indexes, worker));
    if (index == 0) {
      VpStepShare empty = { .worker = worker };
      g_array_append_val (shares, empty);
      index = shares->len;
      g_hash_table_insert (indexes, worker, GUINT_TO_POINTER (index));
    }
    share = &g_array_index (shares, VpStepShare, index - 1);
    share->work_sum += duration->log_ms - vp_workerspeed_log (&worker->speed);
    share->count++;
  }
  return shares;
}

/* Records that the tasks of the share took exp(@log_ratio) times as long as expected of the worker,
 * an expectation whose variance is @variance. */
static void
_vp_slowness_record (const VpStepShare *share, double log_ratio, double variance)
{
  double weight = VP_SLOWNESS_TASK_VARIANCE / (VP_SLOWNESS_TASK_VARIANCE / share->count + variance);

  vp_workerlist_record_speed (share->worker, vp_workerspeed_log (&share->worker->speed) + log_ratio,
                              weight);
}

void
vp_slowness_learn (VpSlowness *slowness, const VpWorkerList *worker_list, VpJobStep *step)
{
  g_autoptr (GArray) durations = g_steal_pointer (&step->durations);
  g_autoptr (GArray) shares = NULL;
  VpQueueEstimates *queue = _vp_slowness_queue (slowness, step->occurrence->job->spec->queue);
  double estimate = log ((double)MAX (step->spec->estimate_ms, 1));
  double work_sum = 0;
  double error;
  uint32_t count = 0;

  if (durations == NULL)
    return;
  shares = _vp_slowness_shares (worker_list, durations);
  for (guint i = 0; i < shares->len; i++) {
    const VpStepShare *share = &g_array_index (shares, VpStepShare, i);
    work_sum += share->work_sum;
    count += share->count;
  }
  if (count == 0)
    return;
  for (guint i = 0; i < shares->len; i++) {
    const VpStepShare *share = &g_array_index (shares, VpStepShare, i);
    double work = share->work_sum / share->count;
    uint32_t other_count = count - share->count;
    if (other_count > 0)
      _vp_slowness_record (share, work - (work_sum - share->work_sum) / other_count,
                           VP_SLOWNESS_TASK_VARIANCE / other_count);
    if (queue->count >= VP_SLOWNESS_QUEUE_STEPS_MIN)
      _vp_slowness_record (share, work - estimate - queue->log_error, queue->variance);
  }
  error = work_sum / count - estimate - queue->log_error;
  queue->count = MIN (queue->count + 1, VP_SLOWNESS_QUEUE_STEPS);
  queue->log_error += error / queue->count;
  queue->variance += (error * error - queue->variance) / MAX (queue->count, 2);
}
