/* Distribution of the operators' configuration to all members, and the decision whether the API
 * keys in this member's copy may still be trusted.
 *
 *   VpConfigSync *sync
 *       = vp_config_sync_setup (&(VpConfigSyncDesc){ .member = "nadi-1", .boot = boot, ... });
 *   vp_config_sync_tick (sync, now_ms, effects);
 *   vp_config_sync_fill_heartbeat (sync, "nadi-2", now_ms, &message);   // one message per peer
 *   VpConfig *config = vp_config_sync_config (sync);                    // borrowed
 *   if (!vp_config_sync_keys_trusted (sync, now_ms)) refuse requests with a key
 *
 * The revision never goes back. Keys are trusted if one of two confirmations is younger than
 * key_trust_ms: either the store confirmed the revision, to this member or to a member that
 * relayed it, or a majority of all members reported neither a later revision nor an announced
 * change that this member doesn't know. A key that a pending announced change withdraws is
 * refused at once.
 *
 * A withdrawn key is accepted for at most key_trust_ms after the withdrawal was written, because:
 *  - A change is written only after a majority of the members acknowledged its announcement. From
 *    then on these members list the announcement in every heartbeat, until the store value has
 *    left the version that the change would replace. Any two majorities share a member, so a
 *    majority of reports that don't list the announcement contains a report from before the
 *    acknowledgement.
 *  - A report is dated by the time at which this member sent the heartbeat that the report echoes;
 *    a relayed confirmation is dated by that time less the age that the report gives. Delays,
 *    queues and pauses only make the date older, and clocks of two machines are never compared.
 *  - An announcement names the version of the store value that the change would replace. It is
 *    resolved once the value has another version, since the change was then written or never can
 *    be. If the announcing member is silent, another member rewrites the value unchanged, which
 *    gives it a new version.
 *  - A restarted member has forgotten what it acknowledged. Its reports count only once the
 *    value's version has changed since its start; it rewrites the value unchanged to reach that.
 * The module relies on a linearisable CAS of the store, on the same list of members in every
 * process, and on a now_ms that runs on while the process is stopped and is read after the request
 * was taken from the queue. A process that is stopped between vp_config_sync_keys_trusted() and the
 * use of its result uses the result late by the length of the pause.
 */
#pragma once

#include "vp-config.h"
#include "vp-event.h"

typedef struct _VpConfigSync VpConfigSync;

typedef struct {
  const char *member;
  const char *const *members; /* names of all entry processes, including this one; borrowed */
  uint32_t member_count;
  uint64_t boot;        /* number of this start of the process, higher at each start */
  int64_t key_trust_ms; /* how long a confirmation keeps the keys trusted; 0: 3,000 */
  int64_t poll_ms;      /* between store reads while heartbeats confirm too little; 0: half of
                           key_trust_ms */
  int64_t announce_timeout_ms; /* longest wait for acknowledgements of a majority; 0: 1,000 */
} VpConfigSyncDesc;

/* Outcome of an operator's change of the configuration. */
typedef struct {
  uint64_t handle;   /* as given to vp_config_sync_submit() */
  VpReason reason;   /* NONE: accepted; CONFLICT, NO_MAJORITY, BAD_CONFIG, STORE_DOWN, OVERLOADED:
                        certainly not accepted; OWNER_LOST: unknown */
  uint64_t revision; /* current revision of this member */
  uint32_t confirmed_count; /* members that reported the new revision, including this one */
  uint32_t member_count;
  char missing[256]; /* names of the members that did not report it, separated by spaces */
  char detail[256];  /* BAD_CONFIG: path of the field and the error */
} VpConfigSyncOutcome;

VpConfigSync *vp_config_sync_setup (const VpConfigSyncDesc *desc);
void vp_config_sync_shutdown (VpConfigSync *sync);
/* Sets whether this member watches the store value. The owner of a DC does; other members learn of
 * changes from heartbeats. */
void vp_config_sync_set_watching (VpConfigSync *sync, bool is_watching);
VpConfig *vp_config_sync_config (const VpConfigSync *sync);
uint64_t vp_config_sync_revision (const VpConfigSync *sync);
/* Highest revision among the pending announced changes; 0 if there are none. */
uint64_t vp_config_sync_announced_revision (const VpConfigSync *sync);
/* Age of the store's last confirmation of the revision, direct or relayed; -1 if there was none. */
int64_t vp_config_sync_confirmed_age_ms (const VpConfigSync *sync, int64_t now_ms);
bool vp_config_sync_keys_trusted (const VpConfigSync *sync, int64_t now_ms);
/* True if @key is in the configuration and no pending announced change withdraws it or gives it to
 * another team. @team receives the name of the key's team. */
bool vp_config_sync_key_valid (const VpConfigSync *sync, const char *key, char team[VP_NAME_MAX]);

/* Submits an operator's change of the configuration that has @expected_revision. The outcome comes
 * through vp_config_sync_take_outcomes(). @who is the name recorded in the audit trail. @document
 * is the operator's document, without a revision. */
void vp_config_sync_submit (VpConfigSync *sync,
                            uint64_t handle,
                            const char *who,
                            uint64_t expected_revision,
                            GBytes *document,
                            int64_t now_ms,
                            VpEffects *effects);
/* Fills this module's fields of a heartbeat to @peer: correlation, revision, announced_revision,
 * confirmed_age_ms and body. The heartbeats to two peers differ, as each echoes the peer's last
 * one. The caller releases the body with vp_peer_message_clear(). */
void vp_config_sync_fill_heartbeat (VpConfigSync *sync,
                                    const char *peer,
                                    int64_t now_ms,
                                    VpPeerMessage *message);
/* Handles a message of another member: HEARTBEAT, CONFIG_ANNOUNCE, CONFIG_ACK or CONFIG.
 *  - CONFIG_ANNOUNCE has the revision, the change in correlation, the version of the store value
 *    that the change would replace in epoch, and the stored form as body. An announcement without a
 *    body tells that the change was cancelled.
 *  - CONFIG_ACK has the revision, and in correlation the announced change that it acknowledges, or
 *    0 if it confirms that the sender uses the revision.
 *  - CONFIG has the revision and the stored form as body. Without a body it requests the
 *    receiver's configuration. */
void vp_config_sync_peer_message (VpConfigSync *sync,
                                  const VpPeerMessage *message,
                                  int64_t now_ms,
                                  VpEffects *effects);
/* Handles the result of a store operation of this module. A watch stays open for seconds, so the
 * caller must not make the module's other operations wait for it. */
void vp_config_sync_store_result (VpConfigSync *sync,
                                  const VpStoreResult *result,
                                  int64_t now_ms,
                                  VpEffects *effects);
void vp_config_sync_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
/* Moves the outcomes that are due to @outcomes (VpConfigSyncOutcome). */
void vp_config_sync_take_outcomes (VpConfigSync *sync, GArray *outcomes);
/* Audit trail as last read, as a JSON array with the newest entry first; NULL if it was not read
 * yet. A call also starts another read, at most every 500 ms. The caller releases the result. */
GBytes *vp_config_sync_audit (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
/* Time at which the store operation was sent that returned the audit trail which
 * vp_config_sync_audit() returns. The trail holds every entry that was recorded before that time.
 * A time in the far past if the trail was not read yet. */
int64_t vp_config_sync_audit_as_of_ms (const VpConfigSync *sync);
int64_t vp_config_sync_next_ms (const VpConfigSync *sync);
