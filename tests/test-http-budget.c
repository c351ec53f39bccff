#include "vp-http-budget.h"

#include <string.h>

#define MIB ((uint64_t)1024 * 1024)

static void
setup (VpHttpBudget *budget, VpHttpLimits limits)
{
  vp_http_budget_setup (budget, &limits);
}

static void
open_entry (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms)
{
  memset (entry, 0, sizeof *entry);
  g_assert_true (vp_http_budget_open (budget, entry, 1, now_ms));
}

static void
begin (VpHttpBudget *budget, VpHttpBudgetEntry *entry, uint64_t size, int64_t now_ms)
{
  vp_http_budget_begin (budget, entry, now_ms);
  vp_http_budget_begin_body (budget, entry, size, true, now_ms);
}

/* Receives @size bytes. Closes victims. Returns false if the request is refused. */
static bool
receive (VpHttpBudget *budget, VpHttpBudgetEntry *entry, uint64_t size, int64_t now_ms)
{
  VpHttpBudgetEntry *victim;
  VpHttpCharge charge;

  vp_http_budget_receive (budget, entry, size, now_ms);
  while ((charge = vp_http_budget_charge (budget, entry, size, now_ms, &victim))
         == VP_HTTP_CHARGE_CLOSE)
    vp_http_budget_close (budget, victim, VP_HTTP_CAUSE_BYTES);
  if (charge == VP_HTTP_CHARGE_REFUSED)
    vp_http_budget_refuse (budget, entry, VP_HTTP_CAUSE_BYTES, now_ms);
  return charge == VP_HTTP_CHARGE_GRANTED;
}

/* Guards against limits that leave no descriptors or memory to the rest of the process on the
 * smallest VM, that follow the size of a large machine without bound, or that replace a setting. */
static void
test_defaults (void)
{
  VpHttpLimits small = { 0 };
  VpHttpLimits large = { 0 };
  VpHttpLimits tiny = { 0 };
  VpHttpLimits set = { .bytes_max = 7, .connections_max = 9, .idle_timeout_ms = 11 };

  vp_http_limits_complete (&small, 120 * MIB, 3075, 35);
  g_assert_cmpuint (small.bytes_max, ==, 15 * MIB);
  g_assert_cmpuint (small.connections_max, ==, 1006);
  g_assert_cmpuint (small.per_address_max, ==, 0);
  vp_http_limits_complete (&large, 64 * 1024 * MIB, 1 << 20, 35);
  g_assert_cmpuint (large.bytes_max, ==, 64 * MIB);
  g_assert_cmpuint (large.connections_max, ==, 4096);
  vp_http_limits_complete (&tiny, MIB, 100, 35);
  g_assert_cmpuint (tiny.bytes_max, ==, MIB);
  g_assert_cmpuint (tiny.connections_max, ==, 8);
  vp_http_limits_complete (&set, 120 * MIB, 3075, 35);
  g_assert_cmpuint (set.bytes_max, ==, 7);
  g_assert_cmpuint (set.connections_max, ==, 9);
  g_assert_cmpint (set.idle_timeout_ms, ==, 11);
}

/* Guards against bodies over the budget, a body that takes the place of another one that is still
 * arriving, and a stalled body that keeps its place. */
