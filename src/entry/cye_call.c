#include "entry/cye_call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "entry/cye_headers.h"

#define CYE_KEEPALIVE_S 5L /* s between TCP keep-alive probes */

struct cye_call
{
  struct cye_call_options options;
  CURL *easy;
  struct cye_answer_head head;
  struct cye_buffer body;
  uint64_t body_bytes;    /* received of the answer's body */
  uint64_t sent_bytes;    /* passed to libcurl of the request's body */
  bool opened_connection; /* libcurl opened a connection for the call */
  curl_socket_t socket;   /* of the opened connection */
  bool stale; /* it was not sent: the connection had unread input or its end */
  bool expired;   /* it was not sent: SEND_BY or MAY_SEND of the options */
  int send_count; /* times that libcurl sent the request: 0 or 1 */
  cy_time_ns sent_at;
  cy_time_ns first_byte_at;
  cy_time_ns ended_at;
  cy_time_ns paused_time; /* ns, sum of the pauses of the body */
  cy_time_ns paused_at;
  curl_off_t connect_us;
  bool upload_aborted; /* the caller's body ended before its length */
  bool write_paused;   /* the body's buffer is full */
  bool read_paused;    /* the upload's buffer is empty */
  bool ended;
  CURLcode code;
};

/* ------------------------------------------------------------ buffers */

void
cye_buffer_init (struct cye_buffer *buffer)
{
  buffer->array = g_byte_array_new ();
  buffer->consumed = 0;
  buffer->complete = false;
  buffer->cut = false;
}

void
cye_buffer_clear (struct cye_buffer *buffer)
{
  if (buffer->array != NULL)
    g_byte_array_free (buffer->array, TRUE);
  buffer->array = NULL;
}

void
cye_buffer_append (struct cye_buffer *buffer, const void *data, size_t length)
{
  g_byte_array_append (buffer->array, data, (guint)length);
}

size_t
cye_buffer_read (struct cye_buffer *buffer, void *out, size_t room, bool keep)
{
  size_t count = MIN (room, cye_buffer_unread (buffer));
  if (count == 0)
    return 0;
  memcpy (out, buffer->array->data + buffer->consumed, count);
  buffer->consumed += count;
  if (!keep && buffer->consumed == buffer->array->len)
    {
      g_byte_array_set_size (buffer->array, 0);
      buffer->consumed = 0;
    }
  else if (!keep && buffer->consumed >= CYE_BUFFER_BYTES)
    {
      g_byte_array_remove_range (buffer->array, 0, (guint)buffer->consumed);
      buffer->consumed = 0;
    }
  return count;
}

/* ------------------------------------------------------------ callbacks */

static void
notify_change (struct cye_call *call)
{
  call->options.on_change (call->options.context);
}

/* Runs each time libcurl is about to send the request.  */
static int
before_send (void *context, char *ip, char *local_ip, int port, int local_port)
{
  struct cye_call *call = context;
  struct cyh_client *client = call->options.client;
  const struct cyh_ends ends = { local_ip, local_port, ip, port };
  cy_time_ns now = cy_clock_now (call->options.clock);
  if (call->send_count > 0)
    return CURL_PREREQFUNC_ABORT;
  const struct cye_call_options *options = &call->options;
  call->expired = (options->send_by != 0 && now > options->send_by)
                  || (options->may_send != NULL
                      && !options->may_send (options->context));
  if (call->expired)
    return CURL_PREREQFUNC_ABORT;
  if (call->opened_connection)
    cyh_client_add_socket (client, call->socket, &ends);
  else if (!cyh_client_is_clean (client, &ends))
    {
      call->stale = true;
      return CURL_PREREQFUNC_ABORT;
    }
  call->send_count++;
  call->sent_at = now;
  return CURL_PREREQFUNC_OK;
}

static int
set_socket (void *context, curl_socket_t fd, curlsocktype purpose)
{
  (void)purpose;
  struct cye_call *call = context;
  unsigned timeout = CYE_USER_TIMEOUT_MS;
  call->opened_connection = true;
  call->socket = fd;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  return CURL_SOCKOPT_OK;
}

