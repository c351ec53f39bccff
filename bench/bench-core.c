/* Cost of one entry process's reducer, which owns a DC: processor time, messages and store calls
 * per start, heartbeat, worker report, renewal and configuration change, and memory.
 *
 *   bench-core             prints one JSON object {"measure","value","unit"} a line
 *
 * Reducers of all members run in simulated time on an in-memory store; the time of member 0 only is
 * measured, with this process's clock. Slopes are fitted by least squares over the sizes.
 */
#include "vp-config.h"
#include "vp-core.h"
#include "vp-msg.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define RING_MS      32768 /* longest delay of a simulated event */
#define WORKERS_MAX  400
#define TASKS_MAX    64
#define POLL_MS      10000 /* as vp-poller.c asks */
#define DELAY_MS     1
#define CALL_MS      100 /* run time of a service call */
#define TEAM_COUNT   43
#define PEAK_STARTS  58 /* starts/s of one owner in two years: 350 over 6 DCs */
#define WINDOW_S     20
#define DURABLE_PART 5 /* one start of so many may not be repeated, so has durable records */

typedef enum { TO_MEMBER, TO_STORE, TO_WORKER, POLL, TASK_END, WATCH_END } ItemKind;

typedef struct {
  ItemKind kind;
  uint32_t member, worker;
  int64_t sent_ms, due_ms;
  uint64_t generation; /* POLL */
  VpEvent event;
  VpStoreOp store;
  VpWorkerOp op;
} Item;

typedef struct {
  char key[VP_STORE_KEY_MAX];
  uint64_t version, lease;
  GBytes *value;
} Value;

typedef struct {
  VpVm vm;
  VpWorkerTask tasks[TASKS_MAX];
  uint32_t task_count;
  uint64_t sequence, seen;
  GArray *ended; /* VpWorkerEnded */
  bool is_attached;
  uint64_t generation;
} Worker;

/* Of member 0. */
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
  GQueue ring[RING_MS];
  GHashTable *store;
  GPtrArray *watches; /* Item */
  uint64_t next_version, next_work, revision;
  int64_t now_ms;
  Counts counts;
} World;

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

static Item *
_at (World *w, ItemKind kind, uint32_t member, int64_t delay_ms)
{
  Item *item = g_new0 (Item, 1);

  item->kind = kind;
  item->member = member;
  item->sent_ms = w->now_ms;
  item->due_ms = w->now_ms + MIN (MAX (delay_ms, 1), RING_MS - 1);
  g_queue_push_tail (&w->ring[item->due_ms % RING_MS], item);
  return item;
}

static void
_value_free (gpointer data)
{
  g_bytes_unref (((Value *)data)->value);
  g_free (data);
}

