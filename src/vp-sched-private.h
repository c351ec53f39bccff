/* State of the scheduler, shared by its files. Not part of the interface.
 *
 *   vp-sched.c          setup, configuration, submit, cancel, decide
 *   vp-sched-queue.c    order of waiting work: heaps, classes, shapes
 *   vp-sched-place.c    placement in order of bands and shares
 *   vp-sched-run.c      running members: commitment, end, retry, stop
 *   vp-sched-worker.c   workers and their health
 *   vp-sched-preempt.c  reservations, preemption, lowered grants
 *   vp-sched-view.c     views, sums and the self-check
 *
 * Waiting jobs of one team, profile and shape (rounded size) form a class, ordered by key. A class
 * is ready (in its team's order), unfit (waits at its shape until a worker has more room) or over
 * the grant (waits at its team until the team uses less or has a higher grant). So a call only
 * looks at the heads of ready classes, never at all waiting work.
 */
#pragma once

#include "vp-fit.h"
#include "vp-sched.h"

#define VP_SCHED_URGENT_PRIORITY 100
/* Priority only moves work ahead within its team by this much waiting time for each point, so
 * work of low priority overtakes newer work of higher priority and does not starve. */
#define VP_SCHED_AGE_MS_PER_PRIORITY 600
/* Work that was first in order and did not fit for this long gets workers reserved. */
#define VP_SCHED_RESERVE_AFTER_MS 10000
/* A reservation that can't be filled is given up after this, and the next work gets its turn. */
#define VP_SCHED_RESERVE_HOLD_MS 60000
/* Reservations of urgent work and of teams below their share end after this. */
#define VP_SCHED_PREEMPT_HOLD_MS 5000
/* Work of a team below its share waits this long for a regular end before it preempts. */
#define VP_SCHED_SHARE_PREEMPT_AFTER_MS 1000
#define VP_SCHED_SCAN_MS                250 /* between searches for starving work */
#define VP_SCHED_URGENT_RESERVATIONS    64  /* bounds preemption for urgent work */
#define VP_SCHED_SHARE_RESERVATIONS     8   /* bounds preemption for shares */
#define VP_SCHED_PREEMPT_WORKERS        512 /* workers looked at for one preemption */
#define VP_SCHED_PREEMPT_VICTIMS        8   /* tasks preempted for one task */
#define VP_SCHED_PREEMPT_OWN            16 /* urgent tasks for which a team's own tasks go at a time */
/* A task that has run for less is not preempted for shares, so that work can't be moved in turns
 * without progress. */
#define VP_SCHED_PREEMPT_MIN_RUN_MS 2000
/* Work at the front of its team that the grant had no room for this long stops later work of the
 * team from passing it. */
#define VP_SCHED_HOLD_AFTER_MS 10000
/* While work that needs accelerators waits for room, other work leaves workers with free
 * accelerators alone; given up when none of the former was placed for this long. */
#define VP_SCHED_ACCEL_GUARD_MS  20000
#define VP_SCHED_GANG_RETRY_MS   100 /* trying a large gang costs a pick for each member */
#define VP_SCHED_STOP_RESEND_MS  2000
#define VP_SCHED_RETRY_MS        500 /* delay of the second try; doubles with each more */
#define VP_SCHED_RETRY_MAX_MS    30000
#define VP_SCHED_REFUSED_MS      100 /* a worker that refused gets no work for this; doubles */
#define VP_SCHED_REFUSED_MAX_MS  8000
#define VP_SCHED_PROBATION_STEPS 4 /* probation doubles at most this often */
#define VP_SCHED_FAILURES_MAX    8 /* jobs remembered that failed on a worker */
#define VP_SCHED_FAILED_ON_MAX   4 /* workers remembered on which a job failed */
/* Starts of a class are counted in windows of this length, to estimate waiting times. */
#define VP_SCHED_WINDOW_MS 5000
/* Work is refused early if its expected wait is this many times what it allows. */
#define VP_SCHED_LATE_FACTOR   2
#define VP_SCHED_QUEUE_MAX     1000
#define VP_SCHED_TRIES_MAX     3
#define VP_SCHED_TASK_LEASE_MS 60000
#define VP_HEAP_NONE           UINT32_MAX

