/* State of the scheduler, shared by its files. Not part of the interface.
 *
 *   vp-sched.c          setup, configuration, submit, cancel, decide
 *   vp-sched-queue.c    queues of waiting jobs: heaps, job classes, shapes
 *   vp-sched-place.c    placement by priority band and fair share
 *   vp-sched-run.c      running members: commitment, end, retry, stop
 *   vp-sched-worker.c   workers and their health
 *   vp-sched-preempt.c  reservations, preemption, enforcement of grants
 *   vp-sched-status.c   status of jobs and teams, consistency check
 *
 * Waiting jobs of one team, profile and shape (rounded size) form a job class, ordered by key. A
 * class is ready (in its team's heap), without capacity (listed at its shape until a worker has
 * more free capacity) or over the grant (listed at its team until the team uses less or gets a
 * higher grant). vp_sched_decide() therefore only looks at the first jobs of ready classes, never
 * at all waiting jobs.
 */
#pragma once

#include "vp-capacity-index.h"
#include "vp-sched.h"

/* Services with at least this priority are placed first and may preempt. */
#define VP_SCHED_URGENT_PRIORITY 100
/* Each point of priority moves a job ahead of its team's other jobs by this much waiting time. An
 * old job of low priority therefore overtakes newer jobs of higher priority and does not starve. */
#define VP_SCHED_ADVANCE_MS_PER_PRIORITY 600
/* A job that was first in its class and did not fit for this long gets workers reserved. */
#define VP_SCHED_RESERVE_AFTER_MS 10000
/* A reservation for a starving job is given up after this time without progress, so that the next
 * job gets its turn. */
#define VP_SCHED_RESERVE_HOLD_MS 60000
/* Lifetime of a reservation made by preemption for an urgent job or for a team below its share. */
#define VP_SCHED_PREEMPT_HOLD_MS 5000
/* A job of a team below its share waits this long for tasks to end before it preempts. */
#define VP_SCHED_SHARE_PREEMPT_AFTER_MS 1000
/* Interval between searches for starving jobs. */
#define VP_SCHED_STARVATION_SCAN_MS 250
/* Reservations for urgent jobs that exist at a time; bounds preemption for urgent jobs. */
#define VP_SCHED_URGENT_RESERVATIONS_MAX 64
/* Reservations for teams below their share that exist at a time; bounds preemption for shares. */
#define VP_SCHED_SHARE_RESERVATIONS_MAX 8
/* Workers that are examined for one preemption. */
#define VP_SCHED_PREEMPT_WORKERS_MAX 512
/* Tasks that are preempted for one job. */
#define VP_SCHED_PREEMPT_VICTIMS_MAX 8
/* Urgent jobs for which tasks of their own team are preempted at a time. */
#define VP_SCHED_PREEMPT_OWN_TEAM_MAX 16
/* A task that has run for less is not preempted for shares. Otherwise teams could preempt each
 * other in turns and no task would make progress. */
#define VP_SCHED_PREEMPT_MIN_RUN_MS 2000
/* If the grant has no room for a team's first job for this long, later jobs of the team may no
 * longer overtake it. */
#define VP_SCHED_GRANT_BLOCK_AFTER_MS 10000
/* While jobs that need accelerators wait, other jobs are kept off workers with free accelerators.
 * This ends if no job that needs accelerators was placed for this long. */
#define VP_SCHED_ACCEL_RESERVE_MS 20000
/* A gang that did not fit is tried again at most this often, since a try searches the capacity
 * index once for each member. */
#define VP_SCHED_GANG_RETRY_MS 100
/* Interval at which a stop or checkpoint is sent again until the task has ended, since commands may
 * be lost. */
#define VP_SCHED_STOP_RESEND_MS 2000
/* Delay before the second try of a job. It doubles with each further try up to the maximum. */
#define VP_SCHED_RETRY_DELAY_MS     500
#define VP_SCHED_RETRY_DELAY_MAX_MS 30000
/* A worker that refused a start gets no work for this long. The pause doubles with each consecutive
 * refusal up to the maximum. */
