#include "cli.h"

#include "vp-json.h"

#include <argp.h>
#include <ne_socket.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLI_ADDRESS_DEFAULT "127.0.0.1:8080"
#define CLI_ADDRESS_ENV     "VERBENAPULLEY_ADDRESS"
#define CLI_KEY_ENV         "VERBENAPULLEY_KEY"

/* Sets of options. Each command accepts the options of some sets. */
enum {
  CLI_FOR_ALL = 1 << 0,
  CLI_FOR_VALIDATE = 1 << 1,
  CLI_FOR_PUT = 1 << 2,
  CLI_FOR_WATCH = 1 << 3,
  CLI_FOR_GIVE = 1 << 4,
  CLI_FOR_TEAM = 1 << 5,
  CLI_FOR_PROFILE = 1 << 6,
  CLI_FOR_SUBMIT = 1 << 7,
  CLI_FOR_GET = 1 << 8,
  CLI_FOR_CANCEL = 1 << 9,
  CLI_FOR_CHECK = 1 << 10,
  CLI_FOR_RESOURCES = CLI_FOR_TEAM | CLI_FOR_SUBMIT,
};

typedef enum {
  CLI_TYPE_TEXT,
  CLI_TYPE_NUMBER,
  CLI_TYPE_YES_NO,
  CLI_TYPE_FLAG,          /* sets an integer field to 1 */
  CLI_TYPE_INVERTED_FLAG, /* sets an integer field to 0 */
  CLI_TYPE_SWITCH         /* sets a bool field to true */
} CliOptionType;

typedef struct {
  const char *name;
  const char *arg;
  const char *doc;
  int sets; /* CLI_FOR_*: sets that the option belongs to */
  CliOptionType type;
  size_t offset; /* offset of the option's field in Cli */
} CliOption;

#define CLI_OPTION(name, arg, field, type, sets, doc)                                              \
  {                                                                                                \
    name, arg, doc, sets, type, offsetof (Cli, field)                                              \
  }

