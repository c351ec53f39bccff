/* Ownership of a DC: at most one entry process may start work on the DC's workers.
 *
 *   VpOwner owner;
 *   vp_owner_setup (&owner, &(VpOwnerDesc){ .dc = "nadi", .member = "nadi-1", .peers = peers });
 *   vp_owner_tick (&owner, now_ms, effects);
 *   vp_owner_store_result (&owner, &result, now_ms, effects);
 *   if (vp_owner_valid_until_ms (&owner, now_ms) > now_ms)
 *     start work
 *
 * The key owner/<dc> holds "<member> <lease>" and is attached to that store lease. The holder
 * counts the lease from before it sent the renewal; another member acquires only when the key is
 * gone, after the clock margin. While the store can't be reached, the holder goes on only with
 * unexpired promises of all other members of its DC that they will not acquire. A promise counts
 * from the sending of the question. PROMISE_REQUEST and PROMISE carry the version of the owner key
 * as epoch, so that a promise for an earlier ownership does not count.
 */
#pragma once

#include "vp-event.h"
#include "vp-types.h"

#define VP_OWNER_PROMISE_REQUESTS_MAX                                                              \
  8 /* questions for promises whose time of sending is remembered */

typedef enum {
  VP_OWNER_STANDBY,
  VP_OWNER_ACQUIRING, /* granting the lease, writing the key */
  VP_OWNER_HELD,      /* the key is this member's; the ledger may be opened */
  VP_OWNER_RELEASING,
  VP_OWNER_RELEASED, /* shutting down; never acquires again */
} VpOwnerState;

typedef struct {
  const char *dc;
  const char *member;
  const char *const *peers; /* NULL-terminated names of the other members of the DC; borrowed */
  int64_t ttl_ms;           /* 0: 2,400 */
  int64_t renew_ms;         /* 0: 1,200 */
  int64_t margin_ms;        /* 0: 250 */
  int64_t promise_ms;       /* 0: 1,000 */
} VpOwnerDesc;

typedef struct {
  VpOwnerDesc desc;
  VpOwnerState state;
  char holder[VP_NAME_MAX];       /* as last seen in the store; empty: none */
  uint64_t key_version;           /* as last seen; 0: the key is gone; UINT64_MAX: not known */
  uint64_t lease;                 /* store lease; 0: none */
  int64_t lease_until_ms;         /* of this member's own lease, counted from the sending */
  int64_t acquire_after_ms;       /* earliest time to acquire after the key was seen gone */
  int64_t next_try_ms;            /* next store operation at the earliest */
  int64_t op_sent_ms;             /* when the operation in flight was asked for */
  int64_t given_promise_until_ms; /* this member promised not to acquire before this */
  int64_t received_promise_until_ms[VP_MEMBERS_MAX]; /* by peer index, given to this member */
  int64_t promise_request_sent_ms[VP_OWNER_PROMISE_REQUESTS_MAX]; /* by question number, modulo */
  uint64_t promise_request_count;
  int64_t next_promise_request_ms;
  uint64_t next_token;
  uint64_t pending_token;    /* of the store operation in flight; 0: none */
  uint64_t watch_token;      /* of the watch in flight; 0: none */
  bool has_ticked;           /* a first tick was seen */
  bool is_renewal_uncertain; /* the last renewal failed */
  uint64_t acquire_count;    /* counters */
  uint64_t lapse_count;
} VpOwner;

void vp_owner_setup (VpOwner *owner, const VpOwnerDesc *desc);
void vp_owner_tick (VpOwner *owner, int64_t now_ms, VpEffects *effects);
void vp_owner_store_result (VpOwner *owner,
                            const VpStoreResult *result,
                            int64_t now_ms,
                            VpEffects *effects);
/* PROMISE_REQUEST and PROMISE messages. */
void
vp_owner_peer (VpOwner *owner, const VpPeerMessage *message, int64_t now_ms, VpEffects *effects);
/* Gives the lease back; VP_OWNER_RELEASED once the store confirmed it or the lease is over. */
void vp_owner_release (VpOwner *owner, int64_t now_ms, VpEffects *effects);
/* Until when this member may start work; 0 if it is not the owner. The later of the store lease
 * and the earliest of all promises. */
int64_t vp_owner_valid_until_ms (const VpOwner *owner, int64_t now_ms);
int64_t vp_owner_next_ms (const VpOwner *owner);
