/* Simulation of several entry processes for the tests of vp-config-sync.
 *
 *   g_autoptr (Sim) sim = _sim_ready (seed);
 *   sim->is_outage = true;
 *   _run (sim, 5000);
 *   const VpConfigSyncOutcome *outcome = _await (sim, _submit (sim, 0, 1, 1u << 2));
 */
#pragma once

#include "vp-config-sync.h"

#include <string.h>

/* Six members in three DCs exchange simulated messages and use a simulated store. Time advances in
 * steps, and all random numbers come from the seed. */
enum {
  MEMBERS = 6,
  KEYS = 6,
  STEP_MS = 10,
  CHECK_MS = 50, /* interval between checks of a member's keys */
  KEY_TRUST_MS = 3000,
  HEARTBEAT_MS = 500,
  CHANGES_MAX = 2000,
};

static const char *const names[MEMBERS] = { "a-1", "a-2", "b-1", "b-2", "c-1", "c-2" };

typedef enum { EVENT_MESSAGE, EVENT_STORE, EVENT_RESULT } EventKind;

typedef struct {
  EventKind kind;
  int64_t at_ms;
  uint32_t node;
  uint64_t boot;
  VpPeerMessage message;
  VpStoreOp op;
  VpStoreResult result;
  int64_t expires_ms; /* STORE: the caller gets an unknown result then; a watch returns then */
  bool is_answered;   /* STORE: the caller has its result */
} Event;

typedef struct {
  VpConfigSync *sync;
  uint64_t boot;
  uint64_t revision; /* as last checked */
  int64_t paused_until_ms;
  bool has_store; /* can reach the store */
  uint32_t group; /* messages reach only nodes of the same group */
} Node;

typedef struct {
  char key[32];
  uint64_t version;
  GBytes *value;
  /* Value and version before the last write, returned by stale reads. */
  GBytes *previous;
  uint64_t previous_version;
} Value;

typedef struct {
  GRand *rand;
  int64_t now_ms;
  Node nodes[MEMBERS];
  GQueue events; /* Event*, not sorted by time; due events run in order of insertion */
  Value values[2];
  uint64_t last_version;
  bool is_outage; /* nobody reaches the store */
  bool is_stale;  /* reads return the previous value */
  uint32_t message_loss_permille;
  uint32_t delayed_permille;     /* messages and store calls that take up to 4 s */
  uint32_t lost_answer_permille; /* answers of the store */
  int64_t write_delay_ms;        /* added to the time that a write takes to the store */
  uint32_t heartbeat_only_node;  /* receives no other messages; MEMBERS: no such node */
  uint32_t lose_write_answers;   /* number of next writes whose answers are lost */
  uint32_t calls[4];             /* store calls by kind GET, CAS, unused, WATCH */
  /* Time of acceptance, keys as bits, and document number of each revision. */
  int64_t accepted_ms[CHANGES_MAX];
  uint32_t keys[CHANGES_MAX];
  uint64_t document_ids[CHANGES_MAX];
  uint64_t revision;
  uint64_t next_document_id;
  uint32_t expected_keys; /* accepted by all at the end of a run with random faults */
  GArray *outcomes;
} Sim;

static const char *
_key (uint32_t index)
{
  static const char *const keys[KEYS] = { "k0", "k1", "k2", "k3", "k4", "k5" };

  return keys[index];
}

