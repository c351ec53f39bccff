/* Configuration of a cell as the platform stores it: queues, teams and their API keys.
 *
 *   VpCellConfig *config = vp_cellconfig_new (version);
 *   VpQueueConfig queue = { .name = vp_cellconfig_text (config, "bookings") };
 *   g_array_append_val (config->queues, queue);
 *   vp_cellconfig_add_key (config, "secret", team_index);
 *   vp_cellconfig_seal (config);
 *   const VpQueueConfig *queue = vp_cellconfig_route (config, host, path, &rest);
 *   vp_cellconfig_unref (config);
 *
 * Reference counted, and immutable after vp_cellconfig_seal().
 */
#pragma once

#include "vp-text.h"
#include "vp-types.h"

/* The texts of queues and teams belong to the configuration, or are static. */
typedef struct {
  const char *name;
  const char *host;          /* host name in the requests of its callers */
  const char *prefix;        /* prefix of the path of its requests */
  const char *service;       /* name of the group of workers that run its tasks */
  int32_t priority;          /* 0 is the most urgent */
  uint32_t attempts_max;     /* number of failed runs of one task after which its job fails */
  double stretch;            /* part of the objective: multiple of the job's critical path */
  int64_t latency_target_ms; /* part of the objective: constant time, added to the multiple */
  bool is_public;            /* requests need no API key */
  bool has_advice;           /* steps run only on workers that the advice service allows */
  double advice_decide_ms;   /* time that a call to the advice service takes */
  double advice_worker_ms;   /* additional time of a call for each worker in it */
  int64_t advice_valid_ms;   /* validity of a ticket from the advice service */
  bool yields_fast_workers; /* set by vp_cellconfig_seal(): it isn't urgent, and a queue of priority
                               0 uses the same workers */
  bool ignores_speed;       /* workers are chosen as if all were alike in advice requests, for
                               comparisons */
  bool is_kept;             /* of an earlier configuration, see vp-jobconfig.h */
} VpQueueConfig;

typedef struct {
  const char *name;
  double weight;   /* rate of jobs that the team may submit, in jobs a second; 0: no limit */
  VpResources cap; /* limit of the total size of running tasks; 0 in a field: no limit */
  bool is_kept;    /* of an earlier configuration, see vp-jobconfig.h */
} VpTeamConfig;

/* A key that was added more than once. The team that added it last has it. */
typedef struct {
  char sha256[65]; /* lower-case hexadecimal digest of the key */
  uint32_t team_index;
  uint32_t earlier_team_index;
} VpKeyClash;

typedef struct {
  uint32_t refs; /* atomic */
  uint64_t version;
  GArray *queues;          /* VpQueueConfig */
  GArray *teams;           /* VpTeamConfig */
  GHashTable *queue_index; /* name -> VpQueueConfig */
  GHashTable *team_index;  /* name -> VpTeamConfig */
  GHashTable *team_by_key; /* API key -> index of the team in @teams, plus 1 */
  GArray *key_clashes;     /* VpKeyClash */
  uint32_t body_max;       /* maximum size of a request body in bytes */
  GStringChunk *texts;     /* the texts of queues and teams */
} VpCellConfig;

/* The caller owns the reference. */
VpCellConfig *vp_cellconfig_new (uint64_t version);
VpCellConfig *vp_cellconfig_ref (VpCellConfig *config);
void vp_cellconfig_unref (VpCellConfig *config);
/* Returns a copy of @text, which may be NULL, that belongs to @config. */
const char *vp_cellconfig_text (VpCellConfig *config, const char *text);
/* @team_index is the team's index in @teams. */
void vp_cellconfig_add_key (VpCellConfig *config, const char *key, uint32_t team_index);
/* Builds the indexes by name; missing texts become empty. @queues and @teams must not change
 * afterwards. */
void vp_cellconfig_seal (VpCellConfig *config);
/* Returns the queue of @host with the longest prefix of @path and sets @rest to the rest of the
 * path. Returns NULL if there is no such queue. The queue belongs to @config. */
const VpQueueConfig *vp_cellconfig_route (const VpCellConfig *config,
                                          const char *host,
                                          const char *path,
                                          const char **rest);
/* Returns NULL if there is no queue of that name. */
const VpQueueConfig *vp_cellconfig_queue (const VpCellConfig *config, const char *name);
/* Returns the number of failed runs of one task after which its job fails. Without a configuration
 * (@config is NULL), or if the queue isn't in it or is a kept one, none is known to be too many. */
uint32_t vp_cellconfig_attempts_max (const VpCellConfig *config, const char *queue);
/* Returns the time that the advice service takes to answer a call for @worker_count workers. */
int64_t vp_cellconfig_advice_ms (const VpQueueConfig *queue, uint32_t worker_count);
/* Returns NULL if there is no team of that name. */
const VpTeamConfig *vp_cellconfig_team (const VpCellConfig *config, const char *name);
/* Returns the team with the API key, or NULL if the key is unknown. */
const VpTeamConfig *vp_cellconfig_team_of_key (const VpCellConfig *config, const char *key);
