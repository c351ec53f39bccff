/* State of the scheduler, shared by its files. Not part of the interface.
 *
 *   vp-sched.c          setup, configuration, submit, cancel, decide
 *   vp-sched-queue.c    order of waiting work: heaps, classes, shapes
 *   vp-sched-place.c    placement in order of bands and shares
 *   vp-sched-run.c      running members: commitment, end, retry, stop
 *   vp-sched-worker.c   workers and their health
 *   vp-sched-preempt.c  reservations, preemption, lowered grants
 *   vp-sched-status.c     views, sums and the self-check
 *
 * Waiting jobs of one team, profile and shape (rounded size) form a class, ordered by key. A class
 * is ready (in its team's order), unfit (waits at its shape until a worker has more room) or over
 * the grant (waits at its team until the team uses less or has a higher grant). So a call only
 * looks at the heads of ready classes, never at all waiting work.
 */
#pragma once

#include "vp-capacity-index.h"
#include "vp-sched.h"

#define VP_SCHED_URGENT_PRIORITY 100
/* Priority only moves work ahead within its team by this much waiting time for each point, so
 * work of low priority overtakes newer work of higher priority and does not starve. */
#define VP_SCHED_ADVANCE_MS_PER_PRIORITY 600
/* Work that was first in order and did not fit for this long gets workers reserved. */
#define VP_SCHED_RESERVE_AFTER_MS 10000
/* A reservation that can't be filled is given up after this, and the next work gets its turn. */
#define VP_SCHED_RESERVE_HOLD_MS 60000
/* Reservations of urgent work and of teams below their share end after this. */
#define VP_SCHED_PREEMPT_HOLD_MS 5000
/* Work of a team below its share waits this long for a regular end before it preempts. */
#define VP_SCHED_SHARE_PREEMPT_AFTER_MS  1000
#define VP_SCHED_STARVATION_SCAN_MS      250 /* between searches for starving work */
#define VP_SCHED_URGENT_RESERVATIONS_MAX 64  /* bounds preemption for urgent work */
#define VP_SCHED_SHARE_RESERVATIONS_MAX  8   /* bounds preemption for shares */
#define VP_SCHED_PREEMPT_WORKERS_MAX     512 /* workers looked at for one preemption */
#define VP_SCHED_PREEMPT_VICTIMS_MAX     8   /* tasks preempted for one task */
#define VP_SCHED_PREEMPT_OWN_TEAM_MAX                                                              \
  16 /* urgent tasks for which a team's own tasks go at a time */
/* A task that has run for less is not preempted for shares, so that work can't be moved in turns
 * without progress. */
#define VP_SCHED_PREEMPT_MIN_RUN_MS 2000
/* Work at the front of its team that the grant had no room for this long stops later work of the
 * team from passing it. */
#define VP_SCHED_GRANT_BLOCK_AFTER_MS 10000
/* While work that needs accelerators waits for room, other work leaves workers with free
 * accelerators alone; given up when none of the former was placed for this long. */
#define VP_SCHED_ACCEL_RESERVE_MS        20000
#define VP_SCHED_GANG_RETRY_MS           100 /* trying a large gang costs a pick for each member */
#define VP_SCHED_STOP_RESEND_MS          2000
#define VP_SCHED_RETRY_DELAY_MS          500 /* delay of the second try; doubles with each more */
#define VP_SCHED_RETRY_DELAY_MAX_MS      30000
#define VP_SCHED_REFUSAL_PAUSE_MS        100 /* a worker that refused gets no work for this; doubles */
#define VP_SCHED_REFUSAL_PAUSE_MAX_MS    8000
#define VP_SCHED_PROBATION_DOUBLINGS_MAX 4 /* probation doubles at most this often */
#define VP_SCHED_WORKER_FAILURES_MAX     8 /* jobs remembered that failed on a worker */
#define VP_SCHED_FAILED_WORKERS_MAX      4 /* workers remembered on which a job failed */
/* Starts of a class are counted in windows of this length, to estimate waiting times. */
#define VP_SCHED_START_WINDOW_MS 5000
/* Work is refused early if its expected wait is this many times what it allows. */
#define VP_SCHED_LATE_WAIT_FACTOR      2
#define VP_SCHED_QUEUE_MAX_DEFAULT     1000
#define VP_SCHED_TRIES_MAX_DEFAULT     3
#define VP_SCHED_TASK_LEASE_DEFAULT_MS 60000
#define VP_HEAP_NONE                   UINT32_MAX

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
  uint64_t tie;
  void *item;
} VpHeapItem;

