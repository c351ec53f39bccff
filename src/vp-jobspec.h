/* Specification of a job by its caller: steps of equal tasks, dependencies between steps and
 * constraints on placement.
 *
 *   VpJobSpec *spec = vp_jobspec_new (step_count);
 *   spec->steps[0] = (VpStepSpec){ .task_count = 4, .size = { .cpu_milli = 500 } };
 *   GVariant *value = vp_jobspec_encode (spec);            // floating
 *   VpJobSpec *copy = vp_jobspec_decode (value);           // NULL if a field is out of range
 *   vp_jobspec_unref (spec);
 *
 * Reference counted, and immutable once it is shared.
 */
#pragma once

#include "vp-text.h"
#include "vp-types.h"

#define VP_JOBSPEC_STEPS_MAX       64   /* maximum number of steps of a job */
#define VP_JOBSPEC_TASKS_MAX       4096 /* maximum number of tasks of a step */
#define VP_JOBSPEC_OCCURRENCES_MAX 1024 /* maximum number of occurrences of a repeated job */
#define VP_JOBSPEC_TEXT_MAX        4096 /* bytes of the text that is passed to workers */

/* GVariant types of the stored specification. */
#define VP_JOBSPEC_STEP_TYPE "(u(xxx)xauubbbbbbsssxu)"
#define VP_JOBSPEC_TYPE      "(tsssuxxa" VP_JOBSPEC_STEP_TYPE ")"

typedef struct {
  uint32_t task_count;
  VpResources size;      /* size of one task */
  int64_t estimate_ms;   /* estimated run time of one task */
  GArray *after;         /* uint32_t: indexes of the steps that it depends on; NULL: none */
  uint32_t spread_max;   /* maximum number of tasks of the step on one worker; 0: no limit */
  bool is_gang;          /* all tasks run at the same time or none does */
  bool is_one_rack;      /* the tasks prefer to run on one rack, as they are slower across racks */
  bool is_checkpointing; /* the tasks write checkpoints */
  bool is_concurrent;    /* a task may have two runs at a time, of which the first end counts */
  bool is_long_running;  /* the tasks run until the job is cancelled */
  bool is_best_effort;   /* the tasks use CPU that others leave idle; only memory is reserved */
  /* These belong to the job specification, or are static; NULL or empty: none. */
  const char *label; /* label that a worker must have */
  const char *rack;  /* rack of the step's data; tasks are slower elsewhere */
  const char *image;
  int64_t tail_latency_target_ms; /* target for the tail latency of the tasks' responses; 0: none */
  uint32_t unavailable_max; /* tasks that the scheduler may make unavailable at a time; 0: any */
} VpStepSpec;

typedef struct {
  uint32_t refs; /* atomic */
  uint64_t id;
  const char *queue;         /* belongs to the specification, or is static */
  const char *team;          /* the same */
  char *text;                /* passed to workers */
  uint32_t occurrence_count; /* number of repetitions of the job; at least 1 */
  int64_t first_ms;          /* time at which the first occurrence is due; 0: at once */
  int64_t interval_ms;       /* time between two occurrences of a repeated job */
  uint32_t step_count;
  VpStepSpec *steps;
  GStringChunk *texts; /* the texts of the job and its steps, but for @text; NULL: none */
} VpJobSpec;

/* Returns a specification of zeroed steps that the caller fills in. */
VpJobSpec *vp_jobspec_new (uint32_t step_count);
/* Returns a copy of @text, which may be NULL, that belongs to @spec. */
const char *vp_jobspec_add_text (VpJobSpec *spec, const char *text);
VpJobSpec *vp_jobspec_ref (VpJobSpec *spec);
void vp_jobspec_unref (VpJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (VpJobSpec, vp_jobspec_unref)

/* Returns NULL if the specification is valid, or else a short description of the error. */
const char *vp_jobspec_check (const VpJobSpec *spec);
/* Returns true if the texts of the job, but for @text, are as short as processes of earlier
 * versions need them: 47 bytes for the names of the queue and the team, 31 for the others. */
bool vp_jobspec_has_short_texts (const VpJobSpec *spec);
/* Returns a floating value. */
GVariant *vp_jobspec_encode (const VpJobSpec *spec);
/* Returns NULL if @value has the wrong type or isn't valid. */
VpJobSpec *vp_jobspec_decode (GVariant *value);
/* Writes the estimated time of the longest chain of steps from each step to the end of the job to
 * @critical_paths_ms, which has VP_JOBSPEC_STEPS_MAX elements. Returns the longest of them. */
int64_t vp_jobspec_critical_paths (const VpJobSpec *spec, int64_t *critical_paths_ms);
/* Identity of a job as text: 16 lower-case hexadecimal digits. Parsing returns false for any other
 * text. */
void vp_job_id_format (uint64_t id, char out[17]);
bool vp_job_id_parse (const char *text, uint64_t *out);
