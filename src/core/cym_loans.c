#include "core/cym_loans.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Largest change of a loan target in one heartbeat interval, as a ratio of the
   target; it may always grow by 1 slot and shrink by half a slot.  */
#define GROWTH_RATIO 1.0
#define SHRINK_RATIO 0.12

/* ------------------------------------------------------------ shares */

double
cym_loan_target_fair_share (const struct cym_demand *demand,
                            double remote_only)
{
  double wanted_slots = demand->wanted_slots + remote_only;
  double available_slots = demand->local_slots + demand->borrowed_in_use;
  return wanted_slots <= available_slots ? 1 : available_slots / wanted_slots;
}

/* ------------------------------------------------------------ steps */

/* Returns CURRENT slots, moved by at most one step towards TARGET slots.  */
static double
step_towards (double current, double target)
{
  double step_up = fmax (current * GROWTH_RATIO, 1);
  double step_down = fmax (current * SHRINK_RATIO, 0.5);
  return fmin (fmax (target, current - step_down), current + step_up);
}

uint32_t
cym_loan_target_step (struct cym_loan_target *target, double remote_only,
                      double spillover)
{
  target->remote_only
      = fmax (remote_only, step_towards (target->remote_only, remote_only));
  target->spillover = step_towards (target->spillover, spillover);
  double total = target->remote_only + target->spillover;
  return total < CYM_LOAN_MIN_SLOTS ? 0 : (uint32_t)ceil (total - 0.2);
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

/* Returns the incarnation of the server that LOAN names, NULL if it no longer
   exists.  */
static struct cym_server *
lending_server (const struct cym_loans *loans, const struct cym_loan *loan)
{
  struct cym_server *server = cym_match_find (loans->match, loan->server);
  return server != NULL && server->incarnation == loan->incarnation ? server
                                                                    : NULL;
}

/* Counts SLOTS of SERVER, which may be NULL, as no longer lent.  */
static void
return_slots (struct cym_server *server, uint32_t slots)
{
  if (server != NULL)
    server->lent_out -= MIN (server->lent_out, slots);
}

/* Removes the loans of servers that can no longer lend, and of those with a
   limit, which lend only if no other server does.  */
static void
remove_invalid (struct cym_loans *loans, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, loans->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cym_loan *loan = value;
      struct cym_server *server = lending_server (loans, loan);
      if (server != NULL && server->listed && !server->draining
          && server->ejected_until <= now
          && !cym_limit_is_set (&server->limit))
        continue;
      return_slots (server, loan->slots);
      g_hash_table_iter_remove (&iter);
    }
}

/* Returns the slots of SERVICE that REGION has on loan.  Sets LARGEST to the
   largest of these loans, NULL if there is none.  */
static uint32_t
slots_lent_to (const struct cym_loans *loans, const char *region,
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

/* True when SERVER lends its next slot rather than OTHER: a server without a
   limit goes first, then the one with fewer lent slots, then the faster.  */
static bool
lends_before (const struct cym_server *server, const struct cym_server *other)
{
  bool is_limited = cym_limit_is_set (&server->limit);
  if (is_limited != cym_limit_is_set (&other->limit))
    return !is_limited;
  if (server->lent_out != other->lent_out)
    return server->lent_out < other->lent_out;
  return server->slowdown < other->slowdown;
}

/* Chooses a local server that can lend one more slot.  Each server keeps one
   slot.  NULL if no server can lend.  */
static struct cym_server *
choose_lender (const struct cym_loans *loans, const char *service,
               cy_time_ns now)
{
  struct cym_server *server = NULL;
  struct cym_server *best = NULL;
  CK_LIST_FOREACH (server, cym_match_servers (loans->match, service), entry)
  {
    bool is_healthy = server->local && server->listed && !server->draining
                      && server->cold_until <= now
                      && server->ejected_until <= now && server->slowdown < 2;
    if (!is_healthy || server->lent_out + 1 >= server->slots)
      continue;
    if (best == NULL || lends_before (server, best))
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
  loan->incarnation = server->incarnation;
  g_hash_table_insert (loans->table, key, loan);
  return loan;
}

void
cym_loans_set (struct cym_loans *loans, const char *region,
               const char *service, uint32_t slots, cy_time_ns now)
{
  struct cym_loan *largest = NULL;
  remove_invalid (loans, now);
  uint32_t lent = slots_lent_to (loans, region, service, &largest);
  for (; lent < slots; lent++)
    {
      struct cym_server *server = choose_lender (loans, service, now);
      if (server == NULL)
        return;
      loan_get (loans, region, server, service)->slots++;
      server->lent_out++;
    }
  while (lent > slots)
    {
      largest->slots--;
      return_slots (lending_server (loans, largest), 1);
      lent = slots_lent_to (loans, region, service, &largest);
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
