#include "vp-config.h"

#include <string.h>

#define KEY_1_SHA256 "4bf5122f344554c53bde2ebb8cd2b7e3d1600ad631c385a5d7cce23c7785459a"
#define KEY_2_SHA256 "dbc1b4c900ffe48d575b5da5c638040125f65db0fe3e24494b76ea986457d986"
#define LIMIT        "\"limit\":{\"cpu_milli\":1000,\"mem_mib\":2000,\"accel_count\":1}"
#define DCS          "\"dcs\":[\"nadi\",\"ba\"]"
#define TEAMS        "\"teams\":[{\"name\":\"t1\",\"share\":3," LIMIT "},{\"name\":\"a\"," LIMIT "}]"
#define PROFILES                                                                                   \
  "\"profiles\":[{\"name\":\"booking\",\"kind\":\"service\",\"priority\":100,\"open\":true}]"
#define KEYS                                                                                       \
  "\"keys\":[{\"sha256\":\"" KEY_1_SHA256 "\",\"team\":\"t1\","                                    \
  "\"note\":\"a \\\"b\\\"\"}]"
#define DOC(dcs, teams, profiles, rest) "{" dcs "," teams "," profiles rest "}"
#define BASE                            DOC (DCS, TEAMS, PROFILES, "," KEYS)

static VpConfig *
_parse (const char *text)
{
  GError *error = NULL;
  VpConfig *config = vp_config_parse (text, strlen (text), &error);

  g_assert_no_error (error);
  return config;
}

/* Guards against an invalid document that is accepted, and against an error that does not name the
 * path of the field. */
