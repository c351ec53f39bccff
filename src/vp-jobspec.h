/* A job as its caller described it: steps of equal tasks, with their order and placement limits.
 *
 *   VpJobSpec *spec = vp_jobspec_new (step_count);
 *   spec->steps[0] = (VpStepSpec){ .task_count = 4, .size = { .cpu_milli = 500 } };
 *   GVariant *value = vp_jobspec_encode (spec);            // floating
 *   VpJobSpec *copy = vp_jobspec_decode (value);           // NULL if a field is out of range
 *   vp_jobspec_unref (spec);
 *
 * Reference counted and not changed once it is shared.
 */
#pragma once

#include "vp-types.h"

#define VP_JOBSPEC_STEPS_MAX 64
#define VP_JOBSPEC_TASKS_MAX 4096 /* of one step */
#define VP_JOBSPEC_RUNS_MAX  1024 /* occurrences of a repeated job */
#define VP_JOBSPEC_TEXT_MAX  4096 /* bytes of the text handed to workers */
#define VP_LABEL_MAX         32   /* bytes of a label, rack or image name with its NUL */

#define VP_JOBSPEC_STEP_TYPE "(u(xxx)xauubbbbbbsssxu)"
#define VP_JOBSPEC_TYPE      "(tsssuxxa" VP_JOBSPEC_STEP_TYPE ")"

typedef struct {
  uint32_t task_count;
  VpResources size; /* of one task */
  int64_t estimate_ms;
  GArray *after;       /* uint32_t: earlier steps that must be done first; NULL: none */
  uint32_t spread_max; /* most tasks of the step on one worker; 0: no limit */
  bool is_gang;        /* all tasks run together or not at all */
  bool is_one_rack;    /* slower when spread over racks */
  bool is_saving;      /* writes checkpoints */
  bool is_copyable;    /* a task may run twice at a time; the first end counts */
  bool is_lasting;     /* runs until it is cancelled */
  bool is_filling;     /* uses what others leave of the processors; only its memory is reserved */
  char label[VP_LABEL_MAX]; /* that the worker must have; empty: none */
  char rack[VP_LABEL_MAX];  /* near the data: slower elsewhere; empty: none */
  char image[VP_LABEL_MAX];
  int64_t tail_target_ms; /* of a lasting step's own response times; 0: none */
  uint32_t may_miss;      /* tasks that our actions may keep away at a time; 0: no limit */
} VpStepSpec;

typedef struct {
  uint32_t refs; /* atomic */
  uint64_t id;
  char queue[VP_NAME_MAX];
  char team[VP_NAME_MAX];
  char *text;         /* handed to workers */
  uint32_t run_count; /* occurrences; at least 1 */
  int64_t first_ms;   /* when occurrence 0 is due; 0: at once */
  int64_t interval_ms;
  uint32_t step_count;
  VpStepSpec *steps;
} VpJobSpec;

VpJobSpec *vp_jobspec_new (uint32_t step_count);
VpJobSpec *vp_jobspec_ref (VpJobSpec *spec);
void vp_jobspec_unref (VpJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (VpJobSpec, vp_jobspec_unref)

/* NULL, or what is wrong with it in a few words. */
const char *vp_jobspec_check (const VpJobSpec *spec);
GVariant *vp_jobspec_encode (const VpJobSpec *spec);
VpJobSpec *vp_jobspec_decode (GVariant *value);
/* Estimated time of the longest chain of steps from each step to the end of the job, in @chains_ms
 * of VP_JOBSPEC_STEPS_MAX elements; returns the longest of all. */
int64_t vp_jobspec_chains (const VpJobSpec *spec, int64_t *chains_ms);
/* "<16 hex>", the identity of a job. */
void vp_job_id_format (uint64_t id, char out[17]);
bool vp_job_id_parse (const char *text, uint64_t *out);
