/* Upper limits across DCs that may be cut from each other and from the store: overshoot, and the
 * part of a limit that stands unused while work waits.
 *
 *   bench-limits           prints one JSON object {"measure","value","unit"} a line, and points of
 *                          curves as {"curve","series","x","y"}
 *
 * Everything is in simulated time. The grants of vp-limit-grants.h are compared with counters that
 * the nodes synchronise periodically, as described in the vendor documentation "Rate Limiting
 * Advanced plugin (Kong Gateway)": its example has a limit of 1,000 in a window of 5 s, 10 nodes, a
 * sync interval of 0.5 s and so a lag of 10 requests a node, 100 or 10 % in all.
 */
#include "vp-limit-grants.h"

#include <stdio.h>
#include <string.h>

#define NODES    10
#define LIMIT    1000
#define SYNC_MS  500
#define STEP_MS  10
#define RUN_MS   5000 /* of a unit of work; the window of the example */
#define STEPS    (RUN_MS / STEP_MS)
#define STORE_MS 20 /* an answer of the store; more than one step */

typedef struct {
  int64_t due_ms;
  uint32_t node;
  VpStoreResult result;
} Answer;

typedef struct {
  bool is_synchronised; /* counters instead of grants */
  VpLimitGrants *grants[NODES];
  GBytes *value;
  uint64_t version;
  GArray *answers, *watches; /* Answer; due_ms of a watch is its time-out */
  GArray *asks;              /* VpPeerMessage sent in this step, with the node in duration_ms */
  int64_t now_ms;
  int64_t cut_until_ms;              /* every node from every other and from the store */
  int64_t running[NODES];            /* units */
  int64_t ends[NODES][STEPS];        /* units that end, by step */
  int64_t others[NODES];             /* counters: units of the other nodes, as last synchronised */
  int64_t want[NODES];               /* units that want to run */
  double credit[NODES], rate[NODES]; /* new units per second */
} World;

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
_is_cut (const World *w)
{
  return w->now_ms < w->cut_until_ms;
}

static void
_answer (World *w, uint32_t node, const VpStoreOp *op, VpStoreStatus status, int64_t delay_ms)
{
  Answer answer = { .due_ms = w->now_ms + delay_ms, .node = node };

  answer.result = (VpStoreResult){ .kind = op->kind, .module = op->module, .token = op->token };
  answer.result.status = status;
  answer.result.sent_ms = w->now_ms;
  memcpy (answer.result.key, op->key, sizeof answer.result.key);
  if (status != VP_STORE_UNKNOWN) {
    answer.result.version = w->version;
    answer.result.value = w->value != NULL ? g_bytes_ref (w->value) : NULL;
  }
  g_array_append_val (w->answers, answer);
}

static void
_answer_watches (World *w)
{
  for (guint i = 0; i < w->watches->len; i++) {
    Answer *watch = &g_array_index (w->watches, Answer, i);
    watch->due_ms = w->now_ms + STORE_MS;
    watch->result.status = VP_STORE_OK;
    watch->result.version = w->version;
    watch->result.value = g_bytes_ref (w->value);
  }
  g_array_append_vals (w->answers, w->watches->data, w->watches->len);
  g_array_set_size (w->watches, 0);
}

static void
_store (World *w, uint32_t node, const VpStoreOp *op)
{
  if (_is_cut (w)) {
    _answer (w, node, op, VP_STORE_UNKNOWN, op->timeout_ms != 0 ? op->timeout_ms : 1000);
  } else if (op->kind == VP_STORE_CAS && op->version != w->version) {
    _answer (w, node, op, VP_STORE_CONFLICT, STORE_MS);
  } else if (op->kind == VP_STORE_CAS) {
    g_clear_pointer (&w->value, g_bytes_unref);
    w->value = g_bytes_ref (op->value);
    w->version++;
    _answer (w, node, op, VP_STORE_OK, STORE_MS);
    _answer_watches (w);
  } else if (op->kind == VP_STORE_WATCH && op->version == w->version) {
    Answer watch = { .due_ms = w->now_ms + op->timeout_ms, .node = node };
    watch.result = (VpStoreResult){ .kind = op->kind, .module = op->module, .token = op->token };
    watch.result.sent_ms = w->now_ms;
    memcpy (watch.result.key, op->key, sizeof watch.result.key);
    g_array_append_val (w->watches, watch);
  } else {
    _answer (w, node, op, w->version > 0 ? VP_STORE_OK : VP_STORE_NOT_FOUND, STORE_MS);
  }
}

static void
_carry_out (World *w, uint32_t node, VpEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++) {
    const VpEffect *effect = &effects->items[i];
    if (effect->kind == VP_EFFECT_STORE)
      _store (w, node, &effect->store);
    if (effect->kind == VP_EFFECT_PEER && !_is_cut (w)) {
      VpPeerMessage ask = effect->peer.message;
      ask.duration_ms = g_ascii_strtoll (effect->peer.peer + 1, NULL, 10);
      g_array_append_val (w->asks, ask);
    }
  }
  vp_effects_clear (effects);
}

