/* Types and functions shared by the files of the quota core only.  */

#ifndef CYQ_INTERNAL_H
#define CYQ_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "core/cyq_node.h"

#define CYQ_REQUESTS_MAX 16 /* number of requests with a stored send time */

struct cyq_session;

/* Grantor's record of one holder's shares of one pool.  Shares are sums over
   the session; tokens are in millionths of a request.  */
struct cyq_holding
{
  CK_LIST_ENTRY (cyq_holding) pool_link;
  CK_LIST_ENTRY (cyq_holding) session_link;
  struct cyq_pool *pool;
  struct cyq_session *session;
  struct cyq_share granted;           /* granted to the holder */
  struct cyq_share granted_confirmed; /* grants that the holder confirmed */
  struct cyq_share returned;          /* returned by the holder */
  struct cyq_share recall; /* recall that the next answer will carry */
  cy_time_ns recalled_at;  /* time of the last recall */
  int64_t demand;          /* holder's demand, millionths per second */
  int64_t want;            /* tokens requested and not yet granted */
  bool gets_rate;          /* holder gets a rate, not single tokens */
  bool exhausted_sent;     /* `exhausted` as last sent to the holder */
  bool send_due;           /* the holder has to be sent this record */
};

/* Grantor's record of the session of one holder.  */
struct cyq_session
{
  CK_LIST_ENTRY (cyq_session) link;
  char *holder;         /* name of the holder, owned */
  uint64_t incarnation; /* incarnation of the holder */
  uint64_t number;      /* session number that the holder chose */
  cy_time_ns lease_end; /* end of the lease, as the grantor counts it */
  bool leaving;         /* the holder gets no further grants */
  CK_LIST_HEAD (cyq_session_holdings, cyq_holding) holdings;
};

/* The quota of one workspace in this node.  */
struct cyq_pool
{
  CK_LIST_ENTRY (cyq_pool) link;
  char *workspace;          /* owned */
  struct cyq_bucket bucket; /* share that is not granted to a holder */
  CK_LIST_HEAD (cyq_pool_holdings, cyq_holding) holdings;

  /* Demand: the local one at a leaf, the sum over the holders at a relay and
     at the root.  */
  int64_t arrived; /* requests since the last measurement, in millionths */
  int64_t demand;  /* millionths of a request per second */
  int64_t demand_slope;     /* millionths of a request per second squared */
  int64_t waiting;          /* requests that wait at a leaf, in millionths */
  uint32_t first_position;  /* index of the holder that gets grants first */
  cy_time_ns surplus_began; /* time at which a surplus began, 0: none */

  /* Root: the declared limit.  */
  bool declared;
  cy_time_ns last_covered; /* last time that the pool was not overcommitted */
  int64_t rate;            /* millionths of a request per second */
  int64_t burst;           /* millionths of a request */

  /* Holder: shares are sums over the session with the grantor.  */
  struct cyq_share granted;            /* granted to this node */
  struct cyq_share granted_reported;   /* `granted` as last reported */
  struct cyq_share returned;           /* returned by this node */
  struct cyq_share returned_confirmed; /* returned, as the grantor confirmed */
  struct cyq_share claim;              /* shares claimed from a new grantor */
  struct cyq_share recall;             /* recalled and not yet returned */
  cy_time_ns recalled_at;              /* time of the last recall */
  int64_t demand_reported;             /* demand as last reported */
  int64_t want_reported;               /* missing tokens as last reported */
  bool exhausted;                      /* demand takes up the declared rate */
  struct cyq_share floor; /* share kept without demand, until recalled */
};

struct cyq_node
{
  struct cyq_options options;
  CK_LIST_HEAD (cyq_pool_list, cyq_pool) pools;
  GHashTable *pool_by_workspace; /* struct cyq_pool by workspace, not owned */
  CK_LIST_HEAD (cyq_session_list, cyq_session) sessions;
  cy_time_ns now;       /* latest time that a caller passed */
  cy_time_ns lease_end; /* end of the held lease, or of the root's authority */
  cy_time_ns claims_until; /* root: time until which claims are accepted */
  cy_time_ns measured_at;  /* time of the last measurement of demand */

