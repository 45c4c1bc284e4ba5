/* Soft objects of the zone process.  Merges the reports of the entry VMs and
   the parent's objects into the view for the entry VMs and into the objects
   for the control VMs.  */

#include <string.h>

#include "zone/cyz_internal.h"
#include "zone/cyz_status.h"
#include "zone/cyz_strip.h"

#define LOAD_UPDATE_MS  5000 /* minimum interval of load updates, per VM */
#define REPORT_RENEW_MS 1500 /* interval of reports without changes */

static cy_time_ns
current_time (const struct cyz_zone *zone)
{
  return cy_clock_now (zone->clock);
}

/* ------------------------------------------------------------ settling */

/* True if A and B differ in more than their load.  */
static bool
entry_differs (const Cy__EntryStatus *a, const Cy__EntryStatus *b)
{
  return strcmp (a->state, b->state) != 0 || strcmp (a->host, b->host) != 0
         || strcmp (a->zone, b->zone) != 0 || a->http_port != b->http_port;
}

/* Puts an entry VM's status into the view, at once if more than its load
   changed, else at most every LOAD_UPDATE_MS.  */
static void
put_entry (struct cyz_zone *zone, const Cy__Object *object)
{
  const Cy__Object *current = cyt_soft_state_get (zone->view, object->key);
  const cy_time_ns *last
      = g_hash_table_lookup (zone->view_update_times, object->key);
  cy_time_ns now = current_time (zone);
  bool due = current == NULL || current->body_case != CY__OBJECT__BODY_ENTRY
             || last == NULL || now - *last >= LOAD_UPDATE_MS * CY_NS_PER_MS
             || entry_differs (current->entry, object->entry);
  cyz_strip_put (zone->upstream, object);
  if (due && cyt_soft_state_put (zone->view, object, 0))
    g_hash_table_replace (zone->view_update_times, g_strdup (object->key),
                          g_memdup2 (&now, sizeof now));
}

/* Puts a backend server into the view.  The time since the server's start
   alone changes the view only when that time has doubled, which limits the
   updates to the entry VMs.  */
static void
put_backend (struct cyz_zone *zone, const Cy__Object *object)
{
  const Cy__Object *current = cyt_soft_state_get (zone->view, object->key);
  if (current != NULL && current->body_case == CY__OBJECT__BODY_BACKEND
      && object->backend->warm_ms >= current->backend->warm_ms
      && object->backend->warm_ms / 2 < current->backend->warm_ms)
    {
      Cy__BackendStatus unchanged = *object->backend;
      unchanged.warm_ms = current->backend->warm_ms;
      Cy__Object same = *object;
      same.backend = &unchanged;
      cyt_soft_state_put (zone->view, &same, 0);
      return;
    }
  cyt_soft_state_put (zone->view, object, 0);
}

void
cyz_table_on_settled (const char *key, const Cy__Object *object, void *context)
{
  struct cyz_zone *zone = context;
  if (object == NULL)
    {
      cyt_soft_state_remove (zone->view, key);
      cyt_soft_state_remove (zone->splits, key);
      cyt_soft_state_remove (zone->upstream, key);
      g_hash_table_remove (zone->view_update_times, key);
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
cyz_table_apply_report (struct cyz_zone *zone, struct cyz_entry *entry,
                        const Cy__Report *report)
{
  const char *name = cyn_conn_peer (entry->child.conn)->name;
  if (!cyt_merge_report (zone->merge, name, report, current_time (zone)))
    {
      cyn_conn_close (entry->child.conn);
      return;
    }
  if (entry->version != report->version)
    zone->children_changed = true;
  entry->version = report->version;
}

/* ------------------------------------------------------------ mirroring */

/* True if the zone's own entry VMs report OBJECT, so that the parent's copy is
   left out.  */
static bool
is_reported_locally (const struct cyz_zone *zone, const Cy__Object *object)
{
  if (object->body_case == CY__OBJECT__BODY_ENTRY)
    return strcmp (object->entry->zone, zone->options.identity->zone) == 0;
  return g_hash_table_contains (zone->view_update_times, object->key);
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
  bool keep = is_reported_locally (missing->zone, object)
              || object->body_case == CY__OBJECT__BODY_BACKEND;
  if (!keep && cyt_soft_state_get (missing->parent, object->key) == NULL)
    g_ptr_array_add (missing->keys, g_strdup (object->key));
  return true;
}

/* Removes the view's objects of an earlier parent that the current parent does
   not have.  */
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
cyz_table_copy_parent (struct cyz_zone *zone)
{
  const struct cyt_soft_state *soft = cyz_parent_soft (zone->parent);
  Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
  if (cyt_soft_state_epoch (soft) != zone->mirrored_epoch)
    {
      remove_missing (zone, soft);
      zone->mirrored_sequence = 0;
    }
  cyt_soft_state_delta (soft, zone->mirrored_epoch, zone->mirrored_sequence,
                        NULL, NULL, &answer);
  for (size_t i = answer.n_soft; i > 0; i--)
    {
      const Cy__Object *object = answer.soft[i - 1];
      if (is_reported_locally (zone, object))
        continue;
      if (object->deleted)
        cyt_soft_state_remove (zone->view, object->key);
      else
        cyt_soft_state_put (zone->view, object, 0);
    }
  zone->mirrored_epoch = answer.soft_epoch;
  zone->mirrored_sequence = answer.soft_to;
  cyt_soft_state_answer_clear (&answer);
}

/* ------------------------------------------------------------ reporting */

void
cyz_table_tick (struct cyz_zone *zone)
{
  cy_time_ns now = current_time (zone);
  cyt_merge_expire (zone->merge, now);
  if (now - zone->last_status < CYZ_STATUS_INTERVAL_MS * CY_NS_PER_MS)
    return;
  zone->last_status = now;
  cyz_status_update (zone);
}

/* Writes the connected entry VMs to REPORT; clear_children frees them.  */
static void
write_children (struct cyz_zone *zone, Cy__Report *report)
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

/* True if there are changes to report, or a renewal is due.  */
static bool
is_report_due (const struct cyz_zone *zone)
{
  return zone->full_report_due || zone->children_changed
         || zone->upstream_sent != cyt_soft_state_sequence (zone->upstream)
         || current_time (zone) - zone->last_report
                >= REPORT_RENEW_MS * CY_NS_PER_MS;
}

void
cyz_table_send_report (struct cyz_zone *zone)
{
  struct cyn_conn *conn = cyz_parent_current (zone->parent);
  if (conn == NULL || !is_report_due (zone))
    return;
  Cy__Report report = CY__REPORT__INIT;
  report.version = cys_state_version (cyz_parent_state (zone->parent));
  if (zone->full_report_due || zone->children_changed)
    write_children (zone, &report);
  /* A delta without entry VMs means that they are unchanged, so the
     disconnection of the last one takes a full report.  */
  bool full = zone->full_report_due
              || (zone->children_changed && report.n_children == 0);
  Cy__SyncAnswer delta = CY__SYNC_ANSWER__INIT;
  cyt_soft_state_delta (zone->upstream,
                        full ? 0 : cyt_soft_state_epoch (zone->upstream),
                        zone->upstream_sent, NULL, NULL, &delta);
  report.delta = !full;
  report.n_soft = delta.n_soft;
  report.soft = delta.soft;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_REPORT;
  envelope.report = &report;
  cyn_conn_send (conn, &envelope);
  zone->upstream_sent = delta.soft_to;
  zone->last_report = current_time (zone);
  zone->full_report_due = false;
  zone->children_changed = false;
  clear_children (&report);
  cyt_soft_state_answer_clear (&delta);
}
