#include "vp-keeper.h"
#include "vp-log.h"
#include "vp-metrics.h"

#include <string.h>

/* Least time between commits: bounds the calls at 40 a second. */
#define VP_KEEPER_GAP_MS 25
/* The record is written at least this often, so that others see that the leader lives. */
#define VP_KEEPER_IDLE_MS 400
/* A commit that the store turned away or did not answer is sent again after this. */
#define VP_KEEPER_RETRY_MS 60
/* A commit without an answer for this long is sent again on another connection: its condition
 * admits it once. Longer than a slow store takes, shorter than the time-out of a call; ... */
#define VP_KEEPER_HEDGE_MS 400
/* ... and so many copies of one commit are under way at most. */
#define VP_KEEPER_COPIES_MAX 3
/* Entries of one commit (platform: 32 in all, with the condition and the record). */
#define VP_KEEPER_ENTRIES_MAX 30
/* A job takes up to three entries: its end set, what was kept while it ran removed. */
#define VP_KEEPER_ENTRIES_JOB 3
/* Bytes of one commit; the platform takes values of 1 MiB. */
#define VP_KEEPER_BYTES_MAX (512U * 1024)
/* Ended jobs are kept a little longer than callers may ask for them. */
#define VP_KEEPER_RETENTION_ADD_MS 30000
#define VP_KEEPER_SWEEP_MS         5000
/* Workers come in crowds; the list of them takes some KB. */
#define VP_KEEPER_ROSTER_GAP_MS 200

struct _VpKeeper {
  VpKeeperDesc desc;
  VpStoreWrite write; /* under way; its serial is 0 if there is none */
  GArray *accepted;   /* uint64_t: jobs whose acceptance it holds */
  GArray *ended;      /* uint64_t: jobs whose end it holds */
  GArray *touched;    /* uint64_t: all jobs that it holds something of */
  bool covers_ends;   /* it covers the workers' ends that were staged */
  bool covers_roster; /* it keeps the list of workers */
  int64_t roster_next_ms;
  bool is_sent;         /* an answer is awaited */
  uint32_t copies;      /* sent since the last answer */
  int64_t sent_ms;      /* the last of them */
  int64_t built_ms;     /* the first sending of @write */
  int64_t confirmed_ms; /* of the last commit that succeeded: its @built_ms; 0: none yet */
  bool is_uncertain;    /* an earlier sending may have reached the store */
  bool is_last;
  bool is_failing; /* the last answer was no success */
  bool is_finishing;
  bool is_finished;
  uint64_t last_serial;
  int64_t next_ms;
  int64_t written_ms; /* last success */
  int64_t sweep_next_ms;
};

VpKeeper *
vp_keeper_setup (const VpKeeperDesc *desc, int64_t now_ms)
{
  VpKeeper *keeper = g_new0 (VpKeeper, 1);

  keeper->desc = *desc;
  /* Answers to commits of an earlier term must not be taken for this one's. */
  keeper->last_serial = desc->lead->term << 24;
  keeper->accepted = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  keeper->ended = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  keeper->touched = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  keeper->written_ms = now_ms;
  keeper->sweep_next_ms = now_ms + VP_KEEPER_SWEEP_MS;
  return keeper;
}

void
vp_keeper_shutdown (VpKeeper *keeper)
{
  if (keeper == NULL)
    return;
  vp_store_write_clear (&keeper->write);
  g_array_unref (keeper->accepted);
  g_array_unref (keeper->ended);
  g_array_unref (keeper->touched);
  g_free (keeper);
}

typedef bool (*VpKeeperTake) (VpJobList *jobs, GVariant *value, int64_t now_ms);

static bool
_vp_keeper_take_job (VpJobList *jobs, GVariant *value, int64_t now_ms)
{
  return vp_joblist_decode (jobs, value, now_ms) != NULL;
}

static bool
_vp_keeper_take_end (VpJobList *jobs, GVariant *value, int64_t now_ms)
{
  (void)now_ms;
  return vp_joblist_decode_end (jobs, value) != NULL;
}

/* Returns how many values could not be read. */
static uint32_t
_vp_keeper_load_values (VpKeeper *keeper,
                        const GPtrArray *values,
                        const char *type,
                        VpKeeperTake take,
                        int64_t now_ms)
{
  VpJobList *jobs = vp_cell_jobs (keeper->desc.cell);
  uint32_t bad_count = 0;

  for (guint i = 0; i < values->len; i++) {
    g_autoptr (GVariant) value = vp_node_parse (values->pdata[i], type);
    bad_count += value != NULL && take (jobs, value, now_ms) ? 0 : 1;
  }
  return bad_count;
}

