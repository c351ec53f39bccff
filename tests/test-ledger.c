#include "store-memory.h"
#include "vp-ledger.h"
#include "vp-msg.h"

#define STEP_MS      10
#define INSTANCES    4
#define TASKS        400
#define RETENTION_MS 30000

typedef struct {
  MemStore *store;
  VpLedger *ledgers[INSTANCES];
  int current; /* instance that owns the DC; -1: none */
  int64_t now_ms;
  uint32_t put[TASKS];     /* latest version put of each task, stored in the record's attempt */
  uint32_t durable[TASKS]; /* latest version whose notice said that it is durable */
  int64_t ended_ms[TASKS]; /* when a final record was first put, durable or not; 0: never */
  bool is_withdrawn[TASKS];
  uint64_t durable_count, down_count, lost_count; /* notices by their reason */
  uint64_t open_count;                            /* ledgers opened */
} World;

static World *
_world_new (uint32_t seed, int64_t segment_bytes)
{
  World *w = g_new0 (World, 1);

  w->store = mem_store_new (seed);
  w->now_ms = 1000000;
  w->current = -1;
  for (uint32_t i = 0; i < INSTANCES; i++)
    w->ledgers[i] = vp_ledger_setup (&(VpLedgerDesc){ .dc = "dc",
                                                      .member = i % 2 == 0 ? "a" : "b",
                                                      .segment_bytes = segment_bytes,
                                                      .segments_max = 64,
                                                      .retention_ms = RETENTION_MS });
  return w;
}

static void
_world_free (World *w)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    vp_ledger_shutdown (w->ledgers[i]);
  mem_store_free (w->store);
  g_free (w);
}

static VpLedger *
_world_ledger (World *w)
{
  return w->ledgers[w->current];
}

static void
_world_send (World *w, uint32_t i, VpEffects *effects)
{
  mem_store_send (w->store, i, effects, w->now_ms);
  vp_effects_clear (effects);
}

static bool
_world_is_expired (const World *w, uint32_t t)
{
  return w->ended_ms[t] != 0 && w->ended_ms[t] + RETENTION_MS <= w->now_ms;
}

/* Checks that the ledger of the current owner contains each record that an owner was told is
 * durable, and no record that an owner was told is not written. */
static void
_world_check_task (World *w, uint32_t t)
{
  const VpLedgerRecord *record;

  if (w->current < 0 || vp_ledger_state (_world_ledger (w)) != VP_LEDGER_OPEN)
    return;
  record = vp_ledger_find (_world_ledger (w), (VpTaskId){ t + 1, 7 });
  if (w->durable[t] > 0 && !_world_is_expired (w, t)) {
    g_assert_nonnull (record);
    g_assert_cmpuint (record->attempt, >=, w->durable[t]);
  }
  if (w->is_withdrawn[t])
    g_assert_null (record);
}

static void
_world_notices (World *w, uint32_t i)
{
  g_autoptr (GArray) notices = g_array_new (FALSE, FALSE, sizeof (VpLedgerNotice));

  vp_ledger_take_notices (w->ledgers[i], notices);
  for (guint n = 0; n < notices->len; n++) {
    const VpLedgerNotice *notice = &g_array_index (notices, VpLedgerNotice, n);
    uint32_t t = (uint32_t)notice->task.hi - 1;
    const VpLedgerRecord *record = vp_ledger_find (w->ledgers[i], notice->task);

    if (notice->reason == VP_REASON_STORE_DOWN) {
      w->down_count++;
      g_assert_false (vp_task_state_is_final (notice->state));
      w->is_withdrawn[t] = true;
    } else if (notice->reason == VP_REASON_OWNER_LOST) {
      w->lost_count++;
    } else if (vp_ledger_is_durable (w->ledgers[i], notice->task)) {
      w->durable_count++;
      w->durable[t] = MAX (w->durable[t], record->attempt);
    }
    _world_check_task (w, t);
  }
}

