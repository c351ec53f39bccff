#include "cell.h"

#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define HOLD_MAX_MS     6000
#define RESTART_MS      1000
#define MEMORY_CHECK_MS 10
#define READY_WAIT_MS   20000
#define CLIENT_WAIT_MS  3000
#define CLIENT_ATTEMPTS 5
#define CLIENT_RETRY_MS 700
#define CLIENT_HOST     "nony24.example"

typedef struct {
  Cell *cell;
  guint index;
  GPid pid; /* 0: not running */
  uint16_t callers_port;
  uint16_t ready_port;
  uint16_t peer_port;
  bool is_killed_for_memory;
  bool is_killed; /* by the test */
  uint32_t memory_kills;
  uint32_t own_ends;
  bool is_ready;
} Node;

struct _Cell {
  char *folder;
  char *temp;
  FILE *record;
  Store *store;
  uint16_t store_port;
  Node nodes[CELL_NODES];
  GPtrArray *workers;
  GPtrArray *jobs;
  guint next_node;
  int64_t version;
  bool is_stopping;
};

static void _note (const Cell *cell, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
_note (const Cell *cell, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (cell->record, "%" G_GINT64_FORMAT " %s\n", unix_now_ms (), text);
}

/* Processes. */

static void _start_node (Node *node);

static gboolean
_on_restart (gpointer data)
{
  _start_node (data);
  return G_SOURCE_REMOVE;
}

static void
_on_node_end (GPid pid, gint status, gpointer data)
{
  Node *node = data;

  g_spawn_close_pid (pid);
  node->pid = 0;
  _note (node->cell, "node %u ended status=%d memory=%d", node->index, status,
         node->is_killed_for_memory);
  if (node->cell->is_stopping)
    return;
  if (node->is_killed_for_memory)
    node->memory_kills++;
  else if (!node->is_killed)
    node->own_ends++;
  g_timeout_add (RESTART_MS, _on_restart, node);
}

static void
_write_settings (const Node *node, const char *path)
{
  g_autofree char *text = g_strdup_printf (
      "{\"name\":\"edge-nadi-%u\",\"dc\":\"nadi\",\"callers_address\":\"127.0.0.1:%u\","
      "\"ready_address\":\"127.0.0.1:%u\",\"host\":\"127.0.0.1\",\"peer_port\":%u,"
      "\"metrics_address\":\"127.0.0.1:%u\",\"memory_mib\":%d,\"descriptors_max\":1024,"
      "\"cpu_share\":0.25,\"link_mbps\":1000.0,\"store_address\":\"127.0.0.1:%u\","
      "\"advice_address\":\"127.0.0.1:%u\",\"hold_max_ms\":%d,\"retention_s\":120,\"grace_s\":6}",
      node->index + 1, node->callers_port, node->ready_port, node->peer_port, http_free_port (),
      CELL_MEMORY_MB, node->cell->store_port, node->cell->store_port, HOLD_MAX_MS);

  if (!g_file_set_contents (path, text, -1, NULL))
    exit (2);
}

/* Output goes to a file in the temporary folder. */
static void
_on_child (gpointer data)
{
  int log = open (data, O_WRONLY | O_CREAT | O_APPEND, 0644);

  /* The processes end with the test. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (log < 0 || dup2 (log, STDOUT_FILENO) < 0 || dup2 (log, STDERR_FILENO) < 0)
    _exit (127);
}

static void
_start_node (Node *node)
{
  Cell *cell = node->cell;
  g_autofree char *settings = g_strdup_printf ("%s/settings-%u.json", cell->temp, node->index);
  g_autofree char *log = g_strdup_printf ("%s/node-%u.log", cell->temp, node->index);
  g_autofree char *boot = g_strconcat ("VERBENAPULLEY_BOOT=", settings, NULL);
  g_autofree char *path = g_strconcat ("PATH=", g_getenv ("PATH"), NULL);
  char program[] = "target/verbenapulley-celld";
  char *argv[] = { program, NULL };
  char *envp[] = { boot, path, NULL };
  g_autoptr (GError) error = NULL;

  if (cell->is_stopping)
    return;
  node->is_killed_for_memory = node->is_killed = false;
  _write_settings (node, settings);
  if (!g_spawn_async (NULL, argv, envp, G_SPAWN_DO_NOT_REAP_CHILD, _on_child, log, &node->pid,
                      &error)) {
    fprintf (stderr, "can't start a process: %s\n", error->message);
    exit (2);
  }
  _note (cell, "node %u started", node->index);
  g_child_watch_add (node->pid, _on_node_end, node);
}

/* The platform kills a process that exceeds the memory of its machine. */
static gboolean
_on_memory_check (gpointer data)
{
  Cell *cell = data;

  for (guint i = 0; i < CELL_NODES; i++) {
    Node *node = &cell->nodes[i];
    g_autofree char *path = NULL;
    g_autofree char *text = NULL;
    long pages = 0;
    if (node->pid == 0 || node->is_killed_for_memory)
      continue;
    path = g_strdup_printf ("/proc/%d/statm", (int)node->pid);
    if (!g_file_get_contents (path, &text, NULL, NULL) || strchr (text, ' ') == NULL)
      continue;
    pages = strtol (strchr (text, ' '), NULL, 10);
    if (pages * sysconf (_SC_PAGESIZE) <= (long)CELL_MEMORY_MB * 1024 * 1024)
      continue;
    node->is_killed_for_memory = true;
    _note (cell, "node %u exceeds its memory rss_mb=%ld", i,
           pages * sysconf (_SC_PAGESIZE) / 1024 / 1024);
    kill (node->pid, SIGKILL);
  }
  return G_SOURCE_CONTINUE;
}

static void
_on_ready_answer (int status, const char *body, int retry_after_s, void *data)
{
  (void)body;
  (void)retry_after_s;
  ((Node *)data)->is_ready = status == 200;
}

/* The process that leads has written the record last. */
void
cell_kill_leader (Cell *cell)
{
  g_autofree char *record = store_get (cell->store, "vp/lead");

  for (guint i = 0; i < CELL_NODES; i++) {
    g_autofree char *name = g_strdup_printf ("edge-nadi-%u", i + 1);
    if (record == NULL || strstr (record, name) == NULL || cell->nodes[i].pid == 0)
      continue;
    _note (cell, "node %u is killed, it leads", i);
    cell->nodes[i].is_killed = true;
    kill (cell->nodes[i].pid, SIGKILL);
  }
}

void
cell_kill_all (Cell *cell)
{
  _note (cell, "all processes are killed");
  for (guint i = 0; i < CELL_NODES; i++) {
    cell->nodes[i].is_killed = true;
    if (cell->nodes[i].pid != 0)
      kill (cell->nodes[i].pid, SIGKILL);
  }
}

bool
cell_wait_ready (Cell *cell)
{
  int64_t ends_ms = now_ms () + READY_WAIT_MS;
  bool is_ready = false;

  while (!is_ready && now_ms () < ends_ms) {
    is_ready = true;
    for (guint i = 0; i < CELL_NODES; i++)
      http_send (cell->nodes[i].ready_port, "GET", "/api/readyz", "Host: ready\r\n", NULL, 400,
                 _on_ready_answer, &cell->nodes[i]);
    cell_wait (500);
    for (guint i = 0; i < CELL_NODES; i++)
      is_ready = is_ready && cell->nodes[i].is_ready;
  }
  return is_ready;
}

Cell *
cell_start (const char *folder, const CellDesc *desc)
{
  Cell *cell = g_new0 (Cell, 1);
  g_autofree char *record = g_strconcat (folder, "/record.txt", NULL);

  cell->folder = g_strdup (folder);
  cell->temp = g_dir_make_tmp ("review-XXXXXX", NULL);
  cell->record = fopen (record, "w");
  if (cell->temp == NULL || cell->record == NULL)
    exit (2);
  setvbuf (cell->record, NULL, _IOLBF, 0);
  cell->jobs = g_ptr_array_new ();
  cell->workers = g_ptr_array_new ();
  cell->store_port = http_free_port ();
  cell->store = store_start (cell->store_port, CELL_VALUE_BYTES);
  for (guint i = 0; i < desc->worker_count; i++) {
    WorkerDesc worker_desc = { .id = g_strdup_printf ("i-7f3a91c%x", i),
                               .kind = i == 0 ? "b" : "a",
                               .rack = g_strdup_printf ("r1-%u", i / desc->rack_size),
                               .cpu_milli = CELL_CPU_MILLI,
                               .hold_max_ms = HOLD_MAX_MS,
                               .store = cell->store,
                               .record = cell->record };
    g_ptr_array_add (cell->workers, worker_start (&worker_desc));
  }
  for (guint i = 0; i < CELL_NODES; i++) {
    cell->nodes[i] = (Node){ .cell = cell,
                             .index = i,
                             .callers_port = http_free_port (),
                             .ready_port = http_free_port (),
                             .peer_port = http_free_port () };
    _start_node (&cell->nodes[i]);
  }
  g_timeout_add (MEMORY_CHECK_MS, _on_memory_check, cell);
  return cell;
}

void
cell_stop (Cell *cell)
{
  g_autoptr (GDir) dir = NULL;
  const char *name;

  cell->is_stopping = true;
  for (guint i = 0; i < CELL_NODES; i++) {
    if (cell->nodes[i].pid != 0)
      kill (cell->nodes[i].pid, SIGKILL);
  }
  cell_wait (300);
  dir = g_dir_open (cell->temp, 0, NULL);
  while (dir != NULL && g_getenv ("KEEP") == NULL && (name = g_dir_read_name (dir)) != NULL) {
    g_autofree char *path = g_build_filename (cell->temp, name, NULL);
    unlink (path);
  }
  if (g_getenv ("KEEP") == NULL)
    rmdir (cell->temp);
  else
    fprintf (stderr, "logs: %s\n", cell->temp);
  fclose (cell->record);
}

static gboolean
_on_wait_end (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

void
cell_wait (int64_t wait_ms)
{
  bool is_over = false;

  g_timeout_add ((guint)wait_ms, _on_wait_end, &is_over);
  while (!is_over)
    g_main_context_iteration (NULL, TRUE);
}

void
cell_configure (Cell *cell, const char *queues, const char *tenant)
{
  g_autofree char *added = NULL;
  g_autofree char *text = NULL;

  if (tenant != NULL)
    added = g_strdup_printf (",{\"name\":\"%s\",\"api_keys\":[\"" KEY_C
                             "\"],\"priority\":1,\"weight\":9,"
                             "\"cap\":{\"cpu\":16000,\"mem_mb\":0,\"gpu\":0}}",
                             tenant);
  cell->version += 3;
  text = g_strdup_printf (
      "{\"version\":%" G_GINT64_FORMAT ",\"routes\":[%s],\"services\":[{\"name\":\"desk\","
      "\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
      "\"rejects_overload\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"kaje80\",\"api_keys\":[\"" KEY_A "\"],\"priority\":1,\"weight\":9,"
      "\"cap\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}},{\"name\":\"lore11\",\"api_keys\":[\"" KEY_B
      "\"],\"priority\":1,\"weight\":9,\"cap\":{\"cpu\":16000,\"mem_mb\":0,\"gpu\":0}}%s]}",
      cell->version, queues, added == NULL ? "" : added);
  _note (cell, "operator config version=%" G_GINT64_FORMAT, cell->version);
  store_put (cell->store, "op/config", text);
}

Worker *
cell_worker (const Cell *cell, guint index)
{
  return cell->workers->pdata[index];
}

Store *
cell_store (const Cell *cell)
{
  return cell->store;
}

FILE *
cell_record (const Cell *cell)
{
  return cell->record;
}

uint32_t
cell_memory_kills (const Cell *cell, guint node)
{
  return cell->nodes[node].memory_kills;
}

uint32_t
cell_own_ends (const Cell *cell, guint node)
{
  return cell->nodes[node].own_ends;
}

GPtrArray *
cell_jobs (Cell *cell)
{
  return cell->jobs;
}

/* Clients. */

static void
_send (Job *job, const char *method, const char *body, HttpDone done)
{
  Cell *cell = job->cell;
  const Node *node = &cell->nodes[cell->next_node++ % CELL_NODES];
  g_autofree char *path = g_strconcat (job->prefix, job->id, NULL);
  g_autofree char *headers
      = g_strdup_printf ("Host: " CLIENT_HOST "\r\nAuthorization: Token %s\r\nDeadline-Ms: %d\r\n",
                         job->key, CLIENT_WAIT_MS);

  http_send (node->callers_port, method, path, headers, body, CLIENT_WAIT_MS, done, job);
}

static void _submit (Job *job);

static gboolean
_on_submit_again (gpointer data)
{
  _submit (data);
  return G_SOURCE_REMOVE;
}

static void
_on_submitted (int status, const char *body, int retry_after_s, void *data)
{
  Job *job = data;

  (void)body;
  _note (job->cell, "client POST %s attempt=%u status=%d", job->id, job->attempts, status);
  if (status >= 200 && status < 300) {
    job->result = JOB_ACCEPTED;
    job->accepted_ms = now_ms ();
    return;
  }
  job->unanswered += status != 429 && status != 503 ? 1 : 0;
  if (job->attempts < CLIENT_ATTEMPTS && status != 400 && status != 404 && status != 401)
    g_timeout_add (MAX (CLIENT_RETRY_MS, (guint)retry_after_s * 1000), _on_submit_again, job);
  else if (job->unanswered == 0)
    job->result = JOB_REJECTED;
}

static void
_submit (Job *job)
{
  job->attempts++;
  _send (job, "POST", job->body, _on_submitted);
}

Job *
job_submit (Cell *cell, const char *prefix, const char *key, const char *body)
{
  Job *job = g_new0 (Job, 1);

  job->cell = cell;
  g_snprintf (job->id, sizeof job->id, "%08x%08x", g_random_int (), g_random_int ());
  job->prefix = prefix;
  job->key = key;
  job->body = g_strdup (body);
  job->tasks = 1;
  job->cpu_milli = 500;
  g_ptr_array_add (cell->jobs, job);
  _submit (job);
  return job;
}

static void
_read_state (const char *body, char out[16])
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonObject *in;

  if (!json_parser_load_from_data (parser, body, -1, NULL))
    return;
  in = json_node_get_object (json_parser_get_root (parser));
  if (json_object_has_member (in, "state"))
    g_strlcpy (out, json_object_get_string_member (in, "state"), 16);
}

static void
_on_queried (int status, const char *body, int retry_after_s, void *data)
{
  Job *job = data;

  (void)retry_after_s;
  job->is_querying = false;
  if (status == 200)
    _read_state (body, job->shown);
  else if (status == 410)
    g_strlcpy (job->shown, "unknown", sizeof job->shown);
  _note (job->cell, "client GET %s status=%d state=%s", job->id, status,
         status == 200 ? job->shown : "-");
}

void
job_query (Job *job)
{
  job->query_attempts++;
  job->is_querying = true;
  job->shown[0] = '\0';
  _send (job, "GET", NULL, _on_queried);
}

static gboolean
_on_cancel_again (gpointer data)
{
  job_cancel (data);
  return G_SOURCE_REMOVE;
}

static void
_on_cancelled (int status, const char *body, int retry_after_s, void *data)
{
  Job *job = data;

  (void)body;
  _note (job->cell, "client DELETE %s status=%d", job->id, status);
  if (job->cancel_acked_ms == 0 && (status == 200 || status == 410))
    job->cancel_acked_ms = now_ms ();
  if (job->cancel_acked_ms == 0 && ++job->cancel_attempts < CLIENT_ATTEMPTS)
    g_timeout_add (MAX (CLIENT_RETRY_MS, (guint)retry_after_s * 1000), _on_cancel_again, job);
}

void
job_cancel (Job *job)
{
  job->is_cancelled = true;
  if (job->cancel_sent_ms == 0)
    job->cancel_sent_ms = now_ms ();
  _send (job, "DELETE", NULL, _on_cancelled);
}

void
cell_query_all (Cell *cell, int64_t wait_ms)
{
  int64_t ends_ms = now_ms () + wait_ms;
  bool is_open = true;

  for (guint i = 0; i < cell->jobs->len; i++)
    ((Job *)cell->jobs->pdata[i])->shown[0] = '\0';
  while (is_open && now_ms () < ends_ms) {
    is_open = false;
    for (guint i = 0; i < cell->jobs->len; i++) {
      Job *job = cell->jobs->pdata[i];
      if (job->result != JOB_ACCEPTED || job->shown[0] != '\0')
        continue;
      is_open = true;
      if (!job->is_querying)
        job_query (job);
    }
    cell_wait (500);
  }
}
