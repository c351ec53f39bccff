#include "vp-members.h"
#include "vp-text.h"

#include <string.h>

/* A process whose last ping is older than this counts as unreachable: it gets no advice calls and
 * doesn't count in majorities. */
#define VP_MEMBERS_REACHABLE_TIMEOUT_MS 1000
/* Approximate minimum number of ping partners of a process in a large cell; the maximum is twice as
 * large. */
#define VP_MEMBERS_PING_PARTNERS_MIN 16
/* A process that isn't listed is removed this long after its last ping. DCs are usually cut off for
 * a shorter time, and a process of such a DC may be leader when it comes back. */
#define VP_MEMBERS_STALE_MS 60000
/* Time span for which the fastest ping of a member is kept, so that clocks of different speed
 * matter little. */
#define VP_MEMBERS_TRANSIT_SPAN_MS 30000

static void
_vp_member_free (gpointer data)
{
  VpMemberState *member = data;

  g_free (member->dc);
  g_free (member);
}

GHashTable *
vp_members_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _vp_member_free);
}

VpMemberState *
vp_members_get (GHashTable *members, const char *name)
{
  VpMemberState *member = g_hash_table_lookup (members, name);

  if (member == NULL) {
    member = g_new0 (VpMemberState, 1);
    g_strlcpy (member->name, name, sizeof member->name);
    g_hash_table_insert (members, member->name, member);
  }
  return member;
}

static void
_vp_member_note_transit (VpMemberState *member, int64_t transit_ms, int64_t now_ms)
{
  if (member->transit_since_ms == 0) {
    member->last_transit_ms = member->transit_ms = transit_ms;
    member->transit_since_ms = now_ms;
  } else if (now_ms - member->transit_since_ms >= VP_MEMBERS_TRANSIT_SPAN_MS) {
    member->last_transit_ms = member->transit_ms;
    member->transit_ms = transit_ms;
    member->transit_since_ms = now_ms;
  }
  member->transit_ms = MIN (member->transit_ms, transit_ms);
}

int64_t
vp_member_delay_ms (const VpMemberState *member, int64_t sent_ms, int64_t now_ms)
{
  int64_t delay_ms = now_ms - sent_ms - MIN (member->transit_ms, member->last_transit_ms);

  return sent_ms == 0 || member->transit_since_ms == 0 ? 0 : MAX (delay_ms, 0);
}

void
vp_member_handle_ping (VpMemberState *member, const VpNodeMsg *ping, int64_t now_ms)
{
  /* A process that has restarted may have another clock. */
  if (ping->sent_ms - ping->age_ms != member->own_started_ms)
    member->transit_since_ms = 0;
  member->own_started_ms = ping->sent_ms - ping->age_ms;
  member->ping_received_ms = now_ms;
  member->sent_ms = ping->sent_ms;
  member->echo_ms = MAX (member->echo_ms, MIN (ping->echo_ms, now_ms));
  member->hears_leader = ping->hears_leader;
  member->is_stopping = ping->is_stopping;
  member->has_config = ping->config_version != 0;
  member->cpu_milli = ping->cpu_milli;
  member->relay_form = ping->count;
  vp_text_set (&member->dc, ping->dc);
  member->started_ms = now_ms - ping->age_ms;
  _vp_member_note_transit (member, now_ms - ping->sent_ms, now_ms);
}

bool
vp_member_is_reachable (const VpMemberState *member, int64_t now_ms)
{
  return now_ms - member->ping_received_ms < VP_MEMBERS_REACHABLE_TIMEOUT_MS;
}

bool
vp_member_has_address (const VpMemberState *member)
{
  return member->address[0] != '\0';
}

bool
vp_members_remove_stale (GHashTable *members, int64_t now_ms)
{
  guint before = g_hash_table_size (members);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpMemberState *member = value;
    if (!member->is_listed && now_ms - member->ping_received_ms > VP_MEMBERS_STALE_MS)
      g_hash_table_iter_remove (&iter);
  }
  return g_hash_table_size (members) != before;
}

static gint
_vp_members_compare (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

void
vp_members_choose_ping_partners (GHashTable *members, const char *self)
{
  guint count = g_hash_table_size (members) + 1;
  guint stride = MAX (count / VP_MEMBERS_PING_PARTNERS_MIN, 1);
  g_autoptr (GPtrArray) names = g_ptr_array_sized_new (count);
  guint own_index = 0;
  GHashTableIter iter;
  gpointer name;

  g_ptr_array_add (names, (gpointer)self);
  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  g_ptr_array_sort (names, _vp_members_compare);
  while (names->pdata[own_index] != self)
    own_index++;
  for (guint i = 0; i < count; i++) {
    guint distance = (i + count - own_index) % count;
    VpMemberState *member = g_hash_table_lookup (members, names->pdata[i]);
    /* The shorter distance around the ring of names is the same seen from both processes, so
     * partners are mutual. */
    if (member != NULL)
      member->is_ping_partner = MIN (distance, count - distance) % stride == 0;
  }
}

void
vp_members_view (GHashTable *members, int64_t now_ms, VpElectionView *view)
{
  GHashTableIter iter;
  gpointer value;

  memset (view, 0, sizeof *view);
  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpMemberState *member = value;
    bool is_reachable = vp_member_is_reachable (member, now_ms);
    view->member_count += (member->is_listed && member->is_ping_partner) || is_reachable ? 1 : 0;
    view->reachable_count += is_reachable ? 1 : 0;
    view->no_leader_count += is_reachable && !member->hears_leader ? 1 : 0;
    if (is_reachable && !member->is_stopping)
      view->cpu_milli_max = MAX (view->cpu_milli_max, member->cpu_milli);
  }
}

int64_t
vp_members_oldest_echo_ms (GHashTable *members, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpMemberState *member = value;
    now_ms = MIN (now_ms, member->echo_ms);
  }
  return now_ms;
}

bool
vp_members_have_short_texts (GHashTable *members)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpMemberState *member = value;
    if (member->ping_received_ms != 0 && member->relay_form == 0)
      return true;
  }
  return false;
}

bool
vp_members_is_cut_off (GHashTable *members, int64_t now_ms)
{
  VpElectionView view;

  vp_members_view (members, now_ms, &view);
  return 2 * (view.reachable_count + 1) < view.member_count + 1;
}

const VpMemberState *
vp_members_successor (GHashTable *members, int64_t now_ms)
{
  const VpMemberState *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpMemberState *member = value;
    if (member->is_listed && !member->is_stopping && member->has_config
        && vp_member_is_reachable (member, now_ms)
        && (best == NULL || member->cpu_milli > best->cpu_milli
            || (member->cpu_milli == best->cpu_milli && member->started_ms > best->started_ms)))
      best = member;
  }
  return best;
}

VpMemberState *
vp_members_least_busy (GHashTable *members, int64_t before_ms, int64_t now_ms)
{
  VpMemberState *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpMemberState *member = value;
    int64_t free_ms = MAX (member->advice_until_ms, now_ms);
    if (vp_member_is_reachable (member, now_ms) && vp_member_has_address (member)
        && free_ms < before_ms) {
      best = member;
      before_ms = free_ms;
    }
  }
  return best;
}
