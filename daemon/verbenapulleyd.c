/* Daemon of one entry VM. Its exit status is 0 after a graceful shutdown or a successful check, 1
 * if it can't start, 2 if the settings are not valid, 64 (EX_USAGE) for wrong arguments, and 130
 * after a second signal. */
#include "vp-glib-log.h"
#include "vp-runtime.h"
#include "vp-safeguard.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum {
  EXIT_START_FAILED = 1,
  EXIT_BAD_SETTINGS = 2,
  EXIT_FORCED = 130,
};

const char *argp_program_version = "verbenapulleyd 0.1";

typedef struct {
  const char *settings;
  bool is_check_only;
} Arguments;

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0, "read the settings from FILE (required)", 0 },
  { "check", 'c', NULL, 0, "validate the settings and exit", 0 },
  { 0 },
};

/* Read by the signal handler. */
static VpRuntime *_runtime;
static volatile sig_atomic_t _signal_count;

static error_t
_parse_option (int key, char *text, struct argp_state *state)
{
  Arguments *arguments = state->input;

  switch (key) {
  case 's':
    arguments->settings = text;
    return 0;
  case 'c':
    arguments->is_check_only = true;
    return 0;
  case ARGP_KEY_ARG:
    argp_error (state, "unexpected argument '%s'", text);
    return 0;
  case ARGP_KEY_END:
    if (arguments->settings == NULL)
      argp_error (state, "--settings FILE is required");
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static void
_on_signal (int number)
{
  (void)number;
  if (++_signal_count > 1)
    _exit (EXIT_FORCED);
  vp_runtime_request_stop (_runtime);
}

static void
_install_signal_handlers (void)
{
  struct sigaction action = { .sa_handler = _on_signal };

  sigemptyset (&action.sa_mask);
  sigaddset (&action.sa_mask, SIGTERM);
  sigaddset (&action.sa_mask, SIGINT);
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static int
_serve (const VpSettings *settings)
{
  g_autoptr (GError) error = NULL;

  vp_glib_log_setup (settings->is_log_json);
  _runtime = vp_runtime_setup (&(VpRuntimeDesc){ .settings = settings }, &error);
  if (_runtime == NULL) {
    g_critical ("can't start: %s", error->message);
    return EXIT_START_FAILED;
  }
  _install_signal_handlers ();
  g_message ("%s of %s serves callers at %s and peers at %s", settings->name, settings->dc,
             settings->http_address, settings->peer_address);
  vp_runtime_loop (_runtime);
  /* The next signal exits at once, since the handler must not use the runtime while it is released.
   */
  _signal_count = 1;
  vp_runtime_shutdown (_runtime);
  g_message ("stopped");
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, _parse_option, NULL, "Entry process of the verbenapulley cluster scheduler.",
          NULL,    NULL,          NULL };
  g_autoptr (GError) error = NULL;
  Arguments arguments = { 0 };
  VpSettings settings;
  int status = EXIT_SUCCESS;

#ifdef VP_SWITCHES
  vp_safeguard_disable_from_environment ();
#endif
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (!vp_settings_load (&settings, arguments.settings, &error)) {
    fprintf (stderr, "verbenapulleyd: %s\n", error->message);
    return EXIT_BAD_SETTINGS;
  }
  if (!arguments.is_check_only)
    status = _serve (&settings);
  vp_settings_shutdown (&settings);
  fflush (NULL);
  /* Exit handlers are skipped, since threads that still block in a call to the platform must not
   * run while they release resources. */
  _exit (status);
}
