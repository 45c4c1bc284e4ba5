/* Merges what several children report into one table of soft objects.

   Each child owns the objects of its last report until it reports anew or
   stays silent for CYT_REPORT_LEASE_MS.  When children report the same key,
   the child that reported first wins; of a backend server the highest
   incarnation wins, then the newest report.  One thread at a time.  */

#ifndef CYT_MERGE_H
#define CYT_MERGE_H

#include <stdbool.h>

#include "core/cy_clock.h"
#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"

#define CYT_REPORT_LEASE_MS 5000 /* ms of silence until objects go away */

struct cyt_merge;

/* Called with the settled content of a changed key, NULL when it is gone.  */
typedef void (*cyt_settled_fn) (const char *key, const Cy__Object *object,
                                void *context);

struct cyt_merge *cyt_merge_create (cyt_settled_fn settled, void *context);
void cyt_merge_destroy (struct cyt_merge *merge);

/* Takes in REPORT of the child named CHILD.  Returns false when REPORT is a
   delta and nothing is held that it could change: the child must report in
   whole.  */
bool cyt_merge_report (struct cyt_merge *merge, const char *child,
                       const Cy__Report *report, cy_time_ns now);

/* Removes what silent children had reported.  */
void cyt_merge_expire (struct cyt_merge *merge, cy_time_ns now);

/* Visits every child: its name, the declared version in force there and the
   time since it was heard of, and the versions that it reported of its own
   children.  */
typedef void (*cyt_child_fn) (const char *name, uint64_t version,
                              cy_time_ns heard, const Cy__Report *children,
                              void *context);
void cyt_merge_each_child (const struct cyt_merge *merge, cyt_child_fn each,
                           void *context);

#endif /* CYT_MERGE_H */