static const CliOption cli_options[] = {
  CLI_OPTION ("address",
              "IP:PORT",
              address,
              CLI_TYPE_TEXT,
              CLI_FOR_ALL,
              "Entry process to talk to (default: $" CLI_ADDRESS_ENV " or " CLI_ADDRESS_DEFAULT
              ")"),
  CLI_OPTION ("key-file",
              "FILE",
              key_file,
              CLI_TYPE_TEXT,
              CLI_FOR_ALL,
              "File with the key (default: the key in $" CLI_KEY_ENV ")"),
  CLI_OPTION ("json", NULL, is_json, CLI_TYPE_SWITCH, CLI_FOR_ALL, "Print JSON for machines"),
  CLI_OPTION ("settings",
              "FILE",
              settings,
              CLI_TYPE_TEXT,
              CLI_FOR_VALIDATE,
              "Check this settings file of a daemon too"),
  CLI_OPTION ("against",
              "VERSION",
              against,
              CLI_TYPE_TEXT,
              CLI_FOR_CHECK,
              "Show the differences from a file, or from the revision N or \"current\" of the "
              "service"),
  CLI_OPTION ("revision",
              "N",
              revision,
              CLI_TYPE_NUMBER,
              CLI_FOR_PUT | CLI_FOR_WATCH,
              "Revision that a change is based on, or after which to watch (default: the current "
              "one)"),
  CLI_OPTION ("changes", "N", change_count, CLI_TYPE_NUMBER, CLI_FOR_WATCH, "End after N changes"),
  CLI_OPTION ("note",
              "TEXT",
              note,
              CLI_TYPE_TEXT,
              CLI_FOR_GIVE,
              "Note that is stored with the key"),
  CLI_OPTION ("sha256",
              "DIGEST",
              sha256,
              CLI_TYPE_TEXT,
              CLI_FOR_GIVE,
              "Digest of an existing key; without it a key is generated and printed once"),
  CLI_OPTION ("share",
              "N",
              share,
              CLI_TYPE_NUMBER,
              CLI_FOR_TEAM,
              "Weight of the team when the cell is full"),
  CLI_OPTION ("cpu-milli",
              "N",
              cpu_milli,
              CLI_TYPE_NUMBER,
              CLI_FOR_RESOURCES,
              "Thousandths of a processor"),
  CLI_OPTION ("mem-mib", "N", mem_mib, CLI_TYPE_NUMBER, CLI_FOR_RESOURCES, "Memory in MiB"),
  CLI_OPTION ("accel-count", "N", accel_count, CLI_TYPE_NUMBER, CLI_FOR_RESOURCES, "Accelerators"),
  CLI_OPTION ("queue-max",
              "N",
              queue_max,
              CLI_TYPE_NUMBER,
              CLI_FOR_TEAM,
              "Maximum number of waiting tasks in a DC"),
  CLI_OPTION ("kind", "KIND", kind, CLI_TYPE_TEXT, CLI_FOR_PROFILE, "service, batch or gang"),
  CLI_OPTION ("priority", "N", priority, CLI_TYPE_NUMBER, CLI_FOR_PROFILE, "0 to 100 (urgent)"),
  CLI_OPTION ("preemptible",
              "yes|no",
              preemptible,
              CLI_TYPE_YES_NO,
              CLI_FOR_PROFILE,
              "Tasks may be stopped to make room for other work"),
  CLI_OPTION ("open",
              "yes|no",
              open,
              CLI_TYPE_YES_NO,
              CLI_FOR_PROFILE,
              "Accepts work without a key"),
  CLI_OPTION ("spread",
              "yes|no",
              spread,
              CLI_TYPE_YES_NO,
              CLI_FOR_PROFILE,
              "Members go to different racks"),
  CLI_OPTION ("tries-max",
              "N",
              tries_max,
              CLI_TYPE_NUMBER,
              CLI_FOR_PROFILE,
              "Maximum number of attempts of repeatable work"),
  CLI_OPTION ("task-lease-ms",
              "N",
              task_lease_ms,
              CLI_TYPE_NUMBER,
              CLI_FOR_PROFILE,
              "Length of the leases of running tasks"),
  CLI_OPTION ("run-time-max-ms",
              "N",
              run_time_ms,
              CLI_TYPE_NUMBER,
              CLI_FOR_PROFILE,
              "Longest run time, after which tasks are stopped"),
  CLI_OPTION ("deadline-ms",
              "N",
              deadline_ms,
              CLI_TYPE_NUMBER,
              CLI_FOR_PROFILE | CLI_FOR_SUBMIT,
              "Longest time from arrival to start"),
  CLI_OPTION ("team",
              "TEAM",
              team,
              CLI_TYPE_TEXT,
              CLI_FOR_SUBMIT | CLI_FOR_GET | CLI_FOR_CANCEL,
              "Team of the work"),
  CLI_OPTION ("identity",
              "TEXT",
              identity,
              CLI_TYPE_TEXT,
              CLI_FOR_SUBMIT | CLI_FOR_GET,
              "Identity of the request; submit needs it unless the task is repeatable"),
  CLI_OPTION ("profile", "NAME", profile, CLI_TYPE_TEXT, CLI_FOR_SUBMIT, "Profile of the work"),
  CLI_OPTION ("count", "N", task_count, CLI_TYPE_NUMBER, CLI_FOR_SUBMIT, "Members of a gang"),
  CLI_OPTION ("run-time-ms",
              "N",
              run_time_ms,
              CLI_TYPE_NUMBER,
              CLI_FOR_SUBMIT,
              "Declared run time"),
  CLI_OPTION ("repeatable",
              NULL,
              repeatable,
              CLI_TYPE_FLAG,
              CLI_FOR_SUBMIT,
              "The task may be run more than once"),
  CLI_OPTION ("wait", NULL, wait, CLI_TYPE_FLAG, CLI_FOR_SUBMIT, "Wait for the answer"),
  CLI_OPTION ("no-wait",
              NULL,
              wait,
              CLI_TYPE_INVERTED_FLAG,
              CLI_FOR_SUBMIT,
              "Return once the task is accepted"),
  CLI_OPTION ("payload", "TEXT", payload, CLI_TYPE_TEXT, CLI_FOR_SUBMIT, "Payload for the task"),
  CLI_OPTION ("payload-file",
              "FILE",
              payload_file,
              CLI_TYPE_TEXT,
              CLI_FOR_SUBMIT,
              "File with the payload"),
};

typedef struct {
  const char *name;
  const char *args;
  const char *doc;
  int sets;        /* CLI_FOR_*: options that the command accepts in addition to the common ones */
  bool is_offline; /* makes no request, unless --against names a revision */
  CliExitStatus (*run) (const Cli *cli);
} CliCommand;

