/* The access view in force.  The loop's thread replaces the view, worker
   threads read it without a lock.  An old view is freed once no reader holds
   it.  */

#ifndef CYE_ACCESS_VIEW_H
#define CYE_ACCESS_VIEW_H

#include "core/cya_access.h"
#include "entry/cye_epoch.h"

struct cye_access_view;

/* Creates a holder with an empty view.  */
struct cye_access_view *cye_access_view_create (void);

/* Frees CURRENT and the view.  No thread may be in a read section.  */
void cye_access_view_destroy (struct cye_access_view *current);

/* Puts ACCESS in force and takes ownership of it.  Only one thread may call
   this.  */
void cye_access_view_replace (struct cye_access_view *current,
                              struct cya_access *access);

/* Enters a read section and returns the view, which stays valid until
   cye_epoch_leave is called with *READER.  Any thread.  */
const struct cya_access *
cye_access_view_enter (struct cye_access_view *current,
                       struct cye_reader **reader);

#endif /* CYE_ACCESS_VIEW_H */
