#include "cluster.h"
#include "fake-http.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define TERM_TIMEOUT_MS   10000 /* from SIGTERM until a process is killed */
#define STATUS_TIMEOUT_MS 1000  /* of queries for ownership; a paused process doesn't reply */
#define POLL_INTERVAL_US  10000 /* between checks of a condition that has no event */
#define PIDS_MAX          512
#define DIRS_MAX          16
#define RACK_SIZE         8
/* Third byte of the addresses at which the links of the first entry process listen. */
#define LINK_SUBNET_BASE 200
/* Third byte of the workers' addresses, and fourth byte of the links to them. */
#define WORKER_SUBNET_BASE 100
/* Added to the fourth byte of the address when an entry process gets a new one. */
#define NEW_ADDRESS_OFFSET 50

typedef struct {
  char listen[32], target[32];
  unsigned kind;
  uint32_t from, to; /* index of an entry process; index of an entry process or a worker */
} ClusterLink;

/* Processes that the signal thread kills and directories that it removes. Unused slots are 0 or
 * NULL. */
static volatile pid_t _cluster_pids[PIDS_MAX];
static char *volatile _cluster_dirs[DIRS_MAX];

static void
_cluster_remove_dir (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL) {
    g_autofree char *file = g_build_filename (path, name, NULL);
    unlink (file);
  }
  g_clear_pointer (&dir, g_dir_close);
  rmdir (path);
}

/* Kills all processes and removes all directories on SIGINT and SIGTERM, which all other threads
 * block. */
static gpointer
_cluster_signal_thread (gpointer data G_GNUC_UNUSED)
{
  int signal_number = 0;
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGTERM);
  sigwait (&set, &signal_number);
  for (int i = 0; i < PIDS_MAX; i++) {
    if (_cluster_pids[i] > 0)
      kill (_cluster_pids[i], SIGKILL);
  }
  for (int i = 0; i < DIRS_MAX; i++) {
    if (_cluster_dirs[i] != NULL)
      _cluster_remove_dir (_cluster_dirs[i]);
  }
  _exit (128 + signal_number);
}

static void
_cluster_catch_signals (void)
{
  static gsize is_done;
  sigset_t set;

  if (!g_once_init_enter (&is_done))
    return;
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&set);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  g_thread_unref (g_thread_new ("signals", _cluster_signal_thread, NULL));
  g_once_init_leave (&is_done, 1);
}

static void
_cluster_pid_replace (pid_t old, pid_t new)
{
  for (int i = 0; i < PIDS_MAX; i++) {
    if (_cluster_pids[i] == old) {
      _cluster_pids[i] = new;
      return;
    }
  }
}

static void
_cluster_dir_replace (const char *old, char *new)
{
  for (int i = 0; i < DIRS_MAX; i++) {
    if (_cluster_dirs[i] == old) {
      _cluster_dirs[i] = new;
      return;
    }
  }
}

static void
_cluster_address (const Cluster *cluster, uint32_t x, uint32_t y, uint32_t port, char out[32])
{
  g_snprintf (out, 32, "127.%u.%u.%u:%u", cluster->desc.base, x, y, port);
}

ClusterEntry *
cluster_entry (Cluster *cluster, uint32_t index)
{
  return &g_array_index (cluster->entries, ClusterEntry, index);
}

ClusterWorker *
cluster_worker (Cluster *cluster, uint32_t index)
{
  return &g_array_index (cluster->workers, ClusterWorker, index);
}

/* Adds a link and returns the address at which entry process @from reaches @target. */
static const char *
_cluster_add_link (Cluster *cluster,
                   uint32_t from,
                   ClusterLinkKind kind,
                   uint32_t to,
                   uint32_t y,
                   const char *target)
{
  ClusterLink link = { .kind = kind, .from = from, .to = to };

  g_strlcpy (link.target, target, sizeof link.target);
  _cluster_address (cluster, LINK_SUBNET_BASE + from, y,
                    (uint32_t)g_ascii_strtoull (strrchr (target, ':') + 1, NULL, 10), link.listen);
  if (cluster->desc.is_direct)
    g_strlcpy (link.listen, target, sizeof link.listen);
  for (guint i = 0; i < cluster->links->len; i++) {
    ClusterLink *other = &g_array_index (cluster->links, ClusterLink, i);
    if (strcmp (other->listen, link.listen) == 0)
      return other->listen;
  }
  g_array_append_val (cluster->links, link);
  return g_array_index (cluster->links, ClusterLink, cluster->links->len - 1).listen;
}

