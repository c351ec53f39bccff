#include "vp-jobservice.h"
#include "vp-log.h"
#include "vp-metrics.h"

#include <string.h>

/* A leader that has not committed for this long may have been replaced without noticing, so it
 * can't say that a job doesn't exist. */
#define VP_JOBSERVICE_UNCONFIRMED_MS 1500
/* New jobs are rejected at once if the last commit is older than this. */
#define VP_JOBSERVICE_REJECT_MS 900
/* A job that has waited this long for a store that rejects writes is withdrawn. */
#define VP_JOBSERVICE_WITHDRAW_MS 600
/* After this time callers of a job whose commit may or may not have reached the store are told that
 * the outcome is unknown, while they can still retry. */
#define VP_JOBSERVICE_UNKNOWN_MS 1000
/* Delay after which rejected callers should retry while the store is unavailable. Outages last some
 * seconds, and callers make only a few attempts. */
#define VP_JOBSERVICE_STORE_RETRY_MS 2000
/* Rejections are remembered longer than any message can be in transit, so that a request that is
 * sent again gets the same answer. */
#define VP_JOBSERVICE_REJECTION_RETENTION_MS 10000

/* A request that is answered once its job, or the end of the job, is durable. */
typedef struct {
  char from[VP_PROCESS_NAME_MAX]; /* node that sent the request */
  uint64_t serial;
  VpNodeMsgKind kind;
  char *queue; /* queue of the request */
  int64_t since_ms;
} VpJobServiceWaiter;

/* Maximum number of remembered rejections up to which jobs are rejected because of an overload. */
#define VP_JOBSERVICE_REJECTIONS_MAX 65536

/* A request to submit a job that was rejected. */
typedef struct {
  char from[VP_PROCESS_NAME_MAX]; /* node that sent the request */
  uint64_t serial;
  int64_t at_ms; /* time of the last answer */
  int64_t retry_ms;
  GList *link; /* in @rejection_order */
} VpJobServiceRejection;

struct _VpJobService {
  VpCell *cell;
  VpCommitter *committer;
  uint64_t term;
  GHashTable *waiters;    /* job id -> GArray of VpJobServiceWaiter */
  GHashTable *rejections; /* set of VpJobServiceRejection, by @from and @serial */
  GQueue rejection_order; /* the same, oldest answer first */
  bool is_paused;
  bool is_short; /* jobs with long texts are rejected */
};

static void
_vp_jobservice_waiter_clear (gpointer data)
{
  g_free (((VpJobServiceWaiter *)data)->queue);
}

static void
_vp_jobservice_waiters_free (gpointer data)
{
  g_array_unref (data);
}

static guint
_vp_jobservice_rejection_hash (gconstpointer data)
{
  const VpJobServiceRejection *rejection = data;

  return g_str_hash (rejection->from) ^ g_int64_hash (&rejection->serial);
}

static gboolean
_vp_jobservice_rejection_equal (gconstpointer a, gconstpointer b)
{
  const VpJobServiceRejection *one = a;
  const VpJobServiceRejection *two = b;

  return one->serial == two->serial && strcmp (one->from, two->from) == 0;
}

VpJobService *
vp_jobservice_setup (VpCell *cell, VpCommitter *committer, uint64_t term)
{
  VpJobService *service = g_new0 (VpJobService, 1);

  service->cell = cell;
  service->committer = committer;
  service->term = term;
  service->waiters
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, _vp_jobservice_waiters_free);
  service->rejections = g_hash_table_new_full (_vp_jobservice_rejection_hash,
                                               _vp_jobservice_rejection_equal, g_free, NULL);
  g_queue_init (&service->rejection_order);
  return service;
}

void
vp_jobservice_shutdown (VpJobService *service)
{
  if (service == NULL)
    return;
  g_hash_table_unref (service->waiters);
  g_queue_clear (&service->rejection_order);
  g_hash_table_unref (service->rejections);
  g_free (service);
}

void
vp_jobservice_set_short_texts (VpJobService *service, bool is_short)
{
  service->is_short = is_short;
}

void
vp_jobservice_pause (VpJobService *service)
{
  service->is_paused = true;
}

