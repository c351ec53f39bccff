#include "vp-glib-log.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const char *
_vp_glib_log_level (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_ERROR)
    return "fatal";
  if (level & G_LOG_LEVEL_CRITICAL)
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_MESSAGE)
    return "notice";
  return level & G_LOG_LEVEL_INFO ? "info" : "debug";
}

/* Returns a copy of the field's value as valid UTF-8, or NULL if the value is not text. */
static char *
_vp_glib_log_field_text (const GLogField *field)
{
  gsize size = field->length < 0 ? strlen (field->value) : (gsize)field->length;

  return field->length == 0 ? NULL : g_utf8_make_valid (field->value, (gssize)size);
}

static void
_vp_glib_log_add_member (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
_vp_glib_log_add_field (JsonBuilder *builder, const GLogField *field)
{
  static const char *const skipped[]
      = { "PRIORITY", "CODE_FILE", "CODE_LINE", "CODE_FUNC", "GLIB_OLD_LOG_API" };
  g_autofree char *text = _vp_glib_log_field_text (field);
  g_autofree char *key = NULL;

  for (guint i = 0; i < G_N_ELEMENTS (skipped); i++) {
    if (strcmp (field->key, skipped[i]) == 0)
      return;
  }
  if (text == NULL)
    return;
  key = strcmp (field->key, "GLIB_DOMAIN") == 0 ? g_strdup ("domain")
                                                : g_ascii_strdown (field->key, -1);
  _vp_glib_log_add_member (builder, key, text);
}

char *
vp_glib_log_format_json (GLogLevelFlags level, const GLogField *fields, gsize count)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  g_autoptr (JsonNode) root = NULL;

  json_builder_begin_object (builder);
  _vp_glib_log_add_member (builder, "time", time);
  _vp_glib_log_add_member (builder, "level", _vp_glib_log_level (level));
  for (gsize i = 0; i < count; i++)
    _vp_glib_log_add_field (builder, &fields[i]);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

static bool
_vp_glib_log_is_filtered (GLogLevelFlags level)
{
  const char *domains = g_getenv ("G_MESSAGES_DEBUG");

  if ((level & G_LOG_LEVEL_DEBUG) == 0)
    return false;
  return domains == NULL
         || (strstr (domains, "all") == NULL && strstr (domains, G_LOG_DOMAIN) == NULL);
}

static GLogWriterOutput
_vp_glib_log_write (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer is_json)
{
  g_autofree char *line = NULL;
  g_autofree char *terminated = NULL;

  if (_vp_glib_log_is_filtered (level))
    return G_LOG_WRITER_HANDLED;
  line = is_json != NULL ? vp_glib_log_format_json (level, fields, count)
                         : g_log_writer_format_fields (level, fields, count, FALSE);
  /* A line is written with one system call, so that lines of several threads are not mixed. */
  terminated = g_strconcat (line, "\n", NULL);
  if (write (STDERR_FILENO, terminated, strlen (terminated)) < 0)
    return G_LOG_WRITER_UNHANDLED;
  return G_LOG_WRITER_HANDLED;
}

void
vp_glib_log_setup (bool is_json)
{
  g_log_set_writer_func (_vp_glib_log_write, GINT_TO_POINTER (is_json ? 1 : 0), NULL);
}
