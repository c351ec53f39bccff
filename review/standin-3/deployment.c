#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define CELLD            "target/verbenapulley-celld" /* "run" of the deploy file */
#define STORE_PROGRAM    "target/review-3/store"
#define WORKER_PROGRAM   "target/review-3/worker"
#define CALLERS_PORT     8183
#define READY_PORT       8184
#define PEER_PORT        7420
#define METRICS_PORT     9464
#define STORE_PORT       8182
#define STORE_OWN_PORT   8181
#define WORKER_PORT      8190
#define ZONES            3
#define WORKERS_MAX      64
#define RESTART_MS       500
#define WATCH_MS         20
#define READY_TIMEOUT_MS 15000
#define LISTED_MS        2000
#define RETRY_MS         1000
#define PREFIX_TRIES     50

typedef struct {
  pid_t pid; /* 0: doesn't run */
  int64_t restart_ms;
  bool is_killed; /* by the case */
  DeploymentNode seen;
  char name[24];
  char host[24];
  char *settings;
  char *log;
} Node;

typedef struct {
  pid_t pid;
  uint32_t lives;
  char host[24];
  char zone[8];
  char rack[8];
} Worker;

static struct {
  DeploymentDesc desc;
  char prefix[16]; /* first three bytes of the addresses */
  char *dir;
  char *worker_log;
  char store[32];
  char store_own[32];
  pid_t store_pid;
  Node nodes[DEPLOYMENT_NODES];
  Worker workers[WORKERS_MAX];
  uint32_t worker_count;
  uint32_t next_node;
  uint32_t config_version;
  FILE *record;
  int64_t began_ms;
  GMutex lock;
  GThread *watcher;
  bool is_ending;
} _run;

int64_t
deployment_now_ms (void)
{
  return g_get_real_time () / 1000;
}

void
deployment_sleep_ms (int64_t time_ms)
{
  g_usleep ((gulong)time_ms * 1000);
}

bool
deployment_has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

void
deployment_record (const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (_run.record, "%8.3f %s\n", (double)(deployment_now_ms () - _run.began_ms) / 1000, text);
  fflush (_run.record);
}

/* Ends the processes and the case, which couldn't run. */
static void
_fail (const char *why)
{
  fprintf (stderr, "the case couldn't run: %s\n", why);
  deployment_record ("the case couldn't run: %s", why);
  (void)deployment_finish (false);
  exit (DEPLOYMENT_CANT_RUN);
}

/* Processes. */

/* Starts the program of @argv. Its output goes to @log. */
static pid_t
_spawn (const char *const *argv, const char *settings, const char *log)
{
  g_auto (GStrv) environment = g_get_environ ();
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_t parent = getpid ();
  pid_t pid;

  if (settings != NULL)
    environment = g_environ_setenv (environment, "VERBENAPULLEY_BOOT", settings, TRUE);
  pid = fork ();
  if (pid == 0) {
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    if (getppid () != parent || dup2 (fd, STDOUT_FILENO) < 0 || dup2 (fd, STDERR_FILENO) < 0)
      _exit (EXIT_FAILURE);
    execve (argv[0], (char *const *)argv, environment);
    _exit (EXIT_FAILURE);
  }
  if (fd >= 0)
    close (fd);
  return pid;
}