static char *
_cluster_path (const Cluster *cluster, const char *name, const char *suffix)
{
  return g_strdup_printf ("%s/%s%s", cluster->dir, name, suffix);
}

static void
_cluster_write_file (Cluster *cluster, const char *name, const char *suffix, GString *text)
{
  g_autofree char *path = _cluster_path (cluster, name, suffix);
  g_autoptr (GError) error = NULL;

  if (!g_file_set_contents (path, text->str, (gssize)text->len, &error))
    g_error ("%s", error->message);
}

static void
_cluster_vmlist_address (const Cluster *cluster, uint32_t index, char out[32])
{
  _cluster_address (cluster, 0, 10 + (cluster->desc.is_direct ? 0 : index), 7100, out);
}

static void
_cluster_write_settings (Cluster *cluster, uint32_t index)
{
  const ClusterEntry *entry = cluster_entry (cluster, index);
  g_autofree char *digest
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, CLUSTER_OPERATOR_KEY, -1);
  g_autoptr (GString) text = g_string_new (NULL);
  char vmlist[32];

  _cluster_vmlist_address (cluster, index, vmlist);
  g_string_append_printf (text, "{\n  \"name\": \"%s\",\n  \"dc\": \"%s\",\n  \"members\": [",
                          entry->name, entry->dc);
  for (uint32_t i = 0; i < cluster->entries->len; i++) {
    const ClusterEntry *other = cluster_entry (cluster, i);
    const char *peer = i == index ? other->peer
                                  : _cluster_add_link (cluster, index, CLUSTER_LINK_PEER, i, 10 + i,
                                                       other->peer);
    g_string_append_printf (text,
                            "%s\n    { \"name\": \"%s\", \"dc\": \"%s\", \"peer_address\": \"%s\","
                            " \"http_address\": \"%s\" }",
                            i > 0 ? "," : "", other->name, other->dc, peer, other->http);
  }
  g_string_append_printf (
      text,
      "\n  ],\n  \"operators\": [{ \"name\": \"ops\", \"key_sha256\": \"%s\" }],\n"
      "  \"store_addresses\": [\"%s\"],\n  \"vmlist_address\": \"%s\"%s%s\n}\n",
      digest, _cluster_add_link (cluster, index, CLUSTER_LINK_STORE, 0, 1, cluster->store),
      _cluster_add_link (cluster, index, CLUSTER_LINK_VMLIST, 0, 2, vmlist),
      cluster->desc.settings != NULL ? ",\n  " : "",
      cluster->desc.settings != NULL ? cluster->desc.settings : "");
  _cluster_write_file (cluster, entry->name, ".json", text);
}

/* Writes the VM list with the addresses of entry process @index's links to the workers, or with the
 * workers' own addresses if @index is -1. */
static void
_cluster_write_vm_list (Cluster *cluster, int index)
{
  g_autofree char *name = index < 0 ? g_strdup ("vms") : g_strdup_printf ("vms-%d", index);
  g_autoptr (GString) text = g_string_new ("{ \"vms\": [");
  uint32_t in_dc = 0;

  for (uint32_t i = 0; i < cluster->workers->len; i++) {
    const ClusterWorker *worker = cluster_worker (cluster, i);
    const char *address = worker->address, *dc = cluster->desc.dcs[worker->dc_index];
    in_dc = i > 0 && worker[-1].dc_index == worker->dc_index ? in_dc + 1 : 0;
    if (index >= 0 && cluster_entry (cluster, (uint32_t)index)->dc_index == worker->dc_index)
      address = _cluster_add_link (cluster, (uint32_t)index, CLUSTER_LINK_WORKER, i,
                                   WORKER_SUBNET_BASE + 1 + in_dc, worker->address);
    g_string_append_printf (
        text,
        "%s\n  { \"name\": \"%s\", \"address\": \"%s\", \"dc\": \"%s\", \"rack\": \"%s-r%u\","
        " \"state\": \"live\",\n    \"cpu_milli\": %" G_GINT64_FORMAT
        ", \"mem_mib\": %" G_GINT64_FORMAT ", \"accel_count\": %" G_GINT64_FORMAT
        ", \"slots\": %u, \"connections\": 64, \"generation\": 1 }",
        i > 0 ? "," : "", worker->name, address, dc, dc, in_dc / RACK_SIZE + 1, worker->cpu_milli,
        worker->mem_mib, worker->accel_count, cluster->desc.slots);
  }
  g_string_append (text, "\n] }\n");
  _cluster_write_file (cluster, name, ".json", text);
}

