#include "vp-registration.h"

#include <string.h>

/* Interval between renewals of the lease. One without an answer within a second is sent again after
 * VP_REGISTRATION_RETRY_MS, so that three can be sent before the lease ends. */
#define VP_REGISTRATION_RENEW_MS 1300
/* Minimum delay after a call that failed, so that a store that is down isn't called in a tight
 * loop, and between two writes, as another process may claim the same name. */
#define VP_REGISTRATION_RETRY_MS 250

void
vp_registration_setup (VpRegistration *registration, const char *address, int64_t now_ms)
{
  *registration = (VpRegistration){
    .address = address, .grant_next_ms = now_ms, .write_next_ms = now_ms, .renew_next_ms = now_ms
  };
}

/* Returns the action that is due next, and the time from which it is due. The lease is renewed also
 * while the entry can't be written, as another lease would make late copies of the write harmful.
 */
static VpRegistrationAction
_vp_registration_upcoming (const VpRegistration *registration, int64_t *due_ms)
{
  *due_ms = registration->grant_next_ms;
  if (registration->lease == 0)
    return VP_REGISTRATION_GRANT;
  *due_ms = registration->renew_next_ms;
  if (registration->is_in_place || registration->renew_next_ms <= registration->write_next_ms)
    return VP_REGISTRATION_RENEW;
  *due_ms = registration->write_next_ms;
  return VP_REGISTRATION_WRITE;
}

VpRegistrationAction
vp_registration_action (const VpRegistration *registration, int64_t now_ms)
{
  int64_t due_ms;
  VpRegistrationAction action = _vp_registration_upcoming (registration, &due_ms);

  return now_ms < due_ms ? VP_REGISTRATION_WAIT : action;
}

int64_t
vp_registration_next_ms (const VpRegistration *registration)
{
  int64_t due_ms;

  _vp_registration_upcoming (registration, &due_ms);
  return due_ms;
}

static void
_vp_registration_handle_write (VpRegistration *registration, uint64_t revision)
{
  /* A watch may have shown this write, or a later one, before its answer arrived. */
  if (revision <= registration->revision)
    return;
  registration->revision = revision;
  registration->is_in_place = true;
}

void
vp_registration_handle_result (VpRegistration *registration,
                               VpRegistrationAction action,
                               VpRegistrationOutcome outcome,
                               uint64_t value,
                               int64_t now_ms)
{
  bool is_done = outcome == VP_REGISTRATION_DONE;

  if (outcome == VP_REGISTRATION_NO_LEASE) {
    /* The store has removed the entry with the lease. */
    registration->lease = 0;
    registration->is_in_place = false;
  }
  if (action == VP_REGISTRATION_GRANT) {
    registration->lease = is_done ? value : 0;
    registration->grant_next_ms = now_ms + VP_REGISTRATION_RETRY_MS;
    registration->renew_next_ms = now_ms + VP_REGISTRATION_RENEW_MS;
  } else if (action == VP_REGISTRATION_RENEW) {
    registration->renew_next_ms
        = now_ms + (is_done ? VP_REGISTRATION_RENEW_MS : VP_REGISTRATION_RETRY_MS);
  } else if (action == VP_REGISTRATION_WRITE) {
    registration->write_next_ms = now_ms + VP_REGISTRATION_RETRY_MS;
    if (is_done)
      _vp_registration_handle_write (registration, value);
  }
}

bool
vp_registration_handle_entry (VpRegistration *registration,
                              uint64_t revision,
                              const char *address,
                              uint64_t lease)
{
  bool was_in_place = registration->is_in_place;

  if (revision <= registration->revision)
    return false;
  registration->revision = revision;
  registration->is_in_place = registration->lease != 0 && address != NULL
                              && strcmp (address, registration->address) == 0
                              && (lease == 0 || lease == registration->lease);
  return was_in_place && !registration->is_in_place;
}