static void
_kill (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  kill (*pid, SIGCONT);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

static void
_start_node (Node *node)
{
  const char *argv[] = { CELLD, NULL };

  node->pid = _spawn (argv, node->settings, node->log);
  node->restart_ms = 0;
  node->is_killed = false;
  node->seen.starts++;
}

static uint64_t
_resident_mb (pid_t pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/statm", (int)pid);
  g_autofree char *text = NULL;
  const char *space;

  if (!g_file_get_contents (path, &text, NULL, NULL) || (space = strchr (text, ' ')) == NULL)
    return 0;
  return g_ascii_strtoull (space + 1, NULL, 10) * (uint64_t)sysconf (_SC_PAGESIZE) / 1000000;
}

static void
_watch_node (Node *node, int64_t now_ms)
{
  uint64_t resident_mb;
  int status;

  if (node->pid != 0 && waitpid (node->pid, &status, WNOHANG) == node->pid) {
    if (!node->is_killed) {
      node->seen.ends++;
      deployment_record ("%s ended by itself, status 0x%x", node->name, (unsigned)status);
    }
    node->pid = 0;
    node->restart_ms = now_ms + RESTART_MS;
  }
  if (node->pid == 0 && now_ms >= node->restart_ms)
    _start_node (node);
  resident_mb = _resident_mb (node->pid);
  node->seen.peak_mb = MAX (node->seen.peak_mb, resident_mb);
  if (resident_mb <= DEPLOYMENT_MEMORY_MB)
    return;
  node->seen.ends++;
  deployment_record ("%s uses %u MB of %d and is killed by the platform", node->name,
                     (unsigned)resident_mb, DEPLOYMENT_MEMORY_MB);
  _kill (&node->pid);
  node->restart_ms = now_ms + RESTART_MS;
}

static gpointer
_watch (gpointer data)
{
  (void)data;
  for (;;) {
    g_mutex_lock (&_run.lock);
    for (uint32_t i = 0; !_run.is_ending && i < DEPLOYMENT_NODES; i++)
      _watch_node (&_run.nodes[i], deployment_now_ms ());
    if (_run.is_ending) {
      g_mutex_unlock (&_run.lock);
      return NULL;
    }
    g_mutex_unlock (&_run.lock);
    deployment_sleep_ms (WATCH_MS);
  }
}

static void
_start_worker (uint32_t number)
{
  Worker *worker = &_run.workers[number];
  g_autofree char *id = g_strdup_printf ("w%02u-%u", number, worker->lives++);
  g_autofree char *address = g_strdup_printf ("%s:%d", worker->host, WORKER_PORT);
  g_autofree char *cpu = g_strdup_printf ("%" G_GINT64_FORMAT, _run.desc.worker_cpu_milli);
  g_autofree char *mem = g_strdup_printf ("%" G_GINT64_FORMAT, _run.desc.worker_mem_mib);
  g_autofree char *stop = g_strdup_printf ("%" G_GINT64_FORMAT, _run.desc.stop_ms);
  g_autofree char *log = g_build_filename (_run.dir, "workers.out", NULL);
  const char *argv[]
      = { WORKER_PROGRAM,  id,  address, _run.store_own, worker->zone, worker->rack, cpu, mem, stop,
          _run.worker_log, NULL };

  worker->pid = _spawn (argv, NULL, log);
}

/* Setup. */

/* Returns true if nobody listens at the address. */
static bool
_is_free (const char *host, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;
  bool is_free;

  if (fd < 0 || inet_pton (AF_INET, host, &address.sin_addr) != 1)
    return false;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return is_free;
}

static void
_choose_prefix (void)
{
  static const uint16_t ports[] = { CALLERS_PORT, READY_PORT,     PEER_PORT,  METRICS_PORT,
                                    STORE_PORT,   STORE_OWN_PORT, WORKER_PORT };

  for (int i = 0; i < PREFIX_TRIES; i++) {
    bool is_free = true;
    g_autofree char *host = NULL;
    g_snprintf (_run.prefix, sizeof _run.prefix, "127.%d.%d", g_random_int_range (16, 250),
                g_random_int_range (1, 250));
    host = g_strconcat (_run.prefix, ".1", NULL);
    for (guint p = 0; p < G_N_ELEMENTS (ports); p++)
      is_free = is_free && _is_free (host, ports[p]);
    if (is_free)
      return;
  }
  _fail ("no free ports");
}

static void
_setup_node (uint32_t number)
{
  static const char *const zones[ZONES] = { "nadi", "lautoka", "ba" };
  Node *node = &_run.nodes[number];
  g_autofree char *file = NULL;
  g_autofree char *text = NULL;

  g_snprintf (node->host, sizeof node->host, "%s.%u", _run.prefix, number + 1);
  g_snprintf (node->name, sizeof node->name, "edge-%s-%u", zones[number % ZONES],
              number / ZONES + 1);
  file = g_strconcat (node->name, ".json", NULL);
  node->settings = g_build_filename (_run.dir, file, NULL);
  node->log = g_strconcat (node->settings, ".log", NULL);
  text = g_strdup_printf (
      "{\"name\":\"%s\",\"dc\":\"%s\",\"callers_address\":\"%s:%d\",\"ready_address\":\"%s:%d\","
      "\"host\":\"%s\",\"peer_port\":%d,\"metrics_address\":\"%s:%d\",\"memory_mib\":%d,"
      "\"descriptors_max\":4100,\"cpu_share\":0.25,\"link_mbps\":1000,\"store_address\":\"%s\","
      "\"advice_address\":\"%s\",\"hold_max_ms\":6000,\"retention_s\":120,\"grace_s\":6}",
      node->name, zones[number % ZONES], node->host, CALLERS_PORT, node->host, READY_PORT,
      node->host, PEER_PORT, node->host, METRICS_PORT, DEPLOYMENT_MEMORY_MB, _run.store,
      _run.store);
  if (!g_file_set_contents (node->settings, text, -1, NULL))
    _fail ("can't write the settings");
}

static void
_setup_worker (uint32_t number)
{
  static const char *const zones[ZONES] = { "nadi", "lautoka", "ba" };
  Worker *worker = &_run.workers[number];
  uint32_t rack = number / _run.desc.rack_size;

  g_snprintf (worker->host, sizeof worker->host, "%s.%u", _run.prefix, 100 + number);
  g_snprintf (worker->rack, sizeof worker->rack, "r%u", rack);
  g_strlcpy (worker->zone, zones[rack % ZONES], sizeof worker->zone);
}

void
deployment_put_config (bool has_queue)
{
  static const char queue[]
      = "{\"name\":\"batch\",\"host\":\"" DEPLOYMENT_HOST "\",\"prefix\":\"" DEPLOYMENT_PREFIX
        "\",\"service\":\"desk\",\"priority\":2,\"max_attempts\":3,\"stretch\":2.2,"
        "\"target_latency_ms\":1200}";
  g_autofree char *text = NULL;
  CallReply reply;

  _run.config_version += 3;
  text = g_strdup_printf ("{\"version\":%u,\"routes\":[%s],"
                          "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"" DEPLOYMENT_KEY
                          "\"],\"weight\":100}],"
                          "\"services\":[{\"name\":\"desk\",\"rejects_overload\":false}],"
                          "\"limits\":{\"max_body_bytes\":262144}}",
                          _run.config_version, has_queue ? queue : "");
  call_http (_run.store_own,
             &(CallRequest){ .method = "POST", .path = "/put/op/config", .body = text }, &reply);
  if (reply.status != 200)
    _fail ("the store stand-in doesn't answer");
  deployment_record ("operator: version %u, %s the queue", _run.config_version,
                     has_queue ? "with" : "without");
}

static void
_start_store (void)
{
  g_autofree char *log = g_build_filename (_run.dir, "store.out", NULL);
  const char *argv[] = { STORE_PROGRAM, _run.store, _run.store_own, NULL };

  g_snprintf (_run.store, sizeof _run.store, "%s.90:%d", _run.prefix, STORE_PORT);
  g_snprintf (_run.store_own, sizeof _run.store_own, "%s.90:%d", _run.prefix, STORE_OWN_PORT);
  _run.store_pid = _spawn (argv, NULL, log);
  deployment_sleep_ms (300);
}

void
deployment_start (const DeploymentDesc *desc)
{
  g_autofree char *record = g_build_filename (desc->folder, "record.txt", NULL);

  _run.desc = *desc;
  if (desc->worker_cpu_milli == 0)
    _run.desc.worker_cpu_milli = 16000;
  if (desc->worker_mem_mib == 0)
    _run.desc.worker_mem_mib = 32768;
  _run.worker_count = desc->rack_count * desc->rack_size;
  _run.began_ms = deployment_now_ms ();
  _run.record = fopen (record, "w");
  _run.dir = g_dir_make_tmp ("review-3-XXXXXX", NULL);
  if (_run.record == NULL || _run.dir == NULL || _run.worker_count > WORKERS_MAX) {
    fprintf (stderr, "can't write %s or a temporary folder\n", record);
    exit (DEPLOYMENT_CANT_RUN);
  }
  _run.worker_log = g_build_filename (_run.dir, "workers.log", NULL);
  g_file_set_contents (_run.worker_log, "", 0, NULL);
  if (!g_file_test (CELLD, G_FILE_TEST_IS_EXECUTABLE)
      || !g_file_test (WORKER_PROGRAM, G_FILE_TEST_IS_EXECUTABLE))
    _fail ("build the deploy file and the stand-ins first");
  _choose_prefix ();
  _start_store ();
  deployment_put_config (true);
  for (uint32_t i = 0; i < _run.worker_count; i++) {
    _setup_worker (i);
    _start_worker (i);
  }
  for (uint32_t i = 0; i < DEPLOYMENT_NODES; i++) {
    _setup_node (i);
    _start_node (&_run.nodes[i]);
  }
  deployment_record ("started %d nodes and %u workers in %u racks, trouble=%d", DEPLOYMENT_NODES,
                     _run.worker_count, desc->rack_count, deployment_has_trouble ());
  _run.watcher = g_thread_new ("watch", _watch, NULL);
}

void
deployment_wait_ready (void)
{
  int64_t end_ms = deployment_now_ms () + READY_TIMEOUT_MS;

  for (uint32_t i = 0; i < DEPLOYMENT_NODES;) {
    g_autofree char *address = g_strdup_printf ("%s:%d", _run.nodes[i].host, READY_PORT);
    CallReply reply;
    call_http (address, &(CallRequest){ .method = "GET", .path = "/api/readyz" }, &reply);
    if (reply.status == 200) {
      i++;
      continue;
    }
    if (deployment_now_ms () > end_ms)
      _fail ("the nodes aren't ready");
    deployment_sleep_ms (100);
  }
  deployment_sleep_ms (LISTED_MS);
  deployment_record ("all nodes are ready");
}

/* Clients. */

void
deployment_call_quietly (uint32_t node,
                         const char *method,
                         const char *job,
                         const char *body,
                         CallReply *out)
{
  g_autofree char *address = g_strdup_printf ("%s:%d", _run.nodes[node].host, CALLERS_PORT);
  g_autofree char *path = g_strconcat (DEPLOYMENT_PREFIX, job, NULL);
  CallRequest request = {
    .method = method, .path = path, .host = DEPLOYMENT_HOST, .key = DEPLOYMENT_KEY, .body = body
  };

  call_http (address, &request, out);
}

void
deployment_call (uint32_t node,
                 const char *method,
                 const char *job,
                 const char *body,
                 CallReply *out)
{
  deployment_call_quietly (node, method, job, body, out);
  deployment_record ("client: %s " DEPLOYMENT_PREFIX "%s at %s, body of %zu bytes %.300s: %u %s",
                     method, job, _run.nodes[node].name, body == NULL ? 0 : strlen (body),
                     body == NULL ? "" : body, out->status, out->body);
}

void
deployment_call_retrying (const char *method,
                          const char *job,
                          const char *body,
                          uint32_t tries,
                          CallReply *out)
{
  for (uint32_t i = 0; i < tries; i++) {
    deployment_call (_run.next_node++ % DEPLOYMENT_NODES, method, job, body, out);
    if (out->status != 0 && out->status != 429 && out->status < 500)
      return;
    deployment_sleep_ms (MAX (out->retry_after_ms, RETRY_MS));
  }
}

char *
deployment_state (const CallReply *reply)
{
  const char *at = strstr (reply->body, "\"state\":\"");

  if (reply->status != 200 || at == NULL)
    return g_strdup ("");
  at += strlen ("\"state\":\"");
  return g_strndup (at, strcspn (at, "\""));
}

/* Workers. */

uint32_t
deployment_worker_count (void)
{
  return _run.worker_count;
}

const char *
deployment_worker_rack (uint32_t worker)
{
  return _run.workers[worker].rack;
}

void
deployment_kill_worker (uint32_t worker)
{
  _kill (&_run.workers[worker].pid);
  deployment_record ("worker w%02u of rack %s crashes", worker, _run.workers[worker].rack);
}

void
deployment_restart_worker (uint32_t worker)
{
  _start_worker (worker);
  deployment_record ("worker w%02u is back with another identity", worker);
}

void
deployment_toggle_unhealthy (uint32_t worker)
{
  kill (_run.workers[worker].pid, SIGUSR1);
  deployment_record ("worker w%02u of rack %s begins or ceases to answer starts with 503", worker,
                     _run.workers[worker].rack);
}

static gint
_compare_events (gconstpointer a, gconstpointer b)
{
  const DeploymentEvent *one = a;
  const DeploymentEvent *two = b;

  return (one->at_ms > two->at_ms) - (one->at_ms < two->at_ms);
}

GArray *
deployment_events (void)
{
  GArray *events = g_array_new (FALSE, TRUE, sizeof (DeploymentEvent));
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (_run.worker_log, &text, NULL, NULL))
    _fail ("can't read the log of the workers");
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++) {
    g_auto (GStrv) words = g_strsplit (lines[i], " ", -1);
    DeploymentEvent event = { 0 };
    if (g_strv_length (words) < 6)
      continue;
    event.at_ms = g_ascii_strtoll (words[0], NULL, 10);
    event.worker = (uint32_t)g_ascii_strtoull (words[1] + 1, NULL, 10);
    g_strlcpy (event.event, words[2], sizeof event.event);
    g_strlcpy (event.task, words[3], sizeof event.task);
    event.run = (uint32_t)g_ascii_strtoull (words[4], NULL, 10);
    g_strlcpy (event.how, words[5], sizeof event.how);
    g_array_append_val (events, event);
  }
  g_array_sort (events, _compare_events);
  return events;
}

