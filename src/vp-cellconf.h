/* Configuration of a cell that is kept by the platform: queues, teams and their keys.
 *
 *   VpCellConf *conf = vp_cellconf_new (version);
 *   g_array_append_val (conf->queues, queue);
 *   vp_cellconf_add_key (conf, "secret", team_index);
 *   vp_cellconf_seal (conf);
 *   const VpQueueConf *queue = vp_cellconf_route (conf, host, path, &rest);
 *   vp_cellconf_unref (conf);
 *
 * Reference counted; not changed after vp_cellconf_seal().
 */
#pragma once

#include "vp-types.h"

#define VP_HOST_MAX 128 /* bytes of a host name or a path prefix with its NUL */

typedef struct {
  char name[VP_NAME_MAX];
  char host[VP_HOST_MAX];
  char prefix[VP_HOST_MAX];
  char service[VP_NAME_MAX]; /* group of workers that runs the queue's tasks */
  int32_t priority;          /* 0 comes first */
  uint32_t attempts_max;     /* failed ends of one task before its job fails */
  double stretch;            /* objective as a multiple of the longest chain of work */
  int64_t latency_target_ms; /* added to that */
  bool is_public;            /* needs no key */
  bool has_advice;           /* only workers named by the advice service may run its steps */
  double advice_decide_ms;   /* time of one call */
  double advice_worker_ms;   /* and for each worker asked about */
  int64_t advice_valid_ms;   /* of a ticket */
} VpQueueConf;

typedef struct {
  char name[VP_NAME_MAX];
  double weight;
  VpResources cap; /* of what runs; 0 in a field: no limit */
} VpTeamConf;

typedef struct {
  uint32_t refs; /* atomic */
  uint64_t version;
  GArray *queues;          /* VpQueueConf */
  GArray *teams;           /* VpTeamConf */
  GHashTable *queue_index; /* name -> VpQueueConf */
  GHashTable *team_index;  /* name -> VpTeamConf */
  GHashTable *team_by_key; /* key -> index + 1 */
  uint32_t body_max;       /* bytes of a request body */
} VpCellConf;

VpCellConf *vp_cellconf_new (uint64_t version);
VpCellConf *vp_cellconf_ref (VpCellConf *conf);
void vp_cellconf_unref (VpCellConf *conf);
void vp_cellconf_add_key (VpCellConf *conf, const char *key, uint32_t team_index);
/* Builds the indexes; the arrays must not change afterwards. */
void vp_cellconf_seal (VpCellConf *conf);
/* The queue of @host with the longest prefix of @path, and the path after it; NULL: none. */
const VpQueueConf *
vp_cellconf_route (const VpCellConf *conf, const char *host, const char *path, const char **rest);
const VpQueueConf *vp_cellconf_queue (const VpCellConf *conf, const char *name);
/* Failed runs after which a task of the queue fails its job; 1 if the queue is not known. */
uint32_t vp_cellconf_attempts_max (const VpCellConf *conf, const char *queue);
const VpTeamConf *vp_cellconf_team (const VpCellConf *conf, const char *name);
/* The team that a key belongs to; NULL: unknown key. */
const VpTeamConf *vp_cellconf_team_of_key (const VpCellConf *conf, const char *key);
