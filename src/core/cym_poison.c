#include "core/cym_poison.h"

#include <ck_queue.h>
#include <glib.h>
#include <string.h>

/* End of one incarnation under the request of an entry.  */
struct stored_end
{
  CK_LIST_ENTRY (stored_end) entry;
  char *id;
  uint64_t incarnation;
  cy_time_ns at;
  bool cleared;
  bool trial;
  bool due;              /* to be reported to the other placers */
  cy_time_ns changed_at; /* latest change that this process observed, 0: only
                            reported by others */
};

CK_LIST_HEAD (stored_ends, stored_end);

struct poison_entry
{
  uint64_t fingerprint;
  struct stored_ends ends;
  unsigned end_count;    /* length of ENDS */
  unsigned trial_count;  /* trials in flight */
  cy_time_ns told_until; /* end of the block by another placer, 0: none */
};

struct cym_poison
{
  GHashTable *entries; /* &fingerprint to struct poison_entry */
  unsigned due_count;  /* ends that are due */
  cym_poison_fn on_change;
  void *context;
};

/* ------------------------------------------------------------ life */

static void
entry_free (gpointer data)
{
  struct poison_entry *entry = data;
  struct stored_end *end = NULL;
  struct stored_end *next = NULL;
  CK_LIST_FOREACH_SAFE (end, &entry->ends, entry, next)
  {
    CK_LIST_REMOVE (end, entry);
    g_free (end->id);
    g_free (end);
  }
  g_free (entry);
}

struct cym_poison *
cym_poison_create (cym_poison_fn on_change, void *context)
{
  struct cym_poison *poison = g_new0 (struct cym_poison, 1);
  poison->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, entry_free);
  poison->on_change = on_change;
  poison->context = context;
  return poison;
}

void
cym_poison_destroy (struct cym_poison *poison)
{
  if (poison == NULL)
    return;
  g_hash_table_destroy (poison->entries);
  g_free (poison);
}

/* ------------------------------------------------------------ state */

static struct poison_entry *
find_entry (const struct cym_poison *poison, uint64_t fingerprint)
{
  if (g_hash_table_size (poison->entries) == 0)
    return NULL;
  return g_hash_table_lookup (poison->entries, &fingerprint);
}

/* Time of the latest end of ENTRY, cleared or not, or of the end of the block
   by another placer; 0 if it has none.  */
static cy_time_ns
latest_at (const struct poison_entry *entry)
{
  const struct stored_end *end = NULL;
  cy_time_ns latest = entry->told_until;
  CK_LIST_FOREACH (end, &entry->ends, entry)
  {
    latest = MAX (latest, end->at);
  }
  return latest;
}

static bool
is_expired (const struct poison_entry *entry, cy_time_ns now)
{
  return now - latest_at (entry) > CYM_POISON_KEPT_S * CY_NS_PER_S;
}

/* Number of servers that ended under the request, as far as is known.  */
static unsigned
count_servers (const struct poison_entry *entry)
{
  const struct stored_end *end = NULL;
  unsigned count = 0;
  CK_LIST_FOREACH (end, &entry->ends, entry) { count += !end->cleared; }
  return count;
}

/* True when a server ended under a trial of the request.  */
static bool
has_trial_end (const struct poison_entry *entry)
{
  const struct stored_end *end = NULL;
  CK_LIST_FOREACH (end, &entry->ends, entry)
  {
    if (end->trial && !end->cleared)
      return true;
  }
  return false;
}

/* Time at which the block of ENTRY ends, 0 if it has none.  */
static cy_time_ns
blocked_until (const struct poison_entry *entry)
{
  const struct stored_end *end = NULL;
  cy_time_ns latest = INT64_MIN;
  unsigned servers = count_servers (entry);
  if (servers < CYM_POISON_BLOCK_COUNT || !has_trial_end (entry))
    return entry->told_until;
  CK_LIST_FOREACH (end, &entry->ends, entry)
  {
    if (!end->cleared)
      latest = MAX (latest, end->at);
  }
  unsigned doublings
      = MIN (servers - CYM_POISON_BLOCK_COUNT, CYM_POISON_DOUBLINGS_MAX);
  cy_time_ns until
      = latest + ((int64_t)CYM_POISON_BLOCK_S << doublings) * CY_NS_PER_S;
  return MAX (until, entry->told_until);
}

