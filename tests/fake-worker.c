/* Stand-in for the platform's workers, see docs/interface-worker.md. Each worker has its own
 * listener. */
#include "fake-http.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define RUN_MS        20   /* run time of a task whose payload has no run_ms */
#define USAGE_LAG_MS  2000 /* usage is reported as 0 for this long after a start */
#define ENDED_MAX     4096 /* unacknowledged ended attempts a worker keeps; set by the interface */
#define ANSWER_MAX    (1 << 20) /* bytes; limit of answer_bytes */
#define TASK_HEX_SIZE 32

typedef struct {
  int64_t cpu_milli, mem_mib, accel_count;
} Resources;

typedef struct {
  char *name, *address;
  Resources size;
  int64_t slots;
  uint64_t boot, sequence;
  bool is_leaving, is_failing, is_reversed;
  bool is_accepting_all; /* starts aren't refused for lack of capacity or leaving, so that the
                             counts show mistakes of the scheduler */
  int64_t answer_delay_ms;
  GHashTable *attempts; /* name -> Attempt, running and ended */
  GQueue ended;         /* Attempt, by sequence */
  GPtrArray *polls;     /* Poll */
  Resources used;
  int64_t running;
  int64_t started, peak_slots;
  Resources peak;
  GHashTable *runs; /* task id in hex -> number of starts */
} Worker;

typedef struct {
  FakeRequest *request;
  Worker *worker;
  uint64_t seen;
  FakeTimer *timer;
} Poll;

typedef struct {
  Worker *worker;
  char *name, *team, *profile;
  Resources size, usage;
  int64_t started_ms, lease_until_ms;
  int64_t end_ms;         /* when its work is done at the present speed; 0: it has ended */
  int64_t throttle_milli; /* present speed in thousandths of the full speed */
  bool is_failing;
  const char *end; /* NULL while it runs */
  GBytes *answer;
  uint64_t sequence; /* 0: the end isn't reported yet */
  FakeTimer *timer;
} Attempt;

static struct {
  const char *list, *dc;
  GPtrArray *workers;
  GHashTable *progress; /* "<task id in hex>.<member>" -> ms left, saved by a checkpoint */
} _fake_worker;

static void _worker_attempt_timer (void *data);

static void
_worker_attempt_free (void *data)
{
  Attempt *attempt = data;

  fake_timer_cancel (&attempt->timer);
  g_clear_pointer (&attempt->answer, g_bytes_unref);
  g_free (attempt->name);
  g_free (attempt->team);
  g_free (attempt->profile);
  g_free (attempt);
}

static char *
_worker_progress_key (const Attempt *attempt)
{
  return g_strndup (attempt->name, (gsize)(strrchr (attempt->name, '.') - attempt->name));
}

static void
_worker_json_set_size (JsonObject *object, const Resources *size, const char *cpu, const char *mem)
{
  json_object_set_int_member (object, cpu, size->cpu_milli);
  json_object_set_int_member (object, mem, size->mem_mib);
}

static JsonObject *
_worker_attempt_json (const Attempt *attempt)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "name", attempt->name);
  json_object_set_string_member (object, "team", attempt->team);
  json_object_set_string_member (object, "profile", attempt->profile);
  return object;
}

static JsonObject *
_worker_running_json (const Attempt *attempt, int64_t now_ms)
{
  JsonObject *object = _worker_attempt_json (attempt);
  Resources usage = { 0 };

  if (now_ms - attempt->started_ms >= USAGE_LAG_MS) {
    usage = attempt->usage;
    usage.cpu_milli = usage.cpu_milli * attempt->throttle_milli / 1000;
  }
  _worker_json_set_size (object, &attempt->size, "cpu_milli", "mem_mib");
  json_object_set_int_member (object, "accel_count", attempt->size.accel_count);
  _worker_json_set_size (object, &usage, "used_cpu_milli", "used_mem_mib");
  json_object_set_int_member (object, "lease_until_ms", attempt->lease_until_ms);
  return object;
}

