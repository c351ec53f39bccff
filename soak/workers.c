#include "workers.h"

#include <stdarg.h>
#include <string.h>

#define TICK_MS               20
#define HEARTBEAT_MS          1500
#define ENTRY_TTL_MS          (3 * HEARTBEAT_MS) /* lifetime of an entry without heartbeats */
#define COMMAND_DELAY_MAX_MS  4000
#define TICKET_VALID_MS       2000
#define ADVICE_DELAY_MS       20
#define ALLOWED_TENTHS        6 /* About this many of ten workers are allowed for a step. */
#define WORKER_PORT           7400
#define LINK_PORT             7500
#define ADVICE_ADDRESS_SUFFIX ".250:7400"

typedef struct {
  SoakWorkers *workers;
  uint32_t number;
  SimCellWorker *sim_worker;
  FakeMapping *link;
  int64_t held_up_until_ms;  /* commands may have lain on the link until this time */
  int64_t next_heartbeat_ms; /* time of the next heartbeat */
  int64_t last_heartbeat_ms; /* time of the last heartbeat */
  bool is_listed;
  FakeRequest *pending_hold; /* hold call that waits for a run to end; NULL if none */
  VpCommand hold_command;
  int64_t hold_deadline_ms;
} Worker;

typedef struct {
  Worker *worker;
  int64_t booted_ms; /* start of the worker when it received the command */
  VpCommand command;
} DelayedCommand;

typedef struct {
  FakeRequest *call;
  JsonObject *answer;
} DelayedReply;

struct _SoakWorkers {
  Soak *soak;
  GRand *rand;
  Worker workers[SOAK_WORKERS_MAX];
  double delayed_share;
  char advice_address[32];
  uint32_t evacuated_start_count;
  FakeTimer *tick;
};

/* Heartbeats. */

static void
_update_entry (Worker *worker, int64_t now_ms)
{
  const VpWorkerEntry *entry = &worker->sim_worker->entry;
  g_autofree char *key = g_strconcat ("servers/", entry->id, NULL);
  g_autofree char *text = NULL;
  const char *long_text = worker->workers->soak->long_text;
  bool is_draining = worker->sim_worker->leaves_ms != INT64_MAX;

  if (!worker->sim_worker->is_up) {
    if (worker->is_listed && now_ms - worker->last_heartbeat_ms > ENTRY_TTL_MS) {
      worker->is_listed = false;
      soak_store_put (worker->workers->soak->store, key, NULL);
    }
    return;
  }
  if (now_ms < worker->next_heartbeat_ms)
    return;
  worker->next_heartbeat_ms = now_ms + HEARTBEAT_MS;
  worker->last_heartbeat_ms = now_ms;
  worker->is_listed = true;
  text = g_strdup_printf (
      "{\"service\":\"service%s\",\"address\":\"%s\",\"zone\":\"%s\",\"state\":\"%s\",%s"
      "\"capacity\":{\"cpu\":%d,\"mem_mb\":%d},\"labels\":[\"a%s\",\"%s%s\"],\"seq\":%d,"
      "\"born\":%" G_GINT64_FORMAT "}",
      long_text, fake_mapping_address (worker->link), entry->dc, is_draining ? "draining" : "ready",
      is_draining ? "\"remaining_ms\":500," : "", (int)entry->capacity.cpu_milli,
      (int)entry->capacity.mem_mib, long_text, entry->rack, long_text,
      (int)(now_ms / HEARTBEAT_MS % 100000), entry->booted_ms);
  soak_store_put (worker->workers->soak->store, key, text);
}

/* Commands. */

static const char *
_rejection_reason (VpCommandOutcome outcome)
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
_run_row (const VpTaskName *task, uint32_t run)
{
  JsonArray *row = json_array_new ();
  char name[VP_TASK_NAME_MAX];

  vp_task_name_format (task, name);
  json_array_add_string_element (row, name);
  json_array_add_int_element (row, run);
  return row;
}

