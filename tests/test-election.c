/* When a process claims leadership. */
#include "vp-election.h"

#include <string.h>

#define NOW_MS 1000000

/* What a process sees that reaches all others, none of which hears the leader. */
static const VpElectionView view
    = { .member_count = 4, .reachable_count = 4, .no_leader_count = 4 };

/* Sets up a process that has run for a while and has just had a ping of @leader. */
static void
_setup (VpElection *election, const char *leader, uint64_t term)
{
  vp_election_setup (election, "self", 250, NOW_MS - 60000);
  vp_election_handle_leader_ping (election, leader, term, 0, NOW_MS - 10000);
  vp_election_handle_leader_ping (election, leader, term, 0, NOW_MS);
}

/* Lets time pass in steps of 10 ms until the process claims. Each read shows the record at
 * @revision, which names @leader. Returns the time that passed. */
static int64_t
_time_to_claim (VpElection *election,
                const char *leader,
                uint64_t term,
                uint64_t revision,
                int64_t now_ms)
{
  VpElectionRecord record = { .term = term, .commit = 1 };

  g_strlcpy (record.leader, leader, sizeof record.leader);
  for (int64_t at_ms = now_ms; at_ms < now_ms + 20000; at_ms += 10) {
    VpElectionAction action = vp_election_tick (election, &view, at_ms);
    if (action == VP_ELECTION_CLAIM)
      return at_ms - now_ms;
    if (action == VP_ELECTION_READ)
      vp_election_handle_read (election, true, revision, &record, at_ms);
  }
  return INT64_MAX;
}

/* Lets a claim of this process fail as another one was faster, and returns the time until it claims
 * again if the other one never pings. */
static int64_t
_time_after_lost_claim (VpElection *election, const char *winner, int64_t now_ms)
{
  uint64_t term = election->claim.term;

  vp_election_handle_claim (election, false, 0, now_ms);
  return _time_to_claim (election, winner, term, term + 100, now_ms);
}

/* Guards against a claim right after another one, as if the new leader had been silent for as long
 * as the one before. */
static void
test_new_leader_has_time (void)
{
  VpElection election;
  int64_t took_ms;

  _setup (&election, "first", 3);
  took_ms = _time_to_claim (&election, "first", 3, 7, NOW_MS);
  g_assert_cmpint (took_ms, >=, 650);
  g_assert_cmpint (took_ms, <=, 1500);
  g_assert_cmpint (_time_after_lost_claim (&election, "second", NOW_MS + took_ms), >=, 650);
}

/* Guards against leaders that replace each other on slow VMs before any of them has read the stored
 * jobs. */
static void
test_patience_grows (void)
{
  VpElection election;
  int64_t now_ms = NOW_MS;
  int64_t took_ms = 0;

  _setup (&election, "first", 3);
  now_ms += _time_to_claim (&election, "first", 3, 7, now_ms);
  for (int i = 0; i < 3; i++) {
    took_ms = _time_after_lost_claim (&election, i % 2 == 0 ? "second" : "third", now_ms);
    now_ms += took_ms;
  }
  g_assert_cmpint (took_ms, >=, 2000);
  g_assert_cmpint (took_ms, <=, 4000);
}

/* A leader that has led for a while is replaced as fast as ever, also after short terms. */
static void
test_patience_ends (void)
{
  VpElection election;
  int64_t now_ms = NOW_MS;

  _setup (&election, "first", 3);
  now_ms += _time_to_claim (&election, "first", 3, 7, now_ms);
  now_ms += _time_after_lost_claim (&election, "second", now_ms);
  vp_election_handle_claim (&election, false, 0, now_ms);
  for (int i = 0; i < 50; i++, now_ms += 100)
    vp_election_handle_leader_ping (&election, "third", 6, 0, now_ms);
  vp_election_handle_leader_ping (&election, "fourth", 7, 0, now_ms);
  g_assert_cmpint (_time_to_claim (&election, "fourth", 7, 300, now_ms), <=, 1500);
}

/* Guards against a process that comes back from a partition and replaces a leader that writes,
 * since the leader had reported failing writes before the partition. */
static void
test_old_report_of_failing_writes (void)
{
  static const VpElectionView alone = { .member_count = 4 };
  VpElectionRecord record = { .term = 3, .commit = 1, .leader = "first" };
  VpElection election;

  _setup (&election, "first", 3);
  vp_election_handle_leader_ping (&election, "first", 3, 2476, NOW_MS);
  /* The partition ends after 7 s. Pings arrive 1 s after that, and the leader writes every 25 ms.
   */
  for (int64_t at_ms = NOW_MS + 7000; at_ms < NOW_MS + 8000; at_ms += 10) {
    VpElectionAction action = vp_election_tick (&election, &alone, at_ms);
    g_assert_cmpint (action, !=, VP_ELECTION_CLAIM);
    if (action == VP_ELECTION_READ)
      vp_election_handle_read (&election, true, (uint64_t)at_ms / 25, &record, at_ms);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/election/new-leader-has-time", test_new_leader_has_time);
  g_test_add_func ("/election/patience-grows", test_patience_grows);
  g_test_add_func ("/election/patience-ends", test_patience_ends);
  g_test_add_func ("/election/old-report-of-failing-writes", test_old_report_of_failing_writes);
  return g_test_run ();
}
