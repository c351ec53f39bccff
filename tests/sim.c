#include "sim.h"

#include "vp-config.h"
#include "vp-msg.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIM_BEGIN_MS       1000000
#define CONFIG_HANDLE_BASE 1000000 /* handles above it are of configurations and cancels */
#define TEAMS              3
#define LOWERED_TEAM       1 /* index of the team whose limit SIM_FAULT_LOWER_LIMIT lowers */

/* Times within which a change must have taken effect. */
#define KEY_WITHDRAWAL_MAX_MS 5000 /* members reject a withdrawn key */
#define LEAVING_START_MAX_MS  5000 /* a leaving worker gets no more starts */
#define CONFIG_EFFECT_MAX_MS  5000 /* members have applied an accepted configuration */

/* A function that is called at a simulated time. */

typedef struct {
  int64_t due_ms;
  uint64_t sequence; /* breaks ties of due_ms */
  void (*run) (SimDeployment *sim, void *data);
  void *data;
} SimAction;

typedef struct {
  char key[VP_STORE_KEY_MAX];
  uint64_t version;
  uint64_t lease;
  GBytes *value;
  uint64_t old_version; /* version before the last write */
  GBytes *old_value;
} SimValue;

typedef struct {
  VpWorkerTask task;
  char payload[24];
  bool is_failing;
} SimTask;

typedef struct {
  VpVm vm;
  uint64_t boot;
  uint64_t sequence;
  GArray *running; /* SimTask */
  GArray *ended;   /* VpWorkerEnded */
  GArray *polls;   /* SimPoll */
  bool is_unreachable, is_failing, is_delayed;
  int64_t leaving_ms; /* when it began to leave; 0: it stays */
} SimWorker;

typedef struct {
  uint32_t member;
  uint64_t boot;       /* the member's boot number when it polled */
  uint32_t generation; /* the member's attachment to the worker, counted up by each change */
  uint64_t seen_sequence;
} SimPoll;

typedef struct {
  VpCore *core;
  VpSettings settings;
  uint64_t boot;
  bool is_alive, is_paused, is_store_cut, is_stopping;
  bool is_incoming_cut, is_outgoing_cut;
  GQueue inbox;    /* VpEvent*, events that arrive while the member is paused */
  int64_t tick_ms; /* time of the next scheduled tick */
  uint64_t revision;
  uint64_t acked[SIM_WORKERS_MAX];
  uint64_t seen_sequence[SIM_WORKERS_MAX];
  uint32_t generation[SIM_WORKERS_MAX];
  bool is_attached[SIM_WORKERS_MAX];
} SimMember;

/* Classes of callers: bookings may run at most once, the others are repeatable. */
typedef enum { CLASS_BOOKING, CLASS_CHECK, CLASS_JOB, CLASS_GANG, CLASS_COUNT } SimClass;

/* One submission of a task to a member. */
typedef struct {
  uint32_t member;
  uint64_t boot;
  uint32_t work; /* index in works */
  int64_t sent_ms;
  bool is_settled, is_told_not_run, is_done;
  char key[32];
} SimCall;

/* A task that a caller wants to have run; it may be submitted by several calls. */
typedef struct {
  SimClass class;
  uint32_t team;
  uint32_t occurrence_count;
  uint32_t open_call_count, not_run_call_count, settled_call_count, done_call_count;
  VpTaskId task;
  char identity[24];
} SimWork;

/* How a submitted configuration differs from the first one; bits. */
typedef enum {
  CONFIG_WITHDRAWS_KEY = 1, /* lacks the second key of team 0 */
  CONFIG_LOWERS_LIMIT = 2,  /* has the lower limit of LOWERED_TEAM */
} SimConfigChange;

struct _SimDeployment {
  GRand *rand;
  SimDesc desc;
  int64_t now_ms;
  uint64_t last_sequence;
  GSequence *queue; /* SimAction, by time */
  SimMember members[SIM_MEMBERS_MAX];
  uint32_t member_count;
  SimWorker workers[SIM_WORKERS_MAX];
  uint32_t worker_count;
  GHashTable *store;  /* key -> SimValue* */
  GHashTable *leases; /* id -> end in ms */
  GPtrArray *watches; /* SimStoreCall, waiting */
  guint watch_count;  /* number of the last watch */
  uint64_t next_version, store_write_count, start_count;
  bool is_store_down, is_store_slow, is_store_losing_answers, is_store_stale, is_sending_requests;
  GArray *calls;             /* SimCall; the handle of a call is its index + 1 */
  GArray *works;             /* SimWork */
  VpResources limits[TEAMS]; /* in the operator's latest configuration */
  int64_t lowered_ms;   /* when the lower limit was accepted or a later fault ended; 0: never */
  int64_t withdrawn_ms; /* when the withdrawal of the second key was confirmed; 0: never */
  bool has_second_key;  /* of team 0, in the operator's latest configuration */
  uint64_t accepted_revision;
  int64_t accepted_ms;
  GHashTable *seen_attempts;      /* VpAttempt*; running members of tasks, rebuilt by each check */
  GHashTable *config_submissions; /* handle -> bits of SimConfigChange */
  uint64_t next_config_submission;
  char violation[256];
};

static const char *const dc_names[] = { "east", "west", "north", "south" };
static const VpResources initial_limit = { .cpu_milli = 10000, .mem_mib = 16384 };
static const char *const team_names[TEAMS] = { "red", "blue", "green" };

static void G_GNUC_PRINTF (2, 3) _sim_report_violation (SimDeployment *sim, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  if (sim->violation[0] != '\0')
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  snprintf (sim->violation, sizeof sim->violation, "at %" G_GINT64_FORMAT " ms: %s",
            sim->now_ms - SIM_BEGIN_MS, text);
}

uint32_t
sim_random (SimDeployment *sim, uint32_t bound)
{
  return (uint32_t)g_rand_int_range (sim->rand, 0, (gint32)bound);
}

