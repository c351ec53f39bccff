/* Fault soak: the real programs as separate processes on one machine, with stand-ins of the
 * platform, and faults from outside them.
 *
 *   soak --celld build/verbenapulley-celld --seed 7
 *
 * The seed decides jobs, faults and their times. Exits with 1 and a line with the seed if a promise
 * was broken; the logs of the processes stay in the folder that it names.
 */
#include "soak.h"

#include "callers.h"
#include "workers.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_MS        3000 /* until the first job */
#define GRACE_MS        4000
#define EXIT_MS         (GRACE_MS + 1000)
#define LOOK_MS         50
#define CALLERS_PORT    7100
#define READY_PORT      7110
#define PEER_PORT       7120
#define STORE_PORT      7200
#define CALLER_LINK     7600
#define PEER_LINK       7700
#define FAULT_GAP_MIN   300 /* ms between faults */
#define FAULT_GAP_MAX   2500
#define FAULT_MIN_MS    300 /* duration of one */
#define FAULT_MAX_MS    6000
#define CONFIG_APPLY_MS 3000

typedef struct {
  GPid pid;           /* 0: not running */
  int64_t start_ms;   /* it is started again then; 0: it runs */
  int64_t stop_by_ms; /* it must have ended by then after SIGTERM; 0: not asked to */
  int64_t paused_until_ms;
  bool was_paused; /* since it was asked to stop */
  char callers[VP_ADDRESS_MAX];
  char settings[256];
  FakeMap *peers[SOAK_NODES_MAX]; /* links to the others, by target */
} Node;

static struct {
  Soak soak;
  const char *celld;
  char *folder;
  GRand *rand;
  Node nodes[SOAK_NODES_MAX];
  SoakWorkers *workers;
  uint32_t config_version;
  uint32_t fault_count;
  int64_t end_ms;
} _run;

/* Ends all processes that this run has started. */
static void
_kill_all (void)
{
  for (uint32_t i = 0; i < _run.soak.node_count; i++) {
    if (_run.nodes[i].pid != 0)
      kill (_run.nodes[i].pid, SIGKILL);
  }
}

static void _log (const char *format, ...) G_GNUC_PRINTF (1, 2);

static void
_log (const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("%6.2f %s\n", (double)(fake_now_ms () - _run.soak.jobs.begin_ms) / 1000, text);
}

/* Broken promises that world-jobs.h finds. */
static void
_on_log (const char *domain, GLogLevelFlags level, const char *message, gpointer data)
{
  (void)domain;
  (void)data;
  if ((level & G_LOG_LEVEL_ERROR) != 0)
    soak_violated (&_run.soak, "%s", message);
  fprintf (stderr, "%s\n", message);
}

/* Processes. */

