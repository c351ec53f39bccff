/* Which process schedules the cell: claims on one record in the platform's store.
 *
 *   VpLead lead;
 *   vp_lead_setup (&lead, "nadi-1", 500, now_ms);
 *   vp_lead_peer (&lead, &ping, now_ms);            // pings of other processes
 *   switch (vp_lead_tick (&lead, &view, now_ms)) {
 *     case VP_LEAD_READ: ... read the record, then vp_lead_read () ...
 *     case VP_LEAD_CLAIM: ... write lead.claim if the record is at lead.record_revision ...
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

typedef enum { VP_LEAD_FOLLOWING, VP_LEAD_CLAIMING, VP_LEAD_LEADING } VpLeadState;

typedef enum { VP_LEAD_NOTHING, VP_LEAD_READ, VP_LEAD_CLAIM } VpLeadAction;

#define VP_LEAD_RECORD_TYPE "(tstb)"

/* Content of the record. */
typedef struct {
  uint64_t term;
  char leader[VP_NAME_MAX];
  uint64_t commit; /* counts the commits of the term */
  bool is_clean;   /* the leader has stopped, and what it kept is complete */
} VpLeadRecord;

/* What this process knows of the others. */
typedef struct {
  uint32_t member_count;    /* other processes that the platform lists */
  uint32_t heard_count;     /* of these, heard lately */
  uint32_t deaf_count;      /* of those heard, how many don't hear the leader */
  uint32_t strongest_milli; /* most processor time of one of those heard that don't stop */
} VpLeadView;

typedef struct {
  char name[VP_NAME_MAX];
  uint32_t cpu_milli; /* processor time of this VM */
  VpLeadState state;
  uint64_t term;            /* highest that was seen */
  char leader[VP_NAME_MAX]; /* of that term; empty: not known */
  int64_t heard_ms;         /* last ping of the leader */
  int64_t store_age_ms;     /* how long the leader could not write, as it last told */
  int64_t store_away_ms;    /* when the store may last have been away; at first, the start */
  int64_t started_ms;
  int64_t read_next_ms;
  int64_t claimable_since_ms; /* this process could claim since; 0: it could not */
  bool is_reading;
  bool is_invited; /* the leader has handed over to this process */
  bool has_record; /* the record was read since the leader fell silent */
  uint64_t record_revision;
  VpLeadRecord record;
  int64_t still_since_ms; /* the record has had this revision since */
  VpLeadRecord claim;     /* to be written */
  int64_t claimed_ms;     /* it was sent then */
  bool is_after_clean;    /* the term before the own one ended with a complete commit */
} VpLead;

/* @cpu_milli: processor time of this VM; stronger VMs claim first. */
void vp_lead_setup (VpLead *lead, const char *name, uint32_t cpu_milli, int64_t now_ms);
/* A ping of @name arrived, which says that it leads @term. */
void
vp_lead_heard (VpLead *lead, const char *name, uint64_t term, int64_t store_age_ms, int64_t now_ms);
/* A process follows a leader of @term. An earlier leader steps down: the record has been claimed.
 */
void vp_lead_learn_term (VpLead *lead, uint64_t term);
/* The leader hands over to this process. */
void vp_lead_invite (VpLead *lead, uint64_t term, int64_t now_ms);
VpLeadAction vp_lead_tick (VpLead *lead, const VpLeadView *view, int64_t now_ms);
/* Result of a READ; @record NULL: there is none. @is_ok false: the store did not answer. */
void vp_lead_read (VpLead *lead,
                   bool is_ok,
                   uint64_t revision,
                   const VpLeadRecord *record,
                   int64_t now_ms);
/* Result of a CLAIM. Without an answer the next READ tells. */
void vp_lead_claimed (VpLead *lead, bool is_ok, uint64_t revision, int64_t now_ms);
/* Another process leads, or this one gives up the place. */
void vp_lead_step_down (VpLead *lead, int64_t now_ms);
/* True while the leader's pings arrive. */
bool vp_lead_is_heard (const VpLead *lead, int64_t now_ms);
/* True while a leader can be told apart and was heard lately; this process itself counts. */
bool vp_lead_is_known (const VpLead *lead, int64_t now_ms);
int64_t vp_lead_next_ms (const VpLead *lead, int64_t now_ms);

GVariant *vp_lead_record_encode (const VpLeadRecord *record);
bool vp_lead_record_decode (GVariant *value, VpLeadRecord *out);
