/* Checks the headers of requests and decides which headers are forwarded.  No
   shared state; any thread.  */

#ifndef CYE_HEADERS_H
#define CYE_HEADERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy_result.h"
#include "entry/cye_names.h"

#define CYE_HEADERS_MAX    100  /* most headers of a request */
#define CYE_HEADERS_BYTES  8192 /* limit of all headers of a request */
#define CYE_LENGTH_NONE    (-1) /* no body */
#define CYE_LENGTH_CHUNKED (-2) /* a chunked body */

struct cye_header
{
  const char *name;
  const char *value;
  size_t name_length;  /* bytes received; differs from strlen if NAME holds a
                          zero byte */
  size_t value_length; /* bytes received; differs from strlen if VALUE holds a
                          zero byte */
};

/* Values of one request's headers; the pointers borrow from the headers.  */
struct cye_request_head
{
  const char *key; /* the key without its scheme, NULL if none */
  size_t key_length;
  const char *host;          /* NULL if none */
  const char *request_id;    /* NULL if none */
  const char *cookie;        /* NULL if none */
  int64_t length;            /* bytes of the body, or a CYE_LENGTH_ value */
  int64_t timeout_ms;        /* the caller's timeout, 0 if none */
  const char *connection[8]; /* values of the Connection headers */
  size_t connection_count;
};

/* Reads COUNT headers of at most BYTES_MAX bytes in total.  Errors:
   CY_E_REQUEST_MALFORMED, CY_E_TOO_LARGE, CY_E_KEY_MISPLACED,
   CY_E_KEY_MALFORMED.  */
cy_result cye_headers_read (const struct cye_names *names, size_t bytes_max,
                            const struct cye_header *headers, size_t count,
                            struct cye_request_head *head);

/* True when header NAME of a request is forwarded to the backend server.  */
bool cye_headers_to_backend (const struct cye_names *names,
                             const struct cye_request_head *head,
                             const char *name);

/* True when header NAME of an answer is passed to the caller.  CONNECTION is
   the answer's Connection value, NULL if none.  */
bool cye_headers_to_caller (const struct cye_names *names,
                            const char *connection, const char *name);

/* Finds cookie NAME in the Cookie header's value COOKIES.  Stores the length
   of the cookie's value in *LENGTH.  NULL if there is no such cookie.  */
const char *cye_headers_cookie (const char *cookies, const char *name,
                                size_t *length);

/* True when the LENGTH bytes at NAME are a name of a header.  */
bool cye_headers_is_token (const char *name, size_t length);

/* True when the LENGTH bytes at VALUE may be the value of a header.  */
bool cye_headers_is_value (const char *value, size_t length);

/* True when the comma-separated LIST contains NAME, ignoring case.  */
bool cye_headers_list_has (const char *list, const char *name);

#endif /* CYE_HEADERS_H */