/* Returns the checkpoint of all tasks of the step. A start with another one isn't the task's. */
static char *
_checkpoint (const Soak *soak, const VpTaskName *task)
{
  return soak->long_text[0] == '\0'
             ? g_strdup ("")
             : g_strdup_printf ("%016" G_GINT64_MODIFIER "x.%u.%u.%s", task->job, task->occurrence,
                                task->step, soak->long_text);
}

static void
_add_run_lists (const Soak *soak, JsonObject *body, const VpCommandResult *result)
{
  JsonArray *running = json_array_new ();
  JsonArray *ended = json_array_new ();

  for (guint i = 0; i < result->running->len; i++) {
    const VpRunningEntry *entry = &g_array_index (result->running, VpRunningEntry, i);
    JsonArray *row = _run_row (&entry->task, entry->run);
    g_autofree char *checkpoint = _checkpoint (soak, &entry->task);
    json_array_add_string_element (row, checkpoint);
    json_array_add_int_element (row, 100);
    json_array_add_array_element (running, row);
  }
  for (guint i = 0; i < result->ended->len; i++) {
    const VpEndedEntry *entry = &g_array_index (result->ended, VpEndedEntry, i);
    JsonArray *row = json_array_new ();
    g_autofree char *checkpoint = _checkpoint (soak, &entry->task);
    char name[VP_TASK_NAME_MAX];
    vp_task_name_format (&entry->task, name);
    json_array_add_int_element (row, (gint64)entry->number);
    json_array_add_string_element (row, name);
    json_array_add_int_element (row, entry->run);
    json_array_add_string_element (row, vp_run_end_token (entry->end));
    json_array_add_string_element (row, entry->end == VP_RUN_DONE ? "" : checkpoint);
    json_array_add_array_element (ended, row);
  }
  json_object_set_int_member (body, "born", result->booted_ms);
  json_object_set_array_member (body, "running", running);
  json_object_set_array_member (body, "finished", ended);
}

static void
_reply (const Soak *soak, FakeRequest *call, VpCommandResult *result)
{
  JsonObject *body = json_object_new ();

  json_object_set_int_member (body, "clock_ms", result->clock_ms);
  if (result->outcome != VP_COMMAND_OK)
    json_object_set_string_member (body, "reason", _rejection_reason (result->outcome));
  else if (result->running != NULL)
    _add_run_lists (soak, body, result);
  fake_reply_json (call, result->outcome == VP_COMMAND_OK ? 200 : 409, body);
}

/* Returns the simulated work of a run. A share of the runs fails; which ones depends only on the
 * seed and the name of the run. */
static SimCellRunDesc
_fake_work (const Soak *soak, const SimJob *job, const VpCommand *command)
{
  uint32_t hash = soak->seed ^ (uint32_t)command->task.job ^ (command->task.index * 2654435761U)
                  ^ (command->run * 40503U);
  SimCellRunDesc work = { .work_ms = job->desc.is_long_running ? INT64_MAX : job->desc.work_ms,
                          .is_failing = hash % 100 < (uint32_t)(job->desc.failing_share * 100),
                          .size = job->spec->steps[0].size };

  return work;
}

/* Returns whether the advice service allows the worker for the step. The result never changes.
 * About ALLOWED_TENTHS of the workers are allowed, and at least one. */
static bool
_is_worker_allowed (const Soak *soak, uint64_t job, uint32_t step, const char *worker)
{
  uint32_t number = (uint32_t)g_ascii_strtoull (worker + 1, NULL, 10);
  uint32_t hash = ((uint32_t)job ^ step ^ soak->seed) + number * 2654435761U;

  return number == job % soak->worker_count || (hash >> 8) % 10 < ALLOWED_TENTHS;
}

