#include "store-memory.h"
#include "vp-limit-grants-table.h"
#include "vp-limit-grants.h"

#define STEP_MS   10
#define DCS       3
#define INSTANCES (2 * DCS) /* two members of each DC */
#define TEAMS     2
#define LATE_MS   3000 /* longest time between sending a write and its effect */

typedef struct {
  int64_t due_ms;
  uint32_t to; /* instance */
  VpPeerMessage message;
} QueuedMessage;

typedef struct {
  MemStore *store;
  VpLimitGrants *grants[INSTANCES];
  int current[DCS];               /* instance that owns the DC; -1: none */
  int64_t use_known_ms[DCS];      /* when the owner learns what runs */
  VpResources used[DCS][TEAMS];   /* resources of the tasks that run */
  VpResources demand[DCS][TEAMS]; /* resources of the tasks that would run with enough room */
  VpResources limits[TEAMS];
  VpResources recent_limits[TEAMS]; /* largest limits for which a write may still be in flight */
  int64_t changed_ms;               /* last change of the limits */
  VpResources last_sums[TEAMS];     /* sums of all grants at the last new table */
  uint64_t seen_version;            /* version of the table from which @grants_by_dc was read */
  VpResources grants_by_dc[DCS][TEAMS];
  uint64_t revision;
  uint32_t dc_mask; /* bits of the configured DCs */
  uint64_t isolated_dcs;
  GArray *messages;
  int64_t now_ms;
  bool is_quiet; /* tasks don't end at random */
  uint64_t start_count, request_count;
} World;

static const char *const DC_NAMES[] = { "a", "b", "c" };
static const char *const MEMBERS[] = { "a1", "b1", "c1", "a2", "b2", "c2" };
static const char *const TEAM_NAMES[] = { "t0", "t1" };

static void
_world_configure (World *w, uint32_t dc_mask, VpResources limit0, VpResources limit1)
{
  VpConfig *config = vp_config_new_empty ();

  for (uint32_t t = 0; t < TEAMS; t++)
    w->recent_limits[t] = vp_resources_max (&w->recent_limits[t], &w->limits[t]);
  w->changed_ms = w->now_ms;
  w->limits[0] = limit0;
  w->limits[1] = limit1;
  w->dc_mask = dc_mask;
  config->revision = ++w->revision;
  for (uint32_t d = 0; d < DCS; d++) {
    if ((dc_mask & MEM_BIT (d)) != 0)
      g_ptr_array_add (config->dcs, g_strdup (DC_NAMES[d]));
  }
  for (uint32_t t = 0; t < TEAMS; t++) {
    VpTeam team = { .share = 1, .limit = w->limits[t] };
    g_strlcpy (team.name, TEAM_NAMES[t], sizeof team.name);
    g_array_append_val (config->teams, team);
  }
  for (uint32_t i = 0; i < INSTANCES; i++)
    vp_limit_grants_set_config (w->grants[i], config, w->now_ms);
  vp_config_unref (config);
}

static void
_world_send (World *w, uint32_t i, VpEffects *effects)
{
  mem_store_send (w->store, i, effects, w->now_ms);
  for (uint32_t e = 0; e < effects->count; e++) {
    w->request_count += effects->items[e].kind == VP_EFFECT_PEER ? 1 : 0;
    for (uint32_t to = 0; to < INSTANCES; to++) {
      if (effects->items[e].kind == VP_EFFECT_PEER && w->current[to % DCS] == (int)to
          && g_str_equal (effects->items[e].peer.peer, MEMBERS[to])
          && (w->isolated_dcs & (MEM_BIT (i % DCS) | MEM_BIT (to % DCS))) == 0) {
        QueuedMessage queued = { w->now_ms + _mem_random (w->store, w->store->delay_ms + 1), to,
                                 effects->items[e].peer.message };
        g_array_append_val (w->messages, queued);
      }
    }
  }
  vp_effects_clear (effects);
}