static void
_cluster_add_dc (Cluster *cluster, uint32_t dc, uint32_t worker_count)
{
  const ClusterDesc *desc = &cluster->desc;

  for (uint32_t i = 1; i <= desc->entries_per_dc; i++) {
    ClusterEntry entry = { .dc_index = dc };
    g_snprintf (entry.name, sizeof entry.name, "%s-%u", desc->dcs[dc], i);
    g_strlcpy (entry.dc, desc->dcs[dc], sizeof entry.dc);
    _cluster_address (cluster, dc + 1, i, 8080, entry.http);
    _cluster_address (cluster, dc + 1, i, 9000, entry.peer);
    g_array_append_val (cluster->entries, entry);
  }
  for (uint32_t i = 1; i <= worker_count; i++) {
    ClusterWorker worker
        = { .dc_index = dc, .cpu_milli = desc->cpu_milli, .mem_mib = desc->mem_mib };
    worker.accel_count
        = desc->accel_every > 0 && (cluster->workers->len + 1) % desc->accel_every == 0;
    g_snprintf (worker.name, sizeof worker.name, "%s-w%02u", desc->dcs[dc], i);
    _cluster_address (cluster, WORKER_SUBNET_BASE + dc + 1, i, 7000, worker.address);
    g_array_append_val (cluster->workers, worker);
  }
}

Cluster *
cluster_new (const ClusterDesc *desc, bool writes_files)
{
  Cluster *cluster = g_new0 (Cluster, 1);
  g_autofree char *exe = g_file_read_link ("/proc/self/exe", NULL);
  g_autofree char *build_dir = NULL;
  uint32_t dc_count = 0;

  cluster->desc = *desc;
  cluster->desc.cpu_milli = desc->cpu_milli > 0 ? desc->cpu_milli : 16000;
  cluster->desc.mem_mib = desc->mem_mib > 0 ? desc->mem_mib : 32768;
  cluster->desc.slots = desc->slots > 0 ? desc->slots : 8;
  build_dir = g_path_get_dirname (exe);
  cluster->bin_dir = g_build_filename (build_dir, "..", "tests", NULL);
  cluster->log_dir = g_dir_make_tmp ("vp-XXXXXX", NULL);
  cluster->dir = g_strdup (desc->dir != NULL ? desc->dir : cluster->log_dir);
  cluster->desc.dir = cluster->dir;
  _cluster_dir_replace (NULL, cluster->log_dir);
  cluster->entries = g_array_new (FALSE, TRUE, sizeof (ClusterEntry));
  cluster->workers = g_array_new (FALSE, TRUE, sizeof (ClusterWorker));
  cluster->links = g_array_sized_new (FALSE, TRUE, sizeof (ClusterLink), 1024);
  cluster->pids = g_array_new (FALSE, TRUE, sizeof (pid_t));
  _cluster_address (cluster, 0, 1, 7000, cluster->store);
  _cluster_address (cluster, 0, 2, 7900, cluster->proxy);
  _cluster_address (cluster, 0, 3, 8080, cluster->balancer);
  while (desc->dcs[dc_count] != NULL)
    dc_count++;
  for (uint32_t dc = 0; dc < dc_count; dc++)
    _cluster_add_dc (cluster, dc,
                     desc->worker_count / dc_count + (dc < desc->worker_count % dc_count));
  for (uint32_t i = 0; writes_files && i < cluster->entries->len; i++)
    _cluster_write_settings (cluster, i);
  for (int i = -1; writes_files && i < (desc->is_direct ? 0 : (int)cluster->entries->len); i++)
    _cluster_write_vm_list (cluster, i);
  return cluster;
}

