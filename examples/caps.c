/* At most 5 % of the traffic of the service billing shifts within ten seconds,
   at most 20 % of that of any other service.  */

#include <stdio.h>
#include <stdlib.h>

#include "cydeclare.h"

int
main (void)
{
  struct cydeclare *d = cydeclare_create ();
  if (d == NULL)
    return EXIT_FAILURE;
  cydeclare_service (d, "billing");
  cydeclare_service (d, "metering");
  cydeclare_cap (d, "billing", "billing", 0.05, 10000);
  cydeclare_cap (d, "every-service", NULL, 0.2, 10000);
  cy_result result = cydeclare_print (d, stdout);
  if (result != CY_OK)
    fprintf (stderr, "caps: %s\n", cydeclare_message (d));
  cydeclare_destroy (d);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
