#include "entry/cye_call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "entry/cye_headers.h"

#define CYE_ANSWER_HEADERS_MAX 200
#define CYE_ANSWER_BYTES_MAX   32768 /* of an answer's headers */
#define CYE_KEEPALIVE_S        5L    /* s between TCP keep-alive probes */

struct cye_call
{
  struct cye_call_options options;
  CURL *easy;
  struct cye_answer_head head;
  size_t head_bytes;
  struct cye_bytes body;
  bool connected_anew;
  bool expired;
  int sends;
  cy_time_ns sent;
  cy_time_ns first;
  cy_time_ns last;
  cy_time_ns paused;
  cy_time_ns paused_since;
  curl_off_t connect_us;
  bool write_paused;
  bool read_paused;
  bool ended;
  CURLcode code;
};

/* ------------------------------------------------------------ bytes */

void
cye_bytes_init (struct cye_bytes *bytes)
{
  bytes->array = g_byte_array_new ();
  bytes->taken = 0;
  bytes->complete = false;
}

void
cye_bytes_clear (struct cye_bytes *bytes)
{
  if (bytes->array != NULL)
    g_byte_array_free (bytes->array, TRUE);
  bytes->array = NULL;
}

void
cye_bytes_add (struct cye_bytes *bytes, const void *data, size_t length)
{
  g_byte_array_append (bytes->array, data, (guint)length);
}

size_t
cye_bytes_take (struct cye_bytes *bytes, void *out, size_t room, bool keep)
{
  size_t count = MIN (room, cye_bytes_left (bytes));
  if (count == 0)
    return 0;
  memcpy (out, bytes->array->data + bytes->taken, count);
  bytes->taken += count;
  if (!keep && bytes->taken == bytes->array->len)
    {
      g_byte_array_set_size (bytes->array, 0);
      bytes->taken = 0;
    }
  else if (!keep && bytes->taken >= CYE_BUFFER_BYTES)
    {
      g_byte_array_remove_range (bytes->array, 0, (guint)bytes->taken);
      bytes->taken = 0;
    }
  return count;
}

/* ------------------------------------------------------------ callbacks */

static void
changed (struct cye_call *call)
{
  call->options.on_change (call->options.context);
}

/* Called each time that libcurl is about to send the request.  */
static int
before_send (void *context, char *ip, char *local_ip, int port, int local_port)
{
  (void)ip;
  (void)local_ip;
  (void)port;
  (void)local_port;
  struct cye_call *call = context;
  cy_time_ns now = cy_clock_now (call->options.clock);
  if (call->sends > 0)
    return CURL_PREREQFUNC_ABORT;
  call->expired = call->options.send_by != 0 && now > call->options.send_by;
  if (call->expired)
    return CURL_PREREQFUNC_ABORT;
  call->sends++;
  call->sent = now;
  return CURL_PREREQFUNC_OK;
}

static int
set_socket (void *context, curl_socket_t fd, curlsocktype purpose)
{
  (void)purpose;
  struct cye_call *call = context;
  unsigned timeout = CYE_USER_TIMEOUT_MS;
  call->connected_anew = true;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  return CURL_SOCKOPT_OK;
}

static void
head_clear (struct cye_call *call)
{
  g_ptr_array_set_size (call->head.names, 0);
  g_ptr_array_set_size (call->head.values, 0);
  call->head.status = 0;
}

static void
take_line (struct cye_call *call, const char *line, size_t length)
{
  const char *colon = memchr (line, ':', length);
  if (colon == NULL || call->head.names->len >= CYE_ANSWER_HEADERS_MAX)
    return;
  char *name = g_strndup (line, (gsize)(colon - line));
  char *value = g_strndup (colon + 1, length - (size_t)(colon - line) - 1);
  g_ptr_array_add (call->head.names, g_strstrip (name));
  g_ptr_array_add (call->head.values, g_strstrip (value));
}

