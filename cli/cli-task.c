#include "cli.h"

#include "vp-json.h"

#include <stdio.h>
#include <string.h>

/* Sends a request without a body and prints the response. */
static CliExitStatus
_cli_send_and_print (const Cli *cli, const char *method, const char *path)
{
  CliResponse response = { 0 };
  CliExitStatus code = cli_call (cli, method, path, NULL, &response);

  if (code == CLI_OK)
    cli_print (cli, &response);
  else if (code == CLI_CONFLICT)
    cli_print_refusal (&response);
  cli_response_clear (&response);
  return code;
}

static CliExitStatus
_cli_get_and_print (const Cli *cli, const char *path)
{
  if (cli->arg_count != 0) {
    cli_print_error ("this command takes no arguments");
    return CLI_USAGE;
  }
  return _cli_send_and_print (cli, "GET", path);
}

CliExitStatus
cli_status (const Cli *cli)
{
  return _cli_get_and_print (cli, "/v1/status");
}

CliExitStatus
cli_placements (const Cli *cli)
{
  return _cli_get_and_print (cli, "/v1/placements");
}

CliExitStatus
cli_audit (const Cli *cli)
{
  return _cli_get_and_print (cli, "/v1/audit");
}

/* Prints a line with name and value for each metric, or one JSON object with --json. */
CliExitStatus
cli_counters (const Cli *cli)
{
  CliResponse response = { 0 };
  CliExitStatus code = cli_call (cli, "GET", "/metrics", NULL, &response);
  g_auto (GStrv) lines = code == CLI_OK ? g_strsplit (response.body, "\n", -1) : NULL;
  g_autoptr (GString) json = g_string_new ("{");

  for (char **at = lines; at != NULL && *at != NULL; at++) {
    const char *space = strrchr (*at, ' ');
    if (**at == '#' || space == NULL)
      continue;
    if (!cli->is_json && strstr (*at, "_bucket{") == NULL)
      printf ("%-48.*s %s\n", (int)(space - *at), *at, space + 1);
    g_string_append (json, json->len > 1 ? "," : "");
    vp_json_append_string (json, *at, (size_t)(space - *at));
    g_string_append_printf (json, ":%s", space + 1);
  }
  if (code == CLI_OK && cli->is_json)
    printf ("%s}\n", json->str);
  cli_response_clear (&response);
  return code;
}

/* Returns the task identity that is the only argument, or an empty text after an error. */
static const char *
_cli_task_arg (const Cli *cli)
{
  VpTaskId task;

  if (cli->arg_count == 1 && vp_task_id_parse (cli->args[0], &task))
    return cli->args[0];
  cli_print_error ("a TASK of 32 hexadecimal digits is needed");
  return "";
}

CliExitStatus
cli_explain (const Cli *cli)
{
  const char *task = _cli_task_arg (cli);
  g_autofree char *path = g_strdup_printf ("/v1/tasks/%s/explain", task);

  return task[0] != '\0' ? _cli_send_and_print (cli, "GET", path) : CLI_USAGE;
}

CliExitStatus
cli_get (const Cli *cli)
{
  const char *task;
  g_autofree char *path = NULL;

  if (cli->team != NULL && cli->identity != NULL && cli->arg_count == 0) {
    g_autofree char *team = g_uri_escape_string (cli->team, NULL, FALSE);
    g_autofree char *identity = g_uri_escape_string (cli->identity, NULL, FALSE);
    path = g_strdup_printf ("/v1/tasks?team=%s&identity=%s", team, identity);
    return _cli_send_and_print (cli, "GET", path);
  }
  task = _cli_task_arg (cli);
  path = g_strdup_printf ("/v1/tasks/%s", task);
  return task[0] != '\0' ? _cli_send_and_print (cli, "GET", path) : CLI_USAGE;
}

static void
_cli_append_string (GString *out, const char *name, const char *text)
{
  if (text == NULL)
    return;
  g_string_append_printf (out, "%s\"%s\":", out->len > 1 ? "," : "", name);
  vp_json_append_string (out, text, strlen (text));
}

