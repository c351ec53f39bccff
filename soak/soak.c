/* Fault soak: runs the real daemons as separate processes on one machine against stand-ins for the
 * platform, and injects faults into processes, links, the store and the workers.
 *
 *   soak --celld build/verbenapulley-celld --seed 7
 *
 * The seed determines jobs, faults and their times. If a guarantee is violated, soak prints a line
 * with the seed and the directory of the processes' logs, and exits with status 1.
 */
#include "soak.h"

#include "callers.h"
#include "evacuations.h"
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

#define WARMUP_MS             3000 /* time before the first job and the first fault */
#define SHUTDOWN_GRACE_MS     4000
#define EXIT_TIMEOUT_MS       (SHUTDOWN_GRACE_MS + 1000)
#define PROCESS_POLL_MS       50
#define CALLERS_PORT          7100
#define READY_PORT            7110
#define PEER_PORT             7120
#define STORE_PORT            7200
#define CALLER_LINK_PORT      7600
#define PEER_LINK_PORT        7700
#define FAULT_GAP_MIN_MS      300 /* time between the starts of two faults */
#define FAULT_GAP_MAX_MS      2500
#define FAULT_DURATION_MIN_MS 300 /* duration of one fault */
#define FAULT_DURATION_MAX_MS 6000
#define CONFIG_APPLY_MS       3000
#define ODD_ENTRY_NESTING     20000
#define SERIES_LENGTH         4    /* changes of the leader in a series, after the first */
#define SERIES_GAP_MAX_MS     2000 /* time between two changes of the leader */
#define SERIES_DELAY_MAX_MS   6000 /* delay of slow links between nodes */
#define SERIES_PAUSE_MS       6000 /* time between two series */
#define MEASURE_SETTLE_MS     5000

typedef struct {
  GPid pid;                 /* 0 if not running */
  int64_t restart_at_ms;    /* time of the restart after an exit; 0 if none is planned */
  int64_t exit_deadline_ms; /* deadline of the exit after SIGTERM; 0 without SIGTERM */
  int64_t resume_at_ms;
  bool was_paused; /* paused during or after SIGTERM, so the exit may take longer */
  char callers_address[VP_ADDRESS_MAX];
  char settings_path[256];
  FakeMapping *peer_links[SOAK_NODES_MAX]; /* links to the other nodes, by index of the target */
} Node;

static struct {
  Soak soak;
  const char *celld;
  char *work_dir;
  GRand *rand;
  GRand *odd_entry_rand; /* of its own, so that the faults of a seed don't depend on odd entries */
  GRand *series_rand;    /* of its own for the same reason */
  GRand *queue_rand;     /* likewise */
  bool has_series;       /* leaders change in series, and relays carry the commands */
  bool kills_leader;     /* before a measurement */
  Node nodes[SOAK_NODES_MAX];
  SoakWorkers *workers;
  uint32_t config_version;
  bool is_queue_dropped; /* the queue "plain" is missing from the configuration */
  uint32_t fault_count;
  int64_t fault_end_ms;
} _run;

/* Kills all processes that this run has started. */
static void
_kill_all (void)
{
  for (uint32_t i = 0; i < _run.soak.node_count; i++) {
    if (_run.nodes[i].pid != 0)
      kill (_run.nodes[i].pid, SIGKILL);
  }
}

void
soak_log (const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("%6.2f %s\n", (double)(fake_now_ms () - _run.soak.jobs.begin_ms) / 1000, text);
}

/* Fails the run on g_error(), which the checks of simcell-jobs.h call. */
static GLogWriterOutput
_write_log (GLogLevelFlags level, const GLogField *fields, gsize field_count, gpointer data)
{
  (void)data;
  for (gsize i = 0; (level & G_LOG_LEVEL_ERROR) != 0 && i < field_count; i++) {
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      soak_fail (&_run.soak, "%s", (const char *)fields[i].value);
  }
  return g_log_writer_standard_streams (level, fields, field_count, NULL);
}

/* Processes. */