/* Reads a line of the answer's head.  A return value below the length of the
   line ends the transfer and closes the connection.  */
static size_t
on_header (char *line, size_t size, size_t count, void *context)
{
  struct cye_call *call = context;
  const struct cye_call_options *options = &call->options;
  size_t length = size * count;
  bool was_complete = call->head.complete;
  if (call->first_byte_at == 0)
    call->first_byte_at = cy_clock_now (options->clock);
  if (cye_answer_read_line (&call->head, line, length) != CYE_ANSWER_SOUND)
    return 0;
  if (call->head.complete && !was_complete)
    {
      notify_change (call);
      if (options->accepts != NULL
          && !options->accepts (&call->head, options->context))
        return 0;
    }
  return length;
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct cye_call *call = context;
  size_t length = size * count;
  if (cye_buffer_unread (&call->body) >= CYE_BUFFER_BYTES)
    {
      call->write_paused = true;
      call->paused_at = cy_clock_now (call->options.clock);
      notify_change (call);
      return CURL_WRITEFUNC_PAUSE;
    }
  call->body_bytes += length;
  cye_buffer_append (&call->body, data, length);
  notify_change (call);
  return length;
}

static size_t
on_upload (char *out, size_t size, size_t count, void *context)
{
  struct cye_call *call = context;
  struct cye_buffer *upload = call->options.upload;
  size_t room = size * count;
  int64_t length = call->options.upload_length;
  if (cye_buffer_unread (upload) == 0 && (!upload->complete || upload->cut))
    {
      call->read_paused = true;
      return CURL_READFUNC_PAUSE;
    }
  size_t taken = cye_buffer_read (upload, out, room, false);
  call->sent_bytes += taken;
  /* libcurl would keep the connection and send the next request where the rest
     of this body is due.  */
  call->upload_aborted
      = taken == 0 && length >= 0 && call->sent_bytes < (uint64_t)length;
  if (call->upload_aborted)
    return CURL_READFUNC_ABORT;
  notify_change (call);
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
  else if (options->upload->complete && options->upload->consumed == 0
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
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_upload);
      curl_easy_setopt (easy, CURLOPT_READDATA, call);
      curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE,
                        (curl_off_t)(options->upload_length >= 0
                                         ? options->upload_length
                                         : -1));
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options->method);
}

/* Allows only persistent connections that were in use within idle_max_s, and
   after the time at which another connection to the server timed out.  */
static void
set_connection (struct cye_call *call)
{
  const struct cye_call_options *options = &call->options;
  long age = options->idle_max_s;
  bool new_connection = !options->keep_connection || options->new_connection;
  if (options->suspect_before != 0)
    {
      cy_time_ns suspect_age
          = cy_clock_now (options->clock) - options->suspect_before;
      age = MIN (age, (long)(suspect_age / CY_NS_PER_S));
      new_connection = new_connection || age == 0;
    }
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT,
                    new_connection ? 1L : 0L);
  curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE,
                    options->keep_connection ? 0L : 1L);
  curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN, MAX (age, 1));
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPIDLE, CYE_KEEPALIVE_S);
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPINTVL, CYE_KEEPALIVE_S);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTFUNCTION, set_socket);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTDATA, call);
  cyh_client_track (options->client, call->easy);
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
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
}

struct cye_call *
cye_call_create (const struct cye_call_options *options)
{
  struct cye_call *call = g_new0 (struct cye_call, 1);
  call->options = *options;
  cye_answer_init (&call->head);
  cye_buffer_init (&call->body);
  call->easy = cyh_client_acquire (options->client);
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
      cyh_client_release (call->options.client, call->easy);
    }
  cye_answer_clear (&call->head);
  cye_buffer_clear (&call->body);
  g_free (call);
}

/* ------------------------------------------------------------ progress */

bool
cye_call_has_whole_answer (const struct cye_call *call)
{
  if (!call->head.complete)
    return false;
  if (call->head.status == 204 || call->head.status == 304
      || strcmp (call->options.method, "HEAD") == 0)
    return true;
  uint64_t length = cye_answer_length (&call->head);
  return length != CYE_ANSWER_LENGTH_UNKNOWN && call->body_bytes >= length;
}

