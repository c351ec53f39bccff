#include "vp-committer.h"
#include "vp-jobconfig.h"
#include "vp-log.h"
#include "vp-metrics.h"

#include <string.h>

/* Minimum interval between commits. It limits the calls to 40 a second. */
#define VP_COMMITTER_INTERVAL_MIN_MS 25
/* The leader record is written at least this often, so that others see that the leader is alive. */
#define VP_COMMITTER_HEARTBEAT_MS 400
/* Delay before a commit that was rejected or not answered is sent again. */
#define VP_COMMITTER_RETRY_MS 60
/* A commit that is not answered for this long is sent again on another connection; its condition
 * makes sure that it takes effect once. Slow stores answer earlier than this, and the time-out of a
 * call is longer. */
#define VP_COMMITTER_HEDGE_MS 400
/* The time is at least this many times the usual time until a commit is answered. On a full link a
 * second copy would only add to the load. */
#define VP_COMMITTER_HEDGE_FACTOR 4
/* Weight of each answer in the moving average of that time. */
#define VP_COMMITTER_ANSWER_WEIGHT 0.1
/* Maximum number of copies of one commit that are in flight. */
#define VP_COMMITTER_COPIES_MAX 3
/* Maximum number of entries in a commit besides the condition and the leader record. The platform
 * takes 32 entries in all. */
#define VP_COMMITTER_ENTRIES_MAX 30
/* A job needs up to three entries: when it ends, the end is set and the job and its progress are
 * removed. */
#define VP_COMMITTER_ENTRIES_PER_JOB 3
/* Size at which a commit takes no further jobs. The platform takes values of up to 1 MiB. */
#define VP_COMMITTER_BYTES_MAX (512U * 1024)
/* Ended jobs are stored this much longer than callers may query them. */
#define VP_COMMITTER_RETENTION_MARGIN_MS 30000
/* Jobs that were cancelled before they were submitted are kept for at most this long, which is far
 * longer than a submission waits at a node. Their number is limited. */
#define VP_COMMITTER_UNSUBMITTED_RETENTION_MS 120000
/* Interval between removals of ended jobs, which are removed in batches. */
#define VP_COMMITTER_PURGE_INTERVAL_MS 5000
/* Maximum number of ended jobs that one commit removes. */
#define VP_COMMITTER_PURGE_BATCH (VP_COMMITTER_ENTRIES_MAX / 2)
/* Interval while a batch doesn't hold all jobs that are to be removed. */
#define VP_COMMITTER_PURGE_BACKLOG_INTERVAL_MS 100
/* Share of the link that the progress of jobs may use. */
#define VP_COMMITTER_PROGRESS_SHARE 0.15
/* Size of a stored value on the wire relative to its own size: it is written as base64 text. */
#define VP_COMMITTER_WIRE_FACTOR 1.4
/* Maximum interval between rounds of progress. A longer one would delay HOLDs, which show the ends
 * of further runs only after those before are durable. */
#define VP_COMMITTER_ROUND_INTERVAL_MAX_MS 300
/* Minimum interval between writes of the list of workers: many workers are often added at once, and
 * the list has some KB. */
#define VP_COMMITTER_WORKER_LIST_INTERVAL_MS 200

