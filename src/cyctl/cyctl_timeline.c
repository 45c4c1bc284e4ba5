#include "cyctl/cyctl_timeline.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "cy_result.h"

/* Changes within this time before or after a request are shown with it.  */
#define NEARBY_S 0.5

struct line
{
  char *time;     /* time stamp as it stands in the log line */
  double unix_s;  /* Unix time, s */
  json_t *fields; /* whole log line */
};

struct cyctl_timeline
{
  GArray *lines; /* struct line */
  bool sorted;   /* lines are in order of time */
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
  struct cyctl_timeline *timeline = g_new0 (struct cyctl_timeline, 1);
  timeline->lines = g_array_new (FALSE, TRUE, sizeof (struct line));
  g_array_set_clear_func (timeline->lines, line_clear);
  return timeline;
}

void
cyctl_timeline_destroy (struct cyctl_timeline *timeline)
{
  if (timeline == NULL)
    return;
  g_array_unref (timeline->lines);
  g_free (timeline);
}

static const char *
get_text (const json_t *fields, const char *name)
{
  const char *text = json_string_value (json_object_get (fields, name));
  return text == NULL ? "" : text;
}

static int64_t
get_number (const json_t *fields, const char *name)
{
  return json_integer_value (json_object_get (fields, name));
}

static bool
get_flag (const json_t *fields, const char *name)
{
  return json_is_true (json_object_get (fields, name));
}

static bool
is_event (const struct line *line, const char *name)
{
  return strcmp (get_text (line->fields, "event"), name) == 0;
}

void
cyctl_timeline_add (struct cyctl_timeline *timeline, const char *text)
{
  /* Log collectors put a prefix before the JSON object.  */
  const char *start = strchr (text, '{');
  json_t *fields = start == NULL ? NULL : json_loads (start, 0, NULL);
  GDateTime *time_stamp
      = fields == NULL
            ? NULL
            : g_date_time_new_from_iso8601 (get_text (fields, "time"), NULL);
  if (time_stamp == NULL)
    {
      json_decref (fields);
      return;
    }
  struct line line = { .time = g_strdup (get_text (fields, "time")),
                       .unix_s = (double)g_date_time_to_unix (time_stamp)
                                 + g_date_time_get_seconds (time_stamp)
                                 - g_date_time_get_second (time_stamp),
                       .fields = fields };
  g_date_time_unref (time_stamp);
  g_array_append_val (timeline->lines, line);
  timeline->sorted = false;
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const struct line *left = a;
  const struct line *right = b;
  return left->unix_s < right->unix_s ? -1 : left->unix_s > right->unix_s;
}

static void
sort_lines (struct cyctl_timeline *timeline)
{
  if (!timeline->sorted)
    g_array_sort (timeline->lines, compare_lines);
  timeline->sorted = true;
}

static bool
is_header_field (const char *name)
{
  static const char *const names[]
      = { "time", "level", "program", "vm", "event", "id", "message" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (name, names[i]) == 0)
      return true;
  return false;
}

static void
append_line (GString *out, const struct line *line)
{
  const char *name = NULL;
  json_t *value = NULL;
  const char *event = get_text (line->fields, "event");
  g_string_append_printf (
      out, "%s %s %s", line->time, get_text (line->fields, "vm"),
      event[0] != '\0' ? event : get_text (line->fields, "message"));
  json_object_foreach (line->fields, name, value)
  {
    if (is_header_field (name))
      continue;
    char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
    g_string_append_printf (out, " %s=%s", name, text == NULL ? "?" : text);
    free (text);
  }
  g_string_append_c (out, '\n');
}

/* ------------------------------------------------------------ request */

/* Log lines of one request.  */
struct request_lines
{
  const char *id;
  const struct line *end_line;     /* last line of the entry VM, or NULL */
  const struct line *refusal_line; /* last refusal by a control VM, or NULL */
  const struct line *attempt_line; /* last failed attempt, or NULL */
  int failed_attempts;             /* number of failed attempts */
  double first_unix_s;             /* Unix time of the first line, s */
  double last_unix_s;              /* Unix time of the last line, s */
};

