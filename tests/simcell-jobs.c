#include "simcell-jobs.h"

/* A task may be started two times more after it has crashed three workers. */
#define CRASHES_MAX 5
/* No task is started later than this after a node has confirmed that its job is cancelled. The
 * platform's cancel_ms has this value on all sites or a higher one. */
#define CANCEL_MS 3000

SimJob *
simcell_jobs_find (const SimCellJobs *jobs, uint64_t id)
{
  return g_hash_table_lookup (jobs->by_id, &id);
}

/* Ends the test; the message gives the seed, the time and the task. */
static void
_report_violation (const SimCellJobs *jobs,
                   int64_t now_ms,
                   const char *what,
                   const VpTaskName *task)
{
  char name[VP_TASK_NAME_MAX];

  vp_task_name_format (task, name);
  g_error ("seed %u at %" G_GINT64_FORMAT " ms: %s: %s", jobs->seed, now_ms, name, what);
}

static bool
_is_same_task (const VpTaskName *a, const VpTaskName *b)
{
  return a->job == b->job && a->occurrence == b->occurrence && a->step == b->step
         && a->index == b->index;
}

void
simcell_jobs_check_start (const SimCellJobs *jobs,
                          int64_t now_ms,
                          const SimCellWorker *worker,
                          const VpCommand *command)
{
  const SimJob *job = simcell_jobs_find (jobs, command->task.job);
  VpResources used = simcell_worker_used_resources (worker);
  char name[VP_TASK_NAME_MAX];

  if (!vp_resources_fits (&used, &worker->entry.capacity))
    _report_violation (jobs, now_ms, "started although the worker's capacity is exceeded",
                       &command->task);
  for (guint i = 0; i < jobs->workers->len; i++) {
    const SimCellWorker *other = jobs->workers->pdata[i];
    for (guint r = 0; other != worker && other->is_up && r < other->runs->len; r++) {
      const VpTaskName *task = &g_array_index (other->runs, SimCellRun, r).task;
      if (_is_same_task (task, &command->task))
        _report_violation (jobs, now_ms, "runs on two workers", task);
    }
  }
  vp_task_name_format (&command->task, name);
  if (g_hash_table_contains (job->acked, name))
    _report_violation (jobs, now_ms, "started after its end was acknowledged", &command->task);
  if (job->crash_count > CRASHES_MAX)
    _report_violation (jobs, now_ms, "started although it has crashed too many workers",
                       &command->task);
  g_hash_table_replace (job->started, g_strdup (name), GUINT_TO_POINTER (now_ms - jobs->begin_ms));
  if (job->is_rejected && !job->is_accepted)
    _report_violation (jobs, now_ms, "started although its job was rejected", &command->task);
  for (uint32_t i = 0; command->task.step > 0 && i < job->desc.width; i++) {
    VpTaskName before = command->task;
    before.step--;
    before.index = i;
    vp_task_name_format (&before, name);
    if (!g_hash_table_contains (job->done, name))
      _report_violation (jobs, now_ms, "started before all tasks of the previous step were done",
                         &command->task);
  }
}

void
simcell_jobs_check_cancelled (const SimCellJobs *jobs, int64_t now_ms, const VpCommand *command)
{
  const SimJob *job = simcell_jobs_find (jobs, command->task.job);

  if (job->cancelled_ms != 0 && now_ms > job->cancelled_ms + CANCEL_MS)
    _report_violation (jobs, now_ms, "started after the cancel of its job was confirmed",
                       &command->task);
}

uint32_t
simcell_jobs_running_count (const SimCellJobs *jobs, uint64_t id)
{
  uint32_t count = 0;

  for (guint i = 0; i < jobs->workers->len; i++) {
    const SimCellWorker *worker = jobs->workers->pdata[i];
    for (guint r = 0; worker->is_up && r < worker->runs->len; r++)
      count += g_array_index (worker->runs, SimCellRun, r).task.job == id ? 1 : 0;
  }
  return count;
}

/* Ends all members of a gang after one of them has ended. If that one is done, all are done;
 * otherwise the others are stopped. */
static void
_end_gang (const SimCellJobs *jobs, int64_t now_ms, const VpTaskName *task, VpRunEnd end)
{
  const SimJob *job = simcell_jobs_find (jobs, task->job);
  char name[VP_TASK_NAME_MAX];

  for (uint32_t i = 0; end == VP_RUN_DONE && i < job->desc.width; i++) {
    VpTaskName member = *task;
    member.index = i;
    vp_task_name_format (&member, name);
    g_hash_table_add (job->done, g_strdup (name));
  }
  for (guint w = 0; w < jobs->workers->len; w++) {
    SimCellWorker *worker = jobs->workers->pdata[w];
    for (guint r = 0; r < worker->runs->len; r++) {
      SimCellRun *run = &g_array_index (worker->runs, SimCellRun, r);
      if (run->task.job != task->job || run->task.step != task->step)
        continue;
      run->ends_ms = end == VP_RUN_DONE ? now_ms : INT64_MAX;
      run->stop_ms = now_ms;
      run->is_failing = false;
    }
  }
}

