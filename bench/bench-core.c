/* Benchmark of the reducer of an entry process that owns a DC: CPU time, messages and store calls
 * per start, heartbeat, worker report, lease renewal and configuration change, and memory.
 *
 *   bench-core             prints one JSON object {"measure","value","unit"} per line
 *
 * The reducers of all members run in simulated time on an in-memory store. Only the calls of member
 * 0 are measured, in real time. Slopes over the numbers of workers are fitted by least squares.
 */
#include "vp-config.h"
#include "vp-core.h"
#include "vp-msg.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define RING_SIZE_MS      32768 /* the delay of a simulated event is shorter than this */
#define WORKERS_MAX       400
#define TASKS_MAX         64
#define POLL_TIMEOUT_MS   10000 /* longest wait of a poll, as in vp-poller.c */
#define MESSAGE_DELAY_MS  1
#define CALL_RUN_MS       100 /* run time of the task of a service call */
#define TEAM_COUNT        43
#define PEAK_STARTS_PER_S 58 /* of one owner, expected in two years: 350 over 6 DCs */
#define WINDOW_S          20
#define DURABLE_EVERY     5 /* every n-th start is not repeatable and has durable records */

typedef enum {
  SIM_TO_MEMBER,
  SIM_TO_STORE,
  SIM_TO_WORKER,
  SIM_POLL_TIMEOUT,
  SIM_TASK_END,
  SIM_WATCH_TIMEOUT
} SimEventKind;

typedef struct {
  SimEventKind kind;
  uint32_t member, worker;
  int64_t sent_ms, due_ms;
  uint64_t generation; /* only SIM_POLL_TIMEOUT */
  VpEvent event;
  VpStoreOp store;
  VpWorkerOp op;
} SimEvent;

typedef struct {
  char key[VP_STORE_KEY_MAX];
  uint64_t version, lease;
  GBytes *value;
} StoreValue;

typedef struct {
  VpVm vm;
  VpWorkerTask tasks[TASKS_MAX];
  uint32_t task_count;
  uint64_t sequence, seen;
  GArray *ended; /* VpWorkerEnded */
  bool is_attached;
  uint64_t generation;
} Worker;

/* Costs of member 0, apart from @standby_calls: store calls of member 1. */
typedef struct {
  int64_t all_ns, event_ns[VP_EVENT_SHUTDOWN + 1], heartbeat_ns, renewal_ns;
  uint64_t events[VP_EVENT_SHUTDOWN + 1], heartbeats, renewals;
  uint64_t starts, replies, peer_messages, peer_bytes, reads, writes, watches, write_bytes, acks,
      standby_calls;
} Counts;

typedef struct {
  VpCore *cores[VP_MEMBERS_MAX];
  VpSettings settings[VP_MEMBERS_MAX];
  uint32_t member_count, worker_count;
  Worker workers[WORKERS_MAX];
  GQueue ring[RING_SIZE_MS];
  GHashTable *store;
  GPtrArray *watches; /* SimEvent */
  uint64_t next_version, next_work, revision;
  int64_t now_ms;
  Counts counts;
} Sim;

static const char *const dcs[] = { "nadi", "ba", "lautoka", "uyole", "iwambi", "sisimba" };

static void
_print (const char *measure, double value, const char *unit)
{
  printf ("{\"measure\":\"%s\",\"value\":%.4g,\"unit\":\"%s\"}\n", measure, value, unit);
  fflush (stdout);
}

static int64_t
_clock_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static SimEvent *
_schedule (Sim *sim, SimEventKind kind, uint32_t member, int64_t delay_ms)
{
  SimEvent *sim_event = g_new0 (SimEvent, 1);

  sim_event->kind = kind;
  sim_event->member = member;
  sim_event->sent_ms = sim->now_ms;
  sim_event->due_ms = sim->now_ms + MIN (MAX (delay_ms, 1), RING_SIZE_MS - 1);
  g_queue_push_tail (&sim->ring[sim_event->due_ms % RING_SIZE_MS], sim_event);
  return sim_event;
}

static void
_store_value_free (gpointer data)
{
  g_bytes_unref (((StoreValue *)data)->value);
  g_free (data);
}

static void
_store_reply (Sim *sim,
              const SimEvent *call,
              VpStoreStatus status,
              const StoreValue *value,
              uint64_t lease)
{
  VpEvent *event = &_schedule (sim, SIM_TO_MEMBER, call->member, MESSAGE_DELAY_MS)->event;
  VpStoreResult *out = &event->store;

  event->kind = VP_EVENT_STORE_RESULT;
  out->kind = call->store.kind;
  out->module = call->store.module;
  out->token = call->store.token;
  out->status = status;
  out->sent_ms = call->sent_ms;
  out->lease = lease;
  memcpy (out->key, call->store.key, sizeof out->key);
  out->version = value != NULL ? value->version : 0;
  out->value = value != NULL ? g_bytes_ref (value->value) : NULL;
}

