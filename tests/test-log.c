/* Lines of the decision log: lists of items, and limits of size and rate. */
#include "log-capture.h"

#include <string.h>

#define NOW_MS 1789369418790
#define HEAD   "t=1789369418790 node=edge-1 event="

/* Guards against items that are listed in a line of another event, time or keys, and against lines
 * that are out of order. */
static void
test_items (void)
{
  LogCapture capture;
  g_autofree char *text = NULL;

  log_capture_setup (&capture);
  vp_log_item (NOW_MS, "worker-listed", "service=a workers=", "w1");
  vp_log_item (NOW_MS, "worker-listed", "service=a workers=", "w2");
  vp_log_item (NOW_MS, "worker-listed", "service=ab workers=", "w3");
  vp_log_item (NOW_MS + 1, "worker-listed", "service=ab workers=", "w4");
  vp_log (NOW_MS + 1, "settled", "workers=%u", 4u);
  vp_log_item (NOW_MS + 1, "worker-listed", "service=ab workers=", "w5");
  vp_log_item (NOW_MS + 1, "worker-synced", "service=ab workers=", "w5");
  g_assert_cmpuint (vp_log_pending (), >, 0);
  text = log_capture_read (&capture);
  g_assert_cmpstr (text, ==,
                   HEAD "worker-listed service=a workers=w1,w2\n" HEAD
                        "worker-listed service=ab workers=w3\n"
                        "t=1789369418791 node=edge-1 event=worker-listed service=ab workers=w4\n"
                        "t=1789369418791 node=edge-1 event=settled workers=4\n"
                        "t=1789369418791 node=edge-1 event=worker-listed service=ab workers=w5\n"
                        "t=1789369418791 node=edge-1 event=worker-synced service=ab workers=w5\n");
  log_capture_teardown (&capture);
}

/* Guards against items that are lost at the end of a line. */
static void
test_items_split (void)
{
  enum { ITEMS = 1000 };
  LogCapture capture;
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  uint32_t next = 0;

  log_capture_setup (&capture);
  for (uint32_t i = 0; i < ITEMS; i++) {
    g_autofree char *item = g_strdup_printf ("i-%u", i);
    vp_log_item (NOW_MS, "worker-listed", "workers=", item);
  }
  text = log_capture_read (&capture);
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; **line != '\0'; line++) {
    g_auto (GStrv) items = NULL;
    g_assert_cmpuint (strlen (*line), <, VP_LOG_LINE_MAX);
    g_assert_true (g_str_has_prefix (*line, HEAD "worker-listed workers="));
    items = g_strsplit (*line + strlen (HEAD "worker-listed workers="), ",", -1);
    for (char **item = items; *item != NULL; item++) {
      g_autofree char *expected = g_strdup_printf ("i-%u", next++);
      g_assert_cmpstr (*item, ==, expected);
    }
  }
  g_assert_cmpuint (next, ==, ITEMS);
  log_capture_teardown (&capture);
}

/* Guards against an event that floods the log, and against dropped lines that aren't reported. */
static void
test_rate (void)
{
  LogCapture capture;
  g_autofree char *text = NULL;

  log_capture_setup (&capture);
  for (uint32_t i = 0; i < VP_LOG_LINES_PER_S + 3; i++) {
    g_autofree char *keys = g_strdup_printf ("n=%u workers=", i);
    vp_log_item (NOW_MS, "worker-listed", keys, "w1");
  }
  vp_log_item (NOW_MS + 1000, "worker-listed", "workers=", "w1");
  text = log_capture_read (&capture);
  g_assert_cmpuint (vp_log_dropped (), ==, 3);
  g_assert_true (g_str_has_suffix (text, "event=dropped kind=worker-listed lines=3\n"
                                         "t=1789369419790 node=edge-1 event=worker-listed "
                                         "workers=w1\n"));
  log_capture_teardown (&capture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log/items", test_items);
  g_test_add_func ("/log/items-split", test_items_split);
  g_test_add_func ("/log/rate", test_rate);
  return g_test_run ();
}
