#include "vp-json.h"

#include <gio/gio.h>

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

GQuark
vp_json_error_quark (void)
{
  return g_quark_from_static_string ("vp-json-error-quark");
}

static VpJson *
_vp_json_root (VpJson *json)
{
  while (json->parent != NULL)
    json = json->parent;
  return json;
}

/* Records an error unless there is an earlier one, of which it may be a consequence. */
static void
_vp_json_set_error (VpJson *json, VpJsonError code, const char *field, const char *text)
{
  VpJson *root = _vp_json_root (json);

  if (root->error != NULL)
    return;
  g_set_error (&root->error, VP_JSON_ERROR, code, "%s%s%s: %s", json->path,
               json->path[0] != '\0' && field[0] != '\0' && field[0] != '[' ? "." : "", field,
               text);
}

void
vp_json_fail (VpJson *json, const char *field, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  _vp_json_set_error (json, VP_JSON_ERROR_VALUE, field, text);
}

bool
vp_json_has_failed (const VpJson *json)
{
  while (json->parent != NULL)
    json = json->parent;
  return json->error != NULL;
}

bool
vp_json_load (JsonParser *parser, const char *text, size_t size, GError **error)
{
  return vp_json_check_syntax (text, size, error)
         && json_parser_load_from_data (parser, text, (gssize)size, error);
}

JsonNode *
vp_json_load_root (const char *text, size_t size)
{
  g_autoptr (JsonParser) parser = json_parser_new ();

  return vp_json_load (parser, text, size, NULL) ? json_parser_steal_root (parser) : NULL;
}

bool
vp_json_open (VpJson *json, const char *text, size_t size, GError **error)
{
  JsonNode *root;

  memset (json, 0, sizeof *json);
  json->parser = json_parser_new_immutable ();
  if (!vp_json_load (json->parser, text, size, error)) {
    g_clear_object (&json->parser);
    return false;
  }
  root = json_parser_get_root (json->parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root)) {
    g_set_error (error, VP_JSON_ERROR, VP_JSON_ERROR_TYPE, "must be an object");
    g_clear_object (&json->parser);
    return false;
  }
  json->object = json_node_get_object (root);
  json->seen = g_hash_table_new (g_str_hash, g_str_equal);
  return true;
}

static void
_vp_json_check_unread (VpJson *json)
{
  JsonObjectIter iter;
  const char *name;

  if (vp_json_has_failed (json))
    return;
  json_object_iter_init (&iter, json->object);
  while (json_object_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (json->seen, name))
      _vp_json_set_error (json, VP_JSON_ERROR_UNKNOWN_FIELD, name, "unknown field");
}

bool
vp_json_close (VpJson *json, GError **error)
{
  bool is_ok;

  _vp_json_check_unread (json);
  is_ok = json->error == NULL;
  if (!is_ok)
    g_propagate_error (error, g_steal_pointer (&json->error));
  g_clear_pointer (&json->seen, g_hash_table_unref);
  g_clear_object (&json->parser);
  json->object = NULL;
  return is_ok;
}

void
vp_json_close_child (VpJson *child)
{
  if (child->object == NULL)
    return;
  _vp_json_check_unread (child);
  g_clear_pointer (&child->seen, g_hash_table_unref);
  child->object = NULL;
}

bool
vp_json_has (VpJson *json, const char *field)
{
  return json->object != NULL && json_object_has_member (json->object, field);
}

/* Returns the node of a field and marks the field as read. Returns NULL after an error, or if the
 * field is missing. */
static JsonNode *
_vp_json_get_node (VpJson *json, const char *field, bool is_required)
{
  JsonNode *node;

  if (json->object == NULL || vp_json_has_failed (json))
    return NULL;
  node = json_object_get_member (json->object, field);
  if (node != NULL)
    g_hash_table_add (json->seen, (gpointer)field);
  else if (is_required)
    _vp_json_set_error (json, VP_JSON_ERROR_MISSING_FIELD, field, "missing");
  return node;
}

static bool
_vp_json_node_is_value (JsonNode *node, GType type)
{
  return JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == type;
}

