#include "load/cyg_keys.h"

#include <glib.h>

cy_result
cyg_keys_read (const char *path, struct cyg_key **out, size_t *count)
{
  char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return CY_E_IO;
  GArray *keys = g_array_new (FALSE, TRUE, sizeof (struct cyg_key));
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      char **words = g_strsplit_set (g_strstrip (*line), " \t", -1);
      guint length = g_strv_length (words);
      if (length >= 2)
        {
          struct cyg_key key = { g_strdup (words[0]), g_strdup (words[1]), 1 };
          if (length >= 3)
            key.weight = g_ascii_strtod (words[2], NULL);
          g_array_append_val (keys, key);
        }
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
  *count = keys->len;
  *out = (struct cyg_key *)(void *)g_array_free (keys, FALSE);
  return *count > 0 ? CY_OK : CY_E_NOT_FOUND;
}

void
cyg_keys_free (struct cyg_key *keys, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      g_free (keys[i].workspace);
      g_free (keys[i].key);
    }
  g_free (keys);
}
