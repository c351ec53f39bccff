#include "vp-joblist.h"

#include <math.h>
#include <string.h>

/* Delay before a failed task is started again. It doubles with each failure, so that a short fault
 * doesn't use up all attempts. */
#define VP_JOB_RETRY_MS 50

/* Encoding of a task's progress in 16 bits: a flag for done tasks, the number of failures and the
 * number of the last run. */
#define VP_PACKED_DONE           0x8000U
#define VP_PACKED_FAILURES_SHIFT 11
#define VP_PACKED_FAILURES_MAX   0xfU
#define VP_PACKED_RUN_MAX        0x7ffU
/* Number of runs whose failures are recorded one by one in the bits of a word, which is stored for
 * later schedulers. */
#define VP_FAILED_RUNS_MAX 64
/* Marks the number of a task in the rows of failed runs: the row has its points for crashes. */
#define VP_STORED_CRASHES 0x80000000U

static void
_vp_run_duration_clear (gpointer data)
{
  g_free (((VpRunDuration *)data)->worker);
}

static void
_vp_step_clear (VpJobStep *step)
{
  g_clear_pointer (&step->advice, g_hash_table_unref);
  g_clear_pointer (&step->durations, g_array_unref);
  for (uint32_t i = 0; i < step->spec->task_count; i++) {
    vp_text_clear (&step->tasks[i].checkpoint);
    vp_text_clear (&step->tasks[i].failed_on);
    vp_text_clear (&step->tasks[i].inherited_worker);
  }
  g_free (step->tasks);
}

static void
_vp_job_free (gpointer data)
{
  VpJob *job = data;

  for (uint32_t k = 0; job->occurrences != NULL && k < job->spec->occurrence_count; k++) {
    VpJobStep *steps = job->occurrences[k].steps;
    for (uint32_t s = 0; steps != NULL && s < job->spec->step_count; s++)
      _vp_step_clear (&steps[s]);
    g_free (steps);
  }
  g_free (job->occurrences);
  vp_jobspec_unref (job->spec);
  g_free (job);
}

VpJobList *
vp_joblist_setup (void)
{
  VpJobList *list = g_new0 (VpJobList, 1);

  list->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, _vp_job_free);
  list->ready_steps = g_ptr_array_new ();
  list->scheduled_jobs = g_ptr_array_new ();
  list->ended_inherited_jobs = g_ptr_array_new ();
  list->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&list->dirty);
  return list;
}

void
vp_joblist_shutdown (VpJobList *list)
{
  g_ptr_array_unref (list->ready_steps);
  g_ptr_array_unref (list->scheduled_jobs);
  g_ptr_array_unref (list->ended_inherited_jobs);
  g_hash_table_unref (list->jobs);
  g_hash_table_unref (list->teams);
  g_queue_clear (&list->dirty);
  g_free (list);
}

int64_t
vp_occurrence_began_ms (const VpJobOccurrence *occurrence)
{
  return occurrence->due_ms != 0 ? occurrence->due_ms : occurrence->job->arrived_ms;
}

bool
vp_job_is_ended (const VpJob *job)
{
  return job->state >= VP_JOB_COMPLETED;
}

const char *
vp_job_state_token (VpJobState state)
{
  static const char *const tokens[] = { "queued", "running", "completed", "failed", "cancelled" };

  return tokens[state];
}

VpJob *
vp_joblist_find (const VpJobList *list, uint64_t id)
{
  return g_hash_table_lookup (list->jobs, &id);
}

VpTeamUsage *
vp_joblist_team (VpJobList *list, const char *name)
{
  VpTeamUsage *usage = g_hash_table_lookup (list->teams, name);

  if (usage == NULL) {
    usage = g_new0 (VpTeamUsage, 1);
    g_hash_table_insert (list->teams, g_strdup (name), usage);
  }
  return usage;
}

/* Returns the jobs that the team may submit now within its rate. */
static double
_vp_teamusage_tokens (const VpTeamUsage *usage, double weight, int64_t now_ms)
{
  double tokens_max = MAX (weight, 1);

  if (usage->tokens_ms == 0)
    return tokens_max;
  return MIN (usage->job_tokens + weight * (double)(now_ms - usage->tokens_ms) / 1000, tokens_max);
}

bool
vp_teamusage_is_over_rate (const VpTeamUsage *usage, double weight, int64_t now_ms)
{
  return weight > 0 && _vp_teamusage_tokens (usage, weight, now_ms) < 1;
}

