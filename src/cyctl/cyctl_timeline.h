/* Timeline of a request or a declaration from the log lines of several
   processes, with the cause in one sentence.  Needs no running cluster.  */

#ifndef CYCTL_TIMELINE_H
#define CYCTL_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct cyctl_timeline;

struct cyctl_timeline *cyctl_timeline_create (void);
void cyctl_timeline_destroy (struct cyctl_timeline *timeline);

/* Adds one log line.  Lines that are not a JSON object with a valid "time" are
   ignored.  */
void cyctl_timeline_add (struct cyctl_timeline *timeline, const char *line);

/* Returns the timeline of request ID: its log lines in order of time, together
   with changes on the VMs involved shortly before and after, then "cause: ..."
   or "cause: not known: ..." with the missing line.  *KNOWN is true in the
   first case.  The caller frees the result with g_free.  */
char *cyctl_timeline_request (struct cyctl_timeline *timeline, const char *id,
                              bool *known);

/* Returns a line for each VM that adopted DECLARATION, the time between the
   first and the last of them, and the number of running VMs that did not adopt
   it.  *KNOWN is false when no VM adopted it.  The caller frees the result
   with g_free.  */
char *cyctl_timeline_change (struct cyctl_timeline *timeline,
                             uint64_t declaration, bool *known);

#endif /* CYCTL_TIMELINE_H */