/* Binary heap whose items hold their own index, a uint32_t at @offset. */
typedef struct {
  VpHeapItem *items;
  uint32_t count;
  uint32_t capacity;
  size_t offset;
} VpHeap;

enum { VP_BAND_URGENT, VP_BAND_NORMAL, VP_BAND_COUNT };

struct _VpProfileState {
  VpProfile profile;
  bool is_configured;
};

struct _VpTeamState {
  char name[VP_NAME_MAX];
  bool is_configured;
  int64_t share;
  VpSize limit;
  uint32_t queue_max;
  VpSize grant;
  VpSize used;
  VpSize stopping; /* part of @used that is asked to stop */
  VpSize waiting;
  uint32_t running_count;
  uint32_t waiting_count;
  double weighted_usage;               /* dominant part of the DC in use, divided by the share */
  GHashTable *classes;                 /* VpJobClass by itself */
  VpHeap ready_classes[VP_BAND_COUNT]; /* ready classes by the key of their first job */
  VpJobClass *over_grant_classes;      /* list of classes that wait for the grant */
  VpJob *blocking_job; /* waits for the grant; later work of the team may not pass it */
  VpMember *members;   /* committed, newest first */
};

typedef struct {
  uint32_t cpu;
  uint32_t mem;
  uint32_t accel;
  uint32_t gang; /* members of a gang; 0: placed one by one */
} VpShapeKey;

/* Sizes that are equal up to a quarter of a power of two. */
struct _VpShape {
  VpShapeKey key;
  VpSize min_size; /* smallest size of this shape */
  uint32_t ref_count;
  uint32_t blocked_index;      /* VP_HEAP_NONE: it is not known to be unfit */
  VpSize failed_size;          /* of the last work that did not fit */
  int64_t retry_ms;            /* gangs are not tried again before this */
  bool has_freed_capacity;     /* room appeared before @retry_ms */
  VpJobClass *waiting_classes; /* list of unfit classes */
};

typedef enum {
  VP_CLASS_EMPTY,
  VP_CLASS_READY,
  VP_CLASS_NO_CAPACITY,
  VP_CLASS_OVER_GRANT
} VpJobClassState;

struct _VpJobClass {
  VpTeamState *team;
  VpProfileState *profile;
  VpShape *shape;
  VpHeap queue; /* VpJob by key */
  VpJobClassState state;
  uint32_t band;
  uint32_t ready_index;
  int64_t window_start_ms;  /* begin of the present window of starts; 0: none yet */
  uint32_t window_starts;   /* in the present window */
  uint32_t previous_starts; /* in the one before */
  bool has_previous_window;
  VpJobClass *next; /* in the list that it waits in */
  VpJobClass *previous;
};

typedef enum {
  VP_STOP_NONE,
  VP_STOP_CANCEL,
  VP_STOP_RUN_TIME,
  VP_STOP_GRANT,   /* the team's grant was lowered */
  VP_STOP_JOB,     /* another member ended the job or restarts the gang */
  VP_STOP_PREEMPT, /* for other work */
} VpStopReason;

