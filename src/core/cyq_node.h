/* One process's node in the fleet-wide quota tree: the root (leader of the
   control VMs), a relay (zone process) or a leaf (entry VM).

   A grantor grants shares of each workspace's bucket to its holders for the
   term of a lease; a holder returns what it does not need.  Messages carry the
   sums granted and returned over the session, so that a message may be lost or
   duplicated.  A share counts as outstanding until its return has reached the
   grantor or the lease has ended there, which is later than at the holder.

   Not thread-safe.  NOW is monotonic time and never decreases.  */

#ifndef CYQ_NODE_H
#define CYQ_NODE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cyq_bucket.h"
#include "cy.pb-c.h"
#include "cy_result.h"

#define CYQ_ROOT_TERM_MS      4000 /* term of a lease from the root */
#define CYQ_RELAY_TERM_MS     3000 /* term of a lease from a relay */
#define CYQ_RENEW_INTERVAL_MS 1000 /* interval of renewals */
#define CYQ_TICK_MS           50   /* interval of calls of cyq_node_tick */

/* How a grantor distributes a workspace's bucket over its holders.  */
enum cyq_policy
{
  CYQ_DEMAND,   /* shares follow the measured demand */
  CYQ_FORECAST, /* shares follow the demand and its trend */
  CYQ_STATIC    /* shares are equal and never change */
};

struct cyq_options
{
  bool is_root;
  bool may_claim; /* holder claims its shares from the next grantor */
  enum cyq_policy policy;
  uint64_t epoch;       /* grantor's epoch; each new root has a higher one */
  uint64_t incarnation; /* holder's incarnation, changes at a restart */
  uint32_t term_ms;     /* term of the leases that the node grants */
  uint32_t
      static_holder_count; /* number of holders, used with CYQ_STATIC only */
};

struct cyq_node;

struct cyq_node *cyq_node_create (const struct cyq_options *options);
void cyq_node_destroy (struct cyq_node *node);

/* Ends expired leases, measures demand, grants and returns shares.  Called
   every CYQ_TICK_MS.  */
void cyq_node_tick (struct cyq_node *node, cy_time_ns now);

/* ------------------------------------------------------------ root */

/* Sets the limit of WORKSPACE: RATE in millionths of a request per second,
   BURST in millionths of a request.  NEW means that no root has granted any of
   it before; the bucket then starts full.  */
void cyq_node_declare (struct cyq_node *node, const char *workspace,
                       int64_t rate, int64_t burst, bool new, cy_time_ns now);

/* Lets the root accept claims to shares that earlier roots granted.  Before
   UNTIL the root grants only shares that holders have returned.  */
void cyq_node_accept_claims_until (struct cyq_node *node, cy_time_ns until);

/* Sets the time at which the root's authority ends.  Every lease that the root
   grants ends before END.  */
void cyq_node_set_authority_end (struct cyq_node *node, cy_time_ns end);

/* ------------------------------------------------------------ grantor */

/* Processes ASK, a request of HOLDER, and returns the answer.  The caller
   frees the answer by cy__quota_answer__free_unpacked.  */
Cy__QuotaAnswer *cyq_node_grant (struct cyq_node *node, const char *holder,
                                 const Cy__QuotaAsk *ask, cy_time_ns now);

/* Returns the changes to push to HOLDER, NULL if there are none.  The caller
   frees the answer by cy__quota_answer__free_unpacked.  */
Cy__QuotaAnswer *cyq_node_push (struct cyq_node *node, const char *holder,
                                cy_time_ns now);

/* ------------------------------------------------------------ holder */

/* Returns a request if a change or the renewal is due at NOW, else NULL.  The
   caller frees the request by cy__quota_ask__free_unpacked.  */
Cy__QuotaAsk *cyq_node_request (struct cyq_node *node, cy_time_ns now);

/* Applies ANSWER of the grantor.  Returns CY_E_AGAIN if ANSWER belongs to
   another session and CY_E_LEASE_UNKNOWN if the grantor has no record of the
   session.  After CY_E_LEASE_UNKNOWN the node keeps its shares until their
   lease ends; a holder that does not claim shares needs a new node to continue
   with that grantor.  */
cy_result cyq_node_receive_answer (struct cyq_node *node,
                                   const Cy__QuotaAnswer *answer,
                                   cy_time_ns now);

/* Returns the time at which the lease of the held shares ends, 0 if the node
   has no lease.  */
cy_time_ns cyq_node_lease_end (const struct cyq_node *node);

/* Returns all shares to the grantor, for a planned stop.  True once the
   grantor has confirmed the return of all rate and burst.  */
bool cyq_node_return_all (struct cyq_node *node, cy_time_ns now);

/* ------------------------------------------------------------ leaf */

/* Counts one request of WORKSPACE as demand.  */
void cyq_node_record_arrival (struct cyq_node *node, const char *workspace);

/* Takes one token of WORKSPACE; false if the node has none or no lease.  */
bool cyq_node_take_token (struct cyq_node *node, const char *workspace,
                          cy_time_ns now);

/* Sets the number of requests of WORKSPACE that wait for a token.  */
void cyq_node_set_waiting (struct cyq_node *node, const char *workspace,
                           uint32_t waiting, cy_time_ns now);

/* Returns the shares of WORKSPACE in this node and in its holders.  */
struct cyq_share cyq_node_held (const struct cyq_node *node,
                                const char *workspace);

/* True if the fleet's demand takes up the declared rate of WORKSPACE, as the
   root last reported.  */
bool cyq_node_is_exhausted (const struct cyq_node *node,
                            const char *workspace);

#endif /* CYQ_NODE_H */
