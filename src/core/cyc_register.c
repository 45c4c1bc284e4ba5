#include "core/cyc_register.h"

#include <string.h>
#include <xxhash.h>

#include "core/cy_copy.h"
#include "core/cyc_claims.h"

struct cyc_register
{
  struct cyc_instances instances;
  struct cyc_entries entries;
  GHashTable *instances_by_id;   /* id to struct cyc_instance */
  struct cyc_claims *claims;     /* of the instances that are not gone */
  GHashTable *entries_by_vm;     /* VM to struct cyc_entry */
  GHashTable *instances_by_hash; /* &hash to struct cyc_instance */
  GHashTable *entries_by_hash;   /* &hash to struct cyc_entry */
  uint64_t sequence;
};

struct cyc_register *
cyc_register_create (void)
{
  struct cyc_register *reg = g_new0 (struct cyc_register, 1);
  CK_LIST_INIT (&reg->instances);
  CK_LIST_INIT (&reg->entries);
  reg->instances_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  reg->claims = cyc_claims_create ();
  reg->entries_by_vm = g_hash_table_new (g_str_hash, g_str_equal);
  reg->instances_by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  reg->entries_by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  return reg;
}

static void
remove_instance (struct cyc_register *reg, struct cyc_instance *instance)
{
  cyc_claims_remove (reg->claims, instance);
  if (g_hash_table_lookup (reg->instances_by_id, instance->info->id)
      == instance)
    g_hash_table_remove (reg->instances_by_id, instance->info->id);
  if (g_hash_table_lookup (reg->instances_by_hash, &instance->hash)
      == instance)
    g_hash_table_remove (reg->instances_by_hash, &instance->hash);
  CK_LIST_REMOVE (instance, entry);
  cy__instance__free_unpacked (instance->info, NULL);
  g_free (instance);
}

static void
remove_entry (struct cyc_register *reg, struct cyc_entry *vm)
{
  g_hash_table_remove (reg->entries_by_vm, vm->info->vm);
  if (g_hash_table_lookup (reg->entries_by_hash, &vm->hash) == vm)
    g_hash_table_remove (reg->entries_by_hash, &vm->hash);
  CK_LIST_REMOVE (vm, entry);
  cy__entry_vm__free_unpacked (vm->info, NULL);
  g_free (vm);
}

void
cyc_register_destroy (struct cyc_register *reg)
{
  if (reg == NULL)
    return;
  struct cyc_instance *instance = NULL;
  struct cyc_instance *next_instance = NULL;
  struct cyc_entry *vm = NULL;
  struct cyc_entry *next_vm = NULL;
  CK_LIST_FOREACH_SAFE (instance, &reg->instances, entry, next_instance)
  {
    remove_instance (reg, instance);
  }
  CK_LIST_FOREACH_SAFE (vm, &reg->entries, entry, next_vm)
  {
    remove_entry (reg, vm);
  }
  g_hash_table_destroy (reg->instances_by_id);
  cyc_claims_destroy (reg->claims);
  g_hash_table_destroy (reg->entries_by_vm);
  g_hash_table_destroy (reg->instances_by_hash);
  g_hash_table_destroy (reg->entries_by_hash);
  g_free (reg);
}

uint64_t
cyc_register_sequence (const struct cyc_register *reg)
{
  return reg->sequence;
}

struct cyc_instances *
cyc_register_instances (struct cyc_register *reg)
{
  return &reg->instances;
}

struct cyc_entries *
cyc_register_entries (struct cyc_register *reg)
{
  return &reg->entries;
}

struct cyc_instance *
cyc_register_find (const struct cyc_register *reg, const char *id)
{
  return g_hash_table_lookup (reg->instances_by_id, id);
}

uint32_t
cyc_instance_cold_ms (const struct cyc_instance *instance, cy_time_ns now)
{
  if (instance->cold_until <= now)
    return 0;
  return (uint32_t)((instance->cold_until - now) / CY_NS_PER_MS) + 1;
}

