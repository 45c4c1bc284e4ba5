/* One control VM of the hub layout.  It replicates the numbered declaration
   and the drained zones, shares the register of backend servers and entry VMs
   with the other control VMs, and places the requests of the entry VMs of its
   region.  Runs in the loop's thread.  */

#ifndef CYC_HUB_H
#define CYC_HUB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cyc_topology.h"
#include "core/cyi_document.h"
#include "core/cym_match.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

#define CYC_RESOLVE_MAX 64 /* entry VMs in one lookup answer, at most */

struct cyc_hub;

struct cyc_hub_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity; /* of role "control" */
  const struct cy_random *random;
  const struct cyc_topology *topology;
  const char *region;
  const char *host;
  uint16_t port;      /* for other processes, equal on all VMs */
  uint16_t http_port; /* for operators and backend servers */
  const char *seeds;  /* "IP:PORT,..." with HTTP ports of control VMs */
  bool bootstrap;     /* first start of the cluster: the seeds form it */
  const char *data_folder;
  unsigned spare_disks; /* disks that may fail at once without losing a
                           committed change */
  struct cym_limits limits;
};

/* Opens the data folder, listens and starts.  CY_E_STORE_FULL: the disk has no
   free space.  */
cy_result cyc_hub_create (const struct cyc_hub_options *options,
                          struct cyc_hub **hub);
void cyc_hub_destroy (struct cyc_hub *hub);

/* Planned stop: transfers leadership, makes entry VMs use other control VMs,
   then calls STOPPED.  */
void cyc_hub_leave (struct cyc_hub *hub, cyn_callback stopped, void *context);

/* Receives the outcome of a call, once, before or after the function that
   started the call returns.  */
typedef void (*cyc_done_fn) (cy_result result, void *context);

/* Applies INFO, which a backend server announced.  For a server that drains or
   leaves, CY_OK means that every reachable control VM, a majority at least,
   has acknowledged the announcement; CY_E_NO_QUORUM otherwise.  CY_E_ARGUMENT:
   the zone is unknown.  */
void cyc_hub_announce (struct cyc_hub *hub, const Cy__Instance *info,
                       cyc_done_fn done, void *context);

/* Puts DOCUMENT in force; SOURCE holds the LENGTH bytes that the operator
   sent, DIGEST is the digest of their content.  CY_E_NOT_LEADER,
   CY_E_NO_QUORUM, CY_E_VERSION_CONFLICT, CY_E_OUTCOME_UNKNOWN,
   CY_E_STORE_FULL.  */
void cyc_hub_declare (struct cyc_hub *hub, const struct cyi_document *document,
                      const void *source, size_t length, uint64_t digest,
                      cyc_done_fn done, void *context);

/* Confirms with a quorum that no declaration newer than cyc_hub_document is in
   force.  */
void cyc_hub_confirm (struct cyc_hub *hub, cyc_done_fn done, void *context);

/* Stops sending requests to the backend servers of ZONE, or resumes it if
   DRAINED is false.  */
void cyc_hub_drain (struct cyc_hub *hub, const char *zone, bool drained,
                    cyc_done_fn done, void *context);

/* Returns the newest declaration that this VM holds, NULL if there is none. */
const Cy__Document *cyc_hub_document (const struct cyc_hub *hub);

/* Sets the HTTP address of the leader; false if the leader is unknown or this
   VM.  */
bool cyc_hub_leader (const struct cyc_hub *hub, const char **host,
                     uint16_t *port);

/* Sets ENTRIES to the entry VMs that a caller in ZONE and REGION should use,
   valid until the register changes, and returns their count.  */
size_t cyc_hub_resolve (struct cyc_hub *hub, const char *region,
                        const char *zone,
                        const Cy__EntryVm *entries[CYC_RESOLVE_MAX]);

/* Returns the members of the log as this VM knows them, a JSON object with the
   fields that cy-control's /v1/status has, and for the voters: voters,
   voters_live, losses_borne, the number that may be lost until no majority is
   left.  Released with free.  */
char *cyc_hub_status (struct cyc_hub *hub);

#endif /* CYC_HUB_H */