static enum cym_poison_state
state_of (const struct poison_entry *entry, cy_time_ns now)
{
  if (entry == NULL || is_expired (entry, now))
    return CYM_POISON_NONE;
  if (blocked_until (entry) > now)
    return CYM_POISON_BLOCKED;
  return count_servers (entry) == 0 ? CYM_POISON_NONE : CYM_POISON_SUSPECT;
}

enum cym_poison_state
cym_poison_get_state (const struct cym_poison *poison, uint64_t fingerprint,
                      cy_time_ns now)
{
  return state_of (find_entry (poison, fingerprint), now);
}

enum cym_poison_verdict
cym_poison_check (const struct cym_poison *poison, uint64_t fingerprint,
                  cy_time_ns now)
{
  const struct poison_entry *entry = find_entry (poison, fingerprint);
  switch (state_of (entry, now))
    {
    case CYM_POISON_NONE:
      break;
    case CYM_POISON_SUSPECT:
      return entry->trial_count > 0 ? CYM_POISON_WAIT : CYM_POISON_PLACE;
    case CYM_POISON_BLOCKED:
      return CYM_POISON_REFUSE;
    }
  return CYM_POISON_PLACE;
}

cy_time_ns
cym_poison_blocked_time (const struct cym_poison *poison, uint64_t fingerprint,
                         cy_time_ns now)
{
  const struct poison_entry *entry = find_entry (poison, fingerprint);
  return state_of (entry, now) == CYM_POISON_BLOCKED
             ? blocked_until (entry) - now
             : 0;
}

size_t
cym_poison_count (const struct cym_poison *poison)
{
  return g_hash_table_size (poison->entries);
}

/* ------------------------------------------------------------ trials */

bool
cym_poison_start_trial (struct cym_poison *poison, uint64_t fingerprint,
                        cy_time_ns now)
{
  struct poison_entry *entry = find_entry (poison, fingerprint);
  if (state_of (entry, now) == CYM_POISON_NONE)
    return false;
  entry->trial_count++;
  return true;
}

void
cym_poison_end_trial (struct cym_poison *poison, uint64_t fingerprint)
{
  struct poison_entry *entry = find_entry (poison, fingerprint);
  if (entry != NULL && entry->trial_count > 0)
    entry->trial_count--;
}

/* ------------------------------------------------------------ bounds */

static gboolean
is_entry_expired (gpointer key, gpointer value, gpointer context)
{
  const cy_time_ns *now = context;
  (void)key;
  return is_expired (value, *now);
}

static void
count_due (struct cym_poison *poison)
{
  GHashTableIter iter;
  gpointer value;
  poison->due_count = 0;
  g_hash_table_iter_init (&iter, poison->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct poison_entry *entry = value;
      const struct stored_end *end = NULL;
      CK_LIST_FOREACH (end, &entry->ends, entry)
      {
        poison->due_count += end->due;
      }
    }
}

/* Makes room for one more entry: drops expired ones, else the oldest one of
   those under which the fewest servers ended.  */
static void
make_room (struct cym_poison *poison, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  const struct poison_entry *worst = NULL;
  unsigned worst_servers = 0;
  cy_time_ns worst_at = 0;
  if (g_hash_table_size (poison->entries) < CYM_POISON_ENTRIES_MAX)
    return;
  g_hash_table_foreach_remove (poison->entries, is_entry_expired, &now);
  if (g_hash_table_size (poison->entries) >= CYM_POISON_ENTRIES_MAX)
    {
      g_hash_table_iter_init (&iter, poison->entries);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct poison_entry *entry = value;
          unsigned servers = count_servers (entry);
          cy_time_ns at = latest_at (entry);
          if (worst != NULL
              && (servers > worst_servers
                  || (servers == worst_servers && at >= worst_at)))
            continue;
          worst = entry;
          worst_servers = servers;
          worst_at = at;
        }
      if (worst != NULL)
        g_hash_table_remove (poison->entries, &worst->fingerprint);
    }
  count_due (poison);
}

