#ifndef SISKIN_COMMON_NET_H
#define SISKIN_COMMON_NET_H

#include "kernel/status.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/* An IP address and port, such as "127.0.0.1:8080" or "[::1]:8080".  */
typedef struct net_address
{
  const char *host;
  uint16_t port;
} net_address_t;

bool net_address_is_any (const net_address_t *address);
status_t net_address_parse (TALLOC_CTX *parent, const char *text,
                            net_address_t *address);
status_t net_listen (const net_address_t *address, int *fd, uint16_t *port);
status_t net_connect (const net_address_t *address, int *fd);
void net_set_nodelay (int fd);

#endif
