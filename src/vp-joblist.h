/* Accepted jobs of a cell with their steps, tasks and results, and the encoding of their stored
 * state.
 *
 *   VpJobList *list = vp_joblist_setup ();
 *   VpJob *job = vp_joblist_add (list, spec, arrived_ms, now_ms);
 *   vp_joblist_start_due (list, now_ms);               // begins occurrences that are due
 *   VpJobStep *step = g_ptr_array_index (list->ready_steps, 0);
 *   vp_jobtask_assign (&step->tasks[0], worker, now_ms);
 *   vp_jobtask_end (list, task, VP_RUN_DONE, attempts_max, now_ms);
 *   vp_joblist_shutdown (list);
 *
 * No I/O. An assigned task counts against the capacity of its worker and the cap of its team until
 * it is released or done. A changed job is in @dirty until vp_joblist_take_dirty() returns it.
 *
 * Terms: an occurrence (VpJobOccurrence) is one repetition of a repeated job. A run is one attempt
 * to run a task on a worker; the field @run of a task counts its runs. The end of a run tells how
 * it finished.
 */
#pragma once

#include "vp-admission.h"
#include "vp-forecast.h"
#include "vp-workerlist.h"

/* GVariant types of the stored values: a job, its progress and its end. The last array of a step in
 * the progress has the failed runs of tasks, and also their points for crashes of workers, marked
 * in the number of the task. Values without points are valid, and programs that don't know the mark
 * skip these rows. */
#define VP_JOB_TYPE      "(" VP_JOBSPEC_TYPE "x)"
#define VP_PROGRESS_TYPE "(tba(uuaqa(us)a(ut)))"
#define VP_JOB_END_TYPE  "(tsyx)"

/* Maximum number of jobs in a list that were cancelled before they were submitted. */
#define VP_JOBLIST_UNSUBMITTED_MAX 4096

typedef struct _VpJob VpJob;
typedef struct _VpJobOccurrence VpJobOccurrence;
typedef struct _VpJobStep VpJobStep;
typedef struct _VpJobTask VpJobTask;

typedef enum {
  VP_JOB_QUEUED,
  VP_JOB_RUNNING,
  VP_JOB_COMPLETED,
  VP_JOB_FAILED,
  VP_JOB_CANCELLED,
} VpJobState;

typedef enum {
  VP_PHASE_WAITING,
  VP_PHASE_STARTING, /* a start was sent and isn't confirmed */
  VP_PHASE_RUNNING,
  VP_PHASE_STOPPING, /* a stop was sent; the task occupies its worker until the end is known */
  VP_PHASE_DONE,
} VpTaskPhase;

struct _VpJobTask {
  VpJobStep *step;
  uint32_t index; /* within the step */
  VpTaskPhase phase;
  uint32_t run;             /* number of the current or the last run; 0: none */
  uint32_t stored_run;      /* number of the last run that an earlier scheduler has stored */
  uint64_t failed_runs;     /* bit N is set once the failure of run N + 1 is counted */
  uint32_t last_failed_run; /* last counted run whose number is beyond the bits of @failed_runs */
  bool is_own_run;          /* true once this scheduler has sent a start for a run */
  uint32_t failures;        /* failed runs that count against the queue's attempts_max */
  uint32_t crash_points;    /* blame for crashes of workers, see vp-crash.h */
  VpCellWorker *worker;     /* worker to which the task is assigned; NULL: none */
  char *checkpoint;         /* last one that a run has written; NULL: none; owned */
  char *failed_on;          /* worker of the last failed run; NULL: none; owned */
  bool is_already_done;     /* a run that counted as lost has succeeded after all */
  uint32_t start_tries;     /* number of starts sent for the current run */
  uint32_t start_answers;   /* number of those whose outcome is known, so that they can't have an
                               effect any more */
  int64_t start_sent_ms;    /* time of the last start sent for the current run */
  int64_t not_before_ms;    /* no run is started before this time */
  int64_t started_ms;       /* time of the first start sent for the current run */
  int64_t confirmed_ms;  /* time at which the worker confirmed the start or the stop; 0: not yet */
  int64_t stop_sent_ms;  /* time of the last stop sent; 0: none */
  uint32_t stall_count;  /* number of runs that were stopped as stalled */
  bool is_unanswered;    /* the last start got no answer and hasn't been repeated yet */
  uint32_t percent;      /* share of the CPU that the worker last reported */
  uint32_t percent_sent; /* share of the CPU in the last throttle command */
  int64_t gauge; /* tail latency in ms of a task with a latency target, else CPU in use (milli) */
  char *inherited_worker;  /* an earlier scheduler had the task there; NULL: none; owned */
  bool is_resumed;         /* the current run began from a checkpoint */
  int64_t forecast_p50_ms; /* duration expected when the current run was assigned; 0: none */
  int64_t forecast_p90_ms;
  int64_t expected_end_ms; /* see vp-reservation.h; 0: not computed for the current run */
};

