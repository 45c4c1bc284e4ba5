#include "cyctl/cyctl_timeline.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "cy_result.h"

#define AROUND_S 0.5 /* s around a request whose changes are shown */

struct line
{
  char *time; /* as written: sorts as text */
  double at;  /* s */
  json_t *fields;
};

struct cyctl_timeline
{
  GArray *lines; /* struct line, in the order of their time once sorted */
  bool sorted;
};

/* ------------------------------------------------------------ lines */

static void
line_clear (gpointer data)
{
  struct line *line = data;
  g_free (line->time);
  json_decref (line->fields);
}

struct cyctl_timeline *
cyctl_timeline_create (void)
{
  struct cyctl_timeline *story = g_new0 (struct cyctl_timeline, 1);
  story->lines = g_array_new (FALSE, TRUE, sizeof (struct line));
  g_array_set_clear_func (story->lines, line_clear);
  return story;
}

void
cyctl_timeline_destroy (struct cyctl_timeline *story)
{
  if (story == NULL)
    return;
  g_array_unref (story->lines);
  g_free (story);
}

static const char *
text_of (const json_t *fields, const char *name)
{
  const char *text = json_string_value (json_object_get (fields, name));
  return text == NULL ? "" : text;
}

static int64_t
number_of (const json_t *fields, const char *name)
{
  return json_integer_value (json_object_get (fields, name));
}

static bool
flag_of (const json_t *fields, const char *name)
{
  return json_is_true (json_object_get (fields, name));
}

static bool
is_event (const struct line *line, const char *name)
{
  return strcmp (text_of (line->fields, "event"), name) == 0;
}

void
cyctl_timeline_add (struct cyctl_timeline *story, const char *text)
{
  /* Collectors put a name before the line.  */
  const char *start = strchr (text, '{');
  json_t *fields = start == NULL ? NULL : json_loads (start, 0, NULL);
  GDateTime *when
      = fields == NULL
            ? NULL
            : g_date_time_new_from_iso8601 (text_of (fields, "time"), NULL);
  if (when == NULL)
    {
      json_decref (fields);
      return;
    }
  struct line line = { .time = g_strdup (text_of (fields, "time")),
                       .at = (double)g_date_time_to_unix (when)
                             + g_date_time_get_seconds (when)
                             - g_date_time_get_second (when),
                       .fields = fields };
  g_date_time_unref (when);
  g_array_append_val (story->lines, line);
  story->sorted = false;
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const struct line *left = a;
  const struct line *right = b;
  return left->at < right->at ? -1 : left->at > right->at;
}

static void
sort (struct cyctl_timeline *story)
{
  if (!story->sorted)
    g_array_sort (story->lines, compare_lines);
  story->sorted = true;
}

static bool
is_head_field (const char *name)
{
  static const char *const names[]
      = { "time", "level", "program", "vm", "event", "id", "message" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (name, names[i]) == 0)
      return true;
  return false;
}

static void
print_line (GString *out, const struct line *line)
{
  const char *name = NULL;
  json_t *value = NULL;
  const char *what = text_of (line->fields, "event");
  g_string_append_printf (
      out, "%s %s %s", line->time, text_of (line->fields, "vm"),
      what[0] != '\0' ? what : text_of (line->fields, "message"));
  json_object_foreach (line->fields, name, value)
  {
    if (is_head_field (name))
      continue;
    char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
    g_string_append_printf (out, " %s=%s", name, text == NULL ? "?" : text);
    free (text);
  }
  g_string_append_c (out, '\n');
}

/* ------------------------------------------------------------ request */

/* The lines of one request.  */
struct request
{
  const char *id;
  const struct line *end;      /* of the entry VM, NULL: none */
  const struct line *decision; /* the last refusal by a control VM */
  const struct line *attempt;  /* the last one that failed */
  int attempts;                /* that failed */
  double first;
  double last;
};

static void
gather (struct cyctl_timeline *story, struct request *request)
{
  for (guint i = 0; i < story->lines->len; i++)
    {
      const struct line *line = &g_array_index (story->lines, struct line, i);
      if (strcmp (text_of (line->fields, "id"), request->id) != 0)
        continue;
      if (request->last == 0)
        request->first = line->at;
      request->last = line->at;
      if (is_event (line, "answered") || is_event (line, "failed"))
        request->end = line;
      else if (is_event (line, "refused"))
        request->decision = line;
      else if (is_event (line, "attempt_failed"))
        {
          request->attempt = line;
          request->attempts++;
        }
    }
}

/* True for a change near the request on a VM that took part in it, or of the
   backend server that it went to.  */
