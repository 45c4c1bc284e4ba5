#include "entry/cye_answer.h"

#include <string.h>
#include <strings.h>

#include "entry/cye_headers.h"

#define STATUS_MIN        100
#define STATUS_MAX        599 /* RFC 9110 section 15: larger ones are invalid */
#define STATUS_FINAL_MIN  200
#define STATUS_UPGRADE    101
#define LENGTH_DIGITS_MAX 18

const char *
cye_answer_fault_name (enum cye_answer_fault fault)
{
  switch (fault)
    {
    case CYE_ANSWER_SOUND:
      return "none";
    case CYE_ANSWER_STATUS_LINE:
      return "status-line";
    case CYE_ANSWER_UPGRADE:
      return "upgrade";
    case CYE_ANSWER_HEADER_LINE:
      return "header-line";
    case CYE_ANSWER_FRAMING:
      return "framing";
    case CYE_ANSWER_TOO_LARGE:
      return "too-large";
    case CYE_ANSWER_REPEATED:
      return "repeated";
    case CYE_ANSWER_NO_ID:
      return "no-id";
    case CYE_ANSWER_OTHER_ID:
      return "other-id";
    case CYE_ANSWER_OLD_REFUSAL:
      return "old-refusal";
    case CYE_ANSWER_UNSTAMPED:
      return "unstamped";
    case CYE_ANSWER_ENCODED:
      return "encoded";
    }
  return "none";
}

/* ------------------------------------------------------------ lifetime */

static void
forget_lines (struct cye_answer_head *head)
{
  g_ptr_array_set_size (head->names, 0);
  g_ptr_array_set_size (head->values, 0);
  head->status = 0;
}

void
cye_answer_init (struct cye_answer_head *head)
{
  memset (head, 0, sizeof *head);
  head->names = g_ptr_array_new_with_free_func (g_free);
  head->values = g_ptr_array_new_with_free_func (g_free);
}

void
cye_answer_clear (struct cye_answer_head *head)
{
  g_ptr_array_free (head->names, TRUE);
  g_ptr_array_free (head->values, TRUE);
}

/* ------------------------------------------------------------ values */

const char *
cye_answer_header (const struct cye_answer_head *head, const char *name)
{
  for (guint i = 0; i < head->names->len; i++)
    if (strcasecmp (g_ptr_array_index (head->names, i), name) == 0)
      return g_ptr_array_index (head->values, i);
  return NULL;
}

bool
cye_answer_differs (const struct cye_answer_head *head, const char *name)
{
  const char *first = NULL;
  for (guint i = 0; i < head->names->len; i++)
    {
      if (strcasecmp (g_ptr_array_index (head->names, i), name) != 0)
        continue;
      const char *value = g_ptr_array_index (head->values, i);
      if (first != NULL && strcmp (value, first) != 0)
        return true;
      first = value;
    }
  return false;
}

uint64_t
cye_answer_length (const struct cye_answer_head *head)
{
  const char *length = cye_answer_header (head, "Content-Length");
  /* Chunks go before a length.  */
  if (length == NULL || cye_answer_header (head, "Transfer-Encoding") != NULL)
    return CYE_ANSWER_LENGTH_UNKNOWN;
  return g_ascii_strtoull (length, NULL, 10);
}

/* ------------------------------------------------------------ lines */

/* True when the LENGTH bytes at TEXT hold the start of a status line: the head
   of an answer that was cut off is continued by another answer.  */
static bool
holds_status_line (const char *text, size_t length)
{
  static const char prefix[] = "HTTP/1.";
  const char *end = text + length;
  while (
      (text = memmem (text, (size_t)(end - text), prefix, sizeof prefix - 1))
      != NULL)
    {
      text += sizeof prefix - 1;
      if (end - text >= 5 && g_ascii_isdigit (text[0]) && text[1] == ' '
          && g_ascii_isdigit (text[2]) && g_ascii_isdigit (text[3])
          && g_ascii_isdigit (text[4]))
        return true;
    }
  return false;
}

static void
store_status_line (struct cye_answer_head *head, const char *line,
                   size_t length)
{
  size_t count = MIN (length, sizeof head->status_line - 1);
  for (size_t i = 0; i < count; i++)
    head->status_line[i] = g_ascii_isprint (line[i]) ? line[i] : '?';
  head->status_line[count] = '\0';
}

/* "HTTP/1.0" or "HTTP/1.1", a space, three digits, then the end of the line or
   a space and a reason, which is not passed on.  */
