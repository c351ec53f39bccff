/* Compares the results of the benchmarks with targets and earlier results.
 *
 *   report RESULTS TARGETS BASELINE OUT_DIR
 *
 * RESULTS has one JSON object per line: {"measure","value","unit"}, or {"curve","series","x","y"}.
 * Writes report.json, report.txt, and <curve>.dat with one block per series to OUT_DIR. A target
 * without a result is reported as not measured, with null as value and met. The exit status is 0
 * even if a target is missed.
 */
#include <errno.h>
#include <json-glib/json-glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
  char *measure, *unit;
  double value;
} Result;

static struct {
  GPtrArray *results;  /* Result, in order of RESULTS */
  GHashTable *by_name; /* measure -> Result, owned by results */
  GHashTable *curves;  /* curve -> GHashTable of series -> GString with "x y" lines */
  JsonObject *targets, *baseline;
} _report;

static JsonObject *
_report_load (const char *path)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_autoptr (GError) error = NULL;

  if (!json_parser_load_from_file (parser, path, &error))
    g_error ("%s: %s", path, error->message);
  return json_object_ref (json_node_get_object (json_parser_get_root (parser)));
}

static void
_report_add_point (JsonObject *line)
{
  const char *curve = json_object_get_string_member (line, "curve");
  const char *name = json_object_get_string_member (line, "series");
  GHashTable *series = g_hash_table_lookup (_report.curves, curve);
  GString *text;

  if (series == NULL) {
    series = g_hash_table_new (g_str_hash, g_str_equal);
    g_hash_table_insert (_report.curves, g_strdup (curve), series);
  }
  text = g_hash_table_lookup (series, name);
  if (text == NULL) {
    text = g_string_new (NULL);
    g_hash_table_insert (series, g_strdup (name), text);
  }
  g_string_append_printf (text, "%.9g %.9g\n", json_object_get_double_member (line, "x"),
                          json_object_get_double_member (line, "y"));
}

static void
_report_add_line (const char *text)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_autoptr (GError) error = NULL;
  JsonObject *line;
  Result *result;

  if (text[0] != '{')
    return;
  if (!json_parser_load_from_data (parser, text, -1, &error))
    g_error ("failed to parse a result: %s", error->message);
  line = json_node_get_object (json_parser_get_root (parser));
  if (json_object_has_member (line, "curve")) {
    _report_add_point (line);
    return;
  }
  result = g_new0 (Result, 1);
  result->measure = g_strdup (json_object_get_string_member (line, "measure"));
  result->unit = g_strdup (json_object_get_string_member (line, "unit"));
  result->value = json_object_get_double_member (line, "value");
  g_ptr_array_add (_report.results, result);
  g_hash_table_insert (_report.by_name, result->measure, result);
}

static bool
_report_is_met (JsonObject *target, double value)
{
  double target_value = json_object_get_double_member (target, "target");

  return json_object_get_boolean_member_with_default (target, "is_minimum", FALSE)
             ? value >= target_value
             : value <= target_value;
}

static void
_report_add_number (JsonBuilder *builder, const char *name, double value)
{
  json_builder_set_member_name (builder, name);
  if (isnan (value))
    json_builder_add_null_value (builder);
  else
    json_builder_add_double_value (builder, value);
}

static double
_report_number_or_nan (JsonObject *object, const char *name)
{
  return object != NULL && json_object_has_member (object, name)
             ? json_object_get_double_member (object, name)
             : NAN;
}

