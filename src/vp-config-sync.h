/* Which configuration is in force here, and whether its keys may still be trusted.
 *
 *   VpConfigSync *fresh = vp_config_sync_setup (&(VpConfigSyncDesc){ .member = "nadi-1", .boot = boot, ... });
 *   vp_config_sync_tick (fresh, now_ms, effects);
 *   vp_config_sync_fill_heartbeat (fresh, "nadi-2", now_ms, &message);   // one message for each peer
 *   VpConfig *config = vp_config_sync_config (fresh);                    // borrowed
 *   if (!vp_config_sync_keys_trusted (fresh, now_ms)) refuse keyed work
 *
 * The revision never goes back. Keys are trusted while, within key_trust_ms, the store confirmed the
 * revision (to this member, or to another one that told so), or a majority of all members reported
 * no later revision and no announced change that is unknown here. A key that an unresolved
 * announced change withdraws is refused at once.
 *
 * Why a withdrawn key stops at most key_trust_ms after its withdrawal was accepted:
 *  - A change is written only after a majority of the members acknowledged its announcement, and a
 *    member lists the announcement in every heartbeat from then on, until the change can no longer
 *    be written on top of what it was announced for. Any two majorities share a member, so a
 *    majority of reports without the announcement contains one from before the acknowledgement.
 *  - A report counts from the time at which this member sent the heartbeat that the report echoes,
 *    and a relayed confirmation from that time less its age. Delays, queues and pauses on the way
 *    only make it older, and no clock is compared with another one.
 *  - An announcement is based on a version of the store value. It is resolved when the value has
 *    another version: the change was written or never can be. If the announcing member is silent,
 *    another one rewrites the value unchanged to get there.
 *  - A restarted member has forgotten what it acknowledged. Its reports count only once the value's
 *    version has moved since its start; it rewrites the value unchanged for that.
 * It relies on: the store's CAS being linearisable; the same list of members everywhere; now_ms
 * that runs on while the process is stopped and is read after the request was taken from the queue.
 * A process that is frozen between this check and the use of its result uses it late by the length
 * of the pause.
 */
#pragma once

#include "vp-config.h"
#include "vp-event.h"

typedef struct _VpConfigSync VpConfigSync;

typedef struct {
  const char *member;
  const char *const *members; /* names of all entry processes with this one; borrowed */
  uint32_t member_count;
  uint64_t boot;        /* of this process; goes into the messages */
  int64_t key_trust_ms; /* 0: 3,000 */
  int64_t poll_ms;      /* between reads while heartbeats don't suffice; 0: half of key_trust_ms */
  int64_t announce_timeout_ms; /* how long a change waits for a majority; 0: 1,000 */
} VpConfigSyncDesc;

/* Outcome of a change of the configuration, for the operator. */
typedef struct {
  uint64_t handle;
  VpReason reason;   /* NONE: accepted; CONFLICT, NO_MAJORITY, BAD_CONFIG, STORE_DOWN, OVERLOADED:
                        certainly not accepted; OWNER_LOST: unknown */
  uint64_t revision; /* now current */
  uint32_t confirmed_count; /* members that reported to have it in force, with this one */
  uint32_t member_count;
  char missing[256]; /* names of the members that did not, separated by spaces */
  char detail[256];  /* BAD_CONFIG: the path and the error */
} VpConfigSyncOutcome;

VpConfigSync *vp_config_sync_setup (const VpConfigSyncDesc *desc);
void vp_config_sync_shutdown (VpConfigSync *sync);
/* An owner watches the configuration; others learn from heartbeats. */
void vp_config_sync_set_watching (VpConfigSync *sync, bool is_watching);
VpConfig *vp_config_sync_config (const VpConfigSync *sync);
uint64_t vp_config_sync_revision (const VpConfigSync *sync);
/* Highest revision of an unresolved announced change; 0: none. */
uint64_t vp_config_sync_announced_revision (const VpConfigSync *sync);
/* Age of the store's confirmation; -1: never confirmed. */
int64_t vp_config_sync_confirmed_age_ms (const VpConfigSync *sync, int64_t now_ms);
bool vp_config_sync_keys_trusted (const VpConfigSync *sync, int64_t now_ms);
/* True if @key is valid now for some team: stands in the configuration and is not withdrawn by an
 * unresolved announced change. @team receives the team's name. */
bool vp_config_sync_key_valid (const VpConfigSync *sync, const char *key, char team[VP_NAME_MAX]);

/* An operator's change: the outcome comes through vp_config_sync_take_outcomes(). @who stands in the
 * audit trail. @document is the operator's document, without a revision. */
void vp_config_sync_submit (VpConfigSync *sync,
                            uint64_t handle,
                            const char *who,
                            uint64_t expected_revision,
                            GBytes *document,
                            int64_t now_ms,
                            VpEffects *effects);
/* Fills the fields of a heartbeat to @peer that are this module's: correlation, revision,
 * announced_revision, confirmed_age_ms and body. Each heartbeat differs by peer, as it echoes the
 * peer's last one. Takes over nothing; vp_peer_message_clear() releases the body. */
void vp_config_sync_fill_heartbeat (VpConfigSync *sync,
                                    const char *peer,
                                    int64_t now_ms,
                                    VpPeerMessage *message);
/* HEARTBEAT, CONFIG_ANNOUNCE, CONFIG_ACK, CONFIG.
 * ANNOUNCE: revision, correlation (the change), epoch (version of the store value it is based on),
 * body (the stored form); without a body the change was given up. ACK: revision, and the change in
 * correlation, or 0 for a revision that is in force. CONFIG: revision and body; without a body it
 * asks for the sender's revision. */
void vp_config_sync_peer_message (VpConfigSync *sync,
                                  const VpPeerMessage *message,
                                  int64_t now_ms,
                                  VpEffects *effects);
/* A watch waits long; it must not hold up the other operations of the module. */
void vp_config_sync_store_result (VpConfigSync *sync,
                                  const VpStoreResult *result,
                                  int64_t now_ms,
                                  VpEffects *effects);
void vp_config_sync_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
/* Moves VpConfigSyncOutcome to @outcomes. */
void vp_config_sync_take_outcomes (VpConfigSync *sync, GArray *outcomes);
/* Audit trail as last read: JSON array, newest first; NULL if not read yet. Asking reads it again.
 * The caller releases the result. */
GBytes *vp_config_sync_audit (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
/* When the call to the store was sent that showed the audit trail as vp_config_sync_audit() returns it;
 * the trail holds everything that was recorded before. A time in the far past if it was not read
 * yet. */
int64_t vp_config_sync_audit_as_of_ms (const VpConfigSync *sync);
int64_t vp_config_sync_next_ms (const VpConfigSync *sync);
