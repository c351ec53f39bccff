/* Benchmark of teams' limits across DCs that may be partitioned from each other and from the store:
 * overshoot, and the share of a limit that is unused while work waits.
 *
 *   bench-limits           prints one JSON object {"measure","value","unit"} per line, and
 *                          points of curves as {"curve","series","x","y"}
 *
 * All times are simulated. The grants of vp-limit-grants.h are compared with counters that the
 * nodes synchronise periodically, as described in the vendor documentation "Rate Limiting Advanced
 * plugin (Kong Gateway)": its example has a limit of 1,000 in a window of 5 s, 10 nodes, a sync
 * interval of 0.5 s and so a lag of 10 requests a node, 100 or 10 % in all.
 */
#include "vp-limit-grants.h"

#include <stdio.h>
#include <string.h>

#define NODE_COUNT     10
#define LIMIT          1000
#define SYNC_MS        500
#define STEP_MS        10
#define UNIT_MS        5000 /* run time of a unit of work; the window of the example */
#define STEPS          (UNIT_MS / STEP_MS)
#define STORE_DELAY_MS 20 /* time until the store replies; longer than one step */

typedef struct {
  int64_t due_ms;
  uint32_t node;
  VpStoreResult result;
} PendingReply;

typedef struct {
  bool uses_counters; /* synchronised counters instead of grants */
  VpLimitGrants *grants[NODE_COUNT];
  GBytes *value;
  uint64_t version;
  GArray *replies, *watches; /* PendingReply; the due_ms of a watch is its timeout */
  GArray *peer_messages;     /* VpPeerMessage sent in this step; duration_ms holds the receiver */
  int64_t now_ms;
  int64_t partition_end_ms;    /* until then each node is cut off from all others and the store */
  int64_t running[NODE_COUNT]; /* running units */
  int64_t ends[NODE_COUNT][STEPS];    /* number of units that end, by step */
  int64_t others_running[NODE_COUNT]; /* only counters: units of other nodes at the last sync */
  int64_t demand[NODE_COUNT];         /* units that wait to run */
  double arrival_remainder[NODE_COUNT], arrival_rate[NODE_COUNT]; /* new units per second */
} Sim;

static void
_print (const char *measure, double value, const char *unit)
{
  printf ("{\"measure\":\"%s\",\"value\":%.4g,\"unit\":\"%s\"}\n", measure, value, unit);
  fflush (stdout);
}

static void
_print_point (const char *series, double x, double y)
{
  printf ("{\"curve\":\"overshoot\",\"series\":\"%s\",\"x\":%.6g,\"y\":%.6g}\n", series, x, y);
}

static bool
_is_partitioned (const Sim *sim)
{
  return sim->now_ms < sim->partition_end_ms;
}

static void
_reply_later (Sim *sim, uint32_t node, const VpStoreOp *op, VpStoreStatus status, int64_t delay_ms)
{
  PendingReply reply = { .due_ms = sim->now_ms + delay_ms, .node = node };

  reply.result = (VpStoreResult){ .kind = op->kind, .module = op->module, .token = op->token };
  reply.result.status = status;
  reply.result.sent_ms = sim->now_ms;
  memcpy (reply.result.key, op->key, sizeof reply.result.key);
  if (status != VP_STORE_UNKNOWN) {
    reply.result.version = sim->version;
    reply.result.value = sim->value != NULL ? g_bytes_ref (sim->value) : NULL;
  }
  g_array_append_val (sim->replies, reply);
}

static void
_reply_to_watches (Sim *sim)
{
  for (guint i = 0; i < sim->watches->len; i++) {
    PendingReply *watch = &g_array_index (sim->watches, PendingReply, i);
    watch->due_ms = sim->now_ms + STORE_DELAY_MS;
    watch->result.status = VP_STORE_OK;
    watch->result.version = sim->version;
    watch->result.value = g_bytes_ref (sim->value);
  }
  g_array_append_vals (sim->replies, sim->watches->data, sim->watches->len);
  g_array_set_size (sim->watches, 0);
}

