#include "control/cyx_members.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/cyu_settings.h"

static bool
read_number (const char *text, guint64 minimum, guint64 maximum,
             guint64 *number)
{
  return text != NULL
         && g_ascii_string_to_unsigned (text, 10, minimum, maximum, number,
                                        NULL);
}

/* Parses "ID=IP:PORT:HTTP_PORT"; an IPv6 address has colons too.  Returns NULL
   if PART is invalid.  */
static Cy__Member *
read_member (const char *part)
{
  static const char *const pattern = "^([0-9]+)=(.+):([0-9]+):([0-9]+)$";
  GRegex *regex = g_regex_new (pattern, 0, 0, NULL);
  GMatchInfo *match = NULL;
  Cy__Member *member = NULL;
  guint64 id;
  guint64 port;
  guint64 http_port;
  if (!g_regex_match (regex, part, 0, &match))
    goto done;
  char *id_text = g_match_info_fetch (match, 1);
  char *host = g_match_info_fetch (match, 2);
  char *port_text = g_match_info_fetch (match, 3);
  char *http_text = g_match_info_fetch (match, 4);
  if (read_number (id_text, 1, G_MAXINT64, &id) && cyu_is_ip (host)
      && read_number (port_text, 1, 65535, &port)
      && read_number (http_text, 1, 65535, &http_port))
    {
      member = malloc (sizeof *member);
      cy__member__init (member);
      member->id = id;
      member->host = g_strdup (host);
      member->port = (uint32_t)port;
      member->http_port = (uint32_t)http_port;
      member->voter = true;
    }
  g_free (id_text);
  g_free (host);
  g_free (port_text);
  g_free (http_text);
done:
  g_match_info_free (match);
  g_regex_unref (regex);
  return member;
}

static bool
has_member (const Cy__MemberSet *set, uint64_t id)
{
  for (size_t i = 0; i < set->n_members; i++)
    if (set->members[i] != NULL && set->members[i]->id == id)
      return true;
  return false;
}

cy_result
cyx_members_read (const char *text, Cy__MemberSet **created)
{
  cy_result result = CY_OK;
  char **parts = g_strsplit (text, ",", -1);
  Cy__MemberSet *set = malloc (sizeof *set);
  cy__member_set__init (set);
  set->members = calloc (g_strv_length (parts) + 1, sizeof (Cy__Member *));
  for (char **part = parts; *part != NULL && result == CY_OK; part++)
    {
      Cy__Member *member = read_member (*part);
      bool is_duplicate = member != NULL && has_member (set, member->id);
      if (member != NULL)
        set->members[set->n_members++] = member;
      if (member == NULL || is_duplicate)
        {
          fprintf (stderr,
                   "--members (CY_MEMBERS) has \"%s\"; allowed is "
                   "ID=IP:PORT:HTTP_PORT, each id once\n",
                   *part);
          result = CY_E_SETTING_INVALID;
        }
    }
  g_strfreev (parts);
  if (result == CY_OK)
    *created = set;
  else
    cy__member_set__free_unpacked (set, NULL);
  return result;
}
