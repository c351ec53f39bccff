#include "vp-limit-grants.h"
#include "vp-limit-grants-table.h"

#include <string.h>

#define STORE_KEY        "grants"
#define RETRY_MS         500
#define WATCH_TIMEOUT_MS 20000
#define PLAN_INTERVAL_MS 50 /* shortest time between plans that found nothing to write */
/* How long the grants may be over a lowered limit before this DC gives up more than its part: the
 * other DCs normally lower theirs within this time. */
#define EXCESS_GRACE_MS     3000
#define REQUEST_VALID_MS    10000 /* a question of another DC is forgotten after this */
#define STALL_MS            3000  /* longer than the exchange of a part between two DCs */
#define REQUEST_BACKOFF_MAX 16    /* unanswered questions are repeated less and less often */
/* Part of the limit that a DC takes in advance when it is free, so that not each start waits for
 * the store; it is given to a DC that asks. */
#define HEADROOM_DIVISOR 16
#define DIMENSION_COUNT  3

typedef struct {
  char name[VP_NAME_MAX];
  bool has_row;
  VpSize grant;         /* in the store, as last known */
  VpSize target;        /* may be used; at most the grant */
  VpSize target_limit;  /* limit that the goal was made for */
  VpSize stored_target; /* goal in the store, as last known */
  VpSize other_grants;  /* grants of the other DCs, as last read */
  VpSize next_grant;     /* grant that is being written */
  VpSize next_target;   /* goal once it is written */
  VpSize next_target_limit;
  bool is_written;       /* has a row in the write in flight */
  bool is_known;         /* the use was reported since the column was opened */
  bool is_limit_lowered; /* the limit fell, and no write has shown yet what the other DCs hold */
  VpSize used;
  VpSize waiting;
  VpSize peak[2]; /* largest need in this and the last period of idle_release_ms */
  int64_t peak_rotate_ms;
  VpSize requested; /* by other DCs */
  int64_t requested_until_ms;
  int64_t yield_until_ms;   /* a DC whose name comes first has asked */
  int64_t stalled_since_ms; /* since when work waits and the use does not change */
  int64_t excess_since_ms;  /* since when all grants are over the limit; 0: they are not */
  int64_t next_request_ms;  /* next question to other DCs; 0: none */
  uint32_t request_backoff;
} TeamGrant;

typedef enum { STATE_CLOSED, STATE_READING, STATE_CLAIMING, STATE_OPEN, STATE_FENCED } State;

struct _VpLimitGrants {
  VpLimitGrantsDesc desc;
  VpConfig *config;
  bool has_dc; /* this DC is configured */
  State state;
  int64_t opened_ms;
  GHashTable *teams;       /* name in Team -> Team */
  GPtrArray *other_owners; /* char* */
  VpLimitGrantsTable *table;
  uint64_t version;
  uint64_t next_token, token, watch_token; /* in flight; 0: none */
  bool is_dirty;                           /* a plan may find something to write */
  int64_t write_ms;                        /* next plan at the earliest */
  int64_t retry_ms; /* next try of an operation that is not settled; 0: there is none */
  int64_t watch_ms; /* next watch at the earliest */
  int64_t wake_ms;  /* next tick if nothing changes */
};

/* The dimensions of a size, for rules that hold for each of them. */
static int64_t *
_vp_limit_grants_field (VpSize *size, int dimension)
{
  int64_t *const fields[DIMENSION_COUNT] = { &size->cpu_milli, &size->mem_mib, &size->accel_count };

  return fields[dimension];
}

static int64_t
_vp_limit_grants_field_value (const VpSize *size, int dimension)
{
  const int64_t fields[DIMENSION_COUNT] = { size->cpu_milli, size->mem_mib, size->accel_count };

  return fields[dimension];
}

VpLimitGrants *
vp_limit_grants_setup (const VpLimitGrantsDesc *desc)
{
  VpLimitGrants *grants = g_new0 (VpLimitGrants, 1);

  grants->desc = *desc;
  grants->desc.rebalance_ms = desc->rebalance_ms != 0 ? desc->rebalance_ms : 1000;
  grants->desc.idle_release_ms = desc->idle_release_ms != 0 ? desc->idle_release_ms : 2000;
  grants->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  grants->other_owners = g_ptr_array_new_with_free_func (g_free);
  return grants;
}

