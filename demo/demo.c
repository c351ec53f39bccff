/* Demo: starts the Lanes and Mbegu deployments of examples/ on loopback addresses, sends each a mix
 * of work, kills an entry process during the load, and reports the outcome of all requests. The
 * exit status is 0 only if no request was lost, no request that is not repeatable ran twice, and no
 * worker was overcommitted. With --write it only writes the settings and VM lists of examples/.
 */
#include "cluster.h"
#include "fake-http.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SEED               20261204
#define SEND_PERIOD_MS     14000 /* time over which the requests are spread */
#define KILL_AFTER_MS      5000  /* after the start of the load */
#define TIMEOUT_MS         32000 /* from the first request to the last outcome */
#define CANCEL_AFTER_MS    24000 /* latest cancellation of endless services */
#define SAMPLE_INTERVAL_MS 500   /* between samples of the running tasks */
#define THREAD_COUNT       128   /* connections per deployment; each has one waiting call */
#define TEAMS_MAX          8

/* One kind of work of one team. */
typedef struct {
  const char *team, *profile;
  uint32_t count, members;
  int64_t cpu_milli, mem_mib, accel_count, run_ms;
  bool is_repeatable, is_waiting;
  bool is_endless; /* runs until it is cancelled */
} WorkKind;

typedef struct {
  const char *team;
  uint32_t sent, answered, refused;
  double share_sum; /* sum over the samples of the dominant share of all DCs' capacity */
} Team;

typedef struct {
  const char *name;
  ClusterDesc desc;
  const WorkKind *work_kinds;
  uint32_t work_kind_count;
  Cluster *cluster;
  ClusterLoad load;
  GPtrArray *endless; /* ClusterRequest */
  Team teams[TEAMS_MAX];
  uint32_t team_count, sample_count;
  double packing_sum, packing_peak;
  int64_t capacity[3];
} Deployment;

static const char *const _demo_lanes_dcs[] = { "nadi", "lautoka", "ba", NULL };
static const char *const _demo_mbegu_dcs[] = { "uyole", "iwambi", "sisimba", NULL };

static const WorkKind _demo_lanes_work[] = {
  { "nadi-lanes", "booking", 240, 1, 500, 256, 0, 30, false, true, false },
  { "lautoka-lanes", "booking", 120, 1, 500, 256, 0, 30, false, true, false },
  { "ba-lanes", "booking", 80, 1, 500, 256, 0, 30, false, true, false },
  { "league", "scoring", 300, 1, 1000, 512, 0, 60, true, true, false },
  { "schools", "scoring", 100, 1, 1000, 512, 0, 60, true, true, false },
  { "quivers", "tag-watcher", 24, 1, 250, 256, 0, 3600000, true, false, true },
  { "league", "season-report", 40, 1, 4000, 4096, 0, 1500, true, false, false },
};

static const WorkKind _demo_mbegu_work[] = {
  { "belts-uyole", "lot-check", 300, 1, 2000, 4096, 0, 50, true, true, false },
  { "belts-iwambi", "lot-check", 200, 1, 2000, 4096, 0, 50, true, true, false },
  { "clerks", "lot-check", 100, 1, 1000, 2048, 0, 80, true, true, false },
  { "buyers", "certificate", 150, 1, 500, 512, 0, 40, true, true, false },
  { "payments", "payout", 120, 1, 1000, 1024, 0, 100, false, false, false },
  { "models", "rebuild", 1000, 1, 8000, 24576, 0, 2000, true, false, false },
  { "models", "train", 3, 2, 8000, 32768, 1, 1500, true, false, false },
};

static Deployment _demo_deployments[] = {
  { .name = "lanes",
    .desc = { .base = 60,
              .dcs = _demo_lanes_dcs,
              .entries_per_dc = 2,
              .worker_count = 50,
              .cpu_milli = 16000,
              .mem_mib = 32768,
              .is_direct = true },
    .work_kinds = _demo_lanes_work,
    .work_kind_count = G_N_ELEMENTS (_demo_lanes_work) },
  { .name = "mbegu",
    .desc = { .base = 61,
              .dcs = _demo_mbegu_dcs,
              .entries_per_dc = 2,
              .worker_count = 50,
              .accel_every = 8,
              .cpu_milli = 32000,
              .mem_mib = 131072,
              .is_direct = true },
    .work_kinds = _demo_mbegu_work,
    .work_kind_count = G_N_ELEMENTS (_demo_mbegu_work) },
};

static struct {
  const char *examples;
  bool writes_only;
} _demo = { .examples = "examples" };

