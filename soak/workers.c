#include "workers.h"

#include <stdarg.h>
#include <string.h>

#define TICK_MS        20
#define HEARTBEAT_MS   1500
#define LISTED_MS      (3 * HEARTBEAT_MS) /* a silent worker's entry goes after this */
#define LATE_MAX_MS    4000
#define TICKET_MS      2000
#define ADVICE_MS      20
#define ADVICE_GOOD    6 /* of ten workers */
#define WORKER_PORT    7400
#define LINK_PORT      7500
#define ADVICE_ADDRESS ".250:7400"

typedef struct {
  SoakWorkers *workers;
  uint32_t number;
  FakeWorker *fake;
  FakeMap *link;
  int64_t beat_ms;  /* next heartbeat */
  int64_t heard_ms; /* last one */
  bool is_listed;
  FakeCall *hold; /* waits for an end; NULL: none */
  VpCommand hold_command;
  int64_t hold_until_ms;
} Worker;

typedef struct {
  Worker *worker;
  int64_t booted_ms; /* of the worker's life that took the order */
  VpCommand command;
} LateCommand;

typedef struct {
  FakeCall *call;
  JsonObject *answer;
} LateAdvice;

struct _SoakWorkers {
  Soak *soak;
  GRand *rand;
  Worker workers[SOAK_WORKERS_MAX];
  double late_share;
  char advice[32];
  FakeTimer *tick;
};

/* Heartbeats. */

static void
_beat (Worker *worker, int64_t now_ms)
{
  const VpWorkerEntry *entry = &worker->fake->entry;
  g_autofree char *key = g_strconcat ("servers/", entry->id, NULL);
  g_autofree char *text = NULL;
  bool is_draining = worker->fake->leaves_ms != INT64_MAX;

  if (!worker->fake->is_up) {
    if (worker->is_listed && now_ms - worker->heard_ms > LISTED_MS) {
      worker->is_listed = false;
      soak_store_put (worker->workers->soak->store, key, NULL);
    }
    return;
  }
  if (now_ms < worker->beat_ms)
    return;
  worker->beat_ms = now_ms + HEARTBEAT_MS;
  worker->heard_ms = now_ms;
  worker->is_listed = true;
  text = g_strdup_printf (
      "{\"service\":\"service\",\"address\":\"%s\",\"zone\":\"dc\",\"state\":\"%s\",%s"
      "\"capacity\":{\"cpu\":%d,\"mem_mb\":%d},\"labels\":[\"a\",\"%s\"],\"seq\":%d,"
      "\"born\":%" G_GINT64_FORMAT "}",
      fake_map_address (worker->link), is_draining ? "draining" : "ready",
      is_draining ? "\"remaining_ms\":500," : "", (int)entry->capacity.cpu_milli,
      (int)entry->capacity.mem_mib, entry->rack, (int)(now_ms / HEARTBEAT_MS % 100000),
      entry->booted_ms);
  soak_store_put (worker->workers->soak->store, key, text);
}

/* Orders. */

static const char *
_reason (VpCommandOutcome outcome)
{
  switch (outcome) {
  case VP_COMMAND_FENCED:
    return "fence";
  case VP_COMMAND_SUPERSEDED:
    return "old";
  case VP_COMMAND_LATE:
    return "late";
  case VP_COMMAND_BAD_TICKET:
    return "ticket";
  default:
    return "room";
  }
}

static JsonArray *
_row (const VpTaskName *task, uint32_t run)
{
  JsonArray *row = json_array_new ();
  char name[VP_TASK_NAME_MAX];

  vp_task_name_format (task, name);
  json_array_add_string_element (row, name);
  json_array_add_int_element (row, run);
  return row;
}