/* Starts a program. Its stderr goes to a log file; its stdout goes to @out, or to the log file if
 * @out is -1. */
static pid_t
_cluster_fork_exec (Cluster *cluster,
                    const char *path,
                    const char *const *argv,
                    const char *log,
                    int out)
{
  g_autofree char *log_path = g_strdup_printf ("%s/%s.log", cluster->log_dir, log);
  int log_fd = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_t pid = fork ();

  if (pid == 0) {
    sigset_t none;
    sigemptyset (&none);
    sigprocmask (SIG_SETMASK, &none, NULL);
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    dup2 (out >= 0 ? out : log_fd, STDOUT_FILENO);
    dup2 (log_fd, STDERR_FILENO);
    execv (path, (char *const *)argv);
    _exit (127);
  }
  if (pid < 0)
    g_error ("fork: %s", g_strerror (errno));
  close (log_fd);
  _cluster_pid_replace (0, pid);
  return pid;
}

pid_t
cluster_spawn (Cluster *cluster, const char *const *argv)
{
  g_autofree char *path = g_strdup_printf ("%s/%s", cluster->bin_dir, argv[0]);
  char text[16] = "";
  int fds[2];
  pid_t pid;

  if (pipe2 (fds, O_CLOEXEC) != 0)
    g_error ("pipe: %s", g_strerror (errno));
  pid = _cluster_fork_exec (cluster, path, argv, argv[0], fds[1]);
  close (fds[1]);
  /* If the program fails to start, the pipe closes and read() returns 0. */
  if (read (fds[0], text, sizeof text - 1) <= 0 || strcmp (text, "ready\n") != 0)
    g_error ("%s did not become ready, see %s/%s.log", argv[0], cluster->log_dir, argv[0]);
  close (fds[0]);
  g_array_append_val (cluster->pids, pid);
  return pid;
}

static void
_cluster_signal_and_reap (pid_t pid, int signal_number)
{
  int64_t deadline_us = g_get_monotonic_time () + TERM_TIMEOUT_MS * G_GINT64_CONSTANT (1000);

  kill (pid, signal_number);
  while (signal_number != SIGKILL && waitpid (pid, NULL, WNOHANG) == 0) {
    if (g_get_monotonic_time () > deadline_us)
      kill (pid, signal_number = SIGKILL);
    g_usleep (POLL_INTERVAL_US / 10);
  }
  if (signal_number == SIGKILL)
    waitpid (pid, NULL, 0);
  _cluster_pid_replace (pid, 0);
}

static void
_cluster_start_entry (Cluster *cluster, uint32_t index)
{
  ClusterEntry *entry = cluster_entry (cluster, index);
  const char *daemon = cluster->desc.daemon != NULL ? cluster->desc.daemon : "verbenapulleyd";
  g_autofree char *path = g_strdup_printf ("%s/../%s", cluster->bin_dir, daemon);
  g_autofree char *settings = _cluster_path (cluster, entry->name, ".json");
  const char *argv[] = { "verbenapulleyd", "--settings", settings, NULL };

  entry->pid = _cluster_fork_exec (cluster, path, argv, entry->name, -1);
  entry->is_paused = false;
}

static void
_cluster_wait_listening (Cluster *cluster, uint32_t index)
{
  ClusterEntry *entry = cluster_entry (cluster, index);
  int64_t deadline_us
      = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * G_GINT64_CONSTANT (1000);

  while (cluster_http_call (entry->http, "GET", "/metrics", NULL, NULL, NULL) != 200) {
    if (g_get_monotonic_time () > deadline_us || waitpid (entry->pid, NULL, WNOHANG) != 0)
      g_error ("%s does not listen, see %s/%s.log", entry->name, cluster->log_dir, entry->name);
    g_usleep (POLL_INTERVAL_US);
  }
}

