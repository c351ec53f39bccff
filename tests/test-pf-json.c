#include "vp-pf-json.h"
#include "vp-thread-group.h"

#include <string.h>

#define NESTING 100000 /* json-glib needs some 250 bytes of stack for each level */

#define ENTRY_HEAD                                                                                 \
  "{\"service\":\"desk\",\"zone\":\"nadi\",\"state\":\"ready\",\"labels\":[\"a\",\"r1\"],"
#define ENTRY_CAPACITY "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}"
#define ENTRY_ADDRESS  "\"address\":\"10.1.0.9:8080\""

/* Waits until the group has no threads. */
static void
_run_on_small_stack (void (*run) (void *data), void *data)
{
  VpThreadGroup group;

  vp_thread_group_setup (&group, NULL, NULL);
  g_assert_true (vp_thread_group_start (&group, run, data));
  g_assert_true (vp_thread_group_join (&group, g_get_monotonic_time () + 60 * G_USEC_PER_SEC));
}

static void
_decode_as_everything (void *data)
{
  const char *text = data;
  size_t size = strlen (text);
  VpWorkerEntry entry;
  VpPfStoreItem item;
  uint64_t as_of;
  bool has_more;
  VpCommandResult result = { .kind = VP_COMMAND_HOLD };

  g_assert_false (vp_pf_decode_worker ("w-1", text, size, &entry));
  g_assert_null (vp_pf_decode_job (text, size));
  g_assert_null (vp_pf_decode_config (text, size, NULL));
  g_assert_null (vp_pf_decode_advice_result (text, size, 1));
  g_assert_null (vp_pf_decode_items (text, size, &as_of, &has_more));
  g_assert_false (vp_pf_decode_item (text, size, &item));
  g_assert_cmpuint (vp_pf_decode_number (text, size, "revision"), ==, 0);
  vp_pf_decode_command_result (200, text, size, &result);
  g_assert_cmpint (result.outcome, ==, VP_COMMAND_UNCERTAIN);
  vp_command_result_clear (&result);
}

/* Guards against deeply nested text of another writer, a caller or a worker that overflows the
 * small stack of the thread that reads it, so that each leader ends by SIGSEGV. */
static void
test_deep_nesting (void)
{
  g_autofree char *open = g_strnfill (NESTING, '[');
  g_autofree char *close = g_strnfill (NESTING, ']');
  g_autofree char *entry = g_strdup_printf (
      ENTRY_HEAD ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"spec\":%s%s}", open, close);
  g_autofree char *unclosed = g_strdup_printf ("{\"steps\":%s", open);
  /* json-glib takes the comment for white space. */
  g_autofree char *hidden = g_strdup_printf ("{\"steps\":/*\"*/%s%s}", open, close);

  _run_on_small_stack (_decode_as_everything, entry);
  _run_on_small_stack (_decode_as_everything, unclosed);
  _run_on_small_stack (_decode_as_everything, hidden);
}

/* Guards against an entry of another writer that is taken for a worker: one with a number that
 * doesn't fit, or an address that can't be connected to. */
static void
test_odd_entries (void)
{
  static const struct {
    const char *rest;
    bool is_worker;
  } cases[] = {
    { ENTRY_ADDRESS "," ENTRY_CAPACITY, true },
    { ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"born\":1796488110581", true },
    { ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"unknown\":{\"a\":[[1.5,null]]}", true },
    { ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"born\":1e300", false },
    { ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"born\":9223372036854775807", false },
    { ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"born\":9223372036854775808", false },
    { ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"born\":18446744073709551617", false },
    { ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"seq\":99999999999999999999", false },
    { ENTRY_ADDRESS "," ENTRY_CAPACITY ",\"cold_remaining_ms\":1e999", false },
    { ENTRY_ADDRESS ",\"capacity\":{\"cpu\":1e300,\"mem_mb\":32768}", false },
    { ENTRY_ADDRESS ",\"capacity\":{\"cpu\":-1,\"mem_mb\":32768}", false },
    { ENTRY_ADDRESS ",\"capacity\":{\"cpu\":16000,\"mem_mb\":18446744073709551616}", false },
    { ENTRY_ADDRESS ",\"capacity\":[16000]", false },
    { ENTRY_CAPACITY, false },
    { "\"address\":7," ENTRY_CAPACITY, false },
    { "\"address\":\"10.1.0.9\"," ENTRY_CAPACITY, false },
    { "\"address\":\"10.1.0.9:0\"," ENTRY_CAPACITY, false },
    { "\"address\":\"10.1.0.9:-1\"," ENTRY_CAPACITY, false },
    { "\"address\":\"10.1.0.9:65536\"," ENTRY_CAPACITY, false },
    { "\"address\":\"10.1.0.9:8080x\"," ENTRY_CAPACITY, false },
    { "\"address\":\"10.1.0.999:8080\"," ENTRY_CAPACITY, false },
    { "\"address\":\"printer:8080\"," ENTRY_CAPACITY, false },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *text = g_strdup_printf (ENTRY_HEAD "%s}", cases[i].rest);
    VpWorkerEntry entry;
    g_test_message ("%s", text);
    g_assert_true (vp_pf_decode_worker ("w-1", text, strlen (text), &entry) == cases[i].is_worker);
  }
}

/* Guards against an identity that adds a header to commands or a line to the log. */
static void
test_odd_identities (void)
{
  static const char text[] = ENTRY_HEAD ENTRY_ADDRESS "," ENTRY_CAPACITY "}";
  static const char *const odd[] = { "", "w 1", "w-1\r\nX-A: b", "w\n", "w-\xc3\xa9" };
  VpWorkerEntry entry;

  g_assert_true (vp_pf_decode_worker ("i-7F3a_91.c2", text, strlen (text), &entry));
  for (guint i = 0; i < G_N_ELEMENTS (odd); i++)
    g_assert_false (vp_pf_decode_worker (odd[i], text, strlen (text), &entry));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pf-json/deep-nesting", test_deep_nesting);
  g_test_add_func ("/pf-json/odd-entries", test_odd_entries);
  g_test_add_func ("/pf-json/odd-identities", test_odd_identities);
  return g_test_run ();
}
