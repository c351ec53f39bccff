/* Shared by the files of the fresh module: vp-config-sync.c (trust and keys), vp-config-sync-store.c (reads,
 * watch, version fence), vp-config-sync-peer.c (messages), vp-config-sync-change.c (operators' changes),
 * vp-config-sync-audit.c (audit trail).
 */
#pragma once

#include "vp-config-sync.h"

#define VP_CONFIG_SYNC_STORE_KEY       "config"
#define VP_CONFIG_SYNC_AUDIT_STORE_KEY "audit"
#define VP_CONFIG_SYNC_NEVER_MS        (INT64_MIN / 2) /* far past; differences with it don't overflow */

enum {
  /* At the shortest heartbeat interval of 20 ms, echoes up to 1.2 s late still count. */
  VP_CONFIG_SYNC_SENT_HEARTBEATS_MAX = 64,
  /* Changes that may be unresolved at once; further ones are not acknowledged. */
  VP_CONFIG_SYNC_PENDING_MAX = 8,
  VP_CONFIG_SYNC_RESOLVED_MAX = 64,
  VP_CONFIG_SYNC_QUEUE_MAX = 16,
  VP_CONFIG_SYNC_AUDIT_ENTRIES_MAX = 256,
  /* Counts as 0.067 store calls a second. */
  VP_CONFIG_SYNC_WATCH_TIMEOUT_MS = 15000,
  VP_CONFIG_SYNC_RETRY_MS = 500,
  VP_CONFIG_SYNC_REQUEST_INTERVAL_MS = 300,
  /* An announcement older than this is read up in the store, and then fenced; later members of the
   * list wait longer, so that mostly one does it. */
  VP_CONFIG_SYNC_ABANDON_MS = 2500,
  VP_CONFIG_SYNC_ABANDON_STEP_MS = 300,
  VP_CONFIG_SYNC_STORE_TIMEOUT_MS = 2000,
  VP_CONFIG_SYNC_PROPAGATE_TIMEOUT_MS = 4000,
  VP_CONFIG_SYNC_RESEND_MS = 200,
  VP_CONFIG_SYNC_ANNOUNCE_ROUNDS_MAX = 5,
  VP_CONFIG_SYNC_AUDIT_TRIES_MAX = 40,
};

typedef struct {
  uint64_t heartbeat_id;
  int64_t sent_ms;
} VpConfigSyncSentHeartbeat;

typedef struct {
  char name[VP_NAME_MAX];
  VpConfigSyncSentHeartbeat sent[VP_CONFIG_SYNC_SENT_HEARTBEATS_MAX]; /* heartbeats to the peer */
  uint32_t sent_next;
  /* Its latest report. */
  uint64_t boot;
  uint64_t heartbeat_id; /* of its heartbeat; echoed to it */
  uint64_t revision;
  int64_t as_of_ms; /* the report is not older than this */
  bool is_voter;
  uint32_t pending_count;
  uint64_t pending[VP_CONFIG_SYNC_PENDING_MAX];
  int64_t resent_ms; /* when an announcement or a withdrawal was last repeated to it */
} VpConfigSyncPeer;

/* An announced change that may still be written. */
typedef struct {
  uint64_t change;
  uint64_t base_version;
  VpConfig *config; /* stored form read; the change is config->origin.change */
  GBytes *stored;
  int64_t received_ms;
} VpConfigSyncPending;

typedef enum {
  VP_CONFIG_SYNC_CHANGE_READ,
  VP_CONFIG_SYNC_CHANGE_ANNOUNCE,
  VP_CONFIG_SYNC_CHANGE_WRITE,
  VP_CONFIG_SYNC_CHANGE_PROPAGATE,
} VpConfigSyncChangeState;

typedef struct {
  uint64_t handle;
  uint64_t expected_revision;
  GBytes *document;      /* canonical */
  VpConfig *base_config; /* that it was announced for */
  VpConfig *config;      /* proposed */
  GBytes *stored;
  uint64_t base_version;
  VpConfigSyncChangeState state;
  int64_t started_ms;     /* -1: waits for the change before it */
  int64_t state_since_ms; /* when the state was entered */
  int64_t next_send_ms;   /* when messages are repeated */
  bool is_uncertain;      /* a write was sent and its result is not known */
  uint32_t announce_round_count;
  bool is_acked[VP_MEMBERS_MAX];
  bool is_confirmed[VP_MEMBERS_MAX];
} VpConfigSyncChange;

struct _VpConfigSync {
  char member[VP_NAME_MAX];
  uint32_t member_index;
  uint32_t member_count;
  uint64_t boot;
  int64_t key_trust_ms;
  int64_t poll_ms;
  int64_t announce_timeout_ms;
  VpConfigSyncPeer *peers; /* member_count; this member's own entry is unused */
  uint64_t next_heartbeat_id;

  VpConfig *config;
  GBytes *stored;         /* of @config; NULL at revision 0 */
  uint64_t seen_revision; /* highest that any member or the store reported */
  GArray *pending;        /* VpConfigSyncPending */
  uint64_t resolved[VP_CONFIG_SYNC_RESOLVED_MAX];
  uint32_t resolved_next;
  int64_t store_as_of_ms;
  int64_t relayed_as_of_ms;

