/* Private state of the scheduler. Its functions are in vp-cell.c, vp-cell-commands.c,
 * vp-cell-hold.c, vp-cell-scan.c, vp-cell-recovery.c, vp-cell-evacuation.c and
 * vp-cell-admission.c. */
#pragma once

#include "vp-advise.h"
#include "vp-cell.h"
#include "vp-holdloss.h"
#include "vp-jobconfig.h"
#include "vp-reconcile.h"
#include "vp-stepqueue.h"

/* Number of times that a start command is sent for one run. After that many without an answer the
 * run is stopped. */
#define VP_CELL_START_TRIES 3
/* Interval between scans of all assigned tasks, which find the tasks that must be stopped. */
#define VP_CELL_SCAN_MS 50

struct _VpCell {
  VpCellDesc desc;
  VpJobConfig job_config;
  const VpCellConfig *config; /* of @job_config; NULL: there is none yet */
  VpWorkerList *worker_list;
  VpJobList *jobs;
  VpForecast *forecast;
  VpReconcile reconcile;
  VpAdvise *advise;
  VpAdmission *admission;
  VpAdmissionResults admission_published; /* results that the metrics have */
  int64_t admission_next_ms;              /* earliest time of the next update of @admission */
  int64_t started_ms;
  int64_t scan_next_ms;           /* time of the next scan; 0: as soon as possible */
  int64_t scan_earliest_ms;       /* no scan before this time */
  int64_t place_next_ms;          /* earliest time of the next placement */
  bool is_place_due;              /* the last decision put the placement off until then */
  int64_t commands_until_ms;      /* no lease is renewed and no task started after this time */
  VpHoldLoss hold_loss;           /* share of commands that workers leave unanswered */
  int64_t holds_checked_ms;       /* time at which HOLDs were last looked at */
  int64_t holds_resumed_ms;       /* time at which that happened after a pause; 0: never */
  uint32_t overdue_hold_count;    /* workers with an overdue HOLD and a later one */
  double start_answer_ms;         /* moving average of the time until a start is answered */
  bool is_fenced;                 /* a worker has seen a higher fencing token */
  bool is_paused;                 /* no tasks are placed, before a handover */
  bool has_platform_list;         /* the platform's list of workers has been read once */
  bool has_stored_workers;        /* the list that the previous scheduler stored is loaded */
  bool is_stored_list_unreadable; /* the list that the previous scheduler stored is corrupt */
  bool is_recovered;              /* no run of an earlier scheduler can be unknown any more */
  bool has_unchecked_failures;    /* the limits of failed runs may have changed */
  bool has_evacuated_dcs;         /* the DCs under evacuation are known */
  int64_t waiting_log_next_ms;    /* earliest time of the next log line about waiting steps */
};

/* Returns the minimum interval between placements, and between scans. */
int64_t _vp_cell_interval_ms (const VpCell *cell);
/* Appends a command for the worker to @effects and returns it, owned by @effects, so that the
 * caller can fill in the rest. */
VpCommand *
_vp_cell_add_command (VpCell *cell, VpCellWorker *worker, VpCommandKind kind, GArray *effects);
/* Handles an answer of another worker at the address to which the command was sent. */
void _vp_cell_handle_worker_replaced (VpCell *cell,
                                      VpCellWorker *worker,
                                      const VpCommandResult *result,
                                      int64_t now_ms);
void _vp_cell_handle_hold_result (VpCell *cell,
                                  VpCellWorker *worker,
                                  const VpCommandResult *result,
                                  int64_t now_ms);
/* Makes the next HOLD acknowledge ends that are durable now. */
void _vp_cell_schedule_acknowledgement (VpCellWorker *worker, int64_t now_ms);
/* Sends the HOLDs that are due. */
void _vp_cell_send_holds (VpCell *cell, int64_t now_ms, GArray *effects);
/* Returns the time at which the next HOLD to the worker is due; INT64_MAX: after a result. */
int64_t _vp_cell_hold_next_ms (const VpCell *cell, const VpCellWorker *worker, int64_t now_ms);
/* Appends the command that starts the current run of an assigned task. It may be called again for
 * the same run if the first command got no answer. */
void _vp_cell_send_start (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects);
/* Appends the command that stops the current run of the task, and sets the task's phase. */
void _vp_cell_send_stop (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects);
/* Returns true if the scheduler knows everything that earlier schedulers have running on the
 * worker. */
bool _vp_cell_is_verified_worker (const VpCellWorker *worker, int64_t now_ms);
/* Returns true if a run of the waiting task that an earlier scheduler started may exist on a worker
 * that hasn't listed its runs. */
bool _vp_cell_may_run_unlisted (const VpCell *cell, const VpJobTask *task, int64_t now_ms);
/* Adds the tasks of ended jobs that may run unlisted to the usage of their teams, and forgets the
 * others. */
void _vp_cell_count_ended_inherited (VpCell *cell, int64_t now_ms);
/* Sets @cell->is_recovered once no run of an earlier scheduler can be unknown. */
void _vp_cell_check_recovered (VpCell *cell, int64_t now_ms);
/* Fails the jobs whose tasks have failed too often by the limits of the present configuration,
 * which may have come or changed since they were counted. A job whose queue isn't in it waits. */
void _vp_cell_check_failures (VpCell *cell, int64_t now_ms);
/* Blocks new tasks on a worker that isn't active, and marks the list of workers as changed if the
 * worker must be stored with another state than before. */
void _vp_cell_update_active (VpCell *cell, VpCellWorker *worker, int64_t now_ms);
/* Returns true if tasks may be started as far as evacuations are concerned. */
bool _vp_cell_knows_evacuations (const VpCell *cell);
/* Logs why steps wait, at most once a second: @step_count steps with @task_count waiting tasks
 * found no worker while some workers of their services are in DCs under evacuation. */
void _vp_cell_log_waiting (VpCell *cell, uint32_t step_count, uint32_t task_count, int64_t now_ms);
/* Gives the sums of the placement decision that was just made to the admission, unless the last
 * time was too short ago. */
void _vp_cell_update_admission (VpCell *cell, const VpStepQueue *step_queue, int64_t now_ms);
/* Scans all assigned tasks and workers: stops tasks that must not go on, repeats starts without an
 * answer, ends the runs of workers whose leases have expired, and removes workers that are gone. */
void _vp_cell_scan (VpCell *cell, int64_t now_ms, GArray *effects);
