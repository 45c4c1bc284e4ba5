/* Soft objects of the zone process: the entry VMs' reports and the parent's
   objects become the view that entry VMs get, and what goes up.  */

#include <string.h>

#include "zone/cyz_internal.h"
#include "zone/cyz_status.h"
#include "zone/cyz_strip.h"

#define DAMP_MS  5000 /* ms between two updates of an entry VM's figures */
#define RENEW_MS 1500 /* ms between two reports at rest */

static cy_time_ns
now_of (const struct cyz_zone *zone)
{
  return cy_clock_now (zone->clock);
}

/* ------------------------------------------------------------ settling */

/* True when A and B differ in more than their load figures.  */
static bool
entry_differs (const Cy__EntryStatus *a, const Cy__EntryStatus *b)
{
  return strcmp (a->state, b->state) != 0 || strcmp (a->host, b->host) != 0
         || strcmp (a->zone, b->zone) != 0 || a->http_port != b->http_port;
}

/* Puts an entry VM's status into the view, its figures at times only.  */
static void
put_entry (struct cyz_zone *zone, const Cy__Object *object)
{
  const Cy__Object *held = cyt_soft_state_get (zone->view, object->key);
  const cy_time_ns *last = g_hash_table_lookup (zone->damped, object->key);
  cy_time_ns now = now_of (zone);
  bool due = held == NULL || held->body_case != CY__OBJECT__BODY_ENTRY
             || last == NULL || now - *last >= DAMP_MS * CY_NS_PER_MS
             || entry_differs (held->entry, object->entry);
  cyz_strip_put (zone->up, object);
  if (due && cyt_soft_state_put (zone->view, object, 0))
    g_hash_table_replace (zone->damped, g_strdup (object->key),
                          g_memdup2 (&now, sizeof now));
}

/* Puts a backend server into the view, unless only its warmth grew less than
   twofold.  */
static void
put_backend (struct cyz_zone *zone, const Cy__Object *object)
{
  const Cy__Object *held = cyt_soft_state_get (zone->view, object->key);
  if (held != NULL && held->body_case == CY__OBJECT__BODY_BACKEND
      && object->backend->warm_ms >= held->backend->warm_ms
      && object->backend->warm_ms / 2 < held->backend->warm_ms)
    {
      Cy__BackendStatus as_held = *object->backend;
      as_held.warm_ms = held->backend->warm_ms;
      Cy__Object same = *object;
      same.backend = &as_held;
      cyt_soft_state_put (zone->view, &same, 0);
      return;
    }
  cyt_soft_state_put (zone->view, object, 0);
}

void
cyz_table_settled (const char *key, const Cy__Object *object, void *context)
{
  struct cyz_zone *zone = context;
  if (object == NULL)
    {
      cyt_soft_state_remove (zone->view, key);
      cyt_soft_state_remove (zone->splits, key);
      cyt_soft_state_remove (zone->up, key);
      g_hash_table_remove (zone->damped, key);
      return;
    }
  if (object->body_case == CY__OBJECT__BODY_ENTRY)
    put_entry (zone, object);
  else if (object->body_case == CY__OBJECT__BODY_BACKEND)
    put_backend (zone, object);
  else if (g_str_has_prefix (key, "split/"))
    cyt_soft_state_put (zone->splits, object, 0);
}

void
cyz_table_report (struct cyz_zone *zone, struct cyz_entry *entry,
                  const Cy__Report *report)
{
  const char *name = cyn_conn_peer (entry->child.conn)->name;
  if (!cyt_merge_report (zone->merge, name, report, now_of (zone)))
    {
      cyn_conn_close (entry->child.conn);
      return;
    }
  if (entry->version != report->version)
    zone->children_changed = true;
  entry->version = report->version;
}

/* ------------------------------------------------------------ parent's */

/* True for what this zone's own entry VMs tell better.  */
static bool
is_own (const struct cyz_zone *zone, const Cy__Object *object)
{
  if (object->body_case == CY__OBJECT__BODY_ENTRY)
    return strcmp (object->entry->zone, zone->options.identity->zone) == 0;
  return g_hash_table_contains (zone->damped, object->key);
}

struct missing
{
  const struct cyt_soft_state *parent;
  const struct cyz_zone *zone;
  GPtrArray *keys;
};

static bool
find_missing (const Cy__Object *object, void *context)
{
  struct missing *missing = context;
  bool own = is_own (missing->zone, object)
             || object->body_case == CY__OBJECT__BODY_BACKEND;
  if (!own && cyt_soft_state_get (missing->parent, object->key) == NULL)
    g_ptr_array_add (missing->keys, g_strdup (object->key));
  return true;
}

