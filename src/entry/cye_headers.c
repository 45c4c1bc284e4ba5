#include "entry/cye_headers.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#include "entry/cye_target.h"

#define CYE_TIMEOUT_DIGITS_MAX 10 /* digits of a timeout in ms */

/* Hop-by-hop headers, RFC 9110 section 7.6.1.  */
static const char *const hop_by_hop[] = { "Connection",
                                          "Keep-Alive",
                                          "Proxy-Authenticate",
                                          "Proxy-Connection",
                                          "TE",
                                          "Proxy-Authorization",
                                          "Trailer",
                                          "Upgrade",
                                          "Transfer-Encoding",
                                          "Proxy-Authentication-Info" };

static bool
is_one_of (const char *name, const char *const *names, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

bool
cye_headers_list_has (const char *list, const char *name)
{
  size_t length = strlen (name);
  while (*list != '\0')
    {
      list += strspn (list, " \t,");
      size_t item = strcspn (list, ",");
      size_t end = item;
      while (end > 0 && (list[end - 1] == ' ' || list[end - 1] == '\t'))
        end--;
      if (end == length && strncasecmp (list, name, length) == 0)
        return true;
      list += item;
    }
  return false;
}

/* ------------------------------------------------------------ requests */

bool
cye_headers_is_token (const char *name, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (name[i])
        && (name[i] == '\0' || strchr ("!#$%&'*+-.^_`|~", name[i]) == NULL))
      return false;
  return length > 0;
}

bool
cye_headers_is_value (const char *value, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      unsigned char byte = (unsigned char)value[i];
      if ((byte < ' ' && byte != '\t') || byte == 0x7f)
        return false;
    }
  return true;
}

static bool
parse_number (const char *text, size_t digits_max, int64_t *number)
{
  size_t digits = strspn (text, "0123456789");
  if (digits == 0 || digits > digits_max || text[digits] != '\0')
    return false;
  *number = g_ascii_strtoll (text, NULL, 10);
  return true;
}

static cy_result
read_key (const struct cye_names *names, const struct cye_header *header,
          struct cye_request_head *head)
{
  size_t scheme = strlen (names->key_scheme);
  if (head->key != NULL)
    return CY_E_REQUEST_MALFORMED;
  if (strncasecmp (header->value, names->key_scheme, scheme) != 0)
    return CY_E_KEY_MALFORMED;
  head->key = header->value + scheme;
  head->key += strspn (head->key, " ");
  head->key_length = strlen (head->key);
  if (strpbrk (head->key, " \t,") != NULL)
    return CY_E_KEY_MALFORMED;
  return CY_OK;
}

/* Counts of the headers that may occur only once.  */
struct header_counts
{
  unsigned host;
  unsigned length;
  unsigned encoding;
  unsigned timeout;
};

static cy_result
read_framing (const struct cye_names *names, const struct cye_header *header,
              struct header_counts *counts, struct cye_request_head *head)
{
  const char *name = header->name;
  const char *value = header->value;
  if (strcasecmp (name, "Host") == 0)
    {
      head->host = value;
      return counts->host++ == 0 ? CY_OK : CY_E_REQUEST_MALFORMED;
    }
  if (strcasecmp (name, names->request_id) == 0)
    head->request_id = value;
  if (strcasecmp (name, "Cookie") == 0)
    head->cookie = value;
  if (strcasecmp (name, "Content-Length") == 0)
    return counts->length++ == 0 && parse_number (value, 18, &head->length)
               ? CY_OK
               : CY_E_REQUEST_MALFORMED;
  if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      head->length = CYE_LENGTH_CHUNKED;
      return counts->encoding++ == 0 && strcasecmp (value, "chunked") == 0
                 ? CY_OK
                 : CY_E_REQUEST_MALFORMED;
    }
  if (strcasecmp (name, names->timeout) == 0)
    return counts->timeout++ == 0
                   && parse_number (value, CYE_TIMEOUT_DIGITS_MAX,
                                    &head->timeout_ms)
                   && head->timeout_ms > 0
               ? CY_OK
               : CY_E_REQUEST_MALFORMED;
  if (strcasecmp (name, "Connection") == 0)
    {
      if (head->connection_count == G_N_ELEMENTS (head->connection))
        return CY_E_REQUEST_MALFORMED;
      head->connection[head->connection_count++] = value;
    }
  return CY_OK;
}