typedef struct _VpTeamState VpTeamState;
typedef struct _VpProfileState VpProfileState;
typedef struct _VpClass VpClass;
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

enum { VP_BAND_URGENT, VP_BAND_REST, VP_BANDS };

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
  VpResources stopping; /* part of @used that is asked to stop */
  VpResources waiting;
  uint32_t running_count;
  uint32_t waiting_count;
  double fraction;        /* dominant part of the DC in use, divided by the share */
  GHashTable *classes;    /* VpClass by itself */
  VpHeap order[VP_BANDS]; /* ready classes by the key of their first job */
  VpClass *over_grant;    /* list of classes that wait for the grant */
  VpJob *holder;          /* waits for the grant; later work of the team may not pass it */
  VpMember *members;      /* committed, newest first */
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
  VpResources lower; /* smallest size of this shape */
  uint32_t refs;
  uint32_t blocked_index; /* VP_HEAP_NONE: it is not known to be unfit */
  VpResources failed;     /* of the last work that did not fit */
  int64_t retry_ms;       /* gangs are not tried again before this */
  bool is_freed;          /* room appeared before @retry_ms */
  VpClass *waiting;       /* list of unfit classes */
};

typedef enum { VP_CLASS_EMPTY, VP_CLASS_READY, VP_CLASS_UNFIT, VP_CLASS_OVER_GRANT } VpClassState;

struct _VpClass {
  VpTeamState *team;
  VpProfileState *profile;
  VpShape *shape;
  VpHeap queue; /* VpJob by key */
  VpClassState state;
  uint32_t band;
  uint32_t order_index;
  int64_t window_ms;    /* begin of the present window of starts; 0: none yet */
  uint32_t starts;      /* in the present window */
  uint32_t last_starts; /* in the one before */
  bool has_last;
  VpClass *next; /* in the list that it waits in */
  VpClass *previous;
};

typedef enum {
  VP_STOP_NONE,
  VP_STOP_CANCEL,
  VP_STOP_RUN_TIME,
  VP_STOP_GRANT,   /* the team's grant was lowered */
  VP_STOP_JOB,     /* another member ended the job or restarts the gang */
  VP_STOP_PREEMPT, /* for other work */
} VpStop;

struct _VpMember {
  VpJob *job;
  VpWorkerState *worker; /* NULL: not committed */
  uint32_t index;
  uint32_t attempt; /* last one used */
  uint32_t tries;   /* that ended without success */
  uint8_t state;    /* VpTaskState */
  uint8_t stop;     /* VpStop */
  bool is_checkpoint;
  bool is_trial;
  uint32_t limit_index; /* in limits */
  uint32_t stop_index;  /* in stops */
  int64_t started_ms;
  VpResources measured;
  VpMember *next_of_worker;
  VpMember *previous_of_worker;
  VpMember *next_of_team;
  VpMember *previous_of_team;
};

typedef enum {
  VP_WAIT_NOT,     /* no member waits */
  VP_WAIT_QUEUE,   /* in its class */
  VP_WAIT_DELAY,   /* until the delay before another try is over */
  VP_WAIT_RESERVE, /* has a reservation */
  VP_WAIT_RESTART, /* a gang whose last members have to end first */
} VpWait;

/* A worker on which a job failed; another one may have its number in the index by now. */
typedef struct {
  uint32_t fit;
  uint64_t sequence;
} VpFailedOn;

struct _VpJob {
  VpTaskId id;
  VpTeamState *team;
  VpProfileState *profile;
  VpClass *class; /* WAIT_QUEUE */
  VpReservation *reservation;
  VpResources size;
  uint32_t member_count;
  uint32_t queued_count;
  uint32_t running_count; /* committed */
  uint32_t done_count;
  VpWait wait;
  VpTaskState final; /* NONE, or what it will be once no member runs */
  VpReason reason;   /* of @final */
  bool is_repeatable;
  bool is_gang;
  bool has_run;
  int64_t arrived_ms;
  int64_t start_by_ms;
  int64_t blocked_ms; /* since when it was first in order and did not fit; 0: it was not */
  int64_t key;
  uint64_t sequence;
  uint32_t queue_index;
  uint32_t deadline_index;
  uint32_t delay_index;
  uint32_t refused_count;
  VpFailedOn failed_on[VP_SCHED_FAILED_ON_MAX];
  uint32_t failed_on_count;
  VpMember members[];
};