void
vp_limit_grants_close (VpLimitGrants *grants)
{
  grants->state = STATE_CLOSED;
  grants->token = grants->watch_token = 0;
  grants->version = 0;
  grants->retry_ms = grants->write_ms = grants->watch_ms = grants->wake_ms = 0;
  g_clear_pointer (&grants->table, vp_limit_grants_table_free);
  g_hash_table_remove_all (grants->teams);
}

void
vp_limit_grants_shutdown (VpLimitGrants *grants)
{
  vp_limit_grants_close (grants);
  g_clear_pointer (&grants->config, vp_config_unref);
  g_hash_table_unref (grants->teams);
  g_ptr_array_unref (grants->other_owners);
  g_free (grants);
}

static TeamGrant *
_vp_limit_grants_get_team (VpLimitGrants *grants, const char *name)
{
  TeamGrant *team = g_hash_table_lookup (grants->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (TeamGrant, 1);
  if (!vp_name_copy (team->name, sizeof team->name, name))
    team->name[0] = '\0';
  team->request_backoff = 1;
  g_hash_table_insert (grants->teams, team->name, team);
  return team;
}

/* Zero for a team that is not configured. */
static VpSize
_vp_limit_grants_limit (const VpLimitGrants *grants, const char *name)
{
  const VpTeam *team = vp_config_team (grants->config, name);

  return team != NULL ? team->limit : (VpSize){ 0 };
}

/* False while there is only the built-in empty configuration: it says nothing about limits. */
static bool
_vp_limit_grants_has_config (const VpLimitGrants *grants)
{
  return grants->config != NULL && grants->config->revision > 0;
}

/* Lowers the goal in proportion when the limit fell. Other DCs may still use more than their part:
 * so nothing more is started until a write has shown that all grants are within the limit. */
static void
_vp_limit_grants_scale_target (const VpLimitGrants *grants, TeamGrant *team)
{
  VpSize limit;

  if (!_vp_limit_grants_has_config (grants) || !team->has_row)
    return;
  limit = _vp_limit_grants_limit (grants, team->name);
  for (int d = 0; d < DIMENSION_COUNT; d++) {
    int64_t next = _vp_limit_grants_field_value (&limit, d);
    int64_t *target_limit = _vp_limit_grants_field (&team->target_limit, d);
    int64_t *target = _vp_limit_grants_field (&team->target, d);
    if (next < *target_limit) {
      *target = (int64_t)((__int128)*target * next / *target_limit);
      team->is_limit_lowered = true;
    }
    *target_limit = next;
  }
}

static void
_vp_limit_grants_scale_all_targets (VpLimitGrants *grants)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    _vp_limit_grants_scale_target (grants, value);
}

static bool
_vp_limit_grants_has_dc (const VpLimitGrants *grants)
{
  for (guint i = 0; i < grants->config->dcs->len; i++) {
    if (strcmp (g_ptr_array_index (grants->config->dcs, i), grants->desc.dc) == 0)
      return true;
  }
  return false;
}

void
vp_limit_grants_set_config (VpLimitGrants *grants, VpConfig *config, int64_t now_ms)
{
  VpConfig *old = grants->config;

  grants->config = vp_config_ref (config);
  grants->has_dc = _vp_limit_grants_has_dc (grants);
  if (old != NULL)
    vp_config_unref (old);
  _vp_limit_grants_scale_all_targets (grants);
  grants->is_dirty = true;
  grants->write_ms = MIN (grants->write_ms, now_ms);
}

static VpStoreOp *
_vp_limit_grants_store_op (VpLimitGrants *grants, VpStoreKind kind, VpEffects *effects)
{
  VpStoreOp *op = vp_effects_store (effects, VP_MODULE_GRANTS, kind, STORE_KEY);

  op->token = ++grants->next_token;
  return op;
}

void
vp_limit_grants_open (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  vp_limit_grants_close (grants);
  grants->state = STATE_READING;
  grants->opened_ms = now_ms;
  grants->is_dirty = true;
  grants->token = _vp_limit_grants_store_op (grants, VP_STORE_GET, effects)->token;
}

bool
vp_limit_grants_is_open (const VpLimitGrants *grants)
{
  return grants->state == STATE_OPEN;
}