static void
_cluster_start_stand_ins (Cluster *cluster)
{
  g_autofree char *vms = _cluster_path (cluster, "vms", ".json");
  g_autoptr (GPtrArray) lists = g_ptr_array_new_with_free_func (g_free);
  const char *store[] = { "fake-store", "--listen", cluster->store, NULL };
  uint32_t list_count = cluster->desc.is_direct ? 1 : cluster->entries->len;

  cluster_spawn (cluster, store);
  g_ptr_array_add (lists, g_strdup ("fake-vmlist"));
  for (uint32_t i = 0; i < list_count; i++) {
    char address[32];
    _cluster_vmlist_address (cluster, i, address);
    g_ptr_array_add (lists, g_strdup_printf ("--listen=%s", address));
    g_ptr_array_add (lists, cluster->desc.is_direct
                                ? g_strdup_printf ("--list=%s", vms)
                                : g_strdup_printf ("--list=%s/vms-%u.json", cluster->dir, i));
  }
  g_ptr_array_add (lists, NULL);
  cluster_spawn (cluster, (const char *const *)lists->pdata);
  for (uint32_t dc = 0; cluster->desc.dcs[dc] != NULL; dc++) {
    const char *workers[] = { "fake-worker", "--list", vms, "--dc", cluster->desc.dcs[dc], NULL };
    cluster_spawn (cluster, workers);
  }
}

static void
_cluster_start_proxy_and_balancer (Cluster *cluster)
{
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);

  if (!cluster->desc.is_direct) {
    g_ptr_array_add (argv, g_strdup ("fake-proxy"));
    g_ptr_array_add (argv, g_strdup_printf ("--control=%s", cluster->proxy));
    for (guint i = 0; i < cluster->links->len; i++) {
      const ClusterLink *link = &g_array_index (cluster->links, ClusterLink, i);
      g_ptr_array_add (argv, g_strdup_printf ("--map=%s=%s", link->listen, link->target));
    }
    g_ptr_array_add (argv, NULL);
    cluster_spawn (cluster, (const char *const *)argv->pdata);
  }
  g_ptr_array_set_size (argv, 0);
  g_ptr_array_add (argv, g_strdup ("fake-balancer"));
  g_ptr_array_add (argv, g_strdup_printf ("--listen=%s", cluster->balancer));
  g_ptr_array_add (argv, g_strdup ("--deterministic"));
  for (uint32_t i = 0; i < cluster->entries->len; i++)
    g_ptr_array_add (argv, g_strdup_printf ("--target=%s", cluster_entry (cluster, i)->http));
  g_ptr_array_add (argv, NULL);
  cluster_spawn (cluster, (const char *const *)argv->pdata);
}

void
cluster_start_processes (Cluster *cluster)
{
  _cluster_catch_signals ();
  _cluster_start_stand_ins (cluster);
  _cluster_start_proxy_and_balancer (cluster);
  for (uint32_t i = 0; i < cluster->entries->len; i++)
    _cluster_start_entry (cluster, i);
  for (uint32_t i = 0; i < cluster->entries->len; i++)
    _cluster_wait_listening (cluster, i);
}

Cluster *
cluster_start (const ClusterDesc *desc)
{
  Cluster *cluster;

  /* Existing files contain no addresses of this run's proxies. */
  g_assert_true (desc->dir == NULL || desc->is_direct);
  cluster = cluster_new (desc, desc->dir == NULL);
  cluster_start_processes (cluster);
  if (desc->config != NULL)
    cluster_put_config (cluster, 0, desc->config);
  return cluster;
}

void
cluster_stop (Cluster *cluster)
{
  for (uint32_t i = 0; i < cluster->entries->len; i++) {
    if (cluster_entry (cluster, i)->pid != 0)
      cluster_signal_entry (cluster, i, SIGKILL);
  }
  for (guint i = 0; i < cluster->pids->len; i++)
    _cluster_signal_and_reap (g_array_index (cluster->pids, pid_t, i), SIGTERM);
  _cluster_remove_dir (cluster->log_dir);
  _cluster_dir_replace (cluster->log_dir, NULL);
  g_array_unref (cluster->entries);
  g_array_unref (cluster->workers);
  g_array_unref (cluster->links);
  g_array_unref (cluster->pids);
  g_free (cluster->dir);
  g_free (cluster->log_dir);
  g_free (cluster->bin_dir);
  g_free (cluster);
}

void
cluster_signal_entry (Cluster *cluster, uint32_t index, int signal_number)
{
  ClusterEntry *entry = cluster_entry (cluster, index);

  if (signal_number == SIGKILL || signal_number == SIGTERM) {
    _cluster_signal_and_reap (entry->pid, signal_number);
    entry->pid = 0;
  } else {
    kill (entry->pid, signal_number);
    entry->is_paused = signal_number == SIGSTOP;
  }
}

