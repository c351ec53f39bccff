#include "vp-grants.h"
#include "vp-grants-table.h"

#include <string.h>

#define GRANTS_KEY "grants"
#define RETRY_MS   500
#define WATCH_MS   20000
#define PLAN_MS    50 /* shortest time between plans that found nothing to write */
/* How long the grants may be over a lowered limit before this DC gives up more than its part: the
 * other DCs normally lower theirs within this time. */
#define OVER_MS        3000
#define ASK_KEPT_MS    10000 /* a question of another DC is forgotten after this */
#define STUCK_MS       3000  /* longer than the exchange of a part between two DCs */
#define ASK_FACTOR_MAX 16    /* unanswered questions are repeated less and less often */
/* Part of the limit that a DC takes in advance when it is free, so that not each start waits for
 * the store; it is given to a DC that asks. */
#define HEADROOM_PART 16
#define DIMENSIONS    3

typedef struct {
  char name[VP_NAME_MAX];
  bool has_row;
  VpResources grant;     /* in the store, as last known */
  VpResources goal;      /* may be used; at most the grant */
  VpResources basis;     /* limit that the goal was made for */
  VpResources stored;    /* goal in the store, as last known */
  VpResources others;    /* grants of the other DCs, as last read */
  VpResources next;      /* grant that is being written */
  VpResources next_goal; /* goal once it is written */
  VpResources next_basis;
  bool is_written; /* has a row in the write in flight */
  bool is_known;   /* the use was reported since the column was opened */
  bool is_cut;     /* the limit fell, and no write has shown yet what the other DCs hold */
  VpResources used;
  VpResources waiting;
  VpResources peak[2]; /* largest need in this and the last period of idle_give_ms */
  int64_t rotate_ms;
  VpResources asked; /* by other DCs */
  int64_t asked_until_ms;
  int64_t yield_until_ms; /* a DC whose name comes first has asked */
  int64_t stuck_ms;       /* since when work waits and the use does not change */
  int64_t over_ms;        /* since when all grants are over the limit; 0: they are not */
  int64_t ask_ms;         /* next question to other DCs; 0: none */
  uint32_t ask_factor;
} Team;

typedef enum { STATE_CLOSED, STATE_READING, STATE_CLAIMING, STATE_OPEN, STATE_FENCED } State;

