/* Registration of a process, with writes that are carried out late. */
#include "vp-registration.h"

#include <glib.h>
#include <string.h>

#define ADDRESS "127.0.0.1:7420"
/* Time for which the random runs lose writes, and the longest time until the entry is written again
 * after that: the minimum pause between two writes, and the time until a watch shows it. */
#define END_OF_LOSSES_MS 20000
#define REPAIR_MAX_MS    300

typedef struct {
  VpRegistration registration;
  int64_t now_ms;
} Fixture;

/* Advances time to the next action, asserts that it is @action, and handles its result. */
static void
_act (Fixture *fixture, VpRegistrationAction action, VpRegistrationOutcome outcome, uint64_t value)
{
  fixture->now_ms = MAX (fixture->now_ms, vp_registration_next_ms (&fixture->registration));
  g_assert_cmpint (vp_registration_action (&fixture->registration, fixture->now_ms), ==, action);
  vp_registration_handle_result (&fixture->registration, action, outcome, value, fixture->now_ms);
}

/* Sets up a registration whose entry is written under lease 7 at revision 10. */
static void
_register (Fixture *fixture)
{
  *fixture = (Fixture){ .now_ms = 1000000 };
  vp_registration_setup (&fixture->registration, ADDRESS, fixture->now_ms);
  _act (fixture, VP_REGISTRATION_GRANT, VP_REGISTRATION_DONE, 7);
  _act (fixture, VP_REGISTRATION_WRITE, VP_REGISTRATION_DONE, 10);
  g_assert_true (fixture->registration.is_in_place);
}

/* Guards against a write that is repeated under another lease: its late copy then lets the entry
 * end with the first one. */
static void
test_unanswered_write (void)
{
  Fixture fixture = { .now_ms = 1000000 };
  int64_t renewed_ms;

  vp_registration_setup (&fixture.registration, ADDRESS, fixture.now_ms);
  _act (&fixture, VP_REGISTRATION_GRANT, VP_REGISTRATION_UNKNOWN, 0);
  _act (&fixture, VP_REGISTRATION_GRANT, VP_REGISTRATION_DONE, 7);
  renewed_ms = fixture.now_ms;
  for (int i = 0; i < 100; i++) {
    VpRegistrationAction action;
    fixture.now_ms = MAX (fixture.now_ms, vp_registration_next_ms (&fixture.registration));
    action = vp_registration_action (&fixture.registration, fixture.now_ms);
    g_assert_cmpint (action, !=, VP_REGISTRATION_GRANT);
    if (action == VP_REGISTRATION_RENEW)
      renewed_ms = fixture.now_ms;
    /* The lease lasts although each write times out. */
    g_assert_cmpint (fixture.now_ms - renewed_ms, <, VP_REGISTRATION_TTL_MS);
    fixture.now_ms += action == VP_REGISTRATION_WRITE ? 1000 : 10;
    vp_registration_handle_result (&fixture.registration, action,
                                   action == VP_REGISTRATION_WRITE ? VP_REGISTRATION_UNKNOWN
                                                                   : VP_REGISTRATION_DONE,
                                   0, fixture.now_ms);
  }
  /* The watch shows that one of them was carried out, so that no other one is needed. */
  g_assert_false (vp_registration_handle_entry (&fixture.registration, 10, ADDRESS, 7));
  _act (&fixture, VP_REGISTRATION_RENEW, VP_REGISTRATION_DONE, 0);
  _act (&fixture, VP_REGISTRATION_RENEW, VP_REGISTRATION_DONE, 0);
}

/* Guards against an entry that stays replaced or removed: late writes of an earlier process of this
 * name may come one after the other, with its lease or its address. */
static void
test_replaced (void)
{
  static const struct {
    const char *address; /* NULL: the entry is removed */
    uint64_t lease;
  } rows[] = { { ADDRESS, 5 }, { "127.0.0.2:7420", 7 }, { NULL, 0 }, { ADDRESS, 6 } };
  Fixture fixture;
  uint64_t revision = 10;

  _register (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++) {
    int64_t seen_ms = fixture.now_ms;
    revision += 10;
    g_assert_true (vp_registration_handle_entry (&fixture.registration, revision, rows[i].address,
                                                 rows[i].lease));
    /* Another late write arrives before the entry is written again. */
    g_assert_false (vp_registration_handle_entry (&fixture.registration, revision + 1, ADDRESS, 5));
    _act (&fixture, VP_REGISTRATION_WRITE, VP_REGISTRATION_DONE, revision + 2);
    g_assert_true (fixture.registration.is_in_place);
    g_assert_cmpint (fixture.now_ms - seen_ms, <=, 250);
  }
  _act (&fixture, VP_REGISTRATION_RENEW, VP_REGISTRATION_DONE, 0);
}

/* Guards against a late write that is missed since the answer to a write before it arrives after
 * the watch has shown it, and against a write that is repeated since a list of before doesn't show
 * it. */