static uint32_t
_vp_keeper_load_roster (VpKeeper *keeper, const GPtrArray *values)
{
  g_autoptr (GVariant) kept = NULL;

  if (values->len == 0)
    return 0;
  kept = vp_node_parse (values->pdata[0], VP_CELL_ROSTER_TYPE);
  vp_cell_load_roster (keeper->desc.cell, kept);
  return kept == NULL ? 1 : 0;
}

uint32_t
vp_keeper_load (VpKeeper *keeper, const VpStoreLoaded *loaded, int64_t now_ms)
{
  return _vp_keeper_load_roster (keeper, loaded->workers)
         + _vp_keeper_load_values (keeper, loaded->ended, VP_JOB_END_TYPE, _vp_keeper_take_end,
                                   now_ms)
         + _vp_keeper_load_values (keeper, loaded->jobs, VP_JOB_TYPE, _vp_keeper_take_job, now_ms)
         + _vp_keeper_load_values (keeper, loaded->progress, VP_PROGRESS_TYPE,
                                   vp_joblist_decode_progress, now_ms);
}

static char *
_vp_keeper_key (const char *prefix, uint64_t id)
{
  return g_strdup_printf ("%s/%016" G_GINT64_MODIFIER "x", prefix, id);
}

static size_t
_vp_keeper_set (VpStoreWrite *write, char *key, GVariant *value)
{
  GBytes *bytes = vp_node_serialise (value);

  g_ptr_array_add (write->keys, key);
  g_ptr_array_add (write->values, bytes);
  return g_bytes_get_size (bytes);
}

static void
_vp_keeper_remove (VpStoreWrite *write, const char *prefix, uint64_t id)
{
  g_ptr_array_add (write->removed, _vp_keeper_key (prefix, id));
}

static size_t
_vp_keeper_add_end (VpKeeper *keeper, VpJob *job)
{
  VpStoreWrite *write = &keeper->write;

  if (job->is_end_durable)
    return 0;
  g_array_append_val (keeper->ended, job->spec->id);
  if (job->is_durable) {
    _vp_keeper_remove (write, "job", job->spec->id);
    if (job->is_progress_kept)
      _vp_keeper_remove (write, "progress", job->spec->id);
  }
  return _vp_keeper_set (write, _vp_keeper_key ("ended", job->spec->id), vp_job_encode_end (job));
}

static size_t
_vp_keeper_add_job (VpKeeper *keeper, VpJob *job)
{
  VpStoreWrite *write = &keeper->write;
  size_t size = 0;

  g_array_append_val (keeper->touched, job->spec->id);
  if (vp_job_is_ended (job))
    return _vp_keeper_add_end (keeper, job);
  if (!job->is_durable) {
    g_array_append_val (keeper->accepted, job->spec->id);
    size += _vp_keeper_set (write, _vp_keeper_key ("job", job->spec->id), vp_job_encode (job));
  }
  if (job->is_started) {
    job->is_progress_kept = true;
    size += _vp_keeper_set (write, _vp_keeper_key ("progress", job->spec->id),
                            vp_job_encode_progress (job));
  }
  return size;
}

/* Forgets ended jobs that nobody may ask for any more. */
static void
_vp_keeper_sweep (VpKeeper *keeper, int64_t now_ms)
{
  VpJobList *jobs = vp_cell_jobs (keeper->desc.cell);
  g_autoptr (GPtrArray) old = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  if (now_ms < keeper->sweep_next_ms)
    return;
  keeper->sweep_next_ms = now_ms + VP_KEEPER_SWEEP_MS;
  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpJob *job = value;
    if (job->is_end_durable && job->out_count == 0 && old->len < VP_KEEPER_ENTRIES_MAX / 2
        && now_ms - job->ended_ms > keeper->desc.retention_ms + VP_KEEPER_RETENTION_ADD_MS)
      g_ptr_array_add (old, job);
  }
  for (guint i = 0; i < old->len; i++) {
    VpJob *job = old->pdata[i];
    _vp_keeper_remove (&keeper->write, "ended", job->spec->id);
    vp_joblist_remove (jobs, job);
  }
}

static bool
_vp_keeper_is_roster_due (const VpKeeper *keeper, int64_t now_ms)
{
  return vp_cell_has_unstaged_roster (keeper->desc.cell)
         && (now_ms >= keeper->roster_next_ms || keeper->is_finishing);
}