struct _VpMember {
  VpJob *job;
  VpWorkerState *worker; /* NULL: not committed */
  uint32_t index;
  uint32_t attempt; /* last one used */
  uint32_t tries;   /* that ended without success */
  uint8_t state;    /* VpTaskState */
  uint8_t stop;     /* VpStopReason */
  bool is_checkpoint;
  bool is_probe;
  uint32_t run_time_index; /* in limits */
  uint32_t stop_index;     /* in stops */
  int64_t started_ms;
  VpSize measured_usage;
  VpMember *next_of_worker;
  VpMember *previous_of_worker;
  VpMember *next_of_team;
  VpMember *previous_of_team;
};

typedef enum {
  VP_WAIT_NONE,         /* no member waits */
  VP_WAIT_QUEUE,        /* in its class */
  VP_WAIT_RETRY_DELAY,  /* until the delay before another try is over */
  VP_WAIT_RESERVATION,  /* has a reservation */
  VP_WAIT_GANG_RESTART, /* a gang whose last members have to end first */
} VpWait;

/* A worker on which a job failed; another one may have its number in the index by now. */
typedef struct {
  uint32_t index_id;
  uint64_t incarnation;
} VpFailedWorker;

struct _VpJob {
  VpTaskId id;
  VpTeamState *team;
  VpProfileState *profile;
  VpJobClass *class; /* WAIT_QUEUE */
  VpReservation *reservation;
  VpSize size;
  uint32_t member_count;
  uint32_t queued_count;
  uint32_t running_count; /* committed */
  uint32_t done_count;
  VpWait wait;
  VpTaskState final_state; /* NONE, or what it will be once no member runs */
  VpReason reason;         /* of @final */
  bool is_repeatable;
  bool is_gang;
  bool has_run;
  int64_t arrived_ms;
  int64_t start_by_ms;
  int64_t blocked_since_ms; /* since when it was first in order and did not fit; 0: it was not */
  int64_t key;
  uint64_t sequence;
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
  VP_HEALTH_PROBE_DUE,     /* may get one task */
  VP_HEALTH_PROBE_RUNNING, /* has it */
} VpHealth;

struct _VpWorkerState {
  char name[VP_NAME_MAX];
  VpSize size;
  VpSize used;
  uint64_t incarnation; /* differs for each worker that ever was */
  uint64_t generation;
  uint32_t index_id;
  uint32_t rack;
  uint32_t slot_count;
  uint32_t running_count;
  uint32_t index; /* in workers */
  bool is_known;  /* false: only known from adopted members */
  bool is_ready;
  bool is_reachable;
  bool is_leaving;
  bool has_freed_capacity;   /* has more room than at the last decide */
  bool is_in_totals;         /* in the totals */
  bool may_be_overcommitted; /* adopted members or a smaller size may exceed its size */
  VpHealth health;
  uint32_t probation_count;
  int64_t unreachable_since_ms;
  int64_t probation_until_ms; /* end of probation */
  int64_t paused_until_ms;    /* end of the pause after a refused start */
  uint32_t refusal_count;
  uint32_t timer_index;
  VpTaskId failures[VP_SCHED_WORKER_FAILURES_MAX];
  uint32_t failure_count;
  VpReservation *reservation;
  VpMember *members;
};

typedef enum {
  VP_RESERVATION_STARVING,
  VP_RESERVATION_URGENT,
  VP_RESERVATION_SHARE,
  VP_RESERVATION_KIND_COUNT
} VpReservationKind;

