/* Termination signals of a program, handled in the thread of an event loop. */

#ifndef CYN_SIGNALS_H
#define CYN_SIGNALS_H

#include "net/cyn_loop.h"

struct cyn_signals;

/* Blocks SIGTERM, SIGINT and SIGHUP for the process and ignores SIGPIPE.  Call
   in main, before any thread starts.  */
void cyn_signals_block (void);

/* Calls FN for every SIGTERM and SIGINT.  SIGHUP is logged and has no other
   effect: settings are read at the start only.  Loop's thread.  */
struct cyn_signals *cyn_signals_create (struct cyn_loop *loop, cyn_callback fn,
                                        void *context);
void cyn_signals_destroy (struct cyn_signals *signals);

#endif /* CYN_SIGNALS_H */
