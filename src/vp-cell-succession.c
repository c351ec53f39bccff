#include "vp-cell-private.h"
#include "vp-log.h"

/* A worker that has not answered for this long gets no work until it does. */
#define VP_CELL_OUT_OF_USE_MS 1000

bool
_vp_cell_is_settled_worker (const VpCell *cell, const VpRosterWorker *worker, int64_t now_ms)
{
  return worker->is_synced || vp_roster_is_lapsed (cell->roster, worker, now_ms);
}

/* Whether workers may be missing that an earlier scheduler used. */
static bool
_vp_cell_may_lack_workers (const VpCell *cell, int64_t now_ms)
{
  if (cell->has_kept)
    return false;
  return !cell->has_list || now_ms < cell->started_ms + cell->desc.relist_ms
         || (cell->is_kept_unreadable && now_ms <= cell->roster->inherited_until_ms);
}

/* Without a list of the last scheduler's workers any worker may have been one. */
static bool
_vp_cell_is_unknown (const VpCell *cell, const VpRosterWorker *worker, int64_t now_ms)
{
  return !cell->is_settled && (worker->is_unknown || !cell->has_kept)
         && !_vp_cell_is_settled_worker (cell, worker, now_ms);
}

uint32_t
vp_cell_unknown_count (const VpCell *cell, int64_t now_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < cell->roster->workers->len; i++)
    count += _vp_cell_is_unknown (cell, cell->roster->workers->pdata[i], now_ms) ? 1 : 0;
  return count;
}

void
_vp_cell_settle (VpCell *cell, int64_t now_ms)
{
  uint32_t silent_count = 0;

  if (cell->is_settled || _vp_cell_may_lack_workers (cell, now_ms))
    return;
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    const VpRosterWorker *worker = cell->roster->workers->pdata[i];
    if (_vp_cell_is_unknown (cell, worker, now_ms))
      return;
    silent_count += worker->is_synced ? 0 : 1;
  }
  cell->is_settled = true;
  cell->roster->is_changed = true;
  vp_log (now_ms, "settled", "after_ms=%" G_GINT64_FORMAT " workers=%u silent=%u has_list=%d",
          now_ms - cell->started_ms, cell->roster->workers->len, silent_count, cell->has_kept);
}

/* Whether it can be given work soon. */
static bool
_vp_cell_is_in_use (const VpRosterWorker *worker, int64_t now_ms)
{
  bool is_silent = !worker->is_reachable || worker->is_dc_silent;

  return worker->is_listed && !worker->entry.is_draining
         && (!is_silent || now_ms - worker->heard_ms < VP_CELL_OUT_OF_USE_MS);
}

void
_vp_cell_review_worker (VpCell *cell, VpRosterWorker *worker, int64_t now_ms)
{
  bool is_in_use = _vp_cell_is_in_use (worker, now_ms);

  if (!cell->desc.keeps_roster)
    return;
  /* It gets no more starts, so that the next commit can close it. */
  if (!is_in_use)
    worker->is_withheld = true;
  if (is_in_use != worker->is_open && is_in_use != worker->is_staged_open)
    cell->roster->is_changed = true;
}

bool
vp_cell_has_unstaged_roster (const VpCell *cell)
{
  return cell->desc.keeps_roster && cell->roster->is_changed;
}

GVariant *
vp_cell_stage_roster (VpCell *cell, bool is_complete, int64_t now_ms)
{
  GVariantBuilder rows;

  cell->roster->is_changed = false;
  g_variant_builder_init (&rows, G_VARIANT_TYPE (VP_CELL_ROSTER_TYPE));
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    VpRosterWorker *worker = cell->roster->workers->pdata[i];
    bool is_in_use = _vp_cell_is_in_use (worker, now_ms);
    bool is_unknown = !vp_cell_is_exact (cell) && _vp_cell_is_unknown (cell, worker, now_ms);
    bool is_unkept = worker->is_open && (!is_complete || !worker->is_withheld);
    worker->is_staged_open = is_in_use || is_unknown || is_unkept;
    if (!is_in_use && worker->is_staged_open && !is_unknown)
      cell->roster->is_changed = true;
    g_variant_builder_add (&rows, "(sssb)", worker->entry.id, worker->entry.address,
                           worker->entry.dc, (gboolean)worker->is_staged_open);
  }
  return g_variant_builder_end (&rows);
}

void
vp_cell_roster_durable (VpCell *cell, int64_t now_ms)
{
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    VpRosterWorker *worker = cell->roster->workers->pdata[i];
    worker->is_open = worker->is_staged_open;
    worker->is_withheld = !worker->is_open || !_vp_cell_is_in_use (worker, now_ms);
  }
}

void
vp_cell_unstage_roster (VpCell *cell)
{
  for (guint i = 0; i < cell->roster->workers->len; i++) {
    VpRosterWorker *worker = cell->roster->workers->pdata[i];
    worker->is_staged_open = worker->is_open;
  }
  cell->roster->is_changed = true;
}

void
vp_cell_load_roster (VpCell *cell, GVariant *kept)
{
  GVariantIter iter;
  const char *id, *address, *dc;
  gboolean is_open;

  if (kept == NULL) {
    cell->is_kept_unreadable = true;
    return;
  }
  g_variant_iter_init (&iter, kept);
  while (g_variant_iter_next (&iter, "(&s&s&sb)", &id, &address, &dc, &is_open)) {
    VpWorkerEntry entry = { .remaining_ms = -1 };
    VpRosterWorker *worker;
    if (!vp_name_copy (entry.id, sizeof entry.id, id)
        || !vp_name_copy (entry.address, sizeof entry.address, address)
        || !vp_name_copy (entry.dc, sizeof entry.dc, dc)) {
      cell->is_kept_unreadable = true;
      continue;
    }
    worker = vp_roster_add (cell->roster, &entry);
    worker->is_open = worker->is_staged_open = worker->is_unknown = is_open;
    worker->is_withheld = !is_open;
  }
  cell->has_kept = !cell->is_kept_unreadable;
}
