/* Parts of the matcher shared by cym_match.c (asks, ends, time), cym_choose.c
   (which server), cym_queue.c (who waits, who is next) and cym_health.c (what
   the ends of requests say of a server).  */

#ifndef CYM_INTERNAL_H
#define CYM_INTERNAL_H

#include <glib.h>

#include "core/cym_match.h"

#define CYM_SERVED_S 5.0 /* s over which served shares are averaged */

TAILQ_HEAD (cym_requests, cym_request);

/* Offered and placed requests, averaged over CYM_SERVED_S.  */
struct cym_served
{
  double offered;
  double placed;
  cy_time_ns at;
  unsigned waiting; /* that will take a token, of a workspace */
};

/* The requests of one route at one service.  */
struct cym_class
{
  char *route;
  double work_ns; /* usual time to answer, 0: not known */
  double warm_ns; /* the same of a server that knows the object */
  struct cym_served served;
};

struct cym_service
{
  char *name;
  struct cym_servers servers;
  struct cym_requests waiting;
  uint32_t waiting_count;
  GHashTable *classes; /* route to struct cym_class */
  double work_ns;      /* usual time to answer over all routes */
  double keeps;        /* objects that a server remembers, as it seems */
  bool stays;          /* some own server takes requests */
  double cold_per_s;
  uint32_t cold_ms;
  struct cym_retry_budget repeats;
  uint32_t repeats_waiting; /* of WAITING_COUNT */
  double busy;       /* requests that own servers may serve, at any server */
  double refused;    /* slots that refused ones of these lacked */
  GHashTable *homes; /* region to struct cym_home */
  cy_time_ns measured;
  cy_time_ns swept; /* all servers looked at all that wait */
  bool sweep_due;   /* it was too early to do so again */
};

/* Requests that only the servers of one other region may serve, and the slots
   that are lent from there.  */
struct cym_home
{
  uint32_t in_flight;
  double busy; /* moving averages, as in struct cym_service */
  double refused;
  uint32_t lent;
  uint32_t others; /* slots in use by requests that other regions may serve */
};

struct cym_match
{
  struct cym_options options;
  GHashTable *services;   /* name to struct cym_service */
  GHashTable *by_id;      /* id to struct cym_server */
  GHashTable *workspaces; /* name to struct cym_served */
  struct cym_served all;
  double share;
  bool hears_all; /* the placers of all regions, for the budget of repeats */

  /* Requests that run in other regions though they need not.  */
  double spilled;      /* share of those placed, moving average */
  double spill_tokens; /* that may be placed there now */
  double slice_placed; /* requests since SPILL_AT */
  double slice_spilled;
  cy_time_ns spill_at;
  cy_time_ns spill_begun; /* first request after none for long */
};

/* The requests of SERVICE that are at home in REGION, made at the first call;
   lives as long as the service.  */
struct cym_home *cym_home_get (struct cym_service *service,
                               const char *region);

/* ---- cym_choose.c */

/* How long a server takes for ASK, as far as known, ns.  */
double cym_estimate (const struct cym_server *server,
                     const struct cym_request *ask, cy_time_ns now);

/* Chooses a server with a free slot for ASK; NULL when there is none.
   ON_TIME: only one that answers within the goal.  */
struct cym_server *cym_choose (struct cym_match *match,
                               struct cym_request *ask, bool on_time,
                               cy_time_ns now);

/* The server that knows ASK's object and, though it may be full, is expected
   to end it first, and when, ns from now; NULL if none knows it.  */
struct cym_server *cym_prefer (struct cym_match *match,
                               struct cym_request *ask, double *finish,
                               cy_time_ns now);

/* True when SERVER has a free slot for this matcher's requests.  */
bool cym_has_room (const struct cym_match *match,
                   const struct cym_server *server, cy_time_ns now);

/* True when SERVER may be sent ASK now.  */
bool cym_may_take (const struct cym_match *match, struct cym_server *server,
                   const struct cym_request *ask, cy_time_ns now);

/* True when SERVER is in a region that may serve ASK.  */
bool cym_is_home (const struct cym_server *server,
                  const struct cym_request *ask);

/* True when SERVER takes requests at all, whether or not it has room.  */
bool cym_is_usable (const struct cym_server *server, cy_time_ns now);