static bool
_has_ticket (const Worker *worker, const SimJob *job, const VpCommand *command)
{
  const VpWorkerEntry *entry = &worker->sim_worker->entry;
  g_autofree char *ticket
      = g_strdup_printf ("%s-%u-%" G_GINT64_FORMAT "%s", entry->id, command->task.step,
                         entry->booted_ms, worker->workers->soak->long_text);

  if (strcmp (job->spec->queue, "advised") != 0)
    return true;
  return vp_text_equal (command->ticket, ticket)
         && _is_worker_allowed (worker->workers->soak, command->task.job, command->task.step,
                                entry->id);
}

/* Returns whether the start must not come later than cancel_ms after the cancellation of its job.
 * Starts that the worker carries out late don't count, nor, as their sender isn't in touch, all
 * starts while a process is paused and until contact_ms after; nor those that may have lain on the
 * worker's own link while it stalled. All others count, also from processes that were just started
 * or terminated, or that have a disrupted store or links to the other nodes. */
static bool
_has_cancel_bound (const Worker *worker, bool is_late, int64_t now_ms)
{
  return !is_late && now_ms > worker->workers->soak->paused_until_ms
         && now_ms > worker->held_up_until_ms;
}

/* Checks a start in a DC under evacuation. A node that doesn't reach the store may start tasks
 * there, as may one that is paused, and starts may lie on the worker's own link while that stalls.
 * So the bound begins with the end of the last fault of these kinds. */
static void
_check_evacuation (Worker *worker, const VpCommand *command, int64_t now_ms)
{
  Soak *soak = worker->workers->soak;
  const char *dc = worker->sim_worker->entry.dc;
  int64_t in_touch_since_ms
      = MAX (MAX (soak->store_outage_ms, soak->paused_until_ms), worker->held_up_until_ms);
  char name[VP_TASK_NAME_MAX];

  if (!g_hash_table_contains (soak->evacuations.since_ms, dc))
    return;
  vp_task_name_format (&command->task, name);
  if (simcell_evacuations_forbid_start (&soak->evacuations, dc, in_touch_since_ms, now_ms))
    soak_fail (soak, "%s was started in %s, which is under evacuation", name, dc);
  worker->workers->evacuated_start_count++;
}

static void
_apply_command (Worker *worker, const VpCommand *command, bool is_late, VpCommandResult *result)
{
  Soak *soak = worker->workers->soak;
  int64_t now_ms = fake_now_ms ();
  const SimJob *job = NULL;
  g_autofree char *checkpoint = NULL;
  SimCellRunDesc work = { 0 };

  g_mutex_lock (&soak->lock);
  if (command->kind == VP_COMMAND_START) {
    job = simcell_jobs_find (&soak->jobs, command->task.job);
    if (job == NULL || g_strcmp0 (command->text, job->spec->text) != 0)
      soak_fail (soak, "worker %s received a start of a job that no caller submitted",
                 worker->sim_worker->entry.id);
    work = _fake_work (soak, job, command);
    checkpoint = _checkpoint (soak, &command->task);
    if (!vp_text_is_empty (command->checkpoint) && strcmp (command->checkpoint, checkpoint) != 0)
      soak_fail (soak, "worker %s received a start with the checkpoint %s, which isn't the task's",
                 worker->sim_worker->entry.id, command->checkpoint);
  }
  simcell_jobs_advance_worker (&soak->jobs, now_ms, worker->sim_worker);
  if (job != NULL && !_has_ticket (worker, job, command)) {
    result->outcome = VP_COMMAND_BAD_TICKET;
    result->clock_ms = now_ms - worker->sim_worker->clock_zero_ms;
  } else if (simcell_worker_apply_command (worker->sim_worker, command, &work, now_ms, result)
             && job != NULL) {
    simcell_jobs_check_start (&soak->jobs, now_ms, worker->sim_worker, command);
    if (!is_late)
      _check_evacuation (worker, command, now_ms);
    if (_has_cancel_bound (worker, is_late, now_ms) && soak->measured_count == 0)
      simcell_jobs_check_cancelled (&soak->jobs, now_ms, command);
    if (job->desc.is_gang)
      simcell_jobs_start_gang_work (&soak->jobs, now_ms, command);
  }
  simcell_jobs_check_acked_ends (&soak->jobs, now_ms, worker->sim_worker);
  g_mutex_unlock (&soak->lock);
}