static gint
_sim_compare_actions (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const SimAction *x = a;
  const SimAction *y = b;

  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void
_sim_schedule (SimDeployment *sim,
               int64_t delay_ms,
               void (*run) (SimDeployment *, void *),
               void *data)
{
  SimAction *action = g_new0 (SimAction, 1);

  action->due_ms = sim->now_ms + delay_ms;
  action->sequence = ++sim->last_sequence;
  action->run = run;
  action->data = data;
  g_sequence_insert_sorted (sim->queue, action, _sim_compare_actions, NULL);
}

/* ---- members: delivery of events ---- */

static void _sim_apply_effects (SimDeployment *sim, uint32_t index, VpEffects *effects);
static void _sim_check_running (SimDeployment *sim);

typedef struct {
  uint32_t member;
  uint64_t boot;
  VpEvent event;
} SimDelivery;

static void _sim_tick (SimDeployment *sim, void *data);

static void
_sim_schedule_tick (SimDeployment *sim, uint32_t index)
{
  SimMember *member = &sim->members[index];
  int64_t next = MAX (sim->now_ms + 5, vp_core_next_ms (member->core));
  SimDelivery *tick;

  next = MIN (next, sim->now_ms + 500);
  if (member->tick_ms > sim->now_ms && member->tick_ms <= next)
    return;
  member->tick_ms = next;
  tick = g_new0 (SimDelivery, 1);
  tick->member = index;
  tick->boot = member->boot;
  _sim_schedule (sim, next - sim->now_ms, _sim_tick, tick);
}

static void
_sim_apply_event (SimDeployment *sim, uint32_t index, VpEvent *event)
{
  SimMember *member = &sim->members[index];
  VpEffects effects = { 0 };

  if (!member->is_alive) {
    vp_event_clear (event);
    return;
  }
  if (member->is_paused) {
    g_queue_push_tail (&member->inbox, g_memdup2 (event, sizeof *event));
    return;
  }
  vp_core_apply (member->core, event, sim->now_ms, &effects);
  _sim_apply_effects (sim, index, &effects);
  vp_effects_free (&effects);
  if (member->is_alive)
    _sim_schedule_tick (sim, index);
}

static void
_sim_tick (SimDeployment *sim, void *data)
{
  SimDelivery *tick = data;
  VpEvent event = { .kind = VP_EVENT_TICK };

  /* A tick that was replaced by an earlier one is dropped. */
  if (sim->members[tick->member].boot == tick->boot
      && sim->members[tick->member].tick_ms == sim->now_ms) {
    sim->members[tick->member].tick_ms = 0;
    _sim_apply_event (sim, tick->member, &event);
  }
  g_free (tick);
}

static void
_sim_deliver (SimDeployment *sim, void *data)
{
  SimDelivery *delivery = data;

  if (sim->members[delivery->member].boot == delivery->boot)
    _sim_apply_event (sim, delivery->member, &delivery->event);
  else
    vp_event_clear (&delivery->event);
  g_free (delivery);
}

/* Takes over what @event owns. */
static void
_sim_post_event (SimDeployment *sim, uint32_t member, const VpEvent *event, int64_t delay_ms)
{
  SimDelivery *delivery = g_new0 (SimDelivery, 1);

  delivery->member = member;
  delivery->boot = sim->members[member].boot;
  delivery->event = *event;
  _sim_schedule (sim, delay_ms, _sim_deliver, delivery);
}

/* ---- the store ---- */

typedef struct {
  uint32_t member;
  uint64_t boot;
  int64_t sent_ms;
  guint number; /* of a watch, for its timeout */
  VpStoreOp op;
} SimStoreCall;

static void
_sim_store_reply (SimDeployment *sim,
                  const SimStoreCall *call,
                  VpStoreStatus status,
                  const SimValue *value,
                  uint64_t lease,
                  int64_t delay_ms)
{
  VpEvent event = { .kind = VP_EVENT_STORE_RESULT };

  event.store.kind = call->op.kind;
  event.store.module = call->op.module;
  event.store.token = call->op.token;
  event.store.status = status;
  event.store.sent_ms = call->sent_ms;
  event.store.lease = lease;
  g_strlcpy (event.store.key, call->op.key, sizeof event.store.key);
  if (value != NULL) {
    event.store.version = value->version;
    if (value->value != NULL)
      event.store.value = g_bytes_ref (value->value);
  }
  if (sim->members[call->member].boot != call->boot) {
    vp_event_clear (&event);
    return;
  }
  _sim_post_event (sim, call->member, &event, delay_ms);
}

static void
_sim_store_call_free (SimStoreCall *call)
{
  g_clear_pointer (&call->op.value, g_bytes_unref);
  g_free (call);
}

static void
_sim_store_answer_watches (SimDeployment *sim, const char *key)
{
  const SimValue *value = g_hash_table_lookup (sim->store, key);

  for (guint i = 0; i < sim->watches->len;) {
    SimStoreCall *call = g_ptr_array_index (sim->watches, i);
    if (strcmp (call->op.key, key) != 0) {
      i++;
      continue;
    }
    _sim_store_reply (sim, call, value != NULL ? VP_STORE_OK : VP_STORE_NOT_FOUND, value, 0, 1);
    g_ptr_array_remove_index_fast (sim->watches, i);
    _sim_store_call_free (call);
  }
}

static void
_sim_store_remove (SimDeployment *sim, const char *key)
{
  g_autofree char *copy = g_strdup (key);

  if (g_hash_table_remove (sim->store, copy))
    _sim_store_answer_watches (sim, copy);
}

static void
_sim_end_lease (SimDeployment *sim, uint64_t lease)
{
  g_autoptr (GList) keys = g_hash_table_get_keys (sim->store);

  g_hash_table_remove (sim->leases, &lease);
  for (GList *l = keys; l != NULL; l = l->next) {
    const SimValue *value = g_hash_table_lookup (sim->store, l->data);
    if (value != NULL && value->lease == lease)
      _sim_store_remove (sim, value->key);
  }
}

static void
_sim_check_lease (SimDeployment *sim, void *data)
{
  uint64_t lease = *(uint64_t *)data;
  int64_t *end_ms = g_hash_table_lookup (sim->leases, &lease);

  if (end_ms == NULL) {
    g_free (data);
  } else if (*end_ms <= sim->now_ms) {
    _sim_end_lease (sim, lease);
    g_free (data);
  } else {
    _sim_schedule (sim, *end_ms - sim->now_ms, _sim_check_lease, data);
  }
}

static void
_sim_value_free (gpointer data)
{
  SimValue *value = data;

  g_clear_pointer (&value->value, g_bytes_unref);
  g_clear_pointer (&value->old_value, g_bytes_unref);
  g_free (value);
}

static VpStoreStatus
_sim_store_write (SimDeployment *sim, const VpStoreOp *op, SimValue **value)
{
  uint64_t version = *value != NULL ? (*value)->version : 0;
  SimValue *written;

  sim->store_write_count++;
  if (op->lease != 0 && g_hash_table_lookup (sim->leases, &op->lease) == NULL)
    return VP_STORE_NOT_FOUND;
  if (version != op->version)
    return VP_STORE_CONFLICT;
  if (op->kind == VP_STORE_DELETE) {
    if (*value == NULL)
      return VP_STORE_NOT_FOUND;
    _sim_store_remove (sim, op->key);
    *value = NULL;
    return VP_STORE_OK;
  }
  written = g_new0 (SimValue, 1);
  g_strlcpy (written->key, op->key, sizeof written->key);
  written->version = ++sim->next_version;
  written->lease = op->lease;
  written->value = g_bytes_ref (op->value);
  if (*value != NULL) {
    written->old_version = (*value)->version;
    written->old_value = g_bytes_ref ((*value)->value);
  }
  g_hash_table_replace (sim->store, written->key, written);
  *value = written;
  _sim_store_answer_watches (sim, op->key);
  return VP_STORE_OK;
}

static VpStoreStatus
_sim_store_lease (SimDeployment *sim, const VpStoreOp *op, uint64_t *lease)
{
  int64_t *end_ms = g_hash_table_lookup (sim->leases, &op->lease);

  sim->store_write_count++;
  *lease = op->lease;
  if (op->kind == VP_STORE_LEASE_GRANT) {
    uint64_t *id = g_new (uint64_t, 1);
    *id = *lease = ++sim->next_version;
    end_ms = g_new (int64_t, 1);
    *end_ms = sim->now_ms + op->ttl_ms;
    g_hash_table_insert (sim->leases, g_memdup2 (id, sizeof *id), end_ms);
    _sim_schedule (sim, op->ttl_ms, _sim_check_lease, id);
    return VP_STORE_OK;
  }
  if (end_ms == NULL)
    return VP_STORE_NOT_FOUND;
  if (op->kind == VP_STORE_LEASE_REVOKE)
    _sim_end_lease (sim, op->lease);
  else
    *end_ms = sim->now_ms + op->ttl_ms;
  return VP_STORE_OK;
}

/* @data is the number of the watch, which may have been answered already. */
static void
_sim_watch_timeout (SimDeployment *sim, void *data)
{
  for (guint i = 0; i < sim->watches->len; i++) {
    SimStoreCall *call = g_ptr_array_index (sim->watches, i);
    const SimValue *value = g_hash_table_lookup (sim->store, call->op.key);
    if (call->number != GPOINTER_TO_UINT (data))
      continue;
    g_ptr_array_remove_index_fast (sim->watches, i);
    _sim_store_reply (sim, call, value != NULL ? VP_STORE_OK : VP_STORE_NOT_FOUND, value, 0, 1);
    _sim_store_call_free (call);
    break;
  }
}

static void
_sim_store_serve (SimDeployment *sim, void *data)
{
  SimStoreCall *call = data;
  const VpStoreOp *op = &call->op;
  int64_t timeout_ms = op->timeout_ms != 0 ? op->timeout_ms : 1000;
  int64_t delay_ms = sim->is_store_slow ? 200 + sim_random (sim, 1500) : 1 + sim_random (sim, 3);
  SimValue *value = g_hash_table_lookup (sim->store, op->key);
  VpStoreStatus status = value != NULL ? VP_STORE_OK : VP_STORE_NOT_FOUND;
  bool is_write = op->kind == VP_STORE_CAS || op->kind == VP_STORE_DELETE;
  uint64_t lease = 0;
  SimValue stale = { 0 };

  if (sim->is_store_stale && op->kind == VP_STORE_GET && value != NULL && value->old_version != 0) {
    stale.version = value->old_version;
    stale.value = value->old_value;
    value = &stale;
  }
  if (sim->is_store_down) {
    _sim_store_reply (sim, call, VP_STORE_UNAVAILABLE, NULL, 0, 1);
  } else if (op->kind == VP_STORE_WATCH && (value != NULL ? value->version : 0) == op->version) {
    g_ptr_array_add (sim->watches, call);
    call->number = ++sim->watch_count;
    _sim_schedule (sim, timeout_ms, _sim_watch_timeout, GUINT_TO_POINTER (call->number));
    return;
  } else {
    if (is_write)
      status = _sim_store_write (sim, op, &value);
    else if (op->kind >= VP_STORE_LEASE_GRANT)
      status = _sim_store_lease (sim, op, &lease);
    if (op->kind >= VP_STORE_LEASE_GRANT)
      value = NULL; /* the end of a lease removes the values attached to it, perhaps this one */
    if (sim->is_store_losing_answers && is_write && sim_random (sim, 2) == 0)
      _sim_store_reply (sim, call, VP_STORE_UNKNOWN, NULL, 0, timeout_ms);
    else if (delay_ms > timeout_ms)
      _sim_store_reply (sim, call, VP_STORE_UNKNOWN, NULL, 0, timeout_ms);
    else
      _sim_store_reply (sim, call, status, value, lease, delay_ms);
  }
  _sim_store_call_free (call);
}

static void
_sim_store_send (SimDeployment *sim, uint32_t index, const VpStoreOp *op)
{
  SimStoreCall *call = g_new0 (SimStoreCall, 1);

  call->member = index;
  call->boot = sim->members[index].boot;
  call->sent_ms = sim->now_ms;
  call->op = *op;
  if (op->value != NULL)
    g_bytes_ref (op->value);
  if (op->kind == VP_STORE_LEASE_RENEW && op->ttl_ms == 0)
    call->op.ttl_ms = sim->members[index].settings.owner_ttl_ms;
  if (sim->members[index].is_store_cut) {
    _sim_store_reply (sim, call, VP_STORE_UNKNOWN, NULL, 0,
                      op->timeout_ms != 0 ? op->timeout_ms : 1000);
    _sim_store_call_free (call);
    return;
  }
  _sim_schedule (sim, 1 + sim_random (sim, 2), _sim_store_serve, call);
}

/* ---- workers ---- */

/* A command on its way to a worker. Scheduled polls use it as well and keep the generation of the
 * attachment in op.valid_until_ms; scheduled ends of tasks keep the worker's boot number in boot.
 */
typedef struct {
  uint32_t member;
  uint64_t boot;
  uint32_t worker;
  VpWorkerOp op;
} SimCommand;

static int
_sim_worker_index (const SimDeployment *sim, const char *name)
{
  for (uint32_t i = 0; i < sim->worker_count; i++) {
    if (strcmp (sim->workers[i].vm.name, name) == 0)
      return (int)i;
  }
  return -1;
}

static void
_sim_send_report (SimDeployment *sim, uint32_t index, const SimPoll *poll)
{
  const SimWorker *worker = &sim->workers[index];
  SimMember *member = &sim->members[poll->member];
  VpEvent event = { .kind = VP_EVENT_WORKER_REPORT };
  VpWorkerReport *report = &event.report;

  if (member->boot != poll->boot || member->generation[index] != poll->generation)
    return;
  g_strlcpy (report->worker, worker->vm.name, sizeof report->worker);
  report->is_reachable = !worker->is_unreachable;
  report->running = g_array_new (FALSE, TRUE, sizeof (VpWorkerTask));
  report->ended = g_array_new (FALSE, TRUE, sizeof (VpWorkerEnded));
  if (report->is_reachable) {
    report->boot = worker->boot;
    report->sequence = worker->sequence;
    report->is_leaving = worker->leaving_ms != 0;
    for (guint i = 0; i < worker->running->len; i++)
      g_array_append_val (report->running, g_array_index (worker->running, SimTask, i).task);
    for (guint i = 0; i < worker->ended->len; i++) {
      VpWorkerEnded ended = g_array_index (worker->ended, VpWorkerEnded, i);
      if (ended.sequence <= member->acked[index])
        continue;
      if (ended.answer != NULL)
        g_bytes_ref (ended.answer);
      g_array_append_val (report->ended, ended);
    }
    member->seen_sequence[index] = worker->sequence;
  }
  _sim_post_event (sim, poll->member, &event, 1 + sim_random (sim, 3));
}

static void _sim_poll (SimDeployment *sim, void *data);

static void
_sim_schedule_poll (SimDeployment *sim, uint32_t member, uint32_t worker, int64_t delay_ms)
{
  SimCommand *command = g_new0 (SimCommand, 1);

  command->member = member;
  command->boot = sim->members[member].boot;
  command->worker = worker;
  command->op.valid_until_ms = sim->members[member].generation[worker];
  _sim_schedule (sim, delay_ms, _sim_poll, command);
}

static void
_sim_answer_polls (SimDeployment *sim, uint32_t index)
{
  SimWorker *worker = &sim->workers[index];

  for (guint i = 0; i < worker->polls->len;) {
    SimPoll poll = g_array_index (worker->polls, SimPoll, i);
    if (!worker->is_unreachable && worker->sequence <= poll.seen_sequence) {
      i++;
      continue;
    }
    g_array_remove_index_fast (worker->polls, i);
    _sim_send_report (sim, index, &poll);
    if (sim->members[poll.member].boot == poll.boot
        && sim->members[poll.member].generation[index] == poll.generation)
      _sim_schedule_poll (sim, poll.member, index, worker->is_unreachable ? 500 : 2);
  }
}

static void
_sim_poll_timeout (SimDeployment *sim, void *data)
{
  SimCommand *command = data;
  SimWorker *worker = &sim->workers[command->worker];

  for (guint i = 0; i < worker->polls->len; i++) {
    SimPoll poll = g_array_index (worker->polls, SimPoll, i);
    if (poll.member != command->member || poll.boot != command->boot)
      continue;
    g_array_remove_index_fast (worker->polls, i);
    _sim_send_report (sim, command->worker, &poll);
    if (sim->members[poll.member].generation[command->worker] == poll.generation)
      _sim_schedule_poll (sim, poll.member, command->worker, 2);
    break;
  }
  g_free (command);
}

static void
_sim_poll (SimDeployment *sim, void *data)
{
  SimCommand *command = data;
  SimMember *member = &sim->members[command->member];
  SimPoll poll = { .member = command->member,
                   .boot = command->boot,
                   .generation = (uint32_t)command->op.valid_until_ms };
  uint32_t index = command->worker;

  if (member->boot != command->boot || member->generation[index] != poll.generation
      || !member->is_attached[index]) {
    g_free (command);
    return;
  }
  poll.seen_sequence = member->seen_sequence[index];
  if (poll.seen_sequence == 0) {
    /* The first poll of an attachment answers at once. */
    _sim_send_report (sim, index, &poll);
    member->seen_sequence[index] = MAX (1, member->seen_sequence[index]);
    _sim_schedule_poll (sim, command->member, index, sim->workers[index].is_unreachable ? 500 : 2);
    g_free (command);
    return;
  }
  g_array_append_val (sim->workers[index].polls, poll);
  _sim_answer_polls (sim, index);
  _sim_schedule (sim, 2000, _sim_poll_timeout, command);
}

static void
_sim_end_task (SimDeployment *sim, uint32_t index, guint slot, VpTaskEnd end)
{
  SimWorker *worker = &sim->workers[index];
  SimTask *task = &g_array_index (worker->running, SimTask, slot);
  VpWorkerEnded ended = { .attempt = task->task.attempt, .end = end };

  ended.sequence = ++worker->sequence;
  memcpy (ended.team, task->task.team, sizeof ended.team);
  memcpy (ended.profile, task->task.profile, sizeof ended.profile);
  if (end == VP_END_DONE)
    ended.answer = g_bytes_new (task->payload, strlen (task->payload));
  g_array_append_val (worker->ended, ended);
  g_array_remove_index_fast (worker->running, slot);
  _sim_answer_polls (sim, index);
  // cppcheck-suppress memleak ; the array owns the answer
}

static int
_sim_find_task (const SimWorker *worker, const VpAttempt *attempt)
{
  for (guint i = 0; i < worker->running->len; i++) {
    if (vp_attempt_equal (&g_array_index (worker->running, SimTask, i).task.attempt, attempt))
      return (int)i;
  }
  return -1;
}

static void
_sim_finish_task (SimDeployment *sim, void *data)
{
  SimCommand *command = data;
  SimWorker *worker = &sim->workers[command->worker];
  int slot = _sim_find_task (worker, &command->op.attempt);

  if (slot >= 0 && worker->boot == command->boot) {
    bool is_failing
        = worker->is_failing || g_array_index (worker->running, SimTask, slot).is_failing;
    _sim_end_task (sim, command->worker, (guint)slot, is_failing ? VP_END_FAILED : VP_END_DONE);
  }
  g_free (command);
}

static void
_sim_end_lapsed_tasks (SimDeployment *sim, uint32_t index)
{
  SimWorker *worker = &sim->workers[index];

  for (guint i = worker->running->len; i-- > 0;) {
    if (g_array_index (worker->running, SimTask, i).task.lease_until_ms <= sim->now_ms)
      _sim_end_task (sim, index, i, VP_END_LAPSED);
  }
}

static bool
_sim_is_known_attempt (const SimWorker *worker, const VpAttempt *attempt)
{
  if (_sim_find_task (worker, attempt) >= 0)
    return true;
  for (guint i = 0; i < worker->ended->len; i++) {
    if (vp_attempt_equal (&g_array_index (worker->ended, VpWorkerEnded, i).attempt, attempt))
      return true;
  }
  return false;
}

static VpWorkerStatus
_sim_start_task (SimDeployment *sim, uint32_t index, const VpWorkerOp *op)
{
  SimWorker *worker = &sim->workers[index];
  SimTask task = { 0 };
  SimCommand *due;
  uint32_t work;
  gsize size = 0;
  const char *payload = op->payload != NULL ? g_bytes_get_data (op->payload, &size) : "";

  if (op->lease_until_ms <= sim->now_ms)
    return VP_WORKER_REFUSED;
  if (_sim_is_known_attempt (worker, &op->attempt))
    return VP_WORKER_ACCEPTED;
  if (worker->leaving_ms != 0 && sim->now_ms - worker->leaving_ms > LEAVING_START_MAX_MS)
    _sim_report_violation (sim,
                           "8: %s got a start %d ms after it began to leave, with a lease of %d ms",
                           worker->vm.name, (int)(sim->now_ms - worker->leaving_ms),
                           (int)(op->lease_until_ms - sim->now_ms));
  task.task.attempt = op->attempt;
  task.task.size = op->size;
  task.task.lease_until_ms = op->lease_until_ms;
  g_strlcpy (task.task.team, op->team, sizeof task.task.team);
  g_strlcpy (task.task.profile, op->profile, sizeof task.task.profile);
  snprintf (task.payload, sizeof task.payload, "%.*s", (int)MIN (size, 23), payload);
  if (sscanf (task.payload, "work-%u", &work) != 1 || work >= sim->works->len) {
    _sim_report_violation (sim, "5: a task was started with the unknown payload '%s'",
                           task.payload);
    return VP_WORKER_REFUSED;
  }
  if (g_getenv ("SIM_WORK") != NULL && (uint32_t)atoi (g_getenv ("SIM_WORK")) == work)
    printf ("%" G_GINT64_FORMAT " start of work %u on %s, attempt %u.%u\n",
            sim->now_ms - SIM_BEGIN_MS, work, worker->vm.name, op->attempt.member,
            op->attempt.attempt);
  task.is_failing = work % 41 == 40;
  sim->start_count++;
  if (op->attempt.member == 0)
    g_array_index (sim->works, SimWork, work).occurrence_count++;
  if (g_array_index (sim->works, SimWork, work).class == CLASS_BOOKING
      && g_array_index (sim->works, SimWork, work).occurrence_count > 1)
    _sim_report_violation (sim, "7: %s was started twice", task.payload);
  g_array_append_val (worker->running, task);
  due = g_new0 (SimCommand, 1);
  due->worker = index;
  due->boot = worker->boot;
  due->op.attempt = op->attempt;
  _sim_schedule (sim, 3 + (work * 7919) % 97 * (work % 13 == 0 ? 60 : 3), _sim_finish_task, due);
  _sim_check_running (sim);
  return VP_WORKER_ACCEPTED;
}

static VpWorkerStatus
_sim_apply_command (SimDeployment *sim, uint32_t index, const VpWorkerOp *op)
{
  SimWorker *worker = &sim->workers[index];
  int slot = _sim_find_task (worker, &op->attempt);

  if (op->kind == VP_WORKER_START)
    return _sim_start_task (sim, index, op);
  if (slot < 0)
    return VP_WORKER_REFUSED;
  if (op->kind == VP_WORKER_RENEW)
    g_array_index (worker->running, SimTask, slot).task.lease_until_ms = op->lease_until_ms;
  else if (op->kind == VP_WORKER_STOP)
    _sim_end_task (sim, index, (guint)slot, VP_END_STOPPED);
  else if (op->kind == VP_WORKER_CHECKPOINT)
    _sim_end_task (sim, index, (guint)slot, VP_END_CHECKPOINTED);
  return VP_WORKER_ACCEPTED;
}

static void
_sim_deliver_command (SimDeployment *sim, void *data)
{
  SimCommand *command = data;
  VpEvent event = { .kind = VP_EVENT_WORKER_RESULT };

  event.worker.kind = command->op.kind;
  event.worker.attempt = command->op.attempt;
  memcpy (event.worker.worker, command->op.worker, sizeof event.worker.worker);
  _sim_end_lapsed_tasks (sim, command->worker);
  if (sim->workers[command->worker].is_unreachable)
    event.worker.status = sim_random (sim, 2) == 0 ? VP_WORKER_UNREACHABLE : VP_WORKER_UNCERTAIN;
  else
    event.worker.status = _sim_apply_command (sim, command->worker, &command->op);
  if (event.worker.status == VP_WORKER_ACCEPTED && sim_random (sim, 50) == 0)
    event.worker.status = VP_WORKER_UNCERTAIN;
  if (sim->members[command->member].boot == command->boot)
    _sim_post_event (sim, command->member, &event, 1 + sim_random (sim, 3));
  g_clear_pointer (&command->op.payload, g_bytes_unref);
  g_free (command);
}

static void
_sim_send_command (SimDeployment *sim, uint32_t member, const VpWorkerOp *op)
{
  int index = _sim_worker_index (sim, op->worker);
  SimCommand *command;
  int64_t delay_ms = 1 + sim_random (sim, 3);

  g_assert_cmpint (index, >=, 0);
  command = g_new0 (SimCommand, 1);
  command->member = member;
  command->boot = sim->members[member].boot;
  command->worker = (uint32_t)index;
  command->op = *op;
  if (op->payload != NULL)
    g_bytes_ref (op->payload);
  if (sim->workers[index].is_delayed)
    delay_ms += 3000 + sim_random (sim, 3000);
  _sim_schedule (sim, delay_ms, _sim_deliver_command, command);
}

/* ---- effects ---- */

static void
_sim_send_peer_message (SimDeployment *sim,
                        uint32_t from,
                        const char *to,
                        const VpPeerMessage *message)
{
  VpEvent event = { .kind = VP_EVENT_PEER };
  g_autoptr (GBytes) wire = vp_msg_encode (message);

  for (uint32_t i = 0; i < sim->member_count; i++) {
    if (strcmp (sim->members[i].settings.name, to) != 0)
      continue;
    if (sim->members[from].is_outgoing_cut || sim->members[i].is_incoming_cut
        || !sim->members[i].is_alive || sim_random (sim, 100) == 0)
      return;
    g_assert_true (vp_msg_decode (wire, &event.peer));
    _sim_post_event (sim, i, &event, 1 + sim_random (sim, sim_random (sim, 20) == 0 ? 300 : 4));
  }
}

static void
_sim_handle_config_reply (SimDeployment *sim, uint64_t handle, uint32_t status, GBytes *body);

static void
_sim_handle_reply (SimDeployment *sim,
                   uint32_t index,
                   uint64_t handle,
                   uint32_t status,
                   GBytes *body)
{
  g_autofree char *text = g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  SimCall *call;
  SimWork *work;
  char expected[64];

  if (handle > CONFIG_HANDLE_BASE) {
    _sim_handle_config_reply (sim, handle, status, body);
    return;
  }
  call = &g_array_index (sim->calls, SimCall, handle - 1);
  work = &g_array_index (sim->works, SimWork, call->work);
  if (call->is_settled || call->member != index)
    _sim_report_violation (sim, "5: call %u got a second answer", (guint)handle);
  if (g_getenv ("SIM_WORK") != NULL && (uint32_t)atoi (g_getenv ("SIM_WORK")) == call->work)
    printf ("%" G_GINT64_FORMAT " %s answers call %u of work %u (class %d, repeat %d): %s\n",
            sim->now_ms - SIM_BEGIN_MS, sim->members[index].settings.name, (guint)handle,
            call->work, work->class, work->class != 0, text);
  call->is_settled = true;
  work->open_call_count--;
  work->settled_call_count++;
  if (status == 200 || status == 202) {
    if (strcmp (call->key, "red-2") == 0 && sim->withdrawn_ms != 0
        && call->sent_ms > sim->withdrawn_ms + KEY_WITHDRAWAL_MAX_MS)
      _sim_report_violation (sim, "3: a withdrawn key was accepted");
  }
  if (status == 200) {
    call->is_done = true;
    work->done_call_count++;
    snprintf (expected, sizeof expected, "\"answer\":\"work-%u\"", call->work);
    if (work->class != CLASS_GANG && strstr (text, expected) == NULL)
      _sim_report_violation (sim, "5: call %u got an answer that is not its own: %s", (guint)handle,
                             text);
  }
  if (strstr (text, "\"run\":\"no\"") != NULL) {
    call->is_told_not_run = true;
    work->not_run_call_count++;
    /* If all calls of the same identity were told so, the task must never have been started. */
    if (work->not_run_call_count == work->settled_call_count && work->open_call_count == 0
        && work->occurrence_count > 0)
      _sim_report_violation (sim,
                             "6: call %u was told that work %u did not run, but it was started: %s",
                             (guint)handle, call->work, text);
  }
}

static void
_sim_attach (SimDeployment *sim, uint32_t member, const char *worker, bool is_attached)
{
  int index = _sim_worker_index (sim, worker);
  SimMember *m = &sim->members[member];

  m->is_attached[index] = is_attached;
  m->generation[index]++;
  m->acked[index] = 0;
  m->seen_sequence[index] = 0;
  if (is_attached)
    _sim_schedule_poll (sim, member, (uint32_t)index, 1);
}

static void
_sim_ack_ended (SimDeployment *sim, uint32_t member, const char *name, uint64_t sequence)
{
  int index = _sim_worker_index (sim, name);
  SimWorker *worker = &sim->workers[index];

  sim->members[member].acked[index] = MAX (sim->members[member].acked[index], sequence);
  for (guint i = worker->ended->len; i-- > 0;) {
    VpWorkerEnded *ended = &g_array_index (worker->ended, VpWorkerEnded, i);
    if (ended->sequence > sequence)
      continue;
    g_clear_pointer (&ended->answer, g_bytes_unref);
    g_array_remove_index (worker->ended, i);
  }
}

static void _sim_restart (SimDeployment *sim, void *data);

static void
_sim_handle_exit (SimDeployment *sim, uint32_t index)
{
  for (guint i = 0; i < sim->calls->len; i++) {
    const SimCall *call = &g_array_index (sim->calls, SimCall, i);
    if (call->member == index && call->boot == sim->members[index].boot && !call->is_settled)
      _sim_report_violation (sim, "9: a graceful shutdown left call %u unanswered", i + 1);
  }
  sim->members[index].is_alive = false;
  _sim_schedule (sim, 5000, _sim_restart, GUINT_TO_POINTER (index));
}

static void
_sim_apply_effects (SimDeployment *sim, uint32_t index, VpEffects *effects)
{
  SimMember *member = &sim->members[index];

  for (uint32_t i = 0; i < effects->count && member->is_alive; i++) {
    VpEffect *effect = &effects->items[i];
    switch (effect->kind) {
    case VP_EFFECT_REPLY:
      _sim_handle_reply (sim, index, effect->reply.handle, effect->reply.status,
                         effect->reply.body);
      break;
    case VP_EFFECT_STORE:
      _sim_store_send (sim, index, &effect->store);
      break;
    case VP_EFFECT_WORKER:
      _sim_send_command (sim, index, &effect->worker);
      break;
    case VP_EFFECT_WORKER_ATTACH:
    case VP_EFFECT_WORKER_DETACH:
      _sim_attach (sim, index, effect->attach.worker, effect->kind == VP_EFFECT_WORKER_ATTACH);
      break;
    case VP_EFFECT_WORKER_ACK:
      _sim_ack_ended (sim, index, effect->attach.worker, effect->attach.sequence);
      break;
    case VP_EFFECT_PEER:
      _sim_send_peer_message (sim, index, effect->peer.peer, &effect->peer.message);
      break;
    case VP_EFFECT_CONFIG:
      if (effect->config->revision < member->revision)
        _sim_report_violation (sim, "10: %s went back to an older revision", member->settings.name);
      member->revision = effect->config->revision;
      break;
    case VP_EFFECT_EXIT:
      _sim_handle_exit (sim, index);
      break;
    case VP_EFFECT_LOG:
      if (g_getenv ("SIM_LOG") != NULL)
        printf ("%" G_GINT64_FORMAT " %s: %s\n", sim->now_ms - SIM_BEGIN_MS, member->settings.name,
                effect->log.text);
      break;
    case VP_EFFECT_PEER_CONNECT:
      break;
    }
  }
}

/* ---- checks ---- */

static guint
_sim_member_hash (gconstpointer data)
{
  const VpAttempt *attempt = data;

  return (guint)attempt->task.lo * 31 + attempt->member;
}

static gboolean
_sim_member_equal (gconstpointer a, gconstpointer b)
{
  const VpAttempt *x = a;
  const VpAttempt *y = b;

  return vp_task_id_equal (x->task, y->task) && x->member == y->member;
}

static void
_sim_check_running (SimDeployment *sim)
{
  VpResources team_used[TEAMS] = { 0 };

  g_hash_table_remove_all (sim->seen_attempts);
  for (uint32_t w = 0; w < sim->worker_count; w++) {
    const SimWorker *worker = &sim->workers[w];
    VpResources used = { 0 };
    for (guint i = 0; i < worker->running->len; i++) {
      const SimTask *task = &g_array_index (worker->running, SimTask, i);
      if (task->task.lease_until_ms <= sim->now_ms)
        continue;
      vp_resources_add (&used, &task->task.size);
      for (int t = 0; t < TEAMS; t++) {
        if (strcmp (team_names[t], task->task.team) == 0)
          vp_resources_add (&team_used[t], &task->task.size);
      }
      if (!g_hash_table_add (sim->seen_attempts, (gpointer)&task->task.attempt))
        _sim_report_violation (sim, "2: member %u of %s runs twice at a time",
                               task->task.attempt.member, task->payload);
    }
    if (!vp_resources_fits (&used, &worker->vm.size)
        || worker->running->len > worker->vm.slot_count)
      _sim_report_violation (sim, "1: %s runs tasks beyond its capacity", worker->vm.name);
  }
  for (int t = 0; t < TEAMS; t++) {
    bool is_lower = t == LOWERED_TEAM && sim->lowered_ms != 0
                    && sim->now_ms - sim->lowered_ms > CONFIG_EFFECT_MAX_MS;
    const VpResources *limit = is_lower ? &sim->limits[t] : &initial_limit;
    if (!vp_resources_fits (&team_used[t], limit))
      _sim_report_violation (sim, "4: team %s uses %d milli-cores, but its limit is %d",
                             team_names[t], (int)team_used[t].cpu_milli, (int)limit->cpu_milli);
  }
}

static void
_sim_check_periodically (SimDeployment *sim, void *data)
{
  for (uint32_t w = 0; w < sim->worker_count; w++)
    _sim_end_lapsed_tasks (sim, w);
  _sim_check_running (sim);
  if (sim->accepted_revision != 0 && sim->now_ms - sim->accepted_ms > CONFIG_EFFECT_MAX_MS) {
    for (uint32_t i = 0; i < sim->member_count; i++) {
      const SimMember *member = &sim->members[i];
      if (!member->is_alive || member->is_paused || member->is_incoming_cut
          || member->is_outgoing_cut || member->is_store_cut)
        continue;
      if (member->revision < sim->accepted_revision && member->revision != 0 && !sim->is_store_down)
        _sim_report_violation (sim, "10: %s has not applied the accepted revision in time",
                               member->settings.name);
    }
  }
  _sim_schedule (sim, 100, _sim_check_periodically, data);
}

static void
_sim_send_vm_lists (SimDeployment *sim, void *data)
{
  for (uint32_t i = 0; i < sim->member_count; i++) {
    VpEvent event = { .kind = VP_EVENT_VM_LIST };
    event.vm_list.is_ok = true;
    event.vm_list.vms = g_array_new (FALSE, TRUE, sizeof (VpVm));
    for (uint32_t w = 0; w < sim->worker_count; w++) {
      VpVm vm = sim->workers[w].vm;
      if (sim->workers[w].leaving_ms != 0 && sim->now_ms - sim->workers[w].leaving_ms > 1500)
        vm.state = VP_VM_LEAVING;
      g_array_append_val (event.vm_list.vms, vm);
    }
    _sim_post_event (sim, i, &event, 1 + sim_random (sim, 200));
  }
  _sim_schedule (sim, 2000, _sim_send_vm_lists, data);
}

/* ---- callers and operators ---- */

static void
_sim_send_call (SimDeployment *sim, uint32_t work_index, uint32_t target)
{
  SimWork *work = &g_array_index (sim->works, SimWork, work_index);
  VpEvent event = { .kind = VP_EVENT_REQUEST };
  VpRequest *request;
  SimCall call = { .work = work_index, .sent_ms = sim->now_ms };
  char payload[24];

  for (uint32_t i = 0; i < sim->member_count; i++) {
    call.member = (target + i) % sim->member_count;
    if (sim->members[call.member].is_alive && !sim->members[call.member].is_stopping)
      break;
  }
  if (!sim->members[call.member].is_alive)
    return;
  call.boot = sim->members[call.member].boot;
  snprintf (call.key, sizeof call.key, "%s-%u", team_names[work->team],
            work->team == 0 && sim_random (sim, 3) == 0 ? 2u : 1u);
  request = vp_request_new (VP_OP_SUBMIT);
  g_strlcpy (request->key, call.key, sizeof request->key);
  g_strlcpy (request->team, team_names[work->team], sizeof request->team);
  g_strlcpy (request->identity, work->identity, sizeof request->identity);
  g_strlcpy (request->profile,
             work->class == CLASS_GANG  ? "gang"
             : work->class == CLASS_JOB ? "batch"
                                        : "service",
             sizeof request->profile);
  request->size = (VpResources){ .cpu_milli = 500 + work_index % 4 * 500, .mem_mib = 256 };
  request->task_count = work->class == CLASS_GANG ? 3 : 1;
  request->is_repeatable = work->class != CLASS_BOOKING;
  request->is_wait_given = true;
  request->is_waiting = work->class == CLASS_BOOKING || work->class == CLASS_CHECK;
  request->deadline_ms = request->is_waiting ? 5000 : 0;
  snprintf (payload, sizeof payload, "work-%u", work_index);
  request->payload = g_bytes_new (payload, strlen (payload));
  g_array_append_val (sim->calls, call);
  work->open_call_count++;
  event.request = request;
  event.handle = sim->calls->len;
  _sim_post_event (sim, call.member, &event, 1);
}

static void
_sim_send_requests (SimDeployment *sim, void *data)
{
  SimWork work = { .team = sim_random (sim, TEAMS) };
  uint32_t draw = sim_random (sim, 100);
  uint32_t target = sim_random (sim, sim->member_count);

  if (!sim->is_sending_requests)
    return;
  work.class = draw < 40   ? CLASS_BOOKING
               : draw < 85 ? CLASS_CHECK
               : draw < 95 ? CLASS_JOB
                           : CLASS_GANG;
  if (work.class == CLASS_BOOKING || draw % 2 == 0)
    snprintf (work.identity, sizeof work.identity, "id-%u", sim->works->len);
  if (work.identity[0] != '\0')
    work.task = vp_task_id_from_identity (team_names[work.team], work.identity);
  g_array_append_val (sim->works, work);
  _sim_send_call (sim, sim->works->len - 1, target);
  if (work.identity[0] != '\0' && sim_random (sim, 3) == 0)
    _sim_send_call (sim, sim->works->len - 1, target + 1);
  _sim_schedule (sim, 1 + sim_random (sim, 2000 / sim->desc.requests_per_s), _sim_send_requests,
                 data);
}

static GBytes *
_sim_config_new (const SimDeployment *sim)
{
  GString *text = g_string_new ("{\"dcs\":[");

  for (uint32_t i = 0; i < sim->desc.dc_count; i++)
    g_string_append_printf (text, "%s\"%s\"", i > 0 ? "," : "", dc_names[i]);
  g_string_append (text, "],\"teams\":[");
  for (int t = 0; t < TEAMS; t++)
    g_string_append_printf (text,
                            "%s{\"name\":\"%s\",\"share\":%d,\"limit\":{\"cpu_milli\":%d,"
                            "\"mem_mib\":%d,\"accel_count\":0}}",
                            t > 0 ? "," : "", team_names[t], t + 1, (int)sim->limits[t].cpu_milli,
                            (int)sim->limits[t].mem_mib);
  g_string_append (
      text, "],\"profiles\":[{\"name\":\"service\",\"kind\":\"service\",\"priority\":90,"
            "\"task_lease_ms\":6000},{\"name\":\"batch\",\"kind\":\"batch\",\"priority\":10,"
            "\"preemptible\":true,\"task_lease_ms\":6000},{\"name\":\"gang\",\"kind\":\"gang\","
            "\"priority\":20,\"task_lease_ms\":6000}],\"keys\":[");
  for (int t = 0; t < TEAMS; t++) {
    for (int k = 1; k <= (t == 0 && sim->has_second_key ? 2 : 1); k++) {
      char digest[65];
      g_autofree char *key = g_strdup_printf ("%s-%d", team_names[t], k);
      vp_config_key_digest (key, digest);
      g_string_append_printf (text, "%s{\"sha256\":\"%s\",\"team\":\"%s\",\"note\":\"\"}",
                              t + k > 1 ? "," : "", digest, team_names[t]);
    }
  }
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

static void
_sim_submit_config (SimDeployment *sim, uint32_t target, bool is_withdrawal, uint64_t expected)
{
  VpEvent event = { .kind = VP_EVENT_REQUEST };
  uint64_t *handle = g_new (uint64_t, 1);
  bool is_lower = !vp_resources_fits (&initial_limit, &sim->limits[LOWERED_TEAM]);
  int bits = (is_withdrawal ? CONFIG_WITHDRAWS_KEY : 0) | (is_lower ? CONFIG_LOWERS_LIMIT : 0);

  event.request = vp_request_new (VP_OP_CONFIG_PUT);
  g_strlcpy (event.request->key, "operator", sizeof event.request->key);
  event.request->revision = expected;
  event.request->payload = _sim_config_new (sim);
  event.handle = *handle = CONFIG_HANDLE_BASE + 1 + sim->next_config_submission++;
  g_hash_table_insert (sim->config_submissions, handle, GINT_TO_POINTER (bits));
  _sim_post_event (sim, target % sim->member_count, &event, 1);
}

static void
_sim_handle_config_reply (SimDeployment *sim, uint64_t handle, uint32_t status, GBytes *body)
{
  int bits = GPOINTER_TO_INT (g_hash_table_lookup (sim->config_submissions, &handle));
  const char *text = g_bytes_get_data (body, NULL);
  const char *found = g_strstr_len (text, (gssize)g_bytes_get_size (body), "\"revision\":");

  if (status != 200 || found == NULL)
    return;
  sim->accepted_revision = MAX (sim->accepted_revision, g_ascii_strtoull (found + 11, NULL, 10));
  sim->accepted_ms = sim->now_ms;
  if ((bits & CONFIG_WITHDRAWS_KEY) != 0 && sim->withdrawn_ms == 0)
    sim->withdrawn_ms = sim->now_ms;
  if ((bits & CONFIG_LOWERS_LIMIT) != 0 && sim->lowered_ms == 0)
    sim->lowered_ms = sim->now_ms;
}

/* ---- faults ---- */

typedef struct {
  SimFault fault;
  uint32_t target;
} SimFaultEnd;

static void
_sim_boot (SimDeployment *sim, uint32_t index)
{
  SimMember *member = &sim->members[index];

  member->boot = (uint64_t)sim->now_ms;
  member->is_alive = true;
  member->is_stopping = false;
  member->revision = 0;
  member->tick_ms = 0;
  memset (member->is_attached, 0, sizeof member->is_attached);
  member->core
      = vp_core_setup (&(VpCoreDesc){ .settings = &member->settings, .boot = member->boot });
  _sim_schedule_tick (sim, index);
}

static void
_sim_kill (SimDeployment *sim, uint32_t index)
{
  SimMember *member = &sim->members[index];

  member->is_alive = false;
  while (!g_queue_is_empty (&member->inbox)) {
    VpEvent *event = g_queue_pop_head (&member->inbox);
    vp_event_clear (event);
    g_free (event);
  }
  member->is_paused = false;
}

/* Starts a member again. Callers whose connection broke submit again if they gave an identity. */
static void
_sim_restart (SimDeployment *sim, void *data)
{
  uint32_t index = GPOINTER_TO_UINT (data);
  SimMember *member = &sim->members[index];
  uint64_t boot = member->boot;
  guint count = sim->calls->len;

  vp_core_shutdown (member->core);
  _sim_boot (sim, index);
  for (guint i = 0; i < count; i++) {
    SimCall call = g_array_index (sim->calls, SimCall, i);
    SimWork *work = &g_array_index (sim->works, SimWork, call.work);
    if (call.member != index || call.boot != boot || call.is_settled)
      continue;
    g_array_index (sim->calls, SimCall, i).is_settled = true;
    work->open_call_count--;
    work->settled_call_count++; /* the caller was not told that the task did not run */
    if (work->identity[0] != '\0' && sim->is_sending_requests)
      _sim_send_call (sim, call.work, index + 1);
  }
}

static void
_sim_resume (SimDeployment *sim, uint32_t index)
{
  SimMember *member = &sim->members[index];

  if (!member->is_paused)
    return;
  member->is_paused = false;
  while (!g_queue_is_empty (&member->inbox) && member->is_alive) {
    VpEvent *event = g_queue_pop_head (&member->inbox);
    _sim_apply_event (sim, index, event);
    g_free (event);
  }
  if (member->is_alive)
    _sim_schedule_tick (sim, index);
}

/* Cuts a DC off from the other DCs and the store, or joins it again. */
static void
_sim_set_dc_partitioned (SimDeployment *sim, uint32_t dc, bool is_unreachable)
{
  for (uint32_t i = 0; i < sim->member_count; i++) {
    SimMember *member = &sim->members[i];
    if (i / 2 == dc % sim->desc.dc_count)
      member->is_incoming_cut = member->is_outgoing_cut = member->is_store_cut = is_unreachable;
  }
}

static void
_sim_end_fault (SimDeployment *sim, void *data)
{
  SimFaultEnd *fault_end = data;
  SimMember *member = &sim->members[fault_end->target % sim->member_count];
  SimWorker *worker = &sim->workers[fault_end->target % sim->worker_count];

  switch (fault_end->fault) {
  case SIM_FAULT_PAUSE:
    _sim_resume (sim, fault_end->target % sim->member_count);
    break;
  case SIM_FAULT_PARTITION_PEERS:
  case SIM_FAULT_PARTITION_OUTGOING:
    member->is_incoming_cut = member->is_outgoing_cut = false;
    break;
  case SIM_FAULT_PARTITION_STORE:
    member->is_store_cut = false;
    break;
  case SIM_FAULT_PARTITION_DC:
    _sim_set_dc_partitioned (sim, fault_end->target, false);
    break;
  case SIM_FAULT_STORE_DOWN:
    sim->is_store_down = false;
    break;
  case SIM_FAULT_STORE_SLOW:
    sim->is_store_slow = false;
    break;
  case SIM_FAULT_STORE_STALE:
    sim->is_store_stale = false;
    break;
  case SIM_FAULT_STORE_LOSES_ANSWERS:
    sim->is_store_losing_answers = false;
    break;
  case SIM_FAULT_PARTITION_WORKER:
    worker->is_unreachable = false;
    break;
  case SIM_FAULT_WORKER_DELAYED:
    worker->is_delayed = false;
    break;
  case SIM_FAULT_WORKER_FAILS:
    worker->is_failing = false;
    break;
  case SIM_FAULT_WORKER_LEAVING:
    worker->leaving_ms = 0;
    worker->vm.generation++;
    g_array_set_size (worker->running, 0);
    worker->boot = (uint64_t)sim->now_ms;
    break;
  default:
    break;
  }
  sim->accepted_ms = MAX (sim->accepted_ms, sim->now_ms);
  if (sim->lowered_ms != 0)
    sim->lowered_ms = sim->now_ms;
  g_free (fault_end);
}

static void
_sim_cancel_tasks (SimDeployment *sim, uint32_t target)
{
  VpEvent event = { .kind = VP_EVENT_REQUEST };

  event.request = vp_request_new (VP_OP_CANCEL);
  event.request->tasks = g_array_new (FALSE, TRUE, sizeof (VpTaskId));
  g_strlcpy (event.request->key, "blue-1", sizeof event.request->key);
  for (guint i = 0; i < sim->works->len; i++) {
    const SimWork *work = &g_array_index (sim->works, SimWork, i);
    if (work->team == 1 && work->open_call_count > 0 && !vp_task_id_is_zero (work->task)
        && event.request->tasks->len < VP_REQUEST_TASKS_MAX)
      g_array_append_val (event.request->tasks, work->task);
  }
  event.handle = CONFIG_HANDLE_BASE + 1 + sim->next_config_submission++;
  _sim_post_event (sim, target, &event, 1);
}

/* Returns after how many milliseconds the fault ends; 0 if nothing has to be undone. */
static int64_t
_sim_begin_fault (SimDeployment *sim, SimFault fault, uint32_t target)
{
  uint32_t index = target % sim->member_count;
  SimMember *member = &sim->members[index];
  SimWorker *worker = &sim->workers[target % sim->worker_count];
  VpEvent event = { .kind = VP_EVENT_SHUTDOWN };

  switch (fault) {
  case SIM_FAULT_KILL:
    if (member->is_alive && !member->is_stopping) {
      _sim_kill (sim, index);
      _sim_schedule (sim, 2000, _sim_restart, GUINT_TO_POINTER (index));
    }
    return 0;
  case SIM_FAULT_PAUSE:
    member->is_paused = true;
    return 8000;
  case SIM_FAULT_PARTITION_PEERS:
    member->is_incoming_cut = true;
    member->is_outgoing_cut = true;
    return 6000;
  case SIM_FAULT_PARTITION_OUTGOING:
    member->is_outgoing_cut = true;
    return 6000;
  case SIM_FAULT_PARTITION_STORE:
    member->is_store_cut = true;
    return 7000;
  case SIM_FAULT_PARTITION_DC:
    _sim_set_dc_partitioned (sim, target, true);
    return 14000;
  case SIM_FAULT_STORE_DOWN:
    sim->is_store_down = true;
    return 8000;
  case SIM_FAULT_STORE_SLOW:
    sim->is_store_slow = true;
    return 8000;
  case SIM_FAULT_STORE_STALE:
    sim->is_store_stale = true;
    return 6000;
  case SIM_FAULT_STORE_LOSES_ANSWERS:
    sim->is_store_losing_answers = true;
    return 8000;
  case SIM_FAULT_PARTITION_WORKER:
    worker->is_unreachable = true;
    return 5000;
  case SIM_FAULT_WORKER_RESTART:
    g_array_set_size (worker->running, 0);
    worker->boot = (uint64_t)sim->now_ms;
    _sim_answer_polls (sim, target % sim->worker_count);
    return 0;
  case SIM_FAULT_WORKER_DELAYED:
    worker->is_delayed = true;
    return 6000;
  case SIM_FAULT_WORKER_FAILS:
    worker->is_failing = true;
    return 5000;
  case SIM_FAULT_WORKER_LEAVING:
    if (worker->leaving_ms != 0)
      return 0;
    worker->leaving_ms = sim->now_ms;
    return 12000;
  case SIM_FAULT_SHUTDOWN:
    if (member->is_alive && !member->is_stopping) {
      member->is_stopping = true;
      _sim_post_event (sim, index, &event, 1);
    }
    return 0;
  case SIM_FAULT_WITHDRAW_KEY:
    sim->has_second_key = false;
    _sim_submit_config (sim, target, true, sim->accepted_revision);
    return 0;
  case SIM_FAULT_RACING_OPERATORS:
    _sim_submit_config (sim, target, !sim->has_second_key, sim->accepted_revision);
    _sim_submit_config (sim, target + 1, !sim->has_second_key, sim->accepted_revision);
    return 0;
  case SIM_FAULT_LOWER_LIMIT:
    sim->limits[LOWERED_TEAM].cpu_milli = 6000;
    _sim_submit_config (sim, target, !sim->has_second_key, sim->accepted_revision);
    return 0;
  case SIM_FAULT_CANCEL_TASKS:
    _sim_cancel_tasks (sim, index);
    return 0;
  case SIM_FAULT_COUNT:
    break;
  }
  return 0;
}

void
sim_inject_fault (SimDeployment *sim, SimFault fault, uint32_t target)
{
  int64_t span_ms = _sim_begin_fault (sim, fault, target);
  SimFaultEnd *fault_end;

  if (span_ms == 0)
    return;
  fault_end = g_new0 (SimFaultEnd, 1);
  fault_end->fault = fault;
  fault_end->target = target;
  _sim_schedule (sim, span_ms, _sim_end_fault, fault_end);
}

/* ---- set-up ---- */

static void
_sim_setup_member (SimDeployment *sim, uint32_t index)
{
  SimMember *member = &sim->members[index];
  GString *json = g_string_new ("{");
  char digest[65];
  GError *error = NULL;

  vp_config_key_digest ("operator", digest);
  g_string_append_printf (json,
                          "\"name\":\"%s-%u\",\"dc\":\"%s\",\"operators\":[{\"name\":\"op\","
                          "\"key_sha256\":\"%s\"}],\"store_addresses\":[\"127.0.0.1:1\"],"
                          "\"vmlist_address\":\"127.0.0.1:2\",\"members\":[",
                          dc_names[index / 2], index % 2 + 1, dc_names[index / 2], digest);
  for (uint32_t i = 0; i < sim->member_count; i++)
    g_string_append_printf (json,
                            "%s{\"name\":\"%s-%u\",\"dc\":\"%s\",\"peer_address\":"
                            "\"127.0.1.%u:9000\",\"http_address\":\"127.0.1.%u:8000\"}",
                            i > 0 ? "," : "", dc_names[i / 2], i % 2 + 1, dc_names[i / 2], i + 1,
                            i + 1);
  g_string_append (json, "]}");
  if (!vp_settings_parse (&member->settings, json->str, json->len, &error))
    g_error ("settings: %s", error->message);
  g_string_free (json, TRUE);
  g_queue_init (&member->inbox);
  _sim_boot (sim, index);
}

static void
_sim_setup_worker (SimDeployment *sim, uint32_t index)
{
  SimWorker *worker = &sim->workers[index];

  snprintf (worker->vm.name, sizeof worker->vm.name, "w%u", index);
  snprintf (worker->vm.address, sizeof worker->vm.address, "127.0.2.%u:7000", index + 1);
  snprintf (worker->vm.rack, sizeof worker->vm.rack, "r%u", index % 2);
  g_strlcpy (worker->vm.dc, dc_names[index / sim->desc.worker_count], sizeof worker->vm.dc);
  worker->vm.size = (VpResources){ .cpu_milli = 4000, .mem_mib = 8192 };
  worker->vm.slot_count = 8;
  worker->vm.connection_count = 64;
  worker->vm.generation = 1;
  worker->boot = (uint64_t)sim->now_ms;
  worker->sequence = 1;
  worker->running = g_array_new (FALSE, TRUE, sizeof (SimTask));
  worker->ended = g_array_new (FALSE, TRUE, sizeof (VpWorkerEnded));
  worker->polls = g_array_new (FALSE, TRUE, sizeof (SimPoll));
}

SimDeployment *
sim_new (const SimDesc *desc)
{
  SimDeployment *sim = g_new0 (SimDeployment, 1);

  sim->desc = *desc;
  if (sim->desc.dc_count == 0)
    sim->desc.dc_count = 2;
  if (sim->desc.worker_count == 0)
    sim->desc.worker_count = 3;
  if (sim->desc.requests_per_s == 0)
    sim->desc.requests_per_s = 40;
  sim->rand = g_rand_new_with_seed (desc->seed);
  sim->now_ms = SIM_BEGIN_MS;
  sim->queue = g_sequence_new (g_free);
  sim->store = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _sim_value_free);
  sim->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  sim->seen_attempts = g_hash_table_new (_sim_member_hash, _sim_member_equal);
  sim->config_submissions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  sim->watches = g_ptr_array_new ();
  sim->calls = g_array_new (FALSE, TRUE, sizeof (SimCall));
  sim->works = g_array_new (FALSE, TRUE, sizeof (SimWork));
  sim->has_second_key = true;
  for (int t = 0; t < TEAMS; t++)
    sim->limits[t] = initial_limit;
  sim->member_count = sim->desc.dc_count * 2;
  sim->worker_count = sim->desc.dc_count * sim->desc.worker_count;
  for (uint32_t i = 0; i < sim->worker_count; i++)
    _sim_setup_worker (sim, i);
  for (uint32_t i = 0; i < sim->member_count; i++)
    _sim_setup_member (sim, i);
  _sim_check_periodically (sim, NULL);
  _sim_send_vm_lists (sim, NULL);
  sim_run (sim, 4000);
  _sim_submit_config (sim, 0, false, 0);
  sim_run (sim, 4000);
  sim->is_sending_requests = true;
  _sim_send_requests (sim, NULL);
  return sim;
}

void
sim_run (SimDeployment *sim, int64_t span_ms)
{
  int64_t end_ms = sim->now_ms + span_ms;

  while (!g_sequence_is_empty (sim->queue) && sim->violation[0] == '\0') {
    GSequenceIter *iter = g_sequence_get_begin_iter (sim->queue);
    SimAction action = *(SimAction *)g_sequence_get (iter);
    if (action.due_ms > end_ms)
      break;
    g_sequence_remove (iter);
    sim->now_ms = MAX (sim->now_ms, action.due_ms);
    action.run (sim, action.data);
  }
  sim->now_ms = MAX (sim->now_ms, end_ms);
}

void
sim_finish (SimDeployment *sim)
{
  sim->is_sending_requests = false;
  sim_run (sim, 90000);
  for (guint i = 0; i < sim->calls->len; i++) {
    const SimCall *call = &g_array_index (sim->calls, SimCall, i);
    if (!call->is_settled)
      _sim_report_violation (sim, "5: call %u (work %u) was never answered", i + 1, call->work);
  }
  for (guint i = 0; i < sim->works->len; i++) {
    const SimWork *work = &g_array_index (sim->works, SimWork, i);
    if (work->settled_call_count > 0 && work->settled_call_count == work->not_run_call_count
        && work->occurrence_count > 0)
      _sim_report_violation (
          sim, "6: all calls of work %u were told that it did not run, but it was started", i);
  }
}

const char *
sim_violation (const SimDeployment *sim)
{
  return sim->violation[0] != '\0' ? sim->violation : NULL;
}

uint32_t
sim_done_count (const SimDeployment *sim)
{
  uint32_t count = 0;

  for (guint i = 0; i < sim->calls->len; i++)
    count += g_array_index (sim->calls, SimCall, i).is_done;
  return count;
}

uint32_t
sim_sent_count (const SimDeployment *sim)
{
  return sim->calls->len;
}

uint64_t
sim_store_write_count (const SimDeployment *sim)
{
  return sim->store_write_count;
}

uint64_t
sim_start_count (const SimDeployment *sim)
{
  return sim->start_count;
}

void
sim_print_summary (const SimDeployment *sim)
{
  static const char *const names[] = { "booking", "check", "job", "gang" };

  for (int c = 0; c < CLASS_COUNT; c++) {
    uint32_t sent = 0, done = 0, not_run = 0, ran = 0;
    for (guint i = 0; i < sim->calls->len; i++) {
      const SimCall *call = &g_array_index (sim->calls, SimCall, i);
      const SimWork *work = &g_array_index (sim->works, SimWork, call->work);
      if ((int)work->class != c)
        continue;
      sent++;
      done += call->is_done;
      not_run += call->is_told_not_run;
      ran += work->occurrence_count > 0;
    }
    g_test_message ("%-8s sent %u, done %u, told not run %u, started %u", names[c], sent, done,
                    not_run, ran);
  }
}

/* Frees the data of an action that will not be run any more. */
static void
_sim_action_clear (const SimAction *action)
{
  if (action->run == _sim_deliver)
    vp_event_clear (&((SimDelivery *)action->data)->event);
  else if (action->run == _sim_store_serve)
    g_clear_pointer (&((SimStoreCall *)action->data)->op.value, g_bytes_unref);
  else if (action->run == _sim_deliver_command)
    g_clear_pointer (&((SimCommand *)action->data)->op.payload, g_bytes_unref);
  if (action->run != _sim_restart && action->run != _sim_watch_timeout)
    g_free (action->data);
}

void
sim_free (SimDeployment *sim)
{
  for (GSequenceIter *i = g_sequence_get_begin_iter (sim->queue); !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    _sim_action_clear (g_sequence_get (i));
  for (guint i = 0; i < sim->watches->len; i++)
    _sim_store_call_free (g_ptr_array_index (sim->watches, i));
  for (uint32_t i = 0; i < sim->member_count; i++) {
    _sim_kill (sim, i);
    vp_core_shutdown (sim->members[i].core);
    vp_settings_shutdown (&sim->members[i].settings);
  }
  for (uint32_t w = 0; w < sim->worker_count; w++) {
    for (guint i = 0; i < sim->workers[w].ended->len; i++)
      g_clear_pointer (&g_array_index (sim->workers[w].ended, VpWorkerEnded, i).answer,
                       g_bytes_unref);
    g_array_unref (sim->workers[w].running);
    g_array_unref (sim->workers[w].ended);
    g_array_unref (sim->workers[w].polls);
  }
  g_hash_table_unref (sim->store);
  g_hash_table_unref (sim->leases);
  g_hash_table_unref (sim->config_submissions);
  g_hash_table_unref (sim->seen_attempts);
  g_ptr_array_unref (sim->watches);
  g_array_unref (sim->calls);
  g_array_unref (sim->works);
  g_sequence_free (sim->queue);
  g_rand_free (sim->rand);
  g_free (sim);
}