static JsonObject *
_worker_ended_json (const Attempt *attempt)
{
  JsonObject *object = _worker_attempt_json (attempt);
  gsize size;
  const char *data;

  json_object_set_int_member (object, "sequence", (gint64)attempt->sequence);
  json_object_set_string_member (object, "end", attempt->end);
  if (attempt->answer == NULL)
    return object;
  data = g_bytes_get_data (attempt->answer, &size);
  if (size == 0 || (memchr (data, 0, size) == NULL && g_utf8_validate_len (data, size, NULL))) {
    g_autofree char *text = g_strndup (size == 0 ? "" : data, size);
    json_object_set_string_member (object, "answer", text);
  } else {
    g_autofree char *text = g_base64_encode ((const guchar *)data, size);
    json_object_set_string_member (object, "answer_base64", text);
  }
  return object;
}

static void
_worker_report (FakeRequest *request, Worker *worker)
{
  JsonObject *object = json_object_new ();
  JsonArray *running = json_array_new (), *ended = json_array_new ();
  int64_t now_ms = fake_now_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    if (((Attempt *)value)->sequence == 0)
      json_array_add_object_element (running, _worker_running_json (value, now_ms));
  }
  for (GList *link = worker->is_reversed ? worker->ended.tail : worker->ended.head; link != NULL;
       link = worker->is_reversed ? link->prev : link->next)
    json_array_add_object_element (ended, _worker_ended_json (link->data));
  json_object_set_int_member (object, "boot", (gint64)worker->boot);
  json_object_set_boolean_member (object, "leaving", worker->is_leaving);
  json_object_set_int_member (object, "sequence", (gint64)worker->sequence);
  json_object_set_array_member (object, "running", running);
  json_object_set_array_member (object, "ended", ended);
  fake_reply_json (request, 200, object);
}

static void
_worker_poll_end (Poll *poll, bool is_lost)
{
  fake_timer_cancel (&poll->timer);
  if (is_lost)
    fake_abort (poll->request);
  else
    _worker_report (poll->request, poll->worker);
  g_free (poll);
}

static void
_worker_poll_timeout (void *data)
{
  Poll *poll = data;

  poll->timer = NULL;
  g_ptr_array_remove_fast (poll->worker->polls, poll);
  _worker_poll_end (poll, false);
}

/* Answers the polls that have not seen the last sequence number; drops all of them if @is_lost. */
static void
_worker_end_polls (Worker *worker, bool is_lost)
{
  for (guint i = worker->polls->len; i-- > 0;) {
    Poll *poll = worker->polls->pdata[i];
    if (is_lost || worker->sequence > poll->seen)
      _worker_poll_end (g_ptr_array_remove_index_fast (worker->polls, i), is_lost);
  }
}

/* Frees the attempt's slot and resources, and reports its end. */
static void
_worker_report_ended (Attempt *attempt)
{
  Worker *worker = attempt->worker;

  fake_timer_cancel (&attempt->timer);
  attempt->sequence = ++worker->sequence;
  worker->used.cpu_milli -= attempt->size.cpu_milli;
  worker->used.mem_mib -= attempt->size.mem_mib;
  worker->used.accel_count -= attempt->size.accel_count;
  worker->running--;
  g_queue_push_tail (&worker->ended, attempt);
  if (worker->ended.length > ENDED_MAX)
    g_hash_table_remove (worker->attempts, ((Attempt *)g_queue_pop_head (&worker->ended))->name);
  _worker_end_polls (worker, false);
}

static void
_worker_attempt_end (Attempt *attempt, const char *end)
{
  attempt->end = end;
  attempt->end_ms = 0;
  fake_timer_cancel (&attempt->timer);
  if (strcmp (end, "done") != 0)
    g_clear_pointer (&attempt->answer, g_bytes_unref);
  if (attempt->worker->answer_delay_ms > 0)
    attempt->timer = fake_timer_add (fake_now_ms () + attempt->worker->answer_delay_ms,
                                     _worker_attempt_timer, attempt);
  else
    _worker_report_ended (attempt);
}