static VpStoreStatus
_store_write (Sim *sim, const VpStoreOp *op, StoreValue **value)
{
  if ((*value != NULL ? (*value)->version : 0) != op->version)
    return VP_STORE_CONFLICT;
  if (op->kind == VP_STORE_DELETE) {
    g_hash_table_remove (sim->store, op->key);
    *value = NULL;
    return VP_STORE_OK;
  }
  *value = g_new0 (StoreValue, 1);
  memcpy ((*value)->key, op->key, sizeof op->key);
  (*value)->version = ++sim->next_version;
  (*value)->value = g_bytes_ref (op->value);
  g_hash_table_replace (sim->store, (*value)->key, *value);
  for (guint i = sim->watches->len; i-- > 0;) {
    SimEvent *watch = g_ptr_array_index (sim->watches, i);
    if (strcmp (watch->store.key, op->key) != 0)
      continue;
    _store_reply (sim, watch, VP_STORE_OK, *value, 0);
    watch->member = VP_MEMBERS_MAX; /* has been answered; is freed at its timeout */
    g_ptr_array_remove_index_fast (sim->watches, i);
  }
  return VP_STORE_OK;
}

/* Returns true if it keeps the event, as a watch that waits for a change. */
static bool
_store_execute (Sim *sim, SimEvent *call)
{
  const VpStoreOp *op = &call->store;
  StoreValue *value = g_hash_table_lookup (sim->store, op->key);
  VpStoreStatus status = value != NULL ? VP_STORE_OK : VP_STORE_NOT_FOUND;
  uint64_t lease = op->lease;

  if (op->kind == VP_STORE_WATCH && (value != NULL ? value->version : 0) == op->version) {
    call->kind = SIM_WATCH_TIMEOUT;
    call->due_ms = sim->now_ms + MIN (op->timeout_ms, RING_SIZE_MS - 1);
    g_queue_push_tail (&sim->ring[call->due_ms % RING_SIZE_MS], call);
    g_ptr_array_add (sim->watches, call);
    return true;
  }
  if (op->kind == VP_STORE_CAS || op->kind == VP_STORE_DELETE)
    status = _store_write (sim, op, &value);
  else if (op->kind >= VP_STORE_LEASE_GRANT)
    status = VP_STORE_OK; /* no member crashes here, so leases never expire */
  if (op->kind == VP_STORE_LEASE_GRANT)
    lease = ++sim->next_version;
  _store_reply (sim, call, status, value, lease);
  return false;
}

static void
_worker_report (Sim *sim, uint32_t index)
{
  Worker *worker = &sim->workers[index];
  VpEvent *event = &_schedule (sim, SIM_TO_MEMBER, 0, MESSAGE_DELAY_MS)->event;
  VpWorkerReport *report = &event->report;

  event->kind = VP_EVENT_WORKER_REPORT;
  memcpy (report->worker, worker->vm.name, sizeof report->worker);
  report->is_reachable = true;
  report->boot = 1;
  report->sequence = worker->seen = worker->sequence;
  report->running = g_array_new (FALSE, FALSE, sizeof (VpWorkerTask));
  report->ended = g_array_new (FALSE, FALSE, sizeof (VpWorkerEnded));
  g_array_append_vals (report->running, worker->tasks, worker->task_count);
  g_array_append_vals (report->ended, worker->ended->data, worker->ended->len);
  for (guint i = 0; i < report->ended->len; i++)
    g_bytes_ref (g_array_index (report->ended, VpWorkerEnded, i).answer);
}

/* Answers the worker's pending poll if a task has ended or on timeout, and starts the next poll. */
static void
_worker_poll (Sim *sim, uint32_t index, bool is_timeout, uint64_t generation)
{
  Worker *worker = &sim->workers[index];
  SimEvent *sim_event;

  if (!worker->is_attached || (is_timeout && generation != worker->generation))
    return;
  if (is_timeout || worker->seen < worker->sequence || worker->seen == 0) {
    _worker_report (sim, index);
    worker->seen = MAX (worker->seen, 1);
  }
  sim_event = _schedule (sim, SIM_POLL_TIMEOUT, 0, POLL_TIMEOUT_MS);
  sim_event->worker = index;
  sim_event->generation = ++worker->generation;
}

