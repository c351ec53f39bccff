#include "vp-pf-settings.h"

#include <glib/gstdio.h>
#include <unistd.h>

#define SETTINGS(rest)                                                                             \
  "{\"name\":\"n1\",\"dc\":\"dc-1\",\"callers_address\":\"127.0.0.1:1\","                          \
  "\"ready_address\":\"127.0.0.1:2\",\"host\":\"127.0.0.1\",\"peer_port\":9000,"                   \
  "\"store_address\":\"127.0.0.1:3\",\"hold_max_ms\":2000" rest "}"

static bool
_load (const char *text, VpPfSettings *settings)
{
  g_autofree char *path = NULL;
  g_autoptr (GError) error = NULL;
  int fd = g_file_open_tmp ("test-pf-settings-XXXXXX", &path, &error);
  bool is_ok;

  g_assert_no_error (error);
  close (fd);
  g_file_set_contents (path, text, -1, &error);
  g_assert_no_error (error);
  is_ok = vp_pf_settings_load (settings, path, &error);
  g_unlink (path);
  return is_ok;
}

/* Guards against a node that waits for evacuations on a platform that has none, or that doesn't on
 * one that states a bound for them. */
static void
test_evacuate_ms (void)
{
  VpPfSettings settings;

  g_assert_true (_load (SETTINGS (""), &settings));
  g_assert_cmpint (settings.evacuate_ms, ==, 0);
  g_assert_true (_load (SETTINGS (",\"evacuate_ms\":5000"), &settings));
  g_assert_cmpint (settings.evacuate_ms, ==, 5000);
  g_assert_false (_load (SETTINGS (",\"evacuate_ms\":\"5000\""), &settings));
  g_assert_false (_load (SETTINGS (",\"evacuate_ms\":-1"), &settings));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pf-settings/evacuate-ms", test_evacuate_ms);
  return g_test_run ();
}
