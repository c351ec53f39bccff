#include "vp-metrics.h"

#include <string.h>

enum { THREADS = 4, ROUNDS = 20000 };

/* Guards against bucket bounds that are off by one or overflow at the ends of the range. */
static void
test_quantile_error (void)
{
  static const int64_t values[] = {
    0, 1, 15, 16, 17, 31, 32, 33, 63, 64, 1000, 65535, 65536, 123456789, INT64_MAX / 3, INT64_MAX,
  };

  for (guint i = 0; i < G_N_ELEMENTS (values); i++) {
    int64_t found;
    vp_metrics_reset ();
    vp_metrics_observe (VP_HIST_WAIT_MS, values[i]);
    found = vp_metrics_quantile (VP_HIST_WAIT_MS, 500);
    g_assert_cmpint (found, >=, values[i]);
    g_assert_cmpint (found - values[i], <=, values[i] / 16);
  }
  vp_metrics_reset ();
  g_assert_cmpint (vp_metrics_quantile (VP_HIST_WAIT_MS, 999), ==, 0);
  vp_metrics_observe (VP_HIST_WAIT_MS, -5);
  g_assert_cmpint (vp_metrics_quantile (VP_HIST_WAIT_MS, 1000), ==, 0);
}

/* Guards against quantiles of a wrong rank. */
static void
test_quantile_rank (void)
{
  static const struct {
    uint32_t permille;
    int64_t value;
  } cases[] = { { 0, 1 }, { 10, 1 }, { 500, 50 }, { 990, 99 }, { 1000, 100 } };

  vp_metrics_reset ();
  for (int64_t i = 1; i <= 100; i++)
    vp_metrics_observe (VP_HIST_CALL_US, i);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    int64_t found = vp_metrics_quantile (VP_HIST_CALL_US, cases[i].permille);
    g_assert_cmpint (found, >=, cases[i].value);
    g_assert_cmpint (found, <=, cases[i].value + cases[i].value / 16);
  }
}

static gpointer
_count (G_GNUC_UNUSED gpointer data)
{
  for (int i = 0; i < ROUNDS; i++) {
    vp_metrics_add (VP_COUNTER_EVENTS, 2);
    vp_metrics_observe (VP_HIST_DECIDE_US, i);
  }
  return NULL;
}

/* Guards against updates that are lost when several threads count at the same time. */
static void
test_threads (void)
{
  GThread *threads[THREADS];
  g_autofree char *line = g_strdup_printf ("verbenapulley_decide_us_count %d\n", THREADS * ROUNDS);
  GString *text;

  vp_metrics_reset ();
  for (int i = 0; i < THREADS; i++)
    threads[i] = g_thread_new ("count", _count, NULL);
  for (int i = 0; i < THREADS; i++)
    g_thread_join (threads[i]);
  g_assert_cmpuint (vp_metrics_get (VP_COUNTER_EVENTS), ==, 2 * THREADS * ROUNDS);
  text = vp_metrics_expose ();
  g_assert_nonnull (strstr (text->str, line));
  g_string_free (text, TRUE);
}

/* Guards against a metric without a name, two metrics of one name, and text that a scraper rejects.
 */
static void
test_expose (void)
{
  g_autoptr (GHashTable) names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_auto (GStrv) lines = NULL;
  uint64_t last = 0;
  uint32_t bucket_count = 0;
  GString *text;

  vp_metrics_reset ();
  vp_metrics_add (VP_COUNTER_REQUESTS, 3);
  vp_metrics_set (VP_GAUGE_PENDING, -1);
  for (int i = 0; i < 200; i++)
    vp_metrics_observe (VP_HIST_WAIT_MS, i);
  vp_metrics_observe (VP_HIST_WAIT_MS, INT64_MAX / 2);
  text = vp_metrics_expose ();
  g_assert_null (strstr (text->str, "(null)"));
  g_assert_nonnull (strstr (text->str, "\nverbenapulley_requests_total 3\n"));
  g_assert_nonnull (strstr (text->str, "\nverbenapulley_pending -1\n"));
  g_assert_nonnull (strstr (text->str, "wait_ms_bucket{le=\"127\"} 128\n"));
  g_assert_nonnull (strstr (text->str, "wait_ms_bucket{le=\"+Inf\"} 201\n"));
  lines = g_strsplit (text->str, "\n", -1);
  for (char **at = lines; **at != '\0'; at++) {
    const char *space = strrchr (*at, ' ');
    if (**at == '#')
      continue;
    g_assert_nonnull (space);
    g_assert_true (g_hash_table_add (names, g_strndup (*at, space - *at)));
    if (strstr (*at, "wait_ms_bucket") == NULL)
      continue;
    g_assert_cmpuint (g_ascii_strtoull (space + 1, NULL, 10), >=, last);
    last = g_ascii_strtoull (space + 1, NULL, 10);
    bucket_count++;
  }
  g_assert_cmpuint (bucket_count, ==, 29);
  g_string_free (text, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/metrics/quantile-error", test_quantile_error);
  g_test_add_func ("/metrics/quantile-rank", test_quantile_rank);
  g_test_add_func ("/metrics/threads", test_threads);
  g_test_add_func ("/metrics/expose", test_expose);
  return g_test_run ();
}
