/* Choice of ping partners, and conclusions from the pings that arrive. */
#include "vp-members.h"

#define NOW_MS 1000000

static char *
_name (uint32_t number)
{
  return g_strdup_printf ("node-%03u", number);
}

/* Returns the members as seen by process number @self of @count processes. */
static GHashTable *
_new_members (uint32_t self, uint32_t count)
{
  GHashTable *members = vp_members_new ();
  g_autofree char *own = _name (self);

  for (uint32_t i = 0; i < count; i++) {
    g_autofree char *name = _name (i);
    if (i != self)
      vp_members_get (members, name)->is_listed = true;
  }
  vp_members_choose_ping_partners (members, own);
  return members;
}

static uint32_t
_partner_count (GHashTable *members)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const VpMemberState *)value)->is_ping_partner ? 1 : 0;
  return count;
}

/* Each process of a large cell has about 16 to 32 ping partners, and partnership is mutual. */
static void
test_partners_are_mutual (void)
{
  static const uint32_t counts[] = { 2, 6, 31, 32, 33, 43, 48, 300, 511 };

  for (guint c = 0; c < G_N_ELEMENTS (counts); c++) {
    g_autoptr (GPtrArray) all = g_ptr_array_new_with_free_func ((GDestroyNotify)g_hash_table_unref);
    for (uint32_t i = 0; i < counts[c]; i++)
      g_ptr_array_add (all, _new_members (i, counts[c]));
    for (uint32_t a = 0; a < counts[c]; a++) {
      uint32_t partners = _partner_count (all->pdata[a]);
      g_assert_cmpuint (partners, <=, 32);
      g_assert_cmpuint (partners, >=, MIN (counts[c] - 1, 15));
      for (uint32_t b = 0; b < counts[c]; b++) {
        g_autofree char *name_a = _name (a);
        g_autofree char *name_b = _name (b);
        if (a != b)
          g_assert_true (vp_members_get (all->pdata[a], name_b)->is_ping_partner
                         == vp_members_get (all->pdata[b], name_a)->is_ping_partner);
      }
    }
  }
}

/* In a large cell a process can tell from its ping partners alone whether it is cut off. */
static void
test_cut_off_by_partners (void)
{
  g_autoptr (GHashTable) members = _new_members (7, 300);
  VpNodeMsg ping = { .kind = VP_NODEMSG_PING };
  GHashTableIter iter;
  gpointer value;

  g_assert_true (vp_members_is_cut_off (members, NOW_MS));
  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    if (((VpMemberState *)value)->is_ping_partner)
      vp_member_handle_ping (value, &ping, NOW_MS);
  }
  g_assert_false (vp_members_is_cut_off (members, NOW_MS));
  g_assert_true (vp_members_is_cut_off (members, NOW_MS + 5000));
}

/* The strongest VM is chosen as successor, and among equals the process that started last. */
static void
test_successor (void)
{
  g_autoptr (GHashTable) members = _new_members (0, 4);
  VpNodeMsg ping = { .kind = VP_NODEMSG_PING, .cpu_milli = 120, .age_ms = 10, .config_version = 1 };

  vp_member_handle_ping (vp_members_get (members, "node-001"), &ping, NOW_MS);
  ping.cpu_milli = 500;
  ping.age_ms = 5000;
  vp_member_handle_ping (vp_members_get (members, "node-002"), &ping, NOW_MS);
  g_assert_cmpstr (vp_members_successor (members, NOW_MS)->name, ==, "node-002");
  ping.age_ms = 4000;
  vp_member_handle_ping (vp_members_get (members, "node-003"), &ping, NOW_MS);
  g_assert_cmpstr (vp_members_successor (members, NOW_MS)->name, ==, "node-003");
  /* A process without a configuration can't become leader. */
  ping.config_version = 0;
  vp_member_handle_ping (vp_members_get (members, "node-003"), &ping, NOW_MS);
  g_assert_cmpstr (vp_members_successor (members, NOW_MS)->name, ==, "node-002");
}

/* Guards against advice calls that are passed to nobody: the pings of a process arrive before its
 * address is listed. */
static void
test_least_busy (void)
{
  g_autoptr (GHashTable) members = vp_members_new ();
  VpMemberState *member = vp_members_get (members, "node-001");
  VpNodeMsg ping = { .kind = VP_NODEMSG_PING };

  vp_member_handle_ping (member, &ping, NOW_MS);
  g_assert_null (vp_members_least_busy (members, NOW_MS + 100, NOW_MS));
  g_strlcpy (member->address, "127.0.0.1:1", sizeof member->address);
  g_assert_true (vp_members_least_busy (members, NOW_MS + 100, NOW_MS) == member);
  g_assert_null (vp_members_least_busy (members, NOW_MS, NOW_MS));
}

/* The oldest echo of all members counts, also of unlisted ones, and the echo of a member never
 * moves back. */
