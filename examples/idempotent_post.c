/* POST to the search route may be retried, POST to the others may not.  */

#include <stdio.h>
#include <stdlib.h>

#include "cydeclare.h"

int
main (void)
{
  struct cydeclare *d = cydeclare_create ();
  if (d == NULL)
    return EXIT_FAILURE;
  cydeclare_service (d, "listings");
  cydeclare_keyed_route (d, "listings", "/enrolments");
  cydeclare_open_route (d, "listings", "/search");
  cydeclare_idempotent_post (d, "listings", "/search");
  cy_result result = cydeclare_print (d, stdout);
  if (result != CY_OK)
    fprintf (stderr, "idempotent_post: %s\n", cydeclare_message (d));
  cydeclare_destroy (d);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
