#include "vp-election.h"

#include <string.h>

/* The leader pings every 200 ms. When two pings are missing, followers suspect that it has failed
 * and begin to read the record. */
#define VP_ELECTION_SUSPECT_MS 450
/* When three pings are missing, a follower may claim leadership. */
#define VP_ELECTION_SILENCE_MS 650
/* Interval between reads of the record while the leader is suspected. */
#define VP_ELECTION_READ_INTERVAL_MS 150
/* A term that ends sooner than this after it was first seen is short. */
#define VP_ELECTION_SHORT_TERM_MS 3000
/* Maximum number of short terms that each double the time for which a leader may be silent. */
#define VP_ELECTION_PATIENCE_DOUBLINGS 2
/* A record that has not changed for this long is stale. A leader writes the record at least every
 * 400 ms. */
#define VP_ELECTION_RECORD_STALE_MS 500
/* A leader whose writes have failed for this long may be replaced by a process that can write. */
#define VP_ELECTION_STORE_FAILING_MS 500
/* Upper bound of a delay that is derived from the name of the process, so that claims of several
 * processes don't collide. */
#define VP_ELECTION_JITTER_MS 150
/* Delay of the first claim after the start, while the CPU shares of the other processes are still
 * unknown: a process with a whole core waits this long, and others wait longer in inverse
 * proportion to their share. */
#define VP_ELECTION_STARTUP_DELAY_MS 25
/* CPU share of a process, in thousandths of a core, below which its startup delay grows no more. */
#define VP_ELECTION_STARTUP_CPU_MILLI_MIN 50
/* While a stronger VM is reachable, a process delays its claim by this time. The stronger VM reads
 * the record at the same interval, and its first ping announces its claim. */
#define VP_ELECTION_WEAKER_DELAY_MS 350
/* The leader counts as known for this long after its last ping. */
#define VP_ELECTION_LEADER_KNOWN_MS 1000

void
vp_election_setup (VpElection *election, const char *name, uint32_t cpu_milli, int64_t now_ms)
{
  memset (election, 0, sizeof *election);
  election->cpu_milli = cpu_milli;
  g_strlcpy (election->name, name, sizeof election->name);
  election->started_ms = now_ms;
  election->store_unavailable_ms = now_ms;
  /* The record is read soon after the start, so that a restarted leader can resume leadership. */
  election->read_next_ms
      = now_ms + g_str_hash (name) % VP_ELECTION_JITTER_MS
        + VP_ELECTION_STARTUP_DELAY_MS * 1000 / MAX (cpu_milli, VP_ELECTION_STARTUP_CPU_MILLI_MIN);
}

/* Notes that @term was first seen now. */
static void
_vp_election_see_term (VpElection *election, uint64_t term, int64_t now_ms)
{
  if (term <= election->term)
    return;
  election->short_terms
      = election->term_seen_ms != 0 && now_ms - election->term_seen_ms < VP_ELECTION_SHORT_TERM_MS
            ? election->short_terms + 1
            : 0;
  election->term_seen_ms = now_ms;
}

/* Makes this process a follower in @term. @leader is empty if the leader is unknown. */
static void
_vp_election_follow (VpElection *election, uint64_t term, const char *leader, int64_t now_ms)
{
  _vp_election_see_term (election, term, now_ms);
  election->state = VP_ELECTION_FOLLOWER;
  election->claimable_since_ms = 0;
  election->term = term;
  election->has_handover = false;
  g_strlcpy (election->leader, leader, sizeof election->leader);
}

void
vp_election_handle_leader_ping (VpElection *election,
                                const char *name,
                                uint64_t term,
                                int64_t store_failing_ms,
                                int64_t now_ms)
{
  if (term < election->term || (term == election->term && election->state == VP_ELECTION_LEADER))
    return;
  if (term > election->term || strcmp (election->leader, name) != 0)
    _vp_election_follow (election, term, name, now_ms);
  election->leader_ping_ms = now_ms;
  election->store_failing_ms = store_failing_ms;
  if (store_failing_ms > 0)
    election->store_unavailable_ms = now_ms;
  if (store_failing_ms < VP_ELECTION_STORE_FAILING_MS)
    election->has_record = false;
}

void
vp_election_observe_term (VpElection *election, uint64_t term, int64_t now_ms)
{
  if (election->state == VP_ELECTION_LEADER && term > election->term)
    _vp_election_follow (election, term, "", now_ms);
}

void
vp_election_handle_handover (VpElection *election, uint64_t term, int64_t now_ms)
{
  if (term < election->term || election->state != VP_ELECTION_FOLLOWER)
    return;
  election->has_handover = true;
  election->read_next_ms = now_ms;
}