static void
_world_step (World *w)
{
  VpEffects effects = { 0 };
  VpStoreResult result;
  uint32_t i;

  w->now_ms += STEP_MS;
  while (mem_store_receive (w->store, w->now_ms, &i, &result)) {
    VpLedgerState before = vp_ledger_state (w->ledgers[i]);
    vp_ledger_store_result (w->ledgers[i], &result, w->now_ms, &effects);
    _world_send (w, i, &effects);
    vp_store_result_clear (&result);
    if (before == VP_LEDGER_OPENING && vp_ledger_state (w->ledgers[i]) == VP_LEDGER_OPEN) {
      w->open_count++;
      for (uint32_t t = 0; t < TASKS && (int)i == w->current; t++)
        _world_check_task (w, t);
    }
    _world_notices (w, i);
  }
  for (i = 0; i < INSTANCES; i++) {
    if (vp_ledger_next_ms (w->ledgers[i]) <= w->now_ms) {
      vp_ledger_tick (w->ledgers[i], w->now_ms, &effects);
      _world_send (w, i, &effects);
      _world_notices (w, i);
    }
  }
  vp_effects_free (&effects);
}

static void
_world_run (World *w, int64_t ms)
{
  for (int64_t i = 0; i < ms; i += STEP_MS)
    _world_step (w);
}

static void
_world_open (World *w, uint32_t i)
{
  VpEffects effects = { 0 };

  /* A member whose ownership ended closes a ledger that it is still opening. A ledger that is open
   * already stays so and may have writes in flight. */
  for (uint32_t other = 0; other < INSTANCES; other++) {
    if (vp_ledger_state (w->ledgers[other]) == VP_LEDGER_OPENING)
      vp_ledger_close (w->ledgers[other]);
  }
  w->current = (int)i;
  vp_ledger_open (w->ledgers[i], w->now_ms, &effects);
  _world_send (w, i, &effects);
  vp_effects_free (&effects);
}

static VpReason
_world_put (World *w, uint32_t i, uint32_t t, VpTaskState state)
{
  VpLedgerRecord record = { .task = { t + 1, 7 },
                            .state = state,
                            .attempt = w->put[t] + 1,
                            .task_count = 1,
                            .team = "team",
                            .profile = "profile" };
  VpEffects effects = { 0 };
  VpReason reason;

  reason = vp_ledger_put (w->ledgers[i], &record, w->now_ms, &effects);
  if (reason == VP_REASON_NONE)
    w->put[t]++;
  if (reason == VP_REASON_NONE && vp_task_state_is_final (state) && w->ended_ms[t] == 0)
    w->ended_ms[t] = w->now_ms;
  _world_send (w, i, &effects);
  _world_notices (w, i);
  vp_effects_free (&effects);
  return reason;
}

static VpReason
_world_put_next (World *w, uint32_t i, uint32_t t)
{
  static const VpTaskState states[] = { VP_TASK_QUEUED, VP_TASK_STARTING, VP_TASK_UNKNOWN };
  const VpLedgerRecord *record = vp_ledger_find (w->ledgers[i], (VpTaskId){ t + 1, 7 });
  bool is_final = record != NULL && _mem_random (w->store, 3) == 0;

  /* An identity is used once, so its task is not put again after it became final or was withdrawn.
   */
  if (w->is_withdrawn[t] || _world_is_expired (w, t) || (record == NULL && w->put[t] > 0)
      || (record != NULL && vp_task_state_is_final (record->state)))
    return VP_REASON_IDENTITY_REUSED;
  return _world_put (w, i, t, is_final ? VP_TASK_DONE : states[_mem_random (w->store, 3)]);
}

/* Guards against a first record that waits for the commit interval, records under load that are
 * spread over many commits, and an idle ledger that calls the store. */
static void
test_group_commit (void)
{
  World *w = _world_new (1, 0);
  uint64_t commits, records, bytes, calls;
  uint32_t segments;

  _world_open (w, 0);
  _world_run (w, 100);
  g_assert_cmpint (vp_ledger_state (_world_ledger (w)), ==, VP_LEDGER_OPEN);
  g_assert_cmpuint (vp_ledger_epoch (_world_ledger (w)), ==, 1);
  _world_put (w, 0, 0, VP_TASK_QUEUED);
  _world_step (w);
  g_assert_true (vp_ledger_is_durable (_world_ledger (w), (VpTaskId){ 1, 7 }));
  for (uint32_t t = 1; t < 91; t++) {
    _world_put (w, 0, t, VP_TASK_QUEUED);
    _world_step (w);
  }
  _world_run (w, 400);
  vp_ledger_counts (_world_ledger (w), &commits, &records, &bytes, &segments);
  g_assert_cmpuint (records, ==, 91);
  g_assert_cmpuint (commits, <=, 5);
  g_assert_true (vp_ledger_is_idle (_world_ledger (w)));
  calls = w->store->call_count;
  _world_run (w, 20000);
  g_assert_cmpuint (w->store->call_count, ==, calls);
  _world_free (w);
}

