#include "cli.h"

#include "vp-json.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum {
  CLI_CONNECT_TIMEOUT_S = 5,
  /* Longer than the longest wait of the service, which is 30 s for a configuration. A submission
     that waits for its task may take longer. Its outcome can then be requested by its identity. */
  CLI_READ_TIMEOUT_S = 120,
  CLI_BODY_MAX = 64 * 1024 * 1024,
};

void
cli_print_error (const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "verbenapulley: %s\n", text);
}

void
cli_response_clear (CliResponse *response)
{
  g_clear_pointer (&response->body, g_free);
}

/* Returns the JSON object in the response, or NULL if it contains none. */
static JsonNode *
_cli_parse_object (const CliResponse *response)
{
  JsonNode *root;

  if (response->body == NULL)
    return NULL;
  root = vp_json_load_root (response->body, response->size);
  if (root != NULL && !JSON_NODE_HOLDS_OBJECT (root))
    g_clear_pointer (&root, json_node_unref);
  return root;
}

static const char *
_cli_get_string (JsonObject *object, const char *name)
{
  return json_object_has_member (object, name)
             ? json_object_get_string_member_with_default (object, name, "")
             : "";
}

static JsonObject *
_cli_get_error (JsonNode *root)
{
  JsonObject *object = root != NULL ? json_node_get_object (root) : NULL;
  JsonNode *error = object != NULL ? json_object_get_member (object, "error") : NULL;

  return error != NULL && JSON_NODE_HOLDS_OBJECT (error) ? json_node_get_object (error) : NULL;
}

void
cli_print_refusal (const CliResponse *response)
{
  g_autoptr (JsonNode) root = _cli_parse_object (response);
  JsonObject *error = _cli_get_error (root);

  if (error == NULL)
    cli_print_error ("refused with HTTP status %u", response->status);
  else
    cli_print_error ("refused: %s (%s; run: %s)", _cli_get_string (error, "message"),
                     _cli_get_string (error, "reason"), _cli_get_string (error, "run"));
}

int64_t
cli_response_int (const CliResponse *response, const char *name)
{
  g_autoptr (JsonNode) root = _cli_parse_object (response);
  JsonObject *object = root != NULL ? json_node_get_object (root) : NULL;

  return object != NULL && json_object_has_member (object, name)
             ? json_object_get_int_member_with_default (object, name, 0)
             : 0;
}

static bool
_cli_is_conflict (const CliResponse *response)
{
  g_autoptr (JsonNode) root = _cli_parse_object (response);
  JsonObject *error = _cli_get_error (root);

  return error != NULL
         && strcmp (_cli_get_string (error, "reason"), vp_reason_token (VP_REASON_CONFLICT)) == 0;
}

/* Reads the whole body. Returns NE_ERROR if it is too long. */
static int
_cli_read_body (ne_request *request, CliResponse *response)
{
  g_autoptr (GString) body = g_string_new (NULL);
  char block[8192];
  ssize_t size;

  while ((size = ne_read_response_block (request, block, sizeof block)) > 0) {
    if (body->len + (size_t)size > CLI_BODY_MAX)
      return NE_ERROR;
    g_string_append_len (body, block, size);
  }
  if (size < 0)
    return NE_ERROR;
  g_free (response->body);
  response->size = body->len;
  response->body = g_string_free (g_steal_pointer (&body), FALSE);
  return ne_end_request (request);
}

static int
_cli_dispatch (const Cli *cli, ne_request *request, const char *body, CliResponse *response)
{
  int code;

  if (cli->key[0] != '\0')
    ne_print_request_header (request, "Authorization", "Bearer %s", cli->key);
  if (body != NULL) {
    ne_add_request_header (request, "Content-Type", "application/json");
    ne_set_request_body_buffer (request, body, strlen (body));
  }
  do {
    code = ne_begin_request (request);
    if (code != NE_OK)
      return code;
    code = _cli_read_body (request, response);
  } while (code == NE_RETRY);
  response->status = (uint32_t)ne_get_status (request)->code;
  return code;
}

CliExitStatus
cli_call (const Cli *cli,
          const char *method,
          const char *path,
          const char *body,
          CliResponse *response)
{
  const char *colon = strrchr (cli->address, ':');
  g_autofree char *host = g_strndup (cli->address, colon - cli->address);
  ne_session *session
      = ne_session_create ("http", host, (unsigned int)g_ascii_strtoull (colon + 1, NULL, 10));
  ne_request *request = ne_request_create (session, method, path);
  int code;

  ne_set_connect_timeout (session, CLI_CONNECT_TIMEOUT_S);
  ne_set_read_timeout (session, CLI_READ_TIMEOUT_S);
  /* On persistent connections neon sends a request again after a failure, even if it is not
   * idempotent. */
  ne_set_session_flag (session, NE_SESSFLAG_PERSIST, 0);
  code = _cli_dispatch (cli, request, body, response);
  if (code != NE_OK)
    cli_print_error ("no response from %s: %s%s", cli->address, ne_get_error (session),
                     strcmp (method, "GET") == 0 || code == NE_CONNECT
                         ? ""
                         : "; the request may have been "
                           "carried out");
  ne_request_destroy (request);
  ne_session_destroy (session);
  if (code != NE_OK)
    return CLI_UNREACHABLE;
  if (response->status < 300)
    return CLI_OK;
  if (_cli_is_conflict (response))
    return CLI_CONFLICT;
  if (cli->is_json)
    printf ("%s\n", response->body);
  cli_print_refusal (response);
  return CLI_REFUSED;
}
