/* Daemon of one entry VM on the platform. Its exit status is 0 after a graceful stop or a
 * successful check, 1 if it can't start, 2 if the settings are not valid, and 64 (EX_USAGE) for
 * wrong arguments. */
#include "vp-pf-daemon.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum {
  EXIT_START_FAILED = 1,
  EXIT_BAD_SETTINGS = 2,
};

const char *argp_program_version = "verbenapulley-celld 0.2";

typedef struct {
  const char *settings;
  bool is_check_only;
} Arguments;

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0,
    "read the settings from FILE instead of the one that the platform names", 0 },
  { "check", 'c', NULL, 0, "validate the settings and exit", 0 },
  { 0 },
};

/* Read by the signal handler. */
static VpPfDaemon *_daemon;

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
      arguments->settings = vp_pf_settings_path ();
    if (arguments->settings == NULL)
      argp_error (state, "--settings FILE is required here");
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static void
_on_signal (int number)
{
  if (_daemon == NULL)
    return;
  if (number == SIGHUP)
    vp_pf_daemon_reload (_daemon);
  else
    vp_pf_daemon_stop (_daemon);
}

static void
_install_signal_handlers (void)
{
  struct sigaction action = { .sa_handler = _on_signal };

  sigemptyset (&action.sa_mask);
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  sigaction (SIGHUP, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
}

int
main (int argc, char **argv)
{
  static const struct argp parser = {
    options, _parse_option, NULL, "Node of the verbenapulley cluster scheduler on the platform.",
    NULL,    NULL,          NULL
  };
  g_autoptr (GError) error = NULL;
  Arguments arguments = { 0 };
  VpPfSettings settings;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (!vp_pf_settings_load (&settings, arguments.settings, &error)) {
    fprintf (stderr, "verbenapulley-celld: %s\n", error->message);
    return EXIT_BAD_SETTINGS;
  }
  if (arguments.is_check_only)
    return EXIT_SUCCESS;
  _install_signal_handlers ();
  _daemon = vp_pf_daemon_setup (arguments.settings, &error);
  if (_daemon == NULL) {
    fprintf (stderr, "verbenapulley-celld: can't start: %s\n", error->message);
    return EXIT_START_FAILED;
  }
  vp_pf_daemon_loop (_daemon);
  vp_pf_daemon_shutdown (_daemon);
  fflush (NULL);
  /* Exit handlers are skipped, since threads that still block in a call must not run while they
   * release resources. */
  _exit (EXIT_SUCCESS);
}
