/* Numbered declarations: one complete document of services, routes, workspaces
   and limits under a number that the operator chose.  The document with the
   highest number is in force.  After cyi_document_check a document is
   immutable, and any number of threads may look up routes and workspaces in
   it.  */

#ifndef CYI_DOCUMENT_H
#define CYI_DOCUMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cyj_declaration.h"
#include "cy_result.h"

#define CYI_RANK_LAST 1000 /* least urgent rank, the default; 0 is first */
#define CYI_KEY_MAX   256  /* bytes of a key's text */

/* Bytes of the name of a service or a workspace: what the placers keep.  Two
   longer names could become one.  */
#define CYI_NAME_MAX 127

/* Largest values of a declaration, for every dialect that it may be written
   in: what one of them accepts must be readable after it was printed.  */
#define CYI_TIME_MAX_MS 1000000000 /* ms, 11 days */
#define CYI_COUNT_MAX   INT32_MAX  /* counts, rates, sizes of headers */
#define CYI_BYTES_MAX   INT64_MAX  /* size of a body */

/* A service that serves a route, with its share of the route's requests.  */
struct cyi_backend
{
  char *service;
  double weight; /* relative share of the requests, 0 or more */
};

struct cyi_route
{
  char *name;
  char *host;
  char *prefix;    /* path prefix, begins and ends with a slash */
  bool idempotent; /* requests may be executed more than once */
  bool open;       /* requests need no key */
  bool sticky;     /* backend servers cache an object after its first request,
                      so that requests are placed by object */
  uint32_t timeout_ms; /* deadline of a request, above 0 */
  uint32_t goal_ms;    /* latency goal, 0: none */
  uint32_t rank;       /* urgency, 0 is the most urgent */
  uint32_t attempts;   /* backend servers to which one request may be sent */
  char **home_regions; /* regions that may serve the route, NULL: any */
  struct cyi_backend *backends; /* services among which requests are split */
  size_t backend_count;
};

struct cyi_service
{
  char *name;
  char *health_path;    /* path of health checks, NULL: not declared */
  uint32_t connections; /* connections that one backend server accepts, from
                           all callers together */
  uint32_t cold_ms;     /* duration of a backend server's cold start */
  double cold_per_s;    /* requests/s that a backend server can process during
                           its cold start */
};

struct cyi_workspace
{
  char *name;
  char **keys;         /* keys of the workspace's callers, NULL: none */
  bool has_rank;       /* RANK is declared and overrides the route's rank */
  uint32_t rank;       /* urgency, 0 is the most urgent */
  double rate;         /* requests/s over all VMs, 0: no limit */
  double burst;        /* requests above the rate that are admitted at once */
  char **home_regions; /* regions that may serve the workspace, NULL: any */
};

/* Limits of a caller's connection and requests.  */
struct cyi_limits
{
  uint32_t header_bytes; /* longest header of a request */
  uint64_t body_bytes;   /* longest body of a request */
  uint32_t header_ms;    /* time in which a caller must send a header */
  uint32_t idle_ms;      /* longest time between two requests */
};

struct cyi_document
{
  uint64_t number;       /* declaration number, 1 or more */
  GPtrArray *routes;     /* of struct cyi_route */
  GPtrArray *services;   /* of struct cyi_service */
  GPtrArray *workspaces; /* of struct cyi_workspace */
  struct cyi_limits limits;
  /* Host in lower case to a GHashTable of prefix to struct cyi_route.  */
  GHashTable *routes_by_host;
  size_t longest_prefix_bytes;    /* length of the longest route prefix */
  GHashTable *workspaces_by_key;  /* key to struct cyi_workspace */
  GHashTable *workspaces_by_name; /* name to struct cyi_workspace */
  GHashTable *services_by_name;   /* name to struct cyi_service */
};

/* Creates an empty document under NUMBER, to be filled and then passed to
   cyi_document_check; freed by cyi_document_destroy.  */
struct cyi_document *cyi_document_create (uint64_t number);
void cyi_document_destroy (struct cyi_document *document);

/* Add an empty route, service or workspace to DOCUMENT, which owns it.  */
struct cyi_route *cyi_document_add_route (struct cyi_document *document);
struct cyi_service *cyi_document_add_service (struct cyi_document *document);
struct cyi_workspace *
cyi_document_add_workspace (struct cyi_document *document);

/* Adds SERVICE with its WEIGHT to the backends of ROUTE.  */
void cyi_route_add_backend (struct cyi_route *route, const char *service,
                            double weight);

/* Checks DOCUMENT, references between its objects included, and builds the
   indices for lookups.  CY_E_DECL_FIELD, CY_E_DECL_REFERENCE fill *ERROR.  */
cy_result cyi_document_check (struct cyi_document *document,
                              struct cyj_error *error);

/* Reads and checks LENGTH bytes of JSON TEXT, in the format of
   docs/DECLARATIONS.md.  *DOCUMENT is freed by cyi_document_destroy and is
   NULL after an error.  CY_E_DECL_SYNTAX, CY_E_DECL_FIELD, CY_E_DECL_REFERENCE
   fill *ERROR.  */
cy_result cyi_document_read (const char *text, size_t length,
                             struct cyi_document **document,
                             struct cyj_error *error);

/* Returns DOCUMENT as JSON that cyi_document_read accepts; freed by free.  The
   second and further ones of several routes of one name get a number after
   it.  */
char *cyi_document_print (const struct cyi_document *document);

/* Returns the route of HOST (with or without a port) that has the longest
   prefix of PATH, NULL if there is none.  PATH is as the caller sent it,
   without the query.  Owned by DOCUMENT.  */
const struct cyi_route *
cyi_document_find_route (const struct cyi_document *document, const char *host,
                         const char *path);

/* Returns the regions that both ROUTE and WORKSPACE, which may be NULL, allow:
   NULL if every region may serve such a request, an empty list if none may.
   Freed by g_strfreev.  */
char **cyi_common_homes (const struct cyi_route *route,
                         const struct cyi_workspace *workspace);

/* Returns how many pairs of a route that asks for a key and a workspace have
   homes without a common region, so that no region may serve their requests.
   Sets *ROUTE and *WORKSPACE to the first pair.  */
size_t cyi_document_count_homeless (const struct cyi_document *document,
                                    const struct cyi_route **route,
                                    const struct cyi_workspace **workspace);

/* Returns the workspace that declares KEY of LENGTH bytes, NULL if there is
   none.  Owned by DOCUMENT.  */
const struct cyi_workspace *
cyi_document_find_workspace_by_key (const struct cyi_document *document,
                                    const char *key, size_t length);

/* Return the workspace or service NAME, NULL if there is none.  Owned by
   DOCUMENT.  */
const struct cyi_workspace *
cyi_document_find_workspace (const struct cyi_document *document,
                             const char *name);
const struct cyi_service *
cyi_document_find_service (const struct cyi_document *document,
                           const char *name);

/* Returns the name of one of ROUTE's services, chosen in proportion to the
   weights; UNIT is a random number, uniform in [0, 1).  NULL when every weight
   is 0.  Owned by ROUTE.  */
const char *cyi_route_choose_service (const struct cyi_route *route,
                                      double unit);

/* Returns a digest of JSON, never 0, that does not depend on white space or on
   the order of an object's names.  */
uint64_t cyi_json_digest (const json_t *json);

#endif /* CYI_DOCUMENT_H */
