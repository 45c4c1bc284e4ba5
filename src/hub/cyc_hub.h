/* One control VM of a cluster that finds itself: replicates the numbered
   declaration and the drained zones, keeps the register of backend servers
   and entry VMs together with the other control VMs, and places the requests
   of its region's entry VMs.  Everything runs in the loop's thread.  */

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

#define CYC_RESOLVE_MAX 64 /* entry VMs in one answer */

struct cyc_hub;

struct cyc_hub_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity; /* of role "control" */
  const struct cy_random *random;
  const struct cyc_topology *topology;
  const char *region;
  const char *host;
  uint16_t port;      /* between processes, the same on every VM */
  uint16_t http_port; /* for operators and backend servers */
  const char *seeds;  /* "IP:PORT,..." of control VMs, their HTTP side */
  bool found;         /* the cluster starts for the first time */
  const char *data_folder;
  unsigned spare_disks; /* that may be lost at once without losing a change */
  struct cym_limits bounds;
};

/* Opens the data folder, listens and starts.  */
cy_result cyc_hub_create (const struct cyc_hub_options *options,
                          struct cyc_hub **hub);
void cyc_hub_destroy (struct cyc_hub *hub);

/* Planned stop: hands leadership and placing over, then calls STOPPED.  */
void cyc_hub_leave (struct cyc_hub *hub, cyn_fn stopped, void *context);

/* The outcome of a call.  Called once, now or later.  */
typedef void (*cyc_done_fn) (cy_result result, void *context);

/* A backend server said FACTS.  That it drains or leaves is CY_OK once every
   control VM in reach, a majority at least, knows it.  CY_E_ARGUMENT: of an
   unknown zone.  */
void cyc_hub_announce (struct cyc_hub *hub, const Cy__Instance *facts,
                       cyc_done_fn done, void *context);

/* Puts DOCUMENT in force, which its operator sent as SOURCE.  CY_E_NOT_LEADER,
   CY_E_NO_QUORUM, CY_E_VERSION_CONFLICT, CY_E_OUTCOME_UNKNOWN,
   CY_E_STORE_FULL.  */
void cyc_hub_declare (struct cyc_hub *hub, const struct cyi_document *document,
                      const void *source, size_t length, uint64_t digest,
                      cyc_done_fn done, void *context);

/* Confirms that nothing newer than cyc_hub_document is in force.  */
void cyc_hub_confirm (struct cyc_hub *hub, cyc_done_fn done, void *context);

/* Sends nothing more to the backend servers of ZONE, or again.  */
void cyc_hub_drain (struct cyc_hub *hub, const char *zone, bool drained,
                    cyc_done_fn done, void *context);

/* The document in force as far as known here, NULL if there is none.  */
const Cy__Document *cyc_hub_document (const struct cyc_hub *hub);

/* HTTP address of the leader; false when it is not known or this VM.  */
bool cyc_hub_leader (const struct cyc_hub *hub, const char **host,
                     uint16_t *port);

/* Entry VMs for a caller of ZONE and REGION, borrowed until the next call;
   returns how many.  */
size_t cyc_hub_resolve (struct cyc_hub *hub, const char *region,
                        const char *zone,
                        const Cy__EntryVm *entries[CYC_RESOLVE_MAX]);

#endif /* CYC_HUB_H */
