/* Measurements of the cell's scheduler: time of one decision against workers and waiting steps.
 *
 *   bench-cell            prints one JSON object {"measure","value","unit"} a line, and points of
 *                         curves as {"curve","series","x","y"}
 *
 * The load is a cell that is nearly full, where advice rules most workers out and some tasks end
 * between decisions. Workers and the advice service answer at once, by hand. A second load has a
 * third of the cell free, and steps that wait for advice, which takes its time. All random choices
 * have fixed seeds.
 */
#include "vp-cell.h"

#include <stdio.h>
#include <string.h>

#define ROUNDS      200
#define ROUND_MS    5
#define ENDS_ROUND  3 /* tasks that end between two decisions: 600 a second */
#define FENCE       7
#define GOOD_SHARE  0.35
#define STEP_WIDTH  16
#define RACK_SIZE   20
#define ESTIMATE_MS 4000
/* The second load. */
#define ADVISED_SHARE     0.7
#define ADVISED_MS        100 /* from an advice call to its answer */
#define ADVISED_ASKERS    43
#define ADVISED_FREE_PART 3 /* one part in three is free */

typedef struct {
  uint64_t serial;
  GPtrArray *workers; /* ids */
  int64_t due_ms;
} BenchAdviceCall;

typedef struct {
  VpCell *cell;
  GRand *rand;
  GArray *effects;      /* VpCellEffect */
  GArray *running;      /* VpCommand: starts that were answered */
  GHashTable *numbers;  /* worker -> number of its last end */
  GQueue *advice_calls; /* BenchAdviceCall: advice calls under way */
  int64_t advice_ms;    /* time of one */
  double approval_rate; /* part of the workers that advice allows */
  int64_t now_ms;
  uint64_t last_job;
} Bench;

static void
_add_worker (Bench *bench, uint32_t number)
{
  VpWorkerEntry entry = {
    .service = "service", .address = "127.0.0.1:1", .dc = "dc", .kind = "a", .remaining_ms = -1
  };

  g_snprintf (entry.id, sizeof entry.id, "w%u", number);
  g_snprintf (entry.rack, sizeof entry.rack, "r%u", number / RACK_SIZE);
  entry.capacity = (VpResources){ .cpu_milli = 16000, .mem_mib = 32768 };
  vp_cell_worker_listed (bench->cell, &entry, bench->now_ms);
}

static void
_answer (Bench *bench, const VpCommand *command, const VpEndedEntry *ended)
{
  VpCommandResult result = { .kind = command->kind,
                             .task = command->task,
                             .run = command->run,
                             .fence = FENCE,
                             .clock_ms = bench->now_ms,
                             .booted_ms = 1,
                             .sent_ms = bench->now_ms,
                             .received_ms = bench->now_ms };

  g_strlcpy (result.worker, command->worker, sizeof result.worker);
  if (command->kind == VP_COMMAND_HOLD && ended != NULL) {
    result.ended = g_array_new (FALSE, TRUE, sizeof (VpEndedEntry));
    g_array_append_val (result.ended, *ended);
  }
  vp_cell_command_result (bench->cell, &result, bench->now_ms);
  vp_command_result_clear (&result);
}

static void
_advice_call_free (gpointer data)
{
  BenchAdviceCall *advice_request = data;

  g_ptr_array_unref (advice_request->workers);
  g_free (advice_request);
}

static void
_request_advice (Bench *bench, const VpAdviceRequest *effect)
{
  BenchAdviceCall *advice_request = g_new (BenchAdviceCall, 1);

  *advice_request = (BenchAdviceCall){ .serial = effect->serial,
                                       .workers = g_ptr_array_ref (effect->workers),
                                       .due_ms = bench->now_ms + bench->advice_ms };
  g_queue_push_tail (bench->advice_calls, advice_request);
}

static void
_advise (Bench *bench, const BenchAdviceCall *advice_request)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (VpAdviceRow));

  for (guint i = 0; i < advice_request->workers->len; i++) {
    VpAdviceRow row = { .valid_until_ms = bench->now_ms + 2500 };
    if (g_rand_double (bench->rand) > bench->approval_rate)
      continue;
    g_strlcpy (row.worker, advice_request->workers->pdata[i], sizeof row.worker);
    g_strlcpy (row.ticket, "ticket", sizeof row.ticket);
    g_array_append_val (rows, row);
  }
  vp_cell_advice_result (bench->cell, advice_request->serial, rows, bench->now_ms);
}