  bool has_version;
  bool is_voter; /* the version has moved since the start of this process */
  uint64_t
      conflict_version;    /* first version that a refused write of this process showed; 0: none */
  uint64_t store_version;  /* highest read */
  uint64_t store_revision; /* at that version */
  GBytes *store_value;
  bool is_watching;
  bool is_trusted_logged;
  bool is_stale_read_logged;
  uint64_t next_token;
  uint64_t read_token; /* operations in flight; 0: none */
  uint64_t watch_token;
  uint64_t bump_token;
  uint64_t write_token;
  int64_t next_read_ms;
  int64_t next_watch_ms;
  int64_t next_bump_ms;
  int64_t next_request_ms;

  GQueue *changes;     /* VpConfigSyncChange*; the head is in progress */
  GQueue *propagating; /* VpConfigSyncChange*; accepted, waiting for confirmations */
  uint64_t change_count;
  GArray *outcomes;

  GPtrArray *audit_unrecorded; /* VpConfig* whose origin must stand in the trail */
  GBytes *audit;               /* JSON array */
  int64_t audit_as_of_ms;
  uint64_t audit_token; /* read or write in flight */
  bool is_audit_read;   /* the value and version below are known */
  uint64_t audit_version;
  GBytes *audit_value;
  GBytes *audit_sent; /* last value that was sent */
  int64_t next_audit_ms;
  uint32_t audit_try_count;
};

/* vp-config-sync.c */
VpStoreOp *_vp_config_sync_store_op (VpConfigSync *sync,
                                     VpEffects *effects,
                                     VpStoreKind kind,
                                     const char *key,
                                     uint64_t *token);
/* Takes over @config if its revision is higher than the current one. */
void _vp_config_sync_apply (VpConfigSync *sync,
                            VpConfig *config,
                            GBytes *stored,
                            int64_t now_ms,
                            VpEffects *effects);
/* False if the list is full. Borrows @config and @stored. */
bool _vp_config_sync_add_pending (VpConfigSync *sync,
                                  uint64_t base_version,
                                  VpConfig *config,
                                  GBytes *stored,
                                  int64_t now_ms);
void _vp_config_sync_drop_pending (VpConfigSync *sync, guint index);
const VpConfigSyncPending *_vp_config_sync_find_pending (const VpConfigSync *sync, uint64_t change);
bool _vp_config_sync_is_resolved (const VpConfigSync *sync, uint64_t change);
/* Time up to which a majority of members confirmed that nothing later was accepted. */
int64_t _vp_config_sync_majority_as_of_ms (const VpConfigSync *sync, int64_t now_ms);

/* vp-config-sync-store.c */
void _vp_config_sync_store_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
void _vp_config_sync_send_read (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
/* Takes in a version and value of the store. False if they are older than what is known, are not
 * complete or can't be read. */
bool _vp_config_sync_handle_store_value (VpConfigSync *sync,
                                         uint64_t version,
                                         GBytes *value,
                                         int64_t as_of_ms,
                                         int64_t now_ms,
                                         VpEffects *effects);
/* Takes in the result of a write of the configuration. Unlike a read it can't come from a stale
 * replica: the version it shows is the current one. */
void _vp_config_sync_note_write_result (VpConfigSync *sync, const VpStoreResult *result);
int64_t _vp_config_sync_store_next_ms (const VpConfigSync *sync);

/* vp-config-sync-peer.c */
VpPeerMessage *_vp_config_sync_add_message (VpConfigSync *sync,
                                            VpEffects *effects,
                                            const char *peer,
                                            VpPeerKind kind);
void _vp_config_sync_send_announce (VpConfigSync *sync,
                                    const char *peer,
                                    const VpConfigSyncPending *pending,
                                    VpEffects *effects);
void _vp_config_sync_send_cancel (VpConfigSync *sync,
                                  const char *peer,
                                  uint64_t change,
                                  VpEffects *effects);
void _vp_config_sync_send_config (VpConfigSync *sync, const char *peer, VpEffects *effects);
void _vp_config_sync_peer_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);

/* vp-config-sync-change.c */
void _vp_config_sync_change_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
void _vp_config_sync_change_acked (VpConfigSync *sync,
                                   uint32_t member,
                                   uint64_t change,
                                   int64_t now_ms,
                                   VpEffects *effects);
void _vp_config_sync_change_confirmed (VpConfigSync *sync,
                                       uint32_t member,
                                       uint64_t revision,
                                       int64_t now_ms,
                                       VpEffects *effects);
/* The store was read by an operation sent at @sent_ms. */
void _vp_config_sync_change_read (VpConfigSync *sync,
                                  int64_t sent_ms,
                                  int64_t now_ms,
                                  VpEffects *effects);
void _vp_config_sync_change_written (VpConfigSync *sync,
                                     const VpStoreResult *result,
                                     int64_t now_ms,
                                     VpEffects *effects);
/* True while a change that the identity belongs to is in progress here. */
bool _vp_config_sync_change_is_active (const VpConfigSync *sync, uint64_t change);
int64_t _vp_config_sync_change_next_ms (const VpConfigSync *sync);
void _vp_config_sync_change_free (VpConfigSyncChange *change);

/* vp-config-sync-audit.c */
void _vp_config_sync_audit_add (VpConfigSync *sync, VpConfig *config);
void _vp_config_sync_audit_tick (VpConfigSync *sync, int64_t now_ms, VpEffects *effects);
void _vp_config_sync_audit_result (VpConfigSync *sync,
                                   const VpStoreResult *result,
                                   int64_t now_ms,
                                   VpEffects *effects);
int64_t _vp_config_sync_audit_next_ms (const VpConfigSync *sync);