static void
_store_call (Sim *sim, uint32_t node, const VpStoreOp *op)
{
  if (_is_partitioned (sim)) {
    _reply_later (sim, node, op, VP_STORE_UNKNOWN, op->timeout_ms != 0 ? op->timeout_ms : 1000);
  } else if (op->kind == VP_STORE_CAS && op->version != sim->version) {
    _reply_later (sim, node, op, VP_STORE_CONFLICT, STORE_DELAY_MS);
  } else if (op->kind == VP_STORE_CAS) {
    g_clear_pointer (&sim->value, g_bytes_unref);
    sim->value = g_bytes_ref (op->value);
    sim->version++;
    _reply_later (sim, node, op, VP_STORE_OK, STORE_DELAY_MS);
    _reply_to_watches (sim);
  } else if (op->kind == VP_STORE_WATCH && op->version == sim->version) {
    PendingReply watch = { .due_ms = sim->now_ms + op->timeout_ms, .node = node };
    watch.result = (VpStoreResult){ .kind = op->kind, .module = op->module, .token = op->token };
    watch.result.sent_ms = sim->now_ms;
    memcpy (watch.result.key, op->key, sizeof watch.result.key);
    g_array_append_val (sim->watches, watch);
  } else {
    _reply_later (sim, node, op, sim->version > 0 ? VP_STORE_OK : VP_STORE_NOT_FOUND,
                  STORE_DELAY_MS);
  }
}

static void
_execute_effects (Sim *sim, uint32_t node, VpEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++) {
    const VpEffect *effect = &effects->items[i];
    if (effect->kind == VP_EFFECT_STORE)
      _store_call (sim, node, &effect->store);
    if (effect->kind == VP_EFFECT_PEER && !_is_partitioned (sim)) {
      VpPeerMessage message = effect->peer.message;
      message.duration_ms = g_ascii_strtoll (effect->peer.peer + 1, NULL, 10);
      g_array_append_val (sim->peer_messages, message);
    }
  }
  vp_effects_clear (effects);
}

/* Watches that reach their timeout are answered with the current value. */
static void
_expire_watches (Sim *sim)
{
  for (guint i = sim->watches->len; i-- > 0;) {
    PendingReply watch = g_array_index (sim->watches, PendingReply, i);
    if (watch.due_ms > sim->now_ms)
      continue;
    watch.result.status = _is_partitioned (sim) ? VP_STORE_UNKNOWN : VP_STORE_OK;
    watch.result.version = _is_partitioned (sim) ? 0 : sim->version;
    watch.result.value = _is_partitioned (sim) ? NULL : g_bytes_ref (sim->value);
    g_array_append_val (sim->replies, watch);
    g_array_remove_index_fast (sim->watches, i);
  }
}

static void
_step_grants (Sim *sim)
{
  VpEffects effects = { 0 };
  g_autoptr (GArray) peer_messages = sim->peer_messages;

  sim->peer_messages = g_array_new (FALSE, FALSE, sizeof (VpPeerMessage));
  for (guint i = 0; i < peer_messages->len; i++) {
    VpPeerMessage *message = &g_array_index (peer_messages, VpPeerMessage, i);
    uint32_t to = (uint32_t)message->duration_ms;
    message->duration_ms = 0;
    vp_limit_grants_peer_message (sim->grants[to], message, sim->now_ms, &effects);
    _execute_effects (sim, to, &effects);
  }
  _expire_watches (sim);
  for (guint i = 0; i < sim->replies->len;) {
    PendingReply reply = g_array_index (sim->replies, PendingReply, i);
    if (reply.due_ms > sim->now_ms) {
      i++;
      continue;
    }
    g_array_remove_index (sim->replies, i);
    vp_limit_grants_store_result (sim->grants[reply.node], &reply.result, sim->now_ms, &effects);
    vp_store_result_clear (&reply.result);
    _execute_effects (sim, reply.node, &effects);
  }
  for (uint32_t i = 0; i < NODE_COUNT; i++) {
    VpResources used = { .cpu_milli = sim->running[i] }, waiting = { .cpu_milli = sim->demand[i] };
    vp_limit_grants_set_demand (sim->grants[i], "t", &used, &waiting, sim->now_ms);
    vp_limit_grants_tick (sim->grants[i], sim->now_ms, &effects);
    _execute_effects (sim, i, &effects);
  }
  vp_effects_free (&effects);
}

