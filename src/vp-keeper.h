/* Keeps the jobs of a cell in the platform's store: group commits of the leader.
 *
 *   VpKeeper *keeper = vp_keeper_setup (&(VpKeeperDesc){ .lead = lead, .cell = cell }, now_ms);
 *   vp_keeper_load (keeper, &loaded, now_ms);       // once, before anything is started
 *   vp_keeper_decide (keeper, now_ms, effects);     // VP_NODE_WRITE when there is something to
 * keep if (!vp_keeper_written (keeper, &written, now_ms))
 *     ... another process leads ...
 *   vp_keeper_shutdown (keeper);
 *
 * Each commit also writes the leader's record and requires the revision of the one before, so
 * commits take effect in order, each once, and none after another process has claimed the record. A
 * commit without an answer is sent again unchanged until it is known. One is under way at a time.
 */
#pragma once

#include "vp-lead.h"
#include "vp-nodeio.h"

typedef struct _VpKeeper VpKeeper;

typedef struct {
  VpLead *lead;         /* borrowed */
  VpCell *cell;         /* borrowed */
  int64_t retention_ms; /* of ended jobs */
} VpKeeperDesc;

VpKeeper *vp_keeper_setup (const VpKeeperDesc *desc, int64_t now_ms);
void vp_keeper_shutdown (VpKeeper *keeper);
/* Takes over what was kept; the number of values that could not be read is returned. */
uint32_t vp_keeper_load (VpKeeper *keeper, const VpStoreLoaded *loaded, int64_t now_ms);
void vp_keeper_decide (VpKeeper *keeper, int64_t now_ms, VpNodeEffects *effects);
/* False if another process has claimed the record. Identities (uint64_t) of the jobs whose
 * acceptance or end became durable are appended to @kept. */
bool
vp_keeper_written (VpKeeper *keeper, const VpStoreWritten *written, GArray *kept, int64_t now_ms);
/* Since the last successful write. */
int64_t vp_keeper_age_ms (const VpKeeper *keeper, int64_t now_ms);
/* The record certainly was this leader's at this time: the last commit that succeeded was first
 * sent then. 0: none yet. */
int64_t vp_keeper_confirmed_ms (const VpKeeper *keeper);
/* True if the last commit was turned away or not answered. */
bool vp_keeper_is_failing (const VpKeeper *keeper);
/* True if the job certainly stands in no commit that may have reached the store. */
bool vp_keeper_is_unsent (const VpKeeper *keeper, uint64_t job);
/* The next commit is the last: it says that what is kept is complete. */
void vp_keeper_finish (VpKeeper *keeper);
bool vp_keeper_is_finished (const VpKeeper *keeper);
int64_t vp_keeper_next_ms (const VpKeeper *keeper, int64_t now_ms);
