#include "cli.h"

#include "vp-json.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

enum {
  /* Operators rarely change the configuration at the same time. More conflicts than that suggest a
     program that changes it in a loop. */
  CLI_EDIT_ATTEMPTS_MAX = 8,
  CLI_KEY_BYTES = 24,
};

/* Changes @config. Prints an error and returns false if that is not possible. */
typedef bool (*CliConfigEdit) (const Cli *cli, VpConfig *config, const void *data);

/* Reads the current configuration, changes it and submits it. Retries if someone else changed it
 * meanwhile. */
static CliExitStatus
_cli_edit_config (const Cli *cli, CliConfigEdit edit, const void *data, bool is_quiet)
{
  CliExitStatus code = CLI_CONFLICT;

  for (int i = 0; i < CLI_EDIT_ATTEMPTS_MAX && code == CLI_CONFLICT; i++) {
    g_autoptr (VpConfig) config = NULL;
    g_autoptr (GBytes) bytes = NULL;
    g_autofree char *document = NULL;
    code = cli_config_read (cli, &config);
    if (code != CLI_OK)
      return code;
    if (!edit (cli, config, data))
      return CLI_REFUSED;
    bytes = vp_config_format (config);
    document = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
    code = cli_config_put (cli, config->revision, document, is_quiet);
  }
  if (code == CLI_CONFLICT)
    cli_print_error ("conflict: the configuration was changed by others %d times",
                     CLI_EDIT_ATTEMPTS_MAX);
  return code;
}

static void
_cli_set_if_given (int64_t *field, int64_t value)
{
  if (value != CLI_UNSET)
    *field = value;
}

static bool
_cli_edit_add_key (const Cli *cli, VpConfig *config, const void *data)
{
  VpKey *key;

  if (vp_config_team (config, cli->args[0]) == NULL) {
    cli_print_error ("there is no team '%s'", cli->args[0]);
    return false;
  }
  key = g_new0 (VpKey, 1);
  vp_name_copy (key->sha256, sizeof key->sha256, data);
  vp_name_copy (key->team, sizeof key->team, cli->args[0]);
  vp_name_copy (key->note, sizeof key->note, cli->note != NULL ? cli->note : "");
  g_hash_table_replace (config->keys, key->sha256, key);
  return true;
}

/* Generates a key with 192 random bits. Returns false if there are no random numbers. */
static bool
_cli_generate_key (char out[2 * CLI_KEY_BYTES + 4])
{
  unsigned char bytes[CLI_KEY_BYTES];

  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    return false;
  g_strlcpy (out, "vp-", 4);
  for (int i = 0; i < CLI_KEY_BYTES; i++)
    g_snprintf (out + 3 + 2 * i, 3, "%02x", bytes[i]);
  return true;
}

CliExitStatus
cli_key_give (const Cli *cli)
{
  char key[2 * CLI_KEY_BYTES + 4] = "";
  char digest[65];
  CliExitStatus code;

  if (cli->arg_count != 1 || (cli->sha256 != NULL && !vp_json_is_sha256 (cli->sha256))) {
    cli_print_error ("key give needs one TEAM, and --sha256 64 lower-case hexadecimal digits");
    return CLI_USAGE;
  }
  if (cli->sha256 != NULL) {
    g_strlcpy (digest, cli->sha256, sizeof digest);
  } else if (!_cli_generate_key (key)) {
    cli_print_error ("can't generate a key: no random numbers are available");
    return CLI_REFUSED;
  } else {
    vp_config_key_digest (key, digest);
  }
  code = _cli_edit_config (cli, _cli_edit_add_key, digest, cli->is_json && key[0] != '\0');
  /* If the response was lost, the key may be in force, so it is printed too: nobody else knows it.
   */
  if (key[0] != '\0' && (code == CLI_OK || code == CLI_UNREACHABLE))
    printf (cli->is_json ? "{\"key\":\"%s\",\"sha256\":\"%s\"}\n" : "key %s\nsha256 %s\n", key,
            digest);
  return code;
}

static bool
_cli_edit_remove_key (const Cli *cli, VpConfig *config, const void *data)
{
  const char *prefix = data;
  GHashTableIter iter;
  gpointer digest;
  const char *found = NULL;

  (void)cli;
  g_hash_table_iter_init (&iter, config->keys);
  while (g_hash_table_iter_next (&iter, &digest, NULL)) {
    if (!g_str_has_prefix (digest, prefix))
      continue;
    if (found != NULL) {
      cli_print_error ("several keys start with %s", prefix);
      return false;
    }
    found = digest;
  }
  if (found == NULL) {
    cli_print_error ("there is no key %s", prefix);
    return false;
  }
  g_hash_table_remove (config->keys, found);
  return true;
}