static void
_add_lists (JsonObject *body, const VpCommandResult *result)
{
  JsonArray *running = json_array_new ();
  JsonArray *ended = json_array_new ();

  for (guint i = 0; i < result->running->len; i++) {
    const VpRunningEntry *entry = &g_array_index (result->running, VpRunningEntry, i);
    JsonArray *row = _row (&entry->task, entry->run);
    json_array_add_string_element (row, "");
    json_array_add_int_element (row, 100);
    json_array_add_array_element (running, row);
  }
  for (guint i = 0; i < result->ended->len; i++) {
    const VpEndedEntry *entry = &g_array_index (result->ended, VpEndedEntry, i);
    JsonArray *row = json_array_new ();
    char name[VP_TASK_NAME_MAX];
    vp_task_name_format (&entry->task, name);
    json_array_add_int_element (row, (gint64)entry->number);
    json_array_add_string_element (row, name);
    json_array_add_int_element (row, entry->run);
    json_array_add_string_element (row, vp_run_end_token (entry->end));
    json_array_add_string_element (row, "");
    json_array_add_array_element (ended, row);
  }
  json_object_set_int_member (body, "born", result->booted_ms);
  json_object_set_array_member (body, "running", running);
  json_object_set_array_member (body, "finished", ended);
}

static void
_reply (FakeCall *call, VpCommandResult *result)
{
  JsonObject *body = json_object_new ();

  json_object_set_int_member (body, "clock_ms", result->clock_ms);
  if (result->outcome != VP_COMMAND_OK)
    json_object_set_string_member (body, "reason", _reason (result->outcome));
  else if (result->running != NULL)
    _add_lists (body, result);
  fake_reply_json (call, result->outcome == VP_COMMAND_OK ? 200 : 409, body);
}

/* Some runs fail through a fault of their own, the same ones in each play of a seed. */
static FakeWork
_work (const Soak *soak, const WorldCallerJob *job, const VpCommand *command)
{
  uint32_t mix = soak->seed ^ (uint32_t)command->task.job ^ (command->task.index * 2654435761U)
                 ^ (command->run * 40503U);
  FakeWork work = { .work_ms = job->shape.is_long_running ? INT64_MAX : job->shape.work_ms,
                    .is_failing = mix % 100 < (uint32_t)(job->shape.failing_share * 100),
                    .size = job->spec->steps[0].size };

  return work;
}

/* Whether the step may run there, by the advice service; it does not change. A part of the workers
 * may, and one certainly. */
static bool
_is_allowed (const Soak *soak, uint64_t job, uint32_t step, const char *worker)
{
  uint32_t number = (uint32_t)g_ascii_strtoull (worker + 1, NULL, 10);
  uint32_t mix = ((uint32_t)job ^ step ^ soak->seed) + number * 2654435761U;

  return number == job % soak->worker_count || (mix >> 8) % 10 < ADVICE_GOOD;
}

static bool
_has_ticket (const Worker *worker, const WorldCallerJob *job, const VpCommand *command)
{
  const VpWorkerEntry *entry = &worker->fake->entry;
  g_autofree char *ticket = g_strdup_printf ("%s-%u-%" G_GINT64_FORMAT, entry->id,
                                             command->task.step, entry->booted_ms);

  if (strcmp (job->spec->queue, "advised") != 0)
    return true;
  return strcmp (command->ticket, ticket) == 0
         && _is_allowed (worker->workers->soak, command->task.job, command->task.step, entry->id);
}

static void
_apply (Worker *worker, const VpCommand *command, VpCommandResult *result)
{
  Soak *soak = worker->workers->soak;
  int64_t now_ms = fake_now_ms ();
  const WorldCallerJob *job = NULL;
  FakeWork work = { 0 };

  g_mutex_lock (&soak->lock);
  if (command->kind == VP_COMMAND_START) {
    job = world_jobs_find (&soak->jobs, command->task.job);
    if (job == NULL || g_strcmp0 (command->text, job->spec->text) != 0)
      soak_violated (soak, "worker %s is told to start what no caller sent",
                     worker->fake->entry.id);
    work = _work (soak, job, command);
  }
  world_jobs_advance (&soak->jobs, now_ms, worker->fake);
  if (job != NULL && !_has_ticket (worker, job, command)) {
    result->outcome = VP_COMMAND_BAD_TICKET;
    result->clock_ms = now_ms - worker->fake->clock_zero_ms;
  } else if (fake_worker_apply (worker->fake, command, &work, now_ms, result) && job != NULL) {
    world_jobs_check_start (&soak->jobs, now_ms, worker->fake, command);
    if (job->shape.is_gang)
      world_jobs_begin_gang (&soak->jobs, now_ms, command);
  }
  world_jobs_check_noted (&soak->jobs, now_ms, worker->fake);
  g_mutex_unlock (&soak->lock);
}

