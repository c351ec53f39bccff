#include "vp-workerlist.h"

#include <math.h>
#include <string.h>

/* A worker is quarantined after failed runs of this many different jobs without a success in
 * between. Tasks fail through faults of their own in one run of twenty, and a job that can't
 * succeed fails with all its tasks. A worker that is quarantined for such failures is soon back, as
 * the first quarantine is short. */
#define VP_WORKERLIST_QUARANTINE_JOBS 2
/* A worker is also quarantined after this many failed runs without a success in between. */
#define VP_WORKERLIST_QUARANTINE_RUNS 4
/* Duration of the first quarantine. It doubles with each further one without a success in between.
 */
#define VP_WORKERLIST_QUARANTINE_MS 2000
/* Maximum number of times that the duration of a quarantine is doubled. */
#define VP_WORKERLIST_QUARANTINE_STEPS 3
/* Interval at which the slowness of all workers is centred. */
#define VP_WORKERLIST_CENTRE_MS 1000

/* Time that answers of workers may take on their way through slow relays. In trials with a leader
 * on a full core they took 4 s and more. */
#define VP_WORKERLIST_RELAY_DELAY_MS 6000

void
vp_worker_entry_clear (VpWorkerEntry *entry)
{
  vp_text_clear (&entry->id);
  vp_text_clear (&entry->service);
  vp_text_clear (&entry->dc);
  vp_text_clear (&entry->kind);
  vp_text_clear (&entry->rack);
}

static void
_vp_worker_entry_clear_item (gpointer data)
{
  vp_worker_entry_clear (data);
}

GArray *
vp_worker_entries_new (void)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (VpWorkerEntry));

  g_array_set_clear_func (entries, _vp_worker_entry_clear_item);
  return entries;
}

static void
_vp_workerlist_worker_free (gpointer data)
{
  VpCellWorker *worker = data;

  vp_worker_entry_clear (&worker->entry);
  g_hash_table_unref (worker->tasks);
  g_free (worker);
}

/* Returns the time after which every lease has expired that was granted by commands sent until
 * @sent_ms, for a worker whose clock isn't known. Commands may take VP_WORKERLIST_UNCONFIRMED_MS to
 * be carried out. */
static int64_t
_vp_workerlist_leases_until_ms (int64_t hold_max_ms, int64_t sent_ms)
{
  return sent_ms
         + (hold_max_ms + VP_WORKERLIST_UNCONFIRMED_MS) * 1000
               / (1000 - VP_WORKERLIST_CLOCK_SLOW_MILLI)
         + VP_WORKERLIST_EXPIRY_MARGIN_MS;
}

static void
_vp_workerlist_kind_free (gpointer data)
{
  VpKindSpeed *kind = data;

  g_free (kind->service);
  g_free (kind);
}

VpWorkerList *
vp_workerlist_setup (int64_t hold_max_ms, int64_t now_ms)
{
  VpWorkerList *worker_list = g_new0 (VpWorkerList, 1);

  worker_list->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  worker_list->workers = g_ptr_array_new_with_free_func (_vp_workerlist_worker_free);
  worker_list->racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker_list->evacuated_dcs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker_list->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, _vp_workerlist_kind_free);
  worker_list->hold_max_ms = hold_max_ms;
  worker_list->inherited_until_ms = _vp_workerlist_leases_until_ms (hold_max_ms, now_ms);
  return worker_list;
}

void
vp_workerlist_shutdown (VpWorkerList *worker_list)
{
  g_hash_table_unref (worker_list->by_id);
  g_ptr_array_unref (worker_list->workers);
  g_hash_table_unref (worker_list->racks);
  g_hash_table_unref (worker_list->evacuated_dcs);
  g_hash_table_unref (worker_list->kinds);
  g_free (worker_list);
}

static uint32_t
_vp_workerlist_rack_index (VpWorkerList *worker_list, const VpWorkerEntry *entry)
{
  g_autofree char *name = g_strdup_printf ("%s/%s", vp_text (entry->dc), vp_text (entry->rack));
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (worker_list->racks, name));

  if (index == 0) {
    index = g_hash_table_size (worker_list->racks) + 1;
    g_hash_table_insert (worker_list->racks, g_steal_pointer (&name), GUINT_TO_POINTER (index));
  }
  return index - 1;
}

/* Replaces the text, which is never NULL, with a copy of @value. Most entries repeat the last ones.
 */
static void
_vp_workerlist_set_text (char **text, const char *value)
{
  if (*text != NULL && vp_text_equal (*text, value))
    return;
  g_free (*text);
  *text = g_strdup (vp_text (value));
}

