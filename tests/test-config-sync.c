#include "config-sync-sim.h"
#include "vp-json.h"

static bool
_was_accepted (const Sim *sim, uint64_t document_id)
{
  for (uint64_t i = 1; i <= sim->revision; i++)
    if (sim->document_ids[i] == document_id)
      return true;
  return false;
}

/* Guards against an outcome that reports a change wrongly as accepted or as not accepted. */
static void
_check_outcomes (const Sim *sim)
{
  for (guint i = 0; i < sim->outcomes->len; i++) {
    const VpConfigSyncOutcome *outcome = &g_array_index (sim->outcomes, VpConfigSyncOutcome, i);
    if (outcome->reason == VP_REASON_NONE)
      g_assert_true (_was_accepted (sim, outcome->handle));
    else if (outcome->reason != VP_REASON_OWNER_LOST)
      g_assert_false (_was_accepted (sim, outcome->handle));
  }
}

static void
_random_fault (Sim *sim)
{
  uint32_t node = (uint32_t)g_rand_int_range (sim->rand, 0, MEMBERS);

  switch (g_rand_int_range (sim->rand, 0, 9)) {
  case 0:
    sim->nodes[node].paused_until_ms = sim->now_ms + g_rand_int_range (sim->rand, 100, 8000);
    break;
  case 1:
    _start (sim, node);
    break;
  case 2:
    sim->nodes[node].has_store = !sim->nodes[node].has_store;
    break;
  case 3:
    sim->nodes[node].group ^= 1;
    break;
  case 4:
    sim->is_outage = !sim->is_outage;
    break;
  case 5:
    sim->message_loss_permille = (uint32_t)g_rand_int_range (sim->rand, 0, 300);
    sim->delayed_permille = (uint32_t)g_rand_int_range (sim->rand, 0, 200);
    sim->lost_answer_permille = (uint32_t)g_rand_int_range (sim->rand, 0, 300);
    break;
  case 6:
    vp_config_sync_set_watching (sim->nodes[node].sync, g_rand_boolean (sim->rand));
    break;
  default: /* clears some of the faults */
    sim->is_outage = false;
    sim->nodes[node].has_store = true;
    sim->nodes[node].group = 0;
    break;
  }
}

static void
_clear_faults (Sim *sim)
{
  sim->is_outage = false;
  sim->message_loss_permille = sim->delayed_permille = sim->lost_answer_permille = 0;
  for (uint32_t i = 0; i < MEMBERS; i++) {
    sim->nodes[i].has_store = true;
    sim->nodes[i].group = 0;
    sim->nodes[i].paused_until_ms = 0;
  }
}

/* Guards against a withdrawn key that is accepted for too long, a revision that goes back, a wrong
 * outcome, and members that never agree again. The faults are pauses, restarts, partitions, store
 * outages, delayed, lost and reordered messages, delayed and lost writes, and concurrent changes.
 */
static void
test_random_faults (void)
{
  uint64_t accepted = 0;

  for (uint32_t seed = 1; seed <= 24; seed++) {
    g_autoptr (Sim) sim = _sim_ready (seed);
    for (int i = 0; i < 120; i++) {
      uint32_t node = (uint32_t)g_rand_int_range (sim->rand, 0, MEMBERS);
      uint32_t other = (uint32_t)g_rand_int_range (sim->rand, 0, MEMBERS);
      _random_fault (sim);
      _run (sim, g_rand_int_range (sim->rand, 10, 1500));
      if (!_is_paused (sim, node))
        _submit (sim, node, vp_config_sync_revision (sim->nodes[node].sync),
                 (uint32_t)g_rand_int_range (sim->rand, 0, 1 << KEYS));
      if (!_is_paused (sim, other) && g_rand_boolean (sim->rand))
        _submit (sim, other, sim->revision, (uint32_t)g_rand_int_range (sim->rand, 0, 1 << KEYS));
      if (g_rand_int_range (sim->rand, 0, 4) == 0)
        _start (sim, node);
    }
    _clear_faults (sim);
    _run (sim, 20000);
    g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
    for (uint32_t i = 0; i < MEMBERS; i++) {
      g_assert_cmpuint (vp_config_sync_revision (sim->nodes[i].sync), ==, sim->revision);
      g_assert_cmpuint (vp_config_sync_announced_revision (sim->nodes[i].sync), ==, 0);
    }
    _check_outcomes (sim);
    accepted += sim->revision;
  }
  g_test_message ("%" G_GUINT64_FORMAT " changes accepted", accepted);
  g_assert_cmpuint (accepted, >, 500);
}