static void
_start_node (uint32_t number)
{
  Node *node = &_run.nodes[number];
  g_autofree char *log = g_strdup_printf ("%s/node-%u.log", _run.work_dir, number);
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
    setenv ("VERBENAPULLEY_BOOT", node->settings_path, 1);
    execl (_run.celld, _run.celld, (char *)NULL);
    _exit (EXIT_FAILURE);
  }
  if (pid < 0)
    soak_fail (&_run.soak, "fork: %s", g_strerror (errno));
  node->pid = pid;
  node->restart_at_ms = node->exit_deadline_ms = node->resume_at_ms = 0;
  node->was_paused = false;
}

static void
_handle_exit (uint32_t number, int status, int64_t now_ms)
{
  Node *node = &_run.nodes[number];
  bool was_terminated = node->exit_deadline_ms != 0;

  node->pid = 0;
  node->resume_at_ms = node->exit_deadline_ms = 0;
  if (node->restart_at_ms == 0)
    node->restart_at_ms = now_ms + PROCESS_POLL_MS;
  if (WIFSIGNALED (status) && WTERMSIG (status) != SIGKILL)
    soak_fail (&_run.soak, "node %u was killed by signal %d", number, WTERMSIG (status));
  if (WIFEXITED (status) && (!was_terminated || WEXITSTATUS (status) != 0))
    soak_fail (&_run.soak, "node %u exited unexpectedly with status %d", number,
               WEXITSTATUS (status));
}

static void
_update_node (uint32_t number, int64_t now_ms)
{
  Node *node = &_run.nodes[number];
  int status;

  if (node->pid != 0 && waitpid (node->pid, &status, WNOHANG) == node->pid)
    _handle_exit (number, status, now_ms);
  if (node->pid == 0 && now_ms >= node->restart_at_ms)
    _start_node (number);
  if (node->resume_at_ms != 0 && now_ms >= node->resume_at_ms) {
    kill (node->pid, SIGCONT);
    node->resume_at_ms = 0;
  }
  if (node->pid != 0 && node->exit_deadline_ms != 0 && now_ms > node->exit_deadline_ms) {
    if (!node->was_paused)
      soak_fail (&_run.soak, "node %u did not exit within %d ms of SIGTERM", number,
                 EXIT_TIMEOUT_MS);
    node->exit_deadline_ms = 0;
    node->restart_at_ms = now_ms;
    kill (node->pid, SIGKILL);
  }
}

static void
_kill_node (uint32_t number, int64_t for_ms)
{
  Node *node = &_run.nodes[number];

  if (node->pid == 0)
    return;
  node->restart_at_ms = fake_now_ms () + for_ms;
  kill (node->pid, SIGKILL);
}

static void
_terminate_node (uint32_t number)
{
  Node *node = &_run.nodes[number];

  if (node->pid == 0 || node->exit_deadline_ms != 0 || node->restart_at_ms != 0)
    return;
  node->was_paused = node->resume_at_ms != 0;
  node->exit_deadline_ms = fake_now_ms () + EXIT_TIMEOUT_MS;
  kill (node->pid, SIGTERM);
}

static void
_pause_node (uint32_t number, int64_t for_ms)
{
  Node *node = &_run.nodes[number];

  if (node->pid == 0 || node->restart_at_ms != 0)
    return;
  node->resume_at_ms = fake_now_ms () + for_ms;
  node->was_paused = true;
  _run.soak.paused_until_ms
      = MAX (_run.soak.paused_until_ms, node->resume_at_ms + PROCESS_POLL_MS + SOAK_CONTACT_MS);
  kill (node->pid, SIGSTOP);
}

/* Links between nodes and faults of the store. */

static void
_set_peer_link_modes (uint32_t number, const char *mode_in, const char *mode_out)
{
  for (uint32_t i = 0; i < _run.soak.node_count; i++) {
    if (i == number)
      continue;
    fake_mapping_set_mode (_run.nodes[i].peer_links[number], mode_in, 20);
    fake_mapping_set_mode (_run.nodes[number].peer_links[i], mode_out, 20);
  }
}

/* Replaces the address of another node in the store by the address of the reader's link to it. */
static char *
_rewrite_member_address (uint32_t reader, const char *key, const char *value, void *data)
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
  return g_strdup (fake_mapping_address (_run.nodes[reader].peer_links[target]));
}

static void
_set_store_fault (int32_t number, SoakStoreMode mode, double lost_share, int64_t delay_ms)
{
  SoakStoreFault fault = { .mode = mode, .lost_share = lost_share, .delay_ms = delay_ms };

  for (uint32_t i = 0; i < _run.soak.node_count; i++) {
    if (number < 0 || (uint32_t)number == i)
      soak_store_set_fault (_run.soak.store, i, &fault);
  }
}

