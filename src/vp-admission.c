#include "vp-admission.h"

#include <string.h>

/* Sums older than this say nothing any more, and all jobs are accepted. */
#define VP_ADMISSION_STALE_MS 1000
/* Beginning of the second range of times. Each following one begins at 1.5 or 1.33 times the
 * beginning of the one before. */
#define VP_ADMISSION_EDGE_MS 100
/* Share of the waiting work that counts as certain: forecasts and speeds of workers are off by a
 * factor, and work that waits for advice lets later work pass. */
#define VP_ADMISSION_CERTAINTY 0.5
/* Bounds and steps of its adaptation: it falls if more than VP_ADMISSION_TOO_SOON of the accepted
 * jobs end before their earliest possible end, and rises slowly otherwise. */
#define VP_ADMISSION_CERTAINTY_MIN  0.1
#define VP_ADMISSION_CERTAINTY_FALL 0.8
#define VP_ADMISSION_CERTAINTY_RISE 1.02
#define VP_ADMISSION_TOO_SOON       0.01
/* Ended jobs between two adaptations. */
#define VP_ADMISSION_RESULTS_MIN 50
/* Number of rejections after which a caller is accepted. Callers try up to four times. */
#define VP_ADMISSION_TRIES_MAX 2
/* Bounds of the delay after which rejected callers should retry, before it is spread by a half in
 * either direction. */
#define VP_ADMISSION_RETRY_MIN_MS 1000
#define VP_ADMISSION_RETRY_MAX_MS 8000
/* Share of the capacity at which the backlog is taken to fall at least. */
#define VP_ADMISSION_FALL_SHARE 0.1
/* Weight of each update in the moving average of the rate at which the backlog falls. */
#define VP_ADMISSION_FALL_WEIGHT 0.1
/* A rejected caller is remembered for this long after its last try, and at most so many are. */
#define VP_ADMISSION_CALLER_RETENTION_MS 60000
#define VP_ADMISSION_CALLERS_MAX         16384
/* Interval between searches for callers to forget. */
#define VP_ADMISSION_CALLER_SWEEP_MS 10000

/* A caller whose job was rejected. */
typedef struct {
  int64_t first_ms;
  int64_t last_ms;
  uint32_t tries;
} VpAdmissionCaller;

/* Backlog of a service over time. */
typedef struct {
  double work;      /* waiting work at the last update */
  double fall_rate; /* moving average of its decrease, in work a ms; negative while it grows */
} VpAdmissionBacklog;

struct _VpAdmission {
  VpAdmissionSums sums;
  int64_t updated_ms;   /* 0: never */
  GHashTable *callers;  /* job id -> VpAdmissionCaller */
  GHashTable *backlogs; /* service -> VpAdmissionBacklog */
  int64_t callers_swept_ms;
  double certainty;
  VpAdmissionResults adapted; /* results at the last adaptation */
};

static void
_vp_admission_service_clear (gpointer data)
{
  g_free (((VpAdmissionService *)data)->name);
}

static void
_vp_admission_team_clear (gpointer data)
{
  g_free (((VpAdmissionTeam *)data)->name);
}

void
vp_admission_sums_setup (VpAdmissionSums *sums)
{
  memset (sums, 0, sizeof *sums);
  sums->services = g_array_new (FALSE, FALSE, sizeof (VpAdmissionService));
  g_array_set_clear_func (sums->services, _vp_admission_service_clear);
  sums->teams = g_array_new (FALSE, FALSE, sizeof (VpAdmissionTeam));
  g_array_set_clear_func (sums->teams, _vp_admission_team_clear);
}

void
vp_admission_sums_clear (VpAdmissionSums *sums)
{
  g_clear_pointer (&sums->services, g_array_unref);
  g_clear_pointer (&sums->teams, g_array_unref);
}

VpAdmission *
vp_admission_setup (void)
{
  VpAdmission *admission = g_new0 (VpAdmission, 1);

  vp_admission_sums_setup (&admission->sums);
  admission->callers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  admission->backlogs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  admission->certainty = VP_ADMISSION_CERTAINTY;
  return admission;
}

