/* Reads declarations for an entry VM.  A large one takes tens of milliseconds
   of a whole core, many times that on a small VM, so it is read in a thread of
   its own and the requests go on meanwhile; a small one is read at once.  They
   are read one at a time; of those that come meanwhile the newest is next.
   Loop's thread.  */

#ifndef CYE_DECLARATION_READER_H
#define CYE_DECLARATION_READER_H

#include "core/cyi_document.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_loop.h"

/* Bytes of text from which a declaration is read in a thread: it takes 2 ms of
   a core, 25 ms on a VM with a twelfth of one.  */
#define CYE_READ_THREAD_BYTES 32768

/* A declaration that was read, or why it could not be.  */
struct cye_read
{
  cy_result result; /* CY_E_AGAIN: it starts from one that is not held */
  uint64_t number;
  struct cyi_document *document; /* taken over by the callback */
  struct cyj_error error;
  char *vm; /* of the control VM that sent it */
  char *host;
};

/* Called in the loop's thread; READ is borrowed, but for its document.  */
typedef void (*cye_read_fn) (struct cye_read *read, void *context);

struct cye_declaration_reader;

struct cye_declaration_reader *
cye_declaration_reader_create (struct cyn_loop *loop, cye_read_fn done,
                               void *context);

/* Waits for what is being read; DONE is not called any more.  */
void cye_declaration_reader_destroy (struct cye_declaration_reader *reading);

/* Reads FROM, which control VM VM at HOST sent, if it is newer than what was
   read.  DONE is called before this returns or later.  */
void cye_declaration_reader_take (struct cye_declaration_reader *reading,
                                  const Cy__Document *from, const char *vm,
                                  const char *host);

#endif /* CYE_DECLARATION_READER_H */
