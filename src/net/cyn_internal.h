/* Internal interface between cyn_listener.c and cyn_conn.c.  */

#ifndef CYN_INTERNAL_H
#define CYN_INTERNAL_H

#include "net/cyn_conn.h"

/* Creates a connection from the accepted socket FD, which the connection
   owns from then on.  */
struct cyn_conn *cyn_conn_accept (struct cyn_loop *loop,
                                  const struct cyn_identity *identity,
                                  const struct cyn_handlers *handlers,
                                  void *context, int fd);

#endif /* CYN_INTERNAL_H */
