/* Soft objects as they go fleet-wide: without the figures that change with
   every request, so that a fleet at rest sends nothing.  */

#ifndef CYZ_STRIP_H
#define CYZ_STRIP_H

#include <stdbool.h>

#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"

/* Puts OBJECT into SOFT, or removes its key if OBJECT is deleted.  Of an entry
   VM the load figures are left out; of a zone the measurements, except which
   services it has backend servers for; a plan counts as changed only when its
   weights do.  Returns true when SOFT changed.  */
bool cyz_strip_put (struct cyt_soft_state *soft, const Cy__Object *object);

#endif /* CYZ_STRIP_H */
