#include "vp-config.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

/* Fake server on a loopback port. The command line tool runs as a child process and calls it. */
typedef struct {
  struct MHD_Daemon *daemon;
  char address[VP_ADDRESS_MAX];
  pthread_mutex_t lock; /* a POSIX mutex, since ThreadSanitizer does not see those of GLib */
  uint64_t revision;
  GBytes *config;
  uint32_t conflict_count;   /* changes that are still to be refused with a conflict */
  uint32_t status;           /* HTTP status of responses to other requests */
  const char *response_body; /* body of responses to other requests */
  GString *log;              /* method, path, key and body of each request */
} Server;

static char *cli_path;

static enum MHD_Result
_reply (struct MHD_Connection *connection, uint32_t status, const char *text)
{
  g_autofree char *copy = g_strdup (text);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (copy), copy, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
_reply_config (Server *server, struct MHD_Connection *connection)
{
  g_autofree char *text = g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT ",\"config\":%.*s}",
                                           server->revision, (int)g_bytes_get_size (server->config),
                                           (const char *)g_bytes_get_data (server->config, NULL));

  return _reply (connection, 200, text);
}

static enum MHD_Result
_put_config (Server *server, struct MHD_Connection *connection, const GString *body)
{
  const char *expected
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "revision");
  g_autofree char *text = NULL;

  if (server->conflict_count > 0) {
    server->conflict_count--;
    server->revision++;
  }
  if (g_ascii_strtoull (expected, NULL, 10) != server->revision)
    return _reply (connection, 409,
                   "{\"error\":{\"reason\":\"conflict\",\"message\":\"m\",\"run\":\"no\"}}");
  server->revision++;
  g_bytes_unref (server->config);
  server->config = g_bytes_new (body->str, body->len);
  text = g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT
                          ",\"confirmed\":2,\"members\":2,\"missing\":[]}",
                          server->revision);
  return _reply (connection, 200, text);
}

static enum MHD_Result
_handle (void *data,
         struct MHD_Connection *connection,
         const char *url,
         const char *method,
         G_GNUC_UNUSED const char *version,
         const char *upload,
         size_t *upload_size,
         void **state)
{
  Server *server = data;
  GString *body = *state;
  const char *key;
  enum MHD_Result result;

  if (body == NULL) {
    *state = g_string_new (NULL);
    return MHD_YES;
  }
  if (*upload_size > 0) {
    g_string_append_len (body, upload, (gssize)*upload_size);
    *upload_size = 0;
    return MHD_YES;
  }
  pthread_mutex_lock (&server->lock);
  key = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Authorization");
  g_string_append_printf (server->log, "%s %s %s %s\n", method, url, key != NULL ? key : "-",
                          body->str);
  if (strcmp (url, "/v1/config") != 0)
    result = _reply (connection, server->status, server->response_body);
  else if (strcmp (method, "PUT") == 0)
    result = _put_config (server, connection, body);
  else
    result = _reply_config (server, connection);
  pthread_mutex_unlock (&server->lock);
  return result;
}

static void
_completed (G_GNUC_UNUSED void *data,
            G_GNUC_UNUSED struct MHD_Connection *connection,
            void **state,
            G_GNUC_UNUSED enum MHD_RequestTerminationCode code)
{
  if (*state != NULL)
    g_string_free (*state, TRUE);
}

static Server *
_server_new (void)
{
  static const char text[] = "{\"dcs\":[\"nadi\"],\"teams\":[{\"name\":\"t\",\"limit\":{\"cpu_"
                             "milli\":1,\"mem_mib\":2}}],"
                             "\"profiles\":[]}";
  Server *server = g_new0 (Server, 1);
  const union MHD_DaemonInfo *info;
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  pthread_mutex_init (&server->lock, NULL);
  server->revision = 5;
  server->config = g_bytes_new (text, strlen (text));
  server->status = 200;
  server->response_body = "{}";
  server->log = g_string_new (NULL);
  server->daemon = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, _handle,
                                     server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
                                     MHD_OPTION_NOTIFY_COMPLETED, _completed, NULL, MHD_OPTION_END);
  g_assert_nonnull (server->daemon);
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u", info->port);
  return server;
}

