/* One entry VM: the agent, which runs in the loop's thread and communicates
   with the zone processes, and the worker threads that serve callers.  */

#ifndef CYE_ENTRY_H
#define CYE_ENTRY_H

#include <stdint.h>

#include "cy_result.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

struct cye_entry;

struct cye_entry_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const char *region;
  const char *host;   /* address to listen on */
  uint16_t http_port; /* 0: any */
  const char *zones;  /* zone processes, "IP:PORT,IP:PORT" */
  unsigned workers;   /* threads, 1 to 32 */
  /* Called once, when the VM listens and a zone process has confirmed the
     declared state.  */
  cyn_callback on_ready;
  void *context;
};

/* Listens and starts the workers.  Call in the loop's thread, or before the
   loop runs.  */
cy_result cye_entry_create (const struct cye_entry_options *options,
                            struct cye_entry **entry);
void cye_entry_destroy (struct cye_entry *entry);

/* Returns the port that ENTRY listens on.  */
uint16_t cye_entry_port (const struct cye_entry *entry);

/* Starts a planned stop.  Lookups stop returning this VM; callers that cached
   an answer are served until the answer expires; then the open requests are
   finished and STOPPED is called.  A second call skips the wait for cached
   answers.  Loop's thread.  */
void cye_entry_leave (struct cye_entry *entry, cyn_callback stopped,
                      void *context);

#endif /* CYE_ENTRY_H */