/* Advice about one worker for a step. A permission stays valid for the worker, but its ticket
 * expires. */
typedef struct {
  char *worker;           /* owned */
  int64_t booted_ms;      /* boot time of the worker that the request was about */
  char *ticket;           /* NULL: the worker must not run the step; owned */
  int64_t valid_until_ms; /* expiry time of the ticket */
} VpAdviceRow;

/* Duration of a successful run. */
typedef struct {
  char *worker;  /* owned */
  double log_ms; /* logarithm of the duration in ms */
} VpRunDuration;

/* Forecast of the work from a step to the end of its job, see vp-outlook.h. */
typedef struct {
  bool is_made;        /* the other fields are set */
  int64_t p50_ms;      /* longest chain of steps from this one on */
  int64_t low_ms;      /* the same, with a probability of 0.1 that it is shorter */
  int64_t high_ms;     /* the same, with a probability of 0.1 that it is longer */
  int64_t task_ms;     /* one task of this step */
  int64_t other_ms;    /* by this the longest chain of the job, with ended steps, is longer */
  uint32_t step_count; /* steps in the chain */
} VpChainForecast;

struct _VpJobStep {
  VpJobOccurrence *occurrence;
  const VpStepSpec *spec;
  uint32_t index;
  VpJobTask *tasks;
  uint32_t waiting_count;
  uint32_t assigned_count; /* number of tasks that are assigned to a worker */
  uint32_t done_count;
  bool is_ready;            /* all steps that it depends on are done */
  int64_t ready_ms;         /* time at which @is_ready was set */
  int64_t critical_path_ms; /* estimated time of the longest chain of steps from this one on */
  int32_t rack;           /* index of the rack chosen for a step with is_one_rack; -1: not chosen */
  GHashTable *advice;     /* worker id -> VpAdviceRow; NULL: none yet */
  uint64_t advice_serial; /* serial of the pending advice request; 0: none */
  int64_t advice_retry_ms;   /* no advice is requested before this time */
  int64_t tickets_expire_ms; /* expiry time of the last ticket in @advice */
  GArray *durations;         /* VpRunDuration of its successful runs; NULL: none, or all are done */
  int64_t duration_max_ms;   /* longest duration of a successful run; 0: not known */
  int64_t gang_retry_ms;     /* placement of a gang isn't tried before this time */
  VpChainForecast chain;     /* for the order of waiting steps */
};

/* One repetition of a job; jobs that aren't repeated have one. */
struct _VpJobOccurrence {
  VpJob *job;
  uint32_t number;
  int64_t due_ms;      /* 0: at once */
  VpJobStep *steps;    /* NULL until the occurrence is due */
  uint32_t done_count; /* steps that are done */
};

struct _VpJob {
  VpJobSpec *spec;
  VpJobState state;
  int64_t arrived_ms;
  int64_t ended_ms;
  int64_t earliest_end_ms; /* when it was accepted, an earlier end was ruled out; 0: unknown */
  int64_t expected_end_ms; /* end that was expected when it was accepted; 0: unknown */
  int64_t objective_ms;    /* target for the duration of an occurrence; 0: not computed yet */
  bool is_over_rate;       /* the team had exceeded its rate of jobs when it submitted the job */
  bool is_inherited;       /* an earlier scheduler has accepted the job */
  bool is_durable;         /* the job is stored, so that its tasks may start */
  bool is_end_durable;     /* the end of the job is stored, so that callers may see it */
  bool is_end_outdated;    /* it is stored with an earlier time than @ended_ms */
  bool is_started;         /* a task was started at least once */
  bool is_unsubmitted;     /* it was cancelled, but no submission of it has arrived yet */
  bool is_progress_stored; /* progress of the job is stored */
  GList *dirty_link;       /* its link in @dirty of its list; NULL: none */
  bool is_dirty_urgent;    /* it is among the urgent jobs in @dirty */
  uint64_t dirty_round;    /* round of the list in which it was added to @dirty */
  uint32_t assigned_count; /* tasks that are assigned to a worker */
  VpJobOccurrence *occurrences;
  uint32_t done_count;      /* occurrences that are done */
  uint32_t next_occurrence; /* first occurrence that isn't due yet */
};