static void
_advise_due (Bench *bench)
{
  const BenchAdviceCall *advice_request;

  while ((advice_request = g_queue_peek_head (bench->advice_calls)) != NULL
         && advice_request->due_ms <= bench->now_ms) {
    _advise (bench, advice_request);
    _advice_call_free (g_queue_pop_head (bench->advice_calls));
  }
}

static void
_carry_out (Bench *bench)
{
  for (guint i = 0; i < bench->effects->len; i++) {
    VpCellEffect *effect = &g_array_index (bench->effects, VpCellEffect, i);
    if (effect->kind == VP_CELL_ADVICE_REQUEST) {
      _request_advice (bench, &effect->advice_request);
    } else if (effect->command.kind == VP_COMMAND_START) {
      _answer (bench, &effect->command, NULL);
      g_array_append_val (bench->running, effect->command);
    } else if (effect->command.wait_ms == 0) {
      _answer (bench, &effect->command, NULL);
    }
    vp_cell_effect_clear (effect);
  }
  g_array_set_size (bench->effects, 0);
  _advise_due (bench);
}

static void
_submit (Bench *bench)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);

  spec->id = ++bench->last_job;
  spec->text = g_strdup ("text");
  g_strlcpy (spec->queue, "q", sizeof spec->queue);
  g_strlcpy (spec->team, "team", sizeof spec->team);
  spec->steps[0] = (VpStepSpec){ .task_count = STEP_WIDTH,
                                 .size = { .cpu_milli = 2700, .mem_mib = 3900 },
                                 .estimate_ms = ESTIMATE_MS };
  vp_joblist_add (vp_cell_jobs (bench->cell), spec, bench->now_ms, bench->now_ms)->is_durable
      = true;
}

static void
_end_task (Bench *bench)
{
  guint index = (guint)g_rand_int_range (bench->rand, 0, (gint32)bench->running->len);
  VpCommand command = g_array_index (bench->running, VpCommand, index);
  guint number = GPOINTER_TO_UINT (g_hash_table_lookup (bench->numbers, command.worker)) + 1;
  VpEndedEntry ended
      = { .number = number, .task = command.task, .is_task = true, .run = command.run };

  g_hash_table_insert (bench->numbers, g_strdup (command.worker), GUINT_TO_POINTER (number));
  g_array_remove_index_fast (bench->running, index);
  command.kind = VP_COMMAND_HOLD;
  _answer (bench, &command, &ended);
}

static void
_setup (Bench *bench, uint32_t worker_count)
{
  VpQueueConfig queue = { .name = "q",
                          .service = "service",
                          .attempts_max = 3,
                          .stretch = 2,
                          .has_advice = true,
                          .advice_decide_ms = 20,
                          .advice_worker_ms = 1,
                          .advice_valid_ms = 2500 };
  VpTeamConfig team = { .name = "team" };
  VpCellConfig *config = vp_cellconfig_new (1);

  *bench
      = (Bench){ .now_ms = 1000000, .rand = g_rand_new_with_seed (1), .approval_rate = GOOD_SHARE };
  bench->effects = g_array_new (FALSE, FALSE, sizeof (VpCellEffect));
  bench->advice_calls = g_queue_new ();
  bench->running = g_array_new (FALSE, FALSE, sizeof (VpCommand));
  bench->numbers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bench->cell = vp_cell_setup (&(VpCellDesc){ .fence = FENCE, .hold_max_ms = 6000 }, bench->now_ms);
  g_array_append_val (config->queues, queue);
  g_array_append_val (config->teams, team);
  vp_cellconfig_seal (config);
  vp_cell_set_config (bench->cell, config);
  vp_cellconfig_unref (config);
  for (uint32_t i = 0; i < worker_count; i++)
    _add_worker (bench, i);
  vp_cell_worker_list_complete (bench->cell);
  vp_cell_set_advice_client_count (bench->cell, 32);
}

static void
_teardown (Bench *bench)
{
  vp_cell_shutdown (bench->cell);
  g_array_unref (bench->effects);
  g_array_unref (bench->running);
  g_queue_free_full (bench->advice_calls, _advice_call_free);
  g_hash_table_unref (bench->numbers);
  g_rand_free (bench->rand);
}

