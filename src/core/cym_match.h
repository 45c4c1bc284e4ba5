/* Places requests at backend servers.  One matcher serves the entry VMs of a
   region: it knows what is in flight at every server, which request waits,
   and decides who gets the next free slot, who waits and who is refused at
   once.  An entry VM that reaches no such matcher uses one of its own with a
   small share.  Pure: the time comes in with every call.  One thread.

   A request is worth most when it is answered within its latency goal.  So
   requests that still can be are served first, by rank and then the short
   ones first; the rest gets what is left.  A request is refused at once when
   its turn would come too late.  Routes and workspaces that fall far behind
   the others go first.  */

#ifndef CYM_MATCH_H
#define CYM_MATCH_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/cy_clock.h"
#include "core/cym_retry_budget.h"
#include "cy_result.h"

#define CYM_NAME_MAX  128  /* bytes of a server's or service's name */
#define CYM_WARM_MAX  128  /* object keys remembered for one server */
#define CYM_PLACES    1024 /* by an object's hash; 8 for each that is kept */
#define CYM_REGION_MS 110  /* ms to another region and back, until measured */

/* How a request at a server ended.  */
enum cym_outcome
{
  CYM_ANSWERED,    /* it answered */
  CYM_ERROR,       /* it answered that it failed */
  CYM_NOT_RUN,     /* it said that it did not run the request */
  CYM_WRONG,       /* another server has the address */
  CYM_UNREACHABLE, /* no connection: nothing was sent */
  CYM_BROKEN,      /* the connection broke or brought no valid answer */
  CYM_SILENT,      /* no answer in time */
  CYM_CANCELLED    /* ended by the caller: says nothing */
};

/* What a server says of its own load, with an answer.  */
struct cym_load
{
  bool known;
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t cold_ms; /* how much longer it is cold, 0: not said */
};

/* One server as the register has it.  */
struct cym_server_info
{
  const char *id;
  const char *service;
  const char *host;
  uint16_t port;
  const char *zone;
  const char *region;
  uint64_t born;
  uint32_t slots;
  bool draining;
  uint32_t cold_ms; /* how much longer it is cold */
};

struct cym_service;
struct cym_class;
struct cym_served;
struct cym_home;

/* An object that a server handled, and in which turn.  */
struct cym_object
{
  uint64_t key; /* 0: none */
  uint64_t turn;
};

/* One server.  Fields are the matcher's to change.  */
struct cym_server
{
  CK_LIST_ENTRY (cym_server) entry;
  struct cym_service *service;
  char id[CYM_NAME_MAX];
  char host[46];
  uint16_t port;
  char zone[CYM_NAME_MAX];
  char region[CYM_NAME_MAX];
  uint64_t born;
  uint32_t slots;
  bool draining;
  bool listed;           /* in the register */
  bool own;              /* its slots are this matcher's, else lent */
  uint32_t lent;         /* slots lent to this matcher, if not OWN */
  struct cym_home *home; /* of its region, if not OWN */
  uint32_t given;        /* slots lent to other matchers, if OWN */
  uint32_t in_flight;    /* placed by this matcher */
  double foreign;        /* placed by others, as its answers show */
  cy_time_ns foreign_at;
  cy_time_ns cold_until;
  double cold_tokens; /* requests that it bears now */
  cy_time_ns cold_filled;
  double speed; /* time to answer to its service's usual, 1: as usual */
  cy_time_ns speed_at;
  uint32_t failures; /* in a row */
  uint32_t ejections;
  cy_time_ns ejected_until;
  bool returning;   /* one request at a time until it answers */
  bool away;        /* it did not answer at all: it may have started anew */
  double extra_ns;  /* what its answers take longer for the way */
  double errors;    /* share of its answers, moving average */
  uint64_t served;  /* requests that it ended */
  double work_ns;   /* that its slots are kept busy by one, average */
  uint32_t awaited; /* waiting requests that prefer it */
  uint64_t turn;    /* counts the requests with an object */
  struct cym_object objects[CYM_WARM_MAX]; /* that it handled lately */
  uint8_t places[CYM_PLACES]; /* where in OBJECTS, one more, by hash */
};