static void
test_order (void)
{
  Fixture fixture;

  _register (&fixture);
  g_assert_true (vp_registration_handle_entry (&fixture.registration, 20, NULL, 0));
  fixture.now_ms = vp_registration_next_ms (&fixture.registration);
  g_assert_cmpint (vp_registration_action (&fixture.registration, fixture.now_ms), ==,
                   VP_REGISTRATION_WRITE);
  /* While the write at revision 21 is under way: */
  g_assert_false (vp_registration_handle_entry (&fixture.registration, 21, ADDRESS, 7));
  g_assert_true (vp_registration_handle_entry (&fixture.registration, 22, ADDRESS, 5));
  vp_registration_handle_result (&fixture.registration, VP_REGISTRATION_WRITE, VP_REGISTRATION_DONE,
                                 21, fixture.now_ms);
  g_assert_false (fixture.registration.is_in_place);
  _act (&fixture, VP_REGISTRATION_WRITE, VP_REGISTRATION_DONE, 23);
  g_assert_false (vp_registration_handle_entry (&fixture.registration, 20, NULL, 0));
  g_assert_true (fixture.registration.is_in_place);
}

/* Guards against a lease that ends since two renewals in series have no answer within a second. */
static void
test_unanswered_renewals (void)
{
  Fixture fixture;
  int64_t granted_ms;

  _register (&fixture);
  granted_ms = fixture.now_ms;
  for (int i = 0; i < 2; i++) {
    fixture.now_ms = vp_registration_next_ms (&fixture.registration) + 1000;
    vp_registration_handle_result (&fixture.registration, VP_REGISTRATION_RENEW,
                                   VP_REGISTRATION_UNKNOWN, 0, fixture.now_ms);
  }
  _act (&fixture, VP_REGISTRATION_RENEW, VP_REGISTRATION_DONE, 0);
  g_assert_cmpint (fixture.now_ms - granted_ms, <, VP_REGISTRATION_TTL_MS);
  g_assert_cmpint (vp_registration_next_ms (&fixture.registration) - fixture.now_ms, >, 1000);
}

/* Guards against an entry that isn't written again when its lease has ended, in an outage of the
 * store or while the process was stopped. */
static void
test_lease_ended (void)
{
  Fixture fixture;

  _register (&fixture);
  _act (&fixture, VP_REGISTRATION_RENEW, VP_REGISTRATION_UNKNOWN, 0);
  _act (&fixture, VP_REGISTRATION_RENEW, VP_REGISTRATION_NO_LEASE, 0);
  _act (&fixture, VP_REGISTRATION_GRANT, VP_REGISTRATION_DONE, 8);
  _act (&fixture, VP_REGISTRATION_WRITE, VP_REGISTRATION_NO_LEASE, 0);
  _act (&fixture, VP_REGISTRATION_GRANT, VP_REGISTRATION_DONE, 9);
  _act (&fixture, VP_REGISTRATION_WRITE, VP_REGISTRATION_DONE, 30);
  /* An entry without a lease doesn't end. */
  g_assert_false (vp_registration_handle_entry (&fixture.registration, 31, ADDRESS, 0));
  g_assert_true (fixture.registration.is_in_place);
}

/* Guards against two processes of one name that write their entries in a tight loop. */
static void
test_two_of_one_name (void)
{
  Fixture fixture;
  uint32_t write_count = 0;

  _register (&fixture);
  for (uint64_t i = 0; i < 1000; i++) {
    fixture.now_ms++;
    vp_registration_handle_entry (&fixture.registration, 100 + 2 * i, "127.0.0.2:7420", 3);
    if (vp_registration_action (&fixture.registration, fixture.now_ms) != VP_REGISTRATION_WRITE)
      continue;
    write_count++;
    vp_registration_handle_result (&fixture.registration, VP_REGISTRATION_WRITE,
                                   VP_REGISTRATION_DONE, 101 + 2 * i, fixture.now_ms);
  }
  g_assert_cmpuint (write_count, >=, 1);
  g_assert_cmpuint (write_count, <=, 4);
}

/* A store that carries out some of the writes late, also those of earlier processes of the name. */
typedef struct {
  char *address; /* NULL: there is no entry */
  uint64_t lease;
  uint64_t revision;
  int64_t lease_ends_ms[64]; /* by number; 0: ended or not granted */
  uint64_t last_lease;
  struct {
    int64_t due_ms; /* 0: unused */
    uint64_t lease;
    const char *address;
  } late[16];
} Store;

static void
_store_write (Store *store, const char *address, uint64_t lease)
{
  if (store->lease_ends_ms[lease] == 0)
    return;
  g_free (store->address);
  store->address = g_strdup (address);
  store->lease = lease;
  store->revision++;
}

