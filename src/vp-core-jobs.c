/* The part of the reducer that handles the owner's jobs: it admits them, makes their intents and
 * outcomes durable, and answers waiting requests. */
#include "vp-core-private.h"
#include "vp-safeguard.h"

#include <string.h>

void
_vp_core_job_free (gpointer data)
{
  VpCoreJob *job = data;

  g_clear_pointer (&job->payload, g_bytes_unref);
  g_clear_pointer (&job->answer, g_bytes_unref);
  g_clear_pointer (&job->member_answers, g_ptr_array_unref);
  g_array_unref (job->waiters);
  g_clear_pointer (&job->refused, g_array_unref);
  g_array_unref (job->unacked_ends);
  g_free (job);
}

VpCoreJob *
_vp_core_job (const VpCore *core, VpTaskId task)
{
  return g_hash_table_lookup (core->jobs, &task);
}

static VpCoreJob *
_vp_core_job_new (VpCore *core, VpTaskId task, const char *team, const char *profile)
{
  VpCoreJob *job = g_new0 (VpCoreJob, 1);

  job->task = task;
  job->state = VP_TASK_QUEUED;
  job->task_count = 1;
  job->arrived_ms = core->now_ms;
  g_strlcpy (job->team, team, sizeof job->team);
  g_strlcpy (job->profile, profile, sizeof job->profile);
  job->waiters = g_array_new (FALSE, TRUE, sizeof (VpWaiter));
  job->unacked_ends = g_array_new (FALSE, TRUE, sizeof (VpUnackedEnd));
  g_hash_table_insert (core->jobs, &job->task, job);
  return job;
}

/* Sends one answer to the entry process that holds the caller's connection. */
static void
_vp_core_job_answer (VpCore *core,
                     const char *member,
                     uint64_t correlation,
                     VpTaskId task,
                     VpTaskState state,
                     VpReason reason,
                     const char *worker,
                     GBytes *body)
{
  VpPeerMessage message = {
    .kind = VP_PEER_ANSWER,
    .correlation = correlation,
    .task = task,
    .state = state,
    .reason = reason,
    .epoch = core->epoch,
  };

  if (correlation == 0)
    return;
  g_strlcpy (message.worker, worker != NULL ? worker : "", sizeof message.worker);
  if (body != NULL)
    message.body = g_bytes_ref (body);
  if (strcmp (member, core->self->name) == 0) {
    _vp_core_entry_answer (core, &message);
    vp_peer_message_clear (&message);
  } else {
    _vp_core_send (core, member, &message);
  }
}

static void
_vp_core_job_refuse_message (VpCore *core, const VpPeerMessage *message, VpReason reason)
{
  _vp_core_job_answer (core, message->from, message->correlation, message->task, VP_TASK_REFUSED,
                       reason, NULL, NULL);
}

static void
_vp_core_job_add_refused (VpCoreJob *job, const VpWaiter *waiter)
{
  if (job->refused == NULL)
    job->refused = g_array_new (FALSE, TRUE, sizeof (VpWaiter));
  g_array_append_val (job->refused, *waiter);
}

static bool
_vp_core_is_waiter (const GArray *waiters, const VpPeerMessage *message)
{
  for (guint i = 0; waiters != NULL && i < waiters->len; i++) {
    const VpWaiter *waiter = &g_array_index (waiters, VpWaiter, i);
    if (waiter->correlation == message->correlation && strcmp (waiter->member, message->from) == 0)
      return true;
  }
  return false;
}