struct _VpReservation {
  VpReservationKind kind;
  VpJob *job;
  GPtrArray *workers;
  bool has_freed_capacity; /* a worker has more room than at the last try */
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
  GHashTable *racks;    /* name -> number + 1 */
  GPtrArray *team_list;
  GPtrArray *worker_list;
  GPtrArray *blocked_shapes; /* VpShape that are known to be unfit */
  GPtrArray *freed_workers;  /* VpWorkerState */
  GPtrArray *reservations;
  GArray *gang_picks;        /* uint32_t; scratch space */
  GArray *job_end_decisions; /* VpDecision for the next decide */
  uint32_t reservation_counts[VP_RESERVATION_KIND_COUNT];
  VpCapacityIndex *capacity;
  VpHeap deadlines;       /* VpJob by start_by */
  VpHeap retry_delays;    /* VpJob by the end of its delay */
  VpHeap run_time_limits; /* VpMember by the end of its run time */
  VpHeap pending_stops;   /* VpMember by when the stop is sent next */
  VpHeap worker_timers;   /* VpWorkerState by when it has to be looked at */
  VpSize total;
  VpSize total_used;
  uint64_t job_sequence;
  uint64_t last_incarnation;
  int64_t next_scan_ms; /* next search for starving work */
  uint32_t preempt_cursor;
  uint32_t accel_class_count; /* ready or unfit classes that need accelerators */
  int64_t accel_progress_ms;  /* when one of them came first, or was last placed */
  bool has_accel_blocked;     /* work was found unfit because accelerators are kept */
  bool may_exceed_grants;     /* a team may use more than its grant */
  bool has_more_work;         /* the last decide left something over */
  bool has_blocked_urgent;
};

/* vp-sched-queue.c */
void _vp_heap_init (VpHeap *heap, size_t offset);
void _vp_heap_clear (VpHeap *heap);
void _vp_heap_push (VpHeap *heap, void *item, int64_t key, uint64_t tie);
/* Nothing if @item is not in the heap. */
void _vp_heap_remove (VpHeap *heap, void *item);
void *_vp_heap_top (const VpHeap *heap);
int64_t _vp_heap_top_key (const VpHeap *heap);

guint _vp_shape_hash (gconstpointer key);
gboolean _vp_shape_equal (gconstpointer a, gconstpointer b);
guint _vp_class_hash (gconstpointer key);
gboolean _vp_class_equal (gconstpointer a, gconstpointer b);
void _vp_sched_class_set_state (VpSched *sched, VpJobClass *class, VpJobClassState state);
VpJob *_vp_sched_class_head (const VpJobClass *class);
/* Puts a job with waiting members into its class. */
void _vp_sched_enqueue (VpSched *sched, VpJob *job, int64_t now_ms);
/* Takes a job out of whatever it waits in. */
void _vp_sched_dequeue (VpSched *sched, VpJob *job);
void _vp_sched_shape_block (VpSched *sched, VpShape *shape, const VpSize *failed, int64_t now_ms);
void _vp_sched_shape_unblock (VpSched *sched, VpShape *shape);
/* Makes the classes ready that fit on workers with more room. True if any worker has. */
bool _vp_sched_unblock_freed (VpSched *sched, int64_t now_ms);
/* True while accelerators are kept for work that needs them. */
bool _vp_sched_are_accels_reserved (const VpSched *sched, int64_t now_ms);
/* Estimate of the time until a job that joins now is started, from the starts of the same class;
 * 0 if too little is known. */
int64_t _vp_sched_expected_wait_ms (const VpSched *sched, const VpJobSpec *job, int64_t now_ms);
void _vp_sched_count_start (VpSched *sched, VpJobClass *class, int64_t now_ms);
void _vp_sched_unblock_team (VpSched *sched, VpTeamState *team);

/* vp-sched-place.c */
/* True if the team's grant has room for @need. */
bool _vp_sched_grant_fits (const VpTeamState *team, const VpSize *need);
VpSize _vp_sched_job_need (const VpJob *job);
VpMember *_vp_sched_next_member (VpJob *job);
/* Worker on which a job failed, or NULL if it is gone. */
VpWorkerState *_vp_sched_failed_worker (const VpSched *sched, const VpFailedWorker *failed);
/* @picks are members of the same job that have a place but are not committed yet. */
uint32_t _vp_sched_pick_worker (VpSched *sched,
                                const VpJob *job,
                                const uint32_t *picks,
                                uint32_t pick_count,
                                int64_t now_ms);
/* Commits the next waiting member to a worker and appends the decision. */
void _vp_sched_start (VpSched *sched,
                      VpJob *job,
                      VpWorkerState *worker,
                      int64_t now_ms,
                      GArray *decisions);
