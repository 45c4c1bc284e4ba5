/* Kōwhai Lane Family Directory: three regions with two availability zones
   each, the listings, bookings and venues services, eight workspaces of which
   a few are large.

     build/examples/kowhai_lane | cyctl submit -  */

#include <stdio.h>
#include <stdlib.h>

#include "cydeclare.h"

#define LINK_BITS_PER_S 4e9  /* in each direction between two regions */
#define LINK_LATENCY_MS 35.0 /* between two regions */

static const char *const regions[] = { "auckland", "wellington", "otago" };

static const struct
{
  const char *name;
  double rate;  /* requests a second */
  double burst; /* requests */
} workspaces[] = {
  { "parents-web", 500, 1000 },     { "parents-app", 400, 800 },
  { "playcentre-union", 150, 300 }, { "toddler-music", 30, 60 },
  { "coffee-groups", 30, 60 },      { "hall-keepers", 20, 40 },
  { "volunteers", 20, 40 },         { "old-stack", 50, 100 },
};

static void
add_regions (struct cydeclare *d)
{
  char name[32];
  char prefix[32];
  for (int i = 0; i < 3; i++)
    {
      cydeclare_region (d, regions[i]);
      for (int zone = 1; zone <= 2; zone++)
        {
          snprintf (name, sizeof name, "%s-%d", regions[i], zone);
          cydeclare_zone (d, name, regions[i]);
        }
      snprintf (name, sizeof name, "%s-callers", regions[i]);
      snprintf (prefix, sizeof prefix, "10.%d.0.0/16", 10 * (i + 1));
      cydeclare_site (d, name, regions[i]);
      cydeclare_block (d, name, prefix);
    }
  cydeclare_link (d, "auckland", "wellington", LINK_BITS_PER_S,
                  LINK_LATENCY_MS);
  cydeclare_link (d, "auckland", "otago", LINK_BITS_PER_S, LINK_LATENCY_MS);
  cydeclare_link (d, "wellington", "otago", LINK_BITS_PER_S, LINK_LATENCY_MS);
}

static void
add_services (struct cydeclare *d)
{
  cydeclare_service (d, "listings");
  cydeclare_timeout (d, "listings", 2000);
  cydeclare_open_route (d, "listings", "/");

  cydeclare_service (d, "bookings");
  cydeclare_timeout (d, "bookings", 5000);
  cydeclare_keyed_route (d, "bookings", "/");

  cydeclare_service (d, "venues");
  cydeclare_timeout (d, "venues", 2000);
  cydeclare_open_route (d, "venues", "/pages");
  cydeclare_keyed_route (d, "venues", "/edit");

  cydeclare_cap (d, "every-service", NULL, 0.25, 5000);
}

int
main (void)
{
  struct cydeclare *d = cydeclare_create ();
  if (d == NULL)
    return EXIT_FAILURE;
  add_regions (d);
  add_services (d);
  for (size_t i = 0; i < sizeof workspaces / sizeof workspaces[0]; i++)
    cydeclare_workspace (d, workspaces[i].name, workspaces[i].rate,
                         workspaces[i].burst);
  cy_result result = cydeclare_print (d, stdout);
  if (result != CY_OK)
    fprintf (stderr, "kowhai_lane: %s\n", cydeclare_message (d));
  cydeclare_destroy (d);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
