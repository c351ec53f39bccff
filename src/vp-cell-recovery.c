#include "vp-cell-private.h"
#include "vp-log.h"

/* A worker without an answer for this long gets no new tasks until it answers. */
#define VP_CELL_INACTIVE_MS 1000

bool
_vp_cell_is_verified_worker (const VpCellWorker *worker, int64_t now_ms)
{
  return worker->is_synced
         || (!vp_workerlist_is_listing_ends (worker)
             && vp_workerlist_is_lease_expired (worker, now_ms));
}

/* Returns true if an earlier scheduler may have used workers that aren't in the list of workers. */
static bool
_vp_cell_may_lack_workers (const VpCell *cell, int64_t now_ms)
{
  if (cell->has_stored_workers)
    return false;
  return !cell->has_platform_list || now_ms < cell->started_ms + cell->desc.relist_ms
         || (cell->is_stored_list_unreadable && now_ms <= cell->worker_list->inherited_until_ms);
}

/* Returns true if the worker may have runs of an earlier scheduler that aren't known. Without a
 * stored list of workers, any worker may have such runs until it is verified. */
static bool
_vp_cell_is_unverified (const VpCell *cell, const VpCellWorker *worker, int64_t now_ms)
{
  return !cell->is_recovered && (worker->is_unverified || !cell->has_stored_workers)
         && !_vp_cell_is_verified_worker (worker, now_ms);
}

uint32_t
vp_cell_unverified_count (const VpCell *cell, int64_t now_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < cell->worker_list->workers->len; i++)
    count += _vp_cell_is_unverified (cell, cell->worker_list->workers->pdata[i], now_ms) ? 1 : 0;
  return count;
}

bool
_vp_cell_may_run_unlisted (const VpCell *cell, const VpJobTask *task, int64_t now_ms)
{
  const VpCellWorker *worker;

  if (!task->step->occurrence->job->is_inherited)
    return false;
  if (vp_text_is_empty (task->inherited_worker))
    return !vp_cell_has_complete_state (cell);
  worker = vp_workerlist_find (cell->worker_list, task->inherited_worker);
  if (worker == NULL)
    return now_ms <= cell->worker_list->inherited_until_ms;
  return !vp_cell_has_complete_state (cell) || !_vp_cell_is_verified_worker (worker, now_ms);
}

/* Adds the waiting tasks of an ended job's step that may run unlisted to @usage. Returns true if
 * there are any. */
static bool
_vp_cell_count_ended_step (VpCell *cell, VpJobStep *step, VpTeamUsage *usage, int64_t now_ms)
{
  bool may_run = false;

  for (uint32_t i = 0; i < step->spec->task_count; i++) {
    VpJobTask *task = &step->tasks[i];
    if (task->phase != VP_PHASE_WAITING)
      continue;
    if (!_vp_cell_may_run_unlisted (cell, task, now_ms)) {
      vp_jobtask_set_inherited_worker (cell->jobs, task, "");
      continue;
    }
    may_run = true;
    /* Tasks with a known worker are part of @usage->unobserved. */
    if (vp_text_is_empty (task->inherited_worker))
      vp_resources_add (&usage->possibly_running, &step->spec->size);
  }
  return may_run;
}

void
_vp_cell_count_ended_inherited (VpCell *cell, int64_t now_ms)
{
  GPtrArray *jobs = cell->jobs->ended_inherited_jobs;

  for (guint i = 0; i < jobs->len;) {
    VpJob *job = jobs->pdata[i];
    VpTeamUsage *usage = vp_joblist_team (cell->jobs, job->spec->team);
    bool may_run = false;
    for (uint32_t k = 0; k < job->spec->occurrence_count; k++) {
      for (uint32_t s = 0; job->occurrences[k].steps != NULL && s < job->spec->step_count; s++) {
        VpJobStep *step = &job->occurrences[k].steps[s];
        if (step->is_ready)
          may_run |= _vp_cell_count_ended_step (cell, step, usage, now_ms);
      }
    }
    if (may_run)
      i++;
    else
      vp_joblist_forget_inherited (cell->jobs, job);
  }
}

void
_vp_cell_check_recovered (VpCell *cell, int64_t now_ms)
{
  uint32_t unsynced_count = 0;

  if (cell->is_recovered || _vp_cell_may_lack_workers (cell, now_ms))
    return;
  for (guint i = 0; i < cell->worker_list->workers->len; i++) {
    const VpCellWorker *worker = cell->worker_list->workers->pdata[i];
    if (_vp_cell_is_unverified (cell, worker, now_ms))
      return;
    unsynced_count += worker->is_synced ? 0 : 1;
  }
  cell->is_recovered = true;
  cell->worker_list->is_changed = true;
  vp_log (now_ms, "recovered",
          "after_ms=%" G_GINT64_FORMAT " workers=%u unsynced=%u has_stored_list=%d",
          now_ms - cell->started_ms, cell->worker_list->workers->len, unsynced_count,
          cell->has_stored_workers);
}

