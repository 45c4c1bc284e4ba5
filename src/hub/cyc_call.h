/* Calls on a control VM over HTTP, independent of the API that a request uses.
   A dialect parses requests into calls and writes the answers; what a call
   does is the same in every dialect.  Pure; any thread.  */

#ifndef CYC_CALL_H
#define CYC_CALL_H

#include <stddef.h>
#include <stdint.h>

#include "core/cyi_document.h"
#include "cy.pb-c.h"
#include "cy_result.h"

#define CYC_CALL_TTL_MS 2000 /* ms for which callers may cache a lookup */

/* API of a process towards callers, operators and backend servers.  */
enum cyc_dialect
{
  CYC_NATIVE,  /* see docs/DECLARATIONS.md and docs/OPERATIONS.md */
  CYC_PLATFORM /* see platform/ */
};

/* Reads "native" or "platform"; CY_E_SETTING_INVALID for any other text.  */
cy_result cyc_dialect_read (const char *text, enum cyc_dialect *dialect);

enum cyc_call_kind
{
  CYC_CALL_ANNOUNCE, /* a backend server announces its state */
  CYC_CALL_DECLARE,  /* an operator sends a numbered declaration */
  CYC_CALL_READ,     /* returns the declaration in force */
  CYC_CALL_DRAIN,    /* backend servers of a zone get no new requests */
  CYC_CALL_UNDRAIN,  /* ends the drain of a zone */
  CYC_CALL_RESOLVE,  /* returns the entry VMs that a caller should use */
  CYC_CALL_STATUS,   /* returns the members of the log */
  CYC_CALL_METRICS,
  CYC_CALL_HEALTH
};

struct cyc_call
{
  enum cyc_call_kind kind;
  union
  {
    Cy__Instance *instance; /* ANNOUNCE; owned */
    struct
    {
      struct cyi_document *document; /* DECLARE; owned */
      uint64_t digest;               /* of the content as received */
    } declare;
    char *zone; /* DRAIN, UNDRAIN; owned */
    struct
    {
      char *region;
      char *zone;
    } resolve;
  };
};

/* One HTTP request.  */
struct cyc_http_request
{
  const char *method;
  const char *target; /* path and query, as received */
  const char *body;
  size_t length; /* of BODY, bytes */
};

/* Parses REQUEST into *CALL, which the caller clears after CY_OK.  Sets *ERROR
   on failure: CY_E_NOT_FOUND, CY_E_UNSUPPORTED, CY_E_ARGUMENT,
   CY_E_DECL_SYNTAX, CY_E_DECL_FIELD, CY_E_DECL_REFERENCE.  */
cy_result cyc_call_read (enum cyc_dialect dialect,
                         const struct cyc_http_request *request,
                         struct cyc_call *call, struct cyj_error *error);
void cyc_call_clear (struct cyc_call *call);

/* Returns the body of the answer to a successful call of KIND, to be released
   with free.  DOCUMENT is the declaration in force (READ), ENTRIES are COUNT
   entry VMs (RESOLVE).  */
char *cyc_call_write (enum cyc_dialect dialect, enum cyc_call_kind kind,
                      const Cy__Document *document,
                      const Cy__EntryVm *const *entries, size_t count);

/* Returns the decoded value of NAME in the query of TARGET, to be released
   with g_free, or NULL if TARGET has no such name.  */
char *cyc_call_query_value (const char *target, const char *name);

/* ------------------------------------------------------------ dialects */

cy_result cyc_native_read (const struct cyc_http_request *request,
                           struct cyc_call *call, struct cyj_error *error);
char *cyc_native_write (enum cyc_call_kind kind, const Cy__Document *document,
                        const Cy__EntryVm *const *entries, size_t count);

#endif /* CYC_CALL_H */