bool
vp_teamusage_take_job_token (VpTeamUsage *usage, double weight, int64_t now_ms)
{
  if (weight <= 0)
    return true;
  usage->job_tokens = _vp_teamusage_tokens (usage, weight, now_ms);
  usage->tokens_ms = now_ms;
  if (usage->job_tokens < 1)
    return false;
  usage->job_tokens -= 1;
  return true;
}

static void
_vp_joblist_unlink_dirty (VpJobList *list, VpJob *job)
{
  if (list->last_urgent_link == job->dirty_link)
    list->last_urgent_link = job->dirty_link->prev;
  g_queue_delete_link (&list->dirty, job->dirty_link);
  job->dirty_link = NULL;
}

void
vp_joblist_mark_dirty (VpJobList *list, VpJob *job)
{
  bool is_urgent = !job->is_durable || vp_job_is_ended (job);

  if (job->dirty_link == NULL)
    job->dirty_round = list->dirty_round;
  else if (is_urgent && !job->is_dirty_urgent)
    _vp_joblist_unlink_dirty (list, job);
  else
    return;
  job->is_dirty_urgent = is_urgent;
  if (!is_urgent) {
    g_queue_push_tail (&list->dirty, job);
    job->dirty_link = list->dirty.tail;
    return;
  }
  if (list->last_urgent_link == NULL)
    g_queue_push_head (&list->dirty, job);
  else
    g_queue_insert_after (&list->dirty, list->last_urgent_link, job);
  job->dirty_link = list->last_urgent_link
      = list->last_urgent_link == NULL ? list->dirty.head : list->last_urgent_link->next;
}

bool
vp_joblist_has_urgent (const VpJobList *list)
{
  return list->last_urgent_link != NULL;
}

void
vp_joblist_begin_round (VpJobList *list)
{
  list->dirty_round++;
}

bool
vp_joblist_is_round_taken (const VpJobList *list)
{
  const GList *first
      = list->last_urgent_link == NULL ? list->dirty.head : list->last_urgent_link->next;

  for (const GList *link = list->dirty.head; link != first; link = link->next) {
    if (((const VpJob *)link->data)->dirty_round < list->dirty_round)
      return false;
  }
  /* Jobs that aren't urgent are in the order in which they were added. */
  return first == NULL || ((const VpJob *)first->data)->dirty_round >= list->dirty_round;
}

VpJob *
vp_joblist_take_dirty (VpJobList *list)
{
  VpJob *job = g_queue_peek_head (&list->dirty);

  if (job != NULL)
    _vp_joblist_unlink_dirty (list, job);
  return job;
}

static bool
_vp_step_is_ready (const VpJobStep *step)
{
  const GArray *after = step->spec->after;

  for (guint i = 0; after != NULL && i < after->len; i++) {
    const VpJobStep *before = &step->occurrence->steps[g_array_index (after, uint32_t, i)];
    if (before->done_count < before->spec->task_count)
      return false;
  }
  return true;
}

/* Marks those steps of an occurrence as ready whose dependencies are done. */
static void
_vp_occurrence_update_ready_steps (VpJobList *list, VpJobOccurrence *occurrence, int64_t now_ms)
{
  for (uint32_t s = 0; s < occurrence->job->spec->step_count; s++) {
    VpJobStep *step = &occurrence->steps[s];
    if (step->is_ready || !_vp_step_is_ready (step))
      continue;
    step->is_ready = true;
    step->ready_ms = now_ms;
    if (step->done_count < step->spec->task_count)
      g_ptr_array_add (list->ready_steps, step);
  }
}

static void
_vp_occurrence_create_steps (VpJobOccurrence *occurrence)
{
  const VpJobSpec *spec = occurrence->job->spec;
  int64_t critical_paths_ms[VP_JOBSPEC_STEPS_MAX];

  vp_jobspec_critical_paths (spec, critical_paths_ms);
  occurrence->steps = g_new0 (VpJobStep, spec->step_count);
  for (uint32_t s = 0; s < spec->step_count; s++) {
    VpJobStep *step = &occurrence->steps[s];
    step->occurrence = occurrence;
    step->spec = &spec->steps[s];
    step->index = s;
    step->critical_path_ms = critical_paths_ms[s];
    step->rack = -1;
    step->waiting_count = step->spec->task_count;
    step->tasks = g_new0 (VpJobTask, step->spec->task_count);
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
      step->tasks[i].step = step;
      step->tasks[i].index = i;
      step->tasks[i].percent = step->tasks[i].percent_sent = 100;
    }
  }
}

