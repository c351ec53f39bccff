/* Accepted jobs of a cell: their steps, tasks, ends and what of that has to be kept.
 *
 *   VpJobList *list = vp_joblist_setup ();
 *   VpJob *job = vp_joblist_add (list, spec, arrived_ms, now_ms);
 *   vp_joblist_open_due (list, now_ms);               // occurrences whose time has come
 *   VpJobStep *step = g_ptr_array_index (list->open_steps, 0);
 *   vp_jobtask_assign (&step->tasks[0], worker, now_ms);
 *   vp_jobtask_end (list, task, VP_RUN_DONE, attempts_max, now_ms);
 *   vp_joblist_shutdown (list);
 *
 * No I/O. A task that is assigned takes room of its worker and of its team's cap until it is
 * released or done. A job that has changed stands in @dirty until vp_joblist_take_dirty().
 */
#pragma once

#include "vp-roster.h"

/* Types of the kept values: a job, its progress, its end. */
#define VP_JOB_TYPE      "(" VP_JOBSPEC_TYPE "x)"
#define VP_PROGRESS_TYPE "(tba(uuaqa(us)a(ut)))"
#define VP_JOB_END_TYPE  "(tsyx)"

typedef struct _VpJob VpJob;
typedef struct _VpJobRun VpJobRun;
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
  VP_PHASE_STARTING, /* a start was ordered and isn't confirmed */
  VP_PHASE_RUNNING,
  VP_PHASE_STOPPING, /* a stop was ordered; the room is taken until the end is known */
  VP_PHASE_DONE,
} VpPhase;

struct _VpJobTask {
  VpJobStep *step;
  uint32_t index;
  VpPhase phase;
  uint32_t run;           /* last one that was ordered */
  uint32_t kept_run;      /* last one that an earlier scheduler had kept */
  uint64_t failed_runs;   /* bit N: the failure of run N + 1 is counted */
  uint32_t failed_last;   /* the last one that was counted of those beyond */
  bool is_own_run;        /* this scheduler has ordered a run */
  uint32_t failures;      /* ends that count against the queue's attempts */
  VpRosterWorker *worker; /* while it takes room there */
  char checkpoint[VP_CHECKPOINT_MAX];
  char failed_on[VP_NAME_MAX]; /* worker of the last run that failed */
  bool is_done_before;         /* a run that was given up as lost turns out to have ended as done */
  uint32_t start_tries;        /* of the present run */
  int64_t ordered_ms;          /* last order of the present run */
  int64_t not_before_ms;       /* earliest next start */
  int64_t started_ms;          /* first order of the present run */
  int64_t confirmed_ms;        /* its presence or its stop was confirmed; 0: not yet */
  int64_t stop_sent_ms;        /* 0: none under way */
  uint32_t still_count;        /* runs that were stopped as standing still */
  bool is_unanswered;          /* the start got no answer and was not repeated yet */
  uint32_t percent;            /* pace that the worker last listed */
  uint32_t percent_sent;       /* pace that was last ordered */
  int64_t gauge;               /* tail of response times in ms, or processors in use */
  char last_worker[VP_NAME_MAX]; /* inherited: where an earlier scheduler had it; empty: nowhere */
};

/* Advice on the workers that a step may use. Good ones stay good; a ticket expires. */
typedef struct {
  char worker[VP_NAME_MAX];
  int64_t born_ms;            /* of the worker's life that was asked about */
  char ticket[VP_TICKET_MAX]; /* empty: the worker may not run the step */
  int64_t valid_until_ms;
} VpAdviceRow;

struct _VpJobStep {
  VpJobRun *run;
  const VpStepSpec *spec;
  uint32_t index;
  VpJobTask *tasks;
  uint32_t waiting_count;
  uint32_t out_count; /* tasks that take room */
  uint32_t done_count;
  bool is_open; /* its predecessors are done */
  int64_t opened_ms;
  int64_t chain_ms;         /* estimate of the longest chain from this step to the end of its job */
  int32_t rack;             /* of a step that keeps to one rack; -1: not chosen */
  GHashTable *advice;       /* worker id -> VpAdviceRow; NULL: none yet */
  uint64_t ask_serial;      /* advice under way; 0: none */
  int64_t ask_next_ms;      /* not asked again before */
  int64_t tickets_until_ms; /* the last ticket in @advice expires */
  int64_t ran_ms;           /* sum over its tasks that are done, and their number */
  uint32_t ran_count;
  int64_t fit_next_ms; /* a gang is not tried again before */
};

struct _VpJobRun {
  VpJob *job;
  uint32_t number;
  int64_t due_ms;
  VpJobStep *steps; /* NULL: not due yet */
  uint32_t done_count;
};

struct _VpJob {
  VpJobSpec *spec;
  VpJobState state;
  int64_t arrived_ms;
  int64_t ended_ms;
  int64_t objective_ms; /* an occurrence should complete this long after its beginning; 0: unset */
  bool is_over_share;   /* its team had used up its share of the rate of jobs */
  bool is_inherited;    /* accepted under an earlier scheduler */
  bool is_durable;      /* its acceptance is kept */
  bool is_end_durable;  /* its end is kept, so it may be shown */
  bool is_started;
  bool is_progress_kept; /* the store holds progress of the job */
  bool is_dirty;
  uint32_t out_count;
  VpJobRun *runs;
  uint32_t done_count;
  uint32_t next_run; /* first occurrence that was not opened */
};

