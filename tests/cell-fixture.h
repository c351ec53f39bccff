/* Fixture for tests of the scheduler without a transport: the test supplies the results of
 * commands.
 *
 *   Fixture fixture;
 *   _setup (&fixture, 2, false);           // two workers, no advice
 *   _sync (&fixture);                      // each reports that it runs nothing
 *   _submit (&fixture, 4, 1000);
 *   _decide (&fixture);
 *   g_assert_cmpuint (_count_commands (&fixture, VP_COMMAND_START), ==, 4);
 *   _teardown (&fixture);
 */
#pragma once

#include "static-text.h"
#include "vp-cell.h"

#include <string.h>

typedef struct {
  VpCell *cell;
  GArray *effects; /* VpCellEffect of the last decision */
  int64_t now_ms;
  uint64_t last_job;
  uint64_t last_end; /* number of the last end that a worker has reported */
} Fixture;

static inline void
_clear_effects (Fixture *fixture)
{
  for (guint i = 0; i < fixture->effects->len; i++)
    vp_cell_effect_clear (&g_array_index (fixture->effects, VpCellEffect, i));
  g_array_set_size (fixture->effects, 0);
}

/* Lets the scheduler decide. @effects then holds the effects of this decision. */
static inline void
_decide (Fixture *fixture)
{
  _clear_effects (fixture);
  vp_cell_decide (fixture->cell, fixture->now_ms, fixture->effects);
  vp_cell_check (fixture->cell);
}

/* Returns the platform's entry of the worker "w@number". Two workers share a rack. */
static inline VpWorkerEntry
_worker_entry (uint32_t number)
{
  VpWorkerEntry entry = {
    .service = "service", .address = "127.0.0.1:1", .dc = "dc", .kind = "a", .remaining_ms = -1
  };

  entry.id = static_text ("w%u", number);
  entry.rack = static_text ("r%u", number / 2);
  entry.capacity = (VpResources){ .cpu_milli = 4000, .mem_mib = 8192 };
  return entry;
}

/* Returns the answer of the worker to a HOLD that was sent just now. It lists no runs and no ends.
 * The caller fills in @running and @ended and passes the result to _apply(). */
static inline VpCommandResult
_hold_result (const Fixture *fixture, const char *worker)
{
  VpCommandResult result = { .kind = VP_COMMAND_HOLD,
                             .fence = 7,
                             .clock_ms = fixture->now_ms - 500000,
                             .booted_ms = 1,
                             .sent_ms = fixture->now_ms,
                             .received_ms = fixture->now_ms };

  result.worker = g_strdup (worker);
  result.running = vp_command_running_new ();
  result.ended = vp_command_ended_new ();
  return result;
}

/* Passes the result to the scheduler and frees what it owns. It keeps the name of the worker. */
static inline void
_apply (Fixture *fixture, VpCommandResult *result)
{
  char *worker = static_text ("%s", result->worker);

  vp_cell_command_result (fixture->cell, result, fixture->now_ms);
  vp_command_result_clear (result);
  result->worker = worker;
  vp_cell_check (fixture->cell);
}

/* Sets up a scheduler with a queue, a team and a complete list of @worker_count workers. */
static inline void
_setup_cell (Fixture *fixture, const VpCellDesc *desc, uint32_t worker_count, bool has_advice)
{
  VpQueueConfig queue = { .name = "q",
                          .service = "service",
                          .attempts_max = 2,
                          .stretch = 2,
                          .latency_target_ms = 500,
                          .has_advice = has_advice,
                          .advice_decide_ms = 20,
                          .advice_worker_ms = 1,
                          .advice_valid_ms = 2000 };
  VpTeamConfig team = { .name = "team", .cap = { .cpu_milli = 20000 } };
  VpCellConfig *config = vp_cellconfig_new (1);

  *fixture = (Fixture){ .now_ms = 1000000 };
  fixture->effects = g_array_new (FALSE, FALSE, sizeof (VpCellEffect));
  fixture->cell = vp_cell_setup (desc, fixture->now_ms);
  g_array_append_val (config->queues, queue);
  g_array_append_val (config->teams, team);
  vp_cellconfig_seal (config);
  vp_cell_set_config (fixture->cell, config);
  vp_cellconfig_unref (config);
  for (uint32_t i = 0; i < worker_count; i++) {
    VpWorkerEntry entry = _worker_entry (i);
    vp_cell_worker_listed (fixture->cell, &entry, fixture->now_ms);
  }
  vp_cell_worker_list_complete (fixture->cell);
  _decide (fixture);
}

