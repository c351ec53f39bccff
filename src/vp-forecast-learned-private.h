/* State of the learned policy. Look-ups are in vp-forecast-learned.c, and vp-forecast-record.c
 * learns from runs.
 *
 * The logarithm of a duration is taken as
 *
 *   level + slope * logarithm of the estimate + offset of the shape + effect of the step + rest
 *
 * Everything is learned for each team of a queue. Queues only have medians over their teams, which
 * serve a team with few runs. Runs of one step share the effect of the step, so that a step counts
 * little more than a single run. See docs/design/forecast.md for the alternatives and figures. */
#pragma once

#include "vp-forecast-private.h"

#define VP_FORECAST_VOTERS_MAX 16 /* teams of a queue whose medians are taken */
#define VP_FORECAST_RECENT_MAX 12 /* last steps of a queue that show a change of its work */
#define VP_FORECAST_SHAPES_MAX 16 /* shapes of a team */
#define VP_FORECAST_STEPS_MAX  64 /* steps of a team that may be in progress */

/* Initial values: the variance of the logarithm of a caller's error is about 0.9 squared, and tasks
 * of one step differ by about 0.3. */
#define VP_FORECAST_ESTIMATE_VARIANCE 0.81
#define VP_FORECAST_WITHIN_VARIANCE   0.09
#define VP_FORECAST_VARIANCE_MIN      0.0025

/* The ways in which the level of a team is predicted. Each run tells which predicts best. */
enum {
  VP_FORECAST_SLOW,   /* the work is the same */
  VP_FORECAST_FAST,   /* the team's work has changed */
  VP_FORECAST_SHARED, /* the work of most of the queue's teams has changed alike */
  VP_FORECAST_LEVELS,
};

/* Decaying mean of the logarithms of estimate and duration. */
typedef struct {
  double count; /* independent runs */
  double x;
  double y;
} VpForecastLevel;

typedef struct {
  float mean;  /* decaying mean of the deviation from other shapes */
  float count; /* independent runs */
  uint32_t used;
} VpForecastShape;

/* What was expected before any run of a step had ended: the logarithm of the duration, and that
 * according to each level. */
typedef struct {
  float mean;
  float levels[VP_FORECAST_LEVELS];
} VpForecastExpected;

/* Runs of a step that have ended. */
typedef struct {
  VpForecastExpected expected;
  float mean; /* of the logarithms of the durations */
  uint32_t count;
  uint32_t used;
} VpForecastStep;

typedef struct {
  uint64_t id; /* hash of queue and team */
  uint64_t queue;
  int64_t used_ms;
  VpForecastLevel slow; /* since the last change */
  VpForecastLevel fast;
  VpForecastLevel anchor;          /* whether the work changes or not: changes are relative to it */
  double odds[VP_FORECAST_LEVELS]; /* logarithm of the odds against the slow level */
  double fast_weight;              /* odds for the fast level */
  double slope;
  double slope_count;
  double xx; /* variance of the logarithm of the estimate */
  double xy; /* its covariance with that of the duration */
  double variance;
  double within_variance;
  double within_count;
  uint32_t used;              /* counts records, for the least recently used shape and step */
  VpForecastHistogram total;  /* deviations without runs of the step */
  VpForecastHistogram within; /* deviations given runs of the step */
  uint64_t shape_ids[VP_FORECAST_SHAPES_MAX];
  VpForecastShape shapes[VP_FORECAST_SHAPES_MAX];
  uint64_t step_ids[VP_FORECAST_STEPS_MAX];
  VpForecastStep steps[VP_FORECAST_STEPS_MAX];
} VpForecastTeam;

/* What a team, or the median of a queue's teams, says about a run. */
typedef struct {
  double count;
  double x;
  double y;
  double slope;
  double variance;
  double within_variance;
} VpForecastSummary;

/* Runs of a step: how far they are from the anchor of their team. */
typedef struct {
  uint64_t team;
  uint64_t step;
  double change; /* mean of the logarithms */
  uint32_t count;
  uint32_t used;
} VpForecastRecent;

typedef struct {
  uint64_t id;
  int64_t used_ms;
  uint32_t voter_count;
  uint64_t voter_ids[VP_FORECAST_VOTERS_MAX];
  int64_t voter_used_ms[VP_FORECAST_VOTERS_MAX];
  VpForecastSummary voters[VP_FORECAST_VOTERS_MAX];
  uint32_t median_voters; /* teams that count in @median; 0: it isn't valid */
  VpForecastSummary median;
  VpForecastRecent recent[VP_FORECAST_RECENT_MAX];
  uint32_t recent_count;
  uint32_t recent_teams; /* number of teams in @recent */
  uint32_t used;         /* counts records, for the oldest entry of @recent */
  double change;         /* median of @recent */
  double change_odds;    /* logarithm of the odds for @change according to @recent */
} VpForecastQueue;

typedef struct {
  VpForecast forecast;
  GHashTable *queues; /* VpForecastQueue.id -> VpForecastQueue */
  GHashTable *teams;  /* VpForecastTeam.id -> VpForecastTeam */
  VpForecastHistogram normal;
} VpForecastLearned;

/* Distribution of the logarithm of a duration. */
typedef struct {
  double x; /* logarithm of the estimate */
  double mean;
  double offset;                     /* part of @mean that is due to the shape */
  double levels[VP_FORECAST_LEVELS]; /* without @offset */
  double step_variance;              /* variance of the effect of the step */
  double within_variance;            /* variance within the step */
  const VpForecastHistogram *total;
  const VpForecastHistogram *within;
  double sample_count;
} VpForecastView;

uint64_t _vp_forecast_hash (const char *text, uint64_t seed);
/* Returns the logarithm of a time in ms, within a range. */
double _vp_forecast_log (double ms);
/* Returns the identity of the shape: image, size and number of tasks. */
uint64_t _vp_forecast_shape_id (const VpForecastKey *key);
/* Returns the index of @id in @ids, or -1. */
int _vp_forecast_find_id (const uint64_t *ids, int count, uint64_t id);
/* Returns the team of the queue, or NULL if it is unknown, and sets @id to its identity. */
VpForecastTeam *
_vp_forecast_find_team (const VpForecastLearned *learned, const VpForecastKey *key, uint64_t *id);
double _vp_forecast_level_at (const VpForecastLevel *level, double slope, double x);
/* Sets @out to the distribution without runs of the same step. @team may be NULL. */
void _vp_forecast_view_base (const VpForecastLearned *learned,
                             const VpForecastTeam *team,
                             const VpForecastKey *key,
                             VpForecastView *out);
/* Takes the runs of the step that have ended into account. @team may be NULL. */
void
_vp_forecast_view_step (const VpForecastTeam *team, const VpForecastKey *key, VpForecastView *view);
/* Returns the standard deviation of a run. */
double _vp_forecast_deviation (const VpForecastView *view);
/* Learns from a run, see vp_forecast_record(). */
void _vp_forecast_learned_record (VpForecast *forecast,
                                  const VpForecastKey *key,
                                  double work_ms,
                                  int64_t now_ms);
