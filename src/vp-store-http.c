#include "vp-http-client.h"
#include "vp-store.h"

#include <string.h>

/* The store responds to a watch at the latest when its wait is over. The response may take this
 * much longer to arrive. */
#define VP_STORE_WATCH_GRACE_MS 2000
/* Wait of a watch whose operation has no time-out. */
#define VP_STORE_WATCH_MS 10000

typedef struct {
  VpStore base;
  GPtrArray *clients; /* VpHttpClient; one for each address */
  guint current;      /* index of the client that the next call uses first */
} VpStoreHttp;

/* Fills in the HTTP request that executes @op. The caller frees @path. */
static void
_vp_store_http_prepare (const VpStoreOp *op, VpHttpClientRequest *call, char **path)
{
  g_autofree char *key = g_uri_escape_string (op->key, "/", FALSE);
  int64_t watch_ms = op->timeout_ms == 0 ? VP_STORE_WATCH_MS : op->timeout_ms;

  call->timeout_ms = op->timeout_ms;
  call->response_header = op->kind == VP_STORE_LEASE_GRANT ? "X-Lease" : "X-Version";
  switch (op->kind) {
  case VP_STORE_GET:
    call->method = "GET";
    *path = g_strdup_printf ("/v1/kv/%s", key);
    call->is_idempotent = true;
    break;
  case VP_STORE_WATCH:
    call->method = "GET";
    *path = g_strdup_printf ("/v1/kv/%s?watch=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT, key,
                             op->version, watch_ms);
    call->is_idempotent = true;
    call->timeout_ms = watch_ms + VP_STORE_WATCH_GRACE_MS;
    break;
  case VP_STORE_CAS: {
    g_autofree char *lease
        = op->lease == 0 ? g_strdup ("") : g_strdup_printf ("&lease=%" G_GUINT64_FORMAT, op->lease);
    call->method = "PUT";
    *path = g_strdup_printf ("/v1/kv/%s?version=%" G_GUINT64_FORMAT "%s", key, op->version, lease);
    call->body = op->value == NULL ? "" : g_bytes_get_data (op->value, &call->body_size);
    call->content_type = "application/octet-stream";
    break;
  }
  case VP_STORE_DELETE:
    call->method = "DELETE";
    *path = g_strdup_printf ("/v1/kv/%s?version=%" G_GUINT64_FORMAT, key, op->version);
    break;
  case VP_STORE_LEASE_GRANT:
    call->method = "POST";
    *path = g_strdup_printf ("/v1/leases?ttl_ms=%" G_GINT64_FORMAT, op->ttl_ms);
    break;
  case VP_STORE_LEASE_RENEW:
  case VP_STORE_LEASE_REVOKE:
    call->method = op->kind == VP_STORE_LEASE_RENEW ? "POST" : "DELETE";
    *path = g_strdup_printf ("/v1/leases/%" G_GUINT64_FORMAT, op->lease);
    /* Renewing or revoking a lease twice has the same effect as doing it once. */
    call->is_idempotent = true;
    break;
  }
  call->path = *path;
}

/* Takes the value and its version from a response. A response without a version does not come from
 * the store. */
static VpStoreStatus
_vp_store_http_take_value (VpHttpClientResponse *response,
                           VpStoreStatus status,
                           VpStoreResult *result)
{
  if (!response->has_response_header
      || (status == VP_STORE_OK && response->response_header_value == 0))
    return VP_STORE_UNKNOWN;
  result->version = response->response_header_value;
  if (result->version != 0)
    result->value = g_steal_pointer (&response->body);
  return status;
}

static VpStoreStatus
_vp_store_http_classify_read (const VpStoreOp *op,
                              VpHttpClientResponse *response,
                              VpStoreResult *result)
{
  if (response->status == 200)
    return _vp_store_http_take_value (response, VP_STORE_OK, result);
  if (response->status == 404)
    return VP_STORE_NOT_FOUND;
  if (response->status == 304 && op->kind == VP_STORE_WATCH) {
    result->version = op->version;
    return VP_STORE_OK;
  }
  return VP_STORE_UNKNOWN;
}

