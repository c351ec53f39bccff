/* Tests the errors that callers get from a whole deployment: HTTP status, reason and whether the
 * task may have run. */
#include "cluster.h"
#include "fake-http.h"
#include "vp-config.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BASE         169
#define BODY_MAX     2048  /* bytes; "body_max" of the settings */
#define CALL_MS      30000 /* far above what an answer takes */
#define SIZE(cpu)    "\"size\":{\"cpu_milli\":" #cpu ",\"mem_mib\":64}"
#define TASK(p, cpu) "{\"team\":\"red\",\"profile\":\"" p "\"," SIZE (cpu) ",\"repeatable\":true}"

typedef struct {
  const char *name, *key, *body; /* a NULL body is replaced by one of more than BODY_MAX bytes */
  int status;
  const char *reason, *run;
} Row;

static const Row rows[] = {
  { "bad-key", "wrong", TASK ("call", 100), 401, "bad-key", "no" },
  { "no-key", NULL, TASK ("call", 100), 401, "bad-key", "no" },
  { "malformed", "red-key", "{\"team\":", 400, "bad-request", "no" },
  { "no-size", "red-key", "{\"team\":\"red\",\"profile\":\"call\"}", 400, "bad-request", "no" },
  { "oversized", "red-key", NULL, 413, "too-large", "no" },
  { "unknown-profile", "red-key", TASK ("none", 100), 400, "unknown-profile", "no" },
  { "impossible-size", "red-key", TASK ("call", 64000), 422, "impossible-size", "no" },
};

static Cluster *cluster;

static void
check_error (const ClusterReply *reply, int status, const char *reason, const char *run)
{
  JsonObject *object, *error;

  g_assert_cmpint (reply->status, ==, status);
  object = fake_json_parse (reply->body->str, (gssize)reply->body->len);
  g_assert_nonnull (object);
  error = json_object_get_object_member (object, "error");
  g_assert_cmpstr (fake_json_string (error, "reason", ""), ==, reason);
  g_assert_cmpstr (fake_json_string (error, "run", ""), ==, run);
  json_object_unref (object);
}

/* Guards against a wrong error, due to which callers would repeat requests that may have run, or
 * not repeat those that did not. */
static void
test_error (gconstpointer data)
{
  const Row *row = data;
  g_autofree char *large = g_strnfill (BODY_MAX + 1, ' ');
  ClusterClient client = { .fd = -1 };
  ClusterReply reply;

  g_strlcpy (client.address, cluster_entry (cluster, 0)->http, sizeof client.address);
  cluster_client_call (&client, "POST", "/v1/tasks", row->key,
                       row->body != NULL ? row->body : large, CALL_MS, &reply);
  check_error (&reply, row->status, row->reason, row->run);
  cluster_client_close (&client);
  cluster_reply_clear (&reply);
}

/* Guards against callers that keep a connection occupied without sending a complete request. */
static void
test_slow_client (void)
{
  struct sockaddr_in address = fake_address (cluster_entry (cluster, 0)->http);
  const char *head = "POST /v1/tasks HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{";
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_autoptr (GString) text = g_string_new (NULL);
  ClusterReply reply = { .body = text };
  char buffer[4096];
  ssize_t count;

  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (send (fd, head, strlen (head), MSG_NOSIGNAL), ==, (int)strlen (head));
  /* Reads until the server closes the connection. */
  while ((count = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (text, buffer, count);
  close (fd);
  g_assert_true (g_str_has_prefix (text->str, "HTTP/1.1 408 "));
  reply.status = 408;
  g_string_erase (text, 0, strstr (text->str, "\r\n\r\n") + 4 - text->str);
  check_error (&reply, 408, "slow-client", "no");
}

int
main (int argc, char **argv)
{
  static const char *const dcs[] = { "nadi", NULL };
  g_autofree char *config = NULL;
  char digest[65];
  int status;

  g_test_init (&argc, &argv, NULL);
  vp_config_key_digest ("red-key", digest);
  config = g_strdup_printf (
      "{\"dcs\":[\"nadi\"],\"teams\":[{\"name\":\"red\",\"share\":1,\"limit\":{\"cpu_milli\":"
      "1000000,"
      "\"mem_mib\":1000000,\"accel_count\":0}}],\"profiles\":[{\"name\":\"call\",\"kind\":"
      "\"service\",\"priority\":50}],\"keys\":[{\"sha256\":\"%s\",\"team\":\"red\"}]}",
      digest);
  cluster = cluster_start (
      &(ClusterDesc){ .base = BASE,
                      .dcs = dcs,
                      .entries_per_dc = 2,
                      .worker_count = 2,
                      .is_direct = true,
                      .config = config,
                      .settings = "\"client_timeout_ms\": 500, \"body_max\": 2048" });
  cluster_wait_owners (cluster);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++) {
    g_autofree char *path = g_strdup_printf ("/errors/%s", rows[i].name);
    g_test_add_data_func (path, &rows[i], test_error);
  }
  g_test_add_func ("/errors/slow-client", test_slow_client);
  status = g_test_run ();
  cluster_stop (cluster);
  return status;
}