bool
cye_call_waits_for_reader (const struct cye_call *call)
{
  return call->write_paused;
}

void
cye_call_stop_sending (struct cye_call *call)
{
  if (call->ended)
    return;
  cyh_client_remove (call->options.client, call->easy);
  cye_call_done (call->easy, CURLE_OK);
}

void
cye_call_done (CURL *easy, CURLcode code)
{
  struct cye_call *call = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &call);
  /* A server may answer and close without reading the whole request.  An error
     of a write callback means that the answer was refused here.  */
  if (code != CURLE_OK && code != CURLE_WRITE_ERROR
      && call->options.upload != NULL && cye_call_has_whole_answer (call))
    code = CURLE_OK;
  if (code == CURLE_UNSUPPORTED_PROTOCOL)
    call->head.fault = CYE_ANSWER_STATUS_LINE;
  else if (code == CURLE_WEIRD_SERVER_REPLY
           && call->head.fault == CYE_ANSWER_SOUND)
    call->head.fault = CYE_ANSWER_HEADER_LINE;
  call->ended = true;
  call->code = code;
  call->ended_at = cy_clock_now (call->options.clock);
  call->body.complete = code == CURLE_OK;
  if (call->opened_connection)
    curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &call->connect_us);
  cyh_client_release (call->options.client, easy);
  call->easy = NULL;
  notify_change (call);
}

void
cye_call_times (const struct cye_call *call, struct cye_call_times *times)
{
  memset (times, 0, sizeof *times);
  times->connect = (cy_time_ns)call->connect_us * CY_NS_PER_US;
  if (call->first_byte_at != 0)
    {
      times->first_byte = call->first_byte_at - call->sent_at;
      times->transfer = call->ended_at > call->first_byte_at
                            ? call->ended_at - call->first_byte_at
                            : 0;
      times->paused = MIN (call->paused_time, times->transfer);
    }
}

void
cye_call_continue (struct cye_call *call)
{
  if (call->ended)
    return;
  bool resume_read
      = call->write_paused
        && cye_buffer_unread (&call->body) <= CYE_BUFFER_BYTES / 4;
  bool resume_send
      = call->read_paused
        && (cye_buffer_unread (call->options.upload) > 0
            || (call->options.upload->complete && !call->options.upload->cut));
  if (!resume_read && !resume_send)
    return;
  if (resume_read)
    {
      call->write_paused = false;
      call->paused_time
          += cy_clock_now (call->options.clock) - call->paused_at;
    }
  call->read_paused = call->read_paused && !resume_send;
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

struct cye_buffer *
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
  if (call->head.fault != CYE_ANSWER_SOUND)
    return CY_E_BACKEND_FAILED;
  switch (call->code)
    {
    case CURLE_OK:
      return call->head.complete ? CY_OK : CY_E_BACKEND_FAILED;
    case CURLE_OPERATION_TIMEDOUT:
      return call->send_count > 0 ? CY_E_TIMEOUT : CY_E_BACKEND_FAILED;
    default:
      return CY_E_BACKEND_FAILED;
    }
}

bool
cye_call_sent (const struct cye_call *call)
{
  return call->send_count > 0;
}

bool
cye_call_expired (const struct cye_call *call)
{
  return call->expired;
}

bool
cye_call_stale (const struct cye_call *call)
{
  return call->stale;
}

bool
cye_call_reset (const struct cye_call *call)
{
  return call->ended && call->send_count > 0 && call->first_byte_at == 0
         && call->code != CURLE_OK && call->code != CURLE_OPERATION_TIMEDOUT
         && call->head.fault == CYE_ANSWER_SOUND && !call->upload_aborted;
}

bool
cye_call_reused (const struct cye_call *call)
{
  return call->send_count > 0 && !call->opened_connection;
}

cy_time_ns
cye_call_sent_at (const struct cye_call *call)
{
  return call->sent_at;
}
