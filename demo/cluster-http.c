#include "cluster.h"
#include "fake-http.h"
#include "vp-types.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HTTP_TIMEOUT_MS   35000 /* above the longest wait of operators' calls */
#define QUERY_INTERVAL_MS 100   /* between queries for an accepted request */
#define BACKOFF_MIN_MS    50    /* delay of retries; doubles with each try up to BACKOFF_MAX_MS */
#define BACKOFF_MAX_MS    1000

static int64_t
_cluster_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
cluster_reply_clear (ClusterReply *reply)
{
  if (reply->body != NULL)
    g_string_free (reply->body, TRUE);
  *reply = (ClusterReply){ 0 };
}

void
cluster_client_close (ClusterClient *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

static bool
_cluster_connect (ClusterClient *client)
{
  struct sockaddr_in address = fake_address (client->address);

  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (client->fd >= 0 && connect (client->fd, (struct sockaddr *)&address, sizeof address) == 0) {
    setsockopt (client->fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
    return true;
  }
  cluster_client_close (client);
  return false;
}

static bool
_cluster_send (ClusterClient *client, const GString *text)
{
  for (gsize done = 0; done < text->len;) {
    ssize_t count = send (client->fd, text->str + done, text->len - done, MSG_NOSIGNAL);
    if (count < 0 && errno != EINTR)
      return false;
    done += count > 0 ? (gsize)count : 0;
  }
  return true;
}

/* Appends received bytes to @text. Returns false at the end of the stream, on an error, or after
 * the deadline. */
static bool
_cluster_receive (ClusterClient *client, GString *text, int64_t deadline_ms)
{
  struct pollfd event = { .fd = client->fd, .events = POLLIN };
  char buffer[16384];
  ssize_t count;

  if (poll (&event, 1, (int)MAX (deadline_ms - _cluster_now_ms (), 0)) != 1)
    return false;
  count = recv (client->fd, buffer, sizeof buffer, 0);
  if (count > 0)
    g_string_append_len (text, buffer, count);
  return count > 0;
}

static int64_t
_cluster_header_int (const char *head, const char *name, int64_t fallback)
{
  const char *found = strcasestr (head, name);

  return found != NULL ? g_ascii_strtoll (found + strlen (name), NULL, 10) : fallback;
}

/* Reads one reply and leaves its body in @text. Returns false if the reply is incomplete. */
static bool
_cluster_read_reply (ClusterClient *client, GString *text, int64_t deadline_ms, ClusterReply *reply)
{
  g_autofree char *head = NULL;
  const char *end;
  gsize head_size, size;

  while ((end = strstr (text->str, "\r\n\r\n")) == NULL) {
    if (!_cluster_receive (client, text, deadline_ms))
      return false;
  }
  head_size = (gsize)(end - text->str) + 4;
  head = g_strndup (text->str, head_size - 2);
  size = (gsize)_cluster_header_int (head, "\r\nContent-Length:", 0);
  while (text->len < head_size + size) {
    if (!_cluster_receive (client, text, deadline_ms))
      return false;
  }
  reply->status = (int)g_ascii_strtoll (head + strlen ("HTTP/1.1 "), NULL, 10);
  reply->retry_after_s = _cluster_header_int (head, "\r\nRetry-After:", 0);
  if (strcasestr (head, "\r\nConnection: close") != NULL)
    cluster_client_close (client);
  g_string_erase (text, 0, (gssize)head_size);
  return true;
}

void
cluster_client_call (ClusterClient *client,
                     const char *method,
                     const char *path,
                     const char *key,
                     const char *body,
                     int64_t timeout_ms,
                     ClusterReply *reply)
{
  g_autoptr (GString) text = g_string_new (NULL);

  *reply = (ClusterReply){ .status = -1 };
  /* A keep-alive connection that the server has closed meanwhile is replaced. */
  if (client->fd >= 0 && recv (client->fd, &(char){ 0 }, 1, MSG_PEEK | MSG_DONTWAIT) >= 0)
    cluster_client_close (client);
  if (client->fd < 0 && !_cluster_connect (client))
    return;
  g_string_printf (text, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n", method, path,
                   client->address, body != NULL ? strlen (body) : 0);
  if (key != NULL)
    g_string_append_printf (text, "Authorization: Bearer %s\r\n", key);
  g_string_append_printf (text, "\r\n%s", body != NULL ? body : "");
  reply->status = 0;
  reply->body = g_string_new (NULL);
  if (!_cluster_send (client, text)
      || !_cluster_read_reply (client, reply->body, _cluster_now_ms () + timeout_ms, reply))
    cluster_client_close (client);
}

int
cluster_http_call (const char *address,
                   const char *method,
                   const char *path,
                   const char *key,
                   const char *body,
                   JsonObject **out)
{
  ClusterClient client = { .fd = -1 };
  ClusterReply reply;
  int status;

  g_strlcpy (client.address, address, sizeof client.address);
  cluster_client_call (&client, method, path, key, body, HTTP_TIMEOUT_MS, &reply);
  status = reply.status;
  if (out != NULL)
    *out = status > 0 ? fake_json_parse (reply.body->str, (gssize)reply.body->len) : NULL;
  cluster_client_close (&client);
  cluster_reply_clear (&reply);
  return status;
}

void
cluster_post_control (const char *address, const char *body)
{
  int status = cluster_http_call (address, "POST", "/control", NULL, body, NULL);

  if (status != 200)
    g_error ("%s rejected %s: status %d", address, body, status);
}

/* Updates the request from the body of a reply. */
static void
_cluster_request_update (ClusterRequest *request, const ClusterReply *reply)
{
  JsonObject *object = fake_json_parse (reply->body->str, (gssize)reply->body->len);
  JsonNode *error;
  const char *answer;

  if (object == NULL)
    return;
  g_strlcpy (request->task, fake_json_string (object, "task", request->task), sizeof request->task);
  g_strlcpy (request->state, fake_json_string (object, "state", ""), sizeof request->state);
  answer = fake_json_string (object, "answer", NULL);
  if (answer != NULL)
    request->answer_hash = g_str_hash (answer);
  error = json_object_get_member (object, "error");
  if (error != NULL && JSON_NODE_HOLDS_OBJECT (error)) {
    JsonObject *detail = json_node_get_object (error);
    g_strlcpy (request->reason, fake_json_string (detail, "reason", ""), sizeof request->reason);
    g_strlcpy (request->run, fake_json_string (detail, "run", ""), sizeof request->run);
  }
  json_object_unref (object);
}

bool
cluster_request_is_final (const ClusterRequest *request)
{
  VpTaskState state;

  return vp_task_state_parse (request->state, &state) && vp_task_state_is_final (state);
}

static void
_cluster_request_submit (ClusterRequest *request, ClusterClient *client, int64_t timeout_ms)
{
  ClusterReply reply;

  request->state[0] = request->reason[0] = request->run[0] = '\0';
  cluster_client_call (client, "POST", "/v1/tasks", request->key[0] != '\0' ? request->key : NULL,
                       request->body, timeout_ms, &reply);
  request->tries++;
  request->status = reply.status;
  request->disconnect_count += reply.status == 0;
  if (reply.status > 0)
    _cluster_request_update (request, &reply);
  if (reply.status == 200 || reply.status == 202)
    request->is_accepted = true;
  cluster_reply_clear (&reply);
}

static void
_cluster_request_query (ClusterRequest *request, ClusterClient *client, int64_t timeout_ms)
{
  ClusterReply reply;
  char path[64];

  g_snprintf (path, sizeof path, "/v1/tasks/%s", request->task);
  cluster_client_call (client, "GET", path, request->key[0] != '\0' ? request->key : NULL, NULL,
                       timeout_ms, &reply);
  /* A reply without a state says nothing about the task. */
  if (reply.status > 0 && strstr (reply.body->str, "\"state\"") != NULL)
    _cluster_request_update (request, &reply);
  cluster_reply_clear (&reply);
}

/* Submits or queries the request once. Returns the time of the next step, or 0 if the outcome is
 * final. */
static int64_t
_cluster_request_step (ClusterRequest *request,
                       ClusterClient *client,
                       int64_t deadline_ms,
                       uint32_t tries_max)
{
  int64_t now_ms = _cluster_now_ms (), remaining_ms, backoff_ms;

  if (request->sent_ms == 0)
    request->sent_ms = now_ms;
  remaining_ms = deadline_ms - now_ms;
  if (remaining_ms <= 0)
    return 0;
  if (request->is_accepted)
    _cluster_request_query (request, client, remaining_ms);
  else
    _cluster_request_submit (request, client, remaining_ms);
  now_ms = _cluster_now_ms ();
  request->answered_ms = now_ms;
  if (cluster_request_is_final (request) && strcmp (request->state, "refused") != 0) {
    request->is_accepted = true;
    return 0;
  }
  if (request->is_accepted)
    return strcmp (request->state, "refused") == 0 ? 0 : now_ms + QUERY_INTERVAL_MS;
  /* Other refusals are permanent. If it is unknown whether the task has run, the request is sent
   * again with the same identity. */
  if (request->status > 0 && strcmp (request->run, "unknown") != 0 && request->status != 429
      && request->status != 503)
    return 0;
  if (tries_max > 0 && request->tries >= tries_max)
    return 0;
  /* With a new connection the balancer selects another entry process. */
  cluster_client_close (client);
  backoff_ms = MIN (BACKOFF_MIN_MS << MIN (request->tries, 5), BACKOFF_MAX_MS);
  return now_ms + backoff_ms;
}

typedef struct {
  ClusterRequest *request;
  int64_t at_ms;
} ClusterScheduled;

static gint
_cluster_scheduled_compare (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const ClusterScheduled *x = a, *y = b;

  return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

/* Returns the next new request, or the next step of a request that this thread follows, if it is
 * due; else NULL. */
static ClusterScheduled *
_cluster_load_next (ClusterLoad *load, GSequence *followed, ClusterScheduled **next_new)
{
  GSequenceIter *first = g_sequence_get_begin_iter (followed);
  int64_t now_ms = _cluster_now_ms ();
  ClusterScheduled *scheduled;
  uint32_t index;

  if (*next_new == NULL && (uint32_t)g_atomic_int_get (&load->next) < load->count
      && (index = g_atomic_int_add (&load->next, 1)) < load->count) {
    *next_new = g_new (ClusterScheduled, 1);
    (*next_new)->request = &load->requests[index];
    (*next_new)->at_ms = load->start_ms + load->requests[index].send_at_ms;
  }
  if (*next_new != NULL && (*next_new)->at_ms <= now_ms)
    return g_steal_pointer (next_new);
  if (g_sequence_iter_is_end (first))
    return NULL;
  scheduled = g_sequence_get (first);
  if (scheduled->at_ms > now_ms)
    return NULL;
  g_sequence_remove (first);
  return scheduled;
}

static gpointer
_cluster_load_thread (gpointer data)
{
  ClusterLoad *load = data;
  GSequence *followed = g_sequence_new (NULL);
  ClusterClient client = { .fd = -1 };
  ClusterScheduled *next_new = NULL;

  g_strlcpy (client.address, load->address, sizeof client.address);
  for (;;) {
    ClusterScheduled *scheduled = _cluster_load_next (load, followed, &next_new);
    if (scheduled == NULL && next_new == NULL && g_sequence_is_empty (followed))
      break;
    if (scheduled == NULL) {
      g_usleep (1000);
      continue;
    }
    if (scheduled->request->tries == 0)
      g_atomic_int_inc (&load->sent);
    scheduled->at_ms = _cluster_request_step (scheduled->request, &client,
                                              load->start_ms + load->timeout_ms, load->tries_max);
    if (scheduled->at_ms > 0) {
      g_sequence_insert_sorted (followed, scheduled, _cluster_scheduled_compare, NULL);
    } else {
      g_atomic_int_inc (&load->settled);
      g_free (scheduled);
    }
  }
  cluster_client_close (&client);
  g_sequence_free (followed);
  return NULL;
}

void
cluster_load_start (ClusterLoad *load)
{
  load->start_ms = _cluster_now_ms ();
  load->threads = g_ptr_array_new ();
  for (uint32_t i = 0; i < load->thread_count; i++)
    g_ptr_array_add (load->threads, g_thread_new ("load", _cluster_load_thread, load));
}

void
cluster_load_join (ClusterLoad *load)
{
  for (guint i = 0; i < load->threads->len; i++)
    g_thread_join (load->threads->pdata[i]);
  g_clear_pointer (&load->threads, g_ptr_array_unref);
}

void
cluster_worker_counts_read (Cluster *cluster, ClusterWorkerCounts *counts)
{
  *counts = (ClusterWorkerCounts){ .runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                                  NULL) };
  for (uint32_t i = 0; i < cluster->workers->len; i++) {
    const ClusterWorker *worker = cluster_worker (cluster, i);
    JsonObject *object = NULL;
    JsonObjectIter iter;
    const char *task;
    JsonNode *node;

    if (cluster_http_call (worker->address, "GET", "/control", NULL, NULL, &object) != 200
        || object == NULL)
      g_error ("%s did not reply", worker->name);
    counts->started += fake_json_int (object, "started", 0);
    counts->overcommitted += fake_json_int (object, "peak_cpu_milli", 0) > worker->cpu_milli
                             || fake_json_int (object, "peak_mem_mib", 0) > worker->mem_mib
                             || fake_json_int (object, "peak_accel_count", 0) > worker->accel_count
                             || fake_json_int (object, "peak_slots", 0) > cluster->desc.slots;
    json_object_iter_init (&iter, json_object_get_object_member (object, "runs"));
    while (json_object_iter_next (&iter, &task, &node)) {
      int sum = GPOINTER_TO_INT (g_hash_table_lookup (counts->runs, task));
      g_hash_table_replace (counts->runs, g_strdup (task),
                            GINT_TO_POINTER (sum + (int)json_node_get_int (node)));
    }
    json_object_unref (object);
  }
}

void
cluster_worker_counts_clear (ClusterWorkerCounts *counts)
{
  g_clear_pointer (&counts->runs, g_hash_table_unref);
}

/* Returns the attempts that the workers report; only those that are also in @filter, unless it is
 * NULL. */
static GHashTable *
_cluster_list_running (Cluster *cluster, GHashTable *filter)
{
  GHashTable *set = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (uint32_t i = 0; i < cluster->workers->len; i++) {
    JsonObject *report = NULL;
    JsonArray *running;
    if (cluster_http_call (cluster_worker (cluster, i)->address, "GET",
                           "/v1/report?ack=0&seen=0&wait_ms=0", NULL, NULL, &report)
            != 200
        || report == NULL)
      g_error ("%s did not send a report", cluster_worker (cluster, i)->name);
    running = json_object_get_array_member (report, "running");
    for (guint j = 0; j < json_array_get_length (running); j++) {
      JsonObject *task = json_array_get_object_element (running, j);
      char *name = g_strdup_printf ("%s@%u", fake_json_string (task, "name", ""), i);
      if (filter == NULL || g_hash_table_contains (filter, name))
        g_hash_table_insert (set, name,
                             GINT_TO_POINTER ((int)fake_json_int (task, "cpu_milli", 0)));
      else
        g_free (name);
    }
    json_object_unref (report);
  }
  return set;
}

GHashTable *
cluster_running_attempts (Cluster *cluster)
{
  g_autoptr (GHashTable) first = _cluster_list_running (cluster, NULL);

  return _cluster_list_running (cluster, first);
}

/* Each member answers with the identity. The answers of a gang are joined as lines. */
static bool
_cluster_has_expected_answer (const ClusterRequest *request)
{
  g_autoptr (GString) expected = g_string_new (request->identity);

  for (uint32_t i = 1; i < request->members; i++)
    g_string_append_printf (expected, "\n%s", request->identity);
  return request->answer_hash == g_str_hash (expected->str);
}

/* Returns the contradiction between the outcome, the workers' counts and the answer, or NULL if
 * there is none. */
static const char *
_cluster_outcome_fault (const ClusterRequest *request, int runs)
{
  bool is_done = strcmp (request->state, "done") == 0;

  if (!request->is_accepted)
    return runs > 0 && strcmp (request->run, "no") == 0 ? "refused as not run, but ran" : NULL;
  if (!cluster_request_is_final (request) || strcmp (request->state, "lost") == 0)
    return "no outcome";
  if (is_done && runs == 0)
    return "done, but never ran";
  if (strcmp (request->state, "refused") == 0 && runs > 0)
    return "accepted, refused as not run, but ran";
  if (is_done && !_cluster_has_expected_answer (request))
    return "answer of another request";
  return NULL;
}

void
cluster_check_outcomes (const ClusterRequest *requests,
                        uint32_t count,
                        const ClusterWorkerCounts *counts,
                        uint32_t *lost,
                        uint32_t *twice)
{
  *lost = *twice = 0;
  for (uint32_t i = 0; i < count; i++) {
    const ClusterRequest *request = &requests[i];
    char task[VP_TASK_ID_TEXT_MAX];
    const char *fault;
    int runs;

    g_strlcpy (task, request->task, sizeof task);
    if (task[0] == '\0' && request->identity[0] != '\0')
      vp_task_id_format (vp_task_id_from_identity (request->team, request->identity), task);
    runs = GPOINTER_TO_INT (g_hash_table_lookup (counts->runs, task));
    fault = _cluster_outcome_fault (request, runs);
    *lost += fault != NULL;
    *twice += runs > 1 && !request->is_repeatable;
    if (fault == NULL && runs > 1 && !request->is_repeatable)
      fault = "ran twice";
    if (fault != NULL)
      fprintf (stderr, "%s %s of %s: %s (task %s, status %d, state '%s' %s, %d runs, %u tries)\n",
               request->profile, request->identity, request->team, fault, task, request->status,
               request->state, request->reason, runs, request->tries);
  }
}
