/* What log lines of several processes tell of one request or one declaration:
   an ordered story and its cause in a sentence.  Needs no running cluster.  */

#ifndef CYCTL_TIMELINE_H
#define CYCTL_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct cyctl_timeline;

struct cyctl_timeline *cyctl_timeline_create (void);
void cyctl_timeline_destroy (struct cyctl_timeline *story);

/* Takes one line; what is no JSON object with a time is passed over.  */
void cyctl_timeline_add (struct cyctl_timeline *story, const char *line);

/* Returns the story of request ID: its lines in order, what changed around
   it, then "cause: ..." or "cause: not known: ..." with the line that is
   missing.  *KNOWN says which.  Freed by g_free.  */
char *cyctl_timeline_request (struct cyctl_timeline *story, const char *id,
                              bool *known);

/* Returns where DECLARATION is in force and since when, and which VMs started
   and were not seen to adopt it.  Freed by g_free.  */
char *cyctl_timeline_change (struct cyctl_timeline *story,
                             uint64_t declaration, bool *known);

#endif /* CYCTL_TIMELINE_H */
