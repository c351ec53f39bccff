/* HTTP server on a loopback address that follows a script with one step for each request, for tests
 * of the HTTP clients.
 *
 *   static const ScriptStep steps[] = { { SCRIPT_NO_RESPONSE, NULL },
 *                                       { SCRIPT_RESPOND, "HTTP/1.1 ..." } };
 *   ScriptServer server;
 *   script_setup (&server, steps, G_N_ELEMENTS (steps));
 *   ... send requests to server.address and free the client ...
 *   script_stop (&server);
 *   ... check server.requests and server.bodies ...
 *   script_shutdown (&server);
 */
#pragma once

#include "vp-net.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SCRIPT_LATE_MS 500

typedef enum {
  SCRIPT_RESPOND,       /* reads the request, responds and keeps the connection open */
  SCRIPT_RESPOND_CLOSE, /* reads the request, responds and closes the connection */
  SCRIPT_NO_RESPONSE,   /* reads the request and closes the connection without a response */
  SCRIPT_CLOSE_LATE,    /* the same, but waits for SCRIPT_LATE_MS before it closes */
  SCRIPT_RESET,         /* reads the request and resets the connection */
  SCRIPT_STALL,         /* reads the request, sends the text and waits until the client closes */
  SCRIPT_CLOSE_UNREAD,  /* closes a new connection without reading the request */
} ScriptAction;

typedef struct {
  ScriptAction action;
  const char *text; /* bytes of the response, or NULL */
} ScriptStep;

typedef struct {
  const ScriptStep *steps;
  guint step_count;
  guint next;
  int listen_fd;
  char address[VP_ADDRESS_MAX];
  GThread *thread;
  guint connection_count;
  GPtrArray *requests; /* char*; request lines */
  GPtrArray *bodies;   /* char* */
} ScriptServer;

/* Reads one request. Returns false if the client closed the connection before it was complete. */
static bool
script_read (ScriptServer *server, int fd)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GString) body = g_string_new (NULL);
  const char *length;
  gsize rest = 0;
  char byte;

  while (!g_str_has_suffix (text->str, "\r\n\r\n")) {
    if (recv (fd, &byte, 1, 0) != 1)
      return false;
    g_string_append_c (text, byte);
  }
  length = strstr (text->str, "Content-Length: ");
  if (length != NULL)
    rest = g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10);
  for (; rest > 0; rest--) {
    if (recv (fd, &byte, 1, 0) != 1)
      return false;
    g_string_append_c (body, byte);
  }
  *strstr (text->str, "\r\n") = '\0';
  g_ptr_array_add (server->requests, g_strdup (text->str));
  g_ptr_array_add (server->bodies, g_strdup (body->str));
  return true;
}

/* Follows the script on one connection. Returns when the connection is to be closed. */
static void
script_serve (ScriptServer *server, int fd)
{
  struct linger reset = { .l_onoff = 1 };
  char byte;

  while (server->next < server->step_count) {
    const ScriptStep *step = &server->steps[server->next];
    if (step->action == SCRIPT_CLOSE_UNREAD) {
      server->next++;
      return;
    }
    if (!script_read (server, fd))
      return;
    server->next++;
    if (step->text != NULL)
      (void)!send (fd, step->text, strlen (step->text), MSG_NOSIGNAL);
    if (step->action == SCRIPT_RESPOND)
      continue;
    if (step->action == SCRIPT_CLOSE_LATE)
      g_usleep (SCRIPT_LATE_MS * 1000);
    if (step->action == SCRIPT_RESET)
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    while (step->action == SCRIPT_STALL && recv (fd, &byte, 1, 0) > 0)
      continue;
    return;
  }
  /* The script has no more steps. Another request is not expected, and is recorded. */
  script_read (server, fd);
}

static gpointer
script_run (gpointer data)
{
  ScriptServer *server = data;
  int fd;

  while ((fd = accept (server->listen_fd, NULL, NULL)) >= 0) {
    server->connection_count++;
    script_serve (server, fd);
    close (fd);
  }
  return NULL;
}

static void
script_setup (ScriptServer *server, const ScriptStep *steps, guint step_count)
{
  VpNetAddress any;

  memset (server, 0, sizeof *server);
  server->steps = steps;
  server->step_count = step_count;
  server->requests = g_ptr_array_new_with_free_func (g_free);
  server->bodies = g_ptr_array_new_with_free_func (g_free);
  g_assert_true (vp_net_parse_address ("127.0.0.1:0", &any));
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (bind (server->listen_fd, &any.any, any.size), ==, 0);
  g_assert_cmpint (listen (server->listen_fd, 8), ==, 0);
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
              vp_net_bound_port (server->listen_fd));
  server->thread = g_thread_new ("script", script_run, server);
}

/* Stops the server's thread. The client must have been freed, so that its connection is closed. */
static void
script_stop (ScriptServer *server)
{
  shutdown (server->listen_fd, SHUT_RDWR);
  g_thread_join (server->thread);
  close (server->listen_fd);
}

static void
script_shutdown (ScriptServer *server)
{
  g_ptr_array_unref (server->requests);
  g_ptr_array_unref (server->bodies);
}
