/* Division of each team's fleet-wide limit between DCs; the sum of the parts never passes the
 * limit.
 *
 *   VpGrants *grants = vp_grants_setup (&(VpGrantsDesc){ .dc = "nadi", .member = "nadi-1" });
 *   vp_grants_set_config (grants, config, now_ms);
 *   vp_grants_open (grants, now_ms, effects);                     // this member became the owner
 *   vp_grants_set_demand (grants, "team", &used, &waiting, now_ms);
 *   vp_grants_tick (grants, now_ms, effects);
 *   vp_grants_usable (grants, "team", &size);                     // start only within this
 *
 * The store value "grants" holds a table team x DC. An owner changes only its own column, and
 * claims it with one write when it opens, after which a write of an earlier owner conflicts. To
 * lower its part it first lowers what vp_grants_usable() returns, then writes, never below what is
 * used; to raise it, it writes first, takes only what is free, and then raises the usable part.
 * After a lowered limit nothing more is usable than is used until the table shows that there is
 * room. A team that is new to the table gets equal parts; after that grants follow the demand.
 */
#pragma once

#include "vp-config.h"
#include "vp-event.h"

typedef struct _VpGrants VpGrants;

typedef struct {
  const char *dc;
  const char *member;
  int64_t rebalance_ms; /* shortest time between writes; 0: 1,000 */
  int64_t idle_give_ms; /* a part unused for this long is given back when asked; 0: 2,000 */
} VpGrantsDesc;

VpGrants *vp_grants_setup (const VpGrantsDesc *desc);
void vp_grants_shutdown (VpGrants *grants);
void vp_grants_set_config (VpGrants *grants, VpConfig *config, int64_t now_ms);
void vp_grants_open (VpGrants *grants, int64_t now_ms, VpEffects *effects);
/* Ownership was lost: nothing is usable until it is opened again. */
void vp_grants_close (VpGrants *grants);
/* True once the column was claimed and the usable parts are known. False again if another owner of
 * the DC claimed it; it is then claimed anew after 1 s, so close it when ownership ends. */
bool vp_grants_is_open (const VpGrants *grants);
/* @used: all that runs or may run, with what was decided but not confirmed; call it before each
 * tick that follows a change. Until it was called after an open, the team's part is not lowered:
 * don't call it before the running tasks of the DC are known. */
void vp_grants_set_demand (VpGrants *grants,
                           const char *name,
                           const VpResources *used,
                           const VpResources *waiting,
                           int64_t now_ms);
/* GRANT_ASK of another DC's owner. */
void
vp_grants_peer (VpGrants *grants, const VpPeerMessage *message, int64_t now_ms, VpEffects *effects);
/* Gives peers: names of members to ask; the entry processes that own other DCs. */
void vp_grants_set_owners (VpGrants *grants, const char *const *members, uint32_t count);
void vp_grants_tick (VpGrants *grants, int64_t now_ms, VpEffects *effects);
void vp_grants_store_result (VpGrants *grants,
                             const VpStoreResult *result,
                             int64_t now_ms,
                             VpEffects *effects);
void vp_grants_usable (const VpGrants *grants, const char *name, VpResources *out);
/* Part of all DCs' grants as last read, for measurements. */
void vp_grants_granted (const VpGrants *grants, const char *name, VpResources *sum);
int64_t vp_grants_next_ms (const VpGrants *grants);
