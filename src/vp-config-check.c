#include "vp-config-check.h"

#include <math.h>
#include <string.h>

/* Largest number in milliseconds or multiples that a queue may have, some eleven days. The times
 * computed from it stay within an integer. */
#define VP_CONFIG_CHECK_NUMBER_MAX 1e9

enum { VP_CONFIG_CHECK_DIGEST_DIGITS = 12 }; /* digits of a key's digest in a text */

static void
_vp_finding_clear (gpointer data)
{
  VpFinding *finding = data;

  g_free (finding->path);
  g_free (finding->text);
}

GArray *
vp_findings_new (void)
{
  GArray *findings = g_array_new (FALSE, FALSE, sizeof (VpFinding));

  g_array_set_clear_func (findings, _vp_finding_clear);
  return findings;
}

uint32_t
vp_findings_count (const GArray *findings, VpFindingSeverity severity)
{
  uint32_t count = 0;

  for (guint i = 0; i < findings->len; i++)
    count += g_array_index (findings, VpFinding, i).severity == severity ? 1 : 0;
  return count;
}

const char *
vp_finding_severity_token (VpFindingSeverity severity)
{
  static const char *const tokens[] = { "error", "warning", "change" };

  return tokens[severity];
}

void
vp_findings_add (GArray *findings,
                 VpFindingSeverity severity,
                 const char *kind,
                 char *path,
                 const char *format,
                 ...)
{
  VpFinding finding = { .severity = severity, .kind = kind, .path = path };
  char *text;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  finding.text = text;
  g_array_append_val (findings, finding);
}

void
vp_config_check_error (const GError *error, GArray *findings)
{
  const char *end = strstr (error->message, ": ");
  size_t size = end == NULL ? 0 : (size_t)(end - error->message);

  /* A path has no spaces; other messages may contain a colon. */
  if (end == NULL || memchr (error->message, ' ', size) != NULL)
    vp_findings_add (findings, VP_FINDING_ERROR, "invalid", g_strdup (""), "%s", error->message);
  else
    vp_findings_add (findings, VP_FINDING_ERROR, "invalid", g_strndup (error->message, size), "%s",
                     end + 2);
}

/* The product's own form. */

/* Returns true if a key of the configuration belongs to the team. */
static bool
_vp_config_check_has_key (const VpConfig *config, const VpTeam *team)
{
  GHashTableIter iter;
  gpointer sha256;

  g_hash_table_iter_init (&iter, config->keys);
  while (g_hash_table_iter_next (&iter, &sha256, NULL))
    if (vp_config_digest_team (config, sha256) == team)
      return true;
  return false;
}

static bool
_vp_config_check_has_open_profile (const VpConfig *config)
{
  for (guint i = 0; i < config->profiles->len; i++)
    if (g_array_index (config->profiles, VpProfile, i).is_open)
      return true;
  return false;
}

static void
_vp_config_check_team (const VpConfig *config, const VpTeam *team, GArray *findings)
{
  /* A first configuration has no keys: they are given when it is in force. */
  bool is_keyed = g_hash_table_size (config->keys) > 0;

  if (vp_resources_is_zero (&team->limit))
    vp_findings_add (findings, VP_FINDING_ERROR, "zero-limit",
                     g_strdup_printf ("teams[%s].limit", team->name),
                     "the limit is zero, so that the share of %" G_GINT64_FORMAT
                     " has no effect and every task is refused",
                     team->share);
  else if (team->limit.cpu_milli == 0 || team->limit.mem_mib == 0)
    vp_findings_add (findings, VP_FINDING_WARNING, "partial-limit",
                     g_strdup_printf ("teams[%s].limit.%s", team->name,
                                      team->limit.cpu_milli == 0 ? "cpu_milli" : "mem_mib"),
                     "the limit is zero, so that every task that needs any of it is refused");
  if (is_keyed && !_vp_config_check_has_key (config, team)
      && !_vp_config_check_has_open_profile (config))
    vp_findings_add (findings, VP_FINDING_WARNING, "no-keys",
                     g_strdup_printf ("teams[%s]", team->name),
                     "the team has no key and no profile is open, so that it can't submit work");
}

