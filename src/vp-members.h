/* Membership: the other processes of a cell, as listed by the platform and known from their pings.
 *
 *   GHashTable *members = vp_members_new ();
 *   VpMemberState *member = vp_members_get (members, "nadi-2");
 *   vp_member_handle_ping (member, &ping, now_ms);
 *   vp_members_view (members, now_ms, &view);
 *   g_hash_table_unref (members);
 *
 * State only, no I/O.
 */
#pragma once

#include "vp-election.h"
#include "vp-nodemsg.h"

typedef struct {
  char name[VP_NAME_MAX];
  char address[VP_ADDRESS_MAX]; /* empty: the process was never listed */
  bool is_listed;
  int64_t ping_received_ms; /* time of the last ping */
  int64_t sent_ms;          /* send time of the last ping, on the clock of its sender */
  int64_t echo_ms; /* send time, on our clock, of our last ping that it has received; 0: unknown */
  bool hears_leader;
  bool is_stopping;
  bool has_config;      /* it has a configuration, so it can become leader */
  uint32_t cpu_milli;   /* CPU share of its VM, in thousandths of a core */
  bool is_ping_partner; /* this process and the member ping each other */
  int64_t started_ms;
  int64_t advice_until_ms; /* when its advice calls are expected to be done */
} VpMemberState;

/* Returns a table of name -> VpMemberState. This process itself isn't in it. */
GHashTable *vp_members_new (void);
/* Returns the member, adding it if it isn't in the table. */
VpMemberState *vp_members_get (GHashTable *members, const char *name);
void vp_member_handle_ping (VpMemberState *member, const VpNodeMsg *ping, int64_t now_ms);
/* Removes members that are no longer listed and have been silent for long. Returns true if any were
 * removed. */
bool vp_members_remove_stale (GHashTable *members, int64_t now_ms);
/* Chooses the ping partners. In a small cell all processes ping each other. In a large one each
 * process pings some 16 to 32 others that are spread evenly over the names, so that the total of
 * pings grows with the number of processes and not with its square. Partnership is mutual. To be
 * called when members are added or removed. */
void vp_members_choose_ping_partners (GHashTable *members, const char *self);
void vp_members_view (GHashTable *members, int64_t now_ms, VpElectionView *view);
/* The latest time such that all members have answered a ping sent by this process then or later;
 * @now_ms if there are no members. Unlisted members count too, since their entries expire during an
 * outage of the store. */
int64_t vp_members_oldest_echo_ms (GHashTable *members, int64_t now_ms);
/* True if fewer than half of the processes are in reach, so that no leader is to be expected soon.
 */
bool vp_members_is_cut_off (GHashTable *members, int64_t now_ms);
/* The process that the leader should hand over to; NULL if there is none. Strong VMs are preferred,
 * and among equals the process that started last: where processes are stopped one after the other,
 * it is the last to be stopped again. */
const VpMemberState *vp_members_successor (GHashTable *members, int64_t now_ms);
/* The member whose advice calls will be done first, if that is before @before_ms; else NULL. */
VpMemberState *vp_members_least_busy (GHashTable *members, int64_t before_ms, int64_t now_ms);
