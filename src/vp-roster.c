#include "vp-roster.h"

#include <string.h>

/* Failures of this many different jobs, or runs, without a success in between put a worker aside.
 * Tasks fail for faults of their own in one run of twenty, and jobs that can never be done fail
 * with all their tasks; the time aside is short for these. */
#define VP_ROSTER_SUSPECT_JOBS 2
#define VP_ROSTER_SUSPECT_RUNS 4
/* First time aside; doubles up to VP_ROSTER_SUSPECT_STEPS times. */
#define VP_ROSTER_SUSPECT_MS    2000
#define VP_ROSTER_SUSPECT_STEPS 3
/* Weight of one task in the slowness of its worker, and the range that one task can show. */
#define VP_ROSTER_SLOWNESS_WEIGHT 0.15
#define VP_ROSTER_SLOWNESS_MIN    0.3
#define VP_ROSTER_SLOWNESS_MAX    5.0

static void
_vp_roster_worker_free (gpointer data)
{
  VpRosterWorker *worker = data;

  g_hash_table_unref (worker->tasks);
  g_free (worker);
}

VpRoster *
vp_roster_setup (int64_t hold_max_ms, int64_t now_ms)
{
  VpRoster *roster = g_new0 (VpRoster, 1);

  roster->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  roster->workers = g_ptr_array_new_with_free_func (_vp_roster_worker_free);
  roster->racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  roster->hold_max_ms = hold_max_ms;
  roster->inherited_until_ms
      = now_ms
        + (hold_max_ms + VP_ROSTER_UNCONFIRMED_MS) * 1000 / (1000 - VP_ROSTER_CLOCK_SLOW_MILLI)
        + VP_ROSTER_LAPSE_MARGIN_MS;
  return roster;
}

void
vp_roster_shutdown (VpRoster *roster)
{
  g_hash_table_unref (roster->by_id);
  g_ptr_array_unref (roster->workers);
  g_hash_table_unref (roster->racks);
  g_free (roster);
}

static uint32_t
_vp_roster_rack (VpRoster *roster, const VpWorkerEntry *entry)
{
  g_autofree char *name = g_strdup_printf ("%s/%s", entry->dc, entry->rack);
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (roster->racks, name));

  if (index == 0) {
    index = g_hash_table_size (roster->racks) + 1;
    g_hash_table_insert (roster->racks, g_steal_pointer (&name), GUINT_TO_POINTER (index));
  }
  return index - 1;
}

VpRosterWorker *
vp_roster_add (VpRoster *roster, const VpWorkerEntry *entry)
{
  VpRosterWorker *worker = vp_roster_find (roster, entry->id);

  if (worker != NULL)
    return worker;
  worker = g_new0 (VpRosterWorker, 1);
  worker->tasks = g_hash_table_new (NULL, NULL);
  worker->pace_percent = 100;
  worker->slowness = 1;
  worker->entry = *entry;
  worker->rack_index = _vp_roster_rack (roster, entry);
  roster->is_changed = true;
  g_ptr_array_add (roster->workers, worker);
  g_hash_table_insert (roster->by_id, worker->entry.id, worker);
  return worker;
}

VpRosterWorker *
vp_roster_put (VpRoster *roster, const VpWorkerEntry *entry)
{
  VpRosterWorker *worker = vp_roster_add (roster, entry);

  worker->entry = *entry;
  worker->rack_index = _vp_roster_rack (roster, entry);
  worker->is_listed = worker->was_listed = true;
  return worker;
}

VpRosterWorker *
vp_roster_find (const VpRoster *roster, const char *id)
{
  return g_hash_table_lookup (roster->by_id, id);
}

void
vp_roster_remove (VpRoster *roster, VpRosterWorker *worker)
{
  roster->is_changed = true;
  g_hash_table_remove (roster->by_id, worker->entry.id);
  g_ptr_array_remove (roster->workers, worker);
}

void
vp_roster_set_dc_silent (const VpRoster *roster, const VpRosterWorker *worker, bool is_silent)
{
  for (guint i = 0; i < roster->workers->len; i++) {
    VpRosterWorker *other = roster->workers->pdata[i];
    if (strcmp (other->entry.dc, worker->entry.dc) == 0)
      other->is_dc_silent = is_silent;
  }
}

void
vp_roster_heard (const VpRoster *roster,
                 VpRosterWorker *worker,
                 int64_t clock_ms,
                 int64_t received_ms)
{
  worker->heard_ms = MAX (worker->heard_ms, received_ms);
  worker->is_reachable = true;
  worker->is_over = false;
  if (worker->is_dc_silent)
    vp_roster_set_dc_silent (roster, worker, false);
  /* Answers on several connections overtake each other; the clock only runs forward. */
  if (clock_ms <= 0)
    return;
  /* What an earlier scheduler started there has a lease of its own. */
  if (worker->clock_at_ms == 0)
    worker->lease_end_ms = MAX (worker->lease_end_ms, clock_ms + roster->hold_max_ms);
  if (clock_ms >= worker->clock_ms) {
    worker->clock_ms = clock_ms;
    worker->clock_at_ms = received_ms;
  }
}

