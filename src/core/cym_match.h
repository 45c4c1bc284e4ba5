/* Placer: assigns requests to backend servers.  One matcher serves the entry
   VMs of a region.  It stores how many requests are in flight at each server
   and which requests wait for a slot, and decides which request gets the next
   free slot, which one waits and which one is refused.  An entry VM that is
   not connected to a control VM uses a matcher of its own with a small share
   of the servers' slots.  A matcher does no I/O and reads no clock: each call
   passes the time.  Not thread-safe: one thread uses a matcher.

   Requests that can still be answered within their latency goal are served
   first; the other ones get the remaining slots.  Within both groups, requests
   of starved routes and workspaces (of which a far smaller part is placed than
   of the others) go first, then the order is by rank, by route rank and by the
   shortest expected answer time.  A request is refused at once when its
   expected wait is too long.  */

#ifndef CYM_MATCH_H
#define CYM_MATCH_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/cy_clock.h"
#include "core/cym_limit.h"
#include "core/cym_poison.h"
#include "core/cym_retry_budget.h"
#include "cy_result.h"

#define CYM_NAME_MAX       128  /* bytes of a name, with its final NUL */
#define CYM_OBJECTS_MAX    128  /* recent objects stored for one server */
#define CYM_OBJECT_BUCKETS 1024 /* hash buckets, 8 for each stored object */

/* Assumed round-trip time to another region in ms, used until answers of a
   server there have been measured.  */
#define CYM_REGION_ROUND_TRIP_MS 110

/* How a request at a server ended.  */
enum cym_outcome
{
  CYM_ANSWERED,     /* the server answered with success */
  CYM_ERROR,        /* the server answered with an error */
  CYM_NOT_RUN,      /* the server answered that it did not run the request */
  CYM_WRONG_SERVER, /* another server answered at the address */
  CYM_UNREACHABLE,  /* no connection could be opened: nothing was sent */
  CYM_BROKEN,       /* the connection broke, or the answer was invalid */
  CYM_TIMED_OUT,    /* the server did not answer before the timeout */
  CYM_CANCELLED     /* the caller ended it: no evidence about the server */
};

/* What a server reports about itself with an answer.  */
struct cym_load
{
  bool known;       /* the answer carried the three counts that follow */
  uint32_t running; /* requests that the server is running */
  uint32_t waiting; /* requests that wait inside the server */
  uint32_t slots;   /* requests that the server can run at once */
  uint32_t cold_ms; /* remaining time of the cold start, 0: not reported */
  bool leaving;     /* the incarnation is about to end */
  /* Time for which the server wants no request of the entry VM, 0: none.  */
  uint32_t pause_ms;
  bool limited;       /* the answer carried a limit */
  double limit_per_s; /* the limit, see struct cym_limit */
  bool unlimited;     /* the answer was a success without a limit */
};

/* One server of the register.  Strings belong to the caller.  */
struct cym_server_info
{
  const char *id;
  const char *service;
  const char *host;
  uint16_t port;
  const char *zone;
  const char *region;
  uint64_t incarnation; /* start time in Unix ms, distinguishes incarnations */
  uint32_t slots;       /* requests that the server can run at once */
  bool draining;        /* the server must get no new requests */
  uint32_t cold_ms;     /* remaining time of the cold start, 0: warmed up */
  bool contested; /* another server that may be used claims the address */
  cy_time_ns reported_at; /* time of its newest announcement, INT64_MAX: not
                             known */
};

struct cym_service;
struct cym_route_stats;
struct cym_placement_stats;
struct cym_remote_region;

/* An object that a server has handled recently.  */
struct cym_object
{
  uint64_t key;      /* hash of the object's key, 0: unused entry */
  uint64_t sequence; /* object_sequence of the latest request for it */
};

/* Time in which a server gets no request of one entry VM.  */
struct cym_pause
{
  CK_LIST_ENTRY (cym_pause) entry;
  uint64_t entry_vm; /* see struct cym_request */
  cy_time_ns until;
};

