#include "vp-limit-grants.h"
#include "vp-limit-grants-table.h"

#include <string.h>

#define STORE_KEY        "grants"
#define RETRY_MS         500
#define WATCH_TIMEOUT_MS 20000
/* Shortest time between plans that found nothing to write. */
#define PLAN_INTERVAL_MS 50
/* How long the sum of the grants may be above a lowered limit before this DC lowers its grant by
 * more than its own part of the excess. The other DCs normally lower theirs within this time. */
#define EXCESS_GRACE_MS 3000
/* A request of another DC is forgotten after this time. */
#define REQUEST_VALID_MS 10000
/* Work that waits this long is stalled. The time is longer than two DCs need to exchange a grant.
 */
#define STALL_MS 3000
/* Largest factor by which the interval between unanswered requests grows. */
#define REQUEST_BACKOFF_MAX 16
/* A DC that raises its grant takes up to limit / HEADROOM_DIVISOR more than it needs, if that is
 * free, so that not each start waits for the store. It gives the headroom to a DC that asks. */
#define HEADROOM_DIVISOR 16
#define DIMENSION_COUNT  3

typedef struct {
  char name[VP_NAME_MAX];
  bool has_row;              /* the table has a row of the team in this DC */
  VpResources grant;         /* grant in the store, as last known */
  VpResources target;        /* resources that may be used; at most the grant */
  VpResources target_limit;  /* limit for which the target was computed */
  VpResources stored_target; /* target in the store, as last known */
  VpResources other_grants;  /* grants of the other DCs, as last read */
  VpResources next_grant;    /* grant that is being written */
  VpResources next_target;   /* target once the write took effect */
  VpResources next_target_limit;
  bool is_in_write;      /* the write in flight has a row of the team */
  bool is_use_known;     /* the demand was set since the grants were opened */
  bool is_limit_lowered; /* no write since the limit fell has shown the other DCs' grants */
  VpResources used;
  VpResources waiting;
  VpResources peak[2];    /* largest need in this and in the last idle_release_ms */
  int64_t peak_rotate_ms; /* end of the current period of the peak */
  VpResources requested;  /* resources that other DCs asked for */
  int64_t requested_until_ms;
  int64_t yield_until_ms;   /* end of a request of a DC whose name sorts before this DC's */
  int64_t stalled_since_ms; /* work waits and the use has not changed since then; 0: no stall */
  int64_t excess_since_ms;  /* when the sum of the grants rose above the limit; 0: it is within */
  int64_t next_request_ms;  /* next request to other DCs; 0: none */
  uint32_t request_backoff; /* factor of the interval between requests */
} TeamGrant;

typedef enum { STATE_CLOSED, STATE_READING, STATE_CLAIMING, STATE_OPEN, STATE_FENCED } State;

struct _VpLimitGrants {
  VpLimitGrantsDesc desc;
  VpConfig *config;
  bool is_dc_configured; /* the configuration lists this DC */
  State state;
  int64_t opened_ms;
  GHashTable *teams;       /* TeamGrant* by its name */
  GPtrArray *other_owners; /* char* */
  VpLimitGrantsTable *table;
  uint64_t version;
  uint64_t next_token;
  uint64_t token, watch_token; /* tokens of the operations in flight; 0: none */
  bool needs_plan;             /* the next plan may find something to write */
  int64_t next_plan_ms;        /* earliest time of the next plan */
  int64_t retry_ms;            /* next try of a read or write that failed; 0: none failed */
  int64_t next_watch_ms;       /* earliest time of the next watch */
  int64_t wake_ms;             /* time of the next plan if nothing changes */
};

/* Amount in one dimension, for rules that apply to each dimension alike. */
static int64_t *
_vp_limit_grants_field (VpResources *resources, int dimension)
{
  int64_t *const fields[DIMENSION_COUNT]
      = { &resources->cpu_milli, &resources->mem_mib, &resources->accel_count };

  return fields[dimension];
}