static void
_worker_attempt_timer (void *data)
{
  Attempt *attempt = data;
  int64_t now_ms = fake_now_ms ();

  attempt->timer = NULL;
  if (attempt->end != NULL)
    _worker_report_ended (attempt);
  else if (attempt->end_ms <= now_ms && attempt->end_ms <= attempt->lease_until_ms)
    _worker_attempt_end (attempt, attempt->is_failing ? "failed" : "done");
  else
    _worker_attempt_end (attempt, "lapsed");
}

static void
_worker_attempt_schedule (Attempt *attempt)
{
  fake_timer_cancel (&attempt->timer);
  attempt->timer = fake_timer_add (MIN (attempt->end_ms, attempt->lease_until_ms),
                                   _worker_attempt_timer, attempt);
}

static GBytes *
_worker_payload (JsonObject *body)
{
  const char *text = fake_json_string (body, "payload", NULL);
  const char *base64 = fake_json_string (body, "payload_base64", NULL);
  gsize size = 0;
  guchar *data;

  if (base64 == NULL)
    return g_bytes_new (text != NULL ? text : "", text != NULL ? strlen (text) : 0);
  data = g_base64_decode (base64, &size);
  return g_bytes_new_take (data, size);
}

/* Sets run time, usage, answer and result of the attempt from its payload, which may be a JSON
 * object with run_ms, answer, answer_bytes, fail, use_cpu_milli and use_mem_mib. */
static void
_worker_attempt_parse_payload (Attempt *attempt, GBytes *payload, int64_t now_ms)
{
  g_autofree char *key = _worker_progress_key (attempt);
  gsize size;
  const char *text = g_bytes_get_data (payload, &size);
  JsonObject *task = fake_json_parse (text, (gssize)size);
  int64_t run_ms = RUN_MS, answer_bytes = -1;
  const char *answer = NULL;
  gpointer left_ms;

  attempt->answer = g_bytes_ref (payload);
  if (task != NULL) {
    run_ms = fake_json_int (task, "run_ms", RUN_MS);
    answer = fake_json_string (task, "answer", NULL);
    answer_bytes = fake_json_int (task, "answer_bytes", -1);
    attempt->is_failing = fake_json_int (task, "fail", 0) != 0;
    attempt->usage.cpu_milli = fake_json_int (task, "use_cpu_milli", attempt->usage.cpu_milli);
    attempt->usage.mem_mib = fake_json_int (task, "use_mem_mib", attempt->usage.mem_mib);
  }
  if (answer != NULL || answer_bytes >= 0) {
    gsize count = (gsize)MIN (answer_bytes, ANSWER_MAX);
    g_bytes_unref (attempt->answer);
    attempt->answer = answer != NULL ? g_bytes_new (answer, strlen (answer))
                                     : g_bytes_new_take (g_strnfill (count, 'a'), count);
  }
  if (g_hash_table_steal_extended (_fake_worker.progress, key, NULL, &left_ms))
    run_ms = GPOINTER_TO_INT (left_ms);
  if (attempt->worker->is_failing) {
    run_ms = MIN (run_ms, RUN_MS);
    attempt->is_failing = true;
  }
  attempt->end_ms = now_ms + run_ms;
  g_clear_pointer (&task, json_object_unref);
}

static void
_worker_count_start (Worker *worker, const Attempt *attempt)
{
  const char *member = attempt->name + TASK_HEX_SIZE;

  worker->started++;
  worker->running++;
  worker->used.cpu_milli += attempt->size.cpu_milli;
  worker->used.mem_mib += attempt->size.mem_mib;
  worker->used.accel_count += attempt->size.accel_count;
  worker->peak.cpu_milli = MAX (worker->peak.cpu_milli, worker->used.cpu_milli);
  worker->peak.mem_mib = MAX (worker->peak.mem_mib, worker->used.mem_mib);
  worker->peak.accel_count = MAX (worker->peak.accel_count, worker->used.accel_count);
  worker->peak_slots = MAX (worker->peak_slots, worker->running);
  if (g_str_has_prefix (member, ".0.")) {
    char *task = g_strndup (attempt->name, TASK_HEX_SIZE);
    gpointer count = g_hash_table_lookup (worker->runs, task);
    g_hash_table_insert (worker->runs, task, GINT_TO_POINTER (GPOINTER_TO_INT (count) + 1));
  }
}