static bool
_read_command (FakeCall *call, VpCommand *command)
{
  JsonObject *in = fake_call_json (call);
  bool is_ok = in != NULL;

  memset (command, 0, sizeof *command);
  if (in == NULL)
    return false;
  if (strcmp (call->path, "/api/run-start") == 0)
    command->kind = VP_COMMAND_START;
  else if (strcmp (call->path, "/api/run-stop") == 0)
    command->kind = VP_COMMAND_STOP;
  else if (strcmp (call->path, "/api/hold") == 0)
    command->kind = VP_COMMAND_HOLD;
  else if (strcmp (call->path, "/api/pace") == 0)
    command->kind = VP_COMMAND_THROTTLE;
  else
    is_ok = false;
  if (is_ok && command->kind != VP_COMMAND_HOLD)
    is_ok = vp_task_name_parse (fake_json_string (in, "task", ""), &command->task);
  command->run = (uint32_t)fake_json_int (in, "run", 0);
  command->fence = (uint64_t)fake_json_int (in, "fence", 0);
  command->lease_end_ms = fake_json_int (in, "deadline_ms", 0);
  command->acked_end = (uint64_t)fake_json_int (in, "last_seen", 0);
  command->wait_ms = fake_json_int (in, "wait_ms", 0);
  command->text = g_strdup (fake_json_string (in, "spec", NULL));
  g_strlcpy (command->ticket, fake_json_string (in, "ticket", ""), sizeof command->ticket);
  json_object_unref (in);
  return is_ok;
}

static void
_carry_out_late (void *data)
{
  LateCommand *late = data;
  VpCommandResult result = { .kind = late->command.kind };

  if (late->worker->fake->is_up && late->worker->fake->entry.booted_ms == late->booted_ms)
    _apply (late->worker, &late->command, &result);
  vp_command_result_clear (&result);
  g_free (late->command.text);
  g_free (late);
}

/* Without an answer. An order does not outlive the worker's life. */
static void
_delay (Worker *worker, VpCommand *command)
{
  LateCommand *late = g_new0 (LateCommand, 1);

  late->worker = worker;
  late->booted_ms = worker->fake->entry.booted_ms;
  late->command = *command;
  command->text = NULL;
  fake_timer_add (fake_now_ms () + g_rand_int_range (worker->workers->rand, 0, LATE_MAX_MS),
                  _carry_out_late, late);
}

static void
_answer_hold (Worker *worker)
{
  VpCommandResult result = { .kind = VP_COMMAND_HOLD };
  FakeCall *call = worker->hold;

  worker->hold = NULL;
  if (call == NULL)
    return;
  _apply (worker, &worker->hold_command, &result);
  _reply (call, &result);
  vp_command_result_clear (&result);
}

static void
_drop_hold (Worker *worker)
{
  if (worker->hold != NULL)
    fake_drop (worker->hold);
  worker->hold = NULL;
}