static void
_vp_keeper_build (VpKeeper *keeper, int64_t now_ms)
{
  VpJobList *jobs = vp_cell_jobs (keeper->desc.cell);
  VpStoreWrite *write = &keeper->write;
  VpLeadRecord record = keeper->desc.lead->record;
  size_t size = 0;

  vp_store_write_clear (write);
  write->serial = ++keeper->last_serial;
  keeper->built_ms = now_ms;
  write->record_revision = keeper->desc.lead->record_revision;
  write->keys = g_ptr_array_new_with_free_func (g_free);
  write->values = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  write->removed = g_ptr_array_new_with_free_func (g_free);
  g_array_set_size (keeper->accepted, 0);
  g_array_set_size (keeper->ended, 0);
  g_array_set_size (keeper->touched, 0);
  _vp_keeper_sweep (keeper, now_ms);
  keeper->covers_roster = _vp_keeper_is_roster_due (keeper, now_ms);
  while (!g_queue_is_empty (&jobs->dirty) && size < VP_KEEPER_BYTES_MAX
         && write->keys->len + write->removed->len + VP_KEEPER_ENTRIES_JOB + keeper->covers_roster
                <= VP_KEEPER_ENTRIES_MAX)
    size += _vp_keeper_add_job (keeper, vp_joblist_take_dirty (jobs));
  /* Ends are covered when all that they changed stands in this commit or an earlier one. */
  keeper->covers_ends = g_queue_is_empty (&jobs->dirty);
  if (keeper->covers_ends)
    vp_cell_stage_ends (keeper->desc.cell);
  if (keeper->covers_roster) {
    keeper->roster_next_ms = now_ms + VP_KEEPER_ROSTER_GAP_MS;
    _vp_keeper_set (write, g_strdup ("workers"),
                    vp_cell_stage_roster (keeper->desc.cell, keeper->covers_ends, now_ms));
  }
  keeper->is_last = keeper->is_finishing && keeper->covers_ends;
  record.commit++;
  /* A leader that has not heard all workers can't vouch for what they run. */
  record.is_clean = keeper->is_last && vp_cell_is_exact (keeper->desc.cell);
  _vp_keeper_set (write, g_strdup ("lead"), vp_lead_record_encode (&record));
  keeper->is_uncertain = false;
}

static bool
_vp_keeper_is_due (const VpKeeper *keeper, int64_t now_ms)
{
  const VpCell *cell = keeper->desc.cell;

  if (keeper->is_sent)
    return keeper->copies < VP_KEEPER_COPIES_MAX && now_ms - keeper->sent_ms >= VP_KEEPER_HEDGE_MS;
  if (keeper->is_finished || now_ms < keeper->next_ms)
    return false;
  return keeper->write.serial != 0 || !g_queue_is_empty (&vp_cell_jobs ((VpCell *)cell)->dirty)
         || vp_cell_has_unstaged_ends (cell) || keeper->is_finishing
         || _vp_keeper_is_roster_due (keeper, now_ms)
         || now_ms - keeper->written_ms >= VP_KEEPER_IDLE_MS;
}

void
vp_keeper_decide (VpKeeper *keeper, int64_t now_ms, VpNodeEffects *effects)
{
  if (!_vp_keeper_is_due (keeper, now_ms))
    return;
  if (keeper->write.serial == 0)
    _vp_keeper_build (keeper, now_ms);
  if (keeper->is_sent) {
    keeper->is_uncertain = true;
    vp_log (now_ms, "commit-again",
            "serial=%" G_GUINT64_FORMAT " copies=%u waited_ms=%" G_GINT64_FORMAT,
            keeper->write.serial, keeper->copies, now_ms - keeper->sent_ms);
  }
  keeper->is_sent = true;
  keeper->copies++;
  keeper->sent_ms = now_ms;
  vp_store_write_copy (&vp_node_effects_add (effects, VP_NODE_WRITE)->write, &keeper->write);
  vp_metrics_add (VP_COUNTER_STORE_WRITES, 1);
}

static void
_vp_keeper_settle (VpKeeper *keeper, uint64_t revision, GArray *kept, int64_t now_ms)
{
  VpJobList *jobs = vp_cell_jobs (keeper->desc.cell);
  VpLead *lead = keeper->desc.lead;

  lead->record_revision = revision;
  lead->record.commit++;
  lead->record.is_clean = keeper->is_last && vp_cell_is_exact (keeper->desc.cell);
  for (guint i = 0; i < keeper->accepted->len; i++) {
    VpJob *job = vp_joblist_find (jobs, g_array_index (keeper->accepted, uint64_t, i));
    if (job != NULL)
      job->is_durable = true;
  }
  for (guint i = 0; i < keeper->ended->len; i++) {
    VpJob *job = vp_joblist_find (jobs, g_array_index (keeper->ended, uint64_t, i));
    if (job != NULL)
      job->is_durable = job->is_end_durable = true;
  }
  g_array_append_vals (kept, keeper->accepted->data, keeper->accepted->len);
  g_array_append_vals (kept, keeper->ended->data, keeper->ended->len);
  if (keeper->covers_ends)
    vp_cell_ends_durable (keeper->desc.cell, now_ms);
  if (keeper->covers_roster)
    vp_cell_roster_durable (keeper->desc.cell, now_ms);
  vp_metrics_add (VP_COUNTER_LEDGER_COMMITS, 1);
  if (keeper->is_failing)
    vp_log (now_ms, "commits-again", "after_ms=%" G_GINT64_FORMAT, now_ms - keeper->written_ms);
  keeper->is_failing = false;
  keeper->is_finished = keeper->is_last;
  keeper->write.serial = 0;
  keeper->written_ms = now_ms;
  keeper->confirmed_ms = keeper->built_ms;
}