static void
_store_reply (World *w, const Item *call, VpStoreStatus status, const Value *value, uint64_t lease)
{
  VpEvent *event = &_at (w, TO_MEMBER, call->member, DELAY_MS)->event;
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
_store_write (World *w, const VpStoreOp *op, Value **value)
{
  if ((*value != NULL ? (*value)->version : 0) != op->version)
    return VP_STORE_CONFLICT;
  if (op->kind == VP_STORE_DELETE) {
    g_hash_table_remove (w->store, op->key);
    *value = NULL;
    return VP_STORE_OK;
  }
  *value = g_new0 (Value, 1);
  memcpy ((*value)->key, op->key, sizeof op->key);
  (*value)->version = ++w->next_version;
  (*value)->value = g_bytes_ref (op->value);
  g_hash_table_replace (w->store, (*value)->key, *value);
  for (guint i = w->watches->len; i-- > 0;) {
    Item *watch = g_ptr_array_index (w->watches, i);
    if (strcmp (watch->store.key, op->key) != 0)
      continue;
    _store_reply (w, watch, VP_STORE_OK, *value, 0);
    watch->member = VP_MEMBERS_MAX; /* answered; freed at its time-out */
    g_ptr_array_remove_index_fast (w->watches, i);
  }
  return VP_STORE_OK;
}

/* Takes the item over if it is a watch that waits. */
static bool
_store_exec (World *w, Item *call)
{
  const VpStoreOp *op = &call->store;
  Value *value = g_hash_table_lookup (w->store, op->key);
  VpStoreStatus status = value != NULL ? VP_STORE_OK : VP_STORE_NOT_FOUND;
  uint64_t lease = op->lease;

  if (op->kind == VP_STORE_WATCH && (value != NULL ? value->version : 0) == op->version) {
    call->kind = WATCH_END;
    call->due_ms = w->now_ms + MIN (op->timeout_ms, RING_MS - 1);
    g_queue_push_tail (&w->ring[call->due_ms % RING_MS], call);
    g_ptr_array_add (w->watches, call);
    return true;
  }
  if (op->kind == VP_STORE_CAS || op->kind == VP_STORE_DELETE)
    status = _store_write (w, op, &value);
  else if (op->kind >= VP_STORE_LEASE_GRANT)
    status = VP_STORE_OK; /* no member dies here, so leases never end */
  if (op->kind == VP_STORE_LEASE_GRANT)
    lease = ++w->next_version;
  _store_reply (w, call, status, value, lease);
  return false;
}

static void
_worker_report (World *w, uint32_t index)
{
  Worker *worker = &w->workers[index];
  VpEvent *event = &_at (w, TO_MEMBER, 0, DELAY_MS)->event;
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

/* A poll waits for an ended task; the next one leaves when it was answered. */
static void
_worker_poll (World *w, uint32_t index, bool is_timeout, uint64_t generation)
{
  Worker *worker = &w->workers[index];
  Item *item;

  if (!worker->is_attached || (is_timeout && generation != worker->generation))
    return;
  if (is_timeout || worker->seen < worker->sequence || worker->seen == 0) {
    _worker_report (w, index);
    worker->seen = MAX (worker->seen, 1);
  }
  item = _at (w, POLL, 0, POLL_MS);
  item->worker = index;
  item->generation = ++worker->generation;
}

static void
_worker_command (World *w, Item *item)
{
  Worker *worker = &w->workers[item->worker];
  VpEvent *event = &_at (w, TO_MEMBER, 0, DELAY_MS)->event;
  const VpWorkerOp *op = &item->op;
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
    Item *end = _at (w, TASK_END, 0, run_ms);
    end->worker = item->worker;
    end->op.attempt = op->attempt;
  }
}

static void
_task_end (World *w, const Item *item)
{
  Worker *worker = &w->workers[item->worker];

  for (uint32_t i = 0; i < worker->task_count; i++) {
    VpWorkerTask *task = &worker->tasks[i];
    VpWorkerEnded ended = { .attempt = task->attempt, .end = VP_END_DONE };
    if (!vp_attempt_equal (&task->attempt, &item->op.attempt))
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
  _worker_poll (w, item->worker, false, 0);
}

static void
_worker_ack (World *w, uint32_t index, uint64_t sequence)
{
  GArray *ended = w->workers[index].ended;

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
_send_peer (World *w, uint32_t from, const char *to, const VpPeerMessage *message)
{
  g_autoptr (GBytes) wire = vp_msg_encode (message);

  w->counts.peer_messages += from == 0;
  w->counts.peer_bytes += from == 0 ? g_bytes_get_size (wire) : 0;
  for (uint32_t i = 0; i < w->member_count; i++) {
    if (strcmp (w->settings[i].name, to) == 0 && w->cores[i] != NULL) {
      VpEvent *event = &_at (w, TO_MEMBER, i, DELAY_MS)->event;
      event->kind = VP_EVENT_PEER;
      g_assert_true (vp_msg_decode (wire, &event->peer));
    }
  }
}

static void
_send_store (World *w, uint32_t member, const VpStoreOp *op)
{
  Item *item = _at (w, TO_STORE, member, DELAY_MS);

  item->store = *op;
  if (op->value != NULL)
    g_bytes_ref (op->value);
  w->counts.standby_calls += member == 1;
  if (member != 0)
    return;
  w->counts.reads += op->kind == VP_STORE_GET;
  w->counts.watches += op->kind == VP_STORE_WATCH;
  w->counts.writes += op->kind != VP_STORE_GET && op->kind != VP_STORE_WATCH;
  w->counts.write_bytes += op->value != NULL ? g_bytes_get_size (op->value) : 0;
}

static void
_carry_out (World *w, uint32_t member, const VpEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++) {
    const VpEffect *effect = &effects->items[i];
    if (effect->kind == VP_EFFECT_STORE) {
      _send_store (w, member, &effect->store);
    } else if (effect->kind == VP_EFFECT_PEER) {
      _send_peer (w, member, effect->peer.peer, &effect->peer.message);
    } else if (effect->kind == VP_EFFECT_WORKER) {
      Item *item = _at (w, TO_WORKER, member, DELAY_MS);
      item->op = effect->worker;
      item->worker = _worker_index (effect->worker.worker);
      if (effect->worker.payload != NULL)
        g_bytes_ref (effect->worker.payload);
      w->counts.starts += effect->worker.kind == VP_WORKER_START;
    } else if (effect->kind == VP_EFFECT_WORKER_ATTACH) {
      uint32_t index = _worker_index (effect->attach.worker);
      w->workers[index].is_attached = true;
      _worker_poll (w, index, false, 0);
    } else if (effect->kind == VP_EFFECT_WORKER_ACK) {
      w->counts.acks++;
      _worker_ack (w, _worker_index (effect->attach.worker), effect->attach.sequence);
    } else if (effect->kind == VP_EFFECT_REPLY && member == 0) {
      w->counts.replies++;
    } else if (effect->kind == VP_EFFECT_CONFIG) {
      w->revision = MAX (w->revision, effect->config->revision);
    }
  }
}

static void
_apply (World *w, uint32_t member, VpEvent *event)
{
  bool is_heartbeat = event->kind == VP_EVENT_PEER && event->peer.kind == VP_PEER_HEARTBEAT;
  bool is_renewal = event->kind == VP_EVENT_WORKER_RESULT && event->worker.kind == VP_WORKER_RENEW;
  VpEventKind kind = event->kind;
  VpEffects effects = { 0 };
  int64_t took_ns = _clock_ns ();

  vp_core_apply (w->cores[member], event, w->now_ms, &effects);
  took_ns = _clock_ns () - took_ns;
  if (member == 0) {
    w->counts.all_ns += took_ns;
    w->counts.event_ns[kind] += took_ns;
    w->counts.events[kind]++;
    w->counts.heartbeat_ns += is_heartbeat ? took_ns : 0;
    w->counts.heartbeats += is_heartbeat;
    w->counts.renewal_ns += is_renewal ? took_ns : 0;
    w->counts.renewals += is_renewal;
  }
  _carry_out (w, member, &effects);
  vp_effects_free (&effects);
}

static void
_item_run (World *w, Item *item)
{
  switch (item->kind) {
  case TO_MEMBER:
    _apply (w, item->member, &item->event);
    break;
  case TO_STORE:
    if (_store_exec (w, item))
      return;
    break;
  case TO_WORKER:
    _worker_command (w, item);
    break;
  case POLL:
    _worker_poll (w, item->worker, true, item->generation);
    break;
  case TASK_END:
    _task_end (w, item);
    break;
  case WATCH_END:
    if (g_ptr_array_remove_fast (w->watches, item))
      _store_reply (w, item, VP_STORE_OK, g_hash_table_lookup (w->store, item->store.key), 0);
    break;
  }
  g_clear_pointer (&item->store.value, g_bytes_unref);
  g_clear_pointer (&item->op.payload, g_bytes_unref);
  g_free (item);
}

static void
_vm_list (World *w, uint32_t member)
{
  VpEvent event = { .kind = VP_EVENT_VM_LIST };

  event.vm_list.is_ok = true;
  event.vm_list.vms = g_array_new (FALSE, FALSE, sizeof (VpVm));
  for (uint32_t i = 0; i < w->worker_count; i++)
    g_array_append_val (event.vm_list.vms, w->workers[i].vm);
  _apply (w, member, &event);
}

static void
_run (World *w, int64_t span_ms)
{
  for (int64_t end_ms = w->now_ms + span_ms; w->now_ms < end_ms;) {
    GQueue *due = &w->ring[++w->now_ms % RING_MS];
    Item *item;

    while ((item = g_queue_pop_head (due)) != NULL)
      _item_run (w, item);
    for (uint32_t i = 0; i < w->member_count; i++) {
      VpEvent tick = { .kind = VP_EVENT_TICK };
      if (w->cores[i] == NULL)
        continue;
      if (w->now_ms % 2000 == i)
        _vm_list (w, i);
      if (vp_core_next_ms (w->cores[i]) <= w->now_ms || w->now_ms % 500 == i)
        _apply (w, i, &tick);
    }
  }
}

static GBytes *
_document (uint32_t team_count)
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
_configure (World *w, uint32_t team_count)
{
  VpEvent event = { .kind = VP_EVENT_REQUEST, .handle = ++w->next_work };
  uint64_t before = w->revision;

  event.request = vp_request_new (VP_OP_CONFIG_PUT);
  g_strlcpy (event.request->key, "operator", sizeof event.request->key);
  event.request->revision = before;
  event.request->payload = _document (team_count);
  _apply (w, 0, &event);
  for (int i = 0; i < 100 && w->revision == before; i++)
    _run (w, 100);
  g_assert_cmpuint (w->revision, >, before);
}

/* One service call; @run_ms 0: it runs on, and its caller does not wait. */
static void
_submit (World *w, int64_t run_ms, bool is_durable, int64_t cpu_milli)
{
  VpEvent event = { .kind = VP_EVENT_REQUEST, .handle = ++w->next_work };
  VpRequest *request = event.request = vp_request_new (VP_OP_SUBMIT);
  g_autofree char *payload = g_strdup_printf ("%d and some payload of a call", (int)run_ms);

  g_snprintf (request->key, sizeof request->key, "k%u", (guint)(w->next_work % TEAM_COUNT));
  g_snprintf (request->team, sizeof request->team, "t%u", (guint)(w->next_work % TEAM_COUNT));
  g_strlcpy (request->profile, "service", sizeof request->profile);
  if (is_durable)
    g_snprintf (request->identity, sizeof request->identity, "id-%u", (guint)w->next_work);
  request->size = (VpResources){ .cpu_milli = cpu_milli, .mem_mib = 256 };
  request->task_count = 1;
  request->is_repeatable = !is_durable;
  request->is_wait_given = true;
  request->is_waiting = run_ms > 0;
  request->payload = g_bytes_new (payload, strlen (payload) + 1);
  _apply (w, 0, &event);
}

static void
_setup_member (World *w, uint32_t index)
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
  for (uint32_t i = 0; i < w->member_count; i++)
    g_string_append_printf (
        json,
        "%s{\"name\":\"%s-%u\",\"dc\":\"%s\",\"peer_address\":\"127.0.1.%u:9000\""
        ",\"http_address\":\"127.0.1.%u:8000\"}",
        i > 0 ? "," : "", dcs[i / 2], i % 2 + 1, dcs[i / 2], i + 1, i + 1);
  g_string_append (json, "]}");
  if (!vp_settings_parse (&w->settings[index], json->str, json->len, &error))
    g_error ("settings: %s", error->message);
}

static World *
_world_new (uint32_t member_count, uint32_t worker_count, uint32_t team_count)
{
  World *w = g_new0 (World, 1);

  w->member_count = member_count;
  w->worker_count = worker_count;
  w->now_ms = 1000000;
  w->store = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _value_free);
  w->watches = g_ptr_array_new ();
  /* For all workers, so that it does not count as memory of one worker. */
  for (uint32_t i = 0; i < WORKERS_MAX; i++)
    w->workers[i].ended = g_array_sized_new (FALSE, FALSE, sizeof (VpWorkerEnded), 64);
  for (uint32_t i = 0; i < worker_count; i++) {
    VpVm *vm = &w->workers[i].vm;
    *vm = (VpVm){ .size = { 32000, 131072, 0 }, .slot_count = TASKS_MAX, .generation = 1 };
    g_snprintf (vm->name, sizeof vm->name, "w%04u", i);
    g_snprintf (vm->address, sizeof vm->address, "127.0.2.1:%u", 7000 + i);
    g_snprintf (vm->rack, sizeof vm->rack, "r%u", i / 8);
    g_strlcpy (vm->dc, "nadi", sizeof vm->dc);
    vm->connection_count = 64;
    w->workers[i].sequence = 1;
  }
  for (uint32_t i = 0; i < member_count; i++)
    _setup_member (w, i);
  /* Member 0 alone first, so that it owns the DC. */
  for (uint32_t i = 0; i < member_count; i++) {
    w->cores[i] = vp_core_setup (&(VpCoreDesc){ .settings = &w->settings[i], .boot = 1 });
    if (i == 0)
      _run (w, 3000);
  }
  _run (w, 5000);
  _configure (w, team_count);
  _run (w, 5000);
  return w;
}

