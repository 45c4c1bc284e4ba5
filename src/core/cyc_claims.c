#include "core/cyc_claims.h"

#include "core/cyc_register.h"

struct cyc_claims
{
  GHashTable *by_address; /* "HOST:PORT" to GPtrArray of struct
                             cyc_instance */
};

struct cyc_claims *
cyc_claims_create (void)
{
  struct cyc_claims *claims = g_new0 (struct cyc_claims, 1);
  claims->by_address = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  return claims;
}

void
cyc_claims_destroy (struct cyc_claims *claims)
{
  if (claims == NULL)
    return;
  g_hash_table_destroy (claims->by_address);
  g_free (claims);
}

static char *
format_address (const Cy__Instance *info)
{
  return g_strdup_printf ("%s:%u", info->host, info->port);
}

void
cyc_claims_add (struct cyc_claims *claims, struct cyc_instance *instance)
{
  char *address = format_address (instance->info);
  GPtrArray *list = g_hash_table_lookup (claims->by_address, address);
  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (claims->by_address, g_strdup (address), list);
    }
  g_ptr_array_add (list, instance);
  instance->claims = list;
  g_free (address);
}

void
cyc_claims_remove (struct cyc_claims *claims, struct cyc_instance *instance)
{
  GPtrArray *list = instance->claims;
  if (list == NULL)
    return;
  g_ptr_array_remove (list, instance);
  instance->claims = NULL;
  if (list->len > 0)
    return;
  char *address = format_address (instance->info);
  g_hash_table_remove (claims->by_address, address);
  g_free (address);
}

struct cyc_instance *
cyc_claims_excess (const struct cyc_instance *instance)
{
  const GPtrArray *list = instance->claims;
  struct cyc_instance *oldest = NULL;
  if (list == NULL || list->len <= CYC_CLAIMS_MAX)
    return NULL;
  for (guint i = 0; i < list->len; i++)
    {
      struct cyc_instance *other = g_ptr_array_index (list, i);
      if (other != instance
          && (oldest == NULL || other->last_received < oldest->last_received))
        oldest = other;
    }
  return oldest;
}