/* Answers the waiters that the present state of the job satisfies. */
static void
_vp_core_job_answer_waiters (VpCore *core, VpCoreJob *job)
{
  bool is_final = vp_task_state_is_final (job->state) && !job->is_outcome_pending;
  VpTaskState accepted = is_final ? job->state : VP_TASK_QUEUED;
  guint kept = 0;

  for (guint i = 0; i < job->waiters->len; i++) {
    VpWaiter *waiter = &g_array_index (job->waiters, VpWaiter, i);
    if (is_final && job->state == VP_TASK_REFUSED)
      _vp_core_job_add_refused (job, waiter);
    if (is_final)
      _vp_core_job_answer (core, waiter->member, waiter->correlation, job->task, job->state,
                           job->reason, job->worker, job->answer);
    else if (waiter->is_accept_only && job->is_accepted)
      _vp_core_job_answer (core, waiter->member, waiter->correlation, job->task, accepted,
                           VP_REASON_NONE, NULL, NULL);
    else
      g_array_index (job->waiters, VpWaiter, kept++) = *waiter;
  }
  g_array_set_size (job->waiters, kept);
}

static void
_vp_core_job_add_waiter (VpCoreJob *job, const VpPeerMessage *message)
{
  VpWaiter waiter = { .correlation = message->correlation };

  if (_vp_core_is_waiter (job->waiters, message))
    return;
  g_strlcpy (waiter.member, message->from, sizeof waiter.member);
  waiter.is_accept_only = message->request != NULL && !message->request->is_waiting;
  g_array_append_val (job->waiters, waiter);
}

static void
_vp_core_job_ack_reports (VpCore *core, VpCoreJob *job)
{
  for (guint i = 0; i < job->unacked_ends->len; i++) {
    const VpUnackedEnd *unacked_end = &g_array_index (job->unacked_ends, VpUnackedEnd, i);
    _vp_core_worker_ack (core, unacked_end);
  }
  g_array_set_size (job->unacked_ends, 0);
}

static void
_vp_core_job_finished (VpCore *core, VpCoreJob *job)
{
  job->is_outcome_pending = false;
  job->finished_ms = core->now_ms;
  g_clear_pointer (&job->payload, g_bytes_unref);
  vp_metrics_add (VP_COUNTER_ENDED, 1);
  _vp_core_job_ack_reports (core, job);
  _vp_core_job_answer_waiters (core, job);
  g_queue_push_tail (&core->finished, g_memdup2 (&job->task, sizeof job->task));
}

/* Joins the answers of the members of a gang, one line each, to the answer of the job. */
static void
_vp_core_job_join_answers (VpCoreJob *job)
{
  GByteArray *all;

  if (job->member_answers == NULL || job->answer != NULL)
    return;
  all = g_byte_array_new ();
  for (guint i = 0; i < job->member_answers->len; i++) {
    GBytes *part = g_ptr_array_index (job->member_answers, i);
    if (i > 0)
      g_byte_array_append (all, (const guint8 *)"\n", 1);
    if (part != NULL)
      g_byte_array_append (all, g_bytes_get_data (part, NULL), (guint)g_bytes_get_size (part));
  }
  job->answer = g_byte_array_free_to_bytes (all);
}

void
_vp_core_job_answer_member (VpCoreJob *job, uint32_t member, GBytes *answer)
{
  if (answer == NULL)
    return;
  if (job->task_count <= 1) {
    g_clear_pointer (&job->answer, g_bytes_unref);
    job->answer = g_bytes_ref (answer);
    return;
  }
  if (job->member_answers == NULL) {
    job->member_answers = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
    g_ptr_array_set_size (job->member_answers, (gint)job->task_count);
  }
  if (member < job->member_answers->len) {
    GBytes **slot = (GBytes **)&g_ptr_array_index (job->member_answers, member);
    g_clear_pointer (slot, g_bytes_unref);
    *slot = g_bytes_ref (answer);
  }
}

void
_vp_core_job_finish (VpCore *core, VpCoreJob *job, VpTaskState state, VpReason reason)
{
  if (vp_task_state_is_final (job->state))
    return;
  job->state = state;
  job->reason = reason;
  job->is_scheduled = false;
  if (state == VP_TASK_DONE)
    _vp_core_job_join_answers (job);
  if (!job->is_durable || vp_ledger_find (core->ledger, job->task) == NULL) {
    _vp_core_job_finished (core, job);
    return;
  }
  job->is_outcome_pending = true;
  _vp_core_job_write (core, job, state, job->worker, job->attempt);
}