static int64_t
_total_running (const Sim *sim)
{
  int64_t total = 0;

  for (uint32_t i = 0; i < NODE_COUNT; i++)
    total += sim->running[i];
  return total;
}

/* All nodes publish their counters, then read the sum of the other nodes' counters. Partitioned
 * nodes keep the values that they have read last. */
static void
_step_counters (Sim *sim)
{
  int64_t total = _total_running (sim);

  for (uint32_t i = 0; i < NODE_COUNT && sim->now_ms % SYNC_MS == 0 && !_is_partitioned (sim); i++)
    sim->others_running[i] = total - sim->running[i];
}

static int64_t
_free_units (const Sim *sim, uint32_t node)
{
  VpResources usable;

  if (sim->uses_counters)
    return LIMIT - sim->others_running[node] - sim->running[node];
  vp_limit_grants_usable (sim->grants[node], "t", &usable);
  return usable.cpu_milli - sim->running[node];
}

static void
_step (Sim *sim)
{
  int64_t at;

  sim->now_ms += STEP_MS;
  at = sim->now_ms / STEP_MS % STEPS;
  for (uint32_t i = 0; i < NODE_COUNT; i++) {
    sim->running[i] -= sim->ends[i][at];
    sim->ends[i][at] = 0;
    sim->arrival_remainder[i] += sim->arrival_rate[i] * STEP_MS / 1000.0;
    sim->demand[i] += (int64_t)sim->arrival_remainder[i];
    sim->arrival_remainder[i] -= (double)(int64_t)sim->arrival_remainder[i];
  }
  if (sim->uses_counters)
    _step_counters (sim);
  else
    _step_grants (sim);
  for (uint32_t i = 0; i < NODE_COUNT; i++) {
    int64_t count = MAX (0, MIN (sim->demand[i], _free_units (sim, i)));
    sim->demand[i] -= count;
    sim->running[i] += count;
    sim->ends[i][at] += count;
  }
}

static Sim *
_sim_new (bool uses_counters)
{
  Sim *sim = g_new0 (Sim, 1);
  VpConfig *config = vp_config_new_empty ();
  VpTeam team = { .name = "t", .share = 1, .limit = { .cpu_milli = LIMIT } };
  VpEffects effects = { 0 };
  static char names[NODE_COUNT][8];
  const char *owners[NODE_COUNT];

  sim->uses_counters = uses_counters;
  sim->now_ms = 1000000;
  sim->replies = g_array_new (FALSE, FALSE, sizeof (PendingReply));
  sim->watches = g_array_new (FALSE, FALSE, sizeof (PendingReply));
  sim->peer_messages = g_array_new (FALSE, FALSE, sizeof (VpPeerMessage));
  config->revision = 1;
  g_array_append_val (config->teams, team);
  for (uint32_t i = 0; i < NODE_COUNT; i++) {
    g_snprintf (names[i], sizeof names[i], "d%u", i);
    g_ptr_array_add (config->dcs, g_strdup (names[i]));
  }
  for (uint32_t i = 0; i < NODE_COUNT; i++) {
    uint32_t count = 0;
    for (uint32_t other = 0; other < NODE_COUNT; other++) {
      if (other != i)
        owners[count++] = names[other];
    }
    sim->grants[i]
        = vp_limit_grants_setup (&(VpLimitGrantsDesc){ .dc = names[i], .member = names[i] });
    vp_limit_grants_set_other_owners (sim->grants[i], owners, count);
    vp_limit_grants_set_config (sim->grants[i], config, sim->now_ms);
    vp_limit_grants_open (sim->grants[i], sim->now_ms, &effects);
    _execute_effects (sim, i, &effects);
  }
  vp_effects_free (&effects);
  vp_config_unref (config);
  for (int i = 0; i < 2000; i++)
    _step (sim);
  return sim;
}

static void
_sim_free (Sim *sim)
{
  for (uint32_t i = 0; i < NODE_COUNT; i++)
    vp_limit_grants_shutdown (sim->grants[i]);
  g_array_unref (sim->watches);
  for (guint i = 0; i < sim->replies->len; i++)
    vp_store_result_clear (&g_array_index (sim->replies, PendingReply, i).result);
  g_array_unref (sim->replies);
  g_array_unref (sim->peer_messages);
  g_clear_pointer (&sim->value, g_bytes_unref);
  g_free (sim);
}