static int64_t
_vp_election_leader_silent_ms (const VpElection *election, int64_t now_ms)
{
  return now_ms - MAX (election->leader_ping_ms, election->started_ms);
}

/* Returns true if the leader has just reported that its writes fail. A report from before a
 * partition says nothing about the leader of now. */
static bool
_vp_election_is_leader_failing (const VpElection *election, int64_t now_ms)
{
  return election->store_failing_ms > VP_ELECTION_STORE_FAILING_MS
         && _vp_election_leader_silent_ms (election, now_ms) < VP_ELECTION_LEADER_KNOWN_MS;
}

/* Returns true if the leader may have failed or hands over, or if no leader is known. */
static bool
_vp_election_is_leader_suspect (const VpElection *election, int64_t now_ms)
{
  return _vp_election_leader_silent_ms (election, now_ms) > VP_ELECTION_SUSPECT_MS
         || _vp_election_is_leader_failing (election, now_ms) || election->has_handover
         || election->leader[0] == '\0';
}

/* Returns the time for which the leader may be silent. */
static int64_t
_vp_election_patience_ms (const VpElection *election)
{
  return VP_ELECTION_SILENCE_MS << MIN (election->short_terms, VP_ELECTION_PATIENCE_DOUBLINGS);
}

/* Returns true if this process reaches at least half of all processes and the leader's pings don't
 * arrive at most of those. */
static bool
_vp_election_majority_lost_leader (const VpElectionView *view)
{
  return view->reachable_count > 0 && 2 * (view->reachable_count + 1) >= view->member_count + 1
         && 2 * view->no_leader_count > view->reachable_count;
}

/* Returns true if what is known of the leader and of the record allows a claim. */
static bool
_vp_election_may_claim (const VpElection *election, const VpElectionView *view, int64_t now_ms)
{
  if (!election->has_record)
    return false;
  if (election->record.term == 0 || election->record.is_clean || election->has_handover
      || strcmp (election->record.leader, election->name) == 0)
    return true;
  if (election->leader[0] != '\0' && !_vp_election_is_leader_failing (election, now_ms)
      && _vp_election_leader_silent_ms (election, now_ms) <= _vp_election_patience_ms (election))
    return false;
  /* If the leader reports that its writes fail, the record needn't be observed for a while, as the
   * claim is conditional on its revision. */
  return _vp_election_is_leader_failing (election, now_ms)
         || now_ms - election->record_unchanged_since_ms >= VP_ELECTION_RECORD_STALE_MS
         || _vp_election_majority_lost_leader (view);
}

/* Returns true while a stronger VM in reach may still claim first. */
static bool
_vp_election_defers_to_stronger (const VpElection *election,
                                 const VpElectionView *view,
                                 int64_t now_ms)
{
  return view->cpu_milli_max > election->cpu_milli && !election->has_handover
         && now_ms - election->claimable_since_ms < VP_ELECTION_WEAKER_DELAY_MS;
}

VpElectionAction
vp_election_tick (VpElection *election, const VpElectionView *view, int64_t now_ms)
{
  if (election->state != VP_ELECTION_FOLLOWER || election->is_reading
      || now_ms < election->read_next_ms)
    return VP_ELECTION_NOTHING;
  if (!_vp_election_is_leader_suspect (election, now_ms)) {
    election->has_record = false;
    election->claimable_since_ms = 0;
    return VP_ELECTION_NOTHING;
  }
  if (!_vp_election_may_claim (election, view, now_ms))
    election->claimable_since_ms = 0;
  else if (election->claimable_since_ms == 0)
    election->claimable_since_ms = now_ms;
  if (election->claimable_since_ms != 0
      && !_vp_election_defers_to_stronger (election, view, now_ms)) {
    election->state = VP_ELECTION_CANDIDATE;
    election->is_predecessor_clean = election->record.is_clean || election->record.term == 0;
    election->claimed_ms = now_ms;
    memset (&election->claim, 0, sizeof election->claim);
    election->claim.term = MAX (election->record.term, election->term) + 1;
    g_strlcpy (election->claim.leader, election->name, sizeof election->claim.leader);
    return VP_ELECTION_CLAIM;
  }
  election->is_reading = true;
  return VP_ELECTION_READ;
}

static void
_vp_election_become_leader (VpElection *election, uint64_t revision, int64_t now_ms)
{
  election->state = VP_ELECTION_LEADER;
  _vp_election_see_term (election, election->claim.term, now_ms);
  election->term = election->claim.term;
  election->record = election->claim;
  election->record_revision = revision;
  election->leader_ping_ms = now_ms;
  election->store_failing_ms = 0;
  election->has_handover = election->has_record = false;
  g_strlcpy (election->leader, election->name, sizeof election->leader);
}