/* A document with the keys of @bits. @document_id, stored in a note, makes each document unique. */
static GBytes *
_document (uint32_t bits, uint64_t document_id)
{
  GString *text = g_string_new ("{\"dcs\":[\"a\",\"b\",\"c\"],\"profiles\":[],\"teams\":[{\"name\":"
                                "\"t\",\"limit\":{\"cpu_milli\":1,\"mem_mib\":1}}],\"keys\":[");
  char digest[65];

  vp_config_key_digest ("none", digest);
  g_string_append_printf (text,
                          "{\"sha256\":\"%s\",\"team\":\"t\",\"note\":\"%" G_GUINT64_FORMAT "\"}",
                          digest, document_id);
  for (uint32_t i = 0; i < KEYS; i++)
    if (bits & (1u << i)) {
      vp_config_key_digest (_key (i), digest);
      g_string_append_printf (text, ",{\"sha256\":\"%s\",\"team\":\"t\"}", digest);
    }
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

static bool
_chance (Sim *sim, uint32_t permille)
{
  return permille > 0 && (uint32_t)g_rand_int_range (sim->rand, 0, 1000) < permille;
}

static int64_t
_delay (Sim *sim)
{
  return _chance (sim, sim->delayed_permille) ? g_rand_int_range (sim->rand, 100, 4000)
                                              : g_rand_int_range (sim->rand, 1, 20);
}

static void
_event_free (Event *event)
{
  vp_peer_message_clear (&event->message);
  g_clear_pointer (&event->op.value, g_bytes_unref);
  vp_store_result_clear (&event->result);
  g_free (event);
}

static Event *
_event_new (Sim *sim, EventKind kind, int64_t at_ms, uint32_t node, uint64_t boot)
{
  Event *event = g_new0 (Event, 1);

  *event = (Event){ .kind = kind, .at_ms = at_ms, .node = node, .boot = boot };
  g_queue_push_tail (&sim->events, event);
  return event;
}

static void
_send (Sim *sim, uint32_t from, const char *to, const VpPeerMessage *message)
{
  uint32_t node = 0;
  Event *event;

  while (strcmp (names[node], to) != 0)
    node++;
  if (sim->nodes[from].group != sim->nodes[node].group || _chance (sim, sim->message_loss_permille)
      || (node == sim->heartbeat_only_node && message->kind != VP_PEER_HEARTBEAT))
    return;
  event = _event_new (sim, EVENT_MESSAGE, sim->now_ms + _delay (sim), node, 0);
  event->message = *message;
  if (message->body != NULL)
    g_bytes_ref (message->body);
}

static void
_call_store (Sim *sim, uint32_t from, VpStoreOp *op)
{
  Event *event
      = _event_new (sim, EVENT_STORE, sim->now_ms + _delay (sim), from, sim->nodes[from].boot);

  event->op = *op;
  op->value = NULL;
  if (op->kind == VP_STORE_CAS)
    event->at_ms += sim->write_delay_ms;
  event->expires_ms = sim->now_ms + (op->timeout_ms > 0 ? op->timeout_ms : 1000);
  event->result = (VpStoreResult){
    .kind = op->kind,
    .module = op->module,
    .token = op->token,
    .sent_ms = sim->now_ms,
  };
  sim->calls[op->kind == VP_STORE_WATCH ? 3 : op->kind]++;
}

static void
_run_effects (Sim *sim, uint32_t node, VpEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++) {
    VpEffect *effect = &effects->items[i];
    if (effect->kind == VP_EFFECT_PEER)
      _send (sim, node, effect->peer.peer, &effect->peer.message);
    else if (effect->kind == VP_EFFECT_STORE)
      _call_store (sim, node, &effect->store);
    else if (effect->kind == VP_EFFECT_LOG && g_test_verbose ())
      g_test_message ("%" G_GINT64_FORMAT " %s %s", sim->now_ms, names[node], effect->log.text);
  }
  vp_effects_free (effects);
}

/* Records an accepted configuration. */
static void
_record (Sim *sim, GBytes *value)
{
  gsize size;
  const char *text = g_bytes_get_data (value, &size);
  g_autoptr (VpConfig) config = vp_config_parse_stored (text, size, NULL);
  char digest[65];
  const VpKey *note_key;

  g_assert_nonnull (config);
  if (config->revision == sim->revision)
    return;
  g_assert_cmpuint (config->revision, ==, sim->revision + 1);
  sim->revision = config->revision;
  g_assert_cmpuint (sim->revision, <, CHANGES_MAX);
  sim->accepted_ms[sim->revision] = sim->now_ms;
  for (uint32_t i = 0; i < KEYS; i++)
    if (vp_config_key_team (config, _key (i)) != NULL)
      sim->keys[sim->revision] |= 1u << i;
  vp_config_key_digest ("none", digest);
  note_key = g_hash_table_lookup (config->keys, digest);
  sim->document_ids[sim->revision] = g_ascii_strtoull (note_key->note, NULL, 10);
}

static void
_write (Sim *sim, Value *value, const VpStoreOp *op)
{
  g_clear_pointer (&value->previous, g_bytes_unref);
  value->previous = value->value;
  value->previous_version = value->version;
  value->value = g_bytes_ref (op->value);
  value->version = ++sim->last_version;
  if (strcmp (value->key, "config") == 0)
    _record (sim, op->value);
}

/* Applies an operation that reached the store; false while a watch waits. */
static bool
_apply (Sim *sim, Event *event)
{
  const VpStoreOp *op = &event->op;
  VpStoreResult *result = &event->result;
  Value *value = &sim->values[strcmp (op->key, "audit") == 0];
  bool is_stale = sim->is_stale && op->kind == VP_STORE_GET;
  GBytes *bytes = is_stale ? value->previous : value->value;

  result->version = is_stale ? value->previous_version : value->version;
  result->status = VP_STORE_OK;
  if (op->kind == VP_STORE_WATCH && result->version == op->version)
    return sim->now_ms >= event->expires_ms;
  if (op->kind == VP_STORE_CAS && op->version == value->version) {
    _write (sim, value, op);
    result->version = value->version;
    return true;
  }
  if (op->kind == VP_STORE_CAS)
    result->status = VP_STORE_CONFLICT;
  else if (result->version == 0)
    result->status = VP_STORE_NOT_FOUND;
  result->value = bytes != NULL ? g_bytes_ref (bytes) : NULL;
  return true;
}

