#include "vp-net.h"

#include <arpa/inet.h>
#include <string.h>

static bool
_vp_net_parse_port (const char *text, uint16_t *out)
{
  guint64 port;

  if (!g_ascii_string_to_unsigned (text, 10, 0, UINT16_MAX, &port, NULL))
    return false;
  *out = (uint16_t)port;
  return true;
}

static bool
_vp_net_parse_v6 (const char *text, const char *end, VpNetAddress *out)
{
  char digits[INET6_ADDRSTRLEN];
  size_t length = (size_t)(end - text) - 1;

  if (length >= sizeof digits || !_vp_net_parse_port (end + 2, &out->port))
    return false;
  memcpy (digits, text + 1, length);
  digits[length] = '\0';
  out->v6.sin6_family = AF_INET6;
  out->v6.sin6_port = htons (out->port);
  out->size = sizeof out->v6;
  return inet_pton (AF_INET6, digits, &out->v6.sin6_addr) == 1;
}

bool
vp_net_parse_address (const char *text, VpNetAddress *out)
{
  const char *colon = strrchr (text, ':');

  memset (out, 0, sizeof *out);
  if (colon == NULL || (size_t)(colon - text) >= sizeof out->host)
    return false;
  memcpy (out->host, text, (size_t)(colon - text));
  if (text[0] == '[' && colon > text + 1 && colon[-1] == ']')
    return _vp_net_parse_v6 (text, colon - 1, out);
  if (!_vp_net_parse_port (colon + 1, &out->port))
    return false;
  out->v4.sin_family = AF_INET;
  out->v4.sin_port = htons (out->port);
  out->size = sizeof out->v4;
  return inet_pton (AF_INET, out->host, &out->v4.sin_addr) == 1;
}

uint16_t
vp_net_bound_port (int fd)
{
  VpNetAddress address = { .size = sizeof address.v6 };

  if (getsockname (fd, &address.any, &address.size) != 0)
    return 0;
  return ntohs (address.any.sa_family == AF_INET6 ? address.v6.sin6_port : address.v4.sin_port);
}
