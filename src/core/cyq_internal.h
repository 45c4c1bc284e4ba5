/* Shared by the files of the quota core only.  */

#ifndef CYQ_INTERNAL_H
#define CYQ_INTERNAL_H

#include <ck_queue.h>
#include <glib.h>

#include "core/cyq_node.h"

#define CYQ_ASKS_MAX 16 /* asks remembered while unanswered */

struct cyq_session;

/* What one holder has of one pool.  */
struct cyq_out
{
  CK_LIST_ENTRY (cyq_out) in_pool;
  CK_LIST_ENTRY (cyq_out) in_session;
  struct cyq_pool *pool;
  struct cyq_session *session;
  struct cyq_share given;      /* sum of the session */
  struct cyq_share given_seen; /* of it, as the holder last said */
  struct cyq_share returned;   /* sum of the session */
  struct cyq_share recall;     /* asked back and not yet sent */
  cy_time_ns recalled;         /* when it was last asked back */
  int64_t demand;              /* millionths a second */
  int64_t want;                /* millionths, not yet granted */
  bool shared;                 /* has a lasting share, not single tokens */
  bool told_exhausted;
  bool due; /* the holder has to be told */
};

/* One holder.  */
struct cyq_session
{
  CK_LIST_ENTRY (cyq_session) link;
  char *holder;
  uint64_t incarnation;
  uint64_t number;
  cy_time_ns end; /* the giver's */
  bool leaving;   /* gets nothing more */
  CK_LIST_HEAD (cyq_session_outs, cyq_out) outs;
};

/* One workspace.  */
struct cyq_pool
{
  CK_LIST_ENTRY (cyq_pool) link;
  char *workspace;
  struct cyq_bucket bucket; /* what is not handed out */
  CK_LIST_HEAD (cyq_pool_outs, cyq_out) outs;

  /* Demand, own at a leaf, of all holders else.  */
  int64_t arrived; /* millionths since the last measurement */
  int64_t demand;  /* millionths a second */
  int64_t slope;   /* of the demand, millionths a second each second */
  int64_t waiting; /* millionths, at a leaf */
  uint32_t turn;   /* whose holder is served first */
  cy_time_ns surplus_since;

  /* Root.  */
  bool declared;
  cy_time_ns owes_since; /* more is out than declared since then */
  int64_t rate;
  int64_t burst;

  /* Towards the giver; sums of the session.  */
  struct cyq_share given;
  struct cyq_share given_said;
  struct cyq_share returned;
  struct cyq_share returned_seen;
  struct cyq_share claim;
  struct cyq_share recall; /* still to be returned */
  cy_time_ns recalled;
  int64_t demand_said;
  int64_t want_said;
  bool exhausted;
  struct cyq_share floor; /* kept when idle, until asked back */
};

struct cyq_node
{
  struct cyq_options options;
  CK_LIST_HEAD (cyq_pool_list, cyq_pool) pools;
  GHashTable *by_workspace; /* struct cyq_pool by name, not owned */
  CK_LIST_HEAD (cyq_session_list, cyq_session) sessions;
  cy_time_ns now;
  cy_time_ns end;      /* what is held holds until then */
  cy_time_ns adopting; /* root: accepts claims until then */
  cy_time_ns measured; /* demand */

  /* As a holder.  */
  bool leaving; /* hands everything back */
  uint64_t session;
  bool established; /* the giver knows the session */
  uint64_t giver_epoch;
  uint64_t ask_number;
  cy_time_ns asked[CYQ_ASKS_MAX];
  cy_time_ns last_ask;
  cy_time_ns last_answer;
};

/* Makes time NOW: ends what has run out.  */
void cyq_advance (struct cyq_node *node, cy_time_ns now);

/* Finds the pool of WORKSPACE, or makes one.  */
struct cyq_pool *cyq_pool_get (struct cyq_node *node, const char *workspace);
struct cyq_pool *cyq_pool_find (const struct cyq_node *node,
                                const char *workspace);

/* What the holder of OUT has, with what is on its way.  */
struct cyq_share cyq_out_held (const struct cyq_out *out);

/* What POOL's holders have together.  */
struct cyq_share cyq_pool_out (const struct cyq_pool *pool);

/* Brings the root's own part of POOL to what is declared and not out.  */
void cyq_reconcile (struct cyq_node *node, struct cyq_pool *pool);

/* Ends SESSION and takes back what its holder had.  */
void cyq_session_end (struct cyq_session *session, cy_time_ns now);

/* At a root: makes sure that SESSION's holder counts for every declared
   workspace.  */
void cyq_session_cover (struct cyq_node *node, struct cyq_session *session);

/* Gives SHARE of OUT's pool to its holder.  */
void cyq_out_grant (struct cyq_out *out, const struct cyq_share *share);

/* Moves SHARE of POOL's own bucket back towards the giver.  */
void cyq_pool_return (struct cyq_pool *pool, const struct cyq_share *share);

/* Policy (cyq_policy.c).  */

/* Measures demand over the time since the last measurement.  */
void cyq_measure (struct cyq_node *node);

/* Demand that POOL has, or with CYQ_FORECAST will have in half a second.  */
int64_t cyq_expected_demand (const struct cyq_node *node,
                             const struct cyq_pool *pool);

/* Hands out what POOL's holders need, asks others for what is missing.  */
void cyq_serve (struct cyq_node *node, struct cyq_pool *pool);

/* True when more of POOL is out than it has.  */
bool cyq_pool_is_overcommitted (const struct cyq_pool *pool);

/* True when SESSION's holder has kept for long what a pool that owes asked
   back: its lease must run out.  */
bool cyq_session_is_overdue (const struct cyq_node *node,
                             const struct cyq_session *session);

/* Returns what POOL does not need or what the giver asked back.  */
void cyq_return_surplus (struct cyq_node *node, struct cyq_pool *pool);

/* What each of POOL's holders may keep without demand.  */
struct cyq_share cyq_floor_of (const struct cyq_node *node,
                               const struct cyq_pool *pool);

/* Tokens that POOL waits for and does not have.  */
int64_t cyq_pool_missing_tokens (const struct cyq_node *node,
                                 const struct cyq_pool *pool);

#endif /* CYQ_INTERNAL_H */