/* Makes instance @i the owner of its DC. It learns what runs after @unknown_ms, and a write of the
 * earlier owner may still be in flight. */
static void
_world_open (World *w, uint32_t i, int64_t unknown_ms)
{
  VpEffects effects = { 0 };
  uint32_t dc = i % DCS;

  if (w->current[dc] >= 0)
    vp_limit_grants_close (w->grants[w->current[dc]]);
  w->current[dc] = (int)i;
  w->use_known_ms[dc] = w->now_ms + unknown_ms;
  vp_limit_grants_open (w->grants[i], w->now_ms, &effects);
  _world_send (w, i, &effects);
  vp_effects_free (&effects);
}

static World *
_world_new (uint32_t seed)
{
  World *w = g_new0 (World, 1);

  w->store = mem_store_new (seed);
  w->now_ms = 1000000;
  w->messages = g_array_new (FALSE, FALSE, sizeof (QueuedMessage));
  for (uint32_t i = 0; i < INSTANCES; i++) {
    const char *owners[] = { MEMBERS[(i + 1) % DCS], MEMBERS[(i + 2) % DCS],
                             MEMBERS[DCS + (i + 1) % DCS], MEMBERS[DCS + (i + 2) % DCS] };
    w->grants[i] = vp_limit_grants_setup (
        &(VpLimitGrantsDesc){ .dc = DC_NAMES[i % DCS], .member = MEMBERS[i] });
    vp_limit_grants_set_other_owners (w->grants[i], owners, G_N_ELEMENTS (owners));
    w->current[i % DCS] = -1;
  }
  return w;
}

static void
_world_free (World *w)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    vp_limit_grants_shutdown (w->grants[i]);
  g_array_unref (w->messages);
  mem_store_free (w->store);
  g_free (w);
}

static int64_t *
_amount (VpResources *resources, uint32_t dimension)
{
  int64_t *const fields[] = { &resources->cpu_milli, &resources->mem_mib, &resources->accel_count };

  return fields[dimension];
}

static VpResources
_world_total (const World *w, uint32_t t)
{
  VpResources total = { 0 };

  for (uint32_t d = 0; d < DCS; d++)
    vp_resources_add (&total, &w->used[d][t]);
  return total;
}

/* Starts, preempts and ends tasks of one team in one DC as a scheduler does. Each task uses one
 * dimension only, so that each dimension is tested on its own. */
static void
_world_schedule_team (World *w, uint32_t d, uint32_t t)
{
  static const int64_t units[] = { 100, 100, 1 };
  const VpLimitGrants *grants = w->grants[w->current[d]];
  VpResources usable;

  vp_limit_grants_usable (grants, TEAM_NAMES[t], &usable);
  for (uint32_t s = 0; s < G_N_ELEMENTS (units); s++) {
    int64_t *used = _amount (&w->used[d][t], s);
    VpResources total;

    if (*used > *_amount (&usable, s) && vp_limit_grants_is_open (grants)) {
      *used -= MIN (*used, units[s]);
    } else if (*used + units[s] <= MIN (*_amount (&usable, s), *_amount (&w->demand[d][t], s))) {
      *used += units[s];
      w->start_count++;
      total = _world_total (w, t);
      /* No start exceeds the limit. */
      g_assert_cmpint (*_amount (&total, s), <=, *_amount (&w->limits[t], s));
    }
    if (!w->is_quiet && _mem_random (w->store, 40) == 0)
      *used -= MIN (*used, units[s]);
  }
}

