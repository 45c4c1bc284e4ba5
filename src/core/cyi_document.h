/* Numbered declarations: one whole document of services, routes, workspaces
   and limits under a number that its operator chose.  The highest number is in
   force.  A document is immutable once made; it answers which route and which
   workspace a request belongs to.  Pure; readers of any thread.  */

#ifndef CYI_DOCUMENT_H
#define CYI_DOCUMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cyj_declaration.h"
#include "cy_result.h"

#define CYI_RANK_LAST 1000 /* rank of what declares none, 0 is first */
#define CYI_KEY_MAX   256  /* bytes of a key */

/* Where a route's requests go, and in which proportion.  */
struct cyi_backend
{
  char *service;
  double weight; /* 0 or more */
};

struct cyi_route
{
  char *name;
  char *host;
  char *prefix;    /* begins and ends with a slash */
  bool idempotent; /* a request may run more than once */
  bool open;       /* needs no key */
  bool sticky;     /* servers keep what an object's earlier requests loaded */
  uint32_t timeout_ms;
  uint32_t goal_ms;  /* latency goal, 0: none */
  uint32_t rank;     /* 0 is the most urgent */
  uint32_t attempts; /* backend servers that one request may be sent to */
  char **homes;      /* regions that may serve it, NULL: any */
  struct cyi_backend *backends;
  size_t backend_count;
};

struct cyi_service
{
  char *name;
  char *health_path;
  uint32_t connections; /* that one backend server accepts, of all callers */
  uint32_t cold_ms;     /* for which one is cold after its start */
  double cold_per_s;    /* requests that a cold one bears */
};

struct cyi_workspace
{
  char *name;
  char **keys;
  bool ranked;   /* RANK goes before the route's */
  uint32_t rank; /* 0 is the most urgent */
  double rate;   /* requests a second over all VMs, 0: no limit */
  double burst;  /* requests */
  char **homes;  /* regions that may serve it, NULL: any */
};

/* What a caller may send.  */
struct cyi_limits
{
  uint32_t header_bytes;
  uint64_t body_bytes;
  uint32_t header_ms; /* to send the header */
  uint32_t idle_ms;   /* between requests */
};

struct cyi_document
{
  uint64_t number;
  GPtrArray *routes;     /* of struct cyi_route */
  GPtrArray *services;   /* of struct cyi_service */
  GPtrArray *workspaces; /* of struct cyi_workspace */
  struct cyi_limits limits;
  GHashTable *by_host;   /* host to GHashTable, prefix to struct cyi_route */
  size_t prefix_longest; /* bytes of the longest prefix */
  GHashTable *by_key;    /* key to struct cyi_workspace */
  GHashTable *by_name;   /* name to struct cyi_workspace */
  GHashTable *service_by_name;
};

/* Makes an empty document to be filled and then checked.  The caller destroys
   it.  */
struct cyi_document *cyi_document_create (uint64_t number);
void cyi_document_destroy (struct cyi_document *document);

/* Add an empty object, owned by DOCUMENT.  */
struct cyi_route *cyi_document_add_route (struct cyi_document *document);
struct cyi_service *cyi_document_add_service (struct cyi_document *document);
struct cyi_workspace *
cyi_document_add_workspace (struct cyi_document *document);

/* Adds a part to ROUTE.  */
void cyi_route_add_backend (struct cyi_route *route, const char *service,
                            double weight);

/* Checks what no single field shows and makes the document answer questions.
   CY_E_DECL_FIELD, CY_E_DECL_REFERENCE fill *ERROR.  */
cy_result cyi_document_check (struct cyi_document *document,
                              struct cyj_error *error);

/* Reads the product's own form; see docs/DECLARATIONS.md.  CY_E_DECL_SYNTAX,
   CY_E_DECL_FIELD, CY_E_DECL_REFERENCE fill *ERROR.  */
cy_result cyi_document_read (const char *text, size_t length,
                             struct cyi_document **document,
                             struct cyj_error *error);

/* Prints DOCUMENT in the product's own form; freed by free.  */
char *cyi_document_print (const struct cyi_document *document);

/* Returns the route of HOST (with or without a port) and PATH (as sent,
   without its query): the one with the longest prefix.  NULL: none.  */
const struct cyi_route *
cyi_document_route (const struct cyi_document *document, const char *host,
                    const char *path);

/* Returns the workspace that holds KEY of LENGTH bytes, NULL if none does.  */
const struct cyi_workspace *
cyi_document_key (const struct cyi_document *document, const char *key,
                  size_t length);

const struct cyi_workspace *
cyi_document_workspace (const struct cyi_document *document, const char *name);
const struct cyi_service *
cyi_document_service (const struct cyi_document *document, const char *name);

/* Chooses a part of ROUTE by weight; UNIT is uniform in [0, 1).  NULL when
   every weight is 0.  */
const char *cyi_route_choose (const struct cyi_route *route, double unit);

/* Digest of JSON that does not depend on its spacing or the order of its
   names; never 0.  */
uint64_t cyi_json_digest (const json_t *json);

#endif /* CYI_DOCUMENT_H */