typedef enum {
  VP_HEALTH_GOOD,
  VP_HEALTH_PROBATION,
  VP_HEALTH_TRIAL,         /* may get one task */
  VP_HEALTH_TRIAL_RUNNING, /* has it */
} VpHealth;

struct _VpWorkerState {
  char name[VP_NAME_MAX];
  VpResources size;
  VpResources used;
  uint64_t sequence; /* differs for each worker that ever was */
  uint64_t generation;
  uint32_t fit;
  uint32_t rack;
  uint32_t slot_count;
  uint32_t running_count;
  uint32_t index; /* in workers */
  bool is_known;  /* false: only known from adopted members */
  bool is_ready;
  bool is_reachable;
  bool is_leaving;
  bool is_dirty;    /* has more room than at the last decide */
  bool is_counted;  /* in the totals */
  bool may_be_over; /* adopted members or a smaller size may exceed its size */
  VpHealth health;
  uint32_t probations;
  int64_t unreachable_ms;
  int64_t until_ms;  /* end of probation */
  int64_t paused_ms; /* end of the pause after a refused start */
  uint32_t refusals;
  uint32_t wake_index;
  VpTaskId failures[VP_SCHED_FAILURES_MAX];
  uint32_t failure_count;
  VpReservation *reservation;
  VpMember *members;
};

typedef enum { VP_RESERVE_STARVING, VP_RESERVE_URGENT, VP_RESERVE_SHARE, VP_RESERVES } VpReserve;