static void
test_bytes (void)
{
  VpHttpBudget budget;
  VpHttpBudgetEntry entries[4];

  setup (&budget, (VpHttpLimits){ .bytes_max = 400000 });
  for (guint i = 0; i < 4; i++) {
    open_entry (&budget, &entries[i], 0);
    if (i < 3)
      begin (&budget, &entries[i], 200000, 0);
  }
  /* Large bodies may use three quarters. */
  g_assert_true (receive (&budget, &entries[0], 150000, 0));
  g_assert_true (receive (&budget, &entries[1], 150000, 100));
  g_assert_false (receive (&budget, &entries[2], 1000, 200));
  g_assert_cmpint (entries[2].phase, ==, VP_HTTP_PHASE_DISCARD);
  g_assert_cmpuint (budget.charged_bytes, ==, 300000);
  /* The first one has made no progress for 300 ms, the second one for 200 ms. */
  begin (&budget, &entries[3], 200000, 300);
  g_assert_true (receive (&budget, &entries[3], 1000, 300));
  g_assert_cmpint (entries[0].phase, ==, VP_HTTP_PHASE_CLOSING);
  g_assert_cmpint (entries[1].phase, ==, VP_HTTP_PHASE_LARGE);
  g_assert_cmpuint (budget.charged_bytes, ==, 151000);
  g_assert_cmpuint (budget.closed[VP_HTTP_CAUSE_BYTES], ==, 1);
  g_assert_cmpuint (budget.refused[VP_HTTP_CAUSE_BYTES], ==, 1);
  vp_http_budget_wait (&budget, &entries[1]);
  vp_http_budget_remove (&budget, &entries[3]);
  g_assert_cmpuint (budget.charged_bytes, ==, 0);
  g_assert_cmpuint (budget.large_bytes, ==, 0);
  vp_http_budget_clear (&budget);
}

/* Guards against large bodies that use the part that is reserved for small ones, also by chunks of
 * an unknown length, and against a small body that grows without being counted as large. */
static void
test_reserve (void)
{
  VpHttpBudget budget;
  VpHttpBudgetEntry large, chunked, small;

  setup (&budget, (VpHttpLimits){ .bytes_max = 400000 });
  open_entry (&budget, &large, 0);
  open_entry (&budget, &chunked, 0);
  open_entry (&budget, &small, 0);
  begin (&budget, &large, 400000, 0);
  begin (&budget, &chunked, UINT64_MAX, 0);
  begin (&budget, &small, 16384, 0);
  g_assert_true (receive (&budget, &large, 290000, 0));
  g_assert_true (receive (&budget, &chunked, 16384, 0));
  g_assert_cmpuint (budget.large_bytes, ==, 290000);
  /* Now it is large, and 290,000 + 16,384 is more than three quarters. */
  g_assert_false (receive (&budget, &chunked, 1, 0));
  g_assert_cmpuint (budget.charged_bytes, ==, 290000);
  g_assert_true (receive (&budget, &small, 16384, 0));
  g_assert_cmpuint (budget.large_bytes, ==, 290000);
  vp_http_budget_clear (&budget);
}

/* Guards against a client that keeps its place by sending single bytes, and against one that is
 * closed although it sends at the minimum rate. */
static void
test_slow (void)
{
  VpHttpBudget budget;
  VpHttpBudgetEntry entries[2];
  VpHttpCause cause;

  setup (&budget, (VpHttpLimits){ .receive_bytes_per_s_min = 1024, .receive_timeout_ms = 60000 });
  for (guint i = 0; i < 2; i++) {
    open_entry (&budget, &entries[i], 0);
    begin (&budget, &entries[i], 100000, 0);
  }
  for (int64_t now_ms = 0; now_ms < 4000; now_ms += 100) {
    receive (&budget, &entries[0], 1, now_ms);
    receive (&budget, &entries[1], 110, now_ms);
    g_assert_null (vp_http_budget_expired (&budget, now_ms, &cause));
  }
  g_assert_cmpint (vp_http_budget_next_ms (&budget), ==, 4000);
  g_assert_true (vp_http_budget_expired (&budget, 4000, &cause) == &entries[0]);
  g_assert_cmpint (cause, ==, VP_HTTP_CAUSE_RECEIVE);
  vp_http_budget_close (&budget, &entries[0], cause);
  g_assert_null (vp_http_budget_expired (&budget, 4000, &cause));
  vp_http_budget_clear (&budget);
}

/* Guards against a phase without a time limit, and against a request that is closed while it waits
 * for its answer. */