void
vp_admission_shutdown (VpAdmission *admission)
{
  vp_admission_sums_clear (&admission->sums);
  g_hash_table_unref (admission->callers);
  g_hash_table_unref (admission->backlogs);
  g_free (admission);
}

uint32_t
vp_admission_rank (bool is_urgent, bool is_over_rate)
{
  return (is_urgent ? 0 : 2) + (is_over_rate ? 1 : 0);
}

int64_t
vp_admission_edge_ms (uint32_t range)
{
  int64_t edge_ms;

  if (range == 0)
    return 0;
  edge_ms = (int64_t)VP_ADMISSION_EDGE_MS << ((range - 1) / 2);
  return range % 2 == 1 ? edge_ms : edge_ms + edge_ms / 2;
}

/* Returns the last range that begins at or before @time_ms. */
static uint32_t
_vp_admission_range (int64_t time_ms)
{
  uint32_t range = 0;

  while (range + 1 < VP_ADMISSION_RANGES && vp_admission_edge_ms (range + 1) <= time_ms)
    range++;
  return range;
}

VpAdmissionService *
vp_admission_sums_service (VpAdmissionSums *sums, const char *name)
{
  VpAdmissionService *service;

  for (guint i = 0; i < sums->services->len; i++) {
    VpAdmissionService *known = &g_array_index (sums->services, VpAdmissionService, i);
    if (strcmp (known->name, name) == 0)
      return known;
  }
  g_array_set_size (sums->services, sums->services->len + 1);
  service = &g_array_index (sums->services, VpAdmissionService, sums->services->len - 1);
  *service = (VpAdmissionService){ .name = g_strdup (name) };
  return service;
}

VpAdmissionTeam *
vp_admission_sums_team (VpAdmissionSums *sums, const char *name)
{
  VpAdmissionTeam *team;

  for (guint i = 0; i < sums->teams->len; i++) {
    VpAdmissionTeam *known = &g_array_index (sums->teams, VpAdmissionTeam, i);
    if (strcmp (known->name, name) == 0)
      return known;
  }
  g_array_set_size (sums->teams, sums->teams->len + 1);
  team = &g_array_index (sums->teams, VpAdmissionTeam, sums->teams->len - 1);
  *team = (VpAdmissionTeam){ .name = g_strdup (name) };
  return team;
}

void
vp_admission_add_running (double *busy, double capacity, int64_t remaining_ms)
{
  busy[_vp_admission_range (remaining_ms)] += capacity;
}

void
vp_admission_add_waiting (VpAdmissionService *service,
                          uint32_t rank,
                          double work,
                          int64_t valuable_ms)
{
  service->waiting[rank][_vp_admission_range (valuable_ms)] += work;
}

/* Updates. */

static void
_vp_admission_forget_callers (VpAdmission *admission, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer caller;

  if (now_ms - admission->callers_swept_ms < VP_ADMISSION_CALLER_SWEEP_MS)
    return;
  admission->callers_swept_ms = now_ms;
  g_hash_table_iter_init (&iter, admission->callers);
  while (g_hash_table_iter_next (&iter, NULL, &caller)) {
    if (now_ms - ((const VpAdmissionCaller *)caller)->last_ms > VP_ADMISSION_CALLER_RETENTION_MS)
      g_hash_table_iter_remove (&iter);
  }
}

/* Lets less work count as certain if jobs have ended before their earliest possible end. */
static void
_vp_admission_adapt (VpAdmission *admission, const VpAdmissionResults *results)
{
  uint32_t ended = results->ended - admission->adapted.ended;
  uint32_t too_soon = results->too_soon - admission->adapted.too_soon;

  if (ended < VP_ADMISSION_RESULTS_MIN)
    return;
  admission->certainty *= too_soon > VP_ADMISSION_TOO_SOON * ended ? VP_ADMISSION_CERTAINTY_FALL
                                                                   : VP_ADMISSION_CERTAINTY_RISE;
  admission->certainty
      = CLAMP (admission->certainty, VP_ADMISSION_CERTAINTY_MIN, VP_ADMISSION_CERTAINTY);
  admission->adapted = *results;
}