static int64_t
_vp_limit_grants_field_value (const VpResources *resources, int dimension)
{
  const int64_t fields[DIMENSION_COUNT]
      = { resources->cpu_milli, resources->mem_mib, resources->accel_count };

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
  grants->retry_ms = grants->next_plan_ms = grants->next_watch_ms = grants->wake_ms = 0;
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

/* Limit of a team; zero if the team is not configured. */
static VpResources
_vp_limit_grants_limit (const VpLimitGrants *grants, const char *name)
{
  const VpTeam *team = vp_config_team (grants->config, name);

  return team != NULL ? team->limit : (VpResources){ 0 };
}

/* False while only the built-in empty configuration is known, which has no limits. */
static bool
_vp_limit_grants_has_config (const VpLimitGrants *grants)
{
  return grants->config != NULL && grants->config->revision > 0;
}

/* Lowers the target in proportion after the limit was lowered. Other DCs may still use more than
 * their part of the new limit, so nothing more is started until a write has shown that the sum of
 * the grants is within the limit. */
static void
_vp_limit_grants_scale_target (const VpLimitGrants *grants, TeamGrant *team)
{
  VpResources limit;

  if (!_vp_limit_grants_has_config (grants) || !team->has_row)
    return;
  limit = _vp_limit_grants_limit (grants, team->name);
  for (int d = 0; d < DIMENSION_COUNT; d++) {
    int64_t new_limit = _vp_limit_grants_field_value (&limit, d);
    int64_t *target_limit = _vp_limit_grants_field (&team->target_limit, d);
    int64_t *target = _vp_limit_grants_field (&team->target, d);
    if (new_limit < *target_limit) {
      *target = (int64_t)((__int128)*target * new_limit / *target_limit);
      team->is_limit_lowered = true;
    }
    *target_limit = new_limit;
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
  grants->is_dc_configured = _vp_limit_grants_has_dc (grants);
  if (old != NULL)
    vp_config_unref (old);
  _vp_limit_grants_scale_all_targets (grants);
  grants->needs_plan = true;
  grants->next_plan_ms = MIN (grants->next_plan_ms, now_ms);
}

static VpStoreOp *
_vp_limit_grants_store_op (VpLimitGrants *grants, VpStoreKind kind, VpEffects *effects)
{
  VpStoreOp *op = vp_effects_store (effects, VP_MODULE_LIMIT_GRANTS, kind, STORE_KEY);

  op->token = ++grants->next_token;
  return op;
}

void
vp_limit_grants_open (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  vp_limit_grants_close (grants);
  grants->state = STATE_READING;
  grants->opened_ms = now_ms;
  grants->needs_plan = true;
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

static VpResources
_vp_limit_grants_need (const TeamGrant *team)
{
  VpResources need = team->used;

  vp_resources_add (&need, &team->waiting);
  return need;
}

/* Largest need in the last one to two periods of idle_release_ms. */
static VpResources
_vp_limit_grants_peak (TeamGrant *team, int64_t period_ms, int64_t now_ms)
{
  VpResources need = _vp_limit_grants_need (team);

  if (now_ms >= team->peak_rotate_ms) {
    team->peak[1] = now_ms < team->peak_rotate_ms + period_ms ? team->peak[0] : need;
    team->peak[0] = need;
    team->peak_rotate_ms = now_ms + period_ms;
  }
  team->peak[0] = vp_resources_max (&team->peak[0], &need);
  return vp_resources_max (&team->peak[0], &team->peak[1]);
}

void
vp_limit_grants_set_demand (VpLimitGrants *grants,
                            const char *name,
                            const VpResources *used,
                            const VpResources *waiting,
                            int64_t now_ms)
{
  TeamGrant *team = _vp_limit_grants_get_team (grants, name);
  VpResources need;

  if (!team->is_use_known)
    team->peak_rotate_ms = now_ms;
  team->is_use_known = true;
  if (vp_resources_is_zero (waiting) || memcmp (&team->used, used, sizeof team->used) != 0)
    team->stalled_since_ms = 0;
  else if (team->stalled_since_ms == 0)
    team->stalled_since_ms = now_ms;
  team->used = *used;
  team->waiting = *waiting;
  need = _vp_limit_grants_need (team);
  _vp_limit_grants_peak (team, grants->desc.idle_release_ms, now_ms);
  if (!vp_resources_fits (&need, &team->target) || !vp_resources_fits (&team->grant, &team->target)
      || (!grants->is_dc_configured && !vp_resources_fits (&team->grant, used)))
    grants->needs_plan = true;
}

void
vp_limit_grants_peer_message (VpLimitGrants *grants,
                              const VpPeerMessage *message,
                              int64_t now_ms,
                              VpEffects *effects)
{
  TeamGrant *team;

  if (message->kind != VP_PEER_GRANT_REQUEST || grants->state != STATE_OPEN
      || strcmp (message->dc, grants->desc.dc) == 0)
    return;
  team = g_hash_table_lookup (grants->teams, message->team);
  if (team == NULL || !vp_resources_is_valid (&message->shortage))
    return;
  if (now_ms >= team->requested_until_ms)
    memset (&team->requested, 0, sizeof team->requested);
  team->requested = vp_resources_max (&team->requested, &message->shortage);
  team->requested_until_ms = now_ms + REQUEST_VALID_MS;
  if (strcmp (message->dc, grants->desc.dc) < 0)
    team->yield_until_ms = now_ms + REQUEST_VALID_MS;
  grants->needs_plan = true;
  vp_limit_grants_tick (grants, now_ms, effects);
}

static gint
_vp_limit_grants_compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* This DC's equal part of a new team's limit. The first DCs by name get the remainder of the
 * division. */
static VpResources
_vp_limit_grants_equal_part (const VpLimitGrants *grants, const VpResources *limit)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  VpResources part = { 0 };
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

/* True while this DC gives what it doesn't use to the DC that asks and sorts first by name. Without
 * this rule, jobs that each need more than their DC's grant would wait for each other for ever. */
static bool
_vp_limit_grants_is_yielding (const TeamGrant *team, int64_t now_ms)
{
  return now_ms < team->yield_until_ms && team->stalled_since_ms != 0
         && now_ms - team->stalled_since_ms >= STALL_MS;
}

/* Lowers the target by what other DCs asked for and this DC has not needed lately. A DC that is no
 * longer configured keeps only what it uses. */
static void
_vp_limit_grants_release_idle (const VpLimitGrants *grants,
                               TeamGrant *team,
                               bool is_dc_configured,
                               int64_t now_ms)
{
  VpResources peak = _vp_limit_grants_peak (team, grants->desc.idle_release_ms, now_ms);
  bool is_requested = now_ms < team->requested_until_ms;
  bool is_yielding = _vp_limit_grants_is_yielding (team, now_ms);
  bool is_given = false;

  for (int d = 0; d < DIMENSION_COUNT; d++) {
    int64_t *target = _vp_limit_grants_field (&team->target, d);
    int64_t *requested = _vp_limit_grants_field (&team->requested, d);
    int64_t spare = *target
                    - _vp_limit_grants_field_value (
                        is_dc_configured && !is_yielding ? &peak : &team->used, d);
    int64_t give = !is_dc_configured ? spare : is_requested ? MIN (spare, *requested) : 0;
    if (give <= 0)
      continue;
    *target -= give;
    *requested -= MIN (give, *requested);
    is_given = true;
  }
  if (is_given && vp_resources_is_zero (&team->requested))
    team->requested_until_ms = 0;
}

/* Plans one dimension: the grant falls to the target, but not below the use, or it rises by what is
 * needed and free. @free is the limit less the grants of all DCs. */
static void
_vp_limit_grants_plan_dimension (TeamGrant *team,
                                 int d,
                                 bool may_take,
                                 int64_t free,
                                 int64_t headroom)
{
  VpResources team_need = _vp_limit_grants_need (team);
  int64_t need = _vp_limit_grants_field_value (&team_need, d);
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

/* Lowers the target by this DC's part of the excess, if the sum of the grants stays above the limit
 * for EXCESS_GRACE_MS. */
static void
_vp_limit_grants_reduce_excess (TeamGrant *team,
                                const VpResources *free,
                                int64_t rebalance_ms,
                                int64_t now_ms)
{
  if (vp_resources_is_valid (free)) {
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

/* Plans one team; true if its row changes. */
static bool
_vp_limit_grants_plan_team (const VpLimitGrants *grants,
                            TeamGrant *team,
                            bool is_dc_configured,
                            int64_t now_ms)
{
  VpResources limit = _vp_limit_grants_limit (grants, team->name);
  VpResources free = limit;
  VpResources old_target;
  bool may_take = is_dc_configured && !_vp_limit_grants_is_yielding (team, now_ms);

  vp_resources_sub (&free, &team->other_grants);
  vp_resources_sub (&free, &team->grant);
  team->next_grant = team->grant;
  team->next_target = team->target;
  team->next_target_limit = team->target_limit;
  if (!team->has_row) {
    VpResources part = _vp_limit_grants_equal_part (grants, &limit);
    VpResources zero = { 0 };
    part = vp_resources_min (&part, &free);
    team->next_grant = team->next_target = vp_resources_max (&part, &zero);
    team->next_target_limit = limit;
    return vp_config_team (grants->config, team->name) != NULL && is_dc_configured;
  }
  if (!team->is_use_known)
    return false;
  _vp_limit_grants_release_idle (grants, team, is_dc_configured, now_ms);
  _vp_limit_grants_reduce_excess (team, &free, grants->desc.rebalance_ms, now_ms);
  old_target = team->target;
  for (int d = 0; d < DIMENSION_COUNT; d++)
    _vp_limit_grants_plan_dimension (team, d, may_take, _vp_limit_grants_field_value (&free, d),
                                     _vp_limit_grants_field_value (&limit, d) / HEADROOM_DIVISOR);
  /* A raised target may be used only once it is written. */
  team->target = vp_resources_min (&old_target, &team->next_target);
  return team->is_limit_lowered
         || memcmp (&team->next_grant, &team->grant, sizeof team->next_grant) != 0
         || memcmp (&team->next_target, &team->stored_target, sizeof team->stored_target) != 0
         || memcmp (&team->next_target, &old_target, sizeof old_target) != 0;
}

/* Appends this DC's planned column, with a row for each team, to @table. */
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
    VpLimitGrantsRow row = { .grant = team->next_grant,
                             .target = team->next_target,
                             .limit = team->next_target_limit };
    bool is_configured = vp_config_team (grants->config, team->name) != NULL;

    team->is_in_write = (team->has_row || is_configured)
                        && (is_configured || !vp_resources_is_zero (&team->next_grant));
    if (!team->is_in_write)
      continue;
    row.target = vp_resources_min (&row.target, &row.grant);
    g_strlcpy (row.team, team->name, sizeof row.team);
    g_strlcpy (row.dc, grants->desc.dc, sizeof row.dc);
    g_array_append_val (table->rows, row);
  }
}

/* Writes the plan: the table as it was read, with this DC's column replaced. */
static void
_vp_limit_grants_write (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  VpStoreOp *op = _vp_limit_grants_store_op (grants, VP_STORE_CAS, effects);

  vp_limit_grants_table_clear_dc (grants->table, grants->desc.dc);
  _vp_limit_grants_add_column (grants, grants->table);
  op->version = grants->version;
  op->value = vp_limit_grants_table_encode (grants->table);
  grants->token = op->token;
  grants->next_plan_ms = now_ms + grants->desc.rebalance_ms;
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
    is_changed = _vp_limit_grants_plan_team (grants, value, grants->is_dc_configured, now_ms)
                 || is_changed;
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

/* Applies one team's rows of the table. While the grants are open, the target of a known row can
 * only fall here. */
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
  team->target = vp_resources_min (&team->target, &team->grant);
}

/* Applies the table as last read from the store. */
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
  grants->needs_plan = true;
}

/* Decodes the table in @result; false if it can't be decoded. */
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

/* Applies a write that took effect: the grants are as written, and the targets rise with them. */
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
    if (!vp_resources_fits (&team->next_grant, &team->grant))
      team->request_backoff = 1;
    team->has_row = team->is_in_write;
    team->grant = team->next_grant;
    team->stored_target = team->target = vp_resources_min (&team->next_target, &team->grant);
    team->target_limit = team->next_target_limit;
    team->is_limit_lowered = team->is_limit_lowered && !team->is_use_known;
    _vp_limit_grants_scale_target (grants, team);
  }
  grants->needs_plan = true;
}

/* Handles a newer table, which was written by another DC or by an earlier try of this write whose
 * response was lost. In both cases the returned table is current, and this write can't take effect
 * any more. */
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

/* Handles the result of a write. While a result is unknown, the write may or may not have taken
 * effect: what it lowers is lowered here already, and what it raises is not used yet. After a lost
 * response the next write, based on the same version, shows whether it took effect. */
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
    grants->next_plan_ms = now_ms;
  } else {
    grants->retry_ms = now_ms + RETRY_MS;
  }
}

