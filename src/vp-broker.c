#include "vp-broker.h"
#include "vp-log.h"
#include "vp-metrics.h"

#include <string.h>

/* A leader that has not written for this long may have been replaced without knowing it, so it
 * can't tell that a job does not exist. */
#define VP_BROKER_BLIND_MS 1500
/* While the store has not taken a write for this long, new jobs are turned away at once. */
#define VP_BROKER_STORE_AGE_MS 900
/* A job that has waited this long for a store that turns writes away is given back. */
#define VP_BROKER_WITHDRAW_MS 600
/* A job in a commit that may or may not have reached the store: its callers are told so after this,
 * while they still have time for another try. */
#define VP_BROKER_UNKNOWN_MS 1000
/* When to come back while the store is away: outages last for some seconds, and callers try a few
 * times only. */
#define VP_BROKER_STORE_RETRY_MS 2000
/* Turned-away requests are remembered longer than any message is under way. */
#define VP_BROKER_REJECTED_MS 10000

typedef struct {
  char from[VP_NAME_MAX];
  uint64_t serial;
  VpNodeMsgKind kind;
  int64_t since_ms;
} VpBrokerWaiter;

typedef struct {
  char from[VP_NAME_MAX];
  uint64_t serial;
  int64_t at_ms;
} VpBrokerRejected;

struct _VpBroker {
  VpCell *cell;
  VpKeeper *keeper;
  uint64_t term;
  GHashTable *waiters; /* job id -> GArray of VpBrokerWaiter */
  GArray *rejected;    /* VpBrokerRejected, oldest first */
  bool is_paused;
};

static void
_vp_broker_waiters_free (gpointer data)
{
  g_array_unref (data);
}

VpBroker *
vp_broker_setup (VpCell *cell, VpKeeper *keeper, uint64_t term)
{
  VpBroker *broker = g_new0 (VpBroker, 1);

  broker->cell = cell;
  broker->keeper = keeper;
  broker->term = term;
  broker->waiters
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, _vp_broker_waiters_free);
  broker->rejected = g_array_new (FALSE, FALSE, sizeof (VpBrokerRejected));
  return broker;
}

void
vp_broker_shutdown (VpBroker *broker)
{
  if (broker == NULL)
    return;
  g_hash_table_unref (broker->waiters);
  g_array_unref (broker->rejected);
  g_free (broker);
}

void
vp_broker_pause (VpBroker *broker)
{
  broker->is_paused = true;
}

static VpNodeMsg *
_vp_broker_answer (const VpBroker *broker,
                   const char *to,
                   uint64_t serial,
                   VpAnswerKind kind,
                   GArray *answers)
{
  VpBrokerAnswer answer
      = { .message
          = { .kind = VP_NODEMSG_ANSWER, .serial = serial, .term = broker->term, .answer = kind } };

  g_strlcpy (answer.to, to, sizeof answer.to);
  g_array_append_val (answers, answer);
  return &g_array_index (answers, VpBrokerAnswer, answers->len - 1).message;
}

static void
_vp_broker_reject (VpBroker *broker,
                   const char *to,
                   uint64_t serial,
                   int64_t now_ms,
                   GArray *answers)
{
  VpBrokerRejected rejected = { .serial = serial, .at_ms = now_ms };

  g_strlcpy (rejected.from, to, sizeof rejected.from);
  g_array_append_val (broker->rejected, rejected);
  _vp_broker_answer (broker, to, serial, VP_ANSWER_REJECTED, answers)->retry_after_ms
      = VP_BROKER_STORE_RETRY_MS;
}

static bool
_vp_broker_was_rejected (const VpBroker *broker, const VpNodeMsg *message)
{
  for (guint i = 0; i < broker->rejected->len; i++) {
    const VpBrokerRejected *rejected = &g_array_index (broker->rejected, VpBrokerRejected, i);
    if (rejected->serial == message->serial && strcmp (rejected->from, message->from) == 0)
      return true;
  }
  return false;
}

static void
_vp_broker_wait (VpBroker *broker, const VpNodeMsg *message, int64_t now_ms)
{
  GArray *waiters = g_hash_table_lookup (broker->waiters, &message->job);
  VpBrokerWaiter waiter = { .serial = message->serial, .kind = message->kind, .since_ms = now_ms };

  g_strlcpy (waiter.from, message->from, sizeof waiter.from);
  if (waiters == NULL) {
    waiters = g_array_new (FALSE, FALSE, sizeof (VpBrokerWaiter));
    g_hash_table_insert (broker->waiters, g_memdup2 (&message->job, sizeof message->job), waiters);
  }
  g_array_append_val (waiters, waiter);
}

