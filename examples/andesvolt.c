/* Andesvolt Software: three regions with two availability zones each, the
   metering, billing and contracts services, eight workspaces of which a few
   are large.

     build/examples/andesvolt | cyctl submit -  */

#include <stdio.h>
#include <stdlib.h>

#include "cydeclare.h"

#define LINK_BITS_PER_S 4e9  /* in each direction between two regions */
#define LINK_LATENCY_MS 55.0 /* between two regions */
#define SITES           6    /* sites of callers in each region */

static const char *const regions[] = { "norte", "centro", "sur" };

static const struct
{
  const char *name;
  double rate;  /* requests a second */
  double burst; /* requests */
  double weight;
} workspaces[] = {
  { "generadora-atacama", 400, 800, 4 },
  { "comercializadora-maipo", 300, 600, 3 },
  { "industrial-biobio", 200, 400, 2 },
  { "coop-azul", 20, 40, 1 },
  { "coop-valle", 20, 40, 1 },
  { "solar-elqui", 40, 80, 1 },
  { "eolica-chiloe", 40, 80, 1 },
  { "hidro-puelo", 30, 60, 1 },
};

static void
add_regions (struct cydeclare *d)
{
  char name[32];
  for (int i = 0; i < 3; i++)
    cydeclare_region (d, regions[i]);
  for (int i = 0; i < 3; i++)
    {
      for (int zone = 1; zone <= 2; zone++)
        {
          snprintf (name, sizeof name, "%s-%d", regions[i], zone);
          cydeclare_zone (d, name, regions[i]);
        }
      for (int j = i + 1; j < 3; j++)
        cydeclare_link (d, regions[i], regions[j], LINK_BITS_PER_S,
                        LINK_LATENCY_MS);
    }
}

/* Each site has one /16 block of client addresses.  */
static void
add_callers (struct cydeclare *d)
{
  char site[32];
  char prefix[32];
  for (int i = 0; i < 3; i++)
    for (int j = 1; j <= SITES; j++)
      {
        snprintf (site, sizeof site, "%s-site-%d", regions[i], j);
        snprintf (prefix, sizeof prefix, "10.%d.0.0/16", 10 * (i + 1) + j);
        cydeclare_site (d, site, regions[i]);
        cydeclare_block (d, site, prefix);
      }
}

static void
add_services (struct cydeclare *d)
{
  cydeclare_service (d, "metering");
  cydeclare_timeout (d, "metering", 5000);
  cydeclare_open_route (d, "metering", "/tariffs");
  cydeclare_keyed_route (d, "metering", "/hourly");

  cydeclare_service (d, "billing");
  cydeclare_timeout (d, "billing", 10000);
  cydeclare_keyed_route (d, "billing", "/statements");
  cydeclare_keyed_route (d, "billing", "/invoices");

  cydeclare_service (d, "contracts");
  cydeclare_timeout (d, "contracts", 10000);
  cydeclare_keyed_route (d, "contracts", "/");

  cydeclare_cap (d, "every-service", NULL, 0.2, 10000);
  cydeclare_cap (d, "billing", "billing", 0.1, 10000);
}

int
main (void)
{
  struct cydeclare *d = cydeclare_create ();
  if (d == NULL)
    return EXIT_FAILURE;
  add_regions (d);
  add_callers (d);
  add_services (d);
  for (size_t i = 0; i < sizeof workspaces / sizeof workspaces[0]; i++)
    {
      cydeclare_workspace (d, workspaces[i].name, workspaces[i].rate,
                           workspaces[i].burst);
      cydeclare_weight (d, workspaces[i].name, workspaces[i].weight);
    }
  cy_result result = cydeclare_print (d, stdout);
  if (result != CY_OK)
    fprintf (stderr, "andesvolt: %s\n", cydeclare_message (d));
  cydeclare_destroy (d);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