static Team *
_demo_team (Deployment *deployment, const char *name)
{
  for (uint32_t i = 0; i < deployment->team_count; i++) {
    if (strcmp (deployment->teams[i].team, name) == 0)
      return &deployment->teams[i];
  }
  g_assert_cmpuint (deployment->team_count, <, TEAMS_MAX);
  deployment->teams[deployment->team_count] = (Team){ .team = name };
  return &deployment->teams[deployment->team_count++];
}

static void
_demo_fill_request (ClusterRequest *request, const WorkKind *work, uint32_t number, GRand *rand)
{
  request->is_repeatable = work->is_repeatable;
  request->is_waiting = work->is_waiting;
  request->members = work->members;
  request->send_at_ms = work->is_endless ? 0 : g_rand_int_range (rand, 0, SEND_PERIOD_MS);
  g_strlcpy (request->team, work->team, sizeof request->team);
  g_strlcpy (request->profile, work->profile, sizeof request->profile);
  g_snprintf (request->key, sizeof request->key, "%s-key", work->team);
  g_snprintf (request->identity, sizeof request->identity, "%s-%u", work->profile, number);
  request->body = g_strdup_printf (
      "{\"team\":\"%s\",\"profile\":\"%s\",\"size\":{\"cpu_milli\":%" G_GINT64_FORMAT
      ",\"mem_mib\":%" G_GINT64_FORMAT ",\"accel_count\":%" G_GINT64_FORMAT
      "},\"count\":%u,\"repeatable\":%s,\"wait\":%s,\"identity\":\"%s\",\"run_time_ms\":%" //
      G_GINT64_FORMAT ",\"payload\":\"{\\\"run_ms\\\":%" G_GINT64_FORMAT
      ",\\\"answer\\\":\\\"%s\\\"}\"}",
      work->team, work->profile, work->cpu_milli, work->mem_mib, work->accel_count, work->members,
      work->is_repeatable ? "true" : "false", work->is_waiting ? "true" : "false",
      request->identity, work->is_endless ? 0 : work->run_ms, work->run_ms, request->identity);
}

static gint
_demo_compare_send (gconstpointer a, gconstpointer b)
{
  const ClusterRequest *x = a, *y = b;

  return (x->send_at_ms > y->send_at_ms) - (x->send_at_ms < y->send_at_ms);
}

static void
_demo_create_load (Deployment *deployment)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (SEED);
  GArray *requests = g_array_new (FALSE, TRUE, sizeof (ClusterRequest));

  for (uint32_t i = 0; i < deployment->work_kind_count; i++) {
    const WorkKind *work = &deployment->work_kinds[i];
    Team *team = _demo_team (deployment, work->team);
    for (uint32_t j = 0; j < work->count; j++) {
      ClusterRequest request = { 0 };
      /* Callers number their own requests; the index of the row makes the numbers of rows distinct.
       */
      _demo_fill_request (&request, work, i * 10000 + j, rand);
      g_array_append_val (requests, request);
    }
    team->sent += work->count;
  }
  g_array_sort (requests, _demo_compare_send);
  deployment->load = (ClusterLoad){ .address = deployment->cluster->balancer,
                                    .requests = (ClusterRequest *)requests->data,
                                    .count = requests->len,
                                    .thread_count = THREAD_COUNT,
                                    .timeout_ms = TIMEOUT_MS };
  g_array_free (requests, FALSE);
  deployment->endless = g_ptr_array_new ();
  for (uint32_t i = 0; i < deployment->load.count; i++) {
    ClusterRequest *request = &deployment->load.requests[i];
    for (uint32_t j = 0; j < deployment->work_kind_count; j++) {
      if (deployment->work_kinds[j].is_endless
          && strcmp (deployment->work_kinds[j].profile, request->profile) == 0)
        g_ptr_array_add (deployment->endless, request);
    }
  }
}

static void
_demo_start (Deployment *deployment)
{
  g_autofree char *dir = g_build_filename (_demo.examples, deployment->name, NULL);
  g_autofree char *path = g_build_filename (dir, "config.json", NULL);
  g_autofree char *config = NULL;
  g_autoptr (GError) error = NULL;

  if (!g_file_get_contents (path, &config, NULL, &error))
    g_error ("%s", error->message);
  deployment->desc.dir = dir;
  deployment->cluster = cluster_start (&deployment->desc);
  cluster_put_config (deployment->cluster, 0, config);
  cluster_wait_owners (deployment->cluster);
  for (uint32_t i = 0; i < deployment->cluster->workers->len; i++) {
    const ClusterWorker *worker = cluster_worker (deployment->cluster, i);
    deployment->capacity[0] += worker->cpu_milli;
    deployment->capacity[1] += worker->mem_mib;
    deployment->capacity[2] += worker->accel_count;
  }
  printf ("%s: %u entry processes, %u workers, an owner in each DC\n", deployment->name,
          deployment->cluster->entries->len, deployment->cluster->workers->len);
  fflush (stdout);
}