static void
_vp_broker_submit (VpBroker *broker, const VpNodeMsg *message, int64_t now_ms, GArray *answers)
{
  VpJobList *jobs = vp_cell_jobs (broker->cell);
  VpJob *job = vp_joblist_find (jobs, message->job);
  g_autoptr (VpJobSpec) spec = NULL;

  if (job != NULL && job->is_durable) {
    _vp_broker_answer (broker, message->from, message->serial, VP_ANSWER_ACCEPTED, answers);
    return;
  }
  if (_vp_broker_was_rejected (broker, message)) {
    _vp_broker_reject (broker, message->from, message->serial, now_ms, answers);
    return;
  }
  if (job == NULL) {
    if (broker->is_paused) {
      _vp_broker_answer (broker, message->from, message->serial, VP_ANSWER_NOT_LEADER, answers);
      return;
    }
    spec = message->body == NULL ? NULL : vp_jobspec_decode (message->body);
    if (spec == NULL || spec->id != message->job
        || vp_keeper_age_ms (broker->keeper, now_ms) > VP_BROKER_STORE_AGE_MS) {
      vp_log (now_ms, "reject",
              "job=%016" G_GINT64_MODIFIER "x store_age_ms=%" G_GINT64_FORMAT " why=%s",
              message->job, vp_keeper_age_ms (broker->keeper, now_ms),
              spec == NULL ? "malformed" : "store-down");
      _vp_broker_reject (broker, message->from, message->serial, now_ms, answers);
      return;
    }
    job = vp_cell_submit (broker->cell, spec, now_ms);
    vp_log (now_ms, "submit",
            "job=%016" G_GINT64_MODIFIER "x queue=%s team=%s steps=%u from=%s over_share=%d",
            spec->id, spec->queue, spec->team, spec->step_count, message->from, job->is_over_share);
  }
  _vp_broker_wait (broker, message, now_ms);
}

/* What may be shown of a job: an end only once it is durable. */
static VpJobState
_vp_broker_state (const VpJob *job)
{
  if (!vp_job_is_ended (job) || job->is_end_durable)
    return job->state;
  return job->is_started ? VP_JOB_RUNNING : VP_JOB_QUEUED;
}

static void
_vp_broker_answer_gone (const VpBroker *broker,
                        const VpNodeMsg *message,
                        int64_t now_ms,
                        GArray *answers)
{
  bool is_blind = vp_keeper_age_ms (broker->keeper, now_ms) > VP_BROKER_BLIND_MS;

  if (is_blind)
    _vp_broker_answer (broker, message->from, message->serial, VP_ANSWER_REJECTED, answers)
        ->retry_after_ms
        = VP_BROKER_STORE_RETRY_MS;
  else
    _vp_broker_answer (broker, message->from, message->serial, VP_ANSWER_GONE, answers);
}

static void
_vp_broker_cancel (VpBroker *broker, const VpNodeMsg *message, int64_t now_ms, GArray *answers)
{
  VpJob *job = vp_joblist_find (vp_cell_jobs (broker->cell), message->job);

  if (job == NULL) {
    _vp_broker_answer_gone (broker, message, now_ms, answers);
    return;
  }
  if (vp_cell_cancel (broker->cell, message->job, now_ms))
    vp_log (now_ms, "cancel", "job=%016" G_GINT64_MODIFIER "x out=%u from=%s", message->job,
            job->out_count, message->from);
  if (job->is_end_durable)
    _vp_broker_answer (broker, message->from, message->serial, VP_ANSWER_ACCEPTED, answers);
  else
    _vp_broker_wait (broker, message, now_ms);
}

void
vp_broker_request (VpBroker *broker, const VpNodeMsg *message, int64_t now_ms, GArray *answers)
{
  const VpJob *job;

  switch (message->kind) {
  case VP_NODEMSG_SUBMIT:
    _vp_broker_submit (broker, message, now_ms, answers);
    break;
  case VP_NODEMSG_CANCEL:
    _vp_broker_cancel (broker, message, now_ms, answers);
    break;
  case VP_NODEMSG_QUERY:
    job = vp_joblist_find (vp_cell_jobs (broker->cell), message->job);
    if (job == NULL || !job->is_durable)
      _vp_broker_answer_gone (broker, message, now_ms, answers);
    else
      _vp_broker_answer (broker, message->from, message->serial, VP_ANSWER_STATE, answers)->state
          = _vp_broker_state (job);
    break;
  case VP_NODEMSG_PENDING:
    _vp_broker_answer (broker, message->from, message->serial, VP_ANSWER_COUNT, answers)->count
        = vp_joblist_pending (vp_cell_jobs (broker->cell), message->queue);
    break;
  default:
    break;
  }
}

