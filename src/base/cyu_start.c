#include "base/cyu_start.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/cyu_log.h"

cy_result
cyu_secret_read (const char *path, char **secret)
{
  char *text = NULL;
  GError *error = NULL;
  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      fprintf (stderr, "--secret-file (CY_SECRET_FILE): %s\n", error->message);
      g_error_free (error);
      return CY_E_SETTING_INVALID;
    }
  g_strstrip (text);
  if (strlen (text) < CYU_SECRET_MIN_BYTES)
    {
      fprintf (stderr,
               "--secret-file (CY_SECRET_FILE): %s holds fewer than %d "
               "bytes\n",
               path, CYU_SECRET_MIN_BYTES);
      g_free (text);
      return CY_E_SETTING_INVALID;
    }
  *secret = text;
  return CY_OK;
}

void
cyu_ready_print (const char *program, const char *vm, uint16_t port,
                 uint16_t http_port)
{
  char *line = g_strdup_printf ("READY program=%s vm=%s port=%u http=%u\n",
                                program, vm, port, http_port);
  cyu_log_print (line);
  g_free (line);
}