void
cluster_restart_entry (Cluster *cluster, uint32_t index, bool has_new_address)
{
  ClusterEntry *entry = cluster_entry (cluster, index);
  uint32_t y = index % cluster->desc.entries_per_dc + 1 + NEW_ADDRESS_OFFSET;

  if (entry->pid != 0)
    cluster_signal_entry (cluster, index, SIGKILL);
  if (has_new_address) {
    _cluster_address (cluster, entry->dc_index + 1, y, 8080, entry->http);
    _cluster_address (cluster, entry->dc_index + 1, y, 9000, entry->peer);
    _cluster_write_settings (cluster, index);
  }
  _cluster_start_entry (cluster, index);
  _cluster_wait_listening (cluster, index);
}

/* Returns whether the entry process reports that it owns its DC and places tasks. */
static bool
_cluster_is_owner (const ClusterEntry *entry)
{
  ClusterClient client = { .fd = -1 };
  JsonObject *status = NULL;
  ClusterReply reply;
  bool is_owner;

  g_strlcpy (client.address, entry->http, sizeof client.address);
  cluster_client_call (&client, "GET", "/v1/status", CLUSTER_OPERATOR_KEY, NULL, STATUS_TIMEOUT_MS,
                       &reply);
  if (reply.status == 200)
    status = fake_json_parse (reply.body->str, (gssize)reply.body->len);
  is_owner = status != NULL && strcmp (fake_json_string (status, "owner", ""), entry->name) == 0
             && fake_json_int (status, "settled", 0) != 0;
  g_clear_pointer (&status, json_object_unref);
  cluster_client_close (&client);
  cluster_reply_clear (&reply);
  return is_owner;
}

static int
_cluster_find_owner (Cluster *cluster, uint32_t dc_index, int excluded_index)
{
  for (uint32_t i = 0; i < cluster->entries->len; i++) {
    const ClusterEntry *entry = cluster_entry (cluster, i);
    if (entry->dc_index == dc_index && entry->pid != 0 && !entry->is_paused
        && (int)i != excluded_index && _cluster_is_owner (entry))
      return (int)i;
  }
  return -1;
}

int
cluster_owner (Cluster *cluster, uint32_t dc_index)
{
  return _cluster_find_owner (cluster, dc_index, -1);
}

uint32_t
cluster_wait_owner (Cluster *cluster, uint32_t dc_index, int excluded_index)
{
  int64_t deadline_us
      = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * G_GINT64_CONSTANT (1000);
  int owner;

  while ((owner = _cluster_find_owner (cluster, dc_index, excluded_index)) < 0) {
    if (g_get_monotonic_time () > deadline_us)
      g_error ("%s has no owner", cluster->desc.dcs[dc_index]);
    g_usleep (POLL_INTERVAL_US);
  }
  return (uint32_t)owner;
}

void
cluster_wait_owners (Cluster *cluster)
{
  for (uint32_t i = 0; i < cluster->entries->len; i++) {
    if (cluster_entry (cluster, i)->pid != 0)
      cluster_wait_owner (cluster, cluster_entry (cluster, i)->dc_index, -1);
  }
}

void
cluster_put_config (Cluster *cluster, uint32_t index, const char *config)
{
  const char *address = cluster_entry (cluster, index)->http;
  int64_t deadline_us
      = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * G_GINT64_CONSTANT (1000);

  for (int status = 0; status != 200;) {
    JsonObject *current = NULL;
    char path[64];
    if (cluster_http_call (address, "GET", "/v1/config", CLUSTER_OPERATOR_KEY, NULL, &current)
            == 200
        && current != NULL) {
      g_snprintf (path, sizeof path, "/v1/config?revision=%" G_GINT64_FORMAT,
                  fake_json_int (current, "revision", 0));
      status = cluster_http_call (address, "PUT", path, CLUSTER_OPERATOR_KEY, config, NULL);
    }
    g_clear_pointer (&current, json_object_unref);
    if (g_get_monotonic_time () > deadline_us || status == 400)
      g_error ("the configuration was not accepted: status %d", status);
    if (status != 200)
      g_usleep (POLL_INTERVAL_US);
  }
}

