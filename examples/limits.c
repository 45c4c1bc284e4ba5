/* Limits that apply to all VMs.  */

#include <stdio.h>
#include <stdlib.h>

#include "cydeclare.h"

int
main (void)
{
  struct cydeclare *d = cydeclare_create ();
  if (d == NULL)
    return EXIT_FAILURE;
  cydeclare_key_max_age (d, 2000);
  cydeclare_drain_notice (d, 5000);
  cydeclare_headroom (d, 0.2);
  cydeclare_lookup_ttl (d, 2000);
  cydeclare_retry_budget (d, 0.05);
  cy_result result = cydeclare_print (d, stdout);
  if (result != CY_OK)
    fprintf (stderr, "limits: %s\n", cydeclare_message (d));
  cydeclare_destroy (d);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
