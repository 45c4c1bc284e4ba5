/* Socket addresses from numeric IP addresses.  */

#ifndef CYN_ADDRESS_H
#define CYN_ADDRESS_H

#include <stdint.h>
#include <sys/socket.h>

/* Converts HOST, a numeric IPv4 or IPv6 address, and PORT to ADDRESS.  Returns
   the length of ADDRESS in bytes, 0 when HOST is not a numeric address.  */
socklen_t cyn_address_read (const char *host, uint16_t port,
                            struct sockaddr_storage *address);

#endif /* CYN_ADDRESS_H */