CliExitStatus
cli_key_withdraw (const Cli *cli)
{
  if (cli->arg_count != 1 || strlen (cli->args[0]) < 8) {
    cli_print_error ("key withdraw needs one SHA256, at least the first 8 digits of it");
    return CLI_USAGE;
  }
  return _cli_edit_config (cli, _cli_edit_remove_key, cli->args[0], false);
}

/* Returns the element that is called @name. Adds it at the end of the array if there is none. The
 * name is the first field of an element. */
static void *
_cli_find_or_add (GArray *array, size_t size, const char *name)
{
  for (guint i = 0; i < array->len; i++)
    if (strcmp (array->data + i * size, name) == 0)
      return array->data + i * size;
  g_array_set_size (array, array->len + 1);
  g_strlcpy (array->data + (array->len - 1) * size, name, VP_NAME_MAX);
  return array->data + (array->len - 1) * size;
}

static bool
_cli_edit_set_team (const Cli *cli, VpConfig *config, const void *data)
{
  bool is_new = vp_config_team (config, data) == NULL;
  VpTeam *team;
  int64_t queue_max;

  if (is_new && (cli->cpu_milli == CLI_UNSET || cli->mem_mib == CLI_UNSET)) {
    cli_print_error ("the new team '%s' needs --cpu-milli and --mem-mib", (const char *)data);
    return false;
  }
  team = _cli_find_or_add (config->teams, sizeof (VpTeam), data);
  queue_max = team->queue_max;
  if (is_new)
    team->share = 1;
  _cli_set_if_given (&team->share, cli->share);
  _cli_set_if_given (&team->limit.cpu_milli, cli->cpu_milli);
  _cli_set_if_given (&team->limit.mem_mib, cli->mem_mib);
  _cli_set_if_given (&team->limit.accel_count, cli->accel_count);
  _cli_set_if_given (&queue_max, cli->queue_max);
  team->queue_max = (uint32_t)CLAMP (queue_max, 0, UINT32_MAX);
  return true;
}

CliExitStatus
cli_team_set (const Cli *cli)
{
  if (cli->arg_count != 1 || !vp_json_is_name (cli->args[0])) {
    cli_print_error ("team set needs one NAME");
    return CLI_USAGE;
  }
  return _cli_edit_config (cli, _cli_edit_set_team, cli->args[0], false);
}

static bool
_cli_set_kind (const Cli *cli, VpProfile *profile)
{
  for (int kind = VP_PROFILE_SERVICE; kind <= VP_PROFILE_GANG; kind++)
    if (g_strcmp0 (cli->kind, vp_profile_kind_token ((VpProfileKind)kind)) == 0) {
      profile->kind = (VpProfileKind)kind;
      return true;
    }
  return false;
}

static bool
_cli_edit_set_profile (const Cli *cli, VpConfig *config, const void *data)
{
  bool is_new = vp_config_profile (config, data) == NULL;
  VpProfile *profile;
  int64_t priority;
  int64_t tries_max;

  if (is_new && cli->kind == NULL) {
    cli_print_error ("the new profile '%s' needs --kind", (const char *)data);
    return false;
  }
  profile = _cli_find_or_add (config->profiles, sizeof (VpProfile), data);
  if (cli->kind != NULL && !_cli_set_kind (cli, profile)) {
    cli_print_error ("--kind must be service, batch or gang");
    return false;
  }
  priority = profile->priority;
  tries_max = profile->tries_max;
  _cli_set_if_given (&priority, cli->priority);
  _cli_set_if_given (&tries_max, cli->tries_max);
  _cli_set_if_given (&profile->deadline_ms, cli->deadline_ms);
  _cli_set_if_given (&profile->task_lease_ms, cli->task_lease_ms);
  _cli_set_if_given (&profile->run_time_max_ms, cli->run_time_ms);
  profile->priority = (int32_t)CLAMP (priority, INT32_MIN, INT32_MAX);
  profile->tries_max = (uint32_t)CLAMP (tries_max, 0, UINT32_MAX);
  profile->is_preemptible
      = cli->preemptible == CLI_UNSET ? profile->is_preemptible : cli->preemptible != 0;
  profile->is_open = cli->open == CLI_UNSET ? profile->is_open : cli->open != 0;
  profile->is_spread = cli->spread == CLI_UNSET ? profile->is_spread : cli->spread != 0;
  return true;
}

CliExitStatus
cli_profile_set (const Cli *cli)
{
  if (cli->arg_count != 1 || !vp_json_is_name (cli->args[0])) {
    cli_print_error ("profile set needs one NAME");
    return CLI_USAGE;
  }
  return _cli_edit_config (cli, _cli_edit_set_profile, cli->args[0], false);
}
