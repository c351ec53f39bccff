#include "vp-sched-private.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static uint32_t
_vp_sched_queue_position (const VpJob *job)
{
  uint32_t position = 1;
  GHashTableIter iter;
  gpointer value;

  if (job->wait != VP_WAIT_QUEUE)
    return 0;
  g_hash_table_iter_init (&iter, job->team->classes);
  while (g_hash_table_iter_next (&iter, &value, NULL)) {
    const VpHeap *queue = &((const VpJobClass *)value)->queue;

    for (uint32_t i = 0; i < queue->count; i++) {
      const VpJob *other = queue->items[i].item;

      position
          += other->key < job->key || (other->key == job->key && other->sequence < job->sequence);
    }
  }
  return position;
}

static void
_vp_sched_explain_waiting (const VpSched *sched,
                           const VpJob *job,
                           int64_t now_ms,
                           VpSchedJobStatus *out)
{
  const VpTeamState *team = job->team;
  VpResources need = _vp_sched_job_need (job);
  long waited_s = (long)(MAX (now_ms - job->arrived_ms, 0) / 1000);
  const char *why = "will be tried next";

  out->waiting_for = VP_REASON_OVERLOADED;
  if (sched->total.cpu_milli == 0) {
    why = "no worker is known and reachable yet";
  } else if (job->wait == VP_WAIT_RETRY_DELAY) {
    out->waiting_for = VP_REASON_TASK_FAILED;
    why = "waits out the delay before its next try";
  } else if (job->wait == VP_WAIT_RESERVATION) {
    why = "workers are reserved for it and are being freed";
  } else if (job->wait == VP_WAIT_GANG_RESTART) {
    why = "its other members have to stop before all start again";
  } else if (!vp_resources_fits (&need, &team->grant)) {
    out->waiting_for = VP_REASON_IMPOSSIBLE_SIZE;
    why = "it is larger than the team's grant in this DC";
  } else if (!_vp_sched_grant_fits (team, &need)) {
    why = "the team uses its grant in this DC";
  } else if (job->class->state == VP_CLASS_NO_CAPACITY) {
    why = job->is_gang ? "there is no room for all of its members at once"
                       : "no worker has room for it";
  } else if (_vp_sched_class_head (job->class) != job) {
    why = "other work of the team stands in front of it";
  } else {
    out->waiting_for = VP_REASON_NONE;
  }
  g_snprintf (out->explanation, sizeof out->explanation, "Queued for %ld s: %s.", waited_s, why);
}

static void
_vp_sched_explain_running (const VpJob *job, const VpMember *member, VpSchedJobStatus *out)
{
  if (member->worker == NULL || job->member_count > 1) {
    g_snprintf (out->explanation, sizeof out->explanation, "%u of %u members run, %u ended.",
                job->running_count, job->member_count, job->done_count);
    return;
  }
  g_snprintf (out->explanation, sizeof out->explanation,
              "%s on %s; declared %ld milli-processors and %ld MiB, last measured %ld and %ld.",
              member->stop != VP_STOP_NONE ? "Being stopped" : "Runs", member->worker->name,
              (long)job->size.cpu_milli, (long)job->size.mem_mib,
              (long)member->measured_usage.cpu_milli, (long)member->measured_usage.mem_mib);
}

bool
vp_sched_job_status (const VpSched *sched, VpTaskId task, int64_t now_ms, VpSchedJobStatus *out)
{
  const VpJob *job = g_hash_table_lookup (sched->jobs, &task);
  const VpMember *member;

  memset (out, 0, sizeof *out);
  if (job == NULL)
    return false;
  member = &job->members[0];
  out->attempt = member->attempt;
  if (member->worker != NULL)
    g_strlcpy (out->worker, member->worker->name, sizeof out->worker);
  if (job->running_count == 0 && job->final_state == VP_TASK_NONE) {
    out->state = VP_TASK_QUEUED;
    out->queue_position = _vp_sched_queue_position (job);
    _vp_sched_explain_waiting (sched, job, now_ms, out);
    return true;
  }
  out->state = VP_TASK_STARTING;
  for (uint32_t i = 0; i < job->member_count; i++) {
    if (job->members[i].worker != NULL && job->members[i].state == VP_TASK_RUNNING)
      out->state = VP_TASK_RUNNING;
  }
  _vp_sched_explain_running (job, member, out);
  return true;
}

