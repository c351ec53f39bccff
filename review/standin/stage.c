#include "stage.h"

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CELLD              "target/verbenapulley-celld"
#define POLL_MS            20
#define CALLERS_PORT       7100
#define READY_PORT         7110
#define PEER_PORT          7120
#define STORE_PORT         7200
#define CALL_TIMEOUT_S     4
#define DEADLINE_MS        3000
#define SUBMIT_TRIES       5
#define QUERY_TRIES        3
#define READY_TIMEOUT_MS   30000
#define RETRY_AFTER_MAX_MS 2000
#define STORE_ANSWER_MS    4
#define METRICS_PORT       9464
#define PREFIX_TRIES       20

typedef struct {
  GPid pid; /* 0: not running */
  int64_t restart_at_ms;
  bool is_killed; /* by this program */
  uint32_t own_exits;
  char address[64];
  char ready_address[64];
  char log_path[256];
  char settings_path[256];
} Node;

typedef struct {
  void (*func) (void *data);
  void *data;
  bool is_done;
} Task;

static struct {
  StageDesc desc;
  bool has_trouble;
  char prefix[16];
  char *dir;
  FILE *record;
  int64_t begin_ms;
  SoakStore *store;
  Node nodes[SOAK_NODES_MAX];
  GMutex lock; /* guards the record and the tasks */
  GCond done;
  GQueue tasks;
  int wake_fd;
  int (*scenario) (void);
  bool is_stopping;
} _stage;

/* Record. */

int64_t
stage_elapsed_ms (void)
{
  return fake_now_ms () - _stage.begin_ms;
}

void
stage_note (const char *format, ...)
{
  va_list args;

  g_mutex_lock (&_stage.lock);
  fprintf (_stage.record, "%8.3f ", (double)stage_elapsed_ms () / 1000);
  va_start (args, format);
  vfprintf (_stage.record, format, args);
  va_end (args);
  fputc ('\n', _stage.record);
  fflush (_stage.record);
  g_mutex_unlock (&_stage.lock);
}

void
stage_sleep_ms (int64_t duration_ms)
{
  if (duration_ms > 0)
    g_usleep ((gulong)duration_ms * 1000);
}

bool
stage_has_trouble (void)
{
  return _stage.has_trouble;
}

const StageDesc *
stage_desc (void)
{
  return &_stage.desc;
}

SoakStore *
stage_store (void)
{
  return _stage.store;
}

const char *
stage_prefix (void)
{
  return _stage.prefix;
}

/* Calls on the event loop. */

static void
_run_tasks (uint32_t events G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
  eventfd_t count;
  Task *task;

  eventfd_read (_stage.wake_fd, &count);
  g_mutex_lock (&_stage.lock);
  while ((task = g_queue_pop_head (&_stage.tasks)) != NULL) {
    g_mutex_unlock (&_stage.lock);
    task->func (task->data);
    g_mutex_lock (&_stage.lock);
    task->is_done = true;
    g_cond_broadcast (&_stage.done);
  }
  g_mutex_unlock (&_stage.lock);
}

void
stage_do (void (*func) (void *data), void *data)
{
  Task task = { .func = func, .data = data };

  g_mutex_lock (&_stage.lock);
  g_queue_push_tail (&_stage.tasks, &task);
  eventfd_write (_stage.wake_fd, 1);
  while (!task.is_done)
    g_cond_wait (&_stage.done, &_stage.lock);
  g_mutex_unlock (&_stage.lock);
}

/* Daemons. */