void
vp_limit_grants_set_other_owners (VpLimitGrants *grants, const char *const *members, uint32_t count)
{
  g_ptr_array_set_size (grants->other_owners, 0);
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (grants->other_owners, g_strdup (members[i]));
}

static VpSize
_vp_limit_grants_need (const TeamGrant *team)
{
  VpSize want = team->used;

  vp_size_add (&want, &team->waiting);
  return want;
}

/* Largest need of the last one to two periods of idle_release_ms. */
static VpSize
_vp_limit_grants_peak (TeamGrant *team, int64_t period_ms, int64_t now_ms)
{
  VpSize want = _vp_limit_grants_need (team);

  if (now_ms >= team->peak_rotate_ms) {
    team->peak[1] = now_ms < team->peak_rotate_ms + period_ms ? team->peak[0] : want;
    team->peak[0] = want;
    team->peak_rotate_ms = now_ms + period_ms;
  }
  team->peak[0] = vp_size_max (&team->peak[0], &want);
  return vp_size_max (&team->peak[0], &team->peak[1]);
}

void
vp_limit_grants_set_demand (VpLimitGrants *grants,
                            const char *name,
                            const VpSize *used,
                            const VpSize *waiting,
                            int64_t now_ms)
{
  TeamGrant *team = _vp_limit_grants_get_team (grants, name);
  VpSize want;

  if (!team->is_known)
    team->peak_rotate_ms = now_ms;
  team->is_known = true;
  if (vp_size_is_zero (waiting) || memcmp (&team->used, used, sizeof team->used) != 0)
    team->stalled_since_ms = 0;
  else if (team->stalled_since_ms == 0)
    team->stalled_since_ms = now_ms;
  team->used = *used;
  team->waiting = *waiting;
  want = _vp_limit_grants_need (team);
  _vp_limit_grants_peak (team, grants->desc.idle_release_ms, now_ms);
  if (!vp_size_fits (&want, &team->target) || !vp_size_fits (&team->grant, &team->target)
      || (!grants->has_dc && !vp_size_fits (&team->grant, used)))
    grants->is_dirty = true;
}

void
vp_limit_grants_peer_message (VpLimitGrants *grants,
                              const VpPeerMessage *message,
                              int64_t now_ms,
                              VpEffects *effects)
{
  TeamGrant *team;

  if (message->kind != VP_PEER_GRANT_ASK || grants->state != STATE_OPEN
      || strcmp (message->dc, grants->desc.dc) == 0)
    return;
  team = g_hash_table_lookup (grants->teams, message->team);
  if (team == NULL || !vp_size_is_valid (&message->size))
    return;
  if (now_ms >= team->requested_until_ms)
    memset (&team->requested, 0, sizeof team->requested);
  team->requested = vp_size_max (&team->requested, &message->size);
  team->requested_until_ms = now_ms + REQUEST_VALID_MS;
  if (strcmp (message->dc, grants->desc.dc) < 0)
    team->yield_until_ms = now_ms + REQUEST_VALID_MS;
  grants->is_dirty = true;
  vp_limit_grants_tick (grants, now_ms, effects);
}

static gint
_vp_limit_grants_compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* This DC's equal part of a new team's limit; the first DCs by name get what does not divide. */
static VpSize
_vp_limit_grants_equal_part (const VpLimitGrants *grants, const VpSize *limit)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  VpSize part = { 0 };
  int64_t index = 0;

  for (guint i = 0; i < grants->config->dcs->len; i++)
    g_ptr_array_add (names, g_ptr_array_index (grants->config->dcs, i));
  g_ptr_array_sort (names, _vp_limit_grants_compare_names);
  while (index < names->len && strcmp (g_ptr_array_index (names, index), grants->desc.dc) != 0)
    index++;
  if (index == names->len)
    return part;
  for (int d = 0; d < DIMENSION_COUNT; d++) {
    int64_t whole = _vp_limit_grants_field_value (limit, d);
    *_vp_limit_grants_field (&part, d) = whole / names->len + (index < whole % names->len ? 1 : 0);
  }
  return part;
}

/* Jobs that need more than each DC's part would wait for each other for ever: the DC whose name
 * comes first gets what the others don't use. */
static bool
_vp_limit_grants_is_yielding (const TeamGrant *team, int64_t now_ms)
{
  return now_ms < team->yield_until_ms && team->stalled_since_ms != 0
         && now_ms - team->stalled_since_ms >= STALL_MS;
}