static void
_decide (Bench *bench)
{
  vp_cell_decide (bench->cell, bench->now_ms, bench->effects);
  bench->now_ms += ROUND_MS;
}

static uint32_t
_waiting (const Bench *bench)
{
  const VpJobList *jobs = vp_cell_jobs (bench->cell);
  uint32_t count = 0;

  for (guint i = 0; i < jobs->ready_steps->len; i++)
    count += ((const VpJobStep *)jobs->ready_steps->pdata[i])->waiting_count > 0 ? 1 : 0;
  return count;
}

static void
_fill (Bench *bench, uint32_t step_count)
{
  for (uint32_t round = 0; round < ROUNDS; round++) {
    if (_waiting (bench) < step_count)
      _submit (bench);
    _decide (bench);
    _carry_out (bench);
  }
}

/* Mean time of a decision with @step_count steps waiting on a full cell, in microseconds. */
static double
_measure (uint32_t worker_count, uint32_t step_count)
{
  Bench bench;
  int64_t spent_us = 0;

  _setup (&bench, worker_count);
  _fill (&bench, step_count);
  for (uint32_t round = 0; round < ROUNDS; round++) {
    int64_t start_us;
    while (_waiting (&bench) < step_count)
      _submit (&bench);
    for (uint32_t i = 0; i < ENDS_ROUND && bench.running->len > 0; i++)
      _end_task (&bench);
    start_us = g_get_monotonic_time ();
    _decide (&bench);
    spent_us += g_get_monotonic_time () - start_us;
    _carry_out (&bench);
  }
  _teardown (&bench);
  return (double)spent_us / ROUNDS;
}

/* The same while a part of the cell is free and the steps wait for advice; in @starts_s the tasks
 * that start in a second. */
static double
_measure_advised (uint32_t worker_count, uint32_t step_count, double *starts_s)
{
  Bench bench;
  int64_t spent_us = 0;
  uint32_t start_count = 0;
  guint most;

  _setup (&bench, worker_count);
  bench.approval_rate = ADVISED_SHARE;
  _fill (&bench, step_count);
  most = bench.running->len - bench.running->len / ADVISED_FREE_PART;
  bench.advice_ms = ADVISED_MS;
  vp_cell_set_advice_client_count (bench.cell, ADVISED_ASKERS);
  for (uint32_t round = 0; round < 2 * ROUNDS; round++) {
    int64_t start_us;
    guint before;
    while (_waiting (&bench) < step_count)
      _submit (&bench);
    while (bench.running->len > most)
      _end_task (&bench);
    before = bench.running->len;
    start_us = g_get_monotonic_time ();
    _decide (&bench);
    /* The first rounds use the room that the calls before have found. */
    spent_us += round < ROUNDS ? 0 : g_get_monotonic_time () - start_us;
    _carry_out (&bench);
    start_count += round < ROUNDS ? 0 : bench.running->len - before;
  }
  _teardown (&bench);
  *starts_s = (double)start_count * 1000 / (ROUNDS * ROUND_MS);
  return (double)spent_us / ROUNDS;
}

int
main (void)
{
  static const uint32_t workers[] = { 48, 350, 820 };
  static const uint32_t steps[] = { 10, 50, 200 };

  for (guint w = 0; w < G_N_ELEMENTS (workers); w++) {
    for (guint s = 0; s < G_N_ELEMENTS (steps); s++) {
      double mean_us = _measure (workers[w], steps[s]);
      double starts_s;
      printf ("{\"curve\":\"cell-decision-time\",\"series\":\"%u waiting "
              "steps\",\"x\":%u,\"y\":%.4g}\n",
              steps[s], workers[w], mean_us);
      printf (
          "{\"measure\":\"cell_decide_us_%u_workers_%u_waiting\",\"value\":%.4g,\"unit\":\"us\"}\n",
          workers[w], steps[s], mean_us);
      mean_us = _measure_advised (workers[w], steps[s], &starts_s);
      printf ("{\"measure\":\"cell_decide_us_%u_workers_%u_waiting_for_advice\",\"value\":%.4g,"
              "\"unit\":\"us\"}\n",
              workers[w], steps[s], mean_us);
      printf ("{\"measure\":\"cell_starts_%u_workers_%u_waiting_for_advice\",\"value\":%.4g,"
              "\"unit\":\"1/s\"}\n",
              workers[w], steps[s], starts_s);
    }
  }
  return 0;
}