static void
_server_free (Server *server)
{
  MHD_stop_daemon (server->daemon);
  g_bytes_unref (server->config);
  g_string_free (server->log, TRUE);
  pthread_mutex_destroy (&server->lock);
  g_free (server);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (Server, _server_free)

/* Orders this thread's accesses to the server's fields and those of the server's thread. Between
 * two runs of the tool only this thread uses the fields. */
static void
_synchronise (Server *server)
{
  if (server == NULL)
    return;
  pthread_mutex_lock (&server->lock);
  pthread_mutex_unlock (&server->lock);
}

/* Runs the tool with the words of @line as arguments and returns its exit status. */
static int
_run (Server *server, const char *line, char **out, char **err)
{
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_auto (GStrv) env = g_environ_setenv (g_get_environ (), "VERBENAPULLEY_KEY", "secret", TRUE);
  g_autofree char *text_out = NULL;
  g_autofree char *text_err = NULL;
  int status;

  env = g_environ_setenv (env, "VERBENAPULLEY_ADDRESS",
                          server != NULL ? server->address : "127.0.0.1:1", TRUE);
  g_ptr_array_add (argv, cli_path);
  for (char **at = words; *at != NULL; at++)
    g_ptr_array_add (argv, *at);
  g_ptr_array_add (argv, NULL);
  _synchronise (server);
  g_assert_true (g_spawn_sync (NULL, (char **)argv->pdata, env, G_SPAWN_DEFAULT, NULL, NULL,
                               &text_out, &text_err, &status, NULL));
  _synchronise (server);
  g_test_message ("%s -> %d\n%s%s", line, status, text_out, text_err);
  g_assert_true (WIFEXITED (status));
  if (out != NULL)
    *out = g_steal_pointer (&text_out);
  if (err != NULL)
    *err = g_steal_pointer (&text_err);
  return WEXITSTATUS (status);
}

static VpConfig *
_config (const Server *server)
{
  gsize size;
  const char *text = g_bytes_get_data (server->config, &size);
  VpConfig *config = vp_config_parse (text, size, NULL);

  g_assert_nonnull (config);
  return config;
}

/* Guards against wrong exit statuses, by which scripts distinguish refusals, outages, conflicts and
 * wrong usage. */
static void
test_exit_status (void)
{
  static const struct {
    const char *line;
    int code;
    const char *err; /* part of stderr */
  } cases[] = {
    { "status", 0, "" },
    { "--json status", 0, "" },
    { "status extra", 2, "no arguments" },
    { "nonsense", 2, "unknown command" },
    { "config", 2, "unknown command" },
    { "", 2, "a command is needed" },
    { "--bogus status", 2, "unrecognized option" },
    { "status --share 1", 2, "unrecognized option" },
    { "team set t --share -1", 2, "not negative" },
    { "team set t --share x", 2, "not negative" },
    { "profile set p --open maybe", 2, "yes or no" },
    { "team set T", 2, "needs one NAME" },
    { "team set new --share 2", 1, "needs --cpu-milli" },
    { "key give nobody", 1, "no team 'nobody'" },
    { "key withdraw 01234567", 1, "no key 01234567" },
    { "key withdraw 0", 2, "first 8 digits" },
    { "explain 12", 2, "32 hexadecimal" },
    { "submit --team t", 2, "needs --team, --profile" },
    { "config submit /nonexistent", 1, "nonexistent" },
    { "config validate", 2, "needs one FILE" },
    { "config check", 2, "needs one FILE" },
    { "config check a b", 2, "needs one FILE" },
    { "config check /nonexistent", 1, "nonexistent" },
    { "config check a --settings b", 2, "unrecognized option" },
    { "config check a --against current --address localhost:1", 2, "must be an IP" },
    { "status --address localhost:1", 2, "must be an IP" },
    { "status --address 127.0.0.1:1", 3, "no response from 127.0.0.1:1" },
    { "--address=127.0.0.1:1 status", 3, "no response" },
    { "--address 127.0.0.1:1 status", 3, "no response" },
    { "status --key-file /nonexistent", 2, "nonexistent" },
  };
  g_autoptr (Server) server = _server_new ();

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *err = NULL;
    g_assert_cmpint (_run (server, cases[i].line, NULL, &err), ==, cases[i].code);
    g_assert_nonnull (strstr (err, cases[i].err));
  }
  g_assert_cmpuint (server->revision, ==, 5);
}

