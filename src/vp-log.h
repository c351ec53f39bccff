/* Decision log: one line of key=value pairs for each decision, to standard output.
 *
 *   vp_log_setup ("nadi-1");
 *   vp_log (now_ms, "start", "task=%s run=%u worker=%s", name, run, worker);
 *   vp_log_flush ();                 // from the deciding thread's loop; never blocks
 *
 * Lines are buffered in memory of a fixed size. A line is dropped and counted if the buffer is full
 * or if its event has reached the maximum number of lines of this second. The next line of the
 * event in a later second is preceded by one that gives the count. To be used by one thread.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define VP_LOG_BUFFER_BYTES 65536
#define VP_LOG_LINE_MAX     512 /* bytes with the newline and a NUL; longer lines are truncated */
/* Maximum number of lines of one event in a second. A burst of starts in a deployment of some
 * hundred workers exceeds it. */
#define VP_LOG_LINES_PER_S 400

/* Sets the name that each line shows as node=. Nothing is logged before. */
void vp_log_setup (const char *node);
/* Logs one line. @event is a static string, since rates are counted by its address. */
void vp_log (int64_t now_ms, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);
/* Logs @item in a list that follows @keys, such as "service=a workers=". Consecutive calls with the
 * same time, event and keys share a line as long as there is room in it. */
void vp_log_item (int64_t now_ms, const char *event, const char *keys, const char *item);
/* Number of bytes that may follow the event without the line being truncated. */
uint32_t vp_log_text_max (const char *event);
/* Writes as much as standard output takes without blocking. */
void vp_log_flush (void);
/* Number of bytes that wait to be written. */
uint32_t vp_log_pending (void);
/* Number of lines dropped since the setup. */
uint64_t vp_log_dropped (void);
