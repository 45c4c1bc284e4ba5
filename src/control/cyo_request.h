/* One request of an operator and its answer, shared by the cyo_*.c files
   only.  The HTTP thread reads a request, a worker thread handles it.  */

#ifndef CYO_REQUEST_H
#define CYO_REQUEST_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

#include "control/cyo_http.h"
#include "core/cys_state.h"

#define CYO_PROPOSE_TIMEOUT_MS   8000 /* limit for the commit of a change */
#define CYO_REFUSAL_TIMEOUT_MS   1500 /* limit for a refusal's audit line */
#define CYO_REQUEST_ID_BYTES_MAX 64
#define CYO_LIST_LINES_MAX       1000 /* lines in one answer */

struct cyo_operators;

struct cyo_request
{
  struct cyo_http *http;
  struct cyx_control *control;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  GHashTable *arguments; /* name to value in the query string, char * */
  GByteArray *body;
  size_t body_max; /* bytes */
  const char *who; /* name of the operator, NULL if not authenticated */
  const struct cyo_route *route;
  char *name;      /* text in place of the '*' in the route's path */
  bool is_queued;  /* a worker handles the request */
  unsigned status; /* HTTP status of the answer, 0: no answer yet */
  char *answer;
  size_t answer_length;
  const char *content_type;
  char *location; /* URL of a redirect, or NULL */
};

/* ------------------------------------------------------------- answers */

/* Answers with BODY and releases the caller's reference to BODY.  */
void cyo_answer_json (struct cyo_request *request, unsigned status,
                      json_t *body);
/* Answers with TEXT, which is freed by g_free.  */
void cyo_answer_text (struct cyo_request *request, unsigned status,
                      const char *type, char *text);

/* Answers with an RFC 9457 problem.  PATH names the invalid field, may be "".
   The members of MORE are added and the caller's reference to MORE is
   released; MORE may be NULL.  */
void cyo_answer_problem (struct cyo_request *request, cy_result result,
                         const char *path, const char *detail, json_t *more);

/* Redirects the operator to the leader at HOST and PORT.  Answers
   CY_E_NO_QUORUM when HOST is NULL: no leader is known.  */
void cyo_answer_leader (struct cyo_request *request, const char *host,
                        uint16_t port);

/* ------------------------------------------------------------- reading */

/* Returns the value of a query argument, NULL if it is missing.  */
const char *cyo_argument (const struct cyo_request *request, const char *name);

/* Stores the query argument NAME, a whole number, in *VALUE; FALLBACK if it is
   missing.  Answers and returns false when it is no number.  */
bool cyo_argument_number (struct cyo_request *request, const char *name,
                          uint64_t fallback, uint64_t *value);

/* Returns the body as a JSON object, a new reference, or answers and returns
   NULL.  */
json_t *cyo_body_json (struct cyo_request *request);

/* True when this VM may answer a read: it is the leader, or no leader is
   known.  Returns false after a redirect to the leader.  *CONFIRMED: a quorum
   confirms the state of this VM.  If not, and the query has the argument
   "confirmed", answers CY_E_NO_QUORUM and returns false.  */
bool cyo_may_read_here (struct cyo_request *request, bool *confirmed);

/* ------------------------------------------------------------- changes */

/* Makes the JSON answer to an accepted change; VERSION is the resulting
   version of the declared state.  */
typedef json_t *(*cyo_accepted_fn) (struct cyo_request *request,
                                    uint64_t version);

/* Initialises CHANGE for ACTION with the request id, the operator and the
   request's digest.  Returns false after it answered: this VM is not the
   leader, the request id is invalid or in use, or the request is a resend,
   which gets the first answer again.  ACCEPTED makes that answer when the
   change was accepted; NULL: version and request id.  Strings of CHANGE are
   borrowed from REQUEST.  */
bool cyo_change_begin (struct cyo_request *request, Cy__Change *change,
                       const char *action, cyo_accepted_fn accepted);

/* Initialises CHANGE like cyo_change_begin, without a check for resends or for
   the leader.  Returns false after it answered an invalid request id.  */
bool cyo_change_prepare (struct cyo_request *request, Cy__Change *change,
                         const char *action);

/* True when CHANGE is a resend of an accepted change.  */
bool cyo_change_was_accepted (struct cyo_request *request,
                              const Cy__Change *change);

/* True when this VM is the leader with a quorum.  Returns false after a
   redirect to the leader, or after it answered CY_E_NO_QUORUM.  */
bool cyo_require_leader (struct cyo_request *request);

/* Proposes CHANGE and answers with the outcome; true when the change was
   accepted.  */
bool cyo_change_finish (struct cyo_request *request, Cy__Change *change,
                        cyo_accepted_fn accepted);

/* Answers a CHANGE that is refused with RESULT before it is proposed, and adds
   the refusal to the audit trail.  */
void cyo_change_refuse (struct cyo_request *request, Cy__Change *change,
                        cy_result result, const char *path,
                        const char *detail);

/* Answers with the outcome of a proposal; true when it was accepted.  */
bool cyo_answer_outcome (struct cyo_request *request,
                         const struct cyx_outcome *outcome,
                         cyo_accepted_fn accepted);

/* ------------------------------------------------------------- routing */

typedef void (*cyo_handler_fn) (struct cyo_request *request);

struct cyo_route
{
  const char *method;
  const char *path; /* a '*' matches one name */
  cyo_handler_fn handler;
  size_t body_max; /* bytes */
  bool no_token;   /* open to requests without an operator's token */
  bool is_inline;  /* runs in the HTTP thread, must not block */
};

/* Returns the route of REQUEST and sets the request's name, or answers 404 or
   405 and returns NULL.  */
const struct cyo_route *cyo_route_find (struct cyo_request *request);

void cyo_handle_submit (struct cyo_request *request);
void cyo_handle_state (struct cyo_request *request);
void cyo_handle_diff (struct cyo_request *request);
void cyo_handle_history (struct cyo_request *request);
void cyo_handle_rollback (struct cyo_request *request);
void cyo_handle_key_issue (struct cyo_request *request);
void cyo_handle_key_withdraw (struct cyo_request *request);
void cyo_handle_keys (struct cyo_request *request);
void cyo_handle_drain (struct cyo_request *request);
void cyo_handle_undrain (struct cyo_request *request);
void cyo_handle_drains (struct cyo_request *request);
void cyo_handle_preview (struct cyo_request *request);
void cyo_handle_audit (struct cyo_request *request);
void cyo_handle_status (struct cyo_request *request);
void cyo_handle_children (struct cyo_request *request);
void cyo_handle_member_add (struct cyo_request *request);
void cyo_handle_member_remove (struct cyo_request *request);
void cyo_handle_why (struct cyo_request *request);
void cyo_handle_metrics (struct cyo_request *request);
void cyo_handle_health (struct cyo_request *request);
void cyo_handle_ready (struct cyo_request *request);

/* ----------------------------------------------------------- operators */

/* Reads lines "NAME TOKEN"; empty lines and lines that start with # are
   skipped.  CY_E_SETTING_INVALID when FILE cannot be read, has an invalid line
   or names no operator.  */
cy_result cyo_operators_read (const char *file,
                              struct cyo_operators **operators);
void cyo_operators_destroy (struct cyo_operators *operators);

/* Returns the name of the operator whose token is in AUTHORIZATION, the value
   of the HTTP header, or NULL.  The run time does not depend on how much of a
   token matches.  */
const char *cyo_operators_find (const struct cyo_operators *operators,
                                const char *authorization);

#endif /* CYO_REQUEST_H */
