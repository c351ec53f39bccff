/* Scheduler of a cell: assigns the tasks of accepted jobs to the cell's workers.
 *
 *   VpCell *cell = vp_cell_setup (&(VpCellDesc){ .fence = 7, .hold_max_ms = 6000 }, now_ms);
 *   vp_cell_set_config (cell, config);
 *   vp_cell_worker_listed (cell, &entry, now_ms);
 *   VpJob *job = vp_joblist_add (vp_cell_jobs (cell), spec, now_ms, now_ms);
 *   job->is_durable = true;
 *   vp_cell_decide (cell, now_ms, effects);       // GArray of VpCellEffect
 *   vp_cell_command_result (cell, &result, now_ms);
 *   vp_cell_shutdown (cell);
 *
 * A state machine without I/O: calls report events, and vp_cell_decide() appends the actions to
 * take. Every command carries the fencing token of this scheduler's term; a worker that has seen
 * the token rejects commands of earlier schedulers. A task is started again only when its last run
 * can't be running any more: the worker reports its end or doesn't list it, or the lease of the run
 * has expired.
 */
#pragma once

#include "vp-advise.h"
#include "vp-holdloss.h"

typedef struct _VpCell VpCell;

typedef struct {
  uint64_t fence;
  int64_t hold_max_ms; /* longest lease that a worker accepts */
  /* For this long after the setup the platform's list of workers may lack workers that are alive,
   * for example after an outage of its store. With 0 or less the list is complete. Used only if the
   * previous scheduler stored no list of workers. */
  int64_t relist_ms;
  bool stores_workers;             /* tasks are placed only on workers in a stored list */
  const VpHoldPolicy *hold_policy; /* NULL: vp_holdpolicy_default; kept by reference */
  bool is_clean; /* the previous scheduler handed over with the state of all jobs stored */
  /* No task is started before the first call of vp_cell_set_evacuated_dcs(). */
  bool awaits_evacuations;
  const VpForecastPolicy *forecast_policy; /* see vp-forecast.h; NULL: the learned policy */
} VpCellDesc;

typedef enum { VP_CELL_COMMAND, VP_CELL_ADVICE_REQUEST } VpCellEffectKind;

typedef struct {
  VpCellEffectKind kind;
  union {
    VpCommand command;
    VpAdviceRequest advice_request;
  };
} VpCellEffect;

VpCell *vp_cell_setup (const VpCellDesc *desc, int64_t now_ms);
void vp_cell_shutdown (VpCell *cell);
/* Takes a reference to @config, which replaces the previous configuration. Before the first one no
 * task is started, no job fails for the number of its failures, and what runs goes on. Accepted
 * jobs of a queue or team that it lacks go on as the last configuration had these, see
 * vp-jobconfig.h. A job of a queue that was never known waits in the same way as without a
 * configuration. */
void vp_cell_set_config (VpCell *cell, VpCellConfig *config);
bool vp_cell_has_config (const VpCell *cell);
/* Number of queues that the configuration lacks and that are kept for accepted jobs. */
uint32_t vp_cell_kept_queue_count (const VpCell *cell);
/* The list of jobs and the list of workers belong to the scheduler. */
VpJobList *vp_cell_jobs (VpCell *cell);
const VpWorkerList *vp_cell_workers (const VpCell *cell);

/* Adds or updates a worker that is in the platform's list. */
void vp_cell_worker_listed (VpCell *cell, const VpWorkerEntry *entry, int64_t now_ms);
/* Reports that the worker is no longer in the platform's list. It is removed once none of its runs
 * can exist any more. */
void vp_cell_worker_unlisted (VpCell *cell, const char *id, int64_t now_ms);
/* Sets the number of processes that can call the advice service; the initial value is 1. */
void vp_cell_set_advice_client_count (VpCell *cell, uint32_t count);
/* Reports that vp_cell_worker_listed() has been called for all workers in the platform's list. */
void vp_cell_worker_list_complete (VpCell *cell);
/* Sets the DCs (char *) under evacuation, which replace those of earlier calls. No task is started
 * on their workers; those that run there go on, and their leases are renewed. */
void vp_cell_set_evacuated_dcs (VpCell *cell, const GPtrArray *dcs);
/* Handles the result of a command. Results of commands from other terms are ignored. */
void vp_cell_command_result (VpCell *cell, const VpCommandResult *result, int64_t now_ms);
/* Handles the result of the advice request @serial. @rows holds a VpAdviceRow for each worker that
 * the service allows; it is NULL if the call failed. */