struct _VpGrants {
  VpGrantsDesc desc;
  VpConfig *config;
  bool has_dc; /* this DC is configured */
  State state;
  int64_t opened_ms;
  GHashTable *teams; /* name in Team -> Team */
  GPtrArray *owners; /* char* */
  VpGrantsTable *table;
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
_vp_grants_at (VpResources *size, int dimension)
{
  int64_t *const fields[DIMENSIONS] = { &size->cpu_milli, &size->mem_mib, &size->accel_count };

  return fields[dimension];
}

static int64_t
_vp_grants_get (const VpResources *size, int dimension)
{
  const int64_t fields[DIMENSIONS] = { size->cpu_milli, size->mem_mib, size->accel_count };

  return fields[dimension];
}

VpGrants *
vp_grants_setup (const VpGrantsDesc *desc)
{
  VpGrants *grants = g_new0 (VpGrants, 1);

  grants->desc = *desc;
  grants->desc.rebalance_ms = desc->rebalance_ms != 0 ? desc->rebalance_ms : 1000;
  grants->desc.idle_give_ms = desc->idle_give_ms != 0 ? desc->idle_give_ms : 2000;
  grants->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  grants->owners = g_ptr_array_new_with_free_func (g_free);
  return grants;
}

void
vp_grants_close (VpGrants *grants)
{
  grants->state = STATE_CLOSED;
  grants->token = grants->watch_token = 0;
  grants->version = 0;
  grants->retry_ms = grants->write_ms = grants->watch_ms = grants->wake_ms = 0;
  g_clear_pointer (&grants->table, vp_grants_table_free);
  g_hash_table_remove_all (grants->teams);
}

void
vp_grants_shutdown (VpGrants *grants)
{
  vp_grants_close (grants);
  g_clear_pointer (&grants->config, vp_config_unref);
  g_hash_table_unref (grants->teams);
  g_ptr_array_unref (grants->owners);
  g_free (grants);
}

static Team *
_vp_grants_team (VpGrants *grants, const char *name)
{
  Team *team = g_hash_table_lookup (grants->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (Team, 1);
  if (!vp_name_copy (team->name, sizeof team->name, name))
    team->name[0] = '\0';
  team->ask_factor = 1;
  g_hash_table_insert (grants->teams, team->name, team);
  return team;
}

/* Zero for a team that is not configured. */
static VpResources
_vp_grants_limit (const VpGrants *grants, const char *name)
{
  const VpTeam *team = vp_config_team (grants->config, name);

  return team != NULL ? team->limit : (VpResources){ 0 };
}

/* False while there is only the built-in empty configuration: it says nothing about limits. */
static bool
_vp_grants_has_config (const VpGrants *grants)
{
  return grants->config != NULL && grants->config->revision > 0;
}

/* Lowers the goal in proportion when the limit fell. Other DCs may still use more than their part:
 * so nothing more is started until a write has shown that all grants are within the limit. */
static void
_vp_grants_rescale (const VpGrants *grants, Team *team)
{
  VpResources limit;

  if (!_vp_grants_has_config (grants) || !team->has_row)
    return;
  limit = _vp_grants_limit (grants, team->name);
  for (int d = 0; d < DIMENSIONS; d++) {
    int64_t next = _vp_grants_get (&limit, d);
    int64_t *basis = _vp_grants_at (&team->basis, d);
    int64_t *goal = _vp_grants_at (&team->goal, d);
    if (next < *basis) {
      *goal = (int64_t)((__int128)*goal * next / *basis);
      team->is_cut = true;
    }
    *basis = next;
  }
}

static void
_vp_grants_rescale_all (VpGrants *grants)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    _vp_grants_rescale (grants, value);
}

static bool
_vp_grants_has_dc (const VpGrants *grants)
{
  for (guint i = 0; i < grants->config->dcs->len; i++) {
    if (strcmp (g_ptr_array_index (grants->config->dcs, i), grants->desc.dc) == 0)
      return true;
  }
  return false;
}

void
vp_grants_set_config (VpGrants *grants, VpConfig *config, int64_t now_ms)
{
  VpConfig *old = grants->config;

  grants->config = vp_config_ref (config);
  grants->has_dc = _vp_grants_has_dc (grants);
  if (old != NULL)
    vp_config_unref (old);
  _vp_grants_rescale_all (grants);
  grants->is_dirty = true;
  grants->write_ms = MIN (grants->write_ms, now_ms);
}

static VpStoreOp *
_vp_grants_op (VpGrants *grants, VpStoreKind kind, VpEffects *effects)
{
  VpStoreOp *op = vp_effects_store (effects, VP_MODULE_GRANTS, kind, GRANTS_KEY);

  op->token = ++grants->next_token;
  return op;
}

void
vp_grants_open (VpGrants *grants, int64_t now_ms, VpEffects *effects)
{
  vp_grants_close (grants);
  grants->state = STATE_READING;
  grants->opened_ms = now_ms;
  grants->is_dirty = true;
  grants->token = _vp_grants_op (grants, VP_STORE_GET, effects)->token;
}

bool
vp_grants_is_open (const VpGrants *grants)
{
  return grants->state == STATE_OPEN;
}

void
vp_grants_set_owners (VpGrants *grants, const char *const *members, uint32_t count)
{
  g_ptr_array_set_size (grants->owners, 0);
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (grants->owners, g_strdup (members[i]));
}

static VpResources
_vp_grants_want (const Team *team)
{
  VpResources want = team->used;

  vp_resources_add (&want, &team->waiting);
  return want;
}

/* Largest need of the last one to two periods of idle_give_ms. */
static VpResources
_vp_grants_peak (Team *team, int64_t period_ms, int64_t now_ms)
{
  VpResources want = _vp_grants_want (team);

  if (now_ms >= team->rotate_ms) {
    team->peak[1] = now_ms < team->rotate_ms + period_ms ? team->peak[0] : want;
    team->peak[0] = want;
    team->rotate_ms = now_ms + period_ms;
  }
  team->peak[0] = vp_resources_max (&team->peak[0], &want);
  return vp_resources_max (&team->peak[0], &team->peak[1]);
}

void
vp_grants_set_demand (VpGrants *grants,
                      const char *name,
                      const VpResources *used,
                      const VpResources *waiting,
                      int64_t now_ms)
{
  Team *team = _vp_grants_team (grants, name);
  VpResources want;

  if (!team->is_known)
    team->rotate_ms = now_ms;
  team->is_known = true;
  if (vp_resources_is_zero (waiting) || memcmp (&team->used, used, sizeof team->used) != 0)
    team->stuck_ms = 0;
  else if (team->stuck_ms == 0)
    team->stuck_ms = now_ms;
  team->used = *used;
  team->waiting = *waiting;
  want = _vp_grants_want (team);
  _vp_grants_peak (team, grants->desc.idle_give_ms, now_ms);
  if (!vp_resources_fits (&want, &team->goal) || !vp_resources_fits (&team->grant, &team->goal)
      || (!grants->has_dc && !vp_resources_fits (&team->grant, used)))
    grants->is_dirty = true;
}

void
vp_grants_peer (VpGrants *grants, const VpPeerMessage *message, int64_t now_ms, VpEffects *effects)
{
  Team *team;

  if (message->kind != VP_PEER_GRANT_ASK || grants->state != STATE_OPEN
      || strcmp (message->dc, grants->desc.dc) == 0)
    return;
  team = g_hash_table_lookup (grants->teams, message->team);
  if (team == NULL || !vp_resources_is_valid (&message->size))
    return;
  if (now_ms >= team->asked_until_ms)
    memset (&team->asked, 0, sizeof team->asked);
  team->asked = vp_resources_max (&team->asked, &message->size);
  team->asked_until_ms = now_ms + ASK_KEPT_MS;
  if (strcmp (message->dc, grants->desc.dc) < 0)
    team->yield_until_ms = now_ms + ASK_KEPT_MS;
  grants->is_dirty = true;
  vp_grants_tick (grants, now_ms, effects);
}

static gint
_vp_grants_compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* This DC's equal part of a new team's limit; the first DCs by name get what does not divide. */
static VpResources
_vp_grants_equal_part (const VpGrants *grants, const VpResources *limit)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  VpResources part = { 0 };
  int64_t index = 0;