static void
test_times (void)
{
  VpHttpBudget budget;
  VpHttpBudgetEntry entry;
  VpHttpCause cause;

  setup (&budget, (VpHttpLimits){ .receive_timeout_ms = 1000,
                                  .send_timeout_ms = 2000,
                                  .idle_timeout_ms = 3000 });
  open_entry (&budget, &entry, 0);
  g_assert_cmpint (vp_http_budget_next_ms (&budget), ==, 3000);
  g_assert_null (vp_http_budget_expired (&budget, 2999, &cause));
  g_assert_true (vp_http_budget_expired (&budget, 3000, &cause) == &entry);
  g_assert_cmpint (cause, ==, VP_HTTP_CAUSE_IDLE);
  vp_http_budget_begin (&budget, &entry, 2500);
  g_assert_null (vp_http_budget_expired (&budget, 3499, &cause));
  g_assert_true (vp_http_budget_expired (&budget, 3500, &cause) == &entry);
  g_assert_cmpint (cause, ==, VP_HTTP_CAUSE_RECEIVE);
  vp_http_budget_begin_body (&budget, &entry, 100000, true, 3000);
  /* Progress doesn't extend the time for the whole request. */
  receive (&budget, &entry, 50000, 3400);
  g_assert_true (vp_http_budget_expired (&budget, 3500, &cause) == &entry);
  vp_http_budget_wait (&budget, &entry);
  g_assert_cmpint (vp_http_budget_next_ms (&budget), ==, INT64_MAX);
  vp_http_budget_send (&budget, &entry, 10000);
  g_assert_true (vp_http_budget_expired (&budget, 12000, &cause) == &entry);
  g_assert_cmpint (cause, ==, VP_HTTP_CAUSE_SEND);
  vp_http_budget_idle (&budget, &entry, 11000);
  g_assert_cmpint (vp_http_budget_next_ms (&budget), ==, 14000);
  vp_http_budget_close (&budget, &entry, VP_HTTP_CAUSE_IDLE);
  g_assert_cmpint (vp_http_budget_next_ms (&budget), ==, INT64_MAX);
  vp_http_budget_remove (&budget, &entry);
  g_assert_cmpuint (budget.connection_count, ==, 0);
  vp_http_budget_clear (&budget);
}

/* Guards against a new connection that waits although others are idle, against a busy caller's
 * connection that is closed between its requests, and against a waiting request that is closed. */
static void
test_connections (void)
{
  VpHttpBudget budget;
  VpHttpBudgetEntry entries[4];
  VpHttpBudgetEntry *victim;

  setup (&budget, (VpHttpLimits){ .connections_max = 4 });
  for (guint i = 0; i < 4; i++) {
    g_assert_true (vp_http_budget_has_room (&budget, 0, &victim));
    open_entry (&budget, &entries[i], 0);
  }
  vp_http_budget_begin (&budget, &entries[0], 0);
  vp_http_budget_wait (&budget, &entries[0]);
  begin (&budget, &entries[1], 1000, 0);
  vp_http_budget_send (&budget, &entries[2], 0);
  g_assert_false (vp_http_budget_has_room (&budget, 499, &victim));
  g_assert_null (victim);
  g_assert_false (vp_http_budget_has_room (&budget, 500, &victim));
  g_assert_true (victim == &entries[3]);
  vp_http_budget_close (&budget, victim, VP_HTTP_CAUSE_CONNECTIONS);
  g_assert_true (vp_http_budget_has_room (&budget, 500, &victim));
  memset (&entries[3], 0, sizeof entries[3]);
  vp_http_budget_setup (&budget, &(VpHttpLimits){ .connections_max = 3 });
  for (guint i = 0; i < 3; i++)
    open_entry (&budget, &entries[i], 0);
  vp_http_budget_wait (&budget, &entries[0]);
  begin (&budget, &entries[1], 1000, 0);
  vp_http_budget_send (&budget, &entries[2], 0);
  g_assert_false (vp_http_budget_has_room (&budget, 600, &victim));
  g_assert_true (victim == &entries[1]);
  vp_http_budget_touch (&budget, &entries[1], 600);
  g_assert_false (vp_http_budget_has_room (&budget, 700, &victim));
  g_assert_null (victim);
  vp_http_budget_close (&budget, &entries[1], VP_HTTP_CAUSE_CONNECTIONS);
  open_entry (&budget, &entries[3], 1900);
  vp_http_budget_wait (&budget, &entries[3]);
  g_assert_false (vp_http_budget_has_room (&budget, 2000, &victim));
  g_assert_true (victim == &entries[2]);
  vp_http_budget_clear (&budget);
}

