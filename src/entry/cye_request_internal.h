/* A request's struct, shared by the files that implement cye_request.h:
   cye_request.c (lifetime, libmicrohttpd), cye_admit.c (checks, token, slot),
   cye_route.c (checks against a numbered declaration in the hub layout),
   cye_place.c (choice of a backend server), cye_request_leave.c (planned
   stop), cye_forward.c (attempts at backend servers), cye_classify.c (verdict
   on an answer), cye_reply.c (answers to the caller).  */

#ifndef CYE_REQUEST_INTERNAL_H
#define CYE_REQUEST_INTERNAL_H

#include "entry/cye_call.h"
#include "entry/cye_headers.h"
#include "entry/cye_refusal.h"
#include "entry/cye_request.h"
#include "entry/cye_target.h"

/* Bytes of a method's name with its final NUL; a longer one is refused.  */
#define CYE_METHOD_MAX 64

/* Limit of a body while no declared one is known: for declarations without
   one, and for requests refused at their head, whose body is dropped.  */
#define CYE_BODY_DEFAULT_BYTES (64u << 20)

enum cye_stage
{
  CYE_READING,   /* the head is accepted, the body is being received */
  CYE_ADMITTING, /* waits for a token of the workspace */
  CYE_QUEUED,    /* waits for a slot at a backend server */
  CYE_CALLING,   /* an attempt at a backend server is in progress */
  CYE_READY,     /* the status and headers of the answer are known */
  CYE_ANSWERING  /* the answer is being sent to the caller */
};

#define CYE_TRIED_MAX 8 /* addresses of attempts stored per request */

struct cye_request
{
  struct cye_request_links links;
  struct cye_worker *worker;
  struct cye_shared *shared;
  struct MHD_Connection *connection; /* NULL once libmicrohttpd has ended the
                                     caller's request */
  char *uri;
  char method[CYE_METHOD_MAX];
  enum cye_stage stage;
  bool head_received;      /* the head was processed */
  bool is_local;           /* the entry VM serves the target itself */
  bool body_read;          /* the whole body was received */
  bool suspended;          /* the caller's connection is suspended */
  bool caller_left;        /* the caller closed its connection */
  bool answered;           /* the caller received the whole answer */
  bool answered_early;     /* the answer was sent before the body's end */
  int pending_callbacks;   /* callbacks due from other threads */
  cy_result posted_result; /* result of the newest callback from another
                              thread */

  /* Set from the head and from the access view or the declaration.  */
  struct cye_target target;
  char workspace[CYA_NAME_MAX]; /* "" on open routes */
  char *key;       /* the caller's key, removed from answers that echo it;
                      NULL if none */
  bool open_route; /* the route accepts requests without a key */
  bool idempotent;
  double weight;       /* share of the workspace in the fair queue */
  double retry_share;  /* retries added to the budget per request */
  int64_t body_length; /* bytes of the body, or a CYE_LENGTH_ value */
  uint32_t body_max_bytes;
  struct curl_slist *headers; /* the caller's headers that are forwarded */

  /* The request body between the caller and the backend server.  */
  struct cye_buffer upload;
  uint64_t head_bytes;    /* received, 0: unknown */
  uint64_t body_received; /* bytes */
  bool too_large;         /* more than body_max_bytes were received */
  cy_time_ns stalled_at;  /* time since which neither the body nor the answer
                             has moved, 0: they move */

  /* Attempts.  */
  struct cye_ticket ticket; /* backend server of the attempt; in the tree
                               layout also the slot request */
  struct cye_place place;   /* slot request in the hub layout */
  bool has_slot;            /* a slot is held */
  struct cym_load load;     /* load that the newest answer reports */
  bool reached_server;      /* an earlier attempt was sent to a server */
  uint32_t attempts_max;    /* hub layout: from the route */
  char *request_id;         /* request ID that the caller sent, NULL if none */
  char attempt_id[20];      /* tree layout: request ID sent to the server */
  uint64_t tried_addresses[CYE_TRIED_MAX]; /* hashes of the addresses of
                                            earlier attempts */
  char *host;            /* Host header that the caller sent, NULL if none */
  struct cye_call *call; /* attempt in progress or answered, NULL: none */
  struct curl_slist *call_headers; /* headers of the newest attempt */
  int attempt_count;
  bool needs_new_connection; /* the newest attempt found a stale one */
  bool may_have_run; /* an earlier attempt was sent and the server did not
                        decline it */
  char avoid_instance[CYB_NAME_MAX]; /* server of the attempt that failed last,
                                        "": none */

  /* The result.  */
  cy_result refusal; /* CY_OK: the backend server's answer is passed on */
  enum cye_outcome outcome;

  /* Monotonic times in ns, 0 while unknown.  */
  cy_time_ns deadline;
  cy_time_ns started_at;        /* the request line was received */
  cy_time_ns caller_checked_at; /* the caller's connection was last checked */
  cy_time_ns body_read_at;      /* the body was received, admission started */
  cy_time_ns admitted_at;       /* the token was taken, or none was needed */

  cy_time_ns waiting_time; /* ns spent waiting for the token and for slots */
};