static void
_world_schedule (World *w, uint32_t d)
{
  VpEffects effects = { 0 };
  VpLimitGrants *grants = w->grants[w->current[d]];

  for (uint32_t t = 0; t < TEAMS && w->now_ms >= w->use_known_ms[d]; t++) {
    VpResources zero = { 0 }, waiting;
    vp_limit_grants_set_demand (grants, TEAM_NAMES[t], &w->used[d][t], &zero, w->now_ms);
    _world_schedule_team (w, d, t);
    waiting = w->demand[d][t];
    vp_resources_sub (&waiting, &w->used[d][t]);
    waiting = vp_resources_max (&waiting, &zero);
    vp_limit_grants_set_demand (grants, TEAM_NAMES[t], &w->used[d][t], &waiting, w->now_ms);
  }
  if (vp_limit_grants_next_ms (grants) <= w->now_ms)
    vp_limit_grants_tick (grants, w->now_ms, &effects);
  _world_send (w, (uint32_t)w->current[d], &effects);
  vp_effects_free (&effects);
}

static VpResources
_world_grant (World *w, const char *dc, uint32_t t, VpResources *sum)
{
  const MemKey *key = g_hash_table_lookup (w->store->keys, "grants");
  VpLimitGrantsTable *table = key != NULL ? vp_limit_grants_table_decode (key->value) : NULL;
  VpResources grant = { 0 };

  memset (sum, 0, sizeof *sum);
  if (table == NULL)
    return grant;
  vp_limit_grants_table_sum (table, TEAM_NAMES[t], dc, &grant);
  vp_limit_grants_table_sum (table, TEAM_NAMES[t], "", sum);
  vp_limit_grants_table_free (table);
  vp_resources_sub (&grant, sum);
  vp_resources_scale (&grant, -1);
  return grant;
}

/* Checks that the sum of all grants in the store never rises above the limit for which it was
 * written, and that no DC uses more than its grant. */
static void
_world_check (World *w)
{
  const MemKey *key = g_hash_table_lookup (w->store->keys, "grants");
  bool is_new = key != NULL && key->version != w->seen_version;

  w->seen_version = key != NULL ? key->version : 0;
  for (uint32_t t = 0; t < TEAMS; t++) {
    VpResources sum, bound;
    for (uint32_t d = 0; d < DCS; d++) {
      if (is_new)
        w->grants_by_dc[d][t] = _world_grant (w, DC_NAMES[d], t, &sum);
      g_assert_true (vp_resources_fits (&w->used[d][t], &w->grants_by_dc[d][t]));
    }
    if (w->now_ms >= w->changed_ms + LATE_MS)
      w->recent_limits[t] = w->limits[t];
    if (!is_new)
      continue;
    bound = vp_resources_max (&w->limits[t], &w->last_sums[t]);
    bound = vp_resources_max (&bound, &w->recent_limits[t]);
    g_assert_true (vp_resources_fits (&sum, &bound));
    w->last_sums[t] = sum;
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
    vp_limit_grants_store_result (w->grants[i], &result, w->now_ms, &effects);
    _world_send (w, i, &effects);
    vp_store_result_clear (&result);
  }
  for (guint m = 0; m < w->messages->len; m++) {
    QueuedMessage queued = g_array_index (w->messages, QueuedMessage, m);
    if (queued.due_ms > w->now_ms)
      continue;
    g_array_remove_index (w->messages, m--);
    vp_limit_grants_peer_message (w->grants[queued.to], &queued.message, w->now_ms, &effects);
    _world_send (w, queued.to, &effects);
  }
  for (uint32_t d = 0; d < DCS; d++) {
    if (w->current[d] >= 0)
      _world_schedule (w, d);
  }
  _world_check (w);
  vp_effects_free (&effects);
}

static void
_world_run (World *w, int64_t ms)
{
  for (int64_t i = 0; i < ms; i += STEP_MS)
    _world_step (w);
}

static void
_world_start (World *w, VpResources limit0, VpResources limit1)
{
  _world_configure (w, 7, limit0, limit1);
  for (uint32_t d = 0; d < DCS; d++)
    _world_open (w, d, 0);
  _world_run (w, 2000);
}

/* Guards against equal parts that do not add up to the limit, and against an idle owner that calls
 * the store. */
