/* Benchmark of a DC's scheduler: decision time, placement rate, packing, shares, waiting times,
 * memory.
 *
 *   bench-sched            prints one JSON object {"measure","value","unit"} per line, and
 *                          points of curves as {"curve","series","x","y"}
 *
 * Decision times are real times; packing, shares and waiting times are measured in simulated time.
 * All random choices have fixed seeds.
 */
#include "vp-sched.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICK_MS 10 /* step of simulated time */

typedef struct {
  VpAttempt attempt;
  VpResources size;
  bool is_checkpoint;
} RunningTask;

typedef struct {
  VpSched *sched;
  VpConfig *config;
  GRand *rand;
  GArray *decisions;
  GArray *decide_times; /* double; us of each call of vp_sched_decide(); only with simulated time */
  GArray *running;      /* RunningTask, unordered; only without simulated time */
  GArray **ends_by_tick; /* RunningTask, by the tick of its end; only with simulated time */
  uint32_t tick_count;
  int64_t now_ms;
  uint64_t last_task;
} Bench;

typedef struct {
  uint32_t worker_count;
  uint32_t team_count;
  uint32_t slot_count;
  VpResources worker_size;
  bool has_accels;
  bool has_shares; /* the share of team i is 1 + i % 4 instead of 1 */
  bool is_first_fit;
  bool is_fifo;
  uint32_t tick_count;
} BenchDesc;

static void
_print (const char *measure, double value, const char *unit)
{
  printf ("{\"measure\":\"%s\",\"value\":%.4g,\"unit\":\"%s\"}\n", measure, value, unit);
  fflush (stdout);
}

static void
_print_point (const char *curve, const char *series, double x, double y)
{
  printf ("{\"curve\":\"%s\",\"series\":\"%s\",\"x\":%.6g,\"y\":%.6g}\n", curve, series, x, y);
}

