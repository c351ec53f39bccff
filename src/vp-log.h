/* Decision log: one line of key=value pairs for each decision, to standard output.
 *
 *   vp_log_setup ("nadi-1");
 *   vp_log (now_ms, "start", "task=%s run=%u worker=%s", name, run, worker);
 *   vp_log_flush ();                 // from the deciding thread's loop; never blocks
 *
 * Lines wait in a buffer of fixed size. A line that finds it full, or whose event has used up its
 * lines of the second, is dropped and counted; the count is logged with the next second. Used by
 * one thread.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define VP_LOG_BUFFER_BYTES 65536
#define VP_LOG_LINE_MAX     512 /* bytes with the newline and a NUL; longer lines are cut */
/* Of one event in a second; a burst of starts on a deployment of some hundred workers passes it. */
#define VP_LOG_LINES_PER_S 400

void vp_log_setup (const char *node);
/* @event is a static string. */
void vp_log (int64_t now_ms, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);
/* Lists @item in a line of the event after @keys, as "service=a workers=". Calls that follow one
 * another with the same time, event and keys share a line as far as it goes. */
void vp_log_item (int64_t now_ms, const char *event, const char *keys, const char *item);
/* Bytes of text after the event that a line holds without being cut. */
uint32_t vp_log_text_max (const char *event);
/* Writes as much as standard output takes at once. */
void vp_log_flush (void);
/* Bytes that wait to be written. */
uint32_t vp_log_pending (void);
/* Lines dropped since setup. */
uint64_t vp_log_dropped (void);