static bool
_parse_command (FakeRequest *call, VpCommand *command)
{
  JsonObject *in = fake_request_json (call);
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
  vp_text_set (&command->checkpoint, fake_json_string (in, "checkpoint", ""));
  vp_text_set (&command->ticket, fake_json_string (in, "ticket", ""));
  json_object_unref (in);
  return is_ok;
}

static void
_apply_delayed (void *data)
{
  DelayedCommand *delayed = data;
  VpCommandResult result = { .kind = delayed->command.kind };

  if (delayed->worker->sim_worker->is_up
      && delayed->worker->sim_worker->entry.booted_ms == delayed->booted_ms)
    _apply_command (delayed->worker, &delayed->command, true, &result);
  vp_command_result_clear (&result);
  vp_command_clear (&delayed->command);
  g_free (delayed);
}

/* Executes the command after a delay and sends no reply. The command is dropped if the worker has
 * restarted meanwhile. */
static void
_delay_command (Worker *worker, VpCommand *command)
{
  DelayedCommand *delayed = g_new0 (DelayedCommand, 1);

  delayed->worker = worker;
  delayed->booted_ms = worker->sim_worker->entry.booted_ms;
  delayed->command = *command;
  memset (command, 0, sizeof *command);
  fake_timer_add (fake_now_ms ()
                      + g_rand_int_range (worker->workers->rand, 0, COMMAND_DELAY_MAX_MS),
                  _apply_delayed, delayed);
}

static void
_reply_to_hold (Worker *worker)
{
  VpCommandResult result = { .kind = VP_COMMAND_HOLD };
  FakeRequest *call = worker->pending_hold;

  worker->pending_hold = NULL;
  if (call == NULL)
    return;
  _apply_command (worker, &worker->hold_command, false, &result);
  _reply (worker->workers->soak, call, &result);
  vp_command_result_clear (&result);
}

static void
_drop_pending_hold (Worker *worker)
{
  if (worker->pending_hold != NULL)
    fake_abort (worker->pending_hold);
  worker->pending_hold = NULL;
}

static void
_handle_command (FakeRequest *call, void *data)
{
  Worker *worker = data;
  SoakWorkers *workers = worker->workers;
  const char *instance
      = MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, "Expect-Instance");
  VpCommandResult result = { 0 };
  VpCommand command;

  if (!worker->sim_worker->is_up) {
    fake_abort (call);
    return;
  }
  if (g_strcmp0 (instance, worker->sim_worker->entry.id) != 0) {
    fake_reply_json (call, 421, json_object_new ());
    return;
  }
  if (!_parse_command (call, &command)) {
    vp_command_clear (&command);
    fake_reply_json (call, 400, json_object_new ());
    return;
  }
  if (command.kind != VP_COMMAND_HOLD && g_rand_double (workers->rand) < workers->delayed_share) {
    _delay_command (worker, &command);
    return;
  }
  result.kind = command.kind;
  _apply_command (worker, &command, false, &result);
  if (command.kind == VP_COMMAND_HOLD && command.wait_ms > 0 && result.outcome == VP_COMMAND_OK
      && result.ended->len == 0) {
    _reply_to_hold (worker);
    worker->pending_hold = call;
    worker->hold_command = command;
    worker->hold_deadline_ms = fake_now_ms () + command.wait_ms;
  } else {
    _reply (worker->workers->soak, call, &result);
  }
  vp_command_result_clear (&result);
  vp_command_clear (&command);
}

/* Advice service. */

static void
_send_delayed_reply (void *data)
{
  DelayedReply *delayed = data;

  fake_reply_json (delayed->call, 200, delayed->answer);
  g_free (delayed);
}