/* Guards against texts that are cut or refused for their length: longer than each array that the
 * product ever had for one. */
#define LONG_TEXT_BYTES 300

/* Writes a configuration with two constant queues, of which one may be dropped, and one queue named
 * after its version, which shows whether a node has applied this version. */
static void
_write_config (void)
{
  static const char queue[]
      = "{\"name\":\"%s\",\"host\":\"" SOAK_HOST "\",\"prefix\":\"/%s/\",\"service\":\"service%s\","
        "\"priority\":%d,\"max_attempts\":100,\"stretch\":2,\"target_latency_ms\":500%s}";
  const char *long_text = _run.soak.long_text;
  g_autofree char *plain = g_strdup_printf (queue, "plain", "plain", long_text, 0, "");
  g_autofree char *advised
      = g_strdup_printf (queue, "advised", "advised", long_text, 2,
                         ",\"advice\":{\"decide_ms\":20,\"period_ms\":0.1,\"valid_ms\":2000}");
  g_autofree char *name = NULL, *extra = NULL, *text = NULL;

  _run.config_version += 3;
  name = g_strdup_printf ("extra-%u", _run.config_version);
  extra = g_strdup_printf (queue, name, name, long_text, 1, "");
  text
      = g_strdup_printf ("{\"version\":%u,\"routes\":[%s%s%s,%s],\"tenants\":[{\"name\":\"team%s\","
                         "\"api_keys\":[\"" SOAK_KEY "\"],\"weight\":100}],"
                         "\"limits\":{\"max_body_bytes\":262144}}",
                         _run.config_version, _run.is_queue_dropped ? "" : plain,
                         _run.is_queue_dropped ? "" : ",", advised, extra, long_text);
  soak_store_put (_run.soak.store, "op/config", text);
}

/* Drops the queue "plain" for some seconds, again and again; its accepted jobs go on. */
static void
_toggle_queue (void *data)
{
  int64_t now_ms = fake_now_ms ();
  int64_t for_ms = g_rand_int_range (_run.queue_rand, FAULT_DURATION_MIN_MS, FAULT_DURATION_MAX_MS);

  (void)data;
  if (!_run.is_queue_dropped && now_ms > _run.fault_end_ms)
    return;
  _run.is_queue_dropped = !_run.is_queue_dropped;
  soak_log ("queue is_dropped=%d", _run.is_queue_dropped);
  _write_config ();
  /* A node that is paused or cut off gets the next configuration late. */
  if (_run.is_queue_dropped)
    __atomic_store_n (&_run.soak.queue_missing_ms,
                      now_ms + for_ms + FAULT_DURATION_MAX_MS + CONFIG_APPLY_MS, __ATOMIC_SEQ_CST);
  fake_timer_add (now_ms + for_ms, _toggle_queue, NULL);
}

/* Odd entries. */

static void _put_odd_entry (void *data);

static void
_schedule_odd_entry (int64_t now_ms)
{
  fake_timer_add (
      now_ms + g_rand_int_range (_run.odd_entry_rand, FAULT_DURATION_MIN_MS, FAULT_DURATION_MAX_MS),
      _put_odd_entry, NULL);
}

static void
_remove_odd_entry (void *data)
{
  (void)data;
  soak_store_put (_run.soak.store, "servers/odd", NULL);
  _schedule_odd_entry (fake_now_ms ());
}

