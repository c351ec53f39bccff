/* Numeric socket addresses, "127.0.0.1:80" or "[::1]:80". Names are never resolved.
 *
 *   VpNetAddress address;
 *   if (!vp_net_parse_address ("127.0.0.1:0", &address))
 *     return FALSE;
 *   bind (fd, &address.any, address.size);
 */
#pragma once

#include "vp-types.h"

#include <netinet/in.h>
#include <sys/socket.h>

typedef struct {
  union {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  };
  socklen_t size;
  char host[VP_ADDRESS_MAX]; /* host part of a URL: IPv6 addresses have brackets */
  uint16_t port;             /* host byte order */
} VpNetAddress;

/* Returns false if @text is not a numeric address with a port. */
bool vp_net_parse_address (const char *text, VpNetAddress *out);
/* Returns the port that socket @fd is bound to, or 0 if it can't be read. */
uint16_t vp_net_bound_port (int fd);
