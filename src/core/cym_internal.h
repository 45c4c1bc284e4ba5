/* Parts of the matcher that are shared by cym_match.c (placing, ends of
   requests, time), cym_choose.c (choice of a server), cym_queue.c (waiting
   requests and their order), cym_affinity.c (objects that servers have
   cached), cym_spillover.c (demand between regions, spillover), cym_health.c
   (ejection and measured speed of servers) and cym_trial.c (requests that may
   end servers).  */

#ifndef CYM_INTERNAL_H
#define CYM_INTERNAL_H

#include <glib.h>

#include "core/cym_match.h"

/* Time constant in s of the averages in struct cym_placement_stats.  */
#define CYM_PLACEMENT_AVERAGE_S 5.0

TAILQ_HEAD (cym_requests, cym_request);

/* Recent requests of one route, of one workspace or of the whole matcher.  */
struct cym_placement_stats
{
  double offered; /* requests that arrived, with exponential decay */
  double placed;  /* requests that got a server, with exponential decay */
  cy_time_ns updated_at; /* time up to which both have decayed */
  /* Waiting requests that will take a token; counted for workspaces only.  */
  unsigned waiting;
};

/* The requests of one route at one service.  */
struct cym_route_stats
{
  char *route;
  /* Answer time in ns at a server that does not have the object cached, moving
     average; 0: not measured.  */
  double service_time_ns;
  /* Answer time in ns at a server that has the object cached, moving average;
     0: not measured.  */
  double cached_time_ns;
  struct cym_placement_stats placements; /* recent requests of the route */
};

/* One service with its servers and waiting requests.  */
struct cym_service
{
  char *name;
  struct cym_servers servers;
  struct cym_requests waiting; /* requests that wait, in order of arrival */
  uint32_t waiting_count;
  GHashTable *routes;     /* route to struct cym_route_stats */
  double service_time_ns; /* answer time over all routes, 0: not measured */
  double cache_size;      /* estimated objects that a server keeps cached */
  bool has_local_server;  /* some local server takes requests */
  double cold_per_s;      /* requests/s of a cold server, 0: no limit */
  uint32_t cold_ms;       /* length of a cold start */
  struct cym_retry_budget retry_budget;
  uint32_t retries_waiting; /* retries among the waiting requests */
  /* Slots in use, at any server, by requests that local servers are allowed to
     serve; moving average.  */
  double busy_slots;
  /* Slots that refused requests needed, of those that local servers are
     allowed to serve; with exponential decay.  */
  double refused_slots;
  GHashTable *remote_regions;    /* region to struct cym_remote_region */
  cy_time_ns demand_measured_at; /* latest update of the demand averages */
  cy_time_ns swept_at; /* latest check of all servers for waiting requests */
  bool sweep_due;      /* a check was put off, as it came too early */
};

/* Demand for the servers of one other region by requests that the local region
   is not allowed to serve, and the use of slots that are borrowed there.  */
struct cym_remote_region
{
  /* Running requests that the local region is not allowed to serve.  */
  uint32_t remote_only_in_flight;
  double busy_slots;    /* moving average of remote_only_in_flight */
  double refused_slots; /* slots that refused requests needed, with decay */
  uint32_t borrowed;    /* slots that the region lends to this matcher */
  /* Borrowed slots in use by requests that local servers may serve too.  */
  uint32_t spillover_in_flight;
};

struct cym_match
{
  struct cym_options options;
  GHashTable *services;   /* name to struct cym_service */
  GHashTable *by_id;      /* id to the current struct cym_server */
  GHashTable *workspaces; /* name to struct cym_placement_stats */
  /* Limits of incarnations that are not in the register: "ID/INCARNATION" to
     struct cym_limit.  */
  GHashTable *parked_limits;
  struct cym_poison *poison;
  struct cym_placement_stats total; /* all requests of the matcher */
  double share;                     /* usable part of the region, 0 to 1 */
  bool all_placers_known; /* the placers of all regions report their counts */

  /* Spillover: requests that local servers may serve, placed in other
     regions.  The ratio is updated at the end of short slices of time.  */
  double spillover_ratio;  /* spillover per placed request, moving average */
  double spillover_tokens; /* requests that may spill over now */
  double slice_placed;     /* requests placed since slice_started_at */
  double slice_spilled;    /* spillover since slice_started_at */
  cy_time_ns slice_started_at;
  cy_time_ns spillover_started_at; /* first request after an idle time */
};

/* Returns the entry of REGION, which is created at the first call and lives as
   long as SERVICE.  */
struct cym_remote_region *cym_remote_region_get (struct cym_service *service,
                                                 const char *region);