  for (guint i = 0; i < grants->config->dcs->len; i++)
    g_ptr_array_add (names, g_ptr_array_index (grants->config->dcs, i));
  g_ptr_array_sort (names, _vp_grants_compare_names);
  while (index < names->len && strcmp (g_ptr_array_index (names, index), grants->desc.dc) != 0)
    index++;
  if (index == names->len)
    return part;
  for (int d = 0; d < DIMENSIONS; d++) {
    int64_t whole = _vp_grants_get (limit, d);
    *_vp_grants_at (&part, d) = whole / names->len + (index < whole % names->len ? 1 : 0);
  }
  return part;
}

/* Jobs that need more than each DC's part would wait for each other for ever: the DC whose name
 * comes first gets what the others don't use. */
static bool
_vp_grants_is_yielding (const Team *team, int64_t now_ms)
{
  return now_ms < team->yield_until_ms && team->stuck_ms != 0
         && now_ms - team->stuck_ms >= STUCK_MS;
}

/* Lowers the goal by what other DCs asked for and this one has not needed lately. A DC that is no
 * longer configured keeps only what it uses. */
static void
_vp_grants_give (const VpGrants *grants, Team *team, bool has_dc, int64_t now_ms)
{
  VpResources peak = _vp_grants_peak (team, grants->desc.idle_give_ms, now_ms);
  bool is_asked = now_ms < team->asked_until_ms;
  bool is_yielding = _vp_grants_is_yielding (team, now_ms);
  bool is_given = false;

  for (int d = 0; d < DIMENSIONS; d++) {
    int64_t *goal = _vp_grants_at (&team->goal, d);
    int64_t *asked = _vp_grants_at (&team->asked, d);
    int64_t spare = *goal - _vp_grants_get (has_dc && !is_yielding ? &peak : &team->used, d);
    int64_t give = !has_dc ? spare : is_asked ? MIN (spare, *asked) : 0;
    if (give <= 0)
      continue;
    *goal -= give;
    *asked -= MIN (give, *asked);
    is_given = true;
  }
  if (is_given && vp_resources_is_zero (&team->asked))
    team->asked_until_ms = 0;
}