/* One incarnation of a server.  Only the matcher changes the fields.  */
struct cym_server
{
  CK_LIST_ENTRY (cym_server) entry; /* link in the service's list of servers */
  struct cym_service *service;
  char id[CYM_NAME_MAX];
  char host[46]; /* numeric IP address */
  uint16_t port;
  char zone[CYM_NAME_MAX];
  char region[CYM_NAME_MAX];
  uint64_t incarnation; /* start time in Unix ms, distinguishes incarnations */
  uint32_t slots;       /* requests that the server can run at once */
  bool draining;        /* the server gets no new requests */
  bool leaving;         /* so does one that reported that it leaves */
  CK_LIST_HEAD (cym_pauses, cym_pause) pauses;
  bool listed; /* the latest register update contained the server */

  /* True: the server is in this matcher's region.  False: it is in another
     region, and this matcher may use borrowed slots only.  */
  bool local;
  uint32_t borrowed; /* slots on loan to this matcher, if not local */
  /* Demand of the service for the region of the server, NULL if local.  */
  struct cym_remote_region *remote_region;
  uint32_t lent_out; /* slots on loan to other regions, if local */

  uint32_t in_flight; /* unfinished requests that this matcher placed */
  /* Requests of other placers at the server, computed from the load that it
     reported at others_reported_at.  */
  double others_in_flight;
  cy_time_ns others_reported_at;

  struct cym_limit limit;

  cy_time_ns cold_until; /* end of the cold start */
  /* Requests that may be placed now during the cold start.  Tokens arrive at
     the cold-start rate of the service.  */
  double cold_tokens;
  cy_time_ns cold_refilled_at; /* time up to which tokens were added */

  /* Ratio of measured to expected answer time, moving average; 1: as
     expected, above 1: slower than the average of the service.  */
  double slowdown;
  cy_time_ns slowdown_updated_at;

  uint32_t
      consecutive_failures; /* consecutive requests without a valid answer */
  uint32_t consecutive_ejections; /* ejections since the latest answer */
  cy_time_ns ejected_until;       /* no request is placed before this time */
  /* After an ejection, or once another server claims the address: one request
     at a time until the server answers.  */
  bool on_probation;
  bool contested; /* another server that may be used claims the address */
  cy_time_ns reported_at; /* time of its newest announcement */
  /* Time at which another server answered at its address, 0: it has answered
     since.  It gets no request until it has announced itself again.  */
  cy_time_ns misdirected_at;
  /* No connection was opened, or no answer came, at the latest attempts: the
     server may have restarted.  */
  bool unreachable;
  /* Additional answer time of a server in another region in ns, for the
     network path; moving average.  0 if local.  */
  double remote_latency_ns;
  double error_ratio;      /* share of failed requests, moving average */
  uint64_t finished_count; /* requests that ended here, with any outcome */
  uint32_t trial_count;    /* suspect requests in flight, see cym_poison.h */
  /* First and latest time at which the incarnation seemed to end under a
     request, since it was last seen alive; 0: never.  */
  cy_time_ns first_ended_at;
  cy_time_ns ended_at;
  /* Time for which one request occupies a slot in ns, moving average; measured
     at local servers only, 0: not measured.  */
  double service_time_ns;

  /* Requests that wait for a slot of this server in particular, as it probably
     has their object cached.  */
  uint32_t affinity_waiting;
  uint64_t object_sequence; /* requests with an object placed here so far */
  struct cym_object objects[CYM_OBJECTS_MAX]; /* least recent is replaced */
  /* Hash table of objects: index in objects plus 1 by bucket, 0: no object
     with this hash.  Of two objects with one bucket the later one is there. */
  uint8_t object_index[CYM_OBJECT_BUCKETS];
};

CK_LIST_HEAD (cym_servers, cym_server);

/* One request that needs a server, embedded in a struct of the caller.  The
   caller sets the first part before cym_match_place.  Strings and the array of
   regions belong to the caller and stay valid until the request has ended.  */