static const CliCommand cli_commands[] = {
  { "config validate", "[FILE]", "Check a configuration and a settings file, offline",
    CLI_FOR_VALIDATE, true, cli_config_validate },
  { "config check", "FILE", "Find faults of a configuration and differences from another",
    CLI_FOR_CHECK, true, cli_config_check },
  { "config submit", "FILE", "Replace the configuration", CLI_FOR_PUT, false, cli_config_submit },
  { "config get", "", "Print the configuration", 0, false, cli_config_get },
  { "config watch", "", "Print each new revision", CLI_FOR_WATCH, false, cli_config_watch },
  { "key give", "TEAM", "Give a key to a team", CLI_FOR_GIVE, false, cli_key_give },
  { "key withdraw", "SHA256", "Withdraw a key, by (the start of) its digest", 0, false,
    cli_key_withdraw },
  { "team set", "NAME", "Add a team or change its share and limit", CLI_FOR_TEAM, false,
    cli_team_set },
  { "profile set", "NAME", "Add or change a profile", CLI_FOR_PROFILE, false, cli_profile_set },
  { "status", "", "State of an entry process and its DC", 0, false, cli_status },
  { "placements", "", "Running attempts of the DC", 0, false, cli_placements },
  { "counters", "", "Counters of an entry process", 0, false, cli_counters },
  { "audit", "", "Changes of the configuration, newest first", 0, false, cli_audit },
  { "explain", "TASK", "Why a task waits or where it runs", 0, false, cli_explain },
  { "submit", "", "Submit a task", CLI_FOR_SUBMIT, false, cli_submit },
  { "get", "[TASK]", "State of a task, also by --team and --identity", CLI_FOR_GET, false,
    cli_get },
  { "cancel", "TASK...", "Cancel tasks; several need --team", CLI_FOR_CANCEL, false, cli_cancel },
};

typedef struct {
  Cli *cli;
  GPtrArray *args;
} CliArguments;

enum { CLI_KEY_BASE = 256 };

static void
_cli_set_option (const CliOption *option, Cli *cli, const char *arg, struct argp_state *state)
{
  void *field = (char *)cli + option->offset;
  gint64 number = 0;

  switch (option->type) {
  case CLI_TYPE_TEXT:
    *(const char **)field = arg;
    break;
  case CLI_TYPE_NUMBER:
    if (!g_ascii_string_to_signed (arg, 10, 0, G_MAXINT64, &number, NULL))
      argp_error (state, "--%s needs a number that is not negative", option->name);
    *(int64_t *)field = number;
    break;
  case CLI_TYPE_YES_NO:
    if (strcmp (arg, "yes") != 0 && strcmp (arg, "no") != 0)
      argp_error (state, "--%s needs yes or no", option->name);
    *(int64_t *)field = strcmp (arg, "yes") == 0;
    break;
  case CLI_TYPE_FLAG:
  case CLI_TYPE_INVERTED_FLAG:
    *(int64_t *)field = option->type == CLI_TYPE_FLAG;
    break;
  case CLI_TYPE_SWITCH:
    *(bool *)field = true;
    break;
  }
}

static error_t
_cli_parse_option (int key, char *arg, struct argp_state *state)
{
  CliArguments *arguments = state->input;

  if (key >= CLI_KEY_BASE && key < CLI_KEY_BASE + (int)G_N_ELEMENTS (cli_options))
    _cli_set_option (&cli_options[key - CLI_KEY_BASE], arguments->cli, arg, state);
  else if (key == ARGP_KEY_ARG)
    g_ptr_array_add (arguments->args, arg);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

/* Parses the options of @sets and stores the other arguments in @arguments. */
static void
_cli_parse_options (int argc,
                    char **argv,
                    int sets,
                    const char *args,
                    const char *doc,
                    CliArguments *arguments)
{
  struct argp_option options[G_N_ELEMENTS (cli_options) + 1] = { { 0 } };
  struct argp argp = { options, _cli_parse_option, args, doc, NULL, NULL, NULL };
  uint32_t count = 0;
  /* Options before the command's name are common ones. Those after it are parsed for the command.
   */
  unsigned int flags = sets == CLI_FOR_ALL ? ARGP_IN_ORDER : 0;

  for (uint32_t i = 0; i < G_N_ELEMENTS (cli_options); i++)
    if (cli_options[i].sets & sets)
      options[count++] = (struct argp_option){
        .name = cli_options[i].name,
        .key = CLI_KEY_BASE + (int)i,
        .arg = cli_options[i].arg,
        .doc = cli_options[i].doc,
      };
  argp_parse (&argp, argc, argv, flags, NULL, arguments);
}

static char *
_cli_main_doc (void)
{
  GString *doc = g_string_new ("Operates a verbenapulley cell.\vCommands:\n");

  for (uint32_t i = 0; i < G_N_ELEMENTS (cli_commands); i++) {
    g_autofree char *usage = g_strconcat (cli_commands[i].name, " ", cli_commands[i].args, NULL);
    g_string_append_printf (doc, "  %-24s %s\n", usage, cli_commands[i].doc);
  }
  g_string_append (doc, "\n'verbenapulley COMMAND --help' shows the options of a command.\n"
                        "Exit status: 0 done, 1 refused or not valid, 2 wrong usage, "
                        "3 no response, 4 conflict.");
  return g_string_free (doc, FALSE);
}

/* Returns the index of the command's first word, which follows the common options. */
static int
_cli_command_index (int argc, char **argv)
{
  int i = 1;

  while (i < argc && argv[i][0] == '-') {
    bool takes_arg = strchr (argv[i], '=') == NULL;
    bool is_found = false;
    for (uint32_t j = 0; j < G_N_ELEMENTS (cli_options); j++)
      if (strncmp (argv[i], "--", 2) == 0 && cli_options[j].arg != NULL
          && strcmp (argv[i] + 2, cli_options[j].name) == 0)
        is_found = true;
    i += is_found && takes_arg ? 2 : 1;
  }
  return MIN (i, argc);
}

static const CliCommand *
_cli_find_command (int word_count, char **words, int *used)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (cli_commands); i++) {
    const char *name = cli_commands[i].name;
    const char *space = strchr (name, ' ');
    size_t size = space != NULL ? (size_t)(space - name) : strlen (name);
    if (word_count < 1 || strlen (words[0]) != size || strncmp (words[0], name, size) != 0)
      continue;
    if (space != NULL && (word_count < 2 || strcmp (words[1], space + 1) != 0))
      continue;
    *used = space != NULL ? 2 : 1;
    return &cli_commands[i];
  }
  return NULL;
}

