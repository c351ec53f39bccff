#include "vp-types.h"

/* Guards against a malformed attempt name in a worker's report that is accepted. */
static void
test_attempt_text (void)
{
  static const char *const bad[] = {
    "",
    "00",
    "0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef.1",
    "0123456789abcdef0123456789abcdeg.0.1",
    "0123456789abcdef0123456789abcdef.0.",
    "0123456789abcdef0123456789abcdef.-1.1",
    "0123456789abcdef0123456789abcdef.0.4294967296",
    "0123456789abcdef0123456789abcdef.0.1x",
  };
  VpAttempt in = { .task = { 1, UINT64_MAX }, .member = 7, .attempt = 3 };
  VpAttempt out;
  char text[VP_ATTEMPT_TEXT_MAX];

  vp_attempt_format (&in, text);
  g_assert_cmpstr (text, ==, "0000000000000001ffffffffffffffff.7.3");
  g_assert_true (vp_attempt_parse (text, &out));
  g_assert_true (vp_attempt_equal (&in, &out));
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_false (vp_attempt_parse (bad[i], &out));
}

/* Guards against a reason without a token, or whose token can't be parsed. */
static void
test_reasons (void)
{
  for (int i = 0; i < VP_REASON_COUNT; i++) {
    VpReason reason;
    g_assert_true (vp_reason_parse (vp_reason_token ((VpReason)i), &reason));
    g_assert_cmpint (reason, ==, i);
    g_assert_cmpuint (vp_reason_http_status (reason), >=, 200);
  }
  /* These reasons are given to requests that may have run. */
  g_assert_false (vp_reason_guarantees_not_run (VP_REASON_WORKER_LOST));
  g_assert_false (vp_reason_guarantees_not_run (VP_REASON_OWNER_LOST));
  g_assert_false (vp_reason_guarantees_not_run (VP_REASON_TASK_FAILED));
}

/* Guards against requests of two teams that get the same task identity. */
static void
test_identity (void)
{
  VpTaskId a = vp_task_id_from_identity ("ab", "c");

  g_assert_true (vp_task_id_equal (a, vp_task_id_from_identity ("ab", "c")));
  g_assert_false (vp_task_id_equal (a, vp_task_id_from_identity ("a", "bc")));
  g_assert_false (vp_task_id_equal (a, vp_task_id_from_sequence ("ab", 1, 1)));
}

/* Guards against resources that are taken to fit although one dimension does not. */
static void
test_resources (void)
{
  VpResources total = { 1000, 2000, 0 };
  VpResources used = { 500, 500, 0 };
  VpResources need = { 500, 1500, 0 };
  VpResources room = total;

  vp_resources_sub (&room, &used);
  g_assert_true (vp_resources_fits (&need, &room));
  need.accel_count = 1;
  g_assert_false (vp_resources_fits (&need, &room));
  g_assert_cmpfloat (vp_resources_dominant_share (&used, &total), ==, 0.5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/types/attempt-text", test_attempt_text);
  g_test_add_func ("/types/reasons", test_reasons);
  g_test_add_func ("/types/identity", test_identity);
  g_test_add_func ("/types/resources", test_resources);
  return g_test_run ();
}