/* Begins the occurrences of the job that are due. */
static void
_vp_job_start_due (VpJobList *list, VpJob *job, int64_t now_ms)
{
  while (job->next_occurrence < job->spec->occurrence_count
         && job->occurrences[job->next_occurrence].due_ms <= now_ms) {
    VpJobOccurrence *occurrence = &job->occurrences[job->next_occurrence++];
    if (occurrence->steps == NULL)
      _vp_occurrence_create_steps (occurrence);
    _vp_occurrence_update_ready_steps (list, occurrence, now_ms);
  }
}

void
vp_joblist_start_due (VpJobList *list, int64_t now_ms)
{
  for (guint i = 0; i < list->scheduled_jobs->len;) {
    VpJob *job = list->scheduled_jobs->pdata[i];
    if (!vp_job_is_ended (job))
      _vp_job_start_due (list, job, now_ms);
    if (vp_job_is_ended (job) || job->next_occurrence == job->spec->occurrence_count)
      g_ptr_array_remove_index_fast (list->scheduled_jobs, i);
    else
      i++;
  }
}

int64_t
vp_joblist_next_due_ms (const VpJobList *list)
{
  int64_t next_ms = INT64_MAX;

  for (guint i = 0; i < list->scheduled_jobs->len; i++) {
    const VpJob *job = list->scheduled_jobs->pdata[i];
    next_ms = MIN (next_ms, job->occurrences[job->next_occurrence].due_ms);
  }
  return next_ms;
}

VpJob *
vp_joblist_add (VpJobList *list, VpJobSpec *spec, int64_t arrived_ms, int64_t now_ms)
{
  VpJob *job = g_new0 (VpJob, 1);

  job->spec = vp_jobspec_ref (spec);
  job->arrived_ms = arrived_ms;
  job->occurrences = g_new0 (VpJobOccurrence, spec->occurrence_count);
  for (uint32_t k = 0; k < spec->occurrence_count; k++) {
    job->occurrences[k].job = job;
    job->occurrences[k].number = k;
    job->occurrences[k].due_ms = spec->first_ms == 0 ? 0 : spec->first_ms + k * spec->interval_ms;
  }
  g_hash_table_insert (list->jobs, &job->spec->id, job);
  list->unfinished_count++;
  vp_joblist_team (list, spec->team)->job_count++;
  _vp_job_start_due (list, job, now_ms);
  if (job->next_occurrence < spec->occurrence_count)
    g_ptr_array_add (list->scheduled_jobs, job);
  return job;
}

VpJob *
vp_joblist_add_ended (VpJobList *list,
                      uint64_t id,
                      const char *queue,
                      VpJobState state,
                      int64_t ended_ms)
{
  VpJob *job = g_new0 (VpJob, 1);

  job->spec = vp_jobspec_new (0);
  job->spec->id = id;
  job->spec->queue = vp_jobspec_add_text (job->spec, queue);
  job->state = state;
  job->ended_ms = ended_ms;
  job->is_durable = job->is_end_durable = job->is_started = true;
  job->is_unsubmitted = state == VP_JOB_CANCELLED && queue[0] == '\0';
  list->unsubmitted_count += job->is_unsubmitted ? 1 : 0;
  g_hash_table_replace (list->jobs, &job->spec->id, job);
  return job;
}

VpJob *
vp_joblist_add_unsubmitted (VpJobList *list, uint64_t id, int64_t now_ms)
{
  VpJob *job;

  if (list->unsubmitted_count >= VP_JOBLIST_UNSUBMITTED_MAX)
    return NULL;
  job = vp_joblist_add_ended (list, id, "", VP_JOB_CANCELLED, now_ms);
  job->is_durable = job->is_end_durable = false;
  vp_joblist_mark_dirty (list, job);
  return job;
}

void
vp_joblist_note_submission (VpJobList *list, VpJob *job, const char *queue)
{
  job->is_unsubmitted = false;
  list->unsubmitted_count--;
  job->spec->queue = vp_jobspec_add_text (job->spec, queue);
  /* Until it is stored, callers see neither the job nor an acceptance of it. */
  job->is_durable = job->is_end_durable = false;
  vp_joblist_mark_dirty (list, job);
}

