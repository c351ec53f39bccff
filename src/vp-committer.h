/* Group commits of the leader: stores the jobs of a cell in the platform's store.
 *
 *   VpCommitterDesc desc = { .election = election, .cell = cell };
 *   VpCommitter *committer = vp_committer_setup (&desc, now_ms);
 *   vp_committer_load (committer, &loaded, now_ms);     // once, before any task is started
 *   vp_committer_step (committer, now_ms, effects);     // VP_NODE_EFFECT_WRITE if one is due
 *   if (!vp_committer_handle_write_result (committer, &written, durable, now_ms))
 *     ... another process leads ...
 *   vp_committer_shutdown (committer);
 *
 * Each commit also writes the leader record and requires that the record still has the revision of
 * the commit before. So commits take effect in order and once each, and no commit takes effect
 * after another process has claimed the record. A commit without an answer is sent again unchanged
 * until its outcome is known. At most one commit is in flight at a time.
 *
 * Load pattern: with many wide jobs each commit would write the progress of most of them again,
 * some KB each, and fill the link of a small VM. So only what callers wait for, acceptances and
 * ends of jobs, is written at once. Progress is written in rounds, which begin as often as a share
 * of the link allows. A round covers the jobs that had changed when it began; its last commit makes
 * the ends of runs that were known then durable, also while jobs change all the time.
 */
#pragma once

#include "vp-election.h"
#include "vp-node-events.h"

typedef struct _VpCommitter VpCommitter;

typedef struct {
  VpElection *election; /* borrowed; outlives the committer */
  VpCell *cell;         /* borrowed; outlives the committer */
  int64_t retention_ms; /* how long ended jobs can be queried */
  uint32_t link_kbps;   /* bandwidth of this VM's link in kbit/s; 0: unknown */
} VpCommitterDesc;

VpCommitter *vp_committer_setup (const VpCommitterDesc *desc, int64_t now_ms);
void vp_committer_shutdown (VpCommitter *committer);
/* Restores the jobs that were stored. Returns the number of values that could not be read. */
uint32_t
vp_committer_load (VpCommitter *committer, const VpStoreLoadResult *loaded, int64_t now_ms);
/* Sends a commit if one is due. */
void vp_committer_step (VpCommitter *committer, int64_t now_ms, VpNodeEffects *effects);
/* Returns false if another process has claimed the record. Appends to @durable the identities
 * (uint64_t) of the jobs whose acceptance or end has become durable. */
bool vp_committer_handle_write_result (VpCommitter *committer,
                                       const VpStoreWriteResult *written,
                                       GArray *durable,
                                       int64_t now_ms);
/* Time since the last successful commit. */
int64_t vp_committer_last_commit_age_ms (const VpCommitter *committer, int64_t now_ms);
/* The latest time at which the record certainly belonged to this leader: the last successful commit
 * was first sent then. 0 if there is none yet. */
int64_t vp_committer_confirmed_ms (const VpCommitter *committer);
/* True if the last commit was rejected or got no answer. */
bool vp_committer_is_failing (const VpCommitter *committer);
/* True if no commit that may have reached the store includes the job. */
bool vp_committer_is_unsent (const VpCommitter *committer, uint64_t job);
/* Returns true if the end of the job, as it is stored, is kept for at least the whole retention
 * from now on. */
bool vp_committer_keeps_end (const VpJob *job, int64_t now_ms);
/* Ends the series of commits. The last commit includes everything pending, and declares the stored
 * jobs complete if the leader knows all runs. */
void vp_committer_finish (VpCommitter *committer);
bool vp_committer_is_finished (const VpCommitter *committer);
int64_t vp_committer_next_ms (const VpCommitter *committer, int64_t now_ms);
