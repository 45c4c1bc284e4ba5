/* Frames between cyclamenhaven processes.

   Layout: offset, bytes, content.  Numbers are in network byte order.
     0  4  magic "CYH1"
     4  1  version, CYN_FRAME_VERSION
     5  3  zero
     8  4  length of the payload in bytes
    12  4  low half of XXH64 over cluster name and payload
    16  -  payload, a packed Cy__Envelope
   The name of the cluster is the seed of the checksum, so that a frame of
   another cluster is rejected before its payload is parsed.  */

#ifndef CYN_FRAME_H
#define CYN_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "cy.pb-c.h"
#include "cy_result.h"

#define CYN_FRAME_VERSION     1
#define CYN_FRAME_HEADER      16         /* bytes */
#define CYN_FRAME_PAYLOAD_MAX (4u << 20) /* bytes */

/* Appends one frame with MESSAGE to BUFFER, a GByteArray (void * so that this
   header does not need GLib).  CY_E_TOO_LARGE when MESSAGE is longer than
   CYN_FRAME_PAYLOAD_MAX.  */
cy_result cyn_frame_write (const char *cluster, const Cy__Envelope *message,
                           void *buffer);

/* Reads one frame from the start of BYTES.  On CY_OK, *USED is the length of
   the frame in bytes and *MESSAGE its message, which the caller frees by
   cy__envelope__free_unpacked.  CY_E_AGAIN: more bytes are needed.  After any
   other result the stream is unusable.  */
cy_result cyn_frame_read (const char *cluster, const uint8_t *bytes,
                          size_t length, size_t *used, Cy__Envelope **message);

#endif /* CYN_FRAME_H */