/* HTTP status of a start; 201 if the worker accepts it. */
static unsigned
_worker_check_start (const Worker *worker, const Resources *need, int64_t lease_until_ms)
{
  if (worker->is_leaving && !worker->is_accepting_all)
    return 503;
  if (lease_until_ms <= fake_now_ms ())
    return 410;
  if (worker->is_accepting_all)
    return 201;
  if (worker->running >= worker->slots
      || worker->used.cpu_milli + need->cpu_milli > worker->size.cpu_milli
      || worker->used.mem_mib + need->mem_mib > worker->size.mem_mib
      || worker->used.accel_count + need->accel_count > worker->size.accel_count)
    return 409;
  return 201;
}

static bool
_worker_is_attempt_name (const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 4);

  return g_strv_length (parts) == 3 && strlen (parts[0]) == TASK_HEX_SIZE && parts[1][0] != '\0'
         && parts[2][0] != '\0';
}

static void
_worker_start (FakeRequest *request, Worker *worker, const char *name)
{
  JsonObject *body = fake_request_json (request);
  int64_t now_ms = fake_now_ms (), lease_until_ms;
  g_autoptr (GBytes) payload = NULL;
  unsigned status = 400;
  Resources size;

  if (body == NULL || !_worker_is_attempt_name (name))
    goto out;
  status = 200;
  if (g_hash_table_contains (worker->attempts, name))
    goto out;
  size = (Resources){ .cpu_milli = fake_json_int (body, "cpu_milli", 0),
                      .mem_mib = fake_json_int (body, "mem_mib", 0),
                      .accel_count = fake_json_int (body, "accel_count", 0) };
  lease_until_ms = fake_json_int (body, "lease_until_ms", 0);
  status = _worker_check_start (worker, &size, lease_until_ms);
  if (status == 201) {
    Attempt *attempt = g_new0 (Attempt, 1);
    *attempt = (Attempt){ .worker = worker,
                          .name = g_strdup (name),
                          .team = g_strdup (fake_json_string (body, "team", "")),
                          .profile = g_strdup (fake_json_string (body, "profile", "")),
                          .size = size,
                          .usage = size,
                          .started_ms = now_ms,
                          .lease_until_ms = lease_until_ms,
                          .throttle_milli = 1000 };
    payload = _worker_payload (body);
    _worker_attempt_parse_payload (attempt, payload, now_ms);
    g_hash_table_insert (worker->attempts, attempt->name, attempt);
    _worker_count_start (worker, attempt);
    _worker_attempt_schedule (attempt);
  }
out:
  fake_reply (request, status, NULL, 0, NULL);
  g_clear_pointer (&body, json_object_unref);
}

/* The attempt if it is running, otherwise NULL. */
static Attempt *
_worker_running (Worker *worker, const char *name)
{
  Attempt *attempt = g_hash_table_lookup (worker->attempts, name);

  return attempt != NULL && attempt->end == NULL ? attempt : NULL;
}

static void
_worker_renew (FakeRequest *request, Worker *worker)
{
  JsonObject *body = fake_request_json (request), *answer = json_object_new ();
  JsonArray *unknown = json_array_new ();
  JsonArray *leases = body != NULL && json_object_has_member (body, "leases")
                          ? json_object_get_array_member (body, "leases")
                          : NULL;

  for (guint i = 0; leases != NULL && i < json_array_get_length (leases); i++) {
    JsonObject *lease = json_array_get_object_element (leases, i);
    const char *name = fake_json_string (lease, "name", "");
    Attempt *attempt = _worker_running (worker, name);
    if (attempt == NULL) {
      json_array_add_string_element (unknown, name);
      continue;
    }
    attempt->lease_until_ms = fake_json_int (lease, "lease_until_ms", 0);
    _worker_attempt_schedule (attempt);
  }
  json_object_set_array_member (answer, "unknown", unknown);
  fake_reply_json (request, 200, answer);
  g_clear_pointer (&body, json_object_unref);
}