bool
cyc_instance_departs (const struct cyc_instance *instance)
{
  const Cy__Instance *info = instance->info;
  return info->gone || info->draining || info->leaving;
}

const struct cyc_instance *
cyc_register_rival (const struct cyc_instance *instance,
                    const struct cyi_document *document)
{
  const GPtrArray *list = instance->claims;
  for (guint i = 0; document != NULL && list != NULL && i < list->len; i++)
    {
      const struct cyc_instance *other = g_ptr_array_index (list, i);
      if (other != instance && !cyc_instance_departs (other)
          && cyi_document_find_service (document, other->info->service)
                 != NULL)
        return other;
    }
  return NULL;
}

/* ------------------------------------------------------------ instances */

static uint64_t
instance_hash (const Cy__Instance *info)
{
  return XXH64 (info->id, strlen (info->id), info->born);
}

/* Keeps INSTANCE as a removed one.  */
static void
mark_gone (struct cyc_register *reg, struct cyc_instance *instance)
{
  instance->info->gone = true;
  instance->sequence = ++reg->sequence;
  cyc_claims_remove (reg->claims, instance);
}

/* True when INFO, of the same incarnation as HELD, contains a change that
   other processes need.  The cold time is no change while it runs down.  */
static bool
instance_differs (const struct cyc_instance *held, const Cy__Instance *info,
                  cy_time_ns now)
{
  const Cy__Instance *old = held->info;
  bool cold_again = info->cold_ms > 0 && held->cold_until <= now;
  return cold_again || old->draining != info->draining
         || old->gone != info->gone || old->slots != info->slots
         || old->port != info->port || strcmp (old->host, info->host) != 0
         || strcmp (old->service, info->service) != 0
         || strcmp (old->zone, info->zone) != 0;
}

static void
replace_info (struct cyc_register *reg, struct cyc_instance *held,
              const Cy__Instance *info, cy_time_ns sent_at)
{
  bool leaving = held->info->leaving || info->leaving;
  cyc_claims_remove (reg->claims, held);
  g_hash_table_remove (reg->instances_by_id, held->info->id);
  cy__instance__free_unpacked (held->info, NULL);
  held->info = cy_copy (info);
  held->info->leaving = leaving;
  g_hash_table_insert (reg->instances_by_id, held->info->id, held);
  held->cold_until = info->cold_ms == 0
                         ? 0
                         : sent_at + (cy_time_ns)info->cold_ms * CY_NS_PER_MS;
  cyc_claims_add (reg->claims, held);
}

static struct cyc_instance *
add_instance (struct cyc_register *reg, const Cy__Instance *info)
{
  struct cyc_instance *instance = g_new0 (struct cyc_instance, 1);
  instance->info = cy_copy (info);
  instance->hash = instance_hash (info);
  CK_LIST_INSERT_HEAD (&reg->instances, instance, entry);
  g_hash_table_insert (reg->instances_by_id, instance->info->id, instance);
  g_hash_table_insert (reg->instances_by_hash, &instance->hash, instance);
  return instance;
}

/* Marks a server that leaves as gone.  INFO may hold nothing but the id, so
   the other fields of a known server stay.  An unknown server is added, as
   other processes may know it.  */
static enum cyc_register_effect
receive_removal (struct cyc_register *reg, const Cy__Instance *info,
                 cy_time_ns sent_at)
{
  struct cyc_instance *held = cyc_register_find (reg, info->id);
  if (held != NULL && info->born != 0 && info->born < held->info->born)
    return CYC_STALE;
  /* The incarnation held is an earlier one of the server.  */
  if (held != NULL && info->born > held->info->born)
    {
      remove_instance (reg, held);
      held = NULL;
    }
  if (held != NULL && held->info->gone)
    return CYC_RENEWED;
  if (held == NULL)
    held = add_instance (reg, info);
  held->last_received = MAX (held->last_received, sent_at);
  mark_gone (reg, held);
  return CYC_CHANGED;
}

/* True when TEXT is valid in an HTTP header and in a log line.  */
static bool
is_printable_name (const char *text)
{
  size_t length = strlen (text);
  if (length == 0 || length > CYC_NAME_MAX_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isgraph (text[i]))
      return false;
  return true;
}