/* Plans one dimension: the grant falls to the goal as far as the use allows, or rises by what is
 * needed and free. @free: limit less the grants of all DCs. */
static void
_vp_grants_plan_one (Team *team, int d, bool may_take, int64_t free, int64_t headroom)
{
  VpResources want = _vp_grants_want (team);
  int64_t need = _vp_grants_get (&want, d);
  int64_t grant = _vp_grants_get (&team->grant, d);
  int64_t goal = _vp_grants_get (&team->goal, d);
  int64_t next = grant;

  if (free < 0)
    goal = MIN (goal, _vp_grants_get (&team->used, d));
  if (may_take && need > goal && goal < grant && free >= 0)
    goal = MIN (need, grant);
  if (goal < grant)
    next = MAX (goal, MIN (grant, _vp_grants_get (&team->used, d)));
  else if (may_take && free > 0 && need > grant)
    next = goal = grant + MIN (free, need - grant + headroom);
  *_vp_grants_at (&team->next, d) = next;
  *_vp_grants_at (&team->next_goal, d) = goal;
}

/* Lowers the goal by this DC's part of what all grants are over the limit, if they stay over it. */
static void
_vp_grants_shrink (Team *team, const VpResources *free, int64_t rebalance_ms, int64_t now_ms)
{
  if (vp_resources_is_valid (free)) {
    team->over_ms = 0;
    return;
  }
  if (team->over_ms == 0)
    team->over_ms = now_ms;
  if (now_ms < team->over_ms + OVER_MS)
    return;
  team->over_ms += rebalance_ms;
  for (int d = 0; d < DIMENSIONS; d++) {
    int64_t excess = -_vp_grants_get (free, d);
    int64_t grant = _vp_grants_get (&team->grant, d);
    int64_t all = grant + _vp_grants_get (&team->others, d);
    int64_t *goal = _vp_grants_at (&team->goal, d);
    if (excess > 0 && grant > 0)
      *goal = MAX (0, MIN (*goal, grant - 1 - (int64_t)((__int128)excess * grant / all)));
  }
}

/* True if the team's row changes. */
static bool
_vp_grants_plan_team (const VpGrants *grants, Team *team, bool has_dc, int64_t now_ms)
{
  VpResources limit = _vp_grants_limit (grants, team->name);
  VpResources free = limit;
  VpResources old_goal;
  bool may_take = has_dc && !_vp_grants_is_yielding (team, now_ms);

  vp_resources_sub (&free, &team->others);
  vp_resources_sub (&free, &team->grant);
  team->next = team->grant;
  team->next_goal = team->goal;
  team->next_basis = team->basis;
  if (!team->has_row) {
    VpResources part = _vp_grants_equal_part (grants, &limit);
    VpResources zero = { 0 };
    part = vp_resources_min (&part, &free);
    team->next = team->next_goal = vp_resources_max (&part, &zero);
    team->next_basis = limit;
    return vp_config_team (grants->config, team->name) != NULL && has_dc;
  }
  if (!team->is_known)
    return false;
  _vp_grants_give (grants, team, has_dc, now_ms);
  _vp_grants_shrink (team, &free, grants->desc.rebalance_ms, now_ms);
  old_goal = team->goal;
  for (int d = 0; d < DIMENSIONS; d++)
    _vp_grants_plan_one (team, d, may_take, _vp_grants_get (&free, d),
                         _vp_grants_get (&limit, d) / HEADROOM_PART);
  /* What is raised may be used once it is written. */
  team->goal = vp_resources_min (&old_goal, &team->next_goal);
  return team->is_cut || memcmp (&team->next, &team->grant, sizeof team->next) != 0
         || memcmp (&team->next_goal, &team->stored, sizeof team->stored) != 0
         || memcmp (&team->next_goal, &old_goal, sizeof old_goal) != 0;
}