/* ---- cym_choose.c */

/* Expected time from sending REQUEST to SERVER to the first byte of the
   answer, ns.  While no answer time of the service has been measured, this is
   only the latency of the network path to another region, 0 for a local
   server.  */
double cym_expected_answer_ns (const struct cym_server *server,
                               const struct cym_request *request,
                               cy_time_ns now);

/* Chooses the server with a free slot that costs REQUEST least; NULL if there
   is none that answers before the deadline.  ON_TIME: only servers that are
   expected to answer within the latency goal.  */
struct cym_server *cym_choose_server (struct cym_match *match,
                                      struct cym_request *request,
                                      bool on_time, cy_time_ns now);

/* Chooses the server that has the object of REQUEST cached and is expected to
   answer first, even if all of its slots are occupied.  Sets FINISH_NS to the
   expected time from NOW until the answer.  Returns NULL if no server has the
   object.  */
struct cym_server *cym_choose_cached (struct cym_match *match,
                                      struct cym_request *request,
                                      double *finish_ns, cy_time_ns now);

/* True when SERVER has a slot that this matcher may use and that is free.  */
bool cym_has_free_slot (const struct cym_match *match,
                        const struct cym_server *server, cy_time_ns now);

/* True when REQUEST may be placed at SERVER now.  */
bool cym_may_place (const struct cym_match *match, struct cym_server *server,
                    const struct cym_request *request, cy_time_ns now);

/* True when the region of SERVER is allowed to serve REQUEST.  */
bool cym_is_region_allowed (const struct cym_server *server,
                            const struct cym_request *request);

/* True when SERVER takes requests, whether or not a slot is free.  */
bool cym_is_usable (const struct cym_server *server, cy_time_ns now);

/* Number of slots of SERVER that this matcher may use, free or not.  */
double cym_capacity (const struct cym_match *match,
                     const struct cym_server *server, cy_time_ns now);

/* Share of the limit of SERVER that this matcher may use, 0 to 1: in
   proportion to the slots that it has there, so that the shares of all
   regions add up to 1.  */
double cym_limit_share (const struct cym_match *match,
                        const struct cym_server *server);

/* Expected time in ns until SERVER, whose slots are occupied, has a slot for
   one more request that waits for this server.  */
double cym_expected_wait_ns (const struct cym_match *match,
                             const struct cym_server *server, cy_time_ns now);

/* ---- cym_affinity.c */

/* Number of objects that SERVER handled after it last handled OBJECT;
   CYM_OBJECTS_MAX if OBJECT is not stored for it.  */
uint32_t cym_affinity_lru_distance (const struct cym_server *server,
                                    uint64_t object);

/* True when SERVER probably still has OBJECT cached.  */
bool cym_is_cached (const struct cym_server *server, uint64_t object);

/* Records that a request for OBJECT is placed at SERVER; 0 is no object.  */
void cym_affinity_record (struct cym_server *server, uint64_t object);

/* Updates the estimated cache size of the service from REQUEST, which SERVER
   answered after ANSWER_NS ns.  */
void cym_affinity_update_size (struct cym_server *server,
                               const struct cym_request *request,
                               double answer_ns);

/* Hash of SERVER and OBJECT, uniform in [0, 1): gives each object an order of
   the servers, which spreads the objects over them.  */
double cym_affinity_order (const struct cym_server *server, uint64_t object);

/* ---- cym_spillover.c */

/* True when REQUEST may be placed at SERVER of another region.  False when the
   share of requests that run in other regions would grow too fast, or when the
   borrowed slot is needed by requests that may run only there.  */
bool cym_spillover_is_allowed (const struct cym_match *match,
                               const struct cym_request *request,
                               const struct cym_server *server,
                               cy_time_ns now);

/* Records that REQUEST is placed, IS_REMOTE: at a server of another region. */
void cym_spillover_record (struct cym_match *match,
                           const struct cym_request *request, bool is_remote,
                           cy_time_ns now);

/* Updates the demand averages of SERVICE to NOW.  */
void cym_demand_measure (struct cym_service *service, cy_time_ns now);

/* Adds to the demand the slots that REQUEST, which is refused, would have
   occupied on average.  */
void cym_demand_record_refused (struct cym_request *request);

/* Adds CHANGE, 1 at the start and -1 at the end, to the running requests that
   the local region is not allowed to serve.  REQUEST counts for the first one
   of the allowed regions.  */
void cym_demand_count_remote_only (struct cym_request *request, int change);

/* ---- cym_health.c */

/* Updates the health of SERVER by the outcome of a request.  */
void cym_health_record (struct cym_server *server, enum cym_outcome outcome,
                        cy_time_ns now);