static void
_cli_append_int (GString *out, const char *name, int64_t value)
{
  if (value != CLI_UNSET)
    g_string_append_printf (out, ",\"%s\":%" G_GINT64_FORMAT, name, value);
}

static void
_cli_append_bool (GString *out, const char *name, int64_t value)
{
  if (value != CLI_UNSET)
    g_string_append_printf (out, ",\"%s\":%s", name, value != 0 ? "true" : "false");
}

static bool
_cli_append_payload (const Cli *cli, GString *out)
{
  g_autofree char *text = NULL;
  g_autofree char *base64 = NULL;
  g_autoptr (GError) error = NULL;
  gsize size;

  _cli_append_string (out, "payload", cli->payload);
  if (cli->payload_file == NULL)
    return true;
  if (!g_file_get_contents (cli->payload_file, &text, &size, &error)) {
    cli_print_error ("%s", error->message);
    return false;
  }
  base64 = g_base64_encode ((const guchar *)text, size);
  _cli_append_string (out, "payload_base64", base64);
  return true;
}

static CliExitStatus
_cli_post (const Cli *cli, const char *path, const char *body)
{
  CliResponse response = { 0 };
  CliExitStatus code = cli_call (cli, "POST", path, body, &response);

  if (code == CLI_OK)
    cli_print (cli, &response);
  else if (code == CLI_CONFLICT)
    cli_print_refusal (&response);
  cli_response_clear (&response);
  return code;
}

CliExitStatus
cli_submit (const Cli *cli)
{
  g_autoptr (GString) body = g_string_new ("{");

  if (cli->arg_count != 0 || cli->team == NULL || cli->profile == NULL
      || cli->cpu_milli == CLI_UNSET || cli->mem_mib == CLI_UNSET) {
    cli_print_error ("submit needs --team, --profile, --cpu-milli and --mem-mib");
    return CLI_USAGE;
  }
  _cli_append_string (body, "team", cli->team);
  _cli_append_string (body, "profile", cli->profile);
  _cli_append_string (body, "identity", cli->identity);
  g_string_append_printf (
      body, ",\"size\":{\"cpu_milli\":%" G_GINT64_FORMAT ",\"mem_mib\":%" G_GINT64_FORMAT,
      cli->cpu_milli, cli->mem_mib);
  _cli_append_int (body, "accel_count", cli->accel_count);
  g_string_append_c (body, '}');
  _cli_append_int (body, "count", cli->task_count);
  _cli_append_int (body, "deadline_ms", cli->deadline_ms);
  _cli_append_int (body, "run_time_ms", cli->run_time_ms);
  _cli_append_bool (body, "repeatable", cli->repeatable);
  _cli_append_bool (body, "wait", cli->wait);
  if (!_cli_append_payload (cli, body))
    return CLI_REFUSED;
  g_string_append_c (body, '}');
  return _cli_post (cli, "/v1/tasks", body->str);
}

CliExitStatus
cli_cancel (const Cli *cli)
{
  g_autoptr (GString) body = g_string_new ("{");
  const char *task;
  g_autofree char *path = NULL;

  if (cli->team == NULL) {
    task = _cli_task_arg (cli);
    path = g_strdup_printf ("/v1/tasks/%s", task);
    return task[0] != '\0' ? _cli_send_and_print (cli, "DELETE", path) : CLI_USAGE;
  }
  if (cli->arg_count == 0) {
    cli_print_error ("cancel --team needs at least one TASK");
    return CLI_USAGE;
  }
  _cli_append_string (body, "team", cli->team);
  g_string_append (body, ",\"tasks\":[");
  for (int i = 0; i < cli->arg_count; i++) {
    g_string_append (body, i > 0 ? "," : "");
    vp_json_append_string (body, cli->args[i], strlen (cli->args[i]));
  }
  g_string_append (body, "]}");
  return _cli_post (cli, "/v1/cancel", body->str);
}