static VpNodeMsg *
_vp_jobservice_add_answer (const VpJobService *service,
                           const char *to,
                           uint64_t serial,
                           VpAnswerKind kind,
                           GArray *answers)
{
  VpJobServiceAnswer answer = {
    .message
    = { .kind = VP_NODEMSG_ANSWER, .serial = serial, .term = service->term, .answer = kind }
  };

  g_strlcpy (answer.to, to, sizeof answer.to);
  g_array_append_val (answers, answer);
  return &g_array_index (answers, VpJobServiceAnswer, answers->len - 1).message;
}

static void
_vp_jobservice_add_rejection (const VpJobService *service,
                              const char *to,
                              uint64_t serial,
                              int64_t retry_ms,
                              GArray *answers)
{
  _vp_jobservice_add_answer (service, to, serial, VP_ANSWER_REJECTED, answers)->retry_after_ms
      = (uint32_t)retry_ms;
}

static VpJobServiceRejection *
_vp_jobservice_find_rejection (const VpJobService *service, const char *from, uint64_t serial)
{
  VpJobServiceRejection wanted = { .serial = serial };

  g_strlcpy (wanted.from, from, sizeof wanted.from);
  return g_hash_table_lookup (service->rejections, &wanted);
}

/* Rejects a submission and remembers that. One that was rejected before gets the same answer. */
static void
_vp_jobservice_reject (VpJobService *service,
                       const char *to,
                       uint64_t serial,
                       int64_t retry_ms,
                       int64_t now_ms,
                       GArray *answers)
{
  VpJobServiceRejection *rejection = _vp_jobservice_find_rejection (service, to, serial);

  if (rejection == NULL) {
    rejection = g_new0 (VpJobServiceRejection, 1);
    g_strlcpy (rejection->from, to, sizeof rejection->from);
    rejection->serial = serial;
    rejection->retry_ms = retry_ms;
    rejection->link = g_list_alloc ();
    rejection->link->data = rejection;
    g_hash_table_add (service->rejections, rejection);
  } else {
    g_queue_unlink (&service->rejection_order, rejection->link);
  }
  rejection->at_ms = now_ms;
  g_queue_push_tail_link (&service->rejection_order, rejection->link);
  _vp_jobservice_add_rejection (service, to, serial, rejection->retry_ms, answers);
}

/* Forgets rejections whose requests can't be in transit any more. */
static void
_vp_jobservice_expire_rejections (VpJobService *service, int64_t now_ms)
{
  for (;;) {
    VpJobServiceRejection *oldest = g_queue_peek_head (&service->rejection_order);
    if (oldest == NULL || now_ms - oldest->at_ms <= VP_JOBSERVICE_REJECTION_RETENTION_MS)
      return;
    g_queue_pop_head (&service->rejection_order);
    g_hash_table_remove (service->rejections, oldest);
  }
}

/* Decides on a job because of the load. Returns false if it was rejected. */
static bool
_vp_jobservice_admit (VpJobService *service,
                      const VpNodeMsg *message,
                      const VpJobSpec *spec,
                      int64_t now_ms,
                      VpAdmissionDecision *decision,
                      GArray *answers)
{
  /* A rejection that isn't remembered might not be true: the request may be sent again. */
  if (g_hash_table_size (service->rejections) >= VP_JOBSERVICE_REJECTIONS_MAX) {
    *decision = (VpAdmissionDecision){ .is_accepted = true, .arrived_ms = now_ms };
    return true;
  }
  vp_cell_admit (service->cell, spec, now_ms, decision);
  if (decision->is_accepted)
    return true;
  vp_log (now_ms, "reject",
          "job=%016" G_GINT64_MODIFIER "x queue=%s team=%s why=%s tries=%u"
          " waited_ms=%" G_GINT64_FORMAT " retry_ms=%" G_GINT64_FORMAT,
          spec->id, spec->queue, spec->team, vp_admission_reason_token (decision->reason),
          decision->tries + 1, now_ms - decision->arrived_ms, decision->retry_ms);
  _vp_jobservice_reject (service, message->from, message->serial, decision->retry_ms, now_ms,
                         answers);
  return false;
}