static void
_vp_workerlist_set_entry (VpWorkerList *worker_list,
                          VpCellWorker *worker,
                          const VpWorkerEntry *entry)
{
  VpWorkerEntry own = worker->entry;

  /* The table of workers uses the identity, which doesn't change. */
  _vp_workerlist_set_text (&own.id, entry->id);
  _vp_workerlist_set_text (&own.service, entry->service);
  _vp_workerlist_set_text (&own.dc, entry->dc);
  _vp_workerlist_set_text (&own.kind, entry->kind);
  _vp_workerlist_set_text (&own.rack, entry->rack);
  worker->entry = *entry;
  worker->entry.id = own.id;
  worker->entry.service = own.service;
  worker->entry.dc = own.dc;
  worker->entry.kind = own.kind;
  worker->entry.rack = own.rack;
  worker->rack_index = _vp_workerlist_rack_index (worker_list, &worker->entry);
  worker->is_evacuated = g_hash_table_contains (worker_list->evacuated_dcs, worker->entry.dc);
}

/* Makes the worker one of its kind among the workers of its service. */
static void
_vp_workerlist_set_kind (VpWorkerList *worker_list, VpCellWorker *worker)
{
  g_autofree char *name = g_strdup_printf ("%s/%s", worker->entry.service, worker->entry.kind);
  VpKindSpeed *kind = g_hash_table_lookup (worker_list->kinds, name);

  if (kind == NULL) {
    kind = g_new0 (VpKindSpeed, 1);
    kind->service = g_strdup (worker->entry.service);
    g_hash_table_insert (worker_list->kinds, g_steal_pointer (&name), kind);
  }
  vp_workerspeed_set_kind (&worker->speed, kind);
  worker->slowness = vp_workerspeed_slowness (&worker->speed);
}

VpCellWorker *
vp_workerlist_add (VpWorkerList *worker_list, const VpWorkerEntry *entry)
{
  VpCellWorker *worker = vp_workerlist_find (worker_list, entry->id);

  if (worker != NULL)
    return worker;
  worker = g_new0 (VpCellWorker, 1);
  worker->tasks = g_hash_table_new (NULL, NULL);
  worker->throttle_percent = 100;
  worker->slowness = 1;
  _vp_workerlist_set_entry (worker_list, worker, entry);
  worker->silent_until_ms = worker_list->inherited_until_ms;
  worker_list->is_changed = true;
  g_ptr_array_add (worker_list->workers, worker);
  g_hash_table_insert (worker_list->by_id, worker->entry.id, worker);
  return worker;
}

VpCellWorker *
vp_workerlist_update (VpWorkerList *worker_list, const VpWorkerEntry *entry)
{
  VpCellWorker *worker = vp_workerlist_add (worker_list, entry);

  _vp_workerlist_set_entry (worker_list, worker, entry);
  worker->is_listed = worker->was_listed = true;
  _vp_workerlist_set_kind (worker_list, worker);
  return worker;
}

VpCellWorker *
vp_workerlist_find (const VpWorkerList *worker_list, const char *id)
{
  return g_hash_table_lookup (worker_list->by_id, id);
}

void
vp_workerlist_remove (VpWorkerList *worker_list, VpCellWorker *worker)
{
  worker_list->is_changed = true;
  vp_workerspeed_clear (&worker->speed);
  g_hash_table_remove (worker_list->by_id, worker->entry.id);
  g_ptr_array_remove (worker_list->workers, worker);
}

void
vp_workerlist_set_dc_unreachable (const VpWorkerList *worker_list,
                                  const VpCellWorker *worker,
                                  bool is_unreachable)
{
  for (guint i = 0; i < worker_list->workers->len; i++) {
    VpCellWorker *other = worker_list->workers->pdata[i];
    if (strcmp (other->entry.dc, worker->entry.dc) == 0)
      other->is_dc_unreachable = is_unreachable;
  }
}

void
vp_workerlist_note_clock (const VpWorkerList *worker_list,
                          VpCellWorker *worker,
                          int64_t clock_ms,
                          int64_t received_ms)
{
  if (clock_ms <= 0)
    return;
  /* Runs that an earlier scheduler started have leases that this scheduler doesn't know. */
  if (worker->clock_at_ms == 0)
    worker->lease_end_ms = MAX (worker->lease_end_ms, clock_ms + worker_list->hold_max_ms);
  /* Answers on several connections may overtake each other, but the clock never runs backwards. */
  if (clock_ms < worker->clock_ms)
    return;
  /* An answer that was long on its way shows an older time than an earlier answer implies. */
  if (clock_ms >= vp_workerlist_clock_ms (worker, received_ms)) {
    worker->clock_ms = clock_ms;
    worker->clock_at_ms = received_ms;
  }
}