static void
_handle (FakeCall *call, void *data)
{
  Worker *worker = data;
  SoakWorkers *workers = worker->workers;
  const char *instance
      = MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, "Expect-Instance");
  VpCommandResult result = { 0 };
  VpCommand command;

  if (!worker->fake->is_up) {
    fake_drop (call);
    return;
  }
  if (g_strcmp0 (instance, worker->fake->entry.id) != 0) {
    fake_reply_json (call, 421, json_object_new ());
    return;
  }
  if (!_read_command (call, &command)) {
    g_free (command.text);
    fake_reply_json (call, 400, json_object_new ());
    return;
  }
  if (command.kind != VP_COMMAND_HOLD && g_rand_double (workers->rand) < workers->late_share) {
    _delay (worker, &command);
    g_free (command.text);
    return;
  }
  result.kind = command.kind;
  _apply (worker, &command, &result);
  if (command.kind == VP_COMMAND_HOLD && command.wait_ms > 0 && result.outcome == VP_COMMAND_OK
      && result.ended->len == 0) {
    _answer_hold (worker);
    worker->hold = call;
    worker->hold_command = command;
    worker->hold_until_ms = fake_now_ms () + command.wait_ms;
  } else {
    _reply (call, &result);
  }
  vp_command_result_clear (&result);
  g_free (command.text);
}

/* Advice. */

static void
_reply_advice (void *data)
{
  LateAdvice *late = data;

  fake_reply_json (late->call, 200, late->answer);
  g_free (late);
}

static void
_add_ticket (const SoakWorkers *workers,
             JsonArray *healthy,
             uint64_t job,
             uint32_t step,
             const char *id)
{
  for (uint32_t i = 0; i < workers->soak->worker_count; i++) {
    const VpWorkerEntry *entry = &workers->workers[i].fake->entry;
    JsonArray *row;
    g_autofree char *ticket = NULL;
    if (strcmp (entry->id, id) != 0 || !_is_allowed (workers->soak, job, step, id))
      continue;
    ticket = g_strdup_printf ("%s-%u-%" G_GINT64_FORMAT, id, step, entry->booted_ms);
    row = json_array_new ();
    json_array_add_string_element (row, id);
    json_array_add_string_element (row, ticket);
    json_array_add_array_element (healthy, row);
  }
}

static void
_advise (FakeCall *call, void *data)
{
  SoakWorkers *workers = data;
  JsonObject *in = fake_call_json (call);
  JsonArray *ids = in == NULL ? NULL : json_object_get_array_member (in, "workers");
  JsonArray *healthy = json_array_new ();
  g_auto (GStrv) parts = g_strsplit (in == NULL ? "" : fake_json_string (in, "step", ""), ".", 3);
  LateAdvice *late = g_new0 (LateAdvice, 1);
  uint64_t job;

  if (g_strv_length (parts) == 3 && vp_job_id_parse (parts[0], &job)) {
    for (guint i = 0; ids != NULL && i < json_array_get_length (ids); i++)
      _add_ticket (workers, healthy, job, (uint32_t)g_ascii_strtoull (parts[2], NULL, 10),
                   json_array_get_string_element (ids, i));
  }
  late->call = call;
  late->answer = json_object_new ();
  json_object_set_array_member (late->answer, "healthy", healthy);
  json_object_set_int_member (late->answer, "valid_ms", TICKET_MS);
  fake_timer_add (fake_now_ms () + ADVICE_MS, _reply_advice, late);
  g_clear_pointer (&in, json_object_unref);
}

/* Time. */

static void
_advance (Worker *worker, int64_t now_ms)
{
  FakeWorker *fake = worker->fake;
  Soak *soak = worker->workers->soak;

  if (fake->is_up && now_ms >= fake->leaves_ms) {
    fake->leaves_ms = INT64_MAX;
    fake_worker_crash (fake, now_ms + HEARTBEAT_MS);
    _drop_hold (worker);
  }
  if (!fake->is_up && now_ms >= fake->up_ms) {
    fake_worker_restart (fake, now_ms);
    worker->beat_ms = 0;
  }
  g_mutex_lock (&soak->lock);
  if (fake->is_up)
    world_jobs_advance (&soak->jobs, now_ms, fake);
  g_mutex_unlock (&soak->lock);
  if (worker->hold != NULL && (fake->ended->len > 0 || now_ms >= worker->hold_until_ms))
    _answer_hold (worker);
}