typedef struct {
  VpResources unsure; /* of inherited tasks that may run without any sign of it */
  VpResources unseen; /* of inherited tasks that may run where this scheduler hasn't looked yet */
  VpResources used;   /* of all that runs or stops */
  uint32_t job_count; /* not ended */
  double job_tokens;  /* jobs that it may hand in now without passing its share */
  int64_t tokens_ms;  /* when they were counted last; 0: never */
} VpTeamUse;

typedef struct {
  GHashTable *jobs;      /* id -> VpJob */
  GPtrArray *open_steps; /* VpJobStep of jobs that aren't ended, not done */
  GPtrArray *timed;      /* VpJob with occurrences to come */
  GQueue dirty;          /* VpJob: first those that aren't durable yet, their callers wait */
  GList *last_new;       /* the last of these in @dirty; NULL: none */
  GHashTable *teams;     /* name -> VpTeamUse */
  uint32_t live_count;   /* jobs that aren't ended */
} VpJobList;

VpJobList *vp_joblist_setup (void);
void vp_joblist_shutdown (VpJobList *list);
/* Takes a reference. The job must be new. */
VpJob *vp_joblist_add (VpJobList *list, VpJobSpec *spec, int64_t arrived_ms, int64_t now_ms);
/* Adds a job that has ended, as read back; only its state is known. */
VpJob *vp_joblist_add_ended (VpJobList *list,
                             uint64_t id,
                             const char *queue,
                             VpJobState state,
                             int64_t ended_ms);
VpJob *vp_joblist_find (const VpJobList *list, uint64_t id);
/* Forgets a job that has ended and has nothing out. */
void vp_joblist_remove (VpJobList *list, VpJob *job);
/* NULL if there is no such task. */
VpJobTask *vp_joblist_task (const VpJobList *list, const VpTaskName *name);
void vp_joblist_open_due (VpJobList *list, int64_t now_ms);
/* Earliest occurrence to come; INT64_MAX: none. */
int64_t vp_joblist_next_due_ms (const VpJobList *list);
VpTeamUse *vp_joblist_team (VpJobList *list, const char *name);
/* Counts a job that the team hands in now. Returns false if it passes the team's share of @weight
 * jobs a second; crowds of a second's share pass. */
bool vp_teamuse_take_share (VpTeamUse *use, double weight, int64_t now_ms);
void vp_joblist_touch (VpJobList *list, VpJob *job);
/* The job to be kept next: new ones first, then the one that has waited longest; NULL: none. */
VpJob *vp_joblist_take_dirty (VpJobList *list);
/* Ends the job as cancelled; false if it had ended. Its running tasks are to be stopped. */
bool vp_joblist_cancel (VpJobList *list, VpJob *job, int64_t now_ms);
/* Number of jobs of a queue that no task was started for; timed ones don't count. */
uint32_t vp_joblist_pending (const VpJobList *list, const char *queue);

void vp_jobtask_name (const VpJobTask *task, VpTaskName *out);
/* What the task takes of its worker. */
VpResources vp_jobtask_room (const VpJobTask *task);
/* Takes room at @worker for run @run. */
void vp_jobtask_assign (VpJobList *list,
                        VpJobTask *task,
                        VpRosterWorker *worker,
                        uint32_t run,
                        int64_t now_ms);
/* Where an earlier scheduler may have the task running; empty: nowhere any more. */
void vp_jobtask_set_last_worker (VpJobList *list, VpJobTask *task, const char *worker);
/* Gives the room back; the task waits again, or goes with its job. */
void vp_jobtask_release (VpJobList *list, VpJobTask *task);
/* The present run has ended. With @attempts_max failures the job fails. */
void vp_jobtask_end (VpJobList *list,
                     VpJobTask *task,
                     VpRunEnd end,
                     uint32_t attempts_max,
                     int64_t now_ms);
/* Run @run has failed. Counts once, however often its end is listed. */
void vp_jobtask_note_failed (VpJobList *list,
                             VpJobTask *task,
                             uint32_t run,
                             uint32_t attempts_max,
                             int64_t now_ms);
/* A run of the task has ended as done, wherever it was. */
void vp_jobtask_done (VpJobList *list, VpJobTask *task, int64_t now_ms);
/* A task of the step took @ran_ms; returns the mean of those before, or 0 if there are too few. */
int64_t vp_jobstep_note_time (VpJobStep *step, int64_t ran_ms);
bool vp_job_is_ended (const VpJob *job);
const char *vp_job_state_token (VpJobState state);

/* Forms in which jobs are kept. Floating values; decoding returns false on a wrong type or range.
 */
GVariant *vp_job_encode (const VpJob *job);
GVariant *vp_job_encode_progress (const VpJob *job);
GVariant *vp_job_encode_end (const VpJob *job);
VpJob *vp_joblist_decode (VpJobList *list, GVariant *value, int64_t now_ms);
bool vp_joblist_decode_progress (VpJobList *list, GVariant *value, int64_t now_ms);
VpJob *vp_joblist_decode_end (VpJobList *list, GVariant *value);
