#include "vp-sched-private.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static uint32_t
_vp_sched_position (const VpJob *job)
{
  uint32_t position = 1;
  GHashTableIter iter;
  gpointer value;

  if (job->wait != VP_WAIT_QUEUE)
    return 0;
  g_hash_table_iter_init (&iter, job->team->classes);
  while (g_hash_table_iter_next (&iter, &value, NULL)) {
    const VpHeap *queue = &((const VpClass *)value)->queue;

    for (uint32_t i = 0; i < queue->count; i++) {
      const VpJob *other = queue->items[i].item;

      position
          += other->key < job->key || (other->key == job->key && other->sequence < job->sequence);
    }
  }
  return position;
}

static void
_vp_sched_explain_waiting (const VpSched *sched, const VpJob *job, int64_t now_ms, VpSchedView *out)
{
  const VpTeamState *team = job->team;
  VpResources need = _vp_sched_job_need (job);
  long waited_s = (long)(MAX (now_ms - job->arrived_ms, 0) / 1000);
  const char *why = "will be tried next";

  out->waiting_for = VP_REASON_OVERLOADED;
  if (sched->total.cpu_milli == 0) {
    why = "no worker is known and reachable yet";
  } else if (job->wait == VP_WAIT_DELAY) {
    out->waiting_for = VP_REASON_TASK_FAILED;
    why = "waits out the delay before its next try";
  } else if (job->wait == VP_WAIT_RESERVE) {
    why = "workers are reserved for it and are being freed";
  } else if (job->wait == VP_WAIT_RESTART) {
    why = "its other members have to stop before all start again";
  } else if (!vp_resources_fits (&need, &team->grant)) {
    out->waiting_for = VP_REASON_IMPOSSIBLE_SIZE;
    why = "it is larger than the team's grant in this DC";
  } else if (!_vp_sched_grant_fits (team, &need)) {
    why = "the team uses its grant in this DC";
  } else if (job->class->state == VP_CLASS_UNFIT) {
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
_vp_sched_explain_running (const VpJob *job, const VpMember *member, VpSchedView *out)
{
  if (member->worker == NULL || job->member_count > 1) {
    g_snprintf (out->explanation, sizeof out->explanation, "%u of %u members run, %u ended.",
                job->running_count, job->member_count, job->done_count);
    return;
  }
  g_snprintf (out->explanation, sizeof out->explanation,
              "%s on %s; declared %ld milli-processors and %ld MiB, last measured %ld and %ld.",
              member->stop != VP_STOP_NONE ? "Being stopped" : "Runs", member->worker->name,
              (long)job->size.cpu_milli, (long)job->size.mem_mib, (long)member->measured.cpu_milli,
              (long)member->measured.mem_mib);
}

bool
vp_sched_view (const VpSched *sched, VpTaskId task, int64_t now_ms, VpSchedView *out)
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
  if (job->running_count == 0 && job->final == VP_TASK_NONE) {
    out->state = VP_TASK_QUEUED;
    out->queue_position = _vp_sched_position (job);
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
_vp_sched_oldest_ms (const VpTeamState *team, int64_t now_ms)
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
vp_sched_teams (const VpSched *sched, int64_t now_ms, GArray *teams)
{
  for (guint i = 0; i < sched->team_list->len; i++) {
    const VpTeamState *team = g_ptr_array_index (sched->team_list, i);
    VpSchedTeam out = { .share = team->share };

    if (!team->is_configured && team->running_count == 0)
      continue;
    g_strlcpy (out.team, team->name, sizeof out.team);
    out.used = team->used;
    out.waiting = team->waiting;
    out.grant = team->grant;
    out.running_count = team->running_count;
    out.waiting_count = team->waiting_count;
    out.oldest_wait_ms = _vp_sched_oldest_ms (team, now_ms);
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
vp_sched_running (const VpSched *sched, GArray *decisions)
{
  for (guint i = 0; i < sched->worker_list->len; i++) {
    const VpWorkerState *worker = g_ptr_array_index (sched->worker_list, i);
    const VpMember *member = worker != NULL ? worker->members : NULL;

    for (; member != NULL; member = member->next_of_worker) {
      VpDecision decision;

      _vp_sched_decision (member, VP_DECISION_START, &decision);
      g_array_append_val (decisions, decision);
    }
  }
}

static bool G_GNUC_PRINTF (3, 4)
    _vp_sched_fault (char *text, size_t text_size, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_vsnprintf (text, text_size, format, args);
  va_end (args);
  return false;
}

static bool
_vp_sched_equal (const VpResources *a, const VpResources *b)
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
      return _vp_sched_fault (text, size, "%s lists a member of another worker", worker->name);
    vp_resources_add (&used, &member->job->size);
    count++;
  }
  rest = worker->size;
  vp_resources_sub (&rest, &used);
  if (!_vp_sched_equal (&used, &worker->used) || count != worker->running_count)
    return _vp_sched_fault (text, size, "%s: sum of members differs", worker->name);
  used = vp_fit_room (sched->fit, worker->fit);
  if (!_vp_sched_equal (&rest, &used)
      || vp_fit_slots (sched->fit, worker->fit) != (int64_t)worker->slot_count - count)
    return _vp_sched_fault (text, size, "%s: index differs", worker->name);
  if (!worker->may_be_over && worker->is_known
      && (!vp_resources_is_valid (&rest) || count > worker->slot_count))
    return _vp_sched_fault (text, size, "%s is committed past its size", worker->name);
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
      return _vp_sched_fault (text, size, "a member waits and runs");
  }
  if (queued != job->queued_count || running != job->running_count)
    return _vp_sched_fault (text, size, "job: counts of members differ");
  if ((queued > 0) != (job->wait != VP_WAIT_NOT && job->wait != VP_WAIT_RESTART))
    return _vp_sched_fault (text, size, "job: %u members wait in state %d", queued, job->wait);
  if ((job->wait == VP_WAIT_QUEUE) != (job->queue_index != VP_HEAP_NONE)
      || (job->wait == VP_WAIT_DELAY) != (job->delay_index != VP_HEAP_NONE)
      || (job->wait == VP_WAIT_RESERVE) != (job->reservation != NULL))
    return _vp_sched_fault (text, size, "job: it is not where it waits");
  if (job->is_gang && job->queued_count > 0 && job->queued_count < job->member_count)
    return _vp_sched_fault (text, size, "gang: only a part waits");
  if (running == 0 && queued == 0)
    return _vp_sched_fault (text, size, "job: nothing of it waits or runs");
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
  if (!_vp_sched_equal (&used, &team->used) || running_count != team->running_count)
    return _vp_sched_fault (text, size, "team %s: use differs", team->name);
  if (!_vp_sched_equal (&stopping, &team->stopping))
    return _vp_sched_fault (text, size, "team %s: stopping differs", team->name);
  if (!_vp_sched_equal (&waiting, &team->waiting) || waiting_count != team->waiting_count)
    return _vp_sched_fault (text, size, "team %s: waiting differs", team->name);
  g_hash_table_iter_init (&iter, team->classes);
  while (g_hash_table_iter_next (&iter, &value, NULL)) {
    const VpClass *class = value;

    if (class->queue.count == 0 || class->state == VP_CLASS_EMPTY
        || (class->state == VP_CLASS_READY) != (class->order_index != VP_HEAP_NONE))
      return _vp_sched_fault (text, size, "team %s: class in a wrong state", team->name);
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
    if (worker->is_counted) {
      vp_resources_add (&total, &worker->size);
      vp_resources_add (&used, &worker->used);
    }
  }
  if (!_vp_sched_equal (&total, &sched->total) || !_vp_sched_equal (&used, &sched->total_used))
    return _vp_sched_fault (text, text_size, "totals differ");
  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    if (!_vp_sched_check_job (value, text, text_size))
      return false;
  }
  for (guint i = 0; i < sched->team_list->len; i++) {
    if (!_vp_sched_check_team (sched, g_ptr_array_index (sched->team_list, i), text, text_size))
      return false;
  }
  if (sched->reserve_counts[VP_RESERVE_STARVING] > 1)
    return _vp_sched_fault (text, text_size, "more than one reservation for starving work");
  return vp_fit_check (sched->fit) || _vp_sched_fault (text, text_size, "index is out of order");
}
