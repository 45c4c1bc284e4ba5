/* Merges the reports of several children into one table of soft objects.

   The objects of a child's last report are valid until the next report or
   until no report arrived for CYT_REPORT_LEASE_MS.  When several children
   report the same key, the child that reported first has precedence.  For a
   backend server, the highest incarnation has precedence, then the newest
   report.  Not thread-safe.  */

#ifndef CYT_MERGE_H
#define CYT_MERGE_H

#include <stdbool.h>

#include "core/cy_clock.h"
#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"

/* Time in ms without a report after which the objects of a child are
   removed.  */
#define CYT_REPORT_LEASE_MS 5000

struct cyt_merge;

/* Called with the merged object of a changed key, or NULL when the key was
   removed.  OBJECT is valid during the call.  */
typedef void (*cyt_resolved_fn) (const char *key, const Cy__Object *object,
                                 void *context);

/* Returns an empty merge that calls RESOLVED with CONTEXT; the caller frees it
   with cyt_merge_destroy.  */
struct cyt_merge *cyt_merge_create (cyt_resolved_fn resolved, void *context);
/* Frees MERGE; NULL is allowed.  */
void cyt_merge_destroy (struct cyt_merge *merge);

/* Applies REPORT of the child named CHILD.  Returns false when REPORT is a
   delta and CHILD is unknown: the child must send a full report.  */
bool cyt_merge_report (struct cyt_merge *merge, const char *child,
                       const Cy__Report *report, cy_time_ns now);

/* Removes children without a report for CYT_REPORT_LEASE_MS and their
   objects.  */
void cyt_merge_expire (struct cyt_merge *merge, cy_time_ns now);

/* Visits every child with its name, the declared version that it applies, the
   time of its last report, and a report that lists its children with their
   versions (may be NULL).  */
typedef void (*cyt_child_fn) (const char *name, uint64_t version,
                              cy_time_ns last_report_at,
                              const Cy__Report *children, void *context);
void cyt_merge_each_child (const struct cyt_merge *merge, cyt_child_fn each,
                           void *context);

#endif /* CYT_MERGE_H */
