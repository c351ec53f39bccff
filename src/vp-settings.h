/* Settings of verbenapulleyd, read once from a JSON file at start.
 *
 *   VpSettings settings;
 *   if (!vp_settings_load (&settings, path, &error))    // names the field's path
 *     exit with an error before listening
 *   vp_settings_shutdown (&settings);
 */
#pragma once

#include "vp-intake-settings.h"

/* An entry process of the deployment, this one or another. */
typedef struct {
  char name[VP_NAME_MAX];
  char dc[VP_NAME_MAX];
  char peer_address[VP_ADDRESS_MAX]; /* IP:port of the ZeroMQ socket */
  char http_address[VP_ADDRESS_MAX];
} VpMember;

typedef struct {
  char name[VP_NAME_MAX]; /* recorded in the audit trail */
  char key_sha256[65];
} VpOperator;

typedef struct {
  char name[VP_NAME_MAX]; /* name of this member, which must be in @members */
  char dc[VP_NAME_MAX];
  char http_address[VP_ADDRESS_MAX]; /* address to listen on for callers and operators */
  char peer_address[VP_ADDRESS_MAX];
  GArray *members;            /* VpMember; all entry processes of the deployment */
  GArray *operators;          /* VpOperator */
  GPtrArray *store_addresses; /* char* IP:port; tried one after the other */
  char vmlist_address[VP_ADDRESS_MAX];
  int64_t owner_ttl_ms;      /* TTL of the lease for a DC's ownership, default 2,400 */
  int64_t owner_renew_ms;    /* interval of the lease's renewals, default 1,200 */
  int64_t clock_margin_ms;   /* allowance for differences between clocks, default 250 */
  int64_t config_fresh_ms;   /* how long a confirmation keeps keys trusted, default 3,000 */
  int64_t heartbeat_ms;      /* interval of heartbeats to the other members, default 500 */
  int64_t commit_ms;         /* interval of the ledger's commits, default 300 */
  int64_t vmlist_poll_ms;    /* interval of reads of the VM list, default 2,000 */
  uint32_t body_max;         /* bytes of a request's body, default 262,144 */
  uint32_t connections_max;  /* default 4,096; fewer where descriptors or memory are short */
  int64_t client_timeout_ms; /* time-out of slow clients, default 10,000 */
  uint32_t pending_max;      /* unanswered requests in this process, default 10,000 */
  VpIntakeSettings intake;
  bool is_log_json; /* log lines are JSON objects with GLib's fields */
  /* Setting "learn_addresses": messages to a member go to the address in its last heartbeat. It is
   * off where the members are reached through forwarders; default true. */
  bool is_learning_addresses;
} VpSettings;

/* False and a GError (VP_JSON_ERROR or G_FILE_ERROR) if the file is not valid. */
bool vp_settings_load (VpSettings *settings, const char *path, GError **error);
bool vp_settings_parse (VpSettings *settings, const char *text, size_t size, GError **error);
void vp_settings_shutdown (VpSettings *settings);
/* The member with that name; NULL if there is none. */
const VpMember *vp_settings_member (const VpSettings *settings, const char *name);
/* Name of the operator whose key this is; NULL if the key is not an operator's. */
const char *vp_settings_operator (const VpSettings *settings, const char *key);