static void
_world_free (World *w)
{
  for (uint32_t i = 0; i < RING_MS; i++) {
    Item *item;
    while ((item = g_queue_pop_head (&w->ring[i])) != NULL) {
      if (item->kind == TO_MEMBER)
        vp_event_clear (&item->event);
      g_clear_pointer (&item->store.value, g_bytes_unref);
      g_clear_pointer (&item->op.payload, g_bytes_unref);
      g_free (item);
    }
  }
  for (uint32_t i = 0; i < w->member_count; i++) {
    vp_core_shutdown (w->cores[i]);
    vp_settings_shutdown (&w->settings[i]);
  }
  for (uint32_t i = 0; i < WORKERS_MAX; i++) {
    _worker_ack (w, i, UINT64_MAX);
    g_array_unref (w->workers[i].ended);
  }
  g_hash_table_unref (w->store);
  g_ptr_array_unref (w->watches);
  g_free (w);
}

static void
_fill (World *w, uint32_t task_count)
{
  uint64_t before = w->counts.starts;

  for (uint32_t i = 0; i < task_count; i++) {
    _submit (w, 0, false, 500);
    if (i % 20 == 19)
      _run (w, 20);
  }
  _run (w, 5000);
  if (w->counts.starts - before != task_count)
    g_error ("%u of %u tasks were started", (guint)(w->counts.starts - before), task_count);
}

