/* The other processes of a cell, as the platform lists them and as their pings tell.
 *
 *   GHashTable *members = vp_members_new ();
 *   VpMemberState *member = vp_members_get (members, "nadi-2");
 *   vp_member_handle_ping (member, &ping, now_ms);
 *   vp_members_view (members, now_ms, &view);
 *   g_hash_table_unref (members);
 *
 * Plain state, no I/O.
 */
#pragma once

#include "vp-election.h"
#include "vp-nodemsg.h"

typedef struct {
  char name[VP_NAME_MAX];
  char address[VP_ADDRESS_MAX]; /* empty: never listed */
  bool is_listed;
  int64_t heard_ms; /* last ping */
  int64_t sent_ms;  /* on its clock, when it sent that one */
  int64_t echo_ms;  /* on our clock, when we sent the last ping that it has got; 0: not known */
  bool hears_leader;
  bool is_stopping;
  bool has_conf;        /* it knows a configuration, so it can lead */
  uint32_t cpu_milli;   /* processor time of its VM */
  bool is_ping_partner; /* it and this process ping each other */
  int64_t started_ms;
  int64_t advice_until_ms; /* its advice calls are expected to be done */
} VpMemberState;

/* name -> VpMemberState, without the process itself. */
GHashTable *vp_members_new (void);
/* Adds a member that isn't known. */
VpMemberState *vp_members_get (GHashTable *members, const char *name);
void vp_member_handle_ping (VpMemberState *member, const VpNodeMsg *ping, int64_t now_ms);
/* Drops those that are neither listed nor heard any more. True if there were any. */
bool vp_members_remove_stale (GHashTable *members, int64_t now_ms);
/* Chooses who pings whom: everybody in a small cell; in a large one each process and some 16 to 32
 * others that are spread evenly over the names, so that the pings of all grow with the number of
 * processes and not with its square. Partners choose each other. To be called when members come or
 * go. */
void vp_members_choose_ping_partners (GHashTable *members, const char *self);
void vp_members_view (GHashTable *members, int64_t now_ms, VpElectionView *view);
/* All members have answered to pings that were sent at this time or later; @now_ms if there are
 * none. Unlisted ones count: their entries lapse in an outage of the store. */
int64_t vp_members_oldest_echo_ms (GHashTable *members, int64_t now_ms);
/* Fewer than half of the processes are in reach, so no leader will be soon. */
bool vp_members_is_cut_off (GHashTable *members, int64_t now_ms);
/* Who takes the leader's place best: of the strongest VMs the process that started last, since
 * where processes are stopped in turn it comes last again. NULL: none. */
const VpMemberState *vp_members_successor (GHashTable *members, int64_t now_ms);
/* The member whose advice calls are done first, if that is before @before_ms; NULL: none. */
VpMemberState *vp_members_least_busy (GHashTable *members, int64_t before_ms, int64_t now_ms);