void
vp_workerlist_note_answer (const VpWorkerList *worker_list,
                           VpCellWorker *worker,
                           int64_t clock_ms,
                           int64_t received_ms)
{
  worker->last_answer_ms = MAX (worker->last_answer_ms, received_ms);
  worker->is_reachable = true;
  worker->is_replaced = false;
  if (worker->is_dc_unreachable)
    vp_workerlist_set_dc_unreachable (worker_list, worker, false);
  if (clock_ms > 0 && clock_ms >= worker->clock_ms)
    worker->alive_ms = MAX (worker->alive_ms, received_ms);
  vp_workerlist_note_clock (worker_list, worker, clock_ms, received_ms);
}

void
vp_workerlist_note_restart (const VpWorkerList *worker_list,
                            VpCellWorker *worker,
                            int64_t booted_ms,
                            int64_t now_ms)
{
  worker->restart_noted_ms = now_ms;
  worker->is_restart_unlisted = true;
  worker->earlier_alive_ms = worker->alive_ms;
  /* While its clock isn't known the worker is granted no lease, so a worker that restarts again and
   * again doesn't put off the time. */
  if (worker->clock_at_ms != 0)
    worker->silent_until_ms = _vp_workerlist_leases_until_ms (worker_list->hold_max_ms, now_ms);
  worker->booted_ms = booted_ms;
  worker->clock_ms = worker->clock_at_ms = worker->lease_end_ms = worker->list_sent_ms = 0;
  worker->list_clock_ms = 0;
  worker->last_end_seen = worker->last_end_staged = worker->last_end_durable = 0;
  worker->has_more_ends = false;
  worker->failed_jobs = worker->failed_runs = worker->quarantine_level = 0;
  worker->avoid_until_ms = 0;
  vp_workerspeed_weaken (&worker->speed);
}

int64_t
vp_workerlist_clock_ms (const VpCellWorker *worker, int64_t now_ms)
{
  if (worker->clock_at_ms == 0)
    return 0;
  return worker->clock_ms
         + (now_ms - worker->clock_at_ms) * (1000 - VP_WORKERLIST_CLOCK_SLOW_MILLI) / 1000;
}

int64_t
vp_workerlist_extend_lease (const VpWorkerList *worker_list, VpCellWorker *worker, int64_t now_ms)
{
  int64_t clock_ms = vp_workerlist_clock_ms (worker, now_ms);

  if (clock_ms == 0)
    return 0;
  worker->lease_end_ms = MAX (worker->lease_end_ms, clock_ms + worker_list->hold_max_ms);
  return clock_ms + worker_list->hold_max_ms;
}

void
vp_workerlist_set_replaced (VpCellWorker *worker)
{
  worker->is_replaced = true;
  worker->is_reachable = worker->is_synced = false;
}

bool
vp_workerlist_is_listing_ends (const VpCellWorker *worker)
{
  return worker->is_reachable && worker->has_more_ends;
}

bool
vp_workerlist_is_lease_expired (const VpCellWorker *worker, int64_t now_ms)
{
  if (worker->is_replaced)
    return true;
  if (worker->clock_at_ms == 0)
    return now_ms > worker->silent_until_ms;
  return vp_workerlist_clock_ms (worker, now_ms)
         > worker->lease_end_ms + VP_WORKERLIST_EXPIRY_MARGIN_MS;
}

bool
vp_workerlist_is_lost (const VpCellWorker *worker, int64_t now_ms)
{
  return !vp_workerlist_is_listing_ends (worker)
         && vp_workerlist_is_lease_expired (
             worker, now_ms - (worker->is_relay_silent ? VP_WORKERLIST_RELAY_DELAY_MS : 0));
}

int64_t
vp_workerlist_dc_answer_ms (const VpWorkerList *worker_list, const VpCellWorker *worker)
{
  int64_t last_answer_ms = 0;

  for (guint i = 0; i < worker_list->workers->len; i++) {
    const VpCellWorker *other = worker_list->workers->pdata[i];
    if (strcmp (other->entry.dc, worker->entry.dc) == 0)
      last_answer_ms = MAX (last_answer_ms, other->last_answer_ms);
  }
  return last_answer_ms;
}

void
vp_workerlist_set_evacuated_dcs (VpWorkerList *worker_list, const GPtrArray *dcs)
{
  g_hash_table_remove_all (worker_list->evacuated_dcs);
  for (guint i = 0; i < dcs->len; i++)
    g_hash_table_add (worker_list->evacuated_dcs, g_strdup (dcs->pdata[i]));
  for (guint i = 0; i < worker_list->workers->len; i++) {
    VpCellWorker *worker = worker_list->workers->pdata[i];
    worker->is_evacuated = g_hash_table_contains (worker_list->evacuated_dcs, worker->entry.dc);
  }
}