bool
_vp_core_job_write (VpCore *core,
                    VpCoreJob *job,
                    VpTaskState state,
                    const char *worker,
                    uint32_t attempt)
{
  const VpCoreWorker *named = _vp_core_worker (core, worker);
  VpLedgerRecord record = {
    .task = job->task,
    .state = state,
    .reason = job->reason,
    .digest = job->digest,
    .attempt = attempt,
    .worker_boot = named != NULL ? named->boot : 0,
    .size = job->size,
    .task_count = job->task_count,
    .is_repeatable = job->is_repeatable,
    .arrived_ms = job->arrived_ms,
    .start_by_ms = job->start_by_ms,
    .run_time_ms = job->run_time_ms,
    .ended_ms = vp_task_state_is_final (state) ? core->now_ms : 0,
    .payload = job->payload,
    .answer = job->answer,
  };
  VpReason reason;

  g_strlcpy (record.team, job->team, sizeof record.team);
  g_strlcpy (record.profile, job->profile, sizeof record.profile);
  g_strlcpy (record.worker, worker, sizeof record.worker);
  if (record.answer != NULL && g_bytes_get_size (record.answer) > VP_LEDGER_ANSWER_MAX) {
    record.answer = NULL;
    record.is_answer_cut = true;
  }
  reason = vp_ledger_put (core->ledger, &record, core->now_ms, core->effects);
  if (reason != VP_REASON_NONE)
    job->reason = reason;
  return reason == VP_REASON_NONE;
}

void
_vp_core_job_reject (VpCore *core, VpCoreJob *job, VpReason reason)
{
  job->state = VP_TASK_REFUSED;
  job->reason = reason;
  job->is_scheduled = false;
  _vp_core_job_finished (core, job);
}

void
_vp_core_job_describe (const VpCoreJob *job, VpJobSpec *out)
{
  *out = (VpJobSpec){
    .task = job->task,
    .first_attempt = job->attempt + 1,
    .size = job->size,
    .task_count = job->task_count,
    .is_repeatable = job->is_repeatable,
    .arrived_ms = job->arrived_ms,
    .start_by_ms = job->start_by_ms,
    .run_time_ms = job->run_time_ms,
  };
  g_strlcpy (out->team, job->team, sizeof out->team);
  g_strlcpy (out->profile, job->profile, sizeof out->profile);
}

VpReason
_vp_core_job_schedule (VpCore *core, VpCoreJob *job)
{
  VpJobSpec spec;
  VpReason reason;

  _vp_core_job_describe (job, &spec);
  reason = vp_sched_submit (core->sched, &spec, core->now_ms);
  job->is_scheduled = reason == VP_REASON_NONE;
  return reason;
}

/* Returns the base of this owner's attempt numbers. Attempts never reuse the numbers of an earlier
 * owner, since a worker treats a known attempt as a repeated start and would not run it again. */
static uint32_t
_vp_core_attempt_base (const VpCore *core)
{
  return (uint32_t)(core->epoch & 0xffffff) << 8;
}

static VpCoreJob *
_vp_core_job_from_request (VpCore *core, const VpPeerMessage *message)
{
  const VpRequest *request = message->request;
  VpCoreJob *job = _vp_core_job_new (core, message->task, request->team, request->profile);

  job->is_repeatable = request->is_repeatable;
  job->digest = vp_request_digest (request);
  job->attempt = _vp_core_attempt_base (core);
  job->size = request->size;
  job->task_count = MAX (1, request->task_count);
  job->run_time_ms = request->run_time_ms;
  if (message->duration_ms > 0)
    job->start_by_ms = core->now_ms + message->duration_ms;
  if (request->payload != NULL)
    job->payload = g_bytes_ref (request->payload);
  return job;
}