/* Adds the resources of the tasks that a worker reports as running to @sums, by team. */
static void
_demo_sample_worker (Deployment *deployment, const char *address, int64_t sums[TEAMS_MAX][3])
{
  JsonObject *report = NULL;
  JsonArray *running;

  if (cluster_http_call (address, "GET", "/v1/report?ack=0&seen=0&wait_ms=0", NULL, NULL, &report)
          != 200
      || report == NULL)
    return;
  running = json_object_get_array_member (report, "running");
  for (guint i = 0; i < json_array_get_length (running); i++) {
    JsonObject *task = json_array_get_object_element (running, i);
    for (uint32_t j = 0; j < deployment->team_count; j++) {
      if (strcmp (deployment->teams[j].team, fake_json_string (task, "team", "")) != 0)
        continue;
      sums[j][0] += fake_json_int (task, "cpu_milli", 0);
      sums[j][1] += fake_json_int (task, "mem_mib", 0);
      sums[j][2] += fake_json_int (task, "accel_count", 0);
    }
  }
  json_object_unref (report);
}

static void
_demo_sample (Deployment *deployment)
{
  int64_t sums[TEAMS_MAX][3] = { 0 };
  double packing = 0;

  for (uint32_t i = 0; i < deployment->cluster->workers->len; i++)
    _demo_sample_worker (deployment, cluster_worker (deployment->cluster, i)->address, sums);
  for (uint32_t i = 0; i < deployment->team_count; i++) {
    double dominant = 0;
    for (int k = 0; k < 3; k++) {
      if (deployment->capacity[k] > 0)
        dominant = MAX (dominant, (double)sums[i][k] / (double)deployment->capacity[k]);
    }
    deployment->teams[i].share_sum += dominant;
  }
  for (int k = 0; k < 2; k++) {
    int64_t used = 0;
    for (uint32_t i = 0; i < deployment->team_count; i++)
      used += sums[i][k];
    packing = MAX (packing, (double)used / (double)deployment->capacity[k]);
  }
  deployment->packing_sum += packing;
  deployment->packing_peak = MAX (deployment->packing_peak, packing);
  deployment->sample_count++;
}

static void
_demo_kill_owner (Deployment *deployment)
{
  int owner = cluster_owner (deployment->cluster, 0);
  uint32_t index = owner >= 0 ? (uint32_t)owner : 0;

  printf ("%s: kill -9 of %s, %s of %s\n", deployment->name,
          cluster_entry (deployment->cluster, index)->name,
          owner >= 0 ? "the owner" : "an entry process", deployment->desc.dcs[0]);
  fflush (stdout);
  cluster_signal_entry (deployment->cluster, index, SIGKILL);
}

/* Cancels the endless services of one deployment. The load threads collect their outcomes. */
static void
_demo_cancel_endless (Deployment *deployment)
{
  for (uint32_t i = 0; i < deployment->endless->len; i++) {
    const ClusterRequest *request = deployment->endless->pdata[i];
    g_autofree char *body = g_strdup_printf ("{\"team\":\"%s\",\"identities\":[\"%s\"]}",
                                             request->team, request->identity);
    for (int tries = 0; tries < 3; tries++) {
      if (cluster_http_call (deployment->cluster->balancer, "POST", "/v1/cancel", request->key,
                             body, NULL)
          == 200)
        break;
    }
  }
}

static bool
_demo_is_settled (Deployment *deployment, bool includes_endless)
{
  uint32_t wanted = deployment->load.count - (includes_endless ? 0 : deployment->endless->len);

  return (uint32_t)g_atomic_int_get (&deployment->load.settled) >= wanted;
}

