#include "store-memory.h"
#include "vp-owner.h"

#define STEP_MS 5
#define MEMBERS 3

typedef struct {
  int64_t due_ms;
  uint32_t to;
  VpPeerMessage message;
} QueuedMessage;

typedef struct {
  MemStore *store;
  VpOwner owners[MEMBERS];
  const char *peers[MEMBERS][MEMBERS];
  uint32_t count;
  int64_t paused_until_ms[MEMBERS];
  bool is_dead[MEMBERS];
  uint64_t cut_peers; /* bit set of members that can't exchange messages */
  GArray *messages;   /* QueuedMessage */
  int32_t message_delay_ms;
  int64_t now_ms;
  int last_owner; /* index of the last member that was the owner; -1: none yet */
  uint64_t change_count;
  uint64_t promised_steps; /* steps in which an owner had only promises and no lease */
} World;

static const char *const member_names[] = { "a", "b", "c" };

static void
_world_restart (World *w, uint32_t i)
{
  uint32_t n = 0;

  for (uint32_t j = 0; j < w->count && j < MEMBERS; j++) {
    if (j != i)
      w->peers[i][n++] = member_names[j];
  }
  w->peers[i][n] = NULL;
  vp_owner_setup (&w->owners[i],
                  &(VpOwnerDesc){ .dc = "dc", .member = member_names[i], .peers = w->peers[i] });
  /* Each run uses its own tokens, so that late results for an earlier run are ignored. */
  w->owners[i].next_token = (uint64_t)w->now_ms * 1000;
}

static World *
_world_new (uint32_t seed, uint32_t count)
{
  World *w = g_new0 (World, 1);

  w->store = mem_store_new (seed);
  w->count = count;
  w->now_ms = 100000;
  w->last_owner = -1;
  w->messages = g_array_new (FALSE, FALSE, sizeof (QueuedMessage));
  for (uint32_t i = 0; i < count; i++)
    _world_restart (w, i);
  return w;
}

static void
_world_free (World *w)
{
  mem_store_free (w->store);
  g_array_unref (w->messages);
  g_free (w);
}

static void
_world_send (World *w, uint32_t from, VpEffects *effects)
{
  mem_store_send (w->store, from, effects, w->now_ms);
  for (uint32_t e = 0; e < effects->count; e++) {
    for (uint32_t to = 0; to < w->count; to++) {
      if (effects->items[e].kind == VP_EFFECT_PEER
          && g_str_equal (effects->items[e].peer.peer, member_names[to])
          && (w->cut_peers & (MEM_BIT (from) | MEM_BIT (to))) == 0) {
        QueuedMessage queued = { w->now_ms + _mem_random (w->store, w->message_delay_ms), to,
                                 effects->items[e].peer.message };
        g_array_append_val (w->messages, queued);
      }
    }
  }
  vp_effects_clear (effects);
}

static bool
_world_is_up (const World *w, uint32_t i)
{
  return !w->is_dead[i] && w->now_ms >= w->paused_until_ms[i];
}

static void
_world_deliver_messages (World *w, VpEffects *effects)
{
  for (guint m = 0; m < w->messages->len; m++) {
    QueuedMessage queued = g_array_index (w->messages, QueuedMessage, m);
    if (queued.due_ms > w->now_ms || (!w->is_dead[queued.to] && !_world_is_up (w, queued.to)))
      continue;
    g_array_remove_index (w->messages, m--);
    if (w->is_dead[queued.to])
      continue;
    vp_owner_peer_message (&w->owners[queued.to], &queued.message, w->now_ms, effects);
    _world_send (w, queued.to, effects);
  }
}

/* Checks that at most one member is the owner; returns its index, or -1. */
static int
_world_check_owner (World *w)
{
  int owner = -1;

  for (uint32_t i = 0; i < w->count; i++) {
    if (w->is_dead[i] || vp_owner_valid_until_ms (&w->owners[i], w->now_ms) <= w->now_ms)
      continue;
    g_assert_cmpint (owner, ==, -1);
    owner = (int)i;
    if (w->owners[i].lease_until_ms <= w->now_ms)
      w->promised_steps++;
  }
  if (owner >= 0 && owner != w->last_owner) {
    w->change_count++;
    w->last_owner = owner;
  }
  return owner;
}

