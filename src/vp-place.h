/* Choice of workers for the tasks of a step. No I/O.
 *
 *   VpPlacePool *pool = vp_place_pool_new (worker_list, forecast, "service", now_ms);  // for one
 *                                                                                      // decision
 *   VpPlaceSlot *slot = vp_place_pick (pool, task, queue, now_ms);            // NULL: none fits
 *   ... assign the task to slot->worker ...
 *   vp_place_slot_update (pool, slot);
 *   if (vp_place_gang (pool, step, queue, now_ms, slots))                // one slot for each task
 *     ...
 *   vp_place_candidates (pool, step, queue, rate, reservations, now_ms, candidates); // to request
 * advice vp_place_pool_free (pool);
 */
#pragma once

#include "vp-cellconfig.h"
#include "vp-reservation.h"

/* A worker that may get tasks, and its capacity that isn't assigned. */
typedef struct {
  VpCellWorker *worker;
  VpResources free;
  VpReservation reservation; /* capacity that steps which come first wait for */
} VpPlaceSlot;

/* The usable workers of one service at the time of one decision. The slots are small and contiguous
 * in memory, as every waiting step scans all of them. */
typedef struct {
  const VpWorkerList *worker_list;
  const VpForecast *forecast;      /* borrowed; NULL: callers' estimates are taken as durations */
  const char *service;             /* borrowed */
  GArray *slots;                   /* VpPlaceSlot */
  VpResources free;                /* free capacity of all workers */
  VpResources spare;               /* free capacity of all workers, less reservations */
  bool has_spare;                  /* @spare has been computed */
  VpResources largest;             /* at least what any one worker has free and not reserved */
  VpResources capacity_max;        /* the largest capacity of any worker */
  uint32_t busy_reservation_count; /* wide tasks that wait for a busy worker */
  uint32_t evacuated_count;        /* workers of the service in DCs under evacuation */
  uint32_t fast_wait_count;        /* urgent tasks that wait for a busy fast worker */
} VpPlacePool;

typedef struct {
  const VpCellWorker *worker;
  uint32_t capacity; /* number of tasks of the step that fit on it */
} VpPlaceCandidate;

/* @forecast is borrowed; NULL: callers' estimates are taken as durations. */
VpPlacePool *vp_place_pool_new (const VpWorkerList *worker_list,
                                const VpForecast *forecast,
                                const char *service,
                                int64_t now_ms);
void vp_place_pool_free (VpPlacePool *pool);
/* Updates the free capacity of the slot after a task was assigned to its worker. */
void vp_place_slot_update (VpPlacePool *pool, VpPlaceSlot *slot);

/* Reserves capacity for the waiting tasks of a step that can't start now, so that steps which are
 * placed later in this decision don't use it. Wide tasks reserve it on workers: free capacity that
 * waits for the step's advice, and capacity that is expected on busy workers that the step may use.
 * Other tasks reduce the sum of the free capacity. Steps that need no advice start as soon as there
 * is capacity and reserve nothing. */
void vp_place_reserve (VpPlacePool *pool,
                       const VpJobStep *step,
                       const VpQueueConfig *queue,
                       int64_t now_ms);
/* Returns true if a task of the step fits into the sum of the capacity that was free at the first
 * call in this decision and isn't reserved, so that a request for advice may be of use. Later
 * placements don't count, since capacity will be free again when the answer arrives. */
bool vp_place_has_spare (VpPlacePool *pool, const VpJobStep *step);
/* Returns the best worker for a waiting task, or NULL. Free capacity, label, limit per worker and
 * advice must allow the task there, and it must not have failed there a short time ago. */
VpPlaceSlot *vp_place_pick (const VpPlacePool *pool,
                            const VpJobTask *task,
                            const VpQueueConfig *queue,
                            int64_t now_ms);
/* Returns true if an urgent task that could start on the worker of @slow, which is slow and makes
 * its job late, is expected to end sooner on a fast worker that is busy now, and such workers have
 * room for all waiting tasks of its step, which then wait as well. The capacity for one task is
 * then reserved for the rest of this decision. */
bool vp_place_waits_for_fast (VpPlacePool *pool,
                              const VpJobTask *task,
                              const VpQueueConfig *queue,
                              const VpPlaceSlot *slow,
                              int64_t now_ms);
/* Chooses a worker for every task of the step at the same time and writes them to @out. Returns
 * false if they don't all fit. */
bool vp_place_gang (const VpPlacePool *pool,
                    const VpJobStep *step,
                    const VpQueueConfig *queue,
                    int64_t now_ms,
                    VpPlaceSlot **out);
/* Appends the workers (VpPlaceCandidate) to put into an advice request for the waiting tasks, best
 * first: workers with free capacity that have no valid ticket and that the service hasn't excluded.
 * There are no more than the tasks are likely to need if the service allows @approval_rate of the
 * workers without advice so far. @reservations maps worker ids to the capacity (VpResources) that
 * other pending requests are meant to fill; workers without any other capacity come last.
 *
 * For wide tasks the request may also name workers without free capacity: allowed ones that are
 * expected to have it when the answer arrives, and, as permissions don't change, others as far as
 * they hardly prolong the call, so that the step knows for which workers it can wait. */
void vp_place_candidates (const VpPlacePool *pool,
                          const VpJobStep *step,
                          const VpQueueConfig *queue,
                          double approval_rate,
                          GHashTable *reservations,
                          int64_t now_ms,
                          GArray *out);
/* Returns true if the worker takes clearly longer than others of its service. */
bool vp_place_is_slow (const VpCellWorker *worker);
/* Returns the step's valid ticket for the worker, or NULL if there is none. */
const char *
vp_place_find_ticket (const VpJobStep *step, const VpCellWorker *worker, int64_t now_ms);