/* Watches whose time has passed answer with what is there. */
static void
_watch_timeouts (World *w)
{
  for (guint i = w->watches->len; i-- > 0;) {
    Answer watch = g_array_index (w->watches, Answer, i);
    if (watch.due_ms > w->now_ms)
      continue;
    watch.result.status = _is_cut (w) ? VP_STORE_UNKNOWN : VP_STORE_OK;
    watch.result.version = _is_cut (w) ? 0 : w->version;
    watch.result.value = _is_cut (w) ? NULL : g_bytes_ref (w->value);
    g_array_append_val (w->answers, watch);
    g_array_remove_index_fast (w->watches, i);
  }
}

static void
_grants_step (World *w)
{
  VpEffects effects = { 0 };
  g_autoptr (GArray) asks = w->asks;

  w->asks = g_array_new (FALSE, FALSE, sizeof (VpPeerMessage));
  for (guint i = 0; i < asks->len; i++) {
    VpPeerMessage *ask = &g_array_index (asks, VpPeerMessage, i);
    uint32_t to = (uint32_t)ask->duration_ms;
    ask->duration_ms = 0;
    vp_limit_grants_peer_message (w->grants[to], ask, w->now_ms, &effects);
    _carry_out (w, to, &effects);
  }
  _watch_timeouts (w);
  for (guint i = 0; i < w->answers->len;) {
    Answer answer = g_array_index (w->answers, Answer, i);
    if (answer.due_ms > w->now_ms) {
      i++;
      continue;
    }
    g_array_remove_index (w->answers, i);
    vp_limit_grants_store_result (w->grants[answer.node], &answer.result, w->now_ms, &effects);
    vp_store_result_clear (&answer.result);
    _carry_out (w, answer.node, &effects);
  }
  for (uint32_t i = 0; i < NODES; i++) {
    VpResources used = { .cpu_milli = w->running[i] }, waiting = { .cpu_milli = w->want[i] };
    vp_limit_grants_set_demand (w->grants[i], "t", &used, &waiting, w->now_ms);
    vp_limit_grants_tick (w->grants[i], w->now_ms, &effects);
    _carry_out (w, i, &effects);
  }
  vp_effects_free (&effects);
}

static int64_t
_total (const World *w)
{
  int64_t total = 0;

  for (uint32_t i = 0; i < NODES; i++)
    total += w->running[i];
  return total;
}

/* All nodes push their counters, then read the sum of the others. A node that is cut keeps what it
 * read last. */
static void
_counters_step (World *w)
{
  int64_t total = _total (w);

  for (uint32_t i = 0; i < NODES && w->now_ms % SYNC_MS == 0 && !_is_cut (w); i++)
    w->others[i] = total - w->running[i];
}

static int64_t
_room (const World *w, uint32_t node)
{
  VpResources usable;

  if (w->is_synchronised)
    return LIMIT - w->others[node] - w->running[node];
  vp_limit_grants_usable (w->grants[node], "t", &usable);
  return usable.cpu_milli - w->running[node];
}

static void
_step (World *w)
{
  int64_t at;

  w->now_ms += STEP_MS;
  at = w->now_ms / STEP_MS % STEPS;
  for (uint32_t i = 0; i < NODES; i++) {
    w->running[i] -= w->ends[i][at];
    w->ends[i][at] = 0;
    w->credit[i] += w->rate[i] * STEP_MS / 1000.0;
    w->want[i] += (int64_t)w->credit[i];
    w->credit[i] -= (double)(int64_t)w->credit[i];
  }
  if (w->is_synchronised)
    _counters_step (w);
  else
    _grants_step (w);
  for (uint32_t i = 0; i < NODES; i++) {
    int64_t count = MAX (0, MIN (w->want[i], _room (w, i)));
    w->want[i] -= count;
    w->running[i] += count;
    w->ends[i][at] += count;
  }
}