/* Updates the averages of the server, route and service by the answer of
   REQUEST, which came ANSWER_TIME ns after sending.  */
void cym_answer_time_record (struct cym_server *server,
                             struct cym_request *request,
                             cy_time_ns answer_time, cy_time_ns now);

/* Stores what SERVER reported with an answer to a request of ENTRY_VM.  */
void cym_load_record (struct cym_server *server, uint64_t entry_vm,
                      const struct cym_load *load, cy_time_ns now);

/* ---- cym_pause.c */

/* Lets SERVER get no request of ENTRY_VM before UNTIL; an earlier pause that
   ends later stays.  */
void cym_pause_set (struct cym_server *server, uint64_t entry_vm,
                    cy_time_ns until, cy_time_ns now);

/* Rest of the pause of SERVER for ENTRY_VM in ns, 0: none.  */
cy_time_ns cym_pause_left (const struct cym_server *server, uint64_t entry_vm,
                           cy_time_ns now);

/* Removes all pauses of SERVER.  */
void cym_pause_clear (struct cym_server *server);

/* ---- cym_trial.c */

/* Counts REQUEST, which has its server, as a trial if it is suspect.  */
void cym_trial_start (struct cym_match *match, struct cym_request *request,
                      cy_time_ns now);

/* True when REQUEST is blocked or waits for the end of a trial.  */
bool cym_trial_is_suspended (const struct cym_match *match,
                             const struct cym_request *request,
                             cy_time_ns now);

/* Refuses REQUEST, which is suspended: sets its retry_after_ms.  */
cy_result cym_trial_refuse (struct cym_match *match,
                            struct cym_request *request, cy_time_ns now);

/* Records what the end of REQUEST at SERVER shows about poison requests.  Only
   a success clears the request: a server that answers with an error may not
   have run it.  */
void cym_trial_record (struct cym_match *match, struct cym_server *server,
                       struct cym_request *request, enum cym_outcome outcome,
                       cy_time_ns answer_time, cy_time_ns now);

/* ---- cym_queue.c */

/* Puts REQUEST into the queue: CY_E_AGAIN, or returns why it is refused.
   LATE: the caller has a free server at which the answer would miss the
   latency goal, so the request waits only for a slot that meets the goal.  */
cy_result cym_queue_enter (struct cym_match *match,
                           struct cym_request *request, bool late,
                           cy_time_ns now);

/* Removes REQUEST from the queue, if it is there.  */
void cym_queue_leave (struct cym_request *request);

/* Puts REQUEST, a suspect one, into the queue until the trial ends:
   CY_E_AGAIN, or returns why it is refused.  */
cy_result cym_queue_hold (struct cym_match *match, struct cym_request *request,
                          cy_time_ns now);

/* Puts REQUEST into the queue for a server that has the object cached and no
   free slot, if this is expected to meet the latency goal and to answer before
   BEST, the best server with a free slot (NULL: none).  False: not queued.  */
bool cym_queue_for_preferred (struct cym_match *match,
                              struct cym_request *request,
                              const struct cym_server *best, cy_time_ns now);

/* Returns the waiting request that goes to SERVER next, NULL if none.  */
struct cym_request *cym_queue_next (struct cym_match *match,
                                    struct cym_server *server, cy_time_ns now);

/* Retry-After in ms for REQUEST, which is refused: the expected time until a
   slot is free, plus a random part; not before the first pause of the servers
   ends if all of them are paused.  */
uint32_t cym_queue_retry_after_ms (const struct cym_match *match,
                                   const struct cym_request *request,
                                   cy_time_ns now);

/* Applies the decay of STATS up to NOW.  */
void cym_placement_stats_decay (struct cym_placement_stats *stats,
                                cy_time_ns now);

/* True when a far smaller part of the requests in STATS was placed than of all
   requests of the matcher.  */
bool cym_placement_stats_is_starved (const struct cym_match *match,
                                     const struct cym_placement_stats *stats);

/* Returns the entry of WORKSPACE, which is created at the first call and lives
   as long as MATCH.  */
struct cym_placement_stats *cym_workspace_stats_get (struct cym_match *match,
                                                     const char *workspace);

/* ---- cym_match.c */

/* Places REQUEST at SERVER.  CY_E_RATE_EXCEEDED: the workspace has no token.
   CY_E_RETRY_BUDGET: the request is a retry, and the budget is used up.  */
cy_result cym_place_at_server (struct cym_match *match,
                               struct cym_request *request,
                               struct cym_server *server, cy_time_ns now);

#endif /* CYM_INTERNAL_H */
