#include "vp-advise.h"
#include "vp-log.h"

#include <string.h>

/* After a failed advice call. */
#define VP_ADVISE_RETRY_MS 200
/* Wait after all workers with room were asked about or ruled out. */
#define VP_ADVISE_NONE_MS 20
/* An answer to an advice call that is this late is taken as lost. */
#define VP_ADVISE_GRACE_MS 2500
/* Assumed part of workers that advice allows, until answers tell; and the weight of each answer. */
#define VP_ADVISE_GOOD_SHARE  0.5
#define VP_ADVISE_GOOD_WEIGHT 0.1
/* Advice calls under way for each process that can make them: one is served, one waits. More would
 * be answered after the state that they were asked for. */
#define VP_ADVISE_ASKS_EACH 2
/* Part of the processes that stays free for queues of priority 0: calls for the others take up to
 * a second, and an urgent one would wait behind them. */
#define VP_ADVISE_URGENT_SHARE 0.25

typedef struct {
  VpTaskName step;
  int64_t expires_ms;
  bool is_urgent;
  GPtrArray *workers; /* ids asked about; a reference */
  GArray *claims;     /* VpResources: room at each of them that the call is meant for */
} VpAdvisePending;

static void
_vp_advise_pending_free (gpointer data)
{
  VpAdvisePending *ask = data;

  g_ptr_array_unref (ask->workers);
  g_array_unref (ask->claims);
  g_free (ask);
}

struct _VpAdvise {
  GHashTable *pending;     /* serial -> VpAdvisePending */
  GHashTable *good_shares; /* queue -> double */
  /* Worker id -> VpResources: room that calls under way are meant for. Steps that ask at the same time
   * would all name the workers with most room otherwise, and most answers would come too late. */
  GHashTable *claims;
  GHashTable *urgent_claims; /* of urgent calls only */
  uint64_t last_serial;
  uint32_t asker_count;
  uint32_t deferrable_count; /* calls under way that aren't urgent */
};

VpAdvise *
vp_advise_setup (uint64_t last_serial)
{
  VpAdvise *advise = g_new0 (VpAdvise, 1);

  advise->pending
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, _vp_advise_pending_free);
  advise->good_shares = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  advise->claims = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  advise->urgent_claims = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  advise->last_serial = last_serial;
  advise->asker_count = 1;
  return advise;
}

void
vp_advise_shutdown (VpAdvise *advise)
{
  g_hash_table_unref (advise->pending);
  g_hash_table_unref (advise->good_shares);
  g_hash_table_unref (advise->claims);
  g_hash_table_unref (advise->urgent_claims);
  g_free (advise);
}

void
vp_advise_set_askers (VpAdvise *advise, uint32_t count)
{
  advise->asker_count = MAX (count, 1);
}

static double *
_vp_advise_good_share (VpAdvise *advise, const char *queue)
{
  double *share = g_hash_table_lookup (advise->good_shares, queue);

  if (share == NULL) {
    share = g_new (double, 1);
    *share = VP_ADVISE_GOOD_SHARE;
    g_hash_table_insert (advise->good_shares, g_strdup (queue), share);
  }
  return share;
}

static void
_vp_advise_claim (GHashTable *claims, const char *worker, const VpResources *size)
{
  VpResources *claim = g_hash_table_lookup (claims, worker);

  if (claim == NULL) {
    claim = g_new0 (VpResources, 1);
    g_hash_table_insert (claims, g_strdup (worker), claim);
  }
  vp_resources_add (claim, size);
}

static void
_vp_advise_unclaim (GHashTable *claims, const char *worker, const VpResources *size)
{
  VpResources *claim = g_hash_table_lookup (claims, worker);

  /* Claims of tasks without a size leave nothing behind. */
  if (claim == NULL)
    return;
  vp_resources_sub (claim, size);
  if (claim->cpu_milli == 0 && claim->mem_mib == 0 && claim->accel_count == 0)
    g_hash_table_remove (claims, worker);
}

/* The call is under way. */
static void
_vp_advise_open (VpAdvise *advise, const VpAdvisePending *ask)
{
  advise->deferrable_count += ask->is_urgent ? 0 : 1;
  for (guint i = 0; i < ask->workers->len; i++) {
    const VpResources *size = &g_array_index (ask->claims, VpResources, i);
    _vp_advise_claim (advise->claims, ask->workers->pdata[i], size);
    if (ask->is_urgent)
      _vp_advise_claim (advise->urgent_claims, ask->workers->pdata[i], size);
  }
}

static void
_vp_advise_close (VpAdvise *advise, const VpAdvisePending *ask)
{
  advise->deferrable_count -= ask->is_urgent ? 0 : 1;
  for (guint i = 0; i < ask->workers->len; i++) {
    const VpResources *size = &g_array_index (ask->claims, VpResources, i);
    _vp_advise_unclaim (advise->claims, ask->workers->pdata[i], size);
    if (ask->is_urgent)
      _vp_advise_unclaim (advise->urgent_claims, ask->workers->pdata[i], size);
  }
}

static void
_vp_advise_forget (VpAdvise *advise, uint64_t serial)
{
  const VpAdvisePending *ask = g_hash_table_lookup (advise->pending, &serial);

  if (ask == NULL)
    return;
  _vp_advise_close (advise, ask);
  g_hash_table_remove (advise->pending, &serial);
}

/* Urgent calls queue at each process; the others wait for one that is free. */
static bool
_vp_advise_has_asker (const VpAdvise *advise, bool is_urgent)
{
  uint32_t reserved = (uint32_t)(advise->asker_count * VP_ADVISE_URGENT_SHARE + 0.5);

  if (g_hash_table_size (advise->pending) >= VP_ADVISE_ASKS_EACH * advise->asker_count)
    return false;
  return is_urgent || advise->deferrable_count < MAX (advise->asker_count - reserved, 1);
}