static VpStoreStatus
_vp_store_http_classify_write (const VpStoreOp *op,
                               VpHttpClientResponse *response,
                               VpStoreResult *result)
{
  switch (response->status) {
  case 200:
    if (op->kind == VP_STORE_DELETE)
      return VP_STORE_OK;
    if (!response->has_response_header || response->response_header_value == 0)
      return VP_STORE_UNKNOWN;
    result->version = response->response_header_value;
    return VP_STORE_OK;
  case 409:
    return _vp_store_http_take_value (response, VP_STORE_CONFLICT, result);
  case 404:
    return op->kind == VP_STORE_DELETE ? VP_STORE_NOT_FOUND : VP_STORE_UNKNOWN;
  case 410: /* the lease of a compare-and-swap has expired */
    return op->lease != 0 ? VP_STORE_NOT_FOUND : VP_STORE_UNKNOWN;
  default:
    return VP_STORE_UNKNOWN;
  }
}

static VpStoreStatus
_vp_store_http_classify_lease (const VpStoreOp *op,
                               const VpHttpClientResponse *response,
                               VpStoreResult *result)
{
  if (op->kind == VP_STORE_LEASE_GRANT) {
    if (response->status != 201 || !response->has_response_header
        || response->response_header_value == 0)
      return VP_STORE_UNKNOWN;
    result->lease = response->response_header_value;
    return VP_STORE_OK;
  }
  if (response->status == 200)
    return VP_STORE_OK;
  return response->status == 404 ? VP_STORE_NOT_FOUND : VP_STORE_UNKNOWN;
}

static VpStoreStatus
_vp_store_http_classify (const VpStoreOp *op, VpHttpClientResponse *response, VpStoreResult *result)
{
  if (response->outcome == VP_HTTP_CLIENT_NOT_SENT)
    return VP_STORE_UNAVAILABLE;
  if (response->outcome != VP_HTTP_CLIENT_RESPONDED)
    return VP_STORE_UNKNOWN;
  /* If the request was sent twice, a refusal of the second one says nothing about the first. */
  if (response->status == 429 || response->status == 503)
    return response->was_resent ? VP_STORE_UNKNOWN : VP_STORE_UNAVAILABLE;
  switch (op->kind) {
  case VP_STORE_GET:
  case VP_STORE_WATCH:
    return _vp_store_http_classify_read (op, response, result);
  case VP_STORE_CAS:
  case VP_STORE_DELETE:
    if (response->was_resent && response->status != 200)
      return VP_STORE_UNKNOWN;
    return _vp_store_http_classify_write (op, response, result);
  case VP_STORE_LEASE_GRANT:
  case VP_STORE_LEASE_RENEW:
  case VP_STORE_LEASE_REVOKE:
    return _vp_store_http_classify_lease (op, response, result);
  }
  return VP_STORE_UNKNOWN;
}

static void
_vp_store_http_call (VpStore *base, const VpStoreOp *op, VpStoreResult *result)
{
  VpStoreHttp *store = (VpStoreHttp *)base;
  g_autofree char *path = NULL;
  VpHttpClientRequest call = { 0 };
  VpHttpClientResponse response;

  memset (result, 0, sizeof *result);
  result->kind = op->kind;
  result->module = op->module;
  result->token = op->token;
  result->lease = op->lease;
  g_strlcpy (result->key, op->key, sizeof result->key);
  result->status = VP_STORE_UNAVAILABLE;
  _vp_store_http_prepare (op, &call, &path);
  /* The next address is tried only if nothing was sent to the current one. */
  for (guint i = 0; i < store->clients->len; i++) {
    vp_http_client_call (g_ptr_array_index (store->clients, store->current), &call, &response);
    result->sent_ms = response.sent_ms;
    result->status = _vp_store_http_classify (op, &response, result);
    vp_http_client_response_clear (&response);
    if (response.outcome == VP_HTTP_CLIENT_RESPONDED)
      return;
    store->current = (store->current + 1) % store->clients->len;
    if (response.outcome != VP_HTTP_CLIENT_NOT_SENT)
      return;
  }
}

static void
_vp_store_http_free (VpStore *base)
{
  VpStoreHttp *store = (VpStoreHttp *)base;

  g_ptr_array_unref (store->clients);
  g_free (store);
}

static const VpStoreVtable _vp_store_http_vtable = {
  .call = _vp_store_http_call,
  .free = _vp_store_http_free,
};

VpStore *
vp_store_http_new (const char *const *addresses)
{
  VpStoreHttp *store = g_new0 (VpStoreHttp, 1);

  store->base.vtable = &_vp_store_http_vtable;
  store->clients = g_ptr_array_new_with_free_func ((GDestroyNotify)vp_http_client_free);
  for (guint i = 0; addresses[i] != NULL; i++) {
    VpHttpClient *client = vp_http_client_new (addresses[i]);
    if (client != NULL)
      g_ptr_array_add (store->clients, client);
  }
  return &store->base;
}