static bool
_vp_jobservice_is_waiting (const GArray *waiters, const VpNodeMsg *message)
{
  for (guint i = 0; waiters != NULL && i < waiters->len; i++) {
    const VpJobServiceWaiter *waiter = &g_array_index (waiters, VpJobServiceWaiter, i);
    if (waiter->serial == message->serial && strcmp (waiter->from, message->from) == 0)
      return true;
  }
  return false;
}

/* Lets the request wait until its job, or the end of the job, is durable. */
static void
_vp_jobservice_add_waiter (VpJobService *service, const VpNodeMsg *message, int64_t now_ms)
{
  GArray *waiters = g_hash_table_lookup (service->waiters, &message->job);
  VpJobServiceWaiter *waiter;

  /* Nodes send a request again until it is answered. */
  if (_vp_jobservice_is_waiting (waiters, message))
    return;
  if (waiters == NULL) {
    waiters = g_array_new (FALSE, FALSE, sizeof (VpJobServiceWaiter));
    g_array_set_clear_func (waiters, _vp_jobservice_waiter_clear);
    g_hash_table_insert (service->waiters, g_memdup2 (&message->job, sizeof message->job), waiters);
  }
  g_array_set_size (waiters, waiters->len + 1);
  waiter = &g_array_index (waiters, VpJobServiceWaiter, waiters->len - 1);
  *waiter = (VpJobServiceWaiter){ .serial = message->serial,
                                  .kind = message->kind,
                                  .queue = g_strdup (vp_text (message->queue)),
                                  .since_ms = now_ms };
  g_strlcpy (waiter->from, message->from, sizeof waiter->from);
}

/* Lets the submission of a job that was cancelled before be stored. */
static void
_vp_jobservice_note_submission (VpJobService *service,
                                VpJob *job,
                                const char *queue,
                                int64_t now_ms)
{
  vp_log (now_ms, "submit-cancelled",
          "job=%016" G_GINT64_MODIFIER "x queue=%s cancelled_ms=%" G_GINT64_FORMAT, job->spec->id,
          queue, now_ms - job->ended_ms);
  vp_joblist_note_submission (vp_cell_jobs (service->cell), job, queue);
}

static void
_vp_jobservice_submit (VpJobService *service,
                       const VpNodeMsg *message,
                       int64_t now_ms,
                       GArray *answers)
{
  VpJobList *jobs = vp_cell_jobs (service->cell);
  VpJob *job = vp_joblist_find (jobs, message->job);
  g_autoptr (VpJobSpec) spec = NULL;
  VpAdmissionDecision decision;

  if (job != NULL && job->is_unsubmitted) {
    _vp_jobservice_add_waiter (service, message, now_ms);
    /* Otherwise the submission is noted once the commit that may be in flight is done: its success
     * would count the present state of the job as stored. */
    if (job->is_end_durable && !job->is_end_outdated)
      _vp_jobservice_note_submission (service, job, message->queue, now_ms);
    return;
  }
  if (job != NULL && job->is_durable) {
    _vp_jobservice_add_answer (service, message->from, message->serial, VP_ANSWER_ACCEPTED,
                               answers);
    return;
  }
  if (_vp_jobservice_find_rejection (service, message->from, message->serial) != NULL) {
    _vp_jobservice_reject (service, message->from, message->serial, 0, now_ms, answers);
    return;
  }
  if (job == NULL) {
    if (service->is_paused) {
      _vp_jobservice_add_answer (service, message->from, message->serial, VP_ANSWER_NOT_LEADER,
                                 answers);
      return;
    }
    /* Neither the queue nor the load can be judged. */
    if (!vp_cell_has_config (service->cell)) {
      vp_log (now_ms, "reject", "job=%016" G_GINT64_MODIFIER "x why=no-configuration",
              message->job);
      _vp_jobservice_reject (service, message->from, message->serial, VP_JOBSERVICE_STORE_RETRY_MS,
                             now_ms, answers);
      return;
    }
    spec = message->body == NULL ? NULL : vp_jobspec_decode (message->body);
    if (spec == NULL || spec->id != message->job
        || vp_committer_last_commit_age_ms (service->committer, now_ms) > VP_JOBSERVICE_REJECT_MS) {
      vp_log (now_ms, "reject",
              "job=%016" G_GINT64_MODIFIER "x commit_age_ms=%" G_GINT64_FORMAT " why=%s",
              message->job, vp_committer_last_commit_age_ms (service->committer, now_ms),
              spec == NULL ? "malformed" : "store-down");
      _vp_jobservice_reject (service, message->from, message->serial, VP_JOBSERVICE_STORE_RETRY_MS,
                             now_ms, answers);
      return;
    }
    if (service->is_short && !vp_jobspec_has_short_texts (spec)) {
      vp_log (now_ms, "reject", "job=%016" G_GINT64_MODIFIER "x why=earlier-version", message->job);
      _vp_jobservice_reject (service, message->from, message->serial, VP_JOBSERVICE_STORE_RETRY_MS,
                             now_ms, answers);
      return;
    }
    if (!_vp_jobservice_admit (service, message, spec, now_ms, &decision, answers))
      return;
    job = vp_cell_submit_admitted (service->cell, spec, &decision, now_ms);
    vp_log (now_ms, "submit",
            "job=%016" G_GINT64_MODIFIER "x queue=%s team=%s steps=%u from=%s over_share=%d"
            " why=%s tries=%u expected_ms=%" G_GINT64_FORMAT,
            spec->id, spec->queue, spec->team, spec->step_count, message->from, job->is_over_rate,
            vp_admission_reason_token (decision.reason), decision.tries + 1,
            decision.expected_end_ms == 0 ? 0 : decision.expected_end_ms - now_ms);
  }
  _vp_jobservice_add_waiter (service, message, now_ms);
}