void
vp_config_check (const VpConfig *config, GArray *findings)
{
  if (config->dcs->len == 0)
    vp_findings_add (findings, VP_FINDING_WARNING, "no-dcs", g_strdup ("dcs"),
                     "there are no DCs, so that no work is placed");
  for (guint i = 0; i < config->teams->len; i++)
    _vp_config_check_team (config, &g_array_index (config->teams, VpTeam, i), findings);
}

/* The configuration of a cell. */

static char *
_vp_config_check_queue_path (guint i, const char *field)
{
  return g_strdup_printf ("queues[%u].%s", i, field);
}

static char *
_vp_config_check_team_path (guint i, const char *field)
{
  return g_strdup_printf ("teams[%u].%s", i, field);
}

static void
_vp_config_check_route (const VpCellConfig *config, guint i, GArray *findings)
{
  const VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);
  const VpQueueConfig *found;
  const char *rest;

  if (queue->host[0] == '\0')
    vp_findings_add (findings, VP_FINDING_WARNING, "no-host",
                     _vp_config_check_queue_path (i, "host"),
                     "only requests without a Host header match");
  else if (strchr (queue->host, ':') != NULL && queue->host[0] != '[')
    vp_findings_add (findings, VP_FINDING_ERROR, "no-match",
                     _vp_config_check_queue_path (i, "host"),
                     "the port of a request is removed before its host is compared");
  if (queue->prefix[0] != '\0' && queue->prefix[0] != '/')
    vp_findings_add (findings, VP_FINDING_ERROR, "no-match",
                     _vp_config_check_queue_path (i, "prefix"),
                     "no path starts with '%s', as all start with '/'", queue->prefix);
  /* No longer prefix matches this path, so that another queue is found only if its prefix is equal.
   */
  found = vp_cellconfig_route (config, queue->host, queue->prefix, &rest);
  if (found != NULL && found != queue)
    vp_findings_add (
        findings, VP_FINDING_ERROR, "hidden", _vp_config_check_queue_path (i, "prefix"),
        "the queue '%s' has the same host and prefix and gets all requests", found->name);
}

static void
_vp_config_check_queue_names (const VpCellConfig *config, guint i, GArray *findings)
{
  const VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);

  if (queue->name[0] == '\0')
    vp_findings_add (findings, VP_FINDING_ERROR, "no-name", _vp_config_check_queue_path (i, "name"),
                     "the queue has no name");
  else if (vp_cellconfig_queue (config, queue->name) != queue)
    vp_findings_add (
        findings, VP_FINDING_ERROR, "same-name", _vp_config_check_queue_path (i, "name"),
        "a later queue has the name '%s' too, and its jobs are treated by that one", queue->name);
  if (queue->service[0] == '\0')
    vp_findings_add (findings, VP_FINDING_ERROR, "no-workers",
                     _vp_config_check_queue_path (i, "service"),
                     "no worker belongs to a service without a name");
  if (!queue->is_public && g_hash_table_size (config->team_by_key) == 0)
    vp_findings_add (findings, VP_FINDING_ERROR, "no-match",
                     _vp_config_check_queue_path (i, "is_public"),
                     "the queue needs a key, and no team has one");
}

/* Appends an error for each number of the queue that is out of range. Returns true if none is. */
static bool
_vp_config_check_queue_numbers (const VpQueueConfig *queue, guint i, GArray *findings)
{
  const struct {
    const char *field;
    double value;
  } numbers[] = {
    { "stretch", queue->stretch },
    { "advice_decide_ms", queue->advice_decide_ms },
    { "advice_worker_ms", queue->advice_worker_ms },
  };
  bool is_ok = true;

  for (guint j = 0; j < G_N_ELEMENTS (numbers); j++) {
    if (isfinite (numbers[j].value) && numbers[j].value >= 0
        && numbers[j].value <= VP_CONFIG_CHECK_NUMBER_MAX)
      continue;
    is_ok = false;
    vp_findings_add (findings, VP_FINDING_ERROR, "out-of-range",
                     _vp_config_check_queue_path (i, numbers[j].field),
                     "must be from 0 to 1,000,000,000");
  }
  return is_ok;
}

