/* Leader election: processes compete for one record in the platform's store.
 *
 *   VpElection election;
 *   vp_election_setup (&election, "nadi-1", 500, now_ms);
 *   vp_election_handle_leader_ping (&election, "nadi-2", term, 0, now_ms);
 *   switch (vp_election_tick (&election, &view, now_ms)) {
 *     case VP_ELECTION_READ: ... read the record, then vp_election_handle_read () ...
 *     case VP_ELECTION_CLAIM: ... write election.claim if the record is at its record_revision ...
 *   }
 *
 * The leader schedules the cell. It writes the record with every commit, so it can commit only
 * while no other process has claimed the record, and others see from the revision that it is alive.
 * A claim raises the term. The new leader needn't wait for the earlier one, since workers reject
 * commands of earlier terms. A process claims the record when the leader is silent and the record
 * doesn't change, when most processes in reach don't hear the leader either, or when the leader
 * hands over. State only, no I/O.
 *
 * Load pattern: on slow VMs a new leader may be silent for longer than a failed one is waited for,
 * while it reads the stored jobs. If it is replaced then, its successor has the same work to do,
 * and the leaders change until the VMs are faster. So each term that ended soon doubles the time
 * for which the next leader may be silent.
 */
#pragma once

#include "vp-types.h"

typedef enum { VP_ELECTION_FOLLOWER, VP_ELECTION_CANDIDATE, VP_ELECTION_LEADER } VpElectionState;

typedef enum { VP_ELECTION_NOTHING, VP_ELECTION_READ, VP_ELECTION_CLAIM } VpElectionAction;

#define VP_ELECTION_RECORD_TYPE "(tstb)"

/* Content of the leader record in the platform's store. */
typedef struct {
  uint64_t term;
  char leader[VP_PROCESS_NAME_MAX];
  uint64_t commit; /* number of commits in the term */
  bool is_clean;   /* the leader has stopped after storing everything */
} VpElectionRecord;

/* What this process knows of the other processes. */
typedef struct {
  uint32_t member_count;    /* ping partners that are listed, and other processes in reach */
  uint32_t reachable_count; /* processes whose pings arrive */
  uint32_t no_leader_count; /* reachable processes at which the leader's pings don't arrive */
  uint32_t cpu_milli_max;   /* largest CPU share of the reachable processes that aren't stopping */
} VpElectionView;

typedef struct {
  char name[VP_PROCESS_NAME_MAX];
  uint32_t cpu_milli; /* CPU share of this VM, in thousandths of a core */
  VpElectionState state;
  uint64_t term;                    /* highest term seen */
  char leader[VP_PROCESS_NAME_MAX]; /* leader of @term; empty: unknown */
  int64_t leader_ping_ms;   /* time of the leader's last ping, or at which the record first named
                               it */
  int64_t term_seen_ms;     /* time at which @term was first seen; 0: none yet */
  uint32_t short_terms;     /* terms in succession that ended soon after they were first seen */
  int64_t store_failing_ms; /* how long the leader says that its writes have failed */
  int64_t store_unavailable_ms; /* time at which the store may last have been unavailable; initially
                                   the start */
  int64_t started_ms;
  int64_t read_next_ms;
  int64_t claimable_since_ms; /* time since which a claim is allowed; 0: none is allowed */
  bool is_reading;
  bool has_handover; /* the leader has asked this process to take over */
  bool has_record;   /* the record was read since the leader became suspect */
  uint64_t record_revision;
  VpElectionRecord record;
  int64_t record_unchanged_since_ms; /* time at which the record was first seen at this revision */
  VpElectionRecord claim;            /* content of a claim that is to be written */
  int64_t claimed_ms;                /* time at which the claim was sent */
  bool is_predecessor_clean; /* the previous leader stored everything before its term ended */
} VpElection;

/* @cpu_milli is the CPU share of this VM in thousandths of a core; stronger VMs claim first. */
void vp_election_setup (VpElection *election, const char *name, uint32_t cpu_milli, int64_t now_ms);
/* Handles a ping of the process @name, which leads @term. */
void vp_election_handle_leader_ping (VpElection *election,
                                     const char *name,
                                     uint64_t term,
                                     int64_t store_failing_ms,
                                     int64_t now_ms);
/* Handles a ping of a process that knows @term. If this process leads an earlier term it steps
 * down, since the record has been claimed by another one. */
void vp_election_observe_term (VpElection *election, uint64_t term, int64_t now_ms);
/* The leader of @term asks this process to take over. */
void vp_election_handle_handover (VpElection *election, uint64_t term, int64_t now_ms);
/* Returns what the caller has to do now to take part in the election. */
VpElectionAction
vp_election_tick (VpElection *election, const VpElectionView *view, int64_t now_ms);
/* Handles the result of a VP_ELECTION_READ. @is_ok is false if the store did not answer; @record is
 * NULL if the record doesn't exist. */
void vp_election_handle_read (VpElection *election,
                              bool is_ok,
                              uint64_t revision,
                              const VpElectionRecord *record,
                              int64_t now_ms);
/* Handles the result of a VP_ELECTION_CLAIM. If the answer was lost, the next read shows whether
 * the claim was carried out. */
void vp_election_handle_claim (VpElection *election, bool is_ok, uint64_t revision, int64_t now_ms);
/* Ends the leadership of this process, because another one leads or this one hands over. */
void vp_election_step_down (VpElection *election, int64_t now_ms);
/* True while the leader's pings arrive, or if this process leads. */
bool vp_election_hears_leader (const VpElection *election, int64_t now_ms);
/* True if a ping of the leader arrived in the last second, or if this process leads. */
bool vp_election_knows_leader (const VpElection *election, int64_t now_ms);
/* Returns the time at which vp_election_tick() has to be called again; INT64_MAX: none. */
int64_t vp_election_next_ms (const VpElection *election, int64_t now_ms);

/* Stored form of the leader record. Encoding returns a floating value; decoding returns false on a
 * wrong type. */
GVariant *vp_election_record_encode (const VpElectionRecord *record);
bool vp_election_record_decode (GVariant *value, VpElectionRecord *out);
