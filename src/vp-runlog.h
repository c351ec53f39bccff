/* Log lines of runs: joins those of one decision into few lines.
 *
 *   VpRunlog log;
 *   vp_runlog_setup (&log, &(VpRunlogDesc){ .wait_ms = 0 });
 *   vp_runlog_add (&log, "start", "fits", task, now_ms);     // for each task
 *   vp_runlog_flush (&log, now_ms);                          // at the end of the decision
 *   vp_runlog_shutdown (&log);                               // writes what is left
 *
 * Runs with the same event, reason, run number and failures share a line, in the order in which
 * the first of each was added:
 *
 *   event=start why=fits run=1 tasks=ID.K.STEP:w1:0-3,w2:4+7;ID.K.STEP:w1:0
 *
 * Tasks of one step are listed by worker, as ranges of their numbers. A long line is continued by
 * another one with the same keys. Lines that cover some time tell it as within_ms. No I/O but
 * vp_log(). Used by one thread.
 */
#pragma once

#include "vp-joblist.h"

/* Runs that are collected; one more and all are written. */
#define VP_RUNLOG_ENTRIES_MAX 512

typedef struct {
  const char *event; /* static, as the next */
  const char *why;
  VpTaskName task;
  uint32_t run;
  uint32_t failures;
  uint32_t group; /* runs of one group share lines; groups are numbered as they come up */
  int64_t at_ms;
  char worker[VP_NAME_MAX];
} VpRunlogEntry;

typedef struct {
  int64_t wait_ms; /* a flush this short after the last one that wrote does nothing */
} VpRunlogDesc;

typedef struct {
  VpRunlogDesc desc;
  VpRunlogEntry *entries;
  uint32_t count;
  uint32_t group_count;
  int64_t written_ms; /* last time that runs were written */
} VpRunlog;

void vp_runlog_setup (VpRunlog *log, const VpRunlogDesc *desc);
void vp_runlog_shutdown (VpRunlog *log);
/* Notes the present run of @task; @event and @why are static strings. */
void vp_runlog_add (VpRunlog *log,
                    const char *event,
                    const char *why,
                    const VpJobTask *task,
                    int64_t now_ms);
/* Writes all runs, unless some were written less than wait_ms ago. */
void vp_runlog_flush (VpRunlog *log, int64_t now_ms);
