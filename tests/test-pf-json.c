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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pf-json/deep-nesting", test_deep_nesting);
  return g_test_run ();
}