/* Guards against a store outage that stops requests with a key although all members can reach each
 * other. */
static void
test_outage (void)
{
  g_autoptr (Sim) sim = _sim_ready (1);

  sim->is_outage = true;
  sim->message_loss_permille = 50;
  for (int i = 0; i < 600; i++) {
    _run (sim, 100);
    g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
  }
  g_assert_cmpint (_await (sim, _submit (sim, 0, 1, 0))->reason, ==, VP_REASON_STORE_DOWN);
  g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
}

/* Guards against a member that goes on accepting keys while it reaches neither the store nor other
 * members, and against a DC that stops accepting them although it still reaches the store. */
static void
test_isolated_member (void)
{
  g_autoptr (Sim) sim = _sim_ready (2);

  sim->nodes[4].group = 1;
  sim->nodes[4].has_store = false;
  g_assert_cmpint (_await (sim, _submit (sim, 0, 1, 1u << 1))->reason, ==, VP_REASON_NONE);
  g_assert_false (vp_config_sync_keys_trusted (sim->nodes[4].sync, sim->now_ms));
  _clear_faults (sim);
  _run (sim, 5000);
  sim->nodes[2].group = sim->nodes[3].group = 2;
  for (int i = 0; i < 200; i++) {
    _run (sim, 100);
    g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
  }
  /* A minority can't change the configuration, even though it reaches the store. */
  g_assert_cmpint (_await (sim, _submit (sim, 2, 2, 0))->reason, ==, VP_REASON_NO_MAJORITY);
}

/* Guards against two concurrent changes of one revision that are both reported as accepted. */
static void
test_concurrent_changes (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++) {
    g_autoptr (Sim) sim = _sim_ready (seed);
    uint64_t a;
    uint64_t b;
    VpReason x;
    VpReason y;
    sim->message_loss_permille = seed % 2 * 100;
    a = _submit (sim, 0, 1, 1);
    b = _submit (sim, seed % 3 == 0 ? 0 : 5, 1, 2);
    x = _await (sim, a)->reason;
    y = _await (sim, b)->reason;
    g_assert_cmpuint (sim->revision, ==, 2);
    g_assert_true ((x == VP_REASON_NONE && y == VP_REASON_CONFLICT)
                   || (y == VP_REASON_NONE && x == VP_REASON_CONFLICT));
    _check_outcomes (sim);
  }
}

/* Guards against a change that is reported as failed, or made twice, when the store's answer to the
 * write is lost. */
static void
test_lost_answer (void)
{
  g_autoptr (Sim) sim = _sim_ready (3);
  const VpConfigSyncOutcome *outcome;

  sim->lose_write_answers = 1;
  outcome = _await (sim, _submit (sim, 1, 1, 1));
  g_assert_cmpint (outcome->reason, ==, VP_REASON_NONE);
  g_assert_cmpuint (outcome->revision, ==, 2);
  g_assert_cmpuint (outcome->confirmed_count, ==, MEMBERS);
  g_assert_cmpuint (sim->revision, ==, 2);
}

/* Guards against a member that goes on trusting its keys although a heartbeat told it of a later
 * revision. */
static void
test_later_revision_heard (void)
{
  g_autoptr (Sim) sim = _sim_ready (12);

  sim->heartbeat_only_node = 5;
  sim->nodes[5].has_store = false;
  _submit (sim, 0, 1, 1);
  while (sim->revision == 1)
    _step (sim);
  /* From now on the member hears one peer only, whose first heartbeat must be enough. */
  for (uint32_t i = 1; i < 5; i++)
    sim->nodes[i].group = 1;
  _run (sim, HEARTBEAT_MS + 100);
  g_assert_cmpuint (vp_config_sync_revision (sim->nodes[5].sync), ==, 1);
  g_assert_false (vp_config_sync_keys_trusted (sim->nodes[5].sync, sim->now_ms));
}

