#include "base/cyu_settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ------------------------------------------------------------ checks */

bool
cyu_is_ip (const char *text)
{
  unsigned char address[16];
  return inet_pton (AF_INET, text, address) == 1
         || inet_pton (AF_INET6, text, address) == 1;
}

bool
cyu_address_split (const char *text, char **host, uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  gint64 number = 0;
  if (colon == NULL
      || !g_ascii_string_to_signed (colon + 1, 10, 1, 65535, &number, NULL))
    return false;
  *host = g_strndup (text, (gsize)(colon - text));
  *port = (uint16_t)number;
  if (cyu_is_ip (*host))
    return true;
  g_clear_pointer (host, g_free);
  return false;
}

static bool
is_address_list (const char *text)
{
  bool is_valid = text[0] != '\0';
  char **parts = g_strsplit (text, ",", -1);
  for (char **part = parts; *part != NULL && is_valid; part++)
    {
      char *host = NULL;
      uint16_t port = 0;
      is_valid = cyu_address_split (*part, &host, &port);
      g_free (host);
    }
  g_strfreev (parts);
  return is_valid;
}

/* Returns a description of the values that SETTING allows, freed by
   g_free.  */
static char *
describe_allowed (const struct cyu_setting *setting)
{
  switch (setting->kind)
    {
    case CYU_STRING:
      return g_strdup ("text");
    case CYU_IP:
      return g_strdup ("an IP number");
    case CYU_PORT:
      return g_strdup_printf ("%" G_GINT64_FORMAT " to 65535",
                              (gint64)setting->minimum);
    case CYU_INTEGER:
      return g_strdup_printf ("%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                              (gint64)setting->minimum,
                              (gint64)setting->maximum);
    case CYU_BOOLEAN:
      return g_strdup ("true or false");
    case CYU_NUMBER:
      return g_strdup_printf (
          "a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
          (gint64)setting->minimum, (gint64)setting->maximum);
    case CYU_DURATION:
      return setting->maximum == 0
                 ? g_strdup ("a time such as 1500ms or 2.5s")
                 : g_strdup_printf (
                     "a time such as 1500ms or 2.5s, %" G_GINT64_FORMAT
                     "ms to %" G_GINT64_FORMAT "ms",
                     (gint64)setting->minimum, (gint64)setting->maximum);
    case CYU_ADDRESSES:
      return g_strdup ("IP:PORT, several with commas between them");
    }
  return g_strdup ("");
}

static bool
store_integer (const struct cyu_setting *setting, const char *text,
               int64_t maximum)
{
  gint64 number = 0;
  if (!g_ascii_string_to_signed (text, 10, setting->minimum, maximum, &number,
                                 NULL))
    return false;
  *(int64_t *)setting->value = number;
  return true;
}

static bool
store_string (const struct cyu_setting *setting, const char *text)
{
  char **value = setting->value;
  g_free (*value);
  *value = g_strdup (text);
  return true;
}

static bool
store_boolean (const struct cyu_setting *setting, const char *text)
{
  bool is_true = strcmp (text, "true") == 0;
  if (!is_true && strcmp (text, "false") != 0)
    return false;
  *(bool *)setting->value = is_true;
  return true;
}

static bool
store_number (const struct cyu_setting *setting, const char *text)
{
  char *end = NULL;
  double number = g_ascii_strtod (text, &end);
  if (end == text || *end != '\0' || !(number >= (double)setting->minimum)
      || !(number <= (double)setting->maximum))
    return false;
  *(double *)setting->value = number;
  return true;
}

static bool
store_duration (const struct cyu_setting *setting, const char *text)
{
  char *end = NULL;
  double number = g_ascii_strtod (text, &end);
  bool seconds = end != text && strcmp (end, "s") == 0;
  if (end == text || !(number >= 0) || number > 1e9
      || (!seconds && strcmp (end, "ms") != 0))
    return false;
  int64_t ms = (int64_t)(seconds ? number * 1000 : number);
  if (ms < setting->minimum || (setting->maximum > 0 && ms > setting->maximum))
    return false;
  *(int64_t *)setting->value = ms;
  return true;
}

static bool
store_value (const struct cyu_setting *setting, const char *text)
{
  switch (setting->kind)
    {
    case CYU_STRING:
      return store_string (setting, text);
    case CYU_IP:
      return cyu_is_ip (text) && store_string (setting, text);
    case CYU_PORT:
      return store_integer (setting, text, 65535);
    case CYU_INTEGER:
      return store_integer (setting, text, setting->maximum);
    case CYU_BOOLEAN:
      return store_boolean (setting, text);
    case CYU_NUMBER:
      return store_number (setting, text);
    case CYU_DURATION:
      return store_duration (setting, text);
    case CYU_ADDRESSES:
      return is_address_list (text) && store_string (setting, text);
    }
  return false;
}