/* Another writer puts an entry among those of the workers that describes none. */
static void
_put_odd_entry (void *data)
{
  static const char entry[]
      = "{\"service\":\"service\",\"address\":\"%s\",\"zone\":\"dc\",\"state\":\"ready\","
        "\"labels\":[\"a\",\"r0\"],\"capacity\":{\"cpu\":%s,\"mem_mb\":32768},\"other\":%s}";
  static const struct {
    const char *address;
    const char *cpu;
  } odd[] = { { "127.0.0.1:1", "1e300" },
              { "127.0.0.1:1", "18446744073709551617" },
              { "127.0.0.1:65536", "16000" },
              { "printer", "16000" } };
  int64_t now_ms = fake_now_ms ();
  guint i = (guint)g_rand_int_range (_run.odd_entry_rand, 0, G_N_ELEMENTS (odd) + 1);
  g_autofree char *open = g_strnfill (ODD_ENTRY_NESTING, '[');
  g_autofree char *close = g_strnfill (ODD_ENTRY_NESTING, ']');
  g_autofree char *nested = g_strconcat (open, close, NULL);
  g_autofree char *text = i < G_N_ELEMENTS (odd)
                              ? g_strdup_printf (entry, odd[i].address, odd[i].cpu, "0")
                              : g_strdup_printf (entry, "127.0.0.1:1", "16000", nested);

  (void)data;
  if (now_ms > _run.fault_end_ms)
    return;
  soak_log ("odd-entry number=%u", i);
  soak_store_put (_run.soak.store, "servers/odd", text);
  fake_timer_add (
      now_ms + g_rand_int_range (_run.odd_entry_rand, FAULT_DURATION_MIN_MS, FAULT_DURATION_MAX_MS),
      _remove_odd_entry, NULL);
}

/* Faults. */

typedef enum {
  FAULT_KILL,
  FAULT_KILL_ALL,
  FAULT_TERMINATE,
  FAULT_PAUSE,
  FAULT_PARTITION, /* no traffic to or from the other nodes */
  FAULT_ONE_WAY,   /* messages to the other nodes are lost */
  FAULT_DELAY,     /* delayed traffic to and from the other nodes */
  FAULT_RESET,     /* connections of callers are reset */
  FAULT_STORE_ONE, /* the store fails for one node */
  FAULT_STORE_ALL, /* the store fails for all nodes */
  FAULT_STORE_SLOW,
  FAULT_STORE_LOST_REPLIES,
  FAULT_STORE_COMPACT,
  FAULT_WORKER_CRASH,
  FAULT_WORKER_CUT, /* the link to a worker stalls or is cut */
  FAULT_WORKER_DRAIN,
  FAULT_COMMANDS_DELAYED,
  FAULT_CONFIG,
  FAULT_KIND_COUNT,
} FaultKind;

typedef struct {
  FaultKind kind;
  uint32_t node;
  uint32_t worker;
} Fault;

static void
_end_fault (void *data)
{
  Fault *fault = data;

  switch (fault->kind) {
  case FAULT_PARTITION:
  case FAULT_ONE_WAY:
  case FAULT_DELAY:
    _set_peer_link_modes (fault->node, "pass", "pass");
    break;
  case FAULT_STORE_ONE:
    _set_store_fault ((int32_t)fault->node, SOAK_STORE_SERVES, 0, 0);
    break;
  case FAULT_STORE_ALL:
  case FAULT_STORE_SLOW:
  case FAULT_STORE_LOST_REPLIES:
    _set_store_fault (-1, SOAK_STORE_SERVES, 0, 0);
    break;
  case FAULT_WORKER_CUT:
    soak_workers_set_link_mode (_run.workers, fault->worker, "pass");
    break;
  case FAULT_COMMANDS_DELAYED:
    soak_workers_set_delayed_share (_run.workers, 0);
    break;
  default:
    break;
  }
  g_free (fault);
}

