#include "cli.h"

#include "vp-json.h"
#include "vp-settings.h"

#include <stdio.h>
#include <string.h>

CliExitStatus
cli_config_validate (const Cli *cli)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (VpConfig) config = NULL;
  g_autofree char *text = NULL;
  gsize size;
  VpSettings settings;

  if (cli->arg_count > 1 || (cli->arg_count == 0 && cli->settings == NULL)) {
    cli_print_error ("config validate needs one FILE, or --settings, or both");
    return CLI_USAGE;
  }
  if (cli->settings != NULL) {
    if (!vp_settings_load (&settings, cli->settings, &error)) {
      cli_print_error ("%s", error->message);
      return CLI_REFUSED;
    }
    vp_settings_shutdown (&settings);
  }
  if (cli->arg_count == 1) {
    if (g_file_get_contents (cli->args[0], &text, &size, &error))
      config = vp_config_parse (text, size, &error);
    if (config == NULL) {
      cli_print_error ("%s: %s", cli->args[0], error->message);
      return CLI_REFUSED;
    }
  }
  printf (cli->is_json ? "{\"valid\":true}\n" : "valid\n");
  return CLI_OK;
}

/* Parses the configuration in a response {"revision", "config"}. */
static VpConfig *
_cli_parse_config (const CliResponse *response, GError **error)
{
  g_autoptr (JsonNode) root = vp_json_load_root (response->body, response->size);
  JsonNode *document = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
                           ? json_object_get_member (json_node_get_object (root), "config")
                           : NULL;
  g_autofree char *text = document != NULL ? json_to_string (document, FALSE) : g_strdup ("");
  VpConfig *config = vp_config_parse (text, strlen (text), error);

  if (config != NULL)
    config->revision = (uint64_t)cli_response_int (response, "revision");
  return config;
}

CliExitStatus
cli_config_read (const Cli *cli, VpConfig **config)
{
  CliResponse response = { 0 };
  g_autoptr (GError) error = NULL;
  CliExitStatus code = cli_call (cli, "GET", "/v1/config", NULL, &response);

  if (code == CLI_OK) {
    *config = _cli_parse_config (&response, &error);
    if (*config == NULL) {
      cli_print_error ("the response is not a configuration: %s", error->message);
      code = CLI_REFUSED;
    }
  }
  cli_response_clear (&response);
  return code;
}

CliExitStatus
cli_config_put (const Cli *cli, uint64_t expected, const char *document, bool is_quiet)
{
  CliResponse response = { 0 };
  g_autofree char *path = g_strdup_printf ("/v1/config?revision=%" G_GUINT64_FORMAT, expected);
  CliExitStatus code = cli_call (cli, "PUT", path, document, &response);

  if (code == CLI_OK && !is_quiet)
    cli_print (cli, &response);
  cli_response_clear (&response);
  return code;
}

CliExitStatus
cli_config_submit (const Cli *cli)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (VpConfig) config = NULL;
  g_autoptr (VpConfig) current = NULL;
  g_autofree char *text = NULL;
  gsize size;
  uint64_t expected = (uint64_t)cli->revision;
  CliExitStatus code;

  if (cli->arg_count != 1) {
    cli_print_error ("config submit needs one FILE");
    return CLI_USAGE;
  }
  if (g_file_get_contents (cli->args[0], &text, &size, &error))
    config = vp_config_parse (text, size, &error);
  if (config == NULL) {
    cli_print_error ("%s: %s", cli->args[0], error->message);
    return CLI_REFUSED;
  }
  if (cli->revision == CLI_UNSET) {
    code = cli_config_read (cli, &current);
    if (code != CLI_OK)
      return code;
    expected = current->revision;
  }
  code = cli_config_put (cli, expected, text, false);
  if (code == CLI_CONFLICT)
    cli_print_error ("conflict: revision %" G_GUINT64_FORMAT " is not the current one", expected);
  return code;
}

CliExitStatus
cli_config_get (const Cli *cli)
{
  CliResponse response = { 0 };
  CliExitStatus code = cli_call (cli, "GET", "/v1/config", NULL, &response);
  g_autoptr (JsonNode) root = NULL;
  JsonNode *document;
  g_autofree char *text = NULL;

  if (code == CLI_OK && cli->is_json) {
    cli_print (cli, &response);
  } else if (code == CLI_OK) {
    /* Only the document is printed to stdout, so that it can be edited and submitted. */
    root = vp_json_load_root (response.body, response.size);
    document = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
                   ? json_object_get_member (json_node_get_object (root), "config")
                   : NULL;
    text = document != NULL ? json_to_string (document, TRUE) : NULL;
    printf ("%s\n", text != NULL ? text : response.body);
    fprintf (stderr, "revision %" G_GINT64_FORMAT "\n", cli_response_int (&response, "revision"));
  }
  cli_response_clear (&response);
  return code;
}

CliExitStatus
cli_config_watch (const Cli *cli)
{
  int64_t revision = cli->revision == CLI_UNSET ? 0 : cli->revision;
  int64_t left = cli->change_count == CLI_UNSET ? INT64_MAX : cli->change_count;
  CliExitStatus code = CLI_OK;

  while (left > 0 && code == CLI_OK) {
    CliResponse response = { 0 };
    g_autofree char *path = g_strdup_printf ("/v1/config?after=%" G_GINT64_FORMAT, revision);
    code = cli_call (cli, "GET", path, NULL, &response);
    if (code == CLI_OK && cli_response_int (&response, "revision") > revision) {
      revision = cli_response_int (&response, "revision");
      left--;
      if (cli->is_json)
        printf ("%s\n", response.body);
      else
        printf ("revision %" G_GINT64_FORMAT "\n", revision);
      fflush (stdout);
    }
    cli_response_clear (&response);
  }
  return code;
}