static void
test_echo (void)
{
  g_autoptr (GHashTable) members = _new_members (0, 3);
  VpMemberState *one = vp_members_get (members, "node-001");
  VpMemberState *two = vp_members_get (members, "node-002");
  g_autoptr (GHashTable) none = vp_members_new ();

  g_assert_cmpint (vp_members_oldest_echo_ms (none, NOW_MS), ==, NOW_MS);
  g_assert_cmpint (vp_members_oldest_echo_ms (members, NOW_MS), ==, 0);
  vp_member_handle_ping (one, &(VpNodeMsg){ .sent_ms = 5, .echo_ms = NOW_MS - 300 }, NOW_MS);
  vp_member_handle_ping (two, &(VpNodeMsg){ .sent_ms = 6, .echo_ms = NOW_MS - 700 }, NOW_MS);
  g_assert_cmpint (one->sent_ms, ==, 5);
  g_assert_cmpint (vp_members_oldest_echo_ms (members, NOW_MS), ==, NOW_MS - 700);
  two->is_listed = false;
  g_assert_cmpint (vp_members_oldest_echo_ms (members, NOW_MS), ==, NOW_MS - 700);
  vp_member_handle_ping (one, &(VpNodeMsg){ .echo_ms = 0 }, NOW_MS);
  g_assert_cmpint (one->echo_ms, ==, NOW_MS - 300);
  /* The echo is of a ping that this process sent before a restart, when its clock was ahead. */
  vp_member_handle_ping (two, &(VpNodeMsg){ .echo_ms = NOW_MS + 5000 }, NOW_MS);
  g_assert_cmpint (vp_members_oldest_echo_ms (members, NOW_MS), ==, NOW_MS - 300);
}

/* Guards against a delay of messages that depends on how the clocks of two processes differ. */
static void
test_delay (void)
{
  g_autoptr (GHashTable) members = _new_members (0, 1);
  VpMemberState *one = vp_members_get (members, "node-000");

  g_assert_cmpint (vp_member_delay_ms (one, 0, NOW_MS), ==, 0);
  /* The member's clock is at 5000 and goes as fast as this one. */
  vp_member_handle_ping (one, &(VpNodeMsg){ .sent_ms = 5000, .age_ms = 500 }, NOW_MS + 300);
  vp_member_handle_ping (one, &(VpNodeMsg){ .sent_ms = 5200, .age_ms = 700 }, NOW_MS + 205);
  g_assert_cmpint (vp_member_delay_ms (one, 5300, NOW_MS + 305), ==, 0);
  g_assert_cmpint (vp_member_delay_ms (one, 5300, NOW_MS + 2305), ==, 2000);
  g_assert_cmpint (vp_member_delay_ms (one, 0, NOW_MS + 2305), ==, 0);
  /* It restarts with another clock. */
  vp_member_handle_ping (one, &(VpNodeMsg){ .sent_ms = 90000, .age_ms = 10 }, NOW_MS + 3000);
  g_assert_cmpint (vp_member_delay_ms (one, 90100, NOW_MS + 3200), ==, 100);
  /* It is 1 ms slower in each second: the fastest ping of long ago doesn't count. */
  for (int64_t i = 1; i <= 600; i++)
    vp_member_handle_ping (one, &(VpNodeMsg){ .sent_ms = 90000 + i * 999, .age_ms = 10 + i * 999 },
                           NOW_MS + 3000 + i * 1000);
  g_assert_cmpint (vp_member_delay_ms (one, 90000 + 600 * 999, NOW_MS + 603000), <=, 100);
}

/* Guards against a process of an earlier version that isn't noticed, or is seen in one that is
 * listed but was never heard of. */
static void
test_short_texts (void)
{
  GHashTable *members = _new_members (0, 3);
  VpNodeMsg ping = { .kind = VP_NODEMSG_PING, .sent_ms = 1, .count = 1 };

  g_assert_false (vp_members_have_short_texts (members));
  vp_member_handle_ping (vp_members_get (members, "node-001"), &ping, NOW_MS);
  g_assert_false (vp_members_have_short_texts (members));
  ping.count = 0;
  vp_member_handle_ping (vp_members_get (members, "node-002"), &ping, NOW_MS);
  g_assert_true (vp_members_have_short_texts (members));
  /* It has restarted with this version. */
  ping.count = 1;
  vp_member_handle_ping (vp_members_get (members, "node-002"), &ping, NOW_MS + 1000);
  g_assert_false (vp_members_have_short_texts (members));
  g_hash_table_unref (members);
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/members/partners-are-mutual", test_partners_are_mutual);
  g_test_add_func ("/members/cut-off-by-partners", test_cut_off_by_partners);
  g_test_add_func ("/members/successor", test_successor);
  g_test_add_func ("/members/least-busy", test_least_busy);
  g_test_add_func ("/members/echo", test_echo);
  g_test_add_func ("/members/delay", test_delay);
  g_test_add_func ("/members/short-texts", test_short_texts);
  return g_test_run ();
}