/* Removes what another parent's table had and the current one's has not.  */
static void
remove_missing (struct cyz_zone *zone, const struct cyt_soft_state *soft)
{
  struct missing missing
      = { soft, zone, g_ptr_array_new_with_free_func (g_free) };
  cyt_soft_state_each (zone->view, "", find_missing, &missing);
  for (guint i = 0; i < missing.keys->len; i++)
    cyt_soft_state_remove (zone->view, g_ptr_array_index (missing.keys, i));
  g_ptr_array_free (missing.keys, TRUE);
}

void
cyz_table_mirror (struct cyz_zone *zone)
{
  const struct cyt_soft_state *soft = cyz_parent_soft (zone->parent);
  Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
  if (cyt_soft_state_epoch (soft) != zone->mirrored_epoch)
    {
      remove_missing (zone, soft);
      zone->mirrored = 0;
    }
  cyt_soft_state_delta (soft, zone->mirrored_epoch, zone->mirrored, NULL, NULL,
                        &answer);
  for (size_t i = answer.n_soft; i > 0; i--)
    {
      const Cy__Object *object = answer.soft[i - 1];
      if (is_own (zone, object))
        continue;
      if (object->deleted)
        cyt_soft_state_remove (zone->view, object->key);
      else
        cyt_soft_state_put (zone->view, object, 0);
    }
  zone->mirrored_epoch = answer.soft_epoch;
  zone->mirrored = answer.soft_to;
  cyt_soft_state_answer_clear (&answer);
}

/* ------------------------------------------------------------ upward */

void
cyz_table_tick (struct cyz_zone *zone)
{
  cy_time_ns now = now_of (zone);
  cyt_merge_expire (zone->merge, now);
  if (now - zone->status_made < CYZ_STATUS_MS * CY_NS_PER_MS)
    return;
  zone->status_made = now;
  cyz_status_make (zone);
}

/* Fills REPORT's list of entry VMs; freed by clear_children.  */
static void
fill_children (struct cyz_zone *zone, Cy__Report *report)
{
  GPtrArray *children = g_ptr_array_new ();
  struct cyz_entry *entry = NULL;
  CK_STAILQ_FOREACH (entry, &zone->entries, link)
  {
    Cy__ChildVersion *child = g_new (Cy__ChildVersion, 1);
    cy__child_version__init (child);
    child->name = cyn_conn_peer (entry->child.conn)->name;
    child->version = entry->version;
    g_ptr_array_add (children, child);
  }
  report->n_children = children->len;
  report->children = (Cy__ChildVersion **)g_ptr_array_free (children, FALSE);
}

static void
clear_children (Cy__Report *report)
{
  for (size_t i = 0; i < report->n_children; i++)
    g_free (report->children[i]);
  g_free (report->children);
}

/* True when there is something to tell, or a renewal is due.  */
static bool
send_is_due (const struct cyz_zone *zone)
{
  return zone->up_whole || zone->children_changed
         || zone->up_sent != cyt_soft_state_sequence (zone->up)
         || now_of (zone) - zone->up_last >= RENEW_MS * CY_NS_PER_MS;
}

void
cyz_table_send (struct cyz_zone *zone)
{
  struct cyn_conn *conn = cyz_parent_current (zone->parent);
  if (conn == NULL || !send_is_due (zone))
    return;
  Cy__Report report = CY__REPORT__INIT;
  report.version = cys_state_version (cyz_parent_state (zone->parent));
  if (zone->up_whole || zone->children_changed)
    fill_children (zone, &report);
  /* Only a whole report says that the last entry VM has left.  */
  bool whole
      = zone->up_whole || (zone->children_changed && report.n_children == 0);
  Cy__SyncAnswer delta = CY__SYNC_ANSWER__INIT;
  cyt_soft_state_delta (zone->up, whole ? 0 : cyt_soft_state_epoch (zone->up),
                        zone->up_sent, NULL, NULL, &delta);
  report.delta = !whole;
  report.n_soft = delta.n_soft;
  report.soft = delta.soft;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_REPORT;
  envelope.report = &report;
  cyn_conn_send (conn, &envelope);
  zone->up_sent = delta.soft_to;
  zone->up_last = now_of (zone);
  zone->up_whole = false;
  zone->children_changed = false;
  clear_children (&report);
  cyt_soft_state_answer_clear (&delta);
}