static void
_worker_command (Sim *sim, SimEvent *sim_event)
{
  Worker *worker = &sim->workers[sim_event->worker];
  VpEvent *event = &_schedule (sim, SIM_TO_MEMBER, 0, MESSAGE_DELAY_MS)->event;
  const VpWorkerOp *op = &sim_event->op;
  VpWorkerTask *task = &worker->tasks[worker->task_count];
  int64_t run_ms;

  event->kind = VP_EVENT_WORKER_RESULT;
  event->worker.kind = op->kind;
  event->worker.attempt = op->attempt;
  memcpy (event->worker.worker, op->worker, sizeof op->worker);
  if (op->kind != VP_WORKER_START)
    return;
  g_assert_cmpuint (worker->task_count, <, TASKS_MAX);
  worker->task_count++;
  *task = (VpWorkerTask){ .attempt = op->attempt, .size = op->size, .used = op->size };
  task->lease_until_ms = op->lease_until_ms;
  memcpy (task->team, op->team, sizeof task->team);
  memcpy (task->profile, op->profile, sizeof task->profile);
  run_ms = g_ascii_strtoll (g_bytes_get_data (op->payload, NULL), NULL, 10);
  if (run_ms > 0) {
    SimEvent *end = _schedule (sim, SIM_TASK_END, 0, run_ms);
    end->worker = sim_event->worker;
    end->op.attempt = op->attempt;
  }
}

static void
_task_end (Sim *sim, const SimEvent *sim_event)
{
  Worker *worker = &sim->workers[sim_event->worker];

  for (uint32_t i = 0; i < worker->task_count; i++) {
    VpWorkerTask *task = &worker->tasks[i];
    VpWorkerEnded ended = { .attempt = task->attempt, .end = VP_END_DONE };
    if (!vp_attempt_equal (&task->attempt, &sim_event->op.attempt))
      continue;
    ended.sequence = ++worker->sequence;
    memcpy (ended.team, task->team, sizeof ended.team);
    memcpy (ended.profile, task->profile, sizeof ended.profile);
    ended.answer = g_bytes_new_static ("answer", 6);
    g_array_append_val (worker->ended, ended);
    *task = worker->tasks[--worker->task_count];
    break;
    // cppcheck-suppress memleak ; the array owns the answer
  }
  _worker_poll (sim, sim_event->worker, false, 0);
}

static void
_worker_ack (Sim *sim, uint32_t index, uint64_t sequence)
{
  GArray *ended = sim->workers[index].ended;

  while (ended->len > 0 && g_array_index (ended, VpWorkerEnded, 0).sequence <= sequence) {
    g_bytes_unref (g_array_index (ended, VpWorkerEnded, 0).answer);
    g_array_remove_index (ended, 0);
  }
}

static uint32_t
_worker_index (const char *name)
{
  return (uint32_t)g_ascii_strtoull (name + 1, NULL, 10);
}

static void
_send_peer (Sim *sim, uint32_t from, const char *to, const VpPeerMessage *message)
{
  g_autoptr (GBytes) wire = vp_msg_encode (message);

  sim->counts.peer_messages += from == 0;
  sim->counts.peer_bytes += from == 0 ? g_bytes_get_size (wire) : 0;
  for (uint32_t i = 0; i < sim->member_count; i++) {
    if (strcmp (sim->settings[i].name, to) == 0 && sim->cores[i] != NULL) {
      VpEvent *event = &_schedule (sim, SIM_TO_MEMBER, i, MESSAGE_DELAY_MS)->event;
      event->kind = VP_EVENT_PEER;
      g_assert_true (vp_msg_decode (wire, &event->peer));
    }
  }
}

static void
_send_store (Sim *sim, uint32_t member, const VpStoreOp *op)
{
  SimEvent *sim_event = _schedule (sim, SIM_TO_STORE, member, MESSAGE_DELAY_MS);

  sim_event->store = *op;
  if (op->value != NULL)
    g_bytes_ref (op->value);
  sim->counts.standby_calls += member == 1;
  if (member != 0)
    return;
  sim->counts.reads += op->kind == VP_STORE_GET;
  sim->counts.watches += op->kind == VP_STORE_WATCH;
  sim->counts.writes += op->kind != VP_STORE_GET && op->kind != VP_STORE_WATCH;
  sim->counts.write_bytes += op->value != NULL ? g_bytes_get_size (op->value) : 0;
}

