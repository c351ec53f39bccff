#include "vp-http-client.h"
#include "vp-net.h"
#include "vp-runtime.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_utils.h>
#include <pthread.h>
#include <string.h>

#define VP_HTTP_CLIENT_CONNECT_TIMEOUT_S  1
#define VP_HTTP_CLIENT_DEFAULT_TIMEOUT_MS 1000
/* Fits a value of the store, which has up to 1 MiB, and a report of 4,096 ended attempts with small
 * answers. */
#define VP_HTTP_CLIENT_RESPONSE_MAX (16 * 1024 * 1024)
#define VP_HTTP_CLIENT_BLOCK        4096

struct _VpHttpClient {
  ne_session *session;
  ne_inet_addr *address;
  int timeout_s;          /* read time-out of the current connection */
  bool is_connected;      /* as neon's last notification said */
  uint32_t connect_count; /* connections established during the current call */
  /* State of the current call. */
  const VpHttpClientRequest *call;
  size_t body_offset;
  bool is_expired;
  bool is_withheld; /* the body wasn't sent on a new connection */
};

static void
_vp_http_client_notify (void *data, ne_session_status status, const ne_session_status_info *info)
{
  VpHttpClient *client = data;

  (void)info;
  if (status == ne_status_connected) {
    client->is_connected = true;
    client->connect_count++;
  } else if (status == ne_status_disconnected) {
    client->is_connected = false;
  }
}

static pthread_once_t _vp_http_client_once = PTHREAD_ONCE_INIT;

static void
_vp_http_client_init_neon (void)
{
  ne_sock_init ();
}

VpHttpClient *
vp_http_client_new (const char *address)
{
  const ne_inet_addr *list[1];
  VpNetAddress net;
  VpHttpClient *client;
  bool is_v6;

  if (!vp_net_parse_address (address, &net))
    return NULL;
  pthread_once (&_vp_http_client_once, _vp_http_client_init_neon);
  is_v6 = net.any.sa_family == AF_INET6;
  client = g_new0 (VpHttpClient, 1);
  client->session = ne_session_create ("http", net.host, net.port);
  client->address = ne_iaddr_make (is_v6 ? ne_iaddr_ipv6 : ne_iaddr_ipv4,
                                   is_v6 ? (const unsigned char *)&net.v6.sin6_addr
                                         : (const unsigned char *)&net.v4.sin_addr);
  list[0] = client->address;
  ne_set_addrlist (client->session, list, 1);
  ne_set_connect_timeout (client->session, VP_HTTP_CLIENT_CONNECT_TIMEOUT_S);
  ne_set_notifier (client->session, _vp_http_client_notify, client);
  return client;
}

void
vp_http_client_free (VpHttpClient *client)
{
  if (client == NULL)
    return;
  ne_session_destroy (client->session);
  ne_iaddr_free (client->address);
  g_free (client);
}

bool
vp_http_client_is_connected (const VpHttpClient *client)
{
  return client->is_connected;
}

/* Body provider of neon. The length of the body is announced in the header, so a body that ends
 * early makes the request incomplete, and a server must not carry it out. */
static ssize_t
_vp_http_client_provide_body (void *data, char *buffer, size_t size)
{
  VpHttpClient *client = data;
  const VpHttpClientRequest *call = client->call;
  size_t part = MIN (size, call->body_size - client->body_offset);

  if (call->only_on_open_connection && client->connect_count > 0) {
    client->is_withheld = true;
    return -1;
  }
  if (size == 0) {
    client->body_offset = 0;
    return 0;
  }
  if (part > 0 && call->valid_until_ms != 0 && vp_runtime_now_ms () > call->valid_until_ms) {
    client->is_expired = true;
    return -1;
  }
  memcpy (buffer, (const char *)call->body + client->body_offset, part);
  client->body_offset += part;
  return (ssize_t)part;
}

/* Returns false if the body is truncated, too long, or of unknown length, since a body that ends
 * with the connection can't be told from a truncated one. */