static void
_demo_run (void)
{
  int64_t start_ms = g_get_monotonic_time () / 1000;
  bool is_killed = false, is_cancelled[G_N_ELEMENTS (_demo_deployments)] = { false };
  bool is_settled = false;

  for (guint i = 0; i < G_N_ELEMENTS (_demo_deployments); i++)
    cluster_load_start (&_demo_deployments[i].load);
  for (uint32_t round = 0; !is_settled; round++) {
    int64_t elapsed_ms = g_get_monotonic_time () / 1000 - start_ms;
    is_settled = true;
    for (guint i = 0; i < G_N_ELEMENTS (_demo_deployments); i++) {
      Deployment *deployment = &_demo_deployments[i];
      if (elapsed_ms <= SEND_PERIOD_MS)
        _demo_sample (deployment);
      if (!is_cancelled[i]
          && (_demo_is_settled (deployment, false) || elapsed_ms > CANCEL_AFTER_MS)) {
        is_cancelled[i] = true;
        _demo_cancel_endless (deployment);
      }
      is_settled = is_settled && _demo_is_settled (deployment, true);
      if (round % 4 == 0)
        printf ("%s%s %u sent, %d settled%s", i == 0 ? "" : "; ", deployment->name,
                (uint32_t)g_atomic_int_get (&deployment->load.sent),
                g_atomic_int_get (&deployment->load.settled),
                i + 1 < G_N_ELEMENTS (_demo_deployments) ? "" : "\n");
    }
    fflush (stdout);
    if (!is_killed && elapsed_ms >= KILL_AFTER_MS) {
      is_killed = true;
      _demo_kill_owner (&_demo_deployments[0]);
    }
    if (!is_settled)
      g_usleep (SAMPLE_INTERVAL_MS * G_GINT64_CONSTANT (1000));
  }
  for (guint i = 0; i < G_N_ELEMENTS (_demo_deployments); i++)
    cluster_load_join (&_demo_deployments[i].load);
}