static void
test_equal_parts (void)
{
  World *w = _world_new (1);
  VpResources sum, grant;
  uint64_t calls;

  w->is_quiet = true;
  _world_start (w, (VpResources){ 10000, 100, 4 }, (VpResources){ 1000, 1000, 1 });
  grant = _world_grant (w, "a", 0, &sum);
  g_assert_cmpint (grant.cpu_milli, ==, 3334);
  g_assert_cmpint (grant.accel_count, ==, 2);
  g_assert_cmpmem (&sum, sizeof sum, &w->limits[0], sizeof sum);
  grant = _world_grant (w, "c", 1, &sum);
  g_assert_cmpint (grant.accel_count, ==, 0);
  calls = w->store->call_count;
  _world_run (w, 60000);
  g_assert_cmpuint (w->store->call_count, ==, calls);
  _world_free (w);
}

/* Guards against grants that stay in a DC which does not use them, against a single accelerator
 * that no other DC can get, and against repeated writes after the whole limit was granted. */
static void
test_rebalance (void)
{
  World *w = _world_new (2);
  VpResources all = { 10000, 10000, 1 };

  w->is_quiet = true;
  _world_start (w, all, all);
  for (uint32_t d = 0; d < DCS; d++) {
    uint64_t writes;
    memset (w->demand, 0, sizeof w->demand);
    memset (w->used, 0, sizeof w->used);
    w->demand[DCS - 1 - d][0] = (VpResources){ 20000, 20000, 5 };
    _world_run (w, 20000);
    g_assert_cmpint (_world_total (w, 0).cpu_milli, >=, 9000);
    g_assert_cmpint (_world_total (w, 0).mem_mib, >=, 9000);
    g_assert_cmpint (_world_total (w, 0).accel_count, ==, 1);
    writes = w->store->write_count;
    _world_run (w, 60000);
    g_assert_cmpuint (w->store->write_count - writes, <=, 2);
  }
  _world_free (w);
}

/* Guards against a lowered limit that takes effect late or in one DC only, and against room that
 * stays unused under the lowered limit although work waits. */
static void
test_lower_limit (void)
{
  World *w = _world_new (3);
  VpResources all = { 9000, 9000, 9 };
  VpResources usable[DCS], sum = { 0 };

  w->is_quiet = true;
  _world_start (w, all, all);
  w->demand[0][0] = w->demand[1][0] = (VpResources){ 9000, 9000, 9 };
  _world_run (w, 20000);
  w->store->unreachable_clients = 1;
  _world_configure (w, 7, (VpResources){ 3000, 3000, 3 }, all);
  for (uint32_t d = 0; d < DCS; d++) {
    vp_limit_grants_usable (w->grants[d], "t0", &usable[d]);
    vp_resources_add (&sum, &usable[d]);
  }
  g_assert_true (vp_resources_fits (&sum, &w->limits[0]));
  w->store->unreachable_clients = 0;
  _world_run (w, 30000);
  _world_grant (w, "a", 0, &sum);
  g_assert_true (vp_resources_fits (&sum, &w->limits[0]));
  g_assert_cmpint (_world_total (w, 0).cpu_milli, >=, 2700);
  _world_free (w);
}

/* Guards against grants that stay with a DC that was removed, and against a new DC that gets none.
 */
static void
test_dc_changes (void)
{
  World *w = _world_new (4);
  VpResources all = { 9000, 9000, 9 }, sum;

  w->is_quiet = true;
  _world_configure (w, 3, all, all);
  for (uint32_t d = 0; d < DCS; d++)
    _world_open (w, d, 0);
  w->demand[1][0] = (VpResources){ 4500, 4500, 4 };
  _world_run (w, 3000);
  g_assert_cmpint (_world_total (w, 0).cpu_milli, ==, 4500);
  _world_configure (w, 5, all, all);
  w->demand[0][0] = w->demand[1][0] = (VpResources){ 0 };
  w->demand[2][0] = all;
  _world_run (w, 20000);
  /* The removed DC still runs its tasks, so its grant is not free yet. It gives back what ends
   * without a request. */
  g_assert_cmpint (w->used[1][0].cpu_milli, ==, 4500);
  g_assert_cmpint (w->used[2][0].cpu_milli, ==, 4500);
  w->demand[2][0] = w->used[2][0];
  _world_run (w, 12000);
  w->used[1][0] = (VpResources){ 1000, 1000, 1 };
  _world_run (w, 2000);
  g_assert_cmpint (_world_grant (w, "b", 0, &sum).cpu_milli, ==, 1000);
  w->demand[2][0] = all;
  memset (&w->used[1][0], 0, sizeof (VpResources));
  _world_run (w, 20000);
  g_assert_cmpint (w->used[2][0].cpu_milli, >=, 8100);
  g_assert_cmpint (_world_grant (w, "b", 0, &sum).cpu_milli, ==, 0);
  _world_free (w);
}