static void
_execute_effects (Sim *sim, uint32_t member, const VpEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++) {
    const VpEffect *effect = &effects->items[i];
    if (effect->kind == VP_EFFECT_STORE) {
      _send_store (sim, member, &effect->store);
    } else if (effect->kind == VP_EFFECT_PEER) {
      _send_peer (sim, member, effect->peer.peer, &effect->peer.message);
    } else if (effect->kind == VP_EFFECT_WORKER) {
      SimEvent *sim_event = _schedule (sim, SIM_TO_WORKER, member, MESSAGE_DELAY_MS);
      sim_event->op = effect->worker;
      sim_event->worker = _worker_index (effect->worker.worker);
      if (effect->worker.payload != NULL)
        g_bytes_ref (effect->worker.payload);
      sim->counts.starts += effect->worker.kind == VP_WORKER_START;
    } else if (effect->kind == VP_EFFECT_WORKER_ATTACH) {
      uint32_t index = _worker_index (effect->attach.worker);
      sim->workers[index].is_attached = true;
      _worker_poll (sim, index, false, 0);
    } else if (effect->kind == VP_EFFECT_WORKER_ACK) {
      sim->counts.acks++;
      _worker_ack (sim, _worker_index (effect->attach.worker), effect->attach.sequence);
    } else if (effect->kind == VP_EFFECT_REPLY && member == 0) {
      sim->counts.replies++;
    } else if (effect->kind == VP_EFFECT_CONFIG) {
      sim->revision = MAX (sim->revision, effect->config->revision);
    }
  }
}

static void
_apply (Sim *sim, uint32_t member, VpEvent *event)
{
  bool is_heartbeat = event->kind == VP_EVENT_PEER && event->peer.kind == VP_PEER_HEARTBEAT;
  bool is_renewal = event->kind == VP_EVENT_WORKER_RESULT && event->worker.kind == VP_WORKER_RENEW;
  VpEventKind kind = event->kind;
  VpEffects effects = { 0 };
  int64_t elapsed_ns = _clock_ns ();

  vp_core_apply (sim->cores[member], event, sim->now_ms, &effects);
  elapsed_ns = _clock_ns () - elapsed_ns;
  if (member == 0) {
    sim->counts.all_ns += elapsed_ns;
    sim->counts.event_ns[kind] += elapsed_ns;
    sim->counts.events[kind]++;
    sim->counts.heartbeat_ns += is_heartbeat ? elapsed_ns : 0;
    sim->counts.heartbeats += is_heartbeat;
    sim->counts.renewal_ns += is_renewal ? elapsed_ns : 0;
    sim->counts.renewals += is_renewal;
  }
  _execute_effects (sim, member, &effects);
  vp_effects_free (&effects);
}

static void
_run_sim_event (Sim *sim, SimEvent *sim_event)
{
  switch (sim_event->kind) {
  case SIM_TO_MEMBER:
    _apply (sim, sim_event->member, &sim_event->event);
    break;
  case SIM_TO_STORE:
    if (_store_execute (sim, sim_event))
      return;
    break;
  case SIM_TO_WORKER:
    _worker_command (sim, sim_event);
    break;
  case SIM_POLL_TIMEOUT:
    _worker_poll (sim, sim_event->worker, true, sim_event->generation);
    break;
  case SIM_TASK_END:
    _task_end (sim, sim_event);
    break;
  case SIM_WATCH_TIMEOUT:
    if (g_ptr_array_remove_fast (sim->watches, sim_event))
      _store_reply (sim, sim_event, VP_STORE_OK,
                    g_hash_table_lookup (sim->store, sim_event->store.key), 0);
    break;
  }
  g_clear_pointer (&sim_event->store.value, g_bytes_unref);
  g_clear_pointer (&sim_event->op.payload, g_bytes_unref);
  g_free (sim_event);
}

static void
_apply_vm_list (Sim *sim, uint32_t member)
{
  VpEvent event = { .kind = VP_EVENT_VM_LIST };

  event.vm_list.is_ok = true;
  event.vm_list.vms = g_array_new (FALSE, FALSE, sizeof (VpVm));
  for (uint32_t i = 0; i < sim->worker_count; i++)
    g_array_append_val (event.vm_list.vms, sim->workers[i].vm);
  _apply (sim, member, &event);
}

static void
_run_for (Sim *sim, int64_t span_ms)
{
  for (int64_t end_ms = sim->now_ms + span_ms; sim->now_ms < end_ms;) {
    GQueue *due = &sim->ring[++sim->now_ms % RING_SIZE_MS];
    SimEvent *sim_event;

    while ((sim_event = g_queue_pop_head (due)) != NULL)
      _run_sim_event (sim, sim_event);
    for (uint32_t i = 0; i < sim->member_count; i++) {
      VpEvent tick = { .kind = VP_EVENT_TICK };
      if (sim->cores[i] == NULL)
        continue;
      if (sim->now_ms % 2000 == i)
        _apply_vm_list (sim, i);
      if (vp_core_next_ms (sim->cores[i]) <= sim->now_ms || sim->now_ms % 500 == i)
        _apply (sim, i, &tick);
    }
  }
}

