/* Slots of the backend servers of this availability zone: gives each request
   a place at one, lets it wait in fair order, and keeps the credits that the
   zone grants.  Any thread unless said otherwise; one short lock.  */

#ifndef CYE_SLOTS_H
#define CYE_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cya_access.h"
#include "core/cyb_pool.h"
#include "core/cyt_soft_state.h"
#include "core/cyw_fair_queue.h"
#include "cy.pb-c.h"
#include "cy_result.h"

#define CYE_SLOTS_TICK_MS      5  /* ms between looks while requests wait */
#define CYE_SLOTS_IDLE_TICK_MS 50 /* ms between looks while none waits */
#define CYE_LINGER_MS          100 /* ms that a cancelled request keeps a slot */

struct cye_slots;

struct cye_slots_options
{
  const struct cy_clock *clock;
  const struct cy_random *random;
  const char *zone; /* own availability zone */
  bool with_credits;
  /* A request waits and no credit is free: call cye_slots_ask soon.  Any
     thread.  */
  void (*on_need) (void *context);
  void *context;
};

/* One request that asks for a slot, part of its owner's struct.  The owner
   sets the first part before cye_slots_take.  */
struct cye_ticket
{
  struct cyw_item item;
  const char *service;
  const char *workspace; /* "" on open routes */
  double weight;
  cy_time_ns deadline;
  const char *avoid; /* instance to avoid, NULL for none */
  /* Called once after CY_E_AGAIN with CY_OK or a refusal, in any thread with
     the lock held: only hands on to the owner's thread.  */
  void (*answered) (struct cye_ticket *ticket, cy_result result);
  void *owner;

  /* Set when the slot is given, until it is given back.  */
  struct cyb_server *server; /* the pool's; only for cye_slots_give */
  char instance[CYB_NAME_MAX];
  char host[46];
  uint16_t port;
  bool keep;            /* the connection may be kept afterwards */
  cy_time_ns suspect;   /* connections idle since before are suspect */
  cy_time_ns answer_ns; /* usual time to answer, 0 if not known */
  cy_time_ns link_ns;   /* round trip that the newest probe took */
  cy_time_ns waited;
};

struct cye_slots *cye_slots_create (const struct cye_slots_options *options);
void cye_slots_destroy (struct cye_slots *slots);

/* Takes over the register of backend servers.  ENTRY_COUNT entry VMs share
   their connections.  Loop's thread.  */
void cye_slots_update (struct cye_slots *slots,
                       const struct cya_access *access,
                       const struct cyt_soft_state *soft);

/* CY_OK: TICKET has a slot.  CY_E_AGAIN: it waits.  Otherwise refused.  */
cy_result cye_slots_take (struct cye_slots *slots, struct cye_ticket *ticket);

/* Stops waiting.  False: the answer is already on its way.  */
bool cye_slots_cancel (struct cye_slots *slots, struct cye_ticket *ticket);

/* Gives the slot back.  SILENT: a kept connection went silent, so others
   that are as old are suspect.  SENT: the request was cut short after it was
   sent, so the slot stays taken for CYE_LINGER_MS.  */
void cye_slots_give (struct cye_slots *slots, struct cye_ticket *ticket,
                     enum cyb_ending ending, cy_time_ns answer_ns, bool silent,
                     bool sent);

/* Ends waits whose deadline has passed; gives slots that came free without
   a request's end, such as those of a server that returns.  Loop's thread,
   every CYE_SLOTS_TICK_MS.  */
void cye_slots_tick (struct cye_slots *slots);

/* True when a request waits for a credit.  */
bool cye_slots_waiting (struct cye_slots *slots);

/* True when an ask would name a backend server.  */
bool cye_slots_has_news (struct cye_slots *slots);

/* Fills ASK with what is held and wanted.  Remembers when, as the leases count
   from then.  NUMBER is the message's.  The caller frees with
   cye_slots_ask_clear.  Loop's thread.  */
void cye_slots_ask (struct cye_slots *slots, uint64_t number,
                    Cy__SlotAsk *ask);
void cye_slots_ask_clear (Cy__SlotAsk *ask);

/* Takes the zone's answer to message NUMBER (0: unasked, which may only
   lower what is held).  True when something is to be given back: ask again
   soon.  Loop's thread.  */
bool cye_slots_answer (struct cye_slots *slots, uint64_t number,
                       const Cy__SlotAnswer *answer);

/* The probe of INSTANCE's /health ended; its connection took CONNECT_NS to
   open, 0 if it did not.  Loop's thread.  */
void cye_slots_probed (struct cye_slots *slots, const char *service,
                       const char *instance, uint64_t incarnation,
                       bool healthy, cy_time_ns connect_ns);

/* Calls EACH for every backend server, with the lock held.  */
typedef void (*cye_slots_each_fn) (const char *service,
                                   const struct cyb_server *server,
                                   void *context);
void cye_slots_each (struct cye_slots *slots, cye_slots_each_fn each,
                     void *context);

/* Healthy servers, their slots and the requests that wait for SERVICE.  */
struct cye_room
{
  uint32_t backends;
  uint32_t slots;
  uint32_t in_flight;
  uint32_t waiting;
  double answer_ms;
};
void cye_slots_room (struct cye_slots *slots, const char *service,
                     struct cye_room *room);

#endif /* CYE_SLOTS_H */