/* Guards against changes that reach the members late, and against members that stop accepting keys
 * at each change. A member that heard of a revision before it received the document may stop until
 * it has the document. */
static void
test_propagation_time (void)
{
  g_autoptr (Sim) sim = _sim_ready (13);
  uint32_t late_count = 0;
  uint32_t stopped_count = 0;

  sim->message_loss_permille = 20;
  for (uint64_t revision = 1; revision < 200; revision++) {
    _submit (sim, (uint32_t)(revision % MEMBERS), revision, (uint32_t)revision % (1 << KEYS));
    for (int i = 0; i < 100; i++) {
      uint32_t in_force = 0;
      _step (sim);
      stopped_count += MEMBERS - _trusted_count (sim);
      for (uint32_t j = 0; j < MEMBERS; j++)
        in_force += vp_config_sync_revision (sim->nodes[j].sync) > revision;
      /* The last step is 1 s after the change was submitted. */
      late_count += i == 99 && in_force < MEMBERS;
    }
    _run (sim, 100);
  }
  g_test_message ("%u of 199 changes were not in force after 1 s; stopped %u of %u steps",
                  late_count, stopped_count, 199 * 100 * MEMBERS);
  g_assert_cmpuint (stopped_count, <=, 199 * 100 * MEMBERS / 1000);
  g_assert_cmpuint (late_count, <=, 1);
}

/* Guards against an outcome that reports a revision as confirmed by members which lack it. */
static void
test_unconfirmed_members (void)
{
  g_autoptr (Sim) sim = _sim_ready (4);
  const VpConfigSyncOutcome *outcome;

  sim->nodes[3].paused_until_ms = sim->now_ms + 60000;
  sim->nodes[5].group = 1;
  sim->nodes[5].has_store = false;
  outcome = _await (sim, _submit (sim, 0, 1, 1));
  g_assert_cmpint (outcome->reason, ==, VP_REASON_NONE);
  g_assert_cmpuint (outcome->confirmed_count, ==, 4);
  g_assert_cmpstr (outcome->missing, ==, "b-2 c-2");
  g_assert_cmpint (_await (sim, _submit (sim, 0, 1, 1))->reason, ==, VP_REASON_CONFLICT);
}

/* Guards against a key that is accepted although an announced change withdraws it, and against an
 * announcement that is never resolved after its sender stopped. */
static void
test_abandoned_announcement (void)
{
  g_autoptr (Sim) sim = _sim_ready (5);
  char team[VP_NAME_MAX];

  _submit (sim, 0, 1, 1u << 1);
  while (vp_config_sync_announced_revision (sim->nodes[1].sync) == 0)
    _step (sim);
  sim->nodes[0].has_store = false;
  sim->nodes[0].paused_until_ms = sim->now_ms + 60000;
  sim->is_outage = true;
  _run (sim, 10000);
  g_assert_cmpuint (sim->revision, ==, 1);
  for (uint32_t i = 1; i < MEMBERS; i++) {
    g_assert_true (vp_config_sync_keys_trusted (sim->nodes[i].sync, sim->now_ms));
    g_assert_false (vp_config_sync_key_valid (sim->nodes[i].sync, _key (0), team));
    g_assert_true (vp_config_sync_key_valid (sim->nodes[i].sync, _key (1), team));
  }
  sim->is_outage = false;
  _run (sim, 8000);
  for (uint32_t i = 1; i < MEMBERS; i++) {
    g_assert_cmpuint (vp_config_sync_announced_revision (sim->nodes[i].sync), ==, 0);
    g_assert_true (vp_config_sync_key_valid (sim->nodes[i].sync, _key (0), team));
  }
}

/* Guards against a withdrawn key that is accepted after a change was written long after its
 * announcement, while its sender is stopped and no member can read the store. Members that
 * acknowledged the change must not forget it, and a member that did not hear of it must not count
 * their reports. */