/* Guards against a record that is reported as not written although it was or will be written,
 * against a final record that is dropped in a store outage, and against waiting without a bound. */
static void
test_outage (void)
{
  World *w = _world_new (2, 0);

  _world_open (w, 0);
  _world_run (w, 100);
  _world_put (w, 0, 0, VP_TASK_STARTING);
  _world_run (w, 400);
  w->store->unreachable_clients = 1;
  g_assert_cmpint (_world_put (w, 0, 0, VP_TASK_DONE), ==, VP_REASON_NONE);
  g_assert_cmpint (_world_put (w, 0, 1, VP_TASK_STARTING), ==, VP_REASON_NONE);
  _world_run (w, 1000);
  g_assert_cmpint (_world_put (w, 0, 2, VP_TASK_STARTING), ==, VP_REASON_STORE_DOWN);
  _world_run (w, 1500);
  g_assert_cmpuint (w->down_count, ==, 1);
  g_assert_true (w->is_withdrawn[1]);
  g_assert_null (vp_ledger_find (_world_ledger (w), (VpTaskId){ 2, 7 }));
  w->store->unreachable_clients = 0;
  _world_run (w, 1000);
  g_assert_cmpuint (w->durable[0], ==, 2);
  /* After a lost answer the record may be in the store, so it is not withdrawn. */
  w->store->lose_cas_count = 1;
  _world_put (w, 0, 3, VP_TASK_STARTING);
  _mem_run (w->store, w->now_ms);
  w->store->unreachable_clients = 1;
  _world_run (w, 6000);
  g_assert_cmpuint (w->down_count, ==, 1);
  w->store->unreachable_clients = 0;
  _world_run (w, 1000);
  g_assert_cmpuint (w->durable[3], ==, 1);
  _world_open (w, 1);
  _world_run (w, 100);
  g_assert_cmpint (vp_ledger_state (_world_ledger (w)), ==, VP_LEDGER_OPEN);
  for (uint32_t t = 0; t < TASKS; t++)
    _world_check_task (w, t);
  _world_free (w);
}

/* Guards against a full ledger that loses a final record or never accepts new records again. */
static void
test_full (void)
{
  World *w = _world_new (3, 200);
  uint32_t count = 0;

  _world_open (w, 0);
  _world_run (w, 100);
  while (count < TASKS && _world_put (w, 0, count, VP_TASK_STARTING) == VP_REASON_NONE) {
    count++;
    _world_run (w, 400);
  }
  g_assert_cmpint (_world_put (w, 0, count, VP_TASK_STARTING), ==, VP_REASON_LEDGER_FULL);
  g_assert_cmpuint (count, >, 40);
  /* The record in the oldest segment stays live and has to be copied to the current segment. */
  for (uint32_t t = 1; t < count; t++)
    g_assert_cmpint (_world_put (w, 0, t, VP_TASK_DONE), ==, VP_REASON_NONE);
  _world_run (w, 2000);
  for (uint32_t t = 1; t < count; t++)
    g_assert_cmpuint (w->durable[t], ==, 2);
  w->now_ms += RETENTION_MS + 1000;
  _world_open (w, 1);
  _world_run (w, 3000);
  g_assert_cmpint (_world_put (w, 1, count, VP_TASK_STARTING), ==, VP_REASON_NONE);
  _world_run (w, 2000);
  g_assert_cmpuint (g_hash_table_size (w->store->keys), <, 30);
  g_assert_null (vp_ledger_find (_world_ledger (w), (VpTaskId){ 2, 7 }));
  _world_open (w, 0);
  _world_run (w, 1000);
  g_assert_nonnull (vp_ledger_find (_world_ledger (w), (VpTaskId){ 1, 7 }));
  _world_free (w);
}

