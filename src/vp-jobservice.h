/* Requests for jobs at the leader: accepts, cancels and looks up jobs for all nodes of the cell.
 *
 *   VpJobService *service = vp_jobservice_setup (cell, committer, term);
 *   vp_jobservice_request (service, &message, now_ms, answers);  // GArray of VpJobServiceAnswer
 *   vp_jobservice_handle_durable (service, durable, now_ms, answers);
 *   vp_jobservice_tick (service, now_ms, answers);
 *   vp_jobservice_shutdown (service);
 *
 * A job is accepted, and a cancellation confirmed, once it is durable. If an answer is lost, the
 * node sends its request again with the same serial and gets the same answer.
 *
 * A cancellation can overtake the submission, which may wait at another node, for example for a new
 * leader. So that of an unknown job is stored like the end of a job, for as long, before it is
 * answered; a submission that arrives later is accepted as one of a cancelled job. Their number is
 * limited by VP_JOBLIST_UNSUBMITTED_MAX, beyond which such cancellations are rejected. A repeated
 * cancellation is answered once the end is stored for the whole retention from then on.
 */
#pragma once

#include "vp-committer.h"

typedef struct _VpJobService VpJobService;

typedef struct {
  char to[VP_PROCESS_NAME_MAX];
  VpNodeMsg message; /* the answer; has no body */
} VpJobServiceAnswer;

/* Answers carry @term. */
VpJobService *vp_jobservice_setup (VpCell *cell, VpCommitter *committer, uint64_t term);
void vp_jobservice_shutdown (VpJobService *service);
/* Handles a request of a node and appends the answer to @answers, at once or when the job has
 * become durable. */
void vp_jobservice_request (VpJobService *service,
                            const VpNodeMsg *message,
                            int64_t now_ms,
                            GArray *answers);
/* Answers the requests that wait for the jobs in @durable (uint64_t ids), which have become
 * durable. */
void vp_jobservice_handle_durable (VpJobService *service,
                                   const GArray *durable,
                                   int64_t now_ms,
                                   GArray *answers);
/* Answers requests that can't become durable because the store takes no writes. */
void vp_jobservice_tick (VpJobService *service, int64_t now_ms, GArray *answers);
/* Sets whether a process of an earlier version may take over the lead. It couldn't read a job with
 * a longer text than it can hold, so that the job would be unknown then; such jobs are rejected
 * meanwhile. */
void vp_jobservice_set_short_texts (VpJobService *service, bool is_short);
/* Stops accepting new jobs. */
void vp_jobservice_pause (VpJobService *service);
