/* Zone process: relay between the control VMs and the entry VMs of its
   availability zone.  All calls are in the loop's thread.

   The soft objects of the zone are entry/VM and backend/SERVICE/INSTANCE, as
   the entry VMs report them, and split/VM: a ZoneStatus body with the loads
   and time splits that the entry VM measured in its last interval.  backend/
   and split/ objects are not sent beyond the zone.  */

#ifndef CYZ_ZONE_H
#define CYZ_ZONE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cys_state.h"
#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

struct cyz_zone;

/* Module that exchanges messages with the zone's entry VMs, such as the slot
   credits.  Every call is in the loop's thread; any function may be NULL.  */
struct cyz_module
{
  /* An entry VM connected, or its connection closed.  An entry VM stays
     connected to every zone process of its zone and sends to one of them.  */
  void (*on_entry_open) (struct cyn_conn *conn, void *context);
  void (*on_entry_close) (struct cyn_conn *conn, void *context);
  /* A message that the zone process itself does not handle.  */
  void (*on_entry_message) (struct cyn_conn *conn, const Cy__Envelope *message,
                            void *context);
  /* The zone's soft objects changed.  */
  void (*on_soft) (void *context);
  void *context;
};

/* Registers a copy of MODULE; call before the loop runs.  */
void cyz_zone_add_module (struct cyz_zone *zone,
                          const struct cyz_module *module);

/* The merged soft objects of this zone; backend servers are under
   "backend/".  Valid as long as ZONE.  */
const struct cyt_soft_state *cyz_zone_soft (const struct cyz_zone *zone);

/* The declared state.  Valid as long as ZONE.  */
const struct cys_state *cyz_zone_state (const struct cyz_zone *zone);

/* Calls EACH with every open connection of an entry VM, until it returns
   false.  cyn_conn_peer names the VM.  */
typedef bool (*cyz_each_entry_fn) (struct cyn_conn *conn, void *context);
void cyz_zone_each_entry (const struct cyz_zone *zone, cyz_each_entry_fn each,
                          void *context);

/* Returns the open connection of the entry VM named VM, NULL if none.  */
struct cyn_conn *cyz_zone_entry (const struct cyz_zone *zone, const char *vm);

struct cyn_loop *cyz_zone_loop (const struct cyz_zone *zone);

/* Settings of a zone process.  */
struct cyz_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const char *region;
  const char *host;     /* listen address for entry VMs and other zones */
  uint16_t port;        /* 0: any free port */
  const char *controls; /* "IP:PORT,IP:PORT" of the control VMs */
  const struct cy_random *random;
};

cy_result cyz_zone_create (const struct cyz_options *options,
                           struct cyz_zone **zone);
void cyz_zone_destroy (struct cyz_zone *zone);
uint16_t cyz_zone_port (const struct cyz_zone *zone);

/* True once the declared state is confirmed.  */
bool cyz_zone_is_ready (const struct cyz_zone *zone);

/* Starts a planned stop: redirects the entry VMs to another zone process,
   returns all quota and then calls STOPPED.  */
void cyz_zone_stop (struct cyz_zone *zone, cyn_callback stopped,
                    void *context);

#endif /* CYZ_ZONE_H */
