/* Replay of an overload, without a network: an event loop over the real queue of waiting steps with
 * a number of cores, arrivals, true durations, wrong estimates, and overheads that no estimate
 * contains.
 *
 *   OverloadScore score = { 0 };
 *   overload_replay (&(OverloadLoad){ .burst_factor = 5, .seed = 1 }, &score);  // adds to @score
 *   overload_print ("x5", &score);
 *
 * Urgent jobs: 1.6 steps of 10 tasks with a mean of 0.8 s, objective 1.5 times the longest chain
 * plus 250 ms. Batch jobs: 2.5 s, objective 2.2 times the chain plus 1,200 ms. Each task uses one
 * core. Durations have a standard deviation of 0.5 of the logarithm between jobs and of 0.3 between
 * the tasks of a step, and 3 of 100 tasks take 7 times as long. Estimates have an error of 0.9 of
 * the logarithm.
 */
#pragma once

#include "vp-forecast-private.h"
#include "vp-stepqueue.h"

#include <math.h>
#include <stdio.h>

#define OVERLOAD_START_MS        1000000
#define OVERLOAD_TICK_MS         10
#define OVERLOAD_WARM_MS         8000 /* usual load before the burst */
#define OVERLOAD_BURST_MS        8000
#define OVERLOAD_AFTER_MS        25000 /* usual load after the burst */
#define OVERLOAD_CORES           200
#define OVERLOAD_STEP_MEAN       1.6
#define OVERLOAD_TASK_MEAN       10
#define OVERLOAD_STRAGGLER_SHARE 0.03
#define OVERLOAD_STRAGGLER_TIMES 7.0
/* A task occupies its core for this long beside its duration: advice, commit, start, and the delay
 * until its end is known. */
#define OVERLOAD_OVERHEAD_MS 200
/* Work of urgent jobs before and after the burst, and of batch jobs, relative to the capacity. */
#define OVERLOAD_USUAL_FACTOR 0.5
#define OVERLOAD_BATCH_FACTOR 0.25

typedef struct {
  double burst_factor; /* work of the urgent jobs in the burst, relative to the capacity */
  uint32_t seed;
  const VpStepQueueOrder *order;  /* NULL: the default */
  const VpForecastPolicy *policy; /* NULL: the default */
} OverloadLoad;

/* Counts of jobs by result. */
typedef struct {
  uint32_t jobs;
  uint32_t in_time;
  uint32_t late; /* up to three times the objective */
} OverloadShare;

typedef struct {
  OverloadShare urgent; /* urgent jobs of the burst */
  OverloadShare tenth;  /* the tenth of them with most work */
  OverloadShare fifth;  /* the fifth below it */
  OverloadShare batch;
  int64_t decide_us;
  uint32_t decisions;
} OverloadScore;

typedef struct {
  VpJob *job;
  bool is_urgent;
  bool is_in_burst;
  int64_t arrived_ms;
  int64_t ended_ms; /* 0: hasn't ended */
  int64_t chain_ms; /* sum of the longest task of each step */
  double work_ms;   /* sum over all tasks */
  uint32_t task_count;
  uint32_t ended_count;
  uint32_t first_tasks[4]; /* index in @durations_ms of the first task of each step */
  GArray *durations_ms;    /* int64_t */
} OverloadJob;

typedef struct {
  const OverloadLoad *load;
  GRand *rand;
  VpWorkerList *worker_list;
  VpCellWorker *worker; /* stands for all workers */
  VpJobList *jobs;
  VpCellConfig *config;
  VpForecast *forecast;
  GPtrArray *overload_jobs; /* OverloadJob; the identity of a job is its index plus 1 */
  GPtrArray **ends;         /* for each tick the VpJobTask whose end is known then */
  int64_t tick_count;
  uint32_t free_cores;
} Overload;

static double
_overload_normal (GRand *rand)
{
  return sqrt (-2 * log (1 - g_rand_double (rand))) * cos (2 * G_PI * g_rand_double (rand));
}

/* Returns a factor with a mean of 1 and the standard deviation @sigma of its logarithm. */
static double
_overload_factor (GRand *rand, double sigma)
{
  return exp (sigma * _overload_normal (rand) - sigma * sigma / 2);
}

static void
_overload_job_free (gpointer data)
{
  OverloadJob *job = data;

  g_array_unref (job->durations_ms);
  g_free (job);
}

static OverloadJob *
_overload_job_of (const Overload *overload, const VpJobStep *step)
{
  return overload->overload_jobs->pdata[step->occurrence->job->spec->id - 1];
}

