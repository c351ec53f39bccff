/* Order in which waiting steps get their turn: priority of the queue, teams within their share
 * before others, work that can still meet its objective before work that can't, least slack first;
 * work that is far too late comes last. Made anew for each decision.
 *
 * Under overload the order by objective alone would spend the room on work that is late anyway and
 * make all of it late, and one team's crowd would make the others wait.
 *
 *   VpStepQueue turns;
 *   vp_stepqueue_setup (&turns, roster, jobs, conf, now_ms);
 *   for (guint i = 0; i < turns.items->len; i++)
 *     place (&g_array_index (turns.items, VpStepQueueItem, i));
 *   vp_stepqueue_shutdown (&turns);
 */
#pragma once

#include "vp-place.h"

typedef enum {
  VP_LATENESS_ON_TIME,   /* its job can still meet its objective */
  VP_LATENESS_LATE,      /* it can't, but its end is worth something */
  VP_LATENESS_WORTHLESS, /* it is so late that its end is worth nothing */
} VpLateness;

typedef struct {
  VpJobStep *step;
  const VpQueueConf *queue;
  guint pool; /* index of the queue's service in @pools */
  VpLateness lateness;
  bool is_over_rate;
  int64_t latest_start_ms; /* latest start that meets the job's objective */
} VpStepQueueItem;

/* The workers of one service in this decision. */
typedef struct {
  VpPlacePool *place;
  bool has_spare;
  VpSize spare; /* room that no turn before has a claim to */
} VpStepQueuePool;

typedef struct {
  const VpWorkerList *worker_list;
  GArray *items; /* VpStepQueueItem, first turn first */
  GArray *pools; /* VpStepQueuePool, one for each service */
} VpStepQueue;

void vp_stepqueue_setup (VpStepQueue *step_queue,
                         const VpWorkerList *worker_list,
                         const VpJobList *jobs,
                         const VpCellConf *conf,
                         int64_t now_ms);
void vp_stepqueue_shutdown (VpStepQueue *step_queue);
/* Takes what the step's waiting tasks need off the room that later turns may ask advice about;
 * false if not even one task would fit. */
bool vp_stepqueue_reserve (VpStepQueue *step_queue, const VpStepQueueItem *item);
/* The workers that may run the turn's step. */
VpPlacePool *vp_stepqueue_pool (const VpStepQueue *step_queue, const VpStepQueueItem *item);