static cy_result
read_header (const struct cye_names *names, const struct cye_header *header,
             struct header_counts *counts, struct cye_request_head *head)
{
  if (!cye_headers_is_token (header->name, header->name_length)
      || strlen (header->name) != header->name_length
      || strlen (header->value) != header->value_length
      || !cye_headers_is_value (header->value, header->value_length))
    return CY_E_REQUEST_MALFORMED;
  if (strcasecmp (header->name, names->key) == 0)
    return read_key (names, header, head);
  if (names->refuses_misplaced_keys
      && (cye_target_has_key (header->name)
          || cye_target_has_key (header->value)))
    return CY_E_KEY_MISPLACED;
  return read_framing (names, header, counts, head);
}

cy_result
cye_headers_read (const struct cye_names *names, size_t bytes_max,
                  const struct cye_header *headers, size_t count,
                  struct cye_request_head *head)
{
  struct header_counts counts = { 0 };
  size_t bytes = 0;
  memset (head, 0, sizeof *head);
  head->length = CYE_LENGTH_NONE;
  if (count > CYE_HEADERS_MAX)
    return CY_E_TOO_LARGE;
  for (size_t i = 0; i < count; i++)
    {
      bytes += headers[i].name_length + headers[i].value_length + 4;
      if (bytes > bytes_max)
        return CY_E_TOO_LARGE;
      cy_result result = read_header (names, &headers[i], &counts, head);
      if (result != CY_OK)
        return result;
    }
  if (counts.length > 0 && counts.encoding > 0)
    return CY_E_REQUEST_MALFORMED;
  return CY_OK;
}

/* True for headers that only the entry VM may send to a backend server.  */
static bool
is_reserved (const struct cye_names *names, const char *name)
{
  const char *const reserved[]
      = { names->key, names->timeout, names->workspace,
          names->expected_instance };
  if (names->reserved_prefix != NULL
      && strncasecmp (name, names->reserved_prefix,
                      strlen (names->reserved_prefix))
             == 0)
    return true;
  return is_one_of (name, reserved, G_N_ELEMENTS (reserved));
}

bool
cye_headers_to_backend (const struct cye_names *names,
                        const struct cye_request_head *head, const char *name)
{
  static const char *const replaced[]
      = { "Host", "Content-Length", "Expect", "X-Forwarded-For" };
  if (is_reserved (names, name)
      || is_one_of (name, replaced, G_N_ELEMENTS (replaced))
      || is_one_of (name, hop_by_hop, G_N_ELEMENTS (hop_by_hop)))
    return false;
  for (size_t i = 0; i < head->connection_count; i++)
    if (cye_headers_list_has (head->connection[i], name))
      return false;
  return true;
}

const char *
cye_headers_cookie (const char *cookies, const char *name, size_t *length)
{
  size_t name_length = strlen (name);
  while (cookies != NULL && *cookies != '\0')
    {
      cookies += strspn (cookies, " ;");
      size_t item = strcspn (cookies, ";");
      if (item > name_length && cookies[name_length] == '='
          && strncmp (cookies, name, name_length) == 0)
        {
          *length = item - name_length - 1;
          return cookies + name_length + 1;
        }
      cookies += item;
    }
  return NULL;
}

/* ------------------------------------------------------------ answers */

bool
cye_headers_to_caller (const struct cye_names *names, const char *connection,
                       const char *name)
{
  bool reserved = names->reserved_prefix != NULL
                  && strncasecmp (name, names->reserved_prefix,
                                  strlen (names->reserved_prefix))
                         == 0;
  if (reserved || strcasecmp (name, "Content-Length") == 0
      || is_one_of (name, hop_by_hop, G_N_ELEMENTS (hop_by_hop)))
    return false;
  return connection == NULL || !cye_headers_list_has (connection, name);
}
