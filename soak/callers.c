#include "callers.h"

#include "vp-net.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <string.h>

#define TRIES_MAX           6
#define READ_TIMEOUT_S      4
#define DEADLINE_MS         3000
#define RETRY_AFTER_MAX_S   2 /* longer values of Retry-After are shortened to this */
#define POLL_INTERVAL_MS    300
#define VISIBLE_WITHIN_MS   3000 /* each node must know an accepted job after this time */
#define CANCEL_LATE_MAX_MS  3000
#define MEASURE_INTERVAL_MS 10

typedef struct {
  Soak *soak;
  uint32_t number;
  GRand *rand;
  GRand *cancel_rand; /* of its own, so that the jobs of a seed don't depend on cancellations */
} Caller;

typedef enum {
  CANCEL_NONE,
  CANCEL_EARLY, /* at the same time as the submission */
  CANCEL_ONCE_ACCEPTED,
  CANCEL_LATE, /* after some tasks may have ended */
} CancelTime;

/* A cancellation on a thread of its own. */
typedef struct {
  Soak *soak;
  SimJob *job;
  const char *path;
  GRand *rand;
  const char *address; /* NULL: a random node for each attempt */
} Canceller;

static GPtrArray *_threads;

static void
_read_reply (ne_request *request, SoakReply *reply)
{
  const char *retry_after = ne_get_response_header (request, "Retry-After");
  size_t size = 0;
  ssize_t count;

  while (
      size < SOAK_REPLY_MAX - 1
      && (count = ne_read_response_block (request, reply->body + size, SOAK_REPLY_MAX - 1 - size))
             > 0)
    size += (size_t)count;
  reply->body[size] = '\0';
  if (ne_end_request (request) != NE_OK)
    return;
  reply->status = (uint32_t)ne_get_status (request)->code;
  reply->retry_after_s
      = retry_after == NULL ? 0 : (uint32_t)g_ascii_strtoull (retry_after, NULL, 10);
}

void
soak_callers_call (const char *address,
                   const char *method,
                   const char *path,
                   const char *key,
                   const char *body,
                   SoakReply *reply)
{
  VpNetAddress net;
  const ne_inet_addr *list[1];
  ne_inet_addr *target;
  ne_session *session;
  ne_request *request;
  g_autofree char *authorization = g_strconcat ("Token ", key, NULL);

  memset (reply, 0, sizeof *reply);
  if (!vp_net_parse_address (address, &net))
    return;
  session = ne_session_create ("http", SOAK_HOST, net.port);
  target = ne_iaddr_make (ne_iaddr_ipv4, (const unsigned char *)&net.v4.sin_addr);
  list[0] = target;
  ne_set_addrlist (session, list, 1);
  ne_set_connect_timeout (session, 1);
  ne_set_read_timeout (session, READ_TIMEOUT_S);
  request = ne_request_create (session, method, path);
  /* Prevents neon from sending the request a second time. */
  ne_set_request_flag (request, NE_REQFLAG_IDEMPOTENT, 0);
  ne_add_request_header (request, "Authorization", authorization);
  ne_print_request_header (request, "Deadline-Ms", "%d", DEADLINE_MS);
  if (body != NULL) {
    ne_add_request_header (request, "Content-Type", "application/json");
    ne_set_request_body_buffer (request, body, strlen (body));
  }
  if (ne_begin_request (request) == NE_OK)
    _read_reply (request, reply);
  ne_request_destroy (request);
  ne_session_destroy (session);
  ne_iaddr_free (target);
}

uint32_t
soak_callers_get (const char *address, const char *path, const char *key)
{
  SoakReply reply;

  soak_callers_call (address, "GET", path, key, NULL, &reply);
  return reply.status;
}

static const char *
_random_node_address (const Soak *soak, GRand *rand)
{
  guint node = (guint)g_rand_int_range (rand, 0, (gint32)soak->node_count);

  return fake_mapping_address (soak->caller_links[node]);
}