static gint
_demo_compare_int64 (gconstpointer a, gconstpointer b)
{
  const int64_t *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

/* Returns the sorted times that calls of the team waited beyond their run time, in ms. Contains
 * only requests that ended as done. */
static GArray *
_demo_wait_times (const Deployment *deployment, const Team *team)
{
  GArray *waits = g_array_new (FALSE, FALSE, sizeof (int64_t));

  for (uint32_t i = 0; i < deployment->load.count; i++) {
    const ClusterRequest *request = &deployment->load.requests[i];
    int64_t wait_ms = request->answered_ms - request->sent_ms;
    if (strcmp (request->team, team->team) != 0 || strcmp (request->state, "done") != 0)
      continue;
    for (uint32_t j = 0; j < deployment->work_kind_count; j++) {
      const WorkKind *work = &deployment->work_kinds[j];
      if (strcmp (work->team, team->team) == 0 && strcmp (work->profile, request->profile) == 0)
        wait_ms -= work->run_ms;
    }
    g_array_append_val (waits, wait_ms);
  }
  g_array_sort (waits, _demo_compare_int64);
  return waits;
}

static int64_t
_demo_quantile (GArray *sorted, uint32_t permille)
{
  return sorted->len == 0 ? 0
                          : g_array_index (sorted, int64_t,
                                           MIN (sorted->len - 1, sorted->len * permille / 1000));
}

static void
_demo_print_teams (Deployment *deployment)
{
  printf ("\n%-14s %9s %9s %9s %12s %12s %14s\n", deployment->name, "requests", "answered",
          "refused", "wait p50 ms", "wait p99 ms", "part of cell %");
  for (uint32_t i = 0; i < deployment->team_count; i++) {
    Team *team = &deployment->teams[i];
    g_autoptr (GArray) waits = _demo_wait_times (deployment, team);
    for (uint32_t j = 0; j < deployment->load.count; j++) {
      const ClusterRequest *request = &deployment->load.requests[j];
      if (strcmp (request->team, team->team) != 0)
        continue;
      team->answered += request->is_accepted && cluster_request_is_final (request);
      team->refused += !request->is_accepted;
    }
    printf ("%-14s %9u %9u %9u %12" G_GINT64_FORMAT " %12" G_GINT64_FORMAT " %14.1f\n", team->team,
            team->sent, waits->len, team->refused, _demo_quantile (waits, 500),
            _demo_quantile (waits, 990),
            100.0 * team->share_sum / MAX (deployment->sample_count, 1));
  }
}

/* CPU time in seconds that an entry process has used. */
static double
_demo_cpu_s (const ClusterEntry *entry)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", (int)entry->pid);
  g_autofree char *text = NULL;
  g_auto (GStrv) fields = NULL;

  if (entry->pid == 0 || !g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  /* utime and stime are fields 14 and 15 in proc(5). The name in field 2 may contain spaces, so
   * fields are counted from its end. */
  fields = g_strsplit (strrchr (text, ')') + 2, " ", -1);
  return (double)(g_ascii_strtoll (fields[11], NULL, 10) + g_ascii_strtoll (fields[12], NULL, 10))
         / (double)sysconf (_SC_CLK_TCK);
}

static void
_demo_print_cost (Deployment *deployment, const ClusterWorkerCounts *counts, double elapsed_s)
{
  JsonObject *store = NULL;
  double cpu_s = 0;
  uint32_t entry_count = 0;

  for (uint32_t i = 0; i < deployment->cluster->entries->len; i++) {
    cpu_s += _demo_cpu_s (cluster_entry (deployment->cluster, i));
    entry_count += cluster_entry (deployment->cluster, i)->pid != 0;
  }
  cluster_http_call (deployment->cluster->store, "GET", "/control", NULL, NULL, &store);
  printf ("packing %.0f %% of the bottleneck on average, %.0f %% at the peak; %" G_GINT64_FORMAT
          " starts;\n%.1f store writes per 1,000 starts; %.2f %% of a core per entry process;"
          " %u workers overcommitted\n",
          100.0 * deployment->packing_sum / MAX (deployment->sample_count, 1),
          100.0 * deployment->packing_peak, counts->started,
          store == NULL ? 0.0
                        : 1000.0 * (double)fake_json_int (store, "writes", 0)
                              / (double)MAX (counts->started, 1),
          100.0 * cpu_s / MAX (entry_count, 1) / elapsed_s, counts->overcommitted);
  g_clear_pointer (&store, json_object_unref);
}

/* Returns true if at least one request was accepted, none was lost or ran twice, and no worker was
 * overcommitted. */
static bool
_demo_report (double elapsed_s)
{
  uint32_t accepted = 0, answered = 0, lost = 0, twice = 0, overcommitted = 0;

  for (guint i = 0; i < G_N_ELEMENTS (_demo_deployments); i++) {
    Deployment *deployment = &_demo_deployments[i];
    uint32_t lost_here, twice_here;
    ClusterWorkerCounts counts;

    cluster_worker_counts_read (deployment->cluster, &counts);
    cluster_check_outcomes (deployment->load.requests, deployment->load.count, &counts, &lost_here,
                            &twice_here);
    for (uint32_t j = 0; j < deployment->load.count; j++)
      accepted += deployment->load.requests[j].is_accepted;
    lost += lost_here;
    twice += twice_here;
    overcommitted += counts.overcommitted;
    _demo_print_teams (deployment);
    _demo_print_cost (deployment, &counts, elapsed_s);
    cluster_worker_counts_clear (&counts);
  }
  answered = accepted - MIN (lost, accepted);
  printf ("\n%u accepted, %u answered, %u lost, %u twice\n", accepted, answered, lost, twice);
  return accepted > 0 && lost == 0 && twice == 0 && overcommitted == 0;
}

static void
_demo_write_examples (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (_demo_deployments); i++) {
    Deployment *deployment = &_demo_deployments[i];
    g_autofree char *dir = g_build_filename (_demo.examples, deployment->name, NULL);
    g_mkdir_with_parents (dir, 0755);
    deployment->desc.dir = dir;
    deployment->cluster = cluster_new (&deployment->desc, true);
    cluster_stop (deployment->cluster);
  }
}

static error_t
_demo_option (int key, char *arg, struct argp_state *state G_GNUC_UNUSED)
{
  switch (key) {
  case 'w':
    _demo.writes_only = true;
    return 0;
  case 'e':
    _demo.examples = arg;
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "examples", 'e', "DIR", 0, "directory of the deployments (default: examples)", 0 },
    { "write", 'w', NULL, 0, "only write the settings and VM lists", 0 },
    { 0 },
  };
  static const struct argp argp = { options, _demo_option, NULL, NULL, NULL, NULL, NULL };
  int64_t start_us = g_get_monotonic_time ();
  bool is_ok;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  if (_demo.writes_only) {
    _demo_write_examples ();
    return EXIT_SUCCESS;
  }
  for (guint i = 0; i < G_N_ELEMENTS (_demo_deployments); i++) {
    _demo_start (&_demo_deployments[i]);
    _demo_create_load (&_demo_deployments[i]);
  }
  _demo_run ();
  is_ok = _demo_report ((double)(g_get_monotonic_time () - start_us) / 1e6);
  for (guint i = 0; i < G_N_ELEMENTS (_demo_deployments); i++)
    cluster_stop (_demo_deployments[i].cluster);
  return is_ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