/* Sets a mode on the links that @is_selected selects. */
static void
_cluster_set_link_modes (
    Cluster *cluster,
    bool (*is_selected) (Cluster *, const ClusterLink *, uint32_t index, unsigned kinds),
    uint32_t index,
    unsigned kinds,
    const char *mode,
    int64_t delay_ms)
{
  g_autoptr (GString) body = g_string_new ("{\"map\":[");
  bool is_first = true;

  g_assert_false (cluster->desc.is_direct);
  for (guint i = 0; i < cluster->links->len; i++) {
    const ClusterLink *link = &g_array_index (cluster->links, ClusterLink, i);
    if (!is_selected (cluster, link, index, kinds))
      continue;
    g_string_append_printf (body, "%s\"%s\"", is_first ? "" : ",", link->listen);
    is_first = false;
  }
  g_string_append_printf (body, "],\"mode\":\"%s\",\"delay_ms\":%" G_GINT64_FORMAT "}", mode,
                          delay_ms);
  g_assert_cmpint (cluster_http_call (cluster->proxy, "POST", "/control", NULL, body->str, NULL),
                   ==, 200);
}

static bool
_cluster_is_link_of_entry (Cluster *cluster G_GNUC_UNUSED,
                           const ClusterLink *link,
                           uint32_t index,
                           unsigned kinds)
{
  return (link->kind & kinds) != 0
         && (link->from == index || (link->kind == CLUSTER_LINK_PEER && link->to == index));
}

static bool
_cluster_is_link_out_of_dc (Cluster *cluster,
                            const ClusterLink *link,
                            uint32_t index,
                            unsigned kinds)
{
  bool is_from = cluster_entry (cluster, link->from)->dc_index == index;

  if ((link->kind & kinds) == 0 || link->kind == CLUSTER_LINK_WORKER)
    return false;
  if (link->kind != CLUSTER_LINK_PEER)
    return is_from;
  return is_from != (cluster_entry (cluster, link->to)->dc_index == index);
}

static bool
_cluster_is_peer_link (Cluster *cluster G_GNUC_UNUSED,
                       const ClusterLink *link,
                       uint32_t from,
                       unsigned to)
{
  return link->kind == CLUSTER_LINK_PEER && link->from == from && link->to == to;
}

static bool
_cluster_is_worker_link (Cluster *cluster G_GNUC_UNUSED,
                         const ClusterLink *link,
                         uint32_t worker,
                         unsigned unused G_GNUC_UNUSED)
{
  return link->kind == CLUSTER_LINK_WORKER && link->to == worker;
}

static bool
_cluster_is_any_link (Cluster *cluster G_GNUC_UNUSED,
                      const ClusterLink *link G_GNUC_UNUSED,
                      uint32_t index G_GNUC_UNUSED,
                      unsigned kinds G_GNUC_UNUSED)
{
  return true;
}

void
cluster_set_entry_fault (Cluster *cluster,
                         uint32_t index,
                         unsigned kinds,
                         const char *mode,
                         int64_t delay_ms)
{
  _cluster_set_link_modes (cluster, _cluster_is_link_of_entry, index, kinds, mode, delay_ms);
}

void
cluster_set_dc_fault (Cluster *cluster,
                      uint32_t dc_index,
                      unsigned kinds,
                      const char *mode,
                      int64_t delay_ms)
{
  _cluster_set_link_modes (cluster, _cluster_is_link_out_of_dc, dc_index, kinds, mode, delay_ms);
}

void
cluster_set_peer_fault (Cluster *cluster,
                        uint32_t from,
                        uint32_t to,
                        const char *mode,
                        int64_t delay_ms)
{
  _cluster_set_link_modes (cluster, _cluster_is_peer_link, from, to, mode, delay_ms);
}

void
cluster_set_worker_fault (Cluster *cluster, uint32_t worker, const char *mode, int64_t delay_ms)
{
  _cluster_set_link_modes (cluster, _cluster_is_worker_link, worker, 0, mode, delay_ms);
}

void
cluster_clear_faults (Cluster *cluster)
{
  _cluster_set_link_modes (cluster, _cluster_is_any_link, 0, 0, "pass", 0);
}
