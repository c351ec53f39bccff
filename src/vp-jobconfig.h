/* Configuration of accepted jobs: the newest configuration, and what it lacks of the queues and
 * teams that accepted jobs name, as the last configuration with them had it.
 *
 *   VpJobConfig job_config = { 0 };
 *   vp_jobconfig_load (&job_config, stored, jobs);     // as an earlier scheduler stored it
 *   vp_jobconfig_set (&job_config, config, jobs);
 *   const VpQueueConfig *queue = vp_cellconfig_queue (job_config.config, job->spec->queue);
 *   if (job_config.is_unstaged)
 *     ... store vp_jobconfig_stage (&job_config, jobs) in the next commit ...
 *   vp_jobconfig_clear (&job_config);
 *
 * A job is accepted for good, so it goes on also if the operator drops its queue or its team
 * afterwards: on the same workers, within the same cap. What the jobs name is stored with the
 * commits that accept them, so that later schedulers know it too. The limit of failed runs is the
 * exception: if the queue comes back with a lower one, a run that was started in between would be
 * one too many, and with a higher one, a job would have failed too soon. So it isn't kept, and
 * tasks that have failed wait for their queue. Callers' requests are judged by the newest
 * configuration alone.
 *
 * State only, no I/O.
 */
#pragma once

#include "vp-cellconfig.h"
#include "vp-joblist.h"

/* GVariant type of the stored form: queues with name, service, priority, stretch, latency_target_ms
 * and the four settings of advice, and teams with name, weight and cap. */
#define VP_JOBCONFIG_TYPE "(a(ssidxbddx)a(sdxxx))"

typedef struct {
  VpCellConfig *config; /* for looking up by name only; NULL: there is none yet */
  VpCellConfig *stored; /* the rows that were staged or loaded last; NULL: none */
  bool is_unstaged;     /* @stored lacks what jobs name, or has other settings */
  bool is_full;         /* @stored has no room for more rows */
  uint32_t kept_count;  /* queues that the newest configuration lacks */
} VpJobConfig;

void vp_jobconfig_clear (VpJobConfig *job_config);
/* Takes a new configuration. The queues and teams that it lacks are kept if a job of @jobs that
 * hasn't ended names them. Those that the configuration before had itself are kept until the next
 * one in any case, as a process that doesn't have this one yet may still pass on jobs for them. */
void vp_jobconfig_set (VpJobConfig *job_config, VpCellConfig *config, const VpJobList *jobs);
/* Takes what an earlier scheduler has stored, once @jobs are loaded; NULL: nothing. */
void vp_jobconfig_load (VpJobConfig *job_config, GVariant *stored, const VpJobList *jobs);
/* Notes that the job was accepted. */
void vp_jobconfig_note_job (VpJobConfig *job_config, const VpJobSpec *spec);
/* Returns the rows that jobs name, for the commit that is being built, as a floating value. If the
 * commit fails, @is_unstaged has to be set again. */
GVariant *vp_jobconfig_stage (VpJobConfig *job_config, const VpJobList *jobs);
