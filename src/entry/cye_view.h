/* What the look-up of an entry VM answers from: one unchanging view of zones,
   entry VMs and weights.  The loop's thread builds views with the model, HTTP
   threads choose from them.  Private to the look-up.  */

#ifndef CYE_VIEW_H
#define CYE_VIEW_H

#include <glib.h>

#include "core/cyl_table.h"
#include "core/cyp_topology.h"
#include "entry/cye_lookup.h"

#define CYE_SITES_MAX    4096 /* sites of client blocks */
#define CYE_TTL_SHORT_MS 1000 /* ms; ahead of planned work */

struct cye_vm
{
  struct cye_choice choice;
  uint64_t seed; /* of the name, for the spread over callers */
  double weight; /* lower when it carries more than its peers */
};

struct cye_zone_view
{
  uint32_t first; /* in the view's VMs */
  uint32_t count;
  uint16_t region;
  bool declared;
  bool drained;
  bool cut_off; /* from this entry VM's zone */
  bool leaving; /* planned work is under way: short lifetimes */
  uint64_t seed;
};

/* Weights of one service for callers of one region.  */
struct cye_spread
{
  bool moving; /* weights are still on their way to the plan's */
  uint16_t count;
  struct
  {
    uint16_t zone;
    float weight;
  } part[];
};

struct cye_view
{
  uint32_t ttl_ms;
  uint16_t own_region;
  uint16_t own_zone;
  uint32_t zone_count;
  uint32_t region_count;
  uint32_t service_count;
  uint32_t site_count;
  GHashTable *services; /* name to number + 1 */
  struct cye_vm *vms;
  struct cye_zone_view *zones;
  struct cye_spread **spreads; /* by service, then origin region */
  uint16_t *order;             /* zones by nearness, by origin region */
  uint16_t *site_region;
};

void cye_view_destroy (struct cye_view *view);

/* Chooses entry VMs for a caller of region ORIGIN whose client block hashes
   to SEED; see cye_lookup_answer.  */
cy_result cye_view_choose (const struct cye_view *view, const char *service,
                           unsigned origin, uint64_t seed,
                           struct cye_answer *answer);

/* See cye_lookup_elsewhere.  */
void cye_view_elsewhere (const struct cye_view *view,
                         struct cye_answer *answer);

/* The writer's side: numbers of names and the weights in force, from one view
   to the next.  */
struct cye_model;

struct cye_model *cye_model_create (const char *own_zone,
                                    const char *own_region);
void cye_model_destroy (struct cye_model *model);

/* Number of SITE, CYP_NAME_NONE when there are too many.  */
unsigned cye_model_site (struct cye_model *model, const char *site);

/* Builds the view of this moment.  */
struct cye_view *cye_model_build (struct cye_model *model,
                                  const struct cys_state *state,
                                  const struct cyt_soft_state *soft,
                                  cy_time_ns now);

#endif /* CYE_VIEW_H */
