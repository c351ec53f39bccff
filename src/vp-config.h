/* The operators' configuration: DCs, teams with shares and limits, keys, profiles, open queues.
 *
 *   g_autoptr (GError) error = NULL;
 *   VpConfig *config = vp_config_parse (text, size, &error);
 *   const VpProfile *profile = vp_config_profile (config, "booking");
 *   const VpTeam *team = vp_config_team (config, "nadi");
 *   vp_config_unref (config);
 *
 * A configuration is immutable and reference counted (atomic). Its revision only grows.
 */
#pragma once

#include "vp-types.h"

typedef struct {
  char name[VP_NAME_MAX];
  int64_t share;      /* weight when the cell is full; at least 1 */
  VpResources limit;  /* most that may run across the fleet */
  uint32_t queue_max; /* waiting tasks of the team in one DC; 0: 1,000 */
} VpTeam;

typedef struct {
  char name[VP_NAME_MAX];
  VpProfileKind kind;
  int32_t priority;        /* 0 lowest to 100; 100 is urgent */
  bool is_preemptible;     /* may be checkpointed for work of higher priority or share */
  bool is_open;            /* open queue: accepts work without a key for any configured team */
  bool is_spread;          /* members go to different racks as far as possible */
  uint32_t tries_max;      /* attempts of repeatable work; 0: 3 */
  int64_t deadline_ms;     /* default time from arrival to start; 0: none */
  int64_t task_lease_ms;   /* 0: 60,000 */
  int64_t run_time_max_ms; /* stopped after this; 0: none */
} VpProfile;

typedef struct {
  char sha256[65]; /* lower-case hexadecimal digest of the key */
  char team[VP_NAME_MAX];
  char note[VP_NAME_MAX];
} VpKey;

#define VP_CONFIG_SUMMARY_MAX 256 /* bytes of the description of a change with its NUL */

/* How a revision came about; stands in the store next to the document. */
typedef struct {
  uint64_t change; /* identity of the change, to recognise one's own write; 0: unknown */
  int64_t at_ms;
  char who[VP_NAME_MAX];
  char summary[VP_CONFIG_SUMMARY_MAX];
} VpConfigOrigin;

typedef struct _VpConfig {
  gatomicrefcount refs;
  uint64_t revision;             /* 0: the built-in empty configuration */
  VpConfigOrigin origin;         /* zero unless read from the stored form */
  GPtrArray *dcs;                /* char*; names, the order does not matter */
  GArray *teams;                 /* VpTeam, sorted by name */
  GArray *profiles;              /* VpProfile, sorted by name */
  GHashTable *keys;              /* sha256 text -> VpKey* */
  int64_t identity_retention_ms; /* how long an outcome is kept after the end; 0: 86,400,000 */
} VpConfig;

/* A store value holds at most 1 MiB; the rest is room for the revision around the document. */
#define VP_CONFIG_BYTES_MAX    (1000 * 1024)
#define VP_CONFIG_DCS_MAX      64
#define VP_CONFIG_TEAMS_MAX    1024
#define VP_CONFIG_PROFILES_MAX 256
#define VP_CONFIG_KEYS_MAX     4096

/* Parses and checks a whole document: unknown fields, duplicates, references to unknown teams,
 * impossible values; the GError (VP_JSON_ERROR) names the path. Fields that are 0 or missing have
 * their default in the result. The revision is 0; the caller sets it before sharing the result. */
VpConfig *vp_config_parse (const char *text, size_t size, GError **error);
/* The same for the stored form: {"revision": n, "config": document}, n at least 1, with the
 * optional fields "change" (16 hexadecimal digits), "who", "at_ms" and "summary" of the origin. */
VpConfig *vp_config_parse_stored (const char *text, size_t size, GError **error);
/* Canonical JSON of the document; parsing it gives an equal configuration. */
GBytes *vp_config_format (const VpConfig *config);
/* Canonical JSON of the stored form. */
GBytes *vp_config_format_stored (const VpConfig *config);
/* What changed from @from to @to, for the audit trail, as "teams +a -b ~c; keys +1 -2; ...", cut to
 * @size; "no change" if they are equal. Keys are given by the start of their digest. */
void vp_config_describe_change (const VpConfig *from, const VpConfig *to, char *out, size_t size);
VpConfig *vp_config_new_empty (void);
VpConfig *vp_config_ref (VpConfig *config);
void vp_config_unref (VpConfig *config);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (VpConfig, vp_config_unref)

/* NULL if there is none of that name. */
const VpTeam *vp_config_team (const VpConfig *config, const char *name);
const VpProfile *vp_config_profile (const VpConfig *config, const char *name);
/* Team of a presented key (the key itself, not its digest); NULL if it is not valid. */
const VpTeam *vp_config_key_team (const VpConfig *config, const char *key);
/* The same by the digest of a key. */
const VpTeam *vp_config_digest_team (const VpConfig *config, const char *sha256);
/* Home DC of an identity by rendezvous hashing; NULL if there are no DCs. */
const char *vp_config_home_dc (const VpConfig *config, VpTaskId task);
/* Digest of a key as it stands in a configuration. */
void vp_config_key_digest (const char *key, char out[65]);