static size_t
take_header (char *line, size_t size, size_t count, void *context)
{
  struct cye_call *call = context;
  size_t length = size * count;
  if (call->head.complete)
    return length; /* a trailer: not handed on */
  call->head_bytes += length;
  if (call->head_bytes > CYE_ANSWER_BYTES_MAX)
    return 0;
  if (call->first == 0)
    call->first = cy_clock_now (call->options.clock);
  if (length > 5 && strncmp (line, "HTTP/", 5) == 0)
    head_clear (call);
  else if (line[0] == '\r' || line[0] == '\n')
    {
      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE,
                         &call->head.status);
      call->head.complete = call->head.status >= 200;
      if (call->head.complete)
        {
          const struct cye_call_options *options = &call->options;
          changed (call);
          if (options->accepts != NULL
              && !options->accepts (&call->head, options->context))
            return 0;
        }
    }
  else
    take_line (call, line, length);
  return length;
}

static size_t
take_body (char *data, size_t size, size_t count, void *context)
{
  struct cye_call *call = context;
  size_t length = size * count;
  if (cye_bytes_left (&call->body) >= CYE_BUFFER_BYTES)
    {
      call->write_paused = true;
      call->paused_since = cy_clock_now (call->options.clock);
      return CURL_WRITEFUNC_PAUSE;
    }
  cye_bytes_add (&call->body, data, length);
  changed (call);
  return length;
}

static size_t
give_body (char *out, size_t size, size_t count, void *context)
{
  struct cye_call *call = context;
  struct cye_bytes *upload = call->options.upload;
  size_t room = size * count;
  if (cye_bytes_left (upload) == 0 && !upload->complete)
    {
      call->read_paused = true;
      return CURL_READFUNC_PAUSE;
    }
  size_t taken = cye_bytes_take (upload, out, room, false);
  changed (call);
  return taken;
}

/* ------------------------------------------------------------ set up */

static void
set_method (struct cye_call *call)
{
  const struct cye_call_options *options = &call->options;
  CURL *easy = call->easy;
  if (options->upload == NULL)
    {
      bool head = strcmp (options->method, "HEAD") == 0;
      curl_easy_setopt (easy, head ? CURLOPT_NOBODY : CURLOPT_HTTPGET, 1L);
    }
  else if (options->upload->complete && options->upload->taken == 0
           && options->upload->array->len <= CYE_BUFFER_BYTES)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE,
                        (long)options->upload->array->len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        options->upload->array->len > 0
                            ? (const char *)options->upload->array->data
                            : "");
    }
  else
    {
      curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, give_body);
      curl_easy_setopt (easy, CURLOPT_READDATA, call);
      curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE,
                        (curl_off_t)(options->upload_length >= 0
                                         ? options->upload_length
                                         : -1));
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options->method);
}

/* A kept connection needs recent proof of life, and must be younger than the
   moment at which another one went silent.  */
static void
set_connection (struct cye_call *call)
{
  const struct cye_call_options *options = &call->options;
  long age = options->kept_max_s;
  bool fresh = !options->keep || options->fresh;
  if (options->suspect != 0)
    {
      cy_time_ns since = cy_clock_now (options->clock) - options->suspect;
      age = MIN (age, (long)(since / CY_NS_PER_S));
      fresh = fresh || age == 0;
    }
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
  curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, options->keep ? 0L : 1L);
  curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN, MAX (age, 1));
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPIDLE, CYE_KEEPALIVE_S);
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPINTVL, CYE_KEEPALIVE_S);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTFUNCTION, set_socket);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTDATA, call);
}

static void
set_transfer (struct cye_call *call)
{
  const struct cye_call_options *options = &call->options;
  CURL *easy = call->easy;
  char url[80];
  bool v6 = strchr (options->host, ':') != NULL;
  g_snprintf (url, sizeof url, v6 ? "http://[%s]:%u/" : "http://%s:%u/",
              options->host, options->port);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, options->target);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, options->headers);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    MIN ((long)options->timeout_ms, CYE_CONNECT_MS));
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
}

