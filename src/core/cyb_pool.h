/* Backend servers of one service in this availability zone, as one entry VM
   sees them: its slot credits and requests in flight at each, the health that
   it measures, and the choice of the server for the next request.  Not
   thread-safe: the owner locks.

   Measurements of the entry VM take precedence over reports of the backend
   server.  Failures eject a server, a mean answer time far above the median
   limits it to one request at a time, and the limit rises again step by step.
   The server's own /health and /load can only reduce its requests further.  */

#ifndef CYB_POOL_H
#define CYB_POOL_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cym_limit.h"
#include "cy.pb-c.h"
#include "cy_result.h"

#define CYB_NAME_MAX 128 /* bytes of an instance name, with the NUL */

#define CYB_EJECT_FAILURES    3     /* consecutive failures that eject */
#define CYB_EJECT_MIN_MS      1000  /* first ejection, doubled each time */
#define CYB_EJECT_MAX_MS      30000 /* longest ejection, without the jitter */
#define CYB_SHED_MIN_MS       100   /* first refusal's pause, then doubled */
#define CYB_SHED_MAX_MS       2000  /* longest pause after a refusal */
#define CYB_SLOW_FACTOR       4     /* mean of a slow server, x the median */
#define CYB_SLOW_SAMPLES_MIN  8     /* answers before a mean is compared */
#define CYB_ANSWER_AGE_MAX_MS 5000  /* a mean this old is measured again */
#define CYB_WARM_UP_MS        3000  /* ramp of a new server up to all slots */

/* How a request at a backend server ended.  */
enum cyb_outcome
{
  CYB_ANSWERED, /* the server answered, with any status but a refusal */
  CYB_REFUSED,  /* the server answered that it did not run the request */
  CYB_FAILED,   /* connection refused, reset or closed early, or no answer */
  CYB_CANCELLED /* caller left or deadline passed: no evidence of health */
};

/* One backend server.  The owner of the pool may set the result of the health
   probe, the reported credits, the connection time and the time before which
   connections are suspect; only the pool changes the other fields.  */
struct cyb_server
{
  CK_LIST_ENTRY (cyb_server) entry;
  char instance[CYB_NAME_MAX];
  char zone[CYB_NAME_MAX];
  char host[46];
  uint16_t port;
  uint64_t incarnation;
  uint32_t slots;       /* requests that the server can run at a time */
  uint32_t connections; /* connections that the server accepts */
  bool draining;
  bool listed;                    /* the server was in the last update */
  bool unhealthy;                 /* /health of the server fails */
  uint32_t in_flight;             /* requests of this entry VM at the server */
  uint32_t credits;               /* slot credits that this entry VM holds */
  uint32_t credits_reported;      /* credits as last reported to the zone */
  cy_time_ns credits_until;       /* end of the lease of the credits */
  uint32_t consecutive_failures;  /* failures since an answer or ejection */
  uint32_t consecutive_ejections; /* ejections since the last answer */
  cy_time_ns ejected_until;       /* no requests before then */
  uint32_t consecutive_refusals;  /* refusals since the last answer */
  cy_time_ns shed_until;     /* no requests before then, after a refusal */
  bool leaving;              /* the server reported that it leaves */
  cy_time_ns paused_until;   /* no requests before then, as the server asked */
  struct cym_limit limit;    /* requests per second that the server takes */
  uint32_t recovery_limit;   /* requests at a time after a fault, rises by 1
                                with each answer, 0: no limit */
  cy_time_ns started_at;     /* time at which the server started */
  double mean_answer_ms;     /* moving average of the time to first byte */
  uint32_t answer_samples;   /* answers in that average */
  cy_time_ns last_answer_at; /* time of the last answer */
  cy_time_ns connect_ns;     /* connection set-up time of the newest probe */

  /* Persistent connections idle since before this time may be broken, 0:
     none.  */
  cy_time_ns suspect_before;
  uint64_t served; /* requests answered */
  uint64_t failed; /* requests failed */
};

CK_LIST_HEAD (cyb_servers, cyb_server);

struct cyb_pool;

/* WITH_CREDITS: every request in flight needs a slot credit of the zone;
   without, only the server's slots limit the requests.  CLOCK and RANDOM are
   borrowed.  */
struct cyb_pool *cyb_pool_create (const struct cy_clock *clock,
                                  const struct cy_random *random,
                                  bool with_credits);
void cyb_pool_destroy (struct cyb_pool *pool);

/* Updates the pool from the zone's register: one call of begin, one put for
   each server, one call of end.  A server that was not put is removed once no
   request is in flight at it.  A server with a new incarnation or address
   replaces the old one and starts without history.  */
void cyb_pool_begin_update (struct cyb_pool *pool);
struct cyb_server *cyb_pool_put_server (struct cyb_pool *pool,
                                        const Cy__BackendStatus *status,
                                        bool draining);
void cyb_pool_end_update (struct cyb_pool *pool);

/* Chooses the server for the next request; AVOID only if no other server has a
   free slot.  CY_E_NO_BACKEND: no server is healthy.  CY_E_NO_ROOM: all
   healthy servers are full.  */
cy_result cyb_pool_choose_server (struct cyb_pool *pool, const char *avoid,
                                  struct cyb_server **server);

/* Count a request that starts or ends at SERVER.  ANSWER_NS is the time to the
   first byte of the answer in nanoseconds, 0 if there was none.  */
void cyb_pool_start_request (struct cyb_pool *pool, struct cyb_server *server);
void cyb_pool_finish_request (struct cyb_pool *pool, struct cyb_server *server,
                              enum cyb_outcome ending, cy_time_ns answer_ns);

/* Records what SERVER reported with an answer: that it leaves, and for how
   many ms it wants no request, 0: none.  */
void cyb_pool_notice (struct cyb_pool *pool, struct cyb_server *server,
                      bool leaving, uint32_t pause_ms);

/* Records the limit PER_S, INFINITY for none, that SERVER reported in the
   answer to a request that was sent at SENT_AT: see cym_limit_record.  This
   entry VM uses the part of the limit that its credits are of the slots.
   Returns true when the limit has changed.  */
bool cyb_pool_record_limit (struct cyb_pool *pool, struct cyb_server *server,
                            double per_s, cy_time_ns sent_at);

/* Requests per second that this entry VM may send to SERVER according to its
   limit, INFINITY without one.  */
double cyb_pool_limit_rate (const struct cyb_pool *pool,
                            const struct cyb_server *server);

/* True when SERVER takes further requests according to its notices.  */
bool cyb_pool_may_send (const struct cyb_pool *pool,
                        const struct cyb_server *server);

/* Sets the credits that the zone granted at SERVER; UNTIL is the end of their
   lease.  */
void cyb_pool_set_credits (struct cyb_pool *pool, struct cyb_server *server,
                           uint32_t credits, cy_time_ns until);

struct cyb_server *cyb_pool_find_server (struct cyb_pool *pool,
                                         const char *instance,
                                         uint64_t incarnation);
struct cyb_servers *cyb_pool_servers (struct cyb_pool *pool);

/* Returns the number of healthy servers and stores their slots in SLOTS.  */
size_t cyb_pool_count_healthy (struct cyb_pool *pool, uint32_t *slots);

/* Median over the servers of the mean time to first byte, in nanoseconds; 0
   before enough answers.  */
cy_time_ns cyb_pool_median_answer_ns (const struct cyb_pool *pool);

#endif /* CYB_POOL_H */