/* Guards against loading a segment from a stale read that lacks the last records. */
static void
test_stale_read (void)
{
  World *w = _world_new (4, 400);
  MemKey *key, *stale, original;

  _world_open (w, 0);
  _world_run (w, 100);
  for (uint32_t t = 0; t < 12; t++) {
    _world_put (w, 0, t, VP_TASK_STARTING);
    _world_run (w, 400);
  }
  key = g_hash_table_lookup (w->store->keys, "ledger/dc/2");
  stale = g_hash_table_lookup (w->store->keys, "ledger/dc/1");
  original = *key;
  key->version = stale->version;
  key->value = g_bytes_ref (stale->value);
  _world_open (w, 1);
  _world_run (w, 2000);
  g_assert_cmpint (vp_ledger_state (_world_ledger (w)), ==, VP_LEDGER_OPENING);
  g_bytes_unref (key->value);
  *key = original;
  _world_run (w, 500);
  g_assert_cmpint (vp_ledger_state (_world_ledger (w)), ==, VP_LEDGER_OPEN);
  for (uint32_t t = 0; t < 12; t++)
    _world_check_task (w, t);
  _world_free (w);
}

static void
_inject_fault (World *w)
{
  switch (_mem_random (w->store, 12)) {
  case 0:
  case 1:
  case 2:
    /* Changes the owner. The earlier owner goes on writing until its writes conflict. */
    _world_open (w, (uint32_t)_mem_random (w->store, INSTANCES));
    break;
  case 3:
    w->store->unreachable_clients = (uint64_t)_mem_random (w->store, 16);
    break;
  case 4:
    w->store->delay_ms = _mem_random (w->store, 400);
    break;
  case 5:
    w->store->lost_permille = _mem_random (w->store, 400);
    break;
  case 6:
    w->store->lose_cas_count = (uint64_t)_mem_random (w->store, 4);
    break;
  case 7:
    w->store->unreachable_clients = 15;
    break;
  default:
    w->store->unreachable_clients = 0;
    w->store->delay_ms = 20;
    w->store->lost_permille = 0;
    break;
  }
}

/* Clears all faults and runs until the owner is idle. Checks that no segment was left behind in the
 * store. */
static void
_world_check_idle (World *w)
{
  uint64_t commits, records, bytes;
  uint32_t segments;

  w->store->unreachable_clients = w->store->lose_cas_count = 0;
  w->store->delay_ms = w->store->lost_permille = 0;
  for (uint32_t tries = 0; tries < 3; tries++) {
    if (w->current < 0 || vp_ledger_state (_world_ledger (w)) != VP_LEDGER_OPEN)
      _world_open (w, 0);
    _world_run (w, 5000);
  }
  g_assert_cmpint (vp_ledger_state (_world_ledger (w)), ==, VP_LEDGER_OPEN);
  g_assert_true (vp_ledger_is_idle (_world_ledger (w)));
  vp_ledger_counts (_world_ledger (w), &commits, &records, &bytes, &segments);
  g_assert_cmpuint (g_hash_table_size (w->store->keys), <=, segments + 3);
}

/* Guards against losing a durable record, accepting a write of an earlier owner after the next one
 * opened the ledger, and reporting a written record as not written. The faults are changes of
 * owner, store outages, lost answers and delayed writes, in random order and together with new
 * segments and compaction. */
static void
test_random_faults (void)
{
  uint64_t durable = 0, down = 0, lost = 0, opens = 0;

  for (uint32_t seed = 1; seed <= 40; seed++) {
    World *w = _world_new (seed, 300 + 200 * (seed % 4));
    _world_open (w, 0);
    for (uint32_t i = 0; i < 120; i++) {
      _inject_fault (w);
      for (int32_t k = _mem_random (w->store, 60); k > 0; k--) {
        for (uint32_t p = 0; p < INSTANCES; p++)
          _world_put_next (w, p, (uint32_t)_mem_random (w->store, TASKS));
        _world_run (w, _mem_random (w->store, 60));
      }
    }
    _world_check_idle (w);
    durable += w->durable_count;
    down += w->down_count;
    lost += w->lost_count;
    opens += w->open_count;
    _world_free (w);
  }
  g_test_message ("durable %" G_GUINT64_FORMAT ", refused %" G_GUINT64_FORMAT
                  ", fenced %" G_GUINT64_FORMAT ", opened %" G_GUINT64_FORMAT,
                  durable, down, lost, opens);
  g_assert_cmpuint (MIN (MIN (durable, down), MIN (lost, opens)), >, 100);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ledger/group-commit", test_group_commit);
  g_test_add_func ("/ledger/outage", test_outage);
  g_test_add_func ("/ledger/full", test_full);
  g_test_add_func ("/ledger/stale-read", test_stale_read);
  g_test_add_func ("/ledger/random-faults", test_random_faults);
  return g_test_run ();
}