static int
_world_step (World *w)
{
  VpEffects effects = { 0 };
  VpStoreResult result;
  uint32_t client;

  w->now_ms += STEP_MS;
  w->store->paused_clients = w->store->dead_clients = 0;
  for (uint32_t i = 0; i < w->count; i++) {
    w->store->dead_clients |= w->is_dead[i] ? MEM_BIT (i) : 0;
    w->store->paused_clients |= w->now_ms < w->paused_until_ms[i] ? MEM_BIT (i) : 0;
  }
  while (mem_store_receive (w->store, w->now_ms, &client, &result)) {
    vp_owner_store_result (&w->owners[client], &result, w->now_ms, &effects);
    _world_send (w, client, &effects);
    vp_store_result_clear (&result);
  }
  _world_deliver_messages (w, &effects);
  for (uint32_t i = 0; i < w->count; i++) {
    if (_world_is_up (w, i) && vp_owner_next_ms (&w->owners[i]) <= w->now_ms) {
      vp_owner_tick (&w->owners[i], w->now_ms, &effects);
      _world_send (w, i, &effects);
    }
  }
  vp_effects_free (&effects);
  return _world_check_owner (w);
}

static int
_world_run (World *w, int64_t ms)
{
  int owner = -1;

  for (int64_t i = 0; i < ms; i += STEP_MS)
    owner = _world_step (w);
  return owner;
}

/* Guards against a slow takeover, and against an idle pair of members that loads the store. */
static void
test_takeover (void)
{
  World *w = _world_new (1, 2);
  int first = _world_run (w, 3000);
  uint64_t calls = w->store->call_count;

  g_assert_cmpint (first, !=, -1);
  _world_run (w, 60000);
  g_assert_cmpuint (w->store->call_count - calls, <=, 60);
  w->is_dead[first] = true;
  g_assert_cmpint (_world_run (w, 3000), ==, 1 - first);
  _world_free (w);
}

/* Guards against an owner without peers that goes on after its lease expired. */
static void
test_single_member (void)
{
  World *w = _world_new (2, 1);
  int64_t until_ms;

  g_assert_cmpint (_world_run (w, 3000), ==, 0);
  w->store->unreachable_clients = 1;
  until_ms = w->owners[0].lease_until_ms;
  while (_world_step (w) == 0)
    ;
  g_assert_cmpint (w->now_ms, >=, until_ms);
  g_assert_cmpint (w->now_ms, <, until_ms + STEP_MS);
  w->store->unreachable_clients = 0;
  g_assert_cmpint (_world_run (w, 3000), ==, 0);
  _world_free (w);
}

/* Guards against an owner that stops in a store outage although all peers promised, and against one
 * that goes on when a peer is unreachable too. */
static void
test_promises (void)
{
  World *w = _world_new (3, 3);
  int first = _world_run (w, 3000);

  w->store->unreachable_clients = 7;
  g_assert_cmpint (_world_run (w, 20000), ==, first);
  g_assert_cmpuint (w->promised_steps, >, 1000);
  w->cut_peers = MEM_BIT ((first + 1) % 3);
  g_assert_cmpint (_world_run (w, 2000), ==, -1);
  w->cut_peers = 0;
  w->store->unreachable_clients = MEM_BIT (first);
  g_assert_cmpint (_world_run (w, 5000), !=, first);
  _world_free (w);
}

/* Guards against an owner without the store that keeps its DC by promises of members that can reach
 * the store. */
static void
test_store_unreachable (void)
{
  World *w = _world_new (4, 2);
  int first = _world_run (w, 3000);

  w->store->unreachable_clients = MEM_BIT (first);
  g_assert_cmpint (_world_run (w, 6000), ==, 1 - first);
  _world_free (w);
}