static void
collect_lines (struct cyctl_timeline *timeline,
               struct request_lines *request_lines)
{
  for (guint i = 0; i < timeline->lines->len; i++)
    {
      const struct line *line
          = &g_array_index (timeline->lines, struct line, i);
      if (strcmp (get_text (line->fields, "id"), request_lines->id) != 0)
        continue;
      if (request_lines->last_unix_s == 0)
        request_lines->first_unix_s = line->unix_s;
      request_lines->last_unix_s = line->unix_s;
      if (is_event (line, "answered") || is_event (line, "failed"))
        request_lines->end_line = line;
      else if (is_event (line, "refused"))
        request_lines->refusal_line = line;
      else if (is_event (line, "attempt_failed"))
        {
          request_lines->attempt_line = line;
          request_lines->failed_attempts++;
        }
    }
}

/* Returns true for a change shortly before or after the request that concerns
   a VM involved in it or the backend server of its failed attempt.  */
static bool
is_related_change (const struct line *line,
                   const struct request_lines *request_lines)
{
  const json_t *fields = line->fields;
  const char *vm = get_text (fields, "vm");
  bool is_near = line->unix_s > request_lines->first_unix_s - NEARBY_S
                 && line->unix_s < request_lines->last_unix_s + NEARBY_S;
  if (!is_near || request_lines->end_line == NULL
      || is_event (line, "lines_left_out")
      || json_object_get (fields, "id") != NULL)
    return false;
  const json_t *end_fields = request_lines->end_line->fields;
  const char *instance = get_text (fields, "instance");
  return strcmp (vm, get_text (end_fields, "vm")) == 0
         || (strcmp (vm, get_text (end_fields, "placer")) == 0
             && !is_event (line, "server_ejected")
             && !is_event (line, "server_returned")
             && json_object_get (fields, "message") == NULL)
         || (instance[0] != '\0' && request_lines->attempt_line != NULL
             && strcmp (
                    instance,
                    get_text (request_lines->attempt_line->fields, "instance"))
                    == 0);
}

/* ------------------------------------------------------------ cause */

static void
append_full_service (GString *out, const struct request_lines *request_lines)
{
  const json_t *end_fields = request_lines->end_line->fields;
  if (request_lines->refusal_line == NULL)
    {
      g_string_append_printf (
          out,
          "%s had no room for it in service %s after %" PRId64
          " ms of waiting; the line of %s with the count of slots is "
          "missing",
          get_text (end_fields, "placer"), get_text (end_fields, "service"),
          get_number (end_fields, "waited_ms"),
          get_text (end_fields, "placer"));
      return;
    }
  const json_t *fields = request_lines->refusal_line->fields;
  g_string_append_printf (
      out,
      "service %s was full: %" PRId64 " of %" PRId64 " slots of %" PRId64
      " backend servers were taken and %" PRId64
      " requests waited when %s refused it after %" PRId64 " ms",
      get_text (fields, "service"), get_number (fields, "in_flight"),
      get_number (fields, "slots"), get_number (fields, "servers"),
      get_number (fields, "waiting"), get_text (fields, "vm"),
      get_number (fields, "waited_ms"));
}