static void
_vp_config_check_queue_limits (const VpCellConfig *config, guint i, GArray *findings)
{
  const VpQueueConfig *queue = &g_array_index (config->queues, VpQueueConfig, i);
  int64_t advice_ms;

  if (queue->attempts_max == 0)
    vp_findings_add (findings, VP_FINDING_WARNING, "no-attempts",
                     _vp_config_check_queue_path (i, "attempts_max"),
                     "0 counts as %u: a job fails after its first failed run",
                     vp_cellconfig_attempts_max (config, queue->name));
  if (!_vp_config_check_queue_numbers (queue, i, findings))
    return;
  if (queue->stretch <= 0 && queue->latency_target_ms == 0)
    vp_findings_add (findings, VP_FINDING_WARNING, "no-objective",
                     _vp_config_check_queue_path (i, "latency_target_ms"),
                     "the objective is 0 ms, so that every job is late as soon as it arrives");
  if (!queue->has_advice)
    return;
  advice_ms = vp_cellconfig_advice_ms (queue, 1);
  if (advice_ms > queue->latency_target_ms)
    vp_findings_add (findings, VP_FINDING_WARNING, "slow-advice",
                     _vp_config_check_queue_path (i, "advice_decide_ms"),
                     "an advice request for one worker takes %" G_GINT64_FORMAT
                     " ms, longer than the constant part of the objective, %" G_GINT64_FORMAT " ms",
                     advice_ms, queue->latency_target_ms);
  if (queue->advice_valid_ms < advice_ms)
    vp_findings_add (findings, VP_FINDING_WARNING, "short-ticket",
                     _vp_config_check_queue_path (i, "advice_valid_ms"),
                     "a ticket is valid for %" G_GINT64_FORMAT
                     " ms, less than the time of an advice request for one worker, "
                     "%" G_GINT64_FORMAT " ms",
                     queue->advice_valid_ms, advice_ms);
}

static bool
_vp_config_check_cell_has_key (const VpCellConfig *config, guint i)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, config->team_by_key);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (vp_cellconfig_team_of_key (config, key) == &g_array_index (config->teams, VpTeamConfig, i))
      return true;
  return false;
}

static bool
_vp_config_check_has_public_queue (const VpCellConfig *config)
{
  for (guint i = 0; i < config->queues->len; i++)
    if (g_array_index (config->queues, VpQueueConfig, i).is_public)
      return true;
  return false;
}

static bool
_vp_config_check_has_cap (const VpCellConfig *config)
{
  for (guint i = 0; i < config->teams->len; i++)
    if (!vp_resources_is_zero (&g_array_index (config->teams, VpTeamConfig, i).cap))
      return true;
  return false;
}

static void
_vp_config_check_cell_team (const VpCellConfig *config, guint i, GArray *findings)
{
  const VpTeamConfig *team = &g_array_index (config->teams, VpTeamConfig, i);
  /* Jobs that a public queue accepted without a key have the team "". */
  bool is_anonymous = team->name[0] == '\0' && _vp_config_check_has_public_queue (config);

  if (team->name[0] == '\0' && !is_anonymous)
    vp_findings_add (findings, VP_FINDING_ERROR, "no-name", _vp_config_check_team_path (i, "name"),
                     "the team has no name");
  else if (vp_cellconfig_team (config, team->name) != team)
    vp_findings_add (
        findings, VP_FINDING_ERROR, "same-name", _vp_config_check_team_path (i, "name"),
        "a later team has the name '%s' too, and its weight and cap apply", team->name);
  if (!is_anonymous && !_vp_config_check_cell_has_key (config, i))
    vp_findings_add (findings, VP_FINDING_WARNING, "no-keys",
                     _vp_config_check_team_path (i, "keys"),
                     "no key leads to the team, so that no job belongs to it");
  if (!isfinite (team->weight) || team->weight < 0)
    vp_findings_add (findings, VP_FINDING_ERROR, "out-of-range",
                     _vp_config_check_team_path (i, "weight"), "must not be negative");
  else if (team->weight > 0 && vp_resources_is_zero (&team->cap)
           && _vp_config_check_has_cap (config))
    vp_findings_add (findings, VP_FINDING_WARNING, "zero-cap",
                     _vp_config_check_team_path (i, "cap"),
                     "0 means no limit, while other teams have a cap; a weight of %g jobs a second "
                     "limits only the rate",
                     team->weight);
}