static GBytes *
_config_json (uint32_t team_count)
{
  GString *text = g_string_new ("{\"dcs\":[\"nadi\"],\"profiles\":[{\"name\":\"service\",\"kind\":"
                                "\"service\",\"priority\":90}],\"teams\":[");

  for (uint32_t i = 0; i < team_count; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"t%u\",\"share\":1,\"queue_max\":1000000,\"limit\":{\"cpu_"
        "milli\":100000000,\"mem_mib\":1000000000,\"accel_count\":0}}",
        i > 0 ? "," : "", i);
  g_string_append (text, "],\"keys\":[");
  for (uint32_t i = 0; i < team_count; i++) {
    char digest[65], key[16];
    g_snprintf (key, sizeof key, "k%u", i);
    vp_config_key_digest (key, digest);
    g_string_append_printf (text, "%s{\"sha256\":\"%s\",\"team\":\"t%u\",\"note\":\"\"}",
                            i > 0 ? "," : "", digest, i);
  }
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

static void
_submit_config (Sim *sim, uint32_t team_count)
{
  VpEvent event = { .kind = VP_EVENT_REQUEST, .handle = ++sim->next_work };
  uint64_t before = sim->revision;

  event.request = vp_request_new (VP_OP_CONFIG_PUT);
  g_strlcpy (event.request->key, "operator", sizeof event.request->key);
  event.request->revision = before;
  event.request->payload = _config_json (team_count);
  _apply (sim, 0, &event);
  for (int i = 0; i < 100 && sim->revision == before; i++)
    _run_for (sim, 100);
  g_assert_cmpuint (sim->revision, >, before);
}

/* Submits one service call. With a @run_ms of 0 its task never ends and the caller doesn't wait. */
static void
_submit (Sim *sim, int64_t run_ms, bool is_durable, int64_t cpu_milli)
{
  VpEvent event = { .kind = VP_EVENT_REQUEST, .handle = ++sim->next_work };
  VpRequest *request = event.request = vp_request_new (VP_OP_SUBMIT);
  g_autofree char *payload = g_strdup_printf ("%d and some payload of a call", (int)run_ms);

  g_snprintf (request->key, sizeof request->key, "k%u", (guint)(sim->next_work % TEAM_COUNT));
  g_snprintf (request->team, sizeof request->team, "t%u", (guint)(sim->next_work % TEAM_COUNT));
  g_strlcpy (request->profile, "service", sizeof request->profile);
  if (is_durable)
    g_snprintf (request->identity, sizeof request->identity, "id-%u", (guint)sim->next_work);
  request->size = (VpResources){ .cpu_milli = cpu_milli, .mem_mib = 256 };
  request->task_count = 1;
  request->is_repeatable = !is_durable;
  request->is_wait_given = true;
  request->is_waiting = run_ms > 0;
  request->payload = g_bytes_new (payload, strlen (payload) + 1);
  _apply (sim, 0, &event);
}

static void
_setup_member (Sim *sim, uint32_t index)
{
  g_autoptr (GString) json = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  char digest[65];

  vp_config_key_digest ("operator", digest);
  g_string_printf (
      json,
      "{\"name\":\"%s-%u\",\"dc\":\"%s\",\"operators\":[{\"name\":\"op\",\"key_sha256\":"
      "\"%s\"}],\"store_addresses\":[\"127.0.0.1:1\"],\"vmlist_address\":"
      "\"127.0.0.1:2\",\"pending_max\":100000,\"members\":[",
      dcs[index / 2], index % 2 + 1, dcs[index / 2], digest);
  for (uint32_t i = 0; i < sim->member_count; i++)
    g_string_append_printf (
        json,
        "%s{\"name\":\"%s-%u\",\"dc\":\"%s\",\"peer_address\":\"127.0.1.%u:9000\""
        ",\"http_address\":\"127.0.1.%u:8000\"}",
        i > 0 ? "," : "", dcs[i / 2], i % 2 + 1, dcs[i / 2], i + 1, i + 1);
  g_string_append (json, "]}");
  if (!vp_settings_parse (&sim->settings[index], json->str, json->len, &error))
    g_error ("settings: %s", error->message);
}

static Sim *
_sim_new (uint32_t member_count, uint32_t worker_count, uint32_t team_count)
{
  Sim *sim = g_new0 (Sim, 1);

  sim->member_count = member_count;
  sim->worker_count = worker_count;
  sim->now_ms = 1000000;
  sim->store = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _store_value_free);
  sim->watches = g_ptr_array_new ();
  /* Allocated for the maximum number of workers, so that it doesn't count as memory per worker. */
  for (uint32_t i = 0; i < WORKERS_MAX; i++)
    sim->workers[i].ended = g_array_sized_new (FALSE, FALSE, sizeof (VpWorkerEnded), 64);
  for (uint32_t i = 0; i < worker_count; i++) {
    VpVm *vm = &sim->workers[i].vm;
    *vm = (VpVm){ .size = { 32000, 131072, 0 }, .slot_count = TASKS_MAX, .generation = 1 };
    g_snprintf (vm->name, sizeof vm->name, "w%04u", i);
    g_snprintf (vm->address, sizeof vm->address, "127.0.2.1:%u", 7000 + i);
    g_snprintf (vm->rack, sizeof vm->rack, "r%u", i / 8);
    g_strlcpy (vm->dc, "nadi", sizeof vm->dc);
    vm->connection_count = 64;
    sim->workers[i].sequence = 1;
  }
  for (uint32_t i = 0; i < member_count; i++)
    _setup_member (sim, i);
  /* Member 0 starts alone first, so that it becomes the owner of the DC. */
  for (uint32_t i = 0; i < member_count; i++) {
    sim->cores[i] = vp_core_setup (&(VpCoreDesc){ .settings = &sim->settings[i], .boot = 1 });
    if (i == 0)
      _run_for (sim, 3000);
  }
  _run_for (sim, 5000);
  _submit_config (sim, team_count);
  _run_for (sim, 5000);
  return sim;
}