struct cye_call *
cye_call_create (const struct cye_call_options *options)
{
  struct cye_call *call = g_new0 (struct cye_call, 1);
  call->options = *options;
  call->head.names = g_ptr_array_new_with_free_func (g_free);
  call->head.values = g_ptr_array_new_with_free_func (g_free);
  cye_bytes_init (&call->body);
  call->easy = cyh_client_take (options->client);
  set_transfer (call);
  set_method (call);
  set_connection (call);
  cyh_client_add (options->client, call->easy);
  return call;
}

void
cye_call_destroy (struct cye_call *call)
{
  if (call == NULL)
    return;
  if (!call->ended)
    {
      cyh_client_remove (call->options.client, call->easy);
      cyh_client_give (call->options.client, call->easy);
    }
  g_ptr_array_free (call->head.names, TRUE);
  g_ptr_array_free (call->head.values, TRUE);
  cye_bytes_clear (&call->body);
  g_free (call);
}

/* ------------------------------------------------------------ progress */

void
cye_call_done (CURL *easy, CURLcode code)
{
  struct cye_call *call = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &call);
  call->ended = true;
  call->code = code;
  call->last = cy_clock_now (call->options.clock);
  call->body.complete = code == CURLE_OK;
  if (call->connected_anew)
    curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &call->connect_us);
  cyh_client_give (call->options.client, easy);
  call->easy = NULL;
  changed (call);
}

void
cye_call_times (const struct cye_call *call, struct cye_call_times *times)
{
  memset (times, 0, sizeof *times);
  times->connect = (cy_time_ns)call->connect_us * CY_NS_PER_US;
  if (call->first != 0)
    {
      times->first = call->first - call->sent;
      times->rest = call->last > call->first ? call->last - call->first : 0;
      times->paused = MIN (call->paused, times->rest);
    }
}

void
cye_call_continue (struct cye_call *call)
{
  if (call->ended)
    return;
  bool read_on = call->write_paused
                 && cye_bytes_left (&call->body) <= CYE_BUFFER_BYTES / 4;
  bool send_on = call->read_paused
                 && (cye_bytes_left (call->options.upload) > 0
                     || call->options.upload->complete);
  if (!read_on && !send_on)
    return;
  if (read_on)
    {
      call->write_paused = false;
      call->paused += cy_clock_now (call->options.clock) - call->paused_since;
    }
  call->read_paused = call->read_paused && !send_on;
  int paused = CURLPAUSE_CONT;
  if (call->write_paused)
    paused |= CURLPAUSE_RECV;
  if (call->read_paused)
    paused |= CURLPAUSE_SEND;
  curl_easy_pause (call->easy, paused);
}

const struct cye_answer_head *
cye_call_head (const struct cye_call *call)
{
  return &call->head;
}

struct cye_bytes *
cye_call_body (struct cye_call *call)
{
  return &call->body;
}

bool
cye_call_ended (const struct cye_call *call)
{
  return call->ended;
}

cy_result
cye_call_result (const struct cye_call *call)
{
  switch (call->code)
    {
    case CURLE_OK:
      return call->head.complete ? CY_OK : CY_E_BACKEND_FAILED;
    case CURLE_OPERATION_TIMEDOUT:
      return call->sends > 0 ? CY_E_TIMEOUT : CY_E_BACKEND_FAILED;
    default:
      return CY_E_BACKEND_FAILED;
    }
}

bool
cye_call_sent (const struct cye_call *call)
{
  return call->sends > 0;
}

bool
cye_call_expired (const struct cye_call *call)
{
  return call->expired;
}

bool
cye_call_reused (const struct cye_call *call)
{
  return call->sends > 0 && !call->connected_anew;
}

cy_time_ns
cye_call_sent_at (const struct cye_call *call)
{
  return call->sent;
}