static double
_vp_admission_backlog (const VpAdmissionService *service)
{
  double work = 0;

  for (uint32_t r = 0; r < VP_ADMISSION_RANKS; r++) {
    for (uint32_t k = 0; k < VP_ADMISSION_RANGES; k++)
      work += service->waiting[r][k];
  }
  return work;
}

/* Measures the rates at which the backlogs fall. Only services with workers have one. */
static void
_vp_admission_measure_backlogs (VpAdmission *admission, const VpAdmissionSums *sums, int64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - admission->updated_ms);

  for (guint i = 0; i < sums->services->len; i++) {
    const VpAdmissionService *service = &g_array_index (sums->services, VpAdmissionService, i);
    VpAdmissionBacklog *backlog = g_hash_table_lookup (admission->backlogs, service->name);
    double work = _vp_admission_backlog (service);
    if (backlog == NULL) {
      backlog = g_new0 (VpAdmissionBacklog, 1);
      backlog->work = work;
      g_hash_table_insert (admission->backlogs, g_strdup (service->name), backlog);
      continue;
    }
    if (elapsed_ms > 0 && elapsed_ms < VP_ADMISSION_STALE_MS)
      backlog->fall_rate
          += VP_ADMISSION_FALL_WEIGHT * ((backlog->work - work) / elapsed_ms - backlog->fall_rate);
    backlog->work = work;
  }
}

void
vp_admission_update (VpAdmission *admission, VpAdmissionSums *sums, int64_t now_ms)
{
  _vp_admission_measure_backlogs (admission, sums, now_ms);
  _vp_admission_adapt (admission, &sums->results);
  _vp_admission_forget_callers (admission, now_ms);
  vp_admission_sums_clear (&admission->sums);
  admission->sums = *sums;
  memset (sums, 0, sizeof *sums);
  admission->updated_ms = now_ms;
}

/* Decisions. */

/* Returns the work that can be done until @time_ms from now beside the tasks that run. Their
 * remaining times are lower bounds already. */
static double
_vp_admission_available (const VpAdmission *admission,
                         double capacity,
                         const double *busy,
                         double time_ms)
{
  double share = admission->certainty / VP_ADMISSION_CERTAINTY;
  double work = capacity * time_ms;

  for (uint32_t k = 0; k < VP_ADMISSION_RANGES; k++)
    work -= busy[k] * MIN ((double)vp_admission_edge_ms (k) * share, time_ms);
  return MAX (work, 0);
}

/* State of the bound at increasing times. */
typedef struct {
  const VpAdmissionService *service;
  double waiting[VP_ADMISSION_RANGES]; /* work of higher ranks with value until the range begins */
  uint32_t next;                       /* first range that hasn't been applied */
  double taken;                        /* work of higher ranks that is certainly done first */
} VpAdmissionBound;

static void
_vp_admission_bound_setup (const VpAdmission *admission,
                           const VpAdmissionService *service,
                           uint32_t rank,
                           VpAdmissionBound *bound)
{
  *bound = (VpAdmissionBound){ .service = service };
  for (uint32_t k = VP_ADMISSION_RANGES; k-- > 0;) {
    for (uint32_t r = 0; r < rank; r++)
      bound->waiting[k] += service->waiting[r][k] * admission->certainty;
    bound->waiting[k] += k + 1 < VP_ADMISSION_RANGES ? bound->waiting[k + 1] : 0;
  }
}

/* Returns the work that a job can get done until @time_ms from now, at most. Must be called with
 * increasing times. Work of higher ranks that has value until a time is either done by then, or has
 * taken all capacity until then. */