void
vp_joblist_renew_end (VpJobList *list, VpJob *job, int64_t now_ms)
{
  job->ended_ms = now_ms;
  job->is_end_outdated = true;
  vp_joblist_mark_dirty (list, job);
}

static void
_vp_job_remove_ready_steps (VpJobList *list, const VpJob *job)
{
  for (guint i = 0; i < list->ready_steps->len;) {
    const VpJobStep *step = list->ready_steps->pdata[i];
    if (step->occurrence->job == job)
      g_ptr_array_remove_index_fast (list->ready_steps, i);
    else
      i++;
  }
}

void
vp_joblist_forget_inherited (VpJobList *list, VpJob *job)
{
  if (!g_ptr_array_remove_fast (list->ended_inherited_jobs, job))
    return;
  for (uint32_t k = 0; k < job->spec->occurrence_count; k++) {
    for (uint32_t s = 0; job->occurrences[k].steps != NULL && s < job->spec->step_count; s++) {
      VpJobStep *step = &job->occurrences[k].steps[s];
      for (uint32_t i = 0; i < step->spec->task_count; i++)
        vp_jobtask_set_inherited_worker (list, &step->tasks[i], "");
    }
  }
}

void
vp_joblist_remove (VpJobList *list, VpJob *job)
{
  if (job->dirty_link != NULL)
    _vp_joblist_unlink_dirty (list, job);
  vp_joblist_forget_inherited (list, job);
  _vp_job_remove_ready_steps (list, job);
  g_ptr_array_remove_fast (list->scheduled_jobs, job);
  if (!vp_job_is_ended (job)) {
    list->unfinished_count--;
    vp_joblist_team (list, job->spec->team)->job_count--;
  }
  list->unsubmitted_count -= job->is_unsubmitted ? 1 : 0;
  g_hash_table_remove (list->jobs, &job->spec->id);
}

static void
_vp_job_end (VpJobList *list, VpJob *job, VpJobState state, int64_t now_ms)
{
  /* Its tasks count for the team until none can run unknown. Those that still run are stopped once
   * their worker lists them. */
  if (job->is_inherited)
    g_ptr_array_add (list->ended_inherited_jobs, job);
  job->state = state;
  job->ended_ms = now_ms;
  if (state == VP_JOB_COMPLETED && job->expected_end_ms != 0) {
    list->admission_results.ended++;
    list->admission_results.in_time += now_ms <= job->expected_end_ms ? 1 : 0;
    list->admission_results.too_soon += now_ms < job->earliest_end_ms ? 1 : 0;
  }
  list->unfinished_count--;
  vp_joblist_team (list, job->spec->team)->job_count--;
  _vp_job_remove_ready_steps (list, job);
  vp_joblist_mark_dirty (list, job);
}

bool
vp_joblist_cancel (VpJobList *list, VpJob *job, int64_t now_ms)
{
  if (vp_job_is_ended (job))
    return false;
  _vp_job_end (list, job, VP_JOB_CANCELLED, now_ms);
  return true;
}

uint32_t
vp_joblist_unstarted_count (const VpJobList *list, const char *queue)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, list->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpJob *job = value;
    if (!vp_job_is_ended (job) && !job->is_started && strcmp (job->spec->queue, queue) == 0)
      count++;
  }
  return count;
}

VpJobTask *
vp_joblist_task (const VpJobList *list, const VpTaskName *name)
{
  VpJob *job = vp_joblist_find (list, name->job);
  VpJobStep *steps;

  if (job == NULL || job->occurrences == NULL || name->occurrence >= job->spec->occurrence_count
      || name->step >= job->spec->step_count)
    return NULL;
  steps = job->occurrences[name->occurrence].steps;
  if (steps == NULL || name->index >= steps[name->step].spec->task_count)
    return NULL;
  return &steps[name->step].tasks[name->index];
}

void
vp_jobtask_name (const VpJobTask *task, VpTaskName *out)
{
  *out = (VpTaskName){ .job = task->step->occurrence->job->spec->id,
                       .occurrence = task->step->occurrence->number,
                       .step = task->step->index,
                       .index = task->index };
}

VpResources
vp_jobtask_demand (const VpJobTask *task)
{
  VpResources demand = task->step->spec->size;

  if (task->step->spec->is_best_effort)
    demand.cpu_milli = 0;
  return demand;
}

