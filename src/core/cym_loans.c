#include "core/cym_loans.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define STEP_UP   1.0  /* of a loan, or a slot, by which it grows in a beat */
#define STEP_DOWN 0.12 /* of a loan, or half a slot, by which it falls */

/* ------------------------------------------------------------ shares */

double
cym_loan_target_fair_share (const struct cym_demand *demand, double homed)
{
  double wanted = demand->local + homed;
  double served = demand->own + demand->borrowed;
  return wanted <= served ? 1 : served / wanted;
}

/* ------------------------------------------------------------ steps */

static double
step_towards (double held, double wanted)
{
  double up = fmax (held * STEP_UP, 1);
  double down = fmax (held * STEP_DOWN, 0.5);
  return fmin (fmax (wanted, held - down), held + up);
}

uint32_t
cym_loan_target_step (struct cym_loan_target *want, double homed, double spill)
{
  want->kept = fmax (homed, step_towards (want->kept, homed));
  want->held = step_towards (want->held, spill);
  double lent = want->kept + want->held;
  return lent < CYM_LOAN_LEAST ? 0 : (uint32_t)ceil (lent - 0.2);
}

/* ------------------------------------------------------------ loans */

struct cym_loans
{
  struct cym_match *match;
  GHashTable *table; /* "REGION/SERVER" to struct cym_loan */
};

struct cym_loans *
cym_loans_create (struct cym_match *match)
{
  struct cym_loans *loans = g_new0 (struct cym_loans, 1);
  loans->match = match;
  loans->table
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return loans;
}

void
cym_loans_destroy (struct cym_loans *loans)
{
  if (loans == NULL)
    return;
  g_hash_table_destroy (loans->table);
  g_free (loans);
}

/* The incarnation of a server that LOAN is of, NULL when it is gone.  */
static struct cym_server *
server_of (const struct cym_loans *loans, const struct cym_loan *loan)
{
  struct cym_server *server = cym_match_find (loans->match, loan->server);
  return server != NULL && server->born == loan->born ? server : NULL;
}

static void
give_back (struct cym_server *server, uint32_t slots)
{
  if (server != NULL)
    server->given -= MIN (server->given, slots);
}

/* Drops what cannot be lent any more.  */
static void
drop_void (struct cym_loans *loans, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, loans->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cym_loan *loan = value;
      struct cym_server *server = server_of (loans, loan);
      if (server != NULL && server->listed && !server->draining
          && server->ejected_until <= now)
        continue;
      give_back (server, loan->slots);
      g_hash_table_iter_remove (&iter);
    }
}

/* Slots of SERVICE that REGION has on loan, and the largest of these loans. */
static uint32_t
lent_to (const struct cym_loans *loans, const char *region,
         const char *service, struct cym_loan **largest)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t sum = 0;
  *largest = NULL;
  g_hash_table_iter_init (&iter, loans->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cym_loan *loan = value;
      if (strcmp (loan->region, region) != 0
          || strcmp (loan->service, service) != 0)
        continue;
      sum += loan->slots;
      if (*largest == NULL || loan->slots > (*largest)->slots)
        *largest = loan;
    }
  return sum;
}

/* A server of which one more slot may be lent: the one of which least is.  */
static struct cym_server *
lender (const struct cym_loans *loans, const char *service, cy_time_ns now)
{
  struct cym_server *server = NULL;
  struct cym_server *best = NULL;
  CK_LIST_FOREACH (server, cym_match_servers (loans->match, service), entry)
  {
    bool sound = server->own && server->listed && !server->draining
                 && server->cold_until <= now && server->ejected_until <= now
                 && server->speed < 2;
    if (!sound || server->given + 1 >= server->slots)
      continue;
    if (best == NULL || server->given < best->given
        || (server->given == best->given && server->speed < best->speed))
      best = server;
  }
  return best;
}

static struct cym_loan *
loan_get (struct cym_loans *loans, const char *region,
          const struct cym_server *server, const char *service)
{
  char *key = g_strconcat (region, "/", server->id, NULL);
  struct cym_loan *loan = g_hash_table_lookup (loans->table, key);
  if (loan != NULL)
    {
      g_free (key);
      return loan;
    }
  loan = g_new0 (struct cym_loan, 1);
  g_strlcpy (loan->region, region, sizeof loan->region);
  g_strlcpy (loan->server, server->id, sizeof loan->server);
  g_strlcpy (loan->service, service, sizeof loan->service);
  loan->born = server->born;
  g_hash_table_insert (loans->table, key, loan);
  return loan;
}

void
cym_loans_set (struct cym_loans *loans, const char *region,
               const char *service, uint32_t slots, cy_time_ns now)
{
  struct cym_loan *largest = NULL;
  drop_void (loans, now);
  uint32_t lent = lent_to (loans, region, service, &largest);
  for (; lent < slots; lent++)
    {
      struct cym_server *server = lender (loans, service, now);
      if (server == NULL)
        return;
      loan_get (loans, region, server, service)->slots++;
      server->given++;
    }
  while (lent > slots)
    {
      largest->slots--;
      give_back (server_of (loans, largest), 1);
      lent = lent_to (loans, region, service, &largest);
    }
}

void
cym_loans_each (const struct cym_loans *loans, cym_loan_fn each, void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, loans->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cym_loan *loan = value;
      if (loan->slots > 0)
        each (loan, context);
    }
}
