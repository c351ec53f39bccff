#include "vp-turns.h"

#include <string.h>

/* Work that is this many times over its objective earns nothing and yields. */
#define VP_TURNS_HOPELESS_FACTOR 3

/* Room of the workers of one service that no step in order before has a claim to. */
typedef struct {
  const char *service;
  VpSize spare;
} VpTurnSpare;

static VpSize *
_vp_turns_spare (VpTurns *turns, const char *service, int64_t now_ms)
{
  VpTurnSpare spare = { .service = service };

  for (guint i = 0; i < turns->spares->len; i++) {
    if (strcmp (g_array_index (turns->spares, VpTurnSpare, i).service, service) == 0)
      return &g_array_index (turns->spares, VpTurnSpare, i).spare;
  }
  for (guint i = 0; i < turns->roster->workers->len; i++) {
    const VpRosterWorker *worker = turns->roster->workers->pdata[i];
    VpSize free = vp_roster_free (worker);
    if (vp_roster_is_usable (worker, now_ms) && strcmp (worker->entry.service, service) == 0)
      vp_size_add (&spare.spare, &free);
  }
  g_array_append_val (turns->spares, spare);
  return &g_array_index (turns->spares, VpTurnSpare, turns->spares->len - 1).spare;
}

bool
vp_turns_claim (VpTurns *turns, const VpTurn *turn, int64_t now_ms)
{
  const VpJobStep *step = turn->step;
  VpSize *spare = _vp_turns_spare (turns, turn->queue->service, now_ms);
  VpSize need = vp_jobtask_room (&step->tasks[0]);

  if (!vp_size_fits (&need, spare))
    return false;
  vp_size_scale (&need, step->waiting_count);
  vp_size_sub (spare, &need);
  return true;
}

static gint
_vp_turns_compare (gconstpointer a, gconstpointer b)
{
  const VpTurn *one = a;
  const VpTurn *two = b;

  if (one->is_hopeless != two->is_hopeless)
    return one->is_hopeless ? 1 : -1;
  if (one->queue->priority != two->queue->priority)
    return one->queue->priority < two->queue->priority ? -1 : 1;
  return one->objective_ms == two->objective_ms  ? 0
         : one->objective_ms < two->objective_ms ? -1
                                                 : 1;
}

/* Longest chain of estimates through the steps of a job. */
static int64_t
_vp_turns_chain_ms (const VpJobSpec *spec)
{
  int64_t chain_ms[VP_JOBSPEC_STEPS_MAX];
  int64_t longest_ms = 0;

  for (uint32_t s = 0; s < spec->step_count; s++) {
    const VpStepSpec *step = &spec->steps[s];
    chain_ms[s] = 0;
    for (guint i = 0; step->after != NULL && i < step->after->len; i++)
      chain_ms[s] = MAX (chain_ms[s], chain_ms[g_array_index (step->after, uint32_t, i)]);
    chain_ms[s] += step->estimate_ms;
    longest_ms = MAX (longest_ms, chain_ms[s]);
  }
  return longest_ms;
}

static int64_t
_vp_turns_objective_ms (VpJob *job, const VpQueueConf *queue)
{
  if (job->objective_ms == INT64_MAX)
    job->objective_ms = job->arrived_ms + queue->latency_target_ms
                        + (int64_t)(queue->stretch * (double)_vp_turns_chain_ms (job->spec));
  return job->objective_ms;
}

static void
_vp_turns_add (VpTurns *turns, VpJobStep *step, const VpCellConf *conf, int64_t now_ms)
{
  VpJob *job = step->run->job;
  VpTurn turn = { .step = step, .queue = vp_cellconf_queue (conf, job->spec->queue) };

  if (turn.queue == NULL || step->waiting_count == 0)
    return;
  turn.objective_ms = _vp_turns_objective_ms (job, turn.queue);
  turn.is_hopeless = !step->spec->is_lasting
                     && now_ms - job->arrived_ms
                            > VP_TURNS_HOPELESS_FACTOR * (turn.objective_ms - job->arrived_ms);
  g_array_append_val (turns->items, turn);
}

void
vp_turns_setup (VpTurns *turns,
                const VpRoster *roster,
                const VpJobList *jobs,
                const VpCellConf *conf,
                int64_t now_ms)
{
  turns->roster = roster;
  turns->items = g_array_new (FALSE, FALSE, sizeof (VpTurn));
  turns->spares = g_array_new (FALSE, FALSE, sizeof (VpTurnSpare));
  for (guint i = 0; i < jobs->open_steps->len; i++)
    _vp_turns_add (turns, jobs->open_steps->pdata[i], conf, now_ms);
  g_array_sort (turns->items, _vp_turns_compare);
}

void
vp_turns_shutdown (VpTurns *turns)
{
  g_array_unref (turns->items);
  g_array_unref (turns->spares);
}
