#include "entry/cye_target.h"

#include <glib.h>
#include <string.h>

#include "core/cya_access.h"

#define CYE_TARGET_PREFIX     "/s/"
#define CYE_DECODE_ROUNDS_MAX 3 /* nested percent-encodings decoded */

/* Decodes LENGTH bytes of TEXT.  NULL when a percent-encoding is invalid or a
   decoded byte is forbidden in a target.  The caller frees the text.  */
static char *
decode (const char *text, size_t length)
{
  GString *out = g_string_sized_new (length);
  for (size_t i = 0; i < length; i++)
    {
      unsigned char byte = (unsigned char)text[i];
      if (byte == '%')
        {
          if (i + 2 >= length || !g_ascii_isxdigit (text[i + 1])
              || !g_ascii_isxdigit (text[i + 2]))
            goto bad;
          byte = (unsigned char)(g_ascii_xdigit_value (text[i + 1]) << 4
                                 | g_ascii_xdigit_value (text[i + 2]));
          i += 2;
        }
      if (byte < ' ' || byte == 0x7f)
        goto bad;
      g_string_append_c (out, (char)byte);
    }
  return g_string_free (out, FALSE);
bad:
  g_string_free (out, TRUE);
  return NULL;
}

static bool
has_forbidden_bytes (const char *uri)
{
  for (const char *p = uri; *p != '\0'; p++)
    if ((unsigned char)*p <= ' ' || *p == 0x7f || *p == '#' || *p == '\\')
      return true;
  return false;
}

/* True when a segment of PATH is "." or ".."; / and \ separate segments.  */
static bool
has_dot_segment (const char *path)
{
  char **segments = g_strsplit_set (path, "/\\", -1);
  bool found = false;
  for (char **segment = segments; *segment != NULL; segment++)
    if (strcmp (*segment, ".") == 0 || strcmp (*segment, "..") == 0)
      found = true;
  g_strfreev (segments);
  return found;
}

cy_result
cye_target_parse (const char *uri, struct cye_target *target)
{
  memset (target, 0, sizeof *target);
  size_t skip = strlen (CYE_TARGET_PREFIX);
  if (strncmp (uri, CYE_TARGET_PREFIX, skip) != 0 || has_forbidden_bytes (uri))
    return CY_E_REQUEST_MALFORMED;
  const char *name = uri + skip;
  size_t length = strcspn (name, "/?");
  if (length == 0 || length >= sizeof target->service)
    return CY_E_REQUEST_MALFORMED;
  memcpy (target->service, name, length);
  target->raw = name + length;
  if (target->raw[0] == '\0')
    target->raw = "/";
  size_t path_length = strcspn (target->raw, "?");
  if (path_length == 0)
    return CY_E_REQUEST_MALFORMED;
  target->path = decode (target->raw, path_length);
  if (target->path == NULL || has_dot_segment (target->path)
      || strstr (target->path, "//") != NULL)
    return CY_E_REQUEST_MALFORMED;
  return CY_OK;
}

void
cye_target_clear (struct cye_target *target)
{
  g_clear_pointer (&target->path, g_free);
}

/* True when TEXT contains something of the form of a key.  */
static bool
has_key_form (const char *text)
{
  const char *found = text;
  while ((found = strstr (found, CYA_KEY_PREFIX)) != NULL)
    {
      found += strlen (CYA_KEY_PREFIX);
      size_t id = 0;
      while (g_ascii_isalnum (found[id]) || found[id] == '-')
        id++;
      if (id > 0 && found[id] == '_' && found[id + 1] != '\0')
        return true;
    }
  return false;
}

/* Decodes all valid percent-encodings of TEXT in place.  True when there was
   one.  */
static bool
decode_leniently (char *text)
{
  bool changed = false;
  char *out = text;
  for (const char *in = text; *in != '\0'; in++, out++)
    {
      *out = *in;
      if (*in != '%' || !g_ascii_isxdigit (in[1]) || !g_ascii_isxdigit (in[2]))
        continue;
      *out = (char)(g_ascii_xdigit_value (in[1]) << 4
                    | g_ascii_xdigit_value (in[2]));
      if (*out == '\0')
        *out = ' ';
      in += 2;
      changed = true;
    }
  *out = '\0';
  return changed;
}

bool
cye_target_has_key (const char *text)
{
  if (has_key_form (text))
    return true;
  if (strchr (text, '%') == NULL)
    return false;
  char *decoded = g_strdup (text);
  bool found = false;
  for (int i = 0; i < CYE_DECODE_ROUNDS_MAX && !found; i++)
    if (!decode_leniently (decoded))
      break;
    else
      found = has_key_form (decoded);
  g_free (decoded);
  return found;
}
