#include "world-jobs.h"

WorldCallerJob *
world_jobs_find (const WorldJobs *jobs, uint64_t id)
{
  return g_hash_table_lookup (jobs->by_id, &id);
}

/* Violated promises end the test. */
static void
_violated (const WorldJobs *jobs, int64_t now_ms, const char *what, const VpTaskName *task)
{
  char name[VP_TASK_NAME_MAX];

  vp_task_name_format (task, name);
  g_error ("seed %u at %" G_GINT64_FORMAT " ms: %s: %s", jobs->seed, now_ms, name, what);
}

static bool
_is_same (const VpTaskName *a, const VpTaskName *b)
{
  return a->job == b->job && a->occurrence == b->occurrence && a->step == b->step
         && a->index == b->index;
}

/* What the promises say of a start that the worker has just carried out. */
void
world_jobs_check_start (const WorldJobs *jobs,
                        int64_t now_ms,
                        const FakeWorker *worker,
                        const VpCommand *command)
{
  const WorldCallerJob *job = world_jobs_find (jobs, command->task.job);
  VpResources used = fake_worker_used (worker);
  char name[VP_TASK_NAME_MAX];

  if (!vp_resources_fits (&used, &worker->entry.capacity))
    _violated (jobs, now_ms, "started beyond the worker's room", &command->task);
  for (guint i = 0; i < jobs->workers->len; i++) {
    const FakeWorker *other = jobs->workers->pdata[i];
    for (guint r = 0; other != worker && other->is_up && r < other->runs->len; r++) {
      const VpTaskName *task = &g_array_index (other->runs, FakeRun, r).task;
      if (_is_same (task, &command->task))
        _violated (jobs, now_ms, "runs on two workers", task);
    }
  }
  vp_task_name_format (&command->task, name);
  if (g_hash_table_contains (job->noted, name))
    _violated (jobs, now_ms, "started after its end was acknowledged", &command->task);
  g_hash_table_replace (job->started, g_strdup (name), GUINT_TO_POINTER (now_ms - jobs->begin_ms));
  if (job->is_refused && !job->is_accepted)
    _violated (jobs, now_ms, "started though its job was refused", &command->task);
  for (uint32_t i = 0; command->task.step > 0 && i < job->shape.width; i++) {
    VpTaskName before = command->task;
    before.step--;
    before.index = i;
    vp_task_name_format (&before, name);
    if (!g_hash_table_contains (job->done, name))
      _violated (jobs, now_ms, "started before its predecessors were done", &command->task);
  }
}

/* The members of a gang end together: done for all, or broken where another one ended otherwise. */
static void
_end_gang (const WorldJobs *jobs, int64_t now_ms, const VpTaskName *task, VpRunEnd end)
{
  const WorldCallerJob *job = world_jobs_find (jobs, task->job);
  char name[VP_TASK_NAME_MAX];

  for (uint32_t i = 0; end == VP_RUN_DONE && i < job->shape.width; i++) {
    VpTaskName member = *task;
    member.index = i;
    vp_task_name_format (&member, name);
    g_hash_table_add (job->done, g_strdup (name));
  }
  for (guint w = 0; w < jobs->workers->len; w++) {
    FakeWorker *worker = jobs->workers->pdata[w];
    for (guint r = 0; r < worker->runs->len; r++) {
      FakeRun *run = &g_array_index (worker->runs, FakeRun, r);
      if (run->task.job != task->job || run->task.step != task->step)
        continue;
      run->ends_ms = end == VP_RUN_DONE ? now_ms : INT64_MAX;
      run->stop_ms = now_ms;
      run->is_failing = false;
    }
  }
}

/* The members work from the moment when all of one run are there. */
void
world_jobs_begin_gang (const WorldJobs *jobs, int64_t now_ms, const VpCommand *command)
{
  const WorldCallerJob *job = world_jobs_find (jobs, command->task.job);
  g_autoptr (GPtrArray) members = g_ptr_array_new ();

  for (guint w = 0; w < jobs->workers->len; w++) {
    FakeWorker *worker = jobs->workers->pdata[w];
    for (guint r = 0; r < worker->runs->len; r++) {
      FakeRun *run = &g_array_index (worker->runs, FakeRun, r);
      if (run->task.job == command->task.job && run->task.step == command->task.step
          && run->run == command->run)
        g_ptr_array_add (members, run);
    }
  }
  for (guint i = 0; i < members->len; i++)
    ((FakeRun *)members->pdata[i])->ends_ms
        = members->len == job->shape.width ? now_ms + job->shape.work_ms : INT64_MAX;
}

void
world_jobs_advance (const WorldJobs *jobs, int64_t now_ms, FakeWorker *worker)
{
  guint before = worker->ended->len;

  fake_worker_advance (worker, now_ms);
  for (guint i = before; i < worker->ended->len; i++) {
    const VpEndedEntry *entry = &g_array_index (worker->ended, VpEndedEntry, i);
    const WorldCallerJob *job = world_jobs_find (jobs, entry->task.job);
    char name[VP_TASK_NAME_MAX];
    vp_task_name_format (&entry->task, name);
    if (entry->end == VP_RUN_DONE)
      g_hash_table_add (job->done, g_strdup (name));
    if (job->shape.is_gang)
      _end_gang (jobs, now_ms, &entry->task, entry->end);
  }
}

/* An end that is acknowledged forbids starts from the end on, not only from now on. */
void
world_jobs_check_noted (const WorldJobs *jobs, int64_t now_ms, FakeWorker *worker)
{
  for (guint i = 0; i < worker->noted->len; i++) {
    const FakeNoted *noted = &g_array_index (worker->noted, FakeNoted, i);
    const WorldCallerJob *job = world_jobs_find (jobs, noted->task.job);
    char name[VP_TASK_NAME_MAX];
    vp_task_name_format (&noted->task, name);
    /* The lease was over between the end and its acknowledgement, so the end stands for nothing. */
    if (worker->lapsed_ms >= noted->ended_ms)
      continue;
    if ((int64_t)GPOINTER_TO_UINT (g_hash_table_lookup (job->started, name)) + jobs->begin_ms
        > noted->ended_ms)
      _violated (jobs, now_ms, "started after an end that is acknowledged now", &noted->task);
    g_hash_table_add (job->noted, g_strdup (name));
  }
  g_array_set_size (worker->noted, 0);
}

WorldCallerJob *
world_jobs_new (uint64_t id, const WorldJob *shape)
{
  WorldCallerJob *job = g_new0 (WorldCallerJob, 1);

  job->id = id;
  job->shape = *shape;
  job->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->noted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->started = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->spec = vp_jobspec_new (shape->steps);
  job->spec->text = g_strdup ("text");
  for (uint32_t s = 0; s < shape->steps; s++) {
    VpStepSpec *step = &job->spec->steps[s];
    step->task_count = shape->width;
    step->size.cpu_milli = shape->cpu_milli == 0 ? 1000 : shape->cpu_milli;
    step->size.mem_mib = shape->mem_mib == 0 ? 1024 : shape->mem_mib;
    step->estimate_ms = shape->work_ms;
    step->is_gang = shape->is_gang;
    step->is_long_running = shape->is_long_running;
    if (s > 0) {
      uint32_t before = s - 1;
      step->after = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      g_array_append_val (step->after, before);
    }
  }
  return job;
}

void
world_jobs_free (gpointer data)
{
  WorldCallerJob *job = data;

  vp_jobspec_unref (job->spec);
  g_hash_table_unref (job->done);
  g_hash_table_unref (job->noted);
  g_hash_table_unref (job->started);
  g_free (job);
}