bool
vp_advise_ask (VpAdvise *advise,
               const VpPlacePool *pool,
               VpJobStep *step,
               const VpQueueConf *queue,
               int64_t now_ms,
               VpAdviceAsk *out)
{
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (VpPlaceCandidate));
  bool is_urgent = queue->priority == 0;
  VpAdvisePending *pending;

  if (step->ask_serial != 0 || now_ms < step->ask_next_ms
      || !_vp_advise_has_asker (advise, is_urgent))
    return false;
  /* Urgent calls are short, and their steps go first: they heed each other only. */
  vp_place_candidates (pool, step, *_vp_advise_good_share (advise, queue->name),
                       is_urgent ? advise->urgent_claims : advise->claims, now_ms, candidates);
  if (candidates->len == 0) {
    step->ask_next_ms = now_ms + VP_ADVISE_NONE_MS;
    return false;
  }
  memset (out, 0, sizeof *out);
  vp_jobtask_name (&step->tasks[0], &out->step);
  out->serial = step->ask_serial = ++advise->last_serial;
  out->expected_ms
      = (int64_t)(queue->advice_decide_ms + queue->advice_worker_ms * candidates->len) + 1;
  out->workers = g_ptr_array_new_with_free_func (g_free);
  pending = g_new (VpAdvisePending, 1);
  *pending = (VpAdvisePending){ .step = out->step,
                                .expires_ms = now_ms + out->expected_ms + VP_ADVISE_GRACE_MS,
                                .is_urgent = is_urgent,
                                .workers = g_ptr_array_ref (out->workers),
                                .claims = g_array_new (FALSE, FALSE, sizeof (VpResources)) };
  for (guint i = 0; i < candidates->len; i++) {
    const VpPlaceCandidate *candidate = &g_array_index (candidates, VpPlaceCandidate, i);
    VpResources claim = vp_jobtask_room (&step->tasks[0]);
    vp_resources_scale (&claim, MIN (candidate->capacity, step->waiting_count));
    g_ptr_array_add (out->workers, g_strdup (candidate->worker->entry.id));
    g_array_append_val (pending->claims, claim);
  }
  _vp_advise_open (advise, pending);
  g_hash_table_insert (advise->pending, g_memdup2 (&out->serial, sizeof out->serial), pending);
  if (step->advice == NULL)
    step->advice = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  vp_log (now_ms, "ask",
          "job=%016" G_GINT64_MODIFIER "x step=%u serial=%" G_GUINT64_FORMAT
          " workers=%u waiting=%u",
          out->step.job, out->step.step, out->serial, candidates->len, step->waiting_count);
  return true;
}

static void
_vp_advise_note (const VpRoster *roster, VpJobStep *step, const VpAdviceRow *from)
{
  VpAdviceRow *row = g_memdup2 (from, sizeof (VpAdviceRow));
  const VpRosterWorker *worker = vp_roster_find (roster, row->worker);

  row->born_ms = worker == NULL ? 0 : worker->born_ms;
  step->tickets_until_ms = MAX (step->tickets_until_ms, row->valid_until_ms);
  g_hash_table_replace (step->advice, row->worker, row);
}

/* Workers that were asked about and aren't named in the answer are ruled out. */
static void
_vp_advise_take (VpAdvise *advise,
                 const VpRoster *roster,
                 VpJobStep *step,
                 const VpAdvisePending *ask,
                 const GArray *rows)
{
  double *share = _vp_advise_good_share (advise, step->run->job->spec->queue);
  double allowed = (double)rows->len / MAX (ask->workers->len, 1);

  for (guint i = 0; i < ask->workers->len; i++) {
    VpAdviceRow row = { 0 };
    g_strlcpy (row.worker, ask->workers->pdata[i], sizeof row.worker);
    _vp_advise_note (roster, step, &row);
  }
  for (guint i = 0; i < rows->len; i++)
    _vp_advise_note (roster, step, &g_array_index (rows, VpAdviceRow, i));
  *share = CLAMP (*share + VP_ADVISE_GOOD_WEIGHT * (allowed - *share), 0.05, 1.0);
}

void
vp_advise_answer (VpAdvise *advise,
                  const VpRoster *roster,
                  const VpJobList *jobs,
                  uint64_t serial,
                  const GArray *rows,
                  int64_t now_ms)
{
  VpAdvisePending *ask = g_hash_table_lookup (advise->pending, &serial);
  VpJobTask *task = ask == NULL ? NULL : vp_joblist_task (jobs, &ask->step);
  VpJobStep *step = task == NULL ? NULL : task->step;

  if (step == NULL || step->ask_serial != serial) {
    _vp_advise_forget (advise, serial);
    return;
  }
  step->ask_serial = 0;
  if (rows == NULL)
    step->ask_next_ms = now_ms + VP_ADVISE_RETRY_MS;
  else
    _vp_advise_take (advise, roster, step, ask, rows);
  _vp_advise_forget (advise, serial);
}

void
vp_advise_expire (VpAdvise *advise, const VpJobList *jobs, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, advise->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpAdvisePending *ask = value;
    VpJobTask *task;
    if (now_ms < ask->expires_ms)
      continue;
    task = vp_joblist_task (jobs, &ask->step);
    if (task != NULL)
      task->step->ask_serial = 0;
    _vp_advise_close (advise, ask);
    g_hash_table_iter_remove (&iter);
  }
}