static bool
_vp_http_client_read_body (ne_request *request, uint32_t status, GBytes **out)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  char block[VP_HTTP_CLIENT_BLOCK];
  ssize_t count;

  if (status != 204 && status != 304 && ne_get_response_header (request, "Content-Length") == NULL
      && ne_get_response_header (request, "Transfer-Encoding") == NULL)
    return false;
  while ((count = ne_read_response_block (request, block, VP_HTTP_CLIENT_BLOCK)) > 0) {
    if (body->len + (size_t)count > VP_HTTP_CLIENT_RESPONSE_MAX)
      return false;
    g_byte_array_append (body, (const guint8 *)block, (guint)count);
  }
  if (count < 0)
    return false;
  *out = g_byte_array_free_to_bytes (g_steal_pointer (&body));
  return true;
}

static void
_vp_http_client_read_header (ne_request *request, const char *name, VpHttpClientResponse *response)
{
  const char *text = name == NULL ? NULL : ne_get_response_header (request, name);
  guint64 value;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, UINT64_MAX, &value, NULL))
    return;
  response->has_response_header = true;
  response->response_header_value = value;
}

static VpHttpClientOutcome
_vp_http_client_dispatch (VpHttpClient *client, ne_request *request, VpHttpClientResponse *response)
{
  bool was_connected = client->is_connected && client->call->is_idempotent;
  bool has_response = false;

  if (ne_begin_request (request) == NE_OK) {
    response->status = (uint32_t)ne_get_status (request)->code;
    _vp_http_client_read_header (request, client->call->response_header, response);
    has_response = _vp_http_client_read_body (request, response->status, &response->body)
                   && ne_end_request (request) == NE_OK;
    /* With the status 429 or 503, the request had no effect even if the body was lost. */
    if (!has_response && (response->status == 429 || response->status == 503)) {
      ne_close_connection (client->session);
      has_response = true;
    }
  }
  response->was_resent = client->connect_count + (was_connected ? 1 : 0) > 1;
  if (has_response)
    return VP_HTTP_CLIENT_RESPONDED;
  g_clear_pointer (&response->body, g_bytes_unref);
  /* After a failure the rest of a response may follow on the connection. */
  ne_close_connection (client->session);
  if (client->is_withheld)
    return VP_HTTP_CLIENT_CLOSED;
  if (client->is_expired && !response->was_resent)
    return VP_HTTP_CLIENT_EXPIRED;
  return was_connected || client->connect_count > 0 ? VP_HTTP_CLIENT_UNCERTAIN
                                                    : VP_HTTP_CLIENT_NOT_SENT;
}

void
vp_http_client_call (VpHttpClient *client,
                     const VpHttpClientRequest *call,
                     VpHttpClientResponse *response)
{
  int64_t timeout_ms = call->timeout_ms == 0 ? VP_HTTP_CLIENT_DEFAULT_TIMEOUT_MS : call->timeout_ms;
  ne_request *request;

  memset (response, 0, sizeof *response);
  /* neon closes a persistent connection before a request that is not idempotent. It is closed here
   * too, so that the count of connections does not depend on that. */
  if (!call->is_idempotent)
    ne_close_connection (client->session);
  client->call = call;
  client->connect_count = 0;
  client->body_offset = 0;
  client->is_expired = client->is_withheld = false;
  /* neon applies the time-out when it connects, so a different time-out needs a new connection. */
  if (client->timeout_s != (int)((timeout_ms + 999) / 1000)) {
    client->timeout_s = (int)((timeout_ms + 999) / 1000);
    ne_close_connection (client->session);
    ne_set_read_timeout (client->session, client->timeout_s);
  }
  response->sent_ms = vp_runtime_now_ms ();
  if (call->only_on_open_connection && !client->is_connected) {
    response->outcome = VP_HTTP_CLIENT_CLOSED;
    return;
  }
  request = ne_request_create (client->session, call->method, call->path);
  ne_set_request_flag (request, NE_REQFLAG_IDEMPOTENT, call->is_idempotent ? 1 : 0);
  if (call->extra_header_name != NULL)
    ne_add_request_header (request, call->extra_header_name, call->extra_header_value);
  if (call->body != NULL) {
    ne_add_request_header (request, "Content-Type",
                           call->content_type == NULL ? "application/json" : call->content_type);
    ne_set_request_body_provider (request, (ne_off_t)call->body_size, _vp_http_client_provide_body,
                                  client);
  }
  response->outcome = _vp_http_client_dispatch (client, request, response);
  ne_request_destroy (request);
  client->call = NULL;
}

void
vp_http_client_response_clear (VpHttpClientResponse *response)
{
  g_clear_pointer (&response->body, g_bytes_unref);
}
