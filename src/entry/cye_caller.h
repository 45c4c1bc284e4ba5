/* Connection of a caller: tells whether requests were sent on it ahead of an
   answer.  libmicrohttpd reads them into a buffer of its own, so they are
   found by counting: the bytes that arrived, less those of the requests read
   so far.  Worker's thread.  */

#ifndef CYE_CALLER_H
#define CYE_CALLER_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/* Callback for the start and end of a connection.  */
void cye_caller_on_connection (void *context,
                               struct MHD_Connection *connection,
                               void **socket_context,
                               enum MHD_ConnectionNotificationCode code);

/* Bytes of the head that is being served on CONNECTION, 0 if unknown.  */
uint64_t cye_caller_head_bytes (struct MHD_Connection *connection);

/* Counts a request of BYTES as read.  EXACT: false when there were more, as in
   chunks.  */
void cye_caller_count (struct MHD_Connection *connection, uint64_t bytes,
                       bool exact);

/* True when more has arrived on CONNECTION than the requests counted and the
   present one of BYTES.  */
bool cye_caller_sent_ahead (struct MHD_Connection *connection, uint64_t bytes,
                            bool exact);

#endif /* CYE_CALLER_H */