static void
_cli_setup (Cli *cli)
{
  const char *address = g_getenv (CLI_ADDRESS_ENV);

  memset (cli, 0, sizeof *cli);
  cli->address = address != NULL ? address : CLI_ADDRESS_DEFAULT;
  for (uint32_t i = 0; i < G_N_ELEMENTS (cli_options); i++)
    if (cli_options[i].type != CLI_TYPE_TEXT && cli_options[i].type != CLI_TYPE_SWITCH)
      *(int64_t *)((char *)cli + cli_options[i].offset) = CLI_UNSET;
}

/* Reads the key from the file or the environment. Returns false if it can't be sent in a header. */
static bool
_cli_read_key (Cli *cli)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = g_strdup (g_getenv (CLI_KEY_ENV));

  if (cli->key_file != NULL) {
    g_clear_pointer (&text, g_free);
    if (!g_file_get_contents (cli->key_file, &text, NULL, &error)) {
      cli_print_error ("%s", error->message);
      return false;
    }
  }
  if (text == NULL)
    return true;
  g_strstrip (text);
  for (const char *at = text; *at != '\0'; at++)
    if (!g_ascii_isgraph (*at)) {
      cli_print_error ("the key has a space or a control character");
      return false;
    }
  if (vp_name_copy (cli->key, sizeof cli->key, text))
    return true;
  cli_print_error ("the key is too long");
  return false;
}

static CliExitStatus
_cli_run (Cli *cli, const CliCommand *command, int argc, char **argv)
{
  CliArguments arguments = { .cli = cli, .args = g_ptr_array_new () };
  CliExitStatus code = CLI_USAGE;
  char *name = argv[0];
  bool is_offline;

  argv[0] = g_strconcat ("verbenapulley ", command->name, NULL);
  _cli_parse_options (argc, argv, command->sets | CLI_FOR_ALL, command->args, command->doc,
                      &arguments);
  cli->arg_count = (int)arguments.args->len;
  cli->args = (char **)arguments.args->pdata;
  is_offline
      = command->is_offline && (cli->against == NULL || !cli_config_is_revision (cli->against));
  if (!is_offline && !vp_json_is_address (cli->address))
    cli_print_error ("--address must be an IP address and a port, as " CLI_ADDRESS_DEFAULT);
  else if (is_offline || _cli_read_key (cli))
    code = command->run (cli);
  g_ptr_array_unref (arguments.args);
  g_free (argv[0]);
  argv[0] = name;
  return code;
}

int
main (int argc, char **argv)
{
  Cli cli;
  CliArguments arguments = { .cli = &cli };
  const CliCommand *command;
  g_autofree char *doc = _cli_main_doc ();
  int index = _cli_command_index (argc, argv);
  int used = 0;
  CliExitStatus code;

  argp_err_exit_status = CLI_USAGE;
  signal (SIGPIPE, SIG_IGN);
  ne_sock_init ();
  _cli_setup (&cli);
  _cli_parse_options (index, argv, CLI_FOR_ALL, "COMMAND [ARGUMENT...]", doc, &arguments);
  command = _cli_find_command (argc - index, argv + index, &used);
  if (command == NULL) {
    cli_print_error (index < argc ? "unknown command; see --help"
                                  : "a command is needed; see --help");
    return CLI_USAGE;
  }
  /* argp takes the word before the command's arguments for the name of the program. */
  code = _cli_run (&cli, command, argc - index - used + 1, argv + index + used - 1);
  ne_sock_exit ();
  if (fflush (stdout) != 0 && code == CLI_OK)
    code = CLI_REFUSED;
  return code;
}