static const char *
_vp_json_check_text (VpJson *json,
                     const char *field,
                     JsonNode *node,
                     size_t max,
                     bool is_control_allowed)
{
  const char *text;
  g_autofree char *range = NULL;

  if (!_vp_json_node_is_value (node, G_TYPE_STRING)) {
    _vp_json_set_error (json, VP_JSON_ERROR_TYPE, field, "must be a string");
    return NULL;
  }
  text = json_node_get_string (node);
  if (strlen (text) >= max) {
    range = g_strdup_printf ("must be shorter than %zu bytes", max);
    _vp_json_set_error (json, VP_JSON_ERROR_RANGE, field, range);
    return NULL;
  }
  for (const char *at = text; !is_control_allowed && *at != '\0'; at++)
    if (g_ascii_iscntrl (*at)) {
      _vp_json_set_error (json, VP_JSON_ERROR_VALUE, field, "has a control character");
      return NULL;
    }
  return text;
}

static const char *
_vp_json_read_text (VpJson *json,
                    const char *field,
                    size_t max,
                    const char *fallback,
                    bool is_control_allowed)
{
  bool is_required = g_strcmp0 (fallback, VP_JSON_REQUIRED) == 0;
  JsonNode *node = _vp_json_get_node (json, field, is_required);
  const char *text = NULL;

  if (node != NULL)
    text = _vp_json_check_text (json, field, node, max, is_control_allowed);
  if (text != NULL)
    return text;
  return is_required ? "" : fallback;
}

const char *
vp_json_string (VpJson *json, const char *field, size_t max, const char *fallback)
{
  return _vp_json_read_text (json, field, max, fallback, false);
}

const char *
vp_json_text (VpJson *json, const char *field, size_t max, const char *fallback)
{
  return _vp_json_read_text (json, field, max, fallback, true);
}

bool
vp_json_is_name (const char *text)
{
  size_t size = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789._-");

  return size > 0 && size < VP_NAME_MAX && text[size] == '\0' && g_ascii_isalnum (text[0]);
}

bool
vp_json_is_sha256 (const char *text)
{
  return strspn (text, "0123456789abcdef") == 64 && text[64] == '\0';
}

bool
vp_json_is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  bool is_bracketed = text[0] == '[';
  g_autofree char *host = NULL;
  g_autoptr (GInetAddress) address = NULL;
  guint64 port;

  if (colon == NULL || strlen (text) >= VP_ADDRESS_MAX || colon == text)
    return false;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return false;
  if (is_bracketed && colon[-1] != ']')
    return false;
  host = is_bracketed ? g_strndup (text + 1, colon - text - 2) : g_strndup (text, colon - text);
  address = g_inet_address_new_from_string (host);
  return address != NULL
         && (g_inet_address_get_family (address) == G_SOCKET_FAMILY_IPV6) == is_bracketed;
}

const char *
vp_json_name (VpJson *json, const char *field, const char *fallback)
{
  const char *text = vp_json_string (json, field, VP_NAME_MAX, fallback);

  if (!vp_json_has_failed (json) && vp_json_has (json, field) && !vp_json_is_name (text))
    vp_json_fail (json, field,
                  "must be made of a-z, 0-9, '.', '_', '-' and start with a letter or digit");
  return text;
}

