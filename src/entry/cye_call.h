/* One attempt of one request at one backend server, through libcurl: sends
   the body from the owner's buffer and stores the answer in a bounded buffer.
   Loop's thread.

   libcurl 7.88.1 resends a request by itself when a persistent connection
   closes before the answer's first byte.  A call writes its request to one
   connection only: it fails when libcurl is about to send a second time.  */

#ifndef CYE_CALL_H
#define CYE_CALL_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy_result.h"
#include "entry/cye_answer.h"
#include "http/cyh_client.h"

#define CYE_BUFFER_BYTES 65536 /* of a body, buffered per direction */
#define CYE_CONNECT_MS   1000  /* timeout for opening a connection */

/* s that a persistent connection may have been idle before it is reused in the
   tree layout: for requests that must not be sent twice, and for idempotent
   ones.  */
#define CYE_TREE_IDLE_ONCE_MAX_S 1
#define CYE_TREE_IDLE_MAX_S      30

/* TCP_USER_TIMEOUT: ms that sent bytes may stay unacknowledged.  */
#define CYE_USER_TIMEOUT_MS 2000

struct cye_call;

/* Bytes of a body in transit.  Not a ring buffer, as the buffer is emptied so
   often that a ring would save little.  */
struct cye_buffer
{
  GByteArray *array;
  size_t consumed; /* bytes at the start that were already read */
  bool complete;   /* the last byte of the body was appended */
  bool cut;        /* bytes of the body were dropped: what is left must not be
                      passed on as a whole body */
};

static inline size_t
cye_buffer_unread (const struct cye_buffer *buffer)
{
  return buffer->array->len - buffer->consumed;
}

void cye_buffer_init (struct cye_buffer *buffer);
void cye_buffer_clear (struct cye_buffer *buffer);
void cye_buffer_append (struct cye_buffer *buffer, const void *data,
                        size_t length);

/* Copies at most ROOM bytes to OUT and returns their count.  KEEP: the bytes
   stay in the buffer for a retry.  */
size_t cye_buffer_read (struct cye_buffer *buffer, void *out, size_t room,
                        bool keep);

struct cye_call_options
{
  struct cyh_client *client;
  const char *method;
  const char *host;
  uint16_t port;
  const char *target;         /* path and query as the caller sent them */
  struct curl_slist *headers; /* borrowed until the call ends */
  struct cye_buffer *upload;  /* NULL: no body */
  int64_t upload_length;      /* bytes, CYE_LENGTH_CHUNKED if unknown */
  bool idempotent;
  long idle_max_s;      /* s that a reused connection may have been idle */
  bool keep_connection; /* the connection may stay open for further calls */
  bool new_connection;  /* the call must open a new connection */
  cy_time_ns suspect_before; /* see struct cye_ticket */
  int64_t timeout_ms;        /* of the whole call */
  cy_time_ns send_by;        /* monotonic time after which the request is not
                                sent, 0: no limit */
  /* Called before the request is sent; false: it is not sent, as after
     SEND_BY. NULL: it is sent.  Runs inside of libcurl.  */
  bool (*may_send) (void *context);
  const struct cy_clock *clock;
  /* Called when data was received or sent, or the call ended.  Runs inside of
     libcurl, so it must only schedule CONTEXT for later.  */
  void (*on_change) (void *context);
  /* Returns false when HEAD does not belong to this request.  The connection
     is closed then, because more of another request's answer may follow on it.
     Runs inside of libcurl, before any other request can use the connection.
     NULL: every answer is accepted.  */
  bool (*accepts) (const struct cye_answer_head *head, void *context);
  void *context;
};

struct cye_call *cye_call_create (const struct cye_call_options *options);

/* Frees the call.  A call that has not ended is cancelled and its connection
   closed.  */
void cye_call_destroy (struct cye_call *call);

/* Ends the call of EASY; the client's on_done must call this.  */
void cye_call_done (CURL *easy, CURLcode code);

const struct cye_answer_head *cye_call_head (const struct cye_call *call);
struct cye_buffer *cye_call_body (struct cye_call *call);

/* Resumes the transfer after the owner read bytes of the body or appended
   bytes to the upload.  */
void cye_call_continue (struct cye_call *call);

bool cye_call_ended (const struct cye_call *call);

/* True when the answer is whole, although parts of the request may not have
   been sent yet.  False while the answer's end is only marked by the
   transfer's, as in chunks.  */
bool cye_call_has_whole_answer (const struct cye_call *call);

/* True while the transfer waits for room in the answer's buffer.  */
bool cye_call_waits_for_reader (const struct cye_call *call);

/* Ends a call whose answer is whole before the request was sent in full;
   closes the connection, on which the rest of the request is due.  */
void cye_call_stop_sending (struct cye_call *call);

/* CY_OK when the whole answer was received, else CY_E_TIMEOUT or
   CY_E_BACKEND_FAILED.  */
cy_result cye_call_result (const struct cye_call *call);

/* True when a byte of the request may have reached the backend server.  */
bool cye_call_sent (const struct cye_call *call);

/* True when the request was not sent because SEND_BY had passed or MAY_SEND
   returned false.  */
bool cye_call_expired (const struct cye_call *call);

/* True when the request was not sent because the persistent connection had
   unread input or was closed.  */
bool cye_call_stale (const struct cye_call *call);

/* True when the request was sent and the connection ended without a byte of an
   answer, other than by a timeout or by the caller's body.  */
bool cye_call_reset (const struct cye_call *call);

/* True when the request was sent on a persistent connection.  */
bool cye_call_reused (const struct cye_call *call);

/* Durations of a call, ns.  */
struct cye_call_times
{
  cy_time_ns connect;    /* opening the connection, 0 if reused */
  cy_time_ns first_byte; /* from sending the request to the first byte
                          received, 0 if none */
  cy_time_ns transfer;   /* from the first to the last byte received */
  cy_time_ns paused;     /* part of the transfer while the buffer was full */
};
void cye_call_times (const struct cye_call *call,
                     struct cye_call_times *times);

/* Monotonic time at which the request was sent, 0 before.  */
cy_time_ns cye_call_sent_at (const struct cye_call *call);

#endif /* CYE_CALL_H */