static World *
_world_new (bool is_synchronised)
{
  World *w = g_new0 (World, 1);
  VpConfig *config = vp_config_new_empty ();
  VpTeam team = { .name = "t", .share = 1, .limit = { .cpu_milli = LIMIT } };
  VpEffects effects = { 0 };
  static char names[NODES][8];
  const char *owners[NODES];

  w->is_synchronised = is_synchronised;
  w->now_ms = 1000000;
  w->answers = g_array_new (FALSE, FALSE, sizeof (Answer));
  w->watches = g_array_new (FALSE, FALSE, sizeof (Answer));
  w->asks = g_array_new (FALSE, FALSE, sizeof (VpPeerMessage));
  config->revision = 1;
  g_array_append_val (config->teams, team);
  for (uint32_t i = 0; i < NODES; i++) {
    g_snprintf (names[i], sizeof names[i], "d%u", i);
    g_ptr_array_add (config->dcs, g_strdup (names[i]));
  }
  for (uint32_t i = 0; i < NODES; i++) {
    uint32_t count = 0;
    for (uint32_t other = 0; other < NODES; other++) {
      if (other != i)
        owners[count++] = names[other];
    }
    w->grants[i]
        = vp_limit_grants_setup (&(VpLimitGrantsDesc){ .dc = names[i], .member = names[i] });
    vp_limit_grants_set_other_owners (w->grants[i], owners, count);
    vp_limit_grants_set_config (w->grants[i], config, w->now_ms);
    vp_limit_grants_open (w->grants[i], w->now_ms, &effects);
    _carry_out (w, i, &effects);
  }
  vp_effects_free (&effects);
  vp_config_unref (config);
  for (int i = 0; i < 2000; i++)
    _step (w);
  return w;
}

static void
_world_free (World *w)
{
  for (uint32_t i = 0; i < NODES; i++)
    vp_limit_grants_shutdown (w->grants[i]);
  g_array_unref (w->watches);
  for (guint i = 0; i < w->answers->len; i++)
    vp_store_result_clear (&g_array_index (w->answers, Answer, i).result);
  g_array_unref (w->answers);
  g_array_unref (w->asks);
  g_clear_pointer (&w->value, g_bytes_unref);
  g_free (w);
}

/* The example of the documentation: the largest excess over all phases of the sync. Units don't end
 * within the window, so what was admitted is counted once. */
static double
_example (bool is_synchronised)
{
  int64_t worst = 0;

  for (int64_t before = 0; before < 100; before++) {
    World *w = _world_new (is_synchronised);
    w->want[0] = before;
    _step (w);
    for (uint32_t i = 0; i < NODES; i++)
      w->rate[i] = 20.0;
    for (int i = 0; i < STEPS; i++) {
      _step (w);
      worst = MAX (worst, _total (w) - LIMIT);
    }
    _world_free (w);
  }
  return 100.0 * (double)worst / LIMIT;
}

/* Largest excess when all nodes are cut for @cut_ms, while each has twice its part to do. */
static double
_cut (bool is_synchronised, int64_t cut_ms)
{
  World *w = _world_new (is_synchronised);
  int64_t worst = 0;

  for (uint32_t i = 0; i < NODES; i++)
    w->rate[i] = 2.0 * LIMIT * 1000 / RUN_MS / NODES;
  w->cut_until_ms = w->now_ms + cut_ms;
  for (int i = 0; i < 2000; i++) {
    _step (w);
    memset (w->want, 0, sizeof w->want); /* refused, as a rate limit does */
    worst = MAX (worst, _total (w) - LIMIT);
  }
  _world_free (w);
  return 100.0 * (double)worst / LIMIT;
}

/* Part of the limit that is unused while work waits, in percent: the demand, 1.2 times the limit,
 * comes at two nodes in turn, which change every 20 s. The first seconds, until the work could fill
 * the limit, don't count. */
static double
_unused (bool is_synchronised)
{
  World *w = _world_new (is_synchronised);
  double unused = 0.0;
  int count = 0;

  for (int i = 0; i < 12000; i++) {
    uint32_t hot = (uint32_t)(i / 2000 * 2) % NODES;
    int64_t waiting = 0;
    for (uint32_t node = 0; node < NODES; node++) {
      w->rate[node] = node == hot || node == hot + 1 ? 120.0 : 0.0;
      waiting += w->want[node];
    }
    _step (w);
    if (i < 1000 || waiting == 0)
      continue;
    unused += 100.0 * (double)MAX (0, MIN (LIMIT - _total (w), waiting)) / LIMIT;
    count++;
  }
  _world_free (w);
  return unused / MAX (1, count);
}

int
main (void)
{
  double worst = 0.0, worst_counters = 0.0;

  _print ("limit_example_overshoot", _example (false), "percent");
  _print ("limit_example_overshoot_synchronised", _example (true), "percent");
  _print ("limit_example_bound_synchronised", 100.0 * NODES * 20 * SYNC_MS / 1000 / LIMIT,
          "percent");
  for (int64_t cut_ms = 0; cut_ms <= 10000; cut_ms += 1000) {
    double grants = _cut (false, cut_ms), counters = _cut (true, cut_ms);
    _print_point ("grants", (double)cut_ms / 1000.0, grants);
    _print_point ("synchronised counters", (double)cut_ms / 1000.0, counters);
    worst = MAX (worst, grants);
    worst_counters = MAX (worst_counters, counters);
  }
  _print ("limit_overshoot", worst, "percent");
  _print ("limit_overshoot_synchronised", worst_counters, "percent");
  _print ("grant_unused", _unused (false), "percent");
  _print ("limit_unused_synchronised", _unused (true), "percent");
  return 0;
}