static void
_sim_free (Sim *sim)
{
  for (uint32_t i = 0; i < RING_SIZE_MS; i++) {
    SimEvent *sim_event;
    while ((sim_event = g_queue_pop_head (&sim->ring[i])) != NULL) {
      if (sim_event->kind == SIM_TO_MEMBER)
        vp_event_clear (&sim_event->event);
      g_clear_pointer (&sim_event->store.value, g_bytes_unref);
      g_clear_pointer (&sim_event->op.payload, g_bytes_unref);
      g_free (sim_event);
    }
  }
  for (uint32_t i = 0; i < sim->member_count; i++) {
    vp_core_shutdown (sim->cores[i]);
    vp_settings_shutdown (&sim->settings[i]);
  }
  for (uint32_t i = 0; i < WORKERS_MAX; i++) {
    _worker_ack (sim, i, UINT64_MAX);
    g_array_unref (sim->workers[i].ended);
  }
  g_hash_table_unref (sim->store);
  g_ptr_array_unref (sim->watches);
  g_free (sim);
}

static void
_start_tasks (Sim *sim, uint32_t task_count)
{
  uint64_t before = sim->counts.starts;

  for (uint32_t i = 0; i < task_count; i++) {
    _submit (sim, 0, false, 500);
    if (i % 20 == 19)
      _run_for (sim, 20);
  }
  _run_for (sim, 5000);
  if (sim->counts.starts - before != task_count)
    g_error ("started %u of %u tasks", (guint)(sim->counts.starts - before), task_count);
}

/* Fits a line to y over x by least squares and returns its slope. */
static double
_slope (const double *x, const double *y, int count, double *constant)
{
  double mean_x = 0.0, mean_y = 0.0, numerator = 0.0, denominator = 0.0;

  for (int i = 0; i < count; i++) {
    mean_x += x[i] / count;
    mean_y += y[i] / count;
  }
  for (int i = 0; i < count; i++) {
    numerator += (x[i] - mean_x) * (y[i] - mean_y);
    denominator += (x[i] - mean_x) * (x[i] - mean_x);
  }
  *constant = mean_y - mean_x * numerator / denominator;
  return numerator / denominator;
}

/* Submits @starts_per_s calls per second for WINDOW_S, every @durable_every-th of them not
 * repeatable (0: none), and returns the costs in this time. */
static Counts
_count_window (Sim *sim, uint32_t starts_per_s, uint32_t durable_every)
{
  Counts counts;

  memset (&sim->counts, 0, sizeof sim->counts);
  for (uint32_t ms = 0, sent = 0; ms < WINDOW_S * 1000; ms++) {
    for (; sent < ms * starts_per_s / 1000; sent++)
      _submit (sim, CALL_RUN_MS, durable_every > 0 && sent % durable_every == 0, 500);
    _run_for (sim, 1);
  }
  counts = sim->counts;
  _run_for (sim, 5000);
  return counts;
}

static void
_print_at (const char *measure, uint32_t workers, double value, const char *unit)
{
  g_autofree char *name = g_strdup_printf ("%s_%u_workers", measure, workers);

  _print (name, value, unit);
}

typedef struct {
  double workers, report_us, renewal_us, heartbeat_us, start_us, start_peer_bytes, config_us;
  double idle_us_per_s;
} SizeResult;