static int64_t
_clock_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static int
_compare (const void *a, const void *b)
{
  double left = *(const double *)a, right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static double
_quantile (GArray *values, double quantile)
{
  if (values->len == 0)
    return 0.0;
  qsort (values->data, values->len, sizeof (double), _compare);
  return g_array_index (values, double, (guint)(quantile * (values->len - 1)));
}

static VpConfig *
_config (const BenchDesc *desc)
{
  static const VpProfile profiles[] = {
    { .name = "batch", .kind = VP_PROFILE_BATCH, .is_preemptible = true },
    { .name = "service", .kind = VP_PROFILE_SERVICE, .priority = 50 },
    { .name = "urgent", .kind = VP_PROFILE_SERVICE, .priority = 100 },
  };
  VpConfig *config = vp_config_new_empty ();

  for (uint32_t i = 0; i < desc->team_count; i++) {
    VpTeam team = { .share = 1, .limit = { INT64_MAX / 4, INT64_MAX / 4, INT64_MAX / 4 } };

    team.queue_max = 1000000;
    if (desc->has_shares)
      team.share += i % 4;
    g_snprintf (team.name, sizeof team.name, "team-%02u", i);
    g_array_append_val (config->teams, team);
  }
  g_array_append_vals (config->profiles, profiles, G_N_ELEMENTS (profiles));
  return config;
}

static Bench *
_bench_new (const BenchDesc *desc)
{
  Bench *bench = g_new0 (Bench, 1);

  bench->now_ms = 1000000;
  bench->rand = g_rand_new_with_seed (11);
  bench->decisions = g_array_new (FALSE, FALSE, sizeof (VpDecision));
  bench->decide_times = g_array_new (FALSE, FALSE, sizeof (double));
  bench->running = g_array_new (FALSE, FALSE, sizeof (RunningTask));
  bench->config = _config (desc);
  bench->sched = vp_sched_setup (
      &(VpSchedDesc){ .dc = "nadi", .is_first_fit = desc->is_first_fit, .is_fifo = desc->is_fifo });
  vp_sched_set_config (bench->sched, bench->config, bench->now_ms);
  for (uint32_t i = 0; i < desc->team_count; i++) {
    const VpTeam *team = &g_array_index (bench->config->teams, VpTeam, i);

    vp_sched_set_grant (bench->sched, team->name, &team->limit, bench->now_ms);
  }
  for (uint32_t i = 0; i < desc->worker_count; i++) {
    VpVm vm = { .size = desc->worker_size, .slot_count = desc->slot_count, .generation = 1 };

    /* On average 850 accelerators per 820 workers; a worker has none or eight. */
    if (desc->has_accels)
      vm.size.accel_count = (int64_t)((i + 1) * 850 / 820 / 8 - i * 850 / 820 / 8) * 8;
    g_snprintf (vm.name, sizeof vm.name, "w-%04u", i);
    g_snprintf (vm.rack, sizeof vm.rack, "r-%04u", i / 8);
    vp_sched_worker_update (bench->sched, &vm, bench->now_ms);
    vp_sched_worker_ready (bench->sched, vm.name, bench->now_ms);
  }
  bench->tick_count = desc->tick_count;
  bench->ends_by_tick = g_new0 (GArray *, desc->tick_count + 1);
  for (uint32_t i = 0; i < desc->tick_count; i++)
    bench->ends_by_tick[i] = g_array_new (FALSE, FALSE, sizeof (RunningTask));
  return bench;
}

static void
_bench_free (Bench *bench)
{
  for (uint32_t i = 0; i < bench->tick_count; i++)
    g_array_unref (bench->ends_by_tick[i]);
  g_free (bench->ends_by_tick);
  vp_sched_shutdown (bench->sched);
  vp_config_unref (bench->config);
  g_array_unref (bench->decisions);
  g_array_unref (bench->decide_times);
  g_array_unref (bench->running);
  g_rand_free (bench->rand);
  g_free (bench);
}

static VpReason
_submit (Bench *bench, uint32_t team, const char *profile, VpResources size)
{
  VpJobSpec job = { .first_attempt = 1, .size = size, .task_count = 1, .is_repeatable = true };
  uint64_t task = ++bench->last_task;

  /* Real identities are hashes, so the bits are mixed for the hash table. */
  job.task = (VpTaskId){ task, task * UINT64_C (0x9e3779b97f4a7c15) };
  job.arrived_ms = bench->now_ms;
  g_snprintf (job.team, sizeof job.team, "team-%02u", team);
  g_strlcpy (job.profile, profile, sizeof job.profile);
  return vp_sched_submit (bench->sched, &job, bench->now_ms);
}

/* Returns a small or medium size, typical of services and batch work, in steps of 1/8 CPU. */
static VpResources
_random_small_size (GRand *rand)
{
  VpResources size
      = { g_rand_int_range (rand, 1, 16) * 125, g_rand_int_range (rand, 1, 32) * 256, 0 };

  if (g_rand_int_range (rand, 0, 40) == 0)
    size.accel_count = 1;
  return size;
}

static void
_submit_small (Bench *bench)
{
  uint32_t team = (uint32_t)g_rand_int_range (bench->rand, 0, (gint32)bench->config->teams->len);
  bool is_service = g_rand_int_range (bench->rand, 0, 5) == 0;

  _submit (bench, team, is_service ? "service" : "batch", _random_small_size (bench->rand));
}

/* Reports the starts of the last decision as started and returns their number. */
static guint
_confirm_starts (Bench *bench)
{
  guint count = 0;

  for (guint i = 0; i < bench->decisions->len; i++) {
    const VpDecision *decision = &g_array_index (bench->decisions, VpDecision, i);
    RunningTask end = { decision->attempt, decision->size, false };

    if (decision->kind != VP_DECISION_START)
      continue;
    vp_sched_started (bench->sched, &decision->attempt, bench->now_ms);
    g_array_append_val (bench->running, end);
    count++;
  }
  return count;
}

static int64_t
_decide (Bench *bench)
{
  int64_t before_ns = _clock_ns ();

  g_array_set_size (bench->decisions, 0);
  vp_sched_decide (bench->sched, bench->now_ms, bench->decisions);
  return _clock_ns () - before_ns;
}

static void
_end_one (Bench *bench)
{
  guint at = (guint)g_rand_int_range (bench->rand, 0, (gint32)bench->running->len);
  VpAttempt attempt = g_array_index (bench->running, RunningTask, at).attempt;

  g_array_remove_index_fast (bench->running, at);
  vp_sched_ended (bench->sched, &attempt, VP_END_DONE, false, bench->now_ms);
}

static Bench *
_bench_new_filled (uint32_t worker_count, uint32_t task_count, bool is_first_fit)
{
  BenchDesc desc = { .worker_count = worker_count, .team_count = 43, .slot_count = 64 };
  Bench *bench;

  desc.worker_size = (VpResources){ 32000, 131072, 0 };
  desc.has_accels = true;
  desc.is_first_fit = is_first_fit;
  bench = _bench_new (&desc);
  while (bench->running->len < task_count) {
    for (int i = 0; i < 200 && bench->running->len + (guint)i < task_count; i++)
      _submit_small (bench);
    _decide (bench);
    _confirm_starts (bench);
    bench->now_ms++;
  }
  return bench;
}

/* Measures single placements: one task ends, one is submitted, and one decision is timed. */
static void
_measure_single (Bench *bench, int count, double *p50_us, double *p99_us)
{
  GArray *decide_times = g_array_new (FALSE, FALSE, sizeof (double));

  for (int i = 0; i < count; i++) {
    double time_us;

    _end_one (bench);
    _submit_small (bench);
    time_us = (double)_decide (bench) / 1000.0;
    g_array_append_val (decide_times, time_us);
    _confirm_starts (bench);
    bench->now_ms += 3;
  }
  *p50_us = _quantile (decide_times, 0.5);
  *p99_us = _quantile (decide_times, 0.99);
  g_array_unref (decide_times);
}

static void
_measure_decisions (void)
{
  Bench *bench = _bench_new_filled (820, 20000, false);
  double p50_us, p99_us;
  int64_t before_ns;
  guint count = 0;

  _measure_single (bench, 20000, &p50_us, &p99_us);
  _print ("decide_p50", p50_us, "us");
  _print ("decide_p99", p99_us, "us");
  /* Tasks of many sizes that can't be placed, as no worker has enough free capacity. */
  for (uint32_t i = 0; i < 20000; i++) {
    VpResources size = { 28000 + g_rand_int_range (bench->rand, 0, 4000), 1024, 0 };

    _submit (bench, i % 43, "batch", size);
  }
  _measure_single (bench, 10000, &p50_us, &p99_us);
  _print ("decide_p50_full_queue", p50_us, "us");
  _print ("decide_p99_full_queue", p99_us, "us");
  _bench_free (bench);

  bench = _bench_new_filled (820, 0, false);
  before_ns = _clock_ns ();
  while (count < 20000) {
    for (int i = 0; i < 500; i++)
      _submit_small (bench);
    do {
      _decide (bench);
      count += _confirm_starts (bench);
    } while (bench->decisions->len > 0);
  }
  _print ("placements_per_second", count * 1e9 / (double)(_clock_ns () - before_ns), "1/s");
  _bench_free (bench);
}

/* Measures the median time of a decision for several numbers of workers, and the exponent of its
 * growth. */
static void
_measure_growth (bool is_first_fit)
{
  static const uint32_t workers[] = { 50, 137, 820, 2500, 8000 };
  const char *suffix = is_first_fit ? "_first_fit" : "";
  const int count = G_N_ELEMENTS (workers);
  double mean_x = 0.0, mean_y = 0.0, numerator = 0.0, denominator = 0.0;
  double x[G_N_ELEMENTS (workers)], y[G_N_ELEMENTS (workers)];

  for (int i = 0; i < count; i++) {
    Bench *bench = _bench_new_filled (workers[i], workers[i] * 24, is_first_fit);
    g_autofree char *name = g_strdup_printf ("decide_p50_%u_workers%s", workers[i], suffix);
    double p99_us;

    _measure_single (bench, 5000, &y[i], &p99_us);
    _print (name, y[i], "us");
    _print_point ("decision-time", is_first_fit ? "p50 first fit" : "p50", workers[i], y[i]);
    _print_point ("decision-time", is_first_fit ? "p99 first fit" : "p99", workers[i], p99_us);
    x[i] = log ((double)workers[i]);
    y[i] = log (y[i]);
    mean_x += x[i] / count;
    mean_y += y[i] / count;
    _bench_free (bench);
  }
  for (int i = 0; i < count; i++) {
    numerator += (x[i] - mean_x) * (y[i] - mean_y);
    denominator += (x[i] - mean_x) * (x[i] - mean_x);
  }
  _print (is_first_fit ? "decide_growth_exponent_first_fit" : "decide_growth_exponent",
          numerator / denominator, "slope");
}

static void
_schedule_end (Bench *bench, int64_t delay_ms, const RunningTask *end)
{
  int64_t tick = (bench->now_ms - 1000000 + delay_ms) / TICK_MS + 1;

  if (tick < (int64_t)bench->tick_count)
    g_array_append_val (bench->ends_by_tick[tick], *end);
}

/* Ends the tasks that are due at this tick and makes decisions. A checkpointed task ends after
 * 200 ms. */
static void
_run_tick (Bench *bench, uint32_t tick, int64_t mean_ms, GArray *urgent_waits)
{
  GArray *ends_by_tick = bench->ends_by_tick[tick];

  bench->now_ms = 1000000 + (int64_t)tick * TICK_MS;
  for (guint i = 0; i < ends_by_tick->len; i++) {
    const RunningTask *end = &g_array_index (ends_by_tick, RunningTask, i);

    vp_sched_ended (bench->sched, &end->attempt,
                    end->is_checkpoint ? VP_END_CHECKPOINTED : VP_END_DONE, false, bench->now_ms);
  }
  do {
    double time_us = (double)_decide (bench) / 1000.0;

    g_array_append_val (bench->decide_times, time_us);
    for (guint i = 0; i < bench->decisions->len; i++) {
      const VpDecision *decision = &g_array_index (bench->decisions, VpDecision, i);
      RunningTask end = { decision->attempt, decision->size, decision->kind != VP_DECISION_START };
      double wait_ms = (double)decision->waited_ms;

      if (end.is_checkpoint) {
        _schedule_end (bench, 200, &end);
        continue;
      }
      vp_sched_started (bench->sched, &decision->attempt, bench->now_ms);
      if (strcmp (decision->profile, "urgent") == 0 && urgent_waits != NULL)
        g_array_append_val (urgent_waits, wait_ms);
      _schedule_end (bench,
                     g_rand_int_range (bench->rand, (gint32)mean_ms / 2, (gint32)mean_ms * 3 / 2),
                     &end);
    }
  } while (bench->decisions->len >= 256);
}

/* Returns a size of a mix without accelerators that demands more of the CPUs than of the memory. */
static VpResources
_random_mixed_size (GRand *rand)
{
  static const struct {
    VpResources size;
    int weight;
  } mix[] = {
    { { 500, 1024, 0 }, 20 },   { { 1000, 8192, 0 }, 20 },  { { 2000, 2048, 0 }, 20 },
    { { 3000, 16384, 0 }, 14 }, { { 6000, 8192, 0 }, 12 },  { { 8000, 24576, 0 }, 8 },
    { { 14000, 8192, 0 }, 4 },  { { 20000, 65536, 0 }, 2 },
  };
  int at = g_rand_int_range (rand, 0, 100);
  guint i = 0;

  while (at >= mix[i].weight)
    at -= mix[i++].weight;
  return mix[i].size;
}

/* Submits tasks until 40 of each team are waiting. Tasks of the last team need one or two
 * accelerators, tasks of the other teams none. */
static void
_submit_mixed (Bench *bench)
{
  GArray *teams = g_array_new (FALSE, FALSE, sizeof (VpSchedTeamStatus));

  vp_sched_team_statuses (bench->sched, bench->now_ms, teams);
  for (uint32_t i = 0; i < teams->len; i++) {
    for (uint32_t n = g_array_index (teams, VpSchedTeamStatus, i).waiting_count; n < 40; n++) {
      VpResources size = { 4000, 16384, 1 };

      if (i + 1 < teams->len)
        size = _random_mixed_size (bench->rand);
      else if (g_rand_int_range (bench->rand, 0, 4) == 0)
        vp_resources_scale (&size, 2);
      _submit (bench, i, "batch", size);
    }
  }
  g_array_unref (teams);
}

/* Measures the allocated shares of the accelerators, which are the bottleneck, and of the CPUs, in
 * percent, in a DC where work is always waiting. Returns the share of the accelerators. */
static double
_measure_packing (bool is_first_fit)
{
  BenchDesc desc = { .worker_count = 100, .team_count = 8, .slot_count = 64, .tick_count = 12000 };
  double accels = 0.0, cpus = 0.0;
  uint32_t half = desc.tick_count / 2;
  Bench *bench;

  desc.worker_size = (VpResources){ 32000, 131072, 0 };
  desc.has_accels = true;
  desc.is_first_fit = is_first_fit;
  bench = _bench_new (&desc);
  for (uint32_t tick = 0; tick < desc.tick_count; tick++) {
    VpResources total, used;

    _submit_mixed (bench);
    _run_tick (bench, tick, 10000, NULL);
    vp_sched_totals (bench->sched, &total, &used);
    if (tick < half)
      continue;
    accels += 100.0 * (double)used.accel_count / (double)total.accel_count / half;
    cpus += 100.0 * (double)used.cpu_milli / (double)total.cpu_milli / half;
  }
  _print (is_first_fit ? "packing_first_fit" : "packing", accels, "percent");
  _print (is_first_fit ? "packing_cpu_first_fit" : "packing_cpu", cpus, "percent");
  _bench_free (bench);
  return accels;
}

/* Measures the largest distance of a team from its share of a full DC, in percentage points, over
 * windows of 60 s. */
static void
_measure_shares (bool is_fifo)
{
  BenchDesc desc = { .worker_count = 100, .team_count = 43, .slot_count = 64, .tick_count = 18000 };
  const char *const measures[] = { "share_distance_takeover", "share_distance" };
  double sums[43] = { 0 }, total_share = 0.0;
  Bench *bench;

  desc.worker_size = (VpResources){ 32000, 131072, 0 };
  desc.has_shares = true;
  desc.is_fifo = is_fifo;
  bench = _bench_new (&desc);
  for (uint32_t i = 0; i < 43; i++)
    total_share += 1 + i % 4;
  for (uint32_t tick = 0; tick < desc.tick_count; tick++) {
    g_autoptr (GArray) teams = g_array_new (FALSE, FALSE, sizeof (VpSchedTeamStatus));
    g_autofree char *name = NULL;
    double worst = 0.0, largest = 0.0;
    VpResources total, used;

    vp_sched_totals (bench->sched, &total, &used);
    vp_sched_team_statuses (bench->sched, bench->now_ms, teams);
    for (guint i = 0; i < teams->len; i++) {
      const VpSchedTeamStatus *team = &g_array_index (teams, VpSchedTeamStatus, i);
      double share_percent = 100.0 * vp_resources_dominant_share (&team->used, &total);

      sums[i] += share_percent;
      largest = MAX (largest, fabs (share_percent - 100.0 * (1 + i % 4) / total_share));
      /* For the first 60 s only the first team submits work, then all teams do. */
      for (uint32_t n = team->waiting_count; n < 200 && (i == 0 || tick >= 6000); n++)
        _submit (bench, i, "batch", (VpResources){ 500 + 250 * (int64_t)(i % 5), 1024, 0 });
    }
    if (tick >= 5500 && tick % 25 == 0)
      _print_point ("share", is_fifo ? "one FIFO queue" : "shares", tick * TICK_MS / 1000.0,
                    largest);
    _run_tick (bench, tick, 5000, NULL);
    if (tick % 6000 != 5999)
      continue;
    for (uint32_t i = 0; i < 43; i++) {
      worst = MAX (worst, fabs (sums[i] / 6000.0 - 100.0 * (1 + i % 4) / total_share));
      sums[i] = 0.0;
    }
    if (tick < 6000)
      continue;
    name = g_strconcat (measures[tick < 12000 ? 0 : 1], is_fifo ? "_fifo" : "", NULL);
    _print (name, worst, "points");
  }
  _bench_free (bench);
}

/* Measures waiting times of urgent tasks in a DC that batch work keeps full, and the time of
 * decisions that preempt batch tasks for them. */
static void
_measure_waiting (bool is_fifo)
{
  BenchDesc desc = { .worker_count = 820, .team_count = 43, .slot_count = 64, .tick_count = 6000 };
  GArray *waits = g_array_new (FALSE, FALSE, sizeof (double));
  double started_percent;
  Bench *bench;

  desc.worker_size = (VpResources){ 32000, 131072, 0 };
  desc.is_fifo = is_fifo;
  bench = _bench_new (&desc);
  for (int i = 0; i < 30000; i++)
    _submit (bench, (uint32_t)i % 43, "batch", (VpResources){ 1500, 4096, 0 });
  for (uint32_t tick = 0; tick < desc.tick_count; tick++) {
    bench->now_ms = 1000000 + (int64_t)tick * TICK_MS;
    if (tick == 1000)
      g_array_set_size (bench->decide_times, 0); /* the DC is full from here on */
    for (int i = 0; i < 7; i++)
      _submit (bench, (uint32_t)g_rand_int_range (bench->rand, 0, 43), "batch",
               (VpResources){ 1500, 4096, 0 });
    _submit (bench, tick % 43, "urgent", (VpResources){ 1000, 2048, 0 });
    _run_tick (bench, tick, 30000, waits);
  }
  started_percent = 100.0 * waits->len / desc.tick_count;
  /* A task that didn't start counts with the duration of the simulation. */
  for (int i = 1; i < 100; i++) {
    double at = i / 100.0 * desc.tick_count / MAX (1, waits->len);

    _print_point ("waiting", is_fifo ? "one FIFO queue" : "priorities and shares", i,
                  at < 1.0 ? _quantile (waits, at) : (double)desc.tick_count * TICK_MS);
  }
  _print (is_fifo ? "urgent_started_fifo" : "urgent_started", started_percent, "percent");
  _print (is_fifo ? "urgent_wait_p50_fifo" : "urgent_wait_p50", _quantile (waits, 0.5), "ms");
  _print (is_fifo ? "urgent_wait_p99_fifo" : "urgent_wait_p99", _quantile (waits, 0.99), "ms");
  if (!is_fifo)
    _print ("decide_p99_preempting", _quantile (bench->decide_times, 0.99), "us");
  g_array_unref (waits);
  _bench_free (bench);
}

static void
_measure_memory (void)
{
  BenchDesc desc = { .worker_count = 8000, .team_count = 43, .slot_count = 64 };
  size_t before = mallinfo2 ().uordblks, with_workers, with_tasks;
  uint32_t count = 0;
  Bench *bench;

  desc.worker_size = (VpResources){ 32000, 131072, 0 };
  bench = _bench_new (&desc);
  with_workers = mallinfo2 ().uordblks;
  while (count < 20000) {
    for (int i = 0; i < 200; i++)
      _submit (bench, (uint32_t)i % 43, "batch", (VpResources){ 500, 1024, 0 });
    _decide (bench);
    count += bench->decisions->len;
  }
  with_tasks = mallinfo2 ().uordblks;
  _print ("bytes_per_worker", (double)(with_workers - before) / 8000.0, "bytes");
  _print ("bytes_per_task", (double)(with_tasks - with_workers) / count, "bytes");
  _bench_free (bench);
}

int
main (void)
{
  double packing;

  _measure_memory ();
  _measure_decisions ();
  _measure_growth (false);
  _measure_growth (true);
  packing = _measure_packing (false);
  _print ("packing_over_first_fit", packing - _measure_packing (true), "points");
  _measure_shares (false);
  _measure_shares (true);
  _measure_waiting (false);
  _measure_waiting (true);
  return 0;
}
