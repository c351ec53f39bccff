/* Log lines of task runs. The runs of one decision are combined into few lines.
 *
 *   VpRunlog log;
 *   vp_runlog_setup (&log, &(VpRunlogDesc){ .wait_ms = 0 });
 *   vp_runlog_add (&log, "start", "fits", task, now_ms);     // for each task
 *   vp_runlog_flush (&log, now_ms);                          // at the end of the decision
 *   vp_runlog_shutdown (&log);                               // writes the remaining runs
 *
 * Runs with the same event, reason, run number, number of failures and points for crashes share a
 * line. Lines are in the order in which the first run of each was added:
 *
 *   event=start why=fits run=1 tasks=ID.K.STEP:w1:0-3,w2:4+7;ID.K.STEP:w1:0
 *
 * The tasks of a step are listed by worker, as ranges of their numbers. A long line is continued in
 * another line with the same keys. If the runs of a line were added over some time, the line gives
 * that time as within_ms. K in a task's name is the occurrence of its job. Output goes to vp_log()
 * only. To be used by one thread.
 */
#pragma once

#include "vp-joblist.h"

/* Maximum number of buffered runs. Adding one more first writes all of them. */
#define VP_RUNLOG_ENTRIES_MAX 512

typedef struct {
  const char *event; /* static string */
  const char *why;   /* static string */
  VpTaskName task;
  uint32_t run;
  uint32_t failures;
  uint32_t crash_points;
  uint32_t group; /* runs of one group share lines; groups are numbered in the order in which their
                     first runs were added */
  int64_t at_ms;
  char *worker; /* owned */
} VpRunlogEntry;

typedef struct {
  int64_t wait_ms; /* minimum interval between flushes that write */
} VpRunlogDesc;

typedef struct {
  VpRunlogDesc desc;
  VpRunlogEntry *entries;
  uint32_t count;
  uint32_t group_count;
  int64_t written_ms; /* time of the last flush that wrote */
} VpRunlog;

void vp_runlog_setup (VpRunlog *log, const VpRunlogDesc *desc);
void vp_runlog_shutdown (VpRunlog *log);
/* Adds the current run of @task. @event and @why are static strings. */
void vp_runlog_add (VpRunlog *log,
                    const char *event,
                    const char *why,
                    const VpJobTask *task,
                    int64_t now_ms);
/* Writes all buffered runs, unless some were written less than wait_ms ago. */
void vp_runlog_flush (VpRunlog *log, int64_t now_ms);