#define VP_SCHED_REFUSAL_PAUSE_MS     100
#define VP_SCHED_REFUSAL_PAUSE_MAX_MS 8000
/* The length of a probation doubles with each consecutive one, at most this many times. */
#define VP_SCHED_PROBATION_DOUBLINGS_MAX 4
/* Failed jobs that are remembered for each worker. */
#define VP_SCHED_WORKER_FAILURES_MAX 8
/* Workers on which a job failed that are remembered for each job. */
#define VP_SCHED_FAILED_WORKERS_MAX 4
/* Starts of a class are counted in windows of this length, to estimate waiting times. */
#define VP_SCHED_START_WINDOW_MS 5000
/* A job is refused at submit if its expected wait is longer than this many times the wait that its
 * deadline allows. */
#define VP_SCHED_LATE_WAIT_FACTOR 2
/* Defaults for settings that the configuration leaves at 0. */
#define VP_SCHED_QUEUE_MAX_DEFAULT     1000
#define VP_SCHED_TRIES_MAX_DEFAULT     3
#define VP_SCHED_TASK_LEASE_DEFAULT_MS 60000
/* Heap index of an item that is in no heap. */
#define VP_HEAP_NONE UINT32_MAX

typedef struct _VpTeamState VpTeamState;
typedef struct _VpProfileState VpProfileState;
typedef struct _VpJobClass VpJobClass;
typedef struct _VpShape VpShape;
typedef struct _VpJob VpJob;
typedef struct _VpMember VpMember;
typedef struct _VpWorkerState VpWorkerState;
typedef struct _VpReservation VpReservation;

typedef struct {
  int64_t key;
  uint64_t tie; /* orders items that have the same key */
  void *item;
} VpHeapItem;

/* Intrusive binary min-heap. Each item stores its index in the heap, a uint32_t at @offset. */
typedef struct {
  VpHeapItem *items;
  uint32_t count;
  uint32_t capacity;
  size_t offset; /* of the index within an item, in bytes */
} VpHeap;

/* Priority bands; all classes of a lower number are placed first. */
enum { VP_BAND_URGENT, VP_BAND_NORMAL, VP_BAND_COUNT };

struct _VpProfileState {
  VpProfile profile;
  bool is_configured;
};

struct _VpTeamState {
  char name[VP_NAME_MAX];
  bool is_configured;
  int64_t share;
  VpResources limit;
  uint32_t queue_max;
  VpResources grant;
  VpResources used;
  VpResources stopping; /* part of @used whose tasks are being stopped */
  VpResources waiting;
  uint32_t running_count;
  uint32_t waiting_count;
  double weighted_usage;               /* dominant share of the DC's resources, divided by @share */
  GHashTable *classes;                 /* set of VpJobClass */
  VpHeap ready_classes[VP_BAND_COUNT]; /* VpJobClass by the key of its first job */
  VpJobClass *over_grant_classes;      /* linked list */
  VpJob *blocking_job; /* waits for the grant; later jobs of the team may not overtake it */
  VpMember *members;   /* linked list of committed members, newest first */
};

/* Sizes as rounded by _vp_sched_shape_key(). */
typedef struct {
  uint32_t cpu;
  uint32_t mem;
  uint32_t accel;
  uint32_t gang; /* number of members of a gang; 0: members are placed one by one */
} VpShapeKey;

/* A group of similar sizes: processors and memory are rounded down to a quarter of a power of
 * two, the number of accelerators is exact. */
struct _VpShape {
  VpShapeKey key;
  VpResources min_size; /* smallest size of this shape */
  uint32_t ref_count;
  uint32_t blocked_index;      /* in blocked_shapes; VP_HEAP_NONE: may fit */
  VpResources failed_size;     /* size of the last job that did not fit */
  int64_t retry_ms;            /* earliest time of the next try; only for gangs */
  bool has_freed_capacity;     /* a worker with enough free capacity was seen */
  VpJobClass *waiting_classes; /* linked list of classes without capacity */
};

typedef enum {
  VP_CLASS_EMPTY,
  VP_CLASS_READY,
  VP_CLASS_NO_CAPACITY,
  VP_CLASS_OVER_GRANT
} VpJobClassState;