/* Guards against a refusal that does not tell the caller whether the task may have run. */
static void
test_refusal (void)
{
  g_autoptr (Server) server = _server_new ();
  g_autofree char *err = NULL;
  g_autofree char *plain = NULL;
  g_autofree char *out = NULL;

  server->status = 503;
  server->response_body
      = "{\"error\":{\"reason\":\"queue-full\",\"message\":\"full\",\"run\":\"no\"}}";
  g_assert_cmpint (_run (server, "--json get 0123456789abcdef0123456789abcdef", &out, &err), ==, 1);
  g_assert_nonnull (strstr (err, "refused: full (queue-full; run: no)"));
  g_assert_nonnull (strstr (out, "\"queue-full\""));
  server->response_body = "<html>";
  g_assert_cmpint (_run (server, "status", NULL, &plain), ==, 1);
  g_assert_nonnull (strstr (plain, "HTTP status 503"));
}

/* Guards against an edit that overwrites another operator's change or fails at the first conflict.
 */
static void
test_edit (void)
{
  g_autoptr (Server) server = _server_new ();
  g_autofree char *out = NULL;
  g_autofree char *json = NULL;
  g_autofree char *withdraw = NULL;
  g_autoptr (VpConfig) config = NULL;
  g_autoptr (VpConfig) given = NULL;
  g_autoptr (VpConfig) withdrawn = NULL;
  char key[64] = "";
  char digest[65] = "";

  server->conflict_count = 3;
  g_assert_cmpint (_run (server, "team set t --share 7 --mem-mib 9", NULL, NULL), ==, 0);
  g_assert_cmpint (
      _run (server, "team set a --cpu-milli 10 --mem-mib 20 --accel-count 1", NULL, NULL), ==, 0);
  g_assert_cmpint (_run (server, "profile set p --kind gang --open yes --priority 9", NULL, NULL),
                   ==, 0);
  g_assert_cmpint (_run (server, "profile set p --open no --spread yes", NULL, NULL), ==, 0);
  config = _config (server);
  g_assert_cmpint (vp_config_team (config, "t")->share, ==, 7);
  g_assert_cmpint (vp_config_team (config, "t")->limit.cpu_milli, ==, 1);
  g_assert_cmpint (vp_config_team (config, "t")->limit.mem_mib, ==, 9);
  g_assert_cmpint (vp_config_team (config, "a")->limit.accel_count, ==, 1);
  g_assert_cmpint (vp_config_profile (config, "p")->kind, ==, VP_PROFILE_GANG);
  g_assert_cmpint (vp_config_profile (config, "p")->priority, ==, 9);
  g_assert_true (vp_config_profile (config, "p")->is_spread
                 && !vp_config_profile (config, "p")->is_open);

  g_assert_cmpint (_run (server, "key give a --note laptop --json", &json, NULL), ==, 0);
  g_assert_cmpint (sscanf (json, "{\"key\":\"%63[^\"]\",\"sha256\":\"%64[^\"]\"}", key, digest), ==,
                   2);
  given = _config (server);
  g_assert_cmpstr (vp_config_key_team (given, key)->name, ==, "a");
  g_assert_null (strstr (server->log->str, key));
  digest[10] = '\0';
  withdraw = g_strdup_printf ("key withdraw %s", digest);
  g_assert_cmpint (_run (server, withdraw, NULL, NULL), ==, 0);
  withdrawn = _config (server);
  g_assert_null (vp_config_key_team (withdrawn, key));

  server->conflict_count = 100;
  g_assert_cmpint (_run (server, "team set t --share 8", NULL, NULL), ==, 4);
}

/* Guards against a document that the offline check accepts and the service refuses, and against a
 * submission that replaces a revision that the operator has not seen. */
static void
test_config_files (void)
{
  g_autoptr (Server) server = _server_new ();
  g_autofree char *path = NULL;
  g_autofree char *validate = NULL;
  g_autofree char *submit = NULL;
  g_autofree char *submit_old = NULL;
  g_autofree char *both = NULL;
  g_autofree char *out = NULL;
  g_autofree char *err = NULL;
  g_autofree char *watched = NULL;

  g_close (g_file_open_tmp ("vp-cli-XXXXXX", &path, NULL), NULL);
  validate = g_strdup_printf ("config validate %s", path);
  submit = g_strdup_printf ("config submit %s", path);
  submit_old = g_strdup_printf ("config submit %s --revision 4", path);
  both = g_strdup_printf ("config validate %s --settings %s", path, path);
  g_assert_cmpint (_run (server, "config get", &out, NULL), ==, 0);
  g_assert_true (g_file_set_contents (path, out, -1, NULL));
  g_assert_cmpint (_run (NULL, validate, NULL, NULL), ==, 0);
  g_assert_cmpint (_run (NULL, both, NULL, &err), ==, 1);
  g_assert_nonnull (strstr (err, "name: missing"));
  g_assert_cmpint (_run (server, submit_old, NULL, NULL), ==, 4);
  g_assert_cmpint (_run (server, submit, NULL, NULL), ==, 0);
  g_assert_cmpuint (server->revision, ==, 6);
  g_assert_cmpint (_run (server, "config watch --revision 5 --changes 1", &watched, NULL), ==, 0);
  g_assert_cmpstr (watched, ==, "revision 6\n");
  g_assert_true (g_file_set_contents (path, "{\"dcs\":[],\"dcs\":[]}", -1, NULL));
  g_assert_cmpint (_run (NULL, validate, NULL, NULL), ==, 1);
  g_assert_cmpint (_run (server, submit, NULL, NULL), ==, 1);
  g_assert_cmpuint (server->revision, ==, 6);
  g_assert_cmpint (g_remove (path), ==, 0);
}