struct _VpCommitter {
  VpCommitterDesc desc;
  VpStoreWrite write;      /* the current commit; its serial is 0 if there is none */
  GArray *accepted_jobs;   /* uint64_t: jobs whose acceptance the commit includes */
  GArray *ended_jobs;      /* uint64_t: jobs whose end the commit includes */
  GArray *included_jobs;   /* uint64_t: all jobs of which the commit includes an entry */
  bool includes_round_end; /* the commit includes the last jobs of the round */
  bool is_complete;        /* the commit includes everything that has changed */
  bool is_round_reverted;  /* the last round has to be begun again */
  bool has_round;          /* a round of progress has begun */
  int64_t round_next_ms;   /* earliest beginning of the next round */
  int64_t round_began_ms;
  size_t round_bytes;          /* size of the values that the round has written */
  bool includes_worker_list;   /* the commit includes the list of workers */
  bool includes_config;        /* the commit includes the configuration of jobs */
  int64_t worker_list_next_ms; /* earliest time of the next write of the list of workers */
  bool is_in_flight;           /* the commit was sent and not answered yet */
  uint32_t copies;             /* copies sent since the last answer */
  int64_t sent_ms;             /* time at which the last copy was sent */
  int64_t built_ms;            /* time at which @write was built and first sent */
  int64_t confirmed_ms;        /* @built_ms of the last commit that succeeded; 0: none yet */
  bool is_uncertain;           /* an earlier copy of @write may have reached the store */
  bool is_last;                /* @write is the last commit of the term */
  bool is_failing;             /* the last commit was not answered or failed */
  bool is_finishing;           /* the term ends with the next complete commit */
  bool is_finished;            /* the last commit has succeeded */
  double answer_ms;            /* moving average of the time until a commit succeeds */
  uint64_t last_serial;
  int64_t next_ms;      /* earliest time of the next commit */
  int64_t committed_ms; /* time of the last successful commit */
  int64_t purge_next_ms;
};

VpCommitter *
vp_committer_setup (const VpCommitterDesc *desc, int64_t now_ms)
{
  VpCommitter *committer = g_new0 (VpCommitter, 1);

  committer->desc = *desc;
  /* Serials begin at a value that depends on the term, so that late answers to commits of an
   * earlier term aren't taken for those of this one. */
  committer->last_serial = desc->election->term << 24;
  committer->accepted_jobs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  committer->ended_jobs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  committer->included_jobs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  committer->committed_ms = now_ms;
  committer->purge_next_ms = now_ms + VP_COMMITTER_PURGE_INTERVAL_MS;
  return committer;
}

void
vp_committer_shutdown (VpCommitter *committer)
{
  if (committer == NULL)
    return;
  vp_store_write_clear (&committer->write);
  g_array_unref (committer->accepted_jobs);
  g_array_unref (committer->ended_jobs);
  g_array_unref (committer->included_jobs);
  g_free (committer);
}

typedef bool (*VpCommitterDecode) (VpJobList *jobs, GVariant *value, int64_t now_ms);

static bool
_vp_committer_decode_job (VpJobList *jobs, GVariant *value, int64_t now_ms)
{
  return vp_joblist_decode (jobs, value, now_ms) != NULL;
}

static bool
_vp_committer_decode_end (VpJobList *jobs, GVariant *value, int64_t now_ms)
{
  (void)now_ms;
  return vp_joblist_decode_end (jobs, value) != NULL;
}

/* Returns the number of values that could not be read. */
static uint32_t
_vp_committer_load_values (VpCommitter *committer,
                           const GPtrArray *values,
                           const char *type,
                           VpCommitterDecode decode,
                           int64_t now_ms)
{
  VpJobList *jobs = vp_cell_jobs (committer->desc.cell);
  uint32_t bad_count = 0;

  for (guint i = 0; i < values->len; i++) {
    g_autoptr (GVariant) value = vp_node_variant_from_bytes (values->pdata[i], type);
    bad_count += value != NULL && decode (jobs, value, now_ms) ? 0 : 1;
  }
  return bad_count;
}

static uint32_t
_vp_committer_load_worker_list (VpCommitter *committer, const GPtrArray *values)
{
  g_autoptr (GVariant) worker_list = NULL;

  if (values->len == 0)
    return 0;
  worker_list = vp_node_variant_from_bytes (values->pdata[0], VP_CELL_WORKERS_TYPE);
  vp_cell_load_workers (committer->desc.cell, worker_list);
  return worker_list == NULL ? 1 : 0;
}

