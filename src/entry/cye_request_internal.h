/* A request's struct, shared by the files that implement cye_request.h:
   cye_request.c (life, libmicrohttpd), cye_admit.c (checks, token, slot),
   cye_route.c (checks against a numbered declaration), cye_place.c (who places
   it), cye_forward.c (attempts at backend servers), cye_classify_answer.c
   (what an answer is worth), cye_reply.c (answers).  */

#ifndef CYE_REQUEST_INTERNAL_H
#define CYE_REQUEST_INTERNAL_H

#include "entry/cye_call.h"
#include "entry/cye_headers.h"
#include "entry/cye_refusal.h"
#include "entry/cye_request.h"
#include "entry/cye_target.h"

#define CYE_METHOD_MAX 16 /* bytes of a method's name */

enum cye_stage
{
  CYE_READING,   /* its head has been accepted, the body comes */
  CYE_ADMITTING, /* waits for a token of its workspace */
  CYE_QUEUED,    /* waits for a slot */
  CYE_CALLING,   /* a backend server is asked */
  CYE_READY,     /* the answer's head is known */
  CYE_ANSWERING  /* the answer is on its way to the caller */
};

#define CYE_TRIED_MAX 8 /* addresses that a request remembers */

struct cye_request
{
  struct cye_links links;
  struct cye_worker *worker;
  struct cye_shared *shared;
  struct MHD_Connection *connection; /* NULL: the caller is gone */
  char *uri;
  char method[CYE_METHOD_MAX];
  enum cye_stage stage;
  bool begun;      /* the head was seen */
  bool local;      /* answered here */
  bool read_whole; /* the body was read */
  bool suspended;
  bool left;   /* the caller has left: drop the connection */
  int pending; /* callbacks on their way from other threads */
  cy_result posted;

  /* From the head and the access view.  */
  struct cye_target target;
  char workspace[CYA_NAME_MAX];
  char *key; /* to keep it out of answers */
  bool open; /* the route needs no key */
  bool idempotent;
  double weight;
  double retry_share;
  int64_t length; /* of the body, or CYE_LENGTH_ */
  uint32_t body_max;
  struct curl_slist *headers;

  /* The body on its way up.  */
  struct cye_bytes upload;
  uint64_t received;
  bool too_large;

  /* Attempts.  */
  struct cye_ticket ticket; /* where it goes; in the tree, its slot */
  struct cye_place place;   /* at a hub */
  bool has_slot;
  struct cym_load load; /* as the server's answer said */
  bool arrived;         /* an earlier attempt reached a server */
  uint32_t attempts_max;
  char *request_id;    /* as sent, NULL if none */
  char attempt_id[20]; /* in the tree: names the attempt to the server */
  uint64_t tried[CYE_TRIED_MAX]; /* hashes of the addresses of earlier ones */
  char *host;                    /* header, as sent */
  struct cye_call *call;
  struct curl_slist *call_headers;
  int attempts;
  bool sent_before; /* an earlier attempt may have reached a server */
  char avoid[CYB_NAME_MAX];

  /* The end.  */
  cy_result refusal; /* CY_OK: the backend server's answer */
  enum cye_outcome outcome;

  cy_time_ns deadline;
  cy_time_ns begun_at;
  cy_time_ns looked_at; /* whether the caller is still there */
  cy_time_ns read_at;   /* the body had been read */
  cy_time_ns admitted_at;
  cy_time_ns waited; /* for the token and for slots */
};

/* Headers of a request as the daemon gives them.  */
struct cye_collected
{
  struct cye_header headers[CYE_HEADERS_MAX + 1];
  size_t count;
};
void cye_collect (struct MHD_Connection *connection,
                  struct cye_collected *all);

/* Keeps those of ALL that go on to the backend server.  */
void cye_keep_headers (struct cye_request *request,
                       const struct cye_collected *all,
                       const struct cye_head *head);

cy_time_ns cye_request_now (const struct cye_request *request);

/* Suspends the caller's connection until cye_request_resume.  */
void cye_request_suspend (struct cye_request *request);
void cye_request_resume (struct cye_request *request);

/* True when the caller is known to have left, or a look now says so.  */
bool cye_request_is_left (struct cye_request *request, cy_time_ns now);

/* Ends the request with a refusal of its own.  */
void cye_request_refuse (struct cye_request *request, cy_result result,
                         enum cye_outcome outcome);

/* Checks the head; on CY_OK the request may read its body.  */
cy_result cye_admit_head (struct cye_request *request);

/* Asks for a token, then for a slot, then calls.  */
void cye_admit_start (struct cye_request *request);

/* Asks for a slot, for the first or another attempt.  */
void cye_admit_slot (struct cye_request *request);

/* The wait for a slot has ended with RESULT.  */
void cye_admit_placed (struct cye_request *request, cy_result result);

/* Checks the head of a request at a hub; see cye_admit_head.  */
cy_result cye_route_head (struct cye_request *request);

/* Asks whoever places requests for a slot.  CY_OK: the ticket says where.
   CY_E_AGAIN: it waits.  Else refused.  */
cy_result cye_place_take (struct cye_request *request);

/* Stops waiting.  False: the answer is already on its way.  */
bool cye_place_cancel (struct cye_request *request);

/* Gives the slot back, if it has one.  SENT: cut short after it was sent.  */
void cye_place_give (struct cye_request *request, enum cym_outcome ending,
                     cy_time_ns answer, bool silent, bool sent);

/* What the head of a backend server's answer says of the attempt.  */
enum cye_verdict
{
  CYE_GOOD,     /* goes to the caller */
  CYE_FAILED,   /* goes to the caller, unless another attempt may be made */
  CYE_DECLINED, /* the server did not run the request */
  CYE_WRONG,    /* another server has the address */
  CYE_INVALID   /* belongs to another request, or is no answer of a server */
};
enum cye_verdict cye_classify_answer (struct cye_request *request);

/* False when HEAD is of an answer that cye_classify_answer calls CYE_INVALID.
 */
bool cye_is_answer (const struct cye_request *request,
                    const struct cye_answer_head *head);

/* Returns the value of header NAME of HEAD, NULL if there is none.  */
const char *cye_answer_header (const struct cye_answer_head *head,
                               const char *name);

/* The callback from another thread has arrived.  */
void cye_admit_posted (struct cye_request *request);

/* Calls the backend server whose slot was given.  */
void cye_forward_start (struct cye_request *request);

/* Looks at what came from it.  */
void cye_forward_step (struct cye_request *request);

/* Gives up a connection that went silent under an idempotent request.  */
void cye_forward_check (struct cye_request *request, cy_time_ns now);

/* Ends the attempt before its own end, because nobody waits.  */
void cye_forward_cancel (struct cye_request *request);

/* Queues the answer that is ready.  */
enum MHD_Result cye_reply_queue (struct cye_request *request);

/* Fills the split of time as known now.  */
void cye_reply_times (const struct cye_request *request,
                      struct cye_times *times);

#endif /* CYE_REQUEST_INTERNAL_H */