static bool
is_around (const struct line *line, const struct request *request)
{
  const json_t *fields = line->fields;
  const char *vm = text_of (fields, "vm");
  bool near = line->at > request->first - AROUND_S
              && line->at < request->last + AROUND_S;
  if (!near || request->end == NULL || is_event (line, "lines_left_out")
      || json_object_get (fields, "id") != NULL)
    return false;
  const json_t *end = request->end->fields;
  const char *instance = text_of (fields, "instance");
  return strcmp (vm, text_of (end, "vm")) == 0
         || (strcmp (vm, text_of (end, "placer")) == 0
             && !is_event (line, "server_ejected")
             && !is_event (line, "server_returned")
             && json_object_get (fields, "message") == NULL)
         || (instance[0] != '\0' && request->attempt != NULL
             && strcmp (instance,
                        text_of (request->attempt->fields, "instance"))
                    == 0);
}

/* ------------------------------------------------------------ cause */

static void
say_room (GString *out, const struct request *request)
{
  const json_t *end = request->end->fields;
  if (request->decision == NULL)
    {
      g_string_append_printf (
          out,
          "%s had no room for it in service %s after %" PRId64
          " ms of waiting; the line of %s with the count of slots is "
          "missing",
          text_of (end, "placer"), text_of (end, "service"),
          number_of (end, "waited_ms"), text_of (end, "placer"));
      return;
    }
  const json_t *fields = request->decision->fields;
  g_string_append_printf (
      out,
      "service %s was full: %" PRId64 " of %" PRId64 " slots of %" PRId64
      " backend servers were taken and %" PRId64
      " requests waited when %s refused it after %" PRId64 " ms",
      text_of (fields, "service"), number_of (fields, "in_flight"),
      number_of (fields, "slots"), number_of (fields, "servers"),
      number_of (fields, "waiting"), text_of (fields, "vm"),
      number_of (fields, "waited_ms"));
}

static void
say_attempt (GString *out, const struct request *request)
{
  const json_t *fields = request->attempt->fields;
  const char *instance = text_of (fields, "instance");
  const char *result = text_of (fields, "result");
  if (flag_of (fields, "not_run"))
    g_string_append_printf (
        out, "backend server %s said that it did not run it", instance);
  else if (!flag_of (fields, "sent"))
    g_string_append_printf (
        out, "no connection to backend server %s, nothing was sent", instance);
  else if (strcmp (result, "CY_E_TIMEOUT") == 0)
    g_string_append_printf (
        out, "backend server %s did not answer before the deadline", instance);
  else if (strcmp (result, "CY_E_ANSWER_INVALID") == 0)
    g_string_append_printf (
        out, "what came back from backend server %s was not its answer",
        instance);
  else
    g_string_append_printf (
        out,
        "the connection to backend server %s broke after the request was "
        "sent",
        instance);
  if (flag_of (fields, "kept_connection"))
    g_string_append (out, ", on a kept connection");
  if (request->attempts > 1)
    g_string_append_printf (out, ", the last of %d failed attempts",
                            request->attempts);
}

static void
say_answered (GString *out, const struct request *request)
{
  const json_t *end = request->end->fields;
  int64_t waited = number_of (end, "waited_ms");
  int64_t backend = number_of (end, "backend_ms");
  g_string_append_printf (
      out,
      "answered %" PRId64 " by backend server %s after %" PRId64
      " ms, most of it %s (waiting %" PRId64 " ms, backend server %" PRId64
      " ms)",
      number_of (end, "status"), text_of (end, "instance"),
      number_of (end, "total_ms"),
      waited > backend ? "waiting for a place" : "at the backend server",
      waited, backend);
  if (request->attempts > 0)
    {
      g_string_append (out, "; before that ");
      say_attempt (out, request);
    }
}

static void
say_refused (GString *out, const struct request *request)
{
  const json_t *end = request->end->fields;
  const char *result = text_of (end, "result");
  if (strcmp (result, "CY_E_NO_ROOM") == 0
      || strcmp (result, "CY_E_QUEUE_FULL") == 0)
    say_room (out, request);
  else if (strcmp (result, "CY_E_RATE_EXCEEDED") == 0)
    g_string_append_printf (
        out, "workspace %s had used up its rate; next token in %" PRId64 " ms",
        text_of (end, "workspace"), number_of (end, "retry_after_ms"));
  else if (strcmp (result, "CY_E_NO_BACKEND") == 0)
    g_string_append_printf (
        out,
        "no backend server of service %s may be used; the entry VM knew "
        "%" PRId64 " of all services",
        text_of (end, "service"), number_of (end, "servers"));
  else if (strcmp (result, "CY_E_DEADLINE") == 0)
    g_string_append_printf (out,
                            "its deadline of %" PRId64
                            " ms was over after %" PRId64 " ms of waiting",
                            number_of (end, "deadline_ms"),
                            number_of (end, "waited_ms"));
  else
    g_string_append_printf (out, "refused by %s: %s", text_of (end, "vm"),
                            result);
}