int64_t
vp_json_int (VpJson *json, const char *field, int64_t min, int64_t max, int64_t fallback)
{
  bool is_required = fallback == VP_JSON_REQUIRED_INT;
  JsonNode *node = _vp_json_get_node (json, field, is_required);
  int64_t fallback_value = is_required ? min : fallback;
  int64_t value;
  g_autofree char *range = NULL;

  if (node == NULL)
    return fallback_value;
  if (!_vp_json_node_is_value (node, G_TYPE_INT64)) {
    _vp_json_set_error (json, VP_JSON_ERROR_TYPE, field, "must be an integer");
    return fallback_value;
  }
  value = json_node_get_int (node);
  if (value >= min && value <= max)
    return value;
  range = g_strdup_printf ("must be from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min, max);
  _vp_json_set_error (json, VP_JSON_ERROR_RANGE, field, range);
  return fallback_value;
}

double
vp_json_number (VpJson *json, const char *field, double min, double max, double fallback)
{
  JsonNode *node = _vp_json_get_node (json, field, false);
  g_autofree char *range = NULL;
  double value;

  if (node == NULL)
    return fallback;
  if (!_vp_json_node_is_value (node, G_TYPE_INT64)
      && !_vp_json_node_is_value (node, G_TYPE_DOUBLE)) {
    _vp_json_set_error (json, VP_JSON_ERROR_TYPE, field, "must be a number");
    return fallback;
  }
  value = json_node_get_double (node);
  if (value >= min && value <= max)
    return value;
  range = g_strdup_printf ("must be from %g to %g", min, max);
  _vp_json_set_error (json, VP_JSON_ERROR_RANGE, field, range);
  return fallback;
}

bool
vp_json_bool (VpJson *json, const char *field, bool fallback)
{
  JsonNode *node = _vp_json_get_node (json, field, false);

  if (node == NULL)
    return fallback;
  if (!_vp_json_node_is_value (node, G_TYPE_BOOLEAN)) {
    _vp_json_set_error (json, VP_JSON_ERROR_TYPE, field, "must be true or false");
    return fallback;
  }
  return json_node_get_boolean (node);
}

static bool
_vp_json_open_child (VpJson *json, const char *field, JsonNode *node, VpJson *child)
{
  if (!JSON_NODE_HOLDS_OBJECT (node)) {
    _vp_json_set_error (json, VP_JSON_ERROR_TYPE, field, "must be an object");
    return false;
  }
  child->parent = json;
  child->object = json_node_get_object (node);
  child->seen = g_hash_table_new (g_str_hash, g_str_equal);
  g_snprintf (child->path, sizeof child->path, "%s%s%s", json->path,
              json->path[0] != '\0' ? "." : "", field);
  return true;
}

bool
vp_json_object (VpJson *json, const char *field, bool is_required, VpJson *child)
{
  JsonNode *node = _vp_json_get_node (json, field, is_required);

  memset (child, 0, sizeof *child);
  return node != NULL && _vp_json_open_child (json, field, node, child);
}

uint32_t
vp_json_array (VpJson *json, const char *field, uint32_t max, bool is_required)
{
  JsonNode *node = _vp_json_get_node (json, field, is_required);
  g_autofree char *range = NULL;
  uint32_t count;

  if (node == NULL)
    return 0;
  if (!JSON_NODE_HOLDS_ARRAY (node)) {
    _vp_json_set_error (json, VP_JSON_ERROR_TYPE, field, "must be an array");
    return 0;
  }
  count = json_array_get_length (json_node_get_array (node));
  if (count <= max)
    return count;
  range = g_strdup_printf ("must have at most %u elements", max);
  _vp_json_set_error (json, VP_JSON_ERROR_RANGE, field, range);
  return 0;
}

static JsonNode *
_vp_json_get_element_node (VpJson *json, const char *field, uint32_t index)
{
  JsonNode *node = _vp_json_get_node (json, field, true);
  JsonArray *array;

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  array = json_node_get_array (node);
  return index < json_array_get_length (array) ? json_array_get_element (array, index) : NULL;
}

bool
vp_json_element (VpJson *json, const char *field, uint32_t index, VpJson *child)
{
  JsonNode *node = _vp_json_get_element_node (json, field, index);
  char name[VP_NAME_MAX + 16];

  memset (child, 0, sizeof *child);
  g_snprintf (name, sizeof name, "%s[%u]", field, index);
  return node != NULL && _vp_json_open_child (json, name, node, child);
}

const char *
vp_json_element_string (VpJson *json, const char *field, uint32_t index, size_t max)
{
  JsonNode *node = _vp_json_get_element_node (json, field, index);
  const char *text = NULL;
  char name[VP_NAME_MAX + 16];

  g_snprintf (name, sizeof name, "%s[%u]", field, index);
  if (node != NULL)
    text = _vp_json_check_text (json, name, node, max, false);
  return text != NULL ? text : "";
}

void
vp_json_size (VpJson *json, const char *field, VpResources *out)
{
  VpJson child;

  memset (out, 0, sizeof *out);
  if (!vp_json_object (json, field, true, &child))
    return;
  out->cpu_milli = vp_json_int (&child, "cpu_milli", 0, VP_JSON_RESOURCE_MAX, VP_JSON_REQUIRED_INT);
  out->mem_mib = vp_json_int (&child, "mem_mib", 0, VP_JSON_RESOURCE_MAX, VP_JSON_REQUIRED_INT);
  out->accel_count = vp_json_int (&child, "accel_count", 0, VP_JSON_RESOURCE_MAX, 0);
  vp_json_close_child (&child);
}

void
vp_json_append_string (GString *out, const char *text, size_t size)
{
  g_string_append_c (out, '"');
  for (size_t i = 0; i < size; i++) {
    unsigned char c = (unsigned char)text[i];
    if (c == '"' || c == '\\')
      g_string_append_printf (out, "\\%c", c);
    else if (c < 0x20)
      g_string_append_printf (out, "\\u%04x", c);
    else
      g_string_append_c (out, (char)c);
  }
  g_string_append_c (out, '"');
}