typedef struct {
  VpResources possibly_running; /* demand of inherited tasks that may run, but aren't stored so */
  VpResources unobserved; /* demand of inherited tasks whose stored worker has no list yet, also
                             of ended jobs */
  VpResources used;       /* demand of all tasks that run or are being stopped */
  uint32_t job_count;     /* number of jobs that haven't ended */
  double job_tokens;      /* token bucket: jobs that the team may submit now within its rate */
  int64_t tokens_ms;      /* time at which the bucket was last refilled; 0: never */
} VpTeamUsage;

typedef struct {
  GHashTable *jobs;          /* id -> VpJob */
  GPtrArray *ready_steps;    /* VpJobStep that are ready but not done, of jobs that haven't ended */
  GPtrArray *scheduled_jobs; /* VpJob with occurrences that aren't due yet */
  GPtrArray *ended_inherited_jobs; /* VpJob that ended here, of which an earlier scheduler's runs
                                      may go on */
  GQueue dirty;               /* VpJob whose stored state is out of date: urgent jobs come first */
  GList *last_urgent_link;    /* link in @dirty of the last urgent job; NULL: none */
  uint64_t dirty_round;       /* see vp_joblist_begin_round() */
  GHashTable *teams;          /* name -> VpTeamUsage */
  uint32_t unfinished_count;  /* number of jobs that haven't ended */
  uint32_t unsubmitted_count; /* number of jobs that were cancelled before they were submitted */
  VpAdmissionResults admission_results; /* of jobs with an expected end */
} VpJobList;

VpJobList *vp_joblist_setup (void);
void vp_joblist_shutdown (VpJobList *list);
/* Adds a new job and takes a reference to @spec. The job belongs to the list. */
VpJob *vp_joblist_add (VpJobList *list, VpJobSpec *spec, int64_t arrived_ms, int64_t now_ms);
/* Adds a cancelled job of which no submission has arrived. One that arrives later finds a job that
 * has ended. Returns NULL if the list has VP_JOBLIST_UNSUBMITTED_MAX such jobs. */
VpJob *vp_joblist_add_unsubmitted (VpJobList *list, uint64_t id, int64_t now_ms);
/* Notes that a submission of the cancelled job to @queue has arrived, which has to be stored. */
void vp_joblist_note_submission (VpJobList *list, VpJob *job, const char *queue);
/* Lets the stored end of the job count as of now, so that it is kept longer. */
void vp_joblist_renew_end (VpJobList *list, VpJob *job, int64_t now_ms);
/* Adds an ended job that was read from the store. Only its state and the time of its end are known.
 * An empty @queue: the job was cancelled before it was submitted. */
VpJob *vp_joblist_add_ended (VpJobList *list,
                             uint64_t id,
                             const char *queue,
                             VpJobState state,
                             int64_t ended_ms);
/* Returns NULL if there is no such job. */
VpJob *vp_joblist_find (const VpJobList *list, uint64_t id);
/* Removes and frees a job without assigned tasks. */
void vp_joblist_remove (VpJobList *list, VpJob *job);
/* Returns NULL if there is no such task. */
VpJobTask *vp_joblist_task (const VpJobList *list, const VpTaskName *name);
/* Creates the steps of all occurrences that are due. */
void vp_joblist_start_due (VpJobList *list, int64_t now_ms);
/* Returns the time at which the next occurrence is due; INT64_MAX: none. */
int64_t vp_joblist_next_due_ms (const VpJobList *list);
/* Returns the usage of a team, and creates it if needed. It belongs to the list. */
VpTeamUsage *vp_joblist_team (VpJobList *list, const char *name);
/* Counts a job that the team submits now. Returns false if the team exceeds its rate of @weight
 * jobs a second; bursts up to the jobs of one second are allowed. There is no limit if @weight is
 * 0. */
bool vp_teamusage_take_job_token (VpTeamUsage *usage, double weight, int64_t now_ms);
/* Returns true if a job that the team submits now would exceed that rate. */
bool vp_teamusage_is_over_rate (const VpTeamUsage *usage, double weight, int64_t now_ms);
/* Notes that the stored state of the job is out of date. */
void vp_joblist_mark_dirty (VpJobList *list, VpJob *job);
/* Returns the job that has to be stored next and removes it from @dirty: urgent jobs first, then
 * the one that has waited longest; NULL: none. Urgent are jobs whose acceptance or end isn't
 * durable, as callers wait for that. */