CK_LIST_HEAD (cym_servers, cym_server);

/* One request that needs a server, part of the owner's struct.  The owner sets
   the first part before cym_match_place; texts stay valid until the end.  */
struct cym_request
{
  const char *service;
  const char *route;
  const char *workspace; /* "" on open routes */
  const char *zone;      /* of the entry VM */
  const char *avoid;     /* server to avoid, NULL: none */
  uint32_t rank;         /* 0 is the most urgent */
  uint32_t route_rank;   /* decides between equal ranks */
  cy_time_ns goal_at;    /* when the answer should have come */
  cy_time_ns deadline_at;
  cy_time_ns hold;    /* may wait so long even when the goal is lost */
  uint64_t affinity;  /* hash of the object's key, 0: none */
  bool again;         /* an earlier attempt reached a server */
  bool counted;       /* as a request, by this placer or another one */
  bool metered;       /* takes a token of its workspace */
  char *const *homes; /* regions that may serve it */
  size_t home_count;  /* 0: any may */
  /* Called once after CY_E_AGAIN, from inside any call of the matcher: only
     notes the result.  */
  void (*answered) (struct cym_request *ask, cy_result result);
  void *owner;

  /* Set by the matcher.  */
  struct cym_server *server; /* CY_OK: where it goes */
  cy_time_ns usual;          /* CY_OK: that its answer is expected to take, 0
                                until one of its route has come */
  uint32_t retry_after_ms;   /* with a refusal, 0: not known */
  cy_time_ns waited;
  TAILQ_ENTRY (cym_request) entry;
  struct cym_service *at;
  struct cym_class *class_of;
  struct cym_served *from; /* its workspace */
  cy_time_ns since;
  cy_time_ns until; /* it waits no longer */
  bool away;        /* only servers of other regions may serve it */
  bool warm;        /* its server was thought to know the object */
  uint32_t rank_at; /* objects that it handled since, of those remembered */
  struct cym_server *prefers; /* waits for this one above all, NULL: any */
  bool queued;
};

/* Rules of the fleet that the matcher keeps.  */
struct cym_limits
{
  struct cym_retry_limits repeats;
};

struct cym_options
{
  const char *region; /* whose servers are its own */
  const char *zone;   /* own one of an entry VM, "" for a region's matcher */
  const struct cy_random *random;
  struct cym_limits bounds;
  /* Takes a token of WORKSPACE.  Called as a request is placed.  */
  bool (*take_token) (void *context, const char *workspace, cy_time_ns now);
  /* True when WORKSPACE has a token besides those that WAITING others will
     take: one that has none does not wait.  */
  bool (*has_token) (void *context, const char *workspace, unsigned waiting,
                     cy_time_ns now);
  uint32_t (*token_wait_ms) (void *context, const char *workspace,
                             cy_time_ns now);
  void *context;
};

struct cym_match;

struct cym_match *cym_match_create (const struct cym_options *options);
void cym_match_destroy (struct cym_match *match);

/* Share of the fleet's cold rates and slots that this matcher may use, 0 to
   1: below 1 when other matchers place requests in the same region.  */
void cym_match_set_share (struct cym_match *match, double share);

/* Declares what a cold server of SERVICE bears, and for how long one is cold
   after its start.  */
void cym_match_declare_service (struct cym_match *match, const char *service,
                                double cold_per_s, uint32_t cold_ms);

/* Update from the register: begin, put each, end.  What was not put again
   gets nothing more.  */
void cym_match_begin (struct cym_match *match);
void cym_match_put (struct cym_match *match,
                    const struct cym_server_info *facts, cy_time_ns now);
void cym_match_end (struct cym_match *match, cy_time_ns now);