/* Returns the state of a job as shown to callers. An end is shown only once it is durable. */
static VpJobState
_vp_jobservice_visible_state (const VpJob *job)
{
  if (!vp_job_is_ended (job) || job->is_end_durable)
    return job->state;
  return job->is_started ? VP_JOB_RUNNING : VP_JOB_QUEUED;
}

static void
_vp_jobservice_answer_unknown_job (const VpJobService *service,
                                   const VpNodeMsg *message,
                                   int64_t now_ms,
                                   GArray *answers)
{
  bool is_unconfirmed
      = vp_committer_last_commit_age_ms (service->committer, now_ms) > VP_JOBSERVICE_UNCONFIRMED_MS;

  if (is_unconfirmed)
    _vp_jobservice_add_rejection (service, message->from, message->serial,
                                  VP_JOBSERVICE_STORE_RETRY_MS, answers);
  else
    _vp_jobservice_add_answer (service, message->from, message->serial, VP_ANSWER_NO_SUCH_JOB,
                               answers);
}

/* Cancels a job of which no submission has arrived. Returns NULL if the request was answered. */
static VpJob *
_vp_jobservice_cancel_unsubmitted (VpJobService *service,
                                   const VpNodeMsg *message,
                                   int64_t now_ms,
                                   GArray *answers)
{
  int64_t commit_age_ms = vp_committer_last_commit_age_ms (service->committer, now_ms);
  VpJob *job;

  if (service->is_paused) {
    _vp_jobservice_add_answer (service, message->from, message->serial, VP_ANSWER_NOT_LEADER,
                               answers);
    return NULL;
  }
  job = commit_age_ms > VP_JOBSERVICE_REJECT_MS
            ? NULL
            : vp_joblist_add_unsubmitted (vp_cell_jobs (service->cell), message->job, now_ms);
  vp_log (
      now_ms, job == NULL ? "cancel-rejected" : "cancel-unsubmitted",
      "job=%016" G_GINT64_MODIFIER "x commit_age_ms=%" G_GINT64_FORMAT " unsubmitted=%u from=%s",
      message->job, commit_age_ms, vp_cell_jobs (service->cell)->unsubmitted_count, message->from);
  if (job == NULL)
    _vp_jobservice_add_rejection (service, message->from, message->serial,
                                  VP_JOBSERVICE_STORE_RETRY_MS, answers);
  return job;
}

/* Returns true if the end of the job is stored for long enough that its cancellation can be
 * answered. If it is stored for a shorter time, lets it be stored for longer. */
static bool
_vp_jobservice_secure_end (VpJobService *service, VpJob *job, int64_t now_ms)
{
  if (vp_committer_keeps_end (job, now_ms))
    return true;
  if (job->is_end_durable && !job->is_end_outdated)
    vp_joblist_renew_end (vp_cell_jobs (service->cell), job, now_ms);
  return false;
}

