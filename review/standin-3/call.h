/* One HTTP call on a new connection, for the clients and stand-ins of the cases. Blocks.
 *
 *   CallReply reply;
 *   call_http ("127.1.2.3:8183", &(CallRequest){ .method = "GET", .path = "/queue/0" }, &reply);
 *   if (reply.status == 0)
 *     ... no complete answer ...
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#define CALL_BODY_MAX 32768

typedef struct {
  const char *method;
  const char *path;
  const char *host;   /* NULL: none */
  const char *key;    /* sent as "Authorization: Token KEY"; NULL: none */
  const char *body;   /* NULL: none */
  int64_t timeout_ms; /* also sent as Deadline-Ms; 0: 3,000 */
} CallRequest;

typedef struct {
  uint32_t status;         /* 0: no complete answer */
  uint32_t retry_after_ms; /* 0: the answer has no Retry-After */
  char body[CALL_BODY_MAX];
} CallReply;

void call_http (const char *address, const CallRequest *request, CallReply *out);