static void
_sleep_ms (int64_t duration_ms)
{
  g_usleep ((gulong)duration_ms * 1000);
}

static bool
_is_stopping (Soak *soak)
{
  return __atomic_load_n (&soak->is_stopping, __ATOMIC_SEQ_CST);
}

static SimJob *
_new_job (Caller *caller)
{
  GRand *rand = caller->rand;
  int kind = g_rand_int_range (rand, 0, 20);
  SimJobDesc desc = { .steps = (uint32_t)g_rand_int_range (rand, 1, 4),
                      .width = (uint32_t)g_rand_int_range (rand, 1, 9),
                      .work_ms = g_rand_int_range (rand, 100, 2000),
                      .failing_share = 0.05 };
  SimJob *job;

  desc.is_gang = kind == 0;
  desc.is_long_running = kind == 1;
  /* Long-running tasks are small, so that they never fill the only worker that the advice service
   * allows for a step. */
  if (desc.is_long_running) {
    desc.steps = 1;
    desc.cpu_milli = 100;
    desc.mem_mib = 64;
  }
  if (desc.is_gang)
    desc.failing_share = 0;
  job = simcell_jobs_new (((uint64_t)g_rand_int (rand) << 32) | g_rand_int (rand), &desc);
  job->spec->queue = kind % 2 == 0 ? "advised" : "plain";
  g_free (job->spec->text);
  job->spec->text = g_strdup_printf ("job %016" G_GINT64_MODIFIER "x", job->id);
  job->spec->id = job->id;
  g_mutex_lock (&caller->soak->lock);
  g_hash_table_insert (caller->soak->jobs.by_id, &job->id, job);
  g_mutex_unlock (&caller->soak->lock);
  return job;
}

char *
soak_callers_job_json (const SimJob *job)
{
  const SimJobDesc *desc = &job->desc;
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"spec\":\"%s\",\"steps\":[", job->spec->text);
  for (uint32_t s = 0; s < desc->steps; s++) {
    const VpStepSpec *step = &job->spec->steps[s];
    g_string_append_printf (text, "%s{\"count\":%u,\"cpu\":%d,\"mem_mb\":%d,\"estimate_ms\":%d%s%s",
                            s == 0 ? "" : ",", desc->width, (int)step->size.cpu_milli,
                            (int)step->size.mem_mib, (int)step->estimate_ms,
                            desc->is_gang ? ",\"gang\":true" : "",
                            desc->is_long_running ? ",\"long_running\":true" : "");
    if (s > 0)
      g_string_append_printf (text, ",\"after\":[%u]", s - 1);
    g_string_append_c (text, '}');
  }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

/* Returns true if the response may be that of a node without the queue of the path. */
static bool
_is_queue_missing (const Soak *soak, const char *path, const SoakReply *reply)
{
  return reply->status == 404 && g_str_has_prefix (path, "/plain/")
         && fake_now_ms () < __atomic_load_n (&soak->queue_missing_ms, __ATOMIC_SEQ_CST);
}

/* Returns true if the job was accepted. */
static bool
_submit (Caller *caller, SimJob *job, const char *path)
{
  Soak *soak = caller->soak;
  g_autofree char *body = soak_callers_job_json (job);
  SoakReply reply;

  for (int i = 0; i < TRIES_MAX && !_is_stopping (soak); i++) {
    soak_callers_call (_random_node_address (soak, caller->rand), "POST", path, SOAK_KEY, body,
                       &reply);
    if (reply.status == 200) {
      g_mutex_lock (&soak->lock);
      job->is_accepted = true;
      soak->accepted_count++;
      g_mutex_unlock (&soak->lock);
      return true;
    }
    if (reply.status == 503 || reply.status == 429) {
      _sleep_ms (MIN (reply.retry_after_s, RETRY_AFTER_MAX_S) * 1000 + 50);
      continue;
    }
    if (_is_queue_missing (soak, path, &reply)) {
      _sleep_ms (POLL_INTERVAL_MS);
      continue;
    }
    if (reply.status != 0 && reply.status != 504)
      soak_fail (soak, "POST %s returned status %u", path, reply.status);
    job->is_outcome_unknown = true;
    _sleep_ms (100);
  }
  g_mutex_lock (&soak->lock);
  job->is_rejected = !job->is_outcome_unknown;
  soak->refused_count += job->is_rejected ? 1 : 0;
  soak->uncertain_count += job->is_outcome_unknown ? 1 : 0;
  g_mutex_unlock (&soak->lock);
  return false;
}