void
vp_election_handle_read (VpElection *election,
                         bool is_ok,
                         uint64_t revision,
                         const VpElectionRecord *record,
                         int64_t now_ms)
{
  election->is_reading = false;
  election->read_next_ms = now_ms + VP_ELECTION_READ_INTERVAL_MS;
  if (!is_ok)
    election->store_unavailable_ms = now_ms;
  if (!is_ok || election->state == VP_ELECTION_LEADER)
    return;
  /* The record holds this process's claim: it was carried out although its answer was lost. */
  if (record != NULL && election->claim.term != 0 && record->term == election->claim.term
      && strcmp (record->leader, election->name) == 0 && record->commit == 0) {
    _vp_election_become_leader (election, revision, now_ms);
    return;
  }
  if (!election->has_record || election->record_revision != revision)
    election->record_unchanged_since_ms = now_ms;
  election->has_record = true;
  election->record_revision = revision;
  if (record != NULL)
    election->record = *record;
  else
    memset (&election->record, 0, sizeof election->record);
  if (election->record.term > election->term) {
    /* The silence of the earlier leader doesn't count for the new one. */
    bool is_successor = election->term != 0 && !election->record.is_clean
                        && strcmp (election->record.leader, election->name) != 0;
    _vp_election_follow (election, election->record.term, election->record.leader, now_ms);
    if (is_successor) {
      election->leader_ping_ms = now_ms;
      election->store_failing_ms = 0;
    }
  }
  /* If the record allows a claim at once, the next tick makes it. */
  if (election->record.term == 0 || election->record.is_clean || election->has_handover
      || strcmp (election->record.leader, election->name) == 0)
    election->read_next_ms = now_ms;
}

void
vp_election_handle_claim (VpElection *election, bool is_ok, uint64_t revision, int64_t now_ms)
{
  if (election->state != VP_ELECTION_CANDIDATE)
    return;
  if (is_ok) {
    _vp_election_become_leader (election, revision, now_ms);
    return;
  }
  election->state = VP_ELECTION_FOLLOWER;
  election->has_record = false;
  election->read_next_ms = now_ms + g_str_hash (election->name) % VP_ELECTION_JITTER_MS;
}

void
vp_election_step_down (VpElection *election, int64_t now_ms)
{
  election->state = VP_ELECTION_FOLLOWER;
  election->claimable_since_ms = 0;
  election->leader[0] = '\0';
  election->store_unavailable_ms = now_ms;
  election->has_record = election->is_reading = false;
  election->store_failing_ms = 0;
  election->claim.term = 0;
  election->read_next_ms = now_ms + VP_ELECTION_SILENCE_MS;
}

bool
vp_election_hears_leader (const VpElection *election, int64_t now_ms)
{
  return election->state == VP_ELECTION_LEADER
         || (election->leader[0] != '\0'
             && now_ms - election->leader_ping_ms < VP_ELECTION_SILENCE_MS);
}

bool
vp_election_knows_leader (const VpElection *election, int64_t now_ms)
{
  return election->state == VP_ELECTION_LEADER
         || (election->leader[0] != '\0'
             && now_ms - election->leader_ping_ms < VP_ELECTION_LEADER_KNOWN_MS);
}

int64_t
vp_election_next_ms (const VpElection *election, int64_t now_ms)
{
  if (election->state != VP_ELECTION_FOLLOWER || election->is_reading)
    return INT64_MAX;
  if (_vp_election_is_leader_suspect (election, now_ms))
    return election->read_next_ms;
  return MAX (election->read_next_ms,
              MAX (election->leader_ping_ms, election->started_ms) + VP_ELECTION_SUSPECT_MS + 1);
}

GVariant *
vp_election_record_encode (const VpElectionRecord *record)
{
  return g_variant_new (VP_ELECTION_RECORD_TYPE, record->term, record->leader, record->commit,
                        (gboolean)record->is_clean);
}

bool
vp_election_record_decode (GVariant *value, VpElectionRecord *out)
{
  const char *leader;
  gboolean is_clean;

  memset (out, 0, sizeof *out);
  if (!g_variant_is_of_type (value, G_VARIANT_TYPE (VP_ELECTION_RECORD_TYPE)))
    return false;
  g_variant_get (value, "(t&stb)", &out->term, &leader, &out->commit, &is_clean);
  out->is_clean = is_clean;
  return vp_name_copy (out->leader, sizeof out->leader, leader);
}