/* Guards against a member that breaks a promise which it gave before a restart. */
static void
test_promise_before_restart (void)
{
  World *w = _world_new (5, 2);
  int first = _world_run (w, 3000);
  int other = 1 - first;

  w->store->unreachable_clients = 3;
  _world_run (w, 5000);
  g_hash_table_remove_all (w->store->leases);
  _world_restart (w, (uint32_t)other);
  w->cut_peers = 3;
  w->store->unreachable_clients = MEM_BIT (first);
  /* The promise holds for up to 1 s more; _world_step() checks that there is only one owner. */
  g_assert_cmpint (_world_run (w, 500), ==, first);
  g_assert_cmpint (_world_run (w, 2000), ==, other);
  _world_free (w);
}

/* Guards against an owner that goes on after its lease expired in the store, a promise that counts
 * for another ownership, is given by an owner or counts for too long, and a promise that revives an
 * expired ownership. */
static void
test_lease_expired (void)
{
  World *w = _world_new (6, 1);
  VpPeerMessage promise = { .kind = VP_PEER_PROMISE, .from = "b", .dc = "dc", .correlation = 1 };
  VpEffects effects = { 0 };
  int64_t until_ms;

  _world_run (w, 3000);
  until_ms = w->owners[0].lease_until_ms;
  g_hash_table_remove_all (w->store->leases);
  while (w->owners[0].lapse_count == 0)
    _world_step (w);
  g_assert_cmpint (w->now_ms, <, until_ms - 1000);
  g_assert_cmpint (vp_owner_valid_until_ms (&w->owners[0], w->now_ms), ==, 0);
  g_assert_cmpint (_world_run (w, 1000), ==, 0);
  w->peers[0][0] = "b";
  w->peers[0][1] = NULL;
  w->store->unreachable_clients = 1;
  while (w->owners[0].promise_request_count == 0 && _world_step (w) == 0)
    ;
  for (int i = 0; i < 2; i++) {
    promise.epoch = w->owners[0].key_version - (i == 0 ? 1 : 0);
    promise.correlation = w->owners[0].promise_request_count;
    promise.duration_ms = 1000000;
    vp_owner_peer_message (&w->owners[0], &promise, w->now_ms, &effects);
    g_assert_cmpint (w->owners[0].received_promise_until_ms[0] > 0, ==, i == 1);
  }
  g_assert_cmpint (w->owners[0].received_promise_until_ms[0], <=, w->now_ms + 1000);
  promise.kind = VP_PEER_PROMISE_REQUEST;
  vp_owner_peer_message (&w->owners[0], &promise, w->now_ms, &effects);
  g_assert_cmpuint (effects.count, ==, 0);
  /* A promise arrives after a pause past the end: another member may have been the owner since. */
  promise.kind = VP_PEER_PROMISE;
  w->now_ms = vp_owner_valid_until_ms (&w->owners[0], w->now_ms) + 1;
  w->owners[0].promise_request_sent_ms[promise.correlation % VP_OWNER_PROMISE_REQUESTS_MAX]
      = w->now_ms;
  vp_owner_peer_message (&w->owners[0], &promise, w->now_ms, &effects);
  g_assert_cmpint (vp_owner_valid_until_ms (&w->owners[0], w->now_ms), ==, 0);
  vp_effects_free (&effects);
  _world_free (w);
}

/* Guards against treating a lost response as a failed write: the key is written, so no member would
 * become the owner before its lease expires. */
static void
test_lost_answer (void)
{
  World *w = _world_new (7, 2);

  w->store->lose_cas_count = 1;
  g_assert_cmpint (_world_run (w, 1600), !=, -1);
  g_assert_cmpuint (w->store->write_count, ==, 1);
  _world_free (w);
}

/* Guards against leases left behind in the store, and against a release that takes until the lease
 * expires. */