/* Guards against a new owner that gives away a grant which tasks of the earlier owner use. */
static void
test_unknown_use (void)
{
  World *w = _world_new (5);
  VpResources all = { 9000, 9000, 9 }, sum;

  w->is_quiet = true;
  _world_start (w, all, all);
  w->demand[0][0] = (VpResources){ 3000, 3000, 3 };
  w->demand[1][0] = all;
  _world_run (w, 10000);
  _world_open (w, DCS, 20000);
  _world_configure (w, 7, (VpResources){ 6000, 6000, 6 }, all);
  _world_run (w, 15000);
  g_assert_cmpint (_world_grant (w, "a", 0, &sum).cpu_milli, ==, 3000);
  _world_run (w, 20000);
  g_assert_true (vp_resources_fits (&sum, &all));
  _world_grant (w, "a", 0, &sum);
  g_assert_true (vp_resources_fits (&sum, &w->limits[0]));
  _world_free (w);
}

/* Guards against starts after a lowered limit by an owner that has not read yet how much more
 * another DC was granted. */
static void
test_lowered_limit_unread_table (void)
{
  World *w = _world_new (6);
  VpResources all = { 9000, 9000, 9 }, twice = { 18000, 18000, 18 };

  w->is_quiet = true;
  _world_start (w, all, all);
  w->demand[0][0] = (VpResources){ 1500, 1500, 1 };
  _world_configure (w, 7, twice, all);
  w->demand[2][0] = (VpResources){ 12000, 12000, 12 };
  _world_run (w, 5000);
  g_assert_cmpint (w->used[2][0].cpu_milli, ==, 12000);
  w->store->unreachable_clients = 1;
  _world_configure (w, 7, all, all);
  _world_step (w);
  /* The tasks end and as many wait again. _world_schedule_team() checks the starts. */
  w->used[0][0] = (VpResources){ 0 };
  _world_run (w, 300);
  w->store->unreachable_clients = 0;
  _world_run (w, 10000);
  g_assert_cmpint (w->used[0][0].cpu_milli, ==, 1500);
  _world_free (w);
}

/* Guards against using a grant that was released by a write whose answer was lost. */
static void
test_lost_release_answer (void)
{
  World *w = _world_new (7);
  VpResources all = { 9000, 9000, 9 };
  bool is_lost = false;

  w->is_quiet = true;
  _world_start (w, all, all);
  w->demand[2][0] = all;
  for (uint32_t i = 0; i < 20000 / STEP_MS && w->used[2][0].cpu_milli < 9000; i++) {
    for (guint c = 0; c < w->store->calls->len; c++) {
      MemCall *call = g_ptr_array_index (w->store->calls, c);
      if (call->client == 0 && call->op.kind == VP_STORE_CAS) {
        call->result.status = VP_STORE_UNKNOWN;
        is_lost = true;
      }
    }
    _world_step (w);
  }
  g_assert_true (is_lost);
  g_assert_cmpint (w->used[2][0].cpu_milli, ==, 9000);
  w->demand[0][0] = all;
  w->store->delay_ms = 300;
  _world_run (w, 5000);
  g_assert_cmpint (w->used[0][0].cpu_milli, ==, 0);
  _world_free (w);
}

