/* Shared by the files of the configuration sync:
 *  - vp-config-sync.c: trust in the keys, pending changes
 *  - vp-config-sync-store.c: reads, watch, and the rewrite that gives the value a new version
 *  - vp-config-sync-peer.c: messages of the members
 *  - vp-config-sync-change.c: operators' changes
 *  - vp-config-sync-audit.c: audit trail
 */
#pragma once

#include "vp-config-sync.h"

#define VP_CONFIG_SYNC_STORE_KEY       "config"
#define VP_CONFIG_SYNC_AUDIT_STORE_KEY "audit"
/* A time in the far past, whose difference to a real time doesn't overflow. */
#define VP_CONFIG_SYNC_NEVER_MS (INT64_MIN / 2)

enum {
  /* Heartbeats to a peer whose time of sending is kept. At the shortest heartbeat interval of
   * 20 ms, echoes up to 1.2 s late still count. */
  VP_CONFIG_SYNC_SENT_HEARTBEATS_MAX = 64,
  /* Pending changes at one time; further announcements are not acknowledged. */
  VP_CONFIG_SYNC_PENDING_MAX = 8,
  VP_CONFIG_SYNC_RESOLVED_MAX = 64, /* resolved changes whose identities are kept */
  VP_CONFIG_SYNC_QUEUE_MAX = 16,    /* operators' changes that may wait in this member */
  VP_CONFIG_SYNC_AUDIT_ENTRIES_MAX = 256,
  /* One watch in 15 s is 0.067 store calls a second. */
  VP_CONFIG_SYNC_WATCH_TIMEOUT_MS = 15000,
  /* Delay before a failed store operation is tried again, and shortest time between repeated
   * messages to one peer. */
  VP_CONFIG_SYNC_RETRY_MS = 500,
  VP_CONFIG_SYNC_REQUEST_INTERVAL_MS = 300, /* between requests for a later configuration */
  /* An announcement older than this counts as abandoned by its sender: the store value is read and
   * then rewritten unchanged. Each member waits ABANDON_STEP_MS longer than the one before it in
   * the list of members, so that mostly one member does it. */
  VP_CONFIG_SYNC_ABANDON_MS = 2500,
  VP_CONFIG_SYNC_ABANDON_STEP_MS = 300,
  VP_CONFIG_SYNC_STORE_TIMEOUT_MS = 2000,     /* how long a change tries to read or write */
  VP_CONFIG_SYNC_PROPAGATE_TIMEOUT_MS = 4000, /* longest wait for the members' confirmations */
  VP_CONFIG_SYNC_RESEND_MS = 200, /* interval at which a change repeats its messages and writes */
  VP_CONFIG_SYNC_ANNOUNCE_ROUNDS_MAX = 5, /* announcements of one change on new versions */
  VP_CONFIG_SYNC_AUDIT_TRIES_MAX = 40,    /* store operations after which entries are given up */
};

typedef struct {
  uint64_t heartbeat_id; /* number that the peer echoes */
  int64_t sent_ms;
} VpConfigSyncSentHeartbeat;

typedef struct {
  char name[VP_NAME_MAX];
  VpConfigSyncSentHeartbeat sent[VP_CONFIG_SYNC_SENT_HEARTBEATS_MAX]; /* heartbeats to the peer */
  uint32_t sent_next;
  /* Latest report of the peer. */
  uint64_t boot;
  uint64_t heartbeat_id; /* of the peer's heartbeat; echoed to the peer */
  uint64_t revision;
  int64_t as_of_ms; /* the report is not older than this */
  bool is_voter;    /* the report may count towards a majority */
  uint32_t pending_count;
  uint64_t pending[VP_CONFIG_SYNC_PENDING_MAX];
  int64_t resent_ms; /* when a message that the peer misses was last repeated to it */
} VpConfigSyncPeer;

/* An announced change that may still be written. */
typedef struct {
  uint64_t change;       /* identity of the change */
  uint64_t base_version; /* version of the store value that the change would replace */
  VpConfig *config;      /* parsed from @stored; its origin.change equals @change */
  GBytes *stored;        /* stored form */
  int64_t received_ms;
} VpConfigSyncPending;

