/* Which process schedules the cell: claims on one record in the platform's store.
 *
 *   VpElection lead;
 *   vp_election_setup (&lead, "nadi-1", 500, now_ms);
 *   vp_election_peer (&lead, &ping, now_ms);            // pings of other processes
 *   switch (vp_election_tick (&lead, &view, now_ms)) {
 *     case VP_ELECTION_READ: ... read the record, then vp_election_handle_read () ...
 *     case VP_ELECTION_CLAIM: ... write lead.claim if the record is at lead.record_revision ...
 *   }
 *
 * The leader writes the record with every commit, so it can commit only while nobody else has
 * claimed it, and others see from its revision that the leader is alive. A claim raises the term.
 * It needs no wait for the earlier leader: workers refuse orders of an earlier term. A process
 * claims when the leader is silent and the record stands still, when most processes in reach don't
 * hear the leader either, or when the leader hands over. Plain state, no I/O.
 */
#pragma once

#include "vp-types.h"

typedef enum { VP_ELECTION_FOLLOWER, VP_ELECTION_CANDIDATE, VP_ELECTION_LEADER } VpElectionState;

typedef enum { VP_ELECTION_NOTHING, VP_ELECTION_READ, VP_ELECTION_CLAIM } VpElectionAction;

#define VP_ELECTION_RECORD_TYPE "(tstb)"

/* Content of the record. */
typedef struct {
  uint64_t term;
  char leader[VP_NAME_MAX];
  uint64_t commit; /* counts the commits of the term */
  bool is_clean;   /* the leader has stopped, and what it kept is complete */
} VpElectionRecord;

/* What this process knows of the others. */
typedef struct {
  uint32_t member_count;    /* other processes that the platform lists */
  uint32_t heard_count;     /* of these, heard lately */
  uint32_t no_leader_count; /* of those heard, how many don't hear the leader */
  uint32_t cpu_milli_max;   /* most processor time of one of those heard that don't stop */
} VpElectionView;

typedef struct {
  char name[VP_NAME_MAX];
  uint32_t cpu_milli; /* processor time of this VM */
  VpElectionState state;
  uint64_t term;                /* highest that was seen */
  char leader[VP_NAME_MAX];     /* of that term; empty: not known */
  int64_t leader_heard_ms;      /* last ping of the leader */
  int64_t store_failing_ms;     /* how long the leader could not write, as it last told */
  int64_t store_unavailable_ms; /* when the store may last have been away; at first, the start */
  int64_t started_ms;
  int64_t read_next_ms;
  int64_t claimable_since_ms; /* this process could claim since; 0: it could not */
  bool is_reading;
  bool has_handover; /* the leader has handed over to this process */
  bool has_record;   /* the record was read since the leader fell silent */
  uint64_t record_revision;
  VpElectionRecord record;
  int64_t record_unchanged_since_ms; /* the record has had this revision since */
  VpElectionRecord claim;            /* to be written */
  int64_t claimed_ms;                /* it was sent then */
  bool is_predecessor_clean;         /* the term before the own one ended with a complete commit */
} VpElection;

/* @cpu_milli: processor time of this VM; stronger VMs claim first. */
void vp_election_setup (VpElection *election, const char *name, uint32_t cpu_milli, int64_t now_ms);
/* A ping of @name arrived, which says that it leads @term. */
void vp_election_handle_leader_ping (VpElection *election,
                                     const char *name,
                                     uint64_t term,
                                     int64_t store_failing_ms,
                                     int64_t now_ms);
/* A process follows a leader of @term. An earlier leader steps down: the record has been claimed.
 */
void vp_election_observe_term (VpElection *election, uint64_t term);
/* The leader hands over to this process. */
void vp_election_handle_handover (VpElection *election, uint64_t term, int64_t now_ms);
VpElectionAction
vp_election_tick (VpElection *election, const VpElectionView *view, int64_t now_ms);
/* Result of a READ; @record NULL: there is none. @is_ok false: the store did not answer. */
void vp_election_handle_read (VpElection *election,
                              bool is_ok,
                              uint64_t revision,
                              const VpElectionRecord *record,
                              int64_t now_ms);
/* Result of a CLAIM. Without an answer the next READ tells. */
void vp_election_handle_claim (VpElection *election, bool is_ok, uint64_t revision, int64_t now_ms);
/* Another process leads, or this one gives up the place. */
void vp_election_step_down (VpElection *election, int64_t now_ms);
/* True while the leader's pings arrive. */
bool vp_election_hears_leader (const VpElection *election, int64_t now_ms);
/* True while a leader can be told apart and was heard lately; this process itself counts. */
bool vp_election_knows_leader (const VpElection *election, int64_t now_ms);
int64_t vp_election_next_ms (const VpElection *election, int64_t now_ms);

GVariant *vp_election_record_encode (const VpElectionRecord *record);
bool vp_election_record_decode (GVariant *value, VpElectionRecord *out);