void
vp_jobtask_set_inherited_worker (VpJobList *list, VpJobTask *task, const char *worker)
{
  VpTeamUsage *usage = vp_joblist_team (list, task->step->occurrence->job->spec->team);

  if (!vp_text_is_empty (task->inherited_worker))
    vp_resources_sub (&usage->unobserved, &task->step->spec->size);
  vp_text_set (&task->inherited_worker, worker);
  if (!vp_text_is_empty (task->inherited_worker))
    vp_resources_add (&usage->unobserved, &task->step->spec->size);
}

void
vp_jobtask_assign (VpJobList *list,
                   VpJobTask *task,
                   VpCellWorker *worker,
                   uint32_t run,
                   int64_t now_ms)
{
  VpJobStep *step = task->step;
  VpJob *job = step->occurrence->job;
  VpResources demand = vp_jobtask_demand (task);

  g_assert (task->phase == VP_PHASE_WAITING && task->worker == NULL);
  task->phase = VP_PHASE_STARTING;
  task->run = run;
  task->worker = worker;
  task->start_tries = task->start_answers = 0;
  task->is_unanswered = false;
  task->started_ms = now_ms;
  task->confirmed_ms = task->stop_sent_ms = 0;
  task->percent = task->percent_sent = 100;
  task->gauge = 0;
  task->is_resumed = !vp_text_is_empty (task->checkpoint);
  task->forecast_p50_ms = task->forecast_p90_ms = task->expected_end_ms = 0;
  vp_jobtask_set_inherited_worker (list, task, "");
  step->waiting_count--;
  step->assigned_count++;
  job->assigned_count++;
  job->is_started = true;
  if (job->state == VP_JOB_QUEUED)
    job->state = VP_JOB_RUNNING;
  vp_resources_add (&worker->used, &demand);
  if (step->spec->is_best_effort) {
    worker->best_effort_cpu_milli += step->spec->size.cpu_milli;
    worker->best_effort_count++;
  }
  worker->latency_target_count += step->spec->tail_latency_target_ms > 0 ? 1 : 0;
  g_hash_table_add (worker->tasks, task);
  vp_resources_add (&vp_joblist_team (list, job->spec->team)->used, &step->spec->size);
  vp_joblist_mark_dirty (list, job);
}

void
vp_jobtask_release (VpJobList *list, VpJobTask *task)
{
  VpJobStep *step = task->step;
  VpJob *job = step->occurrence->job;
  VpCellWorker *worker = task->worker;
  VpResources demand = vp_jobtask_demand (task);

  g_assert (worker != NULL);
  task->phase = VP_PHASE_WAITING;
  task->worker = NULL;
  step->waiting_count++;
  step->assigned_count--;
  job->assigned_count--;
  vp_resources_sub (&worker->used, &demand);
  if (step->spec->is_best_effort) {
    worker->best_effort_cpu_milli -= step->spec->size.cpu_milli;
    worker->best_effort_count--;
  }
  worker->latency_target_count -= step->spec->tail_latency_target_ms > 0 ? 1 : 0;
  g_hash_table_remove (worker->tasks, task);
  vp_resources_sub (&vp_joblist_team (list, job->spec->team)->used, &step->spec->size);
  vp_joblist_mark_dirty (list, job);
}

/* Handles that all tasks of the step are done, which may make other steps ready or complete the
 * job. */
static void
_vp_step_finish (VpJobList *list, VpJobStep *step, int64_t now_ms)
{
  VpJobOccurrence *occurrence = step->occurrence;
  VpJob *job = occurrence->job;

  g_ptr_array_remove_fast (list->ready_steps, step);
  if (++occurrence->done_count < job->spec->step_count) {
    _vp_occurrence_update_ready_steps (list, occurrence, now_ms);
    return;
  }
  if (++job->done_count == job->spec->occurrence_count)
    _vp_job_end (list, job, VP_JOB_COMPLETED, now_ms);
}

void
vp_jobtask_complete (VpJobList *list, VpJobTask *task, int64_t now_ms)
{
  VpJobStep *step = task->step;
  VpJob *job = step->occurrence->job;

  if (task->phase == VP_PHASE_DONE)
    return;
  if (task->worker != NULL)
    vp_jobtask_release (list, task);
  vp_jobtask_set_inherited_worker (list, task, "");
  task->phase = VP_PHASE_DONE;
  step->waiting_count--;
  step->done_count++;
  job->is_started = true;
  vp_joblist_mark_dirty (list, job);
  if (!vp_job_is_ended (job) && step->done_count == step->spec->task_count)
    _vp_step_finish (list, step, now_ms);
}