/* @values is NULL if nothing was read. */
static uint32_t
_vp_committer_load_config (VpCommitter *committer, const GPtrArray *values)
{
  bool is_stored = values != NULL && values->len > 0;
  g_autoptr (GVariant) config
      = vp_node_variant_from_bytes (is_stored ? values->pdata[0] : NULL, VP_JOBCONFIG_TYPE);

  vp_cell_load_config (committer->desc.cell, config);
  return is_stored && config == NULL ? 1 : 0;
}

uint32_t
vp_committer_load (VpCommitter *committer, const VpStoreLoadResult *loaded, int64_t now_ms)
{
  uint32_t bad_count = _vp_committer_load_worker_list (committer, loaded->workers)
                       + _vp_committer_load_values (committer, loaded->ended, VP_JOB_END_TYPE,
                                                    _vp_committer_decode_end, now_ms)
                       + _vp_committer_load_values (committer, loaded->jobs, VP_JOB_TYPE,
                                                    _vp_committer_decode_job, now_ms)
                       + _vp_committer_load_values (committer, loaded->progress, VP_PROGRESS_TYPE,
                                                    vp_joblist_decode_progress, now_ms);

  return bad_count + _vp_committer_load_config (committer, loaded->config);
}

/* Returns the key of the value that is stored for a job below @prefix. */
static char *
_vp_committer_job_key (const char *prefix, uint64_t id)
{
  return g_strdup_printf ("%s/%016" G_GINT64_MODIFIER "x", prefix, id);
}

/* Adds a key to set to the commit. Takes over @key and returns the size of the value in bytes. */
static size_t
_vp_committer_set_key (VpStoreWrite *write, char *key, GVariant *value)
{
  GBytes *bytes = vp_node_variant_to_bytes (value);

  g_ptr_array_add (write->keys, key);
  g_ptr_array_add (write->values, bytes);
  return g_bytes_get_size (bytes);
}

static void
_vp_committer_remove_key (VpStoreWrite *write, const char *prefix, uint64_t id)
{
  g_ptr_array_add (write->removed, _vp_committer_job_key (prefix, id));
}

/* Adds the end of the job to the commit and removes what was stored before. Returns the size of the
 * added values in bytes. */
static size_t
_vp_committer_add_end (VpCommitter *committer, VpJob *job)
{
  VpStoreWrite *write = &committer->write;

  if (job->is_end_durable && !job->is_end_outdated)
    return 0;
  g_array_append_val (committer->ended_jobs, job->spec->id);
  if (job->is_durable && !job->is_end_durable) {
    _vp_committer_remove_key (write, "job", job->spec->id);
    if (job->is_progress_stored)
      _vp_committer_remove_key (write, "progress", job->spec->id);
  }
  return _vp_committer_set_key (write, _vp_committer_job_key ("ended", job->spec->id),
                                vp_job_encode_end (job));
}

/* Adds everything of the job that has changed to the commit. Returns the size of the added values
 * in bytes. */
static size_t
_vp_committer_add_job (VpCommitter *committer, VpJob *job)
{
  VpStoreWrite *write = &committer->write;
  size_t size = 0;

  g_array_append_val (committer->included_jobs, job->spec->id);
  if (vp_job_is_ended (job))
    return _vp_committer_add_end (committer, job);
  if (!job->is_durable) {
    g_array_append_val (committer->accepted_jobs, job->spec->id);
    size += _vp_committer_set_key (write, _vp_committer_job_key ("job", job->spec->id),
                                   vp_job_encode (job));
  }
  if (job->is_started) {
    job->is_progress_stored = true;
    size += _vp_committer_set_key (write, _vp_committer_job_key ("progress", job->spec->id),
                                   vp_job_encode_progress (job));
  }
  return size;
}