/* Slope and constant of y over x by least squares. */
static double
_slope (const double *x, const double *y, int count, double *constant)
{
  double mean_x = 0.0, mean_y = 0.0, up = 0.0, down = 0.0;

  for (int i = 0; i < count; i++) {
    mean_x += x[i] / count;
    mean_y += y[i] / count;
  }
  for (int i = 0; i < count; i++) {
    up += (x[i] - mean_x) * (y[i] - mean_y);
    down += (x[i] - mean_x) * (x[i] - mean_x);
  }
  *constant = mean_y - mean_x * up / down;
  return up / down;
}

/* Runs a window at @starts_per_s and gives what was counted in it. */
static Counts
_window (World *w, uint32_t starts_per_s, uint32_t durable_every)
{
  Counts counts;

  memset (&w->counts, 0, sizeof w->counts);
  for (uint32_t ms = 0, sent = 0; ms < WINDOW_S * 1000; ms++) {
    for (; sent < ms * starts_per_s / 1000; sent++)
      _submit (w, CALL_MS, durable_every > 0 && sent % durable_every == 0, 500);
    _run (w, 1);
  }
  counts = w->counts;
  _run (w, 5000);
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
} Size;

static void
_measure_config (World *w, Size *size)
{
  Counts idle, changed;

  memset (&w->counts, 0, sizeof w->counts);
  _run (w, 10000);
  idle = w->counts;
  memset (&w->counts, 0, sizeof w->counts);
  for (int i = 0; i < 10; i++) {
    int64_t start_ms = w->now_ms;
    _configure (w, TEAM_COUNT);
    _run (w, 1000 - (w->now_ms - start_ms));
  }
  changed = w->counts;
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
_measure_size (Size *size)
{
  static const uint32_t rates[] = { 0, 20, PEAK_STARTS, 120 };
  const int count = G_N_ELEMENTS (rates);
  uint32_t workers = (uint32_t)size->workers;
  World *w = _world_new (12, workers, TEAM_COUNT);
  double starts[4], cpu[4], bytes[4], constant;
  Counts c;

  _fill (w, workers * 24);
  _run (w, 60000);
  for (int i = 0; i < count; i++) {
    c = _window (w, rates[i], 0);
    starts[i] = (double)c.starts;
    cpu[i] = (double)c.all_ns / 1000.0;
    bytes[i] = (double)c.peer_bytes;
    if (rates[i] == 0) {
      size->report_us = (double)c.event_ns[VP_EVENT_WORKER_REPORT] / 1e3
                        / (double)MAX (1, c.events[VP_EVENT_WORKER_REPORT]);
      size->renewal_us = (double)(c.renewal_ns) / 1e3 / (double)MAX (1, c.renewals);
      size->heartbeat_us = (double)c.heartbeat_ns / 1e3 / (double)MAX (1, c.heartbeats);
      size->idle_us_per_s = cpu[i] / WINDOW_S;
      _print_at ("idle_reducer", workers, cpu[i] / WINDOW_S, "us/s");
      _print_at ("idle_tick", workers, (double)c.event_ns[VP_EVENT_TICK] / 1e3 / WINDOW_S, "us/s");
      _print_at ("idle_ticks", workers, (double)c.events[VP_EVENT_TICK] / WINDOW_S, "1/s");
      _print_at ("idle_renewals", workers, (double)c.renewals / WINDOW_S, "1/s");
      _print_at ("idle_reports", workers, (double)c.events[VP_EVENT_WORKER_REPORT] / WINDOW_S,
                 "1/s");
      _print_at ("idle_peer_bytes", workers, bytes[i] / WINDOW_S, "bytes/s");
      _print_at ("idle_peer_messages", workers, (double)c.peer_messages / WINDOW_S, "1/s");
    }
  }
  size->start_us = _slope (starts, cpu, count, &constant);
  size->start_peer_bytes = _slope (starts, bytes, count, &constant);
  _measure_config (w, size);
  _print_at ("reducer_per_start", workers, size->start_us, "us");
  _print_at ("reducer_per_heartbeat", workers, size->heartbeat_us, "us");
  _print_at ("reducer_per_report", workers, size->report_us, "us");
  _print_at ("reducer_per_renewal", workers, size->renewal_us, "us");
  _print_at ("reducer_per_config_change", workers, size->config_us, "us");
  _world_free (w);
}

static void
_measure_slopes (void)
{
  Size sizes[] = { { .workers = 17 }, { .workers = 50 }, { .workers = 137 }, { .workers = 400 } };
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

/* Store calls of the owner of a DC at its peak of two years, and of an idle DC. */
static void
_measure_store (void)
{
  static const uint32_t every[] = { 0, 10, DURABLE_PART, 1 };
  World *w = _world_new (12, 137, TEAM_COUNT);
  Counts c;

  _run (w, 30000);
  c = _window (w, 0, 0);
  _print ("store_idle_calls_owner", (double)(c.reads + c.writes + c.watches) / WINDOW_S, "1/s");
  _print ("store_idle_calls_standby", (double)c.standby_calls / WINDOW_S, "1/s");
  _print ("store_idle_calls",
          (double)(c.reads + c.writes + c.watches + c.standby_calls) / 2.0 / WINDOW_S, "1/s");
  _print ("store_idle_writes_owner", (double)c.writes / WINDOW_S, "1/s");
  _print ("store_idle_reads_owner", (double)c.reads / WINDOW_S, "1/s");
  _print ("store_idle_watches_owner", (double)c.watches / WINDOW_S, "1/s");
  for (guint i = 0; i < G_N_ELEMENTS (every); i++) {
    g_autofree char *name = NULL;
    c = _window (w, PEAK_STARTS, every[i]);
    name = g_strdup_printf ("store_writes_per_1000_starts%s%s",
                            every[i] == DURABLE_PART ? "" : "_durable_",
                            every[i] == DURABLE_PART ? ""
                            : every[i] == 0          ? "none"
                            : every[i] == 1          ? "all"
                                                     : "tenth");
    _print (name, 1000.0 * (double)c.writes / (double)c.starts, "writes");
    if (every[i] == DURABLE_PART) {
      _print ("store_reads_per_1000_starts", 1000.0 * (double)c.reads / (double)c.starts, "reads");
      _print ("store_write_bytes_peak", (double)c.write_bytes / WINDOW_S, "bytes/s");
    }
  }
  _world_free (w);
}

/* Heap of the process with one member. A waiting poll of each worker is counted with it. */
static double
_heap (uint32_t workers, uint32_t teams, uint32_t tasks, uint32_t queued, uint32_t held)
{
  double before = (double)mallinfo2 ().uordblks, after;
  World *w = _world_new (1, workers, teams);

  if (tasks > 0)
    _fill (w, tasks);
  for (uint32_t i = 0; i < queued; i++) {
    _submit (w, 0, false, 32000); /* fits no worker that runs anything */
    if (i % 20 == 19)
      _run (w, 20);
  }
  for (uint32_t i = 0; i < held; i++) {
    _submit (w, CALL_MS, false, 32000);
    if (i % 20 == 19)
      _run (w, 20);
  }
  _run (w, 6000);
  after = (double)mallinfo2 ().uordblks;
  _world_free (w);
  return after - before;
}

static void
_measure_memory (void)
{
  double base;

  _heap (50, TEAM_COUNT, 400, 0, 0); /* what the libraries allocate once */
  base = _heap (50, TEAM_COUNT, 400, 0, 0);
  _print ("reducer_bytes_per_worker",
          (_heap (400, TEAM_COUNT, 400, 0, 0) - base) / 350.0 - (double)sizeof (Item), "bytes");
  _print ("reducer_bytes_per_task", (_heap (50, TEAM_COUNT, 1600, 0, 0) - base) / 1200.0, "bytes");
  _print ("reducer_bytes_per_queued", (_heap (50, TEAM_COUNT, 400, 1000, 0) - base) / 1000.0,
          "bytes");
  _print ("reducer_bytes_per_held", (_heap (50, TEAM_COUNT, 400, 0, 1000) - base) / 1000.0,
          "bytes");
  _print ("reducer_bytes_per_team", (_heap (50, TEAM_COUNT * 4, 400, 0, 0) - base) / (3.0 * 43.0),
          "bytes");
}

int
main (void)
{
  _measure_store ();
  _measure_memory ();
  _measure_slopes ();
  return 0;
}