struct _VpReservation {
  VpReserve kind;
  VpJob *job;
  GPtrArray *workers;
  bool is_dirty; /* a worker has more room than at the last try */
  bool is_tried;
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
  GPtrArray *blocked; /* VpShape that are known to be unfit */
  GPtrArray *dirty;   /* VpWorkerState */
  GPtrArray *reservations;
  GArray *picks;   /* uint32_t; scratch space */
  GArray *notices; /* VpDecision for the next decide */
  uint32_t reserve_counts[VP_RESERVES];
  VpFit *fit;
  VpHeap deadlines; /* VpJob by start_by */
  VpHeap delays;    /* VpJob by the end of its delay */
  VpHeap limits;    /* VpMember by the end of its run time */
  VpHeap stops;     /* VpMember by when the stop is sent next */
  VpHeap wakes;     /* VpWorkerState by when it has to be looked at */
  VpResources total;
  VpResources total_used;
  uint64_t job_sequence;
  uint64_t worker_sequence;
  int64_t scan_ms; /* next search for starving work */
  uint32_t preempt_cursor;
  uint32_t accel_classes; /* ready or unfit classes that need accelerators */
  int64_t accel_ms;       /* when one of them came first, or was last placed */
  bool has_guarded;       /* work was found unfit because accelerators are kept */
  bool are_grants_low;    /* a team may use more than its grant */
  bool is_more;           /* the last decide left something over */
  bool has_unfit_urgent;
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
void _vp_sched_class_set_state (VpSched *sched, VpClass *class, VpClassState state);
VpJob *_vp_sched_class_head (const VpClass *class);
/* Puts a job with waiting members into its class. */
void _vp_sched_enqueue (VpSched *sched, VpJob *job, int64_t now_ms);
/* Takes a job out of whatever it waits in. */
void _vp_sched_dequeue (VpSched *sched, VpJob *job);
void
_vp_sched_shape_block (VpSched *sched, VpShape *shape, const VpResources *failed, int64_t now_ms);
void _vp_sched_shape_unblock (VpSched *sched, VpShape *shape);
/* Makes the classes ready that fit on workers with more room. True if any worker has. */
bool _vp_sched_unblock_dirty (VpSched *sched, int64_t now_ms);
/* True while accelerators are kept for work that needs them. */
bool _vp_sched_is_accel_guarded (const VpSched *sched, int64_t now_ms);
/* Estimate of the time until a job that joins now is started, from the starts of the same class;
 * 0 if too little is known. */
int64_t _vp_sched_expected_wait_ms (const VpSched *sched, const VpSchedJob *job, int64_t now_ms);
void _vp_sched_count_start (VpSched *sched, VpClass *class, int64_t now_ms);
void _vp_sched_unblock_team (VpSched *sched, VpTeamState *team);

/* vp-sched-place.c */
/* True if the team's grant has room for @need. */
bool _vp_sched_grant_fits (const VpTeamState *team, const VpResources *need);
VpResources _vp_sched_job_need (const VpJob *job);
VpMember *_vp_sched_next_member (VpJob *job);
/* Worker on which a job failed, or NULL if it is gone. */
VpWorkerState *_vp_sched_failed_on (const VpSched *sched, const VpFailedOn *failed);
/* @picks are members of the same job that have a place but are not committed yet. */
uint32_t _vp_sched_pick (VpSched *sched,
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
void _vp_sched_refresh_fraction (VpSched *sched, VpTeamState *team);
VpWorkerState *_vp_sched_worker_of_fit (const VpSched *sched, uint32_t fit);

/* vp-sched-run.c */
void _vp_sched_decision (const VpMember *member, VpDecisionKind kind, VpDecision *out);
void _vp_sched_commit (VpSched *sched, VpMember *member, VpWorkerState *worker, int64_t now_ms);
void _vp_sched_release (VpSched *sched, VpMember *member, int64_t now_ms);
void
_vp_sched_stop (VpSched *sched, VpMember *member, VpStop stop, bool is_checkpoint, int64_t now_ms);
void _vp_sched_set_waiting (VpSched *sched, VpMember *member, bool is_waiting);
/* Ends a job whose members no longer run; it is freed. */
void _vp_sched_job_free (VpSched *sched, VpJob *job, int64_t now_ms);
/* Lets no more member start, and stops those that run. */
void _vp_sched_job_close (VpSched *sched,
                          VpJob *job,
                          VpTaskState final,
                          VpReason reason,
                          VpStop stop,
                          int64_t now_ms);
void _vp_sched_notice (VpSched *sched, VpJob *job, VpDecisionKind kind, VpReason reason);
VpTaskState
_vp_sched_settle (VpSched *sched, VpMember *member, VpTaskEnd end, bool is_lost, int64_t now_ms);
void _vp_sched_send_stops (VpSched *sched, int64_t now_ms, GArray *decisions, uint32_t end);

/* vp-sched-worker.c */
VpWorkerState *_vp_sched_worker (VpSched *sched, const char *name);
VpWorkerState *_vp_sched_worker_new (VpSched *sched, const char *name);
void _vp_sched_worker_free (VpSched *sched, VpWorkerState *worker);
/* Opens or closes the worker for new work and sets when to look at it again. */
void _vp_sched_worker_refresh (VpSched *sched, VpWorkerState *worker, int64_t now_ms);
void _vp_sched_worker_dirty (VpSched *sched, VpWorkerState *worker);
void _vp_sched_worker_ended (VpSched *sched,
                             VpWorkerState *worker,
                             VpMember *member,
                             VpTaskEnd end,
                             bool is_lost,
                             int64_t now_ms);
bool _vp_sched_is_possible (const VpSched *sched, const VpResources *size, uint32_t gang_count);

/* vp-sched-preempt.c */
void _vp_sched_reservations_run (VpSched *sched,
                                 bool is_room,
                                 int64_t now_ms,
                                 GArray *decisions,
                                 uint32_t end);
/* Gives up a reservation; its job waits in the queue again. */
void _vp_sched_reservation_free (VpSched *sched, VpReservation *reservation, int64_t now_ms);
/* Frees room for a job by checkpoints. True if its reservation was made. */
bool _vp_sched_preempt_for (VpSched *sched, VpJob *job, VpReserve kind, int64_t now_ms);
/* Frees some of the grant for the first jobs of an urgent class by checkpoints of its own team. */
void _vp_sched_preempt_own (VpSched *sched, const VpClass *class, int64_t now_ms);
/* Looks for work that starves: reserves workers for the oldest, preempts for shares. */
void _vp_sched_scan (VpSched *sched, int64_t now_ms);
void _vp_sched_lower_grants (VpSched *sched, int64_t now_ms);
/* Part of the DC that the team's share entitles it to, over its share. */
double _vp_sched_fair_fraction (const VpSched *sched);
