/* Strict reader of JSON objects, whose errors name the path of the field.
 *
 *   VpJson json;
 *   if (!vp_json_open (&json, text, size, error))       // fails unless the text is one object
 *     return NULL;
 *   const char *name = vp_json_string (&json, "name", VP_NAME_MAX, VP_JSON_REQUIRED);
 *   int64_t ttl_ms = vp_json_int (&json, "ttl_ms", 100, 60000, 2400);
 *   bool is_ok = vp_json_close (&json, error);          // fails on an unknown field or any error
 *
 * The first error is kept, and later reads return their default. No field is ignored silently:
 * vp_json_close() fails if a field was not read.
 */
#pragma once

#include "vp-types.h"

#include <json-glib/json-glib.h>

#define VP_JSON_ERROR (vp_json_error_quark ())
GQuark vp_json_error_quark (void);

typedef enum {
  VP_JSON_ERROR_SYNTAX,
  VP_JSON_ERROR_TYPE,
  VP_JSON_ERROR_RANGE,
  VP_JSON_ERROR_UNKNOWN_FIELD,
  VP_JSON_ERROR_MISSING_FIELD,
  VP_JSON_ERROR_VALUE,
} VpJsonError;

/* Default values that make an integer or string field required. */
#define VP_JSON_REQUIRED_INT INT64_MIN
#define VP_JSON_REQUIRED     "\001required"

typedef struct _VpJson VpJson;
struct _VpJson {
  VpJson *parent;     /* NULL for the root, which stores the errors */
  JsonObject *object; /* borrowed from the parser */
  JsonParser *parser; /* root only */
  GHashTable *seen;   /* names of the fields that were read */
  char path[192];     /* path of the object, empty for the root */
  GError *error;      /* root only: the first error */
};

#define VP_JSON_DEPTH_MAX 16 /* nested objects and arrays */
/* Largest amount of a resource: the one that messages between entry processes can carry. */
#define VP_JSON_RESOURCE_MAX (INT64_C (1) << 44)

/* Opens the root object of @text. Returns false and sets @error if the text is not JSON as defined
 * by RFC 8259 (comments, trailing text, NaN, bytes that are not UTF-8), has duplicate fields, NUL
 * characters, integers beyond int64_t or nesting deeper than VP_JSON_DEPTH_MAX, or if the root is
 * not an object. @json need not be closed then. */
bool vp_json_open (VpJson *json, const char *text, size_t size, GError **error);
/* Closes the root object. Returns false and sets @error if any read failed or a field was not read.
 */
bool vp_json_close (VpJson *json, GError **error);

bool vp_json_has (VpJson *json, const char *field);
/* Reads a string of less than @max bytes without control characters. The field is required if
 * @fallback is VP_JSON_REQUIRED. The text is valid until the root is closed. */
const char *vp_json_string (VpJson *json, const char *field, size_t max, const char *fallback);
/* Reads a string like vp_json_string(), but allows control characters. */
const char *vp_json_text (VpJson *json, const char *field, size_t max, const char *fallback);
/* Reads a name, see vp_json_is_name(). The field is optional if @fallback is empty. */
const char *vp_json_name (VpJson *json, const char *field, const char *fallback);
/* Returns true for 1 to VP_NAME_MAX - 1 characters of [a-z0-9._-] that start with a letter or
 * digit. */
bool vp_json_is_name (const char *text);
/* Returns true for 64 lower-case hexadecimal digits. */
bool vp_json_is_sha256 (const char *text);
/* Returns true for an IP address and a port from 1 to 65,535: "127.0.0.1:80", "[::1]:80". */
bool vp_json_is_address (const char *text);
/* Reads a required object with the fields "cpu_milli", "mem_mib" and optionally "accel_count". */
void vp_json_size (VpJson *json, const char *field, VpResources *out);
/* Reads an integer from @min to @max. The field is required if @fallback is VP_JSON_REQUIRED_INT.
 */
int64_t vp_json_int (VpJson *json, const char *field, int64_t min, int64_t max, int64_t fallback);
/* Reads a number from @min to @max, which may have a fraction. Returns @fallback if the field is
 * missing. */
double vp_json_number (VpJson *json, const char *field, double min, double max, double fallback);
bool vp_json_bool (VpJson *json, const char *field, bool fallback);
/* Opens a nested object, which is to be closed with vp_json_close_child(). Returns false if the
 * field is missing, which is an error only if @is_required, or has another type. */
bool vp_json_object (VpJson *json, const char *field, bool is_required, VpJson *child);
/* Returns the number of elements of an array, or 0 if the field is missing. */
uint32_t vp_json_array (VpJson *json, const char *field, uint32_t max, bool is_required);
/* Opens the object that is element @index of array @field. vp_json_array() must have been called
 * for the array. */
bool vp_json_element (VpJson *json, const char *field, uint32_t index, VpJson *child);
/* Reads the string that is element @index of array @field. Returns "" on error. */
const char *vp_json_element_string (VpJson *json, const char *field, uint32_t index, size_t max);
void vp_json_close_child (VpJson *child);
/* Records an error that the caller found in @field. */
void vp_json_fail (VpJson *json, const char *field, const char *format, ...) G_GNUC_PRINTF (3, 4);
bool vp_json_has_failed (const VpJson *json);

/* Appends @size bytes of valid UTF-8 as a JSON string in quotes. */
void vp_json_append_string (GString *out, const char *text, size_t size);

/* Checks the syntax of JSON text without parsing it into objects, by the rules of vp_json_open().
 * The root may be any value. */
bool vp_json_check_syntax (const char *text, size_t size, GError **error);
/* Returns true if @text certainly has at most @count_max values, objects and arrays included. It
 * takes no memory, so it is called before a body of a client is parsed. */
bool vp_json_check_count (const char *text, size_t size, uint32_t count_max);
/* Parses @text with @parser if vp_json_check_syntax() accepts it. All JSON from outside the process
 * has to be parsed by this function or by vp_json_open(), since json-glib alone overflows the stack
 * on deeply nested text and wraps large integers around. */
bool vp_json_load (JsonParser *parser, const char *text, size_t size, GError **error);
/* Returns the root of @text, or NULL if vp_json_load() fails. */
JsonNode *vp_json_load_root (const char *text, size_t size);