typedef enum {
  VP_CONFIG_SYNC_CHANGE_READ,      /* reads the current configuration from the store */
  VP_CONFIG_SYNC_CHANGE_ANNOUNCE,  /* waits for acknowledgements of a majority */
  VP_CONFIG_SYNC_CHANGE_WRITE,     /* writes the store value */
  VP_CONFIG_SYNC_CHANGE_PROPAGATE, /* waits until all members confirmed the new revision */
} VpConfigSyncChangeState;

/* An operator's change that was submitted to this member. */
typedef struct {
  uint64_t handle;
  uint64_t expected_revision;
  GBytes *document;      /* canonical form of the operator's document */
  VpConfig *base_config; /* configuration that the change would replace */
  VpConfig *config;      /* proposed configuration */
  GBytes *stored;        /* stored form of @config */
  uint64_t base_version; /* version of the store value that the change would replace */
  VpConfigSyncChangeState state;
  int64_t started_ms;     /* -1: an earlier change is still in progress */
  int64_t state_since_ms; /* when the state was entered */
  int64_t next_send_ms;   /* next time to repeat messages or store operations */
  bool is_uncertain;      /* a write was sent whose result is unknown */
  uint32_t announce_round_count;
  bool is_acked[VP_MEMBERS_MAX];     /* members that acknowledged the announcement */
  bool is_confirmed[VP_MEMBERS_MAX]; /* members that use the new revision */
} VpConfigSyncChange;

struct _VpConfigSync {
  char member[VP_NAME_MAX];
  uint32_t member_index;
  uint32_t member_count;
  uint64_t boot;
  int64_t key_trust_ms;
  int64_t poll_ms;
  int64_t announce_timeout_ms;
  VpConfigSyncPeer *peers; /* member_count entries; the entry of this member is unused */
  uint64_t next_heartbeat_id;

  VpConfig *config;
  GBytes *stored;         /* stored form of @config; NULL at revision 0 */
  uint64_t seen_revision; /* highest revision that any member or the store reported */
  GArray *pending;        /* VpConfigSyncPending */
  uint64_t resolved[VP_CONFIG_SYNC_RESOLVED_MAX]; /* ring of the last resolved changes */
  uint32_t resolved_next;
  int64_t store_as_of_ms;   /* date of the store's last confirmation to this member */
  int64_t relayed_as_of_ms; /* date of the last confirmation that another member relayed */

  bool has_version;
  /* The version of the store value has changed since the start of this process, so its reports
   * count towards a majority. */
  bool is_voter;
  uint64_t conflict_version; /* version returned by the first conflict of a write; 0: none */
  uint64_t store_version;    /* highest version read */
  uint64_t store_revision;   /* revision at @store_version */
  GBytes *store_value;
  bool is_watching;
  bool is_trusted_logged; /* trust in the keys as last logged */
  bool is_stale_read_logged;
  uint64_t next_token;
  /* Tokens of the store operations in flight; 0: none. */
  uint64_t read_token;
  uint64_t watch_token;
  uint64_t bump_token; /* rewrite of the unchanged value */
  uint64_t write_token;
  int64_t next_read_ms;
  int64_t next_watch_ms;
  int64_t next_bump_ms;
  int64_t next_request_ms;

  GQueue *changes;     /* VpConfigSyncChange*; the first one is in progress */
  GQueue *propagating; /* VpConfigSyncChange*; written, waiting for confirmations */
  uint64_t change_count;
  GArray *outcomes; /* VpConfigSyncOutcome */

  GPtrArray *audit_unrecorded; /* VpConfig* whose origin is not in the audit trail yet */
  GBytes *audit;               /* trail as a JSON array */
  int64_t audit_as_of_ms;
  uint64_t audit_token; /* read or write in flight; 0: none */
  bool is_audit_read;   /* audit_value and audit_version are known */
  uint64_t audit_version;
  GBytes *audit_value;
  GBytes *audit_sent; /* last value sent in a write */
  int64_t next_audit_ms;
  uint32_t audit_try_count;
};

/* vp-config-sync.c */
/* Adds a store operation with a new token, which is also stored in @token. */
VpStoreOp *_vp_config_sync_store_op (VpConfigSync *sync,
                                     VpEffects *effects,
                                     VpStoreKind kind,
                                     const char *key,
                                     uint64_t *token);