void
vp_roster_reborn (VpRosterWorker *worker, int64_t born_ms)
{
  worker->born_ms = born_ms;
  worker->clock_ms = worker->clock_at_ms = worker->lease_end_ms = 0;
  worker->seen = worker->seen_staged = worker->seen_durable = 0;
  worker->failed_jobs = worker->failed_runs = worker->suspect_level = 0;
  worker->avoid_until_ms = 0;
}

int64_t
vp_roster_clock_ms (const VpRosterWorker *worker, int64_t now_ms)
{
  if (worker->clock_at_ms == 0)
    return 0;
  return worker->clock_ms
         + (now_ms - worker->clock_at_ms) * (1000 - VP_ROSTER_CLOCK_SLOW_MILLI) / 1000;
}

int64_t
vp_roster_lease (const VpRoster *roster, VpRosterWorker *worker, int64_t now_ms)
{
  int64_t clock_ms = vp_roster_clock_ms (worker, now_ms);

  if (clock_ms == 0)
    return 0;
  worker->lease_end_ms = MAX (worker->lease_end_ms, clock_ms + roster->hold_max_ms);
  return clock_ms + roster->hold_max_ms;
}

void
vp_roster_over (VpRosterWorker *worker)
{
  worker->is_over = true;
  worker->is_reachable = worker->is_synced = false;
}

bool
vp_roster_is_lapsed (const VpRoster *roster, const VpRosterWorker *worker, int64_t now_ms)
{
  if (worker->is_over)
    return true;
  if (worker->clock_at_ms == 0)
    return now_ms > roster->inherited_until_ms;
  return vp_roster_clock_ms (worker, now_ms) > worker->lease_end_ms + VP_ROSTER_LAPSE_MARGIN_MS;
}

int64_t
vp_roster_dc_heard_ms (const VpRoster *roster, const VpRosterWorker *worker)
{
  int64_t heard_ms = 0;

  for (guint i = 0; i < roster->workers->len; i++) {
    const VpRosterWorker *other = roster->workers->pdata[i];
    if (strcmp (other->entry.dc, worker->entry.dc) == 0)
      heard_ms = MAX (heard_ms, other->heard_ms);
  }
  return heard_ms;
}

VpResources
vp_roster_free (const VpRosterWorker *worker)
{
  VpResources room = worker->entry.capacity;

  vp_resources_sub (&room, &worker->used);
  return room;
}

bool
vp_roster_is_usable (const VpRosterWorker *worker, int64_t now_ms)
{
  return worker->is_listed && worker->is_synced && worker->is_reachable && !worker->is_dc_silent
         && !worker->entry.is_draining && worker->foreign_count == 0 && !worker->is_withheld
         && now_ms >= worker->avoid_until_ms;
}

bool
vp_roster_note_failed (VpRosterWorker *worker, uint64_t job, int64_t now_ms)
{
  uint32_t steps;

  worker->failed_jobs += job == worker->last_failed_job ? 0 : 1;
  worker->last_failed_job = job;
  worker->failed_runs++;
  if (now_ms < worker->avoid_until_ms
      || (worker->failed_jobs < VP_ROSTER_SUSPECT_JOBS
          && worker->failed_runs < VP_ROSTER_SUSPECT_RUNS))
    return false;
  steps = MIN (worker->suspect_level, VP_ROSTER_SUSPECT_STEPS);
  worker->suspect_level++;
  /* One more failure after the time aside puts it aside again. */
  worker->failed_jobs = VP_ROSTER_SUSPECT_JOBS - 1;
  worker->failed_runs = VP_ROSTER_SUSPECT_RUNS - 1;
  worker->avoid_until_ms = now_ms + (VP_ROSTER_SUSPECT_MS << steps);
  return true;
}

void
vp_roster_note_done (VpRosterWorker *worker)
{
  worker->failed_jobs = worker->failed_runs = 0;
  worker->suspect_level = 0;
}

void
vp_roster_note_time (VpRosterWorker *worker, int64_t ran_ms, int64_t mean_ms)
{
  double ratio;

  if (mean_ms <= 0)
    return;
  ratio = CLAMP ((double)ran_ms / (double)mean_ms, VP_ROSTER_SLOWNESS_MIN, VP_ROSTER_SLOWNESS_MAX);
  worker->slowness += VP_ROSTER_SLOWNESS_WEIGHT * (ratio - worker->slowness);
}
