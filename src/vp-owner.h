/* Ownership of a DC by a lease: at most one entry process starts tasks on the DC's workers.
 *
 *   VpOwner owner;
 *   vp_owner_setup (&owner, &(VpOwnerDesc){ .dc = "nadi", .member = "nadi-1", .peers = peers });
 *   vp_owner_tick (&owner, now_ms, effects);
 *   vp_owner_store_result (&owner, &result, now_ms, effects);
 *   if (vp_owner_valid_until_ms (&owner, now_ms) > now_ms)
 *     start tasks
 *
 * The key owner/<dc> holds "<member> <lease>" and is attached to that store lease. The owner counts
 * its lease from before it sent the renewal. Another member acquires the ownership only when the
 * key is gone and the clock margin has passed.
 *
 * While the store is unreachable, the owner goes on only with unexpired promises of all other
 * members of its DC that they will not acquire the ownership. A promise counts from the time when
 * its request was sent. PROMISE_REQUEST and PROMISE carry the version of the owner key as epoch, so
 * that a promise for an earlier ownership does not count.
 */
#pragma once

#include "vp-event.h"
#include "vp-types.h"

/* Number of the latest promise requests whose send times are kept. */
#define VP_OWNER_PROMISE_REQUESTS_MAX 8

typedef enum {
  VP_OWNER_STANDBY,
  VP_OWNER_ACQUIRING, /* the lease is being granted or the key written */
  VP_OWNER_HELD,      /* the key is this member's; the ledger can be opened */
  VP_OWNER_RELEASING, /* the lease is being revoked */
  VP_OWNER_RELEASED,  /* final state of a shutdown; never acquires again */
} VpOwnerState;

typedef struct {
  const char *dc;
  const char *member;
  const char *const *peers; /* NULL-terminated names of the other members of the DC; borrowed */
  int64_t ttl_ms;           /* of the store lease; 0: 2,400 */
  int64_t renew_ms;         /* interval between renewals; 0: 1,200 */
  int64_t margin_ms;        /* clock margin; 0: 250 */
  int64_t promise_ms;       /* validity of a promise; 0: 1,000 */
} VpOwnerDesc;

typedef struct {
  VpOwnerDesc desc;
  VpOwnerState state;
  char holder[VP_NAME_MAX]; /* member in the owner key as last read; empty: none */
  uint64_t key_version;     /* as last read; 0: the key is gone; UINT64_MAX: not known */
  uint64_t lease;           /* store lease of this member; 0: none */
  int64_t lease_until_ms;   /* expiry of @lease, counted from the send time of the last renewal */
  int64_t acquire_after_ms; /* earliest time to acquire after the key disappeared */
  int64_t next_try_ms;      /* earliest time of the next store operation */
  int64_t op_sent_ms;       /* when the store operation in flight was issued */
  int64_t given_promise_until_ms; /* this member promised not to acquire before this time */
  int64_t received_promise_until_ms[VP_MEMBERS_MAX]; /* promises of the peers, by peer index */
  /* Send times of the latest promise requests; a ring buffer by request number. */
  int64_t promise_request_sent_ms[VP_OWNER_PROMISE_REQUESTS_MAX];
  uint64_t promise_request_count;
  int64_t next_promise_request_ms;
  uint64_t next_token;
  uint64_t pending_token;    /* token of the store operation in flight; 0: none */
  uint64_t watch_token;      /* token of the watch in flight; 0: none */
  bool has_ticked;           /* vp_owner_tick() was called once */
  bool is_renewal_uncertain; /* the last renewal failed */
  uint64_t acquire_count;    /* ownerships acquired; for tests */
  uint64_t lapse_count;      /* ownerships lost; for tests */
} VpOwner;

void vp_owner_setup (VpOwner *owner, const VpOwnerDesc *desc);
void vp_owner_tick (VpOwner *owner, int64_t now_ms, VpEffects *effects);
void vp_owner_store_result (VpOwner *owner,
                            const VpStoreResult *result,
                            int64_t now_ms,
                            VpEffects *effects);
/* Handles PROMISE_REQUEST and PROMISE messages; ignores others. */
void vp_owner_peer_message (VpOwner *owner,
                            const VpPeerMessage *message,
                            int64_t now_ms,
                            VpEffects *effects);
/* Releases the ownership. The state becomes VP_OWNER_RELEASED once the store confirmed that the
 * lease is revoked, or the lease expired. */
void vp_owner_release (VpOwner *owner, int64_t now_ms, VpEffects *effects);
/* Time until which this member may start tasks; 0 if it is not the owner. This is the later of the
 * expiry of the store lease and the earliest expiry of all promises. */
int64_t vp_owner_valid_until_ms (const VpOwner *owner, int64_t now_ms);
/* Time at which vp_owner_tick() is due; INT64_MAX: never. */
int64_t vp_owner_next_ms (const VpOwner *owner);
