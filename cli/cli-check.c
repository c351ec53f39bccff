#include "cli.h"

#include "vp-config-check.h"
#include "vp-pf-config.h"
#include "vp-pf-json.h"

#include <stdio.h>
#include <string.h>

/* A configuration of one of the two forms; both are NULL if it could not be decoded. */
typedef struct {
  VpConfig *config;
  VpCellConfig *cell_config;
} CliDocument;

static void
_cli_document_clear (CliDocument *document)
{
  g_clear_pointer (&document->config, vp_config_unref);
  g_clear_pointer (&document->cell_config, vp_cellconfig_unref);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (CliDocument, _cli_document_clear)

/* Loads a configuration of either form. Sets @is_read to false if the file can't be read. If its
 * content is not valid, appends the faults to @findings unless that is NULL, and sets @error. */
static bool
_cli_document_load (CliDocument *document,
                    const char *path,
                    bool *is_read,
                    GArray *findings,
                    GError **error)
{
  g_autofree char *text = NULL;
  gsize size;

  *is_read = g_file_get_contents (path, &text, &size, error);
  if (!*is_read)
    return false;
  if (vp_pf_is_config (text, size)) {
    document->cell_config = vp_pf_decode_config (text, size, NULL, error);
    if (document->cell_config == NULL && findings != NULL)
      vp_pf_config_faults (text, size, findings);
  } else {
    document->config = vp_config_parse (text, size, error);
  }
  return document->config != NULL || document->cell_config != NULL;
}

bool
cli_config_is_revision (const char *against)
{
  return strcmp (against, "current") == 0
         || g_ascii_string_to_unsigned (against, 10, 0, G_MAXINT64, NULL, NULL);
}

/* Reads the configuration in force, which must be the revision that --against names. */
static CliExitStatus
_cli_check_read_revision (const Cli *cli, CliDocument *document)
{
  CliExitStatus code = cli_config_read (cli, &document->config);
  guint64 revision = 0;

  if (code != CLI_OK || strcmp (cli->against, "current") == 0)
    return code;
  g_ascii_string_to_unsigned (cli->against, 10, 0, G_MAXINT64, &revision, NULL);
  if (document->config->revision == revision)
    return CLI_OK;
  cli_print_error ("conflict: revision %" G_GUINT64_FORMAT " is not the current one, which is "
                   "%" G_GUINT64_FORMAT,
                   revision, document->config->revision);
  return CLI_CONFLICT;
}

/* Reads what --against names. */
static CliExitStatus
_cli_check_read_against (const Cli *cli, CliDocument *document)
{
  g_autoptr (GError) error = NULL;
  bool is_read;

  if (cli_config_is_revision (cli->against))
    return _cli_check_read_revision (cli, document);
  if (_cli_document_load (document, cli->against, &is_read, NULL, &error))
    return CLI_OK;
  cli_print_error ("%s: %s", cli->against, error->message);
  return CLI_REFUSED;
}

static void
_cli_check_add_member (JsonBuilder *builder, const char *name, const char *text)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, text);
}

static void
_cli_check_print_json (const GArray *findings)
{
  g_autoptr (JsonBuilder) builder = json_builder_new_immutable ();
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *text = NULL;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "valid");
  json_builder_add_boolean_value (builder, vp_findings_count (findings, VP_FINDING_ERROR) == 0);
  json_builder_set_member_name (builder, "findings");
  json_builder_begin_array (builder);
  for (guint i = 0; i < findings->len; i++) {
    const VpFinding *finding = &g_array_index (findings, VpFinding, i);
    json_builder_begin_object (builder);
    _cli_check_add_member (builder, "severity", vp_finding_severity_token (finding->severity));
    _cli_check_add_member (builder, "kind", finding->kind);
    _cli_check_add_member (builder, "path", finding->path);
    _cli_check_add_member (builder, "text", finding->text);
    json_builder_end_object (builder);
  }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  printf ("%s\n", text);
}

static void
_cli_check_print (const GArray *findings)
{
  for (guint i = 0; i < findings->len; i++) {
    const VpFinding *finding = &g_array_index (findings, VpFinding, i);
    g_autofree char *line = g_strdup_printf (
        "%s %s%s%s: %s", vp_finding_severity_token (finding->severity), finding->kind,
        finding->path[0] == '\0' ? "" : " ", finding->path, finding->text);
    /* Names of the document must not send control characters to the terminal. */
    for (char *at = line; *at != '\0'; at++)
      if (g_ascii_iscntrl (*at))
        *at = '?';
    printf ("%s\n", line);
  }
  printf ("%u errors, %u warnings, %u changes\n", vp_findings_count (findings, VP_FINDING_ERROR),
          vp_findings_count (findings, VP_FINDING_WARNING),
          vp_findings_count (findings, VP_FINDING_CHANGE));
}

static void
_cli_check_find (const CliDocument *document, const CliDocument *against, GArray *findings)
{
  if (document->config != NULL)
    vp_config_check (document->config, findings);
  if (document->cell_config != NULL)
    vp_config_check_cell (document->cell_config, findings);
  if (document->config != NULL && against->config != NULL)
    vp_config_check_changes (against->config, document->config, findings);
  if (document->cell_config != NULL && against->cell_config != NULL)
    vp_config_check_cell_changes (against->cell_config, document->cell_config, findings);
  for (guint i = 0; document->cell_config != NULL && i < findings->len; i++) {
    VpFinding *finding = &g_array_index (findings, VpFinding, i);
    g_autofree char *path = finding->path;
    finding->path = vp_pf_config_path (path);
  }
}

CliExitStatus
cli_config_check (const Cli *cli)
{
  g_autoptr (GArray) findings = vp_findings_new ();
  g_autoptr (GError) error = NULL;
  g_auto (CliDocument) document = { 0 };
  g_auto (CliDocument) against = { 0 };
  CliExitStatus code;
  bool is_read;
  bool is_decoded;

  if (cli->arg_count != 1) {
    cli_print_error ("config check needs one FILE");
    return CLI_USAGE;
  }
  is_decoded = _cli_document_load (&document, cli->args[0], &is_read, findings, &error);
  if (!is_read) {
    cli_print_error ("%s: %s", cli->args[0], error->message);
    return CLI_REFUSED;
  }
  if (is_decoded && cli->against != NULL) {
    if (document.cell_config != NULL && cli_config_is_revision (cli->against)) {
      cli_print_error ("the configuration of a cell can be compared with files only");
      return CLI_USAGE;
    }
    code = _cli_check_read_against (cli, &against);
    if (code != CLI_OK)
      return code;
    if ((document.config == NULL) != (against.config == NULL)) {
      cli_print_error ("the two configurations have different forms");
      return CLI_USAGE;
    }
  }
  if (!is_decoded && findings->len == 0)
    vp_config_check_error (error, findings);
  _cli_check_find (&document, &against, findings);
  if (cli->is_json)
    _cli_check_print_json (findings);
  else
    _cli_check_print (findings);
  return vp_findings_count (findings, VP_FINDING_ERROR) > 0 ? CLI_REFUSED : CLI_OK;
}