/* Waiting jobs of one team, profile and shape. */
struct _VpJobClass {
  VpTeamState *team;
  VpProfileState *profile;
  VpShape *shape;
  VpHeap queue; /* VpJob by key */
  VpJobClassState state;
  uint32_t band;
  uint32_t ready_index;
  int64_t window_start_ms;  /* start of the current window */
  uint32_t window_starts;   /* starts in the current window */
  uint32_t previous_starts; /* starts in the window before */
  bool has_previous_window;
  VpJobClass *next; /* in the list of its shape or its team */
  VpJobClass *previous;
};

/* Why a running member is being stopped. */
typedef enum {
  VP_STOP_NONE,
  VP_STOP_CANCEL,
  VP_STOP_RUN_TIME,
  VP_STOP_GRANT,   /* the team uses more than its grant */
  VP_STOP_JOB,     /* another member ended the job or made the gang restart */
  VP_STOP_PREEMPT, /* preempted for another job */
} VpStopReason;

/* One task of a job. */
struct _VpMember {
  VpJob *job;
  VpWorkerState *worker; /* worker that the member is committed to; NULL: none */
  uint32_t index;
  uint32_t attempt;        /* number of the last attempt */
  uint32_t tries;          /* attempts that failed */
  uint8_t state;           /* VpTaskState */
  uint8_t stop;            /* VpStopReason */
  bool is_checkpoint;      /* the stop saves the task's progress first */
  bool is_probe;           /* first task of a worker after its probation */
  uint32_t run_time_index; /* in run_time_limits */
  uint32_t stop_index;     /* in pending_stops */
  int64_t started_ms;
  VpResources measured_usage;
  VpMember *next_of_worker;
  VpMember *previous_of_worker;
  VpMember *next_of_team;
  VpMember *previous_of_team;
};

/* Where the waiting members of a job are. */
typedef enum {
  VP_WAIT_NONE,         /* no member waits */
  VP_WAIT_QUEUE,        /* in the queue of the job's class */
  VP_WAIT_RETRY_DELAY,  /* in retry_delays */
  VP_WAIT_RESERVATION,  /* the job has a reservation */
  VP_WAIT_GANG_RESTART, /* the gang is queued once all its running members have ended */
} VpWait;

/* A worker on which a job failed. The incarnation tells whether @index_id belongs to another worker
 * by now. */
typedef struct {
  uint32_t index_id;
  uint64_t incarnation;
} VpFailedWorker;

struct _VpJob {
  VpTaskId id;
  VpTeamState *team;
  VpProfileState *profile;
  VpJobClass *class; /* only with VP_WAIT_QUEUE */
  VpReservation *reservation;
  VpResources size;
  uint32_t member_count;
  uint32_t queued_count;
  uint32_t running_count; /* committed members */
  uint32_t done_count;
  VpWait wait;
  VpTaskState final_state; /* state of the job once no member runs; NONE: still open */
  VpReason reason;         /* of @final_state */
  bool is_repeatable;
  bool is_gang;
  bool has_run;
  int64_t arrived_ms;
  int64_t start_by_ms;
  int64_t blocked_since_ms; /* when it became first in its class and did not fit; 0: not blocked */
  int64_t key;              /* order in the queue: arrival time minus the advance for priority */
  uint64_t sequence;        /* orders jobs with the same key */
  uint32_t queue_index;
  uint32_t deadline_index;
  uint32_t delay_index;
  uint32_t refused_start_count;
  VpFailedWorker failed_workers[VP_SCHED_FAILED_WORKERS_MAX];
  uint32_t failed_worker_count;
  VpMember members[];
};

typedef enum {
  VP_HEALTH_GOOD,
  VP_HEALTH_PROBATION,
  VP_HEALTH_PROBE_DUE,     /* probation is over; may get one task */
  VP_HEALTH_PROBE_RUNNING, /* runs that task; its end decides */
} VpHealth;

