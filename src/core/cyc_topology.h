/* Map of availability zones to regions.  Immutable; any thread.  */

#ifndef CYC_TOPOLOGY_H
#define CYC_TOPOLOGY_H

#include <stdbool.h>
#include <stddef.h>

#include "cy_result.h"

struct cyc_topology;

/* Parses "ZONE=REGION,ZONE=REGION".  The caller destroys *TOPOLOGY after
   CY_OK; CY_E_SETTING_INVALID if TEXT has another form.  */
cy_result cyc_topology_read (const char *text, struct cyc_topology **topology);
void cyc_topology_destroy (struct cyc_topology *topology);

/* Returns the region of ZONE, NULL when the zone is unknown.  */
const char *cyc_topology_region (const struct cyc_topology *topology,
                                 const char *zone);

/* Returns the number of regions.  */
size_t cyc_topology_region_count (const struct cyc_topology *topology);

#endif /* CYC_TOPOLOGY_H */