static void
_worker_stop (FakeRequest *request, Worker *worker, const char *name, bool is_checkpoint)
{
  Attempt *attempt = _worker_running (worker, name);

  if (attempt != NULL && is_checkpoint)
    g_hash_table_insert (_fake_worker.progress, _worker_progress_key (attempt),
                         GINT_TO_POINTER ((int)MAX (attempt->end_ms - fake_now_ms (), 1)));
  if (attempt != NULL)
    _worker_attempt_end (attempt, is_checkpoint ? "checkpointed" : "stopped");
  fake_reply (request, attempt != NULL ? 200 : 404, NULL, 0, NULL);
}

static void
_worker_throttle (FakeRequest *request, Worker *worker, const char *name)
{
  Attempt *attempt = _worker_running (worker, name);
  int64_t milli = CLAMP (fake_request_int (request, "milli", 1000), 1, 1000),
          now_ms = fake_now_ms ();

  if (attempt != NULL) {
    int64_t left_ms = MAX (attempt->end_ms - now_ms, 0);
    attempt->end_ms = now_ms + left_ms * attempt->throttle_milli / milli;
    attempt->throttle_milli = milli;
    _worker_attempt_schedule (attempt);
  }
  fake_reply (request, attempt != NULL ? 200 : 404, NULL, 0, NULL);
}

static void
_worker_poll (FakeRequest *request, Worker *worker)
{
  uint64_t acknowledged = (uint64_t)fake_request_int (request, "ack", 0);
  uint64_t seen = (uint64_t)fake_request_int (request, "seen", 0);
  int64_t wait_ms = fake_request_int (request, "wait_ms", 0);
  Attempt *first;
  Poll *poll;

  while ((first = g_queue_peek_head (&worker->ended)) != NULL && first->sequence <= acknowledged) {
    g_queue_pop_head (&worker->ended);
    g_hash_table_remove (worker->attempts, first->name);
  }
  if (worker->sequence > seen || wait_ms <= 0) {
    _worker_report (request, worker);
    return;
  }
  poll = g_new0 (Poll, 1);
  *poll = (Poll){ .request = request, .worker = worker, .seen = seen };
  poll->timer = fake_timer_add (fake_now_ms () + wait_ms, _worker_poll_timeout, poll);
  g_ptr_array_add (worker->polls, poll);
}

/* Sequence numbers continue after a restart. Otherwise an acknowledgement that was sent before it
 * could remove an ended attempt that nobody has seen. */
static void
_worker_restart (Worker *worker)
{
  g_hash_table_remove_all (worker->attempts);
  g_queue_clear (&worker->ended);
  worker->used = (Resources){ 0 };
  worker->running = 0;
  worker->boot = MAX (worker->boot + 1, (uint64_t)fake_now_ms ());
  worker->is_leaving = worker->is_failing = false;
  _worker_end_polls (worker, true);
}

static void
_worker_control (FakeRequest *request, Worker *worker)
{
  JsonObject *body = fake_request_json (request);

  if (body == NULL) {
    fake_reply (request, 400, NULL, 0, NULL);
    return;
  }
  if (fake_json_int (body, "restart", 0) != 0)
    _worker_restart (worker);
  worker->is_failing = fake_json_int (body, "fail_all", worker->is_failing) != 0;
  worker->is_leaving = fake_json_int (body, "leaving", worker->is_leaving) != 0;
  worker->is_accepting_all = fake_json_int (body, "accept_all", worker->is_accepting_all) != 0;
  worker->is_reversed = fake_json_int (body, "answer_shuffle", worker->is_reversed) != 0;
  worker->answer_delay_ms = fake_json_int (body, "answer_delay_ms", worker->answer_delay_ms);
  json_object_unref (body);
  fake_reply (request, 200, NULL, 0, NULL);
}

static void
_worker_counts (FakeRequest *request, Worker *worker)
{
  JsonObject *object = json_object_new (), *runs = json_object_new ();
  GHashTableIter iter;
  gpointer task, count;

  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, &task, &count))
    json_object_set_int_member (runs, task, GPOINTER_TO_INT (count));
  json_object_set_int_member (object, "started", worker->started);
  _worker_json_set_size (object, &worker->peak, "peak_cpu_milli", "peak_mem_mib");
  json_object_set_int_member (object, "peak_accel_count", worker->peak.accel_count);
  json_object_set_int_member (object, "peak_slots", worker->peak_slots);
  json_object_set_object_member (object, "runs", runs);
  fake_reply_json (request, 200, object);
}