/* Appends this DC's column as planned to @table. */
static void
_vp_grants_add_column (const VpGrants *grants, VpGrantsTable *table)
{
  VpGrantsColumn column = { .opened_ms = grants->opened_ms };
  GHashTableIter iter;
  gpointer value;

  g_strlcpy (column.dc, grants->desc.dc, sizeof column.dc);
  g_strlcpy (column.member, grants->desc.member, sizeof column.member);
  g_array_append_val (table->columns, column);
  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    Team *team = value;
    VpGrantsRow row = { .grant = team->next, .goal = team->next_goal, .limit = team->next_basis };
    bool is_configured = vp_config_team (grants->config, team->name) != NULL;

    team->is_written = (team->has_row || is_configured)
                       && (is_configured || !vp_resources_is_zero (&team->next));
    if (!team->is_written)
      continue;
    row.goal = vp_resources_min (&row.goal, &row.grant);
    g_strlcpy (row.team, team->name, sizeof row.team);
    g_strlcpy (row.dc, grants->desc.dc, sizeof row.dc);
    g_array_append_val (table->rows, row);
  }
}

/* Writes the plan: only this DC's column, on top of the table as it was read. */
static void
_vp_grants_write (VpGrants *grants, int64_t now_ms, VpEffects *effects)
{
  VpStoreOp *op = _vp_grants_op (grants, VP_STORE_CAS, effects);

  vp_grants_table_clear_dc (grants->table, grants->desc.dc);
  _vp_grants_add_column (grants, grants->table);
  op->version = grants->version;
  op->value = vp_grants_table_encode (grants->table);
  grants->token = op->token;
  grants->write_ms = now_ms + grants->desc.rebalance_ms;
}

/* Plans all teams; true if something has to be written. */
static bool
_vp_grants_plan (VpGrants *grants, int64_t now_ms)
{
  bool is_changed = false;
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < grants->config->teams->len; i++)
    _vp_grants_team (grants, g_array_index (grants->config->teams, VpTeam, i).name);
  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    is_changed = _vp_grants_plan_team (grants, value, grants->has_dc, now_ms) || is_changed;
  return is_changed;
}

static const VpGrantsRow *
_vp_grants_own_row (const VpGrants *grants, const char *team)
{
  for (guint i = 0; i < grants->table->rows->len; i++) {
    const VpGrantsRow *row = &g_array_index (grants->table->rows, VpGrantsRow, i);
    if (strcmp (row->team, team) == 0 && strcmp (row->dc, grants->desc.dc) == 0)
      return row;
  }
  return NULL;
}

/* Takes over one team's grants. The goal of an open column only falls here. */
static void
_vp_grants_adopt_team (const VpGrants *grants, Team *team)
{
  const VpGrantsRow *row = _vp_grants_own_row (grants, team->name);
  bool is_new = !team->has_row || grants->state != STATE_OPEN;
  const VpGrantsRow none = { 0 };

  vp_grants_table_sum (grants->table, team->name, grants->desc.dc, &team->others);
  team->has_row = row != NULL;
  row = row != NULL ? row : &none;
  team->grant = row->grant;
  team->stored = row->goal;
  if (is_new) {
    team->goal = row->goal;
    team->basis = row->limit;
    _vp_grants_rescale (grants, team);
  }
  team->goal = vp_resources_min (&team->goal, &team->grant);
}

