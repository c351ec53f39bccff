/* Slowness of workers, learned from the durations of their runs.
 *
 *   VpKindSpeed *kind = g_new0 (VpKindSpeed, 1);       // shared by the workers of one kind
 *   VpWorkerSpeed speed = { 0 };
 *   vp_workerspeed_set_kind (&speed, kind);
 *   vp_workerspeed_record (&speed, log (duration_ms / duration_at_speed_1_ms), 1);
 *   slowness = vp_workerspeed_slowness (&speed);       // 2: takes twice as long
 *
 * The logarithm of a run's duration is the sum of that of its work and that of its worker's
 * slowness. Steps and workers are estimated in turn: the mean of a step is taken of the durations
 * of its ended runs less the slowness of their workers, and a run tells of its worker what it
 * differs by from that mean. So a worker whose siblings all run on fast workers isn't taken for
 * slow. All values of a service can be shifted together without a difference, so they are centred
 * from time to time.
 *
 * No I/O. Zeroed memory is the initial state: a slowness of 1.
 */
#pragma once

#include "vp-types.h"

/* What is known of the workers of a kind. */
typedef struct {
  char *service;  /* owned; service whose speeds are centred together with those of the kind */
  double log_sum; /* weighted sum of the logarithms of the slowness of its workers */
  double weight;
} VpKindSpeed;

typedef struct {
  VpKindSpeed *kind; /* borrowed; NULL: none */
  double log_mean;   /* mean of what its own runs showed, the logarithm of its slowness */
  double weight;     /* number of these runs, at most as many as are remembered */
} VpWorkerSpeed;

/* Makes @kind the prior of the worker. What the worker is known to be counts for the new kind. */
void vp_workerspeed_set_kind (VpWorkerSpeed *speed, VpKindSpeed *kind);
/* Records runs that took exp(@log_ratio) times as long as on a worker of speed 1, in the geometric
 * mean. They count as @weight runs whose duration at speed 1 is known exactly. */
void vp_workerspeed_record (VpWorkerSpeed *speed, double log_ratio, double weight);
/* Lets new runs count more, after a restart of the worker. */
void vp_workerspeed_weaken (VpWorkerSpeed *speed);
/* Ends the worker. What it showed of its kind is kept unless other workers show it. */
void vp_workerspeed_clear (VpWorkerSpeed *speed);
/* Returns the logarithm of the slowness, and the slowness itself. */
double vp_workerspeed_log (const VpWorkerSpeed *speed);
double vp_workerspeed_slowness (const VpWorkerSpeed *speed);
/* Adds @log_shift to the logarithm of the slowness of a worker, and to that of a kind. */
void vp_workerspeed_shift (VpWorkerSpeed *speed, double log_shift);
void vp_kindspeed_shift (VpKindSpeed *kind, double log_shift);
