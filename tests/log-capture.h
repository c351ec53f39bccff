/* Captures what vp_log() writes to standard output.
 *
 *   LogCapture capture;
 *   log_capture_setup (&capture);
 *   vp_log (now_ms, "event", "key=1");
 *   g_autofree char *text = log_capture_read (&capture);   // all text since the setup
 *   log_capture_teardown (&capture);
 */
#pragma once

#include "vp-log.h"

#include <stdio.h>
#include <unistd.h>

#define LOG_CAPTURE_BYTES_MAX (1 << 20)

typedef struct {
  int output; /* the test's own standard output */
  FILE *file; /* takes the place of standard output */
} LogCapture;

static inline void
log_capture_setup (LogCapture *capture)
{
  vp_log_setup ("edge-1");
  fflush (stdout);
  capture->output = dup (STDOUT_FILENO);
  capture->file = tmpfile ();
  g_assert_cmpint (dup2 (fileno (capture->file), STDOUT_FILENO), ==, STDOUT_FILENO);
}

static inline void
log_capture_teardown (LogCapture *capture)
{
  g_assert_cmpint (dup2 (capture->output, STDOUT_FILENO), ==, STDOUT_FILENO);
  close (capture->output);
  fclose (capture->file);
}

/* Returns all text since the setup, which the caller frees. */
static inline char *
log_capture_read (LogCapture *capture)
{
  char *text = g_malloc0 (LOG_CAPTURE_BYTES_MAX);

  vp_log_flush ();
  g_assert_cmpuint (vp_log_pending (), ==, 0);
  rewind (capture->file);
  text[fread (text, 1, LOG_CAPTURE_BYTES_MAX - 1, capture->file)] = '\0';
  return text;
}