/* Cancels the job until a node confirms it. */
static gpointer
_cancel (gpointer data)
{
  Canceller *canceller = data;
  Soak *soak = canceller->soak;
  SimJob *job = canceller->job;
  SoakReply reply = { 0 };

  while (!_is_stopping (soak)) {
    soak_callers_call (canceller->address != NULL ? canceller->address
                                                  : _random_node_address (soak, canceller->rand),
                       "DELETE", canceller->path, SOAK_KEY, NULL, &reply);
    if (reply.status == 200 || reply.status == 410)
      break;
    _sleep_ms (POLL_INTERVAL_MS);
  }
  g_mutex_lock (&soak->lock);
  if (!_is_stopping (soak)) {
    job->is_cancelled = true;
    if (job->cancelled_ms == 0)
      job->cancelled_ms = fake_now_ms ();
    soak->cancelled_count++;
    if (reply.status == 410)
      g_hash_table_add (soak->cancel_unknown, &job->id);
  }
  g_mutex_unlock (&soak->lock);
  g_rand_free (canceller->rand);
  g_free (canceller);
  return NULL;
}

static GThread *
_start_cancel (Caller *caller, SimJob *job, const char *path)
{
  Canceller *canceller = g_new0 (Canceller, 1);

  canceller->soak = caller->soak;
  canceller->job = job;
  canceller->path = path;
  canceller->rand = g_rand_new_with_seed (g_rand_int (caller->cancel_rand));
  g_mutex_lock (&caller->soak->lock);
  job->is_cancel_requested = true;
  g_mutex_unlock (&caller->soak->lock);
  return g_thread_new ("cancel", _cancel, canceller);
}

/* Cancels the job once, at two nodes at the same time, or again after the first confirmation. */
static void
_cancel_accepted (Caller *caller, SimJob *job, const char *path)
{
  int kind = g_rand_int_range (caller->cancel_rand, 0, 3);
  GThread *first = _start_cancel (caller, job, path);
  GThread *second = kind == 1 ? _start_cancel (caller, job, path) : NULL;

  g_thread_join (first);
  if (kind == 2)
    second = _start_cancel (caller, job, path);
  if (second != NULL)
    g_thread_join (second);
}

static void
_check_completed (Soak *soak, const SimJob *job)
{
  guint count;

  g_mutex_lock (&soak->lock);
  count = g_hash_table_size (job->done);
  soak->completed_count++;
  g_mutex_unlock (&soak->lock);
  if (count < job->desc.steps * job->desc.width)
    soak_fail (soak, "job %016" G_GINT64_MODIFIER "x is reported as completed with %u tasks done",
               job->id, count);
}

/* Polls the job until it is reported as completed. */
static void
_poll_until_completed (Caller *caller, const SimJob *job, const char *path, int64_t accepted_ms)
{
  Soak *soak = caller->soak;
  SoakReply reply;

  while (!_is_stopping (soak)) {
    int64_t faults_ended_ms = __atomic_load_n (&soak->faults_ended_ms, __ATOMIC_SEQ_CST);
    int64_t asked_ms = fake_now_ms ();
    soak_callers_call (_random_node_address (soak, caller->rand), "GET", path, SOAK_KEY, NULL,
                       &reply);
    if (reply.status == 410 && asked_ms > accepted_ms + VISIBLE_WITHIN_MS)
      soak_fail (soak, "GET %s of an accepted job returned status 410", path);
    if (strstr (reply.body, "\"failed\"") != NULL || strstr (reply.body, "\"cancelled\"") != NULL)
      soak_fail (soak, "GET %s returned %s for a job that should complete", path, reply.body);
    if (strstr (reply.body, "\"completed\"") != NULL) {
      _check_completed (soak, job);
      return;
    }
    if (faults_ended_ms != 0 && fake_now_ms () > faults_ended_ms + soak->completion_timeout_ms)
      soak_fail (soak, "GET %s returned status %u %s, not completed %d ms after the last fault",
                 path, reply.status, reply.body, (int)soak->completion_timeout_ms);
    _sleep_ms (POLL_INTERVAL_MS);
  }
}

