/* Creation, planned stop and destruction of a control VM, for main alone.
   Every function runs in the loop's thread.  */

#ifndef CYX_PROCESS_H
#define CYX_PROCESS_H

#include "control/cyx_control.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

struct cyx_control_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const char *host;
  uint16_t port; /* port between processes, 0: any free port */
  const char *data_folder;
  uint64_t member_id;
  const Cy__MemberSet *bootstrap; /* empty: join an existing cluster */
};

/* Opens the data folder, listens and starts replication.  CY_E_STORE_* when
   the folder cannot be used, CY_E_ARGUMENT when HOST is no IP address, CY_E_IO
   when the port cannot be opened.  */
cy_result cyx_control_create (const struct cyx_control_options *options,
                              struct cyx_control **control);
uint16_t cyx_control_port (const struct cyx_control *control);

/* Transfers leadership to another voter before a planned stop.  */
void cyx_control_step_down (struct cyx_control *control);

bool cyx_control_is_leader (const struct cyx_control *control);

/* Call after the loop has ended and the HTTP server is destroyed.  */
void cyx_control_destroy (struct cyx_control *control);

#endif /* CYX_PROCESS_H */