VpCoreJob *
_vp_core_job_from_record (VpCore *core, const VpLedgerRecord *record)
{
  VpCoreJob *job = _vp_core_job_new (core, record->task, record->team, record->profile);

  job->state = record->state;
  job->reason = record->reason;
  job->is_durable = true;
  job->is_accepted = true;
  job->is_repeatable = record->is_repeatable;
  job->digest = record->digest;
  job->size = record->size;
  job->task_count = MAX (1, record->task_count);
  job->attempt = MAX (record->attempt, _vp_core_attempt_base (core));
  job->worker_boot = record->worker_boot;
  job->arrived_ms = record->arrived_ms;
  job->start_by_ms = record->start_by_ms;
  job->run_time_ms = record->run_time_ms;
  g_strlcpy (job->worker, record->worker, sizeof job->worker);
  if (record->payload != NULL)
    job->payload = g_bytes_ref (record->payload);
  if (record->answer != NULL)
    job->answer = g_bytes_ref (record->answer);
  return job;
}

VpCoreJob *
_vp_core_job_from_worker (VpCore *core,
                          VpTaskId task,
                          const char *team,
                          const char *profile,
                          const VpResources *size)
{
  VpCoreJob *job = _vp_core_job_new (core, task, team, profile);

  job->is_accepted = true;
  job->is_adopted = true;
  job->is_repeatable = true;
  job->attempt = _vp_core_attempt_base (core);
  job->size = *size;
  return job;
}

/* Answers a submit from the durable outcome of an earlier request with the same identity. Returns
 * false if the ledger has no such outcome. */
static bool
_vp_core_job_answer_from_ledger (VpCore *core, const VpPeerMessage *message, uint64_t digest)
{
  const VpLedgerRecord *record = vp_ledger_find (core->ledger, message->task);

  if (record == NULL || !vp_task_state_is_final (record->state) || record->state == VP_TASK_REFUSED)
    return false;
  vp_metrics_add (VP_COUNTER_DUPLICATE_IDENTITY, 1);
  if (record->digest != digest)
    _vp_core_job_refuse_message (core, message, VP_REASON_IDENTITY_REUSED);
  else
    _vp_core_job_answer (core, message->from, message->correlation, message->task, record->state,
                         record->reason, record->worker, record->answer);
  return true;
}

/* Keeps a submit until the owner has read the ledger and the grants, or until recovery is complete.
 * A resent submit is kept only once. */
static void
_vp_core_job_defer (VpCore *core, const VpPeerMessage *message)
{
  VpPeerMessage *copy;

  for (GList *l = core->deferred_submits.head; l != NULL; l = l->next) {
    const VpPeerMessage *other = l->data;
    if (other->correlation == message->correlation && strcmp (other->from, message->from) == 0)
      return;
  }
  copy = g_memdup2 (message, sizeof *message);
  copy->request = vp_request_ref (message->request);
  copy->body = NULL;
  g_queue_push_tail (&core->deferred_submits, copy);
}

/* Returns true if an earlier owner may have started the task and a worker that has not reported yet
 * may run it. Such a task must neither be started again nor be refused as not run. */
static bool
_vp_core_job_may_run_unreported (const VpCore *core, const VpPeerMessage *message)
{
  return message->epoch != 0 && message->epoch < core->epoch && !core->is_recovered
         && !vp_safeguard_is_disabled (VP_SAFEGUARD_UNREPORTED_TASKS);
}

/* Creates the job of a submit and takes over @refused, which holds the requests of this identity
 * that were answered "not run"; a late message of one of these must not run the job. */
static void
_vp_core_job_admit (VpCore *core, const VpPeerMessage *message, GArray *refused)
{
  const VpRequest *request = message->request;
  VpCoreJob *job = _vp_core_job_from_request (core, message);
  VpReason reason;

  job->refused = refused;
  _vp_core_job_add_waiter (job, message);
  job->is_durable = !request->is_repeatable || !request->is_waiting;
  if (request->is_waiting) {
    /* The intent becomes durable at dispatch, when the worker is known. */
    job->is_accepted = true;
    reason = _vp_core_job_schedule (core, job);
    if (reason != VP_REASON_NONE)
      _vp_core_job_reject (core, job, reason);
    return;
  }
  if (!_vp_core_job_write (core, job, VP_TASK_QUEUED, "", 0))
    _vp_core_job_reject (core, job, job->reason);
}