/* Handles the read of the table after an open. */
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
  /* A store with stale reads may end each watch at once, so the next one waits. */
  grants->next_watch_ms = now_ms + RETRY_MS;
  /* While the result of a write is unknown, that result will show the table. An older version comes
   * from a stale read. */
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

/* Difference between the team's need and its target; zero where the target suffices. */
static VpResources
_vp_limit_grants_shortage (const VpLimitGrants *grants, const TeamGrant *team)
{
  VpResources limit = _vp_limit_grants_limit (grants, team->name);
  VpResources need = _vp_limit_grants_need (team);
  VpResources zero = { 0 };

  need = vp_resources_min (&need, &limit);
  vp_resources_sub (&need, &team->target);
  return vp_resources_max (&need, &zero);
}

static void
_vp_limit_grants_send_requests (VpLimitGrants *grants,
                                const TeamGrant *team,
                                const VpResources *shortage,
                                VpEffects *effects)
{
  for (guint i = 0; i < grants->other_owners->len; i++) {
    VpEffect *effect = vp_effects_add (effects, VP_EFFECT_PEER);
    VpPeerMessage *message = &effect->peer.message;
    g_strlcpy (effect->peer.peer, g_ptr_array_index (grants->other_owners, i),
               sizeof effect->peer.peer);
    message->kind = VP_PEER_GRANT_REQUEST;
    message->shortage = *shortage;
    g_strlcpy (message->from, grants->desc.member, sizeof message->from);
    g_strlcpy (message->dc, grants->desc.dc, sizeof message->dc);
    g_strlcpy (message->team, team->name, sizeof message->team);
  }
}