static struct poison_entry *
get_entry (struct cym_poison *poison, uint64_t fingerprint, cy_time_ns now)
{
  struct poison_entry *entry = find_entry (poison, fingerprint);
  if (entry != NULL && is_expired (entry, now) && entry->trial_count == 0)
    {
      g_hash_table_remove (poison->entries, &fingerprint);
      count_due (poison);
      entry = NULL;
    }
  if (entry != NULL)
    return entry;
  make_room (poison, now);
  entry = g_new0 (struct poison_entry, 1);
  entry->fingerprint = fingerprint;
  CK_LIST_INIT (&entry->ends);
  g_hash_table_insert (poison->entries, &entry->fingerprint, entry);
  return entry;
}

static void
drop_oldest_end (struct cym_poison *poison, struct poison_entry *entry)
{
  struct stored_end *end = NULL;
  struct stored_end *oldest = CK_LIST_FIRST (&entry->ends);
  CK_LIST_FOREACH (end, &entry->ends, entry)
  {
    if (end->at < oldest->at)
      oldest = end;
  }
  CK_LIST_REMOVE (oldest, entry);
  entry->end_count--;
  poison->due_count -= oldest->due;
  g_free (oldest->id);
  g_free (oldest);
}

/* ------------------------------------------------------------ changes */

static void
report_change (struct cym_poison *poison, const struct poison_entry *entry,
               enum cym_poison_state before, unsigned servers_before,
               const void *cause, cy_time_ns now)
{
  struct cym_poison_change change = {
    .fingerprint = entry->fingerprint,
    .before = before,
    .after = state_of (entry, now),
    .servers = count_servers (entry),
    .cause = cause,
  };
  if (poison->on_change == NULL
      || (change.before == change.after && change.servers == servers_before))
    return;
  if (change.after == CYM_POISON_BLOCKED)
    change.blocked_time = blocked_until (entry) - now;
  poison->on_change (&change, poison->context);
}

static void
mark_due (struct cym_poison *poison, struct stored_end *end)
{
  poison->due_count += !end->due;
  end->due = true;
}

static struct stored_end *
find_end (const struct poison_entry *entry, const char *id,
          uint64_t incarnation)
{
  struct stored_end *end = NULL;
  CK_LIST_FOREACH (end, &entry->ends, entry)
  {
    if (end->incarnation == incarnation && strcmp (end->id, id) == 0)
      return end;
  }
  return NULL;
}

static struct stored_end *
add_end (struct cym_poison *poison, struct poison_entry *entry,
         const struct cym_poison_end *end)
{
  struct stored_end *stored = g_new0 (struct stored_end, 1);
  if (entry->end_count >= CYM_POISON_ENDS_MAX)
    drop_oldest_end (poison, entry);
  stored->id = g_strdup (end->id);
  stored->incarnation = end->incarnation;
  stored->at = end->at;
  stored->cleared = end->cleared;
  stored->trial = end->trial;
  CK_LIST_INSERT_HEAD (&entry->ends, stored, entry);
  entry->end_count++;
  return stored;
}

void
cym_poison_record (struct cym_poison *poison, const struct cym_poison_end *end,
                   const void *cause, cy_time_ns now)
{
  if (end->fingerprint == 0)
    return;
  struct poison_entry *entry = get_entry (poison, end->fingerprint, now);
  enum cym_poison_state before = state_of (entry, now);
  unsigned servers = count_servers (entry);
  if (find_end (entry, end->id, end->incarnation) != NULL)
    return;
  struct stored_end *stored = add_end (poison, entry, end);
  stored->changed_at = now;
  mark_due (poison, stored);
  report_change (poison, entry, before, servers, cause, now);
}

