/* Types and functions shared by cyb_credits.c (register and grants),
   cyb_credits_allocate.c (allocation) and cyb_credits_request.c (requests,
   answers and recalls).  */

#ifndef CYB_CREDITS_INTERNAL_H
#define CYB_CREDITS_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "core/cyb_credits.h"

/* Credits of one entry VM at one backend server.  */
struct grant
{
  CK_LIST_ENTRY (grant) link;
  struct holder *holder;
  /* Credits that count as in use until the entry VM reports fewer or the lease
     ends.  */
  uint32_t granted;
  uint32_t target;      /* credits that the entry VM should have, <= granted */
  uint32_t target_sent; /* target as last sent to the entry VM */
  cy_time_ns lease_end; /* end of the lease, as the ledger counts it */
};

/* One backend server.  */
struct server
{
  CK_LIST_ENTRY (server) link;
  char *instance;
  uint64_t incarnation;
  uint32_t slots; /* requests that the server can run at a time */
  bool draining;
  bool listed;      /* the server was in the last update of the register */
  uint32_t granted; /* credits granted to all entry VMs */
  CK_LIST_HEAD (grants, grant) grants;
};

/* One entry VM as a user of one service.  */
struct holder
{
  CK_LIST_ENTRY (holder) link;
  char *name;
  uint32_t held;        /* credits granted over all servers of the service */
  uint32_t demand;      /* requests in flight and waiting */
  uint32_t share;       /* credits that the entry VM should have */
  cy_time_ns lease_end; /* end of the lease, as the ledger counts it */
  /* Time at which the entry VM last got a scarce credit, which is a credit
     that a division left over.  */
  cy_time_ns scarce_since;
};

struct service
{
  char *name;
  CK_LIST_HEAD (servers, server) servers;
  CK_LIST_HEAD (holders, holder) holders;
};

struct cyb_credits
{
  const struct cy_clock *clock;
  GHashTable *services;       /* service name -> struct service */
  uint32_t entry_count;       /* number of entry VMs of the zone */
  GHashTable *request_times;  /* entry VM -> cy_time_ns of its last request */
  cy_time_ns no_grants_until; /* time until which no new credit is granted */
};

/* Returns the service NAME, created at the first call.  */
struct service *cyb_credits_get_service (struct cyb_credits *ledger,
                                         const char *name);

/* Returns the server INSTANCE of SERVICE, NULL if there is none with that
   incarnation.  */
struct server *cyb_credits_find_server (const struct service *service,
                                        const char *instance,
                                        uint64_t incarnation);

/* Returns the entry VM NAME as a user of SERVICE, created at the first
   call.  */
struct holder *cyb_credits_get_holder (struct service *service,
                                       const char *name);

/* Returns the grant of HOLDER at SERVER, created at the first call.  */
struct grant *cyb_credits_get_grant (struct server *server,
                                     struct holder *holder);

/* Sets the credits of GRANT and updates the sums of its server and holder.  */
void cyb_credits_set_grant (struct server *server, struct grant *grant,
                            uint32_t granted);

/* Length of a lease as the ledger counts it, in nanoseconds.  */
cy_time_ns cyb_credits_lease_ns (void);

/* Number of SERVER's slots that this ledger may grant.  */
uint32_t cyb_credits_server_limit (const struct cyb_credits *ledger,
                                   const struct server *server);

/* Grants HOLDER free credits up to its share; false if there were none.  */
bool cyb_credits_grant_free (struct cyb_credits *ledger,
                             struct service *service, struct holder *holder,
                             cy_time_ns now);

/* Recomputes the shares and targets of SERVICE's entry VMs and grants free
   credits to REQUESTER.  */
void cyb_credits_rebalance (struct cyb_credits *ledger,
                            struct service *service, struct holder *requester,
                            cy_time_ns now);

#endif /* CYB_CREDITS_INTERNAL_H */
