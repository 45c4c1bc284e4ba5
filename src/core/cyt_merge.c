#include "core/cyt_merge.h"

#include "core/cy_copy.h"

#include <ck_queue.h>
#include <glib.h>
#include <string.h>

struct child
{
  CK_STAILQ_ENTRY (child) link; /* ordered by first report */
  char *name;
  GHashTable *objects; /* struct reported, by key */
  uint64_t version;    /* declared version that the child applies */
  cy_time_ns last_report_at;
  Cy__Report *children; /* latest list of the child's children; may be NULL */
};

struct reported
{
  Cy__Object *object;
  uint64_t stamp; /* order of arrival, higher for a later object */
};

struct cyt_merge
{
  CK_STAILQ_HEAD (child_list, child) children;
  cyt_resolved_fn resolved;
  void *context;
  uint64_t stamp; /* stamp of the newest object */
};

/* ------------------------------------------------------------ children */

static void
reported_free (gpointer data)
{
  struct reported *reported = data;
  cy__object__free_unpacked (reported->object, NULL);
  g_free (reported);
}

static void
child_free (struct child *child)
{
  g_hash_table_destroy (child->objects);
  if (child->children != NULL)
    cy__report__free_unpacked (child->children, NULL);
  g_free (child->name);
  g_free (child);
}

static struct child *
child_find (const struct cyt_merge *merge, const char *name)
{
  struct child *child = NULL;
  CK_STAILQ_FOREACH (child, &merge->children, link)
  {
    if (strcmp (child->name, name) == 0)
      return child;
  }
  return NULL;
}

static struct child *
child_add (struct cyt_merge *merge, const char *name)
{
  struct child *child = g_new0 (struct child, 1);
  child->name = g_strdup (name);
  child->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, reported_free);
  CK_STAILQ_INSERT_TAIL (&merge->children, child, link);
  return child;
}

struct cyt_merge *
cyt_merge_create (cyt_resolved_fn resolved, void *context)
{
  struct cyt_merge *merge = g_new0 (struct cyt_merge, 1);
  CK_STAILQ_INIT (&merge->children);
  merge->resolved = resolved;
  merge->context = context;
  return merge;
}

void
cyt_merge_destroy (struct cyt_merge *merge)
{
  if (merge == NULL)
    return;
  struct child *child = NULL, *next = NULL;
  CK_STAILQ_FOREACH_SAFE (child, &merge->children, link, next)
  child_free (child);
  g_free (merge);
}

/* ------------------------------------------------------------ precedence */

/* Returns true when CANDIDATE has precedence over BEST, whose child reported
   first.  */
static bool
has_precedence (const struct reported *candidate, const struct reported *best)
{
  const Cy__Object *a = candidate->object;
  const Cy__Object *b = best->object;
  if (a->body_case != CY__OBJECT__BODY_BACKEND
      || b->body_case != CY__OBJECT__BODY_BACKEND)
    return false;
  if (a->backend->incarnation != b->backend->incarnation)
    return a->backend->incarnation > b->backend->incarnation;
  return candidate->stamp > best->stamp;
}

static void
resolve_key (struct cyt_merge *merge, const char *key)
{
  const struct reported *best = NULL;
  const struct child *child = NULL;
  CK_STAILQ_FOREACH (child, &merge->children, link)
  {
    const struct reported *found = g_hash_table_lookup (child->objects, key);
    if (found != NULL && (best == NULL || has_precedence (found, best)))
      best = found;
  }
  merge->resolved (key, best == NULL ? NULL : best->object, merge->context);
}

static void
resolve_keys (struct cyt_merge *merge, GPtrArray *keys)
{
  for (guint i = 0; i < keys->len; i++)
    resolve_key (merge, g_ptr_array_index (keys, i));
}

/* Removes the objects of CHILD that the full report REPORT does not contain
   and adds their keys to KEYS.  */
static void
remove_unreported (struct child *child, const Cy__Report *report,
                   GPtrArray *keys)
{
  GHashTable *reported_keys = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < report->n_soft; i++)
    g_hash_table_add (reported_keys, report->soft[i]->key);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, child->objects);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (reported_keys, key))
      {
        g_ptr_array_add (keys, g_strdup (key));
        g_hash_table_iter_remove (&iter);
      }
  g_hash_table_destroy (reported_keys);
}

/* Stores a copy of the list of children in REPORT; a delta without a list
   leaves the stored one.  */
static void
store_children (struct child *child, const Cy__Report *report)
{
  if (report->n_children == 0 && report->delta)
    return;
  if (child->children != NULL)
    cy__report__free_unpacked (child->children, NULL);
  Cy__Report copy_source = CY__REPORT__INIT;
  copy_source.n_children = report->n_children;
  copy_source.children = report->children;
  child->children = cy_copy (&copy_source);
}

bool
cyt_merge_report (struct cyt_merge *merge, const char *name,
                  const Cy__Report *report, cy_time_ns now)
{
  struct child *child = child_find (merge, name);
  if (child == NULL && report->delta)
    return false;
  if (child == NULL)
    child = child_add (merge, name);
  child->last_report_at = now;
  child->version = report->version;
  store_children (child, report);
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  if (!report->delta)
    remove_unreported (child, report, keys);
  for (size_t i = 0; i < report->n_soft; i++)
    {
      const Cy__Object *object = report->soft[i];
      g_ptr_array_add (keys, g_strdup (object->key));
      if (object->deleted)
        {
          g_hash_table_remove (child->objects, object->key);
          continue;
        }
      struct reported *reported = g_new0 (struct reported, 1);
      reported->object = cy_copy (object);
      reported->stamp = ++merge->stamp;
      g_hash_table_replace (child->objects, g_strdup (object->key), reported);
    }
  resolve_keys (merge, keys);
  g_ptr_array_free (keys, TRUE);
  return true;
}

void
cyt_merge_expire (struct cyt_merge *merge, cy_time_ns now)
{
  struct child *child = NULL, *next = NULL;
  CK_STAILQ_FOREACH_SAFE (child, &merge->children, link, next)
  {
    if (now - child->last_report_at < CYT_REPORT_LEASE_MS * CY_NS_PER_MS)
      continue;
    CK_STAILQ_REMOVE (&merge->children, child, child, link);
    GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init (&iter, child->objects);
    while (g_hash_table_iter_next (&iter, &key, NULL))
      g_ptr_array_add (keys, g_strdup (key));
    resolve_keys (merge, keys);
    g_ptr_array_free (keys, TRUE);
    child_free (child);
  }
}

void
cyt_merge_each_child (const struct cyt_merge *merge, cyt_child_fn each,
                      void *context)
{
  const struct child *child = NULL;
  CK_STAILQ_FOREACH (child, &merge->children, link)
  each (child->name, child->version, child->last_report_at, child->children,
        context);
}