static void
_start_node (uint32_t number)
{
  Node *node = &_stage.nodes[number];
  pid_t parent = getpid ();
  pid_t pid = fork ();

  if (pid == 0) {
    sigset_t none;
    sigemptyset (&none);
    sigprocmask (SIG_SETMASK, &none, NULL);
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    if (getppid () != parent || freopen (node->log_path, "a", stdout) == NULL
        || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
      _exit (EXIT_FAILURE);
    setenv ("VERBENAPULLEY_BOOT", node->settings_path, 1);
    execl (CELLD, CELLD, (char *)NULL);
    _exit (EXIT_FAILURE);
  }
  if (pid < 0) {
    stage_note ("can't start node-%u: %s", number, g_strerror (errno));
    exit (2);
  }
  node->pid = pid;
  node->is_killed = false;
  stage_note ("node-%u starts", number);
}

static void
_update_node (uint32_t number, int64_t now_ms)
{
  Node *node = &_stage.nodes[number];
  int status;

  if (node->pid != 0 && waitpid (node->pid, &status, WNOHANG) == node->pid) {
    node->pid = 0;
    node->restart_at_ms = now_ms + _stage.desc.restart_ms;
    if (!node->is_killed)
      node->own_exits++;
    if (WIFSIGNALED (status))
      stage_note ("node-%u ended by signal %d (%s)", number, WTERMSIG (status),
                  node->is_killed ? "sent by this test" : "not sent by this test");
    else
      stage_note ("node-%u exited with status %d", number, WEXITSTATUS (status));
  }
  if (node->pid == 0 && now_ms >= node->restart_at_ms && !_stage.is_stopping)
    _start_node (number);
}

static void
_poll_nodes (void *data G_GNUC_UNUSED)
{
  int64_t now_ms = fake_now_ms ();

  for (uint32_t i = 0; i < _stage.desc.node_count; i++)
    _update_node (i, now_ms);
  fake_timer_add (now_ms + POLL_MS, _poll_nodes, NULL);
}

static void
_kill_node (void *data)
{
  uint32_t number = *(uint32_t *)data;
  Node *node = &_stage.nodes[number];

  if (node->pid == 0)
    return;
  node->is_killed = true;
  kill (node->pid, SIGKILL);
  stage_note ("trouble: SIGKILL to node-%u", number);
}

void
stage_kill_node (uint32_t node)
{
  stage_do (_kill_node, &node);
}

uint32_t
stage_own_exits (uint32_t node)
{
  return _stage.nodes[node].own_exits;
}

static void
_stop_nodes (void *data G_GNUC_UNUSED)
{
  _stage.is_stopping = true;
  for (uint32_t i = 0; i < _stage.desc.node_count; i++) {
    Node *node = &_stage.nodes[i];
    if (node->pid == 0)
      continue;
    node->is_killed = true;
    kill (node->pid, SIGKILL);
    waitpid (node->pid, NULL, 0);
    node->pid = 0;
  }
}

int32_t
stage_leader (void)
{
  uint64_t last_term = 0;
  int32_t leader = -1;

  for (uint32_t i = 0; i < _stage.desc.node_count; i++) {
    g_autofree char *text = NULL;
    const char *line;
    if (!g_file_get_contents (_stage.nodes[i].log_path, &text, NULL, NULL))
      continue;
    line = g_strrstr (text, "event=became-leader term=");
    if (line != NULL) {
      uint64_t term = g_ascii_strtoull (strstr (line, "term=") + strlen ("term="), NULL, 10);
      if (term > last_term) {
        last_term = term;
        leader = (int32_t)i;
      }
    }
  }
  return leader;
}

/* Callers. */

static int
_connect (const char *address)
{
  struct sockaddr_in to = fake_address (address);
  struct timeval timeout = { .tv_sec = CALL_TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
_send_all (int fd, const char *data, size_t size)
{
  while (size > 0) {
    ssize_t count = send (fd, data, size, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    data += count;
    size -= (size_t)count;
  }
  return true;
}

/* Reads until the daemon closes the connection, as requested by the header. */
static GString *
_receive_all (int fd)
{
  GString *text = g_string_new (NULL);
  char block[4096];
  ssize_t count;

  while ((count = recv (fd, block, sizeof block, 0)) > 0)
    g_string_append_len (text, block, count);
  return text;
}

static void
_parse_reply (const GString *text, StageReply *reply)
{
  const char *body = strstr (text->str, "\r\n\r\n");
  const char *length = strcasestr (text->str, "\r\ncontent-length:");
  const char *retry_after = strcasestr (text->str, "\r\nretry-after:");
  size_t size;

  if (body == NULL || length == NULL || length > body || strncmp (text->str, "HTTP/1.1 ", 9) != 0)
    return;
  body += 4;
  size = (size_t)g_ascii_strtoull (length + strlen ("\r\ncontent-length:"), NULL, 10);
  if (text->len - (size_t)(body - text->str) < size)
    return;
  reply->status = (uint32_t)g_ascii_strtoull (text->str + 9, NULL, 10);
  if (retry_after != NULL && retry_after < body)
    reply->retry_after_s
        = (uint32_t)g_ascii_strtoull (retry_after + strlen ("\r\nretry-after:"), NULL, 10);
  g_strlcpy (reply->body, body, sizeof reply->body);
}

static void
_call_address (const char *address,
               const char *method,
               const char *path,
               const char *body,
               StageReply *reply)
{
  g_autofree char *head = NULL;
  g_autoptr (GString) text = NULL;
  int fd = _connect (address);

  memset (reply, 0, sizeof *reply);
  if (fd < 0)
    return;
  head = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: " STAGE_HOST
                          "\r\nAuthorization: Token " STAGE_KEY "\r\nDeadline-Ms: %d\r\n"
                          "Connection: close\r\nContent-Type: application/json\r\n"
                          "Content-Length: %zu\r\n\r\n",
                          method, path, DEADLINE_MS, body == NULL ? (size_t)0 : strlen (body));
  if (_send_all (fd, head, strlen (head))
      && (body == NULL || _send_all (fd, body, strlen (body)))) {
    text = _receive_all (fd);
    _parse_reply (text, reply);
  }
  close (fd);
}

void
stage_call (uint32_t node,
            const char *method,
            const char *path,
            const char *body,
            StageReply *reply)
{
  _call_address (_stage.nodes[node].address, method, path, body, reply);
  stage_note ("caller: %s %s at node-%u -> %u %s", method, path, node, reply->status, reply->body);
}

uint32_t
stage_submit (const char *prefix, const char *id, const char *body, uint32_t first_node)
{
  g_autofree char *path = g_strconcat (prefix, id, NULL);
  StageReply reply = { 0 };

  for (uint32_t i = 0; i < SUBMIT_TRIES; i++) {
    stage_call ((first_node + i) % _stage.desc.node_count, "POST", path, body, &reply);
    if (reply.status != 0 && reply.status < 500 && reply.status != 429)
      break;
    stage_sleep_ms (reply.retry_after_s == 0
                        ? 300
                        : MIN ((int64_t)reply.retry_after_s * 1000, RETRY_AFTER_MAX_MS));
  }
  return reply.status;
}

uint32_t
stage_query (const char *prefix, const char *id, uint32_t first_node, char state[16])
{
  g_autofree char *path = g_strconcat (prefix, id, NULL);
  StageReply reply = { 0 };
  JsonObject *object;

  state[0] = '\0';
  for (uint32_t i = 0; i < QUERY_TRIES; i++) {
    stage_call ((first_node + i) % _stage.desc.node_count, "GET", path, NULL, &reply);
    if (reply.status != 0 && reply.status < 500)
      break;
    stage_sleep_ms (500);
  }
  if (reply.status != 200)
    return reply.status;
  object = fake_json_parse (reply.body, (gssize)strlen (reply.body));
  if (object != NULL) {
    g_strlcpy (state, fake_json_string (object, "state", ""), 16);
    json_object_unref (object);
  }
  return reply.status;
}

/* Returns true if the platform's balancer would send callers to the node. */
static bool
_is_ready (const Node *node)
{
  StageReply reply;

  _call_address (node->ready_address, "GET", "/api/readyz", NULL, &reply);
  return reply.status == 200;
}

bool
stage_wait_ready (void)
{
  int64_t end_ms = stage_elapsed_ms () + READY_TIMEOUT_MS;
  uint32_t ready_count = 0;

  while (ready_count < _stage.desc.node_count && stage_elapsed_ms () < end_ms) {
    stage_sleep_ms (200);
    ready_count = 0;
    for (uint32_t i = 0; i < _stage.desc.node_count; i++)
      ready_count += _is_ready (&_stage.nodes[i]) ? 1 : 0;
  }
  stage_note ("%u nodes are ready", ready_count);
  /* Until the first leader has listed all workers. */
  stage_sleep_ms (3000);
  return ready_count == _stage.desc.node_count;
}

/* Configuration and setup. */

typedef struct {
  uint32_t version;
  const char *routes;
} Config;

static void
_put_config (void *data)
{
  const Config *config = data;
  g_autofree char *text = g_strdup_printf (
      "{\"version\":%u,\"routes\":%s,\"services\":[{\"name\":\"desk\",\"rejects_overload\":false}],"
      "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"" STAGE_KEY
      "\"],\"weight\":1000}],\"limits\":{\"max_body_bytes\":262144}}",
      config->version, config->routes);

  soak_store_put (_stage.store, "op/config", text);
  stage_note ("operator: configuration %u acknowledged: %s", config->version, config->routes);
}

void
stage_put_config (uint32_t version, const char *routes)
{
  Config config = { .version = version, .routes = routes };

  stage_do (_put_config, &config);
}

static char *
_keep_value (uint32_t node, const char *key, const char *value, void *data)
{
  (void)node;
  (void)key;
  (void)value;
  (void)data;
  return NULL;
}

/* The settings that the template of the deploy file gives. */
static void
_setup_node (uint32_t number)
{
  Node *node = &_stage.nodes[number];
  g_autofree char *host = g_strdup_printf ("%s.%u", _stage.prefix, number + 1);
  g_autofree char *store = g_strdup_printf ("%s:%d", host, STORE_PORT);
  g_autofree char *text = NULL;

  g_snprintf (node->address, sizeof node->address, "%s:%d", host, CALLERS_PORT);
  g_snprintf (node->ready_address, sizeof node->ready_address, "%s:%d", host, READY_PORT);
  g_snprintf (node->log_path, sizeof node->log_path, "%s/node-%u.log", _stage.dir, number);
  g_snprintf (node->settings_path, sizeof node->settings_path, "%s/node-%u.json", _stage.dir,
              number);
  soak_store_listen (_stage.store, number, store);
  soak_store_set_fault (_stage.store, number, &(SoakStoreFault){ .delay_ms = STORE_ANSWER_MS });
  text = g_strdup_printf (
      "{\"name\":\"node-%u\",\"dc\":\"zone\",\"callers_address\":\"%s\",\"ready_address\":\"%s\","
      "\"host\":\"%s\",\"peer_port\":%d,\"metrics_address\":\"%s:%d\",\"cpu_share\":0.25,"
      "\"link_mbps\":1000.0,\"store_address\":\"%s\",\"advice_address\":\"%s.250:7400\","
      "\"hold_max_ms\":6000,\"retention_s\":120,\"grace_s\":6}",
      number, node->address, node->ready_address, host, PEER_PORT, host, METRICS_PORT, store,
      _stage.prefix);
  if (!g_file_set_contents (node->settings_path, text, -1, NULL))
    exit (2);
}

static bool
_is_free (uint32_t host, uint32_t port)
{
  g_autofree char *address = g_strdup_printf ("%s.%u:%u", _stage.prefix, host, port);
  struct sockaddr_in to = fake_address (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool is_free;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof (int));
  is_free = bind (fd, (struct sockaddr *)&to, sizeof to) == 0 && listen (fd, 1) == 0;
  close (fd);
  return is_free;
}

static bool
_is_prefix_free (void)
{
  static const uint32_t ports[] = { CALLERS_PORT, READY_PORT, PEER_PORT, STORE_PORT, METRICS_PORT };
  bool is_free = true;

  for (uint32_t i = 0; i < _stage.desc.node_count; i++) {
    for (guint p = 0; p < G_N_ELEMENTS (ports); p++)
      is_free = is_free && _is_free (i + 1, ports[p]);
  }
  for (uint32_t i = 0; i < _stage.desc.worker_count; i++)
    is_free
        = is_free && _is_free (251, STAGE_WORKER_PORT + i) && _is_free (252, STAGE_LINK_PORT + i);
  return is_free;
}

/* Chooses loopback addresses on which all ports are free. */
static void
_choose_prefix (void)
{
  uint32_t number = (uint32_t)getpid ();

  for (uint32_t i = 0; i < PREFIX_TRIES; i++, number += 37) {
    g_snprintf (_stage.prefix, sizeof _stage.prefix, "127.%u.%u", 40 + number % 100,
                number / 100 % 250);
    if (_is_prefix_free ())
      return;
  }
  exit (2);
}

void
stage_setup (const StageDesc *desc, int argc, char **argv)
{
  const char *trouble = g_getenv ("TROUBLE");

  _stage.desc = *desc;
  if (_stage.desc.restart_ms == 0)
    _stage.desc.restart_ms = 1000;
  _stage.has_trouble = g_strcmp0 (trouble, "0") != 0;
  _stage.record = argc > 1 ? fopen (argv[1], "w") : stdout;
  _stage.dir = g_dir_make_tmp ("review-XXXXXX", NULL);
  if (_stage.record == NULL || _stage.dir == NULL || access (CELLD, X_OK) != 0) {
    fprintf (stderr, "no record, no temporary folder or no " CELLD "\n");
    exit (2);
  }
  _choose_prefix ();
  g_mutex_init (&_stage.lock);
  g_cond_init (&_stage.done);
  fake_setup ();
  _stage.begin_ms = fake_now_ms ();
  _stage.wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  fake_watch (_stage.wake_fd, EPOLLIN, _run_tasks, NULL);
  _stage.store = soak_store_new (1, _keep_value, NULL);
  stage_workers_setup ();
  for (uint32_t i = 0; i < _stage.desc.node_count; i++)
    _setup_node (i);
  stage_note ("trouble is %s; logs of the daemons (kept if KEEP_LOGS is set) are in %s",
              _stage.has_trouble ? "on" : "off", _stage.dir);
}

/* Removes the temporary folder, unless KEEP_LOGS is set. */
static void
_remove_dir (void)
{
  if (g_getenv ("KEEP_LOGS") != NULL)
    return;
  for (uint32_t i = 0; i < _stage.desc.node_count; i++) {
    unlink (_stage.nodes[i].log_path);
    unlink (_stage.nodes[i].settings_path);
  }
  rmdir (_stage.dir);
}

static gpointer
_run_scenario (gpointer data G_GNUC_UNUSED)
{
  int status = _stage.scenario ();

  stage_do (_stop_nodes, NULL);
  _remove_dir ();
  stage_note ("result: %s", status == 1   ? "the rule was broken"
                            : status == 0 ? "the rule held"
                                          : "the case couldn't run");
  fclose (_stage.record);
  _exit (status);
}

void
stage_run (int (*scenario) (void))
{
  _stage.scenario = scenario;
  _poll_nodes (NULL);
  g_thread_unref (g_thread_new ("scenario", _run_scenario, NULL));
  fake_run ();
  exit (2);
}
