/* Immutable view of zones, entry VMs and weights that answers lookups.  The
   loop's thread builds views with the model, HTTP threads choose entry VMs
   from the view in force.  Private to the lookup.  */

#ifndef CYE_VIEW_H
#define CYE_VIEW_H

#include <glib.h>

#include "core/cyl_table.h"
#include "core/cyp_topology.h"
#include "entry/cye_lookup.h"

#define CYE_SITES_MAX    4096 /* sites of client blocks, at most */
#define CYE_TTL_SHORT_MS 1000 /* ms, answers during planned work */

struct cye_vm
{
  struct cye_choice choice;
  uint64_t seed; /* hash of the VM's name, for the rendezvous hashing */
  double weight; /* 1, lower when the VM carries more load than the
                    mean of its zone */
};

struct cye_zone_view
{
  uint32_t first_vm; /* index in cye_view.vms */
  uint32_t count;    /* VMs of the zone that serve */
  uint16_t region;
  bool drained;
  bool unreachable;      /* most probes from the local zone are lost */
  bool has_planned_work; /* a VM leaves or the zone drains: answers live
                           CYE_TTL_SHORT_MS */
  uint64_t seed;         /* hash of the zone's name */
};

/* Weights of the zones for one service and the callers of one region.  */
struct cye_distribution
{
  bool in_transition; /* the weights have not reached those of the plan */
  uint16_t count;
  struct
  {
    uint16_t zone;
    float weight; /* share of the requests, above 0 */
  } shares[];
};

struct cye_view
{
  uint32_t ttl_ms; /* lifetime of answers without planned work */
  uint16_t local_region;
  uint16_t local_zone;
  uint32_t zone_count;
  uint32_t region_count;
  uint32_t service_count;
  uint32_t site_count;
  GHashTable *services; /* service name to service number + 1 */
  struct cye_vm *vms;
  struct cye_zone_view *zones;
  /* By service, then by origin region.  */
  struct cye_distribution **distributions;
  uint16_t *order;       /* for each origin region, zones from near to far */
  uint16_t *site_region; /* region by site number */
};

void cye_view_destroy (struct cye_view *view);

/* Chooses entry VMs for a caller of region ORIGIN whose client block hashes
   to SEED; see cye_lookup_answer.  */
cy_result cye_view_choose (const struct cye_view *view, const char *service,
                           unsigned origin, uint64_t seed,
                           struct cye_answer *answer);

/* See cye_lookup_other_zones.  */
void cye_view_other_zones (const struct cye_view *view,
                           struct cye_answer *answer);

/* State that the loop's thread keeps between two views: the numbers of names
   and the weights in force.  */
struct cye_model;

struct cye_model *cye_model_create (const char *local_zone,
                                    const char *local_region);
void cye_model_destroy (struct cye_model *model);

/* Returns the number of SITE, CYP_NAME_NONE when there are too many sites.  */
unsigned cye_model_site_number (struct cye_model *model, const char *site);

/* Builds the view of STATE and SOFT at time NOW and moves the weights towards
   those of the plan.  The caller owns the view.  */
struct cye_view *cye_model_build (struct cye_model *model,
                                  const struct cys_state *state,
                                  const struct cyt_soft_state *soft,
                                  cy_time_ns now);

#endif /* CYE_VIEW_H */
