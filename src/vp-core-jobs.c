/* The owner's jobs: admission, durable intents and outcomes, answers to those who wait. */
#include "vp-core-private.h"
#include "vp-switch.h"

#include <string.h>

void
_vp_core_job_free (gpointer data)
{
  VpJob *job = data;

  g_clear_pointer (&job->payload, g_bytes_unref);
  g_clear_pointer (&job->answer, g_bytes_unref);
  g_clear_pointer (&job->member_answers, g_ptr_array_unref);
  g_array_unref (job->waiters);
  g_clear_pointer (&job->refused, g_array_unref);
  g_array_unref (job->settles);
  g_free (job);
}

VpJob *
_vp_core_job (const VpCore *core, VpTaskId task)
{
  return g_hash_table_lookup (core->jobs, &task);
}

static VpJob *
_vp_core_job_new (VpCore *core, VpTaskId task, const char *team, const char *profile)
{
  VpJob *job = g_new0 (VpJob, 1);

  job->task = task;
  job->state = VP_TASK_QUEUED;
  job->task_count = 1;
  job->arrived_ms = core->now_ms;
  g_strlcpy (job->team, team, sizeof job->team);
  g_strlcpy (job->profile, profile, sizeof job->profile);
  job->waiters = g_array_new (FALSE, TRUE, sizeof (VpWaiter));
  job->settles = g_array_new (FALSE, TRUE, sizeof (VpSettle));
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
_vp_core_job_note_refused (VpJob *job, const VpWaiter *waiter)
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

/* Answers every waiter whose question is settled by the job's present state. */
static void
_vp_core_job_answer_waiters (VpCore *core, VpJob *job)
{
  bool is_final = vp_task_state_is_final (job->state) && !job->is_settling;
  VpTaskState accepted = is_final ? job->state : VP_TASK_QUEUED;
  guint kept = 0;

  for (guint i = 0; i < job->waiters->len; i++) {
    VpWaiter *waiter = &g_array_index (job->waiters, VpWaiter, i);
    if (is_final && job->state == VP_TASK_REFUSED)
      _vp_core_job_note_refused (job, waiter);
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
_vp_core_job_add_waiter (VpJob *job, const VpPeerMessage *message)
{
  VpWaiter waiter = { .correlation = message->correlation };

  if (_vp_core_is_waiter (job->waiters, message))
    return;
  g_strlcpy (waiter.member, message->from, sizeof waiter.member);
  waiter.is_accept_only = message->request != NULL && !message->request->is_waiting;
  g_array_append_val (job->waiters, waiter);
}

static void
_vp_core_job_settle_reports (VpCore *core, VpJob *job)
{
  for (guint i = 0; i < job->settles->len; i++) {
    const VpSettle *settle = &g_array_index (job->settles, VpSettle, i);
    _vp_core_worker_settle (core, settle);
  }
  g_array_set_size (job->settles, 0);
}

static void
_vp_core_job_finished (VpCore *core, VpJob *job)
{
  job->is_settling = false;
  job->finished_ms = core->now_ms;
  g_clear_pointer (&job->payload, g_bytes_unref);
  vp_metrics_add (VP_COUNTER_ENDED, 1);
  _vp_core_job_settle_reports (core, job);
  _vp_core_job_answer_waiters (core, job);
  g_queue_push_tail (&core->finished, g_memdup2 (&job->task, sizeof job->task));
}

static void
_vp_core_job_join_answers (VpJob *job)
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
_vp_core_job_answer_member (VpJob *job, uint32_t member, GBytes *answer)
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
_vp_core_job_finish (VpCore *core, VpJob *job, VpTaskState state, VpReason reason)
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
  job->is_settling = true;
  _vp_core_job_put (core, job, state, job->worker, job->attempt);
}

/* Puts the job's record with @state into the ledger. False if it was refused; then nothing of it
 * was or will be written. */
bool
_vp_core_job_put (VpCore *core, VpJob *job, VpTaskState state, const char *worker, uint32_t attempt)
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
_vp_core_job_drop (VpCore *core, VpJob *job, VpReason reason)
{
  job->state = VP_TASK_REFUSED;
  job->reason = reason;
  job->is_scheduled = false;
  _vp_core_job_finished (core, job);
}

void
_vp_core_job_describe (const VpJob *job, VpSchedJob *out)
{
  *out = (VpSchedJob){
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
_vp_core_job_schedule (VpCore *core, VpJob *job)
{
  VpSchedJob sched;
  VpReason reason;

  _vp_core_job_describe (job, &sched);
  reason = vp_sched_submit (core->sched, &sched, core->now_ms);
  job->is_scheduled = reason == VP_REASON_NONE;
  return reason;
}

/* Attempts of one owner never have the number of an earlier owner's: a worker takes a name that it
 * knows for a repetition and would not run it again. */
static uint32_t
_vp_core_attempt_base (const VpCore *core)
{
  return (uint32_t)(core->epoch & 0xffffff) << 8;
}

static VpJob *
_vp_core_job_from_request (VpCore *core, const VpPeerMessage *message)
{
  const VpRequest *request = message->request;
  VpJob *job = _vp_core_job_new (core, message->task, request->team, request->profile);

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

VpJob *
_vp_core_job_from_record (VpCore *core, const VpLedgerRecord *record)
{
  VpJob *job = _vp_core_job_new (core, record->task, record->team, record->profile);

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

VpJob *
_vp_core_job_from_worker (VpCore *core,
                          VpTaskId task,
                          const char *team,
                          const char *profile,
                          const VpResources *size)
{
  VpJob *job = _vp_core_job_new (core, task, team, profile);

  job->is_accepted = true;
  job->is_adopted = true;
  job->is_repeatable = true;
  job->attempt = _vp_core_attempt_base (core);
  job->size = *size;
  return job;
}

/* Answers from the durable outcome of an earlier request with the same identity. */
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

static void
_vp_core_job_hold (VpCore *core, const VpPeerMessage *message)
{
  VpPeerMessage *copy;

  for (GList *l = core->held.head; l != NULL; l = l->next) {
    const VpPeerMessage *other = l->data;
    if (other->correlation == message->correlation && strcmp (other->from, message->from) == 0)
      return;
  }
  copy = g_memdup2 (message, sizeof *message);
  copy->request = vp_request_ref (message->request);
  copy->body = NULL;
  g_queue_push_tail (&core->held, copy);
}

/* True if a task that an earlier owner may have started could still be hidden on a worker that was
 * not read yet: it must neither be started again nor be refused as not run. */
static bool
_vp_core_job_may_be_hidden (const VpCore *core, const VpPeerMessage *message)
{
  return message->epoch != 0 && message->epoch < core->epoch && !core->is_settled
         && !vp_switch_is_off (VP_MECHANISM_HIDDEN);
}

/* @refused, taken over: who was told that an earlier request of this identity did not run. A
 * message of theirs that arrives late must not run it after all. */
static void
_vp_core_job_admit (VpCore *core, const VpPeerMessage *message, GArray *refused)
{
  const VpRequest *request = message->request;
  VpJob *job = _vp_core_job_from_request (core, message);
  VpReason reason;

  job->refused = refused;
  _vp_core_job_add_waiter (job, message);
  job->is_durable = !request->is_repeatable || !request->is_waiting;
  if (request->is_waiting) {
    /* The intent becomes durable at dispatch, with the worker's name in it. */
    job->is_accepted = true;
    reason = _vp_core_job_schedule (core, job);
    if (reason != VP_REASON_NONE)
      _vp_core_job_drop (core, job, reason);
    return;
  }
  if (!_vp_core_job_put (core, job, VP_TASK_QUEUED, "", 0))
    _vp_core_job_drop (core, job, job->reason);
}

/* A task found on a worker at recovery now has its request. */
static void
_vp_core_job_complete (VpJob *job, const VpRequest *request, uint64_t digest)
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
  VpJob *job;
  uint64_t digest;

  if (message->request == NULL)
    return;
  if (core->role == VP_ROLE_OPENING) {
    _vp_core_job_hold (core, message);
    return;
  }
  if (core->role != VP_ROLE_ACTIVE) {
    _vp_core_job_refuse_message (core, message, VP_REASON_NO_OWNER);
    return;
  }
  digest = vp_request_digest (message->request);
  job = _vp_core_job (core, message->task);
  if (job != NULL && job->state == VP_TASK_REFUSED && !job->is_settling
      && !_vp_core_is_waiter (job->refused, message)) {
    /* It certainly did not run: another request with the same identity may try. */
    refused = g_steal_pointer (&job->refused);
    g_hash_table_remove (core->jobs, &job->task);
    job = NULL;
  }
  if (job == NULL) {
    if (_vp_core_job_answer_from_ledger (core, message, digest))
      return;
    if (_vp_core_job_may_be_hidden (core, message))
      _vp_core_job_hold (core, message);
    else
      _vp_core_job_admit (core, message, g_steal_pointer (&refused));
    return;
  }
  if (job->is_adopted)
    _vp_core_job_complete (job, message->request, digest);
  if (job->digest != digest) {
    _vp_core_job_refuse_message (core, message, VP_REASON_IDENTITY_REUSED);
    return;
  }
  _vp_core_job_add_waiter (job, message);
  _vp_core_job_answer_waiters (core, job);
  if (!vp_task_state_is_final (job->state))
    _vp_core_job_answer (core, message->from, message->correlation, job->task, VP_TASK_QUEUED,
                         VP_REASON_NONE, NULL,
                         NULL); /* progress: the entry process keeps waiting */
}

void
_vp_core_jobs_replay_held (VpCore *core)
{
  guint count = core->held.length;

  while (count-- > 0) {
    VpPeerMessage *message = g_queue_pop_head (&core->held);
    _vp_core_job_submit (core, message);
    vp_peer_message_clear (message);
    g_free (message);
  }
}

static GBytes *
_vp_core_job_explanation (VpCore *core, const VpJob *job)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  VpSchedView view = { 0 };
  char hex[VP_TASK_ID_TEXT_MAX];
  gchar *text;

  vp_task_id_format (job->task, hex);
  if (!job->is_scheduled || !vp_sched_view (core->sched, job->task, core->now_ms, &view)) {
    view.state = job->state;
    g_strlcpy (view.worker, job->worker, sizeof view.worker);
    g_strlcpy (view.explanation,
               job->reason != VP_REASON_NONE ? vp_reason_message (job->reason)
                                             : vp_task_state_token (job->state),
               sizeof view.explanation);
  }
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "task");
  json_builder_add_string_value (builder, hex);
  json_builder_set_member_name (builder, "state");
  json_builder_add_string_value (builder, vp_task_state_token (view.state));
  json_builder_set_member_name (builder, "waiting_for");
  json_builder_add_string_value (builder, vp_reason_token (view.waiting_for));
  json_builder_set_member_name (builder, "explanation");
  json_builder_add_string_value (builder, view.explanation);
  json_builder_set_member_name (builder, "queue_position");
  json_builder_add_int_value (builder, view.queue_position);
  json_builder_set_member_name (builder, "attempt");
  json_builder_add_int_value (builder, view.attempt);
  json_builder_set_member_name (builder, "worker");
  json_builder_add_string_value (builder, view.worker);
  json_builder_set_member_name (builder, "dc");
  json_builder_add_string_value (builder, core->self->dc);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  return g_bytes_new_take (text, strlen (text));
}

/* State that a caller is told: final only once it is durable. */
static VpTaskState
_vp_core_job_visible_state (const VpCore *core, const VpJob *job)
{
  VpSchedView view;

  if (job->is_settling)
    return VP_TASK_RUNNING;
  if (job->is_scheduled && vp_sched_view (core->sched, job->task, core->now_ms, &view))
    return view.state;
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
    VpJob view = { .task = record->task, .state = record->state, .reason = record->reason };
    g_autoptr (GBytes) text = NULL;
    g_strlcpy (view.worker, record->worker, sizeof view.worker);
    text = _vp_core_job_explanation (core, &view);
    _vp_core_job_answer (core, message->from, message->correlation, message->task, state,
                         record->reason, record->worker, text);
    return;
  }
  _vp_core_job_answer (core, message->from, message->correlation, message->task, state,
                       record != NULL ? record->reason : VP_REASON_NONE,
                       record != NULL ? record->worker : NULL, body);
}

/* The job that @message is about; NULL if it was answered here: this process is not the owner, or
 * the ledger or nobody knows the task. */
static VpJob *
_vp_core_job_asked (VpCore *core, const VpPeerMessage *message)
{
  VpJob *job;

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
  const VpJob *job = _vp_core_job_asked (core, message);

  if (job == NULL)
    return;
  if (message->kind == VP_PEER_EXPLAIN)
    body = _vp_core_job_explanation (core, job);
  else if (!job->is_settling && job->answer != NULL)
    body = g_bytes_ref (job->answer);
  _vp_core_job_answer (core, message->from, message->correlation, message->task,
                       _vp_core_job_visible_state (core, job),
                       job->is_settling ? VP_REASON_NONE : job->reason, job->worker, body);
}

void
_vp_core_job_cancel (VpCore *core, const VpPeerMessage *message)
{
  VpTaskState state = VP_TASK_NONE;
  VpReason reason = VP_REASON_NONE;
  VpJob *job = _vp_core_job_asked (core, message);

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
_vp_core_job_notice_queued (VpCore *core, VpJob *job, const VpLedgerNotice *notice)
{
  VpReason reason = notice->reason;

  if (reason != VP_REASON_NONE) {
    _vp_core_job_drop (core, job, reason);
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

/* The intent of an attempt is durable, or certainly is not: starts it, or gives its place back. */
static void
_vp_core_job_notice_starting (VpCore *core, VpJob *job, const VpLedgerNotice *notice)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *prepared = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, core->running);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpRunning *running = value;
    if (running->state == VP_RUN_PREPARING && vp_task_id_equal (running->attempt.task, job->task))
      g_ptr_array_add (prepared, running);
  }
  for (guint i = 0; i < prepared->len; i++) {
    VpRunning *running = g_ptr_array_index (prepared, i);
    /* The write may have taken long; the worker may leave by now. */
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
    /* Without a durable intent it may not run: the caller is told so instead of waiting. */
    if (vp_ledger_find (core->ledger, job->task) == NULL)
      _vp_core_job_drop (core, job, notice->reason);
    else
      _vp_core_job_finish (core, job, VP_TASK_REFUSED, notice->reason);
  }
}

void
_vp_core_job_notice (VpCore *core, const VpLedgerNotice *notice)
{
  VpJob *job = _vp_core_job (core, notice->task);

  if (job == NULL)
    return;
  if (notice->state == VP_TASK_QUEUED && job->state == VP_TASK_QUEUED && !job->is_scheduled)
    _vp_core_job_notice_queued (core, job, notice);
  else if (notice->state == VP_TASK_STARTING)
    _vp_core_job_notice_starting (core, job, notice);
  else if (job->is_settling && notice->state == job->state && notice->reason == VP_REASON_NONE)
    _vp_core_job_finished (core, job);
}

void
_vp_core_jobs_expire (VpCore *core)
{
  while (!g_queue_is_empty (&core->finished)) {
    VpTaskId *task = g_queue_peek_head (&core->finished);
    const VpJob *job = _vp_core_job (core, *task);
    bool is_crowded = core->finished.length > VP_CORE_FINISHED_MAX;
    if (job != NULL && vp_task_state_is_final (job->state)) {
      if (!is_crowded && core->now_ms - job->finished_ms < VP_CORE_FINISHED_KEEP_MS)
        return;
      g_hash_table_remove (core->jobs, task);
    }
    g_free (g_queue_pop_head (&core->finished));
  }
}