/* Adds the request to a job that was found on a worker at recovery. */
static void
_vp_core_job_attach_request (VpCoreJob *job, const VpRequest *request, uint64_t digest)
{
  job->is_adopted = false;
  job->digest = digest;
  job->run_time_ms = request->run_time_ms;
  if (request->payload != NULL && job->payload == NULL)
    job->payload = g_bytes_ref (request->payload);
}

void
_vp_core_job_submit (VpCore *core, VpPeerMessage *message)
{
  g_autoptr (GArray) refused = NULL;
  VpCoreJob *job;
  uint64_t digest;

  if (message->request == NULL)
    return;
  if (core->role == VP_ROLE_OPENING) {
    _vp_core_job_defer (core, message);
    return;
  }
  if (core->role != VP_ROLE_ACTIVE) {
    _vp_core_job_refuse_message (core, message, VP_REASON_NO_OWNER);
    return;
  }
  digest = vp_request_digest (message->request);
  job = _vp_core_job (core, message->task);
  if (job != NULL && job->state == VP_TASK_REFUSED && !job->is_outcome_pending
      && !_vp_core_is_waiter (job->refused, message)) {
    /* The job certainly did not run, so another request with the same identity may run it. */
    refused = g_steal_pointer (&job->refused);
    g_hash_table_remove (core->jobs, &job->task);
    job = NULL;
  }
  if (job == NULL) {
    if (_vp_core_job_answer_from_ledger (core, message, digest))
      return;
    if (_vp_core_job_may_run_unreported (core, message))
      _vp_core_job_defer (core, message);
    else
      _vp_core_job_admit (core, message, g_steal_pointer (&refused));
    return;
  }
  if (job->is_adopted)
    _vp_core_job_attach_request (job, message->request, digest);
  if (job->digest != digest) {
    _vp_core_job_refuse_message (core, message, VP_REASON_IDENTITY_REUSED);
    return;
  }
  _vp_core_job_add_waiter (job, message);
  _vp_core_job_answer_waiters (core, job);
  if (!vp_task_state_is_final (job->state))
    _vp_core_job_answer (core, message->from, message->correlation, job->task, VP_TASK_QUEUED,
                         VP_REASON_NONE, NULL,
                         NULL); /* shows the entry process that it should keep waiting */
}

void
_vp_core_jobs_replay_deferred (VpCore *core)
{
  guint count = core->deferred_submits.length;

  while (count-- > 0) {
    VpPeerMessage *message = g_queue_pop_head (&core->deferred_submits);
    _vp_core_job_submit (core, message);
    vp_peer_message_clear (message);
    g_free (message);
  }
}

static GBytes *
_vp_core_job_explanation (VpCore *core, const VpCoreJob *job)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  VpSchedJobStatus status = { 0 };
  char hex[VP_TASK_ID_TEXT_MAX];
  gchar *text;

  vp_task_id_format (job->task, hex);
  if (!job->is_scheduled || !vp_sched_job_status (core->sched, job->task, core->now_ms, &status)) {
    status.state = job->state;
    g_strlcpy (status.worker, job->worker, sizeof status.worker);
    g_strlcpy (status.explanation,
               job->reason != VP_REASON_NONE ? vp_reason_message (job->reason)
                                             : vp_task_state_token (job->state),
               sizeof status.explanation);
  }
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "task");
  json_builder_add_string_value (builder, hex);
  json_builder_set_member_name (builder, "state");
  json_builder_add_string_value (builder, vp_task_state_token (status.state));
  json_builder_set_member_name (builder, "waiting_for");
  json_builder_add_string_value (builder, vp_reason_token (status.waiting_for));
  json_builder_set_member_name (builder, "explanation");
  json_builder_add_string_value (builder, status.explanation);
  json_builder_set_member_name (builder, "queue_position");
  json_builder_add_int_value (builder, status.queue_position);
  json_builder_set_member_name (builder, "attempt");
  json_builder_add_int_value (builder, status.attempt);
  json_builder_set_member_name (builder, "worker");
  json_builder_add_string_value (builder, status.worker);
  json_builder_set_member_name (builder, "dc");
  json_builder_add_string_value (builder, core->self->dc);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  return g_bytes_new_take (text, strlen (text));
}

