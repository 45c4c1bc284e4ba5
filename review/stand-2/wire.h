/* Sockets and HTTP/1.1 for the stand-ins of this review.  Blocking, one
   thread a connection.  */

#ifndef WIRE_H
#define WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WIRE_HEAD_MAX 16384 /* bytes of one head with its final NUL */

/* One message being read.  */
struct wire_message
{
  char head[WIRE_HEAD_MAX]; /* first line and headers, NUL-terminated */
  char *body;               /* NUL-terminated, freed by wire_clear */
  size_t body_length;
};

/* An open connection with the bytes read ahead.  */
struct wire_conn
{
  int fd;
  size_t length;
  char ahead[WIRE_HEAD_MAX];
};

int64_t wire_now_ms (void);
void wire_sleep_ms (int64_t ms);

/* Opens a connection to ADDRESS, "IP:PORT", on loopback; every call on it ends
   after TIMEOUT_MS.  Returns false when that fails.  */
bool wire_dial (const char *address, int timeout_ms, struct wire_conn *conn);

/* Listens on ADDRESS; returns the descriptor, -1 on failure.  */
int wire_listen (const char *address);

bool wire_write (struct wire_conn *conn, const char *bytes, size_t length);

/* Reads one message; a length or chunks end its body.  False when the
   connection ends or times out before.  */
bool wire_read (struct wire_conn *conn, struct wire_message *message);
void wire_clear (struct wire_message *message);
void wire_close (struct wire_conn *conn);

/* Copies the value of header NAME to VALUE; "" if there is none.  */
void wire_header (const struct wire_message *message, const char *name,
                  char *value, size_t size);

/* Status of an answer, 0 if it has none.  */
int wire_status (const struct wire_message *message);

/* Appends a line that begins with the time, Unix ms, to the file PATH.  */
void wire_record (const char *path, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Returns the value of option NAME, FALLBACK if it isn't given.  */
const char *wire_option (int argc, char **argv, const char *name,
                         const char *fallback);
int64_t wire_option_number (int argc, char **argv, const char *name,
                            int64_t fallback);

/* Copies entry NUMBER, modulo their count, of the comma-separated LIST.  */
void wire_entry (const char *list, unsigned number, char *entry, size_t size);

/* The commands of the program.  */
int server_run (int argc, char **argv);
int client_call (int argc, char **argv);
int client_load (int argc, char **argv);
int client_upload (int argc, char **argv);

#endif /* WIRE_H */
