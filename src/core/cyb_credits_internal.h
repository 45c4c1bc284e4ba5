/* Parts of the ledger shared by cyb_credits.c (register and grants),
   cyb_credits_share.c (who gets how much) and cyb_credits_request.c (asks,
   answers and recalls).  */

#ifndef CYB_CREDITS_INTERNAL_H
#define CYB_CREDITS_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "core/cyb_credits.h"

/* Credits of one entry VM at one backend server.  */
struct grant
{
  CK_LIST_ENTRY (grant) entry;
  struct holder *holder;
  uint32_t given;  /* counted as in use until it is reported back */
  uint32_t target; /* what it should hold, at most GIVEN */
  uint32_t told;   /* what it was told last */
  cy_time_ns until;
};

/* One backend server.  */
struct server
{
  CK_LIST_ENTRY (server) entry;
  char *instance;
  uint64_t incarnation;
  uint32_t slots;
  bool draining;
  bool listed;
  uint32_t given;
  CK_LIST_HEAD (grants, grant) grants;
};

/* One entry VM as a user of one service.  */
struct holder
{
  CK_LIST_ENTRY (holder) entry;
  char *name;
  uint32_t held;   /* sum of what it was given */
  uint32_t demand; /* requests in flight and waiting */
  uint32_t share;  /* what it should hold */
  cy_time_ns until;
  cy_time_ns turn; /* when it last got one of the scarce credits */
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
  GHashTable *services; /* name -> struct service */
  uint32_t known;       /* entry VMs of the zone */
  GHashTable *askers;   /* name -> cy_time_ns of the last ask */
  cy_time_ns learning;  /* nothing new is granted until then */
};

/* Returns the service NAME, made at the first call.  */
struct service *cyb_credits_service (struct cyb_credits *ledger,
                                     const char *name);

/* Returns INSTANCE of SERVICE, NULL if there is none.  */
struct server *cyb_credits_server (const struct service *service,
                                   const char *instance, uint64_t incarnation);

/* Returns the entry VM NAME as a user of SERVICE, made at the first call.  */
struct holder *cyb_credits_holder (struct service *service, const char *name);

/* Returns what HOLDER has at SERVER, made at the first call.  */
struct grant *cyb_credits_grant (struct server *server, struct holder *holder);

/* Sets what GRANT gives and the sums that depend on it.  */
void cyb_credits_set_grant (struct server *server, struct grant *grant,
                            uint32_t given);

/* Length of a lease as the ledger counts it, nanoseconds.  */
cy_time_ns cyb_credits_lease (void);

/* Slots of SERVER that this ledger may give out.  */
uint32_t cyb_credits_limit (const struct cyb_credits *ledger,
                            const struct server *server);

/* Gives HOLDER what is free, up to its share; true when it got any.  */
bool cyb_credits_grant_free (struct cyb_credits *ledger,
                             struct service *service, struct holder *holder,
                             cy_time_ns now);

/* Shares the credits of SERVICE out anew.  */
void cyb_credits_rebalance (struct cyb_credits *ledger,
                            struct service *service, struct holder *asker,
                            cy_time_ns now);

#endif /* CYB_CREDITS_INTERNAL_H */