/* Returns true if the job ended so long ago that it needn't be stored any more. */
static bool
_vp_committer_is_expired (const VpCommitter *committer, const VpJob *job, int64_t now_ms)
{
  int64_t retention_ms = committer->desc.retention_ms;

  if (job->is_unsubmitted)
    retention_ms = MIN (retention_ms, VP_COMMITTER_UNSUBMITTED_RETENTION_MS);
  return job->is_end_durable && job->assigned_count == 0
         && now_ms - job->ended_ms > retention_ms + VP_COMMITTER_RETENTION_MARGIN_MS;
}

/* Removes ended jobs that callers can't query any more. */
static void
_vp_committer_purge_ended (VpCommitter *committer, int64_t now_ms)
{
  VpJobList *jobs = vp_cell_jobs (committer->desc.cell);
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  if (now_ms < committer->purge_next_ms)
    return;
  committer->purge_next_ms = now_ms + VP_COMMITTER_PURGE_INTERVAL_MS;
  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpJob *job = value;
    if (expired->len < VP_COMMITTER_PURGE_BATCH
        && _vp_committer_is_expired (committer, job, now_ms))
      g_ptr_array_add (expired, job);
  }
  if (expired->len == VP_COMMITTER_PURGE_BATCH)
    committer->purge_next_ms = now_ms + VP_COMMITTER_PURGE_BACKLOG_INTERVAL_MS;
  for (guint i = 0; i < expired->len; i++) {
    VpJob *job = expired->pdata[i];
    _vp_committer_remove_key (&committer->write, "ended", job->spec->id);
    vp_joblist_remove (jobs, job);
  }
}

static bool
_vp_committer_is_worker_list_due (const VpCommitter *committer, int64_t now_ms)
{
  return vp_cell_has_unstaged_workers (committer->desc.cell)
         && (now_ms >= committer->worker_list_next_ms || committer->is_finishing);
}

static bool
_vp_committer_has_progress (const VpCommitter *committer)
{
  return !g_queue_is_empty (&vp_cell_jobs (committer->desc.cell)->dirty)
         || vp_cell_has_unstaged_ends (committer->desc.cell) || committer->is_round_reverted;
}

static bool
_vp_committer_is_round_due (const VpCommitter *committer, int64_t now_ms)
{
  return _vp_committer_has_progress (committer)
         && (now_ms >= committer->round_next_ms || committer->is_finishing);
}

static void
_vp_committer_begin_round (VpCommitter *committer, int64_t now_ms)
{
  committer->has_round = true;
  committer->is_round_reverted = false;
  committer->round_began_ms = now_ms;
  committer->round_bytes = 0;
  vp_joblist_begin_round (vp_cell_jobs (committer->desc.cell));
  vp_cell_stage_ends (committer->desc.cell);
}

/* Returns the time between the beginnings of two rounds if each one has the size of the last. */
static int64_t
_vp_committer_round_interval_ms (const VpCommitter *committer)
{
  double bytes_per_ms = committer->desc.link_kbps / 8.0 * VP_COMMITTER_PROGRESS_SHARE;
  double wire_bytes = (double)committer->round_bytes * VP_COMMITTER_WIRE_FACTOR;

  if (committer->desc.link_kbps == 0)
    return 0;
  return (int64_t)MIN (wire_bytes / bytes_per_ms, VP_COMMITTER_ROUND_INTERVAL_MAX_MS);
}

/* Adds jobs to the commit: the urgent ones, and during a round also the others. */
static void
_vp_committer_add_jobs (VpCommitter *committer)
{
  VpJobList *jobs = vp_cell_jobs (committer->desc.cell);
  const VpStoreWrite *write = &committer->write;
  size_t size = 0;

  while (
      (vp_joblist_has_urgent (jobs) || (committer->has_round && !g_queue_is_empty (&jobs->dirty)))
      && size < VP_COMMITTER_BYTES_MAX
      && write->keys->len + write->removed->len + VP_COMMITTER_ENTRIES_PER_JOB
                 + committer->includes_worker_list + committer->includes_config
             <= VP_COMMITTER_ENTRIES_MAX)
    size += _vp_committer_add_job (committer, vp_joblist_take_dirty (jobs));
  committer->round_bytes += size;
}

