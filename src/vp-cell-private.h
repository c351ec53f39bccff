/* State of the scheduler, for the files that it is made of: vp-cell.c, vp-cell-commands.c,
 * vp-cell-scan.c, vp-cell-recovery.c. */
#pragma once

#include "vp-advise.h"
#include "vp-cell.h"
#include "vp-reconcile.h"

/* Times that a start without an answer is repeated for the same run before the run is stopped. */
#define VP_CELL_START_TRIES 3
/* Interval of looks at all running tasks for those to be stopped. */
#define VP_CELL_SCAN_MS 50

struct _VpCell {
  VpCellDesc desc;
  VpCellConf *conf;
  VpWorkerList *worker_list;
  VpJobList *jobs;
  VpReconcile reconcile;
  VpAdvise *advise;
  int64_t started_ms;
  int64_t scan_next_ms;
  int64_t commands_until_ms; /* no lease is given after this */
  bool is_fenced;
  bool is_paused;
  bool has_platform_list;  /* the platform's list of workers was read */
  bool has_stored_workers; /* the workers that the last scheduler used are all in the roster */
  bool is_stored_list_unreadable; /* its list of them can't be read */
  bool is_recovered;
};

/* Appends an order for the worker. */
VpCommand *
_vp_cell_add_command (VpCell *cell, VpCellWorker *worker, VpCommandKind kind, GArray *effects);
/* Orders the present run of an assigned task; again if it was ordered before. */
void _vp_cell_send_start (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects);
void _vp_cell_send_stop (VpCell *cell, VpJobTask *task, int64_t now_ms, GArray *effects);
/* Whether it is known what an earlier scheduler has running there. */
bool _vp_cell_is_verified_worker (const VpCell *cell, const VpCellWorker *worker, int64_t now_ms);
/* Notes when all is known that an earlier scheduler may have started. */
void _vp_cell_check_recovered (VpCell *cell, int64_t now_ms);
/* Closes a worker that is out of use for work that isn't kept first, and opens it again. */
void _vp_cell_update_active (VpCell *cell, VpCellWorker *worker, int64_t now_ms);
/* Looks at all running tasks: stops those that must not go on, repeats starts without an answer,
 * gives up what silent workers ran, and removes workers that are gone. */
void _vp_cell_scan (VpCell *cell, int64_t now_ms, GArray *effects);