/* Store call of an instance that has not taken effect yet; NULL if there is none. */
static MemCall *
_world_call (const World *w, uint32_t i, VpStoreKind kind)
{
  for (guint c = 0; c < w->store->calls->len; c++) {
    MemCall *call = g_ptr_array_index (w->store->calls, c);
    if (call->client == i && call->op.kind == kind && !call->is_applied)
      return call;
  }
  return NULL;
}

/* Guards against a new owner that relies on a table which a delayed write of the earlier owner
 * changes afterwards. */
static void
test_late_write (void)
{
  World *w = _world_new (8);
  VpResources all = { 9000, 9000, 9 };

  w->is_quiet = true;
  _world_start (w, all, all);
  w->demand[2][0] = all;
  w->isolated_dcs = MEM_BIT (1); /* only the first DC gives up its grant */
  while (_world_call (w, 0, VP_STORE_CAS) == NULL)
    _world_step (w);
  _world_call (w, 0, VP_STORE_CAS)->apply_ms = w->now_ms + 200;
  w->demand[0][0] = all;
  w->store->delay_ms = 60;
  _world_open (w, DCS, 0);
  while (_world_call (w, DCS, VP_STORE_CAS) == NULL && !vp_limit_grants_is_open (w->grants[DCS]))
    _world_step (w);
  _world_call (w, DCS, VP_STORE_CAS)->apply_ms = w->now_ms + 4000;
  /* _world_schedule_team() checks that the new owner starts nothing in the released part. */
  _world_run (w, 3000);
  g_assert_cmpint (w->used[2][0].cpu_milli, ==, 6000);
  _world_run (w, 5000);
  g_assert_true (vp_limit_grants_is_open (w->grants[DCS]));
  _world_free (w);
}

/* Guards against two owners that write the column of one DC. */
static void
test_second_owner (void)
{
  World *w = _world_new (9);
  VpResources all = { 9000, 9000, 9 }, zero = { 0 };
  VpEffects effects = { 0 };

  w->is_quiet = true;
  _world_start (w, all, all);
  vp_limit_grants_open (w->grants[DCS], w->now_ms, &effects);
  _world_send (w, DCS, &effects);
  _world_run (w, 100);
  g_assert_true (vp_limit_grants_is_open (w->grants[DCS]));
  w->demand[0][0] = all;
  for (uint32_t i = 0; i < 2000 / STEP_MS && vp_limit_grants_is_open (w->grants[0]); i++)
    _world_step (w);
  vp_limit_grants_usable (w->grants[0], "t0", &all);
  g_assert_false (vp_limit_grants_is_open (w->grants[0]));
  g_assert_cmpmem (&all, sizeof all, &zero, sizeof zero);
  vp_effects_free (&effects);
  _world_free (w);
}

/* Guards against a limit that stays exceeded because it was lowered before a new owner opened its
 * grants, and against a flood of requests while all DCs lack room. */
static void
test_limit_lowered_before_open (void)
{
  World *w = _world_new (10);
  VpResources low = { 900, 900, 3 }, high = { 9000, 9000, 9 };

  w->is_quiet = true;
  _world_start (w, low, high);
  w->demand[0][0] = (VpResources){ 300, 300, 1 };
  _world_run (w, 1000);
  _world_configure (w, 7, high, high);
  w->demand[2][0] = high;
  _world_run (w, 10000);
  g_assert_cmpint (_world_total (w, 0).cpu_milli, >, 8100);
  _world_open (w, DCS, 0);
  _world_configure (w, 7, (VpResources){ 3000, 3000, 3 }, high);
  _world_run (w, 15000);
  g_assert_cmpint (_world_total (w, 0).cpu_milli, <=, 3000);
  w->demand[0][0] = w->demand[1][0] = high;
  _world_run (w, 20000);
  w->request_count = 0;
  _world_run (w, 60000);
  /* 3 owners send a request to 4 members each, once in 16 s. */
  g_assert_cmpuint (w->request_count, >, 0);
  g_assert_cmpuint (w->request_count, <=, 60);
  _world_free (w);
}

