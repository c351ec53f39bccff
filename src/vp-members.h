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
  char name[VP_PROCESS_NAME_MAX];
  char address[VP_ADDRESS_MAX]; /* empty: the process was never listed */
  char *dc;                     /* its DC; NULL: not known yet; owned */
  bool is_listed;
  int64_t ping_received_ms; /* time of the last ping */
  int64_t sent_ms;          /* send time of the last ping, on the clock of its sender */
  int64_t echo_ms;          /* send time, on the clock of this process, of the last ping that the
                               member has received from it; 0: unknown */
  bool hears_leader;        /* pings of the leader arrive at it */
  bool is_stopping;         /* it stops and will not become leader */
  bool has_config;          /* it has a configuration, so it can become leader */
  uint32_t cpu_milli;       /* CPU share of its VM, in thousandths of a core */
  uint32_t relay_form;      /* newest form of relayed commands that it reads, see vp-relay.h */
  bool is_ping_partner;     /* this process and the member ping each other */
  int64_t started_ms;       /* start time of the process */
  int64_t advice_until_ms;  /* time at which its advice calls are expected to be done */
  int64_t own_started_ms;   /* start time of the process on its own clock */
  int64_t transit_ms;       /* least difference between the receipt of a ping and its send time on
                               the sender's clock, since @transit_since_ms */
  int64_t last_transit_ms;  /* the same in the time span before that */
  int64_t transit_since_ms; /* 0: no ping yet */
} VpMemberState;

/* Returns a table of name -> VpMemberState. This process itself isn't in it. */
GHashTable *vp_members_new (void);
/* Returns the member, adding it if it isn't in the table. */
VpMemberState *vp_members_get (GHashTable *members, const char *name);
void vp_member_handle_ping (VpMemberState *member, const VpNodeMsg *ping, int64_t now_ms);
/* Returns how much longer than the fastest ping of the last minute a message of the member has been
 * on its way. @sent_ms is its send time on the member's clock, which may be any. Returns 0 if there
 * was no ping, or if @sent_ms is 0, as in commands of processes of earlier versions. */
int64_t vp_member_delay_ms (const VpMemberState *member, int64_t sent_ms, int64_t now_ms);
/* Returns true if a ping of the member arrived a short time ago. */
bool vp_member_is_reachable (const VpMemberState *member, int64_t now_ms);
/* Returns true if messages can be sent to the member. Its own pings need no address of it, so they
 * may arrive before it is listed, or although its entry is lost. */
bool vp_member_has_address (const VpMemberState *member);
/* Removes members that are no longer listed and have been silent for long. Returns true if any were
 * removed. */
bool vp_members_remove_stale (GHashTable *members, int64_t now_ms);
/* Chooses the ping partners of the process @self. In a small cell all processes ping each other. In
 * a large cell each process pings some 16 to 32 others that are spread evenly over the names, so
 * that the total of pings grows with the number of processes and not with its square. Partnership
 * is mutual. To be called when members are added or removed. */
void vp_members_choose_ping_partners (GHashTable *members, const char *self);
/* Sets @view to what is known of all members. */
void vp_members_view (GHashTable *members, int64_t now_ms, VpElectionView *view);
/* Returns the latest time such that all members have answered a ping that this process sent then or
 * later, or @now_ms if there are no members. Unlisted members count too, since their entries expire
 * during an outage of the store. */
int64_t vp_members_oldest_echo_ms (GHashTable *members, int64_t now_ms);
/* Returns true if a process that was heard of is of an earlier version, which can hold short texts
 * only. It may become leader and would have to read what is stored. */
bool vp_members_have_short_texts (GHashTable *members);
/* Returns true if fewer than half of the processes are reachable, so that no leader is to be
 * expected soon.
 */
bool vp_members_is_cut_off (GHashTable *members, int64_t now_ms);
/* Returns the process that the leader should hand over to, or NULL if there is none. Strong VMs are
 * preferred, and among equals the process that started last: where processes are restarted one
 * after the other, it is also the last to be stopped the next time. */
const VpMemberState *vp_members_successor (GHashTable *members, int64_t now_ms);
/* Returns the member whose advice calls will be done first, or NULL if none is done before
 * @before_ms. */
VpMemberState *vp_members_least_busy (GHashTable *members, int64_t before_ms, int64_t now_ms);