static enum cye_answer_fault
read_status_line (struct cye_answer_head *head, const char *line,
                  size_t length)
{
  static const char prefix[] = "HTTP/1.";
  const size_t minor_at = sizeof prefix - 1;
  const size_t status_at = minor_at + 2;
  const size_t reason_at = status_at + 3;
  forget_lines (head);
  store_status_line (head, line, length);
  if (length < reason_at || memcmp (line, prefix, minor_at) != 0
      || (line[minor_at] != '0' && line[minor_at] != '1')
      || line[minor_at + 1] != ' '
      || (length > reason_at && line[reason_at] != ' ')
      || !cye_headers_is_value (line + reason_at, length - reason_at)
      || holds_status_line (line + reason_at, length - reason_at))
    return CYE_ANSWER_STATUS_LINE;
  long status = 0;
  for (size_t i = status_at; i < reason_at; i++)
    {
      if (!g_ascii_isdigit (line[i]))
        return CYE_ANSWER_STATUS_LINE;
      status = status * 10 + g_ascii_digit_value (line[i]);
    }
  if (status < STATUS_MIN || status > STATUS_MAX)
    return CYE_ANSWER_STATUS_LINE;
  head->version_minor = line[minor_at] - '0';
  head->status = status;
  head->stage = CYE_ANSWER_AT_HEADER;
  return status == STATUS_UPGRADE ? CYE_ANSWER_UPGRADE : CYE_ANSWER_SOUND;
}

/* Drops the white space around the text from *START to *END.  */
static void
trim (const char **start, const char **end)
{
  while (*start < *end && (**start == ' ' || **start == '\t'))
    (*start)++;
  while (*start < *end && ((*end)[-1] == ' ' || (*end)[-1] == '\t'))
    (*end)--;
}

static enum cye_answer_fault
read_header_line (struct cye_answer_head *head, const char *line,
                  size_t length)
{
  const char *colon = memchr (line, ':', length);
  if (colon == NULL || !cye_headers_is_token (line, (size_t)(colon - line)))
    return CYE_ANSWER_HEADER_LINE;
  const char *value = colon + 1;
  const char *end = line + length;
  trim (&value, &end);
  if (!cye_headers_is_value (value, (size_t)(end - value))
      || holds_status_line (value, (size_t)(end - value)))
    return CYE_ANSWER_HEADER_LINE;
  if (head->names->len >= CYE_ANSWER_HEADERS_MAX)
    return CYE_ANSWER_TOO_LARGE;
  g_ptr_array_add (head->names, g_strndup (line, (gsize)(colon - line)));
  g_ptr_array_add (head->values, g_strndup (value, (gsize)(end - value)));
  return CYE_ANSWER_SOUND;
}

/* Checks that libcurl and the caller see the same end of the body.  */
static enum cye_answer_fault
check_framing (const struct cye_answer_head *head)
{
  const char *length = cye_answer_header (head, "Content-Length");
  const char *encoding = cye_answer_header (head, "Transfer-Encoding");
  if (length != NULL)
    {
      size_t digits = strspn (length, "0123456789");
      if (digits == 0 || digits > LENGTH_DIGITS_MAX || length[digits] != '\0'
          || cye_answer_differs (head, "Content-Length"))
        return CYE_ANSWER_FRAMING;
    }
  if (encoding != NULL
      && (head->version_minor == 0 || strcasecmp (encoding, "chunked") != 0
          || cye_answer_differs (head, "Transfer-Encoding")))
    return CYE_ANSWER_FRAMING;
  return CYE_ANSWER_SOUND;
}

/* Ends the head at its empty line.  An interim head is followed by another
   one.  */
static enum cye_answer_fault
end_head (struct cye_answer_head *head)
{
  if (head->status < STATUS_FINAL_MIN)
    {
      head->stage = CYE_ANSWER_AT_STATUS;
      return CYE_ANSWER_SOUND;
    }
  enum cye_answer_fault fault = check_framing (head);
  head->stage = CYE_ANSWER_AT_TRAILER;
  head->complete = fault == CYE_ANSWER_SOUND;
  return fault;
}

/* Length of LINE without its line end.  */
static size_t
text_length (const char *line, size_t length)
{
  if (length > 0 && line[length - 1] == '\n')
    length--;
  if (length > 0 && line[length - 1] == '\r')
    length--;
  return length;
}

enum cye_answer_fault
cye_answer_read_line (struct cye_answer_head *head, const char *line,
                      size_t length)
{
  size_t text = text_length (line, length);
  if (head->fault != CYE_ANSWER_SOUND)
    return head->fault;
  head->bytes += length;
  if (head->bytes > CYE_ANSWER_BYTES_MAX
      || ++head->lines > CYE_ANSWER_LINES_MAX)
    {
      head->fault = CYE_ANSWER_TOO_LARGE;
      return head->fault;
    }
  switch (head->stage)
    {
    case CYE_ANSWER_AT_STATUS:
      head->fault = read_status_line (head, line, text);
      break;
    case CYE_ANSWER_AT_HEADER:
      head->fault
          = text == 0 ? end_head (head) : read_header_line (head, line, text);
      break;
    case CYE_ANSWER_AT_TRAILER:
      break; /* trailers are not passed on */
    }
  return head->fault;
}