/* Returns the state that callers see. A final state is shown only once it is durable. */
static VpTaskState
_vp_core_job_visible_state (const VpCore *core, const VpCoreJob *job)
{
  VpSchedJobStatus status;

  if (job->is_outcome_pending)
    return VP_TASK_RUNNING;
  if (job->is_scheduled && vp_sched_job_status (core->sched, job->task, core->now_ms, &status))
    return status.state;
  return job->state;
}

static void
_vp_core_job_query_ledger (VpCore *core, const VpPeerMessage *message)
{
  const VpLedgerRecord *record = vp_ledger_find (core->ledger, message->task);
  VpTaskState state = VP_TASK_NONE;
  GBytes *body = NULL;

  if (record != NULL && strcmp (record->team, message->team) == 0) {
    state = record->state;
    body = record->answer;
  } else {
    record = NULL;
  }
  if (message->kind == VP_PEER_EXPLAIN && record != NULL) {
    VpCoreJob ended_job
        = { .task = record->task, .state = record->state, .reason = record->reason };
    g_autoptr (GBytes) text = NULL;
    g_strlcpy (ended_job.worker, record->worker, sizeof ended_job.worker);
    text = _vp_core_job_explanation (core, &ended_job);
    _vp_core_job_answer (core, message->from, message->correlation, message->task, state,
                         record->reason, record->worker, text);
    return;
  }
  _vp_core_job_answer (core, message->from, message->correlation, message->task, state,
                       record != NULL ? record->reason : VP_REASON_NONE,
                       record != NULL ? record->worker : NULL, body);
}

/* Returns the job that @message is about. Answers the message and returns NULL if this process is
 * not the owner, or if the job is known only from the ledger or not at all. */
static VpCoreJob *
_vp_core_job_of_message (VpCore *core, const VpPeerMessage *message)
{
  VpCoreJob *job;

  if (core->role != VP_ROLE_ACTIVE) {
    _vp_core_job_answer (core, message->from, message->correlation, message->task, VP_TASK_NONE,
                         VP_REASON_NO_OWNER, NULL, NULL);
    return NULL;
  }
  job = _vp_core_job (core, message->task);
  if (job != NULL && strcmp (job->team, message->team) == 0)
    return job;
  _vp_core_job_query_ledger (core, message);
  return NULL;
}

void
_vp_core_job_query (VpCore *core, const VpPeerMessage *message)
{
  g_autoptr (GBytes) body = NULL;
  const VpCoreJob *job = _vp_core_job_of_message (core, message);

  if (job == NULL)
    return;
  if (message->kind == VP_PEER_EXPLAIN)
    body = _vp_core_job_explanation (core, job);
  else if (!job->is_outcome_pending && job->answer != NULL)
    body = g_bytes_ref (job->answer);
  _vp_core_job_answer (core, message->from, message->correlation, message->task,
                       _vp_core_job_visible_state (core, job),
                       job->is_outcome_pending ? VP_REASON_NONE : job->reason, job->worker, body);
}

