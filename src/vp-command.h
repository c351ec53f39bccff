/* Commands to workers and their results, as plain data between the scheduler and the transport.
 *
 *   VpCommand command = { .kind = VP_COMMAND_STOP, .run = 2, .fence = 7 };
 *   vp_task_name_format (&name, text);
 *   ... the transport calls the worker and posts a VpCommandResult ...
 *   vp_command_clear (&command);
 *   vp_command_result_clear (&result);
 */
#pragma once

#include "vp-text.h"
#include "vp-types.h"

#define VP_TASK_NAME_MAX 56 /* bytes of "ID.K.STEP.INDEX" with NUL */

/* A start that hasn't been sent to its worker by this time after the scheduler gave it isn't sent
 * any more. It would start a run that the next scheduler doesn't expect, for example of a job whose
 * cancellation was confirmed since. */
#define VP_COMMAND_START_EXPIRY_MS 2000

/* Name of one task: its job, the occurrence of the job, the step, and the index within the step. */
typedef struct {
  uint64_t job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} VpTaskName;

typedef enum {
  VP_COMMAND_START,    /* starts a run of a task */
  VP_COMMAND_STOP,     /* stops a run */
  VP_COMMAND_HOLD,     /* renews the leases of all runs and asks for the list of runs and ends */
  VP_COMMAND_THROTTLE, /* limits the share of its CPU that a task may use */
} VpCommandKind;

typedef struct {
  VpCommandKind kind;
  char *requester; /* process that gets the result; NULL: this one; owned */
  uint32_t serial; /* number that the requester gave to the command */
  char *worker;    /* identity of the worker; owned */
  char address[VP_ADDRESS_MAX];
  VpTaskName task;
  uint32_t run;         /* number of the run; increases with each run of the task */
  uint64_t fence;       /* fencing token of the scheduler's term */
  int64_t expires_ms;   /* START: local time after which it isn't sent; 0: there is none */
  int64_t lease_end_ms; /* START, HOLD: end of the lease on the worker's clock; 0: unchanged */
  char *text;           /* START: text of the job; owned */
  char *checkpoint;     /* START: continue from this one; NULL: from the beginning; owned */
  char *ticket;         /* START: ticket of the advice service; NULL: none; owned */
  uint64_t acked_end;   /* HOLD: the life @booted_ms of the worker may drop ends up to this number.
                           The numbers of another life are others, so the transport must not pass it
                           on to one. */
  int64_t booted_ms;    /* HOLD: boot time (Unix time) that the scheduler knows of; 0: none */
  int64_t wait_ms;      /* HOLD: the worker may delay its answer this long until a run ends */
  uint32_t hold;        /* HOLD: number that the scheduler gave to it; increases for each worker */
  uint32_t percent;     /* THROTTLE: share of its CPU that the task may use */
} VpCommand;

typedef enum {
  VP_COMMAND_OK,              /* carried out */
  VP_COMMAND_FENCED,          /* not carried out: the worker has seen a higher fencing token */
  VP_COMMAND_SUPERSEDED,      /* not started: this or a later run has ended or was stopped there */
  VP_COMMAND_LATE,            /* not started: the lease had expired on arrival */
  VP_COMMAND_NO_CAPACITY,     /* not started: the worker lacks free capacity */
  VP_COMMAND_BAD_TICKET,      /* not started: the ticket has expired */
  VP_COMMAND_WORKER_REPLACED, /* not carried out: another worker has the address now */
  VP_COMMAND_REFUSED,         /* not carried out: the worker is unhealthy or overloaded */
  VP_COMMAND_INVALID,         /* not carried out: the worker can't parse the command */
  VP_COMMAND_UNREACHABLE,     /* certainly not delivered */
  VP_COMMAND_UNCERTAIN,       /* may have been carried out, or may be within seconds */
  VP_COMMAND_EXPIRED,         /* not sent, as it had waited too long */
} VpCommandOutcome;

/* A run that the worker lists as running. */
typedef struct {
  VpTaskName task;
  bool is_task; /* false if the listed name isn't a valid task name */
  uint32_t run;
  char *checkpoint; /* NULL: none; owned */
  uint32_t percent; /* share of its CPU that the task may use */
  int64_t gauge; /* tail latency in ms of a task with a latency target, else CPU in use (milli) */
} VpRunningEntry;

/* How a run ended. */
typedef enum {
  VP_RUN_DONE,
  VP_RUN_FAILED,
  VP_RUN_STOPPED,
  VP_RUN_LAPSED, /* the lease expired */
  VP_RUN_BROKEN, /* another member of the gang ended */
  VP_RUN_ALONE,  /* not all members of the gang started in time */
  VP_RUN_OTHER,  /* unknown kind of end; counts as a failure that isn't the task's fault */
} VpRunEnd;

/* A run that the worker lists as ended. */
typedef struct {
  uint64_t number; /* number of the end; increases with each end and restarts with the worker */
  VpTaskName task;
  bool is_task; /* false if the listed name isn't a valid task name */
  uint32_t run;
  VpRunEnd end;
  char *checkpoint; /* NULL: none; owned */
} VpEndedEntry;

typedef struct {
  VpCommandKind kind;
  char *requester; /* as in the command; owned */
  uint32_t serial; /* as in the command */
  char *worker;    /* as in the command; owned */
  VpTaskName task;
  uint32_t run;
  uint32_t hold; /* as in the command */
  VpCommandOutcome outcome;
  bool is_repeated; /* the transport sent the command twice; @outcome is that of the second one */
  bool is_given_up; /* the process that should have sent the command didn't report its outcome,
                       which says nothing about the worker */
  bool is_late; /* the outcome of the command was reported as uncertain before; others may have been
                   sent and answered since */
  uint64_t fence;      /* fencing token of the command */
  int64_t sent_ms;     /* local time before anything was sent */
  int64_t received_ms; /* local time after the answer was complete */
  int64_t clock_ms;    /* the worker's clock; 0: unknown */
  int64_t booted_ms;   /* HOLD: boot time of the worker (Unix time) */
  GArray *running;     /* HOLD: VpRunningEntry of all runs */
  GArray *ended; /* HOLD: VpEndedEntry of ends that aren't acknowledged yet; at most some hundred */
} VpCommandResult;

/* Format the name as "ID.K.STEP.INDEX", where K is the occurrence, and parse such a text. Parsing
 * returns false for any other text. */
void vp_task_name_format (const VpTaskName *name, char out[VP_TASK_NAME_MAX]);
bool vp_task_name_parse (const char *text, VpTaskName *out);
/* Returns true if the command has waited too long to be sent. */
bool vp_command_is_expired (const VpCommand *command, int64_t now_ms);
/* Frees the members of the command. */
void vp_command_clear (VpCommand *command);
/* Return empty arrays (VpRunningEntry, VpEndedEntry) that free what their entries own. */
GArray *vp_command_running_new (void);
GArray *vp_command_ended_new (void);
/* Sets the fields of @result that it has in common with the command. */
void vp_command_result_begin (VpCommandResult *result, const VpCommand *command, int64_t sent_ms);
/* Frees the lists of the result, which it hasn't got then. */
void vp_command_result_clear_lists (VpCommandResult *result);
/* Frees the members of the result. */
void vp_command_result_clear (VpCommandResult *result);
/* Names of outcomes and ends in log lines. */
const char *vp_command_outcome_token (VpCommandOutcome outcome);
const char *vp_run_end_token (VpRunEnd end);
