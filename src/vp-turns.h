/* Order in which waiting steps get their turn: priority of the queue, then the job's objective;
 * work that can't earn anything any more comes last. Made anew for each decision.
 *
 *   VpTurns turns;
 *   vp_turns_setup (&turns, roster, jobs, conf, now_ms);
 *   for (guint i = 0; i < turns.items->len; i++)
 *     place (&g_array_index (turns.items, VpTurn, i));
 *   vp_turns_shutdown (&turns);
 */
#pragma once

#include "vp-cellconf.h"
#include "vp-joblist.h"

typedef struct {
  VpJobStep *step;
  const VpQueueConf *queue;
  bool is_hopeless;
  int64_t objective_ms;
} VpTurn;

typedef struct {
  const VpRoster *roster;
  GArray *items;  /* VpTurn, first turn first */
  GArray *spares; /* room that is left to be asked about, by service */
} VpTurns;

void vp_turns_setup (VpTurns *turns,
                     const VpRoster *roster,
                     const VpJobList *jobs,
                     const VpCellConf *conf,
                     int64_t now_ms);
void vp_turns_shutdown (VpTurns *turns);
/* Takes what the step's waiting tasks need off the room that later turns may ask advice about;
 * false if not even one task would fit. */
bool vp_turns_claim (VpTurns *turns, const VpTurn *turn, int64_t now_ms);
