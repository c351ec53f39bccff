/* The operators' configuration: DCs, teams with their shares and limits, keys, and profiles.
 *
 *   g_autoptr (GError) error = NULL;
 *   VpConfig *config = vp_config_parse (text, size, &error);
 *   const VpProfile *profile = vp_config_profile (config, "booking");
 *   const VpTeam *team = vp_config_team (config, "nadi");
 *   vp_config_unref (config);
 *
 * A configuration is immutable and reference counted; the count is atomic. Each accepted change
 * raises the revision by one.
 */
#pragma once

#include "vp-types.h"

typedef struct {
  char name[VP_NAME_MAX];
  int64_t share;      /* weight when tasks compete for workers; at least 1 */
  VpResources limit;  /* largest total size of running tasks across all DCs */
  uint32_t queue_max; /* largest number of waiting tasks in one DC; 0: 1,000 */
} VpTeam;

typedef struct {
  char name[VP_NAME_MAX];
  VpProfileKind kind;
  int32_t priority;        /* from 0 to 100; 100 is the most urgent */
  bool is_preemptible;     /* may be checkpointed for work of higher priority or share */
  bool is_open;            /* accepts requests without a key for any configured team */
  bool is_spread;          /* members of a gang go to different racks as far as possible */
  uint32_t tries_max;      /* attempts of a repeatable task; 0: 3 */
  int64_t deadline_ms;     /* default for the time from arrival to start; 0: none */
  int64_t task_lease_ms;   /* length of a task's lease; 0: 60,000 */
  int64_t run_time_max_ms; /* a task is stopped after this time; 0: never */
} VpProfile;

typedef struct {
  char sha256[65]; /* lower-case hexadecimal digest of the key */
  char team[VP_NAME_MAX];
  char note[VP_NAME_MAX];
} VpKey;

#define VP_CONFIG_SUMMARY_MAX 256 /* bytes of the summary of a change, including its NUL */

/* The change that created a revision; stored next to the document. */
typedef struct {
  uint64_t change; /* identity, by which a member recognises its own write; 0: unknown */
  int64_t at_ms;
  char who[VP_NAME_MAX];
  char summary[VP_CONFIG_SUMMARY_MAX];
} VpConfigOrigin;

typedef struct _VpConfig {
  gatomicrefcount refs;
  uint64_t revision;             /* 0: the built-in empty configuration */
  VpConfigOrigin origin;         /* zero unless parsed from the stored form */
  GPtrArray *dcs;                /* char*; names */
  GArray *teams;                 /* VpTeam, sorted by name */
  GArray *profiles;              /* VpProfile, sorted by name */
  GHashTable *keys;              /* sha256 text -> VpKey* */
  int64_t identity_retention_ms; /* how long outcomes are kept after the end; 0: 86,400,000 */
} VpConfig;

/* Largest size of a document in bytes. A store value holds at most 1 MiB; the difference leaves
 * room for the revision and the origin that are stored with the document. */
#define VP_CONFIG_BYTES_MAX    (1000 * 1024)
#define VP_CONFIG_DCS_MAX      64
#define VP_CONFIG_TEAMS_MAX    1024
#define VP_CONFIG_PROFILES_MAX 256
#define VP_CONFIG_KEYS_MAX     4096

/* Parses and checks a document. Unknown fields, duplicates, references to unknown teams and values
 * out of range are errors; the GError (VP_JSON_ERROR) names the path of the field. Fields that are
 * 0 or missing have their default in the result. The revision is 0; the caller sets it before
 * sharing the result. */
VpConfig *vp_config_parse (const char *text, size_t size, GError **error);
/* Parses the stored form {"revision": n, "config": document} with n of at least 1 and the optional
 * fields "change" (16 hexadecimal digits), "who", "at_ms" and "summary" of the origin. Errors are
 * reported as by vp_config_parse(). */
VpConfig *vp_config_parse_stored (const char *text, size_t size, GError **error);
/* Formats the document as canonical JSON; parsing it gives an equal configuration. */
GBytes *vp_config_format (const VpConfig *config);
/* Formats the stored form as canonical JSON. */
GBytes *vp_config_format_stored (const VpConfig *config);
/* Describes the change from @from to @to for the audit trail as "teams +a -b ~c; keys +1 -2; ...",
 * cut to @size bytes; "no change" if they are equal. Keys are given by the start of their digest.
 */
void vp_config_describe_change (const VpConfig *from, const VpConfig *to, char *out, size_t size);
VpConfig *vp_config_new_empty (void);
VpConfig *vp_config_ref (VpConfig *config);
void vp_config_unref (VpConfig *config);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (VpConfig, vp_config_unref)

/* The team or profile with that name; NULL if there is none. */
const VpTeam *vp_config_team (const VpConfig *config, const char *name);
const VpProfile *vp_config_profile (const VpConfig *config, const char *name);
/* Team of a key, which is given itself and not by its digest; NULL if the key is not valid. */
const VpTeam *vp_config_key_team (const VpConfig *config, const char *key);
/* Team of the key with that digest; NULL if there is none. */
const VpTeam *vp_config_digest_team (const VpConfig *config, const char *sha256);
/* Home DC of a task, chosen by rendezvous hashing; NULL if there are no DCs. */
const char *vp_config_home_dc (const VpConfig *config, VpTaskId task);
/* Computes the digest of a key as a configuration holds it. */
void vp_config_key_digest (const char *key, char out[65]);