struct cym_request
{
  const char *service;
  const char *route;
  const char *workspace; /* "" on open routes */
  const char *zone;      /* availability zone of the entry VM */
  uint64_t entry_vm;     /* hash of the entry VM's name, for pauses */
  const char *avoid;     /* server used only if no other is free, or NULL */
  uint32_t rank;         /* priority, 0 is the most urgent */
  uint32_t route_rank;   /* priority among requests of equal rank */
  cy_time_ns goal_at;    /* end of the latency goal */
  cy_time_ns deadline_at;
  /* Time in ns that the request may wait for a slot even if the latency goal
     can no longer be met; applies when no server has a free slot.  */
  cy_time_ns wait_past_goal;
  uint64_t affinity; /* hash of the object's key, 0: no object */
  bool is_retry;     /* retry: an earlier attempt reached a server */
  /* A placer has already counted the request for the retry budget.  */
  bool counted;
  bool metered;         /* needs a token of the workspace's rate limit */
  uint64_t fingerprint; /* see cym_poison.h, 0: none */
  /* Set before cym_match_finish: the request was sent, and the connection
     ended without a byte of an answer.  */
  bool reset;
  char *const
      *allowed_regions; /* regions that are allowed to serve the request */
  size_t
      allowed_region_count; /* number of these regions, 0: all are allowed */
  /* Called once with the result of a request for which cym_match_place has
     returned CY_E_AGAIN, from inside any function of the matcher.  It must
     store the result and call no function of the matcher.  */
  void (*on_decision) (struct cym_request *request, cy_result result);
  void *owner; /* not used by the matcher, for the caller */

  /* Set by the matcher.  */
  struct cym_server *server; /* where to send the request, after CY_OK */
  /* Expected time from sending to the first byte of the answer in ns, after
     CY_OK; 0 until an answer on the route has been measured.  */
  cy_time_ns expected_time;
  uint32_t retry_after_ms;         /* for a refusal, 0: not known */
  cy_time_ns waited;               /* time spent waiting for a slot, ns */
  TAILQ_ENTRY (cym_request) entry; /* in the queue of the service */
  struct cym_service *service_state;
  struct cym_route_stats *route_stats;
  struct cym_placement_stats *workspace_stats;
  cy_time_ns arrived_at; /* time of cym_match_place */
  cy_time_ns placed_at;  /* time at which it got its server, 0: adopted */
  cy_time_ns wait_until; /* end of the wait for a slot */
  bool remote_only;      /* this matcher's region may not serve the request */
  /* The chosen server probably had the object cached.  */
  bool affinity_hit;
  /* Objects that the chosen server handled after it last handled the request's
     object; CYM_OBJECTS_MAX: the object was not stored for the server.  */
  uint32_t lru_distance;
  /* Server with the object that the request waits for; another server that is
     expected to answer earlier may get it.  NULL: waits for any server.  */
  struct cym_server *preferred;
  bool queued;   /* the request waits for a slot */
  bool is_trial; /* placed as a suspect request */
};

/* Fleet-wide limits that the matcher enforces.  */
struct cym_limits
{
  struct cym_retry_limits retries; /* retry budget of each service */
};

/* Options of a matcher.  Pointers stay valid as long as the matcher.  */
struct cym_options
{
  const char *region; /* region whose servers are local */
  const struct cy_random *random;
  struct cym_limits limits;
  /* Takes a token of WORKSPACE for a request that is being placed.  False:
     the workspace is over its rate limit.  */
  bool (*take_token) (void *context, const char *workspace, cy_time_ns now);
  /* True when WORKSPACE has a token besides those that WAITING queued requests
     will take.  A request without one is refused and does not wait.  */
  bool (*has_token) (void *context, const char *workspace, unsigned waiting,
                     cy_time_ns now);
  /* Expected time until WORKSPACE has a token again, ms.  */
  uint32_t (*token_wait_ms) (void *context, const char *workspace,
                             cy_time_ns now);
  void *context; /* first argument of the three functions */
  /* Called for every change of a poison request, see cym_poison.h; NULL: not
     called.  The cause is the struct cym_request whose end showed it, NULL for
     what another placer reported.  */
  cym_poison_fn on_poison;
  void *poison_context;
};

