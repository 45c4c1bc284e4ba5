/* Module of the zone process that grants slot credits of the zone's backend
   servers to the entry VMs.  All calls are in the loop's thread.  */

#ifndef CYZ_SLOTS_H
#define CYZ_SLOTS_H

#include "zone/cyz_zone.h"

struct cyz_slots;

/* Creates the module and registers it with ZONE, before the loop runs.
   ZONE_NAME is borrowed.  */
struct cyz_slots *cyz_slots_create (struct cyz_zone *zone,
                                    const char *zone_name);

/* Call after the zone is destroyed.  */
void cyz_slots_destroy (struct cyz_slots *slots);

#endif /* CYZ_SLOTS_H */
