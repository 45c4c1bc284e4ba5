/* Reads declarations for an entry VM.  Reading a large declaration takes tens
   of milliseconds of a whole core, and many times that on a small VM, so it
   runs in a separate thread while the loop serves requests; a small
   declaration is read at once.  One declaration is read at a time; of those
   received meanwhile only the newest is read next.  Loop's thread.  */

#ifndef CYE_DECLARATION_READER_H
#define CYE_DECLARATION_READER_H

#include "core/cyi_document.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_loop.h"

/* Bytes of text from which a declaration is read in a separate thread. Reading
   this much takes 2 ms of a core, 25 ms on a VM with a twelfth of a core.  */
#define CYE_READ_THREAD_BYTES 32768

/* A declaration that was read, or the reason why it could not be.  */
struct cye_read_result
{
  cy_result result; /* CY_E_AGAIN: a delta whose base version is not held */
  uint64_t number;  /* version of the declaration */
  struct cyi_document *document; /* owned by the callback, NULL on errors */
  struct cyj_error error;
  char *vm;   /* control VM that sent the declaration */
  char *host; /* address of that control VM */
};

/* Called in the loop's thread.  READ is borrowed; the callback owns its
   document.  */
typedef void (*cye_declaration_read_fn) (struct cye_read_result *read,
                                         void *context);

struct cye_declaration_reader;

struct cye_declaration_reader *
cye_declaration_reader_create (struct cyn_loop *loop,
                               cye_declaration_read_fn done, void *context);

/* Waits for a declaration that is being read; DONE is not called any more.  */
void cye_declaration_reader_destroy (struct cye_declaration_reader *reader);

/* Reads DOCUMENT, which control VM VM at HOST sent, if its number is larger
   than that of the newest declaration read and of those that wait or are being
   read.  Copies DOCUMENT.  DONE may be called before this returns.  */
void cye_declaration_reader_submit (struct cye_declaration_reader *reader,
                                    const Cy__Document *document,
                                    const char *vm, const char *host);

#endif /* CYE_DECLARATION_READER_H */