/* Marks all tasks of a gang as done. They end together, so if one is done, all are. */
static void
_vp_gang_complete (VpJobList *list, VpJobStep *step, int64_t now_ms)
{
  for (uint32_t i = 0; i < step->spec->task_count; i++)
    vp_jobtask_complete (list, &step->tasks[i], now_ms);
}

/* Records the failure of @run. Returns false if it was recorded before. */
static bool
_vp_task_mark_failed_run (VpJobTask *task, uint32_t run)
{
  uint64_t bit;

  /* Above the bits, a failure is counted only for runs that this scheduler has started. It starts
   * them in ascending order, so the number of the last counted one is enough. */
  if (run == 0 || run > VP_FAILED_RUNS_MAX) {
    if (run <= MAX (task->stored_run, task->last_failed_run))
      return false;
    task->last_failed_run = run;
    return true;
  }
  bit = UINT64_C (1) << (run - 1);
  if ((task->failed_runs & bit) != 0)
    return false;
  task->failed_runs |= bit;
  return true;
}

void
vp_jobtask_check_failures (VpJobList *list, VpJobTask *task, uint32_t attempts_max, int64_t now_ms)
{
  VpJob *job = task->step->occurrence->job;

  if (task->step->spec->is_long_running || vp_job_is_ended (job) || task->failures < attempts_max)
    return;
  _vp_job_end (list, job, VP_JOB_FAILED, now_ms);
}

void
vp_jobtask_count_failure (VpJobList *list,
                          VpJobTask *task,
                          uint32_t run,
                          uint32_t attempts_max,
                          int64_t now_ms)
{
  VpJob *job = task->step->occurrence->job;

  if (!_vp_task_mark_failed_run (task, run))
    return;
  /* The start may be an earlier scheduler's that isn't stored; without it, no progress is. */
  job->is_started = true;
  vp_joblist_mark_dirty (list, job);
  task->failures++;
  task->not_before_ms = now_ms + (VP_JOB_RETRY_MS << MIN (task->failures - 1, 5U));
  vp_jobtask_check_failures (list, task, attempts_max, now_ms);
}

bool
vp_jobtask_count_crash (VpJobList *list,
                        VpJobTask *task,
                        uint32_t points,
                        uint32_t points_max,
                        int64_t now_ms)
{
  VpJob *job = task->step->occurrence->job;

  task->crash_points += points;
  vp_joblist_mark_dirty (list, job);
  if (vp_job_is_ended (job) || task->crash_points < points_max)
    return false;
  _vp_job_end (list, job, VP_JOB_FAILED, now_ms);
  return true;
}

void
vp_jobtask_end (VpJobList *list,
                VpJobTask *task,
                VpRunEnd end,
                uint32_t attempts_max,
                int64_t now_ms)
{
  VpJobStep *step = task->step;

  if ((end == VP_RUN_DONE || task->is_already_done) && !step->spec->is_long_running) {
    if (step->spec->is_gang)
      _vp_gang_complete (list, step, now_ms);
    else
      vp_jobtask_complete (list, task, now_ms);
    return;
  }
  if (end == VP_RUN_FAILED && task->worker != NULL)
    vp_text_set (&task->failed_on, task->worker->entry.id);
  if (task->worker != NULL)
    vp_jobtask_release (list, task);
  if (end == VP_RUN_FAILED)
    vp_jobtask_count_failure (list, task, task->run, attempts_max, now_ms);
  vp_joblist_mark_dirty (list, step->occurrence->job);
}

void
vp_jobstep_record_duration (VpJobStep *step, const VpCellWorker *worker, int64_t duration_ms)
{
  VpRunDuration duration = { .log_ms = log ((double)MAX (duration_ms, 1)) };

  if (step->durations == NULL) {
    step->durations = g_array_new (FALSE, FALSE, sizeof (VpRunDuration));
    g_array_set_clear_func (step->durations, _vp_run_duration_clear);
  }
  vp_text_set (&duration.worker, worker->entry.id);
  g_array_append_val (step->durations, duration);
  step->duration_max_ms = MAX (step->duration_max_ms, duration_ms);
}

