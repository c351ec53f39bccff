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
  VpResources need = vp_jobtask_room (&turn->step->tasks[0]);

  if (!pool->has_spare) {
    pool->has_spare = true;
    for (guint i = 0; i < pool->place->slots->len; i++)
      vp_resources_add (&pool->spare, &g_array_index (pool->place->slots, VpPlaceSlot, i).free);
  }
  if (!vp_resources_fits (&need, &pool->spare))
    return false;
  vp_resources_scale (&need, turn->step->waiting_count);
  vp_resources_sub (&pool->spare, &need);
  return true;
}

static gint
_vp_turns_compare (gconstpointer a, gconstpointer b)
{
  const VpTurn *one = a;
  const VpTurn *two = b;
  bool is_hopeless = one->outlook == VP_OUTLOOK_HOPELESS;

  if (is_hopeless != (two->outlook == VP_OUTLOOK_HOPELESS))
    return is_hopeless ? 1 : -1;
  if (one->queue->priority != two->queue->priority)
    return one->queue->priority < two->queue->priority ? -1 : 1;
  if (one->is_over_share != two->is_over_share)
    return one->is_over_share ? 1 : -1;
  if (one->outlook != two->outlook)
    return one->outlook < two->outlook ? -1 : 1;
  return one->start_by_ms == two->start_by_ms ? 0 : one->start_by_ms < two->start_by_ms ? -1 : 1;
}

/* How long after its beginning an occurrence of the job should have completed. */
static int64_t
_vp_turns_objective_ms (VpJob *job, const VpQueueConf *queue)
{
  int64_t chains_ms[VP_JOBSPEC_STEPS_MAX];

  if (job->objective_ms == 0)
    job->objective_ms
        = queue->latency_target_ms
          + (int64_t)(queue->stretch * (double)vp_jobspec_chains (job->spec, chains_ms));
  return job->objective_ms;
}

static VpOutlook
_vp_turns_outlook (const VpTurn *turn, int64_t began_ms, int64_t objective_ms, int64_t now_ms)
{
  if (turn->step->spec->is_lasting)
    return VP_OUTLOOK_IN_TIME;
  if (now_ms - began_ms > VP_TURNS_HOPELESS_FACTOR * objective_ms)
    return VP_OUTLOOK_HOPELESS;
  return now_ms > turn->start_by_ms ? VP_OUTLOOK_LATE : VP_OUTLOOK_IN_TIME;
}

static void
_vp_turns_add (VpTurns *turns, VpJobStep *step, const VpCellConf *conf, int64_t now_ms)
{
  VpJob *job = step->run->job;
  VpTurn turn = { .step = step, .queue = vp_cellconf_queue (conf, job->spec->queue) };
  int64_t began_ms = step->run->due_ms != 0 ? step->run->due_ms : job->arrived_ms;
  int64_t objective_ms;

  if (turn.queue == NULL || step->waiting_count == 0)
    return;
  turn.pool = _vp_turns_add_pool (turns, turn.queue->service, now_ms);
  turn.is_over_share = job->is_over_share;
  objective_ms = _vp_turns_objective_ms (job, turn.queue);
  turn.start_by_ms = began_ms + objective_ms - step->chain_ms;
  turn.outlook = _vp_turns_outlook (&turn, began_ms, objective_ms, now_ms);
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