/* Lowers the goal by what other DCs asked for and this one has not needed lately. A DC that is no
 * longer configured keeps only what it uses. */
static void
_vp_limit_grants_release_idle (const VpLimitGrants *grants,
                               TeamGrant *team,
                               bool has_dc,
                               int64_t now_ms)
{
  VpSize peak = _vp_limit_grants_peak (team, grants->desc.idle_release_ms, now_ms);
  bool is_requested = now_ms < team->requested_until_ms;
  bool is_yielding = _vp_limit_grants_is_yielding (team, now_ms);
  bool is_given = false;

  for (int d = 0; d < DIMENSION_COUNT; d++) {
    int64_t *target = _vp_limit_grants_field (&team->target, d);
    int64_t *requested = _vp_limit_grants_field (&team->requested, d);
    int64_t spare
        = *target - _vp_limit_grants_field_value (has_dc && !is_yielding ? &peak : &team->used, d);
    int64_t give = !has_dc ? spare : is_requested ? MIN (spare, *requested) : 0;
    if (give <= 0)
      continue;
    *target -= give;
    *requested -= MIN (give, *requested);
    is_given = true;
  }
  if (is_given && vp_size_is_zero (&team->requested))
    team->requested_until_ms = 0;
}

/* Plans one dimension: the grant falls to the goal as far as the use allows, or rises by what is
 * needed and free. @free: limit less the grants of all DCs. */
static void
_vp_limit_grants_plan_dimension (TeamGrant *team,
                                 int d,
                                 bool may_take,
                                 int64_t free,
                                 int64_t headroom)
{
  VpSize want = _vp_limit_grants_need (team);
  int64_t need = _vp_limit_grants_field_value (&want, d);
  int64_t grant = _vp_limit_grants_field_value (&team->grant, d);
  int64_t target = _vp_limit_grants_field_value (&team->target, d);
  int64_t next = grant;

  if (free < 0)
    target = MIN (target, _vp_limit_grants_field_value (&team->used, d));
  if (may_take && need > target && target < grant && free >= 0)
    target = MIN (need, grant);
  if (target < grant)
    next = MAX (target, MIN (grant, _vp_limit_grants_field_value (&team->used, d)));
  else if (may_take && free > 0 && need > grant)
    next = target = grant + MIN (free, need - grant + headroom);
  *_vp_limit_grants_field (&team->next_grant, d) = next;
  *_vp_limit_grants_field (&team->next_target, d) = target;
}

/* Lowers the goal by this DC's part of what all grants are over the limit, if they stay over it. */
static void
_vp_limit_grants_reduce_excess (TeamGrant *team,
                                const VpSize *free,
                                int64_t rebalance_ms,
                                int64_t now_ms)
{
  if (vp_size_is_valid (free)) {
    team->excess_since_ms = 0;
    return;
  }
  if (team->excess_since_ms == 0)
    team->excess_since_ms = now_ms;
  if (now_ms < team->excess_since_ms + EXCESS_GRACE_MS)
    return;
  team->excess_since_ms += rebalance_ms;
  for (int d = 0; d < DIMENSION_COUNT; d++) {
    int64_t excess = -_vp_limit_grants_field_value (free, d);
    int64_t grant = _vp_limit_grants_field_value (&team->grant, d);
    int64_t all = grant + _vp_limit_grants_field_value (&team->other_grants, d);
    int64_t *target = _vp_limit_grants_field (&team->target, d);
    if (excess > 0 && grant > 0)
      *target = MAX (0, MIN (*target, grant - 1 - (int64_t)((__int128)excess * grant / all)));
  }
}