static void
_begin_fault (const Fault *fault, int64_t for_ms)
{
  static const char *const names[FAULT_KIND_COUNT] = { "kill",
                                                       "kill-all",
                                                       "term",
                                                       "pause",
                                                       "partition",
                                                       "one-way",
                                                       "delay",
                                                       "reset",
                                                       "store-one",
                                                       "store-all",
                                                       "store-slow",
                                                       "store-lost-replies",
                                                       "store-compact",
                                                       "worker-crash",
                                                       "worker-cut",
                                                       "worker-drain",
                                                       "commands-delayed",
                                                       "config" };
  SoakStoreMode outage_mode
      = (SoakStoreMode)g_rand_int_range (_run.rand, SOAK_STORE_REJECTS, SOAK_STORE_LOSES_REPLIES);

  soak_log ("%s node=%u worker=%u for_ms=%d", names[fault->kind], fault->node, fault->worker,
            (int)for_ms);
  switch (fault->kind) {
  case FAULT_KILL:
    _kill_node (fault->node, for_ms);
    break;
  case FAULT_KILL_ALL:
    for (uint32_t i = 0; i < _run.soak.node_count; i++)
      _kill_node (i, for_ms / 4);
    break;
  case FAULT_TERMINATE:
    _terminate_node (fault->node);
    break;
  case FAULT_PAUSE:
    _pause_node (fault->node, for_ms);
    break;
  case FAULT_PARTITION:
    _set_peer_link_modes (fault->node, "stall", "stall");
    break;
  case FAULT_ONE_WAY:
    _set_peer_link_modes (fault->node, "pass", "cut-to-target");
    break;
  case FAULT_DELAY:
    _set_peer_link_modes (fault->node, "delay", "delay");
    break;
  case FAULT_RESET:
    fake_mapping_set_mode (_run.soak.caller_links[fault->node], "reset", 0);
    break;
  case FAULT_STORE_ONE:
    _set_store_fault ((int32_t)fault->node, outage_mode, 0, 0);
    break;
  case FAULT_STORE_ALL:
    _set_store_fault (-1, outage_mode, 0, 0);
    break;
  case FAULT_STORE_SLOW:
    _set_store_fault (-1, SOAK_STORE_SERVES, 0, 250);
    break;
  case FAULT_STORE_LOST_REPLIES:
    _set_store_fault (-1, SOAK_STORE_LOSES_REPLIES, 0.35, 0);
    break;
  case FAULT_STORE_COMPACT:
    soak_store_compact (_run.soak.store);
    break;
  case FAULT_WORKER_CRASH:
    soak_workers_crash (_run.workers, fault->worker, for_ms);
    break;
  case FAULT_WORKER_CUT:
    soak_workers_set_link_mode (_run.workers, fault->worker, for_ms % 2 == 0 ? "stall" : "cut");
    break;
  case FAULT_WORKER_DRAIN:
    soak_workers_drain (_run.workers, fault->worker, for_ms);
    break;
  case FAULT_COMMANDS_DELAYED:
    soak_workers_set_delayed_share (_run.workers, 0.2);
    break;
  case FAULT_CONFIG:
    _write_config ();
    break;
  case FAULT_KIND_COUNT:
    break;
  }
}

static void
_inject_fault (void *data)
{
  int64_t now_ms = fake_now_ms ();
  int64_t for_ms = g_rand_int_range (_run.rand, FAULT_DURATION_MIN_MS, FAULT_DURATION_MAX_MS);
  Fault *fault = g_new0 (Fault, 1);

  (void)data;
  fault->kind = (FaultKind)g_rand_int_range (_run.rand, 0, FAULT_KIND_COUNT);
  fault->node = (uint32_t)g_rand_int_range (_run.rand, 0, (gint32)_run.soak.node_count);
  fault->worker = (uint32_t)g_rand_int_range (_run.rand, 0, (gint32)_run.soak.worker_count);
  if (now_ms > _run.fault_end_ms) {
    g_free (fault);
    return;
  }
  _run.fault_count++;
  _begin_fault (fault, for_ms);
  fake_timer_add (now_ms + for_ms, _end_fault, fault);
  fake_timer_add (now_ms + g_rand_int_range (_run.rand, FAULT_GAP_MIN_MS, FAULT_GAP_MAX_MS),
                  _inject_fault, NULL);
}

/* Series of faults: the leaders are killed or terminated one after the other, while links between
 * nodes are slow. */

static void
_end_slow_links (void *data)
{
  _set_peer_link_modes (GPOINTER_TO_UINT (data), "pass", "pass");
}