static double
_vp_admission_left (const VpAdmission *admission, VpAdmissionBound *bound, double time_ms)
{
  const VpAdmissionService *service = bound->service;
  double available, until;

  for (; bound->next < VP_ADMISSION_RANGES && (double)vp_admission_edge_ms (bound->next) <= time_ms;
       bound->next++) {
    available = _vp_admission_available (admission, service->capacity, service->busy,
                                         (double)vp_admission_edge_ms (bound->next));
    bound->taken = MAX (bound->taken, MIN (available, bound->waiting[bound->next]));
  }
  available = _vp_admission_available (admission, service->capacity, service->busy, time_ms);
  until = bound->next < VP_ADMISSION_RANGES ? bound->waiting[bound->next] : 0;
  return available - MAX (bound->taken, MIN (available, until));
}

/* Returns the beginning of the last range before which the job certainly can't end, from now. */
static int64_t
_vp_admission_earliest_ms (const VpAdmission *admission,
                           const VpAdmissionService *service,
                           const VpAdmissionRequest *request)
{
  VpAdmissionBound bound;
  int64_t earliest_ms = 0;

  _vp_admission_bound_setup (admission, service, request->rank, &bound);
  for (uint32_t k = 1; k < VP_ADMISSION_RANGES; k++) {
    int64_t edge_ms = vp_admission_edge_ms (k);
    if (_vp_admission_left (admission, &bound, (double)edge_ms)
        >= request->work * admission->certainty)
      break;
    earliest_ms = edge_ms;
  }
  return earliest_ms;
}

static int64_t
_vp_admission_expected_ms (const VpAdmissionService *service, const VpAdmissionRequest *request)
{
  double ahead = service->in_time[request->rank];

  for (uint32_t r = 0; r < request->rank; r++) {
    for (uint32_t k = 0; k < VP_ADMISSION_RANGES; k++)
      ahead += service->waiting[r][k];
  }
  return (int64_t)(ahead / MAX (service->capacity, 1)) + request->chain_ms;
}

static bool
_vp_admission_is_free (const VpAdmissionService *service, const VpResources *size)
{
  return vp_resources_fits (size, &service->free) && vp_resources_fits (size, &service->free_max);
}

/* Returns the delay for a caller whose job lacks @missing work. */
static int64_t
_vp_admission_retry_ms (const VpAdmission *admission,
                        const VpAdmissionRequest *request,
                        double capacity,
                        double missing,
                        uint32_t tries)
{
  const VpAdmissionBacklog *backlog = g_hash_table_lookup (admission->backlogs, request->service);
  double rate = MAX (backlog == NULL ? 0 : backlog->fall_rate, VP_ADMISSION_FALL_SHARE * capacity);
  double delay_ms
      = CLAMP (missing / MAX (rate, 1), VP_ADMISSION_RETRY_MIN_MS, VP_ADMISSION_RETRY_MAX_MS);
  uint64_t drawn = (request->job + tries + 1) * UINT64_C (0x9e3779b97f4a7c15);

  /* The same for each repetition of the request, and evenly spread over callers. */
  return (int64_t)(delay_ms * (0.5 + (double)(drawn >> 40) / (double)(1 << 24)));
}

/* Sets @missing to the work that the job lacks in its time. Returns true if that rules out an end
 * while its result has value. */
static bool
_vp_admission_is_ruled_out (const VpAdmission *admission,
                            const VpAdmissionService *service,
                            const VpAdmissionRequest *request,
                            int64_t left_ms,
                            double *missing)
{
  VpAdmissionBound bound;

  _vp_admission_bound_setup (admission, service, request->rank, &bound);
  *missing = request->work * admission->certainty
             - _vp_admission_left (admission, &bound, (double)MAX (left_ms, 0));
  return *missing > 0;
}

/* The same for the cap of its team. */
static bool
_vp_admission_is_over_cap (const VpAdmission *admission,
                           const VpAdmissionRequest *request,
                           int64_t left_ms,
                           double *missing)
{
  for (guint i = 0; i < admission->sums.teams->len; i++) {
    const VpAdmissionTeam *team = &g_array_index (admission->sums.teams, VpAdmissionTeam, i);
    if (strcmp (team->name, request->team) != 0)
      continue;
    *missing = request->work * admission->certainty
               - _vp_admission_available (admission, team->capacity, team->busy,
                                          (double)MAX (left_ms, 0));
    return team->capacity > 0 && *missing > 0;
  }
  return false;
}

