/* The entry VM's side towards the control VMs of a cluster that finds itself:
   finds them from seeds, reports itself, holds the newest declaration and the
   register of its region's backend servers, and has its requests placed.
   While no control VM places them it does so itself, with the part of the
   fleet's rates that is its own.  Loop's thread.  */

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
  const struct cyn_identity *identity; /* of role "entry" */
  const struct cy_random *random;
  const struct cyc_topology *topology;
  const char *region;
  const char *host;
  uint16_t port;      /* where callers reach this VM */
  uint16_t peer_port; /* of control VMs, between processes */
  const char *seeds;  /* "IP:PORT,..." of control VMs, their HTTP side */
};

struct cye_hub *cye_hub_create (const struct cye_hub_options *options);
void cye_hub_destroy (struct cye_hub *hub);

/* The newest declaration, borrowed until the loop goes on; NULL before the
   first.  */
const struct cyi_document *cye_hub_document (const struct cye_hub *hub);

/* This VM takes no new callers from now on.  */
void cye_hub_leave (struct cye_hub *hub);

/* True when this VM holds a declaration and is not leaving.  */
bool cye_hub_is_ready (const struct cye_hub *hub);

/* Who places a request.  */
enum cye_placer
{
  CYE_NOBODY,
  CYE_CONTROL_VM,
  CYE_OWN
};

/* One request that needs a backend server, part of its owner's struct.  The
   owner sets the first part before cye_hub_take; texts stay valid until the
   end.  */
struct cye_place
{
  char service[CYM_NAME_MAX];
  char route[CYM_NAME_MAX];
  char workspace[CYM_NAME_MAX]; /* "" on open routes */
  char avoid[CYM_NAME_MAX];     /* server to avoid, "": none */
  const char *request_id;       /* for the log, NULL: none */
  char **homes;                 /* regions that may serve it, NULL: any */
  uint32_t rank;
  uint32_t route_rank;
  cy_time_ns goal_at;
  cy_time_ns deadline_at;
  cy_time_ns hold;
  uint64_t affinity;
  bool again;   /* an earlier attempt reached a server */
  bool metered; /* takes a token of the workspace */
  /* Called once after CY_E_AGAIN, with CY_OK or a refusal.  */
  void (*answered) (struct cye_place *place, cy_result result);
  void *owner;

  /* Set with CY_OK.  */
  char instance[CYM_NAME_MAX];
  char host[46];
  uint16_t port;
  char zone[CYM_NAME_MAX];
  cy_time_ns usual;   /* time that an answer is expected to take, 0: unknown */
  cy_time_ns granted; /* not before this moment */
  cy_time_ns suspect; /* connections idle since before are suspect, 0: none */
  /* Set with any end.  */
  cy_time_ns waited;
  uint32_t retry_after_ms;
  enum cye_placer placer;

  /* The hub's.  */
  struct cye_hub *hub;
  TAILQ_ENTRY (cye_place) entry;
  uint64_t number;
  uint64_t born;
  bool placed;
  bool counted; /* a control VM was asked before */
  cy_time_ns asked;
  struct cym_request ask; /* placed by this VM itself */
};

/* What this VM's decisions rest on, for the log.  */
struct cye_hub_age
{
  const char *placer;   /* control VM that places requests, NULL: none */
  uint64_t declaration; /* version in force here, 0: none */
  int64_t view_ms;      /* since that control VM was last heard, -1: never */
  uint32_t servers;     /* known backend servers */
};
void cye_hub_age (const struct cye_hub *hub, struct cye_hub_age *age);

/* CY_OK: PLACE says where to go.  CY_E_AGAIN: it waits.  Else refused.  */
cy_result cye_hub_take (struct cye_hub *hub, struct cye_place *place);

/* Waits no longer; nothing follows.  */
void cye_hub_cancel (struct cye_hub *hub, struct cye_place *place);

/* The request that was placed has ended; ANSWER is the time to its first
   byte, 0: none.  SILENT: a kept connection went silent, so others that are as
   old are suspect.  */
void cye_hub_give (struct cye_hub *hub, struct cye_place *place,
                   enum cym_outcome ending, cy_time_ns answer,
                   const struct cym_load *load, bool silent);

#endif /* CYE_HUB_H */