/* Runs the example of the documentation and returns the largest overshoot over all phases of the
 * sync interval, in percent. Units don't end within the window, so each admitted unit is counted
 * once. */
static double
_measure_example (bool uses_counters)
{
  int64_t worst = 0;

  for (int64_t before = 0; before < 100; before++) {
    Sim *sim = _sim_new (uses_counters);
    sim->demand[0] = before;
    _step (sim);
    for (uint32_t i = 0; i < NODE_COUNT; i++)
      sim->arrival_rate[i] = 20.0;
    for (int i = 0; i < STEPS; i++) {
      _step (sim);
      worst = MAX (worst, _total_running (sim) - LIMIT);
    }
    _sim_free (sim);
  }
  return 100.0 * (double)worst / LIMIT;
}

/* Returns the largest overshoot, in percent, when all nodes are partitioned for @partition_ms and
 * each receives twice its part of the limit as demand. */
static double
_measure_partition (bool uses_counters, int64_t partition_ms)
{
  Sim *sim = _sim_new (uses_counters);
  int64_t worst = 0;

  for (uint32_t i = 0; i < NODE_COUNT; i++)
    sim->arrival_rate[i] = 2.0 * LIMIT * 1000 / UNIT_MS / NODE_COUNT;
  sim->partition_end_ms = sim->now_ms + partition_ms;
  for (int i = 0; i < 2000; i++) {
    _step (sim);
    /* Units that don't start at once are refused, as with a rate limit. */
    memset (sim->demand, 0, sizeof sim->demand);
    worst = MAX (worst, _total_running (sim) - LIMIT);
  }
  _sim_free (sim);
  return 100.0 * (double)worst / LIMIT;
}

/* Returns the mean share of the limit that is unused while work waits, in percent. Two nodes
 * receive all the demand, 1.2 times the limit, and every 20 s two other nodes take over. The first
 * 10 s, in which the work can't fill the limit yet, are ignored. */
static double
_measure_unused (bool uses_counters)
{
  Sim *sim = _sim_new (uses_counters);
  double unused = 0.0;
  int count = 0;

  for (int i = 0; i < 12000; i++) {
    uint32_t busy_node = (uint32_t)(i / 2000 * 2) % NODE_COUNT;
    int64_t waiting = 0;
    for (uint32_t node = 0; node < NODE_COUNT; node++) {
      sim->arrival_rate[node] = node == busy_node || node == busy_node + 1 ? 120.0 : 0.0;
      waiting += sim->demand[node];
    }
    _step (sim);
    if (i < 1000 || waiting == 0)
      continue;
    unused += 100.0 * (double)MAX (0, MIN (LIMIT - _total_running (sim), waiting)) / LIMIT;
    count++;
  }
  _sim_free (sim);
  return unused / MAX (1, count);
}

int
main (void)
{
  double worst = 0.0, worst_counters = 0.0;

  _print ("limit_example_overshoot", _measure_example (false), "percent");
  _print ("limit_example_overshoot_synchronised", _measure_example (true), "percent");
  _print ("limit_example_bound_synchronised", 100.0 * NODE_COUNT * 20 * SYNC_MS / 1000 / LIMIT,
          "percent");
  for (int64_t partition_ms = 0; partition_ms <= 10000; partition_ms += 1000) {
    double grants = _measure_partition (false, partition_ms),
           counters = _measure_partition (true, partition_ms);
    _print_point ("grants", (double)partition_ms / 1000.0, grants);
    _print_point ("synchronised counters", (double)partition_ms / 1000.0, counters);
    worst = MAX (worst, grants);
    worst_counters = MAX (worst_counters, counters);
  }
  _print ("limit_overshoot", worst, "percent");
  _print ("limit_overshoot_synchronised", worst_counters, "percent");
  _print ("grant_unused", _measure_unused (false), "percent");
  _print ("limit_unused_synchronised", _measure_unused (true), "percent");
  return 0;
}