/* Takes over the table as the store holds it. */
static void
_vp_grants_adopt (VpGrants *grants)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < grants->table->rows->len; i++)
    _vp_grants_team (grants, g_array_index (grants->table->rows, VpGrantsRow, i).team);
  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    _vp_grants_adopt_team (grants, value);
  grants->is_dirty = true;
}

/* False if @result holds no table that can be used. */
static bool
_vp_grants_take_table (VpGrants *grants, const VpStoreResult *result, VpEffects *effects)
{
  VpGrantsTable *table = NULL;

  if (result->version == 0)
    table = vp_grants_table_new ();
  else if (result->value != NULL)
    table = vp_grants_table_decode (result->value);
  if (table == NULL) {
    vp_effects_log (effects, G_LOG_LEVEL_CRITICAL, "the store value %s can't be decoded",
                    GRANTS_KEY);
    return false;
  }
  vp_grants_table_free (grants->table);
  grants->table = table;
  grants->version = result->version;
  return true;
}

static bool
_vp_grants_is_own_column (const VpGrants *grants)
{
  const VpGrantsColumn *column = vp_grants_table_column (grants->table, grants->desc.dc);

  return column != NULL && strcmp (column->member, grants->desc.member) == 0
         && column->opened_ms == grants->opened_ms;
}

/* The write took effect: the grants are what was written, and the goals rise with them. */
static void
_vp_grants_written (VpGrants *grants, uint64_t version)
{
  GHashTableIter iter;
  gpointer value;

  grants->version = version;
  grants->state = STATE_OPEN;
  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    Team *team = value;
    if (!vp_resources_fits (&team->next, &team->grant))
      team->ask_factor = 1;
    team->has_row = team->is_written;
    team->grant = team->next;
    team->stored = team->goal = vp_resources_min (&team->next_goal, &team->grant);
    team->basis = team->next_basis;
    team->is_cut = team->is_cut && !team->is_known;
    _vp_grants_rescale (grants, team);
  }
  grants->is_dirty = true;
}

/* The table was changed by another DC, or by an earlier try of this write whose answer was lost.
 * In both cases what was returned is true and this write can't take effect any more. */
static void
_vp_grants_conflict (VpGrants *grants,
                     const VpStoreResult *result,
                     int64_t now_ms,
                     VpEffects *effects)
{
  if (!_vp_grants_take_table (grants, result, effects)) {
    grants->retry_ms = now_ms + RETRY_MS;
    return;
  }
  if (grants->state == STATE_OPEN && !_vp_grants_is_own_column (grants)) {
    vp_effects_log (effects, G_LOG_LEVEL_WARNING, "the grants of DC %s have another owner",
                    grants->desc.dc);
    vp_grants_close (grants);
    grants->state = STATE_FENCED;
    grants->retry_ms = now_ms + 2 * RETRY_MS;
    return;
  }
  _vp_grants_adopt (grants);
}

static void
_vp_grants_write_result (VpGrants *grants,
                         const VpStoreResult *result,
                         int64_t now_ms,
                         VpEffects *effects)
{
  if (result->status == VP_STORE_OK)
    _vp_grants_written (grants, result->version);
  else if (result->status == VP_STORE_CONFLICT) {
    _vp_grants_conflict (grants, result, now_ms, effects);
    grants->write_ms = now_ms;
  } else {
    grants->retry_ms = now_ms + RETRY_MS;
  }
}

/* Until its result is known, a write may or may not have taken effect: what it lowers is lowered
 * already, and what it raises is not used. After a lost answer the next write, on the same version,
 * settles it. */
static void
_vp_grants_read_result (VpGrants *grants,
                        const VpStoreResult *result,
                        int64_t now_ms,
                        VpEffects *effects)
{
  bool is_read = result->status == VP_STORE_OK || result->status == VP_STORE_NOT_FOUND;

  if (!is_read || !_vp_grants_take_table (grants, result, effects)) {
    grants->retry_ms = now_ms + RETRY_MS;
    return;
  }
  grants->state = STATE_CLAIMING;
  _vp_grants_adopt (grants);
}

