/* Benchmark of a deployment of real processes on loopback addresses, against stand-ins.
 *
 *   bench-cluster          prints one JSON object {"measure","value","unit"} per line
 *
 * Times are real times. The machine is shared with other processes, so only results of one run can
 * be compared.
 */
#include "cluster.h"
#include "fake-http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALL_COUNT            2000
#define CHANGE_COUNT          40
#define KILL_COUNT            5
#define SETTLE_MS             10000 /* after the start, until grants and ledgers stop changing */
#define IDLE_MS               20000
#define TASK_RUN_MS           100  /* run time of a task while goodput is measured */
#define GOODPUT_MS            8000 /* duration of each goodput measurement */
#define TIMEOUT_MS            10000
#define RETRY_INTERVAL_US     2000 /* between retries while a DC has no owner */
#define WORKER_COUNT          4
#define SLOTS                 8
#define CALLERS_FOR_ALL_SLOTS (WORKER_COUNT * SLOTS) /* callers that fill all slots of a DC */
#define LARGE_WORKERS         137 /* of one DC, expected in two years: 820 over 6 DCs */
#define LARGE_STARTS_PER_S    58  /* of one DC, expected in two years: 350 over 6 DCs */
#define LARGE_DURATION_S      15

static const char *const dcs[] = { "nadi", "ba", "lautoka", NULL };

static const char config_format[]
    = "{\"dcs\":[\"nadi\",\"ba\",\"lautoka\"],\"teams\":[{\"name\":\"t\",\"share\":%d,\"queue_"
      "max\":"
      "100000,\"limit\":{\"cpu_milli\":1000000,\"mem_mib\":1000000,\"accel_count\":0}}],"
      "\"profiles\":[{\"name\":\"service\",\"kind\":\"service\",\"priority\":90}],\"keys\":[{"
      "\"sha256\":\"%s\",\"team\":\"t\",\"note\":\"\"}]}";

static void
_print (const char *measure, double value, const char *unit)
{
  printf ("{\"measure\":\"%s\",\"value\":%.4g,\"unit\":\"%s\"}\n", measure, value, unit);
  fflush (stdout);
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

static char *
_config (int share)
{
  g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "t-key", -1);

  return g_strdup_printf (config_format, share, digest);
}

static char *
_body (int run_ms)
{
  return g_strdup_printf (
      "{\"team\":\"t\",\"profile\":\"service\",\"size\":{\"cpu_milli\":100,\"mem_"
      "mib\":64},\"repeatable\":true,\"payload\":\"{\\\"run_ms\\\":%d,"
      "\\\"answer\\\":\\\"a\\\"}\"}",
      run_ms);
}

/* Makes one service call and returns its status. If it succeeds, its time in ms is added to @times,
 * which may be NULL. */
static int
_call (ClusterClient *client, const char *body, GArray *times)
{
  int64_t start_us = g_get_monotonic_time ();
  ClusterReply reply;
  double time_ms;
  int status;

  cluster_client_call (client, "POST", "/v1/tasks", "t-key", body, TIMEOUT_MS, &reply);
  time_ms = (double)(g_get_monotonic_time () - start_us) / 1000.0;
  status = reply.status;
  if (times != NULL && status == 200)
    g_array_append_val (times, time_ms);
  cluster_reply_clear (&reply);
  return status;
}

/* Starts the same task directly at a worker and waits for the report of its end. */
static void
_call_direct (ClusterClient *client, ClusterClient *poll, uint64_t *sequence, GArray *times)
{
  int64_t start_us = g_get_monotonic_time ();
  uint64_t number = *sequence + 1;
  ClusterReply reply;
  JsonObject *report;
  double time_ms;
  g_autofree char *path = g_strdup_printf ("/v1/attempts/%032x.0.1", (guint)(0xbe000000 + number));
  g_autofree char *body = g_strdup_printf (
      "{\"team\":\"t\",\"profile\":\"service\",\"cpu_milli\":100,\"mem_mib\":64,\"accel_count\":0,"
      "\"lease_until_ms\":%" G_GINT64_FORMAT
      ",\"payload\":\"{\\\"run_ms\\\":0,\\\"answer\\\":\\\"a\\\"}\"}",
      g_get_real_time () / 1000 + TIMEOUT_MS);
  g_autofree char *query = g_strdup_printf ("/v1/report?ack=%" G_GUINT64_FORMAT
                                            "&seen=%" G_GUINT64_FORMAT "&wait_ms=1000",
                                            *sequence, *sequence);

  cluster_client_call (client, "POST", path, NULL, body, TIMEOUT_MS, &reply);
  if (reply.status != 201)
    g_error ("the worker replied with status %d", reply.status);
  cluster_reply_clear (&reply);
  cluster_client_call (poll, "GET", query, NULL, NULL, TIMEOUT_MS, &reply);
  time_ms = (double)(g_get_monotonic_time () - start_us) / 1000.0;
  g_array_append_val (times, time_ms);
  report = fake_json_parse (reply.body->str, (gssize)reply.body->len);
  *sequence = (uint64_t)fake_json_int (report, "sequence", 0);
  json_object_unref (report);
  cluster_reply_clear (&reply);
}