static int64_t
_vp_sched_oldest_wait_ms (const VpTeamState *team, int64_t now_ms)
{
  int64_t oldest_ms = now_ms;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, team->classes);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    oldest_ms = MIN (oldest_ms, _vp_sched_class_head (value)->arrived_ms);
  return now_ms - oldest_ms;
}

void
vp_sched_team_statuses (const VpSched *sched, int64_t now_ms, GArray *teams)
{
  for (guint i = 0; i < sched->team_list->len; i++) {
    const VpTeamState *team = g_ptr_array_index (sched->team_list, i);
    VpSchedTeamStatus out = { .share = team->share };

    if (!team->is_configured && team->running_count == 0)
      continue;
    g_strlcpy (out.team, team->name, sizeof out.team);
    out.used = team->used;
    out.waiting = team->waiting;
    out.grant = team->grant;
    out.running_count = team->running_count;
    out.waiting_count = team->waiting_count;
    out.oldest_wait_ms = _vp_sched_oldest_wait_ms (team, now_ms);
    g_array_append_val (teams, out);
  }
}

void
vp_sched_totals (const VpSched *sched, VpResources *total, VpResources *used)
{
  *total = sched->total;
  *used = sched->total_used;
}

void
vp_sched_running_attempts (const VpSched *sched, GArray *decisions)
{
  for (guint i = 0; i < sched->worker_list->len; i++) {
    const VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);
    const VpMember *member = worker != NULL ? worker->members : NULL;

    for (; member != NULL; member = member->next_of_worker) {
      VpDecision decision;

      _vp_sched_fill_decision (member, VP_DECISION_START, &decision);
      g_array_append_val (decisions, decision);
    }
  }
}

static bool G_GNUC_PRINTF (3, 4)
    _vp_sched_check_failed (char *text, size_t text_size, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_vsnprintf (text, text_size, format, args);
  va_end (args);
  return false;
}

static bool
_vp_sched_are_resources_equal (const VpResources *a, const VpResources *b)
{
  return vp_resources_fits (a, b) && vp_resources_fits (b, a);
}

static bool
_vp_sched_check_worker (const VpSched *sched, const VpWorkerState *worker, char *text, size_t size)
{
  VpResources used = { 0 }, rest;
  uint32_t count = 0;

  for (const VpMember *member = worker->members; member != NULL; member = member->next_of_worker) {
    if (member->worker != worker)
      return _vp_sched_check_failed (text, size, "%s: its list holds a member of another worker",
                                     worker->name);
    vp_resources_add (&used, &member->job->size);
    count++;
  }
  rest = worker->capacity;
  vp_resources_sub (&rest, &used);
  if (!_vp_sched_are_resources_equal (&used, &worker->used) || count != worker->running_count)
    return _vp_sched_check_failed (
        text, size, "%s: committed resources or count differ from its members", worker->name);
  used = vp_capacity_index_free_resources (sched->capacity, worker->index_id);
  if (!_vp_sched_are_resources_equal (&rest, &used)
      || vp_capacity_index_free_slots (sched->capacity, worker->index_id)
             != (int64_t)worker->slot_count - count)
    return _vp_sched_check_failed (text, size, "%s: free capacity in the index differs",
                                   worker->name);
  if (!worker->may_be_overcommitted && worker->is_known
      && (!vp_resources_is_valid (&rest) || count > worker->slot_count))
    return _vp_sched_check_failed (text, size, "%s: it is overcommitted", worker->name);
  return true;
}