void vp_cell_advice_result (VpCell *cell, uint64_t serial, const GArray *rows, int64_t now_ms);
/* Returns true if a worker has rejected a command because it has seen a higher fencing token. */
bool vp_cell_is_fenced (const VpCell *cell);
/* Returns true if no task can be running without this scheduler's knowledge. */
bool vp_cell_has_complete_state (const VpCell *cell);
/* Number of workers that an earlier scheduler may have used and that haven't yet listed their runs.
 */
uint32_t vp_cell_unverified_count (const VpCell *cell, int64_t now_ms);
/* Adds a new job. Its tasks are started once its is_durable is set. */
VpJob *vp_cell_submit (VpCell *cell, VpJobSpec *spec, int64_t now_ms);
/* Decides whether to accept a job of the specification that arrives now, see vp-admission.h. */
void vp_cell_admit (VpCell *cell, const VpJobSpec *spec, int64_t now_ms, VpAdmissionDecision *out);
/* The same as vp_cell_submit() for a job that was accepted by vp_cell_admit(). Its time counts from
 * the caller's first try. */
VpJob *vp_cell_submit_admitted (VpCell *cell,
                                VpJobSpec *spec,
                                const VpAdmissionDecision *decision,
                                int64_t now_ms);
/* Cancels the job. Returns false if there is no such job or it has ended. */
bool vp_cell_cancel (VpCell *cell, uint64_t id, int64_t now_ms);
/* Marks all ends of runs that were received so far as part of the commit that is being built. */
void vp_cell_stage_ends (VpCell *cell);
/* Reports that the staged ends are durable, so that workers may drop them from their lists. */
void vp_cell_ends_durable (VpCell *cell, int64_t now_ms);
/* Returns true if ends of runs were received since vp_cell_stage_ends() was last called. */
bool vp_cell_has_unstaged_ends (const VpCell *cell);
/* Type of the stored list of workers: identity, address, DC and whether the worker is active. On an
 * active worker runs may exist that the stored progress of jobs doesn't show. A new scheduler knows
 * all runs once it has an answer of each active worker, including workers that are missing from the
 * platform's list. A worker that doesn't answer may be partitioned together with the previous
 * scheduler, so it counts as gone only when all its leases have expired. Inactive workers get no
 * tasks, and the next complete commit stores them as inactive. */
#define VP_CELL_WORKERS_TYPE "a(sssb)"
/* Returns true if the list of workers has changed since it was last staged, or must be staged
 * again. */
bool vp_cell_has_unstaged_workers (const VpCell *cell);
/* Returns the list of workers for the commit that is being built, as a floating value. @is_complete
 * tells whether the commit also holds all starts that were sent so far. */
GVariant *vp_cell_stage_workers (VpCell *cell, bool is_complete, int64_t now_ms);
/* Reports that the staged list of workers is durable. */
void vp_cell_workers_durable (VpCell *cell, int64_t now_ms);
/* Reports that the commit failed, so that the list of workers has to be staged again. */
void vp_cell_unstage_workers (VpCell *cell);
/* Loads the list of workers that the previous scheduler stored. @stored is NULL if the list can't
 * be read. */
void vp_cell_load_workers (VpCell *cell, GVariant *stored);
/* Returns true if accepted jobs name queues or teams that aren't stored as they are in force. */
bool vp_cell_has_unstaged_config (const VpCell *cell);
/* Returns these for the commit that is being built, as a floating value of VP_JOBCONFIG_TYPE. */
GVariant *vp_cell_stage_config (VpCell *cell);
/* Reports that the commit failed, so that they have to be staged again. */
void vp_cell_unstage_config (VpCell *cell);
/* Loads what the previous scheduler stored of them, after all jobs; NULL: nothing. */
void vp_cell_load_config (VpCell *cell, GVariant *stored);
/* Appends the commands and advice requests that are due, as VpCellEffect, to @effects. The caller
 * owns them and frees each one with vp_cell_effect_clear(). */
void vp_cell_decide (VpCell *cell, int64_t now_ms, GArray *effects);
/* Time at which vp_cell_decide() has to be called next if no event arrives before. */
int64_t vp_cell_next_ms (const VpCell *cell, int64_t now_ms);
/* After @until_ms the scheduler renews no leases and starts no tasks, as another scheduler may have
 * replaced it by then. There is no limit until the first call. */
void vp_cell_limit_commands (VpCell *cell, int64_t until_ms);
/* Stops the placement of tasks, before a handover to another scheduler. Leases are still renewed.
 */
void vp_cell_pause (VpCell *cell);
void vp_cell_effect_clear (VpCellEffect *effect);
/* Asserts that the sums in the state are consistent. For tests. */
void vp_cell_check (const VpCell *cell);