/* Returns the answer to the cancellation of a job whose end is durable. */
static VpAnswerKind
_vp_jobservice_cancelled_answer (const VpJob *job)
{
  return job->is_unsubmitted ? VP_ANSWER_NO_SUCH_JOB : VP_ANSWER_ACCEPTED;
}

static void
_vp_jobservice_cancel (VpJobService *service,
                       const VpNodeMsg *message,
                       int64_t now_ms,
                       GArray *answers)
{
  VpJob *job = vp_joblist_find (vp_cell_jobs (service->cell), message->job);

  if (job == NULL)
    job = _vp_jobservice_cancel_unsubmitted (service, message, now_ms, answers);
  if (job == NULL)
    return;
  if (vp_cell_cancel (service->cell, message->job, now_ms))
    vp_log (now_ms, "cancel", "job=%016" G_GINT64_MODIFIER "x dispatched=%u from=%s", message->job,
            job->assigned_count, message->from);
  if (_vp_jobservice_secure_end (service, job, now_ms))
    _vp_jobservice_add_answer (service, message->from, message->serial,
                               _vp_jobservice_cancelled_answer (job), answers);
  else
    _vp_jobservice_add_waiter (service, message, now_ms);
}

void
vp_jobservice_request (VpJobService *service,
                       const VpNodeMsg *message,
                       int64_t now_ms,
                       GArray *answers)
{
  const VpJob *job;

  switch (message->kind) {
  case VP_NODEMSG_SUBMIT:
    _vp_jobservice_submit (service, message, now_ms, answers);
    break;
  case VP_NODEMSG_CANCEL:
    _vp_jobservice_cancel (service, message, now_ms, answers);
    break;
  case VP_NODEMSG_QUERY:
    job = vp_joblist_find (vp_cell_jobs (service->cell), message->job);
    if (job == NULL || !job->is_durable || job->is_unsubmitted)
      _vp_jobservice_answer_unknown_job (service, message, now_ms, answers);
    else
      _vp_jobservice_add_answer (service, message->from, message->serial, VP_ANSWER_STATE, answers)
          ->state
          = _vp_jobservice_visible_state (job);
    break;
  case VP_NODEMSG_PENDING_COUNT:
    _vp_jobservice_add_answer (service, message->from, message->serial, VP_ANSWER_PENDING_COUNT,
                               answers)
        ->count
        = vp_joblist_unstarted_count (vp_cell_jobs (service->cell), message->queue);
    break;
  default:
    break;
  }
}

/* Answers the requests that wait for what has become durable of the job. */
static void
_vp_jobservice_answer_durable (VpJobService *service,
                               VpJob *job,
                               GArray *waiters,
                               int64_t now_ms,
                               GArray *answers)
{
  const char *queue = NULL;

  for (guint i = 0; i < waiters->len;) {
    const VpJobServiceWaiter *waiter = &g_array_index (waiters, VpJobServiceWaiter, i);
    bool is_cancel = waiter->kind == VP_NODEMSG_CANCEL;
    if (is_cancel ? !_vp_jobservice_secure_end (service, job, now_ms) : job->is_unsubmitted) {
      queue = is_cancel ? queue : waiter->queue;
      i++;
      continue;
    }
    _vp_jobservice_add_answer (
        service, waiter->from, waiter->serial,
        is_cancel ? _vp_jobservice_cancelled_answer (job) : VP_ANSWER_ACCEPTED, answers);
    g_array_remove_index (waiters, i);
  }
  if (queue != NULL)
    _vp_jobservice_note_submission (service, job, queue, now_ms);
}

void
vp_jobservice_handle_durable (VpJobService *service,
                              const GArray *durable,
                              int64_t now_ms,
                              GArray *answers)
{
  for (guint i = 0; i < durable->len; i++) {
    const uint64_t *id = &g_array_index (durable, uint64_t, i);
    GArray *waiters = g_hash_table_lookup (service->waiters, id);
    VpJob *job = vp_joblist_find (vp_cell_jobs (service->cell), *id);
    if (waiters != NULL && job != NULL)
      _vp_jobservice_answer_durable (service, job, waiters, now_ms, answers);
    if (waiters != NULL && waiters->len == 0)
      g_hash_table_remove (service->waiters, id);
  }
}

