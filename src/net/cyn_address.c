#include "net/cyn_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

socklen_t
cyn_address_read (const char *host, uint16_t port,
                  struct sockaddr_storage *address)
{
  memset (address, 0, sizeof *address);
  struct sockaddr_in *v4 = (struct sockaddr_in *)address;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
  if (inet_pton (AF_INET, host, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      return sizeof *v4;
    }
  if (inet_pton (AF_INET6, host, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      return sizeof *v6;
    }
  return 0;
}