void
simcell_jobs_start_gang_work (const SimCellJobs *jobs, int64_t now_ms, const VpCommand *command)
{
  const SimJob *job = simcell_jobs_find (jobs, command->task.job);
  g_autoptr (GPtrArray) members = g_ptr_array_new ();

  for (guint w = 0; w < jobs->workers->len; w++) {
    SimCellWorker *worker = jobs->workers->pdata[w];
    for (guint r = 0; r < worker->runs->len; r++) {
      SimCellRun *run = &g_array_index (worker->runs, SimCellRun, r);
      if (run->task.job == command->task.job && run->task.step == command->task.step
          && run->run == command->run)
        g_ptr_array_add (members, run);
    }
  }
  for (guint i = 0; i < members->len; i++)
    ((SimCellRun *)members->pdata[i])->ends_ms
        = members->len == job->desc.width ? now_ms + job->desc.work_ms : INT64_MAX;
}

void
simcell_jobs_advance_worker (const SimCellJobs *jobs, int64_t now_ms, SimCellWorker *worker)
{
  guint before = worker->ended->len;

  simcell_worker_advance (worker, now_ms);
  for (guint i = before; i < worker->ended->len; i++) {
    const VpEndedEntry *entry = &g_array_index (worker->ended, VpEndedEntry, i);
    const SimJob *job = simcell_jobs_find (jobs, entry->task.job);
    char name[VP_TASK_NAME_MAX];
    vp_task_name_format (&entry->task, name);
    if (entry->end == VP_RUN_DONE)
      g_hash_table_add (job->done, g_strdup (name));
    if (job->desc.is_gang)
      _end_gang (jobs, now_ms, &entry->task, entry->end);
  }
}

/* An acknowledged end forbids starts from the time of the end, not only from the time of the
 * acknowledgement. */
void
simcell_jobs_check_acked_ends (const SimCellJobs *jobs, int64_t now_ms, SimCellWorker *worker)
{
  for (guint i = 0; i < worker->acked->len; i++) {
    const SimCellAckedEnd *acked = &g_array_index (worker->acked, SimCellAckedEnd, i);
    const SimJob *job = simcell_jobs_find (jobs, acked->task.job);
    char name[VP_TASK_NAME_MAX];
    vp_task_name_format (&acked->task, name);
    /* The lease expired between the end and its acknowledgement, so the end doesn't count. */
    if (worker->last_expired_ms >= acked->ended_ms)
      continue;
    if ((int64_t)GPOINTER_TO_UINT (g_hash_table_lookup (job->started, name)) + jobs->begin_ms
        > acked->ended_ms)
      _report_violation (jobs, now_ms, "was started after the end that is being acknowledged",
                         &acked->task);
    g_hash_table_add (job->acked, g_strdup (name));
  }
  g_array_set_size (worker->acked, 0);
}

SimJob *
simcell_jobs_new (uint64_t id, const SimJobDesc *desc)
{
  SimJob *job = g_new0 (SimJob, 1);

  job->id = id;
  job->desc = *desc;
  job->cancel_next_ms = INT64_MAX;
  job->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->acked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->started = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->spec = vp_jobspec_new (desc->steps);
  job->spec->text = g_strdup ("text");
  for (uint32_t s = 0; s < desc->steps; s++) {
    VpStepSpec *step = &job->spec->steps[s];
    step->task_count = desc->width;
    step->size.cpu_milli = desc->cpu_milli == 0 ? 1000 : desc->cpu_milli;
    step->size.mem_mib = desc->mem_mib == 0 ? 1024 : desc->mem_mib;
    step->estimate_ms = desc->work_ms;
    step->is_gang = desc->is_gang;
    step->is_long_running = desc->is_long_running;
    if (s > 0) {
      uint32_t before = s - 1;
      step->after = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      g_array_append_val (step->after, before);
    }
  }
  return job;
}

void
simcell_jobs_free (gpointer data)
{
  SimJob *job = data;

  vp_jobspec_unref (job->spec);
  g_hash_table_unref (job->done);
  g_hash_table_unref (job->acked);
  g_hash_table_unref (job->started);
  g_free (job);
}