/* True if the team's row changes. */
static bool
_vp_limit_grants_plan_team (const VpLimitGrants *grants,
                            TeamGrant *team,
                            bool has_dc,
                            int64_t now_ms)
{
  VpSize limit = _vp_limit_grants_limit (grants, team->name);
  VpSize free = limit;
  VpSize old_target;
  bool may_take = has_dc && !_vp_limit_grants_is_yielding (team, now_ms);

  vp_size_sub (&free, &team->other_grants);
  vp_size_sub (&free, &team->grant);
  team->next_grant = team->grant;
  team->next_target = team->target;
  team->next_target_limit = team->target_limit;
  if (!team->has_row) {
    VpSize part = _vp_limit_grants_equal_part (grants, &limit);
    VpSize zero = { 0 };
    part = vp_size_min (&part, &free);
    team->next_grant = team->next_target = vp_size_max (&part, &zero);
    team->next_target_limit = limit;
    return vp_config_team (grants->config, team->name) != NULL && has_dc;
  }
  if (!team->is_known)
    return false;
  _vp_limit_grants_release_idle (grants, team, has_dc, now_ms);
  _vp_limit_grants_reduce_excess (team, &free, grants->desc.rebalance_ms, now_ms);
  old_target = team->target;
  for (int d = 0; d < DIMENSION_COUNT; d++)
    _vp_limit_grants_plan_dimension (team, d, may_take, _vp_limit_grants_field_value (&free, d),
                                     _vp_limit_grants_field_value (&limit, d) / HEADROOM_DIVISOR);
  /* What is raised may be used once it is written. */
  team->target = vp_size_min (&old_target, &team->next_target);
  return team->is_limit_lowered || memcmp (&team->next_grant, &team->grant, sizeof team->next_grant) != 0
         || memcmp (&team->next_target, &team->stored_target, sizeof team->stored_target) != 0
         || memcmp (&team->next_target, &old_target, sizeof old_target) != 0;
}

/* Appends this DC's column as planned to @table. */
static void
_vp_limit_grants_add_column (const VpLimitGrants *grants, VpLimitGrantsTable *table)
{
  VpLimitGrantsColumn column = { .opened_ms = grants->opened_ms };
  GHashTableIter iter;
  gpointer value;

  g_strlcpy (column.dc, grants->desc.dc, sizeof column.dc);
  g_strlcpy (column.member, grants->desc.member, sizeof column.member);
  g_array_append_val (table->columns, column);
  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    TeamGrant *team = value;
    VpLimitGrantsRow row
        = { .grant = team->next_grant, .target = team->next_target, .limit = team->next_target_limit };
    bool is_configured = vp_config_team (grants->config, team->name) != NULL;

    team->is_written
        = (team->has_row || is_configured) && (is_configured || !vp_size_is_zero (&team->next_grant));
    if (!team->is_written)
      continue;
    row.target = vp_size_min (&row.target, &row.grant);
    g_strlcpy (row.team, team->name, sizeof row.team);
    g_strlcpy (row.dc, grants->desc.dc, sizeof row.dc);
    g_array_append_val (table->rows, row);
  }
}

/* Writes the plan: only this DC's column, on top of the table as it was read. */
static void
_vp_limit_grants_write (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  VpStoreOp *op = _vp_limit_grants_store_op (grants, VP_STORE_CAS, effects);

  vp_limit_grants_table_clear_dc (grants->table, grants->desc.dc);
  _vp_limit_grants_add_column (grants, grants->table);
  op->version = grants->version;
  op->value = vp_limit_grants_table_encode (grants->table);
  grants->token = op->token;
  grants->write_ms = now_ms + grants->desc.rebalance_ms;
}

/* Plans all teams; true if something has to be written. */
static bool
_vp_limit_grants_plan (VpLimitGrants *grants, int64_t now_ms)
{
  bool is_changed = false;
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < grants->config->teams->len; i++)
    _vp_limit_grants_get_team (grants, g_array_index (grants->config->teams, VpTeam, i).name);
  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    is_changed = _vp_limit_grants_plan_team (grants, value, grants->has_dc, now_ms) || is_changed;
  return is_changed;
}

static const VpLimitGrantsRow *
_vp_limit_grants_own_row (const VpLimitGrants *grants, const char *team)
{
  for (guint i = 0; i < grants->table->rows->len; i++) {
    const VpLimitGrantsRow *row = &g_array_index (grants->table->rows, VpLimitGrantsRow, i);
    if (strcmp (row->team, team) == 0 && strcmp (row->dc, grants->desc.dc) == 0)
      return row;
  }
  return NULL;
}

/* Takes over one team's grants. The goal of an open column only falls here. */
static void
_vp_limit_grants_apply_team_row (const VpLimitGrants *grants, TeamGrant *team)
{
  const VpLimitGrantsRow *row = _vp_limit_grants_own_row (grants, team->name);
  bool is_new = !team->has_row || grants->state != STATE_OPEN;
  const VpLimitGrantsRow none = { 0 };

  vp_limit_grants_table_sum (grants->table, team->name, grants->desc.dc, &team->other_grants);
  team->has_row = row != NULL;
  row = row != NULL ? row : &none;
  team->grant = row->grant;
  team->stored_target = row->target;
  if (is_new) {
    team->target = row->target;
    team->target_limit = row->limit;
    _vp_limit_grants_scale_target (grants, team);
  }
  team->target = vp_size_min (&team->target, &team->grant);
}