/* Makes @config the current configuration if its revision is higher than the current one. */
void _vp_config_sync_apply (VpConfigSync *sync,
                            VpConfig *config,
                            GBytes *stored,
                            int64_t now_ms,
                            VpEffects *effects);
/* Adds an announced change; false if the list is full. Takes references to @config and @stored. */
bool _vp_config_sync_add_pending (VpConfigSync *sync,
                                  uint64_t base_version,
                                  VpConfig *config,
                                  GBytes *stored,
                                  int64_t now_ms);
/* Removes a pending change and records it as resolved. */
void _vp_config_sync_drop_pending (VpConfigSync *sync, guint index);
const VpConfigSyncPending *_vp_config_sync_find_pending (const VpConfigSync *sync, uint64_t change);
bool _vp_config_sync_is_resolved (const VpConfigSync *sync, uint64_t change);
/* Time up to which a majority of the members confirmed that no later revision was accepted. */
int64_t _vp_config_sync_majority_as_of_ms (const VpConfigSync *sync, int64_t now_ms);

/* vp-config-sync-store.c */
void _vp_config_sync_store_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
void _vp_config_sync_send_read (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
/* Processes a version and value returned by the store. False if they are older than what is known,
 * the value is missing or it can't be parsed. */
bool _vp_config_sync_handle_store_value (VpConfigSync *sync,
                                         uint64_t version,
                                         GBytes *value,
                                         int64_t as_of_ms,
                                         int64_t now_ms,
                                         VpEffects *effects);
/* Checks whether the result of a write shows that the version has changed since the start of this
 * process. Unlike a read, a write can't be served by a stale replica, so it returns the current
 * version. */
void _vp_config_sync_note_write_result (VpConfigSync *sync, const VpStoreResult *result);
int64_t _vp_config_sync_store_next_ms (const VpConfigSync *sync);

/* vp-config-sync-peer.c */
/* Adds a message to @peer with the fields that all kinds share. */
VpPeerMessage *_vp_config_sync_add_message (VpConfigSync *sync,
                                            VpEffects *effects,
                                            const char *peer,
                                            VpPeerKind kind);
void _vp_config_sync_send_announce (VpConfigSync *sync,
                                    const char *peer,
                                    const VpConfigSyncPending *pending,
                                    VpEffects *effects);
/* Tells @peer that the announced change will not be written. */
void _vp_config_sync_send_cancel (VpConfigSync *sync,
                                  const char *peer,
                                  uint64_t change,
                                  VpEffects *effects);
void _vp_config_sync_send_config (VpConfigSync *sync, const char *peer, VpEffects *effects);
void _vp_config_sync_peer_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);

/* vp-config-sync-change.c */
void _vp_config_sync_change_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
/* @member acknowledged the announcement of @change. */
void _vp_config_sync_change_acked (VpConfigSync *sync,
                                   uint32_t member,
                                   uint64_t change,
                                   int64_t now_ms,
                                   VpEffects *effects);
/* @member uses @revision or a later one. */
void _vp_config_sync_change_confirmed (VpConfigSync *sync,
                                       uint32_t member,
                                       uint64_t revision,
                                       int64_t now_ms,
                                       VpEffects *effects);
/* A read that was sent at @sent_ms returned the current configuration. */
void _vp_config_sync_change_read (VpConfigSync *sync,
                                  int64_t sent_ms,
                                  int64_t now_ms,
                                  VpEffects *effects);
/* Handles the result of the write of the change in progress. */
void _vp_config_sync_change_written (VpConfigSync *sync,
                                     const VpStoreResult *result,
                                     int64_t now_ms,
                                     VpEffects *effects);
/* True if @change is the identity of the change in progress. */
bool _vp_config_sync_change_is_active (const VpConfigSync *sync, uint64_t change);
int64_t _vp_config_sync_change_next_ms (const VpConfigSync *sync);
void _vp_config_sync_change_free (VpConfigSyncChange *change);

/* vp-config-sync-audit.c */
/* Queues the origin of @config for the audit trail. */
void _vp_config_sync_audit_add (VpConfigSync *sync, VpConfig *config);
void _vp_config_sync_audit_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
void _vp_config_sync_audit_result (VpConfigSync *sync,
                                   const VpStoreResult *result,
                                   int64_t now_ms,
                                   VpEffects *effects);
int64_t _vp_config_sync_audit_next_ms (const VpConfigSync *sync);
