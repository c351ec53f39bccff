/* Orders to workers and their results, as data between the deciding code and the transport.
 *
 *   VpCommand order = { .kind = VP_COMMAND_STOP, .run = 2, .fence = 7 };
 *   vp_task_name_format (&name, order.task);
 *   ... the transport calls the worker and posts a VpCommandResult ...
 *   vp_command_result_clear (&result);
 */
#pragma once

#include "vp-types.h"

#define VP_TASK_NAME_MAX  56 /* bytes of "ID.K.STEP.INDEX" with its NUL */
#define VP_CHECKPOINT_MAX 64 /* bytes of a checkpoint's name with its NUL */
#define VP_TICKET_MAX     64 /* bytes of an advice ticket with its NUL */

/* Name of one task: its job, occurrence, step and number within the step. */
typedef struct {
  uint64_t job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} VpTaskName;

typedef enum {
  VP_COMMAND_START,
  VP_COMMAND_STOP,
  VP_COMMAND_HOLD,     /* renews the lease of all that runs and lists it */
  VP_COMMAND_THROTTLE, /* lets a task use only part of its processors */
} VpCommandKind;

typedef struct {
  VpCommandKind kind;
  char worker[VP_NAME_MAX]; /* id of one life of a worker */
  char address[VP_ADDRESS_MAX];
  VpTaskName task;
  uint32_t run; /* counts the starts of the task */
  uint64_t fence;
  int64_t lease_end_ms;               /* START, HOLD: on the worker's clock; 0: unchanged */
  char *text;                         /* START; owned */
  char checkpoint[VP_CHECKPOINT_MAX]; /* START; empty: from the beginning */
  char ticket[VP_TICKET_MAX];         /* START; empty: none */
  uint64_t seen;                      /* HOLD: ends up to this number may be forgotten */
  int64_t wait_ms;                    /* HOLD: the answer waits this long for an end */
  uint32_t percent;                   /* PACE */
} VpCommand;

typedef enum {
  VP_COMMAND_OK,
  VP_COMMAND_FENCED,     /* the worker has seen a higher fence */
  VP_COMMAND_SUPERSEDED, /* not started: this run or a later one has ended or was stopped there */
  VP_COMMAND_LATE,       /* not started: its lease was over on arrival */
  VP_COMMAND_NO_ROOM,    /* not started */
  VP_COMMAND_BAD_TICKET, /* not started: the advice has expired */
  VP_COMMAND_WORKER_REPLACED, /* another worker has the address now */
  VP_COMMAND_REFUSED,         /* nothing done: the worker is unhealthy or overloaded */
  VP_COMMAND_INVALID,         /* nothing done: the worker can't read the order */
  VP_COMMAND_UNREACHABLE,     /* certainly not delivered */
  VP_COMMAND_UNCERTAIN,       /* may be carried out, now or seconds later */
} VpCommandOutcome;

typedef struct {
  VpTaskName task;
  bool is_task; /* false: the worker listed a name that isn't one of ours */
  uint32_t run;
  char checkpoint[VP_CHECKPOINT_MAX];
  uint32_t percent; /* share of its processors that it may use */
  int64_t
      gauge; /* tail of response times in ms of a serving task, else processors in use (milli) */
} VpRunningEntry;

typedef enum {
  VP_RUN_DONE,
  VP_RUN_FAILED,
  VP_RUN_STOPPED,
  VP_RUN_LAPSED, /* the lease ended */
  VP_RUN_BROKEN, /* another member of the gang ended */
  VP_RUN_ALONE,  /* the gang did not come together in time */
  VP_RUN_OTHER,  /* an end of an unknown kind; taken as failed through no fault of the task */
} VpRunEnd;

typedef struct {
  uint64_t number; /* counts the ends of one life of the worker */
  VpTaskName task;
  bool is_task;
  uint32_t run;
  VpRunEnd end;
  char checkpoint[VP_CHECKPOINT_MAX];
} VpEndedEntry;

typedef struct {
  VpCommandKind kind;
  char worker[VP_NAME_MAX];
  VpTaskName task;
  uint32_t run;
  VpCommandOutcome outcome;
  bool is_repeated;    /* the transport sent it twice; @outcome is of the second sending */
  uint64_t fence;      /* of the order */
  int64_t sent_ms;     /* before anything left this process */
  int64_t received_ms; /* after the answer was complete */
  int64_t clock_ms;    /* of the worker; 0: not told */
  int64_t booted_ms;   /* HOLD: start of the worker's life, Unix time */
  GArray *running;     /* HOLD: VpRunningEntry, all that runs */
  GArray *ended;       /* HOLD: VpEndedEntry, not acknowledged yet; at most some hundred */
} VpCommandResult;

void vp_task_name_format (const VpTaskName *name, char out[VP_TASK_NAME_MAX]);
bool vp_task_name_parse (const char *text, VpTaskName *out);
void vp_command_result_clear (VpCommandResult *result);
const char *vp_command_outcome_token (VpCommandOutcome outcome);
const char *vp_run_end_token (VpRunEnd end);
