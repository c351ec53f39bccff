/* Stand-in for the platform's load balancer: forwards each TCP connection to the next target that
 * accepts it. The first target is random unless --deterministic is given.
 */
#include "fake-forward.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct {
  int client_fd, target_fd;
  guint tries;
  FakeSource *source;
} ConnectAttempt;

static struct {
  const char *address;
  GArray *targets; /* struct sockaddr_in */
  bool is_deterministic;
  guint next;
  int fd;
} _balancer;

static void
_balancer_closed (FakeForward *forward G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void _balancer_connect_done (uint32_t events, void *data);

/* Begins to connect to the next target. Closes the client's connection once all targets have
 * failed. */
static void
_balancer_connect_next (ConnectAttempt *attempt)
{
  while (attempt->tries++ < _balancer.targets->len) {
    guint index = _balancer.next++ % _balancer.targets->len;
    attempt->target_fd
        = fake_forward_connect (&g_array_index (_balancer.targets, struct sockaddr_in, index));
    if (attempt->target_fd >= 0) {
      attempt->source = fake_watch (attempt->target_fd, EPOLLOUT, _balancer_connect_done, attempt);
      return;
    }
  }
  close (attempt->client_fd);
  g_free (attempt);
}

static void
_balancer_connect_done (uint32_t events G_GNUC_UNUSED, void *data)
{
  ConnectAttempt *attempt = data;
  int error = 0;
  socklen_t size = sizeof error;

  getsockopt (attempt->target_fd, SOL_SOCKET, SO_ERROR, &error, &size);
  fake_unwatch (&attempt->source);
  if (error != 0) {
    close (attempt->target_fd);
    _balancer_connect_next (attempt);
    return;
  }
  fake_forward_new (attempt->client_fd, attempt->target_fd, _balancer_closed, NULL);
  g_free (attempt);
}

static void
_balancer_accept (uint32_t events G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
  int fd = accept4 (_balancer.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  ConnectAttempt *attempt;

  if (fd < 0)
    return;
  attempt = g_new0 (ConnectAttempt, 1);
  attempt->client_fd = fd;
  _balancer_connect_next (attempt);
}

static error_t
_balancer_option (int key, char *arg, struct argp_state *state)
{
  struct sockaddr_in address;

  switch (key) {
  case 'l':
    _balancer.address = arg;
    return 0;
  case 't':
    address = fake_address (arg);
    g_array_append_val (_balancer.targets, address);
    return 0;
  case 'd':
    _balancer.is_deterministic = true;
    return 0;
  case ARGP_KEY_END:
    if (_balancer.address == NULL || _balancer.targets->len == 0)
      argp_error (state, "--listen and --target are needed");
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "listen", 'l', "IP:PORT", 0, "address of the balancer", 0 },
    { "target", 't', "IP:PORT", 0, "one target; may be repeated", 0 },
    { "deterministic", 'd', NULL, 0, "start with the first target", 0 },
    { 0 },
  };
  static const struct argp argp = { options, _balancer_option, NULL, NULL, NULL, NULL, NULL };

  _balancer.targets = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  fake_setup ();
  if (!_balancer.is_deterministic)
    _balancer.next = g_random_int ();
  _balancer.fd = fake_forward_listen (_balancer.address);
  fake_watch (_balancer.fd, EPOLLIN, _balancer_accept, NULL);
  fake_run ();
  return EXIT_SUCCESS;
}
