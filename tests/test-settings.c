#include "vp-json.h"
#include "vp-settings.h"

#include <glib/gstdio.h>
#include <string.h>

#define KEY_1_SHA256 "4bf5122f344554c53bde2ebb8cd2b7e3d1600ad631c385a5d7cce23c7785459a"
#define MEMBER(name, ip)                                                                           \
  "{\"name\":\"" name "\",\"dc\":\"nadi\",\"peer_address\":\"" ip ":9000\",\"http_address\":\"" ip \
  ":8080\"}"
#define MEMBERS    "\"members\":[" MEMBER ("n-1", "127.0.0.1") "," MEMBER ("n-2", "127.0.0.2") "]"
#define PLATFORM   "\"store_addresses\":[\"127.0.0.1:7000\"],\"vmlist_address\":\"127.0.0.1:7100\""
#define WITH(rest) "{\"name\":\"n-1\"," MEMBERS "," PLATFORM rest "}"

/* Guards against a daemon that starts with settings that contradict each other. */
static void
test_errors (void)
{
  static const struct {
    const char *text;
    const char *error; /* start of the message; NULL: accepted */
  } cases[] = {
    { WITH (""), NULL },
    { WITH (",\"dc\":\"nadi\",\"http_address\":\"0.0.0.0:80\""), NULL },
    { WITH (",\"dc\":\"ba\""), "dc: must be 'nadi'" },
    { WITH (",\"http_address\":\"localhost:80\""), "http_address: must be an IP" },
    { WITH (",\"port\":1"), "port: unknown field" },
    { WITH (",\"owner_ttl_ms\":0"), "owner_ttl_ms: must be from" },
    { WITH (",\"owner_ttl_ms\":2000,\"owner_renew_ms\":1000"), NULL },
    { WITH (",\"owner_ttl_ms\":2000"), NULL },
    { WITH (",\"owner_ttl_ms\":2000,\"owner_renew_ms\":1001"),
      "owner_renew_ms: must be at most half" },
    { WITH (",\"owner_ttl_ms\":240"), "clock_margin_ms: must be below" },
    { WITH (",\"heartbeat_ms\":1001"), "heartbeat_ms: must be at most a third" },
    { WITH (",\"config_fresh_ms\":900"), "heartbeat_ms: must be at most a third" },
    { WITH (",\"body_max\":1"), "body_max: must be from" },
    { WITH (",\"body_max\":0,\"connections_max\":0"), NULL },
    { WITH (",\"connections_max\":7"), "connections_max: must be from" },
    { WITH (",\"json_nodes_max\":-1"), "json_nodes_max: must be from" },
    { WITH (",\"intake_bytes_max\":1048575"), "intake_bytes_max: must be from" },
    { WITH (",\"memory_mib\":120,\"descriptors_max\":3075,\"intake_bytes_max\":8388608,"
            "\"intake_small_bytes\":16384,\"connections_per_address_max\":0,"
            "\"receive_bytes_per_s_min\":1024,\"receive_timeout_ms\":10000,"
            "\"send_timeout_ms\":10000,\"json_nodes_max\":65536"),
      NULL },
    { WITH (",\"log_json\":\"yes\""), "log_json: must be true or false" },
    { WITH (",\"operators\":[{\"name\":\"o\",\"key_sha256\":\"x\"}]"),
      "operators[0].key_sha256: must be 64" },
    { WITH (",\"operators\":[{\"name\":\"o\",\"key_sha256\":\"" KEY_1_SHA256
            "\"},{\"name\":\"p\",\"key_sha256\":\"" KEY_1_SHA256 "\"}]"),
      "operators[1].key_sha256: is that of 'o' too" },
    { "{\"name\":\"n-3\"," MEMBERS "," PLATFORM "}", "name: 'n-3' is not in members" },
    { "{\"name\":\"n-1\",\"members\":[" MEMBER ("n-1", "127.0.0.1") "," MEMBER (
          "n-1", "127.0.0.2") "]," PLATFORM "}",
      "members[1].name: 'n-1' is given twice" },
    { "{\"name\":\"n-1\",\"members\":[" MEMBER ("n-1", "127.0.0.1") "," MEMBER (
          "n-2", "127.0.0.1") "]," PLATFORM "}",
      "members[1].peer_address: is that of 'n-1' too" },
    { "{\"name\":\"n-1\",\"members\":[" MEMBER ("n-1", "host") "]," PLATFORM "}",
      "members[0].peer_address: must be an IP" },
    { "{\"name\":\"n-1\"," MEMBERS ",\"vmlist_address\":\"127.0.0.1:1\"}",
      "store_addresses: missing" },
    { "{\"name\":\"n-1\"," MEMBERS ",\"store_addresses\":[],\"vmlist_address\":\"127.0.0.1:1\"}",
      "store_addresses: must have at least one" },
    { "{\"name\":\"n-1\"," MEMBERS ",\"store_addresses\":[\"x\"]}", "store_addresses[0]: must be" },
    { "{\"name\":\"n-1\"," MEMBERS ",\"store_addresses\":[\"127.0.0.1:1\"]}",
      "vmlist_address: missing" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autoptr (GError) error = NULL;
    VpSettings settings;
    bool is_ok = vp_settings_parse (&settings, cases[i].text, strlen (cases[i].text), &error);
    g_test_message ("%u: %s", i, error != NULL ? error->message : "accepted");
    g_assert_true (is_ok == (cases[i].error == NULL));
    if (error != NULL)
      g_assert_true (g_str_has_prefix (error->message, cases[i].error));
    vp_settings_shutdown (&settings);
  }
}

/* Guards against defaults that differ from the documented ones, and against accepting something
 * else than an operator's key. */
static void
test_values (void)
{
  static const char text[]
      = WITH (",\"operators\":[{\"name\":\"o\",\"key_sha256\":\"" KEY_1_SHA256 "\"}]");
  VpSettings settings;

  g_assert_true (vp_settings_parse (&settings, text, strlen (text), NULL));
  g_assert_cmpstr (settings.dc, ==, "nadi");
  g_assert_cmpstr (settings.http_address, ==, "127.0.0.1:8080");
  g_assert_cmpstr (settings.peer_address, ==, "127.0.0.1:9000");
  g_assert_cmpint (settings.owner_ttl_ms, ==, 2400);
  g_assert_cmpint (settings.owner_renew_ms, ==, 1200);
  g_assert_cmpint (settings.clock_margin_ms, ==, 250);
  g_assert_cmpint (settings.config_fresh_ms, ==, 3000);
  g_assert_cmpint (settings.heartbeat_ms, ==, 500);
  g_assert_cmpint (settings.commit_ms, ==, 300);
  g_assert_cmpint (settings.vmlist_poll_ms, ==, 2000);
  g_assert_cmpint (settings.client_timeout_ms, ==, 10000);
  g_assert_cmpuint (settings.body_max, ==, 262144);
  g_assert_cmpuint (settings.connections_max, ==, 4096);
  g_assert_cmpuint (settings.pending_max, ==, 10000);
  g_assert_cmpstr (vp_settings_operator (&settings, "\001"), ==, "o");
  g_assert_null (vp_settings_operator (&settings, KEY_1_SHA256));
  g_assert_null (vp_settings_operator (&settings, ""));
  g_assert_cmpstr (vp_settings_member (&settings, "n-2")->peer_address, ==, "127.0.0.2:9000");
  vp_settings_shutdown (&settings);
}

/* Guards against an error that does not name the file. */
static void
test_load (void)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *path = NULL;
  VpSettings settings;
  int fd = g_file_open_tmp ("vp-settings-XXXXXX", &path, NULL);

  g_assert_cmpint (fd, >=, 0);
  g_close (fd, NULL);
  g_assert_true (g_file_set_contents (path, "{", 1, NULL));
  g_assert_false (vp_settings_load (&settings, path, &error));
  g_assert_true (g_str_has_prefix (error->message, path));
  g_clear_error (&error);
  g_assert_true (g_file_set_contents (path, WITH (""), -1, NULL));
  g_assert_true (vp_settings_load (&settings, path, NULL));
  vp_settings_shutdown (&settings);
  g_unlink (path);
  g_assert_false (vp_settings_load (&settings, path, &error));
  g_assert_true (g_error_matches (error, G_FILE_ERROR, G_FILE_ERROR_NOENT));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/errors", test_errors);
  g_test_add_func ("/settings/values", test_values);
  g_test_add_func ("/settings/load", test_load);
  return g_test_run ();
}