static void
_measure_config (Sim *sim, SizeResult *size)
{
  Counts idle, changed;

  memset (&sim->counts, 0, sizeof sim->counts);
  _run_for (sim, 10000);
  idle = sim->counts;
  memset (&sim->counts, 0, sizeof sim->counts);
  for (int i = 0; i < 10; i++) {
    int64_t start_ms = sim->now_ms;
    _submit_config (sim, TEAM_COUNT);
    _run_for (sim, 1000 - (sim->now_ms - start_ms));
  }
  changed = sim->counts;
  size->config_us = (double)(changed.all_ns - idle.all_ns) / 1e4;
  _print_at ("config_peer_messages", (uint32_t)size->workers,
             ((double)changed.peer_messages - (double)idle.peer_messages) / 10.0,
             "messages/change");
  _print_at ("config_peer_bytes", (uint32_t)size->workers,
             ((double)changed.peer_bytes - (double)idle.peer_bytes) / 10.0, "bytes/change");
  _print_at ("config_store_writes", (uint32_t)size->workers,
             ((double)changed.writes - (double)idle.writes) / 10.0, "writes/change");
}

static void
_measure_size (SizeResult *size)
{
  static const uint32_t rates[] = { 0, 20, PEAK_STARTS_PER_S, 120 };
  const int count = G_N_ELEMENTS (rates);
  uint32_t workers = (uint32_t)size->workers;
  Sim *sim = _sim_new (12, workers, TEAM_COUNT);
  double starts[4], cpu[4], bytes[4], constant;
  Counts counts;

  _start_tasks (sim, workers * 24);
  _run_for (sim, 60000);
  for (int i = 0; i < count; i++) {
    counts = _count_window (sim, rates[i], 0);
    starts[i] = (double)counts.starts;
    cpu[i] = (double)counts.all_ns / 1000.0;
    bytes[i] = (double)counts.peer_bytes;
    if (rates[i] == 0) {
      size->report_us = (double)counts.event_ns[VP_EVENT_WORKER_REPORT] / 1e3
                        / (double)MAX (1, counts.events[VP_EVENT_WORKER_REPORT]);
      size->renewal_us = (double)(counts.renewal_ns) / 1e3 / (double)MAX (1, counts.renewals);
      size->heartbeat_us = (double)counts.heartbeat_ns / 1e3 / (double)MAX (1, counts.heartbeats);
      size->idle_us_per_s = cpu[i] / WINDOW_S;
      _print_at ("idle_reducer", workers, cpu[i] / WINDOW_S, "us/s");
      _print_at ("idle_tick", workers, (double)counts.event_ns[VP_EVENT_TICK] / 1e3 / WINDOW_S,
                 "us/s");
      _print_at ("idle_ticks", workers, (double)counts.events[VP_EVENT_TICK] / WINDOW_S, "1/s");
      _print_at ("idle_renewals", workers, (double)counts.renewals / WINDOW_S, "1/s");
      _print_at ("idle_reports", workers, (double)counts.events[VP_EVENT_WORKER_REPORT] / WINDOW_S,
                 "1/s");
      _print_at ("idle_peer_bytes", workers, bytes[i] / WINDOW_S, "bytes/s");
      _print_at ("idle_peer_messages", workers, (double)counts.peer_messages / WINDOW_S, "1/s");
    }
  }
  size->start_us = _slope (starts, cpu, count, &constant);
  size->start_peer_bytes = _slope (starts, bytes, count, &constant);
  _measure_config (sim, size);
  _print_at ("reducer_per_start", workers, size->start_us, "us");
  _print_at ("reducer_per_heartbeat", workers, size->heartbeat_us, "us");
  _print_at ("reducer_per_report", workers, size->report_us, "us");
  _print_at ("reducer_per_renewal", workers, size->renewal_us, "us");
  _print_at ("reducer_per_config_change", workers, size->config_us, "us");
  _sim_free (sim);
}

static void
_measure_slopes (void)
{
  SizeResult sizes[]
      = { { .workers = 17 }, { .workers = 50 }, { .workers = 137 }, { .workers = 400 } };
  double x[4], start[4], idle[4], report[4], constant;

  for (int i = 0; i < 4; i++) {
    _measure_size (&sizes[i]);
    x[i] = sizes[i].workers;
    start[i] = sizes[i].start_us;
    idle[i] = sizes[i].idle_us_per_s;
    report[i] = sizes[i].report_us;
  }
  _print ("reducer_per_start_by_worker", _slope (x, start, 4, &constant), "us/worker");
  _print ("reducer_per_start_constant", constant, "us");
  _print ("reducer_per_report_by_worker", _slope (x, report, 4, &constant), "us/worker");
  _print ("idle_reducer_by_worker", _slope (x, idle, 4, &constant), "us/s/worker");
  _print ("idle_reducer_constant", constant, "us/s");
}

