#include "common/net.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PORT_TEXT_BYTES = 8,
  PORT_MAX = 65535,
  LISTEN_BACKLOG = 1024
};

static bool
is_ip_number (const char *host)
{
  struct in6_addr number;

  return inet_pton (AF_INET, host, &number) == 1
         || inet_pton (AF_INET6, host, &number) == 1;
}

/* Parse TEXT as HOST:PORT into ADDRESS, whose host is owned by PARENT.  The
   host must be an IP address; names are not resolved.  Returns STATUS_INVALID
   when TEXT is malformed.  */
status_t
net_address_parse (TALLOC_CTX *parent, const char *text,
                   net_address_t *address)
{
  const char *colon = strrchr (text, ':');
  const char *start = text;
  char *rest;
  unsigned long port;
  size_t length;

  if (colon == NULL || colon[1] == '\0')
    return status_set (STATUS_INVALID, "'%s' is not ADDRESS:PORT", text);
  port = strtoul (colon + 1, &rest, 10);
  if (!isdigit ((unsigned char)colon[1]) || *rest != '\0' || port > PORT_MAX)
    return status_set (STATUS_INVALID, "'%s' has no valid port", text);
  length = (size_t)(colon - text);
  if (length >= 2 && text[0] == '[' && text[length - 1] == ']')
    {
      start++;
      length -= 2;
    }
  address->host = talloc_strndup (parent, start, length);
  if (!is_ip_number (address->host))
    return status_set (STATUS_INVALID, "'%s' has no IP number", text);
  address->port = (uint16_t)port;
  return STATUS_OK;
}

/* Return whether ADDRESS is the unspecified one, on which a server listens on
   all its addresses.  */
bool
net_address_is_any (const net_address_t *address)
{
  struct in_addr four;
  struct in6_addr six;

  if (inet_pton (AF_INET, address->host, &four) == 1)
    return four.s_addr == htonl (INADDR_ANY);
  return inet_pton (AF_INET6, address->host, &six) == 1
         && IN6_IS_ADDR_UNSPECIFIED (&six);
}

/* Convert ADDRESS to a socket address, which the caller frees with
   freeaddrinfo.  */
static status_t
net_resolve (const net_address_t *address, struct addrinfo **result)
{
  struct addrinfo hints = { .ai_family = AF_UNSPEC,
                            .ai_socktype = SOCK_STREAM,
                            .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV };
  char port[PORT_TEXT_BYTES];
  int error;

  snprintf (port, sizeof port, "%u", address->port);
  error = getaddrinfo (address->host, port, &hints, result);
  if (error != 0)
    return status_set (STATUS_INVALID, "'%s' is not an IP number: %s",
                       address->host, gai_strerror (error));
  return STATUS_OK;
}

static uint16_t
net_bound_port (int fd)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in four;
    struct sockaddr_in6 six;
  } bound = { .six = { 0 } };
  socklen_t length = sizeof bound;

  if (getsockname (fd, &bound.any, &length) != 0)
    return 0;
  return ntohs (bound.any.sa_family == AF_INET6 ? bound.six.sin6_port
                                                : bound.four.sin_port);
}

/* Disable Nagle's algorithm on FD, so that small frames are sent without
   delay.  */
void
net_set_nodelay (int fd)
{
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

/* Listen on ADDRESS with a nonblocking socket; other sockets can listen on the
   same port (SO_REUSEPORT).  Port 0 selects a free port.  Sets *FD and *PORT.
   Returns STATUS_IO when the address cannot be bound.  */
status_t
net_listen (const net_address_t *address, int *fd, uint16_t *port)
{
  struct addrinfo *info;
  status_t status = net_resolve (address, &info);
  int one = 1;

  if (status != STATUS_OK)
    return status;
  *fd = socket (info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                0);
  if (*fd >= 0)
    {
      setsockopt (*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      setsockopt (*fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof one);
    }
  if (*fd < 0 || bind (*fd, info->ai_addr, info->ai_addrlen) != 0
      || listen (*fd, LISTEN_BACKLOG) != 0)
    {
      status = status_set (STATUS_IO, "cannot listen on %s:%u: %s",
                           address->host, address->port, strerror (errno));
      if (*fd >= 0)
        close (*fd);
    }
  else
    *port = net_bound_port (*fd);
  freeaddrinfo (info);
  return status;
}

/* Start to connect to ADDRESS with a nonblocking socket.  Sets *FD; the socket
   becomes writable when the connection is established or has failed.  Returns
   STATUS_IO or STATUS_INVALID when the attempt cannot be started.  */
status_t
net_connect (const net_address_t *address, int *fd)
{
  struct addrinfo *info;
  status_t status = net_resolve (address, &info);

  if (status != STATUS_OK)
    return status;
  *fd = socket (info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                0);
  if (*fd < 0
      || (connect (*fd, info->ai_addr, info->ai_addrlen) != 0
          && errno != EINPROGRESS))
    {
      status = status_set (STATUS_IO, "cannot connect to %s:%u: %s",
                           address->host, address->port, strerror (errno));
      if (*fd >= 0)
        close (*fd);
    }
  else
    net_set_nodelay (*fd);
  freeaddrinfo (info);
  return status;
}