static void
append_failed_attempt (GString *out, const struct request_lines *request_lines)
{
  const json_t *fields = request_lines->attempt_line->fields;
  const char *instance = get_text (fields, "instance");
  const char *result = get_text (fields, "result");
  const char *fault = get_text (fields, "fault");
  if (get_flag (fields, "not_run"))
    g_string_append_printf (
        out, "backend server %s said that it did not run it", instance);
  else if (!get_flag (fields, "sent"))
    g_string_append_printf (
        out, "no connection to backend server %s, nothing was sent", instance);
  else if (strcmp (result, "CY_E_TIMEOUT") == 0)
    g_string_append_printf (
        out, "backend server %s did not answer before the deadline", instance);
  else if (fault[0] != '\0' && strcmp (fault, "none") != 0)
    g_string_append_printf (
        out, "what came back from backend server %s was not its answer (%s)",
        instance, fault);
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
  int64_t pause_ms = get_number (fields, "pause_ms");
  if (get_flag (fields, "server_leaves"))
    g_string_append (out, "; the server leaves");
  if (pause_ms > 0)
    g_string_append_printf (out,
                            "; the server asked for %.1f s without requests",
                            (double)pause_ms / 1000);
  if (get_flag (fields, "kept_connection"))
    g_string_append (out, ", on a kept connection");
  if (request_lines->failed_attempts > 1)
    g_string_append_printf (out, ", the last of %d failed attempts",
                            request_lines->failed_attempts);
}

static void
append_answered (GString *out, const struct request_lines *request_lines)
{
  const json_t *end_fields = request_lines->end_line->fields;
  int64_t waited = get_number (end_fields, "waited_ms");
  int64_t backend = get_number (end_fields, "backend_ms");
  g_string_append_printf (
      out,
      "answered %" PRId64 " by backend server %s after %" PRId64
      " ms, most of it %s (waiting %" PRId64 " ms, backend server %" PRId64
      " ms)",
      get_number (end_fields, "status"), get_text (end_fields, "instance"),
      get_number (end_fields, "total_ms"),
      waited > backend ? "waiting for a place" : "at the backend server",
      waited, backend);
  if (request_lines->failed_attempts > 0)
    {
      g_string_append (out, "; before that ");
      append_failed_attempt (out, request_lines);
    }
}

static void
append_refused (GString *out, const struct request_lines *request_lines)
{
  const json_t *end_fields = request_lines->end_line->fields;
  const char *result = get_text (end_fields, "result");
  if (strcmp (result, "CY_E_NO_ROOM") == 0
      || strcmp (result, "CY_E_QUEUE_FULL") == 0)
    append_full_service (out, request_lines);
  else if (strcmp (result, "CY_E_RATE_EXCEEDED") == 0)
    g_string_append_printf (
        out, "workspace %s had used up its rate; next token in %" PRId64 " ms",
        get_text (end_fields, "workspace"),
        get_number (end_fields, "retry_after_ms"));
  else if (strcmp (result, "CY_E_NO_BACKEND") == 0)
    g_string_append_printf (
        out,
        "no backend server of service %s may be used; the entry VM knew "
        "%" PRId64 " of all services",
        get_text (end_fields, "service"), get_number (end_fields, "servers"));
  else if (strcmp (result, "CY_E_DEADLINE") == 0)
    g_string_append_printf (out,
                            "its deadline of %" PRId64
                            " ms was over after %" PRId64 " ms of waiting",
                            get_number (end_fields, "deadline_ms"),
                            get_number (end_fields, "waited_ms"));
  else
    g_string_append_printf (out, "refused by %s: %s",
                            get_text (end_fields, "vm"), result);
}

static void
append_isolation (GString *out, const struct request_lines *request_lines)
{
  const json_t *end_fields = request_lines->end_line->fields;
  if (strcmp (get_text (end_fields, "placer"), "this VM") == 0)
    g_string_append_printf (
        out, "; %s reached no control VM and placed it with its own part",
        get_text (end_fields, "vm"));
  if (get_number (end_fields, "declaration") == 0)
    g_string_append_printf (out, "; %s held no declaration",
                            get_text (end_fields, "vm"));
}

/* Returns true if a process dropped log lines: the missing line may be among
   them.  */
static bool
has_dropped_lines (struct cyctl_timeline *timeline)
{
  for (guint i = 0; i < timeline->lines->len; i++)
    {
      const struct line *line
          = &g_array_index (timeline->lines, struct line, i);
      if (is_event (line, "lines_left_out") || is_event (line, "lines_lost"))
        return true;
    }
  return false;
}

/* Appends the cause.  Returns false if it is not known, because the last line
   of the entry VM is missing.  */