/* Asks the owners of the other DCs for what the teams lack, and watches the table for what they
 * give. */
static void
_vp_limit_grants_request_more (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  bool is_short = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    TeamGrant *team = value;
    VpResources shortage = _vp_limit_grants_shortage (grants, team);
    is_short = is_short || team->excess_since_ms != 0;
    if (!team->is_use_known || vp_resources_is_zero (&shortage)) {
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
  if (is_short && grants->watch_token == 0 && now_ms >= grants->next_watch_ms) {
    VpStoreOp *op = _vp_limit_grants_store_op (grants, VP_STORE_WATCH, effects);
    op->version = grants->version;
    op->timeout_ms = WATCH_TIMEOUT_MS;
    grants->watch_token = op->token;
  }
}

/* Time of the next plan if neither the demand nor the table changes. */
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
      wake_ms = MIN (wake_ms, grants->next_watch_ms);
    if (!vp_resources_is_zero (&team->requested) && now_ms < team->requested_until_ms)
      wake_ms = MIN (wake_ms, team->peak_rotate_ms);
  }
  return MAX (wake_ms, now_ms + PLAN_INTERVAL_MS);
}

static void
_vp_limit_grants_tick_open (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects)
{
  if (now_ms < grants->next_plan_ms || (!grants->needs_plan && now_ms < grants->wake_ms))
    return;
  grants->needs_plan = false;
  grants->next_plan_ms = now_ms + PLAN_INTERVAL_MS;
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

/* What a write lowers is not usable from the time it is sent. While the sum of the grants is above
 * the limit, another DC may use more than its part, so nothing more is started here. */
void
vp_limit_grants_usable (const VpLimitGrants *grants, const char *name, VpResources *out)
{
  const TeamGrant *team = g_hash_table_lookup (grants->teams, name);
  VpResources free;

  memset (out, 0, sizeof *out);
  if (grants->state != STATE_OPEN || team == NULL || !team->has_row)
    return;
  *out = vp_resources_min (&team->target, &team->grant);
  if (!_vp_limit_grants_has_config (grants) || !team->is_use_known)
    return;
  free = _vp_limit_grants_limit (grants, name);
  vp_resources_sub (&free, &team->other_grants);
  vp_resources_sub (&free, &team->grant);
  for (int d = 0; d < DIMENSION_COUNT; d++) {
    if (team->is_limit_lowered || _vp_limit_grants_field_value (&free, d) < 0)
      *_vp_limit_grants_field (out, d) = MIN (_vp_limit_grants_field_value (out, d),
                                              _vp_limit_grants_field_value (&team->used, d));
  }
}

void
vp_limit_grants_total (const VpLimitGrants *grants, const char *name, VpResources *sum)
{
  const TeamGrant *team = g_hash_table_lookup (grants->teams, name);

  memset (sum, 0, sizeof *sum);
  if (team == NULL)
    return;
  *sum = team->other_grants;
  vp_resources_add (sum, &team->grant);
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
  return MAX (grants->next_plan_ms, grants->needs_plan ? 0 : grants->wake_ms);
}