static char *
_write_file (const char *text)
{
  char *path = NULL;

  g_close (g_file_open_tmp ("vp-cli-XXXXXX", &path, NULL), NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Guards against a check that a script takes for passed although there are errors, one that needs
 * the service without --against, and a comparison with another revision than the one named. */
static void
test_config_check (void)
{
#define OWN_TEAM(share, cpu)                                                                       \
  "{\"dcs\":[\"nadi\"],\"teams\":[{\"name\":\"t\",\"share\":" share                                \
  ",\"limit\":{\"cpu_milli\":" cpu ",\"mem_mib\":" cpu "}}],\"profiles\":[]}"
#define CELL_QUEUE(name)                                                                           \
  "{\"name\":\"" name                                                                              \
  "\",\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"desk\",\"max_attempts\":1,"                  \
  "\"stretch\":1,\"public\":true}"
  static const char *const texts[] = {
    OWN_TEAM ("3", "2"),
    OWN_TEAM ("3", "0"),
    "{\"version\":1,\"routes\":[" CELL_QUEUE ("a") "]}",
    "{\"version\":2,\"routes\":[" CELL_QUEUE ("a") "," CELL_QUEUE ("b") "]}",
    "{\"dcs\":[]}",
    "{\"version\":1,\"routes\":[{\"name\":7}]}",
  };
  /* %1 to %6 are the files with the texts. */
  static const struct {
    const char *line;
    bool has_service;
    int code;
    const char *out; /* part of stdout */
    const char *err; /* part of stderr */
  } cases[] = {
    { "config check %1", false, 0, "0 errors, 0 warnings, 0 changes\n", "" },
    { "config check %2", false, 1, "error zero-limit teams[t].limit: ", "" },
    { "config check %3", false, 0, "0 errors, 0 warnings, 0 changes\n", "" },
    { "config check %4", false, 1, "error hidden routes[1].prefix: the queue 'a' has", "" },
    { "config check %5", false, 1, "error invalid teams: missing\n1 errors", "" },
    { "config check %6", false, 1, "error invalid routes[0].name: has an unexpected type", "" },
    { "config check %1 --json", false, 0, "{\"valid\":true,\"findings\":[]}\n", "" },
    { "config check %5 --json", false, 1,
      "{\"valid\":false,\"findings\":[{\"severity\":\"error\",\"kind\":\"invalid\","
      "\"path\":\"teams\",\"text\":\"missing\"}]}\n",
      "" },
    { "config check %1 --against %1", false, 0, " 0 changes\n", "" },
    { "config check %2 --against %1", false, 1,
      "change changed teams[t].limit.cpu_milli: changed from 2 to 0\n", "" },
    { "config check %4 --against %3", false, 1, "change added routes[b]: added\n", "" },
    { "config check %1 --against %3", false, 2, "", "different forms" },
    { "config check %1 --against %5", false, 1, "", "teams: missing" },
    { "config check %1 --against /nonexistent", false, 1, "", "nonexistent" },
    { "config check %3 --against current", true, 2, "", "with files only" },
    { "config check %1 --against current", false, 3, "", "no response" },
    { "config check %1 --against current", true, 0,
      "change changed teams[t].share: changed from 1 to 3\n"
      "change changed teams[t].limit.cpu_milli: changed from 1 to 2\n"
      "0 errors, 0 warnings, 2 changes\n",
      "" },
    { "config check %1 --against 5", true, 0, "2 changes\n", "" },
    { "config check %1 --against 4", true, 4, "", "revision 4 is not the current one" },
  };
  g_autoptr (Server) server = _server_new ();
  char *paths[G_N_ELEMENTS (texts)];

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    paths[i] = _write_file (texts[i]);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autoptr (GString) line = g_string_new (cases[i].line);
    g_autofree char *out = NULL;
    g_autofree char *err = NULL;
    for (guint j = 0; j < G_N_ELEMENTS (texts); j++) {
      char name[] = { '%', (char)('1' + j), '\0' };
      g_string_replace (line, name, paths[j], 0);
    }
    g_assert_cmpint (_run (cases[i].has_service ? server : NULL, line->str, &out, &err), ==,
                     cases[i].code);
    g_assert_nonnull (strstr (out, cases[i].out));
    g_assert_nonnull (strstr (err, cases[i].err));
  }
  g_assert_cmpuint (server->revision, ==, 5);
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++) {
    g_assert_cmpint (g_remove (paths[i]), ==, 0);
    g_free (paths[i]);
  }
}