/* Takes over the table as the store holds it. */
static void
_vp_limit_grants_apply_table (VpLimitGrants *grants)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < grants->table->rows->len; i++)
    _vp_limit_grants_get_team (grants,
                               g_array_index (grants->table->rows, VpLimitGrantsRow, i).team);
  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    _vp_limit_grants_apply_team_row (grants, value);
  grants->is_dirty = true;
}

/* False if @result holds no table that can be used. */
static bool
_vp_limit_grants_decode_table (VpLimitGrants *grants,
                               const VpStoreResult *result,
                               VpEffects *effects)
{
  VpLimitGrantsTable *table = NULL;

  if (result->version == 0)
    table = vp_limit_grants_table_new ();
  else if (result->value != NULL)
    table = vp_limit_grants_table_decode (result->value);
  if (table == NULL) {
    vp_effects_log (effects, G_LOG_LEVEL_CRITICAL, "the store value %s can't be decoded",
                    STORE_KEY);
    return false;
  }
  vp_limit_grants_table_free (grants->table);
  grants->table = table;
  grants->version = result->version;
  return true;
}

static bool
_vp_limit_grants_is_own_column (const VpLimitGrants *grants)
{
  const VpLimitGrantsColumn *column = vp_limit_grants_table_column (grants->table, grants->desc.dc);

  return column != NULL && strcmp (column->member, grants->desc.member) == 0
         && column->opened_ms == grants->opened_ms;
}

/* The write took effect: the grants are what was written, and the goals rise with them. */
static void
_vp_limit_grants_write_done (VpLimitGrants *grants, uint64_t version)
{
  GHashTableIter iter;
  gpointer value;

  grants->version = version;
  grants->state = STATE_OPEN;
  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    TeamGrant *team = value;
    if (!vp_size_fits (&team->next_grant, &team->grant))
      team->request_backoff = 1;
    team->has_row = team->is_written;
    team->grant = team->next_grant;
    team->stored_target = team->target = vp_size_min (&team->next_target, &team->grant);
    team->target_limit = team->next_target_limit;
    team->is_limit_lowered = team->is_limit_lowered && !team->is_known;
    _vp_limit_grants_scale_target (grants, team);
  }
  grants->is_dirty = true;
}

/* The table was changed by another DC, or by an earlier try of this write whose answer was lost.
 * In both cases what was returned is true and this write can't take effect any more. */
static void
_vp_limit_grants_handle_newer_table (VpLimitGrants *grants,
                                     const VpStoreResult *result,
                                     int64_t now_ms,
                                     VpEffects *effects)
{
  if (!_vp_limit_grants_decode_table (grants, result, effects)) {
    grants->retry_ms = now_ms + RETRY_MS;
    return;
  }
  if (grants->state == STATE_OPEN && !_vp_limit_grants_is_own_column (grants)) {
    vp_effects_log (effects, G_LOG_LEVEL_WARNING, "the grants of DC %s have another owner",
                    grants->desc.dc);
    vp_limit_grants_close (grants);
    grants->state = STATE_FENCED;
    grants->retry_ms = now_ms + 2 * RETRY_MS;
    return;
  }
  _vp_limit_grants_apply_table (grants);
}

static void
_vp_limit_grants_write_result (VpLimitGrants *grants,
                               const VpStoreResult *result,
                               int64_t now_ms,
                               VpEffects *effects)
{
  if (result->status == VP_STORE_OK)
    _vp_limit_grants_write_done (grants, result->version);
  else if (result->status == VP_STORE_CONFLICT) {
    _vp_limit_grants_handle_newer_table (grants, result, now_ms, effects);
    grants->write_ms = now_ms;
  } else {
    grants->retry_ms = now_ms + RETRY_MS;
  }
}

/* Until its result is known, a write may or may not have taken effect: what it lowers is lowered
 * already, and what it raises is not used. After a lost answer the next write, on the same version,
 * settles it. */