/* Headers of a request in the order in which libmicrohttpd returns them.  */
struct cye_header_list
{
  struct cye_header headers[CYE_HEADERS_MAX + 1];
  size_t count;
};
void cye_request_collect_headers (struct MHD_Connection *connection,
                                  struct cye_header_list *all);

/* Stores the headers of ALL that are forwarded to the backend server.  */
void cye_request_store_headers (struct cye_request *request,
                                const struct cye_header_list *all,
                                const struct cye_request_head *head);

cy_time_ns cye_request_now (const struct cye_request *request);

/* True while an attempt may need more bytes of the caller's body.  A backend
   server may go on reading the body after its answer.  */
bool cye_request_needs_body (const struct cye_request *request);

/* Suspends the caller's connection until cye_request_resume.  */
void cye_request_suspend (struct cye_request *request);
void cye_request_resume (struct cye_request *request);

/* True when the caller has left.  Checks the connection if the last check is
   old enough.  */
bool cye_request_caller_left (struct cye_request *request, cy_time_ns now);

/* Ends the request with an error answer of the entry VM.  */
void cye_request_refuse (struct cye_request *request, cy_result result,
                         enum cye_outcome outcome);

/* Checks the head.  CY_OK: the body may be received.  */
cy_result cye_admit_check_head (struct cye_request *request);

/* Requests a token, then a slot, then starts the first attempt.  */
void cye_admit_start (struct cye_request *request);

/* Requests a slot for the first or a further attempt.  */
void cye_admit_slot (struct cye_request *request);

/* Passes the RESULT of a slot request that waited to the worker's thread.  Any
   thread.  */
void cye_admit_slot_answered (struct cye_request *request, cy_result result);

/* Checks the head of a request in the hub layout; see cye_admit_check_head. */
cy_result cye_route_check_head (struct cye_request *request);

/* Requests a slot from the zone's slots or the hub's placer.  CY_OK: the
   ticket holds the backend server.  CY_E_AGAIN: the request waits.  Any other
   result is a refusal.  */
cy_result cye_place_acquire (struct cye_request *request);

/* Cancels a slot request that waits.  False: its callback is already in
   transit.  */
bool cye_place_cancel (struct cye_request *request);

/* Releases the slot of REQUEST, if it holds one.  ANSWER_NS is the time to the
   answer's first byte, 0 if none came.  TIMED_OUT: no answer came within the
   answer timeout.  INTERRUPTED: the request was sent and its answer is
   incomplete.  */
void cye_place_release (struct cye_request *request, enum cym_outcome ending,
                        cy_time_ns answer_ns, bool timed_out,
                        bool interrupted);

/* Records what the backend server reported with the head of the answer, so
   that the slots or the placer choose another server from now on.  */
void cye_place_notice (struct cye_request *request);

/* False when the backend server has reported since the slot was granted that
   it takes no further request.  */
bool cye_place_may_send (const struct cye_request *request);

/* Verdict on an attempt by the head of the backend server's answer.  */
enum cye_verdict
{
  CYE_GOOD,        /* passed to the caller */
  CYE_FAILED,      /* passed to the caller unless a retry is allowed */
  CYE_DECLINED,    /* the server did not run the request */
  CYE_MISDIRECTED, /* another server instance uses the address */
  CYE_INVALID /* the answer belongs to another request or does not come from
                  a backend server */
};
enum cye_verdict cye_classify_answer (struct cye_request *request);

/* Why cye_classify_answer returns CYE_INVALID for HEAD, CYE_ANSWER_SOUND if it
   does not.  */
enum cye_answer_fault cye_check_answer (const struct cye_request *request,
                                        const struct cye_answer_head *head);

/* Continues REQUEST in the worker's thread with the result that another thread
   posted.  */
void cye_admit_continue (struct cye_request *request);

/* Starts an attempt at the backend server whose slot is held.  */
void cye_forward_start (struct cye_request *request);

/* Processes what the attempt has received.  */
void cye_forward_step (struct cye_request *request);

/* Ends an attempt of an idempotent request that has exceeded its answer
   timeout, and starts a retry.  */
void cye_forward_check (struct cye_request *request, cy_time_ns now);

/* Cancels the attempt in progress; the caller has left or is refused.  */
void cye_forward_cancel (struct cye_request *request);

/* True when a planned stop leaves time for an attempt at the ticket's backend
   server, or no stop is in progress.  */
bool cye_request_may_pass_on (const struct cye_request *request);

/* True when a planned stop leaves time to wait for a slot.  */
bool cye_request_may_wait (const struct cye_request *request);

/* In a planned stop, refuses a request that can't be passed on any more.  At
   its end, ends a request without an answer.  */
void cye_request_check_leave (struct cye_request *request, cy_time_ns now);

/* Queues the answer in libmicrohttpd.  */
enum MHD_Result cye_reply_queue (struct cye_request *request);

/* Sends the refusal of a request whose body is still being received, when
   libmicrohttpd takes no answer.  The rest of the body is dropped, and the
   connection closed after it.  */
void cye_reply_send_early (struct cye_request *request);

/* Fills TIMES with the time breakdown so far.  */
void cye_reply_times (const struct cye_request *request,
                      struct cye_times *times);

#endif /* CYE_REQUEST_INTERNAL_H */