/* Guards against requests that differ from the documented interface, and output that omits part of
 * a response or sends control characters to the terminal. */
static void
test_calls (void)
{
  static const struct {
    const char *line;
    const char *response_body;
    const char *call; /* part of the log */
    const char *out;  /* part of stdout */
  } cases[] = {
    { "submit --team t --profile p --cpu-milli 5 --mem-mib 6 --repeatable --no-wait --payload a\"b",
      "{\"task\":\"x\",\"state\":\"queued\"}",
      "POST /v1/tasks Bearer secret {\"team\":\"t\",\"profile\":\"p\",\"size\":{\"cpu_milli\":5,"
      "\"mem_mib\":6},\"repeatable\":true,\"wait\":false,\"payload\":\"a\\\"b\"}\n",
      "state                    queued\n" },
    { "get --team t --identity a/b", "{}", "GET /v1/tasks Bearer secret \n", "" },
    { "cancel 0123456789abcdef0123456789abcdef", "{}",
      "DELETE /v1/tasks/0123456789abcdef0123456789abcdef Bearer", "" },
    { "cancel --team t 0123456789abcdef0123456789abcdef x", "{}",
      "POST /v1/cancel Bearer secret "
      "{\"team\":\"t\",\"tasks\":[\"0123456789abcdef0123456789abcdef\",\"x\"]}\n",
      "" },
    { "explain 0123456789abcdef0123456789abcdef", "{\"explanation\":\"a\\u001b[31mb\"}",
      "GET /v1/tasks/0123456789abcdef0123456789abcdef/explain", "a?[31mb\n" },
    { "audit", "[{\"revision\":2,\"at_ms\":1700000000000},{\"revision\":1,\"who\":\"o\"}]",
      "GET /v1/audit",
      "revision  at_ms                 who\n2         2023-11-14T22:13:20Z  -\n1         -   " },
    { "status", "{\"dc\":\"nadi\",\"total\":{\"cpu_milli\":3},\"teams\":[{\"name\":\"t\"}]}",
      "GET /v1/status",
      "dc                       nadi\ntotal.cpu_milli          3\n\nteams:\nname\nt\n" },
    { "counters", "# HELP a b\na_total 3\nh_bucket{le=\"1\"} 0\nh_count 0\n", "GET /metrics",
      "a_total                                          3\nh_count" },
    { "counters --json", "# HELP a b\na_total 3\nh_bucket{le=\"1\"} 0\n", "GET /metrics",
      "{\"a_total\":3,\"h_bucket{le=\\\"1\\\"}\":0}\n" },
  };
  g_autoptr (Server) server = _server_new ();

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *out = NULL;
    server->response_body = cases[i].response_body;
    g_string_truncate (server->log, 0);
    g_assert_cmpint (_run (server, cases[i].line, &out, NULL), ==, 0);
    g_assert_nonnull (strstr (server->log->str, cases[i].call));
    g_assert_nonnull (strstr (out, cases[i].out));
  }
}

int
main (int argc, char **argv)
{
  g_autofree char *dir = g_path_get_dirname (argv[0]);

  cli_path = g_build_filename (dir, "..", "verbenapulley", NULL);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cli/exit-status", test_exit_status);
  g_test_add_func ("/cli/refusal", test_refusal);
  g_test_add_func ("/cli/edit", test_edit);
  g_test_add_func ("/cli/config-files", test_config_files);
  g_test_add_func ("/cli/config-check", test_config_check);
  g_test_add_func ("/cli/calls", test_calls);
  return g_test_run ();
}
