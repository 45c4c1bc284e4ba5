/* Output: tables, JSON and problem documents.  */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cyctl/cyctl.h"

#define CELL_MAX_CHARACTERS 100 /* characters in a table cell */
/* Length of the printed note of a conflicting change.  */
#define NOTE_MAX_CHARACTERS 400

const char *
cyctl_get_text (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text != NULL ? text : "";
}

int64_t
cyctl_get_number (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

void
cyctl_print_json (const json_t *body)
{
  json_dumpf (body, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (15));
  putchar ('\n');
}

/* ----------------------------------------------------------------- tables */

static char *
format_time (int64_t unix_ms)
{
  if (unix_ms == 0)
    return g_strdup ("never");
  GDateTime *time = g_date_time_new_from_unix_utc (unix_ms / 1000);
  char *text = time != NULL ? g_date_time_format (time, "%F %TZ")
                            : g_strdup_printf ("%" PRId64, unix_ms);
  if (time != NULL)
    g_date_time_unref (time);
  return text;
}

/* Returns TEXT, or a copy cut to LENGTH characters (UTF-8) that ends in "...";
   TEXT is then freed.  */
static char *
truncate_text (char *text, glong length)
{
  if (g_utf8_strlen (text, -1) <= length)
    return text;
  char *end = g_utf8_offset_to_pointer (text, length - 3);
  char *shown = g_strdup_printf ("%.*s...", (int)(end - text), text);
  g_free (text);
  return shown;
}

/* Returns the text of a table cell.  Control characters become '?': notes are
   written by other operators and must not control the terminal.  */
static char *
format_cell (const json_t *object, const char *field)
{
  const json_t *value = json_object_get (object, field);
  char *text;
  if (json_is_integer (value) && g_str_has_suffix (field, "unix_ms"))
    text = format_time (json_integer_value (value));
  else if (json_is_string (value))
    text = g_strdup (json_string_value (value));
  else if (json_is_boolean (value))
    text = g_strdup (json_is_true (value) ? "yes" : "no");
  else if (json_is_integer (value))
    text = g_strdup_printf ("%" JSON_INTEGER_FORMAT,
                            json_integer_value (value));
  else
    text = g_strdup (value == NULL ? "" : "?");
  for (char *c = text; *c != '\0'; c++)
    if ((unsigned char)*c < ' ' || *c == 127)
      *c = '?';
  return truncate_text (text, CELL_MAX_CHARACTERS);
}

static void
print_row (const GPtrArray *cells, size_t first, const size_t *widths,
           size_t columns)
{
  for (size_t i = 0; i < columns; i++)
    {
      const char *cell = g_ptr_array_index (cells, first + i);
      size_t length = (size_t)g_utf8_strlen (cell, -1);
      fputs (cell, stdout);
      if (i + 1 < columns)
        printf ("%*s", (int)(widths[i] - length + 2), "");
    }
  putchar ('\n');
}

static void
add_cell (GPtrArray *cells, char *text, size_t *width)
{
  *width = MAX (*width, (size_t)g_utf8_strlen (text, -1));
  g_ptr_array_add (cells, text);
}

void
cyctl_print_table (const json_t *list, const struct cyctl_column *columns)
{
  size_t width = 0;
  size_t row;
  json_t *object;
  while (columns[width].title != NULL)
    width++;
  GPtrArray *cells = g_ptr_array_new_with_free_func (g_free);
  size_t *widths = g_new0 (size_t, width);
  for (size_t i = 0; i < width; i++)
    add_cell (cells, g_strdup (columns[i].title), &widths[i]);
  json_array_foreach (list, row, object)
  {
    for (size_t i = 0; i < width; i++)
      add_cell (cells, format_cell (object, columns[i].field), &widths[i]);
  }
  for (size_t first = 0; first < cells->len; first += width)
    print_row (cells, first, widths, width);
  g_ptr_array_free (cells, TRUE);
  g_free (widths);
}

/* --------------------------------------------------------------- problems */

static int
get_exit_code (cy_result code)
{
  if (code == CY_E_VERSION_CONFLICT)
    return CYCTL_CONFLICT;
  if (code == CY_E_NO_QUORUM || code == CY_E_AGAIN || code == CY_E_FULL
      || code == CY_E_NOT_LEADER)
    return CYCTL_UNREACHABLE;
  if (code == CY_E_OUTCOME_UNKNOWN)
    return CYCTL_UNKNOWN;
  if (code == CY_E_AUDIT_BROKEN)
    return CYCTL_AUDIT;
  return CYCTL_REFUSED;
}

int
cyctl_print_problem (const struct cyctl_answer *answer)
{
  if (answer->status == 0)
    {
      g_printerr ("cyctl: no control VM answered at %s\n",
                  cyctl_options.control);
      return CYCTL_UNREACHABLE;
    }
  if (answer->body == NULL || cyctl_get_text (answer->body, "name")[0] == '\0')
    {
      g_printerr ("cyctl: HTTP status %ld without a problem\n",
                  answer->status);
      return CYCTL_REFUSED;
    }
  const char *path = cyctl_get_text (answer->body, "path");
  cy_result code = (cy_result)cyctl_get_number (answer->body, "code");
  g_printerr ("cyctl: %s (%d %s)\n", cyctl_get_text (answer->body, "title"),
              (int)code, cyctl_get_text (answer->body, "name"));
  g_printerr ("  %s%s%s\n", path, path[0] != '\0' ? ": " : "",
              cyctl_get_text (answer->body, "detail"));
  if (cyctl_get_text (answer->body, "conflict_note")[0] != '\0')
    {
      char *note = truncate_text (
          g_strdup (cyctl_get_text (answer->body, "conflict_note")),
          NOTE_MAX_CHARACTERS);
      g_printerr ("  it was: %s, %s\n",
                  cyctl_get_text (answer->body, "conflict_action"), note);
      g_free (note);
    }
  if (code == CY_E_OUTCOME_UNKNOWN)
    g_printerr ("  send it again with --request-id %s\n", cyctl_request_id ());
  return get_exit_code (code);
}