static bool
append_cause (GString *out, struct cyctl_timeline *timeline,
              const struct request_lines *request_lines)
{
  g_string_append (out, "cause: ");
  if (request_lines->end_line == NULL)
    {
      g_string_append_printf (
          out,
          "not known: no line of an entry VM says how the request ended%s",
          has_dropped_lines (timeline) ? "; some lines were left out" : "");
      return false;
    }
  bool answered
      = strcmp (get_text (request_lines->end_line->fields, "result"), "CY_OK")
        == 0;
  if (answered)
    append_answered (out, request_lines);
  else if (request_lines->attempt_line != NULL
           && !(get_flag (request_lines->attempt_line->fields, "not_run")
                && request_lines->refusal_line != NULL))
    append_failed_attempt (out, request_lines);
  else
    append_refused (out, request_lines);
  if (!answered)
    g_string_append_printf (
        out, "; answered %" PRId64 ", %s",
        get_number (request_lines->end_line->fields, "status"),
        strcmp (get_text (request_lines->end_line->fields, "outcome"),
                "not-run")
                == 0
            ? "it did not run"
            : "it may have run");
  append_isolation (out, request_lines);
  return true;
}

char *
cyctl_timeline_request (struct cyctl_timeline *timeline, const char *id,
                        bool *known)
{
  struct request_lines request_lines = { .id = id };
  GString *out = g_string_new (NULL);
  sort_lines (timeline);
  collect_lines (timeline, &request_lines);
  for (guint i = 0; i < timeline->lines->len; i++)
    {
      const struct line *line
          = &g_array_index (timeline->lines, struct line, i);
      if (strcmp (get_text (line->fields, "id"), id) == 0
          || is_related_change (line, &request_lines))
        append_line (out, line);
    }
  *known = append_cause (out, timeline, &request_lines);
  g_string_append_c (out, '\n');
  return g_string_free (out, FALSE);
}

/* ------------------------------------------------------------ change */

char *
cyctl_timeline_change (struct cyctl_timeline *timeline, uint64_t declaration,
                       bool *known)
{
  GString *out = g_string_new (NULL);
  /* Running VM -> 1 if it has adopted DECLARATION or a newer one, else 0.  */
  GHashTable *vms = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer vm;
  gpointer is_current;
  unsigned behind_count = 0;
  double first_unix_s = 0;
  double last_unix_s = 0;
  sort_lines (timeline);
  for (guint i = 0; i < timeline->lines->len; i++)
    {
      const struct line *line
          = &g_array_index (timeline->lines, struct line, i);
      uint64_t number = (uint64_t)get_number (line->fields, "declaration");
      const char *name = get_text (line->fields, "vm");
      if (is_event (line, "start"))
        g_hash_table_insert (vms, (gpointer)name, GUINT_TO_POINTER (0));
      else if (is_event (line, "stop"))
        g_hash_table_remove (vms, name);
      else if (is_event (line, "declaration_adopted"))
        g_hash_table_insert (vms, (gpointer)name,
                             GUINT_TO_POINTER (number >= declaration));
      if (!is_event (line, "declaration_adopted") || number != declaration)
        continue;
      append_line (out, line);
      first_unix_s = first_unix_s == 0 ? line->unix_s : first_unix_s;
      last_unix_s = line->unix_s;
    }
  *known = first_unix_s != 0;
  g_hash_table_iter_init (&iter, vms);
  while (g_hash_table_iter_next (&iter, &vm, &is_current))
    behind_count += GPOINTER_TO_UINT (is_current) == 0;
  if (*known)
    g_string_append_printf (out,
                            "declaration %" PRIu64
                            " was adopted within %.3f s; %u of %u running VMs "
                            "are behind it\n",
                            declaration, last_unix_s - first_unix_s,
                            behind_count, g_hash_table_size (vms));
  else
    g_string_append_printf (out,
                            "not known: no line says that declaration %" PRIu64
                            " was adopted\n",
                            declaration);
  g_hash_table_unref (vms);
  return g_string_free (out, FALSE);
}