/* Guards against one address that takes all connections, and a count that is not reduced. */
static void
test_addresses (void)
{
  VpHttpBudget budget;
  VpHttpBudgetEntry entries[3] = { 0 };

  setup (&budget, (VpHttpLimits){ .per_address_max = 1 });
  g_assert_true (vp_http_budget_open (&budget, &entries[0], 5, 0));
  g_assert_false (vp_http_budget_open (&budget, &entries[1], 5, 0));
  g_assert_true (vp_http_budget_open (&budget, &entries[2], 6, 0));
  g_assert_cmpuint (budget.refused[VP_HTTP_CAUSE_ADDRESS], ==, 1);
  vp_http_budget_remove (&budget, &entries[1]); /* was never open */
  vp_http_budget_close (&budget, &entries[0], VP_HTTP_CAUSE_IDLE);
  vp_http_budget_remove (&budget, &entries[0]);
  memset (entries, 0, sizeof entries[0]);
  g_assert_true (vp_http_budget_open (&budget, &entries[0], 5, 0));
  g_assert_cmpuint (budget.connection_count, ==, 2);
  vp_http_budget_clear (&budget);
}

/* Guards against a log line for each refusal, and one for idle connections on a calm day. */
static void
test_report (void)
{
  VpHttpBudget budget;
  VpHttpBudgetEntry entry;
  char text[256];

  setup (&budget, (VpHttpLimits){ 0 });
  open_entry (&budget, &entry, 0);
  vp_http_budget_close (&budget, &entry, VP_HTTP_CAUSE_IDLE);
  g_assert_false (vp_http_budget_report (&budget, 0, text, sizeof text));
  budget.refused[VP_HTTP_CAUSE_LENGTH] = 3;
  g_assert_true (vp_http_budget_report (&budget, 0, text, sizeof text));
  g_assert_cmpstr (text, ==, "refused_length=3 connections=0 bytes=0");
  budget.refused[VP_HTTP_CAUSE_LENGTH] = 5;
  budget.closed[VP_HTTP_CAUSE_SEND] = 1;
  g_assert_false (vp_http_budget_report (&budget, 4999, text, sizeof text));
  g_assert_true (vp_http_budget_report (&budget, 5000, text, sizeof text));
  g_assert_cmpstr (text, ==, "refused_length=2 closed_send=1 connections=0 bytes=0");
  g_assert_false (vp_http_budget_report (&budget, 20000, text, sizeof text));
  vp_http_budget_clear (&budget);
}

/* Guards against memory that is kept after a flood, and against giving it back on a calm day. */
static void
test_trim (void)
{
  VpHttpBudget budget;
  VpHttpBudgetEntry entry;

  setup (&budget, (VpHttpLimits){ .bytes_max = 15 * MIB });
  open_entry (&budget, &entry, 0);
  for (int i = 0; i < 1000; i++) {
    begin (&budget, &entry, 10000, 0);
    g_assert_true (receive (&budget, &entry, 10000, 0));
    vp_http_budget_wait (&budget, &entry);
    g_assert_false (vp_http_budget_is_trim_due (&budget, 0));
    vp_http_budget_idle (&budget, &entry, 0);
  }
  begin (&budget, &entry, 8 * MIB, 0);
  g_assert_true (receive (&budget, &entry, 8 * MIB, 0));
  g_assert_false (vp_http_budget_is_trim_due (&budget, 0));
  vp_http_budget_wait (&budget, &entry);
  g_assert_true (vp_http_budget_is_trim_due (&budget, 0));
  g_assert_false (vp_http_budget_is_trim_due (&budget, 10000));
  vp_http_budget_clear (&budget);
}

