/* Soft objects in the form that is sent fleet-wide: without the values that
   change with every request, so that an idle fleet sends no updates.  */

#ifndef CYZ_STRIP_H
#define CYZ_STRIP_H

#include <stdbool.h>

#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"

/* Puts OBJECT into SOFT without some fields, or removes its key if OBJECT is
   deleted.  An entry VM is stored without load.  A zone is stored without
   measurements, but with the number of backend servers and slots per service.
   A plan is stored only if its weights changed.  Returns true if SOFT
   changed.  */
bool cyz_strip_put (struct cyt_soft_state *soft, const Cy__Object *object);

#endif /* CYZ_STRIP_H */
