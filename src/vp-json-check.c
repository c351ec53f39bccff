#include "vp-json.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <string.h>

/* Place in an object or array that is scanned. */
typedef struct {
  const char *name; /* member, not terminated; NULL: none, or an element */
  size_t name_size; /* bytes of the name */
  bool is_element;
  uint32_t index; /* index of the element */
} VpJsonScanPlace;

/* Scanner that checks JSON text before json-glib parses it. json-glib accepts comments, repeated
 * members and trailing text, lets large integers overflow, and recurses without a limit. */
typedef struct {
  const char *at;
  const char *start;
  const char *end;
  VpJsonScanPlace places[VP_JSON_DEPTH_MAX]; /* from the root on */
  uint32_t depth;                            /* objects and arrays that are open */
  GError **error;
} VpJsonScan;

/* Integers with up to this many characters fit into int64_t. */
#define VP_JSON_SCAN_SHORT_NUMBER 18

static bool _vp_json_scan_value (VpJsonScan *scan);

static void
_vp_json_scan_append_path (const VpJsonScan *scan, GString *out)
{
  for (uint32_t i = 0; i < scan->depth; i++) {
    const VpJsonScanPlace *place = &scan->places[i];
    if (place->is_element)
      g_string_append_printf (out, "[%u]", place->index);
    if (place->name != NULL && out->len > 0)
      g_string_append_c (out, '.');
    if (place->name != NULL)
      g_string_append_len (out, place->name, (gssize)place->name_size);
  }
}