static void
_continue_series (void *data)
{
  uint32_t left = GPOINTER_TO_UINT (data);
  int64_t now_ms = fake_now_ms ();
  int32_t leader = soak_store_leader (_run.soak.store);
  uint32_t node = (uint32_t)g_rand_int_range (_run.series_rand, 0, (gint32)_run.soak.node_count);
  int64_t for_ms = g_rand_int_range (_run.series_rand, 100, SERIES_GAP_MAX_MS);
  int64_t delay_ms = g_rand_int_range (_run.series_rand, 500, SERIES_DELAY_MAX_MS);
  bool is_killed = g_rand_boolean (_run.series_rand);
  int64_t gap_ms
      = left > 0 ? g_rand_int_range (_run.series_rand, 200, SERIES_GAP_MAX_MS) : SERIES_PAUSE_MS;

  if (now_ms > _run.fault_end_ms)
    return;
  soak_log ("series leader=%d %s slow_node=%u delay_ms=%d", leader, is_killed ? "kill" : "term",
            node, (int)delay_ms);
  if (leader >= 0 && (uint32_t)leader < _run.soak.node_count) {
    if (is_killed)
      _kill_node ((uint32_t)leader, for_ms);
    else
      _terminate_node ((uint32_t)leader);
  }
  for (uint32_t i = 0; i < _run.soak.node_count; i++) {
    if (i == node)
      continue;
    fake_mapping_set_mode (_run.nodes[i].peer_links[node], "delay", delay_ms);
    fake_mapping_set_mode (_run.nodes[node].peer_links[i], "delay", delay_ms);
  }
  fake_timer_add (now_ms + for_ms + delay_ms, _end_slow_links, GUINT_TO_POINTER (node));
  fake_timer_add (now_ms + gap_ms, _continue_series,
                  GUINT_TO_POINTER (left > 0 ? left - 1 : SERIES_LENGTH));
}

static void
_end_fault_phase (void *data)
{
  (void)data;
  soak_log ("faults-ended");
  __atomic_store_n (&_run.soak.faults_ended_ms, fake_now_ms (), __ATOMIC_SEQ_CST);
}

/* Final checks. */

/* Waits for the callers, then checks that each node serves the queue of the newest configuration
 * and not the one of the configuration before. */
static gpointer
_check_and_exit (gpointer data)
{
  Soak *soak = &_run.soak;
  g_autofree char *newest_path = g_strdup_printf ("/extra-%u/", _run.config_version);
  g_autofree char *removed_path = g_strdup_printf ("/extra-%u/", _run.config_version - 3);

  (void)data;
  soak_callers_join ();
  for (uint32_t i = 0; i < soak->node_count; i++) {
    const char *address = fake_mapping_address (soak->caller_links[i]);
    uint32_t status = soak_callers_get (address, newest_path, SOAK_KEY);
    if (status != 200)
      soak_fail (soak, "node %u returned status %u for a queue of the newest configuration", i,
                 status);
    status = soak_callers_get (address, removed_path, SOAK_KEY);
    if (status != 404)
      soak_fail (soak, "node %u returned status %u for a removed queue", i, status);
  }
  soak_workers_check_long_running (_run.workers);
  /* Covers the jobs that were cancelled last. */
  g_usleep ((SOAK_CANCELLED_GONE_MS + PROCESS_POLL_MS) * 1000);
  soak_workers_check_long_running (_run.workers);
  printf ("seed %u: faults=%u accepted=%u completed=%u refused=%u uncertain=%u cancelled=%u"
          " evacuated_starts=%u\n",
          soak->seed, _run.fault_count, soak->accepted_count, soak->completed_count,
          soak->refused_count, soak->uncertain_count, soak->cancelled_count,
          soak_workers_evacuated_start_count (_run.workers));
  fflush (stdout);
  _kill_all ();
  if (soak->completed_count == 0)
    soak_fail (soak, "no job was completed");
  _exit (EXIT_SUCCESS);
}

/* Counts the jobs of a measurement that were accepted and of which a task was started. */
static gpointer
_measure_and_exit (gpointer data)
{
  Soak *soak = &_run.soak;
  uint32_t ran_count = 0, running_count = 0, despite_count = 0;
  GHashTableIter iter;
  gpointer value;

  (void)data;
  soak_callers_measure (soak);
  g_usleep (MEASURE_SETTLE_MS * 1000);
  g_mutex_lock (&soak->lock);
  g_hash_table_iter_init (&iter, soak->jobs.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const SimJob *job = value;
    uint32_t started = g_hash_table_size (job->started);
    ran_count += started > 0 ? 1 : 0;
    despite_count += started > 0 && g_hash_table_contains (soak->cancel_unknown, &job->id) ? 1 : 0;
    running_count += simcell_jobs_running_count (&soak->jobs, job->id) > 0 ? 1 : 0;
  }
  printf ("submitted=%u accepted=%u cancelled=%u answered_410=%u ran=%u ran_despite_410=%u"
          " still_running=%u\n",
          soak->measured_count, soak->accepted_count, soak->cancelled_count,
          g_hash_table_size (soak->cancel_unknown), ran_count, despite_count, running_count);
  fflush (stdout);
  _kill_all ();
  _exit (EXIT_SUCCESS);
}