static void
test_release (void)
{
  World *w = _world_new (8, 3);
  VpEffects effects = { 0 };
  int first = _world_run (w, 2000);

  g_assert_cmpuint (g_hash_table_size (w->store->leases), ==, 1);
  vp_owner_release (&w->owners[first], w->now_ms, &effects);
  g_assert_cmpint (vp_owner_valid_until_ms (&w->owners[first], w->now_ms), ==, 0);
  _world_send (w, (uint32_t)first, &effects);
  g_assert_cmpint (_world_run (w, 600), !=, -1);
  g_assert_cmpint (w->owners[first].state, ==, VP_OWNER_RELEASED);
  g_assert_cmpuint (g_hash_table_size (w->store->leases), ==, 1);
  vp_effects_free (&effects);
  _world_free (w);
}

static void
_inject_random_fault (World *w)
{
  uint32_t i = (uint32_t)_mem_random (w->store, (int32_t)w->count);

  switch (_mem_random (w->store, 10)) {
  case 0:
    w->paused_until_ms[i] = w->now_ms + _mem_random (w->store, 6000);
    break;
  case 1:
    w->is_dead[i] = !w->is_dead[i];
    if (!w->is_dead[i])
      _world_restart (w, i);
    break;
  case 2:
    _world_restart (w, i);
    break;
  case 3:
    w->store->unreachable_clients ^= MEM_BIT (i);
    break;
  case 4:
    w->store->unreachable_clients = _mem_random (w->store, 2) == 0 ? 0 : 7;
    break;
  case 5:
    w->cut_peers ^= MEM_BIT (i);
    break;
  case 6:
    w->store->delay_ms = _mem_random (w->store, 700);
    w->message_delay_ms = _mem_random (w->store, 1200);
    break;
  case 7:
    w->store->lost_permille = _mem_random (w->store, 400);
    break;
  case 8:
    w->store->delay_ms = w->message_delay_ms = 5;
    break;
  default:
    w->store->lost_permille = w->store->delay_ms = 0;
    w->cut_peers = w->store->unreachable_clients = 0;
    break;
  }
}

/* Injects random pauses, crashes, restarts, store outages, network cuts, late responses and late
 * writes. Guards against two owners at a time, and against a DC that stays without an owner. */
static void
test_interleavings (void)
{
  uint64_t changes = 0, promised = 0;

  for (uint32_t seed = 1; seed <= 200; seed++) {
    World *w = _world_new (seed, 2 + seed % 2);
    for (uint32_t i = 0; i < 150; i++) {
      _inject_random_fault (w);
      _world_run (w, 50 + _mem_random (w->store, 2500));
    }
    memset (w->paused_until_ms, 0, sizeof w->paused_until_ms);
    changes += w->change_count;
    promised += w->promised_steps;
    w->store->lost_permille = w->store->delay_ms = w->message_delay_ms = 0;
    w->cut_peers = w->store->unreachable_clients = 0;
    memset (w->is_dead, 0, sizeof w->is_dead);
    g_assert_cmpint (_world_run (w, 8000), !=, -1);
    _world_free (w);
  }
  g_test_message ("%" G_GUINT64_FORMAT " changes of owner, %" G_GUINT64_FORMAT " steps by promise",
                  changes, promised);
  g_assert_cmpuint (changes, >, 1000);
  g_assert_cmpuint (promised, >, 10000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/owner/takeover", test_takeover);
  g_test_add_func ("/owner/single-member", test_single_member);
  g_test_add_func ("/owner/promises", test_promises);
  g_test_add_func ("/owner/store-unreachable", test_store_unreachable);
  g_test_add_func ("/owner/promise-before-restart", test_promise_before_restart);
  g_test_add_func ("/owner/lease-expired", test_lease_expired);
  g_test_add_func ("/owner/lost-answer", test_lost_answer);
  g_test_add_func ("/owner/release", test_release);
  g_test_add_func ("/owner/interleavings", test_interleavings);
  return g_test_run ();
}