/* True if the team's first class of the band may be placed now. */
bool _vp_sched_is_eligible (const VpTeamState *team, uint32_t band);
void _vp_sched_place_all (VpSched *sched, int64_t now_ms, GArray *decisions, uint32_t end);
void _vp_sched_update_weighted_usage (VpSched *sched, VpTeamState *team);
VpWorkerState *_vp_sched_worker_by_index_id (const VpSched *sched, uint32_t index_id);

/* vp-sched-run.c */
void _vp_sched_fill_decision (const VpMember *member, VpDecisionKind kind, VpDecision *out);
void _vp_sched_commit (VpSched *sched, VpMember *member, VpWorkerState *worker, int64_t now_ms);
void _vp_sched_release (VpSched *sched, VpMember *member, int64_t now_ms);
void _vp_sched_request_stop (VpSched *sched,
                             VpMember *member,
                             VpStopReason stop,
                             bool is_checkpoint,
                             int64_t now_ms);
void _vp_sched_set_waiting (VpSched *sched, VpMember *member, bool is_waiting);
/* Ends a job whose members no longer run; it is freed. */
void _vp_sched_job_free (VpSched *sched, VpJob *job, int64_t now_ms);
/* Lets no more member start, and stops those that run. */
void _vp_sched_job_close (VpSched *sched,
                          VpJob *job,
                          VpTaskState final_state,
                          VpReason reason,
                          VpStopReason stop,
                          int64_t now_ms);
void _vp_sched_add_job_end (VpSched *sched, VpJob *job, VpDecisionKind kind, VpReason reason);
VpTaskState _vp_sched_end_attempt (VpSched *sched,
                                   VpMember *member,
                                   VpTaskEnd end,
                                   bool is_lost,
                                   int64_t now_ms);
void _vp_sched_send_stops (VpSched *sched, int64_t now_ms, GArray *decisions, uint32_t end);

/* vp-sched-worker.c */
VpWorkerState *_vp_sched_worker (VpSched *sched, const char *name);
VpWorkerState *_vp_sched_worker_new (VpSched *sched, const char *name);
void _vp_sched_worker_free (VpSched *sched, VpWorkerState *worker);
/* Opens or closes the worker for new work and sets when to look at it again. */
void _vp_sched_worker_refresh (VpSched *sched, VpWorkerState *worker, int64_t now_ms);
void _vp_sched_worker_capacity_freed (VpSched *sched, VpWorkerState *worker);
void _vp_sched_worker_ended (VpSched *sched,
                             VpWorkerState *worker,
                             VpMember *member,
                             VpTaskEnd end,
                             bool is_lost,
                             int64_t now_ms);
bool _vp_sched_can_ever_fit (const VpSched *sched, const VpSize *size, uint32_t gang_count);

/* vp-sched-preempt.c */
void _vp_sched_reservations_run (VpSched *sched,
                                 bool has_freed_workers,
                                 int64_t now_ms,
                                 GArray *decisions,
                                 uint32_t end);
/* Gives up a reservation; its job waits in the queue again. */
void _vp_sched_reservation_free (VpSched *sched, VpReservation *reservation, int64_t now_ms);
/* Frees room for a job by checkpoints. True if its reservation was made. */
bool _vp_sched_preempt_for (VpSched *sched, VpJob *job, VpReservationKind kind, int64_t now_ms);
/* Frees some of the grant for the first jobs of an urgent class by checkpoints of its own team. */
void _vp_sched_preempt_own_team (VpSched *sched, const VpJobClass *class, int64_t now_ms);
/* Looks for work that starves: reserves workers for the oldest, preempts for shares. */
void _vp_sched_scan_starving (VpSched *sched, int64_t now_ms);
void _vp_sched_enforce_grants (VpSched *sched, int64_t now_ms);
/* Part of the DC that the team's share entitles it to, over its share. */
double _vp_sched_fair_usage (const VpSched *sched);
