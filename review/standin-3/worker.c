/* Stand-in for one worker of the platform, as a process.
 *
 *   worker ID ADDRESS STORE ZONE RACK CPU_MILLI MEM_MIB STOP_MS LOG
 *
 * It writes its entry to STORE (the second address of the stand-in "store") with every heartbeat,
 * carries out commands, and appends a line to LOG for each start, stop and end of a run, and for
 * each end that was taken note of: TIME WORKER start|stop|end|seen TASK RUN [HOW]. A start with a
 * checkpoint has a line "given" before, with the checkpoint. What a run does
 * is in the text of its job, by words: "work_ms=N" (how long it works, 100 without it) or "lasts"
 * (until it is stopped).
 */
#include "call.h"
#include "fake-http.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS         10
#define HEARTBEAT_MS    1500
#define HOLD_MAX_MS     6000
#define HOLD_WAIT_MS    2000
#define ENDS_MAX        500
#define WORK_DEFAULT_MS 100
#define KIND            "a"
/* A new checkpoint each second: TASK/RUN/SECOND, filled up to this size. */
#define CHECKPOINT_BYTES 100
#define CHECKPOINT_MS    1000

typedef struct {
  char *task;
  uint32_t run;
  int64_t ends_ms;    /* time at which its work is done; INT64_MAX: it lasts */
  int64_t stopped_ms; /* time at which a stop takes effect; 0: none */
  int64_t began_ms;
  bool is_failing;
  bool is_saving;
} Run;

typedef struct {
  uint64_t number;
  char *task;
  uint32_t run;
  const char *how;
} End;

static struct {
  const char *id, *address, *store, *zone, *rack;
  int64_t cpu_milli, mem_mib, stop_ms;
  FILE *log;
  int64_t born_ms;
  int64_t heartbeat_ms; /* time of the next heartbeat */
  int64_t seq;
  int64_t fence;
  int64_t lease_end_ms; /* on this worker's clock */
  uint64_t last_end;
  GPtrArray *runs;      /* Run */
  GPtrArray *ends;      /* End, oldest first */
  GHashTable *last_run; /* task -> highest run that was stopped or has ended here */
  FakeRequest *hold;    /* a HOLD that waits for an end; NULL: none */
  int64_t hold_until_ms;
} _worker;

static volatile sig_atomic_t _is_unhealthy;

static void
_on_signal (int number)
{
  (void)number;
  _is_unhealthy = !_is_unhealthy;
}

static int64_t
_clock_ms (void)
{
  return fake_now_ms () - _worker.born_ms + 1;
}

static void
_write_log (const char *event, const char *task, uint32_t run, const char *how)
{
  fprintf (_worker.log, "%" G_GINT64_FORMAT " %s %s %s %u %s\n", fake_now_ms (), _worker.id, event,
           task, run, how);
  fflush (_worker.log);
}

static void
_beat (int64_t now_ms)
{
  g_autofree char *path = g_strconcat ("/put/servers/", _worker.id, NULL);
  g_autofree char *text = NULL;
  CallReply reply;

  if (now_ms < _worker.heartbeat_ms)
    return;
  _worker.heartbeat_ms = now_ms + HEARTBEAT_MS;
  text = g_strdup_printf (
      "{\"service\":\"desk\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"1\",\"slots\":8,"
      "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":%" G_GINT64_FORMAT ","
      "\"capacity\":{\"cpu\":%" G_GINT64_FORMAT ",\"mem_mb\":%" G_GINT64_FORMAT ",\"gpu\":0},"
      "\"labels\":[\"" KIND "\",\"%s\"],\"born\":%" G_GINT64_FORMAT "}",
      _worker.address, _worker.zone, ++_worker.seq, _worker.cpu_milli, _worker.mem_mib,
      _worker.rack, _worker.born_ms);
  call_http (_worker.store,
             &(CallRequest){ .method = "POST", .path = path, .body = text, .timeout_ms = 500 },
             &reply);
}

/* Runs. */

static uint32_t
_last_run (const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (_worker.last_run, task));
}

static void
_note_last_run (const char *task, uint32_t run)
{
  if (run > _last_run (task))
    g_hash_table_replace (_worker.last_run, g_strdup (task), GUINT_TO_POINTER (run));
}

static void
_end_run (guint index, const char *how)
{
  Run *run = _worker.runs->pdata[index];
  End *end = g_new0 (End, 1);

  *end = (End){
    .number = ++_worker.last_end, .task = g_strdup (run->task), .run = run->run, .how = how
  };
  g_ptr_array_add (_worker.ends, end);
  _note_last_run (run->task, run->run);
  _write_log ("end", run->task, run->run, how);
  g_free (run->task);
  g_free (run);
  g_ptr_array_remove_index (_worker.runs, index);
}

