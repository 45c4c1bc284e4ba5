/* The access view in force.  The loop's thread replaces the view, worker
   threads read it without a lock.  An old view is freed once no reader holds
   it.  */

#ifndef CYE_CURRENT_H
#define CYE_CURRENT_H

#include "core/cya_access.h"
#include "entry/cye_epoch.h"

struct cye_current;

/* Creates a holder with an empty view.  */
struct cye_current *cye_current_create (void);

/* Frees CURRENT and the view.  No thread may be in a read section.  */
void cye_current_destroy (struct cye_current *current);

/* Puts ACCESS in force and takes ownership of it.  Only one thread may call
   this.  */
void cye_current_replace (struct cye_current *current,
                          struct cya_access *access);

/* Enters a read section and returns the view, which stays valid until
   cye_epoch_leave is called with *READER.  Any thread.  */
const struct cya_access *cye_current_enter (struct cye_current *current,
                                            struct cye_reader **reader);

#endif /* CYE_CURRENT_H */
