/* Callers: threads that submit jobs, poll them until they complete, cancel some of them, and check
 * each reply against the guarantees of the system.
 *
 *   soak_callers_start (soak);
 *   ...
 *   soak_callers_join ();                 // returns when all callers have finished
 */
#pragma once

#include "soak.h"

#define SOAK_REPLY_MAX 4096

typedef struct {
  uint32_t status; /* 0 without a complete reply */
  uint32_t retry_after_s;
  char body[SOAK_REPLY_MAX];
} SoakReply;

void soak_callers_start (Soak *soak);
/* Submits @measured_count jobs and cancels each at another node at the same time. */
void soak_callers_measure (Soak *soak);
void soak_callers_join (void);
/* Makes one call on a new connection. @body may be NULL. */
void soak_callers_call (const char *address,
                        const char *method,
                        const char *path,
                        const char *key,
                        const char *body,
                        SoakReply *reply);
/* Returns the body that submits the job, to be freed by the caller. */
char *soak_callers_job_json (const SimJob *job);
/* Returns the status of GET @path at @address, or 0 without a complete reply. */
uint32_t soak_callers_get (const char *address, const char *path, const char *key);
