#include "vp-reservation.h"

/* A demand of at least this share of a worker is wide. */
#define VP_RESERVATION_WIDE_SHARE 0.45
/* Expected remaining time of a task that has taken longer than estimated, or that is being stopped.
 */
#define VP_RESERVATION_OVERDUE_MS 200
/* Lower limit of a worker's slowness, as one without a value has none. */
#define VP_RESERVATION_SLOWNESS_MIN 0.05

void
vp_reservation_add (VpReservation *reservation, const VpResources *size, int64_t from_ms)
{
  reservation->from_ms
      = vp_resources_is_zero (&reservation->size) ? from_ms : MIN (reservation->from_ms, from_ms);
  vp_resources_add (&reservation->size, size);
}

VpResources
vp_reservation_left (const VpReservation *reservation, const VpResources *free)
{
  VpResources left = *free;
  VpResources none = { 0 };

  vp_resources_sub (&left, &reservation->size);
  return vp_resources_max (&left, &none);
}

bool
vp_reservation_admits (const VpReservation *reservation,
                       const VpResources *free,
                       const VpResources *demand,
                       int64_t duration_ms,
                       int64_t now_ms)
{
  VpResources left;

  if (!vp_resources_fits (demand, free))
    return false;
  if (vp_resources_is_zero (&reservation->size) || now_ms + duration_ms <= reservation->from_ms)
    return true;
  left = vp_reservation_left (reservation, free);
  return vp_resources_fits (demand, &left);
}

bool
vp_reservation_is_wide (const VpResources *demand, const VpResources *capacity)
{
  return vp_resources_dominant_share (demand, capacity) >= VP_RESERVATION_WIDE_SHARE;
}

/* Returns the median of the time at which the run ends, given that it hasn't ended yet. */
static int64_t
_vp_reservation_forecast_end_ms (const VpJobTask *task,
                                 const VpForecast *forecast,
                                 double slowness,
                                 int64_t now_ms)
{
  double factor = MAX (slowness, VP_RESERVATION_SLOWNESS_MIN);
  int64_t age_ms = (int64_t)((double)(now_ms - task->started_ms) / factor);
  VpForecastKey key;

  vp_jobstep_forecast_key (task->step, &key);
  return task->started_ms
         + (int64_t)((double)vp_forecast_quantile_ms (forecast, &key, 0.5, MAX (age_ms, 0))
                     * factor);
}

/* Returns the time at which the assigned task is expected to end; INT64_MAX: it doesn't end by
 * itself. The time is kept with the task and computed again only once it has passed, as a decision
 * may look at all tasks of all workers. */
static int64_t
_vp_reservation_end_ms (VpJobTask *task,
                        const VpForecast *forecast,
                        double slowness,
                        int64_t now_ms)
{
  const VpStepSpec *spec = task->step->spec;

  if (task->phase == VP_PHASE_STOPPING)
    return now_ms + VP_RESERVATION_OVERDUE_MS;
  if (spec->is_long_running)
    return INT64_MAX;
  if (forecast == NULL)
    task->expected_end_ms = task->started_ms + (int64_t)((double)spec->estimate_ms * slowness);
  else if (task->expected_end_ms <= now_ms)
    task->expected_end_ms = _vp_reservation_forecast_end_ms (task, forecast, slowness, now_ms);
  return MAX (task->expected_end_ms, now_ms + VP_RESERVATION_OVERDUE_MS);
}

typedef struct {
  int64_t end_ms;
  VpResources size;
} VpExpectedEnd;

static gint
_vp_reservation_compare_ends (gconstpointer a, gconstpointer b)
{
  const VpExpectedEnd *one = a;
  const VpExpectedEnd *two = b;

  return one->end_ms == two->end_ms ? 0 : one->end_ms < two->end_ms ? -1 : 1;
}

int64_t
vp_reservation_available_ms (const VpCellWorker *worker,
                             const VpForecast *forecast,
                             const VpResources *free,
                             const VpResources *demand,
                             int64_t now_ms)
{
  g_autoptr (GArray) ends = NULL;
  VpResources available = *free;
  GHashTableIter iter;
  gpointer key;

  if (vp_resources_fits (demand, free))
    return now_ms;
  ends
      = g_array_sized_new (FALSE, FALSE, sizeof (VpExpectedEnd), g_hash_table_size (worker->tasks));
  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL)) {
    VpExpectedEnd end
        = { .end_ms = _vp_reservation_end_ms (key, forecast, worker->slowness, now_ms),
            .size = vp_jobtask_demand (key) };
    g_array_append_val (ends, end);
  }
  g_array_sort (ends, _vp_reservation_compare_ends);
  for (guint i = 0; i < ends->len; i++) {
    const VpExpectedEnd *end = &g_array_index (ends, VpExpectedEnd, i);
    vp_resources_add (&available, &end->size);
    if (vp_resources_fits (demand, &available))
      return end->end_ms;
  }
  return INT64_MAX;
}
