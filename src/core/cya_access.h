/* Access: an immutable view of services, routes, workspaces, keys, drains and
   limits, made from the declared state.  Readers share one view; a change of
   the state gets a new one.  Lookups never block.  */

#ifndef CYA_ACCESS_H
#define CYA_ACCESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cys_state.h"
#include "cy_result.h"

#define CYA_KEY_PREFIX "cyk_" /* a key is cyk_ID_SECRET */
#define CYA_KEY_MAX    256    /* bytes of a key's text */
#define CYA_NAME_MAX   128    /* bytes of a workspace's or service's name */

/* Defaults of limits that are not declared.  */
#define CYA_KEY_MAX_AGE_MS  3000
#define CYA_DRAIN_NOTICE_MS 3000
#define CYA_LOOKUP_TTL_MS   5000
#define CYA_RETRY_BUDGET    0.1 /* retries as a share of requests */

/* Defaults of a service that declares no time-out or no size of a body.  */
#define CYA_TIMEOUT_MS     10000
#define CYA_BODY_MAX_BYTES (1u << 20)

struct cya_route
{
  const char *prefix;   /* path prefix, starts with a slash */
  bool open;            /* requests need no key */
  bool idempotent_post; /* a POST may be executed more than once */
};

struct cya_service
{
  const char *name;
  uint32_t timeout_ms;      /* default deadline of a request */
  uint32_t max_body_bytes;  /* longest body of a request */
  struct cya_route *routes; /* owned, longest prefix first */
  size_t route_count;
};

struct cya_workspace
{
  const char *name;
  double weight;           /* share of capacity when requests wait */
  bool serve_cut_off;      /* an isolated zone continues to serve it */
  uint32_t cut_off_max_ms; /* longest time of serving while isolated */
};

struct cya_limits
{
  uint32_t key_max_age_ms;  /* largest age of the state by which keys
                               are accepted */
  uint32_t drain_notice_ms; /* time from the announcement of a drain until the
                               server gets no new requests */
  uint32_t lookup_ttl_ms;   /* time for which callers cache a lookup */
  double retry_budget;      /* retries as a share of requests */
};

struct cya_access;

/* Returns a view of STATE, which is copied; freed by cya_access_destroy.  */
struct cya_access *cya_access_create (const struct cys_state *state);
void cya_access_destroy (struct cya_access *access);

/* Returns the version of the state from which ACCESS was made.  */
uint64_t cya_access_version (const struct cya_access *access);

/* Returns the limits, owned by ACCESS.  */
const struct cya_limits *cya_access_limits (const struct cya_access *access);

/* Return the service or workspace NAME, NULL if there is none.  Owned by
   ACCESS.  */
const struct cya_service *
cya_access_find_service (const struct cya_access *access, const char *name);
const struct cya_workspace *
cya_access_find_workspace (const struct cya_access *access, const char *name);

/* Returns the route of SERVICE with the longest prefix of PATH that ends at
   the end of a path segment, NULL if there is none.  PATH is decoded and
   starts with a slash.  A service without routes has one implicit route for
   all paths, which needs a key.  Owned by SERVICE or static.  */
const struct cya_route *
cya_service_find_route (const struct cya_service *service, const char *path);

/* Checks KEY of LENGTH bytes at wall time UNIX_MS and stores the key's
   workspace, owned by ACCESS, in *WORKSPACE.  The check takes the same time
   for a wrong secret as for a right one.  CY_E_KEY_MALFORMED,
   CY_E_KEY_UNKNOWN, CY_E_KEY_WITHDRAWN, CY_E_KEY_EXPIRED.  */
cy_result cya_access_check_key (const struct cya_access *access,
                                const char *key, size_t length,
                                int64_t unix_ms,
                                const struct cya_workspace **workspace);

/* Returns true when an operator declared a drain of NAME, of KIND "entry",
   "backend", "zone" or "region".  */
bool cya_access_is_drained (const struct cya_access *access, const char *kind,
                            const char *name);

#endif /* CYA_ACCESS_H */
