/* Error answers that an entry VM creates itself: problem details (RFC 9457)
   with a result code, and the mapping of result codes to HTTP status codes. */

#ifndef CYE_REFUSAL_H
#define CYE_REFUSAL_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "cy_result.h"
#include "entry/cye_lookup.h"
#include "entry/cye_names.h"

/* Whether a request was run by a backend server; sent to the caller as
   Cy-Outcome.  */
enum cye_outcome
{
  CYE_RAN,
  CYE_NOT_RUN,
  CYE_UNKNOWN
};

const char *cye_outcome_text (enum cye_outcome outcome);

/* HTTP status of a request that ended with RESULT.  */
unsigned cye_refusal_status (cy_result result);

/* Creates the answer, which the caller destroys.  RETRY_AFTER_MS: ms after
   which the caller may retry, 0 for none.  ALTERNATIVES: entry VMs that the
   caller can use instead, NULL for none.  */
struct MHD_Response *
cye_refusal_response (const struct cye_names *names, cy_result result,
                      enum cye_outcome outcome, uint32_t retry_after_ms,
                      const struct cye_answer *alternatives);

/* Returns the same answer as bytes of HTTP/1.1 with STATUS and "Connection:
   close", which the caller frees.  HAS_BODY: false for HEAD.  */
GString *cye_refusal_message (const struct cye_names *names, unsigned status,
                              cy_result result, enum cye_outcome outcome,
                              uint32_t retry_after_ms, bool has_body);

/* Adds the entry VMs of ANSWER as JSON array "entry_vms" to ROOT, a json_t. */
void cye_refusal_add_vms (void *root, const struct cye_answer *answer);

#endif /* CYE_REFUSAL_H */
