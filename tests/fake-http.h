/* Common code of the stand-ins for outside systems: an epoll event loop with timers, HTTP servers
 * and JSON, all in one thread.
 *
 *   fake_setup ();
 *   fake_listen ("127.0.0.1:7100", 0, handle, data);
 *   fake_run ();  // prints "ready"; exits the process after SIGTERM or SIGINT
 *
 * A handler answers with fake_reply(), or keeps the request and answers later: the connection is
 * suspended meanwhile and the request stays valid until then.
 */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct _FakeServer FakeServer;
typedef struct _FakeSource FakeSource;
typedef GSequenceIter FakeTimer;

typedef struct {
  struct MHD_Connection *connection;
  FakeServer *server;
  const char *method;
  char *path;
  GByteArray *body;
  struct MHD_Response *response; /* set by fake_reply() */
  unsigned status;
  bool is_handled, is_suspended, is_dropped;
} FakeRequest;

typedef void (*FakeHandler) (FakeRequest *request, void *data);
typedef void (*FakeTimerFunc) (void *data);

void fake_setup (void);
void fake_run (void);
/* Unix time in ms. It never steps back, and advances while the process is stopped. */
int64_t fake_now_ms (void);
/* Parses "IPv4:port"; exits with a message if @text is something else. */
struct sockaddr_in fake_address (const char *text);
/* Starts an HTTP server; exits with a message if it can't listen. @connections_max 0: 4,096. */
FakeServer *
fake_listen (const char *address, unsigned connections_max, FakeHandler handler, void *data);

/* Calls @func while epoll reports any of @events on @fd; fake_unwatch() does not close it. */
FakeSource *
fake_watch (int fd, uint32_t events, void (*func) (uint32_t events, void *data), void *data);
/* Changes the watched events. */
void fake_set_events (FakeSource *source, uint32_t events);
void fake_unwatch (FakeSource **source);
/* Calls @func at @at_ms, as of fake_now_ms(). The timer is freed before that call, so its holder
 * must clear its pointer. */
FakeTimer *fake_timer_add (int64_t at_ms, FakeTimerFunc func, void *data);
void fake_timer_cancel (FakeTimer **timer);

/* Whether method and path match. A @path that ends in "/" is a prefix; @rest is then set to what
 * follows it. */
bool
fake_request_is (FakeRequest *request, const char *method, const char *path, const char **rest);
int64_t fake_request_int (FakeRequest *request, const char *name, int64_t fallback);
/* The body as a JSON object, owned by the caller; NULL if it is none. */
JsonObject *fake_request_json (FakeRequest *request);
/* Answers with @body, which may be NULL. Adds the header @header with @value unless it is NULL. */
void fake_reply (FakeRequest *request,
                 unsigned status,
                 const char *header,
                 uint64_t value,
                 GBytes *body);
/* Answers with a JSON object, which it takes over. */
void fake_reply_json (FakeRequest *request, unsigned status, JsonObject *object);
/* Closes the connection without an answer. */
void fake_abort (FakeRequest *request);

/* The object in @text, owned by the caller; NULL if it is none. */
JsonObject *fake_json_parse (const char *text, gssize size);
/* Exits with a message if the file holds no JSON object. */
JsonObject *fake_json_load (const char *path);
/* The field, or @fallback if it is missing or of another type. Booleans are returned as 0 and 1. */
int64_t fake_json_int (JsonObject *object, const char *field, int64_t fallback);
const char *fake_json_string (JsonObject *object, const char *field, const char *fallback);