/* Ends leases and carries out late writes. Returns true if the entry has changed. */
static bool
_store_tick (Store *store, int64_t now_ms)
{
  uint64_t before = store->revision;

  for (guint i = 0; i < G_N_ELEMENTS (store->late); i++) {
    if (store->late[i].due_ms == 0 || now_ms < store->late[i].due_ms)
      continue;
    store->late[i].due_ms = 0;
    _store_write (store, store->late[i].address, store->late[i].lease);
  }
  for (uint64_t lease = 1; lease <= store->last_lease; lease++) {
    if (store->lease_ends_ms[lease] == 0 || now_ms < store->lease_ends_ms[lease])
      continue;
    store->lease_ends_ms[lease] = 0;
    if (store->address == NULL || store->lease != lease)
      continue;
    g_clear_pointer (&store->address, g_free);
    store->revision++;
  }
  return store->revision != before;
}

/* Carries out the action, or lets it be lost or late while @is_lossy. */
static void
_store_act (Store *store,
            VpRegistration *registration,
            VpRegistrationAction action,
            GRand *rand,
            bool is_lossy,
            int64_t now_ms)
{
  VpRegistrationOutcome outcome = VP_REGISTRATION_DONE;
  uint64_t value = 0;

  if (action == VP_REGISTRATION_GRANT) {
    value = ++store->last_lease;
    g_assert_cmpuint (value, <, G_N_ELEMENTS (store->lease_ends_ms));
    store->lease_ends_ms[value] = now_ms + VP_REGISTRATION_TTL_MS;
  } else if (store->lease_ends_ms[registration->lease] == 0) {
    outcome = VP_REGISTRATION_NO_LEASE;
  } else if (action == VP_REGISTRATION_RENEW) {
    store->lease_ends_ms[registration->lease] = now_ms + VP_REGISTRATION_TTL_MS;
  } else if (is_lossy && g_rand_boolean (rand)) {
    guint slot = (guint)g_rand_int_range (rand, 0, G_N_ELEMENTS (store->late));
    outcome = VP_REGISTRATION_UNKNOWN;
    store->late[slot].due_ms = now_ms + g_rand_int_range (rand, 1, 6000);
    store->late[slot].lease = registration->lease;
    store->late[slot].address = registration->address;
  } else {
    _store_write (store, registration->address, registration->lease);
    value = store->revision;
  }
  vp_registration_handle_result (registration, action, outcome, value, now_ms);
}

/* Runs a process that is replaced at times by another one of its name, at another address, while
 * half of the writes are late, and asserts that afterwards its entry is soon in place again after
 * each late write. */
static void
_run_random (uint32_t seed)
{
  static const char *const addresses[] = { ADDRESS, "127.0.0.2:7420" };
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  Store store = { .revision = 1 };
  VpRegistration registration;
  int64_t changed_ms = 0, in_place_ms = 0;

  vp_registration_setup (&registration, addresses[0], 0);
  for (int64_t now_ms = 1; now_ms < 40000; now_ms++) {
    VpRegistrationAction action;
    bool is_lossy = now_ms < END_OF_LOSSES_MS;
    if (is_lossy && g_rand_int_range (rand, 0, 4000) == 0)
      vp_registration_setup (&registration, addresses[g_rand_int_range (rand, 0, 2)], now_ms);
    if (_store_tick (&store, now_ms))
      changed_ms = now_ms;
    /* The watch is 20 ms late and shows only the last of several changes. */
    if (now_ms == changed_ms + 20)
      vp_registration_handle_entry (&registration, store.revision, store.address,
                                    store.address == NULL ? 0 : store.lease);
    action = vp_registration_action (&registration, now_ms);
    if (action != VP_REGISTRATION_WAIT)
      _store_act (&store, &registration, action, rand, is_lossy, now_ms);
    /* Late writes come for 6 s more. After each one the entry is written again. */
    if (store.address != NULL && store.lease == registration.lease
        && strcmp (store.address, registration.address) == 0)
      in_place_ms = now_ms;
    g_assert_cmpint (now_ms - MAX (in_place_ms, END_OF_LOSSES_MS), <=, REPAIR_MAX_MS);
  }
  g_free (store.address);
}

/* Guards against all series of late writes and restarts after which the entry goes with a lease
 * that nobody renews. */
static void
test_random (void)
{
  for (uint32_t seed = 1; seed <= 500; seed++)
    _run_random (seed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/registration/unanswered-write", test_unanswered_write);
  g_test_add_func ("/registration/replaced", test_replaced);
  g_test_add_func ("/registration/order", test_order);
  g_test_add_func ("/registration/unanswered-renewals", test_unanswered_renewals);
  g_test_add_func ("/registration/lease-ended", test_lease_ended);
  g_test_add_func ("/registration/two-of-one-name", test_two_of_one_name);
  g_test_add_func ("/registration/random", test_random);
  return g_test_run ();
}
