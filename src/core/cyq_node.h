/* One process's part in the fleet-wide quota: the root (control leader), a
   relay (zone process) or a leaf (entry VM).

   A giver hands shares of each workspace's bucket to its holders for the term
   of a lease; a holder returns what it does not need.  What was given and
   returned in a session travels as sums, so that messages may be lost or
   repeated.  A share counts as out until the holder has confirmed its return
   or the lease has ended at the giver, which is later than at the holder.
   One thread at a time; NOW is monotonic time and never goes back.  */

#ifndef CYQ_NODE_H
#define CYQ_NODE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cyq_bucket.h"
#include "cy.pb-c.h"
#include "cy_result.h"

#define CYQ_ROOT_TERM_MS  4000 /* ms, lease from the root */
#define CYQ_RELAY_TERM_MS 3000 /* ms, lease from a relay */
#define CYQ_RENEW_MS      1000 /* ms between two asks at rest */
#define CYQ_TICK_MS       50   /* ms between two calls of cyq_node_tick */

/* How shares are spread over the holders.  */
enum cyq_policy
{
  CYQ_DEMAND,   /* follow the measured demand */
  CYQ_FORECAST, /* follow the demand and its trend */
  CYQ_STATIC    /* equal shares, never moved */
};

struct cyq_options
{
  bool root;
  bool claims; /* a later giver takes over what an earlier one gave */
  enum cyq_policy policy;
  uint64_t epoch;        /* as a giver; a later root's is higher */
  uint64_t incarnation;  /* as a holder */
  uint32_t term_ms;      /* of the leases that it gives */
  uint32_t static_parts; /* with CYQ_STATIC: number of holders */
};

struct cyq_node;

struct cyq_node *cyq_node_create (const struct cyq_options *options);
void cyq_node_destroy (struct cyq_node *node);

/* Lets time pass: ends leases, measures demand, hands out and returns
   shares.  Call every CYQ_TICK_MS.  */
void cyq_node_tick (struct cyq_node *node, cy_time_ns now);

/* ------------------------------------------------------------ root */

/* Declares the rate and burst of WORKSPACE, in millionths.  NEW: no root has
   handed out any of it before, the bucket starts full.  */
void cyq_node_declare (struct cyq_node *node, const char *workspace,
                       int64_t rate, int64_t burst, bool new, cy_time_ns now);

/* Until UNTIL the root accepts what holders claim from earlier roots and
   hands out only what holders return.  */
void cyq_node_accept_claims_until (struct cyq_node *node, cy_time_ns until);

/* The root's authority lasts until END: every lease it gives ends before.  */
void cyq_node_set_authority_end (struct cyq_node *node, cy_time_ns end);

/* ------------------------------------------------------------ giver */

/* Answers ASK of HOLDER; freed by cy__quota_answer__free_unpacked.  */
Cy__QuotaAnswer *cyq_node_grant (struct cyq_node *node, const char *holder,
                                 const Cy__QuotaAsk *ask, cy_time_ns now);

/* Returns what HOLDER should be told unasked, NULL if nothing.  */
Cy__QuotaAnswer *cyq_node_push (struct cyq_node *node, const char *holder,
                                cy_time_ns now);

/* ------------------------------------------------------------ holder */

/* Returns an ask when one is due at NOW (something to say, or renewal), NULL
   if not; freed by cy__quota_ask__free_unpacked.  */
Cy__QuotaAsk *cyq_node_request (struct cyq_node *node, cy_time_ns now);

/* Takes in an answer of the giver.  CY_E_AGAIN when it belongs to another
   session, CY_E_LEASE_UNKNOWN when the giver does not know the session; what
   is held then stays until its lease ends, and a holder that does not claim
   needs a new node to go on with that giver.  */
cy_result cyq_node_receive_answer (struct cyq_node *node,
                                   const Cy__QuotaAnswer *answer,
                                   cy_time_ns now);

/* Until when what is held here holds; 0: nothing is.  */
cy_time_ns cyq_node_lease_end (const struct cyq_node *node);

/* Returns everything at once, for a planned stop.  True when nothing is left
   and the giver knows.  */
bool cyq_node_return_all (struct cyq_node *node, cy_time_ns now);

/* ------------------------------------------------------------ leaf */

/* Counts one request of WORKSPACE in the demand.  */
void cyq_node_record_arrival (struct cyq_node *node, const char *workspace);

/* Takes one token of WORKSPACE.  */
bool cyq_node_take_token (struct cyq_node *node, const char *workspace,
                          cy_time_ns now);

/* WAITING requests of WORKSPACE wait for a token.  */
void cyq_node_set_waiting (struct cyq_node *node, const char *workspace,
                           uint32_t waiting, cy_time_ns now);

/* What is held here of WORKSPACE, with what the holders below have.  */
struct cyq_share cyq_node_held (const struct cyq_node *node,
                                const char *workspace);

/* True when the whole of WORKSPACE's rate is in demand.  */
bool cyq_node_is_exhausted (const struct cyq_node *node,
                            const char *workspace);

#endif /* CYQ_NODE_H */
