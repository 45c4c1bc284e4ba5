/* cyctl, the operators' command-line program: a table of commands, an HTTP
   client that tries the control VMs one after another, and text or JSON on
   standard output.  Single-threaded.  */

#ifndef CYCTL_H
#define CYCTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "cy_result.h"

/* Exit codes, documented in cyctl(1).  */
enum cyctl_exit
{
  CYCTL_OK = 0,
  CYCTL_REFUSED = 1,     /* refused; the reason is on standard error */
  CYCTL_USAGE = 2,       /* wrong arguments */
  CYCTL_CONFLICT = 3,    /* another change was accepted first */
  CYCTL_UNREACHABLE = 4, /* no control VM answered, or none has a quorum */
  CYCTL_UNKNOWN = 5,     /* outcome not known; a retry with the same
                            --request-id returns it */
  CYCTL_UNCONFIRMED = 6, /* accepted, but some entry VM did not confirm */
  CYCTL_AUDIT = 7        /* audit trail does not verify */
};

/* Options that every command accepts.  */
struct cyctl_options
{
  char *control;    /* comma-separated URLs of control VMs */
  char *token_file; /* path; the first line of the file is the token */
  char *request_id; /* id of the change; NULL: a random id is generated */
  int timeout_s;    /* time limit of the whole command, s */
  gboolean json;    /* print JSON instead of text */
};
extern struct cyctl_options cyctl_options;

struct cyctl_command
{
  const char *name;      /* words on the command line, as "keys issue" */
  const char *arguments; /* placeholders in the usage line, as "WORKSPACE" */
  const char *summary;   /* one line in the list of commands */
  const char *help;      /* paragraphs that COMMAND --help prints */
  const GOptionEntry *entries; /* options of this command only, or NULL */
  int arguments_min;           /* smallest number of positional arguments */
  int arguments_max;           /* largest number of positional arguments */
  int (*run) (int count, char **arguments);
};

extern const struct cyctl_command cyctl_declare_commands[];
extern const struct cyctl_command cyctl_key_commands[];
extern const struct cyctl_command cyctl_drain_commands[];
extern const struct cyctl_command cyctl_member_commands[];
extern const struct cyctl_command cyctl_audit_commands[];
extern const struct cyctl_command cyctl_why_commands[];
extern const struct cyctl_command cyctl_explain_commands[];

/* -------------------------------------------------------------- client */

/* Answer of a control VM.  */
struct cyctl_answer
{
  long status;  /* HTTP status, 0: no answer */
  json_t *body; /* parsed JSON, owned; NULL: no body */
};
void cyctl_answer_clear (struct cyctl_answer *answer);

/* Sends a request to the control VMs one after another and follows redirects
   to the leader.  Repeats this with the same request id until an answer is
   definite or the time limit of the command has passed.  LENGTH is that of
   BODY in bytes; the caller clears ANSWER.  */
void cyctl_call (const char *method, const char *path, const char *body,
                 size_t length, struct cyctl_answer *answer);

/* Like cyctl_call.  Returns true and CYCTL_OK in *EXIT_CODE for status 200
   with a body; otherwise prints the error and returns false with the exit code
   in *EXIT_CODE.  The caller clears ANSWER in both cases.  */
bool cyctl_request (const char *method, const char *path, const char *body,
                    size_t length, struct cyctl_answer *answer,
                    int *exit_code);

/* Requests the status of every control VM once and returns in ANSWER that of
   the leader, or else of the member with the longest committed log.  Returns
   the number of control VMs that answered; *ASKED_COUNT is the number
   of requests sent.  */
size_t cyctl_call_status (struct cyctl_answer *answer, size_t *asked_count);

/* Sends one request without the operator's token to URL, for entry VMs.  */
void cyctl_call_url (const char *method, const char *url, const char *body,
                     size_t length, struct cyctl_answer *answer);

/* Returns the value of --request-id, or a random id that stays the same for
   the whole run.  */
const char *cyctl_request_id (void);

/* Returns "PATH?name=value&..." with escaped values.  The arguments are pairs
   of name and value, ended by a NULL name; pairs with a NULL value are
   skipped.  The caller frees the result with g_free.  */
char *cyctl_build_path (const char *path, ...) G_GNUC_NULL_TERMINATED;

/* Requests the version of the declarations in force.  Returns false and the
   exit code after it printed an error.  */
bool cyctl_fetch_version (uint64_t *version, int *exit_code);

/* ------------------------------------------------------------- printing */

struct cyctl_column
{
  const char *title;
  const char *field; /* name in each object; a name that ends in unix_ms is
                        printed as a time */
};

/* Prints the array LIST as a table; COLUMNS ends with a NULL title.  */
void cyctl_print_table (const json_t *list,
                        const struct cyctl_column *columns);
void cyctl_print_json (const json_t *body);

/* Prints the problem document of a control VM on standard error and returns
   the corresponding exit code.  */
int cyctl_print_problem (const struct cyctl_answer *answer);

/* Return the string or the number NAME of OBJECT, "" or 0 if it is missing.
   The string is owned by OBJECT.  */
const char *cyctl_get_text (const json_t *object, const char *name);
int64_t cyctl_get_number (const json_t *object, const char *name);

#endif /* CYCTL_H */