static void
say_age (GString *out, const struct request *request)
{
  const json_t *end = request->end->fields;
  if (strcmp (text_of (end, "placer"), "this VM") == 0)
    g_string_append_printf (
        out, "; %s reached no control VM and placed it with its own part",
        text_of (end, "vm"));
  if (number_of (end, "declaration") == 0)
    g_string_append_printf (out, "; %s held no declaration",
                            text_of (end, "vm"));
}

/* The lines that a process left out may have been the missing one.  */
static bool
left_out (struct cyctl_timeline *story)
{
  for (guint i = 0; i < story->lines->len; i++)
    {
      const struct line *line = &g_array_index (story->lines, struct line, i);
      if (is_event (line, "lines_left_out") || is_event (line, "lines_lost"))
        return true;
    }
  return false;
}

static bool
say_cause (GString *out, struct cyctl_timeline *story,
           const struct request *request)
{
  g_string_append (out, "cause: ");
  if (request->end == NULL)
    {
      g_string_append_printf (
          out,
          "not known: no line of an entry VM says how the request ended%s",
          left_out (story) ? "; some lines were left out" : "");
      return false;
    }
  bool answered
      = strcmp (text_of (request->end->fields, "result"), "CY_OK") == 0;
  if (answered)
    say_answered (out, request);
  else if (request->attempt != NULL
           && !(flag_of (request->attempt->fields, "not_run")
                && request->decision != NULL))
    say_attempt (out, request);
  else
    say_refused (out, request);
  if (!answered)
    g_string_append_printf (
        out, "; answered %" PRId64 ", %s",
        number_of (request->end->fields, "status"),
        strcmp (text_of (request->end->fields, "outcome"), "not-run") == 0
            ? "it did not run"
            : "it may have run");
  say_age (out, request);
  return true;
}

char *
cyctl_timeline_request (struct cyctl_timeline *story, const char *id,
                        bool *known)
{
  struct request request = { .id = id };
  GString *out = g_string_new (NULL);
  sort (story);
  gather (story, &request);
  for (guint i = 0; i < story->lines->len; i++)
    {
      const struct line *line = &g_array_index (story->lines, struct line, i);
      if (strcmp (text_of (line->fields, "id"), id) == 0
          || is_around (line, &request))
        print_line (out, line);
    }
  *known = say_cause (out, story, &request);
  g_string_append_c (out, '\n');
  return g_string_free (out, FALSE);
}

/* ------------------------------------------------------------ change */

char *
cyctl_timeline_change (struct cyctl_timeline *story, uint64_t declaration,
                       bool *known)
{
  GString *out = g_string_new (NULL);
  GHashTable *vms = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer vm;
  gpointer newest;
  unsigned behind = 0;
  double first = 0;
  double last = 0;
  sort (story);
  for (guint i = 0; i < story->lines->len; i++)
    {
      const struct line *line = &g_array_index (story->lines, struct line, i);
      uint64_t number = (uint64_t)number_of (line->fields, "declaration");
      const char *name = text_of (line->fields, "vm");
      if (is_event (line, "start"))
        g_hash_table_insert (vms, (gpointer)name, GUINT_TO_POINTER (0));
      else if (is_event (line, "stop"))
        g_hash_table_remove (vms, name);
      else if (is_event (line, "declaration_adopted"))
        g_hash_table_insert (vms, (gpointer)name,
                             GUINT_TO_POINTER (number >= declaration));
      if (!is_event (line, "declaration_adopted") || number != declaration)
        continue;
      print_line (out, line);
      first = first == 0 ? line->at : first;
      last = line->at;
    }
  *known = first != 0;
  g_hash_table_iter_init (&iter, vms);
  while (g_hash_table_iter_next (&iter, &vm, &newest))
    behind += GPOINTER_TO_UINT (newest) == 0;
  if (*known)
    g_string_append_printf (out,
                            "declaration %" PRIu64
                            " was adopted within %.3f s; %u of %u running VMs "
                            "are behind it\n",
                            declaration, last - first, behind,
                            g_hash_table_size (vms));
  else
    g_string_append_printf (out,
                            "not known: no line says that declaration %" PRIu64
                            " was adopted\n",
                            declaration);
  g_hash_table_unref (vms);
  return g_string_free (out, FALSE);
}