void
vp_broker_kept (VpBroker *broker, const GArray *kept, int64_t now_ms, GArray *answers)
{
  (void)now_ms;
  for (guint i = 0; i < kept->len; i++) {
    const uint64_t *id = &g_array_index (kept, uint64_t, i);
    GArray *waiters = g_hash_table_lookup (broker->waiters, id);
    const VpJob *job = vp_joblist_find (vp_cell_jobs (broker->cell), *id);
    for (guint w = 0; waiters != NULL && w < waiters->len;) {
      const VpBrokerWaiter *waiter = &g_array_index (waiters, VpBrokerWaiter, w);
      if (waiter->kind == VP_NODEMSG_CANCEL && (job == NULL || !job->is_end_durable)) {
        w++;
        continue;
      }
      _vp_broker_answer (broker, waiter->from, waiter->serial, VP_ANSWER_ACCEPTED, answers);
      g_array_remove_index (waiters, w);
    }
    if (waiters != NULL && waiters->len == 0)
      g_hash_table_remove (broker->waiters, id);
  }
}

/* True if the job was given back to its callers. */
static bool
_vp_broker_withdraw (VpBroker *broker,
                     uint64_t id,
                     const GArray *waiters,
                     int64_t now_ms,
                     GArray *answers)
{
  VpJobList *jobs = vp_cell_jobs (broker->cell);
  VpJob *job = vp_joblist_find (jobs, id);
  const VpBrokerWaiter *first = &g_array_index (waiters, VpBrokerWaiter, 0);

  if (job == NULL || job->is_durable || job->out_count > 0
      || now_ms - first->since_ms < VP_BROKER_WITHDRAW_MS
      || !vp_keeper_is_unsent (broker->keeper, id))
    return false;
  vp_log (now_ms, "reject",
          "job=%016" G_GINT64_MODIFIER "x store_age_ms=%" G_GINT64_FORMAT " why=store-down", id,
          vp_keeper_age_ms (broker->keeper, now_ms));
  for (guint i = 0; i < waiters->len; i++) {
    const VpBrokerWaiter *waiter = &g_array_index (waiters, VpBrokerWaiter, i);
    if (waiter->kind == VP_NODEMSG_CANCEL)
      _vp_broker_answer (broker, waiter->from, waiter->serial, VP_ANSWER_GONE, answers);
    else
      _vp_broker_reject (broker, waiter->from, waiter->serial, now_ms, answers);
  }
  vp_joblist_remove (jobs, job);
  return true;
}

/* Gives requests back whose outcome the store alone knows; the job itself goes on being kept. */
static void
_vp_broker_give_up (VpBroker *broker, uint64_t id, GArray *waiters, int64_t now_ms, GArray *answers)
{
  for (guint i = 0; i < waiters->len;) {
    const VpBrokerWaiter *waiter = &g_array_index (waiters, VpBrokerWaiter, i);
    if (waiter->kind != VP_NODEMSG_SUBMIT || now_ms - waiter->since_ms < VP_BROKER_UNKNOWN_MS) {
      i++;
      continue;
    }
    vp_log (now_ms, "give-up",
            "job=%016" G_GINT64_MODIFIER "x store_age_ms=%" G_GINT64_FORMAT
            " waited_ms=%" G_GINT64_FORMAT,
            id, vp_keeper_age_ms (broker->keeper, now_ms), now_ms - waiter->since_ms);
    _vp_broker_answer (broker, waiter->from, waiter->serial, VP_ANSWER_UNKNOWN, answers);
    g_array_remove_index (waiters, i);
  }
}

void
vp_broker_tick (VpBroker *broker, int64_t now_ms, GArray *answers)
{
  GHashTableIter iter;
  gpointer id, waiters;
  guint old = 0;

  while (old < broker->rejected->len
         && now_ms - g_array_index (broker->rejected, VpBrokerRejected, old).at_ms
                > VP_BROKER_REJECTED_MS)
    old++;
  if (old > 0)
    g_array_remove_range (broker->rejected, 0, old);
  /* A store that is only slow will take the jobs. */
  if (!vp_keeper_is_failing (broker->keeper)
      || vp_keeper_age_ms (broker->keeper, now_ms) < VP_BROKER_WITHDRAW_MS)
    return;
  g_hash_table_iter_init (&iter, broker->waiters);
  while (g_hash_table_iter_next (&iter, &id, &waiters)) {
    if (!_vp_broker_withdraw (broker, *(uint64_t *)id, waiters, now_ms, answers))
      _vp_broker_give_up (broker, *(uint64_t *)id, waiters, now_ms, answers);
    else
      g_array_set_size (waiters, 0);
    if (((GArray *)waiters)->len == 0)
      g_hash_table_iter_remove (&iter);
  }
}