VpJob *vp_joblist_take_dirty (VpJobList *list);
bool vp_joblist_has_urgent (const VpJobList *list);
/* Begins a round of storing all jobs that are in @dirty now. Jobs that are added later don't belong
 * to it, so that the round ends even if jobs change all the time. */
void vp_joblist_begin_round (VpJobList *list);
/* Returns true if all jobs of the round have been taken out of @dirty. */
bool vp_joblist_is_round_taken (const VpJobList *list);
/* Ends the job as cancelled and returns true, or returns false if it has ended before. The caller
 * stops its running tasks. */
bool vp_joblist_cancel (VpJobList *list, VpJob *job, int64_t now_ms);
/* Notes that no run of an earlier scheduler can be unknown of a job in @ended_inherited_jobs. */
void vp_joblist_forget_inherited (VpJobList *list, VpJob *job);
/* Returns the number of jobs of a queue that haven't ended and of which no task was ever started.
 */
uint32_t vp_joblist_unstarted_count (const VpJobList *list, const char *queue);

/* Sets @out to the name of the task. */
void vp_jobtask_name (const VpJobTask *task, VpTaskName *out);
/* Returns the size that the task occupies on its worker. */
VpResources vp_jobtask_demand (const VpJobTask *task);
/* Assigns the waiting task to @worker for run @run. */
void vp_jobtask_assign (VpJobList *list,
                        VpJobTask *task,
                        VpCellWorker *worker,
                        uint32_t run,
                        int64_t now_ms);
/* Sets the worker on which an earlier scheduler may have the task running; NULL or empty: none. */
void vp_jobtask_set_inherited_worker (VpJobList *list, VpJobTask *task, const char *worker);
/* Ends the assignment of the task to its worker. The task then waits again. */
void vp_jobtask_release (VpJobList *list, VpJobTask *task);
/* Handles the end of the current run. The job fails when one of its tasks has failed @attempts_max
 * times. */
void vp_jobtask_end (VpJobList *list,
                     VpJobTask *task,
                     VpRunEnd end,
                     uint32_t attempts_max,
                     int64_t now_ms);
/* Counts the failure of run @run once, however often it is reported. The job fails when one of its
 * tasks has failed @attempts_max times. */
void vp_jobtask_count_failure (VpJobList *list,
                               VpJobTask *task,
                               uint32_t run,
                               uint32_t attempts_max,
                               int64_t now_ms);
/* Lets the job fail if the task has failed @attempts_max times, in case that limit wasn't known
 * when the failures were counted. */
void
vp_jobtask_check_failures (VpJobList *list, VpJobTask *task, uint32_t attempts_max, int64_t now_ms);
/* Adds @points for the crash of a worker. Returns true if the task then has @points_max points and
 * its job fails for that. */
bool vp_jobtask_count_crash (VpJobList *list,
                             VpJobTask *task,
                             uint32_t points,
                             uint32_t points_max,
                             int64_t now_ms);
/* Marks the task as done. Its run may have been on any worker. */
void vp_jobtask_complete (VpJobList *list, VpJobTask *task, int64_t now_ms);
/* Adds the duration @duration_ms of a successful run of the step on the worker. */
void vp_jobstep_record_duration (VpJobStep *step, const VpCellWorker *worker, int64_t duration_ms);
/* Sets @out to what is known of the step's tasks before they run. The strings belong to the step.
 */
void vp_jobstep_forecast_key (const VpJobStep *step, VpForecastKey *out);
/* Returns the time at which the occurrence was due, or its job arrived. */
int64_t vp_occurrence_began_ms (const VpJobOccurrence *occurrence);
bool vp_job_is_ended (const VpJob *job);
const char *vp_job_state_token (VpJobState state);

/* Stored form of jobs. Encoding returns floating values. Decoding fails on a wrong type or a value
 * out of range, with NULL or false. */
GVariant *vp_job_encode (const VpJob *job);
GVariant *vp_job_encode_progress (const VpJob *job);
GVariant *vp_job_encode_end (const VpJob *job);
VpJob *vp_joblist_decode (VpJobList *list, GVariant *value, int64_t now_ms);
bool vp_joblist_decode_progress (VpJobList *list, GVariant *value, int64_t now_ms);
VpJob *vp_joblist_decode_end (VpJobList *list, GVariant *value);