static Run *
_find_run (const char *task, uint32_t number)
{
  for (guint i = 0; i < _worker.runs->len; i++) {
    Run *run = _worker.runs->pdata[i];
    if (run->run == number && strcmp (run->task, task) == 0)
      return run;
  }
  return NULL;
}

static int64_t
_work_ms (const char *spec)
{
  const char *word = strstr (spec, "work_ms=");

  if (strstr (spec, "lasts") != NULL)
    return INT64_MAX;
  return word == NULL ? WORK_DEFAULT_MS : g_ascii_strtoll (word + strlen ("work_ms="), NULL, 10);
}

static void
_start_run (const char *task, uint32_t number, const char *spec)
{
  Run *run = g_new0 (Run, 1);
  int64_t work_ms = _work_ms (spec);

  *run = (Run){ .task = g_strdup (task),
                .run = number,
                .began_ms = fake_now_ms (),
                .is_failing = number == 1 && strstr (spec, "fails") != NULL,
                .is_saving = strstr (spec, "saves") != NULL,
                .ends_ms = work_ms == INT64_MAX ? INT64_MAX : fake_now_ms () + work_ms };
  g_ptr_array_add (_worker.runs, run);
  _write_log ("start", task, number, "");
}

/* Returns the newest checkpoint of the run, to be freed by the caller. */
static char *
_checkpoint (const Run *run)
{
  int64_t second = (fake_now_ms () - run->began_ms) / CHECKPOINT_MS;
  g_autofree char *text = NULL;
  g_autofree char *fill = g_strnfill (CHECKPOINT_BYTES, '0');

  if (!run->is_saving || second == 0)
    return g_strdup ("");
  text = g_strdup_printf ("%s/%u/%" G_GINT64_FORMAT "/%s", run->task, run->run, second, fill);
  return g_strndup (text, CHECKPOINT_BYTES);
}

/* Answers. */

static JsonObject *
_answer (const char *reason)
{
  JsonObject *out = json_object_new ();

  json_object_set_int_member (out, "clock_ms", _clock_ms ());
  if (reason != NULL)
    json_object_set_string_member (out, "reason", reason);
  return out;
}

static void
_answer_hold (FakeRequest *call)
{
  JsonObject *out = _answer (NULL);
  JsonArray *running = json_array_new ();
  JsonArray *finished = json_array_new ();

  for (guint i = 0; i < _worker.runs->len; i++) {
    const Run *run = _worker.runs->pdata[i];
    JsonArray *row = json_array_new ();
    g_autofree char *checkpoint = _checkpoint (run);
    json_array_add_string_element (row, run->task);
    json_array_add_int_element (row, run->run);
    json_array_add_string_element (row, checkpoint);
    json_array_add_int_element (row, 100);
    json_array_add_int_element (row, 0);
    json_array_add_array_element (running, row);
  }
  for (guint i = 0; i < MIN (_worker.ends->len, ENDS_MAX); i++) {
    const End *end = _worker.ends->pdata[i];
    JsonArray *row = json_array_new ();
    json_array_add_int_element (row, (gint64)end->number);
    json_array_add_string_element (row, end->task);
    json_array_add_int_element (row, end->run);
    json_array_add_string_element (row, end->how);
    json_array_add_string_element (row, "");
    json_array_add_array_element (finished, row);
  }
  json_object_set_int_member (out, "born", _worker.born_ms);
  json_object_set_array_member (out, "running", running);
  json_object_set_array_member (out, "finished", finished);
  fake_reply_json (call, 200, out);
}

/* Commands. */

static void
_extend_lease (JsonObject *in)
{
  int64_t deadline_ms = fake_json_int (in, "deadline_ms", 0);

  _worker.lease_end_ms = MAX (_worker.lease_end_ms, MIN (deadline_ms, _clock_ms () + HOLD_MAX_MS));
}

static void
_handle_start (FakeRequest *call, JsonObject *in)
{
  const char *task = fake_json_string (in, "task", "");
  const char *checkpoint = fake_json_string (in, "checkpoint", "");
  uint32_t run = (uint32_t)fake_json_int (in, "run", 0);
  const char *reason = NULL;

  if (fake_json_int (in, "deadline_ms", 0) <= _clock_ms ())
    reason = "late";
  else if (run <= _last_run (task))
    reason = "old";
  if (reason == NULL || strcmp (reason, "old") == 0)
    _extend_lease (in);
  if (reason == NULL && checkpoint[0] != '\0' && _find_run (task, run) == NULL)
    _write_log ("given", task, run, checkpoint);
  if (reason == NULL && _find_run (task, run) == NULL)
    _start_run (task, run, fake_json_string (in, "spec", ""));
  fake_reply_json (call, reason == NULL ? 200 : 409, _answer (reason));
}

