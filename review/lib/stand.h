/* Stand-ins for the cases under review/: starts the project's programs with
   the commands of the deploy file on loopback addresses, and plays servers,
   the operator and clients as the users' pages describe them.  */

#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define ST_HUBS         6  /* control VMs, one in each zone */
#define ST_HUBS_MAX     12 /* with those that are added */
#define ST_GATES        6  /* entry VMs, one in each zone */
#define ST_CONTROL_PORT 8200
#define ST_READY_PORT   8201
#define ST_LOOKUP_PORT  8205
#define ST_FRONT_PORT   8206
#define ST_SERVER_PORT  8080
#define ST_HEAD_MAX     16384

extern const char *const st_zones[ST_HUBS];

/* ------------------------------------------------------------ processes */

/* Prepares addresses and a temporary folder.  Opens RECORD, the file that
   records what was sent, answered and run.  */
void st_open (const char *record);

/* Ends all processes, removes the temporary folder and exits with STATUS.  */
_Noreturn void st_exit (int status);

/* Starts control VM NUMBER.  FIRST: the whole system starts for the first
   time.  */
void st_start_hub (int number, bool first);
void st_kill_hub (int number);

/* Kills control VM NUMBER, empties its disk and starts it again after
   DOWN_MS.  */
void st_wipe_hub (int number, int64_t down_ms);

/* Sends SIGNAL to control VM NUMBER.  */
void st_signal_hub (int number, int signal);

void st_start_gate (int number);

/* True when entry VM NUMBER runs.  */
bool st_gate_runs (int number);

/* Address of a process: PART is 1 for control VMs, 21 for entry VMs, 41 for
   servers.  */
const char *st_ip (int part, int number, char ip[32]);

/* Starts all control VMs and GATES entry VMs, sends configuration TEXT until
   it is acknowledged and waits until the entry VMs are ready.  Exits with 2
   when that fails.  */
void st_start_all (int gates, const char *text);

/* ------------------------------------------------------------ record, time */

void st_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
int64_t st_now_ms (void);
int64_t st_unix_ms (void);
void st_sleep_ms (int64_t ms);

/* True unless the environment has TROUBLE=0.  */
bool st_has_trouble (void);

/* ------------------------------------------------------------ HTTP */

struct st_conn
{
  int fd;
  size_t length; /* bytes in BYTES that were received and not used yet */
  char bytes[ST_HEAD_MAX];
};

/* Connects within 2 s; reads end after TIMEOUT_MS.  False: failed.  */
bool st_connect (struct st_conn *conn, const char *ip, int port,
                 int timeout_ms);
void st_close (struct st_conn *conn);
bool st_send (struct st_conn *conn, const void *data, size_t length);
bool st_print (struct st_conn *conn, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Reads a head, with the empty line, into HEAD.  */
bool st_read_head (struct st_conn *conn, char head[ST_HEAD_MAX]);

/* Copies the value of header NAME to VALUE, "" if there is none.  */
bool st_header (const char *head, const char *name, char *value, size_t room);

/* Reads the body that HEAD announces, and adds its bytes to BODY, which may be
   NULL.  ROOM is the size of BODY.  *LENGTH: number of bytes.  False: it ended
   early.  */
bool st_read_body (struct st_conn *conn, const char *head, char *body,
                   size_t room, size_t *length);

/* Sends one request on a new connection, with HEADERS, lines that end with
   CRLF.  Returns the status, 0 when no whole answer came.  */
int st_request (const char *ip, int port, const char *method,
                const char *target, const char *headers, const char *body,
                char *answer, size_t room);

/* ------------------------------------------------------------ platform */

/* Calls the control VMs in turn until one answers with 2xx, for up to
   TIMEOUT_MS.  Follows 307 twice.  Returns the last status.  */
int st_call (const char *target, const char *body, char *answer, size_t room,
             int timeout_ms);

struct st_server;
typedef void (*st_serve_fn) (struct st_server *server, struct st_conn *conn,
                             const char *head);

/* One instance.  SERVE answers a request whose head was read; the health check
   is answered before.  */
struct st_server
{
  const char *id;
  const char *service;
  const char *zone;
  int number; /* of its address */
  int slots;  /* 0: 6 */
  st_serve_fn serve;
  int64_t born;
  int sequence;
  bool draining;
  volatile bool silent; /* sends no heartbeat of its own */
  int listen_fd;
  pthread_t listener;
  pthread_t beater;
};

void st_server_start (struct st_server *server);

/* Sends one heartbeat with SEQUENCE.  Returns the status.  */
int st_beat (const struct st_server *server, int sequence, const char *state);
int st_leave (const struct st_server *server);

/* Answers with 200, the stamp and BODY.  */
bool st_answer_ok (struct st_server *server, struct st_conn *conn,
                   const char *head, const char *body);

#endif /* REVIEW_STAND_H */