static void
_vp_limit_grants_read_result (VpLimitGrants *grants,
                              const VpStoreResult *result,
                              int64_t now_ms,
                              VpEffects *effects)
{
  bool is_read = result->status == VP_STORE_OK || result->status == VP_STORE_NOT_FOUND;

  if (!is_read || !_vp_limit_grants_decode_table (grants, result, effects)) {
    grants->retry_ms = now_ms + RETRY_MS;
    return;
  }
  grants->state = STATE_CLAIMING;
  _vp_limit_grants_apply_table (grants);
}

static void
_vp_limit_grants_watch_result (VpLimitGrants *grants,
                               const VpStoreResult *result,
                               int64_t now_ms,
                               VpEffects *effects)
{
  /* A store with stale reads may answer a watch at once, again and again. */
  grants->watch_ms = now_ms + RETRY_MS;
  /* While a write is not settled its own result tells what holds. An older version is stale. */
  if (result->status == VP_STORE_OK && grants->token == 0 && grants->retry_ms == 0
      && result->value != NULL && result->version > grants->version)
    _vp_limit_grants_handle_newer_table (grants, result, now_ms, effects);
}

void
vp_limit_grants_store_result (VpLimitGrants *grants,
                              const VpStoreResult *result,
                              int64_t now_ms,
                              VpEffects *effects)
{
  if (result->token == grants->watch_token) {
    grants->watch_token = 0;
    if (grants->state == STATE_OPEN)
      _vp_limit_grants_watch_result (grants, result, now_ms, effects);
  } else if (result->token == grants->token) {
    grants->token = 0;
    if (grants->state == STATE_READING)
      _vp_limit_grants_read_result (grants, result, now_ms, effects);
    else
      _vp_limit_grants_write_result (grants, result, now_ms, effects);
  }
  vp_limit_grants_tick (grants, now_ms, effects);
}

/* What the team lacks of its need; zero where it lacks nothing. */
static VpSize
_vp_limit_grants_shortage (const VpLimitGrants *grants, const TeamGrant *team)
{
  VpSize limit = _vp_limit_grants_limit (grants, team->name);
  VpSize want = _vp_limit_grants_need (team);
  VpSize zero = { 0 };

  want = vp_size_min (&want, &limit);
  vp_size_sub (&want, &team->target);
  return vp_size_max (&want, &zero);
}

static void
_vp_limit_grants_send_requests (VpLimitGrants *grants,
                                const TeamGrant *team,
                                const VpSize *shortage,
                                VpEffects *effects)
{
  for (guint i = 0; i < grants->other_owners->len; i++) {
    VpEffect *effect = vp_effects_add (effects, VP_EFFECT_PEER);
    VpPeerMessage *message = &effect->peer.message;
    g_strlcpy (effect->peer.peer, g_ptr_array_index (grants->other_owners, i),
               sizeof effect->peer.peer);
    message->kind = VP_PEER_GRANT_ASK;
    message->size = *shortage;
    g_strlcpy (message->from, grants->desc.member, sizeof message->from);
    g_strlcpy (message->dc, grants->desc.dc, sizeof message->dc);
    g_strlcpy (message->team, team->name, sizeof message->team);
  }
}

/* Asks the owners of the other DCs for what is lacking, and watches for what they give. */
static void
_vp_limit_grants_request_more (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  bool is_short = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    TeamGrant *team = value;
    VpSize shortage = _vp_limit_grants_shortage (grants, team);
    is_short = is_short || team->excess_since_ms != 0;
    if (!team->is_known || vp_size_is_zero (&shortage)) {
      team->request_backoff = 1;
      team->next_request_ms = 0;
      continue;
    }
    is_short = true;
    if (now_ms < team->next_request_ms)
      continue;
    _vp_limit_grants_send_requests (grants, team, &shortage, effects);
    team->next_request_ms = now_ms + grants->desc.rebalance_ms * team->request_backoff;
    team->request_backoff = MIN (team->request_backoff * 2, REQUEST_BACKOFF_MAX);
  }
  if (is_short && grants->watch_token == 0 && now_ms >= grants->watch_ms) {
    VpStoreOp *op = _vp_limit_grants_store_op (grants, VP_STORE_WATCH, effects);
    op->version = grants->version;
    op->timeout_ms = WATCH_TIMEOUT_MS;
    grants->watch_token = op->token;
  }
}