static uint32_t
_owner_index (Cluster *cluster)
{
  return cluster_wait_owner (cluster, 0, -1);
}

/* Compares calls through an entry process with the same tasks started directly at a worker that no
 * daemon uses. */
static void
_measure_calls (Cluster *cluster, Cluster *workers_only)
{
  g_autofree char *body = _body (0);
  GArray *calls = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *direct = g_array_new (FALSE, FALSE, sizeof (double));
  ClusterClient entry = { .fd = -1 }, worker = { .fd = -1 }, poll = { .fd = -1 };
  uint64_t sequence = 0;

  g_strlcpy (entry.address, cluster_entry (cluster, _owner_index (cluster))->http,
             sizeof entry.address);
  g_strlcpy (worker.address, cluster_worker (workers_only, 0)->address, sizeof worker.address);
  g_strlcpy (poll.address, worker.address, sizeof poll.address);
  for (int i = 0; i < CALL_COUNT; i++) {
    _call (&entry, body, calls);
    _call_direct (&worker, &poll, &sequence, direct);
  }
  _print ("call_p50", _quantile (calls, 0.5), "ms");
  _print ("call_p99", _quantile (calls, 0.99), "ms");
  _print ("call_direct_p50", _quantile (direct, 0.5), "ms");
  _print ("call_direct_p99", _quantile (direct, 0.99), "ms");
  _print ("call_overhead_p50", _quantile (calls, 0.5) - _quantile (direct, 0.5), "ms");
  _print ("call_overhead_p99", _quantile (calls, 0.99) - _quantile (direct, 0.99), "ms");
  _print ("call_failed", CALL_COUNT - (double)calls->len, "calls");
  cluster_client_close (&entry);
  cluster_client_close (&worker);
  cluster_client_close (&poll);
  g_array_unref (calls);
  g_array_unref (direct);
}

static int64_t
_revision (const char *address)
{
  JsonObject *object = NULL;
  int64_t revision = 0;

  if (cluster_http_call (address, "GET", "/v1/config", CLUSTER_OPERATOR_KEY, NULL, &object) == 200)
    revision = fake_json_int (object, "revision", 0);
  g_clear_pointer (&object, json_object_unref);
  return revision;
}

/* Measures the time from the reply that accepts a configuration change until all entry processes
 * return its revision. */
static void
_measure_config (Cluster *cluster)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (double));

  for (int i = 0; i < CHANGE_COUNT; i++) {
    uint32_t entry_index = (uint32_t)i % MAX (1, cluster->entries->len);
    g_autofree char *config = _config (1 + i % 7);
    int64_t start_us, before = _revision (cluster_entry (cluster, entry_index)->http);
    double time_ms;

    cluster_put_config (cluster, entry_index, config);
    start_us = g_get_monotonic_time ();
    for (uint32_t e = 0; e < cluster->entries->len; e++) {
      while (_revision (cluster_entry (cluster, e)->http) <= before)
        g_usleep (1000);
    }
    time_ms = (double)(g_get_monotonic_time () - start_us) / 1000.0;
    g_array_append_val (times, time_ms);
  }
  _print ("config_in_force_p50", _quantile (times, 0.5), "ms");
  _print ("config_in_force_p99", _quantile (times, 0.99), "ms");
  g_array_unref (times);
}

/* Measures the time from SIGKILL of the owner until a call at the other entry process of the DC
 * succeeds. */
static void
_measure_kill (Cluster *cluster)
{
  g_autofree char *body = _body (0);
  GArray *times = g_array_new (FALSE, FALSE, sizeof (double));

  for (int i = 0; i < KILL_COUNT; i++) {
    uint32_t owner = _owner_index (cluster);
    ClusterClient client = { .fd = -1 };
    int64_t start_us = g_get_monotonic_time ();
    double time_ms;

    g_strlcpy (client.address, cluster_entry (cluster, 1 - owner)->http, sizeof client.address);
    cluster_signal_entry (cluster, owner, SIGKILL);
    while (_call (&client, body, NULL) != 200)
      g_usleep (RETRY_INTERVAL_US);
    time_ms = (double)(g_get_monotonic_time () - start_us) / 1000.0;
    g_array_append_val (times, time_ms);
    cluster_client_close (&client);
    cluster_restart_entry (cluster, owner, false);
    g_usleep (2000000); /* until the other processes receive its heartbeats again */
  }
  _print ("restored_after_kill_p50", _quantile (times, 0.5), "ms");
  _print ("restored_after_kill_max", _quantile (times, 1.0), "ms");
  g_array_unref (times);
}