/* Draws the durations of the tasks of the step. */
static void
_overload_draw_tasks (Overload *overload, OverloadJob *job, uint32_t count, double mean_ms)
{
  const double straggler_mean = 1 + OVERLOAD_STRAGGLER_SHARE * (OVERLOAD_STRAGGLER_TIMES - 1);
  int64_t longest_ms = 0;

  for (uint32_t i = 0; i < count; i++) {
    double drawn_ms = mean_ms / straggler_mean * _overload_factor (overload->rand, 0.3);
    int64_t duration_ms;
    if (g_rand_double (overload->rand) < OVERLOAD_STRAGGLER_SHARE)
      drawn_ms *= OVERLOAD_STRAGGLER_TIMES;
    duration_ms = (int64_t)MAX (drawn_ms, 10);
    g_array_append_val (job->durations_ms, duration_ms);
    job->work_ms += drawn_ms;
    longest_ms = MAX (longest_ms, duration_ms);
  }
  job->task_count += count;
  job->chain_ms += longest_ms;
}

static VpJobSpec *
_overload_draw_spec (Overload *overload, OverloadJob *job)
{
  double drawn = g_rand_double (overload->rand);
  uint32_t step_count = drawn < 0.55 ? 1 : drawn < 0.85 ? 2 : 3;
  double mean_ms = (job->is_urgent ? 800 : 2500) * _overload_factor (overload->rand, 0.5);
  double estimate_ms = mean_ms * exp (0.9 * _overload_normal (overload->rand));
  VpJobSpec *spec = vp_jobspec_new (step_count);

  spec->id = overload->overload_jobs->len + 1;
  spec->text = g_strdup ("text");
  g_strlcpy (spec->queue, job->is_urgent ? "urgent" : "batch", sizeof spec->queue);
  for (uint32_t s = 0; s < step_count; s++) {
    double tasks = OVERLOAD_TASK_MEAN * _overload_factor (overload->rand, 0.6);
    uint32_t before = s - 1;
    VpStepSpec *step = &spec->steps[s];
    step->task_count = (uint32_t)CLAMP (lround (tasks), 1, 60);
    step->size.cpu_milli = 1000;
    step->estimate_ms = (int64_t)MAX (estimate_ms, 10);
    job->first_tasks[s] = job->task_count;
    _overload_draw_tasks (overload, job, step->task_count,
                          mean_ms * _overload_factor (overload->rand, 0.2));
    if (s == 0)
      continue;
    step->after = g_array_new (FALSE, FALSE, sizeof (uint32_t));
    g_array_append_val (step->after, before);
  }
  return spec;
}

static void
_overload_arrive (Overload *overload, bool is_urgent, bool is_in_burst, int64_t now_ms)
{
  OverloadJob *job = g_new0 (OverloadJob, 1);
  g_autoptr (VpJobSpec) spec = NULL;

  job->is_urgent = is_urgent;
  job->is_in_burst = is_in_burst;
  job->arrived_ms = now_ms;
  job->durations_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  spec = _overload_draw_spec (overload, job);
  g_ptr_array_add (overload->overload_jobs, job);
  job->job = vp_joblist_add (overload->jobs, spec, now_ms, now_ms);
  job->job->is_durable = true;
}

/* Lets jobs arrive up to @now_ms at a rate of @factor times the capacity. */
static void
_overload_arrivals (Overload *overload,
                    bool is_urgent,
                    double factor,
                    bool is_in_burst,
                    double *next_ms,
                    int64_t now_ms)
{
  double core_ms
      = OVERLOAD_STEP_MEAN * OVERLOAD_TASK_MEAN * ((is_urgent ? 800 : 2500) + OVERLOAD_OVERHEAD_MS);
  double mean_ms = core_ms / (OVERLOAD_CORES * factor);

  for (; *next_ms <= (double)now_ms; *next_ms -= mean_ms * log (1 - g_rand_double (overload->rand)))
    _overload_arrive (overload, is_urgent, is_in_burst, now_ms);
}

static void
_overload_end_tasks (Overload *overload, const GPtrArray *tasks, int64_t now_ms)
{
  for (guint i = 0; tasks != NULL && i < tasks->len; i++) {
    VpJobTask *task = tasks->pdata[i];
    VpJobStep *step = task->step;
    OverloadJob *job = _overload_job_of (overload, step);
    int64_t duration_ms
        = g_array_index (job->durations_ms, int64_t, job->first_tasks[step->index] + task->index);
    VpForecastKey key;
    vp_jobstep_forecast_key (step, &key);
    vp_forecast_record (overload->forecast, &key, duration_ms, 1, now_ms);
    step->duration_max_ms = MAX (step->duration_max_ms, duration_ms);
    vp_jobtask_end (overload->jobs, task, VP_RUN_DONE, 3, now_ms);
    overload->free_cores++;
    if (++job->ended_count == job->task_count)
      job->ended_ms = now_ms;
  }
}