static void
_add_ticket_if_allowed (const SoakWorkers *workers,
                        JsonArray *healthy,
                        uint64_t job,
                        uint32_t step,
                        const char *id)
{
  for (uint32_t i = 0; i < workers->soak->worker_count; i++) {
    const VpWorkerEntry *entry = &workers->workers[i].sim_worker->entry;
    JsonArray *row;
    g_autofree char *ticket = NULL;
    if (strcmp (entry->id, id) != 0 || !_is_worker_allowed (workers->soak, job, step, id))
      continue;
    ticket = g_strdup_printf ("%s-%u-%" G_GINT64_FORMAT "%s", id, step, entry->booted_ms,
                              workers->soak->long_text);
    row = json_array_new ();
    json_array_add_string_element (row, id);
    json_array_add_string_element (row, ticket);
    json_array_add_array_element (healthy, row);
  }
}

static void
_handle_advice_request (FakeRequest *call, void *data)
{
  SoakWorkers *workers = data;
  JsonObject *in = fake_request_json (call);
  JsonArray *ids = in == NULL ? NULL : json_object_get_array_member (in, "workers");
  JsonArray *healthy = json_array_new ();
  g_auto (GStrv) parts = g_strsplit (in == NULL ? "" : fake_json_string (in, "step", ""), ".", 3);
  DelayedReply *delayed = g_new0 (DelayedReply, 1);
  uint64_t job;

  if (g_strv_length (parts) == 3 && vp_job_id_parse (parts[0], &job)) {
    for (guint i = 0; ids != NULL && i < json_array_get_length (ids); i++)
      _add_ticket_if_allowed (workers, healthy, job,
                              (uint32_t)g_ascii_strtoull (parts[2], NULL, 10),
                              json_array_get_string_element (ids, i));
  }
  delayed->call = call;
  delayed->answer = json_object_new ();
  json_object_set_array_member (delayed->answer, "healthy", healthy);
  json_object_set_int_member (delayed->answer, "valid_ms", TICKET_VALID_MS);
  fake_timer_add (fake_now_ms () + ADVICE_DELAY_MS, _send_delayed_reply, delayed);
  g_clear_pointer (&in, json_object_unref);
}

/* Simulation of the workers. */

static void
_advance_worker (Worker *worker, int64_t now_ms)
{
  SimCellWorker *sim_worker = worker->sim_worker;
  Soak *soak = worker->workers->soak;

  if (sim_worker->is_up && now_ms >= sim_worker->leaves_ms) {
    sim_worker->leaves_ms = INT64_MAX;
    simcell_worker_crash (sim_worker, now_ms + HEARTBEAT_MS);
    _drop_pending_hold (worker);
  }
  if (!sim_worker->is_up && now_ms >= sim_worker->restart_ms) {
    simcell_worker_restart (sim_worker, now_ms);
    worker->next_heartbeat_ms = 0;
  }
  g_mutex_lock (&soak->lock);
  if (sim_worker->is_up)
    simcell_jobs_advance_worker (&soak->jobs, now_ms, sim_worker);
  g_mutex_unlock (&soak->lock);
  if (worker->pending_hold != NULL
      && (sim_worker->ended->len > 0 || now_ms >= worker->hold_deadline_ms))
    _reply_to_hold (worker);
}

static void
_tick (void *data)
{
  SoakWorkers *workers = data;
  int64_t now_ms = fake_now_ms ();

  for (uint32_t i = 0; i < workers->soak->worker_count; i++) {
    _advance_worker (&workers->workers[i], now_ms);
    _update_entry (&workers->workers[i], now_ms);
  }
  workers->tick = fake_timer_add (now_ms + TICK_MS, _tick, workers);
}

