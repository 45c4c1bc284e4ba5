/* Reads the head of an HTTP/1 answer of a backend server, line by line, and
   checks it before anything in it is used.  libcurl reads heads less strictly:
   it takes "HTTP/2 200" on an HTTP/1.1 connection and "200OK" for answers.  No
   shared state; any thread.  */

#ifndef CYE_ANSWER_H
#define CYE_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CYE_ANSWER_HEADERS_MAX 200   /* of one head */
#define CYE_ANSWER_BYTES_MAX   32768 /* of its heads and its trailers */
#define CYE_ANSWER_LINES_MAX   1000  /* of them; libcurl keeps each one */
#define CYE_STATUS_LINE_MAX    64    /* bytes of it stored for the log */

#define CYE_ANSWER_LENGTH_UNKNOWN UINT64_MAX

/* Why an answer is refused.  */
enum cye_answer_fault
{
  CYE_ANSWER_SOUND,
  CYE_ANSWER_STATUS_LINE, /* no status line of HTTP/1.0 or HTTP/1.1 with a
                             status from 100 to 599 */
  CYE_ANSWER_UPGRADE,     /* status 101: no upgrade was requested */
  CYE_ANSWER_HEADER_LINE, /* a line that is no header */
  CYE_ANSWER_FRAMING,     /* the end of the body is not certain */
  CYE_ANSWER_TOO_LARGE,   /* the head or the trailers exceed their limits */
  CYE_ANSWER_REPEATED,    /* values of two answers in one head */
  CYE_ANSWER_NO_ID,       /* the request ID is not echoed */
  CYE_ANSWER_OTHER_ID,    /* the answer belongs to another request */
  CYE_ANSWER_OLD_REFUSAL, /* the refusal may belong to another request */
  CYE_ANSWER_UNSTAMPED,   /* a success without the stamp of backend servers */
  CYE_ANSWER_ENCODED      /* an encoding that nobody asked for */
};

/* Name of FAULT in logs and metrics.  */
const char *cye_answer_fault_name (enum cye_answer_fault fault);

/* What the next line has to be.  */
enum cye_answer_stage
{
  CYE_ANSWER_AT_STATUS,
  CYE_ANSWER_AT_HEADER,
  CYE_ANSWER_AT_TRAILER
};

/* Head of an answer as received so far.  Only cye_answer_* and the call change
   the fields.  */
struct cye_answer_head
{
  enum cye_answer_stage stage;
  enum cye_answer_fault fault;           /* of the lines received so far */
  char status_line[CYE_STATUS_LINE_MAX]; /* printable start of the newest */
  int version_minor;                     /* of HTTP/1 */
  long status;                           /* 0: none received yet */
  GPtrArray *names;                      /* char *, names of the headers */
  GPtrArray *values;                     /* char *, values in the same order */
  bool complete; /* the empty line after the headers was received, the
                    status is final and there is no fault */
  size_t bytes;  /* of all heads, interim ones and trailers too */
  size_t lines;
};

void cye_answer_init (struct cye_answer_head *head);
void cye_answer_clear (struct cye_answer_head *head);

/* Reads LINE with its line end, LENGTH bytes.  Returns the fault of the head,
   after which no further line is read.  */
enum cye_answer_fault cye_answer_read_line (struct cye_answer_head *head,
                                            const char *line, size_t length);

/* Bytes of the body that HEAD announces, CYE_ANSWER_LENGTH_UNKNOWN if it
   announces none.  */
uint64_t cye_answer_length (const struct cye_answer_head *head);

/* Returns the value of the first header NAME of HEAD, NULL if there is
   none.  */
const char *cye_answer_header (const struct cye_answer_head *head,
                               const char *name);

/* True when HEAD has header NAME twice with different values.  */
bool cye_answer_differs (const struct cye_answer_head *head, const char *name);

#endif /* CYE_ANSWER_H */
