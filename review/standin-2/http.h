/* HTTP/1.1 on the GLib main loop, as server and as client, for the stand-ins of review 2. Bodies
 * have a Content-Length. Loopback addresses only. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct _HttpCall HttpCall;

/* A request that was received. It is valid until http_reply(). */
typedef void (*HttpHandler) (HttpCall *call, void *data);
/* @status is 0 if no complete response arrived; @body is NULL then. @retry_after_s is 0 if the
 * response has none. */
typedef void (*HttpDone) (int status, const char *body, int retry_after_s, void *data);

int64_t now_ms (void);      /* steady clock */
int64_t unix_now_ms (void); /* time of day */
uint16_t http_free_port (void);

typedef struct _HttpServer HttpServer;
HttpServer *http_listen (uint16_t port, HttpHandler handler, void *data);
/* Closes the listening socket and all connections, as the end of the process does. */
void http_shut (HttpServer *server);

const char *http_call_method (const HttpCall *call);
const char *http_call_path (const HttpCall *call);
const char *http_call_body (const HttpCall *call);
/* Copies the value of a header, or of a field of the query. Returns NULL if there is none. */
char *http_call_header (const HttpCall *call, const char *name);
char *http_call_query (const HttpCall *call, const char *name);
void http_reply (HttpCall *call, int status, const char *body);
/* The same after a delay. */
void http_reply_later (HttpCall *call, int status, char *body, guint delay_ms);

/* @headers are complete lines. @body may be NULL. */
void http_send (uint16_t port,
                const char *method,
                const char *path,
                const char *headers,
                const char *body,
                guint timeout_ms,
                HttpDone done,
                void *data);