const char *
cyc_register_invalid_field (const Cy__Instance *info, int64_t unix_ms)
{
  if (!is_printable_name (info->id))
    return "id";
  if (info->born > (uint64_t)(unix_ms + CYC_CLOCK_SKEW_MAX_MS))
    return "born";
  if (info->sequence > CYC_INTEGER_MAX)
    return "sequence";
  if (info->gone)
    return NULL;
  if (!is_printable_name (info->service))
    return "service";
  if (!is_printable_name (info->zone))
    return "zone";
  if (info->port == 0 || info->port > UINT16_MAX)
    return "port";
  return NULL;
}

enum cyc_register_effect
cyc_register_leaving (struct cyc_register *reg, const char *id,
                      uint64_t incarnation)
{
  struct cyc_instance *held = cyc_register_find (reg, id);
  if (held == NULL || held->info->born != incarnation || held->info->gone)
    return CYC_STALE;
  if (held->info->leaving)
    return CYC_RENEWED;
  held->info->leaving = true;
  held->sequence = ++reg->sequence;
  return CYC_CHANGED;
}

enum cyc_register_effect
cyc_register_instance (struct cyc_register *reg, const Cy__Instance *info,
                       bool direct, cy_time_ns now)
{
  cy_time_ns sent_at = now - (cy_time_ns)info->age_ms * CY_NS_PER_MS;
  struct cyc_instance *held = cyc_register_find (reg, info->id);
  if (info->gone)
    return receive_removal (reg, info, sent_at);
  bool is_new = held == NULL || info->born > held->info->born;
  bool same_incarnation = held != NULL && info->born == held->info->born;
  if (held != NULL && info->born < held->info->born)
    return CYC_STALE;
  bool leaves_now
      = info->leaving
        && cyc_register_leaving (reg, info->id, info->born) == CYC_CHANGED;
  if (same_incarnation
      && (held->info->gone || info->sequence < held->info->sequence))
    return leaves_now ? CYC_CHANGED : CYC_STALE;
  if (is_new && held != NULL)
    remove_instance (reg, held);
  bool changed = is_new || instance_differs (held, info, now);
  if (is_new)
    held = add_instance (reg, info);
  replace_info (reg, held, info, sent_at);
  held->last_received = MAX (held->last_received, sent_at);
  if (direct)
    held->last_direct = MAX (held->last_direct, sent_at);
  struct cyc_instance *excess = cyc_claims_excess (held);
  if (excess != NULL)
    remove_instance (reg, excess);
  if (!changed)
    return leaves_now ? CYC_CHANGED : CYC_RENEWED;
  held->sequence = ++reg->sequence;
  return CYC_CHANGED;
}

/* ------------------------------------------------------------ entry VMs */

static uint64_t
entry_hash (const Cy__EntryVm *info)
{
  return XXH64 (info->vm, strlen (info->vm), info->incarnation);
}

static bool
entry_differs (const Cy__EntryVm *old, const Cy__EntryVm *info)
{
  return old->incarnation != info->incarnation || old->ready != info->ready
         || old->port != info->port || strcmp (old->host, info->host) != 0
         || strcmp (old->zone, info->zone) != 0;
}

enum cyc_register_effect
cyc_register_entry (struct cyc_register *reg, const Cy__EntryVm *info,
                    bool direct, cy_time_ns now)
{
  struct cyc_entry *held = g_hash_table_lookup (reg->entries_by_vm, info->vm);
  if (held != NULL && held->info->incarnation == info->incarnation
      && info->sequence < held->info->sequence)
    return CYC_STALE;
  /* Incarnations are random numbers without order.  The one that reported to
     this process itself is the newest; a forwarded report of another
     incarnation is stale.  */
  if (held != NULL && held->info->incarnation != info->incarnation && !direct
      && held->last_direct != 0)
    return CYC_STALE;
  bool changed = held == NULL || entry_differs (held->info, info);
  if (held != NULL && changed)
    {
      remove_entry (reg, held);
      held = NULL;
    }
  if (held == NULL)
    {
      held = g_new0 (struct cyc_entry, 1);
      held->info = cy_copy (info);
      held->hash = entry_hash (info);
      held->sequence = ++reg->sequence;
      CK_LIST_INSERT_HEAD (&reg->entries, held, entry);
      g_hash_table_insert (reg->entries_by_vm, held->info->vm, held);
      g_hash_table_insert (reg->entries_by_hash, &held->hash, held);
    }
  held->info->sequence = info->sequence;
  held->last_received = now;
  if (direct)
    held->last_direct = now;
  return changed ? CYC_CHANGED : CYC_RENEWED;
}