static void
_overload_start_task (Overload *overload, VpJobTask *task, int64_t now_ms)
{
  const OverloadJob *job = _overload_job_of (overload, task->step);
  int64_t end_ms = now_ms - OVERLOAD_START_MS + OVERLOAD_OVERHEAD_MS
                   + g_array_index (job->durations_ms, int64_t,
                                    job->first_tasks[task->step->index] + task->index);
  int64_t tick = (end_ms + OVERLOAD_TICK_MS - 1) / OVERLOAD_TICK_MS;

  vp_jobtask_assign (overload->jobs, task, overload->worker, 1, now_ms);
  overload->free_cores--;
  if (tick >= overload->tick_count)
    return;
  if (overload->ends[tick] == NULL)
    overload->ends[tick] = g_ptr_array_new ();
  g_ptr_array_add (overload->ends[tick], task);
}

static void
_overload_place (Overload *overload, int64_t now_ms)
{
  VpStepQueueDesc desc = { .order = overload->load->order,
                           .worker_list = overload->worker_list,
                           .jobs = overload->jobs,
                           .config = overload->config,
                           .forecast = overload->forecast };
  VpStepQueue step_queue;

  vp_stepqueue_setup (&step_queue, &desc, now_ms);
  for (guint i = 0; i < step_queue.items->len && overload->free_cores > 0; i++) {
    VpJobStep *step = g_array_index (step_queue.items, VpStepQueueItem, i).step;
    for (uint32_t k = 0; k < step->spec->task_count && overload->free_cores > 0; k++) {
      if (step->tasks[k].phase == VP_PHASE_WAITING)
        _overload_start_task (overload, &step->tasks[k], now_ms);
    }
  }
  vp_stepqueue_shutdown (&step_queue);
}

static void
_overload_add_queue (VpCellConfig *config,
                     const char *name,
                     int32_t priority,
                     double stretch,
                     int64_t latency_target_ms)
{
  VpQueueConfig queue = { .priority = priority,
                          .stretch = stretch,
                          .latency_target_ms = latency_target_ms,
                          .has_advice = true,
                          .advice_decide_ms = 80 };

  g_strlcpy (queue.name, name, sizeof queue.name);
  g_strlcpy (queue.service, "service", sizeof queue.service);
  g_array_append_val (config->queues, queue);
}

static void
_overload_setup (Overload *overload, const OverloadLoad *load)
{
  static const VpWorkerEntry entry = { .id = "worker",
                                       .service = "service",
                                       .capacity = { .cpu_milli = 1000 * OVERLOAD_CORES } };

  *overload = (Overload){ .load = load, .free_cores = OVERLOAD_CORES };
  overload->rand = g_rand_new_with_seed (load->seed);
  overload->worker_list = vp_workerlist_setup (6000, OVERLOAD_START_MS);
  overload->worker = vp_workerlist_update (overload->worker_list, &entry);
  overload->jobs = vp_joblist_setup ();
  overload->config = vp_cellconfig_new (1);
  _overload_add_queue (overload->config, "urgent", 0, 1.5, 250);
  _overload_add_queue (overload->config, "batch", 2, 2.2, 1200);
  vp_cellconfig_seal (overload->config);
  overload->forecast = vp_forecast_setup (load->policy);
  overload->overload_jobs = g_ptr_array_new_with_free_func (_overload_job_free);
  overload->tick_count
      = (OVERLOAD_WARM_MS + OVERLOAD_BURST_MS + OVERLOAD_AFTER_MS) / OVERLOAD_TICK_MS;
  overload->ends = g_new0 (GPtrArray *, (gsize)overload->tick_count);
}

static void
_overload_teardown (Overload *overload)
{
  for (int64_t tick = 0; tick < overload->tick_count; tick++)
    g_clear_pointer (&overload->ends[tick], g_ptr_array_unref);
  g_free (overload->ends);
  g_ptr_array_unref (overload->overload_jobs);
  vp_joblist_shutdown (overload->jobs);
  vp_workerlist_shutdown (overload->worker_list);
  vp_forecast_shutdown (overload->forecast);
  vp_cellconfig_unref (overload->config);
  g_rand_free (overload->rand);
}