/* Measures the store calls of the owner of an idle DC, and of a DC at the peak of starts that is
 * expected in two years. */
static void
_measure_store (void)
{
  static const uint32_t durable_intervals[] = { 0, 10, DURABLE_EVERY, 1 };
  Sim *sim = _sim_new (12, 137, TEAM_COUNT);
  Counts counts;

  _run_for (sim, 30000);
  counts = _count_window (sim, 0, 0);
  _print ("store_idle_calls_owner",
          (double)(counts.reads + counts.writes + counts.watches) / WINDOW_S, "1/s");
  _print ("store_idle_calls_standby", (double)counts.standby_calls / WINDOW_S, "1/s");
  _print ("store_idle_calls",
          (double)(counts.reads + counts.writes + counts.watches + counts.standby_calls) / 2.0
              / WINDOW_S,
          "1/s");
  _print ("store_idle_writes_owner", (double)counts.writes / WINDOW_S, "1/s");
  _print ("store_idle_reads_owner", (double)counts.reads / WINDOW_S, "1/s");
  _print ("store_idle_watches_owner", (double)counts.watches / WINDOW_S, "1/s");
  for (guint i = 0; i < G_N_ELEMENTS (durable_intervals); i++) {
    g_autofree char *name = NULL;
    counts = _count_window (sim, PEAK_STARTS_PER_S, durable_intervals[i]);
    name = g_strdup_printf ("store_writes_per_1000_starts%s%s",
                            durable_intervals[i] == DURABLE_EVERY ? "" : "_durable_",
                            durable_intervals[i] == DURABLE_EVERY ? ""
                            : durable_intervals[i] == 0           ? "none"
                            : durable_intervals[i] == 1           ? "all"
                                                                  : "tenth");
    _print (name, 1000.0 * (double)counts.writes / (double)counts.starts, "writes");
    if (durable_intervals[i] == DURABLE_EVERY) {
      _print ("store_reads_per_1000_starts", 1000.0 * (double)counts.reads / (double)counts.starts,
              "reads");
      _print ("store_write_bytes_peak", (double)counts.write_bytes / WINDOW_S, "bytes/s");
    }
  }
  _sim_free (sim);
}

/* Returns the heap bytes of a simulation with one member, which include one pending poll per
 * worker. */
static double
_heap_bytes (uint32_t workers,
             uint32_t teams,
             uint32_t tasks,
             uint32_t queued,
             uint32_t waiting_calls)
{
  double before = (double)mallinfo2 ().uordblks, after;
  Sim *sim = _sim_new (1, workers, teams);

  if (tasks > 0)
    _start_tasks (sim, tasks);
  for (uint32_t i = 0; i < queued; i++) {
    _submit (sim, 0, false, 32000); /* needs an empty worker, so it stays queued */
    if (i % 20 == 19)
      _run_for (sim, 20);
  }
  for (uint32_t i = 0; i < waiting_calls; i++) {
    _submit (sim, CALL_RUN_MS, false, 32000);
    if (i % 20 == 19)
      _run_for (sim, 20);
  }
  _run_for (sim, 6000);
  after = (double)mallinfo2 ().uordblks;
  _sim_free (sim);
  return after - before;
}

static void
_measure_memory (void)
{
  double base;

  _heap_bytes (50, TEAM_COUNT, 400, 0, 0); /* not measured: libraries allocate memory once */
  base = _heap_bytes (50, TEAM_COUNT, 400, 0, 0);
  _print ("reducer_bytes_per_worker",
          (_heap_bytes (400, TEAM_COUNT, 400, 0, 0) - base) / 350.0 - (double)sizeof (SimEvent),
          "bytes");
  _print ("reducer_bytes_per_task", (_heap_bytes (50, TEAM_COUNT, 1600, 0, 0) - base) / 1200.0,
          "bytes");
  _print ("reducer_bytes_per_queued", (_heap_bytes (50, TEAM_COUNT, 400, 1000, 0) - base) / 1000.0,
          "bytes");
  _print ("reducer_bytes_per_held", (_heap_bytes (50, TEAM_COUNT, 400, 0, 1000) - base) / 1000.0,
          "bytes");
  _print ("reducer_bytes_per_team",
          (_heap_bytes (50, TEAM_COUNT * 4, 400, 0, 0) - base) / (3.0 * 43.0), "bytes");
}

int
main (void)
{
  _measure_store ();
  _measure_memory ();
  _measure_slopes ();
  return 0;
}
