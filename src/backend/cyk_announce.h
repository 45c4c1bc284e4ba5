/* Announcements of the stand-in backend server: sends POST /v1/announce to
   every configured entry VM, three times per lease.  All functions are called
   on the thread of the loop.  */

#ifndef CYK_ANNOUNCE_H
#define CYK_ANNOUNCE_H

#include <stdbool.h>
#include <stdint.h>

#include "net/cyn_loop.h"

struct cyk_announce;

struct cyk_announce_options
{
  struct cyn_loop *loop;
  const char *entries; /* entry VMs, "IP:PORT,IP:PORT" */
  const char *service;
  const char *instance;
  const char *zone;
  const char *host;     /* announced address */
  uint16_t port;        /* announced port */
  int64_t slots;        /* requests that run at the same time at most */
  int64_t connections;  /* open connections at most */
  int64_t lease_ms;     /* validity of an announcement */
  uint64_t incarnation; /* increases with each start of the server */
};

struct cyk_announce *
cyk_announce_create (const struct cyk_announce_options *options);
void cyk_announce_destroy (struct cyk_announce *announce);

/* Sends an announcement with the state "draining" at once; all later ones have
   this state too.  */
void cyk_announce_start_draining (struct cyk_announce *announce);

#endif /* CYK_ANNOUNCE_H */
