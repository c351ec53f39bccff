#include "vp-advise.h"
#include "vp-log.h"

#include <string.h>

/* Delay before advice is requested again after a failed call. */
#define VP_ADVISE_RETRY_MS 200
/* Delay before advice is requested again for a step if no worker with enough free capacity was left
 * to put into a request. */
#define VP_ADVISE_NO_CANDIDATES_MS 20
/* A request counts as lost if its result is later than expected by this time. */
#define VP_ADVISE_TIMEOUT_MS 2500
/* Initial estimate of the share of workers that the service allows. */
#define VP_ADVISE_APPROVAL_RATE 0.5
/* Weight of each result in the moving average of that share. */
#define VP_ADVISE_APPROVAL_WEIGHT 0.1
/* Maximum number of pending requests for each process that can make calls: one is served while
 * another waits. More requests would get their results only after the state that they were made for
 * has changed. */
#define VP_ADVISE_REQUESTS_PER_CLIENT 2
/* Share of the processes that is reserved for queues of priority 0. Calls for other queues take up
 * to a second, and an urgent call would have to wait for them. */
#define VP_ADVISE_URGENT_SHARE 0.25

static void
_vp_advice_row_clear (gpointer data)
{
  VpAdviceRow *row = data;

  vp_text_clear (&row->worker);
  vp_text_clear (&row->ticket);
}

GArray *
vp_advice_rows_new (void)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (VpAdviceRow));

  g_array_set_clear_func (rows, _vp_advice_row_clear);
  return rows;
}

static void
_vp_advice_row_free (gpointer data)
{
  _vp_advice_row_clear (data);
  g_free (data);
}

GHashTable *
vp_advice_table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _vp_advice_row_free);
}

/* A request whose result hasn't arrived. */
typedef struct {
  VpTaskName step; /* name of any task of the step; its index isn't used */
  int64_t expires_ms;
  bool is_urgent;       /* its queue has priority 0 */
  GPtrArray *workers;   /* identities of the workers in the request; a reference */
  GArray *reservations; /* VpResources: capacity of each worker that the request is meant to fill */
} VpAdvisePending;

static void
_vp_advise_pending_free (gpointer data)
{
  VpAdvisePending *pending = data;

  g_ptr_array_unref (pending->workers);
  g_array_unref (pending->reservations);
  g_free (pending);
}

struct _VpAdvise {
  GHashTable *pending;        /* serial -> VpAdvisePending */
  GHashTable *approval_rates; /* queue -> double: share of workers that the service allows */
  /* Worker id -> VpResources: capacity that pending requests are meant to fill. Without it steps
   * that request advice at the same time would all name the workers with the most free capacity,
   * and most results would come too late to be used. */
  GHashTable *reservations;
  GHashTable *urgent_reservations; /* the part of @reservations that belongs to urgent requests */
  uint64_t last_serial;
  uint32_t client_count;
  uint32_t normal_count; /* number of pending requests that aren't urgent */
};

VpAdvise *
vp_advise_setup (uint64_t last_serial)
{
  VpAdvise *advise = g_new0 (VpAdvise, 1);

  advise->pending
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, _vp_advise_pending_free);
  advise->approval_rates = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  advise->reservations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  advise->urgent_reservations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  advise->last_serial = last_serial;
  advise->client_count = 1;
  return advise;
}

void
vp_advise_shutdown (VpAdvise *advise)
{
  g_hash_table_unref (advise->pending);
  g_hash_table_unref (advise->approval_rates);
  g_hash_table_unref (advise->reservations);
  g_hash_table_unref (advise->urgent_reservations);
  g_free (advise);
}

void
vp_advise_set_client_count (VpAdvise *advise, uint32_t count)
{
  advise->client_count = MAX (count, 1);
}

/* Returns the estimated share of workers that the service allows for the queue. */
static double *
_vp_advise_approval_rate (VpAdvise *advise, const char *queue)
{
  double *approval_rate = g_hash_table_lookup (advise->approval_rates, queue);

  if (approval_rate == NULL) {
    approval_rate = g_new (double, 1);
    *approval_rate = VP_ADVISE_APPROVAL_RATE;
    g_hash_table_insert (advise->approval_rates, g_strdup (queue), approval_rate);
  }
  return approval_rate;
}