static bool
_vp_sched_check_job (const VpJob *job, char *text, size_t size)
{
  uint32_t queued = 0, running = 0;

  for (uint32_t i = 0; i < job->member_count; i++) {
    queued += job->members[i].state == VP_TASK_QUEUED;
    running += job->members[i].worker != NULL;
    if (job->members[i].state == VP_TASK_QUEUED && job->members[i].worker != NULL)
      return _vp_sched_check_failed (text, size, "job: a member is both queued and committed");
  }
  if (queued != job->queued_count || running != job->running_count)
    return _vp_sched_check_failed (text, size, "job: counts of members differ");
  if ((queued > 0) != (job->wait != VP_WAIT_NONE && job->wait != VP_WAIT_GANG_RESTART))
    return _vp_sched_check_failed (text, size, "job: %u members are queued in wait state %d",
                                   queued, job->wait);
  if ((job->wait == VP_WAIT_QUEUE) != (job->queue_index != VP_HEAP_NONE)
      || (job->wait == VP_WAIT_RETRY_DELAY) != (job->delay_index != VP_HEAP_NONE)
      || (job->wait == VP_WAIT_RESERVATION) != (job->reservation != NULL))
    return _vp_sched_check_failed (
        text, size, "job: its wait state differs from its queue, delay or reservation");
  if (job->is_gang && job->queued_count > 0 && job->queued_count < job->member_count)
    return _vp_sched_check_failed (text, size, "gang: only some members are queued");
  if (running == 0 && queued == 0)
    return _vp_sched_check_failed (text, size, "job: no member is queued or committed");
  return true;
}

static bool
_vp_sched_check_team (const VpSched *sched, const VpTeamState *team, char *text, size_t size)
{
  VpResources used = { 0 }, stopping = { 0 }, waiting = { 0 };
  uint32_t running_count = 0, waiting_count = 0;
  GHashTableIter iter;
  gpointer value;

  for (const VpMember *member = team->members; member != NULL; member = member->next_of_team) {
    vp_resources_add (&used, &member->job->size);
    if (member->stop != VP_STOP_NONE)
      vp_resources_add (&stopping, &member->job->size);
    running_count++;
  }
  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpJob *job = value;
    VpResources need = job->size;

    if (job->team != team)
      continue;
    vp_resources_scale (&need, job->queued_count);
    vp_resources_add (&waiting, &need);
    waiting_count += job->queued_count;
  }
  if (!_vp_sched_are_resources_equal (&used, &team->used) || running_count != team->running_count)
    return _vp_sched_check_failed (text, size, "team %s: sum of its running members differs",
                                   team->name);
  if (!_vp_sched_are_resources_equal (&stopping, &team->stopping))
    return _vp_sched_check_failed (text, size, "team %s: sum of its stopping members differs",
                                   team->name);
  if (!_vp_sched_are_resources_equal (&waiting, &team->waiting)
      || waiting_count != team->waiting_count)
    return _vp_sched_check_failed (text, size, "team %s: sum of its queued members differs",
                                   team->name);
  g_hash_table_iter_init (&iter, team->classes);
  while (g_hash_table_iter_next (&iter, &value, NULL)) {
    const VpJobClass *class = value;

    if (class->queue.count == 0 || class->state == VP_CLASS_EMPTY
        || (class->state == VP_CLASS_READY) != (class->ready_index != VP_HEAP_NONE))
      return _vp_sched_check_failed (text, size, "team %s: a job class is in a wrong state",
                                     team->name);
  }
  return true;
}

bool
vp_sched_check (const VpSched *sched, char *text, size_t text_size)
{
  VpResources total = { 0 }, used = { 0 };
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < sched->worker_list->len; i++) {
    const VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);

    if (worker == NULL)
      continue;
    if (!_vp_sched_check_worker (sched, worker, text, text_size))
      return false;
    if (worker->is_in_totals) {
      vp_resources_add (&total, &worker->capacity);
      vp_resources_add (&used, &worker->used);
    }
  }
  if (!_vp_sched_are_resources_equal (&total, &sched->total)
      || !_vp_sched_are_resources_equal (&used, &sched->total_used))
    return _vp_sched_check_failed (text, text_size, "totals differ from the workers");
  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    if (!_vp_sched_check_job (value, text, text_size))
      return false;
  }
  for (guint i = 0; i < sched->team_list->len; i++) {
    if (!_vp_sched_check_team (sched, g_ptr_array_index (sched->team_list, i), text, text_size))
      return false;
  }
  if (sched->reservation_counts[VP_RESERVATION_STARVING] > 1)
    return _vp_sched_check_failed (text, text_size, "more than one reservation for a starving job");
  return vp_capacity_index_check (sched->capacity)
         || _vp_sched_check_failed (text, text_size, "capacity index is inconsistent");
}