void
_vp_cell_check_failures (VpCell *cell, int64_t now_ms)
{
  g_autoptr (GPtrArray) steps = NULL;

  if (!cell->has_unchecked_failures || cell->config == NULL)
    return;
  cell->has_unchecked_failures = false;
  /* A job that fails takes its steps out of the array. */
  steps = g_ptr_array_copy (cell->jobs->ready_steps, NULL, NULL);
  for (guint i = 0; i < steps->len; i++) {
    VpJobStep *step = steps->pdata[i];
    uint32_t attempts_max
        = vp_cellconfig_attempts_max (cell->config, step->occurrence->job->spec->queue);
    for (uint32_t t = 0; t < step->spec->task_count; t++)
      vp_jobtask_check_failures (cell->jobs, &step->tasks[t], attempts_max, now_ms);
  }
}

/* Returns true if the worker can get tasks now or soon. */
static bool
_vp_cell_is_worker_active (const VpCellWorker *worker, int64_t now_ms)
{
  bool is_unreachable = !worker->is_reachable || worker->is_dc_unreachable;

  return worker->is_listed && !worker->entry.is_draining
         && (!is_unreachable || now_ms - worker->last_answer_ms < VP_CELL_INACTIVE_MS);
}

void
_vp_cell_update_active (VpCell *cell, VpCellWorker *worker, int64_t now_ms)
{
  bool is_active = _vp_cell_is_worker_active (worker, now_ms);

  if (!cell->desc.stores_workers)
    return;
  /* No more tasks are started on the worker, so that the next commit can store it as inactive. */
  if (!is_active)
    worker->is_placement_blocked = true;
  if (is_active != worker->is_stored_active && is_active != worker->is_staged_active)
    cell->worker_list->is_changed = true;
}

bool
vp_cell_has_unstaged_workers (const VpCell *cell)
{
  return cell->desc.stores_workers && cell->worker_list->is_changed;
}

GVariant *
vp_cell_stage_workers (VpCell *cell, bool is_complete, int64_t now_ms)
{
  GVariantBuilder rows;

  cell->worker_list->is_changed = false;
  g_variant_builder_init (&rows, G_VARIANT_TYPE (VP_CELL_WORKERS_TYPE));
  for (guint i = 0; i < cell->worker_list->workers->len; i++) {
    VpCellWorker *worker = cell->worker_list->workers->pdata[i];
    bool is_active = _vp_cell_is_worker_active (worker, now_ms);
    bool is_unverified
        = !vp_cell_has_complete_state (cell) && _vp_cell_is_unverified (cell, worker, now_ms);
    bool may_have_unstored_starts
        = worker->is_stored_active && (!is_complete || !worker->is_placement_blocked);
    worker->is_staged_active = is_active || is_unverified || may_have_unstored_starts;
    if (!is_active && worker->is_staged_active && !is_unverified)
      cell->worker_list->is_changed = true;
    g_variant_builder_add (&rows, "(sssb)", worker->entry.id, worker->entry.address,
                           worker->entry.dc, (gboolean)worker->is_staged_active);
  }
  return g_variant_builder_end (&rows);
}

void
vp_cell_workers_durable (VpCell *cell, int64_t now_ms)
{
  for (guint i = 0; i < cell->worker_list->workers->len; i++) {
    VpCellWorker *worker = cell->worker_list->workers->pdata[i];
    worker->is_stored_active = worker->is_staged_active;
    worker->is_placement_blocked
        = !worker->is_stored_active || !_vp_cell_is_worker_active (worker, now_ms);
  }
}

void
vp_cell_unstage_workers (VpCell *cell)
{
  for (guint i = 0; i < cell->worker_list->workers->len; i++) {
    VpCellWorker *worker = cell->worker_list->workers->pdata[i];
    worker->is_staged_active = worker->is_stored_active;
  }
  cell->worker_list->is_changed = true;
}

void
vp_cell_load_workers (VpCell *cell, GVariant *stored)
{
  GVariantIter iter;
  const char *id, *address, *dc;
  gboolean is_stored_active;

  if (stored == NULL) {
    cell->is_stored_list_unreadable = true;
    return;
  }
  g_variant_iter_init (&iter, stored);
  while (g_variant_iter_next (&iter, "(&s&s&sb)", &id, &address, &dc, &is_stored_active)) {
    /* It borrows its texts. */
    VpWorkerEntry entry = { .id = (char *)id, .dc = (char *)dc, .remaining_ms = -1 };
    VpCellWorker *worker;
    if (!vp_name_copy (entry.address, sizeof entry.address, address)) {
      cell->is_stored_list_unreadable = true;
      continue;
    }
    worker = vp_workerlist_add (cell->worker_list, &entry);
    worker->is_stored_active = worker->is_staged_active = worker->is_unverified = is_stored_active;
    worker->is_placement_blocked = !is_stored_active;
  }
  cell->has_stored_workers = !cell->is_stored_list_unreadable;
}
