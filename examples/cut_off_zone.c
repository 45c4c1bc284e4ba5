/* A zone that is isolated from the control VMs continues to serve one
   workspace for ten minutes.  A key of the workspace that is withdrawn in that
   time is still accepted there.  */

#include <stdio.h>
#include <stdlib.h>

#include "cydeclare.h"

int
main (void)
{
  struct cydeclare *d = cydeclare_create ();
  if (d == NULL)
    return EXIT_FAILURE;
  cydeclare_workspace (d, "volunteers", 20, 40);
  cydeclare_cut_off (d, "volunteers", 600000);
  cy_result result = cydeclare_print (d, stdout);
  if (result != CY_OK)
    fprintf (stderr, "cut_off_zone: %s\n", cydeclare_message (d));
  cydeclare_destroy (d);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