static bool _vp_json_scan_set_error (VpJsonScan *scan, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static bool
_vp_json_scan_set_error (VpJsonScan *scan, const char *format, ...)
{
  g_autoptr (GString) path = g_string_new (NULL);
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  _vp_json_scan_append_path (scan, path);
  g_set_error (scan->error, VP_JSON_ERROR, VP_JSON_ERROR_SYNTAX, "%s%s%s (byte %zu)", path->str,
               path->len > 0 ? ": " : "", text, (size_t)(scan->at - scan->start));
  return false;
}

static void
_vp_json_scan_whitespace (VpJsonScan *scan)
{
  while (scan->at < scan->end
         && (*scan->at == ' ' || *scan->at == '\t' || *scan->at == '\r' || *scan->at == '\n'))
    scan->at++;
}

/* Skips the next character and returns true if it is @c. */
static bool
_vp_json_scan_accept (VpJsonScan *scan, char c)
{
  if (scan->at >= scan->end || *scan->at != c)
    return false;
  scan->at++;
  return true;
}

/* Returns the value of four hexadecimal digits at @at, or -1 if there are none. */
static int32_t
_vp_json_scan_hex (const VpJsonScan *scan, const char *at)
{
  int32_t value = 0;

  if (scan->end - at < 4)
    return -1;
  for (int i = 0; i < 4; i++) {
    int digit = g_ascii_xdigit_value (at[i]);
    if (digit < 0)
      return -1;
    value = value * 16 + digit;
  }
  return value;
}

static bool
_vp_json_scan_escape (VpJsonScan *scan)
{
  int32_t unit;
  int32_t low;

  if (scan->at >= scan->end)
    return _vp_json_scan_set_error (scan, "unterminated string");
  if (*scan->at != 'u') {
    if (*scan->at == '\0' || strchr ("\"\\/bfnrt", *scan->at) == NULL)
      return _vp_json_scan_set_error (scan, "unknown escape in a string");
    scan->at++;
    return true;
  }
  unit = _vp_json_scan_hex (scan, scan->at + 1);
  if (unit <= 0)
    return _vp_json_scan_set_error (scan, "bad \\u escape or NUL character in a string");
  if (unit >= 0xdc00 && unit <= 0xdfff)
    return _vp_json_scan_set_error (scan, "lone surrogate in a string");
  if (unit >= 0xd800 && unit <= 0xdbff) {
    low = scan->end - scan->at > 7 && scan->at[5] == '\\' && scan->at[6] == 'u'
              ? _vp_json_scan_hex (scan, scan->at + 7)
              : -1;
    if (low < 0xdc00 || low > 0xdfff)
      return _vp_json_scan_set_error (scan, "lone surrogate in a string");
    scan->at += 6;
  }
  scan->at += 5;
  return true;
}

static bool
_vp_json_scan_string (VpJsonScan *scan)
{
  if (!_vp_json_scan_accept (scan, '"'))
    return _vp_json_scan_set_error (scan, "expected a string");
  while (scan->at < scan->end) {
    if (_vp_json_scan_accept (scan, '"'))
      return true;
    if ((unsigned char)*scan->at < 0x20)
      return _vp_json_scan_set_error (scan, "unescaped control character in a string");
    if (!_vp_json_scan_accept (scan, '\\'))
      scan->at++;
    else if (!_vp_json_scan_escape (scan))
      return false;
  }
  return _vp_json_scan_set_error (scan, "unterminated string");
}

static bool
_vp_json_scan_digits (VpJsonScan *scan)
{
  const char *from = scan->at;

  while (scan->at < scan->end && g_ascii_isdigit (*scan->at))
    scan->at++;
  return scan->at > from;
}

/* Returns true if the number fits into int64_t, or into double if it isn't an integer. */
static bool
_vp_json_scan_is_in_range (const char *from, size_t size, bool is_integer)
{
  g_autofree char *text = NULL;

  if (is_integer && size <= VP_JSON_SCAN_SHORT_NUMBER)
    return true;
  text = g_strndup (from, size);
  if (!is_integer)
    return isfinite (g_ascii_strtod (text, NULL));
  errno = 0;
  (void)g_ascii_strtoll (text, NULL, 10);
  return errno != ERANGE;
}

static bool
_vp_json_scan_number (VpJsonScan *scan)
{
  const char *from = scan->at;
  const char *digits;
  bool is_integer = true;

  _vp_json_scan_accept (scan, '-');
  digits = scan->at;
  if (!_vp_json_scan_digits (scan) || (*digits == '0' && scan->at > digits + 1))
    return _vp_json_scan_set_error (scan, "bad number");
  if (_vp_json_scan_accept (scan, '.')) {
    is_integer = false;
    if (!_vp_json_scan_digits (scan))
      return _vp_json_scan_set_error (scan, "bad number");
  }
  if (_vp_json_scan_accept (scan, 'e') || _vp_json_scan_accept (scan, 'E')) {
    is_integer = false;
    if (!_vp_json_scan_accept (scan, '+'))
      _vp_json_scan_accept (scan, '-');
    if (!_vp_json_scan_digits (scan))
      return _vp_json_scan_set_error (scan, "bad number");
  }
  return _vp_json_scan_is_in_range (from, (size_t)(scan->at - from), is_integer)
         || _vp_json_scan_set_error (scan, "number out of range");
}

static bool
_vp_json_scan_literal (VpJsonScan *scan)
{
  static const char *const words[] = { "true", "false", "null" };

  for (guint i = 0; i < G_N_ELEMENTS (words); i++) {
    size_t size = strlen (words[i]);
    if ((size_t)(scan->end - scan->at) >= size && memcmp (scan->at, words[i], size) == 0) {
      scan->at += size;
      return true;
    }
  }
  return _vp_json_scan_set_error (scan, "expected a value");
}

/* Scans one member of an object. @names contains the names of the members before it. */
static bool
_vp_json_scan_member (VpJsonScan *scan, GHashTable *names)
{
  VpJsonScanPlace *place = &scan->places[scan->depth - 1];
  const char *from;
  g_autofree char *name = NULL;

  _vp_json_scan_whitespace (scan);
  from = scan->at + 1;
  if (!_vp_json_scan_string (scan))
    return false;
  place->name = from;
  place->name_size = (size_t)(scan->at - 1 - from);
  name = g_strndup (from, place->name_size);
  /* No known field has an escape in its name. Without escapes, equal names have equal bytes. */
  if (strchr (name, '\\') != NULL)
    return _vp_json_scan_set_error (scan, "escape in a field name");
  if (!g_hash_table_add (names, g_steal_pointer (&name)))
    return _vp_json_scan_set_error (scan, "field is given twice");
  _vp_json_scan_whitespace (scan);
  if (!_vp_json_scan_accept (scan, ':'))
    return _vp_json_scan_set_error (scan, "expected ':'");
  if (!_vp_json_scan_value (scan))
    return false;
  place->name = NULL;
  return true;
}

static bool
_vp_json_scan_object (VpJsonScan *scan)
{
  g_autoptr (GHashTable) names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  _vp_json_scan_whitespace (scan);
  if (_vp_json_scan_accept (scan, '}'))
    return true;
  do {
    if (!_vp_json_scan_member (scan, names))
      return false;
    _vp_json_scan_whitespace (scan);
  } while (_vp_json_scan_accept (scan, ','));
  return _vp_json_scan_accept (scan, '}') || _vp_json_scan_set_error (scan, "expected ',' or '}'");
}

static bool
_vp_json_scan_array (VpJsonScan *scan)
{
  VpJsonScanPlace *place = &scan->places[scan->depth - 1];

  _vp_json_scan_whitespace (scan);
  if (_vp_json_scan_accept (scan, ']'))
    return true;
  place->is_element = true;
  do {
    if (!_vp_json_scan_value (scan))
      return false;
    place->index++;
    _vp_json_scan_whitespace (scan);
  } while (_vp_json_scan_accept (scan, ','));
  place->is_element = false;
  return _vp_json_scan_accept (scan, ']') || _vp_json_scan_set_error (scan, "expected ',' or ']'");
}

static bool
_vp_json_scan_value (VpJsonScan *scan)
{
  bool is_ok;

  _vp_json_scan_whitespace (scan);
  if (scan->at >= scan->end)
    return _vp_json_scan_set_error (scan, "unexpected end");
  if (*scan->at == '"')
    return _vp_json_scan_string (scan);
  if (*scan->at == '-' || g_ascii_isdigit (*scan->at))
    return _vp_json_scan_number (scan);
  if (*scan->at != '{' && *scan->at != '[')
    return _vp_json_scan_literal (scan);
  if (scan->depth == VP_JSON_DEPTH_MAX)
    return _vp_json_scan_set_error (scan, "nested deeper than %d", VP_JSON_DEPTH_MAX);
  scan->places[scan->depth++] = (VpJsonScanPlace){ 0 };
  is_ok = *scan->at++ == '{' ? _vp_json_scan_object (scan) : _vp_json_scan_array (scan);
  scan->depth--;
  return is_ok;
}

bool
vp_json_check_syntax (const char *text, size_t size, GError **error)
{
  VpJsonScan scan = { .at = text, .start = text, .end = text + size, .error = error };
  const char *invalid;

  if (!g_utf8_validate_len (text, size, &invalid)) {
    scan.at = invalid;
    return _vp_json_scan_set_error (&scan, "not UTF-8");
  }
  if (!_vp_json_scan_value (&scan))
    return false;
  _vp_json_scan_whitespace (&scan);
  return scan.at == scan.end || _vp_json_scan_set_error (&scan, "text after the end of the value");
}

/* Returns the end of the string whose content starts at @at, after its quotation mark. */
static const char *
_vp_json_skip_string (const char *at, const char *end)
{
  while (at < end) {
    if (*at == '"')
      return at + 1;
    at += *at == '\\' && end - at > 1 ? 2 : 1;
  }
  return end;
}

bool
vp_json_check_count (const char *text, size_t size, uint32_t count_max)
{
  const char *end = text + size;
  const char *at = text;
  uint32_t count = 1;
  bool is_opened = false; /* only white space since the start of an object or array */

  /* Two values are at least two bytes apart. */
  if (size / 2 < count_max)
    return true;
  /* In valid text each value but the first follows a comma, or opens an object or array. */
  while (at < end && count <= count_max) {
    char c = *at++;
    if (c == ' ' || c == '\t' || c == '\r' || c == '\n')
      continue;
    if (c == ',' || (is_opened && c != '}' && c != ']'))
      count++;
    is_opened = c == '{' || c == '[';
    if (c == '"')
      at = _vp_json_skip_string (at, end);
  }
  return count <= count_max;
}