static void
test_late_write (void)
{
  for (uint32_t heard = 0; heard < 2; heard++) {
    g_autoptr (Sim) sim = _sim_ready (11);
    uint32_t counted = heard ? 5 : 4;
    char team[VP_NAME_MAX];
    sim->write_delay_ms = 15000;
    sim->heartbeat_only_node = heard ? MEMBERS : 5;
    for (uint32_t i = 1; i < MEMBERS; i++)
      sim->nodes[i].has_store = false;
    _submit (sim, 0, 1, 1u << 1);
    _run (sim, 500);
    sim->nodes[0].paused_until_ms = sim->now_ms + 60000;
    _run (sim, 30000);
    g_assert_cmpuint (sim->revision, ==, 2);
    g_assert_cmpuint (vp_config_sync_revision (sim->nodes[1].sync), ==, 1);
    /* All members that know the announcement still accept the key that it keeps. */
    for (uint32_t i = 1; i <= counted; i++) {
      g_assert_true (vp_config_sync_keys_trusted (sim->nodes[i].sync, sim->now_ms));
      g_assert_true (vp_config_sync_key_valid (sim->nodes[i].sync, _key (1), team));
    }
    g_assert_true (vp_config_sync_keys_trusted (sim->nodes[5].sync, sim->now_ms) == (heard != 0));
  }
}

/* Guards against a restarted member that accepts an older value from a stale read of the store. */
static void
test_stale_store (void)
{
  g_autoptr (Sim) sim = _sim_ready (6);
  char team[VP_NAME_MAX];

  _await (sim, _submit (sim, 0, 1, 1u << 1));
  sim->is_stale = true;
  _run (sim, 5000);
  for (uint32_t i = 0; i < MEMBERS; i++)
    g_assert_cmpuint (vp_config_sync_revision (sim->nodes[i].sync), ==, 2);
  sim->nodes[4].group = 1;
  _start (sim, 4);
  _run (sim, 5000);
  g_assert_cmpuint (vp_config_sync_revision (sim->nodes[4].sync), ==, 2);
  g_assert_false (vp_config_sync_key_valid (sim->nodes[4].sync, _key (0), team));
}

/* Guards against keys that are trusted after a restart before anything confirmed them, and against
 * counting the reports of a restarted member, which has forgotten its acknowledgements. */
static void
test_restart (void)
{
  g_autoptr (Sim) sim = _sim_ready (7);

  sim->is_outage = true;
  _start (sim, 0);
  g_assert_false (vp_config_sync_keys_trusted (sim->nodes[0].sync, sim->now_ms));
  _run (sim, 3000);
  g_assert_cmpuint (vp_config_sync_revision (sim->nodes[0].sync), ==, 1);
  g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
  for (uint32_t i = 1; i < 4; i++)
    _start (sim, i);
  _run (sim, 2 * KEY_TRUST_MS);
  g_assert_cmpuint (_trusted_count (sim), ==, 0);
  sim->is_outage = false;
  _run (sim, 5000);
  g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
}

/* Guards against idle processes that use up the allowed rate of store calls. */
static void
test_idle_calls (void)
{
  g_autoptr (Sim) sim = _sim_ready (8);

  memset (sim->calls, 0, sizeof sim->calls);
  sim->message_loss_permille = 10;
  _run (sim, 600000);
  g_test_message ("in 600 s: %u reads, %u writes, %u watches", sim->calls[VP_STORE_GET],
                  sim->calls[VP_STORE_CAS], sim->calls[3]);
  g_assert_cmpuint (sim->calls[VP_STORE_CAS], ==, 0);
  /* Each process may make 0.08 calls a second besides those for the ownership of its DC. */
  g_assert_cmpuint (sim->calls[VP_STORE_GET] + sim->calls[3], <=, 288);
  g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
}

static GBytes *
_read_audit (Sim *sim, uint32_t node)
{
  VpEffects effects = { 0 };
  GBytes *audit;

  audit = vp_config_sync_audit (sim->nodes[node].sync, sim->now_ms, &effects);
  g_clear_pointer (&audit, g_bytes_unref);
  _run_effects (sim, node, &effects);
  _run (sim, 1000);
  audit = vp_config_sync_audit (sim->nodes[node].sync, sim->now_ms, &effects);
  _run_effects (sim, node, &effects);
  return audit;
}

/* Guards against an audit trail that grows without bound, loses the change of a process that
 * stopped right after writing it, or lists a change twice when the store's answer was lost. */