/* Nodes. */

DeploymentNode
deployment_node (uint32_t node)
{
  DeploymentNode seen;

  g_mutex_lock (&_run.lock);
  seen = _run.nodes[node].seen;
  g_mutex_unlock (&_run.lock);
  return seen;
}

void
deployment_signal_node (uint32_t node, int signal_number)
{
  g_mutex_lock (&_run.lock);
  _run.nodes[node].is_killed = true;
  if (_run.nodes[node].pid != 0)
    kill (_run.nodes[node].pid, signal_number);
  g_mutex_unlock (&_run.lock);
  deployment_record ("%s gets signal %d", _run.nodes[node].name, signal_number);
}

void
deployment_delay_entry (uint32_t node, int64_t late_ms)
{
  g_autofree char *path = g_strconcat ("/late/vp/member/", _run.nodes[node].name, NULL);
  g_autofree char *text = g_strdup_printf ("%" G_GINT64_FORMAT, late_ms);
  CallReply reply;

  call_http (_run.store_own, &(CallRequest){ .method = "POST", .path = path, .body = text },
             &reply);
  if (reply.status != 200)
    _fail ("the store stand-in doesn't answer");
  deployment_record (
      "store: the next write of the entry of %s will be done %s ms late, its answer is"
      " lost",
      _run.nodes[node].name, text);
}