static void
_start_measurement (void *data)
{
  int32_t leader = soak_store_leader (_run.soak.store);

  (void)data;
  if (_run.kills_leader && leader >= 0)
    _kill_node ((uint32_t)leader, MEASURE_SETTLE_MS);
  g_thread_unref (g_thread_new ("measure", _measure_and_exit, NULL));
}

static void
_tick (void *data)
{
  int64_t now_ms = fake_now_ms ();

  (void)data;
  for (uint32_t i = 0; i < _run.soak.node_count; i++)
    _update_node (i, now_ms);
  if (soak_store_has_outage (_run.soak.store))
    _run.soak.store_outage_ms = now_ms + PROCESS_POLL_MS;
  fake_timer_add (now_ms + PROCESS_POLL_MS, _tick, NULL);
}

static void
_start_final_checks (void *data)
{
  (void)data;
  g_thread_unref (g_thread_new ("finish", _check_and_exit, NULL));
}

/* Setup. */

/* With series the shares are so small that a leader hands its commands to relays: it keeps them
 * only with 4 thousandths of a core for each worker. */
static const char *
_cpu_share (uint32_t number)
{
  if (_run.has_series)
    return number % 2 == 0 ? "0.02" : "0.01";
  return number % 2 == 0 ? "0.5" : "0.25";
}

static void
_setup_node (uint32_t number)
{
  Node *node = &_run.nodes[number];
  const Soak *soak = &_run.soak;
  uint32_t host = number + 1;
  g_autofree char *text = NULL;
  char address[VP_ADDRESS_MAX];

  g_snprintf (node->callers_address, sizeof node->callers_address, "%s.%u:%d", soak->address_prefix,
              host, CALLERS_PORT);
  g_snprintf (address, sizeof address, "%s.%u:%d", soak->address_prefix, host, CALLER_LINK_PORT);
  _run.soak.caller_links[number] = fake_mapping_new (address, node->callers_address);
  g_snprintf (address, sizeof address, "%s.%u:%d", soak->address_prefix, host, STORE_PORT);
  soak_store_listen (soak->store, number, address);
  g_snprintf (node->settings_path, sizeof node->settings_path, "%s/node-%u.json", _run.work_dir,
              number);
  text = g_strdup_printf (
      "{\"name\":\"node-%u\",\"dc\":\"dc-%u\",\"callers_address\":\"%s\","
      "\"ready_address\":\"%s.%u:%d\",\"host\":\"%s.%u\",\"peer_port\":%d,"
      "\"cpu_share\":%s,\"store_address\":\"%s\",\"advice_address\":\"%s\","
      "\"hold_max_ms\":6000,\"evacuate_ms\":%d,\"retention_s\":120,\"grace_s\":%d}",
      number, number % SOAK_DCS, node->callers_address, soak->address_prefix, host, READY_PORT,
      soak->address_prefix, host, PEER_PORT, _cpu_share (number), address,
      soak_workers_advice_address (_run.workers), SIMCELL_EVACUATE_MS, SHUTDOWN_GRACE_MS / 1000);
  if (!g_file_set_contents (node->settings_path, text, -1, NULL))
    soak_fail (soak, "failed to write %s", node->settings_path);
}

static void
_setup_peer_links (void)
{
  for (uint32_t from = 0; from < _run.soak.node_count; from++) {
    for (uint32_t to = 0; to < _run.soak.node_count; to++) {
      char listen[VP_ADDRESS_MAX], target[VP_ADDRESS_MAX];
      g_snprintf (listen, sizeof listen, "%s.%u:%u", _run.soak.address_prefix, from + 1,
                  PEER_LINK_PORT + to);
      g_snprintf (target, sizeof target, "%s.%u:%d", _run.soak.address_prefix, to + 1, PEER_PORT);
      if (from != to)
        _run.nodes[from].peer_links[to] = fake_mapping_new (listen, target);
    }
  }
}

