/* Declarations of the design size: ten regions with 36 availability zones and
   140 sites.  The first argument is the number of client blocks over all sites
   (the design size has 180,000; one per site by default).  The second argument
   is a number of regions by which every site is shifted.

     build/examples/many_blocks 180000 | cyctl submit -  */

#include <stdio.h>
#include <stdlib.h>

#include "cydeclare.h"

#define REGIONS     10
#define ZONES       36
#define SITES       140
#define FIRST_OCTET 20 /* first octet of the /24 blocks of site 0 */
#define BLOCKS_MAX  (SITES * 65536)

static void
add_regions (struct cydeclare *d)
{
  char region[16];
  char zone[16];
  for (int i = 0; i < REGIONS; i++)
    {
      snprintf (region, sizeof region, "region-%d", i);
      cydeclare_region (d, region);
    }
  for (int i = 0; i < ZONES; i++)
    {
      snprintf (region, sizeof region, "region-%d", i % REGIONS);
      snprintf (zone, sizeof zone, "zone-%d", i);
      cydeclare_zone (d, zone, region);
    }
}

static void
add_site (struct cydeclare *d, int number, int region_number, long blocks)
{
  char site[16];
  char region[16];
  char prefix[32];
  snprintf (site, sizeof site, "site-%d", number);
  snprintf (region, sizeof region, "region-%d", region_number);
  cydeclare_site (d, site, region);
  for (long i = 0; i < blocks; i++)
    {
      snprintf (prefix, sizeof prefix, "%d.%ld.%ld.0/24", FIRST_OCTET + number,
                i >> 8, i & 255);
      cydeclare_block (d, site, prefix);
    }
}

int
main (int argc, char **argv)
{
  long blocks = argc > 1 ? strtol (argv[1], NULL, 10) : SITES;
  int shift = argc > 2 ? (int)strtol (argv[2], NULL, 10) : 0;
  struct cydeclare *d = cydeclare_create ();
  if (d == NULL || blocks < 0 || blocks > BLOCKS_MAX || shift < 0)
    return EXIT_FAILURE;
  add_regions (d);
  for (int i = 0; i < SITES; i++)
    add_site (d, i, (i + shift) % REGIONS,
              blocks / SITES + (i < blocks % SITES));
  cydeclare_service (d, "listings");
  cydeclare_open_route (d, "listings", "/");
  cydeclare_workspace (d, "coop-azul", 20, 40);
  cy_result result = cydeclare_print (d, stdout);
  if (result != CY_OK)
    fprintf (stderr, "many_blocks: %s\n", cydeclare_message (d));
  cydeclare_destroy (d);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