bool
deployment_is_ready (uint32_t node)
{
  g_autofree char *address = g_strdup_printf ("%s:%d", _run.nodes[node].host, READY_PORT);
  CallReply reply;

  call_http (address, &(CallRequest){ .method = "GET", .path = "/api/readyz" }, &reply);
  return reply.status == 200;
}

bool
deployment_is_listed (uint32_t node)
{
  g_autofree char *path = g_strconcat ("/api/kv-key?key=vp/member/", _run.nodes[node].name, NULL);
  CallReply reply;

  call_http (_run.store, &(CallRequest){ .method = "GET", .path = path }, &reply);
  return reply.status == 200;
}

int32_t
deployment_leader (void)
{
  int32_t leader = -1;
  int64_t term_max = 0;

  for (uint32_t i = 0; i < DEPLOYMENT_NODES; i++) {
    g_autofree char *address = g_strdup_printf ("%s:%d", _run.nodes[i].host, METRICS_PORT);
    g_autofree char *text = NULL;
    const char *at;
    CallReply reply;
    int64_t term;
    call_http (address, &(CallRequest){ .method = "GET", .path = "/metrics" }, &reply);
    at = strstr (reply.body, "\nverbenapulley_owner_epoch ");
    term = at == NULL ? 0 : g_ascii_strtoll (strchr (at, ' ') + 1, NULL, 10);
    if (term <= term_max)
      continue;
    term_max = term;
    leader = (int32_t)i;
  }
  return leader;
}