void
_vp_core_job_cancel (VpCore *core, const VpPeerMessage *message)
{
  VpTaskState state = VP_TASK_NONE;
  VpReason reason = VP_REASON_NONE;
  VpCoreJob *job = _vp_core_job_of_message (core, message);

  if (job == NULL)
    return;
  if (vp_task_state_is_final (job->state)) {
    state = job->state;
    reason = job->reason;
  } else if (job->is_scheduled) {
    state = vp_sched_cancel (core->sched, job->task, core->now_ms);
    reason = VP_REASON_CANCELLED;
    if (state == VP_TASK_CANCELLED)
      _vp_core_job_finish (core, job, VP_TASK_CANCELLED, VP_REASON_CANCELLED);
  } else {
    state = job->state;
  }
  _vp_core_job_answer (core, message->from, message->correlation, message->task, state, reason,
                       NULL, NULL);
}

static void
_vp_core_job_notice_queued (VpCore *core, VpCoreJob *job, const VpLedgerNotice *notice)
{
  VpReason reason = notice->reason;

  if (reason != VP_REASON_NONE) {
    _vp_core_job_reject (core, job, reason);
    return;
  }
  reason = _vp_core_job_schedule (core, job);
  if (reason != VP_REASON_NONE) {
    _vp_core_job_finish (core, job, VP_TASK_REFUSED, reason);
    return;
  }
  job->is_accepted = true;
  _vp_core_job_answer_waiters (core, job);
}

/* Handles the result of writing an intent: starts the attempts if it is durable, or returns their
 * resources if it certainly is not. */
static void
_vp_core_job_notice_starting (VpCore *core, VpCoreJob *job, const VpLedgerNotice *notice)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *prepared = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, core->running);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpRunningAttempt *running = value;
    if (running->state == VP_RUN_PREPARING && vp_task_id_equal (running->attempt.task, job->task))
      g_ptr_array_add (prepared, running);
  }
  for (guint i = 0; i < prepared->len; i++) {
    VpRunningAttempt *running = g_ptr_array_index (prepared, i);
    /* The write may have taken long, so the worker may be leaving by now. */
    if (notice->reason == VP_REASON_NONE && !_vp_core_worker_is_leaving (core, running->worker)) {
      _vp_core_owner_start (core, running);
      continue;
    }
    vp_sched_not_started (core->sched, &running->attempt, core->now_ms);
    _vp_core_running_remove (core, running);
  }
  g_ptr_array_unref (prepared);
  if (notice->reason != VP_REASON_NONE && job->is_scheduled && !job->is_repeatable
      && vp_sched_cancel (core->sched, job->task, core->now_ms) == VP_TASK_CANCELLED) {
    /* Without a durable intent the job may not run, so its caller gets an error at once. */
    if (vp_ledger_find (core->ledger, job->task) == NULL)
      _vp_core_job_reject (core, job, notice->reason);
    else
      _vp_core_job_finish (core, job, VP_TASK_REFUSED, notice->reason);
  }
}

void
_vp_core_job_notice (VpCore *core, const VpLedgerNotice *notice)
{
  VpCoreJob *job = _vp_core_job (core, notice->task);

  if (job == NULL)
    return;
  if (notice->state == VP_TASK_QUEUED && job->state == VP_TASK_QUEUED && !job->is_scheduled)
    _vp_core_job_notice_queued (core, job, notice);
  else if (notice->state == VP_TASK_STARTING)
    _vp_core_job_notice_starting (core, job, notice);
  else if (job->is_outcome_pending && notice->state == job->state
           && notice->reason == VP_REASON_NONE)
    _vp_core_job_finished (core, job);
}

void
_vp_core_jobs_expire (VpCore *core)
{
  while (!g_queue_is_empty (&core->finished)) {
    VpTaskId *task = g_queue_peek_head (&core->finished);
    const VpCoreJob *job = _vp_core_job (core, *task);
    bool is_crowded = core->finished.length > VP_CORE_FINISHED_MAX;
    if (job != NULL && vp_task_state_is_final (job->state)) {
      if (!is_crowded && core->now_ms - job->finished_ms < VP_CORE_FINISHED_KEEP_MS)
        return;
      g_hash_table_remove (core->jobs, task);
    }
    g_free (g_queue_pop_head (&core->finished));
  }
}
