/* Order in which waiting steps get their turn: priority of the queue, teams within their share
 * before others, work that can still meet its objective before work that can't, least slack first;
 * work that is far too late comes last. Made anew for each decision.
 *
 * Under overload the order by objective alone would spend the room on work that is late anyway and
 * make all of it late, and one team's crowd would make the others wait.
 *
 *   VpTurns turns;
 *   vp_turns_setup (&turns, roster, jobs, conf, now_ms);
 *   for (guint i = 0; i < turns.items->len; i++)
 *     place (&g_array_index (turns.items, VpTurn, i));
 *   vp_turns_shutdown (&turns);
 */
#pragma once

#include "vp-place.h"

typedef enum {
  VP_OUTLOOK_IN_TIME,  /* its job can still meet its objective */
  VP_OUTLOOK_LATE,     /* it can't, but its end is worth something */
  VP_OUTLOOK_HOPELESS, /* it is so late that its end is worth nothing */
} VpOutlook;

typedef struct {
  VpJobStep *step;
  const VpQueueConf *queue;
  guint pool; /* index of the queue's service in @pools */
  VpOutlook outlook;
  bool is_over_share;
  int64_t start_by_ms; /* latest start that meets the job's objective */
} VpTurn;

/* The workers of one service in this decision. */
typedef struct {
  VpPlacePool *place;
  bool has_spare;
  VpResources spare; /* room that no turn before has a claim to */
} VpTurnPool;

typedef struct {
  const VpRoster *roster;
  GArray *items; /* VpTurn, first turn first */
  GArray *pools; /* VpTurnPool, one for each service */
} VpTurns;

void vp_turns_setup (VpTurns *turns,
                     const VpRoster *roster,
                     const VpJobList *jobs,
                     const VpCellConf *conf,
                     int64_t now_ms);
void vp_turns_shutdown (VpTurns *turns);
/* Takes what the step's waiting tasks need off the room that later turns may ask advice about;
 * false if not even one task would fit. */
bool vp_turns_claim (VpTurns *turns, const VpTurn *turn);
/* The workers that may run the turn's step. */
VpPlacePool *vp_turns_pool (const VpTurns *turns, const VpTurn *turn);
