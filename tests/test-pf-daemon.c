#include "vp-net.h"
#include "vp-pf-daemon.h"

#include <glib/gstdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Static, since vp_pf_daemon_shutdown() doesn't free it: its threads may still use it. */
static VpPfDaemon *_daemon;

static VpPfDaemon *
setup_daemon (const char *host)
{
  g_autofree char *path = NULL;
  g_autofree char *text
      = g_strdup_printf ("{\"name\":\"n1\",\"dc\":\"dc-1\",\"callers_address\":\"%s:8080\","
                         "\"ready_address\":\"%s:8081\",\"host\":\"%s\",\"peer_port\":9000,"
                         "\"store_address\":\"%s:1\",\"hold_max_ms\":2000}",
                         host, host, host, host);
  g_autoptr (GError) error = NULL;
  VpPfDaemon *daemon;
  int fd = g_file_open_tmp ("test-pf-daemon-XXXXXX", &path, &error);

  g_assert_no_error (error);
  close (fd);
  g_file_set_contents (path, text, -1, &error);
  g_assert_no_error (error);
  daemon = vp_pf_daemon_setup (path, &error);
  g_assert_no_error (error);
  g_unlink (path);
  return daemon;
}

/* Guards against a shutdown that cuts off a request which was posted, but not taken by the node. */
static void
test_shutdown_queued (void)
{
  static const char request[] = "GET /queue/jobs/1 HTTP/1.1\r\nHost: x\r\n\r\n";
  unsigned pid = (unsigned)getpid ();
  /* An address of this process, so that tests of other checkouts can run beside it. */
  g_autofree char *host = g_strdup_printf ("127.77.%u.%u", pid >> 8 & 0xff, pid & 0xff);
  g_autofree char *text = g_strdup_printf ("%s:8080", host);
  VpNetAddress address;
  char response[512];
  ssize_t count;
  int fd;

  _daemon = setup_daemon (host);
  g_assert_true (vp_net_parse_address (text, &address));
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (connect (fd, &address.any, address.size), ==, 0);
  g_assert_cmpint (send (fd, request, strlen (request), MSG_NOSIGNAL), ==, strlen (request));
  g_usleep (100000); /* until the request is in the queue; earlier it is refused as unread */
  vp_pf_daemon_shutdown (_daemon);
  count = recv (fd, response, sizeof response - 1, MSG_WAITALL);
  response[MAX (count, 0)] = '\0';
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 503"));
  g_assert_nonnull (strstr (response, "Retry-After: "));
  close (fd);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pf-daemon/shutdown-queued", test_shutdown_queued);
  return g_test_run ();
}
