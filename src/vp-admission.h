/* Admission of jobs under overload: rejects at once a job whose result certainly comes too late to
 * have any value. No I/O.
 *
 *   VpAdmission *admission = vp_admission_setup ();
 *   VpAdmissionSums sums;
 *   vp_admission_sums_setup (&sums);
 *   VpAdmissionService *service = vp_admission_sums_service (&sums, "service");
 *   service->capacity = 8000;
 *   vp_admission_add_running (service->busy, 1000, remaining_ms);
 *   vp_admission_add_waiting (service, rank, work, valuable_ms);
 *   vp_admission_update (admission, &sums, now_ms);               // takes the arrays of @sums
 *   vp_admission_decide (admission, &request, now_ms, &decision);
 *   if (!decision.is_accepted)
 *     ... tell the caller to retry after decision.retry_ms ...
 *   vp_admission_shutdown (admission);
 *
 * Load pattern: work that comes first in the order of waiting steps takes the whole capacity for so
 * long that a job of a lower rank can't end within the time in which its result has value. Steps of
 * its own rank say nothing certain, as those that are late come after those that are not; jobs are
 * accepted in spite of them. docs/design/overload.md derives the bound.
 *
 * Units: capacity in thousandths of a core, work in thousandths of a core times milliseconds.
 */
#pragma once

#include "vp-text.h"
#include "vp-types.h"

/* Number of ranges of times. Range k begins at vp_admission_edge_ms (k); the first one at 0. */
#define VP_ADMISSION_RANGES 24
/* Number of ranks, see vp_admission_rank(). */
#define VP_ADMISSION_RANKS 4

/* Sums of one service. Zeroed when created. */
typedef struct {
  char *name;
  double capacity;  /* of its listed workers, also of those that can't be reached */
  VpResources free; /* unassigned capacity of its usable workers, less what waiting steps reserve */
  VpResources free_max;             /* at least what any one usable worker has unassigned */
  double busy[VP_ADMISSION_RANGES]; /* capacity in use, by the time until it is free */
  double waiting[VP_ADMISSION_RANKS][VP_ADMISSION_RANGES]; /* work of waiting steps, by the time
                                                              until their results have no value */
  double in_time[VP_ADMISSION_RANKS]; /* the part of it whose jobs can be in time */
} VpAdmissionService;

/* Sums of a team with a cap. */
typedef struct {
  char *name;
  double capacity;                  /* its cap; 0: none */
  double busy[VP_ADMISSION_RANGES]; /* capacity that its tasks use, by the time until it is free */
} VpAdmissionTeam;

/* Results of accepted jobs since the process began to lead. */
typedef struct {
  uint32_t ended;    /* completed jobs for which an end was expected */
  uint32_t in_time;  /* those that ended by the expected end */
  uint32_t too_soon; /* those that ended before the earliest possible end */
} VpAdmissionResults;

typedef struct {
  GArray *services; /* VpAdmissionService */
  GArray *teams;    /* VpAdmissionTeam */
  VpAdmissionResults results;
} VpAdmissionSums;

typedef struct _VpAdmission VpAdmission;

typedef enum {
  VP_ADMISSION_UNKNOWN,  /* accepted: nothing recent is known, or the job has no such limit */
  VP_ADMISSION_FREE,     /* accepted: a worker has free capacity */
  VP_ADMISSION_POSSIBLE, /* accepted: it can end while its result has value */
  VP_ADMISSION_RETURNED, /* accepted: the caller has retried twice */
  VP_ADMISSION_OVERLOAD, /* rejected: work of higher ranks takes the capacity for too long */
  VP_ADMISSION_TEAM_CAP, /* rejected: running tasks of the team take its cap for too long */
  VP_ADMISSION_REASON_COUNT,
} VpAdmissionReason;

typedef struct {
  uint64_t job;
  const char *service;
  const char *team;
  uint32_t rank;
  VpResources size;  /* size of its smallest task */
  double work;       /* expected work of all its tasks */
  int64_t chain_ms;  /* expected time from the start of its first step to its end */
  int64_t limit_ms;  /* time after its arrival at which its result loses all value */
  bool is_unlimited; /* long-running, or due later: always accepted */
} VpAdmissionRequest;

typedef struct {
  bool is_accepted;
  VpAdmissionReason reason;
  int64_t arrived_ms;      /* time of the caller's first try */
  int64_t earliest_end_ms; /* accepted: the job can't end before; 0: unknown */
  int64_t expected_end_ms; /* accepted: expected end; 0: unknown */
  int64_t retry_ms;        /* rejected: the caller should retry after this time */
  uint32_t tries;          /* earlier tries of the caller that were rejected */
} VpAdmissionDecision;

VpAdmission *vp_admission_setup (void);
void vp_admission_shutdown (VpAdmission *admission);
/* Rank of the steps of a queue: lower ones come first in the order of waiting steps, whatever
 * their slack is, as long as their results have value. */
uint32_t vp_admission_rank (bool is_urgent, bool is_over_rate);
int64_t vp_admission_edge_ms (uint32_t range);
void vp_admission_sums_setup (VpAdmissionSums *sums);
/* Not needed after vp_admission_update(), which takes the arrays. */
void vp_admission_sums_clear (VpAdmissionSums *sums);
/* Returns the sums of the service or team, which it creates if there are none. They are valid until
 * the next one is created. */
VpAdmissionService *vp_admission_sums_service (VpAdmissionSums *sums, const char *name);
VpAdmissionTeam *vp_admission_sums_team (VpAdmissionSums *sums, const char *name);
/* Adds capacity that is in use for at least another @remaining_ms to @busy of a service or team. */
void vp_admission_add_running (double *busy, double capacity, int64_t remaining_ms);
/* Adds work of a waiting step whose result has value for another @valuable_ms. */
void vp_admission_add_waiting (VpAdmissionService *service,
                               uint32_t rank,
                               double work,
                               int64_t valuable_ms);
/* Replaces the sums; takes the arrays of @sums. */
void vp_admission_update (VpAdmission *admission, VpAdmissionSums *sums, int64_t now_ms);
/* Decides on a job that arrives now. A rejection is remembered, as the time of the job counts from
 * its first try. Reads only the sums of its service and team. */
void vp_admission_decide (VpAdmission *admission,
                          const VpAdmissionRequest *request,
                          int64_t now_ms,
                          VpAdmissionDecision *out);
/* Returns the share of the waiting work that counts as certain. */
double vp_admission_certainty (const VpAdmission *admission);
const char *vp_admission_reason_token (VpAdmissionReason reason);