/* Returns a value that is different for all steps of all jobs, except with negligible probability,
 * and never 0. */
static uint64_t
_vp_jobstep_identity (const VpJobStep *step)
{
  const VpJobOccurrence *occurrence = step->occurrence;
  uint64_t place = ((uint64_t)occurrence->number << 32) | (step->index + 1);

  return (occurrence->job->spec->id ^ place * UINT64_C (0x9e3779b97f4a7c15)) | 1;
}

void
vp_jobstep_forecast_key (const VpJobStep *step, VpForecastKey *out)
{
  const VpJobSpec *job = step->occurrence->job->spec;

  *out = (VpForecastKey){ .queue = job->queue,
                          .team = job->team,
                          .image = step->spec->image,
                          .task_count = step->spec->task_count,
                          .size = step->spec->size,
                          .estimate_ms = step->spec->estimate_ms,
                          .step = _vp_jobstep_identity (step) };
}

GVariant *
vp_job_encode (const VpJob *job)
{
  return g_variant_new ("(@" VP_JOBSPEC_TYPE "x)", vp_jobspec_encode (job->spec), job->arrived_ms);
}

VpJob *
vp_joblist_decode (VpJobList *list, GVariant *value, int64_t now_ms)
{
  g_autoptr (GVariant) inner = NULL;
  g_autoptr (VpJobSpec) spec = NULL;
  int64_t arrived_ms;
  VpJob *job;

  if (!g_variant_is_of_type (value, G_VARIANT_TYPE (VP_JOB_TYPE)))
    return NULL;
  g_variant_get (value, "(@" VP_JOBSPEC_TYPE "x)", &inner, &arrived_ms);
  spec = vp_jobspec_decode (inner);
  if (spec == NULL || vp_joblist_find (list, spec->id) != NULL)
    return NULL;
  job = vp_joblist_add (list, spec, arrived_ms, now_ms);
  job->is_inherited = job->is_durable = true;
  return job;
}

static void
_vp_step_encode (const VpJobStep *step, GVariantBuilder *out)
{
  g_autoptr (GArray) packed = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  GVariantBuilder assigned, failed;

  g_variant_builder_init (&assigned, G_VARIANT_TYPE ("a(us)"));
  g_variant_builder_init (&failed, G_VARIANT_TYPE ("a(ut)"));
  for (uint32_t i = 0; i < step->spec->task_count; i++) {
    const VpJobTask *task = &step->tasks[i];
    uint16_t bits
        = (uint16_t)((task->phase == VP_PHASE_DONE ? VP_PACKED_DONE : 0)
                     | MIN (task->failures, VP_PACKED_FAILURES_MAX) << VP_PACKED_FAILURES_SHIFT
                     | MIN (task->run, VP_PACKED_RUN_MAX));
    g_array_append_val (packed, bits);
    if (task->worker != NULL)
      g_variant_builder_add (&assigned, "(us)", i, task->worker->entry.id);
    else if (!vp_text_is_empty (task->inherited_worker))
      g_variant_builder_add (&assigned, "(us)", i, task->inherited_worker);
    if (task->failed_runs != 0 && task->phase != VP_PHASE_DONE)
      g_variant_builder_add (&failed, "(ut)", i, task->failed_runs);
    if (task->crash_points != 0 && task->phase != VP_PHASE_DONE)
      g_variant_builder_add (&failed, "(ut)", i | VP_STORED_CRASHES, (guint64)task->crash_points);
  }
  g_variant_builder_add (out, "(uu@aqa(us)a(ut))", step->occurrence->number, step->index,
                         g_variant_new_fixed_array (G_VARIANT_TYPE_UINT16, packed->data,
                                                    step->spec->task_count, sizeof (uint16_t)),
                         &assigned, &failed);
}

GVariant *
vp_job_encode_progress (const VpJob *job)
{
  GVariantBuilder steps;

  g_variant_builder_init (&steps, G_VARIANT_TYPE ("a(uuaqa(us)a(ut))"));
  for (uint32_t k = 0; k < job->spec->occurrence_count; k++) {
    for (uint32_t s = 0; job->occurrences[k].steps != NULL && s < job->spec->step_count; s++)
      _vp_step_encode (&job->occurrences[k].steps[s], &steps);
  }
  return g_variant_new (VP_PROGRESS_TYPE, job->spec->id, (gboolean)job->is_started, &steps);
}