static void
test_errors (void)
{
  static const struct {
    const char *text;
    const char *error;
  } cases[] = {
    { BASE, NULL },
    { DOC ("\"dcs\":[]", "\"teams\":[]", "\"profiles\":[]", ""), NULL },
    { "{}", "dcs: missing" },
    { DOC ("\"dcs\":[\"a\",\"a\"]", TEAMS, PROFILES, ""), "dcs[1]: 'a' is given twice" },
    { DOC ("\"dcs\":[\"A\"]", TEAMS, PROFILES, ""), "dcs[0]: is not a name" },
    { DOC ("\"dcs\":[1]", TEAMS, PROFILES, ""), "dcs[0]: must be a string" },
    { DOC (DCS, "\"teams\":[{\"name\":\"t\"}]", PROFILES, ""), "teams[0].limit: missing" },
    { DOC (DCS, "\"teams\":[{\"name\":\"t\"," LIMIT "},{\"name\":\"t\"," LIMIT "}]", PROFILES, ""),
      "teams[1].name: 't' is given twice" },
    { DOC (DCS, "\"teams\":[{\"name\":\"t\",\"share\":0," LIMIT "}]", PROFILES, ""),
      "teams[0].share: must be from 1" },
    { DOC (DCS, "\"teams\":[{\"name\":\"t\",\"x\":0," LIMIT "}]", PROFILES, ""),
      "teams[0].x: unknown field" },
    { DOC (DCS, "\"teams\":[{\"name\":\"t\",\"limit\":{\"cpu_milli\":1,\"mem_mib\":-1}}]", PROFILES,
           ""),
      "teams[0].limit.mem_mib: must be from 0" },
    { DOC (DCS, TEAMS, "\"profiles\":[{\"name\":\"p\",\"kind\":\"x\"}]", ""),
      "profiles[0].kind: must be" },
    { DOC (DCS, TEAMS, "\"profiles\":[{\"name\":\"p\",\"kind\":\"gang\",\"priority\":101}]", ""),
      "profiles[0].priority: must be from 0 to 100" },
    { DOC (DCS, TEAMS, "\"profiles\":[{\"name\":\"p\",\"kind\":\"gang\",\"task_lease_ms\":999}]",
           ""),
      "profiles[0].task_lease_ms: must be 0 or from 1000" },
    { DOC (DCS, TEAMS, PROFILES, ",\"keys\":[{\"sha256\":\"" KEY_1_SHA256 "\",\"team\":\"t2\"}]"),
      "keys[0].team: 't2' is not a team" },
    { DOC (DCS, TEAMS, PROFILES, ",\"keys\":[{\"sha256\":\"ABC\",\"team\":\"a\"}]"),
      "keys[0].sha256: must be 64" },
    { DOC (DCS, TEAMS, PROFILES,
           ",\"keys\":[{\"sha256\":\"" KEY_1_SHA256 "\",\"team\":\"a\"},{\"sha256\":\"" KEY_1_SHA256
           "\",\"team\":\"t1\"}]"),
      "keys[1].sha256: is given twice" },
    { DOC (DCS, TEAMS, PROFILES, ",\"revision\":4"), "revision: unknown field" },
    { DOC (DCS, TEAMS, PROFILES, ",\"identity_retention_ms\":-1"), "identity_retention_ms: must" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autoptr (GError) error = NULL;
    g_autoptr (VpConfig) config = vp_config_parse (cases[i].text, strlen (cases[i].text), &error);
    g_test_message ("%u: %s", i, error != NULL ? error->message : "accepted");
    g_assert_true ((config != NULL) == (cases[i].error == NULL));
    if (error != NULL)
      g_assert_true (g_str_has_prefix (error->message, cases[i].error));
  }
}

/* Guards against a stored configuration that differs after it was parsed again, with which
 * processes would disagree on one revision. */
static void
test_round_trip (void)
{
  g_autoptr (VpConfig) config = _parse (BASE);
  g_autoptr (VpConfig) again = NULL;
  g_autoptr (GBytes) text = NULL;
  g_autoptr (GBytes) twice = NULL;
  gsize size;
  const char *data;
  const VpProfile *profile = vp_config_profile (config, "booking");

  config->revision = 7;
  config->origin = (VpConfigOrigin){ .change = UINT64_MAX, .at_ms = 9, .who = "o" };
  text = vp_config_format_stored (config);
  data = g_bytes_get_data (text, &size);
  again = vp_config_parse_stored (data, size, NULL);
  g_assert_nonnull (again);
  g_assert_cmpuint (again->revision, ==, 7);
  g_assert_cmpuint (again->origin.change, ==, UINT64_MAX);
  g_assert_cmpint (again->origin.at_ms, ==, 9);
  g_assert_cmpstr (again->origin.who, ==, "o");
  twice = vp_config_format_stored (again);
  g_assert_true (g_bytes_equal (text, twice));
  g_assert_null (vp_config_parse (data, size, NULL));
  g_assert_null (vp_config_parse_stored (BASE, strlen (BASE), NULL));
  g_assert_cmpint (vp_config_team (again, "t1")->share, ==, 3);
  g_assert_cmpuint (vp_config_team (again, "a")->queue_max, ==, 1000);
  g_assert_null (vp_config_team (again, "b"));
  g_assert_true (profile->is_open && !profile->is_preemptible);
  g_assert_cmpuint (profile->tries_max, ==, 3);
  g_assert_cmpint (profile->task_lease_ms, ==, 60000);
  g_assert_cmpint (again->identity_retention_ms, ==, 86400000);
}

/* Guards against a key that is valid for another team, and against a digest that is accepted as a
 * key. */
static void
test_keys (void)
{
  g_autoptr (VpConfig) config = _parse (BASE);

  g_assert_cmpstr (vp_config_key_team (config, "\001")->name, ==, "t1");
  g_assert_null (vp_config_key_team (config, KEY_1_SHA256));
  g_assert_null (vp_config_key_team (config, ""));
  g_assert_null (vp_config_key_team (config, "\002"));
}

/* Guards against processes that choose different home DCs for one task, and against a removed DC
 * that changes the home of tasks which had another one. */
static void
test_home_dc (void)
{
  g_autoptr (VpConfig) a = _parse (DOC ("\"dcs\":[\"x\",\"y\",\"z\"]", TEAMS, PROFILES, ""));
  g_autoptr (VpConfig) b = _parse (DOC ("\"dcs\":[\"z\",\"x\",\"y\"]", TEAMS, PROFILES, ""));
  g_autoptr (VpConfig) c = _parse (DOC ("\"dcs\":[\"x\",\"y\"]", TEAMS, PROFILES, ""));
  g_autoptr (VpConfig) none = vp_config_new_empty ();
  uint32_t z_count = 0;

  for (uint64_t i = 0; i < 3000; i++) {
    VpTaskId task = vp_task_id_from_sequence ("m", 1, i);
    const char *home = vp_config_home_dc (a, task);
    g_assert_cmpstr (home, ==, vp_config_home_dc (b, task));
    if (strcmp (home, "z") == 0)
      z_count++;
    else
      g_assert_cmpstr (home, ==, vp_config_home_dc (c, task));
  }
  g_assert_cmpuint (z_count, >, 850);
  g_assert_cmpuint (z_count, <, 1150);
  g_assert_null (vp_config_team (none, "x"));
  g_assert_null (vp_config_profile (none, "x"));
  g_assert_null (vp_config_home_dc (none, (VpTaskId){ 1, 1 }));
}

/* Guards against a summary that leaves out a change or overruns its buffer. */
static void
test_describe (void)
{
  g_autoptr (VpConfig) a = _parse (BASE);
  g_autoptr (VpConfig) b = _parse (DOC ("\"dcs\":[\"nadi\",\"lautoka\"]",
                                        "\"teams\":[{\"name\":\"t1\",\"share\":4," LIMIT
                                        "},{\"name\":\"n\"," LIMIT "}]",
                                        "\"profiles\":[]",
                                        ",\"keys\":[{\"sha256\":\"" KEY_2_SHA256
                                        "\",\"team\":\"n\"}],\"identity_retention_ms\":5000"));
  char text[256];
  char small[12];

  vp_config_describe_change (a, a, text, sizeof text);
  g_assert_cmpstr (text, ==, "no change");
  vp_config_describe_change (a, b, text, sizeof text);
  g_assert_cmpstr (text, ==,
                   "dcs +lautoka -ba; teams -a +n ~t1; profiles -booking; keys +dbc1b4c9(n) "
                   "-4bf5122f(t1); identity_retention_ms 5000");
  vp_config_describe_change (a, b, small, sizeof small);
  g_assert_cmpstr (small, ==, "dcs +lau...");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/errors", test_errors);
  g_test_add_func ("/config/round-trip", test_round_trip);
  g_test_add_func ("/config/keys", test_keys);
  g_test_add_func ("/config/home-dc", test_home_dc);
  g_test_add_func ("/config/describe", test_describe);
  return g_test_run ();
}