/* End. */

static void
_copy_to_record (const char *path, const char *title)
{
  g_autofree char *text = NULL;

  if (path == NULL || !g_file_get_contents (path, &text, NULL, NULL))
    return;
  fprintf (_run.record, "\n%s\n%s", title, text);
}

static void
_remove_dir (void)
{
  g_autoptr (GDir) dir = _run.dir == NULL ? NULL : g_dir_open (_run.dir, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL) {
    g_autofree char *path = g_build_filename (_run.dir, name, NULL);
    g_unlink (path);
  }
  if (_run.dir != NULL)
    g_rmdir (_run.dir);
}

int
deployment_finish (bool is_broken)
{
  g_mutex_lock (&_run.lock);
  _run.is_ending = true;
  g_mutex_unlock (&_run.lock);
  if (_run.watcher != NULL)
    g_thread_join (_run.watcher);
  for (uint32_t i = 0; i < DEPLOYMENT_NODES; i++) {
    const Node *node = &_run.nodes[i];
    _kill (&_run.nodes[i].pid);
    if (node->name[0] != '\0')
      deployment_record ("%s: started %u times, ended by itself or for its memory %u times, at most"
                         " %u MB",
                         node->name, node->seen.starts, node->seen.ends,
                         (unsigned)node->seen.peak_mb);
  }
  for (uint32_t i = 0; i < _run.worker_count; i++)
    _kill (&_run.workers[i].pid);
  _kill (&_run.store_pid);
  deployment_record ("the rule %s", is_broken ? "was broken" : "held");
  _copy_to_record (_run.worker_log, "Workers: Unix time in ms, worker, event, task, run, end");
  if (g_getenv ("KEEP") == NULL)
    _remove_dir ();
  fclose (_run.record);
  return is_broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