struct _VpWorkerState {
  char name[VP_NAME_MAX];
  VpResources capacity;
  VpResources used;
  uint64_t incarnation; /* unique among all workers that ever existed */
  uint64_t generation;
  uint32_t index_id;
  uint32_t rack;
  uint32_t slot_count;
  uint32_t running_count;
  uint32_t index;
  bool is_known; /* false: not in the VM list, only known from adopted members */
  bool is_ready; /* the tasks that run on the worker are known */
  bool is_reachable;
  bool is_leaving;
  bool has_freed_capacity;   /* has more free capacity than at the last decide */
  bool is_in_totals;         /* counts in sched->total */
  bool may_be_overcommitted; /* by adopted members, or since its capacity was reduced */
  VpHealth health;
  uint32_t probation_count;
  int64_t unreachable_since_ms;
  int64_t probation_until_ms;
  int64_t paused_until_ms; /* gets no work before this, after a refused start */
  uint32_t refusal_count;
  uint32_t timer_index;
  VpTaskId failures[VP_SCHED_WORKER_FAILURES_MAX]; /* jobs that failed on it */
  uint32_t failure_count;
  VpReservation *reservation;
  VpMember *members;
};

/* What a reservation was made for. */
typedef enum {
  VP_RESERVATION_STARVING, /* the job that has not fit for the longest time */
  VP_RESERVATION_URGENT,   /* an urgent job, by preemption */
  VP_RESERVATION_SHARE,    /* a job of a team below its share, by preemption */
  VP_RESERVATION_KIND_COUNT
} VpReservationKind;

/* Workers that are closed for all jobs but one. */
struct _VpReservation {
  VpReservationKind kind;
  VpJob *job;
  GPtrArray *workers;
  bool has_freed_capacity; /* a worker has more free capacity than at the last try */
  bool was_tried;
  int64_t expires_ms;
};

struct _VpSched {
  VpSchedDesc desc;
  VpConfig *config;
  GHashTable *jobs;     /* VpTaskId -> VpJob */
  GHashTable *teams;    /* name -> VpTeamState */
  GHashTable *profiles; /* name -> VpProfileState */
  GHashTable *workers;  /* name -> VpWorkerState */
  GHashTable *shapes;   /* VpShapeKey -> VpShape */
  GHashTable *racks;    /* name -> rack number + 1 */
  GPtrArray *team_list;
  GPtrArray *worker_list;
  GPtrArray *blocked_shapes; /* VpShape that fits no worker */
  GPtrArray *freed_workers;  /* VpWorkerState with more free capacity since the last decide */
  GPtrArray *reservations;   /* VpReservation */
  GArray *gang_picks;        /* uint32_t; scratch space of _vp_sched_place_gang() */
  GArray *job_end_decisions; /* VpDecision of ended jobs, returned by the next decide */
  uint32_t reservation_counts[VP_RESERVATION_KIND_COUNT];
  VpCapacityIndex *capacity;
  VpHeap deadlines;       /* VpJob by start_by_ms */
  VpHeap retry_delays;    /* VpJob by the end of its delay */
  VpHeap run_time_limits; /* VpMember by the end of its run time */
  VpHeap pending_stops;   /* VpMember by the next time its stop is sent */
  VpHeap worker_timers;   /* VpWorkerState by its next change of state */
  VpResources total;      /* capacity of the workers that are ready and reachable */
  VpResources total_used; /* committed on these workers */
  uint64_t job_sequence;
  uint64_t last_incarnation;
  int64_t next_scan_ms;       /* time of the next search for starving jobs */
  uint32_t preempt_cursor;    /* in worker_list; where the last search for victims ended */
  uint32_t accel_class_count; /* classes that need accelerators and are ready or without capacity */
  int64_t accel_progress_ms;  /* when the first of them appeared, or a job of one was last placed */
  bool has_accel_blocked;     /* a job did not fit because accelerators are reserved */
  bool may_exceed_grants;     /* a team may use more than its grant */
  bool has_more_work;         /* the last decide reached its limit of decisions */
  bool has_blocked_urgent;    /* an urgent job did not fit and could not preempt */
};