struct cym_match;

/* Copies OPTIONS.  Never returns NULL.  */
struct cym_match *cym_match_create (const struct cym_options *options);

/* Frees MATCH, which may be NULL, with its servers.  Requests belong to their
   callers and must have ended.  */
void cym_match_destroy (struct cym_match *match);

/* Sets the share of the region's slots, cold-start rates and retry budget that
   this matcher may use, 0 to 1: below 1 when several matchers place requests
   in the region.  Values outside are clamped.  */
void cym_match_set_share (struct cym_match *match, double share);

/* Declares the requests per second that a server of SERVICE handles during its
   cold start (0: no limit), and how long the cold start lasts.  */
void cym_match_declare_service (struct cym_match *match, const char *service,
                                double cold_per_s, uint32_t cold_ms);

/* Update from the register: cym_match_begin_update, cym_match_put_server for
   each server, cym_match_end_update.  Servers that were not put get no more
   requests.  */
void cym_match_begin_update (struct cym_match *match);
void cym_match_put_server (struct cym_match *match,
                           const struct cym_server_info *info, cy_time_ns now);
void cym_match_end_update (struct cym_match *match, cy_time_ns now);

/* Places REQUEST.  CY_OK: at its server.  CY_E_AGAIN: the request waits, and
   its callback gets the result.  CY_E_NO_ROOM, CY_E_QUEUE_FULL,
   CY_E_NO_BACKEND, CY_E_DEADLINE, CY_E_RATE_EXCEEDED, CY_E_RETRY_BUDGET,
   CY_E_POISON_REQUEST: the request is refused.  */
cy_result cym_match_place (struct cym_match *match,
                           struct cym_request *request, cy_time_ns now);

/* Removes REQUEST from the queue, if it waits; the callback is not called.  */
void cym_match_cancel (struct cym_match *match, struct cym_request *request);

/* Counts REQUEST, which another matcher has placed at INCARNATION of server
   ID, as in flight here.  False when this matcher does not have that
   incarnation.  */
bool cym_match_adopt (struct cym_match *match, struct cym_request *request,
                      const char *id, uint64_t incarnation, cy_time_ns now);

/* Records the end of REQUEST, which was placed, and gives the free slot to a
   waiting request.  ANSWER_TIME is the time in ns from sending to the first
   byte of the answer, 0: no answer.  LOAD is the load that the server reported
   with the answer.  */
void cym_match_finish (struct cym_match *match, struct cym_request *request,
                       enum cym_outcome outcome, cy_time_ns answer_time,
                       const struct cym_load *load, cy_time_ns now);

/* Records what INCARNATION of server ID reported to ENTRY_VM besides the ends
   of requests that this matcher placed.  Ignored when this matcher does not
   have that incarnation.  */
void cym_match_notice (struct cym_match *match, const char *id,
                       uint64_t incarnation, uint64_t entry_vm,
                       const struct cym_load *load, cy_time_ns now);

/* Records PER_S, INFINITY for none, as the limit of INCARNATION of server ID:
   see cym_limit_record.  It is kept for the server when this matcher does not
   have that incarnation yet.  Returns true when the limit has changed.  */
bool cym_match_record_limit (struct cym_match *match, const char *id,
                             uint64_t incarnation, double per_s,
                             cy_time_ns sent_at, cy_time_ns received_at);

/* Number of servers with a limit.  */
unsigned cym_match_count_limited (const struct cym_match *match);

/* Gives free slots to waiting requests and ends the waits that are over.  The
   caller calls it at the time that cym_match_next_tick returns.  */
void cym_match_tick (struct cym_match *match, cy_time_ns now);

