/* Slots of the backend servers of this availability zone: assigns a slot to
   each request, queues requests in fair order while none is free, and holds
   the slot credits that the zone process grants.  Any thread unless noted
   otherwise; one lock, held briefly.  */

#ifndef CYE_SLOTS_H
#define CYE_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cya_access.h"
#include "core/cyb_pool.h"
#include "core/cym_match.h"
#include "core/cyt_soft_state.h"
#include "core/cyw_fair_queue.h"
#include "cy.pb-c.h"
#include "cy_result.h"

#define CYE_SLOTS_TICK_MS      5  /* between checks while requests wait */
#define CYE_SLOTS_IDLE_TICK_MS 50 /* between checks while none waits */

/* Time for which a slot stays occupied after its request was cancelled, ms. */
#define CYE_LINGER_MS 100

struct cye_slots;

struct cye_slots_options
{
  const struct cy_clock *clock;
  const struct cy_random *random;
  const char *zone;  /* availability zone of this VM */
  bool uses_credits; /* slots need credits of the zone process */
  /* Called when a request starts to wait, in any thread.  The owner should
     call cye_slots_fill_request soon.  */
  void (*on_wait) (void *context);
  void *context;
};

/* One request for a slot, part of its owner's struct.  The owner sets the
   first group of fields before cye_slots_acquire.  */
struct cye_ticket
{
  struct cyw_item item;
  const char *service;
  const char *workspace;      /* "" on open routes */
  double weight;              /* share of the workspace in the fair queue */
  cy_time_ns deadline;        /* monotonic, ns */
  const char *avoid_instance; /* server to avoid if possible, NULL: none */
  /* Called once after CY_E_AGAIN, with CY_OK or a refusal.  Runs in any thread
     with the lock held, so it must only post to the owner's thread.  */
  void (*on_answer) (struct cye_ticket *ticket, cy_result result);
  void *owner;

  /* Set while the slot is held.  */
  struct cyb_server *server; /* borrowed from the pool, for cye_slots_release
                                only */
  char instance[CYB_NAME_MAX];
  char host[46];
  uint16_t port;
  bool keep_connection; /* the connection may stay open for further requests */
  cy_time_ns suspect_before;     /* connections last used before this monotonic
                                    time must not be reused; 0: none */
  cy_time_ns expected_answer_ns; /* expected time to answer, 0: unknown */
  cy_time_ns link_ns;            /* round trip time of the newest probe */
  cy_time_ns waited;             /* ns in the queue */
};

struct cye_slots *cye_slots_create (const struct cye_slots_options *options);
void cye_slots_destroy (struct cye_slots *slots);

/* Applies the register of backend servers in SOFT and the drains in ACCESS.
   Loop's thread.  */
void cye_slots_update (struct cye_slots *slots,
                       const struct cya_access *access,
                       const struct cyt_soft_state *soft);

/* Requests a slot.  CY_OK: TICKET holds one.  CY_E_AGAIN: the request waits.
   Any other result is a refusal.  */
cy_result cye_slots_acquire (struct cye_slots *slots,
                             struct cye_ticket *ticket);

/* Cancels a request that waits.  False: its callback was already called.  */
bool cye_slots_cancel (struct cye_slots *slots, struct cye_ticket *ticket);

/* Releases the slot.  ANSWER_NS: time to the answer's first byte, 0 if none
   came.  TIMED_OUT: a connection exceeded its answer timeout, so persistent
   connections of the same age must not be reused.  INTERRUPTED: the request
   was sent and its answer is incomplete, so the slot stays occupied for
   CYE_LINGER_MS.  */
void cye_slots_release (struct cye_slots *slots, struct cye_ticket *ticket,
                        enum cyb_outcome ending, cy_time_ns answer_ns,
                        bool timed_out, bool interrupted);

/* Records what the backend server of TICKET reported with the answer to a
   request that was sent at SENT_AT; see cyb_pool_notice.  */
void cye_slots_notice (struct cye_slots *slots,
                       const struct cye_ticket *ticket,
                       const struct cym_load *load, cy_time_ns sent_at);

/* False when the backend server of TICKET takes no further request.  */
bool cye_slots_may_send (struct cye_slots *slots,
                         const struct cye_ticket *ticket);

/* Refuses waiting requests whose deadline has passed.  Assigns slots that
   became free without the end of a request, such as those of a server that is
   healthy again.  Loop's thread, every CYE_SLOTS_TICK_MS.  */
void cye_slots_tick (struct cye_slots *slots);

/* True when a request waits for a slot.  */
bool cye_slots_has_waiting (struct cye_slots *slots);

/* True when a credit request would list a backend server.  */
bool cye_slots_has_changes (struct cye_slots *slots);

/* Fills the credit request ASK with the credits held and wanted.  NUMBER is
   the number of its message.  Stores the time of the call, at which the leases
   of the answer start.  The caller frees the items with
   cye_slots_clear_request. Loop's thread.  */
void cye_slots_fill_request (struct cye_slots *slots, uint64_t number,
                             Cy__SlotAsk *ask);
void cye_slots_clear_request (Cy__SlotAsk *ask);

/* Applies the zone's answer to message NUMBER.  0 is an answer without a
   request, which may only lower the credits held.  True when credits were
   lowered: the caller should send the next credit request soon.  Loop's
   thread.  */
bool cye_slots_apply_answer (struct cye_slots *slots, uint64_t number,
                             const Cy__SlotAnswer *answer);

/* Records the result of a probe of INSTANCE's /health.  CONNECT_NS is the time
   to open the connection, 0 if that failed.  Loop's thread.  */
void cye_slots_record_probe (struct cye_slots *slots, const char *service,
                             const char *instance, uint64_t incarnation,
                             bool healthy, cy_time_ns connect_ns);

/* Calls EACH for every listed backend server, with the lock held.  */
typedef void (*cye_slots_each_fn) (const char *service,
                                   const struct cyb_server *server,
                                   void *context);
void cye_slots_each (struct cye_slots *slots, cye_slots_each_fn each,
                     void *context);

/* Capacity and load of one service at this VM.  */
struct cye_service_load
{
  uint32_t backends;  /* healthy backend servers */
  uint32_t slots;     /* slots of the healthy backend servers */
  uint32_t in_flight; /* requests of this VM at backend servers */
  uint32_t waiting;   /* requests that wait for a slot */
  double answer_ms;   /* expected time to answer, 0: unknown */
};
void cye_slots_get_load (struct cye_slots *slots, const char *service,
                         struct cye_service_load *load);

#endif /* CYE_SLOTS_H */