static void
_vp_task_restore (VpJobList *list, VpJobTask *task, uint16_t packed, int64_t now_ms)
{
  task->run = task->stored_run = packed & VP_PACKED_RUN_MAX;
  task->failures = packed >> VP_PACKED_FAILURES_SHIFT & VP_PACKED_FAILURES_MAX;
  if ((packed & VP_PACKED_DONE) != 0)
    vp_jobtask_complete (list, task, now_ms);
}

/* Restores the stored progress of the tasks of a step. */
static void
_vp_step_restore (VpJobList *list,
                  VpJobStep *step,
                  uint32_t task_count,
                  GVariant *packed,
                  GVariantIter *assigned,
                  GVariantIter *failed,
                  int64_t now_ms)
{
  const uint16_t *items;
  const char *worker;
  gsize count;
  uint64_t runs;
  uint32_t index;

  items = g_variant_get_fixed_array (packed, &count, sizeof (uint16_t));
  for (uint32_t i = 0; i < MIN (count, task_count); i++)
    _vp_task_restore (list, &step->tasks[i], items[i], now_ms);
  while (g_variant_iter_next (assigned, "(u&s)", &index, &worker)) {
    if (index < task_count)
      vp_jobtask_set_inherited_worker (list, &step->tasks[index], worker);
  }
  while (g_variant_iter_next (failed, "(ut)", &index, &runs)) {
    if (index < task_count)
      step->tasks[index].failed_runs = runs;
    else if ((index & VP_STORED_CRASHES) != 0 && (index & ~VP_STORED_CRASHES) < task_count)
      step->tasks[index & ~VP_STORED_CRASHES].crash_points = (uint32_t)MIN (runs, UINT32_MAX);
  }
}

static void
_vp_job_restore_step (VpJobList *list,
                      VpJob *job,
                      VpJobOccurrence *occurrence,
                      uint32_t index,
                      GVariant *packed,
                      GVariantIter *assigned,
                      GVariantIter *failed,
                      int64_t now_ms)
{
  if (occurrence->steps == NULL)
    _vp_occurrence_create_steps (occurrence);
  if (occurrence->steps[index].tasks != NULL)
    _vp_step_restore (list, &occurrence->steps[index], job->spec->steps[index].task_count, packed,
                      assigned, failed, now_ms);
}

bool
vp_joblist_decode_progress (VpJobList *list, GVariant *value, int64_t now_ms)
{
  g_autoptr (GVariantIter) steps = NULL;
  GVariant *packed;
  GVariantIter *assigned, *failed;
  uint64_t id;
  gboolean is_started;
  uint32_t number, index;
  VpJob *job;

  if (!g_variant_is_of_type (value, G_VARIANT_TYPE (VP_PROGRESS_TYPE)))
    return false;
  g_variant_get (value, VP_PROGRESS_TYPE, &id, &is_started, &steps);
  job = vp_joblist_find (list, id);
  if (job == NULL || job->occurrences == NULL)
    return false;
  job->is_progress_stored = true;
  if (is_started) {
    job->is_started = true;
    job->state = MAX (job->state, VP_JOB_RUNNING);
  }
  while (g_variant_iter_next (steps, "(uu@aqa(us)a(ut))", &number, &index, &packed, &assigned,
                              &failed)) {
    if (number < job->spec->occurrence_count && index < job->spec->step_count)
      _vp_job_restore_step (list, job, &job->occurrences[number], index, packed, assigned, failed,
                            now_ms);
    g_variant_unref (packed);
    g_variant_iter_free (assigned);
    g_variant_iter_free (failed);
  }
  return true;
}

GVariant *
vp_job_encode_end (const VpJob *job)
{
  return g_variant_new (VP_JOB_END_TYPE, job->spec->id, job->spec->queue, (guchar)job->state,
                        job->ended_ms);
}

VpJob *
vp_joblist_decode_end (VpJobList *list, GVariant *value)
{
  uint64_t id;
  const char *queue;
  guchar state;
  int64_t ended_ms;

  if (!g_variant_is_of_type (value, G_VARIANT_TYPE (VP_JOB_END_TYPE)))
    return NULL;
  g_variant_get (value, "(t&syx)", &id, &queue, &state, &ended_ms);
  if (state < VP_JOB_COMPLETED || state > VP_JOB_CANCELLED)
    return NULL;
  return vp_joblist_add_ended (list, id, queue, (VpJobState)state, ended_ms);
}