static void
_worker_handle_attempt (FakeRequest *request, Worker *worker, const char *rest)
{
  g_auto (GStrv) parts = g_strsplit (rest, "/", 2);
  bool is_post = strcmp (request->method, "POST") == 0;

  if (is_post && parts[1] == NULL)
    _worker_start (request, worker, parts[0]);
  else if (strcmp (request->method, "DELETE") == 0 && parts[1] == NULL)
    _worker_stop (request, worker, parts[0], false);
  else if (is_post && g_strcmp0 (parts[1], "checkpoint") == 0)
    _worker_stop (request, worker, parts[0], true);
  else if (is_post && g_strcmp0 (parts[1], "throttle") == 0)
    _worker_throttle (request, worker, parts[0]);
  else
    fake_reply (request, 404, NULL, 0, NULL);
}

static void
_worker_handle (FakeRequest *request, void *data)
{
  Worker *worker = data;
  const char *prefix = "/v1/attempts/";

  if (g_str_has_prefix (request->path, prefix))
    _worker_handle_attempt (request, worker, request->path + strlen (prefix));
  else if (fake_request_is (request, "POST", "/v1/leases", NULL))
    _worker_renew (request, worker);
  else if (fake_request_is (request, "GET", "/v1/report", NULL))
    _worker_poll (request, worker);
  else if (fake_request_is (request, "POST", "/control", NULL))
    _worker_control (request, worker);
  else if (fake_request_is (request, "GET", "/control", NULL))
    _worker_counts (request, worker);
  else
    fake_reply (request, 404, NULL, 0, NULL);
}

static void
_worker_add (JsonObject *vm)
{
  Worker *worker = g_new0 (Worker, 1);

  worker->size = (Resources){ .cpu_milli = fake_json_int (vm, "cpu_milli", 0),
                              .mem_mib = fake_json_int (vm, "mem_mib", 0),
                              .accel_count = fake_json_int (vm, "accel_count", 0) };
  worker->slots = fake_json_int (vm, "slots", 8);
  worker->boot = (uint64_t)fake_now_ms ();
  worker->attempts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _worker_attempt_free);
  worker->polls = g_ptr_array_new ();
  worker->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&worker->ended);
  g_ptr_array_add (_fake_worker.workers, worker);
  fake_listen (fake_json_string (vm, "address", ""),
               (unsigned)fake_json_int (vm, "connections", 64), _worker_handle, worker);
}

static error_t
_worker_option (int key, char *arg, struct argp_state *state)
{
  switch (key) {
  case 'l':
    _fake_worker.list = arg;
    return 0;
  case 'd':
    _fake_worker.dc = arg;
    return 0;
  case ARGP_KEY_END:
    if (_fake_worker.list == NULL)
      argp_error (state, "--list is missing");
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "list", 'l', "FILE", 0, "VM list; one worker for each VM in it", 0 },
    { "dc", 'd', "DC", 0, "only the workers of this DC", 0 },
    { 0 },
  };
  static const struct argp argp = { options, _worker_option, NULL, NULL, NULL, NULL, NULL };
  JsonObject *list;
  JsonArray *vms;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  fake_setup ();
  _fake_worker.workers = g_ptr_array_new ();
  _fake_worker.progress = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  list = fake_json_load (_fake_worker.list);
  vms = json_object_get_array_member (list, "vms");
  for (guint i = 0; vms != NULL && i < json_array_get_length (vms); i++) {
    JsonObject *vm = json_array_get_object_element (vms, i);
    if (_fake_worker.dc == NULL || strcmp (_fake_worker.dc, fake_json_string (vm, "dc", "")) == 0)
      _worker_add (vm);
  }
  json_object_unref (list);
  fake_run ();
  return EXIT_SUCCESS;
}
