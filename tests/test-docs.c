/* Checks that docs/OPERATIONS.md names what the code exposes. */
#include "vp-metrics.h"
#include "vp-types.h"

#include <string.h>

static char *
_read_file (const char *path)
{
  g_autofree char *full = g_build_filename (VP_SOURCE_DIR, path, NULL);
  g_autoptr (GError) error = NULL;
  char *text = NULL;

  g_file_get_contents (full, &text, NULL, &error);
  g_assert_no_error (error);
  return text;
}

/* Asserts that a table of @page documents @name: in backquotes in the first cell of a row, alone or
 * as the last part of a path, or in the row of the object that it belongs to. */
static void
_assert_documented (const char *page, const char *name, size_t size)
{
  g_autofree char *pattern = g_strdup_printf (
      "(?m)^\\|[^|]*(`|\\]\\.)%.*s`|^\\| `(members|operators|keys|teams\\[\\]\\.limit)`.*`%.*s`",
      (int)size, name, (int)size, name);

  if (!g_regex_match_simple (pattern, page, 0, 0))
    g_error ("no row of docs/OPERATIONS.md documents %.*s", (int)size, name);
}

/* Guards against counters, gauges and histograms that the page doesn't document. */
static void
test_counters (void)
{
  g_autofree char *page = _read_file ("docs/OPERATIONS.md");
  g_autoptr (GString) text = vp_metrics_expose ();
  static const char prefix[] = "# HELP verbenapulley_";
  uint32_t count = 0;

  for (const char *at = text->str; (at = strstr (at, prefix)) != NULL; count++) {
    at += sizeof prefix - 1;
    size_t size = strcspn (at, " ");
    if (g_str_has_prefix (at + size - strlen ("_total"), "_total "))
      size -= strlen ("_total");
    _assert_documented (page, at, size);
  }
  g_assert_cmpuint (count, ==, (uint32_t)VP_COUNTER_LAST + VP_GAUGE_LAST + VP_HIST_LAST);
}

/* Guards against reasons of refusals whose HTTP status or "run" value is missing or wrong on the
 * page.
 */
static void
test_reasons (void)
{
  g_autofree char *page = _read_file ("docs/OPERATIONS.md");

  for (int i = VP_REASON_NONE + 1; i < VP_REASON_COUNT; i++) {
    VpReason reason = (VpReason)i;
    g_autofree char *row = g_strdup_printf (
        "| `%s` | %u | %s |", vp_reason_token (reason), vp_reason_http_status (reason),
        vp_reason_guarantees_not_run (reason) ? "no" : "unknown");
    if (strstr (page, row) == NULL)
      g_error ("no row starts with '%s' in docs/OPERATIONS.md", row);
  }
}

/* Guards against fields of the settings and the configuration that the page doesn't document. The
 * fields are the names that the source file passes to the vp_json_ functions and to its own
 * readers.
 */
static void
test_fields (gconstpointer path)
{
  g_autofree char *page = _read_file ("docs/OPERATIONS.md");
  g_autofree char *source = _read_file (path);
  g_autoptr (GRegex) regex
      = g_regex_new ("(?:vp_json_(?:int|bool|string|name|array|size)|_read_address|_vp_config_int|"
                     "_vp_intake_settings_int) "
                     "\\(&?\\w+,\\s*\"(\\w+)\"",
                     0, 0, NULL);
  g_autoptr (GMatchInfo) match = NULL;
  uint32_t count = 0;

  for (g_regex_match (regex, source, 0, &match); g_match_info_matches (match);
       g_match_info_next (match, NULL), count++) {
    g_autofree char *field = g_match_info_fetch (match, 1);
    /* The stored form also has fields that tell its origin, which operators don't set. */
    if (!g_strv_contains (
            (const char *const[]){ "change", "who", "at_ms", "summary", "revision", NULL }, field))
      _assert_documented (page, field, strlen (field));
  }
  g_assert_cmpuint (count, >, 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/docs/counters", test_counters);
  g_test_add_func ("/docs/reasons", test_reasons);
  g_test_add_data_func ("/docs/settings", "src/vp-settings.c", test_fields);
  g_test_add_data_func ("/docs/intake-settings", "src/vp-intake-settings.c", test_fields);
  g_test_add_data_func ("/docs/config", "src/vp-config.c", test_fields);
  return g_test_run ();
}