static void
_answer (Sim *sim, Event *event, int64_t delay_ms)
{
  Event *answer = _event_new (sim, EVENT_RESULT, sim->now_ms + delay_ms, event->node, event->boot);

  answer->result = event->result;
  event->result.value = NULL;
  event->is_answered = true;
}

/* Runs a store call; false once it is finished. */
static bool
_run_store (Sim *sim, Event *event)
{
  bool is_reached = !sim->is_outage && sim->nodes[event->node].has_store;
  bool is_write = event->op.kind == VP_STORE_CAS;
  bool is_lost;

  if (!event->is_answered && event->op.kind != VP_STORE_WATCH && sim->now_ms >= event->expires_ms) {
    event->result.status = VP_STORE_UNKNOWN;
    _answer (sim, event, 0);
  }
  if (sim->now_ms < event->at_ms)
    return true;
  if (!is_reached) {
    event->result.status = VP_STORE_UNAVAILABLE;
    if (!event->is_answered)
      _answer (sim, event, 1);
    return false;
  }
  if (!_apply (sim, event))
    return true;
  is_lost = _chance (sim, sim->lost_answer_permille) || (is_write && sim->lose_write_answers > 0);
  if (is_write && sim->lose_write_answers > 0)
    sim->lose_write_answers--;
  if (is_lost)
    event->result.status = VP_STORE_UNKNOWN;
  if (is_lost)
    g_clear_pointer (&event->result.value, g_bytes_unref);
  if (!event->is_answered)
    _answer (sim, event, _delay (sim));
  return false;
}

static bool
_is_paused (const Sim *sim, uint32_t node)
{
  return sim->now_ms < sim->nodes[node].paused_until_ms;
}

/* Runs an event if it is due; false once it is finished. */
static bool
_run_event (Sim *sim, Event *event)
{
  Node *node = &sim->nodes[event->node];
  VpEffects effects = { 0 };

  if (event->kind == EVENT_STORE)
    return _run_store (sim, event);
  if (sim->now_ms < event->at_ms || _is_paused (sim, event->node))
    return true;
  if (event->kind == EVENT_MESSAGE)
    vp_config_sync_peer_message (node->sync, &event->message, sim->now_ms, &effects);
  else if (event->boot == node->boot)
    vp_config_sync_store_result (node->sync, &event->result, sim->now_ms, &effects);
  _run_effects (sim, event->node, &effects);
  return false;
}

/* Checks a member: its revision doesn't go back, and each key that it accepts was valid in a
 * configuration that was current at most KEY_TRUST_MS ago. */
static void
_check_node (Sim *sim, uint32_t index)
{
  Node *node = &sim->nodes[index];
  char team[VP_NAME_MAX];

  g_assert_cmpuint (vp_config_sync_revision (node->sync), >=, node->revision);
  g_assert_cmpuint (vp_config_sync_revision (node->sync), <=, sim->revision);
  node->revision = vp_config_sync_revision (node->sync);
  if (!vp_config_sync_keys_trusted (node->sync, sim->now_ms))
    return;
  for (uint32_t i = 0; i < KEYS; i++) {
    uint64_t revision = sim->revision;
    if (!vp_config_sync_key_valid (node->sync, _key (i), team))
      continue;
    while (revision > 0 && !(sim->keys[revision] & (1u << i)))
      revision--;
    g_assert_cmpuint (revision, >, 0);
    if (revision < sim->revision)
      g_assert_cmpint (sim->now_ms - sim->accepted_ms[revision + 1], <=, KEY_TRUST_MS + STEP_MS);
  }
}

static void
_heartbeat (Sim *sim, uint32_t index)
{
  for (uint32_t i = 0; i < MEMBERS; i++) {
    VpPeerMessage message = { .kind = VP_PEER_HEARTBEAT, .boot = sim->nodes[index].boot };
    if (i == index)
      continue;
    vp_name_copy (message.from, sizeof message.from, names[index]);
    vp_config_sync_fill_heartbeat (sim->nodes[index].sync, names[i], sim->now_ms, &message);
    _send (sim, index, names[i], &message);
    vp_peer_message_clear (&message);
  }
}