/* Builds the next commit. */
static void
_vp_committer_build (VpCommitter *committer, int64_t now_ms)
{
  VpJobList *jobs = vp_cell_jobs (committer->desc.cell);
  VpStoreWrite *write = &committer->write;
  VpElectionRecord record = committer->desc.election->record;

  vp_store_write_clear (write);
  write->serial = ++committer->last_serial;
  committer->built_ms = now_ms;
  write->record_revision = committer->desc.election->record_revision;
  write->keys = g_ptr_array_new_with_free_func (g_free);
  write->values = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  write->removed = g_ptr_array_new_with_free_func (g_free);
  g_array_set_size (committer->accepted_jobs, 0);
  g_array_set_size (committer->ended_jobs, 0);
  g_array_set_size (committer->included_jobs, 0);
  _vp_committer_purge_ended (committer, now_ms);
  committer->includes_worker_list = _vp_committer_is_worker_list_due (committer, now_ms);
  /* A job is accepted together with the queue and the team that it names. */
  committer->includes_config = vp_cell_has_unstaged_config (committer->desc.cell);
  if (!committer->has_round && _vp_committer_is_round_due (committer, now_ms))
    _vp_committer_begin_round (committer, now_ms);
  _vp_committer_add_jobs (committer);
  /* The ends of runs that were staged at the beginning of the round are included if all jobs that
   * they changed are in this commit or in an earlier one. */
  committer->includes_round_end = committer->has_round && vp_joblist_is_round_taken (jobs);
  committer->is_complete
      = g_queue_is_empty (&jobs->dirty) && !vp_cell_has_unstaged_ends (committer->desc.cell);
  if (committer->includes_worker_list) {
    committer->worker_list_next_ms = now_ms + VP_COMMITTER_WORKER_LIST_INTERVAL_MS;
    _vp_committer_set_key (
        write, g_strdup ("workers"),
        vp_cell_stage_workers (committer->desc.cell, committer->is_complete, now_ms));
  }
  if (committer->includes_config)
    _vp_committer_set_key (write, g_strdup ("config"), vp_cell_stage_config (committer->desc.cell));
  committer->is_last = committer->is_finishing && committer->is_complete;
  record.commit++;
  /* A leader that doesn't know what runs on all workers can't declare the stored jobs complete. */
  record.is_clean = committer->is_last && vp_cell_has_complete_state (committer->desc.cell);
  _vp_committer_set_key (write, g_strdup ("lead"), vp_election_record_encode (&record));
  committer->is_uncertain = false;
}

static int64_t
_vp_committer_hedge_ms (const VpCommitter *committer)
{
  return MAX (VP_COMMITTER_HEDGE_MS, (int64_t)(committer->answer_ms * VP_COMMITTER_HEDGE_FACTOR));
}

/* Returns true if a new commit, or another copy of the current one, is to be sent now. */
static bool
_vp_committer_is_due (const VpCommitter *committer, int64_t now_ms)
{
  if (committer->is_in_flight)
    return committer->copies < VP_COMMITTER_COPIES_MAX
           && now_ms - committer->sent_ms >= _vp_committer_hedge_ms (committer);
  if (committer->is_finished || now_ms < committer->next_ms)
    return false;
  return committer->write.serial != 0 || committer->is_finishing
         || vp_joblist_has_urgent (vp_cell_jobs (committer->desc.cell)) || committer->has_round
         || _vp_committer_is_round_due (committer, now_ms)
         || _vp_committer_is_worker_list_due (committer, now_ms)
         || now_ms - committer->committed_ms >= VP_COMMITTER_HEARTBEAT_MS;
}