void
cyc_register_entry_renew (struct cyc_register *reg, const char *vm,
                          cy_time_ns now)
{
  struct cyc_entry *held = g_hash_table_lookup (reg->entries_by_vm, vm);
  if (held == NULL)
    return;
  held->last_received = now;
  held->last_direct = now;
}

void
cyc_register_entry_disconnected (struct cyc_register *reg, const char *vm,
                                 cy_time_ns now)
{
  struct cyc_entry *held = g_hash_table_lookup (reg->entries_by_vm, vm);
  (void)now;
  if (held != NULL)
    held->last_direct = 0;
}

void
cyc_register_renew (struct cyc_register *reg, uint64_t hash, cy_time_ns now)
{
  struct cyc_instance *instance
      = g_hash_table_lookup (reg->instances_by_hash, &hash);
  if (instance != NULL)
    instance->last_received = now;
  struct cyc_entry *vm = g_hash_table_lookup (reg->entries_by_hash, &hash);
  if (vm != NULL)
    vm->last_received = now;
}

/* ------------------------------------------------------------ expiry */

static gint
compare_received (gconstpointer a, gconstpointer b)
{
  const struct cyc_instance *const *first = a;
  const struct cyc_instance *const *second = b;
  return ((*first)->last_received > (*second)->last_received)
         - ((*first)->last_received < (*second)->last_received);
}

/* Removes the oldest servers of GONE, all that are kept as removed, until
   CYC_TOMBSTONES_MAX are left.  Returns how many were removed.  */
static unsigned
limit_tombstones (struct cyc_register *reg, GPtrArray *gone)
{
  unsigned excess
      = gone->len > CYC_TOMBSTONES_MAX ? gone->len - CYC_TOMBSTONES_MAX : 0;
  if (excess > 0)
    g_ptr_array_sort (gone, compare_received);
  for (unsigned i = 0; i < excess; i++)
    remove_instance (reg, g_ptr_array_index (gone, i));
  return excess;
}

unsigned
cyc_register_expire (struct cyc_register *reg, cy_time_ns now,
                     cy_time_ns instance_ns, cy_time_ns entry_ns)
{
  struct cyc_instance *instance = NULL;
  struct cyc_instance *next_instance = NULL;
  struct cyc_entry *vm = NULL;
  struct cyc_entry *next_vm = NULL;
  GPtrArray *gone = g_ptr_array_new ();
  unsigned count = 0;
  CK_LIST_FOREACH_SAFE (instance, &reg->instances, entry, next_instance)
  {
    cy_time_ns limit
        = instance->info->gone ? CYC_TOMBSTONE_S * CY_NS_PER_S : instance_ns;
    if (now - instance->last_received <= limit)
      {
        if (instance->info->gone)
          g_ptr_array_add (gone, instance);
        continue;
      }
    if (cyc_instance_departs (instance) && !instance->info->gone)
      mark_gone (reg, instance);
    else
      remove_instance (reg, instance);
    count++;
  }
  count += limit_tombstones (reg, gone);
  g_ptr_array_unref (gone);
  CK_LIST_FOREACH_SAFE (vm, &reg->entries, entry, next_vm)
  {
    if (now - vm->last_received <= entry_ns)
      continue;
    remove_entry (reg, vm);
    count++;
  }
  if (count > 0)
    reg->sequence++;
  return count;
}