static void
_tick (void *data)
{
  SoakWorkers *workers = data;
  int64_t now_ms = fake_now_ms ();

  for (uint32_t i = 0; i < workers->soak->worker_count; i++) {
    _advance (&workers->workers[i], now_ms);
    _beat (&workers->workers[i], now_ms);
  }
  workers->tick = fake_timer_add (now_ms + TICK_MS, _tick, workers);
}

SoakWorkers *
soak_workers_new (Soak *soak)
{
  SoakWorkers *workers = g_new0 (SoakWorkers, 1);

  workers->soak = soak;
  workers->rand = g_rand_new_with_seed (soak->seed + 1);
  g_snprintf (workers->advice, sizeof workers->advice, "%s%s", soak->net, ADVICE_ADDRESS);
  fake_listen (workers->advice, 0, _advise, workers);
  for (uint32_t i = 0; i < soak->worker_count; i++) {
    Worker *worker = &workers->workers[i];
    char address[VP_ADDRESS_MAX], link[VP_ADDRESS_MAX];
    worker->workers = workers;
    worker->number = i;
    worker->fake = fake_worker_new (i, fake_now_ms ());
    g_snprintf (address, sizeof address, "%s.251:%u", soak->net, WORKER_PORT + i);
    g_snprintf (link, sizeof link, "%s.252:%u", soak->net, LINK_PORT + i);
    fake_listen (address, 0, _handle, worker);
    worker->link = fake_map_new (link, address);
    g_ptr_array_add (soak->jobs.workers, worker->fake);
  }
  _tick (workers);
  return workers;
}

const char *
soak_workers_advice (const SoakWorkers *workers)
{
  return workers->advice;
}

void
soak_workers_crash (SoakWorkers *workers, uint32_t number, int64_t for_ms)
{
  Worker *worker = &workers->workers[number];

  if (!worker->fake->is_up)
    return;
  fake_worker_crash (worker->fake, fake_now_ms () + for_ms);
  _drop_hold (worker);
  fake_map_set_mode (worker->link, "reset", 0);
}

void
soak_workers_drain (SoakWorkers *workers, uint32_t number, int64_t for_ms)
{
  Worker *worker = &workers->workers[number];

  if (!worker->fake->is_up || worker->fake->leaves_ms != INT64_MAX)
    return;
  worker->fake->leaves_ms = fake_now_ms () + for_ms;
  worker->beat_ms = 0;
}

void
soak_workers_link (SoakWorkers *workers, uint32_t number, const char *mode)
{
  fake_map_set_mode (workers->workers[number].link, mode, 0);
}

void
soak_workers_late (SoakWorkers *workers, double share)
{
  workers->late_share = share;
}

static uint32_t
_running_count (const SoakWorkers *workers, uint64_t job)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < workers->soak->worker_count; i++) {
    const FakeWorker *fake = workers->workers[i].fake;
    for (guint r = 0; fake->is_up && r < fake->runs->len; r++)
      count += g_array_index (fake->runs, FakeRun, r).task.job == job ? 1 : 0;
  }
  return count;
}

void
soak_workers_check_lasting (SoakWorkers *workers)
{
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&workers->soak->lock);
  g_hash_table_iter_init (&iter, workers->soak->jobs.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const WorldCallerJob *job = value;
    uint32_t count = _running_count (workers, job->id);
    if (job->shape.is_long_running && job->is_accepted && !job->is_cancel_wanted
        && count != job->shape.width)
      soak_violated (workers->soak,
                     "job %016" G_GINT64_MODIFIER "x lasts, and %u of its %u tasks run", job->id,
                     count, job->shape.width);
    if (job->is_cancelled && count > 0)
      soak_violated (workers->soak,
                     "job %016" G_GINT64_MODIFIER "x was cancelled, and %u of its tasks run",
                     job->id, count);
  }
  g_mutex_unlock (&workers->soak->lock);
}
