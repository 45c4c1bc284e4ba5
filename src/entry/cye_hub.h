/* Hub layout: the entry VM's connections to the control VMs.  Discovers
   control VMs from seeds, reports this VM to them, holds the newest
   declaration and the register of the region's backend servers, and requests
   slots.  While no control VM can place requests this VM places them itself,
   with its share of the fleet's rates.  Loop's thread.  */

#ifndef CYE_HUB_H
#define CYE_HUB_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/cyc_topology.h"
#include "core/cyi_document.h"
#include "core/cym_match.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

struct cye_hub;

struct cye_hub_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity; /* this VM, with role "entry" */
  const struct cy_random *random;
  const struct cyc_topology *topology;
  const char *region;
  const char *host;   /* address of this VM */
  uint16_t port;      /* on which this VM accepts callers */
  uint16_t peer_port; /* on which control VMs accept other processes */
  const char *seeds;  /* HTTP addresses of control VMs, "IP:PORT,..."; only the
                         IP is used */
};

struct cye_hub *cye_hub_create (const struct cye_hub_options *options);
void cye_hub_destroy (struct cye_hub *hub);

/* The newest declaration; NULL before the first.  Borrowed until control
   returns to the loop.  */
const struct cyi_document *cye_hub_document (const struct cye_hub *hub);

/* Reports that this VM is stopping and accepts no new callers.  */
void cye_hub_leave (struct cye_hub *hub);

/* True when this VM holds a declaration and is not leaving.  */
bool cye_hub_is_ready (const struct cye_hub *hub);

/* Process that places a request.  */
enum cye_placer
{
  CYE_PLACER_NONE,       /* the request neither waits nor holds a slot */
  CYE_PLACER_CONTROL_VM, /* a control VM */
  CYE_PLACER_SELF        /* this VM */
};

/* One request for a slot at a backend server, part of its owner's struct.  The
   owner sets the first group of fields before cye_hub_acquire.  Its pointers
   stay valid until the slot is released or refused.  Times are monotonic,
   ns.  */
struct cye_place
{
  char service[CYM_NAME_MAX];
  char route[CYM_NAME_MAX];
  char workspace[CYM_NAME_MAX];      /* "" on open routes */
  char avoid_instance[CYM_NAME_MAX]; /* server to avoid, "": none */
  const char *request_id;            /* for logs, NULL: none */
  char **allowed_regions;            /* regions that may serve the request,
                                      NULL: all */
  uint32_t rank;                     /* from the workspace or the route */
  uint32_t route_rank;               /* rank of the route */
  cy_time_ns goal_at;                /* end of the latency goal */
  cy_time_ns deadline_at;            /* end of the request's time */
  cy_time_ns hold;      /* ns that the request may wait past GOAL_AT */
  uint64_t affinity;    /* hash of the requested object, 0: none */
  bool is_retry;        /* an earlier attempt was sent to a server */
  bool metered;         /* the placer takes a token of the workspace */
  uint64_t fingerprint; /* of the request, see cym_poison.h, 0: none */
  bool reset; /* set before cye_hub_release, see struct cym_request */
  /* Called once after CY_E_AGAIN, with CY_OK or a refusal.  */
  void (*on_answer) (struct cye_place *place, cy_result result);
  void *owner;

  /* Set with CY_OK: the backend server.  */
  char instance[CYM_NAME_MAX];
  char host[46];
  uint16_t port;
  char zone[CYM_NAME_MAX];
  cy_time_ns expected_ns;    /* expected time to answer, ns, 0: unknown */
  cy_time_ns granted_at;     /* earliest time at which the slot can have been
                                granted */
  cy_time_ns suspect_before; /* connections last used before this time must not
                                be reused; 0: none */
  /* Set with every result.  */
  cy_time_ns waited;       /* ns until the result */
  uint32_t retry_after_ms; /* ms after which a retry makes sense, 0: unknown */
  enum cye_placer placer;  /* process that places the request */

  /* Private to the hub.  */
  struct cye_hub *hub;
  TAILQ_ENTRY (cye_place) entry;
  uint64_t number;         /* number of the request at the control VM */
  uint64_t incarnation;    /* of the backend server */
  bool placed;             /* a slot is held */
  bool counted;            /* a control VM received this request before */
  unsigned returned_count; /* slots returned because of a notice */
  cy_time_ns requested_at; /* time of cye_hub_acquire */
  struct cym_request local_request; /* used while this VM places requests */
};

/* State on which the placement of requests rests, for logs.  */
struct cye_hub_status
{
  const char *placer; /* control VM that places requests, NULL: none */
  uint64_t declaration_version; /* newest version held here, 0: none */
  int64_t view_age_ms; /* ms since the placer's last message, -1: none */
  uint32_t servers;    /* backend servers in the register */
};
void cye_hub_status (const struct cye_hub *hub, struct cye_hub_status *status);

/* Requests a slot.  CY_OK: PLACE holds the backend server.  CY_E_AGAIN: the
   request waits.  Any other result is a refusal.  */
cy_result cye_hub_acquire (struct cye_hub *hub, struct cye_place *place);

/* Records what the backend server of PLACE reported with the answer to a
   request that was sent at SENT_AT.  */
void cye_hub_notice (struct cye_hub *hub, const struct cye_place *place,
                     const struct cym_load *load, cy_time_ns sent_at);

/* False when the backend server of PLACE takes no further request.  */
bool cye_hub_may_send (const struct cye_hub *hub,
                       const struct cye_place *place);

/* Cancels a request that waits or releases its slot; the callback is not
   called any more.  */
void cye_hub_cancel (struct cye_hub *hub, struct cye_place *place);

/* Releases the slot after the request ended.  ANSWER_NS: time to the answer's
   first byte, 0 if none came.  LOAD: load that the answer reports, may be
   NULL.  TIMED_OUT: a connection exceeded its answer timeout, so persistent
   connections of the same age must not be reused.  */
void cye_hub_release (struct cye_hub *hub, struct cye_place *place,
                      enum cym_outcome ending, cy_time_ns answer_ns,
                      const struct cym_load *load, bool timed_out);

#endif /* CYE_HUB_H */
