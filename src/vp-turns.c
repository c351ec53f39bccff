#include "vp-turns.h"

#include <string.h>

/* Work that is this many times over its objective earns nothing and yields. */
#define VP_TURNS_HOPELESS_FACTOR 3

static guint
_vp_turns_add_pool (VpTurns *turns, const char *service, int64_t now_ms)
{
  VpTurnPool pool = { 0 };

  for (guint i = 0; i < turns->pools->len; i++) {
    if (strcmp (g_array_index (turns->pools, VpTurnPool, i).place->service, service) == 0)
      return i;
  }
  pool.place = vp_place_pool_new (turns->roster, service, now_ms);
  g_array_append_val (turns->pools, pool);
  return turns->pools->len - 1;
}

VpPlacePool *
vp_turns_pool (const VpTurns *turns, const VpTurn *turn)
{
  return g_array_index (turns->pools, VpTurnPool, turn->pool).place;
}

bool
vp_turns_claim (VpTurns *turns, const VpTurn *turn)
{
  VpTurnPool *pool = &g_array_index (turns->pools, VpTurnPool, turn->pool);
  VpSize need = vp_jobtask_room (&turn->step->tasks[0]);

  if (!pool->has_spare) {
    pool->has_spare = true;
    for (guint i = 0; i < pool->place->slots->len; i++)
      vp_size_add (&pool->spare, &g_array_index (pool->place->slots, VpPlaceSlot, i).free);
  }
  if (!vp_size_fits (&need, &pool->spare))
    return false;
  vp_size_scale (&need, turn->step->waiting_count);
  vp_size_sub (&pool->spare, &need);
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
  turn.pool = _vp_turns_add_pool (turns, turn.queue->service, now_ms);
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
  turns->pools = g_array_new (FALSE, FALSE, sizeof (VpTurnPool));
  for (guint i = 0; i < jobs->open_steps->len; i++)
    _vp_turns_add (turns, jobs->open_steps->pdata[i], conf, now_ms);
  g_array_sort (turns->items, _vp_turns_compare);
}

void
vp_turns_shutdown (VpTurns *turns)
{
  g_array_unref (turns->items);
  for (guint i = 0; i < turns->pools->len; i++)
    vp_place_pool_free (g_array_index (turns->pools, VpTurnPool, i).place);
  g_array_unref (turns->pools);
}
