/* Status of the zone, aggregated from the reports of its entry VMs.  */

#ifndef CYZ_STATUS_H
#define CYZ_STATUS_H

#include "zone/cyz_zone.h"

/* Creates the zone's status and puts it into the objects for the control
   VMs.  */
void cyz_status_update (struct cyz_zone *zone);

#endif /* CYZ_STATUS_H */