static void
_overload_count (const OverloadJob *job, OverloadShare *share)
{
  double objective_ms
      = job->is_urgent ? 1.5 * (double)job->chain_ms + 250 : 2.2 * (double)job->chain_ms + 1200;
  double took_ms = (double)(job->ended_ms - job->arrived_ms);

  share->jobs++;
  if (job->ended_ms == 0 || took_ms > 3 * objective_ms)
    return;
  share->in_time += took_ms <= objective_ms ? 1 : 0;
  share->late += took_ms > objective_ms ? 1 : 0;
}

static gint
_overload_compare_work (gconstpointer a, gconstpointer b)
{
  const OverloadJob *one = *(OverloadJob *const *)a;
  const OverloadJob *two = *(OverloadJob *const *)b;

  return one->work_ms == two->work_ms ? 0 : one->work_ms < two->work_ms ? 1 : -1;
}

static void
_overload_score (const Overload *overload, OverloadScore *score)
{
  g_autoptr (GPtrArray) burst = g_ptr_array_new ();
  int64_t until_ms = OVERLOAD_START_MS + OVERLOAD_WARM_MS + OVERLOAD_BURST_MS;

  for (guint i = 0; i < overload->overload_jobs->len; i++) {
    OverloadJob *job = overload->overload_jobs->pdata[i];
    if (job->is_urgent && job->is_in_burst)
      g_ptr_array_add (burst, job);
    if (!job->is_urgent && job->arrived_ms < until_ms)
      _overload_count (job, &score->batch);
  }
  g_ptr_array_sort (burst, _overload_compare_work);
  for (guint i = 0; i < burst->len; i++) {
    _overload_count (burst->pdata[i], &score->urgent);
    if (i < burst->len / 10)
      _overload_count (burst->pdata[i], &score->tenth);
    else if (i < burst->len * 3 / 10)
      _overload_count (burst->pdata[i], &score->fifth);
  }
}

/* Replays the load and adds the results to @score. */
static void
overload_replay (const OverloadLoad *load, OverloadScore *score)
{
  Overload overload;
  double next_urgent_ms = OVERLOAD_START_MS, next_batch_ms = OVERLOAD_START_MS;

  _overload_setup (&overload, load);
  for (int64_t tick = 0; tick < overload.tick_count; tick++) {
    int64_t at_ms = tick * OVERLOAD_TICK_MS;
    int64_t now_ms = OVERLOAD_START_MS + at_ms;
    bool is_in_burst = at_ms >= OVERLOAD_WARM_MS && at_ms < OVERLOAD_WARM_MS + OVERLOAD_BURST_MS;
    int64_t began_us;
    _overload_end_tasks (&overload, overload.ends[tick], now_ms);
    _overload_arrivals (&overload, true, is_in_burst ? load->burst_factor : OVERLOAD_USUAL_FACTOR,
                        is_in_burst, &next_urgent_ms, now_ms);
    _overload_arrivals (&overload, false, OVERLOAD_BATCH_FACTOR, is_in_burst, &next_batch_ms,
                        now_ms);
    if (overload.free_cores == 0)
      continue;
    began_us = g_get_monotonic_time ();
    _overload_place (&overload, now_ms);
    score->decide_us += g_get_monotonic_time () - began_us;
    score->decisions++;
  }
  _overload_score (&overload, score);
  _overload_teardown (&overload);
}

static double
overload_in_time (const OverloadShare *share)
{
  return (double)share->in_time / MAX (share->jobs, 1);
}

/* Share of the jobs whose result had value, in time or late. */
static double
overload_served (const OverloadShare *share)
{
  return (double)(share->in_time + share->late) / MAX (share->jobs, 1);
}

/* Mean value of the jobs: 1 in time, 0.2 late. */
static double
overload_value (const OverloadShare *share)
{
  return (share->in_time + 0.2 * share->late) / MAX (share->jobs, 1);
}

static void
overload_print (const char *name, const OverloadScore *score)
{
  const OverloadShare *urgent = &score->urgent;

  printf ("# %-22s urgent %4u: value %.3f in time %.3f late %.3f worthless %.3f; "
          "in time (served) of the largest tenth %.3f (%.3f), fifth below %.3f (%.3f); "
          "batch %3u: in time %.3f late %.3f; %" G_GINT64_FORMAT " us a decision\n",
          name, urgent->jobs, overload_value (urgent), overload_in_time (urgent),
          overload_served (urgent) - overload_in_time (urgent), 1 - overload_served (urgent),
          overload_in_time (&score->tenth), overload_served (&score->tenth),
          overload_in_time (&score->fifth), overload_served (&score->fifth), score->batch.jobs,
          overload_in_time (&score->batch),
          overload_served (&score->batch) - overload_in_time (&score->batch),
          score->decide_us / MAX (score->decisions, 1));
}
