/* Registration of this process in the platform's store: an entry under a lease, by which the other
 * processes of the cell find its address.
 *
 *   VpRegistration registration;
 *   vp_registration_setup (&registration, "10.0.0.1:7420", now_ms);
 *   switch (vp_registration_action (&registration, now_ms)) {
 *     case VP_REGISTRATION_GRANT: ... request a lease ...
 *     case VP_REGISTRATION_WRITE: ... write the entry under registration.lease ...
 *     case VP_REGISTRATION_RENEW: ... renew registration.lease ...
 *   }
 *   vp_registration_handle_result (&registration, action, VP_REGISTRATION_DONE, value, now_ms);
 *   vp_registration_handle_entry (&registration, revision, address, lease);   // from a watch
 *
 * A write without an answer may be carried out later, after any other write, also one that an
 * earlier process of this name has sent. The entry then ends with the lease of that write, which
 * nobody renews. So a write is repeated under the same lease for as long as that lasts, and the
 * entry is written again whenever the store shows another one in its place, or none.
 *
 * State only, no I/O.
 */
#pragma once

#include "vp-types.h"

/* The lease of the entry ends this long after its last renewal. */
#define VP_REGISTRATION_TTL_MS 4000

typedef enum {
  VP_REGISTRATION_WAIT,  /* nothing is due */
  VP_REGISTRATION_GRANT, /* request a lease of VP_REGISTRATION_TTL_MS */
  VP_REGISTRATION_WRITE, /* write the entry under the lease */
  VP_REGISTRATION_RENEW, /* renew the lease */
} VpRegistrationAction;

typedef enum {
  VP_REGISTRATION_DONE,
  VP_REGISTRATION_NO_LEASE, /* the lease has ended */
  VP_REGISTRATION_UNKNOWN,  /* failed or not answered; may still be carried out */
} VpRegistrationOutcome;

typedef struct {
  const char *address;   /* value of the entry; borrowed */
  uint64_t lease;        /* 0: none */
  bool is_in_place;      /* the entry has the address and the lease, as of @revision */
  uint64_t revision;     /* newest revision of the store at which the entry is known; 0: none */
  int64_t grant_next_ms; /* earliest time of the next action of each kind */
  int64_t write_next_ms;
  int64_t renew_next_ms;
} VpRegistration;

/* @address is kept by reference. */
void vp_registration_setup (VpRegistration *registration, const char *address, int64_t now_ms);
/* Returns the action that is due now. Its result has to be handled before the next call. */
VpRegistrationAction vp_registration_action (const VpRegistration *registration, int64_t now_ms);
/* Returns the time at which the next action is due if nothing is handled before. */
int64_t vp_registration_next_ms (const VpRegistration *registration);
/* Handles the result of an action. With VP_REGISTRATION_DONE, @value is the lease that was granted
 * or the revision of the write, and otherwise unused; a value of 0 counts as unknown. */
void vp_registration_handle_result (VpRegistration *registration,
                                    VpRegistrationAction action,
                                    VpRegistrationOutcome outcome,
                                    uint64_t value,
                                    int64_t now_ms);
/* Handles the entry as the store shows it at @revision: its @address, NULL if there is no entry,
 * and its @lease, 0 if it has none and so doesn't end. Returns true if an entry that was in place
 * is not any more. */
bool vp_registration_handle_entry (VpRegistration *registration,
                                   uint64_t revision,
                                   const char *address,
                                   uint64_t lease);