static void
_vp_grants_watch_result (VpGrants *grants,
                         const VpStoreResult *result,
                         int64_t now_ms,
                         VpEffects *effects)
{
  /* A store with stale reads may answer a watch at once, again and again. */
  grants->watch_ms = now_ms + RETRY_MS;
  /* While a write is not settled its own result tells what holds. An older version is stale. */
  if (result->status == VP_STORE_OK && grants->token == 0 && grants->retry_ms == 0
      && result->value != NULL && result->version > grants->version)
    _vp_grants_conflict (grants, result, now_ms, effects);
}

void
vp_grants_store_result (VpGrants *grants,
                        const VpStoreResult *result,
                        int64_t now_ms,
                        VpEffects *effects)
{
  if (result->token == grants->watch_token) {
    grants->watch_token = 0;
    if (grants->state == STATE_OPEN)
      _vp_grants_watch_result (grants, result, now_ms, effects);
  } else if (result->token == grants->token) {
    grants->token = 0;
    if (grants->state == STATE_READING)
      _vp_grants_read_result (grants, result, now_ms, effects);
    else
      _vp_grants_write_result (grants, result, now_ms, effects);
  }
  vp_grants_tick (grants, now_ms, effects);
}

/* What the team lacks of its need; zero where it lacks nothing. */
static VpResources
_vp_grants_lack (const VpGrants *grants, const Team *team)
{
  VpResources limit = _vp_grants_limit (grants, team->name);
  VpResources want = _vp_grants_want (team);
  VpResources zero = { 0 };

  want = vp_resources_min (&want, &limit);
  vp_resources_sub (&want, &team->goal);
  return vp_resources_max (&want, &zero);
}

static void
_vp_grants_send_ask (VpGrants *grants,
                     const Team *team,
                     const VpResources *lack,
                     VpEffects *effects)
{
  for (guint i = 0; i < grants->owners->len; i++) {
    VpEffect *effect = vp_effects_add (effects, VP_EFFECT_PEER);
    VpPeerMessage *message = &effect->peer.message;
    g_strlcpy (effect->peer.peer, g_ptr_array_index (grants->owners, i), sizeof effect->peer.peer);
    message->kind = VP_PEER_GRANT_ASK;
    message->size = *lack;
    g_strlcpy (message->from, grants->desc.member, sizeof message->from);
    g_strlcpy (message->dc, grants->desc.dc, sizeof message->dc);
    g_strlcpy (message->team, team->name, sizeof message->team);
  }
}

/* Asks the owners of the other DCs for what is lacking, and watches for what they give. */
static void
_vp_grants_ask (VpGrants *grants, int64_t now_ms, VpEffects *effects)
{
  bool is_lacking = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    Team *team = value;
    VpResources lack = _vp_grants_lack (grants, team);
    is_lacking = is_lacking || team->over_ms != 0;
    if (!team->is_known || vp_resources_is_zero (&lack)) {
      team->ask_factor = 1;
      team->ask_ms = 0;
      continue;
    }
    is_lacking = true;
    if (now_ms < team->ask_ms)
      continue;
    _vp_grants_send_ask (grants, team, &lack, effects);
    team->ask_ms = now_ms + grants->desc.rebalance_ms * team->ask_factor;
    team->ask_factor = MIN (team->ask_factor * 2, ASK_FACTOR_MAX);
  }
  if (is_lacking && grants->watch_token == 0 && now_ms >= grants->watch_ms) {
    VpStoreOp *op = _vp_grants_op (grants, VP_STORE_WATCH, effects);
    op->version = grants->version;
    op->timeout_ms = WATCH_MS;
    grants->watch_token = op->token;
  }
}

