/* GLib log writer that prints structured log messages to standard error.
 *
 *   vp_glib_log_setup (settings->is_log_json);      // once in a process, before other threads
 *
 * A message is printed as text, or as one JSON object a line with "time", "level", "domain",
 * "message" and the message's other text fields, whose names are in lower case. Debug messages are
 * printed only if G_MESSAGES_DEBUG contains the domain or "all".
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

void vp_glib_log_setup (bool is_json);
/* Formats a message as a JSON object on one line, without a newline. The caller frees the text. */
char *vp_glib_log_format_json (GLogLevelFlags level, const GLogField *fields, gsize count);