/* Adds a row to the JSON and the text report. @result is NULL if the target was not measured. */
static void
_report_add_row (JsonBuilder *builder, GString *text, const char *measure, const Result *result)
{
  JsonObject *target = json_object_has_member (_report.targets, measure)
                           ? json_object_get_object_member (_report.targets, measure)
                           : NULL;
  const char *policy
      = target != NULL ? json_object_get_string_member_with_default (target, "policy", "") : "";
  const Result *policy_result = g_hash_table_lookup (_report.by_name, policy);
  double value = result != NULL ? result->value : NAN,
         target_value = _report_number_or_nan (target, "target");
  double baseline = _report_number_or_nan (_report.baseline, measure);
  const char *met = target == NULL                   ? ""
                    : result == NULL                 ? "not measured"
                    : _report_is_met (target, value) ? "met"
                                                     : "MISSED";

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "measure");
  json_builder_add_string_value (builder, measure);
  _report_add_number (builder, "value", value);
  json_builder_set_member_name (builder, "unit");
  json_builder_add_string_value (builder, result != NULL ? result->unit : "");
  _report_add_number (builder, "target", target_value);
  _report_add_number (builder, "baseline", baseline);
  _report_add_number (builder, "baseline_policy",
                      policy_result != NULL ? policy_result->value : NAN);
  json_builder_set_member_name (builder, "met");
  if (target == NULL || result == NULL)
    json_builder_add_null_value (builder);
  else
    json_builder_add_boolean_value (builder, _report_is_met (target, value));
  json_builder_end_object (builder);
  g_string_append_printf (text, "%-40s %12.5g %-10s", measure, value,
                          result != NULL ? result->unit : "");
  g_string_append_printf (text, " %10.4g %12.5g %12.5g  %s\n", target_value, baseline,
                          policy_result != NULL ? policy_result->value : NAN, met);
}

static void
_report_write (const char *dir, const char *name, const char *text)
{
  g_autofree char *path = g_build_filename (dir, name, NULL);
  g_autoptr (GError) error = NULL;

  if (!g_file_set_contents (path, text, -1, &error))
    g_error ("%s", error->message);
}

static void
_report_write_curves (const char *dir)
{
  GHashTableIter curves, all_series;
  gpointer curve, series, name, points;

  g_hash_table_iter_init (&curves, _report.curves);
  while (g_hash_table_iter_next (&curves, &curve, &series)) {
    g_autoptr (GString) text = g_string_new (NULL);
    g_autofree char *file = g_strconcat (curve, ".dat", NULL);

    g_hash_table_iter_init (&all_series, series);
    while (g_hash_table_iter_next (&all_series, &name, &points))
      g_string_append_printf (text, "\"%s\"\n%s\n\n", (char *)name, ((GString *)points)->str);
    _report_write (dir, file, text->str);
  }
}

static void
_report_write_table (const char *dir)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonGenerator) generator = json_generator_new ();
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GList) names = json_object_get_members (_report.targets);
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *json = NULL;

  g_string_append_printf (text, "%-40s %12s %-10s %10s %12s %12s\n", "measure", "value", "unit",
                          "target", "last", "baseline");
  json_builder_begin_array (builder);
  for (GList *l = names; l != NULL; l = l->next)
    _report_add_row (builder, text, l->data, g_hash_table_lookup (_report.by_name, l->data));
  g_string_append (text, "\n");
  for (guint i = 0; i < _report.results->len; i++) {
    const Result *result = g_ptr_array_index (_report.results, i);
    if (!json_object_has_member (_report.targets, result->measure))
      _report_add_row (builder, text, result->measure, result);
  }
  json_builder_end_array (builder);
  root = json_builder_get_root (builder);
  json_generator_set_root (generator, root);
  json_generator_set_pretty (generator, TRUE);
  json = json_generator_to_data (generator, NULL);
  _report_write (dir, "report.json", json);
  _report_write (dir, "report.txt", text->str);
  fputs (text->str, stdout);
}

int
main (int argc, char **argv)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  g_autoptr (GError) error = NULL;

  if (argc != 5) {
    fprintf (stderr, "usage: report RESULTS TARGETS BASELINE OUT_DIR\n");
    return 2;
  }
  if (!g_file_get_contents (argv[1], &text, NULL, &error))
    g_error ("%s", error->message);
  _report.results = g_ptr_array_new ();
  _report.by_name = g_hash_table_new (g_str_hash, g_str_equal);
  _report.curves = g_hash_table_new (g_str_hash, g_str_equal);
  _report.targets = _report_load (argv[2]);
  _report.baseline = _report_load (argv[3]);
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    _report_add_line (lines[i]);
  _report_write_table (argv[4]);
  _report_write_curves (argv[4]);
  return 0;
}