static const VpAdmissionService *
_vp_admission_find_service (const VpAdmission *admission, const char *name)
{
  for (guint i = 0; i < admission->sums.services->len; i++) {
    const VpAdmissionService *service
        = &g_array_index (admission->sums.services, VpAdmissionService, i);
    if (strcmp (service->name, name) == 0)
      return service;
  }
  return NULL;
}

/* Decides without regard to earlier tries, except for the time of the first one in
 * @out->arrived_ms. */
static void
_vp_admission_judge (const VpAdmission *admission,
                     const VpAdmissionRequest *request,
                     int64_t now_ms,
                     VpAdmissionDecision *out)
{
  const VpAdmissionService *service = _vp_admission_find_service (admission, request->service);
  int64_t left_ms = out->arrived_ms + request->limit_ms - now_ms;
  double missing;

  out->is_accepted = true;
  out->reason = VP_ADMISSION_UNKNOWN;
  if (request->is_unlimited || admission->updated_ms == 0
      || now_ms - admission->updated_ms > VP_ADMISSION_STALE_MS || service == NULL
      || service->capacity <= 0)
    return;
  out->expected_end_ms = now_ms + _vp_admission_expected_ms (service, request);
  out->reason = VP_ADMISSION_FREE;
  if (_vp_admission_is_free (service, &request->size))
    return;
  out->reason = VP_ADMISSION_POSSIBLE;
  out->earliest_end_ms = now_ms + _vp_admission_earliest_ms (admission, service, request);
  if (_vp_admission_is_ruled_out (admission, service, request, left_ms, &missing)) {
    out->is_accepted = false;
    out->reason = VP_ADMISSION_OVERLOAD;
  } else if (_vp_admission_is_over_cap (admission, request, left_ms, &missing)) {
    out->is_accepted = false;
    out->reason = VP_ADMISSION_TEAM_CAP;
  }
  if (!out->is_accepted)
    out->retry_ms
        = _vp_admission_retry_ms (admission, request, service->capacity, missing, out->tries);
}

static void
_vp_admission_remember (VpAdmission *admission,
                        VpAdmissionCaller *caller,
                        uint64_t job,
                        int64_t now_ms)
{
  if (caller == NULL) {
    caller = g_new0 (VpAdmissionCaller, 1);
    caller->first_ms = now_ms;
    g_hash_table_insert (admission->callers, g_memdup2 (&job, sizeof job), caller);
  }
  caller->last_ms = now_ms;
  caller->tries++;
}

void
vp_admission_decide (VpAdmission *admission,
                     const VpAdmissionRequest *request,
                     int64_t now_ms,
                     VpAdmissionDecision *out)
{
  VpAdmissionCaller *caller = g_hash_table_lookup (admission->callers, &request->job);

  *out = (VpAdmissionDecision){ .arrived_ms = caller == NULL ? now_ms : caller->first_ms,
                                .tries = caller == NULL ? 0 : caller->tries };
  _vp_admission_judge (admission, request, now_ms, out);
  if (!out->is_accepted
      && (out->tries >= VP_ADMISSION_TRIES_MAX
          || (caller == NULL
              && g_hash_table_size (admission->callers) >= VP_ADMISSION_CALLERS_MAX))) {
    out->is_accepted = true;
    out->reason = caller == NULL ? VP_ADMISSION_UNKNOWN : VP_ADMISSION_RETURNED;
    out->retry_ms = 0;
  }
  if (!out->is_accepted)
    _vp_admission_remember (admission, caller, request->job, now_ms);
  else if (caller != NULL)
    g_hash_table_remove (admission->callers, &request->job);
}

double
vp_admission_certainty (const VpAdmission *admission)
{
  return admission->certainty;
}

const char *
vp_admission_reason_token (VpAdmissionReason reason)
{
  static const char *const tokens[VP_ADMISSION_REASON_COUNT]
      = { "unknown", "free", "possible", "returned", "overload", "team-cap" };

  return tokens[reason];
}
