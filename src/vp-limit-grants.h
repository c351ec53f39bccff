/* Division of each team's fleet-wide limit between DCs; the sum of the parts never passes the
 * limit.
 *
 *   VpLimitGrants *grants = vp_limit_grants_setup (&(VpLimitGrantsDesc){ .dc = "nadi", .member = "nadi-1" });
 *   vp_limit_grants_set_config (grants, config, now_ms);
 *   vp_limit_grants_open (grants, now_ms, effects);                     // this member became the owner
 *   vp_limit_grants_set_demand (grants, "team", &used, &waiting, now_ms);
 *   vp_limit_grants_tick (grants, now_ms, effects);
 *   vp_limit_grants_usable (grants, "team", &size);                     // start only within this
 *
 * The store value "grants" holds a table team x DC. An owner changes only its own column, and
 * claims it with one write when it opens, after which a write of an earlier owner conflicts. To
 * lower its part it first lowers what vp_limit_grants_usable() returns, then writes, never below what is
 * used; to raise it, it writes first, takes only what is free, and then raises the usable part.
 * After a lowered limit nothing more is usable than is used until the table shows that there is
 * room. A team that is new to the table gets equal parts; after that grants follow the demand.
 */
#pragma once

#include "vp-config.h"
#include "vp-event.h"

typedef struct _VpLimitGrants VpLimitGrants;

typedef struct {
  const char *dc;
  const char *member;
  int64_t rebalance_ms;    /* shortest time between writes; 0: 1,000 */
  int64_t idle_release_ms; /* a part unused for this long is given back when asked; 0: 2,000 */
} VpLimitGrantsDesc;

VpLimitGrants *vp_limit_grants_setup (const VpLimitGrantsDesc *desc);
void vp_limit_grants_shutdown (VpLimitGrants *grants);
void vp_limit_grants_set_config (VpLimitGrants *grants, VpConfig *config, int64_t now_ms);
void vp_limit_grants_open (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects);
/* Ownership was lost: nothing is usable until it is opened again. */
void vp_limit_grants_close (VpLimitGrants *grants);
/* True once the column was claimed and the usable parts are known. False again if another owner of
 * the DC claimed it; it is then claimed anew after 1 s, so close it when ownership ends. */
bool vp_limit_grants_is_open (const VpLimitGrants *grants);
/* @used: all that runs or may run, with what was decided but not confirmed; call it before each
 * tick that follows a change. Until it was called after an open, the team's part is not lowered:
 * don't call it before the running tasks of the DC are known. */
void vp_limit_grants_set_demand (VpLimitGrants *grants,
                                 const char *name,
                                 const VpSize *used,
                                 const VpSize *waiting,
                                 int64_t now_ms);
/* GRANT_ASK of another DC's owner. */
void vp_limit_grants_peer_message (VpLimitGrants *grants,
                                   const VpPeerMessage *message,
                                   int64_t now_ms,
                                   VpEffects *effects);
/* Gives peers: names of members to ask; the entry processes that own other DCs. */
void vp_limit_grants_set_other_owners (VpLimitGrants *grants,
                                       const char *const *members,
                                       uint32_t count);
void vp_limit_grants_tick (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects);
void vp_limit_grants_store_result (VpLimitGrants *grants,
                                   const VpStoreResult *result,
                                   int64_t now_ms,
                                   VpEffects *effects);
void vp_limit_grants_usable (const VpLimitGrants *grants, const char *name, VpSize *out);
/* Part of all DCs' grants as last read, for measurements. */
void vp_limit_grants_total (const VpLimitGrants *grants, const char *name, VpSize *sum);
int64_t vp_limit_grants_next_ms (const VpLimitGrants *grants);