uint32_t
vp_workerlist_count_in_dc (const VpWorkerList *worker_list, const char *dc)
{
  uint32_t count = 0;

  for (guint i = 0; i < worker_list->workers->len; i++) {
    const VpCellWorker *worker = worker_list->workers->pdata[i];
    count += worker->is_listed && strcmp (worker->entry.dc, dc) == 0 ? 1 : 0;
  }
  return count;
}

VpResources
vp_workerlist_free_capacity (const VpCellWorker *worker)
{
  VpResources free = worker->entry.capacity;

  vp_resources_sub (&free, &worker->used);
  return free;
}

bool
vp_workerlist_is_usable (const VpCellWorker *worker, int64_t now_ms)
{
  return worker->is_listed && worker->is_synced && worker->is_reachable
         && !worker->is_dc_unreachable && !worker->is_evacuated && !worker->entry.is_draining
         && worker->unknown_run_count == 0 && !worker->is_placement_blocked
         && now_ms >= worker->avoid_until_ms;
}

bool
vp_workerlist_record_failure (VpCellWorker *worker, uint64_t job, int64_t now_ms)
{
  uint32_t steps;

  worker->failed_jobs += job == worker->last_failed_job ? 0 : 1;
  worker->last_failed_job = job;
  worker->failed_runs++;
  if (now_ms < worker->avoid_until_ms
      || (worker->failed_jobs < VP_WORKERLIST_QUARANTINE_JOBS
          && worker->failed_runs < VP_WORKERLIST_QUARANTINE_RUNS))
    return false;
  steps = MIN (worker->quarantine_level, VP_WORKERLIST_QUARANTINE_STEPS);
  worker->quarantine_level++;
  /* A single failure after the quarantine starts another quarantine. */
  worker->failed_jobs = VP_WORKERLIST_QUARANTINE_JOBS - 1;
  worker->failed_runs = VP_WORKERLIST_QUARANTINE_RUNS - 1;
  worker->avoid_until_ms = now_ms + (VP_WORKERLIST_QUARANTINE_MS << steps);
  return true;
}

void
vp_workerlist_record_success (VpCellWorker *worker)
{
  worker->failed_jobs = worker->failed_runs = 0;
  worker->quarantine_level = 0;
}

void
vp_workerlist_record_speed (VpCellWorker *worker, double log_ratio, double weight)
{
  vp_workerspeed_record (&worker->speed, log_ratio, weight);
  worker->slowness = vp_workerspeed_slowness (&worker->speed);
}

void
vp_workerlist_record_duration (VpCellWorker *worker, int64_t duration_ms, int64_t mean_ms)
{
  if (mean_ms > 0 && duration_ms > 0)
    vp_workerlist_record_speed (worker, log ((double)duration_ms / (double)mean_ms), 1);
}

/* The workers of a service. */
typedef struct {
  double log_sum; /* of the slowness of each */
  uint32_t count;
} VpServiceSpeed;

static double
_vp_workerlist_log_shift (GHashTable *services, const char *service)
{
  const VpServiceSpeed *speed = g_hash_table_lookup (services, service);

  return speed == NULL ? 0 : -speed->log_sum / speed->count;
}

void
vp_workerlist_centre_speeds (VpWorkerList *worker_list, int64_t now_ms)
{
  g_autoptr (GHashTable) services = NULL;
  GHashTableIter iter;
  gpointer value;

  if (now_ms < worker_list->centred_ms + VP_WORKERLIST_CENTRE_MS)
    return;
  worker_list->centred_ms = now_ms;
  services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < worker_list->workers->len; i++) {
    const VpCellWorker *worker = worker_list->workers->pdata[i];
    VpServiceSpeed *speed = g_hash_table_lookup (services, worker->entry.service);
    if (!worker->is_listed)
      continue;
    if (speed == NULL) {
      speed = g_new0 (VpServiceSpeed, 1);
      g_hash_table_insert (services, (gpointer)worker->entry.service, speed);
    }
    speed->log_sum += vp_workerspeed_log (&worker->speed);
    speed->count++;
  }
  g_hash_table_iter_init (&iter, worker_list->kinds);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpKindSpeed *kind = value;
    vp_kindspeed_shift (kind, _vp_workerlist_log_shift (services, kind->service));
  }
  for (guint i = 0; i < worker_list->workers->len; i++) {
    VpCellWorker *worker = worker_list->workers->pdata[i];
    vp_workerspeed_shift (&worker->speed,
                          _vp_workerlist_log_shift (services, worker->entry.service));
    worker->slowness = vp_workerspeed_slowness (&worker->speed);
  }
}