static void
_step (Sim *sim)
{
  guint count = g_queue_get_length (&sim->events);

  sim->now_ms += STEP_MS;
  for (guint i = 0; i < count; i++) {
    Event *event = g_queue_pop_head (&sim->events);
    if (_run_event (sim, event))
      g_queue_push_tail (&sim->events, event);
    else
      _event_free (event);
  }
  for (uint32_t i = 0; i < MEMBERS; i++) {
    VpEffects effects = { 0 };
    if (_is_paused (sim, i))
      continue;
    if ((sim->now_ms / STEP_MS + i * 7) % (HEARTBEAT_MS / STEP_MS) == 0)
      _heartbeat (sim, i);
    if (sim->now_ms >= vp_config_sync_next_ms (sim->nodes[i].sync) || sim->now_ms % 100 == 0)
      vp_config_sync_tick (sim->nodes[i].sync, sim->now_ms, &effects);
    _run_effects (sim, i, &effects);
    vp_config_sync_take_outcomes (sim->nodes[i].sync, sim->outcomes);
    if (sim->now_ms % CHECK_MS == 0)
      _check_node (sim, i);
  }
}

static void
_run (Sim *sim, int64_t duration_ms)
{
  for (int64_t end_ms = sim->now_ms + duration_ms; sim->now_ms < end_ms;)
    _step (sim);
}

static void
_start (Sim *sim, uint32_t index)
{
  Node *node = &sim->nodes[index];

  vp_config_sync_shutdown (node->sync);
  node->boot = (uint64_t)sim->now_ms;
  node->revision = 0;
  node->sync = vp_config_sync_setup (&(VpConfigSyncDesc){
      .member = names[index],
      .members = names,
      .member_count = MEMBERS,
      .boot = node->boot,
      .key_trust_ms = KEY_TRUST_MS,
  });
  vp_config_sync_set_watching (node->sync, index % 2 == 0);
}

static Sim *
_sim_new (uint32_t seed)
{
  Sim *sim = g_new0 (Sim, 1);

  sim->rand = g_rand_new_with_seed (seed);
  sim->now_ms = 1000000;
  sim->heartbeat_only_node = MEMBERS;
  g_strlcpy (sim->values[0].key, "config", sizeof sim->values[0].key);
  g_strlcpy (sim->values[1].key, "audit", sizeof sim->values[1].key);
  sim->outcomes = g_array_new (FALSE, TRUE, sizeof (VpConfigSyncOutcome));
  for (uint32_t i = 0; i < MEMBERS; i++) {
    sim->nodes[i].has_store = true;
    _start (sim, i);
  }
  return sim;
}

static void
_sim_free (Sim *sim)
{
  for (uint32_t i = 0; i < MEMBERS; i++)
    vp_config_sync_shutdown (sim->nodes[i].sync);
  g_queue_clear_full (&sim->events, (GDestroyNotify)_event_free);
  for (guint i = 0; i < G_N_ELEMENTS (sim->values); i++) {
    g_clear_pointer (&sim->values[i].value, g_bytes_unref);
    g_clear_pointer (&sim->values[i].previous, g_bytes_unref);
  }
  g_array_unref (sim->outcomes);
  g_rand_free (sim->rand);
  g_free (sim);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (Sim, _sim_free)

/* Submits a document with the keys of @bits; returns the handle of its outcome. */
static uint64_t
_submit (Sim *sim, uint32_t node, uint64_t expected_revision, uint32_t bits)
{
  VpEffects effects = { 0 };
  g_autoptr (GBytes) document = _document (bits, ++sim->next_document_id);

  vp_config_sync_submit (sim->nodes[node].sync, sim->next_document_id, "operator",
                         expected_revision, document, sim->now_ms, &effects);
  _run_effects (sim, node, &effects);
  return sim->next_document_id;
}

static const VpConfigSyncOutcome *
_outcome (const Sim *sim, uint64_t handle)
{
  for (guint i = 0; i < sim->outcomes->len; i++)
    if (g_array_index (sim->outcomes, VpConfigSyncOutcome, i).handle == handle)
      return &g_array_index (sim->outcomes, VpConfigSyncOutcome, i);
  return NULL;
}

/* Runs until the outcome is known, at most 10 s. */
static const VpConfigSyncOutcome *
_await (Sim *sim, uint64_t handle)
{
  for (int i = 0; i < 1000 && _outcome (sim, handle) == NULL; i++)
    _step (sim);
  g_assert_nonnull (_outcome (sim, handle));
  return _outcome (sim, handle);
}

static uint32_t
_trusted_count (const Sim *sim)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < MEMBERS; i++)
    count += vp_config_sync_keys_trusted (sim->nodes[i].sync, sim->now_ms);
  return count;
}

/* A simulation in which all members use revision 1 with all keys and count as voters. */
static Sim *
_sim_ready (uint32_t seed)
{
  Sim *sim = _sim_new (seed);

  _run (sim, 1000);
  g_assert_cmpint (_await (sim, _submit (sim, 0, 0, (1u << KEYS) - 1))->reason, ==, VP_REASON_NONE);
  _run (sim, 6000);
  g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
  return sim;
}
