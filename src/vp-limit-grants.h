/* Grants that divide each team's fleet-wide limit between the DCs; no write raises the sum of a
 * team's grants above its limit.
 *
 *   VpLimitGrants *grants
 *       = vp_limit_grants_setup (&(VpLimitGrantsDesc){ .dc = "nadi", .member = "nadi-1" });
 *   vp_limit_grants_set_config (grants, config, now_ms);
 *   vp_limit_grants_open (grants, now_ms, effects);             // this member became the owner
 *   vp_limit_grants_set_demand (grants, "team", &used, &waiting, now_ms);
 *   vp_limit_grants_tick (grants, now_ms, effects);
 *   vp_limit_grants_usable (grants, "team", &usable);           // start only within this
 *
 * The store value "grants" holds a table with a row per team and a column per DC. The owner of a DC
 * changes only the DC's column. It claims the column with one write when it opens, after which a
 * write of an earlier owner conflicts.
 *
 * To lower a grant, the owner first lowers what vp_limit_grants_usable() returns and then writes
 * the grant, which never falls below what is used. To raise a grant, it writes the grant first,
 * takes only what is free in the limit, and then raises the usable part. After the limit was
 * lowered, no more is usable than is used, until the table shows that there is room. A team that is
 * new to the table starts with equal grants in all DCs; after that the grants follow the demand.
 */
#pragma once

#include "vp-config.h"
#include "vp-event.h"

typedef struct _VpLimitGrants VpLimitGrants;

typedef struct {
  const char *dc;
  const char *member;
  int64_t rebalance_ms;    /* shortest time between writes; 0: 1,000 */
  int64_t idle_release_ms; /* a grant unused for this long is given to a DC that asks;
                              0: 2,000 */
} VpLimitGrantsDesc;

VpLimitGrants *vp_limit_grants_setup (const VpLimitGrantsDesc *desc);
void vp_limit_grants_shutdown (VpLimitGrants *grants);
void vp_limit_grants_set_config (VpLimitGrants *grants, VpConfig *config, int64_t now_ms);
void vp_limit_grants_open (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects);
/* To be called when ownership was lost. Nothing is usable until the grants are opened again. */
void vp_limit_grants_close (VpLimitGrants *grants);
/* True once the DC's column was claimed and the usable resources are known. False again if another
 * owner of the DC claimed the column. It is then claimed again after 1 s, so the caller must close
 * the grants when its ownership ends. */
bool vp_limit_grants_is_open (const VpLimitGrants *grants);
/* Sets a team's demand in this DC; to be called before each tick that follows a change of it. @used
 * are the resources of all tasks that run or may run, including starts that are not confirmed yet.
 * A team's grant is not lowered between an open and the first call, so the caller must not call it
 * before the running tasks of the DC are known. */
void vp_limit_grants_set_demand (VpLimitGrants *grants,
                                 const char *name,
                                 const VpResources *used,
                                 const VpResources *waiting,
                                 int64_t now_ms);
/* Handles a GRANT_REQUEST message of another DC's owner; ignores other messages. */
void vp_limit_grants_peer_message (VpLimitGrants *grants,
                                   const VpPeerMessage *message,
                                   int64_t now_ms,
                                   VpEffects *effects);
/* Sets the names of the members that own other DCs, which are asked for grants. */
void vp_limit_grants_set_other_owners (VpLimitGrants *grants,
                                       const char *const *members,
                                       uint32_t count);
void vp_limit_grants_tick (VpLimitGrants *grants, int64_t now_ms, VpEffects *effects);
void vp_limit_grants_store_result (VpLimitGrants *grants,
                                   const VpStoreResult *result,
                                   int64_t now_ms,
                                   VpEffects *effects);
/* Resources that the team may use in this DC; zero while the grants are not open. */
void vp_limit_grants_usable (const VpLimitGrants *grants, const char *name, VpResources *out);
/* Sum of the team's grants in all DCs as last read. */
void vp_limit_grants_total (const VpLimitGrants *grants, const char *name, VpResources *sum);
int64_t vp_limit_grants_next_ms (const VpLimitGrants *grants);
