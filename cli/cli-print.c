#include "cli.h"

#include "vp-json.h"

#include <stdio.h>
#include <string.h>

/* Values below this, which is September 2001, are durations and not times. */
#define CLI_TIME_MIN_MS INT64_C (1000000000000)

static char *
_cli_format_time (int64_t time_ms)
{
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (time_ms / 1000);

  return g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ");
}

/* Formats a value that is not an object and not an array of objects. Control characters are
 * replaced, since those in answers of tasks or notes must not be sent to the terminal. */
static char *
_cli_format_value (const char *name, JsonNode *node)
{
  char *text;

  if (JSON_NODE_HOLDS_NULL (node))
    return g_strdup ("-");
  if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_INT64
      && g_str_has_suffix (name, "at_ms") && json_node_get_int (node) >= CLI_TIME_MIN_MS)
    return _cli_format_time (json_node_get_int (node));
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_STRING)
    return json_to_string (node, FALSE);
  text = g_strdup (json_node_get_string (node));
  for (char *at = text; *at != '\0'; at++)
    if (g_ascii_iscntrl (*at) && *at != '\n')
      *at = '?';
  return text;
}

static bool
_cli_is_table (JsonNode *node)
{
  JsonArray *array;

  if (!JSON_NODE_HOLDS_ARRAY (node))
    return false;
  array = json_node_get_array (node);
  return json_array_get_length (array) > 0
         && JSON_NODE_HOLDS_OBJECT (json_array_get_element (array, 0));
}

/* Adds the values of an object to @row, with their paths as keys, and appends new paths to
 * @columns. */
static void
_cli_flatten (const char *prefix, JsonObject *object, GHashTable *row, GPtrArray *columns)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;

  json_object_iter_init_ordered (&iter, object);
  while (json_object_iter_next_ordered (&iter, &name, &node)) {
    g_autofree char *path = g_strconcat (prefix, prefix[0] != '\0' ? "." : "", name, NULL);
    if (JSON_NODE_HOLDS_OBJECT (node)) {
      _cli_flatten (path, json_node_get_object (node), row, columns);
      continue;
    }
    if (!g_ptr_array_find_with_equal_func (columns, path, g_str_equal, NULL))
      g_ptr_array_add (columns, g_strdup (path));
    g_hash_table_replace (row, g_strdup (path), _cli_format_value (name, node));
  }
}

static size_t
_cli_width (GPtrArray *rows, const char *column)
{
  size_t width = strlen (column);

  for (guint i = 0; i < rows->len; i++) {
    const char *text = g_hash_table_lookup (g_ptr_array_index (rows, i), column);
    width = MAX (width, text != NULL ? strlen (text) : 1);
  }
  return width;
}

static void
_cli_print_row (GHashTable *row, GPtrArray *columns, GArray *widths)
{
  for (guint i = 0; i < columns->len; i++) {
    const char *column = g_ptr_array_index (columns, i);
    const char *text = row != NULL ? g_hash_table_lookup (row, column) : column;
    bool is_last = i + 1 == columns->len;
    printf ("%-*s%s", is_last ? 0 : (int)g_array_index (widths, size_t, i),
            text != NULL ? text : "-", is_last ? "\n" : "  ");
  }
}

static void
_cli_print_table (JsonArray *array)
{
  g_autoptr (GPtrArray) columns = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) rows = g_ptr_array_new_with_free_func ((GDestroyNotify)g_hash_table_unref);
  g_autoptr (GArray) widths = g_array_new (FALSE, FALSE, sizeof (size_t));

  for (guint i = 0; i < json_array_get_length (array); i++) {
    JsonNode *node = json_array_get_element (array, i);
    GHashTable *row = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    g_ptr_array_add (rows, row);
    if (JSON_NODE_HOLDS_OBJECT (node))
      _cli_flatten ("", json_node_get_object (node), row, columns);
  }
  for (guint i = 0; i < columns->len; i++) {
    size_t width = _cli_width (rows, g_ptr_array_index (columns, i));
    g_array_append_val (widths, width);
  }
  _cli_print_row (NULL, columns, widths);
  for (guint i = 0; i < rows->len; i++)
    _cli_print_row (g_ptr_array_index (rows, i), columns, widths);
}

/* Prints the values of an object, and then a table for each array of objects. */
static void
_cli_print_object (JsonObject *object)
{
  g_autoptr (GHashTable) row = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_autoptr (GPtrArray) columns = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (JsonObject) values = json_object_new ();
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;

  json_object_iter_init_ordered (&iter, object);
  while (json_object_iter_next_ordered (&iter, &name, &node))
    if (!_cli_is_table (node))
      json_object_set_member (values, name, json_node_copy (node));
  _cli_flatten ("", values, row, columns);
  for (guint i = 0; i < columns->len; i++)
    printf ("%-24s %s\n", (const char *)g_ptr_array_index (columns, i),
            (const char *)g_hash_table_lookup (row, g_ptr_array_index (columns, i)));
  json_object_iter_init_ordered (&iter, object);
  while (json_object_iter_next_ordered (&iter, &name, &node))
    if (_cli_is_table (node)) {
      printf ("\n%s:\n", name);
      _cli_print_table (json_node_get_array (node));
    }
}

void
cli_print (const Cli *cli, const CliResponse *response)
{
  g_autoptr (JsonNode) root
      = cli->is_json ? NULL : vp_json_load_root (response->body, response->size);

  if (root == NULL)
    printf ("%s\n", response->body);
  else if (JSON_NODE_HOLDS_OBJECT (root))
    _cli_print_object (json_node_get_object (root));
  else if (_cli_is_table (root))
    _cli_print_table (json_node_get_array (root));
  else
    printf ("%s\n", response->body);
}