typedef struct {
  const char *address;
  int64_t until_us;
  uint32_t done, refused;
} Caller;

/* Makes one call after the other without a pause. */
static gpointer
_caller_main (gpointer data)
{
  Caller *caller = data;
  ClusterClient client = { .fd = -1 };
  g_autofree char *body = _body (TASK_RUN_MS);

  g_strlcpy (client.address, caller->address, sizeof client.address);
  while (g_get_monotonic_time () < caller->until_us) {
    if (_call (&client, body, NULL) == 200 && g_get_monotonic_time () < caller->until_us)
      caller->done++;
    else
      caller->refused++;
  }
  cluster_client_close (&client);
  return NULL;
}

/* Returns the completed tasks per second with @count callers at the owner of one DC. */
static double
_goodput (Cluster *cluster, uint32_t count)
{
  const char *address = cluster_entry (cluster, _owner_index (cluster))->http;
  int64_t until_us = g_get_monotonic_time () + GOODPUT_MS * G_GINT64_CONSTANT (1000);
  Caller *callers = g_new0 (Caller, count);
  GThread **threads = g_new (GThread *, count);
  uint32_t done = 0;

  for (uint32_t i = 0; i < count; i++) {
    callers[i] = (Caller){ .address = address, .until_us = until_us };
    threads[i] = g_thread_new ("caller", _caller_main, &callers[i]);
  }
  for (uint32_t i = 0; i < count; i++) {
    g_thread_join (threads[i]);
    done += callers[i].done;
  }
  g_free (callers);
  g_free (threads);
  return done * 1000.0 / GOODPUT_MS;
}

static void
_measure_goodput (Cluster *cluster)
{
  double at_capacity = _goodput (cluster, CALLERS_FOR_ALL_SLOTS),
         at_double = _goodput (cluster, 2 * CALLERS_FOR_ALL_SLOTS);

  _print ("goodput_1x", at_capacity, "1/s");
  _print ("goodput_2x", at_double, "1/s");
  _print ("goodput_2x_of_peak", 100.0 * at_double / MAX (at_capacity, at_double), "percent");
}

/* Returns the user and system time of the process in ms; @rss_mib receives its resident memory. */
static double
_process_usage (pid_t pid, double *rss_mib)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", pid);
  g_autofree char *text = NULL;
  unsigned long user = 0, kernel = 0;
  long pages = 0;

  if (!g_file_get_contents (path, &text, NULL, NULL)
      || sscanf (strrchr (text, ')') + 2,
                 "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d %*d %*d %*d %*d %*d %*u "
                 "%*u %ld",
                 &user, &kernel, &pages)
             != 3)
    g_error ("%s can't be read", path);
  *rss_mib = (double)pages * (double)sysconf (_SC_PAGESIZE) / 1048576.0;
  return (double)(user + kernel) * 1000.0 / (double)sysconf (_SC_CLK_TCK);
}

static double
_read_counter (const char *address, const char *name)
{
  ClusterClient client = { .fd = -1 };
  ClusterReply reply;
  g_autofree char *line = g_strdup_printf ("\n%s ", name);
  const char *found;
  double value = 0.0;

  g_strlcpy (client.address, address, sizeof client.address);
  cluster_client_call (&client, "GET", "/metrics", NULL, NULL, TIMEOUT_MS, &reply);
  for (found = reply.body->str; (found = strstr (found, line)) != NULL; found++) {
    const char *number = found + strlen (line);
    if (g_ascii_isdigit (*number))
      value = g_ascii_strtod (number, NULL);
  }
  cluster_client_close (&client);
  cluster_reply_clear (&reply);
  return value;
}

