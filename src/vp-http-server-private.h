/* State of the HTTP server, shared by its files. Not part of the interface.
 *
 *   vp-http-server.c           setup, shutdown, responses
 *   vp-http-server-request.c   requests on the HTTP threads: headers, body, suspension, reply
 *   vp-http-server-accept.c    the watcher thread: accepts connections, closes slow ones; quiesce
 */
#pragma once

#include "vp-http-route.h"
#include "vp-http-server.h"

#include <microhttpd.h>
#include <pthread.h>

#define VP_HTTP_SERVER_BACKLOG    1024
#define VP_HTTP_SERVER_REPORT_MAX 512              /* bytes of a report */
#define VP_HTTP_SERVER_WAKE_ID    UINT64_MAX       /* epoll data of the wake-up eventfd */
#define VP_HTTP_SERVER_LISTEN_ID  (UINT64_MAX - 1) /* epoll data of the listening socket */

typedef enum {
  VP_HTTP_SERVER_RECEIVING,
  VP_HTTP_SERVER_WAITING,        /* the request is posted and the connection suspended */
  VP_HTTP_SERVER_RESPONSE_READY, /* the response is ready */
  VP_HTTP_SERVER_ABORTED,        /* the caller closed the connection, or the server stops */
} VpHttpServerState;

typedef struct _VpHttpServerCall VpHttpServerCall;

/* An accepted connection. */
typedef struct {
  VpHttpBudgetEntry entry; /* first member */
  int fd;
  bool has_headers;       /* the headers of a request were received, its body was not */
  VpHttpServerCall *call; /* the request from its headers on; NULL: none */
} VpHttpServerConnection;

/* A part of a body. */
typedef struct _VpHttpServerChunk VpHttpServerChunk;
struct _VpHttpServerChunk {
  VpHttpServerChunk *next;
  uint32_t used; /* bytes */
  uint32_t size; /* bytes */
  char data[];
};

struct _VpHttpServerCall {
  struct MHD_Connection *connection;
  VpHttpServerConnection *conn;
  uint64_t handle;
  VpHttpServerState state;
  struct MHD_Response *response;
  uint32_t status;
  VpHttpRoute route;
  const char *method; /* method and path are owned by MHD */
  const char *path;
  bool is_refused; /* refused for its path, headers or size; the body is discarded */
  bool is_skipped; /* its body was declined by wants_body() and is discarded */
  uint64_t size;   /* length of the body that the headers state; UINT64_MAX: unknown */
  /* Parts of the body; the lock is held to change them. */
  VpHttpServerChunk *first;
  VpHttpServerChunk *last;
  size_t body_size;        /* bytes of the parts */
  bool is_unwritten;       /* counted in VpHttpServer.unwritten_count */
  uint64_t discarded_size; /* bytes of the body that were discarded */
  int64_t arrived_us;
};

struct _VpHttpServer {
  VpHttpServerDesc desc;
  struct MHD_Daemon *daemon;
  int listen_fd;
  bool is_quiesced; /* atomic */
  uint16_t port;
  pthread_mutex_t accept_lock; /* held while connections are accepted; taken before lock */
  pthread_mutex_t lock;
  pthread_cond_t flushed;
  GHashTable *waiting; /* handle -> VpHttpServerCall in state VP_HTTP_SERVER_WAITING */
  VpHttpBudget budget;
  uint64_t last_handle;
  uint32_t unwritten_count; /* replies that are not written yet */
  uint32_t posting_count;   /* requests whose event is not posted yet */
  /* Accepted connections that MHD has not begun to serve: descriptor -> VpHttpServerConnection. */
  GHashTable *adopted;
  uint32_t connection_count; /* with those that are closing */
  bool is_stopping;          /* requests are refused */
  /* Accepts connections, and detects slow clients, and closed connections among the suspended ones,
   * which MHD does not poll. */
  GThread *watcher;
  int epoll_fd;
  int wake_fd;
};

int64_t _vp_http_server_now_ms (void);
struct MHD_Response *_vp_http_server_response (const VpHttpServer *http,
                                               uint32_t status,
                                               uint32_t retry_after_s,
                                               GBytes *body,
                                               const char *content_type);
void _vp_http_server_on_connection (void *data,
                                    struct MHD_Connection *connection,
                                    void **socket_context,
                                    enum MHD_ConnectionNotificationCode code);
void _vp_http_server_on_completed (void *data,
                                   struct MHD_Connection *connection,
                                   void **context,
                                   enum MHD_RequestTerminationCode code);
enum MHD_Result _vp_http_server_on_request (void *data,
                                            struct MHD_Connection *connection,
                                            const char *path,
                                            const char *method,
                                            const char *version,
                                            const char *upload,
                                            size_t *upload_size,
                                            void **context);
void *
_vp_http_server_on_request_line (void *data, const char *uri, struct MHD_Connection *connection);
/* Frees the parts of the body. The lock is held. */
void _vp_http_server_free_body (VpHttpServerCall *call);
/* Closes a connection and frees what it holds. A request that is being received is told that it has
 * not run. The lock is held. */
void _vp_http_server_close (VpHttpServer *http, VpHttpServerConnection *conn, VpHttpCause cause);
/* Closes a connection in favour of another one, unless it has sent bytes that were not read yet.
 * The lock is held. */
void
_vp_http_server_close_victim (VpHttpServer *http, VpHttpBudgetEntry *victim, VpHttpCause cause);
void _vp_http_server_count_refused (VpHttpCause cause);
void _vp_http_server_abort_closed (VpHttpServer *http, uint64_t handle);
gpointer _vp_http_server_watch (gpointer data);
bool _vp_http_server_set_error (GError **error, const char *what, const char *address);
bool _vp_http_server_listen (VpHttpServer *http, GError **error);
