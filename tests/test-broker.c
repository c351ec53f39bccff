/* What callers are told while the store does not take their jobs. */
#include "vp-broker.h"

#include <string.h>

#define NOW_MS 1000000
#define JOB    7

typedef struct {
  VpLead lead;
  VpCell *cell;
  VpKeeper *keeper;
  VpBroker *broker;
  VpNodeEffects effects;
  GArray *answers; /* VpBrokerAnswer */
} Fixture;

static void
_setup (Fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  vp_lead_setup (&fixture->lead, "node", 1000, NOW_MS);
  fixture->lead.term = 1;
  fixture->cell = vp_cell_setup (&(VpCellDesc){ .fence = 1, .hold_max_ms = 6000 }, NOW_MS);
  fixture->keeper
      = vp_keeper_setup (&(VpKeeperDesc){ .lead = &fixture->lead, .cell = fixture->cell }, NOW_MS);
  fixture->broker = vp_broker_setup (fixture->cell, fixture->keeper, 1);
  fixture->answers = g_array_new (FALSE, FALSE, sizeof (VpBrokerAnswer));
}

static void
_teardown (Fixture *fixture)
{
  vp_broker_shutdown (fixture->broker);
  vp_keeper_shutdown (fixture->keeper);
  vp_cell_shutdown (fixture->cell);
  vp_node_effects_free (&fixture->effects);
  g_array_unref (fixture->answers);
}

static void
_submit (Fixture *fixture, uint64_t serial, int64_t now_ms)
{
  g_autoptr (VpJobSpec) spec = vp_jobspec_new (1);
  VpNodeMsg message = { .kind = VP_NODEMSG_SUBMIT, .from = "front", .serial = serial, .job = JOB };

  spec->id = JOB;
  spec->text = g_strdup ("text");
  spec->steps[0].task_count = 1;
  message.body = g_variant_ref_sink (vp_jobspec_encode (spec));
  vp_broker_request (fixture->broker, &message, now_ms, fixture->answers);
  vp_nodemsg_clear (&message);
}

/* The store gives no sign whether it took the commit; returns its serial. */
static uint64_t
_commit_unknown (Fixture *fixture, int64_t now_ms)
{
  g_autoptr (GArray) kept = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  VpStoreWritten written = { .outcome = VP_WRITE_UNKNOWN };

  vp_keeper_decide (fixture->keeper, now_ms, &fixture->effects);
  written.serial = fixture->effects.items[fixture->effects.count - 1].write.serial;
  g_assert_true (vp_keeper_written (fixture->keeper, &written, kept, now_ms));
  return written.serial;
}

static VpAnswerKind
_answer (const Fixture *fixture, guint index)
{
  return g_array_index (fixture->answers, VpBrokerAnswer, index).message.answer;
}

/* A job that was never sent to the store is rejected; that it won't run is true. */
static void
test_unsent_is_rejected (void)
{
  Fixture fixture;

  _setup (&fixture);
  _commit_unknown (&fixture, NOW_MS + 500);
  _submit (&fixture, 1, NOW_MS + 510);
  vp_broker_tick (fixture.broker, NOW_MS + 1200, fixture.answers);
  g_assert_cmpuint (fixture.answers->len, ==, 1);
  g_assert_cmpint (_answer (&fixture, 0), ==, VP_ANSWER_REJECTED);
  g_assert_null (vp_joblist_find (vp_cell_jobs (fixture.cell), JOB));
  _teardown (&fixture);
}

/* A job whose commit may have been taken is neither accepted nor rejected: its caller hears that in
 * time for another try, and the job is kept once the store is back. */
static void
test_uncertain_is_given_up (void)
{
  Fixture fixture;
  g_autoptr (GArray) kept = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  VpStoreWritten written = { .outcome = VP_WRITE_OK, .revision = 2 };

  _setup (&fixture);
  _submit (&fixture, 1, NOW_MS + 10);
  written.serial = _commit_unknown (&fixture, NOW_MS + 20);
  vp_broker_tick (fixture.broker, NOW_MS + 900, fixture.answers);
  g_assert_cmpuint (fixture.answers->len, ==, 0);
  vp_broker_tick (fixture.broker, NOW_MS + 1100, fixture.answers);
  g_assert_cmpuint (fixture.answers->len, ==, 1);
  g_assert_cmpint (_answer (&fixture, 0), ==, VP_ANSWER_UNKNOWN);
  /* The next try finds the same job. */
  _submit (&fixture, 2, NOW_MS + 1200);
  g_assert_cmpuint (fixture.answers->len, ==, 1);
  vp_keeper_decide (fixture.keeper, NOW_MS + 1300, &fixture.effects);
  g_assert_true (vp_keeper_written (fixture.keeper, &written, kept, NOW_MS + 1310));
  vp_broker_kept (fixture.broker, kept, NOW_MS + 1310, fixture.answers);
  g_assert_cmpuint (fixture.answers->len, ==, 2);
  g_assert_cmpint (_answer (&fixture, 1), ==, VP_ANSWER_ACCEPTED);
  _teardown (&fixture);
}

int
main (int argc, char *argv[])
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/broker/unsent-is-rejected", test_unsent_is_rejected);
  g_test_add_func ("/broker/uncertain-is-given-up", test_uncertain_is_given_up);
  return g_test_run ();
}