/* When the next plan is due if neither the demand nor the table changes. */
static int64_t
_vp_grants_wake_ms (const VpGrants *grants, int64_t now_ms)
{
  int64_t wake_ms = INT64_MAX;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const Team *team = value;
    if (team->ask_ms != 0)
      wake_ms = MIN (wake_ms, team->ask_ms);
    if (team->over_ms != 0)
      wake_ms = MIN (wake_ms, team->over_ms + OVER_MS);
    if ((team->ask_ms != 0 || team->over_ms != 0) && grants->watch_token == 0)
      wake_ms = MIN (wake_ms, grants->watch_ms);
    if (!vp_resources_is_zero (&team->asked) && now_ms < team->asked_until_ms)
      wake_ms = MIN (wake_ms, team->rotate_ms);
  }
  return MAX (wake_ms, now_ms + PLAN_MS);
}

static void
_vp_grants_tick_open (VpGrants *grants, int64_t now_ms, VpEffects *effects)
{
  if (now_ms < grants->write_ms || (!grants->is_dirty && now_ms < grants->wake_ms))
    return;
  grants->is_dirty = false;
  grants->write_ms = now_ms + PLAN_MS;
  if (_vp_grants_plan (grants, now_ms))
    _vp_grants_write (grants, now_ms, effects);
  else
    _vp_grants_ask (grants, now_ms, effects);
  grants->wake_ms = _vp_grants_wake_ms (grants, now_ms);
}

void
vp_grants_tick (VpGrants *grants, int64_t now_ms, VpEffects *effects)
{
  if (grants->token != 0 || now_ms < grants->retry_ms || grants->state == STATE_CLOSED)
    return;
  if (grants->state == STATE_FENCED) {
    vp_grants_open (grants, now_ms, effects);
  } else if (grants->state == STATE_READING) {
    grants->token = _vp_grants_op (grants, VP_STORE_GET, effects)->token;
  } else if (!_vp_grants_has_config (grants)) {
    return;
  } else if (grants->state == STATE_CLAIMING || grants->retry_ms != 0) {
    grants->retry_ms = 0;
    _vp_grants_plan (grants, now_ms);
    _vp_grants_write (grants, now_ms, effects);
  } else {
    _vp_grants_tick_open (grants, now_ms, effects);
  }
}

/* Until a write is settled, what it lowers is not used any more. While all grants are over the
 * limit, another DC may use more than its part, so nothing more is started here. */
void
vp_grants_usable (const VpGrants *grants, const char *name, VpResources *out)
{
  const Team *team = g_hash_table_lookup (grants->teams, name);
  VpResources free;

  memset (out, 0, sizeof *out);
  if (grants->state != STATE_OPEN || team == NULL || !team->has_row)
    return;
  *out = vp_resources_min (&team->goal, &team->grant);
  if (!_vp_grants_has_config (grants) || !team->is_known)
    return;
  free = _vp_grants_limit (grants, name);
  vp_resources_sub (&free, &team->others);
  vp_resources_sub (&free, &team->grant);
  for (int d = 0; d < DIMENSIONS; d++) {
    if (team->is_cut || _vp_grants_get (&free, d) < 0)
      *_vp_grants_at (out, d) = MIN (_vp_grants_get (out, d), _vp_grants_get (&team->used, d));
  }
}

void
vp_grants_granted (const VpGrants *grants, const char *name, VpResources *sum)
{
  const Team *team = g_hash_table_lookup (grants->teams, name);

  memset (sum, 0, sizeof *sum);
  if (team == NULL)
    return;
  *sum = team->others;
  vp_resources_add (sum, &team->grant);
}

int64_t
vp_grants_next_ms (const VpGrants *grants)
{
  if (grants->state == STATE_CLOSED || grants->token != 0)
    return INT64_MAX;
  if (!_vp_grants_has_config (grants) && grants->state != STATE_READING)
    return INT64_MAX;
  if (grants->state != STATE_OPEN || grants->retry_ms != 0)
    return grants->retry_ms;
  return MAX (grants->write_ms, grants->is_dirty ? 0 : grants->wake_ms);
}
