/* Drains of zones, regions, entry VMs and backend servers, and their
   previews.  */

#include <string.h>

#include "control/cyo_request.h"
#include "core/cyj_declaration.h"

#define NAME_BYTES_MAX 127 /* length of a drained object's name */

static bool
check_target (struct cyo_request *request, const char *kind, const char *name)
{
  static const char *const kinds[] = { "zone", "region", "entry", "backend" };
  bool known = false;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    known = known || g_strcmp0 (kind, kinds[i]) == 0;
  if (!known)
    {
      cyo_answer_problem (request, CY_E_ARGUMENT, "kind",
                          "must be zone, region, entry or backend", NULL);
      return false;
    }
  if (name == NULL || name[0] == '\0' || strlen (name) > NAME_BYTES_MAX)
    {
      cyo_answer_problem (request, CY_E_ARGUMENT, "name",
                          "must be 1 to 127 bytes", NULL);
      return false;
    }
  return true;
}

struct target
{
  const char *kind;
  const char *name;
  bool found;
  int64_t drained_since_unix_ms; /* start of the existing drain, 0 if none */
};

static void
read_target (const struct cys_state *state, const struct cyt_soft_state *soft,
             void *context)
{
  struct target *target = context;
  char *key = g_strdup_printf ("%s/%s", target->kind, target->name);
  if (strcmp (target->kind, "zone") == 0
      || strcmp (target->kind, "region") == 0)
    target->found = cys_state_get (state, key) != NULL;
  else
    target->found = true;
  (void)soft;
  g_free (key);
  key = g_strdup_printf ("drain/%s:%s", target->kind, target->name);
  const Cy__Object *drain = cys_state_get (state, key);
  target->drained_since_unix_ms
      = drain != NULL ? drain->drain->since_unix_ms : 0;
  g_free (key);
}

static void
propose_drain (struct cyo_request *request, Cy__Change *change,
               const struct target *target, bool deleted)
{
  Cy__Drain drain = CY__DRAIN__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  Cy__Object *objects[] = { &object };
  char *key = g_strdup_printf ("drain/%s:%s", target->kind, target->name);
  char *note = g_strdup_printf ("%s %s", deleted ? "-" : "+", key);
  object.key = key;
  object.deleted = deleted;
  if (!deleted)
    {
      drain.kind = (char *)target->kind;
      drain.name = (char *)target->name;
      drain.since_unix_ms = target->drained_since_unix_ms != 0
                                ? target->drained_since_unix_ms
                                : g_get_real_time () / 1000;
      object.body_case = CY__OBJECT__BODY_DRAIN;
      object.drain = &drain;
    }
  change->note = note;
  change->n_objects = 1;
  change->objects = objects;
  cyo_change_finish (request, change, NULL);
  g_free (note);
  g_free (key);
}

/* Refuses a drain when the remaining zones or VMs lack the capacity, or when
   no recent measurement shows that they have it.  True if the drain fits.  */
static bool
check_capacity (struct cyo_request *request, Cy__Change *change,
                const struct target *target)
{
  bool fits = true;
  char *text = cyx_control_preview (request->control, target->kind,
                                    target->name, &fits);
  json_t *preview = json_loads (text != NULL ? text : "{}", 0, NULL);
  if (!fits && json_is_false (json_object_get (preview, "known")))
    cyo_change_refuse (request, change, CY_E_PLAN_STALE, "name",
                       "no recent measurement says whether the rest has "
                       "room; force drains all the same");
  else if (!fits)
    cyo_change_refuse (request, change, CY_E_PLAN_NO_ROOM, "name",
                       "the rest has no room for what this would move; a "
                       "preview shows it, force drains all the same");
  json_decref (preview);
  g_free (text);
  return fits;
}

static void
drain_target (struct cyo_request *request, struct target *target, bool force)
{
  Cy__Change change;
  if (!check_target (request, target->kind, target->name)
      || !cyo_change_begin (request, &change, "drain", NULL))
    return;
  cyx_control_read (request->control, read_target, target);
  if (!target->found)
    cyo_change_refuse (request, &change, CY_E_NOT_FOUND, "name",
                       "is not declared");
  else if (force || check_capacity (request, &change, target))
    propose_drain (request, &change, target, false);
}

void
cyo_handle_drain (struct cyo_request *request)
{
  json_t *body = cyo_body_json (request);
  if (body == NULL)
    return;
  struct target target
      = { json_string_value (json_object_get (body, "kind")),
          json_string_value (json_object_get (body, "name")), false, 0 };
  drain_target (request, &target,
                json_is_true (json_object_get (body, "force")));
  json_decref (body);
}

void
cyo_handle_undrain (struct cyo_request *request)
{
  Cy__Change change;
  struct target target = { cyo_argument (request, "kind"),
                           cyo_argument (request, "name"), true, 0 };
  if (!check_target (request, target.kind, target.name)
      || !cyo_change_begin (request, &change, "undrain", NULL))
    return;
  propose_drain (request, &change, &target, true);
}

/* ------------------------------------------------------------------- list */

static bool
add_drain (const Cy__Object *object, void *context)
{
  const Cy__Drain *drain = object->drain;
  json_array_append_new (context,
                         json_pack ("{sssssIsI}", "kind", drain->kind, "name",
                                    drain->name, "since_unix_ms",
                                    (json_int_t)drain->since_unix_ms,
                                    "version", (json_int_t)object->version));
  return true;
}

static void
read_drains (const struct cys_state *state, const struct cyt_soft_state *soft,
             void *context)
{
  (void)soft;
  cys_state_each (state, "drain/", add_drain, context);
}

void
cyo_handle_drains (struct cyo_request *request)
{
  bool confirmed;
  if (!cyo_may_read_here (request, &confirmed))
    return;
  json_t *list = json_array ();
  cyx_control_read (request->control, read_drains, list);
  cyo_answer_json (
      request, 200,
      json_pack ("{sbso}", "confirmed", confirmed, "drains", list));
}

void
cyo_handle_preview (struct cyo_request *request)
{
  bool confirmed;
  bool fits = false;
  const char *kind = cyo_argument (request, "kind");
  const char *name = cyo_argument (request, "name");
  if (!check_target (request, kind, name)
      || !cyo_may_read_here (request, &confirmed))
    return;
  cyo_answer_text (request, 200, "application/json",
                   cyx_control_preview (request->control, kind, name, &fits));
}