bool
cym_poison_merge (struct cym_poison *poison, const struct cym_poison_end *end,
                  const void *cause, cy_time_ns now)
{
  if (end->fingerprint == 0 || now - end->at > CYM_POISON_KEPT_S * CY_NS_PER_S)
    return false;
  struct poison_entry *entry = get_entry (poison, end->fingerprint, now);
  enum cym_poison_state before = state_of (entry, now);
  unsigned servers = count_servers (entry);
  struct stored_end *stored = find_end (entry, end->id, end->incarnation);
  if (stored == NULL)
    add_end (poison, entry, end);
  else if (end->cleared)
    stored->cleared = true;
  else if (stored->cleared)
    mark_due (poison, stored); /* the other placer has missed that */
  report_change (poison, entry, before, servers, cause, now);
  return stored == NULL;
}

void
cym_poison_block (struct cym_poison *poison, uint64_t fingerprint,
                  cy_time_ns until, cy_time_ns now)
{
  if (fingerprint == 0)
    return;
  struct poison_entry *entry = get_entry (poison, fingerprint, now);
  entry->told_until = MAX (entry->told_until, until);
}

void
cym_poison_clear (struct cym_poison *poison, uint64_t fingerprint,
                  const void *cause, cy_time_ns now)
{
  struct poison_entry *entry = find_entry (poison, fingerprint);
  struct stored_end *end = NULL;
  if (entry == NULL)
    return;
  enum cym_poison_state before = state_of (entry, now);
  unsigned servers = count_servers (entry);
  entry->told_until = 0;
  CK_LIST_FOREACH (end, &entry->ends, entry)
  {
    if (end->cleared)
      continue;
    end->cleared = true;
    end->changed_at = now;
    mark_due (poison, end);
  }
  report_change (poison, entry, before, servers, cause, now);
}

void
cym_poison_clear_server (struct cym_poison *poison, const char *id,
                         uint64_t incarnation, cy_time_ns alive_at,
                         const void *cause, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, poison->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct poison_entry *entry = value;
      struct stored_end *end = find_end (entry, id, incarnation);
      if (end == NULL || end->cleared || end->at >= alive_at)
        continue;
      enum cym_poison_state before = state_of (entry, now);
      unsigned servers = count_servers (entry);
      end->cleared = true;
      end->changed_at = now;
      mark_due (poison, end);
      report_change (poison, entry, before, servers, cause, now);
    }
}

/* ------------------------------------------------------------ reports */

bool
cym_poison_is_due (const struct cym_poison *poison)
{
  return poison->due_count > 0;
}

/* True when END of ENTRY belongs into a full report.  Ends close to their
   expiry are left out: the time on the way makes them younger at the
   receiver, which would report them back.  */
static bool
is_reported_again (const struct poison_entry *entry,
                   const struct stored_end *end, cy_time_ns now)
{
  cy_time_ns resend = CYM_POISON_RESEND_S * CY_NS_PER_S;
  if (end->changed_at != 0 && now - end->changed_at <= resend)
    return true;
  return !end->cleared && count_servers (entry) >= CYM_POISON_BLOCK_COUNT
         && now - end->at < CYM_POISON_KEPT_S * CY_NS_PER_S - resend;
}

void
cym_poison_report (struct cym_poison *poison, bool full, cy_time_ns now,
                   cym_poison_end_fn each, void *context)
{
  GHashTableIter iter;
  gpointer value;
  if (full)
    g_hash_table_foreach_remove (poison->entries, is_entry_expired, &now);
  else if (poison->due_count == 0)
    return;
  poison->due_count = 0;
  g_hash_table_iter_init (&iter, poison->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct poison_entry *entry = value;
      struct stored_end *end = NULL;
      CK_LIST_FOREACH (end, &entry->ends, entry)
      {
        struct cym_poison_end item = { .fingerprint = entry->fingerprint,
                                       .id = end->id,
                                       .incarnation = end->incarnation,
                                       .cleared = end->cleared,
                                       .trial = end->trial,
                                       .at = end->at };
        if (end->due || (full && is_reported_again (entry, end, now)))
          each (&item, context);
        end->due = false;
      }
    }
}
