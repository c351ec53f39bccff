/* Writes GLib's structured log lines to the standard error.
 *
 *   vp_glib_log_setup (settings->is_log_json);      // once in a process, before other threads
 *
 * As text, or as one JSON object a line with "time", "level", "domain", "message" and the other
 * text fields of the line in lower case. Debug lines are left out unless G_MESSAGES_DEBUG names the
 * domain or "all".
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

void vp_glib_log_setup (bool is_json);
/* The line as a JSON object without a newline; freed by the caller. */
char *vp_glib_log_format_json (GLogLevelFlags level, const GLogField *fields, gsize count);