enum {
  FLOOD_CLIENTS = 1500,
  FLOOD_BODY = 262000,
  FLOOD_HELD = 1000, /* bytes that are never sent */
  FLOOD_PIECE = 8192,
  ORDINARY_BODY = 4000,
};

typedef struct {
  uint64_t peak_bytes;
  uint32_t asked;
  uint32_t served; /* ordinary requests that were received as a whole */
} FloodResult;

/* Replays 8 s of 1,500 clients that send bodies and hold the last bytes back, and of one ordinary
 * request every 100 ms. Closed clients come back at once. */
static FloodResult
replay_flood (uint64_t bytes_max)
{
  g_autofree VpHttpBudgetEntry *clients = g_new0 (VpHttpBudgetEntry, FLOOD_CLIENTS);
  VpHttpBudgetEntry ordinary = { 0 };
  FloodResult result = { 0 };
  VpHttpBudget budget;

  setup (&budget, (VpHttpLimits){ .bytes_max = bytes_max, .connections_max = FLOOD_CLIENTS + 1 });
  for (int64_t now_ms = 0; now_ms < 8000; now_ms += 10) {
    for (guint i = 0; i < FLOOD_CLIENTS; i++) {
      VpHttpBudgetEntry *client = &clients[i];
      if (client->phase == VP_HTTP_PHASE_CLOSING || client->phase == VP_HTTP_PHASE_DISCARD)
        vp_http_budget_remove (&budget, client);
      if (client->phase == VP_HTTP_PHASE_NONE) {
        open_entry (&budget, client, now_ms);
        begin (&budget, client, FLOOD_BODY, now_ms);
      }
      if (client->received_bytes + FLOOD_PIECE <= FLOOD_BODY - FLOOD_HELD)
        receive (&budget, client, FLOOD_PIECE, now_ms);
      result.peak_bytes = MAX (result.peak_bytes, budget.charged_bytes);
    }
    if (now_ms % 100 != 0)
      continue;
    open_entry (&budget, &ordinary, now_ms);
    begin (&budget, &ordinary, ORDINARY_BODY, now_ms);
    result.asked++;
    result.served += receive (&budget, &ordinary, ORDINARY_BODY, now_ms) ? 1 : 0;
    vp_http_budget_remove (&budget, &ordinary);
  }
  vp_http_budget_clear (&budget);
  return result;
}

/* Load: bodies of legal size that stop short of their end. Guards against their memory, and against
 * ordinary requests that find none left. Without a budget each body is kept. */
static void
test_flood (void)
{
  FloodResult before = replay_flood (UINT64_MAX / 4);
  FloodResult after = replay_flood (15 * MIB);

  g_test_message ("held bodies, 1,500 clients: peak %" G_GUINT64_FORMAT
                  " kB without a budget, %" G_GUINT64_FORMAT " kB with one; ordinary requests: "
                  "%u of %u, %u of %u",
                  before.peak_bytes / 1000, after.peak_bytes / 1000, before.served, before.asked,
                  after.served, after.asked);
  g_assert_cmpuint (before.peak_bytes, >, 300000000);
  g_assert_cmpuint (after.peak_bytes, <=, 15 * MIB);
  g_assert_cmpuint (after.served, ==, after.asked);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-budget/defaults", test_defaults);
  g_test_add_func ("/http-budget/bytes", test_bytes);
  g_test_add_func ("/http-budget/reserve", test_reserve);
  g_test_add_func ("/http-budget/slow", test_slow);
  g_test_add_func ("/http-budget/times", test_times);
  g_test_add_func ("/http-budget/connections", test_connections);
  g_test_add_func ("/http-budget/addresses", test_addresses);
  g_test_add_func ("/http-budget/report", test_report);
  g_test_add_func ("/http-budget/trim", test_trim);
  g_test_add_func ("/http-budget/flood", test_flood);
  return g_test_run ();
}