/* Measures CPU time, memory and calls without load. */
static void
_measure_idle (Cluster *cluster)
{
  static const char *const names[]
      = { "peer_bytes_sent", "store_reads", "store_writes", "store_watches", "worker_calls" };
  double before[16][5], cpu[16], worst_cpu = 0, worst_rss = 0, worst_bytes = 0, store = 0,
                                 calls = 0;
  const double seconds = IDLE_MS / 1000.0;
  char metric[64];

  for (uint32_t i = 0; i < cluster->entries->len; i++) {
    double rss;
    cpu[i] = _process_usage (cluster_entry (cluster, i)->pid, &rss);
    for (int n = 0; n < 5; n++) {
      g_snprintf (metric, sizeof metric, "verbenapulley_%s_total", names[n]);
      before[i][n] = _read_counter (cluster_entry (cluster, i)->http, metric);
    }
  }
  g_usleep (IDLE_MS * 1000);
  for (uint32_t i = 0; i < cluster->entries->len; i++) {
    double rss, used_ms = _process_usage (cluster_entry (cluster, i)->pid, &rss) - cpu[i];
    worst_cpu = MAX (worst_cpu, 100.0 * used_ms / IDLE_MS);
    worst_rss = MAX (worst_rss, rss);
    for (int n = 0; n < 5; n++) {
      double rate;
      g_snprintf (metric, sizeof metric, "verbenapulley_%s_total", names[n]);
      rate = (_read_counter (cluster_entry (cluster, i)->http, metric) - before[i][n]) / seconds;
      if (n == 0)
        worst_bytes = MAX (worst_bytes, rate);
      else if (n < 4)
        store += rate / cluster->entries->len;
      else
        calls += rate / cluster->workers->len;
    }
  }
  _print ("node_cpu_percent", worst_cpu, "percent");
  _print ("node_rss_mib", worst_rss, "MiB");
  _print ("node_bytes_per_second", worst_bytes, "bytes/s");
  _print ("node_store_calls", store, "1/s");
  _print ("worker_calls_idle", calls, "1/s");
}

/* Measures the owner of a DC with the size and the peak of starts that are expected in two years.
 * The stand-in runs all workers in one process. */
static void
_measure_large (void)
{
  static const char *const single_dc[] = { "nadi", NULL };
  g_autofree char *config = _config (1), *body = _body (0);
  Cluster *cluster = cluster_start (&(ClusterDesc){ .base = 119,
                                                    .dcs = single_dc,
                                                    .entries_per_dc = 3,
                                                    .worker_count = LARGE_WORKERS,
                                                    .config = config,
                                                    .is_direct = true });
  double rss, cpu_ms, seconds, commands, idle_ms;
  ClusterClient client = { .fd = -1 };
  int64_t start_us;
  pid_t pid;

  cluster_wait_owners (cluster);
  g_usleep (SETTLE_MS * 500);
  g_strlcpy (client.address, cluster_entry (cluster, _owner_index (cluster))->http,
             sizeof client.address);
  pid = cluster_entry (cluster, _owner_index (cluster))->pid;
  idle_ms = _process_usage (pid, &rss);
  g_usleep (SETTLE_MS * 1000);
  _print ("owner_137_idle_cpu_percent", 100.0 * (_process_usage (pid, &rss) - idle_ms) / SETTLE_MS,
          "percent");
  cpu_ms = _process_usage (pid, &rss);
  commands = _read_counter (client.address, "verbenapulley_worker_calls_total");
  start_us = g_get_monotonic_time ();
  for (int i = 0; i < LARGE_STARTS_PER_S * LARGE_DURATION_S; i++) {
    int64_t due_us = start_us + i * G_GINT64_CONSTANT (1000000) / LARGE_STARTS_PER_S;
    g_usleep ((gulong)MAX (due_us - g_get_monotonic_time (), 0));
    _call (&client, body, NULL);
  }
  seconds = (double)(g_get_monotonic_time () - start_us) / 1e6;
  cpu_ms = _process_usage (pid, &rss) - cpu_ms;
  commands = _read_counter (client.address, "verbenapulley_worker_calls_total") - commands;
  _print ("owner_137_cpu_percent", cpu_ms / 10.0 / seconds, "percent");
  _print ("owner_137_rss_mib", rss, "MiB");
  _print ("owner_137_starts", LARGE_STARTS_PER_S * LARGE_DURATION_S / seconds, "1/s");
  _print ("owner_137_worker_commands", commands / seconds / LARGE_WORKERS, "1/s/worker");
  cluster_client_close (&client);
  cluster_stop (cluster);
}

int
main (void)
{
  g_autofree char *config = _config (1);
  Cluster *cluster = cluster_start (&(ClusterDesc){ .base = 117,
                                                    .dcs = dcs,
                                                    .entries_per_dc = 2,
                                                    .worker_count = 3 * WORKER_COUNT,
                                                    .slots = SLOTS,
                                                    .config = config,
                                                    .is_direct = true });
  /* Workers that no daemon uses. */
  Cluster *workers_only = cluster_new (
      &(ClusterDesc){ .base = 118, .dcs = dcs, .worker_count = 3, .is_direct = true }, true);
  g_autofree char *vms = g_build_filename (workers_only->dir, "vms.json", NULL);

  cluster_spawn (workers_only,
                 (const char *const[]){ "fake-worker", "--list", vms, "--dc", dcs[0], NULL });
  cluster_wait_owners (cluster);
  g_usleep (SETTLE_MS * 1000);
  _measure_idle (cluster);
  _measure_calls (cluster, workers_only);
  _measure_goodput (cluster);
  _measure_config (cluster);
  _measure_kill (cluster);
  cluster_stop (workers_only);
  cluster_stop (cluster);
  _measure_large ();
  return 0;
}