void
vp_committer_step (VpCommitter *committer, int64_t now_ms, VpNodeEffects *effects)
{
  if (!_vp_committer_is_due (committer, now_ms))
    return;
  if (committer->write.serial == 0)
    _vp_committer_build (committer, now_ms);
  if (committer->is_in_flight) {
    committer->is_uncertain = true;
    vp_log (now_ms, "commit-resent",
            "serial=%" G_GUINT64_FORMAT " copies=%u waited_ms=%" G_GINT64_FORMAT,
            committer->write.serial, committer->copies, now_ms - committer->sent_ms);
  }
  committer->is_in_flight = true;
  committer->copies++;
  committer->sent_ms = now_ms;
  vp_store_write_copy (&vp_node_effects_add (effects, VP_NODE_EFFECT_WRITE)->write,
                       &committer->write);
  vp_metrics_add (VP_COUNTER_STORE_WRITES, 1);
}

/* Handles the success of the current commit. */
static void
_vp_committer_complete (VpCommitter *committer, uint64_t revision, GArray *durable, int64_t now_ms)
{
  VpJobList *jobs = vp_cell_jobs (committer->desc.cell);
  VpElection *election = committer->desc.election;

  election->record_revision = revision;
  election->record.commit++;
  election->record.is_clean
      = committer->is_last && vp_cell_has_complete_state (committer->desc.cell);
  for (guint i = 0; i < committer->accepted_jobs->len; i++) {
    VpJob *job = vp_joblist_find (jobs, g_array_index (committer->accepted_jobs, uint64_t, i));
    if (job != NULL)
      job->is_durable = true;
  }
  for (guint i = 0; i < committer->ended_jobs->len; i++) {
    VpJob *job = vp_joblist_find (jobs, g_array_index (committer->ended_jobs, uint64_t, i));
    if (job == NULL)
      continue;
    job->is_durable = job->is_end_durable = true;
    job->is_end_outdated = false;
  }
  g_array_append_vals (durable, committer->accepted_jobs->data, committer->accepted_jobs->len);
  g_array_append_vals (durable, committer->ended_jobs->data, committer->ended_jobs->len);
  if (committer->includes_round_end) {
    committer->has_round = false;
    committer->round_next_ms
        = committer->round_began_ms + _vp_committer_round_interval_ms (committer);
    vp_cell_ends_durable (committer->desc.cell, now_ms);
  }
  if (committer->includes_worker_list)
    vp_cell_workers_durable (committer->desc.cell, now_ms);
  vp_metrics_add (VP_COUNTER_LEDGER_COMMITS, 1);
  if (committer->is_failing)
    vp_log (now_ms, "commits-resumed", "after_ms=%" G_GINT64_FORMAT,
            now_ms - committer->committed_ms);
  committer->answer_ms += VP_COMMITTER_ANSWER_WEIGHT
                          * ((double)(now_ms - committer->built_ms) - committer->answer_ms);
  committer->is_failing = false;
  committer->is_finished = committer->is_last;
  committer->write.serial = 0;
  committer->committed_ms = now_ms;
  committer->confirmed_ms = committer->built_ms;
}

/* Returns true if @value is the leader record of the current commit. */
static bool
_vp_committer_is_own_commit (const VpCommitter *committer, GBytes *value)
{
  g_autoptr (GVariant) parsed = vp_node_variant_from_bytes (value, VP_ELECTION_RECORD_TYPE);
  VpElectionRecord record;

  return parsed != NULL && vp_election_record_decode (parsed, &record)
         && record.term == committer->desc.election->term
         && strcmp (record.leader, committer->desc.election->name) == 0
         && record.commit == committer->desc.election->record.commit + 1;
}

/* Reverts a commit that certainly had no effect. Its jobs go into the next one. The round of which
 * it was a part begins again, since the jobs are marked as changed after its beginning. */