/* When the next plan is due if neither the demand nor the table changes. */
static int64_t
_vp_limit_grants_wake_ms (const VpLimitGrants *grants, int64_t now_ms)
{
  int64_t wake_ms = INT64_MAX;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const TeamGrant *team = value;
    if (team->next_request_ms != 0)
      wake_ms = MIN (wake_ms, team->next_request_ms);
    if (team->excess_since_ms != 0)
      wake_ms = MIN (wake_ms, team->excess_since_ms + EXCESS_GRACE_MS);
    if ((team->next_request_ms != 0 || team->excess_since_ms != 0) && grants->watch_token == 0)
      wake_ms = MIN (wake_ms, grants->watch_ms);
    if (!vp_size_is_zero (&team->requested) && now_ms < team->requested_until_ms)
      wake_ms = MIN (wake_ms, team->peak_rotate_ms);
  }
  return MAX (wake_ms, now_ms + PLAN_INTERVAL_MS);
}

static void
_vp_limit_grants_tick_open (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  if (now_ms < grants->write_ms || (!grants->is_dirty && now_ms < grants->wake_ms))
    return;
  grants->is_dirty = false;
  grants->write_ms = now_ms + PLAN_INTERVAL_MS;
  if (_vp_limit_grants_plan (grants, now_ms))
    _vp_limit_grants_write (grants, now_ms, effects);
  else
    _vp_limit_grants_request_more (grants, now_ms, effects);
  grants->wake_ms = _vp_limit_grants_wake_ms (grants, now_ms);
}

void
vp_limit_grants_tick (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  if (grants->token != 0 || now_ms < grants->retry_ms || grants->state == STATE_CLOSED)
    return;
  if (grants->state == STATE_FENCED) {
    vp_limit_grants_open (grants, now_ms, effects);
  } else if (grants->state == STATE_READING) {
    grants->token = _vp_limit_grants_store_op (grants, VP_STORE_GET, effects)->token;
  } else if (!_vp_limit_grants_has_config (grants)) {
    return;
  } else if (grants->state == STATE_CLAIMING || grants->retry_ms != 0) {
    grants->retry_ms = 0;
    _vp_limit_grants_plan (grants, now_ms);
    _vp_limit_grants_write (grants, now_ms, effects);
  } else {
    _vp_limit_grants_tick_open (grants, now_ms, effects);
  }
}

/* Until a write is settled, what it lowers is not used any more. While all grants are over the
 * limit, another DC may use more than its part, so nothing more is started here. */
void
vp_limit_grants_usable (const VpLimitGrants *grants, const char *name, VpSize *out)
{
  const TeamGrant *team = g_hash_table_lookup (grants->teams, name);
  VpSize free;

  memset (out, 0, sizeof *out);
  if (grants->state != STATE_OPEN || team == NULL || !team->has_row)
    return;
  *out = vp_size_min (&team->target, &team->grant);
  if (!_vp_limit_grants_has_config (grants) || !team->is_known)
    return;
  free = _vp_limit_grants_limit (grants, name);
  vp_size_sub (&free, &team->other_grants);
  vp_size_sub (&free, &team->grant);
  for (int d = 0; d < DIMENSION_COUNT; d++) {
    if (team->is_limit_lowered || _vp_limit_grants_field_value (&free, d) < 0)
      *_vp_limit_grants_field (out, d) = MIN (_vp_limit_grants_field_value (out, d),
                                              _vp_limit_grants_field_value (&team->used, d));
  }
}

void
vp_limit_grants_total (const VpLimitGrants *grants, const char *name, VpSize *sum)
{
  const TeamGrant *team = g_hash_table_lookup (grants->teams, name);

  memset (sum, 0, sizeof *sum);
  if (team == NULL)
    return;
  *sum = team->other_grants;
  vp_size_add (sum, &team->grant);
}

int64_t
vp_limit_grants_next_ms (const VpLimitGrants *grants)
{
  if (grants->state == STATE_CLOSED || grants->token != 0)
    return INT64_MAX;
  if (!_vp_limit_grants_has_config (grants) && grants->state != STATE_READING)
    return INT64_MAX;
  if (grants->state != STATE_OPEN || grants->retry_ms != 0)
    return grants->retry_ms;
  return MAX (grants->write_ms, grants->is_dirty ? 0 : grants->wake_ms);
}
