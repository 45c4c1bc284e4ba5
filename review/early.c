/* Case: an instance answers before it has read a long body and reads on.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/lib/stand.h"

#define BODY_BYTES  400000 /* of a long request */
#define PIECE_BYTES 20000  /* sent at a time by the client */
#define PIECE_MS    40     /* between two pieces */

static const char configuration[]
    = "{\"version\":\"r3\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeout\",\"latencyGoal\",\"priority\","
      "\"backends\",\"maxAttempts\",\"public\",\"sticky\",\"homeRegions\","
      "\"service\"],\"rows\":[[\"r-confirm\",\"shop.example\",\"/confirm/\","
      "\"non_idempotent\",\"10s\",\"2s\",1,null,2,true,false,[],\"billing\"]]}"
      ",\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\","
      "\"protocol\",\"tls\",\"warmup\",\"warmupPerS\"],\"rows\":[[\"billing\","
      "\"/health\",813,\"h1\",false,\"3s\",10.0]]},\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";

static char sent[BODY_BYTES + 1];
static volatile int broken; /* bodies that arrived whole with other bytes */
static volatile int whole;  /* bodies that arrived as they were sent */
static volatile int cut;    /* bodies that broke off */

static void
judge_body (const char *id, const char *head, const char *body, size_t length,
            bool complete)
{
  char framing[64];
  size_t same = 0;
  while (same < length && same < BODY_BYTES && body[same] == sent[same])
    same++;
  if (!st_header (head, "Content-Length", framing, sizeof framing))
    snprintf (framing, sizeof framing, "chunked");
  const char *verdict = "whole";
  if (same < length || (complete && length != BODY_BYTES))
    {
      broken++;
      verdict = "OTHER BYTES";
    }
  else if (!complete)
    {
      cut++;
      verdict = "broken off";
    }
  else
    whole++;
  st_record ("server: body of %s (%s): %zu bytes, %s; the first %zu as sent: "
             "%s",
             id, framing, length, complete ? "complete" : "not complete", same,
             verdict);
  if (same < length)
    st_record ("server: where byte %zu of the body of %s is due: \"%.60s\"",
               same, id, body + same);
}

static void
serve (struct st_server *server, struct st_conn *conn, const char *head)
{
  static const char answer[] = "confirmed\n";
  char id[128];
  size_t length = 0;
  char *body = calloc (1, 2 * BODY_BYTES);
  bool is_long = strstr (head, "/confirm/long") != NULL;
  if (body == NULL)
    abort ();
  st_header (head, "Cyclamenhaven-Attempt-Id", id, sizeof id);
  st_record ("server: runs %s, %.40s", id,
             is_long ? "a long request" : "short");
  if (is_long && st_has_trouble ())
    {
      st_answer_ok (server, conn, head, answer);
      st_record ("server: answered %s with 200, reads on", id);
    }
  bool complete = st_read_body (conn, head, body, 2 * BODY_BYTES, &length);
  if (is_long)
    judge_body (id, head, body, length, complete);
  if (!is_long || !st_has_trouble ())
    st_answer_ok (server, conn, head, answer);
  free (body);
}

/* Sends a long request in pieces.  CHUNKED: the body goes in chunks.  */
static void
send_long (const char *id, bool chunked)
{
  char ip[32];
  char head[ST_HEAD_MAX];
  char body[256];
  size_t length = 0;
  struct st_conn conn;
  if (!st_connect (&conn, st_ip (21, 0, ip), ST_FRONT_PORT, 10000))
    st_exit (2);
  st_print (&conn,
            "POST /confirm/long HTTP/1.1\r\nHost: shop.example\r\n"
            "Cyclamenhaven-Attempt-Id: %s\r\n"
            "Cyclamenhaven-Deadline-Ms: 8000\r\n",
            id);
  if (chunked)
    st_print (&conn, "Transfer-Encoding: chunked\r\n\r\n");
  else
    st_print (&conn, "Content-Length: %d\r\n\r\n", BODY_BYTES);
  st_record ("client: sends %s, %d bytes, %s", id, BODY_BYTES,
             chunked ? "in chunks" : "with a length");
  bool sends = true;
  for (size_t at = 0; sends && at < BODY_BYTES; at += PIECE_BYTES)
    {
      if (chunked)
        sends = st_print (&conn, "%x\r\n", PIECE_BYTES);
      sends = sends && st_send (&conn, sent + at, PIECE_BYTES);
      if (chunked)
        sends = sends && st_print (&conn, "\r\n");
      st_sleep_ms (PIECE_MS);
    }
  if (chunked && sends)
    st_print (&conn, "0\r\n\r\n");
  st_record ("client: body of %s %s", id,
             sends ? "sent" : "could not be sent");
  int status = 0;
  if (st_read_head (&conn, head)
      && st_read_body (&conn, head, body, sizeof body, &length))
    status = atoi (head + strcspn (head, " "));
  st_record ("client: %s -> %d, %zu bytes", id, status, length);
  st_close (&conn);
}

static int
send_short (const char *id)
{
  char ip[32];
  char headers[256];
  snprintf (headers, sizeof headers,
            "Host: shop.example\r\nCyclamenhaven-Attempt-Id: %s\r\n"
            "Cyclamenhaven-Deadline-Ms: 3000\r\n",
            id);
  int status = st_request (st_ip (21, 0, ip), ST_FRONT_PORT, "POST",
                           "/confirm/short", headers, "x", NULL, 0);
  st_record ("client: %s -> %d", id, status);
  return status;
}

int
main (int argc, char **argv)
{
  struct st_server server = {
    .id = "i-billing-1", .service = "billing", .zone = "scl-a", .serve = serve
  };
  char id[32];
  (void)argc;
  st_open (argv[1]);
  for (size_t i = 0; i < BODY_BYTES; i++)
    sent[i] = (char)('a' + i / 1000 % 26);
  st_start_all (1, configuration);
  st_server_start (&server);
  for (int i = 0; i < 50 && send_short ("warm-up") != 200; i++)
    st_sleep_ms (200);
  for (int i = 0; i < 6; i++)
    {
      snprintf (id, sizeof id, "long-%d", i);
      send_long (id, i % 2 == 0);
      snprintf (id, sizeof id, "short-%d", i);
      send_short (id);
      st_sleep_ms (300);
    }
  st_sleep_ms (500);
  st_record ("bodies whole %d, broken off %d, with other bytes %d", whole, cut,
             broken);
  if (whole + cut + broken == 0)
    st_exit (2);
  st_exit (broken > 0 ? 1 : 0);
}