  /* Holder.  */
  bool leaving;            /* the node returns everything */
  uint64_t session;        /* number of the session */
  bool established;        /* the grantor has accepted the session */
  uint64_t grantor_epoch;  /* 0 in a session that is not established */
  uint64_t request_number; /* number of the last request */
  /* Send times of the latest requests, at their number modulo the size.  */
  cy_time_ns request_times[CYQ_REQUESTS_MAX];
  cy_time_ns last_request; /* send time of the last request */
  cy_time_ns last_answer;  /* receive time of the last answer */
};

/* Sets the node's time to NOW and ends the leases that have expired.  */
void cyq_node_advance (struct cyq_node *node, cy_time_ns now);

/* Returns the pool of WORKSPACE; `get` creates a missing one, `find` returns
   NULL.  */
struct cyq_pool *cyq_pool_get (struct cyq_node *node, const char *workspace);
struct cyq_pool *cyq_pool_find (const struct cyq_node *node,
                                const char *workspace);

/* Share that the holder of HOLDING has, including grants and returns that are
   still in transit.  */
struct cyq_share cyq_holding_share (const struct cyq_holding *holding);

/* Sum of the shares that POOL's holders have.  */
struct cyq_share cyq_pool_outstanding (const struct cyq_pool *pool);

/* Sets the root's bucket of POOL to the declared limit minus the outstanding
   shares.  */
void cyq_root_reconcile (struct cyq_node *node, struct cyq_pool *pool);

/* Frees SESSION; the shares of its holder return to the pools.  */
void cyq_session_end (struct cyq_session *session, cy_time_ns now);

/* Root: adds SESSION's holder to every declared pool, so that a floor is
   reserved for the holder in each of them.  */
void cyq_session_add_pools (struct cyq_node *node,
                            struct cyq_session *session);

/* Grants SHARE of HOLDING's pool to the holder of HOLDING.  */
void cyq_holding_grant (struct cyq_holding *holding,
                        const struct cyq_share *share);

/* Moves SHARE from POOL's bucket to what is returned to the grantor.  */
void cyq_pool_return (struct cyq_pool *pool, const struct cyq_share *share);

/* Policy (cyq_policy.c).  */

/* Measures the demand since the last measurement.  */
void cyq_measure_demand (struct cyq_node *node);

/* Demand of POOL, or with CYQ_FORECAST the one expected in half a second, in
   millionths of a request per second.  */
int64_t cyq_expected_demand (const struct cyq_node *node,
                             const struct cyq_pool *pool);

/* Grants POOL's holders what they need and recalls from other holders what
   POOL lacks.  */
void cyq_pool_distribute (struct cyq_node *node, struct cyq_pool *pool);

/* True if more of POOL is outstanding than POOL has.  */
bool cyq_pool_is_overcommitted (const struct cyq_pool *pool);

/* True if an overcommitted pool has waited too long for SESSION's holder to
   return its excess: the holder's lease is then not renewed.  */
bool cyq_session_is_overdue (const struct cyq_node *node,
                             const struct cyq_session *session);

/* Returns the recalled share of POOL to the grantor.  If nothing is recalled,
   returns POOL's surplus.  */
void cyq_return_surplus (struct cyq_node *node, struct cyq_pool *pool);

/* Share that each of POOL's holders may keep without demand.  */
struct cyq_share cyq_floor_share (const struct cyq_node *node,
                                  const struct cyq_pool *pool);

/* Tokens that waiting requests need beyond those in POOL's bucket, rounded up
   to complete requests, in millionths.  */
int64_t cyq_pool_missing_tokens (const struct cyq_node *node,
                                 const struct cyq_pool *pool);

#endif /* CYQ_INTERNAL_H */