static VpResources
_random_resources (World *w, int32_t max)
{
  return (VpResources){ 100 * _mem_random (w->store, max), 100 * _mem_random (w->store, max),
                        _mem_random (w->store, max / 10 + 1) };
}

static void
_inject_fault (World *w)
{
  uint32_t d = (uint32_t)_mem_random (w->store, DCS);

  switch (_mem_random (w->store, 12)) {
  case 0:
  case 1:
    _world_open (w, d + DCS * (uint32_t)_mem_random (w->store, 2), _mem_random (w->store, 2000));
    break;
  case 2:
    w->store->unreachable_clients = (uint64_t)_mem_random (w->store, 64);
    break;
  case 3:
    w->store->delay_ms = _mem_random (w->store, 400);
    break;
  case 4:
    w->store->lost_permille = _mem_random (w->store, 400);
    break;
  case 5:
    w->isolated_dcs = (uint64_t)_mem_random (w->store, 8);
    break;
  case 6:
    _world_configure (w, _mem_random (w->store, 3) == 0 ? 5 : 7, _random_resources (w, 100),
                      _random_resources (w, 100));
    break;
  case 7:
  case 8:
    w->demand[d][_mem_random (w->store, TEAMS)] = _random_resources (w, 100);
    break;
  default:
    w->store->unreachable_clients = w->isolated_dcs = 0;
    w->store->delay_ms = 20;
    w->store->lost_permille = 0;
    break;
  }
}

/* Guards against use or grants above a team's limit, and against grants that no longer follow the
 * demand afterwards. The faults are changes of owner, lost answers, delayed writes, store outages,
 * isolated DCs, and changes of limits and DCs, in random order. */
static void
test_random_faults (void)
{
  uint64_t starts = 0;

  for (uint32_t seed = 1; seed <= 60; seed++) {
    World *w = _world_new (seed);
    VpResources all = { 9000, 9000, 9 };

    _world_start (w, all, all);
    for (uint32_t i = 0; i < 100; i++) {
      _inject_fault (w);
      _world_run (w, _mem_random (w->store, 2000));
    }
    w->store->unreachable_clients = w->isolated_dcs = 0;
    w->store->delay_ms = w->store->lost_permille = 0;
    w->is_quiet = true;
    _world_configure (w, 7, all, all);
    memset (w->demand, 0, sizeof w->demand);
    memset (w->used, 0, sizeof w->used);
    w->demand[seed % DCS][0] = all;
    _world_run (w, 40000);
    g_assert_cmpint (_world_total (w, 0).cpu_milli, >=, 8100);
    g_assert_cmpint (_world_total (w, 0).mem_mib, >=, 8100);
    g_assert_cmpint (_world_total (w, 0).accel_count, ==, 9);
    starts += w->start_count;
    _world_free (w);
  }
  g_test_message ("starts %" G_GUINT64_FORMAT, starts);
  g_assert_cmpuint (starts, >, 10000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limit-grants/equal-parts", test_equal_parts);
  g_test_add_func ("/limit-grants/rebalance", test_rebalance);
  g_test_add_func ("/limit-grants/lower-limit", test_lower_limit);
  g_test_add_func ("/limit-grants/dc-changes", test_dc_changes);
  g_test_add_func ("/limit-grants/unknown-use", test_unknown_use);
  g_test_add_func ("/limit-grants/lowered-limit-unread-table", test_lowered_limit_unread_table);
  g_test_add_func ("/limit-grants/lost-release-answer", test_lost_release_answer);
  g_test_add_func ("/limit-grants/late-write", test_late_write);
  g_test_add_func ("/limit-grants/second-owner", test_second_owner);
  g_test_add_func ("/limit-grants/limit-lowered-before-open", test_limit_lowered_before_open);
  g_test_add_func ("/limit-grants/random-faults", test_random_faults);
  return g_test_run ();
}