SoakWorkers *
soak_workers_new (Soak *soak)
{
  SoakWorkers *workers = g_new0 (SoakWorkers, 1);

  workers->soak = soak;
  workers->rand = g_rand_new_with_seed (soak->seed + 1);
  g_snprintf (workers->advice_address, sizeof workers->advice_address, "%s%s", soak->address_prefix,
              ADVICE_ADDRESS_SUFFIX);
  fake_listen (workers->advice_address, 0, _handle_advice_request, workers);
  for (uint32_t i = 0; i < soak->worker_count; i++) {
    Worker *worker = &workers->workers[i];
    char address[VP_ADDRESS_MAX], link[VP_ADDRESS_MAX];
    worker->workers = workers;
    worker->number = i;
    worker->sim_worker = simcell_worker_new (i, fake_now_ms ());
    g_free (worker->sim_worker->entry.dc);
    worker->sim_worker->entry.dc = g_strdup_printf ("dc-%u", i % SOAK_DCS);
    g_snprintf (address, sizeof address, "%s.251:%u", soak->address_prefix, WORKER_PORT + i);
    g_snprintf (link, sizeof link, "%s.252:%u", soak->address_prefix, LINK_PORT + i);
    fake_listen (address, 0, _handle_command, worker);
    worker->link = fake_mapping_new (link, address);
    g_ptr_array_add (soak->jobs.workers, worker->sim_worker);
  }
  _tick (workers);
  return workers;
}

uint32_t
soak_workers_evacuated_start_count (const SoakWorkers *workers)
{
  return workers->evacuated_start_count;
}

const char *
soak_workers_advice_address (const SoakWorkers *workers)
{
  return workers->advice_address;
}

void
soak_workers_crash (SoakWorkers *workers, uint32_t number, int64_t for_ms)
{
  Worker *worker = &workers->workers[number];

  if (!worker->sim_worker->is_up)
    return;
  simcell_worker_crash (worker->sim_worker, fake_now_ms () + for_ms);
  _drop_pending_hold (worker);
  fake_mapping_set_mode (worker->link, "reset", 0);
}

void
soak_workers_drain (SoakWorkers *workers, uint32_t number, int64_t for_ms)
{
  Worker *worker = &workers->workers[number];

  if (!worker->sim_worker->is_up || worker->sim_worker->leaves_ms != INT64_MAX)
    return;
  worker->sim_worker->leaves_ms = fake_now_ms () + for_ms;
  worker->next_heartbeat_ms = 0;
}

void
soak_workers_set_link_mode (SoakWorkers *workers, uint32_t number, const char *mode)
{
  Worker *worker = &workers->workers[number];

  if (strcmp (mode, "stall") == 0)
    worker->held_up_until_ms = INT64_MAX;
  else if (worker->held_up_until_ms == INT64_MAX)
    worker->held_up_until_ms = fake_now_ms () + SOAK_CONTACT_MS;
  fake_mapping_set_mode (worker->link, mode, 0);
}

void
soak_workers_set_delayed_share (SoakWorkers *workers, double share)
{
  workers->delayed_share = share;
}

static uint32_t
_running_task_count (const SoakWorkers *workers, uint64_t job)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < workers->soak->worker_count; i++) {
    const SimCellWorker *sim_worker = workers->workers[i].sim_worker;
    for (guint r = 0; sim_worker->is_up && r < sim_worker->runs->len; r++)
      count += g_array_index (sim_worker->runs, SimCellRun, r).task.job == job ? 1 : 0;
  }
  return count;
}

void
soak_workers_check_long_running (SoakWorkers *workers)
{
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&workers->soak->lock);
  g_hash_table_iter_init (&iter, workers->soak->jobs.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const SimJob *job = value;
    uint32_t count = _running_task_count (workers, job->id);
    if (job->desc.is_long_running && job->is_accepted && !job->is_cancel_requested
        && count != job->desc.width)
      soak_fail (workers->soak,
                 "job %016" G_GINT64_MODIFIER
                 "x is long-running, but %u of its %u tasks are running",
                 job->id, count, job->desc.width);
    if (job->is_cancelled && count > 0
        && fake_now_ms () > job->cancelled_ms + SOAK_CANCELLED_GONE_MS)
      soak_fail (workers->soak,
                 "job %016" G_GINT64_MODIFIER "x is cancelled, but %u of its tasks are running",
                 job->id, count);
  }
  g_mutex_unlock (&workers->soak->lock);
}