/* vp-sched-queue.c */
void _vp_heap_init (VpHeap *heap, size_t offset);
void _vp_heap_clear (VpHeap *heap);
void _vp_heap_push (VpHeap *heap, void *item, int64_t key, uint64_t tie);
/* Has no effect if @item is not in the heap. */
void _vp_heap_remove (VpHeap *heap, void *item);
void *_vp_heap_top (const VpHeap *heap);
int64_t _vp_heap_top_key (const VpHeap *heap);

guint _vp_shape_hash (gconstpointer key);
gboolean _vp_shape_equal (gconstpointer a, gconstpointer b);
guint _vp_class_hash (gconstpointer key);
gboolean _vp_class_equal (gconstpointer a, gconstpointer b);
void _vp_sched_class_set_state (VpSched *sched, VpJobClass *class, VpJobClassState state);
VpJob *_vp_sched_class_head (const VpJobClass *class);
/* Puts a job with waiting members into the queue of its class. */
void _vp_sched_enqueue (VpSched *sched, VpJob *job, int64_t now_ms);
/* Takes a job out of its queue or its retry delay. */
void _vp_sched_dequeue (VpSched *sched, VpJob *job);
/* Marks a shape as fitting no worker; @failed is the size that did not fit. */
void
_vp_sched_shape_block (VpSched *sched, VpShape *shape, const VpResources *failed, int64_t now_ms);
/* Makes all classes of the shape ready again. */
void _vp_sched_shape_unblock (VpSched *sched, VpShape *shape);
/* Makes the classes ready that may fit on workers with freed capacity. Returns true if there are
 * such workers. */
bool _vp_sched_unblock_freed (VpSched *sched, int64_t now_ms);
/* True while accelerators are reserved for jobs that need them. */
bool _vp_sched_are_accels_reserved (const VpSched *sched, int64_t now_ms);
/* Estimates how long a job that is submitted now would wait, from the recent starts of its class;
 * 0 if there is too little data. */
int64_t _vp_sched_expected_wait_ms (const VpSched *sched, const VpJobSpec *spec, int64_t now_ms);
void _vp_sched_count_start (VpSched *sched, VpJobClass *class, int64_t now_ms);
void _vp_sched_unblock_team (VpSched *sched, VpTeamState *team);

/* vp-sched-place.c */
/* True if @need fits in the unused part of the team's grant. */
bool _vp_sched_grant_fits (const VpTeamState *team, const VpResources *need);
/* Size that has to be placed at once: all queued members of a gang, else one member. */
VpResources _vp_sched_job_need (const VpJob *job);
VpMember *_vp_sched_next_member (VpJob *job);
/* Worker on which a job failed, or NULL if it was removed. */
VpWorkerState *_vp_sched_failed_worker (const VpSched *sched, const VpFailedWorker *failed);
/* Picks a worker for the next member of a job; VP_CAPACITY_INDEX_NONE if none fits. @picks are the
 * workers picked for members of the same gang that are not committed yet. */
uint32_t _vp_sched_pick_worker (VpSched *sched,
                                const VpJob *job,
                                const uint32_t *picks,
                                uint32_t pick_count,
                                int64_t now_ms);
/* Commits the next waiting member to a worker and appends the start decision. */
void _vp_sched_start (VpSched *sched,
                      VpJob *job,
                      VpWorkerState *worker,
                      int64_t now_ms,
                      GArray *decisions);
/* True if the team's first class of the band may be placed now. */
bool _vp_sched_is_eligible (const VpTeamState *team, uint32_t band);
/* Places jobs until none fits or @decisions has @decisions_limit elements. */
void
_vp_sched_place_all (VpSched *sched, int64_t now_ms, GArray *decisions, uint32_t decisions_limit);
void _vp_sched_update_weighted_usage (VpSched *sched, VpTeamState *team);
VpWorkerState *_vp_sched_worker_by_index_id (const VpSched *sched, uint32_t index_id);