static error_t
_parse_option (int key, char *arg, struct argp_state *state)
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
    soak->fault_duration_ms = (int64_t)strtoul (arg, NULL, 10) * 1000;
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
  case 'r':
    _run.has_series = true;
    return 0;
  case 'm':
    soak->measured_count = (uint32_t)strtoul (arg, NULL, 10);
    return 0;
  case 'k':
    _run.kills_leader = true;
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
    { "seed", 's', "N", 0, "determines jobs, faults and times; default 1", 0 },
    { "seconds", 't', "N", 0, "length of the phase with faults; default 30", 0 },
    { "nodes", 'n', "N", 0, "processes under test; default 4", 0 },
    { "workers", 'w', "N", 0, "stand-ins for workers; default 6", 0 },
    { "callers", 'c', "N", 0, "concurrent callers; default 12", 0 },
    { "series", 'r', NULL, 0, "change leaders in series, with relays", 0 },
    { "measure", 'm', "N", 0, "instead: cancel N jobs as they are submitted, and count", 0 },
    { "kill-leader", 'k', NULL, 0, "kill the leader before the measurement", 0 },
    { 0 },
  };
  static const struct argp argp = { options, _parse_option, NULL, NULL, NULL, NULL, NULL };
  Soak *soak = &_run.soak;
  int64_t now_ms;

  *soak = (Soak){ .seed = 1,
                  .node_count = 4,
                  .worker_count = 6,
                  .caller_count = 12,
                  .fault_duration_ms = 30000,
                  .completion_timeout_ms = 30000,
                  .kill_processes = _kill_all };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  /* Concurrent runs use different loopback addresses. */
  g_snprintf (soak->address_prefix, sizeof soak->address_prefix, "127.%d.%d", 40 + getpid () % 100,
              getpid () / 100 % 250);
  soak->long_text = soak->seed % 2 == 0 ? g_strdup ("") : g_strnfill (LONG_TEXT_BYTES, 'x');
  g_log_set_writer_func (_write_log, NULL, NULL);
  _run.work_dir = g_dir_make_tmp ("soak-XXXXXX", NULL);
  soak->log_dir = _run.work_dir;
  _run.rand = g_rand_new_with_seed (soak->seed);
  _run.series_rand = g_rand_new_with_seed (soak->seed);
  _run.odd_entry_rand = g_rand_new_with_seed (soak->seed);
  _run.queue_rand = g_rand_new_with_seed (soak->seed);
  g_mutex_init (&soak->lock);
  fake_setup ();
  now_ms = fake_now_ms ();
  soak->jobs = (SimCellJobs){ .seed = soak->seed,
                              .begin_ms = now_ms,
                              .by_id = g_hash_table_new (g_int64_hash, g_int64_equal),
                              .workers = g_ptr_array_new () };
  simcell_evacuations_setup (&soak->evacuations);
  soak->cancel_unknown = g_hash_table_new (g_int64_hash, g_int64_equal);
  soak->store = soak_store_new (soak->seed, _rewrite_member_address, NULL);
  _run.workers = soak_workers_new (soak);
  _setup_peer_links ();
  for (uint32_t i = 0; i < soak->node_count; i++)
    _setup_node (i);
  _write_config ();
  _write_config ();
  _run.fault_end_ms = now_ms + WARMUP_MS + soak->fault_duration_ms;
  if (soak->measured_count > 0) {
    fake_timer_add (now_ms + 2 * WARMUP_MS, _start_measurement, NULL);
    _tick (NULL);
    fake_run ();
    return EXIT_SUCCESS;
  }
  if (_run.has_series)
    fake_timer_add (now_ms + 2 * WARMUP_MS, _continue_series, GUINT_TO_POINTER (SERIES_LENGTH));
  fake_timer_add (now_ms + WARMUP_MS, (FakeTimerFunc)(void *)soak_callers_start, soak);
  fake_timer_add (now_ms + WARMUP_MS, _inject_fault, NULL);
  _schedule_odd_entry (now_ms + WARMUP_MS);
  fake_timer_add (now_ms + 2 * WARMUP_MS, _toggle_queue, NULL);
  soak_evacuations_start (soak, now_ms + WARMUP_MS, _run.fault_end_ms);
  fake_timer_add (_run.fault_end_ms + FAULT_DURATION_MAX_MS + CONFIG_APPLY_MS, _end_fault_phase,
                  NULL);
  fake_timer_add (_run.fault_end_ms + FAULT_DURATION_MAX_MS + CONFIG_APPLY_MS, _start_final_checks,
                  NULL);
  _tick (NULL);
  fake_run ();
  return EXIT_SUCCESS;
}