/* Time at which the next tick is due, INT64_MAX when no request waits.  */
cy_time_ns cym_match_next_tick (const struct cym_match *match);

/* ------------------------------------------------------------ lending */

/* Slots of one service that requests of the last seconds needed.  */
struct cym_demand
{
  double local_slots; /* slots of local servers that take requests and are not
                         cold */
  /* Slots needed by requests that local servers are allowed to serve: used
     ones at any server, and those that waiting and refused requests lack.  */
  double wanted_slots;
  double borrowed_in_use; /* slots of other regions that these occupy now */
};

/* Fills DEMAND for SERVICE.  */
void cym_match_get_demand (struct cym_match *match, const char *service,
                           cy_time_ns now, struct cym_demand *demand);

/* Calls EACH for every other region of SERVICE with the slots that are needed
   there by requests which the local region is not allowed to serve.  */
typedef void (*cym_remote_demand_fn) (const char *region, double slots,
                                      void *context);
void cym_match_each_remote_demand (struct cym_match *match,
                                   const char *service, cy_time_ns now,
                                   cym_remote_demand_fn each, void *context);

/* Sets how many slots of INCARNATION of server ID another region lends to this
   matcher.  Ignored when this matcher does not have that incarnation.  */
void cym_match_set_loan (struct cym_match *match, const char *id,
                         uint64_t incarnation, uint32_t slots, cy_time_ns now);

/* ------------------------------------------------------------ retries */

/* Sets whether the placers of all regions report their counts of requests and
   retries to this matcher (ALL).  */
void cym_match_set_all_placers_known (struct cym_match *match, bool all);

/* Adds REQUESTS and RETRIES that another placer of kind SOURCE counted since
   its previous report.  */
void cym_match_add_remote_retries (struct cym_match *match,
                                   const char *service,
                                   enum cym_retry_source source,
                                   uint32_t requests, uint32_t retries,
                                   cy_time_ns now);

/* Records that requests of SERVICE which other placers counted before NOW were
   never reported to this matcher.  */
void cym_match_record_missed_requests (struct cym_match *match,
                                       const char *service, cy_time_ns now);

/* Calls EACH for every service with the requests and retries that this matcher
   has counted since it was created.  */
typedef void (*cym_retry_count_fn) (const char *service,
                                    const struct cym_retry_budget *counts,
                                    void *context);
void cym_match_each_retry_count (const struct cym_match *match,
                                 cym_retry_count_fn each, void *context);

/* ------------------------------------------------------------ poison */

/* Records END, which another placer reported.  */
void cym_match_merge_poison (struct cym_match *match,
                             const struct cym_poison_end *end, cy_time_ns now);

/* The matcher's poison requests, which belong to it, to report them.  */
struct cym_poison *cym_match_poison (struct cym_match *match);

/* ------------------------------------------------------------ queries */

/* Use of the servers of one service.  */
struct cym_occupancy
{
  uint32_t servers;   /* servers that may be chosen when a slot is free */
  uint32_t slots;     /* slots of these servers that this matcher may use */
  uint32_t in_flight; /* unfinished requests, at all servers */
  uint32_t waiting;   /* requests that wait for a slot */
};

/* Fills OCCUPANCY for SERVICE, with zeros if the service is unknown.  */
void cym_match_get_occupancy (const struct cym_match *match,
                              const char *service, cy_time_ns now,
                              struct cym_occupancy *occupancy);

/* Calls EACH for every known service.  */
typedef void (*cym_service_fn) (const char *service, void *context);
void cym_match_each_service (const struct cym_match *match,
                             cym_service_fn each, void *context);

/* Returns the current incarnation of server ID, NULL if unknown.  It belongs
   to the matcher and is valid until the next register update.  */
struct cym_server *cym_match_find (const struct cym_match *match,
                                   const char *id);

/* Returns the list of the servers of SERVICE, which belongs to the matcher. */
struct cym_servers *cym_match_servers (struct cym_match *match,
                                       const char *service);

#endif /* CYM_MATCH_H */