/* vp-sched-run.c */
/* Fills in a decision about a member, without its reason. */
void _vp_sched_fill_decision (const VpMember *member, VpDecisionKind kind, VpDecision *out);
/* Commits the resources of a new attempt to a worker. */
void _vp_sched_commit (VpSched *sched, VpMember *member, VpWorkerState *worker, int64_t now_ms);
/* Releases the resources of an attempt. */
void _vp_sched_release (VpSched *sched, VpMember *member, int64_t now_ms);
/* Lets the next _vp_sched_send_stops() stop a member, after a checkpoint if @is_checkpoint. Has no
 * effect if the member isn't committed or is being stopped already, but a stop without a checkpoint
 * replaces one with a checkpoint. */
void _vp_sched_request_stop (VpSched *sched,
                             VpMember *member,
                             VpStopReason stop,
                             bool is_checkpoint,
                             int64_t now_ms);
void _vp_sched_set_waiting (VpSched *sched, VpMember *member, bool is_waiting);
/* Removes and frees a job of which no member runs. */
void _vp_sched_job_free (VpSched *sched, VpJob *job, int64_t now_ms);
/* Lets no more members start and stops those that run. */
void _vp_sched_job_close (VpSched *sched,
                          VpJob *job,
                          VpTaskState final_state,
                          VpReason reason,
                          VpStopReason stop,
                          int64_t now_ms);
/* Adds a decision about an ended job to the result of the next decide. */
void _vp_sched_add_job_end (VpSched *sched, VpJob *job, VpDecisionKind kind, VpReason reason);
/* Handles the end of the running attempt of a member and returns the new state of its job. May free
 * the job. */
VpTaskState _vp_sched_end_attempt (VpSched *sched,
                                   VpMember *member,
                                   VpTaskEnd end,
                                   bool is_lost,
                                   int64_t now_ms);
void
_vp_sched_send_stops (VpSched *sched, int64_t now_ms, GArray *decisions, uint32_t decisions_limit);

/* vp-sched-worker.c */
VpWorkerState *_vp_sched_worker (VpSched *sched, const char *name);
VpWorkerState *_vp_sched_worker_new (VpSched *sched, const char *name);
void _vp_sched_worker_free (VpSched *sched, VpWorkerState *worker);
/* Opens or closes the worker for new tasks and sets its timer. */
void _vp_sched_worker_refresh (VpSched *sched, VpWorkerState *worker, int64_t now_ms);
/* Marks the worker as having more free capacity. */
void _vp_sched_worker_capacity_freed (VpSched *sched, VpWorkerState *worker);
/* Updates the health of a worker after an attempt on it ended. */
void _vp_sched_update_worker_health (VpSched *sched,
                                     VpWorkerState *worker,
                                     VpMember *member,
                                     VpTaskEnd end,
                                     bool is_lost,
                                     int64_t now_ms);
/* True if the workers are large enough for @gang_count members of @size when they are empty, or if
 * no worker is known yet. */
bool _vp_sched_can_ever_fit (const VpSched *sched, const VpResources *size, uint32_t gang_count);

/* vp-sched-preempt.c */
/* Starts jobs on their reservations and drops reservations that expired. */
void _vp_sched_reservations_run (VpSched *sched,
                                 bool has_freed_workers,
                                 int64_t now_ms,
                                 GArray *decisions,
                                 uint32_t decisions_limit);
/* Removes a reservation; its job is queued again. */
void _vp_sched_reservation_free (VpSched *sched, VpReservation *reservation, int64_t now_ms);
/* Preempts tasks on one worker and reserves the worker for the job. False if no worker is found. */
bool _vp_sched_preempt_for (VpSched *sched, VpJob *job, VpReservationKind kind, int64_t now_ms);
/* Preempts tasks of the same team, so that its grant has room for the first jobs of an urgent
 * class. */
void _vp_sched_preempt_own_team (VpSched *sched, const VpJobClass *class, int64_t now_ms);
/* Looks for starving jobs: reserves workers for the one that waits longest, and preempts for teams
 * below their share. */
void _vp_sched_scan_starving (VpSched *sched, int64_t now_ms);
/* Stops tasks of teams that use more than their grant. */
void _vp_sched_enforce_grants (VpSched *sched, int64_t now_ms);
/* Weighted usage at which all teams with jobs have their fair share of the DC. */
double _vp_sched_fair_usage (const VpSched *sched);