static void
_handle_stop (FakeRequest *call, JsonObject *in)
{
  const char *task = fake_json_string (in, "task", "");
  uint32_t number = (uint32_t)fake_json_int (in, "run", 0);
  Run *run = _find_run (task, number);

  _note_last_run (task, number);
  if (run != NULL && run->stopped_ms == 0) {
    run->stopped_ms = fake_now_ms () + _worker.stop_ms;
    _write_log ("stop", task, number, "");
  }
  fake_reply_json (call, 200, _answer (NULL));
}

static void
_end_waiting_hold (void)
{
  FakeRequest *call = _worker.hold;

  _worker.hold = NULL;
  if (call != NULL)
    _answer_hold (call);
}

static void
_handle_hold (FakeRequest *call, JsonObject *in)
{
  uint64_t seen = (uint64_t)fake_json_int (in, "last_seen", 0);
  int64_t wait_ms = MIN (fake_json_int (in, "wait_ms", 0), HOLD_WAIT_MS);

  _extend_lease (in);
  while (_worker.ends->len > 0 && ((const End *)_worker.ends->pdata[0])->number <= seen) {
    End *end = _worker.ends->pdata[0];
    _write_log ("seen", end->task, end->run, end->how);
    g_free (end->task);
    g_free (end);
    g_ptr_array_remove_index (_worker.ends, 0);
  }
  if (wait_ms <= 0 || _worker.ends->len > 0) {
    _answer_hold (call);
    return;
  }
  _end_waiting_hold ();
  _worker.hold = call;
  _worker.hold_until_ms = fake_now_ms () + wait_ms;
}

static void
_handle_command (FakeRequest *call, JsonObject *in)
{
  int64_t fence = fake_json_int (in, "fence", 0);

  if (fence < _worker.fence) {
    fake_reply_json (call, 409, _answer ("fence"));
    return;
  }
  _worker.fence = fence;
  if (strcmp (call->path, "/api/run-start") == 0 && _is_unhealthy)
    fake_reply_json (call, 503, _answer (NULL));
  else if (strcmp (call->path, "/api/run-start") == 0)
    _handle_start (call, in);
  else if (strcmp (call->path, "/api/run-stop") == 0)
    _handle_stop (call, in);
  else if (strcmp (call->path, "/api/hold") == 0)
    _handle_hold (call, in);
  else
    fake_reply_json (call, 200, _answer (NULL));
}

static void
_handle (FakeRequest *call, void *data)
{
  const char *instance
      = MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, "Expect-Instance");
  JsonObject *in = fake_request_json (call);

  (void)data;
  if (strcmp (call->path, "/healthz") == 0)
    fake_reply_json (call, 200, json_object_new ());
  else if (instance != NULL && strcmp (instance, _worker.id) != 0)
    fake_reply_json (call, 421, json_object_new ());
  else if (in == NULL)
    fake_reply_json (call, 400, json_object_new ());
  else
    _handle_command (call, in);
  g_clear_pointer (&in, json_object_unref);
}

static void
_tick (void *data)
{
  int64_t now_ms = fake_now_ms ();

  for (guint i = 0; i < _worker.runs->len;) {
    const Run *run = _worker.runs->pdata[i];
    if (_clock_ms () > _worker.lease_end_ms)
      _end_run (i, "lapsed");
    else if (run->stopped_ms != 0 && now_ms >= run->stopped_ms)
      _end_run (i, "stopped");
    else if (run->stopped_ms == 0 && now_ms >= run->ends_ms)
      _end_run (i, run->is_failing ? "failed" : "done");
    else
      i++;
  }
  if (_worker.ends->len > 0 || now_ms >= _worker.hold_until_ms)
    _end_waiting_hold ();
  _beat (now_ms);
  fake_timer_add (now_ms + TICK_MS, _tick, data);
}

int
main (int argc, char **argv)
{
  if (argc != 10) {
    fprintf (stderr, "usage: worker ID ADDRESS STORE ZONE RACK CPU_MILLI MEM_MIB STOP_MS LOG\n");
    return EXIT_FAILURE;
  }
  fake_setup ();
  _worker.id = argv[1];
  _worker.address = argv[2];
  _worker.store = argv[3];
  _worker.zone = argv[4];
  _worker.rack = argv[5];
  _worker.cpu_milli = g_ascii_strtoll (argv[6], NULL, 10);
  _worker.mem_mib = g_ascii_strtoll (argv[7], NULL, 10);
  _worker.stop_ms = g_ascii_strtoll (argv[8], NULL, 10);
  _worker.log = fopen (argv[9], "a");
  if (_worker.log == NULL) {
    perror (argv[9]);
    return EXIT_FAILURE;
  }
  signal (SIGUSR1, _on_signal);
  _worker.born_ms = fake_now_ms ();
  _worker.runs = g_ptr_array_new ();
  _worker.ends = g_ptr_array_new ();
  _worker.last_run = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fake_listen (_worker.address, 0, _handle, NULL);
  _tick (NULL);
  fake_run ();
  return EXIT_SUCCESS;
}