/* Slots of SERVER that this matcher may fill.  */
double cym_capacity (const struct cym_match *match,
                     const struct cym_server *server, cy_time_ns now);

/* Time until SERVER, which is full, has a slot for one more that waits for
   it, ns.  */
double cym_wait_at (const struct cym_match *match,
                    const struct cym_server *server, cy_time_ns now);

/* ---- cym_warm.c */

/* Objects that SERVER handled since OBJECT, CYM_WARM_MAX if it does not know
   it.  */
uint32_t cym_warm_rank (const struct cym_server *server, uint64_t object);

/* True when SERVER seems to know OBJECT still.  */
bool cym_is_warm (const struct cym_server *server, uint64_t object);
void cym_warm_note (struct cym_server *server, uint64_t object);

/* ASK's answer took TOOK ns at SERVER: learns how many objects are kept.  */
void cym_warm_learn (struct cym_server *server, const struct cym_request *ask,
                     double took);

/* Uniform in [0, 1), the same for each pair: spreads objects over servers.  */
double cym_warm_order (const struct cym_server *server, uint64_t object);

/* ---- cym_spill.c */

/* True when ASK may be placed at SERVER of another region without moving more
   of the region's requests there at once than may shift, and without taking
   what is lent for requests that may run only there.  */
bool cym_spill_may (const struct cym_match *match,
                    const struct cym_request *ask,
                    const struct cym_server *server, cy_time_ns now);

/* ASK was placed, AWAY or not.  */
void cym_spill_note (struct cym_match *match, const struct cym_request *ask,
                     bool away, cy_time_ns now);

/* Lets the averages of SERVICE move up to NOW.  */
void cym_demand_measure (struct cym_service *service, cy_time_ns now);

/* ASK was refused: it would have kept a slot busy for its work.  */
void cym_demand_refused (struct cym_request *ask);

/* ASK, which only other regions may serve, starts or ends at a server.  */
void cym_demand_away (struct cym_request *ask, int change);

/* ---- cym_health.c */

/* Takes in how a request at SERVER ended.  */
void cym_health_note (struct cym_server *server, enum cym_outcome ending,
                      cy_time_ns now);

/* Takes in the time that ASK's answer took.  */
void cym_speed_note (struct cym_server *server, struct cym_request *ask,
                     cy_time_ns answer, cy_time_ns now);

void cym_load_note (struct cym_server *server, const struct cym_load *load,
                    cy_time_ns now);

/* ---- cym_queue.c */

/* Lets ASK wait, or says why not.  LATE: it has a place where its answer would
   come late, so it waits only for one in time.  */
cy_result cym_wait_enter (struct cym_match *match, struct cym_request *ask,
                          bool late, cy_time_ns now);
void cym_wait_leave (struct cym_request *ask);

/* Lets ASK wait for a full server that knows its object, if that is expected
   to end it in time and before BEST, the best one with a free slot (NULL:
   none).  */
bool cym_wait_preferred (struct cym_match *match, struct cym_request *ask,
                         const struct cym_server *best, cy_time_ns now);

/* The waiting request of SERVICE that SERVER should get, NULL if none.  */
struct cym_request *cym_wait_next (struct cym_match *match,
                                   struct cym_server *server, cy_time_ns now);

/* Milliseconds until a request like ASK may find room.  */
uint32_t cym_wait_retry_ms (const struct cym_match *match,
                            const struct cym_service *service, cy_time_ns now);

/* Lets SERVED decay up to NOW.  */
void cym_served_decay (struct cym_served *served, cy_time_ns now);

/* True when far fewer of these were placed than of others.  */
bool cym_served_starves (const struct cym_match *match,
                         const struct cym_served *served);

struct cym_served *cym_match_workspace (struct cym_match *match,
                                        const char *workspace);

/* Places ASK at SERVER.  CY_E_RATE_EXCEEDED: its workspace has no token.
   CY_E_RETRY_BUDGET: it is a repeat, and the budget is spent.  */
cy_result cym_place (struct cym_match *match, struct cym_request *ask,
                     struct cym_server *server, cy_time_ns now);

#endif /* CYM_INTERNAL_H */