/* ------------------------------------------------------------ reading */

static char *
environment_name (const char *flag)
{
  char *upper = g_ascii_strup (flag, -1);
  char *name = g_strconcat ("CY_", upper, NULL);
  g_free (upper);
  return g_strdelimit (name, "-", '_');
}

static cy_result
read_setting (const struct cyu_setting *setting, const char *flag_text)
{
  char *variable = environment_name (setting->name);
  const char *text = flag_text;
  if (text == NULL)
    text = g_getenv (variable);
  if (text == NULL)
    text = setting->fallback;
  cy_result result = CY_OK;
  if (text == NULL)
    {
      fprintf (stderr, "--%s (%s) is required: %s\n", setting->name, variable,
               setting->help);
      result = CY_E_SETTING_MISSING;
    }
  else if (text == setting->fallback && text[0] == '\0')
    store_string (setting, "");
  else if (!store_value (setting, text))
    {
      char *allowed = describe_allowed (setting);
      fprintf (stderr, "--%s (%s) is \"%s\"; allowed is %s\n", setting->name,
               variable, text, allowed);
      g_free (allowed);
      result = CY_E_SETTING_INVALID;
    }
  g_free (variable);
  return result;
}

static void
print_table (const struct cyu_setting *table)
{
  printf ("| flag | environment | default | allowed | meaning |\n"
          "|---|---|---|---|---|\n");
  for (const struct cyu_setting *row = table; row->name != NULL; row++)
    {
      char *variable = environment_name (row->name);
      char *allowed = describe_allowed (row);
      printf ("| `--%s` | `%s` | %s | %s | %s |\n", row->name, variable,
              row->fallback == NULL      ? "required"
              : row->fallback[0] == '\0' ? "none"
                                         : row->fallback,
              allowed, row->help);
      g_free (allowed);
      g_free (variable);
    }
}

static guint
table_length (const struct cyu_setting *table)
{
  guint count = 0;
  while (table[count].name != NULL)
    count++;
  return count;
}

static cy_result
parse_flags (const char *summary, const struct cyu_setting *table,
             char **texts, gboolean *show_table, int *argc, char ***argv)
{
  guint count = table_length (table);
  GOptionEntry *entries = g_new0 (GOptionEntry, count + 2);
  for (guint i = 0; i < count; i++)
    {
      entries[i].long_name = table[i].name;
      entries[i].arg = G_OPTION_ARG_STRING;
      entries[i].arg_data = &texts[i];
      entries[i].description = table[i].help;
      entries[i].arg_description = table[i].fallback;
    }
  entries[count].long_name = "settings-table";
  entries[count].arg = G_OPTION_ARG_NONE;
  entries[count].arg_data = show_table;
  entries[count].description = "Print the settings as a table and exit";
  GOptionContext *options = g_option_context_new (NULL);
  g_option_context_set_summary (options, summary);
  g_option_context_add_main_entries (options, entries, NULL);
  GError *error = NULL;
  cy_result result = CY_OK;
  if (!g_option_context_parse (options, argc, argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      result = CY_E_SETTING_UNKNOWN;
    }
  else if (*argc > 1)
    {
      fprintf (stderr, "unknown argument \"%s\"\n", (*argv)[1]);
      result = CY_E_SETTING_UNKNOWN;
    }
  g_option_context_free (options);
  g_free (entries);
  return result;
}

cy_result
cyu_settings_read (const char *summary, const struct cyu_setting *table,
                   int *argc, char ***argv)
{
  guint count = table_length (table);
  char **texts = g_new0 (char *, count + 1);
  gboolean show_table = FALSE;
  cy_result result
      = parse_flags (summary, table, texts, &show_table, argc, argv);
  if (result == CY_OK && show_table)
    {
      print_table (table);
      exit (0);
    }
  for (guint i = 0; i < count && result == CY_OK; i++)
    result = read_setting (&table[i], texts[i]);
  for (guint i = 0; i < count; i++)
    g_free (texts[i]);
  g_free (texts);
  return result;
}

void
cyu_settings_clear (const struct cyu_setting *table)
{
  for (const struct cyu_setting *row = table; row->name != NULL; row++)
    switch (row->kind)
      {
      case CYU_STRING:
      case CYU_IP:
      case CYU_ADDRESSES:
        g_clear_pointer ((char **)row->value, g_free);
        break;
      case CYU_PORT:
      case CYU_INTEGER:
      case CYU_BOOLEAN:
      case CYU_NUMBER:
      case CYU_DURATION:
        break;
      }
}