/* Rejects the requests for a job that was never sent to the store, and removes the job. Returns
 * true if the job was removed. */
static bool
_vp_jobservice_withdraw (VpJobService *service,
                         uint64_t id,
                         const GArray *waiters,
                         int64_t now_ms,
                         GArray *answers)
{
  VpJobList *jobs = vp_cell_jobs (service->cell);
  VpJob *job = vp_joblist_find (jobs, id);
  const VpJobServiceWaiter *first = &g_array_index (waiters, VpJobServiceWaiter, 0);

  /* A submission that was noted for a stored cancellation isn't withdrawn with it. */
  if (job == NULL || job->is_durable || job->assigned_count > 0
      || (job->occurrences == NULL && !job->is_unsubmitted)
      || now_ms - first->since_ms < VP_JOBSERVICE_WITHDRAW_MS
      || !vp_committer_is_unsent (service->committer, id))
    return false;
  vp_log (now_ms, "reject",
          "job=%016" G_GINT64_MODIFIER "x commit_age_ms=%" G_GINT64_FORMAT " why=store-down", id,
          vp_committer_last_commit_age_ms (service->committer, now_ms));
  for (guint i = 0; i < waiters->len; i++) {
    const VpJobServiceWaiter *waiter = &g_array_index (waiters, VpJobServiceWaiter, i);
    /* The same job may still be submitted at another node, so no cancellation is confirmed. */
    if (waiter->kind == VP_NODEMSG_CANCEL)
      _vp_jobservice_add_rejection (service, waiter->from, waiter->serial,
                                    VP_JOBSERVICE_STORE_RETRY_MS, answers);
    else
      _vp_jobservice_reject (service, waiter->from, waiter->serial, VP_JOBSERVICE_STORE_RETRY_MS,
                             now_ms, answers);
  }
  vp_joblist_remove (jobs, job);
  return true;
}

/* Answers submissions and cancellations whose outcome is known to the store only. The job itself
 * stays in the commit. */
static void
_vp_jobservice_answer_outcome_unknown (VpJobService *service,
                                       uint64_t id,
                                       GArray *waiters,
                                       int64_t now_ms,
                                       GArray *answers)
{
  for (guint i = 0; i < waiters->len;) {
    const VpJobServiceWaiter *waiter = &g_array_index (waiters, VpJobServiceWaiter, i);
    if (now_ms - waiter->since_ms < VP_JOBSERVICE_UNKNOWN_MS) {
      i++;
      continue;
    }
    vp_log (now_ms, "outcome-unknown",
            "job=%016" G_GINT64_MODIFIER "x commit_age_ms=%" G_GINT64_FORMAT
            " waited_ms=%" G_GINT64_FORMAT " cancel=%d",
            id, vp_committer_last_commit_age_ms (service->committer, now_ms),
            now_ms - waiter->since_ms, waiter->kind == VP_NODEMSG_CANCEL);
    _vp_jobservice_add_answer (service, waiter->from, waiter->serial, VP_ANSWER_OUTCOME_UNKNOWN,
                               answers);
    g_array_remove_index (waiters, i);
  }
}

void
vp_jobservice_tick (VpJobService *service, int64_t now_ms, GArray *answers)
{
  GHashTableIter iter;
  gpointer id, waiters;

  _vp_jobservice_expire_rejections (service, now_ms);
  /* A store that is merely slow will still take the jobs. */
  if (!vp_committer_is_failing (service->committer)
      || vp_committer_last_commit_age_ms (service->committer, now_ms) < VP_JOBSERVICE_WITHDRAW_MS)
    return;
  g_hash_table_iter_init (&iter, service->waiters);
  while (g_hash_table_iter_next (&iter, &id, &waiters)) {
    if (!_vp_jobservice_withdraw (service, *(uint64_t *)id, waiters, now_ms, answers))
      _vp_jobservice_answer_outcome_unknown (service, *(uint64_t *)id, waiters, now_ms, answers);
    else
      g_array_set_size (waiters, 0);
    if (((GArray *)waiters)->len == 0)
      g_hash_table_iter_remove (&iter);
  }
}