/* Places ASK.  CY_OK: at ASK->server.  CY_E_AGAIN: it waits, ANSWERED follows.
   CY_E_NO_ROOM, CY_E_NO_BACKEND, CY_E_DEADLINE, CY_E_RATE_EXCEEDED,
   CY_E_RETRY_BUDGET: refused.  */
cy_result cym_match_place (struct cym_match *match, struct cym_request *ask,
                           cy_time_ns now);

/* ASK waits no longer; nothing follows.  */
void cym_match_cancel (struct cym_match *match, struct cym_request *ask);

/* ASK was placed at server ID by another matcher: counts it here.  False when
   the server is not known.  */
bool cym_match_adopt (struct cym_match *match, struct cym_request *ask,
                      const char *id, uint64_t born);

/* The request of ASK, which was placed, has ended.  ANSWER is the time from
   its sending to the first byte, 0: none.  */
void cym_match_finish (struct cym_match *match, struct cym_request *ask,
                       enum cym_outcome ending, cy_time_ns answer,
                       const struct cym_load *load, cy_time_ns now);

/* Lets time pass.  Call it when cym_match_next_tick says so.  */
void cym_match_tick (struct cym_match *match, cy_time_ns now);

/* When the next tick is due, INT64_MAX when nothing waits.  */
cy_time_ns cym_match_next_tick (const struct cym_match *match);

/* ------------------------------------------------------------ lending */

/* What the requests of the last seconds would have kept busy, in slots.  */
struct cym_demand
{
  double own;      /* slots of own servers that take requests */
  double local;    /* wanted by requests that own servers may serve */
  double borrowed; /* of other regions that these requests use now */
};
void cym_match_demand (struct cym_match *match, const char *service,
                       cy_time_ns now, struct cym_demand *demand);

/* Calls EACH for every region whose servers alone may serve some of these
   requests, with the slots that they want there.  */
typedef void (*cym_home_fn) (const char *region, double slots, void *context);
void cym_match_each_home (struct cym_match *match, const char *service,
                          cy_time_ns now, cym_home_fn each, void *context);

/* Sets how many slots of server ID, the incarnation that started at BORN,
   another region lends to this matcher.  */
void cym_match_set_loan (struct cym_match *match, const char *id,
                         uint64_t born, uint32_t slots, cy_time_ns now);

/* ------------------------------------------------------------ repeats */

/* Whether the placers of all regions are heard.  */
void cym_match_set_all_placers_known (struct cym_match *match, bool all);

/* Another placer counted REQUESTS and REPEATS since it last told.  */
void cym_match_add_remote_retries (struct cym_match *match,
                                   const char *service,
                                   enum cym_retry_source source,
                                   uint32_t requests, uint32_t repeats,
                                   cy_time_ns now);

/* Others counted requests of SERVICE that this matcher has not heard of.  */
void cym_match_record_missed_requests (struct cym_match *match,
                                       const char *service, cy_time_ns now);

/* Calls EACH for every service with what this matcher counted since its
   start.  */
typedef void (*cym_count_fn) (const char *service,
                              const struct cym_retry_budget *counts,
                              void *context);
void cym_match_each_count (const struct cym_match *match, cym_count_fn each,
                           void *context);

/* ------------------------------------------------------------ questions */

struct cym_room
{
  uint32_t servers; /* that may be chosen when they have room */
  uint32_t slots;
  uint32_t in_flight;
  uint32_t waiting;
};
void cym_match_room (const struct cym_match *match, const char *service,
                     cy_time_ns now, struct cym_room *room);

typedef void (*cym_service_fn) (const char *service, void *context);
void cym_match_each_service (const struct cym_match *match,
                             cym_service_fn each, void *context);

struct cym_server *cym_match_find (const struct cym_match *match,
                                   const char *id);
struct cym_servers *cym_match_servers (struct cym_match *match,
                                       const char *service);

#endif /* CYM_MATCH_H */