static void
_vp_advise_reserve (GHashTable *reservations, const char *worker, const VpResources *size)
{
  VpResources *reservation = g_hash_table_lookup (reservations, worker);

  if (reservation == NULL) {
    reservation = g_new0 (VpResources, 1);
    g_hash_table_insert (reservations, g_strdup (worker), reservation);
  }
  vp_resources_add (reservation, size);
}

static void
_vp_advise_unreserve (GHashTable *reservations, const char *worker, const VpResources *size)
{
  VpResources *reservation = g_hash_table_lookup (reservations, worker);

  /* Tasks without a size leave no entry. */
  if (reservation == NULL)
    return;
  vp_resources_sub (reservation, size);
  if (reservation->cpu_milli == 0 && reservation->mem_mib == 0 && reservation->accel_count == 0)
    g_hash_table_remove (reservations, worker);
}

/* Counts a new request and reserves capacity for it. */
static void
_vp_advise_begin (VpAdvise *advise, const VpAdvisePending *pending)
{
  advise->normal_count += pending->is_urgent ? 0 : 1;
  for (guint i = 0; i < pending->workers->len; i++) {
    const VpResources *size = &g_array_index (pending->reservations, VpResources, i);
    _vp_advise_reserve (advise->reservations, pending->workers->pdata[i], size);
    if (pending->is_urgent)
      _vp_advise_reserve (advise->urgent_reservations, pending->workers->pdata[i], size);
  }
}

/* Reverts _vp_advise_begin(). */
static void
_vp_advise_end (VpAdvise *advise, const VpAdvisePending *pending)
{
  advise->normal_count -= pending->is_urgent ? 0 : 1;
  for (guint i = 0; i < pending->workers->len; i++) {
    const VpResources *size = &g_array_index (pending->reservations, VpResources, i);
    _vp_advise_unreserve (advise->reservations, pending->workers->pdata[i], size);
    if (pending->is_urgent)
      _vp_advise_unreserve (advise->urgent_reservations, pending->workers->pdata[i], size);
  }
}

static void
_vp_advise_remove (VpAdvise *advise, uint64_t serial)
{
  const VpAdvisePending *pending = g_hash_table_lookup (advise->pending, &serial);

  if (pending == NULL)
    return;
  _vp_advise_end (advise, pending);
  g_hash_table_remove (advise->pending, &serial);
}

/* Returns true if another request may be made. Urgent requests may queue at a busy process, while
 * the others wait for a free process. */
static bool
_vp_advise_has_free_client (const VpAdvise *advise, bool is_urgent)
{
  uint32_t reserved = (uint32_t)(advise->client_count * VP_ADVISE_URGENT_SHARE + 0.5);

  if (g_hash_table_size (advise->pending) >= VP_ADVISE_REQUESTS_PER_CLIENT * advise->client_count)
    return false;
  return is_urgent || advise->normal_count < MAX (advise->client_count - reserved, 1);
}

bool
vp_advise_request (VpAdvise *advise,
                   const VpPlacePool *pool,
                   VpJobStep *step,
                   const VpQueueConfig *queue,
                   int64_t now_ms,
                   VpAdviceRequest *out)
{
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (VpPlaceCandidate));
  bool is_urgent = queue->priority == 0;
  VpAdvisePending *pending;

  if (step->advice_serial != 0 || now_ms < step->advice_retry_ms
      || !_vp_advise_has_free_client (advise, is_urgent))
    return false;
  /* Urgent calls are short and their steps are placed first, so only reservations of other urgent
   * requests matter to them. */
  vp_place_candidates (pool, step, queue, *_vp_advise_approval_rate (advise, queue->name),
                       is_urgent ? advise->urgent_reservations : advise->reservations, now_ms,
                       candidates);
  if (candidates->len == 0) {
    step->advice_retry_ms = now_ms + VP_ADVISE_NO_CANDIDATES_MS;
    return false;
  }
  memset (out, 0, sizeof *out);
  vp_jobtask_name (&step->tasks[0], &out->step);
  out->serial = step->advice_serial = ++advise->last_serial;
  out->expected_ms = vp_cellconfig_advice_ms (queue, candidates->len);
  out->workers = g_ptr_array_new_with_free_func (g_free);
  pending = g_new (VpAdvisePending, 1);
  *pending = (VpAdvisePending){ .step = out->step,
                                .expires_ms = now_ms + out->expected_ms + VP_ADVISE_TIMEOUT_MS,
                                .is_urgent = is_urgent,
                                .workers = g_ptr_array_ref (out->workers),
                                .reservations = g_array_new (FALSE, FALSE, sizeof (VpResources)) };
  for (guint i = 0; i < candidates->len; i++) {
    const VpPlaceCandidate *candidate = &g_array_index (candidates, VpPlaceCandidate, i);
    VpResources reservation = vp_jobtask_demand (&step->tasks[0]);
    vp_resources_scale (&reservation, MIN (candidate->capacity, step->waiting_count));
    g_ptr_array_add (out->workers, g_strdup (candidate->worker->entry.id));
    g_array_append_val (pending->reservations, reservation);
  }
  _vp_advise_begin (advise, pending);
  g_hash_table_insert (advise->pending, g_memdup2 (&out->serial, sizeof out->serial), pending);
  if (step->advice == NULL)
    step->advice = vp_advice_table_new ();
  vp_log (now_ms, "advice-request",
          "job=%016" G_GINT64_MODIFIER "x step=%u serial=%" G_GUINT64_FORMAT
          " workers=%u waiting=%u",
          out->step.job, out->step.step, out->serial, candidates->len, step->waiting_count);
  return true;
}