/* Polls an accepted job whose cancellation was confirmed until it is shown as ended. It may be
 * shown as completed only if all of its tasks were done. While faults are active, a node that was
 * paused may still answer from the time before the cancellation. */
static void
_poll_until_cancelled (Caller *caller, const SimJob *job, const char *path)
{
  Soak *soak = caller->soak;
  SoakReply reply;

  while (!_is_stopping (soak)) {
    int64_t faults_ended_ms = __atomic_load_n (&soak->faults_ended_ms, __ATOMIC_SEQ_CST);
    int64_t asked_ms = fake_now_ms ();
    soak_callers_call (_random_node_address (soak, caller->cancel_rand), "GET", path, SOAK_KEY,
                       NULL, &reply);
    if (strstr (reply.body, "\"cancelled\"") != NULL)
      return;
    if (strstr (reply.body, "\"completed\"") != NULL) {
      _check_completed (soak, job);
      return;
    }
    if (strstr (reply.body, "\"failed\"") != NULL)
      soak_fail (soak, "GET %s of a cancelled job returned %s", path, reply.body);
    if (reply.status == 410 && asked_ms > job->cancelled_ms + VISIBLE_WITHIN_MS)
      soak_fail (soak, "GET %s of an accepted, cancelled job returned status 410", path);
    if (reply.status == 200 && faults_ended_ms != 0
        && asked_ms > MAX (faults_ended_ms, job->cancelled_ms) + VISIBLE_WITHIN_MS)
      soak_fail (soak, "GET %s of a cancelled job returned %s", path, reply.body);
    if (faults_ended_ms != 0 && asked_ms > faults_ended_ms + soak->completion_timeout_ms)
      soak_fail (soak, "GET %s returned status %u %s, not cancelled %d ms after the last fault",
                 path, reply.status, reply.body, (int)soak->completion_timeout_ms);
    _sleep_ms (POLL_INTERVAL_MS);
  }
}

static void
_check_unknown_key (const Caller *caller)
{
  SoakReply reply;

  soak_callers_call (_random_node_address (caller->soak, caller->rand), "GET", "/plain/",
                     "no-such-key", NULL, &reply);
  if (reply.status != 401 && reply.status != 503 && reply.status != 0
      && !_is_queue_missing (caller->soak, "/plain/", &reply))
    soak_fail (caller->soak, "a request with an unknown key returned status %u", reply.status);
}

static CancelTime
_draw_cancel_time (Caller *caller, bool is_cancelled)
{
  int draw = g_rand_int_range (caller->cancel_rand, 0, 10);

  if (is_cancelled)
    return CANCEL_ONCE_ACCEPTED;
  return draw < 2 ? CANCEL_EARLY : draw == 2 ? CANCEL_LATE : CANCEL_NONE;
}

