/* One attempt of one request at one backend server, through libcurl: sends
   the body from the owner's buffer, collects the answer in a bounded one.
   Loop's thread.

   libcurl 7.88.1 sends a request again by itself when a kept connection dies
   before the answer's first byte.  A call writes its request to one
   connection only: the second time libcurl is about to send, the call
   fails.  */

#ifndef CYE_CALL_H
#define CYE_CALL_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy_result.h"
#include "http/cyh_client.h"

#define CYE_BUFFER_BYTES    65536 /* bytes of a body held, each way */
#define CYE_CONNECT_MS      1000  /* ms to open a connection */
#define CYE_KEPT_PROOF_S    1     /* s since a kept connection last answered */
#define CYE_KEPT_MAX_S      30    /* s, the same for idempotent requests */
#define CYE_USER_TIMEOUT_MS 2000  /* ms that sent bytes may stay unanswered */

struct cye_call;

/* Bytes on their way; a ring would save little: it empties all the time.  */
struct cye_bytes
{
  GByteArray *array;
  size_t taken;  /* bytes already taken from its start */
  bool complete; /* no more will follow */
};

static inline size_t
cye_bytes_left (const struct cye_bytes *bytes)
{
  return bytes->array->len - bytes->taken;
}

void cye_bytes_init (struct cye_bytes *bytes);
void cye_bytes_clear (struct cye_bytes *bytes);
void cye_bytes_add (struct cye_bytes *bytes, const void *data, size_t length);

/* Copies at most ROOM bytes out; KEEP holds on to them for a retry.  */
size_t cye_bytes_take (struct cye_bytes *bytes, void *out, size_t room,
                       bool keep);

struct cye_answer_head;

struct cye_call_options
{
  struct cyh_client *client;
  const char *method;
  const char *host;
  uint16_t port;
  const char *target;         /* path and query, as the caller sent them */
  struct curl_slist *headers; /* borrowed until the call ends */
  struct cye_bytes *upload;   /* NULL: no body */
  int64_t upload_length;      /* CYE_LENGTH_CHUNKED if not known */
  bool idempotent;
  long kept_max_s;    /* that a kept connection may have been idle */
  bool keep;          /* the connection may be kept */
  bool fresh;         /* a kept connection may not be used */
  cy_time_ns suspect; /* see struct cye_ticket */
  int64_t timeout_ms;
  cy_time_ns send_by; /* it is not sent after this moment, 0: at any time */
  const struct cy_clock *clock;
  /* Something came or the call ended; called from inside libcurl, so that it
     only notes CONTEXT for later.  */
  void (*on_change) (void *context);
  /* False when what has come is no answer to this request: the connection is
     closed, as more of another one's answer may follow on it.  Called from
     inside libcurl, before any other request can use the connection.  NULL:
     any answer is.  */
  bool (*accepts) (const struct cye_answer_head *head, void *context);
  void *context;
};

/* What has come so far.  Fields are the call's to change.  */
struct cye_answer_head
{
  long status;
  GPtrArray *names;  /* char * */
  GPtrArray *values; /* char * */
  bool complete;
};

struct cye_call *cye_call_create (const struct cye_call_options *options);

/* Cancels the call when it has not ended: its connection is closed.  */
void cye_call_destroy (struct cye_call *call);

/* To be called from the client's on_done.  */
void cye_call_done (CURL *easy, CURLcode code);

const struct cye_answer_head *cye_call_head (const struct cye_call *call);
struct cye_bytes *cye_call_body (struct cye_call *call);

/* The owner took bytes from the body or added some to the upload.  */
void cye_call_continue (struct cye_call *call);

bool cye_call_ended (const struct cye_call *call);

/* CY_OK when the whole answer came.  CY_E_TIMEOUT, or CY_E_BACKEND_FAILED.  */
cy_result cye_call_result (const struct cye_call *call);

/* True when a byte of the request may have reached the backend server.  */
bool cye_call_sent (const struct cye_call *call);

/* True when it was not sent as it was too late for that.  */
bool cye_call_expired (const struct cye_call *call);

/* True when it went out on a kept connection.  */
bool cye_call_reused (const struct cye_call *call);

struct cye_call_times
{
  cy_time_ns connect; /* 0 on a kept connection */
  cy_time_ns first;   /* from the request's sending to the first byte, 0 */
  cy_time_ns rest;    /* from the first to the last byte */
  cy_time_ns paused;  /* of that, while the buffer was full */
};
void cye_call_times (const struct cye_call *call,
                     struct cye_call_times *times);

/* Time at which the request was sent, 0 if not yet.  */
cy_time_ns cye_call_sent_at (const struct cye_call *call);

#endif /* CYE_CALL_H */