/* Appends an error for each key that no request can present. */
static void
_vp_config_check_key_text (const VpCellConfig *config, guint i, GArray *findings)
{
  GHashTableIter iter;
  gpointer data;

  g_hash_table_iter_init (&iter, config->team_by_key);
  while (g_hash_table_iter_next (&iter, &data, NULL)) {
    const char *key = data;
    char sha256[65];
    if (vp_cellconfig_team_of_key (config, key) != &g_array_index (config->teams, VpTeamConfig, i))
      continue;
    vp_config_key_digest (key, sha256);
    if (key[0] == '\0')
      vp_findings_add (findings, VP_FINDING_ERROR, "empty-key",
                       _vp_config_check_team_path (i, "keys"),
                       "a key is empty, so that requests without a key belong to the team");
    else if (g_ascii_isspace (key[0]) || g_ascii_isspace (key[strlen (key) - 1]))
      vp_findings_add (findings, VP_FINDING_ERROR, "no-match",
                       _vp_config_check_team_path (i, "keys"),
                       "no request can present the key %.*s, which has a space at its start or end",
                       VP_CONFIG_CHECK_DIGEST_DIGITS, sha256);
  }
}

static void
_vp_config_check_cell_keys (const VpCellConfig *config, GArray *findings)
{
  for (guint i = 0; i < config->key_clashes->len; i++) {
    const VpKeyClash *clash = &g_array_index (config->key_clashes, VpKeyClash, i);
    char *path = _vp_config_check_team_path (clash->team_index, "keys");
    if (clash->team_index == clash->earlier_team_index)
      vp_findings_add (findings, VP_FINDING_WARNING, "repeated-key", path,
                       "the key %.*s is given twice", VP_CONFIG_CHECK_DIGEST_DIGITS, clash->sha256);
    else
      vp_findings_add (findings, VP_FINDING_ERROR, "shared-key", path,
                       "the team '%s' has the key %.*s too; only the last team gets its requests",
                       g_array_index (config->teams, VpTeamConfig, clash->earlier_team_index).name,
                       VP_CONFIG_CHECK_DIGEST_DIGITS, clash->sha256);
  }
  for (guint i = 0; i < config->teams->len; i++)
    _vp_config_check_key_text (config, i, findings);
}

void
vp_config_check_cell (const VpCellConfig *config, GArray *findings)
{
  for (guint i = 0; i < config->queues->len; i++) {
    _vp_config_check_queue_names (config, i, findings);
    _vp_config_check_route (config, i, findings);
    _vp_config_check_queue_limits (config, i, findings);
  }
  for (guint i = 0; i < config->teams->len; i++)
    _vp_config_check_cell_team (config, i, findings);
  _vp_config_check_cell_keys (config, findings);
  if (config->body_max > 0 && config->body_max < VP_CONFIG_CHECK_JOB_BYTES)
    vp_findings_add (findings, VP_FINDING_WARNING, "small-body", g_strdup ("body_max"),
                     "%u bytes are less than a job of 64 steps may need, %d bytes",
                     config->body_max, VP_CONFIG_CHECK_JOB_BYTES);
}