static gpointer
_caller_main (gpointer data)
{
  Caller *caller = data;
  Soak *soak = caller->soak;

  while (!_is_stopping (soak) && __atomic_load_n (&soak->faults_ended_ms, __ATOMIC_SEQ_CST) == 0) {
    SimJob *job = _new_job (caller);
    g_autofree char *path
        = g_strdup_printf ("/%s/%016" G_GINT64_MODIFIER "x", job->spec->queue, job->id);
    bool is_cancelled = g_rand_int_range (caller->rand, 0, 10) == 0;
    CancelTime time = _draw_cancel_time (caller, is_cancelled);
    GThread *early = NULL;
    bool is_accepted;
    if (g_rand_int_range (caller->rand, 0, 10) == 0)
      _check_unknown_key (caller);
    if (time == CANCEL_EARLY)
      early = _start_cancel (caller, job, path);
    is_accepted = _submit (caller, job, path);
    if (early != NULL)
      g_thread_join (early);
    if (!is_accepted)
      continue;
    if (time == CANCEL_LATE)
      _sleep_ms (g_rand_int_range (caller->cancel_rand, 0, CANCEL_LATE_MAX_MS));
    if (time == CANCEL_LATE || time == CANCEL_ONCE_ACCEPTED)
      _cancel_accepted (caller, job, path);
    if (time != CANCEL_NONE)
      _poll_until_cancelled (caller, job, path);
    else if (!job->desc.is_long_running)
      _poll_until_completed (caller, job, path, fake_now_ms ());
    _sleep_ms (g_rand_int_range (caller->rand, 0, 400));
  }
  g_rand_free (caller->rand);
  g_rand_free (caller->cancel_rand);
  g_free (caller);
  return NULL;
}

void
soak_callers_start (Soak *soak)
{
  ne_sock_init ();
  _threads = g_ptr_array_new ();
  for (uint32_t i = 0; i < soak->caller_count; i++) {
    Caller *caller = g_new0 (Caller, 1);
    caller->soak = soak;
    caller->number = i;
    caller->rand = g_rand_new_with_seed (soak->seed * 1000 + i);
    caller->cancel_rand = g_rand_new_with_seed (soak->seed * 1000 + 500 + i);
    g_ptr_array_add (_threads, g_thread_new ("caller", _caller_main, caller));
  }
}

/* Submits the job once; returns after the reply. */
static gpointer
_submit_once (gpointer data)
{
  Canceller *submission = data;
  g_autofree char *body = soak_callers_job_json (submission->job);
  SoakReply reply;

  soak_callers_call (submission->address, "POST", submission->path, SOAK_KEY, body, &reply);
  g_mutex_lock (&submission->soak->lock);
  submission->job->is_accepted = reply.status == 200;
  submission->soak->accepted_count += reply.status == 200 ? 1 : 0;
  g_mutex_unlock (&submission->soak->lock);
  g_rand_free (submission->rand);
  g_free (submission);
  return NULL;
}

/* Submits jobs and cancels each at another node at the same time, all at once. */
void
soak_callers_measure (Soak *soak)
{
  Caller caller = { .soak = soak,
                    .rand = g_rand_new_with_seed (soak->seed),
                    .cancel_rand = g_rand_new_with_seed (soak->seed) };

  _threads = g_ptr_array_new ();
  ne_sock_init ();
  for (uint32_t i = 0; i < soak->measured_count; i++) {
    Canceller *pair[2] = { g_new0 (Canceller, 1), g_new0 (Canceller, 1) };
    SimJob *job = _new_job (&caller);
    for (int p = 0; p < 2; p++) {
      pair[p]->soak = soak;
      pair[p]->job = job;
      pair[p]->path = g_strdup_printf ("/%s/%016" G_GINT64_MODIFIER "x", job->spec->queue, job->id);
      pair[p]->rand = g_rand_new_with_seed (i);
      pair[p]->address
          = fake_mapping_address (soak->caller_links[(i + (uint32_t)p) % soak->node_count]);
    }
    g_ptr_array_add (_threads, g_thread_new ("submit", _submit_once, pair[0]));
    g_ptr_array_add (_threads, g_thread_new ("cancel", _cancel, pair[1]));
    _sleep_ms (MEASURE_INTERVAL_MS);
  }
  soak_callers_join ();
}

void
soak_callers_join (void)
{
  for (guint i = 0; i < _threads->len; i++)
    g_thread_join (_threads->pdata[i]);
  g_ptr_array_set_size (_threads, 0);
}
