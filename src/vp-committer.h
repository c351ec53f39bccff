/* Keeps the jobs of a cell in the platform's store: group commits of the leader.
 *
 *   VpCommitter *keeper = vp_committer_setup (&(VpCommitterDesc){ .lead = lead, .cell = cell }, now_ms);
 *   vp_committer_load (keeper, &loaded, now_ms);       // once, before anything is started
 *   vp_committer_step (keeper, now_ms, effects);     // VP_NODE_EFFECT_WRITE when there is something to
 * keep if (!vp_committer_handle_write_result (keeper, &written, now_ms))
 *     ... another process leads ...
 *   vp_committer_shutdown (keeper);
 *
 * Each commit also writes the leader's record and requires the revision of the one before, so
 * commits take effect in order, each once, and none after another process has claimed the record. A
 * commit without an answer is sent again unchanged until it is known. One is under way at a time.
 */
#pragma once

#include "vp-election.h"
#include "vp-node-events.h"

typedef struct _VpKeeper VpCommitter;

typedef struct {
  VpElection *election; /* borrowed */
  VpCell *cell;         /* borrowed */
  int64_t retention_ms; /* of ended jobs */
} VpCommitterDesc;

VpCommitter *vp_committer_setup (const VpCommitterDesc *desc, int64_t now_ms);
void vp_committer_shutdown (VpCommitter *committer);
/* Takes over what was kept; the number of values that could not be read is returned. */
uint32_t
vp_committer_load (VpCommitter *committer, const VpStoreLoadResult *loaded, int64_t now_ms);
void vp_committer_step (VpCommitter *committer, int64_t now_ms, VpNodeEffects *effects);
/* False if another process has claimed the record. Identities (uint64_t) of the jobs whose
 * acceptance or end became durable are appended to @kept. */
bool vp_committer_handle_write_result (VpCommitter *committer,
                                       const VpStoreWriteResult *written,
                                       GArray *durable,
                                       int64_t now_ms);
/* Since the last successful write. */
int64_t vp_committer_last_commit_age_ms (const VpCommitter *committer, int64_t now_ms);
/* The record certainly was this leader's at this time: the last commit that succeeded was first
 * sent then. 0: none yet. */
int64_t vp_committer_confirmed_ms (const VpCommitter *committer);
/* True if the last commit was turned away or not answered. */
bool vp_committer_is_failing (const VpCommitter *committer);
/* True if the job certainly stands in no commit that may have reached the store. */
bool vp_committer_is_unsent (const VpCommitter *committer, uint64_t job);
/* The next commit is the last: it says that what is kept is complete. */
void vp_committer_finish (VpCommitter *committer);
bool vp_committer_is_finished (const VpCommitter *committer);
int64_t vp_committer_next_ms (const VpCommitter *committer, int64_t now_ms);