static void
_start (uint32_t number)
{
  Node *node = &_run.nodes[number];
  g_autofree char *log = g_strdup_printf ("%s/node-%u.log", _run.folder, number);
  pid_t parent = getpid ();
  pid_t pid;

  fflush (NULL);
  pid = fork ();

  if (pid == 0) {
    sigset_t none;
    sigemptyset (&none);
    sigprocmask (SIG_SETMASK, &none, NULL);
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    if (getppid () != parent || freopen (log, "a", stdout) == NULL
        || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
      _exit (EXIT_FAILURE);
    setenv ("VERBENAPULLEY_BOOT", node->settings, 1);
    execl (_run.celld, _run.celld, (char *)NULL);
    _exit (EXIT_FAILURE);
  }
  if (pid < 0)
    soak_violated (&_run.soak, "fork: %s", g_strerror (errno));
  node->pid = pid;
  node->start_ms = node->stop_by_ms = node->paused_until_ms = 0;
  node->was_paused = false;
}

static void
_ended (uint32_t number, int status, int64_t now_ms)
{
  Node *node = &_run.nodes[number];
  bool was_asked = node->stop_by_ms != 0;

  node->pid = 0;
  node->paused_until_ms = node->stop_by_ms = 0;
  if (node->start_ms == 0)
    node->start_ms = now_ms + LOOK_MS;
  if (WIFSIGNALED (status) && WTERMSIG (status) != SIGKILL)
    soak_violated (&_run.soak, "node %u ended by signal %d", number, WTERMSIG (status));
  if (WIFEXITED (status) && (!was_asked || WEXITSTATUS (status) != 0))
    soak_violated (&_run.soak, "node %u ended by itself with status %d", number,
                   WEXITSTATUS (status));
}

static void
_look (uint32_t number, int64_t now_ms)
{
  Node *node = &_run.nodes[number];
  int status;

  if (node->pid != 0 && waitpid (node->pid, &status, WNOHANG) == node->pid)
    _ended (number, status, now_ms);
  if (node->pid == 0 && now_ms >= node->start_ms)
    _start (number);
  if (node->paused_until_ms != 0 && now_ms >= node->paused_until_ms) {
    kill (node->pid, SIGCONT);
    node->paused_until_ms = 0;
  }
  if (node->pid != 0 && node->stop_by_ms != 0 && now_ms > node->stop_by_ms) {
    if (!node->was_paused)
      soak_violated (&_run.soak, "node %u did not end within %d ms of SIGTERM", number, EXIT_MS);
    node->stop_by_ms = 0;
    node->start_ms = now_ms;
    kill (node->pid, SIGKILL);
  }
}

static void
_kill (uint32_t number, int64_t for_ms)
{
  Node *node = &_run.nodes[number];

  if (node->pid == 0)
    return;
  node->start_ms = fake_now_ms () + for_ms;
  kill (node->pid, SIGKILL);
}

static void
_term (uint32_t number)
{
  Node *node = &_run.nodes[number];

  if (node->pid == 0 || node->stop_by_ms != 0 || node->start_ms != 0)
    return;
  node->was_paused = node->paused_until_ms != 0;
  node->stop_by_ms = fake_now_ms () + EXIT_MS;
  kill (node->pid, SIGTERM);
}

static void
_pause (uint32_t number, int64_t for_ms)
{
  Node *node = &_run.nodes[number];

  if (node->pid == 0 || node->start_ms != 0)
    return;
  node->paused_until_ms = fake_now_ms () + for_ms;
  node->was_paused = true;
  kill (node->pid, SIGSTOP);
}

/* Links between nodes, and to the store. */

static void
_set_links (uint32_t number, const char *mode_in, const char *mode_out)
{
  for (uint32_t i = 0; i < _run.soak.node_count; i++) {
    if (i == number)
      continue;
    fake_map_set_mode (_run.nodes[i].peers[number], mode_in, 20);
    fake_map_set_mode (_run.nodes[number].peers[i], mode_out, 20);
  }
}

/* Other nodes are reached through links, so each is shown their addresses in place of the own. */
static char *
_rewrite (uint32_t reader, const char *key, const char *value, void *data)
{
  const char *name = strstr (key, "member/node-");
  uint32_t target;

  (void)value;
  (void)data;
  if (name == NULL)
    return NULL;
  target = (uint32_t)g_ascii_strtoull (name + strlen ("member/node-"), NULL, 10);
  if (target >= _run.soak.node_count || target == reader)
    return NULL;
  return g_strdup (fake_map_address (_run.nodes[reader].peers[target]));
}

static void
_set_store (int32_t number, SoakStoreMode mode, double share, int64_t delay_ms)
{
  SoakStoreFault fault = { .mode = mode, .share = share, .delay_ms = delay_ms };

  for (uint32_t i = 0; i < _run.soak.node_count; i++) {
    if (number < 0 || (uint32_t)number == i)
      soak_store_fault (_run.soak.store, i, &fault);
  }
}

/* The configuration has a queue named after its version besides those of all versions. */
static void
_write_config (void)
{
  static const char queue[]
      = "{\"name\":\"%s\",\"host\":\"" SOAK_HOST "\",\"prefix\":\"/%s/\",\"service\":\"service\","
        "\"priority\":%d,\"max_attempts\":100,\"stretch\":2,\"target_latency_ms\":500%s}";
  g_autofree char *plain = g_strdup_printf (queue, "plain", "plain", 0, "");
  g_autofree char *advised
      = g_strdup_printf (queue, "advised", "advised", 2,
                         ",\"advice\":{\"decide_ms\":20,\"period_ms\":0.1,\"valid_ms\":2000}");
  g_autofree char *name = NULL, *extra = NULL, *text = NULL;

  _run.config_version += 3;
  name = g_strdup_printf ("extra-%u", _run.config_version);
  extra = g_strdup_printf (queue, name, name, 1, "");
  text = g_strdup_printf ("{\"version\":%u,\"routes\":[%s,%s,%s],\"tenants\":[{\"name\":\"team\","
                          "\"api_keys\":[\"" SOAK_KEY "\"],\"weight\":100}],"
                          "\"limits\":{\"max_body_bytes\":262144}}",
                          _run.config_version, plain, advised, extra);
  soak_store_put (_run.soak.store, "op/config", text);
}

/* Faults. */

typedef enum {
  FAULT_KILL,
  FAULT_KILL_ALL,
  FAULT_TERM,
  FAULT_PAUSE,
  FAULT_CUT,       /* from the other nodes */
  FAULT_ONE_WAY,   /* what it sends to others is lost */
  FAULT_DELAY,     /* to and from the others */
  FAULT_RESET,     /* connections of callers */
  FAULT_STORE_ONE, /* the store is away for one node */
  FAULT_STORE_ALL,
  FAULT_STORE_SLOW,
  FAULT_STORE_LOSES,
  FAULT_STORE_FORGETS,
  FAULT_WORKER_CRASH,
  FAULT_WORKER_CUT,
  FAULT_WORKER_DRAIN,
  FAULT_COMMANDS_LATE,
  FAULT_CONFIG,
  FAULT_COUNT,
} FaultKind;

typedef struct {
  FaultKind kind;
  uint32_t node;
  uint32_t worker;
} Fault;

static void
_heal (void *data)
{
  Fault *fault = data;

  switch (fault->kind) {
  case FAULT_CUT:
  case FAULT_ONE_WAY:
  case FAULT_DELAY:
    _set_links (fault->node, "pass", "pass");
    break;
  case FAULT_STORE_ONE:
    _set_store ((int32_t)fault->node, SOAK_STORE_SERVES, 0, 0);
    break;
  case FAULT_STORE_ALL:
  case FAULT_STORE_SLOW:
  case FAULT_STORE_LOSES:
    _set_store (-1, SOAK_STORE_SERVES, 0, 0);
    break;
  case FAULT_WORKER_CUT:
    soak_workers_link (_run.workers, fault->worker, "pass");
    break;
  case FAULT_COMMANDS_LATE:
    soak_workers_late (_run.workers, 0);
    break;
  default:
    break;
  }
  g_free (fault);
}

static void
_begin (const Fault *fault, int64_t for_ms)
{
  static const char *const names[FAULT_COUNT]
      = { "kill",         "kill-all",    "term",          "pause",        "cut",
          "one-way",      "delay",       "reset",         "store-one",    "store-all",
          "store-slow",   "store-loses", "store-forgets", "worker-crash", "worker-cut",
          "worker-drain", "orders-late", "config" };
  SoakStoreMode away
      = (SoakStoreMode)g_rand_int_range (_run.rand, SOAK_STORE_REJECTS, SOAK_STORE_LOSES);

  _log ("%s node=%u worker=%u for_ms=%d", names[fault->kind], fault->node, fault->worker,
        (int)for_ms);
  switch (fault->kind) {
  case FAULT_KILL:
    _kill (fault->node, for_ms);
    break;
  case FAULT_KILL_ALL:
    for (uint32_t i = 0; i < _run.soak.node_count; i++)
      _kill (i, for_ms / 4);
    break;
  case FAULT_TERM:
    _term (fault->node);
    break;
  case FAULT_PAUSE:
    _pause (fault->node, for_ms);
    break;
  case FAULT_CUT:
    _set_links (fault->node, "stall", "stall");
    break;
  case FAULT_ONE_WAY:
    _set_links (fault->node, "pass", "cut-to-target");
    break;
  case FAULT_DELAY:
    _set_links (fault->node, "delay", "delay");
    break;
  case FAULT_RESET:
    fake_map_set_mode (_run.soak.callers[fault->node], "reset", 0);
    break;
  case FAULT_STORE_ONE:
    _set_store ((int32_t)fault->node, away, 0, 0);
    break;
  case FAULT_STORE_ALL:
    _set_store (-1, away, 0, 0);
    break;
  case FAULT_STORE_SLOW:
    _set_store (-1, SOAK_STORE_SERVES, 0, 250);
    break;
  case FAULT_STORE_LOSES:
    _set_store (-1, SOAK_STORE_LOSES, 0.35, 0);
    break;
  case FAULT_STORE_FORGETS:
    soak_store_compact (_run.soak.store);
    break;
  case FAULT_WORKER_CRASH:
    soak_workers_crash (_run.workers, fault->worker, for_ms);
    break;
  case FAULT_WORKER_CUT:
    soak_workers_link (_run.workers, fault->worker, for_ms % 2 == 0 ? "stall" : "cut");
    break;
  case FAULT_WORKER_DRAIN:
    soak_workers_drain (_run.workers, fault->worker, for_ms);
    break;
  case FAULT_COMMANDS_LATE:
    soak_workers_late (_run.workers, 0.2);
    break;
  case FAULT_CONFIG:
    _write_config ();
    break;
  case FAULT_COUNT:
    break;
  }
}

static void
_next_fault (void *data)
{
  int64_t now_ms = fake_now_ms ();
  int64_t for_ms = g_rand_int_range (_run.rand, FAULT_MIN_MS, FAULT_MAX_MS);
  Fault *fault = g_new0 (Fault, 1);

  (void)data;
  fault->kind = (FaultKind)g_rand_int_range (_run.rand, 0, FAULT_COUNT);
  fault->node = (uint32_t)g_rand_int_range (_run.rand, 0, (gint32)_run.soak.node_count);
  fault->worker = (uint32_t)g_rand_int_range (_run.rand, 0, (gint32)_run.soak.worker_count);
  if (now_ms > _run.end_ms) {
    g_free (fault);
    return;
  }
  _run.fault_count++;
  _begin (fault, for_ms);
  fake_timer_add (now_ms + for_ms, _heal, fault);
  fake_timer_add (now_ms + g_rand_int_range (_run.rand, FAULT_GAP_MIN, FAULT_GAP_MAX), _next_fault,
                  NULL);
}

static void
_calm (void *data)
{
  (void)data;
  _log ("calm");
  __atomic_store_n (&_run.soak.calm_ms, fake_now_ms (), __ATOMIC_SEQ_CST);
}

/* The end. */

/* Asks each node for the newest queue and for the one that it replaced. */
static gpointer
_finish (gpointer data)
{
  Soak *soak = &_run.soak;
  g_autofree char *present = g_strdup_printf ("/extra-%u/", _run.config_version);
  g_autofree char *removed = g_strdup_printf ("/extra-%u/", _run.config_version - 3);

  (void)data;
  soak_callers_join ();
  for (uint32_t i = 0; i < soak->node_count; i++) {
    const char *address = fake_map_address (soak->callers[i]);
    uint32_t status = soak_callers_get (address, present, SOAK_KEY);
    if (status != 200)
      soak_violated (soak, "node %u answers %u for a queue of the newest configuration", i, status);
    status = soak_callers_get (address, removed, SOAK_KEY);
    if (status != 404)
      soak_violated (soak, "node %u answers %u for a queue that was removed", i, status);
  }
  soak_workers_check_lasting (_run.workers);
  printf ("seed %u: faults=%u accepted=%u completed=%u refused=%u uncertain=%u\n", soak->seed,
          _run.fault_count, soak->accepted_count, soak->completed_count, soak->refused_count,
          soak->uncertain_count);
  fflush (stdout);
  _kill_all ();
  if (soak->completed_count == 0)
    soak_violated (soak, "no job was completed");
  _exit (EXIT_SUCCESS);
}

static void
_tick (void *data)
{
  int64_t now_ms = fake_now_ms ();

  (void)data;
  for (uint32_t i = 0; i < _run.soak.node_count; i++)
    _look (i, now_ms);
  fake_timer_add (now_ms + LOOK_MS, _tick, NULL);
}

static void
_wait_for_end (void *data)
{
  (void)data;
  g_thread_unref (g_thread_new ("finish", _finish, NULL));
}

/* Setup. */

static void
_setup_node (uint32_t number)
{
  Node *node = &_run.nodes[number];
  const Soak *soak = &_run.soak;
  uint32_t host = number + 1;
  g_autofree char *text = NULL;
  char address[VP_ADDRESS_MAX];

  g_snprintf (node->callers, sizeof node->callers, "%s.%u:%d", soak->net, host, CALLERS_PORT);
  g_snprintf (address, sizeof address, "%s.%u:%d", soak->net, host, CALLER_LINK);
  _run.soak.callers[number] = fake_map_new (address, node->callers);
  g_snprintf (address, sizeof address, "%s.%u:%d", soak->net, host, STORE_PORT);
  soak_store_listen (soak->store, number, address);
  g_snprintf (node->settings, sizeof node->settings, "%s/node-%u.json", _run.folder, number);
  text = g_strdup_printf ("{\"name\":\"node-%u\",\"dc\":\"dc\",\"callers_address\":\"%s\","
                          "\"ready_address\":\"%s.%u:%d\",\"host\":\"%s.%u\",\"peer_port\":%d,"
                          "\"cpu_share\":%s,\"store_address\":\"%s\",\"advice_address\":\"%s\","
                          "\"hold_max_ms\":6000,\"retention_s\":120,\"grace_s\":%d}",
                          number, node->callers, soak->net, host, READY_PORT, soak->net, host,
                          PEER_PORT, number % 2 == 0 ? "0.5" : "0.25", address,
                          soak_workers_advice (_run.workers), GRACE_MS / 1000);
  if (!g_file_set_contents (node->settings, text, -1, NULL))
    soak_violated (soak, "can't write %s", node->settings);
}

static void
_setup_links (void)
{
  for (uint32_t from = 0; from < _run.soak.node_count; from++) {
    for (uint32_t to = 0; to < _run.soak.node_count; to++) {
      char listen[VP_ADDRESS_MAX], target[VP_ADDRESS_MAX];
      g_snprintf (listen, sizeof listen, "%s.%u:%u", _run.soak.net, from + 1, PEER_LINK + to);
      g_snprintf (target, sizeof target, "%s.%u:%d", _run.soak.net, to + 1, PEER_PORT);
      if (from != to)
        _run.nodes[from].peers[to] = fake_map_new (listen, target);
    }
  }
}

static error_t
_option (int key, char *arg, struct argp_state *state)
{
  Soak *soak = &_run.soak;

  switch (key) {
  case 'p':
    _run.celld = arg;
    return 0;
  case 's':
    soak->seed = (uint32_t)strtoul (arg, NULL, 10);
    return 0;
  case 't':
    soak->fault_ms = (int64_t)strtoul (arg, NULL, 10) * 1000;
    return 0;
  case 'n':
    soak->node_count = CLAMP ((uint32_t)strtoul (arg, NULL, 10), 2, SOAK_NODES_MAX);
    return 0;
  case 'w':
    soak->worker_count = CLAMP ((uint32_t)strtoul (arg, NULL, 10), 1, SOAK_WORKERS_MAX);
    return 0;
  case 'c':
    soak->caller_count = (uint32_t)strtoul (arg, NULL, 10);
    return 0;
  case ARGP_KEY_END:
    if (_run.celld == NULL)
      argp_error (state, "--celld is missing");
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "celld", 'p', "PATH", 0, "program under test", 0 },
    { "seed", 's', "N", 0, "decides jobs, faults and times; default 1", 0 },
    { "seconds", 't', "N", 0, "faults come for this long; default 30", 0 },
    { "nodes", 'n', "N", 0, "processes under test; default 4", 0 },
    { "workers", 'w', "N", 0, "stand-ins of workers; default 6", 0 },
    { "callers", 'c', "N", 0, "callers at a time; default 12", 0 },
    { 0 },
  };
  static const struct argp argp = { options, _option, NULL, NULL, NULL, NULL, NULL };
  Soak *soak = &_run.soak;
  int64_t now_ms;

  *soak = (Soak){ .seed = 1,
                  .node_count = 4,
                  .worker_count = 6,
                  .caller_count = 12,
                  .fault_ms = 30000,
                  .settle_ms = 30000,
                  .abandon = _kill_all };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  /* Runs at the same time use different loopback addresses. */
  g_snprintf (soak->net, sizeof soak->net, "127.%d.%d", 40 + getpid () % 100,
              getpid () / 100 % 250);
  g_log_set_default_handler (_on_log, NULL);
  _run.folder = g_dir_make_tmp ("soak-XXXXXX", NULL);
  soak->log_dir = _run.folder;
  _run.rand = g_rand_new_with_seed (soak->seed);
  g_mutex_init (&soak->lock);
  fake_setup ();
  now_ms = fake_now_ms ();
  soak->jobs = (WorldJobs){ .seed = soak->seed,
                            .begin_ms = now_ms,
                            .by_id = g_hash_table_new (g_int64_hash, g_int64_equal),
                            .workers = g_ptr_array_new () };
  soak->store = soak_store_new (soak->seed, _rewrite, NULL);
  _run.workers = soak_workers_new (soak);
  _setup_links ();
  for (uint32_t i = 0; i < soak->node_count; i++)
    _setup_node (i);
  _write_config ();
  _write_config ();
  _run.end_ms = now_ms + START_MS + soak->fault_ms;
  fake_timer_add (now_ms + START_MS, (FakeFunc)(void *)soak_callers_start, soak);
  fake_timer_add (now_ms + START_MS, _next_fault, NULL);
  fake_timer_add (_run.end_ms + FAULT_MAX_MS + CONFIG_APPLY_MS, _calm, NULL);
  fake_timer_add (_run.end_ms + FAULT_MAX_MS + CONFIG_APPLY_MS, _wait_for_end, NULL);
  _tick (NULL);
  fake_run ();
  return EXIT_SUCCESS;
}