/* Sets up a scheduler with a list of workers that may be incomplete for @relist_ms. */
static inline void
_setup_with_relist (Fixture *fixture, int64_t relist_ms, uint32_t worker_count, bool has_advice)
{
  _setup_cell (fixture, &(VpCellDesc){ .fence = 7, .hold_max_ms = 6000, .relist_ms = relist_ms },
               worker_count, has_advice);
}

static inline void
_setup (Fixture *fixture, uint32_t worker_count, bool has_advice)
{
  _setup_with_relist (fixture, 0, worker_count, has_advice);
}

/* Lets all workers report that they run nothing. */
static inline void
_sync (Fixture *fixture)
{
  const VpWorkerList *worker_list = vp_cell_workers (fixture->cell);

  for (guint i = 0; i < worker_list->workers->len; i++) {
    VpCommandResult result
        = _hold_result (fixture, ((VpCellWorker *)worker_list->workers->pdata[i])->entry.id);
    _apply (fixture, &result);
  }
}

static inline void
_teardown (Fixture *fixture)
{
  _clear_effects (fixture);
  g_array_unref (fixture->effects);
  vp_cell_shutdown (fixture->cell);
}

/* Adds a durable job of a single step with @width tasks of @cpu_milli each. */
static inline VpJob *
_submit (Fixture *fixture, uint32_t width, int64_t cpu_milli)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
  VpJob *job;

  spec->id = ++fixture->last_job;
  spec->text = g_strdup ("text");
  spec->queue = "q";
  spec->team = "team";
  spec->steps[0] = (VpStepSpec){ .task_count = width,
                                 .size = { .cpu_milli = cpu_milli, .mem_mib = 100 },
                                 .estimate_ms = 1000 };
  job = vp_joblist_add (vp_cell_jobs (fixture->cell), spec, fixture->now_ms, fixture->now_ms);
  job->is_durable = true;
  return job;
}

/* Returns the first command of the kind in the last decision, or NULL. */
static inline const VpCommand *
_find_command (const Fixture *fixture, VpCommandKind kind)
{
  for (guint i = 0; i < fixture->effects->len; i++) {
    const VpCellEffect *effect = &g_array_index (fixture->effects, VpCellEffect, i);
    if (effect->kind == VP_CELL_COMMAND && effect->command.kind == kind)
      return &effect->command;
  }
  return NULL;
}

/* Returns what identifies the command, which a later decision frees. It owns nothing. */
static inline VpCommand
_keep_command (const VpCommand *command)
{
  VpCommand kept = *command;

  kept.worker = static_text ("%s", command->worker);
  kept.requester = kept.text = kept.checkpoint = kept.ticket = NULL;
  return kept;
}

static inline uint32_t
_count_commands (const Fixture *fixture, VpCommandKind kind)
{
  uint32_t count = 0;

  for (guint i = 0; i < fixture->effects->len; i++) {
    const VpCellEffect *effect = &g_array_index (fixture->effects, VpCellEffect, i);
    count += effect->kind == VP_CELL_COMMAND && effect->command.kind == kind ? 1 : 0;
  }
  return count;
}

/* Returns a result of the command that was sent and answered just now. */
static inline VpCommandResult
_command_result (const Fixture *fixture, const VpCommand *command, VpCommandOutcome outcome)
{
  VpCommandResult result = { .kind = command->kind,
                             .task = command->task,
                             .run = command->run,
                             .fence = command->fence,
                             .outcome = outcome,
                             .clock_ms = fixture->now_ms - 500000,
                             .sent_ms = fixture->now_ms,
                             .received_ms = fixture->now_ms };

  result.worker = g_strdup (command->worker);
  return result;
}

/* Lets the worker answer the command with @outcome. */
static inline void
_answer (Fixture *fixture, const VpCommand *command, VpCommandOutcome outcome)
{
  VpCommandResult result = _command_result (fixture, command, outcome);

  _apply (fixture, &result);
}

/* Submits a job of one task and confirms its start. */
static inline VpJob *
_run_one (Fixture *fixture, int64_t cpu_milli)
{
  VpJob *job = _submit (fixture, 1, cpu_milli);

  _decide (fixture);
  _answer (fixture, _find_command (fixture, VP_COMMAND_START), VP_COMMAND_OK);
  return job;
}
