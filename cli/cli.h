/* Command line tool. A Cli holds the options of one invocation, and each command is a function that
 * takes it.
 *
 *   CliResponse response = { 0 };
 *   CliExitStatus code = cli_call (cli, "GET", "/v1/status", NULL, &response);
 *   if (code == CLI_OK)
 *     cli_print (cli, &response);
 *   cli_response_clear (&response);
 */
#pragma once

#include "vp-config.h"

#include <json-glib/json-glib.h>

typedef enum {
  CLI_OK = 0,
  CLI_REFUSED = 1, /* the service refused the request, or a file is not valid */
  CLI_USAGE = 2,
  CLI_UNREACHABLE = 3, /* no response was received */
  CLI_CONFLICT = 4,    /* the configuration was changed by someone else meanwhile */
} CliExitStatus;

/* Value of numeric options that were not given. */
#define CLI_UNSET INT64_MIN

typedef struct {
  const char *address;
  const char *key_file;
  bool is_json;
  char key[VP_KEY_MAX];

  char **args; /* arguments of the command */
  int arg_count;
  const char *settings;
  const char *against; /* file, revision or "current" */
  const char *team;
  const char *profile;
  const char *identity;
  const char *kind;
  const char *note;
  const char *sha256;
  const char *payload;
  const char *payload_file;
  int64_t revision;
  int64_t change_count;
  int64_t share;
  int64_t cpu_milli;
  int64_t mem_mib;
  int64_t accel_count;
  int64_t queue_max;
  int64_t task_count;
  int64_t priority;
  int64_t tries_max;
  int64_t deadline_ms;
  int64_t run_time_ms;
  int64_t task_lease_ms;
  /* The following options are CLI_UNSET, 0 or 1. */
  int64_t preemptible;
  int64_t open;
  int64_t spread;
  int64_t repeatable;
  int64_t wait;
} Cli;

typedef struct {
  uint32_t status;
  char *body; /* NUL-terminated */
  size_t size;
} CliResponse;

/* Sends one request. Returns CLI_OK for an HTTP status below 300. Otherwise prints the reason to
 * stderr, except for CLI_CONFLICT, which the caller reports or resolves. */
CliExitStatus cli_call (const Cli *cli,
                        const char *method,
                        const char *path,
                        const char *body,
                        CliResponse *response);
void cli_response_clear (CliResponse *response);
/* Prints the refusal in @response to stderr. */
void cli_print_refusal (const CliResponse *response);

/* Prints a JSON response: unchanged with --json, otherwise in a readable form. */
void cli_print (const Cli *cli, const CliResponse *response);
/* Prints an error message to stderr. */
void cli_print_error (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Returns member @name of the JSON object in @response as an integer, or 0 if it is missing. */
int64_t cli_response_int (const CliResponse *response, const char *name);

CliExitStatus cli_config_validate (const Cli *cli);
CliExitStatus cli_config_check (const Cli *cli);
/* Returns true if @against names a revision that the service has, and not a file. */
bool cli_config_is_revision (const char *against);
CliExitStatus cli_config_submit (const Cli *cli);
CliExitStatus cli_config_get (const Cli *cli);
CliExitStatus cli_config_watch (const Cli *cli);
CliExitStatus cli_key_give (const Cli *cli);
CliExitStatus cli_key_withdraw (const Cli *cli);
CliExitStatus cli_team_set (const Cli *cli);
CliExitStatus cli_profile_set (const Cli *cli);
/* Reads the current configuration. */
CliExitStatus cli_config_read (const Cli *cli, VpConfig **config);
/* Replaces the configuration if its revision is @expected, and prints the response unless
 * @is_quiet. Prints nothing if it returns CLI_CONFLICT. */
CliExitStatus
cli_config_put (const Cli *cli, uint64_t expected, const char *document, bool is_quiet);

CliExitStatus cli_status (const Cli *cli);
CliExitStatus cli_placements (const Cli *cli);
CliExitStatus cli_counters (const Cli *cli);
CliExitStatus cli_audit (const Cli *cli);
CliExitStatus cli_explain (const Cli *cli);
CliExitStatus cli_submit (const Cli *cli);
CliExitStatus cli_get (const Cli *cli);
CliExitStatus cli_cancel (const Cli *cli);