/* Stores a copy of the row in the advice of the step. */
static void
_vp_advise_store_row (const VpWorkerList *worker_list, VpJobStep *step, const VpAdviceRow *from)
{
  VpAdviceRow *row = g_new0 (VpAdviceRow, 1);
  const VpCellWorker *worker = vp_workerlist_find (worker_list, vp_text (from->worker));

  row->worker = g_strdup (vp_text (from->worker));
  vp_text_set (&row->ticket, from->ticket);
  row->valid_until_ms = from->valid_until_ms;

  row->booted_ms = worker == NULL ? 0 : worker->booted_ms;
  step->tickets_expire_ms = MAX (step->tickets_expire_ms, row->valid_until_ms);
  g_hash_table_replace (step->advice, row->worker, row);
}

/* Stores the result. Workers that were in the request but aren't in the result must not run the
 * step. */
static void
_vp_advise_apply (VpAdvise *advise,
                  const VpWorkerList *worker_list,
                  VpJobStep *step,
                  const VpAdvisePending *pending,
                  const GArray *rows)
{
  double *approval_rate = _vp_advise_approval_rate (advise, step->occurrence->job->spec->queue);
  double allowed_share = (double)rows->len / MAX (pending->workers->len, 1);

  for (guint i = 0; i < pending->workers->len; i++) {
    /* It borrows the identity. */
    VpAdviceRow row = { .worker = pending->workers->pdata[i] };
    _vp_advise_store_row (worker_list, step, &row);
  }
  for (guint i = 0; i < rows->len; i++)
    _vp_advise_store_row (worker_list, step, &g_array_index (rows, VpAdviceRow, i));
  *approval_rate = CLAMP (
      *approval_rate + VP_ADVISE_APPROVAL_WEIGHT * (allowed_share - *approval_rate), 0.05, 1.0);
}

void
vp_advise_handle_result (VpAdvise *advise,
                         const VpWorkerList *worker_list,
                         const VpJobList *jobs,
                         uint64_t serial,
                         const GArray *rows,
                         int64_t now_ms)
{
  VpAdvisePending *pending = g_hash_table_lookup (advise->pending, &serial);
  VpJobTask *task = pending == NULL ? NULL : vp_joblist_task (jobs, &pending->step);
  VpJobStep *step = task == NULL ? NULL : task->step;

  if (step == NULL || step->advice_serial != serial) {
    _vp_advise_remove (advise, serial);
    return;
  }
  step->advice_serial = 0;
  if (rows == NULL)
    step->advice_retry_ms = now_ms + VP_ADVISE_RETRY_MS;
  else
    _vp_advise_apply (advise, worker_list, step, pending, rows);
  _vp_advise_remove (advise, serial);
}

void
vp_advise_expire (VpAdvise *advise, const VpJobList *jobs, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, advise->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpAdvisePending *pending = value;
    VpJobTask *task;
    if (now_ms < pending->expires_ms)
      continue;
    task = vp_joblist_task (jobs, &pending->step);
    if (task != NULL)
      task->step->advice_serial = 0;
    _vp_advise_end (advise, pending);
    g_hash_table_iter_remove (&iter);
  }
}
