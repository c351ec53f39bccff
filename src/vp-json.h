/* Strict reading of JSON objects: every error names the path of the field.
 *
 *   VpJson json;
 *   if (!vp_json_open (&json, text, size, error))       // parse, must be one object
 *     return NULL;
 *   const char *name = vp_json_string (&json, "name", VP_NAME_MAX, VP_JSON_REQUIRED);
 *   int64_t ttl_ms = vp_json_int (&json, "ttl_ms", 100, 60000, 2400);
 *   bool ok = vp_json_close (&json, error);             // unknown fields, first error
 *
 * The first error is kept; later reads return their default. Nothing is thrown away silently:
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

/* Default that makes an integer or string field required. */
#define VP_JSON_REQUIRED_INT INT64_MIN
#define VP_JSON_REQUIRED     "\001required"

typedef struct _VpJson VpJson;
struct _VpJson {
  VpJson *parent;     /* NULL for the root; errors go to the root */
  JsonObject *object; /* borrowed from the parser */
  JsonParser *parser; /* root only */
  GHashTable *seen;   /* field names that were read */
  char path[192];
  GError *error; /* root only: the first error */
};

#define VP_JSON_DEPTH_MAX 16 /* nested objects and arrays */
/* Of a VpResources field; the largest amount that a message between entry processes carries. */
#define VP_JSON_RESOURCE_MAX (INT64_C (1) << 44)

/* Opens the root object of @text. False and @error on text that is not JSON by RFC 8259 (comments,
 * trailing text, NaN, bytes that are not UTF-8), on duplicate fields, NUL characters, integers
 * beyond int64_t, nesting deeper than VP_JSON_DEPTH_MAX, or if the root is not an object. @json
 * then needs no close. */
bool vp_json_open (VpJson *json, const char *text, size_t size, GError **error);
/* Reads the root's outcome: false and @error if any read failed or a field was not read. */
bool vp_json_close (VpJson *json, GError **error);

bool vp_json_has (VpJson *json, const char *field);
/* String of less than @max bytes without control characters. @fallback VP_JSON_REQUIRED makes it
 * required. The text lives until the root is closed. */
const char *vp_json_string (VpJson *json, const char *field, size_t max, const char *fallback);
/* As vp_json_string(), but control characters are allowed. */
const char *vp_json_text (VpJson *json, const char *field, size_t max, const char *fallback);
/* A name, see vp_json_is_name(). An empty @fallback makes it optional. */
const char *vp_json_name (VpJson *json, const char *field, const char *fallback);
/* True for 1 to VP_NAME_MAX - 1 characters of [a-z0-9._-] that start with a letter or digit. */
bool vp_json_is_name (const char *text);
/* True for 64 lower-case hexadecimal digits. */
bool vp_json_is_sha256 (const char *text);
/* True for an IP address and a port from 1 to 65,535: "127.0.0.1:80", "[::1]:80". */
bool vp_json_is_address (const char *text);
/* A required {"cpu_milli", "mem_mib", "accel_count"}; accel_count is optional. */
void vp_json_size (VpJson *json, const char *field, VpResources *out);
/* Integer within [min, max]. @fallback VP_JSON_REQUIRED_INT makes it required. */
int64_t vp_json_int (VpJson *json, const char *field, int64_t min, int64_t max, int64_t fallback);
/* As vp_json_int(), for numbers with a fraction; @fallback is used if the field is missing. */
double vp_json_number (VpJson *json, const char *field, double min, double max, double fallback);
bool vp_json_bool (VpJson *json, const char *field, bool fallback);
/* Opens a nested object; false if it is missing (an error only if @is_required). Each opened
 * child is closed with vp_json_close_child(). */
bool vp_json_object (VpJson *json, const char *field, bool is_required, VpJson *child);
/* Number of elements of an array; 0 if it is missing. */
uint32_t vp_json_array (VpJson *json, const char *field, uint32_t max, bool is_required);
/* Opens element @index, an object, of array @field, on which vp_json_array() was called. */
bool vp_json_element (VpJson *json, const char *field, uint32_t index, VpJson *child);
/* Element @index, a string, of array @field; "" on error. */
const char *vp_json_element_string (VpJson *json, const char *field, uint32_t index, size_t max);
void vp_json_close_child (VpJson *child);
/* Records an error of the caller's own check at @field. */
void vp_json_fail (VpJson *json, const char *field, const char *format, ...) G_GNUC_PRINTF (3, 4);
bool vp_json_has_failed (const VpJson *json);

/* Appends @size bytes of valid UTF-8 as a JSON string with its quotes. */
void vp_json_append_string (GString *out, const char *text, size_t size);

/* JSON text as RFC 8259 has it, checked without building anything: what vp_json_open() checks
 * before it parses. */
bool vp_json_check_syntax (const char *text, size_t size, GError **error);
