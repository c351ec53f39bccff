#include "soak.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

void
soak_fail (const Soak *soak, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "seed %u: %s (logs in %s)\n", soak->seed, text, soak->log_dir);
  soak->kill_processes ();
  _exit (EXIT_FAILURE);
}
