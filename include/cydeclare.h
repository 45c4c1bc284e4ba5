/* libcydeclare: builds the declarations that `cyctl submit` accepts.

   A program creates a declaration, adds objects to it, prints it as JSON and
   destroys it.  The first error is stored with a message, and all later calls
   return that error and do nothing, so that a program can check once, with
   cydeclare_print.  Names have 1 to 63 of a-z 0-9 - _ . and start with a
   letter or a digit.  Strings are copied.  A declaration must not be used by
   two threads at the same time.  */

#ifndef CYDECLARE_H
#define CYDECLARE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "cy_result.h"

struct cydeclare;

/* clang-format off */

/* Declaration */
struct cydeclare *cydeclare_create (void);                                                    /* Creates an empty declaration; NULL when out of memory */
void cydeclare_destroy (struct cydeclare *d);                                                 /* Frees a declaration; NULL is allowed */
cy_result cydeclare_print (struct cydeclare *d, FILE *file);                                  /* Writes the declaration as JSON, names sorted, or returns the first error */
char *cydeclare_text (struct cydeclare *d);                                                   /* Returns the declaration as JSON, freed by free; NULL after an error */
cy_result cydeclare_result (const struct cydeclare *d);                                       /* Returns the first error, CY_OK if none */
const char *cydeclare_message (const struct cydeclare *d);                                    /* Returns the reason of the first error, "" if none; owned by the declaration */

/* Regions, availability zones and sites */
cy_result cydeclare_region (struct cydeclare *d, const char *region);                         /* Adds a region */
cy_result cydeclare_zone (struct cydeclare *d, const char *zone, const char *region);         /* Adds an availability zone to a region */
cy_result cydeclare_link (struct cydeclare *d, const char *a, const char *b, double bits_per_s, double latency_ms); /* Adds a link between two regions; the values are for each direction */
cy_result cydeclare_site (struct cydeclare *d, const char *site, const char *region);         /* Adds a site of callers and its nearest region */
cy_result cydeclare_block (struct cydeclare *d, const char *site, const char *prefix);        /* Adds an address block such as "10.1.0.0/16" to a site */

/* Services and routes */
cy_result cydeclare_service (struct cydeclare *d, const char *service);                       /* Adds a service; without routes every path needs a key */
cy_result cydeclare_timeout (struct cydeclare *d, const char *service, uint32_t ms);          /* Sets the default deadline of a request, in ms */
cy_result cydeclare_body_max (struct cydeclare *d, const char *service, uint32_t bytes);      /* Sets the longest request body, in bytes */
cy_result cydeclare_open_route (struct cydeclare *d, const char *service, const char *prefix);  /* Adds a route of paths that need no key */
cy_result cydeclare_keyed_route (struct cydeclare *d, const char *service, const char *prefix); /* Adds a route of paths that need a workspace's key */
cy_result cydeclare_idempotent_post (struct cydeclare *d, const char *service, const char *prefix); /* Allows retries of a POST to this route */

/* Workspaces */
cy_result cydeclare_workspace (struct cydeclare *d, const char *workspace, double rate, double burst); /* Adds a workspace; rate in requests/s, burst in requests */
cy_result cydeclare_weight (struct cydeclare *d, const char *workspace, double weight);       /* Sets the share of capacity when requests wait, 1 by default */
cy_result cydeclare_cut_off (struct cydeclare *d, const char *workspace, uint32_t max_ms);    /* Lets an isolated zone serve the workspace for up to max_ms */

/* Caps and limits */
cy_result cydeclare_cap (struct cydeclare *d, const char *cap, const char *service, double fraction, uint32_t window_ms); /* Adds a cap: share of traffic that may shift within a window, in ms; service NULL: all services */
cy_result cydeclare_key_max_age (struct cydeclare *d, uint32_t ms);                           /* Sets the age of the state up to which keys are accepted, in ms; 3000 by default */
cy_result cydeclare_drain_notice (struct cydeclare *d, uint32_t ms);                          /* Sets the notice before a drained backend server gets no new requests, in ms; 3000 by default */
cy_result cydeclare_headroom (struct cydeclare *d, double share);                             /* Sets the share of a region's capacity that stays free, 0.1 by default */
cy_result cydeclare_lookup_ttl (struct cydeclare *d, uint32_t ms);                            /* Sets the time for which callers cache a lookup, in ms; 5000 by default */
cy_result cydeclare_retry_budget (struct cydeclare *d, double share);                         /* Sets the share of requests that may be retries, 0.1 by default */

/* clang-format on */

#endif /* CYDECLARE_H */