static void
_vp_committer_revert (VpCommitter *committer)
{
  VpJobList *jobs = vp_cell_jobs (committer->desc.cell);

  committer->is_round_reverted = committer->has_round;
  committer->has_round = false;
  if (committer->includes_worker_list)
    vp_cell_unstage_workers (committer->desc.cell);
  if (committer->includes_config)
    vp_cell_unstage_config (committer->desc.cell);
  for (guint i = 0; i < committer->included_jobs->len; i++) {
    VpJob *job = vp_joblist_find (jobs, g_array_index (committer->included_jobs, uint64_t, i));
    if (job != NULL)
      vp_joblist_mark_dirty (jobs, job);
  }
  committer->write.serial = 0;
}

bool
vp_committer_handle_write_result (VpCommitter *committer,
                                  const VpStoreWriteResult *written,
                                  GArray *durable,
                                  int64_t now_ms)
{
  if (!committer->is_in_flight || written->serial != committer->write.serial)
    return true;
  committer->is_in_flight = false;
  committer->copies = 0;
  committer->next_ms = now_ms + VP_COMMITTER_INTERVAL_MIN_MS;
  switch (written->outcome) {
  case VP_WRITE_OK:
    _vp_committer_complete (committer, written->revision, durable, now_ms);
    return true;
  case VP_WRITE_CONFLICT:
    if (!_vp_committer_is_own_commit (committer, written->record))
      return false;
    _vp_committer_complete (committer, written->revision, durable, now_ms);
    return true;
  case VP_WRITE_UNKNOWN:
    committer->is_uncertain = true;
    break;
  case VP_WRITE_UNAVAILABLE:
    if (!committer->is_uncertain)
      _vp_committer_revert (committer);
    break;
  }
  committer->next_ms = now_ms + VP_COMMITTER_RETRY_MS;
  vp_metrics_add (VP_COUNTER_STORE_UNAVAILABLE, 1);
  if (committer->is_failing)
    return true;
  committer->is_failing = true;
  vp_log (now_ms, "commit-failed",
          "serial=%" G_GUINT64_FORMAT " uncertain=%d commit_age_ms=%" G_GINT64_FORMAT,
          written->serial, committer->is_uncertain, now_ms - committer->committed_ms);
  return true;
}

int64_t
vp_committer_last_commit_age_ms (const VpCommitter *committer, int64_t now_ms)
{
  return now_ms - committer->committed_ms;
}

int64_t
vp_committer_confirmed_ms (const VpCommitter *committer)
{
  return committer->confirmed_ms;
}

bool
vp_committer_is_failing (const VpCommitter *committer)
{
  return committer->is_failing;
}

bool
vp_committer_is_unsent (const VpCommitter *committer, uint64_t job)
{
  if (committer->write.serial == 0)
    return true;
  /* A job that was cancelled before its first commit is included with its end only. */
  for (guint i = 0; i < committer->included_jobs->len; i++) {
    if (g_array_index (committer->included_jobs, uint64_t, i) == job)
      return false;
  }
  return true;
}

bool
vp_committer_keeps_end (const VpJob *job, int64_t now_ms)
{
  return job->is_end_durable && !job->is_end_outdated
         && now_ms - job->ended_ms <= VP_COMMITTER_RETENTION_MARGIN_MS;
}

void
vp_committer_finish (VpCommitter *committer)
{
  committer->is_finishing = true;
}

bool
vp_committer_is_finished (const VpCommitter *committer)
{
  return committer->is_finished;
}

int64_t
vp_committer_next_ms (const VpCommitter *committer, int64_t now_ms)
{
  (void)now_ms;
  if (committer->is_in_flight)
    return committer->copies < VP_COMMITTER_COPIES_MAX
               ? committer->sent_ms + _vp_committer_hedge_ms (committer)
               : INT64_MAX;
  if (committer->is_finished)
    return INT64_MAX;
  if (_vp_committer_is_due (committer, committer->next_ms))
    return committer->next_ms;
  return MAX (committer->next_ms,
              MIN (committer->committed_ms + VP_COMMITTER_HEARTBEAT_MS,
                   _vp_committer_has_progress (committer) ? committer->round_next_ms : INT64_MAX));
}
