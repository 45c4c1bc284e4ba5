/* Two regions of one availability zone each, and the link between them.  */

#include <stdio.h>
#include <stdlib.h>

#include "cydeclare.h"

int
main (void)
{
  struct cydeclare *d = cydeclare_create ();
  if (d == NULL)
    return EXIT_FAILURE;
  cydeclare_region (d, "north");
  cydeclare_region (d, "south");
  cydeclare_zone (d, "north-1", "north");
  cydeclare_zone (d, "south-1", "south");
  cydeclare_link (d, "north", "south", 4e9, 35);
  cy_result result = cydeclare_print (d, stdout);
  if (result != CY_OK)
    fprintf (stderr, "links: %s\n", cydeclare_message (d));
  cydeclare_destroy (d);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