static void
test_audit (void)
{
  g_autoptr (Sim) sim = _sim_ready (9);
  g_autoptr (GBytes) audit = NULL;
  JsonParser *parser = json_parser_new ();
  JsonArray *array;
  int64_t asked_ms;
  gsize size;

  while (sim->revision < 300) {
    uint64_t before = sim->revision;
    uint32_t node = (uint32_t)(before % MEMBERS);
    if (before % 7 == 0)
      sim->lost_answer_permille = 300;
    _submit (sim, node, before, (uint32_t)before % (1 << KEYS));
    for (int i = 0; i < 300 && sim->revision == before; i++)
      _step (sim);
    if (before % 10 == 0) /* restarts before it could write the trail */
      _start (sim, node);
    sim->lost_answer_permille = 0;
    _run (sim, 1500);
  }
  _run (sim, 5000);
  asked_ms = sim->now_ms;
  audit = _read_audit (sim, 1);
  g_assert_nonnull (audit);
  g_assert_cmpint (vp_config_sync_audit_as_of_ms (sim->nodes[1].sync), >=, asked_ms);
  json_parser_load_from_data (parser, g_bytes_get_data (audit, &size),
                              (gssize)g_bytes_get_size (audit), NULL);
  array = json_node_get_array (json_parser_get_root (parser));
  g_assert_cmpuint (json_array_get_length (array), ==, 256);
  for (guint i = 0; i < 256; i++) {
    JsonObject *entry = json_array_get_object_element (array, i);
    g_assert_cmpint (json_object_get_int_member (entry, "revision"), ==, (gint64)sim->revision - i);
    g_assert_cmpstr (json_object_get_string_member (entry, "who"), ==, "operator");
    g_assert_true (g_str_has_prefix (json_object_get_string_member (entry, "summary"), "keys "));
  }
  g_object_unref (parser);
}

/* Guards against an invalid document that is refused only after it was announced, and against
 * malformed messages that change the state. */
static void
test_malformed_input (void)
{
  g_autoptr (Sim) sim = _sim_ready (10);
  g_autoptr (GBytes) bad = g_bytes_new_static ("{\"dcs\":[]}", 10);
  VpEffects effects = { 0 };
  VpPeerMessage message = { .from = "b-1", .body = bad, .revision = 9, .correlation = 5 };

  vp_config_sync_submit (sim->nodes[0].sync, 77, "o", 1, bad, sim->now_ms, &effects);
  g_assert_cmpint (_await (sim, 77)->reason, ==, VP_REASON_BAD_CONFIG);
  g_assert_cmpstr (_outcome (sim, 77)->detail, ==, "teams: missing");
  for (int kind = 0; kind < VP_PEER_KIND_COUNT; kind++) {
    if (kind == VP_PEER_HEARTBEAT)
      continue;
    message.kind = (VpPeerKind)kind;
    vp_config_sync_peer_message (sim->nodes[0].sync, &message, sim->now_ms, &effects);
  }
  g_assert_cmpuint (vp_config_sync_revision (sim->nodes[0].sync), ==, 1);
  g_assert_cmpuint (vp_config_sync_announced_revision (sim->nodes[0].sync), ==, 0);
  vp_effects_free (&effects);
  _run (sim, 1000);
  g_assert_cmpuint (_trusted_count (sim), ==, MEMBERS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config-sync/outage", test_outage);
  g_test_add_func ("/config-sync/isolated-member", test_isolated_member);
  g_test_add_func ("/config-sync/concurrent-changes", test_concurrent_changes);
  g_test_add_func ("/config-sync/lost-answer", test_lost_answer);
  g_test_add_func ("/config-sync/later-revision-heard", test_later_revision_heard);
  g_test_add_func ("/config-sync/propagation-time", test_propagation_time);
  g_test_add_func ("/config-sync/unconfirmed-members", test_unconfirmed_members);
  g_test_add_func ("/config-sync/abandoned-announcement", test_abandoned_announcement);
  g_test_add_func ("/config-sync/late-write", test_late_write);
  g_test_add_func ("/config-sync/stale-store", test_stale_store);
  g_test_add_func ("/config-sync/restart", test_restart);
  g_test_add_func ("/config-sync/idle-calls", test_idle_calls);
  g_test_add_func ("/config-sync/audit", test_audit);
  g_test_add_func ("/config-sync/malformed-input", test_malformed_input);
  g_test_add_func ("/config-sync/random-faults", test_random_faults);
  return g_test_run ();
}