/* Whether the record that stands there is the one of the commit under way. */
static bool
_vp_keeper_is_own (const VpKeeper *keeper, GBytes *value)
{
  g_autoptr (GVariant) parsed = vp_node_parse (value, VP_LEAD_RECORD_TYPE);
  VpLeadRecord record;

  return parsed != NULL && vp_lead_record_decode (parsed, &record)
         && record.term == keeper->desc.lead->term
         && strcmp (record.leader, keeper->desc.lead->name) == 0
         && record.commit == keeper->desc.lead->record.commit + 1;
}

/* The commit certainly had no effect: its jobs go into the next one. */
static void
_vp_keeper_take_back (VpKeeper *keeper)
{
  VpJobList *jobs = vp_cell_jobs (keeper->desc.cell);

  if (keeper->covers_roster)
    vp_cell_unstage_roster (keeper->desc.cell);
  for (guint i = 0; i < keeper->touched->len; i++) {
    VpJob *job = vp_joblist_find (jobs, g_array_index (keeper->touched, uint64_t, i));
    if (job != NULL)
      vp_joblist_touch (jobs, job);
  }
  keeper->write.serial = 0;
}

bool
vp_keeper_written (VpKeeper *keeper, const VpStoreWritten *written, GArray *kept, int64_t now_ms)
{
  if (!keeper->is_sent || written->serial != keeper->write.serial)
    return true;
  keeper->is_sent = false;
  keeper->copies = 0;
  keeper->next_ms = now_ms + VP_KEEPER_GAP_MS;
  switch (written->outcome) {
  case VP_WRITE_OK:
    _vp_keeper_settle (keeper, written->revision, kept, now_ms);
    return true;
  case VP_WRITE_CONFLICT:
    if (!_vp_keeper_is_own (keeper, written->record))
      return false;
    _vp_keeper_settle (keeper, written->revision, kept, now_ms);
    return true;
  case VP_WRITE_UNKNOWN:
    keeper->is_uncertain = true;
    break;
  case VP_WRITE_UNAVAILABLE:
    if (!keeper->is_uncertain)
      _vp_keeper_take_back (keeper);
    break;
  }
  keeper->next_ms = now_ms + VP_KEEPER_RETRY_MS;
  vp_metrics_add (VP_COUNTER_STORE_UNAVAILABLE, 1);
  if (keeper->is_failing)
    return true;
  keeper->is_failing = true;
  vp_log (now_ms, "commit-failed",
          "serial=%" G_GUINT64_FORMAT " uncertain=%d age_ms=%" G_GINT64_FORMAT, written->serial,
          keeper->is_uncertain, now_ms - keeper->written_ms);
  return true;
}

int64_t
vp_keeper_age_ms (const VpKeeper *keeper, int64_t now_ms)
{
  return now_ms - keeper->written_ms;
}

int64_t
vp_keeper_confirmed_ms (const VpKeeper *keeper)
{
  return keeper->confirmed_ms;
}

bool
vp_keeper_is_failing (const VpKeeper *keeper)
{
  return keeper->is_failing;
}

bool
vp_keeper_is_unsent (const VpKeeper *keeper, uint64_t job)
{
  if (keeper->write.serial == 0)
    return true;
  for (guint i = 0; i < keeper->accepted->len; i++) {
    if (g_array_index (keeper->accepted, uint64_t, i) == job)
      return false;
  }
  return true;
}

void
vp_keeper_finish (VpKeeper *keeper)
{
  keeper->is_finishing = true;
}

bool
vp_keeper_is_finished (const VpKeeper *keeper)
{
  return keeper->is_finished;
}

int64_t
vp_keeper_next_ms (const VpKeeper *keeper, int64_t now_ms)
{
  (void)now_ms;
  if (keeper->is_sent)
    return keeper->copies < VP_KEEPER_COPIES_MAX ? keeper->sent_ms + VP_KEEPER_HEDGE_MS : INT64_MAX;
  if (keeper->is_finished)
    return INT64_MAX;
  return _vp_keeper_is_due (keeper, keeper->next_ms)
             ? keeper->next_ms
             : MAX (keeper->next_ms, keeper->written_ms + VP_KEEPER_IDLE_MS);
}
